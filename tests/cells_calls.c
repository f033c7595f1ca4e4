/* Cells about requests: claims, slots, responses, targets that leave. */
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/cell.h"

/* Sends a request from a child process; returns its pid. */
static pid_t call_in_background(struct cell_run *c, int vm, const char *id,
				const char *body)
{
	pid_t pid;

	fflush(stdout);
	pid = fork();
	if (pid)
		return pid;
	struct hx_response a = hx_call(c->x, vm, "relay", id, 1, 6000, body);

	hx_response_free(&a);
	_exit(0);
}

/*
 * Promise 7: the caller repeats a request at another entry while the entry
 * that dispatched it is stopped by SIGSTOP. It may start only once.
 */
void p7_paused_entry(struct cell_run *c)
{
	struct hx_response a;
	pid_t first;

	cell_start(c, 3, 2, 0, NULL, NULL);
	first = call_in_background(c, 0, "once", "{\"work_us\":1500000}");
	c->fault_effective =
		hx_wait_until(cell_request_started, c->x, (void *)"once", 5000);
	hx_signal(c->x, HX_ENTRY, 0, SIGSTOP);
	a = hx_call(c->x, 1, "relay", "once", 2, 3000, "{\"work_us\":1000}");
	if (a.status == 200 || !strcmp(a.outcome, "not_run"))
		cell_fail(c, "the repeated request was %s", a.outcome);
	hx_response_free(&a);
	hx_signal(c->x, HX_ENTRY, 0, SIGCONT);
	waitpid(first, NULL, 0);
	cell_expect_starts(c, "once", 1, 1);
}

/*
 * Promise 7: the first entry is stopped by SIGSTOP while its claim is on the
 * way to the store; the caller repeats the request at another entry.
 */
void p7_paused_in_claim(struct cell_run *c)
{
	struct hx_response a;
	pid_t first;

	cell_start(c, 3, 2, 0, NULL, NULL);
	json_decref(hx_platform(c->x, "{\"delay_ms\":400}"));
	first = call_in_background(c, 0, "once", "{\"work_us\":1000}");
	hx_sleep_ms(150);
	hx_signal(c->x, HX_ENTRY, 0, SIGSTOP);
	c->fault_effective = !cell_request_started(c->x, (void *)"once");
	hx_sleep_ms(1000);
	json_decref(hx_platform(c->x, "{\"delay_ms\":0}"));
	a = hx_call(c->x, 1, "relay", "once", 2, 3000, "{\"work_us\":1000}");
	hx_response_free(&a);
	hx_signal(c->x, HX_ENTRY, 0, SIGCONT);
	waitpid(first, NULL, 0);
	hx_sleep_ms(500);
	cell_expect_starts(c, "once", 0, 1);
}

/* Promise 7: the store commits claims, but its responses are lost. */
void p7_lost_claims(struct cell_run *c)
{
	json_t *j;

	cell_start(c, 3, 4, 0, NULL, NULL);
	cell_start_load(c, 4000, RELAY_LOAD(60000, 5000, 3));
	for (int i = 0; i < 6; i++) {
		hx_sleep_ms(600);
		j = hx_platform(c->x, "{\"mode\":\"lose\",\"count\":5}");
		c->fault_effective |= j != NULL;
		json_decref(j);
	}
	hx_sleep_ms(500);
	json_decref(hx_platform(c->x, "{\"mode\":\"up\"}"));
	cell_finish_load(c, false);
}

/* Promise 7: the scheduler that holds the claims is killed; callers retry. */
void p7_kill_sched(struct cell_run *c)
{
	cell_start(c, 3, 4, 0, NULL, NULL);
	cell_start_load(c, 8000, RELAY_LOAD(60000, 5000, 3));
	hx_sleep_ms(1500);
	for (int vm = 0; vm < 2; vm++) {
		hx_signal(c->x, HX_SCHED, vm, SIGKILL);
		hx_reap(c->x, HX_SCHED, vm);
		hx_spawn(c->x, HX_SCHED, vm);
		c->fault_effective = true;
		hx_sleep_ms(2000);
	}
	cell_finish_load(c, false);
}

/* Promise 7: connections to targets are closed while requests run on them. */
void p7_cut_targets(struct cell_run *c)
{
	cell_start(c, 3, 4, 0, NULL, NULL);
	cell_start_load(c, 4000, RELAY_LOAD(80000, 30000, 1));
	for (int i = 0; i < 10; i++) {
		hx_sleep_ms(350);
		for (int d = 0; d < HX_DOMAINS; d++) {
			for (int t = 0; t < 4; t++)
				c->fault_effective |=
					hx_proxy(c->x, "cut",
						 "{\"to\":\"127.0.0.1:%d\"}",
						 c->x->target_port[d] + t) > 0;
		}
	}
	cell_finish_load(c, false);
}

