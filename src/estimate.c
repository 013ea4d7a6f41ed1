/**
 * @file estimate.c
 * Estimates of a coordinator for each leaf: the wait in its relay's queue, the
 * service time and outlier ejection. They use observed results only, not the
 * upstream's health and load endpoints.
 */
#include <string.h>

#include "core_private.h"

#define SERVICE_MIN_US		   50
#define SERVICE_MAX_US		   60000000
#define SERVICE_BUCKET_GROWTH	   1.15
#define INITIAL_SERVICE_US	   10000
#define SAMPLES_PER_MEDIAN	   128
#define SAMPLES_MAX		   4096
#define SERVICE_EWMA_WEIGHT	   0.1
#define WAIT_REPORT_FRESH_US	   50000
#define EJECT_CONSECUTIVE_FAILURES 5
#define EJECT_SLOW_FACTOR	   4
#define READMIT_SLOW_FACTOR_MAX	   2
#define READMIT_PROBE_SUCCESSES	   2
#define INITIAL_PROBE_INTERVAL_US  1000000
#define PROBE_INTERVAL_MAX_US	   30000000

static void add_sample(index_state_t *index, int64_t service_us);
static void eject_if_outlier(
    core_t *core, attempt_t *attempt, index_state_t *index);
static void record_probe(core_t *core, attempt_t *attempt, index_state_t *index,
    const wire_result_t *result);
static void schedule_probe(
    core_t *core, leaf_state_t *state, int64_t interval_us);

index_state_t *
estimate_get_index_state(core_t *core, const char *name)
{
	uint64_t key = hash_text(name);
	index_state_t *index = g_hash_table_lookup(core->index_states, &key);

	if (index != NULL)
		return index;
	index = g_new0(index_state_t, 1);
	index->key = key;
	index->service_times_us = histogram_create(
	    SERVICE_MIN_US, SERVICE_MAX_US, SERVICE_BUCKET_GROWTH);
	index->median_service_us = INITIAL_SERVICE_US;
	g_hash_table_insert(core->index_states, &index->key, index);
	return index;
}

void
estimate_destroy_index_state(void *context)
{
	index_state_t *index = context;

	histogram_destroy(index->service_times_us);
	g_free(index);
}

leaf_state_t *
estimate_get_leaf_state(
    core_t *core, const leaf_t *leaf, const index_state_t *index)
{
	leaf_state_t *state =
	    g_hash_table_lookup(core->leaf_states, &leaf->key);

	if (state != NULL)
		return state;
	state = g_new0(leaf_state_t, 1);
	state->key = leaf->key;
	state->index = index->key;
	g_hash_table_insert(core->leaf_states, &state->key, state);
	return state;
}

int64_t
estimate_get_service(const leaf_state_t *state, const index_state_t *index)
{
	return state->service_us > 0 ? (int64_t)state->service_us
				     : index->median_service_us;
}

/* The reported wait, reduced by its age once it is no longer fresh, plus the
 * service time of the requests sent since that report. */
int64_t
estimate_get_wait(const core_t *core, const leaf_state_t *state,
    const index_state_t *index, rank_t rank, int slots)
{
	int64_t age_us =
	    core->now_us - state->wait_reported_us - WAIT_REPORT_FRESH_US;
	int64_t wait_us = state->wait_us[rank] - MAX(age_us, 0);
	int64_t added_us = state->sent_since_report *
			   estimate_get_service(state, index) / slots;

	return MAX(wait_us, 0) + added_us;
}

void
estimate_record_wait(core_t *core, const wire_wait_t *wait)
{
	leaf_state_t *state =
	    g_hash_table_lookup(core->leaf_states, &wait->leaf);

	if (state == NULL)
		return;
	for (int i = 0; i < RANK_COUNT; i++)
		state->wait_us[i] = wait->wait_us[i];
	state->wait_reported_us = core->now_us;
	state->sent_since_report = 0;
	if (wait->service_us > 0)
		state->service_us = wait->service_us;
}

void
estimate_record_result(
    core_t *core, attempt_t *attempt, const wire_result_t *result)
{
	leaf_state_t *state = attempt->state;
	index_state_t *index =
	    g_hash_table_lookup(core->index_states, &state->index);

	state->outstanding--;
	if (result->status == RUN_OK) {
		state->consecutive_failures = 0;
		add_sample(index, result->service_us);
		if (result->wait.service_us == 0)
			state->service_us +=
			    (state->service_us > 0 ? SERVICE_EWMA_WEIGHT : 1) *
			    ((double)result->service_us - state->service_us);
	} else if (result->status == RUN_FAILED ||
		   result->status == RUN_TIMED_OUT) {
		state->consecutive_failures++;
	}
	if (attempt->kind == ATTEMPT_PROBE && state->is_ejected)
		record_probe(core, attempt, index, result);
	else
		eject_if_outlier(core, attempt, index);
}

