/**
 * @file json_slice.h
 * Divides a JSON text into its elements without parsing them, so that one
 * element that cannot be parsed does not hide the others.
 *
 * Only strings and brackets are interpreted. Nesting is counted, not followed:
 * its depth costs no stack.
 */
#ifndef JSON_SLICE_H
#define JSON_SLICE_H

#include <jansson.h>

#include "plantainarch.h"

/** The text of one JSON value. */
typedef struct json_slice {
	const char *text;
	size_t length;
} json_slice_t;

/** False: the object has no such member, or is not an object. */
bool json_slice_get_member(
    json_slice_t object, const char *key, json_slice_t *value);
/** Begins with *offset 0. False: no further element, or not an array. */
bool json_slice_next_element(
    json_slice_t array, size_t *offset, json_slice_t *element);
/** Parses it; NULL with the problem if that fails. Release with json_decref. */
json_t *json_slice_load(json_slice_t slice, json_error_t *problem);

#endif
