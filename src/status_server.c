/**
 * @file status_server.c
 * A small HTTP server for readiness and metrics, on the control thread.
 */
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tier_process.h"

#define PAGE_HEAD_BYTES 8192
#define PAGE_BODY_BYTES 1024

typedef struct page_link {
	LIST_ENTRY(page_link) in_server;
	status_server_t *server;
	stream_t *stream;
	http_message_t message;
} page_link_t;

struct status_server {
	loop_t *loop;
	int fd;
	status_handler_t callback;
	void *context;
	LIST_HEAD(, page_link) links;
};

static void handle_accept(void *context, int fd, uint32_t events);
static void handle_received(void *context, const char *data, size_t length);
static void handle_closed(void *context, bool is_clean);

static const stream_callbacks_t stream_callbacks = { NULL, handle_received,
	handle_closed };

status_server_t *
status_server_create(loop_t *loop, const char *address,
    status_handler_t callback, void *context, error_info_t *error)
{
	int fd = stream_listen(address, error);
	status_server_t *server;

	if (fd < 0)
		return NULL;
	server = g_new0(status_server_t, 1);
	server->loop = loop;
	server->fd = fd;
	server->callback = callback;
	server->context = context;
	LIST_INIT(&server->links);
	loop_set_fd(loop, fd, EPOLLIN, handle_accept, server);
	return server;
}

static void
destroy_link(page_link_t *link)
{
	LIST_REMOVE(link, in_server);
	stream_close_after_flush(link->stream);
	http_message_end(&link->message);
	g_free(link);
}

void
status_server_destroy(status_server_t *server)
{
	page_link_t *link, *next;

	if (server == NULL)
		return;
	for (link = LIST_FIRST(&server->links); link != NULL; link = next) {
		next = LIST_NEXT(link, in_server);
		destroy_link(link);
	}
	loop_unset_fd(server->loop, server->fd);
	close(server->fd);
	g_free(server);
}

static void
handle_accept(void *context, int fd, uint32_t events)
{
	status_server_t *server = context;
	int accepted = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	page_link_t *link;

	if (accepted < 0)
		return;
	link = g_new0(page_link_t, 1);
	link->server = server;
	http_message_begin(
	    &link->message, true, PAGE_HEAD_BYTES, PAGE_BODY_BYTES);
	link->stream = stream_create_from_fd(
	    server->loop, accepted, &stream_callbacks, link);
	LIST_INSERT_HEAD(&server->links, link, in_server);
}

static void
answer(page_link_t *link)
{
	int status = 200;
	char *body = link->server->callback(
	    link->server->context, http_get_target(&link->message), &status);
	GString *out = g_string_new(NULL);

	g_string_printf(out,
	    "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n"
	    "Content-Length: %" G_GSIZE_FORMAT "\r\n\r\n%s",
	    status, http_get_reason_phrase(status),
	    body != NULL ? strlen(body) : (gsize)0, body != NULL ? body : "");
	stream_write(link->stream, out->str, out->len);
	g_string_free(out, TRUE);
	g_free(body);
}

static void
handle_received(void *context, const char *data, size_t length)
{
	page_link_t *link = context;
	size_t used;

	while (length > 0) {
		http_state_t state =
		    http_message_feed(&link->message, data, length, &used);

		if (state == HTTP_INCOMPLETE)
			return;
		if (state == HTTP_INVALID) {
			destroy_link(link);
			return;
		}
		answer(link);
		if (!link->message.is_persistent) {
			destroy_link(link);
			return;
		}
		http_message_reset(&link->message);
		data += used;
		length -= used;
	}
}

static void
handle_closed(void *context, bool is_clean)
{
	destroy_link(context);
}
