/**
 * @file command_settings.c
 * `plantainarch settings`: shows, compares and changes the fleet settings
 * stored in the platform. Changes are conditional updates.
 */
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "command.h"

#define CALL_TIMEOUT_US		   5000000
#define WAIT_POLL_PERIOD_US	   200000
#define HISTORY_WRITE_ATTEMPTS_MAX 5
#define TARGETS_MAX		   1024
#define HISTORY_ENTRIES_MAX	   50

typedef struct arguments {
	const char *platform, *author, *reason, *scope, *file;
	uint64_t expected_version; /* reject the change if the stored version
				      differs; 0: no check */
	bool is_json, is_dry_run;
	const char **operands;
	int operand_count;
	const char **targets;
	int target_count;
	int timeout_s;
} arguments_t;

typedef int (*action_fn_t)(const arguments_t *arguments);

typedef struct settings_action {
	const char *name;
	action_fn_t run;
	const char *help;
} settings_action_t;

static int run_show(const arguments_t *arguments);
static int run_checklist(const arguments_t *arguments);
static int run_diff(const arguments_t *arguments);
static int run_apply(const arguments_t *arguments);
static int run_set(const arguments_t *arguments);
static int run_except(const arguments_t *arguments);
static int run_unexcept(const arguments_t *arguments);
static int run_history(const arguments_t *arguments);
static int run_wait(const arguments_t *arguments);

static const settings_action_t settings_actions[] = {
	{ "show", run_show, "print the settings as YAML" },
	{ "checklist", run_checklist,
	    "print the settings as a page to compare with a paper copy" },
	{ "diff", run_diff, "compare with FILE" },
	{ "apply", run_apply,
	    "replace the settings with FILE and print the changes" },
	{ "set", run_set, "change a default: set KEY VALUE [RANK]" },
	{ "except", run_except,
	    "add an exception: except SCOPE KEY VALUE --reason --author" },
	{ "unexcept", run_unexcept, "remove an exception: unexcept SCOPE KEY" },
	{ "history", run_history,
	    "list the recorded changes and their authors" },
	{ "wait", run_wait,
	    "wait until VERSION is in force on every --target" },
};

static bool read_settings_file(const char *path, settings_t *settings);
static int apply_change(const arguments_t *arguments,
    bool (*change)(
	settings_t *settings, const void *context, error_info_t *error),
    const void *context);
static bool write_history(const arguments_t *arguments, uint64_t version,
    const char *diff, error_info_t *error);

int
command_settings(int argc, char **argv)
{
	struct arg_str *operands = arg_strn(NULL, NULL, "ACTION [ARGUMENTS]", 1,
	    8,
	    "show, checklist, diff, apply, set, except, unexcept, history or "
	    "wait, with its arguments");
	struct arg_str *platform = arg_str0(
	    NULL, "platform", "URL", "base URL of the platform's object API");
	struct arg_str *author =
	    arg_str0(NULL, "author", "NAME", "author of the change");
	struct arg_str *reason =
	    arg_str0(NULL, "reason", "TEXT", "why the exception is needed");
	struct arg_int *expected = arg_int0(NULL, "if-version", "N",
	    "change the settings only if they have this version");
	struct arg_str *targets = arg_strn(NULL, "target", "HOST:PORT", 0,
	    TARGETS_MAX, "a VM to query (wait)");
	struct arg_int *timeout = arg_int0(NULL, "timeout-s", "N",
	    "maximum time to wait, in seconds; default 30");
	struct arg_lit *dry_run = arg_lit0(
	    NULL, "dry-run", "print the changes without applying them");
	struct arg_lit *json = arg_lit0(NULL, "json", "print as JSON");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = { operands, platform, author, reason, expected, targets,
		timeout, dry_run, json, help, end };
	int result = command_parse(argc, argv, table, help, end,
	    "Reads and changes the fleet's settings.\n");
	arguments_t arguments = { 0 };

	if (result == 0)
		for (size_t i = 0; i < G_N_ELEMENTS(settings_actions); i++)
			printf("  %-10s %s\n", settings_actions[i].name,
			    settings_actions[i].help);
	if (result >= 0)
		goto done;
	arguments.operands = operands->sval + 1;
	arguments.operand_count = operands->count - 1;
	arguments.platform = platform->count > 0
				 ? platform->sval[0]
				 : g_getenv("PLANTAINARCH_PLATFORM");
	arguments.author =
	    author->count > 0 ? author->sval[0] : g_get_user_name();
	arguments.reason = reason->count > 0 ? reason->sval[0] : NULL;
	arguments.expected_version =
	    expected->count > 0 ? (uint64_t)expected->ival[0] : 0;
	arguments.targets = targets->sval;
	arguments.target_count = targets->count;
	arguments.timeout_s = timeout->count > 0 ? timeout->ival[0] : 30;
	arguments.is_dry_run = dry_run->count > 0;
	arguments.is_json = json->count > 0;
	result = 2;
	if (arguments.platform == NULL &&
	    strcmp(operands->sval[0], "wait") != 0) {
		fprintf(stderr, "plantainarch settings: give --platform URL or "
				"set PLANTAINARCH_PLATFORM\n");
		goto done;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(settings_actions); i++) {
		if (strcmp(operands->sval[0], settings_actions[i].name) == 0) {
			result = settings_actions[i].run(&arguments);
			goto done;
		}
	}
	fprintf(stderr,
	    "plantainarch settings: \"%s\" is not an action; see 'plantainarch "
	    "settings --help'\n",
	    operands->sval[0]);
done:
	arg_freetable(table, G_N_ELEMENTS(table));
	return result;
}

