/**
 * @file fetch_once.c
 * An upstream reads an order on a kept connection and closes it without an
 * answer: the order must not reach it again.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http.h"

#define TIMEOUT_US 2000000
#define ORDER_TAG  2

typedef struct once_world {
	loop_t *loop;
	fetch_t *fetch;
	char url[64];
	int listen_fd;
	int order_count;  /* that the upstream has read */
	int is_answered;  /* the caller's view of the order */
	int order_status; /* HTTP status of it; 0: no reply */
} once_world_t;

typedef struct server_link {
	once_world_t *world;
	stream_t *stream;
	http_message_t message;
} server_link_t;

static void
close_link(server_link_t *link)
{
	stream_destroy(link->stream);
	http_message_end(&link->message);
	g_free(link);
}

static void
handle_request(void *context, const char *data, size_t length)
{
	static const char ok[] =
	    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
	server_link_t *link = context;
	size_t used;

	if (http_message_feed(&link->message, data, length, &used) !=
	    HTTP_COMPLETE)
		return;
	if (strcmp(http_get_target(&link->message), "/order") == 0) {
		link->world->order_count++;
		close_link(link);
		return;
	}
	http_message_reset(&link->message);
	stream_write(link->stream, ok, sizeof(ok) - 1);
}

static void
handle_close(void *context, bool is_clean)
{
	close_link(context);
}

static const stream_callbacks_t link_callbacks = { NULL, handle_request,
	handle_close };

static void
handle_accept(void *context, int fd, uint32_t events)
{
	int accepted = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	server_link_t *link;

	if (accepted < 0)
		return;
	link = g_new0(server_link_t, 1);
	link->world = context;
	http_message_begin(&link->message, true, 4096, 4096);
	link->stream = stream_create_from_fd(
	    link->world->loop, accepted, &link_callbacks, link);
}

static void
handle_reply(void *context, uint64_t tag, const fetch_reply_t *reply)
{
	once_world_t *world = context;
	char url[96];

	if (tag == ORDER_TAG) {
		world->is_answered = 1;
		world->order_status = reply->http_status;
		loop_stop(world->loop);
		return;
	}
	snprintf(url, sizeof(url), "%s/order", world->url);
	fetch_send_once(world->fetch, "POST", url, "{}", 2, TIMEOUT_US,
	    ORDER_TAG, handle_reply, world);
}

static int
listen_on_loopback(once_world_t *world)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (bind(fd, (struct sockaddr *)&address, length) != 0 ||
	    listen(fd, 8) != 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &length) != 0)
		g_error("cannot listen");
	snprintf(world->url, sizeof(world->url), "http://127.0.0.1:%d",
	    ntohs(address.sin_port));
	return fd;
}

int
main(void)
{
	once_world_t world = { 0 };
	char url[96];
	bool is_good;

	world.loop = loop_create();
	world.listen_fd = listen_on_loopback(&world);
	world.fetch = fetch_create(world.loop, 65536, 4);
	loop_set_fd(
	    world.loop, world.listen_fd, EPOLLIN, handle_accept, &world);
	snprintf(url, sizeof(url), "%s/search", world.url);
	fetch_send(world.fetch, "POST", url, "{}", 2, TIMEOUT_US, 1,
	    handle_reply, &world);
	loop_run(world.loop);
	is_good = world.is_answered && world.order_status == 0 &&
		  world.order_count == 1;
	printf("the order reached the upstream %d times, its caller got %s\n",
	    world.order_count,
	    world.order_status == 0 ? "no reply" : "a reply");
	fetch_destroy(world.fetch);
	loop_unset_fd(world.loop, world.listen_fd);
	close(world.listen_fd);
	loop_destroy(world.loop);
	return is_good ? 0 : 1;
}
