/* Simulated workers for tests of the scheduler: each runs what it is told to,
 * for the expected time, or until it is told to stop. */
#ifndef SCHED_SIM_H
#define SCHED_SIM_H

#include "tests/sched_fixture.h"

#define SIM_RUNS_MAX 256
#define SIM_WORKERS_MAX 64

struct sim_run {
	struct recorded_command cmd;
	int64_t end_ms;
	bool stopped;
};

struct sim_worker {
	char id[SCHED_ID_MAX];
	struct sim_run runs[SIM_RUNS_MAX];
	int n;
	int64_t seq;
	struct sched_end ends[SIM_RUNS_MAX];
	int n_ends;
};

struct sim {
	struct sched_fixture p;
	struct sim_worker w[SIM_WORKERS_MAX];
	int n;
	guint seen_starts;
	guint seen_stops;
	/* If set, called after each pass. */
	void (*after_pass)(struct sim *m, int64_t now_ms, void *priv);
	void *priv;
};

/* Adds a worker like fixture_add_worker(), in a rack of its own. */
void sim_add(struct sim *m, const char *id);
void sim_add_row(struct sim *m, const struct sched_worker_row *row);
/* Runs the workers and the scheduler, with a pass each 100 ms. */
void sim_run(struct sim *m, int64_t from_ms, int64_t to_ms);

#endif
