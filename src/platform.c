/**
 * @file platform.c
 * Client of the platform's object API over HTTP: versioned reads, conditional
 * updates, watches and the list of VMs, limited to a call rate for this VM.
 */
#include <arpa/inet.h>
#include <limits.h>
#include <stdio.h>
#include <string.h>

#include "json_slice.h"

#define CONNECTIONS	 8
#define REPLY_BYTES_MAX	 8388608
#define CALL_TIMEOUT_US	 2000000
#define WATCH_WAIT_MS	 2000
#define WATCH_TIMEOUT_US 4000000
/* Call rate of the whole fleet, and the bounds of one VM's share. */
#define FLEET_CALLS_PER_SECOND 500
#define CALLS_PER_SECOND_MAX   60
#define CALLS_PER_SECOND_MIN   2
#define BURST_SECONDS	       2

typedef struct call {
	platform_t *platform;
	char name[NAME_BYTES];
	platform_fn_t callback;
	void *context;
} call_t;

struct platform {
	fetch_t *fetch;
	char url[ENDPOINT_BYTES];
	double calls_per_second, tokens;
	int64_t tokens_updated_us;
};

static void send_call(platform_t *platform, const char *method,
    const char *path, const char *name, const char *body, size_t length,
    int64_t timeout_us, platform_fn_t callback, void *context);
static void handle_reply(
    void *context, uint64_t tag, const fetch_reply_t *reply);
static bool take_token(platform_t *platform);
static reply_status_t get_reply_status(const fetch_reply_t *reply);

platform_t *
platform_create(loop_t *loop, const char *url)
{
	platform_t *platform = g_new0(platform_t, 1);

	platform->fetch = fetch_create(loop, REPLY_BYTES_MAX, CONNECTIONS);
	platform->calls_per_second = CALLS_PER_SECOND_MAX;
	platform->tokens = CALLS_PER_SECOND_MAX * BURST_SECONDS;
	platform->tokens_updated_us = clock_get_us();
	g_strlcpy(platform->url, url, sizeof(platform->url));
	return platform;
}

void
platform_destroy(platform_t *platform)
{
	fetch_destroy(platform->fetch);
	g_free(platform);
}

void
platform_set_members(platform_t *platform, int members)
{
	platform->calls_per_second =
	    CLAMP((double)FLEET_CALLS_PER_SECOND / MAX(members, 1),
		CALLS_PER_SECOND_MIN, CALLS_PER_SECOND_MAX);
}

double
platform_get_budget(const platform_t *platform)
{
	return platform->calls_per_second;
}

void
platform_get(platform_t *platform, const char *name, platform_fn_t callback,
    void *context)
{
	char path[2 * NAME_BYTES];

	metric_add(METRIC_PLATFORM_READS, 1);
	snprintf(path, sizeof(path), "/objects/%s", name);
	send_call(platform, "GET", path, name, NULL, 0, CALL_TIMEOUT_US,
	    callback, context);
}

void
platform_put(platform_t *platform, const char *name, uint64_t version,
    const char *body, size_t length, platform_fn_t callback, void *context)
{
	char path[2 * NAME_BYTES];

	metric_add(METRIC_PLATFORM_WRITES, 1);
	snprintf(path, sizeof(path), "/objects/%s?version=%" G_GUINT64_FORMAT,
	    name, version);
	send_call(platform, "PUT", path, name, body, length, CALL_TIMEOUT_US,
	    callback, context);
}

void
platform_watch(platform_t *platform, const char *prefix, uint64_t after,
    platform_fn_t callback, void *context)
{
	char path[2 * NAME_BYTES];

	metric_add(METRIC_PLATFORM_READS, 1);
	snprintf(path, sizeof(path),
	    "/watch?prefix=%s&after=%" G_GUINT64_FORMAT "&wait_ms=%d", prefix,
	    after, WATCH_WAIT_MS);
	send_call(platform, "GET", path, prefix, NULL, 0, WATCH_TIMEOUT_US,
	    callback, context);
}

void
platform_list_vms(platform_t *platform, platform_fn_t callback, void *context)
{
	metric_add(METRIC_PLATFORM_READS, 1);
	send_call(platform, "GET", "/vms", "vms", NULL, 0, CALL_TIMEOUT_US,
	    callback, context);
}

/* Appends the decoded entry; false: it is not valid. */
typedef bool (*read_entry_fn_t)(json_t *entry, const char *prefix, GArray *out);

/*
 * Reads the entries of an array. One that is not valid is skipped, and the
 * number of these is logged. False: the text is not an array.
 */
static bool
read_entries(json_slice_t array, const char *list, read_entry_fn_t read_entry,
    const char *prefix, GArray *out)
{
	json_slice_t element;
	size_t offset = 0;
	int bad_count = 0;

	if (array.length == 0 || array.text[0] != '[')
		return false;
	while (json_slice_next_element(array, &offset, &element)) {
		json_t *entry = json_slice_load(element, NULL);

		if (entry == NULL || !read_entry(entry, prefix, out))
			bad_count++;
		json_decref(entry);
	}
	if (bad_count > 0)
		log_printf(LOG_PLATFORM_BAD_ENTRY,
		    "platform: %d entries of the list of %s are not valid and "
		    "are ignored",
		    bad_count, list);
	return true;
}

