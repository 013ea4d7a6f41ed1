/**
 * @file plantainarch.h
 * Public types and functions of plantainarch, grouped by module.
 *
 * Times are microseconds on the monotonic clock unless the name states another
 * unit or clock. Functions that can fail return false or NULL and set an
 * error_info_t.
 */
#ifndef PLANTAINARCH_H
#define PLANTAINARCH_H

#include <glib.h>
#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>

#include "config.h"

/* ---- Errors: code, failed step, peer and description -------------------- */

typedef enum error_code {
	ERROR_NONE,
	ERROR_INVALID,	   /* bad input; the text gives the remedy */
	ERROR_NOT_FOUND,   /* the named object does not exist */
	ERROR_CONFLICT,	   /* a conditional update found another version */
	ERROR_UNAVAILABLE, /* a peer is unreachable or refuses */
	ERROR_TIMEOUT,	   /* no answer in time */
	ERROR_INTERNAL
} error_code_t;

typedef struct error_info {
	error_code_t code;
	char step[NAME_BYTES];	   /* operation that failed */
	char peer[ENDPOINT_BYTES]; /* remote side, path or "" */
	char text[ERROR_BYTES];	   /* cause and remedy */
} error_info_t;

bool error_set(error_info_t *error, error_code_t code, const char *step,
    const char *peer, const char *format, ...)
    G_GNUC_PRINTF(5, 6); /* sets the error; returns false */
const char *error_get_name(error_code_t code); /* "invalid", "conflict", ... */

/* ---- Clock -------------------------------------------------------------- */

int64_t clock_get_us(void);	 /* monotonic */
int64_t clock_get_boot_us(void); /* monotonic, counts suspensions too */
int64_t clock_get_wall_us(void); /* since the Unix epoch */

/* ---- Log: numbered events, text or JSON ---------------------------------- */

typedef enum log_event {
#define LOG_EVENT(number, name, level, text) name = number,
#include "events.h"
#undef LOG_EVENT
} log_event_t;

typedef void (*log_fn_t)(void *context, log_event_t event, const char *text);

/** Levels: debug, info, message, warning; other text means message. */
void log_begin(const char *level, bool json);
bool log_is_enabled(log_event_t event); /* whether its level is written */
/**
 * Copies text from outside the process for a log field; replaces quotes,
 * backslashes and all but printable ASCII characters by '_'.
 */
void log_copy_plain(char *out, size_t size, const char *text);
/** Whether log_copy_plain would leave the text unchanged. */
bool log_is_plain(const char *text);
void log_write(void *context, log_event_t event,
    const char *text); /* one line; has the type log_fn_t */
void log_printf(log_event_t event, const char *format, ...)
    G_GNUC_PRINTF(2, 3); /* one formatted line */
void log_fields(log_event_t event, const char *format, ...)
    G_GNUC_PRINTF(2, 3); /* JSON members: "\"id\":\"r1\",..." */
void log_write_fields(void *context, log_event_t event,
    const char *fields); /* has the type log_fn_t */
/**
 * Sets fd to non-blocking and buffers the lines of log_fields and
 * log_write_fields for it. Lines above the rate limits or the buffer size are
 * dropped and counted; log_flush writes the others.
 */
void log_begin_buffered(int fd);
void log_flush(void);		/* writes without blocking */
void log_print_catalogue(void); /* all events as a Markdown table */

/* ---- Metrics: counters, gauges and histograms of this process ------------ */

typedef enum metric {
#define METRIC(name, text, help) name,
#include "metrics_list.h"
#undef METRIC
	METRIC_COUNT
} metric_t;

typedef enum metric_histogram {
#define METRIC(name, text, help)
#define HISTOGRAM(name, text, help) name,
#include "metrics_list.h"
#undef METRIC
	HISTOGRAM_COUNT
} metric_histogram_t;

void metric_add(metric_t metric, int64_t amount); /* any thread */
void metric_set(metric_t metric, int64_t value);  /* any thread */
int64_t metric_get(metric_t metric);
void metric_observe(
    metric_histogram_t histogram, int64_t value_us); /* any thread */
char *metric_format_text(void); /* Prometheus text format; free with g_free */
void metric_print_catalogue(void); /* all metrics as a Markdown table */

/* ---- Histogram: logarithmic buckets, quantile estimates -------------------
 */

typedef struct histogram histogram_t;

histogram_t *histogram_create(double min, double max,
    double growth); /* growth: ratio of neighbouring bucket bounds */
