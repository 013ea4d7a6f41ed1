/**
 * @file tier_world.c
 * Event simulation around several tiers; see tier_world.h.
 */
#include "tier_world.h"

#include <gsl/gsl_randist.h>
#include <stdio.h>
#include <string.h>

#define WORLD_QUEUE	 12
#define WORLD_SLOTS	 2
#define PAUSE_US	 200000
#define PAUSE_EVERY_US	 4500000
#define CALLER_DELAY_US	 1000
#define ZONE_DELAY_US	 100
#define REMOTE_DELAY_US	 12000
#define CONNECTIONS	 26
#define FETCH_LEAVES	 4
#define FETCH_SLOTS	 6
#define FETCH_LIMIT	 110
#define BURST_BEGIN_US	 4000000
#define BURST_END_US	 7000000
#define DRAIN_US	 4000000
#define RETURN_WORTH	 0.525 /* mean worth of a late answer and one in time */
#define DRAIN_BOUND_US	 3000000
#define ASKED_TIME_US	 1000000
#define ASKED_SLACK_US	 500000 /* requests may be on their way */
#define RETRY_RATIO	 0.2
#define RETRY_SLACK	 58
#define STEP_US		 500000
#define WINDOW_STEPS	 20 /* 10 s */
#define MAX_STEPS	 64
#define INITIAL_VM_COUNT 100 /* as in tier_process.c */

typedef enum world_event_type {
	WORLD_CALL,
	WORLD_RETURN, /* a refused caller tries again */
	WORLD_ARRIVE, /* a request at a leaf */
	WORLD_FINISH, /* a slot ends */
	WORLD_REPLY,  /* an answer at a VM */
	WORLD_CHANGE  /* the directory */
} world_event_type_t;

typedef struct world_job world_job_t;
typedef struct world_leaf world_leaf_t;

typedef struct world_event {
	int64_t at_us;
	uint64_t order;
	world_event_type_t type;
	int flow;
	world_job_t *job;
	world_leaf_t *leaf;
} world_event_t;

typedef struct world_vm {
	tier_world_t *world;
	tier_t *tier;
	int zone;
	int64_t due_us;
} world_vm_t;

typedef struct world_call {
	tier_world_t *world;
	char id[32], target[32];
	int flow;
	int64_t begun_us;
	int64_t original_us; /* start of the caller's original call */
	int runs, open;
	bool is_return, is_answered;
	int status;
} world_call_t;

/** One attempt in flight. */
struct world_job {
	tier_attempt_t *attempt; /* NULL: cancelled */
	world_vm_t *vm;
	world_leaf_t *leaf;
	world_call_t *call;
	int64_t network_delay_us;
	int flow;
	attempt_outcome_t outcome;
	bool says_leaving, asks_time, denies_run;
};

/** What a VM has heard from a leaf. */
typedef struct world_word {
	int64_t leaving_us, asked_us; /* when it passed on the answer; or 0 */
} world_word_t;

struct world_leaf {
	char id[16], service[16];
	int zone, number, slots, busy;
	int connections;
	double speed;
	int64_t pause_phase_us;
	GQueue queue; /* world_job_t */
	bool is_faulty, is_draining;
};

/** Arrivals at one service, by step of time. */
typedef struct world_service {
	int original[MAX_STEPS], extra[MAX_STEPS];
} world_service_t;

struct tier_world {
	tier_world_options_t options;
	gsl_rng *random;
	GSequence *events;
	uint64_t order;
	int64_t now_us;
	GPtrArray *vms, *leaves, *calls, *jobs;
	GHashTable *regions;
	GHashTable *arrived;  /* "call service" */
	GHashTable *services; /* name -> world_service_t */
	GHashTable *words;    /* "vm leaf" -> world_word_t */
	GHashTable *ran;      /* "call service" -> set of world_leaf_t */
	route_table_t *table;
	world_result_t results[4];
	world_totals_t totals;
	double refuse_us;
	int refused;
};

