/* Tests of gd-fleet: three VMs as real processes, with gd-site. */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <glib.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "protocol/jobspec.h"
#include "tests/fleet_helpers.h"
#include "tests/http_tests.h"
#include "tests/keys_tests.h"

#define VMS 3
/* After this time an accepted job must be in the number of pending jobs, in
 * ms. */
#define PENDING_VISIBLE_MS 5000

static void drop_next(const struct hf *s, int responses, int requests)
{
	hf_control(s->platform_port, "/control/fault",
		   "{\"lose_answers\":%d,\"lose_calls\":%d}", responses,
		   requests);
}

static void start_cluster(struct hf *s)
{
	static const struct hf_options opt = {
		.vms = VMS,
		.workers = 4,
		.bounds = "bounds.grace_s=6\nbounds.lease_ms=500\n",
	};

	hf_start(s, &opt);
}

#define LONG_RUNNING                                                           \
	"[{\"count\":4,\"cpu\":2000,\"mem_mb\":100,\"estimate_ms\":100,"       \
	"\"long_running\":true,\"max_unavailable\":1}]"

#define NEVER_FITS                                                             \
	"[{\"count\":1,\"cpu\":9000000,\"mem_mb\":100,\"estimate_ms\":100}]"

static void wait_all_done(struct hf *s, int jobs)
{
	for (int i = 0; i < jobs; i++)
		wait_state(s, i % VMS, i, "done");
}

/* Jobs submitted to any VM complete, and each task runs once. */
static void test_jobs(void)
{
	struct hf s;
	struct task_summary sum;

	start_cluster(&s);
	for (int i = 0; i < 6; i++)
		submit(&s, TWO_STEPS, "ms=50");
	/* Submitting an id again doesn't create a second job. */
	s.jobs = 0;
	submit(&s, TWO_STEPS, "ms=50");
	wait_all_done(&s, 6);
	sum = read_platform_log(&s);
	g_assert_cmpint(sum.done, ==, 36);
	g_assert_cmpint(sum.starts, ==, 36);
	g_assert_cmpint(sum.concurrent_runs, ==, 0);
	hf_stop(&s);
}

/* Requests to the store and responses get lost; each task still runs once. */
static void test_lost_responses(void)
{
	struct hf s;
	struct task_summary sum;

	start_cluster(&s);
	for (int i = 0; i < 6; i++) {
		drop_next(&s, 2, i % 2);
		submit(&s, TWO_STEPS, "ms=50");
	}
	wait_all_done(&s, 6);
	sum = read_platform_log(&s);
	g_assert_cmpint(sum.done, ==, 36);
	g_assert_cmpint(sum.concurrent_runs, ==, 0);
	hf_stop(&s);
}

/* The owner is killed while tasks run; its successor adopts the runs. */
static void test_owner_killed(void)
{
	struct hf s;
	struct task_summary sum;
	int owner;

	start_cluster(&s);
	for (int i = 0; i < 4; i++)
		submit(&s, TWO_STEPS, "ms=1500");
	hx_sleep_ms(500);
	owner = wait_owner(&s);
	hf_kill_vm(&s, owner);
	for (int i = 0; i < 4; i++)
		wait_state(&s, (owner + 1) % VMS, i, "done");
	sum = read_platform_log(&s);
	g_assert_cmpint(sum.done, ==, 24);
	g_assert_cmpint(sum.concurrent_runs, ==, 0);
	g_assert_cmpint(wait_owner(&s), !=, owner);
	hf_stop(&s);
}

/* After SIGTERM the owner exits with 0, and its successor continues. */
static void test_planned_stop(void)
{
	struct hf s;
	struct task_summary sum;
	int status = -1;
	int owner;

	start_cluster(&s);
	for (int i = 0; i < 4; i++)
		submit(&s, TWO_STEPS, "ms=300");
	owner = wait_owner(&s);
	hx_signal_pid(s.vms[owner], SIGTERM);
	waitpid(s.vms[owner], &status, 0);
	s.vms[owner] = 0;
	g_assert_true(WIFEXITED(status));
	g_assert_cmpint(WEXITSTATUS(status), ==, 0);
	for (int i = 0; i < 4; i++)
		wait_state(&s, (owner + 1) % VMS, i, "done");
	sum = read_platform_log(&s);
	g_assert_cmpint(sum.done, ==, 24);
	g_assert_cmpint(sum.concurrent_runs, ==, 0);
	hf_stop(&s);
}

