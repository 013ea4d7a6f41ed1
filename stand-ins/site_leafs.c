/**
 * @file site_leafs.c
 * The stand-in's leafs: slots, queues, stamps, and the trouble that they can
 * be in.
 */
#include <stdio.h>
#include <string.h>

#include "part_body.h"
#include "site.h"

/* Names no request, and says that the one that waits did not run. */
#define EXTRA_REFUSAL                                                      \
	"HTTP/1.1 503 Service Unavailable\r\nPlantainarch-Not-Executed: 1" \
	"\r\nContent-Length: 0\r\n\r\n"
#define HELD_SLACK_US 500000 /* requests may be on their way for so long */

site_leaf_t *
site_leafs_add(site_t *site, const char *id, const char *service,
    const char *address, const char *zone)
{
	site_leaf_t *leaf = g_new0(site_leaf_t, 1);

	leaf->slots = LEAF_SLOTS;
	g_queue_init(&leaf->queue);
	g_strlcpy(leaf->id, id, sizeof(leaf->id));
	g_strlcpy(leaf->service, service, sizeof(leaf->service));
	g_strlcpy(leaf->address, address, sizeof(leaf->address));
	g_strlcpy(leaf->zone, zone, sizeof(leaf->zone));
	g_strlcpy(leaf->fault, "none", sizeof(leaf->fault));
	g_ptr_array_add(site->leafs, leaf);
	return leaf;
}

/* One line of the history that a checker reads. */
static void
tell(const site_link_t *link, const char *event, const char *id)
{
	const site_leaf_t *leaf = link->port->leaf;

	if (!link->port->site->is_told)
		return;
	printf("%" G_GINT64_FORMAT " %s %s %s %s\n", clock_get_us(), event, id,
	    leaf->service, leaf->id);
	fflush(stdout);
}

static bool
is_hit(site_leaf_t *leaf, site_t *site, const char *fault)
{
	return strcmp(leaf->fault, fault) == 0 && site_draw(site) < leaf->share;
}

/* From the first such answer on the leaf wants nothing after some time. */
static const char *
get_leaving_header(const site_link_t *link)
{
	site_leaf_t *leaf = link->port->leaf;
	site_t *site = link->port->site;

	static char header[600];

	header[0] = '\0';
	if (!is_hit(leaf, site, "leaving"))
		return header;
	if (leaf->left_us == 0 && strcmp(leaf->value, "1") == 0)
		leaf->left_us = clock_get_us();
	snprintf(header, sizeof(header), "SERVER-Leaving: %s\r\n", leaf->value);
	tell(link, "leaves",
	    http_get_header(&link->message, "Plantainarch-Request-Id"));
	return header;
}

/* Refuses and asks for time. Only a plain number counts as asked. */
static void
ask_for_time(site_link_t *link, const char *id)
{
	site_leaf_t *leaf = link->port->leaf;
	int64_t now_us = clock_get_us();
	char headers[1200];
	char *end;
	double seconds = strtod(leaf->value, &end);

	if (*end == '\0' && seconds > 0 && seconds < 1e6) {
		leaf->held_from_us = now_us + HELD_SLACK_US;
		leaf->held_until_us = now_us + (int64_t)(seconds * 1e6);
	}
	snprintf(headers, sizeof(headers),
	    "Plantainarch-Request-Id: %s\r\nPlantainarch-Not-Executed: 1\r\n"
	    "Retry-After: %s\r\n",
	    id, leaf->value);
	tell(link, "asks", id);
	site_respond(link, 503, headers, "", 0);
}

#define TEXT_64 \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define TEXT_256 TEXT_64 TEXT_64 TEXT_64 TEXT_64

#define ENDLESS_WRITE_BYTES 131072 /* at least, of the repeated text */

/* What a leaf sends without end, by the name of the fault. */
static const struct endless {
	const char *fault, *begin, *repeated;
	bool is_own; /* with the id and a stamp, behind the first line */
} endless_faults[] = {
	{ "endless-head", "HTTP/1.1 200 OK\r\n",
	    "X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n",
	    false },
	{ "endless-line", "HTTP/1.1 200 OK\r\nX-Filler: ",
	    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
	    false },
	{ "endless-body", "HTTP/1.1 200 OK\r\n\r\n",
	    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
	    false },
	{ "endless-chunks",
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	    "20;extension="
	    "aaaaaaaaaaa\r\naaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n",
	    false },
	{ "endless-answers", "",
	    "HTTP/1.1 200 OK\r\nPlantainarch-Request-Id: other\r\n"
	    "Content-Length: 0\r\n\r\n",
	    false },
	{ "endless-reason", "HTTP/1.1 200 ", "aaaaaaaaaaaaaaaaaaaaaaaaaaaa",
	    false },
	{ "endless-blank", "", "\r\n", false },
	{ "endless-interim", "", "HTTP/1.1 100 Continue\r\n\r\n", false },
	{ "endless-size",
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
	    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
	    false },
	{ "endless-trailer",
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
	    "X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n",
	    false },
	{ "endless-own-body", "HTTP/1.1 200 OK\r\n",
	    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
	    true },
	{ "endless-own-chunks",
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
	    "400\r\n" TEXT_256 TEXT_256 TEXT_256 TEXT_256 "\r\n", true },
};

