/* Cells about requests: claims, slots, answers, targets that leave. */
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/cell.h"

/* Calls in the background. */
static pid_t call_later(struct cell_run *c, int vm, const char *id,
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

/* 7: the caller asks another entry while the first is frozen. */
void p7_frozen_entry(struct cell_run *c)
{
	struct hx_response a;
	pid_t first;

	cell_start(c, 3, 2, 0, NULL, NULL);
	first = call_later(c, 0, "once", "{\"work_us\":1500000}");
	c->took_effect =
		hx_wait_until(cell_id_started, c->x, (void *)"once", 5000);
	hx_signal(c->x, HX_ENTRY, 0, SIGSTOP);
	a = hx_call(c->x, 1, "relay", "once", 2, 3000, "{\"work_us\":1000}");
	if (a.status == 200 || !strcmp(a.outcome, "not_run"))
		cell_fail(c, "the repeat was %s", a.outcome);
	hx_response_free(&a);
	hx_signal(c->x, HX_ENTRY, 0, SIGCONT);
	waitpid(first, NULL, 0);
	cell_expect_starts(c, "once", 1, 1);
}

/* 7: the first entry is frozen while its claim is on the way. */
void p7_frozen_in_claim(struct cell_run *c)
{
	struct hx_response a;
	pid_t first;

	cell_start(c, 3, 2, 0, NULL, NULL);
	json_decref(hx_platform(c->x, "{\"delay_ms\":400}"));
	first = call_later(c, 0, "once", "{\"work_us\":1000}");
	hx_sleep_ms(150);
	hx_signal(c->x, HX_ENTRY, 0, SIGSTOP);
	c->took_effect = !cell_id_started(c->x, (void *)"once");
	hx_sleep_ms(1000);
	json_decref(hx_platform(c->x, "{\"delay_ms\":0}"));
	a = hx_call(c->x, 1, "relay", "once", 2, 3000, "{\"work_us\":1000}");
	hx_response_free(&a);
	hx_signal(c->x, HX_ENTRY, 0, SIGCONT);
	waitpid(first, NULL, 0);
	hx_sleep_ms(500);
	cell_expect_starts(c, "once", 0, 1);
}

/* 7: the store's answers get lost after the claim took effect. */
void p7_lost_claims(struct cell_run *c)
{
	json_t *j;

	cell_start(c, 3, 4, 0, NULL, NULL);
	cell_load(c, 4000, RELAYS(60000, 5000, 3));
	for (int i = 0; i < 6; i++) {
		hx_sleep_ms(600);
		j = hx_platform(c->x, "{\"mode\":\"lose\",\"count\":5}");
		c->took_effect |= j != NULL;
		json_decref(j);
	}
	hx_sleep_ms(500);
	json_decref(hx_platform(c->x, "{\"mode\":\"up\"}"));
	cell_finish_load(c, false);
}

/* 7: the scheduler that holds the claims dies; callers ask again. */
void p7_kill_sched(struct cell_run *c)
{
	cell_start(c, 3, 4, 0, NULL, NULL);
	cell_load(c, 8000, RELAYS(60000, 5000, 3));
	hx_sleep_ms(1500);
	for (int vm = 0; vm < 2; vm++) {
		hx_signal(c->x, HX_SCHED, vm, SIGKILL);
		hx_reap(c->x, HX_SCHED, vm);
		hx_spawn(c->x, HX_SCHED, vm);
		c->took_effect = true;
		hx_sleep_ms(2000);
	}
	cell_finish_load(c, false);
}

/* 7: connections to targets are cut while requests run on them. */
void p7_cut_targets(struct cell_run *c)
{
	cell_start(c, 3, 4, 0, NULL, NULL);
	cell_load(c, 4000, RELAYS(80000, 30000, 1));
	for (int i = 0; i < 10; i++) {
		hx_sleep_ms(350);
		for (int d = 0; d < HX_DOMAINS; d++) {
			for (int t = 0; t < 4; t++)
				c->took_effect |=
					hx_proxy(c->x, "cut",
						 "{\"to\":\"127.0.0.1:%d\"}",
						 c->x->target_port[d] + t) > 0;
		}
	}
	cell_finish_load(c, false);
}

/* 6: far more than fits: what is refused was not run. */
void p6_overload(struct cell_run *c)
{
	struct load_result r;

	cell_start(c, 3, 1, 0, NULL, NULL);
	cell_load(c, 3000, RELAYS(1200000, 100000, 1));
	r = cell_finish_load(c, false);
	c->took_effect = r.outcomes[1] > 0;
}

/* 6 and 1: owners of groups die under load. */
void p6_kill_entry(struct cell_run *c)
{
	cell_start(c, 4, 2, 0, "\"groups_per_domain\":1", NULL);
	cell_load(c, 9000, RELAYS(60000, 300000, 1));
	for (int vm = 0; vm < 2; vm++) {
		hx_sleep_ms(1500);
		hx_signal(c->x, HX_ENTRY, vm, SIGKILL);
		hx_reap(c->x, HX_ENTRY, vm);
		c->took_effect = true;
		hx_sleep_ms(1500);
		hx_spawn(c->x, HX_ENTRY, vm);
	}
	cell_finish_load(c, false);
}

/* 6: the links between entries are cut again and again. */
void p6_cut_peers(struct cell_run *c)
{
	cell_start(c, 3, 3, 0, NULL, NULL);
	cell_load(c, 5000, RELAYS(60000, 30000, 1));
	for (int i = 0; i < 8; i++) {
		hx_sleep_ms(500);
		c->took_effect |=
			hx_proxy(c->x, "cut", "{\"to\":\"%s:%d\"}",
				 c->x->vm_ip[i % 3],
				 c->x->peer_port[HX_ENTRY][i % 3]) > 0;
	}
	cell_finish_load(c, false);
}

/* 6: the store goes away and comes back. */
void p6_store_down(struct cell_run *c)
{
	struct load_result r;

	cell_start(c, 3, 3, 0, NULL, NULL);
	cell_load(c, 9500, RELAYS(60000, 20000, 1));
	hx_sleep_ms(1000);
	json_decref(hx_platform(c->x, "{\"mode\":\"down\"}"));
	hx_sleep_ms(6000);
	json_decref(hx_platform(c->x, "{\"mode\":\"up\"}"));
	r = cell_finish_load(c, false);
	c->took_effect = r.outcomes[0] < r.sent;
}

/* 1: the owner of a full group dies while its requests run on. */
static void kill_owners(struct cell_run *c, bool two)
{
	struct hx_target_log log;
	int64_t end_ms;

	/* Takeover is faster than the requests that run on. */
	cell_start(c, 4, 1, 0,
		   "\"groups_per_domain\":1,\"heartbeat_ms\":100,"
		   "\"permit_ms\":400,\"silence_ms\":400,\"expel_ms\":600,"
		   "\"poll_ms\":100",
		   NULL);
	cell_load(c, 10000,
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
	c->took_effect = true;
	end_ms = hx_now_ms();
	cell_finish_load(c, false);
	log = hx_read_target_logs(c->x);
	if (log.last_start_us[2] / 1000 < end_ms)
		cell_fail(c, "nobody took the group over");
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

/* 1: connections to busy targets are cut; reused ones tempt to resend. */
void p1_cut_targets(struct cell_run *c)
{
	cell_start(c, 3, 2, 0, NULL, NULL);
	cell_load(c, 5000, MATCHES(100000, 300000));
	for (int i = 0; i < 12; i++) {
		hx_sleep_ms(350);
		for (int d = 0; d < HX_DOMAINS; d++)
			c->took_effect |=
				hx_proxy(c->x, "cut",
					 "{\"to\":\"127.0.0.1:%d\"}",
					 c->x->target_port[d] + i % 2) > 0;
	}
	cell_finish_load(c, true);
}

/* 5: open connections go silent for good while new ones work. */
void p5_silent(struct cell_run *c)
{
	struct load_result r;

	cell_start(c, 3, 3, 0, NULL, NULL);
	cell_load(c, 10000, MATCHES(100000, 5000) "," RELAYS(20000, 5000, 1));
	for (int i = 0; i < 3; i++) {
		hx_sleep_ms(2000);
		c->took_effect |= hx_proxy(c->x, "silence", "{\"way\":\"%s\"}",
					   i == 0   ? "up"
					   : i == 1 ? "down"
						    : "both") > 0;
	}
	r = cell_finish_load(c, true);
	if (r.outcomes[0] * 100 < r.sent * 80)
		cell_fail(c, "only %" PRId64 " of %" PRId64 " answered",
			  r.outcomes[0], r.sent);
}

/* 5: a target answers in another request's name. */
void p5_crossed(struct cell_run *c)
{
	struct hx_target_log log;
	struct hx_response a;

	cell_start(c, 3, 1, 0, NULL, NULL);
	for (int vm = 0; vm < 3; vm++) {
		a = hx_call(c->x, vm, "match", NULL, 1, 2000,
			    "{\"crossed\":true}");
		if (a.status == 200)
			cell_fail(c, "a crossed answer was passed on");
		hx_response_free(&a);
	}
	log = hx_read_target_logs(c->x);
	c->took_effect = log.starts > 0;
	hx_target_log_free(&log);
}

static void block_way(struct cell_run *c, const char *from, const char *to,
		      bool block)
{
	c->took_effect |= hx_proxy(c->x, "rule",
				   "{\"from\":\"%s\",\"to\":\"%s\","
				   "\"block\":%s}",
				   from, to, block ? "true" : "false") > 0;
}

/* Chiang Mai and Bangkok, with the store, lose each other. */
static void split_regions(struct cell_run *c, bool block)
{
	char to[64];

	snprintf(to, sizeof(to), "127.0.0.1:%d", c->x->platform_port);
	block_way(c, "127.3.1.*", to, block);
	block_way(c, "127.3.1.*", "127.[12].1.*:*", block);
	block_way(c, "127.[12].1.*", "127.3.1.*:*", block);
	for (int d = 0; d < HX_DOMAINS; d++) {
		for (int i = 0; i < c->x->opt.targets; i++) {
			snprintf(to, sizeof(to), "127.0.0.1:%d",
				 c->x->target_port[d] + i);
			block_way(c, d == 2 ? "127.[12].1.*" : "127.3.1.*", to,
				  block);
		}
	}
}

/* 6, 7, 1: regions lose each other under load and find each other again. */
void p6_region_cut(struct cell_run *c)
{
	cell_start(c, 6, 2, 0, NULL, NULL);
	cell_load(c, 24000, RELAYS(60000, 300000, 2));
	hx_sleep_ms(3000);
	split_regions(c, true);
	hx_sleep_ms(10000);
	split_regions(c, false);
	cell_finish_load(c, false);
	if (!hx_wait_entry_ready(c->x, 2) || !hx_wait_entry_ready(c->x, 5))
		cell_fail(c, "the region did not come back");
}

/* 8: a target leaves, and the VM list says so late. */
void p8_leaving(struct cell_run *c)
{
	int64_t lag_ms = 1000;
	int64_t leave_ms;
	int64_t last_ms;
	struct hx_target_log log;

	/* Others of its group stay, so that the group is still used. */
	cell_start(c, 3, 3, 0, "\"groups_per_domain\":1", NULL);
	json_decref(hx_platform(c->x, "{\"vm_lag_ms\":%d}", (int)lag_ms));
	cell_load(c, 9000, MATCHES(100000, 10000));
	hx_sleep_ms(2000);
	leave_ms = hx_now_ms();
	hx_update_vm(c->x, "\"id\":\"cnx-nimman-0\",\"leaving\":true");
	log = hx_read_target_logs(c->x);
	c->took_effect = hx_last_start_ms(&log, "cnx-nimman-0") > 0;
	hx_target_log_free(&log);
	cell_finish_load(c, true);
	log = hx_read_target_logs(c->x);
	last_ms = hx_last_start_ms(&log, "cnx-nimman-0");
	if (last_ms > leave_ms + lag_ms + IN_FORCE_MS)
		cell_fail(c, "a start %" PRId64 " ms after it left",
			  last_ms - leave_ms);
	hx_target_log_free(&log);
}
