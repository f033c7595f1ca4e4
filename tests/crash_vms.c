/* Test fixture: VMs whose workers crash and come back. */
#include "tests/crash_vms.h"

#include <string.h>

#include "coordination/sched_int.h"

void crash_list_worker(struct sched_fixture *p, const struct crash_vm *vm,
		       int64_t now)
{
	struct sched_worker_row row = {
		.pool = "p",
		.domain = "d",
		.born_ms = vm->life,
		.total = { 8000, 8000, 0 },
	};

	g_strlcpy(row.id, vm->id, sizeof(row.id));
	g_strlcpy(row.vm, vm->name, sizeof(row.vm));
	g_strlcpy(row.rack, "r", sizeof(row.rack));
	g_snprintf(row.address, sizeof(row.address), "%s:80", vm->name);
	sched_worker_listed(&p->s, &row, now);
	fixture_store_roster(p);
	fixture_poll(p, vm->id, NULL, 0, NULL, 0, now + 1);
}

void crash_add_vm(struct sched_fixture *p, struct crash_vm *vm, int number)
{
	g_snprintf(vm->id, sizeof(vm->id), "w%d-1", number);
	g_snprintf(vm->name, sizeof(vm->name), "vm%d", number);
	vm->life = 1;
	crash_list_worker(p, vm, 1);
}

/* The worker is silent and leaves the list; its leases expire. */
void crash_lose_worker(struct sched_fixture *p, const struct crash_vm *vm,
		       int64_t now)
{
	sched_worker_unanswered(&p->s, fixture_worker(p, vm->id), now);
	sched_worker_unlisted(&p->s, vm->id, now + 3000);
	sched_tick(&p->s, now + CRASH_LEASE_OVER_MS,
		   1000000 + now + CRASH_LEASE_OVER_MS);
}

/* The VM has a new worker, under a new id. */
void crash_replace_worker(struct sched_fixture *p, struct crash_vm *vm,
			  int64_t now)
{
	vm->life++;
	g_snprintf(vm->id, sizeof(vm->id), "%s-%d", vm->name, vm->life);
	crash_list_worker(p, vm, now);
}

struct crash_vm *crash_vm_of(struct crash_vm *vms, int n, const char *worker)
{
	for (int i = 0; i < n; i++) {
		if (!strcmp(vms[i].id, worker))
			return &vms[i];
	}
	g_assert_not_reached();
}

const struct recorded_command *crash_last_start(const struct sched_fixture *p)
{
	return fixture_start(p, p->starts->len - 1);
}

void crash_open_vms(struct sched_fixture *p, struct crash_vm *vms)
{
	fixture_open(p, 1, NULL);
	for (int i = 0; i < CRASH_VMS; i++)
		crash_add_vm(p, &vms[i], i);
}

/* Reports all runs that the worker has by the scheduler's count, as active. */
void crash_report_all(struct sched_fixture *p, const char *id, int64_t now)
{
	struct sched_worker *w = fixture_worker(p, id);
	struct sched_active a[64] = { 0 };
	int32_t n = 0;

	for (const GList *i = w->runs.head; i; i = i->next) {
		sched_run_ref(i->data, &a[n].ref);
		a[n++].percent = 5;
	}
	fixture_poll(p, id, a, n, NULL, 0, now);
}

void crash_answer_starts(struct sched_fixture *p, guint from, int64_t now)
{
	for (guint i = from; i < p->starts->len; i++)
		fixture_started(p, fixture_start(p, i), now);
}

/* The worker's process is replaced under its id. */
void crash_restart_worker(struct sched_fixture *p, struct crash_vm *vm,
			  int64_t now)
{
	vm->life++;
	crash_list_worker(p, vm, now);
}
