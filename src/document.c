/**
 * @file document.c
 * Reads YAML documents with libyaml, validates them against their schema and
 * reports all problems in one pass, each with file, line, key, the value found
 * and the values allowed.
 */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "document.h"

typedef struct exception_reader {
	settings_t *settings;
	scope_t scope;
	bool has_scope, has_set, has_reason, has_author;
	char reason[REASON_BYTES], author[NAME_BYTES];
	int first, count; /* exceptions added by its set */
	int line;
} exception_reader_t;

static const char *describe_node(
    const yaml_node_t *node, char *buffer, size_t size);
static bool read_number(document_reader_t *reader, const char *key,
    yaml_node_t *node, int low, int high, int *target);
static bool read_duration(document_reader_t *reader, const char *key,
    yaml_node_t *node, int64_t *target);
static void read_fleet_pair(document_reader_t *reader, const char *key,
    const yaml_node_t *key_node, yaml_node_t *value, void *context);
static void read_default_pair(document_reader_t *reader, const char *key,
    const yaml_node_t *key_node, yaml_node_t *value, void *context);
static void read_exception(
    document_reader_t *reader, settings_t *settings, yaml_node_t *node);
static void read_vm_pair(document_reader_t *reader, const char *key,
    const yaml_node_t *key_node, yaml_node_t *value, void *context);
static void check_exceptions(
    document_reader_t *reader, const settings_t *settings);

void
problem_list_begin(problem_list_t *problems)
{
	problems->texts = g_ptr_array_new_with_free_func(g_free);
}

void
problem_list_end(problem_list_t *problems)
{
	g_ptr_array_free(problems->texts, TRUE);
}

bool
settings_parse(settings_t *settings, const char *name, const char *text,
    size_t length, problem_list_t *problems)
{
	guint problems_before = problems->texts->len;
	document_reader_t reader;

	settings_reset(settings);
	if (!document_load(&reader, name, text, length, problems))
		return false;
	document_read_pairs(&reader, yaml_document_get_root_node(&reader.yaml),
	    "document", read_fleet_pair, settings);
	if (settings->fleet[0] == '\0')
		document_add_problem(&reader, NULL, "fleet",
		    "is missing; name the fleet, e.g. fleet: van-damme");
	check_exceptions(&reader, settings);
	yaml_document_delete(&reader.yaml);
	return problems->texts->len == problems_before;
}

bool
vm_settings_parse(vm_settings_t *settings, const char *name, const char *text,
    size_t length, problem_list_t *problems)
{
	guint problems_before = problems->texts->len;
	document_reader_t reader;

	memset(settings, 0, sizeof(*settings));
	settings->threads = 1;
	settings->drain_us = 3000000;

	g_strlcpy(settings->log_level, "message", sizeof(settings->log_level));
	if (!document_load(&reader, name, text, length, problems))
		return false;
	document_read_pairs(&reader, yaml_document_get_root_node(&reader.yaml),
	    "document", read_vm_pair, settings);
	if (settings->id[0] == '\0')
		document_add_problem(&reader, NULL, "id",
		    "is missing; give the VM a unique name");
	if (settings->zone[0] == '\0')
		document_add_problem(&reader, NULL, "zone",
		    "is missing; name the VM's availability zone");
	if (settings->address[0] == '\0')
		document_add_problem(&reader, NULL, "address",
		    "is missing; give the IP number to listen on");
	if (settings->platform[0] == '\0')
		document_add_problem(&reader, NULL, "platform",
		    "is missing; give the base URL of the object API");
	if (settings->caller_port == 0 || settings->peer_port == 0)
		document_add_problem(&reader, NULL, "caller_port, peer_port",
		    "both are needed; give two free ports");
	if ((settings->curve_public[0] == '\0') !=
	    (settings->curve_secret[0] == '\0'))
		document_add_problem(&reader, NULL,
		    "curve_public, curve_secret",
		    "only one of the pair is set; make a pair with "
		    "'plantainarch keys'");
	yaml_document_delete(&reader.yaml);
	return problems->texts->len == problems_before;
}

