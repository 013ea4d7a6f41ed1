/**
 * @file order.c
 * An order at its coordinator: claimed in the platform, sent once, recorded,
 * and answered done, not_run or unknown.
 *
 * Only the VM whose claim was granted may send the order, and only once. An
 * order is never hedged, retried or failed over to another VM.
 */
#include <jansson.h>
#include <string.h>

#include "core_private.h"

/* How long an answered order is kept for a pending claim or a late result. */
#define ANSWERED_ORDER_KEEP_US 10000000
/* Maximum delay of the caller's answer while the outcome is being recorded. */
#define RECORD_TIMEOUT_US 500000
#define RETRY_AFTER_S	  1

static order_t *create_order(
    core_t *core, const event_t *event, const index_info_t *index);
static void destroy_order(core_t *core, order_t *order);
static void send_order(core_t *core, order_t *order);
static void fail_order_not_run(
    core_t *core, order_t *order, const char *reason, bool is_claimed);
static void record_order(core_t *core, order_t *order, bool has_run,
    const char *body, size_t length);
static void answer_order(core_t *core, order_t *order, int http_status,
    const char *outcome, const char *reason, const char *answer, size_t length,
    bool is_repeated);
static void handle_timer(core_t *core, void *context);

void
order_handle_order(core_t *core, const event_t *event)
{
	const index_info_t *index =
	    core->fleet != NULL ? fleet_find_index(core->fleet, event->index)
				: NULL;
	action_t *action;
	order_t *order;

	metric_add(METRIC_ORDERS, 1);
	if (core->fleet == NULL || core->fleet->settings_version == 0) {
		core_answer_error(core, event->caller,
		    event->is_repeat ? 409 : 503, RETRY_AFTER_S,
		    event->is_repeat ? "unknown" : "not_run", "not_ready",
		    "this VM knows no settings yet");
		return;
	}
	if (index == NULL) {
		core_answer_error(core, event->caller, 404, 0, "rejected",
		    "unknown_index", "no index of that name is known");
		return;
	}
	order = create_order(core, event, index);
	core_set_timer(
	    core, &order->timer, order->deadline_us, handle_timer, order);
	action = core_add_action(core, ACTION_CLAIM);
	action->request = order->id;
	action->issued_us = order->issued_us;
	action->try_number = order->try_number;
	action->body_hash = hash_text(order->text);
	action->retention_us = order->retention_us;
	action->timeout_us = (order->deadline_us - core->now_us) / 2;
	g_strlcpy(action->key, order->key, sizeof(action->key));
}

void
order_handle_claim(core_t *core, const event_t *event)
{
	order_t *order =
	    g_hash_table_lookup(core->orders_by_id, &event->request);
	static const char *const claim_names[] = { "granted", "done", "unknown",
		"unavailable", "expired", "refused", "other_body" };

	if (order == NULL || order->state != ORDER_CLAIMING)
		return;
	core_log(core, LOG_ORDER_CLAIMED, "order %s: claim result: %s",
	    order->key, claim_names[event->claim]);
	if (order->is_answered && event->claim != CLAIM_GRANTED)
		return;
	switch (event->claim) {
	case CLAIM_GRANTED:
		/* The process may have been paused while the claim was pending;
		 * check the deadline again. */
		if (core->now_us >= order->deadline_us || order->is_answered)
			fail_order_not_run(core, order, "deadline", true);
		else
			send_order(core, order);
		break;
	case CLAIM_DONE:
		answer_order(core, order, 200, "done", "", event->body,
		    event->body_length, true);
		break;
	case CLAIM_UNKNOWN:
		answer_order(core, order, 409, "unknown", "claimed_before",
		    NULL, 0, true);
		break;
	case CLAIM_UNAVAILABLE:
		fail_order_not_run(core, order, "platform_unavailable", false);
		break;
	case CLAIM_REFUSED:
		answer_order(core, order, 503, "not_run", "refused_before",
		    NULL, 0, true);
		break;
	case CLAIM_OTHER_BODY:
		/* The key belongs to another order; nothing was sent for this
		 * one. */
		answer_order(core, order, 422, "not_run", "other_order_by_key",
		    NULL, 0, true);
		break;
	case CLAIM_EXPIRED:
		answer_order(core, order, 410, "unknown", "issued_too_long_ago",
		    NULL, 0, false);
		break;
	}
}

