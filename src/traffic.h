/**
 * @file traffic.h
 * Traffic threads and the messages that they exchange with the control thread.
 */
#ifndef TRAFFIC_H
#define TRAFFIC_H

#include "plantainarch.h"

typedef enum thread_message_type {
	THREAD_MESSAGE_FLEET,  /* to traffic: new fleet snapshot */
	THREAD_MESSAGE_CLAIM,  /* to control: claim request; to traffic: its
				  result */
	THREAD_MESSAGE_RECORD, /* to control: outcome to record; to traffic:
				  confirmation */
	THREAD_MESSAGE_INSTANCE_LEAVING, /* to control: upstream instance drains
					  */
	THREAD_MESSAGE_STATUS, /* to control: thread status; to traffic: VM
				  status; JSON */
	THREAD_MESSAGE_CLOSE_CONNECTIONS, /* to traffic: ask callers to close
					     their connections */
	THREAD_MESSAGE_STOP_ACCEPTING, /* to traffic: stop accepting connections
					*/
	THREAD_MESSAGE_STOP_LOOP,      /* to traffic: leave the event loop */
	THREAD_MESSAGE_IDLE	       /* to control: no request is left after
					  STOP_ACCEPTING */
} thread_message_type_t;

/** Message between threads; the receiver calls thread_message_destroy. */
typedef struct thread_message {
	thread_message_type_t type;
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
} thread_message_t;

thread_message_t *thread_message_create(thread_message_type_t type);
void thread_message_destroy(thread_message_t *thread_message);

typedef struct traffic traffic_t;

traffic_t *traffic_create(const vm_settings_t *settings, int thread,
    mailbox_t *inbox, mailbox_t *outbox, error_info_t *error);
void traffic_destroy(traffic_t *traffic);
gpointer traffic_run(gpointer
	traffic); /* thread function; returns after THREAD_MESSAGE_STOP_LOOP */

#endif