void histogram_destroy(histogram_t *histogram);
void histogram_add(histogram_t *histogram, double value);
void histogram_scale(
    histogram_t *histogram, double factor); /* multiplies all counts */
double histogram_get_quantile(
    const histogram_t *histogram, double quantile); /* 0 when empty */
double histogram_get_count(const histogram_t *histogram);

/* ---- Ranks ----------------------------------------------------------------
 */

typedef enum rank { RANK_URGENT, RANK_STANDARD, RANK_BULK, RANK_COUNT } rank_t;

const char *rank_get_name(rank_t rank);
bool rank_parse(const char *text, rank_t *rank);

/* ---- Settings: fleet-wide defaults and exceptions --------------------------
 */

typedef enum setting_key {
	SETTING_DEADLINE_US,
	SETTING_SHARE_PERCENT,
	SETTING_SLOT_CEILING_PERCENT,
	SETTING_HEDGE_PERCENT,
	SETTING_HEDGE_QUANTILE_PERCENT,
	SETTING_RETRY_PERCENT,
	SETTING_ADMISSION,
	SETTING_QUEUE,
	SETTING_ROUTING,
	SETTING_HEDGING,
	SETTING_LIMIT,
	SETTING_REACH,
	SETTING_HOME_BLOCK,
	SETTING_EJECT_PERCENT,
	SETTING_RETENTION_US,
	SETTING_COUNT
} setting_key_t;

typedef enum setting_type {
	SETTING_DURATION,
	SETTING_PERCENT,
	SETTING_NUMBER,
	SETTING_CHOICE
} setting_type_t;

typedef struct setting_info {
	const char *name; /* key in YAML */
	setting_type_t type;
	bool by_rank;		  /* each rank may have its own value */
	int64_t minimum, maximum; /* in the stored unit */
	const char
	    *choices; /* "a|b" for SETTING_CHOICE; the value is the position */
	int64_t initial[RANK_COUNT];
	const char *help;
} setting_info_t;

typedef struct scope {
	char index[NAME_BYTES];	   /* "" matches every index */
	char upstream[NAME_BYTES]; /* "" matches every upstream */
	char zone[NAME_BYTES];	   /* "" matches every availability zone */
	int rank;		   /* -1 matches every rank */
} scope_t;

typedef struct setting_exception {
	scope_t scope;
	setting_key_t key;
	int64_t value;
	char reason[REASON_BYTES];
	char author[NAME_BYTES];
	int line; /* in the file it was read from */
} setting_exception_t;

typedef struct settings {
	char fleet[NAME_BYTES];
	int64_t defaults[SETTING_COUNT][RANK_COUNT];
	int exception_count;
	setting_exception_t exceptions[EXCEPTIONS_MAX];
} settings_t;

typedef struct settings_values {
	int64_t value[SETTING_COUNT];
} settings_values_t;

/** All problems of one document; each is "file:line: key: ...". */
typedef struct problem_list {
	GPtrArray *texts;
} problem_list_t;

void problem_list_begin(problem_list_t *problems);
void problem_list_end(problem_list_t *problems);
const setting_info_t *settings_get_info(setting_key_t key);
bool settings_find_key(const char *name, setting_key_t *key);
void settings_reset(settings_t *settings); /* the built-in defaults */
bool settings_parse(settings_t *settings, const char *name, const char *text,
    size_t length, problem_list_t *problems);
char *settings_format(
    const settings_t *settings); /* canonical YAML; free with g_free */
char *settings_format_value(
    setting_key_t key, int64_t value); /* "200ms"; free with g_free */
bool settings_parse_value(setting_key_t key, const char *text, int64_t *value,
    char *allowed, size_t allowed_bytes);
bool settings_parse_scope(const char *text, scope_t *scope,
    error_info_t *error); /* "index=laadplan,rank=urgent" */
char *settings_format_scope(const scope_t *scope); /* free with g_free */
char *settings_diff(const settings_t *before,
    const settings_t *after); /* "" when equal; free with g_free */
char *settings_format_checklist(
    const settings_t *settings, uint64_t version); /* free with g_free */
const setting_exception_t *settings_find_exception(const settings_t *settings,
    setting_key_t key, const scope_t *scope); /* NULL: the default applies */
void settings_get_values(const settings_t *settings, const scope_t *scope,
    settings_values_t *values);

/* ---- VM settings: addresses, zone and bootstrap of one VM -------------------
 */

