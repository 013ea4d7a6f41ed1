/**
 * @file cluster.c
 * The processes of a run and what the store is told of them: one store, one
 * process for each leaf, the VMs, and callers.
 *
 * Callers reach VMs, VMs reach the store and leafs through proxies. A leaf has
 * a slot with fixed ports; each lifetime in it is another id. There are two
 * banks of slots, so that the next set of shards can start beside the first.
 */
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/wait.h>

#include "soak.h"

/* Ports, from the first of the run. */
#define PORT_CONTROL	  0
#define PORT_STORE	  1
#define PORT_STORE_PROXY  100
#define PORT_VM		  200 /* callers, readiness, metrics */
#define PORT_VM_PROXY	  500
#define PORT_LEAF_CONTROL 600
#define PORT_LEAF	  900
#define PORT_LEAF_PROXY	  1200
#define PORT_VM_PEERS	  1500

#define LAPSE_US	 1200000 /* the entry of a dead leaf is removed */
#define REUSE_US	 2000000 /* an address is not used again sooner */
#define START_US	 10000	 /* from one leaf of a bank to the next */
#define RESTART_US	 300000	 /* of a VM that has ended */
#define REPARTITION_US	 1500000 /* from the new leafs' start to the change */
#define DRAIN_SLACK_US	 2500000 /* leafs serve on a little longer */
#define CALL_TIMEOUT_US	 20000000
#define FAULT_TIMEOUT_US 500000
#define STORE_TRIES	 100
#define STORE_TRY_US	 50000
#define RETRY_US	 300000
#define LEAFS_A_SHARD	 2
#define WORK_MS		 "15" /* long enough that stops find work in progress */
#define LEAVE_SHARE	 0.05 /* of the requests are given up */

typedef struct cluster_vm {
	cluster_t *cluster;
	int number; /* from 1 */
	child_t *child;
	proxy_t *callers, *store;
	bool is_down, is_stopping;
} cluster_vm_t;

typedef struct cluster_leaf {
	cluster_t *cluster;
	int slot, generation;
	char id[NAME_BYTES], service[NAME_BYTES];
	char fault[NAME_BYTES]; /* wanted; told again until it is taken */
	double share;
	child_t *child;
	proxy_t *proxy;
	bool is_leaving;
	const char *state; /* of its entry */
} cluster_leaf_t;

typedef void (*later_fn_t)(cluster_t *cluster, int number, int generation);

typedef struct later {
	int64_t due_us;
	later_fn_t run;
	int number, generation;
} later_t;

struct cluster {
	loop_t *loop;
	cluster_options_t options;
	history_fn_t history;
	void *context;
	child_t *store;
	fetch_t *control, *faults;
	cluster_vm_t vms[SOAK_VMS_MOST];
	cluster_leaf_t leafs[SOAK_LEAFS_MOST];
	int leaf_count, bank; /* leafs of one bank; the bank in force */
	int version, set;
	bool is_repartitioning;
	GArray *laters;		  /* later_t */
	child_t *newest, *former; /* callers of the versions' own routes */
};

void
cluster_note(cluster_t *cluster, const char *format, ...)
{
	char text[1024];
	va_list arguments;
	int length = snprintf(
	    text, sizeof(text), "%" G_GINT64_FORMAT " ", clock_get_us());

	va_start(arguments, format);
	vsnprintf(
	    text + length, sizeof(text) - (size_t)length, format, arguments);
	va_end(arguments);
	cluster->history(cluster->context, text);
}

void
cluster_trouble(cluster_t *cluster, bool is_trouble, const char *format, ...)
{
	char thing[NAME_BYTES];
	va_list arguments;

	va_start(arguments, format);
	vsnprintf(thing, sizeof(thing), format, arguments);
	va_end(arguments);
	cluster_note(cluster, "%s %s", is_trouble ? "trouble" : "calm", thing);
}

