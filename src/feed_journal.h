/**
 * @file feed_journal.h
 * Responses of the store to one feed, kept for the VMs that follow this one.
 */
#ifndef FEED_JOURNAL_H
#define FEED_JOURNAL_H

#include "plantainarch.h"

/** Beyond it the oldest changes are dropped, but never the newest page. */
#define FEED_JOURNAL_BYTES_MAX 1048576

typedef struct feed_journal feed_journal_t;

typedef enum journal_result {
	JOURNAL_CHANGED,  /* the body holds the next changes */
	JOURNAL_CURRENT,  /* nothing has changed since that revision */
	JOURNAL_COMPACTED /* changes after that revision are not all kept */
} journal_result_t;

feed_journal_t *feed_journal_create(void);
void feed_journal_destroy(feed_journal_t *journal);
/** Drops all: the store came back, and its revisions mean others now. */
void feed_journal_reset(feed_journal_t *journal);
/** Adds a page of a list in progress; an empty name begins the list anew. */
void feed_journal_add_list_page(feed_journal_t *journal, const char *after,
    const char *body, size_t length);
/**
 * The list in progress is complete, with all changes up to as_of_us. The
 * revision is that of its first page. It is continuous if changes are still
 * read from the revision before.
 */
void feed_journal_finish_list(feed_journal_t *journal, int64_t now_us,
    int64_t as_of_us, int64_t revision, bool is_continuous);
/** No change in the body happened before since_us. */
void feed_journal_add_changes(feed_journal_t *journal, int64_t now_us,
    int64_t since_us, int64_t to_revision, int count, const char *body,
    size_t length);
/** The journal holds all changes of the store up to this time. */
void feed_journal_set_complete(feed_journal_t *journal, int64_t complete_us);
/** NULL: none. Sets the time up to which the list is complete. */
const GString *feed_journal_find_list_page(
    const feed_journal_t *journal, const char *after, int64_t *as_of_us);
/**
 * Sets the time before which no change in the body happened, or up to which
 * there is none.
 */
journal_result_t feed_journal_find_changes(const feed_journal_t *journal,
    int64_t revision, const GString **body, int64_t *as_of_us);
int64_t feed_journal_get_revision(const feed_journal_t *journal);
/** False if changes after the list were dropped: list again to serve one. */
bool feed_journal_has_list(const feed_journal_t *journal);

#endif
