/**
 * @file home.c
 * The home side: one queue for each leaf, in front of its slots, and this
 * thread's share of the connections to each instance.
 *
 * Homes are soft state. Any thread serves any leaf it is asked for; what
 * differs is its share of the connections, by its place in its own view.
 */
#include <jansson.h>
#include <string.h>

#include "core_private.h"

#define SMOOTHING	    0.1
#define SERVED_HALF_LIFE_US 200000.0
#define SENT_ORDERS_MAX	    100000

/* Share of an instance's connections by place among its homes, in percent.
 * Two VMs that both believe to be first and one second stay within the limit.
 */
static const int connection_percents[] = { 40, 20, 8 };
#define CONNECTION_PERCENT_OTHERS 4
/* All VMs together, each an equal part, when every VM reaches leaves directly.
 */
#define CONNECTION_PERCENT_DIRECT 80

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
static void pump_instance(core_t *core, instance_state_t *instance);
static bool pump_queue(core_t *core, leaf_queue_t *queue);
static void send_job(core_t *core, job_t *job);
static void refuse_job(core_t *core, job_t *job, bool is_leaving);
static void finish_job(core_t *core, job_t *job, run_status_t status,
    bool is_leaving, const char *body, size_t length);
static void fill_wait(
    const core_t *core, const leaf_queue_t *queue, wire_wait_t *wait);
static void set_leaving(core_t *core, instance_state_t *instance);
static uint64_t get_attempt_key(uint64_t origin, uint64_t attempt);
static void age_served(core_t *core, leaf_queue_t *queue);
static char *format_leaf_request(
    const job_t *job, int64_t left_us, size_t *length);

void
home_handle_run(core_t *core, const wire_run_t *run, bool is_local)
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
		pump_instance(core, queue->instance);
		fill_wait(core, queue, &waits[wait_count++]);
	}
	if (!is_local)
		effect_send_peer(core, run->reply_to,
		    wire_encode_accept(core->self, waits, wait_count));
	g_free(waits);
}

void
home_handle_cancel(
    core_t *core, uint64_t origin, const uint64_t *attempts, int count)
{
	for (int i = 0; i < count; i++) {
		uint64_t key = get_attempt_key(origin, attempts[i]);
		job_t *job = g_hash_table_lookup(core->job_by_attempt, &key);
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
		action = effect_add_action(core, ACTION_LEAF_CANCEL);
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
home_handle_leaf_reply(core_t *core, const event_t *event)
{
	job_t *job = g_hash_table_lookup(core->jobs, &event->job);
	leaf_queue_t *queue;
	int64_t service_us;

	if (job == NULL) {
		metric_add(METRIC_REPLIES_DROPPED, 1);
		effect_log(core, LOG_REPLY_DROPPED,
		    "home: reply for job %" G_GUINT64_FORMAT
		    " that is not under way",
		    event->job);
		return;
	}
	queue = job->queue;
	service_us = core->now_us - job->sent_us;
	queue->in_flight--;
	queue->running[job->rank]--;
	queue->instance->in_flight--;
	if (event->status == RUN_OK || (double)service_us > queue->service_us)
		queue->service_us += (queue->service_us > 0 ? SMOOTHING : 1) *
				     ((double)service_us - queue->service_us);
	if (event->status == RUN_NOT_RUN)
		metric_add(METRIC_LEAF_SHED, 1);
	queue->limiter->update(NULL, core, queue, event->status, service_us);
	if (event->is_leaving)
		set_leaving(core, queue->instance);
	finish_job(core, job, event->status, event->is_leaving, event->body,
	    event->body_length);
	pump_instance(core, queue->instance);
}

/* Adopts the layout and the leaving signs of a new snapshot. */
void
home_handle_fleet(core_t *core)
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
			pump_instance(core, state);
		}
	}
}

void
home_destroy_all(core_t *core)
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
 * What a new request of this rank would wait: the work ahead of it at the
 * leaf's pace, its own rank's within its ceiling. Where the rank has waited
 * for a while, at least its queue at the pace it was served of late, and as
 * long as its oldest request has waited.
 */
