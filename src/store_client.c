/**
 * @file store_client.c
 * Reads the platform's state: configuration, leaves and readers.
 *
 * Each feed has its own connection. It lists once, then watches from the
 * revision of the list, and lists again when that revision was compacted. The
 * calls go to the store or to another VM that reads the store, as view_source.c
 * decides; both answer the same calls. The last state read stays in force while
 * no source answers.
 */
#include <string.h>

#include "feed_position.h"
#include "mirror.h"
#include "store_view.h"
#include "tier_process.h"

#define ANSWER_HEAD_BYTES_MAX 16384
#define ANSWER_BODY_BYTES_MAX 8388608
#define CALL_TIMEOUT_US	      1500000 /* answers take milliseconds */
#define WATCH_SLACK_US	      2000000 /* the store's; overdue: it failed */
#define WATCH_WAIT_MAX_MS     30000   /* the store's maximum */
#define WATCH_PROBE_DELAY_US  100000  /* time from sending a watch to a probe */
#define BACKOFF_MIN_US	      100000
#define BACKOFF_MAX_US	      800000  /* a recovered store is used within 1 s */
#define LOST_FEED_WAIT_US     5000000 /* unless a probe succeeds earlier */
#define RECENT_OUTAGE_US      3000000 /* an outage is recent for this long */
#define OUTAGE_MIN_US	      1000000 /* no entry expires in a shorter one */
#define WATCH_PROMPT_US	      100000  /* from a change to a watch's answer */
#define PUBLISH_DELAY_US      2000    /* batches changes that arrive together */
#define WATCH_PAGE_EVENTS     100     /* a full page: more may follow */
#define LARGE_PAGE_BYTES      262144  /* the same; the store's limit is 1 MB */
#define LARGE_PAGES_MAX	      2	      /* in a row; then the feed is listed */
#define LARGE_PAGE_US	      500000  /* to read one that did not wait */
#define RELIST_INTERVAL_US    5000000
#define RELIST_WANTED_US      1000000 /* if a follower needs the list */
#define NO_LIST_PATIENCE_US   1000000 /* with a reader that has no list */
#define COMPACT_MIN_BYTES     65536   /* smaller changes are kept as they are */
#define READERS_INTERVAL_US   5000000 /* a follower lists them at its reader */
#define FREEZE_MIN_US	      2000000 /* the loop turns at least once a second */
#define SUSPEND_MIN_US	      500000
#define SPREAD_STEPS	      1000 /* phases of VMs, by id */

/* Waits of a follower's watch: fractions of the time to know a change. */
#define FOLLOWER_WAIT_FRACTION (1.0 / 6)
#define FOLLOWER_WAIT_MIN_US   200000
#define FOLLOWER_WAIT_MAX_US   1000000
#define FOLLOWER_SLACK_MIN_US  500000 /* a busy VM answers late */

#define CHECK_FRACTION 0.3 /* of the time to know a change */

/*
 * A watch at the store returns at the first change, and each call has a cost.
 * The next one is delayed by a fraction of the time in which a change must take
 * effect, which batches changes that come close together.
 */
#define LEAVES_BATCH_FRACTION 0.25
#define CONFIG_BATCH_FRACTION 0.15

typedef enum feed_step {
	STEP_WAITING, /* until next_call_us */
	STEP_LISTING,
	STEP_WATCHING,
	STEP_WRITING /* FEED_READERS: claims or reports */
} feed_step_t;

typedef struct feed_state {
	store_client_t *client;
	feed_t feed;
	feed_step_t step;
	stream_t *stream;
	char peer[ENDPOINT_BYTES]; /* that the stream is connected to */
	bool is_to_store;	   /* the call in progress */
	http_message_t message;
	bool is_in_call;
	bool is_refused; /* the reader answered that it cannot serve now */
	bool is_overdue; /* its time is over; an answer may wait to be read */
	bool is_source_new; /* it has not answered this feed yet */
	bool is_epoch_new;  /* not listed since the store came back */
	bool has_bad_epoch; /* logged, once for a connection */
	bool is_lost;	    /* the last call to the store failed */
	int64_t lost_us;    /* time of the last failure */
	/* Times of the boot clock, which counts suspensions too. */
	int64_t sent_boot_us, list_sent_boot_us;
	feed_position_t position;
	int64_t since_us;      /* of the changes in the answer being read */
	int64_t list_revision; /* of the list in progress */
	int64_t next_call_us, sent_us, timeout_us, backoff_us;
	bool is_checked;     /* the call in progress tests its watch */
	int large_pages;     /* read in a row, none of which had to wait */
	bool is_skipping;    /* lists, to leave out the changes until now */
	int64_t relisted_us; /* the last list for the sake of followers */
	int64_t no_list_us;  /* the reader has no list since; 0: it has */
	char last_name[KEY_BYTES];
	GHashTable *listed_names; /* names in the list in progress */
	GArray *listed_readers;	  /* reader_entry_t, of FEED_READERS */
} feed_state_t;

struct store_client {
	loop_t *loop;
	const protocol_t *protocol;
	tier_settings_t settings;
	store_client_callbacks_t callbacks;
	feed_state_t feeds[FEED_COUNT];
	store_view_t *view;
	view_source_t *source;
	view_mode_t mode; /* that the feeds are in */
	char reader[ENDPOINT_BYTES];
	view_task_t task;
	mirror_t *mirror;
	int64_t epoch;	 /* of the store, the highest seen; 0: not said */
	bool has_leaves; /* they were listed once */
	bool is_stopping;
	bool is_unconfirmed; /* after a freeze, until the source answers */
	bool is_publish_scheduled;
	int vm_count;
	int64_t publish_due_us, probe_due_us, readers_due_us;
	int64_t last_run_us, suspended_us;
	int64_t run_boot_us[2]; /* boot time of the last two turns */
	int64_t outage_us;	/* a call to the store itself failed; or 0 */
};

static void handle_received(void *context, const char *data, size_t length);
static void handle_closed(void *context, bool is_clean);
static int64_t run_timer(void *context);

static const stream_callbacks_t stream_callbacks = { NULL, handle_received,
	handle_closed };

