/**
 * @file store_client.c
 * Follows the platform's store: the configuration, the leafs and the VMs.
 *
 * Each feed has a connection of its own: it lists once, then watches from the
 * revision of the list, and lists anew when the history is gone. What was read
 * stays in force while the store can't be reached.
 */
#include <string.h>

#include "tier_process.h"

#define ANSWER_HEAD_BYTES 16384
#define ANSWER_BODY_BYTES 8388608
#define WATCH_WAIT_MS	  30000	  /* the longest that the store allows */
#define WATCH_SLACK_US	  2000000 /* a watch that is silent longer is dead */
#define CALL_TIMEOUT_US	  1500000 /* answers take milliseconds */
#define BACKOFF_FIRST_US  100000
#define CHECK_US	  100000  /* a watch just sent: is the store there? */
#define LOST_WAIT_US	  5000000 /* unless the cheap reads answer again */
#define BACKOFF_MOST_US	  800000  /* a regained store is used within 1 s */
#define VANISH_US	  2500000 /* entries lost in an outage are back by then */
#define VANISH_PART	  0.4	  /* of drain_ms, after a store that was well */
#define UNWELL_US	  3000000 /* a store is well this long after an outage */
#define VM_POLL_US	  15000000
#define VM_POLL_FIRST_US  2500000 /* all VMs start within 0.3 s */
#define VM_BEAT_US	  20000000
#define VM_LAPSE_US	  50000000 /* two beats and a poll */

/*
 * A watch ends with the first change, and each call is paid for. The next one
 * waits a part of the time that the change may take, so that changes which come
 * together cost one call.
 */
#define LEAFS_GATHER_PART  0.5
#define CONFIG_GATHER_PART 0.15
#define EVENTS_MANY	   100 /* more may follow: the store answers in pages */
#define PUBLISH_DELAY_US   2000 /* changes that arrive together */

typedef enum feed_step {
	STEP_RESTING, /* until next_us */
	STEP_LISTING,
	STEP_WATCHING,
	STEP_PROBING, /* FEED_VMS: whether the store answers at all */
	STEP_WRITING  /* FEED_VMS: this VM's own entry */
} feed_step_t;

typedef struct feed_state {
	store_client_t *client;
	feed_t feed;
	feed_step_t step;
	stream_t *stream;
	http_message_t message;
	bool is_in_call, is_listed, is_lost;
	int64_t lost_us; /* the last failure */
	int64_t revision;
	int64_t next_us, sent_us, timeout_us, backoff_us;
	char after[KEY_BYTES];
	GHashTable *seen; /* names of the list in progress */
} feed_state_t;

typedef struct leaf_record {
	leaf_entry_t entry;
	int64_t vanished_us; /* 0: its entry is there */
	int64_t gone_us;     /* it is dropped then */
} leaf_record_t;

typedef struct vm_record {
	int64_t revision, changed_us;
} vm_record_t;

struct store_client {
	loop_t *loop;
	const protocol_t *protocol;
	tier_settings_t settings;
	store_client_callbacks_t hooks;
	feed_state_t feeds[FEED_COUNT];
	route_table_t *table;
	GHashTable *leafs; /* id -> leaf_record_t */
	GHashTable *vms;   /* name -> vm_record_t */
	int vm_count;	   /* of the last list */
	bool is_changed, is_vm_known, is_leaving;
	int64_t publish_us, vanish_due_us, beat_us, poll_us, beat;
	int64_t check_us; /* a cheap read is due then; INT64_MAX: none */
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
    const tier_settings_t *settings, const store_client_callbacks_t *hooks)
{
	store_client_t *client = g_new0(store_client_t, 1);
	int64_t now_us = clock_get_us();

	client->loop = loop;
	client->protocol = protocol;
	client->settings = *settings;
	client->hooks = *hooks;
	client->leafs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	client->vms =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	client->vanish_due_us = INT64_MAX;
	client->check_us = INT64_MAX;
	for (int i = 0; i < FEED_COUNT; i++) {
		feed_state_t *feed = &client->feeds[i];

		feed->client = client;
		feed->feed = (feed_t)i;
		feed->seen = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL);
		http_message_begin(&feed->message, false, ANSWER_HEAD_BYTES,
		    ANSWER_BODY_BYTES);
		feed->next_us = now_us;
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
		g_hash_table_unref(client->feeds[i].seen);
	}
	route_table_release(client->table);
	g_hash_table_unref(client->leafs);
	g_hash_table_unref(client->vms);
	g_free(client);
}

static void
mark_changed(store_client_t *client)
{
	if (!client->is_changed)
		client->publish_us = clock_get_us() + PUBLISH_DELAY_US;
	client->is_changed = true;
	loop_wake(client->loop);
}

/* ---- What the store says ---- */

