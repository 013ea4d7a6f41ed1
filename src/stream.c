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
 * A connection that fell silent is noticed by probes: idle, interval and
 * count give 4 s at most, less than the time after which the platform expects
 * a VM to have recovered from such a fault.
 */
#define PROBE_IDLE_S	 2
#define PROBE_INTERVAL_S 1
#define PROBE_COUNT	 2
#define UNACKED_MS	 3000 /* sent data without acknowledgement */

struct stream {
	loop_t *loop;
	int fd;
	bool is_connecting, is_closed, is_finishing, is_reading;
	bool is_disowned; /* freed as soon as it is closed */
	int depth;	  /* callbacks in progress */
	GString *pending;
	size_t written; /* of pending */
	stream_callbacks_t hooks;
	void *context;
};

static void handle_event(void *context, int fd, uint32_t events);

static stream_t *
create_stream(
    loop_t *loop, int fd, const stream_callbacks_t *hooks, void *context)
{
	stream_t *stream = g_new0(stream_t, 1);
	int one = 1, idle = PROBE_IDLE_S, interval = PROBE_INTERVAL_S;
	int count = PROBE_COUNT, unacked = UNACKED_MS;

	stream->loop = loop;
	stream->fd = fd;
	stream->hooks = *hooks;
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

stream_t *
stream_connect(loop_t *loop, const char *address,
    const stream_callbacks_t *hooks, void *context)
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
	stream = create_stream(loop, fd, hooks, context);
	stream->is_connecting = true;
	loop_set_fd(loop, fd, EPOLLIN | EPOLLOUT, handle_event, stream);
	return stream;
}

stream_t *
stream_create_from_fd(
    loop_t *loop, int fd, const stream_callbacks_t *hooks, void *context)
{
	stream_t *stream = create_stream(loop, fd, hooks, context);

	loop_set_fd(loop, fd, EPOLLIN, handle_event, stream);
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

static void
update_interest(stream_t *stream)
{
	uint32_t events = stream->is_reading ? EPOLLIN : EPOLLRDHUP;

	if (stream->is_connecting || stream->pending != NULL)
		events |= EPOLLOUT;
	loop_set_fd(stream->loop, stream->fd, events, handle_event, stream);
}

/* Frees a closed stream once none of its callbacks runs any more. */
static void
release(stream_t *stream)
{
	if (!stream->is_closed || !stream->is_disowned || stream->depth > 0)
		return;
	if (stream->pending != NULL)
		g_string_free(stream->pending, TRUE);
	g_free(stream);
}

static void
close_stream(stream_t *stream)
{
	if (stream->is_closed)
		return;
	loop_unset_fd(stream->loop, stream->fd);
	close(stream->fd);
	stream->is_closed = true;
}

static void
report_close(stream_t *stream, bool is_clean)
{
	if (stream->is_closed)
		return;
	close_stream(stream);
	if (!stream->is_finishing)
		stream->hooks.closed(stream->context, is_clean);
}

/* Returns false when the connection failed. */
static bool
write_pending(stream_t *stream)
{
	GString *pending = stream->pending;
	ssize_t count;

	if (pending == NULL)
		return true;
	count = send(stream->fd, pending->str + stream->written,
	    pending->len - stream->written, MSG_NOSIGNAL);
	if (count < 0)
		return errno == EAGAIN || errno == EINTR;
	stream->written += (size_t)count;
	if (stream->written < pending->len)
		return true;
	g_string_free(pending, TRUE);
	stream->pending = NULL;
	stream->written = 0;
	update_interest(stream);
	return true;
}

void
stream_write(stream_t *stream, const char *data, size_t length)
{
	ssize_t count = 0;

	if (stream->is_closed || length == 0)
		return;
	if (stream->pending != NULL) {
		g_string_append_len(stream->pending, data, (gssize)length);
		return;
	}
	if (!stream->is_connecting)
		count = send(stream->fd, data, length, MSG_NOSIGNAL);
	/* A failure is reported by the loop, never inside the caller. */
	if (count < 0)
		count = 0;
	if ((size_t)count == length)
		return;
	stream->pending =
	    g_string_new_len(data + count, (gssize)(length - (size_t)count));
	stream->written = 0;
	update_interest(stream);
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
	return stream->pending == NULL;
}

void
stream_set_reading(stream_t *stream, bool is_reading)
{
	if (stream->is_closed || stream->is_reading == is_reading)
		return;
	stream->is_reading = is_reading;
	update_interest(stream);
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
	stream->is_disowned = true;
	close_stream(stream);
	release(stream);
}

void
stream_close_after_flush(stream_t *stream)
{
	stream->is_finishing = true;
	stream->is_disowned = true;
	if (stream->is_closed || stream->pending == NULL) {
		stream_destroy(stream);
		return;
	}
	update_interest(stream);
}

static void
finish_connect(stream_t *stream)
{
	int failure = 0;
	socklen_t length = sizeof(failure);

	getsockopt(stream->fd, SOL_SOCKET, SO_ERROR, &failure, &length);
	if (failure != 0) {
		report_close(stream, false);
		return;
	}
	stream->is_connecting = false;
	update_interest(stream);
	if (stream->hooks.opened != NULL)
		stream->hooks.opened(stream->context);
}

static void
read_some(stream_t *stream)
{
	static __thread char buffer[READ_BYTES];
	ssize_t count = recv(stream->fd, buffer, sizeof(buffer), 0);

	if (count < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (count <= 0)
		report_close(stream, count == 0);
	else if (!stream->is_finishing)
		stream->hooks.received(stream->context, buffer, (size_t)count);
}

static void
handle_event(void *context, int fd, uint32_t events)
{
	stream_t *stream = context;

	stream->depth++;
	if (stream->is_connecting && (events & ~(uint32_t)EPOLLIN) != 0)
		finish_connect(stream);
	if (!stream->is_closed && (events & EPOLLOUT) != 0 &&
	    !write_pending(stream))
		report_close(stream, false);
	if (!stream->is_closed && !stream->is_connecting &&
	    (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
		read_some(stream);
	else if (!stream->is_closed && !stream->is_connecting &&
		 (events & EPOLLRDHUP) != 0)
		report_close(stream, true);
	if (!stream->is_closed && stream->is_finishing &&
	    stream->pending == NULL)
		close_stream(stream);
	stream->depth--;
	release(stream);
}
