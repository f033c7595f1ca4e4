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
/* Three heartbeats: an entry goes after that silence. */
#define SILENCE_MS 3000
#define N_LATE 2

struct site_run {
	char *task;
	int64_t number;
	int64_t cpu_milli;
	int64_t began_ms;
	int64_t ends_ms; /* 0: it lasts */
	bool fails;
};

struct site_end {
	int64_t seq;
	char *task;
	int64_t number;
	const char *how;
	bool lapsed; /* the lease ran out before it was taken note of */
};

/* A look that waits for an end. */
struct site_look {
	struct hts_req *req;

	int64_t until_ms;
};

/* One VM and the worker that it runs now. */
struct site_worker {
	struct site *s;
	char vm[32];
	int number;
	char id[48];
	int life;
	int64_t born_ms; /* time of day, as the platform tells it */
	int64_t began_ms; /* its steady clock counts from here */
	int64_t fence;
	int64_t lease_ms; /* end, on its clock */
	int64_t seq;
	int64_t away_until_ms; /* down; 0: it is up */
	bool dead; /* down without answering */
	bool keeps_id; /* its next life has the same id */
	int64_t leaves_ms; /* drains until then; 0: it doesn't */
	int64_t unlist_ms; /* its entry goes then; 0: it stays */
	int64_t list_ms; /* its lapsed entry is back then; 0: it is there */
	int64_t late_orders; /* so many are left unanswered */
	int64_t late_ms; /* and carried out after this time */
	GHashTable *over; /* task to the highest run stopped or ended */
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
		"\"state\":\"%s\",\"cold_left_ms\":0,\"machine\":\"%s\","
		"\"capacity\":{\"cpu\":%d,\"mem_mb\":%d,\"gpu\":0},"
		"\"labels\":[\"a\",\"r1\"],\"born\":%lld,\"seq\":1}",
		s->worker_ports ? s->worker_ports + w->number : s->port,
		w->leaves_ms ? "draining" : "ready", w->vm, CPU_MILLI, MEM_MIB,
		(long long)w->born_ms);

	store_put(s, "servers", "", w->id, text);
	g_free(text);
}

/* Workers can't report to a store that is away. */
static void report(struct site *s, struct site_worker *w)
{
	if (faults_store_away(s))
		w->list_ms = site_now_ms();
	else
		put_row(s, w);
}

static void begin_life(struct site *s, struct site_worker *w)
{
	w->life += !w->keeps_id;
	snprintf(w->id, sizeof(w->id), "i-%s-%d", w->vm, w->life);
	w->born_ms = clk_wall_ms(&clk_system);
	w->began_ms = site_now_ms();
	w->fence = 0;
	w->lease_ms = 0;
	w->seq = 0;
	w->away_until_ms = 0;
	w->dead = w->keeps_id = false;
	w->leaves_ms = w->unlist_ms = w->list_ms = w->late_orders = 0;
	g_hash_table_remove_all(w->over);
	report(s, w);
}