static void
put_off(cluster_t *cluster, int64_t delay_us, later_fn_t run, int number,
    int generation)
{
	later_t later = { clock_get_us() + delay_us, run, number, generation };

	g_array_append_val(cluster->laters, later);
}

void
cluster_run(cluster_t *cluster, int64_t now_us)
{
	children_reap();
	for (guint i = 0; i < cluster->laters->len; i++) {
		later_t later = g_array_index(cluster->laters, later_t, i);

		if (later.due_us > now_us)
			continue;
		g_array_remove_index(cluster->laters, i);
		later.run(cluster, later.number, later.generation);
		i = (guint)-1; /* the array has changed */
	}
}

static void
handle_line(void *context, const char *line)
{
	cluster_t *cluster = context;

	cluster->history(cluster->context, line);
}

/* ---- Store ---- */

static void
call_control(
    cluster_t *cluster, uint64_t tag, fetch_fn_t callback, const char *path)
{
	char url[512];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d%s",
	    cluster->options.port + PORT_CONTROL, path);
	fetch_send(cluster->control, "GET", url, "", 0, CALL_TIMEOUT_US, tag,
	    callback, cluster);
}

static void
ignore_reply(void *context, uint64_t tag, const fetch_reply_t *reply)
{
}

static void
start_store(cluster_t *cluster)
{
	char port[16], path[512], log[512];
	const child_hooks_t hooks = { cluster, handle_line, NULL };

	snprintf(path, sizeof(path), "%s/site", cluster->options.build);
	snprintf(log, sizeof(log), "%s/store.log", cluster->options.folder);
	snprintf(port, sizeof(port), "%d", cluster->options.port);
	cluster->store = child_start(cluster->loop,
	    (const char *const[]){ path, "--store", "--port", port, NULL }, log,
	    &hooks);
}

/* Nothing else runs yet, so this may block. */
static void
await_store(const cluster_t *cluster)
{
	char url[64];
	error_info_t error = { 0 };
	GString *reply = g_string_new(NULL);
	int status = 0;

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/stats",
	    cluster->options.port + PORT_CONTROL);
	for (int i = 0; i < STORE_TRIES && status != 200; i++) {
		g_usleep(STORE_TRY_US);
		fetch_run_blocking("GET", url, "", CALL_TIMEOUT_US, &status,
		    NULL, reply, &error);
	}
	g_string_free(reply, TRUE);
	if (status != 200) {
		fprintf(stderr, "soak: no store at %s: %s\n", url, error.text);
		exit(1); /* the children end with it */
	}
}

void
cluster_set_store(cluster_t *cluster, const char *mode, bool is_trouble)
{
	char path[64];

	cluster_trouble(cluster, is_trouble, "store");
	snprintf(path, sizeof(path), "/store?mode=%s", mode);
	call_control(cluster, 0, ignore_reply, path);
}

void
cluster_signal_store(cluster_t *cluster, int number)
{
	cluster_trouble(cluster, number == SIGSTOP, "store");
	child_signal(cluster->store, number);
}

/* ---- Configuration ---- */

static int
count_shards(const cluster_t *cluster)
{
	return cluster->leaf_count / LEAFS_A_SHARD;
}

static void
get_set(const cluster_t *cluster, char *set, size_t size)
{
	snprintf(set, size, "s%dof%d", cluster->set, count_shards(cluster));
}

static void
note_targets(cluster_t *cluster, const char *set)
{
	GString *names = g_string_new(NULL);

	for (int i = 0; i < count_shards(cluster); i++)
		g_string_append_printf(
		    names, "%s%s-%d", i > 0 ? "," : "", set, i);
	cluster_note(cluster, "targets list %s", names->str);
	cluster_note(cluster, "targets fetch %s-0", set);
	cluster_note(cluster, "targets once %s-1", set);
	cluster_note(cluster, "targets only-%d %s-2", cluster->version, set);
	g_string_free(names, TRUE);
}

