/*
 * Stand-ins for the scripts of the review, in one process on loopback: the
 * platform's store, the leafs and the clients. It uses the C library only.
 *
 *   standin ports N               print N free ports
 *   standin run STORE_PORT RECORD read commands from standard input:
 *
 *   store PORT                    another port of the store
 *   turn-away PORT 1|0            the store is silent at this port, or not
 *   put KIND NAME SPEC            write an object; SPEC is kept as it is
 *   load KIND NAME FILE           the same, the SPEC from a file
 *   del KIND NAME                 remove it
 *   leaf ID SERVICE PORT WORK     a leaf that listens; WORK: ms of a run, 0.5
 * to 1.5 x extra ID SHARE                additional bytes after this share of
 * its answers clients N PORTS METHOD PATH DEADLINE_MS GAP_MS SECONDS PREFIX
 *   rotation PORT 1|0              new connections go to it, or to others
 *   pairs N PORTS ...             the same; sends two requests in one write
 *   wait                          until the clients have ended
 *   sleep MS
 *   mark TEXT                     a line in the record
 *
 * Each line of the record begins with the milliseconds of the steady clock.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX    8192
#define OBJECTS_MAX 512
#define EVENTS_MAX  8192
#define LEAFS_MAX   128
#define SLOTS	    2  /* concurrent requests of a leaf */
#define QUEUE_MAX   12 /* more are answered 503, not executed */

typedef struct object {
	char kind[64], name[128];
	char *spec, *status;
	long revision;
	bool is_removed;
} object_t;

typedef struct event {
	char kind[64];
	char *text;
	long revision;
} event_t;

typedef struct leaf {
	char id[64], service[64];
	double work_ms;
	/* Share of the answers after which additional bytes are sent, when the
	 * next request arrives on the connection. */
	double extra;
	int busy, queued;
	pthread_mutex_t lock;
	pthread_cond_t is_free;
} leaf_t;

typedef struct message {
	char head[HEAD_MAX], *body;
	size_t body_length;
} message_t;

typedef struct reader {
	int fd;
	char data[65536];
	size_t length;
} reader_t;

typedef struct client {
	int ports[16], port_count, home, port; /* port: of its connection */
	int deadline_ms, gap_ms, number;
	int64_t end_ms;
	bool sends_pairs;
	char method[16], path[128], prefix[64];
} client_t;

static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static object_t objects[OBJECTS_MAX];
static int object_count;
static event_t events[EVENTS_MAX];
static int event_count;
static long revision = 100;
static leaf_t leafs[LEAFS_MAX];
static int leaf_count;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int running_clients;

/* One port of the store for each VM that it may turn away. */
typedef struct store_port {
	int port;
	volatile bool is_silent;
} store_port_t;

static volatile bool is_out[65536]; /* VMs by port: out of rotation */
static store_port_t store_ports[LEAFS_MAX];
static int store_port_count;

static int64_t
now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

static void
sleep_us(int64_t us)
{
	struct timespec span = { us / 1000000, us % 1000000 * 1000 };

	while (us > 0 && nanosleep(&span, &span) != 0 && errno == EINTR)
		;
}

static void record(const char *format, ...)
    __attribute__((format(printf, 1, 2)));

static void
record(const char *format, ...)
{
	va_list arguments;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%lld ", (long long)now_ms());
	va_start(arguments, format);
	vfprintf(record_file, format, arguments);
	va_end(arguments);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

/* A number of (0, 1), by splitmix64; each thread has its own sequence. */
static double
draw(void)
{
	static uint64_t thread_count;
	static __thread uint64_t state;
	uint64_t value;

	if (state == 0)
		state = (uint64_t)now_ms() * 0x2545f4914f6cdd1dULL +
			__sync_add_and_fetch(&thread_count, 1) *
			    0xd1342543de82ef95ULL;
	value = (state += 0x9e3779b97f4a7c15ULL);
	value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
	value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
	value ^= value >> 31;
	return ((double)(value >> 12) + 0.5) / 4503599627370496.0;
}

/* ---- Sockets and messages ---- */

static int
listen_on(int *port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)*port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t length = sizeof(address);
	int one = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(fd, 256) != 0) {
		fprintf(
		    stderr, "standin: port %d: %s\n", *port, strerror(errno));
		exit(2);
	}
	getsockname(fd, (struct sockaddr *)&address, &length);
	*port = ntohs(address.sin_port);
	return fd;
}

