/**
 * @file loop.c
 * Event loop of one thread: epoll for descriptors, timer hooks that return the
 * time of their next run.
 */
#include <errno.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "plantainarch.h"

#define EVENTS_PER_WAIT_MAX 128
#define WAIT_MAX_MS	    1000
#define FDS_MAX		    65536

typedef struct fd_watch {
	loop_fn_t callback;
	void *context;
	uint32_t generation; /* detects stale events of a reused descriptor */
	bool is_set;
} fd_watch_t;

typedef struct timer_hook {
	loop_timer_fn_t callback;
	void *context;
} timer_hook_t;

struct loop {
	int epoll_fd;
	GArray *watches; /* fd_watch_t by descriptor */
	GArray *timers;	 /* timer_hook_t */
	bool is_stopping;
	bool is_wake_requested; /* run the timer hooks again before waiting */
};

static int run_timers(loop_t *loop);

loop_t *
loop_create(void)
{
	loop_t *loop = g_new0(loop_t, 1);

	loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	loop->watches = g_array_new(FALSE, TRUE, sizeof(fd_watch_t));
	loop->timers = g_array_new(FALSE, TRUE, sizeof(timer_hook_t));
	return loop;
}

void
loop_destroy(loop_t *loop)
{
	close(loop->epoll_fd);
	g_array_unref(loop->watches);
	g_array_unref(loop->timers);
	g_free(loop);
}

void
loop_set_fd(
    loop_t *loop, int fd, uint32_t events, loop_fn_t callback, void *context)
{
	struct epoll_event change = { .events = events };
	fd_watch_t *watch;

	if (fd < 0 || fd >= FDS_MAX)
		return;
	if (loop->watches->len <= (guint)fd)
		g_array_set_size(loop->watches, (guint)fd + 1);
	watch = &g_array_index(loop->watches, fd_watch_t, fd);
	change.data.u64 = (uint64_t)watch->generation << 32 | (uint32_t)fd;
	/* epoll drops a closed descriptor; a reused one is added again. */
	if (!watch->is_set ||
	    epoll_ctl(loop->epoll_fd, EPOLL_CTL_MOD, fd, &change) != 0)
		epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, fd, &change);
	watch->callback = callback;
	watch->context = context;
	watch->is_set = true;
}

void
loop_unset_fd(loop_t *loop, int fd)
{
	if (fd < 0 || loop->watches->len <= (guint)fd)
		return;
	epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
	g_array_index(loop->watches, fd_watch_t, fd).is_set = false;
	g_array_index(loop->watches, fd_watch_t, fd).generation++;
}

/* Closing removes it from epoll: it is not shared with another process. */
void
loop_close_fd(loop_t *loop, int fd)
{
	if (fd < 0)
		return;
	if (loop->watches->len > (guint)fd) {
		g_array_index(loop->watches, fd_watch_t, fd).is_set = false;
		g_array_index(loop->watches, fd_watch_t, fd).generation++;
	}
	close(fd);
}

void
loop_add_timer(loop_t *loop, loop_timer_fn_t callback, void *context)
{
	timer_hook_t hook = { callback, context };

	g_array_append_val(loop->timers, hook);
}

void
loop_remove_timer(loop_t *loop, loop_timer_fn_t callback, void *context)
{
	for (guint i = 0; i < loop->timers->len; i++) {
		timer_hook_t *hook =
		    &g_array_index(loop->timers, timer_hook_t, i);

		if (hook->callback == callback && hook->context == context) {
			g_array_remove_index(loop->timers, i);
			return;
		}
	}
}

void
loop_run(loop_t *loop)
{
	struct epoll_event events[EVENTS_PER_WAIT_MAX];

	while (!loop->is_stopping) {
		int wait_ms = run_timers(loop);
		int count;

		if (loop->is_stopping)
			break; /* a timer hook stopped the loop */
		count = epoll_wait(
		    loop->epoll_fd, events, EVENTS_PER_WAIT_MAX, wait_ms);

		for (int i = 0; i < count; i++) {
			int fd = (int)(uint32_t)events[i].data.u64;
			fd_watch_t watch =
			    g_array_index(loop->watches, fd_watch_t, fd);

			if (watch.is_set &&
			    watch.generation == events[i].data.u64 >> 32)
				watch.callback(
				    watch.context, fd, events[i].events);
		}
	}
}

void
loop_wake(loop_t *loop)
{
	loop->is_wake_requested = true;
}

void
loop_stop(loop_t *loop)
{
	loop->is_stopping = true;
}

/* Runs all timer hooks; returns the milliseconds until the next one is due. */
static int
run_timers(loop_t *loop)
{
	int64_t next_us = INT64_MAX;
	int64_t now_us, wait_ms;

	loop->is_wake_requested = false;
	for (guint i = 0; i < loop->timers->len; i++) {
		timer_hook_t *hook =
		    &g_array_index(loop->timers, timer_hook_t, i);
		int64_t due_us = hook->callback(hook->context);

		if (due_us < next_us)
			next_us = due_us;
	}
	now_us = clock_get_us();
	if (next_us <= now_us || loop->is_wake_requested)
		return 0;
	if (next_us == INT64_MAX)
		return WAIT_MAX_MS;
	wait_ms = (next_us - now_us + 999) / 1000;
	return (int)MIN(wait_ms, WAIT_MAX_MS);
}
