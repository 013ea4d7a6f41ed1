/**
 * @file store_view.c
 * How long a leaf stays usable after its entry was removed: never beyond
 * drain_us after the removal, however late this VM learns of it.
 */
#include <stdio.h>

#include "store_view.h"

#define MILLISECOND_US 1000
#define REMOVED_US     INT64_C(100000000) /* time of the removal */

static const struct test_case {
	const char *name;
	int drain_ms;	 /* of the platform */
	int complete_ms; /* before the removal: the view was complete */
	int learned_ms;	 /* after it: this VM learns of it */
	int usable_ms;	 /* after it: the leaf is still a last resort */
	int unusable_ms; /* after it: the leaf is no longer used */
	bool is_outage;
} cases[] = {
	{ "learned at once", 3000, 0, 0, 1100, 1300, false },
	{ "behind a batch of changes", 3000, 750, 100, 1200, 1400, false },
	{ "the reader was turned away", 3000, 500, 1900, 1950, 2100, false },
	{ "three readers were lost", 3000, 500, 2300, 0, 2301, false },
	{ "learned after the bound", 3000, 500, 4000, 0, 4001, false },
	{ "a larger site: learned at once", 5000, 0, 0, 1900, 2100, false },
	{ "a larger site: the reader was lost", 5000, 800, 3000, 3100, 3400,
	    false },
	{ "the largest site: the reader was lost", 6000, 1000, 3500, 3900, 4100,
	    false },
	{ "the store was down", 3000, 9000, 500, 2900, 3100, true },
};

static bool
is_known(store_view_t *view, int64_t now_us)
{
	directory_t *directory;
	bool is_known;

	store_view_expire(view, now_us);
	directory = store_view_build(view, 1);
	is_known = directory->leaves->len == 1;
	directory_destroy(directory);
	return is_known;
}

static bool
run_case(const struct test_case *test, bool is_listed)
{
	store_view_t *view =
	    store_view_create(test->drain_ms * (int64_t)MILLISECOND_US);
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	leaf_entry_t entry = { .id = "i-1", .service = "s", .slots = 2 };
	int64_t learned_us =
	    REMOVED_US + test->learned_ms * (int64_t)MILLISECOND_US;
	entry_removal_t removal = { .now_us = learned_us,
		.earliest_us =
		    REMOVED_US - test->complete_ms * (int64_t)MILLISECOND_US,
		.is_after_outage = test->is_outage };
	bool is_good = true;

	store_view_set_table(view, route_table_create(1));
	store_view_begin_page(view);
	store_view_set_leaf(view, &entry, 0);
	store_view_begin_page(view);
	if (is_listed)
		store_view_keep_entries(view, &removal, listed);
	else
		store_view_remove_entry(view, &removal, entry.id);
	if (test->usable_ms > 0)
		is_good &= is_known(view,
		    REMOVED_US + test->usable_ms * (int64_t)MILLISECOND_US);
	is_good &= !is_known(
	    view, REMOVED_US + test->unusable_ms * (int64_t)MILLISECOND_US);
	if (!test->is_outage && test->learned_ms < test->drain_ms)
		is_good &= !is_known(view,
		    REMOVED_US + test->drain_ms * (int64_t)MILLISECOND_US);
	store_view_destroy(view);
	g_hash_table_unref(listed);
	printf("%s%s: %s\n", test->name,
	    is_listed ? " (by a list)" : " (by a watch)",
	    is_good ? "ok" : "FAIL");
	return is_good;
}

int
main(void)
{
	bool is_good = true;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		is_good &=
		    run_case(&cases[i], false) & run_case(&cases[i], true);
	return is_good ? 0 : 1;
}
