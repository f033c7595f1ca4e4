/*
 * gd-demo: runs the records of examples/siriwattana on 9 VMs in three domains
 * with simulated platform, targets, workers and network. Takes a domain out and
 * in under load, then checks the simulators' logs and the ledger. Exit status 1
 * if a check fails.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/harness.h"

#define LOAD_MS 12000
#define DONE_TIMEOUT_MS 30000
#define ROUNDING_CPU_MS 8 /* 1 ms of the largest task, 8 processors */

static int failures;

static void check(bool passed, const char *what)
{
	printf("%s  %s\n", passed ? "ok  " : "FAIL", what);
	failures += !passed;
}

static void submit_file(struct hx *x, const char *path)
{
	gchar *text = NULL;
	char what[160];

	snprintf(what, sizeof(what), "submit %s", path);
	check(g_file_get_contents(path, &text, NULL, NULL) &&
		      hx_operator_call_retry(x, "submit", text),
	      what);
	g_free(text);
}

static void write_mix(struct hx *x, const char *path)
{
	FILE *f = fopen(path, "w");

	fprintf(f, "{\"entries\":[");
	for (int vm = 0; vm < x->opt.vms; vm++)
		fprintf(f, "%s\"http://%s:%d\"", vm ? "," : "", x->vm_ip[vm],
			x->http_port[HX_ENTRY][vm]);
	fprintf(f,
		"],\"duration_ms\":%d,\"seed\":7,\"classes\":["
		"{\"service\":\"booking-match\",\"tenant\":\"embassy\","
		"\"rate_milli\":300000,\"work_us\":8000,\"exponential\":true,"
		"\"deadline_ms\":3000},"
		"{\"service\":\"booking-match\",\"tenant\":\"organiser\","
		"\"rate_milli\":100000,\"work_us\":8000,\"exponential\":true,"
		"\"deadline_ms\":3000,\"burst_every_ms\":2000,"
		"\"burst_size\":50},"
		"{\"service\":\"booth-relay\",\"idempotent\":false,"
		"\"rate_milli\":40000,\"work_us\":200000,\"tries\":3,"
		"\"deadline_ms\":10000}]}",
		LOAD_MS);
	fclose(f);
}

static pid_t start_load(struct hx *x, const char *mix)
{
	char program[128];
	pid_t pid;

	snprintf(program, sizeof(program), "%s/gd-load", x->bin);
	fflush(stdout);
	pid = fork();
	if (!pid) {
		execl(program, "gd-load", mix, (char *)NULL);
		_exit(127);
	}
	return pid;
}

static void set_domain(struct hx *x, const char *name, const char *state)
{
	char record[160];
	char what[96];
	int64_t start_ms = hx_now_ms();
	bool done;

	snprintf(record, sizeof(record),
		 "{\"schema\":2,\"kind\":\"domain\",\"meta\":{\"name\":\"%s\"},"
		 "\"spec\":{\"state\":\"%s\"}}",
		 name, state);
	done = hx_operator_call_retry(x, "amend", record);
	snprintf(what, sizeof(what),
		 "domain %s %s, in force after %" PRId64 " ms", name, state,
		 hx_now_ms() - start_ms);
	check(done, what);
}

static bool all_done(struct hx *x, void *arg)
{
	return hx_ledger_tasks(x, 0, "done") == *(int64_t *)arg;
}

