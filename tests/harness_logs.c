/* Evaluates the simulators' logs and the ledger; reports on failed clusters. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/harness.h"

/* Enough log lines to see how far a start came. */
#define DUMP_LINES 8

static FILE *open_log(struct hx *x, const char *kind, int d)
{
	char path[160];

	snprintf(path, sizeof(path), "%s/%s%d.log", x->dir, kind, d);
	return fopen(path, "r");
}

static GHashTable *new_counters(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Returns the counter of a key; starts at 0. */
static int64_t *get_counter(GHashTable *counts, const char *key)
{
	int64_t *n = g_hash_table_lookup(counts, key);

	if (!n) {
		n = g_new0(int64_t, 1);
		g_hash_table_insert(counts, g_strdup(key), n);
	}
	return n;
}

struct hx_target_log hx_read_target_logs(struct hx *x)
{
	struct hx_target_log log = { .starts_by_id = new_counters(),
				     .last_start_by_target = new_counters() };
	char what[16];
	char target[64];
	char id[128];
	int64_t at_us;
	int64_t serial;
	int64_t busy;

	for (int d = 0; d < HX_DOMAINS; d++) {
		FILE *f = open_log(x, "targets", d);

		while (f &&
		       fscanf(f,
			      "%" SCNd64 " %15s %63s %127s %" SCNd64
			      " busy=%" SCNd64,
			      &at_us, what, target, id, &serial, &busy) == 6) {
			log.over += !strcmp(what, "over");
			log.ends += !strcmp(what, "end");
			if (busy > log.max_busy)
				log.max_busy = busy;
			if (strcmp(what, "start") != 0)
				continue;
			log.starts++;
			log.last_start_us[d] = at_us;
			*get_counter(log.last_start_by_target, target) = at_us;
			log.repeated +=
				++*get_counter(log.starts_by_id, id) == 2;
		}
		if (f)
			fclose(f);
	}
	return log;
}

void hx_target_log_free(struct hx_target_log *log)
{
	g_hash_table_destroy(log->starts_by_id);
	g_hash_table_destroy(log->last_start_by_target);
}

int64_t hx_last_start_ms(const struct hx_target_log *log, const char *target)
{
	int64_t *us = g_hash_table_lookup(log->last_start_by_target, target);

	return us ? *us / 1000 : 0;
}

int64_t hx_starts_of(const struct hx_target_log *log, const char *id)
{
	int64_t *n = g_hash_table_lookup(log->starts_by_id, id);

	return n ? *n : 0;
}

/* One line of a worker's log. */
struct log_record {
	int64_t at_ms;
	char what[16];
	char worker[64];
	char task[128];
	int64_t attempt;
	int64_t cpu;
	int64_t from_ms; /* progress at the start or end of the run */
	int domain;
};

/* What the log says of a task so far, over all workers. */
struct task_history {
	int running; /* runs that started and haven't ended */
	int64_t done;
	int64_t started_ms;
	int64_t started_from_ms; /* progress at its last start */
	int64_t cpu;
	int64_t checkpoint_ms; /* progress in its last checkpoint */
};

static int compare_by_time(const void *a, const void *b)
{
	const struct log_record *x = a;
	const struct log_record *y = b;

	return (x->at_ms > y->at_ms) - (x->at_ms < y->at_ms);
}

/* Returns the records of all workers' logs, by time. */
static GArray *read_events(struct hx *x)
{
	GArray *all = g_array_new(FALSE, TRUE, sizeof(struct log_record));

	for (int d = 0; d < HX_DOMAINS; d++) {
		FILE *f = open_log(x, "workers", d);
		struct log_record e = { .domain = d };

		while (f && fscanf(f,
				   "%" SCNd64 " %15s %63s %127s %" SCNd64
				   " cpu=%" SCNd64 " from=%" SCNd64,
				   &e.at_ms, e.what, e.worker, e.task,
				   &e.attempt, &e.cpu, &e.from_ms) == 7)
			g_array_append_val(all, e);
		if (f)
			fclose(f);
	}
	qsort(all->data, all->len, sizeof(struct log_record), compare_by_time);
	return all;
}

static void count_start(struct hx_worker_log *log, const struct log_record *e,
			struct task_history *t)
{
	log->starts++;
	if (!log->first_start_ms)
		log->first_start_ms = e->at_ms;
	log->last_start_ms[e->domain] = e->at_ms;
	log->concurrent_runs += t->running > 0;
	log->duplicate_completions += t->done > 0;
	log->lost_progress += e->from_ms < t->checkpoint_ms;
	t->running++;
	t->started_ms = e->at_ms;
	t->started_from_ms = e->from_ms;
	t->cpu = e->cpu;
}

static void count_end(struct hx_worker_log *log, const struct log_record *e,
		      struct task_history *t)
{
	bool ran = strcmp(e->what, "never") != 0;

	if (!ran)
		return;
	t->running--;
	log->run_cpu_ms += (e->at_ms - t->started_ms) * t->cpu / 1000;
	log->done += !strcmp(e->what, "done");
	if (!strcmp(e->what, "done"))
		log->last_done_ms = e->at_ms;
	log->lapsed += !strcmp(e->what, "lapsed");
	t->done += !strcmp(e->what, "done");
	if (!strcmp(e->what, "evicted")) {
		log->evicted++;
		t->checkpoint_ms = e->from_ms;
	}
}

struct hx_worker_log hx_read_worker_logs(struct hx *x)
{
	struct hx_worker_log log = { 0 };
	GArray *all = read_events(x);
	GHashTable *tasks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

	for (guint i = 0; i < all->len; i++) {
		const struct log_record *e =
			&g_array_index(all, struct log_record, i);
		struct task_history *t = g_hash_table_lookup(tasks, e->task);

		if (!t) {
			t = g_new0(struct task_history, 1);
			g_hash_table_insert(tasks, g_strdup(e->task), t);
		}
		if (!strcmp(e->what, "start"))
			count_start(&log, e, t);
		else if (!strcmp(e->what, "over"))
			log.over++;
		else if (!strcmp(e->what, "stale"))
			log.stale++;
		else
			count_end(&log, e, t);
	}
	g_hash_table_destroy(tasks);
	g_array_free(all, TRUE);
	return log;
}

static int64_t sum_ledger(struct hx *x, int vm, const char *group,
			  const char *field, bool *balanced)
{
	struct hx_response resp = hx_get(x, vm, "/v1/ledger");
	int64_t sum = 0;
	json_t *shard;
	size_t i;
	size_t n = 0;

	if (balanced)
		*balanced = true;
	json_array_foreach(json_object_get(resp.json, "shards"), i, shard)
	{
		json_t *body = json_object_get(shard, "body");
		json_t *fields = group ? json_object_get(body, group) : body;

		n++;
		sum += json_integer_value(json_object_get(fields, field));
		if (balanced)
			*balanced &=
				json_is_true(json_object_get(body, "balanced"));
	}
	if (balanced)
		*balanced &= n > 0;
	hx_response_free(&resp);
	return sum;
}

int64_t hx_ledger(struct hx *x, int vm, const char *field, bool *balanced)
{
	return sum_ledger(x, vm, NULL, field, balanced);
}

int64_t hx_ledger_tasks(struct hx *x, int vm, const char *state)
{
	return sum_ledger(x, vm, "tasks", state, NULL);
}

static void dump_process(const char *name, pid_t pid)
{
	int code;

	if (pid <= 0)
		return;
	if (hx_has_ended(pid, &code))
		fprintf(stderr, "%s: ended, code or signal %d\n", name, code);
	else
		fprintf(stderr, "%s: runs\n", name);
}

static void dump_log(struct hx *x, const char *name)
{
	char path[160];
	gchar *text = NULL;
	gchar **lines;
	guint n;

	snprintf(path, sizeof(path), "%s/%s.log", x->dir, name);
	if (!g_file_get_contents(path, &text, NULL, NULL))
		return;
	lines = g_strsplit(g_strchomp(text), "\n", -1);
	n = g_strv_length(lines);
	for (guint i = n > DUMP_LINES ? n - DUMP_LINES : 0; i < n; i++)
		fprintf(stderr, "    %s\n", lines[i]);
	g_strfreev(lines);
	g_free(text);
}

static void dump_daemon(struct hx *x, enum hx_role role, int vm)
{
	char name[16];
	struct hx_response resp;

	snprintf(name, sizeof(name), "%c%d", role == HX_ENTRY ? 'e' : 's', vm);
	dump_process(name, x->daemons[role][vm]);
	dump_log(x, name);
	if (role != HX_ENTRY)
		return;
	resp = hx_get(x, vm, "/v1/status");
	fprintf(stderr, "    %ld %s\n", resp.status, resp.body);
	hx_response_free(&resp);
}

void hx_dump_state(struct hx *x)
{
	dump_process("platform", x->platform);
	dump_log(x, "platform");
	dump_process("proxy", x->proxy);
	dump_log(x, "proxy");
	for (int vm = 0; vm < x->opt.vms; vm++) {
		for (int r = 0; r < HX_ROLES; r++)
			dump_daemon(x, (enum hx_role)r, vm);
	}
	x->keep_logs = true;
}
