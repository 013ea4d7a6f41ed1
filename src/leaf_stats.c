/**
 * @file leaf_stats.c
 * What is known of one leaf, and of one kind of request over all leafs.
 *
 * The time of a request is split into the network's round trip, the kind's
 * mean work, and the leaf's speed, so that a few requests of any kind at a leaf
 * tell what the next one of another kind will take there.
 */
#include "tier.h"

#define WORK_FIRST_US	 20000 /* mean work until a request has shown it */
#define KIND_WEIGHT	 0.02  /* of one sample in the kind's mean */
#define SPEED_WEIGHT	 0.1   /* of one sample in a leaf's speed */
#define FAILURE_WEIGHT	 0.15  /* of one sample in a leaf's failures */
#define SAMPLE_CLIP	 3.0   /* one stalled request is no slow leaf */
#define TAIL_FIRST	 2.5   /* multiples of the expected work */
#define TAIL_QUANTILE	 0.93  /* the rest may be hedged within the budget */
#define TAIL_STEP	 0.05  /* change of the estimate by one sample */
#define TAIL_LEAST	 1.3
#define TAIL_MOST	 8.0
#define IDLE_QUANTILE	 0.25 /* of the work, with no queue before it */
#define IDLE_STEP	 0.02
#define LOAD_WEIGHT	 0.2
#define LOAD_CLIP	 8.0 /* one pause is no load */
#define SPEED_LEAST	 0.2
#define SPEED_MOST	 20.0
#define COLD_FACTOR	 1.6	 /* work of a leaf that has just started */
#define OVERDUE_FLOOR_US 8000	 /* jitter of the network and the loop */
#define BACKOFF_FIRST_US 250000	 /* the first rest of an unreachable leaf */
#define BACKOFF_MOST_US	 3000000 /* below the time that a crash lasts */
#define CROWDED_US	 400000	 /* until a new connection is tried again */
#define FAILURES_DOWN	 0.6	 /* share from which a leaf rests */

const char *
outcome_get_name(attempt_outcome_t outcome)
{
	static const char *const names[] = { "answered", "leaf_failed",
		"not_run", "misdirected", "unsent", "crowded", "broken",
		"silent" };

	return names[outcome];
}

void
route_stats_init(route_stats_t *kind)
{
	*kind = (route_stats_t){ .mean_work_us = WORK_FIRST_US,
		.idle_work_us = WORK_FIRST_US,
		.tail_factor = TAIL_FIRST };
}

void
leaf_stats_init(leaf_stats_t *leaf)
{
	*leaf = (leaf_stats_t){ .work_factor = 1.0, .load_factor = 1.0 };
}

static double
get_work_us(const route_stats_t *kind, const leaf_stats_t *leaf)
{
	return kind->mean_work_us * leaf->work_factor;
}

int64_t
leaf_stats_get_expected_us(
    const route_stats_t *kind, const leaf_stats_t *leaf, int64_t rtt_us)
{
	return rtt_us + (int64_t)get_work_us(kind, leaf);
}

int64_t
leaf_stats_get_overdue_us(
    const route_stats_t *kind, const leaf_stats_t *leaf, int64_t rtt_us)
{
	double speed = CLAMP(leaf->work_factor, 1.0, SAMPLE_CLIP);

	return rtt_us + OVERDUE_FLOOR_US +
	       (int64_t)(kind->mean_work_us * speed * kind->tail_factor);
}

/* The idle work falls fast and rises slowly, so that a flood is no new norm. */
static void
note_load(route_stats_t *kind, leaf_stats_t *leaf, double work)
{
	double idle = kind->idle_work_us;

	idle += work < idle ? -IDLE_STEP * idle * (1.0 - IDLE_QUANTILE)
			    : IDLE_STEP * idle * IDLE_QUANTILE;
	if (kind->sample_count <= 20)
		idle = MIN(idle, work);
	kind->idle_work_us = MAX(idle, 100.0);
	work = MIN(work, LOAD_CLIP * kind->idle_work_us);
	leaf->load_factor +=
	    LOAD_WEIGHT * (work / kind->idle_work_us - leaf->load_factor);
}

void
leaf_stats_record_answer(route_stats_t *kind, leaf_stats_t *leaf,
    int64_t now_us, int64_t rtt_us, int64_t took_us)
{
	double expected = get_work_us(kind, leaf);
	double work = (double)MAX(took_us - rtt_us, took_us / 10);
	double ratio = work / expected;
	double clipped = MIN(work, SAMPLE_CLIP * expected);

	if (now_us < leaf->warmup_until_us)
		clipped /= COLD_FACTOR;
	kind->sample_count++;
	kind->mean_work_us +=
	    MAX(KIND_WEIGHT, 1.0 / (double)kind->sample_count) *
	    (clipped - kind->mean_work_us);
	kind->mean_work_us = MAX(kind->mean_work_us, 200.0);
	leaf->work_factor +=
	    SPEED_WEIGHT * (clipped / kind->mean_work_us - leaf->work_factor);
	leaf->work_factor = CLAMP(leaf->work_factor, SPEED_LEAST, SPEED_MOST);
	kind->tail_factor +=
	    ratio > kind->tail_factor
		? TAIL_STEP * kind->tail_factor * TAIL_QUANTILE
		: -TAIL_STEP * kind->tail_factor * (1.0 - TAIL_QUANTILE);
	kind->tail_factor = CLAMP(kind->tail_factor, TAIL_LEAST, TAIL_MOST);
	note_load(kind, leaf, work);
	leaf->failure_rate -= FAILURE_WEIGHT * leaf->failure_rate;
	leaf->is_stalled = false;
	leaf->down_until_us = 0;
	leaf->backoff_us = 0;
}

/* The leaf takes no further connection; that says nothing of its work. */
static void
note_crowd(leaf_stats_t *leaf, int64_t now_us)
{
	leaf->connection_limit_until_us = now_us + CROWDED_US;
	leaf->is_stalled = false;
}

void
leaf_stats_record_failure(
    leaf_stats_t *leaf, int64_t now_us, attempt_outcome_t outcome)
{
	if (outcome == OUTCOME_CONNECTION_LIMIT) {
		note_crowd(leaf, now_us);
		return;
	}
	leaf->failure_rate += FAILURE_WEIGHT * (1.0 - leaf->failure_rate);
	if (outcome != OUTCOME_TIMED_OUT)
		leaf->is_stalled = false;
	if (outcome != OUTCOME_UNSENT && outcome != OUTCOME_TIMED_OUT &&
	    leaf->failure_rate < FAILURES_DOWN)
		return;
	leaf->backoff_us = leaf->backoff_us == 0
			       ? BACKOFF_FIRST_US
			       : MIN(2 * leaf->backoff_us, BACKOFF_MOST_US);
	leaf->down_until_us = now_us + leaf->backoff_us;
	leaf->is_stalled = false;
}

void
leaf_stats_record_stall(leaf_stats_t *leaf)
{
	leaf->is_stalled = true;
}
