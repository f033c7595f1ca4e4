/*
 * Simulates the platform's workers (one on each VM, with their tasks and
 * leases) and its list of VMs. Tasks only take time: nothing is executed.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standins/site.h"

#define CPU_MILLI 16000
#define MEM_MIB 64000
#define LEASE_MAX_MS 6000
#define RUN_DEFAULT_MS 100
#define UPKEEP_DURATION_MS 300
#define POLL_WAIT_MAX_MS 2000
/* A worker that misses three heartbeats is removed from the list. */
#define UNLIST_AFTER_MS 3000
/* Only start and stop, the first calls of the table, can be delayed. */
#define N_DELAYABLE 2

struct site_run {
	char *task;
	int64_t attempt;
	int64_t cpu_milli;
	int64_t started_ms;
	int64_t ends_ms; /* 0: runs until it is stopped */
	bool fails;
};

struct site_run_end {
	int64_t seq;
	char *task;
	int64_t attempt;
	const char *outcome;
	bool lease_expired; /* before the owner acknowledged the end */
};

/* A status poll; answered when a run ends, or at until_ms. */
struct site_poll {
	struct hts_req *req;
	int64_t until_ms;
};

/* A VM and the current incarnation of its worker. */
struct site_worker {
	struct site *s;
	char vm[32];
	int index;
	char id[48];
	int incarnation;
	int64_t born_ms; /* wall clock, as reported to owners */
	int64_t clock_base_ms; /* see clock_ms() */
	int64_t fence_token;
	int64_t lease_until_ms; /* on the worker's clock */
	int64_t seq;
	int64_t down_until_ms; /* 0: the VM is up */
	bool unresponsive; /* requests get no response at all */
	bool same_id; /* the next incarnation keeps the id */
	int64_t drain_until_ms; /* 0: not draining */
	int64_t unlist_at_ms; /* when to remove its row; 0: never */
	int64_t relist_at_ms; /* when to list it again; 0: listed */
	int64_t to_delay; /* so many next start and stop commands */
	int64_t command_delay_ms; /* they run after it, unanswered */
	GHashTable *last_ended; /* task to the last attempt that ended */
	GHashTable *waves; /* waves in which it had its upkeep */
	GPtrArray *runs;
	GPtrArray *ends;
	GPtrArray *polls;
};

/* The worker's own monotonic clock; restarts with each incarnation. */
static int64_t clock_ms(const struct site_worker *w)
{
	return site_now_ms() - w->clock_base_ms + 1000;
}

static void put_row(struct site *s, const struct site_worker *w)
{
	char *text = g_strdup_printf(
		"{\"service\":\"pool\",\"addr\":\"127.0.0.1:%d\","
		"\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,"
		"\"state\":\"%s\",\"cold_left_ms\":0,\"machine\":\"%s\","
		"\"capacity\":{\"cpu\":%d,\"mem_mb\":%d,\"gpu\":0},"
		"\"labels\":[\"a\",\"r1\"],\"born\":%lld,\"seq\":1}",
		s->worker_port_base ? s->worker_port_base + w->index : s->port,
		w->drain_until_ms ? "draining" : "ready", w->vm, CPU_MILLI,
		MEM_MIB, (long long)w->born_ms);

	store_put(s, "servers", "", w->id, text);
	g_free(text);
}

/* Writes the worker's row now, or once the store is available again. */
static void report_worker(struct site *s, struct site_worker *w)
{
	if (faults_store_unavailable(s))
		w->relist_at_ms = site_now_ms();
	else
		put_row(s, w);
}

static void begin_incarnation(struct site *s, struct site_worker *w)
{
	w->incarnation += !w->same_id;
	snprintf(w->id, sizeof(w->id), "i-%s-%d", w->vm, w->incarnation);
	w->born_ms = clk_wall_ms(&clk_system);
	w->clock_base_ms = site_now_ms();
	w->fence_token = 0;
	w->lease_until_ms = 0;
	w->seq = 0;
	w->down_until_ms = 0;
	w->unresponsive = w->same_id = false;
	w->drain_until_ms = w->unlist_at_ms = w->relist_at_ms = w->to_delay = 0;
	g_hash_table_remove_all(w->last_ended);
	report_worker(s, w);
}

