/* Cells about batch tasks: leases, evictions, changes of the shard's owner. */
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/cell.h"

/*
 * Promise 2: the shard's owner is stopped by SIGSTOP until its lease has
 * expired and a successor runs the shard; then it continues. No task may run
 * twice at the same time.
 */
void p2_paused_sched(struct cell_run *c)
{
	int vm;

	cell_start(c, 3, 1, 2, NULL, FAST_LEASES);
	cell_submit_job(c, "a", 60, 4000, 900);
	hx_sleep_ms(500);
	for (int i = 0; i < 2; i++) {
		vm = cell_shard_owner(c);
		hx_signal(c->x, HX_SCHED, vm, SIGSTOP);
		hx_sleep_ms(4000);
		c->fault_effective = cell_owned_by_other(c, vm);
		hx_signal(c->x, HX_SCHED, vm, SIGCONT);
		hx_sleep_ms(500);
	}
	cell_expect_tasks_done(c, 60, 40000);
}

static void block_worker(struct cell_run *c, int vm, int d, int i, bool block)
{
	hx_proxy(c->x, "rule",
		 "{\"from\":\"%s\",\"to\":\"127.0.0.1:%d\",\"block\":%s}",
		 c->x->vm_ip[vm], c->x->worker_port[d] + i,
		 block ? "true" : "false");
}

/*
 * Lets the owner `vm` reach only the workers of domain 0, and all other VMs
 * only those of the other domains. So neither owner learns the other's epoch
 * from a worker.
 */
static void set_worker_partition(struct cell_run *c, int vm, bool block)
{
	for (int from = 0; from < c->x->opt.vms; from++) {
		for (int d = 0; d < HX_DOMAINS; d++) {
			for (int i = 0; i < c->x->opt.workers; i++) {
				if ((from == vm) != (d == 0))
					block_worker(c, from, d, i, block);
			}
		}
	}
}

static void block_store(struct cell_run *c, int vm, bool block)
{
	hx_proxy(c->x, "rule",
		 "{\"from\":\"%s\",\"to\":\"127.0.0.1:%d\",\"block\":%s}",
		 c->x->vm_ip[vm], c->x->platform_port,
		 block ? "true" : "false");
}

/*
 * Promise 2: the owner loses the store but still renews leases at workers
 * that its successor can't reach.
 */
void p2_partitioned_owner(struct cell_run *c)
{
	int vm;

	cell_start(c, 3, 1, 2, NULL, FAST_LEASES);
	cell_submit_job(c, "a", 30, 4000, 12000);
	hx_sleep_ms(1500);
	vm = cell_shard_owner(c);
	block_store(c, vm, true);
	set_worker_partition(c, vm, true);
	hx_sleep_ms(5000);
	c->fault_effective = cell_owned_by_other(c, vm);
	hx_sleep_ms(9000);
	block_store(c, vm, false);
	set_worker_partition(c, vm, false);
	cell_expect_tasks_done(c, 30, 60000);
}

/* Promise 2: the first worker process is stopped until its leases expire. */
void p2_paused_workers(struct cell_run *c)
{
	cell_start(c, 2, 1, 2, NULL, FAST_LEASES);
	cell_submit_job(c, "a", 40, 4000, 2500);
	hx_sleep_ms(1500);
	hx_signal_pid(c->x->workers[0], SIGSTOP);
	hx_sleep_ms(6000);
	hx_signal_pid(c->x->workers[0], SIGCONT);
	c->fault_effective = hx_ledger(c->x, 0, "lost", NULL) > 0;
	cell_expect_tasks_done(c, 40, 40000);
}

/*
 * Promises 2 and 1: running tasks survive a store outage that is longer than
 * their leases.
 */
void p2_store_outage(struct cell_run *c)
{
	struct hx_worker_log w;

	cell_start(c, 2, 1, 2, NULL,
		   "\"worker_lease_ms\":2000,\"worker_sync_ms\":200");
	cell_submit_job(c, "a", 12, 4000, 9000);
	hx_sleep_ms(1500);
	json_decref(hx_platform(c->x, "{\"mode\":\"down\"}"));
	hx_sleep_ms(6000);
	c->fault_effective = true;
	json_decref(hx_platform(c->x, "{\"mode\":\"up\"}"));
	cell_expect_tasks_done(c, 12, 30000);
	w = hx_read_worker_logs(c->x);
	if (w.lapsed || w.starts != 12)
		cell_fail(c,
			  "%" PRId64 " leases expired, %" PRId64
			  " starts of 12 tasks",
			  w.lapsed, w.starts);
}

/*
 * Promise 1: the shard changes its owner, by SIGTERM and SIGKILL in turn, while
 * tasks run and new ones start.
 */
void p1_sched_handover(struct cell_run *c)
{
	cell_start(c, 3, 1, 2, NULL, FAST_LEASES);
	cell_submit_job(c, "a", 120, 5000, 700);
	for (int i = 0; i < 4; i++) {
		int vm = cell_shard_owner(c);

		hx_sleep_ms(700);
		hx_signal(c->x, HX_SCHED, vm, i % 2 ? SIGKILL : SIGTERM);
		hx_reap(c->x, HX_SCHED, vm);
		c->fault_effective = true;
		hx_sleep_ms(1800);
		hx_spawn(c->x, HX_SCHED, vm);
		hx_sleep_ms(1000);
	}
	cell_expect_tasks_done(c, 120, 60000);
}

/* Promise 3: owners are killed while a domain's tasks are evicted, resumed. */
void p3_kill_in_eviction(struct cell_run *c)
{
	cell_start(c, 3, 1, 2, NULL, FAST_LEASES);
	cell_submit_job(c, "a", 24, 4000, 12000);
	hx_sleep_ms(1200);
	for (int i = 0; i < 3; i++) {
		int vm = cell_shard_owner(c);

		cell_set_domain(c, i % HX_DOMAINS, "out");
		hx_sleep_ms(100 + 100 * i);
		hx_signal(c->x, HX_SCHED, vm, SIGKILL);
		hx_reap(c->x, HX_SCHED, vm);
		hx_spawn(c->x, HX_SCHED, vm);
		hx_sleep_ms(5000);
		cell_set_domain(c, i % HX_DOMAINS, "in");
	}
	cell_expect_tasks_done(c, 24, 60000);
	c->fault_effective = hx_read_worker_logs(c->x).evicted > 0;
}

/* Promise 3: the store's responses are lost during eviction and resumption. */
void p3_lost_answers(struct cell_run *c)
{
	cell_start(c, 2, 1, 2, NULL, FAST_LEASES);
	/* Long enough to run in every round, whenever a scheduler polls. */
	cell_submit_job(c, "a", 40, 4000, 8000);
	hx_sleep_ms(1000);
	for (int i = 0; i < 4; i++) {
		cell_set_domain(c, i % HX_DOMAINS, "out");
		json_decref(
			hx_platform(c->x, "{\"mode\":\"lose\",\"count\":8}"));
		hx_sleep_ms(1200);
		json_decref(hx_platform(c->x, "{\"mode\":\"up\"}"));
		cell_set_domain(c, i % HX_DOMAINS, "in");
	}
	cell_expect_tasks_done(c, 40, 60000);
	c->fault_effective = hx_read_worker_logs(c->x).evicted > 0;
}
