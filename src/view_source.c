/**
 * @file view_source.c
 * Decides where this VM reads the platform's state from.
 *
 *   SEARCHING  --reader found--> FOLLOWING --it fails--> SEARCHING
 *   SEARCHING  --none for too long, store answers--> DIRECT
 *   any        --claimed the zone's entry--> READING
 *   READING    --entry lost, or the store is lost--> SEARCHING
 *
 * All delays are random within a range, because all VMs of a zone notice the
 * same event at the same time.
 */
#include <stdio.h>
#include <string.h>

#include "view_source.h"

#define LIST_INTERVAL_US       800000 /* while searching; plus up to as much */
#define PROBE_FRACTION	       (1.0 / 6) /* of drain_us or apply_us */
#define PROBE_MIN_US	       300000
#define READER_PROBE_US	       300000  /* of a lost store, by a reader */
#define REPORT_INTERVAL_US     5000000 /* of a reader */
#define FAILED_MIN_US	       150000  /* a failed reader is tried again */
#define FAILED_MAX_US	       1600000
#define START_PATIENCE_US      300000  /* of a fresh process; plus up to that */
#define NO_READER_PATIENCE_US  5000000 /* no zone has ever had a reader */
#define PATIENCE_FRACTION      0.125   /* of drain_us; plus up to twice that */
#define DIRECT_HOLD_US	       2000000 /* then readers are tried; plus random */
#define READER_STORE_LOST_US   1000000 /* without the store: stops reading */
#define CLAIM_DELAY_US	       500000  /* of a large VM, at most */
#define CLAIM_SMALL_DELAY_US   2000000 /* of a small VM; plus up to as much */
#define CLAIM_REFUSED_DELAY_US 1000000 /* added if the reader answers */
#define CLAIM_RETRY_US	       2000000 /* plus up to as much */
#define CLAIM_LIST_MAX_AGE_US  700000  /* older: list again before a claim */
#define LARGE_CORES	       0.25
#define COUNT_MIN_AGE_US       5000000	/* a new reader's followers attach */
#define COUNT_PEAK_US	       15000000 /* the highest count is kept for it */
#define TICK_MIN_US	       100000 /* between two timers that are overdue */
#define NEVER_US	       (INT64_MAX / 2)

typedef struct reader_state {
	reader_entry_t entry;
	int64_t failed_until_us, backoff_us; /* backoff 0: not failed */
	bool is_refusing;		     /* it answered, but cannot serve */
	bool is_retried;		     /* since it refused */
} reader_state_t;

struct view_source {
	view_source_options_t options;
	gsl_rng *random;
	view_mode_t mode;
	GArray *readers;	       /* reader_state_t, one for each zone */
	char current_zone[NAME_BYTES]; /* FOLLOWING: zone of the reader */
	reader_entry_t own;	       /* entry that would name this VM */
	bool are_readers_known, is_store_reachable, is_confirmed;
	bool needs_fresh_list; /* a stale one would not tell enough */
	bool is_claim_checked; /* READING: in this epoch */
	bool is_claim_lost;    /* READING: the entry is to be claimed again */
	bool has_list_failed;  /* the last one */
	view_task_t task;      /* in progress */
	int64_t listed_us, list_due_us;
	int64_t search_until_us; /* then DIRECT; 0: not searching */
	int64_t direct_until_us;
	int64_t claim_due_us; /* NEVER_US: the zone has a reader */
	int64_t store_lost_us, reading_since_us;
	int64_t report_due_us;
	int follower_count, reported_count;
	int peak_count;
	int64_t peak_until_us;
};

view_source_t *
view_source_create(const view_source_options_t *options)
{
	view_source_t *source = g_new0(view_source_t, 1);

	source->options = *options;
	source->random = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(source->random, (unsigned long)options->seed);
	source->readers = g_array_new(FALSE, TRUE, sizeof(reader_state_t));
	source->claim_due_us = NEVER_US;
	source->is_store_reachable = true;
	g_strlcpy(source->own.zone, options->zone, sizeof(source->own.zone));
	g_strlcpy(source->own.vm, options->id, sizeof(source->own.vm));
	g_strlcpy(
	    source->own.address, options->address, sizeof(source->own.address));
	return source;
}

void
view_source_destroy(view_source_t *source)
{
	g_array_unref(source->readers);
	gsl_rng_free(source->random);
	g_free(source);
}

