/**
 * @file core.c
 * Deterministic core of one traffic thread: handles events that carry the
 * current time and queues actions. It has no sockets, clock or threads; its
 * random numbers come from the seed in its options.
 */
#include <stdio.h>
#include <string.h>

#include "core_private.h"

#define LATENCY_MIN_US	      100
#define LATENCY_MAX_US	      60000000
#define LATENCY_BUCKET_GROWTH 1.1

static void run_timers(core_t *core);
static void handle_peer_message(core_t *core, const event_t *event);
static void install_fleet(core_t *core, fleet_t *fleet);
static void handle_pending_results(core_t *core);

core_t *
core_create(const core_options_t *options)
{
	core_t *core = g_new0(core_t, 1);
	char name[NAME_BYTES + 16];

	core->options = *options;
	snprintf(
	    name, sizeof(name), "%s/%d", options->self_id, options->thread);
	core->self_key = hash_text(name);
	core->random = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(
	    core->random, (unsigned long)(options->seed ^ core->self_key));
	g_queue_init(&core->actions);
	g_queue_init(&core->results);
	core->timers = g_sequence_new(NULL);
	core->next_id = 1;
	for (rank_t rank = 0; rank < RANK_COUNT; rank++) {
		core->hedge_tokens[rank] = TOKEN_BUCKET_SIZE;
		core->retry_tokens[rank] = TOKEN_BUCKET_SIZE;
		core->rank_latency_us[rank] = histogram_create(
		    LATENCY_MIN_US, LATENCY_MAX_US, LATENCY_BUCKET_GROWTH);
	}
	TAILQ_INIT(&core->queries);
	TAILQ_INIT(&core->orders);
	core->attempts = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, attempt_free);
	core->leaf_states =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	core->index_states = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, estimate_destroy_index_state);
	core->peer_states =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	core->orders_by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	core->orders_by_attempt = g_hash_table_new(g_int64_hash, g_int64_equal);
	core->caller_shares =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	core->queues = g_hash_table_new(g_int64_hash, g_int64_equal);
	core->instances =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	core->jobs = g_hash_table_new(g_int64_hash, g_int64_equal);
	core->jobs_by_attempt = g_hash_table_new(g_int64_hash, g_int64_equal);
	core->sent_orders =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return core;
}

void
core_destroy(core_t *core)
{
	action_t action;

	handle_pending_results(core);
	query_destroy_all(core);
	order_destroy_all(core);
	relay_destroy_all(core);
	while (core_take_action(core, &action))
		action_clear(&action);
	g_sequence_free(core->timers);
	g_hash_table_destroy(core->attempts);
	g_hash_table_destroy(core->leaf_states);
	g_hash_table_destroy(core->index_states);
	g_hash_table_destroy(core->peer_states);
	g_hash_table_destroy(core->orders_by_id);
	g_hash_table_destroy(core->orders_by_attempt);
	g_hash_table_destroy(core->caller_shares);
	g_hash_table_destroy(core->queues);
	g_hash_table_destroy(core->instances);
	g_hash_table_destroy(core->jobs);
	g_hash_table_destroy(core->jobs_by_attempt);
	g_hash_table_destroy(core->sent_orders);
	fleet_release(core->fleet);
	for (rank_t rank = 0; rank < RANK_COUNT; rank++)
		histogram_destroy(core->rank_latency_us[rank]);
	gsl_rng_free(core->random);
	g_free(core);
}

void
core_handle(core_t *core, int64_t now_us, const event_t *event)
{
	core->now_us = MAX(core->now_us, now_us);
	run_timers(core);
	switch (event->type) {
	case EVENT_FLEET:
		install_fleet(core, event->fleet);
		break;
	case EVENT_SEARCH:
		query_handle_search(core, event);
		break;
	case EVENT_ORDER:
		order_handle_order(core, event);
		break;
	case EVENT_CALLER_DISCONNECTED:
		query_handle_disconnect(core, event->caller);
		break;
	case EVENT_LEAF_REPLY:
		relay_handle_leaf_reply(core, event);
		break;
	case EVENT_PEER:
		handle_peer_message(core, event);
		break;
	case EVENT_CLAIM:
		order_handle_claim(core, event);
		break;
	case EVENT_RECORDED:
		order_handle_recorded(core, event);
		break;
	case EVENT_TICK:
		break;
	}
	handle_pending_results(core);
}

bool
core_take_action(core_t *core, action_t *action)
{
	action_t *first = g_queue_pop_head(&core->actions);

	if (first == NULL)
		return false;
	*action = *first;
	g_free(first);
	return true;
}

void
action_clear(action_t *action)
{
	g_free(action->body);
	action->body = NULL;
}

void
core_note_pause(core_t *core, int64_t now_us)
{
	core->now_us = MAX(core->now_us, now_us);
	core->paused_us = core->now_us;
}

int64_t
core_get_next_timer(const core_t *core)
{
	GSequenceIter *first = g_sequence_get_begin_iter(core->timers);

	if (g_sequence_iter_is_end(first))
		return INT64_MAX;
	return ((const core_timer_t *)g_sequence_get(first))->due_us;
}

bool
core_is_idle(const core_t *core)
{
	return core->query_count == 0 && core->order_count == 0 &&
	       g_hash_table_size(core->jobs) == 0;
}