static const struct flow_kind {
	const char *prefix;
	int64_t caller_timeout_us, objective_us;
	int rank, records;
	double min_coverage, work_us;
	bool is_gather;
} flow_kinds[] = {
	{ "/list/", 1000000, 150000, 1, 20, 0.89, 15000, true },
	{ "/lookup/", 600000, 100000, 0, 5, 0.75, 5000, true },
	{ "/fetch/", 3000000, 1000000, 2, 0, 1.0, 120000, false },
};

static int
get_max_attempts(const tier_world_t *world)
{
	return world->options.max_attempts > 0 ? world->options.max_attempts
					       : 2;
}

static const struct flow_kind *
get_kind(const char *prefix)
{
	for (size_t i = 0; i < G_N_ELEMENTS(flow_kinds); i++)
		if (strcmp(flow_kinds[i].prefix, prefix) == 0)
			return &flow_kinds[i];
	return &flow_kinds[0];
}

static int
compare_events(gconstpointer left, gconstpointer right, gpointer context)
{
	const world_event_t *a = left, *b = right;

	if (a->at_us != b->at_us)
		return a->at_us < b->at_us ? -1 : 1;
	return a->order < b->order ? -1 : 1;
}

static void
add_event(tier_world_t *world, int64_t at_us, world_event_type_t type, int flow,
    world_job_t *job, world_leaf_t *leaf)
{
	world_event_t *event = g_new0(world_event_t, 1);

	*event =
	    (world_event_t){ at_us, world->order++, type, flow, job, leaf };
	g_sequence_insert_sorted(world->events, event, compare_events, NULL);
}

static void
report(tier_world_t *world, const char *what, const world_call_t *call)
{
	world->totals.violations++;
	printf("violation at %.3f s: %s, request %s\n",
	    (double)world->now_us / 1e6, what, call->id);
}

/* ---- Leaves ---- */

static bool
is_in_fault(const tier_world_t *world, const world_leaf_t *leaf)
{
	return leaf->is_faulty &&
	       world->now_us >= world->options.fault_begin_us &&
	       world->now_us < world->options.fault_end_us;
}

/* End time of work that starts now, pauses included. */
static int64_t
get_end(const tier_world_t *world, const world_leaf_t *leaf, int64_t work_us)
{
	int64_t at_us = world->now_us;
	int64_t in_cycle;

	if (!world->options.has_pauses)
		return at_us + work_us;
	in_cycle = (at_us + leaf->pause_phase_us) % PAUSE_EVERY_US;
	if (in_cycle < PAUSE_US)
		at_us += PAUSE_US - in_cycle;
	in_cycle = MAX(in_cycle, PAUSE_US);
	if (in_cycle + work_us > PAUSE_EVERY_US)
		work_us += PAUSE_US;
	return at_us + work_us;
}

/* Counts the leaves that ran one part of a call. */
static void
record_run(tier_world_t *world, const world_job_t *job)
{
	char *key = g_strdup_printf("%s %s", job->call->id, job->leaf->service);
	GHashTable *leaves = g_hash_table_lookup(world->ran, key);

	if (leaves == NULL) {
		leaves = g_hash_table_new(NULL, NULL);
		g_hash_table_insert(world->ran, key, leaves);
	} else
		g_free(key);
	if (g_hash_table_add(leaves, job->leaf) &&
	    (int)g_hash_table_size(leaves) > get_max_attempts(world))
		world->totals.over_attempts++;
}

static void
start_job(tier_world_t *world, world_leaf_t *leaf, world_job_t *job)
{
	const struct flow_kind *kind =
	    get_kind(world->options.flows[job->flow].prefix);
	double work = gsl_ran_lognormal(world->random, 0, 0.35) *
		      kind->work_us * leaf->speed;
	bool is_faulty = is_in_fault(world, leaf);
	double draw = gsl_rng_uniform(world->random);

	if (gsl_rng_uniform(world->random) < 0.01)
		work *= 5;
	if (is_faulty && world->options.fault == FAULT_SLOW)
		work *= 8;
	job->outcome = OUTCOME_ANSWERED;
	job->denies_run =
	    is_faulty && world->options.fault == FAULT_DENY_RUN && draw < 0.4;
	if (is_faulty && world->options.fault == FAULT_ERROR && draw < 0.4)
		job->outcome = OUTCOME_LEAF_FAILED;
	if (is_faulty && world->options.fault == FAULT_MUTE && draw < 0.4)
		job->outcome = OUTCOME_CONNECTION_LOST;
	if (is_faulty && world->options.fault == FAULT_LOSE && draw < 0.08)
		job->outcome = OUTCOME_CONNECTION_LOST;
	if (is_faulty && world->options.fault == FAULT_RESET && draw < 0.3)
		job->outcome =
		    OUTCOME_CONNECTION_LIMIT; /* on a new connection */
	if (job->denies_run)
		job->outcome = OUTCOME_LEAF_FAILED;
	record_run(world, job);
	leaf->busy++;
	job->call->runs++;
	world->totals.runs++;
	add_event(world, get_end(world, leaf, (int64_t)work), WORLD_FINISH, 0,
	    job, leaf);
}

