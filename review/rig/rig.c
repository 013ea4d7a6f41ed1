/**
 * @file rig.c
 * Stand-ins of the second review; see rig.h.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "rig.h"

#define TIERS_MAX	16
#define OBJECTS_MAX	512
#define EVENTS_MAX	4096
#define PAGE_ITEMS	500
#define PAGE_BYTES	1048576
#define HISTORY_MS	20000 /* history_s */
#define STORE_ANSWER_MS 4
#define IDLE_MS		30000

#define SERVICE "boekhouding"
#define WORK_MS 20 /* of a sound leaf */

rig_bounds_t rig_bounds = { .drain_ms = 5000,
	.apply_ms = 5000,
	.stable_ms = 6000,
	.grace_s = 6,
	.retry_slack = 206 };

typedef struct object {
	char kind[64], name[512];
	char *spec, *status; /* JSON */
	long long revision, created;
} object_t;

typedef struct event {
	char kind[64];
	long long revision;
	int64_t added_ms;
	char *text; /* JSON of the event */
} event_t;

typedef struct accepted {
	rig_leaf_t *leaf; /* NULL: the store */
	int fd;
} accepted_t;

typedef struct text {
	char *bytes;
	size_t length, size;
} text_t;

static struct {
	FILE *record;
	const char *program;
	char folder[64];
	bool has_trouble;
	int64_t begin_ms;
	pthread_mutex_t record_lock;
	int pids[TIERS_MAX], pid_count;

	pthread_mutex_t store_lock;
	pthread_cond_t store_changed;
	int store_port;
	object_t objects[OBJECTS_MAX];
	int object_count;
	event_t events[EVENTS_MAX];
	int event_count;
	long long revision;
	char silent_kind[64]; /* whose connection falls silent; "": none */
	int64_t silence_ms;   /* -1: no connection is silent */
} rig = { .record_lock = PTHREAD_MUTEX_INITIALIZER,
	.store_lock = PTHREAD_MUTEX_INITIALIZER,
	.store_changed = PTHREAD_COND_INITIALIZER,
	.revision = 100,
	.silence_ms = -1 };

/* ---- Process ---- */

static int64_t
get_clock_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
rig_now_ms(void)
{
	return get_clock_ms() - rig.begin_ms;
}

void
rig_sleep_ms(int64_t ms)
{
	struct timespec time = { ms / 1000, ms % 1000 * 1000000 };

	while (ms > 0 && nanosleep(&time, &time) != 0 && errno == EINTR)
		;
}

bool
rig_has_trouble(void)
{
	return rig.has_trouble;
}

void
rig_record(const char *format, ...)
{
	va_list arguments;

	pthread_mutex_lock(&rig.record_lock);
	fprintf(rig.record, "%7.3f ", (double)rig_now_ms() / 1000);
	va_start(arguments, format);
	vfprintf(rig.record, format, arguments);
	va_end(arguments);
	fputc('\n', rig.record);
	fflush(rig.record);
	pthread_mutex_unlock(&rig.record_lock);
}

static void
end_processes(void)
{
	for (int i = 0; i < rig.pid_count; i++)
		if (rig.pids[i] > 0) {
			kill(rig.pids[i], SIGKILL);
			waitpid(rig.pids[i], NULL, 0);
			rig.pids[i] = 0;
		}
}

void
rig_end(int code, const char *format, ...)
{
	static const char *const words[] = { "HELD", "BROKEN",
		"COULD NOT RUN" };
	va_list arguments;
	char text[1024];

	va_start(arguments, format);
	vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	rig_record("%s: %s", words[code], text);
	printf("%s: %s\n", words[code], text);
	fflush(stdout);
	end_processes();
	_exit(code);
}

static void
handle_end_signal(int number)
{
	end_processes();
	_exit(RIG_CANNOT_RUN);
}

