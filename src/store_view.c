/**
 * @file store_view.c
 * What this VM knows of the platform: the configuration and the leaves.
 */
#include "store_view.h"
#include "departed.h"

#define OUTAGE_VANISH_US      2500000 /* lost entries are restored by then */
#define MAX_REMOVAL_LOG_LINES 4	      /* of one page */
#define VANISH_DRAIN_FRACTION 0.4     /* of drain_us, without an outage */
/* Of drain_us, for requests that wait for a connection to the leaf. */
#define DRAIN_MARGIN_FRACTION (1.0 / 6)
/* A store without the leaf's beats removes its entry by then. */
#define COPY_HOLD_US 10000000

typedef struct leaf_record {
	leaf_entry_t entry;
	int64_t removal_us; /* dropped then; 0: its entry exists */
	guint added_page;   /* page that it was first seen in */
	int64_t epoch;	    /* that the entry was read in */
	/** Not used before: an older copy brought it back; 0: usable. */
	int64_t held_until_us;
} leaf_record_t;

struct store_view {
	int64_t drain_us;
	route_table_t *table;
	GHashTable *leaves; /* id -> leaf_record_t */
	departed_t *departed;
	int64_t epoch, epoch_us; /* when it was noticed; 0: no return yet */
	int64_t next_removal_us; /* or end of a hold */
	guint page_count;
	int removal_lines; /* logged for the present page */
	bool is_changed;
};

store_view_t *
store_view_create(int64_t drain_us)
{
	store_view_t *view = g_new0(store_view_t, 1);

	view->drain_us = drain_us;
	view->leaves =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	view->departed = departed_create();
	view->next_removal_us = INT64_MAX;
	return view;
}

void
store_view_destroy(store_view_t *view)
{
	route_table_release(view->table);
	g_hash_table_unref(view->leaves);
	departed_destroy(view->departed);
	g_free(view);
}

bool
store_view_set_table(store_view_t *view, route_table_t *table)
{
	if (!route_table_is_newer(table, view->table)) {
		if (table->version < view->table->version)
			log_fields(LOG_TIER_STALE,
			    "\"version\":%" G_GUINT64_FORMAT
			    ",\"in_force\":%" G_GUINT64_FORMAT,
			    table->version, view->table->version);
		route_table_release(table);
		return false;
	}
	route_table_release(view->table);
	view->table = table;
	view->is_changed = true;
	metric_set(METRIC_TIER_CONFIGURATION_VERSION, (int64_t)table->version);
	return true;
}

void
store_view_begin_page(store_view_t *view)
{
	view->page_count++;
	view->removal_lines = 0;
}

void
store_view_begin_epoch(store_view_t *view, int64_t epoch, int64_t now_us)
{
	if (view->epoch != 0)
		view->epoch_us = now_us;
	view->epoch = epoch;
}

static void
log_held(
    const leaf_entry_t *entry, const departure_t *departure, int64_t held_us)
{
	log_fields(LOG_TIER_ENTRY_HELD,
	    "\"leaf\":\"%s\",\"service\":\"%s\",\"drained\":%s,"
	    "\"epoch\":%" G_GINT64_FORMAT ",\"revision\":%" G_GINT64_FORMAT
	    ",\"held_us\":%" G_GINT64_FORMAT,
	    entry->id, entry->service, departure->is_drained ? "true" : "false",
	    departure->epoch, entry->revision, held_us);
}

/*
 * The entry says that a leaf is ready that had gone in an earlier epoch. One
 * that drained stays out. One that was removed may live: it is believed when
 * its entry was written since, or is still there after some time.
 */
static void
check_departure(const store_view_t *view, leaf_record_t *record, int64_t now_us)
{
	const departure_t *departure = departed_find(
	    view->departed, record->entry.id, record->entry.started_ms);
	int64_t held_until_us = view->epoch_us + COPY_HOLD_US;

	record->held_until_us = 0;
	if (departure == NULL || record->entry.is_draining)
		return;
	if (departure->epoch == view->epoch) {
		departed_forget(view->departed, record->entry.id);
		return;
	}
	if (departure->is_drained) {
		log_held(&record->entry, departure, 0);
		record->entry.is_draining = true;
	} else if (record->entry.revision <= departure->revision &&
		   now_us < held_until_us) {
		log_held(&record->entry, departure, held_until_us - now_us);
		record->held_until_us = held_until_us;
	} else
		departed_forget(view->departed, record->entry.id);
}

/* A copy may name the lifetime before the one that is known. */
static bool
is_earlier_lifetime(
    const leaf_record_t *record, const leaf_entry_t *entry, int64_t epoch)
{
	return record->epoch != epoch && entry->started_ms != 0 &&
	       entry->started_ms < record->entry.started_ms;
}

