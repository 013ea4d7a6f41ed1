/**
 * @file control_members.c
 * Members of the fleet: local view, probes, suspicion and refutation with
 * incarnation numbers (the SWIM protocol).
 */
#include <stdio.h>
#include <string.h>

#include "control_private.h"

#define TICK_US		       100000
#define PROBE_PERIOD_US	       1000000
#define PROBE_TIMEOUT_US       400000
#define SUSPECT_TIMEOUT_US     3000000
#define DEAD_RETENTION_US      600000000
#define PERIODS_PER_DEAD_PROBE 5
#define LISTED_PROBES_MAX      8
#define INDIRECT_PROBES	       3
#define UPDATE_FANOUT	       3
#define JOIN_INTERVAL_US       500000
#define LEAVING_TTL_US	       60000000

static void refute(control_t *control, const member_t *report);
static void log_member(control_t *control, const member_t *member);
static int get_send_count(const control_t *control);

bool
member_is_valid(const member_t *member)
{
	size_t length = strlen(member->address);

	return member->id[0] != '\0' && length > 0 &&
	       strspn(member->address,
		   G_CSET_A_2_Z G_CSET_a_2_z G_CSET_DIGITS ".-") == length &&
	       member->peer_port >= 1 && member->peer_port <= PEER_PORT_MAX &&
	       member->threads >= 1 && member->threads <= VM_THREADS_MAX;
}

member_entry_t *
members_merge(control_t *control, const member_t *member, bool is_from_list)
{
	member_entry_t *entry =
	    g_hash_table_lookup(control->members, member->id);

	if (!member_is_valid(member))
		return NULL;
	if (strcmp(member->id, control->self.id) == 0) {
		refute(control, member);
		return NULL;
	}
	if (entry == NULL) {
		if (member->state == MEMBER_DEAD)
			return NULL;
		entry = g_new0(member_entry_t, 1);
		entry->member = *member;
		g_hash_table_insert(control->members, entry->member.id, entry);
		members_set_state(control, entry, member->state);
		return entry;
	}
	if (is_from_list) {
		/* The list lags behind gossip: it may only mark a member as
		 * leaving. */
		if (member->state == MEMBER_LEAVING &&
		    entry->member.state < MEMBER_LEAVING)
			members_set_state(control, entry, MEMBER_LEAVING);
		return entry;
	}
	if (member->incarnation < entry->member.incarnation ||
	    (member->incarnation == entry->member.incarnation &&
		member->state <= entry->member.state))
		return entry;
	entry->member = *member;
	members_set_state(control, entry, member->state);
	return entry;
}

void
members_set_state(
    control_t *control, member_entry_t *entry, member_state_t state)
{
	entry->member.state = state;
	entry->changed_us = control->now_us;
	entry->sends_remaining = get_send_count(control);
	log_member(control, &entry->member);
	control->callbacks.changed(control->callbacks.context);
}

/* Chooses among the other members whose state is at most maximum_state;
 * MEMBER_DEAD selects dead members only. */
member_entry_t *
members_choose_random(control_t *control, member_state_t maximum_state)
{
	GHashTableIter iterator;
	gpointer value;
	member_entry_t *chosen = NULL;
	int eligible_count = 0;

	g_hash_table_iter_init(&iterator, control->members);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		member_entry_t *entry = value;
		bool is_eligible = maximum_state == MEMBER_DEAD
				       ? entry->member.state == MEMBER_DEAD
				       : entry->member.state <= maximum_state;

		if (!is_eligible ||
		    strcmp(entry->member.id, control->self.id) == 0)
			continue;
		eligible_count++;
		if (gsl_rng_uniform_int(
			control->random, (unsigned long)eligible_count) == 0)
			chosen = entry;
	}
	return chosen;
}

void
members_tick(control_t *control)
{
	GHashTableIter iterator;
	gpointer value;
	bool is_changed = false;

	g_hash_table_iter_init(&iterator, control->members);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		member_entry_t *entry = value;
		int64_t age_us = control->now_us - entry->changed_us;
		bool is_unresponsive = entry->last_heard_us < entry->changed_us;

		if (strcmp(entry->member.id, control->self.id) == 0)
			continue;
		if (entry->member.state == MEMBER_SUSPECT &&
		    age_us > SUSPECT_TIMEOUT_US)
			members_set_state(control, entry, MEMBER_DEAD);
		else if (entry->member.state == MEMBER_LEAVING &&
			 is_unresponsive && age_us > SUSPECT_TIMEOUT_US &&
			 control->now_us - entry->last_heard_us >
			     10 * SUSPECT_TIMEOUT_US)
			members_set_state(control, entry, MEMBER_DEAD);
		else if (entry->member.state == MEMBER_DEAD &&
			 age_us > DEAD_RETENTION_US) {
			if (control->probed_member == entry)
				control->probed_member = NULL;
			g_hash_table_iter_remove(&iterator);
		}
	}
	g_hash_table_iter_init(&iterator, control->leaving);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		int64_t expired_for_us = control->now_us - *(int64_t *)value;

		is_changed |= expired_for_us >= 0 && expired_for_us < TICK_US;
		if (expired_for_us > LEAVING_TTL_US)
			g_hash_table_iter_remove(&iterator);
	}
	if (is_changed)
		control->callbacks.changed(control->callbacks.context);
	/* Sends JOINs until this VM is ready and has found another member. */
	if ((control_is_ready(control) &&
		g_hash_table_size(control->members) > 1) ||
	    control->now_us - control->join_sent_us < JOIN_INTERVAL_US)
		return;
	control->join_sent_us = control->now_us;
	for (int i = 0; control->seeds != NULL && control->seeds[i] != NULL;
	     i++)
		if (control->seeds[i][0] != '\0')
			control_send(
			    control, control->seeds[i], GOSSIP_JOIN, "");

	for (int i = 0; i < UPDATE_FANOUT; i++) {
		member_entry_t *entry =
		    members_choose_random(control, MEMBER_LEAVING);
		char endpoint[ENDPOINT_BYTES];

		if (entry == NULL)
			continue;
		members_format_endpoint(&entry->member, endpoint);
		control_send(control, endpoint, GOSSIP_JOIN, "");
	}
}

