/**
 * @file breaks.c
 * Deliberate faults of the program, to show that the soak finds them. Each is
 * a function that the linker puts in another's place (--wrap) in a binary of
 * its own, below build/broken; the program's sources know nothing of it.
 */
#include "tier_private.h"
#include "tier_process.h"

/* The linker's names for a function and for what stands in its place. */
#define REAL(name) __real_##name
#define WRAP(name) __wrap_##name

#ifdef BREAK_REPEAT /* sends again what may run only once */

tier_request_t *REAL(tier_begin)(tier_t *tier, int64_t now_us,
    const tier_request_info_t *info, void *caller);

tier_request_t *
WRAP(tier_begin)(
    tier_t *tier, int64_t now_us, const tier_request_info_t *info, void *caller)
{
	for (guint i = 0; tier->table != NULL && i < tier->table->routes->len;
	     i++)
		((route_t *)g_ptr_array_index(tier->table->routes, i))
		    ->is_idempotent = true;
	return REAL(tier_begin)(tier, now_us, info, caller);
}

#elif defined(BREAK_REFUSE) /* promises that what has run did not run */

void REAL(tier_finish_unserved)(
    tier_request_t *request, int64_t now_us, bool is_late);

void
WRAP(tier_finish_unserved)(
    tier_request_t *request, int64_t now_us, bool is_late)
{
	request->may_have_run = false;
	REAL(tier_finish_unserved)(request, now_us, is_late);
}

#elif defined(BREAK_HOLD) /* never ends what has no route */

void REAL(tier_answer_status)(tier_t *tier, void *caller, int status,
    int64_t retry_after_us, const char *reason);

void
WRAP(tier_answer_status)(tier_t *tier, void *caller, int status,
    int64_t retry_after_us, const char *reason)
{
	if (status != 404)
		REAL(tier_answer_status)
	(tier, caller, status, retry_after_us, reason);
}

#elif defined(BREAK_CUT) /* takes an answer that was cut short for whole */

http_state_t
WRAP(http_message_finish)(http_message_t *message)
{
	return message->has_head ? HTTP_COMPLETE : HTTP_INVALID;
}

#elif defined(BREAK_MERGE) /* loses a record of each part */

void REAL(gather_add)(gather_t *gather, const char *body, size_t length);

void
WRAP(gather_add)(gather_t *gather, const char *body, size_t length)
{
	REAL(gather_add)
	(gather, body, length > RECORD_BYTES ? length - RECORD_BYTES : 0);
}

#elif defined(BREAK_BUDGET) /* sends again without any bound */

bool
WRAP(budget_take)(budget_t *budget, int64_t now_us, double ratio, double slack)
{
	return true;
}

#elif defined(BREAK_DRAIN) /* does not see that leafs drain */

void REAL(tier_set_directory)(
    tier_t *tier, int64_t now_us, const directory_t *directory);

void
WRAP(tier_set_directory)(
    tier_t *tier, int64_t now_us, const directory_t *directory)
{
	for (guint i = 0; i < directory->leaves->len; i++)
		g_array_index(directory->leaves, leaf_entry_t, i).is_draining =
		    false;
	REAL(tier_set_directory)(tier, now_us, directory);
}

#elif defined(BREAK_REVERT) /* takes the routes of before for a version's */

#define REVERTED 3 /* each such version */

void REAL(tier_set_directory)(
    tier_t *tier, int64_t now_us, const directory_t *directory);

void
WRAP(tier_set_directory)(
    tier_t *tier, int64_t now_us, const directory_t *directory)
{
	static route_table_t *before;
	directory_t changed = *directory;

	if (directory->table == NULL) {
		REAL(tier_set_directory)(tier, now_us, directory);
		return;
	}
	if (before != NULL && before->version < directory->table->version &&
	    directory->table->version % REVERTED == 0) {
		before->version = directory->table->version;
		changed.table = before;
	}
	REAL(tier_set_directory)(tier, now_us, &changed);
	before = route_table_acquire(changed.table); /* kept for good */
}

#elif defined(BREAK_STOP) /* ends with requests in work */

int
WRAP(listener_count_in_flight)(const listener_t *listener)
{
	return 0;
}

#elif defined(BREAK_DENY) /* does not find a route at times */

#define DENIED 50 /* each such request */

const route_t *REAL(route_table_match)(
    const route_table_t *table, const char *host, const char *target);

const route_t *
WRAP(route_table_match)(
    const route_table_t *table, const char *host, const char *target)
{
	static int count;

	return ++count % DENIED == 0
		   ? NULL
		   : REAL(route_table_match)(table, host, target);
}

#endif
