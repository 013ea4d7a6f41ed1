/**
 * @file settings.c
 * Fleet-wide defaults and exceptions: the schema, the values in force for a
 * scope, differences, and the checklist to compare with the paper one.
 */
#include <stdio.h>
#include <string.h>

#include "plantainarch.h"

/* Characters that need no quotes in YAML. */
#define YAML_PLAIN_CHARACTERS \
	"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-"
#define SECOND_US INT64_C(1000000)

static const setting_info_t setting_infos[SETTING_COUNT] = {
	[SETTING_DEADLINE_US] = { "deadline", SETTING_DURATION, true, 1000,
	    600 * SECOND_US, NULL, { 250000, 1000000, 5 * SECOND_US },
	    "deadline if the caller gives none, and the maximum that a caller "
	    "may give" },
	[SETTING_SHARE_PERCENT] = { "share", SETTING_PERCENT, true, 0, 100,
	    NULL, { 50, 20, 10 },
	    "share of each leaf's work that the rank gets under overload" },
	[SETTING_SLOT_CEILING_PERCENT] = { "slot_ceiling", SETTING_PERCENT,
	    true, 1, 100, NULL, { 100, 100, 100 },
	    "maximum share of a leaf's slots that the rank may hold at once" },
	[SETTING_HEDGE_PERCENT] = { "hedge_budget", SETTING_PERCENT, true, 0,
	    50, NULL, { 4, 4, 4 }, "extra leaf requests that hedging may add" },
	[SETTING_HEDGE_QUANTILE_PERCENT] = { "hedge_quantile", SETTING_PERCENT,
	    false, 50, 99, NULL, { 95, 95, 95 },
	    "quantile of a leaf's reply times after which a hedge is sent" },
	[SETTING_RETRY_PERCENT] = { "retry_budget", SETTING_PERCENT, true, 0,
	    50, NULL, { 10, 10, 5 },
	    "extra leaf requests that retries may add" },
	[SETTING_ADMISSION] = { "admission", SETTING_CHOICE, false, 0, 1,
	    "deadline|none", { 0, 0, 0 }, "how whole queries are admitted" },
	[SETTING_QUEUE] = { "queue", SETTING_CHOICE, false, 0, 1, "ranked|fifo",
	    { 0, 0, 0 }, "order of the requests queued for a leaf's slot" },
	[SETTING_ROUTING] = { "routing", SETTING_CHOICE, false, 0, 1,
	    "latency|random", { 0, 0, 0 }, "how a shard's replica is chosen" },
	[SETTING_HEDGING] = { "hedging", SETTING_CHOICE, false, 0, 1,
	    "adaptive|off", { 0, 0, 0 }, "when a second attempt is sent" },
	[SETTING_LIMIT] = { "limit", SETTING_CHOICE, false, 0, 1,
	    "adaptive|fixed", { 0, 0, 0 },
	    "how the number of in-flight requests per leaf is limited" },
	[SETTING_REACH] = { "reach", SETTING_CHOICE, false, 0, 1, "home|direct",
	    { 0, 0, 0 },
	    "whether leaves are reached through home VMs or from every VM" },
	[SETTING_HOME_BLOCK] = { "home_block", SETTING_NUMBER, false, 1, 256,
	    NULL, { 4, 4, 4 },
	    "neighbouring instances that share their home VMs" },
	[SETTING_EJECT_PERCENT] = { "eject_cap", SETTING_PERCENT, false, 0, 50,
	    NULL, { 20, 20, 20 },
	    "maximum share of an index's leaves ejected at once" },
	[SETTING_RETENTION_US] = { "order_retention", SETTING_DURATION, false,
	    60 * SECOND_US, 7 * 86400 * SECOND_US, NULL,
	    { 3600 * SECOND_US, 3600 * SECOND_US, 3600 * SECOND_US },
	    "time for which an order's idempotency key is stored" },
};

static const char *const rank_names[RANK_COUNT] = { "urgent", "standard",
	"bulk" };

