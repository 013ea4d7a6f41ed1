/**
 * @file server.c
 * Process of one VM. The control thread runs membership, settings, the ledger
 * and the platform client, and starts and stops the traffic threads.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <time.h>
#include <unistd.h>

#include "traffic.h"

#define CONFIG_PREFIX		"config/"
#define STATUS_PERIOD_US	300000
#define PUBLISH_INTERVAL_MIN_US 20000
#define REQUEST_THREAD_SHIFT	56

/* Maximum time to finish requests after new connections are refused. */
#define STOP_TIMEOUT_US 30000000

typedef enum stop_state {
	STOP_NONE,
	STOP_DRAINING,
	STOP_FINISHING,
	STOP_ENDED
} stop_state_t;

typedef struct server {
	const vm_settings_t *settings;
	loop_t *loop;
	control_t *control;
	ledger_t *ledger;
	platform_t *platform;
	peer_link_t *peer_link;
	int thread_count;
	traffic_t **traffic;
	mailbox_t **inboxes, **outboxes; /* of the traffic threads */
	GThread **threads;
	char **thread_statuses;
	int signal_fd;
	stop_state_t stop_state;
	int64_t stop_deadline_us;
	int idle_threads;
	bool is_changed, is_ready_logged;
	int64_t next_publish_us, next_status_us;
	fleet_t *fleet;
} server_t;

static bool start_server(server_t *server, error_info_t *error);
static void stop_server(server_t *server);
static void send_control(
    void *context, const char *endpoint, const void *data, size_t length);
static void request_vm_list(void *context);
static void watch_documents(void *context, uint64_t after);
static void set_changed(void *context);
static void get_object(void *context, const char *name);
static void put_object(void *context, const char *name, uint64_t version,
    const char *body, size_t length);
static void report_claim(void *context, uint64_t request, claim_status_t status,
    const char *body, size_t length);
static void report_recorded(void *context, uint64_t request);
static void handle_control_message(
    void *context, const void *data, size_t length);
static void handle_outbox(void *context, int fd, uint32_t events);
static void handle_signal(void *context, int fd, uint32_t events);
static int64_t handle_timer(void *context);
static void handle_thread_message(
    server_t *server, int thread, thread_message_t *message);
static void publish_fleet(server_t *server, int64_t now_us);
static void publish_status(server_t *server, int64_t now_us);
static void advance_stop(server_t *server, int64_t now_us);
static void broadcast(server_t *server, thread_message_type_t type);
static void send_message(
    server_t *server, int thread, thread_message_t *message);

int
server_run(const vm_settings_t *settings)
{
	server_t server = { .settings = settings };
	error_info_t error = { 0 };

	log_begin(settings->log_level, settings->log_json);
	if (!start_server(&server, &error)) {
		log_printf(LOG_SERVER_FAILED,
		    "server: %s failed for %s: %s; the process exits",
		    error.step, error.peer, error.text);
		stop_server(&server);
		return 1;
	}
	log_printf(LOG_SERVER_STARTED,
	    "server: VM %s in zone %s listens on %s:%d with %d traffic threads",
	    settings->id, settings->zone, settings->address,
	    settings->caller_port, settings->threads);
	loop_run(server.loop);
	stop_server(&server);
	log_printf(LOG_SERVER_STOPPED, "server: VM %s stopped", settings->id);
	return 0;
}

