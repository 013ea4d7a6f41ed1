/**
 * @file control.c
 * Membership of the VMs and replication of fleet-wide documents.
 *
 * Members probe each other and gossip changes with incarnation numbers (the
 * SWIM protocol). The platform's VM list only adds members and marks them as
 * leaving. Every message carries document versions; a VM pulls the body of a
 * newer version and never goes back to an older one. Two members per region,
 * chosen by rendezvous hashing, watch the platform. Other members start to
 * watch if the settings have not been confirmed for some time.
 */
#include <stdio.h>
#include <string.h>

#include "control_private.h"

#define TICK_US			100000
#define LIST_READER_COUNT	9
#define MEMBERS_PER_MESSAGE_MAX 6
#define UPDATE_ROUNDS		4
#define UPDATE_FANOUT		3
#define WATCH_BACKOFF_MIN_US	200000
#define LIST_PERIOD_US		5000000
#define LEAVING_TTL_US		60000000
#define LEAVING_PER_MESSAGE_MAX 32

static int64_t get_list_interval(control_t *control);
static void send_pending_updates(control_t *control);
static void fill_message(control_t *control, gossip_message_t *message);
static void answer_join(control_t *control, const gossip_message_t *message);

control_t *
control_create(
    const member_t *self, uint64_t seed, const control_callbacks_t *callbacks)
{
	control_t *control = g_new0(control_t, 1);
	member_entry_t *entry;

	control->callbacks = *callbacks;
	control->self = *self;
	control->random = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(
	    control->random, (unsigned long)(seed ^ hash_text(self->id)));
	control->members =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	control->documents = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, documents_free);
	control->leaving =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	control->confirmed_us = INT64_MIN;
	control->watch_backoff_us = WATCH_BACKOFF_MIN_US;
	entry = g_new0(member_entry_t, 1);
	entry->member = *self;
	entry->sends_remaining = 12;
	g_hash_table_insert(control->members, entry->member.id, entry);
	return control;
}

void
control_set_seeds(control_t *control, const char *endpoints)
{
	g_strfreev(control->seeds);
	control->seeds = g_strsplit(endpoints, ",", -1);
}

void
control_destroy(control_t *control)
{
	g_strfreev(control->seeds);
	g_hash_table_destroy(control->members);
	g_hash_table_destroy(control->documents);
	g_hash_table_destroy(control->leaving);
	gsl_rng_free(control->random);
	g_free(control);
}

void
control_tick(control_t *control, int64_t now_us)
{
	control->now_us = MAX(control->now_us, now_us);
	if (control->now_us < control->next_tick_us)
		return;
	control->next_tick_us = control->now_us + TICK_US;
	members_tick(control);
	members_probe(control);
	send_pending_updates(control);
	documents_tick_watch(control);
	documents_tick_ready(control);
	if (!control->is_list_pending &&
	    control->now_us >= control->next_list_us) {
		control->is_list_pending = true;
		control->callbacks.list(control->callbacks.context);
	}
}

int64_t
control_get_next_timer(const control_t *control)
{
	return control->next_tick_us;
}

void
control_handle_message(
    control_t *control, int64_t now_us, const void *data, size_t length)
{
	gossip_message_t message;
	error_info_t error;
	member_entry_t *sender;

	control->now_us = MAX(control->now_us, now_us);
	if (!gossip_decode(&message, data, length, &error)) {
		metric_add(METRIC_PEER_REJECTED, 1);
		control->callbacks.log(control->callbacks.context,
		    LOG_CONTROL_REJECTED, error.text);
		gossip_end(&message);
		return;
	}
	for (guint i = 0; i < message.members->len; i++)
		members_merge(control,
		    &g_array_index(message.members, member_t, i), false);
	for (guint i = 0; i < message.leaving->len; i++)
		control_add_leaving(control, now_us,
		    g_array_index(message.leaving, uint64_t, i), false);
	sender = g_hash_table_lookup(control->members, message.sender);
	if (sender != NULL)
		sender->last_heard_us = control->now_us;
	if (message.confirmed_age_ms != GOSSIP_AGE_UNKNOWN)
		control->confirmed_us = MAX(control->confirmed_us,
		    control->now_us - (int64_t)message.confirmed_age_ms * 1000);
	for (guint i = 0; i < message.documents->len; i++)
		control_apply_document(control, now_us,
		    &g_array_index(message.documents, document_t, i));
	documents_compare_versions(control, &message);
	switch (message.type) {
	case GOSSIP_PING:
		control_send(control, message.reply_to, GOSSIP_ACK, "");
		break;
	case GOSSIP_PING_REQUEST: {
		gossip_message_t ping;

		gossip_begin(&ping, GOSSIP_PING);
		fill_message(control, &ping);
		g_strlcpy(
		    ping.reply_to, message.reply_to, sizeof(ping.reply_to));
		control_send_message(control, message.target, &ping);
		break;
	}
	case GOSSIP_PULL:
		documents_answer_pull(control, &message);
		break;
	case GOSSIP_JOIN:
		answer_join(control, &message);
		break;
	case GOSSIP_ACK:
	case GOSSIP_UPDATE:
	case GOSSIP_PUSH:
		break;
	}
	gossip_end(&message);
}

