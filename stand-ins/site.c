/**
 * @file site.c
 * A whole platform in one process on loopback: the object store, the leafs of
 * a few shards, and a control port that brings trouble to either.
 *
 * GET  /stats                      what ran, and what broke a promise
 * GET  /fault?leaf=ID&kind=K&share=S   K: none dark reset cut garbage extra
 *                                  error shed slow moved; leaf=all for all
 * GET  /store?mode=M               M: up down silent busy lost compact
 * GET  /leaf?id=ID&state=S         S: ready draining gone bad
 * GET  /configuration?version=N   the next configuration
 * GET  /churn?version=N           N changes of one leaf's entry
 */
#include <argtable2.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "tier_shell.h"

#define HEAD_BYTES    16384
#define BODY_BYTES    1048576
#define LEAFS_MAX     256
#define FIRST_REV     100
#define EVENTS_A_PAGE 120 /* of one answer to a watch */

typedef struct site site_t;

typedef enum port_type { PORT_STORE, PORT_LEAF, PORT_CONTROL } port_type_t;

typedef struct site_leaf {
	char id[32], service[32], address[64], zone[32];
	int slots, busy, number;
	GQueue queue; /* site_link_t */
	char fault[16];
	double share;
	bool is_draining;
	int arrivals_drained;
} site_leaf_t;

typedef struct site_port {
	site_t *site;
	port_type_t type;
	site_leaf_t *leaf;
	int fd;
} site_port_t;

typedef struct site_link {
	LIST_ENTRY(site_link) all;
	site_port_t *port;
	stream_t *stream;
	http_message_t message;
	int64_t due_us;		/* of the answer; 0: nothing in work */
	int64_t watch_revision; /* -1: no watch */
	char *kind;		/* of the watch */
	bool is_running, is_queued, is_ended;
	GString *backlog;
} site_link_t;

typedef struct site_event {
	int64_t revision;
	char *kind;
	json_t *object;
	bool is_removed;
} site_event_t;

struct site {
	loop_t *loop;
	LIST_HEAD(, site_link) links;
	GPtrArray *leafs;
	GHashTable *objects; /* "kind/name" -> json_t */
	GQueue history;	     /* site_event_t */
	int64_t revision, oldest;
	char mode[16];
	int shards, work_ms;
	GHashTable *runs; /* request id + service -> count */
	int run_count, unasked, twice;
	unsigned seed;
};

static void handle_received(void *context, const char *data, size_t length);
static void handle_closed(void *context, bool is_clean);

static const stream_hooks_t link_hooks = { NULL, handle_received,
	handle_closed };

static double
draw(site_t *site)
{
	return (double)rand_r(&site->seed) / RAND_MAX;
}

static void
respond(site_link_t *link, int status, const char *headers, const char *body,
    size_t length)
{
	GString *out = g_string_new(NULL);

	g_string_printf(out,
	    "HTTP/1.1 %d %s\r\n%sContent-Length: %" G_GSIZE_FORMAT "\r\n\r\n",
	    status, http_get_reason(status), headers, length);
	g_string_append_len(out, body, (gssize)length);
	stream_write(link->stream, out->str, out->len);
	g_string_free(out, TRUE);
	link->is_ended = true;
	loop_wake(link->port->site->loop);
}

static void
destroy_link(site_link_t *link)
{
	site_leaf_t *leaf = link->port->leaf;

	if (leaf != NULL && link->is_running)
		leaf->busy--;
	if (leaf != NULL && link->is_queued)
		g_queue_remove(&leaf->queue, link);
	LIST_REMOVE(link, all);
	stream_destroy(link->stream);
	http_message_end(&link->message);
	g_string_free(link->backlog, TRUE);
	g_free(link->kind);
	g_free(link);
}

/* ---- Store ---- */

static char *
get_query(const char *target, const char *key)
{
	const char *query = strchr(target, '?');
	size_t length = strlen(key);

	while (query != NULL) {
		query++;
		if (strncmp(query, key, length) == 0 && query[length] == '=')
			return g_strndup(query + length + 1,
			    strcspn(query + length + 1, "&"));
		query = strchr(query, '&');
	}
	return NULL;
}

static void
respond_json(site_link_t *link, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	respond(link, status, "Content-Type: application/json\r\n", text,
	    strlen(text));
	free(text);
	json_decref(body);
}