view_mode_t
view_source_get_mode(const view_source_t *source)
{
	return source->mode;
}

const char *
view_source_get_mode_name(view_mode_t mode)
{
	static const char *const names[] = { "searching", "following", "direct",
		"reading" };

	return names[mode];
}

static int64_t
draw_us(view_source_t *source, int64_t max_us)
{
	return (int64_t)(gsl_rng_uniform(source->random) * (double)max_us);
}

static reader_state_t *
get_reader(const view_source_t *source, guint i)
{
	return &g_array_index(source->readers, reader_state_t, i);
}

static reader_state_t *
find_zone(const view_source_t *source, const char *zone)
{
	for (guint i = 0; i < source->readers->len; i++)
		if (strcmp(get_reader(source, i)->entry.zone, zone) == 0)
			return get_reader(source, i);
	return NULL;
}

static reader_state_t *
find_current(const view_source_t *source)
{
	return source->mode == VIEW_FOLLOWING
		   ? find_zone(source, source->current_zone)
		   : NULL;
}

/* An entry with a former address of this VM does not name it. */
static bool
is_self(const view_source_t *source, const reader_entry_t *entry)
{
	return strcmp(entry->vm, source->options.id) == 0 &&
	       strcmp(entry->address, source->options.address) == 0;
}

const char *
view_source_get_reader(const view_source_t *source)
{
	const reader_state_t *reader = find_current(source);

	return reader != NULL ? reader->entry.address : NULL;
}

const reader_entry_t *
view_source_get_own_entry(const view_source_t *source)
{
	return &source->own;
}

/* A reader that is cut off must notice before its followers' bounds end. */
int64_t
view_source_get_probe_us(const view_source_t *source)
{
	int64_t bound_us =
	    MIN(source->options.drain_us, source->options.apply_us);

	return MAX((int64_t)(PROBE_FRACTION * (double)bound_us), PROBE_MIN_US);
}

/* When to list again after a list, in the present mode. */
static int64_t
get_next_list_us(view_source_t *source, int64_t now_us)
{
	switch (source->mode) {
	case VIEW_SEARCHING:
		return now_us + LIST_INTERVAL_US +
		       draw_us(source, LIST_INTERVAL_US);
	case VIEW_READING:
		return now_us + view_source_get_probe_us(source);
	case VIEW_DIRECT:
		return source->direct_until_us;
	case VIEW_FOLLOWING:
		break;
	}
	return NEVER_US;
}

static void
set_mode(
    view_source_t *source, int64_t now_us, view_mode_t mode, const char *why)
{
	const reader_state_t *reader;
	char text[384];

	if (mode == source->mode && mode != VIEW_FOLLOWING)
		return;
	source->mode = mode;
	source->is_claim_lost = false;
	if (mode != VIEW_SEARCHING && mode != VIEW_FOLLOWING)
		source->search_until_us = 0;
	source->store_lost_us = 0;
	/* Attempts to follow must not postpone the list that would help. */
	if (mode == VIEW_SEARCHING)
		source->list_due_us =
		    MIN(source->list_due_us, get_next_list_us(source, now_us));
	else if (mode != VIEW_FOLLOWING)
		source->list_due_us = get_next_list_us(source, now_us);
	reader = find_current(source);
	snprintf(text, sizeof(text),
	    "\"mode\":\"%s\",\"reader\":\"%s\",\"address\":\"%s\","
	    "\"why\":\"%s\"",
	    view_source_get_mode_name(mode),
	    reader != NULL ? reader->entry.vm : "",
	    reader != NULL ? reader->entry.address : "", why);
	source->options.log(source->options.log_context, LOG_TIER_VIEW, text);
}

static int
get_distance(const view_source_t *source, const char *zone)
{
	const char *region = g_hash_table_lookup(source->options.regions, zone);

	if (strcmp(zone, source->options.zone) == 0)
		return 0;
	return region != NULL && strcmp(region, source->options.region) == 0
		   ? 1
		   : 2;
}

/* An entry of another writer may name no VM; it is there to be replaced. */
static bool
is_usable(const reader_entry_t *entry)
{
	return entry->address[0] != '\0';
}

