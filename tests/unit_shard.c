/* Tests of a shard on a simulated clock: starts, ends, recovery, totals. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "state/shard.h"
#include "tests/unit.h"

static struct shard_time time_at(int64_t ms)
{
	return (struct shard_time){ ms, 1000000 + ms };
}

static struct view *make_view(int workers, const char *out)
{
	json_t *rows = json_object();
	json_t *vms = json_array();
	struct view *v;

	for (int i = 0; i < workers; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "w%d", i);
		json_array_append_new(
			vms, json_pack("{s:s,s:s,s:s,s:i,s:s,s:i,s:i}", "id",
				       id, "kind", "worker", "ip", "127.0.0.1",
				       "port", 1, "domain", i ? "b" : "a",
				       "cpu_milli", 8000, "mem_mib", 8000));
	}
	if (out)
		json_object_set_new(rows, "cfg/domain/x",
				    json_pack("{s:{s:i,s:s,s:{s:s},s:{s:s}}}",
					      "rec", "schema", 2, "kind",
					      "domain", "meta", "name", out,
					      "spec", "state", "out"));
	v = view_build(NULL, rows, 1, vms, 1);
	json_decref(rows);
	json_decref(vms);
	return v;
}

static struct shard *make_shard(int64_t epoch, int workers)
{
	struct shard_options opt = { .epoch = epoch,
				     .shards = 1,
				     .worker_lease_ms = 10000,
				     .renew_max_ms = 60000,
				     .start_age_max_ms = 2000,
				     .claim_retention_ms = 3600000,
				     .policy = &place_best_fit };
	struct shard *s = shard_new(&opt);
	struct view *v = make_view(workers, NULL);

	shard_finish_recovery(s, time_at(0));
	shard_set_view(s, v, time_at(0));
	talloc_free(v);
	return s;
}

/* Sends a request to worker `w`, which answers with the JSON list `tasks`.
 * Returns the request. */
static json_t *sync_worker(struct shard *s, int w, const char *tasks,
			   int64_t ms)
{
	json_t *body = shard_sync_request(s, w, true, true);
	json_t *list = json_loads(tasks, 0, NULL);
	json_t *reply =
		json_pack("{s:s,s:I,s:i,s:i,s:o}", "boot", "b", "stamp",
			  (json_int_t)ms, "seq", 1, "load", 0, "tasks", list);

	shard_sync_reply(s, w, reply, time_at(ms));
	json_decref(reply);
	return body;
}

static void sync_all_workers(struct shard *s, int64_t ms)
{
	for (int w = 0; w < shard_worker_count(s); w++)
		json_decref(sync_worker(s, w, "[]", ms));
	shard_tick(s, time_at(ms));
}

static int64_t call(struct shard *s, const char *verb, const char *text,
		    int64_t ms)
{
	json_t *reply;
	bool wait;
	int64_t status = shard_call(s, verb, text, time_at(ms), &reply, &wait);

	json_decref(reply);
	return status;
}

static void submit(struct shard *s, const char *name, int tasks)
{
	char *text = g_strdup_printf(
		"{\"op\":\"op-%s\",\"rec\":{\"schema\":2,\"kind\":\"batch\","
		"\"meta\":{\"name\":\"%s\",\"team\":\"t\"},\"spec\":{\"tasks\":"
		"%d,\"cpu_milli\":4000,\"mem_mib\":100,\"run_ms\":1000}}}",
		name, name, tasks);

	g_assert_cmpint(call(s, "submit", text, 0), ==, 200);
	g_free(text);
}

/* Takes and commits a batch; returns it. */
static json_t *commit(struct shard *s)
{
	bool starts;
	json_t *batch = shard_take_batch(s, &starts);

	g_assert_nonnull(batch);
	shard_batch_committed(s);
	return batch;
}

static size_t count_starts(const json_t *body)
{
	return json_array_size(json_object_get(body, "start"));
}

static void test_start_waits_for_commit(void)
{
	struct shard *s = make_shard(1, 1);
	json_t *body;
	bool starts;

	sync_all_workers(s, 100);
	submit(s, "j", 3);
	shard_place_tasks(s, time_at(100));
	g_assert_cmpint(shard_totals(s)->tasks[SHARD_STARTING], ==, 2);
	json_decref(shard_take_batch(s, &starts));
	g_assert_true(starts);
	body = sync_worker(s, 0, "[]", 200);
	g_assert_cmpint(count_starts(body), ==, 0);
	json_decref(body);
	shard_batch_committed(s);
	body = sync_worker(s, 0, "[]", 300);
	g_assert_cmpint(count_starts(body), ==, 2);
	json_decref(body);
	g_assert_true(shard_totals_consistent(s));
	shard_free(s);
}