static const char *const feed_names[FEED_COUNT] = { "configuration", "leafs",
	"readers" };

static view_source_t *
create_source(store_client_t *client)
{
	const tier_settings_t *settings = &client->settings;
	view_source_options_t options = { .id = settings->id,
		.zone = settings->zone,
		.region = settings->region,
		.address = settings->peers,
		.regions = settings->regions,
		.cores = settings->cores,
		.drain_us = settings->drain_us,
		.apply_us = settings->apply_us,
		.seed = hash_pair(
		    hash_text(settings->id), (uint64_t)clock_get_us()),
		.log = log_write_fields };

	return view_source_create(&options);
}

store_client_t *
store_client_create(loop_t *loop, const protocol_t *protocol,
    const tier_settings_t *settings, const store_client_callbacks_t *callbacks,
    error_info_t *error)
{
	mirror_t *mirror =
	    mirror_create(loop, protocol, settings->peers, error);
	store_client_t *client;

	if (mirror == NULL)
		return NULL;
	client = g_new0(store_client_t, 1);
	client->loop = loop;
	client->protocol = protocol;
	client->settings = *settings;
	client->callbacks = *callbacks;
	client->mirror = mirror;
	client->view = store_view_create(settings->drain_us);
	client->source = create_source(client);
	client->probe_due_us = INT64_MAX;
	for (int i = 0; i < FEED_COUNT; i++) {
		feed_state_t *feed = &client->feeds[i];

		feed->client = client;
		feed->feed = (feed_t)i;
		feed->listed_names = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL);
		feed->listed_readers =
		    g_array_new(FALSE, FALSE, sizeof(reader_entry_t));
		http_message_begin(&feed->message, false, ANSWER_HEAD_BYTES_MAX,
		    ANSWER_BODY_BYTES_MAX);
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
		g_array_unref(client->feeds[i].listed_readers);
	}
	mirror_destroy(client->mirror);
	view_source_destroy(client->source);
	store_view_destroy(client->view);
	g_free(client);
}

void
store_client_stop_serving(store_client_t *client)
{
	client->is_stopping = true;
	mirror_set_serving(client->mirror, false);
}

/* ---- Decoded objects ---- */

static void
handle_configuration(void *context, route_table_t *table)
{
	feed_state_t *feed = context;
	feed_state_t *leaves = &feed->client->feeds[FEED_LEAVES];

	table->epoch = feed->client->epoch;
	/* New services may have leaves that are not known yet: watch now. */
	if (store_view_set_table(feed->client->view, table) &&
	    leaves->step == STEP_WAITING)
		leaves->next_call_us = 0;
}

static void
handle_leaf(void *context, const leaf_entry_t *entry)
{
	feed_state_t *feed = context;

	if (store_view_set_leaf(feed->client->view, entry, clock_get_us()) &&
	    feed->step == STEP_LISTING)
		g_hash_table_add(feed->listed_names, g_strdup(entry->id));
}

static void
handle_reader(void *context, const reader_entry_t *entry)
{
	feed_state_t *feed = context;

	g_array_append_val(feed->listed_readers, *entry);
}

/*
 * The failure of a reader is not an outage of the store, nor is one call that
 * failed between two that did not.
 */
static entry_removal_t
describe_removal(const feed_state_t *feed)
{
	const store_client_t *client = feed->client;
	int64_t now_us = clock_get_us();
	int64_t age_us = clock_get_boot_us() - feed->since_us;

	/* The copy may not know yet what lives. */
	return (entry_removal_t){ .now_us = now_us,
		.earliest_us = now_us - age_us,
		.is_after_outage =
		    feed->is_epoch_new ||
		    (client->outage_us != 0 && age_us > OUTAGE_MIN_US &&
			now_us - client->outage_us < RECENT_OUTAGE_US) };
}

static void
handle_removal(void *context, feed_t feed_kind, const char *name)
{
	feed_state_t *feed = context;
	entry_removal_t removal = describe_removal(feed);

	if (feed_kind == FEED_LEAVES)
		store_view_remove_entry(feed->client->view, &removal, name);
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
	if (feed_kind == FEED_LEAVES)
		store_view_drop_leaf(feed->client->view, name);
}

static const feed_sink_t sink_callbacks = { NULL, handle_configuration,
	handle_leaf, handle_reader, handle_removal, handle_rejected };

/* ---- Source ---- */

static bool
is_at_store(const store_client_t *client)
{
	return client->mode == VIEW_READING || client->mode == VIEW_DIRECT;
}

static void
drop_call(feed_state_t *feed, int64_t now_us, int64_t delay_us)
{
	stream_destroy(feed->stream);
	feed->stream = NULL;
	http_message_reset(&feed->message);
	feed->is_in_call = false;
	feed->step = STEP_WAITING;
	feed->next_call_us = now_us + delay_us;
}

/* Whether this VM may vouch for its view towards followers. */
static void
update_serving(store_client_t *client)
{
	const feed_state_t *feeds = client->feeds;

	mirror_set_serving(client->mirror,
	    client->mode == VIEW_READING && !client->is_stopping &&
		!client->is_unconfirmed &&
		feeds[FEED_CONFIGURATION].position.is_listed &&
		feeds[FEED_LEAVES].position.is_listed &&
		!feeds[FEED_CONFIGURATION].is_lost &&
		!feeds[FEED_LEAVES].is_lost && !feeds[FEED_READERS].is_lost);
}

static const char *
get_reader(const store_client_t *client)
{
	const char *reader = view_source_get_reader(client->source);

	return reader != NULL ? reader : "";
}

/* Lets the feeds continue at the source that is decided now. */
static void
follow_source(store_client_t *client, int64_t now_us)
{
	view_mode_t mode = view_source_get_mode(client->source);
	const char *reader = get_reader(client);
	bool was_at_store = is_at_store(client);

	if (mode == client->mode && strcmp(reader, client->reader) == 0)
		return;
	client->mode = mode;
	metric_set(METRIC_TIER_VIEW, mode);
	g_strlcpy(client->reader, reader, sizeof(client->reader));
	client->readers_due_us = now_us;
	update_serving(client);
	if (was_at_store && is_at_store(client))
		return;
	for (int i = 0; i < FEED_COUNT; i++) {
		feed_state_t *feed = &client->feeds[i];

		feed->is_lost = false;
		feed->is_source_new = true;
		feed->backoff_us = 0;
		if (feed->feed != FEED_READERS || !feed->is_to_store)
			drop_call(feed, now_us, 0);
	}
	loop_wake(client->loop);
}