static bool
start_server(server_t *server, error_info_t *error)
{
	const vm_settings_t *settings = server->settings;
	control_callbacks_t control_callbacks = { send_control, request_vm_list,
		watch_documents, set_changed, log_write, server };
	ledger_callbacks_t ledger_callbacks = { get_object, put_object,
		report_claim, report_recorded, server };
	member_t self = { .peer_port = settings->peer_port,
		.threads = settings->threads };
	char endpoint[ENDPOINT_BYTES];
	sigset_t signals;
	uint64_t seed = (uint64_t)clock_get_wall_us();

	g_strlcpy(self.id, settings->id, sizeof(self.id));
	g_strlcpy(self.zone, settings->zone, sizeof(self.zone));
	g_strlcpy(self.region, settings->region, sizeof(self.region));
	g_strlcpy(self.address, settings->address, sizeof(self.address));
	self.incarnation = seed;
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	signal(SIGPIPE, SIG_IGN);
	server->signal_fd = signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
	server->loop = loop_create();
	loop_set_fd(
	    server->loop, server->signal_fd, EPOLLIN, handle_signal, server);
	server->platform = platform_create(server->loop, settings->platform);
	server->control = control_create(&self, seed, &control_callbacks);
	control_set_seeds(server->control, settings->seeds);
	server->ledger = ledger_create(
	    settings->id, seed ^ hash_text(settings->id), &ledger_callbacks);
	snprintf(endpoint, sizeof(endpoint), "tcp://%s:%d", settings->address,
	    settings->peer_port);
	server->peer_link =
	    peer_link_create(server->loop, endpoint, settings->curve_public,
		settings->curve_secret, handle_control_message, server, error);
	if (server->peer_link == NULL)
		return false;
	server->traffic = g_new0(traffic_t *, settings->threads);
	server->inboxes = g_new0(mailbox_t *, settings->threads);
	server->outboxes = g_new0(mailbox_t *, settings->threads);
	server->threads = g_new0(GThread *, settings->threads);
	server->thread_statuses = g_new0(char *, settings->threads);
	for (int i = 0; i < settings->threads; i++) {
		server->inboxes[i] = mailbox_create();
		server->outboxes[i] = mailbox_create();
		server->thread_count++;
		server->traffic[i] = traffic_create(settings, i,
		    server->inboxes[i], server->outboxes[i], error);
		if (server->traffic[i] == NULL)
			return false;
		loop_set_fd(server->loop, mailbox_get_fd(server->outboxes[i]),
		    EPOLLIN, handle_outbox, server);
	}
	for (int i = 0; i < settings->threads; i++)
		server->threads[i] =
		    g_thread_new("traffic", traffic_run, server->traffic[i]);
	loop_add_timer(server->loop, handle_timer, server);
	return true;
}

static void
stop_server(server_t *server)
{
	for (int i = 0; i < server->thread_count; i++) {
		if (server->threads[i] != NULL) {
			send_message(server, i,
			    thread_message_create(THREAD_MESSAGE_STOP_LOOP));
			g_thread_join(server->threads[i]);
		}
		if (server->traffic[i] != NULL)
			traffic_destroy(server->traffic[i]);
		for (thread_message_t *message;
		     (message = mailbox_receive(server->inboxes[i])) != NULL;)
			thread_message_destroy(message);
		for (thread_message_t *message;
		     (message = mailbox_receive(server->outboxes[i])) != NULL;)
			thread_message_destroy(message);
		mailbox_destroy(server->inboxes[i]);
		mailbox_destroy(server->outboxes[i]);
		g_free(server->thread_statuses[i]);
	}
	g_free(server->traffic);
	g_free(server->inboxes);
	g_free(server->outboxes);
	g_free(server->threads);
	g_free(server->thread_statuses);
	peer_link_destroy(server->peer_link);
	platform_destroy(server->platform);
	ledger_destroy(server->ledger);
	control_destroy(server->control);
	fleet_release(server->fleet);
	loop_destroy(server->loop);
	close(server->signal_fd);
}

static void
send_control(
    void *context, const char *endpoint, const void *data, size_t length)
{
	server_t *server = context;

	metric_add(METRIC_CONTROL_BYTES, (int64_t)length);
	peer_link_send(server->peer_link, endpoint, data, length);
}

