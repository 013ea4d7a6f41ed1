/**
 * @file listener.c
 * Callers' connections: requests in, answers out, within the limits.
 */
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tier_process.h"

#define SWEEP_US       250000
#define LINGER_US      1000000 /* a refused message may still arrive */
#define ACCEPTS_A_TURN 16
#define BACKLOG_BYTES  65536 /* of later requests, while one is in work */

typedef struct caller_link {
	LIST_ENTRY(caller_link) in_listener;
	listener_t *listener;
	stream_t *stream;
	int64_t rtt_us; /* to the caller */
	bool is_old;	/* a request has been answered on it */
	http_message_t message;
	GString *backlog; /* bytes behind the request in work */
	tier_request_t *request;
	int64_t since_us; /* the request's first byte, or idle since */
	bool is_working;  /* a request has no answer yet */
	bool is_closing;  /* closed after the answer */
	bool is_ended;
	bool is_refused;   /* bytes of a refused message may follow */
	bool is_lingering; /* reads on and discards, so that no reset overtakes
			      the answer */
	bool is_continued; /* "100 Continue" was said for this request */
} caller_link_t;

struct listener {
	loop_t *loop;
	const protocol_t *protocol;
	tier_t *tier;
	int fd;
	LIST_HEAD(, caller_link) links;
	int link_count, busy_count, ended_count;
	bool is_closing;
	int64_t sweep_us;
	GString *scratch;
};

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
	LIST_INIT(&listener->links);
	loop_set_fd(loop, fd, EPOLLIN, handle_accept, listener);
	loop_add_timer(loop, run_timer, listener);
	return listener;
}

static void
destroy_link(caller_link_t *link)
{
	LIST_REMOVE(link, in_listener);
	link->listener->link_count--;
	if (link->is_ended)
		link->listener->ended_count--;
	if (link->is_working)
		link->listener->busy_count--;
	stream_close_after_flush(link->stream);
	http_message_end(&link->message);
	g_string_free(link->backlog, TRUE);
	g_free(link);
}

void
listener_destroy(listener_t *listener)
{
	caller_link_t *link, *next;

	for (link = LIST_FIRST(&listener->links); link != NULL; link = next) {
		next = LIST_NEXT(link, in_listener);
		destroy_link(link);
	}
	loop_remove_timer(listener->loop, run_timer, listener);
	loop_unset_fd(listener->loop, listener->fd);
	close(listener->fd);
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
	caller_link_t *link, *next;

	for (link = LIST_FIRST(&listener->links); link != NULL; link = next) {
		next = LIST_NEXT(link, in_listener);
		if (!link->is_working && !link->message.is_begun)
			destroy_link(link);
	}
}

int
listener_count_in_flight(const listener_t *listener)
{
	return listener->busy_count;
}

const http_message_t *
listener_get_request(void *caller)
{
	return &((caller_link_t *)caller)->message;
}

/* Descriptors are limited; a connection without a request is given up first. */
static bool
close_longest_idle(listener_t *listener)
{
	caller_link_t *link, *longest = NULL;

	LIST_FOREACH(link, &listener->links, in_listener)
	if (!link->is_working && !link->is_ended && !link->message.is_begun &&
	    (longest == NULL || link->since_us < longest->since_us))
		longest = link;
	if (longest == NULL)
		return false;
	destroy_link(longest);
	return true;
}

static void
handle_accept(void *context, int fd, uint32_t events)
{
	listener_t *listener = context;

	for (int i = 0; i < ACCEPTS_A_TURN; i++) {
		int accepted =
		    accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
		const caller_limits_t *limits;
		caller_link_t *link;

		if (accepted < 0)
			return;
		if (listener->link_count >= CALLER_CONNECTIONS_MAX &&
		    !close_longest_idle(listener)) {
			metric_add(METRIC_TIER_CALLERS_TURNED_AWAY, 1);
			close(accepted);
			return;
		}
		limits = tier_get_limits(listener->tier);
		link = g_new0(caller_link_t, 1);
		link->listener = listener;
		link->since_us = clock_get_us();
		link->backlog = g_string_new(NULL);
		http_message_begin(&link->message, true, limits->head_bytes,
		    limits->body_bytes);
		link->stream = stream_create_from_fd(
		    listener->loop, accepted, &stream_callbacks, link);
		listener->link_count++;
		link->rtt_us = stream_get_rtt_us(link->stream);
		LIST_INSERT_HEAD(&listener->links, link, in_listener);
	}
}