static bool
answer_watch(site_link_t *link)
{
	site_t *site = link->port->site;
	json_t *events;
	int64_t last = site->revision;

	if (link->watch_revision < site->oldest) {
		link->watch_revision = -1;
		respond_json(link, 410, json_pack("{s:s}", "error", "gone"));
		return true;
	}
	events = json_array();
	for (GList *each = site->history.head; each != NULL;
	     each = each->next) {
		site_event_t *event = each->data;

		if (event->revision <= link->watch_revision ||
		    strcmp(event->kind, link->kind) != 0)
			continue;
		json_array_append_new(
		    events, json_pack("{s:b,s:O}", "deleted", event->is_removed,
				"object", event->object));
		last = event->revision;
		if (json_array_size(events) >= EVENTS_A_PAGE)
			break;
	}
	if (json_array_size(events) < EVENTS_A_PAGE)
		last = site->revision;
	if (json_array_size(events) == 0 && clock_get_us() < link->due_us) {
		json_decref(events);
		return false;
	}
	link->watch_revision = -1;
	respond_json(link, 200,
	    json_pack("{s:o,s:I}", "events", events, "current_rev",
		(json_int_t)last));
	return true;
}

static void
put_object(site_t *site, const char *kind, const char *name, json_t *spec)
{
	char *key = g_strdup_printf("%s/%s", kind, name);
	site_event_t *event = g_new0(site_event_t, 1);
	json_t *before = g_hash_table_lookup(site->objects, key);
	json_t *object;

	site->revision++;
	event->is_removed = spec == NULL;
	object = json_pack("{s:{s:s,s:I,s:I,s:[],s:b},s:O,s:n}", "meta", "name",
	    name, "revision", (json_int_t)site->revision, "created",
	    (json_int_t)site->revision, "finalizers", "deleting", 0, "spec",
	    spec != NULL ? spec : json_object_get(before, "spec"), "status");
	event->revision = site->revision;
	event->kind = g_strdup(kind);
	event->object = object;
	g_queue_push_tail(&site->history, event);
	if (spec == NULL)
		g_hash_table_remove(site->objects, key);
	else
		g_hash_table_insert(
		    site->objects, g_strdup(key), json_incref(object));
	g_free(key);
}

static void
list_kind(site_link_t *link, const char *kind)
{
	site_t *site = link->port->site;
	GList *keys = g_list_sort(
	    g_hash_table_get_keys(site->objects), (GCompareFunc)strcmp);
	json_t *items = json_array();
	char *prefix = g_strdup_printf("%s/", kind);

	for (GList *key = keys; key != NULL; key = key->next)
		if (g_str_has_prefix(key->data, prefix))
			json_array_append(items,
			    g_hash_table_lookup(site->objects, key->data));
	respond_json(link, 200,
	    json_pack("{s:o,s:b,s:I}", "items", items, "has_more", 0,
		"current_rev", (json_int_t)site->revision));
	g_list_free(keys);
	g_free(prefix);
}

static void
write_kind(site_link_t *link, const char *path)
{
	site_t *site = link->port->site;
	json_t *body = json_loadb(
	    link->message.body->str, link->message.body->len, 0, NULL);
	char **words = g_strsplit(path, "/", 4);
	const char *name = words[1];
	bool is_post = strcmp(http_get_method(&link->message), "POST") == 0;
	char *key;

	if (is_post)
		name = json_string_value(
		    json_object_get(json_object_get(body, "meta"), "name"));
	key = g_strdup_printf("%s/%s", words[0], name);
	if (strcmp(http_get_method(&link->message), "DELETE") == 0)
		put_object(site, words[0], name, NULL);
	else if (is_post && g_hash_table_contains(site->objects, key))
		respond_json(link, 409, json_object());
	else if (!is_post && !g_hash_table_contains(site->objects, key))
		respond_json(link, 404, json_object());
	else {
		json_t *spec = json_object_get(body, "spec");

		put_object(
		    site, words[0], name, spec != NULL ? spec : json_object());
	}
	if (!link->is_ended)
		respond_json(link, 200, json_object());
	json_decref(body);
	g_strfreev(words);
	g_free(key);
}

