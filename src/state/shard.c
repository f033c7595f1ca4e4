/* State of a shard: lookup, batches of journal entries, snapshot and totals. */
#include "state/shard.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "state/shard_int.h"

static const char *const state_names[] = { "queued", "starting", "running",
					   "done",   "failed",	 "cancelled",
					   "refused" };
static const char *const end_names[] = { "done", "failed", "evicted",
					 "lost", "never",  "stopped" };

const char *shard_state_name(enum shard_state state)
{
	return state_names[state];
}

const char *shard_attempt_end_name(int end)
{
	return end_names[end];
}

static void free_job(gpointer p)
{
	struct shard_job *job = p;

	for (int64_t i = 0; i < job->rec.tasks; i++) {
		if (job->tasks[i].attempts)
			g_array_free(job->tasks[i].attempts, TRUE);
	}
	g_free(job->tasks);
	g_free(job);
}

static void free_claim(gpointer p)
{
	struct shard_claim *c = p;

	g_free(c->token);
	g_free(c);
}

static void free_ack(gpointer p)
{
	struct shard_ack *a = p;

	g_free(a->name);
	g_free(a);
}

struct shard *shard_new(const struct shard_options *opt)
{
	struct shard *s = g_new0(struct shard, 1);

	s->opt = *opt;
	s->jobs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_job);
	s->operations =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->claims = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  free_claim);
	s->quotas =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->out_domains =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->pending_entries = json_array();
	s->acks_pending = g_ptr_array_new_with_free_func(free_ack);
	s->acks_taken = g_ptr_array_new_with_free_func(free_ack);
	s->starts_pending = g_ptr_array_new();
	s->starts_taken = g_ptr_array_new();
	return s;
}

static void free_worker(struct shard_worker *w)
{
	g_hash_table_destroy(w->tasks);
	g_ptr_array_free(w->acks, TRUE);
	g_ptr_array_free(w->acks_sent, TRUE);
	g_ptr_array_free(w->foreign_tasks, TRUE);
}

void shard_free(struct shard *s)
{
	for (int i = 0; i < s->n_workers; i++)
		free_worker(&s->workers[i]);
	g_free(s->workers);
	g_free(s->place);
	g_hash_table_destroy(s->jobs);
	g_hash_table_destroy(s->operations);
	g_hash_table_destroy(s->claims);
	g_hash_table_destroy(s->quotas);
	g_hash_table_destroy(s->out_domains);
	json_decref(s->pending_entries);
	json_decref(s->taken_entries);
	g_ptr_array_free(s->acks_pending, TRUE);
	g_ptr_array_free(s->acks_taken, TRUE);
	g_ptr_array_free(s->starts_pending, TRUE);
	g_ptr_array_free(s->starts_taken, TRUE);
	g_free(s);
}

struct shard_job *shard_find_job(const struct shard *s, const char *name)
{
	return g_hash_table_lookup(s->jobs, name);
}

void shard_task_name(const struct shard_task *t, char *buf, size_t size)
{
	snprintf(buf, size, "%s/%d", t->job->rec.name, t->index);
}

struct shard_task *shard_find_task(const struct shard *s, const char *name)
{
	const char *slash = strrchr(name, '/');
	char job_name[REC_NAME_MAX];
	struct shard_job *job;
	long i;

	if (!slash || slash - name >= REC_NAME_MAX)
		return NULL;
	snprintf(job_name, sizeof(job_name), "%.*s", (int)(slash - name), name);
	job = shard_find_job(s, job_name);
	i = strtol(slash + 1, NULL, 10);
	if (!job || i < 0 || i >= job->rec.tasks)
		return NULL;
	return &job->tasks[i];
}

int shard_find_worker(const struct shard *s, const char *id)
{
	for (int i = 0; i < s->n_workers; i++) {
		if (!strcmp(s->workers[i].id, id))
			return i;
	}
	return -1;
}