static void
reply(tier_world_t *world, world_job_t *job, attempt_outcome_t outcome)
{
	job->outcome = outcome;
	add_event(world, world->now_us + job->network_delay_us, WORLD_REPLY, 0,
	    job, NULL);
}

static world_service_t *
find_service(tier_world_t *world, const char *name)
{
	world_service_t *service = g_hash_table_lookup(world->services, name);

	if (service != NULL)
		return service;
	service = g_new0(world_service_t, 1);
	g_hash_table_insert(world->services, g_strdup(name), service);
	return service;
}

/* Records the use of the retry budget in the window that ends now. */
static void
record_budget_use(tier_world_t *world, const world_service_t *service, int step)
{
	int original = 0, extra = 0;
	double share;

	for (int i = MAX(step - WINDOW_STEPS + 1, 0); i <= step; i++) {
		original += service->original[i];
		extra += service->extra[i];
	}
	share = extra / (RETRY_RATIO * original + RETRY_SLACK);
	world->totals.max_budget_use = MAX(world->totals.max_budget_use, share);
}

/* Counts each arrival after a call's first at a service as extra. */
static void
count_arrival(tier_world_t *world, const world_job_t *job)
{
	char *key = g_strdup_printf("%s %s", job->call->id, job->leaf->service);
	world_service_t *service = find_service(world, job->leaf->service);
	int step = (int)MIN(world->now_us / STEP_US, MAX_STEPS - 1);

	if (g_hash_table_add(world->arrived, key)) {
		world->totals.original++;
		service->original[step]++;
	} else {
		world->totals.extra++;
		service->extra[step]++;
	}
	record_budget_use(world, service, step);
}

static world_word_t *
find_word(tier_world_t *world, const world_job_t *job)
{
	char *key =
	    g_strdup_printf("%p %s", (const void *)job->vm, job->leaf->id);
	world_word_t *word = g_hash_table_lookup(world->words, key);

	if (word != NULL) {
		g_free(key);
		return word;
	}
	word = g_new0(world_word_t, 1);
	g_hash_table_insert(world->words, key, word);
	return word;
}

/* Counts the arrivals that the leaf's own word forbids. */
static void
check_word(tier_world_t *world, const world_job_t *job)
{
	const world_word_t *word = find_word(world, job);

	if (word->leaving_us != 0 &&
	    job->call->begun_us > word->leaving_us + DRAIN_BOUND_US)
		world->totals.sent_to_left++;
	if (word->asked_us != 0 &&
	    world->now_us > word->asked_us + ASKED_SLACK_US &&
	    world->now_us < word->asked_us + ASKED_TIME_US)
		world->totals.sent_unwanted++;
}