static void
handle_vm_list(void *context, const char *name, const platform_reply_t *reply)
{
	server_t *server = context;
	GArray *members = g_array_new(FALSE, TRUE, sizeof(member_t));
	bool is_ok = reply->status == REPLY_OK &&
		     platform_parse_vms(reply->body, reply->length, members);

	control_handle_list(server->control, clock_get_us(), is_ok,
	    (const member_t *)(void *)members->data, (int)members->len);
	g_array_unref(members);
}

static void
request_vm_list(void *context)
{
	server_t *server = context;

	platform_list_vms(server->platform, handle_vm_list, server);
}

static void
handle_changes(void *context, const char *name, const platform_reply_t *reply)
{
	server_t *server = context;
	GArray *documents = g_array_new(FALSE, TRUE, sizeof(document_t));
	uint64_t revision = 0;
	bool is_ok = reply->status == REPLY_OK &&
		     platform_parse_changes(reply->body, reply->length,
			 CONFIG_PREFIX, &revision, documents);

	control_handle_watch(server->control, clock_get_us(), is_ok, revision,
	    (const document_t *)(void *)documents->data, (int)documents->len);
	for (guint i = 0; i < documents->len; i++)
		g_free(g_array_index(documents, document_t, i).body);
	g_array_unref(documents);
}

static void
watch_documents(void *context, uint64_t after)
{
	server_t *server = context;

	platform_watch(
	    server->platform, CONFIG_PREFIX, after, handle_changes, server);
}

static void
set_changed(void *context)
{
	server_t *server = context;

	server->is_changed = true;
}

static void
handle_object(void *context, const char *name, const platform_reply_t *reply)
{
	server_t *server = context;

	ledger_reply_get(server->ledger, clock_get_us(), name, reply->status,
	    reply->version, reply->body, reply->length);
}

static void
get_object(void *context, const char *name)
{
	server_t *server = context;

	platform_get(server->platform, name, handle_object, server);
}

static void
handle_update_reply(
    void *context, const char *name, const platform_reply_t *reply)
{
	server_t *server = context;

	ledger_reply_put(server->ledger, clock_get_us(), name, reply->status,
	    reply->version);
}

static void
put_object(void *context, const char *name, uint64_t version, const char *body,
    size_t length)
{
	server_t *server = context;

	platform_put(server->platform, name, version, body, length,
	    handle_update_reply, server);
}

/* The top byte of the request number holds the requesting thread. */
static void
report_claim(void *context, uint64_t request, claim_status_t status,
    const char *body, size_t length)
{
	server_t *server = context;
	thread_message_t *message = thread_message_create(THREAD_MESSAGE_CLAIM);

	message->request =
	    request & ((UINT64_C(1) << REQUEST_THREAD_SHIFT) - 1);
	message->claim = status;
	message->body = g_strndup(body, length);
	message->length = length;
	send_message(server, (int)(request >> REQUEST_THREAD_SHIFT), message);
}

static void
report_recorded(void *context, uint64_t request)
{
	server_t *server = context;
	thread_message_t *message =
	    thread_message_create(THREAD_MESSAGE_RECORD);

	message->request =
	    request & ((UINT64_C(1) << REQUEST_THREAD_SHIFT) - 1);
	send_message(server, (int)(request >> REQUEST_THREAD_SHIFT), message);
}

static void
handle_control_message(void *context, const void *data, size_t length)
{
	server_t *server = context;

	control_handle_message(server->control, clock_get_us(), data, length);
}

static void
handle_outbox(void *context, int fd, uint32_t events)
{
	server_t *server = context;
	thread_message_t *message;

	for (int i = 0; i < server->thread_count; i++) {
		if (mailbox_get_fd(server->outboxes[i]) != fd)
			continue;
		mailbox_clear_fd(server->outboxes[i]);
		while (
		    (message = mailbox_receive(server->outboxes[i])) != NULL) {
			handle_thread_message(server, i, message);
			thread_message_destroy(message);
		}
	}
}

