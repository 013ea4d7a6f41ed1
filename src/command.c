/**
 * @file command.c
 * The small subcommands: serve, check, search, order, status, explain, keys.
 */
#include <errno.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

#include "command.h"

#define CALL_TIMEOUT_US		5000000
#define ORDER_TIMEOUT_US	10000000
#define WATCH_REFRESH_PERIOD_US 1000000
#define TARGETS_MAX		1024
#define CURVE_KEY_TEXT_BYTES	41

/*
 * Prints the problems of one file, as items of a JSON array if is_json.
 * json_item_count counts the items printed for all files.
 */
static bool check_file(
    const char *path, bool is_vm, bool is_json, int *json_item_count);
/* Posts the body and prints the response; returns the exit code. */
static int send_and_print(const char *command, const char *url,
    const char *body, int64_t timeout_us, bool is_json);
static void print_response(const json_t *root);
static int print_status(const char **targets, int count, bool is_json);
static void print_vm_status(const char *target, const json_t *root);
static void print_setting_list(void);

int
command_parse(int argc, char **argv, void **table, struct arg_lit *help,
    struct arg_end *end, const char *text)
{
	int errors = arg_parse(argc, argv, table);

	if (help->count > 0) {
		printf("Usage: plantainarch %s", argv[0]);
		arg_print_syntax(stdout, table, "\n");
		printf("%s\n", text);
		arg_print_glossary(stdout, table, "  %-28s %s\n");
		return 0;
	}
	if (errors > 0) {
		arg_print_errors(stderr, end, argv[0]);
		fprintf(stderr, "See 'plantainarch %s --help'.\n", argv[0]);
		return 2;
	}
	return -1;
}

int
command_report(const char *command, const error_info_t *error)
{
	fprintf(stderr, "plantainarch %s: %s%s%s: %s (%s)\n", command,
	    error->step, error->peer[0] != '\0' ? " with " : "", error->peer,
	    error->text, error_get_name(error->code));
	return 1;
}

char *
command_read_file(const char *path, size_t *length, error_info_t *error)
{
	GError *cause = NULL;
	char *text = NULL;

	if (g_file_get_contents(path, &text, length, &cause))
		return text;
	error_set(
	    error, ERROR_NOT_FOUND, "read file", path, "%s", cause->message);
	g_error_free(cause);
	return NULL;
}

bool
command_get_fleet_settings(const char *platform, settings_t *settings,
    uint64_t *version, char **body, error_info_t *error)
{
	char *url = g_strdup_printf("%s/objects/config/settings", platform);
	GString *reply = g_string_new(NULL);
	problem_list_t problems;
	int status = 0;
	bool is_good = fetch_run_blocking(
	    "GET", url, NULL, CALL_TIMEOUT_US, &status, version, reply, error);

	problem_list_begin(&problems);
	if (is_good && status == 404) {
		*version = 0;
		settings_reset(settings);
		g_string_assign(reply, "");
	} else if (is_good && status != 200) {
		is_good = error_set(error, ERROR_UNAVAILABLE, "read settings",
		    url, "the platform answers %d; try again", status);
	} else if (is_good && !settings_parse(settings, "settings", reply->str,
				  reply->len, &problems)) {
		is_good = error_set(error, ERROR_INVALID, "read settings", url,
		    "%s", (const char *)g_ptr_array_index(problems.texts, 0));
	}
	if (body != NULL && is_good)
		*body = g_strdup(reply->str);
	problem_list_end(&problems);
	g_string_free(reply, TRUE);
	g_free(url);
	return is_good;
}

int
command_serve(int argc, char **argv)
{
	struct arg_file *file =
	    arg_file1(NULL, "settings", "FILE", "the VM's settings in YAML");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = { file, help, end };
	int result = command_parse(argc, argv, table, help, end,
	    "Runs the process of one VM until SIGTERM.");
	vm_settings_t settings;
	problem_list_t problems;
	error_info_t error = { 0 };
	size_t length;
	char *text;

	if (result >= 0)
		goto done;
	text = command_read_file(file->filename[0], &length, &error);
	if (text == NULL) {
		result = command_report("serve", &error);
		goto done;
	}
	problem_list_begin(&problems);
	if (vm_settings_parse(
		&settings, file->filename[0], text, length, &problems)) {
		result = server_run(&settings);
	} else {
		for (guint i = 0; i < problems.texts->len; i++)
			fprintf(stderr, "%s\n",
			    (const char *)g_ptr_array_index(problems.texts, i));
		result = 1;
	}
	problem_list_end(&problems);
	g_free(text);
done:
	arg_freetable(table, G_N_ELEMENTS(table));
	return result;
}

