/* Test fixture: one fleet process over a store in memory. Its workers don't
 * answer. */
#ifndef CTL_FIXTURE_H
#define CTL_FIXTURE_H

#include "fleet/job_api.h"
#include "fleet/shard_ctl.h"
#include "tests/fake_rows.h"
#include "tests/sched_fixture.h"

#define FIXTURE_HEARTBEAT_MS 50
#define FIXTURE_TIMEOUT_MS 10000

/* One fleet process. Its list of workers holds v1 and v2. */
struct ctl_fixture {
	struct fleet f;
	struct fake_rows store;
	struct tmr_set *timers;
	GQueue polls; /* not answered yet */
	bool list_unanswered; /* the list of workers never arrives */
};

extern struct ctl_fixture *fx;

void ctl_fixture_open(void);
/* Starts the process, with the queue short of pool p. */
void ctl_fixture_start(void);
/* Releases the shard, which frees all that belongs to its ownership, and then
 * the fixture. */
void ctl_fixture_close(void);
/* Makes `names` the organisations of `c`, each with its name as its only key.
 */
void fixture_set_orgs(struct catalog *c, const char *const *names, int32_t n);
/* Returns a caller with that organisation's key; "": one without a key. */
struct access fixture_caller(const char *org);
/* Lists a worker of 8 cores. */
void list_worker(const char *id);
void run_loop_ms(int64_t ms);
/* Waits until the process owns the shard and has loaded it. */
const struct sched *await_active(void);

#endif
