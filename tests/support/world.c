/**
 * @file world.c
 * Simulation of several cores in virtual time, with simple fakes at their
 * interfaces.
 */
#include <gsl/gsl_randist.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>

#include "world.h"

#define VMS_MAX		    16
#define INSTANCES_MAX	    256
#define LEAVES_MAX	    4
#define QUEUED_PER_SLOT_MAX 4
#define NETWORK_DELAY_US    300
#define FLEET_DELAY_MAX_US  200000
#define LEAVING_DELAY_US    1000000
#define DRAIN_GRACE_US	    3000000
#define OLD_VERSION_KEPT_US 300000
#define COLD_START_REQUESTS 40
#define COLD_START_FACTOR   6
#define HANG_US		    60000000
#define CALLERS_MAX	    16

typedef struct vm {
	int number, incarnation;
	char id[NAME_BYTES], endpoint[ENDPOINT_BYTES];
	core_t *core;
	ledger_t *ledger;
	int64_t paused_until_us;
	int64_t timer_us, ledger_timer_us; /* earliest scheduled */
	fleet_t *fleet;
} vm_t;

typedef struct work work_t;

typedef struct fake_leaf {
	int instance, number, busy, cold_left;
	GQueue queue;
	struct fake_instance *owner;
} fake_leaf_t;

typedef struct fake_instance {
	fake_leaf_t leaves[LEAVES_MAX];
	double slow_factor;
	bool is_hanging, is_draining;
	int64_t drained_us;
	int in_flight;
} fake_instance_t;

struct work {
	vm_t *vm;
	int incarnation;
	uint64_t job;
	fake_leaf_t *leaf;
	json_t *fields;
	bool is_order, is_running, is_ended;
	int64_t deadline_us;
	char *reply;
};

typedef struct call {
	uint64_t id;
	vm_t *vm;
	int incarnation;
	rank_t rank;
	bool is_order;
	char *text; /* the query, or the key */
	int64_t sent_us, due_us;
	bool is_answered;
	int64_t issued_us;
	int try_number;
} call_t;

typedef struct order_record {
	int runs, tries,
	    last_refused_try; /* last try that was answered not_run */
} order_record_t;

typedef struct stored {
	uint64_t version;
	char *body;
	size_t length;
} stored_t;

typedef enum sim_event_type {
	SIM_CALL,
	SIM_ORDER,
	SIM_PEER,
	SIM_TIMER,
	SIM_LEDGER_TIMER,
	SIM_WORK_ARRIVES,
	SIM_WORK_ENDS,
	SIM_LEAF_REPLY,
	SIM_FLEET,
	SIM_LEAVING,
	SIM_STORE_GET,
	SIM_STORE_PUT,
	SIM_STORE_REPLY,
	SIM_CLAIM,
	SIM_RECORDED,
	SIM_RESUME
} sim_event_type_t;

typedef struct sim_event {
	int64_t at_us;
	uint64_t order;
	sim_event_type_t type;
	vm_t *vm;
	int incarnation;
	work_t *work;
	rank_t rank;
	uint64_t number, version;
	int status, instance;
	bool is_put;
	char name[NAME_BYTES];
	char *body;
	size_t length;
	fleet_t *fleet;
} sim_event_t;

struct world {
	world_options_t options;
	gsl_rng *random;
	int64_t now_us;
	uint64_t next_order, next_call;
	GPtrArray *heap;
	vm_t vms[VMS_MAX];
	fake_instance_t instances[INSTANCES_MAX];
	GHashTable *calls;	   /* id -> call_t */
	GHashTable *orders;	   /* key -> order_record_t */
	GHashTable *store;	   /* name -> stored_t */
	GHashTable *pending_works; /* set of work_t that has not ended */
	GPtrArray *keys;
	uint32_t version, old_version;
	uint64_t generation, settings_version;
	int64_t old_until_us;
	int shards;
	double slow_probability, slow_factor, crossed_probability,
	    garbage_probability, duplicate_probability,
	    wrong_version_probability, loss_probability, delay_factor,
	    store_loss_probability;
	bool is_store_down, is_stopping;
	int64_t store_delay_us;
	double rate[RANK_COUNT];
	int callers[RANK_COUNT];
	double first_share[RANK_COUNT];
	bool has_calls_scheduled[RANK_COUNT], has_orders_scheduled;
	world_report_t report;
	char *crossed_reply; /* kept, to be sent as the reply to another request
			      */
};