void
rig_begin(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");

	if (argc != 4) {
		fprintf(stderr, "usage: case RECORD PROGRAM FOLDER\n");
		exit(RIG_CANNOT_RUN);
	}
	rig.record = fopen(argv[1], "w");
	rig.program = argv[2];
	snprintf(rig.folder, sizeof(rig.folder), "%s", argv[3]);
	if (rig.record == NULL || access(rig.program, X_OK) != 0) {
		fprintf(
		    stderr, "cannot write %s or run %s\n", argv[1], argv[2]);
		exit(RIG_CANNOT_RUN);
	}
	rig.has_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	rig.begin_ms = get_clock_ms();
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, handle_end_signal);
	signal(SIGINT, handle_end_signal);
	signal(SIGALRM, handle_end_signal);
	alarm(115);
	rig_record("trouble: %s", rig.has_trouble ? "yes" : "no");
}

/* ---- Text ---- */

static void
append(text_t *text, const char *bytes, size_t length)
{
	if (text->length + length + 1 > text->size) {
		text->size = 2 * (text->length + length + 1);
		text->bytes = realloc(text->bytes, text->size);
	}
	memcpy(text->bytes + text->length, bytes, length);
	text->length += length;
	text->bytes[text->length] = '\0';
}

static void
append_format(text_t *text, const char *format, ...)
{
	va_list arguments, copy;
	int length;
	char *bytes;

	va_start(arguments, format);
	va_copy(copy, arguments);
	length = vsnprintf(NULL, 0, format, copy);
	va_end(copy);
	bytes = malloc((size_t)length + 1);
	vsnprintf(bytes, (size_t)length + 1, format, arguments);
	va_end(arguments);
	append(text, bytes, (size_t)length);
	free(bytes);
}

/* ---- Streams and messages ---- */

static int
listen_anywhere(int *port)
{
	struct sockaddr_in self = { .sin_family = AF_INET };
	socklen_t length = sizeof(self);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	self.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&self, sizeof(self)) != 0 ||
	    listen(fd, 256) != 0 ||
	    getsockname(fd, (struct sockaddr *)&self, &length) != 0)
		rig_end(RIG_CANNOT_RUN, "no free port");
	*port = ntohs(self.sin_port);
	return fd;
}

int
rig_connect(int port)
{
	struct sockaddr_in peer = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&peer, sizeof(peer)) != 0) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

void
rig_stream_begin(rig_stream_t *stream, int fd)
{
	memset(stream, 0, sizeof(*stream));
	stream->fd = fd;
}

void
rig_stream_end(rig_stream_t *stream)
{
	if (stream->fd >= 0)
		close(stream->fd);
	free(stream->bytes);
	stream->bytes = NULL;
	stream->fd = -1;
}

/* Reads more bytes until the time; false: the end, or the time is over. */
static bool
read_more(rig_stream_t *stream, int64_t until_ms)
{
	struct pollfd wait = { .fd = stream->fd, .events = POLLIN };
	int64_t left_ms = until_ms - get_clock_ms();
	ssize_t count;

	if (left_ms <= 0 || poll(&wait, 1, (int)left_ms) <= 0)
		return false;
	if (stream->size - stream->length < 65537) {
		stream->size = 2 * stream->size + 131072;
		stream->bytes = realloc(stream->bytes, stream->size);
	}
	count = recv(stream->fd, stream->bytes + stream->length, 65536, 0);
	if (count <= 0)
		return false;
	stream->length += (size_t)count;
	stream->bytes[stream->length] = '\0';
	return true;
}

bool
rig_get_header(
    const rig_message_t *message, const char *name, char *value, size_t size)
{
	size_t length = strlen(name);
	const char *line = strstr(message->head, "\r\n");

	for (; line != NULL; line = strstr(line, "\r\n")) {
		line += 2;
		if (strncasecmp(line, name, length) != 0 || line[length] != ':')
			continue;
		line += length + 1;
		line += strspn(line, " \t");
		snprintf(value, size, "%.*s", (int)strcspn(line, "\r"), line);
		return true;
	}
	return false;
}

