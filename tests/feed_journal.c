/**
 * @file feed_journal.c
 * What a follower gets from a reader's memory: never a gap, and "compacted"
 * where changes are missing.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "feed_journal.h"

#define SECOND_US 1000000

typedef enum step_type {
	LIST,	    /* a list whose first page has this revision */
	RELIST,	    /* the same, while changes are still read */
	CHANGES,    /* changes up to this revision */
	NO_CHANGES, /* an empty response with this revision */
	RETURN	    /* the store came back from an older copy */
} step_type_t;

typedef struct step {
	step_type_t type;
	int64_t revision, at_us;
} step_t;

typedef struct question {
	int64_t revision;
	journal_result_t result;
	int64_t next; /* revision of the changes that it gets */
} question_t;

static const struct test_case {
	const char *name;
	step_t steps[6];
	question_t questions[5];
} cases[] = {
	{ "nothing is read yet", { { 0 } }, { { 5, JOURNAL_COMPACTED, 0 } } },
	{ "just listed", { { LIST, 10, 0 } },
	    { { 10, JOURNAL_CURRENT, 0 }, { 12, JOURNAL_CURRENT, 0 },
		{ 9, JOURNAL_COMPACTED, 0 } } },
	{ "changes in order",
	    { { LIST, 10, 0 }, { CHANGES, 12, 1 }, { CHANGES, 15, 2 } },
	    { { 10, JOURNAL_CHANGED, 12 }, { 11, JOURNAL_CHANGED, 12 },
		{ 12, JOURNAL_CHANGED, 15 }, { 15, JOURNAL_CURRENT, 0 },
		{ 9, JOURNAL_COMPACTED, 0 } } },
	{ "revisions without changes",
	    { { LIST, 10, 0 }, { NO_CHANGES, 20, 1 }, { CHANGES, 22, 2 } },
	    { { 10, JOURNAL_CHANGED, 22 }, { 20, JOURNAL_CHANGED, 22 },
		{ 22, JOURNAL_CURRENT, 0 } } },
	{ "an older response changes nothing",
	    { { LIST, 10, 0 }, { CHANGES, 12, 1 }, { CHANGES, 11, 2 } },
	    { { 11, JOURNAL_CHANGED, 12 }, { 12, JOURNAL_CURRENT, 0 } } },
	{ "the history was lost: changes before the new list are unknown",
	    { { LIST, 10, 0 }, { CHANGES, 12, 1 }, { LIST, 30, 2 },
		{ CHANGES, 31, 3 } },
	    { { 12, JOURNAL_COMPACTED, 0 }, { 29, JOURNAL_COMPACTED, 0 },
		{ 30, JOURNAL_CHANGED, 31 } } },
	{ "the store came back: lower revisions are new ones",
	    { { LIST, 10, 0 }, { CHANGES, 30, 1 }, { RETURN, 1, 2 },
		{ LIST, 20, 3 }, { CHANGES, 25, 4 } },
	    { { 20, JOURNAL_CHANGED, 25 }, { 10, JOURNAL_COMPACTED, 0 },
		{ 25, JOURNAL_CURRENT, 0 } } },
	{ "the store came back, and nothing is listed yet",
	    { { LIST, 10, 0 }, { CHANGES, 30, 1 }, { RETURN, 1, 2 } },
	    { { 30, JOURNAL_COMPACTED, 0 }, { 10, JOURNAL_COMPACTED, 0 } } },
	{ "a list beside the changes leaves no gap for slow followers",
	    { { LIST, 10, 0 }, { CHANGES, 12, 1 }, { RELIST, 20, SECOND_US },
		{ CHANGES, 25, SECOND_US + 1 } },
	    { { 10, JOURNAL_CHANGED, 12 }, { 12, JOURNAL_CHANGED, 25 },
		{ 20, JOURNAL_CHANGED, 25 }, { 25, JOURNAL_CURRENT, 0 } } },
	{ "old changes go when a list includes them",
	    { { LIST, 10, 0 }, { CHANGES, 12, 1 }, { CHANGES, 15, 2 },
		{ RELIST, 15, 20 * (int64_t)SECOND_US } },
	    { { 10, JOURNAL_COMPACTED, 0 }, { 15, JOURNAL_CURRENT, 0 } } },
};

static void
run_step(feed_journal_t *journal, const step_t *step)
{
	char body[32];

	snprintf(body, sizeof(body), "%" G_GINT64_FORMAT, step->revision);
	switch (step->type) {
	case LIST:
	case RELIST:
		feed_journal_add_list_page(journal, "", body, strlen(body));
		feed_journal_add_list_page(journal, "m", "second", 6);
		feed_journal_finish_list(journal, step->at_us, step->at_us,
		    step->revision, step->type == RELIST);
		break;
	case RETURN:
		feed_journal_reset(journal);
		break;
	case CHANGES:
	case NO_CHANGES:
		feed_journal_add_changes(journal, step->at_us, step->at_us,
		    step->revision, step->type == CHANGES, body, strlen(body));
		break;
	}
}

static bool
ask(const feed_journal_t *journal, const question_t *question)
{
	const GString *body = NULL;
	int64_t as_of_us;
	journal_result_t result = feed_journal_find_changes(
	    journal, question->revision, &body, &as_of_us);
	int64_t next = body != NULL ? strtoll(body->str, NULL, 10) : 0;

	if (result == question->result && next == question->next)
		return true;
	printf("  FAIL: since %" G_GINT64_FORMAT
	       ": result %d, next %" G_GINT64_FORMAT
	       "; wanted %d, %" G_GINT64_FORMAT "\n",
	    question->revision, result, next, question->result, question->next);
	return false;
}