static void run_actions(world_t *world, vm_t *vm);
static void run_leaf(world_t *world, fake_leaf_t *leaf);
static void report_error(world_t *world, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

static void
report_error(world_t *world, const char *format, ...)
{
	va_list arguments;

	world->report.errors++;
	if (world->report.errors > 20)
		return;
	printf("error at %" G_GINT64_FORMAT " us, seed %" G_GUINT64_FORMAT ": ",
	    world->now_us, world->options.seed);
	va_start(arguments, format);
	vprintf(format, arguments);
	va_end(arguments);
	printf("\n");
}

static bool
draw_bool(world_t *world, double probability)
{
	return probability > 0 && gsl_rng_uniform(world->random) < probability;
}

/* ---- Event queue: a binary heap ordered by time ------------------------
 */

static bool
is_before(const sim_event_t *one, const sim_event_t *two)
{
	return one->at_us != two->at_us ? one->at_us < two->at_us
					: one->order < two->order;
}

static sim_event_t *
schedule_event(world_t *world, int64_t at_us, sim_event_type_t type, vm_t *vm)
{
	sim_event_t *sim_event = g_new0(sim_event_t, 1);
	guint place = world->heap->len;

	sim_event->at_us = MAX(at_us, world->now_us);
	sim_event->order = world->next_order++;
	sim_event->type = type;
	sim_event->vm = vm;
	sim_event->incarnation = vm != NULL ? vm->incarnation : 0;
	g_ptr_array_add(world->heap, sim_event);
	while (place > 0 && is_before(world->heap->pdata[place],
				world->heap->pdata[(place - 1) / 2])) {
		gpointer swapped = world->heap->pdata[place];

		world->heap->pdata[place] = world->heap->pdata[(place - 1) / 2];
		world->heap->pdata[(place - 1) / 2] = swapped;
		place = (place - 1) / 2;
	}
	return sim_event;
}

static sim_event_t *
pop_event(world_t *world)
{
	sim_event_t *first = world->heap->pdata[0];
	guint place = 0;
	guint count = world->heap->len - 1;

	world->heap->pdata[0] = world->heap->pdata[count];
	g_ptr_array_set_size(world->heap, (int)count);
	for (;;) {
		guint child = 2 * place + 1;
		gpointer swapped;

		if (child >= count)
			return first;
		if (child + 1 < count &&
		    is_before(world->heap->pdata[child + 1],
			world->heap->pdata[child]))
			child++;
		if (!is_before(
			world->heap->pdata[child], world->heap->pdata[place]))
			return first;
		swapped = world->heap->pdata[place];
		world->heap->pdata[place] = world->heap->pdata[child];
		world->heap->pdata[child] = swapped;
		place = child;
	}
}

static void
free_sim_event(sim_event_t *sim_event)
{
	fleet_release(sim_event->fleet);
	g_free(sim_event->body);
	g_free(sim_event);
}

/* ---- Documents --------------------------------------------------------------
 */

static char *
format_layout(const world_t *world)
{
	const world_options_t *options = &world->options;
	GString *text = g_string_new(NULL);
	int leaves = options->instances * options->leaves;

	g_string_append_printf(text,
	    "{\"index\":\"main\",\"upstream\":\"main\",\"version\":%u,"
	    "\"instances\":[",
	    world->version);
	for (int i = 0; i < options->instances; i++)
		g_string_append_printf(text,
		    "%s{\"id\":\"main-%d\",\"address\":\"10.0.0.%d:80\","
		    "\"zone\":\"%c\",\"connections\":%d,\"leaves\":%d,"
		    "\"slots\":%d,\"connect_us\":0}",
		    i > 0 ? "," : "", i, i, 'a' + i % 3, options->connections,
		    options->leaves, options->slots);
	g_string_append(text, "],\"shards\":[");
	for (int shard = 0; shard < world->shards; shard++) {
		g_string_append(text, shard > 0 ? ",[" : "[");
		for (int replica = 0; replica < options->replicas; replica++) {
			int leaf =
			    (shard + replica * (leaves / options->replicas)) %
			    leaves;

			g_string_append_printf(text, "%s\"main-%d/%d\"",
			    replica > 0 ? "," : "", leaf / options->leaves,
			    leaf % options->leaves);
		}
		g_string_append(text, "]");
	}
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

static fleet_t *
build_fleet(world_t *world, vm_t *vm)
{
	member_t members[VMS_MAX] = { 0 };
	document_t documents[2] = { 0 };
	error_info_t error = { 0 };
	GHashTable *leaving = g_hash_table_new(g_int64_hash, g_int64_equal);
	uint64_t keys[INSTANCES_MAX];
	fleet_t *fleet;

	for (int i = 0; i < world->options.vms; i++) {
		g_strlcpy(
		    members[i].id, world->vms[i].id, sizeof(members[i].id));
		snprintf(members[i].zone, sizeof(members[i].zone), "%c",
		    'a' + i % 3);
		snprintf(
		    members[i].address, sizeof(members[i].address), "vm%d", i);
		members[i].peer_port = 100 * world->vms[i].incarnation;
		members[i].threads = 1;
	}
	for (int i = 0; i < world->options.instances; i++) {
		char id[NAME_BYTES];

		snprintf(id, sizeof(id), "main-%d", i);
		keys[i] = hash_text(id);
		if (world->instances[i].is_draining &&
		    world->now_us - world->instances[i].drained_us >
			LEAVING_DELAY_US)
			g_hash_table_add(leaving, &keys[i]);
	}
	g_strlcpy(documents[0].name, "settings", NAME_BYTES);
	documents[0].version = world->settings_version;
	documents[0].body = g_strdup_printf("fleet: test\ndefaults:\n%s%s%s",
	    world->options.settings != NULL ? world->options.settings
					    : "  home_block: 4\n",
	    world->options.exceptions != NULL ? "exceptions:\n" : "",
	    world->options.exceptions != NULL ? world->options.exceptions : "");
	documents[0].length = strlen(documents[0].body);
	g_strlcpy(documents[1].name, "index/main", NAME_BYTES);
	documents[1].version = world->version;
	documents[1].body = format_layout(world);
	documents[1].length = strlen(documents[1].body);
	fleet = fleet_create(vm->id, ++world->generation, documents, 2, members,
	    world->options.vms, leaving, &error);
	if (fleet == NULL) {
		printf("invalid simulation layout: %s %s: %s\n", error.step,
		    error.peer, error.text);
		abort();
	}
	g_free(documents[0].body);
	g_free(documents[1].body);
	g_hash_table_destroy(leaving);
	return fleet;
}

/* Each VM receives the change after its own random delay. */
static void
publish(world_t *world)
{
	for (int i = 0; i < world->options.vms; i++) {
		int64_t delay_us = (int64_t)(gsl_rng_uniform(world->random) *
					     FLEET_DELAY_MAX_US);

		schedule_event(
		    world, world->now_us + delay_us, SIM_FLEET, &world->vms[i]);
	}
}

/* ---- Ledger store
 * ------------------------------------------------------------ */

typedef struct ledger_binding {
	world_t *world;
	vm_t *vm;
} ledger_binding_t;

static ledger_binding_t ledger_bindings[VMS_MAX];

static void
get_object(void *context, const char *name)
{
	ledger_binding_t *binding = context;
	sim_event_t *sim_event = schedule_event(binding->world,
	    binding->world->now_us + binding->world->store_delay_us,
	    SIM_STORE_GET, binding->vm);

	g_strlcpy(sim_event->name, name, sizeof(sim_event->name));
}

static void
put_object(void *context, const char *name, uint64_t version, const char *body,
    size_t length)
{
	ledger_binding_t *binding = context;
	sim_event_t *sim_event = schedule_event(binding->world,
	    binding->world->now_us + binding->world->store_delay_us,
	    SIM_STORE_PUT, binding->vm);

	g_strlcpy(sim_event->name, name, sizeof(sim_event->name));
	sim_event->version = version;
	sim_event->body = g_strndup(body, length);
	sim_event->length = length;
}

static void
handle_claim_result(void *context, uint64_t request, claim_status_t status,
    const char *body, size_t length)
{
	ledger_binding_t *binding = context;
	sim_event_t *sim_event = schedule_event(
	    binding->world, binding->world->now_us, SIM_CLAIM, binding->vm);

	sim_event->number = request;
	sim_event->status = (int)status;
	sim_event->body = g_strndup(body, length);
	sim_event->length = length;
}

static void
handle_recorded(void *context, uint64_t request)
{
	ledger_binding_t *binding = context;

	schedule_event(
	    binding->world, binding->world->now_us, SIM_RECORDED, binding->vm)
	    ->number = request;
}

static void
handle_store(world_t *world, sim_event_t *sim_event)
{
	bool is_put = sim_event->type == SIM_STORE_PUT;
	stored_t *stored = g_hash_table_lookup(world->store, sim_event->name);
	reply_status_t status = REPLY_OK;
	uint64_t version = stored != NULL ? stored->version : 0;
	sim_event_t *reply;

	if (world->is_store_down) {
		status =
		    draw_bool(world, 0.5) ? REPLY_NOT_APPLIED : REPLY_UNKNOWN;
	} else if (!is_put) {
		world->report.store_reads++;
		status = stored != NULL ? REPLY_OK : REPLY_NOT_FOUND;
	} else if (sim_event->version != version) {
		world->report.store_writes++;
		world->report.store_conflicts++;
		status = REPLY_CONFLICT;
	} else {
		world->report.store_writes++;
		if (stored == NULL) {
			stored = g_new0(stored_t, 1);
			g_hash_table_insert(
			    world->store, g_strdup(sim_event->name), stored);
		}
		g_free(stored->body);
		stored->body = g_strndup(sim_event->body, sim_event->length);
		stored->length = sim_event->length;
		version = ++stored->version;
	}
	if (status == REPLY_OK &&
	    draw_bool(world, world->store_loss_probability))
		status = REPLY_UNKNOWN;
	reply = schedule_event(world, world->now_us + world->store_delay_us,
	    SIM_STORE_REPLY, sim_event->vm);
	reply->incarnation = sim_event->incarnation;
	reply->is_put = is_put;
	reply->status = (int)status;
	reply->version = version;
	g_strlcpy(reply->name, sim_event->name, sizeof(reply->name));
	if (!is_put && status == REPLY_OK) {
		reply->body = g_strndup(stored->body, stored->length);
		reply->length = stored->length;
	}
}

/* ---- VMs
 * ---------------------------------------------------------------------- */

static void
start_vm(world_t *world, vm_t *vm)
{
	core_options_t options = { .seed = world->options.seed +
					   (uint64_t)vm->incarnation,
		.log = world->options.log,
		.log_context = world->options.log_context };
	ledger_callbacks_t callbacks = { get_object, put_object,
		handle_claim_result, handle_recorded,
		&ledger_bindings[vm->number] };

	snprintf(
	    vm->id, sizeof(vm->id), "vm%d.%d", vm->number, vm->incarnation);
	snprintf(vm->endpoint, sizeof(vm->endpoint), "tcp://vm%d:%d",
	    vm->number, 100 * vm->incarnation + 1);
	g_strlcpy(options.self_id, vm->id, sizeof(options.self_id));
	g_strlcpy(options.endpoint, vm->endpoint, sizeof(options.endpoint));
	ledger_bindings[vm->number].world = world;
	ledger_bindings[vm->number].vm = vm;
	vm->core = core_create(&options);
	vm->ledger =
	    ledger_create(vm->id, options.seed ^ hash_text(vm->id), &callbacks);
	vm->timer_us = INT64_MAX;
	vm->ledger_timer_us = INT64_MAX;
	vm->paused_until_us = 0;
}

static void
handle_event(world_t *world, vm_t *vm, const event_t *event)
{
	core_handle(vm->core, world->now_us, event);
	run_actions(world, vm);
}

static void
set_timers(world_t *world, vm_t *vm)
{
	int64_t next_us = core_get_next_timer(vm->core);
	int64_t ledger_us = ledger_get_next_timer(vm->ledger);

	if (next_us < vm->timer_us) {
		vm->timer_us = next_us;
		schedule_event(world, next_us, SIM_TIMER, vm);
	}
	if (ledger_us < vm->ledger_timer_us) {
		vm->ledger_timer_us = ledger_us;
		schedule_event(world, ledger_us, SIM_LEDGER_TIMER, vm);
	}
}

static vm_t *
find_vm(world_t *world, const char *endpoint)
{
	for (int i = 0; i < world->options.vms; i++)
		if (strcmp(world->vms[i].endpoint, endpoint) == 0)
			return &world->vms[i];
	return NULL;
}

static void check_answer(world_t *world, const action_t *action, vm_t *vm);

static work_t *
create_work(world_t *world, vm_t *vm, const action_t *action)
{
	work_t *work = g_new0(work_t, 1);
	int instance = 0;

	sscanf(action->address, "10.0.0.%d:", &instance);
	work->vm = vm;
	work->incarnation = vm->incarnation;
	work->job = action->job;
	work->leaf = &world->instances[instance].leaves[action->leaf_number];
	work->is_order = action->is_order;
	work->fields = json_loadb(action->body, action->body_length, 0, NULL);
	work->deadline_us = world->now_us + action->timeout_us;
	g_hash_table_add(world->pending_works, work);
	return work;
}

static void
free_work(void *context)
{
	work_t *work = context;

	json_decref(work->fields);
	g_free(work->reply);
	g_free(work);
}

static void
cancel_work(world_t *world, vm_t *vm, uint64_t job)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, world->pending_works);
	while (g_hash_table_iter_next(&iterator, &value, NULL)) {
		work_t *work = value;

		if (work->vm == vm && work->incarnation == vm->incarnation &&
		    work->job == job && !work->is_ended) {
			world->report.cancelled++;
			work->deadline_us = 0; /* handled when the work ends */
			return;
		}
	}
}

