/* Tests of invalid answers of the platform: none is read as a different one. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "pf_rows.h"
#include "pf_worker.h"
#include "tests/fuzz.h"
#include "tests/sched_fixture.h"
#include "tests/unit.h"

static void ignore_clock(int64_t now_ms, void *priv)
{
	(void)now_ms;
	(void)priv;
}

static void copy_result(const struct rows_answer *ans, void *priv)
{
	*(enum rows_result *)priv = ans->result;
}

static enum rows_result decode_read(const char *text)
{
	static const struct pf_rows_ops ops = { ignore_clock };
	struct rows_range range = { .table = "t", .part = "" };
	struct pf_rows *p =
		pf_rows_start(NULL, NULL, &clk_system, "", &ops, NULL);
	struct rows rows = pf_rows_iface(p);
	enum rows_result res = ROWS_COMPACTED;

	rows.ops->read(rows.self, &range, copy_result, &res);
	fuzz_respond(text, strlen(text));
	talloc_free(p);
	return res;
}

/*
 * Guards against invalid answers to a read, or rows without keys, that were
 * read as an empty part of the store: its jobs would be reported as absent.
 */
static void test_read_without_rows(void)
{
	static const char *const broken[] = {
		"",
		"{}",
		"[]",
		"7",
		"{\"rows\":[]}",
		"{\"rows\":{},\"ver\":1}",
		"{\"rows\":[7],\"ver\":1}",
		"{\"rows\":[{\"ver\":1}],\"ver\":1}",
	};

	g_assert_cmpint(decode_read("{\"rows\":[],\"ver\":1}"), ==, ROWS_OK);
	g_assert_cmpint(decode_read("{\"ver\":1}"), ==, ROWS_OK);
	g_assert_cmpint(decode_read("{\"rows\":[{\"key\":\"\"}],\"ver\":1}"),
			==, ROWS_OK);
	for (size_t i = 0; i < G_N_ELEMENTS(broken); i++)
		g_assert_cmpint(decode_read(broken[i]), ==, ROWS_UNKNOWN);
}

struct read_result {
	enum rows_result res;
	int32_t n;
	bool has_good;
	bool has_cut;
};

static void copy_rows(const struct rows_answer *ans, void *priv)
{
	struct read_result *r = priv;

	r->res = ans->result;
	r->n = ans->n;
	for (int32_t i = 0; i < ans->n; i++) {
		r->has_good |=
			!strcmp(ans->rows[i].key, "good") && ans->rows[i].value;
		r->has_cut |= !strcmp(ans->rows[i].key, "cut");
	}
}

/*
 * Guards against LOST and processes that stop following a table: a key with a
 * NUL made the page, or all changes after it, unreadable for good. Cut at the
 * NUL, it would be the key of another row.
 */
static void test_key_with_nul(void)
{
	static const char text[] =
		"{\"rows\":[{\"key\":\"cut\\u0000x\",\"ver\":1,\"value\":"
		"\"e30=\"},{\"key\":\"good\",\"ver\":2,\"value\":\"e30=\"}],"
		"\"ver\":2}";
	static const struct pf_rows_ops ops = { ignore_clock };
	struct rows_range range = { .table = "t", .part = "" };
	struct pf_rows *p =
		pf_rows_start(NULL, NULL, &clk_system, "", &ops, NULL);
	struct rows rows = pf_rows_iface(p);
	struct read_result got = { ROWS_COMPACTED, 0, false, false };

	rows.ops->read(rows.self, &range, copy_rows, &got);
	fuzz_respond(text, strlen(text));
	talloc_free(p);
	g_assert_cmpint(got.res, ==, ROWS_OK);
	/* A page without rows would count as the last one. */
	g_assert_cmpint(got.n, ==, 2);
	g_assert_true(got.has_good);
	g_assert_false(got.has_cut);
}

struct poll_result {
	bool valid;
	int32_t n_active;
	struct sched_active active;
};

static void copy_report(const struct sched_report *report, void *priv)
{
	struct poll_result *l = priv;

	l->valid = report;
	l->n_active = report ? report->n_active : 0;
	if (l->n_active)
		l->active = report->active[0];
}

static struct poll_result decode_report(const char *clock, const char *active,
					const char *ends)
{
	g_autofree char *text = g_strdup_printf(
		"{\"clock_ms\":%s,\"active\":[%s],\"finished\":[%s]}", clock,
		active, ends);
	struct wkr_target to = { .id = "w", .address = "" };
	struct pf_worker *p = pf_worker_start(NULL, NULL, "");
	struct wkr wkr = pf_worker_iface(p);
	struct poll_result l = { 0 };

	wkr.ops->poll(wkr.self, &to, 0, 0, copy_report, &l);
	fuzz_respond(text, strlen(text));
	talloc_free(p);
	return l;
}

/*
 * Guards against numbers of runs and tasks beyond 32 bits, which were read as
 * those of others, and against a clock beyond 64 bits, which made all later
 * status polls of the worker look old.
 */
