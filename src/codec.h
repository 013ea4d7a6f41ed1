/**
 * @file codec.h
 * Reads and writes msgpack arrays, for the messages between traffic threads
 * (wire.c) and those between control threads (gossip.c).
 */
#ifndef CODEC_H
#define CODEC_H

#include <msgpack.h>

#include "plantainarch.h"

/** Reads array elements in order; the first mismatch makes all later reads
 * fail. */
typedef struct codec_reader {
	const msgpack_object *next;
	uint32_t remaining;
	bool is_invalid;
	msgpack_zone zone;
} codec_reader_t;

void codec_begin_write(msgpack_packer *packer, GByteArray *bytes,
    size_t elements, int type); /* begins an array; type is the first element */
void codec_write_text(msgpack_packer *packer, const char *text, size_t length);

void codec_begin_read(codec_reader_t *reader, const void *data, size_t length);
bool codec_end_read(
    codec_reader_t *reader); /* true if all elements were read and valid */
uint64_t codec_read_unsigned(codec_reader_t *reader, uint64_t maximum);
int64_t codec_read_signed(codec_reader_t *reader);
const char *codec_read_bytes(
    codec_reader_t *reader, size_t *length); /* points into the data */
void codec_read_name(codec_reader_t *reader, char *name, size_t size);
void codec_skip(codec_reader_t *reader, uint32_t elements);
codec_reader_t codec_read_array(codec_reader_t *reader, uint32_t stride,
    uint32_t items_max); /* a reader of its elements */

#endif
