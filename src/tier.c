/**
 * @file tier.c
 * The requests of one traffic thread, from arrival to answer.
 *
 * A request has one part for each shard that it needs. A part is sent to one
 * leaf, and to others when that one is overdue or fails. The request ends when
 * its parts are in, when what is in is worth more now than all of it later, or
 * when it can't succeed any more.
 */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "tier.h"

#define RETURN_MARGIN_US     8000  /* processing here and on the way back */
#define CALLER_RTT_US	     2000  /* to a caller, where it is not measured */
#define HEDGE_AGAIN_US	     15000 /* between looks at a part that can't hedge */
#define RESTARTS_MOST	     3	   /* of a part whose request did not arrive */
#define LATE_FACTOR	     2 /* objectives to wait for a late whole answer */
#define ABANDON_US	     250000 /* a leaf may finish what nobody waits for */
#define SWEEP_US	     50000  /* between looks at abandoned attempts */
#define RETRY_AFTER_US	     300000 /* without a better estimate */
#define RETRY_AFTER_LEAST_US 50000
#define LOWER_TURN	     4 /* each such dispatch goes to a lower rank */
#define CONNECTION_SLACK     2 /* of a leaf's limit, for VMs that join */
#define LATENCY_WEIGHT	     0.1
#define LATENCY_CLIP_US	     250000.0 /* a pause more or less */
#define LEAF_LINES_MOST	     8 /* of one directory; the rest is counted */
#define SETTLE_US	     10000000 /* leafs drop dead connections in this */
#define LEAF_LIMIT_MOST	     32	      /* connections of one VM to one leaf */
#define RTT_SAME_US	     400      /* until measured, by distance */
#define RTT_REGION_US	     3500
#define RTT_REMOTE_US	     25000

typedef enum part_state {
	PART_WAITING, /* for a free connection */
	PART_SENT,
	PART_DONE,
	PART_FAILED
} part_state_t;

struct tier_part {
	TAILQ_ENTRY(tier_part) in_queue;
	tier_request_t *request;
	tier_service_t *service;
	part_state_t state;
	bool is_queued;
	int queue_rank; /* of the queue that it waits in */
	int sent_count; /* attempts that may have reached a leaf */
	int open_count; /* attempts without an outcome */
	int restart_count;
	bool may_have_run; /* an attempt ended without the leaf's word */
	int64_t hedge_us;
	reach_exclude_t tried;
};

/** What is remembered of a route from one request to the next. */
typedef struct route_state {
	kind_belief_t kind;
	int patience_votes;
	int credit_count;
	int64_t *credits; /* of a weighted split */
} route_state_t;

struct tier_request {
	TAILQ_ENTRY(tier_request) in_tier;
	tier_t *tier;
	const route_t *route;
	route_table_t *table; /* keeps the route */
	route_state_t *state;
	tier_ask_t ask;
	void *caller;
	int rank;
	int part_count, done_count, failed_count;
	tier_part_t *parts;
	bool may_have_run, is_ended;
	int extra_count;
	int64_t due_us, stop_us, late_us, deadline_us;
	gather_t *gather;
	GPtrArray *stamps;
};

struct tier {
	tier_options_t options;
	tier_shell_t shell;
	gsl_rng *random;
	route_table_t *table;
	caller_limits_t limits;
	int vm_count;
	GHashTable *services; /* name -> tier_service_t */
	GHashTable *leafs;    /* id -> tier_leaf_t */
	GHashTable *routes;   /* name -> route_state_t */
	GHashTable *rtts;     /* zone -> int64_t */
	TAILQ_HEAD(, tier_request) requests, ended;
	TAILQ_HEAD(, tier_attempt) attempts;
	int request_count, waiting_count;
	int64_t sweep_us, stopping_us;
	int64_t due_us; /* no request is due before */
	int64_t begun_us;
	int changed_leafs; /* by the directory that is being applied */
	bool is_settling;  /* the VM's connections of before may linger */
};

static void settle(tier_request_t *request, int64_t now_us);
static void start_part(tier_part_t *part, int64_t now_us, bool is_extra);
static void dispatch(tier_service_t *service, tier_t *tier, int64_t now_us);
static void end_request(tier_request_t *request);
static void free_ended(tier_t *tier);
static void update_limits(tier_t *tier);
static void unqueue_part(tier_part_t *part);

/* ---- Setting up ---- */

static void
destroy_route_state(gpointer data)
{
	route_state_t *state = data;

	g_free(state->credits);
	g_free(state);
}

tier_t *
tier_create(const tier_options_t *options, const tier_shell_t *shell)
{
	tier_t *tier = g_new0(tier_t, 1);

	tier->options = *options;
	tier->shell = *shell;
	tier->random = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(tier->random, (unsigned long)options->seed);
	tier->vm_count = MAX(options->vm_count_first, 1);
	tier->services = g_hash_table_new(g_str_hash, g_str_equal);
	tier->leafs = g_hash_table_new(g_str_hash, g_str_equal);
	tier->routes = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, destroy_route_state);
	tier->rtts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	tier->limits = (caller_limits_t){ .head_bytes = 16384,
		.body_bytes = 262144,
		.read_us = 3000000,
		.idle_us = 15000000 };
	tier->is_settling = true;
	TAILQ_INIT(&tier->requests);
	TAILQ_INIT(&tier->ended);
	TAILQ_INIT(&tier->attempts);
	return tier;
}

