/**
 * @file part.c
 * One part of a request: original attempt, hedges, retries, and the queue for a
 * free connection. part_handle_answer() returns the effect of an answer,
 * which the caller applies to the request.
 */
#include <stdio.h>
#include <string.h>

#include "tier_private.h"

#define HEDGE_RETRY_DELAY_US  15000 /* after a hedge that was not possible */
#define HEDGE_EARLY_MARGIN_US 8000  /* jitter of the network and the loop */
#define HEDGE_EARLY_MAX_LOAD  1.35  /* latency in multiples of an idle one */
#define HEDGE_EARLY_FACTOR    1.5   /* of the expected latency, at least */
#define MAX_RESTARTS	      3	    /* of a part whose request did not arrive */
#define CONNECTION_LIMIT_RTTS 2	    /* to connect and to receive the reset */
#define LOWER_RANK_INTERVAL   4	  /* every 4th dispatch goes to a lower rank */
#define LATENCY_WEIGHT	      0.1 /* of one sample in a service's mean */
#define IDLE_QUANTILE	      0.1 /* of a service's latencies: without queueing */
#define IDLE_STEP	      0.02     /* relative step of that estimate */
#define LATENCY_CLIP_US	      250000.0 /* longer latencies are faults, not load */

void
part_queue(tier_part_t *part, int rank)
{
	tier_service_t *service = part->service;

	if (part->is_queued)
		return;
	part->state = PART_QUEUED;
	part->is_queued = true;
	part->queue_rank = rank;
	TAILQ_INSERT_TAIL(&service->queues[rank], part, in_queue);
	service->queued_count++;
	service->queued_by_rank[rank]++;
	part->request->tier->queued_part_count++;
}

void
part_unqueue(tier_part_t *part)
{
	tier_service_t *service = part->service;

	if (!part->is_queued)
		return;
	part->is_queued = false;
	TAILQ_REMOVE(&service->queues[part->queue_rank], part, in_queue);
	service->queued_count--;
	service->queued_by_rank[part->queue_rank]--;
	part->request->tier->queued_part_count--;
}

/*
 * Expected latency of the best other leaf, INT64_MAX if there is none. A new
 * connection costs one more round trip.
 */
static int64_t
get_other_leaf_us(const tier_part_t *part)
{
	const route_stats_t *stats = &part->request->state->stats;
	const tier_leaf_t *leaf,
	    *sent_to = part->tried.leaves[part->tried.count - 1];
	int64_t best_us = INT64_MAX;

	LIST_FOREACH(leaf, &part->service->leaves, in_service)
	{
		int64_t expected_us = leaf_stats_get_expected_us(
		    stats, &leaf->stats, *leaf->rtt_us);

		if (leaf == sent_to || leaf_picker_is_departing(leaf))
			continue;
		if (leaf->connection_count <= leaf->in_flight)
			expected_us += *leaf->rtt_us;
		best_us = MIN(best_us, expected_us);
	}
	return best_us;
}

/* Under load, early hedges would only lengthen the queues. */
bool
part_is_loaded(const tier_part_t *part)
{
	const tier_service_t *service = part->service;

	return part->request->tier->queued_part_count > 0 ||
	       service->mean_latency_us >
		   HEDGE_EARLY_MAX_LOAD * service->idle_latency_us;
}

/*
 * A hedge is due when the attempt is overdue, or earlier if the other leaf
 * could not answer within the objective after that.
 */
