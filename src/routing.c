/**
 * @file routing.c
 * Routing policies: which replica of a shard gets a request.
 */
#include "core_private.h"

/* Random spread of the costs; keeps coordinators from all choosing the same
 * replica. */
#define COST_JITTER 0.1

static bool is_leaving(const core_t *core, const leaf_t *leaf);

/* Returns the replica with the shortest expected latency. The cost of an
 * ejected one is raised by the whole deadline. */
static int
choose_by_latency(void *context, core_t *core, const query_t *query,
    const replica_set_t *replicas, uint32_t excluded)
{
	int best = -1;
	double best_cost = 0;

	for (int i = 0; i < replicas->count; i++) {
		const leaf_t *leaf = replicas->replicas[i];
		leaf_state_t *state;
		double cost;

		if ((excluded & (1U << i)) != 0 || is_leaving(core, leaf))
			continue;
		state = estimate_get_leaf_state(core, leaf, query->index_state);
		cost =
		    (double)(estimate_get_wait(core, state, query->index_state,
				 query->rank, leaf->slots) +
			     estimate_get_service(state, query->index_state));
		cost *= 1 + COST_JITTER * core_draw_random(core);
		if (state->is_ejected)
			cost +=
			    (double)(query->deadline_us - query->started_us);
		if (best < 0 || cost < best_cost) {
			best = i;
			best_cost = cost;
		}
	}
	return best;
}

static int
choose_at_random(void *context, core_t *core, const query_t *query,
    const replica_set_t *replicas, uint32_t excluded)
{
	int allowed[REPLICAS_MAX];
	int count = 0;

	for (int i = 0; i < replicas->count; i++)
		if ((excluded & (1U << i)) == 0 &&
		    !is_leaving(core, replicas->replicas[i]))
			allowed[count++] = i;
	if (count == 0)
		return -1;
	return allowed[(int)(core_draw_random(core) * count)];
}

/* True if the newest snapshot or a leaf reply to this thread reported that the
 * instance drains. */
static bool
is_leaving(const core_t *core, const leaf_t *leaf)
{
	const leaf_t *current = fleet_find_leaf(core->fleet, leaf->key);
	const instance_state_t *state =
	    g_hash_table_lookup(core->instances, &leaf->instance->key);

	return (current != NULL && current->instance->is_leaving) ||
	       (state != NULL && state->is_leaving);
}

static const routing_callbacks_t latency_callbacks = { choose_by_latency };
static const plugin_t latency_plugin = { PLUGIN_ROUTING, "latency",
	&latency_callbacks };
PLUGIN_REGISTER(latency_plugin)

static const routing_callbacks_t random_callbacks = { choose_at_random };
static const plugin_t random_plugin = { PLUGIN_ROUTING, "random",
	&random_callbacks };
PLUGIN_REGISTER(random_plugin)
