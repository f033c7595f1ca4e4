/* A scheduler whose orders are only written down; for its tests. */
#ifndef PAPER_H
#define PAPER_H

#include <glib.h>

#include "coordination/sched.h"

#define PAPER_LEASE_MS 6000

/* What the scheduler asked for, in order. */
struct paper {
	struct sched s;
	GArray *starts; /* struct noted */
	GArray *stops;
	GArray *paces;
	int advised;
};

struct noted {
	struct sched_ref ref;
	char worker[SCHED_ID_MAX];
	int32_t percent;
};

/* Queues short (urgent), long and ruled (by a policy), all of pool p. */
void paper_open(struct paper *p, int64_t epoch, GHashTable *out);
void paper_close(struct paper *p);
struct sched_worker *paper_worker(struct paper *p, const char *id);
void paper_add_worker(struct paper *p, const char *id, const char *rack);
/* The store has the roster as it is. */
void paper_store_roster(struct paper *p);
void paper_look_at(struct paper *p, const char *id, struct sched_active *a,
		   int32_t n_active, struct sched_end *e, int32_t n_ends,
		   int64_t now_ms);
struct jobspec *paper_spec_of(const char *id, const char *queue, int32_t steps,
			      int32_t tasks);
struct sched_job *paper_add_job(struct paper *p, struct jobspec *spec);
const struct noted *paper_start_at(const struct paper *p, guint i);
struct sched_end paper_end_of(const struct noted *n, int64_t seq,
			      enum sched_end_reason reason);
struct sched_active paper_active_of(const struct noted *n, int32_t percent);
void paper_started(struct paper *p, const struct noted *n, int64_t now_ms);

#endif
