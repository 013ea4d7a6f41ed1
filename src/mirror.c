/**
 * @file mirror.c
 * Serves this VM's view to the VMs that follow it: lists and watches of the
 * store's feeds, answered with the store's own responses from memory.
 *
 * A watch is answered at once if there are changes, else when its wait ends. A
 * VM that cannot vouch for its view refuses, so that its followers go on to
 * another one.
 */
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "feed_position.h"
#include "mirror.h"

#define CALL_HEAD_BYTES_MAX 4096
#define CALL_BODY_BYTES_MAX 0
#define CONNECTIONS_MAX	    1024
#define WAIT_MAX_MS	    30000
#define IDLE_MAX_US	    10000000 /* without a complete call: closed */
#define FOLLOWER_MAX_AGE_US 3000000  /* since its last watch */
#define CHECK_INTERVAL_US   1000000
#define ACCEPTS_PER_EVENT   16

typedef struct follower {
	LIST_ENTRY(follower) in_mirror;
	mirror_t *mirror;
	stream_t *stream;
	http_message_t message;
	bool is_waiting; /* for changes */
	feed_call_t call;
	int64_t epoch;	    /* that the follower knows; 0: it did not say */
	int64_t due_us;	    /* of a waiting call */
	int64_t active_us;  /* last complete call, or accepted */
	int64_t watched_us; /* last watch of the leaves; 0: none */
} follower_t;

struct mirror {
	loop_t *loop;
	const protocol_t *protocol;
	int fd;
	LIST_HEAD(, follower) followers;
	int connection_count;
	bool is_serving;
	bool is_epoch_doubted; /* a follower knows a later one */
	int64_t epoch;	       /* of the store; 0: unknown */
	int64_t check_due_us;
	feed_journal_t *journals[FEED_COUNT];
	bool is_list_wanted[FEED_COUNT];
	GString *scratch;
};

static void handle_accept(void *context, int fd, uint32_t events);
static void handle_received(void *context, const char *data, size_t length);
static void handle_closed(void *context, bool is_clean);
static int64_t run_timer(void *context);

static const stream_callbacks_t stream_callbacks = { NULL, handle_received,
	handle_closed };

mirror_t *
mirror_create(loop_t *loop, const protocol_t *protocol, const char *address,
    error_info_t *error)
{
	int fd = stream_listen(address, error);
	mirror_t *mirror;

	if (fd < 0)
		return NULL;
	mirror = g_new0(mirror_t, 1);
	mirror->loop = loop;
	mirror->protocol = protocol;
	mirror->fd = fd;
	mirror->scratch = g_string_sized_new(1024);
	LIST_INIT(&mirror->followers);
	for (int i = 0; i < FEED_COUNT; i++)
		mirror->journals[i] = feed_journal_create();
	loop_set_fd(loop, fd, EPOLLIN, handle_accept, mirror);
	loop_add_timer(loop, run_timer, mirror);
	return mirror;
}

static void
destroy_follower(follower_t *follower)
{
	LIST_REMOVE(follower, in_mirror);
	follower->mirror->connection_count--;
	stream_destroy(follower->stream);
	http_message_end(&follower->message);
	g_free(follower);
}

void
mirror_destroy(mirror_t *mirror)
{
	follower_t *follower, *next;

	if (mirror == NULL)
		return;
	for (follower = LIST_FIRST(&mirror->followers); follower != NULL;
	     follower = next) {
		next = LIST_NEXT(follower, in_mirror);
		destroy_follower(follower);
	}
	loop_remove_timer(mirror->loop, run_timer, mirror);
	loop_unset_fd(mirror->loop, mirror->fd);
	close(mirror->fd);
	for (int i = 0; i < FEED_COUNT; i++)
		feed_journal_destroy(mirror->journals[i]);
	g_string_free(mirror->scratch, TRUE);
	g_free(mirror);
}

feed_journal_t *
mirror_get_journal(mirror_t *mirror, feed_t feed)
{
	return mirror->journals[feed];
}

bool
mirror_is_list_wanted(const mirror_t *mirror, feed_t feed)
{
	return mirror->is_list_wanted[feed];
}

void
mirror_clear_list_wanted(mirror_t *mirror, feed_t feed)
{
	mirror->is_list_wanted[feed] = false;
}

