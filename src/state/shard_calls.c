/* Handles calls from gd-entry: job records, claims of request ids, reports. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "state/shard_int.h"

#define STATUS_OK 200
#define STATUS_BAD 400
#define STATUS_ABSENT 404
#define STATUS_CONFLICT 409
#define STATUS_UNAVAILABLE 503
/* A part of the memory for tasks is left to records of few tasks. */
#define RESERVED_SHARE 4
#define FEW_TASKS 100

struct call {
	struct shard *s;
	const json_t *arg;
	struct shard_time now;
	json_t *reply;
	bool wait;
};

static const char *arg_str(const struct call *c, const char *key)
{
	const char *v = json_string_value(json_object_get(c->arg, key));

	return v ? v : "";
}

static int64_t reply_error(struct call *c, int64_t status, enum err_kind kind,
			   const char *text)
{
	c->reply = json_pack("{s:s,s:s}", "error", err_kind_name(kind), "text",
			     text);
	return status;
}

static int64_t reply_accepted(struct call *c, int64_t revision)
{
	c->reply = json_pack("{s:s,s:I}", "result", "accepted", "revision",
			     (json_int_t)revision);
	c->wait = true;
	return STATUS_OK;
}

/* Answers a repeated operation as before, without a second effect. */
static bool is_repeat(struct call *c, int64_t *status)
{
	int64_t *revision =
		g_hash_table_lookup(c->s->operations, arg_str(c, "op"));

	if (!revision)
		return false;
	*status = reply_accepted(c, *revision);
	return true;
}

/* Returns why no known worker could ever run a task of `r`, or NULL. */
static const char *why_never_fits(const struct shard *s, const struct rec *r)
{
	struct place_request need = {
		.size = { r->cpu_milli, r->mem_mib, r->accelerators },
		.domain = r->domain,
		.avoid = -1,
	};
	int listed = 0;

	for (int i = 0; i < s->n_workers; i++) {
		if (!s->workers[i].listed)
			continue;
		listed++;
		if (place_fits_empty(&s->place[i], &need))
			return NULL;
	}
	/* An empty list proves nothing, since the view may lag. */
	return listed ? "can never run: no worker is that large, or the "
			"domain has none; ask for less"
		      : NULL;
}

/* Returns whether there is memory for the tasks of another record. */
static bool has_memory(const struct shard *s, const struct rec *rec)
{
	int64_t limit = s->opt.memory_bytes;
	int64_t tasks = rec->tasks;

	if (!limit)
		return true;
	for (int i = 0; i < SHARD_STATES; i++)
		tasks += s->totals.tasks[i];
	if (rec->tasks > FEW_TASKS)
		limit -= limit / RESERVED_SHARE;
	return tasks * (int64_t)sizeof(struct shard_task) <= limit;
}

static int64_t submit(struct call *c)
{
	const json_t *j = json_object_get(c->arg, "rec");
	struct err e = { 0 };
	const char *why;
	struct rec rec;
	int64_t status;

	if (is_repeat(c, &status))
		return status;
	if (!rec_parse(j, &rec, &e))
		return reply_error(c, STATUS_BAD, e.kind, e.text);
	if (shard_find_job(c->s, rec.name))
		return reply_error(
			c, STATUS_CONFLICT, ERR_CONFLICT,
			"there is a job of this name: choose another or "
			"amend it");
	why = why_never_fits(c->s, &rec);
	if (why)
		return reply_error(c, STATUS_BAD, ERR_RECORD, why);
	if (!has_memory(c->s, &rec))
		return reply_error(
			c, STATUS_UNAVAILABLE, ERR_UNAVAILABLE,
			"not done: the scheduler has no memory for so many "
			"tasks: try again when others are done");
	shard_add_entry(c->s,
			json_pack("[s,s,O]", "submit", arg_str(c, "op"), j),
			c->now);
	shard_find_job(c->s, rec.name)->ready_ms = c->now.mono_ms;
	for (int64_t i = 0; i < rec.tasks; i++)
		shard_find_job(c->s, rec.name)->tasks[i].queued_ms =
			c->now.mono_ms;
	return reply_accepted(c, 1);
}

