/**
 * @file case.c
 * A leaf fails an order with its own 503 after it has run it. Its answer has no
 * header that says "not executed". The caller must not be told 503.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

#define VMS	    4 /* each learns by itself that a leaf fails */
#define LEAVES	    6
#define CALLERS	    8 /* at the same time, so that all leaves are used */
#define ORDERS	    300
#define FAIL_EACH   2 /* the grey leaf fails every second request */
#define PATIENCE_MS 3000

static volatile int runs[ORDERS]; /* by order */
static int grey_count, broken;
static rig_tier_t vms[VMS];

static int
get_order(const rig_message_t *request)
{
	int order = atoi(request->body + strlen("order "));

	return order >= 0 && order < ORDERS ? order : 0;
}

static bool
serve(rig_leaf_t *leaf, rig_stream_t *stream, const rig_message_t *request)
{
	bool is_grey = leaf->context != NULL && rig_has_trouble();
	char id[256] = "", headers[512];

	if (!rig_leaf_is_expected(leaf, stream->fd, request))
		return true;
	__atomic_add_fetch(&runs[get_order(request)], 1, __ATOMIC_SEQ_CST);
	rig_sleep_ms(5);
	if (!is_grey ||
	    __atomic_fetch_add(&grey_count, 1, __ATOMIC_SEQ_CST) % FAIL_EACH !=
		0)
		return rig_leaf_run(leaf, stream->fd, request);
	rig_get_header(request, "Plantainarch-Request-Id", id, sizeof(id));
	rig_record("leaf %s: ran %s and failed: 503", leaf->id, id);
	snprintf(headers, sizeof(headers),
	    "Plantainarch-Request-Id: %s\r\n"
	    "Plantainarch-Server-Stamp: %s.%s\r\n",
	    id, leaf->id, id);
	return rig_answer(stream->fd, 503, headers, "failed", 6);
}

/* One attempt of a caller; the status, 0: no answer. */
static int
attempt(const rig_tier_t *vm, int order, int try)
{
	rig_stream_t stream;
	rig_message_t answer = { 0 };
	char id[64], body[64];
	int status = 0, runs_before = runs[order];

	snprintf(id, sizeof(id), "%08x%08x", order, try);
	snprintf(body, sizeof(body), "order %d", order);
	rig_stream_begin(&stream, rig_connect(vm->callers));
	if (rig_call(stream.fd, "POST", "/orders/1", id, PATIENCE_MS, body,
		strlen(body)) &&
	    rig_read(&stream, &answer, true, PATIENCE_MS + 1000)) {
		status = answer.status;
		rig_message_end(&answer);
	}
	rig_stream_end(&stream);
	rig_record("caller: order %d, request %s: answered %d, ran %s", order,
	    id, status, runs[order] > runs_before ? "yes" : "no");
	return status == 503 && runs[order] > runs_before ? -status : status;
}

/* As the pages have it: repeated once after a promise, never else. */
static void *
run_caller(void *context)
{
	for (int order = (int)(intptr_t)context; order < ORDERS;
	     order += CALLERS) {
		int status = attempt(&vms[order % VMS], order, 1);

		if (status < 0)
			__atomic_add_fetch(&broken, 1, __ATOMIC_SEQ_CST);
		if ((status == 503 || status == -503) &&
		    attempt(&vms[(order + 1) % VMS], order, 2) < 0)
			__atomic_add_fetch(&broken, 1, __ATOMIC_SEQ_CST);
	}
	return NULL;
}

int
main(int argc, char **argv)
{
	static const char *const ids[LEAVES] = { "i-1", "i-2", "i-3", "i-4",
		"i-5", "i-6" };
	rig_leaf_t leaves[LEAVES] = { 0 };
	pthread_t threads[CALLERS];
	int twice = 0;

	rig_begin(argc, argv);
	rig_store_start();
	rig_store_put_configuration(1, 3000, 262144);
	for (int i = 0; i < LEAVES; i++) {
		leaves[i].id = ids[i];
		leaves[i].serve = serve;
		leaves[i].context = i == 0 ? &grey_count : NULL;
		rig_leaf_start(&leaves[i]);
		rig_leaf_put_entry(&leaves[i], "ready");
	}
	for (int i = 0; i < VMS; i++) {
		rig_tier_start(&vms[i], i + 1, "antwerpen-a");
		if (!rig_tier_wait_ready(&vms[i], 20000))
			rig_end(RIG_CANNOT_RUN, "the VM does not get ready");
	}
	rig_sleep_ms(rig_bounds.stable_ms);
	for (int i = 0; i < CALLERS; i++)
		pthread_create(
		    &threads[i], NULL, run_caller, (void *)(intptr_t)i);
	for (int i = 0; i < CALLERS; i++)
		pthread_join(threads[i], NULL);
	for (int order = 0; order < ORDERS; order++)
		twice += runs[order] > 1;
	rig_end(broken > 0 ? RIG_BROKEN : RIG_HELD,
	    "%d of %d orders were answered 503 though they had run; %d orders "
	    "ran twice",
	    broken, ORDERS, twice);
}
