/*
 * gd-bench-starts: starts per second of one owner against the number of workers
 * and the link to them, and the bytes that one task and one worker cost. One VM
 * calls simulated workers and the store through the fault proxy, which limits
 * the bytes per second of all these connections together and delays them.
 * Prints Markdown rows. Arguments: workers, Mbit/s, thousandths of a core that
 * the VM is told to have, delay in ms, tasks; without any, a standard set is
 * run.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/fleet_helpers.h"

/* Few jobs, so that their submission one after another takes little time. */
#define STEPS 10
#define TASKS_PER_STEP 50
#define RUN_MS 300
#define DONE_MAX_MS 60000
/* What the list of workers alone costs is measured for this long, in ms. */
#define IDLE_MS 4000

struct setup {
	int workers;
	double mbit_s;
	int cpu_milli;
	int delay_ms;
	int tasks;
};

static char *read_metrics(const struct hf *s)
{
	g_autofree char *url =
		g_strdup_printf("http://127.0.0.1:%d/metrics", s->vm_ports + 2);
	struct hx_response resp = hx_http("GET", url, NULL, NULL, HF_CALL_MS);
	char *text = g_strdup(resp.body ? resp.body : "");

	hx_response_free(&resp);
	return text;
}

static int64_t metric(const char *text, const char *name)
{
	g_autofree char *key = g_strdup_printf("\n%s ", name);
	const char *at = strstr(text, key);

	return at ? g_ascii_strtoll(at + strlen(key), NULL, 10) : 0;
}

static int64_t counter(const struct hf *s, const char *name)
{
	g_autofree char *text = read_metrics(s);

	return metric(text, name);
}

/* Bytes of the purpose in both directions. */
static int64_t traffic(const char *text, const char *purpose)
{
	int64_t sum = 0;

	for (int i = 0; i < 2; i++) {
		g_autofree char *name = g_strdup_printf(
			"gd_traffic_bytes_total{purpose=\"%s\",via=\"http\","
			"direction=\"%s\"}",
			purpose, i ? "in" : "out");

		sum += metric(text, name);
	}
	return sum;
}

static int64_t task_bytes(const char *text)
{
	return traffic(text, "starts") + traffic(text, "commands") +
	       traffic(text, "job_rows") + traffic(text, "commits");
}

static void submit_all(struct hf *s, int tasks)
{
	g_autoptr(GString) steps = g_string_new("[");
	g_autofree char *text = g_strdup_printf("ms=%d", RUN_MS);

	for (int i = 0; i < STEPS; i++)
		g_string_append_printf(steps,
				       "%s{\"count\":%d,\"cpu\":500,\"mem_mb\":"
				       "100,\"estimate_ms\":%d}",
				       i ? "," : "", TASKS_PER_STEP, RUN_MS);
	g_string_append(steps, "]");
	for (int i = 0; i < tasks / (STEPS * TASKS_PER_STEP); i++)
		submit(s, steps->str, text);
}

static int64_t wait_counter(const struct hf *s, const char *name, int64_t least)
{
	int64_t end = hx_now_ms() + DONE_MAX_MS;
	int64_t n;

	while ((n = counter(s, name)) < least && hx_now_ms() < end)
		hx_sleep_ms(20);
	return n;
}

static void measure(struct hf *s, const struct setup *set)
{
	int64_t began;
	int64_t started_ms;
	int64_t done;
	g_autofree char *before = NULL;
	g_autofree char *idle = NULL;
	g_autofree char *after = NULL;

	before = read_metrics(s);
	hx_sleep_ms(IDLE_MS);
	idle = read_metrics(s);
	began = hx_now_ms();
	submit_all(s, set->tasks);
	wait_counter(s, "gd_starts_total", set->tasks);
	started_ms = hx_now_ms() - began;
	done = wait_counter(s, "gd_done_total", set->tasks);
	after = read_metrics(s);
	printf("| %d | %g | %d | %d | %d | %lld | %lld | %lld | %lld | %lld | "
	       "%lld | %lld | %lld |\n",
	       set->workers, set->mbit_s, set->cpu_milli, set->delay_ms,
	       set->tasks, (long long)done, (long long)started_ms,
	       (long long)(set->tasks * 1000LL / MAX(started_ms, 1)),
	       (long long)(hx_now_ms() - began),
	       (long long)metric(after, "gd_unsure_total"),
	       (long long)((task_bytes(after) - task_bytes(idle)) / set->tasks),
	       (long long)((traffic(after, "reports") -
			    traffic(idle, "reports")) /
			   set->tasks),
	       (long long)((traffic(idle, "worker_list") -
			    traffic(before, "worker_list")) *
			   1000 / IDLE_MS / set->workers));
	fflush(stdout);
}

static void run(const struct setup *set)
{
	g_autofree char *bounds =
		g_strdup_printf("limits.link_mbps=%g\nlimits.cpu_share=%g\n",
				set->mbit_s, set->cpu_milli / 1000.0);
	struct hf_options opt = { .vms = 1,
				  .workers = set->workers,
				  .use_proxy = true,
				  .bounds = bounds };
	struct hf s;

	hf_start(&s, &opt);
	wait_owner(&s);
	wait_counter(&s, "gd_workers", set->workers);
	hf_control(s.proxy_port, "/rule",
		   "{\"from\":\"[ws]*\",\"to\":\"*\",\"delay_us\":%d,"
		   "\"bytes_s\":%lld}",
		   set->delay_ms * 1000, (long long)(set->mbit_s * 125000));
	measure(&s, set);
	hf_stop(&s);
}

int main(int argc, char **argv)
{
	static const struct setup sets[] = {
		{ 48, 2, 120, 1, 500 },	      { 150, 2, 120, 1, 1000 },
		{ 150, 20, 250, 1, 3000 },    { 300, 1000, 500, 1, 6000 },
		{ 300, 1000, 500, 20, 6000 },
	};

	printf("| workers | Mbit/s | cpu_milli | delay ms | tasks | done | "
	       "last start after ms | starts/s | last end after ms | "
	       "unanswered starts | bytes a task | report bytes a task | list "
	       "bytes/s a worker |\n"
	       "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | "
	       "--- | --- | --- |\n");
	if (argc == 6) {
		struct setup set = { atoi(argv[1]), strtod(argv[2], NULL),
				     atoi(argv[3]), atoi(argv[4]),
				     atoi(argv[5]) };

		run(&set);
		return 0;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(sets); i++)
		run(&sets[i]);
	return 0;
}