static void
handle_store(site_link_t *link)
{
	site_t *site = link->port->site;
	const char *target = http_get_target(&link->message);
	const char *path = target + strlen("/api/objects/");
	char *watch = get_query(target, "watch");
	char *wait = get_query(target, "wait_ms");

	if (strcmp(site->mode, "silent") == 0 ||
	    strcmp(site->mode, "lost") == 0)
		return;
	if (strcmp(site->mode, "busy") == 0)
		respond(link, 503, "", "", 0);
	else if (!g_str_has_prefix(target, "/api/objects/"))
		respond(link, 404, "", "", 0);
	else if (watch != NULL) {
		link->watch_revision = strtoll(watch, NULL, 10);
		g_free(link->kind);
		link->kind = g_strndup(path, strcspn(path, "/?"));
		link->due_us =
		    clock_get_us() +
		    (wait != NULL ? strtoll(wait, NULL, 10) : 0) * 1000;
		answer_watch(link);
	} else if (strcmp(http_get_method(&link->message), "GET") == 0) {
		char *kind = g_strndup(path, strcspn(path, "/?"));

		list_kind(link, kind);
		g_free(kind);
	} else
		write_kind(link, path);
	g_free(watch);
	g_free(wait);
}

/* ---- Leafs ---- */

static bool
is_hit(site_leaf_t *leaf, site_t *site, const char *fault)
{
	return strcmp(leaf->fault, fault) == 0 && draw(site) < leaf->share;
}

static void
answer_leaf(site_link_t *link)
{
	site_leaf_t *leaf = link->port->leaf;
	site_t *site = link->port->site;
	const char *id =
	    http_get_header(&link->message, "Plantainarch-Request-Id");
	char headers[1024], extra[2048], body[400];

	for (size_t i = 0; i < sizeof(body); i++)
		body[i] = (char)(rand_r(&site->seed) % 256);
	snprintf(headers, sizeof(headers),
	    "Plantainarch-Request-Id: %s\r\nPlantainarch-Server-Stamp: "
	    "%s.%s.%s\r\n",
	    id, leaf->service, leaf->id, id);
	if (is_hit(leaf, site, "reset")) {
		destroy_link(link);
		return;
	}
	if (is_hit(leaf, site, "garbage")) {
		stream_write(link->stream, "\x01\x02 no answer\r\n\r\n", 15);
		link->is_ended = true;
		return;
	}
	if (is_hit(leaf, site, "cut")) {
		snprintf(extra, sizeof(extra),
		    "HTTP/1.1 200 OK\r\n%sContent-Length: 400\r\n\r\nshort",
		    headers);
		stream_write(link->stream, extra, strlen(extra));
		stream_finish(link->stream);
		link->stream = NULL;
		destroy_link(link);
		return;
	}
	if (is_hit(leaf, site, "error")) {
		respond(link, 500, headers, "failed", 6);
		return;
	}
	respond(link, 200, headers, body, sizeof(body));
	/* The extra answer stands where the next one is expected. */
	if (is_hit(leaf, site, "extra")) {
		snprintf(extra, sizeof(extra),
		    "HTTP/1.1 200 OK\r\nPlantainarch-Request-Id: other\r\n"
		    "Plantainarch-Server-Stamp: %s.%s.other\r\n"
		    "Content-Length: 16\r\n\r\nsixteen bytes...",
		    leaf->service, leaf->id);
		stream_write(link->stream, extra, strlen(extra));
	}
}

static void
run_leaf(site_link_t *link)
{
	site_leaf_t *leaf = link->port->leaf;
	site_t *site = link->port->site;
	const char *target = http_get_target(&link->message);
	const char *id =
	    http_get_header(&link->message, "Plantainarch-Request-Id");
	double work_ms = site->work_ms * (0.5 + draw(site));
	char *key = g_strdup_printf("%s %s", id, leaf->service);
	int count = GPOINTER_TO_INT(g_hash_table_lookup(site->runs, key)) + 1;

	g_hash_table_insert(site->runs, key, GINT_TO_POINTER(count));
	if (count > 1 && strstr(target, "/once/") != NULL)
		site->twice++;
	site->run_count++;
	if (strcmp(leaf->fault, "slow") == 0)
		work_ms *= 10;
	leaf->busy++;
	link->is_running = true;
	link->is_queued = false;
	link->due_us = clock_get_us() + (int64_t)(work_ms * 1000);
}