void
site_leafs_continue_endless(site_link_t *link)
{
	GString *text;

	if (!stream_is_flushed(link->stream))
		return;
	text = g_string_new(NULL);
	while (text->len < ENDLESS_WRITE_BYTES)
		g_string_append(text, link->endless);
	stream_write(link->stream, text->str, text->len);
	g_string_free(text, TRUE);
}

static void
write_own_headers(site_link_t *link)
{
	const char *id =
	    http_get_header(&link->message, "Plantainarch-Request-Id");
	char *headers = g_strdup_printf("Plantainarch-Request-Id: %s\r\n"
					"Plantainarch-Server-Stamp: %s\r\n\r\n",
	    id, id);

	stream_write(link->stream, headers, strlen(headers));
	g_free(headers);
}

bool
site_leafs_begin_endless(site_link_t *link, const char *fault)
{
	for (size_t i = 0; i < G_N_ELEMENTS(endless_faults); i++) {
		const struct endless *endless = &endless_faults[i];

		if (strcmp(endless->fault, fault) != 0)
			continue;
		link->endless = endless->repeated;
		stream_write(
		    link->stream, endless->begin, strlen(endless->begin));
		if (endless->is_own)
			write_own_headers(link);
		return true;
	}
	return false;
}

void
site_leafs_finish(site_link_t *link)
{
	site_leaf_t *leaf = link->port->leaf;
	site_t *site = link->port->site;
	const char *id =
	    http_get_header(&link->message, "Plantainarch-Request-Id");
	char headers[4096], extra[8192], stamp[2048]; /* ids may be long */
	bool has_no_id = is_hit(leaf, site, "without-id");
	char body[PART_BODY_BYTES];

	snprintf(stamp, sizeof(stamp), "%s.%s.%s", leaf->service, leaf->id, id);
	part_body_fill(stamp, body);
	link->is_running = false;
	leaf->busy--;
	snprintf(headers, sizeof(headers),
	    "%s%s%sPlantainarch-Server-Stamp: %s\r\n%s",
	    has_no_id ? "" : "Plantainarch-Request-Id: ", has_no_id ? "" : id,
	    has_no_id ? "" : "\r\n", stamp, get_leaving_header(link));
	if (is_hit(leaf, site, leaf->fault) &&
	    site_leafs_begin_endless(link, leaf->fault))
		return;
	if (is_hit(leaf, site, "reset")) {
		site_destroy_link(link);
		return;
	}
	if (is_hit(leaf, site, "garbage")) {
		stream_write(link->stream, "\x01\x02 no answer\r\n\r\n", 15);
		link->is_ended = true;
		return;
	}
	if (is_hit(leaf, site, "cut")) {
		snprintf(extra, sizeof(extra),
		    "HTTP/1.1 200 OK\r\n%sContent-Length: 400\r\n\r\nshort",
		    headers);
		stream_write(link->stream, extra, strlen(extra));
		stream_close_after_flush(link->stream);
		link->stream = NULL;
		site_destroy_link(link);
		return;
	}
	if (is_hit(leaf, site, "cut-head")) {
		snprintf(
		    extra, sizeof(extra), "HTTP/1.1 200 OK\r\n%s\r\n", headers);
		/* Not the last byte: with it the head would be whole. */
		stream_write(link->stream, extra,
		    1 + (size_t)(site_draw(site) *
				 (double)(strlen(extra) - 2)));
		stream_close_after_flush(link->stream);
		link->stream = NULL;
		site_destroy_link(link);
		return;
	}
	if (is_hit(leaf, site, "status")) {
		snprintf(extra, sizeof(extra),
		    "HTTP/1.1 %s Failed\r\n%sContent-Length: 6\r\n\r\nfailed",
		    leaf->value, headers);
		stream_write(link->stream, extra, strlen(extra));
		link->is_ended = true;
		loop_wake(site->loop);
		return;
	}
	if (is_hit(leaf, site, "error")) {
		site_respond(link, 500, headers, "failed", 6);
		return;
	}
	site_respond(link, 200, headers, body, sizeof(body));
	if (is_hit(leaf, site, "without-id-extra"))
		link->late_extra = g_string_new(EXTRA_REFUSAL);
	if (is_hit(leaf, site, "late-copy")) {
		link->late_extra = g_string_new(NULL);
		g_string_printf(link->late_extra,
		    "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", headers,
		    PART_BODY_BYTES);
		g_string_append_len(link->late_extra, body, PART_BODY_BYTES);
	}
	/* The extra answer stands where the next one is expected. */
	if (is_hit(leaf, site, "extra")) {
		snprintf(extra, sizeof(extra),
		    "HTTP/1.1 200 OK\r\nPlantainarch-Request-Id: other\r\n"
		    "Plantainarch-Server-Stamp: %s.%s.other\r\n"
		    "Content-Length: 16\r\n\r\nsixteen bytes...",
		    leaf->service, leaf->id);
		stream_write(link->stream, extra, strlen(extra));
	}
}

