/**
 * @file core_private.h
 * Types and functions shared by the modules of the core: the coordinator
 * (query, attempt, order), the relay (relay, queue, limit) and the policies.
 * Private to the core.
 */
#ifndef CORE_PRIVATE_H
#define CORE_PRIVATE_H

#include <sys/queue.h>

#include "plantainarch.h"

#define ATTEMPTS_PER_SLOT_MAX 6

/* Capacity of the hedge and retry token buckets, one of each per rank. */
#define TOKEN_BUCKET_SIZE 20.0

/* Part of the deadline reserved for returning the answer to the caller. */
#define RETURN_TO_CALLER_US 3000
/* Part of the deadline reserved for the result's return trip from the relay to
 * the coordinator. */
#define RETURN_FROM_RELAY_US 2000

typedef struct timer core_timer_t;
typedef void (*timer_fn_t)(core_t *core, void *context);

/** Timer embedded in its owner; not scheduled while position is NULL. */
struct timer {
	GSequenceIter *position;
	int64_t due_us;
	timer_fn_t callback;
	void *context;
};

/* ---- Coordinator ----------------------------------------------------------
 */

/** State of a leaf, from this thread's own attempts and the relays' reports. */
typedef struct leaf_state {
	uint64_t key;
	uint64_t index;		     /* key of the index: hash of its name */
	int64_t wait_us[RANK_COUNT]; /* reported by the relay */
	int64_t wait_reported_us;    /* time of that report */
	double service_us;	     /* EWMA; 0: no sample yet */
	int outstanding;       /* this thread's attempts without a result */
	int sent_since_report; /* attempts sent since that report */
	int consecutive_failures;
	bool is_ejected;
	int probe_successes;
	int64_t probe_interval_us;
	int64_t next_probe_us;
} leaf_state_t;

/** Service times and ejected leaves of an index as a whole. */
typedef struct index_state {
	uint64_t key;
	histogram_t *service_times_us;
	int64_t median_service_us; /* recomputed every few samples */
	int sample_count;
	int ejected_count;
} index_state_t;

/** Liveness of another traffic thread, as seen by this one. */
typedef struct peer_state {
	uint64_t key;
	int64_t last_received_us;
	int64_t last_ping_us;
	bool is_unresponsive;
} peer_state_t;

typedef struct query query_t;
typedef struct slot slot_t;

typedef enum attempt_kind {
	ATTEMPT_ORIGINAL,
	ATTEMPT_HEDGE,
	ATTEMPT_RETRY,
	ATTEMPT_PROBE
} attempt_kind_t;

/** One request to one replica of one shard. */
typedef struct attempt {
	uint64_t id;
	query_t *query;
	int shard;
	fleet_t *fleet; /* snapshot that owns the leaf; holds a reference */
	leaf_t *leaf;
	leaf_state_t *state;
	uint64_t relay; /* peer key of the relay; 0: this thread */

	int64_t sent_us;
	int64_t expected_us;
	attempt_kind_t kind;
	core_timer_t reap_timer; /* of a probe that outlives its query */
} attempt_t;

typedef enum slot_state {
	SLOT_WAITING,
	SLOT_ANSWERED,
	SLOT_FAILED
} slot_state_t;

/** One shard of a query. */
struct slot {
	slot_state_t state;
	int attempt_count;
	attempt_t *attempts[ATTEMPTS_PER_SLOT_MAX];
	uint32_t tried_replicas;    /* bit mask of replica numbers */
	const char *missing_reason; /* static; reported if there is no reply */
};

typedef struct hit {
	char *id, *text;
	double score;
} hit_t;

struct query {
	TAILQ_ENTRY(query) link;
	uint64_t caller;
	char request[NAME_BYTES];
	char caller_name[NAME_BYTES];
	fleet_t *fleet; /* snapshot pinned for the query; holds a reference */
	const index_info_t *index;
	index_state_t *index_state;
	const settings_values_t *values;
	rank_t rank;
	uint32_t limit;
	char *text;
	int64_t started_us, deadline_us;
	int restart_count;
	bool is_version_removed;
	slot_t *slots;
	int slot_count, waiting_count, answered_count;
	GArray *hits; /* hit_t */
	core_timer_t deadline_timer, hedge_timer, relay_timer;
};

/* ---- Orders ---------------------------------------------------------------
 */

typedef enum order_state {
	ORDER_CLAIMING,
	ORDER_SENT,
	ORDER_RECORDING,
	ORDER_ANSWERED
} order_state_t;

typedef struct order {
	TAILQ_ENTRY(order) link;
	uint64_t id, caller;
	order_state_t state;
	char key[KEY_BYTES], index[NAME_BYTES];
	char *text;
	size_t text_length;
	rank_t rank;
	int64_t started_us, deadline_us, issued_us, retention_us;
	uint64_t attempt;
	bool is_sent, is_answered;
	bool is_repeat; /* an earlier try with the same key may have run */
	int try_number;
	char *answer; /* upstream's answer, to be recorded */
	core_timer_t timer;
} order_t;

