/**
 * @file caller.c
 * Callers of the tier on loopback: an open loop over kept connections that
 * checks each answer and counts what came back. With --tell it prints a line
 * for each request sent and each way in which it ended, and reads the path of
 * later requests from its standard input.
 */
#include <argtable2.h>
#include <gsl/gsl_randist.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "part_body.h"
#include "tier_process.h"

#define PATIENCE_MS   2000
#define LATEST_US     3000000 /* of an answer, after the last request */
#define LINKS_MOST    256
#define REUSE_US      4000000 /* four fifths of the VMs' idle limit */
#define LEAVE_MOST_US 80000   /* a caller that gives up has waited so long */
#define RECORDS_MOST  20      /* of one gathered answer */
#define GATHERED_PATH "/list/"

typedef struct caller caller_t;

typedef struct call_link {
	caller_t *caller;
	stream_t *stream;
	http_message_t message;
	char *id;
	bool is_busy;
	int target;
	int64_t due_us;
	int64_t leave_us; /* the caller closes then */
	int64_t rest_us;  /* idle since */
} call_link_t;

struct caller {
	loop_t *loop;
	char **targets;
	int target_count, shards;
	char *path;
	const char *name; /* first part of its requests' ids */
	gsl_rng *random;
	GPtrArray *links;
	double rate, leave_share;
	bool is_told;
	int64_t end_us, next_us;
	int sent, whole, partial, refused, failed, wrong, cut, late;
};

static void handle_received(void *context, const char *data, size_t length);
static void handle_closed(void *context, bool is_clean);

static const stream_callbacks_t link_hooks = { NULL, handle_received,
	handle_closed };

/* One line of the history that a checker reads. */
static void
tell(const call_link_t *link, const char *event, const char *more)
{
	if (!link->caller->is_told)
		return;
	printf("%" G_GINT64_FORMAT " %s %s vm-%d %s\n", clock_get_us(), event,
	    link->id, link->target + 1, more);
	fflush(stdout);
}

static void
report_wrong(call_link_t *link, const char *what)
{
	link->caller->wrong++;
	if (link->caller->is_told)
		tell(link, "wrong", what);
	else
		fprintf(stderr, "caller: %s: %s\n", link->id, what);
}

/* The stamps of a gathered answer; freed with g_ptr_array_unref. */
static GPtrArray *
get_stamps(const http_message_t *message)
{
	GPtrArray *stamps = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < message->headers->len; i++) {
		const http_header_t *header =
		    &g_array_index(message->headers, http_header_t, i);
		char **words;

		if (g_ascii_strcasecmp(message->text->str + header->name,
			"Plantainarch-Part-Stamps") != 0)
			continue;
		words =
		    g_strsplit(message->text->str + header->value, ", ", -1);
		for (int j = 0; words[j] != NULL; j++)
			g_ptr_array_add(stamps, g_strdup(words[j]));
		g_strfreev(words);
	}
	return stamps;
}

/*
 * Stamps of the stand-in are SERVICE.LEAF.ID, and services are SET-NUMBER. All
 * parts must be of one set, whose size its name may tell ("s3of4").
 * Returns that size.
 */
static int
check_stamps(call_link_t *link, const GPtrArray *stamps)
{
	GHashTable *seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	char *set = NULL;
	const char *size;
	int shards = link->caller->shards;

	for (guint i = 0; i < stamps->len; i++) {
		const char *stamp = g_ptr_array_index(stamps, i);
		char **words = g_strsplit(stamp, ".", 3);
		char *own = g_strndup(stamp, strcspn(stamp, "-"));

		if (!g_str_has_suffix(stamp, link->id))
			report_wrong(link, "a part of another request");
		if (!g_hash_table_add(seen, g_strdup(words[0])))
			report_wrong(link, "a shard twice");
		if (set != NULL && strcmp(set, own) != 0)
			report_wrong(link, "parts of two configurations");
		g_free(set);
		set = own;
		g_strfreev(words);
	}
	size = set != NULL ? strstr(set, "of") : NULL;
	if (size != NULL)
		shards = atoi(size + 2);
	g_free(set);
	g_hash_table_unref(seen);
	return shards;
}

static int
compare_records(const void *left, const void *right)
{
	return memcmp(right, left, RECORD_BYTES); /* the greatest first */
}

