/**
 * @file odd_entries.c
 * One entry of another writer that cannot be read must not hide the entries
 * beside it, end the process or end a list of several pages: in each feed, in a
 * list and in the changes of a watch, at each place of the page; in the list of
 * VMs, in the changes of documents and in the messages between VMs.
 */
#include <stdio.h>
#include <string.h>

#include "control_private.h"
#include "tier_process.h"

#define DEEP 100000 /* nested arrays */

typedef struct seen {
	int leaves, readers, configurations, removed, rejected;
	char rejected_name[KEY_BYTES];
} seen_t;

/* "deep" and "digits" are made by make_value(). */
static const char *const odd_values[] = { "\"v\\ud83d\"", "\"v\xff\"",
	"18446744073709551616", "1e999", "-1e999", "deep", "digits", "\"\\q\"",
	"tru", "\"a\nb\"" };

static char *
make_value(const char *name)
{
	GString *text;

	if (strcmp(name, "deep") == 0) {
		text = g_string_new(NULL);
		for (int i = 0; i < DEEP; i++)
			g_string_append_c(text, '[');
		for (int i = 0; i < DEEP; i++)
			g_string_append_c(text, ']');
		return g_string_free(text, FALSE);
	}
	if (strcmp(name, "digits") == 0)
		return g_strnfill(400, '9');
	return g_strdup(name);
}

static void
see_configuration(void *context, route_table_t *table)
{
	((seen_t *)context)->configurations++;
	route_table_release(table);
}

static void
see_leaf(void *context, const leaf_entry_t *entry)
{
	((seen_t *)context)->leaves++;
}

static void
see_reader(void *context, const reader_entry_t *entry)
{
	((seen_t *)context)->readers += entry->address[0] != '\0';
}

static void
see_removal(void *context, feed_t feed, const char *name)
{
	((seen_t *)context)->removed++;
}

static void
see_rejected(void *context, feed_t feed, const char *name, const char *why)
{
	seen_t *seen = context;

	seen->rejected++;
	g_strlcpy(seen->rejected_name, name, sizeof(seen->rejected_name));
}

static char *
make_object(feed_t feed, int number, const char *odd_value)
{
	const char *odd = odd_value != NULL ? odd_value : "1";

	switch (feed) {
	case FEED_LEAVES:
		return g_strdup_printf(
		    "{\"meta\":{\"name\":\"i-%d\",\"revision\":%d},\"spec\":{"
		    "\"service\":\"s\",\"address\":\"127.0.0.1:80\",\"zone\":"
		    "\"z\",\"slots\":2,\"state\":\"ready\",\"version\":\"v\","
		    "\"seq\":1,\"born\":5,\"cold_left_ms\":0,\"odd\":%s}}",
		    number, number, odd);
	case FEED_READERS:
		return g_strdup_printf(
		    "{\"meta\":{\"name\":\"zone-%d\",\"revision\":%d},\"spec\":"
		    "{\"vm\":\"v\",\"address\":\"127.0.0.1:80\"},\"status\":{"
		    "\"vms\":3,\"odd\":%s}}",
		    number, number, odd);
	default:
		return g_strdup_printf(
		    "{\"meta\":{\"name\":\"%s\",\"revision\":%d},\"spec\":{"
		    "\"version\":%d,\"routes\":[],\"services\":[],\"odd\":%s}}",
		    odd_value != NULL ? "other" : "main", number, number, odd);
	}
}

/* A page of three objects, the one at odd_place with an odd value. */
static char *
make_page(feed_t feed, bool is_list, int odd_place, const char *odd_value)
{
	GString *page =
	    g_string_new(is_list ? "{\"items\":[" : "{ \"events\" : [ ");

	for (int i = 0; i < 3; i++) {
		char *object =
		    make_object(feed, i + 1, i == odd_place ? odd_value : NULL);

		g_string_append(page, i > 0 ? " , " : "");
		if (is_list)
			g_string_append(page, object);
		else
			g_string_append_printf(
			    page, "{\"object\":%s,\"deleted\":false}", object);
		g_free(object);
	}
	g_string_append(page, is_list
				  ? "],\"has_more\":true,\"current_rev\":77}"
				  : "] ,\"current_rev\":77 }");
	return g_string_free(page, FALSE);
}

