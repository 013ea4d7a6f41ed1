/**
 * @file soak.h
 * The fault soak: real processes on loopback, faults injected from outside of
 * them, and a check of what callers and leafs saw.
 *
 *   schedule.c  which fault begins and ends when, from a seed
 *   proxy.c     TCP connections that are delayed, reset, cut or silenced
 *   children.c  the processes, their output and their ends
 *   cluster.c   the store, leafs and VMs: starts, ends, what the store is told
 *   faults.c    carries out the steps of a schedule
 *   check.c     the promises, over the history of a run
 */
#ifndef SOAK_H
#define SOAK_H

#include "plantainarch.h"

/* ---- Check ---- */

typedef struct check check_t;

/** Bounds of the promises, in microseconds unless a name says otherwise. */
typedef struct check_options {
	int64_t drain_us;	 /* from the store's word to the last arrival */
	int64_t apply_us;	 /* a configuration is in force after this */
	int64_t rollback_us;	 /* between the first sight of a version and a
				    request that must not see an older one */
	int64_t stable_us;	 /* a VM without trouble for this is in touch */
	int64_t loss_us;	 /* a request that was read must be answered */
	int64_t patience_us;	 /* of callers */
	int64_t held_us;	 /* answers come within this after patience */
	int64_t gone_us;	 /* work for a caller that has left ends */
	int64_t window_us;	 /* of the retry budget */
	int64_t slack_us;	 /* a busy machine's delays */
	double ratio, allowance; /* of the retry budget */
	double served_least;	 /* share of requests after the last fault */
	int attempts;		 /* leafs for each part */
	bool is_timed; /* false: only promises that no delay can break */
	void (*report)(void *context, const char *promise, const char *text);
	void *context;
} check_options_t;

typedef struct check_totals {
	int sent, served, violations;
} check_totals_t;

/**
 * The history has one event a line: TIME_US EVENT WORDS...
 *   sent ID VM ROUTE | answered ID VM STATUS | cut ID VM | left ID VM
 *   wrong ID VM TEXT            a caller got what no leaf answered to it
 *   arrived ID SERVICE LEAF | ran ID SERVICE LEAF
 *   leaves ID SERVICE LEAF | asks ID SERVICE LEAF     said in its answer
 *   asked VERSION | config VERSION      sent to the store, acknowledged
 *   targets ROUTE SERVICE,SERVICE       from then on
 *   drained LEAF                acknowledged by the store
 *   trouble THING | calm THING  of a VM, a leaf, "store" or "store-VM"
 *   started VM | crashed VM TEXT | overran VM
 *   final                       from here on all must be served again
 */
check_t *check_create(const check_options_t *options);
void check_destroy(check_t *check);
/** Lines may come in any order, as long as check_run is not past them. */
void check_add(check_t *check, const char *line);
void check_run(check_t *check, int64_t until_us);
void check_finish(check_t *check); /* all that is left, then the sums */
const check_totals_t *check_get_totals(const check_t *check);

/* ---- Schedule ---- */

typedef struct fault_kind fault_kind_t;

typedef struct soak_step {
	int64_t at_us; /* from the start of the run */
	const fault_kind_t *kind;
	int target;   /* drawn; taken modulo the number of things */
	double value; /* 0 to 1, for the kind to use */
	bool is_end;  /* else the fault begins */
} soak_step_t;

typedef struct schedule_options {
	uint64_t seed;
	int64_t begin_us, end_us; /* no fault outside of these */
} schedule_options_t;

GArray *schedule_create(const schedule_options_t *options); /* soak_step_t */
void schedule_print(const GArray *steps);
int schedule_count_faults(const GArray *steps);

/* ---- Proxy: one listening address that leads to another ---- */

typedef struct proxy proxy_t;

typedef enum proxy_fault {
	PROXY_PASS,
	PROXY_DELAY,	/* bytes arrive later, in both directions */
	PROXY_THROTTLE, /* few bytes a second */
	PROXY_CUT,	/* nothing passes until the fault ends */
	PROXY_CUT_OUT,	/* nothing passes towards the listening side */
	PROXY_REFUSE	/* new connections are reset */
} proxy_fault_t;

proxy_t *proxy_create(loop_t *loop, int port, int to_port);
void proxy_destroy(proxy_t *proxy);
void proxy_set_fault(proxy_t *proxy, proxy_fault_t fault, int64_t delay_us);
void proxy_reset(proxy_t *proxy); /* the connections that are open */
void proxy_mute(proxy_t *proxy);  /* they fall silent for good */

/* ---- Children: processes of the run ---- */

typedef struct child child_t;

