/* Jobs of the scheduler: their rounds, steps and tasks. */
#include "coordination/sched.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "coordination/sched_int.h"
#include "protocol/num.h"

/*
 * Run numbers skipped after a change of owner: the previous owner may have used
 * some that it did not store.
 */
#define INHERITED_RUN_GAP 8
bool sched_job_has_ended(const struct sched_job *job)
{
	return job->state >= SCHED_JOB_DONE;
}

void sched_mark_dirty(struct sched *s, struct sched_job *job)
{
	if (job->dirty)
		return;
	job->dirty = true;
	g_queue_push_tail_link(&s->dirty_jobs, &job->dirty_link);
}

void sched_update_ready(struct sched *s, struct sched_step *step)
{
	bool ready = !step->n_blockers && step->tasks_left > 0 &&
		     !sched_job_has_ended(step->round->job);

	if (ready == step->in_ready_list)
		return;
	step->in_ready_list = ready;
	if (ready)
		g_queue_push_tail_link(&s->ready_steps, &step->ready_link);
	else
		g_queue_unlink(&s->ready_steps, &step->ready_link);
}

static void init_step(struct sched *s, struct sched_round *round, int32_t i,
		      int64_t now_ms)
{
	struct sched_step *step = &round->steps[i];
	int32_t gap = round->job->inherited ? INHERITED_RUN_GAP : 0;

	step->round = round;
	step->def = &round->job->spec->steps[i];
	step->index = i;
	step->image = interfere_image(&s->interfere, step->def->image);
	step->remaining_ms = jobspec_critical_path_ms(round->job->spec, i);
	step->n_blockers = step->def->n_after;
	step->tasks_left = step->def->tasks;
	step->gang_run = gap;
	step->ready_ms = now_ms;
	step->ready_link.data = step;
	step->tasks =
		talloc_zero_array(round, struct sched_task, step->tasks_left);
	for (int32_t k = 0; k < step->tasks_left; k++) {
		step->tasks[k].step = step;
		step->tasks[k].index = k;
		step->tasks[k].last_run = gap;
	}
}

struct sched_round *sched_create_round(struct sched *s, struct sched_job *job,
				       int64_t number, int64_t due_ms)
{
	struct sched_round *round = talloc_zero(job, struct sched_round);
	struct sched_round **at = &job->rounds;

	round->job = job;
	round->number = number;
	round->due_ms = due_ms;
	round->steps_left = job->spec->n_steps;
	round->steps =
		talloc_zero_array(round, struct sched_step, round->steps_left);
	for (int32_t i = 0; i < job->spec->n_steps; i++)
		init_step(s, round, i, due_ms);
	while (*at)
		at = &(*at)->next;
	*at = round;
	job->rounds_open++;
	sched_charge(s, job);
	for (int32_t i = 0; i < job->spec->n_steps; i++)
		sched_update_ready(s, &round->steps[i]);
	return round;
}

/* Removes the round's steps from the ready list and frees their tickets. */
static void remove_round_steps(struct sched *s, struct sched_round *round)
{
	int32_t n = round->job->spec->n_steps;

	for (int32_t i = 0; i < n; i++) {
		struct sched_step *step = &round->steps[i];

		sched_free_advice(step);
		if (!step->in_ready_list)
			continue;
		step->in_ready_list = false;
		g_queue_unlink(&s->ready_steps, &step->ready_link);
	}
}

static void free_round(struct sched *s, struct sched_round *round)
{
	struct sched_round **at = &round->job->rounds;

	for (int32_t i = 0; i < round->job->spec->n_steps; i++) {
		struct sched_step *step = &round->steps[i];

		for (int32_t k = 0; k < step->def->tasks; k++) {
			while (step->tasks[k].runs) {
				sched_org_run_dropped(s, step->tasks[k].runs);
				sched_run_free(s, step->tasks[k].runs);
			}
		}
	}
	remove_round_steps(s, round);
	while (*at != round)
		at = &(*at)->next;
	*at = round->next;
	round->job->rounds_open--;
	sched_charge(s, round->job);
	talloc_free(round);
}

void sched_job_end(struct sched *s, struct sched_job *job,
		   enum sched_job_state state, int64_t now_ms, int64_t wall_ms)
{
	sched_set_job_state(s, job, state);
	job->ended_wall_ms = wall_ms;
	if (state == SCHED_JOB_DONE)
		s->counts.jobs_done++;
	else if (state == SCHED_JOB_FAILED)
		s->counts.jobs_failed++;
	else
		s->counts.jobs_cancelled++;
	for (struct sched_round *r = job->rounds; r; r = r->next) {
		for (int32_t i = 0; i < job->spec->n_steps; i++) {
			struct sched_step *step = &r->steps[i];
			struct sched_run *run;

			sched_update_ready(s, step);
			sched_demand_ended(s, step);
			for (int32_t k = 0; k < step->def->tasks; k++)
				for (run = step->tasks[k].runs; run;
				     run = run->next_of_task)
					sched_run_stop(s, run, now_ms,
						       "job has ended");
		}
	}
	sched_mark_dirty(s, job);
}

