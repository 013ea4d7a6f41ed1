/**
 * @file leaf_notice.h
 * What leaves said of themselves in their answers. It holds for the lifetime of
 * the leaf's process, also while the leaf is not listed.
 */
#ifndef LEAF_NOTICE_H
#define LEAF_NOTICE_H

#include "plantainarch.h"

typedef struct leaf_notice {
	int64_t leaving_us;  /* it said that it leaves; 0: it did not */
	int64_t retry_at_us; /* it wants no request before; 0: it did not say */
	bool has_bad_header; /* a header was ignored and logged */
} leaf_notice_t;

/** Notices of leaves that are not listed now, by id and start time. */
typedef struct leaf_notices leaf_notices_t;

leaf_notices_t *leaf_notices_create(void);
void leaf_notices_destroy(leaf_notices_t *notices);
/** Keeps the notice; the oldest one goes if there are too many. */
void leaf_notices_put(leaf_notices_t *notices, const char *id,
    int64_t started_ms, const leaf_notice_t *notice);
/** Takes the notice out. Empty if there is none of this lifetime. */
leaf_notice_t leaf_notices_take(
    leaf_notices_t *notices, const char *id, int64_t started_ms);

#endif