/* The nearest reader that may be tried; equally near ones by hash. */
static reader_state_t *
choose_reader(const view_source_t *source, int64_t now_us)
{
	reader_state_t *best = NULL;
	int best_distance = 0;
	uint64_t best_hash = 0;

	for (guint i = 0; i < source->readers->len; i++) {
		reader_state_t *reader = get_reader(source, i);
		int distance = get_distance(source, reader->entry.zone);
		uint64_t hash = hash_pair(
		    hash_text(source->options.id), hash_text(reader->entry.vm));

		if (strcmp(reader->entry.vm, source->options.id) == 0 ||
		    !is_usable(&reader->entry) ||
		    now_us < reader->failed_until_us)
			continue;
		if (best != NULL &&
		    (distance > best_distance ||
			(distance == best_distance && hash < best_hash)))
			continue;
		best = reader;
		best_distance = distance;
		best_hash = hash;
	}
	return best;
}

static int64_t
draw_patience_us(view_source_t *source)
{
	int64_t base_us =
	    (int64_t)(PATIENCE_FRACTION * (double)source->options.drain_us);

	if (source->is_confirmed)
		return base_us + draw_us(source, 2 * base_us);
	if (source->readers->len == 0)
		return NO_READER_PATIENCE_US;
	return START_PATIENCE_US + draw_us(source, START_PATIENCE_US);
}

static void
follow(view_source_t *source, int64_t now_us, const reader_state_t *reader,
    const char *why)
{
	g_strlcpy(source->current_zone, reader->entry.zone,
	    sizeof(source->current_zone));
	set_mode(source, now_us, VIEW_FOLLOWING, why);
}

/* Follows the best reader, or searches until the patience ends. */
static void
search(view_source_t *source, int64_t now_us, const char *why)
{
	const reader_state_t *reader = choose_reader(source, now_us);

	if (source->search_until_us == 0)
		source->search_until_us = now_us + draw_patience_us(source);
	if (reader != NULL)
		follow(source, now_us, reader, why);
	else
		set_mode(source, now_us, VIEW_SEARCHING, why);
}

static void
begin_reading(view_source_t *source, int64_t now_us, const char *why)
{
	source->claim_due_us = NEVER_US;
	source->is_claim_checked = true;
	source->reading_since_us = now_us;
	source->report_due_us = now_us + REPORT_INTERVAL_US;
	source->reported_count = 0;
	set_mode(source, now_us, VIEW_READING, why);
}

/* ---- Readers ---- */

static void
set_reader(view_source_t *source, const reader_entry_t *entry)
{
	reader_state_t *reader = find_zone(source, entry->zone);
	reader_state_t added = { .entry = *entry };

	if (reader == NULL) {
		g_array_append_val(source->readers, added);
		return;
	}
	/* A stale list must not undo what a newer answer said. */
	if (entry->revision < reader->entry.revision)
		return;
	if (strcmp(reader->entry.vm, entry->vm) != 0 ||
	    strcmp(reader->entry.address, entry->address) != 0)
		reader->failed_until_us = reader->backoff_us = 0;
	reader->entry = *entry;
}

/*
 * A copy of the store may lack this reader's claim, or name a reader before it,
 * which may be dead. This VM claims the entry again and goes on reading.
 */
static bool
recover_claim(view_source_t *source, int64_t now_us, const reader_state_t *zone)
{
	bool is_own = zone != NULL && is_self(source, &zone->entry);

	if (source->mode != VIEW_READING || source->is_claim_checked)
		return false;
	source->is_claim_checked = true;
	source->is_claim_lost = !is_own;
	if (source->is_claim_lost)
		source->claim_due_us = now_us;
	return source->is_claim_lost;
}

/* Takes up or gives up the zone's entry, as it says. */
static void
apply_own_entry(view_source_t *source, int64_t now_us, bool is_from_store)
{
	const reader_state_t *zone = find_zone(source, source->options.zone);

	if (zone != NULL)
		source->own.revision = zone->entry.revision;
	if (is_from_store && recover_claim(source, now_us, zone))
		return;
	if (zone == NULL)
		return;
	if (is_self(source, &zone->entry)) {
		source->is_claim_lost = false;
		if (source->mode != VIEW_READING && is_from_store)
			begin_reading(
			    source, now_us, "the zone's entry names this VM");
	} else if (source->mode == VIEW_READING)
		search(source, now_us,
		    is_usable(&zone->entry) ? "another VM reads for the zone"
					    : "the zone's entry names no VM");
}

