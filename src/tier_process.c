/**
 * @file tier_process.c
 * The tier's process on one VM. The control thread runs the store client and
 * the status servers; the traffic thread serves callers.
 */
#include <ck_pr.h>
#include <errno.h>
#include <malloc.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include "command.h"
#include "tier_process.h"

#define VM_COUNT_INITIAL   100 /* until the list is read; gives small shares */
#define SETTINGS_POLL_US   1000000 /* detects a changed file without SIGHUP */
#define LOG_FLUSH_US	   100000
#define FREEZE_MIN_US	   1000000 /* minimum to log; three times it for stalls */
#define STOP_IDLE_FRACTION 0.55	   /* of stop_us: idle connections are closed */
#define STOP_MIN_FRACTION  0.70	   /* the balancer has removed the VM */
#define STOP_ANSWER_US	   1000000 /* before the kill: all are answered */
#define STOP_MARGIN_US	   500000  /* before the kill: the process ends */
#define LARGE_BLOCK_BYTES  131072  /* returned to the system when freed */
#define FLUSH_LINGER_US	   150000  /* time to write the last answers */

typedef struct traffic {
	loop_t *loop;
	const tier_settings_t *settings;
	const protocol_t *protocol;
	mailbox_t *mailbox; /* directories */
	tier_t *tier;
	pool_t *pool;
	listener_t *listener;
	int is_ready; /* atomic; written by this thread, read by control */
	int64_t stop_begin_us; /* atomic; written by control; 0: not stopping */
	int64_t last_busy_us;  /* last time with requests in flight */
	bool is_closing, is_idle_closed,
	    has_stopped_listening; /* steps of a stop */
	int is_done;		   /* atomic; read by control */
} traffic_t;

typedef struct process {
	loop_t *loop;
	tier_settings_t settings;
	const char *settings_path;
	struct timespec settings_time;
	int64_t settings_due_us;
	store_client_t *store_client;
	status_server_t *ready, *metrics;
	traffic_t traffic;
	int64_t last_tick_us, boot_offset_us;
	bool is_ready_logged, is_stopping;
} process_t;

static int signal_fd = -1;
static volatile sig_atomic_t is_stop_requested, is_reload_requested;

/* ---- Traffic thread ---- */

static void
send_attempt(void *context, tier_attempt_t *attempt)
{
	traffic_t *traffic = context;

	pool_send(traffic->pool, attempt);
}

static void
cancel_attempt(void *context, tier_attempt_t *attempt)
{
	traffic_t *traffic = context;

	pool_cancel(traffic->pool, attempt);
}

static void
send_answer(void *context, void *caller, const tier_answer_t *answer)
{
	listener_send_answer(caller, answer);
}

static void
warm_leaf(void *context, tier_leaf_t *leaf)
{
	traffic_t *traffic = context;

	pool_warm_leaf(traffic->pool, leaf);
}

static void
remove_leaf(void *context, tier_leaf_t *leaf)
{
	traffic_t *traffic = context;

	pool_remove_leaf(traffic->pool, leaf);
}

static void
handle_leaf_answer(
    void *context, tier_attempt_t *attempt, const leaf_answer_t *answer)
{
	traffic_t *traffic = context;

	tier_handle_answer(traffic->tier, clock_get_us(), attempt, answer);
}

static void
handle_doubt(void *context, tier_attempt_t *attempt)
{
	traffic_t *traffic = context;

	tier_handle_doubt(traffic->tier, clock_get_us(), attempt);
}

static const http_message_t *
get_request(void *context, void *caller)
{
	return listener_get_request(caller);
}

static void
handle_directory(void *context, int fd, uint32_t events)
{
	traffic_t *traffic = context;
	directory_t *directory;

	mailbox_clear_fd(traffic->mailbox);
	while ((directory = mailbox_receive(traffic->mailbox)) != NULL) {
		tier_set_directory(traffic->tier, clock_get_us(), directory);
		directory_destroy(directory);
	}
	ck_pr_store_int(&traffic->is_ready, tier_is_ready(traffic->tier));
}

/*
 * Steps of a planned stop: from its start, answers close their connections;
 * idle connections are closed once the balancer opens no new ones; requests in
 * flight are answered before the kill.
 */
