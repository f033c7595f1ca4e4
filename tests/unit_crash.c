/* Tests tasks that crash the workers where they start. */
#include <glib.h>
#include <string.h>

#include "tests/crash_vms.h"
#include "tests/unit.h"

/* Crashes the worker of the last start, whose command was answered so. Returns
 * the time after the VM has its new worker. */
static int64_t crash_after(struct sched_fixture *p, struct crash_vm *vms, int n,
			   enum sched_start_result answer, int64_t now)
{
	const struct recorded_command *start = crash_last_start(p);
	struct crash_vm *vm = crash_vm_of(vms, n, start->worker);

	sched_start_answered(&p->s, &start->ref, start->worker, answer, now);
	crash_lose_worker(p, vm, now);
	crash_replace_worker(p, vm, now + CRASH_LEASE_OVER_MS);
	now += CRASH_LEASE_OVER_MS + 100;
	sched_tick(&p->s, now, 1000000 + now);
	return now;
}

static int64_t crash_last(struct sched_fixture *p, struct crash_vm *vms, int n,
			  int64_t now)
{
	return crash_after(p, vms, n, SCHED_START_OK, now);
}

/* Adds the job and starts it as long as it is started, crashing each worker
 * after this answer. Returns the number of starts. */
static guint start_until_given_up(struct jobspec *spec,
				  enum sched_start_result answer)
{
	struct crash_vm vms[CRASH_VMS];
	struct sched_fixture p;
	struct sched_job *job;
	int64_t now = 100;
	guint starts = 0;

	crash_open_vms(&p, vms);
	job = fixture_add_job(&p, spec);
	for (int i = 0; i < 8; i++) {
		sched_place(&p.s, now);
		if (p.starts->len == starts)
			break;
		starts = p.starts->len;
		now = crash_after(&p, vms, CRASH_VMS, answer, now + 10);
	}
	g_assert_cmpint(job->state, ==, SCHED_JOB_FAILED);
	fixture_close(&p);
	return starts;
}

/* Incident BUDGET: a task crashed worker after worker until the day ended. */
static void test_deadly_task(void)
{
	g_assert_cmpuint(start_until_given_up(fixture_spec("d", "short", 1, 1),
					      SCHED_START_OK),
			 ==, 2);
}

/* The same of a long-running task, which has no limit of attempts, and of a
 * gang, whose members can't be started apart. */
static void test_deadly_long_running(void)
{
	struct jobspec *spec = fixture_spec("d", "short", 1, 1);

	spec->steps[0].is_long_running = true;
	g_assert_cmpuint(start_until_given_up(spec, SCHED_START_OK), ==, 2);
}

static void test_deadly_gang(void)
{
	struct jobspec *spec = fixture_spec("d", "short", 1, 1);

	spec->steps[0].gang = true;
	g_assert_cmpuint(start_until_given_up(spec, SCHED_START_OK), <=, 5);
}

/* Starts that get no answer: the worker may have been down already. A task that
 * crashes workers before they answer is given up all the same. */
static void test_deadly_before_answer(void)
{
	struct jobspec *spec = fixture_spec("d", "short", 1, 1);

	g_assert_cmpuint(start_until_given_up(spec, SCHED_START_UNKNOWN), ==,
			 5);
	spec = fixture_spec("d", "short", 1, 1);
	spec->steps[0].gang = true;
	g_assert_cmpuint(start_until_given_up(spec, SCHED_START_UNKNOWN), ==,
			 5);
}

/* Review, case 2: a job was shown as failed after two starts at workers that
 * were down already, though no run of it had begun. */
static void test_unanswered_starts(void)
{
	struct crash_vm vms[CRASH_VMS];
	struct sched_fixture p;
	struct sched_job *job;
	int64_t now = 100;

	crash_open_vms(&p, vms);
	job = fixture_add_job(&p, fixture_spec("a", "short", 1, 1));
	for (guint i = 0; i < 3; i++) {
		sched_place(&p.s, now);
		g_assert_cmpuint(p.starts->len, ==, i + 1);
		now = crash_after(&p, vms, CRASH_VMS, SCHED_START_UNKNOWN,
				  now + 10);
		g_assert_false(sched_job_has_ended(job));
	}
	fixture_close(&p);
}

/* The worker comes back under its id. */
static void test_restart_under_same_id(void)
{
	struct crash_vm vms[CRASH_VMS];
	struct sched_fixture p;
	struct sched_job *job;

	crash_open_vms(&p, vms);
	job = fixture_add_job(&p, fixture_spec("d", "short", 1, 1));
	for (int64_t now = 100; now < 20000; now += 5000) {
		struct crash_vm *vm;

		sched_place(&p.s, now);
		if (sched_job_has_ended(job))
			break;
		vm = crash_vm_of(vms, CRASH_VMS, crash_last_start(&p)->worker);
		sched_start_answered(&p.s, &crash_last_start(&p)->ref, vm->id,
				     SCHED_START_OK, now + 10);
		sched_worker_unanswered(&p.s, fixture_worker(&p, vm->id),
					now + 20);
		vm->life++;
		crash_list_worker(&p, vm, now + 3000);
		sched_tick(&p.s, now + 3100, 1000000 + now + 3100);
	}
	g_assert_cmpint(job->state, ==, SCHED_JOB_FAILED);
	g_assert_cmpuint(p.starts->len, ==, 2);
	fixture_close(&p);
}