/*
 * The store answers again. It may have lost watches sent during the outage,
 * which would otherwise show only at their timeout: they are sent again.
 */
static void
resume_feeds(store_client_t *client, int64_t now_us)
{
	for (int i = 0; is_at_store(client) && i < FEED_COUNT; i++) {
		feed_state_t *feed = &client->feeds[i];

		if (feed->feed == FEED_READERS)
			continue;
		if (feed->is_lost && feed->step == STEP_WAITING)
			feed->next_call_us = now_us;
		if (feed->is_in_call && feed->step == STEP_WATCHING)
			drop_call(feed, now_us, 0);
	}
	loop_wake(client->loop);
}

/* The view of this feed holds all changes up to this time. */
static void
set_complete(feed_state_t *feed, int64_t boot_us)
{
	feed_position_confirm(&feed->position, boot_us);
	feed_journal_set_complete(
	    mirror_get_journal(feed->client->mirror, feed->feed),
	    feed->position.complete_us);
}

/* Both feeds answer, or are taken to be sound. */
static void
note_store_reached(store_client_t *client)
{
	if (!client->feeds[FEED_CONFIGURATION].is_lost &&
	    !client->feeds[FEED_LEAVES].is_lost)
		view_source_set_store_lost(
		    client->source, clock_get_us(), false);
	update_serving(client);
}

/* How long a watch may say nothing while the store's revision moves. */
static int64_t
get_check_interval_us(const store_client_t *client)
{
	return (int64_t)(CHECK_FRACTION * (double)MIN(client->settings.drain_us,
					      client->settings.apply_us));
}

/* The changes that a list of readers shows are none of the other feeds. */
static void
explain_by_readers(feed_position_t *position, const feed_state_t *list)
{
	int64_t from = feed_position_get_unchanged(position);
	int count = 0;

	for (guint i = 0; i < list->listed_readers->len; i++)
		count += g_array_index(list->listed_readers, reader_entry_t, i)
			     .revision > from;
	feed_position_explain(position, from, list->list_revision, count);
}

/*
 * The store answered a list that was sent after a watch. Without a change since
 * the position of the feed, the watch is taken for sound: it is answered only
 * at the next change. Else the change may be of another kind, or the watch's
 * connection silent: it is sent again on a new one, and answered at once.
 */
static void
confirm_watches(store_client_t *client, const feed_state_t *list)
{
	for (int i = 0; i < FEED_COUNT; i++) {
		feed_state_t *feed = &client->feeds[i];

		if (!feed->is_in_call || feed->step != STEP_WATCHING ||
		    !feed->is_to_store || feed->sent_us >= list->sent_us)
			continue;
		explain_by_readers(&feed->position, list);
		if (list->list_revision <=
		    feed_position_get_unchanged(&feed->position)) {
			feed->is_lost = false;
			feed->backoff_us = 0;
			set_complete(feed, MAX(feed->position.complete_us,
					       list->sent_boot_us));
		} else if (list->sent_us >=
			       feed->sent_us + get_check_interval_us(client) &&
			   !stream_has_unread(feed->stream)) {
			feed->is_checked = true;
			drop_call(feed, list->sent_us, 0);
		}
	}
	note_store_reached(client);
}

/* The store or the reader has answered a call. */
static void
record_success(feed_state_t *feed, int64_t now_us)
{
	store_client_t *client = feed->client;
	bool was_lost = feed->is_lost;

	feed->backoff_us = 0;
	feed->is_lost = feed->is_source_new = false;
	client->is_unconfirmed = false;
	if (!feed->is_to_store) {
		view_source_handle_reader_answer(client->source, now_us);
		return;
	}
	if (was_lost)
		log_fields(LOG_TIER_STORE_REGAINED,
		    "\"feed\":\"%s\",\"revision\":%" G_GINT64_FORMAT,
		    feed_names[feed->feed], feed->position.revision);
	if (was_lost && feed->feed == FEED_READERS)
		resume_feeds(client, now_us);
	note_store_reached(client);
}

/* Ends the task that view_source asked for. */
static void
fail_task(store_client_t *client, int64_t now_us)
{
	view_task_t task = client->task;

	client->task = VIEW_TASK_NONE;
	if (task == VIEW_TASK_CLAIM || task == VIEW_TASK_REPORT)
		view_source_handle_write(
		    client->source, now_us, VIEW_WRITE_FAILED, NULL);
	else if (task != VIEW_TASK_NONE)
		view_source_fail_list(client->source, now_us);
}

static void
log_store_lost(const feed_state_t *feed, const char *why)
{
	char plain_why[KEY_BYTES]; /* a parser's error may quote stored text */

	log_copy_plain(plain_why, sizeof(plain_why), why);
	log_fields(LOG_TIER_STORE_LOST,
	    "\"feed\":\"%s\",\"why\":\"%s\",\"revision\":%" G_GINT64_FORMAT
	    ",\"peer\":\"%s\"",
	    feed_names[feed->feed], plain_why, feed->position.revision,
	    feed->peer);
}