/* Callers ask for the version's own route, and for the one before. */
static void
handle_configured(void *context, uint64_t tag, const fetch_reply_t *reply)
{
	cluster_t *cluster = context;
	char path[64];

	if (reply->http_status != 200)
		return;
	cluster_note(cluster, "config %d", (int)tag);
	snprintf(path, sizeof(path), "/only-%d/x\n", (int)tag);
	if (cluster->newest != NULL)
		child_write(cluster->newest, path);
	snprintf(path, sizeof(path), "/only-%d/x\n", (int)tag - 1);
	if (cluster->former != NULL)
		child_write(cluster->former, path);
}

void
cluster_change_configuration(cluster_t *cluster)
{
	char set[32], path[256];

	get_set(cluster, set, sizeof(set));
	cluster->version++;
	note_targets(cluster, set);
	cluster_note(cluster, "asked %d", cluster->version);
	snprintf(path, sizeof(path),
	    "/configuration?version=%d&set=%s&shards=%d", cluster->version, set,
	    count_shards(cluster));
	call_control(
	    cluster, (uint64_t)cluster->version, handle_configured, path);
}

/* ---- Leafs ---- */

static cluster_leaf_t *
find_leaf(cluster_t *cluster, int leaf)
{
	return &cluster->leafs[cluster->bank * cluster->leaf_count + leaf];
}

int
cluster_count_leafs(const cluster_t *cluster)
{
	return cluster->leaf_count;
}

static void
handle_leaf_ended(void *context, int status)
{
	((cluster_leaf_t *)context)->child = NULL;
}

static void
handle_leaf_line(void *context, const char *line)
{
	cluster_leaf_t *leaf = context;

	handle_line(leaf->cluster, line);
}

/* What a leaf would write into the store itself. */
static void
put_entry(
    cluster_leaf_t *leaf, const char *state, uint64_t tag, fetch_fn_t callback)
{
	char path[384];

	snprintf(path, sizeof(path),
	    "/entry?id=%s&state=%s&service=%s&address=127.0.0.1:%d&zone=%s",
	    leaf->id, state, leaf->service,
	    leaf->cluster->options.port + PORT_LEAF_PROXY + leaf->slot,
	    leaf->slot % 2 == 0 ? "zone-a" : "zone-b");
	call_control(leaf->cluster, tag, callback, path);
}

static void
lapse_entry(cluster_t *cluster, int slot, int generation)
{
	char path[128];

	/* The slot may hold its next lifetime already. */
	snprintf(path, sizeof(path), "/entry?id=i-%d.%d&state=gone", slot,
	    generation);
	call_control(cluster, 0, ignore_reply, path);
}

/* The store lost the last of what it was told: all of it is told again. */
static void
rewrite_store(cluster_t *cluster, int number, int generation)
{
	char set[32], path[256];

	get_set(cluster, set, sizeof(set));
	snprintf(path, sizeof(path),
	    "/configuration?version=%d&set=%s&shards=%d", cluster->version, set,
	    count_shards(cluster));
	call_control(cluster, 0, ignore_reply, path);
	for (int i = 0; i < 2 * cluster->leaf_count; i++) {
		cluster_leaf_t *leaf = &cluster->leafs[i];

		for (int old = 1; old <= leaf->generation; old++)
			if (old < leaf->generation || leaf->child == NULL)
				lapse_entry(cluster, leaf->slot, old);
		if (leaf->child != NULL)
			put_entry(leaf, leaf->state, 0, ignore_reply);
	}
}

void
cluster_copy_store(cluster_t *cluster)
{
	call_control(cluster, 0, ignore_reply, "/copy");
}

void
cluster_return_store(cluster_t *cluster, int64_t rewrite_us)
{
	call_control(cluster, 0, ignore_reply, "/return");
	cluster_set_store(cluster, "up", false);
	put_off(cluster, rewrite_us, rewrite_store, 0, 0);
}

