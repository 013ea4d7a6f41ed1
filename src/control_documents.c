/**
 * @file control_documents.c
 * Fleet-wide documents: versions only increase, bodies are pulled from peers
 * that store them, and a few members watch the platform.
 */
#include <stdio.h>
#include <string.h>

#include "control_private.h"

#define UPDATE_ROUNDS		4
#define PULL_TIMEOUT_US		500000
#define SETTINGS_JOIN_WAIT_US	3000000
#define CONFIRMATION_MAX_AGE_US 10000000
#define WATCHERS_PER_REGION	2
#define WATCH_UNCONFIRMED_US	8000000
#define WATCH_STAGGER_US	1000000
#define WATCH_BACKOFF_MIN_US	200000
#define WATCH_BACKOFF_MAX_US	30000000

static bool should_watch(const control_t *control);

void
control_handle_watch(control_t *control, int64_t now_us, bool is_ok,
    uint64_t revision, const document_t *documents, int count)
{
	control->now_us = MAX(control->now_us, now_us);
	control->is_watch_pending = false;
	if (!is_ok) {
		control->next_watch_us =
		    control->now_us +
		    (int64_t)((double)control->watch_backoff_us *
			      (0.5 + gsl_rng_uniform(control->random)));
		control->watch_backoff_us =
		    MIN(2 * control->watch_backoff_us, WATCH_BACKOFF_MAX_US);
		return;
	}
	control->watch_backoff_us = WATCH_BACKOFF_MIN_US;
	control->confirmed_us = control->now_us;
	control->revision = MAX(control->revision, revision);
	for (int i = 0; i < count; i++)
		control_apply_document(control, now_us, &documents[i]);
	documents_tick_ready(control);
	documents_tick_watch(control);
}

/* Stores a document if it is newer than the one in force and parses. */
void
control_apply_document(
    control_t *control, int64_t now_us, const document_t *document)
{
	stored_document_t *stored =
	    documents_get(control, hash_text(document->name));
	error_info_t error = { 0 };
	char text[ERROR_BYTES + 2 * NAME_BYTES];
	fleet_t *parsed;

	if (document->version <=
	    MAX(stored->document.version, stored->rejected_version))
		return;
	parsed = fleet_create(
	    control->self.id, 0, document, 1, &control->self, 1, NULL, &error);
	if (parsed == NULL) {
		stored->rejected_version = document->version;
		snprintf(text, sizeof(text), "control: %.63s: %s",
		    document->name, error.text);
		control->callbacks.log(
		    control->callbacks.context, LOG_CONTROL_BAD_DOCUMENT, text);
		return;
	}
	fleet_release(parsed);
	g_free(stored->document.body);
	stored->document = *document;
	stored->document.body = g_strndup(document->body, document->length);
	if (strcmp(document->name, "settings") == 0 &&
	    control->settings_since_us == 0)
		control->settings_since_us = control->now_us;
	control->update_rounds = UPDATE_ROUNDS;
	snprintf(text, sizeof(text),
	    "control: %.63s version %" G_GUINT64_FORMAT " is in force",
	    document->name, document->version);
	control->callbacks.log(
	    control->callbacks.context, LOG_CONTROL_DOCUMENT, text);
	control->callbacks.changed(control->callbacks.context);
}

bool
control_is_ready(const control_t *control)
{
	return control->is_ready;
}

stored_document_t *
documents_get(control_t *control, uint64_t name_hash)
{
	stored_document_t *stored =
	    g_hash_table_lookup(control->documents, &name_hash);

	if (stored != NULL)
		return stored;
	stored = g_new0(stored_document_t, 1);
	stored->name_hash = name_hash;
	g_hash_table_insert(control->documents, &stored->name_hash, stored);
	return stored;
}

void
documents_free(void *context)
{
	stored_document_t *stored = context;

	g_free(stored->document.body);
	g_free(stored);
}