static void
arrive(tier_world_t *world, world_job_t *job)
{
	world_leaf_t *leaf = job->leaf;
	bool is_faulty = is_in_fault(world, leaf);
	world_fault_t fault = is_faulty ? world->options.fault : FAULT_NONE;

	if (job->attempt == NULL)
		return; /* closed in transit; the leaf discards it */
	if (leaf->is_draining && world->now_us > DRAIN_US + 200000)
		world->totals.sent_to_drained++;
	check_word(world, job);
	job->says_leaving = fault == FAULT_LEAVE;
	if (fault == FAULT_UNRESPONSIVE) {
		count_arrival(world, job);
		return;
	}
	if (fault == FAULT_REFUSE) {
		reply(world, job, OUTCOME_UNSENT);
		return;
	}
	count_arrival(world, job);
	if (fault == FAULT_ASK_TIME) {
		job->asks_time = true;
		reply(world, job, OUTCOME_NOT_RUN);
		return;
	}
	if ((fault == FAULT_SHED && gsl_rng_uniform(world->random) < 0.45) ||
	    g_queue_get_length(&leaf->queue) >= WORLD_QUEUE) {
		reply(world, job, OUTCOME_NOT_RUN);
		return;
	}
	if (leaf->busy < leaf->slots)
		start_job(world, leaf, job);
	else
		g_queue_push_tail(&leaf->queue, job);
}

static void
finish(tier_world_t *world, world_leaf_t *leaf, world_job_t *job)
{
	leaf->busy--;
	if (job->attempt != NULL)
		reply(world, job, job->outcome);
	while (leaf->busy < leaf->slots && !g_queue_is_empty(&leaf->queue)) {
		world_job_t *next = g_queue_pop_head(&leaf->queue);

		if (next->attempt != NULL)
			start_job(world, leaf, next);
	}
}

static void
take_reply(tier_world_t *world, world_job_t *job)
{
	char stamp[48], body[64];
	leaf_answer_t answer = { .outcome = job->outcome,
		.status = job->outcome == OUTCOME_ANSWERED ? 200
			  : job->denies_run		   ? 503
							   : 500,
		.promises_not_run = job->denies_run,
		.stamp = stamp,
		.body = body,
		.body_length = 64,
		.is_leaving = job->says_leaving,
		.retry_after_us = job->asks_time ? ASKED_TIME_US : 0 };
	tier_attempt_t *attempt = job->attempt;
	world_word_t *word = find_word(world, job);

	if (attempt == NULL)
		return;
	if (job->says_leaving && word->leaving_us == 0)
		word->leaving_us = world->now_us;
	if (job->asks_time)
		word->asked_us = world->now_us;
	g_snprintf(
	    stamp, sizeof(stamp), "%s.%s", job->call->id, job->leaf->service);
	for (size_t i = 0; i < sizeof(body); i++)
		body[i] = (char)gsl_rng_uniform_int(world->random, 256);
	job->attempt = NULL;
	job->leaf->connections--;
	job->vm->due_us = 0;
	tier_handle_answer(job->vm->tier, world->now_us, attempt, &answer);
}

/* ---- Callbacks of the tier ---- */

static void
send_attempt(void *context, tier_attempt_t *attempt)
{
	world_vm_t *vm = context;
	tier_world_t *world = vm->world;
	world_call_t *call = attempt->caller;
	world_job_t *job = g_new0(world_job_t, 1);

	g_ptr_array_add(world->jobs, job);
	job->attempt = attempt;
	job->vm = vm;
	job->call = call;
	job->flow = call->flow;
	for (guint i = 0; i < world->leaves->len; i++) {
		world_leaf_t *leaf = g_ptr_array_index(world->leaves, i);

		if (strcmp(leaf->id, attempt->leaf->entry.id) == 0)
			job->leaf = leaf;
	}
	if (job->leaf == NULL) {
		report(world, "sent to a leaf that does not exist", call);
		return;
	}
	job->network_delay_us =
	    job->leaf->zone == vm->zone ? ZONE_DELAY_US : REMOTE_DELAY_US;
	job->leaf->connections++;
	world->totals.max_connections =
	    MAX(world->totals.max_connections, job->leaf->connections);
	if (call->is_answered)
		report(world, "sent after its answer", call);
	attempt->connection = job;
	add_event(world, world->now_us + job->network_delay_us, WORLD_ARRIVE, 0,
	    job, NULL);
}

static void
cancel_attempt(void *context, tier_attempt_t *attempt)
{
	world_job_t *job = attempt->connection;

	job->attempt = NULL;
	job->leaf->connections--;
}

/* Connections of the simulated leaves are counted while a request uses them. */
static void
warm_leaf(void *context, tier_leaf_t *leaf)
{
}

static void
close_leaf(void *context, tier_leaf_t *leaf)
{
}

