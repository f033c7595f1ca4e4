/* Tests of decoding the platform's rows, jobs and settings: valid ones, those
 * of other writers, and invalid ones. */
#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "pf_settings.h"
#include "pf_decode.h"
#include "pf_worker.h"
#include "tests/unit.h"

static void test_job(void)
{
	static const char body[] =
		"{\"spec\":\"s\",\"steps\":[{\"count\":4,\"cpu\":500,"
		"\"mem_mb\":256,\"estimate_ms\":900,\"affinity\":\"r1-3\"},"
		"{\"count\":2,\"cpu\":1,\"after\":[0],\"checkpointed\":true,"
		"\"fills\":true,\"long_running\":true,\"gang\":true,"
		"\"max_per_server\":1,\"goal_ms\":24,\"new\":[1]}],"
		"\"times\":3,\"start_ms\":7,\"interval_ms\":9}";
	struct err e = { 0 };
	struct jobspec *spec = pf_decode_job(NULL, "0123456789abcdef", "q",
					     body, strlen(body), &e);

	g_assert_nonnull(spec);
	g_assert_cmpint(spec->steps[0].tasks, ==, 4);
	g_assert_cmpstr(spec->steps[0].data_rack, ==, "r1-3");
	g_assert_cmpint(spec->steps[0].unavailable_max, ==, -1);
	g_assert_true(spec->steps[1].best_effort);
	g_assert_true(spec->steps[1].is_long_running);
	g_assert_cmpint(spec->steps[1].after[0], ==, 0);
	g_assert_cmpint(spec->steps[1].tail_goal_ms, ==, 24);
	g_assert_cmpint(spec->rounds, ==, 3);
	talloc_free(spec);
}

static void test_bad_jobs(void)
{
	static const char *const bodies[] = {
		"",
		"{",
		"[]",
		"{\"steps\":[]}",
		"{\"steps\":{}}",
		"{\"spec\":\"s\",\"steps\":[{\"count\":0}]}",
		"{\"spec\":\"s\",\"steps\":[{\"count\":-1}]}",
		"{\"spec\":\"s\",\"steps\":[{\"count\":1,\"after\":[0]}]}",
		"{\"spec\":\"s\",\"steps\":[{\"count\":1,\"after\":[-1]}]}",
		"{\"spec\":\"s\",\"steps\":[{\"count\":1,\"cpu\":-5}]}",
		"{\"spec\":\"s\",\"steps\":[{\"count\":1000000000}]}",
		"{\"spec\":\"s\",\"steps\":[7]}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
		struct err e = { 0 };

		g_assert_null(pf_decode_job(NULL, "0", "q", bodies[i],
					    strlen(bodies[i]), &e));
		g_assert_cmpint(e.kind, ==, ERR_RECORD);
	}
}

static struct jobspec *decode_job(const char *step, const char *rest,
				  struct err *e)
{
	g_autofree char *body = g_strdup_printf(
		"{\"spec\":\"s\",\"steps\":[{\"count\":1},{%s}]%s}", step,
		rest);

	return pf_decode_job(NULL, "0123456789abcdef", "q", body, strlen(body),
			     e);
}

/*
 * Guards against accepting a job as a different one: a count of 2^32 + 4 became
 * 4, "cpu" given as the string "500" became 0, an "after" that is a number
 * instead of a list was ignored, and two long labels were truncated to the
 * same.
 */
static void test_job_not_altered(void)
{
	static const char *const steps[] = {
		"\"count\":4294967300",
		"\"count\":1.5",
		"\"count\":1e300",
		"\"count\":1,\"cpu\":\"500\"",
		"\"count\":1,\"cpu\":1e300",
		"\"count\":1,\"mem_mb\":9223372036854775807",
		"\"count\":1,\"estimate_ms\":-1",
		"\"count\":1,\"after\":0",
		"\"count\":1,\"after\":[\"0\"]",
		"\"count\":1,\"after\":[0.5]",
		"\"count\":1,\"after\":[4294967296]",
		"\"count\":1,\"gang\":1",
		"\"count\":1,\"max_per_server\":4294967297",
		"\"count\":1,\"max_unavailable\":-4",
		"\"count\":1,\"requires\":7",
		"\"count\":1,\"requires\":\"0123456789012345678901234567890123"
		"45678901234567890123456789012345678\"",
	};
	static const char *const rests[] = {
		",\"times\":1.5",
		",\"times\":4e18",
		",\"times\":2,\"interval_ms\":\"900\"",
		",\"times\":9000000,\"interval_ms\":4611686018427387904",
		",\"spec\":7",
	};
	struct err e;

	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++)
		g_assert_null(decode_job(steps[i], "", &e));
	for (size_t i = 0; i < G_N_ELEMENTS(rests); i++)
		g_assert_null(decode_job("\"count\":1", rests[i], &e));
}

