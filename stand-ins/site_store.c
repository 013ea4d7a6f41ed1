/**
 * @file site_store.c
 * The stand-in's object store: lists, watches, conditional writes, and the
 * trouble that it can be in.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "site.h"

#define FIRST_REVISION 100
#define SLOW_US	       400000 /* an answer of a slow store */
#define LOST_SHARE     0.4    /* of the writes of a store that loses answers */
#define CONNECTIONS    26     /* limit of a leaf, for all callers together */
#define TIMEOUT_MS     2000   /* of all routes */

typedef struct site_event {
	int64_t revision;
	char *kind;
	json_t *object;
	bool is_removed;
} site_event_t;

static void
release_object(gpointer object)
{
	json_decref(object);
}

void
site_store_begin(site_t *site)
{
	site->revision = FIRST_REVISION;
	site->era = 1;
	site->objects = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, release_object);
	g_queue_init(&site->history);
	g_strlcpy(site->mode, "up", sizeof(site->mode));
}

#define RAW_MARK "\"raw text " /* stands for a raw text, with its number */

/* Puts the raw texts in the places of their marks. */
static GString *
expand_raw_texts(const site_t *site, const char *text)
{
	GString *out = g_string_new(NULL);
	const char *mark;

	while ((mark = strstr(text, RAW_MARK)) != NULL) {
		char *end;
		gulong number = strtoul(mark + strlen(RAW_MARK), &end, 10);

		g_string_append_len(out, text, mark - text);
		g_string_append(
		    out, g_ptr_array_index(site->raw_texts, number));
		text = end + 1;
	}
	g_string_append(out, text);
	return out;
}

static void
respond_json(site_link_t *link, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);
	GString *expanded = expand_raw_texts(link->port->site, text);

	site_respond(link, status, "Content-Type: application/json\r\n",
	    expanded->str, expanded->len);
	g_string_free(expanded, TRUE);
	free(text);
	json_decref(body);
}

void
site_store_answer_watch(site_link_t *link)
{
	site_t *site = link->port->site;
	json_t *events;
	int64_t last = site->revision;

	if (link->watch_revision < site->oldest ||
	    link->watch_revision > site->revision) {
		link->watch_revision = -1;
		respond_json(link, 410, json_pack("{s:s}", "error", "gone"));
		return;
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
		if (json_array_size(events) >= (size_t)site->page_events)
			break;
	}
	if (json_array_size(events) < (size_t)site->page_events)
		last = site->revision;
	if (json_array_size(events) == 0 && clock_get_us() < link->due_us) {
		json_decref(events);
		return;
	}
	link->watch_revision = -1;
	respond_json(link, 200,
	    json_pack("{s:o,s:I}", "events", events, "current_rev",
		(json_int_t)last));
}

void
site_store_put(site_t *site, const char *kind, const char *name, json_t *spec)
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

void
site_store_put_raw(
    site_t *site, const char *kind, const char *name, const char *spec)
{
	char *mark = g_strdup_printf("raw text %u", site->raw_texts->len);
	json_t *text = json_string(mark);

	g_ptr_array_add(site->raw_texts, g_strdup(spec));
	site_store_put(site, kind, name, text);
	json_decref(text);
	g_free(mark);
}

/* A leaf reports that it drains while a VM reads the list. */
static void
drain_while_listed(site_t *site)
{
	site_leaf_t *leaf = site_leafs_find(site, site->drained_while_listed);

	site->drained_while_listed[0] = '\0';
	if (leaf == NULL)
		return;
	leaf->is_draining = true;
	site_store_put_leaf(site, leaf, "draining");
}

static void
list_kind(site_link_t *link, const char *kind)
{
	site_t *site = link->port->site;
	GList *keys = g_list_sort(
	    g_hash_table_get_keys(site->objects), (GCompareFunc)strcmp);
	json_t *items = json_array();
	char *prefix = g_strdup_printf("%s/", kind);
	char *after = site_get_query(http_get_target(&link->message), "after");
	bool has_more = false;

	for (GList *key = keys; key != NULL && !has_more; key = key->next) {
		if (!g_str_has_prefix(key->data, prefix) ||
		    (after != NULL &&
			strcmp((char *)key->data + strlen(prefix), after) <= 0))
			continue;
		has_more = site->page_items > 0 &&
			   json_array_size(items) >= (size_t)site->page_items;
		if (!has_more)
			json_array_append(items,
			    g_hash_table_lookup(site->objects, key->data));
	}
	respond_json(link, 200,
	    json_pack("{s:o,s:b,s:I}", "items", items, "has_more", has_more,
		"current_rev", (json_int_t)site->revision));
	if (has_more && strcmp(kind, "servers") == 0 && after == NULL)
		drain_while_listed(site);
	g_list_free(keys);
	g_free(prefix);
	g_free(after);
}

