/**
 * @file caller.c
 * Callers of the tier on loopback: an open loop over kept connections that
 * checks each answer and counts what came back.
 */
#include <argtable2.h>
#include <gsl/gsl_randist.h>
#include <stdio.h>
#include <string.h>

#include "tier_shell.h"

#define PATIENCE_MS 2000
#define LINKS_MOST  256

typedef struct caller caller_t;

typedef struct call_link {
	caller_t *caller;
	stream_t *stream;
	http_message_t message;
	char id[32];
	bool is_busy;
	int target;
	int64_t due_us;
} call_link_t;

struct caller {
	loop_t *loop;
	char **targets;
	int target_count, shards;
	const char *path;
	gsl_rng *random;
	GPtrArray *links;
	double rate;
	int64_t end_us, next_us;
	int sent, whole, partial, refused, failed, wrong, cut, late;
};

static void handle_received(void *context, const char *data, size_t length);
static void handle_closed(void *context, bool is_clean);

static const stream_hooks_t link_hooks = { NULL, handle_received,
	handle_closed };

static void
report_wrong(call_link_t *link, const char *what)
{
	link->caller->wrong++;
	fprintf(stderr, "caller: %s: %s\n", link->id, what);
}

/* Stamps of the stand-in end with the id of the request. */
static int
count_stamps(call_link_t *link)
{
	const http_message_t *message = &link->message;
	GHashTable *seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	int count = 0;

	for (guint i = 0; i < message->headers->len; i++) {
		const http_header_t *header =
		    &g_array_index(message->headers, http_header_t, i);
		char **stamps;

		if (g_ascii_strcasecmp(message->text->str + header->name,
			"Plantainarch-Part-Stamps") != 0)
			continue;
		stamps =
		    g_strsplit(message->text->str + header->value, ", ", -1);
		for (int j = 0; stamps[j] != NULL; j++) {
			char **words = g_strsplit(stamps[j], ".", 3);

			count++;
			if (!g_str_has_suffix(stamps[j], link->id))
				report_wrong(link, "a part of another request");
			if (!g_hash_table_add(seen, g_strdup(words[0])))
				report_wrong(link, "a shard twice");
			g_strfreev(words);
		}
		g_strfreev(stamps);
	}
	g_hash_table_unref(seen);
	return count;
}

static void
check_gather(call_link_t *link)
{
	caller_t *caller = link->caller;
	const GString *body = link->message.body;
	const char *missing =
	    http_get_header(&link->message, "Plantainarch-Missing-Parts");
	int count = count_stamps(link);
	int left_out = missing != NULL ? atoi(missing) : 0;

	if (count + left_out != caller->shards)
		report_wrong(link, "the parts don't make up the set");
	for (size_t i = RECORD_BYTES; i + RECORD_BYTES <= body->len;
	     i += RECORD_BYTES)
		if (memcmp(body->str + i - RECORD_BYTES, body->str + i,
			RECORD_BYTES) < 0)
			report_wrong(link, "the records don't fall");
	if (left_out > 0)
		caller->partial++;
	else
		caller->whole++;
}

static void
check_forward(call_link_t *link)
{
	const char *stamp =
	    http_get_header(&link->message, "Plantainarch-Server-Stamp");

	if (stamp == NULL || !g_str_has_suffix(stamp, link->id))
		report_wrong(link, "no stamp of this request");
	if (link->message.body->len != 400)
		report_wrong(link, "not the whole body");
	link->caller->whole++;
}

static void
take_answer(call_link_t *link)
{
	int status = (int)link->message.parser.status_code;

	if (clock_get_us() > link->due_us + 200000)
		link->caller->late++;
	if (status == 200 && link->caller->shards > 0)
		check_gather(link);
	else if (status == 200)
		check_forward(link);
	else if (status == 503 || status == 429)
		link->caller->refused++;
	else
		link->caller->failed++;
	link->is_busy = false;
	if (!link->message.is_persistent) {
		stream_destroy(link->stream);
		link->stream = NULL;
	}
	http_message_reset(&link->message);
}

static void
handle_received(void *context, const char *data, size_t length)
{
	call_link_t *link = context;
	size_t used;

	if (!link->is_busy) {
		report_wrong(link, "bytes without a request");
		return;
	}
	switch (http_message_feed(&link->message, data, length, &used)) {
	case HTTP_PARTIAL:
		return;
	case HTTP_BROKEN:
		report_wrong(link, "not HTTP");
		return;
	case HTTP_COMPLETE:
		take_answer(link);
		if (used != length)
			report_wrong(link, "bytes after the answer");
	}
}

