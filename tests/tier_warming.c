/**
 * @file tier_warming.c
 * Connections that are opened before they are needed: to which leaf, how fast,
 * by how many VMs, and never ahead of requests in work.
 */
#include <stdio.h>
#include <string.h>

#include "tier.h"

#define SHARDS	   180
#define NEW_SHARDS 270
#define ZONES	   6
#define REGIONS	   3
#define SECOND_US  1000000
#define STEP_US	   10000
#define MAX_LEAVES (3 * (SHARDS + NEW_SHARDS))
#define RESERVED   2   /* connections of a leaf for VMs that join */
#define RATE_MAX   110 /* connections a second of one VM */
#define WARM_MAX_S 5   /* a new set of shards is named some seconds later */

typedef struct warm_world {
	int warmed;		 /* of this VM */
	int wrong_region;	 /* leaves of other regions */
	int holders[MAX_LEAVES]; /* of each leaf, over all VMs */
	GHashTable *numbers;	 /* leaf id -> its number, from 1 */
	tier_leaf_t *sent_to;	 /* of the last attempt */
	tier_attempt_t *attempt;
} warm_world_t;

static const char *const zones[ZONES] = { "a-1", "b-1", "c-1", "a-2", "b-2",
	"c-2" };

static void
record_warm(void *context, tier_leaf_t *leaf)
{
	warm_world_t *world = context;
	int number = GPOINTER_TO_INT(
	    g_hash_table_lookup(world->numbers, leaf->entry.id));

	world->warmed++;
	world->wrong_region += leaf->distance == 2;
	world->holders[number - 1]++;
	leaf->connection_count++;
}

static void
record_send(void *context, tier_attempt_t *attempt)
{
	warm_world_t *world = context;

	world->attempt = attempt;
}

static void
ignore_attempt(void *context, tier_attempt_t *attempt)
{
}

static void
ignore_answer(void *context, void *caller, const tier_answer_t *answer)
{
}

static void
ignore_leaf(void *context, tier_leaf_t *leaf)
{
}

static void
ignore_log(void *context, log_event_t event, const char *text)
{
}

static tier_t *
create_tier(warm_world_t *world, int vm, GHashTable *regions, int64_t now_us)
{
	tier_options_t options = { .regions = regions,
		.retry_ratio = 0.2,
		.retry_slack = 630,
		.retry_window_us = 10 * SECOND_US,
		.initial_vm_count = 100 };
	tier_callbacks_t callbacks = { world, record_send, ignore_attempt,
		ignore_answer, record_warm, ignore_leaf, ignore_log };
	char id[NAME_BYTES];
	tier_t *tier;

	snprintf(id, sizeof(id), "vm-%d", vm);
	options.seed = hash_text(id);
	g_strlcpy(options.zone, zones[vm % ZONES], sizeof(options.zone));
	g_strlcpy(options.region,
	    g_hash_table_lookup(regions, zones[vm % ZONES]),
	    sizeof(options.region));
	tier = tier_create(&options, &callbacks);
	tier_tick(tier, now_us);
	return tier;
}

/* Each shard has a leaf in the first zone of each region. */
static void
add_shards(warm_world_t *world, directory_t *directory, const char *prefix,
    int count, int connections)
{
	for (int i = 0; i < count * REGIONS; i++) {
		leaf_entry_t entry = { .slots = 3 };
		guint number = g_hash_table_size(world->numbers) + 1;

		snprintf(entry.id, sizeof(entry.id), "%s-%d", prefix, i);
		snprintf(entry.service, sizeof(entry.service), "%s-s%d", prefix,
		    i / REGIONS);
		snprintf(
		    entry.address, sizeof(entry.address), "10.0.0.1:%d", i + 1);
		g_strlcpy(entry.zone, zones[i % REGIONS], sizeof(entry.zone));
		g_array_append_val(directory->leaves, entry);
		if (!g_hash_table_contains(world->numbers, entry.id))
			g_hash_table_insert(world->numbers, g_strdup(entry.id),
			    GUINT_TO_POINTER(number));
		if (i % REGIONS == 0)
			route_table_add_service(
			    directory->table, entry.service, connections);
	}
}

static route_table_t *
create_table(uint64_t version, const char *prefix)
{
	route_table_t *table = route_table_create(version);
	route_t *route =
	    route_table_add(table, "list", "h.example", "/list/", 1);
	char name[NAME_BYTES];

	snprintf(name, sizeof(name), "%s-s0", prefix);
	route->is_idempotent = true;
	route->timeout_us = SECOND_US;
	route->latency_objective_us = 250000;
	route->max_attempts = 2;
	route->targets[0].service = g_strdup(name);
	route->targets[0].weight = 1;
	return table;
}

static bool
check(const char *what, int seen, int least, int most)
{
	if (seen >= least && seen <= most)
		return true;
	printf("  FAIL: %s: %d, wanted %d to %d\n", what, seen, least, most);
	return false;
}