void
control_handle_list(control_t *control, int64_t now_us, bool is_ok,
    const member_t *members, int count)
{
	control->now_us = MAX(control->now_us, now_us);
	control->is_list_pending = false;
	control->next_list_us = control->now_us + get_list_interval(control);
	if (!is_ok)
		return;
	for (int i = 0; i < count; i++)
		if (strcmp(members[i].id, control->self.id) != 0)
			members_merge(control, &members[i], true);
	members_probe_listed(control, members, count);
}

/* Watchers read the list every LIST_PERIOD_US. The other VMs scale the interval
 * with the member count, which bounds the list reads of the whole fleet. */
static int64_t
get_list_interval(control_t *control)
{
	int64_t others =
	    g_hash_table_size(control->members) / LIST_READER_COUNT;
	int64_t interval_us = LIST_PERIOD_US;

	if (!control->is_watching)
		interval_us *= MAX(others, 1);
	return (int64_t)((double)interval_us *
			 (0.5 + gsl_rng_uniform(control->random)));
}

/*
 * A drain report is valid for LEAVING_TTL_US. After it expires, only a local
 * observation renews it: peers that still gossip the old report would otherwise
 * renew it indefinitely.
 */
void
control_add_leaving(control_t *control, int64_t now_us, uint64_t instance,
    bool is_observed_locally)
{
	const int64_t *expires_before =
	    g_hash_table_lookup(control->leaving, &instance);
	int64_t expires_us = now_us + LEAVING_TTL_US;

	if (expires_before != NULL &&
	    (*expires_before > now_us || !is_observed_locally))
		return;
	g_hash_table_insert(control->leaving,
	    g_memdup2(&instance, sizeof(instance)),
	    g_memdup2(&expires_us, sizeof(expires_us)));
	control->update_rounds = UPDATE_ROUNDS;
	control->callbacks.changed(control->callbacks.context);
}

void
control_begin_leaving(control_t *control, int64_t now_us)
{
	member_entry_t *self =
	    g_hash_table_lookup(control->members, control->self.id);

	control->now_us = MAX(control->now_us, now_us);
	members_set_state(control, self, MEMBER_LEAVING);
	control->self.state = MEMBER_LEAVING;
	control->update_rounds = UPDATE_ROUNDS;
	send_pending_updates(control);
}

int
control_get_members(const control_t *control, member_t *members, int max)
{
	GHashTableIter iterator;
	gpointer value;
	int count = 0;

	g_hash_table_iter_init(&iterator, control->members);
	while (count < max && g_hash_table_iter_next(&iterator, NULL, &value))
		members[count++] = ((const member_entry_t *)value)->member;
	return count;
}

static int
compare_members(const void *left, const void *right)
{
	return strcmp(
	    ((const member_t *)left)->id, ((const member_t *)right)->id);
}

fleet_t *
control_create_fleet(control_t *control, error_info_t *error)
{
	guint document_count = g_hash_table_size(control->documents);
	document_t *documents = g_new0(document_t, document_count + 1);
	member_t *members =
	    g_new0(member_t, g_hash_table_size(control->members) + 1);
	int member_count = 0, count = 0;
	GHashTable *leaving = g_hash_table_new(g_int64_hash, g_int64_equal);
	GHashTableIter iterator;
	gpointer key, value;
	fleet_t *fleet;

	g_hash_table_iter_init(&iterator, control->leaving);
	while (g_hash_table_iter_next(&iterator, &key, &value))
		if (*(int64_t *)value > control->now_us)
			g_hash_table_add(leaving, key);
	g_hash_table_iter_init(&iterator, control->members);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		if (((member_entry_t *)value)->member.state != MEMBER_DEAD)
			members[member_count++] =
			    ((member_entry_t *)value)->member;
	qsort(members, (size_t)member_count, sizeof(*members), compare_members);
	g_hash_table_iter_init(&iterator, control->documents);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		if (((stored_document_t *)value)->document.version > 0)
			documents[count++] =
			    ((stored_document_t *)value)->document;
	fleet = fleet_create(control->self.id, ++control->generation, documents,
	    count, members, member_count, leaving, error);
	g_hash_table_destroy(leaving);
	g_free(documents);
	g_free(members);
	return fleet;
}

