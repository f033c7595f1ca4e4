/* The platform's workers and its list of VMs, as a stand-in. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standins/site.h"

#define CPU_MILLI 16000
#define MEM_MIB 64000
#define LEASE_MAX_MS 6000
#define RUN_DEFAULT_MS 100
#define UPKEEP_MS 300
#define LOOK_WAIT_MAX_MS 2000

struct site_run {
	char *task;
	int64_t number;
	int64_t cpu_milli;
	int64_t began_ms;
	int64_t ends_ms; /* 0: it lasts */
};

struct site_end {
	int64_t seq;
	char *task;
	int64_t number;
	const char *how;
};

/* A look that waits for an end. */
struct site_look {
	struct hts_req *req;

	int64_t until_ms;
};

/* One VM and the worker that it runs now. */
struct site_worker {
	char vm[32];
	char id[48];
	int life;
	int64_t born_ms; /* time of day, as the platform tells it */
	int64_t began_ms; /* its steady clock counts from here */
	int64_t fence;
	int64_t lease_ms; /* end, on its clock */
	int64_t seq;
	int64_t away_until_ms; /* down for its upkeep; 0: it is up */
	GHashTable *waves; /* those that it had its upkeep in */
	GPtrArray *runs;
	GPtrArray *ends;
	GPtrArray *looks;
};

static int64_t clock_of(const struct site_worker *w)
{
	return site_now_ms() - w->began_ms + 1000;
}

static void put_row(struct site *s, const struct site_worker *w)
{
	char *text = g_strdup_printf(
		"{\"service\":\"pool\",\"addr\":\"127.0.0.1:%d\","
		"\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,"
		"\"state\":\"ready\",\"cold_left_ms\":0,\"machine\":\"%s\","
		"\"capacity\":{\"cpu\":%d,\"mem_mb\":%d,\"gpu\":0},"
		"\"labels\":[\"a\",\"r1\"],\"born\":%lld,\"seq\":1}",
		s->port, w->vm, CPU_MILLI, MEM_MIB, (long long)w->born_ms);

	store_put(s, "servers", "", w->id, text);
	g_free(text);
}

static void begin_life(struct site *s, struct site_worker *w)
{
	snprintf(w->id, sizeof(w->id), "i-%s-%d", w->vm, ++w->life);
	w->born_ms = clk_wall_ms(&clk_system);
	w->began_ms = site_now_ms();
	w->fence = 0;
	w->lease_ms = 0;
	w->seq = 0;
	w->away_until_ms = 0;
	put_row(s, w);
}

void workers_init(struct site *s, int n)
{
	s->workers = g_ptr_array_new();
	for (int i = 0; i < n; i++) {
		struct site_worker *w = g_new0(struct site_worker, 1);

		snprintf(w->vm, sizeof(w->vm), "m%d", i);
		w->waves = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, NULL);
		w->runs = g_ptr_array_new();
		w->ends = g_ptr_array_new();
		w->looks = g_ptr_array_new();
		g_ptr_array_add(s->workers, w);
		begin_life(s, w);
	}
}

static void say(const char *what, const struct site_worker *w, const char *task,
		int64_t number)
{
	printf("%lld %s %s %s %lld\n", (long long)site_now_ms(), what, w->id,
	       task, (long long)number);
}

static void end_run(struct site_worker *w, guint i, const char *how, bool list)
{
	struct site_run *r = g_ptr_array_index(w->runs, i);
	struct site_end *e = g_new0(struct site_end, 1);

	say(how, w, r->task, r->number);
	e->seq = ++w->seq;
	e->task = r->task;
	e->number = r->number;
	e->how = how;
	if (list)
		g_ptr_array_add(w->ends, e);
	else
		g_free(e);
	g_ptr_array_remove_index(w->runs, i);
	g_free(r);
}

static int find_run(const struct site_worker *w, const char *task)
{
	for (guint i = 0; i < w->runs->len; i++) {
		const struct site_run *r = g_ptr_array_index(w->runs, i);

		if (!strcmp(r->task, task))
			return (int)i;
	}
	return -1;
}