int
command_check(int argc, char **argv)
{
	struct arg_file *files =
	    arg_filen(NULL, NULL, "FILE", 0, 64, "fleet settings to check");
	struct arg_file *vms =
	    arg_filen(NULL, "vm", "FILE", 0, 64, "VM settings to check");
	struct arg_lit *list = arg_lit0(
	    NULL, "list", "list all fleet settings with their allowed values");
	struct arg_lit *json =
	    arg_lit0(NULL, "json", "print the problems as JSON");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = { files, vms, list, json, help, end };
	int result = command_parse(argc, argv, table, help, end,
	    "Checks settings files and lists all problems of each file.");
	int json_item_count = 0;

	if (result >= 0)
		goto done;
	result = 0;
	if (list->count > 0)
		print_setting_list();
	if (files->count + vms->count + list->count == 0) {
		fprintf(stderr, "plantainarch check: name at least one file; "
				"see 'plantainarch check --help'\n");
		result = 2;
	}
	if (json->count > 0)
		printf("[");
	for (int i = 0; i < files->count; i++)
		result |= !check_file(files->filename[i], false,
		    json->count > 0, &json_item_count);
	for (int i = 0; i < vms->count; i++)
		result |= !check_file(
		    vms->filename[i], true, json->count > 0, &json_item_count);
	if (json->count > 0)
		printf("]\n");
done:
	arg_freetable(table, G_N_ELEMENTS(table));
	return result;
}

int
command_search(int argc, char **argv)
{
	struct arg_str *target = arg_str1(
	    NULL, "target", "HOST:PORT", "the VM to send the request to");
	struct arg_str *index =
	    arg_str1(NULL, "index", "NAME", "the index to search");
	struct arg_str *query =
	    arg_str1(NULL, NULL, "QUERY", "the search text");
	struct arg_str *rank =
	    arg_str0(NULL, "rank", "RANK", "urgent, standard or bulk");
	struct arg_int *deadline = arg_int0(
	    NULL, "deadline-ms", "N", "request deadline in milliseconds");
	struct arg_int *limit =
	    arg_int0(NULL, "limit", "N", "maximum number of hits to return");
	struct arg_lit *json =
	    arg_lit0(NULL, "json", "print the response as received");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = { target, index, query, rank, deadline, limit, json,
		help, end };
	int result = command_parse(argc, argv, table, help, end,
	    "Sends one search and prints the response with its snapshot and "
	    "coverage.");
	json_t *body;
	char *text, *url;

	if (result >= 0)
		goto done;
	body = json_pack(
	    "{s:s, s:s}", "index", index->sval[0], "query", query->sval[0]);
	if (rank->count > 0)
		json_object_set_new(body, "rank", json_string(rank->sval[0]));
	if (deadline->count > 0)
		json_object_set_new(
		    body, "deadline_ms", json_integer(deadline->ival[0]));
	if (limit->count > 0)
		json_object_set_new(
		    body, "limit", json_integer(limit->ival[0]));
	text = json_dumps(body, 0);
	url = g_strdup_printf("http://%s/search", target->sval[0]);
	result = send_and_print(
	    "search", url, text, CALL_TIMEOUT_US, json->count > 0);
	json_decref(body);
	free(text);
	g_free(url);
done:
	arg_freetable(table, G_N_ELEMENTS(table));
	return result;
}