void
core_get_status(const core_t *core, core_status_t *status)
{
	GHashTableIter iterator;
	gpointer value;

	memset(status, 0, sizeof(*status));
	status->queries = core->query_count;
	status->orders = core->order_count;
	for (rank_t rank = 0; rank < RANK_COUNT; rank++) {
		status->ranks[rank] = core->rank_status[rank];
		status->ranks[rank].p50_us =
		    histogram_get_quantile(core->rank_latency_us[rank], 0.5);
		status->ranks[rank].p99_us =
		    histogram_get_quantile(core->rank_latency_us[rank], 0.99);
	}

	for (int i = 0; i < RANK_COUNT; i++) {
		status->hedge_tokens += core->hedge_tokens[i];
		status->retry_tokens += core->retry_tokens[i];
	}
	g_hash_table_iter_init(&iterator, core->queues);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const leaf_queue_t *queue = value;

		for (int i = 0; i < RANK_COUNT; i++)
			status->queued[i] += queue->queued[i];
		status->in_flight += queue->in_flight;
	}
	g_hash_table_iter_init(&iterator, core->leaf_states);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		status->ejected += ((const leaf_state_t *)value)->is_ejected;
	g_hash_table_iter_init(&iterator, core->instances);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		status->leaving +=
		    ((const instance_state_t *)value)->is_leaving;
}

char *
core_format_leaves(const core_t *core)
{
	GString *text = g_string_new("[");

	for (int i = 0; core->fleet != NULL && i < core->fleet->index_count;
	     i++) {
		const index_info_t *index = &core->fleet->indexes[i];

		for (int j = 0; j < index->instance_count; j++) {
			const instance_t *instance = &index->instances[j];

			for (int k = 0; k < instance->leaf_count; k++) {
				const leaf_state_t *state =
				    g_hash_table_lookup(core->leaf_states,
					&instance->leaves[k].key);
				const leaf_queue_t *queue = g_hash_table_lookup(
				    core->queues, &instance->leaves[k].key);

				if (state == NULL && queue == NULL)
					continue;
				g_string_append_printf(text,
				    "%s{\"leaf\":\"%s/"
				    "%d\",\"leaving\":%s,\"ejected\":%s,"
				    "\"service_us\":%.0f,\"limit\":%.1f,\"in_"
				    "flight\":%d,\"queued\":[%d,%d,%d]}",
				    text->len > 1 ? "," : "", instance->id, k,
				    instance->is_leaving ? "true" : "false",
				    state != NULL && state->is_ejected
					? "true"
					: "false",
				    state != NULL ? state->service_us : 0,
				    queue != NULL ? queue->limit : 0,
				    queue != NULL ? queue->in_flight : 0,
				    queue != NULL ? queue->queued[0] : 0,
				    queue != NULL ? queue->queued[1] : 0,
				    queue != NULL ? queue->queued[2] : 0);
			}
		}
	}
	g_string_append(text, "]");
	return g_string_free(text, FALSE);
}

static void
run_timers(core_t *core)
{
	while (core_get_next_timer(core) <= core->now_us) {
		core_timer_t *timer =
		    g_sequence_get(g_sequence_get_begin_iter(core->timers));

		core_unset_timer(core, timer);
		timer->callback(core, timer->context);
		handle_pending_results(core);
	}
}

static void
handle_result(core_t *core, const wire_result_t *result)
{
	if (!order_handle_result(core, result))
		query_handle_result(core, result);
}

static void
handle_peer_message(core_t *core, const event_t *event)
{
	wire_message_t message;
	error_info_t error;

	if (!wire_decode(&message, event->body, event->body_length, &error)) {
		metric_add(METRIC_PEER_REJECTED, 1);
		core_log(core, LOG_CONTROL_REJECTED,
		    "core: peer message dropped: %s: %s", error.step,
		    error.text);
		return;
	}
	switch (message.type) {
	case WIRE_RUN:
		relay_handle_run(core, &message.run, false);
		break;
	case WIRE_CANCEL:
		relay_handle_cancel(core, message.origin, message.attempts,
		    message.attempt_count);
		break;
	case WIRE_RESULT:
		handle_result(core, &message.result);
		break;
	case WIRE_ACCEPT: {
		peer_state_t *peer = core_get_peer_state(core, message.origin);

		peer->last_received_us = core->now_us;
		peer->is_unresponsive = false;
		for (int i = 0; i < message.wait_count; i++)
			estimate_record_wait(core, &message.waits[i]);
		break;
	}
	}
	wire_clear(&message);
}

static void
install_fleet(core_t *core, fleet_t *fleet)
{
	if (core->fleet != NULL &&
	    (fleet->generation < core->fleet->generation ||
		fleet->settings_version < core->fleet->settings_version)) {
		core_report_violation(core, LOG_INVARIANT_REVERT,
		    "core: refused a fleet older than the current one: "
		    "generation %" G_GUINT64_FORMAT
		    " with settings version %" G_GUINT64_FORMAT
		    ", current generation %" G_GUINT64_FORMAT
		    " with settings version %" G_GUINT64_FORMAT,
		    fleet->generation, fleet->settings_version,
		    core->fleet->generation, core->fleet->settings_version);
		return;
	}
	fleet_release(core->fleet);
	core->fleet = fleet_acquire(fleet);
	relay_handle_fleet(core);
	query_handle_fleet(core);
}

static void
handle_pending_results(core_t *core)
{
	pending_result_t *pending;

	while ((pending = g_queue_pop_head(&core->results)) != NULL) {
		handle_result(core, &pending->result);
		g_free(pending->body);
		g_free(pending);
	}
}
