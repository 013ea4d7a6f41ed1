/**
 * @file children.c
 * The processes of a run: only these are ever signalled, by their ids.
 */
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/queue.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak.h"

#define READ_BYTES 65536

struct child {
	LIST_ENTRY(child) in_all;
	loop_t *loop;
	pid_t pid;
	int input, output; /* -1: none */
	child_hooks_t hooks;
	GString *text; /* a line that is not whole yet */
	bool has_ended;
	int status;
};

static LIST_HEAD(, child) all = LIST_HEAD_INITIALIZER(all);

/* Children end with the soak, however it ends. */
static void
prepare_child(gpointer context)
{
	const char *output_path = context;
	int fd;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (output_path == NULL)
		return;
	fd = open(output_path, O_WRONLY | O_CREAT | O_APPEND, 0644);
	if (fd < 0)
		return;
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	close(fd);
}

static void
take_lines(child_t *child)
{
	char *end;

	while (
	    (end = memchr(child->text->str, '\n', child->text->len)) != NULL) {
		*end = '\0';
		child->hooks.line(child->hooks.context, child->text->str);
		g_string_erase(
		    child->text, 0, (gssize)(end + 1 - child->text->str));
	}
}

/* Returns false at the end of the output. */
static bool
read_output(child_t *child)
{
	char buffer[READ_BYTES];
	ssize_t length = read(child->output, buffer, sizeof(buffer));

	if (length < 0)
		return errno == EAGAIN || errno == EINTR;
	if (length == 0)
		return false;
	g_string_append_len(child->text, buffer, length);
	take_lines(child);
	return true;
}

static void
handle_output(void *context, int fd, uint32_t events)
{
	child_t *child = context;

	if (read_output(child))
		return;
	loop_unset_fd(child->loop, fd);
	close(child->output);
	child->output = -1;
}

child_t *
child_start(loop_t *loop, const char *const *words, const char *output_path,
    const child_hooks_t *hooks)
{
	child_t *child = g_new0(child_t, 1);
	GError *error = NULL;
	bool is_read = output_path == NULL;

	child->loop = loop;
	child->hooks = *hooks;
	child->text = g_string_new(NULL);
	child->input = child->output = -1;
	if (!g_spawn_async_with_pipes(NULL, (char **)words, NULL,
		G_SPAWN_DO_NOT_REAP_CHILD, prepare_child, (char *)output_path,
		&child->pid, is_read ? &child->input : NULL,
		is_read ? &child->output : NULL, NULL, &error)) {
		fprintf(stderr, "soak: %s: %s\n", words[0], error->message);
		exit(1);
	}
	if (is_read) {
		fcntl(child->output, F_SETFL, O_NONBLOCK);
		fcntl(child->input, F_SETFL, O_NONBLOCK);
		loop_set_fd(loop, child->output, EPOLLIN, handle_output, child);
	}
	LIST_INSERT_HEAD(&all, child, in_all);
	return child;
}

void
child_signal(child_t *child, int number)
{
	if (!child->has_ended)
		kill(child->pid, number);
}

void
child_write(child_t *child, const char *text)
{
	/* A child that has ended, or does not read, misses it. */
	if (child->input >= 0 && !child->has_ended &&
	    write(child->input, text, strlen(text)) < 0)
		return;
}

static void
destroy_child(child_t *child)
{
	LIST_REMOVE(child, in_all);
	if (child->output >= 0) {
		do
			errno = 0;
		while (read_output(child) && errno == 0);
		loop_unset_fd(child->loop, child->output);
		close(child->output);
	}
	if (child->input >= 0)
		close(child->input);
	g_string_free(child->text, TRUE);
	g_free(child);
}

void
children_reap(void)
{
	child_t *child, *next;

	for (child = LIST_FIRST(&all); child != NULL; child = next) {
		next = LIST_NEXT(child, in_all);
		if (waitpid(child->pid, &child->status, WNOHANG) != child->pid)
			continue;
		child->has_ended = true;
		if (child->hooks.ended != NULL)
			child->hooks.ended(child->hooks.context, child->status);
		destroy_child(child);
	}
}

void
children_end_all(void)
{
	child_t *child;

	LIST_FOREACH(child, &all, in_all)
	child_signal(child, SIGKILL);
	while (!LIST_EMPTY(&all)) {
		child = LIST_FIRST(&all);
		waitpid(child->pid, &child->status, 0);
		child->has_ended = true;
		destroy_child(child);
	}
}