int shard_get_worker(struct shard *s, const char *id)
{
	int i = shard_find_worker(s, id);
	struct shard_worker *w;

	if (i >= 0)
		return i;
	i = s->n_workers++;
	s->workers = g_renew(struct shard_worker, s->workers, s->n_workers);
	s->place = g_renew(struct place_worker, s->place, s->n_workers);
	w = &s->workers[i];
	memset(w, 0, sizeof(*w));
	memset(&s->place[i], 0, sizeof(s->place[i]));
	snprintf(w->id, sizeof(w->id), "%s", id);
	w->tasks = g_hash_table_new(g_direct_hash, g_direct_equal);
	w->acks = g_ptr_array_new_with_free_func(g_free);
	w->acks_sent = g_ptr_array_new_with_free_func(g_free);
	w->foreign_tasks = g_ptr_array_new_with_free_func(g_free);
	return i;
}

void shard_add_entry(struct shard *s, json_t *entry, struct shard_time now)
{
	shard_apply(s, entry, now.wall_ms);
	json_array_append_new(s->pending_entries, entry);
}

void shard_end_attempt(struct shard *s, struct shard_task *t,
		       enum shard_attempt_end end, int64_t progress_ms,
		       int64_t ran_ms, struct shard_time now)
{
	shard_add_entry(s,
			json_pack("[s,s,i,i,i,I,I]", "end", t->job->rec.name,
				  t->index, t->attempt, end,
				  (json_int_t)progress_ms, (json_int_t)ran_ms),
			now);
	t->queued_ms = now.mono_ms;
}

void shard_replay(struct shard *s, const json_t *entries, int64_t wall_ms)
{
	const json_t *e;
	size_t i;

	json_array_foreach(entries, i, e) shard_apply(s, e, wall_ms);
}

void shard_finish_recovery(struct shard *s, struct shard_time now)
{
	GHashTableIter it;
	gpointer value;

	s->recovered_ms = now.mono_ms;
	s->recovered = true;
	g_hash_table_iter_init(&it, s->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct shard_job *job = value;

		job->ready_ms = now.mono_ms;
		for (int64_t i = 0; i < job->rec.tasks; i++) {
			job->tasks[i].durable = job->tasks[i].worker >= 0;
			job->tasks[i].queued_ms = now.mono_ms;
		}
	}
}

bool shard_has_entries(const struct shard *s)
{
	return json_array_size(s->pending_entries) > 0;
}

static void swap_arrays(GPtrArray **a, GPtrArray **b)
{
	GPtrArray *t = *a;

	*a = *b;
	*b = t;
}

json_t *shard_take_batch(struct shard *s, bool *starts)
{
	if (!shard_has_entries(s))
		return NULL;
	s->taken_entries = s->pending_entries;
	s->pending_entries = json_array();
	swap_arrays(&s->acks_pending, &s->acks_taken);
	swap_arrays(&s->starts_pending, &s->starts_taken);
	*starts = s->starts_taken->len > 0;
	return json_incref(s->taken_entries);
}

void shard_batch_committed(struct shard *s)
{
	for (guint i = 0; i < s->acks_taken->len; i++) {
		struct shard_ack *a = s->acks_taken->pdata[i];

		g_ptr_array_add(s->workers[a->worker].acks, a->name);
		a->name = NULL;
	}
	g_ptr_array_set_size(s->acks_taken, 0);
	for (guint i = 0; i < s->starts_taken->len; i++) {
		struct shard_task *t = s->starts_taken->pdata[i];

		t->durable = true;
		s->workers[t->worker].has_commands = true;
	}
	g_ptr_array_set_size(s->starts_taken, 0);
	json_decref(s->taken_entries);
	s->taken_entries = NULL;
}

static bool is_start(const json_t *entry)
{
	return !strcmp(json_string_value(json_array_get(entry, 0)), "start");
}

void shard_batch_rejected(struct shard *s)
{
	json_t *all = json_array();
	json_t *e;
	size_t i;

	for (guint k = 0; k < s->starts_taken->len; k++)
		shard_undo_start(s, s->starts_taken->pdata[k]);
	g_ptr_array_set_size(s->starts_taken, 0);
	json_array_foreach(s->taken_entries, i, e)
	{
		if (!is_start(e))
			json_array_append(all, e);
	}
	json_array_extend(all, s->pending_entries);
	json_decref(s->pending_entries);
	json_decref(s->taken_entries);
	s->pending_entries = all;
	s->taken_entries = NULL;
	for (guint k = 0; k < s->acks_taken->len; k++)
		g_ptr_array_add(s->acks_pending, s->acks_taken->pdata[k]);
	/* Moved to acks_pending: don't free them. */
	g_ptr_array_set_free_func(s->acks_taken, NULL);
	g_ptr_array_set_size(s->acks_taken, 0);
	g_ptr_array_set_free_func(s->acks_taken, free_ack);
}

