/**
 * @file stub.c
 * A small HTTP server for the stand-ins.
 */
#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>

#include "stub.h"

#define IDLE_TIMEOUT_S 60

struct stub {
	loop_t *loop;
	struct MHD_Daemon *daemon;
	stub_fn_t handle, gone;
	void *context;
	int connections, most_connections;
	GSequence *due; /* exchanges by time */
};

static int
compare_due(gconstpointer left, gconstpointer right, gpointer context)
{
	const exchange_t *one = left, *two = right;

	return one->due_us < two->due_us ? -1 : one->due_us > two->due_us;
}

static enum MHD_Result
queue_answer(exchange_t *exchange)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
	    exchange->answer_length, exchange->answer, MHD_RESPMEM_MUST_COPY);
	char number[32];
	enum MHD_Result result;

	if (exchange->version > 0) {
		snprintf(number, sizeof(number), "%" G_GUINT64_FORMAT,
		    exchange->version);
		MHD_add_response_header(response, "X-Object-Version", number);
	}
	if (exchange->is_leaving)
		MHD_add_response_header(response, "X-Draining", "1");
	if (exchange->is_closing)
		MHD_add_response_header(response, "Connection", "close");
	result = MHD_queue_response(
	    exchange->connection, (unsigned int)exchange->status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result
handle_request(void *context, struct MHD_Connection *connection,
    const char *url, const char *method, const char *version,
    const char *upload, size_t *upload_size, void **state)
{
	stub_t *stub = context;
	exchange_t *exchange = *state;

	if (exchange == NULL) {
		const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		    connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
		bool *is_used = info != NULL ? info->socket_context : NULL;

		exchange = g_new0(exchange_t, 1);
		exchange->stub = stub;
		exchange->connection = connection;
		exchange->method = g_strdup(method);
		exchange->path = g_strdup(url);
		exchange->body = g_string_new(NULL);
		exchange->is_new_connection = is_used != NULL && !*is_used;
		if (is_used != NULL)
			*is_used = true;
		*state = exchange;
		return MHD_YES;
	}
	if (*upload_size > 0) {
		g_string_append_len(
		    exchange->body, upload, (gssize)*upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	if (exchange->is_answered)
		return queue_answer(exchange);
	MHD_suspend_connection(connection);
	stub->handle(stub->context, exchange);
	return MHD_YES;
}

static void
end_request(void *context, struct MHD_Connection *connection, void **state,
    enum MHD_RequestTerminationCode code)
{
	stub_t *stub = context;
	exchange_t *exchange = *state;

	if (exchange == NULL)
		return;
	*state = NULL;
	if (exchange->position != NULL)
		g_sequence_remove(exchange->position);
	if (stub->gone != NULL)
		stub->gone(stub->context, exchange);
	g_string_free(exchange->body, TRUE);
	g_free(exchange->method);
	g_free(exchange->path);
	g_free(exchange->answer);
	g_free(exchange);
}

static void
count_connection(void *context, struct MHD_Connection *connection,
    void **socket_context, enum MHD_ConnectionNotificationCode code)
{
	stub_t *stub = context;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		*socket_context = g_new0(bool, 1);
		stub->connections++;
		stub->most_connections =
		    MAX(stub->most_connections, stub->connections);
	} else {
		g_free(*socket_context);
		stub->connections--;
	}
}

static void
run_daemon(void *context, int fd, uint32_t events)
{
	stub_t *stub = context;

	MHD_run(stub->daemon);
}

/* Resumes what is due; the daemon then sends the answers. */
static int64_t
handle_timer(void *context)
{
	stub_t *stub = context;
	int64_t now_us = clock_get_us();
	MHD_UNSIGNED_LONG_LONG timeout_ms;
	int64_t next = INT64_MAX;
	bool is_due = false;

	while (!g_sequence_is_empty(stub->due)) {
		exchange_t *exchange =
		    g_sequence_get(g_sequence_get_begin_iter(stub->due));

		if (exchange->due_us > now_us) {
			next = exchange->due_us;
			break;
		}
		g_sequence_remove(exchange->position);
		exchange->position = NULL;
		exchange->is_answered = true;
		MHD_resume_connection(exchange->connection);
		is_due = true;
	}
	if (is_due)
		MHD_run(stub->daemon);
	if (MHD_get_timeout(stub->daemon, &timeout_ms) != MHD_YES)
		return next;
	/* Zero: the daemon itself has more to do. */
	if (timeout_ms == 0)
		MHD_run(stub->daemon);
	return MIN(next, now_us + (int64_t)timeout_ms * 1000);
}

stub_t *
stub_create(loop_t *loop, const char *address, int port, stub_fn_t handle,
    stub_fn_t gone, void *context)
{
	stub_t *stub = g_new0(stub_t, 1);
	struct sockaddr_in where = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port) };

	inet_pton(AF_INET, address, &where.sin_addr);
	stub->loop = loop;
	stub->handle = handle;
	stub->gone = gone;
	stub->context = context;
	stub->due = g_sequence_new(NULL);
	stub->daemon =
	    MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME,
		(uint16_t)port, NULL, NULL, handle_request, stub,
		MHD_OPTION_SOCK_ADDR, &where, MHD_OPTION_NOTIFY_COMPLETED,
		end_request, stub, MHD_OPTION_NOTIFY_CONNECTION,
		count_connection, stub, MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned int)IDLE_TIMEOUT_S, MHD_OPTION_END);
	if (stub->daemon == NULL) {
		fprintf(stderr,
		    "stand-in: cannot listen at %s:%d; choose a free port\n",
		    address, port);
		g_sequence_free(stub->due);
		g_free(stub);
		return NULL;
	}
	loop_set_fd(loop,
	    MHD_get_daemon_info(stub->daemon, MHD_DAEMON_INFO_EPOLL_FD)
		->epoll_fd,
	    EPOLLIN, run_daemon, stub);
	loop_add_timer(loop, handle_timer, stub);
	return stub;
}

void
stub_answer(exchange_t *exchange, int64_t due_us, int status, const char *body,
    size_t length)
{
	if (exchange->is_answered)
		return;
	if (exchange->position != NULL)
		g_sequence_remove(exchange->position);
	g_free(exchange->answer);
	exchange->answer = g_strndup(body, length);
	exchange->answer_length = length;
	exchange->status = status;
	exchange->due_us = due_us;
	loop_wake(exchange->stub->loop);
	exchange->position = g_sequence_insert_sorted(
	    exchange->stub->due, exchange, compare_due, NULL);
}

const char *
stub_get_argument(exchange_t *exchange, const char *name)
{
	return MHD_lookup_connection_value(
	    exchange->connection, MHD_GET_ARGUMENT_KIND, name);
}

int
stub_count_connections(const stub_t *stub)
{
	return stub->connections;
}

int
stub_get_most_connections(const stub_t *stub)
{
	return stub->most_connections;
}
