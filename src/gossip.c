/**
 * @file gossip.c
 * Encodes and decodes the messages between control threads.
 */
#include <string.h>

#include "codec.h"
#include "control_private.h"

#define MEMBER_FIELDS 8
#define VERSIONS_MAX  256
#define MEMBERS_MAX   4096
#define LEAVING_MAX   4096
#define DOCUMENTS_MAX 256

static void write_member(msgpack_packer *packer, const member_t *member);
static bool read_member(codec_reader_t reader, member_t *member);
static void read_keys(codec_reader_t *reader, GArray *keys, uint32_t items_max);
static void read_documents(codec_reader_t *reader, GArray *documents);
static void clear_document(void *context);

void
gossip_begin(gossip_message_t *message, gossip_type_t type)
{
	memset(message, 0, sizeof(*message));
	message->type = type;
	message->confirmed_age_ms = GOSSIP_AGE_UNKNOWN;
	message->versions =
	    g_array_new(FALSE, TRUE, sizeof(document_version_t));
	message->members = g_array_new(FALSE, TRUE, sizeof(member_t));
	message->leaving = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	message->requested = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	message->documents = g_array_new(FALSE, TRUE, sizeof(document_t));
	g_array_set_clear_func(message->documents, clear_document);
}

void
gossip_end(gossip_message_t *message)
{
	g_array_unref(message->versions);
	g_array_unref(message->members);
	g_array_unref(message->leaving);
	g_array_unref(message->requested);
	g_array_unref(message->documents);
}

GByteArray *
gossip_encode(const gossip_message_t *message)
{
	GByteArray *bytes = g_byte_array_new();
	msgpack_packer packer;

	codec_begin_write(&packer, bytes, 10, (int)message->type);
	codec_write_text(&packer, message->sender, strlen(message->sender));
	codec_write_text(&packer, message->reply_to, strlen(message->reply_to));
	codec_write_text(&packer, message->target, strlen(message->target));
	msgpack_pack_uint32(&packer, message->confirmed_age_ms);
	msgpack_pack_array(&packer, message->versions->len * 2);
	for (guint i = 0; i < message->versions->len; i++) {
		const document_version_t *announced =
		    &g_array_index(message->versions, document_version_t, i);

		msgpack_pack_uint64(&packer, announced->name_hash);
		msgpack_pack_uint64(&packer, announced->version);
	}
	msgpack_pack_array(&packer, message->members->len * MEMBER_FIELDS);
	for (guint i = 0; i < message->members->len; i++)
		write_member(
		    &packer, &g_array_index(message->members, member_t, i));
	msgpack_pack_array(&packer, message->leaving->len);
	for (guint i = 0; i < message->leaving->len; i++)
		msgpack_pack_uint64(
		    &packer, g_array_index(message->leaving, uint64_t, i));
	msgpack_pack_array(&packer, message->requested->len);
	for (guint i = 0; i < message->requested->len; i++)
		msgpack_pack_uint64(
		    &packer, g_array_index(message->requested, uint64_t, i));
	msgpack_pack_array(&packer, message->documents->len * 3);
	for (guint i = 0; i < message->documents->len; i++) {
		const document_t *document =
		    &g_array_index(message->documents, document_t, i);

		codec_write_text(
		    &packer, document->name, strlen(document->name));
		msgpack_pack_uint64(&packer, document->version);
		codec_write_text(&packer, document->body, document->length);
	}
	return bytes;
}

