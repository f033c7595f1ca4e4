/*
 * Simulates the runs of tasks at the platform's workers, with their leases.
 * Tasks only take time: nothing is executed.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standins/site_runs.h"

#define LEASE_MAX_MS 6000
#define RUN_DEFAULT_MS 100
/* How long after its start a deadly task crashes its worker, and how long the
 * worker is down by default. */
#define CRASH_AFTER_MS 5
#define CRASH_DOWN_MS 4000
#define POLL_WAIT_MAX_MS 2000
/* Only start and stop, the first calls of the table, can be delayed. */
#define N_DELAYABLE 2

/* The worker's own monotonic clock; restarts with each incarnation. */
static int64_t clock_ms(const struct site_worker *w)
{
	return site_now_ms() - w->clock_base_ms + 1000;
}

void runs_init(struct site_worker *w)
{
	w->last_ended =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->runs = g_ptr_array_new();
	w->ends = g_ptr_array_new();
	w->polls = g_ptr_array_new();
}

void runs_log(const char *what, const struct site_worker *w, const char *task,
	      int64_t attempt)
{
	printf("%lld %s %s %s %lld\n", (long long)site_now_ms(), what, w->id,
	       task, (long long)attempt);
}

static int64_t last_ended_attempt(const struct site_worker *w, const char *task)
{
	return (int64_t)(intptr_t)g_hash_table_lookup(w->last_ended, task);
}

static void set_last_ended(struct site_worker *w, const char *task,
			   int64_t attempt)
{
	if (attempt > last_ended_attempt(w, task))
		g_hash_table_replace(w->last_ended, g_strdup(task),
				     (void *)(intptr_t)attempt);
}

static void free_end(struct site_run_end *e)
{
	g_free(e->task);
	g_free(e);
}

static void end_run(struct site_worker *w, guint i, const char *outcome,
		    bool add_to_report)
{
	struct site_run *r = g_ptr_array_index(w->runs, i);
	struct site_run_end *e = g_new0(struct site_run_end, 1);

	runs_log(outcome, w, r->task, r->attempt);
	set_last_ended(w, r->task, r->attempt);
	e->seq = ++w->seq;
	e->task = r->task;
	e->attempt = r->attempt;
	e->outcome = outcome;
	if (add_to_report)
		g_ptr_array_add(w->ends, e);
	else
		free_end(e);
	g_ptr_array_remove_index(w->runs, i);
	g_free(r);
}

/* Returns the index of the task's last run; -1 if there is none. */
static int find_run(const struct site_worker *w, const char *task)
{
	int found = -1;

	for (guint i = 0; i < w->runs->len; i++) {
		const struct site_run *r = g_ptr_array_index(w->runs, i);

		if (!strcmp(r->task, task))
			found = (int)i;
	}
	return found;
}

static json_t *status_report(const struct site_worker *w)
{
	json_t *active = json_array();
	json_t *finished = json_array();

	for (guint i = 0; i < w->runs->len; i++) {
		const struct site_run *r = g_ptr_array_index(w->runs, i);
		int64_t took = site_now_ms() - r->started_ms;
		int percent = r->ends_ms
				      ? (int)(took * 100 /
					      (r->ends_ms - r->started_ms + 1))
				      : 100;

		json_array_append_new(
			active, json_pack("[s,I,s,i,I]", r->task,
					  (json_int_t)r->attempt, "", percent,
					  (json_int_t)r->cpu_milli));
	}
	for (guint i = 0; i < w->ends->len; i++) {
		const struct site_run_end *e = g_ptr_array_index(w->ends, i);

		json_array_append_new(
			finished,
			json_pack("[I,s,I,s,s]", (json_int_t)e->seq, e->task,
				  (json_int_t)e->attempt, e->outcome, ""));
	}
	return json_pack("{s:I,s:I,s:o,s:o}", "clock_ms",
			 (json_int_t)clock_ms(w), "born",
			 (json_int_t)w->born_ms, "active", active, "finished",
			 finished);
}

static void reply_conflict(struct site_worker *w, struct hts_req *req,
			   const char *reason)
{
	site_reply(w->s, req, 409,
		   json_pack("{s:I,s:s}", "clock_ms", (json_int_t)clock_ms(w),
			     "reason", reason));
}

static int64_t int_field(const json_t *body, const char *name)
{
	return json_integer_value(json_object_get(body, name));
}

