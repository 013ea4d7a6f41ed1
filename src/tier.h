/**
 * @file tier.h
 * The query tier's decision logic: routes, leaves, requests and their attempts.
 *
 * Three layers; each calls only the layers below it:
 *   requests (tier.c, tier_answers.c, part.c)
 *     route, admission, parts, hedges, retries and the answer
 *   choice (leaf_picker.c, budget.c)
 *     the leaf of an attempt, and the retry budget
 *   statistics (leaf_stats.c)
 *     latency and failures of a leaf and of a route
 * No layer has a socket, a clock or a thread: callers pass the time as now_us,
 * and actions go out through tier_callbacks_t.
 */
#ifndef TIER_H
#define TIER_H

#include <sys/queue.h>

#include "leaf_notice.h"
#include "plantainarch.h"

#define RECORD_BYTES 16 /* size of a gathered record; compared bytewise */
#define TIER_RANKS   4	/* 0 is the most urgent; ranks above 3 count as 3 */
#define MAX_ATTEMPTS 4	/* of one part, each at another leaf */

/* ---- Directory: routes and leaves from the platform ---- */

typedef struct route_target {
	char *service;
	int weight;
} route_target_t;

typedef struct route {
	char *name, *host, *prefix; /* the prefix begins and ends with '/' */
	bool is_idempotent;
	bool is_gather;	    /* sent to all targets, else to one by weight */
	int64_t timeout_us; /* maximum, also if the caller would wait longer */
	int64_t latency_objective_us; /* an answer by then has its full value */
	int max_attempts;	      /* for each part */
	int rank;
	int target_count;
	route_target_t *targets;
	int max_records;     /* greatest records to return */
	double min_coverage; /* share of shards that a success needs */
} route_t;

typedef struct service_entry {
	char *name;
	int max_connections; /* per leaf, over all VMs */
} service_entry_t;

typedef struct caller_limits {
	size_t max_header_bytes, max_body_bytes;
	int64_t read_timeout_us; /* to read one request */
	int64_t idle_timeout_us; /* between requests */
} caller_limits_t;

/** One version of the configuration: immutable, reference counted. */
typedef struct route_table {
	uint64_t version;
	int64_t epoch;	     /* of the store when it was read; 0: unknown */
	GPtrArray *routes;   /* route_t */
	GPtrArray *services; /* service_entry_t */
	GHashTable *by_key;  /* "host prefix" -> route_t, owned by routes */
	caller_limits_t limits;
} route_table_t;

route_table_t *route_table_create(uint64_t version);
route_table_t *route_table_acquire(route_table_t *table);
void route_table_release(route_table_t *table); /* NULL is allowed */
route_t *route_table_add(route_table_t *table, const char *name,
    const char *host, const char *prefix, int target_count);
void route_table_add_service(
    route_table_t *table, const char *name, int connections);
/** Higher version; or the same one, from a later epoch of the store. */
bool route_table_is_newer(
    const route_table_t *table, const route_table_t *than);
const route_t *route_table_match(
    const route_table_t *table, const char *host, const char *target);

/** One leaf's own entry in the platform. */
typedef struct leaf_entry {
	char id[NAME_BYTES], service[NAME_BYTES], zone[NAME_BYTES];
	char address[ENDPOINT_BYTES]; /* IPv4:port */
	int slots;		      /* concurrent requests */
	int64_t started_ms; /* start of its process, Unix time; 0: unknown */
	int64_t revision;   /* of the entry's last change; 0: unknown */
	int64_t warmup_us;  /* remaining time of slow start */
	bool is_draining;
	bool is_entry_missing; /* removed, within grace time */
} leaf_entry_t;

/** The configuration and the leaves at one time; immutable once published. */
typedef struct directory {
	route_table_t *table; /* NULL: no configuration yet */
	GArray *leaves;	      /* leaf_entry_t */
	int vm_count;	      /* live VMs of the tier; 0: unknown */
} directory_t;

directory_t *directory_create(
    route_table_t *table, int vm_count); /* takes its own reference to table */
