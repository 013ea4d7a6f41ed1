/**
 * @file pool.c
 * Connections to leafs: one request at a time on each, kept for later ones.
 */
#include <stdlib.h>
#include <string.h>

#include "tier_process.h"

#define REPLY_HEAD_BYTES 32768
#define REPLY_BODY_BYTES 8388608
#define CONNECT_FLOOR_US 300000	  /* until an unopened connection fails */
#define CONNECT_RTTS	 4	  /* or so many round trips */
#define IDLE_DEFAULT_US	 30000000 /* kept so long without Keep-Alive */
#define IDLE_MARGIN_US	 700000	  /* not reused so close to its end */
#define SWEEP_US	 50000
#define PRUNE_US	 500000	 /* between looks at surplus connections */
#define SURPLUS_US	 1500000 /* a second idle one is closed after this */

typedef struct leaf_pool leaf_pool_t;

typedef struct leaf_link {
	LIST_ENTRY(leaf_link) in_pool;
	leaf_pool_t *owner;
	stream_t *stream;
	http_message_t message;
	tier_attempt_t *attempt; /* NULL: idle */
	char id[KEY_BYTES];	 /* of the request in work */
	int64_t opened_us;	 /* or begun, while it connects */
	int64_t reuse_until_us, idle_us;
	bool is_used;		  /* an answer has come on it */
	bool is_open, is_spoiled; /* spoiled: closed after this answer */
} leaf_link_t;

struct leaf_pool {
	LIST_ENTRY(leaf_pool) in_all;
	pool_t *pool;
	tier_leaf_t *leaf; /* NULL once it is forgotten and idle */
	LIST_HEAD(, leaf_link) links;
	bool is_forgotten;
};

struct pool {
	loop_t *loop;
	const protocol_t *protocol;
	pool_callbacks_t hooks;
	LIST_HEAD(, leaf_pool) all;
	GQueue unsent; /* attempts whose connection could not be begun */
	GString *scratch;
	int64_t sweep_us, prune_us;
	int connecting;
};

static void handle_opened(void *context);
static void handle_received(void *context, const char *data, size_t length);
static void handle_closed(void *context, bool is_clean);
static int64_t run_timer(void *context);

static const stream_callbacks_t stream_callbacks = { handle_opened,
	handle_received, handle_closed };

pool_t *
pool_create(
    loop_t *loop, const protocol_t *protocol, const pool_callbacks_t *hooks)
{
	pool_t *pool = g_new0(pool_t, 1);

	pool->loop = loop;
	pool->protocol = protocol;
	pool->hooks = *hooks;
	LIST_INIT(&pool->all);
	g_queue_init(&pool->unsent);
	pool->scratch = g_string_sized_new(1024);
	loop_add_timer(loop, run_timer, pool);
	return pool;
}

static void
destroy_link(leaf_link_t *link)
{
	if (!link->is_open)
		link->owner->pool->connecting--;
	if (!link->owner->is_forgotten)
		link->owner->leaf->open_count--;
	LIST_REMOVE(link, in_pool);
	stream_destroy(link->stream);
	http_message_end(&link->message);
	g_free(link);
}

static void
destroy_if_unused(leaf_pool_t *owner)
{
	if (!owner->is_forgotten || !LIST_EMPTY(&owner->links))
		return;
	LIST_REMOVE(owner, in_all);
	g_free(owner);
}

static void
destroy_links(leaf_pool_t *owner)
{
	leaf_link_t *link, *next;

	owner->is_forgotten = true; /* its leaf may be freed already */
	for (link = LIST_FIRST(&owner->links); link != NULL; link = next) {
		next = LIST_NEXT(link, in_pool);
		destroy_link(link);
	}
}

void
pool_destroy(pool_t *pool)
{
	leaf_pool_t *owner, *next;

	loop_remove_timer(pool->loop, run_timer, pool);
	for (owner = LIST_FIRST(&pool->all); owner != NULL; owner = next) {
		next = LIST_NEXT(owner, in_all);
		destroy_links(owner);
		g_free(owner);
	}
	g_queue_clear(&pool->unsent);
	g_string_free(pool->scratch, TRUE);
	g_free(pool);
}

/* Ends the attempt of a link and keeps or closes the connection. */
static void
finish_link(leaf_link_t *link, const leaf_answer_t *answer, bool is_kept)
{
	leaf_pool_t *owner = link->owner;
	pool_t *pool = owner->pool;
	tier_attempt_t *attempt = link->attempt;
	leaf_answer_t copy = *answer;
	int64_t reuse_until_us = link->reuse_until_us;

	/* The link's message is in use: no new request may take the link. */
	link->reuse_until_us = 0;
	link->attempt = NULL;
	if (attempt != NULL)
		attempt->connection = NULL;
	if (attempt != NULL)
		pool->hooks.answered(pool->hooks.context, attempt, &copy);
	if (is_kept && !owner->is_forgotten) {
		http_message_reset(&link->message);
		link->reuse_until_us = reuse_until_us;
		link->idle_us = clock_get_us();
	} else
		destroy_link(link);
	destroy_if_unused(owner);
}

