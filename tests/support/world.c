/**
 * @file world.c
 * Cores in virtual time with small fakes at their interfaces.
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
#define QUEUE_PER_SLOT	    4
#define LINK_DELAY_US	    300
#define FLEET_DELAY_US	    200000
#define SIGN_DELAY_US	    1000000
#define DRAIN_GRACE_US	    3000000
#define OLD_VERSION_KEPT_US 300000
#define COLD_REQUESTS	    40
#define COLD_FACTOR	    6
#define HANG_US		    60000000
#define CALLERS_MAX	    16

typedef struct vm {
	int number, life;
	char id[NAME_BYTES], endpoint[ENDPOINT_BYTES];
	core_t *core;
	ledger_t *ledger;
	int64_t paused_until_us;
	int64_t timer_us, ledger_timer_us; /* the earliest that is scheduled */
	fleet_t *fleet;
} vm_t;

typedef struct work work_t;

typedef struct leaf_fake {
	int instance, number, busy, cold_left;
	GQueue queue;
	struct instance_fake *owner;
} leaf_fake_t;

typedef struct instance_fake {
	leaf_fake_t leaves[LEAVES_MAX];
	double slow_factor;
	bool hangs, drains;
	int64_t drained_us;
	int in_flight;
} instance_fake_t;

struct work {
	vm_t *vm;
	int life;
	uint64_t job;
	leaf_fake_t *leaf;
	json_t *fields;
	bool is_order, is_running, is_ended;
	int64_t deadline_us;
	char *reply;
};

typedef struct call {
	uint64_t id;
	vm_t *vm;
	int life;
	rank_t rank;
	bool is_order;
	char *text; /* the query, or the key */
	int64_t sent_us, due_us;
	bool is_answered;
	int64_t issued_us;
	int try_number;
} call_t;

typedef struct order_fact {
	int runs, tries, refused_try; /* the last that was called not_run */
} order_fact_t;

typedef struct stored {
	uint64_t version;
	char *body;
	size_t length;
} stored_t;

typedef enum happening_type {
	H_CALL,
	H_ORDER,
	H_PEER,
	H_TIMER,
	H_LEDGER_TIMER,
	H_WORK_ARRIVES,
	H_WORK_ENDS,
	H_LEAF_REPLY,
	H_FLEET,
	H_SIGN,
	H_STORE_GET,
	H_STORE_PUT,
	H_STORE_REPLY,
	H_CLAIM,
	H_RECORDED,
	H_RESUME
} happening_type_t;

typedef struct happening {
	int64_t at_us;
	uint64_t order;
	happening_type_t type;
	vm_t *vm;
	int life;
	work_t *work;
	rank_t rank;
	uint64_t number, version;
	int status, instance;
	bool is_put;
	char name[NAME_BYTES];
	char *body;
	size_t length;
	fleet_t *fleet;
} happening_t;

struct world {
	world_options_t options;
	gsl_rng *random;
	int64_t now_us;
	uint64_t next_order, next_call;
	GPtrArray *heap;
	vm_t vms[VMS_MAX];
	instance_fake_t instances[INSTANCES_MAX];
	GHashTable *calls;  /* id -> call_t */
	GHashTable *orders; /* key -> order_fact_t */
	GHashTable *store;  /* name -> stored_t */
	GHashTable *works;  /* all that have not ended */
	GPtrArray *keys;
	uint32_t version, old_version;
	uint64_t generation, settings_version;
	int64_t old_until_us;
	int shards;
	double slow_part, slow_factor, crossed, garbage, doubled, wrong_version,
	    loss, delay_factor, lost;
	bool is_store_down, is_draining;
	int64_t store_delay_us;
	double rate[RANK_COUNT];
	int callers[RANK_COUNT];
	double first_share[RANK_COUNT];
	bool is_running[RANK_COUNT], is_ordering;
	world_report_t report;
	char *held_reply; /* to be crossed */
};