void directory_destroy(directory_t *directory);

/* ---- Statistics of one leaf and of one route ---- */

typedef struct tier_leaf tier_leaf_t;
typedef struct tier_service tier_service_t;
typedef struct tier_part tier_part_t;

typedef enum attempt_outcome {
	OUTCOME_ANSWERED, /* success; the stamp proves that the leaf ran it */
	OUTCOME_LEAF_FAILED, /* the leaf ran it and returned a failure status */
	OUTCOME_NOT_RUN,     /* the leaf reported that it did not run it */
	OUTCOME_MISDIRECTED, /* another leaf now uses the address */
	OUTCOME_UNSENT,	     /* no byte was sent */
	/** A new connection was reset: the leaf is at its limit. */
	OUTCOME_CONNECTION_LIMIT,
	/** Reset, cut short or not HTTP: may have run. */
	OUTCOME_CONNECTION_LOST,
	OUTCOME_TIMED_OUT /* no answer in time: may have run */
} attempt_outcome_t;

/** The outcome's name in logs. */
const char *outcome_get_name(attempt_outcome_t outcome);

/** Statistics of one route over all leaves. */
typedef struct route_stats {
	double mean_work_us; /* mean time at a leaf, without the network */
	double idle_work_us; /* low quantile of it: an idle leaf's time */
	double tail_factor;  /* high quantile, in multiples of the mean */
	int64_t caller_timeout_us; /* usual timeout that callers send */
	int64_t sample_count;
} route_stats_t;

/** Statistics of one leaf over all routes. */
typedef struct leaf_stats {
	double work_factor;    /* in multiples of the route's mean (EWMA) */
	double load_factor;    /* work in multiples of an idle leaf's (EWMA) */
	double failure_rate;   /* share of failed requests (EWMA) */
	bool is_stalled;       /* an attempt at it is overdue */
	int64_t down_until_us; /* not chosen before this time, after failures */
	int64_t backoff_us;
	int64_t warmup_until_us;
	int64_t connection_limit_until_us; /* opens no connection before */
} leaf_stats_t;

void route_stats_init(route_stats_t *route);
void leaf_stats_init(leaf_stats_t *leaf);
int64_t leaf_stats_get_expected_us(
    const route_stats_t *route, const leaf_stats_t *leaf, int64_t rtt_us);
int64_t leaf_stats_get_overdue_us(
    const route_stats_t *route, const leaf_stats_t *leaf, int64_t rtt_us);
void leaf_stats_record_answer(route_stats_t *route, leaf_stats_t *leaf,
    int64_t now_us, int64_t rtt_us, int64_t took_us);
void leaf_stats_record_failure(
    leaf_stats_t *leaf, int64_t now_us, attempt_outcome_t outcome);
void leaf_stats_record_stall(leaf_stats_t *leaf);

/* ---- Retry budget of one service in a sliding window ---- */

#define BUDGET_STEPS 20 /* buckets of the window */

typedef struct budget {
	int64_t step_us, current_step; /* newest bucket */
	int original[BUDGET_STEPS], extra[BUDGET_STEPS];
	int original_sum, extra_sum;
} budget_t;

void budget_init(budget_t *budget, int64_t window_us);
void budget_record_original(budget_t *budget, int64_t now_us);
bool budget_take(budget_t *budget, int64_t now_us, double ratio,
    double slack); /* false: the budget is exhausted */
/** One VM's share of the fleet's slack; age_us is the age of its process. */
double budget_get_slack(
    double slack, int vm_count, int64_t age_us, int64_t window_us);

/* ---- Gather: merges the greatest records of many parts ---- */

typedef struct gather gather_t;

gather_t *gather_create(int record_count);
void gather_destroy(gather_t *gather);
void gather_add(gather_t *gather, const char *body, size_t length);
void gather_finish(
    gather_t *gather, GString *out); /* greatest first; call once */

/* ---- Tier: the requests of one traffic thread ---- */