static void
start_leaf(cluster_leaf_t *leaf)
{
	cluster_t *cluster = leaf->cluster;
	const cluster_options_t *options = &cluster->options;
	const child_hooks_t hooks = { leaf, handle_leaf_line,
		handle_leaf_ended };
	char path[512], port[16], text[256];

	leaf->generation++;
	leaf->is_leaving = false;
	g_strlcpy(leaf->fault, "none", sizeof(leaf->fault));
	snprintf(leaf->id, sizeof(leaf->id), "i-%d.%d", leaf->slot,
	    leaf->generation);
	snprintf(path, sizeof(path), "%s/site", options->build);
	snprintf(port, sizeof(port), "%d",
	    options->port + PORT_LEAF_CONTROL + leaf->slot);
	snprintf(text, sizeof(text), "%s,%s,%d", leaf->id, leaf->service,
	    options->port + PORT_LEAF + leaf->slot);
	leaf->child = child_start(cluster->loop,
	    (const char *const[]){ path, "--tell", "--work-ms", WORK_MS,
		"--port", port, "--leaf", text, NULL },
	    NULL, &hooks);
	leaf->state = "ready";
	put_entry(leaf, leaf->state, 0, ignore_reply);
}

static void
kill_leaf(cluster_leaf_t *leaf)
{
	if (leaf->child == NULL)
		return;
	cluster_note(leaf->cluster, "trouble %s", leaf->id);
	child_signal(leaf->child, SIGKILL);
	put_off(
	    leaf->cluster, LAPSE_US, lapse_entry, leaf->slot, leaf->generation);
}

void
cluster_kill_leaf(cluster_t *cluster, int leaf)
{
	kill_leaf(find_leaf(cluster, leaf));
}

void
cluster_start_leaf(cluster_t *cluster, int leaf)
{
	cluster_leaf_t *own = find_leaf(cluster, leaf);

	if (own->child == NULL)
		start_leaf(own);
}

static void
start_slot(cluster_t *cluster, int slot, int generation)
{
	cluster_leaf_t *leaf = &cluster->leafs[slot];

	if (leaf->child == NULL && leaf->generation == generation)
		start_leaf(leaf);
}

static void
restart_slot(cluster_t *cluster, int slot, int generation)
{
	if (slot / cluster->leaf_count == cluster->bank)
		start_slot(cluster, slot, generation);
}

static void tell_fault(cluster_t *cluster, int slot, int generation);

static void
end_drained(cluster_t *cluster, int slot, int generation)
{
	cluster_leaf_t *leaf = &cluster->leafs[slot];

	if (leaf->generation != generation)
		return;
	kill_leaf(leaf);
	if (strcmp(leaf->fault, "leaving") == 0)
		g_strlcpy(leaf->fault, "none", sizeof(leaf->fault));
	put_off(cluster, REUSE_US, restart_slot, slot, generation);
}

static void
handle_drained(void *context, uint64_t tag, const fetch_reply_t *reply)
{
	cluster_t *cluster = context;

	if (reply->http_status == 200)
		cluster_note(cluster, "drained i-%d.%d", (int)(tag >> 32),
		    (int)(uint32_t)tag);
}

static void
drain_slot(cluster_leaf_t *leaf, const char *state)
{
	uint64_t tag = (uint64_t)leaf->slot << 32 | (uint32_t)leaf->generation;

	if (leaf->child == NULL || leaf->is_leaving)
		return;
	leaf->is_leaving = true;
	leaf->state = state;
	put_entry(leaf, state, tag, handle_drained);
	put_off(leaf->cluster, leaf->cluster->options.drain_us + DRAIN_SLACK_US,
	    end_drained, leaf->slot, leaf->generation);
}

static void
drain_later(cluster_t *cluster, int slot, int generation)
{
	cluster_leaf_t *leaf = &cluster->leafs[slot];

	if (leaf->generation == generation)
		drain_slot(leaf, "draining");
}

