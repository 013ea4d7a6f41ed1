/**
 * @file frontend.c
 * HTTP server for callers: searches and orders as JSON, health, metrics and
 * status.
 *
 * Each traffic thread runs its own libmicrohttpd daemon in its event loop. The
 * daemons share one port through SO_REUSEPORT. A connection stays suspended
 * while its request is in progress.
 */
#include <arpa/inet.h>
#include <jansson.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "plantainarch.h"

#define CONNECTION_MEMORY_BYTES (2 * CALLER_HEADER_BYTES_MAX)

typedef enum request_state {
	REQUEST_READING,
	REQUEST_WAITING,
	REQUEST_ANSWERED
} request_state_t;

typedef struct request {
	uint64_t id;
	request_state_t state;
	bool is_order;
	struct MHD_Connection *connection;
	GString *body;
	bool is_too_large;
	char *answer;
	size_t answer_length;
	int http_status, retry_after_s;
	const char *type;
} request_t;

struct frontend {
	loop_t *loop;
	struct MHD_Daemon *daemon;
	int epoll_fd;
	frontend_callbacks_t callbacks;
	GHashTable *requests; /* id -> request_t */
	uint64_t next_id;
	bool is_closing;
	bool has_stopped_accepting;
	bool has_resumed; /* answers are ready; the daemon must run */
};

static enum MHD_Result handle_request(void *context,
    struct MHD_Connection *connection, const char *url, const char *method,
    const char *version, const char *upload, size_t *upload_size, void **state);
static void end_request(void *context, struct MHD_Connection *connection,
    void **state, enum MHD_RequestTerminationCode code);
static enum MHD_Result queue_answer(frontend_t *frontend, request_t *request);
static void dispatch(frontend_t *frontend, request_t *request, const char *url,
    const char *method);
static void dispatch_event(
    frontend_t *frontend, request_t *request, bool is_order);
static void set_cut_answer(request_t *request);
static void set_error_answer(request_t *request, int http_status,
    const char *reason, const char *format, ...) G_GNUC_PRINTF(4, 5);
static void set_caller_name(
    request_t *request, const char *requested_name, char *name);
static void handle_daemon_ready(void *context, int fd, uint32_t events);
static int64_t handle_timer(void *context);

frontend_t *
frontend_create(loop_t *loop, const char *address, int port, int thread,
    const frontend_callbacks_t *callbacks, error_info_t *error)
{
	frontend_t *frontend = g_new0(frontend_t, 1);
	struct sockaddr_in listen_address = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port) };
	char peer[ENDPOINT_BYTES];

	snprintf(peer, sizeof(peer), "%s:%d", address, port);
	frontend->loop = loop;
	frontend->callbacks = *callbacks;
	frontend->next_id = 1;
	frontend->requests = g_hash_table_new(g_int64_hash, g_int64_equal);
	if (inet_pton(AF_INET, address, &listen_address.sin_addr) != 1) {
		error_set(error, ERROR_INVALID, "listen for callers", peer,
		    "\"%s\" is not an IPv4 address; correct the VM's address "
		    "setting",
		    address);
		goto failed;
	}
	frontend->daemon = MHD_start_daemon(
	    MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, (uint16_t)port, NULL,
	    NULL, handle_request, frontend, MHD_OPTION_SOCK_ADDR,
	    &listen_address, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
	    MHD_OPTION_NOTIFY_COMPLETED, end_request, frontend,
	    MHD_OPTION_CONNECTION_LIMIT, (unsigned int)CALLER_CONNECTIONS_MAX,
	    MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)CALLER_IDLE_TIMEOUT_S,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
	    MHD_OPTION_END);
	if (frontend->daemon == NULL) {
		error_set(error, ERROR_UNAVAILABLE, "listen for callers", peer,
		    "cannot open the port; choose a free caller_port");
		goto failed;
	}
	frontend->epoll_fd =
	    MHD_get_daemon_info(frontend->daemon, MHD_DAEMON_INFO_EPOLL_FD)
		->epoll_fd;
	loop_set_fd(
	    loop, frontend->epoll_fd, EPOLLIN, handle_daemon_ready, frontend);
	loop_add_timer(loop, handle_timer, frontend);
	return frontend;
failed:
	g_hash_table_destroy(frontend->requests);
	g_free(frontend);
	return NULL;
}

/* The process ends before the answer; an order may have been sent. */
static void
set_cut_answer(request_t *request)
{
	static const char unknown[] =
	    "{\"outcome\":\"unknown\",\"reason\":\"stopping\","
	    "\"detail\":\"the process ends; ask again with the same key\"}";

	if (!request->is_order) {
		set_error_answer(request, 504, "stopping", "the process ends");
		return;
	}
	request->answer = g_strdup(unknown);
	request->answer_length = strlen(unknown);
	request->http_status = 409;
	request->state = REQUEST_ANSWERED;
}