/* Returns false if the worker has seen a higher token. */
static bool accept_fence_token(struct site_worker *w, const json_t *body)
{
	int64_t fence_token = int_field(body, "fence_token");

	if (fence_token < w->fence_token)
		return false;
	w->fence_token = fence_token;
	return true;
}

static void extend_lease(struct site_worker *w, const json_t *body)
{
	int64_t until = int_field(body, "until_ms");
	int64_t max_until =
		clock_ms(w) +
		(w->s->lease_max_ms ? w->s->lease_max_ms : LEASE_MAX_MS);

	until = until < max_until ? until : max_until;
	if (until > w->lease_until_ms)
		w->lease_until_ms = until;
}

/* Returns the number after `name` in the spec text. */
static int64_t spec_int(const char *text, const char *name, int64_t otherwise)
{
	const char *at = text ? strstr(text, name) : NULL;

	return at ? atoll(at + strlen(name)) : otherwise;
}

/*
 * The task's spec text controls the run: "ms=N" sets its duration, "cpu=N"
 * and "mem=N" what it takes of the worker's capacity, "bad" makes it fail,
 * "lasts" makes it run until it is stopped, "deadly" makes it crash the worker,
 * which is back after "back=N" ms, with "same-id" under its id.
 */
static void add_run(struct site_worker *w, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	const char *text = json_string_value(json_object_get(body, "spec"));
	struct site_run *r = g_new0(struct site_run, 1);

	r->task = g_strdup(task);
	r->attempt = int_field(body, "attempt");
	r->cpu_milli = spec_int(text, "cpu=", 0);
	r->mem_mib = spec_int(text, "mem=", 0);
	r->started_ms = site_now_ms();
	r->fails = text && strstr(text, "bad");
	if (!text || !strstr(text, "lasts"))
		r->ends_ms =
			r->started_ms + spec_int(text, "ms=", RUN_DEFAULT_MS);
	if (text && strstr(text, "deadly")) {
		r->crashes_at_ms = r->started_ms + CRASH_AFTER_MS;
		r->crash_down_ms = spec_int(text, "back=", CRASH_DOWN_MS);
		r->crash_same_id = strstr(text, "same-id");
	}
	g_ptr_array_add(w->runs, r);
	printf("%lld start %s %s %lld %lld %d %s\n", (long long)r->started_ms,
	       w->id, task, (long long)r->attempt, (long long)w->fence_token,
	       w->s->delivered_late, text ? text : "");
}

static bool has_room(const struct site_worker *w, const json_t *body)
{
	const char *text = json_string_value(json_object_get(body, "spec"));
	int64_t cpu_milli = spec_int(text, "cpu=", 0);
	int64_t mem_mib = spec_int(text, "mem=", 0);

	for (guint i = 0; i < w->runs->len; i++) {
		const struct site_run *r = g_ptr_array_index(w->runs, i);

		cpu_milli += r->cpu_milli;
		mem_mib += r->mem_mib;
	}
	return cpu_milli <= w->cpu_milli && mem_mib <= w->mem_mib;
}

static void handle_start(struct site_worker *w, struct hts_req *req,
			 const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	int64_t attempt = int_field(body, "attempt");
	int i = find_run(w, task);
	const struct site_run *r =
		i < 0 ? NULL : g_ptr_array_index(w->runs, (guint)i);

	if (!accept_fence_token(w, body)) {
		reply_conflict(w, req, "fence");
		return;
	}
	extend_lease(w, body);
	if (attempt <= last_ended_attempt(w, task) ||
	    (r && attempt < r->attempt)) {
		reply_conflict(w, req, "old");
		return;
	}
	if (clock_ms(w) >= w->lease_until_ms) {
		reply_conflict(w, req, "late");
		return;
	}
	if (!r || r->attempt != attempt) {
		if (!w->s->overcommits && !has_room(w, body)) {
			reply_conflict(w, req, "room");
			return;
		}
		add_run(w, body);
	}
	site_reply(w->s, req, 200,
		   json_pack("{s:I}", "clock_ms", (json_int_t)clock_ms(w)));
}

static void handle_stop(struct site_worker *w, struct hts_req *req,
			const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	int64_t attempt = int_field(body, "attempt");
	int i = find_run(w, task);
	const struct site_run *r =
		i < 0 ? NULL : g_ptr_array_index(w->runs, (guint)i);

	if (!accept_fence_token(w, body)) {
		reply_conflict(w, req, "fence");
		return;
	}
	if (r && r->attempt == attempt)
		end_run(w, (guint)i, "stopped", true);
	else
		set_last_ended(w, task, attempt);
	site_reply(w->s, req, 200,
		   json_pack("{s:I}", "clock_ms", (json_int_t)clock_ms(w)));
}

