/**
 * @file store_client.c
 * Client of the platform's store: the configuration, the leaves and the VMs.
 *
 * Each feed has its own connection. It lists once, then watches from the
 * revision of the list, and lists again when the store has compacted that
 * revision. The last state read stays in force while the store is unreachable.
 */
#include <string.h>

#include "tier_process.h"

#define ANSWER_HEAD_BYTES_MAX 16384
#define ANSWER_BODY_BYTES_MAX 8388608
#define WATCH_WAIT_MS	      30000   /* the store's maximum */
#define WATCH_SLACK_US	      2000000 /* overdue by more: it has failed */
#define CALL_TIMEOUT_US	      1500000 /* answers take milliseconds */
#define BACKOFF_MIN_US	      100000
#define WATCH_PROBE_DELAY_US  100000  /* time from sending a watch to a probe */
#define LOST_FEED_WAIT_US     5000000 /* unless a probe succeeds earlier */
#define BACKOFF_MAX_US	      800000  /* a recovered store is used within 1 s */
#define OUTAGE_VANISH_US      2500000 /* lost entries are restored by then */
#define VANISH_DRAIN_FRACTION 0.4     /* of drain_ms, without a recent outage */
#define RECENT_OUTAGE_US      3000000 /* an outage is recent for this long */
#define VM_POLL_US	      15000000
#define VM_POLL_INITIAL_US    2500000 /* all VMs start within 0.3 s */
#define VM_HEARTBEAT_US	      20000000
#define VM_EXPIRY_US	      50000000 /* two heartbeats and a poll */

/*
 * A watch returns at the first change, and each call has a cost. The next watch
 * is delayed by a fraction of the time in which a change must take effect,
 * which batches changes that come close together into one call.
 */
#define LEAVES_BATCH_FRACTION 0.5
#define CONFIG_BATCH_FRACTION 0.15
#define WATCH_PAGE_EVENTS     100  /* a full page: more may follow */
#define PUBLISH_DELAY_US      2000 /* batches changes that arrive together */

typedef enum feed_step {
	STEP_WAITING, /* until next_call_us */
	STEP_LISTING,
	STEP_WATCHING,
	STEP_PROBING, /* FEED_VMS: cheap read, to detect an outage */
	STEP_WRITING  /* FEED_VMS: writes or deletes this VM's entry */
} feed_step_t;

typedef struct feed_state {
	store_client_t *client;
	feed_t feed;
	feed_step_t step;
	stream_t *stream;
	http_message_t message;
	bool is_in_call, is_listed, is_lost;
	int64_t lost_us; /* time of the last failure */
	int64_t revision;
	int64_t next_call_us, sent_us, timeout_us, backoff_us;
	char last_name[KEY_BYTES];
	GHashTable *listed_names; /* names in the list in progress */
} feed_state_t;

typedef struct leaf_record {
	leaf_entry_t entry;
	int64_t vanished_us; /* 0: its entry exists */
	int64_t removal_us;  /* dropped from the directory then */
} leaf_record_t;

typedef struct vm_record {
	int64_t revision, changed_us;
} vm_record_t;

struct store_client {
	loop_t *loop;
	const protocol_t *protocol;
	tier_settings_t settings;
	store_client_callbacks_t callbacks;
	feed_state_t feeds[FEED_COUNT];
	route_table_t *table;
	GHashTable *leaves; /* id -> leaf_record_t */
	GHashTable *vms;    /* name -> vm_record_t */
	/* VMs in the last complete listing from the store, less expired ones */
	int vm_count;
	bool is_changed, are_vms_listed, is_deregistering;
	int64_t publish_due_us, next_removal_us, heartbeat_due_us, poll_due_us;
	int64_t heartbeat;    /* counter in this VM's entry; 0: no entry yet */
	int64_t probe_due_us; /* after a watch; INT64_MAX: none */
};