void
frontend_destroy(frontend_t *frontend)
{
	GHashTableIter iterator;
	gpointer value;

	if (frontend == NULL)
		return;
	loop_unset_fd(frontend->loop, frontend->epoll_fd);
	loop_remove_timer(frontend->loop, handle_timer, frontend);
	/* libmicrohttpd requires suspended connections to be resumed first. */
	g_hash_table_iter_init(&iterator, frontend->requests);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		request_t *request = value;

		if (request->state != REQUEST_WAITING)
			continue;
		set_cut_answer(request);
		MHD_resume_connection(request->connection);
	}
	MHD_run(frontend->daemon);
	MHD_stop_daemon(frontend->daemon);
	g_hash_table_destroy(frontend->requests);
	g_free(frontend);
}

void
frontend_answer(frontend_t *frontend, uint64_t caller, int http_status,
    int retry_after_s, const char *body, size_t length)
{
	request_t *request = g_hash_table_lookup(frontend->requests, &caller);

	if (request == NULL || request->state != REQUEST_WAITING) {
		metric_add(METRIC_REPLIES_DROPPED, 1);
		return;
	}
	request->answer = g_strndup(body, length);
	request->answer_length = length;
	request->http_status = http_status;
	request->retry_after_s = retry_after_s;
	request->state = REQUEST_ANSWERED;
	frontend->has_resumed = true;
	loop_wake(frontend->loop);
	MHD_resume_connection(request->connection);
}

/*
 * Connections that wait in the socket's queue would be reset with it: they are
 * taken first, and may send a request.
 */
