/* What workers report of runs: those that are active, and those that ended. */
#include <string.h>
#include <talloc.h>

#include "coordination/sched_int.h"

/* Delay before a failed task is retried, in ms. Avoids a tight loop at a worker
 * where tasks fail at once. */
#define FAILURE_PAUSE_MS 50
/* The same at a worker that was quarantined, where it may start again at once.
 */
#define SUSPECT_FAILURE_PAUSE_MS 500

static void set_checkpoint(struct sched_task *t, const char *text)
{
	if (!*text || (t->checkpoint && !strcmp(t->checkpoint, text)))
		return;
	talloc_free(t->checkpoint);
	t->checkpoint = talloc_strdup(t->step->round, text);
}

/* Stores a checkpoint for the task, or for all members of its gang: each
 * member's checkpoint is valid for the whole gang. */
static void store_checkpoint(struct sched_task *t, const char *text)
{
	if (!t->step->def->gang) {
		set_checkpoint(t, text);
		return;
	}
	for (int32_t i = 0; i < t->step->def->tasks; i++)
		set_checkpoint(&t->step->tasks[i], text);
}

static void stop_other_copies(struct sched *s, struct sched_task *t,
			      int64_t now_ms)
{
	for (struct sched_run *r = t->runs; r; r = r->next_of_task)
		sched_run_stop(s, r, now_ms,
			       "another copy of the task is done");
}

static void complete_task(struct sched *s, struct sched_task *t, int64_t now_ms,
			  int64_t wall_ms)
{
	struct sched_step *step = t->step;

	if (!step->def->gang) {
		stop_other_copies(s, t, now_ms);
		sched_task_done(s, t, now_ms, wall_ms);
		return;
	}
	/* The last call may free the round and with it the step. */
	for (int32_t i = 0, n = step->def->tasks; i < n; i++)
		sched_task_done(s, &step->tasks[i], now_ms, wall_ms);
}

static void record_failure(struct sched *s, struct sched_task *t,
			   const struct sched_worker *w, int32_t run,
			   int64_t now_ms, int64_t wall_ms)
{
	t->not_before_ms = now_ms + (w->quarantine_ms ? SUSPECT_FAILURE_PAUSE_MS
						      : FAILURE_PAUSE_MS);
	if (t->step->def->is_long_running || !sched_count_failure(t, run) ||
	    !sched_is_exhausted(t))
		return;
	sched_job_end(s, t->step->round->job, SCHED_JOB_FAILED, now_ms,
		      wall_ms);
}

/* Returns the task that counts failures: for a gang its first one, since its
 * members fail together. */
static struct sched_task *failure_count_task(struct sched_task *t)
{
	return t->step->def->gang ? &t->step->tasks[0] : t;
}

/* Returns why there is no such task. */
static const char *find_no_task_reason(const struct sched *s,
				       const struct sched_ref *ref)
{
	const struct sched_job *job = g_hash_table_lookup(s->jobs, ref->job);

	if (!job)
		return "unknown job";
	if (sched_job_has_ended(job))
		return "job has ended";
	return ref->round < job->next_round ? "round is done"
					    : "round is not open";
}

static void process_end(struct sched *s, struct sched_worker *w,
			const struct sched_end *e, int64_t now_ms,
			int64_t wall_ms)
{
	struct sched_task *t =
		sched_find_reported_task(s, &e->ref, now_ms, wall_ms);
	struct sched_run *run = sched_find_run(t, w, e->ref.run);
	static const char *const names[] = { "done",   "failed", "stopped",
					     "lapsed", "broken", "alone" };

	s->ops->log_decision(s->priv, "end", &e->ref, w, names[e->reason]);
	if (e->reason == SCHED_END_DONE || e->reason == SCHED_END_FAILED)
		sched_record_result(s, w, &e->ref, run,
				    e->reason == SCHED_END_FAILED, now_ms);
	if (!t) {
		s->ops->log_decision(s->priv, "end ignored", &e->ref, w,
				     find_no_task_reason(s, &e->ref));
		return;
	}
	if (run && e->reason == SCHED_END_DONE)
		sched_record_run_time(s, run, now_ms);
	if (run && t->step->def->best_effort)
		sched_mark_tails_stale(s, w, t->step, run->gauge, now_ms);
	if (run)
		sched_run_free(s, run);
	t->ever_started = true;
	/* The end may be reported before the answer to the start command. */
	sched_mark_running(s, t->step->round->job);
	if (t->last_run < e->ref.run)
		t->last_run = e->ref.run;
	if (t->done || sched_job_has_ended(t->step->round->job))
		return;
	sched_mark_dirty(s, t->step->round->job);
	store_checkpoint(t, e->checkpoint);
	if (e->reason == SCHED_END_DONE) {
		s->counts.done++;
		complete_task(s, t, now_ms, wall_ms);
		return;
	}
	t = failure_count_task(t);
	if (t->last_ended_run < e->ref.run)
		t->last_ended_run = e->ref.run;
	if (e->reason == SCHED_END_FAILED) {
		s->counts.failed++;
		record_failure(s, t, w, e->ref.run, now_ms, wall_ms);
	} else if (e->reason == SCHED_END_STOPPED) {
		s->counts.stopped++;
	} else if (e->reason == SCHED_END_GANG_INCOMPLETE) {
		s->counts.gang_incomplete++;
	}
}