static void
take_configuration(void *context, route_table_t *table)
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
	metric_set(METRIC_TIER_VERSION, (int64_t)table->version);
	/* It may name services whose leafs have just started. */
	if (client->feeds[FEED_LEAFS].step == STEP_RESTING)
		client->feeds[FEED_LEAFS].next_us = 0;
	mark_changed(client);
}

static void
take_leaf(void *context, const leaf_entry_t *entry)
{
	feed_state_t *feed = context;
	store_client_t *client = feed->client;
	leaf_record_t *record = g_hash_table_lookup(client->leafs, entry->id);

	if (feed->step == STEP_LISTING)
		g_hash_table_add(feed->seen, g_strdup(entry->id));
	if (record == NULL) {
		record = g_new0(leaf_record_t, 1);
		record->entry = *entry;
		g_hash_table_insert(client->leafs, record->entry.id, record);
	} else {
		record->entry = *entry;
		record->vanished_us = 0;
	}
	mark_changed(client);
}

static void
take_vm(void *context, const char *name, int64_t revision)
{
	feed_state_t *feed = context;
	store_client_t *client = feed->client;
	vm_record_t *record = g_hash_table_lookup(client->vms, name);

	if (feed->step == STEP_LISTING)
		g_hash_table_add(feed->seen, g_strdup(name));
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
 * How long a leaf whose entry went away stays as the last resort. An outage
 * that this VM has not seen may have removed it too, so it is never nothing.
 */
static int64_t
get_vanish_us(const store_client_t *client, int64_t now_us)
{
	const feed_state_t *feed = &client->feeds[FEED_LEAFS];

	if (feed->lost_us != 0 && now_us - feed->lost_us < UNWELL_US)
		return VANISH_US;
	return (int64_t)((double)client->settings.drain_us * VANISH_PART);
}

static void
vanish_leaf(store_client_t *client, leaf_record_t *record)
{
	if (record->vanished_us != 0)
		return;
	record->vanished_us = clock_get_us();
	record->gone_us =
	    record->vanished_us + get_vanish_us(client, record->vanished_us);
	record->entry.is_vanished = true;
	client->vanish_due_us = MIN(client->vanish_due_us, record->gone_us);
	mark_changed(client);
}

static void
take_removal(void *context, feed_t which, const char *name)
{
	feed_state_t *feed = context;
	leaf_record_t *record;

	if (which != FEED_LEAFS)
		return;
	record = g_hash_table_lookup(feed->client->leafs, name);
	if (record != NULL)
		vanish_leaf(feed->client, record);
}

/* What can't be read names no leaf; a configuration stays as it was. */
static void
reject(void *context, feed_t which, const char *name, const char *why)
{
	feed_state_t *feed = context;
	char plain_name[KEY_BYTES], plain_why[KEY_BYTES];

	log_copy_plain(plain_name, sizeof(plain_name), name);
	log_copy_plain(plain_why, sizeof(plain_why), why);
	log_fields(LOG_TIER_BAD_OBJECT,
	    "\"feed\":\"%s\",\"name\":\"%s\",\"why\":\"%s\"", feed_names[which],
	    plain_name, plain_why);
	if (which == FEED_LEAFS &&
	    g_hash_table_remove(feed->client->leafs, name))
		mark_changed(feed->client);
}

static const feed_sink_t sink_callbacks = { NULL, take_configuration, take_leaf,
	take_vm, take_removal, reject };

static void
vanish_unlisted(feed_state_t *feed)
{
	GHashTableIter iter;
	gpointer name, record;

	g_hash_table_iter_init(&iter, feed->client->leafs);
	while (g_hash_table_iter_next(&iter, &name, &record))
		if (!g_hash_table_contains(feed->seen, name))
			vanish_leaf(feed->client, record);
}

static gboolean
is_lapsed(gpointer name, gpointer value, gpointer context)
{
	const vm_record_t *record = value;
	feed_state_t *feed = context;

	return !g_hash_table_contains(feed->seen, name) ||
	       clock_get_us() - record->changed_us > VM_LAPSE_US;
}

/* The polled list mostly says what is known; only their number matters. */
static void
finish_vms(feed_state_t *feed)
{
	store_client_t *client = feed->client;
	int count;

	g_hash_table_foreach_remove(client->vms, is_lapsed, feed);
	count = (int)g_hash_table_size(client->vms);
	if (!client->is_vm_known || count != client->vm_count)
		mark_changed(client);
	client->is_vm_known = true;
	client->poll_us = clock_get_us() + VM_POLL_US;
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
	if (feed->feed == FEED_LEAFS)
		vanish_unlisted(feed);
	mark_changed(client);
}

/* ---- Calls ---- */

static void
rest(feed_state_t *feed, int64_t now_us, int64_t delay_us)
{
	feed->step = STEP_RESTING;
	feed->is_in_call = false;
	feed->next_us = now_us + delay_us;
}

/* Whether the whole store is lost shows from reads of a tenth of the price. */
static void
ask_cheaply(store_client_t *client, int64_t now_us)
{
	feed_state_t *vms = &client->feeds[FEED_VMS];

	if (!vms->is_lost && vms->step == STEP_RESTING)
		vms->next_us = MIN(vms->next_us, now_us);
}

/*
 * While the cheap reads fail too, the other feeds wait for those: each call is
 * paid for, also one that is refused.
 */
static bool
is_waiting_for_store(const feed_state_t *feed, int64_t now_us)
{
	const feed_state_t *vms = &feed->client->feeds[FEED_VMS];

	return feed != vms && feed->is_lost && vms->is_lost &&
	       now_us - feed->lost_us < LOST_WAIT_US;
}

/* A call failed: the connection is not used again. */
static void
fail_call(feed_state_t *feed, const char *why)
{
	int64_t now_us = clock_get_us();
	char plain[KEY_BYTES]; /* a parser's error may quote the store */

	log_copy_plain(plain, sizeof(plain), why);
	stream_destroy(feed->stream);
	feed->stream = NULL;
	http_message_reset(&feed->message);
	feed->backoff_us =
	    CLAMP(feed->backoff_us * 2, BACKOFF_FIRST_US, BACKOFF_MOST_US);
	if (!feed->is_lost)
		log_fields(LOG_TIER_STORE_LOST,
		    "\"feed\":\"%s\",\"why\":\"%s\",\"revision\":"
		    "%" G_GINT64_FORMAT,
		    feed_names[feed->feed], plain, feed->revision);
	feed->is_lost = true;
	feed->lost_us = now_us;
	metric_add(METRIC_TIER_STORE_FAILURES, 1);
	rest(feed, now_us, feed->backoff_us);
	ask_cheaply(feed->client, now_us);
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
		feed->after[0] = '\0';
		g_hash_table_remove_all(feed->seen);
	}
	feed->client->protocol->write_list(call, feed->feed, feed->after);
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
	/* A store that falls silent now would swallow it without a sign. */
	feed->client->check_us = feed->sent_us + CHECK_US;
}