static void
handle_leaf(site_link_t *link)
{
	site_leaf_t *leaf = link->port->leaf;
	site_t *site = link->port->site;
	const char *id =
	    http_get_header(&link->message, "Plantainarch-Request-Id");
	const char *expected =
	    http_get_header(&link->message, "Plantainarch-Expect-Instance");

	if (strcmp(leaf->fault, "dark") == 0)
		return;
	if (id == NULL) {
		site->unasked++;
		respond(link, 400, "Plantainarch-Not-Executed: 1\r\n", "", 0);
		return;
	}
	if (expected == NULL || strcmp(expected, leaf->id) != 0 ||
	    strcmp(leaf->fault, "moved") == 0) {
		respond(
		    link, 421, "Plantainarch-Instance-Id: other\r\n", "", 0);
		return;
	}
	if (leaf->is_draining)
		leaf->arrivals_drained++;
	if (is_hit(leaf, site, "shed")) {
		respond(link, 503, "Plantainarch-Not-Executed: 1\r\n", "", 0);
		return;
	}
	if (leaf->busy < leaf->slots) {
		run_leaf(link);
		return;
	}
	link->is_queued = true;
	g_queue_push_tail(&leaf->queue, link);
}

/* ---- Control ---- */

static void
register_leaf(site_t *site, site_leaf_t *leaf, const char *state)
{
	json_t *spec = json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:i}",
	    "service", leaf->service, "address", leaf->address, "zone",
	    leaf->zone, "version", "v1", "slots", leaf->slots, "state", state,
	    "cold_left_ms", 0, "seq", 1, "born", 1);

	if (strcmp(state, "bad") == 0)
		json_object_set_new(spec, "slots", json_string("two"));
	put_object(site, "servers", leaf->id, spec);
	json_decref(spec);
}

static json_t *
make_route(const char *name, const char *prefix, const char *kind,
    int timeout_ms, int priority)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i}", "name", name,
	    "hostname", "site.example", "path_prefix", prefix, "route_kind",
	    kind, "timeout_ms", timeout_ms, "slo_ms", 500, "priority", priority,
	    "attempts", 2);
}

static void
put_configuration(site_t *site, int version, int timeout_ms)
{
	json_t *routes = json_array(), *services = json_array();
	json_t *shards = json_array(), *route, *spec;
	char name[32];

	for (int i = 0; i < site->shards; i++) {
		snprintf(name, sizeof(name), "shard-%d", i);
		json_array_append_new(shards, json_string(name));
		json_array_append_new(
		    services, json_pack("{s:s,s:s,s:i,s:s,s:b}", "name", name,
				  "health_path", "/health", "max_conns", 26,
				  "protocol", "h1", "tls", 0));
	}
	route = make_route("list", "/list/", "idempotent", timeout_ms, 1);
	json_object_set(route, "gather", shards);
	json_object_set_new(route, "top_k", json_integer(20));
	json_object_set_new(route, "min_shard_ratio", json_real(0.75));
	json_array_append_new(routes, route);
	route = make_route("fetch", "/fetch/", "idempotent", timeout_ms, 2);
	json_object_set_new(route, "service", json_string("shard-0"));
	json_array_append_new(routes, route);
	route = make_route("once", "/once/", "non_idempotent", timeout_ms, 0);
	json_object_set_new(route, "service", json_string("shard-1"));
	json_array_append_new(routes, route);
	if (version > 1) {
		route =
		    make_route("late", "/late/", "idempotent", timeout_ms, 0);
		json_object_set_new(route, "service", json_string("shard-2"));
		json_array_append_new(routes, route);
	}
	spec = json_pack("{s:i,s:o,s:o,s:{s:i,s:i,s:i,s:i}}", "version",
	    version, "routes", routes, "services", services, "limits",
	    "max_header_bytes", 8192, "max_body_bytes", 65536,
	    "header_timeout_ms", 1000, "idle_timeout_ms", 5000);
	put_object(site, "config", "main", spec);
	json_decref(spec);
	json_decref(shards);
}

static site_leaf_t *
find_leaf(site_t *site, const char *id)
{
	for (guint i = 0; i < site->leafs->len; i++) {
		site_leaf_t *leaf = g_ptr_array_index(site->leafs, i);

		if (strcmp(leaf->id, id) == 0)
			return leaf;
	}
	return NULL;
}

static void
set_fault(site_t *site, const char *id, const char *fault, const char *share)
{
	for (guint i = 0; i < site->leafs->len; i++) {
		site_leaf_t *leaf = g_ptr_array_index(site->leafs, i);

		if (strcmp(id, "all") != 0 && strcmp(id, leaf->id) != 0)
			continue;
		g_strlcpy(leaf->fault, fault, sizeof(leaf->fault));
		leaf->share = share != NULL ? strtod(share, NULL) : 1.0;
	}
}

