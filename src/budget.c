/**
 * @file budget.c
 * Retry budget: limits extra requests to one service in a sliding window.
 *
 * The fleet's limit is a ratio of original requests plus a constant. Each VM
 * applies the ratio to its own requests and takes its share of the constant,
 * which keeps the sum within the limit without messages between VMs.
 */
#include <string.h>

#include "tier.h"

/* Fraction of the limit in use; the rest covers windows with other boundaries.
 */
#define BUDGET_USED 0.8

void
budget_init(budget_t *budget, int64_t window_us)
{
	memset(budget, 0, sizeof(*budget));
	budget->step_us = MAX(window_us / BUDGET_STEPS, 1);
}

static void
advance_window(budget_t *budget, int64_t now_us)
{
	int64_t step = now_us / budget->step_us;

	if (step - budget->current_step > BUDGET_STEPS)
		budget->current_step = step - BUDGET_STEPS;
	while (budget->current_step < step) {
		int slot = (int)(++budget->current_step % BUDGET_STEPS);

		budget->original_sum -= budget->original[slot];
		budget->extra_sum -= budget->extra[slot];
		budget->original[slot] = 0;
		budget->extra[slot] = 0;
	}
}

void
budget_record_original(budget_t *budget, int64_t now_us)
{
	advance_window(budget, now_us);
	budget->original[budget->current_step % BUDGET_STEPS]++;
	budget->original_sum++;
}

bool
budget_take(budget_t *budget, int64_t now_us, double ratio, double slack)
{
	double limit;

	advance_window(budget, now_us);
	limit = BUDGET_USED * (ratio * budget->original_sum + slack);
	if (budget->extra_sum + 1 > limit)
		return false;
	budget->extra[budget->current_step % BUDGET_STEPS]++;
	budget->extra_sum++;
	return true;
}

/*
 * The spending of the process before a restart is unknown. The share therefore
 * starts at the unused fraction and grows with the age of the process, which
 * keeps all processes of one VM within the limit in each window.
 */
double
budget_get_slack(double slack, int vm_count, int64_t age_us, int64_t window_us)
{
	double age = (double)CLAMP(age_us, 0, window_us) / (double)window_us;
	double unused = 1.0 - BUDGET_USED;

	return slack / vm_count * (unused + BUDGET_USED * age);
}