static void
run_action(world_t *world, vm_t *vm, action_t *action)
{
	sim_event_t *sim_event;
	work_t *work;
	vm_t *target;
	claim_t claim;

	switch (action->type) {
	case ACTION_LEAF_SEND:
		world->report.leaf_requests++;
		work = create_work(world, vm, action);
		schedule_event(world,
		    world->now_us +
			(int64_t)(NETWORK_DELAY_US * world->delay_factor),
		    SIM_WORK_ARRIVES, NULL)
		    ->work = work;
		work->leaf->owner->in_flight++;
		world->report.max_connections =
		    MAX(world->report.max_connections,
			work->leaf->owner->in_flight);
		break;
	case ACTION_LEAF_CANCEL:
		cancel_work(world, vm, action->job);
		break;
	case ACTION_PEER_SEND:
		target = find_vm(world, action->address);
		if (target == NULL || draw_bool(world, world->loss_probability))
			break;
		sim_event = schedule_event(world,
		    world->now_us +
			(int64_t)(NETWORK_DELAY_US * world->delay_factor *
				  (0.5 + gsl_rng_uniform(world->random))),
		    SIM_PEER, target);
		sim_event->body = g_steal_pointer(&action->body);
		sim_event->length = action->body_length;
		break;
	case ACTION_ANSWER:
		check_answer(world, action, vm);
		break;
	case ACTION_CLAIM:
		claim =
		    (claim_t){ action->request, action->key, action->try_number,
			    action->issued_us, action->retention_us,
			    action->timeout_us, action->body_hash };
		ledger_claim(vm->ledger, world->now_us, world->now_us, &claim);
		break;
	case ACTION_RECORD:
		ledger_record(vm->ledger, world->now_us, action->request,
		    action->key, action->has_run, action->body,
		    action->body_length);
		break;
	case ACTION_REPORT_LEAVING:
		schedule_event(
		    world, world->now_us + LEAVING_DELAY_US, SIM_LEAVING, NULL);
		break;
	}
}

