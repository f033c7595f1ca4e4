/* Test fixture: VMs whose workers crash and come back. */
#ifndef CRASH_VMS_H
#define CRASH_VMS_H

#include "tests/sched_fixture.h"

/* Longer than any lease, with all margins. */
#define CRASH_LEASE_OVER_MS 8000
#define CRASH_VMS 4

/* A VM whose worker may be replaced by a new one. */
struct crash_vm {
	char id[16];
	char name[16];
	int life;
};

/* Opens the fixture with CRASH_VMS VMs. */
void crash_open_vms(struct sched_fixture *p, struct crash_vm *vms);
void crash_add_vm(struct sched_fixture *p, struct crash_vm *vm, int number);
/* The list of workers has the VM's worker; it answers a poll. */
void crash_list_worker(struct sched_fixture *p, const struct crash_vm *vm,
		       int64_t now);
/* The worker is silent and leaves the list; its leases expire. */
void crash_lose_worker(struct sched_fixture *p, const struct crash_vm *vm,
		       int64_t now);
/* The VM has a new worker, under a new id. */
void crash_replace_worker(struct sched_fixture *p, struct crash_vm *vm,
			  int64_t now);
/* The worker's process is replaced under its id. */
void crash_restart_worker(struct sched_fixture *p, struct crash_vm *vm,
			  int64_t now);
struct crash_vm *crash_vm_of(struct crash_vm *vms, int n, const char *worker);
const struct recorded_command *crash_last_start(const struct sched_fixture *p);
/* Reports all runs that the worker has by the scheduler's count, as active. */
void crash_report_all(struct sched_fixture *p, const char *id, int64_t now);
/* The workers answer the start commands from number `from` on with success. */
void crash_answer_starts(struct sched_fixture *p, guint from, int64_t now);

#endif
