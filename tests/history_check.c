/**
 * @file history_check.c
 * Checks the outcomes that callers of orders received against the runs that the
 * upstream counted.
 *
 * Usage: history_check HISTORY STATS, where HISTORY has a line "KEY OUTCOME"
 * for each answer and STATS is the upstream stand-in's JSON. Without arguments
 * it tests itself on correct and faulty histories.
 */
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "plantainarch.h"

static int
check_key(const char *key, int runs, GPtrArray *outcomes, bool is_quiet)
{
	const char *last = g_ptr_array_index(outcomes, outcomes->len - 1);
	int errors = 0;
	const char *problem = NULL;

	if (runs > 1)
		problem = "ran more than once";
	for (guint i = 0; i < outcomes->len; i++) {
		const char *outcome = g_ptr_array_index(outcomes, i);

		if (strcmp(outcome, "done") == 0 && runs != 1)
			problem = "was called done and did not run once";
		else if (strcmp(outcome, "not_run") == 0 &&
			 i + 1 == outcomes->len && runs > 0)
			problem = "was called not_run and ran";
		else if (strcmp(outcome, "done") != 0 &&
			 strcmp(outcome, "not_run") != 0 &&
			 strcmp(outcome, "unknown") != 0 &&
			 strcmp(outcome, "none") != 0)
			problem = "has an outcome that does not exist";
	}
	if (problem != NULL) {
		errors++;
		if (!is_quiet)
			printf("order %s %s (%d runs, last outcome %s)\n", key,
			    problem, runs, last);
	}
	return errors;
}

static int
check_history(const char *history, const char *stats, bool is_quiet)
{
	json_t *root = json_loads(stats, 0, NULL);
	json_t *orders = json_object_get(root, "orders");
	GHashTable *keys = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
	char **lines = g_strsplit(history, "\n", -1);
	GHashTableIter iterator;
	gpointer key, outcomes;
	const char *name;
	json_t *count;
	int errors = orders == NULL;

	for (int i = 0; lines[i] != NULL; i++) {
		char **words = g_strsplit(lines[i], " ", 2);

		if (words[0] != NULL && words[1] != NULL) {
			GPtrArray *list = g_hash_table_lookup(keys, words[0]);

			if (list == NULL) {
				list = g_ptr_array_new_with_free_func(g_free);
				g_hash_table_insert(
				    keys, g_strdup(words[0]), list);
			}
			g_ptr_array_add(list, g_strdup(words[1]));
		}
		g_strfreev(words);
	}
	g_hash_table_iter_init(&iterator, keys);
	while (g_hash_table_iter_next(&iterator, &key, &outcomes))
		errors += check_key(key,
		    (int)json_integer_value(json_object_get(orders, key)),
		    outcomes, is_quiet);
	json_object_foreach(orders, name, count)
	{
		if (json_integer_value(count) > 1 &&
		    !g_hash_table_contains(keys, name)) {
			errors++;
			if (!is_quiet)
				printf("order %s ran %lld times\n", name,
				    json_integer_value(count));
		}
	}
	g_strfreev(lines);
	g_hash_table_destroy(keys);
	json_decref(root);
	return errors;
}

/* Checks that each faulty history is found and each correct one passes. */
static int
run_self_test(void)
{
	static const struct {
		const char *history, *stats;
		int errors;
	} cases[] = {
		{ "a done\n", "{\"orders\":{\"a\":1}}", 0 },
		{ "a not_run\n", "{\"orders\":{}}", 0 },
		{ "a unknown\na done\n", "{\"orders\":{\"a\":1}}", 0 },
		{ "a unknown\n", "{\"orders\":{}}", 0 },
		{ "a not_run\na done\n", "{\"orders\":{\"a\":1}}", 0 },
		{ "a done\n", "{\"orders\":{\"a\":2}}", 1 },
		{ "a done\n", "{\"orders\":{}}", 1 },
		{ "a not_run\n", "{\"orders\":{\"a\":1}}", 1 },
		{ "a done\na not_run\n", "{\"orders\":{\"a\":1}}", 1 },
		{ "a unknown\n", "{\"orders\":{\"a\":2}}", 1 },
		{ "", "{\"orders\":{\"b\":2}}", 1 },
		{ "a maybe\n", "{\"orders\":{}}", 1 },
		{ "a done\n", "no JSON", 2 },
	};
	int errors = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int found_errors =
		    check_history(cases[i].history, cases[i].stats, true);

		if (found_errors == cases[i].errors)
			continue;
		errors++;
		printf("case %zu: %d errors found, %d expected\n", i,
		    found_errors, cases[i].errors);
	}
	return errors;
}

int
main(int argc, char **argv)
{
	char *history = NULL, *stats = NULL;
	int errors;

	if (argc == 1)
		return run_self_test() == 0 ? 0 : 1;
	if (argc != 3 || !g_file_get_contents(argv[1], &history, NULL, NULL) ||
	    !g_file_get_contents(argv[2], &stats, NULL, NULL)) {
		fprintf(stderr, "Usage: history_check [HISTORY STATS]\n");
		return 2;
	}
	errors = check_history(history, stats, false);
	g_free(history);
	g_free(stats);
	return errors == 0 ? 0 : 1;
}