bool
document_load(document_reader_t *reader, const char *name, const char *text,
    size_t length, problem_list_t *problems)
{
	yaml_parser_t parser;
	bool is_loaded;

	reader->name = name;
	reader->problems = problems;
	yaml_parser_initialize(&parser);
	yaml_parser_set_input_string(
	    &parser, (const unsigned char *)text, length);
	is_loaded = yaml_parser_load(&parser, &reader->yaml) == 1;
	if (!is_loaded)
		g_ptr_array_add(problems->texts,
		    g_strdup_printf("%s:%zu: not YAML: %s", name,
			parser.problem_mark.line + 1,
			parser.problem != NULL ? parser.problem
					       : "unreadable"));
	yaml_parser_delete(&parser);
	if (is_loaded && yaml_document_get_root_node(&reader->yaml) == NULL) {
		g_ptr_array_add(problems->texts,
		    g_strdup_printf("%s:1: the document is empty", name));
		yaml_document_delete(&reader->yaml);
		return false;
	}
	return is_loaded;
}

void
document_add_problem(document_reader_t *reader, const yaml_node_t *node,
    const char *key, const char *format, ...)
{
	va_list arguments;
	char *text;

	va_start(arguments, format);
	text = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	g_ptr_array_add(reader->problems->texts,
	    g_strdup_printf("%s:%zu: %s: %s", reader->name,
		node != NULL ? node->start_mark.line + 1 : (size_t)1, key,
		text));
	g_free(text);
}

static const char *
describe_node(const yaml_node_t *node, char *buffer, size_t size)
{
	if (node->type == YAML_SCALAR_NODE)
		snprintf(buffer, size, "\"%s\"", document_get_scalar(node));
	else
		snprintf(buffer, size, "%s",
		    node->type == YAML_MAPPING_NODE ? "a mapping" : "a list");
	return buffer;
}

const char *
document_get_scalar(const yaml_node_t *node)
{
	return node->type == YAML_SCALAR_NODE
		   ? (const char *)node->data.scalar.value
		   : "";
}

/* Calls the callback for each pair of a mapping; reports duplicate keys. */
bool
document_read_pairs(document_reader_t *reader, yaml_node_t *node,
    const char *key, pair_fn_t callback, void *context)
{
	char found[NAME_BYTES];
	GHashTable *seen;

	if (node->type != YAML_MAPPING_NODE) {
		document_add_problem(reader, node, key,
		    "found %s; allowed is a mapping of names to values",
		    describe_node(node, found, sizeof(found)));
		return false;
	}
	seen = g_hash_table_new(g_str_hash, g_str_equal);
	for (yaml_node_pair_t *pair = node->data.mapping.pairs.start;
	     pair < node->data.mapping.pairs.top; pair++) {
		yaml_node_t *name =
		    yaml_document_get_node(&reader->yaml, pair->key);
		yaml_node_t *value =
		    yaml_document_get_node(&reader->yaml, pair->value);

		if (!g_hash_table_add(
			seen, (gpointer)document_get_scalar(name)))
			document_add_problem(reader, name,
			    document_get_scalar(name),
			    "is given twice; keep one");
		else
			callback(reader, document_get_scalar(name), name, value,
			    context);
	}
	g_hash_table_destroy(seen);
	return true;
}

bool
document_read_name(document_reader_t *reader, const char *key,
    yaml_node_t *node, char *target, size_t size)
{
	char found[NAME_BYTES];

	if (node->type != YAML_SCALAR_NODE ||
	    document_get_scalar(node)[0] == '\0' ||
	    strlen(document_get_scalar(node)) >= size) {
		document_add_problem(reader, node, key,
		    "found %s; allowed is a text of 1 to %zu bytes",
		    describe_node(node, found, sizeof(found)), size - 1);
		return false;
	}
	g_strlcpy(target, document_get_scalar(node), size);
	return true;
}

