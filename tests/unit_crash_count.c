/* Tests of counting crashes of workers: what may be missed, and what must not
 * count. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/sched_int.h"
#include "tests/crash_vms.h"
#include "tests/unit.h"

/* Returns how often a task is started that crashes each worker after this time.
 */
static guint count_starts(int64_t lasts_ms)
{
	struct crash_vm vms[CRASH_VMS];
	struct sched_fixture p;
	struct sched_job *job;
	int64_t now = 100;
	guint n;

	crash_open_vms(&p, vms);
	job = fixture_add_job(&p, fixture_long_running("d", 4000, 1));
	for (int i = 0; i < 12 && !sched_job_has_ended(job); i++) {
		struct crash_vm *vm;

		sched_place(&p.s, now);
		g_assert_cmpuint(p.starts->len, ==, (guint)i + 1);
		fixture_started(&p, crash_last_start(&p), now + 5);
		vm = crash_vm_of(vms, CRASH_VMS, crash_last_start(&p)->worker);
		for (int64_t end = now + lasts_ms; now < end; now += 500)
			crash_report_all(&p, vm->id, now + 10);
		crash_lose_worker(&p, vm, now);
		crash_replace_worker(&p, vm, now + CRASH_LEASE_OVER_MS);
		now += CRASH_LEASE_OVER_MS + 100;
		sched_tick(&p.s, now, 1000000 + now);
	}
	n = p.starts->len;
	fixture_close(&p);
	return n;
}

static void test_late_crash(void)
{
	static const int64_t times_ms[] = { 0,	   500,	  900,	1100,
					    1500,  2500,  4000, 8000,
					    10500, 12000, 15000 };

	for (size_t i = 0; i < G_N_ELEMENTS(times_ms); i++)
		g_test_message("starts after %lld ms: %u",
			       (long long)times_ms[i],
			       count_starts(times_ms[i]));
	/* Three crashes, and less than three starts more. */
	for (size_t i = 0; i < G_N_ELEMENTS(times_ms); i++)
		g_assert_cmpuint(count_starts(times_ms[i]), <=, 5);
}

/* A member crashes its worker while another one, elsewhere, is still active. */
static void test_gang_member_active(void)
{
	struct crash_vm vms[CRASH_VMS];
	struct sched_fixture p;
	struct jobspec *spec = fixture_spec("d", "short", 1, 2);
	struct sched_job *job;
	char other[SCHED_ID_MAX];

	spec->steps[0].gang = true;
	spec->steps[0].cpu_milli = 8000;
	crash_open_vms(&p, vms);
	job = fixture_add_job(&p, spec);
	sched_place(&p.s, 100);
	g_assert_cmpuint(p.starts->len, ==, 2);
	g_assert_cmpint(fixture_start(&p, 0)->ref.index, ==, 0);
	g_strlcpy(other, fixture_start(&p, 0)->worker, sizeof(other));
	crash_answer_starts(&p, 0, 110);
	crash_report_all(&p, other, 200);
	crash_restart_worker(
		&p, crash_vm_of(vms, CRASH_VMS, fixture_start(&p, 1)->worker),
		3000);
	g_assert_cmpint(job->rounds->steps[0].tasks[0].crashes, ==, 1);
	crash_report_all(&p, other, 3100);
	g_assert_cmpint(job->rounds->steps[0].tasks[0].crashes, ==, 1);
	fixture_close(&p);
}

/* The list of workers has the crashed one for longer than its lease. */
static void test_row_outlives_lease(void)
{
	struct crash_vm vms[CRASH_VMS];
	struct sched_fixture p;
	struct sched_worker_row row;
	struct sched_job *job;
	struct crash_vm *vm;

	crash_open_vms(&p, vms);
	job = fixture_add_job(&p, fixture_spec("d", "short", 1, 1));
	sched_place(&p.s, 100);
	vm = crash_vm_of(vms, CRASH_VMS, crash_last_start(&p)->worker);
	sched_start_answered(&p.s, &crash_last_start(&p)->ref, vm->id,
			     SCHED_START_UNKNOWN, 110);
	sched_worker_unanswered(&p.s, fixture_worker(&p, vm->id), 120);
	row = fixture_worker(&p, vm->id)->row;
	sched_tick(&p.s, 8000, 1008000);
	g_assert_cmpuint(p.s.lost_workers.length, ==, 1);
	sched_worker_listed(&p.s, &row, 8100);
	sched_worker_unlisted(&p.s, vm->id, 8500);
	sched_tick(&p.s, 8500, 1008500);
	crash_replace_worker(&p, vm, 9000);
	g_assert_cmpint(job->rounds->steps[0].tasks[0].crashes, ==, 1);
	fixture_close(&p);
}

