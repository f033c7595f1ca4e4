/*
 * gd-bench: measures request latency and cost, cost by members, workers and
 * tasks (for the capacity page), and recovery, on simulated targets, workers
 * and network. Prints Markdown tables; an argument selects one section.
 */
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/harness.h"

#define TARGETS 17 /* in each of three domains: about 50 */
#define SLOTS (TARGETS * HX_DOMAINS * 8)
#define WORK_US 250000
#define LOAD_SEED 42
#define LOAD_MS 15000 /* in bench_recovery() */

#define MATCH                                                                  \
	"{\"schema\":1,\"kind\":\"service\",\"name\":\"match\",\"team\":"      \
	"\"t\",\"safe_to_repeat\":true,\"timeout_s\":10}"
#define RELAY                                                                  \
	"{\"schema\":2,\"kind\":\"service\",\"meta\":{\"name\":\"relay\","     \
	"\"team\":\"t\"},\"spec\":{\"idempotent\":false,\"timeout_ms\":10000}" \
	"}"

/* User and system time of a process in milliseconds. */
static int64_t cpu_ms(pid_t pid)
{
	char path[64];
	char text[1024] = "";
	unsigned long user = 0;
	unsigned long sys = 0;
	const char *pos;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
	f = fopen(path, "r");
	if (f && fgets(text, sizeof(text), f) && (pos = strrchr(text, ')')))
		sscanf(pos + 2,
		       "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
		       &user, &sys);
	if (f)
		fclose(f);
	return (int64_t)(user + sys) * 1000 / sysconf(_SC_CLK_TCK);
}

static int64_t rss_kib(pid_t pid)
{
	char path[64];
	char line[256];
	long kib = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	f = fopen(path, "r");
	while (f && fgets(line, sizeof(line), f))
		sscanf(line, "VmRSS: %ld", &kib);
	if (f)
		fclose(f);
	return kib;
}

static int64_t sum_cpu_ms(struct hx *x, enum hx_role role)
{
	int64_t sum = 0;

	for (int vm = 0; vm < x->opt.vms; vm++)
		sum += cpu_ms(x->daemons[role][vm]);
	return sum;
}

static int64_t max_rss_kib(struct hx *x, enum hx_role role)
{
	int64_t max = 0;

	for (int vm = 0; vm < x->opt.vms; vm++) {
		int64_t kib = rss_kib(x->daemons[role][vm]);

		max = kib > max ? kib : max;
	}
	return max;
}

/* Sums a metric over all daemons of a role. */
static int64_t sum_metric(struct hx *x, enum hx_role role, const char *name)
{
	int64_t sum = 0;

	for (int vm = 0; vm < x->opt.vms; vm++) {
		char url[128];
		struct hx_response resp;
		const char *pos;
		char line[96];

		snprintf(url, sizeof(url), "http://%s:%d/metrics", x->vm_ip[vm],
			 x->http_port[role][vm]);
		resp = hx_http("GET", url, NULL, NULL, 2000);
		snprintf(line, sizeof(line), "\n%s ", name);
		pos = strstr(resp.body, line);
		if (pos)
			sum += strtoll(pos + strlen(line), NULL, 10);
		hx_response_free(&resp);
	}
	return sum;
}

static struct hx *start_cluster(int vms, int targets, int workers, bool delays,
				const char *entry, const char *sched)
{
	struct hx_options opt = { .site = &hx_siriwattana,
				  .vms = vms,
				  .targets = targets,
				  .workers = workers,
				  .use_proxy = delays,
				  .delays = delays,
				  .entry_settings = entry,
				  .sched_settings = sched };
	struct hx *x = hx_start(&opt);

	if (!hx_wait_ready(x))
		printf("NOT READY: the figures that follow are invalid\n");
	hx_operator_call_retry(x, "submit", MATCH);
	hx_operator_call_retry(x, "submit", RELAY);
	return x;
}