static void stop_unknown_run(struct sched *s, struct sched_worker *w,
			     const struct sched_ref *ref, const char *why)
{
	struct sched_run run = { .worker = w, .number = ref->run };

	s->ops->log_decision(s->priv, "stop", ref, w, why);
	s->ops->stop(s->priv, &run, ref);
}

/* Tracks a reported run that is unknown: a previous owner's, or one whose start
 * command took effect late. Stops it and returns NULL if it isn't needed. */
static struct sched_run *adopt_run(struct sched *s, struct sched_worker *w,
				   const struct sched_active *a,
				   struct sched_task *t, int64_t now_ms)
{
	struct sched_run *run;

	if (sched_is_beyond_window(s, &a->ref)) {
		w->unopened_runs++;
		sched_org_run_untracked(s, w, &a->ref);
		return NULL;
	}
	if (!t || t->done || sched_job_has_ended(t->step->round->job) ||
	    (t->runs && !t->step->def->speculative)) {
		stop_unknown_run(s, w, &a->ref, "not wanted here");
		sched_org_run_untracked(s, w, &a->ref);
		return NULL;
	}
	run = sched_run_new(s, t, w, a->ref.run, now_ms);
	/* This owner starts tasks only where it has learned all. */
	if (!w->reconciled && !w->inherited_runs_known)
		sched_org_run_found(s, run);
	run->pace_uncertain = true;
	if (t->step->gang_run < a->ref.run)
		t->step->gang_run = a->ref.run;
	s->ops->log_decision(s->priv, "adopt", &a->ref, w, "found running");
	return run;
}

/* Processes one active run of a report. Returns false if the run is not needed
 * here. */
static bool process_active_run(struct sched *s, struct sched_worker *w,
			       const struct sched_active *a, int64_t now_ms,
			       int64_t wall_ms)
{
	struct sched_task *t =
		sched_find_reported_task(s, &a->ref, now_ms, wall_ms);
	struct sched_run *run = sched_find_run(t, w, a->ref.run);

	if (!run)
		run = adopt_run(s, w, a, t, now_ms);
	if (!run)
		return false;
	/* Only reports to polls sent from now on have to list the run. */
	if (run->state != SCHED_RUN_ACTIVE)
		run->started_ms = now_ms;
	run->state = SCHED_RUN_ACTIVE;
	run->reported = true;
	t->idle_since_ms = 0;
	/* Fence token under which the run was last reported. */
	run->fence = w->fence;
	if (a->percent > run->percent)
		run->progressed_ms = now_ms;
	run->percent = a->percent;
	run->gauge = a->gauge;
	sched_crash_run_reported(s, run, now_ms);
	sched_mark_running(s, t->step->round->job);
	store_checkpoint(t, a->checkpoint);
	return true;
}

static bool report_lists(const struct sched_report *report,
			 const struct sched_run *run)
{
	struct sched_ref ref;

	sched_run_ref(run, &ref);
	for (int32_t i = 0; i < report->n_active; i++) {
		const struct sched_ref *r = &report->active[i].ref;

		if (r->run == ref.run && r->index == ref.index &&
		    r->step == ref.step && r->round == ref.round &&
		    !strcmp(r->job, ref.job))
			return true;
	}
	return false;
}

/*
 * Removes the runs that the report doesn't list. A start command with a lower
 * fence token than the poll's can't take effect any more. A run that was active
 * in a millisecond before the poll is lost; in the same millisecond, the worker
 * may have answered the poll before it started the run.
 */
