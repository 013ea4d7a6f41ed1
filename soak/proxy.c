/**
 * @file proxy.c
 * TCP connections that pass through this process, and what a network does to
 * them at times.
 */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http.h"
#include "soak.h"

#define THROTTLE_BYTES_US 0.02	 /* 20 kB a second */
#define BUFFER_MOST	  262144 /* held for one side; then it is not read */
/*
 * On loopback the kernel answers keep-alive probes in the silent peer's place,
 * so a connection that is held for so long is reset, as the VMs' probes would.
 */
#define PROBED_US 4000000

/** Bytes on their way to one side. */
typedef struct chunk {
	int64_t due_us;
	GString *bytes;
} chunk_t;

/** One side of a connection. */
typedef struct side {
	struct proxy_link *link;
	struct side *other;
	stream_t *stream;
	GQueue chunks; /* towards this side */
	size_t waiting;
	int64_t last_due_us;
	bool is_closed; /* it has sent its last byte */
} side_t;

typedef struct proxy_link {
	LIST_ENTRY(proxy_link) in_proxy;
	proxy_t *proxy;
	int fd;		  /* of the listening side */
	side_t near, far; /* listening side, and where it leads */
	int64_t held_us;  /* since then; 0: not held */
	bool is_mute, is_over;
} proxy_link_t;

struct proxy {
	loop_t *loop;
	int fd;
	char to[ENDPOINT_BYTES];
	LIST_HEAD(, proxy_link) links;
	proxy_fault_t fault;
	int64_t delay_us;
};

static void handle_received(void *context, const char *data, size_t length);
static void handle_closed(void *context, bool is_clean);
static int64_t run_timer(void *context);

static const stream_callbacks_t side_hooks = { NULL, handle_received,
	handle_closed };

static void
begin_side(side_t *side, proxy_link_t *link, side_t *other)
{
	side->link = link;
	side->other = other;
	g_queue_init(&side->chunks);
}

static void
free_chunk(gpointer data)
{
	chunk_t *chunk = data;

	g_string_free(chunk->bytes, TRUE);
	g_free(chunk);
}

/* With a reset, the listening side's peer loses what it has not read. */
static void
destroy_link(proxy_link_t *link, bool is_reset)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	if (is_reset && !link->near.is_closed)
		setsockopt(
		    link->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	LIST_REMOVE(link, in_proxy);
	stream_destroy(link->near.stream);
	stream_destroy(link->far.stream);
	g_queue_clear_full(&link->near.chunks, free_chunk);
	g_queue_clear_full(&link->far.chunks, free_chunk);
	g_free(link);
}

static void
destroy_links(proxy_t *proxy, bool is_reset)
{
	proxy_link_t *link, *next;

	for (link = LIST_FIRST(&proxy->links); link != NULL; link = next) {
		next = LIST_NEXT(link, in_proxy);
		destroy_link(link, is_reset);
	}
}

static void
handle_accept(void *context, int fd, uint32_t events)
{
	proxy_t *proxy = context;
	int accepted = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	proxy_link_t *link;

	if (accepted < 0 && errno == EMFILE) {
		fprintf(stderr, "soak: no descriptor is left; use fewer VMs or "
				"shards\n");
		exit(1);
	}
	if (accepted < 0)
		return;
	link = g_new0(proxy_link_t, 1);
	link->proxy = proxy;
	link->fd = accepted;
	begin_side(&link->near, link, &link->far);
	begin_side(&link->far, link, &link->near);
	link->near.stream = stream_create_from_fd(
	    proxy->loop, accepted, &side_hooks, &link->near);
	LIST_INSERT_HEAD(&proxy->links, link, in_proxy);
	if (proxy->fault == PROXY_REFUSE) {
		destroy_link(link, true);
		return;
	}
	link->far.stream =
	    stream_connect(proxy->loop, proxy->to, &side_hooks, &link->far);
	if (link->far.stream == NULL) /* refused at once */
		destroy_link(link, true);
}

proxy_t *
proxy_create(loop_t *loop, int port, int to_port)
{
	proxy_t *proxy = g_new0(proxy_t, 1);
	char address[ENDPOINT_BYTES];
	error_info_t error = { 0 };

	proxy->loop = loop;
	g_snprintf(proxy->to, sizeof(proxy->to), "127.0.0.1:%d", to_port);
	g_snprintf(address, sizeof(address), "127.0.0.1:%d", port);
	LIST_INIT(&proxy->links);
	proxy->fd = stream_listen(address, &error);
	if (proxy->fd < 0) {
		fprintf(stderr, "soak: %s: %s\n", error.peer, error.text);
		exit(1);
	}
	loop_set_fd(loop, proxy->fd, EPOLLIN, handle_accept, proxy);
	loop_add_timer(loop, run_timer, proxy);
	return proxy;
}