/* Whole numbers written as reals, fractional sizes and nulls are accepted. */
static void test_job_numbers(void)
{
	struct err e = { 0 };
	struct jobspec *spec =
		decode_job("\"count\":4.0,\"cpu\":0.5,\"estimate_ms\":1e300,"
			   "\"goal_ms\":2.5,\"after\":[0.0],\"image\":null",
			   ",\"times\":3.0,\"start_ms\":1e12", &e);

	g_assert_nonnull(spec);
	g_assert_cmpint(spec->steps[1].tasks, ==, 4);
	g_assert_cmpint(spec->steps[1].cpu_milli, ==, 1);
	g_assert_cmpint(spec->steps[1].expected_ms, ==,
			JOBSPEC_ESTIMATE_MAX_MS);
	g_assert_cmpint(spec->steps[1].tail_goal_ms, ==, 2);
	g_assert_cmpint(spec->steps[1].n_after, ==, 1);
	g_assert_cmpint(spec->rounds, ==, 3);
	talloc_free(spec);
}

/*
 * Guards against memory use by small bodies: one kilobyte with 64 steps of 5000
 * tasks took 20 MB at the shard's owner, and 64 times that once scheduled.
 */
static void test_job_too_large(void)
{
	GString *body = g_string_new("{\"steps\":[");
	struct err e = { 0 };

	for (int i = 0; i < JOBSPEC_STEPS_MAX; i++)
		g_string_append_printf(body, "%s{\"count\":%d}", i ? "," : "",
				       JOBSPEC_TASKS_MAX);
	g_string_append(body, "]}");
	g_assert_null(pf_decode_job(NULL, "0", "q", body->str, body->len, &e));
	g_assert_cmpint(e.kind, ==, ERR_RECORD);
	g_string_free(body, TRUE);
}

static int allocations;

static void *count_malloc(size_t size)
{
	allocations++;
	return malloc(size);
}

/*
 * Guards against parsing what is no job: 1 MB of empty objects took 80 MB and
 * 100 ms of processor time. The largest job is decoded.
 */
static void test_job_cost(void)
{
	static const char *const parts[] = { ",{}", ",1", ",\"a\"",
					     "0000000000000000" };
	struct err e = { 0 };
	GString *body;
	struct jobspec *spec;

	json_set_alloc_funcs(count_malloc, free);
	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
		body = g_string_new("{\"steps\":[0");
		while (body->len < 1000000)
			g_string_append(body, parts[i]);
		g_string_append(body, "]}");
		allocations = 0;
		g_assert_null(pf_decode_job(NULL, "0", "q", body->str,
					    body->len, &e));
		g_assert_cmpint(e.kind, ==, ERR_RECORD);
		g_assert_cmpint(allocations, ==, 0);
		g_string_free(body, TRUE);
	}
	json_set_alloc_funcs(malloc, free);
	body = g_string_new("{\"spec\":\"");
	for (int i = 0; i < 4000; i++)
		g_string_append(body, "\\u0041");
	g_string_append(body, "\",\"steps\":[");
	for (int i = 0; i < JOBSPEC_STEPS_MAX; i++) {
		g_string_append_printf(
			body,
			"%s{\"count\":2,\"cpu\":1000,\"mem_mb\":4096,"
			"\"gpu\":0,\"estimate_ms\":100000,"
			"\"checkpointed\":true,\"gang\":true,"
			"\"colocate\":true,\"speculative\":false,"
			"\"long_running\":false,\"fills\":false,"
			"\"max_per_server\":1,\"max_unavailable\":1,"
			"\"goal_ms\":100,\"requires\":\"%063d\","
			"\"affinity\":\"%063d\",\"image\":\"%063d\","
			"\"after\":[",
			i ? ",\n" : "", i, i, i);
		for (int k = 0; k < i; k++)
			g_string_append_printf(body, "%s%d", k ? ", " : "", k);
		g_string_append(body, "]}");
	}
	g_string_append(body, "]}");
	spec = pf_decode_job(NULL, "0", "q", body->str, body->len, &e);
	g_assert_nonnull(spec);
	g_assert_cmpint(strlen(spec->payload), ==, 4000);
	g_assert_cmpint(spec->steps[63].n_after, ==, 63);
	talloc_free(spec);
	g_string_free(body, TRUE);
}

