/**
 * @file traffic.h
 * One traffic thread and the messages between it and the control thread.
 */
#ifndef TRAFFIC_H
#define TRAFFIC_H

#include "plantainarch.h"

typedef enum note_type {
	NOTE_FLEET,   /* to traffic: a new snapshot */
	NOTE_CLAIM,   /* both ways: wanted, or its result */
	NOTE_RECORD,  /* both ways: an outcome to record, or recorded */
	NOTE_SIGN,    /* to control: an upstream instance drains */
	NOTE_STATUS,  /* both ways: status as JSON */
	NOTE_CLOSING, /* to traffic: ask callers to close connections */
	NOTE_QUIESCE, /* to traffic: accept no more connections */
	NOTE_END,     /* to traffic: leave the loop */
	NOTE_IDLE /* to control: nothing is in progress after NOTE_QUIESCE */
} note_type_t;

/** A message between threads; the receiver frees it with note_destroy. */
typedef struct note {
	note_type_t type;
	fleet_t *fleet;
	uint64_t request, instance;
	char key[KEY_BYTES];
	int64_t issued_us, retention_us, timeout_us;
	int try_number;
	uint64_t body_hash;
	bool has_run, is_ready;
	claim_status_t claim;
	char *body;
	size_t length;
} note_t;

note_t *note_create(note_type_t type);
void note_destroy(note_t *note);

typedef struct traffic traffic_t;

traffic_t *traffic_create(const vm_settings_t *settings, int thread,
    mailbox_t *inbox, mailbox_t *outbox, error_info_t *error);
void traffic_destroy(traffic_t *traffic);
gpointer traffic_run(gpointer traffic); /* until NOTE_END; a thread function */

#endif
