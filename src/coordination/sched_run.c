/* Starts of tasks: their orders, what workers say of them, their ends. */
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "coordination/sched_int.h"

/* Pause before a task that failed is tried again, in ms; spares a worker
 * that fails at once from being asked in a tight loop. */
#define FAILED_PAUSE_MS 50
/* Pause after an order that can't be understood, in ms. */
#define BAD_ORDER_PAUSE_MS 2000
/* After a refusal for want of room the worker is left alone, in ms. */
#define FULL_PAUSE_MS 300
/* A worker that calls itself unhealthy is left alone, in ms. */
#define UNHEALTHY_PAUSE_MS 1500

void sched_ref_of(const struct sched_run *run, struct sched_ref *ref)
{
	const struct sched_step *step = run->task->step;

	memset(ref, 0, sizeof(*ref));
	snprintf(ref->job, sizeof(ref->job), "%s", step->round->job->spec->id);
	ref->round = step->round->number;
	ref->step = step->index;
	ref->index = run->task->index;
	ref->run = run->number;
}

static struct place_resources size_of(const struct sched_run *run)
{
	const struct jobspec_step *def = run->task->step->def;

	return (struct place_resources){
		.cpu_milli = def->best_effort ? 0 : def->cpu_milli,
		.mem_mib = def->mem_mib,
		.accelerators = def->accelerators,
	};
}

static void account(struct sched_run *run, int sign)
{
	const struct jobspec_step *def = run->task->step->def;
	struct place_resources size = size_of(run);
	struct sched_worker *w = run->worker;

	w->used.cpu_milli += sign * size.cpu_milli;
	w->used.mem_mib += sign * size.mem_mib;
	w->used.accelerators += sign * size.accelerators;
	if (def->best_effort) {
		w->best_effort += sign;
		w->best_effort_milli += sign * def->cpu_milli * run->pace / 100;
	}
	if (!def->tail_goal_ms)
		return;
	w->serving += sign;
	w->serving_idle_milli += sign * run->idle_milli;
	w->serving_image = run->task->step->image;
}

void sched_set_pace(struct sched_run *run, int32_t pace)
{
	account(run, -1);
	run->pace = pace;
	account(run, 1);
}

void sched_set_idle(struct sched_run *run, int64_t milli)
{
	account(run, -1);
	run->idle_milli = milli;
	account(run, 1);
}

struct sched_run *sched_run_new(struct sched *s, struct sched_task *t,
				struct sched_worker *w, int32_t number,
				int64_t now_ms)
{
	struct sched_run *run = talloc_zero(NULL, struct sched_run);

	run->task = t;
	run->worker = w;
	run->number = number;
	run->started_ms = now_ms;
	run->moved_ms = now_ms;
	run->pace = 100;
	run->slack = interfere_base_slack(&s->interfere, t->step->image);
	run->idle_milli = sched_idle_of(s, run);
	run->fence = w->fence;
	run->next_of_task = t->runs;
	t->runs = run;
	t->tried = true;
	run->at_worker.data = run;
	g_queue_push_tail_link(&w->runs, &run->at_worker);
	if (t->last_run < number)
		t->last_run = number;
	account(run, 1);
	return run;
}

