/**
 * @file limit.c
 * Limit policies: how many requests may be in flight to a leaf.
 */
#include "core_private.h"

#define INITIAL_LIMIT		 1.0
#define DECREASE_FACTOR		 0.7
#define DECREASE_INTERVAL_MIN_US 50000
#define INCREASE_PER_REPLY	 0.25

/* Starts at one request; the limit of a cold leaf grows with its replies. */
static void
reset_adaptive(void *context, leaf_queue_t *queue)
{
	queue->limit = INITIAL_LIMIT;
}

/* Additive increase per reply up to the leaf's slots, multiplicative decrease
 * when the leaf sheds a request. */
static void
update_adaptive(void *context, core_t *core, leaf_queue_t *queue,
    run_status_t status, int64_t service_us)
{
	double before = queue->limit;

	if (status == RUN_OK) {
		queue->limit = MIN(
		    queue->limit + INCREASE_PER_REPLY, (double)queue->slots);
	} else if (status == RUN_NOT_RUN && core->now_us - queue->limit_cut_us >
						DECREASE_INTERVAL_MIN_US) {
		queue->limit = MAX(queue->limit * DECREASE_FACTOR, 1);
		queue->limit_cut_us = core->now_us;
	}
	if ((int)before != (int)queue->limit)
		core_log(core, LOG_LEAF_LIMIT,
		    "limit: leaf %016" G_GINT64_MODIFIER
		    "x concurrency limit changed from %.1f to %.1f",
		    queue->leaf_key, before, queue->limit);
}

static void
reset_fixed(void *context, leaf_queue_t *queue)
{
	queue->limit = queue->slots;
}

static void
update_fixed(void *context, core_t *core, leaf_queue_t *queue,
    run_status_t status, int64_t service_us)
{
}

static const limit_callbacks_t adaptive_callbacks = { reset_adaptive,
	update_adaptive };
static const plugin_t adaptive_plugin = { PLUGIN_LIMIT, "adaptive",
	&adaptive_callbacks };
PLUGIN_REGISTER(adaptive_plugin)

static const limit_callbacks_t fixed_callbacks = { reset_fixed, update_fixed };
static const plugin_t fixed_plugin = { PLUGIN_LIMIT, "fixed",
	&fixed_callbacks };
PLUGIN_REGISTER(fixed_plugin)
