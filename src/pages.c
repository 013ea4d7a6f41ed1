/**
 * @file pages.c
 * A small HTTP server for readiness and metrics, on the control thread.
 */
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tier_shell.h"

#define PAGE_HEAD_BYTES 8192
#define PAGE_BODY_BYTES 1024

typedef struct page_link {
	LIST_ENTRY(page_link) in_pages;
	pages_t *pages;
	stream_t *stream;
	http_message_t message;
} page_link_t;

struct pages {
	loop_t *loop;
	int fd;
	pages_fn_t callback;
	void *context;
	LIST_HEAD(, page_link) links;
};

static void handle_accept(void *context, int fd, uint32_t events);
static void handle_received(void *context, const char *data, size_t length);
static void handle_closed(void *context, bool is_clean);

static const stream_hooks_t stream_hooks = { NULL, handle_received,
	handle_closed };

pages_t *
pages_create(loop_t *loop, const char *address, pages_fn_t callback,
    void *context, error_info_t *error)
{
	int fd = stream_listen(address, error);
	pages_t *pages;

	if (fd < 0)
		return NULL;
	pages = g_new0(pages_t, 1);
	pages->loop = loop;
	pages->fd = fd;
	pages->callback = callback;
	pages->context = context;
	LIST_INIT(&pages->links);
	loop_set_fd(loop, fd, EPOLLIN, handle_accept, pages);
	return pages;
}

static void
destroy_link(page_link_t *link)
{
	LIST_REMOVE(link, in_pages);
	stream_finish(link->stream);
	http_message_end(&link->message);
	g_free(link);
}

void
pages_destroy(pages_t *pages)
{
	page_link_t *link, *next;

	if (pages == NULL)
		return;
	for (link = LIST_FIRST(&pages->links); link != NULL; link = next) {
		next = LIST_NEXT(link, in_pages);
		destroy_link(link);
	}
	loop_unset_fd(pages->loop, pages->fd);
	close(pages->fd);
	g_free(pages);
}

static void
handle_accept(void *context, int fd, uint32_t events)
{
	pages_t *pages = context;
	int accepted = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	page_link_t *link;

	if (accepted < 0)
		return;
	link = g_new0(page_link_t, 1);
	link->pages = pages;
	http_message_begin(
	    &link->message, true, PAGE_HEAD_BYTES, PAGE_BODY_BYTES);
	link->stream = stream_adopt(pages->loop, accepted, &stream_hooks, link);
	LIST_INSERT_HEAD(&pages->links, link, in_pages);
}

static void
answer(page_link_t *link)
{
	int status = 200;
	char *body = link->pages->callback(
	    link->pages->context, http_get_target(&link->message), &status);
	GString *out = g_string_new(NULL);

	g_string_printf(out,
	    "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n"
	    "Content-Length: %" G_GSIZE_FORMAT "\r\n\r\n%s",
	    status, http_get_reason(status),
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

		if (state == HTTP_PARTIAL)
			return;
		if (state == HTTP_BROKEN) {
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