static bool
check_page(feed_t feed, bool is_list, int odd_place, const char *name)
{
	const protocol_t *protocol = protocol_find("objects");
	seen_t seen = { 0 };
	feed_sink_t sink = { &seen, see_configuration, see_leaf, see_reader,
		see_removal, see_rejected };
	feed_page_t page = { 0 };
	error_info_t error = { 0 };
	char *value = make_value(name);
	char *text = make_page(feed, is_list, odd_place, value);
	bool is_good = (is_list ? protocol->read_list : protocol->read_events)(
	    feed, text, strlen(text), &sink, &page, &error);

	is_good &= seen.leaves + seen.readers + seen.configurations == 2 &&
		   seen.rejected == 1 && seen.removed == 0 &&
		   seen.rejected_name[0] != '\0' && page.revision == 77 &&
		   page.has_next_page == is_list &&
		   (!is_list || page.last_name[0] != '\0');
	if (!is_good)
		printf("FAIL feed %d, %s, place %d, %.20s: %s\n", feed,
		    is_list ? "list" : "watch", odd_place, name, error.text);
	g_free(value);
	g_free(text);
	return is_good;
}

/* The removal of an entry that cannot be read is a removal. */
static bool
check_removal(void)
{
	const protocol_t *protocol = protocol_find("objects");
	static const char text[] =
	    "{\"events\":[{\"deleted\":true,\"object\":{\"meta\":{\"name\":"
	    "\"i-1\"},\"spec\":{\"slots\":1e999}}}],\"current_rev\":5}";
	seen_t seen = { 0 };
	feed_sink_t sink = { &seen, see_configuration, see_leaf, see_reader,
		see_removal, see_rejected };
	feed_page_t page = { 0 };
	error_info_t error = { 0 };
	bool is_good = protocol->read_events(FEED_LEAVES, text,
			   sizeof(text) - 1, &sink, &page, &error) &&
		       seen.removed == 1 && page.revision == 5;

	if (!is_good)
		printf("FAIL removal\n");
	return is_good;
}

static const struct field_case {
	const char *fields; /* of the spec */
	int leaves;	    /* read from it */
} field_cases[] = {
	{ "\"address\":\"127.0.0.1:80\",\"slots\":2", 1 },
	{ "\"address\":\"127.0.0.1:65535\",\"slots\":2", 1 },
	{ "\"address\":\"127.0.0.1:65536\",\"slots\":2", 0 },
	{ "\"address\":\"127.0.0.1:99999\",\"slots\":2", 0 },
	{ "\"address\":\"127.0.0.1:0\",\"slots\":2", 0 },
	{ "\"address\":\"127.0.0.1:-1\",\"slots\":2", 0 },
	{ "\"address\":\"127.0.0.1:\",\"slots\":2", 0 },
	{ "\"address\":\"127.0.0.1\",\"slots\":2", 0 },
	{ "\"address\":\"a.example:80\",\"slots\":2", 0 },
	{ "\"address\":\"\",\"slots\":2", 0 },
	{ "\"address\":7,\"slots\":2", 0 },
	{ "\"address\":\"127.0.0.1:80\",\"slots\":\"two\"", 0 },
	{ "\"address\":\"127.0.0.1:80\",\"slots\":1e9", 0 },
	{ "\"address\":\"127.0.0.1:80\",\"slots\":-5", 1 },
	{ "\"address\":\"127.0.0.1:80\",\"slots\":4294967296", 1 },
	{ "\"address\":\"127.0.0.1:80\",\"slots\":9223372036854775807", 1 },
};

static int slots_seen;

static void
see_slots(void *context, const leaf_entry_t *entry)
{
	((seen_t *)context)->leaves++;
	slots_seen = entry->slots;
}

/* Values out of range: the entry names no leaf, or the number is bounded. */
static bool
check_fields(const struct field_case *test)
{
	const protocol_t *protocol = protocol_find("objects");
	seen_t seen = { 0 };
	feed_sink_t sink = { &seen, see_configuration, see_slots, see_reader,
		see_removal, see_rejected };
	feed_page_t page = { 0 };
	error_info_t error = { 0 };
	char *text = g_strdup_printf(
	    "{\"items\":[{\"meta\":{\"name\":\"i-1\"},\"spec\":{\"service\":"
	    "\"s\",\"zone\":\"z\",\"state\":\"ready\",\"version\":\"v\","
	    "\"seq\":1,\"born\":5,\"cold_left_ms\":0,%s}}],\"current_rev\":1}",
	    test->fields);
	bool is_good;

	slots_seen = 1;
	is_good = protocol->read_list(
		      FEED_LEAVES, text, strlen(text), &sink, &page, &error) &&
		  seen.leaves == test->leaves &&
		  seen.rejected == 1 - test->leaves && slots_seen >= 1;
	if (!is_good)
		printf("FAIL %s\n", test->fields);
	g_free(text);
	return is_good;
}

