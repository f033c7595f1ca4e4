/*
 * Decides whether a submitted job is accepted or refused, by what the shard's
 * owner says of its pool. Runs on every VM. A refusal is a row in the place of
 * the job's, so that no earlier attempt to store the job can succeed later.
 */
#ifndef ADMISSION_H
#define ADMISSION_H

#include "fleet/fleet.h"

struct admission {
	bool refused;
	bool over_cap; /* refused since it fits no cap of its organisation */
	int64_t retry_after_ms; /* valid if refused */
	const char *why; /* static text, valid if refused */
};

/* Memory of the jobs that this VM has accepted lately: the owner's row may not
 * count them yet. */
#define ADMISSION_SECONDS 4
struct admission_memory {
	int64_t bytes[ADMISSION_SECONDS]; /* by second, in turn */
	int64_t last_s; /* of the monotonic clock */
};

/*
 * Refuses a job for which the owner has no memory, by its row of this age; -1:
 * unknown. `limit_bytes` is what an owner has for all jobs; 0: any. Counts the
 * job if it is not refused.
 */
void admission_decide_memory(struct admission_memory *m,
			     const struct owner_row *row, int64_t age_ms,
			     int64_t limit_bytes, const struct jobspec *spec,
			     int64_t now_ms, struct admission *out);

/*
 * Refuses a job that exceeds a cap, see admission_check_cap(), and one with
 * long-running tasks for which the pool has no room, since they would keep
 * others from running for as long as they last. Accepts the latter if the room
 * is not known, or what is known is older than 2 s. Then does what
 * admission_decide_overload() and admission_decide_memory() do; `m` is that of
 * the job's shard.
 */
void admission_check(const struct fleet *f, struct admission_memory *m,
		     const struct jobspec *spec, struct admission *out);

/*
 * Refuses a job with a task, or a gang as a whole, that exceeds the cap of its
 * organisation: it could never start. `c` may be NULL.
 */
void admission_check_cap(const struct catalog *c, const struct jobspec *spec,
			 struct admission *out);

/* What admission_check() does by an owner's row of this age; -1: unknown. `row`
 * may be NULL. */
void admission_decide(const struct owner_row *row, int64_t age_ms,
		      const char *pool, const struct jobspec *spec,
		      struct admission *out);

/*
 * Refuses a job of an organisation that exceeds its rate, while its jobs in
 * excess wait and the pool is full, by an owner's row of this age. The caller
 * is told to return when those are worked off at the organisation's rate. Does
 * nothing if the job belongs to no organisation (`org` NULL), or if the row
 * (NULL: none) doesn't tell or is older than 2 s.
 */
void admission_decide_overload(const struct owner_row *row, int64_t age_ms,
			       const char *pool, const struct org *org,
			       const struct jobspec *spec,
			       struct admission *out);

/* Returns the row of a refusal made at this time of the store's clock; the
 * caller owns the reference. */
json_t *admission_pack_refusal(int64_t at_ms);
/* Returns whether the row is a refusal, and in `at_ms` its time. */
bool admission_parse_refusal(const char *row, int64_t *at_ms);
/*
 * Returns whether a submission received at `received_ms` is an attempt that the
 * refusal answered, too, rather than a caller's return after it; both on the
 * store's clock.
 */
bool admission_covers(int64_t refused_ms, int64_t received_ms);

#endif
