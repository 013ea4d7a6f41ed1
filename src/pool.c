/**
 * @file pool.c
 * Connection pools of the leaves: one request at a time on each connection,
 * without pipelining; idle connections are reused.
 */
#include <stdlib.h>
#include <string.h>

#include "tier_process.h"

#define ANSWER_HEAD_BYTES_MAX 32768
#define ANSWER_BODY_BYTES_MAX 8388608
/* Memory for answers in progress. */
#define BUFFERED_BYTES_MAX     16777216 /* of all connections */
#define BUFFERED_FAIR_BYTES    65536	/* of one: not closed for the sum */
#define STATUS_FINAL_MIN       200    /* below: interim, another one follows */
#define SKIPPED_ANSWERS_MAX    4      /* to other requests, before the answer */
#define CONNECT_TIMEOUT_MIN_US 300000 /* plus a few round trips */
#define CONNECT_TIMEOUT_RTTS   4      /* added to the minimum */
#define IDLE_DEFAULT_US	       30000000 /* without a Keep-Alive header */
#define IDLE_MARGIN_US	       700000	/* no reuse so near the timeout */
#define CONNECT_CHECK_US       50000
#define PRUNE_US	       500000 /* between checks for surplus connections */
#define SURPLUS_IDLE_US	       1500000 /* then closed, except the first */

typedef struct leaf_pool leaf_pool_t;

/** What the head of a leaf's message says of the request in flight. */
typedef enum head_verdict {
	HEAD_OWN,     /* the message is its answer */
	HEAD_INTERIM, /* its answer follows */
	HEAD_FOREIGN, /* names another request or none; its answer may follow */
	HEAD_LOST     /* its answer is lost */
} head_verdict_t;

typedef struct leaf_connection {
	LIST_ENTRY(leaf_connection) in_pool;
	leaf_pool_t *leaf_pool;
	stream_t *stream;
	http_message_t message;
	tier_attempt_t *attempt; /* NULL: idle */
	GString *id;		 /* of the request in flight, whole */
	int64_t opened_us;	 /* start of the connect until is_open */
	int64_t reuse_until_us, idle_since_us;
	size_t buffered_bytes;	  /* of the answer in progress */
	int skipped_count;	  /* answers to other requests */
	bool has_received;	  /* bytes were received on it */
	bool has_answered;	  /* a request before the present one */
	bool is_open, must_close; /* must_close: after this answer */
	bool is_finishing; /* its answer is being reported: not to be used */
	head_verdict_t verdict; /* of the message in progress */
	leaf_answer_t answer;	/* as its head has it */
} leaf_connection_t;

struct leaf_pool {
	LIST_ENTRY(leaf_pool) in_all;
	pool_t *pool;
	tier_leaf_t *leaf; /* may be freed once is_leaf_removed */
	LIST_HEAD(, leaf_connection) connections;
	bool is_leaf_removed;
};

struct pool {
	loop_t *loop;
	const protocol_t *protocol;
	pool_callbacks_t callbacks;
	LIST_HEAD(, leaf_pool) all;
	GQueue unsent; /* attempts without a connection: connect() failed */
	GString *scratch;
	int64_t connect_check_due_us, prune_due_us;
	int connecting_count;
	size_t buffered_bytes; /* of all connections */
};

static void handle_opened(void *context);
static void handle_received(void *context, const char *data, size_t length);
static void handle_closed(void *context, bool is_clean);
static void handle_head(void *context);
static int64_t run_timer(void *context);

static const stream_callbacks_t stream_callbacks = { handle_opened,
	handle_received, handle_closed };

pool_t *
pool_create(
    loop_t *loop, const protocol_t *protocol, const pool_callbacks_t *callbacks)
{
	pool_t *pool = g_new0(pool_t, 1);

	pool->loop = loop;
	pool->protocol = protocol;
	pool->callbacks = *callbacks;
	LIST_INIT(&pool->all);
	g_queue_init(&pool->unsent);
	pool->scratch = g_string_sized_new(1024);
	loop_add_timer(loop, run_timer, pool);
	return pool;
}

static void
set_buffered_bytes(leaf_connection_t *connection, size_t bytes)
{
	pool_t *pool = connection->leaf_pool->pool;

	pool->buffered_bytes += bytes - connection->buffered_bytes;
	connection->buffered_bytes = bytes;
}

static void
destroy_connection(leaf_connection_t *connection)
{
	set_buffered_bytes(connection, 0);
	if (!connection->is_open)
		connection->leaf_pool->pool->connecting_count--;
	if (!connection->leaf_pool->is_leaf_removed)
		connection->leaf_pool->leaf->connection_count--;
	LIST_REMOVE(connection, in_pool);
	stream_destroy(connection->stream);
	http_message_end(&connection->message);
	g_string_free(connection->id, TRUE);
	g_free(connection);
}