static int64_t amend(struct call *c)
{
	const json_t *j = json_object_get(c->arg, "rec");
	int64_t expected_revision =
		json_integer_value(json_object_get(c->arg, "at"));
	struct shard_job *job;
	struct err e = { 0 };
	struct rec rec;
	int64_t status;

	if (is_repeat(c, &status))
		return status;
	if (!rec_parse(j, &rec, &e))
		return reply_error(c, STATUS_BAD, e.kind, e.text);
	job = shard_find_job(c->s, rec.name);
	if (!job || job->withdrawn)
		return reply_error(c, STATUS_ABSENT, ERR_ABSENT,
				   "no such job: submit it");
	if (expected_revision >= 0 && expected_revision != job->revision)
		return reply_error(
			c, STATUS_CONFLICT, ERR_CONFLICT,
			"the record was changed by somebody else: read it "
			"again");
	shard_add_entry(c->s,
			json_pack("[s,s,O]", "amend", arg_str(c, "op"), j),
			c->now);
	return reply_accepted(c, job->revision);
}

static int64_t withdraw(struct call *c)
{
	struct shard_job *job = shard_find_job(c->s, arg_str(c, "name"));
	int64_t status;

	if (is_repeat(c, &status))
		return status;
	if (!job || job->withdrawn)
		return reply_error(c, STATUS_ABSENT, ERR_ABSENT, "no such job");
	shard_add_entry(c->s,
			json_pack("[s,s,s]", "withdraw", arg_str(c, "op"),
				  job->rec.name),
			c->now);
	return reply_accepted(c, job->revision);
}

static int64_t claim(struct call *c)
{
	const char *id = arg_str(c, "id");
	const char *token = arg_str(c, "token");
	struct shard_claim *current = g_hash_table_lookup(c->s->claims, id);

	/* Also for an earlier claim, which may not be durable yet. */
	c->wait = true;
	if (current && strcmp(current->token, token) != 0)
		return reply_error(c, STATUS_CONFLICT, ERR_CONFLICT,
				   "this request id is claimed already");
	if (!current)
		shard_add_entry(c->s, json_pack("[s,s,s]", "claim", id, token),
				c->now);
	c->reply = json_object();
	return STATUS_OK;
}

static int64_t release(struct call *c)
{
	const char *id = arg_str(c, "id");
	struct shard_claim *current = g_hash_table_lookup(c->s->claims, id);

	if (current && !strcmp(current->token, arg_str(c, "token")))
		shard_add_entry(
			c->s,
			json_pack("[s,s,s]", "release", id, current->token),
			c->now);
	c->reply = json_object();
	c->wait = true;
	return STATUS_OK;
}

static json_t *trace_task(const struct shard *s, const struct shard_task *t)
{
	json_t *attempts = json_array();

	for (guint i = 0; t->attempts && i < t->attempts->len; i++) {
		const struct shard_attempt *a =
			&g_array_index(t->attempts, struct shard_attempt, i);

		json_array_append_new(
			attempts,
			json_pack("{s:i,s:s,s:I,s:I,s:s}", "attempt", a->number,
				  "worker", s->workers[a->worker].id,
				  "start_ms", (json_int_t)a->start_wall_ms,
				  "end_ms", (json_int_t)a->end_wall_ms, "how",
				  a->end_wall_ms
					  ? shard_attempt_end_name(a->end)
					  : "running"));
	}
	return json_pack("{s:i,s:s,s:I,s:o}", "task", t->index, "state",
			 shard_state_name((enum shard_state)t->state),
			 "progress_ms", (json_int_t)t->progress_ms, "attempts",
			 attempts);
}