/* Returns the number of pending jobs; -1 if the VM doesn't know it now. */
static int64_t pending_at(const struct hf *s, CURL *easy, int vm)
{
	struct hx_response resp = hf_call(s, easy, vm, "GET", "/q/", NULL);
	int64_t n = -1;

	g_assert_true(resp.status == 200 || resp.status == 503);
	if (resp.status == 200)
		n = json_integer_value(json_object_get(resp.json, "pending"));
	hx_response_free(&resp);
	return n;
}

static void wait_pending(const struct hf *s, CURL *easy, int vm, int64_t want)
{
	int64_t end = hx_now_ms() + HF_TIMEOUT_MS;

	while (pending_at(s, easy, vm) != want) {
		g_assert_cmpint(hx_now_ms(), <, end);
		hx_sleep_ms(50);
	}
}

/*
 * Guards against a VM that can't listen for a minute after it was killed while
 * a caller was connected: it ended with an error.
 */
static void test_restart_with_open_conn(void)
{
	CURL *easy = curl_easy_init();
	struct hf s;
	int status;

	start_cluster(&s);
	/* Unknown until an owner has counted, and while the VM is stalled. */
	wait_pending(&s, easy, 1, 0);
	hf_kill_vm(&s, 1);
	hf_start_vm(&s, 1);
	while (!hf_is_ready(&s, 1)) {
		g_assert_cmpint(waitpid(s.vms[1], &status, WNOHANG), ==, 0);
		hx_sleep_ms(20);
	}
	curl_easy_cleanup(easy);
	hf_stop(&s);
}

/* Guards against a VM that can't listen and ends without logging the reason. */
static void test_listen_error_logged(void)
{
	struct hf s;
	char path[128];
	char *text = NULL;
	int status;

	start_cluster(&s);
	s.opt.vms = 1;
	hf_kill_vm(&s, 1);
	hf_kill_vm(&s, 2);
	s.vms[1] = s.vms[0];
	hf_start_vm(&s, 0);
	waitpid(s.vms[0], &status, 0);
	g_assert_true(WIFEXITED(status));
	g_assert_cmpint(WEXITSTATUS(status), ==, 1);
	snprintf(path, sizeof(path), "%s/vm0.log", s.dir);
	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	g_assert_nonnull(strstr(text, "cannot serve HTTP on"));
	g_free(text);
	s.vms[0] = s.vms[1];
	hf_stop(&s);
}

/* Requests a VM's readiness. Returns the socket, with the connection open. */
static int query_ready_keep_open(const struct hf *s, int vm)
{
	static const char text[] = "GET /v1/readyz HTTP/1.1\r\nHost: a\r\n\r\n";
	struct sockaddr_in sa = {
		.sin_family = AF_INET,
		.sin_port =
			htons((uint16_t)(s->vm_ports + vm * HF_VM_PORTS + 1))
	};
	char answer[1024];
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, "127.0.0.1", &sa.sin_addr);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	g_assert_cmpint(write(fd, text, sizeof(text) - 1), >, 0);
	g_assert_cmpint(read(fd, answer, sizeof(answer)), >, 0);
	return fd;
}

/*
 * Guards against a VM that can't listen since connections of its previous
 * incarnation still occupy the port.
 */
static void test_restart_after_conn_closed(void)
{
	struct hf s;
	int caller;

	start_cluster(&s);
	caller = query_ready_keep_open(&s, 0);
	hf_kill_vm(&s, 0);
	/* The side that closed first keeps it in TIME_WAIT for a minute. */
	close(caller);
	hf_start_vm(&s, 0);
	hf_wait_ready(&s, 0);
	hf_stop(&s);
}

/* Guards against an exit whose reason is never flushed from the log buffer. */
static void test_port_in_use(void)
{
	struct hf s;
	char path[128];
	gchar *log = NULL;
	pid_t first;
	int status = 0;

	start_cluster(&s);
	snprintf(path, sizeof(path), "%s/vm0.log", s.dir);
	/* Starts a second process while the first occupies the ports. */
	first = s.vms[0];
	hf_start_vm(&s, 0);
	waitpid(s.vms[0], &status, 0);
	s.vms[0] = first;
	g_assert_true(WIFEXITED(status));
	g_assert_cmpint(WEXITSTATUS(status), ==, 1);
	g_assert_true(g_file_get_contents(path, &log, NULL, NULL));
	g_assert_nonnull(strstr(log, "event=GD1005"));
	g_free(log);
	hf_stop(&s);
}