static void
run_leaf(site_link_t *link)
{
	site_leaf_t *leaf = link->port->leaf;
	site_t *site = link->port->site;
	const char *target = http_get_target(&link->message);
	const char *id =
	    http_get_header(&link->message, "Plantainarch-Request-Id");
	double work_ms = site->work_ms * (0.5 + site_draw(site));
	char *key = g_strdup_printf("%s %s", id, leaf->service);
	int count = GPOINTER_TO_INT(g_hash_table_lookup(site->runs, key)) + 1;

	g_hash_table_insert(site->runs, key, GINT_TO_POINTER(count));
	if (count > 1 && strstr(target, "/once/") != NULL)
		site->twice++;
	site->run_count++;
	tell(link, "ran", id);
	if (strcmp(leaf->fault, "slow") == 0)
		work_ms *= 10;
	leaf->busy++;
	link->is_running = true;
	link->is_queued = false;
	link->due_us = clock_get_us() + (int64_t)(work_ms * 1000);
}

void
site_leafs_handle(site_link_t *link)
{
	site_leaf_t *leaf = link->port->leaf;
	site_t *site = link->port->site;
	const char *id =
	    http_get_header(&link->message, "Plantainarch-Request-Id");
	const char *expected =
	    http_get_header(&link->message, "Plantainarch-Expect-Instance");

	if (strcmp(leaf->fault, "dark") == 0)
		return;
	if (id == NULL) {
		site->unasked++;
		site_respond(
		    link, 400, "Plantainarch-Not-Executed: 1\r\n", "", 0);
		return;
	}
	if (expected == NULL || strcmp(expected, leaf->id) != 0 ||
	    strcmp(leaf->fault, "moved") == 0) {
		char headers[256];

		snprintf(headers, sizeof(headers),
		    "Plantainarch-Request-Id: %s\r\n"
		    "Plantainarch-Instance-Id: other\r\n",
		    id);
		site_respond(link, 421, headers, "", 0);
		return;
	}
	tell(link, "arrived", id);
	if (link->late_extra != NULL) {
		stream_write(
		    link->stream, link->late_extra->str, link->late_extra->len);
		g_string_free(link->late_extra, TRUE);
		link->late_extra = NULL;
	}
	if (leaf->is_draining)
		leaf->arrivals_drained++;
	if (leaf->left_us != 0) {
		int64_t age_us = clock_get_us() - leaf->left_us;

		g_array_append_val(site->arrival_ages, age_us);
	}
	if (clock_get_us() > leaf->held_from_us &&
	    clock_get_us() < leaf->held_until_us)
		site->held_arrivals++;
	if (is_hit(leaf, site, "ask-time")) {
		ask_for_time(link, id);
		return;
	}
	if (is_hit(leaf, site, "shed")) {
		char headers[256];

		snprintf(headers, sizeof(headers),
		    "Plantainarch-Request-Id: %s\r\n"
		    "Plantainarch-Not-Executed: 1\r\n",
		    id);
		site_respond(link, 503, headers, "", 0);
		return;
	}
	if (leaf->busy < leaf->slots) {
		run_leaf(link);
		return;
	}
	link->is_queued = true;
	g_queue_push_tail(&leaf->queue, link);
}

site_leaf_t *
site_leafs_find(const site_t *site, const char *id)
{
	for (guint i = 0; i < site->leafs->len; i++) {
		site_leaf_t *leaf = g_ptr_array_index(site->leafs, i);

		if (strcmp(leaf->id, id) == 0)
			return leaf;
	}
	return NULL;
}

void
site_leafs_start_queued(site_leaf_t *leaf)
{
	while (leaf->busy < leaf->slots && !g_queue_is_empty(&leaf->queue))
		run_leaf(g_queue_pop_head(&leaf->queue));
}
