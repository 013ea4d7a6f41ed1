/**
 * @file feed_journal.c
 * Responses of the store to one feed, kept unchanged for the VMs that follow
 * this one: the pages of the last complete list, and the changes since.
 */
#include <string.h>
#include <sys/queue.h>

#include "feed_journal.h"

/* Changes that a new list includes are kept this long for slow followers. */
#define SUPERSEDED_KEEP_US 10000000

typedef struct journal_page {
	TAILQ_ENTRY(journal_page) in_journal;
	int64_t to_revision, added_us;
	int64_t since_us; /* no change in it happened before */
	GString *body;
} journal_page_t;

typedef struct list_page {
	char *after; /* name that it was requested with; "": the first */
	GString *body;
} list_page_t;

struct feed_journal {
	GPtrArray *list, *new_list; /* list_page_t; new_list is in progress */
	TAILQ_HEAD(, journal_page) changes;
	size_t change_bytes;
	bool is_listed;
	int64_t list_revision;	/* of the first page of the list */
	int64_t since_revision; /* all later changes are here */
	int64_t revision;
	int64_t complete_us;   /* all changes up to then are here */
	int64_t list_as_of_us; /* the list holds all changes up to then */
};

static void
destroy_list_page(gpointer data)
{
	list_page_t *page = data;

	g_free(page->after);
	g_string_free(page->body, TRUE);
	g_free(page);
}

feed_journal_t *
feed_journal_create(void)
{
	feed_journal_t *journal = g_new0(feed_journal_t, 1);

	journal->list = g_ptr_array_new_with_free_func(destroy_list_page);
	journal->new_list = g_ptr_array_new_with_free_func(destroy_list_page);
	TAILQ_INIT(&journal->changes);
	return journal;
}

static void
remove_change(feed_journal_t *journal, journal_page_t *page)
{
	TAILQ_REMOVE(&journal->changes, page, in_journal);
	journal->change_bytes -= page->body->len;
	g_string_free(page->body, TRUE);
	g_free(page);
}

void
feed_journal_reset(feed_journal_t *journal)
{
	journal_page_t *page, *next;

	for (page = TAILQ_FIRST(&journal->changes); page != NULL; page = next) {
		next = TAILQ_NEXT(page, in_journal);
		remove_change(journal, page);
	}
	g_ptr_array_set_size(journal->list, 0);
	g_ptr_array_set_size(journal->new_list, 0);
	journal->is_listed = false;
	journal->list_revision = journal->since_revision = 0;
	journal->revision = 0;
}

void
feed_journal_destroy(feed_journal_t *journal)
{
	feed_journal_reset(journal);
	g_ptr_array_unref(journal->list);
	g_ptr_array_unref(journal->new_list);
	g_free(journal);
}

void
feed_journal_add_list_page(
    feed_journal_t *journal, const char *after, const char *body, size_t length)
{
	list_page_t *page = g_new0(list_page_t, 1);

	if (after[0] == '\0')
		g_ptr_array_set_size(journal->new_list, 0);
	page->after = g_strdup(after);
	page->body = g_string_new_len(body, (gssize)length);
	g_ptr_array_add(journal->new_list, page);
}

void
feed_journal_finish_list(feed_journal_t *journal, int64_t now_us,
    int64_t as_of_us, int64_t revision, bool is_continuous)
{
	GPtrArray *replaced = journal->list;
	journal_page_t *page, *next;

	journal->list = journal->new_list;
	journal->new_list = replaced;
	g_ptr_array_set_size(replaced, 0);
	for (page = TAILQ_FIRST(&journal->changes); page != NULL; page = next) {
		next = TAILQ_NEXT(page, in_journal);
		if (!is_continuous ||
		    (page->to_revision <= revision &&
			now_us - page->added_us > SUPERSEDED_KEEP_US)) {
			journal->since_revision = page->to_revision;
			remove_change(journal, page);
		}
	}
	journal->list_revision = revision;
	journal->list_as_of_us = as_of_us;
	if (!journal->is_listed || !is_continuous) {
		journal->since_revision = revision;
		journal->revision = revision;
	}
	journal->is_listed = true;
}

void
feed_journal_add_changes(feed_journal_t *journal, int64_t now_us,
    int64_t since_us, int64_t to_revision, int count, const char *body,
    size_t length)
{
	journal_page_t *page, *next;

	if (to_revision <= journal->revision)
		return;
	journal->revision = to_revision;
	if (count == 0)
		return;
	page = g_new0(journal_page_t, 1);
	page->to_revision = to_revision;
	page->added_us = now_us;
	page->since_us = since_us;
	page->body = g_string_new_len(body, (gssize)length);
	TAILQ_INSERT_TAIL(&journal->changes, page, in_journal);
	journal->change_bytes += length;
	/* The newest page stays: followers that are up to date need it. */
	for (page = TAILQ_FIRST(&journal->changes);
	     journal->change_bytes > FEED_JOURNAL_BYTES_MAX; page = next) {
		next = TAILQ_NEXT(page, in_journal);
		if (next == NULL)
			break;
		journal->since_revision = page->to_revision;
		remove_change(journal, page);
	}
}

void
feed_journal_set_complete(feed_journal_t *journal, int64_t complete_us)
{
	journal->complete_us = complete_us;
}

bool
feed_journal_has_list(const feed_journal_t *journal)
{
	return journal->is_listed &&
	       journal->list_revision >= journal->since_revision;
}

const GString *
feed_journal_find_list_page(
    const feed_journal_t *journal, const char *after, int64_t *as_of_us)
{
	if (!feed_journal_has_list(journal))
		return NULL;
	*as_of_us = journal->list_as_of_us;
	for (guint i = 0; i < journal->list->len; i++) {
		const list_page_t *page = g_ptr_array_index(journal->list, i);

		if (strcmp(page->after, after) == 0)
			return page->body;
	}
	return NULL;
}

journal_result_t
feed_journal_find_changes(const feed_journal_t *journal, int64_t revision,
    const GString **body, int64_t *as_of_us)
{
	const journal_page_t *page;

	*as_of_us = journal->complete_us;
	if (!journal->is_listed || revision < journal->since_revision)
		return JOURNAL_COMPACTED;
	TAILQ_FOREACH (page, &journal->changes, in_journal) {
		if (page->to_revision > revision) {
			*body = page->body;
			*as_of_us = page->since_us;
			return JOURNAL_CHANGED;
		}
	}
	return JOURNAL_CURRENT;
}

int64_t
feed_journal_get_revision(const feed_journal_t *journal)
{
	return journal->revision;
}
