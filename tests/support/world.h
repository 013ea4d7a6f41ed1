/**
 * @file world.h
 * Simulation of several cores in virtual time, with simple fakes at their
 * interfaces: leaves, the network between VMs, the ledgers' object store,
 * callers. A seed reproduces a run exactly. Answers to callers are checked
 * against what the fakes did.
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
	const char *settings; /* YAML lines of the defaults mapping, or NULL */
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
	int64_t shard_requests; /* shards of the answered searches */
	int64_t leaf_requests, leaf_shed, cancelled;
	int64_t orders, orders_done, orders_not_run, orders_unknown,
	    orders_repeated;
	int64_t store_reads, store_writes, store_conflicts;
	int64_t late_work; /* requests to a draining instance after its grace
			      period */
	int64_t max_connections; /* highest number of requests in flight to one
				    instance */
	int64_t lost_answers;	 /* requests pending at VMs that were killed */
	int64_t errors;		 /* failed checks */
} world_report_t;

world_t *world_create(const world_options_t *options);
void world_destroy(world_t *world);
void world_run(world_t *world,
    int64_t duration_us); /* continues from the current virtual time */
void world_finish(
    world_t *world); /* sends no new requests; runs for 60 virtual seconds */
const world_report_t *world_get_report(const world_t *world);
void world_reset_report(world_t *world); /* for example after a warm-up */
int64_t world_get_now(const world_t *world);
int world_check(
    world_t *world); /* runs the final checks; returns the number of errors */

/* Fault injection. Probabilities are 0 to 1. */
void world_set_rate(world_t *world, rank_t rank, double rate);
void world_set_callers(world_t *world, rank_t rank, int callers,
    double
	first_share); /* fraction of the requests that the first caller sends */
void world_slow_instance(world_t *world, int instance, double factor);
void world_slow_requests(world_t *world, double probability, double factor);
void world_hang_instance(world_t *world, int instance, bool is_hanging);
void world_drain_instance(world_t *world, int instance, bool is_draining);
void world_cold_start_instance(
    world_t *world, int instance); /* slows its next requests */
void world_repartition(world_t *world, int shards);
void world_corrupt_replies(world_t *world, double crossed_probability,
    double garbage_probability, double duplicate_probability,
    double wrong_version_probability);
void world_set_network(
    world_t *world, double loss_probability, double delay_factor);
void world_pause_vm(world_t *world, int vm, int64_t duration_us);
void world_replace_vm(
    world_t *world, int vm); /* kills it and starts a new one at once */
void world_set_store(
    world_t *world, bool is_down, double loss_probability, int64_t delay_us);
void world_inject_random_fault(
    world_t *world); /* starts or ends a random fault */

#endif
