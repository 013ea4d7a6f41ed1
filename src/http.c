/**
 * @file http.c
 * HTTP/1.1 message parsing with http-parser.
 */
#include <string.h>
#include <strings.h>

#include "http.h"

#define HEADERS_MAX		  100 /* in one message */
#define START_LINE_OVERHEAD_BYTES 14  /* method, version and spaces */
#define HEADER_OVERHEAD_BYTES	  2 /* ": " and CRLF, less the two NULs kept */
#define KEPT_BUFFER_BYTES	  16384	  /* of one that is used again */
#define UNWANTED_BODY_BYTES_MAX	  1048576 /* parsed and dropped */

static int on_target(http_parser *parser, const char *data, size_t length);
static int on_name(http_parser *parser, const char *data, size_t length);
static int on_value(http_parser *parser, const char *data, size_t length);
static int on_head(http_parser *parser);
static int on_body(http_parser *parser, const char *data, size_t length);
static int on_complete(http_parser *parser);
static bool is_named_by_connection(
    const http_message_t *message, const char *name);

static const http_parser_settings parser_callbacks = {
	.on_url = on_target,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/* RFC 9110, 7.6.1, and the framing headers, which the writer regenerates. */
static const char *const hop_by_hop[] = { "connection", "keep-alive",
	"proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
	"trailer", "transfer-encoding", "upgrade", "content-length", "expect",
	NULL };

void
http_message_begin(http_message_t *message, bool is_request,
    size_t head_bytes_max, size_t body_bytes_max)
{
	memset(message, 0, sizeof(*message));
	http_parser_init(
	    &message->parser, is_request ? HTTP_REQUEST : HTTP_RESPONSE);
	message->parser.data = message;
	message->text = g_string_sized_new(512);
	message->headers = g_array_new(FALSE, FALSE, sizeof(http_header_t));
	message->body = g_string_sized_new(512);
	if (is_request)
		message->forwarded_head = g_string_sized_new(256);
	message->head_bytes_max = head_bytes_max;
	message->body_bytes_max = body_bytes_max;
}

/* Empties the buffer. One large message must not hold its memory for ever. */
static GString *
reset_buffer(GString *buffer)
{
	if (buffer == NULL || buffer->allocated_len <= KEPT_BUFFER_BYTES)
		return buffer != NULL ? g_string_truncate(buffer, 0) : NULL;
	g_string_free(buffer, TRUE);
	return g_string_sized_new(512);
}

void
http_message_reset(http_message_t *message)
{
	http_message_t before = *message;

	memset(message, 0, sizeof(*message));
	http_parser_init(
	    &message->parser, (enum http_parser_type)before.parser.type);
	message->parser.data = message;
	message->text = reset_buffer(before.text);
	message->body = reset_buffer(before.body);
	message->forwarded_head = reset_buffer(before.forwarded_head);
	message->headers = g_array_set_size(before.headers, 0);
	message->head_bytes_max = before.head_bytes_max;
	message->body_bytes_max = before.body_bytes_max;
	message->head_parsed = before.head_parsed;
	message->context = before.context;
}

size_t
http_message_get_allocated(const http_message_t *message)
{
	return message->text->allocated_len + message->body->allocated_len;
}

void
http_message_end(http_message_t *message)
{
	if (message->text == NULL)
		return;
	g_string_free(message->text, TRUE);
	g_string_free(message->body, TRUE);
	if (message->forwarded_head != NULL)
		g_string_free(message->forwarded_head, TRUE);
	g_array_unref(message->headers);
	memset(message, 0, sizeof(*message));
}

/* Counts the stored text: the library's count lags inside its callbacks. */
static bool
is_head_too_large(const http_message_t *message)
{
	size_t framing = START_LINE_OVERHEAD_BYTES +
			 message->headers->len * HEADER_OVERHEAD_BYTES;

	return message->text->len + framing > message->head_bytes_max;
}

http_state_t
http_message_feed(
    http_message_t *message, const char *data, size_t length, size_t *consumed)
{
	size_t used;

	message->is_begun = message->is_begun || length > 0;
	message->input = data;
	message->input_end = data + length;
	used = http_parser_execute(
	    &message->parser, &parser_callbacks, data, length);
	*consumed = used;
	if (message->is_complete) {
		http_parser_pause(&message->parser, 0);
		return HTTP_COMPLETE;
	}
	if (message->parser.http_errno != HPE_OK || message->parser.upgrade)
		return HTTP_INVALID;
	if (!message->has_head && is_head_too_large(message)) {
		message->is_head_over_limit = true;
		return HTTP_INVALID;
	}
	return HTTP_INCOMPLETE;
}

http_state_t
http_message_finish(http_message_t *message)
{
	if (!message->is_begun || !message->has_head)
		return HTTP_INVALID;
	http_parser_execute(&message->parser, &parser_callbacks, NULL, 0);
	return message->is_complete ? HTTP_COMPLETE : HTTP_INVALID;
}

const char *
http_message_get_problem(const http_message_t *message)
{
	if (message->is_head_over_limit)
		return "the head is too large";
	if (message->is_body_over_limit)
		return "the body is too large";
	if (message->is_status_invalid)
		return "its status is not one of HTTP";
	if (message->parser.http_errno != HPE_OK)
		return http_errno_description(message->parser.http_errno);
	return "the message is cut short";
}

const char *
http_get_next_header(
    const http_message_t *message, const char *name, guint *position)
{
	char first = g_ascii_tolower(name[0]);

	while (*position < message->headers->len) {
		const http_header_t *header = &g_array_index(
		    message->headers, http_header_t, (*position)++);
		const char *each = message->text->str + header->name;

		if (g_ascii_tolower(each[0]) == first &&
		    strcasecmp(each, name) == 0)
			return message->text->str + header->value;
	}
	return NULL;
}

const char *
http_get_header(const http_message_t *message, const char *name)
{
	guint position = 0;

	return http_get_next_header(message, name, &position);
}

const char *
http_get_method(const http_message_t *message)
{
	return http_method_str(message->parser.method);
}

const char *
http_get_target(const http_message_t *message)
{
	return message->text->str + message->target;
}

void
http_append_end_to_end_headers(
    GString *out, const http_message_t *message, const char *const *except)
{
	for (guint i = 0; i < message->headers->len; i++) {
		const http_header_t *header =
		    &g_array_index(message->headers, http_header_t, i);
		const char *name = message->text->str + header->name;
		bool is_kept = !is_named_by_connection(message, name);

		for (int j = 0; is_kept && hop_by_hop[j] != NULL; j++)
			is_kept = strcasecmp(name, hop_by_hop[j]) != 0;
		for (int j = 0; is_kept && except[j] != NULL; j++)
			is_kept = strcasecmp(name, except[j]) != 0;
		if (!is_kept)
			continue;
		g_string_append(out, name);
		g_string_append(out, ": ");
		g_string_append(out, message->text->str + header->value);
		g_string_append(out, "\r\n");
	}
}

const char *
http_get_reason_phrase(int status)
{
	return http_status_str((enum http_status)status);
}

static http_message_t *
get_message(http_parser *parser)
{
	return parser->data;
}

/*
 * The library is lenient on characters. Rejects those that two peers could
 * interpret differently.
 */
static bool
has_safe_characters(const char *data, size_t length, bool is_name)
{
	for (size_t i = 0; i < length; i++) {
		unsigned char each = (unsigned char)data[i];

		if (each == 0x7f || (each < 0x20 && each != '\t'))
			return false;
		if (is_name && !g_ascii_isalnum(each) &&
		    strchr("!#$%&'*+-.^_`|~", each) == NULL)
			return false;
	}
	return true;
}

static int
on_target(http_parser *parser, const char *data, size_t length)
{
	if (!has_safe_characters(data, length, false) ||
	    memchr(data, ' ', length) != NULL)
		return -1;
	g_string_append_len(get_message(parser)->text, data, (gssize)length);
	return 0;
}

/*
 * Terminates the current string in the text. White space behind a value is no
 * part of it (RFC 9110, 5.5).
 */
static void
terminate_string(http_message_t *message)
{
	GString *text = message->text;

	if (message->is_value_open) {
		guint begin = g_array_index(
		    message->headers, http_header_t, message->headers->len - 1)
				  .value;

		while (
		    text->len > begin && (text->str[text->len - 1] == ' ' ||
					     text->str[text->len - 1] == '\t'))
			g_string_truncate(text, text->len - 1);
	}
	g_string_append_c(text, '\0');
}

static int
on_name(http_parser *parser, const char *data, size_t length)
{
	http_message_t *message = get_message(parser);
	http_header_t header;

	if (message->has_head) /* trailers are not forwarded */
		return 0;
	if (!has_safe_characters(data, length, true))
		return -1;
	if (!message->expects_value) {
		if (message->headers->len >= HEADERS_MAX) {
			message->is_head_over_limit = true;
			return -1;
		}
		/* Terminates the request target or the previous value. */
		terminate_string(message);
		header.name = (guint)message->text->len;
		header.value = 0;
		g_array_append_val(message->headers, header);
		message->expects_value = true;
	}
	g_string_append_len(message->text, data, (gssize)length);
	message->is_value_open = false;
	return 0;
}

static int
on_value(http_parser *parser, const char *data, size_t length)
{
	http_message_t *message = get_message(parser);

	if (message->has_head)
		return 0;
	if (!has_safe_characters(data, length, false))
		return -1;
	/* A value that continues at another address was folded. */
	if (message->is_value_open && data != message->value_end &&
	    !(data == message->input && message->is_value_split))
		return -1;
	message->value_end = data + length;
	message->is_value_split = message->value_end == message->input_end;
	if (!message->is_value_open) {
		terminate_string(message);
		g_array_index(
		    message->headers, http_header_t, message->headers->len - 1)
		    .value = (guint)message->text->len;
		message->is_value_open = true;
		message->expects_value = false;
	}
	g_string_append_len(message->text, data, (gssize)length);
	return 0;
}

static size_t
get_body_bytes_max(const http_message_t *message)
{
	return message->is_body_unwanted
		   ? MIN(message->body_bytes_max, UNWANTED_BODY_BYTES_MAX)
		   : message->body_bytes_max;
}

/*
 * Returns 1 for a response without a body. Checks Content-Length here, before
 * any byte of an oversized body is stored.
 */
static int
on_head(http_parser *parser)
{
	http_message_t *message = get_message(parser);

	terminate_string(message);
	message->has_head = true;
	message->expects_value = false;
	message->has_length = (parser->flags & F_CONTENTLENGTH) != 0;
	message->is_persistent = http_should_keep_alive(parser) != 0;
	if (parser->type == HTTP_RESPONSE &&
	    (parser->status_code < HTTP_STATUS_MIN ||
		parser->status_code > HTTP_STATUS_MAX)) {
		message->is_status_invalid = true;
		return -1;
	}
	if (is_head_too_large(message)) {
		message->is_head_over_limit = true;
		return -1;
	}
	if (message->head_parsed != NULL)
		message->head_parsed(message->context);
	if (message->has_length && !message->is_without_body &&
	    parser->content_length > get_body_bytes_max(message)) {
		message->is_body_over_limit = true;
		return -1;
	}
	return message->is_without_body ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *data, size_t length)
{
	http_message_t *message = get_message(parser);

	if (message->body->len + message->dropped_body_bytes + length >
	    get_body_bytes_max(message)) {
		message->is_body_over_limit = true;
		return -1;
	}
	if (message->is_body_unwanted) {
		message->dropped_body_bytes += length;
		return 0;
	}
	g_string_append_len(message->body, data, (gssize)length);
	return 0;
}

/* Pauses the parser, which leaves bytes after the message unparsed. */
static int
on_complete(http_parser *parser)
{
	get_message(parser)->is_complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static bool
is_named_by_connection(const http_message_t *message, const char *name)
{
	const char *list = http_get_header(message, "connection");
	size_t length = strlen(name);

	while (list != NULL && *list != '\0') {
		size_t skip = strspn(list, " \t,");
		size_t word = strcspn(list + skip, " \t,");

		if (word == length &&
		    strncasecmp(list + skip, name, length) == 0)
			return true;
		list += skip + word;
	}
	return false;
}
