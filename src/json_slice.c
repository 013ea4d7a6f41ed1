/**
 * @file json_slice.c
 * Divides a JSON text into its elements without parsing them.
 */
#include "json_slice.h"

#include <string.h>

static size_t
skip_space(json_slice_t slice, size_t at)
{
	while (at < slice.length && strchr(" \t\r\n", slice.text[at]) != NULL &&
	       slice.text[at] != '\0')
		at++;
	return at;
}

/* Returns the end of the string that begins at `at`; 0: it does not end. */
static size_t
skip_string(json_slice_t slice, size_t at)
{
	for (at++; at < slice.length; at++) {
		if (slice.text[at] == '\\')
			at++;
		else if (slice.text[at] == '"')
			return at + 1;
	}
	return 0;
}

/* Returns the end of the value that begins at `at`; 0: there is none. */
static size_t
skip_value(json_slice_t slice, size_t at)
{
	size_t begin = at, depth = 0;

	while (at < slice.length) {
		switch (slice.text[at]) {
		case '"':
			at = skip_string(slice, at);
			if (at == 0 || depth == 0)
				return at;
			continue;
		case '{':
		case '[':
			depth++;
			break;
		case '}':
		case ']':
			if (depth == 0)
				return at > begin ? at : 0;
			if (--depth == 0)
				return at + 1;
			break;
		case ',':
		case ' ':
		case '\t':
		case '\r':
		case '\n':
			if (depth == 0)
				return at > begin ? at : 0;
			break;
		default:
			break;
		}
		at++;
	}
	return 0;
}

static json_slice_t
cut(json_slice_t slice, size_t begin, size_t end)
{
	return (json_slice_t){ slice.text + begin, end - begin };
}

bool
json_slice_get_member(json_slice_t object, const char *key, json_slice_t *value)
{
	size_t key_length = strlen(key);
	size_t at = skip_space(object, 0);

	if (at >= object.length || object.text[at] != '{')
		return false;
	for (at++;; at++) {
		size_t name, name_end, begin, end;

		name = skip_space(object, at);
		if (name >= object.length || object.text[name] != '"')
			return false;
		name_end = skip_string(object, name);
		if (name_end == 0)
			return false;
		begin = skip_space(object, name_end);
		if (begin >= object.length || object.text[begin] != ':')
			return false;
		begin = skip_space(object, begin + 1);
		end = skip_value(object, begin);
		if (end == 0)
			return false;
		if (name_end - name == key_length + 2 &&
		    memcmp(object.text + name + 1, key, key_length) == 0) {
			*value = cut(object, begin, end);
			return true;
		}
		at = skip_space(object, end);
		if (at >= object.length || object.text[at] != ',')
			return false;
	}
}

bool
json_slice_next_element(
    json_slice_t array, size_t *offset, json_slice_t *element)
{
	size_t at = skip_space(array, *offset);
	size_t end;

	if (at >= array.length || array.text[at] != (*offset == 0 ? '[' : ','))
		return false;
	at = skip_space(array, at + 1);
	end = skip_value(array, at);
	if (end == 0)
		return false;
	*element = cut(array, at, end);
	*offset = end;
	return true;
}

json_t *
json_slice_load(json_slice_t slice, json_error_t *problem)
{
	return json_loadb(slice.text, slice.length,
	    JSON_ALLOW_NUL | JSON_DECODE_ANY, problem);
}