static json_t *save_attempts(const struct shard *s, const struct shard_task *t)
{
	json_t *out = json_array();

	for (guint i = 0; t->attempts && i < t->attempts->len; i++) {
		const struct shard_attempt *a =
			&g_array_index(t->attempts, struct shard_attempt, i);

		json_array_append_new(
			out, json_pack("[i,s,I,I,i]", a->number,
				       s->workers[a->worker].id,
				       (json_int_t)a->start_wall_ms,
				       (json_int_t)a->end_wall_ms, a->end));
	}
	return out;
}

static json_t *save_task(const struct shard *s, const struct shard_task *t)
{
	return json_pack("[i,i,s,i,I,I,I,I,b,o]", t->state, t->attempt,
			 t->worker >= 0 ? s->workers[t->worker].id : "",
			 t->failures, (json_int_t)t->progress_ms,
			 (json_int_t)t->reserved.cpu_milli,
			 (json_int_t)t->reserved.mem_mib,
			 (json_int_t)t->reserved.accelerators,
			 t->stop_requested, save_attempts(s, t));
}

static json_t *save_job(const struct shard *s, const struct shard_job *job)
{
	json_t *tasks = json_array();

	for (int64_t i = 0; i < job->rec.tasks; i++)
		json_array_append_new(tasks, save_task(s, &job->tasks[i]));
	return json_pack("{s:o,s:s,s:I,s:I,s:I,s:I,s:b,s:o}", "rec",
			 rec_to_json(&job->rec), "op", job->operation, "rev",
			 (json_int_t)job->revision, "order",
			 (json_int_t)job->order, "accepted",
			 (json_int_t)job->accepted_wall_ms, "ended",
			 (json_int_t)job->ended_wall_ms, "withdrawn",
			 job->withdrawn, "tasks", tasks);
}

static json_t *save_claims(const struct shard *s)
{
	json_t *out = json_array();
	GHashTableIter it;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&it, s->claims);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct shard_claim *c = value;

		json_array_append_new(out, json_pack("[s,s,I]", key, c->token,
						     (json_int_t)c->wall_ms));
	}
	return out;
}

/* Saves the totals that can't be recounted from the tasks. */
static json_t *save_sums(const struct shard *s)
{
	const struct shard_totals *c = &s->totals;

	return json_pack("[I,I,I,I,I,I]", (json_int_t)c->started,
			 (json_int_t)c->evicted, (json_int_t)c->lost,
			 (json_int_t)c->failed_attempts,
			 (json_int_t)c->charged_ms, (json_int_t)c->useful_ms);
}

json_t *shard_make_snapshot(const struct shard *s)
{
	json_t *jobs = json_array();
	json_t *operations = json_object();
	GHashTableIter it;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&it, s->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value))
		json_array_append_new(jobs, save_job(s, value));
	g_hash_table_iter_init(&it, s->operations);
	while (g_hash_table_iter_next(&it, &key, &value))
		json_object_set_new(operations, key,
				    json_integer(*(int64_t *)value));
	return json_pack("{s:o,s:o,s:o,s:o,s:I}", "jobs", jobs, "ops",
			 operations, "claims", save_claims(s), "sums",
			 save_sums(s), "order", (json_int_t)s->next_order);
}

static int64_t int_at(const json_t *list, size_t i)
{
	return json_integer_value(json_array_get(list, i));
}

static void load_attempts(struct shard *s, struct shard_task *t,
			  const json_t *list)
{
	json_t *row;
	size_t i;

	json_array_foreach((json_t *)list, i, row)
	{
		struct shard_attempt a = {
			.number = (int32_t)int_at(row, 0),
			.worker = shard_get_worker(
				s, json_string_value(json_array_get(row, 1))),
			.start_wall_ms = int_at(row, 2),
			.end_wall_ms = int_at(row, 3),
			.end = (int8_t)int_at(row, 4),
		};

		if (!t->attempts)
			t->attempts = g_array_new(FALSE, FALSE, sizeof(a));
		g_array_append_val(t->attempts, a);
	}
}