static void pump(world_t *world, vm_t *vm);
static void run_leaf(world_t *world, leaf_fake_t *leaf);
static void fail(world_t *world, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void
fail(world_t *world, const char *format, ...)
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
happens(world_t *world, double part)
{
	return part > 0 && gsl_rng_uniform(world->random) < part;
}

/* ---- The queue of what happens next: a binary heap ------------------------
 */

static bool
is_before(const happening_t *one, const happening_t *two)
{
	return one->at_us != two->at_us ? one->at_us < two->at_us
					: one->order < two->order;
}

static happening_t *
add_happening(world_t *world, int64_t at_us, happening_type_t type, vm_t *vm)
{
	happening_t *happening = g_new0(happening_t, 1);
	guint place = world->heap->len;

	happening->at_us = MAX(at_us, world->now_us);
	happening->order = world->next_order++;
	happening->type = type;
	happening->vm = vm;
	happening->life = vm != NULL ? vm->life : 0;
	g_ptr_array_add(world->heap, happening);
	while (place > 0 && is_before(world->heap->pdata[place],
				world->heap->pdata[(place - 1) / 2])) {
		gpointer swapped = world->heap->pdata[place];

		world->heap->pdata[place] = world->heap->pdata[(place - 1) / 2];
		world->heap->pdata[(place - 1) / 2] = swapped;
		place = (place - 1) / 2;
	}
	return happening;
}

static happening_t *
take_happening(world_t *world)
{
	happening_t *first = world->heap->pdata[0];
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
free_happening(happening_t *happening)
{
	fleet_release(happening->fleet);
	g_free(happening->body);
	g_free(happening);
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
		members[i].peer_port = 100 * world->vms[i].life;
		members[i].threads = 1;
	}
	for (int i = 0; i < world->options.instances; i++) {
		char id[NAME_BYTES];

		snprintf(id, sizeof(id), "main-%d", i);
		keys[i] = hash_text(id);
		if (world->instances[i].drains &&
		    world->now_us - world->instances[i].drained_us >
			SIGN_DELAY_US)
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
		printf("bad world: %s %s: %s\n", error.step, error.peer,
		    error.text);
		abort();
	}
	g_free(documents[0].body);
	g_free(documents[1].body);
	g_hash_table_destroy(leaving);
	return fleet;
}

/* Every VM learns of a change after a delay of its own. */
static void
publish(world_t *world)
{
	for (int i = 0; i < world->options.vms; i++) {
		int64_t delay_us =
		    (int64_t)(gsl_rng_uniform(world->random) * FLEET_DELAY_US);

		add_happening(
		    world, world->now_us + delay_us, H_FLEET, &world->vms[i]);
	}
}

/* ---- Ledger store
 * ------------------------------------------------------------ */

typedef struct ledger_link {
	world_t *world;
	vm_t *vm;
} ledger_link_t;

static ledger_link_t links[VMS_MAX];

static void
get_object(void *context, const char *name)
{
	ledger_link_t *link = context;
	happening_t *happening = add_happening(link->world,
	    link->world->now_us + link->world->store_delay_us, H_STORE_GET,
	    link->vm);

	g_strlcpy(happening->name, name, sizeof(happening->name));
}

static void
put_object(void *context, const char *name, uint64_t version, const char *body,
    size_t length)
{
	ledger_link_t *link = context;
	happening_t *happening = add_happening(link->world,
	    link->world->now_us + link->world->store_delay_us, H_STORE_PUT,
	    link->vm);

	g_strlcpy(happening->name, name, sizeof(happening->name));
	happening->version = version;
	happening->body = g_strndup(body, length);
	happening->length = length;
}

static void
tell_claimed(void *context, uint64_t request, claim_status_t status,
    const char *body, size_t length)
{
	ledger_link_t *link = context;
	happening_t *happening =
	    add_happening(link->world, link->world->now_us, H_CLAIM, link->vm);

	happening->number = request;
	happening->status = (int)status;
	happening->body = g_strndup(body, length);
	happening->length = length;
}

static void
tell_recorded(void *context, uint64_t request)
{
	ledger_link_t *link = context;

	add_happening(link->world, link->world->now_us, H_RECORDED, link->vm)
	    ->number = request;
}

static void
handle_store(world_t *world, happening_t *happening)
{
	bool is_put = happening->type == H_STORE_PUT;
	stored_t *stored = g_hash_table_lookup(world->store, happening->name);
	reply_status_t status = REPLY_OK;
	uint64_t version = stored != NULL ? stored->version : 0;
	happening_t *reply;

	if (world->is_store_down) {
		status =
		    happens(world, 0.5) ? REPLY_NOT_APPLIED : REPLY_UNKNOWN;
	} else if (!is_put) {
		world->report.store_reads++;
		status = stored != NULL ? REPLY_OK : REPLY_NOT_FOUND;
	} else if (happening->version != version) {
		world->report.store_writes++;
		world->report.store_conflicts++;
		status = REPLY_CONFLICT;
	} else {
		world->report.store_writes++;
		if (stored == NULL) {
			stored = g_new0(stored_t, 1);
			g_hash_table_insert(
			    world->store, g_strdup(happening->name), stored);
		}
		g_free(stored->body);
		stored->body = g_strndup(happening->body, happening->length);
		stored->length = happening->length;
		version = ++stored->version;
	}
	if (status == REPLY_OK && happens(world, world->lost))
		status = REPLY_UNKNOWN;
	reply = add_happening(world, world->now_us + world->store_delay_us,
	    H_STORE_REPLY, happening->vm);
	reply->life = happening->life;
	reply->is_put = is_put;
	reply->status = (int)status;
	reply->version = version;
	g_strlcpy(reply->name, happening->name, sizeof(reply->name));
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
	core_options_t options = { .seed =
				       world->options.seed + (uint64_t)vm->life,
		.log = world->options.log,
		.log_context = world->options.log_context };
	ledger_callbacks_t callbacks = { get_object, put_object, tell_claimed,
		tell_recorded, &links[vm->number] };

	snprintf(vm->id, sizeof(vm->id), "vm%d.%d", vm->number, vm->life);
	snprintf(vm->endpoint, sizeof(vm->endpoint), "tcp://vm%d:%d",
	    vm->number, 100 * vm->life + 1);
	g_strlcpy(options.self_id, vm->id, sizeof(options.self_id));
	g_strlcpy(options.endpoint, vm->endpoint, sizeof(options.endpoint));
	links[vm->number].world = world;
	links[vm->number].vm = vm;
	vm->core = core_create(&options);
	vm->ledger =
	    ledger_create(vm->id, options.seed ^ hash_text(vm->id), &callbacks);
	vm->timer_us = INT64_MAX;
	vm->ledger_timer_us = INT64_MAX;
	vm->paused_until_us = 0;
}

static void
give_event(world_t *world, vm_t *vm, const event_t *event)
{
	core_handle(vm->core, world->now_us, event);
	pump(world, vm);
}

static void
set_timers(world_t *world, vm_t *vm)
{
	int64_t next_us = core_get_next_timer(vm->core);
	int64_t ledger_us = ledger_get_next_timer(vm->ledger);

	if (next_us < vm->timer_us) {
		vm->timer_us = next_us;
		add_happening(world, next_us, H_TIMER, vm);
	}
	if (ledger_us < vm->ledger_timer_us) {
		vm->ledger_timer_us = ledger_us;
		add_happening(world, ledger_us, H_LEDGER_TIMER, vm);
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
	work->life = vm->life;
	work->job = action->job;
	work->leaf = &world->instances[instance].leaves[action->leaf_number];
	work->is_order = action->is_order;
	work->fields = json_loadb(action->body, action->body_length, 0, NULL);
	work->deadline_us = world->now_us + action->timeout_us;
	g_hash_table_add(world->works, work);
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

	g_hash_table_iter_init(&iterator, world->works);
	while (g_hash_table_iter_next(&iterator, &value, NULL)) {
		work_t *work = value;

		if (work->vm == vm && work->life == vm->life &&
		    work->job == job && !work->is_ended) {
			world->report.cancelled++;
			work->deadline_us = 0; /* seen when it would end */
			return;
		}
	}
}

static void
run_action(world_t *world, vm_t *vm, action_t *action)
{
	happening_t *happening;
	work_t *work;
	vm_t *target;
	claim_t claim;

	switch (action->type) {
	case ACTION_LEAF_SEND:
		world->report.leaf_requests++;
		work = create_work(world, vm, action);
		add_happening(world,
		    world->now_us +
			(int64_t)(LINK_DELAY_US * world->delay_factor),
		    H_WORK_ARRIVES, NULL)
		    ->work = work;
		work->leaf->owner->in_flight++;
		world->report.most_connections =
		    MAX(world->report.most_connections,
			work->leaf->owner->in_flight);
		break;
	case ACTION_LEAF_CANCEL:
		cancel_work(world, vm, action->job);
		break;
	case ACTION_PEER_SEND:
		target = find_vm(world, action->address);
		if (target == NULL || happens(world, world->loss))
			break;
		happening = add_happening(world,
		    world->now_us +
			(int64_t)(LINK_DELAY_US * world->delay_factor *
				  (0.5 + gsl_rng_uniform(world->random))),
		    H_PEER, target);
		happening->body = g_steal_pointer(&action->body);
		happening->length = action->body_length;
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
	case ACTION_SIGN_LEAVING:
		add_happening(
		    world, world->now_us + SIGN_DELAY_US, H_SIGN, NULL);
		break;
	}
}

static void
pump(world_t *world, vm_t *vm)
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

	if (happens(world, world->garbage))
		return g_strdup("{\"hits\": no");
	if (happens(world, world->wrong_version))
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
	happening_t *happening;
	int copies = status == RUN_OK && happens(world, world->doubled) ? 2 : 1;

	work->leaf->owner->in_flight--;
	for (int i = 0; i < copies; i++) {
		happening = add_happening(world,
		    world->now_us +
			(int64_t)(LINK_DELAY_US * world->delay_factor),
		    H_LEAF_REPLY, work->vm);
		happening->life = work->life;
		happening->number = work->job;
		happening->status = (int)status;
		happening->instance = work->leaf->instance;
		happening->body = g_strdup(body != NULL ? body : "");
		happening->length = strlen(happening->body);
	}
	g_free(body);
	work->is_ended = true;
	g_hash_table_remove(world->works, work);
}

static void
start_work(world_t *world, work_t *work)
{
	leaf_fake_t *leaf = work->leaf;
	double service_us =
	    world->options.service_us *
	    exp(gsl_ran_gaussian(world->random, world->options.sigma));

	service_us *= leaf->owner->slow_factor;
	if (happens(world, world->slow_part))
		service_us *= world->slow_factor;
	if (leaf->cold_left > 0) {
		leaf->cold_left--;
		service_us *= COLD_FACTOR;
	}
	leaf->busy++;
	work->is_running = true;
	add_happening(
	    world, world->now_us + (int64_t)service_us, H_WORK_ENDS, NULL)
	    ->work = work;
}

static void
arrive_work(world_t *world, work_t *work)
{
	leaf_fake_t *leaf = work->leaf;
	uint32_t version = (uint32_t)json_integer_value(
	    json_object_get(work->fields, "index_version"));

	if (leaf->owner->hangs) {
		add_happening(world, work->deadline_us, H_WORK_ENDS, NULL)
		    ->work = work;
		return;
	}
	if (leaf->owner->drains && world->now_us - leaf->owner->drained_us >
				       DRAIN_GRACE_US + SIGN_DELAY_US)
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
		   QUEUE_PER_SLOT * world->options.slots) {
		g_queue_push_tail(&leaf->queue, work);
	} else {
		world->report.leaf_shed++;
		send_reply(world, work, RUN_NOT_RUN, NULL);
	}
}

