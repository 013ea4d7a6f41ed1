/**
 * @file faults.c
 * The kinds of faults, and how each begins and ends. None of them is told to
 * the VMs: signals, connections and the stand-ins' trouble are all there is.
 */
#include <signal.h>
#include <string.h>

#include "soak.h"

#define DELAY_LEAST_US	30000
#define DELAY_MOST_US	400000
#define REWRITE_MOST_US 2000000 /* until all is written again */
#define HERD_SHARE	0.6	/* of the VMs, at least */
#define SILENT_SHARE	0.3	/* of leafs that leave without saying so */
#define LEAVING_SHARE	0.4 /* of those that say so in their answers first */

static int
pick_vm(const cluster_t *cluster, const soak_step_t *step)
{
	return step->target % cluster_count_vms(cluster);
}

static int
pick_leaf(const cluster_t *cluster, const soak_step_t *step)
{
	return step->target % cluster_count_leafs(cluster);
}

/* Passes, delays or holds what the kind says, until the step's end. */
static void
set_proxy(proxy_t *proxy, const soak_step_t *step, proxy_fault_t fault)
{
	int64_t delay_us =
	    DELAY_LEAST_US +
	    (int64_t)(step->value * (DELAY_MOST_US - DELAY_LEAST_US));

	proxy_set_fault(proxy, step->is_end ? PROXY_PASS : fault, delay_us);
}

/* ---- VMs ---- */

static void
run_vm_kill(cluster_t *cluster, const soak_step_t *step)
{
	if (step->is_end)
		cluster_start_vm(cluster, pick_vm(cluster, step));
	else
		cluster_kill_vm(cluster, pick_vm(cluster, step));
}

static void
run_vm_freeze(cluster_t *cluster, const soak_step_t *step)
{
	int vm = pick_vm(cluster, step);

	cluster_trouble(cluster, !step->is_end, "vm-%d", vm + 1);
	cluster_signal_vm(cluster, vm, step->is_end ? SIGCONT : SIGSTOP);
}

static void
run_vm_stop(cluster_t *cluster, const soak_step_t *step)
{
	cluster_stop_vm(cluster, pick_vm(cluster, step));
}

static void
run_vm_reload(cluster_t *cluster, const soak_step_t *step)
{
	cluster_signal_vm(cluster, pick_vm(cluster, step), SIGHUP);
}

static void
run_vm_herd(cluster_t *cluster, const soak_step_t *step)
{
	int vms = cluster_count_vms(cluster);
	double killed = (HERD_SHARE + (1.0 - HERD_SHARE) * step->value) * vms;

	for (int i = 0; i < vms; i++)
		if (step->is_end)
			cluster_start_vm(cluster, i);
		else if ((i + step->target) % vms < killed)
			cluster_kill_vm(cluster, i);
}

/* ---- Connections: of callers to a VM, of a VM to the store, to a leaf ---- */

static void
run_call(cluster_t *cluster, const soak_step_t *step)
{
	int vm = pick_vm(cluster, step);
	proxy_t *proxy = cluster_get_proxy(cluster, WAY_CALLERS, vm);

	cluster_trouble(cluster, !step->is_end, "vm-%d", vm + 1);
	set_proxy(proxy, step, step->kind->proxy);
	if (step->kind->most_us > 0)
		return;
	proxy_reset(proxy);
	cluster_trouble(cluster, false, "vm-%d", vm + 1);
}

static void
run_way(cluster_t *cluster, const soak_step_t *step)
{
	int vm = pick_vm(cluster, step);
	proxy_t *proxy = cluster_get_proxy(cluster, WAY_STORE, vm);

	cluster_trouble(cluster, !step->is_end, "store-vm-%d", vm + 1);
	if (step->kind->proxy == PROXY_PASS && !step->is_end)
		proxy_mute(proxy); /* new connections work all the while */
	else
		set_proxy(proxy, step, step->kind->proxy);
	if (step->kind->proxy == PROXY_REFUSE)
		proxy_reset(proxy);
	if (step->kind->most_us == 0 && !step->is_end)
		run_way(cluster, &(soak_step_t){ .kind = step->kind,
				     .target = step->target,
				     .is_end = true });
}