char *
control_format_status(const control_t *control, int64_t now_us)
{
	static const char *const states[] = { "alive", "suspect", "leaving",
		"dead" };
	GString *text = g_string_new("{\"members\":[");
	GHashTableIter iterator;
	gpointer value;
	bool is_first = true;

	g_hash_table_iter_init(&iterator, control->members);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const member_t *member =
		    &((const member_entry_t *)value)->member;

		g_string_append_printf(text,
		    "%s{\"id\":\"%s\",\"zone\":\"%s\",\"region\":\"%s\","
		    "\"state\":\"%s\",\"incarnation\":%" G_GUINT64_FORMAT "}",
		    is_first ? "" : ",", member->id, member->zone,
		    member->region, states[member->state], member->incarnation);
		is_first = false;
	}
	g_string_append(text, "],\"documents\":{");
	is_first = true;
	g_hash_table_iter_init(&iterator, control->documents);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const stored_document_t *stored = value;

		if (stored->document.version == 0)
			continue;
		g_string_append_printf(text, "%s\"%s\":%" G_GUINT64_FORMAT,
		    is_first ? "" : ",", stored->document.name,
		    stored->document.version);
		is_first = false;
	}
	g_string_append_printf(text,
	    "},\"is_watcher\":%s,\"leaving_instances\":%u,",
	    control->is_watching ? "true" : "false",
	    g_hash_table_size(control->leaving));
	if (control->confirmed_us == INT64_MIN)
		g_string_append(text, "\"confirmed_ms_ago\":null}");
	else
		g_string_append_printf(text,
		    "\"confirmed_ms_ago\":%" G_GINT64_FORMAT "}",
		    (now_us - control->confirmed_us) / 1000);
	return g_string_free(text, FALSE);
}

/* Sends recent changes to random members, in addition to the probes. */
static void
send_pending_updates(control_t *control)
{
	char endpoint[ENDPOINT_BYTES];

	if (control->update_rounds <= 0)
		return;
	control->update_rounds--;
	for (int i = 0; i < UPDATE_FANOUT; i++) {
		member_entry_t *entry =
		    members_choose_random(control, MEMBER_LEAVING);

		if (entry == NULL)
			return;
		members_format_endpoint(&entry->member, endpoint);
		control_send(control, endpoint, GOSSIP_UPDATE, "");
	}
}

void
control_send(control_t *control, const char *endpoint, gossip_type_t type,
    const char *target)
{
	gossip_message_t message;

	gossip_begin(&message, type);
	fill_message(control, &message);
	g_strlcpy(message.target, target, sizeof(message.target));
	control_send_message(control, endpoint, &message);
}

/* Includes the member's state unless it is alive, so that it can refute it. */
void
control_send_ping(
    control_t *control, const char *endpoint, const member_entry_t *entry)
{
	gossip_message_t message;

	gossip_begin(&message, GOSSIP_PING);
	fill_message(control, &message);
	if (entry->member.state != MEMBER_ALIVE)
		g_array_append_val(message.members, entry->member);
	control_send_message(control, endpoint, &message);
}

/* Adds document versions, pending member changes and drain reports. */
static void
fill_message(control_t *control, gossip_message_t *message)
{
	int64_t age_ms = control->confirmed_us == INT64_MIN
			     ? GOSSIP_AGE_UNKNOWN
			     : (control->now_us - control->confirmed_us) / 1000;
	member_entry_t *self =
	    g_hash_table_lookup(control->members, control->self.id);
	GHashTableIter iterator;
	gpointer key, value;

	g_strlcpy(message->sender, control->self.id, sizeof(message->sender));
	members_format_endpoint(&control->self, message->reply_to);
	message->confirmed_age_ms =
	    (uint32_t)CLAMP(age_ms, 0, GOSSIP_AGE_UNKNOWN);
	g_hash_table_iter_init(&iterator, control->documents);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const stored_document_t *stored = value;
		document_version_t announced = { stored->name_hash,
			stored->document.version };

		if (announced.version > 0)
			g_array_append_val(message->versions, announced);
	}
	/* Own state first: the receiver may have marked this VM as dead. */
	if (self->sends_remaining > 0) {
		self->sends_remaining--;
		g_array_append_val(message->members, self->member);
	}
	g_hash_table_iter_init(&iterator, control->members);
	while (message->members->len < MEMBERS_PER_MESSAGE_MAX &&
	       g_hash_table_iter_next(&iterator, NULL, &value)) {
		member_entry_t *entry = value;

		if (entry->sends_remaining <= 0 || entry == self)
			continue;
		entry->sends_remaining--;
		g_array_append_val(message->members, entry->member);
	}
	g_hash_table_iter_init(&iterator, control->leaving);
	while (message->leaving->len < LEAVING_PER_MESSAGE_MAX &&
	       g_hash_table_iter_next(&iterator, &key, &value))
		if (*(int64_t *)value > control->now_us)
			g_array_append_vals(message->leaving, key, 1);
}

void
control_send_message(
    control_t *control, const char *endpoint, gossip_message_t *message)
{
	GByteArray *bytes = gossip_encode(message);

	control->callbacks.send(
	    control->callbacks.context, endpoint, bytes->data, bytes->len);
	g_byte_array_unref(bytes);
	gossip_end(message);
}

static void
answer_join(control_t *control, const gossip_message_t *message)
{
	gossip_message_t update;
	GHashTableIter iterator;
	gpointer value;

	gossip_begin(&update, GOSSIP_UPDATE);
	fill_message(control, &update);
	g_array_set_size(update.members, 0);
	g_hash_table_iter_init(&iterator, control->members);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		if (((member_entry_t *)value)->member.state != MEMBER_DEAD)
			g_array_append_val(
			    update.members, ((member_entry_t *)value)->member);
	control_send_message(control, message->reply_to, &update);
}