static bool parse_duration(const char *text, int64_t *value);
static bool parse_choice(const char *choices, const char *text, int64_t *value);
static int get_precedence(const scope_t *scope);
static bool is_scope_match(const scope_t *pattern, const scope_t *scope);
static void append_quoted(GString *text, const char *value);
static void append_scope(GString *text, const scope_t *scope);
static void append_default(
    GString *text, const settings_t *settings, setting_key_t key);
static void append_value_diff(GString *diff, setting_key_t key,
    const int64_t *before, const int64_t *after);
static const setting_exception_t *find_equal_exception(
    const settings_t *settings, const setting_exception_t *wanted);

const char *
rank_get_name(rank_t rank)
{
	return rank < RANK_COUNT ? rank_names[rank] : "unknown";
}

bool
rank_parse(const char *text, rank_t *rank)
{
	for (rank_t i = 0; i < RANK_COUNT; i++) {
		if (strcmp(text, rank_names[i]) == 0) {
			*rank = i;
			return true;
		}
	}
	return false;
}

const setting_info_t *
settings_get_info(setting_key_t key)
{
	return &setting_infos[key];
}

bool
settings_find_key(const char *name, setting_key_t *key)
{
	for (setting_key_t i = 0; i < SETTING_COUNT; i++) {
		if (strcmp(setting_infos[i].name, name) == 0) {
			*key = i;
			return true;
		}
	}
	return false;
}

void
settings_reset(settings_t *settings)
{
	memset(settings, 0, sizeof(*settings));
	for (setting_key_t i = 0; i < SETTING_COUNT; i++)
		memcpy(settings->defaults[i], setting_infos[i].initial,
		    sizeof(setting_infos[i].initial));
}

/* Parses "200ms", "5%", "4" or a choice; allowed describes the valid values. */
bool
settings_parse_value(setting_key_t key, const char *text, int64_t *value,
    char *allowed, size_t allowed_bytes)
{
	const setting_info_t *info = &setting_infos[key];
	char *minimum = settings_format_value(key, info->minimum);
	char *maximum = settings_format_value(key, info->maximum);
	char *end = NULL;
	bool is_valid = false;

	switch (info->type) {
	case SETTING_DURATION:
		is_valid = parse_duration(text, value);
		snprintf(allowed, allowed_bytes,
		    "a duration with its unit (us, ms, s, m, h) from %s to %s",
		    minimum, maximum);
		break;
	case SETTING_PERCENT:
		*value = g_ascii_strtoll(text, &end, 10);
		is_valid = end != text && strcmp(end, "%") == 0;
		snprintf(allowed, allowed_bytes,
		    "a whole percentage from %s to %s", minimum, maximum);
		break;
	case SETTING_NUMBER:
		*value = g_ascii_strtoll(text, &end, 10);
		is_valid = end != text && *end == '\0';
		snprintf(allowed, allowed_bytes, "a whole number from %s to %s",
		    minimum, maximum);
		break;
	case SETTING_CHOICE:
		is_valid = parse_choice(info->choices, text, value);
		snprintf(allowed, allowed_bytes, "one of %s", info->choices);
		break;
	}
	g_free(minimum);
	g_free(maximum);
	return is_valid && *value >= info->minimum && *value <= info->maximum;
}

char *
settings_format_value(setting_key_t key, int64_t value)
{
	const setting_info_t *info = &setting_infos[key];
	char **names;
	char *text;

	switch (info->type) {
	case SETTING_DURATION:
		if (value % SECOND_US == 0)
			return g_strdup_printf(
			    "%" G_GINT64_FORMAT "s", value / SECOND_US);
		if (value % 1000 == 0)
			return g_strdup_printf(
			    "%" G_GINT64_FORMAT "ms", value / 1000);
		return g_strdup_printf("%" G_GINT64_FORMAT "us", value);
	case SETTING_PERCENT:
		return g_strdup_printf("%" G_GINT64_FORMAT "%%", value);
	case SETTING_CHOICE:
		names = g_strsplit(info->choices, "|", -1);
		text = g_strdup(
		    value < (int64_t)g_strv_length(names) ? names[value] : "?");
		g_strfreev(names);
		return text;
	case SETTING_NUMBER:
		break;
	}
	return g_strdup_printf("%" G_GINT64_FORMAT, value);
}