typedef struct tier tier_t;
typedef struct tier_request tier_request_t;
typedef struct tier_attempt tier_attempt_t;

typedef struct tier_options {
	char zone[NAME_BYTES], region[NAME_BYTES];
	GHashTable *regions;	 /* zone -> region, owned by the caller */
	double retry_ratio;	 /* hedges and retries per original request */
	double retry_slack;	 /* added per window, over the whole fleet */
	int64_t retry_window_us; /* window of both */
	int64_t drain_us;     /* a leaf that leaves gets nothing after this */
	int initial_vm_count; /* used until the directory has a count */
	uint64_t seed;
} tier_options_t;

/** A caller's request. The strings must stay valid until the answer. */
typedef struct tier_request_info {
	const char *id, *host, *target;
	int64_t caller_timeout_us; /* 0: not sent */
	int64_t arrived_us;
	int64_t rtt_us;		   /* round trip to the caller; 0: unknown */
	bool is_on_new_connection; /* the caller also waited for connecting */
	bool has_id;
} tier_request_info_t;

typedef enum answer_type {
	ANSWER_LEAF,   /* a leaf's answer, unchanged */
	ANSWER_GATHER, /* merged records with the stamps of the parts */
	ANSWER_STATUS  /* a status generated by the tier */
} answer_type_t;

typedef struct tier_answer {
	answer_type_t type;
	int status;
	int64_t retry_after_us;	 /* ANSWER_STATUS: 0 if none */
	const char *reason;	 /* ANSWER_STATUS: reason for the body */
	void *leaf_message;	 /* ANSWER_LEAF: leaf_answer_t.message */
	const GPtrArray *stamps; /* ANSWER_GATHER: char *, one per part */
	int missing_count;	 /* ANSWER_GATHER: shards without a result */
	const GString *records;
} tier_answer_t;

/** Outcome of an attempt, as the connection pool reports it. */
typedef struct leaf_answer {
	attempt_outcome_t outcome;
	const char *why; /* of CONNECTION_LOST, for the log; or NULL */
	int status;
	bool promises_not_run; /* to a caller, its status says: not run */
	const char *stamp;     /* ANSWERED, LEAF_FAILED; NULL if absent */
	const char *body;
	size_t body_length;
	void *message; /* returned in ANSWER_LEAF */
	/** What the leaf says of itself. */
	bool is_leaving;
	int64_t retry_after_us; /* it wants no request so long; 0: it may */
	const char *bad_header; /* a header that was ignored, or NULL */
} leaf_answer_t;

/** Callbacks into the I/O layer. They must not call back into the tier. */
typedef struct tier_callbacks {
	void *context;
	void (*send)(void *context, tier_attempt_t *attempt);
	/** Closes the attempt's connection; no answer may follow. */
	void (*cancel)(void *context, tier_attempt_t *attempt);
	/** Answers the caller; the tier does not use the handle afterwards. */
	void (*answer)(
	    void *context, void *caller, const tier_answer_t *answer);
	/** Opens a connection to the leaf for later requests. */
	void (*warm_leaf)(void *context, tier_leaf_t *leaf);
	/** Closes all connections to the leaf. */
	void (*close_leaf)(void *context, tier_leaf_t *leaf);
	/** Logs a JSON fragment: "\"id\":\"r1\",..." */
	log_fn_t log;
} tier_callbacks_t;

struct tier_leaf {
	LIST_ENTRY(tier_leaf) in_service;
	TAILQ_ENTRY(tier_leaf) in_warming;
	bool is_warming_queued, is_warmed; /* once in its life */
	leaf_entry_t entry;
	tier_service_t *service;
	leaf_stats_t stats;
	leaf_notice_t notice;
	int64_t leave_by_us;  /* leaving: nothing is sent after; 0: it stays */
	int64_t *rtt_us;      /* round trip to its zone, shared by leaves */
	int distance;	      /* 0 same zone, 1 same region, 2 other region */
	int connection_limit; /* of this VM */
	int in_flight;
	int connection_count; /* idle connections included */
	/* the one leaf of its service in other regions that this VM prefers */
	bool is_preferred;
	bool is_removed;	/* freed when no attempt is in flight */
	bool is_address_reused; /* another leaf uses its address */
	void *connections;	/* owned by the I/O layer */
};