static void
destroy_if_unused(leaf_pool_t *leaf_pool)
{
	if (!leaf_pool->is_leaf_removed || !LIST_EMPTY(&leaf_pool->connections))
		return;
	LIST_REMOVE(leaf_pool, in_all);
	g_free(leaf_pool);
}

static void
destroy_connections(leaf_pool_t *leaf_pool)
{
	leaf_connection_t *connection, *next;

	leaf_pool->is_leaf_removed = true; /* its leaf may be freed already */
	for (connection = LIST_FIRST(&leaf_pool->connections);
	     connection != NULL; connection = next) {
		next = LIST_NEXT(connection, in_pool);
		destroy_connection(connection);
	}
}

void
pool_destroy(pool_t *pool)
{
	leaf_pool_t *leaf_pool, *next;

	loop_remove_timer(pool->loop, run_timer, pool);
	for (leaf_pool = LIST_FIRST(&pool->all); leaf_pool != NULL;
	     leaf_pool = next) {
		next = LIST_NEXT(leaf_pool, in_all);
		destroy_connections(leaf_pool);
		g_free(leaf_pool);
	}
	g_queue_clear(&pool->unsent);
	g_string_free(pool->scratch, TRUE);
	g_free(pool);
}

/* Reports the attempt's answer, then keeps or closes the connection. */
static void
finish_attempt(
    leaf_connection_t *connection, const leaf_answer_t *answer, bool is_kept)
{
	leaf_pool_t *leaf_pool = connection->leaf_pool;
	pool_t *pool = leaf_pool->pool;
	tier_attempt_t *attempt = connection->attempt;
	leaf_answer_t copy = *answer;

	/* The callback reads the message: no new request may reuse it yet. */
	connection->is_finishing = true;
	connection->attempt = NULL;
	if (attempt != NULL)
		attempt->connection = NULL;
	if (attempt != NULL)
		pool->callbacks.answered(
		    pool->callbacks.context, attempt, &copy);
	if (is_kept && !leaf_pool->is_leaf_removed) {
		http_message_reset(&connection->message);
		set_buffered_bytes(connection, 0);
		connection->skipped_count = 0;
		connection->has_answered = true;
		connection->is_finishing = false;
		connection->idle_since_us = clock_get_us();
	} else
		destroy_connection(connection);
	destroy_if_unused(leaf_pool);
}

/* `why` is NULL where the outcome says all. */
static void
fail_attempt(
    leaf_connection_t *connection, attempt_outcome_t outcome, const char *why)
{
	leaf_answer_t answer = { .outcome = outcome, .why = why };

	finish_attempt(connection, &answer, false);
}

static leaf_pool_t *
find_leaf_pool(pool_t *pool, tier_leaf_t *leaf)
{
	leaf_pool_t *leaf_pool = leaf->connections;

	if (leaf_pool != NULL)
		return leaf_pool;
	leaf_pool = g_new0(leaf_pool_t, 1);
	leaf_pool->pool = pool;
	leaf_pool->leaf = leaf;
	LIST_INIT(&leaf_pool->connections);
	LIST_INSERT_HEAD(&pool->all, leaf_pool, in_all);
	leaf->connections = leaf_pool;
	return leaf_pool;
}

/*
 * Returns the most recently used idle connection, since the others may expire,
 * else one that was opened early and is still connecting.
 */
static leaf_connection_t *
find_idle_connection(leaf_pool_t *leaf_pool, int64_t now_us)
{
	leaf_connection_t *connection, *best = NULL;

	LIST_FOREACH(connection, &leaf_pool->connections, in_pool)
	if (connection->attempt == NULL && !connection->is_finishing &&
	    (connection->reuse_until_us > now_us || !connection->is_open) &&
	    (best == NULL || connection->reuse_until_us > best->reuse_until_us))
		best = connection;
	return best;
}

static leaf_connection_t *
open_connection(leaf_pool_t *leaf_pool, int64_t now_us)
{
	leaf_connection_t *connection = g_new0(leaf_connection_t, 1);

	connection->leaf_pool = leaf_pool;
	connection->opened_us = now_us;
	connection->stream = stream_connect(leaf_pool->pool->loop,
	    leaf_pool->leaf->entry.address, &stream_callbacks, connection);
	if (connection->stream == NULL) {
		g_free(connection);
		return NULL;
	}
	http_message_begin(&connection->message, false, ANSWER_HEAD_BYTES_MAX,
	    ANSWER_BODY_BYTES_MAX);
	connection->message.head_parsed = handle_head;
	connection->message.context = connection;
	connection->id = g_string_new(NULL);
	LIST_INSERT_HEAD(&leaf_pool->connections, connection, in_pool);
	leaf_pool->pool->connecting_count++;
	leaf_pool->leaf->connection_count++;
	metric_add(METRIC_TIER_CONNECTIONS_OPENED, 1);
	return connection;
}

