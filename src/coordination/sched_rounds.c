/*
 * Rounds of jobs with a schedule: which of them are opened, and when.
 *
 * A worker's end may be acknowledged once its effect is stored, or if it has
 * none. So the owner must be able to open each round that a worker may report,
 * and to store it: it opens only rounds of a window, which begins after as many
 * rounds as are done in the stored progress row, and which a row has room for.
 * What a lost owner had running is then in the window of its successor, which
 * begins with the same row or a later one. An owner that can't store anything
 * comes to the end of its window and waits there.
 *
 * Reports of rounds beyond the window, as of the tasks of an owner that had
 * other limits, are left at the worker: see process_ends() in
 * sched_report.c.
 */
#include "coordination/sched_int.h"

static bool is_in_window(const struct sched *s, const struct sched_job *job,
			 int64_t number)
{
	return number - job->stored_rounds_done <
	       sched_rounds_open_max(s, job->spec);
}

bool sched_is_beyond_window(const struct sched *s, const struct sched_ref *ref)
{
	const struct sched_job *job = g_hash_table_lookup(s->jobs, ref->job);

	return job && !sched_job_has_ended(job) &&
	       ref->round >= job->next_round &&
	       ref->round < job->spec->rounds &&
	       !is_in_window(s, job, ref->round);
}

/* Creates the rounds that are due. A job without a schedule has one round. */
void sched_create_due_rounds(struct sched *s, struct sched_job *job,
			     int64_t now_ms, int64_t wall_ms)
{
	const struct jobspec *spec = job->spec;

	if (!spec->rounds && !job->next_round) {
		job->next_round = 1;
		sched_create_round(s, job, 0, job->accepted_ms);
		return;
	}
	while (job->next_round < spec->rounds &&
	       is_in_window(s, job, job->next_round)) {
		int64_t due = spec->first_due_ms +
			      job->next_round * spec->interval_ms;

		if (wall_ms < due || !sched_may_open_round(s, job))
			return;
		sched_create_round(s, job, job->next_round++,
				   now_ms - (wall_ms - due));
		sched_mark_dirty(s, job);
	}
}

/*
 * Returns the task that a worker reported. Creates the rounds up to it: a
 * previous owner may have opened rounds that it did not store, or, by a clock
 * that was ahead, have started one early.
 */
struct sched_task *sched_find_reported_task(struct sched *s,
					    const struct sched_ref *ref,
					    int64_t now_ms, int64_t wall_ms)
{
	struct sched_job *job = g_hash_table_lookup(s->jobs, ref->job);

	while (job && !sched_job_has_ended(job) &&
	       job->next_round <= ref->round &&
	       ref->round < job->spec->rounds &&
	       is_in_window(s, job, ref->round)) {
		int64_t due = job->spec->first_due_ms +
			      job->next_round * job->spec->interval_ms;

		sched_create_round(s, job, job->next_round++,
				   now_ms - (wall_ms - due));
		sched_mark_dirty(s, job);
	}
	return sched_find_task(s, ref);
}

void sched_progress_collected(struct sched *s, struct sched_job *job)
{
	job->committing_rounds_done = job->rounds_done;
	if (job->committing)
		return;
	job->committing = true;
	g_queue_push_tail_link(&s->committing_jobs, &job->committing_link);
}

bool sched_progress_stored(struct sched *s, int64_t now_ms, int64_t wall_ms)
{
	bool opened = false;
	GList *link;

	while ((link = g_queue_pop_head_link(&s->committing_jobs))) {
		struct sched_job *job = link->data;
		int64_t next_round = job->next_round;

		job->committing = false;
		job->stored_rounds_done = job->committing_rounds_done;
		if (!job->spec->rounds)
			continue;
		sched_charge(s, job);
		if (!sched_job_has_ended(job))
			sched_create_due_rounds(s, job, now_ms, wall_ms);
		opened |= job->next_round > next_round;
	}
	return opened;
}
