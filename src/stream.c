/**
 * @file stream.c
 * Non-blocking TCP connections on a loop, with buffered writes.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http.h"

#define READ_BYTES     65536
#define LISTEN_BACKLOG 511

/*
 * TCP keepalive detects an unresponsive peer within 4 s: idle time plus
 * interval times count. That is less than the time after which the platform
 * expects a VM to have recovered from such a fault.
 */
#define KEEPALIVE_IDLE_S     2
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_COUNT	     2
#define UNACKED_MAX_MS	     3000 /* maximum age of unacknowledged data */

struct stream {
	loop_t *loop;
	int fd;
	uint32_t events; /* that the loop watches */
	bool is_connecting, is_closed, is_closing_after_flush, is_reading;
	bool is_released;   /* freed once closed and no callback runs */
	int callback_depth; /* callbacks in progress */
	GString *write_buffer;
	size_t write_offset; /* bytes of write_buffer that are sent */
	stream_callbacks_t callbacks;
	void *context;
};

static void handle_event(void *context, int fd, uint32_t events);

/* Each change of the watched events is a system call. */
static void
update_events(stream_t *stream)
{
	uint32_t events = stream->is_reading ? EPOLLIN : EPOLLRDHUP;

	if (stream->is_connecting || stream->write_buffer != NULL)
		events |= EPOLLOUT;
	if (events == stream->events)
		return;
	stream->events = events;
	loop_set_fd(stream->loop, stream->fd, events, handle_event, stream);
}

static stream_t *
create_stream(
    loop_t *loop, int fd, const stream_callbacks_t *callbacks, void *context)
{
	stream_t *stream = g_new0(stream_t, 1);
	int one = 1, idle = KEEPALIVE_IDLE_S, interval = KEEPALIVE_INTERVAL_S;
	int count = KEEPALIVE_COUNT, unacked = UNACKED_MAX_MS;

	stream->loop = loop;
	stream->fd = fd;
	stream->callbacks = *callbacks;
	stream->context = context;
	stream->is_reading = true;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
	setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked, sizeof(unacked));
	return stream;
}

static bool
parse_address(const char *address, struct sockaddr_in *out)
{
	char host[INET_ADDRSTRLEN];
	const char *colon = strrchr(address, ':');
	char *end;
	long port;

	if (colon == NULL || (size_t)(colon - address) >= sizeof(host))
		return false;
	memcpy(host, address, (size_t)(colon - address));
	host[colon - address] = '\0';
	port = strtol(colon + 1, &end, 10);
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	return *end == '\0' && port > 0 && port < 65536 &&
	       inet_pton(AF_INET, host, &out->sin_addr) == 1;
}

bool
stream_is_address(const char *address)
{
	struct sockaddr_in parsed;

	return parse_address(address, &parsed);
}

stream_t *
stream_connect(loop_t *loop, const char *address,
    const stream_callbacks_t *callbacks, void *context)
{
	struct sockaddr_in peer;
	stream_t *stream;
	int fd;

	if (!parse_address(address, &peer))
		return NULL;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return NULL;
	if (connect(fd, (struct sockaddr *)&peer, sizeof(peer)) != 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	stream = create_stream(loop, fd, callbacks, context);
	stream->is_connecting = true;
	update_events(stream);
	return stream;
}

stream_t *
stream_create_from_fd(
    loop_t *loop, int fd, const stream_callbacks_t *callbacks, void *context)
{
	stream_t *stream = create_stream(loop, fd, callbacks, context);

	update_events(stream);
	return stream;
}

int
stream_listen(const char *address, error_info_t *error)
{
	struct sockaddr_in self;
	int one = 1;
	int fd;

	if (!parse_address(address, &self)) {
		error_set(error, ERROR_INVALID, "listen", address,
		    "not an IPv4 address with a port; write 10.0.0.1:8080");
		return -1;
	}
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0) {
		error_set(error, ERROR_UNAVAILABLE, "listen", address, "%s",
		    strerror(errno));
		return -1;
	}
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&self, sizeof(self)) != 0 ||
	    listen(fd, LISTEN_BACKLOG) != 0) {
		error_set(error, ERROR_UNAVAILABLE, "listen", address,
		    "%s; is another process using the port?", strerror(errno));
		close(fd);
		return -1;
	}
	return fd;
}

/* Frees a closed and released stream unless one of its callbacks runs. */
static void
free_if_unused(stream_t *stream)
{
	if (!stream->is_closed || !stream->is_released ||
	    stream->callback_depth > 0)
		return;
	if (stream->write_buffer != NULL)
		g_string_free(stream->write_buffer, TRUE);
	g_free(stream);
}

static void
close_stream(stream_t *stream)
{
	if (stream->is_closed)
		return;
	loop_close_fd(stream->loop, stream->fd);
	stream->is_closed = true;
}