/* Pings one member per period; after a timeout sends indirect probes, and
 * suspects the member if nothing has arrived by the end of the period. */
void
members_probe(control_t *control)
{
	char endpoint[ENDPOINT_BYTES];
	member_entry_t *entry = control->probed_member;

	if (entry != NULL && entry->last_heard_us < control->probe_sent_us &&
	    !control->has_indirect_probes &&
	    control->now_us - control->probe_sent_us > PROBE_TIMEOUT_US) {
		control->has_indirect_probes = true;
		members_format_endpoint(&entry->member, endpoint);
		for (int i = 0; i < INDIRECT_PROBES; i++) {
			member_entry_t *helper =
			    members_choose_random(control, MEMBER_ALIVE);
			char helper_endpoint[ENDPOINT_BYTES];

			if (helper == NULL || helper == entry)
				continue;
			members_format_endpoint(
			    &helper->member, helper_endpoint);
			control_send(control, helper_endpoint,
			    GOSSIP_PING_REQUEST, endpoint);
		}
	}
	if (control->now_us < control->next_probe_us)
		return;
	control->next_probe_us = control->now_us + PROBE_PERIOD_US;
	if (entry != NULL && entry->last_heard_us < control->probe_sent_us &&
	    entry->member.state < MEMBER_DEAD)
		members_set_state(
		    control, entry, MAX(entry->member.state, MEMBER_SUSPECT));
	control->probed_member = NULL;
	control->has_indirect_probes = false;
	/* Periodic probes of dead members let partitions heal. */
	if (++control->probe_count % PERIODS_PER_DEAD_PROBE == 0)
		entry = members_choose_random(control, MEMBER_DEAD);
	else
		entry = members_choose_random(control, MEMBER_LEAVING);
	if (entry == NULL)
		return;
	control->probed_member = entry;
	control->probe_sent_us = control->now_us;
	members_format_endpoint(&entry->member, endpoint);
	control_send_ping(control, endpoint, entry);
}

/* Gives members that are dead locally and alive in the list the chance to
 * refute. */
void
members_probe_listed(control_t *control, const member_t *members, int count)
{
	int first = count > 0 ? (int)gsl_rng_uniform_int(
				    control->random, (unsigned long)count)
			      : 0;
	int probes = 0;

	for (int i = 0; i < count && probes < LISTED_PROBES_MAX; i++) {
		const member_t *listed = &members[(first + i) % count];
		const member_entry_t *entry =
		    g_hash_table_lookup(control->members, listed->id);
		char endpoint[ENDPOINT_BYTES];

		if (entry == NULL || entry->member.state != MEMBER_DEAD ||
		    listed->state != MEMBER_ALIVE)
			continue;
		members_format_endpoint(&entry->member, endpoint);
		control_send_ping(control, endpoint, entry);
		probes++;
	}
}

void
members_format_endpoint(const member_t *member, char *endpoint)
{
	snprintf(endpoint, ENDPOINT_BYTES, "tcp://%.60s:%d", member->address,
	    member->peer_port);
}

/* Refutes a wrong report about this VM with a higher incarnation. */
static void
refute(control_t *control, const member_t *report)
{
	member_entry_t *self =
	    g_hash_table_lookup(control->members, control->self.id);

	if (report->incarnation < self->member.incarnation) {
		/* Outdated report: the next message carries the current state.
		 */
		self->sends_remaining = MAX(self->sends_remaining, 1);
		return;
	}
	if (report->state <= self->member.state)
		return;
	self->member.incarnation = report->incarnation + 1;
	control->self.incarnation = self->member.incarnation;
	members_set_state(control, self, self->member.state);
}

static void
log_member(control_t *control, const member_t *member)
{
	static const char *const states[] = { "alive", "suspect", "leaving",
		"dead" };
	char text[3 * NAME_BYTES];

	snprintf(text, sizeof(text),
	    "control: member %s in %s is %s, incarnation %" G_GUINT64_FORMAT,
	    member->id, member->zone, states[member->state],
	    member->incarnation);
	control->callbacks.log(
	    control->callbacks.context, LOG_CONTROL_MEMBER, text);
}

/* Number of messages that carry a change: logarithmic in the member count, so
 * that the change reaches all members with high probability. */
static int
get_send_count(const control_t *control)
{
	guint members = g_hash_table_size(control->members);
	int rounds = 4;

	while (members > 1) {
		members /= 2;
		rounds += 2;
	}
	return rounds;
}
