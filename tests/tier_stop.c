/**
 * @file tier_stop.c
 * Requests at each moment of a planned stop, under load: one that the stop
 * would cut is refused at once, and nothing of it is sent; an order is passed
 * on only if its answer is nearly certain to come in time.
 */
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <string.h>

#include "tier.h"

#define SECOND_US   1000000
#define WORK_US	    100000 /* mean work of a request; half to twice of it */
#define SAMPLES	    200
#define STOP_US	    (100 * (int64_t)SECOND_US)
#define UNTIL_US    (STOP_US + 5 * (int64_t)SECOND_US)
#define INTERVAL_US 7000 /* between two requests */
#define IN_WORK_MAX 64

typedef struct work {
	tier_attempt_t *attempt;
	int64_t due_us;
} work_t;

typedef struct stop_world {
	tier_t *tier;
	gsl_rng *random;
	int64_t now_us;
	work_t works[IN_WORK_MAX];
	int sent; /* by the request that is begun */
	int status;
	int64_t retry_after_us;
	int served, refused, cut;
} stop_world_t;

static void
send_attempt(void *context, tier_attempt_t *attempt)
{
	stop_world_t *world = context;

	world->sent++;
	for (int i = 0; i < IN_WORK_MAX; i++) {
		if (world->works[i].attempt != NULL)
			continue;
		world->works[i].attempt = attempt;
		world->works[i].due_us =
		    world->now_us +
		    (int64_t)(WORK_US *
			      (0.5 + 1.5 * gsl_rng_uniform(world->random)));
		return;
	}
}

static void
cancel_attempt(void *context, tier_attempt_t *attempt)
{
	stop_world_t *world = context;

	for (int i = 0; i < IN_WORK_MAX; i++)
		if (world->works[i].attempt == attempt)
			world->works[i].attempt = NULL;
}

static void
take_answer(void *context, void *caller, const tier_answer_t *answer)
{
	stop_world_t *world = context;

	world->status = answer->status;
	world->retry_after_us = answer->retry_after_us;
	world->served += answer->status == 200;
	world->refused += answer->status == 503;
	world->cut += answer->status == 504 || answer->status == 502;
}

static void
ignore_leaf(void *context, tier_leaf_t *leaf)
{
}

static void
ignore_log(void *context, log_event_t event, const char *text)
{
}

/* Advances to the time; leaves answer when their work is done. */
static void
run_until(stop_world_t *world, int64_t until_us)
{
	const leaf_answer_t answer = {
		.outcome = OUTCOME_ANSWERED, .status = 200, .stamp = "stamp"
	};

	for (; world->now_us < until_us; world->now_us += 1000) {
		for (int i = 0; i < IN_WORK_MAX; i++) {
			tier_attempt_t *attempt = world->works[i].attempt;

			if (attempt == NULL ||
			    world->works[i].due_us > world->now_us)
				continue;
			world->works[i].attempt = NULL;
			tier_handle_answer(
			    world->tier, world->now_us, attempt, &answer);
		}
		tier_tick(world->tier, world->now_us);
	}
}

static void
begin_world(stop_world_t *world, GHashTable *regions, bool is_idempotent)
{
	tier_options_t options = { .zone = "z",
		.region = "r",
		.regions = regions,
		.retry_ratio = 0.2,
		.retry_slack = 58,
		.retry_window_us = 10 * (int64_t)SECOND_US,
		.initial_vm_count = 1,
		.seed = 1 };
	tier_callbacks_t callbacks = { world, send_attempt, cancel_attempt,
		take_answer, ignore_leaf, ignore_leaf, ignore_log };
	route_table_t *table = route_table_create(1);
	route_t *route = route_table_add(table, "route", "h", "/p/", 1);
	directory_t *directory;

	route->is_idempotent = is_idempotent;
	route->timeout_us = 3 * (int64_t)SECOND_US;
	route->latency_objective_us = SECOND_US;
	route->max_attempts = 1;
	route->targets[0].service = g_strdup("s");
	route->targets[0].weight = 1;
	route_table_add_service(table, "s", 400);
	directory = directory_create(table, 1);
	for (int i = 0; i < 4; i++) {
		leaf_entry_t entry = {
			.service = "s", .zone = "z", .slots = 16
		};

		snprintf(entry.id, sizeof(entry.id), "i-%d", i);
		snprintf(entry.address, sizeof(entry.address), "127.0.0.1:%d",
		    i + 1);
		g_array_append_val(directory->leaves, entry);
	}
	world->random = gsl_rng_alloc(gsl_rng_taus2);
	world->tier = tier_create(&options, &callbacks);
	tier_set_directory(world->tier, world->now_us, directory);
	directory_destroy(directory);
	route_table_release(table);
}

static bool
ask(stop_world_t *world)
{
	tier_request_info_t info = { .id = "r",
		.host = "h",
		.target = "/p/x",
		.caller_timeout_us = 3 * (int64_t)SECOND_US,
		.arrived_us = world->now_us,
		.has_id = true };
	bool is_late = world->now_us >= UNTIL_US;
	int refused = world->refused;

	world->sent = 0;
	tier_begin(world->tier, world->now_us, &info, world);
	if (world->refused > refused)
		return world->sent == 0 && world->retry_after_us > 0;
	return world->sent == 1 && !is_late;
}

static bool
run_case(GHashTable *regions, bool is_idempotent)
{
	stop_world_t world = { .now_us = SECOND_US };
	bool is_good = true;
	int before;

	begin_world(&world, regions, is_idempotent);
	for (int i = 0; i < SAMPLES; i++) {
		ask(&world);
		run_until(&world, world.now_us + 40000);
	}
	run_until(&world, STOP_US);
	before = world.served;
	world.refused = world.cut = 0;
	tier_set_stopping(world.tier, UNTIL_US);
	while (world.now_us < UNTIL_US + SECOND_US) {
		is_good &= ask(&world);
		run_until(&world, world.now_us + INTERVAL_US);
	}
	run_until(&world, UNTIL_US + 4 * (int64_t)SECOND_US);
	printf("%s: served %d, refused at once %d, cut %d\n",
	    is_idempotent ? "searches" : "orders", world.served - before,
	    world.refused, world.cut);
	/* Most of the grace is used; no order is cut. */
	is_good &= world.served - before > 400 && world.refused > 0 &&
		   world.cut <= (is_idempotent ? 10 : 0);
	tier_destroy(world.tier);
	gsl_rng_free(world.random);
	return is_good;
}

int
main(void)
{
	GHashTable *regions = g_hash_table_new(g_str_hash, g_str_equal);
	bool is_good = true;

	g_hash_table_insert(regions, "z", "r");
	is_good &= run_case(regions, true);
	is_good &= run_case(regions, false);
	g_hash_table_unref(regions);
	return is_good ? 0 : 1;
}