static void
report_close(stream_t *stream, bool is_clean)
{
	if (stream->is_closed)
		return;
	close_stream(stream);
	if (!stream->is_closing_after_flush)
		stream->callbacks.closed(stream->context, is_clean);
}

/* Returns false when the connection failed. */
static bool
flush_write_buffer(stream_t *stream)
{
	GString *write_buffer = stream->write_buffer;
	ssize_t count;

	if (write_buffer == NULL)
		return true;
	count = send(stream->fd, write_buffer->str + stream->write_offset,
	    write_buffer->len - stream->write_offset, MSG_NOSIGNAL);
	if (count < 0)
		return errno == EAGAIN || errno == EINTR;
	stream->write_offset += (size_t)count;
	if (stream->write_offset < write_buffer->len)
		return true;
	g_string_free(write_buffer, TRUE);
	stream->write_buffer = NULL;
	stream->write_offset = 0;
	update_events(stream);
	return true;
}

void
stream_write(stream_t *stream, const char *data, size_t length)
{
	ssize_t count = 0;

	if (stream->is_closed || length == 0)
		return;
	if (stream->write_buffer != NULL) {
		g_string_append_len(stream->write_buffer, data, (gssize)length);
		return;
	}
	if (!stream->is_connecting)
		count = send(stream->fd, data, length, MSG_NOSIGNAL);
	/* The loop reports a failure later, never from inside this call. */
	if (count < 0)
		count = 0;
	if ((size_t)count == length)
		return;
	stream->write_buffer =
	    g_string_new_len(data + count, (gssize)(length - (size_t)count));
	stream->write_offset = 0;
	update_events(stream);
}

int64_t
stream_get_rtt_us(const stream_t *stream)
{
	struct tcp_info info = { 0 };
	socklen_t length = sizeof(info);

	if (getsockopt(stream->fd, IPPROTO_TCP, TCP_INFO, &info, &length) != 0)
		return 0;
	return info.tcpi_rtt;
}

bool
stream_is_flushed(const stream_t *stream)
{
	return stream->write_buffer == NULL;
}

bool
stream_has_unread(const stream_t *stream)
{
	char byte;

	return !stream->is_closed &&
	       recv(stream->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void
stream_set_reading(stream_t *stream, bool is_reading)
{
	if (stream->is_closed || stream->is_reading == is_reading)
		return;
	stream->is_reading = is_reading;
	update_events(stream);
}

void
stream_shutdown_write(stream_t *stream)
{
	if (!stream->is_closed)
		shutdown(stream->fd, SHUT_WR);
}

void
stream_destroy(stream_t *stream)
{
	if (stream == NULL)
		return;
	stream->is_released = true;
	close_stream(stream);
	free_if_unused(stream);
}

void
stream_close_after_flush(stream_t *stream)
{
	stream->is_closing_after_flush = true;
	stream->is_released = true;
	if (stream->is_closed || stream->write_buffer == NULL) {
		stream_destroy(stream);
		return;
	}
	update_events(stream);
}

/* A failed connect is reported with an error event; success with none. */
static void
finish_connect(stream_t *stream, uint32_t events)
{
	if ((events & (EPOLLERR | EPOLLHUP)) != 0) {
		report_close(stream, false);
		return;
	}
	stream->is_connecting = false;
	if (stream->write_buffer == NULL)
		update_events(stream);
	if (stream->callbacks.opened != NULL)
		stream->callbacks.opened(stream->context);
}

static void
read_available(stream_t *stream)
{
	static __thread char buffer[READ_BYTES];
	ssize_t count = recv(stream->fd, buffer, sizeof(buffer), 0);

	if (count < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (count <= 0)
		report_close(stream, count == 0);
	else if (!stream->is_closing_after_flush)
		stream->callbacks.received(
		    stream->context, buffer, (size_t)count);
}

static void
handle_event(void *context, int fd, uint32_t events)
{
	stream_t *stream = context;

	stream->callback_depth++;
	if (stream->is_connecting && (events & ~(uint32_t)EPOLLIN) != 0)
		finish_connect(stream, events);
	if (!stream->is_closed && (events & EPOLLOUT) != 0 &&
	    !flush_write_buffer(stream))
		report_close(stream, false);
	if (!stream->is_closed && !stream->is_connecting &&
	    (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
		read_available(stream);
	else if (!stream->is_closed && !stream->is_connecting &&
		 (events & EPOLLRDHUP) != 0)
		report_close(stream, true);
	if (!stream->is_closed && stream->is_closing_after_flush &&
	    stream->write_buffer == NULL)
		close_stream(stream);
	stream->callback_depth--;
	free_if_unused(stream);
}
