/**
 * @file platform.c
 * Stand-in for the platform: objects with versions, conditional updates and
 * watches, a lagging list of VMs, counts of calls, and faults that can be
 * switched while it runs.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "stub.h"

#define WAIT_LONGEST_MS 30000
#define ANSWER_DELAY_US 2000
#define HANG_US		3600000000

typedef struct stored {
	uint64_t version, revision;
	GString *value,
	    *before; /* the value before the last update, for stale reads */
} stored_t;

typedef struct vm {
	char *body, *visible;
	int64_t visible_at_us;
} vm_t;

typedef struct platform_state {
	GHashTable *objects; /* name -> stored_t */
	GHashTable *vms;     /* id -> vm_t */
	uint64_t revision;
	GList *watches; /* exchange_t */
	gsl_rng *random;
	/* faults */
	bool is_down;
	char down_mode[16];
	int64_t delay_us, list_lag_us;
	int lose_percent, stale_percent;
	/* counts */
	int64_t reads, writes, conflicts, watch_calls, lost;
} platform_state_t;

static bool
happens(platform_state_t *state, int percent)
{
	return percent > 0 &&
	       (int)gsl_rng_uniform_int(state->random, 100) < percent;
}

static void
answer(
    platform_state_t *state, exchange_t *exchange, int status, const char *body)
{
	stub_answer(exchange,
	    clock_get_us() + ANSWER_DELAY_US + state->delay_us, status, body,
	    strlen(body));
}

static char *
format_changes(platform_state_t *state, const char *prefix, uint64_t after)
{
	json_t *list = json_array();
	GHashTableIter iterator;
	gpointer name, value;
	json_t *root;
	char *text;

	g_hash_table_iter_init(&iterator, state->objects);
	while (g_hash_table_iter_next(&iterator, &name, &value)) {
		const stored_t *stored = value;

		if (stored->revision > after && g_str_has_prefix(name, prefix))
			json_array_append_new(
			    list, json_pack("{s:s, s:I, s:s}", "name",
				      (const char *)name, "version",
				      (json_int_t)stored->version, "value",
				      stored->value->str));
	}
	root = json_pack("{s:I, s:o}", "revision", (json_int_t)state->revision,
	    "objects", list);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static bool
has_change(platform_state_t *state, const char *prefix, uint64_t after)
{
	GHashTableIter iterator;
	gpointer name, value;

	g_hash_table_iter_init(&iterator, state->objects);
	while (g_hash_table_iter_next(&iterator, &name, &value))
		if (((stored_t *)value)->revision > after &&
		    g_str_has_prefix(name, prefix))
			return true;
	return false;
}

static void
wake_watches(platform_state_t *state)
{
	GList *entry = state->watches;

	while (entry != NULL) {
		GList *next = entry->next;
		exchange_t *exchange = entry->data;
		const char *prefix = stub_get_argument(exchange, "prefix");
		uint64_t after =
		    strtoull(stub_get_argument(exchange, "after"), NULL, 10);

		if (has_change(state, prefix, after)) {
			char *text = format_changes(state, prefix, after);

			answer(state, exchange, 200, text);
			free(text);
			exchange->work = NULL;
			state->watches =
			    g_list_delete_link(state->watches, entry);
		}
		entry = next;
	}
}

static void
handle_watch(platform_state_t *state, exchange_t *exchange)
{
	const char *prefix = stub_get_argument(exchange, "prefix");
	const char *after = stub_get_argument(exchange, "after");
	const char *wait_ms = stub_get_argument(exchange, "wait_ms");
	int64_t wait_us =
	    wait_ms != NULL ? MIN(atoi(wait_ms), WAIT_LONGEST_MS) * 1000 : 0;
	char *text;

	state->watch_calls++;
	if (prefix == NULL || after == NULL) {
		answer(state, exchange, 400, "{}");
		return;
	}
	text = format_changes(state, prefix, strtoull(after, NULL, 10));
	if (has_change(state, prefix, strtoull(after, NULL, 10))) {
		answer(state, exchange, 200, text);
	} else {
		stub_answer(exchange, clock_get_us() + wait_us, 200, text,
		    strlen(text));
		exchange->work = state;
		state->watches = g_list_prepend(state->watches, exchange);
	}
	free(text);
}

static void
handle_put(platform_state_t *state, exchange_t *exchange, const char *name)
{
	const char *wanted = stub_get_argument(exchange, "version");
	stored_t *stored = g_hash_table_lookup(state->objects, name);
	uint64_t version = stored != NULL ? stored->version : 0;

	state->writes++;
	if (wanted == NULL || strtoull(wanted, NULL, 10) != version) {
		state->conflicts++;
		exchange->version = version;
		answer(state, exchange, 409, "{\"error\":\"version\"}");
		return;
	}
	if (stored == NULL) {
		stored = g_new0(stored_t, 1);
		stored->value = g_string_new(NULL);
		stored->before = g_string_new(NULL);
		g_hash_table_insert(state->objects, g_strdup(name), stored);
	}
	g_string_assign(stored->before, stored->value->str);
	g_string_assign(stored->value, exchange->body->str);
	stored->version++;
	stored->revision = ++state->revision;
	wake_watches(state);
	if (happens(state, state->lose_percent)) {
		state->lost++;
		stub_answer(exchange, clock_get_us() + HANG_US, 500, "", 0);
		return;
	}
	exchange->version = stored->version;
	answer(state, exchange, 200, "{}");
}

static void
handle_get(platform_state_t *state, exchange_t *exchange, const char *name)
{
	stored_t *stored = g_hash_table_lookup(state->objects, name);

	state->reads++;
	if (stored == NULL) {
		answer(state, exchange, 404, "{}");
		return;
	}
	if (stored->version > 1 && happens(state, state->stale_percent)) {
		exchange->version = stored->version - 1;
		answer(state, exchange, 200, stored->before->str);
		return;
	}
	exchange->version = stored->version;
	answer(state, exchange, 200, stored->value->str);
}

static void
handle_vms(platform_state_t *state, exchange_t *exchange, const char *id)
{
	int64_t now_us = clock_get_us();
	GHashTableIter iterator;
	gpointer value;
	GString *text;
	vm_t *vm;

	if (strcmp(exchange->method, "PUT") == 0) {
		vm = g_hash_table_lookup(state->vms, id);
		if (vm == NULL) {
			vm = g_new0(vm_t, 1);
			g_hash_table_insert(state->vms, g_strdup(id), vm);
		}
		g_free(vm->body);
		vm->body = g_strdup(exchange->body->str);
		vm->visible_at_us = now_us + state->list_lag_us;
		answer(state, exchange, 200, "{}");
		return;
	}
	if (strcmp(exchange->method, "DELETE") == 0) {
		g_hash_table_remove(state->vms, id);
		answer(state, exchange, 200, "{}");
		return;
	}
	state->reads++;
	text = g_string_new("[");
	g_hash_table_iter_init(&iterator, state->vms);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		vm = value;
		if (now_us >= vm->visible_at_us) {
			g_free(vm->visible);
			vm->visible = g_strdup(vm->body);
		}
		if (vm->visible != NULL)
			g_string_append_printf(text, "%s%s",
			    text->len > 1 ? "," : "", vm->visible);
	}
	g_string_append(text, "]");
	answer(state, exchange, 200, text->str);
	g_string_free(text, TRUE);
}

