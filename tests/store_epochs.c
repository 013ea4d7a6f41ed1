/**
 * @file store_epochs.c
 * Guards against a view that mixes what the store said before and after it came
 * back from an older copy: revisions compared across epochs, and leaves in use
 * again that had drained or gone.
 */
#include <stdio.h>
#include <string.h>

#include "feed_position.h"
#include "store_view.h"

#define SECOND_US 1000000
#define RETURN_US (100 * (int64_t)SECOND_US)
#define BORN_MS	  5000

/* ---- Positions ---- */

static int
check_position(void)
{
	static const struct epoch_text {
		const char *text;
		int64_t epoch;
	} texts[] = { { "1", 1 }, { "42", 42 }, { NULL, 0 }, { "", 0 },
		{ "-1", 0 }, { "+1", 0 }, { "1x", 0 }, { "one", 0 },
		{ "0x10", 0 }, { "99999999999999999999", 0 },
		{ "9223372036854775807", INT64_MAX } };
	feed_position_t position = { 0 };
	int errors = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		errors +=
		    feed_position_parse_epoch(texts[i].text) != texts[i].epoch;
	errors += feed_position_compare_epoch(2, 0) != EPOCH_SAME;
	errors += feed_position_compare_epoch(2, 2) != EPOCH_SAME;
	errors += feed_position_compare_epoch(2, 3) != EPOCH_NEWER;
	errors += feed_position_compare_epoch(3, 2) != EPOCH_OLDER;
	feed_position_set_list(&position, 100, 7);
	feed_position_advance(&position, 140);
	feed_position_advance(&position, 120); /* a late answer */
	errors += position.revision != 140 || !position.is_listed;
	feed_position_set_list(&position, 150, 9); /* beside a watch */
	errors += position.revision != 140 || position.complete_us != 7;
	/* The copy is at revision 110, which is lower. */
	feed_position_begin_epoch(&position, 2);
	errors += position.is_listed || position.revision != 0;
	feed_position_set_list(&position, 110, 11);
	feed_position_advance(&position, 112);
	errors += position.revision != 112 || position.complete_us != 11;
	/* Three changes of other feeds are behind 112, one of this may be. */
	feed_position_explain(&position, 112, 115, 3);
	errors += feed_position_get_unchanged(&position) != 115;
	feed_position_explain(&position, 115, 118, 2);
	feed_position_explain(&position, 116, 118, 2); /* 116 is not known */
	errors += feed_position_get_unchanged(&position) != 115 ||
		  position.revision != 112;
	feed_position_begin_epoch(&position, 3);
	errors += feed_position_get_unchanged(&position) != 0;
	printf("positions: %s\n", errors == 0 ? "ok" : "FAIL");
	return errors;
}

/* ---- Leaves: what was known, and what the copy says ---- */

typedef enum known_state {
	KNOWN_READY,
	KNOWN_DRAINING,
	KNOWN_REMOVED,	  /* by its entry, which had said "ready" */
	KNOWN_READY_AGAIN /* drained, then ready again in the same epoch */
} known_state_t;

typedef enum copy_entry {
	COPY_NONE,
	COPY_READY,    /* as it was written before */
	COPY_DRAINING, /* the same */
	COPY_EARLIER,  /* ready, of the lifetime before */
	WRITTEN_READY, /* by the leaf, since the store came back */
	WRITTEN_LATER  /* ready, of a new lifetime */
} copy_entry_t;

static const struct leaf_case {
	known_state_t known;
	copy_entry_t copy;
	bool is_used, is_used_late; /* at once, and after the hold */
} leaf_cases[] = {
	{ KNOWN_READY, COPY_READY, true, true },
	{ KNOWN_READY, COPY_DRAINING, false, false },
	{ KNOWN_READY, COPY_NONE, true, false },
	{ KNOWN_READY, COPY_EARLIER, true, false },
	{ KNOWN_READY, WRITTEN_READY, true, true },
	{ KNOWN_READY, WRITTEN_LATER, true, true },
	{ KNOWN_DRAINING, COPY_READY, false, false },
	{ KNOWN_DRAINING, COPY_DRAINING, false, false },
	{ KNOWN_DRAINING, COPY_NONE, false, false },
	{ KNOWN_DRAINING, COPY_EARLIER, false, false },
	{ KNOWN_DRAINING, WRITTEN_READY, false, false },
	{ KNOWN_DRAINING, WRITTEN_LATER, true, true },
	{ KNOWN_REMOVED, COPY_READY, false, true },
	{ KNOWN_REMOVED, COPY_DRAINING, false, false },
	{ KNOWN_REMOVED, COPY_NONE, false, false },
	{ KNOWN_REMOVED, WRITTEN_READY, true, true },
	{ KNOWN_REMOVED, WRITTEN_LATER, true, true },
	{ KNOWN_READY_AGAIN, COPY_READY, true, true },
};