typedef struct child_hooks {
	void *context;
	void (*line)(void *context, const char *line); /* of its output */
	void (*ended)(void *context, int status);      /* as of waitpid */
} child_hooks_t;

/** Output goes to hooks->line, or is appended to the file if there is one. */
child_t *child_start(loop_t *loop, const char *const *words,
    const char *output_path, const child_hooks_t *hooks);
void child_signal(child_t *child, int number);
void child_write(child_t *child, const char *text); /* to its input */
void children_reap(void);			    /* calls ended */
void children_end_all(void);

/* ---- Cluster: the processes and what stands between them ---- */

typedef struct cluster cluster_t;

typedef struct cluster_options {
	const char *build, *folder; /* of the programs; of logs and settings */
	const char *program;	    /* of the VMs, below build */
	int vms, shards;
	int port; /* the first of SOAK_PORTS */
	uint64_t seed;
	int64_t drain_us, apply_us, stop_us;
	double retry_ratio, retry_slack;
	int64_t retry_window_us;
	double rate; /* requests a second, over all callers */
} cluster_options_t;

#define SOAK_PORTS	1800
#define SOAK_VMS_MOST	100
#define SOAK_LEAFS_MOST 300 /* of the shards in force and the next ones */

/** Takes one line of the history. */
typedef void (*history_fn_t)(void *context, const char *line);

cluster_t *cluster_create(loop_t *loop, const cluster_options_t *options,
    history_fn_t history, void *context);
void cluster_destroy(cluster_t *cluster);
void cluster_begin_calls(cluster_t *cluster, double seconds);
void cluster_note(cluster_t *cluster, const char *format, ...)
    G_GNUC_PRINTF(2, 3); /* a line of the history, with the time */
/** Runs what was put off; call it often. */
void cluster_run(cluster_t *cluster, int64_t now_us);

int cluster_count_vms(const cluster_t *cluster);
int cluster_count_leafs(const cluster_t *cluster); /* of the shards in force */
typedef enum cluster_way { WAY_CALLERS, WAY_STORE, WAY_LEAF } cluster_way_t;

/** Of a VM, or of a leaf. */
proxy_t *cluster_get_proxy(cluster_t *cluster, cluster_way_t way, int number);
void cluster_kill_vm(cluster_t *cluster, int vm);
void cluster_start_vm(cluster_t *cluster, int vm); /* if it does not run */
void cluster_stop_vm(cluster_t *cluster, int vm);  /* SIGTERM, then SIGKILL */
void cluster_signal_vm(cluster_t *cluster, int vm, int number);
/** A thing whose trouble the cluster does not see itself. */
void cluster_trouble(cluster_t *cluster, bool is_trouble, const char *format,
    ...) G_GNUC_PRINTF(3, 4);
void cluster_set_store(cluster_t *cluster, const char *mode, bool is_trouble);
/** It is away, then back as its last copy; all is written again, perhaps later.
 */
void cluster_copy_store(cluster_t *cluster);
void cluster_return_store(cluster_t *cluster, int64_t rewrite_us);
void cluster_signal_store(cluster_t *cluster, int number);
void cluster_kill_leaf(
    cluster_t *cluster, int leaf); /* its entry lapses later */
void cluster_start_leaf(cluster_t *cluster, int leaf); /* a new lifetime */
/** It leaves, and another comes. Silent: its entry just goes away. */
/** says_leaving: in its answers, for a time in which its entry stays ready. */
void cluster_drain_leaf(
    cluster_t *cluster, int leaf, bool is_silent, bool says_leaving);
void cluster_swap_leafs(cluster_t *cluster, int one, int other);
void cluster_signal_leaf(cluster_t *cluster, int leaf, int number);
void cluster_set_leaf_fault(
    cluster_t *cluster, int leaf, const char *fault, double share);
void cluster_trouble_leaf(cluster_t *cluster, int leaf, bool is_trouble);
void cluster_change_configuration(cluster_t *cluster);
void cluster_repartition(cluster_t *cluster);

/* ---- Faults ---- */

/** One kind of fault. Its function runs for the begin and the end. */
struct fault_kind {
	const char *name;
	int weight;		   /* of the draw */
	int64_t least_us, most_us; /* how long it lasts; 0: at once, no end */
	int series;		   /* most repeats */
	void (*run)(cluster_t *cluster, const soak_step_t *step);
	proxy_fault_t proxy;
	const char *mode; /* of the store */
};

const fault_kind_t *fault_get_kinds(int *count);
/** The store takes a copy of itself, or comes back as the last one. */
const fault_kind_t *fault_get_return_kind(bool is_return);
/** Ends whatever is still in force. */
void fault_heal(cluster_t *cluster);

#endif
