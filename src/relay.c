/**
 * @file relay.c
 * Relay: queues the requests for each leaf and holds this thread's share of the
 * connections to each instance.
 *
 * Relay assignment is soft state. A thread accepts requests for any leaf; only
 * its share of the connections depends on its position among the instance's
 * relays in its own fleet snapshot.
 */
#include <jansson.h>
#include <string.h>

#include "core_private.h"

#define SERVICE_EWMA_WEIGHT	 0.1
#define RECENT_SENT_HALF_LIFE_US 200000.0
#define SENT_ORDER_KEYS_MAX	 100000

/* Share of an instance's connections by position among its relays, in percent.
 * The limit holds even if two VMs both compute position 0 and one position 1.
 */
static const int relay_connection_percents[] = { 40, 20, 8 };
#define OTHER_CONNECTION_PERCENT 4
/* Share of all threads together, divided equally, when every VM sends to leaves
 * directly. */
#define DIRECT_CONNECTION_PERCENT 80

static void configure_queue(leaf_queue_t *queue, const index_info_t *index);
static leaf_queue_t *get_queue(
    core_t *core, const index_info_t *index, const leaf_t *leaf);
static instance_state_t *get_instance(
    core_t *core, const index_info_t *index, const instance_t *instance);
static void update_instance(core_t *core, instance_state_t *state,
    const index_info_t *index, const instance_t *instance);
static job_t *create_job(core_t *core, const wire_run_t *run,
    const wire_item_t *item, leaf_queue_t *queue, bool is_local);
static void queue_job(leaf_queue_t *queue, job_t *job);
static void destroy_job(core_t *core, job_t *job);
static void send_queued_jobs(core_t *core, instance_state_t *instance);
static bool send_next_job(core_t *core, leaf_queue_t *queue);
static void send_job(core_t *core, job_t *job);
static void refuse_job(core_t *core, job_t *job, bool is_leaving);
static void finish_job(core_t *core, job_t *job, run_status_t status,
    bool is_leaving, const char *body, size_t length);
static void fill_wait_report(
    const core_t *core, const leaf_queue_t *queue, wire_wait_t *wait);
static void mark_instance_leaving(core_t *core, instance_state_t *instance);
static uint64_t get_attempt_key(uint64_t origin, uint64_t attempt);
static void age_recent_sent(core_t *core, leaf_queue_t *queue);
static char *format_leaf_request(
    const job_t *job, int64_t left_us, size_t *length);

void
relay_handle_run(core_t *core, const wire_run_t *run, bool is_local)
{
	const index_info_t *index =
	    core->fleet != NULL ? fleet_find_index(core->fleet, run->index)
				: NULL;
	wire_wait_t *waits = g_new0(wire_wait_t, run->item_count + 1);
	int wait_count = 0;

	for (int i = 0; i < run->item_count; i++) {
		leaf_t *leaf = index != NULL ? fleet_find_leaf(core->fleet,
						   run->items[i].leaf)
					     : NULL;
		leaf_queue_t *queue =
		    leaf != NULL ? get_queue(core, index, leaf) : NULL;
		job_t *job =
		    create_job(core, run, &run->items[i], queue, is_local);

		if (queue == NULL || queue->instance->is_leaving) {
			refuse_job(core, job, queue != NULL);
			continue;
		}
		queue_job(queue, job);
		send_queued_jobs(core, queue->instance);
		fill_wait_report(core, queue, &waits[wait_count++]);
	}
	if (!is_local)
		core_send_to_peer(core, run->reply_to,
		    wire_encode_accept(core->self_key, waits, wait_count));
	g_free(waits);
}

void
relay_handle_cancel(
    core_t *core, uint64_t origin, const uint64_t *attempts, int count)
{
	for (int i = 0; i < count; i++) {
		uint64_t key = get_attempt_key(origin, attempts[i]);
		job_t *job = g_hash_table_lookup(core->jobs_by_attempt, &key);
		action_t *action;

		if (job == NULL || job->is_order || job->is_cancelled)
			continue;
		if (!job->is_sent) {
			TAILQ_REMOVE(&job->queue->jobs[job->rank], job, link);
			job->queue->queued[job->rank]--;
			destroy_job(core, job);
			continue;
		}
		job->is_cancelled = true;
		metric_add(METRIC_LEAF_CANCELLED, 1);
		action = core_add_action(core, ACTION_LEAF_CANCEL);
		action->job = job->id;
		action->instance = job->queue->instance->key;
		action->connections = job->queue->instance->connections;
		action->leaf_number = job->queue->leaf_number;
		g_strlcpy(action->address, job->queue->instance->address,
		    sizeof(action->address));
		action->body = g_strdup_printf(
		    "{\"request\":\"%s\",\"attempt\":%" G_GUINT64_FORMAT "}",
		    job->request, job->attempt);
		action->body_length = strlen(action->body);
	}
}

