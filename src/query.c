/**
 * @file query.c
 * A search at its coordinator: admitted or refused as a whole, pinned to one
 * index version, fanned out to the relays of its shards, hedged and retried
 * within budgets, and answered with the coverage that it reached.
 */
#include <stdio.h>
#include <string.h>

#include "core_private.h"

#define RELAY_TIMEOUT_US	  50000
#define QUERY_RESTARTS_MAX	  3
#define HEDGE_PENDING_PERCENT_MAX 25

typedef struct query_plan {
	int *choices;		      /* replica of each shard; -1: none */
	int64_t wait_us, expected_us; /* of the slowest shard */
} query_plan_t;

static query_t *create_query(
    core_t *core, const event_t *event, const index_info_t *index, rank_t rank);
static void destroy_query(core_t *core, query_t *query);
static void pin_query(core_t *core, query_t *query, const index_info_t *index);
static void plan_query(core_t *core, query_t *query, query_plan_t *plan);
static void start_query(core_t *core, query_t *query, const query_plan_t *plan);
static void restart_query(core_t *core, query_t *query);
static void finish_query(core_t *core, query_t *query);
static void merge_reply(
    core_t *core, attempt_t *attempt, const wire_result_t *result);
static void retry_slot(core_t *core, query_t *query, int shard,
    const char *reason, bool is_budget_exempt);
static void fail_slot(
    core_t *core, query_t *query, int shard, const char *reason);
static void handle_deadline(core_t *core, void *context);
static void handle_hedge(core_t *core, void *context);
static bool is_hedging_due(
    const core_t *core, const query_t *query, int64_t delay_us);
static void handle_relay_timer(core_t *core, void *context);
static bool is_relay_unresponsive(core_t *core, const attempt_t *attempt);
static void fail_over_attempt(
    core_t *core, query_t *query, attempt_t *attempt, GArray *batches);
static void send_batches(core_t *core, query_t *query, GArray *batches);

void
query_handle_search(core_t *core, const event_t *event)
{
	const index_info_t *index =
	    core->fleet != NULL ? fleet_find_index(core->fleet, event->index)
				: NULL;
	rank_t rank = event->rank >= 0 ? (rank_t)event->rank : RANK_STANDARD;
	const admission_callbacks_t *admission;
	int64_t retry_after_us = 0;
	const char *reason = "";
	query_t *query;
	query_plan_t plan;

	metric_add(METRIC_QUERIES, 1);
	if (core->fleet == NULL || core->fleet->settings_version == 0) {
		core_answer_error(core, event->caller, 503, 1, "not_run",
		    "not_ready", "this VM knows no settings yet");
		return;
	}
	if (index == NULL) {
		core_answer_error(core, event->caller, 404, 0, "not_run",
		    "unknown_index", "no index of that name is known");
		return;
	}
	query = create_query(core, event, index, rank);
	plan_query(core, query, &plan);
	admission = plugin_find_choice(PLUGIN_ADMISSION, SETTING_ADMISSION,
	    query->values->value[SETTING_ADMISSION])
			->callbacks;
	if (!admission->admit(NULL, core, query, plan.wait_us, plan.expected_us,
		&retry_after_us, &reason)) {
		metric_add(METRIC_QUERIES_REFUSED, 1);
		core->rank_status[rank].refused++;
		core_log(core, LOG_QUERY_REFUSED,
		    "query %s: index %s rank %s refused: %s, expected "
		    "%" G_GINT64_FORMAT " us",
		    query->request, index->name, rank_get_name(rank), reason,
		    plan.expected_us);
		core_answer_error(core, event->caller,
		    strcmp(reason, "caller_share") == 0 ? 429 : 503,
		    (int)(retry_after_us / 1000000) + 1, "not_run", reason,
		    "refused before any leaf request; try again later");
		destroy_query(core, query);
	} else {
		core_log(core, LOG_QUERY_ADMITTED,
		    "query %s: index %s version %u rank %s shards %d expected "
		    "%" G_GINT64_FORMAT " us",
		    query->request, index->name, index->version,
		    rank_get_name(rank), query->slot_count, plan.expected_us);
		start_query(core, query, &plan);
	}
	g_free(plan.choices);
}