void
part_update_hedge_time(tier_part_t *part)
{
	const tier_request_t *request = part->request;
	const tier_leaf_t *leaf = part->tried.leaves[part->tried.count - 1];
	const route_stats_t *stats = &request->state->stats;
	int64_t overdue_us =
	    leaf_stats_get_overdue_us(stats, &leaf->stats, *leaf->rtt_us);
	int64_t earliest_us =
	    HEDGE_EARLY_MARGIN_US +
	    (int64_t)(HEDGE_EARLY_FACTOR *
		      (double)leaf_stats_get_expected_us(
			  stats, &leaf->stats, *leaf->rtt_us));
	int64_t other_us = get_other_leaf_us(part);
	int64_t latest_us = INT64_MAX;

	if (other_us != INT64_MAX && request->route->is_gather &&
	    !part_is_loaded(part))
		latest_us = MAX(request->answer_by_us - other_us -
				    HEDGE_EARLY_MARGIN_US - part->sent_us,
		    earliest_us);
	part->hedge_at_us = part->sent_us + MIN(overdue_us, latest_us);
}

static int
find_asked(const tier_part_t *part, const tier_leaf_t *leaf)
{
	for (int i = 0; i < part->asked.count; i++)
		if (part->asked.leaves[i] == leaf)
			return i;
	return -1;
}

/* The route limits the leaves that may run one part, however each try ended. */
static bool
may_ask(const tier_part_t *part, const tier_leaf_t *leaf)
{
	int max = MIN(part->request->route->max_attempts, MAX_ATTEMPTS);

	return part->asked.count < max || find_asked(part, leaf) >= 0;
}

/* The leaf has not run it. */
static void
forget_asked(tier_part_t *part, const tier_leaf_t *leaf)
{
	int i = find_asked(part, leaf);

	if (i >= 0)
		part->asked.leaves[i] = part->asked.leaves[--part->asked.count];
}

static void
send_attempt(
    tier_part_t *part, tier_leaf_t *leaf, int64_t now_us, bool is_extra)
{
	tier_request_t *request = part->request;
	tier_t *tier = request->tier;
	route_stats_t *route_stats = &request->state->stats;
	tier_attempt_t *attempt = g_new0(tier_attempt_t, 1);

	attempt->part = part;
	attempt->leaf = leaf;
	attempt->route_stats = route_stats;
	attempt->sent_us = now_us;
	attempt->remaining_us = request->deadline_us - now_us;
	attempt->close_at_us = request->deadline_us + ABANDONED_TIMEOUT_US;
	attempt->is_extra = is_extra;
	attempt->may_repeat = request->route->is_idempotent;
	attempt->info = &request->info;
	attempt->caller = request->caller;
	TAILQ_INSERT_TAIL(&tier->attempts, attempt, in_flight);
	leaf->in_flight++;
	part->state = PART_SENT;
	part->sent_count++;
	part->in_flight_count++;
	part->tried.leaves[part->tried.count++] = leaf;
	if (find_asked(part, leaf) < 0)
		part->asked.leaves[part->asked.count++] = leaf;
	part->sent_us = now_us;
	part_update_hedge_time(part);
	request->next_check_us = MIN(request->next_check_us, part->hedge_at_us);
	tier->next_check_us = MIN(tier->next_check_us, request->next_check_us);
	request->may_have_run = true;
	if (is_extra) {
		request->extra_count++;
		metric_add(METRIC_TIER_EXTRA_ATTEMPTS, 1);
	}
	metric_add(METRIC_TIER_LEAF_REQUESTS, 1);
	tier->callbacks.send(tier->callbacks.context, attempt);
	attempt->info = NULL;
	attempt->caller = NULL;
}

static const char BUSY[] = "all other leafs are busy";

static bool
take_budget(tier_part_t *part, int64_t now_us)
{
	const tier_t *tier = part->request->tier;
	double slack =
	    budget_get_slack(tier->options.retry_slack, tier->vm_count,
		now_us - tier->started_us, tier->options.retry_window_us);

	return budget_take(
	    &part->service->budget, now_us, tier->options.retry_ratio, slack);
}

/*
 * Sends a hedge or retry if another leaf is free and the budget allows it. A
 * hedge needs a leaf that is not stalled and can answer in time.
 * Returns NULL, or the reason why nothing was sent.
 */