static int64_t trace(struct call *c)
{
	struct shard_job *job = shard_find_job(c->s, arg_str(c, "name"));
	json_t *tasks = json_array();

	if (!job) {
		json_decref(tasks);
		return reply_error(c, STATUS_ABSENT, ERR_ABSENT, "no such job");
	}
	for (int64_t i = 0; i < job->rec.tasks; i++)
		json_array_append_new(tasks, trace_task(c->s, &job->tasks[i]));
	c->reply = json_pack("{s:o,s:I,s:I,s:I,s:b,s:o}", "record",
			     rec_to_json(&job->rec), "revision",
			     (json_int_t)job->revision, "accepted_ms",
			     (json_int_t)job->accepted_wall_ms, "ended_ms",
			     (json_int_t)job->ended_wall_ms, "withdrawn",
			     job->withdrawn, "tasks", tasks);
	return STATUS_OK;
}

static int64_t ledger(struct call *c)
{
	const struct shard_totals *t = &c->s->totals;
	json_t *tasks = json_object();

	for (int i = 0; i < SHARD_STATES; i++)
		json_object_set_new(tasks,
				    shard_state_name((enum shard_state)i),
				    json_integer(t->tasks[i]));
	c->reply = json_pack(
		"{s:i,s:I,s:I,s:o,s:b,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "shard",
		c->s->opt.number, "epoch", (json_int_t)c->s->opt.epoch,
		"accepted", (json_int_t)t->accepted, "tasks", tasks, "balanced",
		shard_totals_consistent(c->s), "attempts",
		(json_int_t)t->started, "evicted", (json_int_t)t->evicted,
		"lost", (json_int_t)t->lost, "failed_attempts",
		(json_int_t)t->failed_attempts, "charged_cpu_ms",
		(json_int_t)t->charged_ms, "useful_cpu_ms",
		(json_int_t)t->useful_ms, "claims", (json_int_t)t->claims);
	return STATUS_OK;
}

static int64_t status(struct call *c)
{
	json_t *workers = json_array();

	for (int i = 0; i < c->s->n_workers; i++) {
		const struct shard_worker *w = &c->s->workers[i];
		const struct place_worker *p = &c->s->place[i];

		json_array_append_new(
			workers,
			json_pack("{s:s,s:s,s:b,s:i,s:I,s:I,s:I,s:I}", "id",
				  w->id, "domain", p->domain, "usable",
				  p->usable, "health", p->health, "tasks",
				  (json_int_t)p->tasks, "cpu_milli",
				  (json_int_t)p->total.cpu_milli, "reserved",
				  (json_int_t)p->used.cpu_milli, "load_milli",
				  (json_int_t)w->load_milli));
	}
	c->reply = json_pack("{s:i,s:I,s:o}", "shard", c->s->opt.number, "jobs",
			     (json_int_t)c->s->totals.jobs, "workers", workers);
	return STATUS_OK;
}

struct verb {
	const char *name;
	int64_t (*run)(struct call *c);
};

static const struct verb verbs[] = {
	{ "claim", claim },   { "release", release },	{ "submit", submit },
	{ "amend", amend },   { "withdraw", withdraw }, { "trace", trace },
	{ "ledger", ledger }, { "status", status },
};

int64_t shard_call(struct shard *s, const char *verb, const char *text,
		   struct shard_time now, json_t **reply, bool *wait)
{
	json_t *arg =
		rec_text_is_small(text) ? json_loads(text, 0, NULL) : NULL;
	struct call c = { .s = s, .arg = arg, .now = now };
	int64_t status = STATUS_BAD;

	for (size_t i = 0; i < sizeof(verbs) / sizeof(verbs[0]); i++) {
		if (!strcmp(verbs[i].name, verb)) {
			status = verbs[i].run(&c);
			break;
		}
	}
	json_decref(arg);
	*reply = c.reply ? c.reply : json_object();
	*wait = c.wait;
	return status;
}
