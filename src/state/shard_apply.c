/* Applies journal entries, JSON arrays, to a shard's state. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "state/shard_int.h"

static const char *str_at(const json_t *e, size_t i)
{
	const char *s = json_string_value(json_array_get(e, i));

	return s ? s : "";
}

static int64_t int_at(const json_t *e, size_t i)
{
	return json_integer_value(json_array_get(e, i));
}

bool shard_state_is_live(int state)
{
	return state <= SHARD_RUNNING;
}

/* Changes a task's state and moves it between the totals. Tasks change state
 * only here. */
void shard_set_state(struct shard *s, struct shard_task *t, int state)
{
	struct shard_job *job = t->job;

	s->totals.tasks[t->state]--;
	s->totals.tasks[state]++;
	job->n_queued += (state == SHARD_QUEUED) - (t->state == SHARD_QUEUED);
	job->n_live +=
		shard_state_is_live(state) - shard_state_is_live(t->state);
	if (state == SHARD_QUEUED && t->index < job->first_queued)
		job->first_queued = t->index;
	t->state = (int8_t)state;
	if (!job->n_live && !job->ended_wall_ms)
		job->ended_wall_ms = s->wall_ms;
}

static struct shard_task *task_at(struct shard *s, const json_t *e)
{
	struct shard_job *job = shard_find_job(s, str_at(e, 1));
	int64_t i = int_at(e, 2);

	if (!job || i < 0 || i >= job->rec.tasks)
		return NULL;
	return &job->tasks[i];
}

static void remember_operation(struct shard *s, const char *id,
			       int64_t revision)
{
	if (*id)
		g_hash_table_replace(s->operations, g_strdup(id),
				     g_memdup2(&revision, sizeof(revision)));
}

/* ["submit", operation, record] */
static void apply_submit(struct shard *s, const json_t *e)
{
	struct shard_job *job = g_new0(struct shard_job, 1);

	if (!rec_parse(json_array_get(e, 2), &job->rec, NULL)) {
		g_free(job);
		return;
	}
	snprintf(job->operation, sizeof(job->operation), "%s", str_at(e, 1));
	job->revision = 1;
	job->order = ++s->next_order;
	job->accepted_wall_ms = s->wall_ms;
	job->cpu_ratio_milli = 1000;
	job->n_live = job->n_queued = job->rec.tasks;
	job->tasks = g_new0(struct shard_task, job->rec.tasks);
	for (int32_t i = 0; i < job->rec.tasks; i++) {
		job->tasks[i].job = job;
		job->tasks[i].index = i;
		job->tasks[i].worker = -1;
		job->tasks[i].avoid = -1;
	}
	s->totals.tasks[SHARD_QUEUED] += job->rec.tasks;
	s->totals.accepted += job->rec.tasks;
	s->totals.jobs++;
	g_hash_table_replace(s->jobs, job->rec.name, job);
	remember_operation(s, job->operation, 1);
}

/* ["amend", operation, record]: has effect on attempts that start later. */
static void apply_amend(struct shard *s, const json_t *e)
{
	struct rec rec;
	struct shard_job *job;

	if (!rec_parse(json_array_get(e, 2), &rec, NULL))
		return;
	job = shard_find_job(s, rec.name);
	if (!job)
		return;
	/* The number of tasks is fixed at submission. */
	rec.tasks = job->rec.tasks;
	job->rec = rec;
	job->revision++;
	remember_operation(s, str_at(e, 1), job->revision);
}

/* ["withdraw", operation, name] */
static void apply_withdraw(struct shard *s, const json_t *e)
{
	struct shard_job *job = shard_find_job(s, str_at(e, 2));

	if (!job)
		return;
	job->withdrawn = true;
	job->revision++;
	remember_operation(s, str_at(e, 1), job->revision);
	for (int64_t i = 0; i < job->rec.tasks; i++) {
		struct shard_task *t = &job->tasks[i];

		if (t->state == SHARD_QUEUED)
			shard_set_state(s, t, SHARD_CANCELLED);
		else if (shard_state_is_live(t->state))
			t->stop_requested = true;
	}
}

/* ["start", job, task, attempt, worker, cpu, memory, accelerators] */
static void apply_start(struct shard *s, const json_t *e)
{
	struct shard_task *t = task_at(s, e);
	struct shard_attempt a = { 0 };

	if (!t)
		return;
	t->attempt = (int32_t)int_at(e, 3);
	t->worker = shard_get_worker(s, str_at(e, 4));
	t->reserved = (struct place_resources){ int_at(e, 5), int_at(e, 6),
						int_at(e, 7) };
	t->stop_requested = t->evict_requested = false;
	t->measured_cpu_milli = 0;
	shard_set_state(s, t, SHARD_STARTING);
	place_reserve(&s->place[t->worker], &t->reserved);
	g_hash_table_add(s->workers[t->worker].tasks, t);
	if (!t->attempts)
		t->attempts = g_array_new(FALSE, FALSE, sizeof(a));
	a.number = t->attempt;
	a.worker = t->worker;
	a.start_wall_ms = s->wall_ms;
	g_array_append_val(t->attempts, a);
	s->totals.started++;
}

