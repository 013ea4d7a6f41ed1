/**
 * @file cost.c
 * Measures unit costs of the core, its snapshots and its ledger, and the tail
 * latency by fan-out, for docs/CAPACITY.md.
 *
 * Usage: cost core|fleet|ledger|tail
 * Prints one line a measurement: "name key value key value ...". Keys that
 * begin with cpu_us are processor time; the latencies of "tail" are virtual
 * time.
 */
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "world.h"

#define LEDGER_WRITERS 9
#define LEDGER_SECONDS 20
#define STORE_DELAY_US 3000
#define LEDGER_STEP_US 1000

static double
get_cpu_us(void)
{
	struct timespec used;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
	return (double)used.tv_sec * 1e6 + (double)used.tv_nsec / 1e3;
}

/* Processor time a query by fan-out, simulated leaves included. */
static void
measure_core(void)
{
	static const int fan_outs[] = { 1, 8, 64 };

	for (size_t i = 0; i < G_N_ELEMENTS(fan_outs); i++) {
		world_options_t options = { .seed = 1,
			.vms = 9,
			.instances = 32,
			.leaves = 4,
			.slots = 4,
			.connections = 100,
			.shards = fan_outs[i],
			.replicas = 2,
			.service_us = 2000,
			.sigma = 0.3,
			.rate = { 200, 0, 0 } };
		world_t *world = world_create(&options);
		double before_us;

		world_run(world, 2000000);
		world_reset_report(world);
		before_us = get_cpu_us();
		world_run(world, 20000000);
		printf("core fan_out %d queries %" G_GINT64_FORMAT
		       " cpu_us_per_query %.1f cpu_us_per_leaf %.1f\n",
		    fan_outs[i], world_get_report(world)->ranks[0].sent,
		    (get_cpu_us() - before_us) /
			(double)world_get_report(world)->ranks[0].sent,
		    (get_cpu_us() - before_us) /
			(double)world_get_report(world)->leaf_requests);
		world_finish(world);
		world_destroy(world);
	}
}

static char *
format_layout(int instances, int shards)
{
	GString *text = g_string_new("{\"index\":\"main\",\"upstream\":"
				     "\"main\",\"version\":1,\"instances\":[");

	for (int i = 0; i < instances; i++)
		g_string_append_printf(text,
		    "%s{\"id\":\"main-%d\",\"address\":\"127.0.0.1:%d\","
		    "\"zone\":\"z%d\",\"region\":\"r%d\",\"connections\":25,"
		    "\"leaves\":2,\"slots\":2,\"connect_us\":5000}",
		    i > 0 ? "," : "", i, 1000 + i, i % 9, i % 3);
	g_string_append(text, "],\"shards\":[");
	for (int i = 0; i < shards; i++)
		g_string_append_printf(text,
		    "%s[\"main-%d/%d\",\"main-%d/%d\"]", i > 0 ? "," : "",
		    (i / 2) % instances, i % 2,
		    (i / 2 + instances / 2) % instances, i % 2);
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

/* Processor time to build a snapshot, and its memory, by fleet size. */
static void
measure_fleet(void)
{
	static const struct {
		int members, instances, shards;
	} sizes[] = { { 9, 50, 50 }, { 60, 155, 155 }, { 200, 520, 520 },
		{ 600, 1550, 1550 } };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		member_t *members = g_new0(member_t, sizes[i].members);
		document_t documents[2] = { { .name = "settings",
						.version = 1 },
			{ .name = "index/main", .version = 1 } };
		error_info_t error = { 0 };
		struct mallinfo2 before, after;
		double cpu_us;
		fleet_t *fleet;

		for (int j = 0; j < sizes[i].members; j++) {
			snprintf(members[j].id, NAME_BYTES, "vm%d", j);
			snprintf(members[j].zone, NAME_BYTES, "z%d", j % 9);
			snprintf(members[j].address, NAME_BYTES, "127.0.0.1");
			members[j].threads = 1;
		}
		documents[0].body =
		    g_strdup("fleet: x\ndefaults:\n  home_block: 78\n");
		documents[0].length = strlen(documents[0].body);
		documents[1].body =
		    format_layout(sizes[i].instances, sizes[i].shards);
		documents[1].length = strlen(documents[1].body);
		before = mallinfo2();
		cpu_us = get_cpu_us();
		fleet = fleet_create("vm0", 1, documents, 2, members,
		    sizes[i].members, NULL, &error);
		cpu_us = get_cpu_us() - cpu_us;
		after = mallinfo2();
		printf("fleet members %d instances %d leaves %d cpu_us %.0f "
		       "bytes %zu layout_bytes %zu\n",
		    sizes[i].members, sizes[i].instances,
		    2 * sizes[i].instances, cpu_us,
		    after.uordblks - before.uordblks +
			(after.hblkhd - before.hblkhd),
		    documents[1].length);
		if (fleet == NULL)
			printf("error: %s: %s\n", error.step, error.text);
		fleet_release(fleet);
		g_free(documents[0].body);
		g_free(documents[1].body);
		g_free(members);
	}
}

