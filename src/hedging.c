/**
 * @file hedging.c
 * Hedging policies: when a slow shard gets a second attempt.
 */
#include "core_private.h"

/* Minimum delay before a hedge, in median service times. */
#define HEDGE_DELAY_MIN_MEDIANS 3

static int64_t
get_adaptive_delay(void *context, core_t *core, const query_t *query)
{
	const index_state_t *index = query->index_state;
	double quantile =
	    (double)query->values->value[SETTING_HEDGE_QUANTILE_PERCENT] / 100;
	int64_t delay_us =
	    (int64_t)histogram_get_quantile(index->service_times_us, quantile);

	return MAX(
	    delay_us, HEDGE_DELAY_MIN_MEDIANS * index->median_service_us);
}

/* A hedge is useful if the original attempt is older than the minimum delay and
 * the candidate has a short queue and can answer before the deadline. */
static bool
is_adaptive_useful(void *context, core_t *core, const query_t *query,
    const attempt_t *original, const leaf_t *candidate)
{
	const index_state_t *index = query->index_state;
	leaf_state_t *state = estimate_get_leaf_state(core, candidate, index);
	int64_t wait_us = estimate_get_wait(
	    core, state, index, query->rank, candidate->slots);
	int64_t service_us = estimate_get_service(state, index);
	int64_t age_us = core->now_us - original->sent_us;

	if (state->is_ejected || wait_us > 3 * index->median_service_us)
		return false;
	if (age_us < HEDGE_DELAY_MIN_MEDIANS * index->median_service_us)
		return false;
	return core->now_us + wait_us + service_us < query->deadline_us;
}

static int64_t
get_no_delay(void *context, core_t *core, const query_t *query)
{
	return 0;
}

static bool
is_never_useful(void *context, core_t *core, const query_t *query,
    const attempt_t *original, const leaf_t *candidate)
{
	return false;
}

static const hedging_callbacks_t adaptive_callbacks = { get_adaptive_delay,
	is_adaptive_useful };
static const plugin_t adaptive_plugin = { PLUGIN_HEDGING, "adaptive",
	&adaptive_callbacks };
PLUGIN_REGISTER(adaptive_plugin)

static const hedging_callbacks_t off_callbacks = { get_no_delay,
	is_never_useful };
static const plugin_t off_plugin = { PLUGIN_HEDGING, "off", &off_callbacks };
PLUGIN_REGISTER(off_plugin)