static json_t *look_json(const struct site_worker *w)
{
	json_t *active = json_array();
	json_t *finished = json_array();

	for (guint i = 0; i < w->runs->len; i++) {
		const struct site_run *r = g_ptr_array_index(w->runs, i);
		int64_t took = site_now_ms() - r->began_ms;
		int percent = r->ends_ms ? (int)(took * 100 /
						 (r->ends_ms - r->began_ms + 1))
					 : 100;

		json_array_append_new(
			active,
			json_pack("[s,I,s,i,I]", r->task, (json_int_t)r->number,
				  "", percent, (json_int_t)r->cpu_milli));
	}
	for (guint i = 0; i < w->ends->len; i++) {
		const struct site_end *e = g_ptr_array_index(w->ends, i);

		json_array_append_new(
			finished,
			json_pack("[I,s,I,s,s]", (json_int_t)e->seq, e->task,
				  (json_int_t)e->number, e->how, ""));
	}
	return json_pack("{s:I,s:I,s:o,s:o}", "clock_ms",
			 (json_int_t)clock_of(w), "born",
			 (json_int_t)w->born_ms, "active", active, "finished",
			 finished);
}

static void refuse(struct site_worker *w, struct hts_req *req,
		   const char *reason)
{
	site_reply(req, 409,
		   json_pack("{s:I,s:s}", "clock_ms", (json_int_t)clock_of(w),
			     "reason", reason));
}

static int64_t number_of(const json_t *body, const char *name)
{
	return json_integer_value(json_object_get(body, name));
}

/* False if a higher token was seen before. */
static bool take_fence(struct site_worker *w, const json_t *body)
{
	int64_t fence = number_of(body, "fence_token");

	if (fence < w->fence)
		return false;
	w->fence = fence;
	return true;
}

static void take_lease(struct site_worker *w, const json_t *body)
{
	int64_t until = number_of(body, "until_ms");
	int64_t most = clock_of(w) + LEASE_MAX_MS;

	until = until < most ? until : most;
	if (until > w->lease_ms)
		w->lease_ms = until;
}

/* What a task does is in its text: ms=N, or lasts. */
static void start(struct site_worker *w, struct hts_req *req,
		  const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	const char *text = json_string_value(json_object_get(body, "spec"));
	const char *ms = text ? strstr(text, "ms=") : NULL;
	int64_t number = number_of(body, "attempt");
	struct site_run *r;

	if (!take_fence(w, body)) {
		refuse(w, req, "fence");
		return;
	}
	take_lease(w, body);
	if (find_run(w, task) < 0) {
		r = g_new0(struct site_run, 1);
		r->task = g_strdup(task);
		r->number = number;
		r->began_ms = site_now_ms();
		if (!text || !strstr(text, "lasts"))
			r->ends_ms = r->began_ms +
				     (ms ? atoll(ms + 3) : RUN_DEFAULT_MS);
		g_ptr_array_add(w->runs, r);
		say("start", w, task, number);
	}
	site_reply(req, 200,
		   json_pack("{s:I}", "clock_ms", (json_int_t)clock_of(w)));
}

static void stop(struct site_worker *w, struct hts_req *req, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	int i = find_run(w, task);

	if (!take_fence(w, body)) {
		refuse(w, req, "fence");
		return;
	}
	if (i >= 0)
		end_run(w, (guint)i, "stopped", true);
	site_reply(req, 200,
		   json_pack("{s:I}", "clock_ms", (json_int_t)clock_of(w)));
}

static void acknowledge(struct site_worker *w, int64_t ack)
{
	while (w->ends->len) {
		struct site_end *e = g_ptr_array_index(w->ends, 0);

		if (e->seq > ack)
			return;
		g_free(e->task);
		g_free(e);
		g_ptr_array_remove_index(w->ends, 0);
	}
}

static void hold(struct site_worker *w, struct hts_req *req, const json_t *body)
{
	struct site_look *k;
	int64_t wait = number_of(body, "wait_ms");

	if (!take_fence(w, body)) {
		refuse(w, req, "fence");
		return;
	}
	take_lease(w, body);
	acknowledge(w, number_of(body, "ack_seq"));
	k = g_new0(struct site_look, 1);
	k->req = req;
	k->until_ms = site_now_ms() +
		      (wait < LOOK_WAIT_MAX_MS ? wait : LOOK_WAIT_MAX_MS);
	g_ptr_array_add(w->looks, k);
}

