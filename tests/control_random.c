/**
 * @file control_random.c
 * Simulates membership and settings of many control modules in virtual time
 * under random faults. Checks that versions never decrease, that accepted
 * changes reach every live VM and that all VMs see each other alive again.
 *
 * Usage: control_random [--vms N] [--seeds N] [--first-seed N] [--seconds N]
 *        [--calm] [--slope]
 * --slope prints one line of costs for docs/CAPACITY.md.
 */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "plantainarch.h"

#define VMS_MAX		  700
#define ZONE_DELAY_US	  1500
#define REGION_DELAY_US	  10000
#define PLATFORM_DELAY_US 3000
#define WATCH_WAIT_US	  2000000
#define LIST_LAG_US	  2000000
#define STEP_US		  10000
#define FAULT_PERIOD_US	  2000000
/* Requirement: every change is in force on all VMs within 13 s. */
#define PROPAGATION_MAX_US 13000000
#define HISTORY_MAX	   4096

typedef struct world world_t;

typedef struct vm {
	world_t *world;
	int number, restarts;
	member_t member;
	control_t *control;
	bool is_cut_off; /* disconnected from the platform */
	int partition;	 /* number of the network partition */
	int64_t paused_until_us;
	uint64_t version,
	    best_version; /* in force; highest over all restarts of this VM */
	bool is_changed;
	int64_t sent_bytes, sent_messages, handled;
} vm_t;

typedef struct message {
	int64_t at_us;
	int vm, restarts;
	char *data;
	size_t length;
	bool is_watch, is_list;
	uint64_t after;
} message_t;

struct world {
	vm_t vms[VMS_MAX];
	int count;
	gsl_rng *random;
	int64_t now_us;
	GSequence *messages;
	uint64_t version, revision;
	int64_t accepted_us[HISTORY_MAX]; /* by version */
	int64_t longest_propagation_us;
	bool is_platform_down, is_partitioned;
	int64_t is_calm;
	double loss;
	int errors;
	int64_t platform_calls;
	uint64_t seed;
};

static int
compare_messages(gconstpointer left, gconstpointer right, gpointer context)
{
	const message_t *one = left, *two = right;

	return one->at_us < two->at_us ? -1 : one->at_us > two->at_us;
}

static void
free_message(void *context)
{
	message_t *message = context;

	g_free(message->data);
	g_free(message);
}

static message_t *
add_message(world_t *world, int64_t delay_us, const vm_t *vm)
{
	message_t *message = g_new0(message_t, 1);

	message->at_us = world->now_us + delay_us;
	message->vm = vm->number;
	message->restarts = vm->restarts;
	g_sequence_insert_sorted(
	    world->messages, message, compare_messages, NULL);
	return message;
}

static void
report_error(
    world_t *world, const char *problem, const vm_t *vm, uint64_t version)
{
	world->errors++;
	if (world->errors <= 10)
		printf("error, seed %" G_GUINT64_FORMAT " at %" G_GINT64_FORMAT
		       " us: %s: VM %d version %" G_GUINT64_FORMAT "\n",
		    world->seed, world->now_us, problem, vm->number, version);
}

static void
send_message(
    void *context, const char *endpoint, const void *data, size_t length)
{
	vm_t *vm = context;
	world_t *world = vm->world;
	int target = atoi(endpoint + strlen("tcp://vm"));
	message_t *message;
	bool is_far;

	vm->sent_bytes += (int64_t)length;
	vm->sent_messages++;
	if (target < 0 || target >= world->count ||
	    world->vms[target].partition != vm->partition ||
	    gsl_rng_uniform(world->random) < world->loss)
		return;
	is_far =
	    strcmp(world->vms[target].member.region, vm->member.region) != 0;
	message = add_message(world, is_far ? REGION_DELAY_US : ZONE_DELAY_US,
	    &world->vms[target]);
	message->data = g_memdup2(data, length);
	message->length = length;
}

static void
request_list(void *context)
{
	vm_t *vm = context;

	add_message(vm->world, PLATFORM_DELAY_US, vm)->is_list = true;
}

static void
request_watch(void *context, uint64_t after)
{
	vm_t *vm = context;
	message_t *message = add_message(vm->world, PLATFORM_DELAY_US, vm);

	message->is_watch = true;
	message->after = after;
	message->length = 1; /* the first check of the revision */
}

static void
mark_changed(void *context)
{
	((vm_t *)context)->is_changed = true;
}

