/**
 * @file core_actions.c
 * Functions shared by all layers of the core: actions, timers, log lines, ids
 * and messages. This file calls no other module of the core. Calls between the
 * modules go downward only: core, query and order, attempt, relay, estimate,
 * core_actions.
 */
#include <stdarg.h>
#include <string.h>

#include "core_private.h"

static int
compare_timers(gconstpointer left, gconstpointer right, gpointer context)
{
	const core_timer_t *one = left, *two = right;

	return one->due_us < two->due_us ? -1 : one->due_us > two->due_us;
}

action_t *
core_add_action(core_t *core, action_type_t type)
{
	action_t *action = g_new0(action_t, 1);

	action->type = type;
	g_queue_push_tail(&core->actions, action);
	return action;
}

void
core_set_timer(core_t *core, core_timer_t *timer, int64_t due_us,
    timer_fn_t callback, void *context)
{
	core_unset_timer(core, timer);
	timer->due_us = due_us;
	timer->callback = callback;
	timer->context = context;
	timer->position =
	    g_sequence_insert_sorted(core->timers, timer, compare_timers, NULL);
}

void
core_unset_timer(core_t *core, core_timer_t *timer)
{
	if (timer->position == NULL)
		return;
	g_sequence_remove(timer->position);
	timer->position = NULL;
}

void
core_log(core_t *core, log_event_t event, const char *format, ...)
{
	va_list arguments;
	char text[512];

	if (core->options.log == NULL || !log_is_enabled(event))
		return;
	va_start(arguments, format);
	vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	core->options.log(core->options.log_context, event, text);
}

void
core_report_violation(core_t *core, log_event_t event, const char *format, ...)
{
	va_list arguments;
	char text[512];

	va_start(arguments, format);
	vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	metric_add(METRIC_INVARIANT_VIOLATIONS, 1);
	if (core->options.log != NULL)
		core->options.log(core->options.log_context, event, text);
}

uint64_t
core_allocate_id(core_t *core)
{
	return core->next_id++;
}

double
core_draw_random(core_t *core)
{
	return gsl_rng_uniform(core->random);
}

void
core_answer_error(core_t *core, uint64_t caller, int http_status,
    int retry_after_s, const char *outcome, const char *reason,
    const char *detail)
{
	action_t *action = core_add_action(core, ACTION_ANSWER);

	action->caller = caller;
	action->http_status = http_status;
	action->retry_after_s = retry_after_s;
	action->body = g_strdup_printf(
	    "{\"outcome\":\"%s\",\"reason\":\"%s\",\"detail\":\"%s\"}\n",
	    outcome, reason, detail);
	action->body_length = strlen(action->body);
}

void
core_send_to_peer(core_t *core, const char *endpoint, GByteArray *bytes)
{
	action_t *action = core_add_action(core, ACTION_PEER_SEND);

	g_strlcpy(action->address, endpoint, sizeof(action->address));
	action->body_length = bytes->len;
	action->body = (char *)g_byte_array_free(bytes, FALSE);
}

peer_state_t *
core_get_peer_state(core_t *core, uint64_t key)
{
	peer_state_t *state = g_hash_table_lookup(core->peer_states, &key);

	if (state != NULL)
		return state;
	state = g_new0(peer_state_t, 1);
	state->key = key;
	g_hash_table_insert(core->peer_states, &state->key, state);
	return state;
}

void
core_deliver_result(core_t *core, const job_t *job, const wire_result_t *result)
{
	pending_result_t *pending;

	if (!job->is_local) {
		core_send_to_peer(
		    core, job->reply_to, wire_encode_result(result));
		return;
	}
	/* Handled after the current event, to avoid re-entering the caller's
	 * functions. */
	pending = g_new0(pending_result_t, 1);
	pending->result = *result;
	pending->body = g_strndup(result->body, result->body_length);
	pending->result.body = pending->body;
	g_queue_push_tail(&core->results, pending);
}
