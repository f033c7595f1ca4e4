/* gd-fleet as real processes against the platform's stand-in. */
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/harness.h"

#define VMS 3
#define WORKERS "4"
/* Far beyond what anything here takes on a busy machine, in ms. */
#define PATIENCE_MS 60000
#define CALL_MS 5000

struct site {
	const char *bin;
	char dir[64];
	pid_t platform;
	pid_t vms[VMS];
	int platform_port;
	int ports; /* of a VM: door, ready, control */
	int jobs;
};

static void write_settings(const struct site *s, int vm)
{
	char path[128];
	int port = s->ports + vm * 3;
	FILE *f;

	snprintf(path, sizeof(path), "%s/vm%d.conf", s->dir, vm);
	f = fopen(path, "w");
	fprintf(f,
		"node=vm%d\nzone=z%d\nregion=r\n"
		"listen.front=127.0.0.1:%d\nlisten.ready=127.0.0.1:%d\n"
		"listen.control=127.0.0.1:%d\nplatform.addr=127.0.0.1:%d\n"
		"cloud.addr=127.0.0.1:%d\nadvisor=\nbounds.grace_s=6\n"
		"bounds.lease_ms=500\n",
		vm, vm, port, port + 1, port + 2, s->platform_port,
		s->platform_port);
	fclose(f);
}

static void start_vm(struct site *s, int vm)
{
	char path[128];
	char log[32];
	char *argv[] = { "gd-fleet", path, NULL };

	snprintf(path, sizeof(path), "%s/vm%d.conf", s->dir, vm);
	snprintf(log, sizeof(log), "vm%d.log", vm);
	s->vms[vm] = hx_run(s->bin, s->dir, log, argv);
}

static struct hx_answer platform(const struct site *s, const char *path,
				 const char *body)
{
	char url[128];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d%s", s->platform_port,
		 path);
	return hx_http(body ? "POST" : "GET", url, NULL, body, CALL_MS);
}

static void put_row(const struct site *s, const char *key, const char *value)
{
	json_t *j = json_pack("{s:s,s:s,s:s}", "table", "op", "key", key,
			      "value", value);
	char *text = json_dumps(j, JSON_COMPACT);
	struct hx_answer a = platform(s, "/control/row", text);

	g_assert_cmpint(a.status, ==, 200);
	hx_answer_free(&a);
	free(text);
	json_decref(j);
}

static void lose(const struct site *s, int answers, int calls)
{
	char body[96];
	struct hx_answer a;

	snprintf(body, sizeof(body), "{\"lose_answers\":%d,\"lose_calls\":%d}",
		 answers, calls);
	a = platform(s, "/control/fault", body);
	g_assert_cmpint(a.status, ==, 200);
	hx_answer_free(&a);
}

static struct hx_answer call(const struct site *s, int vm, const char *method,
			     const char *path, const char *body)
{
	const char *headers[] = { "Host: jobs.example", "Deadline-Ms: 4000",
				  "Content-Type: application/json", NULL };
	char url[160];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d%s", s->ports + vm * 3,
		 path);
	return hx_http(method, url, headers, body, CALL_MS);
}

static bool is_ready(const struct site *s, int vm)
{
	char url[128];
	struct hx_answer a;
	bool ready;

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/v1/readyz",
		 s->ports + vm * 3 + 1);
	a = hx_http("GET", url, NULL, NULL, CALL_MS);
	ready = a.status == 200;
	hx_answer_free(&a);
	return ready;
}

static void wait_ready(const struct site *s, int vm)
{
	int64_t end = hx_now_ms() + PATIENCE_MS;

	while (!is_ready(s, vm)) {
		g_assert_cmpint(hx_now_ms(), <, end);
		hx_sleep_ms(20);
	}
}

static void site_open(struct site *s)
{
	char port[16];
	char *argv[] = { "gd-site", port, WORKERS, NULL };
	struct hx_answer a;

	memset(s, 0, sizeof(*s));
	s->bin = getenv("GD_BIN") ? getenv("GD_BIN") : "build";
	g_strlcpy(s->dir, "/tmp/gd-fleet-XXXXXX", sizeof(s->dir));
	g_assert_nonnull(mkdtemp(s->dir));
	s->platform_port = hx_free_ports(1);
	s->ports = hx_free_ports(VMS * 3);
	snprintf(port, sizeof(port), "%d", s->platform_port);
	s->platform = hx_run(s->bin, s->dir, "site.log", argv);
	do {
		hx_sleep_ms(20);
		a = platform(s, "/v1/machines", NULL);
		hx_answer_free(&a);
	} while (a.status != 200);
	put_row(s, "config",
		"{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":"
		"\"jobs.example\",\"prefix\":\"/q/\",\"service\":\"pool\","
		"\"prio\":0,\"attempts\":3,\"slack_factor\":2,\"aim_ms\":600,"
		"\"timeout_ms\":3000,\"kind\":\"mutating\"}],"
		"\"services\":[{\"name\":\"pool\","
		"\"enforces_capacity\":true}],\"limits\":{}}");
	for (int i = 0; i < VMS; i++) {
		write_settings(s, i);
		start_vm(s, i);
	}
	for (int i = 0; i < VMS; i++)
		wait_ready(s, i);
}