bool
rig_read(rig_stream_t *stream, rig_message_t *message, bool is_answer,
    int timeout_ms)
{
	int64_t until_ms = get_clock_ms() + timeout_ms;
	char value[64];
	char *end;
	size_t head, all;

	memset(message, 0, sizeof(*message));
	while (stream->bytes == NULL ||
	       (end = strstr(stream->bytes, "\r\n\r\n")) == NULL)
		if (!read_more(stream, until_ms))
			return false;
	head = (size_t)(end - stream->bytes) + 4;
	message->head = strndup(stream->bytes, head - 2);
	if (rig_get_header(message, "Content-Length", value, sizeof(value)))
		message->body_length = strtoul(value, NULL, 10);
	if (is_answer)
		message->status = atoi(message->head + strlen("HTTP/1.1 "));
	else
		sscanf(message->head, "%15s %2047s", message->method,
		    message->target);
	if (rig_get_header(message, "Connection", value, sizeof(value)))
		message->is_closing = strcasecmp(value, "close") == 0;
	all = head + message->body_length;
	while (stream->length < all)
		if (!read_more(stream, until_ms)) {
			rig_message_end(message);
			return false;
		}
	message->body = malloc(message->body_length + 1);
	memcpy(message->body, stream->bytes + head, message->body_length);
	message->body[message->body_length] = '\0';
	memmove(stream->bytes, stream->bytes + all, stream->length - all + 1);
	stream->length -= all;
	return true;
}

void
rig_message_end(rig_message_t *message)
{
	free(message->head);
	free(message->body);
	memset(message, 0, sizeof(*message));
}

bool
rig_write(int fd, const char *bytes, size_t length)
{
	while (length > 0) {
		ssize_t count = send(fd, bytes, length, MSG_NOSIGNAL);

		if (count < 0 && errno == EINTR)
			continue;
		if (count <= 0)
			return false;
		bytes += count;
		length -= (size_t)count;
	}
	return true;
}

bool
rig_answer(
    int fd, int status, const char *headers, const char *body, size_t length)
{
	text_t out = { 0 };
	bool is_written;

	append_format(&out, "HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n",
	    status, headers, length);
	append(&out, body, length);
	is_written = rig_write(fd, out.bytes, out.length);
	free(out.bytes);
	return is_written;
}

bool
rig_call(int fd, const char *method, const char *path, const char *id,
    int patience_ms, const char *body, size_t length)
{
	text_t out = { 0 };
	bool is_written;

	append_format(&out,
	    "%s %s HTTP/1.1\r\nHost: site.example\r\n"
	    "Plantainarch-Request-Id: %s\r\nPlantainarch-Deadline-Ms: %d\r\n",
	    method, path, id, patience_ms);
	if (body != NULL)
		append_format(&out, "Content-Length: %zu\r\n", length);
	append(&out, "\r\n", 2);
	if (body != NULL)
		append(&out, body, length);
	is_written = rig_write(fd, out.bytes, out.length);
	free(out.bytes);
	return is_written;
}

/* ---- Store ---- */

static object_t *
find_object(const char *kind, const char *name)
{
	for (int i = 0; i < rig.object_count; i++)
		if (strcmp(rig.objects[i].kind, kind) == 0 &&
		    strcmp(rig.objects[i].name, name) == 0)
			return &rig.objects[i];
	return NULL;
}

static void
append_object(text_t *out, const object_t *object)
{
	append_format(out,
	    "{\"meta\":{\"name\":\"%s\",\"revision\":%lld,\"created\":%lld,"
	    "\"finalizers\":[],\"deleting\":false},\"spec\":",
	    object->name, object->revision, object->created);
	append(out, object->spec, strlen(object->spec));
	append_format(out, ",\"status\":%s}", object->status);
}

