/**
 * @file config.h
 * Compile-time switches and limits, each with its unit.
 */
#ifndef CONFIG_H
#define CONFIG_H

#define PLANTAINARCH_VERSION "0.1.0"

/* Buffer sizes in bytes, including the terminating NUL. */
#define NAME_BYTES     64
#define ENDPOINT_BYTES 96
#define KEY_BYTES      128
#define REASON_BYTES   256
#define ERROR_BYTES    320

/* Limits on caller requests and connections. */
#define CALLER_BODY_BYTES_MAX	65536
#define CALLER_HEADER_BYTES_MAX 16384
#define CALLER_QUERY_BYTES_MAX	1024
#define CALLER_HIT_LIMIT_MAX	1000
#define CALLER_CONNECTIONS_MAX	2000
#define CALLER_IDLE_TIMEOUT_S	30

/* Limits on upstream replies, peer messages and settings. */
#define LEAF_REPLY_BYTES_MAX   1048576
#define PEER_MESSAGE_BYTES_MAX 4194304
#define REPLICAS_MAX	       4
#define SHARDS_MAX	       8192
#define EXCEPTIONS_MAX	       64
#define RELAYS_MAX	       3

/* Capacity of the ring between the control thread and a traffic thread. */
#define MAILBOX_SLOTS 4096

/*
 * Annotations for the thread sanitizer, which does not recognise Concurrency
 * Kit's barriers: writes before the release are visible after the acquire.
 */
#ifdef __SANITIZE_THREAD__
void __tsan_acquire(void *address);
void __tsan_release(void *address);
#define THREAD_ACQUIRE(address) __tsan_acquire(address)
#define THREAD_RELEASE(address) __tsan_release(address)
#else
#define THREAD_ACQUIRE(address) ((void)(address))
#define THREAD_RELEASE(address) ((void)(address))
#endif

#endif