static bool
read_vm(json_t *entry, const char *prefix, GArray *members)
{
	const char *id, *address, *zone, *region, *state;
	json_int_t peer_port, threads;
	struct in_addr parsed;
	member_t member = { 0 };

	if (json_unpack(entry, "{s:s, s:s, s:s, s:s, s:s, s:I, s:I}", "id", &id,
		"address", &address, "zone", &zone, "region", &region, "state",
		&state, "peer_port", &peer_port, "threads", &threads) != 0 ||
	    strlen(id) >= sizeof(member.id) ||
	    strlen(zone) >= sizeof(member.zone) ||
	    strlen(region) >= sizeof(member.region) ||
	    inet_pton(AF_INET, address, &parsed) != 1)
		return false;
	g_strlcpy(member.id, id, sizeof(member.id));
	g_strlcpy(member.address, address, sizeof(member.address));
	g_strlcpy(member.zone, zone, sizeof(member.zone));
	g_strlcpy(member.region, region, sizeof(member.region));
	member.peer_port = (int)CLAMP(peer_port, 0, INT_MAX);
	member.threads = (int)CLAMP(threads, 0, INT_MAX);
	member.state =
	    strcmp(state, "leaving") == 0 ? MEMBER_LEAVING : MEMBER_ALIVE;
	if (!member_is_valid(&member))
		return false;
	g_array_append_val(members, member);
	return true;
}

bool
platform_parse_vms(const char *body, size_t length, GArray *members)
{
	return read_entries(
	    (json_slice_t){ body, length }, "VMs", read_vm, NULL, members);
}

/* An object outside the prefix is none of this reader's, and valid. */
static bool
read_change(json_t *entry, const char *prefix, GArray *documents)
{
	const char *name, *value;
	json_int_t version;
	document_t document = { 0 };

	if (json_unpack(entry, "{s:s, s:I, s:s}", "name", &name, "version",
		&version, "value", &value) != 0)
		return false;
	if (!g_str_has_prefix(name, prefix))
		return true;
	name += strlen(prefix);
	if (version < 0 || strlen(name) >= sizeof(document.name))
		return false;
	g_strlcpy(document.name, name, sizeof(document.name));
	document.version = (uint64_t)version;
	document.length = strlen(value);
	document.body = g_strdup(value);
	g_array_append_val(documents, document);
	return true;
}

/* Reads {"revision": N, "objects": [{"name", "version", "value"}]}. */
bool
platform_parse_changes(const char *body, size_t length, const char *prefix,
    uint64_t *revision, GArray *documents)
{
	json_slice_t root = { body, length }, text, objects;
	json_t *number = NULL;
	bool is_valid = json_slice_get_member(root, "revision", &text) &&
			json_slice_get_member(root, "objects", &objects);

	if (is_valid)
		number = json_slice_load(text, NULL);
	is_valid =
	    json_is_integer(number) && json_integer_value(number) >= 0 &&
	    read_entries(objects, "objects", read_change, prefix, documents);
	if (is_valid)
		*revision = (uint64_t)json_integer_value(number);
	json_decref(number);
	return is_valid;
}

static void
send_call(platform_t *platform, const char *method, const char *path,
    const char *name, const char *body, size_t length, int64_t timeout_us,
    platform_fn_t callback, void *context)
{
	call_t *call;
	char url[ENDPOINT_BYTES + 2 * NAME_BYTES];

	if (!take_token(platform)) {
		platform_reply_t refused = { .status = REPLY_NOT_APPLIED,
			.body = "" };

		callback(context, name, &refused);
		return;
	}
	call = g_new0(call_t, 1);
	call->platform = platform;
	call->callback = callback;
	call->context = context;
	g_strlcpy(call->name, name, sizeof(call->name));
	snprintf(url, sizeof(url), "%s%s", platform->url, path);
	fetch_send(platform->fetch, method, url, body, length, timeout_us, 0,
	    handle_reply, call);
}

static void
handle_reply(void *context, uint64_t tag, const fetch_reply_t *reply)
{
	call_t *call = context;
	platform_reply_t result = { .status = get_reply_status(reply),
		.version = reply->version };

	result.body = reply->body;
	result.length = reply->body_length;
	if (result.status == REPLY_NOT_APPLIED ||
	    result.status == REPLY_UNKNOWN)
		log_printf(LOG_PLATFORM_FAILED,
		    "platform: request for %s to %s failed: status %d, %s",
		    call->name, call->platform->url, reply->http_status,
		    reply->error != NULL ? reply->error : "refused");
	call->callback(call->context, call->name, &result);
	g_free(call);
}

/* Token bucket that limits the call rate of this VM. */
static bool
take_token(platform_t *platform)
{
	int64_t now_us = clock_get_us();

	platform->tokens += (double)(now_us - platform->tokens_updated_us) *
			    platform->calls_per_second / 1e6;
	platform->tokens =
	    MIN(platform->tokens, platform->calls_per_second * BURST_SECONDS);
	platform->tokens_updated_us = now_us;
	if (platform->tokens < 1)
		return false;
	platform->tokens -= 1;
	return true;
}

/* REPLY_UNKNOWN: the call may have taken effect; REPLY_NOT_APPLIED: it has not.
 */
static reply_status_t
get_reply_status(const fetch_reply_t *reply)
{
	switch (reply->http_status) {
	case 200:
		return REPLY_OK;
	case 404:
		return REPLY_NOT_FOUND;
	case 409:
		return REPLY_CONFLICT;
	case 429:
	case 503:
		return REPLY_NOT_APPLIED;
	default:
		return reply->is_unsent ? REPLY_NOT_APPLIED : REPLY_UNKNOWN;
	}
}
