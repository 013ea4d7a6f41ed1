/**
 * @file listener.c
 * Callers' connections: reads requests, enforces the limits, writes answers.
 */
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tier_process.h"

#define TIMEOUT_CHECK_US  250000
#define LINGER_US	  1000000 /* the rest of a rejected message may follow */
#define ACCEPTS_PER_EVENT 16
#define BACKLOG_BYTES_MAX 65536 /* pipelined; then reading pauses */

typedef struct caller_connection {
	LIST_ENTRY(caller_connection) in_listener;
	listener_t *listener;
	stream_t *stream;
	int64_t rtt_us;	   /* to the caller */
	bool has_answered; /* an answer was sent on it */
	http_message_t message;
	GString *backlog; /* pipelined bytes after the request in flight */
	tier_request_t *request;
	int64_t since_us;  /* first byte of the request, or idle since */
	bool is_in_flight; /* a request has no answer yet */
	bool is_closing;   /* closed after the answer */
	bool needs_reset;
	bool is_rejected;  /* the rest of a rejected message may follow */
	bool is_lingering; /* discards input: a reset could lose the answer */
	bool has_sent_continue; /* "100 Continue" was sent for this request */
} caller_connection_t;

struct listener {
	loop_t *loop;
	const protocol_t *protocol;
	tier_t *tier;
	int fd;
	LIST_HEAD(, caller_connection) connections;
	int connection_count, in_flight_count, reset_count;
	bool is_closing;
	int64_t timeout_check_due_us;
	GString *scratch;
};

static void reject_message(
    caller_connection_t *connection, int status, const char *reason);
static void handle_accept(void *context, int fd, uint32_t events);
static void handle_received(void *context, const char *data, size_t length);
static void handle_closed(void *context, bool is_clean);
static int64_t run_timer(void *context);

static const stream_callbacks_t stream_callbacks = { NULL, handle_received,
	handle_closed };

listener_t *
listener_create(loop_t *loop, const protocol_t *protocol, tier_t *tier,
    const char *address, error_info_t *error)
{
	int fd = stream_listen(address, error);
	listener_t *listener;

	if (fd < 0)
		return NULL;
	listener = g_new0(listener_t, 1);
	listener->loop = loop;
	listener->protocol = protocol;
	listener->tier = tier;
	listener->fd = fd;
	listener->scratch = g_string_sized_new(2048);
	LIST_INIT(&listener->connections);
	loop_set_fd(loop, fd, EPOLLIN, handle_accept, listener);
	loop_add_timer(loop, run_timer, listener);
	return listener;
}

static void
destroy_connection(caller_connection_t *connection)
{
	LIST_REMOVE(connection, in_listener);
	connection->listener->connection_count--;
	if (connection->needs_reset)
		connection->listener->reset_count--;
	if (connection->is_in_flight)
		connection->listener->in_flight_count--;
	stream_close_after_flush(connection->stream);
	http_message_end(&connection->message);
	g_string_free(connection->backlog, TRUE);
	g_free(connection);
}

static void
close_socket(listener_t *listener)
{
	if (listener->fd < 0)
		return;
	loop_unset_fd(listener->loop, listener->fd);
	close(listener->fd);
	listener->fd = -1;
}

void
listener_destroy(listener_t *listener)
{
	caller_connection_t *connection, *next;

	for (connection = LIST_FIRST(&listener->connections);
	     connection != NULL; connection = next) {
		next = LIST_NEXT(connection, in_listener);
		destroy_connection(connection);
	}
	loop_remove_timer(listener->loop, run_timer, listener);
	close_socket(listener);
	g_string_free(listener->scratch, TRUE);
	g_free(listener);
}

void
listener_set_closing(listener_t *listener)
{
	listener->is_closing = true;
}

void
listener_close_idle(listener_t *listener)
{
	caller_connection_t *connection, *next;

	for (connection = LIST_FIRST(&listener->connections);
	     connection != NULL; connection = next) {
		next = LIST_NEXT(connection, in_listener);
		if (!connection->is_in_flight && !connection->message.is_begun)
			destroy_connection(connection);
	}
}

int
listener_count_in_flight(const listener_t *listener)
{
	return listener->in_flight_count;
}