/* Of several changes of one object the last stays, in the order of these. */
static bool
check_compaction(void)
{
	static const char text[] =
	    "{ \"events\" : "
	    "[{\"object\":{\"meta\":{\"name\":\"a\"},\"spec\":1}},"
	    "{\"object\":{\"meta\":{\"name\":\"b\"},\"spec\":\"x,]\"}}, "
	    "{\"object\":{\"meta\":{\"name\":\"a\"},\"spec\":1e999},"
	    "\"deleted\":true}], \"current_rev\" : 9 }";
	static const char wanted[] =
	    "{\"events\":[{\"object\":{\"meta\":{\"name\":\"b\"},\"spec\":\"x,]"
	    "\"}},"
	    "{\"object\":{\"meta\":{\"name\":\"a\"},\"spec\":1e999},"
	    "\"deleted\":true}],\"current_rev\":9}";
	GString *out = g_string_new(NULL);
	bool is_good = protocol_find("objects")->compact_events(
			   out, text, sizeof(text) - 1) &&
		       strcmp(out->str, wanted) == 0;

	if (!is_good)
		printf("FAIL compaction: %s\n", out->str);
	g_string_free(out, TRUE);
	return is_good;
}

/* ---- The other program's lists ---- */

static const char vm_format[] =
    "{\"id\":\"vm%d\",\"address\":\"%s\",\"zone\":\"z\",\"region\":\"r\","
    "\"state\":\"live\",\"peer_port\":%s,\"threads\":%s,\"odd\":%s}";

static bool
check_vms(const char *address, const char *port, const char *threads,
    const char *odd_name, int place)
{
	GString *text = g_string_new("[");
	GArray *members = g_array_new(FALSE, TRUE, sizeof(member_t));
	char *odd = make_value(odd_name);
	bool is_good;

	for (int i = 0; i < 3; i++) {
		bool is_odd = i == place;

		g_string_append(text, i > 0 ? ", " : "");
		g_string_append_printf(text, vm_format, i,
		    is_odd ? address : "127.0.0.1", is_odd ? port : "7000",
		    is_odd ? threads : "2", is_odd ? odd : "1");
	}
	g_string_append_c(text, ']');
	is_good = platform_parse_vms(text->str, text->len, members) &&
		  members->len == 2;
	for (guint i = 0; i < members->len; i++)
		is_good &=
		    member_is_valid(&g_array_index(members, member_t, i));
	if (!is_good)
		printf("FAIL VMs: %s %s %s %.20s: %u read\n", address, port,
		    threads, odd_name, members->len);
	g_array_unref(members);
	g_string_free(text, TRUE);
	g_free(odd);
	return is_good;
}

static bool
check_documents(const char *odd_name, int place)
{
	GString *text = g_string_new("{\"revision\":9,\"objects\":[");
	GArray *documents = g_array_new(FALSE, TRUE, sizeof(document_t));
	char *odd = make_value(odd_name);
	uint64_t revision = 0;
	bool is_good;

	for (int i = 0; i < 3; i++)
		g_string_append_printf(text,
		    "%s{\"name\":\"config/d%d\",\"version\":%d,\"value\":"
		    "\"v\",\"odd\":%s}",
		    i > 0 ? "," : "", i, i + 1, i == place ? odd : "1");
	g_string_append(text, "]}");
	is_good = platform_parse_changes(
		      text->str, text->len, "config/", &revision, documents) &&
		  documents->len == 2 && revision == 9;
	for (guint i = 0; i < documents->len; i++)
		g_free(g_array_index(documents, document_t, i).body);
	if (!is_good)
		printf("FAIL documents: %.20s, place %d\n", odd_name, place);
	g_array_unref(documents);
	g_string_free(text, TRUE);
	g_free(odd);
	return is_good;
}

/* A VM that took the odd member from the list must not silence itself. */
static bool
check_gossip(int port, int threads, const char *address)
{
	gossip_message_t sent, received;
	error_info_t error = { 0 };
	GByteArray *bytes;
	bool is_good;

	gossip_begin(&sent, GOSSIP_PING);
	g_strlcpy(sent.sender, "vm9", sizeof(sent.sender));
	for (int i = 0; i < 3; i++) {
		member_t member = { .id = "vm0",
			.address = "127.0.0.1",
			.peer_port = 7000,
			.threads = 1 };

		member.id[2] = (char)('0' + i);
		if (i == 1) {
			member.peer_port = port;
			member.threads = threads;
			g_strlcpy(
			    member.address, address, sizeof(member.address));
		}
		g_array_append_val(sent.members, member);
	}
	bytes = gossip_encode(&sent);
	is_good = gossip_decode(&received, bytes->data, bytes->len, &error) &&
		  received.members->len == 2;
	if (!is_good)
		printf("FAIL message: port %d, threads %d, \"%s\"\n", port,
		    threads, address);
	gossip_end(&sent);
	gossip_end(&received);
	g_byte_array_unref(bytes);
	return is_good;
}

