/**
 * @file http_framing.c
 * Messages with valid, invalid or ambiguous framing, split at every byte: the
 * result must not depend on where the input is split.
 */
#include <stdio.h>
#include <string.h>

#include "http.h"

typedef struct framing_case {
	const char *name;
	bool is_request;
	const char *bytes;
	http_state_t state; /* after all bytes */
	const char *body;
	const char *header, *value; /* NULL: not checked */
	size_t rest;		    /* bytes after the message */
} framing_case_t;

#define REQUEST "GET /a/b?c HTTP/1.1\r\nHost: h\r\n"

static const framing_case_t cases[] = {
	{ "no body", true, REQUEST "\r\n", HTTP_COMPLETE, "", "host", "h", 0 },
	{ "empty value", true, REQUEST "X:\r\nY: 1\r\n\r\n", HTTP_COMPLETE, "",
	    "x", "", 0 },
	{ "white space behind a value", true, REQUEST "X: a b \t \r\n\r\n",
	    HTTP_COMPLETE, "", "x", "a b", 0 },
	{ "a value of white space", true, REQUEST "X: \t \r\nY: 1 \r\n\r\n",
	    HTTP_COMPLETE, "", "x", "", 0 },
	{ "white space behind the last of two values", true,
	    REQUEST "X: \r\nY: 1 \r\n\r\n", HTTP_COMPLETE, "", "y", "1", 0 },
	{ "a length", true, REQUEST "Content-Length: 3\r\n\r\nabc",
	    HTTP_COMPLETE, "abc", "HOST", "h", 0 },
	{ "chunks", true,
	    REQUEST "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n"
		    "0\r\n\r\n",
	    HTTP_COMPLETE, "abc", NULL, NULL, 0 },
	{ "trailers are dropped", true,
	    REQUEST "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"
		    "Plantainarch-Request-Id: x\r\n\r\n",
	    HTTP_COMPLETE, "a", "plantainarch-request-id", NULL, 0 },
	{ "a second request behind", true, REQUEST "\r\nGET /", HTTP_COMPLETE,
	    "", NULL, NULL, 5 },
	{ "length and chunks", true,
	    REQUEST "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
		    "0\r\n\r\n",
	    HTTP_INVALID, NULL, NULL, NULL, 0 },
	{ "two lengths", true,
	    REQUEST "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
	    HTTP_INVALID, NULL, NULL, NULL, 0 },
	{ "negative length", true, REQUEST "Content-Length: -3\r\n\r\n",
	    HTTP_INVALID, NULL, NULL, NULL, 0 },
	{ "space before the colon", true, REQUEST "X : 1\r\n\r\n", HTTP_INVALID,
	    NULL, NULL, NULL, 0 },
	{ "space in a name", true, REQUEST "A B: 1\r\n\r\n", HTTP_INVALID, NULL,
	    NULL, NULL, 0 },
	{ "folded value", true, REQUEST "X: 1\r\n 2\r\n\r\n", HTTP_INVALID,
	    NULL, NULL, NULL, 0 },
	{ "control character", true, REQUEST "X: 1\x01\r\n\r\n", HTTP_INVALID,
	    NULL, NULL, NULL, 0 },
	{ "another encoding", true,
	    REQUEST "Transfer-Encoding: gzip\r\n\r\nabc", HTTP_INVALID, NULL,
	    NULL, NULL, 0 },
	{ "no HTTP", true, "\x16\x03\x01 hello\r\n\r\n", HTTP_INVALID, NULL,
	    NULL, NULL, 0 },
	{ "an answer", false, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
	    HTTP_COMPLETE, "ab", NULL, NULL, 0 },
	{ "status 000", false, "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nab",
	    HTTP_INVALID, NULL, NULL, NULL, 0 },
	{ "status 099", false, "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nab",
	    HTTP_INVALID, NULL, NULL, NULL, 0 },
	{ "status 600", false, "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nab",
	    HTTP_INVALID, NULL, NULL, NULL, 0 },
	{ "status of one digit", false, "HTTP/1.1 2 OK\r\n\r\n", HTTP_INVALID,
	    NULL, NULL, NULL, 0 },
	{ "status 599", false, "HTTP/1.1 599 x\r\nContent-Length: 2\r\n\r\nab",
	    HTTP_COMPLETE, "ab", NULL, NULL, 0 },
	{ "an answer and more", false,
	    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabxy", HTTP_COMPLETE,
	    "ab", NULL, NULL, 2 },
	{ "an answer cut short", false,
	    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", HTTP_INCOMPLETE,
	    NULL, NULL, NULL, 0 },
	{ "an answer without length", false, "HTTP/1.1 200 OK\r\n\r\nab",
	    HTTP_INCOMPLETE, NULL, NULL, NULL, 0 },
	{ "garbage for an answer", false, "xyzzy\r\n\r\n", HTTP_INVALID, NULL,
	    NULL, NULL, 0 },
};

static const char *const state_names[] = { "partial", "complete", "broken" };

static int
check(const framing_case_t *each, size_t cut)
{
	size_t length = strlen(each->bytes), used = 0, rest;
	char *first = g_memdup2(each->bytes, cut);
	char *second = g_memdup2(each->bytes + cut, length - cut);
	http_message_t message;
	http_state_t state;
	const char *value;
	int errors = 0;

	http_message_begin(&message, each->is_request, 4096, 4096);
	state = http_message_feed(&message, first, cut, &used);
	rest = cut - used + length - cut;
	if (state == HTTP_INCOMPLETE) {
		state =
		    http_message_feed(&message, second, length - cut, &used);
		rest = length - cut - used;
	}
	if (state != each->state) {
		printf("%s, cut at %zu: %s in place of %s\n", each->name, cut,
		    state_names[state], state_names[each->state]);
		errors++;
	} else if (state == HTTP_COMPLETE) {
		value = each->header != NULL
			    ? http_get_header(&message, each->header)
			    : NULL;
		if (strcmp(message.body->str, each->body) != 0 ||
		    rest != each->rest || g_strcmp0(value, each->value) != 0) {
			printf("%s, cut at %zu: body \"%s\" rest %zu value "
			       "\"%s\"\n",
			    each->name, cut, message.body->str, rest,
			    value != NULL ? value : "none");
			errors++;
		}
	}
	http_message_end(&message);
	g_free(first);
	g_free(second);
	return errors;
}

