/**
 * @file http.h
 * HTTP/1.1 messages and byte streams, for both sides of the tier.
 *
 * The parser is Debian's http-parser in strict mode: a message with
 * conflicting length headers is rejected, never interpreted.
 */
#ifndef HTTP_H
#define HTTP_H

#include <http_parser.h>

#include "plantainarch.h"

/* ---- Messages ---- */

#define HTTP_STATUS_MIN 100 /* RFC 9110, 15: other statuses are invalid */
#define HTTP_STATUS_MAX 599

typedef struct http_header {
	guint name, value; /* offsets into http_message_t.text */
} http_header_t;

typedef enum http_state {
	HTTP_INCOMPLETE, /* more bytes are needed */
	HTTP_COMPLETE,	 /* one message; later bytes are not consumed */
	HTTP_INVALID	 /* not HTTP, or ambiguous framing */
} http_state_t;

/** One message, during parsing and after. Reset it before the next one. */
typedef struct http_message {
	http_parser parser;
	GString *text;	 /* target, names and values, each NUL-terminated */
	GArray *headers; /* http_header_t */
	GString *body;
	GString *forwarded_head; /* head for leaves, cached by the protocol;
				    requests only */
	/** Called when the head is whole, before its body; may be NULL. */
	void (*head_parsed)(void *context);
	void *context; /* of head_parsed */
	guint target;  /* offset of the request target */
	size_t body_bytes_max, head_bytes_max;
	bool is_begun; /* at least one byte was received */
	bool has_head; /* all headers were parsed */
	bool has_length;
	bool is_without_body; /* a response to HEAD */
	bool is_complete;
	bool is_head_over_limit, is_body_over_limit;
	bool is_status_invalid; /* responses: not 100 to 599 */
	/** Set by head_parsed: the body is parsed, but not stored. */
	bool is_body_unwanted;
	size_t dropped_body_bytes;
	bool is_persistent; /* the connection can be reused */
	bool is_value_open; /* the parser is inside a header value */
	const char *input, *input_end, *value_end; /* detect folded values */
	bool is_value_split; /* the previous input ended inside a value */
	bool expects_value;  /* a name was parsed; its value follows */
} http_message_t;

void http_message_begin(http_message_t *message, bool is_request,
    size_t head_bytes_max, size_t body_bytes_max);
/** Keeps the limits and the callback; large buffers are freed. */
void http_message_reset(http_message_t *message);
/** Bytes allocated for the text and the body. */
size_t http_message_get_allocated(const http_message_t *message);
void http_message_end(http_message_t *message);
/** Parses bytes up to the end of the message at most. */
http_state_t http_message_feed(
    http_message_t *message, const char *data, size_t length, size_t *consumed);
/** Call at end of stream, which ends a body without a length. */
http_state_t http_message_finish(http_message_t *message);
/** Why the message is HTTP_INVALID; plain text for the log. */
const char *http_message_get_problem(const http_message_t *message);
const char *http_get_header(
    const http_message_t *message, const char *name); /* NULL if absent */
/** Each occurrence in turn; *position begins with 0. NULL: no further one. */
const char *http_get_next_header(
    const http_message_t *message, const char *name, guint *position);
const char *http_get_method(const http_message_t *message);
const char *http_get_target(const http_message_t *message);
/** Appends all headers but the hop-by-hop ones and those in `except`. */
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

bool stream_is_address(const char *address); /* IPv4:port */
stream_t *stream_connect(loop_t *loop, const char *address,
    const stream_callbacks_t *callbacks,
    void *context); /* NULL: bad address or connect error */
stream_t *stream_create_from_fd(
    loop_t *loop, int fd, const stream_callbacks_t *callbacks, void *context);
int stream_listen(const char *address,
    error_info_t *error); /* returns the descriptor, or -1 */
void stream_write(stream_t *stream, const char *data, size_t length);
int64_t stream_get_rtt_us(const stream_t *stream); /* 0: not known */
bool stream_is_flushed(const stream_t *stream);	   /* no buffered data */
bool stream_has_unread(const stream_t *stream);	   /* received, not read yet */
/** Pauses or resumes reading; unread bytes stay in the kernel. */
void stream_set_reading(stream_t *stream, bool is_reading);
void stream_shutdown_write(stream_t *stream); /* sends FIN */
void stream_destroy(stream_t *stream);	      /* closes; no callback follows */
/** Closes after the buffered data; discards input, no callback follows. */
void stream_close_after_flush(stream_t *stream);

#endif
