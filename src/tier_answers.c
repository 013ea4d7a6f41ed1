/**
 * @file tier_answers.c
 * Ends requests: sends the answer when it is final, and logs it.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tier_private.h"

#define MAX_MISSING_LOG_LINES  3      /* of one request */
#define SUCCESSES_PER_LOG_LINE 100    /* sampling */
#define RETRY_AFTER_US	       300000 /* used if no leaf is known */
#define RETRY_SPREAD	       0.5    /* of Retry-After, at random on top */
#define RETRY_SPREAD_MAX_US    500000

/* Logs the end of a request; normal successes at a lower level or sampled. */
void
tier_log_end(tier_request_t *request, int64_t now_us, const char *outcome)
{
	tier_t *tier = request->tier;
	int64_t took_us = now_us - request->info.arrived_us;
	bool is_normal_success =
	    request->extra_count == 0 && request->failed_count == 0 &&
	    request->done_count == request->part_count &&
	    took_us <= request->route->latency_objective_us;
	log_event_t event =
	    is_normal_success ? LOG_TIER_SERVED : LOG_TIER_SERVED_OTHERWISE;
	bool is_sample =
	    is_normal_success &&
	    ++tier->normal_success_count % SUCCESSES_PER_LOG_LINE == 0;
	char text[512];

	metric_observe(
	    HISTOGRAM_TIER_REQUEST_RANK_0 + (metric_histogram_t)request->rank,
	    took_us);
	if (is_sample)
		event = LOG_TIER_SERVED_SAMPLE;
	if (!log_is_enabled(event))
		return;
	snprintf(text, sizeof(text),
	    "\"id\":\"%s\",\"route\":\"%s\",\"version\":%" G_GUINT64_FORMAT
	    ",\"epoch\":%" G_GINT64_FORMAT
	    ",\"outcome\":\"%s\",\"took_us\":%" G_GINT64_FORMAT
	    ",\"patience_us\":%" G_GINT64_FORMAT
	    ",\"caller_rtt_us\":%" G_GINT64_FORMAT
	    ",\"parts\":%d,\"done\":%d,\"failed\":%d,\"extra\":%d",
	    request->log_id, request->route->name, request->table->version,
	    request->table->epoch, outcome, took_us,
	    request->info.caller_timeout_us, request->info.rtt_us,
	    request->part_count, request->done_count, request->failed_count,
	    request->extra_count);
	tier->callbacks.log(tier->callbacks.context, event, text);
}

void
tier_answer_status(tier_t *tier, void *caller, int status,
    int64_t retry_after_us, const char *reason)
{
	tier_answer_t answer = { .type = ANSWER_STATUS,
		.status = status,
		.retry_after_us = retry_after_us,
		.reason = reason };

	tier->callbacks.answer(tier->callbacks.context, caller, &answer);
}

static double
get_done_fraction(const tier_request_t *request)
{
	return (double)request->done_count / request->part_count;
}

bool
tier_has_enough_parts(const tier_request_t *request)
{
	return request->done_count > 0 &&
	       get_done_fraction(request) >= request->route->min_coverage;
}

static void
log_part(const tier_part_t *part, int64_t now_us)
{
	static const char *const states[] = { "waiting", "sent", "done",
		"failed" };
	const tier_request_t *request = part->request;
	const tier_attempt_t *open = part_find_attempt(request->tier, part);
	char text[384];

	snprintf(text, sizeof(text),
	    "\"id\":\"%s\",\"service\":\"%s\",\"state\":\"%s\",\"tried\":%d,"
	    "\"leaf\":\"%s\",\"queue\":%d,\"after_us\":%" G_GINT64_FORMAT,
	    request->log_id, part->service->name, states[part->state],
	    part->tried.count, open != NULL ? open->leaf->entry.id : "",
	    part->service->queued_count, now_us - request->info.arrived_us);
	request->tier->callbacks.log(
	    request->tier->callbacks.context, LOG_TIER_MISSING, text);
}

/* Logs the first parts without an answer. */
static void
log_missing(const tier_request_t *request, int64_t now_us)
{
	int lines = 0;

	if (!log_is_enabled(LOG_TIER_MISSING))
		return;
	for (int i = 0; i < request->part_count; i++) {
		if (request->parts[i].state == PART_DONE)
			continue;
		if (++lines > MAX_MISSING_LOG_LINES)
			return;
		log_part(&request->parts[i], now_us);
	}
}

int
tier_get_needed_parts(const tier_request_t *request)
{
	double needed = request->route->min_coverage * request->part_count;

	return CLAMP((int)ceil(needed - 1e-9), 1, request->part_count);
}

/* Time until a leaf may take the part; 0 if it was sent or can be. */
static int64_t
get_part_wait_us(const tier_part_t *part, int rank, int64_t now_us)
{
	int64_t wait_us;

	if (part->state == PART_SENT || part->state == PART_DONE)
		return 0;
	wait_us = leaf_picker_get_wait_us(part->service, rank, now_us);
	if (wait_us < 0 || part->state == PART_FAILED)
		wait_us = leaf_picker_get_retry_us(part->service, now_us);
	/* No leaf is known: wait for a new directory. */
	return wait_us < 0 ? RETRY_AFTER_US : wait_us;
}

static int
compare_times(const void *left, const void *right)
{
	int64_t a = *(const int64_t *)left, b = *(const int64_t *)right;

	return (a > b) - (a < b);
}