void
query_handle_result(core_t *core, const wire_result_t *result)
{
	attempt_t *attempt =
	    g_hash_table_lookup(core->attempts, &result->attempt);
	query_t *query;
	int shard;

	estimate_record_wait(core, &result->wait);
	if (attempt == NULL) {
		metric_add(METRIC_REPLIES_DROPPED, 1);
		core_log(core, LOG_REPLY_DROPPED,
		    "query: result of attempt %" G_GUINT64_FORMAT
		    " dropped: late or duplicate",
		    result->attempt);
		return;
	}
	if (attempt->relay != 0)
		core_get_peer_state(core, attempt->relay)->last_received_us =
		    core->now_us;
	query = attempt->query;
	shard = attempt->shard;
	estimate_record_result(core, attempt, result);
	if (query == NULL || query->slots[shard].state != SLOT_WAITING) {
		attempt_remove(core, attempt);
		return;
	}
	if (result->status == RUN_OK) {
		merge_reply(core, attempt, result);
		return;
	}
	attempt_remove(core, attempt);
	if (result->status == RUN_VERSION_REMOVED) {
		query->is_version_removed = true;
		query->slots[shard].missing_reason = "version_gone";
		restart_query(core, query);
		return;
	}
	retry_slot(core, query, shard,
	    result->is_leaving		      ? "leaving"
	    : result->status == RUN_NOT_RUN   ? "shed"
	    : result->status == RUN_TIMED_OUT ? "late"
					      : "failed",
	    result->is_leaving);
}

void
query_handle_disconnect(core_t *core, uint64_t caller)
{
	query_t *query;

	TAILQ_FOREACH (query, &core->queries, link) {
		if (query->caller != caller)
			continue;
		core_log(core, LOG_QUERY_GONE,
		    "query %s: the caller disconnected; cancelled",
		    query->request);
		destroy_query(core, query);
		return;
	}
}

/* Restarts queries whose index version was removed, on a newer version. */
void
query_handle_fleet(core_t *core)
{
	query_t *query = TAILQ_FIRST(&core->queries);

	while (query != NULL) {
		query_t *next = TAILQ_NEXT(query, link);

		if (query->is_version_removed)
			restart_query(core, query);
		query = next;
	}
}

void
query_destroy_all(core_t *core)
{
	GHashTableIter iterator;
	gpointer value;

	while (!TAILQ_EMPTY(&core->queries))
		destroy_query(core, TAILQ_FIRST(&core->queries));
	g_hash_table_iter_init(&iterator, core->attempts);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		core_unset_timer(core, &((attempt_t *)value)->reap_timer);
}

static query_t *
create_query(
    core_t *core, const event_t *event, const index_info_t *index, rank_t rank)
{
	query_t *query = g_new0(query_t, 1);
	int64_t allowed_us;

	query->caller = event->caller;
	query->rank = rank;
	query->limit = event->limit;
	query->text = g_strndup(event->text, event->text_length);
	query->hits = g_array_new(FALSE, FALSE, sizeof(hit_t));
	query->started_us = core->now_us;
	g_strlcpy(query->caller_name,
	    event->caller_name != NULL ? event->caller_name : "",
	    sizeof(query->caller_name));
	snprintf(query->request, sizeof(query->request),
	    "%.40s-%d-%" G_GUINT64_FORMAT, core->options.self_id,
	    core->options.thread, core_allocate_id(core));
	pin_query(core, query, index);
	allowed_us = query->values->value[SETTING_DEADLINE_US];
	if (event->deadline_us > 0 && event->deadline_us < allowed_us)
		allowed_us = event->deadline_us;
	query->deadline_us = core->now_us + allowed_us - RETURN_TO_CALLER_US;
	TAILQ_INSERT_TAIL(&core->queries, query, link);
	core->query_count++;
	return query;
}