static bool
read_number(document_reader_t *reader, const char *key, yaml_node_t *node,
    int low, int high, int *target)
{
	char found[NAME_BYTES];
	char *end = NULL;
	int64_t number = g_ascii_strtoll(document_get_scalar(node), &end, 10);

	if (end == document_get_scalar(node) || *end != '\0' || number < low ||
	    number > high) {
		document_add_problem(reader, node, key,
		    "found %s; allowed is a whole number from %d to %d",
		    describe_node(node, found, sizeof(found)), low, high);
		return false;
	}
	*target = (int)number;
	return true;
}

static bool
read_duration(document_reader_t *reader, const char *key, yaml_node_t *node,
    int64_t *target)
{
	char allowed[REASON_BYTES], found[NAME_BYTES];

	if (settings_parse_value(SETTING_DEADLINE_US, document_get_scalar(node),
		target, allowed, sizeof(allowed)))
		return true;
	document_add_problem(reader, node, key, "found %s; allowed is %s",
	    describe_node(node, found, sizeof(found)), allowed);
	return false;
}

static void
read_fleet_pair(document_reader_t *reader, const char *key,
    const yaml_node_t *key_node, yaml_node_t *value, void *context)
{
	settings_t *settings = context;
	char found[NAME_BYTES];

	if (strcmp(key, "fleet") == 0) {
		document_read_name(reader, key, value, settings->fleet,
		    sizeof(settings->fleet));
	} else if (strcmp(key, "defaults") == 0) {
		document_read_pairs(
		    reader, value, key, read_default_pair, settings);
	} else if (strcmp(key, "exceptions") == 0) {
		if (value->type != YAML_SEQUENCE_NODE) {
			document_add_problem(reader, value, key,
			    "found %s; allowed is a list of exceptions",
			    describe_node(value, found, sizeof(found)));
			return;
		}
		for (yaml_node_item_t *item = value->data.sequence.items.start;
		     item < value->data.sequence.items.top; item++)
			read_exception(reader, settings,
			    yaml_document_get_node(&reader->yaml, *item));
	} else {
		document_add_problem(reader, key_node, key,
		    "is unknown; allowed are fleet, defaults and exceptions");
	}
}

typedef struct rank_target {
	settings_t *settings;
	setting_key_t key;
} rank_target_t;

static bool
read_value(document_reader_t *reader, setting_key_t key, yaml_node_t *node,
    int64_t *target)
{
	char allowed[REASON_BYTES], found[NAME_BYTES];
	int64_t value = 0;

	if (node->type == YAML_SCALAR_NODE &&
	    settings_parse_value(key, document_get_scalar(node), &value,
		allowed, sizeof(allowed))) {
		*target = value;
		return true;
	}
	if (node->type != YAML_SCALAR_NODE)
		snprintf(allowed, sizeof(allowed), "a single value");
	document_add_problem(reader, node, settings_get_info(key)->name,
	    "found %s; allowed is %s",
	    describe_node(node, found, sizeof(found)), allowed);
	return false;
}

static void
read_rank_pair(document_reader_t *reader, const char *key,
    const yaml_node_t *key_node, yaml_node_t *value, void *context)
{
	rank_target_t *target = context;
	rank_t rank;

	if (!rank_parse(key, &rank))
		document_add_problem(reader, key_node, key,
		    "is not a rank; allowed are urgent, standard and bulk");
	else
		read_value(reader, target->key, value,
		    &target->settings->defaults[target->key][rank]);
}

static void
read_default_pair(document_reader_t *reader, const char *key,
    const yaml_node_t *key_node, yaml_node_t *value, void *context)
{
	settings_t *settings = context;
	rank_target_t target = { .settings = settings };
	int64_t number;

	if (!settings_find_key(key, &target.key)) {
		document_add_problem(reader, key_node, key,
		    "is not a setting; 'plantainarch check --list' prints them "
		    "all");
		return;
	}
	if (value->type == YAML_MAPPING_NODE &&
	    settings_get_info(target.key)->by_rank) {
		document_read_pairs(
		    reader, value, key, read_rank_pair, &target);
		return;
	}
	if (!read_value(reader, target.key, value, &number))
		return;
	for (int rank = 0; rank < RANK_COUNT; rank++)
		settings->defaults[target.key][rank] = number;
}

