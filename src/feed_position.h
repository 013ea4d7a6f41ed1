/**
 * @file feed_position.h
 * How far this VM has read a feed of the store.
 *
 * The store may come back from an older copy of itself. It then gives revisions
 * out again, and its epoch rises by one: revisions of two epochs tell nothing
 * of each other.
 */
#ifndef FEED_POSITION_H
#define FEED_POSITION_H

#include <stdbool.h>
#include <stdint.h>

typedef struct feed_position {
	int64_t epoch;	   /* of the store; 0: it has not said */
	int64_t revision;  /* all changes up to it are in the view */
	int64_t unchanged; /* no change of this feed is between them */
	bool is_listed;	   /* the view has a whole list of this epoch */
	/** Boot clock, us: the view holds all changes up to then. */
	int64_t complete_us;
} feed_position_t;

typedef enum epoch_order {
	EPOCH_SAME,  /* or the answer does not say */
	EPOCH_NEWER, /* the store has come back since */
	EPOCH_OLDER  /* the answer is from before the store came back */
} epoch_order_t;

/** How the epoch of an answer relates to the known one; 0: not said. */
epoch_order_t feed_position_compare_epoch(int64_t known, int64_t seen);
/** Reads an epoch from a header's value; 0: it is not a positive number. */
int64_t feed_position_parse_epoch(const char *text);
/** Nothing is known of the feed in this epoch. */
void feed_position_begin_epoch(feed_position_t *position, int64_t epoch);
/** The history behind the revision is lost: list again. */
void feed_position_lose_history(feed_position_t *position);
/** A whole list was read. One beside a watch does not move the position. */
void feed_position_set_list(
    feed_position_t *position, int64_t revision, int64_t complete_us);
/** Changes up to the revision were read. */
void feed_position_advance(feed_position_t *position, int64_t revision);
/** The feed has not changed up to this revision, as far as is known. */
int64_t feed_position_get_unchanged(const feed_position_t *position);
/**
 * `count` changes of other feeds are known behind `from` and up to `to`. Each
 * revision is one change: if there are as many, this feed has not changed.
 */
void feed_position_explain(
    feed_position_t *position, int64_t from, int64_t to, int count);
/** The view is known to hold all changes up to this time. */
void feed_position_confirm(feed_position_t *position, int64_t complete_us);

#endif
