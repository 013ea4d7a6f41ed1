/**
 * @file error.c
 * Fills error_info_t, names the error codes and reads the clocks.
 */
#include <stdarg.h>
#include <stdio.h>
#include <time.h>

#include "plantainarch.h"

bool
error_set(error_info_t *error, error_code_t code, const char *step,
    const char *peer, const char *format, ...)
{
	va_list arguments;

	if (error == NULL)
		return false;
	error->code = code;
	g_strlcpy(error->step, step, sizeof(error->step));
	g_strlcpy(error->peer, peer, sizeof(error->peer));
	va_start(arguments, format);
	vsnprintf(error->text, sizeof(error->text), format, arguments);
	va_end(arguments);
	return false;
}

const char *
error_get_name(error_code_t code)
{
	switch (code) {
	case ERROR_NONE:
		return "none";
	case ERROR_INVALID:
		return "invalid";
	case ERROR_NOT_FOUND:
		return "not_found";
	case ERROR_CONFLICT:
		return "conflict";
	case ERROR_UNAVAILABLE:
		return "unavailable";
	case ERROR_TIMEOUT:
		return "timeout";
	case ERROR_INTERNAL:
		return "internal";
	}
	return "internal";
}

static int64_t
read_clock_us(clockid_t clock_id)
{
	struct timespec now;

	clock_gettime(clock_id, &now);
	return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

int64_t
clock_get_us(void)
{
	return read_clock_us(CLOCK_MONOTONIC);
}

int64_t
clock_get_boot_us(void)
{
	return read_clock_us(CLOCK_BOOTTIME);
}

int64_t
clock_get_wall_us(void)
{
	return read_clock_us(CLOCK_REALTIME);
}
