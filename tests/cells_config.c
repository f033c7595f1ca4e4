/* Cells about domains, configuration and planned stops. */
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/cell.h"

#define MATCH_RECORD                                                           \
	"{\"schema\":1,\"kind\":\"service\",\"name\":\"match\",\"team\":"      \
	"\"t\",\"safe_to_repeat\":true,\"timeout_s\":5}"

/* Checks that nothing starts in domain `d` once the change is in effect. */
static void expect_no_starts(struct cell_run *c, int d, int64_t out_ms)
{
	struct hx_target_log t = hx_read_target_logs(c->x);
	struct hx_worker_log w = hx_read_worker_logs(c->x);
	int64_t target_ms = t.last_start_us[d] / 1000 - out_ms;
	int64_t worker_ms = w.last_start_ms[d] - out_ms;

	if (target_ms > CONFIG_EFFECT_MAX_MS)
		cell_fail(c,
			  "a request started %" PRId64 " ms after the domain "
			  "was taken out",
			  target_ms);
	if (worker_ms > CONFIG_EFFECT_MAX_MS)
		cell_fail(c,
			  "a task started %" PRId64 " ms after the domain was "
			  "taken out",
			  worker_ms);
	hx_target_log_free(&t);
}

/*
 * Promise 4: a domain is taken out while its VM 0 can't take notice. `inject`
 * begins the fault before the change, `repair` ends it 6 s after.
 */
static void domain_out_during(struct cell_run *c,
			      void (*inject)(struct cell_run *c),
			      void (*repair)(struct cell_run *c))
{
	int64_t out_ms;

	/* VM 0 owns all groups of its domain. */
	cell_start(c, 3, 2, 2, NULL, "\"worker_sync_ms\":200");
	cell_submit_job(c, "a", 200, 3000, 400);
	cell_start_load(c, 14000, MATCH_LOAD(150000, 10000));
	hx_sleep_ms(1500);
	inject(c);
	hx_sleep_ms(200);
	cell_set_domain(c, 0, "out");
	out_ms = hx_now_ms();
	hx_sleep_ms(6000);
	repair(c);
	cell_finish_load(c, true);
	expect_no_starts(c, 0, out_ms);
}

static void rule_to_store(struct cell_run *c, bool block)
{
	c->fault_effective |=
		hx_proxy(c->x, "rule",
			 "{\"from\":\"%s\",\"to\":\"127.0.0.1:%d\","
			 "\"block\":%s}",
			 c->x->vm_ip[0], c->x->platform_port,
			 block ? "true" : "false") > 0;
}

static void rule_to_peers(struct cell_run *c, bool block)
{
	for (int vm = 1; vm < c->x->opt.vms; vm++) {
		c->fault_effective |=
			hx_proxy(c->x, "rule",
				 "{\"from\":\"%s\",\"to\":\"%s:*\","
				 "\"block\":%s}",
				 c->x->vm_ip[0], c->x->vm_ip[vm],
				 block ? "true" : "false") > 0;
		hx_proxy(c->x, "rule",
			 "{\"from\":\"%s\",\"to\":\"%s:*\",\"block\":%s}",
			 c->x->vm_ip[vm], c->x->vm_ip[0],
			 block ? "true" : "false");
	}
}

static void pause_processes(struct cell_run *c)
{
	hx_signal(c->x, HX_ENTRY, 0, SIGSTOP);
	hx_signal(c->x, HX_SCHED, cell_shard_owner(c), SIGSTOP);
	hx_sleep_ms(50);
	c->fault_effective = hx_is_stopped(c->x, HX_ENTRY, 0);
}

static void resume_processes(struct cell_run *c)
{
	for (int vm = 0; vm < c->x->opt.vms; vm++) {
		hx_signal(c->x, HX_ENTRY, vm, SIGCONT);
		hx_signal(c->x, HX_SCHED, vm, SIGCONT);
	}
}

static void cut_store(struct cell_run *c)
{
	rule_to_store(c, true);
}

static void reconnect_store(struct cell_run *c)
{
	rule_to_store(c, false);
}

static void cut_peers(struct cell_run *c)
{
	rule_to_peers(c, true);
}

static void reconnect_peers(struct cell_run *c)
{
	rule_to_peers(c, false);
}

static void cut_all(struct cell_run *c)
{
	cut_store(c);
	cut_peers(c);
}

static void reconnect_all(struct cell_run *c)
{
	reconnect_store(c);
	reconnect_peers(c);
}

void p4_paused_processes(struct cell_run *c)
{
	domain_out_during(c, pause_processes, resume_processes);
}

void p4_cut_store(struct cell_run *c)
{
	domain_out_during(c, cut_store, reconnect_store);
}

void p4_cut_peers(struct cell_run *c)
{
	domain_out_during(c, cut_peers, reconnect_peers);
}

void p4_cut_all(struct cell_run *c)
{
	domain_out_during(c, cut_all, reconnect_all);
}

/* Promise 10: a new VM serves nothing before it has read the configuration. */
void p10_new_vm(struct cell_run *c)
{
	struct hx_response a;

	cell_start(c, 3, 2, 0, NULL, NULL);
	hx_signal(c->x, HX_ENTRY, 2, SIGKILL);
	hx_reap(c->x, HX_ENTRY, 2);
	json_decref(hx_platform(c->x, "{\"mode\":\"down\"}"));
	hx_spawn(c->x, HX_ENTRY, 2);
	hx_sleep_ms(1500);
	a = hx_call(c->x, 2, "match", NULL, 1, 1000, "{}");
	c->fault_effective = a.status != 0;
	if (a.status == 200)
		cell_fail(c, "VM 2 served without any configuration");
	hx_response_free(&a);
	a = hx_get(c->x, 2, "/ready");
	if (a.status == 200)
		cell_fail(c, "VM 2 reported ready without any configuration");
	hx_response_free(&a);
	json_decref(hx_platform(c->x, "{\"mode\":\"up\"}"));
	if (!hx_wait_entry_ready(c->x, 2))
		cell_fail(c, "VM 2 did not become ready");
}