static bool
run_case(const struct test_case *test)
{
	feed_journal_t *journal = feed_journal_create();
	bool is_good = true;

	printf("%s\n", test->name);
	for (size_t i = 0; i < G_N_ELEMENTS(test->steps); i++)
		if (test->steps[i].revision > 0)
			run_step(journal, &test->steps[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(test->questions); i++)
		if (test->questions[i].revision > 0)
			is_good &= ask(journal, &test->questions[i]);
	feed_journal_destroy(journal);
	return is_good;
}

/* A list in progress is not served before it is complete. */
static bool
check_list_pages(void)
{
	feed_journal_t *journal = feed_journal_create();
	int64_t as_of_us;
	bool is_good;

	printf("pages of a list\n");
	feed_journal_add_list_page(journal, "", "one", 3);
	is_good = feed_journal_find_list_page(journal, "", &as_of_us) == NULL;
	feed_journal_add_list_page(journal, "k", "two", 3);
	feed_journal_finish_list(journal, 0, 0, 10, false);
	feed_journal_add_list_page(journal, "", "new", 3);
	is_good &=
	    strcmp(feed_journal_find_list_page(journal, "", &as_of_us)->str,
		"one") == 0 &&
	    strcmp(feed_journal_find_list_page(journal, "k", &as_of_us)->str,
		"two") == 0 &&
	    feed_journal_find_list_page(journal, "x", &as_of_us) == NULL;
	feed_journal_destroy(journal);
	if (!is_good)
		printf("  FAIL\n");
	return is_good;
}

/* Too many changes: the oldest go, and with them the list before them. */
static bool
check_bound(void)
{
	feed_journal_t *journal = feed_journal_create();
	char *body = g_strnfill(FEED_JOURNAL_BYTES_MAX / 3, 'x');
	const GString *found = NULL;
	int64_t as_of_us;
	bool is_good = true;

	printf("more changes than it keeps\n");
	feed_journal_add_list_page(journal, "", "list", 4);
	feed_journal_finish_list(journal, 0, 0, 10, false);
	for (int i = 1; i <= 4; i++)
		feed_journal_add_changes(
		    journal, i, i, 10 + i, 1, body, strlen(body));
	is_good &= feed_journal_find_changes(journal, 10, &found, &as_of_us) ==
		       JOURNAL_COMPACTED &&
		   feed_journal_find_changes(journal, 11, &found, &as_of_us) ==
		       JOURNAL_CHANGED;
	is_good &= !feed_journal_has_list(journal) &&
		   feed_journal_find_list_page(journal, "", &as_of_us) == NULL;
	feed_journal_add_list_page(journal, "", "again", 5);
	feed_journal_finish_list(journal, 5, 5, 14, true);
	is_good &=
	    feed_journal_find_list_page(journal, "", &as_of_us) != NULL &&
	    feed_journal_find_changes(journal, 12, &found, &as_of_us) ==
		JOURNAL_CHANGED;
	feed_journal_destroy(journal);
	g_free(body);
	if (!is_good)
		printf("  FAIL\n");
	return is_good;
}

/* A page that alone is over the bound still reaches those who are up to date.
 */
static bool
check_large_page(void)
{
	feed_journal_t *journal = feed_journal_create();
	char *body = g_strnfill(FEED_JOURNAL_BYTES_MAX + 1, 'x');
	const GString *found = NULL;
	int64_t as_of_us;
	bool is_good;

	printf("a page over the bound\n");
	feed_journal_add_list_page(journal, "", "list", 4);
	feed_journal_finish_list(journal, 0, 0, 10, false);
	feed_journal_add_changes(journal, 1, 1, 11, 1, "small", 5);
	feed_journal_add_changes(journal, 2, 2, 12, 1, body, strlen(body));
	is_good = feed_journal_find_changes(journal, 11, &found, &as_of_us) ==
		      JOURNAL_CHANGED &&
		  found->len == strlen(body) &&
		  feed_journal_find_changes(journal, 10, &found, &as_of_us) ==
		      JOURNAL_COMPACTED &&
		  !feed_journal_has_list(journal);
	feed_journal_destroy(journal);
	g_free(body);
	if (!is_good)
		printf("  FAIL\n");
	return is_good;
}

/*
 * A reader that learns late, or is asked late, must not make its followers
 * believe that a removal is recent: they would use the leaf for too long.
 */
static bool
check_ages(void)
{
	feed_journal_t *journal = feed_journal_create();
	const GString *found = NULL;
	int64_t list_as_of_us = 0, changes_as_of_us[2] = { 0 }, as_of_us = 0;
	bool is_good;

	printf("ages of what it answers\n");
	feed_journal_add_list_page(journal, "", "list", 4);
	feed_journal_finish_list(journal, 9, 7, 10, false);
	feed_journal_set_complete(journal, 7);
	feed_journal_add_changes(journal, 20, 12, 11, 1, "one", 3);
	feed_journal_add_changes(journal, 30, 22, 12, 1, "two", 3);
	feed_journal_set_complete(journal, 28);
	feed_journal_find_list_page(journal, "", &list_as_of_us);
	feed_journal_find_changes(journal, 10, &found, &changes_as_of_us[0]);
	feed_journal_find_changes(journal, 11, &found, &changes_as_of_us[1]);
	feed_journal_find_changes(journal, 12, &found, &as_of_us);
	is_good = list_as_of_us == 7 && changes_as_of_us[0] == 12 &&
		  changes_as_of_us[1] == 22 && as_of_us == 28;
	feed_journal_destroy(journal);
	if (!is_good)
		printf("  FAIL\n");
	return is_good;
}

int
main(void)
{
	bool is_good = check_list_pages() & check_bound() & check_ages() &
		       check_large_page();

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		is_good &= run_case(&cases[i]);
	return is_good ? 0 : 1;
}
