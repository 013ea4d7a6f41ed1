/**
 * @file histogram.c
 * Histogram of latencies with logarithmic buckets and quantile estimates, on
 * top of GSL.
 */
#include <gsl/gsl_histogram.h>
#include <math.h>

#include "plantainarch.h"

struct histogram {
	gsl_histogram *bins;
	double min, max;
	double count;
};

/* Values outside [min, max) count in the first or the last bucket. */
histogram_t *
histogram_create(double min, double max, double growth)
{
	histogram_t *histogram = g_new0(histogram_t, 1);
	size_t buckets = (size_t)ceil(log(max / min) / log(growth));
	double *ranges = g_new(double, buckets + 1);

	for (size_t i = 0; i <= buckets; i++)
		ranges[i] = min * pow(growth, (double)i);
	histogram->bins = gsl_histogram_alloc(buckets);
	gsl_histogram_set_ranges(histogram->bins, ranges, buckets + 1);
	histogram->min = min;
	histogram->max = ranges[buckets];
	g_free(ranges);
	return histogram;
}

void
histogram_destroy(histogram_t *histogram)
{
	if (histogram == NULL)
		return;
	gsl_histogram_free(histogram->bins);
	g_free(histogram);
}

void
histogram_add(histogram_t *histogram, double value)
{
	if (value < histogram->min)
		value = histogram->min;
	if (value >= histogram->max)
		value = nextafter(histogram->max, 0);
	gsl_histogram_increment(histogram->bins, value);
	histogram->count++;
}

void
histogram_scale(histogram_t *histogram, double factor)
{
	gsl_histogram_scale(histogram->bins, factor);
	histogram->count *= factor;
}

double
histogram_get_quantile(const histogram_t *histogram, double quantile)
{
	double target = quantile * histogram->count;
	double cumulative = 0;
	double low, high;

	if (histogram->count <= 0)
		return 0;
	for (size_t i = 0; i < histogram->bins->n; i++) {
		double bucket_count = gsl_histogram_get(histogram->bins, i);

		if (bucket_count <= 0)
			continue;
		cumulative += bucket_count;
		gsl_histogram_get_range(histogram->bins, i, &low, &high);
		if (cumulative >= target)
			return low + (high - low) * (1 - (cumulative - target) /
							     bucket_count);
	}
	return histogram->max;
}

double
histogram_get_count(const histogram_t *histogram)
{
	return histogram->count;
}