/*
 * Guards against stored jobs with values out of range: they were read as
 * different jobs, and sums of their estimates overflowed.
 */
static void test_job_rows_in_range(void)
{
	static const char *const steps[] = {
		"{\"tasks\":4294967300}",
		"{\"tasks\":1,\"cpu_milli\":9223372036854775807}",
		"{\"tasks\":1},{\"tasks\":1,\"after\":[4294967296]}",
		"{\"tasks\":1},{\"tasks\":1,\"after\":0}",
		"{\"tasks\":1,\"spread_max\":4294967297}",
	};
	struct err e;

	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		g_autofree char *text = g_strdup_printf(
			"{\"queue\":\"q\",\"payload\":\"\",\"steps\":[%s]}",
			steps[i]);
		json_t *row = json_loads(text, 0, NULL);

		g_assert_nonnull(row);
		g_assert_null(jobspec_unpack(NULL, "0", row, &e));
		json_decref(row);
	}
}

static const char good_worker[] =
	"{\"service\":\"p\",\"addr\":\"10.0.0.1:1\",\"zone\":\"z\","
	"\"state\":\"ready\",\"machine\":\"m-1\",\"born\":5,"
	"\"capacity\":{\"cpu\":16000,\"mem_mb\":32768,\"gpu\":1},"
	"\"labels\":[\"a\",\"r1-3\"],\"seq\":4}";

static void test_worker_row(void)
{
	struct sched_worker_row row;
	struct err e = { 0 };

	g_assert_true(pf_decode_worker("i-1", good_worker, &row, &e));
	g_assert_cmpstr(row.rack, ==, "r1-3");
	g_assert_cmpint(row.total.cpu_milli, ==, 16000);
	g_assert_cmpint(row.born_ms, ==, 5);
	g_assert_false(row.draining);
}

/* Rows of other writers are rejected as workers. */
static void test_foreign_worker_rows(void)
{
	static const char *const rows[] = {
		NULL,
		"",
		"\xff\xfe",
		"7",
		"[]",
		"{}",
		"{\"service\":\"p\",\"state\":\"ready\"}",
		"{\"service\":7,\"addr\":\"10.0.0.1:1\",\"zone\":\"z\","
		"\"state\":\"ready\",\"capacity\":{}}",
		"{\"service\":\"p\",\"addr\":\"10.0.0.1:1\",\"zone\":\"z\","
		"\"state\":\"odd\",\"capacity\":{}}",
		"{\"service\":\"p\",\"addr\":\"10.0.0.1:1\",\"zone\":\"z\","
		"\"state\":\"ready\",\"capacity\":3}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct sched_worker_row row;
		struct err e = { 0 };

		g_assert_false(pf_decode_worker("i-1", rows[i], &row, &e));
		g_assert_cmpint(e.kind, ==, ERR_PROTOCOL);
	}
}

/*
 * Guards against truncated labels, addresses and zones, which may be those of
 * another worker, and against capacities that are out of range or of another
 * type and were read as other numbers or 0.
 */
