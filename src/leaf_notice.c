/**
 * @file leaf_notice.c
 * Notices of leaves that are not listed now: an entry may be removed and come
 * back, from an older list or after an outage, while its leaf lives on.
 */
#include "leaf_notice.h"

#include <string.h>
#include <sys/queue.h>

#define NOTICES_MAX 2048

typedef struct kept_notice {
	TAILQ_ENTRY(kept_notice) by_age;
	char id[NAME_BYTES];
	int64_t started_ms;
	leaf_notice_t notice;
} kept_notice_t;

struct leaf_notices {
	TAILQ_HEAD(kept_list, kept_notice) by_age; /* the oldest first */
	GHashTable *by_id;
};

leaf_notices_t *
leaf_notices_create(void)
{
	leaf_notices_t *notices = g_new0(leaf_notices_t, 1);

	TAILQ_INIT(&notices->by_age);
	notices->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	return notices;
}

static void
remove_kept(leaf_notices_t *notices, kept_notice_t *kept)
{
	TAILQ_REMOVE(&notices->by_age, kept, by_age);
	g_hash_table_remove(notices->by_id, kept->id);
	g_free(kept);
}

void
leaf_notices_destroy(leaf_notices_t *notices)
{
	kept_notice_t *kept, *next;

	for (kept = TAILQ_FIRST(&notices->by_age); kept != NULL; kept = next) {
		next = TAILQ_NEXT(kept, by_age);
		g_free(kept);
	}
	g_hash_table_unref(notices->by_id);
	g_free(notices);
}

void
leaf_notices_put(leaf_notices_t *notices, const char *id, int64_t started_ms,
    const leaf_notice_t *notice)
{
	kept_notice_t *kept = g_hash_table_lookup(notices->by_id, id);

	if (notice->leaving_us == 0 && notice->retry_at_us == 0)
		return;
	if (kept != NULL)
		remove_kept(notices, kept);
	else if (g_hash_table_size(notices->by_id) >= NOTICES_MAX)
		remove_kept(notices, TAILQ_FIRST(&notices->by_age));
	kept = g_new0(kept_notice_t, 1);
	g_strlcpy(kept->id, id, sizeof(kept->id));
	kept->started_ms = started_ms;
	kept->notice = *notice;
	TAILQ_INSERT_TAIL(&notices->by_age, kept, by_age);
	g_hash_table_insert(notices->by_id, kept->id, kept);
}

leaf_notice_t
leaf_notices_take(leaf_notices_t *notices, const char *id, int64_t started_ms)
{
	kept_notice_t *kept = g_hash_table_lookup(notices->by_id, id);
	leaf_notice_t notice = { 0 };

	if (kept == NULL)
		return notice;
	if (kept->started_ms == started_ms)
		notice = kept->notice;
	remove_kept(notices, kept);
	return notice;
}
