/**
 * @file tier_settings.c
 * Parses the YAML settings of the tier on one VM; reports every problem.
 */
#include <stdlib.h>
#include <string.h>

#include "document.h"
#include "tier_process.h"

#define SECOND_US  1000000
#define NUMBER_MAX 1e9

typedef struct text_key {
	const char *name;
	size_t offset, size;
	bool is_required;
	const char *remedy;
} text_key_t;

#define TEXT_KEY(field, required, help)                                      \
	{                                                                    \
#field, offsetof(tier_settings_t, field),                    \
		    sizeof(((tier_settings_t *)NULL)->field), required, help \
	}

static const text_key_t text_keys[] = {
	TEXT_KEY(id, true, "give the VM a unique name"),
	TEXT_KEY(zone, true, "name the VM's availability zone"),
	TEXT_KEY(region, true, "name the VM's region"),
	TEXT_KEY(protocol, true, "name the platform's protocol: objects"),
	TEXT_KEY(callers, true, "give the address for callers, IPv4:port"),
	TEXT_KEY(ready, true, "give the address for readiness, IPv4:port"),
	TEXT_KEY(metrics, false, "give the address for metrics, IPv4:port"),
	TEXT_KEY(platform, true, "give the address of the store, IPv4:port"),
	TEXT_KEY(peers, true, "give the address for other VMs, IPv4:port"),
	TEXT_KEY(log_level, false, "debug, info, message or warning"),
};

static bool
read_number(document_reader_t *reading, const char *key,
    const yaml_node_t *value, double *target)
{
	char *end;
	const char *text = document_get_scalar(value);
	double number = strtod(text, &end);

	if (*text == '\0' || *end != '\0' ||
	    !(number >= 0 && number <= NUMBER_MAX)) {
		document_add_problem(reading, value, key,
		    "found \"%s\"; allowed is a number from 0 to 1e9", text);
		return false;
	}
	*target = number;
	return true;
}

static void
read_region(document_reader_t *reading, const char *key,
    const yaml_node_t *key_node, yaml_node_t *value, void *context)
{
	tier_settings_t *settings = context;

	g_hash_table_insert(settings->regions, g_strdup(key),
	    g_strdup(document_get_scalar(value)));
}

static void
read_seconds(document_reader_t *reading, const char *key,
    const yaml_node_t *value, int64_t *target_us)
{
	double seconds;

	if (read_number(reading, key, value, &seconds))
		*target_us = (int64_t)(seconds * SECOND_US);
}

static void
read_milliseconds(document_reader_t *reading, const char *key,
    const yaml_node_t *value, int64_t *target_us)
{
	double milliseconds;

	if (read_number(reading, key, value, &milliseconds))
		*target_us = (int64_t)(milliseconds * 1000);
}

static void
read_pair(document_reader_t *reading, const char *key,
    const yaml_node_t *key_node, yaml_node_t *value, void *context)
{
	tier_settings_t *settings = context;

	for (size_t i = 0; i < G_N_ELEMENTS(text_keys); i++) {
		const text_key_t *each = &text_keys[i];

		if (strcmp(key, each->name) != 0)
			continue;
		document_read_name(reading, key, value,
		    (char *)settings + each->offset, each->size);
		return;
	}
	if (strcmp(key, "zones") == 0)
		document_read_pairs(reading, value, key, read_region, settings);
	else if (strcmp(key, "retry_ratio") == 0)
		read_number(reading, key, value, &settings->retry_ratio);
	else if (strcmp(key, "cores") == 0)
		read_number(reading, key, value, &settings->cores);
	else if (strcmp(key, "retry_slack") == 0)
		read_number(reading, key, value, &settings->retry_slack);
	else if (strcmp(key, "retry_window_s") == 0)
		read_seconds(reading, key, value, &settings->retry_window_us);
	else if (strcmp(key, "drain_ms") == 0)
		read_milliseconds(reading, key, value, &settings->drain_us);
	else if (strcmp(key, "apply_ms") == 0)
		read_milliseconds(reading, key, value, &settings->apply_us);
	else if (strcmp(key, "stop_s") == 0)
		read_seconds(reading, key, value, &settings->stop_us);
	else
		document_add_problem(reading, key_node, key,
		    "is unknown; see docs/OPERATIONS.md for the keys");
}

bool
tier_settings_parse(tier_settings_t *settings, const char *name,
    const char *text, size_t length, problem_list_t *problems)
{
	guint before = problems->texts->len;
	document_reader_t reading;

	memset(settings, 0, sizeof(*settings));
	settings->regions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	settings->retry_ratio = 0.1;
	settings->retry_window_us = 10L * SECOND_US;
	settings->cores = 1.0;
	settings->stop_us = 6L * SECOND_US;
	settings->drain_us = 3L * SECOND_US;
	settings->apply_us = 3L * SECOND_US;
	g_strlcpy(settings->log_level, "message", sizeof(settings->log_level));
	if (!document_load(&reading, name, text, length, problems))
		return false;
	document_read_pairs(&reading,
	    yaml_document_get_root_node(&reading.yaml), "document", read_pair,
	    settings);
	for (size_t i = 0; i < G_N_ELEMENTS(text_keys); i++) {
		const text_key_t *each = &text_keys[i];

		if (each->is_required &&
		    *((char *)settings + each->offset) == '\0')
			document_add_problem(&reading, NULL, each->name,
			    "is missing; %s", each->remedy);
	}
	yaml_document_delete(&reading.yaml);
	return problems->texts->len == before;
}

void
tier_settings_clear(tier_settings_t *settings)
{
	if (settings->regions != NULL)
		g_hash_table_unref(settings->regions);
	memset(settings, 0, sizeof(*settings));
}