static void
run_actions(world_t *world, vm_t *vm)
{
	action_t action;

	while (core_take_action(vm->core, &action)) {
		run_action(world, vm, &action);
		action_clear(&action);
	}
	set_timers(world, vm);
}

/* ---- Leaves
 * --------------------------------------------------------------------- */

static char *
format_reply(world_t *world, const work_t *work)
{
	const char *query =
	    json_string_value(json_object_get(work->fields, "query"));
	int shard =
	    (int)json_integer_value(json_object_get(work->fields, "shard"));
	uint32_t version = (uint32_t)json_integer_value(
	    json_object_get(work->fields, "index_version"));

	if (draw_bool(world, world->garbage_probability))
		return g_strdup("{\"hits\": no");
	if (draw_bool(world, world->wrong_version_probability))
		version++;
	return g_strdup_printf("{\"request\":\"%s\",\"attempt\":%lld,\"index_"
			       "version\":%u,\"shard\":%d,\"hits\":[{\"id\":\"%"
			       "d\",\"score\":0.5,\"text\":\"%u %s\"}]}",
	    json_string_value(json_object_get(work->fields, "request")),
	    json_integer_value(json_object_get(work->fields, "attempt")),
	    version, shard, shard, version, query);
}

static void
send_reply(world_t *world, work_t *work, run_status_t status, char *body)
{
	sim_event_t *sim_event;
	int copies =
	    status == RUN_OK && draw_bool(world, world->duplicate_probability)
		? 2
		: 1;

	work->leaf->owner->in_flight--;
	for (int i = 0; i < copies; i++) {
		sim_event = schedule_event(world,
		    world->now_us +
			(int64_t)(NETWORK_DELAY_US * world->delay_factor),
		    SIM_LEAF_REPLY, work->vm);
		sim_event->incarnation = work->incarnation;
		sim_event->number = work->job;
		sim_event->status = (int)status;
		sim_event->instance = work->leaf->instance;
		sim_event->body = g_strdup(body != NULL ? body : "");
		sim_event->length = strlen(sim_event->body);
	}
	g_free(body);
	work->is_ended = true;
	g_hash_table_remove(world->pending_works, work);
}

static void
start_work(world_t *world, work_t *work)
{
	fake_leaf_t *leaf = work->leaf;
	double service_us =
	    world->options.service_us *
	    exp(gsl_ran_gaussian(world->random, world->options.sigma));

	service_us *= leaf->owner->slow_factor;
	if (draw_bool(world, world->slow_probability))
		service_us *= world->slow_factor;
	if (leaf->cold_left > 0) {
		leaf->cold_left--;
		service_us *= COLD_START_FACTOR;
	}
	leaf->busy++;
	work->is_running = true;
	schedule_event(
	    world, world->now_us + (int64_t)service_us, SIM_WORK_ENDS, NULL)
	    ->work = work;
}

static void
receive_work(world_t *world, work_t *work)
{
	fake_leaf_t *leaf = work->leaf;
	uint32_t version = (uint32_t)json_integer_value(
	    json_object_get(work->fields, "index_version"));

	if (leaf->owner->is_hanging) {
		schedule_event(world, work->deadline_us, SIM_WORK_ENDS, NULL)
		    ->work = work;
		return;
	}
	if (leaf->owner->is_draining &&
	    world->now_us - leaf->owner->drained_us >
		DRAIN_GRACE_US + LEAVING_DELAY_US)
		world->report.late_work++;
	if (version != world->version &&
	    (version != world->old_version ||
		world->now_us > world->old_until_us)) {
		send_reply(world, work, RUN_VERSION_REMOVED, NULL);
		return;
	}
	if (leaf->busy < world->options.slots) {
		start_work(world, work);
	} else if ((int)g_queue_get_length(&leaf->queue) <
		   QUEUED_PER_SLOT_MAX * world->options.slots) {
		g_queue_push_tail(&leaf->queue, work);
	} else {
		world->report.leaf_shed++;
		send_reply(world, work, RUN_NOT_RUN, NULL);
	}
}

static void
run_order(world_t *world, const char *key)
{
	order_record_t *record = g_hash_table_lookup(world->orders, key);

	record->runs++;
	if (record->runs > 1)
		report_error(world, "order %s ran %d times", key, record->runs);
	if (record->last_refused_try == record->tries)
		report_error(world,
		    "order %s ran after its last try was answered not_run",
		    key);
}