static void pace(struct site_worker *w, struct hts_req *req, const json_t *body)
{
	if (!take_fence(w, body))
		refuse(w, req, "fence");
	else
		site_reply(req, 200,
			   json_pack("{s:I}", "clock_ms",
				     (json_int_t)clock_of(w)));
}

static struct site_worker *worker_by(struct site *s, const char *vm,
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
					w->away_until_ms ? "upkeep" : "up",
					"id", w->away_until_ms ? "" : w->id));
	}
	site_reply(req, 200,
		   json_pack("{s:o,s:n}", "machines", list, "next_token"));
}

static void upkeep(struct site *s, struct hts_req *req)
{
	json_t *body = json_loadb(req->body, req->body_len, 0, NULL);
	struct site_worker *w = worker_by(
		s, json_string_value(json_object_get(body, "machine")), NULL);
	int64_t wave = number_of(body, "wave");
	int64_t *key;

	json_decref(body);
	if (!w) {
		site_reply(req, 400, json_object());
		return;
	}
	if (g_hash_table_contains(w->waves, &wave)) {
		site_reply(req, 200, json_object());
		return;
	}
	if (w->away_until_ms) {
		site_reply(req, 409, json_pack("{s:s}", "reason", "busy"));
		return;
	}
	key = g_new(int64_t, 1);
	*key = wave;
	g_hash_table_add(w->waves, key);
	say("upkeep", w, w->vm, wave);
	while (w->runs->len)
		end_run(w, 0, "cut", false);
	acknowledge(w, INT64_MAX);
	w->away_until_ms = site_now_ms() + UPKEEP_MS;
	store_put(s, "servers", "", w->id, NULL);
	site_reply(req, 200, json_object());
}

bool workers_request(struct site *s, struct hts_req *req)
{
	static const struct {
		const char *path;
		void (*call)(struct site_worker *w, struct hts_req *req,
			     const json_t *body);
	} calls[] = {
		{ "/v1/run-start", start },
		{ "/v1/run-stop", stop },
		{ "/v1/hold", hold },
		{ "/v1/pace", pace },
	};
	struct site_worker *w;
	json_t *body;

	if (!strcmp(req->path, "/v1/machines")) {
		list_vms(s, req);
		return true;
	}
	if (!strcmp(req->path, "/v1/machine-upkeep")) {
		upkeep(s, req);
		return true;
	}
	w = worker_by(s, NULL, hts_header(req, "Expect-Instance"));
	for (size_t i = 0; i < sizeof(calls) / sizeof(*calls); i++) {
		if (strcmp(calls[i].path, req->path))
			continue;
		if (!w || w->away_until_ms) {
			site_reply(req, 421, json_object());
			return true;
		}
		body = json_loadb(req->body, req->body_len, 0, NULL);
		calls[i].call(w, req, body);
		json_decref(body);
		return true;
	}
	return false;
}

static void tick_runs(struct site_worker *w)
{
	for (guint i = w->runs->len; i > 0; i--) {
		const struct site_run *r = g_ptr_array_index(w->runs, i - 1);

		if (clock_of(w) > w->lease_ms)
			end_run(w, i - 1, "lapsed", true);
		else if (r->ends_ms && site_now_ms() >= r->ends_ms)
			end_run(w, i - 1, "done", true);
	}
}

static void tick_looks(struct site_worker *w)
{
	for (guint i = w->looks->len; i > 0; i--) {
		struct site_look *k = g_ptr_array_index(w->looks, i - 1);

		if (!w->away_until_ms && !w->ends->len &&
		    site_now_ms() < k->until_ms)
			continue;
		site_reply(k->req, w->away_until_ms ? 421 : 200, look_json(w));
		g_ptr_array_remove_index(w->looks, i - 1);
		g_free(k);
	}
}

void workers_tick(struct site *s)
{
	for (guint i = 0; i < s->workers->len; i++) {
		struct site_worker *w = g_ptr_array_index(s->workers, i);

		tick_runs(w);
		tick_looks(w);
		if (w->away_until_ms && site_now_ms() >= w->away_until_ms)
			begin_life(s, w);
	}
}