static void
run_leaf_way(cluster_t *cluster, const soak_step_t *step)
{
	static const proxy_fault_t faults[] = { PROXY_DELAY, PROXY_THROTTLE,
		PROXY_CUT, PROXY_CUT_OUT, PROXY_REFUSE };
	int leaf = pick_leaf(cluster, step);

	cluster_trouble_leaf(cluster, leaf, !step->is_end);
	set_proxy(cluster_get_proxy(cluster, WAY_LEAF, leaf), step,
	    faults[step->target % (int)G_N_ELEMENTS(faults)]);
}

static void
run_leaf_reset(cluster_t *cluster, const soak_step_t *step)
{
	proxy_t *proxy =
	    cluster_get_proxy(cluster, WAY_LEAF, pick_leaf(cluster, step));

	if (step->value < 0.5)
		proxy_reset(proxy);
	else
		proxy_mute(proxy);
}

/* ---- The store ---- */

static void
run_store(cluster_t *cluster, const soak_step_t *step)
{
	cluster_set_store(
	    cluster, step->is_end ? "up" : step->kind->mode, !step->is_end);
	if (step->kind->most_us == 0)
		cluster_set_store(cluster, "up", false);
}

/* Each copy is of some moment before the return. */
static void
run_store_copy(cluster_t *cluster, const soak_step_t *step)
{
	cluster_copy_store(cluster);
}

static void
run_store_return(cluster_t *cluster, const soak_step_t *step)
{
	if (step->is_end)
		cluster_return_store(
		    cluster, (int64_t)(step->value * REWRITE_MOST_US));
	else
		cluster_set_store(cluster, "down", true);
}

static void
run_store_freeze(cluster_t *cluster, const soak_step_t *step)
{
	cluster_signal_store(cluster, step->is_end ? SIGCONT : SIGSTOP);
}

/* ---- Leafs ---- */

static void
run_leaf_kill(cluster_t *cluster, const soak_step_t *step)
{
	if (step->is_end)
		cluster_start_leaf(cluster, pick_leaf(cluster, step));
	else
		cluster_kill_leaf(cluster, pick_leaf(cluster, step));
}

/* The leaf's next lifetime may have begun: a calm too many does no harm. */
static void
run_leaf_freeze(cluster_t *cluster, const soak_step_t *step)
{
	int leaf = pick_leaf(cluster, step);

	cluster_trouble_leaf(cluster, leaf, !step->is_end);
	cluster_signal_leaf(cluster, leaf, step->is_end ? SIGCONT : SIGSTOP);
}

static void
run_leaf_drain(cluster_t *cluster, const soak_step_t *step)
{
	cluster_drain_leaf(cluster, pick_leaf(cluster, step),
	    step->value<SILENT_SHARE, step->value> 1.0 - LEAVING_SHARE);
}

static void
run_leaf_swap(cluster_t *cluster, const soak_step_t *step)
{
	int leafs = cluster_count_leafs(cluster);
	int leaf = pick_leaf(cluster, step);

	cluster_swap_leafs(cluster, leaf, (leaf + leafs / 2) % leafs);
}

static void
run_leaf_fault(cluster_t *cluster, const soak_step_t *step)
{
	static const char *const faults[] = { "dark", "reset", "cut", "garbage",
		"extra", "error", "shed", "slow", "moved", "ask-time",
		"cut-head", "without-id-extra" };
	const char *fault = faults[step->target % (int)G_N_ELEMENTS(faults)];

	cluster_set_leaf_fault(cluster, pick_leaf(cluster, step),
	    step->is_end ? "none" : fault, 0.2 + 0.8 * step->value);
}

/* Two thirds of all leafs: a bad version was brought out. */
static void
run_leafs_fault(cluster_t *cluster, const soak_step_t *step)
{
	static const char *const faults[] = { "cut", "garbage", "extra",
		"error", "shed" };
	const char *fault = faults[step->target % (int)G_N_ELEMENTS(faults)];

	for (int i = 0; i < cluster_count_leafs(cluster); i++)
		if (step->is_end)
			cluster_set_leaf_fault(cluster, i, "none", 0);
		else if ((i + step->target) % 3 != 0)
			cluster_set_leaf_fault(
			    cluster, i, fault, 0.5 * step->value);
}

/* ---- Configuration ---- */

static void
run_change(cluster_t *cluster, const soak_step_t *step)
{
	cluster_change_configuration(cluster);
}

static void
run_repartition(cluster_t *cluster, const soak_step_t *step)
{
	cluster_repartition(cluster);
}

#define S 1000000 /* a second, in microseconds */

