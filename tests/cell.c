/* Cluster set-up, load and common checks for the cells of the fault matrix. */
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/cell.h"

#define MATCH_RECORD                                                           \
	"{\"schema\":1,\"kind\":\"service\",\"name\":\"match\",\"team\":"      \
	"\"t\",\"safe_to_repeat\":true,\"timeout_s\":5}"
#define RELAY_RECORD                                                           \
	"{\"schema\":2,\"kind\":\"service\",\"meta\":{\"name\":\"relay\","     \
	"\"team\":\"t\"},\"spec\":{\"idempotent\":false,\"timeout_ms\":8000}}"

void cell_fail(struct cell_run *c, const char *fmt, ...)
{
	va_list ap;

	if (c->failed)
		return;
	c->failed = true;
	va_start(ap, fmt);
	vsnprintf(c->verdict, sizeof(c->verdict), fmt, ap);
	va_end(ap);
}

void cell_start(struct cell_run *c, int vms, int targets, int workers,
		const char *entry, const char *sched)
{
	struct hx_options opt = { .site = &hx_siriwattana,
				  .vms = vms,
				  .targets = targets,
				  .workers = workers,
				  .use_proxy = true,
				  .entry_settings = entry,
				  .sched_settings = sched };

	c->x = hx_start(&opt);
	if (!hx_wait_ready(c->x))
		cell_fail(c, "the cluster did not become ready");
	hx_operator_call_retry(c->x, "submit", MATCH_RECORD);
	hx_operator_call_retry(c->x, "submit", RELAY_RECORD);
}

void cell_start_load(struct cell_run *c, int duration_ms, const char *classes)
{
	struct hx *x = c->x;
	char mix[128];
	char log[128];
	char program[128];
	char out[128];
	FILE *f;

	snprintf(mix, sizeof(mix), "%s/mix.json", x->dir);
	snprintf(log, sizeof(log), "%s/load.log", x->dir);
	snprintf(out, sizeof(out), "%s/load.out", x->dir);
	snprintf(program, sizeof(program), "%s/gd-load", x->bin);
	f = fopen(mix, "w");
	fprintf(f, "{\"entries\":[");
	for (int vm = 0; vm < x->opt.vms; vm++)
		fprintf(f, "%s\"http://%s:%d\"", vm ? "," : "", x->vm_ip[vm],
			x->http_port[HX_ENTRY][vm]);
	fprintf(f, "],\"duration_ms\":%d,\"seed\":%d,\"classes\":[%s]}",
		duration_ms, c->seed, classes);
	fclose(f);
	fflush(stdout);
	c->load_pid = fork();
	if (c->load_pid)
		return;
	if (!freopen(out, "w", stdout))
		_exit(126);
	execl(program, "gd-load", "-l", log, mix, (char *)NULL);
	_exit(127);
}

/*
 * Checks that no target started a request whose last attempt was reported as
 * not run. This includes earlier attempts: had one of them started it, the
 * outcome of the last one would have to be unknown.
 */
static void expect_not_run(struct cell_run *c, GHashTable *last,
			   const struct hx_target_log *log)
{
	GHashTableIter it;
	gpointer id;
	gpointer outcome;

	g_hash_table_iter_init(&it, last);
	while (g_hash_table_iter_next(&it, &id, &outcome)) {
		if (GPOINTER_TO_INT(outcome) - 1 == 1 && hx_starts_of(log, id))
			cell_fail(c, "%s reported as not run, but was started",
				  (const char *)id);
	}
}

struct load_result cell_finish_load(struct cell_run *c, bool idempotent)
{
	struct load_result r = { 0 };
	GHashTable *last =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	struct hx_target_log log;
	char path[160];
	char id[128];
	int64_t took;
	int64_t at;
	int status = 0;
	int try;
	int outcome;
	long http;
	FILE *f;

	waitpid(c->load_pid, &status, 0);
	r.bad_response = !WIFEXITED(status) || WEXITSTATUS(status) != 0;
	if (r.bad_response)
		cell_fail(c, "response incomplete or for another request");
	/* Lets requests at targets end, so that the targets' log is complete.
	 */
	hx_sleep_ms(500);
	log = hx_read_target_logs(c->x);
	snprintf(path, sizeof(path), "%s/load.log", c->x->dir);
	f = fopen(path, "r");
	while (f && fscanf(f, "%127s %d %d %ld %" SCNd64 " %" SCNd64, id, &try,
			   &outcome, &http, &took, &at) == 6) {
		int64_t starts = hx_starts_of(&log, id);

		r.sent++;
		r.outcomes[outcome]++;
		if (outcome == 0 && !starts)
			cell_fail(c, "%s answered, but no target started it",
				  id);
		g_hash_table_replace(last, g_strdup(id),
				     GINT_TO_POINTER(outcome + 1));
		if (!idempotent && starts > 1)
			cell_fail(c, "%s started %" PRId64 " times", id,
				  starts);
	}
	if (f)
		fclose(f);
	expect_not_run(c, last, &log);
	g_hash_table_destroy(last);
	if (log.max_busy > 8 || log.over)
		cell_fail(c,
			  "%" PRId64 " slots busy, %" PRId64 " refused as full",
			  log.max_busy, log.over);
	if (!r.sent)
		cell_fail(c, "gd-load sent no request");
	if (!r.outcomes[0])
		cell_fail(c, "no request was answered");
	hx_target_log_free(&log);
	return r;
}