/* Promise 6: load far above capacity; a refused request must not have run. */
void p6_overload(struct cell_run *c)
{
	struct load_result r;

	cell_start(c, 3, 1, 0, NULL, NULL);
	cell_start_load(c, 3000, RELAY_LOAD(1200000, 100000, 1));
	r = cell_finish_load(c, false);
	c->fault_effective = r.outcomes[1] > 0;
}

/* Promises 6 and 1: owners of groups are killed under load. */
void p6_kill_entry(struct cell_run *c)
{
	cell_start(c, 4, 2, 0, "\"groups_per_domain\":1", NULL);
	cell_start_load(c, 9000, RELAY_LOAD(60000, 300000, 1));
	for (int vm = 0; vm < 2; vm++) {
		hx_sleep_ms(1500);
		hx_signal(c->x, HX_ENTRY, vm, SIGKILL);
		hx_reap(c->x, HX_ENTRY, vm);
		c->fault_effective = true;
		hx_sleep_ms(1500);
		hx_spawn(c->x, HX_ENTRY, vm);
	}
	cell_finish_load(c, false);
}

/* Promise 6: connections between entries are closed repeatedly. */
void p6_cut_peers(struct cell_run *c)
{
	cell_start(c, 3, 3, 0, NULL, NULL);
	cell_start_load(c, 5000, RELAY_LOAD(60000, 30000, 1));
	for (int i = 0; i < 8; i++) {
		hx_sleep_ms(500);
		c->fault_effective |=
			hx_proxy(c->x, "cut", "{\"to\":\"%s:%d\"}",
				 c->x->vm_ip[i % 3],
				 c->x->peer_port[HX_ENTRY][i % 3]) > 0;
	}
	cell_finish_load(c, false);
}

/* Promise 6: the store is unavailable for 6 s. */
void p6_store_down(struct cell_run *c)
{
	struct load_result r;

	cell_start(c, 3, 3, 0, NULL, NULL);
	cell_start_load(c, 9500, RELAY_LOAD(60000, 20000, 1));
	hx_sleep_ms(1000);
	json_decref(hx_platform(c->x, "{\"mode\":\"down\"}"));
	hx_sleep_ms(6000);
	json_decref(hx_platform(c->x, "{\"mode\":\"up\"}"));
	r = cell_finish_load(c, false);
	c->fault_effective = r.outcomes[0] < r.sent;
}

/*
 * Promise 1: the owner of a group with no free slot is killed while the
 * targets go on with its requests. The new owner must not overfill the slots.
 */
static void kill_owners(struct cell_run *c, bool two)
{
	struct hx_target_log log;
	int64_t end_ms;

	/* Takeover takes less time than the requests that still run. */
	cell_start(c, 4, 1, 0,
		   "\"groups_per_domain\":1,\"heartbeat_ms\":100,"
		   "\"permit_ms\":400,\"silence_ms\":400,\"expel_ms\":600,"
		   "\"poll_ms\":100",
		   NULL);
	cell_start_load(c, 10000,
			"{\"service\":\"relay\",\"idempotent\":false,"
			"\"rate_milli\":16000,\"work_us\":4000000,"
			"\"deadline_ms\":7000}");
	hx_sleep_ms(2500);
	/* The only member of its domain owns the group there. */
	hx_signal(c->x, HX_ENTRY, 2, SIGKILL);
	hx_reap(c->x, HX_ENTRY, 2);
	if (two) {
		hx_signal(c->x, HX_ENTRY, 0, SIGKILL);
		hx_reap(c->x, HX_ENTRY, 0);
	}
	c->fault_effective = true;
	end_ms = hx_now_ms();
	cell_finish_load(c, false);
	log = hx_read_target_logs(c->x);
	if (log.last_start_us[2] / 1000 < end_ms)
		cell_fail(c, "no entry took over the group");
	hx_target_log_free(&log);
}

void p1_kill_owner(struct cell_run *c)
{
	kill_owners(c, false);
}

void p1_kill_two(struct cell_run *c)
{
	kill_owners(c, true);
}

/*
 * Promise 1: connections to busy targets are closed. An HTTP client may resend
 * a request by itself when a reused connection closes.
 */
void p1_cut_targets(struct cell_run *c)
{
	cell_start(c, 3, 2, 0, NULL, NULL);
	cell_start_load(c, 5000, MATCH_LOAD(100000, 300000));
	for (int i = 0; i < 12; i++) {
		hx_sleep_ms(350);
		for (int d = 0; d < HX_DOMAINS; d++)
			c->fault_effective |=
				hx_proxy(c->x, "cut",
					 "{\"to\":\"127.0.0.1:%d\"}",
					 c->x->target_port[d] + i % 2) > 0;
	}
	cell_finish_load(c, true);
}

