/**
 * @file metrics.c
 * Counters, gauges and histograms of this process, and their export in the
 * Prometheus text format.
 */
#include <ck_pr.h>
#include <stdio.h>
#include <string.h>

#include "plantainarch.h"

typedef struct metric_info {
	const char *name, *help;
} metric_info_t;

static const metric_info_t metric_infos[METRIC_COUNT] = {
#define METRIC(name, text, help) [name] = { "plantainarch_" text, help },
#include "metrics_list.h"
#undef METRIC
};

static const metric_info_t histogram_infos[HISTOGRAM_COUNT] = {
#define METRIC(name, text, help)
#define HISTOGRAM(name, text, help) [name] = { "plantainarch_" text, help },
#include "metrics_list.h"
#undef METRIC
};

/* Upper bounds: fine in the range of latency objectives, coarse above it. */
static const int64_t bucket_bounds_us[] = { 1000, 2500, 5000, 10000, 25000,
	50000, 75000, 100000, 150000, 250000, 500000, 1000000, 2500000,
	10000000 };

#define BUCKET_COUNT (sizeof(bucket_bounds_us) / sizeof(bucket_bounds_us[0]))

typedef struct histogram_buckets {
	uint64_t counts[BUCKET_COUNT + 1], sum_us;
} histogram_buckets_t;

static uint64_t metric_values[METRIC_COUNT];
static histogram_buckets_t histograms[HISTOGRAM_COUNT];

static const char *get_metric_type(metric_t metric);

void
metric_add(metric_t metric, int64_t amount)
{
	ck_pr_add_64(&metric_values[metric], (uint64_t)amount);
}

void
metric_set(metric_t metric, int64_t value)
{
	ck_pr_store_64(&metric_values[metric], (uint64_t)value);
}

int64_t
metric_get(metric_t metric)
{
	return (int64_t)ck_pr_load_64(&metric_values[metric]);
}

void
metric_observe(metric_histogram_t histogram, int64_t value_us)
{
	histogram_buckets_t *buckets = &histograms[histogram];
	size_t i = 0;

	while (i < BUCKET_COUNT && value_us > bucket_bounds_us[i])
		i++;
	ck_pr_inc_64(&buckets->counts[i]);
	ck_pr_add_64(&buckets->sum_us, (uint64_t)MAX(value_us, 0));
}

static void
append_histogram(GString *text, metric_histogram_t histogram)
{
	const char *name = histogram_infos[histogram].name;
	histogram_buckets_t *buckets = &histograms[histogram];
	uint64_t count = 0;

	g_string_append_printf(text, "# HELP %s %s\n# TYPE %s histogram\n",
	    name, histogram_infos[histogram].help, name);
	for (size_t i = 0; i < BUCKET_COUNT; i++) {
		count += ck_pr_load_64(&buckets->counts[i]);
		g_string_append_printf(text,
		    "%s_bucket{le=\"%g\"} %" G_GUINT64_FORMAT "\n", name,
		    (double)bucket_bounds_us[i] / 1e6, count);
	}
	count += ck_pr_load_64(&buckets->counts[BUCKET_COUNT]);
	g_string_append_printf(text,
	    "%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT
	    "\n%s_sum %.6f\n%s_count %" G_GUINT64_FORMAT "\n",
	    name, count, name, (double)ck_pr_load_64(&buckets->sum_us) / 1e6,
	    name, count);
}

char *
metric_format_text(void)
{
	GString *text = g_string_new(NULL);

	for (metric_t i = 0; i < METRIC_COUNT; i++) {
		g_string_append_printf(text, "# HELP %s %s\n# TYPE %s %s\n",
		    metric_infos[i].name, metric_infos[i].help,
		    metric_infos[i].name, get_metric_type(i));
		g_string_append_printf(text, "%s %" G_GINT64_FORMAT "\n",
		    metric_infos[i].name, metric_get(i));
	}
	for (metric_histogram_t i = 0; i < HISTOGRAM_COUNT; i++)
		append_histogram(text, i);
	return g_string_free(text, FALSE);
}

void
metric_print_catalogue(void)
{
	printf("| metric | type | meaning |\n|---|---|---|\n");
	for (metric_t i = 0; i < METRIC_COUNT; i++)
		printf("| %s | %s | %s |\n", metric_infos[i].name,
		    get_metric_type(i), metric_infos[i].help);
	for (metric_histogram_t i = 0; i < HISTOGRAM_COUNT; i++)
		printf("| %s | histogram | %s |\n", histogram_infos[i].name,
		    histogram_infos[i].help);
}

static const char *
get_metric_type(metric_t metric)
{
	return g_str_has_suffix(metric_infos[metric].name, "_total") ? "counter"
								     : "gauge";
}
