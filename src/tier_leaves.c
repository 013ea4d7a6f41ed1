/**
 * @file tier_leaves.c
 * Applies a directory: the configuration, the leaves of each service, and this
 * VM's connection limit for each leaf.
 */
#include <limits.h>
#include <stdio.h>
#include <string.h>

#include "tier_private.h"

/* Connections of a leaf's limit that are reserved for VMs that join. */
#define CONNECTION_SLACK 2
/* Per directory update; further changes are logged as one count. */
#define MAX_LEAF_LOG_LINES	 8
#define MAX_CONNECTIONS_PER_LEAF 32 /* from one VM */
/* Of drain_us, for requests that wait for a connection to the leaf. */
#define LEAVE_MARGIN_FRACTION (1.0 / 6)
#define INITIAL_ZONE_RTT_US   400 /* used until measured, by distance */
#define INITIAL_REGION_RTT_US 3500
#define INITIAL_REMOTE_RTT_US 25000

static int64_t *find_rtt(tier_t *tier, const char *zone);

tier_service_t *
tier_find_service(tier_t *tier, const char *name)
{
	tier_service_t *service = g_hash_table_lookup(tier->services, name);

	if (service != NULL)
		return service;
	service = g_new0(tier_service_t, 1);
	g_strlcpy(service->name, name, sizeof(service->name));
	/* Until the configuration names it: as the smallest that it names. */
	service->max_connections = tier->least_connections;
	LIST_INIT(&service->leaves);
	for (int i = 0; i < TIER_RANKS; i++)
		TAILQ_INIT(&service->queues[i]);
	budget_init(&service->budget, tier->options.retry_window_us);
	g_hash_table_insert(tier->services, service->name, service);
	return service;
}

static int
get_distance(const tier_t *tier, const char *zone)
{
	const char *region = g_hash_table_lookup(tier->options.regions, zone);

	if (strcmp(zone, tier->options.zone) == 0)
		return 0;
	if (region != NULL && strcmp(region, tier->options.region) == 0)
		return 1;
	return 2;
}

static int64_t *
find_rtt(tier_t *tier, const char *zone)
{
	static const int64_t initial[] = { INITIAL_ZONE_RTT_US,
		INITIAL_REGION_RTT_US, INITIAL_REMOTE_RTT_US };
	int64_t *rtt = g_hash_table_lookup(tier->rtts, zone);

	if (rtt != NULL)
		return rtt;
	rtt = g_new(int64_t, 1);
	*rtt = initial[get_distance(tier, zone)];
	g_hash_table_insert(tier->rtts, g_strdup(zone), rtt);
	return rtt;
}

void
tier_record_rtt(tier_leaf_t *leaf, int64_t rtt_us)
{
	/* The minimum is the network; anything above is load. */
	if (rtt_us < *leaf->rtt_us)
		*leaf->rtt_us = MAX(rtt_us, 50);
	else
		*leaf->rtt_us +=
		    (MIN(rtt_us, 2 * *leaf->rtt_us) - *leaf->rtt_us) / 20;
}

void
tier_update_leave_time(const tier_t *tier, tier_leaf_t *leaf)
{
	if (leaf->notice.leaving_us != 0)
		leaf->leave_by_us = leaf->notice.leaving_us +
				    (int64_t)((double)tier->options.drain_us *
					      (1.0 - LEAVE_MARGIN_FRACTION));
}

static void
remove_leaf(tier_t *tier, tier_leaf_t *leaf)
{
	if (!leaf->is_removed) {
		LIST_REMOVE(leaf, in_service);
		warming_remove_leaf(tier, leaf);
		g_hash_table_remove(tier->leaves, leaf->entry.id);
		leaf_notices_put(tier->notices, leaf->entry.id,
		    leaf->entry.started_ms, &leaf->notice);
		leaf->is_removed = true;
		tier->callbacks.close_leaf(tier->callbacks.context, leaf);
	}
	if (leaf->in_flight == 0)
		g_free(leaf);
}

static void
add_leaf(tier_t *tier, int64_t now_us, const leaf_entry_t *entry)
{
	tier_leaf_t *leaf = g_new0(tier_leaf_t, 1);

	leaf->entry = *entry;
	leaf->service = tier_find_service(tier, entry->service);
	leaf->distance = get_distance(tier, entry->zone);
	leaf->rtt_us = find_rtt(tier, entry->zone);
	leaf_stats_init(&leaf->stats);
	leaf->stats.warmup_until_us = now_us + entry->warmup_us;
	leaf->notice =
	    leaf_notices_take(tier->notices, entry->id, entry->started_ms);
	tier_update_leave_time(tier, leaf);
	LIST_INSERT_HEAD(&leaf->service->leaves, leaf, in_service);
	g_hash_table_insert(tier->leaves, leaf->entry.id, leaf);
}

/* A new start time, address or service makes it another leaf. */
static bool
is_same_leaf(const leaf_entry_t *left, const leaf_entry_t *right)
{
	return left->started_ms == right->started_ms &&
	       strcmp(left->address, right->address) == 0 &&
	       strcmp(left->service, right->service) == 0;
}

static void
log_leaf(tier_t *tier, const leaf_entry_t *entry, const char *change)
{
	char text[512];

	if (++tier->leaf_change_count > MAX_LEAF_LOG_LINES)
		return;
	snprintf(text, sizeof(text),
	    "\"leaf\":\"%s\",\"service\":\"%s\",\"address\":\"%s\","
	    "\"change\":\"%s\"",
	    entry->id, entry->service, entry->address, change);
	tier->callbacks.log(tier->callbacks.context, LOG_TIER_LEAF, text);
}