static void handle_received(void *context, const char *data, size_t length);
static void handle_closed(void *context, bool is_clean);
static int64_t run_timer(void *context);
static void begin_step(feed_state_t *feed, int64_t now_us);

static const stream_callbacks_t stream_callbacks = { NULL, handle_received,
	handle_closed };

static const char *const feed_names[FEED_COUNT] = { "configuration", "leafs",
	"vms" };

store_client_t *
store_client_create(loop_t *loop, const protocol_t *protocol,
    const tier_settings_t *settings, const store_client_callbacks_t *callbacks)
{
	store_client_t *client = g_new0(store_client_t, 1);
	int64_t now_us = clock_get_us();

	client->loop = loop;
	client->protocol = protocol;
	client->settings = *settings;
	client->callbacks = *callbacks;
	client->leaves =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	client->vms =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	client->next_removal_us = INT64_MAX;
	client->probe_due_us = INT64_MAX;
	for (int i = 0; i < FEED_COUNT; i++) {
		feed_state_t *feed = &client->feeds[i];

		feed->client = client;
		feed->feed = (feed_t)i;
		feed->listed_names = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL);
		http_message_begin(&feed->message, false, ANSWER_HEAD_BYTES_MAX,
		    ANSWER_BODY_BYTES_MAX);
		feed->next_call_us = now_us;
	}
	loop_add_timer(loop, run_timer, client);
	return client;
}

void
store_client_destroy(store_client_t *client)
{
	loop_remove_timer(client->loop, run_timer, client);
	for (int i = 0; i < FEED_COUNT; i++) {
		stream_destroy(client->feeds[i].stream);
		http_message_end(&client->feeds[i].message);
		g_hash_table_unref(client->feeds[i].listed_names);
	}
	route_table_release(client->table);
	g_hash_table_unref(client->leaves);
	g_hash_table_unref(client->vms);
	g_free(client);
}

static void
mark_changed(store_client_t *client)
{
	if (!client->is_changed)
		client->publish_due_us = clock_get_us() + PUBLISH_DELAY_US;
	client->is_changed = true;
	loop_wake(client->loop);
}

/* ---- Decoded objects ---- */

static void
handle_configuration(void *context, route_table_t *table)
{
	feed_state_t *feed = context;
	store_client_t *client = feed->client;

	if (client->table != NULL && table->version <= client->table->version) {
		if (table->version < client->table->version)
			log_fields(LOG_TIER_STALE,
			    "\"version\":%" G_GUINT64_FORMAT
			    ",\"in_force\":%" G_GUINT64_FORMAT,
			    table->version, client->table->version);
		route_table_release(table);
		return;
	}
	route_table_release(client->table);
	client->table = table;
	metric_set(METRIC_TIER_CONFIGURATION_VERSION, (int64_t)table->version);
	/* New services may have leaves that are not listed yet: watch now. */
	if (client->feeds[FEED_LEAVES].step == STEP_WAITING)
		client->feeds[FEED_LEAVES].next_call_us = 0;
	mark_changed(client);
}

static void
handle_leaf(void *context, const leaf_entry_t *entry)
{
	feed_state_t *feed = context;
	store_client_t *client = feed->client;
	leaf_record_t *record = g_hash_table_lookup(client->leaves, entry->id);

	if (feed->step == STEP_LISTING)
		g_hash_table_add(feed->listed_names, g_strdup(entry->id));
	if (record == NULL) {
		record = g_new0(leaf_record_t, 1);
		record->entry = *entry;
		g_hash_table_insert(client->leaves, record->entry.id, record);
	} else {
		record->entry = *entry;
		record->vanished_us = 0;
	}
	mark_changed(client);
}

static void
handle_vm(void *context, const char *name, int64_t revision)
{
	feed_state_t *feed = context;
	store_client_t *client = feed->client;
	vm_record_t *record = g_hash_table_lookup(client->vms, name);

	if (feed->step == STEP_LISTING)
		g_hash_table_add(feed->listed_names, g_strdup(name));
	if (record == NULL) {
		record = g_new0(vm_record_t, 1);
		g_hash_table_insert(client->vms, g_strdup(name), record);
	}
	if (record->revision == revision)
		return;
	record->revision = revision;
	record->changed_us = clock_get_us();
}