static void return_call(
    tier_world_t *world, const world_call_t *call, int64_t retry_us);

static void
check_gather(
    tier_world_t *world, const world_call_t *call, const tier_answer_t *answer)
{
	int shards = world->options.shards;
	int parts = (int)answer->stamps->len;
	const struct flow_kind *kind =
	    get_kind(world->options.flows[call->flow].prefix);
	const char *records = answer->records->str;

	if (parts + answer->missing_count != shards)
		report(world, "the parts don't make up the set", call);
	if (parts < (int)(kind->min_coverage * shards))
		report(world, "fewer parts than the least share", call);
	for (int i = 0; i < parts; i++) {
		const char *stamp = g_ptr_array_index(answer->stamps, i);

		if (!g_str_has_prefix(stamp, call->id))
			report(world, "a part of another request", call);
		for (int j = 0; j < i; j++)
			if (strcmp(stamp,
				g_ptr_array_index(answer->stamps, j)) == 0)
				report(world, "a shard twice", call);
	}
	for (size_t i = RECORD_BYTES; i < answer->records->len;
	     i += RECORD_BYTES)
		if (memcmp(records + i - RECORD_BYTES, records + i,
			RECORD_BYTES) < 0)
			report(world, "the records don't fall", call);
}

static void
answer_call(void *context, void *caller, const tier_answer_t *answer)
{
	world_vm_t *vm = context;
	tier_world_t *world = vm->world;
	world_call_t *call = caller;
	world_result_t *result = &world->results[call->flow];
	const struct flow_kind *kind =
	    get_kind(world->options.flows[call->flow].prefix);
	int64_t took_us = world->now_us - call->begun_us + 2 * CALLER_DELAY_US;
	double share = 1;

	if (call->is_answered)
		report(world, "answered twice", call);
	call->is_answered = true;
	call->status = answer->type == ANSWER_STATUS ? answer->status : 200;
	if (answer->type == ANSWER_LEAF && answer->status >= 500)
		call->status = answer->status;
	if (call->status == 503) {
		result->refused++;
		world->refuse_us += (double)took_us;
		world->refused++;
		if (call->runs > 0)
			world->totals.refused_but_ran++;
		if (answer->retry_after_us <= 0)
			report(world, "a refusal without Retry-After", call);
		return_call(world, call, answer->retry_after_us);
		return;
	}
	if (call->status != 200) {
		result->failed++;
		return;
	}
	if (answer->type == ANSWER_GATHER) {
		check_gather(world, call, answer);
		share = (double)answer->stamps->len / world->options.shards;
		result->partial += answer->missing_count > 0;
	}
	if (took_us <= kind->objective_us) {
		result->in_time++;
		world->totals.useful_runs += call->runs;
		result->worth +=
		    share * share * (call->is_return ? RETURN_WORTH : 1);
	} else {
		result->late++;
		result->worth += 0.05 * share * share;
	}
}

static void
ignore_log(void *context, log_event_t event, const char *text)
{
}

/* ---- Setting up ---- */

static directory_t *
make_directory(const tier_world_t *world)
{
	directory_t *directory = directory_create(world->table,
	    world->options.is_count_unknown ? 0 : world->options.vms);

	for (guint i = 0; i < world->leaves->len; i++) {
		const world_leaf_t *leaf = g_ptr_array_index(world->leaves, i);
		leaf_entry_t entry = { .slots = leaf->slots,
			.is_draining = leaf->is_draining };

		g_strlcpy(entry.id, leaf->id, sizeof(entry.id));
		g_strlcpy(entry.service, leaf->service, sizeof(entry.service));
		g_snprintf(entry.zone, sizeof(entry.zone), "z%d", leaf->zone);
		g_snprintf(entry.address, sizeof(entry.address), "10.0.0.%d:1",
		    leaf->number);
		g_array_append_val(directory->leaves, entry);
	}
	return directory;
}

static void
distribute_directory(tier_world_t *world)
{
	directory_t *directory = make_directory(world);

	for (guint i = 0; i < world->vms->len; i++) {
		world_vm_t *vm = g_ptr_array_index(world->vms, i);

		tier_set_directory(vm->tier, world->now_us, directory);
		vm->due_us = 0;
	}
	directory_destroy(directory);
}