void
cluster_drain_leaf(
    cluster_t *cluster, int leaf, bool is_silent, bool says_leaving)
{
	cluster_leaf_t *own = find_leaf(cluster, leaf);

	if (!says_leaving || own->child == NULL || own->is_leaving) {
		drain_slot(own, is_silent ? "gone" : "draining");
		return;
	}
	/* Its entry stays ready for longer than it wants requests. */
	g_strlcpy(own->fault, "leaving", sizeof(own->fault));
	own->share = 1;
	tell_fault(cluster, own->slot, own->generation);
	put_off(cluster, cluster->options.drain_us + DRAIN_SLACK_US,
	    drain_later, own->slot, own->generation);
}

/* Both are killed; each address is later used by a leaf of the other shard. */
void
cluster_swap_leafs(cluster_t *cluster, int one, int other)
{
	cluster_leaf_t *first = find_leaf(cluster, one);
	cluster_leaf_t *second = find_leaf(cluster, other);
	char service[NAME_BYTES];

	if (first == second || first->child == NULL || second->child == NULL ||
	    first->is_leaving || second->is_leaving)
		return;
	kill_leaf(first);
	kill_leaf(second);
	g_strlcpy(service, first->service, sizeof(service));
	g_strlcpy(first->service, second->service, sizeof(first->service));
	g_strlcpy(second->service, service, sizeof(second->service));
	put_off(
	    cluster, REUSE_US, restart_slot, first->slot, first->generation);
	put_off(
	    cluster, REUSE_US, restart_slot, second->slot, second->generation);
}

void
cluster_signal_leaf(cluster_t *cluster, int leaf, int number)
{
	cluster_leaf_t *own = find_leaf(cluster, leaf);

	if (own->child != NULL)
		child_signal(own->child, number);
}

void
cluster_trouble_leaf(cluster_t *cluster, int leaf, bool is_trouble)
{
	cluster_trouble(
	    cluster, is_trouble, "%s", find_leaf(cluster, leaf)->id);
}

/* A leaf that stands still takes it later. */
static void
handle_fault_told(void *context, uint64_t tag, const fetch_reply_t *reply)
{
	cluster_t *cluster = context;

	if (reply->http_status != 200)
		put_off(cluster, RETRY_US, tell_fault, (int)(tag >> 32),
		    (int)(uint32_t)tag);
}

static void
tell_fault(cluster_t *cluster, int slot, int generation)
{
	const cluster_leaf_t *leaf = &cluster->leafs[slot];
	char url[256];

	if (leaf->child == NULL || leaf->generation != generation)
		return;
	snprintf(url, sizeof(url),
	    "http://127.0.0.1:%d/fault?leaf=all&kind=%s&share=%.2f&value=%s",
	    cluster->options.port + PORT_LEAF_CONTROL + slot, leaf->fault,
	    leaf->share, strcmp(leaf->fault, "ask-time") == 0 ? "3" : "1");
	fetch_send(cluster->faults, "GET", url, "", 0, FAULT_TIMEOUT_US,
	    (uint64_t)slot << 32 | (uint32_t)generation, handle_fault_told,
	    cluster);
}

void
cluster_set_leaf_fault(
    cluster_t *cluster, int leaf, const char *fault, double share)
{
	cluster_leaf_t *own = find_leaf(cluster, leaf);

	cluster_trouble(cluster, strcmp(fault, "none") != 0, "%s", own->id);
	g_strlcpy(own->fault, fault, sizeof(own->fault));
	own->share = share;
	tell_fault(cluster, own->slot, own->generation);
}