/*
 * How long a leaf stays usable as a last resort after its entry was removed.
 * An outage that this VM did not notice may have removed the entry, therefore
 * the time is never zero.
 */
static int64_t
get_vanish_grace_us(const store_client_t *client, int64_t now_us)
{
	const feed_state_t *feed = &client->feeds[FEED_LEAVES];

	if (feed->lost_us != 0 && now_us - feed->lost_us < RECENT_OUTAGE_US)
		return OUTAGE_VANISH_US;
	return (
	    int64_t)((double)client->settings.drain_us * VANISH_DRAIN_FRACTION);
}

static void
mark_leaf_vanished(store_client_t *client, leaf_record_t *record)
{
	if (record->vanished_us != 0)
		return;
	record->vanished_us = clock_get_us();
	record->removal_us = record->vanished_us +
			     get_vanish_grace_us(client, record->vanished_us);
	record->entry.is_entry_missing = true;
	client->next_removal_us =
	    MIN(client->next_removal_us, record->removal_us);
	mark_changed(client);
}

static void
handle_removal(void *context, feed_t feed_kind, const char *name)
{
	feed_state_t *feed = context;
	leaf_record_t *record;

	if (feed_kind != FEED_LEAVES)
		return;
	record = g_hash_table_lookup(feed->client->leaves, name);
	if (record != NULL)
		mark_leaf_vanished(feed->client, record);
}

/*
 * An invalid leaf entry removes the leaf. An invalid configuration is ignored:
 * the last valid one stays in force.
 */
static void
handle_rejected(
    void *context, feed_t feed_kind, const char *name, const char *why)
{
	feed_state_t *feed = context;
	char plain_name[KEY_BYTES], plain_why[KEY_BYTES];

	log_copy_plain(plain_name, sizeof(plain_name), name);
	log_copy_plain(plain_why, sizeof(plain_why), why);
	log_fields(LOG_TIER_BAD_OBJECT,
	    "\"feed\":\"%s\",\"name\":\"%s\",\"why\":\"%s\"",
	    feed_names[feed_kind], plain_name, plain_why);
	if (feed_kind == FEED_LEAVES &&
	    g_hash_table_remove(feed->client->leaves, name))
		mark_changed(feed->client);
}

static const feed_sink_t sink_callbacks = { NULL, handle_configuration,
	handle_leaf, handle_vm, handle_removal, handle_rejected };

static void
mark_unlisted_leaves_vanished(feed_state_t *feed)
{
	GHashTableIter iter;
	gpointer name, record;

	g_hash_table_iter_init(&iter, feed->client->leaves);
	while (g_hash_table_iter_next(&iter, &name, &record))
		if (!g_hash_table_contains(feed->listed_names, name))
			mark_leaf_vanished(feed->client, record);
}

static gboolean
is_vm_expired(gpointer name, gpointer value, gpointer context)
{
	const vm_record_t *record = value;
	feed_state_t *feed = context;

	return !g_hash_table_contains(feed->listed_names, name) ||
	       clock_get_us() - record->changed_us > VM_EXPIRY_US;
}

/* Only the number of VMs is used; most polls do not change it. */
static void
finish_vms(feed_state_t *feed)
{
	store_client_t *client = feed->client;
	int count;

	g_hash_table_foreach_remove(client->vms, is_vm_expired, feed);
	count = (int)g_hash_table_size(client->vms);
	if (!client->are_vms_listed || count != client->vm_count)
		mark_changed(client);
	client->are_vms_listed = true;
	client->poll_due_us = clock_get_us() + VM_POLL_US;
	client->vm_count = count;
	metric_set(METRIC_TIER_VMS, count);
}

