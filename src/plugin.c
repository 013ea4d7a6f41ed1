/**
 * @file plugin.c
 * Registry of policy plug-ins. Plug-ins register in constructors, before main.
 */
#include <stdio.h>
#include <string.h>

#include "plantainarch.h"

#define PLUGINS_MAX 32

static const plugin_t *plugins[PLUGINS_MAX];
static int plugin_count;

static const char *const kind_names[PLUGIN_KIND_COUNT] = { "admission", "queue",
	"routing", "hedging", "limit", "protocol" };

void
plugin_register(const plugin_t *plugin)
{
	if (plugin_count < PLUGINS_MAX)
		plugins[plugin_count++] = plugin;
}

/* Called for each query; searches the list of names without copying it. */
const plugin_t *
plugin_find_choice(plugin_kind_t kind, setting_key_t key, int64_t choice)
{
	const char *name = settings_get_info(key)->choices;
	size_t length;

	for (; choice > 0 && name != NULL; choice--) {
		name = strchr(name, '|');
		if (name != NULL)
			name++;
	}
	if (name == NULL || choice < 0)
		return NULL;
	length = strcspn(name, "|");
	for (int i = 0; i < plugin_count; i++)
		if (plugins[i]->kind == kind &&
		    strlen(plugins[i]->name) == length &&
		    strncmp(plugins[i]->name, name, length) == 0)
			return plugins[i];
	return NULL;
}

const plugin_t *
plugin_find(plugin_kind_t kind, const char *name)
{
	for (int i = 0; i < plugin_count; i++)
		if (plugins[i]->kind == kind &&
		    strcmp(plugins[i]->name, name) == 0)
			return plugins[i];
	return NULL;
}

void
plugin_print_all(void)
{
	for (int i = 0; i < plugin_count; i++)
		printf("%-10s %s\n", kind_names[plugins[i]->kind],
		    plugins[i]->name);
}