static void test_worker_not_altered(void)
{
	static const char *const changes[][2] = {
		{ "16000", "1e300" },
		{ "16000", "-1" },
		{ "16000", "9223372036854775807" },
		{ "32768", "\"32768\"" },
		{ "\"r1-3\"", "7" },
		{ "\"r1-3\"", "\"0123456789012345678901234567890123456789012345"
			      "6789012345678901234\"" },
		{ "[\"a\",\"r1-3\"]", "\"a\"" },
		{ "10.0.0.1:1",
		  "0123456789012345678901234567890123456789.0.0.0:12" },
		{ "\"z\"", "\"0123456789012345678901234567890123456789012345678"
			   "901234567890123\"" },
		{ "\"m-1\"", "{}" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(changes); i++) {
		g_auto(GStrv) parts = g_strsplit(good_worker, changes[i][0], 2);
		g_autofree char *text = g_strjoinv(changes[i][1], parts);
		struct sched_worker_row row;
		struct err e = { 0 };

		g_assert_cmpint(g_strv_length(parts), ==, 2);
		g_assert_false(pf_decode_worker("i-1", text, &row, &e));
		g_assert_cmpint(e.kind, ==, ERR_PROTOCOL);
	}
}

static void test_catalog(void)
{
	static const char text[] =
		"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":"
		"\"h.example\",\"prefix\":\"/a/\",\"service\":\"p\",\"prio\":2,"
		"\"attempts\":3,\"slack_factor\":1.5,\"aim_ms\":600},"
		"{\"name\":\"long\",\"host\":\"h.example\",\"prefix\":"
		"\"/a/b/\",\"service\":\"p\",\"advisor\":{\"decide_ms\":1}}],"
		"\"services\":[{\"name\":\"p\",\"enforces_capacity\":true}]}";
	struct err e = { 0 };
	struct catalog *c = pf_decode_catalog(NULL, text, &e);

	g_assert_nonnull(c);
	g_assert_cmpint(c->version, ==, 7);
	g_assert_cmpint(catalog_find_queue(c, "r")->target_factor_milli, ==,
			1500);
	g_assert_true(catalog_find_queue(c, "long")->uses_policy);
	g_assert_cmpstr(catalog_find_route(c, "h.example:80", "/a/b/1")->name,
			==, "long");
	g_assert_cmpstr(catalog_find_route(c, "h.example", "/a/1")->name, ==,
			"r");
	g_assert_null(catalog_find_route(c, "other", "/a/1"));
	g_assert_null(catalog_find_route(c, "h.example", "/b"));
	talloc_free(c);
	g_assert_null(pf_decode_catalog(NULL, "{\"version\":8}", &e));
	g_assert_null(pf_decode_catalog(NULL, NULL, &e));
}

/*
 * Guards against a truncated prefix of 128 bytes or more, which matched other
 * paths too, against 0 attempts, which failed jobs at once, and against
 * undefined casts of numbers out of range.
 */
static void test_catalog_not_cut(void)
{
	g_autofree char *prefix = g_strnfill(CATALOG_PATH_MAX, 'a');
	g_autofree char *text = g_strdup_printf(
		"{\"version\":1e300,\"routes\":[{\"name\":\"cut\",\"host\":"
		"\"h\",\"prefix\":\"%s\",\"prio\":3},{\"name\":\"r\","
		"\"prefix\":"
		"\"/"
		"\",\"attempts\":0,\"slack_factor\":1e300,\"aim_ms\":-1e300}],"
		"\"services\":[{\"name\":7},{\"name\":\"p\"}]}",
		prefix);
	struct err e;
	struct catalog *c = pf_decode_catalog(NULL, text, &e);

	g_assert_nonnull(c);
	g_assert_cmpint(c->n_queues, ==, 1);
	g_assert_cmpint(c->n_pools, ==, 1);
	g_assert_cmpstr(c->queues[0].name, ==, "r");
	g_assert_cmpstr(c->queues[0].host, ==, "");
	g_assert_cmpint(c->queues[0].priority, ==, 0);
	g_assert_cmpint(c->queues[0].attempts, ==, 1);
	g_assert_cmpint(c->queues[0].target_factor_milli, ==, 1000000);
	g_assert_cmpint(c->queues[0].target_offset_ms, ==, 0);
	talloc_free(c);
}

static void test_task_names(void)
{
	struct sched_ref ref;

	g_assert_true(pf_worker_parse_task("5c0e7a21d94b36f8.2.1.17", &ref));
	g_assert_cmpstr(ref.job, ==, "5c0e7a21d94b36f8");
	g_assert_cmpint(ref.round, ==, 2);
	g_assert_cmpint(ref.step, ==, 1);
	g_assert_cmpint(ref.index, ==, 17);
	g_assert_false(pf_worker_parse_task(NULL, &ref));
	g_assert_false(pf_worker_parse_task("", &ref));
	g_assert_false(pf_worker_parse_task(".0.0.0", &ref));
	g_assert_false(pf_worker_parse_task("a.0.0", &ref));
	g_assert_false(pf_worker_parse_task("a.0.0.0x", &ref));
	g_assert_false(
		pf_worker_parse_task("5c0e7a21d94b36f8aaaa.0.0.0", &ref));
}

static bool load_settings(const char *text, struct pf_settings *out,
			  struct err *e)
{
	g_autofree char *path = NULL;
	int fd = g_file_open_tmp("gd-boot-XXXXXX", &path, NULL);
	bool valid;

	g_assert_cmpint(write(fd, text, strlen(text)), ==, strlen(text));
	close(fd);
	valid = pf_settings_load(path, out, e);
	unlink(path);
	return valid;
}

static const char good_settings[] =
	"node=edge-1\nzone=z\nregion=r\nlisten.front=10.0.0.1:8161\n"
	"listen.ready=10.0.0.1:8167\nnew.field=7\n"
	"platform.addr=10.0.0.9:80\nlimits.cpu_share=0.25\n"
	"bounds.grace_s=6\nbounds.cross_rack_factor=1.5\n"
	"bounds.strict_revoke=true\nbounds.revoke_ms=6000\n";

static void test_settings(void)
{
	struct pf_settings b;
	struct err e = { 0 };

	g_assert_true(load_settings(good_settings, &b, &e));
	g_assert_cmpstr(b.fleet.vm, ==, "edge-1");
	g_assert_cmpint(b.front.port, ==, 8161);
	g_assert_cmpint(b.grace_ms, ==, 6000);
	g_assert_cmpint(b.fleet.sched.off_rack_factor_milli, ==, 1500);
	g_assert_cmpint(b.control.port, ==, 0);
	g_assert_true(b.fleet.strict_revoke);
	g_assert_cmpint(b.fleet.revoke_ms, ==, 6000);
	g_assert_cmpint(b.fleet.apply_ms, ==, 4000);
}

/* All errors are reported at once, each with key, value and expected form. */
/* Guards against a limit of bodies that is not the configuration's, or that
 * memory does not allow. */
static void test_body_limit(void)
{
	static const struct {
		const char *limits;
		int64_t want;
	} cases[] = {
		{ "{\"max_body_bytes\":262144}", 262144 },
		{ "{}", 0 },
		{ "{\"max_body_bytes\":\"many\"}", 0 },
		{ "{\"max_body_bytes\":-1}", 0 },
		{ "{\"max_body_bytes\":1e18}", 16 << 20 },
		{ "[]", 0 },
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		g_autofree char *text = g_strdup_printf(
			"{\"version\":1,\"routes\":[],\"services\":[],"
			"\"limits\":%s}",
			cases[i].limits);
		struct err e = { 0 };
		struct catalog *c = pf_decode_catalog(NULL, text, &e);

		g_assert_nonnull(c);
		g_assert_cmpint(c->body_max_bytes, ==, cases[i].want);
		talloc_free(c);
	}
}

static void test_bad_settings(void)
{
	struct pf_settings b;
	struct err e = { 0 };

	g_assert_false(load_settings("zone=z\nregion=r\nlisten.front=nowhere\n"
				     "platform.addr=10.0.0.9:99999\n"
				     "bounds.hold_max_ms=soon\n"
				     "bounds.strict_revoke=yes\n",
				     &b, &e));
	g_assert_cmpint(e.kind, ==, ERR_SETTING);
	g_assert_nonnull(strstr(e.text, "node is missing"));
	g_assert_nonnull(strstr(e.text, "listen.front is nowhere"));
	g_assert_nonnull(strstr(e.text, "platform.addr is 10.0.0.9:99999"));
	g_assert_nonnull(strstr(e.text, "bounds.hold_max_ms is soon"));
	g_assert_nonnull(strstr(e.text, "bounds.strict_revoke is yes"));
	g_assert_false(pf_settings_load("/nonexistent/x", &b, &e));
}

/*
 * Guards against "nan", which passed the range checks and gave an undefined
 * number of descriptors or ms, and against a NUL in the file, after which all
 * settings were left at their defaults.
 */
static void test_settings_no_numbers(void)
{
	static const char *const lines[] = {
		"limits.max_fds=nan",	 "limits.cpu_share=nan",
		"limits.cpu_share=-nan", "bounds.hold_max_ms=inf",
		"bounds.grace_s=1e300",
	};
	g_autofree char *path = NULL;
	int fd = g_file_open_tmp("gd-boot-XXXXXX", &path, NULL);
	struct pf_settings b;
	struct err e;

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		g_autofree char *text = g_strdup_printf(
			"node=n\nzone=z\nregion=r\nlisten.front=10.0.0.1:1\n"
			"platform.addr=10.0.0.9:80\n%s\n",
			lines[i]);

		g_assert_false(load_settings(text, &b, &e));
	}
	g_assert_cmpint(write(fd, good_settings, sizeof(good_settings)), ==,
			sizeof(good_settings));
	close(fd);
	g_assert_true(load_settings(good_settings, &b, &e));
	g_assert_false(pf_settings_load(path, &b, &e));
	unlink(path);
}