bool
settings_parse_scope(const char *text, scope_t *scope, error_info_t *error)
{
	char **parts = g_strsplit(text, ",", -1);
	bool is_valid = true;

	memset(scope, 0, sizeof(*scope));
	scope->rank = -1;
	for (int i = 0; parts[i] != NULL && is_valid; i++) {
		char *equals = strchr(parts[i], '=');
		rank_t rank;

		is_valid = false;
		if (equals == NULL || equals[1] == '\0') {
			error_set(error, ERROR_INVALID, "read scope", "",
			    "\"%s\" is not a name=value pair; write e.g. "
			    "index=laadplan,rank=urgent",
			    parts[i]);
			break;
		}
		*equals++ = '\0';
		if (strcmp(parts[i], "index") == 0)
			is_valid = g_strlcpy(scope->index, equals, NAME_BYTES) <
				   NAME_BYTES;
		else if (strcmp(parts[i], "upstream") == 0)
			is_valid = g_strlcpy(scope->upstream, equals,
				       NAME_BYTES) < NAME_BYTES;
		else if (strcmp(parts[i], "zone") == 0)
			is_valid = g_strlcpy(scope->zone, equals, NAME_BYTES) <
				   NAME_BYTES;
		else if (strcmp(parts[i], "rank") == 0 &&
			 (is_valid = rank_parse(equals, &rank)))
			scope->rank = (int)rank;
		if (!is_valid)
			error_set(error, ERROR_INVALID, "read scope", "",
			    "\"%s=%s\" is not allowed; use index, upstream, "
			    "zone or rank (urgent, standard, bulk)",
			    parts[i], equals);
	}
	g_strfreev(parts);
	return is_valid;
}

char *
settings_format_scope(const scope_t *scope)
{
	GString *text = g_string_new(NULL);

	if (scope->index[0] != '\0')
		g_string_append_printf(text, "index: %s, ", scope->index);
	if (scope->upstream[0] != '\0')
		g_string_append_printf(text, "upstream: %s, ", scope->upstream);
	if (scope->zone[0] != '\0')
		g_string_append_printf(text, "zone: %s, ", scope->zone);
	if (scope->rank >= 0)
		g_string_append_printf(
		    text, "rank: %s, ", rank_names[scope->rank]);
	if (text->len >= 2)
		g_string_truncate(text, text->len - 2);
	return g_string_free(text, FALSE);
}

char *
settings_format(const settings_t *settings)
{
	GString *text = g_string_new("fleet: ");

	append_quoted(text, settings->fleet);
	g_string_append(text, "\ndefaults:\n");
	for (setting_key_t key = 0; key < SETTING_COUNT; key++)
		append_default(text, settings, key);
	if (settings->exception_count > 0)
		g_string_append(text, "exceptions:\n");
	for (int i = 0; i < settings->exception_count; i++) {
		const setting_exception_t *exception = &settings->exceptions[i];
		char *value =
		    settings_format_value(exception->key, exception->value);

		g_string_append(text, "  - scope: {");
		append_scope(text, &exception->scope);
		g_string_append_printf(text,
		    "}\n    set: {%s: %s}\n    reason: ",
		    setting_infos[exception->key].name, value);
		append_quoted(text, exception->reason);
		g_string_append(text, "\n    author: ");
		append_quoted(text, exception->author);
		g_string_append(text, "\n");
		g_free(value);
	}
	return g_string_free(text, FALSE);
}

char *
settings_diff(const settings_t *before, const settings_t *after)
{
	GString *diff = g_string_new(NULL);

	for (setting_key_t key = 0; key < SETTING_COUNT; key++)
		append_value_diff(
		    diff, key, before->defaults[key], after->defaults[key]);
	for (int side = 0; side < 2; side++) {
		const settings_t *from = side == 0 ? before : after;
		const settings_t *other = side == 0 ? after : before;

		for (int i = 0; i < from->exception_count; i++) {
			const setting_exception_t *exception =
			    &from->exceptions[i];
			char *scope, *value;

			if (find_equal_exception(other, exception) != NULL)
				continue;
			scope = settings_format_scope(&exception->scope);
			value = settings_format_value(
			    exception->key, exception->value);
			g_string_append_printf(diff,
			    "%c exception {%s} %s: %s  # %s\n",
			    side == 0 ? '-' : '+', scope,
			    setting_infos[exception->key].name, value,
			    exception->reason);
			g_free(scope);
			g_free(value);
		}
	}
	return g_string_free(diff, FALSE);
}

