/**
 * @file faults.c
 * The kinds of faults, and how each begins and ends. None of them is told to
 * the VMs: signals, connections and the stand-ins' trouble are all there is.
 */
#include <signal.h>
#include <string.h>

#include "soak.h"

#define DELAY_LEAST_US 30000
#define DELAY_MOST_US  400000
#define HERD_SHARE     0.6 /* of the VMs, at least */

static int
pick_vm(const cluster_t *cluster, int target)
{
	return target % cluster_count_vms(cluster);
}

static int
pick_leaf(const cluster_t *cluster, int target)
{
	return target % cluster_count_leafs(cluster);
}

static int64_t
get_delay_us(double value)
{
	return DELAY_LEAST_US +
	       (int64_t)(value * (DELAY_MOST_US - DELAY_LEAST_US));
}

/* ---- VMs ---- */

static void
begin_vm_kill(cluster_t *cluster, int target, double value)
{
	cluster_kill_vm(cluster, pick_vm(cluster, target));
}

static void
end_vm_kill(cluster_t *cluster, int target, double value)
{
	cluster_start_vm(cluster, pick_vm(cluster, target));
}

static void
begin_vm_freeze(cluster_t *cluster, int target, double value)
{
	cluster_trouble_vm(cluster, pick_vm(cluster, target), true);
	cluster_signal_vm(cluster, pick_vm(cluster, target), SIGSTOP);
}

static void
end_vm_freeze(cluster_t *cluster, int target, double value)
{
	cluster_signal_vm(cluster, pick_vm(cluster, target), SIGCONT);
	cluster_trouble_vm(cluster, pick_vm(cluster, target), false);
}

static void
begin_vm_stop(cluster_t *cluster, int target, double value)
{
	cluster_stop_vm(cluster, pick_vm(cluster, target));
}

static void
begin_vm_reload(cluster_t *cluster, int target, double value)
{
	cluster_signal_vm(cluster, pick_vm(cluster, target), SIGHUP);
}

static bool
is_of_herd(const cluster_t *cluster, int vm, int target, double value)
{
	int vms = cluster_count_vms(cluster);
	double share = HERD_SHARE + (1.0 - HERD_SHARE) * value;

	return (vm + target) % vms < share * vms;
}

static void
begin_herd(cluster_t *cluster, int target, double value)
{
	for (int i = 0; i < cluster_count_vms(cluster); i++)
		if (is_of_herd(cluster, i, target, value))
			cluster_kill_vm(cluster, i);
}

static void
end_herd(cluster_t *cluster, int target, double value)
{
	for (int i = 0; i < cluster_count_vms(cluster); i++)
		cluster_start_vm(cluster, i);
}

/* ---- Connections of callers to a VM ---- */

static void
begin_call_delay(cluster_t *cluster, int target, double value)
{
	int vm = pick_vm(cluster, target);

	cluster_trouble_vm(cluster, vm, true);
	proxy_set_fault(cluster_get_caller_proxy(cluster, vm), PROXY_DELAY,
	    get_delay_us(value));
}

static void
begin_call_throttle(cluster_t *cluster, int target, double value)
{
	int vm = pick_vm(cluster, target);

	cluster_trouble_vm(cluster, vm, true);
	proxy_set_fault(
	    cluster_get_caller_proxy(cluster, vm), PROXY_THROTTLE, 0);
}

static void
begin_call_cut(cluster_t *cluster, int target, double value)
{
	int vm = pick_vm(cluster, target);

	cluster_trouble_vm(cluster, vm, true);
	proxy_set_fault(cluster_get_caller_proxy(cluster, vm), PROXY_CUT, 0);
}

static void
begin_call_one_way(cluster_t *cluster, int target, double value)
{
	int vm = pick_vm(cluster, target);

	cluster_trouble_vm(cluster, vm, true);
	proxy_set_fault(
	    cluster_get_caller_proxy(cluster, vm), PROXY_CUT_OUT, 0);
}

static void
begin_call_reset(cluster_t *cluster, int target, double value)
{
	int vm = pick_vm(cluster, target);

	cluster_trouble_vm(cluster, vm, true);
	proxy_reset(cluster_get_caller_proxy(cluster, vm));
	cluster_trouble_vm(cluster, vm, false);
}