/* Runs gd-load. Returns its JSON report, owned by the caller, or NULL. */
static json_t *run_load(struct hx *x, int duration_ms, int seed,
			const char *classes)
{
	char mix[128];
	char command[256];
	char text[8192] = "";
	json_t *j = NULL;
	FILE *f;

	snprintf(mix, sizeof(mix), "%s/mix.json", x->dir);
	f = fopen(mix, "w");
	fprintf(f, "{\"entries\":[");
	for (int vm = 0; vm < x->opt.vms; vm++)
		fprintf(f, "%s\"http://%s:%d\"", vm ? "," : "", x->vm_ip[vm],
			x->http_port[HX_ENTRY][vm]);
	fprintf(f, "],\"duration_ms\":%d,\"seed\":%d,\"classes\":[%s]}",
		duration_ms, seed, classes);
	fclose(f);
	snprintf(command, sizeof(command), "%s/gd-load -j %s", x->bin, mix);
	f = popen(command, "r");
	if (f && fgets(text, sizeof(text), f))
		j = json_loads(text, 0, NULL);
	if (f)
		pclose(f);
	return j;
}

static int64_t int_at(const json_t *report, size_t class, const char *key)
{
	return json_integer_value(
		json_object_get(json_array_get(report, class), key));
}

static void print_latency_row(const char *name, int percent,
			      const json_t *report)
{
	printf("| %s | %d%% | %" PRId64 " | %" PRId64 " | %" PRId64
	       " | %" PRId64 " | %.1f | %.1f | %.1f |\n",
	       name, percent, int_at(report, 0, "sent"),
	       int_at(report, 0, "answered"), int_at(report, 0, "not_run"),
	       int_at(report, 0, "unknown"),
	       (double)int_at(report, 0, "p50_us") / 1000,
	       (double)int_at(report, 0, "p99_us") / 1000,
	       (double)int_at(report, 0, "p999_us") / 1000);
}

/* Latency by load, compared with a group choice that ignores load. */
static void bench_requests(void)
{
	static const char *const group_choices[] = { "two-choices", "random" };
	static const int percents[] = { 30, 60, 90, 120 };

	printf("\n## Requests: %d slots, exponential work of mean %d ms\n\n",
	       SLOTS, WORK_US / 1000);
	printf("| group choice | load | sent | answered | not run | unknown | "
	       "p50 ms | p99 ms | p99.9 ms |\n"
	       "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
	for (size_t c = 0; c < G_N_ELEMENTS(group_choices); c++) {
		char setting[64];
		struct hx *x;

		snprintf(setting, sizeof(setting), "\"group_choice\":\"%s\"",
			 group_choices[c]);
		x = start_cluster(9, TARGETS, 0, true, setting, NULL);
		for (size_t p = 0; p < G_N_ELEMENTS(percents); p++) {
			char class[256];
			json_t *report;

			snprintf(
				class, sizeof(class),
				"{\"service\":\"match\",\"rate_milli\":%" PRId64
				",\"work_us\":%d,\"exponential\":true,"
				"\"deadline_ms\":4000}",
				(int64_t)SLOTS * 1000000000 / WORK_US *
					percents[p] / 100,
				WORK_US);
			report = run_load(x, 8000, LOAD_SEED, class);
			print_latency_row(group_choices[c], percents[p],
					  report);
			json_decref(report);
			hx_sleep_ms(1000);
		}
		hx_stop(x);
	}
}

/* Latency and CPU time that an entry adds to a request. */
static void bench_request_cost(void)
{
	static const int rates[] = { 250, 500, 1000, 2000 };
	struct hx *x = start_cluster(3, 8, 0, false, NULL, NULL);

	printf("\n## Cost of a request: 3 entries, no work, no delays\n\n");
	printf("| requests/s | answered | p50 ms | p99 ms | entry CPU us a "
	       "request | entry RSS KiB |\n"
	       "| --- | --- | --- | --- | --- | --- |\n");
	for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
		int64_t before = sum_cpu_ms(x, HX_ENTRY);
		char class[192];
		json_t *report;

		snprintf(class, sizeof(class),
			 "{\"service\":\"match\",\"rate_milli\":%d,"
			 "\"work_us\":0,\"deadline_ms\":4000}",
			 rates[i] * 1000);
		report = run_load(x, 5000, LOAD_SEED, class);
		printf("| %d | %" PRId64 " | %.2f | %.2f | %.0f | %" PRId64
		       " |\n",
		       rates[i], int_at(report, 0, "answered"),
		       (double)int_at(report, 0, "p50_us") / 1000,
		       (double)int_at(report, 0, "p99_us") / 1000,
		       (double)(sum_cpu_ms(x, HX_ENTRY) - before) * 1000 /
			       (double)(int_at(report, 0, "answered") + 1),
		       max_rss_kib(x, HX_ENTRY));
		json_decref(report);
	}
	hx_stop(x);
}

