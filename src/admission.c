/**
 * @file admission.c
 * Admission policies: admit or refuse a whole query before its first leaf
 * request, by the expected wait and service time of its slowest leaf.
 */
#include <math.h>

#include "core_private.h"

/* Maximum queueing delay, in percent of the remaining deadline. */
#define DEADLINE_WAIT_PERCENT_MAX 40
/* Queueing delay above which callers are limited to a fair share, in percent of
 * the remaining deadline. */
#define FAIR_SHARE_WAIT_PERCENT 15
#define FAIR_SHARE_TOLERANCE	1.5
#define FAIR_SHARE_HALF_LIFE_US 1000000.0
#define TRACKED_CALLERS_MAX	4096
#define RETRY_AFTER_MIN_US	1000000

static bool exceeds_caller_share(core_t *core, const query_t *query);

static bool
admit_by_deadline(void *context, core_t *core, const query_t *query,
    int64_t wait_us, int64_t expected_us, int64_t *retry_after_us,
    const char **reason)
{
	int64_t left_us = query->deadline_us - core->now_us;
	bool is_over_share = exceeds_caller_share(core, query);

	*retry_after_us = MAX(wait_us, RETRY_AFTER_MIN_US);
	if (wait_us * 100 > left_us * DEADLINE_WAIT_PERCENT_MAX) {
		*reason = "overloaded";
		return false;
	}
	if (expected_us > left_us) {
		*reason = "deadline";
		return false;
	}
	if (wait_us * 100 > left_us * FAIR_SHARE_WAIT_PERCENT &&
	    is_over_share) {
		*reason = "caller_share";
		return false;
	}
	return true;
}

static bool
admit_all(void *context, core_t *core, const query_t *query, int64_t wait_us,
    int64_t expected_us, int64_t *retry_after_us, const char **reason)
{
	return true;
}

/* Returns true if the caller already exceeds its fair share of the rank's
 * recent work; otherwise adds the query's shards to the caller's work. */
static bool
exceeds_caller_share(core_t *core, const query_t *query)
{
	double decay =
	    exp2(-(double)(core->now_us - core->caller_shares_aged_us) /
		 FAIR_SHARE_HALF_LIFE_US);
	GHashTableIter iterator;
	gpointer key, value;
	caller_share_t *share;
	char name[NAME_BYTES + 4];
	double total_work = 0;
	int active_callers = 0;

	g_snprintf(
	    name, sizeof(name), "%d %s", (int)query->rank, query->caller_name);
	core->caller_shares_aged_us = core->now_us;
	g_hash_table_iter_init(&iterator, core->caller_shares);
	while (g_hash_table_iter_next(&iterator, &key, &value)) {
		share = value;
		share->recent_work *= decay;
		if (share->recent_work < 0.01)
			g_hash_table_iter_remove(&iterator);
		else if (((const char *)key)[0] == name[0]) {
			total_work += share->recent_work;
			active_callers++;
		}
	}
	share = g_hash_table_lookup(core->caller_shares, name);
	if (share == NULL &&
	    g_hash_table_size(core->caller_shares) < TRACKED_CALLERS_MAX) {
		share = g_new0(caller_share_t, 1);
		g_hash_table_insert(core->caller_shares, g_strdup(name), share);
		active_callers++;
	}
	if (share == NULL)
		return false;
	if (active_callers > 1 && share->recent_work * active_callers >
				      total_work * FAIR_SHARE_TOLERANCE)
		return true;
	share->recent_work += query->slot_count;
	return false;
}

static const admission_callbacks_t deadline_callbacks = { admit_by_deadline };
static const plugin_t deadline_plugin = { PLUGIN_ADMISSION, "deadline",
	&deadline_callbacks };
PLUGIN_REGISTER(deadline_plugin)

static const admission_callbacks_t none_callbacks = { admit_all };
static const plugin_t none_plugin = { PLUGIN_ADMISSION, "none",
	&none_callbacks };
PLUGIN_REGISTER(none_plugin)
