/**
 * @file tier_world.h
 * Simulates the tier in virtual time: VMs, leaves with slots, queues, pauses
 * and faults, and open-loop callers. A seed reproduces a run.
 */
#ifndef TIER_WORLD_H
#define TIER_WORLD_H

#include "tier.h"

typedef struct tier_world tier_world_t;

/** Fault of the chosen leaves. */
typedef enum world_fault {
	FAULT_NONE,
	FAULT_UNRESPONSIVE, /* does not answer */
	FAULT_REFUSE,	    /* connections are refused */
	FAULT_SLOW,	    /* eight times the work */
	FAULT_SHED,	/* refuses 45 of 100 requests without running them */
	FAULT_ERROR,	/* fails 40 of 100 requests */
	FAULT_DENY_RUN, /* runs them, fails 40 of 100 with a status that
			   promises that they have not run */
	FAULT_MUTE,	/* runs the request, 40 of 100 answers are lost */
	FAULT_RESET,	/* runs it, and resets 30 of 100 new connections */
	FAULT_LOSE,	/* runs the request, 8 of 100 answers are lost */
	FAULT_ASK_TIME, /* refuses, and wants no request for a second */
	FAULT_LEAVE	/* says in its answers that it leaves */
} world_fault_t;

/** One kind of request in an open loop. */
typedef struct world_flow {
	const char *prefix; /* of the route: "/list/", "/lookup/", "/fetch/" */
	double rate;	    /* a second, over all VMs */
	double burst;	    /* times the rate from 4 s to 7 s; 0: none */
} world_flow_t;

typedef struct tier_world_options {
	uint64_t seed;
	int vms, zones, shards;
	bool has_pauses; /* leaves pause for 200 ms every 4.5 s */
	world_flow_t flows[4];
	int flow_count;
	world_fault_t fault;
	double fault_share; /* share of all leaves */
	int fault_shard;    /* all leaves of this shard instead; -1: none */
	int64_t fault_begin_us, fault_end_us;
	int drain_leaf_count;  /* number of leaves that drain at 4 s */
	bool is_count_unknown; /* the directory has no VM count */
	bool has_returns;      /* refused callers retry once */
	bool is_unrepeatable;  /* "/fetch/" is not idempotent */
	int max_attempts;      /* of the routes; 0: the usual number */
} tier_world_options_t;

/** Results of one flow's callers. */
typedef struct world_result {
	int asked, in_time, late, partial, refused, failed;
	double worth, owed; /* in multiples of one whole answer in time */
} world_result_t;

typedef struct world_totals {
	int violations;	       /* of invariants; each is printed */
	int original, extra;   /* requests that reached leaves */
	int runs, useful_runs; /* useful: of calls answered in time */
	int runs_twice, refused_but_ran, sent_to_drained;
	int sent_to_left;  /* by the caller later than the bound after the word
			    */
	int over_attempts; /* parts that ran at more leaves than allowed */
	int sent_unwanted; /* in the time that a leaf asked for, less slack */
	int max_connections;   /* open at one leaf, from all VMs */
	double max_budget_use; /* of one window; 1: the whole budget */
	double refuse_ms;      /* mean time to refuse */
} world_totals_t;

tier_world_t *tier_world_create(const tier_world_options_t *options);
void tier_world_destroy(tier_world_t *world);
void tier_world_run(tier_world_t *world, int64_t until_us);
const world_result_t *tier_world_get_result(
    const tier_world_t *world, int flow);
const world_totals_t *tier_world_get_totals(const tier_world_t *world);

#endif
