/**
 * @file status_server.c
 * A small HTTP server for readiness and metrics, on the control thread.
 */
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tier_process.h"

#define REQUEST_HEAD_BYTES_MAX 8192
#define REQUEST_BODY_BYTES_MAX 1024

typedef struct status_connection {
	LIST_ENTRY(status_connection) in_server;
	status_server_t *server;
	stream_t *stream;
	http_message_t message;
} status_connection_t;

struct status_server {
	loop_t *loop;
	int fd;
	status_handler_t callback;
	void *context;
	LIST_HEAD(, status_connection) connections;
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
	LIST_INIT(&server->connections);
	loop_set_fd(loop, fd, EPOLLIN, handle_accept, server);
	return server;
}

static void
destroy_connection(status_connection_t *connection)
{
	LIST_REMOVE(connection, in_server);
	stream_close_after_flush(connection->stream);
	http_message_end(&connection->message);
	g_free(connection);
}

void
status_server_destroy(status_server_t *server)
{
	status_connection_t *connection, *next;

	if (server == NULL)
		return;
	for (connection = LIST_FIRST(&server->connections); connection != NULL;
	     connection = next) {
		next = LIST_NEXT(connection, in_server);
		destroy_connection(connection);
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
	status_connection_t *connection;

	if (accepted < 0)
		return;
	connection = g_new0(status_connection_t, 1);
	connection->server = server;
	http_message_begin(&connection->message, true, REQUEST_HEAD_BYTES_MAX,
	    REQUEST_BODY_BYTES_MAX);
	connection->stream = stream_create_from_fd(
	    server->loop, accepted, &stream_callbacks, connection);
	LIST_INSERT_HEAD(&server->connections, connection, in_server);
}

static void
send_answer(status_connection_t *connection)
{
	int status = 200;
	char *body = connection->server->callback(connection->server->context,
	    http_get_target(&connection->message), &status);
	GString *out = g_string_new(NULL);

	g_string_printf(out,
	    "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n"
	    "Content-Length: %" G_GSIZE_FORMAT "\r\n\r\n%s",
	    status, http_get_reason_phrase(status),
	    body != NULL ? strlen(body) : (gsize)0, body != NULL ? body : "");
	stream_write(connection->stream, out->str, out->len);
	g_string_free(out, TRUE);
	g_free(body);
}

static void
handle_received(void *context, const char *data, size_t length)
{
	status_connection_t *connection = context;
	size_t used;

	while (length > 0) {
		http_state_t state = http_message_feed(
		    &connection->message, data, length, &used);

		if (state == HTTP_INCOMPLETE)
			return;
		if (state == HTTP_INVALID) {
			destroy_connection(connection);
			return;
		}
		send_answer(connection);
		if (!connection->message.is_persistent) {
			destroy_connection(connection);
			return;
		}
		http_message_reset(&connection->message);
		data += used;
		length -= used;
	}
}

static void
handle_closed(void *context, bool is_clean)
{
	destroy_connection(context);
}