static void
fail_link(leaf_link_t *link, attempt_outcome_t outcome)
{
	leaf_answer_t answer = { .outcome = outcome };

	finish_link(link, &answer, false);
}

static leaf_pool_t *
find_leaf_pool(pool_t *pool, tier_leaf_t *leaf)
{
	leaf_pool_t *owner = leaf->connections;

	if (owner != NULL)
		return owner;
	owner = g_new0(leaf_pool_t, 1);
	owner->pool = pool;
	owner->leaf = leaf;
	LIST_INIT(&owner->links);
	LIST_INSERT_HEAD(&pool->all, owner, in_all);
	leaf->connections = owner;
	return owner;
}

/* The most recently used idle link: the others may lapse. */
static leaf_link_t *
find_idle(leaf_pool_t *owner, int64_t now_us)
{
	leaf_link_t *link, *best = NULL;

	LIST_FOREACH(link, &owner->links, in_pool)
	if (link->attempt == NULL && link->is_open &&
	    link->reuse_until_us > now_us &&
	    (best == NULL || link->reuse_until_us > best->reuse_until_us))
		best = link;
	return best;
}

static leaf_link_t *
open_link(leaf_pool_t *owner, int64_t now_us)
{
	leaf_link_t *link = g_new0(leaf_link_t, 1);

	link->owner = owner;
	link->opened_us = now_us;
	link->stream = stream_connect(owner->pool->loop,
	    owner->leaf->entry.address, &stream_callbacks, link);
	if (link->stream == NULL) {
		g_free(link);
		return NULL;
	}
	http_message_begin(
	    &link->message, false, REPLY_HEAD_BYTES, REPLY_BODY_BYTES);
	LIST_INSERT_HEAD(&owner->links, link, in_pool);
	owner->pool->connecting++;
	owner->leaf->open_count++;
	metric_add(METRIC_TIER_CONNECTIONS_OPENED, 1);
	return link;
}

void
pool_send(pool_t *pool, tier_attempt_t *attempt)
{
	int64_t now_us = attempt->sent_us;
	leaf_pool_t *owner = find_leaf_pool(pool, attempt->leaf);
	leaf_link_t *link = find_idle(owner, now_us);
	const http_message_t *request =
	    pool->hooks.get_request(pool->hooks.context, attempt->caller);

	if (link == NULL)
		link = open_link(owner, now_us);
	if (link == NULL) {
		g_queue_push_tail(&pool->unsent, attempt);
		loop_wake(pool->loop);
		return;
	}
	link->attempt = attempt;
	attempt->connection = link;
	g_strlcpy(link->id, attempt->ask->id, sizeof(link->id));
	link->message.is_without_body = request->parser.method == HTTP_HEAD;
	g_string_truncate(pool->scratch, 0);
	pool->protocol->write_leaf_request(pool->scratch, request, attempt);
	stream_write(link->stream, pool->scratch->str, pool->scratch->len);
}

void
pool_cancel(pool_t *pool, tier_attempt_t *attempt)
{
	leaf_link_t *link = attempt->connection;

	if (link == NULL) {
		g_queue_remove(&pool->unsent, attempt);
		return;
	}
	attempt->connection = NULL;
	link->attempt = NULL;
	destroy_link(link);
	metric_add(METRIC_LEAF_CANCELLED, 1);
}

void
pool_remove_leaf(pool_t *pool, tier_leaf_t *leaf)
{
	leaf_pool_t *owner = leaf->connections;
	leaf_link_t *link, *next;

	if (owner == NULL)
		return;
	owner->is_forgotten = true;
	leaf->connections = NULL;
	for (link = LIST_FIRST(&owner->links); link != NULL; link = next) {
		next = LIST_NEXT(link, in_pool);
		if (link->attempt == NULL)
			destroy_link(link);
	}
	destroy_if_unused(owner);
}

static void
handle_opened(void *context)
{
	leaf_link_t *link = context;
	int64_t now_us = clock_get_us();

	link->is_open = true;
	link->owner->pool->connecting--;
	if (link->attempt != NULL)
		tier_handle_rtt(link->attempt->leaf, now_us - link->opened_us);
}

/* "timeout=5" of Keep-Alive, less a margin for a request on its way. */
static int64_t
get_reuse_until(const http_message_t *message, int64_t now_us)
{
	const char *value = http_get_header(message, "keep-alive");
	const char *timeout = value != NULL ? strstr(value, "timeout=") : NULL;
	int64_t idle_us = IDLE_DEFAULT_US;

	if (timeout != NULL)
		idle_us = strtol(timeout + 8, NULL, 10) * 1000000L;
	return now_us + idle_us - IDLE_MARGIN_US;
}

