/* Runs of tasks: the answers to their commands, what workers report of them,
 * and their ends. */
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "coordination/sched_int.h"

/* Delay before a failed task is retried, in ms. Avoids a tight loop at a worker
 * where tasks fail at once. */
#define FAILURE_PAUSE_MS 50
/* The same at a worker that was quarantined, where it may start again at once.
 */
#define SUSPECT_FAILURE_PAUSE_MS 500
/* Delay before a task is retried whose start command the worker could not
 * parse, in ms. */
#define MALFORMED_PAUSE_MS 2000
/* A worker that refused a task for lack of room gets no new tasks for this
 * time, in ms. */
#define NO_ROOM_PAUSE_MS 300
/* The same after it refused a task as unhealthy. */
#define UNHEALTHY_PAUSE_MS 1500

void sched_run_ref(const struct sched_run *run, struct sched_ref *ref)
{
	const struct sched_step *step = run->task->step;

	memset(ref, 0, sizeof(*ref));
	snprintf(ref->job, sizeof(ref->job), "%s", step->round->job->spec->id);
	ref->round = step->round->number;
	ref->step = step->index;
	ref->index = run->task->index;
	ref->run = run->number;
}

static struct place_resources resources_of(const struct sched_run *run)
{
	const struct jobspec_step *def = run->task->step->def;

	return (struct place_resources){
		.cpu_milli = def->best_effort ? 0 : def->cpu_milli,
		.mem_mib = def->mem_mib,
		.accelerators = def->accelerators,
	};
}

/* Adds the run's resources to its worker's totals (`sign` 1) or removes them
 * (-1). */
static void adjust_usage(struct sched_run *run, int sign)
{
	const struct jobspec_step *def = run->task->step->def;
	struct place_resources size = resources_of(run);
	struct sched_worker *w = run->worker;

	w->used.cpu_milli += sign * size.cpu_milli;
	w->used.mem_mib += sign * size.mem_mib;
	w->used.accelerators += sign * size.accelerators;
	if (def->is_long_running) {
		w->long_lived.cpu_milli += sign * size.cpu_milli;
		w->long_lived.mem_mib += sign * size.mem_mib;
		w->long_lived.accelerators += sign * size.accelerators;
	}
	org_account_adjust(run->task->step->round->job->org,
			   &(struct place_resources){ def->cpu_milli,
						      def->mem_mib,
						      def->accelerators },
			   sign);
	if (sched_is_small(def))
		w->n_small += sign;
	if (def->best_effort) {
		w->n_best_effort += sign;
		w->best_effort_milli += sign * def->cpu_milli * run->pace / 100;
	}
	if (!def->tail_goal_ms)
		return;
	w->n_serving += sign;
	w->serving_unused_milli += sign * run->unused_milli;
	w->serving_image = run->task->step->image;
}

void sched_set_pace(struct sched_run *run, int32_t pace)
{
	adjust_usage(run, -1);
	run->pace = pace;
	run->was_slowed |= pace < 100;
	adjust_usage(run, 1);
}

void sched_set_unused_milli(struct sched_run *run, int64_t milli)
{
	adjust_usage(run, -1);
	run->unused_milli = milli;
	adjust_usage(run, 1);
}

/* Returns whether evicting tasks of the step frees CPU. */
static bool has_evictable_cpu(const struct jobspec_step *def)
{
	return !def->best_effort && sched_is_evictable(def);
}

struct sched_run *sched_run_new(struct sched *s, struct sched_task *t,
				struct sched_worker *w, int32_t number,
				int64_t now_ms)
{
	struct sched_run *run = talloc_zero(NULL, struct sched_run);

	run->task = t;
	run->worker = w;
	run->number = number;
	run->created_ms = now_ms;
	run->started_ms = now_ms;
	run->progressed_ms = now_ms;
	run->pace = 100;
	run->resumed = t->checkpoint != NULL;
	run->base_slack = interfere_base_slack(&s->interfere, t->step->image);
	run->unused_milli = sched_unused_milli(s, run);
	run->fence = w->fence;
	run->next_of_task = t->runs;
	t->runs = run;
	t->ever_started = true;
	t->step->round->job->n_runs++;
	s->n_evictable += has_evictable_cpu(t->step->def);
	run->worker_link.data = run;
	g_queue_push_tail_link(&w->runs, &run->worker_link);
	if (t->last_run < number)
		t->last_run = number;
	adjust_usage(run, 1);
	return run;
}

