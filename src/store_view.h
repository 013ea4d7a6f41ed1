/**
 * @file store_view.h
 * What this VM knows of the platform: the configuration and the leaves, as
 * read from the store or from another VM. Builds the directories.
 */
#ifndef STORE_VIEW_H
#define STORE_VIEW_H

#include "tier.h"

typedef struct store_view store_view_t;

/** What this VM knows of the removal of an entry. */
typedef struct entry_removal {
	int64_t now_us;
	/**
	 * The store removed it no earlier: the view that still held it was
	 * complete then.
	 */
	int64_t earliest_us;
	/** The store itself was unreachable: the entry may have expired. */
	bool is_after_outage;
} entry_removal_t;

store_view_t *store_view_create(int64_t drain_us);
void store_view_destroy(store_view_t *view);
/** Takes the table. False: it is not newer than the one in force. */
bool store_view_set_table(store_view_t *view, route_table_t *table);
/**
 * The store came back from an older copy. What is known of a leaf's lifetime
 * outlives the epoch: a drained one is not used again, one that was removed
 * only if its entry was written since or is still there after some time.
 */
void store_view_begin_epoch(store_view_t *view, int64_t epoch, int64_t now_us);
/** Call before the objects of each page. */
void store_view_begin_page(store_view_t *view);
/** False: the entry is of an earlier lifetime than the one known. */
bool store_view_set_leaf(
    store_view_t *view, const leaf_entry_t *entry, int64_t now_us);
void store_view_remove_entry(
    store_view_t *view, const entry_removal_t *removal, const char *id);
/** Removes the entries whose ids are not in the set of a complete list. */
void store_view_keep_entries(
    store_view_t *view, const entry_removal_t *removal, GHashTable *ids);
/** The entry is invalid: the leaf is not used. */
void store_view_drop_leaf(store_view_t *view, const char *id);
/** Drops leaves whose grace time is over; returns when to call again. */
int64_t store_view_expire(store_view_t *view, int64_t now_us);
/** Whether it has changed since the last directory was built. */
bool store_view_is_changed(const store_view_t *view);
void store_view_mark_changed(store_view_t *view);
/** Returns NULL until a configuration is known. */
directory_t *store_view_build(store_view_t *view, int vm_count);

#endif
