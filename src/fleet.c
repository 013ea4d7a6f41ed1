/**
 * @file fleet.c
 * Immutable snapshot used by the traffic threads: members, index layouts,
 * settings in force and the relays of every upstream instance.
 *
 * The control thread builds a snapshot and shares it by reference count. A
 * query holds the snapshot it was admitted under until it is answered.
 *
 * Relays are VMs that queue requests for an instance. They are assigned by
 * rendezvous hashing: each block of consecutive instances orders the live
 * members, those of its own availability zone first.
 */
#include <ck_pr.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "plantainarch.h"

#define LAYOUT_PREFIX		"index/"
#define SETTINGS_NAME		"settings"
#define INSTANCES_PER_INDEX_MAX 4096
#define LEAVES_PER_INSTANCE_MAX 64

static bool read_settings(
    fleet_t *fleet, const document_t *document, error_info_t *error);
static bool read_layout(fleet_t *fleet, index_info_t *index,
    const document_t *document, GHashTable *leaving, error_info_t *error);
static bool read_instances(fleet_t *fleet, index_info_t *index,
    const json_t *list, GHashTable *leaving, error_info_t *error);
static bool read_shards(fleet_t *fleet, index_info_t *index, const json_t *list,
    error_info_t *error);
static void build_peers(fleet_t *fleet, const member_t *members, int count);
static void assign_relays(fleet_t *fleet, index_info_t *index);
static void destroy_index(index_info_t *index);
static void fill_values(fleet_t *fleet, index_info_t *index);

uint64_t
hash_text(const char *text)
{
	return XXH3_64bits(text, strlen(text));
}

uint64_t
hash_pair(uint64_t left, uint64_t right)
{
	uint64_t pair[2] = { left, right };

	return XXH3_64bits(pair, sizeof(pair));
}

fleet_t *
fleet_create(const char *self_id, uint64_t generation,
    const document_t *documents, int document_count, const member_t *members,
    int member_count, GHashTable *leaving, error_info_t *error)
{
	fleet_t *fleet = g_new0(fleet_t, 1);

	fleet->references = 1;
	fleet->generation = generation;
	g_strlcpy(fleet->self_id, self_id, sizeof(fleet->self_id));
	fleet->leaves = g_hash_table_new(g_int64_hash, g_int64_equal);
	settings_reset(&fleet->settings);
	build_peers(fleet, members, member_count);
	fleet->indexes = g_new0(index_info_t, document_count + 1);
	for (int i = 0; i < document_count; i++)
		if (strcmp(documents[i].name, SETTINGS_NAME) == 0 &&
		    !read_settings(fleet, &documents[i], error))
			goto failed;
	for (int i = 0; i < document_count; i++) {
		if (!g_str_has_prefix(documents[i].name, LAYOUT_PREFIX))
			continue;
		if (!read_layout(fleet, &fleet->indexes[fleet->index_count++],
			&documents[i], leaving, error))
			goto failed;
	}
	for (int i = 0; i < fleet->index_count; i++) {
		fill_values(fleet, &fleet->indexes[i]);
		assign_relays(fleet, &fleet->indexes[i]);
	}
	return fleet;
failed:
	fleet_release(fleet);
	return NULL;
}

fleet_t *
fleet_acquire(fleet_t *fleet)
{
	ck_pr_inc_int(&fleet->references);
	return fleet;
}

void
fleet_release(fleet_t *fleet)
{
	bool is_last;

	if (fleet == NULL)
		return;
	THREAD_RELEASE(fleet);
	ck_pr_dec_int_zero(&fleet->references, &is_last);
	if (!is_last)
		return;
	THREAD_ACQUIRE(fleet);
	for (int i = 0; i < fleet->index_count; i++)
		destroy_index(&fleet->indexes[i]);
	g_hash_table_destroy(fleet->leaves);
	g_free(fleet->indexes);
	g_free(fleet->members);
	g_free(fleet->peers);
	g_free(fleet);
}