static void
ignore_log(void *context, log_event_t event, const char *text)
{
	if (g_getenv("CONTROL_RANDOM_LOG") != NULL)
		fprintf(stderr, "%" G_GINT64_FORMAT " vm%d %s\n",
		    ((vm_t *)context)->world->now_us, ((vm_t *)context)->number,
		    text);
}

static void
start_vm(world_t *world, vm_t *vm)
{
	control_callbacks_t callbacks = { send_message, request_list,
		request_watch, mark_changed, ignore_log, vm };
	member_t *member = &vm->member;

	memset(member, 0, sizeof(*member));
	snprintf(member->id, sizeof(member->id), "vm%d.%d", vm->number,
	    vm->restarts);
	snprintf(member->zone, sizeof(member->zone), "z%d", vm->number % 9);
	snprintf(member->region, sizeof(member->region), "r%d", vm->number % 3);
	snprintf(member->address, sizeof(member->address), "vm%d", vm->number);
	member->peer_port = 1 + vm->restarts;
	member->threads = 1;
	member->incarnation = (uint64_t)vm->restarts;
	vm->control = control_create(member, world->seed, &callbacks);
	vm->version = 0;
	vm->paused_until_us = 0;
}

static char *
format_settings(uint64_t version)
{
	return g_strdup_printf(
	    "fleet: test\ndefaults:\n  deadline: %" G_GUINT64_FORMAT "ms\n",
	    100 + version);
}

static void
change_settings(world_t *world)
{
	if (world->version + 1 >= HISTORY_MAX)
		return;
	world->version++;
	world->revision++;
	world->accepted_us[world->version] = world->now_us;
}

static void
answer_watch(world_t *world, vm_t *vm, message_t *message)
{
	bool is_reachable = !world->is_platform_down && !vm->is_cut_off;
	document_t document = { .name = "settings", .version = world->version };

	if (message->length == 1) {
		world->platform_calls++;
		if (is_reachable && message->after >= world->revision) {
			/* Nothing new: long poll, checked every STEP_US. */
			message_t *later = add_message(world, STEP_US, vm);

			later->is_watch = true;
			later->after = message->after;
			later->length = 2;
			return;
		}
	} else if (is_reachable && message->after >= world->revision &&
		   message->length < 2 + WATCH_WAIT_US / STEP_US) {
		message_t *later = add_message(world, STEP_US, vm);

		later->is_watch = true;
		later->after = message->after;
		later->length = message->length + 1;
		return;
	}
	document.body = format_settings(world->version);
	document.length = strlen(document.body);
	control_handle_watch(vm->control, world->now_us, is_reachable,
	    world->revision, &document,
	    message->after < world->revision ? 1 : 0);
	g_free(document.body);
}

static void
answer_list(world_t *world, vm_t *vm)
{
	member_t *members = g_new0(member_t, world->count);
	bool is_reachable = !world->is_platform_down && !vm->is_cut_off;

	world->platform_calls++;
	for (int i = 0; i < world->count; i++) {
		members[i] = world->vms[i].member;
		members[i].incarnation = 0;
	}
	control_handle_list(
	    vm->control, world->now_us, is_reachable, members, world->count);
	g_free(members);
}

static void
check_version(world_t *world, vm_t *vm)
{
	char *status;
	const char *start;
	uint64_t version;
	bool is_everywhere = true;

	vm->is_changed = false;
	status = control_format_status(vm->control, world->now_us);
	start = strstr(status, "\"settings\":");
	version = start != NULL
		      ? strtoull(start + strlen("\"settings\":"), NULL, 10)
		      : 0;
	g_free(status);
	if (version < vm->version)
		report_error(world, "the version fell", vm, version);
	if (control_is_ready(vm->control) && version < vm->best_version &&
	    world->is_calm == 0 && vm->version == 0 &&
	    !world->is_platform_down && !vm->is_cut_off &&
	    !world->is_partitioned)
		report_error(world,
		    "a replaced VM is ready with less than its predecessor had",
		    vm, version);
	vm->version = version;
	vm->best_version = MAX(vm->best_version, version);
	if (version != world->version || version == 0)
		return;
	for (int i = 0; i < world->count && is_everywhere; i++)
		is_everywhere = world->vms[i].version == version;
	if (is_everywhere)
		world->longest_propagation_us =
		    MAX(world->longest_propagation_us,
			world->now_us - world->accepted_us[version]);
}