static void site_close(struct site *s)
{
	for (int i = 0; i < VMS; i++) {
		hx_signal_pid(s->vms[i], SIGKILL);
		if (s->vms[i] > 0)
			waitpid(s->vms[i], NULL, 0);
	}
	hx_signal_pid(s->platform, SIGKILL);
	waitpid(s->platform, NULL, 0);
}

/* Hands a job in until it is accepted, by one VM after another. */
static int submit(struct site *s, const char *steps, const char *text)
{
	int job = s->jobs++;
	char path[64];
	char *body =
		g_strdup_printf("{\"spec\":\"%s\",\"steps\":%s}", text, steps);
	int64_t end = hx_now_ms() + PATIENCE_MS;
	long status;

	snprintf(path, sizeof(path), "/q/%016x", job + 1);
	for (int vm = job;; vm++) {
		struct hx_answer a = call(s, vm % VMS, "POST", path, body);

		status = a.status;
		hx_answer_free(&a);
		if (status == 200)
			break;
		/* Refused, unsure, or nobody there: the same id again. */
		g_assert_true(status == 503 || status == 504 || status == 0);
		g_assert_cmpint(hx_now_ms(), <, end);
		hx_sleep_ms(100);
	}
	g_free(body);
	return job;
}

static char *state_of(const struct site *s, int vm, int job)
{
	char path[64];
	struct hx_answer a;
	char *state;

	snprintf(path, sizeof(path), "/q/%016x", job + 1);
	a = call(s, vm, "GET", path, NULL);
	state = g_strdup(json_string_value(json_object_get(a.json, "state"))
				 ?: "");
	hx_answer_free(&a);
	return state;
}

static void wait_state(const struct site *s, int vm, int job, const char *want)
{
	int64_t end = hx_now_ms() + PATIENCE_MS;

	for (;;) {
		g_autofree char *state = state_of(s, vm, job);

		if (!strcmp(state, want))
			return;
		g_assert_cmpint(hx_now_ms(), <, end);
		hx_sleep_ms(50);
	}
}

/* What happened to tasks, from the platform's own log. */
struct seen {
	int starts;
	int done;
	int twice; /* two runs at once, or one after the task was done */
	int upkeeps;
	int upkeeps_at_once;
};

static struct seen read_seen(const struct site *s)
{
	GHashTable *running =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTable *over =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	struct seen out = { 0 };
	long long last_upkeep = 0;
	char path[128];
	char line[256];
	FILE *f;

	snprintf(path, sizeof(path), "%s/site.log", s->dir);
	f = fopen(path, "r");
	while (f && fgets(line, sizeof(line), f)) {
		long long at;
		long long number;
		char what[16];
		char worker[48];
		char task[64];

		if (sscanf(line, "%lld %15s %47s %63s %lld", &at, what, worker,
			   task, &number) != 5)
			continue;
		if (!strcmp(what, "upkeep")) {
			out.upkeeps++;
			/* Down for 300 ms, see the stand-in. */
			out.upkeeps_at_once +=
				last_upkeep && at - last_upkeep < 300;
			last_upkeep = at;
		} else if (!strcmp(what, "start")) {
			out.starts++;
			out.twice += g_hash_table_contains(running, task) ||
				     g_hash_table_contains(over, task);
			g_hash_table_add(running, g_strdup(task));
		} else {
			out.done += !strcmp(what, "done");
			g_hash_table_remove(running, task);
			if (!strcmp(what, "done"))
				g_hash_table_add(over, g_strdup(task));
		}
	}
	if (f)
		fclose(f);
	g_hash_table_destroy(running);
	g_hash_table_destroy(over);
	return out;
}

#define TWO_STEPS                                                              \
	"[{\"count\":3,\"cpu\":1000,\"mem_mb\":100,\"estimate_ms\":100},"      \
	"{\"count\":3,\"cpu\":1000,\"mem_mb\":100,\"estimate_ms\":100,"        \
	"\"after\":[0]}]"
#define LASTING                                                                \
	"[{\"count\":4,\"cpu\":2000,\"mem_mb\":100,\"estimate_ms\":100,"       \
	"\"long_running\":true,\"max_unavailable\":1}]"

