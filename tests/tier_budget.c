/**
 * @file tier_budget.c
 * Retry budget over the whole fleet in virtual time: each VM spends its full
 * share; no window may exceed the fleet's limit, also if VMs restart.
 */
#include <stdio.h>

#include "tier.h"

#define WINDOW_US 10000000
#define RATIO	  0.2
#define SLACK	  58.0
#define VMS	  9
#define RUN_US	  40000000
#define STEP_US	  50000
#define STEPS	  (RUN_US / STEP_US)
#define ORIGINAL_INTERVAL_STEPS                               \
	8 /* steps between a VM's original requests: 22.5 per \
	     second fleet-wide */

/** Which VMs restart, and how often. */
typedef struct pattern {
	const char *name;
	int restarted;	   /* number of VMs, from the original on */
	int64_t every_us;  /* restart interval; 0: never */
	int64_t spread_us; /* delay between the restarts of two VMs */
} pattern_t;

static const pattern_t patterns[] = {
	{ "no VM restarts", 0, 0, 0 },
	{ "two rolling restarts in one window", 7, 5000000, 425000 },
	{ "all VMs are killed at once, again and again", VMS, 3000000, 0 },
	{ "one VM restarts in a loop", 1, 600000, 0 },
};

static bool
is_restarted(const pattern_t *pattern, int vm, int64_t now_us)
{
	int64_t at_us = now_us - vm * pattern->spread_us;

	return vm < pattern->restarted && pattern->every_us > 0 && at_us > 0 &&
	       at_us % pattern->every_us < STEP_US;
}

static int
sum_window(const int *counts, int end)
{
	int sum = 0;

	for (int i = MAX(end - WINDOW_US / STEP_US, 0); i < end; i++)
		sum += counts[i];
	return sum;
}

/* Maximum of the window, the previous one, and the one half a window earlier.
 */
static int
get_max_originals(const int *original, int end)
{
	int half = WINDOW_US / STEP_US / 2;

	return MAX(sum_window(original, end),
	    MAX(sum_window(original, MAX(end - half, 0)),
		sum_window(original, MAX(end - 2 * half, 0))));
}

static void
run_step(budget_t *budget, int64_t started_us, int64_t now_us, int *original,
    int *extra)
{
	double slack =
	    budget_get_slack(SLACK, VMS, now_us - started_us, WINDOW_US);

	if (now_us / STEP_US % ORIGINAL_INTERVAL_STEPS == 0) {
		budget_record_original(budget, now_us);
		(*original)++;
	}
	while (budget_take(budget, now_us, RATIO, slack))
		(*extra)++;
}

static bool
run_pattern(const pattern_t *pattern)
{
	static int original[STEPS], extra[STEPS];
	budget_t budgets[VMS];
	int64_t started_us[VMS];
	double worst = 0;

	for (int vm = 0; vm < VMS; vm++) {
		budget_init(&budgets[vm], WINDOW_US);
		started_us[vm] = 0;
	}
	for (int step = 0; step < STEPS; step++) {
		int64_t now_us = (int64_t)step * STEP_US;

		original[step] = extra[step] = 0;
		for (int vm = 0; vm < VMS; vm++) {
			if (is_restarted(pattern, vm, now_us)) {
				budget_init(&budgets[vm], WINDOW_US);
				started_us[vm] = now_us;
			}
			run_step(&budgets[vm], started_us[vm], now_us,
			    &original[step], &extra[step]);
		}
	}
	for (int end = 1; end <= STEPS; end++)
		worst = MAX(worst,
		    sum_window(extra, end) /
			(RATIO * get_max_originals(original, end) + SLACK));
	printf("%-45s most in a window: %.2f of the bound\n", pattern->name,
	    worst);
	return worst <= 1.0;
}

int
main(void)
{
	bool is_good = true;

	for (size_t i = 0; i < G_N_ELEMENTS(patterns); i++)
		is_good = run_pattern(&patterns[i]) && is_good;
	return is_good ? 0 : 1;
}
