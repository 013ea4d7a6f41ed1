/**
 * @file attempt.c
 * Attempts of a query's shards: choice of the relay, one batch of requests per
 * relay, cancellation of attempts that are no longer needed.
 */
#include <string.h>

#include "core_private.h"

#define RELAY_PING_INTERVAL_US	  1000000
#define DETACHED_PROBE_TIMEOUT_US 10000000

static const peer_t *choose_relay(core_t *core, const query_t *query,
    const fleet_t *fleet, const leaf_t *leaf);
static void expire_probe(core_t *core, void *context);
static leaf_t *get_current_leaf(const core_t *core, leaf_t *leaf);

attempt_t *
attempt_add(core_t *core, query_t *query, int shard, int replica,
    attempt_kind_t kind, GArray *batches)
{
	static const char *const kind_names[] = { "first", "hedge", "retry",
		"probe" };
	slot_t *slot = &query->slots[shard];
	attempt_t *attempt;
	const peer_t *relay;
	wire_item_t item;
	batch_t *batch = NULL;

	if (slot->attempt_count >= ATTEMPTS_PER_SLOT_MAX)
		return NULL;
	attempt = g_new0(attempt_t, 1);
	attempt->id = core_allocate_id(core);
	attempt->query = query;
	attempt->shard = shard;
	attempt->leaf = get_current_leaf(
	    core, query->index->shards[shard].replicas[replica]);
	attempt->fleet = fleet_acquire(
	    attempt->leaf == query->index->shards[shard].replicas[replica]
		? query->fleet
		: core->fleet);
	attempt->state =
	    estimate_get_leaf_state(core, attempt->leaf, query->index_state);
	attempt->sent_us = core->now_us;
	attempt->kind = kind;
	attempt->expected_us =
	    estimate_get_wait(core, attempt->state, query->index_state,
		query->rank, attempt->leaf->slots) +
	    estimate_get_service(attempt->state, query->index_state);
	attempt->state->outstanding++;
	attempt->state->sent_since_report++;
	slot->attempts[slot->attempt_count++] = attempt;
	slot->tried_replicas |= 1U << replica;
	g_hash_table_insert(core->attempts, &attempt->id, attempt);
	relay = choose_relay(core, query, attempt->fleet, attempt->leaf);
	attempt->relay = relay != NULL ? relay->key : 0;
	item =
	    (wire_item_t){ attempt->id, attempt->leaf->key, (uint32_t)shard };
	for (guint i = 0; i < batches->len && batch == NULL; i++)
		if (g_array_index(batches, batch_t, i).relay == relay)
			batch = &g_array_index(batches, batch_t, i);
	if (batch == NULL) {
		batch_t new_batch = { relay,
			g_array_new(FALSE, FALSE, sizeof(wire_item_t)) };

		g_array_append_val(batches, new_batch);
		batch = &g_array_index(batches, batch_t, batches->len - 1);
	}
	g_array_append_val(batch->items, item);
	core_log(core,
	    kind == ATTEMPT_HEDGE   ? LOG_QUERY_HEDGED
	    : kind == ATTEMPT_RETRY ? LOG_QUERY_RETRIED
				    : LOG_QUERY_ROUTED,
	    "query %s: shard %d %s attempt %" G_GUINT64_FORMAT
	    " to %s/%d via relay %s",
	    query->request, shard, kind_names[kind], attempt->id,
	    attempt->leaf->instance->id, attempt->leaf->number,
	    relay != NULL ? relay->member->id : "self");
	return attempt;
}

void
attempt_remove(core_t *core, attempt_t *attempt)
{
	query_t *query = attempt->query;

	core_unset_timer(core, &attempt->reap_timer);
	if (query != NULL) {
		slot_t *slot = &query->slots[attempt->shard];

		for (int i = 0; i < slot->attempt_count; i++)
			if (slot->attempts[i] == attempt)
				slot->attempts[i] = NULL;
	}
	g_hash_table_remove(core->attempts, &attempt->id);
}

void
attempt_free(void *context)
{
	attempt_t *attempt = context;

	fleet_release(attempt->fleet);
	g_free(attempt);
}

/* Cancels a slot's live attempts. A probe continues without its query, for its
 * result to be recorded. */