static void
add_leaf(tier_world_t *world, const char *service, int zone, int slots)
{
	static const double speeds[] = { 0.8, 1.0, 1.3 };
	world_leaf_t *leaf = g_new0(world_leaf_t, 1);

	leaf->number = (int)world->leaves->len + 1;
	leaf->zone = zone;
	leaf->slots = slots;
	leaf->speed = speeds[gsl_rng_uniform_int(world->random, 3)];
	leaf->pause_phase_us =
	    (int64_t)gsl_rng_uniform_int(world->random, PAUSE_EVERY_US);
	g_queue_init(&leaf->queue);
	g_snprintf(leaf->id, sizeof(leaf->id), "leaf-%d", leaf->number);
	g_strlcpy(leaf->service, service, sizeof(leaf->service));
	g_ptr_array_add(world->leaves, leaf);
}

static void
add_routes(tier_world_t *world)
{
	char name[16];

	world->table = route_table_create(1);
	for (size_t i = 0; i < G_N_ELEMENTS(flow_kinds); i++) {
		const struct flow_kind *kind = &flow_kinds[i];
		int count = kind->is_gather ? world->options.shards : 1;
		route_t *route = route_table_add(
		    world->table, kind->prefix, "site", kind->prefix, count);

		route->is_idempotent =
		    kind->is_gather || !world->options.is_unrepeatable;
		route->is_gather = kind->is_gather;
		route->timeout_us = kind->caller_timeout_us;
		route->latency_objective_us = kind->objective_us;
		route->max_attempts = get_max_attempts(world);
		route->rank = kind->rank;
		route->max_records = kind->records;
		route->min_coverage = kind->min_coverage;
		for (int j = 0; j < count; j++) {
			g_snprintf(name, sizeof(name), "shard-%d", j);
			route->targets[j].service =
			    g_strdup(kind->is_gather ? name : "fetch");
			route->targets[j].weight = 1;
		}
	}
	for (int j = 0; j < world->options.shards; j++) {
		g_snprintf(name, sizeof(name), "shard-%d", j);
		route_table_add_service(world->table, name, CONNECTIONS);
		add_leaf(world, name, 0, WORLD_SLOTS);
		add_leaf(world, name, 1, WORLD_SLOTS);
	}
	route_table_add_service(world->table, "fetch", FETCH_LIMIT);
	for (int j = 0; j < FETCH_LEAVES; j++)
		add_leaf(world, "fetch", j % 2, FETCH_SLOTS);
}

static void
choose_faults(tier_world_t *world)
{
	const tier_world_options_t *options = &world->options;
	char name[16];

	g_snprintf(name, sizeof(name), "shard-%d", options->fault_shard);
	for (guint i = 0; i < world->leaves->len; i++) {
		world_leaf_t *leaf = g_ptr_array_index(world->leaves, i);

		if (options->fault_shard >= 0)
			leaf->is_faulty = strcmp(leaf->service, name) == 0;
		else
			leaf->is_faulty = gsl_rng_uniform(world->random) <
					  options->fault_share;
	}
}

static void
add_vm(tier_world_t *world, int number)
{
	world_vm_t *vm = g_new0(world_vm_t, 1);
	tier_options_t options = { .regions = world->regions,
		.retry_ratio = RETRY_RATIO,
		.retry_slack = RETRY_SLACK,
		.retry_window_us = 10000000,
		.drain_us = DRAIN_BOUND_US,
		.initial_vm_count = world->options.is_count_unknown
					? INITIAL_VM_COUNT
					: world->options.vms,
		.seed = world->options.seed * 100 + (uint64_t)number };
	tier_callbacks_t callbacks = { vm, send_attempt, cancel_attempt,
		answer_call, warm_leaf, close_leaf, ignore_log };

	vm->world = world;
	vm->zone = number % world->options.zones;
	g_snprintf(options.zone, sizeof(options.zone), "z%d", vm->zone);
	g_snprintf(options.region, sizeof(options.region), "r%d", vm->zone);
	vm->tier = tier_create(&options, &callbacks);
	g_ptr_array_add(world->vms, vm);
}