const index_info_t *
fleet_find_index(const fleet_t *fleet, const char *name)
{
	for (int i = 0; i < fleet->index_count; i++)
		if (strcmp(fleet->indexes[i].name, name) == 0)
			return &fleet->indexes[i];
	return NULL;
}

leaf_t *
fleet_find_leaf(const fleet_t *fleet, uint64_t key)
{
	return g_hash_table_lookup(fleet->leaves, &key);
}

const peer_t *
fleet_find_peer(const fleet_t *fleet, uint64_t key)
{
	for (int i = 0; i < fleet->peer_count; i++)
		if (fleet->peers[i].key == key)
			return &fleet->peers[i];
	return NULL;
}

static bool
read_settings(fleet_t *fleet, const document_t *document, error_info_t *error)
{
	problem_list_t problems;
	bool is_valid;

	problem_list_begin(&problems);
	is_valid = settings_parse(&fleet->settings, document->name,
	    document->body, document->length, &problems);
	if (!is_valid)
		error_set(error, ERROR_INVALID, "read settings", "",
		    "version %" G_GUINT64_FORMAT ": %s", document->version,
		    (const char *)g_ptr_array_index(problems.texts, 0));
	fleet->settings_version = document->version;
	problem_list_end(&problems);
	return is_valid;
}

static bool
read_layout(fleet_t *fleet, index_info_t *index, const document_t *document,
    GHashTable *leaving, error_info_t *error)
{
	json_error_t json_error;
	json_t *root =
	    json_loadb(document->body, document->length, 0, &json_error);
	const char *name, *upstream;
	json_t *instances, *shards;
	int version;
	bool is_valid;

	if (root == NULL)
		return error_set(error, ERROR_INVALID, "read layout",
		    document->name, "line %d: %s", json_error.line,
		    json_error.text);
	if (json_unpack_ex(root, &json_error, 0, "{s:s, s:s, s:i, s:o, s:o}",
		"index", &name, "upstream", &upstream, "version", &version,
		"instances", &instances, "shards", &shards) != 0) {
		json_decref(root);
		return error_set(error, ERROR_INVALID, "read layout",
		    document->name, "%s", json_error.text);
	}
	g_strlcpy(index->name, name, sizeof(index->name));
	g_strlcpy(index->upstream, upstream, sizeof(index->upstream));
	index->version = (uint32_t)version;
	is_valid = read_instances(fleet, index, instances, leaving, error) &&
		   read_shards(fleet, index, shards, error);
	json_decref(root);
	return is_valid;
}

static bool
read_instance(fleet_t *fleet, index_info_t *index, instance_t *instance,
    json_t *entry, GHashTable *leaving, error_info_t *error)
{
	const char *id, *address, *zone, *region = "";
	int slots, is_leaving = 0;
	json_error_t json_error;
	char name[NAME_BYTES + 16];

	if (json_unpack_ex(entry, &json_error, 0,
		"{s:s, s:s, s:s, s?s, s:i, s:i, s:i, s?i, s?b}", "id", &id,
		"address", &address, "zone", &zone, "region", &region,
		"connections", &instance->connections, "leaves",
		&instance->leaf_count, "slots", &slots, "connect_us",
		&instance->connect_us, "leaving", &is_leaving) != 0)
		return error_set(error, ERROR_INVALID, "read layout",
		    index->name, "instance %d: %s", instance->ordinal,
		    json_error.text);
	if (instance->leaf_count < 1 ||
	    instance->leaf_count > LEAVES_PER_INSTANCE_MAX || slots < 1 ||
	    instance->connections < 1) {
		instance->leaf_count = 0;
		return error_set(error, ERROR_INVALID, "read layout",
		    index->name,
		    "instance %s: leaves must be 1 to %d, slots and "
		    "connections at least 1",
		    id, LEAVES_PER_INSTANCE_MAX);
	}
	g_strlcpy(instance->id, id, sizeof(instance->id));
	g_strlcpy(instance->address, address, sizeof(instance->address));
	g_strlcpy(instance->zone, zone, sizeof(instance->zone));
	g_strlcpy(instance->region, region, sizeof(instance->region));
	g_strlcpy(
	    instance->upstream, index->upstream, sizeof(instance->upstream));
	instance->key = hash_text(id);
	instance->is_leaving =
	    is_leaving ||
	    (leaving != NULL && g_hash_table_contains(leaving, &instance->key));
	instance->leaves = g_new0(leaf_t, instance->leaf_count);
	for (int i = 0; i < instance->leaf_count; i++) {
		snprintf(name, sizeof(name), "%s/%d", id, i);
		instance->leaves[i].key = hash_text(name);
		instance->leaves[i].instance = instance;
		instance->leaves[i].number = i;
		instance->leaves[i].slots = slots;
		g_hash_table_insert(fleet->leaves, &instance->leaves[i].key,
		    &instance->leaves[i]);
	}
	return true;
}