static void ack_ends(struct site_worker *w, int64_t ack)
{
	while (w->ends->len) {
		struct site_run_end *e = g_ptr_array_index(w->ends, 0);

		if (e->seq > ack)
			return;
		if (!e->lease_expired)
			runs_log("noted", w, e->task, e->attempt);
		free_end(e);
		g_ptr_array_remove_index(w->ends, 0);
	}
}

void runs_drop(struct site_worker *w)
{
	while (w->runs->len)
		end_run(w, 0, "cut", false);
	for (guint i = 0; i < w->ends->len; i++)
		free_end(g_ptr_array_index(w->ends, i));
	g_ptr_array_set_size(w->ends, 0);
}

static void handle_poll(struct site_worker *w, struct hts_req *req,
			const json_t *body)
{
	struct site_poll *p;
	int64_t wait = int_field(body, "wait_ms");

	if (!accept_fence_token(w, body)) {
		reply_conflict(w, req, "fence");
		return;
	}
	extend_lease(w, body);
	ack_ends(w, int_field(body, "ack_seq"));
	p = g_new0(struct site_poll, 1);
	p->req = req;
	p->until_ms = site_now_ms() +
		      (wait < POLL_WAIT_MAX_MS ? wait : POLL_WAIT_MAX_MS);
	g_ptr_array_add(w->polls, p);
}

static void handle_pace(struct site_worker *w, struct hts_req *req,
			const json_t *body)
{
	if (!accept_fence_token(w, body))
		reply_conflict(w, req, "fence");
	else
		site_reply(w->s, req, 200,
			   json_pack("{s:I}", "clock_ms",
				     (json_int_t)clock_ms(w)));
}

bool runs_handle(struct site *s, struct site_worker *w, struct hts_req *req)
{
	static const struct {
		const char *path;
		void (*call)(struct site_worker *w, struct hts_req *req,
			     const json_t *body);
	} calls[] = {
		{ "/v1/run-start", handle_start },
		{ "/v1/run-stop", handle_stop },
		{ "/v1/hold", handle_poll },
		{ "/v1/pace", handle_pace },
	};
	json_t *body;

	for (size_t i = 0; i < sizeof(calls) / sizeof(*calls); i++) {
		if (strcmp(calls[i].path, req->path))
			continue;
		if (w && w->unresponsive)
			return true;
		if (!w || w->down_until_ms) {
			site_reply(s, req, 421, json_object());
			return true;
		}
		if (w->to_delay && i < N_DELAYABLE && !s->delivered_late) {
			w->to_delay--;
			faults_delay(s, req, w->command_delay_ms, true);
			return true;
		}
		body = json_loadb(req->body, req->body_len, 0, NULL);
		calls[i].call(w, req, body);
		json_decref(body);
		return true;
	}
	return false;
}

void runs_tick(struct site_worker *w)
{
	bool lease_expired = clock_ms(w) > w->lease_until_ms;

	for (guint i = 0; lease_expired && i < w->ends->len; i++)
		((struct site_run_end *)g_ptr_array_index(w->ends, i))
			->lease_expired = true;
	for (guint i = w->runs->len; i > 0; i--) {
		const struct site_run *r = g_ptr_array_index(w->runs, i - 1);

		if (r->crashes_at_ms && site_now_ms() >= r->crashes_at_ms) {
			runs_log("crash", w, r->task, r->attempt);
			worker_crash(w, r->crash_down_ms, r->crash_same_id);
			return;
		}
		if (lease_expired)
			end_run(w, i - 1, "lapsed", true);
		else if (r->ends_ms && site_now_ms() >= r->ends_ms)
			end_run(w, i - 1, r->fails ? "failed" : "done", true);
	}
}

void runs_tick_polls(struct site_worker *w)
{
	for (guint i = w->polls->len; i > 0; i--) {
		struct site_poll *p = g_ptr_array_index(w->polls, i - 1);

		if (!w->down_until_ms && !w->ends->len &&
		    site_now_ms() < p->until_ms)
			continue;
		w->s->suppress_response = w->unresponsive;
		site_reply(w->s, p->req, w->down_until_ms ? 421 : 200,
			   status_report(w));
		w->s->suppress_response = false;
		g_ptr_array_remove_index(w->polls, i - 1);
		g_free(p);
	}
}