/* Whether the leaf may get requests. */
static bool
is_used(store_view_t *view, int64_t now_us)
{
	directory_t *directory;
	bool is_found = false;

	store_view_expire(view, now_us);
	directory = store_view_build(view, 1);
	for (guint i = 0; i < directory->leaves->len; i++)
		is_found |= !g_array_index(directory->leaves, leaf_entry_t, i)
				 .is_draining;
	directory_destroy(directory);
	return is_found;
}

static void
set_leaf(store_view_t *view, GHashTable *listed, int64_t started_ms,
    int64_t revision, bool is_draining, int64_t now_us)
{
	leaf_entry_t entry = { .id = "i-1",
		.service = "s",
		.slots = 2,
		.started_ms = started_ms,
		.revision = revision,
		.is_draining = is_draining };

	if (store_view_set_leaf(view, &entry, now_us))
		g_hash_table_add(listed, "i-1");
}

static void
begin_known(store_view_t *view, GHashTable *listed, known_state_t known)
{
	int64_t now_us = RETURN_US - 20 * (int64_t)SECOND_US;
	entry_removal_t removal = { .now_us = now_us, .earliest_us = now_us };

	set_leaf(view, listed, BORN_MS, 100, false, now_us);
	store_view_begin_page(view);
	if (known == KNOWN_DRAINING || known == KNOWN_READY_AGAIN)
		set_leaf(view, listed, BORN_MS, 120, true, now_us);
	if (known == KNOWN_READY_AGAIN)
		set_leaf(view, listed, BORN_MS, 130, false, now_us);
	if (known == KNOWN_REMOVED)
		store_view_remove_entry(view, &removal, "i-1");
}

static void
list_copy(store_view_t *view, GHashTable *listed, copy_entry_t copy)
{
	entry_removal_t removal = { .now_us = RETURN_US,
		.earliest_us = RETURN_US,
		.is_after_outage = true };

	switch (copy) {
	case COPY_NONE:
		break;
	case COPY_READY:
	case COPY_DRAINING:
		set_leaf(view, listed, BORN_MS, 100, copy == COPY_DRAINING,
		    RETURN_US);
		break;
	case COPY_EARLIER:
		set_leaf(view, listed, BORN_MS - 1, 90, false, RETURN_US);
		break;
	case WRITTEN_READY:
		set_leaf(view, listed, BORN_MS, 111, false, RETURN_US);
		break;
	case WRITTEN_LATER:
		set_leaf(view, listed, BORN_MS + 1, 111, false, RETURN_US);
		break;
	}
	store_view_keep_entries(view, &removal, listed);
}

static int
check_leaf(const struct leaf_case *each)
{
	store_view_t *view = store_view_create(3 * (int64_t)SECOND_US);
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	bool now, late;

	store_view_set_table(view, route_table_create(1));
	store_view_begin_epoch(view, 1, 0);
	store_view_begin_page(view);
	begin_known(view, listed, each->known);
	store_view_expire(view, RETURN_US);
	store_view_begin_epoch(view, 2, RETURN_US);
	store_view_begin_page(view);
	g_hash_table_remove_all(listed);
	list_copy(view, listed, each->copy);
	now = is_used(view, RETURN_US);
	late = is_used(view, RETURN_US + 11 * (int64_t)SECOND_US);
	g_hash_table_unref(listed);
	store_view_destroy(view);
	if (now == each->is_used && late == each->is_used_late)
		return 0;
	printf("known %d, copy %d: used %d, later %d\n", each->known,
	    each->copy, now, late);
	return 1;
}

/* The configuration in force never goes back; of equals the later counts. */
static int
check_configuration(void)
{
	store_view_t *view = store_view_create(3 * (int64_t)SECOND_US);
	route_table_t *table = route_table_create(7), *older, *again;
	int errors = 0;

	table->epoch = 1;
	errors += !store_view_set_table(view, table);
	older = route_table_create(6);
	older->epoch = 2;
	errors += store_view_set_table(view, older);
	again = route_table_create(7);
	again->epoch = 2;
	errors += !store_view_set_table(view, again);
	again = route_table_create(7);
	again->epoch = 2;
	errors += store_view_set_table(view, again);
	store_view_destroy(view);
	printf("configurations: %s\n", errors == 0 ? "ok" : "FAIL");
	return errors;
}

int
main(void)
{
	int errors = check_position() + check_configuration();

	log_begin("warning", false);
	for (size_t i = 0; i < G_N_ELEMENTS(leaf_cases); i++)
		errors += check_leaf(&leaf_cases[i]);
	printf("%d leaf cases, %d errors\n", (int)G_N_ELEMENTS(leaf_cases),
	    errors);
	return errors == 0 ? 0 : 1;
}
