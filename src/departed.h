/**
 * @file departed.h
 * Lifetimes of leaves that drained or whose entry was removed. An older copy of
 * the store may list them as ready again.
 */
#ifndef DEPARTED_H
#define DEPARTED_H

#include "tier.h"

typedef struct departure {
	bool is_drained;  /* it said so itself; else its entry was removed */
	int64_t epoch;	  /* of the store when it became known */
	int64_t revision; /* of the last entry of the lifetime */
} departure_t;

typedef struct departed departed_t;

departed_t *departed_create(void);
void departed_destroy(departed_t *departed);
/** Remembers the entry's lifetime; the oldest goes if there are too many. */
void departed_put(departed_t *departed, const leaf_entry_t *entry,
    bool is_drained, int64_t epoch);
/** The leaf is back, by its own word. */
void departed_forget(departed_t *departed, const char *id);
/** NULL: this lifetime has not departed, as far as is known. */
const departure_t *departed_find(
    const departed_t *departed, const char *id, int64_t started_ms);

#endif