static void
run_order(world_t *world, const char *key)
{
	order_fact_t *fact = g_hash_table_lookup(world->orders, key);

	fact->runs++;
	if (fact->runs > 1)
		fail(world, "order %s ran %d times", key, fact->runs);
	if (fact->refused_try == fact->tries)
		fail(world,
		    "order %s ran after its last try was called not_run", key);
}

static void
end_work(world_t *world, work_t *work)
{
	leaf_fake_t *leaf = work->leaf;
	bool is_late = world->now_us >= work->deadline_us;

	if (!work->is_running) { /* hanging: the VM's own time-out */
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

		if (happens(world, world->crossed)) {
			char *other = world->held_reply;

			world->held_reply = reply;
			reply = other != NULL ? other : g_strdup("{}");
		}
		send_reply(world, work, RUN_OK, reply);
	}
	run_leaf(world, leaf);
}

static void
run_leaf(world_t *world, leaf_fake_t *leaf)
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
	call->life = call->vm->life;
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
	    !happens(world, world->first_share[rank]))
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
		/* A paused VM reads it later; callers that wait count it all
		 * the same. */
		happening_t *later = add_happening(
		    world, call->vm->paused_until_us, H_RESUME, call->vm);

		later->number = call->id;
		later->rank = rank;
		return;
	}
	give_event(world, call->vm, &event);
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
	give_event(world, call->vm, &event);
}

