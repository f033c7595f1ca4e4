/* The workers that a step may use in one placement pass. Not for other modules
 * than the scheduler. */
#ifndef SCHED_CANDIDATES_H
#define SCHED_CANDIDATES_H

#include "coordination/sched_int.h"

struct candidate_set;

/* What a pass has found out so far; valid as long as no worker gains room or
 * changes otherwise, that is during one pass. */
struct sched_candidates {
	struct sched *sched;
	int64_t now_ms;
	void *ctx; /* owns the rest */
	struct candidate_set *sets;
	struct sched_worker **filtered; /* list of the last filtered find */
};

/* Workers in the order of the scheduler's list. Valid until the next find, or
 * the end of the pass. */
struct sched_candidate_list {
	struct candidate_set
		*set; /* NULL: the step's queue is not configured */
	struct sched_worker **workers;
	int32_t n;
	bool is_filtered; /* a part of the set, by rack or ticket */
};

void sched_candidates_init(struct sched_candidates *c, struct sched *s,
			   int64_t now_ms);
void sched_candidates_finish(struct sched_candidates *c);

/* Returns the workers that may run the step, quarantined ones too if
 * `quarantined` is set. */
struct sched_candidate_list sched_candidates_find(struct sched_candidates *c,
						  const struct sched_rank *r,
						  bool quarantined);

/* Returns whether tasks of the step fit at none of the candidates, by what was
 * found for tasks of this size or smaller ones. */
bool sched_candidates_fits_none(struct sched_candidates *c,
				const struct sched_candidate_list *list,
				const struct sched_step *step);
/* A task of the step was found to fit at none of the candidates or, if
 * `too_slow`, only where it would be too slow. */
void sched_candidates_note_misfit(struct sched_candidates *c,
				  const struct sched_candidate_list *list,
				  const struct sched_step *step, bool too_slow);

#endif
