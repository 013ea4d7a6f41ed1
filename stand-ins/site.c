/**
 * @file site.c
 * A platform on loopback: the object store, the leafs of a few shards, and a
 * control port that brings trouble to either. One process holds all of it, or
 * only the store, or only one leaf.
 *
 * GET  /stats                      what ran, and what broke a promise
 * GET  /fault?leaf=ID&kind=K       leaf=all for all; &share=S of the answers;
 *                                  &value=V of the header that K is about
 *      K: none dark reset cut cut-head garbage extra error shed slow moved
 *      K: leaving ask-time without-id without-id-extra late-copy endless-*
 *      K: status, after it ran the request; V is the status
 * GET  /store?mode=M               M: up down silent busy slow lost compact
 *                                  cut endless-*
 * GET  /leaf?id=ID&state=S         S: ready draining gone bad
 * POST /raw?kind=K&id=ID           an object whose spec is the body, as it is
 * GET  /turn-away?vm=N&state=S     the store's port of this VM; S: on off
 * GET  /late?ms=N                  arrivals at leafs that left N ms before,
 *                                  and at leafs that had asked for time
 * GET  /drain-while-listed?id=ID   it drains between two pages of a list
 * GET  /entry?id=ID&state=S        a leaf elsewhere; &service=N, &address=A
 *                                  and &zone=Z
 * GET  /configuration?version=N    the next one; &set=NAME, &shards=N, and
 *                                  &idle=N for routes that nobody uses
 * GET  /silence?kind=K             open connections that watch it go silent
 * GET  /copy                       the store takes a copy of itself
 * GET  /return                     it comes back as that copy
 * GET  /churn?version=N            N changes of one leaf's entry
 */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "site.h"

#define ENDLESS_INTERVAL_US 1000
#define EVENTS_A_PAGE	    120 /* of one answer to a watch */
#define HEAD_BYTES	    16384
#define BODY_BYTES	    1048576
#define VM_PORTS_BEGIN	    61 /* after the first port */

static void handle_received(void *context, const char *data, size_t length);
static void handle_closed(void *context, bool is_clean);

static const stream_callbacks_t link_hooks = { NULL, handle_received,
	handle_closed };

double
site_draw(site_t *site)
{
	return (double)rand_r(&site->seed) / RAND_MAX;
}

void
site_respond(site_link_t *link, int status, const char *headers,
    const char *body, size_t length)
{
	GString *out = g_string_new(NULL);

	g_string_printf(out, "HTTP/1.1 %d %s\r\n%s", status,
	    http_get_reason_phrase(status), headers);
	if (link->port->type == PORT_STORE)
		g_string_append_printf(out,
		    "Store-Era: %" G_GINT64_FORMAT "\r\n",
		    link->port->site->era);
	g_string_append_printf(
	    out, "Content-Length: %" G_GSIZE_FORMAT "\r\n\r\n", length);
	g_string_append_len(out, body, (gssize)length);
	if (link->port->type == PORT_STORE &&
	    strcmp(link->port->site->mode, "cut") == 0) {
		/* Inside the head, or anywhere. */
		size_t most = site_draw(link->port->site) < 0.5
				  ? out->len - length - 2
				  : out->len - 1;

		g_string_truncate(out,
		    1 + (gsize)(site_draw(link->port->site) * (double)most));
		stream_write(link->stream, out->str, out->len);
		stream_shutdown_write(link->stream);
		g_string_free(out, TRUE);
		return;
	}
	stream_write(link->stream, out->str, out->len);
	g_string_free(out, TRUE);
	link->is_ended = true;
	loop_wake(link->port->site->loop);
}

void
site_destroy_link(site_link_t *link)
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
	if (link->late_extra != NULL)
		g_string_free(link->late_extra, TRUE);
	g_free(link->kind);
	g_free(link);
}

char *
site_get_query(const char *target, const char *key)
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

/* ---- Control ---- */

static void
set_fault(site_t *site, const char *id, const char *fault, const char *share,
    const char *value)
{
	for (guint i = 0; i < site->leafs->len; i++) {
		site_leaf_t *leaf = g_ptr_array_index(site->leafs, i);

		if (strcmp(id, "all") != 0 && strcmp(id, leaf->id) != 0)
			continue;
		g_strlcpy(leaf->fault, fault, sizeof(leaf->fault));
		leaf->share = share != NULL ? strtod(share, NULL) : 1.0;
		g_strlcpy(leaf->value, value != NULL ? value : "1",
		    sizeof(leaf->value));
	}
}