static const char *
send_extra(tier_part_t *part, int64_t now_us, bool is_hedge)
{
	tier_request_t *request = part->request;
	tier_leaf_t *leaf;
	int64_t expected_us;

	if (part->sent_count >=
		MIN(request->route->max_attempts, MAX_ATTEMPTS) ||
	    part->tried.count >= MAX_ATTEMPTS)
		return "no attempt is left";
	switch (leaf_picker_choose(part->service, &request->state->stats,
	    request->rank, &part->tried, now_us, request->tier->random, &leaf,
	    &expected_us)) {
	case LEAF_PICKER_NONE:
		return "no other leaf can be used";
	case LEAF_PICKER_BUSY:
		return BUSY;
	case LEAF_PICKER_FOUND:
		break;
	}
	if (!may_ask(part, leaf))
		return "no attempt is left";
	if (is_hedge && leaf->stats.is_stalled)
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
	    part->request->log_id, part->service->name, part->sent_count,
	    budget->original_sum, budget->extra_sum, tier->vm_count,
	    why_not != NULL ? why_not : "");
	tier->callbacks.log(tier->callbacks.context,
	    why_not != NULL ? LOG_TIER_NOT_RETRIED : LOG_TIER_RETRIED, text);
}

void
part_fail(tier_part_t *part)
{
	part_unqueue(part);
	part->state = PART_FAILED;
	part->request->failed_count++;
}

/* Sends an attempt, queues the part, or fails it. */
void
part_start(tier_part_t *part, int64_t now_us, bool is_extra)
{
	tier_request_t *request = part->request;
	tier_leaf_t *leaf;
	int64_t expected_us;

	switch (leaf_picker_choose(part->service, &request->state->stats,
	    request->rank, &part->tried, now_us, request->tier->random, &leaf,
	    &expected_us)) {
	case LEAF_PICKER_FOUND:
		if (!may_ask(part, leaf)) {
			part_fail(part);
			break;
		}
		part_unqueue(part);
		send_attempt(part, leaf, now_us, is_extra);
		break;
	case LEAF_PICKER_BUSY:
		part_queue(part, request->rank);
		break;
	case LEAF_PICKER_NONE:
		part_fail(part);
		break;
	}
}

static const char *
get_health(const tier_leaf_t *leaf)
{
	if (leaf->stats.backoff_us > 0)
		return "down";
	return leaf->stats.is_stalled ? "stalled" : "sound";
}

/* Logs a change of the leaf's health. */
static void
log_health(
    tier_t *tier, const tier_leaf_t *leaf, const char *before, int64_t now_us)
{
	const char *after = get_health(leaf);
	char text[320];

	if (strcmp(before, after) == 0 || !log_is_enabled(LOG_TIER_HEALTH))
		return;
	snprintf(text, sizeof(text),
	    "\"leaf\":\"%s\",\"service\":\"%s\",\"before\":\"%s\","
	    "\"after\":\"%s\",\"failures\":%.2f,\"speed\":%.2f,"
	    "\"in_flight\":%d,\"down_us\":%" G_GINT64_FORMAT,
	    leaf->entry.id, leaf->entry.service, before, after,
	    leaf->stats.failure_rate, leaf->stats.work_factor, leaf->in_flight,
	    MAX(leaf->stats.down_until_us - now_us, 0));
	tier->callbacks.log(tier->callbacks.context, LOG_TIER_HEALTH, text);
}

/*
 * Marks the leaf as stalled. Its open attempts become eligible for hedging at
 * once, within the budget.
 */
static void
record_stall(tier_t *tier, tier_leaf_t *leaf, int64_t now_us)
{
	const char *before = get_health(leaf);
	tier_attempt_t *attempt;

	if (leaf->stats.is_stalled)
		return;
	leaf_stats_record_stall(&leaf->stats);
	log_health(tier, leaf, before, now_us);
	TAILQ_FOREACH (attempt, &tier->attempts, in_flight) {
		tier_part_t *part = attempt->part;

		if (attempt->leaf != leaf || part == NULL ||
		    part->state != PART_SENT || part->in_flight_count > 1)
			continue;
		part->hedge_at_us = now_us;
		part->is_hedge_fixed = true;
		part->request->next_check_us = now_us;
		tier->next_check_us = now_us;
	}
}