static void
finish_list(feed_state_t *feed)
{
	store_client_t *client = feed->client;

	feed->is_listed = true;
	if (feed->feed == FEED_VMS) {
		finish_vms(feed);
		return;
	}
	if (feed->feed == FEED_LEAVES)
		mark_unlisted_leaves_vanished(feed);
	mark_changed(client);
}

/* ---- Calls ---- */

static void
schedule_call(feed_state_t *feed, int64_t now_us, int64_t delay_us)
{
	feed->step = STEP_WAITING;
	feed->is_in_call = false;
	feed->next_call_us = now_us + delay_us;
}

/* Probes whether the whole store is lost, at a tenth of the cost of a call. */
static void
probe_store(store_client_t *client, int64_t now_us)
{
	feed_state_t *vms = &client->feeds[FEED_VMS];

	if (!vms->is_lost && vms->step == STEP_WAITING)
		vms->next_call_us = MIN(vms->next_call_us, now_us);
}

/*
 * While probes fail too, the other feeds wait for a successful probe: each call
 * has a cost, even when it is rejected.
 */
static bool
is_waiting_for_store(const feed_state_t *feed, int64_t now_us)
{
	const feed_state_t *vms = &feed->client->feeds[FEED_VMS];

	return feed != vms && feed->is_lost && vms->is_lost &&
	       now_us - feed->lost_us < LOST_FEED_WAIT_US;
}

/* Closes the connection and schedules the next call after a backoff. */
static void
fail_call(feed_state_t *feed, const char *why)
{
	int64_t now_us = clock_get_us();
	char plain_why[KEY_BYTES]; /* a parser's error may quote stored text */

	log_copy_plain(plain_why, sizeof(plain_why), why);
	stream_destroy(feed->stream);
	feed->stream = NULL;
	http_message_reset(&feed->message);
	feed->backoff_us =
	    CLAMP(feed->backoff_us * 2, BACKOFF_MIN_US, BACKOFF_MAX_US);
	if (!feed->is_lost)
		log_fields(LOG_TIER_STORE_LOST,
		    "\"feed\":\"%s\",\"why\":\"%s\",\"revision\":"
		    "%" G_GINT64_FORMAT,
		    feed_names[feed->feed], plain_why, feed->revision);
	feed->is_lost = true;
	feed->lost_us = now_us;
	metric_add(METRIC_TIER_STORE_FAILURES, 1);
	schedule_call(feed, now_us, feed->backoff_us);
	probe_store(feed->client, now_us);
}

static void
send_call(feed_state_t *feed, const GString *call, int64_t timeout_us)
{
	store_client_t *client = feed->client;

	if (feed->stream == NULL)
		feed->stream = stream_connect(client->loop,
		    client->settings.platform, &stream_callbacks, feed);
	if (feed->stream == NULL) {
		fail_call(feed, "cannot connect");
		return;
	}
	feed->is_in_call = true;
	feed->sent_us = clock_get_us();
	feed->timeout_us = feed->sent_us + timeout_us;
	metric_add(METRIC_TIER_STORE_CALLS, 1);
	stream_write(feed->stream, call->str, call->len);
}

static void
send_list(feed_state_t *feed)
{
	GString *call = g_string_new(NULL);

	if (feed->step != STEP_LISTING) {
		feed->step = STEP_LISTING;
		feed->last_name[0] = '\0';
		g_hash_table_remove_all(feed->listed_names);
	}
	feed->client->protocol->write_list(call, feed->feed, feed->last_name);
	send_call(feed, call, CALL_TIMEOUT_US);
	g_string_free(call, TRUE);
}

static void
send_watch(feed_state_t *feed)
{
	GString *call = g_string_new(NULL);

	feed->step = STEP_WATCHING;
	feed->client->protocol->write_watch(
	    call, feed->feed, feed->revision, WATCH_WAIT_MS);
	send_call(feed, call, WATCH_WAIT_MS * 1000L + WATCH_SLACK_US);
	g_string_free(call, TRUE);
	/* A store that fails now could lose the watch without a sign. */
	feed->client->probe_due_us = feed->sent_us + WATCH_PROBE_DELAY_US;
}