/* Name, weight, shortest and longest, series, function, what it is told. */
static const fault_kind_t kinds[] = {
	{ "vm-kill", 5, S / 10, 3 * S, 3, run_vm_kill, 0, NULL },
	{ "vm-freeze", 6, S / 5, 5 * S, 3, run_vm_freeze, 0, NULL },
	{ "vm-stop", 10, 0, 0, 4, run_vm_stop, 0, NULL },
	{ "vm-reload", 2, 0, 0, 4, run_vm_reload, 0, NULL },
	{ "vm-herd", 2, S / 10, 2 * S, 2, run_vm_herd, 0, NULL },
	{ "call-delay", 2, S, 4 * S, 1, run_call, PROXY_DELAY, NULL },
	{ "call-throttle", 2, S, 4 * S, 1, run_call, PROXY_THROTTLE, NULL },
	{ "call-cut", 2, S, 6 * S, 1, run_call, PROXY_CUT, NULL },
	{ "call-one-way", 2, S, 6 * S, 1, run_call, PROXY_CUT_OUT, NULL },
	{ "call-reset", 2, 0, 0, 4, run_call, PROXY_PASS, NULL },
	{ "way-delay", 2, S, 4 * S, 1, run_way, PROXY_DELAY, NULL },
	{ "way-cut", 3, S, 8 * S, 1, run_way, PROXY_CUT, NULL },
	{ "way-one-way", 2, S, 8 * S, 1, run_way, PROXY_CUT_OUT, NULL },
	{ "way-refuse", 2, S, 6 * S, 1, run_way, PROXY_REFUSE, NULL },
	{ "way-reset", 3, 0, 0, 4, run_way, PROXY_REFUSE, NULL },
	{ "way-mute", 3, 5 * S, 6 * S, 1, run_way, PROXY_PASS, NULL },
	{ "store-down", 2, S, 5 * S, 2, run_store, 0, "down" },
	{ "store-silent", 2, S, 5 * S, 1, run_store, 0, "silent" },
	{ "store-busy", 1, S, 5 * S, 1, run_store, 0, "busy" },
	{ "store-slow", 1, S, 5 * S, 1, run_store, 0, "slow" },
	{ "store-lost", 2, S, 5 * S, 1, run_store, 0, "lost" },
	{ "store-compact", 3, 0, 0, 3, run_store, 0, "compact" },
	{ "store-freeze", 2, S, 4 * S, 1, run_store_freeze, 0, NULL },
	{ "leaf-kill", 6, S / 5, 4 * S, 4, run_leaf_kill, 0, NULL },
	{ "leaf-freeze", 5, S / 10, 3 * S, 4, run_leaf_freeze, 0, NULL },
	{ "leaf-drain", 8, 0, 0, 4, run_leaf_drain, 0, NULL },
	{ "leaf-swap", 4, 0, 0, 2, run_leaf_swap, 0, NULL },
	{ "leaf-fault", 10, S, 5 * S, 4, run_leaf_fault, 0, NULL },
	{ "leafs-fault", 4, S, 4 * S, 1, run_leafs_fault, 0, NULL },
	{ "leaf-way", 5, S, 5 * S, 3, run_leaf_way, 0, NULL },
	{ "leaf-reset", 3, 0, 0, 4, run_leaf_reset, 0, NULL },
	{ "change", 10, 0, 0, 8, run_change, 0, NULL },
	{ "repartition", 4, 0, 0, 1, run_repartition, 0, NULL },
};

/* Drawn apart from the others, whose steps a seed keeps. */
static const fault_kind_t return_kinds[] = {
	{ "store-copy", 0, 0, 0, 1, run_store_copy, 0, NULL },
	{ "store-return", 0, S / 5, 2 * S, 2, run_store_return, 0, NULL },
};

const fault_kind_t *
fault_get_return_kind(bool is_return)
{
	return &return_kinds[is_return];
}

const fault_kind_t *
fault_get_kinds(int *count)
{
	*count = (int)G_N_ELEMENTS(kinds);
	return kinds;
}

void
fault_heal(cluster_t *cluster)
{
	for (int i = 0; i < cluster_count_vms(cluster); i++) {
		cluster_signal_vm(cluster, i, SIGCONT);
		cluster_start_vm(cluster, i);
	}
	for (int i = 0; i < cluster_count_leafs(cluster); i++) {
		cluster_signal_leaf(cluster, i, SIGCONT);
		cluster_start_leaf(cluster, i);
		cluster_set_leaf_fault(cluster, i, "none", 0);
	}
}
