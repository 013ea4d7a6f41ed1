/**
 * @file control_private.h
 * Types and functions shared by control.c, control_members.c,
 * control_documents.c and gossip.c.
 */
#ifndef CONTROL_PRIVATE_H
#define CONTROL_PRIVATE_H

#include "plantainarch.h"

#define GOSSIP_AGE_UNKNOWN UINT32_MAX

typedef enum gossip_type {
	GOSSIP_PING = 1, /* answered with an ACK to reply_to */
	GOSSIP_ACK,
	GOSSIP_PING_REQUEST, /* indirect probe: the receiver pings the target,
				which acknowledges to the original sender */
	GOSSIP_UPDATE,	     /* member and version changes; not answered */
	GOSSIP_PULL,	     /* requests documents; answered with a PUSH */
	GOSSIP_PUSH,	     /* carries documents */
	GOSSIP_JOIN	     /* requests all members; answered with an UPDATE */
} gossip_type_t;

/** Announces a stored document without its body. */
typedef struct document_version {
	uint64_t name_hash;
	uint64_t version;
} document_version_t;

typedef struct gossip_message {
	gossip_type_t type;
	char sender[NAME_BYTES];
	char reply_to[ENDPOINT_BYTES];
	char target[ENDPOINT_BYTES]; /* GOSSIP_PING_REQUEST: endpoint */
	uint32_t confirmed_age_ms;   /* age of the last platform confirmation of
					the sender's settings */
	GArray *versions;	     /* document_version_t */
	GArray *members;	     /* member_t */
	GArray *leaving;   /* uint64_t: keys of draining upstream instances */
	GArray *requested; /* uint64_t: hashes of document names */
	GArray *documents; /* document_t; bodies owned when decoded */
} gossip_message_t;

void gossip_begin(gossip_message_t *message, gossip_type_t type);
void gossip_end(gossip_message_t *message);
GByteArray *gossip_encode(const gossip_message_t *message);
bool gossip_decode(gossip_message_t *message, const void *data, size_t length,
    error_info_t *error); /* call gossip_end also after a failure */

/** The local view of one member. */
typedef struct member_entry {
	member_t member;
	int64_t changed_us, last_heard_us;
	int sends_remaining; /* messages that still carry the change */
} member_entry_t;

/** A document in force, with the newest versions rejected and requested. */
typedef struct stored_document {
	document_t document;	    /* version 0: none */
	uint64_t rejected_version;  /* newest version that failed to parse */
	uint64_t requested_version; /* last version pulled from a peer */
	int64_t requested_us;
	uint64_t name_hash;
} stored_document_t;

struct control {
	control_callbacks_t callbacks;
	gsl_rng *random;
	member_t self;
	GHashTable *members;   /* id -> member_entry_t */
	GHashTable *documents; /* hash of name -> stored_document_t */
	GHashTable *leaving;   /* instance key -> expiry time, int64_t */
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
	int64_t confirmed_us; /* last platform confirmation; INT64_MIN: never */
	int64_t
	    settings_since_us; /* when the first settings arrived; 0: none */
	bool is_ready;
	char **seeds;
	uint64_t generation;
	int64_t now_us;
};

/* ---- control.c: sending messages ----------------------------------------
 */

void control_send(control_t *control, const char *endpoint, gossip_type_t type,
    const char *target); /* with document versions and member changes */
void control_send_ping(control_t *control, const char *endpoint,
    const member_entry_t
	*entry); /* includes the member's state unless it is alive */
void control_send_message(control_t *control, const char *endpoint,
    gossip_message_t *message); /* calls gossip_end */

/* ---- control_members.c: membership ---------------------------------------
 */

member_entry_t *members_merge(control_t *control, const member_t *member,
    bool is_from_list); /* NULL: this VM, invalid or unknown and dead */
void members_set_state(control_t *control, member_entry_t *entry,
    member_state_t state); /* queues the change for gossip */
member_entry_t *members_choose_random(control_t *control,
    member_state_t maximum_state);	/* not this VM; NULL: none */
void members_tick(control_t *control);	/* expires suspicions, dead members and
					   drain reports; sends JOINs */
void members_probe(control_t *control); /* probes one member per period */
void members_probe_listed(control_t *control, const member_t *members,
    int count); /* pings members that are dead locally but alive in the
		   platform's list */
void members_format_endpoint(
    const member_t *member, char *endpoint); /* buffer of ENDPOINT_BYTES */

/* ---- control_documents.c: fleet-wide documents
 * ---------------------------------- */

void documents_compare_versions(control_t *control,
    const gossip_message_t *message); /* pulls newer versions from the sender */
void documents_answer_pull(control_t *control, const gossip_message_t *message);
stored_document_t *documents_get(
    control_t *control, uint64_t name_hash); /* creates it if absent */
void documents_tick_watch(
    control_t *control); /* starts or stops watching the platform */
void documents_tick_ready(control_t *control);
void documents_free(void *stored);

#endif