static void
set_leaf(site_t *site, const char *id, const char *state)
{
	site_leaf_t *leaf = site_leafs_find(site, id);

	if (leaf == NULL)
		return;
	leaf->is_draining = strcmp(state, "ready") != 0;
	leaf->left_us = leaf->is_draining ? clock_get_us() : 0;
	if (strcmp(state, "gone") == 0)
		site_store_put(site, "servers", id, NULL);
	else
		site_store_put_leaf(site, leaf, state);
}

/* What a leaf of another process says of itself. */
static void
set_entry(site_t *site, const char *id, const char *state, const char *target)
{
	site_leaf_t leaf = { .slots = LEAF_SLOTS };
	char *service = site_get_query(target, "service");
	char *address = site_get_query(target, "address");
	char *zone = site_get_query(target, "zone");

	if (strcmp(state, "gone") == 0 || service == NULL || address == NULL ||
	    zone == NULL)
		site_store_put(site, "servers", id, NULL);
	else {
		g_strlcpy(leaf.id, id, sizeof(leaf.id));
		g_strlcpy(leaf.service, service, sizeof(leaf.service));
		g_strlcpy(leaf.address, address, sizeof(leaf.address));
		g_strlcpy(leaf.zone, zone, sizeof(leaf.zone));
		site_store_put_leaf(site, &leaf, state);
	}
	g_free(service);
	g_free(address);
	g_free(zone);
}

/* Many changes at once, which change nothing that matters. */
static void
churn(site_t *site, int count)
{
	const site_leaf_t *last =
	    g_ptr_array_index(site->leafs, site->leafs->len - 1);

	for (int i = 0; i < count; i++)
		site_store_put_leaf(site, last, "ready");
}

static void
set_configuration(site_t *site, int version, const char *target)
{
	char *set = site_get_query(target, "set");
	char *shards = site_get_query(target, "shards");

	char *idle = site_get_query(target, "idle");

	if (idle != NULL)
		site->idle_routes = atoi(idle);
	site_store_put_configuration(site, version,
	    set != NULL ? set : FIRST_SET,
	    shards != NULL ? atoi(shards) : site->shards);
	g_free(idle);
	g_free(set);
	g_free(shards);
}

/* The store serves the other VMs. */
static void
turn_away(site_t *site, const char *vm, const char *state)
{
	guint number = vm != NULL ? (guint)atoi(vm) : 0;

	if (number < 1 || number > site->vm_ports->len || state == NULL)
		return;
	((site_port_t *)g_ptr_array_index(site->vm_ports, number - 1))
	    ->is_turned_away = strcmp(state, "on") == 0;
}

static void
answer_late(site_link_t *link, const char *bound_ms)
{
	const GArray *ages = link->port->site->arrival_ages;
	int64_t bound_us =
	    bound_ms != NULL ? strtoll(bound_ms, NULL, 10) * 1000 : 0;
	char body[128];
	int early = 0, late = 0;

	for (guint i = 0; i < ages->len; i++)
		if (g_array_index(ages, int64_t, i) > bound_us)
			late++;
		else
			early++;
	snprintf(body, sizeof(body), "in time %d late %d held %d\n", early,
	    late, link->port->site->held_arrivals);
	site_respond(link, 200, "", body, strlen(body));
}