/* Writes this VM's heartbeat, or deletes its entry during a stop. */
static void
send_heartbeat(feed_state_t *feed, int64_t now_us)
{
	store_client_t *client = feed->client;
	GString *call = g_string_new(NULL);

	feed->step = STEP_WRITING;
	client->heartbeat_due_us = now_us + VM_HEARTBEAT_US;
	if (client->is_deregistering)
		client->protocol->write_vm_deletion(call, client->settings.id);
	else
		client->protocol->write_vm_entry(call, client->settings.id,
		    client->settings.callers, client->heartbeat == 0,
		    client->heartbeat);
	send_call(feed, call, CALL_TIMEOUT_US);
	g_string_free(call, TRUE);
}

/*
 * A stale read, which costs a tenth of a call. It is sent once in each
 * apply_us, which detects any outage of that length.
 */
static void
send_probe(feed_state_t *feed)
{
	store_client_t *client = feed->client;
	GString *call = g_string_new(NULL);

	feed->step = STEP_PROBING;
	client->protocol->write_vm_read(call, client->settings.id);
	send_call(feed, call, CALL_TIMEOUT_US);
	g_string_free(call, TRUE);
}

static void
begin_step(feed_state_t *feed, int64_t now_us)
{
	store_client_t *client = feed->client;

	if (is_waiting_for_store(feed, now_us))
		feed->next_call_us = feed->lost_us + LOST_FEED_WAIT_US;
	else if (feed->feed == FEED_VMS) {
		client->probe_due_us = INT64_MAX;
		/*
		 * List the VMs first, also after a restart: all VMs share
		 * the retry budget and the leaves' connections.
		 */
		if (!client->are_vms_listed)
			send_list(feed);
		else if (now_us >= client->heartbeat_due_us)
			send_heartbeat(feed, now_us);
		else if (client->is_deregistering)
			feed->next_call_us = INT64_MAX; /* entry deleted */
		else if (feed->step == STEP_LISTING ||
			 now_us >= client->poll_due_us)
			send_list(feed);
		else
			send_probe(feed);
	} else if (feed->is_listed)
		send_watch(feed);
	else
		send_list(feed);
}

/*
 * Called when the store answers again. Feeds that waited for it continue. The
 * store may have lost watches sent during the outage, which would otherwise
 * show only at their timeout: they are sent again from the same revision.
 */
static void
resume_feeds(store_client_t *client, int64_t now_us)
{
	for (int i = 0; i < FEED_COUNT; i++) {
		feed_state_t *feed = &client->feeds[i];

		if (feed->is_lost && feed->step == STEP_WAITING)
			feed->next_call_us = now_us;
		if (!feed->is_in_call || feed->step != STEP_WATCHING)
			continue;
		stream_destroy(feed->stream);
		feed->stream = NULL;
		http_message_reset(&feed->message);
		schedule_call(feed, now_us, 0);
	}
	loop_wake(client->loop);
}

static void
record_success(feed_state_t *feed)
{
	feed->backoff_us = 0;
	if (!feed->is_lost)
		return;
	feed->is_lost = false;
	if (feed->feed == FEED_VMS)
		resume_feeds(feed->client, clock_get_us());
	log_fields(LOG_TIER_STORE_REGAINED,
	    "\"feed\":\"%s\",\"revision\":%" G_GINT64_FORMAT,
	    feed_names[feed->feed], feed->revision);
}