/* Call with the lock held. */
static void
add_event(const object_t *object, bool is_deleted)
{
	text_t text = { 0 };
	event_t *event;

	if (rig.event_count == EVENTS_MAX)
		rig_end(RIG_CANNOT_RUN, "the store's history is full");
	event = &rig.events[rig.event_count++];
	append_format(&text,
	    "{\"deleted\":%s,\"object\":", is_deleted ? "true" : "false");
	append_object(&text, object);
	append(&text, "}", 1);
	snprintf(event->kind, sizeof(event->kind), "%s", object->kind);
	event->revision = rig.revision;
	event->added_ms = get_clock_ms();
	event->text = text.bytes;
	pthread_cond_broadcast(&rig.store_changed);
}

/* Call with the lock held. */
static object_t *
put_object(
    const char *kind, const char *name, const char *spec, const char *status)
{
	object_t *object = find_object(kind, name);

	if (object == NULL) {
		if (rig.object_count == OBJECTS_MAX)
			rig_end(RIG_CANNOT_RUN, "the store is full");
		object = &rig.objects[rig.object_count++];
		memset(object, 0, sizeof(*object));
		snprintf(object->kind, sizeof(object->kind), "%s", kind);
		snprintf(object->name, sizeof(object->name), "%s", name);
		object->status = strdup("null");
		object->spec = strdup("null");
		object->created = rig.revision + 1;
	}
	if (spec != NULL) {
		free(object->spec);
		object->spec = strdup(spec);
	}
	if (status != NULL) {
		free(object->status);
		object->status = strdup(status);
	}
	object->revision = ++rig.revision;
	add_event(object, false);
	return object;
}

long long
rig_store_put(const char *kind, const char *name, const char *spec)
{
	object_t *object;
	long long revision;

	pthread_mutex_lock(&rig.store_lock);
	if (spec != NULL)
		put_object(kind, name, spec, NULL);
	else if ((object = find_object(kind, name)) != NULL) {
		object->revision = ++rig.revision;
		add_event(object, true);
		free(object->spec);
		free(object->status);
		*object = rig.objects[--rig.object_count];
	}
	revision = rig.revision;
	pthread_mutex_unlock(&rig.store_lock);
	rig_record("store: %s/%s is %.300s, revision %lld", kind, name,
	    spec != NULL ? spec : "removed", revision);
	return revision;
}

static void
append_route(text_t *out, const char *name, const char *kind, int timeout_ms)
{
	append_format(out,
	    "{\"name\":\"%s\",\"hostname\":\"site.example\",\"path_prefix\":"
	    "\"/%s/\",\"route_kind\":\"%s\",\"timeout_ms\":%d,\"slo_ms\":1000,"
	    "\"priority\":1,\"service\":\"" SERVICE "\",\"attempts\":2}",
	    name, name, kind, timeout_ms);
}

long long
rig_store_put_configuration(int version, int timeout_ms, int max_body_bytes)
{
	text_t spec = { 0 };
	long long revision;

	append_format(&spec, "{\"version\":%d,\"routes\":[", version);
	append_route(&spec, "orders", "non_idempotent", timeout_ms);
	append_format(&spec, ",");
	append_route(&spec, "invoices", "idempotent", timeout_ms);
	append_format(&spec,
	    "],\"services\":[{\"name\":\"" SERVICE "\",\"health_path\":"
	    "\"/health\",\"max_conns\":560,\"protocol\":\"h1\",\"tls\":false}],"
	    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":%d,"
	    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}",
	    max_body_bytes);
	revision = rig_store_put("config", "main", spec.bytes);
	free(spec.bytes);
	return revision;
}

static bool
get_query(const char *target, const char *key, char *value, size_t size)
{
	const char *at = strchr(target, '?');
	size_t length = strlen(key);
	size_t used = 0;

	for (; at != NULL; at = strchr(at, '&')) {
		at++;
		if (strncmp(at, key, length) != 0 || at[length] != '=')
			continue;
		for (at += length + 1;
		     *at != '\0' && *at != '&' && used + 1 < size; at++) {
			unsigned code;

			if (*at == '%' && sscanf(at + 1, "%2x", &code) == 1) {
				value[used++] = (char)code;
				at += 2;
			} else
				value[used++] = *at;
		}
		value[used] = '\0';
		return true;
	}
	return false;
}