void sched_run_free(struct sched *s, struct sched_run *run)
{
	struct sched_run **at = &run->task->runs;

	run->task->step->round->job->n_runs--;
	s->n_evictable -= has_evictable_cpu(run->task->step->def);
	sched_isolate_run(run, false);
	sched_org_run_freed(s, run);
	adjust_usage(run, -1);
	while (*at != run)
		at = &(*at)->next_of_task;
	*at = run->next_of_task;
	g_queue_unlink(&run->worker->runs, &run->worker_link);
	/* Its queue may have come to allow fewer attempts meanwhile. */
	s->check_attempts |= sched_is_exhausted(run->task);
	talloc_free(run);
}

void sched_run_stop(struct sched *s, struct sched_run *run, int64_t now_ms,
		    const char *why)
{
	struct sched_ref ref;

	if (run->stopping)
		return;
	run->stopping = true;
	run->stop_sent_ms = now_ms;
	sched_run_ref(run, &ref);
	s->ops->log_decision(s->priv, "stop", &ref, run->worker, why);
	s->ops->stop(s->priv, run, &ref);
}

static struct sched_run *find_run(const struct sched_task *t,
				  const struct sched_worker *w, int32_t number)
{
	struct sched_run *run = t ? t->runs : NULL;

	while (run && (run->worker != w || run->number != number))
		run = run->next_of_task;
	return run;
}

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

static void mark_job_running(struct sched *s, struct sched_job *job)
{
	if (job->state != SCHED_JOB_QUEUED)
		return;
	sched_set_job_state(s, job, SCHED_JOB_RUNNING);
	sched_mark_dirty(s, job);
}

