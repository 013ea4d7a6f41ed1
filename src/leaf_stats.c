/**
 * @file leaf_stats.c
 * Statistics of one leaf, and of one route over all leaves.
 *
 * Expected latency = network round trip + mean work of the route * work factor
 * of the leaf. A few samples of any route at a leaf improve the estimates of
 * all routes there.
 */
#include "tier.h"

#define INITIAL_WORK_US 20000 /* mean work before the first sample */
/* Minimum EWMA weight of one sample in a route's mean work. */
#define ROUTE_WEIGHT 0.02
/* EWMA weight of one sample in a leaf's work factor. */
#define WORK_FACTOR_WEIGHT 0.1
/* EWMA weight of one sample in a leaf's failure rate. */
#define FAILURE_WEIGHT	    0.15
#define SAMPLE_CLIP	    3.0 /* limits the effect of one stalled request */
#define INITIAL_TAIL_FACTOR 2.5 /* multiples of the expected work */
/* Slower requests may be hedged, within the budget. */
#define TAIL_QUANTILE	0.93
#define TAIL_STEP	0.05 /* relative step of the estimate */
#define MIN_TAIL_FACTOR 1.3
#define MAX_TAIL_FACTOR 8.0
#define IDLE_QUANTILE	0.25 /* of the work, without queueing */
#define IDLE_STEP	0.02
/* EWMA weight of one sample in a leaf's load factor. */
#define LOAD_WEIGHT	    0.2
#define LOAD_CLIP	    8.0 /* limits the effect of one pause */
#define MIN_WORK_FACTOR	    0.2
#define MAX_WORK_FACTOR	    20.0
#define WARMUP_FACTOR	    1.6	    /* work of a leaf that has just started */
#define OVERDUE_MARGIN_US   8000    /* jitter of the network and the loop */
#define INITIAL_BACKOFF_US  250000  /* of an unreachable leaf */
#define MAX_BACKOFF_US	    3000000 /* shorter than a crashed leaf's restart */
#define CONNECTION_LIMIT_US 400000  /* until the next new connection */
#define MAX_FAILURE_RATE    0.6	    /* failure rate at which a leaf backs off */

const char *
outcome_get_name(attempt_outcome_t outcome)
{
	static const char *const names[] = { "answered", "leaf_failed",
		"not_run", "misdirected", "unsent", "crowded", "broken",
		"silent" };

	return names[outcome];
}

void
route_stats_init(route_stats_t *route)
{
	*route = (route_stats_t){ .mean_work_us = INITIAL_WORK_US,
		.idle_work_us = INITIAL_WORK_US,
		.tail_factor = INITIAL_TAIL_FACTOR };
}

void
leaf_stats_init(leaf_stats_t *leaf)
{
	*leaf = (leaf_stats_t){ .work_factor = 1.0, .load_factor = 1.0 };
}

static double
get_work_us(const route_stats_t *route, const leaf_stats_t *leaf)
{
	return route->mean_work_us * leaf->work_factor;
}

int64_t
leaf_stats_get_expected_us(
    const route_stats_t *route, const leaf_stats_t *leaf, int64_t rtt_us)
{
	return rtt_us + (int64_t)get_work_us(route, leaf);
}

int64_t
leaf_stats_get_overdue_us(
    const route_stats_t *route, const leaf_stats_t *leaf, int64_t rtt_us)
{
	double work_factor = CLAMP(leaf->work_factor, 1.0, SAMPLE_CLIP);

	return rtt_us + OVERDUE_MARGIN_US +
	       (int64_t)(route->mean_work_us * work_factor *
			 route->tail_factor);
}

/* The idle estimate falls fast and rises slowly: overload hardly raises it. */
static void
record_load(route_stats_t *route, leaf_stats_t *leaf, double work)
{
	double idle = route->idle_work_us;

	idle += work < idle ? -IDLE_STEP * idle * (1.0 - IDLE_QUANTILE)
			    : IDLE_STEP * idle * IDLE_QUANTILE;
	if (route->sample_count <= 20)
		idle = MIN(idle, work);
	route->idle_work_us = MAX(idle, 100.0);
	work = MIN(work, LOAD_CLIP * route->idle_work_us);
	leaf->load_factor +=
	    LOAD_WEIGHT * (work / route->idle_work_us - leaf->load_factor);
}

void
leaf_stats_record_answer(route_stats_t *route, leaf_stats_t *leaf,
    int64_t now_us, int64_t rtt_us, int64_t took_us)
{
	double expected = get_work_us(route, leaf);
	double work = (double)MAX(took_us - rtt_us, took_us / 10);
	double ratio = work / expected;
	double clipped = MIN(work, SAMPLE_CLIP * expected);

	if (now_us < leaf->warmup_until_us)
		clipped /= WARMUP_FACTOR;
	route->sample_count++;
	route->mean_work_us +=
	    MAX(ROUTE_WEIGHT, 1.0 / (double)route->sample_count) *
	    (clipped - route->mean_work_us);
	route->mean_work_us = MAX(route->mean_work_us, 200.0);
	leaf->work_factor +=
	    WORK_FACTOR_WEIGHT *
	    (clipped / route->mean_work_us - leaf->work_factor);
	leaf->work_factor =
	    CLAMP(leaf->work_factor, MIN_WORK_FACTOR, MAX_WORK_FACTOR);
	route->tail_factor +=
	    ratio > route->tail_factor
		? TAIL_STEP * route->tail_factor * TAIL_QUANTILE
		: -TAIL_STEP * route->tail_factor * (1.0 - TAIL_QUANTILE);
	route->tail_factor =
	    CLAMP(route->tail_factor, MIN_TAIL_FACTOR, MAX_TAIL_FACTOR);
	record_load(route, leaf, work);
	leaf->failure_rate -= FAILURE_WEIGHT * leaf->failure_rate;
	leaf->is_stalled = false;
	leaf->down_until_us = 0;
	leaf->backoff_us = 0;
}

/* The leaf accepts no further connection, which does not mean it is slow. */
static void
record_connection_limit(leaf_stats_t *leaf, int64_t now_us)
{
	leaf->connection_limit_until_us = now_us + CONNECTION_LIMIT_US;
	leaf->is_stalled = false;
}

void
leaf_stats_record_failure(
    leaf_stats_t *leaf, int64_t now_us, attempt_outcome_t outcome)
{
	if (outcome == OUTCOME_CONNECTION_LIMIT) {
		record_connection_limit(leaf, now_us);
		return;
	}
	leaf->failure_rate += FAILURE_WEIGHT * (1.0 - leaf->failure_rate);
	if (outcome != OUTCOME_TIMED_OUT)
		leaf->is_stalled = false;
	if (outcome != OUTCOME_UNSENT && outcome != OUTCOME_TIMED_OUT &&
	    leaf->failure_rate < MAX_FAILURE_RATE)
		return;
	leaf->backoff_us = leaf->backoff_us == 0
			       ? INITIAL_BACKOFF_US
			       : MIN(2 * leaf->backoff_us, MAX_BACKOFF_US);
	leaf->down_until_us = now_us + leaf->backoff_us;
	leaf->is_stalled = false;
}

void
leaf_stats_record_stall(leaf_stats_t *leaf)
{
	leaf->is_stalled = true;
}