/* Promise 5: open connections drop all data from now on; new ones work. */
void p5_silent_connections(struct cell_run *c)
{
	struct load_result r;

	cell_start(c, 3, 3, 0, NULL, NULL);
	cell_start_load(
		c, 10000,
		MATCH_LOAD(100000, 5000) "," RELAY_LOAD(20000, 5000, 1));
	for (int i = 0; i < 3; i++) {
		hx_sleep_ms(2000);
		c->fault_effective |=
			hx_proxy(c->x, "silence", "{\"way\":\"%s\"}",
				 i == 0	  ? "up"
				 : i == 1 ? "down"
					  : "both") > 0;
	}
	r = cell_finish_load(c, true);
	if (r.outcomes[0] * 100 < r.sent * 80)
		cell_fail(c, "only %" PRId64 " of %" PRId64 " answered",
			  r.outcomes[0], r.sent);
}

/* Promise 5: a target responds with the id of another request. */
void p5_swapped_response(struct cell_run *c)
{
	struct hx_target_log log;
	struct hx_response a;

	cell_start(c, 3, 1, 0, NULL, NULL);
	for (int vm = 0; vm < 3; vm++) {
		a = hx_call(c->x, vm, "match", NULL, 1, 2000,
			    "{\"crossed\":true}");
		if (a.status == 200)
			cell_fail(c,
				  "another request's response was passed on");
		hx_response_free(&a);
	}
	log = hx_read_target_logs(c->x);
	c->fault_effective = log.starts > 0;
	hx_target_log_free(&log);
}

static void set_block_rule(struct cell_run *c, const char *from, const char *to,
			   bool block)
{
	c->fault_effective |= hx_proxy(c->x, "rule",
				       "{\"from\":\"%s\",\"to\":\"%s\","
				       "\"block\":%s}",
				       from, to, block ? "true" : "false") > 0;
}

/*
 * Blocks or unblocks the network between the regions Chiang Mai (domain 2) and
 * Bangkok (domains 0 and 1, and the store).
 */
static void set_partition(struct cell_run *c, bool block)
{
	char to[64];

	snprintf(to, sizeof(to), "127.0.0.1:%d", c->x->platform_port);
	set_block_rule(c, "127.3.1.*", to, block);
	set_block_rule(c, "127.3.1.*", "127.[12].1.*:*", block);
	set_block_rule(c, "127.[12].1.*", "127.3.1.*:*", block);
	for (int d = 0; d < HX_DOMAINS; d++) {
		for (int i = 0; i < c->x->opt.targets; i++) {
			snprintf(to, sizeof(to), "127.0.0.1:%d",
				 c->x->target_port[d] + i);
			set_block_rule(c, d == 2 ? "127.[12].1.*" : "127.3.1.*",
				       to, block);
		}
	}
}

/* Promises 6, 7 and 1: a network partition between regions under load. */
void p6_region_partition(struct cell_run *c)
{
	cell_start(c, 6, 2, 0, NULL, NULL);
	cell_start_load(c, 24000, RELAY_LOAD(60000, 300000, 2));
	hx_sleep_ms(3000);
	set_partition(c, true);
	hx_sleep_ms(10000);
	set_partition(c, false);
	cell_finish_load(c, false);
	if (!hx_wait_entry_ready(c->x, 2) || !hx_wait_entry_ready(c->x, 5))
		cell_fail(c, "the region did not become ready again");
}

/* Promise 8: a target leaves, and the VM list shows it with a delay. */
void p8_target_leaves(struct cell_run *c)
{
	int64_t lag_ms = 1000;
	int64_t leave_ms;
	int64_t last_ms;
	struct hx_target_log log;

	/* The group's other targets stay, so that entries still use it. */
	cell_start(c, 3, 3, 0, "\"groups_per_domain\":1", NULL);
	json_decref(hx_platform(c->x, "{\"vm_lag_ms\":%d}", (int)lag_ms));
	cell_start_load(c, 9000, MATCH_LOAD(100000, 10000));
	hx_sleep_ms(2000);
	leave_ms = hx_now_ms();
	hx_update_vm(c->x, "\"id\":\"cnx-nimman-0\",\"leaving\":true");
	log = hx_read_target_logs(c->x);
	c->fault_effective = hx_last_start_ms(&log, "cnx-nimman-0") > 0;
	hx_target_log_free(&log);
	cell_finish_load(c, true);
	log = hx_read_target_logs(c->x);
	last_ms = hx_last_start_ms(&log, "cnx-nimman-0");
	if (last_ms > leave_ms + lag_ms + CONFIG_EFFECT_MAX_MS)
		cell_fail(c,
			  "a request started %" PRId64
			  " ms after the target left",
			  last_ms - leave_ms);
	hx_target_log_free(&log);
}