/* Cost of heartbeats and configuration changes, by number of members. */
static void bench_members(void)
{
	static const int sizes[] = { 3, 6, 9, 12 };

	printf("\n## Idle entries and configuration spread, by members\n\n");
	printf("| members | CPU ms/s a member | peer messages/s a member | "
	       "peer bytes/s a member | store reads/s a member | store rows "
	       "written/s a member | change in force p50 ms | max ms |\n"
	       "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct hx *x = start_cluster(sizes[i], 1, 0, true, NULL, NULL);
		const double member_seconds = 10.0 * sizes[i];
		int64_t change_ms[30];
		int64_t cpu;
		int64_t messages;
		int64_t bytes;
		int64_t reads;
		int64_t writes;

		cpu = sum_cpu_ms(x, HX_ENTRY);
		messages = sum_metric(x, HX_ENTRY, "gd_peer_messages_total");
		bytes = sum_metric(x, HX_ENTRY, "gd_peer_bytes_total");
		reads = sum_metric(x, HX_ENTRY, "gd_store_reads_total");
		writes = sum_metric(x, HX_ENTRY, "gd_store_write_rows_total");
		hx_sleep_ms(10000);
		cpu = sum_cpu_ms(x, HX_ENTRY) - cpu;
		messages = sum_metric(x, HX_ENTRY, "gd_peer_messages_total") -
			   messages;
		bytes = sum_metric(x, HX_ENTRY, "gd_peer_bytes_total") - bytes;
		reads = sum_metric(x, HX_ENTRY, "gd_store_reads_total") - reads;
		writes = sum_metric(x, HX_ENTRY, "gd_store_write_rows_total") -
			 writes;
		for (int k = 0; k < 30; k++) {
			struct hx_response resp = hx_operator_call(
				x, k % sizes[i], "amend", MATCH);
			int pos = k;

			while (pos > 0 &&
			       change_ms[pos - 1] > resp.elapsed_ms) {
				change_ms[pos] = change_ms[pos - 1];
				pos--;
			}
			change_ms[pos] = resp.elapsed_ms;
			hx_response_free(&resp);
		}
		printf("| %d | %.2f | %.1f | %.0f | %.1f | %.2f | %" PRId64
		       " | %" PRId64 " |\n",
		       sizes[i], (double)cpu / member_seconds,
		       (double)messages / member_seconds,
		       (double)bytes / member_seconds,
		       (double)reads / member_seconds,
		       (double)writes / member_seconds, change_ms[15],
		       change_ms[29]);
		hx_stop(x);
	}
}

/* Cost of syncs with idle workers, by number of workers. */
static void bench_workers(void)
{
	static const int sizes[] = { 10, 40, 80 };

	printf("\n## Worker exchanges, one scheduler, by workers\n\n");
	printf("| workers | scheduler CPU us an exchange | bytes an exchange "
	       "(bodies) | bytes/s a worker | scheduler RSS KiB |\n"
	       "| --- | --- | --- | --- | --- |\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct hx *x = start_cluster(1, 1, sizes[i], false, NULL, NULL);
		int64_t cpu = sum_cpu_ms(x, HX_SCHED);
		int64_t syncs = sum_metric(x, HX_SCHED, "gd_syncs_total");
		int64_t bytes = sum_metric(x, HX_SCHED, "gd_sync_bytes_total");

		hx_sleep_ms(10000);
		cpu = sum_cpu_ms(x, HX_SCHED) - cpu;
		syncs = sum_metric(x, HX_SCHED, "gd_syncs_total") - syncs;
		bytes = sum_metric(x, HX_SCHED, "gd_sync_bytes_total") - bytes;
		printf("| %d | %.0f | %.0f | %.0f | %" PRId64 " |\n",
		       sizes[i] * HX_DOMAINS,
		       (double)cpu * 1000 / (double)syncs,
		       (double)bytes / (double)syncs,
		       (double)bytes / 10 / (sizes[i] * HX_DOMAINS),
		       max_rss_kib(x, HX_SCHED));
		hx_stop(x);
	}
}