static void
finish_work(world_t *world, work_t *work)
{
	fake_leaf_t *leaf = work->leaf;
	bool is_late = world->now_us >= work->deadline_us;

	if (!work->is_running) { /* hanging instance: the VM's timeout expired
				  */
		send_reply(world, work, RUN_TIMED_OUT, NULL);
		return;
	}
	leaf->busy--;
	if (work->is_order) {
		run_order(world, json_string_value(
				     json_object_get(work->fields, "request")));
		send_reply(world, work, is_late ? RUN_TIMED_OUT : RUN_OK,
		    g_strdup("{\"confirmation\":1}"));
	} else if (is_late) {
		send_reply(world, work,
		    work->deadline_us == 0 ? RUN_CANCELLED : RUN_TIMED_OUT,
		    NULL);
	} else {
		char *reply = format_reply(world, work);

		if (draw_bool(world, world->crossed_probability)) {
			char *other = world->crossed_reply;

			world->crossed_reply = reply;
			reply = other != NULL ? other : g_strdup("{}");
		}
		send_reply(world, work, RUN_OK, reply);
	}
	run_leaf(world, leaf);
}

static void
run_leaf(world_t *world, fake_leaf_t *leaf)
{
	while (leaf->busy < world->options.slots &&
	       !g_queue_is_empty(&leaf->queue)) {
		work_t *work = g_queue_pop_head(&leaf->queue);

		if (world->now_us >= work->deadline_us && !work->is_order)
			send_reply(world, work,
			    work->deadline_us == 0 ? RUN_CANCELLED
						   : RUN_NOT_RUN,
			    NULL);
		else
			start_work(world, work);
	}
}

/* ---- Callers
 * ---------------------------------------------------------------------- */

static call_t *
create_call(world_t *world, rank_t rank, bool is_order)
{
	call_t *call = g_new0(call_t, 1);

	call->id = ++world->next_call;
	call->vm = &world->vms[gsl_rng_uniform_int(
	    world->random, (unsigned long)world->options.vms)];
	call->incarnation = call->vm->incarnation;
	call->rank = rank;
	call->is_order = is_order;
	call->sent_us = world->now_us;
	g_hash_table_insert(world->calls, &call->id, call);
	return call;
}

static void
send_search(world_t *world, rank_t rank)
{
	call_t *call = create_call(world, rank, false);
	event_t event = { .type = EVENT_SEARCH,
		.index = "main",
		.rank = (int)rank,
		.limit = 100 };
	char name[NAME_BYTES];
	int caller = 0;

	call->text = g_strdup_printf("q%" G_GUINT64_FORMAT, call->id);
	if (world->callers[rank] > 1 &&
	    !draw_bool(world, world->first_share[rank]))
		caller = 1 + (int)gsl_rng_uniform_int(world->random,
				 (unsigned long)world->callers[rank] - 1);
	snprintf(name, sizeof(name), "caller%d", caller);
	event.caller = call->id;
	event.caller_name = name;
	event.text = call->text;
	event.text_length = strlen(call->text);
	call->due_us = world->now_us + 20000000;
	world->report.ranks[rank].sent++;
	if (world->now_us < call->vm->paused_until_us) {
		/* A paused VM reads the request when it resumes; the pause
		 * counts towards the caller's latency. */
		sim_event_t *later = schedule_event(
		    world, call->vm->paused_until_us, SIM_RESUME, call->vm);

		later->number = call->id;
		later->rank = rank;
		return;
	}
	handle_event(world, call->vm, &event);
}

static void
send_order_event(world_t *world, call_t *call)
{
	event_t event = {
		.type = EVENT_ORDER, .index = "main", .rank = RANK_STANDARD
	};

	event.caller = call->id;
	event.idempotency_key = call->text;
	event.issued_us = call->issued_us;
	event.try_number = call->try_number;
	event.is_repeat = call->try_number > 1;
	event.text = "{}";
	event.text_length = 2;
	handle_event(world, call->vm, &event);
}

/* Sends a new order, or repeats a recent one through a random VM. */
static void
send_order(world_t *world)
{
	call_t *call = create_call(world, RANK_STANDARD, true);
	order_record_t *record;

	if (world->keys->len > 0 && draw_bool(world, 0.3)) {
		guint back = (guint)gsl_rng_uniform_int(
		    world->random, MIN(world->keys->len, 30));

		call->text = g_strdup(g_ptr_array_index(
		    world->keys, world->keys->len - 1 - back));
	} else {
		call->text = g_strdup_printf("key%u", world->keys->len);
		g_ptr_array_add(world->keys, g_strdup(call->text));
		g_hash_table_insert(world->orders, g_strdup(call->text),
		    g_new0(order_record_t, 1));
	}
	record = g_hash_table_lookup(world->orders, call->text);
	record->tries++;
	call->try_number = record->tries;
	call->issued_us = world->now_us;
	call->due_us = world->now_us + 20000000;
	world->report.orders++;
	if (world->now_us < call->vm->paused_until_us) {
		schedule_event(
		    world, call->vm->paused_until_us, SIM_RESUME, call->vm)
		    ->number = call->id;
		return;
	}
	send_order_event(world, call);
}

static void
check_order_answer(world_t *world, call_t *call, const json_t *root)
{
	const char *outcome =
	    json_string_value(json_object_get(root, "outcome"));
	order_record_t *record = g_hash_table_lookup(world->orders, call->text);

	if (g_strcmp0(outcome, "done") == 0) {
		world->report.orders_done++;
		if (record->runs != 1)
			report_error(world,
			    "order %s was answered done but ran %d times",
			    call->text, record->runs);
	} else if (g_strcmp0(outcome, "not_run") == 0) {
		world->report.orders_not_run++;
		record->last_refused_try =
		    MAX(record->last_refused_try, call->try_number);
		/* A repeated order ignores the answers of its earlier tries. */
		if (record->runs > 0 && call->try_number == record->tries)
			report_error(world,
			    "order %s was answered not_run but ran",
			    call->text);
	} else if (g_strcmp0(outcome, "unknown") == 0) {
		world->report.orders_unknown++;
	} else {
		report_error(world, "order %s has outcome %s", call->text,
		    outcome != NULL ? outcome : "none");
	}
	world->report.orders_repeated +=
	    json_is_true(json_object_get(root, "repeated"));
}

