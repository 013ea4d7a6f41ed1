/**
 * @file warming.c
 * Opens a connection to the nearest leaf of each service before it is needed.
 *
 * A gather over hundreds of shards that must open as many connections misses
 * its objective on a small VM: opening one costs more processor time than a
 * request on an open one. Leaves of a new set of shards are known some seconds
 * before the configuration names them, and a fresh VM is idle before it gets
 * callers.
 */
#include "tier_private.h"

#define WARMING_INTERVAL_US 40000
#define WARMING_BATCH	    4	/* connections in each interval */
#define WARMING_SHARE	    0.8 /* of a leaf's connections, over all VMs */

/*
 * Whether this VM is one of those that keep a connection to the leaf. If all
 * VMs did, a large fleet would need more connections than the leaf accepts.
 */
static bool
is_holder(const tier_t *tier, const tier_leaf_t *leaf, int leaf_count)
{
	double holders = (double)tier->vm_count / leaf_count;
	double wanted = WARMING_SHARE * leaf->service->max_connections;
	uint64_t hash =
	    hash_pair(tier->options.seed, hash_text(leaf->entry.id));

	return (double)(hash >> 32) / 4294967296.0 * holders < wanted;
}

void
warming_update_service(tier_t *tier, tier_service_t *service)
{
	tier_leaf_t *leaf, *nearest = NULL;
	uint64_t nearest_hash = 0;
	int leaf_count = 0;

	LIST_FOREACH(leaf, &service->leaves, in_service)
	{
		uint64_t hash =
		    hash_pair(tier->options.seed, hash_text(leaf->entry.id));

		if (leaf_picker_is_departing(leaf) ||
		    leaf->entry.is_entry_missing)
			continue;
		leaf_count++;
		if (nearest != NULL &&
		    (leaf->distance > nearest->distance ||
			(leaf->distance == nearest->distance &&
			    hash < nearest_hash)))
			continue;
		nearest = leaf;
		nearest_hash = hash;
	}
	if (nearest == NULL || nearest->is_warmed ||
	    nearest->is_warming_queued || !is_holder(tier, nearest, leaf_count))
		return;
	nearest->is_warming_queued = true;
	TAILQ_INSERT_TAIL(&tier->warming, nearest, in_warming);
}

void
warming_remove_leaf(tier_t *tier, tier_leaf_t *leaf)
{
	if (leaf->is_warming_queued)
		TAILQ_REMOVE(&tier->warming, leaf, in_warming);
	leaf->is_warming_queued = false;
}

static void
warm_leaf(tier_t *tier, tier_leaf_t *leaf, int64_t now_us)
{
	leaf->is_warmed = true;
	if (leaf->connection_count > 0 || leaf_picker_is_departing(leaf) ||
	    leaf->is_address_reused || now_us < leaf->stats.down_until_us ||
	    now_us < leaf->notice.retry_at_us ||
	    now_us < leaf->stats.connection_limit_until_us)
		return;
	tier->callbacks.warm_leaf(tier->callbacks.context, leaf);
}

/* Requests in work come first: they need the processor now. */
int64_t
warming_tick(tier_t *tier, int64_t now_us)
{
	if (TAILQ_EMPTY(&tier->warming))
		return INT64_MAX;
	if (now_us < tier->next_warming_us)
		return tier->next_warming_us;
	tier->next_warming_us = now_us + WARMING_INTERVAL_US;
	for (int i = 0; tier->request_count == 0 && i < WARMING_BATCH; i++) {
		tier_leaf_t *leaf = TAILQ_FIRST(&tier->warming);

		if (leaf == NULL)
			return INT64_MAX;
		warming_remove_leaf(tier, leaf);
		warm_leaf(tier, leaf, now_us);
	}
	return tier->next_warming_us;
}
