/**
 * @file ledger.c
 * At-most-once claims stored in the platform, with group commit.
 *
 * The hash of an idempotency key selects one of LEDGER_OBJECTS objects. An
 * object holds a JSON map of claims and changes by conditional update only; one
 * update writes all pending claims and outcomes of the object. A claim names
 * its writer and a nonce, by which a writer whose reply was lost recognises its
 * own claim when it reads the object again. Claims are never taken over.
 *
 * A not_run outcome is final for that try and all earlier ones, which may still
 * be in flight; only a later try may claim the key again.
 *
 * Claims are pruned by age. The object keeps the newest issue time among the
 * pruned claims and refuses orders that were not issued later, whatever their
 * retention.
 */
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>

#include "plantainarch.h"

#define LEDGER_OBJECTS	  64
#define BATCH_DELAY_US	  3000
#define BACKOFF_MIN_US	  50000
#define BACKOFF_MAX_US	  2000000
#define RECORD_TIMEOUT_US 600000000
#define CLOCK_SKEW_US	  300000000
#define OBJECT_BYTES_MAX  900000
#define ANSWER_BYTES_MAX  2048

typedef enum change_kind {
	CHANGE_CLAIM,
	CHANGE_DONE,
	CHANGE_NOT_RUN
} change_kind_t;

typedef struct change {
	TAILQ_ENTRY(change) link;
	change_kind_t kind;
	uint64_t request;
	char key[KEY_BYTES];
	char nonce[24];
	int try_number;
	uint64_t body_hash;
	int64_t issued_us, expires_us;
	int64_t added_us, deadline_us;
	bool is_applied;  /* part of the update in flight */
	bool is_internal; /* the ledger's own release: no callback */
	char *answer;
} change_t;

TAILQ_HEAD(change_list, change);

typedef enum object_state {
	OBJECT_IDLE,
	OBJECT_READING,
	OBJECT_WRITING
} object_state_t;

typedef struct object {
	char name[NAME_BYTES];
	object_state_t state;
	uint64_t version;
	json_t *claims; /* NULL: not cached, read the object first */
	int64_t newest_pruned_us;
	int64_t cache_as_of_us; /* start of the read or update that filled the
				   cache */
	int64_t call_started_us;
	int64_t next_call_us;
	int64_t backoff_us;
	size_t body_bytes; /* size of the last body read or written */
	struct change_list changes;
} object_t;

struct ledger {
	char writer[NAME_BYTES];
	ledger_callbacks_t callbacks;
	gsl_rng *random;
	object_t objects[LEDGER_OBJECTS];
	int64_t wall_offset_us; /* wall clock less monotonic clock */
	int pending_count;
	GHashTable *granted_nonces; /* key -> nonce of this VM's claim without
				       an outcome */
};

static object_t *find_object(ledger_t *ledger, const char *key);
static object_t *find_object_by_name(ledger_t *ledger, const char *name);
static change_t *add_change(ledger_t *ledger, object_t *object,
    change_kind_t kind, int64_t now_us, uint64_t request, const char *key);
static void remove_change(ledger_t *ledger, object_t *object, change_t *change);
static void start_next_call(ledger_t *ledger, object_t *object, int64_t now_us);
static bool apply_changes(ledger_t *ledger, object_t *object, int64_t now_us);
static bool apply_claim(
    ledger_t *ledger, object_t *object, change_t *change, bool *needs_read);
static bool apply_outcome(ledger_t *ledger, object_t *object, change_t *change);
static void expire_changes(ledger_t *ledger, object_t *object, int64_t now_us);
static void release_claim(
    ledger_t *ledger, object_t *object, const change_t *claim, int64_t now_us);
static void prune_expired_claims(
    ledger_t *ledger, object_t *object, int64_t now_us);
static void clear_cache(object_t *object);
static void schedule_retry(ledger_t *ledger, object_t *object, int64_t now_us);
static void grant_claim(ledger_t *ledger, const change_t *change);
static void complete_applied_changes(ledger_t *ledger, object_t *object);
static char *format_object(const object_t *object, size_t *length);
static bool parse_object(object_t *object, const char *body, size_t length);