/* A cancelled job stops on all VMs; unknown ids and routes are rejected. */
static void test_cancel(void)
{
	struct hf s;
	struct hx_response resp;
	int job;

	start_cluster(&s);
	job = submit(&s, LONG_RUNNING, "lasts");
	wait_state(&s, 0, job, "running");
	resp = hf_call(&s, NULL, 1, "DELETE", "/q/0000000000000001", NULL);
	g_assert_cmpint(resp.status, ==, 200);
	hx_response_free(&resp);
	wait_state(&s, 2, job, "canceled");
	resp = hf_call(&s, NULL, 1, "GET", "/q/00000000000000ff", NULL);
	g_assert_cmpint(resp.status, ==, 410);
	hx_response_free(&resp);
	resp = hf_call(&s, NULL, 1, "GET", "/other/", NULL);
	g_assert_cmpint(resp.status, ==, 404);
	hx_response_free(&resp);
	hf_stop(&s);
}

/*
 * Guards against a number of pending jobs from before the owner was lost: its
 * successor, which could not load the shard, renewed the row with the counts of
 * its predecessor, and all VMs answered 0 while jobs waited.
 */
static void test_pending_after_owner_lost(void)
{
	enum { JOBS = 4 };
	struct hf s;
	int owner;

	start_cluster(&s);
	owner = wait_owner(&s);
	hf_control(s.platform_port, "/control/store",
		   "{\"how\":\"silent\",\"table\":\"roster\",\"for_ms\":%d}",
		   PENDING_VISIBLE_MS + 4000);
	hf_kill_vm(&s, owner);
	for (int i = 0; i < JOBS; i++)
		submit(&s, NEVER_FITS, "waits");
	hx_sleep_ms(PENDING_VISIBLE_MS);
	for (int vm = 0; vm < VMS; vm++) {
		int64_t n = vm == owner ? -1 : pending_at(&s, NULL, vm);

		g_assert_true(n < 0 || n * 2 >= JOBS);
	}
	wait_pending(&s, NULL, (owner + 1) % VMS, JOBS);
	hf_stop(&s);
}

static bool wave_is_done(const struct hf *s)
{
	struct hx_response resp =
		hf_platform(s, "/v1/rows-get?table=status&part=", NULL);
	json_t *row = json_array_get(json_object_get(resp.json, "rows"), 0);
	const char *b64 = json_string_value(json_object_get(row, "value"));
	bool done = false;

	if (b64) {
		gsize len;
		guchar *raw = g_base64_decode(b64, &len);

		done = g_strstr_len((char *)raw, (gssize)len, "done") != NULL;
		g_free(raw);
	}
	hx_response_free(&resp);
	return done;
}

/*
 * An upkeep wave takes one VM at a time while a long-running step with
 * max_unavailable 1 has tasks there, also when the owner is killed midway.
 */
static void test_upkeep_wave(void)
{
	struct hf s;
	struct task_summary sum;
	int64_t end = hx_now_ms() + HF_TIMEOUT_MS;
	int owner;

	start_cluster(&s);
	submit(&s, LONG_RUNNING, "lasts");
	wait_state(&s, 0, 0, "running");
	hf_put_row(&s, "wave/1",
		   "{\"wave\":1,\"machines\":[\"m0\",\"m1\",\"m2\"],"
		   "\"complete_by_s\":5,\"cap\":1}");
	hx_sleep_ms(1500);
	owner = wait_owner(&s);
	hf_kill_vm(&s, owner);
	while (!wave_is_done(&s)) {
		g_assert_cmpint(hx_now_ms(), <, end);
		hx_sleep_ms(100);
	}
	sum = read_platform_log(&s);
	g_assert_cmpint(sum.upkeep_count, ==, 3);
	g_assert_cmpint(sum.concurrent_upkeeps, ==, 0);
	g_assert_cmpint(sum.concurrent_runs, ==, 0);
	hf_stop(&s);
}

#define ODD_ENTRIES 600
#define DEEP 10000

static void put_worker_entry(const struct hf *s, const char *key,
			     const char *value)
{
	json_t *j = json_pack("{s:s,s:s,s:s}", "table", "servers", "key", key,
			      "value", value);
	char *text = json_dumps(j, JSON_COMPACT);

	hf_control(s->platform_port, "/control/row", "%s", text);
	free(text);
	json_decref(j);
}

/* Deeply nested; a number too large; a port out of range; a host name; a key
 * of 200 bytes, with quotes. */