int64_t
home_get_wait(const core_t *core, const leaf_queue_t *queue, rank_t rank)
{
	const job_t *oldest = TAILQ_FIRST(&queue->jobs[rank]);
	double slots = MAX(1, MIN(queue->limit, queue->slots));
	double ceiling =
	    slots *
	    (double)queue->values[rank].value[SETTING_SLOT_CEILING_PERCENT] /
	    100;
	double pace_us = queue->service_us / slots;
	double wait_us =
	    (double)queue->queued[rank] * queue->service_us / MAX(1, ceiling);
	int64_t age_us = oldest != NULL ? core->now_us - oldest->arrived_us : 0;

	for (rank_t above = 0; above < rank; above++)
		wait_us += (double)queue->queued[above] * pace_us;
	if ((double)age_us > SERVED_HALF_LIFE_US)
		wait_us = MAX(wait_us, (double)queue->queued[rank] *
					   SERVED_HALF_LIFE_US /
					   MAX(1, queue->served[rank]));
	if (queue->in_flight >= (int)queue->limit)
		wait_us += pace_us / 2;
	return MAX((int64_t)wait_us, age_us);
}

static leaf_queue_t *
get_queue(core_t *core, const index_info_t *index, const leaf_t *leaf)
{
	leaf_queue_t *queue = g_hash_table_lookup(core->queues, &leaf->key);

	if (queue != NULL)
		return queue;
	queue = g_new0(leaf_queue_t, 1);
	queue->leaf = leaf->key;
	queue->leaf_number = leaf->number;
	queue->slots = leaf->slots;
	queue->instance = get_instance(core, index, leaf->instance);
	queue->served_at_us = core->now_us;
	for (int rank = 0; rank < RANK_COUNT; rank++)
		TAILQ_INIT(&queue->jobs[rank]);
	configure_queue(queue, index);

	TAILQ_INSERT_TAIL(&queue->instance->queues, queue, link);
	g_hash_table_insert(core->queues, &queue->leaf, queue);
	return queue;
}

/* Puts the policies and values of the settings in force. */
static void
configure_queue(leaf_queue_t *queue, const index_info_t *index)
{
	const settings_values_t *values = index->values;
	const limit_callbacks_t *limiter = plugin_find_choice(
	    PLUGIN_LIMIT, SETTING_LIMIT, values[0].value[SETTING_LIMIT])
					       ->callbacks;

	memcpy(queue->values, values, sizeof(queue->values));
	queue->order = plugin_find_choice(
	    PLUGIN_QUEUE, SETTING_QUEUE, values[0].value[SETTING_QUEUE])
			   ->callbacks;
	if (queue->limiter == limiter)
		return;
	queue->limiter = limiter;
	limiter->begin(NULL, queue);
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
	int percent = CONNECTION_PERCENT_OTHERS;
	int threads = 0;

	g_strlcpy(state->address, instance->address, sizeof(state->address));
	if (instance->is_leaving && !state->is_leaving)
		set_leaving(core, state);
	state->is_leaving = instance->is_leaving;
	if (index->values[0].value[SETTING_REACH] != 0) {
		for (int i = 0; i < core->fleet->peer_count; i++)
			threads +=
			    core->fleet->peers[i].member->state != MEMBER_DEAD;
		state->connections =
		    MAX(1, instance->connections * CONNECTION_PERCENT_DIRECT /
			       100 / MAX(1, threads));
		return;
	}
	for (int i = 0; i < MIN(instance->home_count, RELAYS_MAX); i++)
		if (core->fleet->peers[instance->homes[i]].key == core->self)
			percent = connection_percents[i];
	state->connections = MAX(1, instance->connections * percent / 100);
}

static job_t *
create_job(core_t *core, const wire_run_t *run, const wire_item_t *item,
    leaf_queue_t *queue, bool is_local)
{
	job_t *job = g_new0(job_t, 1);

	job->id = effect_next_id(core);
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
			   (is_local ? 0 : HOME_WAY_BACK_US);
	g_strlcpy(job->reply_to, run->reply_to, sizeof(job->reply_to));
	g_strlcpy(job->index, run->index, sizeof(job->index));
	g_strlcpy(job->request, run->request, sizeof(job->request));
	job->attempt_key = get_attempt_key(job->origin, job->attempt);
	g_hash_table_insert(core->jobs, &job->id, job);
	g_hash_table_insert(core->job_by_attempt, &job->attempt_key, job);
	return job;
}

/* By deadline within its rank: hedges and retries of older queries go first. */
static void
queue_job(leaf_queue_t *queue, job_t *job)
{
	job_t *after = TAILQ_LAST(&queue->jobs[job->rank], job_list);

	while (after != NULL && after->deadline_us > job->deadline_us)
		after = TAILQ_PREV(after, job_list, link);
	if (after != NULL)
		TAILQ_INSERT_AFTER(&queue->jobs[job->rank], after, job, link);
	else
		TAILQ_INSERT_HEAD(&queue->jobs[job->rank], job, link);
	queue->queued[job->rank]++;
}

