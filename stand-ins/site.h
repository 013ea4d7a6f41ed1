/**
 * @file site.h
 * What the modules of the stand-in site share: its connections, the object
 * store and the leafs.
 */
#ifndef SITE_H
#define SITE_H

#include <jansson.h>

#include "tier_process.h"

#define LEAF_SLOTS 2
#define FIRST_SET  "shard" /* its shards are shard-0, shard-1, ... */

typedef struct site site_t;

typedef enum port_type { PORT_STORE, PORT_LEAF, PORT_CONTROL } port_type_t;

typedef struct site_leaf {
	char id[32], service[32], address[64], zone[32];
	int slots, busy;
	GQueue queue; /* site_link_t */
	char fault[24];
	double share;	 /* of the answers that the fault hits */
	char value[512]; /* of the header that the fault is about */
	int64_t held_from_us, held_until_us; /* arrivals then are not wanted */
	bool is_draining;
	int64_t left_us; /* it began to drain, or its entry was removed */
	int arrivals_drained;
} site_leaf_t;

typedef struct site_port {
	site_t *site;
	port_type_t type;
	site_leaf_t *leaf; /* PORT_LEAF */
	int fd;
	bool is_turned_away; /* PORT_STORE: calls get no answer */
} site_port_t;

typedef struct site_link {
	LIST_ENTRY(site_link) all;
	site_port_t *port;
	stream_t *stream;
	http_message_t message;
	int64_t due_us;		/* of the answer; 0: nothing in work */
	int64_t watch_revision; /* -1: no watch */
	char *kind;		/* of the watch */
	bool is_running, is_queued, is_ended, is_delayed;
	bool is_silent;	     /* nothing is sent on it any more */
	GString *late_extra; /* sent when the next request arrives; or NULL */
	const char *endless; /* sent again and again until the VM closes */
	GString *backlog;
} site_link_t;

struct site {
	loop_t *loop;
	LIST_HEAD(, site_link) links;
	GPtrArray *leafs;
	GPtrArray
	    *raw_texts; /* char *; stored by number, see site_store_put_raw */
	GPtrArray *vm_ports;  /* site_port_t of the store, one for each VM */
	GArray *arrival_ages; /* int64_t, us, at leafs that had left */
	int held_arrivals;    /* at leafs that had asked for time */
	GHashTable *objects;  /* "kind/name" -> json_t */
	GQueue history;	      /* site_event_t */
	int64_t revision, oldest;
	int64_t era;	  /* rises by one when the store comes back as a copy */
	GHashTable *copy; /* "kind/name" -> json_t; NULL: none was taken */
	int64_t copy_revision;
	char mode[16];
	int shards, work_ms;
	int idle_routes; /* of each configuration, that nobody uses */
	int page_items;	 /* of a list; 0: all on one page */
	int page_events; /* of an answer to a watch */
	/* Leaf that drains after the first page of the next list; "": none */
	char drained_while_listed[64];
	GHashTable *runs; /* request id + service -> count */
	int run_count, unasked, twice;
	bool is_told; /* arrivals and runs are printed, a line each */
	unsigned seed;
};

/** A number of [0, 1]. */
double site_draw(site_t *site);
void site_respond(site_link_t *link, int status, const char *headers,
    const char *body, size_t length);
void site_destroy_link(site_link_t *link);
char *site_get_query(const char *target, const char *key); /* g_free; or NULL */

/* site_store.c */
void site_store_begin(site_t *site);
void site_store_handle(site_link_t *link);
void site_store_finish_delayed(site_link_t *link);
/** Answers if there is an event, or its time is over. */
void site_store_answer_watch(site_link_t *link);
/** spec NULL removes the object. */
void site_store_put(
    site_t *site, const char *kind, const char *name, json_t *spec);
/** The shards are SET-0 to SET-(shards-1). */
void site_store_put_configuration(
    site_t *site, int version, const char *set, int shards);
/** The spec is handed out as it is, though it may not be valid JSON. */
void site_store_put_raw(
    site_t *site, const char *kind, const char *name, const char *spec);
void site_store_put_leaf(
    site_t *site, const site_leaf_t *leaf, const char *state);
void site_store_set_mode(site_t *site, const char *mode);
/** Open connections that watch this kind go silent for good; new ones work. */
void site_store_silence_links(site_t *site, const char *kind);
void site_store_take_copy(site_t *site);
/** What was written after the copy is lost, and so are all connections. */
void site_store_return_to_copy(site_t *site);

/* site_leafs.c */
site_leaf_t *site_leafs_add(site_t *site, const char *id, const char *service,
    const char *address, const char *zone);
site_leaf_t *site_leafs_find(const site_t *site, const char *id);
void site_leafs_handle(site_link_t *link);
/** Begins what the fault says, of any port; false: it is another fault. */
bool site_leafs_begin_endless(site_link_t *link, const char *fault);
void site_leafs_continue_endless(site_link_t *link);
void site_leafs_finish(site_link_t *link); /* its work is done */
void site_leafs_start_queued(site_leaf_t *leaf);

#endif