/* Closes the connection and schedules the next call after a backoff. */
static void
fail_call(feed_state_t *feed, const char *why)
{
	store_client_t *client = feed->client;
	int64_t now_us = clock_get_us();
	/* A waiting watch may be cut off by a store that is sound. */
	bool is_cut_watch = feed->step == STEP_WATCHING && feed->is_in_call &&
			    now_us - feed->sent_us > WATCH_PROMPT_US &&
			    now_us < feed->timeout_us;

	if (!feed->is_lost)
		log_store_lost(feed, why);
	feed->lost_us = now_us;
	feed->backoff_us =
	    CLAMP(feed->backoff_us * 2, BACKOFF_MIN_US, BACKOFF_MAX_US);
	drop_call(feed, now_us, feed->backoff_us);
	if (!feed->is_to_store) {
		/* The feeds fail one after the other; the first one counts. */
		if (strcmp(feed->peer, client->reader) == 0 &&
		    strcmp(feed->peer, get_reader(client)) == 0)
			view_source_handle_reader_failure(
			    client->source, now_us, feed->is_refused);
		loop_wake(client->loop);
		return;
	}
	feed->is_lost = true;
	if (!is_cut_watch)
		client->outage_us = now_us;
	metric_add(METRIC_TIER_STORE_FAILURES, 1);
	if (feed->feed == FEED_READERS)
		fail_task(client, now_us);
	else {
		view_source_set_store_lost(client->source, now_us, true);
		if (!client->feeds[FEED_READERS].is_lost)
			view_source_request_list(client->source, now_us);
	}
	update_serving(client);
	loop_wake(client->loop);
}

/* ---- Calls ---- */

static void
send_call(feed_state_t *feed, const GString *call, bool is_to_store,
    int64_t timeout_us)
{
	store_client_t *client = feed->client;
	const char *peer =
	    is_to_store ? client->settings.platform : client->reader;

	if (feed->stream != NULL && strcmp(feed->peer, peer) != 0)
		drop_call(feed, 0, 0);
	feed->is_to_store = is_to_store;
	g_strlcpy(feed->peer, peer, sizeof(feed->peer));
	if (feed->stream == NULL) {
		feed->has_bad_epoch = false;
		feed->stream =
		    stream_connect(client->loop, peer, &stream_callbacks, feed);
	}
	if (feed->stream == NULL) {
		fail_call(feed, "cannot connect");
		return;
	}
	feed->is_in_call = true;
	feed->is_overdue = false;
	feed->sent_us = clock_get_us();
	feed->sent_boot_us = clock_get_boot_us();
	feed->timeout_us = feed->sent_us + timeout_us;
	metric_add(
	    is_to_store ? METRIC_TIER_STORE_CALLS : METRIC_TIER_READER_CALLS,
	    1);
	stream_write(feed->stream, call->str, call->len);
}

/* Tells a reader which epoch this VM knows. The call ends with a blank line. */
static void
add_epoch(const feed_state_t *feed, GString *call, bool is_to_store)
{
	if (is_to_store || feed->client->epoch == 0)
		return;
	g_string_truncate(call, call->len - strlen("\r\n"));
	g_string_append_printf(call,
	    MIRROR_EPOCH_HEADER ": %" G_GINT64_FORMAT "\r\n\r\n",
	    feed->client->epoch);
}

/* Begins a list, or continues it with the next page. */
static void
send_list(feed_state_t *feed, bool is_to_store, bool may_be_stale)
{
	GString *call = g_string_new(NULL);
	int64_t timeout_us = CALL_TIMEOUT_US;

	if (feed->step != STEP_LISTING) {
		feed->list_sent_boot_us = clock_get_boot_us();
		feed->last_name[0] = '\0';
		g_hash_table_remove_all(feed->listed_names);
		g_array_set_size(feed->listed_readers, 0);
	}
	if (feed->feed == FEED_READERS && feed->client->mode == VIEW_READING)
		timeout_us = MIN(
		    timeout_us, view_source_get_probe_us(feed->client->source));
	feed->client->protocol->write_list(
	    call, feed->feed, feed->last_name, may_be_stale);
	add_epoch(feed, call, is_to_store);
	send_call(feed, call, is_to_store, timeout_us);
	if (feed->is_in_call)
		feed->step = STEP_LISTING;
	g_string_free(call, TRUE);
}

/* The wait of a follower's watch, which bounds how long a dead reader lasts. */
static int64_t
get_follower_wait_us(const store_client_t *client)
{
	int64_t bound_us =
	    MIN(client->settings.drain_us, client->settings.apply_us);

	return CLAMP((int64_t)((double)bound_us * FOLLOWER_WAIT_FRACTION),
	    FOLLOWER_WAIT_MIN_US, FOLLOWER_WAIT_MAX_US);
}

static void
send_watch(feed_state_t *feed)
{
	store_client_t *client = feed->client;
	bool is_to_store = is_at_store(client);
	int64_t wait_us = is_to_store
			      ? CLAMP(client->settings.apply_us, 1000000,
				    WATCH_WAIT_MAX_MS * (int64_t)1000)
			      : get_follower_wait_us(client);
	int64_t slack_us =
	    is_to_store ? WATCH_SLACK_US : MAX(wait_us, FOLLOWER_SLACK_MIN_US);
	GString *call = g_string_new(NULL);

	/* Several readers may be lost: a dead one must show without a wait. */
	if ((!is_to_store && feed->is_source_new) || feed->is_checked)
		wait_us = 0;
	client->protocol->write_watch(
	    call, feed->feed, feed->position.revision, wait_us / 1000);
	add_epoch(feed, call, is_to_store);
	send_call(feed, call, is_to_store, wait_us + slack_us);
	g_string_free(call, TRUE);
	if (!feed->is_in_call)
		return;
	feed->step = STEP_WATCHING;
	/* A store that fails now could lose the watch without a sign. */
	if (is_to_store)
		client->probe_due_us = feed->sent_us + WATCH_PROBE_DELAY_US;
}

static void
send_write(feed_state_t *feed, bool is_claim)
{
	store_client_t *client = feed->client;
	const reader_entry_t *own = view_source_get_own_entry(client->source);
	GString *call = g_string_new(NULL);

	if (is_claim)
		client->protocol->write_reader_claim(call, own);
	else
		client->protocol->write_reader_report(call, own);
	send_call(feed, call, true, CALL_TIMEOUT_US);
	if (feed->is_in_call)
		feed->step = STEP_WRITING;
	g_string_free(call, TRUE);
}

/*
 * While probes fail too, the other feeds wait for a successful one: each call
 * has a cost, even when it is rejected.
 */