/* The value of a member whose value is an object, or NULL; to be freed. */
static char *
copy_member(const char *json, const char *key)
{
	char quoted[64];
	const char *at, *begin;
	int depth = 0;

	snprintf(quoted, sizeof(quoted), "\"%s\":", key);
	at = strstr(json, quoted);
	if (at == NULL)
		return NULL;
	begin = at = at + strlen(quoted);
	do {
		depth += *at == '{';
		depth -= *at == '}';
		at++;
	} while (*at != '\0' && depth > 0);
	return strndup(begin, (size_t)(at - begin));
}

static int
compare_objects(const void *left, const void *right)
{
	return strcmp((*(object_t *const *)left)->name,
	    (*(object_t *const *)right)->name);
}

static void
list_objects(text_t *out, const char *kind, const char *after)
{
	object_t *found[OBJECTS_MAX];
	int count = 0, i, items = 0;

	for (i = 0; i < rig.object_count; i++)
		if (strcmp(rig.objects[i].kind, kind) == 0 &&
		    strcmp(rig.objects[i].name, after) > 0)
			found[count++] = &rig.objects[i];
	qsort(found, (size_t)count, sizeof(found[0]), compare_objects);
	append_format(out, "{\"items\":[");
	for (i = 0;
	     i < count && items < PAGE_ITEMS &&
	     (items == 0 || out->length + strlen(found[i]->spec) < PAGE_BYTES);
	     i++, items++) {
		if (items > 0)
			append(out, ",", 1);
		append_object(out, found[i]);
	}
	append_format(out, "],\"has_more\":%s,\"current_rev\":%lld}",
	    i < count ? "true" : "false", rig.revision);
}

/* Call with the lock held. False: the history since then is gone. */
static bool
has_history(long long revision)
{
	int64_t oldest_ms = get_clock_ms() - HISTORY_MS;

	for (int i = 0; i < rig.event_count; i++)
		if (rig.events[i].revision > revision)
			return rig.events[i].added_ms >= oldest_ms;
	return true;
}

/*
 * The events of a page are as many as the objects of a list: about 500 or 1 MB
 * at most. The revision of a page that is not the last is that of its end.
 */
static bool
append_events(text_t *out, const char *kind, long long revision)
{
	long long last = rig.revision;
	int items = 0;

	append_format(out, "{\"events\":[");
	for (int i = 0; i < rig.event_count; i++) {
		const event_t *event = &rig.events[i];

		if (event->revision <= revision ||
		    strcmp(event->kind, kind) != 0)
			continue;
		if (items == PAGE_ITEMS ||
		    (items > 0 &&
			out->length + strlen(event->text) > PAGE_BYTES)) {
			last = event->revision - 1;
			break;
		}
		if (items++ > 0)
			append(out, ",", 1);
		append(out, event->text, strlen(event->text));
	}
	append_format(out, "],\"current_rev\":%lld}", last);
	return items > 0;
}

static int
watch_objects(
    text_t *out, const char *kind, long long revision, int64_t until_ms)
{
	for (;;) {
		struct timespec until;

		if (!has_history(revision))
			return 410;
		if (append_events(out, kind, revision) ||
		    get_clock_ms() >= until_ms)
			return 200;
		out->length = 0;
		clock_gettime(CLOCK_REALTIME, &until);
		until.tv_nsec += 20000000;
		if (until.tv_nsec >= 1000000000) {
			until.tv_sec++;
			until.tv_nsec -= 1000000000;
		}
		pthread_cond_timedwait(
		    &rig.store_changed, &rig.store_lock, &until);
	}
}

