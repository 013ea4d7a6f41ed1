/**
 * @file case.c
 * A leaf sends a second copy of an answer, late, where the next answer is
 * expected. The ids of the two requests differ behind their 127th character.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

#define LEAVES	    5
#define GARBLING    3	 /* of the leaves: share = 0.6 */
#define CALLERS	    6	 /* at the same time */
#define TROUBLE_MS  5000 /* for_s of the disruption */
#define COPY_EACH   34	 /* of its answers: x = 0.029 */
#define PATIENCE_MS 3000

/* Customer, route, device, trace and the number of the attempt. */
#define ID_FORMAT                                                       \
	"van-damme-broodronde.invoice-fetch.antwerpen-a.handheld-0017." \
	"2026-12-07t05:12:44.318z.00-4bf92f3577b34da6a3ce929d0e0e4736-" \
	"00f067aa0ba902b7-01.customer-%05d"

typedef struct copy {
	char id[256];
	bool is_due;
} copy_t;

/* The copy that the next request on a connection finds; a thread serves one. */
static __thread copy_t copy;
static int garbling;
static int answers, sent_copies, sent, foreign;
static int64_t trouble_until_ms;

static bool
serve(rig_leaf_t *leaf, rig_stream_t *stream, const rig_message_t *request)
{
	char headers[1024], body[512];

	if (!rig_leaf_is_expected(leaf, stream->fd, request))
		return true;
	if (copy.is_due) {
		copy.is_due = false;
		__atomic_add_fetch(&sent_copies, 1, __ATOMIC_SEQ_CST);
		rig_record(
		    "leaf %s: late second answer to %s", leaf->id, copy.id);
		snprintf(headers, sizeof(headers),
		    "Plantainarch-Request-Id: %s\r\n"
		    "Plantainarch-Server-Stamp: %s.%s\r\n",
		    copy.id, leaf->id, copy.id);
		snprintf(body, sizeof(body), "answer to %s", copy.id);
		if (!rig_answer(stream->fd, 200, headers, body, strlen(body)))
			return false;
	}
	rig_get_header(
	    request, "Plantainarch-Request-Id", copy.id, sizeof(copy.id));
	rig_sleep_ms(5);
	copy.is_due =
	    rig_has_trouble() && leaf->context != NULL &&
	    rig_now_ms() < trouble_until_ms &&
	    __atomic_add_fetch(&answers, 1, __ATOMIC_SEQ_CST) % COPY_EACH == 0;
	return rig_leaf_run(leaf, stream->fd, request);
}

/* One customer's lookup after the other, each over a connection of its own. */
static void *
run_caller(void *context)
{
	const rig_tier_t *vm = context;

	while (rig_now_ms() < trouble_until_ms + 1000) {
		rig_stream_t stream;
		rig_message_t answer = { 0 };
		char id[256], expected[512];

		snprintf(id, sizeof(id), ID_FORMAT,
		    __atomic_add_fetch(&sent, 1, __ATOMIC_SEQ_CST));
		snprintf(expected, sizeof(expected), "answer to %s", id);
		rig_stream_begin(&stream, rig_connect(vm->callers));
		if (rig_call(stream.fd, "GET", "/invoices/1", id, PATIENCE_MS,
			NULL, 0) &&
		    rig_read(&stream, &answer, true, PATIENCE_MS + 1000)) {
			bool is_foreign = answer.status == 200 &&
					  strcmp(answer.body, expected) != 0;

			rig_record("caller: %s: %d%s%s", id, answer.status,
			    is_foreign ? ", foreign: " : "",
			    is_foreign ? answer.body : "");
			if (is_foreign)
				__atomic_add_fetch(
				    &foreign, 1, __ATOMIC_SEQ_CST);
			rig_message_end(&answer);
		} else
			rig_record("caller: %s: no answer", id);
		rig_stream_end(&stream);
	}
	return NULL;
}

int
main(int argc, char **argv)
{
	static const char *const ids[LEAVES] = { "i-1", "i-2", "i-3", "i-4",
		"i-5" };
	rig_leaf_t leaves[LEAVES] = { 0 };
	rig_tier_t vm = { 0 };
	pthread_t threads[CALLERS];

	rig_begin(argc, argv);
	rig_store_start();
	rig_store_put_configuration(1, 3000, 262144);
	for (int i = 0; i < LEAVES; i++) {
		leaves[i].id = ids[i];
		leaves[i].serve = serve;
		leaves[i].context = i < GARBLING ? &garbling : NULL;
		rig_leaf_start(&leaves[i]);
		rig_leaf_put_entry(&leaves[i], "ready");
	}
	rig_tier_start(&vm, 1, "antwerpen-a");
	if (!rig_tier_wait_ready(&vm, 20000))
		rig_end(RIG_CANNOT_RUN, "the VM does not get ready");
	rig_sleep_ms(rig_bounds.stable_ms);
	trouble_until_ms = rig_now_ms() + TROUBLE_MS;
	for (int i = 0; i < CALLERS; i++)
		pthread_create(&threads[i], NULL, run_caller, &vm);
	for (int i = 0; i < CALLERS; i++)
		pthread_join(threads[i], NULL);
	rig_end(foreign > 0 ? RIG_BROKEN : RIG_HELD,
	    "%d of %d callers got the answer to another request; %d late "
	    "copies were sent",
	    foreign, sent, sent_copies);
}