/* 409: the entry exists, send heartbeats; 404: it doesn't, create it. */
static void
handle_write_result(feed_state_t *feed, int status, int64_t now_us)
{
	store_client_t *client = feed->client;

	if (status == 409)
		client->heartbeat = MAX(client->heartbeat, 1);
	else if (status == 404)
		client->heartbeat = 0;
	else
		client->heartbeat++;
	if (status == 409 || status == 404)
		client->heartbeat_due_us = now_us + BACKOFF_MIN_US;
	/* Find the VMs that started together with this one. */
	if (client->heartbeat <= 1)
		client->poll_due_us = 0;
	schedule_call(
	    feed, now_us, client->heartbeat > 1 ? 0 : VM_POLL_INITIAL_US);
}

static int64_t
get_call_delay_us(const feed_state_t *feed)
{
	const tier_settings_t *settings = &feed->client->settings;

	switch (feed->feed) {
	case FEED_CONFIGURATION:
		return (int64_t)((double)settings->apply_us *
				 CONFIG_BATCH_FRACTION);
	case FEED_LEAVES:
		return (int64_t)((double)settings->drain_us *
				 LEAVES_BATCH_FRACTION);
	default:
		return feed->client->heartbeat == 0 ? 0 : settings->apply_us;
	}
}

/* The polled list of VMs rarely changes and is not logged. */
static void
log_store_read(
    const feed_state_t *feed, bool is_list, int64_t revision, int64_t now_us)
{
	if (feed->feed == FEED_VMS)
		return;
	log_fields(LOG_TIER_STORE_READ,
	    "\"feed\":\"%s\",\"call\":\"%s\",\"revision\":%" G_GINT64_FORMAT
	    ",\"before\":%" G_GINT64_FORMAT ",\"took_us\":%" G_GINT64_FORMAT,
	    feed_names[feed->feed], is_list ? "list" : "watch", revision,
	    feed->revision, now_us - feed->sent_us);
}

static void
handle_page(feed_state_t *feed, int64_t now_us)
{
	const protocol_t *protocol = feed->client->protocol;
	bool is_list = feed->step == STEP_LISTING;
	feed_sink_t sink = sink_callbacks;
	feed_page_t page = { 0 };
	error_info_t error = { 0 };
	bool is_valid;

	sink.context = feed;
	is_valid = (is_list ? protocol->read_list : protocol->read_events)(
	    feed->feed, feed->message.body->str, feed->message.body->len, &sink,
	    &page, &error);
	if (!is_valid) {
		feed->is_listed = feed->is_listed && is_list;
		fail_call(feed, error.text);
		return;
	}
	record_success(feed);
	http_message_reset(&feed->message);
	if (is_list && page.has_next_page) {
		g_strlcpy(
		    feed->last_name, page.last_name, sizeof(feed->last_name));
		send_list(feed);
		return;
	}
	log_store_read(feed, is_list, page.revision, now_us);
	feed->revision = page.revision;
	if (is_list)
		finish_list(feed);
	schedule_call(feed, now_us,
	    !is_list && page.count >= WATCH_PAGE_EVENTS
		? 0
		: get_call_delay_us(feed));
	loop_wake(feed->client->loop);
}

static void
handle_answer(feed_state_t *feed)
{
	int status = (int)feed->message.parser.status_code;
	bool is_kept = feed->message.is_persistent;
	int64_t now_us = clock_get_us();

	feed->is_in_call = false;
	if (feed->step != STEP_WATCHING)
		metric_observe(HISTOGRAM_TIER_STORE, now_us - feed->sent_us);
	if (status == 410 && feed->step == STEP_WATCHING) {
		/* The revision was compacted: list again. */
		feed->is_listed = false;
		http_message_reset(&feed->message);
		schedule_call(feed, now_us, 0);
		loop_wake(feed->client->loop);
	} else if (feed->step == STEP_WRITING && status != 503 &&
		   status != 429) {
		http_message_reset(&feed->message);
		record_success(feed);
		handle_write_result(feed, status, now_us);
	} else if (feed->step == STEP_PROBING &&
		   (status == 200 || status == 404)) {
		/* A stale replica may not have this VM's entry yet. */
		http_message_reset(&feed->message);
		record_success(feed);
		schedule_call(feed, now_us, get_call_delay_us(feed));
	} else if (status != 200) {
		char why[64];

		g_snprintf(why, sizeof(why), "status %d", status);
		fail_call(feed, why);
	} else
		handle_page(feed, now_us);
	if (!is_kept && feed->stream != NULL && !feed->is_in_call) {
		stream_destroy(feed->stream);
		feed->stream = NULL;
	}
}

