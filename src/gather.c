/**
 * @file gather.c
 * Keeps the greatest fixed-size records of many parts, compared bytewise.
 */
#include <stdlib.h>
#include <string.h>

#include "tier.h"

struct gather {
	int record_count;
	GString *records; /* all that were added */
};

static int
compare_falling(const void *left, const void *right)
{
	return memcmp(right, left, RECORD_BYTES);
}

gather_t *
gather_create(int record_count)
{
	gather_t *gather = g_new0(gather_t, 1);

	gather->record_count = record_count;
	gather->records = g_string_sized_new(1024);
	return gather;
}

void
gather_destroy(gather_t *gather)
{
	if (gather == NULL)
		return;
	g_string_free(gather->records, TRUE);
	g_free(gather);
}

/* Sorts what was added, and cuts it to the greatest records. */
static void
shrink(gather_t *gather)
{
	size_t most = (size_t)gather->record_count * RECORD_BYTES;

	qsort(gather->records->str, gather->records->len / RECORD_BYTES,
	    RECORD_BYTES, compare_falling);
	if (gather->records->len > most)
		g_string_truncate(gather->records, most);
}

/* A remainder shorter than a record is no record. */
void
gather_add(gather_t *gather, const char *body, size_t length)
{
	size_t whole = length - length % RECORD_BYTES;

	g_string_append_len(gather->records, body, (gssize)whole);
}

void
gather_finish(gather_t *gather, GString *out)
{
	shrink(gather);
	g_string_append_len(
	    out, gather->records->str, (gssize)gather->records->len);
}
