/* Second copies of tasks, for the placement pass. Not for other modules than
 * the scheduler. */
#ifndef SCHED_COPIES_H
#define SCHED_COPIES_H

#include "coordination/sched_candidates.h"

/* A search for tasks that get a copy; valid for one pass. */
struct sched_copy_search {
	GList *next_step; /* in sched.ready_steps */
	int32_t next_index;
	int32_t left; /* copies that may still be started */
};

void sched_copies_begin(const struct sched *s,
			struct sched_copy_search *search);

/* Returns the next task that gets a copy, and the worker for it; false if there
 * is none. The caller starts it. */
bool sched_copies_next(struct sched_candidates *c,
		       struct sched_copy_search *search,
		       struct sched_task **task, struct sched_worker **worker);

#endif