static void
destroy_job(core_t *core, job_t *job)
{
	g_hash_table_remove(core->jobs, &job->id);
	g_hash_table_remove(core->job_by_attempt, &job->attempt_key);
	g_free(job->text);
	g_free(job);
}

/* Gives free slots to waiting jobs, the instance's leaves in turn. */
static void
pump_instance(core_t *core, instance_state_t *instance)
{
	leaf_queue_t *queue;
	bool is_moving = true;

	while (is_moving) {
		is_moving = false;
		TAILQ_FOREACH (queue, &instance->queues, link) {
			is_moving |= pump_queue(core, queue);
		}
	}
}

/* Sends one job if the leaf and the instance have room. One connection of
 * the share is kept for cancellations where the share allows. */
static bool
pump_queue(core_t *core, leaf_queue_t *queue)
{
	instance_state_t *instance = queue->instance;
	int room = instance->connections > 2 ? instance->connections - 1
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
	       instance->in_flight < room) {
		job = queue->order->take(NULL, core, queue);
		if (job == NULL)
			return false;
		TAILQ_REMOVE(&queue->jobs[job->rank], job, link);
		queue->queued[job->rank]--;
		/* A request that cannot make its deadline is not sent. */
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
		if (g_hash_table_size(core->sent_orders) >= SENT_ORDERS_MAX)
			g_hash_table_remove_all(core->sent_orders);
		if (!g_hash_table_add(core->sent_orders,
			g_strdup_printf("%s/%" G_GUINT64_FORMAT
					"/%016" G_GINT64_MODIFIER "x",
			    job->request, job->attempt, job->origin))) {
			effect_report_violation(core, LOG_INVARIANT_ORDER,
			    "home: order %s attempt %" G_GUINT64_FORMAT
			    " was about to be sent again",
			    job->request, job->attempt);
			refuse_job(core, job, false);
			return;
		}
		effect_log(core, LOG_ORDER_SENT,
		    "home: order %s sent to %s leaf %d", job->request,
		    queue->instance->address, queue->leaf_number);
	}
	job->is_sent = true;
	job->sent_us = core->now_us;
	queue->in_flight++;
	queue->running[job->rank]++;
	queue->instance->in_flight++;
	age_served(core, queue);
	queue->served[job->rank] += 1;
	metric_add(METRIC_LEAF_REQUESTS, 1);
	action = effect_add_action(core, ACTION_LEAF_SEND);
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

/* Says "not run" of a job that was never sent. */
static void
refuse_job(core_t *core, job_t *job, bool is_leaving)
{
	if (job->is_sent) {
		effect_report_violation(core, LOG_INVARIANT_NOT_RUN,
		    "home: request %s attempt %" G_GUINT64_FORMAT
		    " was sent before",
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
		fill_wait(core, job->queue, &result.wait);
	if (!job->is_cancelled)
		effect_deliver_result(core, job, &result);
	destroy_job(core, job);
}

static void
fill_wait(const core_t *core, const leaf_queue_t *queue, wire_wait_t *wait)
{
	wait->leaf = queue->leaf;
	for (rank_t rank = 0; rank < RANK_COUNT; rank++)
		wait->wait_us[rank] =
		    (uint32_t)MIN(home_get_wait(core, queue, rank), UINT32_MAX);
	wait->service_us = (uint32_t)MIN(queue->service_us, (double)UINT32_MAX);
}

static void
set_leaving(core_t *core, instance_state_t *instance)
{
	action_t *action;

	if (instance->is_leaving)
		return;
	instance->is_leaving = true;
	effect_log(core, LOG_UPSTREAM_LEAVING,
	    "home: instance at %s drains; it gets no new work",
	    instance->address);
	action = effect_add_action(core, ACTION_SIGN_LEAVING);
	action->instance = instance->key;
}

static uint64_t
get_attempt_key(uint64_t origin, uint64_t attempt)
{
	return hash_pair(origin, attempt);
}

/* Lets the memory of who was served fade, for the shares. */
static void
age_served(core_t *core, leaf_queue_t *queue)
{
	double halves =
	    (double)(core->now_us - queue->served_at_us) / SERVED_HALF_LIFE_US;
	double factor = halves > 30 ? 0 : 1 / (1 + halves);

	if (halves < 0.1)
		return;
	for (int rank = 0; rank < RANK_COUNT; rank++)
		queue->served[rank] *= factor;
	queue->served_at_us = core->now_us;
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