void
relay_handle_leaf_reply(core_t *core, const event_t *event)
{
	job_t *job = g_hash_table_lookup(core->jobs, &event->job);
	leaf_queue_t *queue;
	int64_t service_us;

	if (job == NULL) {
		metric_add(METRIC_REPLIES_DROPPED, 1);
		core_log(core, LOG_REPLY_DROPPED,
		    "relay: leaf reply dropped: job %" G_GUINT64_FORMAT
		    " is not in progress",
		    event->job);
		return;
	}
	queue = job->queue;
	service_us = core->now_us - job->sent_us;
	queue->in_flight--;
	queue->running[job->rank]--;
	queue->instance->in_flight--;
	if (event->status == RUN_OK || (double)service_us > queue->service_us)
		queue->service_us +=
		    (queue->service_us > 0 ? SERVICE_EWMA_WEIGHT : 1) *
		    ((double)service_us - queue->service_us);
	if (event->status == RUN_NOT_RUN)
		metric_add(METRIC_LEAF_SHED, 1);
	queue->limit_policy->update(
	    NULL, core, queue, event->status, service_us);
	if (event->is_leaving)
		mark_instance_leaving(core, queue->instance);
	finish_job(core, job, event->status, event->is_leaving, event->body,
	    event->body_length);
	send_queued_jobs(core, queue->instance);
}

/* Applies the layout, settings and leaving instances of a new snapshot. */
void
relay_handle_fleet(core_t *core)
{
	for (int i = 0; i < core->fleet->index_count; i++) {
		const index_info_t *index = &core->fleet->indexes[i];

		for (int j = 0; j < index->instance_count; j++) {
			instance_state_t *state = g_hash_table_lookup(
			    core->instances, &index->instances[j].key);
			leaf_queue_t *queue;

			if (state == NULL)
				continue;
			update_instance(
			    core, state, index, &index->instances[j]);
			TAILQ_FOREACH (queue, &state->queues, link) {
				configure_queue(queue, index);
			}
			send_queued_jobs(core, state);
		}
	}
}

void
relay_destroy_all(core_t *core)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, core->jobs);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		job_t *job = value;

		g_free(job->text);
		g_hash_table_iter_steal(&iterator);
		g_free(job);
	}
	g_hash_table_iter_init(&iterator, core->queues);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		g_hash_table_iter_steal(&iterator);
		g_free(value);
	}
}

/*
 * Estimates the queueing delay of a new request of this rank. Queued requests
 * of higher ranks are counted at the leaf's service rate, those of its own rank
 * at the rate of the rank's slot ceiling. If the oldest request of the rank has
 * waited long, the estimate is at least the rank's queue at its recent service
 * rate. It is never below the age of the oldest request.
 */
int64_t
relay_estimate_wait(const core_t *core, const leaf_queue_t *queue, rank_t rank)
{
	const job_t *oldest = TAILQ_FIRST(&queue->jobs[rank]);
	double slots = MAX(1, MIN(queue->limit, queue->slots));
	double rank_slots =
	    slots *
	    (double)queue->values[rank].value[SETTING_SLOT_CEILING_PERCENT] /
	    100;
	double us_per_request = queue->service_us / slots;
	double wait_us = (double)queue->queued[rank] * queue->service_us /
			 MAX(1, rank_slots);
	int64_t oldest_age_us =
	    oldest != NULL ? core->now_us - oldest->arrived_us : 0;

	for (rank_t higher_rank = 0; higher_rank < rank; higher_rank++)
		wait_us += (double)queue->queued[higher_rank] * us_per_request;
	if ((double)oldest_age_us > RECENT_SENT_HALF_LIFE_US)
		wait_us = MAX(wait_us, (double)queue->queued[rank] *
					   RECENT_SENT_HALF_LIFE_US /
					   MAX(1, queue->recent_sent[rank]));
	if (queue->in_flight >= (int)queue->limit)
		wait_us += us_per_request / 2;
	return MAX((int64_t)wait_us, oldest_age_us);
}

