/**
 * @file control_private.h
 * Types and messages shared by the control modules: control.c, its parts for
 * members and documents, and gossip.c.
 */
#ifndef CONTROL_PRIVATE_H
#define CONTROL_PRIVATE_H

#include "plantainarch.h"

#define GOSSIP_AGE_UNKNOWN UINT32_MAX

typedef enum gossip_type {
	GOSSIP_PING = 1, /* wants an ACK to its reply_to */
	GOSSIP_ACK,
	GOSSIP_PING_REQUEST, /* asks the receiver to ping the target for the
			      * sender
			      */
	GOSSIP_UPDATE,	     /* wants no answer */
	GOSSIP_PULL,	     /* wants the documents named, as a PUSH */
	GOSSIP_PUSH,	     /* carries documents */
	GOSSIP_JOIN	     /* wants all members, as NEWS */
} gossip_type_t;

/** What a document's holder says of it without its body. */
typedef struct document_version {
	uint64_t name_hash;
	uint64_t version;
} document_version_t;

typedef struct gossip_message {
	gossip_type_t type;
	char sender[NAME_BYTES];
	char reply_to[ENDPOINT_BYTES];
	char target[ENDPOINT_BYTES]; /* GOSSIP_PING_REQUEST: endpoint */
	uint32_t confirmed_age_ms; /* since the sender's settings were known to
				      be current */
	GArray *versions;	   /* document_version_t */
	GArray *members;	   /* member_t */
	GArray *leaving;	   /* uint64_t: upstream instances that drain */
	GArray *requested;	   /* uint64_t: names of documents, hashed */
	GArray *documents;	   /* document_t; bodies owned when decoded */
} gossip_message_t;

void gossip_begin(gossip_message_t *message, gossip_type_t type);
void gossip_end(gossip_message_t *message);
GByteArray *gossip_encode(const gossip_message_t *message);
bool gossip_decode(gossip_message_t *message, const void *data, size_t length,
    error_info_t *error); /* always to be ended */

/** What is believed of one member. */
typedef struct entry {
	member_t member;
	int64_t changed_us, last_heard_us;
	int sends_remaining; /* how often the change is still passed on */
} member_entry_t;

/** A document: the newest version seen, and the body in force. */
typedef struct stored {
	document_t document;	    /* in force; version 0: none */
	uint64_t rejected_version;  /* newest version that does not parse */
	uint64_t requested_version; /* version asked for */
	int64_t requested_us;
	uint64_t name_hash;
} stored_document_t;

struct control {
	control_callbacks_t callbacks;
	gsl_rng *random;
	member_t self;
	GHashTable *members;   /* id -> member_entry_t */
	GHashTable *documents; /* hash of name -> stored_document_t */
	GHashTable *leaving;   /* instance key -> time it expires, int64_t */
	member_entry_t *probed_member;
	int64_t probe_sent_us, next_probe_us, next_tick_us;
	bool has_indirect_probes;
	int probe_count;
	int update_rounds;
	int64_t join_sent_us;
	int64_t next_list_us;
	bool is_list_pending;
	bool is_watching, is_watch_pending;
	int64_t next_watch_us, watch_backoff_us;
	uint64_t revision;
	int64_t confirmed_us;	   /* INT64_MIN: never */
	int64_t settings_since_us; /* since when it has settings; 0: none */
	bool is_ready;
	char **seeds;
	uint64_t generation;
	int64_t now_us;
};

/* ---- control.c: messages to others ----------------------------------------
 */

void control_send(control_t *control, const char *endpoint, gossip_type_t type,
    const char *target); /* versions and changes ride along */
void control_send_ping(control_t *control, const char *endpoint,
    const member_entry_t *entry); /* tells the entry what is believed of it */
void control_send_message(control_t *control, const char *endpoint,
    gossip_message_t *message); /* ends the message */

/* ---- control_members.c: who is there ---------------------------------------
 */

member_entry_t *members_merge(control_t *control, const member_t *member,
    bool is_from_list); /* NULL: this VM, or not worth keeping */
void members_set_state(control_t *control, member_entry_t *entry,
    member_state_t state); /* and spreads it */
member_entry_t *members_choose_random(control_t *control,
    member_state_t maximum_state);	/* a random other one; NULL: none */
void members_tick(control_t *control);	/* suspicion and memory run out */
void members_probe(control_t *control); /* one member a period */
void members_probe_listed(control_t *control, const member_t *members,
    int count); /* those held dead */
void members_format_endpoint(
    const member_t *member, char *endpoint); /* ENDPOINT_BYTES */

/* ---- control_documents.c: what all agree on
 * ---------------------------------- */

void documents_compare_versions(control_t *control,
    const gossip_message_t *message); /* pulls what is newer */
void documents_answer_pull(control_t *control, const gossip_message_t *message);
stored_document_t *documents_get(
    control_t *control, uint64_t name); /* by hash of its name; made if new */
void documents_tick_watch(
    control_t *control); /* begins or ends watching the platform */
void documents_tick_ready(control_t *control);
void documents_free(void *stored);

#endif