ledger_t *
ledger_create(
    const char *writer, uint64_t seed, const ledger_callbacks_t *callbacks)
{
	ledger_t *ledger = g_new0(ledger_t, 1);

	g_strlcpy(ledger->writer, writer, sizeof(ledger->writer));
	ledger->callbacks = *callbacks;
	ledger->random = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(ledger->random, (unsigned long)seed);
	ledger->granted_nonces =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (int i = 0; i < LEDGER_OBJECTS; i++) {
		snprintf(ledger->objects[i].name, NAME_BYTES, "ledger/%02d", i);
		TAILQ_INIT(&ledger->objects[i].changes);
	}
	return ledger;
}

void
ledger_destroy(ledger_t *ledger)
{
	for (int i = 0; i < LEDGER_OBJECTS; i++) {
		object_t *object = &ledger->objects[i];

		change_t *change, *next;

		for (change = TAILQ_FIRST(&object->changes); change != NULL;
		     change = next) {
			next = TAILQ_NEXT(change, link);
			remove_change(ledger, object, change);
		}
		clear_cache(object);
	}
	g_hash_table_destroy(ledger->granted_nonces);
	gsl_rng_free(ledger->random);
	g_free(ledger);
}

void
ledger_claim(
    ledger_t *ledger, int64_t now_us, int64_t wall_us, const claim_t *claim)
{
	object_t *object = find_object(ledger, claim->key);
	change_t *change;

	ledger->wall_offset_us = wall_us - now_us;
	if (claim->issued_us + claim->retention_us < wall_us) {
		ledger->callbacks.claimed(ledger->callbacks.context,
		    claim->request, CLAIM_EXPIRED, "", 0);
		return;
	}
	change = add_change(
	    ledger, object, CHANGE_CLAIM, now_us, claim->request, claim->key);
	change->try_number = claim->try_number;
	change->body_hash = claim->body_hash;
	change->issued_us = claim->issued_us;
	change->expires_us =
	    claim->issued_us + claim->retention_us + CLOCK_SKEW_US;
	change->deadline_us = now_us + claim->timeout_us;
	snprintf(change->nonce, sizeof(change->nonce), "%08lx%08lx",
	    gsl_rng_get(ledger->random), gsl_rng_get(ledger->random));
	start_next_call(ledger, object, now_us);
}

void
ledger_record(ledger_t *ledger, int64_t now_us, uint64_t request,
    const char *key, bool has_run, const char *body, size_t length)
{
	object_t *object = find_object(ledger, key);
	const char *nonce = g_hash_table_lookup(ledger->granted_nonces, key);
	change_t *change = add_change(ledger, object,
	    has_run ? CHANGE_DONE : CHANGE_NOT_RUN, now_us, request, key);

	change->deadline_us = now_us + RECORD_TIMEOUT_US;
	g_strlcpy(
	    change->nonce, nonce != NULL ? nonce : "", sizeof(change->nonce));
	g_hash_table_remove(ledger->granted_nonces, key);
	change->answer = length <= ANSWER_BYTES_MAX ? g_strndup(body, length)
						    : g_strdup("null");
	start_next_call(ledger, object, now_us);
}

void
ledger_reply_get(ledger_t *ledger, int64_t now_us, const char *name,
    reply_status_t status, uint64_t version, const char *body, size_t length)
{
	object_t *object = find_object_by_name(ledger, name);

	if (object == NULL || object->state != OBJECT_READING)
		return;
	object->state = OBJECT_IDLE;
	if (status == REPLY_OK && parse_object(object, body, length)) {
		object->version = version;
	} else if (status == REPLY_NOT_FOUND) {
		object->claims = json_object();
		object->version = 0;
		object->newest_pruned_us = 0;
	} else {
		schedule_retry(ledger, object, now_us);
		return;
	}
	object->cache_as_of_us = object->call_started_us;
	object->backoff_us = 0;
	start_next_call(ledger, object, now_us);
}