void cell_expect_starts(struct cell_run *c, const char *id, int64_t min,
			int64_t max)
{
	struct hx_target_log log = hx_read_target_logs(c->x);
	int64_t n = hx_starts_of(&log, id);

	if (n < min || n > max)
		cell_fail(c, "%s started %" PRId64 " times", id, n);
	hx_target_log_free(&log);
}

bool cell_request_started(struct hx *x, void *arg)
{
	struct hx_target_log log = hx_read_target_logs(x);
	bool yes = hx_starts_of(&log, arg) > 0;

	hx_target_log_free(&log);
	return yes;
}

void cell_submit_job(struct cell_run *c, const char *name, int tasks, int cpu,
		     int run_ms)
{
	char record[256];

	snprintf(record, sizeof(record),
		 "{\"schema\":2,\"kind\":\"batch\",\"meta\":{\"name\":\"%s\","
		 "\"team\":\"t\"},\"spec\":{\"tasks\":%d,\"cpu_milli\":%d,"
		 "\"mem_mib\":100,\"run_ms\":%d}}",
		 name, tasks, cpu, run_ms);
	if (!hx_operator_call_retry(c->x, "submit", record))
		cell_fail(c, "job %s was not accepted", name);
}

static bool tasks_done(struct hx *x, void *arg)
{
	return hx_ledger_tasks(x, 0, "done") >= *(int64_t *)arg;
}

void cell_expect_tasks_done(struct cell_run *c, int64_t tasks, int64_t wait_ms)
{
	struct hx_worker_log w;
	bool balanced = false;

	if (!hx_wait_until(tasks_done, c->x, &tasks, wait_ms))
		cell_fail(c, "only %" PRId64 " of %" PRId64 " tasks done",
			  hx_ledger_tasks(c->x, 0, "done"), tasks);
	w = hx_read_worker_logs(c->x);
	if (w.concurrent_runs)
		cell_fail(c, "%" PRId64 " starts of a task already running",
			  w.concurrent_runs);
	if (w.duplicate_completions)
		cell_fail(c, "%" PRId64 " starts after completion",
			  w.duplicate_completions);
	if (w.over)
		cell_fail(c, "%" PRId64 " starts over capacity", w.over);
	if (w.lost_progress)
		cell_fail(c, "%" PRId64 " resumes from before the checkpoint",
			  w.lost_progress);
	if (hx_ledger(c->x, 0, "accepted", &balanced) != tasks || !balanced)
		cell_fail(c, "the scheduler's task counters do not balance");
}

int cell_shard_owner(struct cell_run *c)
{
	for (int vm = 0; vm < c->x->opt.vms; vm++) {
		char url[128];
		struct hx_response a;
		bool owns_shard;

		snprintf(url, sizeof(url), "http://%s:%d/metrics",
			 c->x->vm_ip[vm], c->x->http_port[HX_SCHED][vm]);
		a = hx_http("GET", url, NULL, NULL, 2000);
		owns_shard = strstr(a.body, "gd_shards_held 1") != NULL;
		hx_response_free(&a);
		if (owns_shard)
			return vm;
	}
	cell_fail(c, "no scheduler owns the shard");
	return 0;
}

bool cell_owned_by_other(struct cell_run *c, int vm)
{
	for (int other = 0; other < c->x->opt.vms; other++) {
		char url[128];
		struct hx_response a;
		bool owns_shard;

		snprintf(url, sizeof(url), "http://%s:%d/metrics",
			 c->x->vm_ip[other], c->x->http_port[HX_SCHED][other]);
		a = hx_http("GET", url, NULL, NULL, 500);
		owns_shard = strstr(a.body, "gd_shards_held 1") != NULL;
		hx_response_free(&a);
		if (owns_shard && other != vm)
			return true;
	}
	return false;
}

void cell_set_domain(struct cell_run *c, int d, const char *state)
{
	char record[192];

	snprintf(record, sizeof(record),
		 "{\"schema\":2,\"kind\":\"domain\",\"meta\":{\"name\":\"%s\"},"
		 "\"spec\":{\"state\":\"%s\"}}",
		 c->x->opt.site->domains[d], state);
	if (!hx_operator_call_retry(c->x, "amend", record))
		cell_fail(c, "domain %d was not set %s", d, state);
}
