/*
 * Tasks that crash their workers. Each crash counts against all tasks that ran
 * at the worker. A suspect is started apart: no other task starts at its worker
 * until it has run there for a while. If the worker crashes before, the task is
 * given up and its job fails.
 */
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "coordination/sched_int.h"
#include "protocol/num.h"

/* How long a suspect runs apart, in ms, and one that crashed workers only after
 * longer than that. */
#define APART_MS 1000
#define APART_SLOW_MS 3000
/* A run that lasts twice as long as the longest that crashed a worker clears
 * its task, within these bounds, in ms. */
#define CLEARED_MIN_MS 10000
#define CLEARED_MAX_MS 30000
/* Most suspects that run apart together, where there are many: if their worker
 * crashes, each of them runs apart alone next time. */
#define GROUP_MAX 8
/* Crashes after which a task is given up even if it never ran apart, and with
 * those under starts that got no answer: the worker may have been down already.
 */
#define CRASHES_MAX 4
#define CRASHES_UNCERTAIN_MAX 5
/* More crashes than SCHED_CRASHES_RECENT within this time, in ms, have another
 * cause, such as the loss of a failure domain: they count only against tasks
 * that no worker has reported running, and those that ran apart. */
#define SERIES_MS 3000
/* The VM of a lost worker has a new one within this time, in ms, or isn't
 * expected to get one. */
#define REMEMBER_LOST_MS 60000
/* Most lost workers that are remembered. */
#define LOST_WORKERS_MAX 512

/* A run that was active, or may have been, when its worker was lost. */
struct lost_run {
	struct sched_ref ref;
	bool reported; /* by the worker */
	bool certain; /* reported, or its start was answered */
	bool isolated;
	int64_t lasted_ms; /* up to the last report */
};

struct lost_worker {
	char id[SCHED_ID_MAX];
	char vm[SCHED_ID_MAX];
	char address[48];
	int64_t born_ms;
	int64_t lost_ms;
	int64_t answered_ms; /* its last answer */
	int32_t n_runs;
	struct lost_run runs[];
};

bool sched_crash_count(struct sched_task *t, int32_t run)
{
	for (int32_t i = 0; i < t->crashes; i++) {
		if (t->crashed_runs[i] == run)
			return false;
	}
	t->crashed_runs = talloc_realloc(t->step->round, t->crashed_runs,
					 int32_t, t->crashes + 1);
	t->crashed_runs[t->crashes++] = run;
	return true;
}

bool sched_is_suspect(const struct sched_task *t)
{
	/* The members of a gang start together or not at all. */
	if (t->step->def->gang)
		return false;
	/* A task that had run for a while is hardly to blame for one crash. */
	return t->crashes > 1 || (t->crashes && t->crash_lasted_ms < APART_MS);
}

bool sched_has_group(const struct sched_worker *w)
{
	if (!w->n_isolated || w->n_isolated >= GROUP_MAX)
		return false;
	for (const GList *i = w->runs.head; i; i = i->next) {
		const struct sched_run *run = i->data;

		if (run->isolated && run->task->crashes > 1)
			return false;
	}
	return true;
}

void sched_isolate_run(struct sched_run *run, bool on)
{
	run->worker->n_isolated += on - run->isolated;
	run->isolated = on;
}

/* Returns the task that counts crashes: for a gang its first one, since its
 * members share their runs. */
static struct sched_task *counting_task(struct sched_task *t)
{
	return t->step->def->gang ? &t->step->tasks[0] : t;
}

/* The start of the run took effect after the crash that was counted. */
static void uncount(struct sched *s, struct sched_run *run)
{
	struct sched_task *t = run->task;

	/* Another member's run has the same number. */
	if (t->step->def->gang)
		return;
	for (int32_t i = 0; i < t->crashes; i++) {
		if (t->crashed_runs[i] != run->number)
			continue;
		t->crashed_runs[i] = t->crashed_runs[--t->crashes];
		t->certain_crashes = MIN(t->certain_crashes, t->crashes);
		sched_mark_dirty(s, t->step->round->job);
		return;
	}
}