static bool
is_reading_request(const caller_connection_t *connection)
{
	return connection->message.is_begun && !connection->is_in_flight &&
	       !connection->needs_reset && !connection->is_lingering;
}

bool
listener_has_open_work(const listener_t *listener)
{
	const caller_connection_t *connection;

	if (listener->in_flight_count > 0 || listener->reset_count > 0)
		return true;
	LIST_FOREACH(connection, &listener->connections, in_listener)
	if (is_reading_request(connection))
		return true;
	return false;
}

void
listener_refuse_unread(listener_t *listener)
{
	caller_connection_t *connection;

	LIST_FOREACH(connection, &listener->connections, in_listener)
	if (is_reading_request(connection))
		reject_message(connection, 503, "this VM stops");
}

const http_message_t *
listener_get_request(void *caller)
{
	return &((caller_connection_t *)caller)->message;
}

/* Frees a descriptor: closes the connection that has been idle longest. */
static bool
close_longest_idle(listener_t *listener)
{
	caller_connection_t *connection, *longest = NULL;

	LIST_FOREACH(connection, &listener->connections, in_listener)
	if (!connection->is_in_flight && !connection->needs_reset &&
	    !connection->message.is_begun &&
	    (longest == NULL || connection->since_us < longest->since_us))
		longest = connection;
	if (longest == NULL)
		return false;
	destroy_connection(longest);
	return true;
}