#define MANY 12

/* Tasks of several jobs that crash their workers at about the same time, after
 * they were reported. */
static void test_many_deadly(void)
{
	struct crash_vm vms[MANY];
	struct sched_fixture p;
	guint starts[MANY] = { 0 };
	int64_t now = 100;
	guint seen = 0;
	guint most = 0;

	fixture_open(&p, 1, NULL);
	for (int i = 0; i < MANY; i++)
		crash_add_vm(&p, &vms[i], i);
	for (int i = 0; i < MANY; i++) {
		char id[16];
		struct jobspec *spec;

		g_snprintf(id, sizeof(id), "%d", i);
		spec = fixture_spec(id, "short", 1, 1);
		spec->steps[0].cpu_milli = 8000;
		fixture_add_job(&p, spec);
	}
	for (int round = 0; round < 20; round++) {
		sched_place(&p.s, now);
		crash_answer_starts(&p, seen, now + 5);
		for (; seen < p.starts->len; seen++)
			starts[atoi(fixture_start(&p, seen)->ref.job)]++;
		for (int i = 0; i < MANY; i++)
			crash_report_all(&p, vms[i].id, now + 500);
		/* Each round begins with another worker. */
		for (int i = 0; i < MANY; i++) {
			struct crash_vm *vm = &vms[(i + round * 3) % MANY];

			if (fixture_worker(&p, vm->id)->runs.length)
				crash_restart_worker(&p, vm,
						     now + 3000 + 50 * i);
		}
		now += 4500;
		sched_tick(&p.s, now, 1000000 + now);
	}
	for (int i = 0; i < MANY; i++)
		most = MAX(most, starts[i]);
	g_test_message("most starts=%u of %u", most, p.starts->len);
	g_assert_cmpuint(most, <=, 5);
	fixture_close(&p);
}

/* Workers of a gang crash for other reasons, a minute apart. */
static void test_gang_recovers(void)
{
	struct crash_vm vms[CRASH_VMS];
	struct sched_fixture p;
	struct jobspec *spec = fixture_long_running("g", 8000, 2);
	struct sched_job *job;
	int64_t now = 100;

	spec->steps[0].gang = true;
	crash_open_vms(&p, vms);
	job = fixture_add_job(&p, spec);
	for (int i = 0; i < 5; i++) {
		struct recorded_command c[2];
		struct sched_end e;

		sched_place(&p.s, now);
		g_assert_cmpuint(p.starts->len, ==, 2 * ((guint)i + 1));
		for (guint k = 0; k < 2; k++)
			c[k] = *fixture_start(&p, p.starts->len - 2 + k);
		crash_answer_starts(&p, p.starts->len - 2, now + 5);
		for (int64_t end = now + 60000; now < end; now += 1000) {
			crash_report_all(&p, c[0].worker, now + 100);
			crash_report_all(&p, c[1].worker, now + 100);
		}
		e = fixture_end(&c[0], i + 1, SCHED_END_GANG_BROKEN);
		fixture_poll(&p, c[0].worker, NULL, 0, &e, 1, now + 100);
		crash_restart_worker(&p,
				     crash_vm_of(vms, CRASH_VMS, c[1].worker),
				     now + 3000);
		now += 4000;
		sched_tick(&p.s, now, 1000000 + now);
		g_test_message("after crash %d: %s", i + 1,
			       sched_job_state_name(job->state));
		g_assert_false(sched_job_has_ended(job));
	}
	fixture_close(&p);
}

