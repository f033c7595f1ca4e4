/* Tests of tasks that run apart because workers have crashed under them. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/sched_int.h"
#include "tests/crash_vms.h"
#include "tests/unit.h"

#define SUSPECTS 24
#define SUSPECTS_REPEATED 8

/* One crash makes suspects of many small tasks. Others start in time. Returns
 * when the last suspect has started. */
static int64_t check_many_suspects(const char *queue, int crashes, int suspects,
				   bool lasts)
{
	struct crash_vm vms[2];
	struct sched_fixture p;
	struct jobspec *spec = fixture_spec("s", "short", 1, suspects);
	struct sched_job *job;
	int64_t started_ms = -1;
	int64_t last_ms = -1;
	guint seen = 0;

	spec->steps[0].cpu_milli = 250;
	/* So that none counts as stalled. */
	spec->steps[0].expected_ms = 1000000;
	fixture_open(&p, 1, NULL);
	for (int i = 0; i < 2; i++)
		crash_add_vm(&p, &vms[i], i);
	job = fixture_add_job(&p, spec);
	for (int k = 0; k < suspects * crashes; k++)
		sched_crash_count(&job->rounds->steps[0].tasks[k / crashes],
				  100 + k % crashes);
	spec = fixture_spec("other", queue, 1, 1);
	spec->steps[0].cpu_milli = 1000;
	spec->steps[0].expected_ms = 1000000;
	spec->steps[0].is_long_running = lasts;
	fixture_add_job(&p, spec);
	for (int64_t now = 100; now < 90000; now += 100) {
		sched_tick(&p.s, now, 1000000 + now);
		sched_place(&p.s, now);
		for (; seen < p.starts->len; seen++) {
			const struct recorded_command *c =
				fixture_start(&p, seen);

			fixture_started(&p, c, now + 5);
			last_ms = now;
			if (!strcmp(c->ref.job, "other"))
				started_ms = now;
		}
		for (int i = 0; i < 2 && now % 200 == 0; i++)
			crash_report_all(&p, vms[i].id, now + 50);
	}
	g_test_message("other started at %lld, last at %lld, starts %u",
		       (long long)started_ms, (long long)last_ms,
		       p.starts->len);
	g_assert_cmpint(started_ms, >=, 0);
	g_assert_cmpint(started_ms, <, lasts ? 9000 : 3000);
	fixture_close(&p);
	return last_ms;
}

/* Soak seeds 2001, 2006 and 2008: suspects ran apart one by one, and the last
 * of them waited for 20 s and more. LOST allows a long-running one 9 s. */
static void test_suspects_run_together(void)
{
	g_assert_cmpint(check_many_suspects("short", 1, SUSPECTS, false), <,
			9000);
}

static void test_many_suspects(void)
{
	check_many_suspects("short", 1, SUSPECTS, false);
}

static void test_many_suspects_lower(void)
{
	check_many_suspects("long", 1, SUSPECTS, false);
}

static void test_many_suspects_repeated(void)
{
	check_many_suspects("long", 2, SUSPECTS_REPEATED, false);
}

/* A suspect that fits beside another one starts, though an earlier task of its
 * step, which is no suspect, fits nowhere. */
static void test_suspect_behind_waiting_task(void)
{
	struct sched_fixture p;
	struct jobspec *spec = fixture_spec("s", "short", 1, 1);
	struct sched_task *tasks;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	spec->steps[0].cpu_milli = 1000;
	tasks = fixture_add_job(&p, spec)->rounds->steps[0].tasks;
	sched_crash_count(&tasks[0], 100);
	sched_place(&p.s, 20);
	g_assert_cmpuint(p.starts->len, ==, 1);
	fixture_started(&p, fixture_start(&p, 0), 25);
	fixture_add_worker(&p, "full", "r");
	fixture_poll(&p, "full", NULL, 0, NULL, 0, 30);
	fixture_worker(&p, "full")->used.cpu_milli = 8000;
	tasks = fixture_add_job(&p, fixture_spec("t", "short", 1, 2))
			->rounds->steps[0]
			.tasks;
	sched_crash_count(&tasks[1], 100);
	tasks[1].idle_since_ms = -3000;
	sched_place(&p.s, 40);
	g_assert_cmpuint(p.starts->len, ==, 2);
	g_assert_cmpint(fixture_start(&p, 1)->ref.index, ==, 1);
	fixture_close(&p);
}

/* A task that lasts comes first, whatever its queue. */
static void test_many_suspects_lasting(void)
{
	check_many_suspects("long", 2, SUSPECTS_REPEATED, true);
}

/* A planned change of owner while the crashed worker is silent, or after its
 * leases expired, before the VM has its next worker. */