void workers_init(struct site *s, int n)
{
	s->workers = g_ptr_array_new();
	for (int i = 0; i < n; i++) {
		struct site_worker *w = g_new0(struct site_worker, 1);

		snprintf(w->vm, sizeof(w->vm), "m%d", i);
		w->s = s;
		w->index = i;
		w->last_ended = g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, NULL);
		w->waves = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, NULL);
		w->runs = g_ptr_array_new();
		w->ends = g_ptr_array_new();
		w->polls = g_ptr_array_new();
		g_ptr_array_add(s->workers, w);
		begin_incarnation(s, w);
	}
}

static void log_task(const char *what, const struct site_worker *w,
		     const char *task, int64_t attempt)
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

	log_task(outcome, w, r->task, r->attempt);
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

/*
 * The task's spec text controls the run: "ms=N" sets its duration, "bad" makes
 * it fail, "lasts" makes it run until it is stopped.
 */
static void add_run(struct site_worker *w, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	const char *text = json_string_value(json_object_get(body, "spec"));
	const char *ms = text ? strstr(text, "ms=") : NULL;
	struct site_run *r = g_new0(struct site_run, 1);

	r->task = g_strdup(task);
	r->attempt = int_field(body, "attempt");
	r->started_ms = site_now_ms();
	r->fails = text && strstr(text, "bad");
	if (!text || !strstr(text, "lasts"))
		r->ends_ms =
			r->started_ms + (ms ? atoll(ms + 3) : RUN_DEFAULT_MS);
	g_ptr_array_add(w->runs, r);
	printf("%lld start %s %s %lld %lld %d %s\n", (long long)r->started_ms,
	       w->id, task, (long long)r->attempt, (long long)w->fence_token,
	       w->s->delivered_late, text ? text : "");
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
	if (!r || r->attempt != attempt)
		add_run(w, body);
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
			log_task("noted", w, e->task, e->attempt);
		free_end(e);
		g_ptr_array_remove_index(w->ends, 0);
	}
}

