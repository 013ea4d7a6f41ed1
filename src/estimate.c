/**
 * @file estimate.c
 * What an entry expects of a leaf: the wait in its home's queue, the service
 * time, and whether it is ejected. Only observed figures count; the upstream's
 * own health and load endpoints are not consulted for them.
 */
#include <string.h>

#include "core_private.h"

#define SERVICE_LOWEST_US      50
#define SERVICE_HIGHEST_US     60000000
#define SERVICE_GROWTH	       1.15
#define SERVICE_GUESS_US       10000
#define SAMPLES_PER_REFRESH    128
#define SAMPLES_KEPT	       4096
#define SMOOTHING	       0.1
#define WAIT_FRESH_US	       50000
#define EJECT_FAILURES	       5
#define EJECT_SLOW_FACTOR      4
#define RETURN_FACTOR	       2
#define RETURN_SUCCESSES       2
#define PROBE_PAUSE_US	       1000000
#define PROBE_PAUSE_LONGEST_US 30000000

static void add_sample(index_state_t *index, int64_t service_us);
static void eject_if_outlier(
    core_t *core, attempt_t *attempt, index_state_t *index);
static void take_probe(core_t *core, attempt_t *attempt, index_state_t *index,
    const wire_result_t *result);
static void set_probe(core_t *core, leaf_state_t *state, int64_t pause_us);

index_state_t *
estimate_get_index(core_t *core, const char *name)
{
	uint64_t key = hash_text(name);
	index_state_t *index = g_hash_table_lookup(core->index_states, &key);

	if (index != NULL)
		return index;
	index = g_new0(index_state_t, 1);
	index->key = key;
	index->services = histogram_create(
	    SERVICE_LOWEST_US, SERVICE_HIGHEST_US, SERVICE_GROWTH);
	index->median_us = SERVICE_GUESS_US;
	g_hash_table_insert(core->index_states, &index->key, index);
	return index;
}

void
estimate_destroy_index(void *context)
{
	index_state_t *index = context;

	histogram_destroy(index->services);
	g_free(index);
}

leaf_state_t *
estimate_get_leaf(core_t *core, const leaf_t *leaf, const index_state_t *index)
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
				     : index->median_us;
}

/* The reported wait, aged once it is no longer fresh, plus what we sent since.
 */
int64_t
estimate_get_wait(const core_t *core, const leaf_state_t *state,
    const index_state_t *index, rank_t rank, int slots)
{
	int64_t age_us = core->now_us - state->wait_at_us - WAIT_FRESH_US;
	int64_t wait_us = state->wait_us[rank] - MAX(age_us, 0);
	int64_t added_us = state->sent_since_report *
			   estimate_get_service(state, index) / slots;

	return MAX(wait_us, 0) + added_us;
}

void
estimate_take_wait(core_t *core, const wire_wait_t *wait)
{
	leaf_state_t *state =
	    g_hash_table_lookup(core->leaf_states, &wait->leaf);

	if (state == NULL)
		return;
	for (int i = 0; i < RANK_COUNT; i++)
		state->wait_us[i] = wait->wait_us[i];
	state->wait_at_us = core->now_us;
	state->sent_since_report = 0;
	if (wait->service_us > 0)
		state->service_us = wait->service_us;
}

void
estimate_take_result(
    core_t *core, attempt_t *attempt, const wire_result_t *result)
{
	leaf_state_t *state = attempt->state;
	index_state_t *index =
	    g_hash_table_lookup(core->index_states, &state->index);

	state->outstanding--;
	if (result->status == RUN_OK) {
		state->failures = 0;
		add_sample(index, result->service_us);
		if (result->wait.service_us == 0)
			state->service_us +=
			    (state->service_us > 0 ? SMOOTHING : 1) *
			    ((double)result->service_us - state->service_us);
	} else if (result->status == RUN_FAILED ||
		   result->status == RUN_TIMED_OUT) {
		state->failures++;
	}
	if (attempt->kind == ATTEMPT_PROBE && state->is_ejected)
		take_probe(core, attempt, index, result);
	else
		eject_if_outlier(core, attempt, index);
}

