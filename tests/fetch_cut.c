/**
 * @file fetch_cut.c
 * A peer stops at each byte of its reply and closes: a reply that is not whole
 * must never look like one, also if it ended inside the head.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "plantainarch.h"

#define TIMEOUT_US 2000000

static const struct reply_case {
	const char *head, *body;
	bool ends_with_connection; /* the body, which has no length */
	/* Behind the last chunk; libcurl does not wait for the line feed. */
	size_t unneeded;
} cases[] = {
	{ "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 2\r\n\r\n", "{}", false,
	    0 },
	{ "HTTP/1.1 200 OK\r\nX: y\r\n\r\n", "{}", true, 0 },
	{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	    "2\r\n{}\r\n0\r\n\r\n", false, 1 },
	{ "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\n\r\n", "{}",
	    true, 0 },
};

typedef struct cut_world {
	loop_t *loop;
	fetch_t *fetch;
	char url[64];
	int listen_fd;
	char *sent;
	size_t sent_length;
	int status; /* as the client sees it; 0: no reply */
	bool has_error;
} cut_world_t;

/* One thread: the peer of one request. */
static gpointer
run_peer(gpointer context)
{
	cut_world_t *world = context;
	char request[4096];
	int fd = accept(world->listen_fd, NULL, NULL);

	if (recv(fd, request, sizeof(request), 0) > 0)
		send(fd, world->sent, world->sent_length, MSG_NOSIGNAL);
	shutdown(fd, SHUT_WR);
	while (recv(fd, request, sizeof(request), 0) > 0)
		;
	close(fd);
	return NULL;
}

static void
handle_reply(void *context, uint64_t tag, const fetch_reply_t *reply)
{
	cut_world_t *world = context;

	world->status = reply->http_status;
	world->has_error = reply->error != NULL;
	loop_stop(world->loop);
}

/* Status of one request; way 0 to 2: normal, once, blocking. */
static int
ask(cut_world_t *world, int way)
{
	GThread *peer = g_thread_new("peer", run_peer, world);
	GString *reply = g_string_new(NULL);
	error_info_t error;

	world->status = 0;
	if (way == 2) {
		if (!fetch_run_blocking("POST", world->url, "{}", TIMEOUT_US,
			&world->status, NULL, reply, &error)) {
			world->status = 0;
			world->has_error = true;
		}
	} else {
		world->loop = loop_create();
		world->fetch = fetch_create(world->loop, 65536, 4);
		(way == 0 ? fetch_send : fetch_send_once)(world->fetch, "POST",
		    world->url, "{}", 2, TIMEOUT_US, 1, handle_reply, world);
		loop_run(world->loop);
		fetch_destroy(world->fetch);
		loop_destroy(world->loop);
	}
	g_thread_join(peer);
	g_string_free(reply, TRUE);
	return world->status;
}

static int
check_case(cut_world_t *world, const struct reply_case *each)
{
	size_t head_length = strlen(each->head);
	int errors = 0;

	world->sent = g_strconcat(each->head, each->body, NULL);
	for (size_t cut = 0; cut <= strlen(world->sent); cut++)
		for (int way = 0; way < 3; way++) {
			bool is_whole =
			    cut + each->unneeded >= strlen(world->sent) ||
			    (each->ends_with_connection && cut >= head_length);
			int status;

			world->sent_length = cut;
			status = ask(world, way);
			if ((status == 200) == is_whole)
				continue;
			printf("cut at %zu of %zu, way %d: status %d\n", cut,
			    strlen(world->sent), way, status);
			errors++;
		}
	g_free(world->sent);
	return errors;
}

/* A status that HTTP does not have is no reply, in no way of asking. */
static int
check_statuses(cut_world_t *world)
{
	static const char *const statuses[] = { "000", "0", "099", "600",
		"999" };
	int errors = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++)
		for (int way = 0; way < 3; way++) {
			int status;

			world->sent = g_strdup_printf(
			    "HTTP/1.1 %s X\r\nContent-Length: 2\r\n\r\n{}",
			    statuses[i]);
			world->sent_length = strlen(world->sent);
			world->has_error = false;
			status = ask(world, way);
			if (status != 0 || !world->has_error)
				printf("status %s, way %d: %d, error %d\n",
				    statuses[i], way, status, world->has_error);
			errors += status != 0 || !world->has_error;
			g_free(world->sent);
		}
	return errors;
}

int
main(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t length = sizeof(address);
	cut_world_t world = { .listen_fd = socket(
				  AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
	int errors = 0;

	if (bind(world.listen_fd, (struct sockaddr *)&address, length) != 0 ||
	    listen(world.listen_fd, 8) != 0 ||
	    getsockname(
		world.listen_fd, (struct sockaddr *)&address, &length) != 0)
		g_error("cannot listen");
	snprintf(world.url, sizeof(world.url), "http://127.0.0.1:%d/order",
	    ntohs(address.sin_port));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		errors += check_case(&world, &cases[i]);
	errors += check_statuses(&world);
	close(world.listen_fd);
	return errors == 0 ? 0 : 1;
}