/* A worker that is cut off and comes back didn't crash. */
static void test_cut_is_no_crash(void)
{
	struct crash_vm vms[CRASH_VMS];
	struct sched_fixture p;
	struct sched_job *job;
	int64_t now = 100;

	crash_open_vms(&p, vms);
	job = fixture_add_job(&p, fixture_spec("a", "short", 1, 1));
	for (int i = 0; i < 6; i++) {
		struct crash_vm *vm;

		sched_place(&p.s, now);
		fixture_started(&p, crash_last_start(&p), now + 10);
		vm = crash_vm_of(vms, CRASH_VMS, crash_last_start(&p)->worker);
		crash_lose_worker(&p, vm, now + 20);
		now += CRASH_LEASE_OVER_MS + 100;
		crash_list_worker(&p, vm, now);
		sched_tick(&p.s, now + 10, 1000000 + now + 10);
	}
	g_assert_false(sched_job_has_ended(job));
	g_assert_cmpint(p.s.counts.crashes, ==, 0);
	fixture_close(&p);
}

/* A worker that leaves as announced didn't crash. */
static void test_leaving_is_no_crash(void)
{
	struct crash_vm vms[CRASH_VMS];
	struct sched_fixture p;
	struct sched_worker_row row;

	crash_open_vms(&p, vms);
	fixture_add_job(&p, fixture_spec("a", "short", 1, 1));
	sched_place(&p.s, 100);
	fixture_started(&p, crash_last_start(&p), 110);
	row = fixture_worker(&p, crash_last_start(&p)->worker)->row;
	row.draining = true;
	sched_worker_listed(&p.s, &row, 200);
	crash_lose_worker(&p, crash_vm_of(vms, CRASH_VMS, row.id), 300);
	crash_replace_worker(&p, crash_vm_of(vms, CRASH_VMS, row.id), 9000);
	g_assert_cmpint(p.s.counts.crashes, ==, 0);
	fixture_close(&p);
}

/* Of the tasks at a worker that crashed, only the one that crashes the next one
 * too is given up; no other starts beside it meanwhile. */
static void test_innocent_neighbours(void)
{
	struct crash_vm vms[CRASH_VMS];
	struct sched_fixture p;
	struct sched_job *good;
	struct sched_job *bad;
	const struct recorded_command *start;
	struct sched_active active;
	char used[2][SCHED_ID_MAX];
	int64_t now;

	crash_open_vms(&p, vms);
	good = fixture_add_job(&p, fixture_spec("good", "short", 1, 1));
	sched_place(&p.s, 100);
	fixture_started(&p, crash_last_start(&p), 110);
	g_strlcpy(used[0], crash_last_start(&p)->worker, sizeof(used[0]));
	/* Best fit puts the second task beside the first. */
	bad = fixture_add_job(&p, fixture_spec("bad", "short", 1, 1));
	sched_place(&p.s, 120);
	g_assert_cmpstr(crash_last_start(&p)->worker, ==, used[0]);
	now = crash_last(&p, vms, CRASH_VMS, 130);
	sched_place(&p.s, now);
	g_assert_cmpuint(p.starts->len, ==, 4);
	for (guint i = 0; i < 2; i++) {
		start = fixture_start(&p, 2 + i);
		g_strlcpy(used[i], start->worker, sizeof(used[i]));
		if (!strcmp(start->ref.job, "good")) {
			fixture_started(&p, start, now + 10);
			active = fixture_active(start, 10);
			fixture_poll(&p, start->worker, &active, 1, NULL, 0,
				     now + 1500);
		}
	}
	g_assert_cmpstr(used[0], !=, used[1]);
	start = fixture_start(&p, 2);
	if (strcmp(start->ref.job, "bad"))
		start = fixture_start(&p, 3);
	sched_start_answered(&p.s, &start->ref, start->worker, SCHED_START_OK,
			     now + 10);
	crash_lose_worker(&p, crash_vm_of(vms, CRASH_VMS, start->worker),
			  now + 20);
	crash_replace_worker(&p, crash_vm_of(vms, CRASH_VMS, start->worker),
			     now + 9000);
	sched_tick(&p.s, now + 9100, 1000000 + now + 9100);
	g_assert_cmpint(bad->state, ==, SCHED_JOB_FAILED);
	g_assert_false(sched_job_has_ended(good));
	fixture_close(&p);
}