static void
destroy_query(core_t *core, query_t *query)
{
	for (int shard = 0; shard < query->slot_count; shard++)
		attempt_cancel_all(core, query, shard, NULL);
	core_unset_timer(core, &query->deadline_timer);
	core_unset_timer(core, &query->hedge_timer);
	core_unset_timer(core, &query->relay_timer);
	TAILQ_REMOVE(&core->queries, query, link);
	core->query_count--;
	reply_free_hits(query->hits);
	g_array_unref(query->hits);
	fleet_release(query->fleet);
	g_free(query->slots);
	g_free(query->text);
	g_free(query);
}

static void
pin_query(core_t *core, query_t *query, const index_info_t *index)
{
	fleet_t *before = query->fleet;

	query->fleet = fleet_acquire(core->fleet);
	query->index = index;
	query->index_state = estimate_get_index_state(core, index->name);
	query->values = &index->values[query->rank];
	query->slot_count = index->shard_count;
	query->waiting_count = index->shard_count;
	query->answered_count = 0;
	query->is_version_removed = false;
	g_free(query->slots);
	query->slots = g_new0(slot_t, index->shard_count);
	reply_free_hits(query->hits);
	fleet_release(before);
}

/* Chooses a replica for each shard and estimates the wait and the total time of
 * the slowest. */
static void
plan_query(core_t *core, query_t *query, query_plan_t *plan)
{
	const routing_callbacks_t *routing = plugin_find_choice(PLUGIN_ROUTING,
	    SETTING_ROUTING, query->values->value[SETTING_ROUTING])
						 ->callbacks;

	plan->choices = g_new0(int, query->slot_count);
	plan->wait_us = 0;
	plan->expected_us = 0;
	for (int shard = 0; shard < query->slot_count; shard++) {
		const replica_set_t *replicas = &query->index->shards[shard];
		int choice =
		    routing->choose_replica(NULL, core, query, replicas, 0);
		leaf_state_t *state;
		int64_t wait_us;

		plan->choices[shard] = choice;
		if (choice < 0)
			continue;
		state = estimate_get_leaf_state(
		    core, replicas->replicas[choice], query->index_state);
		wait_us = estimate_get_wait(core, state, query->index_state,
		    query->rank, replicas->replicas[choice]->slots);
		plan->wait_us = MAX(plan->wait_us, wait_us);
		plan->expected_us = MAX(plan->expected_us,
		    wait_us + estimate_get_service(state, query->index_state));
	}
}

static void
start_query(core_t *core, query_t *query, const query_plan_t *plan)
{
	const hedging_callbacks_t *hedging = plugin_find_choice(PLUGIN_HEDGING,
	    SETTING_HEDGING, query->values->value[SETTING_HEDGING])
						 ->callbacks;
	GArray *batches = g_array_new(FALSE, FALSE, sizeof(batch_t));
	int64_t delay_us = hedging->get_delay(NULL, core, query);

	core_set_timer(core, &query->deadline_timer, query->deadline_us,
	    handle_deadline, query);
	if (delay_us > 0)
		core_set_timer(core, &query->hedge_timer,
		    core->now_us + delay_us, handle_hedge, query);
	core->hedge_tokens[query->rank] = MIN(TOKEN_BUCKET_SIZE,
	    core->hedge_tokens[query->rank] +
		(double)(query->slot_count *
			 query->values->value[SETTING_HEDGE_PERCENT]) /
		    100);
	core->retry_tokens[query->rank] = MIN(TOKEN_BUCKET_SIZE,
	    core->retry_tokens[query->rank] +
		(double)(query->slot_count *
			 query->values->value[SETTING_RETRY_PERCENT]) /
		    100);
	for (int shard = 0; shard < query->slot_count; shard++) {
		const replica_set_t *replicas = &query->index->shards[shard];

		if (plan->choices[shard] < 0)
			continue;
		attempt_add(core, query, shard, plan->choices[shard],
		    ATTEMPT_ORIGINAL, batches);
		/* A probe of an ejected leaf is sent in addition to the
		 * request, never instead of it. */
		for (int i = 0; i < replicas->count; i++) {
			leaf_state_t *state = estimate_get_leaf_state(
			    core, replicas->replicas[i], query->index_state);

			if (i != plan->choices[shard] &&
			    estimate_is_probe_due(core, state))
				attempt_add(core, query, shard, i,
				    ATTEMPT_PROBE, batches);
		}
	}
	send_batches(core, query, batches);
	for (int shard = 0; shard < query->slot_count; shard++) {
		bool is_last = query->waiting_count == 1;

		if (plan->choices[shard] >= 0)
			continue;
		fail_slot(core, query, shard, "leaving");
		if (is_last)
			return; /* fail_slot ended the query */
	}
}