char *
settings_format_checklist(const settings_t *settings, uint64_t version)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text,
	    "Checklist of fleet %s, settings version %" G_GUINT64_FORMAT
	    "\n\nDefaults\n",
	    settings->fleet, version);
	for (setting_key_t key = 0; key < SETTING_COUNT; key++) {
		g_string_append_printf(
		    text, "  [ ] %-16s", setting_infos[key].name);
		for (int rank = 0;
		     rank < (setting_infos[key].by_rank ? RANK_COUNT : 1);
		     rank++) {
			char *value = settings_format_value(
			    key, settings->defaults[key][rank]);

			if (setting_infos[key].by_rank)
				g_string_append_printf(
				    text, " %s %-8s", rank_names[rank], value);
			else
				g_string_append_printf(text, " %s", value);
			g_free(value);
		}
		g_string_append(text, "\n");
	}
	g_string_append_printf(
	    text, "\nExceptions: %d\n", settings->exception_count);
	for (int i = 0; i < settings->exception_count; i++) {
		const setting_exception_t *exception = &settings->exceptions[i];
		char *scope = settings_format_scope(&exception->scope);
		char *value =
		    settings_format_value(exception->key, exception->value);

		g_string_append_printf(text,
		    "  [ ] %d. for %s: %s = %s\n         because: %s (%s)\n",
		    i + 1, scope, setting_infos[exception->key].name, value,
		    exception->reason, exception->author);
		g_free(scope);
		g_free(value);
	}
	return g_string_free(text, FALSE);
}

/* Returns the most specific matching exception; each set of scope fields has a
 * precedence of its own. */
const setting_exception_t *
settings_find_exception(
    const settings_t *settings, setting_key_t key, const scope_t *scope)
{
	const setting_exception_t *best = NULL;

	for (int i = 0; i < settings->exception_count; i++) {
		const setting_exception_t *exception = &settings->exceptions[i];

		if (exception->key != key ||
		    !is_scope_match(&exception->scope, scope))
			continue;
		if (best == NULL || get_precedence(&exception->scope) >
					get_precedence(&best->scope))
			best = exception;
	}
	return best;
}

void
settings_get_values(
    const settings_t *settings, const scope_t *scope, settings_values_t *values)
{
	int rank = scope->rank >= 0 ? scope->rank : 0;

	for (setting_key_t key = 0; key < SETTING_COUNT; key++) {
		const setting_exception_t *exception =
		    settings_find_exception(settings, key, scope);

		values->value[key] = exception != NULL
					 ? exception->value
					 : settings->defaults[key][rank];
	}
}

static bool
parse_duration(const char *text, int64_t *value)
{
	static const struct {
		const char *unit;
		int64_t us;
	} units[] = { { "us", 1 }, { "ms", 1000 }, { "s", SECOND_US },
		{ "m", 60 * SECOND_US }, { "h", 3600 * SECOND_US } };
	char *end;
	int64_t number = g_ascii_strtoll(text, &end, 10);

	if (end == text || number < 0 || number > INT32_MAX)
		return false;
	for (size_t i = 0; i < G_N_ELEMENTS(units); i++) {
		if (strcmp(end, units[i].unit) == 0) {
			*value = number * units[i].us;
			return true;
		}
	}
	return false;
}

static bool
parse_choice(const char *choices, const char *text, int64_t *value)
{
	char **names = g_strsplit(choices, "|", -1);
	bool is_found = false;

	for (int i = 0; names[i] != NULL; i++) {
		if (strcmp(names[i], text) == 0) {
			*value = i;
			is_found = true;
		}
	}
	g_strfreev(names);
	return is_found;
}