typedef struct vm_settings {
	char id[NAME_BYTES], zone[NAME_BYTES], region[NAME_BYTES];
	char address[NAME_BYTES];
	int caller_port; /* HTTP for callers and operators */
	int peer_port; /* control peer; traffic thread n listens at peer_port +
			  1 + n */
	char platform[ENDPOINT_BYTES]; /* base URL of the object API */
	int threads;		       /* traffic threads */
	char log_level[NAME_BYTES];
	bool log_json;
	char curve_public[NAME_BYTES],
	    curve_secret[NAME_BYTES]; /* Z85; "" disables CURVE */
	int64_t drain_us;	      /* time to keep serving after SIGTERM */
	char seeds[REASON_BYTES];     /* control endpoints to join through,
					 comma-separated */
} vm_settings_t;

bool vm_settings_parse(vm_settings_t *settings, const char *name,
    const char *text, size_t length, problem_list_t *problems);

/* ---- Fleet: one immutable snapshot of members, layouts and settings
 * ---------- */

typedef enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_LEAVING,
	MEMBER_DEAD
} member_state_t;

typedef struct member {
	char id[NAME_BYTES], zone[NAME_BYTES], region[NAME_BYTES];
	char address[NAME_BYTES];
	int peer_port;
	int threads;
	uint64_t incarnation;
	member_state_t state;
} member_t;

#define VM_THREADS_MAX 64    /* traffic threads of one VM */
#define PEER_PORT_MAX  65400 /* its threads use the ports after it */

/** False: it cannot be a VM, and must not be passed on to others. */
bool member_is_valid(const member_t *member);

typedef struct peer {
	uint64_t key;		       /* hash of "member/thread" */
	char endpoint[ENDPOINT_BYTES]; /* tcp://address:port */
	const member_t *member;
	int thread;
} peer_t;

typedef struct instance instance_t;

typedef struct leaf {
	uint64_t key; /* hash of "instance/number" */
	instance_t *instance;
	int number, slots;
} leaf_t;

struct instance {
	char id[NAME_BYTES], zone[NAME_BYTES], region[NAME_BYTES],
	    upstream[NAME_BYTES];
	char address[ENDPOINT_BYTES]; /* host:port */
	uint64_t key;
	int ordinal;	 /* position within its index */
	int connections; /* limit over all VMs */
	int connect_us;
	int leaf_count;
	bool is_leaving;
	leaf_t *leaves;
	int relay_count;
	int relays[RELAYS_MAX]; /* positions in fleet peers, best first */
};

typedef struct replica_set {
	int count;
	leaf_t *replicas[REPLICAS_MAX];
} replica_set_t;

typedef struct index_info {
	char name[NAME_BYTES], upstream[NAME_BYTES];
	uint32_t version;
	int shard_count;
	replica_set_t *shards;
	int instance_count;
	instance_t *instances;
	settings_values_t values[RANK_COUNT];
} index_info_t;

typedef struct fleet {
	int references;
	uint64_t generation; /* number of this snapshot within the process */
	uint64_t settings_version; /* 0: none received yet */
	settings_t settings;
	char self_id[NAME_BYTES];
	int member_count;
	member_t *members;
	int peer_count;
	peer_t *peers;
	int index_count;
	index_info_t *indexes;
	GHashTable *leaves; /* key -> leaf_t */
} fleet_t;

/** A versioned document that is replicated to the whole fleet. */
typedef struct document {
	char name[NAME_BYTES];
	uint64_t version;
	char *body;
	size_t length;
} document_t;

fleet_t *fleet_create(const char *self_id, uint64_t generation,
    const document_t *documents, int document_count, const member_t *members,
    int member_count, GHashTable *leaving, error_info_t *error);
fleet_t *fleet_acquire(fleet_t *fleet); /* one more reference; any thread */
void fleet_release(fleet_t *fleet);	/* the last one destroys it */
const index_info_t *fleet_find_index(const fleet_t *fleet, const char *name);
leaf_t *fleet_find_leaf(const fleet_t *fleet, uint64_t key);
const peer_t *fleet_find_peer(const fleet_t *fleet, uint64_t key);
uint64_t hash_text(const char *text); /* XXH3, 64 bits */
uint64_t hash_pair(uint64_t left, uint64_t right);

/* ---- Wire: messages between traffic threads, msgpack
 * ------------------------- */