void
frontend_stop_accepting(frontend_t *frontend)
{
	struct sockaddr_in address;
	socklen_t length = sizeof(address);
	int listen_fd, accepted;

	frontend->is_closing = true;
	if (frontend->has_stopped_accepting)
		return;
	frontend->has_stopped_accepting = true;
	listen_fd = MHD_quiesce_daemon(frontend->daemon);
	if (listen_fd < 0)
		return;
	while ((accepted = accept4(listen_fd, (struct sockaddr *)&address,
		    &length, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		MHD_add_connection(frontend->daemon, accepted,
		    (struct sockaddr *)&address, length);
		length = sizeof(address);
	}
	close(listen_fd);
	MHD_run(frontend->daemon);
}

void
frontend_set_closing(frontend_t *frontend)
{
	frontend->is_closing = true;
}

int
frontend_count_requests(const frontend_t *frontend)
{
	return (int)g_hash_table_size(frontend->requests);
}

static enum MHD_Result
handle_request(void *context, struct MHD_Connection *connection,
    const char *url, const char *method, const char *version,
    const char *upload, size_t *upload_size, void **state)
{
	frontend_t *frontend = context;
	request_t *request = *state;

	if (request == NULL) {
		request = g_new0(request_t, 1);
		request->id = frontend->next_id++;
		request->connection = connection;
		request->body = g_string_new(NULL);
		request->type = "application/json";
		g_hash_table_insert(frontend->requests, &request->id, request);
		*state = request;
		return MHD_YES;
	}
	if (*upload_size > 0) {
		if (request->body->len + *upload_size > CALLER_BODY_BYTES_MAX)
			request->is_too_large = true;
		else
			g_string_append_len(
			    request->body, upload, (gssize)*upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	if (request->state == REQUEST_READING)
		dispatch(frontend, request, url, method);
	if (request->state == REQUEST_WAITING)
		return MHD_YES;
	return queue_answer(frontend, request);
}

static void
end_request(void *context, struct MHD_Connection *connection, void **state,
    enum MHD_RequestTerminationCode code)
{
	frontend_t *frontend = context;
	request_t *request = *state;

	if (request == NULL)
		return;
	*state = NULL;
	g_hash_table_remove(frontend->requests, &request->id);
	if (request->state == REQUEST_WAITING) {
		event_t event = { .type = EVENT_CALLER_DISCONNECTED,
			.caller = request->id };

		frontend->callbacks.event(frontend->callbacks.context, &event);
	}
	g_string_free(request->body, TRUE);
	g_free(request->answer);
	g_free(request);
}

static enum MHD_Result
queue_answer(frontend_t *frontend, request_t *request)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
	    request->answer_length, request->answer, MHD_RESPMEM_MUST_COPY);
	char seconds[16];
	enum MHD_Result result;

	MHD_add_response_header(response, "Content-Type", request->type);
	if (request->retry_after_s > 0) {
		snprintf(
		    seconds, sizeof(seconds), "%d", request->retry_after_s);
		MHD_add_response_header(response, "Retry-After", seconds);
	}
	if (frontend->is_closing)
		MHD_add_response_header(response, "Connection", "close");
	result = MHD_queue_response(
	    request->connection, (unsigned int)request->http_status, response);
	MHD_destroy_response(response);
	return result;
}

static void
dispatch(frontend_t *frontend, request_t *request, const char *url,
    const char *method)
{
	bool is_post = strcmp(method, "POST") == 0;
	int http_status = 200;
	char *page;

	if (request->is_too_large) {
		set_error_answer(request, 413, "too_large",
		    "the body is over %d bytes", CALLER_BODY_BYTES_MAX);
	} else if (strcmp(url, "/search") == 0 && is_post) {
		dispatch_event(frontend, request, false);
	} else if (strcmp(url, "/order") == 0 && is_post) {
		dispatch_event(frontend, request, true);
	} else if (strcmp(url, "/search") == 0 || strcmp(url, "/order") == 0) {
		set_error_answer(
		    request, 405, "method", "use POST with a JSON body");
	} else {
		page = frontend->callbacks.page(frontend->callbacks.context,
		    url, &http_status, &request->type);
		if (page == NULL) {
			set_error_answer(request, 404, "unknown_path",
			    "use /search, /order, /status, /metrics, /live or "
			    "/ready");
			return;
		}
		request->answer = page;
		request->answer_length = strlen(page);
		request->http_status = http_status;
		request->state = REQUEST_ANSWERED;
	}
}

/* Suspends the connection until its answer and passes the event on. */
static void
wait_for_answer(frontend_t *frontend, request_t *request, event_t *event)
{
	event->caller = request->id;
	request->is_order = event->type == EVENT_ORDER;
	request->state = REQUEST_WAITING;
	MHD_suspend_connection(request->connection);
	frontend->callbacks.event(frontend->callbacks.context, event);
}

/* Parses the body and passes it on as an event, or answers with status 400. */
static void
dispatch_event(frontend_t *frontend, request_t *request, bool is_order)
{
	caller_request_t parsed;
	error_info_t error = { 0 };
	char name[NAME_BYTES];
	bool is_good;

	if (is_order)
		is_good = caller_parse_order(&parsed, request->body->str,
		    request->body->len, clock_get_wall_us(), &error);
	else
		is_good = caller_parse_search(
		    &parsed, request->body->str, request->body->len, &error);
	if (is_good) {
		set_caller_name(request, parsed.event.caller_name, name);
		parsed.event.caller_name = name;
		wait_for_answer(frontend, request, &parsed.event);
	} else {
		set_error_answer(request, 400, error.step, "%s", error.text);
	}
	caller_request_clear(&parsed);
}

static void
set_error_answer(request_t *request, int http_status, const char *reason,
    const char *format, ...)
{
	va_list arguments;
	char *detail;
	json_t *root;

	va_start(arguments, format);
	detail = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	metric_add(METRIC_BAD_REQUESTS, 1);
	root = json_pack("{s:s, s:s, s:s}", "outcome", "rejected", "reason",
	    reason, "detail", detail);
	request->answer = json_dumps(root, JSON_COMPACT);
	request->answer_length = strlen(request->answer);
	request->http_status = http_status;
	request->state = REQUEST_ANSWERED;
	json_decref(root);
	g_free(detail);
}

/* Sets the name from the request, or else the caller's IP address. */
static void
set_caller_name(request_t *request, const char *requested_name, char *name)
{
	const union MHD_ConnectionInfo *info;

	if (requested_name != NULL) {
		g_strlcpy(name, requested_name, NAME_BYTES);
		return;
	}
	info = MHD_get_connection_info(
	    request->connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	name[0] = '\0';
	if (info != NULL && info->client_addr->sa_family == AF_INET)
		inet_ntop(AF_INET,
		    &((const struct sockaddr_in *)(const void *)
			    info->client_addr)
			 ->sin_addr,
		    name, NAME_BYTES);
}

static void
handle_daemon_ready(void *context, int fd, uint32_t events)
{
	frontend_t *frontend = context;

	MHD_run(frontend->daemon);
}

static int64_t
handle_timer(void *context)
{
	frontend_t *frontend = context;
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	if (frontend->has_resumed) {
		frontend->has_resumed = false;
		MHD_run(frontend->daemon);
	}
	if (MHD_get_timeout(frontend->daemon, &timeout_ms) != MHD_YES)
		return INT64_MAX;
	if (timeout_ms == 0)
		MHD_run(frontend->daemon);
	return clock_get_us() + (int64_t)timeout_ms * 1000;
}