tier_attempt_t *
part_find_attempt(tier_t *tier, const tier_part_t *part)
{
	tier_attempt_t *attempt;

	TAILQ_FOREACH (attempt, &tier->attempts, in_flight)
		if (attempt->part == part)
			return attempt;
	return NULL;
}

/* Logs the hedge, or why there is none, once per part. */
static void
log_hedge(tier_part_t *part, const tier_attempt_t *overdue, int64_t now_us,
    const char *why_not)
{
	tier_t *tier = part->request->tier;
	const budget_t *budget = &part->service->budget;
	char text[448];

	if (part->is_hedge_logged || !log_is_enabled(LOG_TIER_HEDGED))
		return;
	part->is_hedge_logged = true;
	snprintf(text, sizeof(text),
	    "\"id\":\"%s\",\"service\":\"%s\",\"leaf\":\"%s\","
	    "\"waited_us\":%" G_GINT64_FORMAT ",\"other\":\"%s\","
	    "\"budget_first\":%d,\"budget_extra\":%d,\"why\":\"%s\"",
	    part->request->log_id, part->service->name,
	    overdue != NULL ? overdue->leaf->entry.id : "",
	    overdue != NULL ? now_us - overdue->sent_us : 0,
	    why_not == NULL
		? part->tried.leaves[part->tried.count - 1]->entry.id
		: "",
	    budget->original_sum, budget->extra_sum,
	    why_not != NULL ? why_not : "");
	tier->callbacks.log(tier->callbacks.context, LOG_TIER_HEDGED, text);
}

void
part_hedge(tier_part_t *part, int64_t now_us)
{
	tier_t *tier = part->request->tier;
	tier_attempt_t *open = part_find_attempt(tier, part);
	const char *why_not;

	part->hedge_at_us = now_us + HEDGE_RETRY_DELAY_US;
	part->is_hedge_fixed = true;
	if (open != NULL)
		record_stall(tier, open->leaf, now_us);
	if (!part->request->route->is_idempotent)
		return;
	why_not = send_extra(part, now_us, true);
	if (why_not == NULL)
		part->hedge_at_us = INT64_MAX;
	log_hedge(part, open, now_us, why_not);
}

static void
record_latency(tier_service_t *service, int64_t took_us)
{
	double latency = MIN((double)took_us, LATENCY_CLIP_US);

	if (service->mean_latency_us == 0)
		service->mean_latency_us = service->idle_latency_us = latency;
	service->mean_latency_us +=
	    LATENCY_WEIGHT * (latency - service->mean_latency_us);
	if (latency < service->idle_latency_us)
		service->idle_latency_us *=
		    1.0 - IDLE_STEP * (1.0 - IDLE_QUANTILE);
	else
		service->idle_latency_us *= 1.0 + IDLE_STEP * IDLE_QUANTILE;
}

/* False only if the leaf reported it or nothing was sent. */
static bool
may_have_executed(attempt_outcome_t outcome)
{
	return outcome != OUTCOME_NOT_RUN && outcome != OUTCOME_MISDIRECTED &&
	       outcome != OUTCOME_UNSENT;
}

/*
 * A leaf that refuses a connection while others are open is alive and at its
 * connection limit. The refused connection is still counted here.
 */
static attempt_outcome_t
get_leaf_outcome(const tier_leaf_t *leaf, attempt_outcome_t outcome)
{
	return outcome == OUTCOME_UNSENT && leaf->connection_count > 1
		   ? OUTCOME_CONNECTION_LIMIT
		   : outcome;
}

/*
 * A connection over the limit is reset at once. A later reset is a lost answer:
 * the leaf may have run the request.
 */