static int64_t
run_stop(traffic_t *traffic, int64_t now_us, int64_t begin_us)
{
	int64_t total_us = traffic->settings->stop_us;
	int64_t idle_us =
	    begin_us + (int64_t)((double)total_us * STOP_IDLE_FRACTION);
	int64_t earliest_us =
	    begin_us + (int64_t)((double)total_us * STOP_MIN_FRACTION);
	int64_t latest_us = begin_us + total_us - STOP_MARGIN_US;
	bool is_idle;

	if (!traffic->is_closing) {
		traffic->is_closing = true;
		listener_set_closing(traffic->listener);
		tier_set_stopping(
		    traffic->tier, begin_us + total_us - STOP_ANSWER_US);
	}
	if (now_us < idle_us)
		return idle_us;
	if (!traffic->is_idle_closed) {
		traffic->is_idle_closed = true;
		listener_close_idle(traffic->listener);
	}
	if (listener_has_open_work(traffic->listener))
		traffic->last_busy_us = now_us;
	is_idle = now_us >= earliest_us &&
		  now_us - traffic->last_busy_us >= FLUSH_LINGER_US;
	if (now_us >= begin_us + total_us - STOP_ANSWER_US)
		listener_refuse_unread(traffic->listener);
	else if (!is_idle)
		return now_us + FLUSH_LINGER_US / 3;
	if (!traffic->has_stopped_listening) {
		/* What has connected by now may still send a request. */
		traffic->has_stopped_listening = true;
		traffic->last_busy_us = now_us;
		listener_stop_listening(traffic->listener);
	} else if (now_us >= latest_us || is_idle) {
		ck_pr_store_int(&traffic->is_done, 1);
		loop_stop(traffic->loop);
	}
	return now_us + FLUSH_LINGER_US / 3;
}

static int64_t
run_traffic_timer(void *context)
{
	traffic_t *traffic = context;
	int64_t now_us = clock_get_us();
	int64_t due_us = tier_tick(traffic->tier, now_us);
	int64_t begin_us =
	    (int64_t)ck_pr_load_64((uint64_t *)&traffic->stop_begin_us);

	if (begin_us != 0)
		due_us = MIN(due_us, run_stop(traffic, now_us, begin_us));
	return due_us;
}

static void *
run_traffic(void *context)
{
	traffic_t *traffic = context;

	loop_run(traffic->loop);
	return NULL;
}

static bool
begin_traffic(traffic_t *traffic, error_info_t *error)
{
	const tier_settings_t *settings = traffic->settings;
	tier_options_t options = { .regions = settings->regions,
		.retry_ratio = settings->retry_ratio,
		.retry_slack = settings->retry_slack,
		.retry_window_us = settings->retry_window_us,
		.drain_us = settings->drain_us,
		.initial_vm_count = VM_COUNT_INITIAL,
		.seed = hash_text(settings->id) };
	tier_callbacks_t tier_callbacks = { traffic, send_attempt,
		cancel_attempt, send_answer, warm_leaf, remove_leaf,
		log_write_fields };
	pool_callbacks_t pool_callbacks = { traffic, handle_leaf_answer,
		handle_doubt, get_request };

	g_strlcpy(options.zone, settings->zone, sizeof(options.zone));
	g_strlcpy(options.region, settings->region, sizeof(options.region));
	traffic->loop = loop_create();
	traffic->mailbox = mailbox_create();
	traffic->tier = tier_create(&options, &tier_callbacks);
	traffic->pool =
	    pool_create(traffic->loop, traffic->protocol, &pool_callbacks);
	traffic->listener = listener_create(traffic->loop, traffic->protocol,
	    traffic->tier, settings->callers, error);
	if (traffic->listener == NULL)
		return false;
	loop_set_fd(traffic->loop, mailbox_get_fd(traffic->mailbox), EPOLLIN,
	    handle_directory, traffic);
	loop_add_timer(traffic->loop, run_traffic_timer, traffic);
	return true;
}

static void
end_traffic(traffic_t *traffic)
{
	if (traffic->listener != NULL)
		listener_destroy(traffic->listener);
	loop_remove_timer(traffic->loop, run_traffic_timer, traffic);
	tier_destroy(traffic->tier);
	pool_destroy(traffic->pool);
	mailbox_destroy(traffic->mailbox);
	loop_destroy(traffic->loop);
}

/* ---- Control thread ---- */

static void
handle_directory_change(void *context, directory_t *directory)
{
	process_t *process = context;

	if (!mailbox_send(process->traffic.mailbox, directory))
		directory_destroy(directory); /* the next one is complete */
}

static char *
answer_ready(void *context, const char *path, int *status)
{
	process_t *process = context;
	bool is_ready = ck_pr_load_int(&process->traffic.is_ready) != 0 &&
			!process->is_stopping;

	if (strcmp(path, process->traffic.protocol->ready_path) != 0)
		*status = 404;
	else
		*status = is_ready ? 200 : 503;
	return NULL;
}

