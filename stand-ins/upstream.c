/**
 * @file upstream.c
 * Stand-in for one upstream: instances with leaves, slots, a small queue that
 * sheds, connection limits and costs, index versions, deadlines, cancellation
 * and draining. Faults can be switched while it runs; what ran is recorded.
 */
#include <argtable2.h>
#include <gsl/gsl_randist.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "stub.h"

#define LEAVES_MAX	    8
#define INSTANCES_MAX	    256
#define QUEUE_PER_SLOT	    4
#define OLD_VERSION_KEPT_US 500000
#define COLD_REQUESTS	    40
#define COLD_FACTOR	    6
#define HANG_US		    3600000000

typedef struct leaf_box leaf_box_t;

typedef struct work {
	TAILQ_ENTRY(work) link;
	exchange_t *exchange;
	leaf_box_t *leaf;
	bool is_running, is_order;
	char request[NAME_BYTES];
	json_int_t attempt;
	json_t *fields;
	int64_t deadline_us, service_us, ends_us;
} work_t;

struct leaf_box {
	int number, busy, queued, cold_left;
	TAILQ_HEAD(, work) queue;
	TAILQ_HEAD(, work) running;
	struct box *box;
	int64_t served, shed, cancelled;
};

typedef struct box {
	int number;
	stub_t *stub;
	leaf_box_t leaves[LEAVES_MAX];
	double slow_factor;
	bool is_hanging, is_draining, is_failing;
	int64_t drained_us, last_new_us;
	int64_t requests_after_drain, refused_connections;
} box_t;

typedef struct upstream {
	const char *name, *address, *platform;
	char **zones, **regions;
	int base_port, instances, leaves, slots, connections, connect_us,
	    shards, replicas;
	double service_us, sigma;
	box_t boxes[INSTANCES_MAX];
	gsl_rng *random;
	uint32_t version, old_version;
	int old_shards;
	int64_t old_until_us;
	int slow_percent;
	double slow_percent_factor;
	int crossed_left, garbage_left, wrong_version_left;
	work_t *held;	    /* waits for its answer to be swapped */
	GHashTable *orders; /* key -> count */
	int64_t searches, order_runs, doubled;
	loop_t *loop;
} upstream_t;

static upstream_t up;

static void start_work(work_t *work);
static void pump_leaf(leaf_box_t *leaf);

static int
get_replica_leaf(int shard, int replica)
{
	int leaves = up.instances * up.leaves;

	return (shard + replica * (leaves / up.replicas)) % leaves;
}

static char *
format_layout(void)
{
	json_t *instances = json_array();
	json_t *shards = json_array();
	int zone_count = (int)g_strv_length(up.zones);
	json_t *root;
	char *text;

	for (int i = 0; i < up.instances; i++) {
		char *id = g_strdup_printf("%s-%d", up.name, i);
		char *address =
		    g_strdup_printf("%s:%d", up.address, up.base_port + 1 + i);

		json_array_append_new(instances,
		    json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:i}", "id",
			id, "address", address, "zone",
			up.zones[i % zone_count], "region",
			up.regions[i % (int)g_strv_length(up.regions)],
			"connections", up.connections, "leaves", up.leaves,
			"slots", up.slots, "connect_us", up.connect_us));
		g_free(id);
		g_free(address);
	}
	for (int shard = 0; shard < up.shards; shard++) {
		json_t *replicas = json_array();

		for (int replica = 0; replica < up.replicas; replica++) {
			int leaf = get_replica_leaf(shard, replica);
			char *name = g_strdup_printf("%s-%d/%d", up.name,
			    leaf / up.leaves, leaf % up.leaves);

			json_array_append_new(replicas, json_string(name));
			g_free(name);
		}
		json_array_append_new(shards, replicas);
	}
	root = json_pack("{s:s, s:s, s:i, s:o, s:o}", "index", up.name,
	    "upstream", up.name, "version", (int)up.version, "instances",
	    instances, "shards", shards);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

