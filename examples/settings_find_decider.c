/**
 * @file settings_find_decider.c
 * Prints the reason and author of the exception that sets the deadline of an
 * index and rank in a settings file, or "default" if no exception applies.
 *
 * Usage: settings_find_decider FILE INDEX RANK
 */
#include <stdio.h>

#include "plantainarch.h"

int
main(int argc, char **argv)
{
	const setting_exception_t *exception;
	problem_list_t problems;
	settings_t settings;
	error_info_t error = { 0 };
	scope_t scope = { 0 };
	rank_t rank;
	size_t length;
	char *text;

	if (argc != 4 || !rank_parse(argv[3], &rank)) {
		fprintf(
		    stderr, "Usage: settings_find_decider FILE INDEX RANK\n");
		return 2;
	}
	text = command_read_file(argv[1], &length, &error);
	if (text == NULL)
		return command_report("settings_find_decider", &error);
	problem_list_begin(&problems);
	if (!settings_parse(&settings, argv[1], text, length, &problems)) {
		fprintf(stderr, "%s\n",
		    (char *)g_ptr_array_index(problems.texts, 0));
		return 1;
	}
	problem_list_end(&problems);
	g_free(text);
	g_strlcpy(scope.index, argv[2], sizeof(scope.index));
	scope.rank = (int)rank;
	exception =
	    settings_find_exception(&settings, SETTING_DEADLINE_US, &scope);
	if (exception != NULL)
		printf("exception: %s (%s)\n", exception->reason,
		    exception->author);
	else
		printf("default\n");
	return 0;
}