/* Ledgers of several VMs that share one object store, in virtual time. */

typedef struct store_call {
	int64_t due_us;
	int writer;
	bool is_put, is_reply;
	char name[NAME_BYTES];
	uint64_t version;
	reply_status_t status;
	char *body;
	size_t length;
} store_call_t;

typedef struct store_object {
	uint64_t version;
	GString *body;
} store_object_t;

typedef struct ledger_simulation ledger_simulation_t;

typedef struct writer {
	ledger_simulation_t *simulation;
	int number;
	ledger_t *ledger;
} writer_t;

struct ledger_simulation {
	writer_t writers[LEDGER_WRITERS];
	GHashTable *objects;
	GQueue calls;
	int64_t now_us, reads, writes, conflicts, granted, not_granted,
	    written_bytes;
};

static store_call_t *
queue_store_call(writer_t *writer, const char *name)
{
	store_call_t *call = g_new0(store_call_t, 1);

	call->due_us = writer->simulation->now_us + STORE_DELAY_US;
	call->writer = writer->number;
	g_strlcpy(call->name, name, sizeof(call->name));
	g_queue_push_tail(&writer->simulation->calls, call);
	return call;
}

static void
queue_get(void *context, const char *name)
{
	queue_store_call(context, name);
}

static void
queue_put(void *context, const char *name, uint64_t version, const char *body,
    size_t length)
{
	store_call_t *call = queue_store_call(context, name);

	call->is_put = true;
	call->version = version;
	call->body = g_strndup(body, length);
	call->length = length;
}

static void
handle_claim(void *context, uint64_t request, claim_status_t status,
    const char *body, size_t length)
{
	writer_t *writer = context;
	char key[NAME_BYTES];

	if (status != CLAIM_GRANTED) {
		writer->simulation->not_granted++;
		return;
	}
	writer->simulation->granted++;
	snprintf(key, sizeof(key), "order-%" G_GUINT64_FORMAT, request);
	ledger_record(writer->ledger, writer->simulation->now_us, request, key,
	    true, "{\"confirmation\":\"klantdesk-123456\"}", 35);
}

static void
handle_record(void *context, uint64_t request)
{
}

static void
process_store_call(ledger_simulation_t *simulation, store_call_t *call)
{
	store_object_t *object =
	    g_hash_table_lookup(simulation->objects, call->name);
	ledger_t *ledger = simulation->writers[call->writer].ledger;

	if (call->is_put) {
		uint64_t version = object != NULL ? object->version : 0;

		simulation->writes++;
		simulation->written_bytes += (int64_t)call->length;
		if (version != call->version) {
			simulation->conflicts++;
			ledger_reply_put(ledger, simulation->now_us, call->name,
			    REPLY_CONFLICT, version);
			return;
		}
		if (object == NULL) {
			object = g_new0(store_object_t, 1);
			object->body = g_string_new(NULL);
			g_hash_table_insert(
			    simulation->objects, g_strdup(call->name), object);
		}
		g_string_assign(object->body, call->body);
		ledger_reply_put(ledger, simulation->now_us, call->name,
		    REPLY_OK, ++object->version);
		return;
	}
	simulation->reads++;
	if (object == NULL)
		ledger_reply_get(ledger, simulation->now_us, call->name,
		    REPLY_NOT_FOUND, 0, "", 0);
	else
		ledger_reply_get(ledger, simulation->now_us, call->name,
		    REPLY_OK, object->version, object->body->str,
		    object->body->len);
}