static bool
is_waiting_for_store(const feed_state_t *feed, int64_t now_us)
{
	return is_at_store(feed->client) && feed->is_lost &&
	       feed->client->feeds[FEED_READERS].is_lost &&
	       now_us - feed->lost_us < LOST_FEED_WAIT_US;
}

/* A reader lists again if its journal has lost changes after the list. */
static bool
is_relist_due(feed_state_t *feed, int64_t now_us)
{
	const store_client_t *client = feed->client;
	int64_t interval_us = mirror_is_list_wanted(client->mirror, feed->feed)
				  ? RELIST_WANTED_US
				  : RELIST_INTERVAL_US;

	return client->mode == VIEW_READING && feed->feed != FEED_READERS &&
	       now_us >= feed->relisted_us + interval_us &&
	       !feed_journal_has_list(
		   mirror_get_journal(client->mirror, feed->feed));
}

/* A follower without a list has no view: its reader does not wait for a change
 * of its own. */
static void
interrupt_watch_for_list(feed_state_t *feed, int64_t now_us)
{
	if (feed->is_in_call && feed->is_to_store && feed->position.is_listed &&
	    feed->step == STEP_WATCHING &&
	    mirror_is_list_wanted(feed->client->mirror, feed->feed) &&
	    is_relist_due(feed, now_us))
		drop_call(feed, now_us, 0);
}

static void
begin_step(feed_state_t *feed, int64_t now_us)
{
	store_client_t *client = feed->client;

	if (is_waiting_for_store(feed, now_us))
		feed->next_call_us = feed->lost_us + LOST_FEED_WAIT_US;
	else if (client->mode == VIEW_SEARCHING)
		feed->next_call_us = INT64_MAX; /* until there is a source */
	else if (feed->position.is_listed && !feed->is_skipping &&
		 !is_relist_due(feed, now_us))
		send_watch(feed);
	else {
		if (feed->position.is_listed)
			feed->relisted_us = now_us;
		send_list(feed, is_at_store(client), false);
	}
}

/* The readers' feed: tasks at the store, and lists at the reader. */
static void
begin_readers_step(feed_state_t *feed, int64_t now_us)
{
	store_client_t *client = feed->client;

	switch (client->task) {
	case VIEW_TASK_LIST:
	case VIEW_TASK_LIST_FRESH:
		send_list(feed, true, client->task == VIEW_TASK_LIST);
		return;
	case VIEW_TASK_CLAIM:
	case VIEW_TASK_REPORT:
		send_write(feed, client->task == VIEW_TASK_CLAIM);
		return;
	case VIEW_TASK_NONE:
		break;
	}
	if (client->mode == VIEW_FOLLOWING &&
	    now_us >= client->readers_due_us) {
		client->readers_due_us = now_us + READERS_INTERVAL_US;
		send_list(feed, false, false);
	}
}

static void
schedule_call(feed_state_t *feed, int64_t now_us, int64_t delay_us)
{
	feed->step = STEP_WAITING;
	feed->next_call_us = now_us + delay_us;
	loop_wake(feed->client->loop);
}

/* ---- Epochs of the store ---- */

/* VMs that learn of a new epoch at the same moment do not all list at once. */
static int64_t
get_spread_us(const feed_state_t *feed)
{
	const tier_settings_t *settings = &feed->client->settings;
	double phase =
	    (double)(hash_text(settings->id) % SPREAD_STEPS) / SPREAD_STEPS;

	return feed->client->mode == VIEW_READING ||
		       feed->feed == FEED_CONFIGURATION
		   ? 0
		   : (int64_t)(phase * LEAVES_BATCH_FRACTION *
			       (double)settings->drain_us);
}

static void
log_epoch(const feed_state_t *feed, int64_t epoch)
{
	static const char *const steps[] = { "none", "list", "watch", "write" };
	const store_client_t *client = feed->client;

	metric_add(METRIC_TIER_STORE_RETURNS, 1);
	log_fields(LOG_TIER_STORE_EPOCH,
	    "\"from\":%" G_GINT64_FORMAT ",\"to\":%" G_GINT64_FORMAT
	    ",\"peer\":\"%s\",\"feed\":\"%s\",\"call\":\"%s\","
	    "\"view\":\"%s\",\"configuration_revision\":%" G_GINT64_FORMAT
	    ",\"leafs_revision\":%" G_GINT64_FORMAT,
	    client->epoch, epoch, feed->peer, feed_names[feed->feed],
	    steps[feed->step], view_source_get_mode_name(client->mode),
	    client->feeds[FEED_CONFIGURATION].position.revision,
	    client->feeds[FEED_LEAVES].position.revision);
}

/*
 * The store came back from an older copy. Revisions read before are void, and
 * what the view holds is checked against new lists. The view itself, with the
 * configuration in force, stays until then.
 */
static void
begin_epoch(feed_state_t *heard, int64_t epoch, int64_t now_us)
{
	store_client_t *client = heard->client;
	bool is_first = client->epoch == 0;

	if (!is_first)
		log_epoch(heard, epoch);
	client->epoch = epoch;
	metric_set(METRIC_TIER_STORE_EPOCH, epoch);
	mirror_begin_epoch(client->mirror, epoch, !is_first);
	store_view_begin_epoch(client->view, epoch, now_us);
	for (int i = 0; i < FEED_COUNT; i++)
		client->feeds[i].position.epoch = epoch;
	if (is_first)
		return;
	view_source_begin_epoch(client->source, now_us);
	client->readers_due_us = now_us + get_spread_us(heard);
	for (int i = 0; i < FEED_COUNT; i++) {
		feed_state_t *feed = &client->feeds[i];

		feed_position_begin_epoch(&feed->position, epoch);
		feed->is_epoch_new = feed->feed != FEED_READERS;
		if (feed == heard)
			continue;
		if (feed->feed == FEED_READERS &&
		    client->task != VIEW_TASK_NONE) {
			client->task = VIEW_TASK_NONE;
			view_source_drop_task(client->source, now_us);
		}
		drop_call(feed, now_us, get_spread_us(feed));
	}
	update_serving(client);
	loop_wake(client->loop);
}