static void drop_unreported_runs(struct sched *s, struct sched_worker *w,
				 const struct sched_report *report)
{
	GList *next;

	for (GList *i = w->runs.head; i; i = next) {
		struct sched_run *run = i->data;
		bool was_active = run->state == SCHED_RUN_ACTIVE &&
				  run->started_ms < report->sent_ms;
		bool start_voided = run->state != SCHED_RUN_ACTIVE &&
				    run->fence < report->fence;
		struct sched_ref ref;

		next = i->next;
		if ((!was_active && !start_voided) || report_lists(report, run))
			continue;
		sched_run_ref(run, &ref);
		s->ops->log_decision(
			s->priv, "not running", &ref, w,
			was_active ? "lost"
				   : "start command never took effect");
		if (was_active)
			sched_mark_dirty(s, run->task->step->round->job);
		sched_run_free(s, run);
	}
}

/* Marks the worker as reconciled if the report is under its present fence
 * token: no command with a lower one can take effect any more. */
static void mark_reconciled(struct sched *s, struct sched_worker *w,
			    const struct sched_report *report, int64_t now_ms)
{
	if (report->fence != w->fence || w->reconciled)
		return;
	w->reconciled = true;
	w->reconciled_in_doubt = s->ownership != SCHED_OWNER_CERTAIN;
	/* A previous owner may have granted this lease just before. */
	if (s->epoch > 1)
		w->lease_end_clock_ms =
			report->clock_ms + s->prev_owner.lease_ms;
	sched_end_long_lease(s, w, now_ms);
}

/*
 * Processes the ends of a report that are new. Returns false at the first one
 * whose effect can't be stored yet: the worker must report it, and those behind
 * it, again.
 */
static bool process_ends(struct sched *s, struct sched_worker *w,
			 const struct sched_report *report, int64_t now_ms,
			 int64_t wall_ms)
{
	for (int32_t i = 0; i < report->n_ends; i++) {
		const struct sched_end *e = &report->ends[i];

		if (e->seq <= w->seen_seq)
			continue;
		if (sched_is_beyond_window(s, &e->ref)) {
			s->ops->log_decision(s->priv, "end deferred", &e->ref,
					     w, "round is beyond the window");
			return false;
		}
		w->seen_seq = e->seq;
		process_end(s, w, e, now_ms, wall_ms);
	}
	return true;
}

static void process_active_runs(struct sched *s, struct sched_worker *w,
				const struct sched_report *report,
				int64_t now_ms, int64_t wall_ms)
{
	w->foreign_runs = 0;
	w->unopened_runs = 0;
	sched_org_report_begins(s, w, report);
	for (int32_t i = 0; i < report->n_active; i++)
		w->foreign_runs += !process_active_run(s, w, &report->active[i],
						       now_ms, wall_ms);
}

void sched_poll_answered(struct sched *s, struct sched_worker *w,
			 const struct sched_report *report, int64_t now_ms,
			 int64_t wall_ms)
{
	bool ends_read;

	w->last_answer_ms = now_ms;
	w->unreachable = false;
	w->heard = true;
	sched_roster_update(s, w);
	if (!report->born_ms || report->born_ms == w->row.born_ms)
		sched_crash_worker_answered(s, w->row.id);
	if (report->born_ms && w->row.born_ms &&
	    report->born_ms != w->row.born_ms) {
		struct sched_worker_row row = w->row;
		bool listed = w->listed;

		row.born_ms = report->born_ms;
		if (report->born_ms < w->row.born_ms)
			return;
		sched_worker_listed(s, &row, now_ms);
		w->listed = listed;
		w->row_outdated = true;
		return;
	}
	if (!w->row.born_ms)
		w->row.born_ms = report->born_ms;
	/* Reports may arrive out of order; the older one is ignored. */
	if (report->clock_ms < w->clock_ms)
		return;
	w->clock_ms = report->clock_ms;
	w->clock_seen_ms = now_ms;
	/* Not if it was sent to an earlier incarnation, which had more ends. */
	if (report->acked_seq <= w->durable_seq)
		w->acked_seq = MAX(w->acked_seq, report->acked_seq);
	ends_read = process_ends(s, w, report, now_ms, wall_ms);
	process_active_runs(s, w, report, now_ms, wall_ms);
	/* A report with the maximum number of ends may omit further ones, so a
	 * run that it doesn't list may just have ended. */
	if (ends_read && !w->unopened_runs && report->n_ends < SCHED_ENDS_MAX) {
		drop_unreported_runs(s, w, report);
		mark_reconciled(s, w, report, now_ms);
	}
	sched_adjust_paces(s, w, now_ms);
}