static int
run_show(const arguments_t *arguments)
{
	settings_t settings;
	uint64_t version;
	error_info_t error = { 0 };
	char *text;

	if (!command_get_fleet_settings(
		arguments->platform, &settings, &version, NULL, &error))
		return command_report("settings show", &error);
	text = settings_format(&settings);
	if (arguments->is_json) {
		json_t *root = json_pack("{s:I, s:s}", "version",
		    (json_int_t)version, "settings", text);

		json_dumpf(root, stdout, JSON_COMPACT);
		printf("\n");
		json_decref(root);
	} else {
		printf("# version %" G_GUINT64_FORMAT "\n%s", version, text);
	}
	g_free(text);
	return 0;
}

static int
run_checklist(const arguments_t *arguments)
{
	settings_t settings;
	uint64_t version;
	error_info_t error = { 0 };
	char *text;

	if (!command_get_fleet_settings(
		arguments->platform, &settings, &version, NULL, &error))
		return command_report("settings checklist", &error);
	text = settings_format_checklist(&settings, version);
	printf("%s", text);
	g_free(text);
	return 0;
}

static int
run_diff(const arguments_t *arguments)
{
	settings_t current, proposed;
	uint64_t version;
	error_info_t error;
	char *diff;

	if (arguments->operand_count != 1) {
		fprintf(stderr, "plantainarch settings diff: name one FILE\n");
		return 2;
	}
	if (!read_settings_file(arguments->operands[0], &proposed))
		return 1;
	if (!command_get_fleet_settings(
		arguments->platform, &current, &version, NULL, &error))
		return command_report("settings diff", &error);
	diff = settings_diff(&current, &proposed);
	printf("%s", diff[0] != '\0' ? diff : "no differences\n");
	g_free(diff);
	return 0;
}

static bool
replace_settings(settings_t *settings, const void *context, error_info_t *error)
{
	*settings = *(const settings_t *)context;
	return true;
}

static int
run_apply(const arguments_t *arguments)
{
	settings_t proposed;

	if (arguments->operand_count != 1) {
		fprintf(stderr, "plantainarch settings apply: name one FILE\n");
		return 2;
	}
	if (!read_settings_file(arguments->operands[0], &proposed))
		return 1;
	return apply_change(arguments, replace_settings, &proposed);
}

static bool
set_default(settings_t *settings, const void *context, error_info_t *error)
{
	const arguments_t *arguments = context;
	char allowed[REASON_BYTES];
	setting_key_t key;
	rank_t rank = RANK_URGENT;
	int64_t value;

	if (!settings_find_key(arguments->operands[0], &key))
		return error_set(error, ERROR_INVALID, "set default", "",
		    "\"%s\" is not a setting; 'plantainarch check --list' "
		    "prints them all",
		    arguments->operands[0]);
	if (!settings_parse_value(
		key, arguments->operands[1], &value, allowed, sizeof(allowed)))
		return error_set(error, ERROR_INVALID, "set default", "",
		    "found \"%s\"; allowed is %s", arguments->operands[1],
		    allowed);
	if (arguments->operand_count == 3 &&
	    (!settings_get_info(key)->by_rank ||
		!rank_parse(arguments->operands[2], &rank)))
		return error_set(error, ERROR_INVALID, "set default", "",
		    "\"%s\" is not a rank, or setting %s has no value per rank",
		    arguments->operands[2], arguments->operands[0]);
	for (rank_t i = 0; i < RANK_COUNT; i++)
		if (arguments->operand_count == 2 || i == rank)
			settings->defaults[key][i] = value;
	return true;
}

