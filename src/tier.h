/**
 * @file tier.h
 * The query tier's decisions: routes, leafs, requests and their attempts.
 *
 * Three floors, each of which calls only downward:
 *   entry  (tier.c)    a caller's request: route, admission, parts, the answer
 *   reach  (leaf_picker.c)   which leaf, when to hedge or retry, the budgets
 *   belief (leaf_stats.c)  what is known of one leaf and of one kind of request
 * None of them has a socket, a clock or a thread: time comes in as now_us, and
 * effects go out through tier_callbacks_t.
 */
#ifndef TIER_H
#define TIER_H

#include <sys/queue.h>

#include "plantainarch.h"

#define RECORD_BYTES 16 /* a gathered record, compared bytewise */
#define TIER_RANKS   4	/* 0 is the most urgent; lower ones share the last */
#define MAX_ATTEMPTS 4	/* leafs that one part may be sent to at most */

/* ---- Directory: what the platform says; immutable, reference counted ---- */

typedef struct route_target {
	char *service;
	int weight;
} route_target_t;

typedef struct route {
	char *name, *host, *prefix;   /* the prefix begins and ends with '/' */
	bool is_idempotent;	      /* the request is idempotent */
	bool is_gather;		      /* all targets, else one by weight */
	int64_t timeout_us;	      /* longest time that a caller may wait */
	int64_t latency_objective_us; /* latency objective */
	int max_attempts;	      /* leafs for each part */
	int rank;
	int target_count;
	route_target_t *targets;
	int max_records;	/* greatest records to return */
	double min_shard_ratio; /* of the shards, for a success */
} route_t;

typedef struct service_entry {
	char *name;
	int max_connections; /* limit of each leaf, for all callers together */
} service_entry_t;

typedef struct caller_limits {
	size_t max_header_bytes, max_body_bytes;
	int64_t read_timeout_us,
	    idle_timeout_us; /* for one request's bytes; between requests */
} caller_limits_t;

/** One version of the configuration. */
typedef struct route_table {
	uint64_t version;
	GPtrArray *routes;   /* route_t */
	GPtrArray *services; /* service_entry_t */
	GHashTable *by_key;  /* "host prefix" -> route_t, borrowed */
	caller_limits_t limits;
} route_table_t;

route_table_t *route_table_create(uint64_t version);
route_table_t *route_table_acquire(route_table_t *table);
void route_table_release(route_table_t *table); /* NULL is allowed */
route_t *route_table_add(route_table_t *table, const char *name,
    const char *host, const char *prefix, int target_count);
void route_table_add_service(
    route_table_t *table, const char *name, int connections);
const route_t *route_table_match(
    const route_table_t *table, const char *host, const char *target);

/** One leaf as it describes itself. */
typedef struct leaf_entry {
	char id[NAME_BYTES], service[NAME_BYTES], zone[NAME_BYTES];
	char address[ENDPOINT_BYTES]; /* IPv4:port */
	int slots;		      /* requests that it runs at once */
	int64_t started_ms; /* start of its lifetime, Unix time; 0: not told */
	int64_t warmup_us;  /* how long it stays slow */
	bool is_draining;
	bool is_entry_missing; /* its entry went away within the grace time */
} leaf_entry_t;

typedef struct directory {
	route_table_t *table; /* NULL: no configuration known */
	GArray *leaves;	      /* leaf_entry_t */
	int vm_count;	      /* VMs of the tier that live; 0: not known */
} directory_t;

directory_t *directory_create(
    route_table_t *table, int vm_count); /* takes a reference of its own */
void directory_destroy(directory_t *directory);

/* ---- Belief: what is known of one leaf and one kind of request ---- */

typedef struct tier_leaf tier_leaf_t;
typedef struct tier_service tier_service_t;
typedef struct tier_part tier_part_t;

typedef enum attempt_outcome {
	OUTCOME_ANSWERED,	  /* a success with its stamp */
	OUTCOME_LEAF_FAILED,	  /* the leaf's own failure status: it ran */
	OUTCOME_NOT_RUN,	  /* the leaf says that it did not run it */
	OUTCOME_MISDIRECTED,	  /* another leaf lives at the address now */
	OUTCOME_UNSENT,		  /* no byte of it left this VM */
	OUTCOME_CONNECTION_LIMIT, /* a new connection was reset: one too many */
	OUTCOME_CONNECTION_LOST,  /* reset, cut short, not HTTP: may have run */
	OUTCOME_TIMED_OUT	  /* no answer in time: may have run */
} attempt_outcome_t;

const char *outcome_get_name(attempt_outcome_t outcome);

