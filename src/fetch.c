/**
 * @file fetch.c
 * HTTP client over curl's multi interface, driven by an event loop.
 *
 * libcurl resends a request if a reused connection closes before the first byte
 * of the reply, and has no option against it. A request that must not be sent
 * twice, an order, therefore goes on a new connection: fetch_send_once().
 *
 * libcurl takes a head that ends with the connection for a complete reply with
 * an empty body. The blank line behind the head shows that it is whole.
 *
 * libcurl keeps the headers of a reply, those behind its body too, and has no
 * limit for all of them.
 */
#include <curl/curl.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>

#include "http.h"

#define IDLE_HANDLES_MAX   256
#define CONNECT_TIMEOUT_MS 1000
#define HEAD_BYTES_MAX	   65536   /* of a reply, with its trailers */
#define BLOCKING_BYTES_MAX 4194304 /* of a reply's body */

static const char CUT_HEAD[] = "the connection ended inside the reply's head";
static const char BAD_STATUS[] = "the reply's status is not one of HTTP";

typedef struct transfer {
	fetch_t *fetch;
	CURL *easy;
	struct curl_slist *headers;
	char *request_body;
	GString *reply_body;
	bool is_draining;
	bool has_whole_head;
	size_t head_bytes;
	uint64_t version;
	bool is_reply_too_large;
	uint64_t tag;
	fetch_fn_t callback;
	void *context;
} transfer_t;

struct fetch {
	loop_t *loop;
	CURLM *multi;
	int64_t timer_due_us;
	size_t reply_bytes_max;
	GPtrArray *idle_handles; /* easy handles for reuse */
	GHashTable *running;	 /* set of transfer_t */
};

static int update_socket_watch(CURL *easy, curl_socket_t fd, int poll_action,
    void *context, void *socket_context);
static int set_timer(CURLM *multi, long timeout_ms, void *context);
static void handle_socket(void *context, int fd, uint32_t events);
static int64_t handle_timer(void *context);
static void finish_transfers(fetch_t *fetch);
static void finish_transfer(transfer_t *transfer, CURLcode result);
static void destroy_transfer(transfer_t *transfer);
static size_t append_reply_body(
    char *data, size_t size, size_t count, void *context);
static size_t read_reply_header(
    char *data, size_t size, size_t count, void *context);
static bool is_unsent(CURL *easy, CURLcode result);

fetch_t *
fetch_create(loop_t *loop, size_t reply_bytes_max, long connections_max)
{
	fetch_t *fetch = g_new0(fetch_t, 1);

	curl_global_init(CURL_GLOBAL_DEFAULT);
	fetch->loop = loop;
	fetch->reply_bytes_max = reply_bytes_max;
	fetch->timer_due_us = INT64_MAX;
	fetch->idle_handles = g_ptr_array_new();
	fetch->running = g_hash_table_new(NULL, NULL);
	fetch->multi = curl_multi_init();
	curl_multi_setopt(
	    fetch->multi, CURLMOPT_SOCKETFUNCTION, update_socket_watch);
	curl_multi_setopt(fetch->multi, CURLMOPT_SOCKETDATA, fetch);
	curl_multi_setopt(fetch->multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(fetch->multi, CURLMOPT_TIMERDATA, fetch);
	fetch_set_connections_max(fetch, connections_max);
	loop_add_timer(loop, handle_timer, fetch);
	return fetch;
}

void
fetch_destroy(fetch_t *fetch)
{
	GHashTableIter iterator;
	gpointer transfer;

	g_hash_table_iter_init(&iterator, fetch->running);
	while (g_hash_table_iter_next(&iterator, &transfer, NULL)) {
		curl_multi_remove_handle(
		    fetch->multi, ((transfer_t *)transfer)->easy);
		curl_easy_cleanup(((transfer_t *)transfer)->easy);
		destroy_transfer(transfer);
	}
	g_hash_table_destroy(fetch->running);
	for (guint i = 0; i < fetch->idle_handles->len; i++)
		curl_easy_cleanup(g_ptr_array_index(fetch->idle_handles, i));
	g_ptr_array_free(fetch->idle_handles, TRUE);
	loop_remove_timer(fetch->loop, handle_timer, fetch);
	curl_multi_cleanup(fetch->multi);
	g_free(fetch);
}

void
fetch_set_connections_max(fetch_t *fetch, long connections_max)
{
	curl_multi_setopt(
	    fetch->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, connections_max);
	curl_multi_setopt(fetch->multi, CURLMOPT_MAXCONNECTS, connections_max);
}

int
fetch_count_running(const fetch_t *fetch)
{
	return (int)g_hash_table_size(fetch->running);
}

static void
send_request(fetch_t *fetch, bool is_once, const char *method, const char *url,
    const char *body, size_t length, int64_t timeout_us, uint64_t tag,
    fetch_fn_t callback, void *context)
{
	transfer_t *transfer = g_new0(transfer_t, 1);
	CURL *easy = fetch->idle_handles->len > 0
			 ? g_ptr_array_steal_index_fast(fetch->idle_handles,
			       fetch->idle_handles->len - 1)
			 : curl_easy_init();

	transfer->fetch = fetch;
	transfer->easy = easy;
	transfer->reply_body = g_string_sized_new(512);
	transfer->tag = tag;
	transfer->callback = callback;
	transfer->context = context;
	curl_easy_reset(easy);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_reply_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, read_reply_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
	curl_easy_setopt(
	    easy, CURLOPT_TIMEOUT_MS, (long)MAX(1, timeout_us / 1000));
	curl_easy_setopt(
	    easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, is_once ? 1L : 0L);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	if (strcmp(method, "GET") != 0)
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	if (body != NULL) {
		transfer->request_body = g_memdup2(body, length + 1);
		transfer->headers = curl_slist_append(
		    transfer->headers, "Content-Type: application/json");
		transfer->headers =
		    curl_slist_append(transfer->headers, "Expect:");
		curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
		curl_easy_setopt(
		    easy, CURLOPT_POSTFIELDS, transfer->request_body);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)length);
	}
	g_hash_table_add(fetch->running, transfer);
	curl_multi_add_handle(fetch->multi, easy);
}

