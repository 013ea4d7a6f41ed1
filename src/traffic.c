/**
 * @file traffic.c
 * One traffic thread: its event loop, its core and the I/O layer that executes
 * the core's actions. It takes no locks; it exchanges messages with the control
 * thread through mailboxes.
 */
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>

#include "traffic.h"

#define STATUS_PERIOD_US 300000
#define PAUSE_MIN_US	 600000 /* the loop turns once in STATUS_PERIOD_US */
#define FINISH_LINGER_US 200000 /* without a request, before the stop */
#define FINISH_CHECK_US	 20000

struct traffic {
	const vm_settings_t *settings;
	int thread;
	loop_t *loop;
	core_t *core;
	frontend_t *frontend;
	leaf_client_t *leaves;
	peer_link_t *peer_link;
	mailbox_t *inbox, *outbox;
	bool is_ready, is_finishing, is_idle_reported;
	char
	    *status; /* VM status as JSON, as last sent by the control thread */
	int64_t next_status_us;
	int64_t turned_boot_us; /* last turn of the loop */
	int64_t busy_us;	/* while finishing: last time with a request */
	int64_t peer_bytes;
};

static void handle_event(void *context, const event_t *event);
static void handle_peer(void *context, const void *data, size_t length);
static void handle_inbox(void *context, int fd, uint32_t events);
static void handle_thread_message(
    traffic_t *traffic, thread_message_t *message);
static void run_actions(traffic_t *traffic);
static void run_action(traffic_t *traffic, action_t *action);
static void send_message(traffic_t *traffic, thread_message_t *message);
static int64_t handle_timer(void *context);
static void report_status(traffic_t *traffic, int64_t now_us);
static char *get_page(
    void *context, const char *path, int *http_status, const char **type);

thread_message_t *
thread_message_create(thread_message_type_t type)
{
	thread_message_t *message = g_new0(thread_message_t, 1);

	message->type = type;
	return message;
}

void
thread_message_destroy(thread_message_t *message)
{
	fleet_release(message->fleet);
	g_free(message->body);
	g_free(message);
}

traffic_t *
traffic_create(const vm_settings_t *settings, int thread, mailbox_t *inbox,
    mailbox_t *outbox, error_info_t *error)
{
	traffic_t *traffic = g_new0(traffic_t, 1);
	frontend_callbacks_t callbacks = { handle_event, get_page, traffic };
	core_options_t options = { .thread = thread, .log = log_write };

	snprintf(options.endpoint, sizeof(options.endpoint), "tcp://%s:%d",
	    settings->address, settings->peer_port + 1 + thread);
	g_strlcpy(options.self_id, settings->id, sizeof(options.self_id));
	options.seed = (uint64_t)clock_get_wall_us();
	traffic->settings = settings;
	traffic->thread = thread;
	traffic->inbox = inbox;
	traffic->outbox = outbox;
	traffic->loop = loop_create();
	traffic->core = core_create(&options);
	traffic->leaves =
	    leaf_client_create(traffic->loop, handle_event, traffic);
	traffic->peer_link = peer_link_create(traffic->loop, options.endpoint,
	    settings->curve_public, settings->curve_secret, handle_peer,
	    traffic, error);
	if (traffic->peer_link != NULL)
		traffic->frontend =
		    frontend_create(traffic->loop, settings->address,
			settings->caller_port, thread, &callbacks, error);
	if (traffic->frontend == NULL) {
		traffic_destroy(traffic);
		return NULL;
	}
	loop_set_fd(traffic->loop, mailbox_get_fd(inbox), EPOLLIN, handle_inbox,
	    traffic);
	loop_add_timer(traffic->loop, handle_timer, traffic);
	return traffic;
}

void
traffic_destroy(traffic_t *traffic)
{
	frontend_destroy(traffic->frontend);
	peer_link_destroy(traffic->peer_link);
	leaf_client_destroy(traffic->leaves);
	core_destroy(traffic->core);
	loop_destroy(traffic->loop);
	g_free(traffic->status);
	g_free(traffic);
}

gpointer
traffic_run(gpointer context)
{
	traffic_t *traffic = context;

	loop_run(traffic->loop);
	return NULL;
}

static void
handle_event(void *context, const event_t *event)
{
	traffic_t *traffic = context;

	core_handle(traffic->core, clock_get_us(), event);
	run_actions(traffic);
}