static void put_odd_entries(const struct hf *s)
{
	static const char form[] =
		"{\"service\":\"pool\",\"addr\":\"%s\",\"zone\":\"z1\","
		"\"state\":"
		"\"ready\",\"machine\":\"m9\",\"capacity\":{\"cpu\":64000,"
		"\"mem_mb\":64000,\"gpu\":0},\"labels\":[\"a\",\"r1\"],\"seq\":"
		"%s}";
	g_autofree char *long_key = g_strnfill(199, 'i');
	g_autofree char *quoted_key = g_strconcat(long_key, "\"", NULL);
	g_autofree char *deep = g_strnfill(DEEP, '[');
	char *values[] = {
		g_strdup_printf(form, "127.0.0.1:1", deep),
		g_strdup_printf(form, "127.0.0.1:1", "1e999"),
		g_strdup_printf(form, "127.0.0.1:99999", "1"),
		g_strdup_printf(form, "worker.invalid:80", "1"),
	};

	for (int i = 0; i < ODD_ENTRIES; i++) {
		g_autofree char *key = g_strdup_printf("a-odd-%d", i);

		put_worker_entry(s, key, values[i % G_N_ELEMENTS(values)]);
	}
	put_worker_entry(s, quoted_key, values[0]);
	for (size_t i = 0; i < G_N_ELEMENTS(values); i++)
		g_free(values[i]);
}

/*
 * Guards against LOST, and against processes that end or stop following the
 * list of workers: it has more than a page of odd entries, and the owner is
 * killed.
 */
static void test_odd_entries(void)
{
	struct hf s;
	struct task_summary sum;
	int owner;

	start_cluster(&s);
	put_odd_entries(&s);
	for (int i = 0; i < 2; i++)
		submit(&s, TWO_STEPS, "ms=1500");
	hx_sleep_ms(500);
	owner = wait_owner(&s);
	hf_kill_vm(&s, owner);
	for (int i = 0; i < 2; i++)
		wait_state(&s, (owner + 1) % VMS, i, "done");
	for (int vm = 0; vm < VMS; vm++)
		g_assert_cmpint(vm == owner || hf_is_ready(&s, vm), ==, true);
	sum = read_platform_log(&s);
	g_assert_cmpint(sum.done, ==, 12);
	g_assert_cmpint(sum.concurrent_runs, ==, 0);
	hf_stop(&s);
}

static void expect_final(struct hf *s, const char *body, long status)
{
	struct hx_response resp =
		hf_call(s, NULL, 0, "POST", "/q/00000000000000ff", body);

	g_assert_cmpint(resp.status, ==, status);
	g_assert_false(resp.has_retry_after);
	hx_response_free(&resp);
}

/*
 * Guards against callers that come back in vain: a job that no row can hold was
 * answered 503 with Retry-After. A spec of the longest legal size is accepted.
 */
static void test_too_large(void)
{
	g_autofree char *longest = g_strnfill(JOBSPEC_PAYLOAD_MAX, 'x');
	GString *steps = g_string_new("[");
	g_autofree char *body = NULL;
	GString *escapes = g_string_new("");
	struct hf s;

	start_cluster(&s);
	for (int i = 0; i < JOBSPEC_NAME_MAX - 1; i++)
		g_string_append(escapes, "\\u0001");
	for (int i = 0; i < JOBSPEC_STEPS_MAX; i++)
		g_string_append_printf(steps,
				       "%s{\"count\":1,\"requires\":\"%s\","
				       "\"affinity\":\"%s\","
				       "\"image\":\"%s\"}",
				       i ? "," : "", escapes->str, escapes->str,
				       escapes->str);
	body = g_strdup_printf("{\"spec\":\"x\",\"steps\":%s]}", steps->str);
	expect_final(&s, body, 413);
	g_free(body);
	body = g_strdup_printf("{\"spec\":\"%sx\",\"steps\":" TWO_STEPS "}",
			       longest);
	expect_final(&s, body, 400);
	submit(&s, TWO_STEPS, longest);
	hf_stop(&s);
	g_string_free(steps, TRUE);
	g_string_free(escapes, TRUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fleet/jobs", test_jobs);
	g_test_add_func("/fleet/lost-answers", test_lost_responses);
	g_test_add_func("/fleet/owner-killed", test_owner_killed);
	g_test_add_func("/fleet/planned-stop", test_planned_stop);
	g_test_add_func("/fleet/taken-port", test_port_in_use);
	g_test_add_func("/fleet/comes-back", test_restart_after_conn_closed);
	g_test_add_func("/fleet/restarted-at-once",
			test_restart_with_open_conn);
	g_test_add_func("/fleet/says-why-not-listening",
			test_listen_error_logged);
	g_test_add_func("/fleet/cancel", test_cancel);
	g_test_add_func("/fleet/pending-after-owner-lost",
			test_pending_after_owner_lost);
	g_test_add_func("/fleet/upkeep-wave", test_upkeep_wave);
	g_test_add_func("/fleet/odd-entries", test_odd_entries);
	g_test_add_func("/fleet/too-large", test_too_large);
	http_tests_add();
	keys_tests_add();
	server_tests_add();
	link_tests_add();
	return g_test_run();
}