/* The body must be the greatest records of just the parts named. */
static void
check_records(call_link_t *link, const GPtrArray *stamps)
{
	const GString *body = link->message.body;
	size_t total = stamps->len * PART_BODY_BYTES;
	size_t most = RECORDS_MOST * RECORD_BYTES;
	char *records = g_malloc(total + 1);

	for (guint i = 0; i < stamps->len; i++)
		part_body_fill(g_ptr_array_index(stamps, i),
		    records + i * PART_BODY_BYTES);
	qsort(records, total / RECORD_BYTES, RECORD_BYTES, compare_records);
	if (body->len != MIN(most, total) ||
	    memcmp(body->str, records, body->len) != 0)
		report_wrong(link, "not the greatest records of its parts");
	g_free(records);
}

static void
check_gather(call_link_t *link)
{
	caller_t *caller = link->caller;
	const char *missing =
	    http_get_header(&link->message, "Plantainarch-Missing-Parts");
	GPtrArray *stamps = get_stamps(&link->message);
	int left_out = missing != NULL ? atoi(missing) : 0;

	if ((int)stamps->len + left_out != check_stamps(link, stamps))
		report_wrong(link, "the parts don't make up the set");
	check_records(link, stamps);
	if (left_out > 0)
		caller->partial++;
	else
		caller->whole++;
	g_ptr_array_unref(stamps);
}

static void
check_forward(call_link_t *link)
{
	const char *stamp =
	    http_get_header(&link->message, "Plantainarch-Server-Stamp");

	char body[PART_BODY_BYTES];

	if (stamp == NULL || !g_str_has_suffix(stamp, link->id))
		report_wrong(link, "no stamp of this request");
	else
		part_body_fill(stamp, body);
	if (link->message.body->len != PART_BODY_BYTES ||
	    (stamp != NULL &&
		memcmp(body, link->message.body->str, PART_BODY_BYTES) != 0))
		report_wrong(link, "not the leaf's whole body");
	link->caller->whole++;
}