int
mirror_count_followers(const mirror_t *mirror, int64_t now_us)
{
	const follower_t *follower;
	int count = 0;

	LIST_FOREACH(follower, &mirror->followers, in_mirror)
	count += follower->watched_us != 0 &&
		 now_us - follower->watched_us < FOLLOWER_MAX_AGE_US;
	return count;
}

static void
handle_accept(void *context, int fd, uint32_t events)
{
	mirror_t *mirror = context;

	for (int i = 0; i < ACCEPTS_PER_EVENT; i++) {
		int accepted =
		    accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
		follower_t *follower;

		if (accepted < 0)
			return;
		if (mirror->connection_count >= CONNECTIONS_MAX) {
			close(accepted);
			return;
		}
		follower = g_new0(follower_t, 1);
		follower->mirror = mirror;
		follower->active_us = clock_get_us();
		http_message_begin(&follower->message, true,
		    CALL_HEAD_BYTES_MAX, CALL_BODY_BYTES_MAX);
		follower->stream = stream_create_from_fd(
		    mirror->loop, accepted, &stream_callbacks, follower);
		mirror->connection_count++;
		LIST_INSERT_HEAD(&mirror->followers, follower, in_mirror);
	}
}

/* ---- Answers ---- */

/* as_of_us: of the boot clock, which counts suspensions too. */
static void
answer(follower_t *follower, int status, int64_t as_of_us, const char *body,
    size_t length)
{
	GString *out = g_string_truncate(follower->mirror->scratch, 0);
	int64_t age_us = clock_get_boot_us() - as_of_us;

	follower->is_waiting = false;
	g_string_append_printf(out,
	    "HTTP/1.1 %d %s\r\nContent-Type: "
	    "application/json\r\n" MIRROR_AGE_HEADER ": %" G_GINT64_FORMAT
	    "\r\n",
	    status, http_get_reason_phrase(status), age_us / 1000);
	if (follower->mirror->epoch != 0)
		g_string_append_printf(out,
		    MIRROR_EPOCH_HEADER ": %" G_GINT64_FORMAT "\r\n",
		    follower->mirror->epoch);
	g_string_append_printf(
	    out, "Content-Length: %" G_GSIZE_FORMAT "\r\n\r\n", length);
	g_string_append_len(out, body, (gssize)length);
	stream_write(follower->stream, out->str, out->len);
}

static void
refuse(follower_t *follower, int status)
{
	answer(follower, status, 0, "", 0);
}

static void
answer_list(follower_t *follower)
{
	int64_t as_of_us = 0;
	const GString *body = feed_journal_find_list_page(
	    follower->mirror->journals[follower->call.feed],
	    follower->call.last_name, &as_of_us);

	if (body == NULL) {
		refuse(follower, 404);
		if (!feed_journal_has_list(
			follower->mirror->journals[follower->call.feed]))
			follower->mirror->is_list_wanted[follower->call.feed] =
			    true;
		loop_wake(follower->mirror->loop);
	} else
		answer(follower, 200, as_of_us, body->str, body->len);
}

/* Answers a watch if it is due; otherwise it goes on waiting. */
static void
answer_watch(follower_t *follower, int64_t now_us)
{
	mirror_t *mirror = follower->mirror;
	const feed_journal_t *journal = mirror->journals[follower->call.feed];
	const GString *body = NULL;
	GString *none;
	int64_t as_of_us;

	switch (feed_journal_find_changes(
	    journal, follower->call.revision, &body, &as_of_us)) {
	case JOURNAL_COMPACTED:
		refuse(follower, 410);
		return;
	case JOURNAL_CHANGED:
		answer(follower, 200, as_of_us, body->str, body->len);
		return;
	case JOURNAL_CURRENT:
		break;
	}
	if (now_us < follower->due_us)
		return;
	none = g_string_new(NULL);
	mirror->protocol->write_no_changes(none,
	    MAX(feed_journal_get_revision(journal), follower->call.revision));
	answer(follower, 200, as_of_us, none->str, none->len);
	g_string_free(none, TRUE);
}

