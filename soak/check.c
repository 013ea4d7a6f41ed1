/**
 * @file check.c
 * The promises of the tier over the history of a run. Only what callers, leafs
 * and the store have seen counts; nothing is taken from the VMs' own word.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define WORDS_MOST	5
#define FEW		3 /* cases that the pages allow in a run */
#define LEAFS_A_PART	8
#define SERVED_COUNT	20 /* fewer requests tell nothing of a share */
#define BUDGET_CHECK_US 500000
#define ASKED_US	3000000 /* that leafs ask for */
#define ASKED_SLACK_US	500000	/* requests may be on their way */
#define ASKED_FEW	2	/* arrivals that are allowed all the same */

typedef struct history_event {
	int64_t time_us;
	char *text; /* owns the words */
	char *words[WORDS_MOST];
	int count;
	guint order; /* of arrival: equal times keep it */
} history_event_t;

/* A thing without trouble since until_us, or in trouble now. */
typedef struct calm {
	int troubles;
	int64_t until_us;
} calm_t;

typedef struct version {
	int64_t asked_us, acknowledged_us; /* INT64_MAX: not yet */
} version_t;

/* What a leaf said of itself to one VM. */
typedef struct leaf_word {
	int64_t leaving_us, asked_us; /* 0: it did not */
	int unwanted; /* arrivals in the time that it asked for */
} leaf_word_t;

typedef struct vm_state {
	int seen_version;
	int64_t seen_us; /* when a caller first saw its effect */
} vm_state_t;

typedef struct part_runs {
	char leafs[LEAFS_A_PART][NAME_BYTES];
	int count;
} part_runs_t;

typedef struct request {
	char id[NAME_BYTES], vm[NAME_BYTES], route[NAME_BYTES];
	int64_t sent_us, ended_us, left_us;
	int runs;
	bool has_arrived, is_ended, is_refused, is_final;
	GHashTable *parts; /* service -> part_runs_t */
} request_t;

typedef struct service_counts {
	GArray *asked_us, *extra_us; /* int64_t */
	int reported;
} service_counts_t;

struct check {
	check_options_t options;
	GArray *pending; /* history_event_t */
	guint order;
	GHashTable *requests;		/* id -> request_t */
	GQueue open;			/* request_t, by the time sent */
	GHashTable *calms;		/* thing -> calm_t */
	GHashTable *versions;		/* number -> version_t */
	GHashTable *vms;		/* name -> vm_state_t */
	GHashTable *drained;		/* leaf -> int64_t */
	GHashTable *words;		/* "vm leaf" -> leaf_word_t */
	GHashTable *services;		/* name -> service_counts_t */
	GHashTable *targets;		/* route -> names of its services */
	int newest;			/* version asked for */
	int64_t budget_due_us, last_us; /* of the newest event */
	check_totals_t totals;
	int late_arrivals, wide_attempts;
	int final_sent, final_served;
	bool is_final;
};

static void
destroy_request(gpointer data)
{
	request_t *request = data;

	g_hash_table_unref(request->parts);
	g_free(request);
}

static void
destroy_service(gpointer data)
{
	service_counts_t *service = data;

	g_array_unref(service->asked_us);
	g_array_unref(service->extra_us);
	g_free(service);
}

static void
clear_event(gpointer data)
{
	g_free(((history_event_t *)data)->text);
}

check_t *
check_create(const check_options_t *options)
{
	check_t *check = g_new0(check_t, 1);

	check->options = *options;
	check->pending = g_array_new(FALSE, FALSE, sizeof(history_event_t));
	g_array_set_clear_func(check->pending, clear_event);
	check->requests = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, destroy_request);
	check->calms =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	check->versions =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	check->vms =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	check->drained =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	check->words =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	check->services = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, destroy_service);
	check->targets = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_strfreev);
	return check;
}

void
check_destroy(check_t *check)
{
	g_array_unref(check->pending);
	g_queue_clear(&check->open);
	g_hash_table_unref(check->requests);
	g_hash_table_unref(check->calms);
	g_hash_table_unref(check->versions);
	g_hash_table_unref(check->vms);
	g_hash_table_unref(check->drained);
	g_hash_table_unref(check->words);
	g_hash_table_unref(check->services);
	g_hash_table_unref(check->targets);
	g_free(check);
}