void
ledger_reply_put(ledger_t *ledger, int64_t now_us, const char *name,
    reply_status_t status, uint64_t version)
{
	object_t *object = find_object_by_name(ledger, name);
	change_t *change;

	if (object == NULL || object->state != OBJECT_WRITING)
		return;
	object->state = OBJECT_IDLE;
	if (status == REPLY_OK) {
		object->version = version;
		object->cache_as_of_us = object->call_started_us;
		object->backoff_us = 0;
		complete_applied_changes(ledger, object);
		start_next_call(ledger, object, now_us);
		return;
	}
	if (status == REPLY_CONFLICT)
		metric_add(METRIC_PLATFORM_WRITE_CONFLICTS, 1);
	/* The update may have taken effect: read the object again and compare
	 * the nonces. */
	clear_cache(object);
	TAILQ_FOREACH (change, &object->changes, link) {
		change->is_applied = false;
	}
	if (status == REPLY_CONFLICT)
		start_next_call(ledger, object, now_us);
	else
		schedule_retry(ledger, object, now_us);
}

void
ledger_tick(ledger_t *ledger, int64_t now_us)
{
	for (int i = 0; i < LEDGER_OBJECTS; i++) {
		object_t *object = &ledger->objects[i];

		if (TAILQ_EMPTY(&object->changes))
			continue;
		expire_changes(ledger, object, now_us);
		start_next_call(ledger, object, now_us);
	}
}

int64_t
ledger_get_next_timer(const ledger_t *ledger)
{
	int64_t next = INT64_MAX;

	for (int i = 0; i < LEDGER_OBJECTS; i++) {
		const object_t *object = &ledger->objects[i];
		const change_t *change;

		TAILQ_FOREACH (change, &object->changes, link) {
			next = MIN(next, change->deadline_us);
		}
		if (!TAILQ_EMPTY(&object->changes) &&
		    object->state == OBJECT_IDLE)
			next = MIN(next, object->next_call_us);
	}
	return next;
}

int
ledger_count_pending(const ledger_t *ledger)
{
	return ledger->pending_count;
}

static object_t *
find_object(ledger_t *ledger, const char *key)
{
	return &ledger->objects[hash_text(key) % LEDGER_OBJECTS];
}

static object_t *
find_object_by_name(ledger_t *ledger, const char *name)
{
	for (int i = 0; i < LEDGER_OBJECTS; i++)
		if (strcmp(ledger->objects[i].name, name) == 0)
			return &ledger->objects[i];
	return NULL;
}

static change_t *
add_change(ledger_t *ledger, object_t *object, change_kind_t kind,
    int64_t now_us, uint64_t request, const char *key)
{
	change_t *change = g_new0(change_t, 1);

	change->kind = kind;
	change->request = request;
	change->added_us = now_us;
	g_strlcpy(change->key, key, sizeof(change->key));
	if (TAILQ_EMPTY(&object->changes))
		object->next_call_us =
		    MAX(object->next_call_us, now_us + BATCH_DELAY_US);
	TAILQ_INSERT_TAIL(&object->changes, change, link);
	ledger->pending_count++;
	return change;
}

static void
remove_change(ledger_t *ledger, object_t *object, change_t *change)
{
	TAILQ_REMOVE(&object->changes, change, link);
	ledger->pending_count--;
	g_free(change->answer);
	g_free(change);
}

/* Reads or updates the object if changes are pending and no call is in flight.
 */
static void
start_next_call(ledger_t *ledger, object_t *object, int64_t now_us)
{
	char *body;
	size_t length;

	if (object->state != OBJECT_IDLE || TAILQ_EMPTY(&object->changes) ||
	    now_us < object->next_call_us)
		return;
	if (object->claims != NULL && !apply_changes(ledger, object, now_us)) {
		if (object->claims != NULL)
			return; /* all completed without an update */
	}
	object->call_started_us = now_us;
	if (object->claims == NULL) {
		object->state = OBJECT_READING;
		ledger->callbacks.get(ledger->callbacks.context, object->name);
		return;
	}
	body = format_object(object, &length);
	object->body_bytes = length;
	object->state = OBJECT_WRITING;
	ledger->callbacks.put(ledger->callbacks.context, object->name,
	    object->version, body, length);
	free(body);
}

/*
 * Returns true if the object must be written. If a claim needs a newer copy
 * than the cached one, drops the cached copy and returns false; the caller then
 * reads the object.
 */
static bool
apply_changes(ledger_t *ledger, object_t *object, int64_t now_us)
{
	change_t *change = TAILQ_FIRST(&object->changes);
	bool is_changed = false;
	bool needs_read = false;

	prune_expired_claims(ledger, object, now_us);
	while (change != NULL) {
		change_t *next = TAILQ_NEXT(change, link);

		if (change->kind == CHANGE_CLAIM)
			is_changed |=
			    apply_claim(ledger, object, change, &needs_read);
		else
			is_changed |= apply_outcome(ledger, object, change);
		change = next;
	}
	if (!needs_read)
		return is_changed;
	clear_cache(object);
	TAILQ_FOREACH (change, &object->changes, link) {
		change->is_applied = false;
	}
	return false;
}

