/**
 * @file tier.c
 * The requests of one traffic thread, from arrival to answer.
 *
 * A request has one part for each shard that it needs. A part is sent to one
 * leaf, and to others if that leaf is overdue or fails. The request ends when
 * all parts have answered, when a partial answer in time is worth more than a
 * late whole one, or when it can no longer succeed.
 */
#include <stdio.h>
#include <string.h>

#include "tier_private.h"

#define CALLER_RTT_US	       2000   /* assumed where it is not measured */
#define LATE_ANSWER_OBJECTIVES 2      /* time limit of a late whole answer */
#define SWEEP_INTERVAL_US      50000  /* between scans for overdue attempts */
#define RETRY_AFTER_US	       300000 /* without a configuration */
#define NEVER_US	       (INT64_MAX / 2)
#define SPREAD_MARGIN	       1.6   /* of the mean: covers most requests */
#define HEDGE_REVIEW_US	       15000 /* between updates of hedge times */
#define LATE_CHECK_US	       5000
#define LATE_CHECK_RETRY_US    1000
#define STARTUP_US	       10000000 /* leaves close dead connections by then */
/* Of the time in which nearly all answers come; see is_cut_by_stop(). */
#define STOP_FACTOR	 1.0
#define STOP_FACTOR_ONCE 6.0 /* a request that must not run twice */

static void
destroy_route_state(gpointer data)
{
	route_state_t *state = data;

	g_free(state->credits);
	g_free(state);
}

tier_t *
tier_create(const tier_options_t *options, const tier_callbacks_t *callbacks)
{
	tier_t *tier = g_new0(tier_t, 1);

	tier->options = *options;
	tier->callbacks = *callbacks;
	tier->random = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(tier->random, (unsigned long)options->seed);
	tier->vm_count = MAX(options->initial_vm_count, 1);
	tier->services = g_hash_table_new(g_str_hash, g_str_equal);
	tier->leaves = g_hash_table_new(g_str_hash, g_str_equal);
	tier->routes = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, destroy_route_state);
	tier->notices = leaf_notices_create();
	tier->rtts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	tier->limits = (caller_limits_t){ .max_header_bytes = 16384,
		.max_body_bytes = 262144,
		.read_timeout_us = 3000000,
		.idle_timeout_us = 15000000 };
	tier->is_starting_up = true;
	tier->least_connections = 1;
	TAILQ_INIT(&tier->requests);
	TAILQ_INIT(&tier->ended);
	TAILQ_INIT(&tier->attempts);
	TAILQ_INIT(&tier->warming);
	return tier;
}

