/*
 * gd-worker: simulator of workers that execute tasks for gd-sched under leases
 * and epochs, each on a port of its own. Tasks only take time. Logs starts,
 * ends and rejected starts to standard output.
 */
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "base/clk.h"
#include "transport/hts.h"

#define BODY_MAX (8u << 20)
#define TICK_MS 20
/* How long an acknowledged end is kept, so that a late start finds it. */
#define ACKED_KEEP_MS 10000
#define CHECKPOINT_MS 50 /* time to write a checkpoint */
#define USAGE_LAG_MS 1000 /* a young task reports no CPU use */

/* How tasks deviate from what they declare; from the command line. */
struct load_profile {
	int spread; /* factor by which run time and CPU use may be off */
	int fail_percent; /* share of workers that fail all their tasks */
	int64_t lease_override_ms;
};

struct task {
	char name[128];
	int64_t attempt;
	/* run, done, fail, evicted, stopped, never (stopped unstarted), lapsed
	 */
	char state[16];
	int64_t seq; /* worker's seq at the task's last change */
	int64_t cpu;
	int64_t mem;
	int64_t acc;
	int64_t actual_cpu; /* CPU that it really uses, in thousandths */
	int64_t start_progress_ms; /* progress restored from a checkpoint */
	int64_t actual_work_ms; /* run time that it really needs */
	int64_t started_ms;
	int64_t ended_ms;
	int64_t checkpoint_at_ms; /* end of a requested one; 0: none */
	bool acked;
	int64_t acked_ms;
};

struct worker {
	struct tevent_context *ev;
	const struct load_profile *load_profile;
	char id[64];
	char boot[48];
	bool fails_all; /* every task fails right at its start */
	int64_t epoch;
	int64_t lease_until_ms; /* tasks run no longer than this */
	int64_t seq;
	GHashTable *tasks; /* "NAME:ATTEMPT" to struct task */
	int64_t last_tick_ms; /* last time this process is known to have run */
	int64_t cpu_total; /* capacity, in thousandths of a core */
	int64_t mem_total; /* in MiB */
};

static int64_t now_ms(void)
{
	return clk_mono_ms(&clk_system);
}

static bool is_running(const struct task *t)
{
	return !strcmp(t->state, "run");
}

static int64_t progress(const struct task *t)
{
	int64_t until_ms = is_running(t) ? now_ms() : t->ended_ms;
	int64_t ms = t->start_progress_ms + until_ms - t->started_ms;

	return ms < t->actual_work_ms ? ms : t->actual_work_ms;
}

static void write_log_at(const struct worker *w, const char *what,
			 const struct task *t, int64_t at_ms)
{
	char line[256];
	int n = snprintf(line, sizeof(line),
			 "%" PRId64 " %s %s %s %" PRId64 " cpu=%" PRId64
			 " from=%" PRId64 "\n",
			 at_ms, what, w->id, t->name, t->attempt, t->cpu,
			 is_running(t) || !t->started_ms ? t->start_progress_ms
							 : progress(t));

	if (write(STDOUT_FILENO, line, n) != n)
		abort();
}

static void write_log(const struct worker *w, const char *what,
		      const struct task *t)
{
	write_log_at(w, what, t, now_ms());
}

static void set_state(struct worker *w, struct task *t, const char *state)
{
	snprintf(t->state, sizeof(t->state), "%s", state);
	t->seq = ++w->seq;
	t->ended_ms = now_ms();
	write_log(w, state, t);
}

static struct task *find_task(struct worker *w, const char *name,
			      int64_t attempt)
{
	char key[160];

	snprintf(key, sizeof(key), "%s:%" PRId64, name, attempt);
	return g_hash_table_lookup(w->tasks, key);
}

static struct task *add_task(struct worker *w, const char *name,
			     int64_t attempt)
{
	struct task *t = g_new0(struct task, 1);

	snprintf(t->name, sizeof(t->name), "%s", name);
	t->attempt = attempt;
	g_hash_table_insert(w->tasks,
			    g_strdup_printf("%s:%" PRId64, name, attempt), t);
	return t;
}

/*
 * Returns a factor from 1/spread to spread, in thousandths, derived from the
 * name and salt, so that each attempt of a task gets the same.
 */
static int64_t deviation_permille(const struct worker *w, const char *name,
				  int salt)
{
	guint h = g_str_hash(name) * 2654435761u + (guint)salt * 40503u;
	int spread = w->load_profile->spread;
	int64_t steps = (h >> 8) % 1000;

	if (spread <= 1)
		return 1000;
	if (steps < 500)
		return 1000 / spread + (1000 - 1000 / spread) * steps / 500;
	return 1000 + 1000 * (spread - 1) * (steps - 500) / 500;
}

/* Sums an int64_t field of struct task over the running tasks. */
static int64_t sum_over_running(const struct worker *w, size_t offset)
{
	int64_t sum = 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, w->tasks);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (is_running(value))
			sum += *(int64_t *)((char *)value + offset);
	}
	return sum;
}

