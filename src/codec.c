/**
 * @file codec.c
 * Reads and writes msgpack arrays.
 */
#include <string.h>

#include "codec.h"

#define ZONE_CHUNK_BYTES 2048

static int append_bytes(void *context, const char *data, size_t length);
static bool has_valid_structure(const uint8_t *data, size_t length);
static uint64_t read_big_endian(const uint8_t *data, size_t bytes);

void
codec_begin_write(
    msgpack_packer *packer, GByteArray *bytes, size_t elements, int type)
{
	msgpack_packer_init(packer, bytes, append_bytes);
	msgpack_pack_array(packer, elements);
	msgpack_pack_uint8(packer, (uint8_t)type);
}

void
codec_write_text(msgpack_packer *packer, const char *text, size_t length)
{
	msgpack_pack_str(packer, length);
	msgpack_pack_str_body(packer, text, length);
}

void
codec_begin_read(codec_reader_t *reader, const void *data, size_t length)
{
	msgpack_object root;
	size_t offset = 0;

	memset(reader, 0, sizeof(*reader));
	reader->is_invalid = true;
	msgpack_zone_init(&reader->zone, ZONE_CHUNK_BYTES);
	if (!has_valid_structure(data, length))
		return;
	if (msgpack_unpack(data, length, &offset, &reader->zone, &root) !=
		MSGPACK_UNPACK_SUCCESS ||
	    root.type != MSGPACK_OBJECT_ARRAY)
		return;
	reader->next = root.via.array.ptr;
	reader->remaining = root.via.array.size;
	reader->is_invalid = false;
}

bool
codec_end_read(codec_reader_t *reader)
{
	bool is_valid = !reader->is_invalid && reader->remaining == 0;

	msgpack_zone_destroy(&reader->zone);
	return is_valid;
}

uint64_t
codec_read_unsigned(codec_reader_t *reader, uint64_t maximum)
{
	const msgpack_object *object = reader->next;

	if (reader->is_invalid || reader->remaining == 0 ||
	    object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    object->via.u64 > maximum) {
		reader->is_invalid = true;
		return 0;
	}
	reader->next++;
	reader->remaining--;
	return object->via.u64;
}

int64_t
codec_read_signed(codec_reader_t *reader)
{
	const msgpack_object *object = reader->next;

	if (!reader->is_invalid && reader->remaining > 0 &&
	    object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
		reader->next++;
		reader->remaining--;
		return object->via.i64;
	}
	return (int64_t)codec_read_unsigned(reader, INT64_MAX);
}

const char *
codec_read_bytes(codec_reader_t *reader, size_t *length)
{
	const msgpack_object *object = reader->next;

	*length = 0;
	if (reader->is_invalid || reader->remaining == 0 ||
	    object->type != MSGPACK_OBJECT_STR) {
		reader->is_invalid = true;
		return "";
	}
	reader->next++;
	reader->remaining--;
	*length = object->via.str.size;
	return object->via.str.ptr;
}

void
codec_read_name(codec_reader_t *reader, char *name, size_t size)
{
	size_t length;
	const char *text = codec_read_bytes(reader, &length);

	if (length >= size) {
		reader->is_invalid = true;
		return;
	}
	memcpy(name, text, length);
	name[length] = '\0';
}

void
codec_skip(codec_reader_t *reader, uint32_t elements)
{
	if (reader->is_invalid || reader->remaining < elements) {
		reader->is_invalid = true;
		return;
	}
	reader->next += elements;
	reader->remaining -= elements;
}

codec_reader_t
codec_read_array(codec_reader_t *reader, uint32_t stride, uint32_t items_max)
{
	codec_reader_t inner = { .is_invalid = true };
	const msgpack_object *object = reader->next;

	if (reader->is_invalid || reader->remaining == 0 ||
	    object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size % stride != 0 ||
	    object->via.array.size / stride > items_max) {
		reader->is_invalid = true;
		return inner;
	}
	reader->next++;
	reader->remaining--;
	inner.next = object->via.array.ptr;
	inner.remaining = object->via.array.size;
	inner.is_invalid = false;
	return inner;
}

static int
append_bytes(void *context, const char *data, size_t length)
{
	g_byte_array_append(context, (const guint8 *)data, (guint)length);
	return 0;
}

/*
 * Validates the bytes before they reach the library, which would allocate as
 * many elements as an array header states. Accepts only the types that the
 * messages use, and no length or count above the number of bytes that follow.
 */
static bool
has_valid_structure(const uint8_t *data, size_t length)
{
	size_t offset = 0;

	while (offset < length) {
		uint8_t type = data[offset++];
		size_t header_bytes = 0; /* size of a length or a count */
		uint64_t payload_bytes = 0, element_count = 0;

		if (type <= 0x7f || type >= 0xe0)
			continue; /* one-byte integers */
		if (type >= 0xcc && type <= 0xd3) {
			payload_bytes =
			    UINT64_C(1)
			    << (type & 3); /* integers of 1 to 8 bytes */
		} else if (type >= 0xa0 && type <= 0xbf) {
			payload_bytes = type & 0x1f; /* short strings */
		} else if (type >= 0x90 && type <= 0x9f) {
			element_count = type & 0x0f; /* short arrays */
		} else if (type >= 0xd9 && type <= 0xdb) {
			header_bytes = (size_t)1 << (type - 0xd9); /* strings */
		} else if (type == 0xdc || type == 0xdd) {
			header_bytes = type == 0xdc ? 2 : 4; /* arrays */
		} else {
			return false;
		}
		if (header_bytes > length - offset)
			return false;
		if (header_bytes > 0 && type <= 0xdb)
			payload_bytes =
			    read_big_endian(data + offset, header_bytes);
		else if (header_bytes > 0)
			element_count =
			    read_big_endian(data + offset, header_bytes);
		offset += header_bytes;
		if (payload_bytes > length - offset ||
		    element_count > length - offset)
			return false;
		offset += payload_bytes;
	}
	return length > 0;
}

static uint64_t
read_big_endian(const uint8_t *data, size_t bytes)
{
	uint64_t value = 0;

	for (size_t i = 0; i < bytes; i++)
		value = value << 8 | data[i];
	return value;
}