/* The services of one bank, for the set that is in force next. */
static void
start_bank(cluster_t *cluster, int bank, const char *set)
{
	for (int i = 0; i < cluster->leaf_count; i++) {
		cluster_leaf_t *leaf =
		    &cluster->leafs[bank * cluster->leaf_count + i];

		snprintf(leaf->service, sizeof(leaf->service), "%s-%d", set,
		    i / LEAFS_A_SHARD);
		put_off(cluster, i * START_US, start_slot, leaf->slot,
		    leaf->generation);
	}
}

static void
finish_repartition(cluster_t *cluster, int number, int generation)
{
	cluster->is_repartitioning = false;
}

/* The old set drains once the version that left it is due everywhere. */
static void
drain_bank(cluster_t *cluster, int bank, int generation)
{
	for (int i = 0; i < cluster->leaf_count; i++)
		drain_slot(&cluster->leafs[bank * cluster->leaf_count + i],
		    "draining");
	put_off(cluster, cluster->options.drain_us + DRAIN_SLACK_US + REUSE_US,
	    finish_repartition, 0, 0);
}

static void
change_bank(cluster_t *cluster, int bank, int generation)
{
	int before = cluster->bank;

	cluster->bank = bank;
	cluster->set++;
	cluster_change_configuration(cluster);
	put_off(cluster, cluster->options.apply_us + DRAIN_SLACK_US, drain_bank,
	    before, 0);
}

void
cluster_repartition(cluster_t *cluster)
{
	int bank = 1 - cluster->bank;
	char set[32];

	if (cluster->is_repartitioning)
		return;
	cluster->is_repartitioning = true;
	snprintf(set, sizeof(set), "s%dof%d", cluster->set + 1,
	    count_shards(cluster));
	start_bank(cluster, bank, set);
	put_off(cluster, REPARTITION_US + cluster->leaf_count * START_US,
	    change_bank, bank, 0);
}

/* ---- VMs ---- */

static void
set_down(cluster_vm_t *vm, bool is_down)
{
	if (vm->is_down == is_down)
		return;
	vm->is_down = is_down;
	if (!is_down)
		cluster_note(vm->cluster, "started vm-%d", vm->number);
	cluster_note(
	    vm->cluster, "%s vm-%d", is_down ? "trouble" : "calm", vm->number);
}

static void
restart_vm(cluster_t *cluster, int vm, int generation)
{
	cluster_start_vm(cluster, vm);
}

static void
handle_vm_ended(void *context, int status)
{
	cluster_vm_t *vm = context;
	bool is_clean = WIFEXITED(status) && WEXITSTATUS(status) == 0;

	vm->child = NULL;
	if (!vm->is_down && !(vm->is_stopping && is_clean))
		cluster_note(vm->cluster, "crashed vm-%d %s-%d", vm->number,
		    WIFEXITED(status) ? "exit" : "signal",
		    WIFEXITED(status) ? WEXITSTATUS(status) : WTERMSIG(status));
	if (!vm->is_down || vm->is_stopping)
		put_off(vm->cluster, RESTART_US, restart_vm, vm->number - 1, 0);
	set_down(vm, true);
}

static void
write_settings(const cluster_vm_t *vm, const char *path)
{
	const cluster_options_t *options = &vm->cluster->options;
	int port = options->port + PORT_VM + 3 * (vm->number - 1);
	char place = vm->number % 2 == 1 ? 'a' : 'b';
	FILE *file = fopen(path, "w");

	if (file == NULL) {
		fprintf(stderr, "soak: cannot write %s\n", path);
		exit(1);
	}
	fprintf(file,
	    "id: vm-%d\nzone: zone-%c\nregion: region-%c\nprotocol: objects\n"
	    "callers: 127.0.0.1:%d\nready: 127.0.0.1:%d\n"
	    "metrics: 127.0.0.1:%d\nplatform: 127.0.0.1:%d\n"
	    "peers: 127.0.0.1:%d\n"
	    "retry_ratio: %g\nretry_slack: %g\nretry_window_s: %g\n"
	    "drain_ms: %d\napply_ms: %d\nstop_s: %g\n"
	    "zones:\n  zone-a: region-a\n  zone-b: region-b\n",
	    vm->number, place, place, port, port + 1, port + 2,
	    options->port + PORT_STORE_PROXY + vm->number - 1,
	    options->port + PORT_VM_PEERS + vm->number - 1,
	    options->retry_ratio, options->retry_slack,
	    (double)options->retry_window_us / 1e6,
	    (int)(options->drain_us / 1000), (int)(options->apply_us / 1000),
	    (double)options->stop_us / 1e6);
	fclose(file);
}