static void
handle_thread_message(server_t *server, int thread, thread_message_t *message)
{
	int64_t now_us = clock_get_us();
	uint64_t request =
	    message->request | ((uint64_t)thread << REQUEST_THREAD_SHIFT);

	claim_t claim = { request, message->key, message->try_number,
		message->issued_us, message->retention_us, message->timeout_us,
		message->body_hash };

	switch (message->type) {
	case THREAD_MESSAGE_CLAIM:
		ledger_claim(
		    server->ledger, now_us, clock_get_wall_us(), &claim);
		break;
	case THREAD_MESSAGE_RECORD:
		ledger_record(server->ledger, now_us, request, message->key,
		    message->has_run, message->body, message->length);
		break;
	case THREAD_MESSAGE_INSTANCE_LEAVING:
		control_add_leaving(
		    server->control, now_us, message->instance, true);
		break;
	case THREAD_MESSAGE_STATUS:
		g_free(server->thread_statuses[thread]);
		server->thread_statuses[thread] =
		    g_steal_pointer(&message->body);
		break;
	case THREAD_MESSAGE_IDLE:
		server->idle_threads++;
		break;
	case THREAD_MESSAGE_FLEET:
	case THREAD_MESSAGE_CLOSE_CONNECTIONS:
	case THREAD_MESSAGE_STOP_ACCEPTING:
	case THREAD_MESSAGE_STOP_LOOP:
		break;
	}
}

/* The first signal starts a graceful stop; later ones end the current wait. */
static void
handle_signal(void *context, int fd, uint32_t events)
{
	server_t *server = context;
	struct signalfd_siginfo info;
	int64_t now_us = clock_get_us();

	if (read(fd, &info, sizeof(info)) != (ssize_t)sizeof(info))
		return;
	if (server->stop_state != STOP_NONE) {
		server->stop_deadline_us = now_us;
		return;
	}
	server->stop_state = STOP_DRAINING;
	server->stop_deadline_us = now_us + server->settings->drain_us;
	log_printf(LOG_SERVER_STOPPING,
	    "server: VM %s drains for %" G_GINT64_FORMAT " ms, then stops",
	    server->settings->id, server->settings->drain_us / 1000);
	control_begin_leaving(server->control, now_us);
	broadcast(server, THREAD_MESSAGE_CLOSE_CONNECTIONS);
	publish_status(server, now_us);
}

static int64_t
handle_timer(void *context)
{
	server_t *server = context;
	int64_t now_us = clock_get_us();
	int64_t next;
	struct timespec used;

	control_tick(server->control, now_us);
	ledger_tick(server->ledger, now_us);
	if (server->is_changed && now_us >= server->next_publish_us)
		publish_fleet(server, now_us);
	if (now_us >= server->next_status_us) {
		publish_status(server, now_us);
		clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
		metric_set(METRIC_CONTROL_CPU_US,
		    (int64_t)used.tv_sec * 1000000 + used.tv_nsec / 1000);
	}
	if (server->stop_state != STOP_NONE)
		advance_stop(server, now_us);
	next = MIN(control_get_next_timer(server->control),
	    ledger_get_next_timer(server->ledger));
	if (server->is_changed)
		next = MIN(next, server->next_publish_us);
	return MIN(next, server->next_status_us);
}

static void
publish_fleet(server_t *server, int64_t now_us)
{
	error_info_t error;
	fleet_t *fleet = control_create_fleet(server->control, &error);
	int alive = 0;

	server->is_changed = false;
	server->next_publish_us = now_us + PUBLISH_INTERVAL_MIN_US;
	if (fleet == NULL) {
		log_printf(LOG_CONTROL_BAD_DOCUMENT,
		    "server: %s %s: %s; the previous fleet snapshot stays in "
		    "use",
		    error.step, error.peer, error.text);
		return;
	}
	fleet_release(server->fleet);
	server->fleet = fleet;
	for (int i = 0; i < fleet->member_count; i++)
		alive += fleet->members[i].state == MEMBER_ALIVE;
	metric_set(METRIC_MEMBERS_ALIVE, alive);
	platform_set_members(server->platform, alive);
	metric_set(METRIC_SETTINGS_VERSION, (int64_t)fleet->settings_version);
	for (int i = 0; i < server->thread_count; i++) {
		thread_message_t *message =
		    thread_message_create(THREAD_MESSAGE_FLEET);

		message->fleet = fleet_acquire(fleet);
		send_message(server, i, message);
	}
	publish_status(server, now_us);
}

