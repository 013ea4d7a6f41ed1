/**
 * @file directory.c
 * Routes, services and leaves from the platform, and route matching.
 */
#include <string.h>

#include "tier.h"

#define KEY_FORMAT "%s %.*s"

static void destroy_route(gpointer data);
static void destroy_service(gpointer data);
static void clear_table(gpointer data);

route_table_t *
route_table_create(uint64_t version)
{
	route_table_t *table = g_atomic_rc_box_new0(route_table_t);

	table->version = version;
	table->routes = g_ptr_array_new_with_free_func(destroy_route);
	table->services = g_ptr_array_new_with_free_func(destroy_service);
	table->by_key =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return table;
}

route_table_t *
route_table_acquire(route_table_t *table)
{
	return g_atomic_rc_box_acquire(table);
}

void
route_table_release(route_table_t *table)
{
	if (table != NULL)
		g_atomic_rc_box_release_full(table, clear_table);
}

route_t *
route_table_add(route_table_t *table, const char *name, const char *host,
    const char *prefix, int target_count)
{
	route_t *route = g_new0(route_t, 1);
	char *folded = g_ascii_strdown(host, -1);

	route->name = g_strdup(name);
	route->host = folded;
	route->prefix = g_strdup(prefix);
	route->targets = g_new0(route_target_t, (gsize)MAX(target_count, 1));
	route->target_count = target_count;
	g_ptr_array_add(table->routes, route);
	g_hash_table_insert(table->by_key,
	    g_strdup_printf(
		KEY_FORMAT, folded, (int)strlen(prefix), route->prefix),
	    route);
	return route;
}

void
route_table_add_service(route_table_t *table, const char *name, int connections)
{
	service_entry_t *service = g_new0(service_entry_t, 1);

	service->name = g_strdup(name);
	service->max_connections = connections;
	g_ptr_array_add(table->services, service);
}

/* Looks up each prefix of the path that ends with a slash, longest first. */
bool
route_table_is_newer(const route_table_t *table, const route_table_t *than)
{
	return than == NULL || table->version > than->version ||
	       (table->version == than->version && table->epoch > than->epoch);
}

const route_t *
route_table_match(
    const route_table_t *table, const char *host, const char *target)
{
	size_t length = strcspn(target, "?#");
	size_t host_length = strcspn(host, ":");
	char *folded = g_ascii_strdown(host, (gssize)host_length);
	GString *key = g_string_sized_new(128);
	const route_t *found = NULL;

	for (; length > 0 && found == NULL; length--) {
		if (target[length - 1] != '/')
			continue;
		g_string_printf(key, KEY_FORMAT, folded, (int)length, target);
		found = g_hash_table_lookup(table->by_key, key->str);
	}
	g_string_free(key, TRUE);
	g_free(folded);
	return found;
}

directory_t *
directory_create(route_table_t *table, int vm_count)
{
	directory_t *directory = g_new0(directory_t, 1);

	if (table != NULL)
		directory->table = route_table_acquire(table);
	directory->leaves = g_array_new(FALSE, FALSE, sizeof(leaf_entry_t));
	directory->vm_count = vm_count;
	return directory;
}

void
directory_destroy(directory_t *directory)
{
	if (directory == NULL)
		return;
	route_table_release(directory->table);
	g_array_unref(directory->leaves);
	g_free(directory);
}

static void
destroy_route(gpointer data)
{
	route_t *route = data;

	for (int i = 0; i < route->target_count; i++)
		g_free(route->targets[i].service);
	g_free(route->targets);
	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_free(route);
}

static void
destroy_service(gpointer data)
{
	service_entry_t *service = data;

	g_free(service->name);
	g_free(service);
}

static void
clear_table(gpointer data)
{
	route_table_t *table = data;

	g_hash_table_unref(table->by_key);
	g_ptr_array_unref(table->routes);
	g_ptr_array_unref(table->services);
}