static void
end_call(cluster_t *cluster, int target, double value)
{
	int vm = pick_vm(cluster, target);

	proxy_set_fault(cluster_get_caller_proxy(cluster, vm), PROXY_PASS, 0);
	cluster_trouble_vm(cluster, vm, false);
}

/* ---- A VM's connections to the store ---- */

static void
begin_way(cluster_t *cluster, int target, proxy_fault_t fault, double value)
{
	int vm = pick_vm(cluster, target);

	cluster_trouble_store_way(cluster, vm, true);
	proxy_set_fault(
	    cluster_get_store_proxy(cluster, vm), fault, get_delay_us(value));
}

static void
begin_way_delay(cluster_t *cluster, int target, double value)
{
	begin_way(cluster, target, PROXY_DELAY, value);
}

static void
begin_way_cut(cluster_t *cluster, int target, double value)
{
	begin_way(cluster, target, PROXY_CUT, value);
}

static void
begin_way_one_way(cluster_t *cluster, int target, double value)
{
	begin_way(cluster, target, PROXY_CUT_OUT, value);
}

static void
begin_way_refuse(cluster_t *cluster, int target, double value)
{
	begin_way(cluster, target, PROXY_REFUSE, value);
	proxy_reset(cluster_get_store_proxy(cluster, pick_vm(cluster, target)));
}

static void
begin_way_reset(cluster_t *cluster, int target, double value)
{
	int vm = pick_vm(cluster, target);

	cluster_trouble_store_way(cluster, vm, true);
	proxy_reset(cluster_get_store_proxy(cluster, vm));
	cluster_trouble_store_way(cluster, vm, false);
}

/* Held until probes notice; new connections work all the while. */
static void
begin_way_mute(cluster_t *cluster, int target, double value)
{
	int vm = pick_vm(cluster, target);

	cluster_trouble_store_way(cluster, vm, true);
	proxy_mute(cluster_get_store_proxy(cluster, vm));
}

static void
end_way_mute(cluster_t *cluster, int target, double value)
{
	cluster_trouble_store_way(cluster, pick_vm(cluster, target), false);
}

static void
end_way(cluster_t *cluster, int target, double value)
{
	int vm = pick_vm(cluster, target);

	proxy_set_fault(cluster_get_store_proxy(cluster, vm), PROXY_PASS, 0);
	cluster_trouble_store_way(cluster, vm, false);
}

/* ---- The store ---- */

static void
begin_store_down(cluster_t *cluster, int target, double value)
{
	cluster_set_store(cluster, "down", true);
}

static void
begin_store_silent(cluster_t *cluster, int target, double value)
{
	cluster_set_store(cluster, "silent", true);
}

static void
begin_store_busy(cluster_t *cluster, int target, double value)
{
	cluster_set_store(cluster, "busy", true);
}

static void
begin_store_slow(cluster_t *cluster, int target, double value)
{
	cluster_set_store(cluster, "slow", true);
}

static void
begin_store_lost(cluster_t *cluster, int target, double value)
{
	cluster_set_store(cluster, "lost", true);
}

static void
end_store(cluster_t *cluster, int target, double value)
{
	cluster_set_store(cluster, "up", false);
}

static void
begin_store_compact(cluster_t *cluster, int target, double value)
{
	cluster_set_store(cluster, "compact", true);
	cluster_set_store(cluster, "up", false);
}

static void
begin_store_freeze(cluster_t *cluster, int target, double value)
{
	cluster_signal_store(cluster, SIGSTOP);
}

static void
end_store_freeze(cluster_t *cluster, int target, double value)
{
	cluster_signal_store(cluster, SIGCONT);
}

/* ---- Leafs ---- */

static void
begin_leaf_kill(cluster_t *cluster, int target, double value)
{
	cluster_kill_leaf(cluster, pick_leaf(cluster, target));
}

static void
end_leaf_kill(cluster_t *cluster, int target, double value)
{
	cluster_start_leaf(cluster, pick_leaf(cluster, target));
}