/* A later try may claim the key if the stored claim ended as not_run. */
static bool
may_supersede(const json_t *claim, const char *state, const change_t *change)
{
	return strcmp(state, "not_run") == 0 &&
	       change->try_number >
		   json_integer_value(json_object_get(claim, "t"));
}

/* A key identifies one order; claims written by older versions have no hash. */
static bool
is_different_order(const json_t *claim, const change_t *change)
{
	uint64_t hash =
	    (uint64_t)json_integer_value(json_object_get(claim, "b"));

	return hash != 0 && change->body_hash != 0 && hash != change->body_hash;
}

static bool
apply_claim(
    ledger_t *ledger, object_t *object, change_t *change, bool *needs_read)
{
	json_t *claim = json_object_get(object->claims, change->key);
	const char *state = json_string_value(json_object_get(claim, "s"));
	const char *nonce = json_string_value(json_object_get(claim, "n"));
	const char *answer = json_string_value(json_object_get(claim, "a"));
	ledger_callbacks_t *callbacks = &ledger->callbacks;
	claim_status_t status = CLAIM_UNAVAILABLE;

	if (change->is_applied)
		return true;
	if (state == NULL && change->issued_us <= object->newest_pruned_us) {
		status = CLAIM_EXPIRED;
	} else if (object->body_bytes > OBJECT_BYTES_MAX) {
		status = CLAIM_UNAVAILABLE; /* full until claims are pruned */
	} else if (is_different_order(claim, change)) {
		status = CLAIM_OTHER_BODY;
	} else if (state == NULL || may_supersede(claim, state, change)) {
		json_object_set_new(object->claims, change->key,
		    json_pack("{s:s, s:s, s:i, s:I, s:I, s:s, s:I}", "w",
			ledger->writer, "n", change->nonce, "t",
			change->try_number, "i", (json_int_t)change->issued_us,
			"u", (json_int_t)change->expires_us, "s", "claimed",
			"b", (json_int_t)change->body_hash));
		change->is_applied = true;
		return true;
	} else if (strcmp(state, "not_run") == 0) {
		status = CLAIM_REFUSED;
	} else if (strcmp(state, "done") == 0) {
		status = CLAIM_DONE;
	} else if (nonce != NULL && strcmp(nonce, change->nonce) == 0) {
		grant_claim(
		    ledger, change); /* an update whose reply was lost */
		remove_change(ledger, object, change);
		return false;
	} else if (object->cache_as_of_us < change->added_us) {
		*needs_read = true;
		return false;
	} else {
		status = CLAIM_UNKNOWN;
	}
	if (!change->is_internal)
		callbacks->claimed(callbacks->context, change->request, status,
		    answer != NULL ? answer : "",
		    answer != NULL ? strlen(answer) : 0);
	remove_change(ledger, object, change);
	return false;
}

/* Writes the outcome into this VM's own claim; claims of other writers stay
 * unchanged. */
static bool
apply_outcome(ledger_t *ledger, object_t *object, change_t *change)
{
	json_t *claim = json_object_get(object->claims, change->key);
	const char *state = json_string_value(json_object_get(claim, "s"));
	const char *nonce = json_string_value(json_object_get(claim, "n"));
	const char *outcome = change->kind == CHANGE_DONE ? "done" : "not_run";

	if (change->is_applied)
		return true;
	if (state == NULL || nonce == NULL ||
	    strcmp(nonce, change->nonce) != 0 ||
	    strcmp(state, "claimed") != 0) {
		if (!change->is_internal)
			ledger->callbacks.recorded(
			    ledger->callbacks.context, change->request);
		remove_change(ledger, object, change);
		return false;
	}
	json_object_set_new(claim, "s", json_string(outcome));
	if (change->kind == CHANGE_DONE)
		json_object_set_new(claim, "a", json_string(change->answer));
	change->is_applied = true;
	return true;
}