void
tier_destroy(tier_t *tier)
{
	tier_attempt_t *attempt, *next;
	GHashTableIter iter;
	gpointer value;

	while (!TAILQ_EMPTY(&tier->requests))
		tier_end_request(TAILQ_FIRST(&tier->requests));
	tier_free_ended(tier);
	for (attempt = TAILQ_FIRST(&tier->attempts); attempt != NULL;
	     attempt = next) {
		next = TAILQ_NEXT(attempt, in_flight);
		g_free(attempt);
	}
	g_hash_table_iter_init(&iter, tier->leaves);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_free(value);
	g_hash_table_iter_init(&iter, tier->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_free(value);
	g_hash_table_unref(tier->leaves);
	g_hash_table_unref(tier->services);
	g_hash_table_unref(tier->routes);
	g_hash_table_unref(tier->rtts);
	leaf_notices_destroy(tier->notices);
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

void
tier_set_stopping(tier_t *tier, int64_t until_us)
{
	tier_request_t *request;

	tier->stop_deadline_us = until_us;
	TAILQ_FOREACH (request, &tier->requests, in_tier) {
		request->deadline_us = MIN(request->deadline_us, until_us);
		request->next_check_us = MIN(request->next_check_us, until_us);
	}
	tier->next_check_us = 0;
}

static route_state_t *
find_route_state(tier_t *tier, const route_t *route)
{
	route_state_t *state = g_hash_table_lookup(tier->routes, route->name);

	if (state == NULL) {
		state = g_new0(route_state_t, 1);
		route_stats_init(&state->stats);
		g_hash_table_insert(tier->routes, g_strdup(route->name), state);
	}
	if (state->credit_count != route->target_count) {
		g_free(state->credits);
		state->credits = g_new0(int64_t, (gsize)route->target_count);
		state->credit_count = route->target_count;
	}
	return state;
}

/* Smooth weighted round robin: keeps the shares over short spans too. */
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
 * Most callers of a route start with the same timeout, found by majority vote.
 * A caller that sends less has spent the difference on earlier attempts.
 */
static int64_t
get_spent_us(route_state_t *state, int64_t caller_timeout_us)
{
	route_stats_t *route_stats = &state->stats;
	int64_t spent_us;

	if (caller_timeout_us == route_stats->caller_timeout_us)
		state->caller_timeout_votes =
		    MIN(state->caller_timeout_votes + 1, 50);
	else if (state->caller_timeout_votes > 0)
		state->caller_timeout_votes--;
	else
		route_stats->caller_timeout_us = caller_timeout_us;
	spent_us = route_stats->caller_timeout_us - caller_timeout_us;
	return spent_us > 0 && state->caller_timeout_votes > 2 ? spent_us : 0;
}

/* Network delay of the request, the answer and a new connection's set-up. */
static int64_t
get_network_delay_us(const tier_request_info_t *info)
{
	int64_t rtt_us = info->rtt_us > 0 ? info->rtt_us : CALLER_RTT_US;

	return info->is_on_new_connection ? 2 * rtt_us : rtt_us;
}

static void
set_times(tier_request_t *request)
{
	const route_t *route = request->route;
	int64_t arrived_us = request->info.arrived_us;
	int64_t caller_timeout_us = request->info.caller_timeout_us;
	int64_t spent_us = 0;
	int64_t objective_us = route->latency_objective_us;

	request->deadline_us = arrived_us + route->timeout_us;
	if (caller_timeout_us > 0) {
		spent_us = get_spent_us(request->state, caller_timeout_us);
		request->deadline_us = MIN(request->deadline_us,
		    arrived_us + MAX(caller_timeout_us - RETURN_MARGIN_US,
				     caller_timeout_us / 2));
	}
	request->time_limit_us = request->deadline_us - arrived_us;
	if (request->tier->stop_deadline_us > 0)
		request->deadline_us =
		    MIN(request->deadline_us, request->tier->stop_deadline_us);
	request->answer_by_us = arrived_us + objective_us - spent_us -
				RETURN_MARGIN_US -
				get_network_delay_us(&request->info);
	/* A retry past the objective gets a full objective again. */
	if (request->answer_by_us <= arrived_us)
		request->answer_by_us += spent_us;
	request->late_limit_us =
	    arrived_us + LATE_ANSWER_OBJECTIVES * objective_us;
	request->next_check_us = request->deadline_us;
	if (route->is_gather && request->answer_by_us > arrived_us)
		request->next_check_us =
		    MIN(request->next_check_us, request->answer_by_us);
	else
		request->answer_by_us = NEVER_US; /* already late */
	if (route->is_gather)
		request->next_check_us = MIN(request->next_check_us,
		    MIN(request->late_limit_us, arrived_us + HEDGE_REVIEW_US));
}

static tier_request_t *
create_request(tier_t *tier, int64_t now_us, const route_t *route,
    const tier_request_info_t *info, void *caller)
{
	tier_request_t *request = g_new0(tier_request_t, 1);
	int chosen = 0;

	request->tier = tier;
	request->route = route;
	request->table = route_table_acquire(tier->table);
	request->state = find_route_state(tier, route);
	request->info = *info;
	log_copy_plain(request->log_id, sizeof(request->log_id), info->id);
	request->caller = caller;
	request->rank = CLAMP(route->rank, 0, TIER_RANKS - 1);
	request->part_count = route->is_gather ? route->target_count : 1;
	request->parts = g_new0(tier_part_t, (gsize)request->part_count);
	if (route->is_gather) {
		request->gather = gather_create(route->max_records);
		request->stamps = g_ptr_array_new_with_free_func(g_free);
	} else
		chosen = choose_target(request->state, route);
	for (int i = 0; i < request->part_count; i++) {
		const char *name = route->targets[chosen + i].service;

		request->parts[i].request = request;
		request->parts[i].service = tier_find_service(tier, name);
		request->parts[i].hedge_at_us = INT64_MAX;
		budget_record_original(
		    &request->parts[i].service->budget, now_us);
	}
	set_times(request);
	TAILQ_INSERT_TAIL(&tier->requests, request, in_tier);
	tier->request_count++;
	tier->next_check_us = MIN(tier->next_check_us, request->next_check_us);
	return request;
}

/** Estimated delays of a request if it is admitted now. */
typedef struct admission_outlook {
	int64_t left_us;      /* time until the request is late */
	int64_t max_wait_us;  /* longest queueing time of a part in this VM */
	int late_count;	      /* parts whose expected latency is too long */
	int unservable_count; /* parts of which no leaf may be asked now */
	double queue_us;      /* mean queueing time, here and at the leaf */
	double idle_us;	      /* mean latency without queueing */
} admission_outlook_t;

static void
log_refusal(const tier_request_t *request, const admission_outlook_t *outlook)
{
	char text[320];

	snprintf(text, sizeof(text),
	    "\"id\":\"%s\",\"route\":\"%s\",\"parts\":%d,"
	    "\"parts_without_leaf\":%d,\"late_parts\":%d,"
	    "\"wait_us\":%" G_GINT64_FORMAT ",\"queue_us\":%.0f,"
	    "\"idle_us\":%.0f,\"left_us\":%" G_GINT64_FORMAT,
	    request->log_id, request->route->name, request->part_count,
	    outlook->unservable_count, outlook->late_count,
	    outlook->max_wait_us, outlook->queue_us, outlook->idle_us,
	    outlook->left_us);
	request->tier->callbacks.log(
	    request->tier->callbacks.context, LOG_TIER_REFUSED, text);
}

static admission_outlook_t
get_outlook(const tier_request_t *request, int64_t now_us)
{
	admission_outlook_t outlook = { .left_us = MIN(request->answer_by_us,
						       request->deadline_us) -
						   now_us };

	for (int i = 0; i < request->part_count; i++) {
		const tier_service_t *service = request->parts[i].service;
		int64_t wait_us =
		    leaf_picker_get_wait_us(service, request->rank, now_us);
		double queue_us;

		if (wait_us < 0) {
			outlook.unservable_count++;
			wait_us = 0;
		}
		queue_us =
		    (double)wait_us +
		    MAX(service->mean_latency_us - service->idle_latency_us, 0);

		if (wait_us + (int64_t)service->mean_latency_us >
		    outlook.left_us)
			outlook.late_count++;
		outlook.max_wait_us = MAX(outlook.max_wait_us, wait_us);
		/* Cap it: a failing shard must not dominate the mean. */
		outlook.queue_us += MIN(queue_us, (double)outlook.left_us);
		outlook.idle_us += service->idle_latency_us;
	}
	outlook.queue_us /= request->part_count;
	outlook.idle_us /= request->part_count;
	return outlook;
}

/*
 * Expected time until `needed` of `count` waits end, in multiples of the mean
 * wait. Queueing times are nearly exponential, which gives a difference of
 * harmonic numbers.
 */
static double
get_spread(int count, int needed)
{
	double spread = 0;

	for (int i = count - needed + 1; i <= count; i++)
		spread += 1.0 / i;
	return spread;
}

/*
 * Whether the slowest part that the answer needs would probably be late. The
 * most urgent rank is exempt: refusing lower ranks leaves it capacity.
 */
static bool
is_slowest_part_late(const tier_request_t *request,
    const admission_outlook_t *outlook, int spare)
{
	int count = request->part_count;

	if (!request->route->is_gather || request->rank == 0 ||
	    request->answer_by_us >= NEVER_US)
		return false;
	return outlook->idle_us + SPREAD_MARGIN *
				      get_spread(count, count - spare) *
				      outlook->queue_us >
	       (double)outlook->left_us;
}

static void
refuse(tier_request_t *request, int64_t now_us, int64_t retry_us,
    const char *reason)
{
	metric_add(METRIC_TIER_REFUSED, 1);
	tier_log_end(request, now_us, "refused");
	tier_answer_status(request->tier, request->caller, 503,
	    MAX(retry_us, RETRY_AFTER_MIN_US), reason);
	tier_end_request(request);
}

/*
 * Refuses a request that cannot be answered, since too many parts have no leaf
 * that may be asked, or only late: too many parts would be late on average, or
 * the slowest needed part would. Nothing has been sent.
 */
static bool
admit_request(tier_request_t *request, int64_t now_us)
{
	admission_outlook_t outlook = get_outlook(request, now_us);
	int spare = request->part_count - tier_get_needed_parts(request);

	if (outlook.unservable_count > spare) {
		log_refusal(request, &outlook);
		refuse(request, now_us,
		    tier_get_retry_after_us(request, now_us),
		    "no leaf can run this now");
		return false;
	}
	if ((outlook.late_count <= spare || outlook.max_wait_us == 0) &&
	    !is_slowest_part_late(request, &outlook, spare))
		return true;
	log_refusal(request, &outlook);
	refuse(request, now_us,
	    MAX(outlook.max_wait_us, (int64_t)outlook.queue_us),
	    "the queues are too long");
	return false;
}

/*
 * Whether the planned stop of this VM may end the request before its answer.
 * Another VM can serve it whole; an order that is cut has an unknown outcome.
 */
static bool
is_cut_by_stop(const tier_request_t *request, int64_t now_us)
{
	const tier_t *tier = request->tier;
	const route_stats_t *stats = &request->state->stats;
	int64_t left_us = tier->stop_deadline_us - now_us;
	double usual_us = stats->mean_work_us * stats->tail_factor;

	if (tier->stop_deadline_us == 0 || left_us > request->time_limit_us)
		return false;
	if (request->route->is_idempotent)
		return (double)left_us < STOP_FACTOR * usual_us;
	return stats->sample_count == 0 ||
	       (double)left_us < STOP_FACTOR_ONCE * usual_us;
}

tier_request_t *
tier_begin(
    tier_t *tier, int64_t now_us, const tier_request_info_t *info, void *caller)
{
	const route_t *route;
	tier_request_t *request;

	tier_free_ended(tier);
	metric_add(METRIC_TIER_REQUESTS, 1);
	if (tier->table == NULL) {
		tier_answer_status(tier, caller, 503, RETRY_AFTER_US,
		    "no configuration is known yet");
		return NULL;
	}
	route = route_table_match(tier->table, info->host, info->target);
	if (route == NULL) {
		tier_answer_status(tier, caller, 404, 0, "no route matches");
		return NULL;
	}
	request = create_request(tier, now_us, route, info, caller);
	if (is_cut_by_stop(request, now_us)) {
		refuse(request, now_us, RETRY_AFTER_MIN_US, "this VM stops");
		return NULL;
	}
	if (!admit_request(request, now_us))
		return NULL;
	/* Parts that fail at once must not end the request in this loop. */
	for (int i = 0; i < request->part_count; i++)
		part_start(&request->parts[i], now_us, false);
	if (request->failed_count > 0)
		tier_finish_if_settled(request, now_us);
	return request->is_ended ? NULL : request;
}

void
tier_handle_disconnect(tier_t *tier, int64_t now_us, tier_request_t *request)
{
	tier_attempt_t *attempt;

	tier_log_end(request, now_us, "caller gone");
	TAILQ_FOREACH (attempt, &tier->attempts, in_flight) {
		if (attempt->part == NULL || attempt->part->request != request)
			continue;
		attempt->close_at_us = request->route->is_gather
					   ? now_us + ABANDONED_TIMEOUT_US
					   : now_us;
	}
	tier->next_sweep_us = 0;
	tier_end_request(request);
}

static void
complete_part(
    tier_request_t *request, int64_t now_us, const leaf_answer_t *answer)
{
	request->done_count++;
	if (!request->route->is_gather) {
		tier_finish_forward(request, now_us, answer);
		return;
	}
	gather_add(request->gather, answer->body, answer->body_length);
	g_ptr_array_add(request->stamps, g_strdup(answer->stamp));
	tier_finish_if_settled(request, now_us);
}

/*
 * Sends the parts that are queued for this service. If a lower rank has its
 * turn but no free connection, the turn passes to the most urgent rank.
 */
static void
dispatch(tier_service_t *service, int64_t now_us)
{
	while (service->queued_count > 0) {
		tier_part_t *part = part_get_next_queued(service);
		bool is_lower_turn = part != part_get_most_urgent(service);

		part_start(part, now_us, part->tried.count > 0);
		if (part->state == PART_QUEUED && !is_lower_turn)
			return;
		service->dispatch_count++;
		if (part->state == PART_FAILED)
			tier_finish_if_settled(part->request, now_us);
	}
}

static void
apply_part_result(tier_request_t *request, int64_t now_us, part_result_t result,
    const leaf_answer_t *answer)
{
	switch (result) {
	case PART_RESULT_DONE:
		complete_part(request, now_us, answer);
		break;
	case PART_RESULT_FORWARD:
		tier_finish_forward(request, now_us, answer);
		break;
	case PART_RESULT_FAILED:
		tier_finish_if_settled(request, now_us);
		break;
	case PART_RESULT_PENDING:
		break;
	}
}

void
tier_handle_answer(tier_t *tier, int64_t now_us, tier_attempt_t *attempt,
    const leaf_answer_t *answer)
{
	tier_service_t *service = attempt->leaf->service;
	tier_request_t *request =
	    attempt->part != NULL ? attempt->part->request : NULL;
	part_result_t result =
	    part_handle_answer(tier, now_us, attempt, answer);

	if (request != NULL)
		apply_part_result(request, now_us, result, answer);
	dispatch(service, now_us);
}

/*
 * The answer may still follow, as fast as usual: a connection is not held for
 * longer than that.
 */
void
tier_handle_doubt(tier_t *tier, int64_t now_us, tier_attempt_t *attempt)
{
	int64_t usual_us = leaf_stats_get_overdue_us(attempt->route_stats,
	    &attempt->leaf->stats, *attempt->leaf->rtt_us);

	attempt->close_at_us = MIN(attempt->close_at_us, now_us + usual_us);
	tier->next_sweep_us = MIN(tier->next_sweep_us, attempt->close_at_us);
}

/* Moves late parts behind those that can still be in time. */
static void
demote_request(tier_request_t *request)
{
	for (int i = 0; i < request->part_count; i++) {
		tier_part_t *part = &request->parts[i];

		if (!part->is_queued || part->queue_rank == TIER_RANKS - 1)
			continue;
		part_unqueue(part);
		part_queue(part, TIER_RANKS - 1);
	}
}

/*
 * Hedges the parts that are due. A check that comes late shows that this
 * process was busy: answers may wait to be read, therefore it reads them first.
 */
static void
hedge_parts(tier_request_t *request, int64_t now_us, bool is_late)
{
	if (is_late) {
		request->next_check_us =
		    MIN(request->next_check_us, now_us + LATE_CHECK_RETRY_US);
		return;
	}
	for (int i = 0; i < request->part_count; i++) {
		tier_part_t *part = &request->parts[i];

		if (part->state != PART_SENT)
			continue;
		/* Answers of other parts have told more of the leaves. */
		if (!part->is_hedge_fixed && !part_is_loaded(part))
			part_update_hedge_time(part);
		if (part->hedge_at_us <= now_us)
			part_hedge(part, now_us);
		request->next_check_us =
		    MIN(request->next_check_us, part->hedge_at_us);
	}
	if (request->next_check_us > now_us + HEDGE_REVIEW_US &&
	    request->route->is_gather && request->answer_by_us < NEVER_US)
		request->next_check_us = now_us + HEDGE_REVIEW_US;
}

static void
check_request(tier_request_t *request, int64_t now_us)
{
	bool is_late = now_us - request->next_check_us > LATE_CHECK_US;

	if (now_us >= request->deadline_us) {
		if (request->route->is_gather && tier_has_enough_parts(request))
			tier_finish_gather(request, now_us);
		else
			tier_finish_unserved(request, now_us, true);
		return;
	}
	if (request->route->is_gather && tier_has_enough_parts(request) &&
	    ((now_us >= request->answer_by_us &&
		 now_us < request->answer_by_us + RETURN_MARGIN_US) ||
		now_us >= request->late_limit_us)) {
		tier_finish_gather(request, now_us);
		return;
	}
	if (now_us >= request->answer_by_us)
		demote_request(request);
	request->next_check_us = request->deadline_us;
	if (request->route->is_gather && request->answer_by_us > now_us)
		request->next_check_us =
		    MIN(request->next_check_us, request->answer_by_us);
	if (request->route->is_gather && request->late_limit_us > now_us)
		request->next_check_us =
		    MIN(request->next_check_us, request->late_limit_us);
	hedge_parts(request, now_us, is_late);
}

/* Closes attempts whose close time has passed without an answer. */
static void
sweep_attempts(tier_t *tier, int64_t now_us)
{
	tier_attempt_t *attempt, *next;
	const leaf_answer_t timed_out = { .outcome = OUTCOME_TIMED_OUT };

	tier->next_sweep_us = now_us + SWEEP_INTERVAL_US;
	for (attempt = TAILQ_FIRST(&tier->attempts); attempt != NULL;
	     attempt = next) {
		next = TAILQ_NEXT(attempt, in_flight);
		if (attempt->close_at_us > now_us)
			continue;
		tier->callbacks.cancel(tier->callbacks.context, attempt);
		if (now_us - attempt->sent_us <
		    leaf_stats_get_overdue_us(attempt->route_stats,
			&attempt->leaf->stats, *attempt->leaf->rtt_us)) {
			/* Closed early: no evidence about the leaf. */
			part_drop_attempt(tier, attempt);
			continue;
		}
		tier_handle_answer(tier, now_us, attempt, &timed_out);
		next = TAILQ_FIRST(&tier->attempts); /* the list has changed */
	}
}

int64_t
tier_tick(tier_t *tier, int64_t now_us)
{
	tier_request_t *request, *next;
	int64_t due_us = INT64_MAX;

	tier_free_ended(tier);
	if (tier->started_us == 0)
		tier->started_us = now_us;
	if (tier->is_starting_up && now_us - tier->started_us > STARTUP_US) {
		tier->is_starting_up = false;
		tier_update_connection_limits(tier);
	}
	if (now_us >= tier->next_sweep_us) {
		GHashTableIter iter;
		gpointer service;

		sweep_attempts(tier, now_us);
		g_hash_table_iter_init(&iter, tier->services);
		while (tier->queued_part_count > 0 &&
		       g_hash_table_iter_next(&iter, NULL, &service))
			dispatch(service, now_us);
	}
	if (now_us >= tier->next_check_us) {
		for (request = TAILQ_FIRST(&tier->requests); request != NULL;
		     request = next) {
			next = TAILQ_NEXT(request, in_tier);
			if (request->next_check_us <= now_us)
				check_request(request, now_us);
		}
		TAILQ_FOREACH (request, &tier->requests, in_tier)
			due_us = MIN(due_us, request->next_check_us);
		tier->next_check_us = due_us;
	}
	due_us = MIN(tier->next_check_us, warming_tick(tier, now_us));
	if (!TAILQ_EMPTY(&tier->attempts) || tier->queued_part_count > 0)
		return MIN(due_us, tier->next_sweep_us);
	return due_us;
}