/* A reader of the own zone is preferred as soon as there is a sound one. */
static void
return_to_own_zone(view_source_t *source, int64_t now_us)
{
	const reader_state_t *zone = find_zone(source, source->options.zone);

	if (source->mode != VIEW_FOLLOWING || zone == NULL ||
	    !is_usable(&zone->entry) || zone->backoff_us > 0 ||
	    is_self(source, &zone->entry) ||
	    strcmp(source->current_zone, source->options.zone) == 0)
		return;
	follow(source, now_us, zone, "the zone has a reader again");
}

static void
update_count(view_source_t *source, int64_t now_us)
{
	int count = 0;

	for (guint i = 0; i < source->readers->len; i++) {
		const reader_entry_t *entry = &get_reader(source, i)->entry;

		if (!is_usable(entry))
			continue;
		if (source->mode == VIEW_READING && is_self(source, entry))
			count += source->follower_count + 1;
		else if (entry->vm_count <= 0)
			return; /* not reported yet */
		else
			count += entry->vm_count;
	}
	if (source->mode == VIEW_READING &&
	    now_us - source->reading_since_us < COUNT_MIN_AGE_US)
		return;
	if (count >= source->peak_count || now_us >= source->peak_until_us) {
		source->peak_count = count;
		source->peak_until_us = now_us + COUNT_PEAK_US;
	}
}

int
view_source_get_vm_count(const view_source_t *source)
{
	return source->peak_count;
}

/* A list that is not stale also tells which entries are gone. */
static void
remove_unlisted(view_source_t *source, const reader_entry_t *entries, int count)
{
	for (guint i = source->readers->len; i-- > 0;) {
		const reader_entry_t *entry = &get_reader(source, i)->entry;
		bool is_listed = false;

		for (int j = 0; j < count; j++)
			is_listed = is_listed ||
				    strcmp(entries[j].zone, entry->zone) == 0;
		if (is_listed)
			continue;
		if (strcmp(entry->zone, source->options.zone) == 0)
			source->own.revision = 0;
		g_array_remove_index(source->readers, i);
	}
}

void
view_source_set_readers(view_source_t *source, int64_t now_us,
    const reader_entry_t *entries, int count, bool is_from_store)
{
	if (is_from_store && source->task == VIEW_TASK_LIST_FRESH)
		remove_unlisted(source, entries, count);
	for (int i = 0; i < count; i++)
		set_reader(source, &entries[i]);
	source->are_readers_known = true;
	if (is_from_store) {
		/* Readers need some time too after an outage. */
		if (source->has_list_failed)
			source->search_until_us = 0;
		source->has_list_failed = false;
		if (source->task == VIEW_TASK_LIST_FRESH)
			source->needs_fresh_list = false;
		source->task = VIEW_TASK_NONE;
		source->is_store_reachable = true;
		source->listed_us = now_us;
		source->list_due_us = get_next_list_us(source, now_us);
	}
	apply_own_entry(source, now_us, is_from_store);
	if (source->mode == VIEW_SEARCHING)
		search(source, now_us, "readers are known");
	else if (source->mode == VIEW_FOLLOWING && find_current(source) == NULL)
		search(source, now_us, "the reader's entry was deleted");
	else if (source->mode == VIEW_DIRECT &&
		 now_us >= source->direct_until_us) {
		source->direct_until_us =
		    now_us + DIRECT_HOLD_US + draw_us(source, DIRECT_HOLD_US);
		if (choose_reader(source, now_us) != NULL)
			search(source, now_us, "readers may be back");
	}
	return_to_own_zone(source, now_us);
	update_count(source, now_us);
}

void
view_source_fail_list(view_source_t *source, int64_t now_us)
{
	source->task = VIEW_TASK_NONE;
	source->is_store_reachable = false;
	source->has_list_failed = true;
	source->needs_fresh_list = false;
	source->list_due_us =
	    source->mode == VIEW_READING
		? now_us + READER_PROBE_US
		: now_us + LIST_INTERVAL_US + draw_us(source, LIST_INTERVAL_US);
}

void
view_source_begin_epoch(view_source_t *source, int64_t now_us)
{
	for (guint i = 0; i < source->readers->len; i++)
		get_reader(source, i)->entry.revision = 0;
	source->own.revision = 0;
	source->reported_count = 0;
	source->needs_fresh_list = true;
	source->is_claim_checked = source->is_claim_lost = false;
	if (source->mode != VIEW_FOLLOWING)
		source->list_due_us = now_us;
}

