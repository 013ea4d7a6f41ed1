/**
 * @file wire.c
 * Messages between traffic threads, encoded with msgpack.
 *
 * Each message is an array whose first element is its wire_type_t. Decoded
 * strings point into the received bytes, which must outlive the message.
 */
#include <string.h>

#include "codec.h"

static void
pack_wait(msgpack_packer *packer, const wire_wait_t *wait)
{
	msgpack_pack_uint64(packer, wait->leaf);
	for (int i = 0; i < RANK_COUNT; i++)
		msgpack_pack_uint32(packer, wait->wait_us[i]);
	msgpack_pack_uint32(packer, wait->service_us);
}

GByteArray *
wire_encode_run(const wire_run_t *run)
{
	GByteArray *bytes = g_byte_array_new();
	msgpack_packer packer;

	codec_begin_write(&packer, bytes, 12, WIRE_RUN);
	msgpack_pack_uint64(&packer, run->origin);
	codec_write_text(&packer, run->reply_to, strlen(run->reply_to));
	codec_write_text(&packer, run->index, strlen(run->index));
	msgpack_pack_uint32(&packer, run->version);
	msgpack_pack_uint8(&packer, (uint8_t)run->rank);
	msgpack_pack_uint8(&packer, run->is_order);
	msgpack_pack_int64(&packer, run->remaining_us);
	msgpack_pack_uint32(&packer, run->limit);
	codec_write_text(&packer, run->text, run->text_length);
	codec_write_text(&packer, run->request, strlen(run->request));
	msgpack_pack_array(&packer, (size_t)run->item_count * 3);
	for (int i = 0; i < run->item_count; i++) {
		msgpack_pack_uint64(&packer, run->items[i].attempt);
		msgpack_pack_uint64(&packer, run->items[i].leaf);
		msgpack_pack_uint32(&packer, run->items[i].shard);
	}
	return bytes;
}

GByteArray *
wire_encode_cancel(uint64_t origin, const uint64_t *attempts, int count)
{
	GByteArray *bytes = g_byte_array_new();
	msgpack_packer packer;

	codec_begin_write(&packer, bytes, 3, WIRE_CANCEL);
	msgpack_pack_uint64(&packer, origin);
	msgpack_pack_array(&packer, (size_t)count);
	for (int i = 0; i < count; i++)
		msgpack_pack_uint64(&packer, attempts[i]);
	return bytes;
}

GByteArray *
wire_encode_result(const wire_result_t *result)
{
	GByteArray *bytes = g_byte_array_new();
	msgpack_packer packer;

	codec_begin_write(&packer, bytes, 12, WIRE_RESULT);
	msgpack_pack_uint64(&packer, result->attempt);
	msgpack_pack_uint8(&packer, (uint8_t)result->status);
	msgpack_pack_int64(&packer, result->service_us);
	msgpack_pack_int64(&packer, result->queue_us);
	msgpack_pack_uint8(&packer, result->is_leaving);
	pack_wait(&packer, &result->wait);
	codec_write_text(&packer, result->body, result->body_length);
	return bytes;
}

GByteArray *
wire_encode_accept(uint64_t origin, const wire_wait_t *waits, int count)
{
	GByteArray *bytes = g_byte_array_new();
	msgpack_packer packer;

	codec_begin_write(&packer, bytes, 3, WIRE_ACCEPT);
	msgpack_pack_uint64(&packer, origin);
	msgpack_pack_array(&packer, (size_t)count * (RANK_COUNT + 2));
	for (int i = 0; i < count; i++)
		pack_wait(&packer, &waits[i]);
	return bytes;
}

static void
read_wait(codec_reader_t *reader, wire_wait_t *wait)
{
	wait->leaf = codec_read_unsigned(reader, UINT64_MAX);
	for (int i = 0; i < RANK_COUNT; i++)
		wait->wait_us[i] =
		    (uint32_t)codec_read_unsigned(reader, UINT32_MAX);
	wait->service_us = (uint32_t)codec_read_unsigned(reader, UINT32_MAX);
}

