/**
 * @file rig.h
 * Stand-ins for the scripts of the second review: the platform's store, leafs,
 * callers and the processes of the tier, all on loopback. Needs libc alone.
 */
#ifndef RIG_H
#define RIG_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RIG_HELD       0
#define RIG_BROKEN     1
#define RIG_CANNOT_RUN 2

/** One HTTP message, as it was read. */
typedef struct rig_message {
	char *head; /* start line and headers, NUL-terminated */
	char *body; /* NUL-terminated */
	size_t body_length;
	int status;	 /* of an answer */
	char method[16]; /* of a request */
	char target[2048];
	bool is_closing; /* Connection: close */
} rig_message_t;

/** A connection with the bytes that were read ahead. */
typedef struct rig_stream {
	int fd;
	char *bytes;
	size_t length, size;
} rig_stream_t;

typedef struct rig_leaf rig_leaf_t;

/** Bounds of a deployment, as its page gives them. */
typedef struct rig_bounds {
	int drain_ms, apply_ms, stable_ms, grace_s, retry_slack;
} rig_bounds_t;

extern rig_bounds_t
    rig_bounds; /* of vdb-zoek-grown, unless a case sets others */

/** Answers one request; false: the connection is closed. */
typedef bool (*rig_serve_t)(
    rig_leaf_t *leaf, rig_stream_t *stream, const rig_message_t *request);

struct rig_leaf {
	const char *id;
	int port;
	long long born;
	rig_serve_t serve;
	void *context;
};

/** Reads argv: the file of the record, the program; TROUBLE=0 in the
 * environment. */
void rig_begin(int argc, char **argv);
bool rig_has_trouble(void);
void rig_record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/** Ends what was started, and the process. */
void rig_end(int code, const char *format, ...)
    __attribute__((format(printf, 2, 3), noreturn));
int64_t rig_now_ms(void); /* since rig_begin */
void rig_sleep_ms(int64_t ms);

/* ---- Messages ---- */

int rig_connect(int port); /* -1: refused */
void rig_stream_begin(rig_stream_t *stream, int fd);
void rig_stream_end(rig_stream_t *stream);
/** False: the connection ended, or the time is over. */
bool rig_read(rig_stream_t *stream, rig_message_t *message, bool is_answer,
    int timeout_ms);
void rig_message_end(rig_message_t *message);
/** Copies a header's value; false: absent. */
bool rig_get_header(
    const rig_message_t *message, const char *name, char *value, size_t size);
bool rig_write(int fd, const char *bytes, size_t length);
/** Writes an answer; `headers` has whole lines. */
bool rig_answer(
    int fd, int status, const char *headers, const char *body, size_t length);
/** Writes a request of a caller. */
bool rig_call(int fd, const char *method, const char *path, const char *id,
    int patience_ms, const char *body, size_t length);

/* ---- The platform ---- */

void rig_store_start(void);
/** The connection of the next watch of this kind that is answered falls silent
 * behind that answer. Others and new ones work. */
void rig_store_silence(const char *kind);
int64_t rig_store_get_silence_ms(void); /* when it began; -1: not yet */
/** Replaces or creates an object; NULL removes it. Returns the revision. */
long long rig_store_put(const char *kind, const char *name, const char *spec);
/** Routes: /orders/ may not be repeated, /invoices/ may; one service. */
long long rig_store_put_configuration(
    int version, int timeout_ms, int max_body_bytes);
void rig_leaf_start(rig_leaf_t *leaf); /* opens its port */
/** Answers 421 unless the request expects this leaf; true: it may run. */
bool rig_leaf_is_expected(
    const rig_leaf_t *leaf, int fd, const rig_message_t *request);
/** Records the run and answers with success. */
bool rig_leaf_run(const rig_leaf_t *leaf, int fd, const rig_message_t *request);
/** A sound leaf: both of the above, after some work. */
bool rig_leaf_serve(
    rig_leaf_t *leaf, rig_stream_t *stream, const rig_message_t *request);
/** The leaf's own entry, as the pages have it. */
long long rig_leaf_put_entry(const rig_leaf_t *leaf, const char *state);

/* ---- The tier ---- */

typedef struct rig_tier {
	int number;
	int pid;
	int callers, ready, metrics, peers; /* ports */
} rig_tier_t;

/** Ports are chosen once; a second start uses the same. */
void rig_tier_start(rig_tier_t *tier, int number, const char *zone);
bool rig_tier_wait_ready(const rig_tier_t *tier, int timeout_ms);
bool rig_tier_is_alive(const rig_tier_t *tier);
void rig_tier_signal(rig_tier_t *tier, int number);

#endif