static int
run_set(const arguments_t *arguments)
{
	if (arguments->operand_count < 2 || arguments->operand_count > 3) {
		fprintf(stderr,
		    "plantainarch settings set: give KEY VALUE [RANK]\n");
		return 2;
	}
	return apply_change(arguments, set_default, arguments);
}

static int
find_exception(
    const settings_t *settings, const scope_t *scope, setting_key_t key)
{
	for (int i = 0; i < settings->exception_count; i++)
		if (settings->exceptions[i].key == key &&
		    memcmp(&settings->exceptions[i].scope, scope,
			sizeof(*scope)) == 0)
			return i;
	return -1;
}

static bool
set_exception(settings_t *settings, const void *context, error_info_t *error)
{
	const arguments_t *arguments = context;
	setting_exception_t exception = { 0 };
	char allowed[REASON_BYTES];
	int position;

	if (!settings_parse_scope(
		arguments->operands[0], &exception.scope, error))
		return false;
	if (!settings_find_key(arguments->operands[1], &exception.key))
		return error_set(error, ERROR_INVALID, "add exception", "",
		    "\"%s\" is not a setting; 'plantainarch check --list' "
		    "prints them all",
		    arguments->operands[1]);
	if (!settings_parse_value(exception.key, arguments->operands[2],
		&exception.value, allowed, sizeof(allowed)))
		return error_set(error, ERROR_INVALID, "add exception", "",
		    "found \"%s\"; allowed is %s", arguments->operands[2],
		    allowed);
	position = find_exception(settings, &exception.scope, exception.key);
	if (position < 0)
		position = settings->exception_count;
	if (position >= EXCEPTIONS_MAX)
		return error_set(error, ERROR_INVALID, "add exception", "",
		    "there are already %d exceptions, the maximum; turn some "
		    "into defaults",
		    EXCEPTIONS_MAX);
	g_strlcpy(
	    exception.reason, arguments->reason, sizeof(exception.reason));
	g_strlcpy(
	    exception.author, arguments->author, sizeof(exception.author));
	settings->exceptions[position] = exception;
	settings->exception_count =
	    MAX(settings->exception_count, position + 1);
	return true;
}

static int
run_except(const arguments_t *arguments)
{
	if (arguments->operand_count != 3 || arguments->reason == NULL ||
	    arguments->reason[0] == '\0') {
		fprintf(stderr, "plantainarch settings except: give SCOPE KEY "
				"VALUE and --reason TEXT\n");
		return 2;
	}
	return apply_change(arguments, set_exception, arguments);
}

static bool
remove_exception(settings_t *settings, const void *context, error_info_t *error)
{
	const arguments_t *arguments = context;
	setting_key_t key;
	scope_t scope;
	int position;

	if (!settings_parse_scope(arguments->operands[0], &scope, error))
		return false;
	if (!settings_find_key(arguments->operands[1], &key) ||
	    (position = find_exception(settings, &scope, key)) < 0)
		return error_set(error, ERROR_NOT_FOUND, "remove exception", "",
		    "there is none for %s %s; see 'plantainarch settings "
		    "checklist'",
		    arguments->operands[0], arguments->operands[1]);
	for (int i = position; i + 1 < settings->exception_count; i++)
		settings->exceptions[i] = settings->exceptions[i + 1];
	settings->exception_count--;
	return true;
}

static int
run_unexcept(const arguments_t *arguments)
{
	if (arguments->operand_count != 2) {
		fprintf(
		    stderr, "plantainarch settings unexcept: give SCOPE KEY\n");
		return 2;
	}
	return apply_change(arguments, remove_exception, arguments);
}

static int
run_history(const arguments_t *arguments)
{
	char *url =
	    g_strdup_printf("%s/objects/history/settings", arguments->platform);
	GString *reply = g_string_new(NULL);
	error_info_t error;
	int status = 0;
	int result = 0;

	if (!fetch_run_blocking("GET", url, NULL, CALL_TIMEOUT_US, &status,
		NULL, reply, &error))
		result = command_report("settings history", &error);
	else if (status == 404)
		printf("no changes recorded\n");
	else {
		json_t *list = json_loadb(reply->str, reply->len, 0, NULL);
		json_t *item;
		size_t i;

		json_array_foreach(list, i, item)
		    printf("version %lld by %s at %lld\n%s",
			json_integer_value(json_object_get(item, "version")),
			json_string_value(json_object_get(item, "author")),
			json_integer_value(json_object_get(item, "time_s")),
			json_string_value(json_object_get(item, "diff")));
		json_decref(list);
	}
	g_string_free(reply, TRUE);
	g_free(url);
	return result;
}

