/**
 * @file world.h
 * A handful of cores in virtual time, with small fakes at their interfaces:
 * leaves, links between VMs, the object store behind the ledgers, callers.
 * A seed reproduces everything. What callers are told is checked against what
 * the fakes did.
 */
#ifndef WORLD_H
#define WORLD_H

#include "plantainarch.h"

typedef struct world world_t;

typedef struct world_options {
	uint64_t seed;
	int vms, instances, leaves, slots, connections, shards, replicas;
	double service_us, sigma;
	double rate[RANK_COUNT]; /* searches a second */
	double order_rate;
	const char *settings;	/* lines of the defaults mapping, or NULL */
	const char *exceptions; /* YAML list, or NULL */
	log_fn_t log;
	void *log_context;
	int callers;
} world_options_t;

typedef struct world_rank {
	int64_t sent, full, partial, refused, failed;
	double coverage;
	histogram_t *latency_us; /* of answered searches */
	histogram_t *refusal_us;
} world_rank_t;

typedef struct world_report {
	world_rank_t ranks[RANK_COUNT];
	int64_t shard_requests; /* shards of admitted searches */
	int64_t leaf_requests, leaf_shed, cancelled;
	int64_t orders, orders_done, orders_not_run, orders_unknown,
	    orders_repeated;
	int64_t store_reads, store_writes, store_conflicts;
	int64_t late_work; /* requests to a leaving instance after its grace */
	int64_t most_connections; /* at one instance, work under way */
	int64_t lost_answers;	  /* searches of VMs that were killed */
	int64_t errors;		  /* checks that failed */
} world_report_t;

world_t *world_create(const world_options_t *options);
void world_destroy(world_t *world);
void world_run(
    world_t *world, int64_t duration_us); /* goes on from where it was */
void world_run_until_idle(
    world_t *world); /* no new callers; runs until all is answered */
const world_report_t *world_get_report(const world_t *world);
void world_reset_report(world_t *world); /* after a warm-up */
int64_t world_get_now(const world_t *world);
int world_check(world_t *world); /* final checks; the number of errors */

/* Faults. */
void world_set_rate(world_t *world, rank_t rank, double rate);
void world_set_callers(world_t *world, rank_t rank, int callers,
    double first_share); /* the first caller's part of the work */
void world_slow_instance(world_t *world, int instance, double factor);
void world_slow_requests(world_t *world, double part, double factor);
void world_hang_instance(world_t *world, int instance, bool hangs);
void world_drain_instance(world_t *world, int instance, bool drains);
void world_cold_start_instance(world_t *world, int instance); /* a cold start */
void world_repartition(world_t *world, int shards);
void world_corrupt_replies(world_t *world, double crossed, double garbage,
    double doubled, double wrong_version);
void world_set_links(world_t *world, double loss, double delay_factor);
void world_pause_vm(world_t *world, int vm, int64_t duration_us);
void world_replace_vm(
    world_t *world, int vm); /* killed, and a new one at once */
void world_set_store(
    world_t *world, bool is_down, double lost, int64_t delay_us);
void world_random_fault(
    world_t *world); /* one of all of these, or the end of one */

#endif