static char *
answer_metrics(void *context, const char *path, int *status)
{
	return metric_format_text();
}

static void
handle_signal(int number)
{
	int before = errno;

	if (number == SIGHUP)
		is_reload_requested = 1;
	else
		is_stop_requested = 1;
	eventfd_write(signal_fd, 1);
	errno = before;
}

static bool
read_settings(
    const char *path, tier_settings_t *settings, struct timespec *time)
{
	error_info_t error = { 0 };
	problem_list_t problems;
	struct stat status;
	size_t length;
	char *text = command_read_file(path, &length, &error);
	bool is_valid;

	if (text == NULL) {
		command_report("tier", &error);
		return false;
	}
	problem_list_begin(&problems);
	is_valid = tier_settings_parse(settings, path, text, length, &problems);
	for (guint i = 0; i < problems.texts->len; i++)
		fprintf(stderr, "plantainarch tier: %s\n",
		    (char *)g_ptr_array_index(problems.texts, i));
	problem_list_end(&problems);
	g_free(text);
	if (stat(path, &status) == 0)
		*time = status.st_mtim;
	if (!is_valid)
		tier_settings_clear(settings);
	return is_valid;
}

/*
 * Applies the log level only. Addresses and names are fixed for the life of the
 * process; the retry budget is the platform's and the same on all VMs.
 */
static void
reload(process_t *process)
{
	tier_settings_t new_settings;

	if (!read_settings(process->settings_path, &new_settings,
		&process->settings_time)) {
		log_fields(LOG_TIER_RELOADED,
		    "\"outcome\":\"bad file; the settings before stay\"");
		return;
	}
	log_begin(new_settings.log_level, true);
	log_fields(LOG_TIER_RELOADED,
	    "\"outcome\":\"in force\",\"log_level\":\"%s\"",
	    new_settings.log_level);
	tier_settings_clear(&new_settings);
}

static void
poll_settings(process_t *process, int64_t now_us)
{
	struct stat status;

	if (now_us < process->settings_due_us && !is_reload_requested)
		return;
	process->settings_due_us = now_us + SETTINGS_POLL_US;
	if (stat(process->settings_path, &status) != 0)
		return;
	if (!is_reload_requested &&
	    memcmp(&status.st_mtim, &process->settings_time,
		sizeof(status.st_mtim)) == 0)
		return;
	is_reload_requested = 0;
	reload(process);
}

static void
log_freeze(process_t *process, int64_t now_us)
{
	int64_t offset_us = clock_get_boot_us() - now_us;
	int64_t suspended_us = offset_us - process->boot_offset_us;
	int64_t stalled_us = now_us - process->last_tick_us;

	if (process->last_tick_us != 0 &&
	    (suspended_us > FREEZE_MIN_US || stalled_us > 3 * FREEZE_MIN_US))
		log_fields(LOG_TIER_FROZEN,
		    "\"suspended_us\":%" G_GINT64_FORMAT
		    ",\"silent_us\":%" G_GINT64_FORMAT,
		    suspended_us, stalled_us);
	process->boot_offset_us = offset_us;
	process->last_tick_us = now_us;
}

static void
begin_stop(process_t *process, int64_t now_us)
{
	process->is_stopping = true;
	log_fields(LOG_TIER_STOPPING, "\"stop_us\":%" G_GINT64_FORMAT,
	    process->settings.stop_us);
	store_client_stop_serving(process->store_client);
	ck_pr_store_64(
	    (uint64_t *)&process->traffic.stop_begin_us, (uint64_t)now_us);
	eventfd_write(mailbox_get_fd(process->traffic.mailbox), 1);
}

static int64_t
run_control_timer(void *context)
{
	process_t *process = context;
	int64_t now_us = clock_get_us();

	log_freeze(process, now_us);
	poll_settings(process, now_us);
	if (is_stop_requested && !process->is_stopping)
		begin_stop(process, now_us);
	if (!process->is_ready_logged &&
	    ck_pr_load_int(&process->traffic.is_ready) != 0) {
		process->is_ready_logged = true;
		log_fields(LOG_TIER_READY, "\"version\":%" G_GINT64_FORMAT,
		    metric_get(METRIC_TIER_CONFIGURATION_VERSION));
	}
	if (ck_pr_load_int(&process->traffic.is_done) != 0)
		loop_stop(process->loop);
	log_flush();
	return now_us + LOG_FLUSH_US;
}