void sched_crash_run_reported(struct sched *s, struct sched_run *run,
			      int64_t now_ms)
{
	struct sched_task *t = run->task;
	int64_t apart_ms =
		t->crash_lasted_ms < APART_MS ? APART_MS : APART_SLOW_MS;
	int64_t lasted_ms = now_ms - run->started_ms;
	int64_t cleared_ms;

	uncount(s, run);
	if (run->isolated && lasted_ms >= apart_ms)
		sched_isolate_run(run, false);
	t = counting_task(t);
	cleared_ms =
		CLAMP(2 * t->crash_lasted_ms, CLEARED_MIN_MS, CLEARED_MAX_MS);
	/* A paused run shows nothing. */
	if (!t->crashes || !run->pace || lasted_ms < cleared_ms)
		return;
	/* Harmless for that long: the crashes had other causes. */
	t->crashes = 0;
	t->certain_crashes = 0;
	t->crash_lasted_ms = 0;
	sched_mark_dirty(s, t->step->round->job);
}

/* Returns whether the crash is one of many at about the same time. */
static bool is_in_series(struct sched *s, int64_t now_ms)
{
	int64_t oldest_ms = s->crashed_ms[SCHED_CRASHES_RECENT - 1];

	memmove(&s->crashed_ms[1], s->crashed_ms,
		sizeof(s->crashed_ms) - sizeof(s->crashed_ms[0]));
	s->crashed_ms[0] = now_ms;
	return oldest_ms && now_ms - oldest_ms < SERIES_MS;
}

/* `sole`: the worker had no other task that had crashed one before. */
static bool is_convicted(const struct sched_task *t, const struct lost_run *run,
			 bool sole)
{
	return t->crashes >= CRASHES_UNCERTAIN_MAX ||
	       t->certain_crashes >= CRASHES_MAX ||
	       (run->isolated && t->certain_crashes > (sole ? 1 : 2));
}

/* A task that is given up: its job ends with the next tick. */
struct verdict {
	struct sched_ref ref;
	int32_t crashes; /* if fewer are counted by then, it is withdrawn */
};

static void give_up(struct sched *s, struct sched_task *t,
		    const struct sched_ref *ref)
{
	struct verdict *v = g_new0(struct verdict, 1);

	v->ref = *ref;
	v->ref.index = t->index;
	v->crashes = t->crashes;
	/* It must not start meanwhile. */
	t->not_before_ms = INT64_MAX;
	g_queue_push_tail(&s->given_up, v);
}

static void count_against(struct sched *s, const struct lost_run *run,
			  const struct sched_worker *w, bool sole)
{
	struct sched_task *t = sched_find_task(s, &run->ref);
	bool convicted;
	char text[120];

	if (!t || sched_job_has_ended(t->step->round->job))
		return;
	t = counting_task(t);
	if (t->done || !sched_crash_count(t, run->ref.run))
		return;
	t->certain_crashes += run->certain;
	t->crash_lasted_ms = MAX(t->crash_lasted_ms, run->lasted_ms);
	/* So that a successor uses higher numbers, which count anew. */
	t->last_ended_run = MAX(t->last_ended_run, run->ref.run);
	sched_mark_dirty(s, t->step->round->job);
	convicted = is_convicted(t, run, sole);
	snprintf(text, sizeof(text),
		 "crashes=%d certain=%d reported=%d apart=%d%s", t->crashes,
		 t->certain_crashes, run->reported, run->isolated,
		 convicted ? "; given up" : "");
	s->ops->log_decision(s->priv, "crash counted", &run->ref, w, text);
	if (convicted)
		give_up(s, t, &run->ref);
}

static void count_crash(struct sched *s, const struct lost_run *runs, int32_t n,
			const struct sched_worker *w, int64_t now_ms)
{
	bool in_series = is_in_series(s, now_ms);
	int32_t suspects = 0;

	s->counts.crashes++;
	for (int32_t i = 0; i < n; i++) {
		const struct sched_task *t = sched_find_task(s, &runs[i].ref);

		suspects += runs[i].isolated || (t && t->crashes);
	}
	for (int32_t i = 0; i < n; i++) {
		if (!in_series || !runs[i].reported || runs[i].isolated)
			count_against(s, &runs[i], w, suspects == 1);
	}
}

static struct lost_worker *describe(const struct sched_worker *w,
				    int64_t now_ms)
{
	struct lost_worker *lost = g_malloc0(
		sizeof(*lost) + w->runs.length * sizeof(lost->runs[0]));

	g_strlcpy(lost->id, w->row.id, sizeof(lost->id));
	g_strlcpy(lost->vm, w->row.vm, sizeof(lost->vm));
	g_strlcpy(lost->address, w->row.address, sizeof(lost->address));
	lost->born_ms = w->row.born_ms;
	lost->lost_ms = now_ms;
	lost->answered_ms = w->last_answer_ms;
	for (const GList *i = w->runs.head; i; i = i->next) {
		const struct sched_run *run = i->data;
		struct lost_run *to = &lost->runs[lost->n_runs++];

		sched_run_ref(run, &to->ref);
		to->certain = run->reported || run->state == SCHED_RUN_ACTIVE;
		to->reported = run->reported;
		to->isolated = run->isolated;
		if (run->reported)
			to->lasted_ms =
				MAX(0, w->last_answer_ms - run->started_ms);
	}
	return lost;
}