typedef enum wire_type {
	WIRE_RUN = 1,
	WIRE_CANCEL,
	WIRE_RESULT,
	WIRE_ACCEPT
} wire_type_t;

typedef enum run_status {
	RUN_OK,
	RUN_NOT_RUN, /* never started: shed, expired in the queue or instance
			draining */
	RUN_CANCELLED,
	RUN_VERSION_REMOVED, /* the upstream no longer has the index version */
	RUN_FAILED, /* may have started: malformed reply, reset or server error
		     */
	RUN_TIMED_OUT /* may have started: no reply by the deadline */
} run_status_t;

typedef struct wire_item {
	uint64_t attempt;
	uint64_t leaf;
	uint32_t shard;
} wire_item_t;

typedef struct wire_run {
	uint64_t origin; /* peer key of the coordinator */
	char reply_to[ENDPOINT_BYTES];
	char index[NAME_BYTES];
	uint32_t version;
	rank_t rank;
	bool is_order;
	int64_t remaining_us; /* until the deadline, minus the return trip */
	uint32_t limit;
	const char *text; /* the query, or the order's body */
	size_t text_length;
	char request[NAME_BYTES]; /* request id, or the order's idempotency key
				   */
	int item_count;
	wire_item_t *items;
} wire_run_t;

typedef struct wire_wait {
	uint64_t leaf;
	uint32_t wait_us[RANK_COUNT];
	uint32_t service_us;
} wire_wait_t;

typedef struct wire_result {
	uint64_t attempt;
	run_status_t status;
	int64_t service_us; /* from sending to the leaf until its reply; 0 if
			       never sent */
	int64_t queue_us;   /* time in the relay's queue */
	bool is_leaving;    /* the upstream reports that it is draining */
	wire_wait_t wait;   /* expected wait of the next request */
	const char *body;   /* the leaf's reply, unmodified */
	size_t body_length;
} wire_result_t;

typedef struct wire_message {
	wire_type_t type;
	wire_run_t run;
	wire_result_t result;
	int attempt_count; /* WIRE_CANCEL */
	uint64_t *attempts;
	uint64_t origin;
	int wait_count; /* WIRE_ACCEPT */
	wire_wait_t *waits;
} wire_message_t;

GByteArray *wire_encode_run(const wire_run_t *run);
GByteArray *wire_encode_cancel(
    uint64_t origin, const uint64_t *attempts, int count);
GByteArray *wire_encode_result(const wire_result_t *result);
GByteArray *wire_encode_accept(
    uint64_t origin, const wire_wait_t *waits, int count);
bool wire_decode(wire_message_t *message, const void *data, size_t length,
    error_info_t *error);		  /* strings point into data */
void wire_clear(wire_message_t *message); /* frees what wire_decode allocated */

/* ---- Plug-ins: policies that register themselves
 * ------------------------------ */

typedef enum plugin_kind {
	PLUGIN_ADMISSION,
	PLUGIN_QUEUE,
	PLUGIN_ROUTING,
	PLUGIN_HEDGING,
	PLUGIN_LIMIT,
	PLUGIN_PROTOCOL, /* messages of a platform; see tier_process.h */
	PLUGIN_KIND_COUNT
} plugin_kind_t;

typedef struct plugin {
	plugin_kind_t kind;
	const char *name;
	const void *callbacks; /* callback table of the kind */
} plugin_t;

void plugin_register(
    const plugin_t *plugin); /* called from a constructor, before main */
/** Finds the plug-in named by one of a setting's choices; NULL if none. */
const plugin_t *plugin_find_choice(
    plugin_kind_t kind, setting_key_t key, int64_t choice);
/** Returns NULL if no plug-in of this kind has the name. */
const plugin_t *plugin_find(plugin_kind_t kind, const char *name);
void plugin_print_all(void); /* prints kind and name of each plug-in */

#define PLUGIN_REGISTER(plugin)                                          \
	__attribute__((constructor)) static void register_##plugin(void) \
	{                                                                \
		plugin_register(&plugin);                                \
	}

/* ---- Core: decision logic of one traffic thread; events in, actions out
 * ------------- */

typedef struct core core_t;

typedef enum event_type {
	EVENT_FLEET,
	EVENT_SEARCH,
	EVENT_ORDER,
	EVENT_CALLER_DISCONNECTED,
	EVENT_LEAF_REPLY,
	EVENT_PEER,
	EVENT_CLAIM,
	EVENT_RECORDED,
	EVENT_TICK
} event_type_t;