static void
read_scope_pair(document_reader_t *reader, const char *key,
    const yaml_node_t *key_node, yaml_node_t *value, void *context)
{
	scope_t *scope = context;
	rank_t rank;

	if (strcmp(key, "index") == 0)
		document_read_name(
		    reader, key, value, scope->index, sizeof(scope->index));
	else if (strcmp(key, "upstream") == 0)
		document_read_name(reader, key, value, scope->upstream,
		    sizeof(scope->upstream));
	else if (strcmp(key, "zone") == 0)
		document_read_name(
		    reader, key, value, scope->zone, sizeof(scope->zone));
	else if (strcmp(key, "rank") != 0)
		document_add_problem(reader, key_node, key,
		    "is not a scope key; allowed are index, upstream, zone and "
		    "rank");
	else if (!rank_parse(document_get_scalar(value), &rank))
		document_add_problem(reader, value, key,
		    "found \"%s\"; allowed is urgent, standard or bulk",
		    document_get_scalar(value));
	else
		scope->rank = (int)rank;
}

static void
read_set_pair(document_reader_t *reader, const char *key,
    const yaml_node_t *key_node, yaml_node_t *value, void *context)
{
	exception_reader_t *exception_reader = context;
	settings_t *settings = exception_reader->settings;
	setting_exception_t *exception;

	if (settings->exception_count >= EXCEPTIONS_MAX) {
		document_add_problem(reader, key_node, key,
		    "exceeds the maximum of %d exceptions", EXCEPTIONS_MAX);
		return;
	}
	exception = &settings->exceptions[settings->exception_count];
	memset(exception, 0, sizeof(*exception));
	exception->line = (int)key_node->start_mark.line + 1;
	if (!settings_find_key(key, &exception->key))
		document_add_problem(reader, key_node, key,
		    "is not a setting; 'plantainarch check --list' prints them "
		    "all");
	else if (read_value(reader, exception->key, value, &exception->value)) {
		settings->exception_count++;
		exception_reader->count++;
	}
}

static void
read_exception_pair(document_reader_t *reader, const char *key,
    const yaml_node_t *key_node, yaml_node_t *value, void *context)
{
	exception_reader_t *exception_reader = context;

	if (strcmp(key, "scope") == 0)
		exception_reader->has_scope = document_read_pairs(reader, value,
		    key, read_scope_pair, &exception_reader->scope);
	else if (strcmp(key, "set") == 0)
		exception_reader->has_set = document_read_pairs(
		    reader, value, key, read_set_pair, exception_reader);
	else if (strcmp(key, "reason") == 0)
		exception_reader->has_reason = document_read_name(reader, key,
		    value, exception_reader->reason,
		    sizeof(exception_reader->reason));
	else if (strcmp(key, "author") == 0)
		exception_reader->has_author = document_read_name(reader, key,
		    value, exception_reader->author,
		    sizeof(exception_reader->author));
	else
		document_add_problem(reader, key_node, key,
		    "is unknown; an exception has scope, set, reason and "
		    "author");
}

static void
read_exception(
    document_reader_t *reader, settings_t *settings, yaml_node_t *node)
{
	exception_reader_t exception_reader = { .settings = settings,
		.scope.rank = -1,
		.first = settings->exception_count };

	if (!document_read_pairs(reader, node, "exception", read_exception_pair,
		&exception_reader))
		return;
	if (!exception_reader.has_scope)
		document_add_problem(reader, node, "scope",
		    "is missing; give an index, upstream, zone or rank");
	if (!exception_reader.has_set)
		document_add_problem(reader, node, "set",
		    "is missing; give a setting and its value");
	if (!exception_reader.has_reason)
		document_add_problem(reader, node, "reason",
		    "is missing; every exception carries a written reason");
	if (!exception_reader.has_author)
		document_add_problem(reader, node, "author",
		    "is missing; name who is responsible for this exception");
	for (int i = exception_reader.first; i < settings->exception_count;
	     i++) {
		settings->exceptions[i].scope = exception_reader.scope;
		g_strlcpy(settings->exceptions[i].reason,
		    exception_reader.reason, REASON_BYTES);
		g_strlcpy(settings->exceptions[i].author,
		    exception_reader.author, NAME_BYTES);
	}
}