int
command_order(int argc, char **argv)
{
	struct arg_str *target = arg_str1(
	    NULL, "target", "HOST:PORT", "the VM to send the request to");
	struct arg_str *index = arg_str1(
	    NULL, "index", "NAME", "the index whose upstream runs the order");
	struct arg_str *key = arg_str1(NULL, "key", "KEY",
	    "the idempotency key; orders with the same key run at most once");
	struct arg_str *issued = arg_str0(NULL, "issued-ms", "N",
	    "when the order was first issued, in Unix milliseconds; default "
	    "now");
	struct arg_str *order =
	    arg_str1(NULL, NULL, "ORDER", "the order as JSON");
	struct arg_str *rank =
	    arg_str0(NULL, "rank", "RANK", "urgent, standard or bulk");
	struct arg_lit *json =
	    arg_lit0(NULL, "json", "print the response as received");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = { target, index, key, issued, order, rank, json, help,
		end };
	int result = command_parse(argc, argv, table, help, end,
	    "Sends one order and prints its outcome: done, not_run or "
	    "unknown.");
	json_int_t issued_ms = clock_get_wall_us() / 1000;
	json_error_t json_error;
	json_t *body, *content;
	char *text, *url;

	if (result >= 0)
		goto done;
	content = json_loads(order->sval[0], JSON_DECODE_ANY, &json_error);
	if (content == NULL) {
		fprintf(stderr,
		    "plantainarch order: ORDER is not valid JSON: column %d: "
		    "%s\n",
		    json_error.column, json_error.text);
		result = 2;
		goto done;
	}
	if (issued->count > 0)
		issued_ms = g_ascii_strtoll(issued->sval[0], NULL, 10);
	body = json_pack("{s:s, s:s, s:I, s:o}", "index", index->sval[0], "key",
	    key->sval[0], "issued_ms", issued_ms, "order", content);
	if (rank->count > 0)
		json_object_set_new(body, "rank", json_string(rank->sval[0]));
	text = json_dumps(body, 0);
	url = g_strdup_printf("http://%s/order", target->sval[0]);
	result = send_and_print(
	    "order", url, text, ORDER_TIMEOUT_US, json->count > 0);
	json_decref(body);
	free(text);
	g_free(url);
done:
	arg_freetable(table, G_N_ELEMENTS(table));
	return result;
}

int
command_status(int argc, char **argv)
{
	struct arg_str *targets = arg_strn(NULL, "target", "HOST:PORT", 1,
	    TARGETS_MAX, "a VM to query; repeat the option for more VMs");
	struct arg_lit *watch = arg_lit0(NULL, "watch", "repeat every second");
	struct arg_lit *json = arg_lit0(NULL, "json", "print as JSON");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = { targets, watch, json, help, end };
	int result = command_parse(argc, argv, table, help, end,
	    "Shows members, versions in force, queues, budgets, and ejected "
	    "and draining leaves.");

	if (result >= 0)
		goto done;
	do {
		result = print_status(
		    targets->sval, targets->count, json->count > 0);
		if (watch->count > 0)
			g_usleep(WATCH_REFRESH_PERIOD_US);
	} while (watch->count > 0);
done:
	arg_freetable(table, G_N_ELEMENTS(table));
	return result;
}

int
command_explain(int argc, char **argv)
{
	struct arg_str *platform = arg_str0(
	    NULL, "platform", "URL", "read the settings from the platform");
	struct arg_file *file =
	    arg_file0(NULL, "file", "FILE", "read the settings from a file");
	struct arg_str *scope_text = arg_str1(NULL, NULL, "SCOPE",
	    "the scope to look up, e.g. index=laadplan,rank=urgent");
	struct arg_str *name =
	    arg_str0(NULL, "setting", "NAME", "only this setting");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = { platform, file, scope_text, name, help, end };
	int result = command_parse(argc, argv, table, help, end,
	    "Shows the value of each setting in a scope, and the default or "
	    "exception that sets it, with its reason and author.");
	error_info_t error = { 0 };
	problem_list_t problems;
	settings_t settings = { 0 };
	uint64_t version = 0;
	size_t length = 0;
	scope_t scope;
	char *text = NULL;
	const char *url = g_getenv("PLANTAINARCH_PLATFORM");

	if (result >= 0)
		goto done;
	if (platform->count > 0)
		url = platform->sval[0];
	problem_list_begin(&problems);
	result = 0;
	if (!settings_parse_scope(scope_text->sval[0], &scope, &error) ||
	    (file->count == 0 && url == NULL)) {
		if (error.code == ERROR_NONE)
			error_set(&error, ERROR_INVALID, "read settings", "",
			    "give --platform URL or --file FILE");
		command_report("explain", &error);
		result = 2;
	} else if (file->count > 0) {
		text = command_read_file(file->filename[0], &length, &error);
		if (text == NULL)
			result = command_report("explain", &error);
		else if (!settings_parse(&settings, file->filename[0], text,
			     length, &problems)) {
			fprintf(stderr, "%s\n",
			    (const char *)g_ptr_array_index(problems.texts, 0));
			result = 1;
		}
	} else if (!command_get_fleet_settings(
		       url, &settings, &version, NULL, &error)) {
		result = command_report("explain", &error);
	}
	for (setting_key_t key = 0; key < SETTING_COUNT && result == 0; key++) {
		const setting_exception_t *decider =
		    settings_find_exception(&settings, key, &scope);
		int64_t value =
		    decider != NULL
			? decider->value
			: settings.defaults[key][MAX(scope.rank, 0)];
		char *formatted, *exception_scope;

		if (name->count > 0 &&
		    strcmp(name->sval[0], settings_get_info(key)->name) != 0)
			continue;
		formatted = settings_format_value(key, value);
		exception_scope = decider != NULL
				      ? settings_format_scope(&decider->scope)
				      : NULL;
		if (decider != NULL)
			printf("%-16s %-10s exception {%s}: %s (%s)\n",
			    settings_get_info(key)->name, formatted,
			    exception_scope, decider->reason, decider->author);
		else
			printf("%-16s %-10s default\n",
			    settings_get_info(key)->name, formatted);
		g_free(formatted);
		g_free(exception_scope);
	}
	problem_list_end(&problems);
	g_free(text);
done:
	arg_freetable(table, G_N_ELEMENTS(table));
	return result;
}