static void process_end(struct sched *s, struct sched_worker *w,
			const struct sched_end *e, int64_t now_ms,
			int64_t wall_ms)
{
	struct sched_task *t =
		sched_find_reported_task(s, &e->ref, now_ms, wall_ms);
	struct sched_run *run = find_run(t, w, e->ref.run);
	static const char *const names[] = { "done",   "failed", "stopped",
					     "lapsed", "broken", "alone" };

	s->ops->log_decision(s->priv, "end", &e->ref, w, names[e->reason]);
	if (e->reason == SCHED_END_DONE || e->reason == SCHED_END_FAILED)
		sched_record_result(s, w, &e->ref, run,
				    e->reason == SCHED_END_FAILED, now_ms);
	if (!t)
		return;
	if (run && e->reason == SCHED_END_DONE)
		sched_record_run_time(s, run, now_ms);
	if (run && t->step->def->best_effort)
		sched_mark_tails_stale(s, w, t->step, run->gauge, now_ms);
	if (run)
		sched_run_free(s, run);
	t->ever_started = true;
	/* The end may be reported before the answer to the start command. */
	mark_job_running(s, t->step->round->job);
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
	struct sched_run *run = find_run(t, w, a->ref.run);

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
	mark_job_running(s, t->step->round->job);
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

void sched_poll_answered(struct sched *s, struct sched_worker *w,
			 const struct sched_report *report, int64_t now_ms,
			 int64_t wall_ms)
{
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
	for (int32_t i = 0; i < report->n_ends; i++) {
		if (report->ends[i].seq <= w->seen_seq)
			continue;
		w->seen_seq = report->ends[i].seq;
		process_end(s, w, &report->ends[i], now_ms, wall_ms);
	}
	w->foreign_runs = 0;
	sched_org_report_begins(s, w, report);
	for (int32_t i = 0; i < report->n_active; i++)
		w->foreign_runs += !process_active_run(s, w, &report->active[i],
						       now_ms, wall_ms);
	/* A report with the maximum number of ends may omit further ones, so a
	 * run that it doesn't list may just have ended. */
	if (report->n_ends < SCHED_ENDS_MAX) {
		drop_unreported_runs(s, w, report);
		mark_reconciled(s, w, report, now_ms);
	}
	sched_adjust_paces(s, w, now_ms);
}

bool sched_start_args(struct sched *s, const struct sched_ref *ref,
		      const char *worker, const char **payload,
		      const char **checkpoint, const char **ticket)
{
	struct sched_worker *w = g_hash_table_lookup(s->workers, worker);
	struct sched_run *run = find_run(sched_find_task(s, ref), w, ref->run);
	const struct sched_ticket *found = NULL;

	if (!run || run->state != SCHED_RUN_SENT || run->stopping)
		return false;
	if (run->task->step->tickets)
		found = g_hash_table_lookup(run->task->step->tickets, worker);
	/* The command carries the present token, which may have been raised. */
	run->fence = w->fence;
	*payload = run->task->step->round->job->spec->payload;
	*checkpoint = run->task->checkpoint;
	*ticket = found ? found->text : NULL;
	return true;
}

void sched_pace_failed(struct sched *s, const struct sched_ref *ref,
		       const char *worker)
{
	struct sched_worker *w = g_hash_table_lookup(s->workers, worker);
	struct sched_run *run = find_run(sched_find_task(s, ref), w, ref->run);

	if (run)
		run->pace_uncertain = true;
}

static void discard_run(struct sched *s, struct sched_run *run)
{
	sched_run_free(s, run);
}

static void handle_refusal(struct sched *s, struct sched_run *run,
			   enum sched_start_result res, int64_t now_ms)
{
	struct sched_worker *w = run->worker;
	struct sched_task *t = run->task;

	switch (res) {
	case SCHED_START_OLD_NUMBER:
		/* A previous owner used higher run numbers at the worker. */
		t->last_run += 2;
		t->step->gang_run = t->last_run;
		break;
	case SCHED_START_NO_ROOM:
		s->counts.refused_room++;
		w->refused_until_ms = now_ms + NO_ROOM_PAUSE_MS;
		break;
	case SCHED_START_BAD_TICKET:
		if (t->step->tickets)
			g_hash_table_remove(t->step->tickets, w->row.id);
		break;
	case SCHED_START_UNHEALTHY:
		w->refused_until_ms = now_ms + UNHEALTHY_PAUSE_MS;
		break;
	case SCHED_START_MALFORMED:
		t->not_before_ms = now_ms + MALFORMED_PAUSE_MS;
		break;
	case SCHED_START_NOT_SENT:
		sched_worker_unanswered(s, w, now_ms);
		break;
	default:
		break;
	}
	s->counts.refused_other += res != SCHED_START_NO_ROOM;
	discard_run(s, run);
	s->ops->poll(s->priv, w);
}

void sched_start_answered(struct sched *s, const struct sched_ref *ref,
			  const char *worker, enum sched_start_result res,
			  int64_t now_ms)
{
	struct sched_worker *w = g_hash_table_lookup(s->workers, worker);
	struct sched_run *run = find_run(sched_find_task(s, ref), w, ref->run);
	static const char *const names[] = {
		"ok",	    "fenced",	 "old run number", "too late",
		"no room",  "ticket",	 "unhealthy",	   "malformed",
		"not sent", "no answer",
	};

	if (!run || run->state == SCHED_RUN_ACTIVE)
		return;
	if (res != SCHED_START_OK)
		s->ops->log_decision(s->priv, "start refused", ref, w,
				     names[res]);
	if (res == SCHED_START_OK) {
		run->state = SCHED_RUN_ACTIVE;
		run->task->idle_since_ms = 0;
		run->started_ms = now_ms;
		run->progressed_ms = now_ms;
		mark_job_running(s, run->task->step->round->job);
		sched_pace_new_run(s, run, now_ms);
		s->ops->poll(s->priv, w);
		return;
	}
	if (res != SCHED_START_UNKNOWN) {
		handle_refusal(s, run, res, now_ms);
		return;
	}
	s->counts.start_unknown++;
	run->state = SCHED_RUN_UNCERTAIN;
	if (run->fence == w->fence)
		sched_raise_fence(s, w);
}

void sched_stop_answered(struct sched *s, const struct sched_ref *ref,
			 const char *worker, bool answered, int64_t now_ms)
{
	struct sched_worker *w = g_hash_table_lookup(s->workers, worker);
	struct sched_run *run = find_run(sched_find_task(s, ref), w, ref->run);

	if (!run)
		return;
	/* Without an answer, the stop is sent again STOP_RETRY_MS from now. */
	if (!answered)
		run->stop_sent_ms = now_ms - s->lim.stop_ms;
	s->ops->poll(s->priv, w);
}