/*
 * The parts that wait longest may be missing from the answer. Callers that are
 * refused one after the other must not all return at the same moment.
 */
int64_t
tier_get_retry_after_us(tier_request_t *request, int64_t now_us)
{
	int64_t *waits_us = g_new(int64_t, (gsize)request->part_count);
	int64_t wait_us, spread_us;

	for (int i = 0; i < request->part_count; i++)
		waits_us[i] =
		    get_part_wait_us(&request->parts[i], request->rank, now_us);
	qsort(waits_us, (size_t)request->part_count, sizeof(*waits_us),
	    compare_times);
	wait_us = waits_us[tier_get_needed_parts(request) - 1];
	g_free(waits_us);
	spread_us =
	    MIN((int64_t)(RETRY_SPREAD * (double)wait_us), RETRY_SPREAD_MAX_US);
	wait_us += (int64_t)(gsl_rng_uniform(request->tier->random) *
			     (double)spread_us);
	return MAX(wait_us, RETRY_AFTER_MIN_US);
}

/*
 * 503 guarantees that nothing has run; 502 and 504 guarantee nothing.
 */
void
tier_finish_unserved(tier_request_t *request, int64_t now_us, bool is_late)
{
	int status = request->may_have_run ? (is_late ? 504 : 502) : 503;

	log_missing(request, now_us);
	metric_add(status == 503 ? METRIC_TIER_REFUSED : METRIC_TIER_FAILED, 1);
	tier_log_end(request, now_us,
	    status == 503 ? "refused" : (is_late ? "late" : "failed"));
	tier_answer_status(request->tier, request->caller, status,
	    status == 503 ? tier_get_retry_after_us(request, now_us) : 0,
	    status == 503 ? "no leaf can run this now"
			  : "the leafs did not answer");
	tier_end_request(request);
}

void
tier_finish_gather(tier_request_t *request, int64_t now_us)
{
	tier_t *tier = request->tier;
	GString *records = g_string_sized_new(1024);
	tier_answer_t answer = { .type = ANSWER_GATHER,
		.status = 200,
		.stamps = request->stamps,
		.missing_count = request->part_count - request->done_count,
		.records = records };

	gather_finish(request->gather, records);
	metric_add(METRIC_TIER_SERVED, 1);
	if (answer.missing_count > 0) {
		metric_add(METRIC_TIER_PARTIAL, 1);
		log_missing(request, now_us);
	}
	tier_log_end(
	    request, now_us, answer.missing_count > 0 ? "partial" : "whole");
	tier->callbacks.answer(
	    tier->callbacks.context, request->caller, &answer);
	g_string_free(records, TRUE);
	tier_end_request(request);
}

void
tier_finish_forward(
    tier_request_t *request, int64_t now_us, const leaf_answer_t *leaf_answer)
{
	tier_t *tier = request->tier;
	tier_answer_t answer = { .type = ANSWER_LEAF,
		.status = leaf_answer->status,
		.leaf_message = leaf_answer->message };

	metric_add(leaf_answer->outcome == OUTCOME_ANSWERED
		       ? METRIC_TIER_SERVED
		       : METRIC_TIER_FAILED,
	    1);
	tier_log_end(request, now_us, outcome_get_name(leaf_answer->outcome));
	tier->callbacks.answer(
	    tier->callbacks.context, request->caller, &answer);
	tier_end_request(request);
}

/* Detaches open attempts; their answers are discarded. */
static void
abandon_attempts(tier_request_t *request)
{
	tier_attempt_t *attempt;

	TAILQ_FOREACH (attempt, &request->tier->attempts, in_flight) {
		if (attempt->part != NULL && attempt->part->request == request)
			attempt->part = NULL;
	}
}

void
tier_end_request(tier_request_t *request)
{
	tier_t *tier = request->tier;

	abandon_attempts(request);
	for (int i = 0; i < request->part_count; i++) {
		part_unqueue(&request->parts[i]);
	}
	TAILQ_REMOVE(&tier->requests, request, in_tier);
	TAILQ_INSERT_TAIL(&tier->ended, request, in_tier);
	tier->request_count--;
	request->is_ended = true;
}

/* Frees ended requests, which cannot be freed inside loops over them. */
void
tier_free_ended(tier_t *tier)
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
 * Ends the request if its answer is final: all parts have ended, or the open
 * parts cannot make it a success, or an answer is due now.
 */
static void
settle_gather(tier_request_t *request, int64_t now_us)
{
	int open =
	    request->part_count - request->done_count - request->failed_count;
	double best =
	    (double)(request->done_count + open) / request->part_count;

	if (open == 0 && tier_has_enough_parts(request))
		tier_finish_gather(request, now_us);
	else if (open == 0 || best < request->route->min_coverage)
		tier_finish_unserved(request, now_us, false);
	else if (now_us >= request->answer_by_us &&
		 tier_has_enough_parts(request) &&
		 now_us <= request->answer_by_us + RETURN_MARGIN_US)
		tier_finish_gather(request, now_us);
}

void
tier_finish_if_settled(tier_request_t *request, int64_t now_us)
{
	if (request->is_ended)
		return;
	if (request->route->is_gather)
		settle_gather(request, now_us);
	else if (request->failed_count > 0)
		tier_finish_unserved(request, now_us, false);
}