static leaf_queue_t *
get_queue(core_t *core, const index_info_t *index, const leaf_t *leaf)
{
	leaf_queue_t *queue = g_hash_table_lookup(core->queues, &leaf->key);

	if (queue != NULL)
		return queue;
	queue = g_new0(leaf_queue_t, 1);
	queue->leaf_key = leaf->key;
	queue->leaf_number = leaf->number;
	queue->slots = leaf->slots;
	queue->instance = get_instance(core, index, leaf->instance);
	queue->recent_sent_aged_us = core->now_us;
	for (int rank = 0; rank < RANK_COUNT; rank++)
		TAILQ_INIT(&queue->jobs[rank]);
	configure_queue(queue, index);

	TAILQ_INSERT_TAIL(&queue->instance->queues, queue, link);
	g_hash_table_insert(core->queues, &queue->leaf_key, queue);
	return queue;
}

/* Applies the policies and values of the index's settings. */
static void
configure_queue(leaf_queue_t *queue, const index_info_t *index)
{
	const settings_values_t *values = index->values;
	const limit_callbacks_t *limit_policy = plugin_find_choice(
	    PLUGIN_LIMIT, SETTING_LIMIT, values[0].value[SETTING_LIMIT])
						    ->callbacks;

	memcpy(queue->values, values, sizeof(queue->values));
	queue->queue_policy = plugin_find_choice(
	    PLUGIN_QUEUE, SETTING_QUEUE, values[0].value[SETTING_QUEUE])
				  ->callbacks;
	if (queue->limit_policy == limit_policy)
		return;
	queue->limit_policy = limit_policy;
	limit_policy->reset(NULL, queue);
}

static instance_state_t *
get_instance(
    core_t *core, const index_info_t *index, const instance_t *instance)
{
	instance_state_t *state =
	    g_hash_table_lookup(core->instances, &instance->key);

	if (state != NULL)
		return state;
	state = g_new0(instance_state_t, 1);
	state->key = instance->key;
	TAILQ_INIT(&state->queues);
	update_instance(core, state, index, instance);
	g_hash_table_insert(core->instances, &state->key, state);
	return state;
}

static void
update_instance(core_t *core, instance_state_t *state,
    const index_info_t *index, const instance_t *instance)
{
	int percent = OTHER_CONNECTION_PERCENT;
	int threads = 0;

	g_strlcpy(state->address, instance->address, sizeof(state->address));
	if (instance->is_leaving && !state->is_leaving)
		mark_instance_leaving(core, state);
	state->is_leaving = instance->is_leaving;
	if (index->values[0].value[SETTING_REACH] != 0) {
		for (int i = 0; i < core->fleet->peer_count; i++)
			threads +=
			    core->fleet->peers[i].member->state != MEMBER_DEAD;
		state->connections =
		    MAX(1, instance->connections * DIRECT_CONNECTION_PERCENT /
			       100 / MAX(1, threads));
		return;
	}
	for (int i = 0; i < MIN(instance->relay_count, RELAYS_MAX); i++)
		if (core->fleet->peers[instance->relays[i]].key ==
		    core->self_key)
			percent = relay_connection_percents[i];
	state->connections = MAX(1, instance->connections * percent / 100);
}

static job_t *
create_job(core_t *core, const wire_run_t *run, const wire_item_t *item,
    leaf_queue_t *queue, bool is_local)
{
	job_t *job = g_new0(job_t, 1);

	job->id = core_allocate_id(core);
	job->origin = run->origin;
	job->attempt = item->attempt;
	job->shard = item->shard;
	job->is_local = is_local;
	job->queue = queue;
	job->version = run->version;
	job->limit = run->limit;
	job->rank = run->rank;
	job->is_order = run->is_order;
	job->text = g_strndup(run->text, run->text_length);
	job->text_length = run->text_length;
	job->arrived_us = core->now_us;
	job->deadline_us = core->now_us + run->remaining_us -
			   (is_local ? 0 : RETURN_FROM_RELAY_US);
	g_strlcpy(job->reply_to, run->reply_to, sizeof(job->reply_to));
	g_strlcpy(job->index, run->index, sizeof(job->index));
	g_strlcpy(job->request, run->request, sizeof(job->request));
	job->attempt_key = get_attempt_key(job->origin, job->attempt);
	g_hash_table_insert(core->jobs, &job->id, job);
	g_hash_table_insert(core->jobs_by_attempt, &job->attempt_key, job);
	return job;
}

