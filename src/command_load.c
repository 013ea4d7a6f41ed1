/**
 * @file command_load.c
 * `plantainarch load`: generates open-loop load from several flows and reports
 * latency, coverage, refusals and order outcomes as seen by the callers.
 */
#include <gsl/gsl_randist.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "command.h"

#define FLOWS_MAX	   16
#define TARGETS_MAX	   256
#define CONNECTIONS_MAX	   1500
#define REPLY_BYTES_MAX	   1048576
#define TIMEOUT_MARGIN_US  2000000
#define DEFAULT_TIMEOUT_US 10000000
#define PROGRESS_PERIOD_US 1000000
#define HISTOGRAM_MIN_US   100
#define HISTOGRAM_MAX_US   60000000
#define HISTOGRAM_GROWTH   1.02

/** One stream of requests with its settings, request counts and latencies. */
typedef struct flow {
	char index[NAME_BYTES], rank[NAME_BYTES], caller[NAME_BYTES];
	double rate_per_s;
	int deadline_ms;
	bool is_order;
	int64_t next_arrival_us;
	int64_t sent, full, partial, refused, failed, empty;
	int64_t done, not_run, unknown; /* orders by outcome */
	double coverage_sum;		/* over all responses with a coverage */
	histogram_t *latency_us, *refusal_us;
} flow_t;

typedef struct load load_t;

typedef struct request {
	load_t *load;
	flow_t *flow;
	int64_t due_us;	  /* scheduled arrival time */
	bool is_measured; /* due after the warmup */
	char key[NAME_BYTES];
} request_t;

struct load {
	loop_t *loop;
	fetch_t *fetch;
	gsl_rng *random;
	const char **targets;
	int target_count;
	flow_t flows[FLOWS_MAX];
	int flow_count;
	int64_t start_us, measure_start_us, end_us, next_progress_us;
	int64_t in_flight, request_count;
	uint64_t seed;
	bool is_quiet;
	FILE *order_log;
};

static bool parse_flow(const char *spec, flow_t *flow, error_info_t *error);
static int64_t handle_timer(void *context);
static void send_request(load_t *load, flow_t *flow, int64_t now_us);
static void handle_reply(
    void *context, uint64_t tag, const fetch_reply_t *reply);
static void count_search(flow_t *flow, const fetch_reply_t *reply,
    const json_t *root, int64_t response_us);
static void count_order(load_t *load, flow_t *flow, const request_t *request,
    const json_t *root, int64_t response_us);
static void print_report(const load_t *load, bool is_json);
static json_t *build_flow_report(const load_t *load, const flow_t *flow);

int
command_load(int argc, char **argv)
{
	struct arg_str *targets =
	    arg_strn(NULL, "target", "HOST:PORT", 1, TARGETS_MAX,
		"a VM to send requests to; each request goes to one chosen at "
		"random");
	struct arg_str *flows = arg_strn(NULL, "flow", "SPEC", 1, FLOWS_MAX,
	    "index=NAME,rank=RANK,rate=PER_SECOND[,deadline_ms=N][,caller=NAME]"
	    "[,orders=1]");
	struct arg_dbl *seconds =
	    arg_dbl0(NULL, "seconds", "N", "seconds to send for; default 10");
	struct arg_dbl *warmup = arg_dbl0(NULL, "warmup", "N",
	    "seconds at the start to leave out of the report; default 0");
	struct arg_int *seed = arg_int0(NULL, "seed", "N",
	    "seed of arrival times and target choice; default 1");
	struct arg_file *history = arg_file0(NULL, "history", "FILE",
	    "append a line with key and outcome for each order");
	struct arg_lit *quiet = arg_lit0(NULL, "quiet", "print no progress");
	struct arg_lit *json =
	    arg_lit0(NULL, "json", "print the report as JSON");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = { targets, flows, seconds, warmup, seed, history, quiet,
		json, help, end };
	int result = command_parse(argc, argv, table, help, end,
	    "Sends open-loop load: requests are sent at random times "
	    "without waiting for earlier responses.");
	load_t load = { 0 };
	error_info_t error = { 0 };

	if (result >= 0)
		goto done;
	result = 0;
	load.targets = targets->sval;
	load.target_count = targets->count;
	load.is_quiet = quiet->count > 0;
	load.seed = seed->count > 0 ? (uint64_t)seed->ival[0] : 1;
	for (int i = 0; i < flows->count; i++) {
		if (!parse_flow(flows->sval[i], &load.flows[load.flow_count++],
			&error)) {
			command_report("load", &error);
			result = 2;
			goto done;
		}
	}
	if (history->count > 0)
		load.order_log = fopen(history->filename[0], "a");
	load.random = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(load.random, (unsigned long)load.seed);
	load.loop = loop_create();
	load.fetch = fetch_create(load.loop, REPLY_BYTES_MAX, CONNECTIONS_MAX);
	load.start_us = clock_get_us();
	load.measure_start_us =
	    load.start_us +
	    (int64_t)((warmup->count > 0 ? warmup->dval[0] : 0) * 1e6);
	load.end_us =
	    load.start_us +
	    (int64_t)((seconds->count > 0 ? seconds->dval[0] : 10) * 1e6);
	load.next_progress_us = load.start_us + PROGRESS_PERIOD_US;
	for (int i = 0; i < load.flow_count; i++)
		load.flows[i].next_arrival_us = load.start_us;
	loop_add_timer(load.loop, handle_timer, &load);
	loop_run(load.loop);
	print_report(&load, json->count > 0);
	for (int i = 0; i < load.flow_count; i++) {
		histogram_destroy(load.flows[i].latency_us);
		histogram_destroy(load.flows[i].refusal_us);
	}
	fetch_destroy(load.fetch);
	loop_destroy(load.loop);
	gsl_rng_free(load.random);
	if (load.order_log != NULL)
		fclose(load.order_log);
done:
	arg_freetable(table, G_N_ELEMENTS(table));
	return result;
}

