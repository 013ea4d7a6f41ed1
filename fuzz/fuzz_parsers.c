/**
 * @file fuzz_parsers.c
 * A libFuzzer target for all parsers of this project. The first byte of the
 * data selects the parser; the rest is the parser's input.
 */
#include <string.h>

#include "control_private.h"
#include "core_private.h"
#include "tier_process.h"

#define TIER_PARSER_BASE 0xf0 /* lowest first byte of a tier parser */

static void fuzz_reply(const char *data, size_t length);
static void fuzz_layout(const char *data, size_t length);
static void fuzz_settings(const char *data, size_t length);
static void fuzz_tier(int parser_index, const char *data, size_t length);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t length);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t length)
{
	const char *input = (const char *)data + 1;
	caller_request_t request;
	wire_message_t wire;
	gossip_message_t gossip;
	error_info_t error = { 0 };
	GArray *items;
	uint64_t revision;

	if (length < 1)
		return 0;
	if (data[0] >= TIER_PARSER_BASE) {
		fuzz_tier(data[0] - TIER_PARSER_BASE, input, length - 1);
		return 0;
	}
	switch (data[0] % 9) {
	case 0:
		caller_parse_search(&request, input, length - 1, &error);
		caller_request_clear(&request);
		break;
	case 1:
		caller_parse_order(&request, input, length - 1,
		    INT64_C(1800000000000000), &error);
		caller_request_clear(&request);
		break;
	case 2:
		if (wire_decode(&wire, input, length - 1, &error))
			wire_clear(&wire);
		break;
	case 3:
		gossip_decode(&gossip, input, length - 1, &error);
		gossip_end(&gossip);
		break;
	case 4:
		fuzz_settings(input, length - 1);
		break;
	case 5:
		fuzz_reply(input, length - 1);
		break;
	case 6:
		fuzz_layout(input, length - 1);
		break;
	case 7:
		items = g_array_new(FALSE, TRUE, sizeof(member_t));
		platform_parse_vms(input, length - 1, items);
		g_array_unref(items);
		break;
	default:
		items = g_array_new(FALSE, TRUE, sizeof(document_t));
		platform_parse_changes(
		    input, length - 1, "config/", &revision, items);
		for (guint i = 0; i < items->len; i++)
			g_free(g_array_index(items, document_t, i).body);
		g_array_unref(items);
		break;
	}
	return 0;
}

static void
fuzz_settings(const char *data, size_t length)
{
	settings_t *settings = g_new0(settings_t, 1);
	vm_settings_t vm_settings;
	problem_list_t problems;

	problem_list_begin(&problems);
	if (settings_parse(settings, "fuzz", data, length, &problems)) {
		char *text = settings_format(settings);
		settings_t *reparsed = g_new0(settings_t, 1);

		/* Formatting accepted settings must give text that parses. */
		if (!settings_parse(
			reparsed, "again", text, strlen(text), &problems))
			abort();
		g_free(reparsed);
		g_free(text);
	}
	vm_settings_parse(&vm_settings, "fuzz", data, length, &problems);
	problem_list_end(&problems);
	g_free(settings);
}

static void
fuzz_reply(const char *data, size_t length)
{
	instance_t instance = { .address = "127.0.0.1:1" };
	leaf_t leaf = { .instance = &instance };
	index_info_t index = { .name = "main", .version = 1 };
	query_t query = { .request = "vm1-0-1", .index = &index, .limit = 10 };
	attempt_t attempt = { .id = 2, .leaf = &leaf };
	GArray *hits = g_array_new(FALSE, FALSE, sizeof(hit_t));
	error_info_t error = { 0 };
	log_event_t violation;

	reply_parse(&query, &attempt, data, length, hits, &violation, &error);
	reply_free_hits(hits);
	g_array_unref(hits);
}

static void
fuzz_layout(const char *data, size_t length)
{
	document_t document = {
		.name = "index/main", .version = 1, .length = length
	};
	member_t self = {
		.id = "vm1", .zone = "a", .address = "127.0.0.1", .threads = 1
	};
	error_info_t error = { 0 };
	fleet_t *fleet;

	document.body = g_strndup(data, length);
	fleet = fleet_create("vm1", 1, &document, 1, &self, 1, NULL, &error);
	fleet_release(fleet);
	g_free(document.body);
}

/*
 * Feeds the data in two pieces, as a network may deliver it. The first byte
 * gives the offset of the split and is itself part of the message.
 */
static void
fuzz_http(bool is_request, const char *data, size_t length)
{
	const protocol_t *protocol = protocol_find("objects");
	size_t split_offset = length > 0 ? (unsigned char)data[0] % length : 0,
	       consumed;
	tier_request_info_t info = { 0 };
	leaf_answer_t answer = { 0 };
	feed_call_t call;
	const char *id;
	http_message_t message;
	http_state_t state;

	http_message_begin(&message, is_request, 2048, 2048);
	state = http_message_feed(&message, data, split_offset, &consumed);
	if (state == HTTP_INCOMPLETE)
		state = http_message_feed(&message, data + split_offset,
		    length - split_offset, &consumed);
	if (state == HTTP_INCOMPLETE)
		state = http_message_finish(&message);
	if (state == HTTP_COMPLETE && is_request) {
		protocol->read_request_info(&message, &info);
		protocol->read_feed_call(http_get_target(&message), &call);
	} else if (state == HTTP_COMPLETE)
		protocol->read_leaf_answer(&message, &answer, &id);
	http_message_end(&message);
}

static void
match_table(void *context, route_table_t *table)
{
	route_table_match(table, "site.example", "/a/b/c?d");
	route_table_release(table);
}

static void
ignore_leaf(void *context, const leaf_entry_t *entry)
{
}

static void
ignore_reader(void *context, const reader_entry_t *entry)
{
}

static void
ignore_removal(void *context, feed_t feed, const char *name)
{
}

static void
ignore_rejection(
    void *context, feed_t feed, const char *name, const char *reason)
{
}

static void
fuzz_feed_page(feed_t feed, bool is_list, const char *data, size_t length)
{
	static const feed_sink_t sink = { NULL, match_table, ignore_leaf,
		ignore_reader, ignore_removal, ignore_rejection };
	const protocol_t *protocol = protocol_find("objects");
	feed_page_t page = { 0 };
	error_info_t error = { 0 };

	(is_list ? protocol->read_list : protocol->read_events)(
	    feed, data, length, &sink, &page, &error);
}

static void
fuzz_tier(int parser_index, const char *data, size_t length)
{
	reader_entry_t reader;
	tier_settings_t settings;
	problem_list_t problems;

	switch (parser_index % 6) {
	case 0:
		fuzz_http(true, data, length);
		break;
	case 1:
		fuzz_http(false, data, length);
		break;
	case 2:
		fuzz_feed_page(FEED_CONFIGURATION, true, data, length);
		break;
	case 3:
		fuzz_feed_page(FEED_LEAVES, true, data, length);
		fuzz_feed_page(FEED_READERS, true, data, length);
		protocol_find("objects")->read_reader(data, length, &reader);
		break;
	case 4:
		fuzz_feed_page(FEED_LEAVES, false, data, length);
		break;
	default:
		problem_list_begin(&problems);
		tier_settings_parse(&settings, "fuzz", data, length, &problems);
		tier_settings_clear(&settings);
		problem_list_end(&problems);
		break;
	}
}
