/**
 * @file soak.c
 * Runs the real programs as processes on loopback under a schedule of faults
 * drawn from a seed, and checks the promises from what callers and leafs saw.
 */
#include <argtable2.h>
#include <glib/gstdio.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define CALLS_FROM_US	 2000000 /* after the processes have begun */
#define FAULTS_FROM_US	 4000000
#define RECOVERY_US	 12000000 /* the pages' recovery_s */
#define FINAL_US	 5000000  /* of calls after the recovery */
#define LATEST_US	 4000000  /* answers after the last call */
#define LAG_US		 2000000  /* lines of all processes are in by then */
#define STALL_US	 300000
#define CHECK_US	 250000
#define RATE		 150 /* requests a second */
#define SLACK_US	 700000
#define SLACK_A_CHILD_US 10000 /* more for large runs on few cores */

/** The bounds are those of the sites' pages. */
static const check_options_t bounds = { .drain_us = 3000000,
	.apply_us = 3000000,
	.rollback_us = 250000,
	.stable_us = 5000000,
	.loss_us = 200000,
	.patience_us = 2000000,
	.held_us = 500000,
	.gone_us = 500000,
	.window_us = 10000000,
	.ratio = 0.05, /* tighter than the pages': faults reach it */
	.allowance = 10,
	.served_least = 0.75,
	.attempts = 2,
	.is_timed = true };

#define STOP_US 6000000 /* grace_s of the pages */

typedef struct soak {
	loop_t *loop;
	check_t *check;
	cluster_t *cluster;
	GArray *steps;
	guint next_step;
	int64_t begun_us, faults_end_us, check_us, progress_us, last_us;
	int64_t seconds_us;
	FILE *history;
	GHashTable *promises; /* broken ones -> count */
	bool has_calls, is_healed, is_final, is_quiet, is_timed;
} soak_t;

typedef struct soak_options {
	cluster_options_t cluster;
	double seconds;
	bool is_timed, is_quiet;
} soak_options_t;

static void
take_line(void *context, const char *line)
{
	soak_t *soak = context;

	fprintf(soak->history, "%s\n", line);
	check_add(soak->check, line);
}

static void
take_violation(void *context, const char *promise, const char *text)
{
	soak_t *soak = context;
	int count =
	    GPOINTER_TO_INT(g_hash_table_lookup(soak->promises, promise));

	g_hash_table_insert(
	    soak->promises, (char *)promise, GINT_TO_POINTER(count + 1));
	fprintf(soak->history, "# BROKEN %s %s\n", promise, text);
	if (count < 5)
		printf("  BROKEN %s %s\n", promise, text);
}

static void
run_steps(soak_t *soak, int64_t age_us)
{
	while (soak->next_step < soak->steps->len) {
		const soak_step_t *step =
		    &g_array_index(soak->steps, soak_step_t, soak->next_step);

		if (step->at_us > age_us)
			return;
		fprintf(soak->history, "# %" G_GINT64_FORMAT " %s %s %d %.3f\n",
		    clock_get_us(), step->is_end ? "end" : "begin",
		    step->kind->name, step->target, step->value);
		step->kind->run(soak->cluster, step);
		soak->next_step++;
	}
}

static void
report_progress(soak_t *soak, int64_t age_us)
{
	if (soak->is_quiet || age_us < soak->progress_us)
		return;
	soak->progress_us = age_us + 10000000;
	fprintf(stderr, "  %3.0f s, %d requests, %d broken\n",
	    (double)age_us / 1e6, check_get_totals(soak->check)->sent,
	    check_get_totals(soak->check)->violations);
}

static void
run_phase(soak_t *soak, int64_t age_us)
{
	int64_t calls_us =
	    soak->seconds_us + (soak->is_timed ? RECOVERY_US + FINAL_US : 0);

	if (!soak->has_calls && age_us >= CALLS_FROM_US) {
		soak->has_calls = true;
		cluster_begin_calls(
		    soak->cluster, (double)(calls_us - CALLS_FROM_US) / 1e6);
	}
	if (!soak->is_healed && age_us >= soak->faults_end_us) {
		soak->is_healed = true;
		run_steps(soak, INT64_MAX);
		fault_heal(soak->cluster);
	}
	if (soak->is_timed && !soak->is_final &&
	    age_us >= soak->seconds_us + RECOVERY_US) {
		soak->is_final = true;
		cluster_note(soak->cluster, "final");
	}
	if (age_us >= calls_us + LATEST_US)
		loop_stop(soak->loop);
}