bool
store_view_set_leaf(
    store_view_t *view, const leaf_entry_t *entry, int64_t now_us)
{
	leaf_record_t *record = g_hash_table_lookup(view->leaves, entry->id);

	if (record != NULL && is_earlier_lifetime(record, entry, view->epoch))
		return false;
	if (record == NULL) {
		record = g_new0(leaf_record_t, 1);
		record->added_page = view->page_count;
		record->entry = *entry;
		g_hash_table_insert(view->leaves, record->entry.id, record);
	}
	record->entry = *entry;
	record->epoch = view->epoch;
	record->removal_us = 0;
	check_departure(view, record, now_us);
	if (record->held_until_us != 0)
		view->next_removal_us =
		    MIN(view->next_removal_us, record->held_until_us);
	if (entry->is_draining)
		departed_put(view->departed, entry, true, view->epoch);
	view->is_changed = true;
	return true;
}

/*
 * A leaf whose entry was removed stays usable as a last resort for some time:
 * an outage that this VM did not notice may have removed the entry. The time
 * ends within drain_us of the removal, which may have happened long before this
 * VM learned of it. After an outage of the store, a living leaf restores its
 * entry within OUTAGE_VANISH_US.
 */
static int64_t
get_grace_end_us(const store_view_t *view, const entry_removal_t *removal)
{
	double drain_us = (double)view->drain_us;

	if (removal->is_after_outage)
		return removal->now_us + OUTAGE_VANISH_US;
	return MIN(
	    removal->now_us + (int64_t)(drain_us * VANISH_DRAIN_FRACTION),
	    removal->earliest_us +
		(int64_t)(drain_us * (1.0 - DRAIN_MARGIN_FRACTION)));
}

static void
log_removal(store_view_t *view, const entry_removal_t *removal,
    const leaf_record_t *record)
{
	if (++view->removal_lines > MAX_REMOVAL_LOG_LINES)
		return;
	log_fields(LOG_TIER_ENTRY_REMOVED,
	    "\"leaf\":\"%s\",\"service\":\"%s\",\"age_us\":%" G_GINT64_FORMAT
	    ",\"grace_us\":%" G_GINT64_FORMAT ",\"after_outage\":%s",
	    record->entry.id, record->entry.service,
	    removal->now_us - removal->earliest_us,
	    MAX(record->removal_us - removal->now_us, 0),
	    removal->is_after_outage ? "true" : "false");
}

/* One that came and went within one page was gone before this VM knew of it. */
static void
remove_entry(
    store_view_t *view, const entry_removal_t *removal, leaf_record_t *record)
{
	if (record->removal_us != 0)
		return;
	departed_put(view->departed, &record->entry, record->entry.is_draining,
	    view->epoch);
	record->entry.is_entry_missing = true;
	record->removal_us =
	    record->added_page == view->page_count || record->held_until_us != 0
		? removal->now_us
		: get_grace_end_us(view, removal);
	view->next_removal_us = MIN(view->next_removal_us, record->removal_us);
	view->is_changed = true;
	log_removal(view, removal, record);
}

void
store_view_remove_entry(
    store_view_t *view, const entry_removal_t *removal, const char *id)
{
	leaf_record_t *record = g_hash_table_lookup(view->leaves, id);

	if (record != NULL)
		remove_entry(view, removal, record);
}

void
store_view_keep_entries(
    store_view_t *view, const entry_removal_t *removal, GHashTable *ids)
{
	GHashTableIter iter;
	gpointer id, record;

	g_hash_table_iter_init(&iter, view->leaves);
	while (g_hash_table_iter_next(&iter, &id, &record))
		if (!g_hash_table_contains(ids, id))
			remove_entry(view, removal, record);
}

void
store_view_drop_leaf(store_view_t *view, const char *id)
{
	if (g_hash_table_remove(view->leaves, id))
		view->is_changed = true;
}

int64_t
store_view_expire(store_view_t *view, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	if (now_us < view->next_removal_us)
		return view->next_removal_us;
	view->next_removal_us = INT64_MAX;
	g_hash_table_iter_init(&iter, view->leaves);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		leaf_record_t *record = value;

		if (record->held_until_us != 0 &&
		    now_us >= record->held_until_us) {
			record->held_until_us = 0;
			view->is_changed = true;
		} else if (record->held_until_us != 0)
			view->next_removal_us =
			    MIN(view->next_removal_us, record->held_until_us);
		if (record->removal_us == 0)
			continue;
		if (now_us >= record->removal_us) {
			g_hash_table_iter_remove(&iter);
			view->is_changed = true;
		} else
			view->next_removal_us =
			    MIN(view->next_removal_us, record->removal_us);
	}
	return view->next_removal_us;
}

bool
store_view_is_changed(const store_view_t *view)
{
	return view->is_changed;
}

void
store_view_mark_changed(store_view_t *view)
{
	view->is_changed = true;
}

directory_t *
store_view_build(store_view_t *view, int vm_count)
{
	directory_t *directory;
	GHashTableIter iter;
	gpointer value;

	view->is_changed = false;
	if (view->table == NULL)
		return NULL;
	directory = directory_create(view->table, vm_count);
	g_hash_table_iter_init(&iter, view->leaves);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const leaf_record_t *record = value;

		if (record->held_until_us == 0)
			g_array_append_val(directory->leaves, record->entry);
	}
	return directory;
}