/* Writes this VM's entry, or takes it away. */
static void
send_beat(feed_state_t *feed, int64_t now_us)
{
	store_client_t *client = feed->client;
	GString *call = g_string_new(NULL);

	feed->step = STEP_WRITING;
	client->beat_us = now_us + VM_BEAT_US;
	if (client->is_leaving)
		client->protocol->write_vm_deletion(call, client->settings.id);
	else
		client->protocol->write_vm_entry(call, client->settings.id,
		    client->settings.callers, client->beat == 0, client->beat);
	send_call(feed, call, CALL_TIMEOUT_US);
	g_string_free(call, TRUE);
}

/*
 * A stale read, a tenth of a call's price. It comes once in the time in which a
 * configuration is to be in force, so an outage of that length is noticed.
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
		feed->next_us = feed->lost_us + LOST_WAIT_US;
	else if (feed->feed == FEED_VMS) {
		client->check_us = INT64_MAX;
		/* The VMs of before a restart are known before anything is
		 * shared with them. */
		if (!client->is_vm_known)
			send_list(feed);
		else if (now_us >= client->beat_us)
			send_beat(feed, now_us);
		else if (client->is_leaving)
			feed->next_us = INT64_MAX; /* its entry is removed */
		else if (feed->step == STEP_LISTING ||
			 now_us >= client->poll_us)
			send_list(feed);
		else
			send_probe(feed);
	} else if (feed->is_listed)
		send_watch(feed);
	else
		send_list(feed);
}

/*
 * The store answers again. Feeds that waited for it go on; and it may have lost
 * the watches that it was sent in its silence, which nothing else shows before
 * their time is over. They are renewed from the same revision.
 */
static void
renew_feeds(store_client_t *client, int64_t now_us)
{
	for (int i = 0; i < FEED_COUNT; i++) {
		feed_state_t *feed = &client->feeds[i];

		if (feed->is_lost && feed->step == STEP_RESTING)
			feed->next_us = now_us;
		if (!feed->is_in_call || feed->step != STEP_WATCHING)
			continue;
		stream_destroy(feed->stream);
		feed->stream = NULL;
		http_message_reset(&feed->message);
		rest(feed, now_us, 0);
	}
	loop_wake(client->loop);
}

static void
note_regained(feed_state_t *feed)
{
	feed->backoff_us = 0;
	if (!feed->is_lost)
		return;
	feed->is_lost = false;
	if (feed->feed == FEED_VMS)
		renew_feeds(feed->client, clock_get_us());
	log_fields(LOG_TIER_STORE_REGAINED,
	    "\"feed\":\"%s\",\"revision\":%" G_GINT64_FORMAT,
	    feed_names[feed->feed], feed->revision);
}