/* A head over its limit is rejected, however the input is split. */
static int
check_large(size_t piece)
{
	GString *bytes = g_string_new(REQUEST "X: ");
	http_message_t message;
	http_state_t state = HTTP_INCOMPLETE;
	size_t used;
	bool is_refused;

	for (int i = 0; i < 5000; i++)
		g_string_append_c(bytes, 'x');
	g_string_append(bytes, "\r\n\r\n");
	http_message_begin(&message, true, 4096, 4096);
	for (size_t at = 0; at < bytes->len && state == HTTP_INCOMPLETE;
	     at += piece)
		state = http_message_feed(&message, bytes->str + at,
		    MIN(piece, bytes->len - at), &used);
	is_refused = state == HTTP_INVALID && message.is_head_over_limit;
	if (!is_refused)
		printf("a large head in pieces of %zu: %s\n", piece,
		    state_names[state]);
	http_message_end(&message);
	g_string_free(bytes, TRUE);
	return is_refused ? 0 : 1;
}

static const struct cut_case {
	const char *head, *body;
	bool ends_with_connection; /* the body, which has no length */
} cut_cases[] = {
	{ "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 4\r\n\r\n", "abcd",
	    false },
	{ "HTTP/1.1 200 OK\r\nX: y\r\n\r\n", "abcd", true },
	{ "HTTP/1.1 200 OK\nX: y\n\n", "abcd", true },
	{ "HTTP/1.0 200 OK\r\nX: y\r\n\r\n", "abcd", true },
	{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	    "4\r\nabcd\r\n0\r\nT: u\r\n\r\n", false },
	{ "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n", "", false },
};

/*
 * A peer that stops inside the head or the body and closes has not sent a whole
 * answer, whatever was read of it.
 */
static int
check_cut(const struct cut_case *each)
{
	char *bytes = g_strconcat(each->head, each->body, NULL);
	size_t head_length = strlen(each->head);
	int errors = 0;

	for (size_t cut = 0; cut < strlen(bytes); cut++) {
		http_message_t message;
		bool may_end = each->ends_with_connection && cut >= head_length;
		size_t used;
		http_state_t state;

		http_message_begin(&message, false, 4096, 4096);
		http_message_feed(&message, bytes, cut, &used);
		state = http_message_finish(&message);
		if ((state == HTTP_COMPLETE) != may_end) {
			printf("cut at %zu of \"%.30s\": %s\n", cut, bytes,
			    state_names[state]);
			errors++;
		}
		http_message_end(&message);
	}
	g_free(bytes);
	return errors;
}

#define LARGE_BODY_BYTES 3000000
#define IDLE_BYTES_MAX	 65536 /* of a connection between two messages */

static void
refuse_body(void *context)
{
	((http_message_t *)context)->is_body_unwanted = true;
}

/*
 * A large body is held until the message is reset and no longer. One that is
 * not wanted is never held, and not read for ever.
 */
static int
check_memory(bool is_wanted)
{
	GString *bytes = g_string_new("HTTP/1.1 200 OK\r\n"
				      "Transfer-Encoding: chunked\r\n\r\n");
	http_message_t message;
	http_state_t state;
	size_t used, held;
	bool is_good;

	for (int i = 0; i < LARGE_BODY_BYTES / 1000; i++) {
		g_string_append(bytes, "3e8\r\n");
		for (int j = 0; j < 1000; j++)
			g_string_append_c(bytes, 'b');
		g_string_append(bytes, "\r\n");
	}
	g_string_append(bytes, "0\r\n\r\n");
	http_message_begin(&message, false, 4096, LARGE_BODY_BYTES);
	message.head_parsed = is_wanted ? NULL : refuse_body;
	message.context = &message;
	state = http_message_feed(&message, bytes->str, bytes->len, &used);
	held = http_message_get_allocated(&message);
	if (is_wanted)
		is_good = state == HTTP_COMPLETE && held >= LARGE_BODY_BYTES &&
			  message.body->len == LARGE_BODY_BYTES;
	else
		is_good = state == HTTP_INVALID && message.is_body_over_limit &&
			  held <= IDLE_BYTES_MAX;
	http_message_reset(&message);
	is_good =
	    is_good && http_message_get_allocated(&message) <= IDLE_BYTES_MAX;
	if (!is_good)
		printf("a large body, wanted %d: %s, held %zu and then %zu\n",
		    is_wanted, state_names[state], held,
		    http_message_get_allocated(&message));
	http_message_end(&message);
	g_string_free(bytes, TRUE);
	return is_good ? 0 : 1;
}

int
main(void)
{
	int errors = check_memory(true) + check_memory(false), count = 2;

	for (size_t i = 0; i < G_N_ELEMENTS(cut_cases); i++)
		errors += check_cut(&cut_cases[i]);

	for (size_t piece = 1; piece < 6000; piece += 7) {
		errors += check_large(piece);
		count++;
	}

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		for (size_t cut = 1; cut < strlen(cases[i].bytes); cut++) {
			errors += check(&cases[i], cut);
			count++;
		}
	printf("%d messages, %d wrong\n", count, errors);
	return errors == 0 ? 0 : 1;
}