/* Reports exceptions with the same scope and key. */
static void
check_exceptions(document_reader_t *reader, const settings_t *settings)
{
	for (int i = 0; i < settings->exception_count; i++) {
		for (int j = 0; j < i; j++) {
			const setting_exception_t *first =
			    &settings->exceptions[j];
			const setting_exception_t *second =
			    &settings->exceptions[i];

			if (first->key != second->key ||
			    memcmp(&first->scope, &second->scope,
				sizeof(scope_t)) != 0)
				continue;
			g_ptr_array_add(reader->problems->texts,
			    g_strdup_printf(
				"%s:%d: %s: %s the exception in line %d for "
				"the same scope; keep one",
				reader->name, second->line,
				settings_get_info(second->key)->name,
				first->value == second->value ? "repeats"
							      : "contradicts",
				first->line));
		}
	}
}

static void
read_vm_pair(document_reader_t *reader, const char *key,
    const yaml_node_t *key_node, yaml_node_t *value, void *context)
{
	vm_settings_t *settings = context;
	char level[NAME_BYTES];

	if (strcmp(key, "id") == 0)
		document_read_name(
		    reader, key, value, settings->id, sizeof(settings->id));
	else if (strcmp(key, "zone") == 0)
		document_read_name(
		    reader, key, value, settings->zone, sizeof(settings->zone));
	else if (strcmp(key, "region") == 0)
		document_read_name(reader, key, value, settings->region,
		    sizeof(settings->region));
	else if (strcmp(key, "address") == 0)
		document_read_name(reader, key, value, settings->address,
		    sizeof(settings->address));
	else if (strcmp(key, "caller_port") == 0)
		read_number(
		    reader, key, value, 1, 65535, &settings->caller_port);
	else if (strcmp(key, "peer_port") == 0)
		read_number(
		    reader, key, value, 1, PEER_PORT_MAX, &settings->peer_port);
	else if (strcmp(key, "platform") == 0)
		document_read_name(reader, key, value, settings->platform,
		    sizeof(settings->platform));
	else if (strcmp(key, "threads") == 0)
		read_number(
		    reader, key, value, 1, VM_THREADS_MAX, &settings->threads);
	else if (strcmp(key, "curve_public") == 0)
		document_read_name(reader, key, value, settings->curve_public,
		    sizeof(settings->curve_public));
	else if (strcmp(key, "curve_secret") == 0)
		document_read_name(reader, key, value, settings->curve_secret,
		    sizeof(settings->curve_secret));
	else if (strcmp(key, "seeds") == 0)
		document_read_name(reader, key, value, settings->seeds,
		    sizeof(settings->seeds));
	else if (strcmp(key, "drain") == 0)
		read_duration(reader, key, value, &settings->drain_us);

	else if (strcmp(key, "log_format") == 0 &&
		 (strcmp(document_get_scalar(value), "json") == 0 ||
		     strcmp(document_get_scalar(value), "text") == 0))
		settings->log_json =
		    strcmp(document_get_scalar(value), "json") == 0;
	else if (strcmp(key, "log_format") == 0)
		document_add_problem(reader, value, key,
		    "found \"%s\"; allowed is text or json",
		    document_get_scalar(value));
	else if (strcmp(key, "log_level") != 0)
		document_add_problem(reader, key_node, key,
		    "is unknown; allowed are id, zone, region, address, "
		    "caller_port, peer_port, platform, threads, curve_public, "
		    "curve_secret, seeds, drain, log_level, log_format");
	else if (document_read_name(reader, key, value, level, sizeof(level)) &&
		 strstr("debug info message warning", level) == NULL)
		document_add_problem(reader, value, key,
		    "found \"%s\"; allowed is debug, info, message or warning",
		    level);
	else
		g_strlcpy(
		    settings->log_level, level, sizeof(settings->log_level));
}