/* Replaces the spec or the status, if the revision is as expected. */
static void
replace_object(
    site_link_t *link, const char *kind, const char *name, bool is_status)
{
	site_t *site = link->port->site;
	json_t *body = json_loadb(
	    link->message.body->str, link->message.body->len, 0, NULL);
	char *key = g_strdup_printf("%s/%s", kind, name);
	json_t *before = g_hash_table_lookup(site->objects, key);
	char *wanted =
	    site_get_query(http_get_target(&link->message), "revision");
	json_int_t revision = json_integer_value(
	    json_object_get(json_object_get(before, "meta"), "revision"));

	if (before == NULL)
		respond_json(link, 404, json_object());
	else if (wanted != NULL && strtoll(wanted, NULL, 10) != revision)
		respond_json(link, 409, json_incref(before));
	else {
		json_t *spec = json_incref(json_object_get(before, "spec"));
		json_t *status = json_incref(json_object_get(before, "status"));
		json_t *new_spec = json_object_get(body, "spec");
		json_t *after;

		site_store_put(site, kind, name,
		    is_status || new_spec == NULL ? spec : new_spec);
		after = g_hash_table_lookup(site->objects, key);
		json_object_set(after, "status",
		    is_status ? json_object_get(body, "status") : status);
		respond_json(link, 200, json_incref(after));
		json_decref(spec);
		json_decref(status);
	}
	json_decref(body);
	g_free(wanted);
	g_free(key);
}

static void
create_object(site_link_t *link, const char *kind)
{
	site_t *site = link->port->site;
	json_t *body = json_loadb(
	    link->message.body->str, link->message.body->len, 0, NULL);
	const char *name = json_string_value(
	    json_object_get(json_object_get(body, "meta"), "name"));
	char *key = g_strdup_printf("%s/%s", kind, name);
	json_t *before = g_hash_table_lookup(site->objects, key);

	if (before != NULL)
		respond_json(link, 409, json_incref(before));
	else {
		site_store_put(site, kind, name, json_object_get(body, "spec"));
		respond_json(link, 200,
		    json_incref(g_hash_table_lookup(site->objects, key)));
	}
	json_decref(body);
	g_free(key);
}

static void
write_kind(site_link_t *link, const char *path)
{
	const char *method = http_get_method(&link->message);
	char *plain = g_strndup(path, strcspn(path, "?"));
	char **words = g_strsplit(plain, "/", 4);
	const char *name = words[1] != NULL ? words[1] : "";
	bool is_status = words[1] != NULL && words[2] != NULL;

	if (strcmp(method, "POST") == 0)
		create_object(link, words[0]);
	else if (strcmp(method, "DELETE") == 0) {
		site_store_put(link->port->site, words[0], name, NULL);
		respond_json(link, 200, json_object());
	} else
		replace_object(link, words[0], name, is_status);
	g_strfreev(words);
	g_free(plain);
}

static void
run_call(site_link_t *link)
{
	const char *target = http_get_target(&link->message);
	const char *path = target + strlen("/api/objects/");
	char *watch = site_get_query(target, "watch");
	char *wait = site_get_query(target, "wait_ms");
	char *kind = g_strndup(path, strcspn(path, "/?"));

	if (watch != NULL) {
		link->watch_revision = strtoll(watch, NULL, 10);
		g_free(link->kind);
		link->kind = g_strdup(kind);
		link->due_us =
		    clock_get_us() +
		    (wait != NULL ? strtoll(wait, NULL, 10) : 0) * 1000;
		site_store_answer_watch(link);
	} else if (strcmp(http_get_method(&link->message), "GET") == 0)
		list_kind(link, kind);
	else
		write_kind(link, path);
	g_free(kind);
	g_free(watch);
	g_free(wait);
}

/* A write is done and its answer lost: the connection returns nothing more. */
static bool
is_answer_lost(const site_link_t *link)
{
	site_t *site = link->port->site;

	return strcmp(site->mode, "lost") == 0 &&
	       strcmp(http_get_method(&link->message), "GET") != 0 &&
	       site_draw(site) < LOST_SHARE;
}

void
site_store_handle(site_link_t *link)
{
	site_t *site = link->port->site;

	if (strcmp(site->mode, "silent") == 0 || link->is_silent ||
	    link->port->is_turned_away)
		return;
	if (site_leafs_begin_endless(link, site->mode))
		return;
	if (strcmp(site->mode, "busy") == 0)
		site_respond(link, 503, "", "", 0);
	else if (!g_str_has_prefix(
		     http_get_target(&link->message), "/api/objects/"))
		site_respond(link, 404, "", "", 0);
	else if (strcmp(site->mode, "slow") == 0) {
		link->is_delayed = true;
		link->due_us = clock_get_us() + SLOW_US;
	} else if (is_answer_lost(link)) {
		stream_set_reading(link->stream, false);
		write_kind(link,
		    http_get_target(&link->message) + strlen("/api/objects/"));
	} else
		run_call(link);
}

void
site_store_finish_delayed(site_link_t *link)
{
	link->is_delayed = false;
	run_call(link);
}

