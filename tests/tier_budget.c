/**
 * @file tier_budget.c
 * The budget of extra requests over the whole fleet, in virtual time: every VM
 * spends all that it may, and no window may hold more than the bound.
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
#define FIRST_EVERY \
	8 /* steps between first requests of one VM: 22.5 a second */

/** Which VMs are started anew, and how often. */
typedef struct pattern {
	const char *name;
	int restarted;	   /* VMs, the first ones */
	int64_t every_us;  /* each of them, 0: never */
	int64_t spread_us; /* between one VM's restart and the next's */
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

/* As the rule has it: the window, the one before, or half a window before. */
static int
get_first(const int *first, int end)
{
	int half = WINDOW_US / STEP_US / 2;

	return MAX(sum_window(first, end),
	    MAX(sum_window(first, MAX(end - half, 0)),
		sum_window(first, MAX(end - 2 * half, 0))));
}

static void
run_step(
    budget_t *budget, int64_t begun_us, int64_t now_us, int *first, int *extra)
{
	double slack =
	    budget_get_slack(SLACK, VMS, now_us - begun_us, WINDOW_US);

	if (now_us / STEP_US % FIRST_EVERY == 0) {
		budget_record_original(budget, now_us);
		(*first)++;
	}
	while (budget_take(budget, now_us, RATIO, slack))
		(*extra)++;
}

static bool
run_pattern(const pattern_t *pattern)
{
	static int first[STEPS], extra[STEPS];
	budget_t budgets[VMS];
	int64_t begun_us[VMS];
	double worst = 0;

	for (int vm = 0; vm < VMS; vm++) {
		budget_init(&budgets[vm], WINDOW_US);
		begun_us[vm] = 0;
	}
	for (int step = 0; step < STEPS; step++) {
		int64_t now_us = (int64_t)step * STEP_US;

		first[step] = extra[step] = 0;
		for (int vm = 0; vm < VMS; vm++) {
			if (is_restarted(pattern, vm, now_us)) {
				budget_init(&budgets[vm], WINDOW_US);
				begun_us[vm] = now_us;
			}
			run_step(&budgets[vm], begun_us[vm], now_us,
			    &first[step], &extra[step]);
		}
	}
	for (int end = 1; end <= STEPS; end++)
		worst = MAX(worst, sum_window(extra, end) /
				       (RATIO * get_first(first, end) + SLACK));
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