static void
handle_peer(void *context, const void *data, size_t length)
{
	event_t event = {
		.type = EVENT_PEER, .body = data, .body_length = length
	};

	handle_event(context, &event);
}

/* The boot clock also shows a suspension of the machine. */
static void
detect_pause(traffic_t *traffic)
{
	int64_t boot_us = clock_get_boot_us();

	if (traffic->turned_boot_us != 0 &&
	    boot_us - traffic->turned_boot_us > PAUSE_MIN_US)
		core_note_pause(traffic->core, clock_get_us());
	traffic->turned_boot_us = boot_us;
}

static void
handle_inbox(void *context, int fd, uint32_t events)
{
	traffic_t *traffic = context;
	thread_message_t *message;

	detect_pause(traffic);
	mailbox_clear_fd(traffic->inbox);
	while ((message = mailbox_receive(traffic->inbox)) != NULL) {
		handle_thread_message(traffic, message);
		thread_message_destroy(message);
	}
}

static void
handle_thread_message(traffic_t *traffic, thread_message_t *message)
{
	event_t event = { 0 };

	switch (message->type) {
	case THREAD_MESSAGE_FLEET:
		event.type = EVENT_FLEET;
		event.fleet = message->fleet;
		handle_event(traffic, &event);
		break;
	case THREAD_MESSAGE_CLAIM:
		event.type = EVENT_CLAIM;
		event.request = message->request;
		event.claim = message->claim;
		event.body = message->body;
		event.body_length = message->length;
		handle_event(traffic, &event);
		break;
	case THREAD_MESSAGE_RECORD:
		event.type = EVENT_RECORDED;
		event.request = message->request;
		handle_event(traffic, &event);
		break;
	case THREAD_MESSAGE_STATUS:
		g_free(traffic->status);
		traffic->status = g_steal_pointer(&message->body);
		traffic->is_ready = message->is_ready;
		break;
	case THREAD_MESSAGE_CLOSE_CONNECTIONS:
		frontend_set_closing(traffic->frontend);
		break;
	case THREAD_MESSAGE_STOP_ACCEPTING:
		traffic->is_finishing = true;
		traffic->busy_us = clock_get_us();
		frontend_stop_accepting(traffic->frontend);
		break;
	case THREAD_MESSAGE_STOP_LOOP:
		loop_stop(traffic->loop);
		break;
	case THREAD_MESSAGE_INSTANCE_LEAVING:
	case THREAD_MESSAGE_IDLE:
		break;
	}
}

static void
run_actions(traffic_t *traffic)
{
	action_t action;

	while (core_take_action(traffic->core, &action)) {
		run_action(traffic, &action);
		action_clear(&action);
	}
}

static void
run_action(traffic_t *traffic, action_t *action)
{
	thread_message_t *message;

	switch (action->type) {
	case ACTION_LEAF_SEND:
	case ACTION_LEAF_CANCEL:
		leaf_client_run(traffic->leaves, action);
		break;
	case ACTION_PEER_SEND:
		metric_add(METRIC_PEER_BYTES, (int64_t)action->body_length);
		peer_link_send(traffic->peer_link, action->address,
		    action->body, action->body_length);
		break;
	case ACTION_ANSWER:
		frontend_answer(traffic->frontend, action->caller,
		    action->http_status, action->retry_after_s, action->body,
		    action->body_length);
		break;
	case ACTION_CLAIM:
	case ACTION_RECORD:
		message = thread_message_create(action->type == ACTION_CLAIM
						    ? THREAD_MESSAGE_CLAIM
						    : THREAD_MESSAGE_RECORD);
		message->request = action->request;
		message->issued_us = action->issued_us;
		message->retention_us = action->retention_us;
		message->try_number = action->try_number;
		message->body_hash = action->body_hash;
		message->timeout_us = action->timeout_us;
		message->has_run = action->has_run;
		message->body = g_steal_pointer(&action->body);
		message->length = action->body_length;
		g_strlcpy(message->key, action->key, sizeof(message->key));
		send_message(traffic, message);
		break;
	case ACTION_REPORT_LEAVING:
		message =
		    thread_message_create(THREAD_MESSAGE_INSTANCE_LEAVING);
		message->instance = action->instance;
		send_message(traffic, message);
		break;
	}
}

