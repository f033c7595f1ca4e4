/* Cells about tasks: leases, evictions, changes of owner. */
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/cell.h"

/* 2: the owner is frozen past its lease, a successor acts, it thaws. */
void p2_frozen_sched(struct cell_run *c)
{
	int vm;

	cell_start(c, 3, 1, 2, NULL, FAST_LEASES);
	cell_submit(c, "a", 60, 4000, 900);
	hx_sleep_ms(500);
	for (int i = 0; i < 2; i++) {
		vm = cell_holder(c);
		hx_signal(c->x, HX_SCHED, vm, SIGSTOP);
		hx_sleep_ms(4000);
		c->took_effect = cell_held_by_other(c, vm);
		hx_signal(c->x, HX_SCHED, vm, SIGCONT);
		hx_sleep_ms(500);
	}
	cell_expect_batch(c, 60, 40000);
}

static void block_worker(struct cell_run *c, int vm, int d, int i, bool block)
{
	hx_proxy(c->x, "rule",
		 "{\"from\":\"%s\",\"to\":\"127.0.0.1:%d\",\"block\":%s}",
		 c->x->vm_ip[vm], c->x->worker_port[d] + i,
		 block ? "true" : "false");
}

/*
 * The owner `vm` reaches only the workers of domain 0, the others only
 * those of the other domains: none tells either of the other's epoch.
 */
static void split_workers(struct cell_run *c, int vm, bool block)
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
 * 2: the owner is cut from the store but still renews at workers that
 * its successor cannot reach.
 */
void p2_split_owner(struct cell_run *c)
{
	int vm;

	cell_start(c, 3, 1, 2, NULL, FAST_LEASES);
	cell_submit(c, "a", 30, 4000, 12000);
	hx_sleep_ms(1500);
	vm = cell_holder(c);
	block_store(c, vm, true);
	split_workers(c, vm, true);
	hx_sleep_ms(5000);
	c->took_effect = cell_held_by_other(c, vm);
	hx_sleep_ms(9000);
	block_store(c, vm, false);
	split_workers(c, vm, false);
	cell_expect_batch(c, 30, 60000);
}

/* 2: workers are paused while their leases lapse. */
void p2_paused_workers(struct cell_run *c)
{
	cell_start(c, 2, 1, 2, NULL, FAST_LEASES);
	cell_submit(c, "a", 40, 4000, 2500);
	hx_sleep_ms(1500);
	hx_signal_pid(c->x->workers[0], SIGSTOP);
	hx_sleep_ms(6000);
	hx_signal_pid(c->x->workers[0], SIGCONT);
	c->took_effect = hx_ledger(c->x, 0, "lost", NULL) > 0;
	cell_expect_batch(c, 40, 40000);
}

/* 2, 1: running tasks outlive a store outage longer than their leases. */
void p2_store_outage(struct cell_run *c)
{
	struct hx_worker_log w;

	cell_start(c, 2, 1, 2, NULL,
		   "\"worker_lease_ms\":2000,\"worker_sync_ms\":200");
	cell_submit(c, "a", 12, 4000, 9000);
	hx_sleep_ms(1500);
	json_decref(hx_platform(c->x, "{\"mode\":\"down\"}"));
	hx_sleep_ms(6000);
	c->took_effect = true;
	json_decref(hx_platform(c->x, "{\"mode\":\"up\"}"));
	cell_expect_batch(c, 12, 30000);
	w = hx_read_worker_logs(c->x);
	if (w.lapsed || w.starts != 12)
		cell_fail(c,
			  "%" PRId64 " lapsed, %" PRId64 " starts of 12 tasks",
			  w.lapsed, w.starts);
}

/* 1: schedulers change hands while tasks run and new ones start. */
void p1_sched_handover(struct cell_run *c)
{
	cell_start(c, 3, 1, 2, NULL, FAST_LEASES);
	cell_submit(c, "a", 120, 5000, 700);
	for (int i = 0; i < 4; i++) {
		int vm = cell_holder(c);

		hx_sleep_ms(700);
		hx_signal(c->x, HX_SCHED, vm, i % 2 ? SIGKILL : SIGTERM);
		hx_reap(c->x, HX_SCHED, vm);
		c->took_effect = true;
		hx_sleep_ms(1800);
		hx_spawn(c->x, HX_SCHED, vm);
		hx_sleep_ms(1000);
	}
	cell_expect_batch(c, 120, 60000);
}

/* 3: schedulers die while a domain's work is evicted and resumed. */
void p3_kill_in_eviction(struct cell_run *c)
{
	cell_start(c, 3, 1, 2, NULL, FAST_LEASES);
	cell_submit(c, "a", 24, 4000, 12000);
	hx_sleep_ms(1200);
	for (int i = 0; i < 3; i++) {
		int vm = cell_holder(c);

		cell_set_domain(c, i % HX_DOMAINS, "out");
		hx_sleep_ms(100 + 100 * i);
		hx_signal(c->x, HX_SCHED, vm, SIGKILL);
		hx_reap(c->x, HX_SCHED, vm);
		hx_spawn(c->x, HX_SCHED, vm);
		hx_sleep_ms(5000);
		cell_set_domain(c, i % HX_DOMAINS, "in");
	}
	cell_expect_batch(c, 24, 60000);
	c->took_effect = hx_read_worker_logs(c->x).evicted > 0;
}

/* 3: answers of the store are lost while work is evicted and resumed. */
void p3_lost_answers(struct cell_run *c)
{
	cell_start(c, 2, 1, 2, NULL, FAST_LEASES);
	/* They run through all rounds, whenever a scheduler polls. */
	cell_submit(c, "a", 40, 4000, 8000);
	hx_sleep_ms(1000);
	for (int i = 0; i < 4; i++) {
		cell_set_domain(c, i % HX_DOMAINS, "out");
		json_decref(
			hx_platform(c->x, "{\"mode\":\"lose\",\"count\":8}"));
		hx_sleep_ms(1200);
		json_decref(hx_platform(c->x, "{\"mode\":\"up\"}"));
		cell_set_domain(c, i % HX_DOMAINS, "in");
	}
	cell_expect_batch(c, 40, 60000);
	c->took_effect = hx_read_worker_logs(c->x).evicted > 0;
}