static void
check_search_answer(
    world_t *world, call_t *call, int status, const json_t *root)
{
	world_rank_t *rank = &world->report.ranks[call->rank];
	const json_t *coverage = json_object_get(root, "coverage");
	int answered =
	    (int)json_integer_value(json_object_get(coverage, "answered"));
	int total = (int)json_integer_value(json_object_get(coverage, "total"));
	int missing =
	    (int)json_array_size(json_object_get(coverage, "missing"));
	int64_t took_us = world->now_us - call->sent_us;
	char expected[NAME_BYTES];
	json_t *hit;
	size_t i;

	if (coverage == NULL) {
		if (status == 503 || status == 429) {
			rank->refused++;
			histogram_add(
			    rank->refusal_us, (double)MAX(took_us, 1));
		} else {
			rank->failed++;
		}
		return;
	}
	histogram_add(rank->latency_us, (double)took_us);
	rank->coverage += (double)answered / total;
	if (answered == total)
		rank->full++;
	else
		rank->partial++;
	world->report.shard_requests += total;
	if (answered + missing != total)
		report_error(world,
		    "query %s: %d answered and %d missing of %d", call->text,
		    answered, missing, total);
	if ((int)json_array_size(json_object_get(root, "hits")) !=
	    MIN(answered, 100))
		report_error(world, "query %s: %zu hits for %d shards",
		    call->text, json_array_size(json_object_get(root, "hits")),
		    answered);
	snprintf(expected, sizeof(expected), "%lld %.40s",
	    json_integer_value(json_object_get(root, "snapshot")), call->text);
	json_array_foreach(json_object_get(root, "hits"), i,
	    hit) if (g_strcmp0(json_string_value(json_object_get(hit, "text")),
			 expected) != 0) report_error(world,
	    "query %s: a hit has text \"%s\", expected \"%s\"", call->text,
	    json_string_value(json_object_get(hit, "text")), expected);
}

static void
check_answer(world_t *world, const action_t *action, vm_t *vm)
{
	call_t *call = g_hash_table_lookup(world->calls, &action->caller);
	json_t *root = json_loadb(action->body, action->body_length, 0, NULL);

	if (call == NULL || call->vm != vm ||
	    call->incarnation != vm->incarnation) {
		report_error(world,
		    "an answer was sent to caller %" G_GUINT64_FORMAT
		    ", which has no pending request",
		    action->caller);
	} else {
		if (call->is_order)
			check_order_answer(world, call, root);
		else
			check_search_answer(
			    world, call, action->http_status, root);
		g_hash_table_remove(world->calls, &call->id);
	}
	json_decref(root);
}

static void
free_call(void *context)
{
	call_t *call = context;

	g_free(call->text);
	g_free(call);
}

/* ---- Event loop
 * ------------------------------------------------------------------- */

static void
schedule_call(world_t *world, rank_t rank)
{
	world->has_calls_scheduled[rank] =
	    world->rate[rank] > 0 && !world->is_stopping;
	if (world->has_calls_scheduled[rank])
		schedule_event(world,
		    world->now_us + (int64_t)gsl_ran_exponential(
					world->random, 1e6 / world->rate[rank]),
		    SIM_CALL, NULL)
		    ->rank = rank;
}

static void
schedule_order(world_t *world)
{
	world->has_orders_scheduled =
	    world->options.order_rate > 0 && !world->is_stopping;
	if (world->has_orders_scheduled)
		schedule_event(world,
		    world->now_us + (int64_t)gsl_ran_exponential(world->random,
					1e6 / world->options.order_rate),
		    SIM_ORDER, NULL);
}

static bool
is_vm_event(sim_event_type_t type)
{
	return type == SIM_PEER || type == SIM_TIMER ||
	       type == SIM_LEDGER_TIMER || type == SIM_LEAF_REPLY ||
	       type == SIM_FLEET || type == SIM_STORE_REPLY ||
	       type == SIM_CLAIM || type == SIM_RECORDED || type == SIM_RESUME;
}

static void
resume_call(world_t *world, sim_event_t *sim_event)
{
	call_t *call = g_hash_table_lookup(world->calls, &sim_event->number);
	event_t event = { .type = EVENT_SEARCH,
		.index = "main",
		.limit = 100,
		.caller_name = "paused" };

	if (call == NULL)
		return;
	if (call->is_order) {
		send_order_event(world, call);
		return;
	}
	event.caller = call->id;
	event.rank = (int)call->rank;
	event.text = call->text;
	event.text_length = strlen(call->text);
	handle_event(world, call->vm, &event);
}

static void
run_vm_event(world_t *world, sim_event_t *sim_event)
{
	vm_t *vm = sim_event->vm;
	event_t event = { .body = sim_event->body,
		.body_length = sim_event->length };

	switch (sim_event->type) {
	case SIM_PEER:
		event.type = EVENT_PEER;
		break;
	case SIM_TIMER:
		if (sim_event->at_us < vm->timer_us)
			return; /* the timer was set again */
		vm->timer_us = INT64_MAX;
		event.type = EVENT_TICK;
		break;
	case SIM_LEAF_REPLY:
		event.type = EVENT_LEAF_REPLY;
		event.job = sim_event->number;
		event.status = (run_status_t)sim_event->status;
		event.is_leaving =
		    world->instances[sim_event->instance].is_draining;
		break;
	case SIM_FLEET:
		fleet_release(vm->fleet);
		vm->fleet = build_fleet(world, vm);
		event.type = EVENT_FLEET;
		event.fleet = vm->fleet;
		break;
	case SIM_CLAIM:
		event.type = EVENT_CLAIM;
		event.request = sim_event->number;
		event.claim = (claim_status_t)sim_event->status;
		break;
	case SIM_RECORDED:
		event.type = EVENT_RECORDED;
		event.request = sim_event->number;
		break;
	case SIM_LEDGER_TIMER:
		if (sim_event->at_us < vm->ledger_timer_us)
			return;
		vm->ledger_timer_us = INT64_MAX;
		ledger_tick(vm->ledger, world->now_us);
		set_timers(world, vm);
		return;
	case SIM_STORE_REPLY:
		if (sim_event->is_put)
			ledger_reply_put(vm->ledger, world->now_us,
			    sim_event->name, (reply_status_t)sim_event->status,
			    sim_event->version);
		else
			ledger_reply_get(vm->ledger, world->now_us,
			    sim_event->name, (reply_status_t)sim_event->status,
			    sim_event->version, sim_event->body,
			    sim_event->length);
		set_timers(world, vm);
		return;
	case SIM_RESUME:
		resume_call(world, sim_event);
		return;
	default:
		return;
	}
	handle_event(world, vm, &event);
}