/* Packing and unpacking a job's row keeps its contents. */
static void test_job_row(void)
{
	struct jobspec *spec = jobspec_new(NULL, 2);
	struct jobspec *back;
	struct err e = { 0 };
	json_t *row;

	g_strlcpy(spec->id, "0123456789abcdef", sizeof(spec->id));
	g_strlcpy(spec->queue, "q", sizeof(spec->queue));
	spec->payload = talloc_strdup(spec, "p\"\n");
	spec->accepted_ms = 77;
	spec->steps[0].tasks = 3;
	spec->steps[0].expected_ms = 500;
	spec->steps[1].tasks = 1;
	spec->steps[1].expected_ms = 700;
	spec->steps[1].n_after = 1;
	spec->steps[1].unavailable_max = 0;
	spec->steps[1].speculative = true;
	row = jobspec_pack(spec);
	back = jobspec_unpack(NULL, spec->id, row, &e);
	g_assert_nonnull(back);
	g_assert_cmpstr(back->payload, ==, "p\"\n");
	g_assert_cmpint(back->accepted_ms, ==, 77);
	g_assert_cmpint(back->steps[0].unavailable_max, ==, -1);
	g_assert_cmpint(back->steps[1].unavailable_max, ==, 0);
	g_assert_true(back->steps[1].speculative);
	g_assert_cmpint(jobspec_critical_path_ms(back, 0), ==, 1200);
	g_assert_cmpint(jobspec_critical_path_ms(back, 1), ==, 700);
	json_object_del(row, "steps");
	g_assert_null(jobspec_unpack(NULL, spec->id, row, &e));
	g_assert_null(jobspec_unpack(NULL, spec->id, NULL, &e));
	json_decref(row);
	talloc_free(spec);
	talloc_free(back);
}

