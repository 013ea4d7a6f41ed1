/**
 * @file tier_process.h
 * What surrounds the tier's decisions: connections, the directory's client and
 * the protocol that a platform speaks.
 */
#ifndef TIER_PROCESS_H
#define TIER_PROCESS_H

#include "http.h"
#include "tier.h"

/* ---- Protocol: one platform's names and formats, a plug-in ---- */

/** Kinds of objects that the directory follows. */
typedef enum feed {
	FEED_CONFIGURATION,
	FEED_LEAFS,
	FEED_VMS, /* polled, never watched */
	FEED_COUNT
} feed_t;

/** One page of a list, or one answer of a watch. */
typedef struct feed_page {
	int64_t revision; /* to watch from */
	bool is_continued;
	int count;	       /* objects or events in it */
	char after[KEY_BYTES]; /* the name to go on behind */
} feed_page_t;

/** Receives what a page holds. */
typedef struct feed_sink {
	void *context;
	void (*configuration)(void *context, route_table_t *table);
	void (*leaf)(void *context, const leaf_entry_t *entry);
	void (*vm)(void *context, const char *name, int64_t revision);
	void (*removed)(void *context, feed_t feed, const char *name);
	/** The object can't be used; why says what is wrong with it. */
	void (*rejected)(
	    void *context, feed_t feed, const char *name, const char *why);
} feed_sink_t;

typedef struct protocol {
	const char *name;
	const char *ready_path; /* asked by the balancer */
	/* callers */
	void (*read_request_info)(
	    const http_message_t *request, tier_ask_t *ask);
	void (*write_gather_headers)(GString *out, const tier_answer_t *answer);
	/* leafs */
	void (*write_leaf_request)(GString *out, const http_message_t *request,
	    const tier_attempt_t *attempt);
	/** Sets id to the request that the answer names, or NULL. */
	void (*read_leaf_answer)(const http_message_t *message,
	    leaf_answer_t *answer, const char **id);
	/* the store */
	void (*write_list)(GString *out, feed_t feed, const char *after);
	void (*write_watch)(
	    GString *out, feed_t feed, int64_t revision, int64_t wait_ms);
	void (*write_vm_entry)(GString *out, const char *name,
	    const char *address, bool is_new, int64_t beat);
	void (*write_vm_deletion)(GString *out, const char *name);
	/** A cheap read of this VM's entry, which may be stale or missing. */
	void (*write_vm_read)(GString *out, const char *name);
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
	char callers[ENDPOINT_BYTES]; /* listen addresses, IPv4:port */
	char ready[ENDPOINT_BYTES];
	char metrics[ENDPOINT_BYTES]; /* "": none */
	char platform[ENDPOINT_BYTES];
	char log_level[NAME_BYTES];
	double retry_ratio, retry_slack;
	int64_t retry_window_us;
	int64_t drain_us;    /* a draining leaf gets nothing later than this */
	int64_t apply_us;    /* a configuration is in force after this */
	int64_t stop_us;     /* from SIGTERM until the process is killed */
	GHashTable *regions; /* zone -> region */
} tier_settings_t;

bool tier_settings_parse(tier_settings_t *settings, const char *name,
    const char *text, size_t length, problem_list_t *problems);
void tier_settings_clear(tier_settings_t *settings);

/* ---- Pool: connections to leafs ---- */

typedef struct pool pool_t;

typedef struct pool_callbacks {
	void *context;
	void (*answered)(void *context, tier_attempt_t *attempt,
	    const leaf_answer_t *answer);
	/** The request as the caller sent it, for an attempt's caller. */
	const http_message_t *(*get_request)(void *context, void *caller);
} pool_callbacks_t;

pool_t *pool_create(
    loop_t *loop, const protocol_t *protocol, const pool_callbacks_t *hooks);
void pool_destroy(pool_t *pool);
void pool_send(pool_t *pool, tier_attempt_t *attempt);
void pool_cancel(pool_t *pool, tier_attempt_t *attempt);
void pool_remove_leaf(pool_t *pool, tier_leaf_t *leaf);

/* ---- Entrance: callers' connections ---- */

typedef struct listener listener_t;

listener_t *listener_create(loop_t *loop, const protocol_t *protocol,
    tier_t *tier, const char *address, error_info_t *error);
void listener_destroy(listener_t *listener);
void listener_set_closing(listener_t *listener); /* answers say so */
void listener_close_idle(listener_t *listener);
void listener_send_answer(void *caller, const tier_answer_t *answer);
const http_message_t *listener_get_request(void *caller);
int listener_count_in_flight(const listener_t *listener);

/* ---- Pages: a small HTTP server for readiness and metrics ---- */

typedef struct status_server status_server_t;
/** Returns the body, freed with g_free; NULL is an empty one. */
typedef char *(*status_handler_t)(void *context, const char *path, int *status);

status_server_t *status_server_create(loop_t *loop, const char *address,
    status_handler_t callback, void *context, error_info_t *error);
void status_server_destroy(status_server_t *server);

/* ---- Source: follows the platform's store, on the control thread ---- */

typedef struct store_client store_client_t;

typedef struct store_client_callbacks {
	void *context;
	/** Takes ownership; called after each change. */
	void (*changed)(void *context, directory_t *directory);
} store_client_callbacks_t;

store_client_t *store_client_create(loop_t *loop, const protocol_t *protocol,
    const tier_settings_t *settings, const store_client_callbacks_t *hooks);
void store_client_destroy(store_client_t *client);
void store_client_deregister(
    store_client_t *client); /* takes this VM off the list */

/* ---- Process ---- */

int tier_run(const char *settings_path); /* returns the exit code */

#endif