static attempt_outcome_t
get_outcome(
    const tier_attempt_t *attempt, int64_t now_us, attempt_outcome_t reported)
{
	int64_t max_reset_us = CONNECTION_LIMIT_RTTS * *attempt->leaf->rtt_us +
			       (int64_t)attempt->route_stats->idle_work_us / 2;

	if (reported == OUTCOME_CONNECTION_LIMIT &&
	    now_us - attempt->sent_us > max_reset_us)
		return OUTCOME_CONNECTION_LOST;
	return reported;
}

static void
record_outcome(tier_t *tier, tier_attempt_t *attempt, int64_t now_us,
    const leaf_answer_t *answer)
{
	tier_leaf_t *leaf = attempt->leaf;
	const char *before = get_health(leaf);
	char text[384];

	switch (answer->outcome) {
	case OUTCOME_ANSWERED:
		metric_observe(HISTOGRAM_TIER_LEAF, now_us - attempt->sent_us);
		record_latency(leaf->service, now_us - attempt->sent_us);
		leaf_stats_record_answer(attempt->route_stats, &leaf->stats,
		    now_us, *leaf->rtt_us, now_us - attempt->sent_us);
		log_health(tier, leaf, before, now_us);
		return;
	case OUTCOME_MISDIRECTED:
		leaf->is_address_reused = true;
		break;
	default:
		break;
	}
	leaf_stats_record_failure(
	    &leaf->stats, now_us, get_leaf_outcome(leaf, answer->outcome));
	log_health(tier, leaf, before, now_us);
	if (!log_is_enabled(LOG_TIER_ATTEMPT_FAILED))
		return;
	snprintf(text, sizeof(text),
	    "\"id\":\"%s\",\"leaf\":\"%s\",\"service\":\"%s\","
	    "\"outcome\":\"%s\",\"why\":\"%s\",\"status\":%d,"
	    "\"took_us\":%" G_GINT64_FORMAT
	    ",\"failures\":%.2f,\"down_us\":%" G_GINT64_FORMAT,
	    attempt->part != NULL ? attempt->part->request->log_id : "",
	    leaf->entry.id, leaf->entry.service,
	    outcome_get_name(answer->outcome),
	    answer->why != NULL ? answer->why : "", answer->status,
	    now_us - attempt->sent_us, leaf->stats.failure_rate,
	    MAX(leaf->stats.down_until_us - now_us, 0));
	tier->callbacks.log(
	    tier->callbacks.context, LOG_TIER_ATTEMPT_FAILED, text);
}

/* A leaf that was removed meanwhile may be listed again, now or later. */
static void
keep_notice(tier_t *tier, const tier_leaf_t *leaf)
{
	tier_leaf_t *listed;

	if (!leaf->is_removed)
		return;
	listed = g_hash_table_lookup(tier->leaves, leaf->entry.id);
	if (listed == NULL ||
	    listed->entry.started_ms != leaf->entry.started_ms) {
		leaf_notices_put(tier->notices, leaf->entry.id,
		    leaf->entry.started_ms, &leaf->notice);
		return;
	}
	listed->notice.retry_at_us =
	    MAX(listed->notice.retry_at_us, leaf->notice.retry_at_us);
	if (listed->notice.leaving_us == 0)
		listed->notice.leaving_us = leaf->notice.leaving_us;
	tier_update_leave_time(tier, listed);
}

static void
log_notice(tier_t *tier, const tier_attempt_t *attempt, log_event_t event,
    const char *field, int64_t value)
{
	const tier_leaf_t *leaf = attempt->leaf;
	char text[320];

	snprintf(text, sizeof(text),
	    "\"id\":\"%s\",\"leaf\":\"%s\",\"service\":\"%s\","
	    "\"%s\":%" G_GINT64_FORMAT,
	    attempt->part != NULL ? attempt->part->request->log_id : "",
	    leaf->entry.id, leaf->entry.service, field, value);
	tier->callbacks.log(tier->callbacks.context, event, text);
}