/* Returns whether the worker took the place of the lost one: it has its id and
 * a later birth, or appeared on its VM since. */
static bool replaces(const struct sched_worker *w,
		     const struct lost_worker *lost)
{
	if (w->row.born_ms <= lost->born_ms || !lost->born_ms)
		return false;
	if (!strcmp(w->row.id, lost->id))
		return true;
	if (w->created_ms < lost->answered_ms)
		return false;
	return (*lost->vm && !strcmp(w->row.vm, lost->vm)) ||
	       (*lost->address && !strcmp(w->row.address, lost->address));
}

static const struct sched_worker *find_replacement(const struct sched *s,
						   const struct lost_worker *l)
{
	for (guint i = 0; i < s->worker_list->len; i++) {
		const struct sched_worker *w =
			g_ptr_array_index(s->worker_list, i);

		if (w->listed && replaces(w, l))
			return w;
	}
	return NULL;
}

void sched_crash_worker_lost(struct sched *s, const struct sched_worker *w,
			     int64_t now_ms)
{
	struct lost_worker *lost;

	if (!w->runs.length || w->row.draining || w->evacuating)
		return;
	lost = describe(w, now_ms);
	if (find_replacement(s, lost)) {
		count_crash(s, lost->runs, lost->n_runs, w, now_ms);
		g_free(lost);
		return;
	}
	g_queue_push_tail(&s->lost_workers, lost);
	if (s->lost_workers.length > LOST_WORKERS_MAX)
		g_free(g_queue_pop_head(&s->lost_workers));
}

void sched_crash_worker_restarted(struct sched *s, const struct sched_worker *w,
				  int64_t now_ms)
{
	struct lost_worker *lost;

	if (!w->runs.length)
		return;
	lost = describe(w, now_ms);
	count_crash(s, lost->runs, lost->n_runs, w, now_ms);
	g_free(lost);
}

void sched_crash_worker_listed(struct sched *s, const struct sched_worker *w,
			       int64_t now_ms)
{
	GList *next;

	for (GList *i = s->lost_workers.head; i; i = next) {
		struct lost_worker *lost = i->data;

		next = i->next;
		if (!replaces(w, lost))
			continue;
		count_crash(s, lost->runs, lost->n_runs, w, now_ms);
		g_queue_delete_link(&s->lost_workers, i);
		g_free(lost);
	}
}

void sched_crash_worker_answered(struct sched *s, const char *id)
{
	GList *next;

	for (GList *i = s->lost_workers.head; i; i = next) {
		struct lost_worker *lost = i->data;

		next = i->next;
		if (strcmp(lost->id, id))
			continue;
		g_queue_delete_link(&s->lost_workers, i);
		g_free(lost);
	}
}

static json_t *pack_lost(const struct lost_worker *lost, int64_t now_ms)
{
	json_t *runs = json_array();

	for (int32_t i = 0; i < lost->n_runs; i++) {
		const struct lost_run *run = &lost->runs[i];

		json_array_append_new(
			runs,
			json_pack("[s,I,i,i,i,b,b,I,b]", run->ref.job,
				  (json_int_t)run->ref.round, run->ref.step,
				  run->ref.index, run->ref.run, run->reported,
				  run->isolated, (json_int_t)run->lasted_ms,
				  run->certain));
	}
	return json_pack(
		"{s:s,s:s,s:I,s:I,s:I,s:o}", "vm", lost->vm, "address",
		lost->address, "born_ms", (json_int_t)lost->born_ms,
		"lost_ago_ms", (json_int_t)MAX(0, now_ms - lost->lost_ms),
		"answered_ago_ms",
		(json_int_t)MAX(0, now_ms - lost->answered_ms), "runs", runs);
}

void sched_crash_pack(const struct sched *s, json_t *list, int32_t runs_max,
		      int64_t now_ms)
{
	/* The latest ones first: they are the likeliest to be replaced. */
	for (const GList *i = s->lost_workers.tail; i; i = i->prev) {
		const struct lost_worker *lost = i->data;

		if (lost->n_runs > runs_max)
			return;
		runs_max -= lost->n_runs;
		json_array_append_new(list, json_pack("[s,i,n,o]", lost->id, 0,
						      pack_lost(lost, now_ms)));
	}
}