static void test_report_numbers(void)
{
	static const char *const active[] = {
		"[\"a.0.0.4294967296\",1,\"\",0]",
		"[\"a.0.0.00\",1,\"\",0]",
		"[\"a.0.0.-1\",1,\"\",0]",
		"[\"a.+1.0.0\",1,\"\",0]",
		"[\"a.0.0.0\",4294967297,\"\",0]",
		"[\"a.0.0.0\",2147483647,\"\",0]",
		"[\"a.0.0.0\",1.5,\"\",0]",
	};
	static const char *const ends[] = {
		"[1e300,\"a.0.0.0\",1,\"done\",\"\"]",
		"[\"1\",\"a.0.0.0\",1,\"done\",\"\"]",
		"[1,\"a.0.0.0\",4294967297,\"done\",\"\"]",
	};

	g_assert_true(decode_report("5", "[\"a.0.0.0\",1,\"\",0]", "").valid);
	g_assert_false(decode_report("1e300", "", "").valid);
	g_assert_false(decode_report("-5", "", "").valid);
	for (size_t i = 0; i < G_N_ELEMENTS(active); i++)
		g_assert_false(decode_report("5", active[i], "").valid);
	for (size_t i = 0; i < G_N_ELEMENTS(ends); i++)
		g_assert_false(decode_report("5", "", ends[i]).valid);
}

/* Guards against undefined casts of gauges beyond 64 bits. */
static void test_report_gauges(void)
{
	struct poll_result l =
		decode_report("5", "[\"a.0.0.0\",1,\"\",1e300,-1e300]", "");

	g_assert_true(l.valid);
	g_assert_cmpint(l.active.percent, ==, 100);
	g_assert_cmpint(l.active.gauge, ==, 0);
}

/* Guards against truncating a long checkpoint, from which the next start would
 * have resumed. */
static void test_checkpoint_not_cut(void)
{
	g_autofree char *saved = g_strnfill(SCHED_CHECKPOINT_MAX, 'c');
	g_autofree char *row =
		g_strdup_printf("[\"a.0.0.0\",1,\"%s\",0]", saved);
	struct poll_result l = decode_report("5", row, "");

	g_assert_true(l.valid);
	g_assert_cmpstr(l.active.checkpoint, ==, "");
	saved[SCHED_CHECKPOINT_MAX - 1] = '\0';
	g_free(row);
	row = g_strdup_printf("[\"a.0.0.0\",1,\"%s\",0]", saved);
	l = decode_report("5", row, "");
	g_assert_cmpstr(l.active.checkpoint, ==, saved);
}

struct advice_result {
	int32_t n;
	int64_t valid_ms;
};

static void copy_advice(const char *const *ids, const char *const *tickets,
			int32_t n, int64_t valid_ms, void *priv)
{
	struct advice_result *a = priv;

	(void)ids;
	(void)tickets;
	a->n = n;
	a->valid_ms = valid_ms;
}

/* Guards against truncated tickets and an overflow of the end of their
 * validity. */
static void test_advice(void)
{
	g_autofree char *ticket = g_strnfill(SCHED_TICKET_MAX, 't');
	g_autofree char *text =
		g_strdup_printf("{\"allowed\":[[\"w\",\"%s\"],[\"v\",\"t\"]],"
				"\"valid_ms\":9223372036854775807}",
				ticket);
	struct sched_ref ref = { .job = "a" };
	struct pf_worker *p = pf_worker_start(NULL, NULL, "");
	struct wkr wkr = pf_worker_iface(p);
	struct advice_result a = { 0 };

	wkr.ops->advise(wkr.self, &ref, NULL, 0, copy_advice, &a);
	fuzz_respond(text, strlen(text));
	g_assert_cmpint(a.n, ==, 1);
	g_assert_cmpint(a.valid_ms, <, INT64_MAX / 1000);
	talloc_free(p);
}

/* Adds the job of a previous owner with this stored progress. */
static struct sched_job *add_restored_job(struct sched_fixture *p,
					  const char *progress)
{
	struct jobspec *spec = fixture_spec("a", "short", 1, 2);
	json_t *j = json_loads(progress, 0, NULL);
	struct sched_job *job;

	g_assert_nonnull(j);
	spec->rounds = 3;
	spec->interval_ms = 900;
	fixture_open(p, 2, NULL);
	job = sched_job_add(&p->s, spec, j, 1, true, 0, 0);
	json_decref(j);
	return job;
}

/*
 * Guards against a progress row with numbers out of range, which overflowed
 * sums, and against one that repeats rounds, which took memory for each.
 */
static void test_progress_in_range(void)
{
	struct sched_job *job;
	struct sched_fixture p;

	job = add_restored_job(
		&p, "{\"rounds\":[[0,[[\"0\",[[0,2147483647,[],\"\"]]]]]"
		    ",[0,[]],[4611686018427387904,[]],[7,[]],[2,[]]],"
		    "\"next_round\":-9223372036854775808,"
		    "\"rounds_done\":9223372036854775807}");
	g_assert_cmpint(job->rounds->steps[0].tasks[0].last_ended_run, ==, 0);
	g_assert_cmpint(job->rounds->number, ==, 0);
	g_assert_cmpint(job->rounds->next->number, ==, 2);
	g_assert_null(job->rounds->next->next);
	g_assert_cmpint(job->next_round, ==, 3);
	g_assert_cmpint(job->rounds_done, ==, 3);
	fixture_close(&p);
}

void unit_add_answers(void)
{
	g_test_add_func("/answers/progress-in-range", test_progress_in_range);
	g_test_add_func("/answers/look-numbers", test_report_numbers);
	g_test_add_func("/answers/look-gauges", test_report_gauges);
	g_test_add_func("/answers/checkpoint-not-cut", test_checkpoint_not_cut);
	g_test_add_func("/answers/advice", test_advice);
	g_test_add_func("/answers/read-without-rows", test_read_without_rows);
	g_test_add_func("/answers/key-with-nul", test_key_with_nul);
}
