/**
 * @file feed_position.c
 * How far this VM has read a feed of the store.
 */
#include <errno.h>
#include <glib.h>
#include <stdlib.h>

#include "feed_position.h"

epoch_order_t
feed_position_compare_epoch(int64_t known, int64_t seen)
{
	if (seen == 0 || seen == known)
		return EPOCH_SAME;
	return seen > known ? EPOCH_NEWER : EPOCH_OLDER;
}

int64_t
feed_position_parse_epoch(const char *text)
{
	char *end;
	int64_t epoch;

	if (text == NULL || !g_ascii_isdigit(text[0]))
		return 0;
	errno = 0;
	epoch = g_ascii_strtoll(text, &end, 10);
	return errno == 0 && *end == '\0' ? epoch : 0;
}

void
feed_position_begin_epoch(feed_position_t *position, int64_t epoch)
{
	position->epoch = epoch;
	position->revision = position->unchanged = 0;
	position->is_listed = false;
}

void
feed_position_lose_history(feed_position_t *position)
{
	position->is_listed = false;
}

void
feed_position_set_list(
    feed_position_t *position, int64_t revision, int64_t complete_us)
{
	if (!position->is_listed) {
		position->revision = revision;
		position->complete_us = complete_us;
	}
	position->is_listed = true;
}

void
feed_position_advance(feed_position_t *position, int64_t revision)
{
	position->revision = MAX(position->revision, revision);
}

int64_t
feed_position_get_unchanged(const feed_position_t *position)
{
	return MAX(position->revision, position->unchanged);
}

void
feed_position_explain(
    feed_position_t *position, int64_t from, int64_t to, int count)
{
	if (from <= feed_position_get_unchanged(position) && to - from == count)
		position->unchanged = MAX(position->unchanged, to);
}

void
feed_position_confirm(feed_position_t *position, int64_t complete_us)
{
	position->complete_us = complete_us;
}