static bool tasks_done(struct hx *x, void *arg)
{
	return hx_ledger_tasks(x, 0, "done") >= *(int64_t *)arg;
}

static void submit_tasks(struct hx *x, const char *name, int tasks, int cpu,
			 int run_ms)
{
	char record[256];

	snprintf(record, sizeof(record),
		 "{\"schema\":2,\"kind\":\"batch\",\"meta\":{\"name\":\"%s\","
		 "\"team\":\"t\"},\"spec\":{\"tasks\":%d,\"cpu_milli\":%d,"
		 "\"mem_mib\":10,\"run_ms\":%d}}",
		 name, tasks, cpu, run_ms);
	hx_operator_call_retry(x, "submit", record);
}

/* Prints a row: `size` tasks with a commit interval of `interval` ms. */
static void bench_starts_row(int interval, int size)
{
	char setting[64];
	struct hx *x;
	int64_t tasks = size;
	int64_t start_ms;
	int64_t took_ms;
	int64_t cpu;
	int64_t writes;
	int64_t batches;
	int64_t entries;

	snprintf(setting, sizeof(setting), "\"commit_ms\":%d", interval);
	x = start_cluster(1, 1, 10, false, NULL, setting);
	cpu = sum_cpu_ms(x, HX_SCHED);
	writes = sum_metric(x, HX_SCHED, "gd_store_write_rows_total");
	batches = sum_metric(x, HX_SCHED, "gd_batches_total");
	entries = sum_metric(x, HX_SCHED, "gd_batch_entries_sum");
	start_ms = hx_now_ms();
	submit_tasks(x, "many", size, 500, 300);
	hx_wait_until(tasks_done, x, &tasks, 60000);
	took_ms = hx_now_ms() - start_ms;
	cpu = sum_cpu_ms(x, HX_SCHED) - cpu;
	writes = sum_metric(x, HX_SCHED, "gd_store_write_rows_total") - writes;
	batches = sum_metric(x, HX_SCHED, "gd_batches_total") - batches;
	entries = sum_metric(x, HX_SCHED, "gd_batch_entries_sum") - entries;
	printf("| %d | %d | %.0f | %.3f | %.0f | %.1f | %.1f | %.0f | "
	       "%" PRId64 " |\n",
	       interval, size, (double)tasks * 1000 / (double)took_ms,
	       (double)writes / (double)tasks,
	       (double)entries / (double)(batches + 1),
	       (double)sum_metric(x, HX_SCHED,
				  "gd_commit_us{quantile=\"0.5\"}") /
		       1000,
	       (double)sum_metric(x, HX_SCHED,
				  "gd_commit_us{quantile=\"0.99\"}") /
		       1000,
	       (double)cpu * 1000 / (double)tasks, max_rss_kib(x, HX_SCHED));
	hx_stop(x);
}