static void
deliver(world_t *world, message_t *message)
{
	vm_t *vm = &world->vms[message->vm];

	if (vm->restarts != message->restarts)
		return;
	if (world->now_us < vm->paused_until_us) {
		message_t *later =
		    add_message(world, vm->paused_until_us - world->now_us, vm);
		int64_t at_us = later->at_us;

		*later = *message;
		later->at_us = at_us;
		message->data = NULL;
		return;
	}
	vm->handled++;
	if (message->is_list)
		answer_list(world, vm);
	else if (message->is_watch)
		answer_watch(world, vm, message);
	else
		control_handle_message(
		    vm->control, world->now_us, message->data, message->length);
	if (vm->is_changed)
		check_version(world, vm);
}

static void
run_for(world_t *world, int64_t duration_us)
{
	int64_t until_us = world->now_us + duration_us;

	while (world->now_us < until_us) {
		int64_t step_end_us = world->now_us + STEP_US;

		while (!g_sequence_is_empty(world->messages)) {
			GSequenceIter *first =
			    g_sequence_get_begin_iter(world->messages);
			message_t *message = g_sequence_get(first);

			if (message->at_us > step_end_us)
				break;
			world->now_us = MAX(world->now_us, message->at_us);
			g_sequence_remove(first);
			deliver(world, message);
			free_message(message);
		}
		world->now_us = step_end_us;
		for (int i = 0; i < world->count; i++) {
			vm_t *vm = &world->vms[i];

			if (world->now_us < vm->paused_until_us ||
			    control_get_next_timer(vm->control) > world->now_us)
				continue;
			control_tick(vm->control, world->now_us);
			if (vm->is_changed)
				check_version(world, vm);
		}
	}
}

static void
inject_random_fault(world_t *world)
{
	vm_t *vm = &world->vms[gsl_rng_uniform_int(
	    world->random, (unsigned long)world->count)];

	switch (gsl_rng_uniform_int(world->random, 8)) {
	case 0:
		control_destroy(vm->control);
		vm->restarts++;
		start_vm(world, vm);
		break;
	case 1:
		vm->paused_until_us =
		    world->now_us +
		    (int64_t)(gsl_rng_uniform(world->random) * 8e6);
		break;
	case 2:
		world->is_platform_down = !world->is_platform_down;
		break;
	case 3:
		for (int i = 0; i < world->count; i++)
			world->vms[i].is_cut_off =
			    gsl_rng_uniform(world->random) < 0.33;
		break;
	case 4:
		world->is_partitioned = !world->is_partitioned;
		for (int i = 0; i < world->count; i++)
			world->vms[i].partition =
			    world->is_partitioned
				? world->vms[i].number % 3 == 0
				: 0;
		break;
	case 5:
		world->loss = gsl_rng_uniform(world->random) < 0.5 ? 0.2 : 0;
		break;
	default:
		if (!world->is_platform_down)
			change_settings(world);
		break;
	}
}

/* Ends all faults; every VM must have the newest version within the bound. */
static void
check_propagation(world_t *world)
{
	world->is_platform_down = false;
	world->is_partitioned = false;
	world->loss = 0;
	for (int i = 0; i < world->count; i++) {
		world->vms[i].is_cut_off = false;
		world->vms[i].partition = 0;
		world->vms[i].paused_until_us =
		    MIN(world->vms[i].paused_until_us, world->now_us);
	}
	run_for(world, 30000000); /* partitions heal, backoffs expire */
	change_settings(world);
	run_for(world, PROPAGATION_MAX_US);
	for (int i = 0; i < world->count; i++)
		if (world->vms[i].version != world->version)
			report_error(world,
			    "a change is not in force after 13 s",
			    &world->vms[i], world->vms[i].version);
}

static void
check_members(world_t *world)
{
	member_t *members = g_new0(member_t, 8 * VMS_MAX);

	run_for(world, 60000000);
	for (int i = 0; i < world->count; i++) {
		int count = control_get_members(
		    world->vms[i].control, members, 8 * VMS_MAX);
		int alive = 0;

		for (int j = 0; j < count; j++)
			alive += members[j].state == MEMBER_ALIVE;
		if (alive != world->count &&
		    g_getenv("CONTROL_RANDOM_LOG") != NULL)
			fprintf(stderr, "%s\n",
			    control_format_status(
				world->vms[i].control, world->now_us));
		if (alive != world->count)
			report_error(world,
			    "a VM does not see all others alive",
			    &world->vms[i], (uint64_t)alive);
	}
	g_free(members);
}