/* Keeps what callers see, by rank, for status. */
void
estimate_take_answer(
    core_t *core, rank_t rank, int64_t took_us, double coverage)
{
	rank_status_t *status = &core->rank_status[rank];
	histogram_t *latency_us = core->rank_latency_us[rank];

	status->answered++;
	status->partial += coverage < 1;
	status->coverage +=
	    (coverage - status->coverage) / (double)status->answered;
	histogram_add(latency_us, (double)took_us);
	if (histogram_get_count(latency_us) > SAMPLES_KEPT)
		histogram_scale(latency_us, 0.5);
}

/* True once in each pause; the caller then sends a probe beside its request. */
bool
estimate_is_probe_due(core_t *core, leaf_state_t *state)
{
	if (!state->is_ejected || core->now_us < state->probe_at_us)
		return false;
	state->probe_at_us = core->now_us + state->probe_pause_us;
	return true;
}

static void
add_sample(index_state_t *index, int64_t service_us)
{
	histogram_add(index->services, (double)service_us);
	if (++index->samples % SAMPLES_PER_REFRESH != 0 &&
	    index->samples != SAMPLES_PER_REFRESH / 4)
		return;
	index->median_us =
	    (int64_t)histogram_get_quantile(index->services, 0.5);
	if (histogram_get_count(index->services) > SAMPLES_KEPT)
		histogram_scale(index->services, 0.5);
}

/* Ejects a leaf that fails or is far slower than its index, up to the cap. */
static void
eject_if_outlier(core_t *core, attempt_t *attempt, index_state_t *index)
{
	leaf_state_t *state = attempt->state;
	const index_info_t *info =
	    attempt->query != NULL ? attempt->query->index : NULL;
	bool is_slow =
	    index->samples >= SAMPLES_PER_REFRESH &&
	    state->service_us > (double)(EJECT_SLOW_FACTOR * index->median_us);
	int leaves = 0;
	int cap;

	if (state->is_ejected || info == NULL ||
	    (state->failures < EJECT_FAILURES && !is_slow))
		return;
	for (int i = 0; i < info->instance_count; i++)
		leaves += info->instances[i].leaf_count;
	cap = (int)(leaves *
		    info->values[RANK_STANDARD].value[SETTING_EJECT_PERCENT] /
		    100);
	if (index->ejected >= MAX(cap, 1))
		return;
	state->is_ejected = true;
	index->ejected++;
	set_probe(core, state, PROBE_PAUSE_US);
	effect_log(core, LOG_LEAF_EJECTED,
	    "estimate: leaf %s/%d ejected: %d failures in a row, service %.0f "
	    "us, median of %s %" G_GINT64_FORMAT " us",
	    attempt->leaf->instance->id, attempt->leaf->number, state->failures,
	    state->service_us, info->name, index->median_us);
}

static void
take_probe(core_t *core, attempt_t *attempt, index_state_t *index,
    const wire_result_t *result)
{
	leaf_state_t *state = attempt->state;
	bool is_good = result->status == RUN_OK &&
		       result->service_us <= RETURN_FACTOR * index->median_us;

	if (!is_good) {
		state->probe_successes = 0;
		set_probe(core, state,
		    MIN(2 * state->probe_pause_us, PROBE_PAUSE_LONGEST_US));
		return;
	}
	if (++state->probe_successes < RETURN_SUCCESSES) {
		set_probe(core, state, state->probe_pause_us / 4);
		return;
	}
	state->is_ejected = false;
	state->probe_successes = 0;
	state->service_us = (double)result->service_us;
	index->ejected--;
	effect_log(core, LOG_LEAF_RETURNED,
	    "estimate: leaf %s/%d returned after %d good probes",
	    attempt->leaf->instance->id, attempt->leaf->number,
	    RETURN_SUCCESSES);
}

static void
set_probe(core_t *core, leaf_state_t *state, int64_t pause_us)
{
	state->probe_pause_us = MAX(pause_us, PROBE_PAUSE_US / 4);
	state->probe_at_us = core->now_us + state->probe_pause_us;
}