static void
handle_received(void *context, const char *data, size_t length)
{
	feed_state_t *feed = context;
	size_t used;

	if (!feed->is_in_call) {
		fail_call(feed, "bytes without a call");
		return;
	}
	switch (http_message_feed(&feed->message, data, length, &used)) {
	case HTTP_INCOMPLETE:
		return;
	case HTTP_INVALID:
		fail_call(feed, "not HTTP");
		return;
	case HTTP_COMPLETE:
		handle_answer(feed);
		return;
	}
}

/*
 * A connection that closes between calls is reopened by the next one; a close
 * during a call fails the call.
 */
static void
handle_closed(void *context, bool is_clean)
{
	feed_state_t *feed = context;

	if (feed->is_in_call) {
		fail_call(feed, is_clean ? "closed" : "reset");
		return;
	}
	stream_destroy(feed->stream);
	feed->stream = NULL;
}

void
store_client_deregister(store_client_t *client)
{
	client->is_deregistering = true;
	client->heartbeat_due_us = 0;
	client->feeds[FEED_VMS].next_call_us = 0;
	loop_wake(client->loop);
}

/* ---- Publishing ---- */

static void
remove_vanished_leaves(store_client_t *client, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	client->next_removal_us = INT64_MAX;
	g_hash_table_iter_init(&iter, client->leaves);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		leaf_record_t *record = value;

		if (record->vanished_us == 0)
			continue;
		if (now_us >= record->removal_us) {
			g_hash_table_iter_remove(&iter);
			mark_changed(client);
		} else
			client->next_removal_us =
			    MIN(client->next_removal_us, record->removal_us);
	}
}

/* Publishes nothing until both the routes and the leaves were read. */
static void
publish_directory(store_client_t *client)
{
	directory_t *directory;
	GHashTableIter iter;
	gpointer value;

	client->is_changed = false;
	if (client->table == NULL || !client->feeds[FEED_LEAVES].is_listed)
		return;
	directory = directory_create(client->table, client->vm_count);
	g_hash_table_iter_init(&iter, client->leaves);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_array_append_val(
		    directory->leaves, ((leaf_record_t *)value)->entry);
	client->callbacks.changed(client->callbacks.context, directory);
}

static int64_t
run_timer(void *context)
{
	store_client_t *client = context;
	int64_t now_us = clock_get_us();
	int64_t due_us = INT64_MAX;

	for (int i = 0; i < FEED_COUNT; i++) {
		feed_state_t *feed = &client->feeds[i];

		if (feed->is_in_call && now_us >= feed->timeout_us)
			fail_call(feed, "timeout");
		if (i == FEED_VMS && !feed->is_in_call && !feed->is_lost &&
		    now_us >= client->probe_due_us)
			feed->next_call_us = now_us;
		if (!feed->is_in_call && now_us >= feed->next_call_us)
			begin_step(feed, now_us);
		due_us = MIN(due_us,
		    feed->is_in_call ? feed->timeout_us : feed->next_call_us);
	}
	if (now_us < client->probe_due_us)
		due_us = MIN(due_us, client->probe_due_us);
	if (now_us >= client->next_removal_us)
		remove_vanished_leaves(client, now_us);
	if (client->is_changed && now_us >= client->publish_due_us)
		publish_directory(client);
	if (client->is_changed)
		due_us = MIN(due_us, client->publish_due_us);
	return MIN(due_us, client->next_removal_us);
}
