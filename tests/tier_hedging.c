/**
 * @file tier_hedging.c
 * When a part is sent to a second leaf: early enough for the objective, sooner
 * once other parts have answered, and not because this process itself was busy.
 */
#include <stdio.h>
#include <string.h>

#include "tier.h"

#define SHARDS	  20
#define LEAVES	  (2 * SHARDS)
#define BEGIN_US  1000000
#define REMOTE_US 25000 /* round trip to the second leaf */
#define WORK_US	  5000
#define STEP_US	  1000

typedef struct hedge_world {
	tier_attempt_t *attempts[2 * LEAVES];
	int64_t sent_us[2 * LEAVES];
	int sent_count;
	int64_t now_us;
} hedge_world_t;

static void
record_send(void *context, tier_attempt_t *attempt)
{
	hedge_world_t *world = context;

	world->sent_us[world->sent_count] = world->now_us;
	world->attempts[world->sent_count++] = attempt;
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

static directory_t *
create_directory(int64_t objective_us)
{
	route_table_t *table = route_table_create(1);
	route_t *route =
	    route_table_add(table, "lookup", "h.example", "/lookup/", SHARDS);
	directory_t *directory;

	route->is_gather = route->is_idempotent = true;
	route->timeout_us = 1000000;
	route->latency_objective_us = objective_us;
	route->max_attempts = 2;
	route->max_records = 5;
	route->min_coverage = 0.85;
	for (int i = 0; i < SHARDS; i++) {
		char name[NAME_BYTES];

		snprintf(name, sizeof(name), "s%d", i);
		route->targets[i].service = g_strdup(name);
		route->targets[i].weight = 1;
		route_table_add_service(table, name, 64);
	}
	directory = directory_create(table, 1);
	route_table_release(table);
	for (int i = 0; i < LEAVES; i++) {
		leaf_entry_t entry = { .slots = 3 };

		snprintf(entry.id, sizeof(entry.id), "i-%d", i);
		snprintf(entry.service, sizeof(entry.service), "s%d", i / 2);
		snprintf(
		    entry.address, sizeof(entry.address), "10.0.0.1:%d", i + 1);
		g_strlcpy(entry.zone, i % 2 == 0 ? "near" : "far",
		    sizeof(entry.zone));
		g_array_append_val(directory->leaves, entry);
	}
	return directory;
}

static tier_t *
begin(hedge_world_t *world, GHashTable *regions, int64_t objective_us)
{
	tier_options_t options = { .zone = "near",
		.region = "here",
		.regions = regions,
		.retry_ratio = 0.2,
		.retry_slack = 100,
		.retry_window_us = 10000000,
		.initial_vm_count = 1,
		.seed = 1 };
	tier_callbacks_t callbacks = { world, record_send, ignore_attempt,
		ignore_answer, ignore_leaf, ignore_leaf, ignore_log };
	tier_request_info_t info = { .id = "r",
		.host = "h.example",
		.target = "/lookup/1",
		.caller_timeout_us = 600000,
		.rtt_us = 2000,
		.has_id = true };
	directory_t *directory = create_directory(objective_us);
	tier_t *tier = tier_create(&options, &callbacks);

	memset(world, 0, sizeof(*world));
	world->now_us = BEGIN_US;
	tier_set_directory(tier, world->now_us, directory);
	directory_destroy(directory);
	tier_tick(tier, world->now_us);
	world->now_us += 20000000; /* the start is over */
	info.arrived_us = world->now_us;
	tier_tick(tier, world->now_us);
	tier_begin(tier, world->now_us, &info, world);
	return tier;
}

static void
answer_part(tier_t *tier, hedge_world_t *world, int i)
{
	char stamp[16];
	leaf_answer_t answer = { .outcome = OUTCOME_ANSWERED,
		.status = 200,
		.stamp = stamp,
		.body = "0123456789abcdef",
		.body_length = 16 };

	snprintf(stamp, sizeof(stamp), "m%d", i);
	tier_handle_answer(tier, world->now_us, world->attempts[i], &answer);
}

static GHashTable *
create_regions(void)
{
	GHashTable *regions = g_hash_table_new(g_str_hash, g_str_equal);

	g_hash_table_insert(regions, "near", "here");
	g_hash_table_insert(regions, "far", "there");
	return regions;
}

static bool
check(const char *what, int64_t seen, int64_t least, int64_t most)
{
	if (seen >= least && seen <= most)
		return true;
	printf("  FAIL: %s: %" G_GINT64_FORMAT ", wanted %" G_GINT64_FORMAT
	       " to %" G_GINT64_FORMAT "\n",
	    what, seen, least, most);
	return false;
}

/*
 * Parts before `answered` answer after WORK_US, the others never. Returns the
 * time of the first hedge after the start, 0 if there was none within 300 ms.
 */
static int64_t
get_first_hedge_us(int64_t objective_us, int answered)
{
	hedge_world_t world;
	GHashTable *regions = create_regions();
	tier_t *tier = begin(&world, regions, objective_us);
	int64_t begin_us = world.now_us, hedge_us = 0;

	for (int64_t i = 0; i < 300000 && hedge_us == 0; i += STEP_US) {
		world.now_us = begin_us + i;
		if (i == WORK_US)
			for (int j = 0; j < answered; j++)
				answer_part(tier, &world, j);
		tier_tick(tier, world.now_us);
		if (world.sent_count > SHARDS)
			hedge_us = i;
	}
	tier_destroy(tier);
	g_hash_table_unref(regions);
	return hedge_us;
}

/* "a fresh VM's first lookup": it knows nothing of the work yet. */
static bool
check_objective(void)
{
	int64_t latest_us = 100000 - 2 * REMOTE_US - WORK_US;

	printf("hedges leave the other leaf time to answer\n");
	return check("hedge, no part has answered",
		   get_first_hedge_us(100000, 0), 20000, latest_us) &
	       check("hedge, most parts have answered",
		   get_first_hedge_us(100000, SHARDS - 1), WORK_US, 35000) &
	       check("hedge with a long objective",
		   get_first_hedge_us(1000000, 0), 45000, 100000);
}

/* "a busy VM": it was not scheduled for 80 ms while all answers arrived. */
static bool
check_busy_process(void)
{
	hedge_world_t world;
	GHashTable *regions = create_regions();
	tier_t *tier = begin(&world, regions, 250000);
	bool is_good;

	printf("a process that was busy reads answers before it hedges\n");
	world.now_us += 80000;
	tier_tick(tier, world.now_us);
	is_good = check(
	    "sent after the late check", world.sent_count, SHARDS, SHARDS);
	for (int i = 0; i < SHARDS; i++)
		answer_part(tier, &world, i);
	world.now_us += STEP_US;
	tier_tick(tier, world.now_us);
	is_good &= check("sent in all", world.sent_count, SHARDS, SHARDS);
	tier_destroy(tier);

	tier = begin(&world, regions, 250000);
	world.now_us += 80000;
	tier_tick(tier, world.now_us);
	world.now_us += 2 * STEP_US;
	tier_tick(tier, world.now_us);
	is_good &= check("sent if no answer was waiting", world.sent_count,
	    SHARDS + 1, 2 * SHARDS);
	tier_destroy(tier);
	g_hash_table_unref(regions);
	return is_good;
}

int
main(void)
{
	bool is_good = check_objective();

	is_good &= check_busy_process();
	return is_good ? 0 : 1;
}