/** What requests of one route have shown, over all leafs. */
typedef struct route_stats {
	double mean_work_us; /* mean time at a leaf, without the network */
	double idle_work_us; /* low quantile of it: a leaf without a queue */
	double
	    tail_factor; /* quantile of work in multiples of its expectation */
	int64_t caller_timeout_us; /* longest time that a caller said it would
				      wait */
	int64_t sample_count;
} route_stats_t;

/** What requests at one leaf have shown, over all routes. */
typedef struct leaf_stats {
	double work_factor;    /* its work in multiples of the kind's mean */
	double load_factor;    /* work in multiples of an idle leaf's, aged */
	double failure_rate;   /* share of failed requests, aged */
	bool is_stalled;       /* something sent there is long overdue */
	int64_t down_until_us; /* not used before, after hard failures */
	int64_t backoff_us;
	int64_t warmup_until_us;
	int64_t
	    connection_limit_until_us; /* opens no further connection before */
} leaf_stats_t;

void route_stats_init(route_stats_t *kind);
void leaf_stats_init(leaf_stats_t *leaf);
int64_t leaf_stats_get_expected_us(
    const route_stats_t *kind, const leaf_stats_t *leaf, int64_t rtt_us);
int64_t leaf_stats_get_overdue_us(
    const route_stats_t *kind, const leaf_stats_t *leaf, int64_t rtt_us);
void leaf_stats_record_answer(route_stats_t *kind, leaf_stats_t *leaf,
    int64_t now_us, int64_t rtt_us, int64_t took_us);
void leaf_stats_record_failure(
    leaf_stats_t *leaf, int64_t now_us, attempt_outcome_t outcome);
void leaf_stats_record_stall(leaf_stats_t *leaf);

/* ---- Budget: extra requests to one service in a sliding window ---- */

#define BUDGET_STEPS 20 /* parts of the window */

typedef struct budget {
	int64_t step_us, current_step; /* of the newest part */
	int original[BUDGET_STEPS], extra[BUDGET_STEPS];
	int original_sum, extra_sum;
} budget_t;

void budget_init(budget_t *budget, int64_t window_us);
void budget_record_original(budget_t *budget, int64_t now_us);
bool budget_take(budget_t *budget, int64_t now_us, double ratio,
    double slack); /* false: an extra request would exceed it */
/** One VM's share of the fleet's slack, for a process that is so old. */
double budget_get_slack(
    double slack, int vm_count, int64_t age_us, int64_t window_us);

/* ---- Gather: the greatest records of many parts ---- */

typedef struct gather gather_t;

gather_t *gather_create(int record_count);
void gather_destroy(gather_t *gather);
void gather_add(gather_t *gather, const char *body, size_t length);
void gather_finish(
    gather_t *gather, GString *out); /* greatest first; once only */

/* ---- Tier: the requests of one traffic thread ---- */

typedef struct tier tier_t;
typedef struct tier_request tier_request_t;
typedef struct tier_attempt tier_attempt_t;

typedef struct tier_options {
	char zone[NAME_BYTES], region[NAME_BYTES];
	GHashTable *regions;	 /* zone -> region, owned by the caller */
	double retry_ratio;	 /* extra requests a first one, whole fleet */
	double retry_slack;	 /* extra requests a window, whole fleet */
	int64_t retry_window_us; /* of both */
	int initial_vm_count;	 /* until the directory tells */
	uint64_t seed;
} tier_options_t;

/** A caller's request. The strings need to live until the answer. */
typedef struct tier_request_info {
	const char *id, *host, *target;
	int64_t caller_timeout_us; /* how long the caller waits; 0: not told */
	int64_t arrived_us;
	int64_t rtt_us;		   /* to the caller; 0: not known */
	bool is_on_new_connection; /* the caller has waited for it too */
	bool has_id;
} tier_request_info_t;

typedef enum answer_type {
	ANSWER_LEAF,   /* a leaf's answer as it is */
	ANSWER_GATHER, /* merged records with the stamps of the parts */
	ANSWER_STATUS  /* a status of the tier's own */
} answer_type_t;

typedef struct tier_answer {
	answer_type_t type;
	int status;
	int64_t retry_after_us; /* ANSWER_STATUS: 0 if none */
	const char *reason;	/* ANSWER_STATUS: what happened, for the body */
	void *leaf_message;	/* ANSWER_LEAF: what tier_handle_answer got */
	const GPtrArray *stamps; /* ANSWER_GATHER: char *, of the parts */
	int missing_count;	 /* ANSWER_GATHER: shards that are left out */
	const GString *records;
} tier_answer_t;

/** What a leaf answered. */
typedef struct leaf_answer {
	attempt_outcome_t outcome;
	int status;
	const char *stamp; /* ANSWERED, LEAF_FAILED; NULL if absent */
	const char *body;
	size_t body_length;
	void *message; /* handed back in ANSWER_LEAF */
} leaf_answer_t;

