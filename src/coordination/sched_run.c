/* Runs of tasks, and the answers to their commands. */
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "coordination/sched_int.h"

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

struct sched_run *sched_find_run(const struct sched_task *t,
				 const struct sched_worker *w, int32_t number)
{
	struct sched_run *run = t ? t->runs : NULL;

	while (run && (run->worker != w || run->number != number))
		run = run->next_of_task;
	return run;
}

void sched_mark_running(struct sched *s, struct sched_job *job)
{
	if (job->state != SCHED_JOB_QUEUED)
		return;
	sched_set_job_state(s, job, SCHED_JOB_RUNNING);
	sched_mark_dirty(s, job);
}

bool sched_start_args(struct sched *s, const struct sched_ref *ref,
		      const char *worker, const char **payload,
		      const char **checkpoint, const char **ticket)
{
	struct sched_worker *w = g_hash_table_lookup(s->workers, worker);
	struct sched_run *run =
		sched_find_run(sched_find_task(s, ref), w, ref->run);
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
	struct sched_run *run =
		sched_find_run(sched_find_task(s, ref), w, ref->run);

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
	struct sched_run *run =
		sched_find_run(sched_find_task(s, ref), w, ref->run);
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
		sched_mark_running(s, run->task->step->round->job);
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
	struct sched_run *run =
		sched_find_run(sched_find_task(s, ref), w, ref->run);

	if (!run)
		return;
	/* Without an answer, the stop is sent again STOP_RETRY_MS from now. */
	if (!answered)
		run->stop_sent_ms = now_ms - s->lim.stop_ms;
	s->ops->poll(s->priv, w);
}