static void load_task(struct shard *s, struct shard_task *t, const json_t *row)
{
	const char *worker = json_string_value(json_array_get(row, 2));

	t->attempt = (int32_t)int_at(row, 1);
	t->failures = (int32_t)int_at(row, 3);
	t->progress_ms = int_at(row, 4);
	t->reserved = (struct place_resources){ int_at(row, 5), int_at(row, 6),
						int_at(row, 7) };
	t->stop_requested = json_is_true(json_array_get(row, 8));
	load_attempts(s, t, json_array_get(row, 9));
	shard_set_state(s, t, (int)int_at(row, 0));
	if (!worker || !*worker)
		return;
	t->worker = shard_get_worker(s, worker);
	place_reserve(&s->place[t->worker], &t->reserved);
	g_hash_table_add(s->workers[t->worker].tasks, t);
	if (t->state == SHARD_RUNNING)
		shard_set_state(s, t, SHARD_STARTING);
}

static void load_job(struct shard *s, const json_t *row)
{
	json_t *entry =
		json_pack("[s,O,O]", "submit", json_object_get(row, "op"),
			  json_object_get(row, "rec"));
	struct shard_job *job;
	struct rec rec;
	json_t *task;
	size_t i;

	shard_apply(s, entry,
		    json_integer_value(json_object_get(row, "accepted")));
	json_decref(entry);
	if (!rec_parse(json_object_get(row, "rec"), &rec, NULL))
		return;
	job = shard_find_job(s, rec.name);
	json_array_foreach(json_object_get(row, "tasks"), i, task)
		load_task(s, &job->tasks[i], task);
	job->revision = json_integer_value(json_object_get(row, "rev"));
	job->order = json_integer_value(json_object_get(row, "order"));
	job->ended_wall_ms = json_integer_value(json_object_get(row, "ended"));
	job->withdrawn = json_is_true(json_object_get(row, "withdrawn"));
}

void shard_load_snapshot(struct shard *s, const json_t *state)
{
	json_t *sums = json_object_get(state, "sums");
	json_t *row;
	const char *key;
	size_t i;

	json_array_foreach(json_object_get(state, "jobs"), i, row)
		load_job(s, row);
	json_object_foreach(json_object_get(state, "ops"), key, row)
	{
		int64_t revision = json_integer_value(row);

		g_hash_table_replace(s->operations, g_strdup(key),
				     g_memdup2(&revision, sizeof(revision)));
	}
	json_array_foreach(json_object_get(state, "claims"), i, row)
	{
		json_t *e =
			json_pack("[s,O,O]", "claim", json_array_get(row, 0),
				  json_array_get(row, 1));

		shard_apply(s, e, int_at(row, 2));
		json_decref(e);
	}
	s->totals.started = int_at(sums, 0);
	s->totals.evicted = int_at(sums, 1);
	s->totals.lost = int_at(sums, 2);
	s->totals.failed_attempts = int_at(sums, 3);
	s->totals.charged_ms = int_at(sums, 4);
	s->totals.useful_ms = int_at(sums, 5);
	s->next_order = json_integer_value(json_object_get(state, "order"));
}

const struct shard_totals *shard_totals(const struct shard *s)
{
	return &s->totals;
}

bool shard_totals_consistent(const struct shard *s)
{
	int64_t counted[SHARD_STATES] = { 0 };
	int64_t all = 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct shard_job *job = value;

		for (int64_t i = 0; i < job->rec.tasks; i++)
			counted[job->tasks[i].state]++;
	}
	for (int i = 0; i < SHARD_STATES; i++) {
		if (counted[i] != s->totals.tasks[i])
			return false;
		all += counted[i];
	}
	return all == s->totals.accepted;
}

int shard_worker_count(const struct shard *s)
{
	return s->n_workers;
}

bool shard_worker_has_commands(const struct shard *s, int w)
{
	return s->workers[w].has_commands;
}

const char *shard_worker_id(const struct shard *s, int w)
{
	return s->workers[w].id;
}

void shard_worker_addr(const struct shard *s, int w, char *ip, size_t size,
		       uint16_t *port)
{
	snprintf(ip, size, "%s", s->workers[w].ip);
	*port = s->workers[w].port;
}