void
order_handle_recorded(core_t *core, const event_t *event)
{
	order_t *order =
	    g_hash_table_lookup(core->orders_by_id, &event->request);

	if (order != NULL && order->state == ORDER_RECORDING &&
	    !order->is_answered)
		answer_order(core, order, 200, "done", "", order->answer,
		    strlen(order->answer), false);
}

/* True if the result belongs to an order. */
bool
order_handle_result(core_t *core, const wire_result_t *result)
{
	order_t *order =
	    g_hash_table_lookup(core->orders_by_attempt, &result->attempt);

	if (order == NULL)
		return false;
	g_hash_table_remove(core->orders_by_attempt, &result->attempt);
	if (result->status == RUN_OK) {
		order->answer = g_strndup(result->body, result->body_length);
		record_order(
		    core, order, true, order->answer, result->body_length);
		order->state = ORDER_RECORDING;
		if (!order->is_answered)
			core_set_timer(core, &order->timer,
			    MIN(order->deadline_us,
				core->now_us + RECORD_TIMEOUT_US),
			    handle_timer, order);
	} else if (result->status == RUN_NOT_RUN && !order->is_answered) {
		fail_order_not_run(
		    core, order, result->is_leaving ? "leaving" : "shed", true);
	} else if (!order->is_answered) {
		answer_order(core, order, 409, "unknown",
		    "no_answer_from_upstream", NULL, 0, false);
	}
	return true;
}

void
order_destroy_all(core_t *core)
{
	while (!TAILQ_EMPTY(&core->orders))
		destroy_order(core, TAILQ_FIRST(&core->orders));
}

static order_t *
create_order(core_t *core, const event_t *event, const index_info_t *index)
{
	order_t *order = g_new0(order_t, 1);
	const settings_values_t *values;
	int64_t timeout_us;

	order->id = core_allocate_id(core);
	order->caller = event->caller;
	order->rank = event->rank >= 0 ? (rank_t)event->rank : RANK_STANDARD;
	order->issued_us = event->issued_us;
	order->is_repeat = event->is_repeat;
	order->try_number = event->try_number;
	order->started_us = core->now_us;
	order->text = g_strndup(event->text, event->text_length);
	order->text_length = event->text_length;
	g_strlcpy(order->key, event->idempotency_key, sizeof(order->key));
	g_strlcpy(order->index, index->name, sizeof(order->index));
	values = &index->values[order->rank];
	order->retention_us = values->value[SETTING_RETENTION_US];
	timeout_us = values->value[SETTING_DEADLINE_US];
	if (event->deadline_us > 0 && event->deadline_us < timeout_us)
		timeout_us = event->deadline_us;
	order->deadline_us = core->now_us + timeout_us - RETURN_TO_CALLER_US;
	TAILQ_INSERT_TAIL(&core->orders, order, link);
	g_hash_table_insert(core->orders_by_id, &order->id, order);
	core->order_count++;
	return order;
}

static void
destroy_order(core_t *core, order_t *order)
{
	core_unset_timer(core, &order->timer);
	if (order->attempt != 0)
		g_hash_table_remove(core->orders_by_attempt, &order->attempt);
	g_hash_table_remove(core->orders_by_id, &order->id);
	TAILQ_REMOVE(&core->orders, order, link);
	g_free(order->text);
	g_free(order->answer);
	g_free(order);
}

/* Sends the order through the relay of its shard's first replica that is not
 * leaving. */
static void
send_order(core_t *core, order_t *order)
{
	const index_info_t *index = fleet_find_index(core->fleet, order->index);
	const replica_set_t *replicas;
	const leaf_t *leaf = NULL;
	const peer_t *relay = NULL;
	wire_item_t item;
	wire_run_t run = { 0 };
	uint32_t shard;

	if (order->is_sent) {
		core_report_violation(core, LOG_INVARIANT_ORDER,
		    "order %s: second send prevented", order->key);
		return;
	}
	shard = index != NULL ? (uint32_t)(hash_text(order->key) %
					   (uint64_t)index->shard_count)
			      : 0;
	replicas = index != NULL ? &index->shards[shard] : NULL;
	for (int i = 0; replicas != NULL && i < replicas->count && leaf == NULL;
	     i++)
		if (!replicas->replicas[i]->instance->is_leaving)
			leaf = replicas->replicas[i];
	if (leaf == NULL) {
		fail_order_not_run(core, order, "leaving", true);
		return;
	}
	order->is_sent = true;
	order->state = ORDER_SENT;
	order->attempt = core_allocate_id(core);
	g_hash_table_insert(core->orders_by_attempt, &order->attempt, order);
	item = (wire_item_t){ order->attempt, leaf->key, shard };
	run.origin = core->self_key;
	run.version = index->version;
	run.rank = order->rank;
	run.is_order = true;
	run.remaining_us = order->deadline_us - core->now_us;
	run.text = order->text;
	run.text_length = order->text_length;
	run.item_count = 1;
	run.items = &item;
	g_strlcpy(run.reply_to, core->options.endpoint, sizeof(run.reply_to));
	g_strlcpy(run.index, order->index, sizeof(run.index));
	g_strlcpy(run.request, order->key, sizeof(run.request));
	for (int i = 0; i < leaf->instance->relay_count && relay == NULL; i++) {
		relay = &core->fleet->peers[leaf->instance->relays[i]];
		if (relay->key != core->self_key &&
		    core_get_peer_state(core, relay->key)->is_unresponsive)
			relay = NULL;
	}
	if (relay == NULL || relay->key == core->self_key ||
	    index->values[0].value[SETTING_REACH] != 0)
		relay_handle_run(core, &run, true);
	else
		core_send_to_peer(core, relay->endpoint, wire_encode_run(&run));
}