void
fetch_send(fetch_t *fetch, const char *method, const char *url,
    const char *body, size_t length, int64_t timeout_us, uint64_t tag,
    fetch_fn_t callback, void *context)
{
	send_request(fetch, false, method, url, body, length, timeout_us, tag,
	    callback, context);
}

void
fetch_send_once(fetch_t *fetch, const char *method, const char *url,
    const char *body, size_t length, int64_t timeout_us, uint64_t tag,
    fetch_fn_t callback, void *context)
{
	send_request(fetch, true, method, url, body, length, timeout_us, tag,
	    callback, context);
}

static int
update_socket_watch(CURL *easy, curl_socket_t fd, int poll_action,
    void *context, void *socket_context)
{
	fetch_t *fetch = context;
	uint32_t events = 0;

	if (poll_action == CURL_POLL_REMOVE) {
		loop_unset_fd(fetch->loop, fd);
		return 0;
	}
	if (poll_action == CURL_POLL_IN || poll_action == CURL_POLL_INOUT)
		events |= EPOLLIN;
	if (poll_action == CURL_POLL_OUT || poll_action == CURL_POLL_INOUT)
		events |= EPOLLOUT;
	loop_set_fd(fetch->loop, fd, events, handle_socket, fetch);
	return 0;
}

static int
set_timer(CURLM *multi, long timeout_ms, void *context)
{
	fetch_t *fetch = context;

	fetch->timer_due_us =
	    timeout_ms < 0 ? INT64_MAX : clock_get_us() + timeout_ms * 1000;
	loop_wake(fetch->loop);
	return 0;
}

static void
handle_socket(void *context, int fd, uint32_t events)
{
	fetch_t *fetch = context;
	int flags = 0;
	int running;

	if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		flags |= CURL_CSELECT_IN;
	if (events & EPOLLOUT)
		flags |= CURL_CSELECT_OUT;
	curl_multi_socket_action(fetch->multi, fd, flags, &running);
	finish_transfers(fetch);
}

static int64_t
handle_timer(void *context)
{
	fetch_t *fetch = context;
	int running;

	if (fetch->timer_due_us <= clock_get_us()) {
		fetch->timer_due_us = INT64_MAX;
		curl_multi_socket_action(
		    fetch->multi, CURL_SOCKET_TIMEOUT, 0, &running);
		finish_transfers(fetch);
	}
	return fetch->timer_due_us;
}

static void
finish_transfers(fetch_t *fetch)
{
	CURLMsg *message;
	int messages_left;

	while ((message = curl_multi_info_read(fetch->multi, &messages_left)) !=
	       NULL) {
		transfer_t *transfer = NULL;
		CURLcode result = message->data.result;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(
		    message->easy_handle, CURLINFO_PRIVATE, &transfer);
		finish_transfer(transfer, result);
	}
}

static void
finish_transfer(transfer_t *transfer, CURLcode result)
{
	fetch_t *fetch = transfer->fetch;
	fetch_reply_t reply = { .is_draining = transfer->is_draining,
		.version = transfer->version };
	long status = 0;

	curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
	if (transfer->is_reply_too_large)
		reply.error = "the reply exceeds the size limit";
	else if (result != CURLE_OK)
		reply.error = curl_easy_strerror(result);
	else if (!transfer->has_whole_head)
		reply.error = CUT_HEAD;
	else if (status > HTTP_STATUS_MAX)
		reply.error = BAD_STATUS;
	else
		reply.http_status = (int)status;
	reply.is_unsent =
	    result != CURLE_OK && is_unsent(transfer->easy, result);
	reply.body = transfer->reply_body->str;
	reply.body_length = transfer->reply_body->len;
	g_hash_table_remove(fetch->running, transfer);
	curl_multi_remove_handle(fetch->multi, transfer->easy);
	transfer->callback(transfer->context, transfer->tag, &reply);
	if (fetch->idle_handles->len < IDLE_HANDLES_MAX)
		g_ptr_array_add(fetch->idle_handles, transfer->easy);
	else
		curl_easy_cleanup(transfer->easy);
	destroy_transfer(transfer);
}