int
command_keys(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, end };
	int result = command_parse(argc, argv, table, help, end,
	    "Creates a CURVE key pair for the connections between VMs and "
	    "prints it as lines for the VM settings.");
	char public_key[CURVE_KEY_TEXT_BYTES], secret_key[CURVE_KEY_TEXT_BYTES];

	if (result >= 0)
		goto done;
	result = zmq_curve_keypair(public_key, secret_key) == 0 ? 0 : 1;
	if (result == 0)
		printf("curve_public: '%s'\ncurve_secret: '%s'\n", public_key,
		    secret_key);
	else
		fprintf(stderr, "plantainarch keys: the ZeroMQ library has no "
				"CURVE support\n");
done:
	arg_freetable(table, G_N_ELEMENTS(table));
	return result;
}

static bool
check_file(const char *path, bool is_vm, bool is_json, int *json_item_count)
{
	problem_list_t problems;
	vm_settings_t vm_settings;
	settings_t settings;
	error_info_t error = { 0 };
	size_t length;
	char *text = command_read_file(path, &length, &error);
	bool is_good;

	if (text == NULL) {
		command_report("check", &error);
		return false;
	}
	problem_list_begin(&problems);
	is_good =
	    is_vm
		? vm_settings_parse(&vm_settings, path, text, length, &problems)
		: settings_parse(&settings, path, text, length, &problems);
	for (guint i = 0; i < problems.texts->len; i++) {
		const char *problem = g_ptr_array_index(problems.texts, i);
		char *escaped = g_strescape(problem, NULL);

		if (is_json)
			printf("%s\"%s\"", (*json_item_count)++ > 0 ? "," : "",
			    escaped);
		else
			printf("%s\n", problem);
		g_free(escaped);
	}
	if (is_good && !is_json)
		printf("%s: no problems\n", path);
	problem_list_end(&problems);
	g_free(text);
	return is_good;
}

static int
send_and_print(const char *command, const char *url, const char *request_body,
    int64_t timeout_us, bool is_json)
{
	GString *response = g_string_new(NULL);
	error_info_t error = { 0 };
	int status = 0;
	json_t *root;

	if (!fetch_run_blocking("POST", url, request_body, timeout_us, &status,
		NULL, response, &error)) {
		g_string_free(response, TRUE);
		return command_report(command, &error);
	}
	root = json_loadb(response->str, response->len, 0, NULL);
	if (is_json || root == NULL)
		printf("%s\n", response->str);
	else
		print_response(root);
	json_decref(root);
	g_string_free(response, TRUE);
	return status == 200 ? 0 : 1;
}

static void
print_response(const json_t *root)
{
	const json_t *coverage = json_object_get(root, "coverage");
	json_t *item;
	size_t i;

	if (coverage == NULL) {
		printf("%s %s %s\n",
		    json_string_value(json_object_get(root, "outcome")),
		    json_string_value(json_object_get(root, "reason")),
		    json_is_true(json_object_get(root, "repeated"))
			? "(on record)"
			: "");
		if (json_object_get(root, "detail") != NULL)
			printf("%s\n",
			    json_string_value(json_object_get(root, "detail")));
		return;
	}
	printf("request  %s\nsnapshot %lld\ncoverage %lld of %lld shards\n",
	    json_string_value(json_object_get(root, "request_id")),
	    json_integer_value(json_object_get(root, "snapshot")),
	    json_integer_value(json_object_get(coverage, "answered")),
	    json_integer_value(json_object_get(coverage, "total")));
	json_array_foreach(json_object_get(coverage, "missing"), i, item)
	    printf("missing  shard %lld: %s\n",
		json_integer_value(json_object_get(item, "shard")),
		json_string_value(json_object_get(item, "reason")));
	printf("took     %.1f ms\n",
	    (double)json_integer_value(json_object_get(root, "took_us")) /
		1000);
	json_array_foreach(json_object_get(root, "hits"), i, item)
	    printf("%6.3f  %-20s %s\n",
		json_number_value(json_object_get(item, "score")),
		json_string_value(json_object_get(item, "id")),
		json_string_value(json_object_get(item, "text")));
}