typedef enum claim_status {
	CLAIM_GRANTED,	   /* this VM may send the order once */
	CLAIM_DONE,	   /* already run; the event's body holds the answer */
	CLAIM_UNKNOWN,	   /* claimed before, no outcome recorded */
	CLAIM_UNAVAILABLE, /* not claimed; the order must not be sent */
	CLAIM_EXPIRED,	   /* issued before the ledger's retention period */
	CLAIM_REFUSED,	   /* this try or a later one was recorded as not_run */
	CLAIM_OTHER_BODY   /* the key belongs to an order with another body */
} claim_status_t;

typedef struct event {
	event_type_t type;
	fleet_t *fleet;	 /* EVENT_FLEET */
	uint64_t caller; /* EVENT_SEARCH, _ORDER, _CALLER_DISCONNECTED */
	const char *index, *text, *caller_name, *idempotency_key;
	size_t text_length;
	int rank;	     /* -1: not given */
	int64_t deadline_us; /* duration; 0: use the setting */
	int64_t issued_us;   /* EVENT_ORDER: wall-clock time */
	bool is_repeat;	     /* EVENT_ORDER: possibly not the key's first try */
	int try_number; /* EVENT_ORDER: from 1; a later try supersedes earlier
			   ones */
	uint32_t limit; /* maximum number of hits */
	uint64_t job;	/* EVENT_LEAF_REPLY */
	run_status_t status;
	bool is_leaving;  /* EVENT_LEAF_REPLY: the instance drains */
	const char *body; /* EVENT_LEAF_REPLY, EVENT_PEER, EVENT_CLAIM */
	size_t body_length;
	uint64_t request; /* order id: EVENT_CLAIM, EVENT_RECORDED */
	claim_status_t claim;
} event_t;

typedef enum action_type {
	ACTION_LEAF_SEND,
	ACTION_LEAF_CANCEL,
	ACTION_PEER_SEND,
	ACTION_ANSWER,
	ACTION_CLAIM,
	ACTION_RECORD,
	ACTION_REPORT_LEAVING
} action_type_t;

typedef struct action {
	action_type_t type;
	uint64_t job;		      /* ACTION_LEAF_SEND, _CANCEL */
	char address[ENDPOINT_BYTES]; /* host:port of the instance, or endpoint
					 of the peer */
	uint64_t instance;
	int connections; /* maximum connections of this thread to the instance
			  */
	int leaf_number;
	bool is_order;
	char *body; /* owned by the action */
	size_t body_length;
	int64_t timeout_us;
	uint64_t caller; /* ACTION_ANSWER */
	int http_status;
	int retry_after_s; /* 0: none */
	uint64_t request;  /* order id: ACTION_CLAIM, _RECORD */
	char key[KEY_BYTES];
	int64_t issued_us;
	int64_t retention_us;
	int try_number;
	uint64_t body_hash; /* ACTION_CLAIM */
	bool has_run;	    /* ACTION_RECORD: true: done, false: not_run */
} action_t;

typedef struct core_options {
	uint64_t seed;
	char self_id[NAME_BYTES];
	int thread;
	char endpoint[ENDPOINT_BYTES]; /* this thread's endpoint for peers */
	log_fn_t log;
	void *log_context;
} core_options_t;

/** Answers of this thread to the callers of one rank. */
typedef struct rank_status {
	int64_t answered, partial, refused;
	double coverage;       /* mean over all answers, 0 to 1 */
	double p50_us, p99_us; /* of recent answers */
} rank_status_t;

typedef struct core_status {
	rank_status_t ranks[RANK_COUNT];
	int64_t queries, orders, queued[RANK_COUNT], in_flight;
	int64_t ejected; /* leaves */
	int64_t leaving; /* instances */
	double hedge_tokens, retry_tokens;
} core_status_t;

core_t *core_create(const core_options_t *options);
void core_destroy(core_t *core);
void core_handle(core_t *core, int64_t now_us,
    const event_t *event); /* queues the resulting actions */
bool core_take_action(
    core_t *core, action_t *action); /* false: none left; clear it after use */
void action_clear(action_t *action); /* frees the body */
/** This process has not run for some time: others may have acted meanwhile. */
void core_note_pause(core_t *core, int64_t now_us);
int64_t core_get_next_timer(
    const core_t *core); /* INT64_MAX when none is set */
void core_get_status(const core_t *core, core_status_t *status);
bool core_is_idle(const core_t *core); /* no query, order or job in progress */
char *core_format_leaves(const core_t
	*core); /* JSON array of the leaves' states; free with g_free */

