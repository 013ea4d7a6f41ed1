/**
 * @file leaf_picker.c
 * Chooses the leaf for one attempt by the time that it is expected to take.
 */
#include "tier.h"

/* Costs in microseconds of expected time, added to the leaf's own. */
#define REGION_COST_US	 2000	/* bytes between zones are paid for */
#define REMOTE_COST_US	 6000	/* bytes between regions are paid for */
#define OTHERS_COST_US	 30000	/* leafs that other VMs prefer: connections */
#define STALL_COST_US	 200000 /* length of the pauses that leafs take */
#define FAILURE_COST_US	 300000 /* a failed request is sent again */
#define VANISHED_COST_US 400000 /* used only where nothing else is left */
#define LOADED		 2.2	/* multiple of an idle leaf's time */
#define JITTER		 0.05	/* spreads VMs that believe the same */

static bool
is_excluded(const leaf_exclusions_t *exclude, const tier_leaf_t *leaf)
{
	for (int i = 0; i < exclude->count; i++)
		if (exclude->leaves[i] == leaf)
			return true;
	return false;
}

static bool
is_usable(const tier_leaf_t *leaf, int64_t now_us)
{
	return !leaf->is_removed && !leaf->is_address_reused &&
	       !leaf->entry.is_draining && now_us >= leaf->stats.down_until_us;
}

/*
 * Requests that a leaf takes from this VM at once. A loaded leaf queues them in
 * order of arrival; those that wait here instead are ordered by rank.
 */
static int
get_limit(const tier_leaf_t *leaf, int rank)
{
	if (rank == 0 || leaf->stats.load_factor < LOADED)
		return leaf->connection_limit;
	return MAX(leaf->connection_limit / 2, 1);
}

/* Room on a connection that is open, or that may be opened. */
static bool
has_room(const tier_leaf_t *leaf, int rank, int64_t now_us)
{
	int most = get_limit(leaf, rank);

	if (now_us < leaf->stats.connection_limit_until_us)
		most = MIN(most, leaf->connection_count);
	return leaf->in_flight < most;
}

static double
get_cost_us(const tier_leaf_t *leaf, const route_stats_t *kind, int64_t now_us)
{
	static const double distance_cost[] = { 0, REGION_COST_US,
		REMOTE_COST_US };
	const leaf_stats_t *belief = &leaf->stats;
	double work = kind->mean_work_us * belief->work_factor;
	double cost = (double)*leaf->rtt_us + distance_cost[leaf->distance];

	cost += work * (1.0 + (double)leaf->in_flight / leaf->entry.slots);
	cost += belief->failure_rate * FAILURE_COST_US;
	if (belief->is_stalled)
		cost += STALL_COST_US;
	if (leaf->distance == 2 && !leaf->is_preferred)
		cost += OTHERS_COST_US;
	if (leaf->entry.is_entry_missing)
		cost += VANISHED_COST_US;
	return cost;
}

leaf_picker_result_t
leaf_picker_choose(const tier_service_t *service, const route_stats_t *kind,
    int rank, const leaf_exclusions_t *exclude, int64_t now_us, gsl_rng *random,
    tier_leaf_t **leaf, int64_t *expected_us)
{
	leaf_picker_result_t result = LEAF_PICKER_NONE;
	double best = 0;
	tier_leaf_t *each;

	*leaf = NULL;
	LIST_FOREACH(each, &service->leaves, in_service)
	{
		double cost;

		if (is_excluded(exclude, each) || !is_usable(each, now_us))
			continue;
		if (!has_room(each, rank, now_us)) {
			if (result == LEAF_PICKER_NONE)
				result = LEAF_PICKER_BUSY;
			continue;
		}
		cost = get_cost_us(each, kind, now_us) *
		       (1.0 + JITTER * gsl_rng_uniform(random));
		if (*leaf != NULL && cost >= best)
			continue;
		*leaf = each;
		best = cost;
		result = LEAF_PICKER_FOUND;
	}
	if (*leaf != NULL)
		*expected_us = leaf_stats_get_expected_us(
		    kind, &(*leaf)->stats, *(*leaf)->rtt_us);
	return result;
}

int64_t
leaf_picker_get_wait_us(const tier_service_t *service, int rank, int64_t now_us)
{
	const tier_leaf_t *leaf;
	int room = 0, ahead = 0, busy = 0;

	LIST_FOREACH(leaf, &service->leaves, in_service)
	{
		if (!is_usable(leaf, now_us))
			continue;
		room += get_limit(leaf, rank);
		busy += leaf->in_flight;
	}
	for (int i = 0; i <= rank; i++)
		ahead += service->queued_by_rank[i];
	if (room == 0 || busy + ahead < room)
		return 0;
	return (int64_t)(service->mean_latency_us * (double)(ahead + 1) / room);
}

int64_t
leaf_picker_get_retry_us(const tier_service_t *service, int64_t now_us)
{
	const tier_leaf_t *leaf;
	int64_t soonest_us = -1;

	LIST_FOREACH(leaf, &service->leaves, in_service)
	{
		int64_t rest_us = MAX(leaf->stats.down_until_us - now_us, 0);

		if (leaf->is_removed || leaf->is_address_reused ||
		    leaf->entry.is_draining)
			continue;
		if (soonest_us < 0 || rest_us < soonest_us)
			soonest_us = rest_us;
	}
	return soonest_us;
}