void
tier_destroy(tier_t *tier)
{
	tier_attempt_t *attempt, *next;
	GHashTableIter iter;
	gpointer value;

	while (!TAILQ_EMPTY(&tier->requests))
		end_request(TAILQ_FIRST(&tier->requests));
	free_ended(tier);
	for (attempt = TAILQ_FIRST(&tier->attempts); attempt != NULL;
	     attempt = next) {
		next = TAILQ_NEXT(attempt, in_flight);
		g_free(attempt);
	}
	g_hash_table_iter_init(&iter, tier->leafs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_free(value);
	g_hash_table_iter_init(&iter, tier->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_free(value);
	g_hash_table_unref(tier->leafs);
	g_hash_table_unref(tier->services);
	g_hash_table_unref(tier->routes);
	g_hash_table_unref(tier->rtts);
	route_table_release(tier->table);
	gsl_rng_free(tier->random);
	g_free(tier);
}

bool
tier_is_ready(const tier_t *tier)
{
	return tier->table != NULL;
}

const caller_limits_t *
tier_get_limits(const tier_t *tier)
{
	return &tier->limits;
}

int
tier_count_requests(const tier_t *tier)
{
	return tier->request_count;
}

void
tier_set_stopping(tier_t *tier, int64_t until_us)
{
	tier_request_t *request;

	tier->stopping_us = until_us;
	TAILQ_FOREACH (request, &tier->requests, in_tier) {
		request->deadline_us = MIN(request->deadline_us, until_us);
		request->due_us = MIN(request->due_us, until_us);
	}
	tier->due_us = 0;
}

/* ---- Directory ---- */

static tier_service_t *
find_service(tier_t *tier, const char *name)
{
	tier_service_t *service = g_hash_table_lookup(tier->services, name);

	if (service != NULL)
		return service;
	service = g_new0(tier_service_t, 1);
	g_strlcpy(service->name, name, sizeof(service->name));
	service->connections = 1;
	LIST_INIT(&service->leafs);
	for (int i = 0; i < TIER_RANKS; i++)
		TAILQ_INIT(&service->waiting[i]);
	budget_begin(&service->budget, tier->options.retry_window_us);
	g_hash_table_insert(tier->services, service->name, service);
	return service;
}

static int
get_distance(const tier_t *tier, const char *zone)
{
	const char *region = g_hash_table_lookup(tier->options.regions, zone);

	if (strcmp(zone, tier->options.zone) == 0)
		return 0;
	if (region != NULL && strcmp(region, tier->options.region) == 0)
		return 1;
	return 2;
}

static int64_t *
find_rtt(tier_t *tier, const char *zone)
{
	static const int64_t first[] = { RTT_SAME_US, RTT_REGION_US,
		RTT_REMOTE_US };
	int64_t *rtt = g_hash_table_lookup(tier->rtts, zone);

	if (rtt != NULL)
		return rtt;
	rtt = g_new(int64_t, 1);
	*rtt = first[get_distance(tier, zone)];
	g_hash_table_insert(tier->rtts, g_strdup(zone), rtt);
	return rtt;
}

void
tier_handle_rtt(tier_leaf_t *leaf, int64_t rtt_us)
{
	/* The least of many is the network; the rest is load. */
	if (rtt_us < *leaf->rtt_us)
		*leaf->rtt_us = MAX(rtt_us, 50);
	else
		*leaf->rtt_us +=
		    (MIN(rtt_us, 2 * *leaf->rtt_us) - *leaf->rtt_us) / 20;
}

static void
remove_leaf(tier_t *tier, tier_leaf_t *leaf)
{
	if (!leaf->is_gone) {
		LIST_REMOVE(leaf, in_service);
		leaf->service->leaf_count--;
		g_hash_table_remove(tier->leafs, leaf->entry.id);
		leaf->is_gone = true;
		tier->shell.forget(tier->shell.context, leaf);
	}
	if (leaf->in_flight == 0)
		g_free(leaf);
}

static void
add_leaf(tier_t *tier, int64_t now_us, const leaf_entry_t *entry)
{
	tier_leaf_t *leaf = g_new0(tier_leaf_t, 1);

	leaf->entry = *entry;
	leaf->service = find_service(tier, entry->service);
	leaf->distance = get_distance(tier, entry->zone);
	leaf->rtt_us = find_rtt(tier, entry->zone);
	leaf_belief_begin(&leaf->belief);
	leaf->belief.cold_until_us = now_us + entry->cold_us;
	LIST_INSERT_HEAD(&leaf->service->leafs, leaf, in_service);
	leaf->service->leaf_count++;
	g_hash_table_insert(tier->leafs, leaf->entry.id, leaf);
}

/* A new lifetime, place or service makes it another leaf. */
static bool
is_same_leaf(const leaf_entry_t *left, const leaf_entry_t *right)
{
	return left->born_ms == right->born_ms &&
	       strcmp(left->address, right->address) == 0 &&
	       strcmp(left->service, right->service) == 0;
}

static void
log_leaf(tier_t *tier, const leaf_entry_t *entry, const char *change)
{
	char text[512];

	if (++tier->changed_leafs > LEAF_LINES_MOST)
		return;
	snprintf(text, sizeof(text),
	    "\"leaf\":\"%s\",\"service\":\"%s\",\"address\":\"%s\","
	    "\"change\":\"%s\"",
	    entry->id, entry->service, entry->address, change);
	tier->shell.log(tier->shell.context, LOG_TIER_LEAF, text);
}

static void
apply_leaf(tier_t *tier, int64_t now_us, const leaf_entry_t *entry)
{
	tier_leaf_t *leaf = g_hash_table_lookup(tier->leafs, entry->id);

	if (leaf != NULL && !is_same_leaf(&leaf->entry, entry)) {
		log_leaf(tier, &leaf->entry, "replaced");
		remove_leaf(tier, leaf);
		leaf = NULL;
	}
	if (leaf == NULL) {
		add_leaf(tier, now_us, entry);
		log_leaf(tier, entry, entry->is_draining ? "draining" : "new");
		return;
	}
	if (leaf->entry.is_draining != entry->is_draining)
		log_leaf(tier, entry,
		    entry->is_draining ? "draining" : "ready again");
	leaf->entry = *entry;
}

static void
apply_table(tier_t *tier, route_table_t *table)
{
	char text[128];

	if (tier->table != NULL && table->version <= tier->table->version) {
		if (table->version < tier->table->version)
			tier->shell.log(tier->shell.context,
			    LOG_INVARIANT_REVERT, "\"what\":\"configuration\"");
		return;
	}
	snprintf(text, sizeof(text),
	    "\"version\":%" G_GUINT64_FORMAT ",\"before\":%" G_GUINT64_FORMAT
	    ",\"routes\":%u",
	    table->version, tier->table != NULL ? tier->table->version : 0,
	    table->routes->len);
	tier->shell.log(tier->shell.context, LOG_TIER_CONFIGURATION, text);
	route_table_release(tier->table);
	tier->table = route_table_acquire(table);
	tier->limits = table->limits;
	for (guint i = 0; i < table->services->len; i++) {
		const service_entry_t *entry =
		    g_ptr_array_index(table->services, i);

		find_service(tier, entry->name)->connections =
		    entry->connections;
	}
}

/* Says how many changes have no line of their own. */
static void
log_leafs(tier_t *tier)
{
	char text[128];

	if (tier->changed_leafs > LEAF_LINES_MOST) {
		snprintf(text, sizeof(text), "\"not_listed\":%d,\"known\":%u",
		    tier->changed_leafs - LEAF_LINES_MOST,
		    g_hash_table_size(tier->leafs));
		tier->shell.log(tier->shell.context, LOG_TIER_LEAFS, text);
	}
	tier->changed_leafs = 0;
}

void
tier_set_directory(tier_t *tier, int64_t now_us, const directory_t *directory)
{
	GHashTable *named = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *gone = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	if (directory->table != NULL)
		apply_table(tier, directory->table);
	for (guint i = 0; i < directory->leafs->len; i++) {
		leaf_entry_t *entry =
		    &g_array_index(directory->leafs, leaf_entry_t, i);

		g_hash_table_add(named, entry->id);
		apply_leaf(tier, now_us, entry);
	}
	g_hash_table_iter_init(&iter, tier->leafs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!g_hash_table_contains(
			named, ((tier_leaf_t *)value)->entry.id))
			g_ptr_array_add(gone, value);
	for (guint i = 0; i < gone->len; i++) {
		tier_leaf_t *leaf = g_ptr_array_index(gone, i);

		log_leaf(tier, &leaf->entry, "gone");
		remove_leaf(tier, leaf);
	}
	log_leafs(tier);
	g_ptr_array_unref(gone);
	g_hash_table_unref(named);
	tier->vm_count = MAX(directory->vm_count, 1);
	update_limits(tier);
	tier->due_us = 0;
}

/*
 * Leafs limit their connections, so a VM reaches into other regions at one leaf
 * of each service, chosen by rendezvous hashing: the VMs spread evenly.
 */
static void
prefer_remote(tier_t *tier, tier_service_t *service)
{
	tier_leaf_t *leaf, *best = NULL;
	uint64_t best_hash = 0;

	LIST_FOREACH(leaf, &service->leafs, in_service)
	{
		uint64_t hash =
		    hash_pair(tier->options.seed, hash_text(leaf->entry.id));

		leaf->is_preferred = false;
		if (leaf->distance != 2 || leaf->entry.is_draining ||
		    (best != NULL && hash < best_hash))
			continue;
		best = leaf;
		best_hash = hash;
	}
	if (best != NULL)
		best->is_preferred = true;
}

/* Divides each leaf's connections among the VMs. */
static void
update_limits(tier_t *tier)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, tier->leafs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		tier_leaf_t *leaf = value;
		int share = (leaf->service->connections - CONNECTION_SLACK) /
			    tier->vm_count;

		leaf->limit = CLAMP(
		    tier->is_settling ? share / 2 : share, 1, LEAF_LIMIT_MOST);
	}
	g_hash_table_iter_init(&iter, tier->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		prefer_remote(tier, value);
}

/* ---- Answers ---- */

/* One line for each request that did not simply succeed in time. */
static void
log_end(tier_request_t *request, int64_t now_us, const char *outcome)
{
	tier_t *tier = request->tier;
	int64_t took_us = now_us - request->ask.arrived_us;
	bool is_plain = request->extra_count == 0 &&
			request->failed_count == 0 &&
			request->done_count == request->part_count &&
			took_us <= request->route->objective_us;
	log_event_t event =
	    is_plain ? LOG_TIER_SERVED : LOG_TIER_SERVED_OTHERWISE;
	char text[512];

	if (!log_is_enabled(event))
		return;
	snprintf(text, sizeof(text),
	    "\"id\":\"%s\",\"route\":\"%s\",\"version\":%" G_GUINT64_FORMAT
	    ",\"outcome\":\"%s\",\"took_us\":%" G_GINT64_FORMAT
	    ",\"patience_us\":%" G_GINT64_FORMAT
	    ",\"caller_rtt_us\":%" G_GINT64_FORMAT
	    ",\"parts\":%d,\"done\":%d,\"failed\":%d,\"extra\":%d",
	    request->ask.id, request->route->name, request->table->version,
	    outcome, took_us, request->ask.patience_us, request->ask.rtt_us,
	    request->part_count, request->done_count, request->failed_count,
	    request->extra_count);
	tier->shell.log(tier->shell.context, event, text);
}

static void
answer_own(tier_t *tier, void *caller, int status, int64_t retry_after_us,
    const char *reason)
{
	tier_answer_t answer = { .type = ANSWER_OWN,
		.status = status,
		.retry_after_us = retry_after_us,
		.reason = reason };

	tier->shell.answer(tier->shell.context, caller, &answer);
}

/*
 * A refusal promises that nothing has run. What may have run ends with a
 * status that promises nothing.
 */
static void
finish_unserved(tier_request_t *request, int64_t now_us, bool is_late)
{
	int status = request->may_have_run ? (is_late ? 504 : 502) : 503;

	metric_add(status == 503 ? METRIC_TIER_REFUSED : METRIC_TIER_FAILED, 1);
	log_end(request, now_us,
	    status == 503 ? "refused" : (is_late ? "late" : "failed"));
	answer_own(request->tier, request->caller, status,
	    status == 503 ? RETRY_AFTER_US : 0,
	    status == 503 ? "no leaf can run this now"
			  : "the leafs did not answer");
	end_request(request);
}

static double
get_share(const tier_request_t *request)
{
	return (double)request->done_count / request->part_count;
}

static bool
is_enough(const tier_request_t *request)
{
	return request->done_count > 0 &&
	       get_share(request) >= request->route->least_share;
}

static void
finish_gather(tier_request_t *request, int64_t now_us)
{
	tier_t *tier = request->tier;
	GString *records = g_string_sized_new(1024);
	tier_answer_t answer = { .type = ANSWER_GATHER,
		.status = 200,
		.stamps = request->stamps,
		.missing = request->part_count - request->done_count,
		.records = records };

	gather_finish(request->gather, records);
	metric_add(METRIC_TIER_SERVED, 1);
	if (answer.missing > 0)
		metric_add(METRIC_TIER_PARTIAL, 1);
	log_end(request, now_us, answer.missing > 0 ? "partial" : "whole");
	tier->shell.answer(tier->shell.context, request->caller, &answer);
	g_string_free(records, TRUE);
	end_request(request);
}

static void
finish_forward(
    tier_request_t *request, int64_t now_us, const leaf_answer_t *leaf_answer)
{
	tier_t *tier = request->tier;
	tier_answer_t answer = { .type = ANSWER_LEAF,
		.status = leaf_answer->status,
		.leaf_answer = leaf_answer->message };

	metric_add(leaf_answer->outcome == OUTCOME_ANSWERED
		       ? METRIC_TIER_SERVED
		       : METRIC_TIER_FAILED,
	    1);
	log_end(request, now_us, outcome_get_name(leaf_answer->outcome));
	tier->shell.answer(tier->shell.context, request->caller, &answer);
	end_request(request);
}

static void
queue_part(tier_part_t *part, int rank)
{
	tier_service_t *service = part->service;

	if (part->is_queued)
		return;
	part->state = PART_WAITING;
	part->is_queued = true;
	part->queue_rank = rank;
	TAILQ_INSERT_TAIL(&service->waiting[rank], part, in_queue);
	service->waiting_count++;
	service->waiting_by_rank[rank]++;
	part->request->tier->waiting_count++;
}

static void
unqueue_part(tier_part_t *part)
{
	tier_service_t *service = part->service;

	if (!part->is_queued)
		return;
	part->is_queued = false;
	TAILQ_REMOVE(&service->waiting[part->queue_rank], part, in_queue);
	service->waiting_count--;
	service->waiting_by_rank[part->queue_rank]--;
	part->request->tier->waiting_count--;
}

/* Leaves the open attempts to finish without a receiver. */
static void
abandon_attempts(tier_request_t *request)
{
	tier_attempt_t *attempt;

	TAILQ_FOREACH (attempt, &request->tier->attempts, in_flight) {
		if (attempt->part != NULL && attempt->part->request == request)
			attempt->part = NULL;
	}
}

static void
end_request(tier_request_t *request)
{
	tier_t *tier = request->tier;

	abandon_attempts(request);
	for (int i = 0; i < request->part_count; i++) {
		unqueue_part(&request->parts[i]);
	}
	TAILQ_REMOVE(&tier->requests, request, in_tier);
	TAILQ_INSERT_TAIL(&tier->ended, request, in_tier);
	tier->request_count--;
	request->is_ended = true;
}

/* Requests end inside of loops over them, and are freed outside. */
static void
free_ended(tier_t *tier)
{
	tier_request_t *request, *next;

	for (request = TAILQ_FIRST(&tier->ended); request != NULL;
	     request = next) {
		next = TAILQ_NEXT(request, in_tier);
		gather_destroy(request->gather);
		if (request->stamps != NULL)
			g_ptr_array_unref(request->stamps);
		route_table_release(request->table);
		g_free(request->parts);
		g_free(request);
	}
	TAILQ_INIT(&tier->ended);
}

/*
 * Ends the request if nothing better can come: all parts are in, or those that
 * are still open can't make it a success.
 */
static void
settle_gather(tier_request_t *request, int64_t now_us)
{
	int open =
	    request->part_count - request->done_count - request->failed_count;
	double best =
	    (double)(request->done_count + open) / request->part_count;

	if (open == 0 && is_enough(request))
		finish_gather(request, now_us);
	else if (open == 0 || best < request->route->least_share)
		finish_unserved(request, now_us, false);
	else if (now_us >= request->stop_us && is_enough(request) &&
		 now_us <= request->stop_us + RETURN_MARGIN_US)
		finish_gather(request, now_us);
}

static void
settle(tier_request_t *request, int64_t now_us)
{
	if (request->is_ended)
		return;
	if (request->route->is_gather)
		settle_gather(request, now_us);
	else if (request->failed_count > 0)
		finish_unserved(request, now_us, false);
}

/* ---- Attempts ---- */

static void
send_attempt(
    tier_part_t *part, tier_leaf_t *leaf, int64_t now_us, bool is_extra)
{
	tier_request_t *request = part->request;
	tier_t *tier = request->tier;
	kind_belief_t *kind = &request->state->kind;
	tier_attempt_t *attempt = g_new0(tier_attempt_t, 1);

	attempt->part = part;
	attempt->leaf = leaf;
	attempt->kind = kind;
	attempt->sent_us = now_us;
	attempt->remaining_us = request->deadline_us - now_us;
	attempt->close_us = request->deadline_us + ABANDON_US;
	attempt->is_extra = is_extra;
	attempt->ask = &request->ask;
	attempt->caller = request->caller;
	TAILQ_INSERT_TAIL(&tier->attempts, attempt, in_flight);
	leaf->in_flight++;
	part->state = PART_SENT;
	part->sent_count++;
	part->open_count++;
	part->tried.leafs[part->tried.count++] = leaf;
	part->hedge_us =
	    now_us + belief_get_overdue_us(kind, &leaf->belief, *leaf->rtt_us);
	request->due_us = MIN(request->due_us, part->hedge_us);
	tier->due_us = MIN(tier->due_us, request->due_us);
	request->may_have_run = true;
	if (is_extra) {
		request->extra_count++;
		metric_add(METRIC_TIER_EXTRA, 1);
	}
	metric_add(METRIC_TIER_LEAF_REQUESTS, 1);
	tier->shell.send(tier->shell.context, attempt);
	attempt->ask = NULL;
	attempt->caller = NULL;
}

static bool
take_budget(tier_part_t *part, int64_t now_us)
{
	const tier_t *tier = part->request->tier;

	return budget_take(&part->service->budget, now_us,
	    tier->options.retry_ratio,
	    tier->options.retry_slack / tier->vm_count);
}

/*
 * Sends one more attempt if a leaf is free that can answer in time and the
 * budget allows it. A hedge goes to no leaf that is stalled itself.
 * Returns NULL, or why nothing was sent.
 */
static const char *
send_extra(tier_part_t *part, int64_t now_us, bool is_hedge)
{
	tier_request_t *request = part->request;
	tier_leaf_t *leaf;
	int64_t expected_us;

	if (part->sent_count >= MIN(request->route->attempts, ATTEMPTS_LIMIT) ||
	    part->tried.count >= ATTEMPTS_LIMIT)
		return "no attempt is left";
	switch (reach_choose(part->service, &request->state->kind,
	    request->rank, &part->tried, now_us, request->tier->random, &leaf,
	    &expected_us)) {
	case REACH_NONE:
		return "no other leaf can be used";
	case REACH_BUSY:
		return "all other leafs are busy";
	case REACH_FOUND:
		break;
	}
	if (is_hedge && leaf->belief.is_stalled)
		return "the other leaf is stalled too";
	if (is_hedge && now_us + expected_us > request->deadline_us)
		return "no time is left";
	if (!take_budget(part, now_us)) {
		metric_add(METRIC_TIER_BUDGET_EMPTY, 1);
		return "the budget is empty";
	}
	send_attempt(part, leaf, now_us, true);
	return NULL;
}

static void
log_retry(const tier_part_t *part, const char *why_not)
{
	tier_t *tier = part->request->tier;
	const budget_t *budget = &part->service->budget;
	char text[384];

	snprintf(text, sizeof(text),
	    "\"id\":\"%s\",\"service\":\"%s\",\"sent\":%d,\"budget_first\":%d,"
	    "\"budget_extra\":%d,\"vms\":%d,\"why\":\"%s\"",
	    part->request->ask.id, part->service->name, part->sent_count,
	    budget->first_sum, budget->extra_sum, tier->vm_count,
	    why_not != NULL ? why_not : "");
	tier->shell.log(tier->shell.context,
	    why_not != NULL ? LOG_TIER_NOT_RETRIED : LOG_TIER_RETRIED, text);
}

static void
fail_part(tier_part_t *part)
{
	unqueue_part(part);
	part->state = PART_FAILED;
	part->request->failed_count++;
}

/* Sends the first attempt, queues it, or fails the part. */
static void
start_part(tier_part_t *part, int64_t now_us, bool is_extra)
{
	tier_request_t *request = part->request;
	tier_leaf_t *leaf;
	int64_t expected_us;

	switch (reach_choose(part->service, &request->state->kind,
	    request->rank, &part->tried, now_us, request->tier->random, &leaf,
	    &expected_us)) {
	case REACH_FOUND:
		unqueue_part(part);
		send_attempt(part, leaf, now_us, is_extra);
		break;
	case REACH_BUSY:
		queue_part(part, request->rank);
		break;
	case REACH_NONE:
		fail_part(part);
		break;
	}
}

/* All that waits at a stalled leaf moves at once, within the budget. */
static void
note_stall(tier_t *tier, tier_leaf_t *leaf, int64_t now_us)
{
	tier_attempt_t *attempt;

	if (leaf->belief.is_stalled)
		return;
	belief_note_stall(&leaf->belief, now_us);
	TAILQ_FOREACH (attempt, &tier->attempts, in_flight) {
		tier_part_t *part = attempt->part;

		if (attempt->leaf != leaf || part == NULL ||
		    part->state != PART_SENT || part->open_count > 1)
			continue;
		part->hedge_us = now_us;
		part->request->due_us = now_us;
		tier->due_us = now_us;
	}
}

static tier_attempt_t *
find_attempt(tier_t *tier, const tier_part_t *part)
{
	tier_attempt_t *attempt;

	TAILQ_FOREACH (attempt, &tier->attempts, in_flight)
		if (attempt->part == part)
			return attempt;
	return NULL;
}

static void
hedge_part(tier_part_t *part, int64_t now_us)
{
	tier_t *tier = part->request->tier;
	tier_attempt_t *open = find_attempt(tier, part);

	part->hedge_us = now_us + HEDGE_AGAIN_US;
	if (open != NULL)
		note_stall(tier, open->leaf, now_us);
	if (!part->request->route->may_repeat)
		return;
	if (send_extra(part, now_us, true) == NULL)
		part->hedge_us = INT64_MAX;
}

/* ---- Requests ---- */

static route_state_t *
find_route_state(tier_t *tier, const route_t *route)
{
	route_state_t *state = g_hash_table_lookup(tier->routes, route->name);

	if (state == NULL) {
		state = g_new0(route_state_t, 1);
		kind_belief_begin(&state->kind);
		g_hash_table_insert(tier->routes, g_strdup(route->name), state);
	}
	if (state->credit_count != route->target_count) {
		g_free(state->credits);
		state->credits = g_new0(int64_t, (gsize)route->target_count);
		state->credit_count = route->target_count;
	}
	return state;
}

/* Smooth weighted round robin: shares hold over short spans too. */
static int
choose_target(route_state_t *state, const route_t *route)
{
	int64_t total = 0;
	int best = 0;

	for (int i = 0; i < route->target_count; i++) {
		state->credits[i] += route->targets[i].weight;
		total += route->targets[i].weight;
		if (state->credits[i] > state->credits[best])
			best = i;
	}
	state->credits[best] -= total;
	return best;
}

/*
 * Callers of a route mostly start with the same patience; one that names less
 * has spent the difference on earlier attempts (majority vote).
 */
static int64_t
get_spent_us(route_state_t *state, int64_t patience_us)
{
	kind_belief_t *kind = &state->kind;
	int64_t spent_us;

	if (patience_us == kind->patience_us)
		state->patience_votes = MIN(state->patience_votes + 1, 50);
	else if (state->patience_votes > 0)
		state->patience_votes--;
	else
		kind->patience_us = patience_us;
	spent_us = kind->patience_us - patience_us;
	return spent_us > 0 && state->patience_votes > 2 ? spent_us : 0;
}

/* The request's way in, the answer's way out, and a new connection's set-up. */
static int64_t
get_way_us(const tier_ask_t *ask)
{
	int64_t rtt_us = ask->rtt_us > 0 ? ask->rtt_us : CALLER_RTT_US;

	return ask->is_on_new_connection ? 2 * rtt_us : rtt_us;
}

static void
set_times(tier_request_t *request)
{
	const route_t *route = request->route;
	int64_t arrived_us = request->ask.arrived_us;
	int64_t patience_us = request->ask.patience_us;
	int64_t spent_us = 0;
	int64_t objective_us = route->objective_us;

	request->deadline_us = arrived_us + route->timeout_us;
	if (patience_us > 0) {
		spent_us = get_spent_us(request->state, patience_us);
		request->deadline_us = MIN(request->deadline_us,
		    arrived_us +
			MAX(patience_us - RETURN_MARGIN_US, patience_us / 2));
	}
	if (request->tier->stopping_us > 0)
		request->deadline_us =
		    MIN(request->deadline_us, request->tier->stopping_us);
	request->stop_us = arrived_us + objective_us - spent_us -
			   RETURN_MARGIN_US - get_way_us(&request->ask);
	request->late_us = arrived_us + LATE_FACTOR * objective_us;
	request->due_us = request->deadline_us;
	if (route->is_gather && request->stop_us > arrived_us)
		request->due_us = MIN(request->due_us, request->stop_us);
	else
		request->stop_us = INT64_MAX / 2; /* late already */
	if (route->is_gather)
		request->due_us = MIN(request->due_us, request->late_us);
}

static tier_request_t *
create_request(tier_t *tier, int64_t now_us, const route_t *route,
    const tier_ask_t *ask, void *caller)
{
	tier_request_t *request = g_new0(tier_request_t, 1);
	int chosen = 0;

	request->tier = tier;
	request->route = route;
	request->table = route_table_acquire(tier->table);
	request->state = find_route_state(tier, route);
	request->ask = *ask;
	request->caller = caller;
	request->rank = CLAMP(route->rank, 0, TIER_RANKS - 1);
	request->part_count = route->is_gather ? route->target_count : 1;
	request->parts = g_new0(tier_part_t, (gsize)request->part_count);
	if (route->is_gather) {
		request->gather = gather_create(route->record_count);
		request->stamps = g_ptr_array_new_with_free_func(g_free);
	} else
		chosen = choose_target(request->state, route);
	for (int i = 0; i < request->part_count; i++) {
		const char *name = route->targets[chosen + i].service;

		request->parts[i].request = request;
		request->parts[i].service = find_service(tier, name);
		request->parts[i].hedge_us = INT64_MAX;
		budget_note_first(&request->parts[i].service->budget, now_us);
	}
	set_times(request);
	TAILQ_INSERT_TAIL(&tier->requests, request, in_tier);
	tier->request_count++;
	tier->due_us = MIN(tier->due_us, request->due_us);
	return request;
}

/*
 * Refuses at once what could only be answered late: too many of its parts would
 * wait here longer than the objective leaves. Nothing has been sent.
 */
static bool
admit_request(tier_request_t *request, int64_t now_us)
{
	const route_t *route = request->route;
	int64_t limit_us = MIN(request->stop_us, request->deadline_us);
	int64_t wait_us, most_us = 0;
	int late_count = 0;
	int spare =
	    (int)((1.0 - route->least_share) * request->part_count + 1e-9);

	for (int i = 0; i < request->part_count; i++) {
		tier_service_t *service = request->parts[i].service;

		wait_us = reach_get_wait_us(service, request->rank, now_us);
		if (now_us + wait_us + (int64_t)service->latency_us > limit_us)
			late_count++;
		most_us = MAX(most_us, wait_us);
	}
	if (late_count <= spare || most_us == 0)
		return true;
	metric_add(METRIC_TIER_REFUSED, 1);
	log_end(request, now_us, "refused: queues are too long");
	answer_own(request->tier, request->caller, 503,
	    MAX(most_us, RETRY_AFTER_LEAST_US), "the queues are too long");
	end_request(request);
	return false;
}

tier_request_t *
tier_begin(tier_t *tier, int64_t now_us, const tier_ask_t *ask, void *caller)
{
	const route_t *route;
	tier_request_t *request;

	free_ended(tier);
	metric_add(METRIC_TIER_REQUESTS, 1);
	if (tier->table == NULL) {
		answer_own(tier, caller, 503, RETRY_AFTER_US,
		    "no configuration is known yet");
		return NULL;
	}
	route = route_table_match(tier->table, ask->host, ask->target);
	if (route == NULL) {
		answer_own(tier, caller, 404, 0, "no route matches");
		return NULL;
	}
	request = create_request(tier, now_us, route, ask, caller);
	if (!admit_request(request, now_us))
		return NULL;
	/* Parts that fail at once must not end the request in this loop. */
	for (int i = 0; i < request->part_count; i++)
		start_part(&request->parts[i], now_us, false);
	if (request->failed_count > 0)
		settle(request, now_us);
	return request->is_ended ? NULL : request;
}

void
tier_handle_gone(tier_t *tier, int64_t now_us, tier_request_t *request)
{
	tier_attempt_t *attempt;

	log_end(request, now_us, "caller gone");
	TAILQ_FOREACH (attempt, &tier->attempts, in_flight) {
		if (attempt->part == NULL || attempt->part->request != request)
			continue;
		attempt->close_us =
		    request->route->is_gather ? now_us + ABANDON_US : now_us;
	}
	tier->sweep_us = 0;
	end_request(request);
}

static void
note_latency(tier_service_t *service, int64_t took_us)
{
	double latency = MIN((double)took_us, LATENCY_CLIP_US);

	if (service->latency_us == 0)
		service->latency_us = latency;
	service->latency_us += LATENCY_WEIGHT * (latency - service->latency_us);
}

static void
note_outcome(tier_t *tier, tier_attempt_t *attempt, int64_t now_us,
    const leaf_answer_t *answer)
{
	tier_leaf_t *leaf = attempt->leaf;
	char text[384];

	switch (answer->outcome) {
	case OUTCOME_ANSWERED:
		note_latency(leaf->service, now_us - attempt->sent_us);
		belief_note_answer(attempt->kind, &leaf->belief, now_us,
		    *leaf->rtt_us, now_us - attempt->sent_us);
		return;
	case OUTCOME_MISDIRECTED:
		leaf->is_moved = true;
		break;
	default:
		break;
	}
	belief_note_failure(&leaf->belief, now_us, answer->outcome);
	if (!log_is_enabled(LOG_TIER_ATTEMPT_FAILED))
		return;
	snprintf(text, sizeof(text),
	    "\"id\":\"%s\",\"leaf\":\"%s\",\"service\":\"%s\","
	    "\"outcome\":\"%s\",\"status\":%d,\"took_us\":%" G_GINT64_FORMAT
	    ",\"failures\":%.2f,\"down_us\":%" G_GINT64_FORMAT,
	    attempt->part != NULL ? attempt->part->request->ask.id : "",
	    leaf->entry.id, leaf->entry.service,
	    outcome_get_name(answer->outcome), answer->status,
	    now_us - attempt->sent_us, leaf->belief.failures,
	    MAX(leaf->belief.down_until_us - now_us, 0));
	tier->shell.log(tier->shell.context, LOG_TIER_ATTEMPT_FAILED, text);
}

/* False only where the leaf said so or nothing was sent. */
static bool
has_run(attempt_outcome_t outcome)
{
	return outcome != OUTCOME_NOT_RUN && outcome != OUTCOME_MISDIRECTED &&
	       outcome != OUTCOME_UNSENT;
}

/* Whether any attempt has or may have run, or still may. */
static void
update_run(tier_request_t *request)
{
	bool may_have_run = false;

	for (int i = 0; i < request->part_count; i++)
		may_have_run = may_have_run ||
			       request->parts[i].state == PART_DONE ||
			       request->parts[i].may_have_run ||
			       request->parts[i].open_count > 0;
	request->may_have_run = may_have_run;
}

static bool
is_free_retry(attempt_outcome_t outcome)
{
	return outcome == OUTCOME_UNSENT || outcome == OUTCOME_CROWDED;
}

/*
 * Begins a part again whose request did not arrive. The leaf that it was meant
 * for may be chosen again, on a connection that is open.
 * Returns false if no leaf can be used.
 */
static bool
restart_part(tier_part_t *part, int64_t now_us)
{
	if (++part->restart_count > RESTARTS_MOST)
		return false;
	part->tried.count = MAX(part->tried.count - 1, 0);
	start_part(part, now_us, false);
	if (part->state != PART_FAILED)
		return true;
	part->request->failed_count--; /* the caller fails it */
	part->state = PART_SENT;
	return false;
}

/* The part's attempt failed: another leaf, or the end of the part. */
static void
retry_part(tier_part_t *part, int64_t now_us, const leaf_answer_t *answer)
{
	tier_request_t *request = part->request;
	bool ran = has_run(answer->outcome);

	part->may_have_run = part->may_have_run || ran;
	if (!ran || answer->outcome == OUTCOME_CROWDED)
		part->sent_count--; /* it does not count as an attempt */
	if (answer->outcome == OUTCOME_CROWDED)
		take_budget(part, now_us); /* it may have arrived */
	update_run(request);
	if (part->open_count > 0)
		return; /* the other attempt may still answer */
	if (request->route->may_repeat || !ran) {
		if (is_free_retry(answer->outcome)) {
			/* Never arrived: neither an attempt nor an extra one.
			 */
			if (restart_part(part, now_us))
				return;
		} else {
			const char *why_not = send_extra(part, now_us, false);

			log_retry(part, why_not);
			if (why_not == NULL)
				return;
		}
	}
	if (!request->route->is_gather &&
	    answer->outcome == OUTCOME_LEAF_FAILED) {
		finish_forward(request, now_us, answer);
		return;
	}
	fail_part(part);
	settle(request, now_us);
}

static void
complete_part(tier_part_t *part, int64_t now_us, const leaf_answer_t *answer)
{
	tier_request_t *request = part->request;

	part->state = PART_DONE;
	request->done_count++;
	if (!request->route->is_gather) {
		finish_forward(request, now_us, answer);
		return;
	}
	gather_add(request->gather, answer->body, answer->body_length);
	g_ptr_array_add(request->stamps, g_strdup(answer->stamp));
	settle(request, now_us);
}

void
tier_handle_answer(tier_t *tier, int64_t now_us, tier_attempt_t *attempt,
    const leaf_answer_t *answer)
{
	tier_leaf_t *leaf = attempt->leaf;
	tier_part_t *part = attempt->part;
	tier_service_t *service = leaf->service;
	bool is_final =
	    answer->outcome == OUTCOME_LEAF_FAILED && answer->status < 500;

	TAILQ_REMOVE(&tier->attempts, attempt, in_flight);
	leaf->in_flight--;
	note_outcome(tier, attempt, now_us, answer);
	if (part != NULL) {
		part->open_count--;
		if (part->state != PART_SENT)
			;
		else if (answer->outcome == OUTCOME_ANSWERED)
			complete_part(part, now_us, answer);
		else if (is_final && !part->request->route->is_gather)
			finish_forward(part->request, now_us, answer);
		else
			retry_part(part, now_us, answer);
	}
	g_free(attempt);
	if (leaf->is_gone && leaf->in_flight == 0)
		g_free(leaf);
	dispatch(service, tier, now_us);
}

/* The next waiting part: urgent first, but lower ranks keep a share. */
static tier_part_t *
get_next_waiting(tier_service_t *service)
{
	bool is_lower_turn = service->turns % LOWER_TURN == LOWER_TURN - 1;
	tier_part_t *first = NULL;

	for (int i = 0; i < TIER_RANKS; i++) {
		tier_part_t *part = TAILQ_FIRST(&service->waiting[i]);

		if (part == NULL)
			continue;
		if (first != NULL)
			return part;
		first = part;
		if (!is_lower_turn)
			return first;
	}
	return first;
}

static void
dispatch(tier_service_t *service, tier_t *tier, int64_t now_us)
{
	while (service->waiting_count > 0) {
		tier_part_t *part = get_next_waiting(service);
		tier_request_t *request = part->request;

		start_part(part, now_us, part->tried.count > 0);
		if (part->state == PART_WAITING)
			return;
		service->turns++;
		if (part->state == PART_FAILED)
			settle(request, now_us);
	}
}

/* ---- Time ---- */

/* What is late already waits behind all that can still be in time. */
static void
demote_request(tier_request_t *request)
{
	for (int i = 0; i < request->part_count; i++) {
		tier_part_t *part = &request->parts[i];

		if (!part->is_queued || part->queue_rank == TIER_RANKS - 1)
			continue;
		unqueue_part(part);
		queue_part(part, TIER_RANKS - 1);
	}
}

static void
run_due(tier_request_t *request, int64_t now_us)
{
	if (now_us >= request->deadline_us) {
		if (request->route->is_gather && is_enough(request))
			finish_gather(request, now_us);
		else
			finish_unserved(request, now_us, true);
		return;
	}
	if (request->route->is_gather && is_enough(request) &&
	    ((now_us >= request->stop_us &&
		 now_us < request->stop_us + RETURN_MARGIN_US) ||
		now_us >= request->late_us)) {
		finish_gather(request, now_us);
		return;
	}
	if (now_us >= request->stop_us)
		demote_request(request);
	request->due_us = request->deadline_us;
	if (request->route->is_gather && request->stop_us > now_us)
		request->due_us = MIN(request->due_us, request->stop_us);
	if (request->route->is_gather && request->late_us > now_us)
		request->due_us = MIN(request->due_us, request->late_us);
	for (int i = 0; i < request->part_count; i++) {
		tier_part_t *part = &request->parts[i];

		if (part->state != PART_SENT)
			continue;
		if (part->hedge_us <= now_us)
			hedge_part(part, now_us);
		request->due_us = MIN(request->due_us, part->hedge_us);
	}
}

static void
drop_attempt(tier_t *tier, tier_attempt_t *attempt)
{
	tier_leaf_t *leaf = attempt->leaf;

	TAILQ_REMOVE(&tier->attempts, attempt, in_flight);
	leaf->in_flight--;
	g_free(attempt);
	if (leaf->is_gone && leaf->in_flight == 0)
		g_free(leaf);
}

/* Closes what nobody waits for and no leaf has answered in time. */
static void
sweep_attempts(tier_t *tier, int64_t now_us)
{
	tier_attempt_t *attempt, *next;
	const leaf_answer_t silent = { .outcome = OUTCOME_SILENT };

	tier->sweep_us = now_us + SWEEP_US;
	for (attempt = TAILQ_FIRST(&tier->attempts); attempt != NULL;
	     attempt = next) {
		next = TAILQ_NEXT(attempt, in_flight);
		if (attempt->close_us > now_us)
			continue;
		tier->shell.cancel(tier->shell.context, attempt);
		if (now_us - attempt->sent_us <
		    belief_get_overdue_us(attempt->kind, &attempt->leaf->belief,
			*attempt->leaf->rtt_us)) {
			/* Closed early: it says nothing of the leaf. */
			drop_attempt(tier, attempt);
			continue;
		}
		tier_handle_answer(tier, now_us, attempt, &silent);
		next = TAILQ_FIRST(&tier->attempts); /* the list has changed */
	}
}

int64_t
tier_tick(tier_t *tier, int64_t now_us)
{
	tier_request_t *request, *next;
	int64_t due_us = INT64_MAX;

	free_ended(tier);
	if (tier->begun_us == 0)
		tier->begun_us = now_us;
	if (tier->is_settling && now_us - tier->begun_us > SETTLE_US) {
		tier->is_settling = false;
		update_limits(tier);
	}
	if (now_us >= tier->sweep_us) {
		GHashTableIter iter;
		gpointer service;

		sweep_attempts(tier, now_us);
		g_hash_table_iter_init(&iter, tier->services);
		while (tier->waiting_count > 0 &&
		       g_hash_table_iter_next(&iter, NULL, &service))
			dispatch(service, tier, now_us);
	}
	if (now_us >= tier->due_us) {
		for (request = TAILQ_FIRST(&tier->requests); request != NULL;
		     request = next) {
			next = TAILQ_NEXT(request, in_tier);
			if (request->due_us <= now_us)
				run_due(request, now_us);
		}
		TAILQ_FOREACH (request, &tier->requests, in_tier)
			due_us = MIN(due_us, request->due_us);
		tier->due_us = due_us;
	}
	if (!TAILQ_EMPTY(&tier->attempts) || tier->waiting_count > 0)
		return MIN(tier->due_us, tier->sweep_us);
	return tier->due_us;
}