/*
 * Remembers what the leaf says of itself. Its word holds from now on, whatever
 * the answer is used for, and later answers do not take it back.
 */
static void
record_notice(tier_t *tier, const tier_attempt_t *attempt, int64_t now_us,
    const leaf_answer_t *answer)
{
	tier_leaf_t *leaf = attempt->leaf;
	leaf_notice_t *notice = &leaf->notice;

	if (answer->is_leaving && notice->leaving_us == 0) {
		notice->leaving_us = now_us;
		tier_update_leave_time(tier, leaf);
		metric_add(METRIC_TIER_LEAVES_LEAVING, 1);
		log_notice(tier, attempt, LOG_TIER_LEAF_LEAVING, "until_us",
		    leaf->leave_by_us - now_us);
		keep_notice(tier, leaf);
	}
	if (answer->retry_after_us > 0) {
		metric_add(METRIC_TIER_TIME_ASKED, 1);
		if (now_us >= notice->retry_at_us)
			log_notice(tier, attempt, LOG_TIER_LEAF_ASKS_TIME,
			    "time_us", answer->retry_after_us);
		notice->retry_at_us =
		    MAX(notice->retry_at_us, now_us + answer->retry_after_us);
		keep_notice(tier, leaf);
	}
	if (answer->bad_header != NULL && !notice->has_bad_header) {
		char text[256];

		notice->has_bad_header = true;
		snprintf(text, sizeof(text),
		    "\"leaf\":\"%s\",\"service\":\"%s\",\"header\":\"%s\"",
		    leaf->entry.id, leaf->entry.service, answer->bad_header);
		tier->callbacks.log(
		    tier->callbacks.context, LOG_TIER_BAD_HEADER, text);
	}
}

/*
 * Sets request->may_have_run: true if a part is done, has an attempt that ended
 * and may have run, or has an attempt in flight.
 */
static void
update_may_have_run(tier_request_t *request)
{
	bool may_have_run = false;

	for (int i = 0; i < request->part_count; i++)
		may_have_run = may_have_run ||
			       request->parts[i].state == PART_DONE ||
			       request->parts[i].may_have_run ||
			       request->parts[i].in_flight_count > 0;
	request->may_have_run = may_have_run;
}

static bool
is_free_retry(attempt_outcome_t outcome)
{
	return outcome == OUTCOME_UNSENT || outcome == OUTCOME_CONNECTION_LIMIT;
}

/*
 * Restarts a part whose request did not arrive. The same leaf may be chosen
 * again, on an open connection. Returns false if no leaf is usable.
 */
static bool
restart_part(tier_part_t *part, int64_t now_us)
{
	if (++part->restart_count > MAX_RESTARTS)
		return false;
	part->tried.count = MAX(part->tried.count - 1, 0);
	part_start(part, now_us, false);
	if (part->state != PART_FAILED)
		return true;
	part->request->failed_count--; /* the caller fails it */
	part->state = PART_SENT;
	return false;
}

/*
 * Queues a retry while all other leaves are busy. Returns false if the budget
 * is exhausted.
 */
static bool
queue_retry(tier_part_t *part, int64_t now_us)
{
	if (!take_budget(part, now_us))
		return false;
	part_queue(part, part->request->rank);
	return true;
}

/*
 * Whether the caller may get the leaf's failure as it is. A status that
 * promises "not run" must not come from a leaf that ran the request.
 */
static bool
can_forward_failure(const tier_request_t *request, const leaf_answer_t *answer)
{
	return !request->route->is_gather &&
	       answer->outcome == OUTCOME_LEAF_FAILED &&
	       !answer->promises_not_run;
}