/** Effects of the decisions. None of them may call back into the tier. */
typedef struct tier_callbacks {
	void *context;
	void (*send)(void *context, tier_attempt_t *attempt);
	/** The answer is not wanted any more; the connection is closed. */
	void (*cancel)(void *context, tier_attempt_t *attempt);
	/** Ends the request; the caller's handle is not used after it. */
	void (*answer)(
	    void *context, void *caller, const tier_answer_t *answer);
	/** The leaf's connections are closed. */
	void (*close_leaf)(void *context, tier_leaf_t *leaf);
	/** Called with a JSON fragment: "\"id\":\"r1\",..." */
	log_fn_t log;
} tier_callbacks_t;

struct tier_leaf {
	LIST_ENTRY(tier_leaf) in_service;
	leaf_entry_t entry;
	tier_service_t *service;
	leaf_stats_t stats;
	int64_t *rtt_us;      /* measured round trip to its zone, shared */
	int distance;	      /* 0 same zone, 1 same region, 2 other region */
	int connection_limit; /* connections that this VM may hold */
	int in_flight;
	int connection_count;	/* connections, idle ones included */
	bool is_preferred;	/* of the leafs in other regions */
	bool is_removed;	/* freed when nothing is in flight */
	bool is_address_reused; /* another leaf answers at its address */
	void *connections;	/* of the shell */
};

struct tier_service {
	char name[NAME_BYTES];
	int max_connections;
	LIST_HEAD(, tier_leaf) leaves;
	budget_t budget;
	TAILQ_HEAD(, tier_part) queues[TIER_RANKS];
	int queued_count, queued_by_rank[TIER_RANKS];
	double mean_latency_us; /* mean of its answers, all kinds */
	double idle_latency_us; /* low quantile of them: without a queue */
	int dispatch_count;	/* dispatches, for the share of lower ranks */
};

/** One try of a part at one leaf. */
struct tier_attempt {
	TAILQ_ENTRY(tier_attempt) in_flight;
	tier_part_t *part; /* NULL: abandoned, its answer is dropped */
	tier_leaf_t *leaf;
	route_stats_t *route_stats;
	int64_t sent_us, close_at_us;	 /* closed then if still unanswered */
	int64_t remaining_us;		 /* time that the leaf is given */
	bool is_extra;			 /* a hedge or a retry */
	const tier_request_info_t *info; /* valid inside shell.send only */
	void *caller;			 /* valid inside shell.send only */
	void *connection;		 /* of the shell */
};

tier_t *tier_create(
    const tier_options_t *options, const tier_callbacks_t *shell);
void tier_destroy(tier_t *tier);
void tier_set_directory(
    tier_t *tier, int64_t now_us, const directory_t *directory);
bool tier_is_ready(const tier_t *tier); /* a configuration is known */
const caller_limits_t *tier_get_limits(const tier_t *tier);
/** Answers at once, inside the call, or later; NULL if it has answered. */
tier_request_t *tier_begin(
    tier_t *tier, int64_t now_us, const tier_request_info_t *ask, void *caller);
void tier_handle_disconnect(tier_t *tier, int64_t now_us,
    tier_request_t *request); /* the caller closed */
void tier_handle_answer(tier_t *tier, int64_t now_us, tier_attempt_t *attempt,
    const leaf_answer_t *answer); /* ends the attempt */
void tier_record_rtt(
    tier_leaf_t *leaf, int64_t rtt_us);		 /* of a new connection */
int64_t tier_tick(tier_t *tier, int64_t now_us); /* returns the next time */
void tier_set_stopping(
    tier_t *tier, int64_t until_us); /* all requests end by then */

/* ---- Reach: which leaf ---- */

/** Leafs that must not be chosen. */
typedef struct leaf_exclusions {
	const tier_leaf_t *leaves[MAX_ATTEMPTS];
	int count;
} leaf_exclusions_t;

typedef enum leaf_picker_result {
	LEAF_PICKER_FOUND,
	LEAF_PICKER_BUSY, /* all usable leafs are at their limit */
	LEAF_PICKER_NONE  /* no leaf can be used now */
} leaf_picker_result_t;

leaf_picker_result_t leaf_picker_choose(const tier_service_t *service,
    const route_stats_t *kind, int rank, const leaf_exclusions_t *exclude,
    int64_t now_us, gsl_rng *random, tier_leaf_t **leaf, int64_t *expected_us);

/** How long a part of this rank would wait here for a free connection. */
int64_t leaf_picker_get_wait_us(
    const tier_service_t *service, int rank, int64_t now_us);
/** Until a leaf may be tried again; 0: one may now; -1: there is none. */
int64_t leaf_picker_get_retry_us(const tier_service_t *service, int64_t now_us);

#endif