static bool
parse_flow(const char *spec, flow_t *flow, error_info_t *error)
{
	char **parts = g_strsplit(spec, ",", -1);
	bool is_good = true;

	g_strlcpy(flow->rank, "standard", sizeof(flow->rank));
	for (int i = 0; parts[i] != NULL && is_good; i++) {
		char *value = strchr(parts[i], '=');

		if (value == NULL) {
			is_good = error_set(error, ERROR_INVALID, "read flow",
			    "", "\"%s\" is not a name=value pair", parts[i]);
			break;
		}
		*value++ = '\0';
		if (strcmp(parts[i], "index") == 0)
			g_strlcpy(flow->index, value, sizeof(flow->index));
		else if (strcmp(parts[i], "rank") == 0)
			g_strlcpy(flow->rank, value, sizeof(flow->rank));
		else if (strcmp(parts[i], "caller") == 0)
			g_strlcpy(flow->caller, value, sizeof(flow->caller));
		else if (strcmp(parts[i], "rate") == 0)
			flow->rate_per_s = g_ascii_strtod(value, NULL);
		else if (strcmp(parts[i], "deadline_ms") == 0)
			flow->deadline_ms =
			    (int)g_ascii_strtoll(value, NULL, 10);
		else if (strcmp(parts[i], "orders") == 0)
			flow->is_order = strcmp(value, "1") == 0;
		else
			is_good =
			    error_set(error, ERROR_INVALID, "read flow", "",
				"\"%s\" is unknown; allowed are index, rank, "
				"rate, deadline_ms, caller, orders",
				parts[i]);
	}
	g_strfreev(parts);
	if (is_good && (flow->index[0] == '\0' || flow->rate_per_s <= 0))
		is_good = error_set(error, ERROR_INVALID, "read flow", "",
		    "\"%s\" needs an index and a rate above 0", spec);
	flow->latency_us = histogram_create(
	    HISTOGRAM_MIN_US, HISTOGRAM_MAX_US, HISTOGRAM_GROWTH);
	flow->refusal_us = histogram_create(
	    HISTOGRAM_MIN_US, HISTOGRAM_MAX_US, HISTOGRAM_GROWTH);
	return is_good;
}

