/**
 * @file query.c
 * A search at its entry: admitted whole, pinned to one index version, fanned
 * out to the homes of its shards, hedged and retried under budgets, and
 * answered with the coverage that it truly has.
 */
#include <stdio.h>
#include <string.h>

#include "core_private.h"

#define HOME_SILENCE_US	   50000
#define RESTARTS_MAX	   3
#define STRAGGLERS_PERCENT 25

typedef struct plan {
	int *choices; /* replica of each shard; -1: none */
	int64_t wait_us, expected_us;
} plan_t;

static query_t *create_query(
    core_t *core, const event_t *event, const index_info_t *index, rank_t rank);
static void destroy_query(core_t *core, query_t *query);
static void pin_query(core_t *core, query_t *query, const index_info_t *index);
static void plan_query(core_t *core, query_t *query, plan_t *plan);
static void start_query(core_t *core, query_t *query, const plan_t *plan);
static void restart_query(core_t *core, query_t *query);
static void finish_query(core_t *core, query_t *query);
static void take_reply(
    core_t *core, attempt_t *attempt, const wire_result_t *result);
static void retry_slot(
    core_t *core, query_t *query, int shard, const char *reason, bool is_free);
static void fail_slot(
    core_t *core, query_t *query, int shard, const char *reason);
static void handle_deadline(core_t *core, void *context);
static void handle_hedge(core_t *core, void *context);
static bool is_time_to_hedge(
    const core_t *core, const query_t *query, int64_t delay_us);