void
proxy_destroy(proxy_t *proxy)
{
	destroy_links(proxy, false);
	loop_remove_timer(proxy->loop, run_timer, proxy);
	loop_unset_fd(proxy->loop, proxy->fd);
	close(proxy->fd);
	g_free(proxy);
}

/* Whether bytes towards this side are held back now. */
static bool
is_held(const side_t *side)
{
	const proxy_link_t *link = side->link;
	proxy_fault_t fault = link->proxy->fault;

	return link->is_mute || fault == PROXY_CUT ||
	       (fault == PROXY_CUT_OUT && side == &link->near);
}

static int64_t
get_due_us(side_t *side, size_t length, int64_t now_us)
{
	const proxy_t *proxy = side->link->proxy;
	int64_t due_us = now_us;

	if (proxy->fault == PROXY_DELAY)
		due_us += proxy->delay_us;
	due_us = MAX(due_us, side->last_due_us);
	if (proxy->fault == PROXY_THROTTLE)
		due_us += (int64_t)((double)length / THROTTLE_BYTES_US);
	side->last_due_us = due_us;
	return due_us;
}

static void
handle_received(void *context, const char *data, size_t length)
{
	side_t *to = ((side_t *)context)->other;
	int64_t now_us = clock_get_us();
	int64_t due_us = get_due_us(to, length, now_us);
	chunk_t *chunk;

	if (due_us <= now_us && !is_held(to) && g_queue_is_empty(&to->chunks)) {
		stream_write(to->stream, data, length);
		return;
	}
	chunk = g_new0(chunk_t, 1);
	chunk->due_us = due_us;
	chunk->bytes = g_string_new_len(data, (gssize)length);
	g_queue_push_tail(&to->chunks, chunk);
	to->waiting += length;
	if (to->waiting > BUFFER_MOST)
		stream_set_reading(to->other->stream, false);
	loop_wake(to->link->proxy->loop);
}

/* The end of one side reaches the other behind its last bytes. */
static void
handle_closed(void *context, bool is_clean)
{
	side_t *side = context;

	side->is_closed = true;
	loop_wake(side->link->proxy->loop);
}

/* Writes what is due; returns when the next is, INT64_MAX for never. */
static int64_t
run_side(side_t *side, int64_t now_us)
{
	chunk_t *chunk;

	if (is_held(side))
		return INT64_MAX;
	while ((chunk = g_queue_peek_head(&side->chunks)) != NULL) {
		if (chunk->due_us > now_us)
			return chunk->due_us;
		stream_write(
		    side->stream, chunk->bytes->str, chunk->bytes->len);
		side->waiting -= chunk->bytes->len;
		free_chunk(g_queue_pop_head(&side->chunks));
		if (side->waiting <= BUFFER_MOST && !side->other->is_closed)
			stream_set_reading(side->other->stream, true);
	}
	if (side->other->is_closed)
		side->link->is_over = true;
	return INT64_MAX;
}

/* Both sides end once what was sent to them is written. */
static void
finish_link(proxy_link_t *link)
{
	side_t *sides[] = { &link->near, &link->far };

	for (int i = 0; i < 2; i++) {
		if (sides[i]->is_closed)
			stream_destroy(sides[i]->stream);
		else
			stream_close_after_flush(sides[i]->stream);
		sides[i]->stream = NULL;
	}
	destroy_link(link, false);
}

static bool
is_held_too_long(proxy_link_t *link, int64_t now_us)
{
	if (!is_held(&link->near) && !is_held(&link->far))
		link->held_us = 0;
	else if (link->held_us == 0)
		link->held_us = now_us;
	return link->held_us != 0 && now_us - link->held_us > PROBED_US;
}

static int64_t
run_timer(void *context)
{
	proxy_t *proxy = context;
	proxy_link_t *link, *next;
	int64_t now_us = clock_get_us();
	int64_t due_us = INT64_MAX;

	for (link = LIST_FIRST(&proxy->links); link != NULL; link = next) {
		next = LIST_NEXT(link, in_proxy);
		due_us = MIN(due_us, run_side(&link->near, now_us));
		due_us = MIN(due_us, run_side(&link->far, now_us));
		if (link->is_over)
			finish_link(link);
		else if (is_held_too_long(link, now_us))
			destroy_link(link, true);
	}
	return due_us;
}

void
proxy_set_fault(proxy_t *proxy, proxy_fault_t fault, int64_t delay_us)
{
	proxy->fault = fault;
	proxy->delay_us = delay_us;
	loop_wake(proxy->loop);
}

void
proxy_reset(proxy_t *proxy)
{
	destroy_links(proxy, true);
}

void
proxy_mute(proxy_t *proxy)
{
	proxy_link_t *link;

	LIST_FOREACH(link, &proxy->links, in_proxy)
	link->is_mute = true;
}