void
view_source_drop_task(view_source_t *source, int64_t now_us)
{
	source->task = VIEW_TASK_NONE;
	source->needs_fresh_list = true;
	if (source->mode != VIEW_FOLLOWING)
		source->list_due_us = now_us + TICK_MIN_US;
}

bool
view_source_is_claim_lost(const view_source_t *source)
{
	return source->is_claim_lost;
}

void
view_source_handle_write(view_source_t *source, int64_t now_us,
    view_write_result_t result, const reader_entry_t *entry)
{
	source->task = VIEW_TASK_NONE;
	source->is_store_reachable = result != VIEW_WRITE_FAILED;
	if (result == VIEW_WRITE_FAILED || entry == NULL) {
		/* A write without an answer may have been done. */
		source->needs_fresh_list = true;
		source->list_due_us = now_us;
		if (source->claim_due_us <= now_us)
			source->claim_due_us = now_us + CLAIM_RETRY_US +
					       draw_us(source, CLAIM_RETRY_US);
		return;
	}
	source->is_claim_lost = false;
	set_reader(source, entry);
	apply_own_entry(source, now_us, true);
	source->claim_due_us = NEVER_US;
	if (source->mode == VIEW_SEARCHING)
		search(source, now_us, "another VM claimed the zone");
	return_to_own_zone(source, now_us);
}

void
view_source_handle_reader_answer(view_source_t *source, int64_t now_us)
{
	reader_state_t *reader = find_current(source);

	if (reader != NULL)
		*reader = (reader_state_t){ .entry = reader->entry };
	if (source->search_until_us != 0) {
		source->list_due_us = NEVER_US;
		source->needs_fresh_list = false;
	}
	source->search_until_us = 0;
	source->is_confirmed = true;
}

void
view_source_handle_reader_failure(
    view_source_t *source, int64_t now_us, bool is_refused)
{
	reader_state_t *reader = find_current(source);

	if (reader == NULL)
		return;
	reader->backoff_us =
	    CLAMP(2 * reader->backoff_us, FAILED_MIN_US, FAILED_MAX_US);
	reader->failed_until_us = now_us + reader->backoff_us;
	reader->is_refusing = is_refused;
	search(source, now_us, "the reader failed");
}

void
view_source_set_store_lost(view_source_t *source, int64_t now_us, bool is_lost)
{
	if (source->mode != VIEW_READING && source->mode != VIEW_DIRECT)
		return;
	if (!is_lost) {
		source->store_lost_us = 0;
		source->is_store_reachable = true;
		source->is_confirmed = true;
		return;
	}
	source->is_store_reachable = false;
	if (source->store_lost_us == 0)
		source->store_lost_us = now_us;
	if (source->mode == VIEW_DIRECT)
		search(source, now_us, "the store does not answer");
}

void
view_source_set_follower_count(view_source_t *source, int count)
{
	source->follower_count = count;
}

void
view_source_request_list(view_source_t *source, int64_t now_us)
{
	source->list_due_us = MIN(source->list_due_us, now_us);
}

/* ---- Time ---- */

/* Whether a reader of this zone other than this VM is thought to be sound. */
static bool
is_zone_served(const view_source_t *source)
{
	const reader_state_t *zone = find_zone(source, source->options.zone);

	return source->mode == VIEW_READING ||
	       (zone != NULL && is_usable(&zone->entry) &&
		   zone->backoff_us == 0 && !is_self(source, &zone->entry));
}

/* A reader that answers may recover: it keeps its entry a little longer. */
static int64_t
draw_claim_delay_us(view_source_t *source)
{
	const reader_state_t *zone = find_zone(source, source->options.zone);
	int64_t delay_us =
	    zone != NULL && zone->is_refusing ? CLAIM_REFUSED_DELAY_US : 0;

	if (source->options.cores >= LARGE_CORES)
		return delay_us + draw_us(source, CLAIM_DELAY_US);
	return delay_us + CLAIM_SMALL_DELAY_US +
	       draw_us(source, CLAIM_SMALL_DELAY_US);
}

static void
schedule_claim(view_source_t *source, int64_t now_us)
{
	if (!source->are_readers_known || source->is_claim_lost)
		return;
	if (is_zone_served(source))
		source->claim_due_us = NEVER_US;
	else if (source->claim_due_us == NEVER_US)
		source->claim_due_us = now_us + draw_claim_delay_us(source);
}

