/**
 * @file gather.c
 * Keeps the greatest fixed-size records of many parts, compared bytewise.
 */
#include <string.h>

#include "tier.h"

struct gather {
	int record_count; /* limit of kept_count */
	int kept_count;
	char *records; /* in descending order */
};

gather_t *
gather_create(int record_count)
{
	gather_t *gather = g_new0(gather_t, 1);

	gather->record_count = record_count;
	gather->records = g_malloc((gsize)record_count * RECORD_BYTES + 1);
	return gather;
}

void
gather_destroy(gather_t *gather)
{
	if (gather == NULL)
		return;
	g_free(gather->records);
	g_free(gather);
}

static char *
get_record(const gather_t *gather, int position)
{
	return gather->records + (size_t)position * RECORD_BYTES;
}

/* Position of the first smaller record; equal records are all kept. */
static int
find_position(const gather_t *gather, const char *record)
{
	int low = 0, high = gather->kept_count;

	while (low < high) {
		int middle = (low + high) / 2;

		if (memcmp(get_record(gather, middle), record, RECORD_BYTES) <
		    0)
			high = middle;
		else
			low = middle + 1;
	}
	return low;
}

/* Returns early for records below the smallest kept one: the common case. */
static void
add_record(gather_t *gather, const char *record)
{
	bool is_full = gather->kept_count == gather->record_count;
	int position;

	if (is_full && (gather->kept_count == 0 ||
			   memcmp(get_record(gather, gather->kept_count - 1),
			       record, RECORD_BYTES) >= 0))
		return;
	position = find_position(gather, record);
	if (!is_full)
		gather->kept_count++;
	memmove(get_record(gather, position + 1), get_record(gather, position),
	    (size_t)(gather->kept_count - 1 - position) * RECORD_BYTES);
	memcpy(get_record(gather, position), record, RECORD_BYTES);
}

/* Ignores a remainder shorter than a record. */
void
gather_add(gather_t *gather, const char *body, size_t length)
{
	for (; length >= RECORD_BYTES; length -= RECORD_BYTES) {
		add_record(gather, body);
		body += RECORD_BYTES;
	}
}

void
gather_finish(gather_t *gather, GString *out)
{
	g_string_append_len(
	    out, gather->records, (gssize)gather->kept_count * RECORD_BYTES);
}
