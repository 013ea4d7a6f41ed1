/**
 * @file caller.c
 * Parses and validates the searches and orders that callers send as JSON. Each
 * error names the invalid field or position and the allowed values.
 */
#include <jansson.h>
#include <string.h>

#include "plantainarch.h"

#define RESULT_LIMIT_DEFAULT 10
#define TRY_NUMBER_MAX	     1000
/* An order that was issued longer ago counts as a repeat, since an earlier try
 * may have run. */
#define FIRST_TRY_AGE_MAX_US 500000
#define CLOCK_SKEW_MAX_US    60000000

static json_t *parse_body(const char *body, size_t length, error_info_t *error);
static bool parse_common_fields(const char *index, const char *rank_name,
    int64_t deadline_ms, event_t *event, error_info_t *error);
static bool set_bad_request(error_info_t *error, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

bool
caller_parse_search(caller_request_t *request, const char *body, size_t length,
    error_info_t *error)
{
	event_t *event = &request->event;
	const char *rank_name = NULL;
	json_int_t deadline_ms = 0;
	int limit = RESULT_LIMIT_DEFAULT;
	json_error_t json_error;

	memset(request, 0, sizeof(*request));
	event->type = EVENT_SEARCH;
	request->root = parse_body(body, length, error);
	if (request->root == NULL)
		return false;
	if (json_unpack_ex(request->root, &json_error, JSON_STRICT,
		"{s:s, s:s, s?s, s?I, s?i, s?s}", "index", &event->index,
		"query", &event->text, "rank", &rank_name, "deadline_ms",
		&deadline_ms, "limit", &limit, "caller",
		&event->caller_name) != 0)
		return set_bad_request(error,
		    "%s; a search has index, query and may have rank, "
		    "deadline_ms, limit, caller",
		    json_error.text);
	event->text_length = strlen(event->text);
	if (event->text_length > CALLER_QUERY_BYTES_MAX)
		return set_bad_request(error, "the query is over %d bytes",
		    CALLER_QUERY_BYTES_MAX);
	if (limit < 1 || limit > CALLER_HIT_LIMIT_MAX)
		return set_bad_request(error, "limit is %d; allowed is 1 to %d",
		    limit, CALLER_HIT_LIMIT_MAX);
	event->limit = (uint32_t)limit;
	return parse_common_fields(
	    event->index, rank_name, deadline_ms, event, error);
}

bool
caller_parse_order(caller_request_t *request, const char *body, size_t length,
    int64_t wall_us, error_info_t *error)
{
	event_t *event = &request->event;
	const char *rank_name = NULL;
	json_int_t deadline_ms = 0, issued_ms = 0;
	json_error_t json_error;
	json_t *order;

	memset(request, 0, sizeof(*request));
	event->type = EVENT_ORDER;
	event->try_number = 1;
	request->root = parse_body(body, length, error);
	if (request->root == NULL)
		return false;
	if (json_unpack_ex(request->root, &json_error, JSON_STRICT,
		"{s:s, s:s, s:I, s:o, s?s, s?I, s?i}", "index", &event->index,
		"key", &event->idempotency_key, "issued_ms", &issued_ms,
		"order", &order, "rank", &rank_name, "deadline_ms",
		&deadline_ms, "try", &event->try_number) != 0)
		return set_bad_request(error,
		    "%s; an order has index, key, issued_ms, order and may "
		    "have rank, deadline_ms, try",
		    json_error.text);
	if (event->idempotency_key[0] == '\0' ||
	    strlen(event->idempotency_key) >= NAME_BYTES ||
	    strpbrk(event->idempotency_key, "\"\\\n") != NULL)
		return set_bad_request(error,
		    "the key must have 1 to %d bytes, without quotes, "
		    "backslashes or line ends",
		    NAME_BYTES - 1);
	if (event->try_number < 1 || event->try_number > TRY_NUMBER_MAX)
		return set_bad_request(error,
		    "try is %d; allowed is 1 to %d, one more each time the key "
		    "is asked again",
		    event->try_number, TRY_NUMBER_MAX);
	if (issued_ms < 0 || issued_ms > (wall_us + CLOCK_SKEW_MAX_US) / 1000)
		return set_bad_request(error,
		    "issued_ms is negative or lies in the "
		    "future; give milliseconds since 1970");
	event->issued_us = issued_ms * 1000;
	event->is_repeat = event->try_number > 1 ||
			   wall_us - event->issued_us > FIRST_TRY_AGE_MAX_US;
	request->order_text = json_dumps(order, JSON_COMPACT | JSON_ENCODE_ANY);
	event->text = request->order_text;
	event->text_length = strlen(request->order_text);
	return parse_common_fields(
	    event->index, rank_name, deadline_ms, event, error);
}

void
caller_request_clear(caller_request_t *request)
{
	json_decref(request->root);
	free(request->order_text);
	memset(request, 0, sizeof(*request));
}

static json_t *
parse_body(const char *body, size_t length, error_info_t *error)
{
	json_error_t json_error;
	json_t *root =
	    json_loadb(body, length, JSON_REJECT_DUPLICATES, &json_error);

	if (root == NULL)
		error_set(error, ERROR_INVALID, "bad_json", "",
		    "line %d column %d: %s", json_error.line, json_error.column,
		    json_error.text);
	return root;
}

static bool
parse_common_fields(const char *index, const char *rank_name,
    int64_t deadline_ms, event_t *event, error_info_t *error)
{
	rank_t rank;

	event->rank = -1;
	if (strlen(index) >= NAME_BYTES)
		return set_bad_request(
		    error, "the index name is over %d bytes", NAME_BYTES - 1);
	if (deadline_ms < 0 || deadline_ms > INT32_MAX)
		return set_bad_request(error,
		    "deadline_ms is in the past or too far "
		    "off; give milliseconds from now");
	if (rank_name != NULL && !rank_parse(rank_name, &rank))
		return set_bad_request(error,
		    "that rank is unknown; allowed are "
		    "urgent, standard and bulk");
	if (rank_name != NULL)
		event->rank = (int)rank;
	event->deadline_us = deadline_ms * 1000;
	return true;
}

/* Sets an error whose step, bad_request, is the reason in the caller's answer.
 * Returns false. */
static bool
set_bad_request(error_info_t *error, const char *format, ...)
{
	va_list arguments;
	char text[ERROR_BYTES];

	va_start(arguments, format);
	g_vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	return error_set(error, ERROR_INVALID, "bad_request", "", "%s", text);
}