static void check_logs(struct hx *x)
{
	struct hx_target_log t = hx_read_target_logs(x);
	struct hx_worker_log w = hx_read_worker_logs(x);
	char what[160];
	bool balanced = false;
	int64_t batch_ms;
	int64_t charged;

	snprintf(what, sizeof(what),
		 "targets: %" PRId64 " starts, %" PRId64
		 " ends, at most %" PRId64 " of 8 slots busy, %" PRId64
		 " rejected as full",
		 t.starts, t.ends, t.max_busy, t.over);
	check(t.max_busy <= 8 && t.over == 0, what);
	snprintf(what, sizeof(what),
		 "no request id was started twice (%" PRId64 ")", t.repeated);
	check(t.repeated == 0, what);
	snprintf(what, sizeof(what),
		 "workers: %" PRId64 " starts, %" PRId64 " done, %" PRId64
		 " evicted, %" PRId64 " over capacity, %" PRId64 " concurrent",
		 w.starts, w.done, w.evicted, w.over, w.concurrent_runs);
	check(!w.over && !w.concurrent_runs && !w.duplicate_completions, what);
	batch_ms = w.last_done_ms - w.first_start_ms;
	snprintf(what, sizeof(what),
		 "batch: %" PRId64 " tasks in %" PRId64 " ms, %.1f a second",
		 w.done, batch_ms, (double)w.done * 1000 / (double)batch_ms);
	check(batch_ms > 0, what);
	hx_ledger(x, 0, "accepted", &balanced);
	snprintf(what, sizeof(what),
		 "ledger: accepted %" PRId64 " = done %" PRId64
		 " + failed %" PRId64 " + cancelled %" PRId64
		 " + refused %" PRId64 " + live; %" PRId64
		 " CPU-ms charged, %" PRId64 " useful",
		 hx_ledger(x, 0, "accepted", NULL),
		 hx_ledger_tasks(x, 0, "done"), hx_ledger_tasks(x, 0, "failed"),
		 hx_ledger_tasks(x, 0, "cancelled"),
		 hx_ledger_tasks(x, 0, "refused"),
		 hx_ledger(x, 0, "charged_cpu_ms", NULL),
		 hx_ledger(x, 0, "useful_cpu_ms", NULL));
	check(balanced, what);
	charged = hx_ledger(x, 0, "charged_cpu_ms", NULL);
	snprintf(what, sizeof(what),
		 "capacity: %" PRId64 " CPU-ms charged, %" PRId64
		 " in the workers' log",
		 charged, w.run_cpu_ms);
	/* Both round each attempt to 1 ms of all its processors. */
	check(llabs(charged - w.run_cpu_ms) <= w.starts * ROUNDING_CPU_MS,
	      what);
	hx_target_log_free(&t);
}

static void for_each_record(const char *user,
			    void (*use_file)(struct hx *x, const char *path),
			    struct hx *x)
{
	GDir *dir;
	const char *name;
	GList *names = NULL;
	char path[128];

	snprintf(path, sizeof(path), "examples/%s", user);
	dir = g_dir_open(path, 0, NULL);
	while (dir && (name = g_dir_read_name(dir)))
		names = g_list_insert_sorted(
			names, g_strdup_printf("%s/%s", path, name),
			(GCompareFunc)strcmp);
	for (GList *at = names; at; at = at->next)
		use_file(x, at->data);
	g_list_free_full(names, g_free);
	if (dir)
		g_dir_close(dir);
}

int main(void)
{
	struct hx_options opt = { .site = &hx_siriwattana,
				  .vms = 9,
				  .targets = 5,
				  .workers = 4,
				  .use_proxy = true,
				  .delays = true };
	struct hx *x;
	int64_t tasks = 252;
	char mix[128];
	pid_t load;
	int status = 0;

	setvbuf(stdout, NULL, _IOLBF, 0);
	printf("starting 9 VMs in 3 failure domains, 15 targets, 12 workers, "
	       "with 30 ms between regions\n");
	x = hx_start(&opt);
	check(hx_wait_ready(x), "all entries joined, all shards have an owner");
	for_each_record("siriwattana", submit_file, x);
	snprintf(mix, sizeof(mix), "%s/mix.json", x->dir);
	write_mix(x, mix);
	load = start_load(x, mix);
	hx_sleep_ms(2000);
	set_domain(x, "bkk-bangna", "out");
	hx_sleep_ms(4000);
	set_domain(x, "bkk-bangna", "in");
	waitpid(load, &status, 0);
	check(WIFEXITED(status) && WEXITSTATUS(status) == 0,
	      "every response was complete and matched its request");
	check(hx_wait_until(all_done, x, &tasks, DONE_TIMEOUT_MS),
	      "all batch tasks done");
	check_logs(x);
	hx_stop(x);
	printf("demo: %s\n", failures ? "FAILED" : "everything balances");
	return failures != 0;
}