static void
publish_status(server_t *server, int64_t now_us)
{
	bool is_ready = control_is_ready(server->control) &&
			server->stop_state == STOP_NONE;
	char *control = control_format_status(server->control, now_us);
	GString *text = g_string_new(NULL);

	server->next_status_us = now_us + STATUS_PERIOD_US;
	g_string_append_printf(text,
	    "{\"id\":\"%s\",\"zone\":\"%s\",\"ready\":%s,\"stopping\":%s,"
	    "\"settings_version\":%" G_GUINT64_FORMAT
	    ",\"violations\":%" G_GINT64_FORMAT
	    ",\"pending_claims\":%d,\"platform_calls_per_s\":%.1f,\"control\":%"
	    "s,\"threads\":[",
	    server->settings->id, server->settings->zone,
	    is_ready ? "true" : "false",
	    server->stop_state != STOP_NONE ? "true" : "false",
	    server->fleet != NULL ? server->fleet->settings_version : 0,
	    metric_get(METRIC_INVARIANT_VIOLATIONS),
	    ledger_count_pending(server->ledger),
	    platform_get_budget(server->platform), control);
	for (int i = 0; i < server->thread_count; i++)
		g_string_append_printf(text, "%s%s", i > 0 ? "," : "",
		    server->thread_statuses[i] != NULL
			? server->thread_statuses[i]
			: "{}");
	g_string_append(text, "]}\n");
	for (int i = 0; i < server->thread_count; i++) {
		thread_message_t *message =
		    thread_message_create(THREAD_MESSAGE_STATUS);

		message->is_ready = is_ready;
		message->body = g_strdup(text->str);
		send_message(server, i, message);
	}
	g_string_free(text, TRUE);
	g_free(control);
	if (is_ready && !server->is_ready_logged) {
		server->is_ready_logged = true;
		log_printf(LOG_SERVER_READY,
		    "server: VM %s is ready with settings version "
		    "%" G_GUINT64_FORMAT,
		    server->settings->id,
		    server->fleet != NULL ? server->fleet->settings_version
					  : 0);
	}
}

/*
 * Keeps serving until the drain time is over, then refuses new connections and
 * stops the loop once all requests are finished or STOP_TIMEOUT_US has passed.
 */
static void
advance_stop(server_t *server, int64_t now_us)
{
	if (server->stop_state == STOP_DRAINING &&
	    now_us >= server->stop_deadline_us) {
		server->stop_state = STOP_FINISHING;
		server->stop_deadline_us = now_us + STOP_TIMEOUT_US;
		broadcast(server, THREAD_MESSAGE_STOP_ACCEPTING);
	} else if (server->stop_state == STOP_FINISHING) {
		bool is_idle = server->idle_threads == server->thread_count &&
			       ledger_count_pending(server->ledger) == 0;

		if (!is_idle && now_us < server->stop_deadline_us)
			return;
		server->stop_state = STOP_ENDED;
		loop_stop(server->loop);
	}
}

static void
broadcast(server_t *server, thread_message_type_t type)
{
	for (int i = 0; i < server->thread_count; i++)
		send_message(server, i, thread_message_create(type));
}

static void
send_message(server_t *server, int thread, thread_message_t *message)
{
	if (!mailbox_send(server->inboxes[thread], message))
		thread_message_destroy(message);
}
