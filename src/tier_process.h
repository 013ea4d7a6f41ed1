/**
 * @file tier_process.h
 * I/O layer of the tier: connections, the store client, the status server and
 * the platform's protocol. The decisions themselves are in tier.h.
 */
#ifndef TIER_PROCESS_H
#define TIER_PROCESS_H

#include "http.h"
#include "tier.h"
#include "view_source.h"

/* ---- Protocol: one platform's names and wire formats, as a plug-in ---- */

/** Kinds of stored objects that the directory is built from. */
typedef enum feed {
	FEED_CONFIGURATION,
	FEED_LEAVES,
	FEED_READERS, /* the zones' readers; polled, not watched */
	FEED_COUNT
} feed_t;

/** One page of a list, or the events of one watch call. */
typedef struct feed_page {
	int64_t revision; /* to start the next watch from */
	bool has_next_page;
	int count;		   /* objects or events in it */
	char last_name[KEY_BYTES]; /* the next page starts after it */
} feed_page_t;

/** A list or watch of a feed, as a follower asks for it. */
typedef struct feed_call {
	feed_t feed;
	bool is_watch;
	int64_t revision, wait_ms; /* of a watch */
	char last_name[KEY_BYTES]; /* list: the page after it; "": first */
} feed_call_t;

/** Receives the decoded objects of a page. */
typedef struct feed_sink {
	void *context;
	void (*configuration)(void *context, route_table_t *table);
	void (*leaf)(void *context, const leaf_entry_t *entry);
	void (*reader)(void *context, const reader_entry_t *entry);
	void (*removed)(void *context, feed_t feed, const char *name);
	/** The object is invalid; `why` is the reason, for the log. */
	void (*rejected)(
	    void *context, feed_t feed, const char *name, const char *why);
} feed_sink_t;

typedef struct protocol {
	const char *name;
	const char *ready_path; /* polled by the load balancer */
	/* callers */
	void (*read_request_info)(
	    const http_message_t *request, tier_request_info_t *info);
	void (*write_gather_headers)(GString *out, const tier_answer_t *answer);
	/* leaves */
	void (*write_leaf_request)(GString *out, const http_message_t *request,
	    const tier_attempt_t *attempt);
	/** Sets id to the request id in the answer, or to NULL. */
	void (*read_leaf_answer)(const http_message_t *message,
	    leaf_answer_t *answer, const char **id);
	/* the store */
	void (*write_list)(GString *out, feed_t feed, const char *last_name,
	    bool may_be_stale);
	void (*write_watch)(
	    GString *out, feed_t feed, int64_t revision, int64_t wait_ms);
	/** Creates the zone's entry, or replaces it if it has this revision. */
	void (*write_reader_claim)(GString *out, const reader_entry_t *entry);
	/** Writes the number of VMs if the entry has this revision. */
	void (*write_reader_report)(GString *out, const reader_entry_t *entry);
	/** Value of the header that tells the store's epoch, or NULL. */
	const char *(*get_store_epoch)(const http_message_t *message);
	/** The entry in the response to a write; false: there is none. */
	bool (*read_reader)(
	    const char *body, size_t length, reader_entry_t *entry);
	/* other VMs: the same lists and watches */
	bool (*read_feed_call)(const char *target, feed_call_t *call);
	void (*write_no_changes)(GString *body, int64_t revision);
	/** Appends the page with the last change of each object alone; false:
	 * it cannot be divided. */
	bool (*compact_events)(GString *out, const char *body, size_t length);
	bool (*read_list)(feed_t feed, const char *body, size_t length,
	    const feed_sink_t *sink, feed_page_t *page, error_info_t *error);
	bool (*read_events)(feed_t feed, const char *body, size_t length,
	    const feed_sink_t *sink, feed_page_t *page, error_info_t *error);
} protocol_t;

const protocol_t *protocol_find(const char *name); /* NULL: not built in */

/* ---- Settings of one VM's tier ---- */