const check_totals_t *
check_get_totals(const check_t *check)
{
	return &check->totals;
}

static void
report(check_t *check, int64_t time_us, const char *promise, const char *format,
    ...)
{
	char text[512], line[640];
	va_list arguments;

	va_start(arguments, format);
	vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	snprintf(line, sizeof(line), "%.3f s: %s", (double)time_us / 1e6, text);
	check->totals.violations++;
	check->options.report(check->options.context, promise, line);
}

/* ---- What is known at a moment ---- */

/* The value of a name, zeroed where it is new. */
static void *
find_or_add(GHashTable *table, const char *name, gsize size)
{
	void *value = g_hash_table_lookup(table, name);

	if (value == NULL) {
		value = g_malloc0(size);
		g_hash_table_insert(table, g_strdup(name), value);
	}
	return value;
}

static calm_t *
find_calm(check_t *check, const char *thing)
{
	return find_or_add(check->calms, thing, sizeof(calm_t));
}

/* Whether the thing was in no trouble from since_us until now. */
static bool
is_calm(check_t *check, const char *thing, int64_t since_us)
{
	const calm_t *calm = find_calm(check, thing);

	return calm->troubles == 0 && calm->until_us < MAX(since_us, 1);
}

/* Whether bounds of time hold for a VM, from since_us until now. */
static bool
is_in_touch(check_t *check, const char *vm, int64_t since_us)
{
	char way[NAME_BYTES + 8];

	snprintf(way, sizeof(way), "store-%s", vm);
	since_us -= check->options.stable_us;
	return is_calm(check, vm, since_us) && is_calm(check, way, since_us) &&
	       is_calm(check, "store", since_us);
}

static version_t *
find_version(check_t *check, int number)
{
	version_t *version =
	    g_hash_table_lookup(check->versions, GINT_TO_POINTER(number));

	if (version != NULL)
		return version;
	version = g_new0(version_t, 1);
	version->asked_us = INT64_MAX;
	version->acknowledged_us = INT64_MAX;
	g_hash_table_insert(check->versions, GINT_TO_POINTER(number), version);
	return version;
}

static vm_state_t *
find_vm(check_t *check, const char *name)
{
	return find_or_add(check->vms, name, sizeof(vm_state_t));
}

static service_counts_t *
find_service(check_t *check, const char *name)
{
	service_counts_t *service =
	    find_or_add(check->services, name, sizeof(service_counts_t));

	if (service->asked_us == NULL) {
		service->asked_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
		service->extra_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	}
	return service;
}

static part_runs_t *
find_part(request_t *request, const char *service)
{
	return find_or_add(request->parts, service, sizeof(part_runs_t));
}

/* ---- Callers ---- */

/* A request counts for each service of its route, arrived or not. */
static void
note_asked(check_t *check, const request_t *request)
{
	char **names = g_hash_table_lookup(check->targets, request->route);

	for (int i = 0; names != NULL && names[i] != NULL; i++)
		g_array_append_val(
		    find_service(check, names[i])->asked_us, request->sent_us);
}

static void
take_sent(check_t *check, const history_event_t *event)
{
	request_t *request = g_new0(request_t, 1);

	g_strlcpy(request->id, event->words[0], sizeof(request->id));
	g_strlcpy(request->vm, event->words[1], sizeof(request->vm));
	g_strlcpy(request->route, event->words[2], sizeof(request->route));
	request->sent_us = event->time_us;
	request->left_us = INT64_MAX;
	request->is_final = check->is_final;
	request->parts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(check->requests, request->id, request);
	g_queue_push_tail(&check->open, request);
	note_asked(check, request);
	check->totals.sent++;
	check->final_sent += check->is_final ? 1 : 0;
}

/* "only-7" is a route that only version 7 has; 0: another route. */
static int
get_route_version(const request_t *request)
{
	return g_str_has_prefix(request->route, "only-")
		   ? atoi(request->route + strlen("only-"))
		   : 0;
}