static void complete_step(struct sched *s, struct sched_step *done,
			  int64_t now_ms)
{
	struct sched_round *round = done->round;

	round->steps_left--;
	for (int32_t i = done->index + 1; i < round->job->spec->n_steps; i++) {
		struct sched_step *step = &round->steps[i];

		for (int32_t k = 0; k < step->def->n_after; k++) {
			if (step->def->after[k] != done->index)
				continue;
			step->n_blockers--;
			step->ready_ms = now_ms;
		}
		sched_update_ready(s, step);
	}
}

static bool all_rounds_done(const struct sched_job *job)
{
	int64_t n_rounds = job->spec->rounds ? job->spec->rounds : 1;

	return job->rounds_done >= n_rounds;
}

void sched_mark_task_done(struct sched *s, struct sched_task *t, int64_t now_ms)
{
	t->done = true;
	talloc_free(t->checkpoint);
	t->checkpoint = NULL;
	if (--t->step->tasks_left)
		return;
	sched_update_ready(s, t->step);
	complete_step(s, t->step, now_ms);
}

void sched_task_done(struct sched *s, struct sched_task *t, int64_t now_ms,
		     int64_t wall_ms)
{
	struct sched_round *round = t->step->round;
	struct sched_job *job = round->job;

	if (t->done)
		return;
	sched_mark_task_done(s, t, now_ms);
	sched_mark_dirty(s, job);
	if (round->steps_left)
		return;
	job->rounds_done++;
	if (all_rounds_done(job)) {
		sched_job_end(s, job, SCHED_JOB_DONE, now_ms, wall_ms);
		return;
	}
	free_round(s, round);
}

bool sched_count_failure(struct sched_task *t, int32_t run)
{
	if (run <= t->counted_run)
		return false;
	for (int32_t i = 0; i < t->failures; i++) {
		if (t->failed_runs[i] == run)
			return false;
	}
	t->failed_runs = talloc_realloc(t->step->round, t->failed_runs, int32_t,
					t->failures + 1);
	t->failed_runs[t->failures++] = run;
	return true;
}

struct sched_job *sched_job_add(struct sched *s, struct jobspec *spec,
				const json_t *progress, int64_t version,
				bool inherited, int64_t now_ms, int64_t wall_ms)
{
	struct sched_job *job = g_hash_table_lookup(s->jobs, spec->id);

	if (job) {
		talloc_free(spec);
		return job;
	}
	job = talloc_zero(NULL, struct sched_job);
	job->spec = talloc_steal(job, spec);
	job->accepted_ms = now_ms;
	job->version = version;
	job->inherited = inherited;
	job->dirty_link.data = job;
	job->committing_link.data = job;
	job->queue = g_hash_table_lookup(s->queues, job->spec->queue);
	job->org = org_accounts_get(&s->orgs, job->spec->org);
	job->work = sched_estimate_work(job->spec);
	sched_update_mean_work(s, job->spec);
	for (int32_t i = 0; i < job->spec->n_steps; i++)
		job->critical_path_ms =
			MAX(job->critical_path_ms,
			    jobspec_critical_path_ms(job->spec, i));
	g_hash_table_insert(s->jobs, job->spec->id, job);
	sched_count_added(s, job);
	sched_charge(s, job);
	if (progress) {
		sched_restore_progress(s, job, progress, now_ms, wall_ms);
		s->check_attempts = true;
	}
	if (!sched_job_has_ended(job))
		sched_create_due_rounds(s, job, now_ms, wall_ms);
	sched_org_job_added(s, job);
	return job;
}

void sched_job_accepted_at(struct sched_job *job, int64_t at_ms)
{
	job->accepted_ms = at_ms;
	if (job->rounds && !job->spec->rounds)
		job->rounds->due_ms = at_ms;
}

void sched_job_cancel(struct sched *s, const char *id, int64_t now_ms,
		      int64_t wall_ms)
{
	struct sched_job *job = g_hash_table_lookup(s->jobs, id);

	if (!job || sched_job_has_ended(job))
		return;
	sched_job_end(s, job, SCHED_JOB_CANCELLED, now_ms, wall_ms);
}

void sched_job_remove(struct sched *s, const char *id)
{
	struct sched_job *job = g_hash_table_lookup(s->jobs, id);

	if (!job)
		return;
	while (job->rounds)
		free_round(s, job->rounds);
	if (job->dirty)
		g_queue_unlink(&s->dirty_jobs, &job->dirty_link);
	if (job->committing)
		g_queue_unlink(&s->committing_jobs, &job->committing_link);
	sched_org_job_removed(s, job);
	sched_count_removed(s, job);
	sched_uncharge(s, job);
	g_hash_table_remove(s->jobs, id);
	talloc_free(job);
}

struct sched_task *sched_find_task(struct sched *s, const struct sched_ref *ref)
{
	struct sched_job *job = g_hash_table_lookup(s->jobs, ref->job);
	struct sched_round *r = job ? job->rounds : NULL;

	while (r && r->number != ref->round)
		r = r->next;
	if (!r || ref->step < 0 || ref->step >= job->spec->n_steps)
		return NULL;
	if (ref->index < 0 || ref->index >= r->steps[ref->step].def->tasks)
		return NULL;
	return &r->steps[ref->step].tasks[ref->index];
}
