/**
 * @file mirror.h
 * Serves this VM's view of the store to the VMs that follow it.
 */
#ifndef MIRROR_H
#define MIRROR_H

#include "feed_journal.h"
#include "tier_process.h"

/**
 * Header of each answer to a follower, in milliseconds. Changes: none of them
 * happened longer ago. List or no changes: it was complete so long ago.
 */
#define MIRROR_AGE_HEADER "View-Age-Ms"

/** Header of calls and answers: the epoch of the store that the VM knows. */
#define MIRROR_EPOCH_HEADER "View-Epoch"

typedef struct mirror mirror_t;

mirror_t *mirror_create(loop_t *loop, const protocol_t *protocol,
    const char *address, error_info_t *error); /* NULL: cannot listen */
void mirror_destroy(mirror_t *mirror);
/** Owned by the mirror. Call mirror_notify() after changes. */
feed_journal_t *mirror_get_journal(mirror_t *mirror, feed_t feed);
void mirror_notify(mirror_t *mirror, feed_t feed);
/** Whether a follower asked for a list that the journal does not have. */
bool mirror_is_list_wanted(const mirror_t *mirror, feed_t feed);
void mirror_clear_list_wanted(mirror_t *mirror, feed_t feed);
/** is_return: what was read before is void, and followers have to list. */
void mirror_begin_epoch(mirror_t *mirror, int64_t epoch, bool is_return);
/** Whether a follower knows a later epoch; once for each report. */
bool mirror_take_epoch_doubt(mirror_t *mirror);
/** While not serving, all calls are refused; the initial state. */
void mirror_set_serving(mirror_t *mirror, bool is_serving);
int mirror_count_followers(const mirror_t *mirror, int64_t now_us);

#endif