static void
handle_fault(platform_state_t *state, exchange_t *exchange)
{
	json_t *root =
	    json_loadb(exchange->body->str, exchange->body->len, 0, NULL);
	json_t *value;

	if ((value = json_object_get(root, "outage")) != NULL) {
		state->is_down = strcmp(json_string_value(value), "") != 0;
		g_strlcpy(state->down_mode, json_string_value(value),
		    sizeof(state->down_mode));
	}
	if ((value = json_object_get(root, "delay_ms")) != NULL)
		state->delay_us = json_integer_value(value) * 1000;
	if ((value = json_object_get(root, "list_lag_ms")) != NULL)
		state->list_lag_us = json_integer_value(value) * 1000;
	if ((value = json_object_get(root, "lose_percent")) != NULL)
		state->lose_percent = (int)json_integer_value(value);
	if ((value = json_object_get(root, "stale_percent")) != NULL)
		state->stale_percent = (int)json_integer_value(value);
	json_decref(root);
	stub_answer(exchange, clock_get_us(), 200, "{}", 2);
}

static void
handle_stats(platform_state_t *state, exchange_t *exchange)
{
	char text[256];

	snprintf(text, sizeof(text),
	    "{\"reads\":%" G_GINT64_FORMAT ",\"writes\":%" G_GINT64_FORMAT
	    ",\"conflicts\":%" G_GINT64_FORMAT ",\"watches\":%" G_GINT64_FORMAT
	    ",\"lost\":%" G_GINT64_FORMAT "}\n",
	    state->reads, state->writes, state->conflicts, state->watch_calls,
	    state->lost);
	stub_answer(exchange, clock_get_us(), 200, text, strlen(text));
}

static void
handle_exchange(void *context, exchange_t *exchange)
{
	platform_state_t *state = context;

	if (strcmp(exchange->path, "/fault") == 0)
		handle_fault(state, exchange);
	else if (strcmp(exchange->path, "/stats") == 0)
		handle_stats(state, exchange);
	else if (state->is_down && strcmp(state->down_mode, "hang") == 0)
		stub_answer(exchange, clock_get_us() + HANG_US, 500, "", 0);
	else if (state->is_down)
		stub_answer(exchange, clock_get_us(), 503, "{}", 2);
	else if (strcmp(exchange->path, "/watch") == 0)
		handle_watch(state, exchange);
	else if (g_str_has_prefix(exchange->path, "/vms"))
		handle_vms(state, exchange,
		    exchange->path + MIN(5, strlen(exchange->path)));
	else if (!g_str_has_prefix(exchange->path, "/objects/"))
		answer(state, exchange, 404, "{}");
	else if (strcmp(exchange->method, "PUT") == 0)
		handle_put(
		    state, exchange, exchange->path + strlen("/objects/"));
	else
		handle_get(
		    state, exchange, exchange->path + strlen("/objects/"));
}

static void
forget_exchange(void *context, exchange_t *exchange)
{
	platform_state_t *state = context;

	if (exchange->work != NULL)
		state->watches = g_list_remove(state->watches, exchange);
}

static void
free_vm(void *context)
{
	vm_t *vm = context;

	g_free(vm->body);
	g_free(vm->visible);
	g_free(vm);
}

int
main(int argc, char **argv)
{
	platform_state_t state = { 0 };
	loop_t *loop = loop_create();

	if (argc != 3) {
		fprintf(stderr, "Usage: platform ADDRESS PORT\n");
		return 2;
	}
	state.objects =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	state.vms =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_vm);
	state.random = gsl_rng_alloc(gsl_rng_taus2);
	if (stub_create(loop, argv[1], atoi(argv[2]), handle_exchange,
		forget_exchange, &state) == NULL)
		return 1;
	loop_run(loop);
	return 0;
}