/*
 * Drops the message if the mailbox is full. A dropped claim times out as not
 * run.
 */
static void
send_message(traffic_t *traffic, thread_message_t *message)
{
	if (!mailbox_send(traffic->outbox, message))
		thread_message_destroy(message);
}

static int64_t
handle_timer(void *context)
{
	traffic_t *traffic = context;
	int64_t now_us = clock_get_us();
	event_t tick = { .type = EVENT_TICK };

	detect_pause(traffic);
	if (core_get_next_timer(traffic->core) <= now_us)
		handle_event(traffic, &tick);
	if (now_us >= traffic->next_status_us)
		report_status(traffic, now_us);
	if (frontend_count_requests(traffic->frontend) > 0 ||
	    !core_is_idle(traffic->core))
		traffic->busy_us = now_us;
	if (traffic->is_finishing && !traffic->is_idle_reported &&
	    now_us - traffic->busy_us >= FINISH_LINGER_US) {
		traffic->is_idle_reported = true;
		send_message(
		    traffic, thread_message_create(THREAD_MESSAGE_IDLE));
	}
	return MIN(core_get_next_timer(traffic->core),
	    traffic->is_finishing ? now_us + FINISH_CHECK_US
				  : traffic->next_status_us);
}

static void
report_status(traffic_t *traffic, int64_t now_us)
{
	thread_message_t *message =
	    thread_message_create(THREAD_MESSAGE_STATUS);
	char *leaves = core_format_leaves(traffic->core);
	core_status_t status;
	GString *text;

	traffic->next_status_us = now_us + STATUS_PERIOD_US;
	core_get_status(traffic->core, &status);
	text = g_string_new(NULL);
	g_string_append_printf(text,
	    "{\"thread\":%d,\"queries\":%" G_GINT64_FORMAT
	    ",\"orders\":%" G_GINT64_FORMAT ",\"in_flight\":%" G_GINT64_FORMAT
	    ",\"ejected\":%" G_GINT64_FORMAT ",\"leaving\":%" G_GINT64_FORMAT
	    ",\"hedge_tokens\":%.1f,\"retry_tokens\":%.1f,",
	    traffic->thread, status.queries, status.orders, status.in_flight,
	    status.ejected, status.leaving, status.hedge_tokens,
	    status.retry_tokens);
	g_string_append_printf(text,
	    "\"queued\":[%" G_GINT64_FORMAT ",%" G_GINT64_FORMAT
	    ",%" G_GINT64_FORMAT "],\"ranks\":[",
	    status.queued[0], status.queued[1], status.queued[2]);
	for (rank_t rank = 0; rank < RANK_COUNT; rank++) {
		const rank_status_t *row = &status.ranks[rank];

		g_string_append_printf(text,
		    "%s{\"rank\":\"%s\",\"answered\":%" G_GINT64_FORMAT
		    ",\"partial\":%" G_GINT64_FORMAT
		    ",\"refused\":%" G_GINT64_FORMAT
		    ",\"coverage\":%.5f,\"p50_us\":%.0f,\"p99_us\":%.0f}",
		    rank > 0 ? "," : "", rank_get_name(rank), row->answered,
		    row->partial, row->refused, row->coverage, row->p50_us,
		    row->p99_us);
	}
	g_string_append_printf(text, "],\"leaves\":%s}", leaves);
	message->body = g_string_free(text, FALSE);
	g_free(leaves);
	send_message(traffic, message);
}

static char *
get_page(void *context, const char *path, int *http_status, const char **type)
{
	traffic_t *traffic = context;

	*type = "text/plain; charset=utf-8";
	if (strcmp(path, "/live") == 0)
		return g_strdup("live\n");
	if (strcmp(path, "/ready") == 0) {
		*http_status = traffic->is_ready ? 200 : 503;
		return g_strdup(traffic->is_ready ? "ready\n" : "not ready\n");
	}
	if (strcmp(path, "/metrics") == 0)
		return metric_format_text();
	if (strcmp(path, "/") == 0) {
		*type = "text/html; charset=utf-8";
		return status_page_format(
		    traffic->status != NULL ? traffic->status : "{}");
	}
	if (strcmp(path, "/status") == 0) {
		*type = "application/json";
		return g_strdup(
		    traffic->status != NULL ? traffic->status : "{}");
	}
	return NULL;
}