/* Takes the VM down for `for_ms`; its runs and unacknowledged ends are lost. */
static void end_incarnation(struct site_worker *w, int64_t for_ms)
{
	while (w->runs->len)
		end_run(w, 0, "cut", false);
	for (guint i = 0; i < w->ends->len; i++)
		free_end(g_ptr_array_index(w->ends, i));
	g_ptr_array_set_size(w->ends, 0);
	w->down_until_ms = site_now_ms() + for_ms;
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

static struct site_worker *find_worker(struct site *s, const char *vm,
				       const char *id)
{
	for (guint i = 0; i < s->workers->len; i++) {
		struct site_worker *w = g_ptr_array_index(s->workers, i);

		if ((vm && !strcmp(w->vm, vm)) || (id && !strcmp(w->id, id)))
			return w;
	}
	return NULL;
}

static void list_vms(struct site *s, struct hts_req *req)
{
	json_t *list = json_array();

	for (guint i = 0; i < s->workers->len; i++) {
		const struct site_worker *w = g_ptr_array_index(s->workers, i);

		json_array_append_new(
			list, json_pack("{s:s,s:s,s:s,s:s}", "machine", w->vm,
					"pool", "pool", "state",
					w->down_until_ms ? "upkeep" : "up",
					"id", w->down_until_ms ? "" : w->id));
	}
	site_reply(s, req, 200,
		   json_pack("{s:o,s:n}", "machines", list, "next_token"));
}

static void handle_upkeep(struct site *s, struct hts_req *req)
{
	json_t *body = json_loadb(req->body, req->body_len, 0, NULL);
	struct site_worker *w = find_worker(
		s, json_string_value(json_object_get(body, "machine")), NULL);
	int64_t wave = int_field(body, "wave");
	int64_t *key;

	json_decref(body);
	if (!w) {
		site_reply(s, req, 400, json_object());
		return;
	}
	if (g_hash_table_contains(w->waves, &wave)) {
		site_reply(s, req, 200, json_object());
		return;
	}
	if (w->down_until_ms) {
		site_reply(s, req, 409, json_pack("{s:s}", "reason", "busy"));
		return;
	}
	key = g_new(int64_t, 1);
	*key = wave;
	g_hash_table_add(w->waves, key);
	log_task("upkeep", w, w->vm, wave);
	end_incarnation(w, UPKEEP_DURATION_MS);
	store_put(s, "servers", "", w->id, NULL);
	site_reply(s, req, 200, json_object());
}

bool workers_handle(struct site *s, struct hts_req *req)
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
	struct site_worker *w;
	json_t *body;

	if (!strcmp(req->path, "/v1/machines")) {
		list_vms(s, req);
		return true;
	}
	if (!strcmp(req->path, "/v1/machine-upkeep")) {
		handle_upkeep(s, req);
		return true;
	}
	w = find_worker(s, NULL, hts_header(req, "Expect-Instance"));
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

void workers_control(struct site *s, const json_t *body)
{
	guint i = (guint)int_field(body, "worker");
	struct site_worker *w =
		i < s->workers->len ? g_ptr_array_index(s->workers, i) : NULL;
	const char *what = json_string_value(json_object_get(body, "do"));
	int64_t for_ms = int_field(body, "for_ms");
	int64_t now = site_now_ms();

	if (!w || !what || w->down_until_ms)
		return;
	if (!strcmp(what, "die")) {
		end_incarnation(w, for_ms > UNLIST_AFTER_MS ? for_ms
							    : UNLIST_AFTER_MS);
		w->unresponsive = true;
		w->unlist_at_ms = now + UNLIST_AFTER_MS;
	} else if (!strcmp(what, "reborn")) {
		end_incarnation(w, for_ms);
		w->unresponsive = w->same_id = true;
	} else if (!strcmp(what, "drain")) {
		w->drain_until_ms = now + for_ms;
		if (!w->relist_at_ms)
			report_worker(s, w);
	} else if (!strcmp(what, "lapse")) {
		store_put(s, "servers", "", w->id, NULL);
		w->relist_at_ms = now + for_ms;
	} else if (!strcmp(what, "late")) {
		w->to_delay = int_field(body, "count");
		w->command_delay_ms = for_ms;
	}
}

static void tick_listing(struct site *s, struct site_worker *w)
{
	int64_t now = site_now_ms();

	if (w->drain_until_ms && now >= w->drain_until_ms) {
		w->drain_until_ms = 0;
		w->unlist_at_ms = now;
		w->unresponsive = true;
		end_incarnation(w, UPKEEP_DURATION_MS);
	}
	if (w->unlist_at_ms && now >= w->unlist_at_ms) {
		w->unlist_at_ms = 0;
		store_put(s, "servers", "", w->id, NULL);
	}
	if (w->relist_at_ms && now >= w->relist_at_ms && !w->down_until_ms &&
	    !faults_store_unavailable(s)) {
		w->relist_at_ms = 0;
		put_row(s, w);
	}
}

static void tick_runs(struct site_worker *w)
{
	bool lease_expired = clock_ms(w) > w->lease_until_ms;

	for (guint i = 0; lease_expired && i < w->ends->len; i++)
		((struct site_run_end *)g_ptr_array_index(w->ends, i))
			->lease_expired = true;
	for (guint i = w->runs->len; i > 0; i--) {
		const struct site_run *r = g_ptr_array_index(w->runs, i - 1);

		if (lease_expired)
			end_run(w, i - 1, "lapsed", true);
		else if (r->ends_ms && site_now_ms() >= r->ends_ms)
			end_run(w, i - 1, r->fails ? "failed" : "done", true);
	}
}

static void tick_polls(struct site_worker *w)
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

void workers_tick(struct site *s)
{
	for (guint i = 0; i < s->workers->len; i++) {
		struct site_worker *w = g_ptr_array_index(s->workers, i);

		tick_runs(w);
		tick_listing(s, w);
		tick_polls(w);
		if (w->down_until_ms && site_now_ms() >= w->down_until_ms)
			begin_incarnation(s, w);
	}
}