/* ---- Ledger: at-most-once claims stored in the platform
 * -------------------------- */

typedef struct ledger ledger_t;

typedef struct ledger_callbacks {
	void (*get)(void *context, const char *name);
	void (*put)(void *context, const char *name, uint64_t version,
	    const char *body, size_t length);
	void (*claimed)(void *context, uint64_t request, claim_status_t status,
	    const char *body, size_t length);
	void (*recorded)(void *context, uint64_t request);
	void *context;
} ledger_callbacks_t;

typedef enum reply_status {
	REPLY_OK,
	REPLY_CONFLICT,
	REPLY_NOT_FOUND,
	REPLY_NOT_APPLIED,
	REPLY_UNKNOWN
} reply_status_t;

/** A claim of an idempotency key for one try of an order. */
typedef struct claim {
	uint64_t request;
	const char *key;
	int try_number;
	int64_t issued_us; /* wall clock */
	int64_t retention_us, timeout_us;
	uint64_t body_hash; /* hash of the order; 0: not compared */
} claim_t;

ledger_t *ledger_create(
    const char *writer, uint64_t seed, const ledger_callbacks_t *callbacks);
void ledger_destroy(ledger_t *ledger);
void ledger_claim(
    ledger_t *ledger, int64_t now_us, int64_t wall_us, const claim_t *claim);
void ledger_record(ledger_t *ledger, int64_t now_us, uint64_t request,
    const char *key, bool has_run, const char *body, size_t length);
void ledger_reply_get(ledger_t *ledger, int64_t now_us, const char *name,
    reply_status_t status, uint64_t version, const char *body, size_t length);
void ledger_reply_put(ledger_t *ledger, int64_t now_us, const char *name,
    reply_status_t status, uint64_t version);
void ledger_tick(ledger_t *ledger, int64_t now_us);
int64_t ledger_get_next_timer(const ledger_t *ledger);
int ledger_count_pending(const ledger_t *ledger);

/* ---- Control: membership and document replication; events in, callbacks out
 * -- */

typedef struct control control_t;

typedef struct control_callbacks {
	void (*send)(void *context, const char *endpoint, const void *data,
	    size_t length);
	void (*list)(void *context); /* request the platform's VM list */
	void (*watch)(void *context,
	    uint64_t after); /* wait for a document newer than this revision */
	void (*changed)(
	    void *context); /* members, documents or drain reports changed */
	log_fn_t log;
	void *context;
} control_callbacks_t;

control_t *control_create(
    const member_t *self, uint64_t seed, const control_callbacks_t *callbacks);
void control_set_seeds(control_t *control,
    const char *endpoints); /* to join through during a platform outage */
void control_destroy(control_t *control);
void control_tick(control_t *control, int64_t now_us);
int64_t control_get_next_timer(const control_t *control);
void control_handle_message(
    control_t *control, int64_t now_us, const void *data, size_t length);
void control_handle_list(control_t *control, int64_t now_us, bool is_ok,
    const member_t *members, int count);
void control_handle_watch(control_t *control, int64_t now_us, bool is_ok,
    uint64_t revision, const document_t *documents, int count);
void control_apply_document(control_t *control, int64_t now_us,
    const document_t *document); /* stores it if it is newer */
void control_add_leaving(control_t *control, int64_t now_us, uint64_t instance,
    bool is_observed_locally); /* reports that an upstream instance drains */
void control_begin_leaving(
    control_t *control, int64_t now_us); /* publishes that this VM stops */
bool control_is_ready(const control_t *control);
fleet_t *control_create_fleet(
    control_t *control, error_info_t *error); /* a fresh snapshot */
char *control_format_status(const control_t *control,
    int64_t now_us); /* JSON object; free with g_free */
int control_get_members(const control_t *control, member_t *members, int max);

/* ---- Loop: one thread's event loop over epoll
 * ----------------------------------- */

typedef struct loop loop_t;
/** Called with the epoll events of a ready descriptor. */
typedef void (*loop_fn_t)(void *context, int fd, uint32_t events);
/** Runs the actions that are due; returns the time of the next or INT64_MAX. */
typedef int64_t (*loop_timer_fn_t)(void *context);

loop_t *loop_create(void);
void loop_destroy(loop_t *loop);
void loop_set_fd(loop_t *loop, int fd, uint32_t events, loop_fn_t callback,
    void *context); /* epoll events; adds or changes the descriptor */