/*
 * Bytes of an earlier answer would be read as that of the next request. The
 * loop closes such a connection when it reads them.
 */
static void
retire_unread_connections(leaf_pool_t *leaf_pool)
{
	leaf_connection_t *connection;

	LIST_FOREACH(connection, &leaf_pool->connections, in_pool)
	if (connection->attempt == NULL && connection->is_open &&
	    stream_has_unread(connection->stream))
		connection->reuse_until_us = 0;
}

void
pool_send(pool_t *pool, tier_attempt_t *attempt)
{
	int64_t now_us = attempt->sent_us;
	leaf_pool_t *leaf_pool = find_leaf_pool(pool, attempt->leaf);
	const http_message_t *request = pool->callbacks.get_request(
	    pool->callbacks.context, attempt->caller);
	leaf_connection_t *connection;

	if (!attempt->may_repeat)
		retire_unread_connections(leaf_pool);
	connection = find_idle_connection(leaf_pool, now_us);
	if (connection == NULL)
		connection = open_connection(leaf_pool, now_us);
	if (connection == NULL) {
		g_queue_push_tail(&pool->unsent, attempt);
		loop_wake(pool->loop);
		return;
	}
	connection->attempt = attempt;
	attempt->connection = connection;
	g_string_assign(connection->id, attempt->info->id);
	connection->message.is_without_body =
	    request->parser.method == HTTP_HEAD;
	g_string_truncate(pool->scratch, 0);
	pool->protocol->write_leaf_request(pool->scratch, request, attempt);
	stream_write(
	    connection->stream, pool->scratch->str, pool->scratch->len);
}

void
pool_warm_leaf(pool_t *pool, tier_leaf_t *leaf)
{
	leaf_pool_t *leaf_pool = find_leaf_pool(pool, leaf);

	if (LIST_EMPTY(&leaf_pool->connections))
		open_connection(leaf_pool, clock_get_us());
}

void
pool_cancel(pool_t *pool, tier_attempt_t *attempt)
{
	leaf_connection_t *connection = attempt->connection;

	if (connection == NULL) {
		g_queue_remove(&pool->unsent, attempt);
		return;
	}
	attempt->connection = NULL;
	connection->attempt = NULL;
	destroy_connection(connection);
	metric_add(METRIC_LEAF_CANCELLED, 1);
}

void
pool_remove_leaf(pool_t *pool, tier_leaf_t *leaf)
{
	leaf_pool_t *leaf_pool = leaf->connections;
	leaf_connection_t *connection, *next;

	if (leaf_pool == NULL)
		return;
	leaf_pool->is_leaf_removed = true;
	leaf->connections = NULL;
	for (connection = LIST_FIRST(&leaf_pool->connections);
	     connection != NULL; connection = next) {
		next = LIST_NEXT(connection, in_pool);
		if (connection->attempt == NULL && !connection->is_finishing)
			destroy_connection(connection);
	}
	destroy_if_unused(leaf_pool);
}

static void
handle_opened(void *context)
{
	leaf_connection_t *connection = context;
	int64_t now_us = clock_get_us();

	connection->is_open = true;
	connection->leaf_pool->pool->connecting_count--;
	if (!connection->leaf_pool->is_leaf_removed)
		tier_record_rtt(connection->leaf_pool->leaf,
		    now_us - connection->opened_us);
	/* Opened early: the leaf has not told its idle timeout yet. */
	if (connection->attempt == NULL) {
		connection->idle_since_us = now_us;
		connection->reuse_until_us = now_us + IDLE_DEFAULT_US;
	}
}

/* Keep-Alive "timeout=5", less a margin for a request in transit. */
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

static void
log_answer_without_id(const leaf_connection_t *connection, int status)
{
	const tier_leaf_t *leaf = connection->attempt->leaf;
	char plain_id[KEY_BYTES];

	metric_add(METRIC_TIER_ANSWERS_WITHOUT_ID, 1);
	log_copy_plain(plain_id, sizeof(plain_id), connection->id->str);
	log_fields(LOG_TIER_ANSWER_WITHOUT_ID,
	    "\"id\":\"%s\",\"leaf\":\"%s\",\"service\":\"%s\",\"status\":%d",
	    plain_id, leaf->entry.id, leaf->entry.service, status);
}