static void test_config_moved(void)
{
	struct shard *s = make_shard(1, 1);
	bool starts;

	sync_all_workers(s, 100);
	submit(s, "j", 3);
	shard_place_tasks(s, time_at(100));
	json_decref(shard_take_batch(s, &starts));
	call(s, "withdraw", "{\"op\":\"w\",\"name\":\"j\"}", 110);
	shard_batch_rejected(s);
	/* The starts are undone, so the withdrawal cancels all tasks. */
	g_assert_cmpint(shard_totals(s)->tasks[SHARD_CANCELLED], ==, 3);
	g_assert_cmpint(shard_totals(s)->started, ==, 0);
	json_decref(commit(s));
	g_assert_true(shard_totals_consistent(s));
	shard_free(s);
}

static void test_recovery_is_equal(void)
{
	struct shard *a = make_shard(1, 2);
	struct shard *b = make_shard(2, 2);
	struct shard *c = make_shard(3, 2);
	json_t *batch;
	json_t *state;

	sync_all_workers(a, 100);
	submit(a, "j", 5);
	shard_place_tasks(a, time_at(100));
	batch = commit(a);
	shard_replay(b, batch, 1000100);
	json_decref(batch);
	json_decref(sync_worker(
		a, 0,
		"[{\"t\":\"j/0\",\"a\":1,\"s\":\"done\",\"ms\":1000,"
		"\"ran_ms\":1000}]",
		1200));
	batch = commit(a);
	shard_replay(b, batch, 1001200);
	json_decref(batch);
	state = shard_make_snapshot(a);
	shard_load_snapshot(c, state);
	json_decref(state);
	for (int i = 0; i < SHARD_STATES; i++) {
		int64_t n = shard_totals(a)->tasks[i];

		g_assert_cmpint(shard_totals(b)->tasks[i], ==, n);
		g_assert_cmpint(shard_totals(c)->tasks[i], ==, n);
	}
	g_assert_cmpint(shard_totals(c)->charged_ms, ==, 4000);
	g_assert_true(shard_totals_consistent(b) && shard_totals_consistent(c));
	shard_free(a);
	shard_free(b);
	shard_free(c);
}

/*
 * Guards against restarting a task that still runs. A new owner that can't
 * reach a worker must wait until leases renewed by the previous owner have
 * expired; one that reaches the worker knows at once that the task isn't there.
 */
static void test_unreached_worker(void)
{
	struct shard *a = make_shard(1, 1);
	struct shard *b = make_shard(2, 1);
	struct shard *c = make_shard(2, 1);
	json_t *batch;

	sync_all_workers(a, 100);
	submit(a, "j", 1);
	shard_place_tasks(a, time_at(100));
	batch = commit(a);
	shard_replay(b, batch, 1000100);
	shard_replay(c, batch, 1000100);
	json_decref(batch);
	shard_finish_recovery(b, time_at(1000));
	shard_tick(b, time_at(1000 + 60000 + 10000));
	g_assert_cmpint(shard_totals(b)->lost, ==, 0);
	shard_tick(b, time_at(1000 + 60000 + 10000 + 600));
	g_assert_cmpint(shard_totals(b)->lost, ==, 1);
	shard_finish_recovery(c, time_at(1000));
	json_decref(sync_worker(c, 0, "[]", 1100));
	g_assert_cmpint(shard_totals(c)->lost, ==, 1);
	shard_free(a);
	shard_free(b);
	shard_free(c);
}