static void
begin_leaf_freeze(cluster_t *cluster, int target, double value)
{
	cluster_trouble_leaf(cluster, pick_leaf(cluster, target), true);
	cluster_signal_leaf(cluster, pick_leaf(cluster, target), SIGSTOP);
}

/* The leaf's next lifetime may have begun: a calm too many does no harm. */
static void
end_leaf_freeze(cluster_t *cluster, int target, double value)
{
	cluster_signal_leaf(cluster, pick_leaf(cluster, target), SIGCONT);
	cluster_trouble_leaf(cluster, pick_leaf(cluster, target), false);
}

static void
begin_leaf_drain(cluster_t *cluster, int target, double value)
{
	cluster_drain_leaf(cluster, pick_leaf(cluster, target), value > 0.7);
}

static void
begin_leaf_swap(cluster_t *cluster, int target, double value)
{
	int leafs = cluster_count_leafs(cluster);

	cluster_swap_leafs(cluster, pick_leaf(cluster, target),
	    pick_leaf(cluster, target + leafs / 2));
}

static void
begin_leaf_fault(cluster_t *cluster, int target, double value)
{
	static const char *const faults[] = { "dark", "reset", "cut", "garbage",
		"extra", "error", "shed", "slow", "moved" };
	int fault = target % (int)G_N_ELEMENTS(faults);

	cluster_set_leaf_fault(cluster, pick_leaf(cluster, target),
	    faults[fault], 0.2 + 0.8 * value);
}

/* Two thirds of all leafs: a bad version was brought out. */
static void
begin_leafs_fault(cluster_t *cluster, int target, double value)
{
	static const char *const faults[] = { "cut", "garbage", "extra",
		"error", "shed" };

	for (int i = 0; i < cluster_count_leafs(cluster); i++)
		if ((i + target) % 3 != 0)
			cluster_set_leaf_fault(cluster, i,
			    faults[target % (int)G_N_ELEMENTS(faults)],
			    0.5 * value);
}

static void
end_leaf_fault(cluster_t *cluster, int target, double value)
{
	cluster_set_leaf_fault(cluster, pick_leaf(cluster, target), "none", 0);
}

static void
end_leafs_fault(cluster_t *cluster, int target, double value)
{
	for (int i = 0; i < cluster_count_leafs(cluster); i++)
		cluster_set_leaf_fault(cluster, i, "none", 0);
}

static void
begin_leaf_way(cluster_t *cluster, int target, double value)
{
	static const proxy_fault_t faults[] = { PROXY_DELAY, PROXY_THROTTLE,
		PROXY_CUT, PROXY_CUT_OUT, PROXY_REFUSE };
	int leaf = pick_leaf(cluster, target);

	cluster_trouble_leaf(cluster, leaf, true);
	proxy_set_fault(cluster_get_leaf_proxy(cluster, leaf),
	    faults[target % (int)G_N_ELEMENTS(faults)], get_delay_us(value));
}

static void
end_leaf_way(cluster_t *cluster, int target, double value)
{
	int leaf = pick_leaf(cluster, target);

	proxy_set_fault(cluster_get_leaf_proxy(cluster, leaf), PROXY_PASS, 0);
	cluster_trouble_leaf(cluster, leaf, false);
}

static void
begin_leaf_reset(cluster_t *cluster, int target, double value)
{
	proxy_t *proxy =
	    cluster_get_leaf_proxy(cluster, pick_leaf(cluster, target));

	if (value < 0.5)
		proxy_reset(proxy);
	else
		proxy_mute(proxy);
}

/* ---- Configuration ---- */

static void
begin_change(cluster_t *cluster, int target, double value)
{
	cluster_change_configuration(cluster);
}

static void
begin_repartition(cluster_t *cluster, int target, double value)
{
	cluster_repartition(cluster);
}

#define SECOND_US 1000000