static void
check_older_served(
    check_t *check, request_t *request, int number, int64_t now_us)
{
	vm_state_t *vm = find_vm(check, request->vm);
	const check_options_t *options = &check->options;
	int64_t late_us = options->apply_us + options->slack_us;

	if (vm->seen_version > number &&
	    request->sent_us > vm->seen_us + options->rollback_us)
		report(check, now_us, "CONFIG",
		    "%s %s: version %d after %d was seen", request->id,
		    request->vm, number, vm->seen_version);
	if (vm->seen_version < number) {
		vm->seen_version = number;
		vm->seen_us = now_us;
	}
	for (int i = number + 1; options->is_timed && i <= check->newest; i++)
		if (find_version(check, i)->acknowledged_us <
			request->sent_us - late_us &&
		    is_in_touch(check, request->vm, request->sent_us)) {
			report(check, now_us, "CONFIG",
			    "%s %s: version %d in force though %d is known",
			    request->id, request->vm, number, i);
			return;
		}
}

/* The version's own route is not there: an older one must be in force. */
static void
check_missing_route(
    check_t *check, request_t *request, int number, int64_t now_us)
{
	const vm_state_t *vm = find_vm(check, request->vm);
	const check_options_t *options = &check->options;
	int64_t late_us = options->apply_us + options->slack_us;

	if (number != check->newest)
		return; /* a newer version may be in force */
	if (vm->seen_version >= number &&
	    request->sent_us > vm->seen_us + options->rollback_us)
		report(check, now_us, "CONFIG",
		    "%s %s: version %d is in force no more", request->id,
		    request->vm, number);
	else if (options->is_timed &&
		 find_version(check, number)->acknowledged_us <
		     request->sent_us - late_us &&
		 is_in_touch(check, request->vm, request->sent_us))
		report(check, now_us, "CONFIG",
		    "%s %s: version %d is not in force in time", request->id,
		    request->vm, number);
}