/*
 * Polls the settings version of every target until all have reached the target
 * version or the timeout expires.
 */
static int
run_wait(const arguments_t *arguments)
{
	uint64_t target_version =
	    arguments->operand_count == 1
		? g_ascii_strtoull(arguments->operands[0], NULL, 10)
		: 0;
	int64_t start_us = clock_get_us();
	GString *lagging_vms = g_string_new(NULL);
	int lagging_count = 0;

	if (target_version == 0 || arguments->target_count == 0) {
		fprintf(stderr, "plantainarch settings wait: give VERSION and "
				"at least one --target\n");
		g_string_free(lagging_vms, TRUE);
		return 2;
	}
	do {
		lagging_count = 0;
		g_string_truncate(lagging_vms, 0);
		for (int i = 0; i < arguments->target_count; i++) {
			char *url = g_strdup_printf(
			    "http://%s/status", arguments->targets[i]);
			GString *reply = g_string_new(NULL);
			json_t *root = NULL;
			error_info_t error;
			int status = 0;
			uint64_t version = 0;

			if (fetch_run_blocking("GET", url, NULL,
				CALL_TIMEOUT_US, &status, NULL, reply, &error))
				root =
				    json_loadb(reply->str, reply->len, 0, NULL);
			version = (uint64_t)json_integer_value(
			    json_object_get(root, "settings_version"));
			if (version < target_version) {
				lagging_count++;
				g_string_append_printf(lagging_vms,
				    "  %s has version %" G_GUINT64_FORMAT "\n",
				    arguments->targets[i], version);
			}
			json_decref(root);
			g_string_free(reply, TRUE);
			g_free(url);
		}
		if (lagging_count > 0)
			g_usleep(WAIT_POLL_PERIOD_US);
	} while (
	    lagging_count > 0 && clock_get_us() - start_us <
				     (int64_t)arguments->timeout_s * 1000000);
	if (lagging_count == 0)
		printf("version %" G_GUINT64_FORMAT
		       " is in force on all %d VMs after %.1f s\n",
		    target_version, arguments->target_count,
		    (double)(clock_get_us() - start_us) / 1e6);
	else
		printf("version %" G_GUINT64_FORMAT
		       " is not in force on %d of %d VMs:\n%s",
		    target_version, lagging_count, arguments->target_count,
		    lagging_vms->str);
	g_string_free(lagging_vms, TRUE);
	return lagging_count == 0 ? 0 : 1;
}

static bool
read_settings_file(const char *path, settings_t *settings)
{
	problem_list_t problems;
	error_info_t error;
	size_t length;
	char *text = command_read_file(path, &length, &error);
	bool is_good;

	if (text == NULL) {
		command_report("settings", &error);
		return false;
	}
	problem_list_begin(&problems);
	is_good = settings_parse(settings, path, text, length, &problems);
	for (guint i = 0; i < problems.texts->len; i++)
		fprintf(stderr, "%s\n",
		    (const char *)g_ptr_array_index(problems.texts, i));
	problem_list_end(&problems);
	g_free(text);
	return is_good;
}

/*
 * Applies one change by conditional update: read, change, validate, write. If
 * another operator has changed the settings in the meantime, prints that
 * change and writes nothing. If the reply to the write is lost, reads the
 * settings again to find out whether the write took effect.
 */