static void
set_leaf(site_t *site, const char *id, const char *state)
{
	site_leaf_t *leaf = find_leaf(site, id);

	if (leaf == NULL)
		return;
	leaf->is_draining = strcmp(state, "ready") != 0;
	if (strcmp(state, "gone") == 0)
		put_object(site, "servers", id, NULL);
	else
		register_leaf(site, leaf, state);
}

/* Many changes at once, which change nothing that matters. */
static void
churn(site_t *site, int count)
{
	site_leaf_t *last =
	    g_ptr_array_index(site->leafs, site->leafs->len - 1);

	for (int i = 0; i < count; i++)
		register_leaf(site, last, "ready");
}

static void
compact(site_t *site)
{
	site_link_t *link;

	site->oldest = site->revision + 1;
	LIST_FOREACH(link, &site->links, all)
	if (link->watch_revision >= 0)
		link->watch_revision = 0;
}

static void
reset_store(site_t *site)
{
	site_link_t *link, *next;

	for (link = LIST_FIRST(&site->links); link != NULL; link = next) {
		next = LIST_NEXT(link, all);
		if (link->port->type == PORT_STORE)
			destroy_link(link);
	}
}

static void
handle_control(site_link_t *link)
{
	site_t *site = link->port->site;
	const char *target = http_get_target(&link->message);
	char *id = get_query(target, "leaf");
	char *kind = get_query(target, "kind");
	char *share = get_query(target, "share");
	char *mode = get_query(target, "mode");
	char *state = get_query(target, "state");
	char *name = get_query(target, "id");
	char *version = get_query(target, "version");
	char body[256];
	int drained = 0;

	if (g_str_has_prefix(target, "/fault"))
		set_fault(site, id, kind, share);
	else if (g_str_has_prefix(target, "/leaf"))
		set_leaf(site, name, state);
	else if (g_str_has_prefix(target, "/churn"))
		churn(site, atoi(version));
	else if (g_str_has_prefix(target, "/configuration"))
		put_configuration(site, atoi(version), 2000);
	else if (g_str_has_prefix(target, "/store")) {
		g_strlcpy(site->mode, mode, sizeof(site->mode));
		if (strcmp(mode, "compact") == 0)
			compact(site);
		else if (strcmp(mode, "down") == 0)
			reset_store(site);
	}
	for (guint i = 0; i < site->leafs->len; i++)
		drained += ((site_leaf_t *)g_ptr_array_index(site->leafs, i))
			       ->arrivals_drained;
	snprintf(body, sizeof(body),
	    "runs %d twice %d unasked %d drained %d revision %d\n",
	    site->run_count, site->twice, site->unasked, drained,
	    (int)site->revision);
	respond(link, 200, "", body, strlen(body));
	g_free(id);
	g_free(kind);
	g_free(share);
	g_free(mode);
	g_free(state);
	g_free(name);
	g_free(version);
}

/* ---- Connections ---- */

static void
feed(site_link_t *link, const char *data, size_t length)
{
	size_t used;

	if (http_message_feed(&link->message, data, length, &used) !=
	    HTTP_COMPLETE)
		return;
	g_string_append_len(
	    link->backlog, data + used, (gssize)(length - used));
	switch (link->port->type) {
	case PORT_STORE:
		handle_store(link);
		break;
	case PORT_LEAF:
		handle_leaf(link);
		break;
	case PORT_CONTROL:
		handle_control(link);
		break;
	}
}

static void
handle_received(void *context, const char *data, size_t length)
{
	feed(context, data, length);
}

static void
handle_closed(void *context, bool is_clean)
{
	destroy_link(context);
}

static void
handle_accept(void *context, int fd, uint32_t events)
{
	site_port_t *port = context;
	int accepted = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	site_link_t *link;

	if (accepted < 0)
		return;
	link = g_new0(site_link_t, 1);
	link->port = port;
	link->watch_revision = -1;
	link->backlog = g_string_new(NULL);
	http_message_begin(&link->message, true, HEAD_BYTES, BODY_BYTES);
	link->stream =
	    stream_adopt(port->site->loop, accepted, &link_hooks, link);
	LIST_INSERT_HEAD(&port->site->links, link, all);
	if (port->type == PORT_STORE && strcmp(port->site->mode, "down") == 0)
		destroy_link(link);
}