static bool
is_promise(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

static void
check_refused(check_t *check, const request_t *request, int64_t now_us)
{
	if (request->is_refused && request->runs > 0)
		report(check, now_us, "REFUSED",
		    "%s %s: said not to have run, and ran %d times",
		    request->id, request->vm, request->runs);
}

static void
end_request(request_t *request, int64_t now_us)
{
	request->is_ended = true;
	request->ended_us = now_us;
}

static void
take_answered(check_t *check, request_t *request, const history_event_t *event)
{
	int status = atoi(event->words[2]);
	int number = get_route_version(request);

	end_request(request, event->time_us);
	if (status == 200) {
		check->totals.served++;
		check->final_served += request->is_final ? 1 : 0;
	}
	if (number > 0 && status == 200)
		check_older_served(check, request, number, event->time_us);
	else if (number > 0 && status == 404) {
		check_missing_route(check, request, number, event->time_us);
		check->final_sent -= request->is_final ? 1 : 0;
	} else if (status >= 300 && status < 500 && !is_promise(status))
		report(check, event->time_us, "DENIED", "%s %s: status %d",
		    request->id, request->vm, status);
	if (is_promise(status)) {
		request->is_refused = true;
		check_refused(check, request, event->time_us);
	}
}

/*
 * A VM without trouble that has read a request answers it. One that was closed
 * as the request crossed it, and has not passed it on, is no loss.
 */
static void
take_cut(check_t *check, request_t *request, const history_event_t *event)
{
	int64_t age_us = event->time_us - request->sent_us;

	end_request(request, event->time_us);
	if (!check->options.is_timed)
		return;
	if (!is_calm(check, request->vm,
		request->sent_us - check->options.stable_us))
		return;
	if (request->has_arrived ||
	    age_us > check->options.loss_us + check->options.slack_us)
		report(check, event->time_us, "LOST",
		    "%s %s: the connection ended without an answer",
		    request->id, request->vm);
}

static void
take_caller_event(
    check_t *check, const history_event_t *event, const char *name)
{
	request_t *request =
	    g_hash_table_lookup(check->requests, event->words[0]);

	if (request == NULL)
		return; /* a caller's own request precedes its events */
	if (strcmp(name, "answered") == 0)
		take_answered(check, request, event);
	else if (strcmp(name, "cut") == 0)
		take_cut(check, request, event);
	else if (strcmp(name, "left") == 0) {
		end_request(request, event->time_us);
		request->left_us = event->time_us;
	} else
		report(check, event->time_us, "MIXED", "%s %s: %s", request->id,
		    request->vm, event->words[2]);
}

/* ---- Leafs ---- */

static void
note_arrival(check_t *check, request_t *request, const history_event_t *event)
{
	const char *service = event->words[1];
	service_counts_t *counts = find_service(check, service);

	request->has_arrived = true;
	if (g_hash_table_contains(request->parts, service)) {
		g_array_append_val(counts->extra_us, event->time_us);
		return;
	}
	find_part(request, service);
}

static void
check_drained(
    check_t *check, const request_t *request, const history_event_t *event)
{
	const int64_t *since_us =
	    g_hash_table_lookup(check->drained, event->words[2]);
	const check_options_t *options = &check->options;

	if (since_us == NULL || !options->is_timed ||
	    event->time_us <= *since_us + options->drain_us + options->slack_us)
		return;
	if (is_in_touch(check, request->vm, event->time_us) &&
	    is_calm(
		check, event->words[2], event->time_us - options->stable_us) &&
	    is_calm(check, "store", *since_us - options->stable_us))
		report(check, event->time_us, "DRAIN",
		    "%s %s: reached %s %.1f s after its drain", request->id,
		    request->vm, event->words[2],
		    (double)(event->time_us - *since_us) / 1e6);
}

static leaf_word_t *
find_word(check_t *check, const request_t *request, const char *leaf)
{
	char key[2 * NAME_BYTES];

	snprintf(key, sizeof(key), "%s %s", request->vm, leaf);
	return find_or_add(check->words, key, sizeof(leaf_word_t));
}

/* A VM keeps these also while it is not in touch with the store. */
static void
check_word(
    check_t *check, const request_t *request, const history_event_t *event)
{
	leaf_word_t *word = find_word(check, request, event->words[2]);
	const check_options_t *options = &check->options;
	int64_t slack_us = options->slack_us;

	if (!options->is_timed)
		return;
	if (word->leaving_us != 0 &&
	    request->sent_us >
		word->leaving_us + options->drain_us + slack_us &&
	    is_calm(check, request->vm, word->leaving_us))
		report(check, event->time_us, "DRAIN",
		    "%s %s: reached %s that had said that it leaves",
		    request->id, request->vm, event->words[2]);
	if (word->asked_us != 0 &&
	    event->time_us > word->asked_us + ASKED_SLACK_US + slack_us &&
	    event->time_us < word->asked_us + ASKED_US &&
	    is_calm(check, request->vm, word->asked_us) &&
	    ++word->unwanted == ASKED_FEW + 1)
		report(check, event->time_us, "BUDGET",
		    "%s %s: %s had asked for time", request->id, request->vm,
		    event->words[2]);
}

static void
take_word(check_t *check, const request_t *request,
    const history_event_t *event, bool is_leaving)
{
	leaf_word_t *word = find_word(check, request, event->words[2]);

	if (!is_leaving) {
		word->asked_us = event->time_us;
		word->unwanted = 0;
	} else if (word->leaving_us == 0)
		word->leaving_us = event->time_us;
}

static void
take_arrived(check_t *check, request_t *request, const history_event_t *event)
{
	const check_options_t *options = &check->options;

	note_arrival(check, request, event);
	check_drained(check, request, event);
	check_word(check, request, event);
	if (options->is_timed && request->left_us != INT64_MAX &&
	    event->time_us >
		request->left_us + options->gone_us + options->slack_us &&
	    is_calm(
		check, request->vm, request->sent_us - options->stable_us) &&
	    /* A leaf that stands still reads later what has reached it. */
	    is_calm(check, event->words[2],
		request->sent_us - options->stable_us) &&
	    ++check->late_arrivals == FEW + 1)
		report(check, event->time_us, "GONE",
		    "%s %s: more than %d requests for callers that left",
		    request->id, request->vm, FEW);
}

static void
check_attempts(check_t *check, request_t *request, const history_event_t *event)
{
	part_runs_t *part = find_part(request, event->words[1]);
	int sound = 0;

	for (int i = 0; i < part->count; i++)
		if (strcmp(part->leafs[i], event->words[2]) == 0)
			return;
	if (part->count == LEAFS_A_PART)
		return;
	g_strlcpy(part->leafs[part->count++], event->words[2], NAME_BYTES);
	for (int i = 0; i < part->count; i++)
		if (is_calm(check, part->leafs[i],
			request->sent_us - check->options.stable_us))
			sound++;
	if (sound > check->options.attempts &&
	    ++check->wide_attempts == FEW + 1)
		report(check, event->time_us, "BUDGET",
		    "%s %s: more than %d requests ran on more than %d leafs",
		    request->id, request->vm, FEW, check->options.attempts);
}

static void
take_ran(check_t *check, request_t *request, const history_event_t *event)
{
	request->runs++;
	if (request->runs > 1 && strcmp(request->route, "once") == 0)
		report(check, event->time_us, "TWICE", "%s %s: ran again at %s",
		    request->id, request->vm, event->words[2]);
	check_refused(check, request, event->time_us);
	check_attempts(check, request, event);
}

static void
take_leaf_event(check_t *check, const history_event_t *event, const char *name)
{
	request_t *request =
	    g_hash_table_lookup(check->requests, event->words[0]);

	if (request == NULL)
		report(check, event->time_us, "UNASKED",
		    "%s reached %s and no caller sent it", event->words[0],
		    event->words[2]);
	else if (strcmp(name, "arrived") == 0)
		take_arrived(check, request, event);
	else if (strcmp(name, "leaves") == 0 || strcmp(name, "asks") == 0)
		take_word(check, request, event, strcmp(name, "leaves") == 0);
	else
		take_ran(check, request, event);
}

/* ---- Budget ---- */

static int
count_between(const GArray *times_us, int64_t from_us, int64_t until_us)
{
	int count = 0;

	for (guint i = times_us->len; i > 0; i--) {
		int64_t time_us = g_array_index(times_us, int64_t, i - 1);

		if (time_us >= from_us && time_us < until_us)
			count++;
	}
	return count;
}

/* Requests of the window, the one before it, or half a window before. */
static int
count_asked(const service_counts_t *service, int64_t from_us, int64_t window_us)
{
	int most = 0;

	for (int i = 0; i <= 2; i++) {
		int64_t begin_us = from_us - i * window_us / 2;

		most = MAX(most, count_between(service->asked_us, begin_us,
				     begin_us + window_us));
	}
	return most;
}

static void
check_budgets(check_t *check, int64_t now_us)
{
	const check_options_t *options = &check->options;
	int64_t from_us = now_us - options->window_us;
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, check->services);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		service_counts_t *service = value;
		int extra = count_between(service->extra_us, from_us, now_us);
		int asked = count_asked(service, from_us, options->window_us);
		double most = options->ratio * asked + options->allowance;

		if (extra <= most || service->reported++ > 0)
			continue;
		report(check, now_us, "BUDGET",
		    "%s: %d arrivals beyond the first, for %d requests",
		    (const char *)key, extra, asked);
	}
}

