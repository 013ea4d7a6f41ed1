/**
 * @file schedule.c
 * Draws the faults of a run from its seed. They come in episodes, in which
 * several kinds overlap, with pauses between, so that bounds that hold only for
 * VMs in touch are checked too.
 */
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <string.h>

#include "soak.h"

#define EPISODE_KINDS	4
#define SPREAD_US	1500000 /* between the beginnings in one episode */
#define PAUSE_MOST_US	2500000
#define LULL_SHARE	0.3	/* of the pauses are long */
#define LULL_US		8000000 /* longer than what makes a VM stable */
#define SERIES_GAP_US	1200000 /* the longest between two of a series */
#define TARGETS		1000000
#define RETURN_LEAST_US 3000000 /* between two copies or returns */
#define RETURN_MOST_US	9000000
#define RETURN_SEED	0x7265747572 /* of their own sequence of numbers */

static int
compare_steps(const void *left, const void *right)
{
	const soak_step_t *one = left, *other = right;

	if (one->at_us != other->at_us)
		return one->at_us < other->at_us ? -1 : 1;
	return (int)one->is_end - (int)other->is_end;
}

static int64_t
draw_time(gsl_rng *random, int64_t least_us, int64_t most_us)
{
	return least_us + (int64_t)((double)(most_us - least_us) *
				    gsl_rng_uniform(random));
}

static const fault_kind_t *
draw_kind(gsl_rng *random)
{
	int count, total = 0, drawn;
	const fault_kind_t *kinds = fault_get_kinds(&count);

	for (int i = 0; i < count; i++)
		total += kinds[i].weight;
	drawn = (int)gsl_rng_uniform_int(random, (gulong)total);
	while (drawn >= kinds->weight)
		drawn -= kinds++->weight;
	return kinds;
}

/* A fault, or a series of them that need not be over before the next begins. */
static void
add_fault(GArray *steps, const schedule_options_t *options,
    const fault_kind_t *kind, int64_t at_us, gsl_rng *random)
{
	int repeats =
	    1 + (int)gsl_rng_uniform_int(random, (gulong)kind->series);

	for (int i = 0; i < repeats; i++) {
		soak_step_t step = { .at_us = at_us, .kind = kind };

		step.target = (int)gsl_rng_uniform_int(random, TARGETS);
		step.value = gsl_rng_uniform(random);
		if (at_us >= options->end_us)
			return;
		g_array_append_val(steps, step);
		step.is_end = true;
		step.at_us += draw_time(random, kind->least_us, kind->most_us);
		step.at_us = MIN(step.at_us, options->end_us);
		if (kind->most_us > 0)
			g_array_append_val(steps, step);
		at_us += draw_time(random, SERIES_GAP_US / 10, SERIES_GAP_US);
	}
}

static void
add_returns(GArray *steps, const schedule_options_t *options)
{
	gsl_rng *random = gsl_rng_alloc(gsl_rng_taus2);
	int64_t at_us = options->begin_us;
	bool is_return = false;

	gsl_rng_set(random, (unsigned long)options->seed ^ RETURN_SEED);
	for (;;) {
		at_us += draw_time(random, RETURN_LEAST_US, RETURN_MOST_US);
		if (at_us >= options->end_us)
			break;
		add_fault(steps, options, fault_get_return_kind(is_return),
		    at_us, random);
		is_return = !is_return;
	}
	gsl_rng_free(random);
}

GArray *
schedule_create(const schedule_options_t *options)
{
	GArray *steps = g_array_new(FALSE, FALSE, sizeof(soak_step_t));
	gsl_rng *random = gsl_rng_alloc(gsl_rng_taus2);
	int64_t at_us = options->begin_us;

	gsl_rng_set(random, (unsigned long)options->seed);
	while (at_us < options->end_us) {
		int kinds = 1 + (int)gsl_rng_uniform_int(random, EPISODE_KINDS);
		bool is_lull = gsl_rng_uniform(random) < LULL_SHARE;

		for (int i = 0; i < kinds; i++) {
			add_fault(
			    steps, options, draw_kind(random), at_us, random);
			at_us += draw_time(random, 0, SPREAD_US);
		}
		at_us +=
		    is_lull ? LULL_US : draw_time(random, 0, PAUSE_MOST_US);
	}
	add_returns(steps, options);
	g_array_sort(steps, compare_steps);
	gsl_rng_free(random);
	return steps;
}

void
schedule_print(const GArray *steps)
{
	for (guint i = 0; i < steps->len; i++) {
		const soak_step_t *step = &g_array_index(steps, soak_step_t, i);

		printf("%8.3f %-5s %-14s target %6d value %.3f\n",
		    (double)step->at_us / 1e6, step->is_end ? "end" : "begin",
		    step->kind->name, step->target, step->value);
	}
}

int
schedule_count_faults(const GArray *steps)
{
	int count = 0;

	for (guint i = 0; i < steps->len; i++)
		count += g_array_index(steps, soak_step_t, i).is_end ? 0 : 1;
	return count;
}