tier_world_t *
tier_world_create(const tier_world_options_t *options)
{
	tier_world_t *world = g_new0(tier_world_t, 1);

	world->options = *options;
	world->random = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(world->random, (unsigned long)options->seed);
	world->events = g_sequence_new(g_free);
	world->vms = g_ptr_array_new();
	world->leaves = g_ptr_array_new();
	world->calls = g_ptr_array_new_with_free_func(g_free);
	world->jobs = g_ptr_array_new_with_free_func(g_free);
	world->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	world->ran = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
	    (GDestroyNotify)g_hash_table_unref);
	world->words =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	world->arrived =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	world->regions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (int i = 0; i < 3; i++)
		g_hash_table_insert(world->regions, g_strdup_printf("z%d", i),
		    g_strdup_printf("r%d", i));
	add_routes(world);
	choose_faults(world);
	for (int i = 0; i < options->vms; i++)
		add_vm(world, i);
	distribute_directory(world);
	for (int i = 0; i < options->flow_count; i++)
		add_event(world, i * 1000, WORLD_CALL, i, NULL, NULL);
	if (options->drain_leaf_count > 0)
		add_event(world, DRAIN_US, WORLD_CHANGE, 0, NULL, NULL);
	return world;
}

void
tier_world_destroy(tier_world_t *world)
{
	for (guint i = 0; i < world->vms->len; i++) {
		world_vm_t *vm = g_ptr_array_index(world->vms, i);

		tier_destroy(vm->tier);
		g_free(vm);
	}
	for (guint i = 0; i < world->leaves->len; i++) {
		world_leaf_t *leaf = g_ptr_array_index(world->leaves, i);

		g_queue_clear(&leaf->queue);
		g_free(leaf);
	}
	g_sequence_free(world->events);
	g_ptr_array_unref(world->vms);
	g_ptr_array_unref(world->leaves);
	g_ptr_array_unref(world->calls);
	g_ptr_array_unref(world->jobs);
	g_hash_table_unref(world->regions);
	g_hash_table_unref(world->arrived);
	g_hash_table_unref(world->services);
	g_hash_table_unref(world->words);
	g_hash_table_unref(world->ran);
	route_table_release(world->table);
	gsl_rng_free(world->random);
	g_free(world);
}

/* ---- Running ---- */

/* Sends one attempt of a caller to a random VM. */
static void
send_call(tier_world_t *world, int flow, int64_t original_us, bool is_return)
{
	const world_flow_t *info = &world->options.flows[flow];
	const struct flow_kind *kind = get_kind(info->prefix);
	world_call_t *call = g_new0(world_call_t, 1);
	world_vm_t *vm = g_ptr_array_index(world->vms,
	    gsl_rng_uniform_int(world->random, (gulong)world->vms->len));
	tier_request_info_t request_info = { .host = "site",
		.caller_timeout_us =
		    kind->caller_timeout_us - (world->now_us - original_us),
		.arrived_us = world->now_us,
		.has_id = true };

	call->world = world;
	call->flow = flow;
	call->begun_us = world->now_us;
	call->original_us = original_us;
	call->is_return = is_return;
	g_snprintf(call->id, sizeof(call->id), "r%u", world->calls->len);
	g_snprintf(call->target, sizeof(call->target), "%s2f", info->prefix);
	g_ptr_array_add(world->calls, call);
	request_info.id = call->id;
	request_info.target = call->target;
	vm->due_us = 0;
	tier_begin(vm->tier, world->now_us, &request_info, call);
}

static void
make_call(tier_world_t *world, int flow)
{
	const world_flow_t *info = &world->options.flows[flow];
	bool is_burst = info->burst > 0 && world->now_us >= BURST_BEGIN_US &&
			world->now_us < BURST_END_US;
	double rate = info->rate * (is_burst ? info->burst : 1);

	world->results[flow].asked++;
	world->results[flow].owed++;
	send_call(world, flow, world->now_us, false);
	add_event(world,
	    world->now_us +
		(int64_t)gsl_ran_exponential(world->random, 1e6 / rate),
	    WORLD_CALL, flow, NULL, NULL);
}

