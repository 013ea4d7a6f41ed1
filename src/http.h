/**
 * @file http.h
 * HTTP/1.1 messages and byte streams, for both sides of the tier.
 *
 * The parser is Debian's http-parser in strict mode: a message whose length
 * two headers tell differently is refused, never interpreted.
 */
#ifndef HTTP_H
#define HTTP_H

#include <http_parser.h>

#include "plantainarch.h"

/* ---- Messages ---- */

typedef struct http_header {
	guint name, value; /* offsets into the text of the message */
} http_header_t;

typedef enum http_state {
	HTTP_INCOMPLETE, /* more bytes are needed */
	HTTP_COMPLETE,	 /* one whole message; later bytes are not consumed */
	HTTP_INVALID	 /* no HTTP, or ambiguous framing */
} http_state_t;

/** One message while it is read, and after. Reset before the next one. */
typedef struct http_message {
	http_parser parser;
	GString *text;	 /* names, values and target, each with its NUL */
	GArray *headers; /* http_header_t */
	GString *body;
	GString *relayed; /* scratch of the protocol: its head for leafs */
	guint target;	  /* offset of the request target */
	size_t body_bytes_max, head_bytes_max;
	bool is_begun; /* a byte of it was seen */
	bool has_head; /* all headers are in */
	bool has_length;
	bool is_without_body; /* an answer to HEAD */
	bool is_complete;
	bool is_head_over_limit, is_body_over_limit;
	bool is_persistent; /* the connection may be used again */
	bool is_value_open; /* the parser is inside a header value */
	const char *fed, *fed_end, *value_end; /* find folded values */
	bool is_value_cut;  /* the bytes fed before ended inside a value */
	bool is_value_next; /* the next value byte begins a value */
} http_message_t;

void http_message_begin(http_message_t *message, bool is_request,
    size_t head_bytes_max, size_t body_bytes_max);
void http_message_reset(http_message_t *message); /* for the next message */
void http_message_end(http_message_t *message);
/** Consumes bytes up to the end of the message at most. */
http_state_t http_message_feed(
    http_message_t *message, const char *data, size_t length, size_t *consumed);
/** The peer closed cleanly, which ends a body that has no length. */
http_state_t http_message_finish(http_message_t *message);
const char *http_get_header(
    const http_message_t *message, const char *name); /* NULL if absent */
const char *http_get_method(const http_message_t *message);
const char *http_get_target(const http_message_t *message);
/** Appends headers that concern the whole path, without those in `except`. */
void http_append_end_to_end_headers(
    GString *out, const http_message_t *message, const char *const *except);
const char *http_get_reason_phrase(int status); /* "Not Found" */

/* ---- Streams: non-blocking TCP connections on a loop ---- */

typedef struct stream stream_t;

typedef struct stream_callbacks {
	void (*opened)(void *context); /* connected; may be NULL */
	void (*received)(void *context, const char *data, size_t length);
	void (*closed)(void *context, bool is_clean); /* clean: end of stream */
} stream_callbacks_t;

stream_t *stream_connect(loop_t *loop, const char *address,
    const stream_callbacks_t *hooks, void *context); /* NULL: no such address */
stream_t *stream_create_from_fd(
    loop_t *loop, int fd, const stream_callbacks_t *hooks, void *context);
int stream_listen(const char *address, error_info_t *error); /* a descriptor */
void stream_write(stream_t *stream, const char *data, size_t length);
int64_t stream_get_rtt_us(const stream_t *stream); /* 0: not known */
bool stream_is_flushed(const stream_t *stream);	   /* nothing waits here */
/** Stops reading; bytes that come later wait in the kernel. */
void stream_set_reading(stream_t *stream, bool is_reading);
void stream_shutdown_write(stream_t *stream); /* the peer sees the end */
void stream_destroy(stream_t *stream);	      /* closes; no callback follows */
/** Closes once all is written; takes no more input, calls nothing back. */
void stream_close_after_flush(stream_t *stream);

#endif
