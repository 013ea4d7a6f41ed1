/**
 * @file log.c
 * Numbered log events through GLib's structured logging.
 *
 * Each event has a number, a level and a line in docs/EVENTS.md, which
 * `plantainarch events` prints from the same list.
 */
#include <fcntl.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "plantainarch.h"

typedef struct log_event_info {
	log_event_t number;
	const char *name;
	GLogLevelFlags level;
	const char *meaning;
} log_event_info_t;

static const log_event_info_t events[] = {
#define LOG_EVENT(number, name, level, text) { name, #name, level, text },
#include "events.h"
#undef LOG_EVENT
};

#define BUFFER_BYTES_MAX     262144 /* of lines that are not written yet */
#define LINES_PER_SECOND_MAX 200    /* all events together */
/* Below the total, so that one event leaves room for the others. */
#define EVENT_LINES_PER_SECOND_MAX 80
#define LINE_BYTES_MAX		   1024
#define US_PER_SECOND		   1000000

/* Lines queued for a non-blocking descriptor. */
static struct {
	pthread_mutex_t lock;
	int fd;
	GString *text;
	int64_t second; /* wall clock; the period of the rate limits */
	int lines;
	struct {
		int lines, dropped;
	} counts[G_N_ELEMENTS(events)]; /* by event, in the current second */
	bool is_enabled;
} buffer = { .lock = PTHREAD_MUTEX_INITIALIZER };

static GLogLevelFlags minimum_level = G_LOG_LEVEL_MESSAGE;
static bool writes_json = false;
static bool is_writer_set = false;

static const log_event_info_t *find_event(log_event_t event);
static GLogWriterOutput write_line(GLogLevelFlags level,
    const GLogField *fields, gsize count, gpointer context);
static const char *get_level_name(GLogLevelFlags level);
static const char *find_field_value(
    const GLogField *fields, gsize count, const char *key);

void
log_begin(const char *level, bool json)
{
	writes_json = json;
	if (strcmp(level, "debug") == 0)
		minimum_level = G_LOG_LEVEL_DEBUG;
	else if (strcmp(level, "info") == 0)
		minimum_level = G_LOG_LEVEL_INFO;
	else if (strcmp(level, "warning") == 0)
		minimum_level = G_LOG_LEVEL_WARNING;
	else
		minimum_level = G_LOG_LEVEL_MESSAGE;
	if (!is_writer_set)
		g_log_set_writer_func(write_line, NULL, NULL);
	is_writer_set = true; /* GLib accepts a writer function only once */
}

bool
log_is_enabled(log_event_t event)
{
	return find_event(event)->level <= minimum_level;
}

static bool
is_plain_character(char character)
{
	return character != '"' && character != '\\' &&
	       g_ascii_isprint(character);
}

void
log_copy_plain(char *out, size_t size, const char *text)
{
	g_strlcpy(out, text, size);
	for (char *each = out; *each != '\0'; each++)
		if (!is_plain_character(*each))
			*each = '_';
}

bool
log_is_plain(const char *text)
{
	for (const char *each = text; *each != '\0'; each++)
		if (!is_plain_character(*each))
			return false;
	return true;
}

void
log_write(void *context, log_event_t event, const char *text)
{
	const log_event_info_t *info = find_event(event);
	char number[16];

	if (info->level > minimum_level)
		return;
	snprintf(number, sizeof(number), "%d", (int)event);
	g_log_structured("plantainarch", info->level, "EVENT", number,
	    "EVENT_NAME", info->name, "MESSAGE", "%s", text);
}

void
log_printf(log_event_t event, const char *format, ...)
{
	va_list arguments;
	char text[1024];

	if (!log_is_enabled(event))
		return;
	va_start(arguments, format);
	vsnprintf(text, sizeof(text), format, arguments);
	va_end(arguments);
	log_write(NULL, event, text);
}

void
log_begin_buffered(int fd)
{
	int flags = fcntl(fd, F_GETFL);

	if (flags >= 0)
		fcntl(fd, F_SETFL, flags | O_NONBLOCK);
	buffer.fd = fd;
	buffer.text = g_string_sized_new(4096);
	buffer.is_enabled = true;
}

/* Writes without blocking. Call with the lock held. */
static void
flush_buffer(void)
{
	ssize_t count;

	if (buffer.text->len == 0)
		return;
	count = write(buffer.fd, buffer.text->str, buffer.text->len);
	if (count > 0)
		g_string_erase(buffer.text, 0, count);
}

void
log_flush(void)
{
	if (!buffer.is_enabled)
		return;
	pthread_mutex_lock(&buffer.lock);
	flush_buffer();
	pthread_mutex_unlock(&buffer.lock);
}

/* Logs the lines dropped in the previous second and resets the counts. */
static void
begin_rate_period(int64_t now_us)
{
	buffer.second = now_us / US_PER_SECOND;
	buffer.lines = 0;
	for (size_t i = 0; i < G_N_ELEMENTS(events); i++) {
		if (buffer.counts[i].dropped > 0)
			g_string_append_printf(buffer.text,
			    "{\"time_us\":%" G_GINT64_FORMAT
			    ",\"event\":%d,\"name\":\"LOG_LINES_DROPPED\","
			    "\"of\":\"%s\",\"count\":%d}\n",
			    now_us, (int)LOG_LINES_DROPPED, events[i].name,
			    buffer.counts[i].dropped);
		buffer.counts[i].lines = 0;
		buffer.counts[i].dropped = 0;
	}
}