/* Epoch of the answer; 0: it does not say, and counts as of the known one. */
static int64_t
read_epoch(feed_state_t *feed)
{
	const char *text;
	int64_t epoch;

	if (feed->is_to_store)
		text = feed->client->protocol->get_store_epoch(&feed->message);
	else
		text = http_get_header(&feed->message, MIRROR_EPOCH_HEADER);
	epoch = feed_position_parse_epoch(text);
	if (text != NULL && epoch == 0 && !feed->has_bad_epoch) {
		feed->has_bad_epoch = true;
		log_fields(LOG_TIER_BAD_EPOCH,
		    "\"feed\":\"%s\",\"peer\":\"%s\"", feed_names[feed->feed],
		    feed->peer);
	}
	return epoch;
}

/* An answer from before the store came back changes nothing. */
static void
ignore_answer(feed_state_t *feed, int64_t now_us)
{
	store_client_t *client = feed->client;

	if (feed->feed == FEED_READERS && feed->is_to_store) {
		client->task = VIEW_TASK_NONE;
		view_source_drop_task(client->source, now_us);
		drop_call(feed, now_us, 0);
		return;
	}
	feed->is_refused = !feed->is_to_store;
	fail_call(feed, "the answer is from before the store came back");
	feed->is_refused = false;
}

/* The first page of a list is of one epoch, whatever was read before. */
static bool
begins_list(const feed_state_t *feed)
{
	return feed->step == STEP_LISTING && feed->last_name[0] == '\0' &&
	       feed->message.parser.status_code == 200;
}

/* Returns whether the answer tells something of the present epoch. */
static bool
take_epoch(feed_state_t *feed, int64_t now_us)
{
	store_client_t *client = feed->client;
	int64_t epoch = read_epoch(feed);
	bool is_first = client->epoch == 0;

	switch (feed_position_compare_epoch(client->epoch, epoch)) {
	case EPOCH_SAME:
		return true;
	case EPOCH_OLDER:
		ignore_answer(feed, now_us);
		return false;
	case EPOCH_NEWER:
		break;
	}
	begin_epoch(feed, epoch, now_us);
	if (is_first || begins_list(feed))
		return true;
	if (feed->feed == FEED_READERS && feed->is_to_store &&
	    client->task != VIEW_TASK_NONE) {
		client->task = VIEW_TASK_NONE;
		view_source_drop_task(client->source, now_us);
	}
	http_message_reset(&feed->message);
	schedule_call(feed, now_us, get_spread_us(feed));
	return false;
}

/* ---- Answers ---- */

/* Sets the time that a reader's answer is of; false: it does not say. */
static bool
read_age(const feed_state_t *feed, int64_t *as_of_us)
{
	const char *age = http_get_header(&feed->message, MIRROR_AGE_HEADER);
	char *end;
	int64_t age_ms;

	if (feed->is_to_store || age == NULL)
		return false;
	age_ms = g_ascii_strtoll(age, &end, 10);
	*as_of_us = clock_get_boot_us() - age_ms * 1000;
	return end != age && age_ms >= 0 && *as_of_us >= 0;
}

/*
 * The time before which no change in the answer happened. A watch that waited
 * is answered at the first change, which this process reads within one turn of
 * its loop; one that did not wait tells of changes since the answer before.
 */
static int64_t
get_changes_since_us(const feed_state_t *feed)
{
	int64_t waited_until_us =
	    feed->client->run_boot_us[0] - WATCH_PROMPT_US;
	int64_t as_of_us;

	if (feed->step != STEP_WATCHING)
		return feed->position.complete_us;
	if (read_age(feed, &as_of_us))
		return MAX(feed->position.complete_us, as_of_us);
	return feed->is_to_store && waited_until_us > feed->sent_boot_us
		   ? MAX(feed->position.complete_us, waited_until_us)
		   : feed->position.complete_us;
}

static int64_t
get_call_delay_us(const feed_state_t *feed)
{
	const tier_settings_t *settings = &feed->client->settings;

	if (!feed->is_to_store)
		return 0;
	return feed->feed == FEED_CONFIGURATION
		   ? (int64_t)((double)settings->apply_us *
			       CONFIG_BATCH_FRACTION)
		   : (int64_t)((double)settings->drain_us *
			       LEAVES_BATCH_FRACTION);
}

static void
finish_readers(feed_state_t *feed, int64_t now_us)
{
	store_client_t *client = feed->client;

	if (feed->is_to_store)
		client->task = VIEW_TASK_NONE;
	view_source_set_readers(client->source, now_us,
	    (const reader_entry_t *)feed->listed_readers->data,
	    (int)feed->listed_readers->len, feed->is_to_store);
}

static void
finish_list(feed_state_t *feed, int64_t now_us)
{
	store_client_t *client = feed->client;
	feed_journal_t *journal =
	    mirror_get_journal(client->mirror, feed->feed);
	entry_removal_t removal = describe_removal(feed);
	int64_t as_of_us = feed->list_sent_boot_us;

	if (!feed->is_to_store && !read_age(feed, &as_of_us))
		as_of_us = feed->position.complete_us;
	feed->no_list_us = 0;
	if (feed->feed == FEED_READERS) {
		if (feed->is_to_store)
			confirm_watches(client, feed);
		finish_readers(feed, now_us);
		/* Followers must not go to the reader that an old claim names.
		 */
		if (view_source_is_claim_lost(client->source))
			return;
	}
	feed_journal_finish_list(journal, now_us, as_of_us, feed->list_revision,
	    feed->position.is_listed && !feed->is_skipping);
	mirror_clear_list_wanted(client->mirror, feed->feed);
	if (feed->feed == FEED_READERS)
		return;
	if (feed->is_skipping)
		feed_position_lose_history(&feed->position);
	feed->is_skipping = false;
	feed->large_pages = 0;
	if (feed->feed == FEED_LEAVES) {
		store_view_keep_entries(
		    client->view, &removal, feed->listed_names);
		client->has_leaves = true;
	}
	feed->is_epoch_new = false;
	/*
	 * Changes during a list of several pages are watched from its first
	 * page. A list that only shortens the journal changes no revision.
	 */
	feed_position_set_list(&feed->position, feed->list_revision, as_of_us);
	set_complete(feed, feed->position.complete_us);
	mirror_notify(client->mirror, feed->feed);
	update_serving(client);
}

