/**
 * @file core_random.c
 * Runs the cores in virtual time under random faults from a seed; checks the
 * cores' invariants and the callers' answers.
 *
 * Usage: core_random [FIRST_SEED SEEDS [SECONDS]]
 * If CORE_RANDOM_LOG is set, the cores log to standard error.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define DEFAULT_SEEDS	  6
#define DEFAULT_SECONDS	  60
#define FAULT_INTERVAL_US 700000

static int
run_seed(uint64_t seed, int seconds, int64_t *queries)
{
	world_options_t options = { .seed = seed,
		.vms = 5,
		.instances = 8,
		.leaves = 2,
		.slots = 2,
		.connections = 25,
		.shards = 8,
		.replicas = 2,
		.service_us = 8000,
		.sigma = 0.4,
		.rate = { 80, 60, 40 },
		.order_rate = 20 };
	world_t *world;
	const world_report_t *report;
	int errors;

	if (g_getenv("CORE_RANDOM_LOG") != NULL) {
		log_begin("debug", false);
		options.log = log_write;
	}
	options.settings =
	    seed % 3 == 0 ? "  reach: direct\n" : "  home_block: 2\n";
	world = world_create(&options);
	for (int64_t elapsed_us = 0; elapsed_us < (int64_t)seconds * 1000000;
	     elapsed_us += FAULT_INTERVAL_US) {
		world_run(world, FAULT_INTERVAL_US);
		world_inject_random_fault(world);
	}
	world_finish(world);
	errors = world_check(world);
	report = world_get_report(world);
	for (rank_t rank = 0; rank < RANK_COUNT; rank++)
		*queries += report->ranks[rank].sent;
	printf("seed %" G_GUINT64_FORMAT ": searches %" G_GINT64_FORMAT
	       " %" G_GINT64_FORMAT " %" G_GINT64_FORMAT
	       ", orders %" G_GINT64_FORMAT " (done %" G_GINT64_FORMAT
	       ", not_run %" G_GINT64_FORMAT ", unknown %" G_GINT64_FORMAT
	       ", on record %" G_GINT64_FORMAT "), late work %" G_GINT64_FORMAT
	       ", errors %d\n",
	    seed, report->ranks[0].sent, report->ranks[1].sent,
	    report->ranks[2].sent, report->orders, report->orders_done,
	    report->orders_not_run, report->orders_unknown,
	    report->orders_repeated, report->late_work, errors);
	world_destroy(world);
	return errors;
}

int
main(int argc, char **argv)
{
	uint64_t first_seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
	int seeds = argc > 2 ? atoi(argv[2]) : DEFAULT_SEEDS;
	int seconds = argc > 3 ? atoi(argv[3]) : DEFAULT_SECONDS;
	int64_t start_us = clock_get_us();
	int64_t queries = 0;
	int errors = 0;

	log_begin("warning", false);
	for (int i = 0; i < seeds; i++)
		errors += run_seed(first_seed + (uint64_t)i, seconds, &queries);
	fprintf(stderr, "%" G_GINT64_FORMAT " queries in %.1f s\n", queries,
	    (double)(clock_get_us() - start_us) / 1e6);
	return errors == 0 ? 0 : 1;
}