/* Pulls documents of which the sender has a newer version. */
void
documents_compare_versions(control_t *control, const gossip_message_t *message)
{
	gossip_message_t pull;

	gossip_begin(&pull, GOSSIP_PULL);
	for (guint i = 0; i < message->versions->len; i++) {
		const document_version_t *announced =
		    &g_array_index(message->versions, document_version_t, i);
		stored_document_t *stored =
		    documents_get(control, announced->name_hash);

		if (announced->version <=
		    MAX(stored->document.version, stored->rejected_version))
			continue;
		if (stored->requested_version >= announced->version &&
		    control->now_us - stored->requested_us < PULL_TIMEOUT_US)
			continue;
		stored->requested_version = announced->version;
		stored->requested_us = control->now_us;
		g_array_append_val(pull.requested, announced->name_hash);
	}
	if (pull.requested->len == 0 || message->reply_to[0] == '\0') {
		gossip_end(&pull);
		return;
	}
	g_strlcpy(pull.sender, control->self.id, sizeof(pull.sender));
	members_format_endpoint(&control->self, pull.reply_to);
	control_send_message(control, message->reply_to, &pull);
}

void
documents_answer_pull(control_t *control, const gossip_message_t *message)
{
	gossip_message_t push;

	gossip_begin(&push, GOSSIP_PUSH);
	g_strlcpy(push.sender, control->self.id, sizeof(push.sender));
	for (guint i = 0; i < message->requested->len; i++) {
		const stored_document_t *stored = documents_get(
		    control, g_array_index(message->requested, uint64_t, i));
		document_t copy = stored->document;

		if (copy.version == 0)
			continue;
		copy.body = g_strndup(copy.body, copy.length);
		g_array_append_val(push.documents, copy);
	}
	control_send_message(control, message->reply_to, &push);
}

void
documents_tick_watch(control_t *control)
{
	bool is_watcher = should_watch(control);
	char text[NAME_BYTES + 32];

	if (is_watcher != control->is_watching) {
		control->is_watching = is_watcher;
		snprintf(text, sizeof(text), "control: this VM %s the platform",
		    is_watcher ? "watches" : "no longer watches");
		control->callbacks.log(
		    control->callbacks.context, LOG_CONTROL_WATCHER, text);
	}
	if (!is_watcher || control->is_watch_pending ||
	    control->now_us < control->next_watch_us)
		return;
	control->is_watch_pending = true;
	control->callbacks.watch(control->callbacks.context, control->revision);
}

/*
 * A VM is ready once the platform has confirmed its settings, through its own
 * watch or another VM's. During a platform outage it becomes ready
 * SETTINGS_JOIN_WAIT_US after its first settings, with the highest version that
 * peers have sent by then.
 */
void
documents_tick_ready(control_t *control)
{
	bool is_confirmed =
	    control->confirmed_us > control->now_us - CONFIRMATION_MAX_AGE_US;

	if (control->is_ready || control->settings_since_us == 0)
		return;
	control->is_ready =
	    is_confirmed || control->now_us - control->settings_since_us >
				SETTINGS_JOIN_WAIT_US;
}

/* The first WATCHERS_PER_REGION members in rendezvous order watch. The others
 * start one after another, WATCH_STAGGER_US apart by position, once the
 * settings have been unconfirmed for WATCH_UNCONFIRMED_US. */
static bool
should_watch(const control_t *control)
{
	uint64_t own_score =
	    hash_pair(hash_text("watch"), hash_text(control->self.id));
	int64_t unconfirmed_us = control->confirmed_us == INT64_MIN
				     ? INT64_MAX / 2
				     : control->now_us - control->confirmed_us;
	GHashTableIter iterator;
	gpointer value;
	int position = 0;

	if (!control_is_ready(control))
		return true;
	g_hash_table_iter_init(&iterator, control->members);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const member_t *member =
		    &((const member_entry_t *)value)->member;

		if (member->state != MEMBER_ALIVE ||
		    strcmp(member->region, control->self.region) != 0)
			continue;
		if (hash_pair(hash_text("watch"), hash_text(member->id)) >
		    own_score)
			position++;
	}
	if (position < WATCHERS_PER_REGION)
		return true;
	return unconfirmed_us >
	       WATCH_UNCONFIRMED_US + position * WATCH_STAGGER_US;
}
