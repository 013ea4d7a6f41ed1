/**
 * @file queue.c
 * Queue policies: which queued request gets a leaf's next free slot.
 */
#include "core_private.h"

static bool is_below_ceiling(const leaf_queue_t *queue, rank_t rank);

/*
 * The highest rank goes first, except that a rank with less than its share of
 * the recently sent requests goes before it, the largest deficit first. No slot
 * stays free while a rank below its ceiling has queued requests.
 */
static job_t *
choose_by_rank(void *context, core_t *core, leaf_queue_t *queue)
{
	double total = 0;
	rank_t best = RANK_COUNT;
	double best_deficit = 0;

	for (rank_t rank = 0; rank < RANK_COUNT; rank++)
		total += queue->recent_sent[rank];
	for (rank_t rank = 0; rank < RANK_COUNT; rank++) {
		double deficit = total *
				     (double)queue->values[rank]
					 .value[SETTING_SHARE_PERCENT] /
				     100 -
				 queue->recent_sent[rank];

		if (queue->queued[rank] > 0 && is_below_ceiling(queue, rank) &&
		    deficit > best_deficit) {
			best = rank;
			best_deficit = deficit;
		}
	}
	for (rank_t rank = 0; rank < RANK_COUNT && best == RANK_COUNT; rank++)
		if (queue->queued[rank] > 0 && is_below_ceiling(queue, rank))
			best = rank;
	return best < RANK_COUNT ? TAILQ_FIRST(&queue->jobs[best]) : NULL;
}

/* In order of arrival, regardless of rank. */
static job_t *
choose_oldest(void *context, core_t *core, leaf_queue_t *queue)
{
	job_t *oldest = NULL;

	for (rank_t rank = 0; rank < RANK_COUNT; rank++) {
		job_t *job = TAILQ_FIRST(&queue->jobs[rank]);

		if (job != NULL && (oldest == NULL || job->id < oldest->id))
			oldest = job;
	}
	return oldest;
}

static bool
is_below_ceiling(const leaf_queue_t *queue, rank_t rank)
{
	int64_t allowed =
	    (int64_t)queue->limit *
	    queue->values[rank].value[SETTING_SLOT_CEILING_PERCENT] / 100;

	return queue->running[rank] < MAX(allowed, 1);
}

static const queue_callbacks_t ranked_callbacks = { choose_by_rank };
static const plugin_t ranked_plugin = { PLUGIN_QUEUE, "ranked",
	&ranked_callbacks };
PLUGIN_REGISTER(ranked_plugin)

static const queue_callbacks_t fifo_callbacks = { choose_oldest };
static const plugin_t fifo_plugin = { PLUGIN_QUEUE, "fifo", &fifo_callbacks };
PLUGIN_REGISTER(fifo_plugin)