static void
run_timeouts(view_source_t *source, int64_t now_us)
{
	if (source->mode == VIEW_READING && source->store_lost_us != 0 &&
	    now_us - source->store_lost_us > READER_STORE_LOST_US &&
	    choose_reader(source, now_us) != NULL)
		search(source, now_us, "the store does not answer");
	if (source->mode != VIEW_SEARCHING || !source->are_readers_known)
		return;
	if (choose_reader(source, now_us) != NULL)
		search(source, now_us, "a reader is tried again");
	else if (now_us >= source->search_until_us &&
		 source->is_store_reachable &&
		 source->list_due_us > source->search_until_us &&
		 source->listed_us < source->search_until_us) {
		source->needs_fresh_list = true; /* cheaper than DIRECT */
		source->list_due_us = now_us;
	} else if (now_us >= source->search_until_us &&
		   source->is_store_reachable &&
		   source->task == VIEW_TASK_NONE &&
		   source->listed_us >= source->search_until_us) {
		source->direct_until_us =
		    now_us + DIRECT_HOLD_US + draw_us(source, DIRECT_HOLD_US);
		set_mode(source, now_us, VIEW_DIRECT, "no reader answers");
	}
}

/* A claim needs a recent list; one that failed is not repeated at once. */
static bool
is_list_due(const view_source_t *source, int64_t now_us)
{
	return now_us >= source->list_due_us ||
	       (now_us >= source->claim_due_us &&
		   source->list_due_us == NEVER_US &&
		   now_us - source->listed_us > CLAIM_LIST_MAX_AGE_US);
}

/* Asks a reader that refused once more, before its entry is claimed. */
static void
retry_refusing_reader(view_source_t *source, int64_t now_us)
{
	reader_state_t *zone = find_zone(source, source->options.zone);

	if (now_us < source->claim_due_us || zone == NULL ||
	    !zone->is_refusing || zone->is_retried ||
	    is_self(source, &zone->entry))
		return;
	zone->is_retried = true;
	source->claim_due_us = now_us + CLAIM_DELAY_US;
	follow(source, now_us, zone, "the zone's reader is asked again");
}

static view_task_t
choose_task(view_source_t *source, int64_t now_us)
{
	if (is_list_due(source, now_us))
		return source->needs_fresh_list ? VIEW_TASK_LIST_FRESH
						: VIEW_TASK_LIST;
	if (now_us >= source->claim_due_us && source->is_store_reachable)
		return VIEW_TASK_CLAIM;
	if (source->mode == VIEW_READING && now_us >= source->report_due_us) {
		source->report_due_us = now_us + REPORT_INTERVAL_US;
		update_count(source, now_us);
		if (source->reported_count != source->follower_count + 1) {
			source->reported_count = source->follower_count + 1;
			source->own.vm_count = source->reported_count;
			return VIEW_TASK_REPORT;
		}
	}
	return VIEW_TASK_NONE;
}

static int64_t
get_due_us(const view_source_t *source, int64_t now_us)
{
	int64_t due_us = NEVER_US;

	if (source->task == VIEW_TASK_NONE) {
		if (source->mode == VIEW_READING)
			due_us = source->report_due_us;
		due_us = MIN(due_us, source->list_due_us);
		due_us = MIN(due_us, source->claim_due_us);
	}
	if (source->mode == VIEW_READING && source->store_lost_us != 0)
		due_us = MIN(
		    due_us, source->store_lost_us + READER_STORE_LOST_US + 1);
	if (source->mode == VIEW_SEARCHING) {
		due_us = MIN(due_us, source->search_until_us);
		for (guint i = 0; i < source->readers->len; i++)
			if (!is_self(source, &get_reader(source, i)->entry))
				due_us = MIN(due_us,
				    get_reader(source, i)->failed_until_us);
	}
	/* A time in the past is waited for by an event, not by a timer. */
	return MAX(due_us, now_us + TICK_MIN_US);
}

view_task_t
view_source_tick(view_source_t *source, int64_t now_us, int64_t *due_us)
{
	view_task_t task = VIEW_TASK_NONE;

	run_timeouts(source, now_us);
	schedule_claim(source, now_us);
	retry_refusing_reader(source, now_us);
	if (source->task == VIEW_TASK_NONE) {
		task = choose_task(source, now_us);
		source->task = task;
	}
	*due_us = get_due_us(source, now_us);
	return task;
}