/* Task starts and group commit, by commit interval. */
static void bench_starts(void)
{
	static const int intervals[] = { 5, 20, 100 };
	static const int sizes[] = { 1000, 2000, 4000 };

	printf("\n## Task starts, one shard, 30 workers, tasks of 300 ms\n\n");
	printf("| commit_ms | tasks | starts/s | rows written a start | "
	       "entries a row | commit p50 ms | commit p99 ms | CPU us a "
	       "start | RSS KiB |\n"
	       "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
	for (size_t k = 0; k < G_N_ELEMENTS(intervals); k++) {
		for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
			bench_starts_row(intervals[k], sizes[i]);
	}
}

/* Memory of a shard, by number of waiting tasks. */
static void bench_task_memory(void)
{
	struct hx *x = start_cluster(1, 1, 1, false, NULL, NULL);
	int64_t last = max_rss_kib(x, HX_SCHED);

	printf("\n## Memory of waiting tasks\n\n"
	       "| tasks | scheduler RSS KiB | bytes a task added |\n"
	       "| --- | --- | --- |\n| 0 | %" PRId64 " | |\n",
	       last);
	for (int i = 1; i <= 4; i++) {
		char name[32];
		int64_t kib;

		snprintf(name, sizeof(name), "wait-%d", i);
		submit_tasks(x, name, 10000, 32000, 3600000);
		kib = max_rss_kib(x, HX_SCHED);
		printf("| %d | %" PRId64 " | %.0f |\n", i * 10000, kib,
		       (double)(kib - last) * 1024 / 10000);
		last = kib;
	}
	hx_stop(x);
}

/* Returns the longest time without a start in any domain's targets. */
static int64_t longest_gap_ms(struct hx *x, int64_t from_ms, int64_t to_ms)
{
	GArray *starts_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	int64_t end_us = to_ms * 1000;
	int64_t longest = 0;

	for (int d = 0; d < HX_DOMAINS; d++) {
		char path[160];
		char line[512];
		FILE *f;

		snprintf(path, sizeof(path), "%s/targets%d.log", x->dir, d);
		f = fopen(path, "r");
		while (f && fgets(line, sizeof(line), f)) {
			int64_t us = strtoll(line, NULL, 10);

			if (strstr(line, " start ") && us / 1000 >= from_ms &&
			    us / 1000 < to_ms)
				g_array_append_val(starts_us, us);
		}
		if (f)
			fclose(f);
		/* Per domain, since only one domain's owner ends. */
		g_array_append_val(starts_us, end_us);
		for (guint i = 1; i < starts_us->len; i++) {
			int64_t gap = g_array_index(starts_us, int64_t, i) -
				      g_array_index(starts_us, int64_t, i - 1);

			longest = gap > longest ? gap : longest;
		}
		g_array_set_size(starts_us, 0);
	}
	g_array_free(starts_us, TRUE);
	return longest / 1000;
}

struct delayed_signal {
	struct hx *x;
	enum hx_role role;
	int vm;
	int sig;
};

static gpointer signal_later(gpointer priv)
{
	struct delayed_signal *s = priv;

	hx_sleep_ms(2000);
	hx_signal(s->x, s->role, s->vm, s->sig);
	return NULL;
}

/* Interruption of a domain when the owner of its only group ends. */
static void bench_recovery(void)
{
	static const int signals[] = { SIGTERM, SIGKILL };

	printf("\n## Recovery: an owner of a group ends under 200 "
	       "requests/s\n\n"
	       "| end | longest gap in a domain ms | not run | unknown | p99.9 "
	       "ms |\n| --- | --- | --- | --- | --- |\n");
	for (size_t i = 0; i < G_N_ELEMENTS(signals); i++) {
		struct hx *x = start_cluster(3, 3, 0, true,
					     "\"groups_per_domain\":1", NULL);
		struct delayed_signal s = { x, HX_ENTRY, 0, signals[i] };
		int64_t from_ms = hx_now_ms() + 500;
		GThread *t = g_thread_new("stop", signal_later, &s);
		json_t *report =
			run_load(x, LOAD_MS, LOAD_SEED,
				 "{\"service\":\"match\",\"rate_milli\":"
				 "200000,\"work_us\":10000,"
				 "\"deadline_ms\":4000}");

		g_thread_join(t);
		printf("| %s | %" PRId64 " | %" PRId64 " | %" PRId64
		       " | %.0f |\n",
		       signals[i] == SIGTERM ? "planned" : "unplanned",
		       longest_gap_ms(x, from_ms, from_ms + LOAD_MS - 1000),
		       int_at(report, 0, "not_run"),
		       int_at(report, 0, "unknown"),
		       (double)int_at(report, 0, "p999_us") / 1000);
		json_decref(report);
		hx_reap(x, HX_ENTRY, 0);
		hx_stop(x);
	}
}

struct bench_section {
	const char *name;
	void (*run)(void);
};

static const struct bench_section sections[] = {
	{ "requests", bench_requests }, { "cost", bench_request_cost },
	{ "members", bench_members },	{ "workers", bench_workers },
	{ "starts", bench_starts },	{ "memory", bench_task_memory },
	{ "recovery", bench_recovery },
};

int main(int argc, char **argv)
{
	setvbuf(stdout, NULL, _IOLBF, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(sections); i++) {
		if (argc > 1 && strcmp(argv[1], sections[i].name) != 0)
			continue;
		sections[i].run();
	}
	return 0;
}
