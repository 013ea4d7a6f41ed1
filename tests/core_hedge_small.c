/**
 * @file core_hedge_small.c
 * Guards against partial answers when every shard of a small query is sent to
 * an instance that stops answering: all shards are pending, and must be hedged
 * nevertheless.
 */
#include <stdio.h>

#include "world.h"

#define SEEDS 16

/* Sends a few searches while there are no statistics of the leaves yet. */
static int
run_seed(uint64_t seed)
{
	world_options_t options = { .seed = seed,
		.vms = 1,
		.instances = 2,
		.leaves = 2,
		.slots = 2,
		.connections = 25,
		.shards = 2,
		.replicas = 2,
		.service_us = 8000,
		.sigma = 0.4,
		.rate = { 4, 0, 0 } };
	world_t *world = world_create(&options);
	const world_rank_t *rank;
	int errors;

	world_hang_instance(world, 1, true);
	world_run(world, 1000000);
	world_finish(world);
	rank = &world_get_report(world)->ranks[RANK_URGENT];
	printf("seed %" G_GUINT64_FORMAT ": full %" G_GINT64_FORMAT
	       ", partial or empty %" G_GINT64_FORMAT "\n",
	    seed, rank->full, rank->partial);
	errors = world_check(world) + (int)rank->partial;
	world_destroy(world);
	return errors;
}

int
main(void)
{
	int errors = 0;

	log_begin("warning", false);
	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		errors += run_seed(seed);
	return errors == 0 ? 0 : 1;
}