static void
destroy_transfer(transfer_t *transfer)
{
	curl_slist_free_all(transfer->headers);
	g_string_free(transfer->reply_body, TRUE);
	g_free(transfer->request_body);
	g_free(transfer);
}

/* Returns true only if no byte of the request was sent. A request whose
 * connection was reset later may have run. */
static bool
is_unsent(CURL *easy, CURLcode result)
{
	curl_off_t uploaded_bytes = 0;
	long sent_request_bytes = 0;

	curl_easy_getinfo(easy, CURLINFO_SIZE_UPLOAD_T, &uploaded_bytes);
	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent_request_bytes);
	if (uploaded_bytes > 0 || sent_request_bytes > 0)
		return false;
	return result == CURLE_URL_MALFORMAT ||
	       result == CURLE_COULDNT_CONNECT ||
	       result == CURLE_OPERATION_TIMEDOUT ||
	       result == CURLE_COULDNT_RESOLVE_HOST;
}

static size_t
append_reply_body(char *data, size_t size, size_t count, void *context)
{
	transfer_t *transfer = context;

	if (transfer->reply_body->len + size * count >
	    transfer->fetch->reply_bytes_max) {
		transfer->is_reply_too_large = true;
		return 0;
	}
	g_string_append_len(transfer->reply_body, data, (gssize)(size * count));
	return size * count;
}

/* An informational reply has a head of its own, before that of the reply. */
static void
track_head(bool *has_whole_head, const char *line, size_t length)
{
	*has_whole_head = length > 0 && (line[0] == '\r' || line[0] == '\n');
}

static size_t
read_reply_header(char *data, size_t size, size_t count, void *context)
{
	transfer_t *transfer = context;
	size_t length = size * count;

	transfer->head_bytes += length;
	if (transfer->head_bytes > HEAD_BYTES_MAX) {
		transfer->is_reply_too_large = true;
		return 0;
	}
	track_head(&transfer->has_whole_head, data, length);
	if (length > 10 && strncasecmp(data, "x-draining", 10) == 0)
		transfer->is_draining = true;
	if (length > 18 && strncasecmp(data, "x-object-version: ", 18) == 0)
		transfer->version = g_ascii_strtoull(data + 18, NULL, 10);
	return length;
}

/* Returns 0 to end the transfer. */
static size_t
append_to_string(char *data, size_t size, size_t count, void *context)
{
	GString *reply = context;

	if (reply->len + size * count > BLOCKING_BYTES_MAX)
		return 0;
	g_string_append_len(reply, data, (gssize)(size * count));
	return size * count;
}

typedef struct blocking_head {
	uint64_t version;
	bool is_whole;
	size_t bytes;
} blocking_head_t;

static size_t
read_blocking_header(char *data, size_t size, size_t count, void *context)
{
	blocking_head_t *head = context;

	head->bytes += size * count;
	if (head->bytes > HEAD_BYTES_MAX)
		return 0;
	track_head(&head->is_whole, data, size * count);
	if (size * count > 18 &&
	    strncasecmp(data, "x-object-version: ", 18) == 0)
		head->version = g_ascii_strtoull(data + 18, NULL, 10);
	return size * count;
}

bool
fetch_run_blocking(const char *method, const char *url, const char *body,
    int64_t timeout_us, int *http_status, uint64_t *version, GString *reply,
    error_info_t *error)
{
	CURL *easy = curl_easy_init();
	struct curl_slist *headers =
	    curl_slist_append(NULL, "Content-Type: application/json");
	blocking_head_t head = { 0 };
	bool is_status_valid;
	long status = 0;
	CURLcode result;

	headers = curl_slist_append(headers, "Expect:");
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)(timeout_us / 1000));
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_to_string);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, reply);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, read_blocking_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, &head);
	if (body != NULL)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	result = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_slist_free_all(headers);
	curl_easy_cleanup(easy);
	is_status_valid = status <= HTTP_STATUS_MAX;
	*http_status = head.is_whole && is_status_valid ? (int)status : 0;
	if (version != NULL)
		*version = head.version;
	if (result == CURLE_OK && head.is_whole && is_status_valid)
		return true;
	if (result == CURLE_OK)
		return error_set(error, ERROR_UNAVAILABLE, method, url,
		    "%s; check the process at this address",
		    is_status_valid ? CUT_HEAD : BAD_STATUS);
	return error_set(error,
	    result == CURLE_OPERATION_TIMEDOUT ? ERROR_TIMEOUT
					       : ERROR_UNAVAILABLE,
	    method, url,
	    "%s; check that a process is listening at this address",
	    curl_easy_strerror(result));
}