static void
begin_call(follower_t *follower)
{
	mirror_t *mirror = follower->mirror;
	int64_t now_us = clock_get_us();

	follower->active_us = now_us;
	if (feed_position_compare_epoch(mirror->epoch, follower->epoch) ==
		EPOCH_NEWER &&
	    mirror->epoch != 0) {
		mirror->is_epoch_doubted = true;
		loop_wake(mirror->loop);
		refuse(follower, 503);
		return;
	}
	if (!mirror->is_serving) {
		refuse(follower, 503);
		return;
	}
	if (!follower->call.is_watch) {
		answer_list(follower);
		return;
	}
	if (follower->call.feed == FEED_LEAVES)
		follower->watched_us = now_us;
	/* Its revision is of an epoch before. */
	if (feed_position_compare_epoch(mirror->epoch, follower->epoch) ==
	    EPOCH_OLDER) {
		refuse(follower, 410);
		return;
	}
	follower->is_waiting = true;
	follower->due_us =
	    now_us +
	    CLAMP(follower->call.wait_ms, 0, WAIT_MAX_MS) * (int64_t)1000;
	answer_watch(follower, now_us);
	loop_wake(mirror->loop); /* the timer has to know the new due time */
}

static void
reject(follower_t *follower, const char *why)
{
	log_fields(LOG_TIER_FOLLOWER_REJECTED, "\"why\":\"%s\"", why);
	metric_add(METRIC_BAD_REQUESTS, 1);
	destroy_follower(follower);
}

static void
handle_received(void *context, const char *data, size_t length)
{
	follower_t *follower = context;
	size_t used;

	if (follower->is_waiting) {
		reject(follower, "bytes during a call");
		return;
	}
	switch (http_message_feed(&follower->message, data, length, &used)) {
	case HTTP_INCOMPLETE:
		return;
	case HTTP_INVALID:
		reject(follower, "not HTTP");
		return;
	case HTTP_COMPLETE:
		break;
	}
	if (used < length ||
	    strcmp(http_get_method(&follower->message), "GET") != 0 ||
	    !follower->mirror->protocol->read_feed_call(
		http_get_target(&follower->message), &follower->call)) {
		reject(follower, "not a list or a watch");
		return;
	}
	follower->epoch = feed_position_parse_epoch(
	    http_get_header(&follower->message, MIRROR_EPOCH_HEADER));
	http_message_reset(&follower->message);
	begin_call(follower);
}

static void
handle_closed(void *context, bool is_clean)
{
	destroy_follower(context);
}

/* ---- Changes and time ---- */

void
mirror_notify(mirror_t *mirror, feed_t feed)
{
	follower_t *follower;
	int64_t now_us = clock_get_us();

	if (!mirror->is_serving)
		return;
	LIST_FOREACH(follower, &mirror->followers, in_mirror)
	if (follower->is_waiting && follower->call.feed == feed)
		answer_watch(follower, now_us);
}

void
mirror_begin_epoch(mirror_t *mirror, int64_t epoch, bool is_return)
{
	follower_t *follower;

	mirror->epoch = epoch;
	if (!is_return)
		return;
	for (int i = 0; i < FEED_COUNT; i++)
		feed_journal_reset(mirror->journals[i]);
	LIST_FOREACH(follower, &mirror->followers, in_mirror)
	if (follower->is_waiting)
		refuse(follower, 410);
}

bool
mirror_take_epoch_doubt(mirror_t *mirror)
{
	bool is_doubted = mirror->is_epoch_doubted;

	mirror->is_epoch_doubted = false;
	return is_doubted;
}

void
mirror_set_serving(mirror_t *mirror, bool is_serving)
{
	follower_t *follower;

	if (mirror->is_serving == is_serving)
		return;
	mirror->is_serving = is_serving;
	LIST_FOREACH(follower, &mirror->followers, in_mirror)
	if (!is_serving && follower->is_waiting)
		refuse(follower, 503);
}

static int64_t
run_timer(void *context)
{
	mirror_t *mirror = context;
	follower_t *follower, *next;
	int64_t now_us, due_us;

	if (LIST_EMPTY(&mirror->followers))
		return INT64_MAX;
	now_us = clock_get_us();
	if (now_us >= mirror->check_due_us)
		mirror->check_due_us = now_us + CHECK_INTERVAL_US;
	due_us = mirror->check_due_us;
	for (follower = LIST_FIRST(&mirror->followers); follower != NULL;
	     follower = next) {
		next = LIST_NEXT(follower, in_mirror);
		if (follower->is_waiting && now_us >= follower->due_us)
			answer_watch(follower, now_us);
		if (follower->is_waiting)
			due_us = MIN(due_us, follower->due_us);
		else if (now_us - follower->active_us > IDLE_MAX_US)
			destroy_follower(follower);
	}
	return due_us;
}