void sched_run_free(struct sched *s, struct sched_run *run)
{
	struct sched_run **at = &run->task->runs;

	(void)s;
	account(run, -1);
	while (*at != run)
		at = &(*at)->next_of_task;
	*at = run->next_of_task;
	g_queue_unlink(&run->worker->runs, &run->at_worker);
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
	sched_ref_of(run, &ref);
	s->ops->note(s->priv, "stop", &ref, run->worker, why);
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

/* Any member's checkpoint is good for the whole gang. */
static void keep_checkpoint(struct sched_task *t, const char *text)
{
	if (!t->step->def->gang) {
		set_checkpoint(t, text);
		return;
	}
	for (int32_t i = 0; i < t->step->def->tasks; i++)
		set_checkpoint(&t->step->tasks[i], text);
}

static void stop_copies(struct sched *s, struct sched_task *t, int64_t now_ms)
{
	for (struct sched_run *r = t->runs; r; r = r->next_of_task)
		sched_run_stop(s, r, now_ms, "another copy is done");
}

static void task_ended_done(struct sched *s, struct sched_task *t,
			    int64_t now_ms, int64_t wall_ms)
{
	struct sched_step *step = t->step;

	if (!step->def->gang) {
		stop_copies(s, t, now_ms);
		sched_task_done(s, t, now_ms, wall_ms);
		return;
	}
	/* The last one may free the round, and the step with it. */
	for (int32_t i = 0, n = step->def->tasks; i < n; i++)
		sched_task_done(s, &step->tasks[i], now_ms, wall_ms);
}

static void task_ended_failed(struct sched *s, struct sched_task *t,
			      int32_t run, int64_t now_ms, int64_t wall_ms)
{
	struct sched_job *job = t->step->round->job;
	const struct catalog_queue *q = job->queue;

	t->not_before_ms = now_ms + FAILED_PAUSE_MS;
	if (t->step->def->lasts || !sched_count_failure(t, run) || !q ||
	    t->failures < q->attempts)
		return;
	sched_job_end(s, job, SCHED_JOB_FAILED, now_ms, wall_ms);
}

/* A gang fails as one: its first task keeps the count. */
static struct sched_task *counted_task(struct sched_task *t)
{
	return t->step->def->gang ? &t->step->tasks[0] : t;
}

static void take_end(struct sched *s, struct sched_worker *w,
		     const struct sched_end *e, int64_t now_ms, int64_t wall_ms)
{
	struct sched_task *t = sched_reported_task(s, &e->ref, now_ms, wall_ms);
	struct sched_run *run = find_run(t, w, e->ref.run);
	static const char *const names[] = { "done",   "failed", "stopped",
					     "lapsed", "broken", "alone" };

	s->ops->note(s->priv, "end", &e->ref, w, names[e->how]);
	if (e->how == SCHED_DONE || e->how == SCHED_FAILED)
		sched_note_result(s, w, &e->ref, e->how == SCHED_FAILED,
				  now_ms);
	if (!t)
		return;
	if (run && t->step->def->best_effort)
		sched_blur(s, w, t->step, run->gauge, now_ms);
	if (run)
		sched_run_free(s, run);
	t->tried = true;
	if (t->last_run < e->ref.run)
		t->last_run = e->ref.run;
	if (t->done || sched_job_over(t->step->round->job))
		return;
	sched_touch(s, t->step->round->job);
	keep_checkpoint(t, e->checkpoint);
	if (e->how == SCHED_DONE) {
		s->counts.done++;
		task_ended_done(s, t, now_ms, wall_ms);
		return;
	}
	t = counted_task(t);
	if (t->settled_run < e->ref.run)
		t->settled_run = e->ref.run;
	if (e->how == SCHED_FAILED) {
		s->counts.failed++;
		task_ended_failed(s, t, e->ref.run, now_ms, wall_ms);
	} else if (e->how == SCHED_STOPPED) {
		s->counts.stopped++;
	} else if (e->how == SCHED_ALONE) {
		s->counts.alone++;
	}
}

static void mark_started(struct sched *s, struct sched_job *job)
{
	if (job->state != SCHED_JOB_QUEUED)
		return;
	job->state = SCHED_JOB_RUNNING;
	sched_touch(s, job);
}

static void order_stop_unknown(struct sched *s, struct sched_worker *w,
			       const struct sched_ref *ref, const char *why)
{
	struct sched_run run = { .worker = w, .number = ref->run };

	s->ops->note(s->priv, "stop", ref, w, why);
	s->ops->stop(s->priv, &run, ref);
}

/* A run that we don't know of: a former owner's, or an order carried out late.
 */
static struct sched_run *adopt(struct sched *s, struct sched_worker *w,
			       const struct sched_active *a,
			       struct sched_task *t, int64_t now_ms)
{
	struct sched_run *run;

	if (!t || t->done || sched_job_over(t->step->round->job) ||
	    (t->runs && !t->step->def->copies)) {
		order_stop_unknown(s, w, &a->ref, "not wanted here");
		return NULL;
	}
	run = sched_run_new(s, t, w, a->ref.run, now_ms);
	run->pace_unsure = true;
	if (t->step->gang_run < a->ref.run)
		t->step->gang_run = a->ref.run;
	s->ops->note(s->priv, "adopt", &a->ref, w, "found running");
	return run;
}

/* False if it is no run of ours. */
static bool take_active(struct sched *s, struct sched_worker *w,
			const struct sched_active *a, int64_t now_ms,
			int64_t wall_ms)
{
	struct sched_task *t = sched_reported_task(s, &a->ref, now_ms, wall_ms);
	struct sched_run *run = find_run(t, w, a->ref.run);

	if (!run)
		run = adopt(s, w, a, t, now_ms);
	if (!run)
		return false;
	/* Only looks sent from now on have to list it. */
	if (run->state != SCHED_RUN_ACTIVE)
		run->started_ms = now_ms;
	run->state = SCHED_RUN_ACTIVE;
	run->listed = true;
	/* Marks it as listed by this look; see settle(). */
	run->fence = w->fence;
	if (a->percent > run->percent)
		run->moved_ms = now_ms;
	run->percent = a->percent;
	run->gauge = a->gauge;
	mark_started(s, t->step->round->job);
	keep_checkpoint(t, a->checkpoint);
	return true;
}

static bool listed(const struct sched_look *look, const struct sched_run *run)
{
	struct sched_ref ref;

	sched_ref_of(run, &ref);
	for (int32_t i = 0; i < look->n_active; i++) {
		const struct sched_ref *r = &look->active[i].ref;

		if (r->run == ref.run && r->index == ref.index &&
		    r->step == ref.step && r->round == ref.round &&
		    !strcmp(r->job, ref.job))
			return true;
	}
	return false;
}

/*
 * Runs that the answer doesn't list: an order with a lower token than the
 * look's will never be carried out; one that stood in a millisecond before the
 * look is lost. In the same one the look may have come first.
 */
static void settle(struct sched *s, struct sched_worker *w,
		   const struct sched_look *look)
{
	GList *next;

	for (GList *i = w->runs.head; i; i = next) {
		struct sched_run *run = i->data;
		bool stood = run->state == SCHED_RUN_ACTIVE &&
			     run->started_ms < look->sent_ms;
		bool void_order = run->state != SCHED_RUN_ACTIVE &&
				  run->fence < look->fence;
		struct sched_ref ref;

		next = i->next;
		if ((!stood && !void_order) || listed(look, run))
			continue;
		sched_ref_of(run, &ref);
		s->ops->note(s->priv, "not running", &ref, w,
			     stood ? "lost" : "order never carried out");
		if (stood)
			sched_touch(s, run->task->step->round->job);
		sched_run_free(s, run);
	}
}

/* Nothing that was ordered under a lower token is carried out any more. */
static void make_known(struct sched *s, struct sched_worker *w,
		       const struct sched_look *look)
{
	int64_t granted_ms = 0;

	if (look->fence != w->fence || w->known)
		return;
	w->known = true;
	/* A former owner may have granted this much just before. */
	if (s->epoch > 1)
		granted_ms = s->former.lease_ms;
	/* The end of a lease on its old clock may be far ahead on this one. */
	if (w->reborn)
		granted_ms = s->lim.lease_max_ms;
	w->reborn = false;
	if (granted_ms)
		w->lease_end_clock_ms = look->clock_ms + granted_ms;
}

void sched_looked(struct sched *s, struct sched_worker *w,
		  const struct sched_look *look, int64_t now_ms,
		  int64_t wall_ms)
{
	w->last_answer_ms = now_ms;
	w->unreachable = false;
	if (look->born_ms && w->row.born_ms &&
	    look->born_ms != w->row.born_ms) {
		struct sched_worker_row row = w->row;

		row.born_ms = look->born_ms;
		if (look->born_ms > w->row.born_ms)
			sched_worker_seen(s, &row, now_ms);
		return;
	}
	if (!w->row.born_ms)
		w->row.born_ms = look->born_ms;
	/* Two looks may be answered out of turn; the older one tells nothing.
	 */
	if (look->clock_ms < w->clock_ms)
		return;
	w->clock_ms = look->clock_ms;
	w->clock_seen_ms = now_ms;
	for (int32_t i = 0; i < look->n_ends; i++) {
		if (look->ends[i].seq <= w->seen_seq)
			continue;
		w->seen_seq = look->ends[i].seq;
		take_end(s, w, &look->ends[i], now_ms, wall_ms);
	}
	w->strangers = 0;
	for (int32_t i = 0; i < look->n_active; i++)
		w->strangers +=
			!take_active(s, w, &look->active[i], now_ms, wall_ms);
	/* An end may have had no room in the answer; the next one has it. */
	if (look->n_ends < SCHED_ENDS_MAX) {
		settle(s, w, look);
		make_known(s, w, look);
	}
	sched_pace(s, w, now_ms);
}

bool sched_start_text(struct sched *s, const struct sched_ref *ref,
		      const char *worker, const char **payload,
		      const char **checkpoint, const char **ticket)
{
	struct sched_worker *w = g_hash_table_lookup(s->workers, worker);
	struct sched_run *run = find_run(sched_find_task(s, ref), w, ref->run);
	const struct sched_ticket *k = NULL;

	if (!run || run->state != SCHED_RUN_SENT || run->stopping)
		return false;
	if (run->task->step->tickets)
		k = g_hash_table_lookup(run->task->step->tickets, worker);
	/* The token that it goes out with, which may have been raised. */
	run->fence = w->fence;
	*payload = run->task->step->round->job->spec->payload;
	*checkpoint = run->task->checkpoint;
	*ticket = k ? k->text : NULL;
	return true;
}

void sched_pace_failed(struct sched *s, const struct sched_ref *ref,
		       const char *worker)
{
	struct sched_worker *w = g_hash_table_lookup(s->workers, worker);
	struct sched_run *run = find_run(sched_find_task(s, ref), w, ref->run);

	if (run)
		run->pace_unsure = true;
}

static void not_started(struct sched *s, struct sched_run *run)
{
	sched_run_free(s, run);
}

static void start_refused(struct sched *s, struct sched_run *run,
			  enum sched_start_result res, int64_t now_ms)
{
	struct sched_worker *w = run->worker;
	struct sched_task *t = run->task;

	switch (res) {
	case SCHED_START_OLD:
		/* A former owner used higher numbers there. */
		t->last_run += 2;
		t->step->gang_run = t->last_run;
		break;
	case SCHED_START_ROOM:
		s->counts.refused_room++;
		w->full_until_ms = now_ms + FULL_PAUSE_MS;
		break;
	case SCHED_START_TICKET:
		if (t->step->tickets)
			g_hash_table_remove(t->step->tickets, w->row.id);
		break;
	case SCHED_START_UNHEALTHY:
		w->quarantine_until_ms = now_ms + UNHEALTHY_PAUSE_MS;
		break;
	case SCHED_START_BAD:
		t->not_before_ms = now_ms + BAD_ORDER_PAUSE_MS;
		break;
	case SCHED_START_NOT_SENT:
		sched_unanswered(s, w, now_ms);
		break;
	default:
		break;
	}
	s->counts.refused_other += res != SCHED_START_ROOM;
	not_started(s, run);
	s->ops->look(s->priv, w);
}

void sched_start_answered(struct sched *s, const struct sched_ref *ref,
			  const char *worker, enum sched_start_result res,
			  int64_t now_ms)
{
	struct sched_worker *w = g_hash_table_lookup(s->workers, worker);
	struct sched_run *run = find_run(sched_find_task(s, ref), w, ref->run);
	static const char *const names[] = {
		"ok",	  "fenced",    "old number", "too late", "no room",
		"ticket", "unhealthy", "malformed",  "not sent", "no answer",
	};

	if (!run || run->state == SCHED_RUN_ACTIVE)
		return;
	if (res != SCHED_START_OK)
		s->ops->note(s->priv, "start refused", ref, w, names[res]);
	if (res == SCHED_START_OK) {
		run->state = SCHED_RUN_ACTIVE;
		run->started_ms = now_ms;
		run->moved_ms = now_ms;
		mark_started(s, run->task->step->round->job);
		sched_pace_new(s, run, now_ms);
		s->ops->look(s->priv, w);
		return;
	}
	if (res != SCHED_START_UNKNOWN) {
		start_refused(s, run, res, now_ms);
		return;
	}
	s->counts.unsure++;
	run->state = SCHED_RUN_UNSURE;
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
	if (!answered)
		run->stop_sent_ms = now_ms - s->lim.stop_ms;
	s->ops->look(s->priv, w);
}