/* Another worker has been on the VM all along; the cut one lives on. */
static void test_two_on_one_vm(void)
{
	struct crash_vm one = { "a-1", "vm", 1 };
	struct crash_vm two = { "b-2", "vm", 2 };
	struct sched_fixture p;

	fixture_open(&p, 1, NULL);
	crash_list_worker(&p, &one, 1);
	fixture_add_job(&p, fixture_spec("a", "short", 1, 1));
	sched_place(&p.s, 100);
	fixture_started(&p, crash_last_start(&p), 110);
	crash_list_worker(&p, &two, 120);
	crash_report_all(&p, one.id, 2000);
	crash_lose_worker(&p, &one, 3000);
	crash_list_worker(&p, &one, 12000);
	g_assert_cmpint(p.s.counts.crashes, ==, 0);
	fixture_close(&p);
}

/* A suspect starts apart where another one has just run for that long, which
 * crashes the worker. */
static void test_beside_suspect(void)
{
	struct crash_vm vm[1];
	struct sched_fixture p;
	struct sched_job *jobs[2];
	struct sched_job *innocent;

	fixture_open(&p, 1, NULL);
	crash_add_vm(&p, &vm[0], 0);
	for (int i = 0; i < 2; i++)
		jobs[i] = fixture_add_job(
			&p, fixture_spec(i ? "b" : "a", "short", 1, 1));
	sched_place(&p.s, 100);
	g_assert_cmpuint(p.starts->len, ==, 2);
	crash_answer_starts(&p, 0, 110);
	crash_report_all(&p, vm[0].id, 500);
	crash_restart_worker(&p, &vm[0], 4000);
	sched_tick(&p.s, 4100, 1004100);
	sched_place(&p.s, 4100);
	g_assert_cmpuint(p.starts->len, ==, 3);
	crash_answer_starts(&p, 2, 4110);
	crash_report_all(&p, vm[0].id, 5150);
	sched_place(&p.s, 5150);
	g_assert_cmpuint(p.starts->len, ==, 4);
	innocent = jobs[strcmp(crash_last_start(&p)->ref.job, "a") != 0];
	crash_answer_starts(&p, 3, 5160);
	/* The first of them crashes the worker after 1.5 s. */
	crash_restart_worker(&p, &vm[0], 8600);
	sched_tick(&p.s, 8700, 1008700);
	g_assert_false(sched_job_has_ended(innocent));
	fixture_close(&p);
}

/* Evicting where a task runs apart is of no use: nothing can start there. */
static void test_evict_at_isolated(void)
{
	struct crash_vm vm;
	struct sched_fixture p;
	struct jobspec *spec = fixture_spec("low", "long", 1, 1);
	struct sched_job *suspect;

	spec->steps[0].checkpoints = true;
	fixture_open(&p, 1, NULL);
	crash_add_vm(&p, &vm, 0);
	fixture_add_job(&p, spec);
	sched_place(&p.s, 100);
	crash_answer_starts(&p, 0, 110);
	crash_report_all(&p, vm.id, 200);
	suspect = fixture_add_job(&p, fixture_spec("s", "short", 1, 1));
	sched_crash_count(&suspect->rounds->steps[0].tasks[0], 101);
	sched_crash_count(&suspect->rounds->steps[0].tasks[0], 102);
	sched_place(&p.s, 300);
	g_assert_cmpuint(p.starts->len, ==, 2);
	crash_answer_starts(&p, 1, 310);
	crash_report_all(&p, vm.id, 400);
	g_assert_cmpint(fixture_worker(&p, vm.id)->n_isolated, ==, 1);
	fixture_add_job(&p, fixture_spec("high", "short", 1, 1));
	sched_place(&p.s, 500);
	g_assert_cmpuint(p.stops->len, ==, 0);
	fixture_close(&p);
}

void unit_add_crash_count(void)
{
	g_test_add_func("/crash/late-crash", test_late_crash);
	g_test_add_func("/crash/gang-member-active", test_gang_member_active);
	g_test_add_func("/crash/row-outlives-lease", test_row_outlives_lease);
	g_test_add_func("/crash/many-deadly", test_many_deadly);
	g_test_add_func("/crash/gang-recovers", test_gang_recovers);
	g_test_add_func("/crash/two-on-one-vm", test_two_on_one_vm);
	g_test_add_func("/crash/beside-suspect", test_beside_suspect);
	g_test_add_func("/crash/evict-at-isolated", test_evict_at_isolated);
}