/* What follows this VM's own write: 409 and 404 tell which form is right. */
static void
handle_written(feed_state_t *feed, int status, int64_t now_us)
{
	store_client_t *client = feed->client;

	if (status == 409)
		client->beat = MAX(client->beat, 1);
	else if (status == 404)
		client->beat = 0;
	else
		client->beat++;
	if (status == 409 || status == 404)
		client->beat_us = now_us + BACKOFF_FIRST_US;
	if (client->beat <= 1)
		client->poll_us = 0; /* those that started with it */
	rest(feed, now_us, client->beat > 1 ? 0 : VM_POLL_FIRST_US);
}

static int64_t
get_rest_us(const feed_state_t *feed)
{
	const tier_settings_t *settings = &feed->client->settings;

	switch (feed->feed) {
	case FEED_CONFIGURATION:
		return (
		    int64_t)((double)settings->apply_us * CONFIG_GATHER_PART);
	case FEED_LEAFS:
		return (
		    int64_t)((double)settings->drain_us * LEAFS_GATHER_PART);
	default:
		return feed->client->beat == 0 ? 0 : settings->apply_us;
	}
}

/* The polled list of VMs changes nothing mostly, and is not logged. */
static void
log_read(
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
	bool is_good;

	sink.context = feed;
	is_good = (is_list ? protocol->read_list : protocol->read_events)(
	    feed->feed, feed->message.body->str, feed->message.body->len, &sink,
	    &page, &error);
	if (!is_good) {
		feed->is_listed = feed->is_listed && is_list;
		fail_call(feed, error.text);
		return;
	}
	note_regained(feed);
	http_message_reset(&feed->message);
	if (is_list && page.is_continued) {
		g_strlcpy(feed->after, page.after, sizeof(feed->after));
		send_list(feed);
		return;
	}
	log_read(feed, is_list, page.revision, now_us);
	feed->revision = page.revision;
	if (is_list)
		finish_list(feed);
	rest(feed, now_us,
	    !is_list && page.count >= EVENTS_MANY ? 0 : get_rest_us(feed));
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
		/* The history is gone: what changed shows in a new list. */
		feed->is_listed = false;
		http_message_reset(&feed->message);
		rest(feed, now_us, 0);
		loop_wake(feed->client->loop);
	} else if (feed->step == STEP_WRITING && status != 503 &&
		   status != 429) {
		http_message_reset(&feed->message);
		note_regained(feed);
		handle_written(feed, status, now_us);
	} else if (feed->step == STEP_PROBING &&
		   (status == 200 || status == 404)) {
		/* A stale replica may not know this VM yet. */
		http_message_reset(&feed->message);
		note_regained(feed);
		rest(feed, now_us, get_rest_us(feed));
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
 * A connection that closes between calls is opened again with the next; one
 * that closes in a call fails it.
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
	client->is_leaving = true;
	client->beat_us = 0;
	client->feeds[FEED_VMS].next_us = 0;
	loop_wake(client->loop);
}

/* ---- Publishing ---- */

static void
remove_vanished(store_client_t *client, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	client->vanish_due_us = INT64_MAX;
	g_hash_table_iter_init(&iter, client->leafs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		leaf_record_t *record = value;

		if (record->vanished_us == 0)
			continue;
		if (now_us >= record->gone_us) {
			g_hash_table_iter_remove(&iter);
			mark_changed(client);
		} else
			client->vanish_due_us =
			    MIN(client->vanish_due_us, record->gone_us);
	}
}

/* Nothing is served before both the routes and the leafs are known. */
static void
publish(store_client_t *client)
{
	directory_t *directory;
	GHashTableIter iter;
	gpointer value;

	client->is_changed = false;
	if (client->table == NULL || !client->feeds[FEED_LEAFS].is_listed)
		return;
	directory = directory_create(client->table, client->vm_count);
	g_hash_table_iter_init(&iter, client->leafs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_array_append_val(
		    directory->leafs, ((leaf_record_t *)value)->entry);
	client->hooks.changed(client->hooks.context, directory);
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
		    now_us >= client->check_us)
			feed->next_us = now_us;
		if (!feed->is_in_call && now_us >= feed->next_us)
			begin_step(feed, now_us);
		due_us = MIN(due_us,
		    feed->is_in_call ? feed->timeout_us : feed->next_us);
	}
	if (now_us < client->check_us)
		due_us = MIN(due_us, client->check_us);
	if (now_us >= client->vanish_due_us)
		remove_vanished(client, now_us);
	if (client->is_changed && now_us >= client->publish_us)
		publish(client);
	if (client->is_changed)
		due_us = MIN(due_us, client->publish_us);
	return MIN(due_us, client->vanish_due_us);
}