static int64_t
handle_timer(void *context)
{
	load_t *load = context;
	int64_t now_us = clock_get_us();
	int64_t next_timer_us = load->next_progress_us;

	for (int i = 0; i < load->flow_count; i++) {
		flow_t *flow = &load->flows[i];

		while (flow->next_arrival_us <= now_us &&
		       flow->next_arrival_us < load->end_us) {
			send_request(load, flow, now_us);
			flow->next_arrival_us += (int64_t)gsl_ran_exponential(
			    load->random, 1e6 / flow->rate_per_s);
		}
		if (flow->next_arrival_us < load->end_us)
			next_timer_us =
			    MIN(next_timer_us, flow->next_arrival_us);
	}
	if (now_us >= load->next_progress_us) {
		load->next_progress_us = now_us + PROGRESS_PERIOD_US;
		if (!load->is_quiet)
			fprintf(stderr,
			    "load: %.0f of %.0f s, %" G_GINT64_FORMAT
			    " sent, %" G_GINT64_FORMAT " in flight\n",
			    (double)(now_us - load->start_us) / 1e6,
			    (double)(load->end_us - load->start_us) / 1e6,
			    load->request_count, load->in_flight);
	}
	if (now_us >= load->end_us && load->in_flight == 0)
		loop_stop(load->loop);
	return next_timer_us;
}

/*
 * Latency is measured from the time when the request was due, not from when it
 * was sent, so that a delay in the load generator counts too.
 */
static void
send_request(load_t *load, flow_t *flow, int64_t now_us)
{
	const char *target = load->targets[gsl_rng_uniform_int(
	    load->random, (unsigned long)load->target_count)];
	request_t *request = g_new0(request_t, 1);
	int64_t timeout_us = flow->deadline_ms > 0
				 ? flow->deadline_ms * 1000 + TIMEOUT_MARGIN_US
				 : DEFAULT_TIMEOUT_US;
	char url[ENDPOINT_BYTES];
	char *body;

	load->request_count++;
	load->in_flight++;
	request->load = load;
	request->flow = flow;
	request->due_us = flow->next_arrival_us;
	request->is_measured = flow->next_arrival_us >= load->measure_start_us;
	if (request->is_measured)
		flow->sent++;
	snprintf(url, sizeof(url), "http://%.60s/%s", target,
	    flow->is_order ? "order" : "search");
	if (flow->is_order) {
		snprintf(request->key, sizeof(request->key),
		    "load-%" G_GUINT64_FORMAT "-%" G_GINT64_FORMAT, load->seed,
		    load->request_count);
		body = g_strdup_printf("{\"index\":\"%s\",\"key\":\"%s\","
				       "\"issued_ms\":%" G_GINT64_FORMAT
				       ",\"rank\":\"%s\",\"order\":{\"n\":1}}",
		    flow->index, request->key, clock_get_wall_us() / 1000,
		    flow->rank);
	} else {
		body = g_strdup_printf(
		    "{\"index\":\"%s\",\"query\":\"q%" G_GINT64_FORMAT
		    "\",\"rank\":\"%s\",\"deadline_ms\":%d,\"limit\":10,"
		    "\"caller\":\"%s\"}",
		    flow->index, load->request_count % 1000, flow->rank,
		    flow->deadline_ms, flow->caller);
	}
	fetch_send(load->fetch, "POST", url, body, strlen(body), timeout_us, 0,
	    handle_reply, request);
	g_free(body);
}

static void
handle_reply(void *context, uint64_t tag, const fetch_reply_t *reply)
{
	request_t *request = context;
	flow_t *flow = request->flow;
	int64_t response_us = clock_get_us() - request->due_us;
	json_t *root = json_loadb(reply->body, reply->body_length, 0, NULL);

	request->load->in_flight--;
	if (flow->is_order)
		count_order(request->load, flow, request, root, response_us);
	else if (request->is_measured)
		count_search(flow, reply, root, response_us);
	json_decref(root);
	g_free(request);
}

static void
count_search(flow_t *flow, const fetch_reply_t *reply, const json_t *root,
    int64_t response_us)
{
	const json_t *coverage = json_object_get(root, "coverage");
	double fraction =
	    json_real_value(json_object_get(coverage, "fraction"));

	if (coverage == NULL &&
	    (reply->http_status == 503 || reply->http_status == 429)) {
		flow->refused++;
		histogram_add(flow->refusal_us, (double)response_us);
		return;
	}
	if (coverage == NULL) {
		flow->failed++;
		return;
	}
	histogram_add(flow->latency_us, (double)response_us);
	flow->coverage_sum += fraction;
	if (json_integer_value(json_object_get(coverage, "answered")) ==
	    json_integer_value(json_object_get(coverage, "total")))
		flow->full++;
	else if (reply->http_status == 200)
		flow->partial++;
	else
		flow->empty++;
}