static void test_domain_out(void)
{
	struct shard *s = make_shard(1, 2);
	struct view *v = make_view(2, "a");
	json_t *body;

	sync_all_workers(s, 100);
	submit(s, "j", 2);
	shard_place_tasks(s, time_at(100));
	json_decref(commit(s));
	json_decref(sync_worker(s, 0, "[{\"t\":\"j/0\",\"a\":1,\"s\":\"run\"}]",
				150));
	shard_set_view(s, v, time_at(200));
	shard_tick(s, time_at(200));
	body = sync_worker(s, 0, "[]", 250);
	/* All tasks, started or not, are told to checkpoint, none to stop. */
	g_assert_cmpint(count_starts(body), ==, 0);
	g_assert_cmpint(json_array_size(json_object_get(body, "checkpoint")),
			==, 2);
	g_assert_cmpint(json_array_size(json_object_get(body, "stop")), ==, 0);
	json_decref(body);
	json_decref(sync_worker(
		s, 0,
		"[{\"t\":\"j/0\",\"a\":1,\"s\":\"evicted\",\"ms\":400,"
		"\"ran_ms\":400},{\"t\":\"j/1\",\"a\":1,\"s\":\"never\"}]",
		300));
	json_decref(commit(s));
	json_decref(sync_worker(s, 1, "[]", 310));
	shard_tick(s, time_at(310));
	shard_place_tasks(s, time_at(310));
	json_decref(commit(s));
	body = sync_worker(s, 1, "[]", 320);
	g_assert_cmpint(count_starts(body), ==, 2);
	g_assert_cmpint(
		json_integer_value(json_object_get(
			json_array_get(json_object_get(body, "start"), 0),
			"a")),
		==, 2);
	json_decref(body);
	talloc_free(v);
	shard_free(s);
}

static void test_claims(void)
{
	struct shard *s = make_shard(1, 0);
	static const char first[] = "{\"id\":\"r\",\"token\":\"a\"}";
	static const char other[] = "{\"id\":\"r\",\"token\":\"b\"}";

	g_assert_cmpint(call(s, "claim", first, 0), ==, 200);
	g_assert_cmpint(call(s, "claim", first, 0), ==, 200);
	g_assert_cmpint(call(s, "claim", other, 0), ==, 409);
	/* A release with another token has no effect. */
	call(s, "release", other, 0);
	g_assert_cmpint(call(s, "claim", other, 0), ==, 409);
	call(s, "release", first, 0);
	g_assert_cmpint(call(s, "claim", other, 0), ==, 200);
	/* A late repeat of the release does not free the new claim. */
	call(s, "release", first, 0);
	g_assert_cmpint(call(s, "claim", first, 0), ==, 409);
	shard_free(s);
}

static void test_operations(void)
{
	struct shard *s = make_shard(1, 1);
	static const char too_big[] =
		"{\"op\":\"o\",\"rec\":{\"schema\":2,\"kind\":\"batch\","
		"\"meta\":{\"name\":\"big\",\"team\":\"t\"},\"spec\":{"
		"\"cpu_milli\":9000,\"mem_mib\":1,\"run_ms\":1}}}";

	submit(s, "j", 1);
	submit(s, "j", 1);
	g_assert_cmpint(shard_totals(s)->accepted, ==, 1);
	g_assert_cmpint(call(s, "submit", too_big, 0), ==, 400);
	g_assert_cmpint(call(s, "withdraw", "{\"op\":\"w\",\"name\":\"j\"}", 0),
			==, 200);
	g_assert_cmpint(call(s, "withdraw", "{\"op\":\"w\",\"name\":\"j\"}", 0),
			==, 200);
	g_assert_cmpint(call(s, "withdraw", "{\"op\":\"x\",\"name\":\"j\"}", 0),
			==, 404);
	g_assert_true(shard_totals_consistent(s));
	shard_free(s);
}

static void test_failures_end(void)
{
	struct shard *s = make_shard(1, 2);

	sync_all_workers(s, 100);
	submit(s, "j", 1);
	for (int a = 1; a <= 5; a++) {
		char tasks[96];

		shard_place_tasks(s, time_at(100 + a));
		json_decref(commit(s));
		g_snprintf(tasks, sizeof(tasks),
			   "[{\"t\":\"j/0\",\"a\":%d,\"s\":\"fail\"}]", a);
		/* The report counts only from the worker that has the task. */
		json_decref(sync_worker(s, 0, tasks, 100 + a));
		json_decref(sync_worker(s, 1, tasks, 100 + a));
		shard_tick(s, time_at(100 + a));
	}
	g_assert_cmpint(shard_totals(s)->tasks[SHARD_FAILED], ==, 1);
	g_assert_cmpint(shard_totals(s)->failed_attempts, ==, 5);
	shard_free(s);
}

void unit_add_shard(void)
{
	g_test_add_func("/shard/start-waits", test_start_waits_for_commit);
	g_test_add_func("/shard/config-moved", test_config_moved);
	g_test_add_func("/shard/recovery", test_recovery_is_equal);
	g_test_add_func("/shard/unreached-worker", test_unreached_worker);
	g_test_add_func("/shard/domain-out", test_domain_out);
	g_test_add_func("/shard/claims", test_claims);
	g_test_add_func("/shard/operations", test_operations);
	g_test_add_func("/shard/failures-end", test_failures_end);
}