static void
run_sim_event(world_t *world, sim_event_t *sim_event)
{
	vm_t *vm = sim_event->vm;

	if (is_vm_event(sim_event->type)) {
		if (vm->incarnation != sim_event->incarnation)
			return;
		if (world->now_us < vm->paused_until_us) {
			sim_event_t *later = schedule_event(
			    world, vm->paused_until_us, sim_event->type, vm);
			int64_t at_us = later->at_us;
			uint64_t order = later->order;

			*later = *sim_event;
			later->at_us = at_us;
			later->order = order;
			sim_event->body = NULL;
			sim_event->fleet = NULL;
			return;
		}
		run_vm_event(world, sim_event);
		return;
	}
	switch (sim_event->type) {
	case SIM_CALL:
		send_search(world, sim_event->rank);
		schedule_call(world, sim_event->rank);
		break;
	case SIM_ORDER:
		send_order(world);
		schedule_order(world);
		break;
	case SIM_WORK_ARRIVES:
		receive_work(world, sim_event->work);
		break;
	case SIM_WORK_ENDS:
		finish_work(world, sim_event->work);
		break;
	case SIM_LEAVING:
		publish(world);
		break;
	case SIM_STORE_GET:
	case SIM_STORE_PUT:
		handle_store(world, sim_event);
		break;
	default:
		break;
	}
}

world_t *
world_create(const world_options_t *options)
{
	world_t *world = g_new0(world_t, 1);

	world->options = *options;
	world->random = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(world->random, (unsigned long)options->seed);
	world->heap = g_ptr_array_new();
	world->calls =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_call);
	world->orders =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	world->store =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	world->pending_works =
	    g_hash_table_new_full(NULL, NULL, free_work, NULL);
	world->keys = g_ptr_array_new_with_free_func(g_free);
	world->version = 1;
	world->settings_version = 1;
	world->shards = options->shards;
	world->delay_factor = 1;
	world->store_delay_us = 2000;
	world->slow_factor = 1;
	world->now_us = 1000000;
	for (rank_t rank = 0; rank < RANK_COUNT; rank++) {
		world->rate[rank] = options->rate[rank];
		world->callers[rank] = 1;
		world->first_share[rank] = 1;
		world->report.ranks[rank].latency_us =
		    histogram_create(100, 6e7, 1.02);
		world->report.ranks[rank].refusal_us =
		    histogram_create(1, 6e7, 1.1);
	}
	for (int i = 0; i < options->instances; i++) {
		world->instances[i].slow_factor = 1;
		for (int j = 0; j < options->leaves; j++) {
			fake_leaf_t *leaf = &world->instances[i].leaves[j];

			leaf->instance = i;
			leaf->number = j;
			leaf->owner = &world->instances[i];
			g_queue_init(&leaf->queue);
		}
	}
	for (int i = 0; i < options->vms; i++) {
		world->vms[i].number = i;
		world->vms[i].incarnation = 1;
		start_vm(world, &world->vms[i]);
	}
	for (int i = 0; i < options->vms; i++) {
		sim_event_t first = { .type = SIM_FLEET,
			.vm = &world->vms[i],
			.incarnation = 1 };

		run_sim_event(world, &first);
	}
	for (rank_t rank = 0; rank < RANK_COUNT; rank++)
		schedule_call(world, rank);
	schedule_order(world);
	return world;
}

void
world_destroy(world_t *world)
{
	GHashTableIter iterator;
	gpointer value;

	while (world->heap->len > 0)
		free_sim_event(pop_event(world));
	g_ptr_array_free(world->heap, TRUE);
	for (int i = 0; i < world->options.vms; i++) {
		core_destroy(world->vms[i].core);
		ledger_destroy(world->vms[i].ledger);
		fleet_release(world->vms[i].fleet);
	}
	for (int i = 0; i < world->options.instances; i++)
		for (int j = 0; j < world->options.leaves; j++)
			g_queue_clear(&world->instances[i].leaves[j].queue);
	g_hash_table_iter_init(&iterator, world->store);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		g_free(((stored_t *)value)->body);
		g_free(value);
	}
	g_hash_table_destroy(world->store);
	g_hash_table_destroy(world->calls);
	g_hash_table_destroy(world->orders);
	g_hash_table_destroy(world->pending_works);
	g_ptr_array_free(world->keys, TRUE);
	for (rank_t rank = 0; rank < RANK_COUNT; rank++) {
		histogram_destroy(world->report.ranks[rank].latency_us);
		histogram_destroy(world->report.ranks[rank].refusal_us);
	}
	g_free(world->crossed_reply);
	gsl_rng_free(world->random);
	g_free(world);
}

void
world_run(world_t *world, int64_t duration_us)
{
	int64_t until_us = world->now_us + duration_us;

	while (world->heap->len > 0) {
		sim_event_t *next = world->heap->pdata[0];

		if (next->at_us > until_us)
			break;
		next = pop_event(world);
		world->now_us = next->at_us;
		run_sim_event(world, next);
		free_sim_event(next);
	}
	world->now_us = until_us;
}

void
world_finish(world_t *world)
{
	world->is_stopping = true;
	world_run(world, 60000000);
}

const world_report_t *
world_get_report(const world_t *world)
{
	return &world->report;
}