static int
get_precedence(const scope_t *scope)
{
	return (scope->index[0] != '\0') * 8 +
	       (scope->upstream[0] != '\0') * 4 + (scope->zone[0] != '\0') * 2 +
	       (scope->rank >= 0);
}

static bool
is_scope_match(const scope_t *pattern, const scope_t *scope)
{
	if (pattern->index[0] != '\0' &&
	    strcmp(pattern->index, scope->index) != 0)
		return false;
	if (pattern->upstream[0] != '\0' &&
	    strcmp(pattern->upstream, scope->upstream) != 0)
		return false;
	if (pattern->zone[0] != '\0' && strcmp(pattern->zone, scope->zone) != 0)
		return false;
	return pattern->rank < 0 || pattern->rank == scope->rank;
}

/* Appends a YAML scalar: plain if that is safe, else in double quotes. */
static void
append_quoted(GString *text, const char *value)
{
	if (value[0] != '\0' && value[0] != '-' &&
	    value[strspn(value, YAML_PLAIN_CHARACTERS)] == '\0') {
		g_string_append(text, value);
		return;
	}
	g_string_append_c(text, '"');
	for (const unsigned char *next = (const unsigned char *)value;
	     *next != '\0'; next++) {
		if (*next == '"' || *next == '\\')
			g_string_append_printf(text, "\\%c", *next);
		else if (*next < ' ' || *next == 0x7f)
			g_string_append_printf(text, "\\x%02x", *next);
		else
			g_string_append_c(text, (char)*next);
	}
	g_string_append_c(text, '"');
}

/* Appends a scope as YAML pairs. */
static void
append_scope(GString *text, const scope_t *scope)
{
	const char *names[] = { "index", "upstream", "zone", "rank" };
	const char *values[] = { scope->index, scope->upstream, scope->zone,
		scope->rank >= 0 ? rank_names[scope->rank] : "" };
	bool is_first = true;

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (values[i][0] == '\0')
			continue;
		g_string_append_printf(
		    text, "%s%s: ", is_first ? "" : ", ", names[i]);
		append_quoted(text, values[i]);
		is_first = false;
	}
}

static void
append_default(GString *text, const settings_t *settings, setting_key_t key)
{
	char *value;

	if (!setting_infos[key].by_rank) {
		value = settings_format_value(key, settings->defaults[key][0]);
		g_string_append_printf(
		    text, "  %s: %s\n", setting_infos[key].name, value);
		g_free(value);
		return;
	}
	g_string_append_printf(text, "  %s: {", setting_infos[key].name);
	for (int rank = 0; rank < RANK_COUNT; rank++) {
		value =
		    settings_format_value(key, settings->defaults[key][rank]);
		g_string_append_printf(text, "%s%s: %s", rank > 0 ? ", " : "",
		    rank_names[rank], value);
		g_free(value);
	}
	g_string_append(text, "}\n");
}

static void
append_value_diff(GString *diff, setting_key_t key, const int64_t *before,
    const int64_t *after)
{
	for (int rank = 0; rank < (setting_infos[key].by_rank ? RANK_COUNT : 1);
	     rank++) {
		char *old_value, *new_value;

		if (before[rank] == after[rank])
			continue;
		old_value = settings_format_value(key, before[rank]);
		new_value = settings_format_value(key, after[rank]);
		g_string_append_printf(diff, "~ default %s%s%s: %s -> %s\n",
		    setting_infos[key].name,
		    setting_infos[key].by_rank ? " " : "",
		    setting_infos[key].by_rank ? rank_names[rank] : "",
		    old_value, new_value);
		g_free(old_value);
		g_free(new_value);
	}
}

static const setting_exception_t *
find_equal_exception(
    const settings_t *settings, const setting_exception_t *wanted)
{
	for (int i = 0; i < settings->exception_count; i++) {
		const setting_exception_t *exception = &settings->exceptions[i];

		if (exception->key == wanted->key &&
		    exception->value == wanted->value &&
		    memcmp(&exception->scope, &wanted->scope,
			sizeof(scope_t)) == 0 &&
		    strcmp(exception->reason, wanted->reason) == 0)
			return exception;
	}
	return NULL;
}
