/**
 * @file part.c
 * One part of a request: its first attempt, hedges and retries, and the queue
 * in which it waits for a connection. What an answer means for the request is
 * returned, never decided here.
 */
#include <stdio.h>
#include <string.h>

#include "tier_private.h"

#define HEDGE_AGAIN_US	15000	 /* between looks at a part that can't hedge */
#define RESTARTS_MOST	3	 /* of a part whose request did not arrive */
#define CROWDED_RTTS	2	 /* to connect, and until the reset arrives */
#define LOWER_TURN	4	 /* each such dispatch goes to a lower rank */
#define LATENCY_WEIGHT	0.1	 /* of one sample in a service's mean */
#define IDLE_QUANTILE	0.1	 /* of a service's latencies: no queue */
#define IDLE_STEP	0.02	 /* change of that estimate by one sample */
#define LATENCY_CLIP_US 250000.0 /* a longer one is a fault, not load */

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

static void
send_attempt(
    tier_part_t *part, tier_leaf_t *leaf, int64_t now_us, bool is_extra)
{
	tier_request_t *request = part->request;
	tier_t *tier = request->tier;
	route_stats_t *kind = &request->state->stats;
	tier_attempt_t *attempt = g_new0(tier_attempt_t, 1);

	attempt->part = part;
	attempt->leaf = leaf;
	attempt->route_stats = kind;
	attempt->sent_us = now_us;
	attempt->remaining_us = request->deadline_us - now_us;
	attempt->close_at_us = request->deadline_us + ABANDONED_TIMEOUT_US;
	attempt->is_extra = is_extra;
	attempt->info = &request->info;
	attempt->caller = request->caller;
	TAILQ_INSERT_TAIL(&tier->attempts, attempt, in_flight);
	leaf->in_flight++;
	part->state = PART_SENT;
	part->sent_count++;
	part->in_flight_count++;
	part->tried.leaves[part->tried.count++] = leaf;
	part->hedge_at_us = now_us + leaf_stats_get_overdue_us(
					 kind, &leaf->stats, *leaf->rtt_us);
	request->next_check_us = MIN(request->next_check_us, part->hedge_at_us);
	tier->next_check_us = MIN(tier->next_check_us, request->next_check_us);
	request->may_have_run = true;
	if (is_extra) {
		request->extra_count++;
		metric_add(METRIC_TIER_EXTRA, 1);
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

/* Sends the first attempt, queues it, or fails the part. */
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

/* One line when what is believed of the leaf has changed. */
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

/* All that waits at a stalled leaf moves at once, within the budget. */
static void
note_stall(tier_t *tier, tier_leaf_t *leaf, int64_t now_us)
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

/* A part that can't hedge is looked at again, and logged once. */
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

	part->hedge_at_us = now_us + HEDGE_AGAIN_US;
	if (open != NULL)
		note_stall(tier, open->leaf, now_us);
	if (!part->request->route->is_idempotent)
		return;
	why_not = send_extra(part, now_us, true);
	if (why_not == NULL)
		part->hedge_at_us = INT64_MAX;
	log_hedge(part, open, now_us, why_not);
}

static void
note_latency(tier_service_t *service, int64_t took_us)
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

/* False only where the leaf said so or nothing was sent. */
static bool
has_run(attempt_outcome_t outcome)
{
	return outcome != OUTCOME_NOT_RUN && outcome != OUTCOME_MISDIRECTED &&
	       outcome != OUTCOME_UNSENT;
}

/*
 * A leaf that refuses a connection while it serves others lives, and has too
 * many of them. The refused one is still counted here.
 */
static attempt_outcome_t
get_believed(const tier_leaf_t *leaf, attempt_outcome_t outcome)
{
	return outcome == OUTCOME_UNSENT && leaf->connection_count > 1
		   ? OUTCOME_CONNECTION_LIMIT
		   : outcome;
}

/*
 * One connection too many is reset at once. A reset that comes after the time
 * of some work is an answer lost: the leaf may have run the request.
 */
static attempt_outcome_t
get_outcome(
    const tier_attempt_t *attempt, int64_t now_us, attempt_outcome_t reported)
{
	int64_t crowded_us = CROWDED_RTTS * *attempt->leaf->rtt_us +
			     (int64_t)attempt->route_stats->idle_work_us / 2;

	if (reported == OUTCOME_CONNECTION_LIMIT &&
	    now_us - attempt->sent_us > crowded_us)
		return OUTCOME_CONNECTION_LOST;
	return reported;
}

static void
note_outcome(tier_t *tier, tier_attempt_t *attempt, int64_t now_us,
    const leaf_answer_t *answer)
{
	tier_leaf_t *leaf = attempt->leaf;
	const char *before = get_health(leaf);
	char text[384];

	switch (answer->outcome) {
	case OUTCOME_ANSWERED:
		metric_observe(HISTOGRAM_TIER_LEAF, now_us - attempt->sent_us);
		note_latency(leaf->service, now_us - attempt->sent_us);
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
	    &leaf->stats, now_us, get_believed(leaf, answer->outcome));
	log_health(tier, leaf, before, now_us);
	if (!log_is_enabled(LOG_TIER_ATTEMPT_FAILED))
		return;
	snprintf(text, sizeof(text),
	    "\"id\":\"%s\",\"leaf\":\"%s\",\"service\":\"%s\","
	    "\"outcome\":\"%s\",\"status\":%d,\"took_us\":%" G_GINT64_FORMAT
	    ",\"failures\":%.2f,\"down_us\":%" G_GINT64_FORMAT,
	    attempt->part != NULL ? attempt->part->request->log_id : "",
	    leaf->entry.id, leaf->entry.service,
	    outcome_get_name(answer->outcome), answer->status,
	    now_us - attempt->sent_us, leaf->stats.failure_rate,
	    MAX(leaf->stats.down_until_us - now_us, 0));
	tier->callbacks.log(
	    tier->callbacks.context, LOG_TIER_ATTEMPT_FAILED, text);
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
			       request->parts[i].in_flight_count > 0;
	request->may_have_run = may_have_run;
}

static bool
is_free_retry(attempt_outcome_t outcome)
{
	return outcome == OUTCOME_UNSENT || outcome == OUTCOME_CONNECTION_LIMIT;
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
	part_start(part, now_us, false);
	if (part->state != PART_FAILED)
		return true;
	part->request->failed_count--; /* the caller fails it */
	part->state = PART_SENT;
	return false;
}

/* A retry that finds all other leafs busy waits for one, within the budget. */
static bool
queue_retry(tier_part_t *part, int64_t now_us)
{
	if (!take_budget(part, now_us))
		return false;
	part_queue(part, part->request->rank);
	return true;
}

/* The part's attempt failed: another leaf, or the end of the part. */
static part_result_t
retry_part(tier_part_t *part, int64_t now_us, const leaf_answer_t *answer)
{
	tier_request_t *request = part->request;
	bool ran = has_run(answer->outcome);
	bool is_crowded = answer->outcome == OUTCOME_CONNECTION_LIMIT;

	part->may_have_run = part->may_have_run || ran;
	if (!ran || is_crowded)
		part->sent_count--; /* it does not count as an attempt */
	update_run(request);
	if (part->in_flight_count > 0)
		return PART_RESULT_PENDING; /* the other may still answer */
	if (request->route->is_idempotent || !ran) {
		if (is_free_retry(answer->outcome)) {
			/* Not an attempt; one that was reset may have arrived,
			 * so the next one is an extra request. */
			if ((!is_crowded || take_budget(part, now_us)) &&
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
	if (!request->route->is_gather &&
	    answer->outcome == OUTCOME_LEAF_FAILED)
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

/* The last attempt at a leaf that is gone frees the leaf too. */
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
 * Ends an attempt. What it means for the request is the caller's to decide; the
 * attempt is freed, and perhaps its leaf.
 */
part_result_t
part_handle_answer(tier_t *tier, int64_t now_us, tier_attempt_t *attempt,
    const leaf_answer_t *reported)
{
	tier_part_t *part = attempt->part;
	leaf_answer_t answer = *reported;
	bool is_final =
	    reported->outcome == OUTCOME_LEAF_FAILED && reported->status < 500;
	part_result_t result = PART_RESULT_PENDING;

	answer.outcome = get_outcome(attempt, now_us, reported->outcome);
	detach_attempt(tier, attempt);
	note_outcome(tier, attempt, now_us, &answer);
	if (part != NULL)
		part->in_flight_count--;
	if (part != NULL && part->state == PART_SENT) {
		if (answer.outcome == OUTCOME_ANSWERED) {
			part->state = PART_DONE;
			result = PART_RESULT_DONE;
		} else if (is_final && !part->request->route->is_gather)
			result = PART_RESULT_FORWARD;
		else
			result = retry_part(part, now_us, &answer);
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

/* The next waiting part: urgent first, but lower ranks keep a share. */
tier_part_t *
part_get_next_waiting(const tier_service_t *service)
{
	tier_part_t *first = part_get_most_urgent(service);

	if (first == NULL ||
	    service->dispatch_count % LOWER_TURN != LOWER_TURN - 1)
		return first;
	for (int i = first->queue_rank + 1; i < TIER_RANKS; i++)
		if (!TAILQ_EMPTY(&service->queues[i]))
			return TAILQ_FIRST(&service->queues[i]);
	return first;
}
