/**
 * @file reply.c
 * Parses leaf replies and formats answers to callers, both JSON.
 */
#include <jansson.h>
#include <string.h>

#include "core_private.h"

#define HIT_TEXT_BYTES_MAX 4096

static bool read_hit(json_t *entry, hit_t *hit);
static int compare_hits(const void *left, const void *right);
static json_t *build_missing(const query_t *query);
static json_t *build_hits(const query_t *query);

/*
 * Checks that a reply belongs to this attempt and index version, and appends
 * its hits. On a mismatch or malformed reply it returns false and appends
 * nothing; a wrong index version also sets *violation to its log event.
 */
bool
reply_parse(const query_t *query, const attempt_t *attempt, const char *body,
    size_t length, GArray *hits, log_event_t *violation, error_info_t *error)
{
	json_t *root = json_loadb(body, length, 0, NULL);
	const char *peer = attempt->leaf->instance->address;
	const char *reply_request;
	json_int_t reply_attempt, reply_version;
	int reply_shard;
	json_t *hit_list, *entry;
	size_t i;
	guint previous_count = hits->len;

	*violation = 0;
	if (root == NULL ||
	    json_unpack(root, "{s:s, s:I, s:I, s:i, s:o}", "request",
		&reply_request, "attempt", &reply_attempt, "index_version",
		&reply_version, "shard", &reply_shard, "hits",
		&hit_list) != 0 ||
	    !json_is_array(hit_list)) {
		json_decref(root);
		return error_set(error, ERROR_INVALID, "read leaf reply", peer,
		    "%zu bytes are not a valid reply object", length);
	}
	if (strcmp(reply_request, query->request) != 0 ||
	    (uint64_t)reply_attempt != attempt->id ||
	    reply_shard != attempt->shard) {
		error_set(error, ERROR_CONFLICT, "read leaf reply", peer,
		    "reply belongs to request %.40s attempt %lld shard "
		    "%d",
		    reply_request, (long long)reply_attempt, reply_shard);
		json_decref(root);
		return false;
	}
	if ((uint32_t)reply_version != query->index->version) {
		*violation = LOG_INVARIANT_SNAPSHOT;
		error_set(error, ERROR_CONFLICT, "read leaf reply", peer,
		    "reply has index version %lld, expected %u",
		    (long long)reply_version, query->index->version);
		json_decref(root);
		return false;
	}
	json_array_foreach(hit_list, i, entry)
	{
		hit_t hit;

		if (i >= query->limit || !read_hit(entry, &hit))
			break;
		g_array_append_val(hits, hit);
	}
	if (i < json_array_size(hit_list) && i < query->limit) {
		for (guint j = previous_count; j < hits->len; j++) {
			g_free(g_array_index(hits, hit_t, j).id);
			g_free(g_array_index(hits, hit_t, j).text);
		}
		g_array_set_size(hits, previous_count);
		json_decref(root);
		return error_set(error, ERROR_INVALID, "read leaf reply", peer,
		    "hit %zu is invalid: id, score or text is missing, or its "
		    "text is too long",
		    i);
	}
	json_decref(root);
	return true;
}

void
reply_free_hits(GArray *hits)
{
	for (guint i = 0; i < hits->len; i++) {
		g_free(g_array_index(hits, hit_t, i).id);
		g_free(g_array_index(hits, hit_t, i).text);
	}
	g_array_set_size(hits, 0);
}

char *
reply_format_answer(const query_t *query, int64_t took_us, size_t *length)
{
	double fraction =
	    (double)query->answered_count / (double)query->slot_count;
	json_t *root;
	char *text;

	if (query->hits->len > 1)
		qsort(query->hits->data, query->hits->len, sizeof(hit_t),
		    compare_hits);
	root =
	    json_pack("{s:s, s:s, s:I, s:s, s:{s:i, s:i, s:f, s:o}, s:I, s:o}",
		"request_id", query->request, "index", query->index->name,
		"snapshot", (json_int_t)query->index->version, "rank",
		rank_get_name(query->rank), "coverage", "answered",
		query->answered_count, "total", query->slot_count, "fraction",
		fraction, "missing", build_missing(query), "took_us",
		(json_int_t)took_us, "hits", build_hits(query));
	text = json_dumps(root, JSON_COMPACT | JSON_REAL_PRECISION(6));
	json_decref(root);
	*length = strlen(text);
	return text;
}

static bool
read_hit(json_t *entry, hit_t *hit)
{
	const char *id, *text;
	double score;

	if (json_unpack(entry, "{s:s, s:F, s:s}", "id", &id, "score", &score,
		"text", &text) != 0 ||
	    strlen(text) > HIT_TEXT_BYTES_MAX)
		return false;
	hit->id = g_strdup(id);
	hit->text = g_strdup(text);
	hit->score = score;
	return true;
}

static int
compare_hits(const void *left, const void *right)
{
	const hit_t *one = left, *two = right;

	if (one->score != two->score)
		return one->score > two->score ? -1 : 1;
	return strcmp(one->id, two->id);
}

static json_t *
build_missing(const query_t *query)
{
	json_t *hit_list = json_array();

	for (int i = 0; i < query->slot_count; i++) {
		const char *reason = query->slots[i].missing_reason;

		if (query->slots[i].state != SLOT_ANSWERED)
			json_array_append_new(hit_list,
			    json_pack("{s:i, s:s}", "shard", i, "reason",
				reason != NULL ? reason : "late"));
	}
	return hit_list;
}

static json_t *
build_hits(const query_t *query)
{
	json_t *hit_list = json_array();

	for (guint i = 0; i < query->hits->len && i < query->limit; i++) {
		const hit_t *hit = &g_array_index(query->hits, hit_t, i);

		json_array_append_new(
		    hit_list, json_pack("{s:s, s:f, s:s}", "id", hit->id,
				  "score", hit->score, "text", hit->text));
	}
	return hit_list;
}
