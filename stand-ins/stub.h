/**
 * @file stub.h
 * A small HTTP server for the stand-ins: many ports in one loop, and answers
 * that are due at a given time.
 */
#ifndef STUB_H
#define STUB_H

#include "plantainarch.h"

typedef struct stub stub_t;

/** One request that waits for its answer. */
typedef struct exchange {
	stub_t *stub;
	void *connection; /* libmicrohttpd's */
	char *method, *path;
	GString *body;
	bool is_new_connection;
	bool is_answered;
	int64_t due_us;
	int status;
	char *answer;
	size_t answer_length;
	uint64_t version;
	bool is_leaving;
	bool is_closing;
	void *work; /* the stand-in's own */
	GSequenceIter *position;
} exchange_t;

typedef void (*stub_fn_t)(void *context, exchange_t *exchange);

stub_t *stub_create(loop_t *loop, const char *address, int port,
    stub_fn_t handle, stub_fn_t gone, void *context);
void stub_answer(exchange_t *exchange, int64_t due_us, int status,
    const char *body, size_t length);
const char *stub_get_argument(
    exchange_t *exchange, const char *name); /* of the query string, or NULL */
int stub_count_connections(const stub_t *stub);
int stub_get_most_connections(const stub_t *stub);

#endif