static bool
check_other_program(void)
{
	bool is_good = true;

	for (int place = 0; place < 3; place++) {
		for (size_t i = 0; i < G_N_ELEMENTS(odd_values); i++)
			is_good &= check_vms("127.0.0.1", "7000", "2",
				       odd_values[i], place) &
				   check_documents(odd_values[i], place);
		is_good &= check_vms("127.0.0.1", "99999", "2", "1", place);
		is_good &= check_vms("127.0.0.1", "0", "2", "1", place);
		is_good &= check_vms("127.0.0.1", "-1", "2", "1", place);
		is_good &= check_vms("127.0.0.1", "65536", "2", "1", place);
		is_good &=
		    check_vms("127.0.0.1", "4294974296", "2", "1", place);
		is_good &=
		    check_vms("127.0.0.1", "7000", "2000000000", "1", place);
		is_good &= check_vms("127.0.0.1", "7000", "-3", "1", place);
		is_good &= check_vms("127.0.0.1", "7000", "0", "1", place);
		is_good &= check_vms("no address", "7000", "2", "1", place);
		is_good &= check_vms("", "7000", "2", "1", place);
	}
	return is_good & check_gossip(99999, 1, "127.0.0.1") &
	       check_gossip(-1, 1, "127.0.0.1") &
	       check_gossip(7000, 65, "127.0.0.1") &
	       check_gossip(7000, -1, "127.0.0.1") &
	       check_gossip(7000, 1, "127.0.0.1;x") & check_gossip(7000, 1, "");
}

/*
 * An entry that lacks a field, or has one of another type, names no leaf. Taken
 * for one, it would bring back a leaf that drains, as of another start.
 */
static bool
check_entry_forms(void)
{
	static const char *const fields[] = { "\"service\":\"s\"",
		"\"address\":\"127.0.0.1:80\"", "\"zone\":\"z\"", "\"slots\":2",
		"\"state\":\"ready\"", "\"version\":\"v1\"", "\"seq\":1",
		"\"born\":5", "\"cold_left_ms\":0" };
	const protocol_t *protocol = protocol_find("objects");
	bool is_good = true;

	/* -1: all are there; then one is missing, or its value is a list. */
	for (int i = -1; i < 2 * (int)G_N_ELEMENTS(fields); i++) {
		int odd = i < 0 ? -1 : i / 2;
		seen_t seen = { 0 };
		feed_sink_t sink = { &seen, see_configuration, see_leaf,
			see_reader, see_removal, see_rejected };
		feed_page_t page = { 0 };
		error_info_t error = { 0 };
		GString *text = g_string_new("{\"current_rev\":7,\"items\":[{"
					     "\"meta\":{\"name\":\"i-1\"},"
					     "\"spec\":{\"x\":1");

		for (int j = 0; j < (int)G_N_ELEMENTS(fields); j++)
			if (j != odd)
				g_string_append_printf(text, ",%s", fields[j]);
			else if (i % 2 == 1)
				g_string_append_printf(text, ",%.*s[]",
				    (int)(strchr(fields[j], ':') + 1 -
					  fields[j]),
				    fields[j]);
		g_string_append(text, "}}]}");
		if (!protocol->read_list(FEED_LEAVES, text->str, text->len,
			&sink, &page, &error) ||
		    seen.leaves != (odd < 0) || seen.rejected != (odd >= 0)) {
			printf("  FAIL: %s %s\n",
			    odd < 0 ? "all fields" : fields[odd],
			    i % 2 == 1 ? "of another type" : "missing");
			is_good = false;
		}
		g_string_free(text, TRUE);
	}
	return is_good;
}

int
main(void)
{
	bool is_good = check_removal() & check_compaction() &
		       check_other_program() & check_entry_forms();

	for (int feed = 0; feed < FEED_COUNT; feed++)
		for (int place = 0; place < 3; place++)
			for (size_t i = 0; i < G_N_ELEMENTS(odd_values); i++)
				is_good &= check_page((feed_t)feed, true, place,
					       odd_values[i]) &
					   check_page((feed_t)feed, false,
					       place, odd_values[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(field_cases); i++)
		is_good &= check_fields(&field_cases[i]);
	return is_good ? 0 : 1;
}