static const fault_kind_t kinds[] = {
	{ "vm-kill", 5, SECOND_US / 10, 3 * SECOND_US, 3, begin_vm_kill,
	    end_vm_kill },
	{ "vm-freeze", 6, SECOND_US / 5, 5 * SECOND_US, 3, begin_vm_freeze,
	    end_vm_freeze },
	{ "vm-stop", 10, 0, 0, 4, begin_vm_stop, NULL },
	{ "vm-reload", 2, 0, 0, 4, begin_vm_reload, NULL },
	{ "vm-herd", 2, SECOND_US / 10, 2 * SECOND_US, 2, begin_herd,
	    end_herd },
	{ "call-delay", 2, SECOND_US, 4 * SECOND_US, 1, begin_call_delay,
	    end_call },
	{ "call-throttle", 2, SECOND_US, 4 * SECOND_US, 1, begin_call_throttle,
	    end_call },
	{ "call-cut", 2, SECOND_US, 6 * SECOND_US, 1, begin_call_cut,
	    end_call },
	{ "call-one-way", 2, SECOND_US, 6 * SECOND_US, 1, begin_call_one_way,
	    end_call },
	{ "call-reset", 2, 0, 0, 4, begin_call_reset, NULL },
	{ "way-delay", 2, SECOND_US, 4 * SECOND_US, 1, begin_way_delay,
	    end_way },
	{ "way-cut", 3, SECOND_US, 8 * SECOND_US, 1, begin_way_cut, end_way },
	{ "way-one-way", 2, SECOND_US, 8 * SECOND_US, 1, begin_way_one_way,
	    end_way },
	{ "way-refuse", 2, SECOND_US, 6 * SECOND_US, 1, begin_way_refuse,
	    end_way },
	{ "way-reset", 3, 0, 0, 4, begin_way_reset, NULL },
	{ "way-mute", 3, 5 * SECOND_US, 6 * SECOND_US, 1, begin_way_mute,
	    end_way_mute },
	{ "store-down", 2, SECOND_US, 5 * SECOND_US, 2, begin_store_down,
	    end_store },
	{ "store-silent", 2, SECOND_US, 5 * SECOND_US, 1, begin_store_silent,
	    end_store },
	{ "store-busy", 1, SECOND_US, 5 * SECOND_US, 1, begin_store_busy,
	    end_store },
	{ "store-slow", 1, SECOND_US, 5 * SECOND_US, 1, begin_store_slow,
	    end_store },
	{ "store-lost", 2, SECOND_US, 5 * SECOND_US, 1, begin_store_lost,
	    end_store },
	{ "store-compact", 3, 0, 0, 3, begin_store_compact, NULL },
	{ "store-freeze", 2, SECOND_US, 4 * SECOND_US, 1, begin_store_freeze,
	    end_store_freeze },
	{ "leaf-kill", 6, SECOND_US / 5, 4 * SECOND_US, 4, begin_leaf_kill,
	    end_leaf_kill },
	{ "leaf-freeze", 5, SECOND_US / 10, 3 * SECOND_US, 4, begin_leaf_freeze,
	    end_leaf_freeze },
	{ "leaf-drain", 8, 0, 0, 4, begin_leaf_drain, NULL },
	{ "leaf-swap", 4, 0, 0, 2, begin_leaf_swap, NULL },
	{ "leaf-fault", 10, SECOND_US, 5 * SECOND_US, 4, begin_leaf_fault,
	    end_leaf_fault },
	{ "leafs-fault", 4, SECOND_US, 4 * SECOND_US, 1, begin_leafs_fault,
	    end_leafs_fault },
	{ "leaf-way", 5, SECOND_US, 5 * SECOND_US, 3, begin_leaf_way,
	    end_leaf_way },
	{ "leaf-reset", 3, 0, 0, 4, begin_leaf_reset, NULL },
	{ "change", 10, 0, 0, 8, begin_change, NULL },
	{ "repartition", 4, 0, 0, 1, begin_repartition, NULL },
};

const fault_kind_t *
fault_get_kinds(int *count)
{
	*count = (int)G_N_ELEMENTS(kinds);
	return kinds;
}

void
fault_run(cluster_t *cluster, const soak_step_t *step)
{
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		fault_fn_t run = step->is_end ? kinds[i].end : kinds[i].begin;

		if (strcmp(kinds[i].name, step->kind) == 0 && run != NULL)
			run(cluster, step->target, step->value);
	}
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