/* ---- All else ---- */

static void
change_calm(check_t *check, const history_event_t *event, int change)
{
	calm_t *calm = find_calm(check, event->words[0]);

	calm->troubles = MAX(calm->troubles + change, 0);
	calm->until_us = event->time_us;
}

static void
take_drained(check_t *check, const history_event_t *event)
{
	int64_t *since_us =
	    find_or_add(check->drained, event->words[0], sizeof(int64_t));

	if (*since_us == 0)
		*since_us = event->time_us;
}

/* A VM that can run ends before it is killed. */
static void
take_overran(check_t *check, const history_event_t *event)
{
	if (check->options.is_timed &&
	    is_calm(check, event->words[0],
		event->time_us - check->options.stable_us))
		report(check, event->time_us, "LOST",
		    "%s: still ran when its time to stop was over",
		    event->words[0]);
}

static void
take_other(check_t *check, const history_event_t *event, const char *name)
{
	const char *first = event->count > 0 ? event->words[0] : "";

	if (strcmp(name, "trouble") == 0)
		change_calm(check, event, 1);
	else if (strcmp(name, "calm") == 0)
		change_calm(check, event, -1);
	else if (strcmp(name, "asked") == 0) {
		check->newest = MAX(check->newest, atoi(first));
		find_version(check, atoi(first))->asked_us = event->time_us;
	} else if (strcmp(name, "config") == 0)
		find_version(check, atoi(first))->acknowledged_us =
		    event->time_us;
	else if (strcmp(name, "targets") == 0)
		g_hash_table_insert(check->targets, g_strdup(first),
		    g_strsplit(event->words[1], ",", -1));
	else if (strcmp(name, "drained") == 0)
		take_drained(check, event);
	else if (strcmp(name, "started") == 0)
		*find_vm(check, first) = (vm_state_t){ 0 };
	else if (strcmp(name, "crashed") == 0)
		report(check, event->time_us, "CRASH", "%s: %s", first,
		    event->count > 1 ? event->words[1] : "");
	else if (strcmp(name, "overran") == 0)
		take_overran(check, event);
	else if (strcmp(name, "final") == 0)
		check->is_final = true;
	else
		report(
		    check, event->time_us, "HISTORY", "unknown event %s", name);
}