/*
 * Without a claim it is not known whether another VM has run the key: an
 * earlier try, or, while this process was paused, the same one.
 */
static bool
may_have_run_elsewhere(const core_t *core, const order_t *order)
{
	return order->is_repeat ||
	       (core->paused_us != 0 && core->paused_us >= order->started_us);
}

/* Answers an order that was certainly not run, and records that if it was
 * claimed. */
static void
fail_order_not_run(
    core_t *core, order_t *order, const char *reason, bool is_claimed)
{
	if (is_claimed)
		record_order(core, order, false, "", 0);
	if (order->is_answered)
		return;
	if (!is_claimed && may_have_run_elsewhere(core, order))
		answer_order(
		    core, order, 409, "unknown", reason, NULL, 0, false);
	else
		answer_order(
		    core, order, 503, "not_run", reason, NULL, 0, false);
}

static void
record_order(
    core_t *core, order_t *order, bool has_run, const char *body, size_t length)
{
	action_t *action = core_add_action(core, ACTION_RECORD);

	action->request = order->id;
	action->has_run = has_run;
	action->body = g_strndup(body, length);
	action->body_length = length;
	g_strlcpy(action->key, order->key, sizeof(action->key));
}

static void
answer_order(core_t *core, order_t *order, int http_status, const char *outcome,
    const char *reason, const char *answer, size_t length, bool is_repeated)
{
	json_t *root, *upstream;
	action_t *action;

	if (order->is_answered) {
		core_report_violation(core, LOG_INVARIANT_ANSWER,
		    "order %s: second answer prevented", order->key);
		return;
	}
	order->is_answered = true;
	metric_add(strcmp(outcome, "done") == 0	     ? METRIC_ORDERS_DONE
		   : strcmp(outcome, "not_run") == 0 ? METRIC_ORDERS_NOT_RUN
						     : METRIC_ORDERS_UNKNOWN,
	    1);
	core_log(core, LOG_ORDER_ANSWERED, "order %s answered: %s %s",
	    order->key, outcome, reason);
	upstream = answer != NULL
		       ? json_loadb(answer, length, JSON_DECODE_ANY, NULL)
		       : NULL;
	root = json_pack("{s:s, s:s, s:s, s:b, s:o?}", "key", order->key,
	    "outcome", outcome, "reason", reason, "repeated", is_repeated,
	    "answer", upstream);
	action = core_add_action(core, ACTION_ANSWER);
	action->caller = order->caller;
	action->http_status = http_status;
	action->retry_after_s = http_status == 503 ? RETRY_AFTER_S : 0;
	action->body = json_dumps(root, JSON_COMPACT);
	action->body_length = strlen(action->body);
	json_decref(root);
	core->order_count--;
	/* Keep the order for a pending claim or a late result. */
	core_set_timer(core, &order->timer,
	    core->now_us + ANSWERED_ORDER_KEEP_US, handle_timer, order);
}

static void
handle_timer(core_t *core, void *context)
{
	order_t *order = context;

	if (order->is_answered)
		destroy_order(core, order);
	else if (order->state == ORDER_CLAIMING)
		fail_order_not_run(core, order, "platform_slow", false);
	else if (order->state == ORDER_RECORDING)
		answer_order(core, order, 200, "done", "", order->answer,
		    strlen(order->answer), false);
	else
		answer_order(core, order, 409, "unknown",
		    "no_answer_from_upstream", NULL, 0, false);
}