/* Inserts the job by deadline within its rank: hedges and retries of older
 * queries go first. */
static void
queue_job(leaf_queue_t *queue, job_t *job)
{
	job_t *previous = TAILQ_LAST(&queue->jobs[job->rank], job_list);

	while (previous != NULL && previous->deadline_us > job->deadline_us)
		previous = TAILQ_PREV(previous, job_list, link);
	if (previous != NULL)
		TAILQ_INSERT_AFTER(
		    &queue->jobs[job->rank], previous, job, link);
	else
		TAILQ_INSERT_HEAD(&queue->jobs[job->rank], job, link);
	queue->queued[job->rank]++;
}

static void
destroy_job(core_t *core, job_t *job)
{
	g_hash_table_remove(core->jobs, &job->id);
	g_hash_table_remove(core->jobs_by_attempt, &job->attempt_key);
	g_free(job->text);
	g_free(job);
}

/* Sends queued jobs while there are free slots, round-robin over the instance's
 * leaves. */
static void
send_queued_jobs(core_t *core, instance_state_t *instance)
{
	leaf_queue_t *queue;
	bool has_sent = true;

	while (has_sent) {
		has_sent = false;
		TAILQ_FOREACH (queue, &instance->queues, link) {
			has_sent |= send_next_job(core, queue);
		}
	}
}

/*
 * Sends one job if the leaf's limit and the instance's connections allow, and
 * returns whether it did. If this thread's share of the instance's connection
 * limit is more than two connections, one of them is reserved for
 * cancellations.
 */
static bool
send_next_job(core_t *core, leaf_queue_t *queue)
{
	instance_state_t *instance = queue->instance;
	int connections_max = instance->connections > 2
				  ? instance->connections - 1
				  : instance->connections;
	job_t *job;

	if (instance->is_leaving) {
		for (int rank = 0; rank < RANK_COUNT; rank++) {
			while (
			    (job = TAILQ_FIRST(&queue->jobs[rank])) != NULL) {
				TAILQ_REMOVE(&queue->jobs[rank], job, link);
				queue->queued[rank]--;
				refuse_job(core, job, true);
			}
		}
		return false;
	}
	while (queue->in_flight < (int)queue->limit &&
	       instance->in_flight < connections_max) {
		job = queue->queue_policy->choose_job(NULL, core, queue);
		if (job == NULL)
			return false;
		TAILQ_REMOVE(&queue->jobs[job->rank], job, link);
		queue->queued[job->rank]--;
		/*
		 * Refuses a request whose deadline is less than half
		 * the leaf's mean service time away.
		 */
		if (core->now_us + (int64_t)queue->service_us / 2 >
		    job->deadline_us) {
			refuse_job(core, job, false);
			continue;
		}
		send_job(core, job);
		return true;
	}
	return false;
}

static void
send_job(core_t *core, job_t *job)
{
	leaf_queue_t *queue = job->queue;
	int64_t left_us = job->deadline_us - core->now_us;
	action_t *action;

	if (job->is_order) {
		if (g_hash_table_size(core->sent_orders) >= SENT_ORDER_KEYS_MAX)
			g_hash_table_remove_all(core->sent_orders);
		if (!g_hash_table_add(core->sent_orders,
			g_strdup_printf("%s/%" G_GUINT64_FORMAT
					"/%016" G_GINT64_MODIFIER "x",
			    job->request, job->attempt, job->origin))) {
			core_report_violation(core, LOG_INVARIANT_ORDER,
			    "relay: second send of order %s attempt "
			    "%" G_GUINT64_FORMAT " prevented",
			    job->request, job->attempt);
			refuse_job(core, job, false);
			return;
		}
		core_log(core, LOG_ORDER_SENT,
		    "relay: order %s sent to %s leaf %d", job->request,
		    queue->instance->address, queue->leaf_number);
	}
	job->is_sent = true;
	job->sent_us = core->now_us;
	queue->in_flight++;
	queue->running[job->rank]++;
	queue->instance->in_flight++;
	age_recent_sent(core, queue);
	queue->recent_sent[job->rank] += 1;
	metric_add(METRIC_LEAF_REQUESTS, 1);
	action = core_add_action(core, ACTION_LEAF_SEND);
	action->job = job->id;
	action->instance = queue->instance->key;
	action->connections = queue->instance->connections;
	action->leaf_number = queue->leaf_number;
	action->is_order = job->is_order;
	action->timeout_us = left_us;
	g_strlcpy(
	    action->address, queue->instance->address, sizeof(action->address));
	action->body = format_leaf_request(job, left_us, &action->body_length);
}