static void
clear_wakeup(void *context, int fd, uint32_t events)
{
	eventfd_t count;

	eventfd_read(fd, &count);
}

static void
begin_signals(process_t *process)
{
	struct sigaction action = { .sa_handler = handle_signal };

	signal_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	loop_set_fd(process->loop, signal_fd, EPOLLIN, clear_wakeup, process);
	sigemptyset(&action.sa_mask);
	sigaction(SIGTERM, &action, NULL);
	sigaction(SIGINT, &action, NULL);
	sigaction(SIGHUP, &action, NULL);
	signal(SIGPIPE, SIG_IGN);
}

static bool
begin_control(process_t *process, error_info_t *error)
{
	const tier_settings_t *settings = &process->settings;
	store_client_callbacks_t callbacks = { process,
		handle_directory_change };

	process->ready = status_server_create(
	    process->loop, settings->ready, answer_ready, process, error);
	if (process->ready == NULL)
		return false;
	if (settings->metrics[0] != '\0') {
		process->metrics = status_server_create(process->loop,
		    settings->metrics, answer_metrics, process, error);
		if (process->metrics == NULL)
			return false;
	}
	process->store_client = store_client_create(process->loop,
	    process->traffic.protocol, settings, &callbacks, error);
	if (process->store_client == NULL)
		return false;
	loop_add_timer(process->loop, run_control_timer, process);
	return true;
}

static int
run_process(process_t *process)
{
	error_info_t error = { 0 };
	pthread_t thread;
	sigset_t signals, before;
	int64_t unanswered;

	process->loop = loop_create();
	begin_signals(process);
	if (!begin_traffic(&process->traffic, &error) ||
	    !begin_control(process, &error)) {
		log_fields(LOG_SERVER_FAILED,
		    "\"step\":\"%s\",\"peer\":\"%s\",\"text\":\"%s\"",
		    error.step, error.peer, error.text);
		log_flush();
		return command_report("tier", &error);
	}
	sigfillset(&signals);
	pthread_sigmask(SIG_BLOCK, &signals, &before);
	pthread_create(&thread, NULL, run_traffic, &process->traffic);
	pthread_sigmask(SIG_SETMASK, &before, NULL);
	loop_run(process->loop);
	pthread_join(thread, NULL);
	unanswered = listener_count_in_flight(process->traffic.listener);
	log_fields(
	    LOG_TIER_STOPPED, "\"unanswered\":%" G_GINT64_FORMAT, unanswered);
	log_flush();
	end_traffic(&process->traffic);
	store_client_destroy(process->store_client);
	status_server_destroy(process->ready);
	status_server_destroy(process->metrics);
	loop_destroy(process->loop);
	return 0;
}

int
tier_run(const char *settings_path)
{
	process_t process = { .settings_path = settings_path };
	int code;

	if (!read_settings(
		settings_path, &process.settings, &process.settings_time))
		return 1;
	/* The C library raises its own limit with each large block. */
	mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES);
	process.traffic.settings = &process.settings;
	process.traffic.protocol = protocol_find(process.settings.protocol);
	if (process.traffic.protocol == NULL) {
		fprintf(stderr,
		    "plantainarch tier: %s: protocol: \"%s\" is not built "
		    "in; 'plantainarch plugins' lists them\n",
		    settings_path, process.settings.protocol);
		return 1;
	}
	log_begin(process.settings.log_level, true);
	log_begin_buffered(STDOUT_FILENO);
	log_fields(LOG_TIER_STARTED,
	    "\"vm\":\"%s\",\"zone\":\"%s\",\"callers\":\"%s\",\"version\":"
	    "\"%s\"",
	    process.settings.id, process.settings.zone,
	    process.settings.callers, PLANTAINARCH_VERSION);
	code = run_process(&process);
	tier_settings_clear(&process.settings);
	return code;
}

const protocol_t *
protocol_find(const char *name)
{
	const plugin_t *plugin = plugin_find(PLUGIN_PROTOCOL, name);

	return plugin != NULL ? plugin->callbacks : NULL;
}

int
command_tier(int argc, char **argv)
{
	struct arg_file *file =
	    arg_file1(NULL, "settings", "FILE", "the VM's settings in YAML");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = { file, help, end };
	int code = command_parse(argc, argv, table, help, end,
	    "Runs one VM of the tier on a platform, until SIGTERM.");

	if (code < 0)
		code = tier_run(file->filename[0]);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