static bool
send_all(int fd, const char *data, size_t length)
{
	while (length > 0) {
		ssize_t sent = send(fd, data, length, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		data += sent;
		length -= (size_t)sent;
	}
	return true;
}

/* The value of a header, or NULL; `value` holds it. */
static const char *
get_header(const char *head, const char *name, char *value, size_t size)
{
	size_t length = strlen(name);
	const char *line = strstr(head, "\r\n");

	while (line != NULL && line[2] != '\0') {
		line += 2;
		if (strncasecmp(line, name, length) == 0 &&
		    line[length] == ':') {
			const char *text = line + length + 1;

			text += strspn(text, " ");
			snprintf(value, size, "%.*s",
			    (int)strcspn(text, "\r\n"), text);
			return value;
		}
		line = strstr(line, "\r\n");
	}
	return NULL;
}

/* Reads until deadline_ms of the steady clock; 0: without limit. */
static bool
fill(reader_t *reader, int64_t deadline_ms)
{
	ssize_t got;

	if (deadline_ms > 0) {
		struct pollfd wait = { .fd = reader->fd, .events = POLLIN };
		int64_t left = deadline_ms - now_ms();

		if (left <= 0 || poll(&wait, 1, (int)left) <= 0)
			return false;
	}
	got = recv(reader->fd, reader->data + reader->length,
	    sizeof(reader->data) - 1 - reader->length, 0);
	if (got <= 0)
		return false;
	reader->length += (size_t)got;
	return true;
}

/* Reads one message with a Content-Length; the caller frees the body. */
static bool
read_message(reader_t *reader, message_t *message, int64_t deadline_ms)
{
	char value[64], *end;
	size_t head_length;

	message->body = NULL;
	for (;;) {
		reader->data[reader->length] = '\0';
		end = strstr(reader->data, "\r\n\r\n");
		if (end != NULL)
			break;
		if (!fill(reader, deadline_ms))
			return false;
	}
	head_length = (size_t)(end - reader->data) + 4;
	if (head_length >= sizeof(message->head))
		return false;
	memcpy(message->head, reader->data, head_length - 2);
	message->head[head_length - 2] = '\0';
	message->body_length = get_header(message->head, "content-length",
				   value, sizeof(value)) != NULL
				   ? (size_t)strtoul(value, NULL, 10)
				   : 0;
	if (head_length + message->body_length >= sizeof(reader->data))
		return false;
	while (reader->length < head_length + message->body_length)
		if (!fill(reader, deadline_ms))
			return false;
	message->body = malloc(message->body_length + 1);
	memcpy(message->body, reader->data + head_length, message->body_length);
	message->body[message->body_length] = '\0';
	reader->length -= head_length + message->body_length;
	memmove(reader->data, reader->data + head_length + message->body_length,
	    reader->length);
	return true;
}

typedef struct accepted {
	int fd;
	void *context;
} accepted_t;

typedef struct listener {
	int fd;
	void *(*serve)(void *accepted);
	void *context;
} listener_t;

static void
start_thread(void *(*body)(void *), void *context)
{
	pthread_t thread;
	pthread_attr_t attributes;

	pthread_attr_init(&attributes);
	pthread_attr_setstacksize(&attributes, 262144);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attributes, body, context) != 0)
		exit(2);
	pthread_attr_destroy(&attributes);
}