static int64_t int_field(const json_t *o, const char *key)
{
	return json_integer_value(json_object_get(o, key));
}

/* Starts a task, unless it is known or the command is older than age_max_ms. */
static void start_task(struct worker *w, const json_t *start_cmd, int64_t stamp,
		       int64_t age_max_ms)
{
	const char *name = json_string_value(json_object_get(start_cmd, "t"));
	int64_t attempt = int_field(start_cmd, "a");
	struct task *t = find_task(w, name, attempt);
	char base[128];

	if (t)
		return;
	if (!stamp || now_ms() - stamp > age_max_ms) {
		struct task stale = { .attempt = attempt };

		snprintf(stale.name, sizeof(stale.name), "%s", name);
		write_log(w, "stale", &stale);
		return;
	}
	t = add_task(w, name, attempt);
	t->cpu = int_field(start_cmd, "cpu");
	t->mem = int_field(start_cmd, "mem");
	t->start_progress_ms = int_field(start_cmd, "from_ms");
	snprintf(base, sizeof(base), "%s", name);
	t->actual_work_ms = int_field(start_cmd, "run_ms") *
			    deviation_permille(w, base, 1) / 1000;
	t->actual_cpu = t->cpu * deviation_permille(w, base, 2) / 1000;
	if (sum_over_running(w, offsetof(struct task, cpu)) + t->cpu >
		    w->cpu_total ||
	    sum_over_running(w, offsetof(struct task, mem)) + t->mem >
		    w->mem_total)
		write_log(w, "over", t);
	snprintf(t->state, sizeof(t->state), "run");
	t->started_ms = now_ms();
	t->seq = ++w->seq;
	write_log(w, "start", t);
	if (w->fails_all)
		set_state(w, t, "fail");
}

static void stop_task(struct worker *w, const char *name, int64_t attempt)
{
	struct task *t = find_task(w, name, attempt);

	if (!t) {
		t = add_task(w, name, attempt);
		set_state(w, t, "never");
	} else if (is_running(t)) {
		set_state(w, t, "stopped");
	}
}

static void request_checkpoint(struct worker *w, const char *name,
			       int64_t attempt)
{
	struct task *t = find_task(w, name, attempt);

	if (!t) {
		t = add_task(w, name, attempt);
		set_state(w, t, "never");
	} else if (is_running(t) && !t->checkpoint_at_ms) {
		t->checkpoint_at_ms = now_ms() + CHECKPOINT_MS;
	}
}

static void for_each_ref(struct worker *w, const json_t *list,
			 void (*run)(struct worker *w, const char *name,
				     int64_t attempt))
{
	json_t *ref;
	size_t i;

	json_array_foreach((json_t *)list, i, ref)
		run(w, json_string_value(json_array_get(ref, 0)),
		    json_integer_value(json_array_get(ref, 1)));
}

/* The scheduler acknowledges the end of an attempt. */
static void ack_task(struct worker *w, const char *name, int64_t attempt)
{
	struct task *t = find_task(w, name, attempt);

	/* Removed only after ACKED_KEEP_MS: a late start must find it. */
	if (t && !is_running(t)) {
		t->acked = true;
		t->acked_ms = now_ms();
	}
}

static json_t *task_report(const struct task *t)
{
	bool lagging = now_ms() - t->started_ms < USAGE_LAG_MS;

	return json_pack("{s:s,s:I,s:s,s:I,s:I,s:I}", "t", t->name, "a",
			 (json_int_t)t->attempt, "s", t->state, "ms",
			 (json_int_t)(t->started_ms ? progress(t) : 0),
			 "ran_ms",
			 (json_int_t)(t->started_ms && !is_running(t)
					      ? t->ended_ms - t->started_ms
					      : 0),
			 "cpu", (json_int_t)(lagging ? 0 : t->actual_cpu));
}

/* Reports tasks that changed after `seen_seq` and whose end isn't acked. */
static json_t *task_reports(const struct worker *w, int64_t seen_seq)
{
	json_t *out = json_array();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, w->tasks);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct task *t = value;

		if (!t->acked && t->seq > seen_seq)
			json_array_append_new(out, task_report(t));
	}
	return out;
}

