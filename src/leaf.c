/**
 * @file leaf.c
 * HTTP client for leaves, with one bounded connection pool for each upstream
 * instance. Idle pools are closed, which releases the connections of a VM that
 * is no longer a relay for the instance.
 */
#include <stdio.h>
#include <string.h>

#include "plantainarch.h"

#define POOL_IDLE_TIMEOUT_US 10000000
#define IDLE_CHECK_PERIOD_US 1000000
#define CANCEL_TIMEOUT_US    1000000
#define TIMEOUT_MARGIN_US    5000

/* HTTP status codes of the leaf protocol. 410: the leaf no longer has the index
 * version. 429 and 503: the request did not run. */
#define STATUS_OK		 200
#define STATUS_VERSION_REMOVED	 410
#define STATUS_SHED		 503
#define STATUS_CONNECTION_LIMIT	 429
#define STATUS_CANCELLED	 499
#define STATUS_DEADLINE_EXCEEDED 504

typedef struct pool {
	uint64_t instance;
	fetch_t *fetch;
	int connections_max;
	int64_t last_used_us;
} pool_t;

struct leaf_client {
	loop_t *loop;
	GHashTable *pools; /* instance id -> pool_t */
	leaf_fn_t callback;
	void *context;
	int64_t next_idle_check_us;
};

static pool_t *get_or_create_pool(
    leaf_client_t *client, const action_t *action);
static void destroy_pool(void *context);
static void handle_reply(
    void *context, uint64_t tag, const fetch_reply_t *reply);
static void ignore_cancel_reply(
    void *context, uint64_t tag, const fetch_reply_t *reply);
static run_status_t get_run_status(const fetch_reply_t *reply);
static int64_t close_idle_pools(void *context);

leaf_client_t *
leaf_client_create(loop_t *loop, leaf_fn_t callback, void *context)
{
	leaf_client_t *client = g_new0(leaf_client_t, 1);

	client->loop = loop;
	client->callback = callback;
	client->context = context;
	client->pools = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, destroy_pool);
	loop_add_timer(loop, close_idle_pools, client);
	return client;
}

void
leaf_client_destroy(leaf_client_t *client)
{
	loop_remove_timer(client->loop, close_idle_pools, client);
	g_hash_table_destroy(client->pools);
	g_free(client);
}

void
leaf_client_run(leaf_client_t *client, const action_t *action)
{
	pool_t *pool = get_or_create_pool(client, action);
	char url[2 * ENDPOINT_BYTES];

	pool->last_used_us = clock_get_us();
	if (action->type == ACTION_LEAF_CANCEL) {
		snprintf(url, sizeof(url), "http://%s/leaf/%d/cancel",
		    action->address, action->leaf_number);
		fetch_send(pool->fetch, "POST", url, action->body,
		    action->body_length, CANCEL_TIMEOUT_US, action->job,
		    ignore_cancel_reply, client);
		return;
	}
	snprintf(url, sizeof(url), "http://%s/leaf/%d/%s", action->address,
	    action->leaf_number, action->is_order ? "order" : "search");
	(action->is_order ? fetch_send_once : fetch_send)(pool->fetch, "POST",
	    url, action->body, action->body_length,
	    action->timeout_us + TIMEOUT_MARGIN_US, action->job, handle_reply,
	    client);
}

static pool_t *
get_or_create_pool(leaf_client_t *client, const action_t *action)
{
	pool_t *pool = g_hash_table_lookup(client->pools, &action->instance);

	if (pool == NULL) {
		pool = g_new0(pool_t, 1);
		pool->instance = action->instance;
		pool->connections_max = action->connections;
		pool->fetch = fetch_create(
		    client->loop, LEAF_REPLY_BYTES_MAX, action->connections);
		g_hash_table_insert(client->pools, &pool->instance, pool);
	}
	if (pool->connections_max != action->connections) {
		pool->connections_max = action->connections;
		fetch_set_connections_max(pool->fetch, action->connections);
	}
	return pool;
}

static void
destroy_pool(void *context)
{
	pool_t *pool = context;

	fetch_destroy(pool->fetch);
	g_free(pool);
}

static void
handle_reply(void *context, uint64_t tag, const fetch_reply_t *reply)
{
	leaf_client_t *client = context;
	event_t event = { .type = EVENT_LEAF_REPLY, .job = tag };

	event.status = get_run_status(reply);
	event.is_leaving = reply->is_draining;
	event.body = reply->body;
	event.body_length = reply->body_length;
	client->callback(client->context, &event);
}

static void
ignore_cancel_reply(void *context, uint64_t tag, const fetch_reply_t *reply)
{
}

/* Returns RUN_NOT_RUN only for requests that certainly did not run; a request
 * without a reply or with an unlisted status may have run. */
static run_status_t
get_run_status(const fetch_reply_t *reply)
{
	if (reply->is_unsent)
		return RUN_NOT_RUN;
	switch (reply->http_status) {
	case STATUS_OK:
		return RUN_OK;
	case STATUS_SHED:
	case STATUS_CONNECTION_LIMIT:
		return RUN_NOT_RUN;
	case STATUS_VERSION_REMOVED:
		return RUN_VERSION_REMOVED;
	case STATUS_CANCELLED:
		return RUN_CANCELLED;
	case STATUS_DEADLINE_EXCEEDED:
		return RUN_TIMED_OUT;
	default:
		return RUN_FAILED;
	}
}

static int64_t
close_idle_pools(void *context)
{
	leaf_client_t *client = context;
	int64_t now_us = clock_get_us();
	GHashTableIter iterator;
	gpointer value;

	if (now_us < client->next_idle_check_us)
		return client->next_idle_check_us;
	client->next_idle_check_us = now_us + IDLE_CHECK_PERIOD_US;
	g_hash_table_iter_init(&iterator, client->pools);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		pool_t *pool = value;

		if (now_us - pool->last_used_us > POOL_IDLE_TIMEOUT_US &&
		    fetch_count_running(pool->fetch) == 0)
			g_hash_table_iter_remove(&iterator);
	}
	return client->next_idle_check_us;
}