static void
log_store_read(
    const feed_state_t *feed, bool is_list, int64_t revision, int64_t now_us)
{
	if (feed->feed == FEED_READERS ||
	    (revision == feed->position.revision && !is_list))
		return;
	log_fields(LOG_TIER_STORE_READ,
	    "\"feed\":\"%s\",\"call\":\"%s\",\"peer\":\"%s\","
	    "\"revision\":%" G_GINT64_FORMAT ",\"before\":%" G_GINT64_FORMAT
	    ",\"took_us\":%" G_GINT64_FORMAT,
	    feed_names[feed->feed], is_list ? "list" : "watch", feed->peer,
	    revision, feed->position.revision, now_us - feed->sent_us);
}

static void
handle_list_page(feed_state_t *feed, const feed_page_t *page, int64_t now_us)
{
	bool may_be_stale = feed->client->task == VIEW_TASK_LIST &&
			    feed->feed == FEED_READERS && feed->is_to_store;

	if (feed->last_name[0] == '\0')
		feed->list_revision = page->revision;
	feed_journal_add_list_page(
	    mirror_get_journal(feed->client->mirror, feed->feed),
	    feed->last_name, feed->message.body->str, feed->message.body->len);
	if (page->has_next_page) {
		http_message_reset(&feed->message);
		g_strlcpy(
		    feed->last_name, page->last_name, sizeof(feed->last_name));
		send_list(feed, feed->is_to_store, may_be_stale);
		return;
	}
	log_store_read(feed, true, page->revision, now_us);
	finish_list(feed, now_us);
	http_message_reset(&feed->message);
	schedule_call(feed, now_us, get_call_delay_us(feed));
}

/* Of several changes of one object, followers need the last. */
static void
add_to_journal(feed_state_t *feed, const feed_page_t *page, int64_t now_us)
{
	store_client_t *client = feed->client;
	const GString *body = feed->message.body;
	GString *compact = NULL;

	if (client->mode == VIEW_READING && page->count > 1 &&
	    body->len > COMPACT_MIN_BYTES) {
		compact = g_string_new(NULL);
		if (client->protocol->compact_events(
			compact, body->str, body->len))
			body = compact;
	}
	feed_journal_add_changes(mirror_get_journal(client->mirror, feed->feed),
	    now_us, feed->since_us, page->revision, page->count, body->str,
	    body->len);
	if (compact != NULL)
		g_string_free(compact, TRUE);
}

/*
 * Of many versions in a row the last one matters. A feed that is behind is
 * listed in place of read page after page. Returns whether it may be behind.
 */
static bool
is_behind(feed_state_t *feed, const feed_page_t *page, int64_t now_us)
{
	bool is_large =
	    page->count > 0 && feed->message.body->len >= LARGE_PAGE_BYTES;

	if (!is_large || now_us - feed->sent_us > LARGE_PAGE_US)
		feed->large_pages = 0;
	if (is_large && ++feed->large_pages >= LARGE_PAGES_MAX)
		feed->is_skipping = true;
	return is_large || page->count >= WATCH_PAGE_EVENTS;
}

static void
handle_changes(feed_state_t *feed, const feed_page_t *page, int64_t now_us)
{
	mirror_t *mirror = feed->client->mirror;
	bool more_follow = is_behind(feed, page, now_us);
	int64_t delay_us = get_call_delay_us(feed);

	log_store_read(feed, false, page->revision, now_us);
	if (feed->is_checked && page->count > 0)
		log_fields(LOG_TIER_WATCH_SILENT,
		    "\"feed\":\"%s\",\"peer\":\"%s\",\"changes\":%d",
		    feed_names[feed->feed], feed->peer, page->count);
	else if (feed->is_checked)
		delay_us = get_check_interval_us(feed->client);
	feed->is_checked = false;
	add_to_journal(feed, page, now_us);
	if (feed->is_to_store)
		for (int i = 0; i < FEED_COUNT; i++)
			feed_position_explain(&feed->client->feeds[i].position,
			    feed->position.revision, page->revision,
			    page->count);
	feed_position_advance(&feed->position, page->revision);
	set_complete(feed, feed->is_to_store && !more_follow
			       ? MAX(feed->since_us, feed->sent_boot_us)
			       : feed->since_us);
	http_message_reset(&feed->message);
	mirror_notify(mirror, feed->feed);
	schedule_call(feed, now_us, more_follow ? 0 : delay_us);
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
	store_view_begin_page(feed->client->view);
	feed->since_us = get_changes_since_us(feed);
	is_valid = (is_list ? protocol->read_list : protocol->read_events)(
	    feed->feed, feed->message.body->str, feed->message.body->len, &sink,
	    &page, &error);
	if (!is_valid) {
		if (!is_list)
			feed_position_lose_history(&feed->position);
		fail_call(feed, error.text);
		return;
	}
	record_success(feed, now_us);
	if (is_list)
		handle_list_page(feed, &page, now_us);
	else
		handle_changes(feed, &page, now_us);
}

/* Another VM may have changed the entry first: the response shows it. */
static void
handle_write_answer(feed_state_t *feed, int status, int64_t now_us)
{
	store_client_t *client = feed->client;
	reader_entry_t entry;
	bool has_entry = client->protocol->read_reader(
	    feed->message.body->str, feed->message.body->len, &entry);

	client->task = VIEW_TASK_NONE;
	http_message_reset(&feed->message);
	record_success(feed, now_us);
	view_source_handle_write(client->source, now_us,
	    status >= 200 && status < 300 ? VIEW_WRITE_DONE
					  : VIEW_WRITE_CONFLICT,
	    has_entry ? &entry : NULL);
	schedule_call(feed, now_us, 0);
}