static void wait_all(struct site *s, int jobs)
{
	for (int i = 0; i < jobs; i++)
		wait_state(s, i % VMS, i, "done");
}

/* Jobs are done, each task once, whoever took them in. */
static void test_jobs(void)
{
	struct site s;
	struct seen seen;

	site_open(&s);
	for (int i = 0; i < 6; i++)
		submit(&s, TWO_STEPS, "ms=50");
	/* The same id again stays one job. */
	s.jobs = 0;
	submit(&s, TWO_STEPS, "ms=50");
	wait_all(&s, 6);
	seen = read_seen(&s);
	g_assert_cmpint(seen.done, ==, 36);
	g_assert_cmpint(seen.starts, ==, 36);
	g_assert_cmpint(seen.twice, ==, 0);
	site_close(&s);
}

/* Answers and calls of the store are lost; nothing is, and nothing is twice. */
static void test_lost_answers(void)
{
	struct site s;
	struct seen seen;

	site_open(&s);
	for (int i = 0; i < 6; i++) {
		lose(&s, 2, i % 2);
		submit(&s, TWO_STEPS, "ms=50");
	}
	wait_all(&s, 6);
	seen = read_seen(&s);
	g_assert_cmpint(seen.done, ==, 36);
	g_assert_cmpint(seen.twice, ==, 0);
	site_close(&s);
}

/* Which VM's log says last that it gained the shard? -1: none yet. */
static int logged_owner(const struct site *s)
{
	int best = -1;
	long best_epoch = 0;

	for (int i = 0; i < VMS; i++) {
		char path[128];
		char *text = NULL;
		char *at;

		snprintf(path, sizeof(path), "%s/vm%d.log", s->dir, i);
		g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
		for (at = text; (at = strstr(at, "event=GD3001")); at++) {
			long epoch = atol(strstr(at, "epoch=") + 6);

			if (epoch > best_epoch) {
				best_epoch = epoch;
				best = i;
			}
		}
		g_free(text);
	}
	return best;
}

/* Logs are written in turns of the loop, so the line may come a little later.
 */
static int owner_of(const struct site *s)
{
	int64_t end = hx_now_ms() + PATIENCE_MS;
	int owner;

	while ((owner = logged_owner(s)) < 0) {
		g_assert_cmpint(hx_now_ms(), <, end);
		hx_sleep_ms(50);
	}
	return owner;
}

/* The owner is killed while tasks run; its successor adopts them. */
static void test_owner_killed(void)
{
	struct site s;
	struct seen seen;
	int owner;

	site_open(&s);
	for (int i = 0; i < 4; i++)
		submit(&s, TWO_STEPS, "ms=1500");
	hx_sleep_ms(500);
	owner = owner_of(&s);
	hx_signal_pid(s.vms[owner], SIGKILL);
	waitpid(s.vms[owner], NULL, 0);
	s.vms[owner] = 0;
	for (int i = 0; i < 4; i++)
		wait_state(&s, (owner + 1) % VMS, i, "done");
	seen = read_seen(&s);
	g_assert_cmpint(seen.done, ==, 24);
	g_assert_cmpint(seen.twice, ==, 0);
	g_assert_cmpint(owner_of(&s), !=, owner);
	site_close(&s);
}

/* Asks a VM's readiness on a connection that stays open. */
static int ask_and_stay(const struct site *s, int vm)
{
	static const char text[] = "GET /v1/readyz HTTP/1.1\r\nHost: a\r\n\r\n";
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons(
					  (uint16_t)(s->ports + vm * 3 + 1)) };
	char answer[1024];
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, "127.0.0.1", &sa.sin_addr);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	g_assert_cmpint(write(fd, text, sizeof(text) - 1), >, 0);
	g_assert_cmpint(read(fd, answer, sizeof(answer)), >, 0);
	return fd;
}

/* Guards against a port that is taken by connections of the former life. */
static void test_comes_back(void)
{
	struct site s;
	int caller;

	site_open(&s);
	caller = ask_and_stay(&s, 0);
	hx_signal_pid(s.vms[0], SIGKILL);
	waitpid(s.vms[0], NULL, 0);
	/* The end that closed first keeps the connection for a minute. */
	close(caller);
	start_vm(&s, 0);
	wait_ready(&s, 0);
	site_close(&s);
}