static void
apply_leaf(tier_t *tier, int64_t now_us, const leaf_entry_t *entry)
{
	tier_leaf_t *leaf = g_hash_table_lookup(tier->leaves, entry->id);

	if (leaf != NULL && !is_same_leaf(&leaf->entry, entry)) {
		log_leaf(tier, &leaf->entry, "replaced");
		remove_leaf(tier, leaf);
		leaf = NULL;
	}
	if (leaf == NULL) {
		add_leaf(tier, now_us, entry);
		log_leaf(tier, entry, entry->is_draining ? "draining" : "new");
		return;
	}
	if (leaf->entry.is_draining != entry->is_draining)
		log_leaf(tier, entry,
		    entry->is_draining ? "draining" : "ready again");
	leaf->entry = *entry;
}

static void
apply_table(tier_t *tier, route_table_t *table)
{
	char text[160];

	if (!route_table_is_newer(table, tier->table)) {
		if (table->version < tier->table->version)
			tier->callbacks.log(tier->callbacks.context,
			    LOG_INVARIANT_REVERT, "\"what\":\"configuration\"");
		return;
	}
	snprintf(text, sizeof(text),
	    "\"version\":%" G_GUINT64_FORMAT ",\"before\":%" G_GUINT64_FORMAT
	    ",\"epoch\":%" G_GINT64_FORMAT ",\"routes\":%u",
	    table->version, tier->table != NULL ? tier->table->version : 0,
	    table->epoch, table->routes->len);
	tier->callbacks.log(
	    tier->callbacks.context, LOG_TIER_CONFIGURATION, text);
	route_table_release(tier->table);
	tier->table = route_table_acquire(table);
	tier->limits = table->limits;
	tier->least_connections = table->services->len > 0 ? INT_MAX : 1;
	for (guint i = 0; i < table->services->len; i++) {
		const service_entry_t *entry =
		    g_ptr_array_index(table->services, i);

		tier->least_connections =
		    MIN(tier->least_connections, entry->max_connections);
	}
	for (guint i = 0; i < table->services->len; i++) {
		const service_entry_t *entry =
		    g_ptr_array_index(table->services, i);

		tier_find_service(tier, entry->name)->max_connections =
		    entry->max_connections;
	}
}

/* Logs how many changes were not listed. */
static void
log_unlisted_changes(tier_t *tier)
{
	char text[128];

	if (tier->leaf_change_count > MAX_LEAF_LOG_LINES) {
		snprintf(text, sizeof(text), "\"not_listed\":%d,\"known\":%u",
		    tier->leaf_change_count - MAX_LEAF_LOG_LINES,
		    g_hash_table_size(tier->leaves));
		tier->callbacks.log(
		    tier->callbacks.context, LOG_TIER_LEAFS, text);
	}
	tier->leaf_change_count = 0;
}

/*
 * Leaves limit their connections: a VM prefers one leaf of each service in the
 * other regions. Rendezvous hashing spreads the VMs evenly over these leaves.
 */
static void
choose_remote_leaf(tier_t *tier, tier_service_t *service)
{
	tier_leaf_t *leaf, *best = NULL;
	uint64_t best_hash = 0;

	LIST_FOREACH(leaf, &service->leaves, in_service)
	{
		uint64_t hash =
		    hash_pair(tier->options.seed, hash_text(leaf->entry.id));

		leaf->is_preferred = false;
		if (leaf->distance != 2 || leaf_picker_is_departing(leaf) ||
		    (best != NULL && hash < best_hash))
			continue;
		best = leaf;
		best_hash = hash;
	}
	if (best != NULL)
		best->is_preferred = true;
}

/*
 * Divides each leaf's connections among the VMs. During start-up this VM uses
 * half its share: leaves may still count its previous process's connections.
 */
void
tier_update_connection_limits(tier_t *tier)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, tier->leaves);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		tier_leaf_t *leaf = value;
		int share =
		    (leaf->service->max_connections - CONNECTION_SLACK) /
		    tier->vm_count;

		leaf->connection_limit =
		    CLAMP(tier->is_starting_up ? share / 2 : share, 1,
			MAX_CONNECTIONS_PER_LEAF);
	}
	g_hash_table_iter_init(&iter, tier->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		choose_remote_leaf(tier, value);
		warming_update_service(tier, value);
	}
}

void
tier_set_directory(tier_t *tier, int64_t now_us, const directory_t *directory)
{
	GHashTable *listed_ids = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *removed = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	if (directory->table != NULL)
		apply_table(tier, directory->table);
	for (guint i = 0; i < directory->leaves->len; i++) {
		leaf_entry_t *entry =
		    &g_array_index(directory->leaves, leaf_entry_t, i);

		g_hash_table_add(listed_ids, entry->id);
		apply_leaf(tier, now_us, entry);
	}
	g_hash_table_iter_init(&iter, tier->leaves);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!g_hash_table_contains(
			listed_ids, ((tier_leaf_t *)value)->entry.id))
			g_ptr_array_add(removed, value);
	for (guint i = 0; i < removed->len; i++) {
		tier_leaf_t *leaf = g_ptr_array_index(removed, i);

		log_leaf(tier, &leaf->entry, "gone");
		remove_leaf(tier, leaf);
	}
	log_unlisted_changes(tier);
	g_ptr_array_unref(removed);
	g_hash_table_unref(listed_ids);
	if (directory->vm_count > 0)
		tier->vm_count = directory->vm_count;
	tier_update_connection_limits(tier);
	tier->next_check_us = 0;
}
