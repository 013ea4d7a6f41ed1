/**
 * @file main.c
 * Command line: finds the subcommand and runs it.
 */
#include <stdio.h>
#include <string.h>

#include "plantainarch.h"

typedef struct command {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *help;
} command_t;

static int run_version(int argc, char **argv);
static int run_events(int argc, char **argv);
static int run_metrics(int argc, char **argv);
static int run_plugins(int argc, char **argv);

static const command_t commands[] = {
	{ "serve", command_serve, "run one VM's process" },
	{ "tier", command_tier,
	    "run one VM's process of the tier on a platform" },
	{ "check", command_check,
	    "check settings files and list every problem" },
	{ "search", command_search, "send one search and print the answer" },
	{ "order", command_order, "send one order and print its outcome" },
	{ "status", command_status, "show one VM or the whole fleet" },
	{ "explain", command_explain,
	    "show which default or exception sets a value" },
	{ "explain-request", command_explain_request,
	    "show from the logs what happened to a request" },
	{ "settings", command_settings,
	    "show, change and compare the fleet's settings" },
	{ "load", command_load,
	    "send open-loop load and report the results that callers get" },
	{ "keys", command_keys,
	    "create a key pair for the connections between VMs" },
	{ "events", run_events, "list the log events" },
	{ "metrics", run_metrics, "list the metrics" },
	{ "plugins", run_plugins, "list the built-in policies" },
	{ "version", run_version, "print the version" },
};

static void print_usage(FILE *file);

int
main(int argc, char **argv)
{
	if (argc < 2) {
		print_usage(stderr);
		return 2;
	}
	if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "help") == 0) {
		print_usage(stdout);
		return 0;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		if (strcmp(argv[1], commands[i].name) == 0)
			return commands[i].run(argc - 1, argv + 1);
	fprintf(stderr,
	    "plantainarch: unknown command \"%s\"; see 'plantainarch --help'\n",
	    argv[1]);
	return 2;
}

static void
print_usage(FILE *file)
{
	fprintf(file, "Usage: plantainarch COMMAND [OPTIONS]\n\nA query tier "
		      "over many shards. Commands:\n");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(
		    file, "  %-15s %s\n", commands[i].name, commands[i].help);
	fprintf(file,
	    "\n'plantainarch COMMAND --help' describes a command. Exit codes: "
	    "0 success, 1 failure, 2 usage.\n");
}

/* Any argument prints the help; returns whether it was printed. */
static bool
print_help_if_requested(int argc, char **argv, const char *text)
{
	if (argc < 2)
		return false;
	printf("Usage: plantainarch %s\n%s\n", argv[0], text);
	return true;
}

static int
run_version(int argc, char **argv)
{
	if (!print_help_if_requested(argc, argv, "Prints the version."))
		printf("plantainarch %s\n", PLANTAINARCH_VERSION);
	return 0;
}

static int
run_events(int argc, char **argv)
{
	if (!print_help_if_requested(
		argc, argv, "Lists the log events as a Markdown table."))
		log_print_catalogue();
	return 0;
}

static int
run_metrics(int argc, char **argv)
{
	if (!print_help_if_requested(
		argc, argv, "Lists the metrics as a Markdown table."))
		metric_print_catalogue();
	return 0;
}

static int
run_plugins(int argc, char **argv)
{
	if (!print_help_if_requested(
		argc, argv, "Lists the built-in policies, by kind."))
		plugin_print_all();
	return 0;
}