/* ---- Answers ---- */

static void
write_own(GString *out, const tier_answer_t *answer)
{
	char body[256];
	int length = snprintf(body, sizeof(body), "{\"error\":\"%s\"}\n",
	    answer->reason != NULL ? answer->reason : "");

	if (answer->retry_after_us > 0)
		g_string_append_printf(out, "Retry-After: %.3f\r\n",
		    (double)answer->retry_after_us / 1e6);
	g_string_append_printf(out,
	    "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
	    length, body);
}

static void
write_gather(
    GString *out, const protocol_t *protocol, const tier_answer_t *answer)
{
	protocol->write_gather_headers(out, answer);
	g_string_append_printf(out,
	    "Content-Length: %" G_GSIZE_FORMAT "\r\n\r\n",
	    answer->records->len);
	g_string_append_len(
	    out, answer->records->str, (gssize)answer->records->len);
}

/* The leaf's answer untouched, but for what concerns one connection. */
static void
write_leaf(GString *out, const tier_answer_t *answer)
{
	static const char *const none[] = { NULL };
	const http_message_t *message = answer->leaf_answer;
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

void
listener_send_answer(void *caller, const tier_answer_t *answer)
{
	caller_link_t *link = caller;
	listener_t *listener = link->listener;
	GString *out = g_string_truncate(listener->scratch, 0);

	if (!link->message.is_persistent || listener->is_closing)
		link->is_closing = true;
	g_string_append_printf(out, "HTTP/1.1 %d %s\r\n", answer->status,
	    http_get_reason_phrase(answer->status));
	if (link->is_closing)
		g_string_append(out, "Connection: close\r\n");
	switch (answer->type) {
	case ANSWER_OWN:
		write_own(out, answer);
		break;
	case ANSWER_GATHER:
		write_gather(out, listener->protocol, answer);
		break;
	case ANSWER_LEAF:
		write_leaf(out, answer);
		break;
	}
	stream_write(link->stream, out->str, out->len);
	link->request = NULL;
	link->is_working = false;
	listener->ended_count++;
	link->is_ended = true; /* reset once no caller's string is in use */
	listener->busy_count--;
	loop_wake(listener->loop);
}

/* ---- Requests ---- */

static void
begin_request(caller_link_t *link)
{
	listener_t *listener = link->listener;
	int64_t now_us = clock_get_us();
	tier_ask_t ask = { .arrived_us = now_us };
	tier_answer_t answer = { .type = ANSWER_OWN, .status = 400 };
	tier_request_t *request;

	link->is_working = true;
	listener->busy_count++;
	ask.host = http_get_header(&link->message, "host");
	ask.target = http_get_target(&link->message);
	ask.rtt_us = link->rtt_us;
	ask.is_on_new_connection = !link->is_old;
	listener->protocol->read_request_info(&link->message, &ask);
	if (ask.host == NULL || ask.target[0] != '/' || !ask.has_id) {
		metric_add(METRIC_BAD_REQUESTS, 1);
		answer.reason = "Host, a path and a request id are needed";
		listener_send_answer(link, &answer);
		return;
	}
	request = tier_begin(listener->tier, now_us, &ask, link);
	if (!link->is_ended)
		link->request = request;
}

static void
refuse_message(caller_link_t *link, int status, const char *reason)
{
	tier_answer_t answer = {
		.type = ANSWER_OWN, .status = status, .reason = reason
	};

	metric_add(METRIC_BAD_REQUESTS, 1);
	link->is_working = true;
	link->listener->busy_count++;
	link->is_closing = true;
	link->is_refused = true;
	listener_send_answer(link, &answer);
}

/* Feeds bytes until a request is whole; the rest waits for its answer. */
static void
feed_link(caller_link_t *link, const char *data, size_t length)
{
	size_t used;

	if (!link->message.is_begun && length > 0)
		link->since_us = clock_get_us();
	switch (http_message_feed(&link->message, data, length, &used)) {
	case HTTP_INCOMPLETE:
		if (link->message.has_head && !link->is_continued &&
		    http_get_header(&link->message, "expect") != NULL) {
			static const char go_on[] =
			    "HTTP/1.1 100 Continue\r\n\r\n";

			link->is_continued = true;
			stream_write(link->stream, go_on, sizeof(go_on) - 1);
		}
		return;
	case HTTP_INVALID:
		if (link->message.is_head_over_limit)
			refuse_message(link, 431, "the headers are too large");
		else if (link->message.is_body_over_limit)
			refuse_message(link, 413, "the body is too large");
		else
			refuse_message(link, 400, "not a valid request");
		return;
	case HTTP_COMPLETE:
		g_string_append_len(
		    link->backlog, data + used, (gssize)(length - used));
		begin_request(link);
		return;
	}
}

static void
handle_received(void *context, const char *data, size_t length)
{
	caller_link_t *link = context;

	if (link->is_lingering)
		return;
	if (!link->is_working && !link->is_ended) {
		feed_link(link, data, length);
		return;
	}
	g_string_append_len(link->backlog, data, (gssize)length);
	if (link->backlog->len > BACKLOG_BYTES)
		stream_set_reading(link->stream, false);
}

static void
handle_closed(void *context, bool is_clean)
{
	caller_link_t *link = context;

	if (link->request != NULL)
		tier_handle_gone(
		    link->listener->tier, clock_get_us(), link->request);
	destroy_link(link);
}

/* After an answer: closes, or goes on with what has arrived meanwhile. */
static void
renew_link(caller_link_t *link, int64_t now_us)
{
	const caller_limits_t *limits = tier_get_limits(link->listener->tier);
	GString *backlog = link->backlog;

	link->is_ended = false;
	link->is_old = true;
	link->is_continued = false;
	link->listener->ended_count--;
	if (link->is_closing && link->is_refused &&
	    stream_is_flushed(link->stream)) {
		link->is_lingering = true;
		link->since_us = now_us;
		stream_shutdown_write(link->stream);
		return;
	}
	if (link->is_closing) {
		destroy_link(link);
		return;
	}
	link->message.head_bytes_max = limits->head_bytes;
	link->message.body_bytes_max = limits->body_bytes;
	http_message_reset(&link->message);
	link->since_us = now_us;
	if (backlog->len == 0)
		return;
	link->backlog = g_string_new(NULL);
	stream_set_reading(link->stream, true);
	feed_link(link, backlog->str, backlog->len);
	g_string_free(backlog, TRUE);
}

static void
sweep_link(caller_link_t *link, int64_t now_us)
{
	const caller_limits_t *limits = tier_get_limits(link->listener->tier);
	int64_t age_us = now_us - link->since_us;

	if (link->is_working)
		return;
	if (link->is_lingering && age_us > LINGER_US)
		destroy_link(link);
	else if (link->is_lingering)
		return;
	else if (!link->message.is_begun && age_us > limits->idle_us)
		destroy_link(link);
	else if (link->message.is_begun && age_us > limits->read_us)
		refuse_message(link, 408, "the request took too long");
}

static int64_t
run_timer(void *context)
{
	listener_t *listener = context;
	caller_link_t *link, *next;
	int64_t now_us = clock_get_us();
	bool is_sweep = now_us >= listener->sweep_us;

	if (is_sweep)
		listener->sweep_us = now_us + SWEEP_US;
	else if (listener->ended_count == 0)
		return listener->sweep_us;
	for (link = LIST_FIRST(&listener->links); link != NULL; link = next) {
		next = LIST_NEXT(link, in_listener);
		if (link->is_ended)
			renew_link(link, now_us);
		else if (is_sweep)
			sweep_link(link, now_us);
	}
	return LIST_EMPTY(&listener->links) ? INT64_MAX : listener->sweep_us;
}