/*
 * Promise 10: a member that continues after SIGSTOP must not act on the
 * configuration of before.
 */
void p10_resumed_member(struct cell_run *c)
{
	struct hx_response a;
	int64_t withdrawn = 0;

	cell_start(c, 3, 2, 0, NULL, NULL);
	hx_signal(c->x, HX_ENTRY, 2, SIGSTOP);
	hx_operator_call_retry(c->x, "withdraw", MATCH_RECORD);
	hx_sleep_ms(3000);
	hx_signal(c->x, HX_ENTRY, 2, SIGCONT);
	for (int i = 0; i < 60 && !withdrawn; i++) {
		a = hx_call(c->x, 2, "match", NULL, 1, 1000, "{}");
		if (a.status == 200)
			cell_fail(c, "VM 2 ran a withdrawn service");
		c->fault_effective |= a.status == 503;
		if (a.status == 404)
			withdrawn = 1;
		hx_response_free(&a);
	}
	c->fault_effective |= withdrawn > 0;
	if (!withdrawn)
		cell_fail(c, "VM 2 did not notice the withdrawal");
}

/*
 * Promise 10: three operators amend one revision at the same time. One gets
 * 200, the others a conflict.
 */
void p10_concurrent_amends(struct cell_run *c)
{
	cell_start(c, 3, 1, 0, NULL, NULL);
	for (int round = 0; round < 10; round++) {
		struct hx_response a = hx_get(c->x, 0, "/v1/records");
		int64_t revision = json_integer_value(json_object_get(
			json_object_get(json_object_get(a.json, "rows"),
					"cfg/service/match"),
			"rev"));
		int n_accepted = 0;
		pid_t pid[3];
		char verb[64];

		hx_response_free(&a);
		snprintf(verb, sizeof(verb), "amend@%" PRId64, revision);
		for (int i = 0; i < 3; i++) {
			c->x->op_count++;
			fflush(stdout);
			pid[i] = fork();
			if (pid[i])
				continue;
			a = hx_operator_call(c->x, i, verb, MATCH_RECORD);
			_exit(a.status == 200 ? 1 : a.status == 409 ? 2 : 3);
		}
		for (int i = 0; i < 3; i++) {
			int status = 0;

			waitpid(pid[i], &status, 0);
			n_accepted += WEXITSTATUS(status) == 1;
			c->fault_effective |= WEXITSTATUS(status) == 2;
		}
		if (n_accepted != 1)
			cell_fail(c, "%d of 3 operators won", n_accepted);
	}
}

/*
 * Promise 10: the store's responses to a commit are lost. The same submission
 * repeated gets 200 again; a new submission of the record gets 409.
 */
void p10_lost_commit(struct cell_run *c)
{
	static const char team[] =
		"{\"schema\":2,\"kind\":\"team\",\"meta\":{\"name\":\"q\"},"
		"\"spec\":{\"quota_cpu_milli\":5}}";
	struct hx_response a;
	json_t *before;
	json_t *after;

	cell_start(c, 3, 1, 0, NULL, NULL);
	before = hx_platform(c->x, "{\"mode\":\"lose\",\"count\":40}");
	if (!hx_operator_call_retry(c->x, "submit", team))
		cell_fail(c, "the submission was never accepted");
	c->x->op_count--;
	a = hx_operator_call(c->x, 1, "submit", team);
	if (a.status != 200)
		cell_fail(c, "the repeated submission got %ld", a.status);
	hx_response_free(&a);
	a = hx_operator_call(c->x, 2, "submit", team);
	if (a.status != 409)
		cell_fail(c, "another submission got %ld", a.status);
	hx_response_free(&a);
	after = hx_platform(c->x, "{\"mode\":\"up\"}");
	c->fault_effective = before && after;
	json_decref(before);
	json_decref(after);
}

/* Promise 9: each VM is restarted in turn under load with long requests. */
void p9_rolling(struct cell_run *c)
{
	struct load_result r;

	cell_start(c, 6, 3, 2, NULL, NULL);
	cell_submit_job(c, "a", 60, 4000, 1500);
	cell_start_load(
		c, 36000,
		MATCH_LOAD(100000, 5000) "," RELAY_LOAD(8000, 1500000, 1));
	hx_sleep_ms(1000);
	for (int vm = 0; vm < 6; vm++) {
		hx_signal(c->x, HX_ENTRY, vm, SIGTERM);
		hx_signal(c->x, HX_SCHED, vm, SIGTERM);
		if (hx_reap(c->x, HX_ENTRY, vm) || hx_reap(c->x, HX_SCHED, vm))
			cell_fail(c, "VM %d did not exit with status 0", vm);
		hx_spawn(c->x, HX_ENTRY, vm);
		hx_spawn(c->x, HX_SCHED, vm);
		if (!hx_wait_entry_ready(c->x, vm))
			cell_fail(c, "VM %d did not become ready again", vm);
		c->fault_effective = true;
	}
	r = cell_finish_load(c, false);
	if (r.outcomes[0] != r.sent)
		cell_fail(c,
			  "%" PRId64 " not run, %" PRId64
			  " unknown of %" PRId64,
			  r.outcomes[1], r.outcomes[2], r.sent);
	cell_expect_tasks_done(c, 60, 30000);
}