/* Reports RUN_NOT_RUN for a job that was never sent. */
static void
refuse_job(core_t *core, job_t *job, bool is_leaving)
{
	if (job->is_sent) {
		core_report_violation(core, LOG_INVARIANT_NOT_RUN,
		    "relay: request %s attempt %" G_GUINT64_FORMAT
		    " was already sent; reported as failed, not as not run",
		    job->request, job->attempt);
		finish_job(core, job, RUN_FAILED, is_leaving, "", 0);
		return;
	}
	finish_job(core, job, RUN_NOT_RUN, is_leaving, "", 0);
}

static void
finish_job(core_t *core, job_t *job, run_status_t status, bool is_leaving,
    const char *body, size_t length)
{
	wire_result_t result = { .attempt = job->attempt,
		.status = status,
		.is_leaving = is_leaving };

	result.service_us = job->is_sent ? core->now_us - job->sent_us : 0;
	result.queue_us =
	    (job->is_sent ? job->sent_us : core->now_us) - job->arrived_us;
	result.body = body;
	result.body_length = length;
	if (job->queue != NULL)
		fill_wait_report(core, job->queue, &result.wait);
	if (!job->is_cancelled)
		core_deliver_result(core, job, &result);
	destroy_job(core, job);
}

static void
fill_wait_report(
    const core_t *core, const leaf_queue_t *queue, wire_wait_t *wait)
{
	wait->leaf = queue->leaf_key;
	for (rank_t rank = 0; rank < RANK_COUNT; rank++)
		wait->wait_us[rank] = (uint32_t)MIN(
		    relay_estimate_wait(core, queue, rank), UINT32_MAX);
	wait->service_us = (uint32_t)MIN(queue->service_us, (double)UINT32_MAX);
}

static void
mark_instance_leaving(core_t *core, instance_state_t *instance)
{
	action_t *action;

	if (instance->is_leaving)
		return;
	instance->is_leaving = true;
	core_log(core, LOG_UPSTREAM_LEAVING,
	    "relay: instance at %s drains; no new requests are sent to it",
	    instance->address);
	action = core_add_action(core, ACTION_REPORT_LEAVING);
	action->instance = instance->key;
}

static uint64_t
get_attempt_key(uint64_t origin, uint64_t attempt)
{
	return hash_pair(origin, attempt);
}

/* Decays the counts of recently sent requests that the rank shares use. */
static void
age_recent_sent(core_t *core, leaf_queue_t *queue)
{
	double half_lives =
	    (double)(core->now_us - queue->recent_sent_aged_us) /
	    RECENT_SENT_HALF_LIFE_US;
	double factor = half_lives > 30 ? 0 : 1 / (1 + half_lives);

	if (half_lives < 0.1)
		return;
	for (int rank = 0; rank < RANK_COUNT; rank++)
		queue->recent_sent[rank] *= factor;
	queue->recent_sent_aged_us = core->now_us;
}

static char *
format_leaf_request(const job_t *job, int64_t left_us, size_t *length)
{
	json_t *root = json_pack(
	    "{s:s, s:I, s:s, s:I, s:I, s:s, s:I, s:I, s:s%}", "request",
	    job->request, "attempt", (json_int_t)job->attempt, "index",
	    job->index, "index_version", (json_int_t)job->version, "shard",
	    (json_int_t)job->shard, "rank", rank_get_name(job->rank),
	    "deadline_us", (json_int_t)left_us, "limit", (json_int_t)job->limit,
	    "query", job->text, job->text_length);
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	*length = text != NULL ? strlen(text) : 0;
	return text;
}