/* The count survives the loss of the owner; rows of older releases lack it. */
static void test_successor_keeps_count(void)
{
	struct crash_vm vms[CRASH_VMS];
	struct sched_fixture p;
	struct sched_job *job;
	json_t *progress;
	json_t *entry;
	int64_t now;

	crash_open_vms(&p, vms);
	job = fixture_add_job(&p, fixture_spec("d", "short", 1, 1));
	sched_place(&p.s, 100);
	now = crash_last(&p, vms, CRASH_VMS, 110);
	g_assert_cmpuint(p.s.dirty_jobs.length, ==, 1);
	progress = sched_job_progress(job, SCHED_DETAIL_ALL);
	fixture_close(&p);

	crash_open_vms(&p, vms);
	job = sched_job_add(&p.s, fixture_spec("d", "short", 1, 1), progress, 5,
			    true, 0, 1000000);
	sched_place(&p.s, now);
	crash_last(&p, vms, CRASH_VMS, now);
	g_assert_cmpint(job->state, ==, SCHED_JOB_FAILED);
	fixture_close(&p);

	entry = json_array_get(json_object_get(progress, "rounds"), 0);
	entry = json_array_get(json_array_get(entry, 1), 0);
	entry = json_array_get(json_array_get(entry, 1), 0);
	g_assert_cmpuint(json_array_size(entry), ==, 6);
	json_array_remove(entry, 5);
	json_array_remove(entry, 4);
	crash_open_vms(&p, vms);
	job = sched_job_add(&p.s, fixture_spec("d", "short", 1, 1), progress, 5,
			    false, 0, 1000000);
	g_assert_cmpint(job->rounds->steps[0].tasks[0].crashes, ==, 0);
	json_decref(progress);
	fixture_close(&p);
}

#define DOMAIN_VMS 24

/* When a failure domain loses power, the tasks there didn't do it. */
static void test_domain_restarts(void)
{
	struct crash_vm vms[DOMAIN_VMS];
	struct sched_fixture p;
	struct jobspec *spec;
	int32_t suspects = 0;
	struct sched_job *job;

	fixture_open(&p, 1, NULL);
	for (int i = 0; i < DOMAIN_VMS; i++)
		crash_add_vm(&p, &vms[i], i);
	spec = fixture_spec("a", "short", 1, DOMAIN_VMS);
	spec->steps[0].cpu_milli = 8000;
	job = fixture_add_job(&p, spec);
	sched_place(&p.s, 100);
	g_assert_cmpuint(p.starts->len, ==, DOMAIN_VMS);
	for (guint i = 0; i < DOMAIN_VMS; i++) {
		struct sched_active a = fixture_active(fixture_start(&p, i), 5);

		fixture_started(&p, fixture_start(&p, i), 110);
		fixture_poll(&p, fixture_start(&p, i)->worker, &a, 1, NULL, 0,
			     1000);
	}
	for (int i = 0; i < DOMAIN_VMS; i++) {
		vms[i].life++;
		crash_list_worker(&p, &vms[i], 2000 + 20 * i);
	}
	for (int k = 0; k < DOMAIN_VMS; k++)
		suspects += job->rounds->steps[0].tasks[k].crashes > 0;
	g_assert_cmpint(suspects, <=, SCHED_CRASHES_RECENT);
	fixture_close(&p);
}

/* A run that is found at the restarted worker was started after the crash. */
static void test_late_start_is_no_crash(void)
{
	struct crash_vm vms[CRASH_VMS];
	struct sched_fixture p;
	struct sched_active a;
	struct sched_job *job;
	struct crash_vm *vm;

	crash_open_vms(&p, vms);
	job = fixture_add_job(&p, fixture_spec("a", "short", 1, 1));
	sched_place(&p.s, 100);
	vm = crash_vm_of(vms, CRASH_VMS, crash_last_start(&p)->worker);
	sched_start_answered(&p.s, &crash_last_start(&p)->ref, vm->id,
			     SCHED_START_UNKNOWN, 110);
	vm->life++;
	crash_list_worker(&p, vm, 3000);
	a = fixture_active(crash_last_start(&p), 5);
	fixture_poll(&p, vm->id, &a, 1, NULL, 0, 3100);
	g_assert_cmpint(job->rounds->steps[0].tasks[0].crashes, ==, 0);
	fixture_close(&p);
}

void unit_add_crash(void)
{
	g_test_add_func("/crash/deadly-before-answer",
			test_deadly_before_answer);
	g_test_add_func("/crash/unanswered-starts", test_unanswered_starts);
	g_test_add_func("/crash/deadly-task", test_deadly_task);
	g_test_add_func("/crash/deadly-long-running", test_deadly_long_running);
	g_test_add_func("/crash/deadly-gang", test_deadly_gang);
	g_test_add_func("/crash/restart-under-same-id",
			test_restart_under_same_id);
	g_test_add_func("/crash/cut-is-no-crash", test_cut_is_no_crash);
	g_test_add_func("/crash/leaving-is-no-crash", test_leaving_is_no_crash);
	g_test_add_func("/crash/innocent-neighbours", test_innocent_neighbours);
	g_test_add_func("/crash/successor-keeps-count",
			test_successor_keeps_count);
	g_test_add_func("/crash/domain-restarts", test_domain_restarts);
	g_test_add_func("/crash/late-start-is-no-crash",
			test_late_start_is_no_crash);
}