/*
 * Returns true if the message is the answer that the link waits for. A late
 * answer to another request stands in its place at times, and is skipped.
 */
static bool
take_message(leaf_link_t *link, leaf_answer_t *answer)
{
	const char *id = NULL;

	if (link->message.parser.status_code < 200)
		return false;
	*answer = (leaf_answer_t){ .message = &link->message };
	link->owner->pool->protocol->read_leaf_answer(
	    &link->message, answer, &id);
	if (id == NULL || strncmp(id, link->id, sizeof(link->id) - 1) == 0)
		return true;
	metric_add(METRIC_REPLIES_DROPPED, 1);
	link->is_spoiled = true;
	return false;
}

static void
handle_received(void *context, const char *data, size_t length)
{
	leaf_link_t *link = context;
	leaf_answer_t answer;
	size_t used;

	if (link->attempt == NULL) { /* bytes that belong to no request */
		leaf_pool_t *owner = link->owner;

		destroy_link(link);
		destroy_if_unused(owner);
		return;
	}
	link->is_used = true;
	for (;;) {
		http_state_t state =
		    http_message_feed(&link->message, data, length, &used);

		if (state == HTTP_INCOMPLETE)
			return;
		if (state == HTTP_INVALID) {
			fail_link(link, OUTCOME_BROKEN);
			return;
		}
		data += used;
		length -= used;
		if (take_message(link, &answer))
			break;
		http_message_reset(&link->message);
		if (length == 0)
			return;
	}
	link->reuse_until_us = get_reuse_until(&link->message, clock_get_us());
	finish_link(link, &answer,
	    length == 0 && link->message.is_persistent && !link->is_spoiled &&
		stream_is_flushed(link->stream));
}

static void
handle_closed(void *context, bool is_clean)
{
	leaf_link_t *link = context;
	leaf_answer_t answer;

	if (link->attempt == NULL) {
		leaf_pool_t *owner = link->owner;

		destroy_link(link);
		destroy_if_unused(owner);
	} else if (!link->is_open)
		fail_link(link, OUTCOME_UNSENT);
	else if (!link->is_used && !link->message.is_begun)
		fail_link(link, OUTCOME_CROWDED);
	else if (is_clean &&
		 http_message_finish(&link->message) == HTTP_COMPLETE &&
		 take_message(link, &answer))
		finish_link(link, &answer, false);
	else
		fail_link(link, OUTCOME_BROKEN);
}

static void
fail_unopened(leaf_pool_t *owner, int64_t now_us)
{
	leaf_link_t *link, *next;

	for (link = LIST_FIRST(&owner->links); link != NULL; link = next) {
		int64_t rtt_us;

		next = LIST_NEXT(link, in_pool);
		if (link->is_open || link->attempt == NULL)
			continue;
		rtt_us = *link->attempt->leaf->rtt_us;
		if (now_us - link->opened_us >
		    CONNECT_FLOOR_US + CONNECT_RTTS * rtt_us) {
			fail_link(link, OUTCOME_UNSENT);
			return; /* the list may have changed */
		}
	}
}

/*
 * Connections that a burst has opened are closed again: a leaf counts those of
 * a VM that has lost its power until they lapse, and needs room for its new
 * ones meanwhile.
 */
static void
prune_links(leaf_pool_t *owner, int64_t now_us)
{
	leaf_link_t *link, *next;
	bool is_first = true;

	for (link = LIST_FIRST(&owner->links); link != NULL; link = next) {
		next = LIST_NEXT(link, in_pool);
		if (!is_first && link->attempt == NULL &&
		    now_us - link->idle_us > SURPLUS_US)
			destroy_link(link);
		else
			is_first = false;
	}
}

static int64_t
run_timer(void *context)
{
	pool_t *pool = context;
	const leaf_answer_t unsent = { .outcome = OUTCOME_UNSENT };
	int64_t now_us;

	while (!g_queue_is_empty(&pool->unsent))
		pool->hooks.answered(pool->hooks.context,
		    g_queue_pop_head(&pool->unsent), &unsent);
	now_us = clock_get_us();
	if (now_us >= pool->prune_us) {
		leaf_pool_t *owner;

		pool->prune_us = now_us + PRUNE_US;
		LIST_FOREACH(owner, &pool->all, in_all)
		prune_links(owner, now_us);
	}
	if (pool->connecting == 0)
		return INT64_MAX;
	if (now_us >= pool->sweep_us) {
		leaf_pool_t *owner, *next;

		pool->sweep_us = now_us + SWEEP_US;
		for (owner = LIST_FIRST(&pool->all); owner != NULL;
		     owner = next) {
			next = LIST_NEXT(owner, in_all);
			fail_unopened(owner, now_us);
		}
	}
	return pool->sweep_us;
}