void
attempt_cancel_all(
    core_t *core, query_t *query, int shard, const attempt_t *kept)
{
	slot_t *slot = &query->slots[shard];

	for (int i = 0; i < slot->attempt_count; i++) {
		attempt_t *attempt = slot->attempts[i];
		int64_t age_us;

		if (attempt == NULL || attempt == kept)
			continue;
		if (attempt->kind == ATTEMPT_PROBE) {
			attempt->query = NULL;
			slot->attempts[i] = NULL;
			core_set_timer(core, &attempt->reap_timer,
			    core->now_us + DETACHED_PROBE_TIMEOUT_US,
			    expire_probe, attempt);
			continue;
		}
		/* A cancelled attempt would have taken at least its age. */
		age_us = core->now_us - attempt->sent_us;
		if (attempt->state->service_us > 0 &&
		    (double)age_us > attempt->state->service_us +
					 (double)attempt->expected_us)
			attempt->state->service_us +=
			    0.1 * ((double)age_us - attempt->state->service_us);
		attempt->state->outstanding--;
		if (attempt->relay == 0) {
			relay_handle_cancel(
			    core, core->self_key, &attempt->id, 1);
		} else {
			const peer_t *relay =
			    fleet_find_peer(core->fleet, attempt->relay);

			if (relay != NULL)
				core_send_to_peer(core, relay->endpoint,
				    wire_encode_cancel(
					core->self_key, &attempt->id, 1));
		}
		attempt_remove(core, attempt);
	}
}

bool
attempt_send(core_t *core, const query_t *query, GArray *batches)
{
	wire_run_t run = { 0 };
	bool is_remote = false;

	run.origin = core->self_key;
	g_strlcpy(run.reply_to, core->options.endpoint, sizeof(run.reply_to));
	g_strlcpy(run.index, query->index->name, sizeof(run.index));
	g_strlcpy(run.request, query->request, sizeof(run.request));
	run.version = query->index->version;
	run.rank = query->rank;
	run.remaining_us = query->deadline_us - core->now_us;
	run.limit = query->limit;
	run.text = query->text;
	run.text_length = strlen(query->text);
	for (guint i = 0; i < batches->len; i++) {
		batch_t *batch = &g_array_index(batches, batch_t, i);

		run.items = (wire_item_t *)(void *)batch->items->data;
		run.item_count = (int)batch->items->len;
		if (batch->relay == NULL) {
			relay_handle_run(core, &run, true);
		} else {
			peer_state_t *peer =
			    core_get_peer_state(core, batch->relay->key);

			if (peer->last_ping_us <= peer->last_received_us)
				peer->last_ping_us = core->now_us;
			core_send_to_peer(core, batch->relay->endpoint,
			    wire_encode_run(&run));
			is_remote = true;
		}
		g_array_unref(batch->items);
	}
	g_array_unref(batches);
	return is_remote;
}

/* Sends a run without items; a relay acknowledges it like any other run. */
void
attempt_ping_relay(core_t *core, peer_state_t *state, const peer_t *peer)
{
	wire_run_t ping = { .origin = core->self_key, .text = "" };

	state->last_ping_us = core->now_us;
	g_strlcpy(ping.reply_to, core->options.endpoint, sizeof(ping.reply_to));
	core_send_to_peer(core, peer->endpoint, wire_encode_run(&ping));
}

/* Returns the first responsive relay of the leaf's instance; NULL: this
 * thread. */
static const peer_t *
choose_relay(core_t *core, const query_t *query, const fleet_t *fleet,
    const leaf_t *leaf)
{
	const instance_t *instance = leaf->instance;

	if (query->values->value[SETTING_REACH] != 0)
		return NULL;
	for (int i = 0; i < instance->relay_count; i++) {
		const peer_t *peer = &fleet->peers[instance->relays[i]];
		peer_state_t *state;

		if (peer->key == core->self_key)
			return NULL;
		state = core_get_peer_state(core, peer->key);
		if (!state->is_unresponsive)
			return peer;
		if (core->now_us - state->last_ping_us > RELAY_PING_INTERVAL_US)
			attempt_ping_relay(core, state, peer);
	}
	return NULL;
}

static void
expire_probe(core_t *core, void *context)
{
	attempt_t *attempt = context;

	attempt->state->outstanding--;
	attempt_remove(core, attempt);
}

static leaf_t *
get_current_leaf(const core_t *core, leaf_t *leaf)
{
	leaf_t *current = fleet_find_leaf(core->fleet, leaf->key);

	return current != NULL ? current : leaf;
}