static void
measure_ledger_rate(int rate)
{
	ledger_simulation_t simulation = { .now_us = 1000000 };
	gsl_rng *random = gsl_rng_alloc(gsl_rng_taus2);
	uint64_t request = 0;
	double due_orders = 0, started_us = get_cpu_us();

	simulation.objects = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&simulation.calls);
	for (int i = 0; i < LEDGER_WRITERS; i++) {
		ledger_callbacks_t callbacks = { queue_get, queue_put,
			handle_claim, handle_record, &simulation.writers[i] };
		char name[NAME_BYTES];

		snprintf(name, sizeof(name), "vm%d", i);
		simulation.writers[i].simulation = &simulation;
		simulation.writers[i].number = i;
		simulation.writers[i].ledger =
		    ledger_create(name, (uint64_t)i + 1, &callbacks);
	}
	for (int64_t step = 0;
	     step < (int64_t)LEDGER_SECONDS * 1000000 / LEDGER_STEP_US;
	     step++) {
		simulation.now_us += LEDGER_STEP_US;
		due_orders += (double)rate * LEDGER_STEP_US / 1e6;
		while (due_orders >= 1) {
			due_orders -= 1;
			writer_t *writer =
			    &simulation.writers[gsl_rng_uniform_int(
				random, LEDGER_WRITERS)];
			char key[NAME_BYTES];
			claim_t claim = { ++request, key, 1, simulation.now_us,
				INT64_C(3600000000), 500000, 0 };

			snprintf(key, sizeof(key), "order-%" G_GUINT64_FORMAT,
			    request);
			ledger_claim(writer->ledger, simulation.now_us,
			    simulation.now_us, &claim);
		}
		while (!g_queue_is_empty(&simulation.calls) &&
		       ((store_call_t *)g_queue_peek_head(&simulation.calls))
			       ->due_us <= simulation.now_us) {
			store_call_t *call =
			    g_queue_pop_head(&simulation.calls);

			process_store_call(&simulation, call);
			g_free(call->body);
			g_free(call);
		}
		for (int i = 0; i < LEDGER_WRITERS; i++)
			ledger_tick(
			    simulation.writers[i].ledger, simulation.now_us);
	}
	printf("ledger orders_per_s %d granted %" G_GINT64_FORMAT
	       " other %" G_GINT64_FORMAT
	       " reads_per_order %.2f writes_per_order %.2f "
	       "conflicts_per_order %.2f writes_per_s %.0f bytes_per_write "
	       "%.0f cpu_us_per_order %.0f\n",
	    rate, simulation.granted, simulation.not_granted,
	    (double)simulation.reads / (double)request,
	    (double)simulation.writes / (double)request,
	    (double)simulation.conflicts / (double)request,
	    (double)simulation.writes / LEDGER_SECONDS,
	    (double)simulation.written_bytes /
		(double)MAX(1, simulation.writes),
	    (get_cpu_us() - started_us) / (double)request);
	for (int i = 0; i < LEDGER_WRITERS; i++)
		ledger_destroy(simulation.writers[i].ledger);
	gsl_rng_free(random);
}

/*
 * Latency of urgent searches by fan-out, with and without hedging, when no leaf
 * request is slow and when one in a thousand takes ten times as long.
 */
static void
measure_tail(void)
{
	static const struct {
		const char *name, *settings;
		double slow_probability;
	} cases[] = {
		{ "calm_no_hedge", "  hedging: \"off\"\n", 0 },
		{ "calm_hedge", "  hedging: adaptive\n", 0 },
		{ "slow_no_hedge", "  hedging: \"off\"\n", 0.001 },
		{ "slow_hedge", "  hedging: adaptive\n", 0.001 },
	};
	static const int fan_outs[] = { 30, 110, 330 };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(fan_outs); j++) {
			world_options_t options = { .seed = 1,
				.vms = 9,
				.leaves = 4,
				.slots = 2,
				.connections = 100,
				.replicas = 2,
				.service_us = 8000,
				.sigma = 0.4,
				.rate = { 40, 0, 0 },
				.settings = cases[i].settings };
			const world_rank_t *urgent;
			world_t *world;

			options.shards = fan_outs[j];
			options.instances = fan_outs[j] * 2 / 4;
			world = world_create(&options);
			world_slow_requests(
			    world, cases[i].slow_probability, 10);
			world_run(world, 3000000);
			world_reset_report(world);
			world_run(world, 60000000);
			urgent = &world_get_report(world)->ranks[0];
			printf("tail case %s fan_out %d p50_ms %.1f p99_ms "
			       "%.1f coverage %.5f extra_percent %.2f\n",
			    cases[i].name, fan_outs[j],
			    histogram_get_quantile(urgent->latency_us, 0.5) /
				1000,
			    histogram_get_quantile(urgent->latency_us, 0.99) /
				1000,
			    urgent->coverage /
				(double)MAX(1, urgent->full + urgent->partial),
			    100 * ((double)world_get_report(world)
					      ->leaf_requests /
					  (double)MAX(1, world_get_report(world)
							     ->shard_requests) -
				      1));
			world_finish(world);
			world_destroy(world);
		}
	}
}

int
main(int argc, char **argv)
{
	log_begin("warning", false);
	if (argc == 2 && strcmp(argv[1], "core") == 0) {
		measure_core();
	} else if (argc == 2 && strcmp(argv[1], "fleet") == 0) {
		measure_fleet();
	} else if (argc == 2 && strcmp(argv[1], "ledger") == 0) {
		measure_ledger_rate(1);
		measure_ledger_rate(100);
		measure_ledger_rate(1000);
	} else if (argc == 2 && strcmp(argv[1], "tail") == 0) {
		measure_tail();
	} else {
		fprintf(stderr, "Usage: cost core|fleet|ledger|tail\n");
		return 2;
	}
	return 0;
}