static void *
accept_connections(void *context)
{
	listener_t *listener = context;

	for (;;) {
		accepted_t *accepted = malloc(sizeof(*accepted));
		int one = 1;

		accepted->fd = accept4(listener->fd, NULL, NULL, SOCK_CLOEXEC);
		accepted->context = listener->context;
		if (accepted->fd < 0) {
			free(accepted);
			continue;
		}
		setsockopt(
		    accepted->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		start_thread(listener->serve, accepted);
	}
	return NULL;
}

static void
start_listener(int port, void *(*serve)(void *), void *context)
{
	listener_t *listener = malloc(sizeof(*listener));

	listener->fd = listen_on(&port);
	listener->serve = serve;
	listener->context = context;
	start_thread(accept_connections, listener);
}

/* ---- Store ---- */

static object_t *
find_object(const char *kind, const char *name)
{
	for (int i = 0; i < object_count; i++)
		if (strcmp(objects[i].kind, kind) == 0 &&
		    strcmp(objects[i].name, name) == 0)
			return &objects[i];
	return NULL;
}

/* The object as JSON; freed by the caller. */
static char *
format_object(const object_t *object)
{
	char *text;

	if (asprintf(&text,
		"{\"meta\":{\"name\":\"%s\",\"revision\":%ld,\"created\":1,"
		"\"finalizers\":[],\"deleting\":false},\"spec\":%s,"
		"\"status\":%s}",
		object->name, object->revision, object->spec,
		object->status) < 0)
		exit(2);
	return text;
}

/* spec or status NULL: as it was. With the lock held. */
static object_t *
put_object(const char *kind, const char *name, const char *spec,
    const char *status, bool is_removed)
{
	object_t *object = find_object(kind, name);
	event_t *event = &events[event_count++];
	char *text;

	if (object == NULL) {
		object = &objects[object_count++];
		snprintf(object->kind, sizeof(object->kind), "%s", kind);
		snprintf(object->name, sizeof(object->name), "%s", name);
		object->spec = strdup("null");
		object->status = strdup("null");
	}
	if (spec != NULL)
		object->spec = strdup(spec);
	if (status != NULL)
		object->status = strdup(status);
	object->is_removed = is_removed;
	object->revision = ++revision;
	text = format_object(object);
	snprintf(event->kind, sizeof(event->kind), "%s", kind);
	event->revision = revision;
	if (asprintf(&event->text, "{\"deleted\":%s,\"object\":%s}",
		is_removed ? "true" : "false", text) < 0)
		exit(2);
	free(text);
	pthread_cond_broadcast(&store_changed);
	return object;
}

static bool
respond(
    int fd, int status, const char *headers, const char *body, size_t length)
{
	char *text;
	int head = asprintf(&text,
	    "HTTP/1.1 %d Status\r\n%sContent-Length: "
	    "%zu\r\n\r\n",
	    status, headers, length);
	bool is_sent;

	text = realloc(text, (size_t)head + length);
	memcpy(text + head, body, length);
	is_sent = send_all(fd, text, (size_t)head + length);
	free(text);
	return is_sent;
}

static bool
respond_text(int fd, int status, char *body)
{
	bool is_sent = respond(fd, status, "Content-Type: application/json\r\n",
	    body, strlen(body));

	free(body);
	return is_sent;
}

static char *
append(char *list, const char *text)
{
	size_t length = strlen(list);

	list = realloc(list, length + strlen(text) + 2);
	if (length > 0)
		strcat(list, ",");
	return strcat(list, text);
}

static bool
answer_list(int fd, const char *kind)
{
	char *list = strdup(""), *body;

	pthread_mutex_lock(&store_lock);
	for (int i = 0; i < object_count; i++) {
		char *text;

		if (objects[i].is_removed || strcmp(objects[i].kind, kind) != 0)
			continue;
		text = format_object(&objects[i]);
		list = append(list, text);
		free(text);
	}
	if (asprintf(&body,
		"{\"items\":[%s],\"has_more\":false,\"current_rev\":%ld}", list,
		revision) < 0)
		exit(2);
	pthread_mutex_unlock(&store_lock);
	free(list);
	return respond_text(fd, 200, body);
}

static bool
answer_watch(int fd, const store_port_t *port, bool *is_lost, const char *kind,
    long since, long wait_ms)
{
	int64_t end_ms = now_ms() + wait_ms;
	char *list = strdup(""), *body;

	pthread_mutex_lock(&store_lock);
	for (;;) {
		struct timespec until;
		int64_t left = end_ms - now_ms();

		for (int i = 0; i < event_count; i++)
			if (events[i].revision > since &&
			    strcmp(events[i].kind, kind) == 0)
				list = append(list, events[i].text);
		if (list[0] != '\0' || left <= 0)
			break;
		clock_gettime(CLOCK_REALTIME, &until);
		until.tv_nsec += left % 1000 * 1000000;
		until.tv_sec += left / 1000 + until.tv_nsec / 1000000000;
		until.tv_nsec %= 1000000000;
		pthread_cond_timedwait(&store_changed, &store_lock, &until);
	}
	if (asprintf(&body, "{\"events\":[%s],\"current_rev\":%ld}", list,
		revision) < 0)
		exit(2);
	pthread_mutex_unlock(&store_lock);
	free(list);
	if (port->is_silent) {
		*is_lost = true;
		free(body);
		return true;
	}
	return respond_text(fd, 200, body);
}

/* The value of a top-level key of an object, by counting braces. */
static char *
cut_value(const char *body, const char *key)
{
	const char *begin = strstr(body, key), *end;
	int depth = 0;

	if (begin == NULL)
		return NULL;
	begin += strlen(key);
	begin += strspn(begin, " :");
	for (end = begin; *end != '\0'; end++) {
		depth += *end == '{';
		depth -= *end == '}';
		if (depth == 0 && (*end == '}' || *end == ','))
			break;
	}
	return strndup(begin, (size_t)(end - begin) + (*end == '}'));
}

static bool
answer_write(int fd, const char *method, char *path, const message_t *message,
    long wanted)
{
	char *name = strchr(path, '/'), *rest = NULL, *body, value[128];
	char *spec = cut_value(message->body, "\"spec\"");
	char *status = cut_value(message->body, "\"status\"");
	object_t *object;
	int code = 200;

	if (name != NULL) {
		*name++ = '\0';
		rest = strchr(name, '/');
		if (rest != NULL)
			*rest = '\0';
	} else {
		const char *found = strstr(message->body, "\"name\":\"");

		snprintf(value, sizeof(value), "%.*s",
		    found != NULL ? (int)strcspn(found + 8, "\"") : 0,
		    found != NULL ? found + 8 : "");
		name = value;
	}
	pthread_mutex_lock(&store_lock);
	object = find_object(path, name);
	if (object != NULL && object->is_removed)
		object = NULL;
	if (strcmp(method, "POST") == 0
		? object != NULL
		: object != NULL && wanted > 0 && object->revision != wanted)
		code = 409;
	else if (object == NULL && strcmp(method, "PUT") == 0)
		code = 404;
	else
		object = put_object(path, name, rest == NULL ? spec : NULL,
		    rest != NULL ? status : NULL, false);
	body = object != NULL ? format_object(object) : strdup("{}");
	pthread_mutex_unlock(&store_lock);
	free(spec);
	free(status);
	return respond_text(fd, code, body);
}

static long
get_query(const char *target, const char *key)
{
	const char *found = strstr(target, key);

	return found != NULL ? strtol(found + strlen(key), NULL, 10) : -1;
}

static void *
serve_store(void *context)
{
	accepted_t accepted = *(accepted_t *)context;
	const store_port_t *port = accepted.context;
	bool is_lost = false; /* an answer: then nothing further comes */
	reader_t *reader = calloc(1, sizeof(*reader));
	message_t *message = calloc(1, sizeof(*message));
	bool is_open = true;

	free(context);
	reader->fd = accepted.fd;
	while (is_open && read_message(reader, message, 0)) {
		char method[16], target[512], path[512];

		is_lost = is_lost || port->is_silent;
		if (is_lost) {
			free(message->body);
			message->body = NULL;
			continue;
		}

		if (sscanf(message->head, "%15s %511s", method, target) != 2 ||
		    strncmp(target, "/api/objects/", 13) != 0)
			break;
		snprintf(path, sizeof(path), "%s", target + 13);
		path[strcspn(path, "?")] = '\0';
		if (strcmp(method, "GET") != 0)
			is_open = answer_write(accepted.fd, method, path,
			    message, get_query(target, "revision="));
		else if (strstr(target, "watch=") != NULL)
			is_open = answer_watch(accepted.fd, port, &is_lost,
			    path, get_query(target, "watch="),
			    get_query(target, "wait_ms="));
		else
			is_open = answer_list(accepted.fd, path);
		free(message->body);
		message->body = NULL;
	}
	free(message->body);
	free(message);
	free(reader);
	close(accepted.fd);
	return NULL;
}

/* ---- Leafs ---- */

/* False: the queue is full. */
static bool
take_slot(leaf_t *leaf)
{
	pthread_mutex_lock(&leaf->lock);
	if (leaf->busy >= SLOTS && leaf->queued >= QUEUE_MAX) {
		pthread_mutex_unlock(&leaf->lock);
		return false;
	}
	leaf->queued++;
	while (leaf->busy >= SLOTS)
		pthread_cond_wait(&leaf->is_free, &leaf->lock);
	leaf->queued--;
	leaf->busy++;
	pthread_mutex_unlock(&leaf->lock);
	return true;
}

static void
release_slot(leaf_t *leaf)
{
	pthread_mutex_lock(&leaf->lock);
	leaf->busy--;
	pthread_cond_signal(&leaf->is_free);
	pthread_mutex_unlock(&leaf->lock);
}

#define NOT_EXECUTED "Plantainarch-Not-Executed: 1\r\n"

/* As the pages show the answer of a leaf that sheds; it names no request. */
#define EXTRA_BYTES                            \
	"HTTP/1.1 503 Service Unavailable\r\n" \
	"Plantainarch-Not-Executed: 1\r\n"     \
	"Content-Length: 0\r\n\r\n"

static void *
serve_leaf(void *context)
{
	accepted_t accepted = *(accepted_t *)context;
	leaf_t *leaf = accepted.context;
	reader_t *reader = calloc(1, sizeof(*reader));
	message_t *message = calloc(1, sizeof(*message));
	bool is_open = true, is_extra_due = false;

	free(context);
	reader->fd = accepted.fd;
	while (is_open && read_message(reader, message, 0)) {
		char id[128], expected[128], headers[512], body[160];
		char limit[64];
		double limit_ms, work_ms;
		bool is_late;

		free(message->body);
		message->body = NULL;
		if (get_header(message->head, "plantainarch-request-id", id,
			sizeof(id)) == NULL) {
			is_open =
			    respond(accepted.fd, 400, NOT_EXECUTED, "", 0);
			continue;
		}
		if (get_header(message->head, "plantainarch-expect-instance",
			expected, sizeof(expected)) != NULL &&
		    strcmp(expected, leaf->id) != 0) {
			snprintf(headers, sizeof(headers),
			    "Plantainarch-Request-Id: %s\r\n", id);
			is_open = respond(accepted.fd, 421, headers, "", 0);
			continue;
		}
		record("arrived id=%s leaf=%s service=%s", id, leaf->id,
		    leaf->service);
		if (is_extra_due) {
			record("extra bytes leaf=%s before=%s", leaf->id, id);
			is_extra_due = false;
			send_all(accepted.fd, EXTRA_BYTES, strlen(EXTRA_BYTES));
		}
		snprintf(headers, sizeof(headers),
		    NOT_EXECUTED "Plantainarch-Request-Id: %s\r\n", id);
		if (!take_slot(leaf)) {
			record("shed id=%s leaf=%s", id, leaf->id);
			is_open = respond(accepted.fd, 503, headers, "", 0);
			continue;
		}
		record("ran id=%s leaf=%s service=%s", id, leaf->id,
		    leaf->service);
		limit_ms = get_header(message->head, "plantainarch-deadline-ms",
			       limit, sizeof(limit)) != NULL
			       ? strtod(limit, NULL)
			       : 10000;
		work_ms = leaf->work_ms * (0.5 + draw());
		is_late = work_ms > limit_ms;
		sleep_us((int64_t)((is_late ? limit_ms : work_ms) * 1000));
		release_slot(leaf);
		snprintf(headers, sizeof(headers),
		    "Plantainarch-Request-Id: %s\r\n"
		    "Plantainarch-Server-Stamp: %s.%s.%s\r\n",
		    id, leaf->service, leaf->id, id);
		for (size_t i = 0; i < sizeof(body); i++)
			body[i] = (char)('a' + 25 * draw());
		is_open = respond(accepted.fd, is_late ? 504 : 200, headers,
		    body, sizeof(body));
		record("answered id=%s leaf=%s", id, leaf->id);
		is_extra_due = draw() < leaf->extra;
	}
	close(accepted.fd);
	free(message->body);
	free(message);
	free(reader);
	return NULL;
}

/* ---- Clients ---- */

static int
connect_to(int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int one = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* Reads the answer to one request; returns its status, 0 if there is none. */
static int
read_answer(const client_t *client, reader_t *reader, message_t *message,
    const char *id, int64_t deadline_ms)
{
	int status = 0;

	if (reader->fd >= 0 && read_message(reader, message, deadline_ms) &&
	    sscanf(message->head, "HTTP/1.1 %d", &status) != 1) {
		status = -1;
		record("no answer in the protocol id=%s: %.*s", id,
		    (int)strcspn(message->head, "\r\n"), message->head);
	}
	record("got id=%s vm=%d status=%d", id, client->port, status);
	free(message->body);
	message->body = NULL;
	return status;
}

static void
write_request(const client_t *client, const char *id, char *out, size_t size)
{
	bool is_post = strcmp(client->method, "POST") == 0;

	snprintf(out, size,
	    "%s %s HTTP/1.1\r\nHost: site.example\r\n"
	    "Plantainarch-Request-Id: %s\r\n"
	    "Plantainarch-Deadline-Ms: %d\r\n%s\r\n%s",
	    client->method, client->path, id, client->deadline_ms,
	    is_post ? "Content-Length: 9\r\n" : "", is_post ? "one crate" : "");
	record("sent id=%s vm=%d", id, client->port);
}

/* Its own VM, or the next one that is in rotation. */
static void
choose_port(client_t *client)
{
	for (int i = 0; i < client->port_count; i++) {
		client->port =
		    client->ports[(client->home + i) % client->port_count];
		if (!is_out[client->port])
			return;
	}
	client->port = client->ports[client->home];
}

/*
 * Sends one request, or two in one write, after the other on a kept connection,
 * without retries. After "Connection: close" it sends nothing more on it, and
 * reads what may follow until the connection ends.
 */
static void *
run_client(void *context)
{
	client_t *client = context;
	reader_t *reader = calloc(1, sizeof(*reader));
	message_t *message = calloc(1, sizeof(*message));
	int count = 0, each = client->sends_pairs ? 2 : 1;

	reader->fd = -1;
	while (now_ms() < client->end_ms) {
		char ids[2][128], requests[2048] = "", value[64];
		int64_t deadline_ms;
		bool is_closing = false;

		sleep_us((int64_t)(client->gap_ms * 1000 * (0.5 + draw())));
		if (reader->fd < 0) {
			choose_port(client);
			reader->fd = connect_to(client->port);
			reader->length = 0;
		}
		for (int i = 0; i < each; i++) {
			size_t length = strlen(requests);

			snprintf(ids[i], sizeof(ids[i]), "%s-%d-%d",
			    client->prefix, client->number, count++);
			write_request(client, ids[i], requests + length,
			    sizeof(requests) - length);
		}
		deadline_ms = now_ms() + each * client->deadline_ms;
		if (reader->fd >= 0 &&
		    !send_all(reader->fd, requests, strlen(requests))) {
			close(reader->fd);
			reader->fd = -1;
		}
		for (int i = 0; i < each; i++) {
			int status = read_answer(
			    client, reader, message, ids[i], deadline_ms);

			is_closing = is_closing || status <= 0 ||
				     (get_header(message->head, "connection",
					  value, sizeof(value)) != NULL &&
					 strcasecmp(value, "close") == 0);
		}
		if (is_closing && reader->fd >= 0) {
			close(reader->fd);
			reader->fd = -1;
		}
	}
	if (reader->fd >= 0)
		close(reader->fd);
	free(reader);
	free(message);
	free(client);
	__sync_fetch_and_sub(&running_clients, 1);
	return NULL;
}

/* ---- Commands ---- */

static leaf_t *
find_leaf(const char *id)
{
	for (int i = 0; i < leaf_count; i++)
		if (strcmp(leafs[i].id, id) == 0)
			return &leafs[i];
	fprintf(stderr, "standin: no leaf %s\n", id);
	exit(2);
}

static void
add_leaf(const char *id, const char *service, int port, double work_ms)
{
	leaf_t *leaf = &leafs[leaf_count++];

	snprintf(leaf->id, sizeof(leaf->id), "%s", id);
	snprintf(leaf->service, sizeof(leaf->service), "%s", service);
	leaf->work_ms = work_ms;
	pthread_mutex_init(&leaf->lock, NULL);
	pthread_cond_init(&leaf->is_free, NULL);
	start_listener(port, serve_leaf, leaf);
}

static void
start_clients(const char *line)
{
	char ports[1024], method[16], path[128], prefix[64], *next, *port;
	int count, deadline_ms, gap_ms, list[16] = { 0 }, all = 0;
	double seconds;

	if (sscanf(line, "%*s %d %1023s %15s %127s %d %d %lf %63s", &count,
		ports, method, path, &deadline_ms, &gap_ms, &seconds,
		prefix) != 8)
		exit(2);
	for (port = strtok_r(ports, ",", &next); port != NULL && all < 16;
	     port = strtok_r(NULL, ",", &next))
		list[all++] = atoi(port);
	for (int home = 0; home < all; home++) {
		for (int i = 0; i < count; i++) {
			static int number;
			client_t *client = calloc(1, sizeof(*client));

			memcpy(client->ports, list, sizeof(list));
			client->port_count = all;
			client->home = home;
			client->sends_pairs = strncmp(line, "pairs", 5) == 0;
			client->deadline_ms = deadline_ms;
			client->gap_ms = gap_ms;
			client->number = number++;
			client->end_ms = now_ms() + (int64_t)(seconds * 1000);
			snprintf(client->method, sizeof(client->method), "%s",
			    method);
			snprintf(
			    client->path, sizeof(client->path), "%s", path);
			snprintf(client->prefix, sizeof(client->prefix), "%s",
			    prefix);
			__sync_fetch_and_add(&running_clients, 1);
			start_thread(run_client, client);
		}
	}
}

static void
add_store_port(int port)
{
	store_port_t *added = &store_ports[store_port_count++];

	added->port = port;
	start_listener(port, serve_store, added);
}

static char *
read_file(const char *path)
{
	FILE *file = fopen(path, "r");
	char *text = calloc(1, 1048577);

	if (file == NULL || fread(text, 1, 1048576, file) == 0)
		exit(2);
	fclose(file);
	return text;
}

static void
run_command(char *line)
{
	char one[64], two[128], three[64], path[1024];
	double number;
	int used = 0, port;

	if (sscanf(line, "store %d", &port) == 1)
		add_store_port(port);
	else if (sscanf(line, "turn-away %d %lf", &port, &number) == 2) {
		for (int i = 0; i < store_port_count; i++)
			if (store_ports[i].port == port)
				store_ports[i].is_silent = number > 0;
		record("store port=%d silent=%.0f", port, number);
	} else if (sscanf(line, "put %63s %127s %n", one, two, &used) == 2 &&
		   used > 0) {
		pthread_mutex_lock(&store_lock);
		put_object(one, two, line + used, NULL, false);
		pthread_mutex_unlock(&store_lock);
		record("store put %s/%s %s", one, two,
		    strcmp(one, "config") == 0 ? "" : line + used);
	} else if (sscanf(line, "load %63s %127s %1023s", one, two, path) ==
		   3) {
		char *spec = read_file(path);

		pthread_mutex_lock(&store_lock);
		put_object(one, two, spec, NULL, false);
		pthread_mutex_unlock(&store_lock);
		record("store put %s/%s %zu bytes of %s", one, two,
		    strlen(spec), strrchr(path, '/') + 1);
		free(spec);
	} else if (sscanf(line, "del %63s %127s", one, two) == 2) {
		pthread_mutex_lock(&store_lock);
		put_object(one, two, NULL, NULL, true);
		pthread_mutex_unlock(&store_lock);
		record("store del %s/%s", one, two);
	} else if (sscanf(line, "leaf %63s %63s %d %lf", one, three, &port,
		       &number) == 4)
		add_leaf(one, three, port, number);
	else if (sscanf(line, "extra %63s %lf", one, &number) == 2) {
		find_leaf(one)->extra = number;
		record("extra share leaf=%s share=%.3f", one, number);
	} else if (strncmp(line, "clients ", 8) == 0 ||
		   strncmp(line, "pairs ", 6) == 0)
		start_clients(line);
	else if (sscanf(line, "rotation %d %lf", &port, &number) == 2) {
		is_out[port & 65535] = number == 0;
		record("rotation vm=%d in=%.0f", port, number);
	} else if (strcmp(line, "wait") == 0)
		while (__sync_fetch_and_add(&running_clients, 0) > 0)
			sleep_us(10000);
	else if (sscanf(line, "sleep %lf", &number) == 1)
		sleep_us((int64_t)(number * 1000));
	else if (strncmp(line, "mark ", 5) == 0)
		record("mark %s", line + 5);
	else {
		fprintf(stderr, "standin: unknown command: %s\n", line);
		exit(2);
	}
}

/* Whether the port is free; if it is, the socket stays open. */
static bool
hold_port(int port, int *fd)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };

	*fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (bind(*fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return true;
	close(*fd);
	return false;
}

/*
 * Prints a block of free ports, below the range that the system gives to
 * connections. The store uses the first one as long as a script runs, so that
 * scripts that run at the same time get other blocks.
 */
static void
print_ports(int count)
{
	unsigned seed = (unsigned)(now_ms() ^ getpid());
	int fds[1000], held = 0, base = 0;

	if (count > 1000)
		exit(2);
	while (held < count) {
		while (held > 0)
			close(fds[--held]);
		base = 10000 + count * (rand_r(&seed) % (20000 / count));
		while (held < count && hold_port(base + held, &fds[held]))
			held++;
	}
	for (int i = 0; i < count; i++)
		printf("%d\n", base + i);
}

int
main(int argc, char **argv)
{
	char line[65536];

	signal(SIGPIPE, SIG_IGN);
	if (argc == 3 && strcmp(argv[1], "ports") == 0) {
		print_ports(atoi(argv[2]));
		return 0;
	}
	if (argc != 4 || strcmp(argv[1], "run") != 0) {
		fprintf(stderr, "standin ports N | run STORE_PORT RECORD\n");
		return 2;
	}
	record_file = fopen(argv[3], "a");
	if (record_file == NULL)
		return 2;
	add_store_port(atoi(argv[2]));
	while (fgets(line, sizeof(line), stdin) != NULL) {
		line[strcspn(line, "\n")] = '\0';
		if (line[0] != '\0')
			run_command(line);
		printf("ok\n");
		fflush(stdout);
	}
	return 0;
}
