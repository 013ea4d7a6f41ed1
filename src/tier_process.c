/**
 * @file tier_process.c
 * One VM's process of the tier: the control thread follows the store and
 * answers readiness; the traffic thread serves callers.
 */
#include <ck_pr.h>
#include <errno.h>
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
#include "tier_shell.h"

#define VMS_UNKNOWN	 100	 /* until the list is read: small shares */
#define SETTINGS_POLL_US 1000000 /* the file may change without a signal */
#define LOG_FLUSH_US	 100000
#define FREEZE_US	 1000000 /* a wait that overran so far is logged */
#define STOP_IDLE_PART	 0.55	 /* of the stop time: idle links are closed */
#define STOP_LEAST_PART	 0.70	 /* the balancer has taken the VM out */
#define STOP_ANSWER_US	 1000000 /* before the kill: all is answered */
#define STOP_MARGIN_US	 500000	 /* before the kill: the process ends */
#define STREAM_LINGER_US 150000	 /* for the last answers to be written */

typedef struct traffic {
	loop_t *loop;
	const tier_settings_t *settings;
	const protocol_t *protocol;
	mailbox_t *mailbox; /* directories */
	tier_t *tier;
	pool_t *pool;
	entrance_t *entrance;
	int is_ready;	    /* written here, read by control */
	int64_t stop_begin; /* written by control; 0: not stopping */
	int64_t ended_us;   /* nothing was in work since */
	bool is_closing, is_idle_closed;
	int is_done; /* read by control */
} traffic_t;

typedef struct process {
	loop_t *loop;
	tier_settings_t settings;
	const char *settings_path;
	struct timespec settings_time;
	int64_t settings_due_us;
	source_t *source;
	pages_t *ready, *metrics;
	traffic_t traffic;
	int64_t last_us, boot_offset_us;
	bool is_ready_logged, is_stopping;
} process_t;

static int signal_fd = -1;
static volatile sig_atomic_t is_stop_asked, is_reload_asked;

/* ---- Traffic thread ---- */

static void
shell_send(void *context, tier_attempt_t *attempt)
{
	traffic_t *traffic = context;

	pool_send(traffic->pool, attempt);
}

static void
shell_cancel(void *context, tier_attempt_t *attempt)
{
	traffic_t *traffic = context;

	pool_cancel(traffic->pool, attempt);
}

static void
shell_answer(void *context, void *caller, const tier_answer_t *answer)
{
	entrance_answer(caller, answer);
}

static void
shell_forget(void *context, tier_leaf_t *leaf)
{
	traffic_t *traffic = context;

	pool_forget(traffic->pool, leaf);
}

static void
handle_leaf_answer(
    void *context, tier_attempt_t *attempt, const leaf_answer_t *answer)
{
	traffic_t *traffic = context;

	tier_handle_answer(traffic->tier, clock_get_us(), attempt, answer);
}

static const http_message_t *
get_request(void *context, void *caller)
{
	return entrance_get_request(caller);
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
 * The steps of a stop: answers close their connections at once, idle ones are
 * closed once the balancer sends no new ones, and what is still in work is
 * answered before the kill.
 */
static int64_t
run_stop(traffic_t *traffic, int64_t now_us, int64_t begin_us)
{
	int64_t total_us = traffic->settings->stop_us;
	int64_t idle_us =
	    begin_us + (int64_t)((double)total_us * STOP_IDLE_PART);
	int64_t least_us =
	    begin_us + (int64_t)((double)total_us * STOP_LEAST_PART);
	int64_t last_us = begin_us + total_us - STOP_MARGIN_US;

	if (!traffic->is_closing) {
		traffic->is_closing = true;
		entrance_set_closing(traffic->entrance);
		tier_set_stopping(
		    traffic->tier, begin_us + total_us - STOP_ANSWER_US);
	}
	if (now_us < idle_us)
		return idle_us;
	if (!traffic->is_idle_closed) {
		traffic->is_idle_closed = true;
		entrance_close_idle(traffic->entrance);
	}
	if (entrance_count_busy(traffic->entrance) > 0)
		traffic->ended_us = now_us;
	if (now_us >= last_us ||
	    (now_us >= least_us &&
		now_us - traffic->ended_us >= STREAM_LINGER_US)) {
		ck_pr_store_int(&traffic->is_done, 1);
		loop_stop(traffic->loop);
	}
	return now_us + STREAM_LINGER_US / 3;
}

static int64_t
run_traffic_timer(void *context)
{
	traffic_t *traffic = context;
	int64_t now_us = clock_get_us();
	int64_t due_us = tier_tick(traffic->tier, now_us);
	int64_t begin_us =
	    (int64_t)ck_pr_load_64((uint64_t *)&traffic->stop_begin);

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
		.vm_count_first = VMS_UNKNOWN,
		.seed = hash_text(settings->id) };
	tier_shell_t shell = { traffic, shell_send, shell_cancel, shell_answer,
		shell_forget, log_write_fields };
	pool_hooks_t hooks = { traffic, handle_leaf_answer, get_request };

	g_strlcpy(options.zone, settings->zone, sizeof(options.zone));
	g_strlcpy(options.region, settings->region, sizeof(options.region));
	traffic->loop = loop_create();
	traffic->mailbox = mailbox_create();
	traffic->tier = tier_create(&options, &shell);
	traffic->pool = pool_create(traffic->loop, traffic->protocol, &hooks);
	traffic->entrance = entrance_create(traffic->loop, traffic->protocol,
	    traffic->tier, settings->callers, error);
	if (traffic->entrance == NULL)
		return false;
	loop_set_fd(traffic->loop, mailbox_get_fd(traffic->mailbox), EPOLLIN,
	    handle_directory, traffic);
	loop_add_timer(traffic->loop, run_traffic_timer, traffic);
	return true;
}