static int
print_status(const char **targets, int count, bool is_json)
{
	int result = 0;

	if (is_json)
		printf("[");
	for (int i = 0; i < count; i++) {
		char *url = g_strdup_printf("http://%s/status", targets[i]);
		GString *reply = g_string_new(NULL);
		error_info_t error = { 0 };
		int status = 0;
		json_t *root = NULL;

		if (fetch_run_blocking("GET", url, NULL, CALL_TIMEOUT_US,
			&status, NULL, reply, &error))
			root = json_loadb(reply->str, reply->len, 0, NULL);
		if (is_json)
			printf("%s%s", i > 0 ? "," : "",
			    root != NULL ? reply->str : "null");
		else if (root == NULL)
			printf("%-21s no answer: %s\n", targets[i], error.text);
		else
			print_vm_status(targets[i], root);
		result |= root == NULL;
		json_decref(root);
		g_string_free(reply, TRUE);
		g_free(url);
	}
	if (is_json)
		printf("]\n");
	return result;
}

static void
print_vm_status(const char *target, const json_t *root)
{
	const json_t *control = json_object_get(root, "control");
	json_t *item, *leaf;
	size_t i, j;
	int alive_count = 0;

	json_array_foreach(json_object_get(control, "members"), i, item)
	    alive_count +=
	    strcmp(json_string_value(json_object_get(item, "state")),
		"alive") == 0;
	printf("%-21s %-12s %-10s %s settings %lld, members alive %d of %zu, "
	       "confirmed %lld ms ago%s\n",
	    target, json_string_value(json_object_get(root, "id")),
	    json_string_value(json_object_get(root, "zone")),
	    json_is_true(json_object_get(root, "ready")) ? "ready"
							 : "NOT READY",
	    json_integer_value(json_object_get(root, "settings_version")),
	    alive_count, json_array_size(json_object_get(control, "members")),
	    json_integer_value(json_object_get(control, "confirmed_ms_ago")),
	    json_is_true(json_object_get(control, "is_watcher")) ? ", watcher"
								 : "");
	json_array_foreach(json_object_get(root, "threads"), i, item)
	{
		const json_t *queued = json_object_get(item, "queued");

		printf("  thread %zu: queries %lld, in flight %lld, queued "
		       "urgent %lld standard %lld bulk %lld, ejected %lld, "
		       "hedge tokens %.1f\n",
		    i, json_integer_value(json_object_get(item, "queries")),
		    json_integer_value(json_object_get(item, "in_flight")),
		    json_integer_value(json_array_get(queued, 0)),
		    json_integer_value(json_array_get(queued, 1)),
		    json_integer_value(json_array_get(queued, 2)),
		    json_integer_value(json_object_get(item, "ejected")),
		    json_number_value(json_object_get(item, "hedge_tokens")));
		json_array_foreach(json_object_get(item, "leaves"), j,
		    leaf) if (json_is_true(json_object_get(leaf, "ejected")) ||
			      json_is_true(json_object_get(leaf, "leaving")))
		    printf("    %s %s%s service %lld us\n",
			json_string_value(json_object_get(leaf, "leaf")),
			json_is_true(json_object_get(leaf, "ejected"))
			    ? "ejected "
			    : "",
			json_is_true(json_object_get(leaf, "leaving"))
			    ? "leaving "
			    : "",
			json_integer_value(
			    json_object_get(leaf, "service_us")));
	}
}

static void
print_setting_list(void)
{
	for (setting_key_t key = 0; key < SETTING_COUNT; key++) {
		const setting_info_t *info = settings_get_info(key);
		char allowed[REASON_BYTES];
		int64_t unused_value;

		settings_parse_value(
		    key, "", &unused_value, allowed, sizeof(allowed));
		printf("%-16s %s%s\n%17s%s\n", info->name, allowed,
		    info->by_rank ? ", by rank" : "", "", info->help);
	}
}