void
site_store_put_leaf(site_t *site, const site_leaf_t *leaf, const char *state)
{
	json_t *spec = json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:i}",
	    "service", leaf->service, "address", leaf->address, "zone",
	    leaf->zone, "version", "v1", "slots", leaf->slots, "state", state,
	    "cold_left_ms", 0, "seq", 1, "born", 1);

	if (strcmp(state, "bad") == 0)
		json_object_set_new(spec, "slots", json_string("two"));
	site_store_put(site, "servers", leaf->id, spec);
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
add_route(json_t *routes, json_t *route, const char *set, int shard)
{
	char name[64];

	snprintf(name, sizeof(name), "%s-%d", set, shard);
	json_object_set_new(route, "service", json_string(name));
	json_array_append_new(routes, route);
}

/* The route that only this version has shows which one is in force. */
static void
add_own_route(json_t *routes, int version, const char *set)
{
	char name[32], prefix[64];

	snprintf(name, sizeof(name), "only-%d", version);
	snprintf(prefix, sizeof(prefix), "/only-%d/", version);
	add_route(routes, make_route(name, prefix, "idempotent", TIMEOUT_MS, 0),
	    set, 2);
}

void
site_store_put_configuration(
    site_t *site, int version, const char *set, int shards)
{
	json_t *routes = json_array(), *services = json_array();
	json_t *names = json_array(), *route, *spec;
	char name[64];

	for (int i = 0; i < shards; i++) {
		snprintf(name, sizeof(name), "%s-%d", set, i);
		json_array_append_new(names, json_string(name));
		json_array_append_new(
		    services, json_pack("{s:s,s:s,s:i,s:s,s:b}", "name", name,
				  "health_path", "/health", "max_conns",
				  CONNECTIONS, "protocol", "h1", "tls", 0));
	}
	route = make_route("list", "/list/", "idempotent", TIMEOUT_MS, 1);
	json_object_set_new(route, "gather", names);
	json_object_set_new(route, "top_k", json_integer(20));
	json_object_set_new(route, "min_shard_ratio", json_real(0.75));
	json_array_append_new(routes, route);
	add_route(routes,
	    make_route("fetch", "/fetch/", "idempotent", TIMEOUT_MS, 2), set,
	    0);
	add_route(routes,
	    make_route("once", "/once/", "non_idempotent", TIMEOUT_MS, 0), set,
	    1);
	if (version > 1)
		add_route(routes,
		    make_route("late", "/late/", "idempotent", TIMEOUT_MS, 0),
		    set, 2);
	add_own_route(routes, version, set);
	for (int i = 0; i < site->idle_routes; i++) {
		char prefix[80];

		snprintf(name, sizeof(name), "idle-route-number-%d", i);
		snprintf(prefix, sizeof(prefix), "/%s/", name);
		add_route(routes,
		    make_route(name, prefix, "idempotent", TIMEOUT_MS, 0), set,
		    2);
	}
	spec = json_pack("{s:i,s:o,s:o,s:{s:i,s:i,s:i,s:i}}", "version",
	    version, "routes", routes, "services", services, "limits",
	    "max_header_bytes", 8192, "max_body_bytes", 65536,
	    "header_timeout_ms", 1000, "idle_timeout_ms", 5000);
	site_store_put(site, "config", "main", spec);
	json_decref(spec);
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
			site_destroy_link(link);
	}
}

void
site_store_silence_links(site_t *site, const char *kind)
{
	site_link_t *link;

	LIST_FOREACH(link, &site->links, all)
	if (g_strcmp0(link->kind, kind) == 0) {
		link->is_silent = true;
		link->watch_revision = -1;
	}
}

static gboolean
is_after_copy(gpointer data, const site_t *site)
{
	return ((const site_event_t *)data)->revision > site->copy_revision;
}

static GHashTable *
copy_objects(GHashTable *objects)
{
	GHashTable *copy = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, release_object);
	GHashTableIter iter;
	gpointer key, object;

	g_hash_table_iter_init(&iter, objects);
	while (g_hash_table_iter_next(&iter, &key, &object))
		g_hash_table_insert(
		    copy, g_strdup(key), json_deep_copy(object));
	return copy;
}

void
site_store_take_copy(site_t *site)
{
	if (site->copy != NULL)
		g_hash_table_unref(site->copy);
	site->copy = copy_objects(site->objects);
	site->copy_revision = site->revision;
}

void
site_store_return_to_copy(site_t *site)
{
	if (site->copy == NULL)
		return;
	while (!g_queue_is_empty(&site->history) &&
	       is_after_copy(g_queue_peek_tail(&site->history), site)) {
		site_event_t *event = g_queue_pop_tail(&site->history);

		json_decref(event->object);
		g_free(event->kind);
		g_free(event);
	}
	g_hash_table_unref(site->objects);
	site->objects = copy_objects(site->copy);
	site->revision = site->copy_revision;
	site->era++;
	reset_store(site);
}

void
site_store_set_mode(site_t *site, const char *mode)
{
	g_strlcpy(site->mode, mode, sizeof(site->mode));
	if (strcmp(mode, "compact") == 0)
		compact(site);
	else if (strcmp(mode, "down") == 0)
		reset_store(site);
}