static void
grant_claim(ledger_t *ledger, const change_t *change)
{
	g_hash_table_insert(ledger->granted_nonces, g_strdup(change->key),
	    g_strdup(change->nonce));
	ledger->callbacks.claimed(
	    ledger->callbacks.context, change->request, CLAIM_GRANTED, "", 0);
}

/* Reports the changes of a successful update to their requests. */
static void
complete_applied_changes(ledger_t *ledger, object_t *object)
{
	ledger_callbacks_t *callbacks = &ledger->callbacks;
	change_t *change = TAILQ_FIRST(&object->changes);

	while (change != NULL) {
		change_t *next = TAILQ_NEXT(change, link);

		if (change->is_applied) {
			if (change->kind != CHANGE_CLAIM &&
			    !change->is_internal)
				callbacks->recorded(
				    callbacks->context, change->request);
			else if (change->kind == CHANGE_CLAIM)
				grant_claim(ledger, change);
			remove_change(ledger, object, change);
		}
		change = next;
	}
}

/*
 * Abandons claims that are not completed by their deadline; the caller gets
 * not_run because nothing was sent. An internal change releases the claim in
 * case its update took effect after all.
 */
static void
expire_changes(ledger_t *ledger, object_t *object, int64_t now_us)
{
	change_t *change = TAILQ_FIRST(&object->changes);

	while (change != NULL) {
		change_t *next = TAILQ_NEXT(change, link);

		if (change->deadline_us <= now_us) {
			if (change->kind == CHANGE_CLAIM) {
				ledger->callbacks.claimed(
				    ledger->callbacks.context, change->request,
				    CLAIM_UNAVAILABLE, "", 0);
				release_claim(ledger, object, change, now_us);
			}
			remove_change(ledger, object, change);
		}
		change = next;
	}
}

/* Ends a claim of this VM as not_run, if the object contains it now or later.
 */
static void
release_claim(
    ledger_t *ledger, object_t *object, const change_t *claim, int64_t now_us)
{
	change_t *release = add_change(
	    ledger, object, CHANGE_NOT_RUN, now_us, claim->request, claim->key);

	release->deadline_us = now_us + RECORD_TIMEOUT_US;
	release->is_internal = true;
	g_strlcpy(release->nonce, claim->nonce, sizeof(release->nonce));
}

static void
prune_expired_claims(ledger_t *ledger, object_t *object, int64_t now_us)
{
	int64_t wall_us = now_us + ledger->wall_offset_us;
	const char *key;
	json_t *claim;
	void *next;

	json_object_foreach_safe(object->claims, next, key, claim)
	{
		int64_t expires_us =
		    json_integer_value(json_object_get(claim, "u"));
		int64_t issued_us =
		    json_integer_value(json_object_get(claim, "i"));

		if (expires_us >= wall_us)
			continue;
		object->newest_pruned_us =
		    MAX(object->newest_pruned_us, issued_us);
		json_object_del(object->claims, key);
	}
}

static void
clear_cache(object_t *object)
{
	json_decref(object->claims);
	object->claims = NULL;
}

static void
schedule_retry(ledger_t *ledger, object_t *object, int64_t now_us)
{
	double jitter = 0.5 + gsl_rng_uniform(ledger->random);

	object->backoff_us =
	    CLAMP(object->backoff_us * 2, BACKOFF_MIN_US, BACKOFF_MAX_US);
	object->next_call_us =
	    now_us + (int64_t)((double)object->backoff_us * jitter);
}

static char *
format_object(const object_t *object, size_t *length)
{
	json_t *root = json_pack("{s:I, s:O}", "forgotten_us",
	    (json_int_t)object->newest_pruned_us, "claims", object->claims);
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	*length = strlen(text);
	return text;
}

static bool
parse_object(object_t *object, const char *body, size_t length)
{
	json_t *root = json_loadb(body, length, 0, NULL);
	json_int_t newest_pruned_us;
	json_t *claims;

	if (root == NULL ||
	    json_unpack(root, "{s:I, s:o}", "forgotten_us", &newest_pruned_us,
		"claims", &claims) != 0 ||
	    !json_is_object(claims)) {
		json_decref(root);
		return false;
	}
	object->claims = json_incref(claims);
	object->body_bytes = length;
	object->newest_pruned_us = newest_pruned_us;
	json_decref(root);
	return true;
}