static bool
read_instances(fleet_t *fleet, index_info_t *index, const json_t *list,
    GHashTable *leaving, error_info_t *error)
{
	size_t count = json_array_size(list);

	if (count < 1 || count > INSTANCES_PER_INDEX_MAX)
		return error_set(error, ERROR_INVALID, "read layout",
		    index->name, "found %zu instances; allowed are 1 to %d",
		    count, INSTANCES_PER_INDEX_MAX);
	index->instances = g_new0(instance_t, count);
	for (size_t i = 0; i < count; i++) {
		index->instances[i].ordinal = (int)i;
		index->instance_count++;
		if (!read_instance(fleet, index, &index->instances[i],
			json_array_get(list, i), leaving, error))
			return false;
	}
	return true;
}

static bool
read_shards(fleet_t *fleet, index_info_t *index, const json_t *list,
    error_info_t *error)
{
	size_t count = json_array_size(list);

	if (count < 1 || count > SHARDS_MAX)
		return error_set(error, ERROR_INVALID, "read layout",
		    index->name, "found %zu shards; allowed are 1 to %d", count,
		    SHARDS_MAX);
	index->shard_count = (int)count;
	index->shards = g_new0(replica_set_t, count);
	for (size_t i = 0; i < count; i++) {
		json_t *replicas = json_array_get(list, i);
		size_t replica_count = json_array_size(replicas);

		if (replica_count < 1 || replica_count > REPLICAS_MAX)
			return error_set(error, ERROR_INVALID, "read layout",
			    index->name,
			    "shard %zu has %zu replicas; allowed are 1 to %d",
			    i, replica_count, REPLICAS_MAX);
		index->shards[i].count = (int)replica_count;
		for (size_t j = 0; j < replica_count; j++) {
			const char *name =
			    json_string_value(json_array_get(replicas, j));
			leaf_t *leaf = name != NULL ? fleet_find_leaf(fleet,
							  hash_text(name))
						    : NULL;

			if (leaf == NULL)
				return error_set(error, ERROR_INVALID,
				    "read layout", index->name,
				    "shard %zu refers to leaf \"%s\", which no "
				    "instance has",
				    i, name != NULL ? name : "");
			index->shards[i].replicas[j] = leaf;
		}
	}
	return true;
}

static void
build_peers(fleet_t *fleet, const member_t *members, int count)
{
	int threads = 0;

	fleet->member_count = count;
	fleet->members = g_memdup2(members, sizeof(*members) * (size_t)count);
	for (int i = 0; i < count; i++)
		threads += members[i].threads;
	fleet->peers = g_new0(peer_t, threads + 1);
	for (int i = 0; i < count; i++) {
		for (int thread = 0; thread < members[i].threads; thread++) {
			peer_t *peer = &fleet->peers[fleet->peer_count++];
			char name[NAME_BYTES + 16];

			snprintf(
			    name, sizeof(name), "%s/%d", members[i].id, thread);
			peer->key = hash_text(name);
			peer->member = &fleet->members[i];
			peer->thread = thread;
			snprintf(peer->endpoint, sizeof(peer->endpoint),
			    "tcp://%s:%d", members[i].address,
			    members[i].peer_port + 1 + thread);
		}
	}
}