void
world_reset_report(world_t *world)
{
	int64_t errors = world->report.errors;

	for (rank_t rank = 0; rank < RANK_COUNT; rank++) {
		histogram_destroy(world->report.ranks[rank].latency_us);
		histogram_destroy(world->report.ranks[rank].refusal_us);
	}
	memset(&world->report, 0, sizeof(world->report));
	world->report.errors = errors;
	for (rank_t rank = 0; rank < RANK_COUNT; rank++) {
		world->report.ranks[rank].latency_us =
		    histogram_create(100, 6e7, 1.02);
		world->report.ranks[rank].refusal_us =
		    histogram_create(1, 6e7, 1.1);
	}
}

int64_t
world_get_now(const world_t *world)
{
	return world->now_us;
}

/* Checks that every request to a running VM was answered and that no core
 * reported an invariant violation. */
int
world_check(world_t *world)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, world->calls);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const call_t *call = value;

		if (call->incarnation == call->vm->incarnation)
			report_error(world,
			    "request \"%s\" of %s was never answered",
			    call->text, call->vm->id);
	}
	if (metric_get(METRIC_INVARIANT_VIOLATIONS) > 0)
		report_error(world,
		    "%" G_GINT64_FORMAT
		    " invariant violations inside the cores",
		    metric_get(METRIC_INVARIANT_VIOLATIONS));
	return (int)world->report.errors;
}

/* ---- Faults
 * ----------------------------------------------------------------------------
 */

void
world_set_rate(world_t *world, rank_t rank, double rate)
{
	world->rate[rank] = rate;
	if (!world->has_calls_scheduled[rank])
		schedule_call(world, rank);
}

void
world_set_callers(world_t *world, rank_t rank, int callers, double first_share)
{
	world->callers[rank] = callers;
	world->first_share[rank] = first_share;
}

void
world_slow_instance(world_t *world, int instance, double factor)
{
	world->instances[instance].slow_factor = factor;
}

void
world_slow_requests(world_t *world, double probability, double factor)
{
	world->slow_probability = probability;
	world->slow_factor = factor;
}

void
world_hang_instance(world_t *world, int instance, bool is_hanging)
{
	world->instances[instance].is_hanging = is_hanging;
}

void
world_drain_instance(world_t *world, int instance, bool is_draining)
{
	world->instances[instance].is_draining = is_draining;
	world->instances[instance].drained_us = world->now_us;
	if (!is_draining)
		publish(world);
}

void
world_cold_start_instance(world_t *world, int instance)
{
	for (int i = 0; i < world->options.leaves; i++)
		world->instances[instance].leaves[i].cold_left =
		    COLD_START_REQUESTS;
}

void
world_repartition(world_t *world, int shards)
{
	world->old_version = world->version++;
	world->old_until_us = world->now_us + OLD_VERSION_KEPT_US;
	world->shards = shards;
	publish(world);
}

void
world_corrupt_replies(world_t *world, double crossed_probability,
    double garbage_probability, double duplicate_probability,
    double wrong_version_probability)
{
	world->crossed_probability = crossed_probability;
	world->garbage_probability = garbage_probability;
	world->duplicate_probability = duplicate_probability;
	world->wrong_version_probability = wrong_version_probability;
}

void
world_set_network(world_t *world, double loss_probability, double delay_factor)
{
	world->loss_probability = loss_probability;
	world->delay_factor = delay_factor;
}

void
world_pause_vm(world_t *world, int vm, int64_t duration_us)
{
	world->vms[vm].paused_until_us = world->now_us + duration_us;
}

void
world_replace_vm(world_t *world, int number)
{
	vm_t *vm = &world->vms[number];
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, world->calls);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		if (((call_t *)value)->vm == vm &&
		    ((call_t *)value)->incarnation == vm->incarnation)
			world->report.lost_answers++;
	core_destroy(vm->core);
	ledger_destroy(vm->ledger);
	fleet_release(vm->fleet);
	vm->fleet = NULL;
	vm->incarnation++;
	start_vm(world, vm);
	schedule_event(world, world->now_us, SIM_FLEET, vm);
	publish(world);
}

void
world_set_store(world_t *world, bool is_down, double store_loss_probability,
    int64_t delay_us)
{
	world->is_store_down = is_down;
	world->store_loss_probability = store_loss_probability;
	world->store_delay_us = delay_us;
}

void
world_inject_random_fault(world_t *world)
{
	int instance = (int)gsl_rng_uniform_int(
	    world->random, (unsigned long)world->options.instances);
	int vm = (int)gsl_rng_uniform_int(
	    world->random, (unsigned long)world->options.vms);
	bool is_on = draw_bool(world, 0.5);

	switch (gsl_rng_uniform_int(world->random, 13)) {
	case 0:
		world_slow_instance(world, instance, is_on ? 10 : 1);
		break;
	case 1:
		world_slow_requests(world, is_on ? 0.01 : 0, 10);
		break;
	case 2:
		world_hang_instance(world, instance, is_on);
		break;
	case 3:
		world_drain_instance(world, instance, is_on);
		break;
	case 4:
		world_cold_start_instance(world, instance);
		break;
	case 5:
		world_repartition(
		    world, world->options.shards / 2 +
			       (int)gsl_rng_uniform_int(world->random,
				   (unsigned long)world->options.shards));
		break;
	case 6:
		world_corrupt_replies(world, is_on ? 0.02 : 0, is_on ? 0.02 : 0,
		    is_on ? 0.02 : 0, is_on ? 0.02 : 0);
		break;
	case 7:
		world_set_network(world, is_on ? 0.05 : 0, is_on ? 10 : 1);
		break;
	case 8:
		world_pause_vm(world, vm,
		    (int64_t)(gsl_rng_uniform(world->random) * 2000000));
		break;
	case 9:
		world_replace_vm(world, vm);
		break;
	case 10:
		world_set_store(
		    world, is_on, is_on ? 0 : 0.1, is_on ? 2000 : 20000);
		break;
	case 11:
		world_set_rate(world, RANK_BULK,
		    is_on ? world->options.rate[RANK_BULK] * 5
			  : world->options.rate[RANK_BULK]);
		break;
	case 12:
		world_set_rate(world, RANK_URGENT,
		    is_on ? world->options.rate[RANK_URGENT] * 3
			  : world->options.rate[RANK_URGENT]);
		break;
	default:
		break;
	}
}
