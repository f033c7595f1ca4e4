/* Attempts: a task isn't started again once as many runs of it have failed as
 * its queue allows, and its job ends. */
#include "coordination/sched_int.h"

bool sched_is_exhausted(const struct sched_task *t)
{
	const struct sched_step *step = t->step;
	const struct catalog_queue *q = step->round->job->queue;
	/* The members of a gang fail together. */
	const struct sched_task *counting =
		step->def->gang ? &step->tasks[0] : t;

	return q && counting->failures && !step->def->is_long_running &&
	       counting->failures >= q->attempts;
}

static bool has_exhausted_task(const struct sched_step *step)
{
	for (int32_t k = 0; k < step->def->tasks; k++) {
		const struct sched_task *t = &step->tasks[k];

		/* A run that is under way may still be done. */
		if (!t->done && !t->runs && sched_is_exhausted(t))
			return true;
	}
	return false;
}

static bool is_exhausted_job(const struct sched_job *job)
{
	for (struct sched_round *r = job->rounds; r; r = r->next) {
		for (int32_t i = 0; i < job->spec->n_steps; i++) {
			if (has_exhausted_task(&r->steps[i]))
				return true;
		}
	}
	return false;
}

void sched_end_exhausted(struct sched *s, int64_t now_ms, int64_t wall_ms)
{
	GHashTableIter it;
	gpointer value;

	if (!s->check_attempts)
		return;
	s->check_attempts = false;
	g_hash_table_iter_init(&it, s->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct sched_job *job = value;

		if (!sched_job_has_ended(job) && is_exhausted_job(job))
			sched_job_end(s, job, SCHED_JOB_FAILED, now_ms,
				      wall_ms);
	}
}