static void
handle_control(site_link_t *link)
{
	site_t *site = link->port->site;
	const char *target = http_get_target(&link->message);
	char *leaf = site_get_query(target, "leaf");
	char *kind = site_get_query(target, "kind");
	char *share = site_get_query(target, "share");
	char *mode = site_get_query(target, "mode");
	char *state = site_get_query(target, "state");
	char *id = site_get_query(target, "id");
	char *version = site_get_query(target, "version");
	char *vm = site_get_query(target, "vm");
	char *bound_ms = site_get_query(target, "ms");
	char *text = site_get_query(target, "value");
	char *value = text != NULL ? g_uri_unescape_string(text, NULL) : NULL;
	char body[256];
	int drained = 0;

	if (g_str_has_prefix(target, "/fault"))
		set_fault(site, leaf, kind, share, value);
	else if (g_str_has_prefix(target, "/leaf"))
		set_leaf(site, id, state);
	else if (g_str_has_prefix(target, "/drain-while-listed"))
		g_strlcpy(site->drained_while_listed, id,
		    sizeof(site->drained_while_listed));
	else if (g_str_has_prefix(target, "/entry"))
		set_entry(site, id, state, target);
	else if (g_str_has_prefix(target, "/silence"))
		site_store_silence_links(site, kind);
	else if (g_str_has_prefix(target, "/copy"))
		site_store_take_copy(site);
	else if (g_str_has_prefix(target, "/return"))
		site_store_return_to_copy(site);
	else if (g_str_has_prefix(target, "/churn"))
		churn(site, atoi(version));
	else if (g_str_has_prefix(target, "/configuration"))
		set_configuration(site, atoi(version), target);
	else if (g_str_has_prefix(target, "/store"))
		site_store_set_mode(site, mode);
	else if (g_str_has_prefix(target, "/raw") && kind != NULL && id != NULL)
		site_store_put_raw(site, kind, id, link->message.body->str);
	else if (g_str_has_prefix(target, "/turn-away"))
		turn_away(site, vm, state);
	for (guint i = 0; i < site->leafs->len; i++)
		drained += ((site_leaf_t *)g_ptr_array_index(site->leafs, i))
			       ->arrivals_drained;
	snprintf(body, sizeof(body),
	    "runs %d twice %d unasked %d drained %d revision %d\n",
	    site->run_count, site->twice, site->unasked, drained,
	    (int)site->revision);
	if (g_str_has_prefix(target, "/late"))
		answer_late(link, bound_ms);
	else
		site_respond(link, 200, "", body, strlen(body));
	g_free(leaf);
	g_free(kind);
	g_free(share);
	g_free(mode);
	g_free(state);
	g_free(id);
	g_free(version);
	g_free(vm);
	g_free(bound_ms);
	g_free(text);
	g_free(value);
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
		site_store_handle(link);
		break;
	case PORT_LEAF:
		site_leafs_handle(link);
		break;
	case PORT_CONTROL:
		handle_control(link);
		break;
	}
}

static void
handle_received(void *context, const char *data, size_t length)
{
	site_link_t *link = context;

	if (link->message.is_complete) /* it has not been renewed yet */
		g_string_append_len(link->backlog, data, (gssize)length);
	else
		feed(link, data, length);
}

static void
handle_closed(void *context, bool is_clean)
{
	site_destroy_link(context);
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
	link->stream = stream_create_from_fd(
	    port->site->loop, accepted, &link_hooks, link);
	LIST_INSERT_HEAD(&port->site->links, link, all);
	if (port->type == PORT_STORE && strcmp(port->site->mode, "down") == 0)
		site_destroy_link(link);
}

/* The next message, part of which may have arrived already. */
static void
renew_link(site_link_t *link)
{
	GString *backlog = link->backlog;

	link->is_ended = false;
	http_message_reset(&link->message);
	link->backlog = g_string_new(NULL);
	if (backlog->len > 0)
		feed(link, backlog->str, backlog->len);
	g_string_free(backlog, TRUE);
}

/* Returns whether it changed anything, perhaps the list of links. */
static bool
run_link(site_link_t *link, int64_t now_us)
{
	if (link->watch_revision >= 0 && !link->port->is_turned_away)
		site_store_answer_watch(link);
	if (link->is_running && link->due_us <= now_us)
		site_leafs_finish(link);
	else if (link->is_delayed && link->due_us <= now_us)
		site_store_finish_delayed(link);
	else if (link->is_ended)
		renew_link(link);
	else
		return false;
	return true;
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
		if (run_link(link, now_us))
			return now_us;
		if (link->is_running || link->is_delayed ||
		    (link->watch_revision >= 0 && !link->port->is_turned_away))
			due_us = MIN(due_us, link->due_us);
		if (link->endless != NULL) {
			site_leafs_continue_endless(link);
			due_us = MIN(due_us, now_us + ENDLESS_INTERVAL_US);
		}
	}
	for (guint i = 0; i < site->leafs->len; i++)
		site_leafs_start_queued(g_ptr_array_index(site->leafs, i));
	return due_us;
}

static site_port_t *
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
	return port;
}