struct tier_service {
	char name[NAME_BYTES];
	int max_connections;
	LIST_HEAD(, tier_leaf) leaves;
	budget_t budget;
	TAILQ_HEAD(, tier_part) queues[TIER_RANKS];
	int queued_count, queued_by_rank[TIER_RANKS];
	double mean_latency_us; /* mean over all routes */
	double idle_latency_us; /* low quantile: without queueing */
	int dispatch_count;	/* used to give lower ranks a share */
};

/** One attempt of a part at one leaf. */
struct tier_attempt {
	TAILQ_ENTRY(tier_attempt) in_flight;
	tier_part_t *part; /* NULL: abandoned, the answer is discarded */
	tier_leaf_t *leaf;
	route_stats_t *route_stats;
	int64_t sent_us, close_at_us;	 /* closed then if unanswered */
	int64_t remaining_us;		 /* deadline sent to the leaf */
	bool is_extra;			 /* hedge or retry */
	bool may_repeat;		 /* the request is idempotent */
	const tier_request_info_t *info; /* valid inside callbacks.send only */
	void *caller;			 /* valid inside callbacks.send only */
	void *connection;		 /* owned by the I/O layer */
};

tier_t *tier_create(
    const tier_options_t *options, const tier_callbacks_t *callbacks);
void tier_destroy(tier_t *tier);
void tier_set_directory(
    tier_t *tier, int64_t now_us, const directory_t *directory);
bool tier_is_ready(const tier_t *tier); /* has a configuration */
const caller_limits_t *tier_get_limits(const tier_t *tier);
/** Starts a request. Returns NULL if it was answered inside the call. */
tier_request_t *tier_begin(tier_t *tier, int64_t now_us,
    const tier_request_info_t *info, void *caller);
void tier_handle_disconnect(tier_t *tier, int64_t now_us,
    tier_request_t *request); /* the caller disconnected */
void tier_handle_answer(tier_t *tier, int64_t now_us, tier_attempt_t *attempt,
    const leaf_answer_t *answer); /* ends the attempt */
/** An answer that names no request came in the place of the attempt's. */
void tier_handle_doubt(tier_t *tier, int64_t now_us, tier_attempt_t *attempt);
void tier_record_rtt(
    tier_leaf_t *leaf, int64_t rtt_us); /* of a new connection */
int64_t tier_tick(
    tier_t *tier, int64_t now_us); /* returns when to call again */
void tier_set_stopping(
    tier_t *tier, int64_t until_us); /* ends all requests by then */

/* ---- Leaf picker ---- */

/** Leaves that must not be chosen. */
typedef struct leaf_exclusions {
	const tier_leaf_t *leaves[MAX_ATTEMPTS];
	int count;
} leaf_exclusions_t;

typedef enum leaf_picker_result {
	LEAF_PICKER_FOUND,
	LEAF_PICKER_BUSY, /* all usable leaves are at their connection limit */
	LEAF_PICKER_NONE  /* no leaf is usable */
} leaf_picker_result_t;

leaf_picker_result_t leaf_picker_choose(const tier_service_t *service,
    const route_stats_t *route, int rank, const leaf_exclusions_t *exclusions,
    int64_t now_us, gsl_rng *random, tier_leaf_t **leaf, int64_t *expected_us);

/** Expected wait of a part of this rank for a free connection; -1: no leaf is
 * usable. */
int64_t leaf_picker_get_wait_us(
    const tier_service_t *service, int rank, int64_t now_us);
/** Time until a leaf may be tried; 0: now; -1: no leaf is known. */
int64_t leaf_picker_get_retry_us(const tier_service_t *service, int64_t now_us);
/** Whether the leaf drains or said that it leaves. */
bool leaf_picker_is_departing(const tier_leaf_t *leaf);

#endif