static void check_handover(bool expired)
{
	struct crash_vm vms[CRASH_VMS];
	struct sched_fixture p;
	struct sched_job *job;
	struct crash_vm *vm;
	json_t *roster[SCHED_ROSTER_ROWS];
	json_t *progress;
	json_t *handover;

	crash_open_vms(&p, vms);
	job = fixture_add_job(&p, fixture_spec("d", "short", 1, 1));
	sched_place(&p.s, 100);
	vm = crash_vm_of(vms, CRASH_VMS, crash_last_start(&p)->worker);
	fixture_started(&p, crash_last_start(&p), 110);
	sched_worker_unanswered(&p.s, fixture_worker(&p, vm->id), 120);
	sched_worker_unlisted(&p.s, vm->id, 3000);
	if (expired)
		sched_tick(&p.s, 8000, 1008000);
	progress = sched_job_progress(job, SCHED_DETAIL_ALL);
	handover = sched_handover_pack(&p.s, 100, 3000);
	for (int32_t i = 0; i < SCHED_ROSTER_ROWS; i++)
		roster[i] = sched_roster_pack_row(&p.s, i);
	fixture_close(&p);

	fixture_open(&p, 2, NULL);
	job = sched_job_add(&p.s, fixture_spec("d", "short", 1, 1), progress, 5,
			    true, 0, 1000000);
	for (int32_t i = 0; i < SCHED_ROSTER_ROWS; i++) {
		sched_roster_restore(&p.s, roster[i], 1);
		json_decref(roster[i]);
	}
	sched_handover_apply(&p.s, handover, 1, 1000000);
	json_decref(progress);
	json_decref(handover);
	for (int i = 0; i < CRASH_VMS; i++) {
		if (&vms[i] != vm)
			crash_list_worker(&p, &vms[i], 10);
	}
	sched_tick(&p.s, 20000, 1020000);
	crash_replace_worker(&p, vm, 20100);
	sched_tick(&p.s, 20200, 1020200);
	g_assert_cmpint(job->rounds->steps[0].tasks[0].crashes, ==, 1);
	fixture_close(&p);
}

static void test_handover_silent(void)
{
	check_handover(false);
}

static void test_handover_expired(void)
{
	check_handover(true);
}

/* Where a suspect may crash the worker, as little as possible runs beside it.
 */
static void test_suspect_avoids_long_running(void)
{
	struct crash_vm vms[2];
	struct sched_fixture p;
	struct sched_job *job;

	fixture_open(&p, 1, NULL);
	for (int i = 0; i < 2; i++)
		crash_add_vm(&p, &vms[i], i);
	fixture_add_job(&p, fixture_long_running("l", 4000, 1));
	sched_place(&p.s, 100);
	crash_answer_starts(&p, 0, 110);
	job = fixture_add_job(&p, fixture_spec("s", "short", 1, 1));
	sched_crash_count(&job->rounds->steps[0].tasks[0], 101);
	sched_place(&p.s, 200);
	g_assert_cmpuint(p.starts->len, ==, 2);
	g_assert_cmpstr(crash_last_start(&p)->worker, !=,
			fixture_start(&p, 0)->worker);
	fixture_close(&p);
}

/* A start that no worker got is no crash under the task. */
static void test_late_start_of_suspect(void)
{
	struct crash_vm vms[CRASH_VMS];
	struct sched_fixture p;
	struct sched_job *job;
	struct crash_vm *vm;

	crash_open_vms(&p, vms);
	job = fixture_add_job(&p, fixture_spec("s", "short", 1, 1));
	sched_crash_count(&job->rounds->steps[0].tasks[0], 100);
	sched_place(&p.s, 100);
	vm = crash_vm_of(vms, CRASH_VMS, crash_last_start(&p)->worker);
	sched_start_answered(&p.s, &crash_last_start(&p)->ref, vm->id,
			     SCHED_START_UNKNOWN, 110);
	vm->life++;
	/* The new process has the run: the start took effect after the crash.
	 */
	{
		struct sched_worker_row row = fixture_worker(&p, vm->id)->row;

		row.born_ms = vm->life;
		sched_worker_listed(&p.s, &row, 3000);
	}
	sched_tick(&p.s, 3050, 1003050);
	crash_report_all(&p, vm->id, 3100);
	sched_tick(&p.s, 3150, 1003150);
	g_assert_false(sched_job_has_ended(job));
	fixture_close(&p);
}