void loop_unset_fd(loop_t *loop, int fd);
void loop_close_fd(loop_t *loop, int fd); /* unsets and closes it */
void loop_add_timer(loop_t *loop, loop_timer_fn_t callback,
    void *context); /* called before every wait */
void loop_remove_timer(loop_t *loop, loop_timer_fn_t callback, void *context);
void loop_wake(loop_t *loop); /* runs all timers again before the next wait */
void loop_run(loop_t *loop);  /* until loop_stop */
void loop_stop(loop_t *loop);

/* ---- Fetch: HTTP client over curl ---------------------------------------- */

typedef struct fetch fetch_t;

/** Outcome of one request; body and error are valid during the callback. */
typedef struct fetch_reply {
	int http_status;  /* 0: no complete reply; error is set */
	bool is_unsent;	  /* no byte of the request reached the server */
	bool is_draining; /* the reply has an x-draining header */
	uint64_t version; /* x-object-version header; 0: none */
	const char *body;
	size_t body_length;
	const char *error; /* NULL: none */
} fetch_reply_t;

typedef void (*fetch_fn_t)(
    void *context, uint64_t tag, const fetch_reply_t *reply);

/** Creates a client that opens at most connections_max connections and fails
 * replies over reply_bytes_max. */
fetch_t *fetch_create(
    loop_t *loop, size_t reply_bytes_max, long connections_max);
/** Abandons requests in progress without calling their callbacks. */
void fetch_destroy(fetch_t *fetch);
/** Starts a request and copies the body, which is NULL or ends with a NUL after
 * length bytes. The loop later calls the callback once, with the tag. */
void fetch_send(fetch_t *fetch, const char *method, const char *url,
    const char *body, size_t length, int64_t timeout_us, uint64_t tag,
    fetch_fn_t callback, void *context);
/** The same on a new connection: the request is never sent a second time. */
void fetch_send_once(fetch_t *fetch, const char *method, const char *url,
    const char *body, size_t length, int64_t timeout_us, uint64_t tag,
    fetch_fn_t callback, void *context);
void fetch_set_connections_max(fetch_t *fetch, long connections_max);
int fetch_count_running(const fetch_t *fetch);
/** Blocks until the reply is complete; for commands. Appends the body to reply
 * and sets the version if it is not NULL and the reply has one. Returns false
 * on ERROR_TIMEOUT or ERROR_UNAVAILABLE; HTTP error codes return true. */
bool fetch_run_blocking(const char *method, const char *url, const char *body,
    int64_t timeout_us, int *http_status, uint64_t *version, GString *reply,
    error_info_t *error);

/* ---- Mailbox: bounded lock-free messages between two threads
 * ---------------------- */

typedef struct mailbox mailbox_t;

mailbox_t *mailbox_create(void);
void mailbox_destroy(mailbox_t *mailbox);
bool mailbox_send(mailbox_t *mailbox, void *message); /* false when full */
void *mailbox_receive(mailbox_t *mailbox);	      /* NULL when empty */
/** The descriptor is readable from a send until mailbox_clear_fd. */
int mailbox_get_fd(const mailbox_t *mailbox);
/** Call it before receiving all messages, otherwise a send can be missed. */
void mailbox_clear_fd(mailbox_t *mailbox);

/* ---- Peer link: messages between processes over ZeroMQ ------------------- */

typedef struct peer_link peer_link_t;
typedef void (*peer_link_fn_t)(void *context, const void *data, size_t length);

/** Binds the endpoint for incoming messages; an empty curve_public disables
 * CURVE. Returns NULL with the error set on failure. */
peer_link_t *peer_link_create(loop_t *loop, const char *endpoint,
    const char *curve_public, const char *curve_secret, peer_link_fn_t callback,
    void *context, error_info_t *error);
void peer_link_destroy(peer_link_t *peer_link);
/** Queues a copy of the message without blocking; drops the message if the send
 * queue of this peer is full. */
void peer_link_send(peer_link_t *peer_link, const char *endpoint,
    const void *data, size_t length);

/* ---- Leaf: HTTP client for leaves, one pool for each instance ------------ */

typedef struct leaf_client leaf_client_t;
typedef void (*leaf_fn_t)(void *context, const event_t *event);

leaf_client_t *leaf_client_create(
    loop_t *loop, leaf_fn_t callback, void *context);