/* Handles a failed attempt: retries at another leaf or fails the part. */
static part_result_t
retry_part(tier_part_t *part, const tier_leaf_t *leaf, int64_t now_us,
    const leaf_answer_t *answer)
{
	tier_request_t *request = part->request;
	bool ran = may_have_executed(answer->outcome);
	bool is_connection_limit = answer->outcome == OUTCOME_CONNECTION_LIMIT;

	part->may_have_run = part->may_have_run || ran;
	if (!ran)
		forget_asked(part, leaf);
	if (!ran || is_connection_limit)
		part->sent_count--; /* does not count as an attempt */
	update_may_have_run(request);
	if (part->in_flight_count > 0)
		return PART_RESULT_PENDING; /* another may still answer */
	if (request->route->is_idempotent || !ran) {
		if (is_free_retry(answer->outcome)) {
			/*
			 * Not counted as an attempt. A request that was reset
			 * may have arrived: its retry takes from the budget.
			 */
			if ((!is_connection_limit ||
				take_budget(part, now_us)) &&
			    restart_part(part, now_us))
				return PART_RESULT_PENDING;
		} else {
			const char *why_not = send_extra(part, now_us, false);

			if (why_not == BUSY && queue_retry(part, now_us))
				why_not = NULL;
			log_retry(part, why_not);
			if (why_not == NULL)
				return PART_RESULT_PENDING;
		}
	}
	if (can_forward_failure(request, answer))
		return PART_RESULT_FORWARD;
	part_fail(part);
	return PART_RESULT_FAILED;
}

static void
detach_attempt(tier_t *tier, tier_attempt_t *attempt)
{
	TAILQ_REMOVE(&tier->attempts, attempt, in_flight);
	attempt->leaf->in_flight--;
}

/* The last attempt at a removed leaf also frees the leaf. */
static void
free_attempt(tier_attempt_t *attempt)
{
	tier_leaf_t *leaf = attempt->leaf;

	g_free(attempt);
	if (leaf->is_removed && leaf->in_flight == 0)
		g_free(leaf);
}

void
part_drop_attempt(tier_t *tier, tier_attempt_t *attempt)
{
	detach_attempt(tier, attempt);
	free_attempt(attempt);
}

/*
 * Ends and frees an attempt, and its leaf if that is removed and unused.
 * The caller applies the returned effect to the request.
 */
part_result_t
part_handle_answer(tier_t *tier, int64_t now_us, tier_attempt_t *attempt,
    const leaf_answer_t *reported)
{
	tier_part_t *part = attempt->part;
	leaf_answer_t answer = *reported;
	part_result_t result = PART_RESULT_PENDING;

	answer.outcome = get_outcome(attempt, now_us, reported->outcome);
	detach_attempt(tier, attempt);
	record_notice(tier, attempt, now_us, &answer);
	record_outcome(tier, attempt, now_us, &answer);
	if (part != NULL)
		part->in_flight_count--;
	if (part != NULL && part->state == PART_SENT) {
		if (answer.outcome == OUTCOME_ANSWERED) {
			part->state = PART_DONE;
			result = PART_RESULT_DONE;
		} else if (answer.status < 500 &&
			   can_forward_failure(part->request, &answer))
			result =
			    PART_RESULT_FORWARD; /* of the request itself */
		else
			result =
			    retry_part(part, attempt->leaf, now_us, &answer);
	}
	free_attempt(attempt);
	return result;
}

tier_part_t *
part_get_most_urgent(const tier_service_t *service)
{
	for (int i = 0; i < TIER_RANKS; i++)
		if (!TAILQ_EMPTY(&service->queues[i]))
			return TAILQ_FIRST(&service->queues[i]);
	return NULL;
}

/* The next queued part: most urgent first, with a share for lower ranks. */
tier_part_t *
part_get_next_queued(const tier_service_t *service)
{
	tier_part_t *first = part_get_most_urgent(service);

	if (first == NULL || service->dispatch_count % LOWER_RANK_INTERVAL !=
				 LOWER_RANK_INTERVAL - 1)
		return first;
	for (int i = first->queue_rank + 1; i < TIER_RANKS; i++)
		if (!TAILQ_EMPTY(&service->queues[i]))
			return TAILQ_FIRST(&service->queues[i]);
	return first;
}