/* A lasting task that a successor adopted runs on for an hour. */
static void test_adopted_recovers(void)
{
	struct crash_vm vms[CRASH_VMS];
	struct sched_fixture p;
	struct sched_active a;
	struct sched_job *job;

	crash_open_vms(&p, vms);
	job = fixture_add_job(&p, fixture_long_running("l", 4000, 1));
	sched_crash_count(&job->rounds->steps[0].tasks[0], 101);
	sched_crash_count(&job->rounds->steps[0].tasks[0], 102);
	sched_crash_count(&job->rounds->steps[0].tasks[0], 103);
	memset(&a, 0, sizeof(a));
	g_strlcpy(a.ref.job, "l", sizeof(a.ref.job));
	a.ref.run = 9;
	for (int64_t now = 100; now < 3600000; now += 1000)
		fixture_poll(&p, vms[0].id, &a, 1, NULL, 0, now);
	crash_restart_worker(&p, &vms[0], 3601000);
	sched_tick(&p.s, 3602000, 4602000);
	g_assert_false(sched_job_has_ended(job));
	fixture_close(&p);
}

/* Rows are listed again and again while many workers are remembered as lost. */
static void test_cost_of_listing(void)
{
	struct sched_fixture p;
	struct crash_vm vms[350];
	int64_t begin_us;

	fixture_open(&p, 1, NULL);
	for (int i = 0; i < 350; i++)
		crash_add_vm(&p, &vms[i], i);
	for (int i = 0; i < 512; i++) {
		struct sched_worker w = { 0 };
		struct sched_run run = { 0 };
		struct jobspec *spec = fixture_spec("x", "short", 1, 1);
		struct sched_job *job = fixture_add_job(&p, spec);

		run.task = &job->rounds->steps[0].tasks[0];
		run.worker = &w;
		g_snprintf(w.row.id, sizeof(w.row.id), "vm-%d-lost", i);
		g_snprintf(w.row.vm, sizeof(w.row.vm), "vm%d-lost", i);
		g_strlcpy(w.row.address, "127.0.0.1:1", sizeof(w.row.address));
		w.row.born_ms = 1;
		g_queue_push_tail(&w.runs, &run);
		sched_crash_worker_lost(&p.s, &w, 100);
		g_queue_clear(&w.runs);
	}
	g_assert_cmpuint(p.s.lost_workers.length, ==, 512);
	begin_us = g_get_monotonic_time();
	for (int k = 0; k < 10; k++) {
		for (int i = 0; i < 350; i++) {
			struct sched_worker *w = fixture_worker(&p, vms[i].id);

			w->row.born_ms = 2;
			sched_crash_worker_listed(&p.s, w, 200);
		}
	}
	g_test_message("us for 350 rows: %lld",
		       (long long)(g_get_monotonic_time() - begin_us) / 10);
	fixture_close(&p);
}

/* Soak seed 2001: the 29 tasks of a worker that crashed ran apart one after the
 * other, while all others waited. Only those that had just started need to. */
static void test_old_runs_are_no_suspects(void)
{
	struct crash_vm vms[CRASH_VMS];
	struct sched_fixture p;
	struct sched_job *job;

	crash_open_vms(&p, vms);
	job = fixture_add_job(&p, fixture_long_running("a", 4000, 2));
	sched_place(&p.s, 100);
	crash_answer_starts(&p, 0, 110);
	crash_report_all(&p, crash_last_start(&p)->worker, 5000);
	crash_lose_worker(
		&p, crash_vm_of(vms, CRASH_VMS, crash_last_start(&p)->worker),
		5100);
	crash_replace_worker(
		&p, crash_vm_of(vms, CRASH_VMS, crash_last_start(&p)->worker),
		14000);
	g_assert_cmpint(job->rounds->steps[0].tasks[0].crashes, ==, 1);
	sched_place(&p.s, 14100);
	g_assert_cmpuint(p.starts->len, ==, 4);
	for (int i = 0; i < CRASH_VMS; i++)
		g_assert_cmpint(fixture_worker(&p, vms[i].id)->n_isolated, ==,
				0);
	fixture_close(&p);
}

void unit_add_crash_apart(void)
{
	g_test_add_func("/crash/suspect-behind-waiting-task",
			test_suspect_behind_waiting_task);
	g_test_add_func("/crash/suspects-run-together",
			test_suspects_run_together);
	g_test_add_func("/crash/old-runs-are-no-suspects",
			test_old_runs_are_no_suspects);
	g_test_add_func("/crash/handover-silent", test_handover_silent);
	g_test_add_func("/crash/handover-expired", test_handover_expired);
	g_test_add_func("/crash/suspect-avoids-long-running",
			test_suspect_avoids_long_running);
	g_test_add_func("/crash/late-start-of-suspect",
			test_late_start_of_suspect);
	g_test_add_func("/crash/adopted-recovers", test_adopted_recovers);
	g_test_add_func("/crash/cost-of-listing", test_cost_of_listing);
	g_test_add_func("/crash/many-suspects", test_many_suspects);
	g_test_add_func("/crash/many-suspects-lower", test_many_suspects_lower);
	g_test_add_func("/crash/many-suspects-repeated",
			test_many_suspects_repeated);
	g_test_add_func("/crash/many-suspects-lasting",
			test_many_suspects_lasting);
}