void unit_add_platform(void)
{
	g_test_add_func("/platform/job", test_job);
	g_test_add_func("/platform/bad-jobs", test_bad_jobs);
	g_test_add_func("/platform/job-not-altered", test_job_not_altered);
	g_test_add_func("/platform/job-numbers", test_job_numbers);
	g_test_add_func("/platform/job-too-large", test_job_too_large);
	g_test_add_func("/platform/job-cost", test_job_cost);
	g_test_add_func("/platform/job-row", test_job_row);
	g_test_add_func("/platform/job-rows-in-range", test_job_rows_in_range);
	g_test_add_func("/platform/worker-row", test_worker_row);
	g_test_add_func("/platform/foreign-rows", test_foreign_worker_rows);
	g_test_add_func("/platform/worker-not-altered",
			test_worker_not_altered);
	g_test_add_func("/platform/catalog", test_catalog);
	g_test_add_func("/platform/catalog-not-cut", test_catalog_not_cut);
	g_test_add_func("/platform/task-names", test_task_names);
	g_test_add_func("/platform/boot", test_settings);
	g_test_add_func("/platform/body-limit", test_body_limit);
	g_test_add_func("/platform/bad-boot", test_bad_settings);
	g_test_add_func("/platform/boot-no-numbers", test_settings_no_numbers);
}
