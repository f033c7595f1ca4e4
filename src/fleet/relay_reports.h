/*
 * The last report of each worker that went over one link between an owner and a
 * relay. Both ends keep them, so that a relay sends only what has changed
 * since. Uses no network.
 */
#ifndef RELAY_REPORTS_H
#define RELAY_REPORTS_H

#include <glib.h>

#include "coordination/sched.h"

/* A run whose progress, gauge or checkpoint has changed. */
struct relay_change {
	int32_t index; /* in the list of the base */
	int32_t percent;
	int64_t gauge;
	const char *checkpoint; /* NULL: the same */
};

/* Entries of a list that are no more, and those that came. */
struct relay_moves {
	int32_t n_removed;
	int32_t *removed; /* indexes in the list of the base, ascending */
	int32_t n_added;
};

/* A report as the difference from an earlier one, its base. */
struct relay_delta {
	int64_t base; /* number of that report */
	int64_t clock_ms;
	int64_t born_ms;
	struct relay_moves active_moves;
	struct relay_moves end_moves;
	int32_t n_changed;
	struct relay_change *changed;
	struct sched_active *added_active;
	struct sched_end *added_ends;
};

struct relay_reports {
	GHashTable *held; /* worker id to struct held of relay_reports.c */
};

void relay_reports_init(struct relay_reports *r);
void relay_reports_finish(struct relay_reports *r);

/* Returns the number of the worker's report that is kept; 0: none. */
int64_t relay_reports_number(const struct relay_reports *r, const char *worker);
/* Keeps a copy of the report, in place of an earlier one. `number` is not 0. */
void relay_reports_keep(struct relay_reports *r, const char *worker,
			int64_t number, const struct sched_report *report);

/* Returns the report as the difference from the one that is kept, a talloc
 * child of `ctx`, or NULL if none with the number `base` is. */
struct relay_delta *relay_reports_diff(void *ctx, const struct relay_reports *r,
				       const char *worker, int64_t base,
				       const struct sched_report *report);
/* Returns the report that the difference stands for, a talloc child of `ctx`,
 * or NULL if its base is not kept or doesn't fit. */
struct sched_report *relay_reports_apply(void *ctx,
					 const struct relay_reports *r,
					 const char *worker,
					 const struct relay_delta *delta);

#endif