bool
gossip_decode(gossip_message_t *message, const void *data, size_t length,
    error_info_t *error)
{
	codec_reader_t reader, list;

	gossip_begin(message, GOSSIP_PING);
	codec_begin_read(&reader, data, length);
	message->type =
	    (gossip_type_t)codec_read_unsigned(&reader, GOSSIP_JOIN);
	codec_read_name(&reader, message->sender, sizeof(message->sender));
	codec_read_name(&reader, message->reply_to, sizeof(message->reply_to));
	codec_read_name(&reader, message->target, sizeof(message->target));
	message->confirmed_age_ms =
	    (uint32_t)codec_read_unsigned(&reader, UINT32_MAX);
	list = codec_read_array(&reader, 2, VERSIONS_MAX);
	while (!list.is_invalid && list.remaining > 0) {
		document_version_t announced = { codec_read_unsigned(
						     &list, UINT64_MAX),
			codec_read_unsigned(&list, UINT64_MAX) };

		g_array_append_val(message->versions, announced);
	}
	reader.is_invalid |= list.is_invalid;
	list = codec_read_array(&reader, MEMBER_FIELDS, MEMBERS_MAX);
	while (!list.is_invalid && list.remaining > 0) {
		member_t member;

		/* One that a peer took from elsewhere hides no other. */
		if (read_member(list, &member))
			g_array_append_val(message->members, member);
		else
			metric_add(METRIC_PEER_REJECTED, 1);
		codec_skip(&list, MEMBER_FIELDS);
	}
	reader.is_invalid |= list.is_invalid;
	read_keys(&reader, message->leaving, LEAVING_MAX);
	read_keys(&reader, message->requested, DOCUMENTS_MAX);
	read_documents(&reader, message->documents);
	if (codec_end_read(&reader) && message->type >= GOSSIP_PING &&
	    message->sender[0] != '\0')
		return true;
	return error_set(error, ERROR_INVALID, "decode control message", "",
	    "%zu bytes do not decode as a message of this version", length);
}

static void
write_member(msgpack_packer *packer, const member_t *member)
{
	codec_write_text(packer, member->id, strlen(member->id));
	codec_write_text(packer, member->zone, strlen(member->zone));
	codec_write_text(packer, member->region, strlen(member->region));
	codec_write_text(packer, member->address, strlen(member->address));
	msgpack_pack_uint32(packer, (uint32_t)member->peer_port);
	msgpack_pack_uint32(packer, (uint32_t)member->threads);
	msgpack_pack_uint64(packer, member->incarnation);
	msgpack_pack_uint8(packer, (uint8_t)member->state);
}

/* Works on a copy of the reader, which therefore stays valid. */
static bool
read_member(codec_reader_t reader, member_t *member)
{
	memset(member, 0, sizeof(*member));
	codec_read_name(&reader, member->id, sizeof(member->id));
	codec_read_name(&reader, member->zone, sizeof(member->zone));
	codec_read_name(&reader, member->region, sizeof(member->region));
	codec_read_name(&reader, member->address, sizeof(member->address));
	member->peer_port = (int)codec_read_unsigned(&reader, PEER_PORT_MAX);
	member->threads = (int)codec_read_unsigned(&reader, VM_THREADS_MAX);
	member->incarnation = codec_read_unsigned(&reader, UINT64_MAX);
	member->state =
	    (member_state_t)codec_read_unsigned(&reader, MEMBER_DEAD);
	return !reader.is_invalid && member_is_valid(member);
}

static void
read_keys(codec_reader_t *reader, GArray *keys, uint32_t items_max)
{
	codec_reader_t list = codec_read_array(reader, 1, items_max);

	while (!list.is_invalid && list.remaining > 0) {
		uint64_t key = codec_read_unsigned(&list, UINT64_MAX);

		g_array_append_val(keys, key);
	}
	reader->is_invalid |= list.is_invalid;
}

static void
read_documents(codec_reader_t *reader, GArray *documents)
{
	codec_reader_t list = codec_read_array(reader, 3, DOCUMENTS_MAX);

	while (!list.is_invalid && list.remaining > 0) {
		document_t document = { 0 };
		const char *body;

		codec_read_name(&list, document.name, sizeof(document.name));
		document.version = codec_read_unsigned(&list, UINT64_MAX);
		body = codec_read_bytes(&list, &document.length);
		document.body = g_strndup(body, document.length);
		g_array_append_val(documents, document);
	}
	reader->is_invalid |= list.is_invalid;
}

static void
clear_document(void *context)
{
	document_t *document = context;

	g_free(document->body);
}