static void
start_queued(site_leaf_t *leaf)
{
	while (leaf->busy < leaf->slots && !g_queue_is_empty(&leaf->queue))
		run_leaf(g_queue_pop_head(&leaf->queue));
}

static int64_t
run_timer(void *context)
{
	site_t *site = context;
	site_link_t *link, *next;
	int64_t now_us = clock_get_us();
	int64_t due_us = now_us + 1000000;

	for (link = LIST_FIRST(&site->links); link != NULL; link = next) {
		next = LIST_NEXT(link, all);
		if (link->watch_revision >= 0)
			answer_watch(link);
		if (link->is_running && link->due_us <= now_us) {
			site_leaf_t *leaf = link->port->leaf;

			link->is_running = false;
			leaf->busy--;
			answer_leaf(link);
			start_queued(leaf);
			return now_us;
		}
		if (link->is_ended) {
			GString *backlog = link->backlog;

			link->is_ended = false;
			http_message_reset(&link->message);
			link->backlog = g_string_new(NULL);
			if (backlog->len > 0)
				feed(link, backlog->str, backlog->len);
			g_string_free(backlog, TRUE);
			return now_us;
		}
		if (link->is_running || link->watch_revision >= 0)
			due_us = MIN(due_us, link->due_us);
	}
	return due_us;
}

static void
open_port(site_t *site, port_type_t type, int number, site_leaf_t *leaf)
{
	site_port_t *port = g_new0(site_port_t, 1);
	char address[64];
	error_info_t error;

	snprintf(address, sizeof(address), "127.0.0.1:%d", number);
	port->site = site;
	port->type = type;
	port->leaf = leaf;
	port->fd = stream_listen(address, &error);
	if (port->fd < 0) {
		fprintf(stderr, "site: %s: %s\n", error.peer, error.text);
		exit(1);
	}
	loop_set_fd(site->loop, port->fd, EPOLLIN, handle_accept, port);
}

static void
add_leafs(site_t *site, int first_port)
{
	static const char *const zones[] = { "zone-a", "zone-b" };

	for (int i = 0; i < 2 * site->shards; i++) {
		site_leaf_t *leaf = g_new0(site_leaf_t, 1);

		leaf->number = i;
		leaf->slots = 2;
		g_queue_init(&leaf->queue);
		snprintf(leaf->id, sizeof(leaf->id), "i-%d", i);
		snprintf(
		    leaf->service, sizeof(leaf->service), "shard-%d", i / 2);
		snprintf(leaf->address, sizeof(leaf->address), "127.0.0.1:%d",
		    first_port + i);
		g_strlcpy(leaf->zone, zones[i % 2], sizeof(leaf->zone));
		g_strlcpy(leaf->fault, "none", sizeof(leaf->fault));
		g_ptr_array_add(site->leafs, leaf);
		open_port(site, PORT_LEAF, first_port + i, leaf);
		register_leaf(site, leaf, "ready");
	}
}

static void
release_object(gpointer object)
{
	json_decref(object);
}

int
main(int argc, char **argv)
{
	struct arg_int *port = arg_int1(NULL, "port", "N",
	    "control; the store is at N+1, the leafs from N+10 on");
	struct arg_int *shards = arg_int0(NULL, "shards", "N", "shards (6)");
	struct arg_int *work =
	    arg_int0(NULL, "work-ms", "N", "mean work of a request (5)");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = { port, shards, work, help, end };
	site_t site = { .revision = FIRST_REV, .seed = 1 };
	int errors = arg_parse(argc, argv, table);

	if (help->count > 0) {
		printf("A platform on loopback: store, leafs, control.\n");
		arg_print_glossary(stdout, table, "  %-16s %s\n");
		return 0;
	}
	if (errors > 0) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	site.shards = shards->count > 0 ? shards->ival[0] : 6;
	site.work_ms = work->count > 0 ? work->ival[0] : 5;
	site.loop = loop_create();
	site.leafs = g_ptr_array_new();
	site.objects = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, release_object);
	site.runs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_queue_init(&site.history);
	g_strlcpy(site.mode, "up", sizeof(site.mode));
	LIST_INIT(&site.links);
	add_leafs(&site, port->ival[0] + 10);
	put_configuration(&site, 1, 2000);
	open_port(&site, PORT_CONTROL, port->ival[0], NULL);
	open_port(&site, PORT_STORE, port->ival[0] + 1, NULL);
	loop_add_timer(site.loop, run_timer, &site);
	loop_run(site.loop);
	return 0;
}