/*
 * Whether the rate limits and the buffer allow a line; counts it as queued or
 * dropped. Call with the lock held.
 */
static bool
admit_line(const log_event_info_t *info, int64_t now_us, size_t length)
{
	size_t index = (size_t)(info - events);

	if (now_us / US_PER_SECOND != buffer.second)
		begin_rate_period(now_us);
	if (buffer.lines < LINES_PER_SECOND_MAX &&
	    buffer.counts[index].lines < EVENT_LINES_PER_SECOND_MAX &&
	    buffer.text->len + length < BUFFER_BYTES_MAX) {
		buffer.lines++;
		buffer.counts[index].lines++;
		return true;
	}
	buffer.counts[index].dropped++;
	metric_add(METRIC_LOG_DROPPED, 1);
	return false;
}

void
log_write_fields(void *context, log_event_t event, const char *fields)
{
	const log_event_info_t *info = find_event(event);
	char line[LINE_BYTES_MAX];
	int64_t now_us;
	int length;

	if (info->level > minimum_level)
		return;
	if (!buffer.is_enabled) {
		log_write(context, event, fields);
		return;
	}
	now_us = clock_get_wall_us();
	length = snprintf(line, sizeof(line),
	    "{\"time_us\":%" G_GINT64_FORMAT
	    ",\"event\":%d,\"name\":\"%s\",%s}\n",
	    now_us, (int)event, info->name, fields);
	if (length >= (int)sizeof(line)) {
		/* Too long: a valid JSON line without the fields. */
		length = snprintf(line, sizeof(line),
		    "{\"time_us\":%" G_GINT64_FORMAT
		    ",\"event\":%d,\"name\":\"%s\",\"cut\":true}\n",
		    now_us, (int)event, info->name);
	}
	pthread_mutex_lock(&buffer.lock);
	if (admit_line(info, now_us, (size_t)length))
		g_string_append_len(buffer.text, line, length);
	pthread_mutex_unlock(&buffer.lock);
}

void
log_fields(log_event_t event, const char *format, ...)
{
	va_list arguments;
	char fields[LINE_BYTES_MAX];

	if (!log_is_enabled(event))
		return;
	va_start(arguments, format);
	vsnprintf(fields, sizeof(fields), format, arguments);
	va_end(arguments);
	log_write_fields(NULL, event, fields);
}

void
log_print_catalogue(void)
{
	printf("| number | name | level | meaning |\n|---|---|---|---|\n");
	for (size_t i = 0; i < G_N_ELEMENTS(events); i++)
		printf("| %d | %s | %s | %s |\n", (int)events[i].number,
		    events[i].name, get_level_name(events[i].level),
		    events[i].meaning);
}

static const log_event_info_t *
find_event(log_event_t event)
{
	for (size_t i = 0; i < G_N_ELEMENTS(events); i++)
		if (events[i].number == event)
			return &events[i];
	return &events[0];
}

/* Writes a line in one call, which keeps lines of several threads apart. */
static GLogWriterOutput
write_line(GLogLevelFlags level, const GLogField *fields, gsize count,
    gpointer context)
{
	const char *message = find_field_value(fields, count, "MESSAGE");
	const char *number = find_field_value(fields, count, "EVENT");
	const char *name = find_field_value(fields, count, "EVENT_NAME");
	int64_t now_us = clock_get_wall_us();
	GString *line = g_string_sized_new(256);

	if ((level & G_LOG_LEVEL_MASK) > minimum_level) {
		g_string_free(line, TRUE);
		return G_LOG_WRITER_HANDLED;
	}
	if (writes_json) {
		char *escaped = g_strescape(message, NULL);

		g_string_printf(line,
		    "{\"time_us\":%" G_GINT64_FORMAT
		    ",\"event\":%s,\"name\":\"%s\",\"level\":\"%s\",\"text\":"
		    "\"%s\"}\n",
		    now_us, number, name, get_level_name(level), escaped);
		g_free(escaped);
	} else {
		g_string_printf(line, "%" G_GINT64_FORMAT ".%06d %s %s %s\n",
		    now_us / 1000000, (int)(now_us % 1000000), number,
		    get_level_name(level), message);
	}
	fwrite(line->str, 1, line->len, stderr);
	g_string_free(line, TRUE);
	return G_LOG_WRITER_HANDLED;
}

static const char *
get_level_name(GLogLevelFlags level)
{
	switch (level & G_LOG_LEVEL_MASK) {
	case G_LOG_LEVEL_DEBUG:
		return "debug";
	case G_LOG_LEVEL_INFO:
		return "info";
	case G_LOG_LEVEL_MESSAGE:
		return "message";
	default:
		return "warning";
	}
}

static const char *
find_field_value(const GLogField *fields, gsize count, const char *key)
{
	for (gsize i = 0; i < count; i++)
		if (strcmp(fields[i].key, key) == 0)
			return fields[i].value;
	return "0";
}