void
cluster_start_vm(cluster_t *cluster, int number)
{
	cluster_vm_t *vm = &cluster->vms[number];
	const child_hooks_t hooks = { vm, handle_line, handle_vm_ended };
	char program[512], settings[512], log[512];

	if (vm->child != NULL)
		return;
	snprintf(program, sizeof(program), "%s/%s", cluster->options.build,
	    cluster->options.program);
	snprintf(settings, sizeof(settings), "%s/vm-%d.yaml",
	    cluster->options.folder, vm->number);
	snprintf(log, sizeof(log), "%s/vm-%d.log", cluster->options.folder,
	    vm->number);
	write_settings(vm, settings);
	vm->is_stopping = false;
	vm->child = child_start(cluster->loop,
	    (const char *const[]){
		program, "tier", "--settings", settings, NULL },
	    log, &hooks);
	set_down(vm, false);
}

void
cluster_kill_vm(cluster_t *cluster, int number)
{
	cluster_vm_t *vm = &cluster->vms[number];

	if (vm->child == NULL)
		return;
	set_down(vm, true);
	vm->is_stopping = false;
	child_signal(vm->child, SIGKILL);
}

/* The platform kills what has not ended within its grace time. */
static void
kill_stopping(cluster_t *cluster, int number, int generation)
{
	cluster_vm_t *vm = &cluster->vms[number];

	if (vm->child == NULL || !vm->is_stopping)
		return;
	cluster_note(cluster, "overran vm-%d", vm->number);
	set_down(vm, true);
	child_signal(vm->child, SIGKILL);
}

void
cluster_stop_vm(cluster_t *cluster, int number)
{
	cluster_vm_t *vm = &cluster->vms[number];

	if (vm->child == NULL || vm->is_stopping || vm->is_down)
		return;
	vm->is_stopping = true;
	child_signal(vm->child, SIGTERM);
	put_off(cluster, cluster->options.stop_us, kill_stopping, number, 0);
}

void
cluster_signal_vm(cluster_t *cluster, int number, int signal_number)
{
	cluster_vm_t *vm = &cluster->vms[number];

	if (vm->child != NULL)
		child_signal(vm->child, signal_number);
}

int
cluster_count_vms(const cluster_t *cluster)
{
	return cluster->options.vms;
}

proxy_t *
cluster_get_proxy(cluster_t *cluster, cluster_way_t way, int number)
{
	if (way == WAY_LEAF)
		return find_leaf(cluster, number)->proxy;
	return way == WAY_STORE ? cluster->vms[number].store
				: cluster->vms[number].callers;
}

/* ---- Callers ---- */

static child_t *
start_caller(cluster_t *cluster, const char *name, const char *path,
    double share, double leave, double seconds)
{
	const child_hooks_t hooks = { cluster, handle_line, NULL };
	const cluster_options_t *options = &cluster->options;
	GString *targets = g_string_new(NULL);
	char program[512], rate[32], time[32], left[32], seed[32];
	child_t *child;

	for (int i = 0; i < options->vms; i++)
		g_string_append_printf(targets, "%s127.0.0.1:%d",
		    i > 0 ? "," : "", options->port + PORT_VM_PROXY + i);
	snprintf(program, sizeof(program), "%s/caller", options->build);
	snprintf(rate, sizeof(rate), "%g", options->rate * share);
	snprintf(time, sizeof(time), "%g", seconds);
	snprintf(left, sizeof(left), "%g", leave);
	snprintf(seed, sizeof(seed), "%d", (int)(options->seed % 1000000));
	child = child_start(cluster->loop,
	    (const char *const[]){ program, "--tell", "--targets", targets->str,
		"--name", name, "--path", path, "--rate", rate, "--seconds",
		time, "--leave", left, "--seed", seed, "--shards",
		strcmp(name, "list") == 0 ? "1" : "0", NULL },
	    NULL, &hooks);
	g_string_free(targets, TRUE);
	return child;
}

