/**
 * @file command_explain_request.c
 * `plantainarch explain-request`: prints the log lines of one or more VMs on
 * one request, leaf or configuration, in order of time.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "command.h"

#define LINE_BYTES_MAX 65536

/** Selects the log lines that have this value, a string or integer, at key. */
typedef struct log_filter {
	const char *key, *value;
	bool is_number;
} log_filter_t;

typedef struct log_line {
	int64_t time_us;
	json_t *fields;
	const char *file;
} log_line_t;

static bool
is_match(const json_t *fields, const log_filter_t *filter)
{
	const json_t *field = json_object_get(fields, filter->key);

	if (filter->is_number)
		return json_is_integer(field) &&
		       json_integer_value(field) ==
			   strtoll(filter->value, NULL, 10);
	return json_is_string(field) &&
	       strcmp(json_string_value(field), filter->value) == 0;
}

/*
 * Appends the line to lines if it matches the filter. Skips text before the
 * JSON object, such as the prefix that a log collector adds.
 */
static void
append_if_match(
    char *text, const char *file, const log_filter_t *filter, GArray *lines)
{
	const char *start = strchr(text, '{');
	log_line_t line = { .file = file };

	if (start == NULL)
		return;
	line.fields = json_loads(start, JSON_DISABLE_EOF_CHECK, NULL);
	if (line.fields == NULL || !is_match(line.fields, filter)) {
		json_decref(line.fields);
		return;
	}
	line.time_us =
	    json_integer_value(json_object_get(line.fields, "time_us"));
	g_array_append_val(lines, line);
}

static bool
read_log_file(const char *path, const log_filter_t *filter, GArray *lines,
    error_info_t *error)
{
	FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
	char text[LINE_BYTES_MAX];

	if (file == NULL)
		return error_set(error, ERROR_NOT_FOUND, "read logs", path,
		    "cannot open the file; give log files or - for "
		    "standard input");
	while (fgets(text, sizeof(text), file) != NULL)
		append_if_match(text, path, filter, lines);
	if (file != stdin)
		fclose(file);
	return true;
}

static gint
compare_lines(gconstpointer left, gconstpointer right)
{
	const log_line_t *a = left, *b = right;

	return a->time_us < b->time_us ? -1 : a->time_us > b->time_us;
}

static void
print_as_text(const log_line_t *line, int64_t first_us)
{
	const char *key;
	json_t *value;

	printf("%+10.1f ms  %s", (double)(line->time_us - first_us) / 1000,
	    json_string_value(json_object_get(line->fields, "name")));
	json_object_foreach(line->fields, key, value)
	{
		char *text;

		if (strcmp(key, "time_us") == 0 || strcmp(key, "event") == 0 ||
		    strcmp(key, "name") == 0)
			continue;
		text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
		printf(" %s=%s", key, text);
		free(text);
	}
	printf(" (%s)\n", line->file);
}

static void
print_lines(GArray *lines, bool is_json)
{
	for (guint i = 0; i < lines->len; i++) {
		const log_line_t *line = &g_array_index(lines, log_line_t, i);

		if (is_json) {
			json_dumpf(line->fields, stdout, JSON_COMPACT);
			printf("\n");
		} else
			print_as_text(
			    line, g_array_index(lines, log_line_t, 0).time_us);
		json_decref(line->fields);
	}
}

static int
print_matching_lines(
    const log_filter_t *filter, struct arg_file *files, bool is_json)
{
	GArray *lines = g_array_new(FALSE, FALSE, sizeof(log_line_t));
	error_info_t error = { 0 };
	bool is_good = true;
	int exit_code = 0;

	for (int i = 0; i < files->count && is_good; i++)
		is_good =
		    read_log_file(files->filename[i], filter, lines, &error);
	if (is_good && files->count == 0)
		is_good = read_log_file("-", filter, lines, &error);
	if (!is_good)
		exit_code = command_report("explain-request", &error);
	else if (lines->len == 0) {
		fprintf(stderr,
		    "plantainarch explain-request: no log line has %s \"%s\"; "
		    "ordinary successes are logged only at level info\n",
		    filter->key, filter->value);
		exit_code = 1;
	}
	g_array_sort(lines, compare_lines);
	print_lines(lines, is_json);
	g_array_unref(lines);
	return exit_code;
}

int
command_explain_request(int argc, char **argv)
{
	struct arg_str *id = arg_str0(NULL, NULL, "ID", "the id of a request");
	struct arg_str *leaf = arg_str0(
	    NULL, "leaf", "ID", "select lines by leaf, not by request");
	struct arg_str *version = arg_str0(NULL, "config", "VERSION",
	    "select lines by configuration version, not by request");
	struct arg_file *files = arg_filen(NULL, "log", "FILE", 0, 1024,
	    "log files of the VMs; default standard input");
	struct arg_lit *json =
	    arg_lit0(NULL, "json", "print the lines as JSON");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = { id, leaf, version, files, json, help, end };
	int exit_code = command_parse(argc, argv, table, help, end,
	    "Prints the log lines of one request, leaf or configuration, in "
	    "order of time.");
	log_filter_t filter = { .key = "id" };

	if (exit_code < 0 && id->count + leaf->count + version->count != 1) {
		fprintf(stderr, "plantainarch explain-request: give one of "
				"ID, --leaf and --config\n");
		exit_code = 2;
	}
	if (exit_code < 0) {
		if (leaf->count > 0)
			filter = (log_filter_t){ "leaf", leaf->sval[0], false };
		else if (version->count > 0)
			filter =
			    (log_filter_t){ "version", version->sval[0], true };
		else
			filter.value = id->sval[0];
		exit_code =
		    print_matching_lines(&filter, files, json->count > 0);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return exit_code;
}