static void
read_run(codec_reader_t *reader, wire_run_t *run)
{
	codec_reader_t items;

	run->origin = codec_read_unsigned(reader, UINT64_MAX);
	codec_read_name(reader, run->reply_to, sizeof(run->reply_to));
	codec_read_name(reader, run->index, sizeof(run->index));
	run->version = (uint32_t)codec_read_unsigned(reader, UINT32_MAX);
	run->rank = (rank_t)codec_read_unsigned(reader, RANK_COUNT - 1);
	run->is_order = codec_read_unsigned(reader, 1) == 1;
	run->remaining_us = codec_read_signed(reader);
	run->limit =
	    (uint32_t)codec_read_unsigned(reader, CALLER_HIT_LIMIT_MAX);
	run->text = codec_read_bytes(reader, &run->text_length);
	codec_read_name(reader, run->request, sizeof(run->request));
	items = codec_read_array(reader, 3, SHARDS_MAX);
	run->item_count = (int)(items.remaining / 3);
	run->items = g_new0(wire_item_t, run->item_count + 1);
	for (int i = 0; i < run->item_count; i++) {
		run->items[i].attempt = codec_read_unsigned(&items, UINT64_MAX);
		run->items[i].leaf = codec_read_unsigned(&items, UINT64_MAX);
		run->items[i].shard =
		    (uint32_t)codec_read_unsigned(&items, SHARDS_MAX);
	}
	reader->is_invalid |= items.is_invalid;
}

static void
read_result(codec_reader_t *reader, wire_result_t *result)
{
	result->attempt = codec_read_unsigned(reader, UINT64_MAX);
	result->status =
	    (run_status_t)codec_read_unsigned(reader, RUN_TIMED_OUT);
	result->service_us = codec_read_signed(reader);
	result->queue_us = codec_read_signed(reader);
	result->is_leaving = codec_read_unsigned(reader, 1) == 1;
	read_wait(reader, &result->wait);
	result->body = codec_read_bytes(reader, &result->body_length);
}

static void
read_cancel(codec_reader_t *reader, wire_message_t *message)
{
	codec_reader_t attempts;

	message->origin = codec_read_unsigned(reader, UINT64_MAX);
	attempts = codec_read_array(reader, 1, SHARDS_MAX);
	message->attempt_count = (int)attempts.remaining;
	message->attempts = g_new0(uint64_t, message->attempt_count + 1);
	for (int i = 0; i < message->attempt_count; i++)
		message->attempts[i] =
		    codec_read_unsigned(&attempts, UINT64_MAX);
	reader->is_invalid |= attempts.is_invalid;
}

static void
read_accept(codec_reader_t *reader, wire_message_t *message)
{
	codec_reader_t waits;

	message->origin = codec_read_unsigned(reader, UINT64_MAX);
	waits = codec_read_array(reader, RANK_COUNT + 2, SHARDS_MAX);
	message->wait_count = (int)(waits.remaining / (RANK_COUNT + 2));
	message->waits = g_new0(wire_wait_t, message->wait_count + 1);
	for (int i = 0; i < message->wait_count; i++)
		read_wait(&waits, &message->waits[i]);
	reader->is_invalid |= waits.is_invalid;
}

bool
wire_decode(wire_message_t *message, const void *data, size_t length,
    error_info_t *error)
{
	codec_reader_t reader;
	bool is_valid;

	memset(message, 0, sizeof(*message));
	codec_begin_read(&reader, data, length);
	message->type = (wire_type_t)codec_read_unsigned(&reader, WIRE_ACCEPT);
	if (message->type == WIRE_RUN)
		read_run(&reader, &message->run);
	else if (message->type == WIRE_CANCEL)
		read_cancel(&reader, message);
	else if (message->type == WIRE_RESULT)
		read_result(&reader, &message->result);
	else if (message->type == WIRE_ACCEPT)
		read_accept(&reader, message);
	else
		reader.is_invalid = true;
	is_valid = codec_end_read(&reader);
	if (is_valid)
		return true;
	wire_clear(message);
	return error_set(error, ERROR_INVALID, "decode peer message", "",
	    "%zu bytes do not decode as a message of this version", length);
}

void
wire_clear(wire_message_t *message)
{
	g_free(message->run.items);
	g_free(message->attempts);
	g_free(message->waits);
	memset(message, 0, sizeof(*message));
}