static int
write_object(text_t *out, const rig_message_t *request, const char *kind,
    const char *name, bool is_status)
{
	char wanted[32], created[512];
	char *spec = copy_member(request->body, "spec");
	char *status = copy_member(request->body, "status");
	const char *name_at = strstr(request->body, "\"name\":\"");
	object_t *object;
	int code = 200;

	if (strcmp(request->method, "POST") == 0) {
		snprintf(created, sizeof(created), "%.*s",
		    name_at != NULL ? (int)strcspn(name_at + 8, "\"") : 0,
		    name_at != NULL ? name_at + 8 : "");
		name = created;
	}
	object = find_object(kind, name);
	if (strcmp(request->method, "POST") == 0 && object != NULL)
		code = 409;
	else if (strcmp(request->method, "PUT") == 0 && object == NULL)
		code = 404;
	else if (object != NULL &&
		 get_query(
		     request->target, "revision", wanted, sizeof(wanted)) &&
		 strtoll(wanted, NULL, 10) != object->revision)
		code = 409;
	else
		object = put_object(kind, name, is_status ? NULL : spec,
		    is_status ? status : NULL);
	if (object != NULL)
		append_object(out, object);
	else
		append_format(out, "{}");
	free(spec);
	free(status);
	return code;
}

void
rig_store_silence(const char *kind)
{
	pthread_mutex_lock(&rig.store_lock);
	snprintf(rig.silent_kind, sizeof(rig.silent_kind), "%s", kind);
	pthread_mutex_unlock(&rig.store_lock);
}

int64_t
rig_store_get_silence_ms(void)
{
	int64_t silence_ms;

	pthread_mutex_lock(&rig.store_lock);
	silence_ms = rig.silence_ms;
	pthread_mutex_unlock(&rig.store_lock);
	return silence_ms;
}

/* True once: for the connection of the first watch that is answered. */
static bool
is_chosen_for_silence(const char *kind, const char *target)
{
	bool is_chosen;

	pthread_mutex_lock(&rig.store_lock);
	is_chosen = strcmp(rig.silent_kind, kind) == 0 &&
		    strstr(target, "watch=") != NULL;
	if (is_chosen) {
		rig.silent_kind[0] = '\0';
		rig.silence_ms = rig_now_ms();
	}
	pthread_mutex_unlock(&rig.store_lock);
	return is_chosen;
}

/* Neither answers nor closes, until the other side closes. */
static void
wait_in_silence(rig_stream_t *stream)
{
	char bytes[4096];

	rig_record("store: a connection falls silent; it stays open");
	while (recv(stream->fd, bytes, sizeof(bytes), 0) > 0)
		;
	rig_record("store: the silent connection was closed by the VM");
}

static bool
serve_store(rig_stream_t *stream, const rig_message_t *request)
{
	static const char prefix[] = "/api/objects/";
	char kind[64] = "", name[512] = "", more[16] = "", after[1024] = "";
	char watch[32], wait[32] = "0";
	text_t out = { 0 };
	int status = 200;
	bool is_written;

	rig_sleep_ms(STORE_ANSWER_MS);
	if (strncmp(request->target, prefix, strlen(prefix)) != 0)
		return rig_answer(stream->fd, 404, "", "", 0);
	sscanf(request->target + strlen(prefix), "%63[^/?]/%511[^/?]/%15[^?]",
	    kind, name, more);
	pthread_mutex_lock(&rig.store_lock);
	if (strcmp(request->method, "GET") != 0)
		status = write_object(
		    &out, request, kind, name, strcmp(more, "status") == 0);
	else if (get_query(request->target, "watch", watch, sizeof(watch))) {
		get_query(request->target, "wait_ms", wait, sizeof(wait));
		status = watch_objects(&out, kind, strtoll(watch, NULL, 10),
		    get_clock_ms() + strtoll(wait, NULL, 10));
	} else {
		get_query(request->target, "after", after, sizeof(after));
		list_objects(&out, kind, after);
	}
	pthread_mutex_unlock(&rig.store_lock);
	is_written = rig_answer(stream->fd, status,
	    "Content-Type: application/json\r\n", out.bytes, out.length);
	free(out.bytes);
	if (is_written && is_chosen_for_silence(kind, request->target))
		wait_in_silence(stream);
	return is_written;
}

/* ---- Servers ---- */

