/**
 * @file tier_reach.c
 * Retry-After of a refused caller, for each reason why the leaves of a service
 * are unusable.
 */
#include <stdio.h>
#include <string.h>

#include "tier.h"

#define NOW_US	   10000000
#define MAX_LEAVES 4

typedef enum leaf_state {
	SOUND,
	DOWN,
	DRAINING,
	ADDRESS_REUSED,
	REMOVED
} leaf_state_t;

typedef struct case_leaf {
	leaf_state_t state;
	int64_t down_us; /* from now */
} case_leaf_t;

static const struct test_case {
	const char *name;
	int count;
	case_leaf_t leaves[MAX_LEAVES];
	int64_t retry_us;
} cases[] = {
	{ "no leaf is known", 0, { { SOUND, 0 } }, -1 },
	{ "one is sound", 2, { { DOWN, 700000 }, { SOUND, 0 } }, 0 },
	{ "the sooner of two that are down", 2,
	    { { DOWN, 700000 }, { DOWN, 250000 } }, 250000 },
	{ "a rest that is over", 1, { { DOWN, -5000 } }, 0 },
	{ "one that drains does not count", 2,
	    { { DRAINING, 0 }, { DOWN, 900000 } }, 900000 },
	{ "one whose address has another leaf does not count", 2,
	    { { ADDRESS_REUSED, 0 }, { DOWN, 300000 } }, 300000 },
	{ "all are leaving", 2, { { DRAINING, 0 }, { REMOVED, 0 } }, -1 },
};

static void
set_leaf(tier_leaf_t *leaf, const case_leaf_t *case_leaf)
{
	memset(leaf, 0, sizeof(*leaf));
	leaf->entry.is_draining = case_leaf->state == DRAINING;
	leaf->is_address_reused = case_leaf->state == ADDRESS_REUSED;
	leaf->is_removed = case_leaf->state == REMOVED;
	if (case_leaf->state == DOWN)
		leaf->stats.down_until_us = NOW_US + case_leaf->down_us;
}

static bool
run_case(const struct test_case *expected)
{
	tier_leaf_t leaves[MAX_LEAVES];
	tier_service_t service = { 0 };
	int64_t retry_us;

	LIST_INIT(&service.leaves);
	for (int i = 0; i < expected->count; i++) {
		set_leaf(&leaves[i], &expected->leaves[i]);
		LIST_INSERT_HEAD(&service.leaves, &leaves[i], in_service);
	}
	retry_us = leaf_picker_get_retry_us(&service, NOW_US);
	if (retry_us == expected->retry_us)
		return true;
	printf("%s: %" G_GINT64_FORMAT " instead of %" G_GINT64_FORMAT "\n",
	    expected->name, retry_us, expected->retry_us);
	return false;
}

int
main(void)
{
	bool is_good = true;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		is_good = run_case(&cases[i]) && is_good;
	printf("%d cases\n", (int)G_N_ELEMENTS(cases));
	return is_good ? 0 : 1;
}