static void
count_order(load_t *load, flow_t *flow, const request_t *request,
    const json_t *root, int64_t response_us)
{
	const char *outcome =
	    json_string_value(json_object_get(root, "outcome"));

	if (load->order_log != NULL)
		fprintf(load->order_log, "%s %s\n", request->key,
		    outcome != NULL ? outcome : "none");
	if (!request->is_measured)
		return;
	if (g_strcmp0(outcome, "done") == 0) {
		flow->done++;
		histogram_add(flow->latency_us, (double)response_us);
	} else if (g_strcmp0(outcome, "not_run") == 0) {
		flow->not_run++;
	} else if (g_strcmp0(outcome, "unknown") == 0) {
		flow->unknown++;
	} else {
		flow->failed++;
	}
}

static double
get_quantile_ms(const histogram_t *histogram, double quantile)
{
	return histogram_get_quantile(histogram, quantile) / 1000;
}

static void
print_report(const load_t *load, bool is_json)
{
	json_t *list = json_array();

	for (int i = 0; i < load->flow_count; i++) {
		const flow_t *flow = &load->flows[i];

		json_array_append_new(list, build_flow_report(load, flow));
		if (is_json)
			continue;
		printf("%s %s%s: sent %" G_GINT64_FORMAT
		       ", p50 %.1f p90 %.1f p99 %.1f ms",
		    flow->index, flow->rank, flow->is_order ? " orders" : "",
		    flow->sent, get_quantile_ms(flow->latency_us, 0.5),
		    get_quantile_ms(flow->latency_us, 0.9),
		    get_quantile_ms(flow->latency_us, 0.99));
		if (flow->is_order)
			printf(", done %" G_GINT64_FORMAT
			       " not_run %" G_GINT64_FORMAT
			       " unknown %" G_GINT64_FORMAT
			       " failed %" G_GINT64_FORMAT "\n",
			    flow->done, flow->not_run, flow->unknown,
			    flow->failed);
		else
			printf(", full %" G_GINT64_FORMAT
			       " partial %" G_GINT64_FORMAT
			       " empty %" G_GINT64_FORMAT
			       " refused %" G_GINT64_FORMAT
			       " failed %" G_GINT64_FORMAT ", coverage %.4f\n",
			    flow->full, flow->partial, flow->empty,
			    flow->refused, flow->failed,
			    flow->coverage_sum /
				(double)MAX(1,
				    flow->full + flow->partial + flow->empty));
	}
	if (is_json) {
		json_dumpf(list, stdout, JSON_COMPACT | JSON_REAL_PRECISION(6));
		printf("\n");
	}
	json_decref(list);
}

static json_t *
build_flow_report(const load_t *load, const flow_t *flow)
{
	double seconds = (double)(load->end_us - load->measure_start_us) / 1e6;
	int64_t answered = flow->full + flow->partial + flow->empty;
	json_t *report = json_pack("{s:s, s:s, s:s, s:b, s:f, s:f}", "index",
	    flow->index, "rank", flow->rank, "caller", flow->caller, "orders",
	    flow->is_order, "rate", flow->rate_per_s, "seconds", seconds);

	json_object_set_new(report, "sent", json_integer(flow->sent));
	json_object_set_new(report, "full", json_integer(flow->full));
	json_object_set_new(report, "partial", json_integer(flow->partial));
	json_object_set_new(report, "empty", json_integer(flow->empty));
	json_object_set_new(report, "refused", json_integer(flow->refused));
	json_object_set_new(report, "failed", json_integer(flow->failed));
	json_object_set_new(report, "done", json_integer(flow->done));
	json_object_set_new(report, "not_run", json_integer(flow->not_run));
	json_object_set_new(report, "unknown", json_integer(flow->unknown));
	json_object_set_new(report, "coverage",
	    json_real(flow->coverage_sum / (double)MAX(1, answered)));
	json_object_set_new(
	    report, "goodput", json_real((double)flow->full / seconds));
	json_object_set_new(report, "p50_ms",
	    json_real(get_quantile_ms(flow->latency_us, 0.5)));
	json_object_set_new(report, "p90_ms",
	    json_real(get_quantile_ms(flow->latency_us, 0.9)));
	json_object_set_new(report, "p99_ms",
	    json_real(get_quantile_ms(flow->latency_us, 0.99)));
	json_object_set_new(report, "refusal_p99_ms",
	    json_real(get_quantile_ms(flow->refusal_us, 0.99)));
	return report;
}