static bool unpack_run(const json_t *row, struct lost_run *out)
{
	out->reported = json_is_true(json_array_get(row, 5));
	out->isolated = json_is_true(json_array_get(row, 6));
	/* Absent in rows of older releases. */
	out->certain = out->reported || json_is_true(json_array_get(row, 8));
	return sched_unpack_ref(row, &out->ref) &&
	       num_integer(json_array_get(row, 7), 0, NUM_MAX, &out->lasted_ms);
}

static void copy_text(char *out, size_t size, const json_t *v)
{
	g_strlcpy(out, json_is_string(v) ? json_string_value(v) : "", size);
}

/* Returns NULL if the entry is invalid. */
static struct lost_worker *unpack_lost(const json_t *entry, int64_t now_ms)
{
	const json_t *j = json_array_get(entry, 3);
	const json_t *runs = json_object_get(j, "runs");
	struct lost_worker *lost = g_malloc0(
		sizeof(*lost) + json_array_size(runs) * sizeof(lost->runs[0]));
	int64_t lost_ago_ms;
	int64_t answered_ago_ms;
	const json_t *row;
	size_t i;

	copy_text(lost->id, sizeof(lost->id), json_array_get(entry, 0));
	copy_text(lost->vm, sizeof(lost->vm), json_object_get(j, "vm"));
	copy_text(lost->address, sizeof(lost->address),
		  json_object_get(j, "address"));
	if (!num_integer(json_object_get(j, "born_ms"), 1, NUM_MAX,
			 &lost->born_ms) ||
	    !num_integer(json_object_get(j, "lost_ago_ms"), 0, NUM_MAX,
			 &lost_ago_ms) ||
	    !num_integer(json_object_get(j, "answered_ago_ms"), 0, NUM_MAX,
			 &answered_ago_ms)) {
		g_free(lost);
		return NULL;
	}
	lost->lost_ms = now_ms - lost_ago_ms;
	lost->answered_ms = now_ms - answered_ago_ms;
	json_array_foreach(runs, i, row)
	{
		if (unpack_run(row, &lost->runs[lost->n_runs]))
			lost->n_runs++;
	}
	return lost;
}

bool sched_crash_restore(struct sched *s, const json_t *entry, int64_t now_ms)
{
	struct lost_worker *lost;
	const struct sched_worker *w;

	if (!json_is_object(json_array_get(entry, 3)))
		return false;
	lost = unpack_lost(entry, now_ms);
	if (!lost)
		return true;
	w = find_replacement(s, lost);
	if (!w) {
		g_queue_push_head(&s->lost_workers, lost);
		return true;
	}
	count_crash(s, lost->runs, lost->n_runs, w, now_ms);
	g_free(lost);
	return true;
}

/* Returns false if the verdict has to wait: a start of the task may have taken
 * effect after the crash, which its worker's next report shows. */
static bool carry_out(struct sched *s, const struct verdict *v, int64_t now_ms,
		      int64_t wall_ms)
{
	struct sched_task *t = sched_find_task(s, &v->ref);

	if (!t || sched_job_has_ended(t->step->round->job))
		return true;
	if (t->crashes < v->crashes) {
		t->not_before_ms = now_ms;
		return true;
	}
	if (t->runs)
		return false;
	s->counts.given_up++;
	sched_job_end(s, t->step->round->job, SCHED_JOB_FAILED, now_ms,
		      wall_ms);
	return true;
}

void sched_crash_tick(struct sched *s, int64_t now_ms, int64_t wall_ms)
{
	struct lost_worker *lost;

	for (guint n = s->given_up.length; n > 0; n--) {
		struct verdict *v = g_queue_pop_head(&s->given_up);

		if (carry_out(s, v, now_ms, wall_ms))
			g_free(v);
		else
			g_queue_push_tail(&s->given_up, v);
	}
	while ((lost = g_queue_peek_head(&s->lost_workers)) &&
	       now_ms - lost->lost_ms > REMEMBER_LOST_MS)
		g_free(g_queue_pop_head(&s->lost_workers));
}

void sched_crash_finish(struct sched *s)
{
	g_queue_clear_full(&s->lost_workers, g_free);
	g_queue_clear_full(&s->given_up, g_free);
}