static void
restart_query(core_t *core, query_t *query)
{
	const index_info_t *newer =
	    fleet_find_index(core->fleet, query->index->name);
	uint32_t before = query->index->version;
	int64_t left_us = query->deadline_us - core->now_us;
	query_plan_t plan;

	if (newer == NULL || newer->version <= before ||
	    query->restart_count >= QUERY_RESTARTS_MAX ||
	    left_us < 2 * query->index_state->median_service_us)
		return;
	for (int shard = 0; shard < query->slot_count; shard++)
		attempt_cancel_all(core, query, shard, NULL);
	query->restart_count++;
	pin_query(core, query, newer);
	metric_add(METRIC_QUERIES_RESTARTED, 1);
	core_log(core, LOG_QUERY_RESTARTED,
	    "query %s: index %s version %u was removed; restarted on %u",
	    query->request, newer->name, before, newer->version);
	plan_query(core, query, &plan);
	start_query(core, query, &plan);
	g_free(plan.choices);
}

static void
finish_query(core_t *core, query_t *query)
{
	int64_t took_us = core->now_us - query->started_us;
	action_t *action;
	int merged = 0;

	for (int shard = 0; shard < query->slot_count; shard++)
		merged += query->slots[shard].state == SLOT_ANSWERED;
	if (merged != query->answered_count) {
		core_report_violation(core, LOG_INVARIANT_COVERAGE,
		    "query %s: %d shards merged, but coverage counts %d",
		    query->request, merged, query->answered_count);
		core_answer_error(core, query->caller, 500, 0, "failed",
		    "invariant", "the coverage could not be established");
		destroy_query(core, query);
		return;
	}
	metric_add(METRIC_QUERIES_ANSWERED, 1);
	estimate_record_answer(
	    core, query->rank, took_us, (double)merged / query->slot_count);
	if (merged < query->slot_count)
		metric_add(METRIC_QUERIES_PARTIAL, 1);
	core_log(core, LOG_QUERY_ANSWERED,
	    "query %s: index %s version %u coverage %d/%d in %" G_GINT64_FORMAT
	    " us",
	    query->request, query->index->name, query->index->version, merged,
	    query->slot_count, took_us);
	action = core_add_action(core, ACTION_ANSWER);
	action->caller = query->caller;
	action->http_status = merged > 0 ? 200 : 504;
	action->body =
	    reply_format_answer(query, took_us, &action->body_length);
	destroy_query(core, query);
}

static void
merge_reply(core_t *core, attempt_t *attempt, const wire_result_t *result)
{
	query_t *query = attempt->query;
	slot_t *slot = &query->slots[attempt->shard];
	int shard = attempt->shard;
	log_event_t violation;
	error_info_t error;

	if (!reply_parse(query, attempt, result->body, result->body_length,
		query->hits, &violation, &error)) {
		metric_add(METRIC_REPLIES_DROPPED, 1);
		core_log(core, LOG_REPLY_DROPPED,
		    "query %s: shard %d: %s with %s: %s", query->request, shard,
		    error.step, error.peer, error.text);
		if (violation != 0)
			core_log(core, violation, "query %s: shard %d: %s",
			    query->request, shard, error.text);
		attempt->state->consecutive_failures++;
		attempt_remove(core, attempt);
		retry_slot(core, query, shard,
		    error.code == ERROR_CONFLICT ? "crossed" : "garbage",
		    false);
		return;
	}
	attempt_remove(core, attempt);
	attempt_cancel_all(core, query, shard, NULL);
	slot->state = SLOT_ANSWERED;
	query->answered_count++;
	if (--query->waiting_count == 0)
		finish_query(core, query);
}