/* While the soak itself stood still, its proxies held all connections. */
static void
note_stall(soak_t *soak, int64_t now_us)
{
	int vms = cluster_count_vms(soak->cluster);

	for (int i = 1; soak->last_us != 0 &&
			now_us - soak->last_us > STALL_US && i <= vms;
	     i++) {
		cluster_trouble(soak->cluster, true, "vm-%d", i);
		cluster_trouble(soak->cluster, false, "vm-%d", i);
	}
	soak->last_us = now_us;
}

static int64_t
run_timer(void *context)
{
	soak_t *soak = context;
	int64_t now_us = clock_get_us();
	int64_t age_us = now_us - soak->begun_us;

	note_stall(soak, now_us);

	cluster_run(soak->cluster, now_us);
	run_steps(soak, age_us);
	run_phase(soak, age_us);
	report_progress(soak, age_us);
	if (now_us >= soak->check_us) {
		soak->check_us = now_us + CHECK_US;
		check_run(soak->check, now_us - LAG_US);
	}
	return now_us + 5000;
}

/* What the program found broken in itself stands in the VMs' logs. */
static void
scan_logs(soak_t *soak, const soak_options_t *options)
{
	for (int i = 1; i <= options->cluster.vms; i++) {
		char *path =
		    g_strdup_printf("%s/vm-%d.log", options->cluster.folder, i);
		char *text = NULL;

		if (g_file_get_contents(path, &text, NULL, NULL) &&
		    strstr(text, "LOG_INVARIANT") != NULL)
			take_violation(
			    soak, "INVARIANT", strstr(text, "LOG_INVARIANT"));
		g_free(text);
		g_free(path);
	}
}

static check_t *
begin_check(soak_t *soak, const soak_options_t *options)
{
	check_options_t check = bounds;

	check.slack_us =
	    SLACK_US + SLACK_A_CHILD_US *
			   (options->cluster.vms + 2 * options->cluster.shards);
	check.is_timed = options->is_timed;
	check.report = take_violation;
	check.context = soak;
	return check_create(&check);
}

static GArray *
draw_steps(const soak_options_t *options)
{
	const schedule_options_t schedule = { .seed = options->cluster.seed,
		.begin_us = FAULTS_FROM_US,
		.end_us = (int64_t)(options->seconds * 1e6) };

	return schedule_create(&schedule);
}

static void
print_result(const soak_t *soak, const soak_options_t *options)
{
	GHashTableIter iter;
	gpointer promise, count;

	printf("seed %" G_GUINT64_FORMAT ": faults %d requests %d served %d "
	       "broken %d",
	    options->cluster.seed, schedule_count_faults(soak->steps),
	    check_get_totals(soak->check)->sent,
	    check_get_totals(soak->check)->served,
	    (int)g_hash_table_size(soak->promises));
	g_hash_table_iter_init(&iter, soak->promises);
	while (g_hash_table_iter_next(&iter, &promise, &count))
		printf(" %s %d", (char *)promise, GPOINTER_TO_INT(count));
	printf("\n");
	fflush(stdout);
}

/* Returns whether all promises were kept. */
static bool
run_seed(const soak_options_t *options)
{
	soak_t soak = { .begun_us = clock_get_us(),
		.is_quiet = options->is_quiet,
		.is_timed = options->is_timed };
	char *path = g_strdup_printf("%s/history", options->cluster.folder);
	bool is_good;

	g_mkdir_with_parents(options->cluster.folder, 0755);
	soak.history = fopen(path, "w");
	if (soak.history == NULL) {
		fprintf(stderr, "soak: cannot write %s\n", path);
		exit(1);
	}
	soak.loop = loop_create();
	soak.promises = g_hash_table_new(g_str_hash, g_str_equal);
	soak.seconds_us = (int64_t)(options->seconds * 1e6);
	soak.faults_end_us = soak.seconds_us;
	soak.steps = draw_steps(options);
	soak.check = begin_check(&soak, options);
	soak.cluster =
	    cluster_create(soak.loop, &options->cluster, take_line, &soak);
	soak.begun_us = clock_get_us();
	loop_add_timer(soak.loop, run_timer, &soak);
	loop_run(soak.loop);
	cluster_destroy(soak.cluster);
	check_finish(soak.check);
	scan_logs(&soak, options);
	print_result(&soak, options);
	is_good = g_hash_table_size(soak.promises) == 0;
	fclose(soak.history);
	check_destroy(soak.check);
	g_array_unref(soak.steps);
	g_hash_table_unref(soak.promises);
	loop_destroy(soak.loop);
	g_free(path);
	return is_good;
}

static void
print_violation(void *context, const char *promise, const char *text)
{
	printf("BROKEN %s %s\n", promise, text);
}