static void
take_answer(call_link_t *link)
{
	int status = (int)link->message.parser.status_code;
	char text[16];

	snprintf(text, sizeof(text), "%d", status);
	tell(link, "answered", text);
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
	link->rest_us = clock_get_us();
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
	case HTTP_INCOMPLETE:
		return;
	case HTTP_INVALID:
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
		if (link->caller->is_told)
			tell(link, "cut", "");
		else
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

/* The route's name is the first word of the path. */
static void
tell_sent(const call_link_t *link)
{
	const char *path = link->caller->path + 1;
	char *route = g_strndup(path, strcspn(path, "/"));

	tell(link, "sent", route);
	g_free(route);
}

static void
write_call(call_link_t *link)
{
	caller_t *caller = link->caller;
	GString *out = g_string_new(NULL);

	g_free(link->id);
	link->id = g_strdup_printf("%s-%d", caller->name, caller->sent++);
	link->is_busy = true;
	link->due_us = clock_get_us() + PATIENCE_MS * 1000L;
	link->leave_us = INT64_MAX;
	if (gsl_rng_uniform(caller->random) < caller->leave_share)
		link->leave_us =
		    clock_get_us() +
		    (int64_t)(gsl_rng_uniform(caller->random) * LEAVE_MOST_US);
	tell_sent(link);
	g_string_printf(out,
	    "GET %s HTTP/1.1\r\nHost: site.example\r\n"
	    "Plantainarch-Request-Id: %s\r\nPlantainarch-Deadline-Ms: %d\r\n"
	    "\r\n",
	    caller->path, link->id, PATIENCE_MS);
	stream_write(link->stream, out->str, out->len);
	g_string_free(out, TRUE);
}

static void
send_call(caller_t *caller)
{
	int target = (int)gsl_rng_uniform_int(
	    caller->random, (gulong)caller->target_count);
	call_link_t *link = find_link(caller, target);

	if (link == NULL)
		return;
	/* The VM may be closing a connection that has rested for long. */
	if (link->stream != NULL && clock_get_us() > link->rest_us + REUSE_US) {
		stream_destroy(link->stream);
		link->stream = NULL;
	}
	if (link->stream == NULL)
		link->stream = stream_connect(
		    caller->loop, caller->targets[target], &link_hooks, link);
	if (link->stream != NULL)
		write_call(link);
}

/* Gives up requests at the time drawn for it, or with the whole caller. */
static void
leave_calls(caller_t *caller, int64_t now_us, bool is_over)
{
	for (guint i = 0; i < caller->links->len; i++) {
		call_link_t *link = g_ptr_array_index(caller->links, i);

		if (!link->is_busy || (link->leave_us > now_us && !is_over))
			continue;
		tell(link, "left", "");
		link->is_busy = false;
		stream_destroy(link->stream);
		link->stream = NULL;
		http_message_reset(&link->message);
	}
}

/* A line of the standard input is the path of later requests. */
static void
handle_path(void *context, int fd, uint32_t events)
{
	caller_t *caller = context;
	char text[256];
	ssize_t length = read(fd, text, sizeof(text) - 1);
	char *line;

	if (length <= 0) {
		loop_unset_fd(caller->loop, fd);
		return;
	}
	text[length] = '\0';
	g_strchomp(text);
	line = strrchr(text, '\n'); /* the last of several */
	g_free(caller->path);
	caller->path = g_strdup(line != NULL ? line + 1 : text);
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
	leave_calls(caller, now_us, now_us >= caller->end_us + LATEST_US);
	if (now_us >= caller->end_us && !has_busy(caller))
		loop_stop(caller->loop);
	if (now_us >= caller->end_us)
		return now_us + 10000;
	return MIN(caller->next_us,
	    caller->leave_share > 0 ? now_us + 10000 : caller->end_us);
}

static void
begin_caller(caller_t *caller, double seconds, int seed)
{
	caller->loop = loop_create();
	caller->links = g_ptr_array_new();
	caller->random = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(caller->random, (unsigned long)seed);
	caller->next_us = clock_get_us();
	caller->end_us = caller->next_us + (int64_t)(seconds * 1e6);
	loop_add_timer(caller->loop, run_timer, caller);
	if (caller->is_told)
		loop_set_fd(
		    caller->loop, STDIN_FILENO, EPOLLIN, handle_path, caller);
}

static void
set_defaults(caller_t *caller)
{
	if (caller->path == NULL)
		caller->path = g_strdup(GATHERED_PATH "2f");
	if (caller->name == NULL)
		caller->name = g_strdup_printf("c%d", (int)getpid());
	if (caller->rate <= 0)
		caller->rate = 50;
}

int
main(int argc, char **argv)
{
	struct arg_str *targets =
	    arg_str1(NULL, "targets", "A,B", "addresses of the tier's VMs");
	struct arg_str *path = arg_str0(NULL, "path", "PATH", "(/list/2f)");
	struct arg_str *name =
	    arg_str0(NULL, "name", "TEXT", "its requests are TEXT-0, TEXT-1");
	struct arg_int *shards = arg_int0(
	    NULL, "shards", "N", "of a gathered answer; 0: forwarded (6)");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "(0)");
	struct arg_dbl *rate = arg_dbl0(NULL, "rate", "N", "a second (50)");
	struct arg_dbl *leave =
	    arg_dbl0(NULL, "leave", "SHARE", "of requests given up (0)");
	struct arg_dbl *seconds = arg_dbl0(NULL, "seconds", "N", "(3)");
	struct arg_lit *told = arg_lit0(NULL, "tell", "print a history");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = { targets, path, name, shards, seed, rate, leave,
		seconds, told, help, end };
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
	caller.path = path->count > 0 ? g_strdup(path->sval[0]) : NULL;
	caller.name = name->count > 0 ? name->sval[0] : NULL;
	caller.shards = shards->count > 0 ? shards->ival[0] : 6;
	caller.rate = rate->count > 0 ? rate->dval[0] : 0;
	caller.leave_share = leave->count > 0 ? leave->dval[0] : 0;
	caller.is_told = told->count > 0;
	set_defaults(&caller);
	begin_caller(&caller, seconds->count > 0 ? seconds->dval[0] : 3,
	    seed->count > 0 ? seed->ival[0] : 0);
	loop_run(caller.loop);
	if (!caller.is_told)
		printf("sent %d whole %d partial %d refused %d failed %d "
		       "wrong %d cut %d late %d\n",
		    caller.sent, caller.whole, caller.partial, caller.refused,
		    caller.failed, caller.wrong, caller.cut, caller.late);
	return caller.wrong + caller.cut == 0 ? 0 : 1;
}
