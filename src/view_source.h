/**
 * @file view_source.h
 * Decides where this VM reads the platform's state from: the store, or another
 * VM that reads the store. No sockets, no clock: callers pass now_us.
 *
 * Each availability zone has one entry in the store, which names the VM that
 * reads for the others, its reader. The entry is only a hint: two readers of a
 * zone cost some calls, and a zone without one is served by other zones'.
 */
#ifndef VIEW_SOURCE_H
#define VIEW_SOURCE_H

#include "plantainarch.h"

/** A zone's entry in the store. */
typedef struct reader_entry {
	char zone[NAME_BYTES]; /* the entry's name */
	char vm[NAME_BYTES];
	char address[ENDPOINT_BYTES]; /* for followers, IPv4:port; "": none */
	int64_t revision;	      /* of its last change in the store */
	int vm_count;		      /* VMs that it serves, itself included */
} reader_entry_t;

typedef enum view_mode {
	VIEW_SEARCHING, /* no source; looks for a reader */
	VIEW_FOLLOWING, /* reads from a reader */
	VIEW_DIRECT,	/* reads the store for itself alone */
	VIEW_READING	/* reads the store for its followers too */
} view_mode_t;

/** What the caller has to do at the store; one at a time. */
typedef enum view_task {
	VIEW_TASK_NONE,
	VIEW_TASK_LIST,	      /* list the readers; the list may be stale */
	VIEW_TASK_LIST_FRESH, /* the same, but the list must not be stale */
	VIEW_TASK_CLAIM,      /* make this VM the reader of its zone */
	VIEW_TASK_REPORT      /* write the number of VMs that it serves */
} view_task_t;

typedef enum view_write_result {
	VIEW_WRITE_DONE,
	VIEW_WRITE_CONFLICT, /* the entry has changed */
	VIEW_WRITE_FAILED    /* no answer, or refused by the store */
} view_write_result_t;

typedef struct view_source view_source_t;

typedef struct view_source_options {
	const char *id, *zone, *region;
	const char *address; /* for followers */
	GHashTable *regions; /* zone -> region, owned by the caller */
	double cores;	     /* VMs with more claim earlier */
	int64_t drain_us;    /* a drain must be known within this */
	int64_t apply_us;    /* a configuration must be known within this */
	uint64_t seed;
	void *log_context;
	log_fn_t log;
} view_source_options_t;

view_source_t *view_source_create(const view_source_options_t *options);
void view_source_destroy(view_source_t *source);
view_mode_t view_source_get_mode(const view_source_t *source);
const char *view_source_get_mode_name(view_mode_t mode);
/** Address of the reader that is followed; NULL in other modes. */
const char *view_source_get_reader(const view_source_t *source);
/** This VM's entry as known; its revision is 0 if the zone has none. */
const reader_entry_t *view_source_get_own_entry(const view_source_t *source);
/** VMs of the tier; 0: unknown. */
int view_source_get_vm_count(const view_source_t *source);

/** Interval of a reader's lists, and how long it waits for an answer. */
int64_t view_source_get_probe_us(const view_source_t *source);

/** Advances time; due_us is set to when to call again. */
view_task_t view_source_tick(
    view_source_t *source, int64_t now_us, int64_t *due_us);
/** The list of readers, from the store or from the reader. */
void view_source_set_readers(view_source_t *source, int64_t now_us,
    const reader_entry_t *entries, int count, bool is_from_store);
void view_source_fail_list(view_source_t *source, int64_t now_us);
/** The store came back from an older copy: no entry read before counts. */
void view_source_begin_epoch(view_source_t *source, int64_t now_us);
/** The task ended with an answer that tells nothing of this epoch. */
void view_source_drop_task(view_source_t *source, int64_t now_us);
/** This VM reads, but the store does not name it since it came back. */
bool view_source_is_claim_lost(const view_source_t *source);
/** Result of a claim or report; entry: as the store has it, or NULL. */
void view_source_handle_write(view_source_t *source, int64_t now_us,
    view_write_result_t result, const reader_entry_t *entry);
void view_source_handle_reader_answer(view_source_t *source, int64_t now_us);
/** is_refused: it answered that it cannot serve now; it may recover soon. */
void view_source_handle_reader_failure(
    view_source_t *source, int64_t now_us, bool is_refused);
/** Whether the feeds reach the store; in DIRECT and READING. */
void view_source_set_store_lost(
    view_source_t *source, int64_t now_us, bool is_lost);
void view_source_set_follower_count(view_source_t *source, int count);
/** Requests a list as soon as possible, to test the store. */
void view_source_request_list(view_source_t *source, int64_t now_us);

#endif