static void
handle_closed(void *context, bool is_clean)
{
	call_link_t *link = context;

	if (link->is_busy) {
		link->caller->cut++;
		fprintf(stderr, "caller: %s: cut\n", link->id);
	}
	link->is_busy = false;
	stream_destroy(link->stream);
	link->stream = NULL;
	http_message_reset(&link->message);
}

static call_link_t *
find_link(caller_t *caller, int target)
{
	call_link_t *link;

	for (guint i = 0; i < caller->links->len; i++) {
		link = g_ptr_array_index(caller->links, i);
		if (!link->is_busy && link->target == target)
			return link;
	}
	if (caller->links->len >= LINKS_MOST)
		return NULL;
	link = g_new0(call_link_t, 1);
	link->caller = caller;
	link->target = target;
	http_message_begin(&link->message, false, 65536, 1048576);
	g_ptr_array_add(caller->links, link);
	return link;
}

static void
send_call(caller_t *caller)
{
	int target = (int)gsl_rng_uniform_int(
	    caller->random, (gulong)caller->target_count);
	call_link_t *link = find_link(caller, target);
	GString *out;

	if (link == NULL)
		return;
	if (link->stream == NULL)
		link->stream = stream_connect(
		    caller->loop, caller->targets[target], &link_hooks, link);
	if (link->stream == NULL)
		return;
	snprintf(link->id, sizeof(link->id), "c%d-%d", caller->sent++,
	    (int)(caller->end_us % 100000));
	link->is_busy = true;
	link->due_us = clock_get_us() + PATIENCE_MS * 1000L;
	out = g_string_new(NULL);
	g_string_printf(out,
	    "GET %s HTTP/1.1\r\nHost: site.example\r\n"
	    "Plantainarch-Request-Id: %s\r\nPlantainarch-Deadline-Ms: %d\r\n"
	    "\r\n",
	    caller->path, link->id, PATIENCE_MS);
	stream_write(link->stream, out->str, out->len);
	g_string_free(out, TRUE);
}

static bool
has_busy(const caller_t *caller)
{
	for (guint i = 0; i < caller->links->len; i++)
		if (((call_link_t *)g_ptr_array_index(caller->links, i))
			->is_busy)
			return true;
	return false;
}

static int64_t
run_timer(void *context)
{
	caller_t *caller = context;
	int64_t now_us = clock_get_us();

	while (now_us >= caller->next_us && now_us < caller->end_us) {
		send_call(caller);
		caller->next_us += (int64_t)gsl_ran_exponential(
		    caller->random, 1e6 / caller->rate);
	}
	if (now_us >= caller->end_us &&
	    (!has_busy(caller) || now_us >= caller->end_us + 3000000))
		loop_stop(caller->loop);
	return now_us < caller->end_us ? MIN(caller->next_us, caller->end_us)
				       : now_us + 10000;
}

int
main(int argc, char **argv)
{
	struct arg_str *targets =
	    arg_str1(NULL, "targets", "A,B", "addresses of the tier's VMs");
	struct arg_str *path = arg_str0(NULL, "path", "PATH", "(/list/2f)");
	struct arg_int *shards = arg_int0(
	    NULL, "shards", "N", "of a gathered answer; 0: forwarded (6)");
	struct arg_dbl *rate = arg_dbl0(NULL, "rate", "N", "a second (50)");
	struct arg_dbl *seconds = arg_dbl0(NULL, "seconds", "N", "(3)");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = { targets, path, shards, rate, seconds, help, end };
	caller_t caller = { 0 };
	int errors = arg_parse(argc, argv, table);

	if (help->count > 0) {
		printf("Calls the tier and checks each answer.\n");
		arg_print_glossary(stdout, table, "  %-16s %s\n");
		return 0;
	}
	if (errors > 0) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	caller.targets = g_strsplit(targets->sval[0], ",", -1);
	caller.target_count = (int)g_strv_length(caller.targets);
	caller.path = path->count > 0 ? path->sval[0] : "/list/2f";
	caller.shards = shards->count > 0 ? shards->ival[0] : 6;
	caller.rate = rate->count > 0 ? rate->dval[0] : 50;
	caller.loop = loop_create();
	caller.links = g_ptr_array_new();
	caller.random = gsl_rng_alloc(gsl_rng_taus2);
	caller.next_us = clock_get_us();
	caller.end_us =
	    caller.next_us +
	    (int64_t)((seconds->count > 0 ? seconds->dval[0] : 3) * 1e6);
	loop_add_timer(caller.loop, run_timer, &caller);
	loop_run(caller.loop);
	printf("sent %d whole %d partial %d refused %d failed %d wrong %d "
	       "cut %d late %d\n",
	    caller.sent, caller.whole, caller.partial, caller.refused,
	    caller.failed, caller.wrong, caller.cut, caller.late);
	return caller.wrong + caller.cut == 0 ? 0 : 1;
}