void leaf_client_destroy(leaf_client_t *client);
/** Executes ACTION_LEAF_SEND, whose outcome arrives as EVENT_LEAF_REPLY, or
 * ACTION_LEAF_CANCEL, whose outcome is ignored. */
void leaf_client_run(leaf_client_t *client, const action_t *action);

/* ---- Platform: client of the object API, with a call rate limit
 * ------------------------------- */

typedef struct platform platform_t;

typedef struct platform_reply {
	reply_status_t status;
	uint64_t version;
	const char *body;
	size_t length;
} platform_reply_t;

typedef void (*platform_fn_t)(
    void *context, const char *name, const platform_reply_t *reply);

platform_t *platform_create(loop_t *loop, const char *url);
void platform_destroy(platform_t *platform);
void platform_set_members(platform_t *platform,
    int members); /* sets this VM's share of the fleet's call rate */
double platform_get_budget(
    const platform_t *platform); /* calls per second of this VM */
void platform_get(platform_t *platform, const char *name,
    platform_fn_t callback, void *context);
void platform_put(platform_t *platform, const char *name, uint64_t version,
    const char *body, size_t length, platform_fn_t callback,
    void *context); /* version 0: create */
void platform_watch(platform_t *platform, const char *prefix, uint64_t after,
    platform_fn_t callback, void *context);
void platform_list_vms(
    platform_t *platform, platform_fn_t callback, void *context);
bool platform_parse_vms(
    const char *body, size_t length, GArray *members); /* member_t */
bool platform_parse_changes(const char *body, size_t length, const char *prefix,
    uint64_t *revision, GArray *documents); /* document_t; bodies owned */

/* ---- Caller: parser of the callers' JSON requests ------------------------ */

/** A validated request, which owns the strings of its event. */
typedef struct caller_request {
	event_t event;
	struct json_t *root;
	char *order_text;
} caller_request_t;

/* The parsers return false with the error set if the body is invalid; the
 * error's step is the reason in the answer. Clear the request in both cases. */
bool caller_parse_search(caller_request_t *request, const char *body,
    size_t length, error_info_t *error);
bool caller_parse_order(caller_request_t *request, const char *body,
    size_t length, int64_t wall_us, error_info_t *error);
void caller_request_clear(caller_request_t *request);

/* ---- Frontend: HTTP for callers
 * -------------------------------------------------------- */

typedef struct frontend frontend_t;

typedef struct front_callbacks {
	void (*event)(void *context, const event_t *event);
	char *(*page)(void *context, const char *path, int *http_status,
	    const char *
		*type); /* status page, freed with g_free; NULL: not found */
	void *context;
} frontend_callbacks_t;

frontend_t *frontend_create(loop_t *loop, const char *address, int port,
    int thread, const frontend_callbacks_t *callbacks, error_info_t *error);
void frontend_destroy(frontend_t *frontend);
void frontend_answer(frontend_t *frontend, uint64_t caller, int http_status,
    int retry_after_s, const char *body, size_t length);
void frontend_set_closing(
    frontend_t *frontend); /* adds "Connection: close" to answers */
void frontend_stop_accepting(
    frontend_t *frontend); /* stops accepting new connections */
int frontend_count_requests(const frontend_t *frontend);

/* ---- Status page: one VM's status as HTML
 * -------------------------------------------- */

char *status_page_format(
    const char *status); /* status is JSON; free with g_free */

/* ---- Server: the process of one VM --------------------------------------- */

int server_run(const vm_settings_t *settings); /* returns the exit code */

/* ---- Commands
 * ----------------------------------------------------------------------------
 */

/* Each command_ function runs one subcommand and returns the exit code. */
int command_serve(int argc, char **argv);
int command_check(int argc, char **argv);
int command_search(int argc, char **argv);
int command_order(int argc, char **argv);
int command_status(int argc, char **argv);
int command_explain(int argc, char **argv);
int command_settings(int argc, char **argv);
int command_load(int argc, char **argv);
int command_keys(int argc, char **argv);
int command_tier(int argc, char **argv);
int command_explain_request(int argc, char **argv);

/**
 * Reads a whole file and appends a NUL byte that length does not count. The
 * caller frees the text with g_free. Returns NULL with the error set if the
 * file cannot be read.
 */
char *command_read_file(const char *path, size_t *length, error_info_t *error);
/** Prints the error to stderr, with the subcommand; returns exit code 1. */
int command_report(const char *command, const error_info_t *error);

#endif