void
cluster_begin_calls(cluster_t *cluster, double seconds)
{
	char path[64];

	start_caller(cluster, "list", "/list/x", 0.5, LEAVE_SHARE, seconds);
	start_caller(cluster, "fetch", "/fetch/x", 0.15, LEAVE_SHARE, seconds);
	start_caller(cluster, "once", "/once/x", 0.15, 0, seconds);
	snprintf(path, sizeof(path), "/only-%d/x", cluster->version);
	cluster->newest =
	    start_caller(cluster, "newest", path, 0.1, 0, seconds);
	cluster->former =
	    start_caller(cluster, "former", path, 0.1, 0, seconds);
}

/* ---- All of it ---- */

static void
begin_vm(cluster_t *cluster, int number)
{
	cluster_vm_t *vm = &cluster->vms[number];
	int port = cluster->options.port;

	vm->cluster = cluster;
	vm->number = number + 1;
	vm->is_down = true;
	vm->callers = proxy_create(cluster->loop, port + PORT_VM_PROXY + number,
	    port + PORT_VM + 3 * number);
	vm->store = proxy_create(
	    cluster->loop, port + PORT_STORE_PROXY + number, port + PORT_STORE);
	cluster_note(cluster, "trouble vm-%d", vm->number);
	cluster_start_vm(cluster, number);
}

static void
begin_leafs(cluster_t *cluster)
{
	char set[32];

	cluster->leaf_count = cluster->options.shards * LEAFS_A_SHARD;
	for (int i = 0; i < 2 * cluster->leaf_count; i++) {
		cluster_leaf_t *leaf = &cluster->leafs[i];

		leaf->cluster = cluster;
		leaf->slot = i;
		leaf->proxy = proxy_create(cluster->loop,
		    cluster->options.port + PORT_LEAF_PROXY + i,
		    cluster->options.port + PORT_LEAF + i);
	}
	get_set(cluster, set, sizeof(set));
	start_bank(cluster, 0, set);
}

cluster_t *
cluster_create(loop_t *loop, const cluster_options_t *options,
    history_fn_t history, void *context)
{
	cluster_t *cluster = g_new0(cluster_t, 1);

	cluster->loop = loop;
	cluster->options = *options;
	cluster->history = history;
	cluster->context = context;
	cluster->laters = g_array_new(FALSE, FALSE, sizeof(later_t));
	cluster->control = fetch_create(loop, 65536, 1); /* keeps the order */
	cluster->faults = fetch_create(loop, 65536, 64);
	start_store(cluster);
	await_store(cluster);
	begin_leafs(cluster);
	cluster_change_configuration(cluster);
	for (int i = 0; i < options->vms; i++)
		begin_vm(cluster, i);
	return cluster;
}

void
cluster_destroy(cluster_t *cluster)
{
	children_end_all();
	fetch_destroy(cluster->control);
	fetch_destroy(cluster->faults);
	for (int i = 0; i < cluster->options.vms; i++) {
		proxy_destroy(cluster->vms[i].callers);
		proxy_destroy(cluster->vms[i].store);
	}
	for (int i = 0; i < 2 * cluster->leaf_count; i++)
		proxy_destroy(cluster->leafs[i].proxy);
	g_array_unref(cluster->laters);
	g_free(cluster);
}