typedef struct candidate {
	int peer;
	bool is_same_zone;
	uint64_t score;
} candidate_t;

static int
compare_candidates(const void *left, const void *right)
{
	const candidate_t *first = left, *second = right;

	if (first->is_same_zone != second->is_same_zone)
		return first->is_same_zone ? -1 : 1;
	if (first->score != second->score)
		return first->score > second->score ? -1 : 1;
	return 0;
}

/* Chooses up to RELAYS_MAX relays among the live members, the best first. A
 * hash selects one thread of each member. */
static int
choose_relays(
    const fleet_t *fleet, uint64_t block, const char *zone, int *relays)
{
	candidate_t *candidates = g_new0(candidate_t, fleet->peer_count + 1);
	int count = 0;

	for (int i = 0; i < fleet->peer_count; i++) {
		const peer_t *peer = &fleet->peers[i];
		uint64_t score = hash_pair(block, hash_text(peer->member->id));

		if (peer->member->state != MEMBER_ALIVE ||
		    (int)(score % (uint64_t)peer->member->threads) !=
			peer->thread)
			continue;
		candidates[count].peer = i;
		candidates[count].is_same_zone =
		    strcmp(peer->member->zone, zone) == 0;
		candidates[count++].score = score;
	}
	qsort(
	    candidates, (size_t)count, sizeof(*candidates), compare_candidates);
	count = MIN(count, RELAYS_MAX);
	for (int i = 0; i < count; i++)
		relays[i] = candidates[i].peer;
	g_free(candidates);
	return count;
}

/** Progress of relay assignment in one availability zone. */
typedef struct zone_placement {
	int assigned_count; /* instances of the zone that already have relays */
	const instance_t
	    *block_leader; /* first instance of the current block */
} zone_placement_t;

/* All instances of a block share the relays of its first one. */
static void
assign_relays(fleet_t *fleet, index_info_t *index)
{
	GHashTable *zones =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	int block_size = (int)index->values[0].value[SETTING_HOME_BLOCK];

	for (int i = 0; i < index->instance_count; i++) {
		instance_t *instance = &index->instances[i];
		zone_placement_t *zone =
		    g_hash_table_lookup(zones, instance->zone);
		char name[2 * NAME_BYTES + 32];

		if (zone == NULL) {
			zone = g_new0(zone_placement_t, 1);
			g_hash_table_insert(zones, instance->zone, zone);
		}
		if (zone->assigned_count % block_size == 0) {
			zone->block_leader = instance;
			snprintf(name, sizeof(name), "%s|%s|%d", index->name,
			    instance->zone, zone->assigned_count / block_size);
			instance->relay_count = choose_relays(fleet,
			    hash_text(name), instance->zone, instance->relays);
		} else {
			instance->relay_count = zone->block_leader->relay_count;
			memcpy(instance->relays, zone->block_leader->relays,
			    sizeof(instance->relays));
		}
		zone->assigned_count++;
	}
	g_hash_table_destroy(zones);
}

static void
fill_values(fleet_t *fleet, index_info_t *index)
{
	scope_t scope = { 0 };

	g_strlcpy(scope.index, index->name, sizeof(scope.index));
	g_strlcpy(scope.upstream, index->upstream, sizeof(scope.upstream));
	for (int i = 0; i < fleet->member_count; i++)
		if (strcmp(fleet->members[i].id, fleet->self_id) == 0)
			g_strlcpy(scope.zone, fleet->members[i].zone,
			    sizeof(scope.zone));
	for (rank_t rank = 0; rank < RANK_COUNT; rank++) {
		scope.rank = (int)rank;
		settings_get_values(
		    &fleet->settings, &scope, &index->values[rank]);
	}
}

static void
destroy_index(index_info_t *index)
{
	for (int i = 0; i < index->instance_count; i++)
		g_free(index->instances[i].leaves);
	g_free(index->instances);
	g_free(index->shards);
}