static int
apply_change(const arguments_t *arguments,
    bool (*change)(
	settings_t *settings, const void *context, error_info_t *error),
    const void *context)
{
	settings_t before, after, current;
	uint64_t version, written_version = 0, current_version;
	char *diff = NULL, *body = NULL, *url = NULL;
	GString *reply = g_string_new(NULL);
	problem_list_t problems;
	error_info_t error = { 0 };
	int status = 0;
	int result = 0;

	problem_list_begin(&problems);
	if (!command_get_fleet_settings(
		arguments->platform, &before, &version, NULL, &error)) {
		result = command_report("settings", &error);
		goto done;
	}
	after = before;
	if (!change(&after, context, &error)) {
		result = command_report("settings", &error);
		goto done;
	}
	if (after.fleet[0] == '\0')
		g_strlcpy(after.fleet, "unnamed", sizeof(after.fleet));
	body = settings_format(&after);
	if (!settings_parse(
		&current, "change", body, strlen(body), &problems)) {
		fprintf(stderr, "%s\n",
		    (const char *)g_ptr_array_index(problems.texts, 0));
		result = 1;
		goto done;
	}
	diff = settings_diff(&before, &after);
	if (diff[0] == '\0' && version > 0) {
		printf("nothing to change; version %" G_GUINT64_FORMAT
		       " stays\n",
		    version);
		goto done;
	}
	printf("%s", diff);
	if (arguments->is_dry_run)
		goto done;
	if (arguments->expected_version != 0)
		version = arguments->expected_version;
	url = g_strdup_printf(
	    "%s/objects/config/settings?version=%" G_GUINT64_FORMAT,
	    arguments->platform, version);
	if (fetch_run_blocking("PUT", url, body, CALL_TIMEOUT_US, &status,
		&written_version, reply, &error) &&
	    status == 200) {
		printf("version %" G_GUINT64_FORMAT " is accepted\n",
		    written_version);
		if (!write_history(arguments, written_version, diff, &error))
			fprintf(stderr,
			    "the change is accepted, but writing its history "
			    "entry failed: %s\n",
			    error.text);
		goto done;
	}
	result = 1;
	/*
	 * Version conflict, rejected write or lost reply: read the stored
	 * settings to find out whether the write took effect.
	 */
	if (!command_get_fleet_settings(arguments->platform, &current,
		&current_version, NULL, &error)) {
		fprintf(stderr,
		    "the platform did not answer, and the change may have been "
		    "written; run 'plantainarch settings show' before trying "
		    "again\n");
		goto done;
	}
	g_free(diff);
	diff = settings_diff(&after, &current);
	if (status == 0 && diff[0] == '\0') {
		printf("version %" G_GUINT64_FORMAT " is accepted\n",
		    current_version);
		result = 0;
		goto done;
	}
	g_free(diff);
	diff = settings_diff(&before, &current);
	fprintf(stderr,
	    "not written: the settings are now at version %" G_GUINT64_FORMAT
	    ", you read version %" G_GUINT64_FORMAT ". Changes since then:\n%s"
	    "Review them, then run the command again.\n",
	    current_version, version, diff);
done:
	problem_list_end(&problems);
	g_string_free(reply, TRUE);
	g_free(diff);
	g_free(body);
	g_free(url);
	return result;
}

/*
 * Appends an entry to the history object by conditional update, in at most
 * HISTORY_WRITE_ATTEMPTS_MAX attempts. Keeps the newest HISTORY_ENTRIES_MAX
 * entries.
 */
static bool
write_history(const arguments_t *arguments, uint64_t version, const char *diff,
    error_info_t *error)
{
	for (int i = 0; i < HISTORY_WRITE_ATTEMPTS_MAX; i++) {
		char *url = g_strdup_printf(
		    "%s/objects/history/settings", arguments->platform);
		GString *reply = g_string_new(NULL);
		uint64_t object_version = 0;
		int status = 0;
		json_t *list;
		char *body;
		bool is_written = false;

		if (fetch_run_blocking("GET", url, NULL, CALL_TIMEOUT_US,
			&status, &object_version, reply, error)) {
			list = status == 200
				   ? json_loadb(reply->str, reply->len, 0, NULL)
				   : NULL;
			if (!json_is_array(list))
				list = json_array();
			json_array_append_new(list,
			    json_pack("{s:I, s:s, s:I, s:s}", "version",
				(json_int_t)version, "author",
				arguments->author, "time_s",
				(json_int_t)(clock_get_wall_us() / 1000000),
				"diff", diff));
			while (json_array_size(list) > HISTORY_ENTRIES_MAX)
				json_array_remove(list, 0);
			body = json_dumps(list, JSON_COMPACT);
			g_free(url);
			url = g_strdup_printf(
			    "%s/objects/history/"
			    "settings?version=%" G_GUINT64_FORMAT,
			    arguments->platform, object_version);
			is_written =
			    fetch_run_blocking("PUT", url, body,
				CALL_TIMEOUT_US, &status, NULL, reply, error) &&
			    status == 200;
			free(body);
			json_decref(list);
		}
		g_string_free(reply, TRUE);
		g_free(url);
		if (is_written)
			return true;
	}
	return error_set(error, ERROR_CONFLICT, "write history",
	    arguments->platform,
	    "all %d conditional updates of the history failed",
	    HISTORY_WRITE_ATTEMPTS_MAX);
}