static void
add_leafs(site_t *site, int first_port)
{
	static const char *const zones[] = { "zone-a", "zone-b" };
	char id[32], service[32], address[64];

	for (int i = 0; i < 2 * site->shards; i++) {
		site_leaf_t *leaf;

		snprintf(id, sizeof(id), "i-%d", i);
		snprintf(service, sizeof(service), FIRST_SET "-%d", i / 2);
		snprintf(
		    address, sizeof(address), "127.0.0.1:%d", first_port + i);
		leaf = site_leafs_add(site, id, service, address, zones[i % 2]);
		open_port(site, PORT_LEAF, first_port + i, leaf);
		site_store_put_leaf(site, leaf, "ready");
	}
}

/* One leaf, "ID,SERVICE,PORT", whose entry another process writes. */
static bool
add_leaf(site_t *site, const char *text)
{
	char **words = g_strsplit(text, ",", 3);
	bool is_good = g_strv_length(words) == 3;

	if (is_good)
		open_port(site, PORT_LEAF, atoi(words[2]),
		    site_leafs_add(site, words[0], words[1], "", ""));
	else
		fprintf(stderr, "site: --leaf needs ID,SERVICE,PORT\n");
	g_strfreev(words);
	return is_good;
}

static void
begin_site(site_t *site)
{
	site->loop = loop_create();
	site->leafs = g_ptr_array_new();
	site->raw_texts = g_ptr_array_new();
	site->vm_ports = g_ptr_array_new();
	site->arrival_ages = g_array_new(FALSE, FALSE, sizeof(int64_t));
	site->runs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	site->seed = 1;
	LIST_INIT(&site->links);
	site_store_begin(site);
	loop_add_timer(site->loop, run_timer, site);
}

int
main(int argc, char **argv)
{
	struct arg_int *port = arg_int1(NULL, "port", "N",
	    "control; the store is at N+1, the leafs from N+10 on, the store's "
	    "ports of single VMs from N+61 on");
	struct arg_int *shards = arg_int0(NULL, "shards", "N", "shards (6)");
	struct arg_int *work =
	    arg_int0(NULL, "work-ms", "N", "mean work of a request (5)");
	struct arg_int *page =
	    arg_int0(NULL, "page", "N", "objects on a page of a list (all)");
	struct arg_int *events = arg_int0(
	    NULL, "events", "N", "events in an answer to a watch (120)");
	struct arg_int *vms = arg_int0(
	    NULL, "vms", "N", "VMs with a port of their own at the store (0)");
	struct arg_str *leaf = arg_str0(
	    NULL, "leaf", "ID,SERVICE,PORT", "no store, and only this leaf");
	struct arg_lit *store = arg_lit0(NULL, "store", "no leafs");
	struct arg_lit *tell =
	    arg_lit0(NULL, "tell", "print a line for each arrival and run");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = { port, shards, work, page, events, vms, leaf, store,
		tell, help, end };
	site_t site = { 0 };
	int errors = arg_parse(argc, argv, table);

	if (help->count > 0) {
		printf("A platform on loopback: store, leafs, control.\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		return 0;
	}
	if (errors > 0) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	begin_site(&site);
	site.shards = shards->count > 0 ? shards->ival[0] : 6;
	site.work_ms = work->count > 0 ? work->ival[0] : 5;
	site.page_items = page->count > 0 ? page->ival[0] : 0;
	site.page_events = events->count > 0 ? events->ival[0] : EVENTS_A_PAGE;
	site.is_told = tell->count > 0;
	open_port(&site, PORT_CONTROL, port->ival[0], NULL);
	if (leaf->count > 0 && !add_leaf(&site, leaf->sval[0]))
		return 2;
	if (leaf->count == 0)
		open_port(&site, PORT_STORE, port->ival[0] + 1, NULL);
	for (int i = 0; vms->count > 0 && i < vms->ival[0]; i++)
		g_ptr_array_add(site.vm_ports,
		    open_port(&site, PORT_STORE,
			port->ival[0] + VM_PORTS_BEGIN + i, NULL));
	if (leaf->count == 0 && store->count == 0) {
		add_leafs(&site, port->ival[0] + 10);
		site_store_put_configuration(&site, 1, FIRST_SET, site.shards);
	}
	loop_run(site.loop);
	return 0;
}
