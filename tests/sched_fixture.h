/* A scheduler whose orders are only written down; for its tests. */
#ifndef SCHED_FIXTURE_H
#define SCHED_FIXTURE_H

#include <glib.h>

#include "coordination/sched.h"

#define FIXTURE_LEASE_MS 6000

/* What the scheduler asked for, in order. */
struct sched_fixture {
	struct sched s;
	GArray *starts; /* struct recorded_command */
	GArray *stops;
	GArray *paces;
	int advised;
};

struct recorded_command {
	struct sched_ref ref;
	char worker[SCHED_ID_MAX];
	int32_t percent;
};

/* Queues short (urgent), long and ruled (by a policy), all of pool p. */
void fixture_open(struct sched_fixture *p, int64_t epoch, GHashTable *out);
void fixture_close(struct sched_fixture *p);
struct sched_worker *fixture_worker(struct sched_fixture *p, const char *id);
void fixture_add_worker(struct sched_fixture *p, const char *id,
			const char *rack);
/* The store has the roster as it is. */
void fixture_store_roster(struct sched_fixture *p);
void fixture_poll(struct sched_fixture *p, const char *id,
		  struct sched_active *a, int32_t n_active, struct sched_end *e,
		  int32_t n_ends, int64_t now_ms);
struct jobspec *fixture_spec(const char *id, const char *queue, int32_t steps,
			     int32_t tasks);
struct sched_job *fixture_add_job(struct sched_fixture *p,
				  struct jobspec *spec);
const struct recorded_command *fixture_start(const struct sched_fixture *p,
					     guint i);
struct sched_end fixture_end(const struct recorded_command *n, int64_t seq,
			     enum sched_end_reason reason);
struct sched_active fixture_active(const struct recorded_command *n,
				   int32_t percent);
void fixture_started(struct sched_fixture *p, const struct recorded_command *n,
		     int64_t now_ms);

#endif