/* Records latency and coverage of an answer for the status of its rank. */
void
estimate_record_answer(
    core_t *core, rank_t rank, int64_t took_us, double coverage)
{
	rank_status_t *status = &core->rank_status[rank];
	histogram_t *latency_us = core->rank_latency_us[rank];

	status->answered++;
	status->partial += coverage < 1;
	status->coverage +=
	    (coverage - status->coverage) / (double)status->answered;
	histogram_add(latency_us, (double)took_us);
	if (histogram_get_count(latency_us) > SAMPLES_MAX)
		histogram_scale(latency_us, 0.5);
}

/* True once per probe interval; the caller must then send a probe. */
bool
estimate_is_probe_due(core_t *core, leaf_state_t *state)
{
	if (!state->is_ejected || core->now_us < state->next_probe_us)
		return false;
	state->next_probe_us = core->now_us + state->probe_interval_us;
	return true;
}

static void
add_sample(index_state_t *index, int64_t service_us)
{
	histogram_add(index->service_times_us, (double)service_us);
	if (++index->sample_count % SAMPLES_PER_MEDIAN != 0 &&
	    index->sample_count != SAMPLES_PER_MEDIAN / 4)
		return;
	index->median_service_us =
	    (int64_t)histogram_get_quantile(index->service_times_us, 0.5);
	if (histogram_get_count(index->service_times_us) > SAMPLES_MAX)
		histogram_scale(index->service_times_us, 0.5);
}

/* Ejects a leaf after consecutive failures or if it is far slower than its
 * index's median, up to the maximum share of ejected leaves. */
static void
eject_if_outlier(core_t *core, attempt_t *attempt, index_state_t *index)
{
	leaf_state_t *state = attempt->state;
	const index_info_t *info =
	    attempt->query != NULL ? attempt->query->index : NULL;
	bool is_slow = index->sample_count >= SAMPLES_PER_MEDIAN &&
		       state->service_us > (double)(EJECT_SLOW_FACTOR *
						    index->median_service_us);
	int leaves = 0;
	int ejected_max;

	if (state->is_ejected || info == NULL ||
	    (state->consecutive_failures < EJECT_CONSECUTIVE_FAILURES &&
		!is_slow))
		return;
	for (int i = 0; i < info->instance_count; i++)
		leaves += info->instances[i].leaf_count;
	ejected_max =
	    (int)(leaves *
		  info->values[RANK_STANDARD].value[SETTING_EJECT_PERCENT] /
		  100);
	if (index->ejected_count >= MAX(ejected_max, 1))
		return;
	state->is_ejected = true;
	index->ejected_count++;
	schedule_probe(core, state, INITIAL_PROBE_INTERVAL_US);
	core_log(core, LOG_LEAF_EJECTED,
	    "estimate: leaf %s/%d ejected: %d consecutive failures, service "
	    "time %.0f us, median of index %s %" G_GINT64_FORMAT " us",
	    attempt->leaf->instance->id, attempt->leaf->number,
	    state->consecutive_failures, state->service_us, info->name,
	    index->median_service_us);
}

static void
record_probe(core_t *core, attempt_t *attempt, index_state_t *index,
    const wire_result_t *result)
{
	leaf_state_t *state = attempt->state;
	bool is_good = result->status == RUN_OK &&
		       result->service_us <=
			   READMIT_SLOW_FACTOR_MAX * index->median_service_us;

	if (!is_good) {
		state->probe_successes = 0;
		schedule_probe(core, state,
		    MIN(2 * state->probe_interval_us, PROBE_INTERVAL_MAX_US));
		return;
	}
	if (++state->probe_successes < READMIT_PROBE_SUCCESSES) {
		schedule_probe(core, state, state->probe_interval_us / 4);
		return;
	}
	state->is_ejected = false;
	state->probe_successes = 0;
	state->service_us = (double)result->service_us;
	index->ejected_count--;
	core_log(core, LOG_LEAF_RETURNED,
	    "estimate: leaf %s/%d returned to service after %d successful "
	    "probes",
	    attempt->leaf->instance->id, attempt->leaf->number,
	    READMIT_PROBE_SUCCESSES);
}

static void
schedule_probe(core_t *core, leaf_state_t *state, int64_t interval_us)
{
	state->probe_interval_us =
	    MAX(interval_us, INITIAL_PROBE_INTERVAL_US / 4);
	state->next_probe_us = core->now_us + state->probe_interval_us;
}