/*
 * A message that names no request says nothing of this one, which may have run.
 * Behind an earlier answer it may be an addition to that one: the answer is
 * waited for.
 */
static head_verdict_t
judge_head_without_id(leaf_connection_t *connection)
{
	pool_t *pool = connection->leaf_pool->pool;

	log_answer_without_id(connection, connection->answer.status);
	connection->must_close = true;
	if (!connection->has_answered) {
		connection->answer =
		    (leaf_answer_t){ .outcome = OUTCOME_CONNECTION_LOST,
			    .why = "it names no request" };
		return HEAD_LOST;
	}
	metric_add(METRIC_REPLIES_DROPPED, 1);
	pool->callbacks.doubted(pool->callbacks.context, connection->attempt);
	return HEAD_FOREIGN;
}

static head_verdict_t
judge_head(leaf_connection_t *connection, const char *id)
{
	if (connection->message.parser.status_code < STATUS_FINAL_MIN)
		return HEAD_INTERIM;
	if (id == NULL)
		return judge_head_without_id(connection);
	if (strcmp(id, connection->id->str) != 0) {
		metric_add(METRIC_REPLIES_DROPPED, 1);
		connection->must_close = true;
		return HEAD_FOREIGN;
	}
	return connection->answer.outcome == OUTCOME_CONNECTION_LOST ? HEAD_LOST
								     : HEAD_OWN;
}

/*
 * Only the body of this request's answer is stored: that of another message may
 * go on for ever.
 */
static void
handle_head(void *context)
{
	leaf_connection_t *connection = context;
	http_message_t *message = &connection->message;
	leaf_answer_t *answer = &connection->answer;
	const char *id = NULL;

	*answer = (leaf_answer_t){ .message = message };
	connection->leaf_pool->pool->protocol->read_leaf_answer(
	    message, answer, &id);
	connection->verdict = judge_head(connection, id);
	message->is_body_unwanted = connection->verdict != HEAD_OWN ||
				    (answer->outcome != OUTCOME_ANSWERED &&
					answer->outcome != OUTCOME_LEAF_FAILED);
}

/* Whether the whole message ends the attempt. */
static bool
is_answer(const leaf_connection_t *connection)
{
	return connection->verdict == HEAD_OWN ||
	       connection->verdict == HEAD_LOST;
}

/* Ends the attempt with the message, whose body may have moved meanwhile. */
static void
finish_with_answer(leaf_connection_t *connection, bool is_kept)
{
	connection->answer.body = connection->message.body->str;
	connection->answer.body_length = connection->message.body->len;
	finish_attempt(connection, &connection->answer, is_kept);
}

/* Closes a connection whose leaf sends without end, and says so. */
static void
fail_endless(leaf_connection_t *connection, const char *why)
{
	const tier_leaf_t *leaf = connection->attempt->leaf;
	char plain_id[KEY_BYTES];

	log_copy_plain(plain_id, sizeof(plain_id), connection->id->str);
	log_fields(LOG_TIER_ENDLESS_ANSWER,
	    "\"leaf\":\"%s\",\"service\":\"%s\",\"id\":\"%s\","
	    "\"bytes\":%" G_GSIZE_FORMAT ",\"all_bytes\":%" G_GSIZE_FORMAT
	    ",\"why\":\"%s\"",
	    leaf->entry.id, leaf->entry.service, plain_id,
	    connection->message.body->len +
		connection->message.dropped_body_bytes,
	    connection->leaf_pool->pool->buffered_bytes, why);
	fail_attempt(connection, OUTCOME_CONNECTION_LOST, why);
}

/* Whether the answer in progress may grow further. */
static bool
check_buffered_bytes(leaf_connection_t *connection)
{
	set_buffered_bytes(
	    connection, http_message_get_allocated(&connection->message));
	return connection->buffered_bytes <= BUFFERED_FAIR_BYTES ||
	       connection->leaf_pool->pool->buffered_bytes <=
		   BUFFERED_BYTES_MAX;
}