void workers_init(struct site *s, int n)
{
	s->workers = g_ptr_array_new();
	for (int i = 0; i < n; i++) {
		struct site_worker *w = g_new0(struct site_worker, 1);

		snprintf(w->vm, sizeof(w->vm), "m%d", i);
		w->s = s;
		w->number = i;
		w->over = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						NULL);
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

static int64_t over_of(const struct site_worker *w, const char *task)
{
	return (int64_t)(intptr_t)g_hash_table_lookup(w->over, task);
}

static void set_over(struct site_worker *w, const char *task, int64_t number)
{
	if (number > over_of(w, task))
		g_hash_table_replace(w->over, g_strdup(task),
				     (void *)(intptr_t)number);
}

static void free_end(struct site_end *e)
{
	g_free(e->task);
	g_free(e);
}

static void end_run(struct site_worker *w, guint i, const char *how, bool list)
{
	struct site_run *r = g_ptr_array_index(w->runs, i);
	struct site_end *e = g_new0(struct site_end, 1);

	say(how, w, r->task, r->number);
	set_over(w, r->task, r->number);
	e->seq = ++w->seq;
	e->task = r->task;
	e->number = r->number;
	e->how = how;
	if (list)
		g_ptr_array_add(w->ends, e);
	else
		free_end(e);
	g_ptr_array_remove_index(w->runs, i);
	g_free(r);
}

/* The latest of the task. */
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
	site_reply(w->s, req, 409,
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
	int64_t most = clock_of(w) +
		       (w->s->lease_max_ms ? w->s->lease_max_ms : LEASE_MAX_MS);

	until = until < most ? until : most;
	if (until > w->lease_ms)
		w->lease_ms = until;
}

/* What a task does is in its text: ms=N, bad or lasts. */
static void begin_run(struct site_worker *w, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	const char *text = json_string_value(json_object_get(body, "spec"));
	const char *ms = text ? strstr(text, "ms=") : NULL;
	struct site_run *r = g_new0(struct site_run, 1);

	r->task = g_strdup(task);
	r->number = number_of(body, "attempt");
	r->began_ms = site_now_ms();
	r->fails = text && strstr(text, "bad");
	if (!text || !strstr(text, "lasts"))
		r->ends_ms =
			r->began_ms + (ms ? atoll(ms + 3) : RUN_DEFAULT_MS);
	g_ptr_array_add(w->runs, r);
	printf("%lld start %s %s %lld %lld %d %s\n", (long long)r->began_ms,
	       w->id, task, (long long)r->number, (long long)w->fence,
	       w->s->late, text ? text : "");
}

static void start(struct site_worker *w, struct hts_req *req,
		  const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	int64_t number = number_of(body, "attempt");
	int i = find_run(w, task);
	const struct site_run *r =
		i < 0 ? NULL : g_ptr_array_index(w->runs, (guint)i);

	if (!take_fence(w, body)) {
		refuse(w, req, "fence");
		return;
	}
	take_lease(w, body);
	if (number <= over_of(w, task) || (r && number < r->number)) {
		refuse(w, req, "old");
		return;
	}
	if (clock_of(w) >= w->lease_ms) {
		refuse(w, req, "late");
		return;
	}
	if (!r || r->number != number)
		begin_run(w, body);
	site_reply(w->s, req, 200,
		   json_pack("{s:I}", "clock_ms", (json_int_t)clock_of(w)));
}

static void stop(struct site_worker *w, struct hts_req *req, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	int64_t number = number_of(body, "attempt");
	int i = find_run(w, task);
	const struct site_run *r =
		i < 0 ? NULL : g_ptr_array_index(w->runs, (guint)i);

	if (!take_fence(w, body)) {
		refuse(w, req, "fence");
		return;
	}
	if (r && r->number == number)
		end_run(w, (guint)i, "stopped", true);
	else
		set_over(w, task, number);
	site_reply(w->s, req, 200,
		   json_pack("{s:I}", "clock_ms", (json_int_t)clock_of(w)));
}

static void acknowledge(struct site_worker *w, int64_t ack)
{
	while (w->ends->len) {
		struct site_end *e = g_ptr_array_index(w->ends, 0);

		if (e->seq > ack)
			return;
		if (!e->lapsed)
			say("noted", w, e->task, e->number);
		free_end(e);
		g_ptr_array_remove_index(w->ends, 0);
	}
}

/* Everything on it is gone. */
static void end_life(struct site_worker *w, int64_t for_ms)
{
	while (w->runs->len)
		end_run(w, 0, "cut", false);
	for (guint i = 0; i < w->ends->len; i++)
		free_end(g_ptr_array_index(w->ends, i));
	g_ptr_array_set_size(w->ends, 0);
	w->away_until_ms = site_now_ms() + for_ms;
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
		site_reply(w->s, req, 200,
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
	site_reply(s, req, 200,
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
		site_reply(s, req, 400, json_object());
		return;
	}
	if (g_hash_table_contains(w->waves, &wave)) {
		site_reply(s, req, 200, json_object());
		return;
	}
	if (w->away_until_ms) {
		site_reply(s, req, 409, json_pack("{s:s}", "reason", "busy"));
		return;
	}
	key = g_new(int64_t, 1);
	*key = wave;
	g_hash_table_add(w->waves, key);
	say("upkeep", w, w->vm, wave);
	end_life(w, UPKEEP_MS);
	store_put(s, "servers", "", w->id, NULL);
	site_reply(s, req, 200, json_object());
}

bool workers_request(struct site *s, struct hts_req *req)
{
	static const struct {
		const char *path;
		void (*call)(struct site_worker *w, struct hts_req *req,
			     const json_t *body);
	} calls[] = {
		/* The first N_LATE may be late. */
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
		if (w && w->dead)
			return true;
		if (!w || w->away_until_ms) {
			site_reply(s, req, 421, json_object());
			return true;
		}
		if (w->late_orders && i < N_LATE && !s->late) {
			w->late_orders--;
			faults_hold(s, req, w->late_ms, true);
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
	guint i = (guint)number_of(body, "worker");
	struct site_worker *w =
		i < s->workers->len ? g_ptr_array_index(s->workers, i) : NULL;
	const char *what = json_string_value(json_object_get(body, "do"));
	int64_t for_ms = number_of(body, "for_ms");
	int64_t now = site_now_ms();

	if (!w || !what || w->away_until_ms)
		return;
	if (!strcmp(what, "die")) {
		end_life(w, for_ms > SILENCE_MS ? for_ms : SILENCE_MS);
		w->dead = true;
		w->unlist_ms = now + SILENCE_MS;
	} else if (!strcmp(what, "reborn")) {
		end_life(w, for_ms);
		w->dead = w->keeps_id = true;
	} else if (!strcmp(what, "drain")) {
		w->leaves_ms = now + for_ms;
		if (!w->list_ms)
			report(s, w);
	} else if (!strcmp(what, "lapse")) {
		store_put(s, "servers", "", w->id, NULL);
		w->list_ms = now + for_ms;
	} else if (!strcmp(what, "late")) {
		w->late_orders = number_of(body, "count");
		w->late_ms = for_ms;
	}
}

static void tick_entry(struct site *s, struct site_worker *w)
{
	int64_t now = site_now_ms();

	if (w->leaves_ms && now >= w->leaves_ms) {
		w->leaves_ms = 0;
		w->unlist_ms = now;
		w->dead = true;
		end_life(w, UPKEEP_MS);
	}
	if (w->unlist_ms && now >= w->unlist_ms) {
		w->unlist_ms = 0;
		store_put(s, "servers", "", w->id, NULL);
	}
	if (w->list_ms && now >= w->list_ms && !w->away_until_ms &&
	    !faults_store_away(s)) {
		w->list_ms = 0;
		put_row(s, w);
	}
}

static void tick_runs(struct site_worker *w)
{
	bool lapsed = clock_of(w) > w->lease_ms;

	for (guint i = 0; lapsed && i < w->ends->len; i++)
		((struct site_end *)g_ptr_array_index(w->ends, i))->lapsed =
			true;
	for (guint i = w->runs->len; i > 0; i--) {
		const struct site_run *r = g_ptr_array_index(w->runs, i - 1);

		if (lapsed)
			end_run(w, i - 1, "lapsed", true);
		else if (r->ends_ms && site_now_ms() >= r->ends_ms)
			end_run(w, i - 1, r->fails ? "failed" : "done", true);
	}
}

static void tick_looks(struct site_worker *w)
{
	for (guint i = w->looks->len; i > 0; i--) {
		struct site_look *k = g_ptr_array_index(w->looks, i - 1);

		if (!w->away_until_ms && !w->ends->len &&
		    site_now_ms() < k->until_ms)
			continue;
		w->s->muted = w->dead;
		site_reply(w->s, k->req, w->away_until_ms ? 421 : 200,
			   look_json(w));
		w->s->muted = false;
		g_ptr_array_remove_index(w->looks, i - 1);
		g_free(k);
	}
}

void workers_tick(struct site *s)
{
	for (guint i = 0; i < s->workers->len; i++) {
		struct site_worker *w = g_ptr_array_index(s->workers, i);

		tick_runs(w);
		tick_entry(s, w);
		tick_looks(w);
		if (w->away_until_ms && site_now_ms() >= w->away_until_ms)
			begin_life(s, w);
	}
}