/* Retries a shard's request, on an untried replica if there is one, while retry
 * budget and deadline allow; else fails the shard. */
static void
retry_slot(core_t *core, query_t *query, int shard, const char *reason,
    bool is_budget_exempt)
{
	slot_t *slot = &query->slots[shard];
	const replica_set_t *replicas = &query->index->shards[shard];
	const routing_callbacks_t *routing = plugin_find_choice(PLUGIN_ROUTING,
	    SETTING_ROUTING, query->values->value[SETTING_ROUTING])
						 ->callbacks;
	GArray *batches;
	int choice;

	slot->missing_reason = reason;
	for (int i = 0; i < slot->attempt_count; i++)
		if (slot->attempts[i] != NULL)
			return; /* another attempt is in flight */
	choice = routing->choose_replica(
	    NULL, core, query, replicas, slot->tried_replicas);
	if (choice < 0) {
		slot->tried_replicas = 0;
		choice =
		    routing->choose_replica(NULL, core, query, replicas, 0);
	}
	if (choice < 0 || slot->attempt_count >= ATTEMPTS_PER_SLOT_MAX ||
	    core->now_us + query->index_state->median_service_us >
		query->deadline_us ||
	    (!is_budget_exempt && core->retry_tokens[query->rank] < 1)) {
		fail_slot(core, query, shard, reason);
		return;
	}
	if (!is_budget_exempt)
		core->retry_tokens[query->rank] -= 1;
	metric_add(METRIC_RETRIES, 1);
	batches = g_array_new(FALSE, FALSE, sizeof(batch_t));
	attempt_add(core, query, shard, choice, ATTEMPT_RETRY, batches);
	send_batches(core, query, batches);
}

static void
fail_slot(core_t *core, query_t *query, int shard, const char *reason)
{
	query->slots[shard].state = SLOT_FAILED;
	query->slots[shard].missing_reason = reason;
	if (--query->waiting_count == 0)
		finish_query(core, query);
}

static void
handle_deadline(core_t *core, void *context)
{
	finish_query(core, context);
}

/* Hedging is due when only the last quarter of the shards is pending. After
 * twice the delay any number of shards is hedged: a lost instance may hold most
 * of a small index. */
static bool
is_hedging_due(const core_t *core, const query_t *query, int64_t delay_us)
{
	int64_t age_us = core->now_us - query->started_us;

	if (query->waiting_count * 100 <=
	    MAX(100, query->slot_count * HEDGE_PENDING_PERCENT_MAX))
		return true;
	return age_us >= 2 * delay_us;
}

/* Hedges the pending shards of a query and sets the timer for the next check.
 */
static void
handle_hedge(core_t *core, void *context)
{
	query_t *query = context;
	const hedging_callbacks_t *hedging = plugin_find_choice(PLUGIN_HEDGING,
	    SETTING_HEDGING, query->values->value[SETTING_HEDGING])
						 ->callbacks;
	const routing_callbacks_t *routing = plugin_find_choice(PLUGIN_ROUTING,
	    SETTING_ROUTING, query->values->value[SETTING_ROUTING])
						 ->callbacks;
	int64_t delay_us = hedging->get_delay(NULL, core, query);
	GArray *batches = g_array_new(FALSE, FALSE, sizeof(batch_t));

	for (int shard = 0;
	     shard < query->slot_count && is_hedging_due(core, query, delay_us);
	     shard++) {
		slot_t *slot = &query->slots[shard];
		const replica_set_t *replicas = &query->index->shards[shard];
		attempt_t *original = NULL;
		int live_count = 0;
		int choice;

		if (slot->state != SLOT_WAITING ||
		    core->hedge_tokens[query->rank] < 1)
			continue;
		for (int i = 0; i < slot->attempt_count; i++) {
			if (slot->attempts[i] != NULL &&
			    slot->attempts[i]->kind != ATTEMPT_PROBE) {
				original = slot->attempts[i];
				live_count++;
			}
		}
		if (live_count != 1)
			continue;
		choice = routing->choose_replica(
		    NULL, core, query, replicas, slot->tried_replicas);
		if (choice < 0 || !hedging->is_useful(NULL, core, query,
				      original, replicas->replicas[choice]))
			continue;
		core->hedge_tokens[query->rank] -= 1;
		metric_add(METRIC_HEDGES, 1);
		attempt_add(core, query, shard, choice, ATTEMPT_HEDGE, batches);
	}
	send_batches(core, query, batches);
	/* The check interval grows with the age of the query. */
	delay_us = MAX(delay_us, core->now_us - query->started_us) / 4;
	core_set_timer(core, &query->hedge_timer,
	    core->now_us + MAX(delay_us, 1000), handle_hedge, query);
}