static GHashTable *
create_regions(void)
{
	GHashTable *regions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, NULL);

	for (int i = 0; i < ZONES; i++)
		g_hash_table_insert(regions, (char *)zones[i],
		    (char *)(i % 3 == 0	  ? "a"
			     : i % 3 == 1 ? "b"
					  : "c"));
	return regions;
}

static warm_world_t *
create_world(void)
{
	warm_world_t *world = g_new0(warm_world_t, 1);

	world->numbers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return world;
}

static void
destroy_world(warm_world_t *world)
{
	g_hash_table_unref(world->numbers);
	g_free(world);
}

static directory_t *
create_directory(
    warm_world_t *world, uint64_t version, int vms, bool has_new, int limit)
{
	route_table_t *table = create_table(version, "old");
	directory_t *directory = directory_create(table, vms);

	route_table_release(table);
	add_shards(world, directory, "old", SHARDS, limit);
	if (has_new)
		add_shards(world, directory, "new", NEW_SHARDS, limit);
	return directory;
}

static void
apply(tier_t *tier, int64_t now_us, directory_t *directory)
{
	tier_set_directory(tier, now_us, directory);
	directory_destroy(directory);
}

/* "a fresh VM": then "a new set of shards appears before it is named". */
static bool
run_one_vm(void)
{
	warm_world_t *world = create_world();
	GHashTable *regions = create_regions();
	int64_t now_us = SECOND_US, end_us;
	tier_t *tier = create_tier(world, 0, regions, now_us);
	tier_request_info_t info = { .id = "r",
		.host = "h.example",
		.target = "/list/",
		.caller_timeout_us = SECOND_US,
		.has_id = true };
	bool is_good = true;

	printf("a fresh VM, then a new set of shards\n");
	apply(tier, now_us, create_directory(world, 1, 295, false, 175));
	for (end_us = now_us + SECOND_US; now_us < end_us; now_us += STEP_US)
		tier_tick(tier, now_us);
	is_good &= check(
	    "connections in the first second", world->warmed, 60, RATE_MAX);
	for (end_us = now_us + WARM_MAX_S * SECOND_US; now_us < end_us;
	     now_us += STEP_US)
		tier_tick(tier, now_us);
	is_good &=
	    check("connections to shards", world->warmed, SHARDS, SHARDS);
	is_good &= check("leaves of other regions", world->wrong_region, 0, 0);

	world->warmed = 0;
	apply(tier, now_us, create_directory(world, 1, 295, true, 175));
	info.arrived_us = now_us;
	tier_begin(tier, now_us, &info, world);
	for (end_us = now_us + SECOND_US / 2; now_us < end_us;
	     now_us += STEP_US)
		tier_tick(tier, now_us);
	is_good &= check(
	    "connections while a request is in work", world->warmed, 0, 0);
	tier_handle_answer(tier, now_us, world->attempt,
	    &(leaf_answer_t){ .outcome = OUTCOME_ANSWERED, .status = 200 });
	for (end_us = now_us + WARM_MAX_S * SECOND_US; now_us < end_us;
	     now_us += STEP_US)
		tier_tick(tier, now_us);
	is_good &= check(
	    "connections to new shards", world->warmed, NEW_SHARDS, NEW_SHARDS);
	apply(tier, now_us, create_directory(world, 1, 295, true, 175));
	for (end_us = now_us + SECOND_US; now_us < end_us; now_us += STEP_US)
		tier_tick(tier, now_us);
	is_good &=
	    check("connections opened twice", world->warmed - NEW_SHARDS, 0, 0);
	tier_destroy(tier);
	g_hash_table_unref(regions);
	destroy_world(world);
	return is_good;
}

/* The fleet together stays within what a leaf accepts, at any size. */
static bool
run_fleet(int vms, int limit)
{
	warm_world_t *world = create_world();
	GHashTable *regions = create_regions();
	int most = 0, least = vms;
	bool is_good;

	printf("%d VMs, %d connections a leaf\n", vms, limit);
	for (int vm = 0; vm < vms; vm++) {
		int64_t now_us = SECOND_US;
		tier_t *tier = create_tier(world, vm, regions, now_us);

		apply(tier, now_us,
		    create_directory(world, 1, vms, false, limit));
		for (int i = 0; i < 60; i++, now_us += 4 * STEP_US)
			tier_tick(tier, now_us);
		tier_destroy(tier);
	}
	for (int i = 0; i < SHARDS * REGIONS; i++) {
		most = MAX(most, world->holders[i]);
		least = MIN(least, world->holders[i]);
	}
	is_good = check("most VMs at a leaf", most, 1, limit - RESERVED) &
		  check("fewest VMs at a leaf", least, 2, vms);
	g_hash_table_unref(regions);
	destroy_world(world);
	return is_good;
}

int
main(void)
{
	bool is_good = run_one_vm();

	is_good &= run_fleet(9, 26);
	is_good &= run_fleet(295, 175);
	is_good &= run_fleet(601, 175);
	return is_good ? 0 : 1;
}