/* A history that was kept, or written by hand. Returns the exit code. */
static int
check_history(const char *path, bool is_timed)
{
	check_options_t options = bounds;
	check_t *check;
	char *text, **lines;
	check_totals_t totals;

	options.slack_us = SLACK_US;
	options.is_timed = is_timed;
	options.report = print_violation;
	if (!g_file_get_contents(path, &text, NULL, NULL)) {
		fprintf(stderr, "soak: cannot read %s\n", path);
		return 2;
	}
	check = check_create(&options);
	lines = g_strsplit(text, "\n", -1);
	for (int i = 0; lines[i] != NULL; i++)
		if (lines[i][0] != '#' && lines[i][0] != '\0')
			check_add(check, lines[i]);
	check_finish(check);
	totals = *check_get_totals(check);
	printf("%d requests, %d served, %d broken\n", totals.sent,
	    totals.served, totals.violations);
	check_destroy(check);
	g_strfreev(lines);
	g_free(text);
	return totals.violations == 0 ? 0 : 1;
}

/* Each seed has a folder of its own, which stays for a look at what failed. */
static int
run_seeds(const soak_options_t *options, int seeds, const char *folder)
{
	int failed = 0;

	for (int i = 0; i < seeds; i++) {
		soak_options_t own = *options;
		char *path;

		own.cluster.seed = options->cluster.seed + (uint64_t)i;
		path = g_strdup_printf(
		    "%s/seed-%" G_GUINT64_FORMAT, folder, own.cluster.seed);
		own.cluster.folder = path;
		failed += run_seed(&own) ? 0 : 1;
		g_free(path);
	}
	printf("%d of %d seeds kept every promise\n", seeds - failed, seeds);
	return failed == 0 ? 0 : 1;
}

int
main(int argc, char **argv)
{
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "the first (1)");
	struct arg_int *seeds = arg_int0(NULL, "seeds", "N", "so many (1)");
	struct arg_dbl *seconds =
	    arg_dbl0(NULL, "seconds", "N", "with faults, for each seed (30)");
	struct arg_int *vms = arg_int0(NULL, "vms", "N", "(6)");
	struct arg_int *shards =
	    arg_int0(NULL, "shards", "N", "of two leafs each (6)");
	struct arg_int *port =
	    arg_int0(NULL, "port", "N", "first of 1,500 ports (26000)");
	struct arg_str *build =
	    arg_str0(NULL, "build", "FOLDER", "of the programs (build)");
	struct arg_str *program =
	    arg_str0(NULL, "program", "NAME", "of the VMs (plantainarch)");
	struct arg_str *folder =
	    arg_str0(NULL, "folder", "FOLDER", "for logs (build/soak-runs)");
	struct arg_lit *untimed =
	    arg_lit0(NULL, "untimed", "only promises that no delay can break");
	struct arg_lit *print =
	    arg_lit0(NULL, "print", "print the schedule of the first seed");
	struct arg_file *history =
	    arg_file0(NULL, "check", "FILE", "check this history only");
	struct arg_lit *quiet = arg_lit0(NULL, "quiet", "no progress");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = { seed, seeds, seconds, vms, shards, port, build,
		program, folder, untimed, print, history, quiet, help, end };
	soak_options_t options;
	int errors;

	seed->ival[0] = seeds->ival[0] = 1;
	seconds->dval[0] = 30;
	vms->ival[0] = shards->ival[0] = 6;
	port->ival[0] = 26000;
	build->sval[0] = "build";
	program->sval[0] = "plantainarch";
	folder->sval[0] = "build/soak-runs";
	errors = arg_parse(argc, argv, table);
	if (help->count > 0) {
		printf("Real processes under faults from a seed.\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		return 0;
	}
	if (errors > 0) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	options = (soak_options_t){ .seconds = seconds->dval[0],
		.is_timed = untimed->count == 0,
		.is_quiet = quiet->count > 0 };
	options.cluster = (cluster_options_t){ .build = build->sval[0],
		.program = program->sval[0],
		.vms = CLAMP(vms->ival[0], 1, SOAK_VMS_MOST),
		.shards = CLAMP(shards->ival[0], 3, SOAK_LEAFS_MOST / 4),
		.port = port->ival[0],
		.seed = (uint64_t)seed->ival[0],
		.drain_us = bounds.drain_us,
		.apply_us = bounds.apply_us,
		.stop_us = STOP_US,
		.retry_ratio = bounds.ratio,
		.retry_slack = bounds.allowance,
		.retry_window_us = bounds.window_us,
		.rate = RATE };
	if (history->count > 0)
		return check_history(history->filename[0], options.is_timed);
	if (print->count > 0) {
		schedule_print(draw_steps(&options));
		return 0;
	}
	return run_seeds(&options, seeds->ival[0], folder->sval[0]);
}