/* Guards against an end whose reason stays in the log's buffer. */
static void test_taken_port(void)
{
	struct site s;
	char path[128];
	gchar *log = NULL;
	pid_t first;
	int status = 0;

	site_open(&s);
	snprintf(path, sizeof(path), "%s/vm0.log", s.dir);
	/* A second one while the first still holds the ports. */
	first = s.vms[0];
	start_vm(&s, 0);
	waitpid(s.vms[0], &status, 0);
	s.vms[0] = first;
	g_assert_true(WIFEXITED(status));
	g_assert_cmpint(WEXITSTATUS(status), ==, 1);
	g_assert_true(g_file_get_contents(path, &log, NULL, NULL));
	g_assert_nonnull(strstr(log, "event=GD1005"));
	g_free(log);
	site_close(&s);
}

/* A planned stop of the owner: it ends by itself, and nothing waits. */
static void test_planned_stop(void)
{
	struct site s;
	struct seen seen;
	int status = -1;
	int owner;

	site_open(&s);
	for (int i = 0; i < 4; i++)
		submit(&s, TWO_STEPS, "ms=300");
	owner = owner_of(&s);
	hx_signal_pid(s.vms[owner], SIGTERM);
	waitpid(s.vms[owner], &status, 0);
	s.vms[owner] = 0;
	g_assert_true(WIFEXITED(status));
	g_assert_cmpint(WEXITSTATUS(status), ==, 0);
	for (int i = 0; i < 4; i++)
		wait_state(&s, (owner + 1) % VMS, i, "done");
	seen = read_seen(&s);
	g_assert_cmpint(seen.done, ==, 24);
	g_assert_cmpint(seen.twice, ==, 0);
	site_close(&s);
}

/* A cancelled job stops, and stays cancelled. */
static void test_cancel(void)
{
	struct site s;
	struct hx_answer a;
	int job;

	site_open(&s);
	job = submit(&s, LASTING, "lasts");
	wait_state(&s, 0, job, "running");
	a = call(&s, 1, "DELETE", "/q/0000000000000001", NULL);
	g_assert_cmpint(a.status, ==, 200);
	hx_answer_free(&a);
	wait_state(&s, 2, job, "canceled");
	a = call(&s, 1, "GET", "/q/00000000000000ff", NULL);
	g_assert_cmpint(a.status, ==, 410);
	hx_answer_free(&a);
	a = call(&s, 1, "GET", "/other/", NULL);
	g_assert_cmpint(a.status, ==, 404);
	hx_answer_free(&a);
	site_close(&s);
}

static bool wave_is_done(const struct site *s)
{
	struct hx_answer a =
		platform(s, "/v1/rows-get?table=status&part=", NULL);
	json_t *row = json_array_get(json_object_get(a.json, "rows"), 0);
	const char *b64 = json_string_value(json_object_get(row, "value"));
	bool done = false;

	if (b64) {
		gsize len;
		guchar *raw = g_base64_decode(b64, &len);

		done = g_strstr_len((char *)raw, (gssize)len, "done") != NULL;
		g_free(raw);
	}
	hx_answer_free(&a);
	return done;
}

/* A wave of upkeep, one VM at a time, while a step that can spare one task has
 * its tasks on these VMs; the owner is killed on the way. */
static void test_upkeep_wave(void)
{
	struct site s;
	struct seen seen;
	int64_t end = hx_now_ms() + PATIENCE_MS;
	int owner;

	site_open(&s);
	submit(&s, LASTING, "lasts");
	wait_state(&s, 0, 0, "running");
	put_row(&s, "wave/1",
		"{\"wave\":1,\"machines\":[\"m0\",\"m1\",\"m2\"],"
		"\"complete_by_s\":5,\"cap\":1}");
	hx_sleep_ms(1500);
	owner = owner_of(&s);
	hx_signal_pid(s.vms[owner], SIGKILL);
	waitpid(s.vms[owner], NULL, 0);
	s.vms[owner] = 0;
	while (!wave_is_done(&s)) {
		g_assert_cmpint(hx_now_ms(), <, end);
		hx_sleep_ms(100);
	}
	seen = read_seen(&s);
	g_assert_cmpint(seen.upkeeps, ==, 3);
	g_assert_cmpint(seen.upkeeps_at_once, ==, 0);
	g_assert_cmpint(seen.twice, ==, 0);
	site_close(&s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fleet/jobs", test_jobs);
	g_test_add_func("/fleet/lost-answers", test_lost_answers);
	g_test_add_func("/fleet/owner-killed", test_owner_killed);
	g_test_add_func("/fleet/taken-port", test_taken_port);
	g_test_add_func("/fleet/comes-back", test_comes_back);
	g_test_add_func("/fleet/planned-stop", test_planned_stop);
	g_test_add_func("/fleet/cancel", test_cancel);
	g_test_add_func("/fleet/upkeep-wave", test_upkeep_wave);
	return g_test_run();
}