static void
set_relay_timer(core_t *core, query_t *query)
{
	if (query->relay_timer.position == NULL)
		core_set_timer(core, &query->relay_timer,
		    core->now_us + RELAY_TIMEOUT_US, handle_relay_timer, query);
}

/* Sends the batches; while any went to a remote relay, its responses are
 * checked. */
static void
send_batches(core_t *core, query_t *query, GArray *batches)
{
	if (attempt_send(core, query, batches))
		set_relay_timer(core, query);
}

/* Moves attempts away from relays that do not acknowledge requests. */
static void
handle_relay_timer(core_t *core, void *context)
{
	query_t *query = context;
	GArray *batches = g_array_new(FALSE, FALSE, sizeof(batch_t));
	bool is_remote = false;

	for (int shard = 0; shard < query->slot_count; shard++) {
		slot_t *slot = &query->slots[shard];
		int count = slot->attempt_count;

		for (int i = 0; slot->state == SLOT_WAITING && i < count; i++) {
			attempt_t *attempt = slot->attempts[i];

			if (attempt == NULL || attempt->relay == 0)
				continue;
			is_remote = true;
			if (is_relay_unresponsive(core, attempt))
				fail_over_attempt(
				    core, query, attempt, batches);
		}
	}
	send_batches(core, query, batches);
	if (is_remote)
		set_relay_timer(core, query);
}

/* A relay is unresponsive if it also fails to answer a ping that is sent after
 * a period without messages from it. */
static bool
is_relay_unresponsive(core_t *core, const attempt_t *attempt)
{
	peer_state_t *peer = core_get_peer_state(core, attempt->relay);
	const peer_t *relay;

	if (core->now_us - peer->last_received_us < RELAY_TIMEOUT_US)
		return false;
	if (peer->last_ping_us <= peer->last_received_us) {
		relay = fleet_find_peer(core->fleet, attempt->relay);
		if (relay == NULL)
			return true; /* no longer a member */
		attempt_ping_relay(core, peer, relay);
		return false;
	}
	if (!peer->is_unresponsive &&
	    core->now_us - peer->last_ping_us < RELAY_TIMEOUT_US)
		return false;
	if (!peer->is_unresponsive)
		core_log(core, LOG_HOME_FAILED_OVER,
		    "query: relay %016" G_GINT64_MODIFIER
		    "x timed out; its attempts fail over",
		    attempt->relay);
	peer->is_unresponsive = true;
	return true;
}

/* Sends the request to the same replica through the next relay. */
static void
fail_over_attempt(
    core_t *core, query_t *query, attempt_t *attempt, GArray *batches)
{
	const replica_set_t *replicas = &query->index->shards[attempt->shard];
	int shard = attempt->shard;
	int replica = 0;

	while (replica + 1 < replicas->count &&
	       replicas->replicas[replica]->key != attempt->leaf->key)
		replica++;
	metric_add(METRIC_HOME_FAILOVERS, 1);
	attempt->state->outstanding--;
	attempt_remove(core, attempt);
	attempt_add(core, query, shard, replica, ATTEMPT_RETRY, batches);
}
