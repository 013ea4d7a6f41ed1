/**
 * @file leaf_picker.c
 * Chooses the leaf with the lowest expected cost for one attempt.
 */
#include "tier.h"

/* Costs in microseconds, added to the leaf's expected latency. */
#define REGION_COST_US 2000 /* traffic between zones is billed */
#define REMOTE_COST_US 6000 /* traffic between regions is billed */
/*
 * Added for a leaf in another region that this VM does not prefer, so that
 * fewer VMs connect to it.
 */
#define NOT_PREFERRED_COST_US 30000
#define STALL_COST_US	      200000 /* typical pause of a leaf */
#define FAILURE_COST_US	      300000 /* a failed request is sent again */
#define MISSING_ENTRY_COST_US 400000 /* last resort */
#define LOADED_FACTOR	      2.2    /* multiple of an idle leaf's work time */
/*
 * Maximum random increase as a fraction of the cost, so that VMs with equal
 * statistics choose different leaves.
 */
#define JITTER 0.05

static bool
is_excluded(const leaf_exclusions_t *exclusions, const tier_leaf_t *leaf)
{
	for (int i = 0; i < exclusions->count; i++)
		if (exclusions->leaves[i] == leaf)
			return true;
	return false;
}

bool
leaf_picker_is_departing(const tier_leaf_t *leaf)
{
	return leaf->entry.is_draining || leaf->notice.leaving_us != 0;
}

/* Time from which the leaf may be asked; INT64_MAX: never again. */
static int64_t
get_usable_from_us(const tier_leaf_t *leaf, int64_t now_us)
{
	if (leaf->is_removed || leaf->is_address_reused ||
	    leaf->entry.is_draining ||
	    (leaf->notice.leaving_us != 0 && now_us >= leaf->leave_by_us))
		return INT64_MAX;
	return MAX(leaf->stats.down_until_us, leaf->notice.retry_at_us);
}

static bool
is_usable(const tier_leaf_t *leaf, int64_t now_us)
{
	return now_us >= get_usable_from_us(leaf, now_us);
}

/*
 * Maximum of concurrent requests from this VM to a leaf. For a loaded leaf it
 * is halved, except for the most urgent rank: the leaf queues requests in order
 * of arrival, while this VM queues them by rank.
 */
static int
get_limit(const tier_leaf_t *leaf, int rank)
{
	if (rank == 0 || leaf->stats.load_factor < LOADED_FACTOR)
		return leaf->connection_limit;
	return MAX(leaf->connection_limit / 2, 1);
}

/* Whether a connection is free or may be opened. */
static bool
has_room(const tier_leaf_t *leaf, int rank, int64_t now_us)
{
	int limit = get_limit(leaf, rank);

	if (now_us < leaf->stats.connection_limit_until_us)
		limit = MIN(limit, leaf->connection_count);
	return leaf->in_flight < limit;
}

static double
get_cost_us(
    const tier_leaf_t *leaf, const route_stats_t *route_stats, int64_t now_us)
{
	static const double distance_cost[] = { 0, REGION_COST_US,
		REMOTE_COST_US };
	const leaf_stats_t *leaf_stats = &leaf->stats;
	double work = route_stats->mean_work_us * leaf_stats->work_factor;
	double cost = (double)*leaf->rtt_us + distance_cost[leaf->distance];

	cost += work * (1.0 + (double)leaf->in_flight / leaf->entry.slots);
	cost += leaf_stats->failure_rate * FAILURE_COST_US;
	if (leaf_stats->is_stalled)
		cost += STALL_COST_US;
	if (leaf->distance == 2 && !leaf->is_preferred)
		cost += NOT_PREFERRED_COST_US;
	if (leaf->entry.is_entry_missing)
		cost += MISSING_ENTRY_COST_US;
	return cost;
}

/* Chooses among the leaves that leave, or among the others. */
static leaf_picker_result_t
choose_among(const tier_service_t *service, bool is_leaving,
    const route_stats_t *route_stats, int rank,
    const leaf_exclusions_t *exclusions, int64_t now_us, gsl_rng *random,
    tier_leaf_t **leaf)
{
	leaf_picker_result_t result = LEAF_PICKER_NONE;
	double best = 0;
	tier_leaf_t *candidate;

	LIST_FOREACH(candidate, &service->leaves, in_service)
	{
		double cost;

		if ((candidate->notice.leaving_us != 0) != is_leaving ||
		    is_excluded(exclusions, candidate) ||
		    !is_usable(candidate, now_us))
			continue;
		if (!has_room(candidate, rank, now_us)) {
			if (result == LEAF_PICKER_NONE)
				result = LEAF_PICKER_BUSY;
			continue;
		}
		cost = get_cost_us(candidate, route_stats, now_us) *
		       (1.0 + JITTER * gsl_rng_uniform(random));
		if (*leaf != NULL && cost >= best)
			continue;
		*leaf = candidate;
		best = cost;
		result = LEAF_PICKER_FOUND;
	}
	return result;
}

/* A leaf that leaves is a last resort, for as long as it serves. */
leaf_picker_result_t
leaf_picker_choose(const tier_service_t *service,
    const route_stats_t *route_stats, int rank,
    const leaf_exclusions_t *exclusions, int64_t now_us, gsl_rng *random,
    tier_leaf_t **leaf, int64_t *expected_us)
{
	leaf_picker_result_t result;

	*leaf = NULL;
	result = choose_among(service, false, route_stats, rank, exclusions,
	    now_us, random, leaf);
	if (result == LEAF_PICKER_NONE)
		result = choose_among(service, true, route_stats, rank,
		    exclusions, now_us, random, leaf);
	if (*leaf != NULL)
		*expected_us = leaf_stats_get_expected_us(
		    route_stats, &(*leaf)->stats, *(*leaf)->rtt_us);
	return result;
}

int64_t
leaf_picker_get_wait_us(const tier_service_t *service, int rank, int64_t now_us)
{
	const tier_leaf_t *leaf;
	int room = 0, ahead = 0, busy = 0;
	bool is_any_usable = false;

	LIST_FOREACH(leaf, &service->leaves, in_service)
	{
		if (!is_usable(leaf, now_us))
			continue;
		is_any_usable = true;
		room += get_limit(leaf, rank);
		busy += leaf->in_flight;
	}
	if (!is_any_usable)
		return -1;
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
	int64_t first_us = INT64_MAX;

	LIST_FOREACH(leaf, &service->leaves, in_service)
	first_us = MIN(first_us, get_usable_from_us(leaf, now_us));
	return first_us == INT64_MAX ? -1 : MAX(first_us - now_us, 0);
}