typedef struct tier_settings {
	char id[NAME_BYTES], zone[NAME_BYTES], region[NAME_BYTES];
	char protocol[NAME_BYTES];
	char callers[ENDPOINT_BYTES]; /* listen address, IPv4:port */
	char ready[ENDPOINT_BYTES];
	char metrics[ENDPOINT_BYTES]; /* "": disabled */
	char platform[ENDPOINT_BYTES];
	char peers[ENDPOINT_BYTES]; /* listen address for other VMs */
	double cores;		    /* processor share, in cores */
	char log_level[NAME_BYTES];
	double retry_ratio, retry_slack;
	int64_t retry_window_us;
	int64_t drain_us;    /* no request reaches a draining leaf after this */
	int64_t apply_us;    /* a new configuration is in force within this */
	int64_t stop_us;     /* from SIGTERM until the process is killed */
	GHashTable *regions; /* zone -> region */
} tier_settings_t;

bool tier_settings_parse(tier_settings_t *settings, const char *name,
    const char *text, size_t length, problem_list_t *problems);
void tier_settings_clear(tier_settings_t *settings);

/* ---- Pool: connections to leaves ---- */

typedef struct pool pool_t;

typedef struct pool_callbacks {
	void *context;
	void (*answered)(void *context, tier_attempt_t *attempt,
	    const leaf_answer_t *answer);
	/** An answer that names no request came while this one waits. */
	void (*doubted)(void *context, tier_attempt_t *attempt);
	/** Returns the caller's request; `caller` is the attempt's field. */
	const http_message_t *(*get_request)(void *context, void *caller);
} pool_callbacks_t;

pool_t *pool_create(loop_t *loop, const protocol_t *protocol,
    const pool_callbacks_t *callbacks);
void pool_destroy(pool_t *pool);
void pool_send(pool_t *pool, tier_attempt_t *attempt);
/** Opens a connection to the leaf if it has none. */
void pool_warm_leaf(pool_t *pool, tier_leaf_t *leaf);
void pool_cancel(pool_t *pool, tier_attempt_t *attempt);
void pool_remove_leaf(pool_t *pool, tier_leaf_t *leaf);

/* ---- Listener: callers' connections ---- */

typedef struct listener listener_t;

listener_t *listener_create(loop_t *loop, const protocol_t *protocol,
    tier_t *tier, const char *address, error_info_t *error);
void listener_destroy(listener_t *listener);
/** Later answers close their connection. */
void listener_set_closing(listener_t *listener);
void listener_close_idle(listener_t *listener);
void listener_send_answer(void *caller, const tier_answer_t *answer);
const http_message_t *listener_get_request(void *caller);
int listener_count_in_flight(const listener_t *listener);
/** Takes the connections that wait; later ones are refused by the kernel. */
void listener_stop_listening(listener_t *listener);
/** Requests that are being read, in flight, or whose answer is not written. */
bool listener_has_open_work(const listener_t *listener);
/** Refuses the requests that have not been read whole; they have not run. */
void listener_refuse_unread(listener_t *listener);

/* ---- Status server: a small HTTP server for readiness and metrics ---- */

typedef struct status_server status_server_t;
/** Returns the body, which the server frees with g_free; NULL: empty. */
typedef char *(*status_handler_t)(void *context, const char *path, int *status);

status_server_t *status_server_create(loop_t *loop, const char *address,
    status_handler_t callback, void *context, error_info_t *error);
void status_server_destroy(status_server_t *server);

/* ---- Store client: follows the platform's store ---- */

typedef struct store_client store_client_t;

typedef struct store_client_callbacks {
	void *context;
	/** Called after each change; takes ownership of the directory. */
	void (*changed)(void *context, directory_t *directory);
} store_client_callbacks_t;

store_client_t *store_client_create(loop_t *loop, const protocol_t *protocol,
    const tier_settings_t *settings, const store_client_callbacks_t *callbacks,
    error_info_t *error); /* NULL: cannot listen for other VMs */
void store_client_destroy(store_client_t *client);
/** Sends the followers to other VMs, before a stop. */
void store_client_stop_serving(store_client_t *client);

/* ---- Process ---- */

int tier_run(const char *settings_path); /* returns the exit code */

#endif