/* Requests that have waited too long for any answer. */
static void
check_held(check_t *check, int64_t now_us)
{
	const check_options_t *options = &check->options;
	int64_t most_us =
	    options->patience_us + options->held_us + options->slack_us;
	request_t *request;

	while ((request = g_queue_peek_head(&check->open)) != NULL) {
		if (!request->is_ended && now_us - request->sent_us <= most_us)
			return;
		g_queue_pop_head(&check->open);
		if (!request->is_ended && options->is_timed &&
		    is_calm(check, request->vm,
			request->sent_us - options->stable_us))
			report(check, now_us, "HELD", "%s %s: no answer",
			    request->id, request->vm);
	}
}

static void
take_event(check_t *check, const history_event_t *event)
{
	const char *name = event->words[0];
	history_event_t rest = *event;

	check->last_us = event->time_us;
	check_held(check, event->time_us);
	if (event->time_us >= check->budget_due_us) {
		check->budget_due_us = event->time_us + BUDGET_CHECK_US;
		check_budgets(check, event->time_us);
	}
	rest.count--;
	for (int i = 0; i < rest.count; i++)
		rest.words[i] = event->words[i + 1];
	if (strcmp(name, "sent") == 0 && rest.count == 3)
		take_sent(check, &rest);
	else if (rest.count == 3 &&
		 (strcmp(name, "arrived") == 0 || strcmp(name, "ran") == 0 ||
		     strcmp(name, "leaves") == 0 || strcmp(name, "asks") == 0))
		take_leaf_event(check, &rest, name);
	else if (strcmp(name, "answered") == 0 || strcmp(name, "cut") == 0 ||
		 strcmp(name, "left") == 0 || strcmp(name, "wrong") == 0)
		take_caller_event(check, &rest, name);
	else
		take_other(check, &rest, name);
}

/* The last word holds the rest of the line. */
static void
split_words(history_event_t *event, char *text)
{
	while (*text != '\0' && event->count < WORDS_MOST) {
		event->words[event->count++] = text;
		if (event->count == WORDS_MOST - 1)
			break;
		text += strcspn(text, " ");
		if (*text == ' ')
			*text++ = '\0';
	}
	for (int i = event->count; i < WORDS_MOST; i++)
		event->words[i] = "";
}

void
check_add(check_t *check, const char *line)
{
	history_event_t event = { .order = check->order++ };
	char *end;

	event.time_us = strtoll(line, &end, 10);
	event.text = g_strdup(*end == ' ' ? end + 1 : end);
	split_words(&event, event.text);
	if (event.count == 0)
		event.words[0] = "";
	g_array_append_val(check->pending, event);
}

static int
compare_events(const void *left, const void *right)
{
	const history_event_t *one = left, *other = right;

	if (one->time_us != other->time_us)
		return one->time_us < other->time_us ? -1 : 1;
	return one->order < other->order ? -1 : 1;
}

void
check_run(check_t *check, int64_t until_us)
{
	guint count = 0;

	g_array_sort(check->pending, compare_events);
	while (count < check->pending->len &&
	       g_array_index(check->pending, history_event_t, count).time_us <
		   until_us)
		take_event(check,
		    &g_array_index(check->pending, history_event_t, count++));
	if (count > 0)
		g_array_remove_range(check->pending, 0, count);
}

void
check_finish(check_t *check)
{
	const check_options_t *options = &check->options;

	check_run(check, INT64_MAX);
	if (check->final_sent > SERVED_COUNT &&
	    check->final_served < options->served_least * check->final_sent)
		report(check, check->last_us, "RECOVER",
		    "%d of %d requests served after the last fault",
		    check->final_served, check->final_sent);
}