static void
print_costs(world_t *world, double cpu_us, int64_t duration_us)
{
	int64_t bytes = 0, messages = 0;
	double seconds = (double)duration_us / 1e6;

	for (int i = 0; i < world->count; i++) {
		bytes += world->vms[i].sent_bytes;
		messages += world->vms[i].sent_messages;
	}
	printf("control vms %d bytes_per_s %.0f messages_per_s %.2f "
	       "cpu_us_per_s %.0f platform_calls_per_s %.2f reach_s %.2f\n",
	    world->count, (double)bytes / world->count / seconds,
	    (double)messages / world->count / seconds,
	    cpu_us / world->count / seconds,
	    (double)world->platform_calls / seconds,
	    (double)world->longest_propagation_us / 1e6);
}

static int
run_seed(uint64_t seed, int vms, int seconds, bool is_calm, bool is_slope)
{
	world_t *world = g_new0(world_t, 1);
	clock_t started;
	int errors;

	world->seed = seed;
	world->count = MIN(vms, VMS_MAX);
	world->random = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(world->random, (unsigned long)seed);
	world->messages = g_sequence_new(NULL);
	world->now_us = 1000000;
	world->is_calm = is_calm;
	change_settings(world);
	for (int i = 0; i < world->count; i++) {
		world->vms[i].world = world;
		world->vms[i].number = i;
		start_vm(world, &world->vms[i]);
	}
	run_for(world, 20000000);
	for (int i = 0; i < world->count; i++) {
		world->vms[i].sent_bytes = 0;
		world->vms[i].sent_messages = 0;
	}
	world->platform_calls = 0;
	world->longest_propagation_us = 0;
	started = clock();
	/* 1,100 changes a day are one in 79 s; a calm run changes every 20 s.
	 */
	for (int64_t at_us = 0; at_us < (int64_t)seconds * 1000000;
	     at_us += FAULT_PERIOD_US) {
		if (!is_calm)
			inject_random_fault(world);
		else if (at_us % 20000000 == 0)
			change_settings(world);
		run_for(world, FAULT_PERIOD_US);
	}
	if (is_slope)
		print_costs(world,
		    (double)(clock() - started) * 1e6 / CLOCKS_PER_SEC,
		    (int64_t)seconds * 1000000);
	if (!is_slope) {
		check_propagation(world);
		check_members(world);
		printf("seed %" G_GUINT64_FORMAT
		       ": %d VMs, version %" G_GUINT64_FORMAT ", errors %d\n",
		    seed, world->count, world->version, world->errors);
	}
	errors = world->errors;
	while (!g_sequence_is_empty(world->messages)) {
		GSequenceIter *first =
		    g_sequence_get_begin_iter(world->messages);

		free_message(g_sequence_get(first));
		g_sequence_remove(first);
	}
	g_sequence_free(world->messages);
	for (int i = 0; i < world->count; i++)
		control_destroy(world->vms[i].control);
	gsl_rng_free(world->random);
	g_free(world);
	return errors;
}

int
main(int argc, char **argv)
{
	struct arg_int *vms = arg_int0(NULL, "vms", "N", "default 9");
	struct arg_int *seeds = arg_int0(NULL, "seeds", "N", "default 8");
	struct arg_int *first = arg_int0(NULL, "first-seed", "N", "default 1");
	struct arg_int *seconds = arg_int0(
	    NULL, "seconds", "N", "virtual seconds of faults, default 120");
	struct arg_lit *calm = arg_lit0(NULL, "calm", "no faults");
	struct arg_lit *slope = arg_lit0(NULL, "slope", "print measured costs");
	struct arg_end *end = arg_end(8);
	void *table[] = { vms, seeds, first, seconds, calm, slope, end };
	int errors = 0;

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "control_random");
		return 2;
	}
	log_begin("warning", false);
	for (int i = 0; i < (seeds->count > 0 ? seeds->ival[0] : 8); i++)
		errors +=
		    run_seed((uint64_t)(first->count > 0 ? first->ival[0] : 1) +
				 (uint64_t)i,
			vms->count > 0 ? vms->ival[0] : 9,
			seconds->count > 0 ? seconds->ival[0] : 120,
			calm->count > 0, slope->count > 0);
	arg_freetable(table, G_N_ELEMENTS(table));
	return errors == 0 ? 0 : 1;
}