/* ---- Relay --------------------------------------------------------------
 */

typedef struct leaf_queue leaf_queue_t;

/** One leaf request at its relay: queued, or sent to the leaf. */
typedef struct job {
	TAILQ_ENTRY(job) link;
	uint64_t id;		  /* unique in this thread */
	uint64_t origin, attempt; /* the coordinator's */
	uint64_t attempt_key;	  /* hash of origin and attempt */
	char reply_to[ENDPOINT_BYTES];
	bool is_local;
	leaf_queue_t *queue;
	uint32_t shard, version, limit;
	rank_t rank;
	bool is_order, is_sent, is_cancelled;
	char index[NAME_BYTES], request[NAME_BYTES];
	char *text;
	size_t text_length;
	int64_t arrived_us, sent_us, deadline_us;
} job_t;

TAILQ_HEAD(job_list, job);

typedef struct instance_state {
	uint64_t key;
	char address[ENDPOINT_BYTES];
	int in_flight;
	int connections; /* this thread's share of the connection limit */
	bool is_leaving;
	TAILQ_HEAD(, leaf_queue) queues;
} instance_state_t;

/** Requests queued for one leaf and in flight to it. */
struct leaf_queue {
	TAILQ_ENTRY(leaf_queue) link;
	uint64_t leaf_key;
	int leaf_number, slots;
	instance_state_t *instance;
	struct job_list jobs[RANK_COUNT];
	int queued[RANK_COUNT];
	int running[RANK_COUNT];
	double recent_sent[RANK_COUNT]; /* decaying count of sends */
	int64_t recent_sent_aged_us;
	int in_flight;
	double limit; /* current concurrency limit */
	int64_t limit_cut_us;
	double service_us; /* EWMA */
	settings_values_t values[RANK_COUNT];
	const struct queue_callbacks *queue_policy;
	const struct limit_callbacks *limit_policy;
};

/* ---- Policies
 * ----------------------------------------------------------------- */

/** Admits or refuses a whole query before its first leaf request. */
typedef struct admission_callbacks {
	bool (*admit)(void *context, core_t *core, const query_t *query,
	    int64_t wait_us, int64_t expected_us, int64_t *retry_after_us,
	    const char **reason);
} admission_callbacks_t;

/** Returns the next queued job to send, without dequeuing it; NULL: none may
 * start now. */
typedef struct queue_callbacks {
	job_t *(*choose_job)(void *context, core_t *core, leaf_queue_t *queue);
} queue_callbacks_t;

/** Returns the number of a replica outside the excluded bit mask; -1: none. */
typedef struct routing_callbacks {
	int (*choose_replica)(void *context, core_t *core, const query_t *query,
	    const replica_set_t *replicas, uint32_t excluded);
} routing_callbacks_t;

/** Decides whether and when to send a second attempt for a shard. */
typedef struct hedging_callbacks {
	int64_t (*get_delay)(void *context, core_t *core, const query_t *query);
	bool (*is_useful)(void *context, core_t *core, const query_t *query,
	    const attempt_t *original, const leaf_t *candidate);
} hedging_callbacks_t;

/** Sets and adapts the concurrency limit of a leaf. */
typedef struct limit_callbacks {
	void (*reset)(void *context, leaf_queue_t *queue);
	void (*update)(void *context, core_t *core, leaf_queue_t *queue,
	    run_status_t status, int64_t service_us);
} limit_callbacks_t;

/** Leaf requests of one query to one relay. */
typedef struct batch {
	const peer_t *relay; /* NULL: this thread */
	GArray *items;	     /* wire_item_t */
} batch_t;

/** Result of this thread's own relay for its coordinator. */
typedef struct pending_result {
	wire_result_t result;
	char *body;
} pending_result_t;

/* ---- The core
 * ------------------------------------------------------------------- */

struct core {
	core_options_t options;
	uint64_t self_key; /* this thread's peer key */
	gsl_rng *random;
	fleet_t *fleet;
	int64_t now_us;
	int64_t paused_us; /* end of the last pause of this process; 0: none */
	GQueue actions;
	GQueue results;	   /* pending_result_t: from this thread's own relay */
	GSequence *timers; /* core_timer_t, by due time */
	uint64_t next_id;

	/* coordinator */
	TAILQ_HEAD(, query) queries;
	TAILQ_HEAD(, order) orders;
	GHashTable *attempts;	       /* id -> attempt_t */
	GHashTable *leaf_states;       /* key -> leaf_state_t */
	GHashTable *index_states;      /* key -> index_state_t */
	GHashTable *peer_states;       /* key -> peer_state_t */
	GHashTable *orders_by_id;      /* id -> order_t */
	GHashTable *orders_by_attempt; /* attempt id -> order_t */
	GHashTable *caller_shares;     /* caller name -> caller_share_t */
	int64_t caller_shares_aged_us;
	double hedge_tokens[RANK_COUNT], retry_tokens[RANK_COUNT];
	int query_count, order_count;
	rank_status_t rank_status[RANK_COUNT];
	histogram_t *rank_latency_us[RANK_COUNT];