/* False: none is waiting, or there is no descriptor for it. */
static bool
accept_connection(listener_t *listener)
{
	int accepted =
	    accept4(listener->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	const caller_limits_t *limits;
	caller_connection_t *connection;

	if (accepted < 0)
		return false;
	if (listener->connection_count >= CALLER_CONNECTIONS_MAX &&
	    !close_longest_idle(listener)) {
		metric_add(METRIC_TIER_CALLERS_TURNED_AWAY, 1);
		close(accepted);
		return false;
	}
	limits = tier_get_limits(listener->tier);
	connection = g_new0(caller_connection_t, 1);
	connection->listener = listener;
	connection->since_us = clock_get_us();
	connection->backlog = g_string_new(NULL);
	http_message_begin(&connection->message, true, limits->max_header_bytes,
	    limits->max_body_bytes);
	connection->stream = stream_create_from_fd(
	    listener->loop, accepted, &stream_callbacks, connection);
	listener->connection_count++;
	connection->rtt_us = stream_get_rtt_us(connection->stream);
	LIST_INSERT_HEAD(&listener->connections, connection, in_listener);
	return true;
}

static void
handle_accept(void *context, int fd, uint32_t events)
{
	for (int i = 0; i < ACCEPTS_PER_EVENT; i++)
		if (!accept_connection(context))
			return;
}

void
listener_stop_listening(listener_t *listener)
{
	if (listener->fd < 0)
		return;
	while (accept_connection(listener))
		;
	close_socket(listener);
}

/* ---- Answers ---- */

static void
write_status_answer(
    GString *out, const tier_answer_t *answer, bool is_without_body)
{
	char body[256];
	int length = snprintf(body, sizeof(body), "{\"error\":\"%s\"}\n",
	    answer->reason != NULL ? answer->reason : "");

	if (answer->retry_after_us > 0)
		g_string_append_printf(out, "Retry-After: %.3f\r\n",
		    (double)answer->retry_after_us / 1e6);
	g_string_append_printf(out,
	    "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
	    length, is_without_body ? "" : body);
}

static void
write_gather_answer(GString *out, const protocol_t *protocol,
    const tier_answer_t *answer, bool is_without_body)
{
	protocol->write_gather_headers(out, answer);
	g_string_append_printf(out,
	    "Content-Length: %" G_GSIZE_FORMAT "\r\n\r\n",
	    answer->records->len);
	if (!is_without_body)
		g_string_append_len(
		    out, answer->records->str, (gssize)answer->records->len);
}

/* Writes the leaf's answer without its hop-by-hop headers. */
static void
write_leaf_answer(GString *out, const tier_answer_t *answer)
{
	static const char *const none[] = { NULL };
	const http_message_t *message = answer->leaf_message;
	const char *length = http_get_header(message, "content-length");

	http_append_end_to_end_headers(out, message, none);
	if (message->is_without_body && length != NULL)
		g_string_append_printf(
		    out, "Content-Length: %s\r\n\r\n", length);
	else if (answer->status == 204 || answer->status == 304)
		g_string_append(out, "\r\n");
	else
		g_string_append_printf(out,
		    "Content-Length: %" G_GSIZE_FORMAT "\r\n\r\n",
		    message->body->len);
	g_string_append_len(
	    out, message->body->str, (gssize)message->body->len);
}

/* Pipelined behind the present request; in part, perhaps. */
static bool
has_next_request(const caller_connection_t *connection)
{
	return connection->backlog->len > 0 ||
	       stream_has_unread(connection->stream);
}

void
listener_send_answer(void *caller, const tier_answer_t *answer)
{
	caller_connection_t *connection = caller;
	listener_t *listener = connection->listener;
	GString *out = g_string_truncate(listener->scratch, 0);
	bool is_without_body = connection->message.parser.method == HTTP_HEAD;

	if (!connection->message.is_persistent ||
	    (listener->is_closing && !has_next_request(connection)))
		connection->is_closing = true;
	g_string_append_printf(out, "HTTP/1.1 %d %s\r\n", answer->status,
	    http_get_reason_phrase(answer->status));
	if (connection->is_closing)
		g_string_append(out, "Connection: close\r\n");
	switch (answer->type) {
	case ANSWER_STATUS:
		write_status_answer(out, answer, is_without_body);
		break;
	case ANSWER_GATHER:
		write_gather_answer(
		    out, listener->protocol, answer, is_without_body);
		break;
	case ANSWER_LEAF:
		write_leaf_answer(out, answer);
		break;
	}
	stream_write(connection->stream, out->str, out->len);
	connection->request = NULL;
	connection->is_in_flight = false;
	listener->reset_count++;
	/* The timer resets the message: its strings are still in use. */
	connection->needs_reset = true;
	listener->in_flight_count--;
	loop_wake(listener->loop);
}

/* ---- Requests ---- */

static void
begin_request(caller_connection_t *connection)
{
	listener_t *listener = connection->listener;
	int64_t now_us = clock_get_us();
	tier_request_info_t info = { .arrived_us = now_us };
	tier_answer_t answer = { .type = ANSWER_STATUS, .status = 400 };
	tier_request_t *request;

	connection->is_in_flight = true;
	listener->in_flight_count++;
	info.host = http_get_header(&connection->message, "host");
	info.target = http_get_target(&connection->message);
	info.rtt_us = connection->rtt_us;
	info.is_on_new_connection = !connection->has_answered;
	listener->protocol->read_request_info(&connection->message, &info);
	if (info.host == NULL || info.target[0] != '/' || !info.has_id) {
		metric_add(METRIC_BAD_REQUESTS, 1);
		answer.reason = "Host, a path and a request id are needed";
		listener_send_answer(connection, &answer);
		return;
	}
	request = tier_begin(listener->tier, now_us, &info, connection);
	if (!connection->needs_reset)
		connection->request = request;
}

static void
reject_message(caller_connection_t *connection, int status, const char *reason)
{
	tier_answer_t answer = {
		.type = ANSWER_STATUS, .status = status, .reason = reason
	};

	metric_add(METRIC_BAD_REQUESTS, 1);
	connection->is_in_flight = true;
	connection->listener->in_flight_count++;
	connection->is_closing = true;
	connection->is_rejected = true;
	listener_send_answer(connection, &answer);
}

/*
 * Parses at most one request. The bytes after it stay buffered until that
 * request is answered.
 */
static void
parse_request(caller_connection_t *connection, const char *data, size_t length)
{
	size_t used;

	if (!connection->message.is_begun && length > 0)
		connection->since_us = clock_get_us();
	switch (http_message_feed(&connection->message, data, length, &used)) {
	case HTTP_INCOMPLETE:
		if (connection->message.has_head &&
		    !connection->has_sent_continue &&
		    http_get_header(&connection->message, "expect") != NULL) {
			static const char continue_response[] =
			    "HTTP/1.1 100 Continue\r\n\r\n";

			connection->has_sent_continue = true;
			stream_write(connection->stream, continue_response,
			    sizeof(continue_response) - 1);
		}
		return;
	case HTTP_INVALID:
		if (connection->message.is_head_over_limit)
			reject_message(
			    connection, 431, "the headers are too large");
		else if (connection->message.is_body_over_limit)
			reject_message(
			    connection, 413, "the body is too large");
		else
			reject_message(connection, 400, "not a valid request");
		return;
	case HTTP_COMPLETE:
		g_string_append_len(
		    connection->backlog, data + used, (gssize)(length - used));
		begin_request(connection);
		return;
	}
}

static void
handle_received(void *context, const char *data, size_t length)
{
	caller_connection_t *connection = context;

	if (connection->is_lingering)
		return;
	if (!connection->is_in_flight && !connection->needs_reset) {
		parse_request(connection, data, length);
		return;
	}
	g_string_append_len(connection->backlog, data, (gssize)length);
	if (connection->backlog->len > BACKLOG_BYTES_MAX)
		stream_set_reading(connection->stream, false);
}

static void
handle_closed(void *context, bool is_clean)
{
	caller_connection_t *connection = context;

	if (connection->request != NULL)
		tier_handle_disconnect(connection->listener->tier,
		    clock_get_us(), connection->request);
	destroy_connection(connection);
}

/* After an answer: closes, or parses the bytes buffered meanwhile. */
static void
reset_connection(caller_connection_t *connection, int64_t now_us)
{
	const caller_limits_t *limits =
	    tier_get_limits(connection->listener->tier);
	GString *backlog = connection->backlog;

	/* The process must not end before the answer is written. */
	if (connection->is_closing && connection->listener->is_closing &&
	    !stream_is_flushed(connection->stream))
		return;
	connection->needs_reset = false;
	connection->has_answered = true;
	connection->has_sent_continue = false;
	connection->listener->reset_count--;
	if (connection->is_closing &&
	    (connection->is_rejected || connection->listener->is_closing) &&
	    stream_is_flushed(connection->stream)) {
		connection->is_lingering = true;
		connection->since_us = now_us;
		stream_shutdown_write(connection->stream);
		return;
	}
	if (connection->is_closing) {
		destroy_connection(connection);
		return;
	}
	connection->message.head_bytes_max = limits->max_header_bytes;
	connection->message.body_bytes_max = limits->max_body_bytes;
	http_message_reset(&connection->message);
	connection->since_us = now_us;
	if (backlog->len == 0)
		return;
	connection->backlog = g_string_new(NULL);
	stream_set_reading(connection->stream, true);
	parse_request(connection, backlog->str, backlog->len);
	g_string_free(backlog, TRUE);
}

static void
check_timeouts(caller_connection_t *connection, int64_t now_us)
{
	const caller_limits_t *limits =
	    tier_get_limits(connection->listener->tier);
	int64_t age_us = now_us - connection->since_us;

	if (connection->is_in_flight)
		return;
	if (connection->is_lingering && age_us > LINGER_US)
		destroy_connection(connection);
	else if (connection->is_lingering)
		return;
	else if (!connection->message.is_begun &&
		 age_us > limits->idle_timeout_us)
		destroy_connection(connection);
	else if (connection->message.is_begun &&
		 age_us > limits->read_timeout_us)
		reject_message(connection, 408, "the request took too long");
}

static int64_t
run_timer(void *context)
{
	listener_t *listener = context;
	caller_connection_t *connection, *next;
	int64_t now_us = clock_get_us();
	bool is_check_due = now_us >= listener->timeout_check_due_us;

	if (is_check_due)
		listener->timeout_check_due_us = now_us + TIMEOUT_CHECK_US;
	else if (listener->reset_count == 0)
		return listener->timeout_check_due_us;
	for (connection = LIST_FIRST(&listener->connections);
	     connection != NULL; connection = next) {
		next = LIST_NEXT(connection, in_listener);
		if (connection->needs_reset)
			reset_connection(connection, now_us);
		else if (is_check_due)
			check_timeouts(connection, now_us);
	}
	return LIST_EMPTY(&listener->connections)
		   ? INT64_MAX
		   : listener->timeout_check_due_us;
}