static void handle_silence(core_t *core, void *context);
static bool is_home_silent(core_t *core, const attempt_t *attempt);
static void fail_over(
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
	plan_t plan;

	metric_add(METRIC_QUERIES, 1);
	if (core->fleet == NULL || core->fleet->settings_version == 0) {
		effect_answer_error(core, event->caller, 503, 1, "not_run",
		    "not_ready", "this VM knows no settings yet");
		return;
	}
	if (index == NULL) {
		effect_answer_error(core, event->caller, 404, 0, "not_run",
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
		effect_log(core, LOG_QUERY_REFUSED,
		    "query %s: index %s rank %s refused: %s, expected "
		    "%" G_GINT64_FORMAT " us",
		    query->request, index->name, rank_get_name(rank), reason,
		    plan.expected_us);
		effect_answer_error(core, event->caller,
		    strcmp(reason, "caller_share") == 0 ? 429 : 503,
		    (int)(retry_after_us / 1000000) + 1, "not_run", reason,
		    "refused before any leaf request; try again later");
		destroy_query(core, query);
	} else {
		effect_log(core, LOG_QUERY_ADMITTED,
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

	estimate_take_wait(core, &result->wait);
	if (attempt == NULL) {
		metric_add(METRIC_REPLIES_DROPPED, 1);
		effect_log(core, LOG_REPLY_DROPPED,
		    "query: result of attempt %" G_GUINT64_FORMAT
		    " is late or doubled",
		    result->attempt);
		return;
	}
	if (attempt->home != 0)
		effect_get_peer_state(core, attempt->home)->heard_at_us =
		    core->now_us;
	query = attempt->query;
	shard = attempt->shard;
	estimate_take_result(core, attempt, result);
	if (query == NULL || query->slots[shard].state != SLOT_WAITING) {
		attempt_release(core, attempt);
		return;
	}
	if (result->status == RUN_OK) {
		take_reply(core, attempt, result);
		return;
	}
	attempt_release(core, attempt);
	if (result->status == RUN_VERSION_GONE) {
		query->is_version_gone = true;
		query->slots[shard].reason = "version_gone";
		restart_query(core, query);
		return;
	}
	retry_slot(core, query, shard,
	    result->is_leaving		    ? "leaving"
	    : result->status == RUN_NOT_RUN ? "shed"
	    : result->status == RUN_LATE    ? "late"
					    : "failed",
	    result->is_leaving);
}

void
query_handle_gone(core_t *core, uint64_t caller)
{
	query_t *query;

	TAILQ_FOREACH (query, &core->queries, link) {
		if (query->caller != caller)
			continue;
		effect_log(core, LOG_QUERY_GONE, "query %s: the caller is gone",
		    query->request);
		destroy_query(core, query);
		return;
	}
}

/* Queries whose index version is gone may go on with the newer one. */
void
query_handle_fleet(core_t *core)
{
	query_t *query = TAILQ_FIRST(&core->queries);

	while (query != NULL) {
		query_t *next = TAILQ_NEXT(query, link);

		if (query->is_version_gone)
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
		effect_unset_timer(core, &((attempt_t *)value)->reap_timer);
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
	    core->options.thread, effect_next_id(core));
	pin_query(core, query, index);
	allowed_us = query->values->value[SETTING_DEADLINE_US];
	if (event->deadline_us > 0 && event->deadline_us < allowed_us)
		allowed_us = event->deadline_us;
	query->deadline_us = core->now_us + allowed_us - WAY_BACK_US;
	TAILQ_INSERT_TAIL(&core->queries, query, link);
	core->query_count++;
	return query;
}

static void
destroy_query(core_t *core, query_t *query)
{
	for (int shard = 0; shard < query->slot_count; shard++)
		attempt_drop_all(core, query, shard, NULL);
	effect_unset_timer(core, &query->deadline_timer);
	effect_unset_timer(core, &query->hedge_timer);
	effect_unset_timer(core, &query->silence_timer);
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
	query->index_state = estimate_get_index(core, index->name);
	query->values = &index->values[query->rank];
	query->slot_count = index->shard_count;
	query->waiting = index->shard_count;
	query->answered = 0;
	query->is_version_gone = false;
	g_free(query->slots);
	query->slots = g_new0(slot_t, index->shard_count);
	reply_free_hits(query->hits);
	fleet_release(before);
}

/* Chooses a replica for each shard and sums up what the slowest will take. */
static void
plan_query(core_t *core, query_t *query, plan_t *plan)
{
	const routing_callbacks_t *routing = plugin_find_choice(PLUGIN_ROUTING,
	    SETTING_ROUTING, query->values->value[SETTING_ROUTING])
						 ->callbacks;

	plan->choices = g_new0(int, query->slot_count);
	plan->wait_us = 0;
	plan->expected_us = 0;
	for (int shard = 0; shard < query->slot_count; shard++) {
		const replica_set_t *replicas = &query->index->shards[shard];
		int choice = routing->choose(NULL, core, query, replicas, 0);
		leaf_state_t *state;
		int64_t wait_us;

		plan->choices[shard] = choice;
		if (choice < 0)
			continue;
		state = estimate_get_leaf(
		    core, replicas->replicas[choice], query->index_state);
		wait_us = estimate_get_wait(core, state, query->index_state,
		    query->rank, replicas->replicas[choice]->slots);
		plan->wait_us = MAX(plan->wait_us, wait_us);
		plan->expected_us = MAX(plan->expected_us,
		    wait_us + estimate_get_service(state, query->index_state));
	}
}

static void
start_query(core_t *core, query_t *query, const plan_t *plan)
{
	const hedging_callbacks_t *hedging = plugin_find_choice(PLUGIN_HEDGING,
	    SETTING_HEDGING, query->values->value[SETTING_HEDGING])
						 ->callbacks;
	GArray *batches = g_array_new(FALSE, FALSE, sizeof(batch_t));
	int64_t delay_us = hedging->get_delay(NULL, core, query);

	effect_set_timer(core, &query->deadline_timer, query->deadline_us,
	    handle_deadline, query);
	if (delay_us > 0)
		effect_set_timer(core, &query->hedge_timer,
		    core->now_us + delay_us, handle_hedge, query);
	core->hedge_tokens[query->rank] = MIN(TOKENS_BURST,
	    core->hedge_tokens[query->rank] +
		(double)(query->slot_count *
			 query->values->value[SETTING_HEDGE_PERCENT]) /
		    100);
	core->retry_tokens[query->rank] = MIN(TOKENS_BURST,
	    core->retry_tokens[query->rank] +
		(double)(query->slot_count *
			 query->values->value[SETTING_RETRY_PERCENT]) /
		    100);
	for (int shard = 0; shard < query->slot_count; shard++) {
		const replica_set_t *replicas = &query->index->shards[shard];

		if (plan->choices[shard] < 0)
			continue;
		attempt_add(core, query, shard, plan->choices[shard],
		    ATTEMPT_FIRST, batches);
		/* An ejected leaf is probed beside the request, never in its
		 * place. */
		for (int i = 0; i < replicas->count; i++) {
			leaf_state_t *state = estimate_get_leaf(
			    core, replicas->replicas[i], query->index_state);

			if (i != plan->choices[shard] &&
			    estimate_is_probe_due(core, state))
				attempt_add(core, query, shard, i,
				    ATTEMPT_PROBE, batches);
		}
	}
	send_batches(core, query, batches);
	for (int shard = 0; shard < query->slot_count; shard++) {
		bool is_last = query->waiting == 1;

		if (plan->choices[shard] >= 0)
			continue;
		fail_slot(core, query, shard, "leaving");
		if (is_last)
			return; /* the query has been answered */
	}
}

static void
restart_query(core_t *core, query_t *query)
{
	const index_info_t *newer =
	    fleet_find_index(core->fleet, query->index->name);
	uint32_t before = query->index->version;
	int64_t left_us = query->deadline_us - core->now_us;
	plan_t plan;

	if (newer == NULL || newer->version <= before ||
	    query->restarts >= RESTARTS_MAX ||
	    left_us < 2 * query->index_state->median_us)
		return;
	for (int shard = 0; shard < query->slot_count; shard++)
		attempt_drop_all(core, query, shard, NULL);
	query->restarts++;
	pin_query(core, query, newer);
	metric_add(METRIC_QUERIES_RESTARTED, 1);
	effect_log(core, LOG_QUERY_RESTARTED,
	    "query %s: index %s version %u is gone, restarted on %u",
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
	if (merged != query->answered) {
		effect_report_violation(core, LOG_INVARIANT_COVERAGE,
		    "query %s: %d shards merged, coverage says %d",
		    query->request, merged, query->answered);
		effect_answer_error(core, query->caller, 500, 0, "failed",
		    "invariant", "the coverage could not be established");
		destroy_query(core, query);
		return;
	}
	metric_add(METRIC_QUERIES_ANSWERED, 1);
	estimate_take_answer(
	    core, query->rank, took_us, (double)merged / query->slot_count);
	if (merged < query->slot_count)
		metric_add(METRIC_QUERIES_PARTIAL, 1);
	effect_log(core, LOG_QUERY_ANSWERED,
	    "query %s: index %s version %u coverage %d/%d in %" G_GINT64_FORMAT
	    " us",
	    query->request, query->index->name, query->index->version, merged,
	    query->slot_count, took_us);
	action = effect_add_action(core, ACTION_ANSWER);
	action->caller = query->caller;
	action->http_status = merged > 0 ? 200 : 504;
	action->body =
	    reply_format_answer(query, took_us, &action->body_length);
	destroy_query(core, query);
}

static void
take_reply(core_t *core, attempt_t *attempt, const wire_result_t *result)
{
	query_t *query = attempt->query;
	slot_t *slot = &query->slots[attempt->shard];
	int shard = attempt->shard;
	log_event_t violation;
	error_info_t error;

	if (!reply_parse(query, attempt, result->body, result->body_length,
		query->hits, &violation, &error)) {
		metric_add(METRIC_REPLIES_DROPPED, 1);
		effect_log(core, LOG_REPLY_DROPPED,
		    "query %s: shard %d: %s with %s: %s", query->request, shard,
		    error.step, error.peer, error.text);
		if (violation != 0)
			effect_log(core, violation, "query %s: shard %d: %s",
			    query->request, shard, error.text);
		attempt->state->failures++;
		attempt_release(core, attempt);
		retry_slot(core, query, shard,
		    error.code == ERROR_CONFLICT ? "crossed" : "garbage",
		    false);
		return;
	}
	attempt_release(core, attempt);
	attempt_drop_all(core, query, shard, NULL);
	slot->state = SLOT_ANSWERED;
	query->answered++;
	if (--query->waiting == 0)
		finish_query(core, query);
}

/* Repeats a shard's request on another replica while budget and time allow. */
static void
retry_slot(
    core_t *core, query_t *query, int shard, const char *reason, bool is_free)
{
	slot_t *slot = &query->slots[shard];
	const replica_set_t *replicas = &query->index->shards[shard];
	const routing_callbacks_t *routing = plugin_find_choice(PLUGIN_ROUTING,
	    SETTING_ROUTING, query->values->value[SETTING_ROUTING])
						 ->callbacks;
	GArray *batches;
	int choice;

	slot->reason = reason;
	for (int i = 0; i < slot->attempt_count; i++)
		if (slot->attempts[i] != NULL)
			return; /* another attempt is still under way */
	choice = routing->choose(NULL, core, query, replicas, slot->tried);
	if (choice < 0) {
		slot->tried = 0;
		choice = routing->choose(NULL, core, query, replicas, 0);
	}
	if (choice < 0 || slot->attempt_count >= ATTEMPTS_PER_SLOT_MAX ||
	    core->now_us + query->index_state->median_us > query->deadline_us ||
	    (!is_free && core->retry_tokens[query->rank] < 1)) {
		fail_slot(core, query, shard, reason);
		return;
	}
	if (!is_free)
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
	query->slots[shard].reason = reason;
	if (--query->waiting == 0)
		finish_query(core, query);
}

static void
handle_deadline(core_t *core, void *context)
{
	finish_query(core, context);
}

/* The last quarter of the shards at once; all of them when it is twice as
 * late, as when an instance that holds most of a small index is lost. */
static bool
is_time_to_hedge(const core_t *core, const query_t *query, int64_t delay_us)
{
	int64_t age_us = core->now_us - query->started_us;

	if (query->waiting * 100 <=
	    MAX(100, query->slot_count * STRAGGLERS_PERCENT))
		return true;
	return age_us >= 2 * delay_us;
}

/* Hedges the stragglers of a query, and looks again later. */
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

	for (int shard = 0; shard < query->slot_count &&
			    is_time_to_hedge(core, query, delay_us);
	     shard++) {
		slot_t *slot = &query->slots[shard];
		const replica_set_t *replicas = &query->index->shards[shard];
		attempt_t *first = NULL;
		int live = 0;
		int choice;

		if (slot->state != SLOT_WAITING ||
		    core->hedge_tokens[query->rank] < 1)
			continue;
		for (int i = 0; i < slot->attempt_count; i++) {
			if (slot->attempts[i] != NULL &&
			    slot->attempts[i]->kind != ATTEMPT_PROBE) {
				first = slot->attempts[i];
				live++;
			}
		}
		if (live != 1)
			continue;
		choice =
		    routing->choose(NULL, core, query, replicas, slot->tried);
		if (choice < 0 || !hedging->is_useful(NULL, core, query, first,
				      replicas->replicas[choice]))
			continue;
		core->hedge_tokens[query->rank] -= 1;
		metric_add(METRIC_HEDGES, 1);
		attempt_add(core, query, shard, choice, ATTEMPT_HEDGE, batches);
	}
	send_batches(core, query, batches);
	/* Looks again less often the longer the query has waited. */
	delay_us = MAX(delay_us, core->now_us - query->started_us) / 4;
	effect_set_timer(core, &query->hedge_timer,
	    core->now_us + MAX(delay_us, 1000), handle_hedge, query);
}

static void
set_silence_timer(core_t *core, query_t *query)
{
	if (query->silence_timer.position == NULL)
		effect_set_timer(core, &query->silence_timer,
		    core->now_us + HOME_SILENCE_US, handle_silence, query);
}

/* The homes of remote attempts are watched for silence. */
static void
send_batches(core_t *core, query_t *query, GArray *batches)
{
	if (attempt_send(core, query, batches))
		set_silence_timer(core, query);
}

/* Moves attempts away from homes that do not even acknowledge. */
static void
handle_silence(core_t *core, void *context)
{
	query_t *query = context;
	GArray *batches = g_array_new(FALSE, FALSE, sizeof(batch_t));
	bool is_remote = false;

	for (int shard = 0; shard < query->slot_count; shard++) {
		slot_t *slot = &query->slots[shard];
		int count = slot->attempt_count;

		for (int i = 0; slot->state == SLOT_WAITING && i < count; i++) {
			attempt_t *attempt = slot->attempts[i];

			if (attempt == NULL || attempt->home == 0)
				continue;
			is_remote = true;
			if (is_home_silent(core, attempt))
				fail_over(core, query, attempt, batches);
		}
	}
	send_batches(core, query, batches);
	if (is_remote)
		set_silence_timer(core, query);
}

/* A home that has said nothing for a while is pinged first. */
static bool
is_home_silent(core_t *core, const attempt_t *attempt)
{
	peer_state_t *peer = effect_get_peer_state(core, attempt->home);
	const peer_t *home;

	if (core->now_us - peer->heard_at_us < HOME_SILENCE_US)
		return false;
	if (peer->pinged_at_us <= peer->heard_at_us) {
		home = fleet_find_peer(core->fleet, attempt->home);
		if (home == NULL)
			return true; /* no member any more */
		attempt_ping_home(core, peer, home);
		return false;
	}
	if (!peer->is_silent &&
	    core->now_us - peer->pinged_at_us < HOME_SILENCE_US)
		return false;
	if (!peer->is_silent)
		effect_log(core, LOG_HOME_FAILED_OVER,
		    "query: home %016" G_GINT64_MODIFIER "x is silent",
		    attempt->home);
	peer->is_silent = true;
	return true;
}

/* The same replica again, through the next home in line. */
static void
fail_over(core_t *core, query_t *query, attempt_t *attempt, GArray *batches)
{
	const replica_set_t *replicas = &query->index->shards[attempt->shard];
	int shard = attempt->shard;
	int replica = 0;

	while (replica + 1 < replicas->count &&
	       replicas->replicas[replica]->key != attempt->leaf->key)
		replica++;
	metric_add(METRIC_HOME_FAILOVERS, 1);
	attempt->state->outstanding--;
	attempt_release(core, attempt);
	attempt_add(core, query, shard, replica, ATTEMPT_RETRY, batches);
}