static void detach_from_worker(struct shard *s, struct shard_task *t)
{
	place_release(&s->place[t->worker], &t->reserved);
	g_hash_table_remove(s->workers[t->worker].tasks, t);
	t->worker = -1;
	t->durable = false;
}

void shard_undo_start(struct shard *s, struct shard_task *t)
{
	g_array_set_size(t->attempts, t->attempts->len - 1);
	s->totals.started--;
	detach_from_worker(s, t);
	t->attempt--;
	shard_set_state(s, t,
			t->job->withdrawn ? SHARD_CANCELLED : SHARD_QUEUED);
}

static int state_after_end(struct shard_task *t, int end)
{
	if (end == ATTEMPT_DONE)
		return SHARD_DONE;
	if (t->job->withdrawn)
		return SHARD_CANCELLED;
	if (end == ATTEMPT_FAILED && ++t->failures >= t->job->rec.attempts_max)
		return SHARD_FAILED;
	return SHARD_QUEUED;
}

static void count_end(struct shard *s, const struct shard_task *t, int end,
		      int64_t progress_ms, int64_t ran_ms)
{
	struct shard_totals *c = &s->totals;
	int64_t charged = ran_ms * t->reserved.cpu_milli / 1000;

	c->charged_ms += charged;
	if (end == ATTEMPT_DONE)
		c->useful_ms += charged;
	if (end == ATTEMPT_EVICTED)
		c->useful_ms += (progress_ms - t->progress_ms) *
				t->reserved.cpu_milli / 1000;
	c->evicted += end == ATTEMPT_EVICTED;
	c->lost += end == ATTEMPT_LOST;
	c->failed_attempts += end == ATTEMPT_FAILED;
}

/* ["end", job, task, attempt, how, progress_ms, ran_ms] */
static void apply_end(struct shard *s, const json_t *e)
{
	struct shard_task *t = task_at(s, e);
	int end = (int)int_at(e, 4);
	int64_t progress_ms = int_at(e, 5);
	struct shard_attempt *a;

	if (!t || t->attempt != int_at(e, 3) || t->worker < 0)
		return;
	a = &g_array_index(t->attempts, struct shard_attempt,
			   t->attempts->len - 1);
	a->end_wall_ms = s->wall_ms;
	a->end = (int8_t)end;
	if (progress_ms < t->progress_ms)
		progress_ms = t->progress_ms;
	count_end(s, t, end, progress_ms, int_at(e, 6));
	if (end == ATTEMPT_EVICTED)
		t->progress_ms = progress_ms;
	t->avoid = end == ATTEMPT_FAILED ? t->worker : -1;
	detach_from_worker(s, t);
	t->stop_requested = t->evict_requested = false;
	shard_set_state(s, t, state_after_end(t, end));
}

/* ["refuse", job, task] */
static void apply_refuse(struct shard *s, const json_t *e)
{
	struct shard_task *t = task_at(s, e);

	if (t && t->state == SHARD_QUEUED)
		shard_set_state(s, t, SHARD_REFUSED);
}

/* ["claim", request, token] */
static void apply_claim(struct shard *s, const json_t *e)
{
	struct shard_claim *c = g_new0(struct shard_claim, 1);

	c->token = g_strdup(str_at(e, 2));
	c->wall_ms = s->wall_ms;
	g_hash_table_replace(s->claims, g_strdup(str_at(e, 1)), c);
	s->totals.claims = g_hash_table_size(s->claims);
}

/* ["release", request, token]: releases only a claim with that token. */
static void apply_release(struct shard *s, const json_t *e)
{
	struct shard_claim *c = g_hash_table_lookup(s->claims, str_at(e, 1));

	if (c && !strcmp(c->token, str_at(e, 2)))
		g_hash_table_remove(s->claims, str_at(e, 1));
	s->totals.claims = g_hash_table_size(s->claims);
}

/* ["forget", job]: removes an ended job past its retention time. */
static void apply_forget(struct shard *s, const json_t *e)
{
	struct shard_job *job = shard_find_job(s, str_at(e, 1));

	if (!job || job->n_live)
		return;
	for (int64_t i = 0; i < job->rec.tasks; i++)
		s->totals.tasks[job->tasks[i].state]--;
	s->totals.accepted -= job->rec.tasks;
	s->totals.jobs--;
	g_hash_table_remove(s->operations, job->operation);
	g_hash_table_remove(s->jobs, job->rec.name);
}

struct entry_kind {
	const char *name;
	void (*apply)(struct shard *s, const json_t *e);
};

static const struct entry_kind entry_kinds[] = {
	{ "submit", apply_submit },	{ "amend", apply_amend },
	{ "withdraw", apply_withdraw }, { "start", apply_start },
	{ "end", apply_end },		{ "refuse", apply_refuse },
	{ "claim", apply_claim },	{ "release", apply_release },
	{ "forget", apply_forget },
};

void shard_apply(struct shard *s, const json_t *entry, int64_t wall_ms)
{
	s->wall_ms = wall_ms;
	for (size_t i = 0; i < sizeof(entry_kinds) / sizeof(entry_kinds[0]);
	     i++) {
		if (strcmp(entry_kinds[i].name, str_at(entry, 0)) != 0)
			continue;
		entry_kinds[i].apply(s, entry);
		return;
	}
}