/* A new order, or one of the last ones asked again through any VM. */
static void
send_order(world_t *world)
{
	call_t *call = create_call(world, RANK_STANDARD, true);
	order_fact_t *fact;

	if (world->keys->len > 0 && happens(world, 0.3)) {
		guint back = (guint)gsl_rng_uniform_int(
		    world->random, MIN(world->keys->len, 30));

		call->text = g_strdup(g_ptr_array_index(
		    world->keys, world->keys->len - 1 - back));
	} else {
		call->text = g_strdup_printf("key%u", world->keys->len);
		g_ptr_array_add(world->keys, g_strdup(call->text));
		g_hash_table_insert(world->orders, g_strdup(call->text),
		    g_new0(order_fact_t, 1));
	}
	fact = g_hash_table_lookup(world->orders, call->text);
	fact->tries++;
	call->try_number = fact->tries;
	call->issued_us = world->now_us;
	call->due_us = world->now_us + 20000000;
	world->report.orders++;
	if (world->now_us < call->vm->paused_until_us) {
		add_happening(
		    world, call->vm->paused_until_us, H_RESUME, call->vm)
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
	order_fact_t *fact = g_hash_table_lookup(world->orders, call->text);

	if (g_strcmp0(outcome, "done") == 0) {
		world->report.orders_done++;
		if (fact->runs != 1)
			fail(world, "order %s is called done and ran %d times",
			    call->text, fact->runs);
	} else if (g_strcmp0(outcome, "not_run") == 0) {
		world->report.orders_not_run++;
		fact->refused_try = MAX(fact->refused_try, call->try_number);
		/* Who has asked again does not hear earlier tries' answers. */
		if (fact->runs > 0 && call->try_number == fact->tries)
			fail(world, "order %s is called not_run and ran",
			    call->text);
	} else if (g_strcmp0(outcome, "unknown") == 0) {
		world->report.orders_unknown++;
	} else {
		fail(world, "order %s has outcome %s", call->text,
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
		fail(world, "query %s: %d answered and %d missing of %d",
		    call->text, answered, missing, total);
	if ((int)json_array_size(json_object_get(root, "hits")) !=
	    MIN(answered, 100))
		fail(world, "query %s: %zu hits for %d shards", call->text,
		    json_array_size(json_object_get(root, "hits")), answered);
	snprintf(expected, sizeof(expected), "%lld %.40s",
	    json_integer_value(json_object_get(root, "snapshot")), call->text);
	json_array_foreach(json_object_get(root, "hits"), i,
	    hit) if (g_strcmp0(json_string_value(json_object_get(hit, "text")),
			 expected) != 0)
	    fail(world, "query %s: a hit says \"%s\", not \"%s\"", call->text,
		json_string_value(json_object_get(hit, "text")), expected);
}

static void
check_answer(world_t *world, const action_t *action, vm_t *vm)
{
	call_t *call = g_hash_table_lookup(world->calls, &action->caller);
	json_t *root = json_loadb(action->body, action->body_length, 0, NULL);

	if (call == NULL || call->vm != vm || call->life != vm->life) {
		fail(world,
		    "an answer went to caller %" G_GUINT64_FORMAT
		    ", who does not wait",
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

/* ---- What happens
 * ------------------------------------------------------------------- */

static void
schedule_call(world_t *world, rank_t rank)
{
	world->is_running[rank] = world->rate[rank] > 0 && !world->is_draining;
	if (world->is_running[rank])
		add_happening(world,
		    world->now_us + (int64_t)gsl_ran_exponential(
					world->random, 1e6 / world->rate[rank]),
		    H_CALL, NULL)
		    ->rank = rank;
}

static void
schedule_order(world_t *world)
{
	world->is_ordering =
	    world->options.order_rate > 0 && !world->is_draining;
	if (world->is_ordering)
		add_happening(world,
		    world->now_us + (int64_t)gsl_ran_exponential(world->random,
					1e6 / world->options.order_rate),
		    H_ORDER, NULL);
}

static bool
is_for_vm(happening_type_t type)
{
	return type == H_PEER || type == H_TIMER || type == H_LEDGER_TIMER ||
	       type == H_LEAF_REPLY || type == H_FLEET ||
	       type == H_STORE_REPLY || type == H_CLAIM || type == H_RECORDED ||
	       type == H_RESUME;
}

static void
resume_call(world_t *world, happening_t *happening)
{
	call_t *call = g_hash_table_lookup(world->calls, &happening->number);
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
	give_event(world, call->vm, &event);
}

static void
run_vm_happening(world_t *world, happening_t *happening)
{
	vm_t *vm = happening->vm;
	event_t event = { .body = happening->body,
		.body_length = happening->length };

	switch (happening->type) {
	case H_PEER:
		event.type = EVENT_PEER;
		break;
	case H_TIMER:
		if (happening->at_us < vm->timer_us)
			return; /* set anew since */
		vm->timer_us = INT64_MAX;
		event.type = EVENT_TICK;
		break;
	case H_LEAF_REPLY:
		event.type = EVENT_LEAF_REPLY;
		event.job = happening->number;
		event.status = (run_status_t)happening->status;
		event.is_leaving = world->instances[happening->instance].drains;
		break;
	case H_FLEET:
		fleet_release(vm->fleet);
		vm->fleet = build_fleet(world, vm);
		event.type = EVENT_FLEET;
		event.fleet = vm->fleet;
		break;
	case H_CLAIM:
		event.type = EVENT_CLAIM;
		event.request = happening->number;
		event.claim = (claim_status_t)happening->status;
		break;
	case H_RECORDED:
		event.type = EVENT_RECORDED;
		event.request = happening->number;
		break;
	case H_LEDGER_TIMER:
		if (happening->at_us < vm->ledger_timer_us)
			return;
		vm->ledger_timer_us = INT64_MAX;
		ledger_tick(vm->ledger, world->now_us);
		set_timers(world, vm);
		return;
	case H_STORE_REPLY:
		if (happening->is_put)
			ledger_reply_put(vm->ledger, world->now_us,
			    happening->name, (reply_status_t)happening->status,
			    happening->version);
		else
			ledger_reply_get(vm->ledger, world->now_us,
			    happening->name, (reply_status_t)happening->status,
			    happening->version, happening->body,
			    happening->length);
		set_timers(world, vm);
		return;
	case H_RESUME:
		resume_call(world, happening);
		return;
	default:
		return;
	}
	give_event(world, vm, &event);
}

static void
run_happening(world_t *world, happening_t *happening)
{
	vm_t *vm = happening->vm;

	if (is_for_vm(happening->type)) {
		if (vm->life != happening->life)
			return;
		if (world->now_us < vm->paused_until_us) {
			happening_t *later = add_happening(
			    world, vm->paused_until_us, happening->type, vm);
			int64_t at_us = later->at_us;
			uint64_t order = later->order;

			*later = *happening;
			later->at_us = at_us;
			later->order = order;
			happening->body = NULL;
			happening->fleet = NULL;
			return;
		}
		run_vm_happening(world, happening);
		return;
	}
	switch (happening->type) {
	case H_CALL:
		send_search(world, happening->rank);
		schedule_call(world, happening->rank);
		break;
	case H_ORDER:
		send_order(world);
		schedule_order(world);
		break;
	case H_WORK_ARRIVES:
		arrive_work(world, happening->work);
		break;
	case H_WORK_ENDS:
		end_work(world, happening->work);
		break;
	case H_SIGN:
		publish(world);
		break;
	case H_STORE_GET:
	case H_STORE_PUT:
		handle_store(world, happening);
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
	world->works = g_hash_table_new_full(NULL, NULL, free_work, NULL);
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
			leaf_fake_t *leaf = &world->instances[i].leaves[j];

			leaf->instance = i;
			leaf->number = j;
			leaf->owner = &world->instances[i];
			g_queue_init(&leaf->queue);
		}
	}
	for (int i = 0; i < options->vms; i++) {
		world->vms[i].number = i;
		world->vms[i].life = 1;
		start_vm(world, &world->vms[i]);
	}
	for (int i = 0; i < options->vms; i++) {
		happening_t first = {
			.type = H_FLEET, .vm = &world->vms[i], .life = 1
		};

		run_happening(world, &first);
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
		free_happening(take_happening(world));
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
	g_hash_table_destroy(world->works);
	g_ptr_array_free(world->keys, TRUE);
	for (rank_t rank = 0; rank < RANK_COUNT; rank++) {
		histogram_destroy(world->report.ranks[rank].latency_us);
		histogram_destroy(world->report.ranks[rank].refusal_us);
	}
	g_free(world->held_reply);
	gsl_rng_free(world->random);
	g_free(world);
}

void
world_run(world_t *world, int64_t duration_us)
{
	int64_t until_us = world->now_us + duration_us;

	while (world->heap->len > 0) {
		happening_t *next = world->heap->pdata[0];

		if (next->at_us > until_us)
			break;
		next = take_happening(world);
		world->now_us = next->at_us;
		run_happening(world, next);
		free_happening(next);
	}
	world->now_us = until_us;
}

void
world_drain(world_t *world)
{
	world->is_draining = true;
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

/* Every request of a VM that lives is answered; not_run orders never ran. */
int
world_check(world_t *world)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, world->calls);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const call_t *call = value;

		if (call->life == call->vm->life)
			fail(world, "request \"%s\" of %s was never answered",
			    call->text, call->vm->id);
	}
	if (metric_get(METRIC_INVARIANT_VIOLATIONS) > 0)
		fail(world,
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
	if (!world->is_running[rank])
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
world_slow_requests(world_t *world, double part, double factor)
{
	world->slow_part = part;
	world->slow_factor = factor;
}

void
world_hang_instance(world_t *world, int instance, bool hangs)
{
	world->instances[instance].hangs = hangs;
}

void
world_drain_instance(world_t *world, int instance, bool drains)
{
	world->instances[instance].drains = drains;
	world->instances[instance].drained_us = world->now_us;
	if (!drains)
		publish(world);
}

void
world_cool_instance(world_t *world, int instance)
{
	for (int i = 0; i < world->options.leaves; i++)
		world->instances[instance].leaves[i].cold_left = COLD_REQUESTS;
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
world_spoil_replies(world_t *world, double crossed, double garbage,
    double doubled, double wrong_version)
{
	world->crossed = crossed;
	world->garbage = garbage;
	world->doubled = doubled;
	world->wrong_version = wrong_version;
}

void
world_set_links(world_t *world, double loss, double delay_factor)
{
	world->loss = loss;
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
		    ((call_t *)value)->life == vm->life)
			world->report.lost_answers++;
	core_destroy(vm->core);
	ledger_destroy(vm->ledger);
	fleet_release(vm->fleet);
	vm->fleet = NULL;
	vm->life++;
	start_vm(world, vm);
	add_happening(world, world->now_us, H_FLEET, vm);
	publish(world);
}

void
world_set_store(world_t *world, bool is_down, double lost, int64_t delay_us)
{
	world->is_store_down = is_down;
	world->lost = lost;
	world->store_delay_us = delay_us;
}

void
world_random_fault(world_t *world)
{
	int instance = (int)gsl_rng_uniform_int(
	    world->random, (unsigned long)world->options.instances);
	int vm = (int)gsl_rng_uniform_int(
	    world->random, (unsigned long)world->options.vms);
	bool is_on = happens(world, 0.5);

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
		world_cool_instance(world, instance);
		break;
	case 5:
		world_repartition(
		    world, world->options.shards / 2 +
			       (int)gsl_rng_uniform_int(world->random,
				   (unsigned long)world->options.shards));
		break;
	case 6:
		world_spoil_replies(world, is_on ? 0.02 : 0, is_on ? 0.02 : 0,
		    is_on ? 0.02 : 0, is_on ? 0.02 : 0);
		break;
	case 7:
		world_set_links(world, is_on ? 0.05 : 0, is_on ? 10 : 1);
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