	/* relay */
	GHashTable *queues;	     /* leaf key -> leaf_queue_t */
	GHashTable *instances;	     /* instance key -> instance_state_t */
	GHashTable *jobs;	     /* id -> job_t */
	GHashTable *jobs_by_attempt; /* hash of origin and attempt -> job_t */
	GHashTable *sent_orders;     /* set of orders sent by this thread:
					"key/attempt/origin" */
};

typedef struct caller_share {
	double recent_work; /* decaying count of leaf requests */
} caller_share_t;

/* core_actions.c */
action_t *core_add_action(core_t *core, action_type_t type);
void core_set_timer(core_t *core, core_timer_t *timer, int64_t due_us,
    timer_fn_t callback, void *context);
void core_unset_timer(core_t *core, core_timer_t *timer);
void core_log(core_t *core, log_event_t event, const char *format, ...)
    G_GNUC_PRINTF(3, 4);
void core_report_violation(core_t *core, log_event_t event, const char *format,
    ...) G_GNUC_PRINTF(3, 4);
uint64_t core_allocate_id(core_t *core);
double core_draw_random(core_t *core); /* [0, 1) */
void core_answer_error(core_t *core, uint64_t caller, int http_status,
    int retry_after_s, const char *outcome, const char *reason,
    const char *detail);
void core_send_to_peer(core_t *core, const char *endpoint,
    GByteArray *bytes); /* takes ownership of the bytes */
peer_state_t *core_get_peer_state(core_t *core, uint64_t key);
/** Sends the result to the job's coordinator; a local one gets it after the
 * current event. */
void core_deliver_result(
    core_t *core, const job_t *job, const wire_result_t *result);

/* estimate.c */
leaf_state_t *estimate_get_leaf_state(
    core_t *core, const leaf_t *leaf, const index_state_t *index);
index_state_t *estimate_get_index_state(core_t *core, const char *name);
int64_t estimate_get_wait(const core_t *core, const leaf_state_t *state,
    const index_state_t *index, rank_t rank, int slots);
int64_t estimate_get_service(
    const leaf_state_t *state, const index_state_t *index);
void estimate_record_wait(core_t *core, const wire_wait_t *wait);
void estimate_record_result(
    core_t *core, attempt_t *attempt, const wire_result_t *result);
bool estimate_is_probe_due(core_t *core, leaf_state_t *state);
void estimate_destroy_index_state(void *index);
void estimate_record_answer(
    core_t *core, rank_t rank, int64_t took_us, double coverage);

/* query.c */
void query_handle_search(core_t *core, const event_t *event);
void query_handle_result(core_t *core, const wire_result_t *result);
void query_handle_disconnect(core_t *core, uint64_t caller);
void query_handle_fleet(core_t *core);
void query_destroy_all(core_t *core);

/* attempt.c */
attempt_t *attempt_add(core_t *core, query_t *query, int shard, int replica,
    attempt_kind_t kind,
    GArray
	*batches); /* adds it to its relay's batch; NULL: too many attempts */
void attempt_remove(core_t *core,
    attempt_t *attempt); /* removes it from its query and frees it */
void attempt_cancel_all(core_t *core, query_t *query, int shard,
    const attempt_t
	*kept); /* cancels all attempts of the shard but this one; NULL: all */
/** Sends and frees the batches; true if any of them went to another thread. */
bool attempt_send(core_t *core, const query_t *query, GArray *batches);
void attempt_free(void *attempt); /* GDestroyNotify of core_t.attempts */
void attempt_ping_relay(core_t *core, peer_state_t *state, const peer_t *peer);

/* reply.c */
bool reply_parse(const query_t *query, const attempt_t *attempt,
    const char *body, size_t length, GArray *hits, log_event_t *violation,
    error_info_t *error);
void reply_free_hits(GArray *hits);
char *reply_format_answer(
    const query_t *query, int64_t took_us, size_t *length);

/* order.c */
void order_handle_order(core_t *core, const event_t *event);
void order_handle_claim(core_t *core, const event_t *event);
void order_handle_recorded(core_t *core, const event_t *event);
bool order_handle_result(core_t *core, const wire_result_t *result);
void order_destroy_all(core_t *core);

/* relay.c */
void relay_handle_run(core_t *core, const wire_run_t *run, bool is_local);
void relay_handle_cancel(
    core_t *core, uint64_t origin, const uint64_t *attempts, int count);
void relay_handle_leaf_reply(core_t *core, const event_t *event);
void relay_handle_fleet(core_t *core);
void relay_destroy_all(core_t *core);
int64_t relay_estimate_wait(
    const core_t *core, const leaf_queue_t *queue, rank_t rank);

#endif