static void
end_traffic(traffic_t *traffic)
{
	if (traffic->entrance != NULL)
		entrance_destroy(traffic->entrance);
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
		directory_destroy(directory); /* the next one holds it all */
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
		is_reload_asked = 1;
	else
		is_stop_asked = 1;
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
	bool is_good;

	if (text == NULL) {
		command_report("tier", &error);
		return false;
	}
	problem_list_begin(&problems);
	is_good = tier_settings_parse(settings, path, text, length, &problems);
	for (guint i = 0; i < problems.texts->len; i++)
		fprintf(stderr, "plantainarch tier: %s\n",
		    (char *)g_ptr_array_index(problems.texts, i));
	problem_list_end(&problems);
	g_free(text);
	if (stat(path, &status) == 0)
		*time = status.st_mtim;
	if (!is_good)
		tier_settings_clear(settings);
	return is_good;
}

/*
 * Addresses and names hold for the life of the process; the retry budget is
 * the platform's and the same everywhere, so only the log level can change.
 */
static void
reload(process_t *process)
{
	tier_settings_t fresh;

	if (!read_settings(
		process->settings_path, &fresh, &process->settings_time)) {
		log_fields(LOG_TIER_RELOADED,
		    "\"outcome\":\"bad file; the settings before stay\"");
		return;
	}
	log_begin(fresh.log_level, true);
	log_fields(LOG_TIER_RELOADED,
	    "\"outcome\":\"in force\",\"log_level\":\"%s\"", fresh.log_level);
	tier_settings_clear(&fresh);
}

static void
poll_settings(process_t *process, int64_t now_us)
{
	struct stat status;

	if (now_us < process->settings_due_us && !is_reload_asked)
		return;
	process->settings_due_us = now_us + SETTINGS_POLL_US;
	if (stat(process->settings_path, &status) != 0)
		return;
	if (!is_reload_asked && memcmp(&status.st_mtim, &process->settings_time,
				    sizeof(status.st_mtim)) == 0)
		return;
	is_reload_asked = 0;
	reload(process);
}

/* The boot clock counts a suspension, the monotonic clock does not. */
static int64_t
get_boot_offset_us(int64_t now_us)
{
	struct timespec boot;

	if (clock_gettime(CLOCK_BOOTTIME, &boot) != 0)
		return 0;
	return (int64_t)boot.tv_sec * 1000000 + boot.tv_nsec / 1000 - now_us;
}

static void
note_freeze(process_t *process, int64_t now_us)
{
	int64_t offset_us = get_boot_offset_us(now_us);
	int64_t suspended_us = offset_us - process->boot_offset_us;
	int64_t silent_us = now_us - process->last_us;

	if (process->last_us != 0 &&
	    (suspended_us > FREEZE_US || silent_us > 3 * FREEZE_US))
		log_fields(LOG_TIER_FROZEN,
		    "\"suspended_us\":%" G_GINT64_FORMAT
		    ",\"silent_us\":%" G_GINT64_FORMAT,
		    suspended_us, silent_us);
	process->boot_offset_us = offset_us;
	process->last_us = now_us;
}

static void
begin_stop(process_t *process, int64_t now_us)
{
	process->is_stopping = true;
	log_fields(LOG_TIER_STOPPING, "\"stop_us\":%" G_GINT64_FORMAT,
	    process->settings.stop_us);
	source_leave(process->source);
	ck_pr_store_64(
	    (uint64_t *)&process->traffic.stop_begin, (uint64_t)now_us);
	eventfd_write(mailbox_get_fd(process->traffic.mailbox), 1);
}

static int64_t
run_control_timer(void *context)
{
	process_t *process = context;
	int64_t now_us = clock_get_us();

	note_freeze(process, now_us);
	poll_settings(process, now_us);
	if (is_stop_asked && !process->is_stopping)
		begin_stop(process, now_us);
	if (!process->is_ready_logged &&
	    ck_pr_load_int(&process->traffic.is_ready) != 0) {
		process->is_ready_logged = true;
		log_fields(LOG_TIER_READY, "\"version\":%" G_GINT64_FORMAT,
		    metric_get(METRIC_TIER_VERSION));
	}
	if (ck_pr_load_int(&process->traffic.is_done) != 0)
		loop_stop(process->loop);
	log_flush();
	return now_us + LOG_FLUSH_US;
}

static void
handle_wake(void *context, int fd, uint32_t events)
{
	eventfd_t count;

	eventfd_read(fd, &count);
}

static void
begin_signals(process_t *process)
{
	struct sigaction action = { .sa_handler = handle_signal };

	signal_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	loop_set_fd(process->loop, signal_fd, EPOLLIN, handle_wake, process);
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
	source_hooks_t hooks = { process, handle_directory_change };

	process->ready = pages_create(
	    process->loop, settings->ready, answer_ready, process, error);
	if (process->ready == NULL)
		return false;
	if (settings->metrics[0] != '\0') {
		process->metrics = pages_create(process->loop,
		    settings->metrics, answer_metrics, process, error);
		if (process->metrics == NULL)
			return false;
	}
	process->source = source_create(
	    process->loop, process->traffic.protocol, settings, &hooks);
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
	unanswered = entrance_count_busy(process->traffic.entrance);
	log_fields(
	    LOG_TIER_STOPPED, "\"unanswered\":%" G_GINT64_FORMAT, unanswered);
	log_flush();
	end_traffic(&process->traffic);
	source_destroy(process->source);
	pages_destroy(process->ready);
	pages_destroy(process->metrics);
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