static void send_json(struct hts_req *req, unsigned int status, json_t *j)
{
	char *text = json_dumps(j, JSON_COMPACT);

	hts_reply(req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(j);
}

static void apply_message(struct worker *w, const json_t *j)
{
	int64_t stamp = int_field(j, "stamp");
	int64_t lease_end_ms = stamp + int_field(j, "lease_ms");
	json_t *start_cmd;
	size_t i;

	/* Counts from the sender's stamp, since the message may be old. */
	if (json_is_true(json_object_get(j, "renew")) &&
	    lease_end_ms > w->lease_until_ms)
		w->lease_until_ms = lease_end_ms;
	for_each_ref(w, json_object_get(j, "ack"), ack_task);
	for_each_ref(w, json_object_get(j, "stop"), stop_task);
	for_each_ref(w, json_object_get(j, "checkpoint"), request_checkpoint);
	json_array_foreach(json_object_get(j, "start"), i, start_cmd)
		start_task(w, start_cmd, stamp, int_field(j, "age_max_ms"));
}

/*
 * Ends a task whose lease has expired. If this process was stopped, nothing ran
 * since its last tick, so the task ended then.
 */
static void expire_task(struct worker *w, struct task *t)
{
	bool was_stopped = now_ms() - w->last_tick_ms > 10 * TICK_MS;

	snprintf(t->state, sizeof(t->state), "lapsed");
	t->seq = ++w->seq;
	t->ended_ms = was_stopped ? w->last_tick_ms : now_ms();
	write_log_at(w, "lapsed", t, t->ended_ms);
}

/* Ends expired tasks. Called before commands and progress are applied. */
static void expire_tasks(struct worker *w)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, w->tasks);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct task *t = value;

		if (is_running(t) && now_ms() > w->lease_until_ms)
			expire_task(w, t);
	}
	w->last_tick_ms = now_ms();
}

static void on_request(struct hts_req *req, void *priv)
{
	struct worker *w = priv;
	json_t *j = json_loads(req->body, 0, NULL);
	int64_t epoch = int_field(j, "epoch");
	int64_t seen_seq = int_field(j, "seen");

	if (!j || epoch < w->epoch) {
		send_json(req, 409,
			  json_pack("{s:I}", "epoch", (json_int_t)w->epoch));
		json_decref(j);
		return;
	}
	w->epoch = epoch;
	expire_tasks(w);
	apply_message(w, j);
	json_decref(j);
	send_json(
		req, 200,
		json_pack(
			"{s:s,s:I,s:I,s:I,s:o}", "boot", w->boot, "stamp",
			(json_int_t)now_ms(), "seq", (json_int_t)w->seq, "load",
			(json_int_t)(sum_over_running(w, offsetof(struct task,
								  actual_cpu)) *
				     1000 / w->cpu_total),
			"tasks", task_reports(w, seen_seq)));
}

static gboolean is_ack_old(gpointer key, gpointer value, gpointer priv)
{
	const struct task *t = value;

	(void)key;
	(void)priv;
	return t->acked && now_ms() - t->acked_ms > ACKED_KEEP_MS;
}

static void update_task(struct worker *w, struct task *t)
{
	if (!is_running(t))
		return;
	if (progress(t) >= t->actual_work_ms)
		set_state(w, t, "done");
	else if (t->checkpoint_at_ms && now_ms() >= t->checkpoint_at_ms)
		set_state(w, t, "evicted");
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *priv)
{
	struct worker *w = priv;
	GHashTableIter it;
	gpointer value;

	(void)te;
	(void)now;
	expire_tasks(w);
	g_hash_table_iter_init(&it, w->tasks);
	while (g_hash_table_iter_next(&it, NULL, &value))
		update_task(w, value);
	w->last_tick_ms = now_ms();
	g_hash_table_foreach_remove(w->tasks, is_ack_old, w);
	tevent_add_timer(ev, ev, tevent_timeval_current_ofs(0, TICK_MS * 1000),
			 on_tick, w);
}

int main(int argc, char **argv)
{
	struct hts_options opt = { .ip = "127.0.0.1",
				   .body_max = BODY_MAX,
				   .idle_timeout_s = 600 };
	struct load_profile load_profile = { .spread = 1 };
	struct tevent_context *ev;
	struct err err;

	if (argc < 6) {
		fprintf(stderr, "usage: gd-worker PREFIX FIRST-PORT COUNT "
				"CPU-MILLI MEM-MIB [SPREAD FAIL-PERCENT]\n");
		return 64;
	}
	if (argc > 7) {
		load_profile.spread = atoi(argv[6]);
		load_profile.fail_percent = atoi(argv[7]);
	}
	signal(SIGPIPE, SIG_IGN);
	ev = tevent_context_init(NULL);
	for (int i = 0; i < atoi(argv[3]); i++) {
		struct worker *w = talloc_zero(ev, struct worker);

		w->ev = ev;
		w->load_profile = &load_profile;
		w->cpu_total = atoll(argv[4]);
		w->mem_total = atoll(argv[5]);
		w->tasks = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, g_free);
		snprintf(w->id, sizeof(w->id), "%s-%d", argv[1], i);
		snprintf(w->boot, sizeof(w->boot), "%d-%" PRId64, getpid(),
			 now_ms());
		w->fails_all =
			(int)(g_str_hash(w->id) * 2654435761u >> 8) % 100 <
			load_profile.fail_percent;
		opt.port = (uint16_t)(atoi(argv[2]) + i);
		if (!hts_start(ev, ev, &opt, on_request, w, &err)) {
			fprintf(stderr, "%s\n", err.text);
			return 1;
		}
		on_tick(ev, NULL, tevent_timeval_zero(), w);
	}
	return tevent_loop_wait(ev);
}
