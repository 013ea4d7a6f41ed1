/**
 * @file departed.c
 * Lifetimes of leaves that drained or whose entry was removed.
 */
#include "departed.h"

#include <sys/queue.h>

#define LIFETIMES_MAX 4096

typedef struct lifetime {
	TAILQ_ENTRY(lifetime) by_age;
	char id[NAME_BYTES];
	int64_t started_ms;
	departure_t departure;
} lifetime_t;

struct departed {
	TAILQ_HEAD(lifetime_list, lifetime) by_age; /* the oldest first */
	GHashTable *by_id; /* the latest lifetime of each id */
};

departed_t *
departed_create(void)
{
	departed_t *departed = g_new0(departed_t, 1);

	TAILQ_INIT(&departed->by_age);
	departed->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	return departed;
}

static void
remove_lifetime(departed_t *departed, lifetime_t *lifetime)
{
	TAILQ_REMOVE(&departed->by_age, lifetime, by_age);
	g_hash_table_remove(departed->by_id, lifetime->id);
	g_free(lifetime);
}

void
departed_destroy(departed_t *departed)
{
	lifetime_t *lifetime, *next;

	for (lifetime = TAILQ_FIRST(&departed->by_age); lifetime != NULL;
	     lifetime = next) {
		next = TAILQ_NEXT(lifetime, by_age);
		g_free(lifetime);
	}
	g_hash_table_unref(departed->by_id);
	g_free(departed);
}

void
departed_put(departed_t *departed, const leaf_entry_t *entry, bool is_drained,
    int64_t epoch)
{
	lifetime_t *lifetime = g_hash_table_lookup(departed->by_id, entry->id);

	if (lifetime != NULL)
		remove_lifetime(departed, lifetime);
	else if (g_hash_table_size(departed->by_id) >= LIFETIMES_MAX)
		remove_lifetime(departed, TAILQ_FIRST(&departed->by_age));
	lifetime = g_new0(lifetime_t, 1);
	g_strlcpy(lifetime->id, entry->id, sizeof(lifetime->id));
	lifetime->started_ms = entry->started_ms;
	lifetime->departure.is_drained = is_drained;
	lifetime->departure.epoch = epoch;
	lifetime->departure.revision = entry->revision;
	TAILQ_INSERT_TAIL(&departed->by_age, lifetime, by_age);
	g_hash_table_insert(departed->by_id, lifetime->id, lifetime);
}

void
departed_forget(departed_t *departed, const char *id)
{
	lifetime_t *lifetime = g_hash_table_lookup(departed->by_id, id);

	if (lifetime != NULL)
		remove_lifetime(departed, lifetime);
}

const departure_t *
departed_find(const departed_t *departed, const char *id, int64_t started_ms)
{
	const lifetime_t *lifetime = g_hash_table_lookup(departed->by_id, id);

	return lifetime != NULL && lifetime->started_ms == started_ms
		   ? &lifetime->departure
		   : NULL;
}
