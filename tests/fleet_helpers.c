/* Helpers of tests that run gd-fleet as real processes. */
#include "tests/fleet_helpers.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

/* Submits a job to one VM after another until it is accepted. */
int submit(struct hf *s, const char *steps, const char *text)
{
	int job = s->jobs++;
	char path[64];
	char *body =
		g_strdup_printf("{\"spec\":\"%s\",\"steps\":%s}", text, steps);
	int64_t end = hx_now_ms() + HF_TIMEOUT_MS;
	long status;

	snprintf(path, sizeof(path), "/q/%016x", job + 1);
	for (int vm = job;; vm++) {
		struct hx_response resp =
			hf_call(s, NULL, vm % s->opt.vms, "POST", path, body);

		status = resp.status;
		hx_response_free(&resp);
		if (status == 200)
			break;
		/* Rejected, outcome unknown or VM down: retries the same id. */
		g_assert_true(status == 503 || status == 504 || status == 0);
		g_assert_cmpint(hx_now_ms(), <, end);
		hx_sleep_ms(100);
	}
	g_free(body);
	return job;
}

static char *get_state(const struct hf *s, int vm, int job)
{
	char path[64];
	struct hx_response resp;
	char *state;

	snprintf(path, sizeof(path), "/q/%016x", job + 1);
	resp = hf_call(s, NULL, vm, "GET", path, NULL);
	state = g_strdup(json_string_value(json_object_get(resp.json, "state"))
				 ?: "");
	hx_response_free(&resp);
	return state;
}

void wait_state(const struct hf *s, int vm, int job, const char *want)
{
	int64_t end = hx_now_ms() + HF_TIMEOUT_MS;

	for (;;) {
		g_autofree char *state = get_state(s, vm, job);

		if (!strcmp(state, want))
			return;
		g_assert_cmpint(hx_now_ms(), <, end);
		hx_sleep_ms(50);
	}
}

struct task_summary read_platform_log(const struct hf *s)
{
	GHashTable *running =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTable *done_tasks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	struct task_summary out = { 0 };
	long long last_upkeep = 0;
	char path[128];
	char line[256];
	FILE *f;

	snprintf(path, sizeof(path), "%s/site.log", s->dir);
	f = fopen(path, "r");
	while (f && fgets(line, sizeof(line), f)) {
		long long at;
		long long attempt;
		char what[16];
		char worker[48];
		char task[64];

		if (sscanf(line, "%lld %15s %47s %63s %lld", &at, what, worker,
			   task, &attempt) != 5)
			continue;
		if (!strcmp(what, "upkeep")) {
			out.upkeep_count++;
			/* UPKEEP_DURATION_MS of the simulator */
			out.concurrent_upkeeps +=
				last_upkeep && at - last_upkeep < 300;
			last_upkeep = at;
		} else if (!strcmp(what, "start")) {
			out.starts++;
			out.concurrent_runs +=
				g_hash_table_contains(running, task) ||
				g_hash_table_contains(done_tasks, task);
			g_hash_table_add(running, g_strdup(task));
		} else if (strcmp(what, "noted") != 0) {
			out.done += !strcmp(what, "done");
			g_hash_table_remove(running, task);
			if (!strcmp(what, "done"))
				g_hash_table_add(done_tasks, g_strdup(task));
		}
	}
	if (f)
		fclose(f);
	g_hash_table_destroy(running);
	g_hash_table_destroy(done_tasks);
	return out;
}

/* Waits for the owner's log line: logs are written with a delay. */
int wait_owner(const struct hf *s)
{
	int64_t end = hx_now_ms() + HF_TIMEOUT_MS;
	int owner;

	while ((owner = hf_owner(s, 0)) < 0) {
		g_assert_cmpint(hx_now_ms(), <, end);
		hx_sleep_ms(50);
	}
	return owner;
}