/* Callers follow Retry-After, up to a third of their remaining time. */
static void
return_call(tier_world_t *world, const world_call_t *call, int64_t retry_us)
{
	int64_t left_us = get_kind(world->options.flows[call->flow].prefix)
			      ->caller_timeout_us -
			  (world->now_us - call->original_us);
	world_job_t *job;

	if (!world->options.has_returns || call->is_return)
		return;
	job = g_new0(world_job_t, 1);
	g_ptr_array_add(world->jobs, job);
	job->call = (world_call_t *)call;
	add_event(world, world->now_us + MIN(retry_us, left_us / 3),
	    WORLD_RETURN, call->flow, job, NULL);
}

static void
drain_leaves(tier_world_t *world)
{
	for (int i = 0; i < world->options.drain_leaf_count; i++) {
		world_leaf_t *leaf =
		    g_ptr_array_index(world->leaves, (guint)(2 * i));

		leaf->is_draining = true;
	}
	distribute_directory(world);
}

static void
run_event(tier_world_t *world, const world_event_t *event, bool is_open)
{
	switch (event->type) {
	case WORLD_CALL:
		if (is_open)
			make_call(world, event->flow);
		break;
	case WORLD_RETURN:
		send_call(
		    world, event->flow, event->job->call->original_us, true);
		break;
	case WORLD_ARRIVE:
		arrive(world, event->job);
		break;
	case WORLD_FINISH:
		finish(world, event->leaf, event->job);
		break;
	case WORLD_REPLY:
		take_reply(world, event->job);
		break;
	case WORLD_CHANGE:
		drain_leaves(world);
		break;
	}
}

static void
tick_vms(tier_world_t *world)
{
	for (guint i = 0; i < world->vms->len; i++) {
		world_vm_t *vm = g_ptr_array_index(world->vms, i);

		if (vm->due_us <= world->now_us)
			vm->due_us = MAX(tier_tick(vm->tier, world->now_us),
			    world->now_us + 1);
	}
}

static int64_t
get_next_us(const tier_world_t *world)
{
	GSequenceIter *first = g_sequence_get_begin_iter(world->events);
	int64_t next_us = INT64_MAX;

	if (!g_sequence_iter_is_end(first))
		next_us = ((world_event_t *)g_sequence_get(first))->at_us;
	for (guint i = 0; i < world->vms->len; i++)
		next_us = MIN(next_us,
		    ((world_vm_t *)g_ptr_array_index(world->vms, i))->due_us);
	return MAX(next_us, world->now_us);
}

static void
run_until(tier_world_t *world, int64_t until_us, bool is_open)
{
	for (;;) {
		int64_t next_us = get_next_us(world);
		GSequenceIter *first;

		if (next_us > until_us)
			return;
		world->now_us = next_us;
		first = g_sequence_get_begin_iter(world->events);
		if (!g_sequence_iter_is_end(first)) {
			world_event_t event =
			    *(world_event_t *)g_sequence_get(first);

			if (event.at_us <= next_us) {
				g_sequence_remove(first);
				run_event(world, &event, is_open);
			}
		}
		tick_vms(world);
	}
}

/* Callers stop at the end; an unanswered request is then a violation. */
void
tier_world_run(tier_world_t *world, int64_t until_us)
{
	run_until(world, until_us, true);
	run_until(world, until_us + 5000000, false);
	for (guint i = 0; i < world->calls->len; i++) {
		world_call_t *call = g_ptr_array_index(world->calls, i);

		if (!call->is_answered)
			report(world, "never answered", call);
		if (world->options.is_unrepeatable && call->runs > 1 &&
		    strcmp(world->options.flows[call->flow].prefix,
			"/fetch/") == 0)
			world->totals.runs_twice++;
	}
	if (world->refused > 0)
		world->totals.refuse_ms =
		    world->refuse_us / world->refused / 1000;
}

const world_result_t *
tier_world_get_result(const tier_world_t *world, int flow)
{
	return &world->results[flow];
}

const world_totals_t *
tier_world_get_totals(const tier_world_t *world)
{
	return &world->totals;
}