static void *
run_connection(void *context)
{
	accepted_t *accepted = context;
	rig_leaf_t *leaf = accepted->leaf;
	rig_stream_t stream;
	rig_message_t request;
	bool is_open = true;

	rig_stream_begin(&stream, accepted->fd);
	free(accepted);
	while (is_open && rig_read(&stream, &request, false, IDLE_MS)) {
		is_open = leaf != NULL ? leaf->serve(leaf, &stream, &request)
				       : serve_store(&stream, &request);
		is_open = is_open && !request.is_closing;
		rig_message_end(&request);
	}
	rig_stream_end(&stream);
	return NULL;
}

typedef struct server {
	int fd;
	rig_leaf_t *leaf;
} server_t;

static void *
run_server(void *context)
{
	server_t *server = context;

	for (;;) {
		accepted_t *accepted = calloc(1, sizeof(*accepted));
		pthread_t thread;
		int one = 1;

		accepted->leaf = server->leaf;
		accepted->fd = accept4(server->fd, NULL, NULL, SOCK_CLOEXEC);
		if (accepted->fd < 0) {
			free(accepted);
			continue;
		}
		setsockopt(
		    accepted->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		pthread_create(&thread, NULL, run_connection, accepted);
		pthread_detach(thread);
	}
	return NULL;
}

static void
start_server(int fd, rig_leaf_t *leaf)
{
	server_t *server = calloc(1, sizeof(*server));
	pthread_t thread;

	server->fd = fd;
	server->leaf = leaf;
	pthread_create(&thread, NULL, run_server, server);
	pthread_detach(thread);
}

void
rig_store_start(void)
{
	start_server(listen_anywhere(&rig.store_port), NULL);
}

void
rig_leaf_start(rig_leaf_t *leaf)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	if (leaf->born == 0)
		leaf->born =
		    (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000;
	start_server(listen_anywhere(&leaf->port), leaf);
}

bool
rig_leaf_is_expected(
    const rig_leaf_t *leaf, int fd, const rig_message_t *request)
{
	char expected[256] = "", id[1024] = "", headers[1536];

	rig_get_header(request, "Plantainarch-Expect-Instance", expected,
	    sizeof(expected));
	if (strcmp(expected, leaf->id) == 0)
		return true;
	rig_get_header(request, "Plantainarch-Request-Id", id, sizeof(id));
	rig_record("leaf %s: %s expects %s, 421", leaf->id, id, expected);
	snprintf(headers, sizeof(headers),
	    "Plantainarch-Request-Id: %s\r\nPlantainarch-Instance-Id: %s\r\n",
	    id, leaf->id);
	rig_answer(fd, 421, headers, "", 0);
	return false;
}

bool
rig_leaf_run(const rig_leaf_t *leaf, int fd, const rig_message_t *request)
{
	char id[1024] = "", headers[4096], body[1536];

	rig_get_header(request, "Plantainarch-Request-Id", id, sizeof(id));
	rig_record("leaf %s: ran %s %s", leaf->id, request->target, id);
	snprintf(headers, sizeof(headers),
	    "Plantainarch-Request-Id: %s\r\n"
	    "Plantainarch-Server-Stamp: %s.%s\r\n",
	    id, leaf->id, id);
	snprintf(body, sizeof(body), "answer to %s", id);
	return rig_answer(fd, 200, headers, body, strlen(body));
}

bool
rig_leaf_serve(
    rig_leaf_t *leaf, rig_stream_t *stream, const rig_message_t *request)
{
	if (!rig_leaf_is_expected(leaf, stream->fd, request))
		return true;
	rig_sleep_ms(WORK_MS);
	return rig_leaf_run(leaf, stream->fd, request);
}

long long
rig_leaf_put_entry(const rig_leaf_t *leaf, const char *state)
{
	char spec[512];

	snprintf(spec, sizeof(spec),
	    "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":"
	    "\"antwerpen-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"%s\","
	    "\"cold_left_ms\":0,\"seq\":1,\"born\":%lld}",
	    SERVICE, leaf->port, state, leaf->born);
	return rig_store_put("servers", leaf->id, spec);
}

/* ---- Tier ---- */

static int
choose_port(void)
{
	int port;
	int fd = listen_anywhere(&port);

	close(fd);
	return port;
}

static void
write_settings(const rig_tier_t *tier, const char *zone, const char *path)
{
	FILE *file = fopen(path, "w");

	if (file == NULL)
		rig_end(RIG_CANNOT_RUN, "cannot write %s", path);
	fprintf(file,
	    "id: front-%s-%d\nzone: %s\nregion: %.*s\nprotocol: objects\n"
	    "callers: 127.0.0.1:%d\nready: 127.0.0.1:%d\n"
	    "metrics: 127.0.0.1:%d\nplatform: 127.0.0.1:%d\n"
	    "peers: 127.0.0.1:%d\ncores: 0.25\nretry_ratio: 0.2\n"
	    "retry_slack: %d\nretry_window_s: 10\ndrain_ms: %d\n"
	    "apply_ms: %d\nstop_s: %d\nzones:\n  antwerpen-a: antwerpen\n"
	    "  antwerpen-b: antwerpen\n  gent-a: gent\n  namur-a: namur\n",
	    zone, tier->number, zone, (int)strcspn(zone, "-"), zone,
	    tier->callers, tier->ready, tier->metrics, rig.store_port,
	    tier->peers, rig_bounds.retry_slack, rig_bounds.drain_ms,
	    rig_bounds.apply_ms, rig_bounds.grace_s);
	fclose(file);
}

void
rig_tier_start(rig_tier_t *tier, int number, const char *zone)
{
	char settings[128], log[128];
	int fd;

	tier->number = number;
	if (tier->callers == 0) {
		tier->callers = choose_port();
		tier->ready = choose_port();
		tier->metrics = choose_port();
		tier->peers = choose_port();
	}
	snprintf(
	    settings, sizeof(settings), "%s/vm-%d.yaml", rig.folder, number);
	snprintf(log, sizeof(log), "%s/vm-%d.log", rig.folder, number);
	write_settings(tier, zone, settings);
	tier->pid = fork();
	if (tier->pid < 0)
		rig_end(RIG_CANNOT_RUN, "cannot start a process");
	if (tier->pid == 0) {
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execl(rig.program, rig.program, "tier", "--settings", settings,
		    (char *)NULL);
		_exit(127);
	}
	if (rig.pid_count == TIERS_MAX)
		rig_end(RIG_CANNOT_RUN, "too many processes");
	rig.pids[rig.pid_count++] = tier->pid;
	rig_record("vm %d started, callers at port %d", number, tier->callers);
}

bool
rig_tier_wait_ready(const rig_tier_t *tier, int timeout_ms)
{
	int64_t until_ms = get_clock_ms() + timeout_ms;

	for (; get_clock_ms() < until_ms; rig_sleep_ms(20)) {
		rig_stream_t stream;
		rig_message_t answer;
		int fd = rig_connect(tier->ready);
		bool is_ready = false;

		if (fd < 0)
			continue;
		rig_stream_begin(&stream, fd);
		if (rig_call(fd, "GET", "/api/ready", "ready", 1000, NULL, 0) &&
		    rig_read(&stream, &answer, true, 1000)) {
			is_ready = answer.status == 200;
			rig_message_end(&answer);
		}
		rig_stream_end(&stream);
		if (is_ready) {
			rig_record("vm %d is ready", tier->number);
			return true;
		}
	}
	return false;
}

bool
rig_tier_is_alive(const rig_tier_t *tier)
{
	return waitpid(tier->pid, NULL, WNOHANG) == 0;
}

void
rig_tier_signal(rig_tier_t *tier, int number)
{
	kill(tier->pid, number);
	rig_record("vm %d got signal %d", tier->number, number);
	if (number != SIGKILL)
		return;
	waitpid(tier->pid, NULL, 0);
	for (int i = 0; i < rig.pid_count; i++)
		if (rig.pids[i] == tier->pid)
			rig.pids[i] = 0;
}