/* The reader has listed again, or has to: its pages are others then. */
static void
handle_no_list(feed_state_t *feed, int64_t now_us)
{
	if (feed->no_list_us == 0)
		feed->no_list_us = now_us;
	if (now_us - feed->no_list_us > NO_LIST_PATIENCE_US) {
		feed->no_list_us = 0;
		fail_call(feed, "the reader has no list");
		return;
	}
	http_message_reset(&feed->message);
	schedule_call(feed, now_us, BACKOFF_MIN_US);
}

static void
handle_answer(feed_state_t *feed)
{
	int status = (int)feed->message.parser.status_code;
	bool is_kept = feed->message.is_persistent;
	int64_t now_us = clock_get_us();
	bool is_written =
	    feed->step == STEP_WRITING &&
	    ((status >= 200 && status < 300) || status == 404 || status == 409);

	feed->is_in_call = false;
	if (feed->is_to_store && feed->step != STEP_WATCHING)
		metric_observe(HISTOGRAM_TIER_STORE, now_us - feed->sent_us);
	if (!take_epoch(feed, now_us)) {
		/* Nothing of it is used. */
	} else if (status == 410 && feed->step == STEP_WATCHING) {
		/* The revision was compacted: list again. */
		feed_position_lose_history(&feed->position);
		http_message_reset(&feed->message);
		schedule_call(feed, now_us, 0);
		update_serving(feed->client);
	} else if (status == 404 && feed->step == STEP_LISTING &&
		   !feed->is_to_store) {
		handle_no_list(feed, now_us);
	} else if (is_written)
		handle_write_answer(feed, status, now_us);
	else if (status != 200) {
		char why[64];

		g_snprintf(why, sizeof(why), "status %d", status);
		feed->is_refused = status == 503;
		fail_call(feed, why);
		feed->is_refused = false;
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
		/* The same call would get the same answer. */
		if (feed->message.is_body_over_limit)
			feed_position_lose_history(&feed->position);
		fail_call(feed, http_message_get_problem(&feed->message));
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

/* ---- Time ---- */

/*
 * After a pause of the process its view is as old as the pause: it serves no
 * follower until a source has answered, and renews its watches.
 */
static void
detect_pause(store_client_t *client, int64_t now_us)
{
	int64_t suspended_us = clock_get_boot_us() - now_us;
	int64_t paused_us = client->last_run_us != 0
				? MAX(now_us - client->last_run_us,
				      suspended_us - client->suspended_us)
				: 0;
	bool was_suspended =
	    client->last_run_us != 0 &&
	    suspended_us - client->suspended_us > SUSPEND_MIN_US;

	client->last_run_us = now_us;
	client->suspended_us = suspended_us;
	if (paused_us < FREEZE_MIN_US && !was_suspended)
		return;
	client->is_unconfirmed = true;
	update_serving(client);
	for (int i = 0; i < FEED_COUNT; i++)
		if (client->feeds[i].is_in_call)
			fail_call(&client->feeds[i], "this process was paused");
	view_source_request_list(client->source, now_us);
}

static int64_t
run_feed(feed_state_t *feed, int64_t now_us)
{
	store_client_t *client = feed->client;

	/* If this process was not scheduled, it reads what waits first. */
	if (feed->is_in_call && now_us >= feed->timeout_us) {
		if (feed->is_overdue)
			fail_call(feed, "timeout");
		else
			loop_wake(client->loop);
		feed->is_overdue = true;
	}
	interrupt_watch_for_list(feed, now_us);
	if (!feed->is_in_call && feed->feed == FEED_READERS)
		begin_readers_step(feed, now_us);
	else if (!feed->is_in_call && now_us >= feed->next_call_us)
		begin_step(feed, now_us);
	if (feed->is_in_call)
		return feed->timeout_us;
	if (feed->feed != FEED_READERS)
		return feed->next_call_us;
	return client->mode == VIEW_FOLLOWING ? client->readers_due_us
					      : INT64_MAX;
}

static void
publish_directory(store_client_t *client, int64_t now_us)
{
	directory_t *directory;

	client->is_publish_scheduled = false;
	/* Nothing is published until both feeds were read. */
	if (!client->has_leaves)
		return;
	directory = store_view_build(client->view, client->vm_count);
	if (directory != NULL)
		client->callbacks.changed(client->callbacks.context, directory);
}

static int64_t
run_publishing(store_client_t *client, int64_t now_us)
{
	int64_t due_us = store_view_expire(client->view, now_us);
	int vm_count = view_source_get_vm_count(client->source);

	if (vm_count != client->vm_count) {
		client->vm_count = vm_count;
		metric_set(METRIC_TIER_VMS, vm_count);
		store_view_mark_changed(client->view);
	}
	if (store_view_is_changed(client->view) &&
	    !client->is_publish_scheduled) {
		client->is_publish_scheduled = true;
		client->publish_due_us = now_us + PUBLISH_DELAY_US;
	}
	if (!client->is_publish_scheduled)
		return due_us;
	if (now_us >= client->publish_due_us)
		publish_directory(client, now_us);
	else
		due_us = MIN(due_us, client->publish_due_us);
	return due_us;
}

static int64_t
run_timer(void *context)
{
	store_client_t *client = context;
	int64_t now_us = clock_get_us();
	int64_t due_us, task_due_us;

	detect_pause(client, now_us);
	client->run_boot_us[0] = client->run_boot_us[1];
	client->run_boot_us[1] = clock_get_boot_us();
	if (now_us >= client->probe_due_us) {
		client->probe_due_us = INT64_MAX;
		if (is_at_store(client))
			view_source_request_list(client->source, now_us);
	}
	if (mirror_take_epoch_doubt(client->mirror) && is_at_store(client))
		view_source_request_list(client->source, now_us);
	view_source_set_follower_count(
	    client->source, mirror_count_followers(client->mirror, now_us));
	if (client->task == VIEW_TASK_NONE)
		client->task =
		    view_source_tick(client->source, now_us, &task_due_us);
	else
		task_due_us = INT64_MAX;
	follow_source(client, now_us);
	due_us = MIN(task_due_us, client->probe_due_us);
	for (int i = 0; i < FEED_COUNT; i++)
		due_us = MIN(due_us, run_feed(&client->feeds[i], now_us));
	return MIN(due_us, run_publishing(client, now_us));
}
