/**
 * @file tier_private.h
 * Shared by the tier's modules: requests, parts and internal calls.
 * tier.c and tier_answers.c call part.c, never the reverse.
 */
#ifndef TIER_PRIVATE_H
#define TIER_PRIVATE_H

#include "tier.h"

#define RETURN_MARGIN_US     8000   /* processing here and the return trip */
#define ABANDONED_TIMEOUT_US 250000 /* for an abandoned attempt to finish */
#define RETRY_AFTER_MIN_US   50000  /* a caller's round trip */

typedef enum part_state {
	PART_QUEUED, /* for a free connection */
	PART_SENT,
	PART_DONE,
	PART_FAILED
} part_state_t;

struct tier_part {
	TAILQ_ENTRY(tier_part) in_queue;
	tier_request_t *request;
	tier_service_t *service;
	part_state_t state;
	bool is_queued;
	int queue_rank;	     /* queue that holds it */
	int sent_count;	     /* attempts that may have reached a leaf */
	int in_flight_count; /* attempts without an outcome */
	int restart_count;
	bool is_hedge_logged; /* the hedge or its obstacle was logged */
	bool is_hedge_fixed;  /* hedged, or a hedge was not possible */
	bool may_have_run;    /* an attempt ended and may have run */
	int64_t sent_us;      /* the latest attempt */
	int64_t hedge_at_us;
	leaf_exclusions_t tried;
	leaf_exclusions_t asked; /* leaves that run it, or may have run it */
};

/** Effect of an attempt's answer on its request. */
typedef enum part_result {
	PART_RESULT_PENDING,
	PART_RESULT_DONE,
	PART_RESULT_FORWARD, /* forward the leaf's failure unchanged */
	PART_RESULT_FAILED
} part_result_t;

/** State of a route across requests. */
typedef struct route_state {
	route_stats_t stats;
	int caller_timeout_votes;
	int credit_count;
	int64_t *credits; /* of the smooth weighted round robin, by target */
} route_state_t;

struct tier_request {
	TAILQ_ENTRY(tier_request) in_tier;
	tier_t *tier;
	const route_t *route;
	route_table_t *table; /* keeps the route alive */
	route_state_t *state;
	tier_request_info_t info;
	/** The id without the characters that JSON escapes. */
	char log_id[NAME_BYTES];
	void *caller;
	int rank;
	int part_count, done_count, failed_count;
	tier_part_t *parts;
	bool may_have_run, is_ended;
	int extra_count;
	int64_t next_check_us;
	int64_t answer_by_us;  /* in time: a partial answer is sent then */
	int64_t late_limit_us; /* late: a partial answer is sent then */
	int64_t deadline_us;   /* the request ends then in any case */
	int64_t time_limit_us; /* from its arrival, without a planned stop */
	gather_t *gather;
	GPtrArray *stamps;
};

struct tier {
	tier_options_t options;
	tier_callbacks_t callbacks;
	gsl_rng *random;
	route_table_t *table;
	caller_limits_t limits;
	int vm_count;
	GHashTable *services;	 /* name -> tier_service_t */
	GHashTable *leaves;	 /* id -> tier_leaf_t */
	GHashTable *routes;	 /* name -> route_state_t */
	GHashTable *rtts;	 /* zone -> int64_t */
	leaf_notices_t *notices; /* of leaves that are not listed */
	TAILQ_HEAD(, tier_request) requests, ended;
	TAILQ_HEAD(, tier_attempt) attempts;
	TAILQ_HEAD(, tier_leaf) warming; /* leaves to connect to early */
	int64_t next_warming_us;
	int least_connections; /* lowest limit of a configured service */
	int request_count, queued_part_count;
	int64_t next_sweep_us, stop_deadline_us;
	int64_t next_check_us; /* earliest next_check_us of a request */
	int64_t started_us;
	int64_t normal_success_count; /* each hundredth is logged */
	int leaf_change_count;	      /* by the directory being applied */
	/** Leaves may still count connections of the previous process. */
	bool is_starting_up;
};

/* part.c */
void part_queue(tier_part_t *part, int rank);
void part_unqueue(tier_part_t *part);
void part_start(tier_part_t *part, int64_t now_us, bool is_extra);
/** Sets when to hedge, from what is known now of the leaves. */
void part_update_hedge_time(tier_part_t *part);
bool part_is_loaded(const tier_part_t *part); /* its service has queues */
void part_hedge(tier_part_t *part, int64_t now_us);
void part_fail(tier_part_t *part);
tier_part_t *part_get_most_urgent(
    const tier_service_t *service); /* NULL: the queues are empty */
tier_part_t *part_get_next_queued(const tier_service_t *service);
void part_drop_attempt(tier_t *tier, tier_attempt_t *attempt);
tier_attempt_t *part_find_attempt(
    tier_t *tier, const tier_part_t *part); /* one in flight, or NULL */
part_result_t part_handle_answer(tier_t *tier, int64_t now_us,
    tier_attempt_t *attempt, const leaf_answer_t *answer);

/* tier_leaves.c */
tier_service_t *tier_find_service(tier_t *tier, const char *name);
void tier_update_connection_limits(tier_t *tier);
void tier_update_leave_time(const tier_t *tier, tier_leaf_t *leaf);

/* warming.c */
void warming_update_service(tier_t *tier, tier_service_t *service);
void warming_remove_leaf(tier_t *tier, tier_leaf_t *leaf);
/** Opens the connections that are due; returns when to call again. */
int64_t warming_tick(tier_t *tier, int64_t now_us);

/* tier_answers.c */
void tier_finish_if_settled(tier_request_t *request, int64_t now_us);
void tier_end_request(tier_request_t *request);
void tier_free_ended(tier_t *tier);
void tier_finish_forward(
    tier_request_t *request, int64_t now_us, const leaf_answer_t *leaf_answer);
void tier_finish_gather(tier_request_t *request, int64_t now_us);
void tier_finish_unserved(
    tier_request_t *request, int64_t now_us, bool is_late);
void tier_answer_status(tier_t *tier, void *caller, int status,
    int64_t retry_after_us, const char *reason);
bool tier_has_enough_parts(const tier_request_t *request);
int tier_get_needed_parts(const tier_request_t *request);
/** Time until the needed parts can be expected to run, and a random delay. */
int64_t tier_get_retry_after_us(tier_request_t *request, int64_t now_us);
void tier_log_end(tier_request_t *request, int64_t now_us, const char *outcome);

#endif