static void
handle_received(void *context, const char *data, size_t length)
{
	leaf_connection_t *connection = context;
	size_t used;

	if (connection->attempt == NULL) { /* bytes without a request */
		leaf_pool_t *leaf_pool = connection->leaf_pool;

		destroy_connection(connection);
		destroy_if_unused(leaf_pool);
		return;
	}
	connection->has_received = true;
	for (;;) {
		http_state_t state = http_message_feed(
		    &connection->message, data, length, &used);

		if (state == HTTP_INCOMPLETE) {
			if (connection->message.has_head &&
			    connection->verdict == HEAD_LOST)
				finish_with_answer(connection, false);
			else if (!check_buffered_bytes(connection))
				fail_endless(
				    connection, "all answers are too large");
			return;
		}
		if (state == HTTP_INVALID) {
			if (connection->message.is_head_over_limit ||
			    connection->message.is_body_over_limit)
				fail_endless(
				    connection, "the answer is too large");
			else
				fail_attempt(connection,
				    OUTCOME_CONNECTION_LOST,
				    http_message_get_problem(
					&connection->message));
			return;
		}
		data += used;
		length -= used;
		if (is_answer(connection))
			break;
		http_message_reset(&connection->message);
		if (++connection->skipped_count > SKIPPED_ANSWERS_MAX) {
			fail_endless(connection, "answers to other requests");
			return;
		}
		if (length == 0)
			return;
	}
	connection->reuse_until_us =
	    get_reuse_until(&connection->message, clock_get_us());
	finish_with_answer(
	    connection, length == 0 && connection->message.is_persistent &&
			    !connection->must_close &&
			    stream_is_flushed(connection->stream));
}

static void
handle_closed(void *context, bool is_clean)
{
	leaf_connection_t *connection = context;

	if (connection->attempt == NULL) {
		leaf_pool_t *leaf_pool = connection->leaf_pool;

		destroy_connection(connection);
		destroy_if_unused(leaf_pool);
	} else if (!connection->is_open)
		fail_attempt(connection, OUTCOME_UNSENT, NULL);
	else if (!connection->has_received && !connection->message.is_begun)
		fail_attempt(connection, OUTCOME_CONNECTION_LIMIT, NULL);
	else if (is_clean &&
		 http_message_finish(&connection->message) == HTTP_COMPLETE &&
		 is_answer(connection))
		finish_with_answer(connection, false);
	else
		fail_attempt(connection, OUTCOME_CONNECTION_LOST,
		    is_clean ? "the leaf closed" : "the connection broke");
}

static void
fail_connect_timeouts(leaf_pool_t *leaf_pool, int64_t now_us)
{
	leaf_connection_t *connection, *next;

	for (connection = LIST_FIRST(&leaf_pool->connections);
	     connection != NULL; connection = next) {
		int64_t rtt_us;

		next = LIST_NEXT(connection, in_pool);
		if (connection->is_open || leaf_pool->is_leaf_removed)
			continue;
		rtt_us = *leaf_pool->leaf->rtt_us;
		if (now_us - connection->opened_us <=
		    CONNECT_TIMEOUT_MIN_US + CONNECT_TIMEOUT_RTTS * rtt_us)
			continue;
		if (connection->attempt == NULL) {
			destroy_connection(connection);
			continue;
		}
		fail_attempt(connection, OUTCOME_UNSENT, NULL);
		return; /* the list may have changed */
	}
}

/*
 * Closes connections that a burst opened. A leaf counts the connections of a VM
 * that lost power until they time out, and needs room for the VM's new ones
 * until then.
 */
static void
prune_idle_connections(leaf_pool_t *leaf_pool, int64_t now_us)
{
	leaf_connection_t *connection, *next;
	bool is_first = true;

	for (connection = LIST_FIRST(&leaf_pool->connections);
	     connection != NULL; connection = next) {
		next = LIST_NEXT(connection, in_pool);
		if (!is_first && connection->attempt == NULL &&
		    now_us - connection->idle_since_us > SURPLUS_IDLE_US)
			destroy_connection(connection);
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
		pool->callbacks.answered(pool->callbacks.context,
		    g_queue_pop_head(&pool->unsent), &unsent);
	now_us = clock_get_us();
	if (now_us >= pool->prune_due_us) {
		leaf_pool_t *leaf_pool;

		pool->prune_due_us = now_us + PRUNE_US;
		LIST_FOREACH(leaf_pool, &pool->all, in_all)
		prune_idle_connections(leaf_pool, now_us);
	}
	if (pool->connecting_count == 0)
		return INT64_MAX;
	if (now_us >= pool->connect_check_due_us) {
		leaf_pool_t *leaf_pool, *next;

		pool->connect_check_due_us = now_us + CONNECT_CHECK_US;
		for (leaf_pool = LIST_FIRST(&pool->all); leaf_pool != NULL;
		     leaf_pool = next) {
			next = LIST_NEXT(leaf_pool, in_all);
			fail_connect_timeouts(leaf_pool, now_us);
		}
	}
	return pool->connect_check_due_us;
}