/* Writes the layout to the platform, whatever version stands there. */
static bool
publish_layout(void)
{
	char *url =
	    g_strdup_printf("%s/objects/config/index/%s", up.platform, up.name);
	char *body = format_layout();
	bool is_written = false;

	for (int i = 0; i < 50 && !is_written; i++) {
		GString *reply = g_string_new(NULL);
		error_info_t error;
		uint64_t version = 0;
		int status = 0;

		if (fetch_run_blocking("GET", url, NULL, 2000000, &status,
			&version, reply, &error) &&
		    (status == 200 || status == 404)) {
			char *target = g_strdup_printf(
			    "%s?version=%" G_GUINT64_FORMAT, url, version);

			is_written =
			    fetch_run_blocking("PUT", target, body, 2000000,
				&status, &version, reply, &error) &&
			    status == 200;
			g_free(target);
		}
		g_string_free(reply, TRUE);
		if (!is_written)
			g_usleep(100000);
	}
	g_free(url);
	free(body);
	return is_written;
}

static void
free_work(work_t *work)
{
	if (up.held == work)
		up.held = NULL;
	work->exchange->work = NULL;
	json_decref(work->fields);
	g_free(work);
}

static char *
format_reply(const work_t *work)
{
	const char *query =
	    json_string_value(json_object_get(work->fields, "query"));
	int shard =
	    (int)json_integer_value(json_object_get(work->fields, "shard"));
	int version = (int)json_integer_value(
	    json_object_get(work->fields, "index_version"));
	int limit =
	    (int)json_integer_value(json_object_get(work->fields, "limit"));
	json_t *hits = json_array();
	json_t *root;
	char *text;

	for (int i = 0; i < MIN(limit, 3); i++) {
		uint64_t hash = hash_pair(
		    hash_text(query), hash_pair((uint64_t)shard, (uint64_t)i));
		char *id = g_strdup_printf("%s-%d-%d", up.name, shard, i);
		char *line = g_strdup_printf("%s order %d for %.40s", up.name,
		    (int)(hash % 10000), query);

		json_array_append_new(
		    hits, json_pack("{s:s, s:f, s:s}", "id", id, "score",
			      (double)(hash % 1000) / 1000, "text", line));
		g_free(id);
		g_free(line);
	}
	if (up.wrong_version_left > 0) {
		up.wrong_version_left--;
		version++;
	}
	root = json_pack("{s:s, s:I, s:i, s:i, s:o}", "request", work->request,
	    "attempt", work->attempt, "index_version", version, "shard", shard,
	    "hits", hits);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static void
answer_work(work_t *work, int64_t due_us, int status, const char *body)
{
	stub_answer(work->exchange, due_us, status, body, strlen(body));
}

/* The work is through: answers, perhaps crossed with another one. */
static void
finish_work(work_t *work)
{
	int64_t now_us = clock_get_us();
	leaf_box_t *leaf = work->leaf;
	char *reply;

	TAILQ_REMOVE(&leaf->running, work, link);
	leaf->busy--;
	leaf->served++;
	if (work->is_order) {
		int count = GPOINTER_TO_INT(
				g_hash_table_lookup(up.orders, work->request)) +
			    1;

		g_hash_table_insert(
		    up.orders, g_strdup(work->request), GINT_TO_POINTER(count));
		up.order_runs++;
		up.doubled += count > 1;
		reply = g_strdup_printf("{\"confirmation\":\"%s-%06d\"}",
		    up.name, (int)(hash_text(work->request) % 1000000));
		answer_work(work, now_us, 200, reply);
	} else {
		up.searches++;
		reply = format_reply(work);
		if (up.garbage_left > 0) {
			up.garbage_left--;
			answer_work(work, now_us, 200, "{\"hits\": garbage");
		} else if (up.crossed_left > 0 && up.held == NULL) {
			up.held = work; /* its answer goes to the next request,
					   and the other way round */
			work->is_running = false;
			leaf = NULL;
			g_free(reply);
			pump_leaf(work->leaf);
			return;
		} else if (up.held != NULL && up.held != work) {
			char *other = format_reply(up.held);

			up.crossed_left--;
			answer_work(work, now_us, 200, other);
			answer_work(up.held, now_us, 200, reply);
			free(other);
			free_work(up.held);
		} else {
			answer_work(work, now_us, 200, reply);
		}
	}
	free(reply);
	free_work(work);
	pump_leaf(leaf);
}

static void
start_work(work_t *work)
{
	leaf_box_t *leaf = work->leaf;
	box_t *box = leaf->box;
	int64_t now_us = clock_get_us();
	double service_us =
	    up.service_us * exp(gsl_ran_gaussian(up.random, up.sigma));

	service_us *= box->slow_factor;
	if (up.slow_percent > 0 &&
	    (int)gsl_rng_uniform_int(up.random, 100) < up.slow_percent)
		service_us *= up.slow_percent_factor;
	if (leaf->cold_left > 0) {
		leaf->cold_left--;
		service_us *= COLD_FACTOR;
	}
	if (work->exchange->is_new_connection)
		service_us += up.connect_us;
	leaf->busy++;
	work->is_running = true;
	work->ends_us = now_us + (int64_t)service_us;
	TAILQ_INSERT_TAIL(&leaf->running, work, link);
}

static void
pump_leaf(leaf_box_t *leaf)
{
	int64_t now_us = clock_get_us();
	work_t *work;

	while (leaf->busy < up.slots &&
	       (work = TAILQ_FIRST(&leaf->queue)) != NULL) {
		TAILQ_REMOVE(&leaf->queue, work, link);
		leaf->queued--;
		if (now_us > work->deadline_us) {
			answer_work(
			    work, now_us, 503, "{\"error\":\"deadline\"}");
			free_work(work);
			continue;
		}
		start_work(work);
	}
}

/* Ends all work that is due; the next end is the next wake-up. */
static int64_t
handle_timer(void *context)
{
	int64_t next = INT64_MAX;

	for (int i = 0; i < up.instances; i++) {
		for (int j = 0; j < up.leaves; j++) {
			leaf_box_t *leaf = &up.boxes[i].leaves[j];
			work_t *work = TAILQ_FIRST(&leaf->running);

			while (work != NULL) {
				work_t *following = TAILQ_NEXT(work, link);

				if (work->ends_us <= clock_get_us())
					finish_work(work);
				work = following;
			}
			TAILQ_FOREACH (work, &leaf->running, link) {
				next = MIN(next, work->ends_us);
			}
		}
	}
	return next;
}

static void
handle_cancel(box_t *box, leaf_box_t *leaf, exchange_t *exchange)
{
	json_t *root =
	    json_loadb(exchange->body->str, exchange->body->len, 0, NULL);
	const char *request =
	    json_string_value(json_object_get(root, "request"));
	json_int_t attempt =
	    json_integer_value(json_object_get(root, "attempt"));
	work_t *work, *found = NULL;

	TAILQ_FOREACH (work, &leaf->queue, link) {
		if (work->attempt == attempt &&
		    g_strcmp0(work->request, request) == 0)
			found = work;
	}
	if (found != NULL) {
		TAILQ_REMOVE(&leaf->queue, found, link);
		leaf->queued--;
	} else {
		TAILQ_FOREACH (work, &leaf->running, link) {
			if (work->attempt == attempt &&
			    g_strcmp0(work->request, request) == 0)
				found = work;
		}
		if (found != NULL) {
			TAILQ_REMOVE(&leaf->running, found, link);
			leaf->busy--;
		}
	}
	if (found != NULL) {
		leaf->cancelled++;
		answer_work(found, clock_get_us(), 499, "{}");
		free_work(found);
	}
	json_decref(root);
	stub_answer(exchange, clock_get_us(), 200, "{}", 2);
	pump_leaf(leaf);
}

static void
accept_work(leaf_box_t *leaf, exchange_t *exchange, json_t *root, bool is_order)
{
	work_t *work = g_new0(work_t, 1);
	const char *request =
	    json_string_value(json_object_get(root, "request"));

	work->exchange = exchange;
	work->leaf = leaf;
	work->is_order = is_order;
	work->fields = root;
	work->attempt = json_integer_value(json_object_get(root, "attempt"));
	work->deadline_us = clock_get_us() + json_integer_value(json_object_get(
						 root, "deadline_us"));
	g_strlcpy(work->request, request != NULL ? request : "",
	    sizeof(work->request));
	exchange->work = work;
	if (leaf->busy < up.slots) {
		start_work(work);
	} else {
		TAILQ_INSERT_TAIL(&leaf->queue, work, link);
		leaf->queued++;
	}
}

static void
handle_leaf_request(void *context, exchange_t *exchange)
{
	box_t *box = context;
	int64_t now_us = clock_get_us();
	int number = -1;
	char kind[16] = "";
	json_t *root;
	uint32_t version;
	leaf_box_t *leaf;

	if (strcmp(exchange->path, "/health") == 0) {
		stub_answer(
		    exchange, now_us, 200, "{\"ok\":true,\"load\":0}", 20);
		return;
	}
	if (sscanf(exchange->path, "/leaf/%d/%15s", &number, kind) != 2 ||
	    number < 0 || number >= up.leaves) {
		stub_answer(exchange, now_us, 404, "{}", 2);
		return;
	}
	leaf = &box->leaves[number];
	exchange->is_leaving = box->is_draining;
	if (box->is_hanging) {
		stub_answer(exchange, now_us + HANG_US, 500, "{}", 2);
		return;
	}
	if (strcmp(kind, "cancel") == 0) {
		handle_cancel(box, leaf, exchange);
		return;
	}
	box->last_new_us = now_us;
	if (box->is_draining)
		box->requests_after_drain++;
	if (stub_count_connections(box->stub) > up.connections) {
		box->refused_connections++;
		exchange->is_closing = true;
		stub_answer(exchange, now_us, 429, "{}", 2);
		return;
	}
	if (box->is_failing) {
		stub_answer(exchange, now_us, 500, "{}", 2);
		return;
	}
	root = json_loadb(exchange->body->str, exchange->body->len, 0, NULL);
	version = (uint32_t)json_integer_value(
	    json_object_get(root, "index_version"));
	if (root == NULL ||
	    (version != up.version &&
		(version != up.old_version || now_us > up.old_until_us))) {
		json_decref(root);
		stub_answer(
		    exchange, now_us, root == NULL ? 400 : 410, "{}", 2);
		return;
	}
	if (leaf->busy >= up.slots &&
	    leaf->queued >= QUEUE_PER_SLOT * up.slots) {
		leaf->shed++;
		json_decref(root);
		stub_answer(exchange, now_us, 503, "{\"error\":\"shed\"}", 16);
		return;
	}
	accept_work(leaf, exchange, root, strcmp(kind, "order") == 0);
}

/* The caller closed its connection: its work is cancelled. */
static void
forget_exchange(void *context, exchange_t *exchange)
{
	work_t *work = exchange->work;
	leaf_box_t *leaf;

	if (work == NULL || work->is_order)
		return;
	leaf = work->leaf;
	if (work->is_running) {
		TAILQ_REMOVE(&leaf->running, work, link);
		leaf->busy--;
	} else if (up.held != work) {
		TAILQ_REMOVE(&leaf->queue, work, link);
		leaf->queued--;
	}
	free_work(work);
	pump_leaf(leaf);
}

static int
get_number(const json_t *root, const char *key, int fallback)
{
	const json_t *value = json_object_get(root, key);

	return value != NULL ? (int)json_number_value(value) : fallback;
}

static void
handle_fault(exchange_t *exchange)
{
	json_t *root =
	    json_loadb(exchange->body->str, exchange->body->len, 0, NULL);
	int instance = get_number(root, "instance", -1);
	json_t *value;

	if (instance >= 0 && instance < up.instances) {
		box_t *box = &up.boxes[instance];

		if ((value = json_object_get(root, "slow_factor")) != NULL)
			box->slow_factor = json_number_value(value);
		if ((value = json_object_get(root, "hang")) != NULL)
			box->is_hanging = json_is_true(value);
		if ((value = json_object_get(root, "fail")) != NULL)
			box->is_failing = json_is_true(value);
		if ((value = json_object_get(root, "drain")) != NULL) {
			box->is_draining = json_is_true(value);
			box->drained_us = clock_get_us();
			box->requests_after_drain = 0;
		}
		if (json_object_get(root, "cold") != NULL)
			for (int i = 0; i < up.leaves; i++)
				box->leaves[i].cold_left = COLD_REQUESTS;
	}
	up.slow_percent = get_number(root, "slow_percent", up.slow_percent);
	up.slow_percent_factor = get_number(
	    root, "slow_percent_factor", (int)up.slow_percent_factor);
	up.crossed_left = get_number(root, "crossed", up.crossed_left);
	up.garbage_left = get_number(root, "garbage", up.garbage_left);
	up.wrong_version_left =
	    get_number(root, "wrong_version", up.wrong_version_left);
	if (json_object_get(root, "repartition") != NULL) {
		up.old_version = up.version++;
		up.old_until_us = clock_get_us() + OLD_VERSION_KEPT_US;
		up.shards = get_number(root, "repartition", up.shards);
		publish_layout();
	}
	json_decref(root);
	stub_answer(exchange, clock_get_us(), 200, "{}", 2);
}

static void
handle_stats(exchange_t *exchange)
{
	int64_t now_us = clock_get_us();
	json_t *boxes = json_array();
	json_t *orders = json_object();
	GHashTableIter iterator;
	gpointer key, count;
	json_t *root;
	char *text;

	for (int i = 0; i < up.instances; i++) {
		const box_t *box = &up.boxes[i];
		int64_t served = 0, shed = 0, cancelled = 0;

		for (int j = 0; j < up.leaves; j++) {
			served += box->leaves[j].served;
			shed += box->leaves[j].shed;
			cancelled += box->leaves[j].cancelled;
		}
		json_array_append_new(boxes,
		    json_pack("{s:i, s:I, s:I, s:I, s:i, s:I, s:I, s:I}",
			"instance", i, "served", (json_int_t)served, "shed",
			(json_int_t)shed, "cancelled", (json_int_t)cancelled,
			"most_connections",
			stub_get_most_connections(box->stub),
			"refused_connections",
			(json_int_t)box->refused_connections,
			"requests_after_drain",
			(json_int_t)box->requests_after_drain, "quiet_ms",
			(json_int_t)((now_us - box->last_new_us) / 1000)));
	}
	g_hash_table_iter_init(&iterator, up.orders);
	while (g_hash_table_iter_next(&iterator, &key, &count))
		json_object_set_new(
		    orders, key, json_integer(GPOINTER_TO_INT(count)));
	root = json_pack("{s:I, s:I, s:I, s:I, s:o, s:o}", "searches",
	    (json_int_t)up.searches, "order_runs", (json_int_t)up.order_runs,
	    "doubled", (json_int_t)up.doubled, "version",
	    (json_int_t)up.version, "instances", boxes, "orders", orders);
	text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(root);
	stub_answer(exchange, now_us, 200, text, strlen(text));
	free(text);
}

static void
handle_control(void *context, exchange_t *exchange)
{
	if (strcmp(exchange->path, "/fault") == 0)
		handle_fault(exchange);
	else
		handle_stats(exchange);
}

static bool
start_boxes(void)
{
	for (int i = 0; i < up.instances; i++) {
		box_t *box = &up.boxes[i];

		box->number = i;
		box->slow_factor = 1;
		for (int j = 0; j < up.leaves; j++) {
			box->leaves[j].number = j;
			box->leaves[j].box = box;
			TAILQ_INIT(&box->leaves[j].queue);
			TAILQ_INIT(&box->leaves[j].running);
		}
		box->stub =
		    stub_create(up.loop, up.address, up.base_port + 1 + i,
			handle_leaf_request, forget_exchange, box);
		if (box->stub == NULL)
			return false;
	}
	return stub_create(up.loop, up.address, up.base_port, handle_control,
		   NULL, NULL) != NULL;
}

int
main(int argc, char **argv)
{
	struct arg_str *name =
	    arg_str1(NULL, "name", "NAME", "upstream and index");
	struct arg_str *platform =
	    arg_str1(NULL, "platform", "URL", "where the layout is published");
	struct arg_str *address =
	    arg_str0(NULL, "address", "IP", "default 127.0.0.1");
	struct arg_int *port = arg_int1(
	    NULL, "port", "N", "control port; instance i listens at N + 1 + i");
	struct arg_int *instances =
	    arg_int0(NULL, "instances", "N", "default 4");
	struct arg_int *leaves =
	    arg_int0(NULL, "leaves", "N", "leaves an instance, default 2");
	struct arg_int *slots =
	    arg_int0(NULL, "slots", "N", "slots a leaf, default 2");
	struct arg_int *connections =
	    arg_int0(NULL, "connections", "N", "default 25");
	struct arg_int *connect_us = arg_int0(
	    NULL, "connect-us", "N", "cost of a new connection, default 5000");
	struct arg_int *shards =
	    arg_int0(NULL, "shards", "N", "default half of the leaves");
	struct arg_int *replicas = arg_int0(NULL, "replicas", "N", "default 2");
	struct arg_int *service_us = arg_int0(
	    NULL, "service-us", "N", "median service time, default 8000");
	struct arg_dbl *sigma = arg_dbl0(NULL, "sigma", "X",
	    "spread of the log-normal service time, default 0.4");
	struct arg_str *zones = arg_str0(NULL, "zones", "A,B,C",
	    "availability zones of the instances in turn");
	struct arg_str *regions = arg_str0(
	    NULL, "regions", "A,B,C", "regions of the instances in turn");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "default 1");
	struct arg_end *end = arg_end(8);
	void *table[] = { name, platform, address, port, instances, leaves,
		slots, connections, connect_us, shards, replicas, service_us,
		sigma, zones, regions, seed, end };

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "upstream");
		arg_print_glossary(stderr, table, "  %-24s %s\n");
		return 2;
	}
	up.name = name->sval[0];
	up.platform = platform->sval[0];
	up.address = address->count > 0 ? address->sval[0] : "127.0.0.1";
	up.base_port = port->ival[0];
	up.instances =
	    instances->count > 0 ? MIN(instances->ival[0], INSTANCES_MAX) : 4;
	up.leaves = leaves->count > 0 ? MIN(leaves->ival[0], LEAVES_MAX) : 2;
	up.slots = slots->count > 0 ? slots->ival[0] : 2;
	up.connections = connections->count > 0 ? connections->ival[0] : 25;
	up.connect_us = connect_us->count > 0 ? connect_us->ival[0] : 5000;
	up.replicas = replicas->count > 0 ? replicas->ival[0] : 2;
	up.shards = shards->count > 0
			? shards->ival[0]
			: MAX(1, up.instances * up.leaves / up.replicas);
	up.service_us = service_us->count > 0 ? service_us->ival[0] : 8000;
	up.sigma = sigma->count > 0 ? sigma->dval[0] : 0.4;
	up.zones =
	    g_strsplit(zones->count > 0 ? zones->sval[0] : "a,b,c", ",", -1);
	up.regions =
	    g_strsplit(regions->count > 0 ? regions->sval[0] : "r", ",", -1);
	up.version = 1;
	up.random = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(
	    up.random, seed->count > 0 ? (unsigned long)seed->ival[0] : 1);
	up.orders =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	up.loop = loop_create();
	/* Before the stubs' timers, so that what ends here is sent at once. */
	loop_add_timer(up.loop, handle_timer, NULL);
	if (!start_boxes())
		return 1;
	if (!publish_layout()) {
		fprintf(stderr,
		    "upstream %s: the layout could not be published at %s\n",
		    up.name, up.platform);
		return 1;
	}
	loop_run(up.loop);
	arg_freetable(table, G_N_ELEMENTS(table));
	return 0;
}
