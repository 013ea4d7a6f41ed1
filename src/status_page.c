/**
 * @file status_page.c
 * Formats the status page of one VM as HTML from its JSON status. The layout
 * also fits handheld devices; the browser refreshes the page.
 */
#include <jansson.h>
#include <string.h>

#include "plantainarch.h"

#define REFRESH_S 5

static void append_ranks(GString *html, const json_t *threads);
static void append_leaves(GString *html, const json_t *threads);
static void append_members(GString *html, const json_t *control);
static const char *get_text(const json_t *object, const char *key);
static int64_t get_number(const json_t *object, const char *key);

char *
status_page_format(const char *status)
{
	json_t *root = json_loads(status, 0, NULL);
	const json_t *control = json_object_get(root, "control");
	const json_t *threads = json_object_get(root, "threads");
	bool is_ready = json_is_true(json_object_get(root, "ready"));
	GString *html = g_string_new(NULL);

	g_string_append_printf(html,
	    "<!doctype html><html lang=\"en\"><head><meta "
	    "charset=\"utf-8\"><meta name=\"viewport\" "
	    "content=\"width=device-width\"><meta http-equiv=\"refresh\" "
	    "content=\"%d\"><title>plantainarch "
	    "%s</title><style>body{font:16px "
	    "sans-serif;margin:1em;max-width:50em}table{border-collapse:"
	    "collapse;width:100%%}td,th{border-bottom:1px solid "
	    "#ccc;padding:.3em;text-align:right}td:first-child,th:first-child{"
	    "text-align:left}.good{color:#060}.bad{color:#a00}</style></"
	    "head><body>",
	    REFRESH_S, get_text(root, "id"));
	g_string_append_printf(html,
	    "<h1>%s <small>%s</small></h1><p class=\"%s\"><b>%s</b>, settings "
	    "version %" G_GINT64_FORMAT ", violations %" G_GINT64_FORMAT "</p>",
	    get_text(root, "id"), get_text(root, "zone"),
	    is_ready ? "good" : "bad", is_ready ? "Ready" : "Not ready",
	    get_number(root, "settings_version"),
	    get_number(root, "violations"));
	append_ranks(html, threads);
	append_leaves(html, threads);
	append_members(html, control);
	g_string_append(html,
	    "<p><a href=\"/status\">status as JSON</a> <a "
	    "href=\"/metrics\">metrics</a></p></body></html>\n");
	json_decref(root);
	return g_string_free(html, FALSE);
}

static void
append_ranks(GString *html, const json_t *threads)
{
	json_t *thread, *rank;
	size_t i, j;

	g_string_append(html,
	    "<h2>Work by "
	    "rank</h2><table><tr><th>rank</th><th>answered</"
	    "th><th>partial</th><th>refused</th><th>coverage</th><th>p50 "
	    "ms</th><th>p99 ms</th><th>queued</th></tr>");
	json_array_foreach(threads, i, thread)
	{
		json_array_foreach(json_object_get(thread, "ranks"), j, rank)
		{
			g_string_append_printf(html,
			    "<tr><td>%s</td><td>%" G_GINT64_FORMAT
			    "</td><td>%" G_GINT64_FORMAT
			    "</td><td>%" G_GINT64_FORMAT
			    "</td><td>%.4f</td><td>%.1f</td><td>%.1f</"
			    "td><td>%lld</td></tr>",
			    get_text(rank, "rank"),
			    get_number(rank, "answered"),
			    get_number(rank, "partial"),
			    get_number(rank, "refused"),
			    json_number_value(
				json_object_get(rank, "coverage")),
			    json_number_value(json_object_get(rank, "p50_us")) /
				1000,
			    json_number_value(json_object_get(rank, "p99_us")) /
				1000,
			    json_integer_value(json_array_get(
				json_object_get(thread, "queued"), j)));
		}
	}
	g_string_append(html, "</table>");
}

static void
append_leaves(GString *html, const json_t *threads)
{
	json_t *thread, *leaf;
	size_t i, j;
	int count = 0;

	g_string_append(html, "<h2>Leaves out of routing</h2><table>");
	json_array_foreach(threads, i, thread)
	{
		json_array_foreach(json_object_get(thread, "leaves"), j, leaf)
		{
			bool is_ejected =
			    json_is_true(json_object_get(leaf, "ejected"));
			bool is_leaving =
			    json_is_true(json_object_get(leaf, "leaving"));

			if (!is_ejected && !is_leaving)
				continue;
			count++;
			g_string_append_printf(html,
			    "<tr><td>%s</td><td "
			    "class=\"bad\">%s%s</td><td>%.1f ms</td></tr>",
			    get_text(leaf, "leaf"),
			    is_ejected ? "ejected " : "",
			    is_leaving ? "leaving" : "",
			    json_number_value(
				json_object_get(leaf, "service_us")) /
				1000);
		}
	}
	g_string_append(
	    html, count > 0 ? "</table>" : "<tr><td>none</td></tr></table>");
}

static void
append_members(GString *html, const json_t *control)
{
	json_t *member;
	size_t i;

	g_string_append_printf(html,
	    "<h2>Members</h2><p>Settings confirmed by the platform "
	    "%" G_GINT64_FORMAT " ms ago.</p><table>",
	    get_number(control, "confirmed_ms_ago"));
	json_array_foreach(json_object_get(control, "members"), i, member)
	{
		bool is_alive = strcmp(get_text(member, "state"), "alive") == 0;

		g_string_append_printf(html,
		    "<tr><td>%s</td><td>%s</td><td class=\"%s\">%s</td></tr>",
		    get_text(member, "id"), get_text(member, "zone"),
		    is_alive ? "good" : "bad", get_text(member, "state"));
	}
	g_string_append(html, "</table>");
}

static const char *
get_text(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text != NULL ? text : "";
}

static int64_t
get_number(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}
