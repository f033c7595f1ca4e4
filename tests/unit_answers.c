/* Answers of the platform that are broken: none is taken for another. */
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

static enum rows_result read_answered(const char *text)
{
	static const struct pf_rows_ops ops = { ignore_clock };
	struct rows_range range = { .table = "t", .part = "" };
	struct pf_rows *p =
		pf_rows_start(NULL, NULL, &clk_system, "", &ops, NULL);
	struct rows rows = pf_rows_table(p);
	enum rows_result res = ROWS_GONE;

	rows.ops->read(rows.self, &range, copy_result, &res);
	fuzz_respond(text, strlen(text));
	talloc_free(p);
	return res;
}

/*
 * Failure: an answer to a read that was none, or listed rows without keys, was
 * taken for an empty part of the store: jobs there would be told as absent.
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

	g_assert_cmpint(read_answered("{\"rows\":[],\"ver\":1}"), ==, ROWS_OK);
	g_assert_cmpint(read_answered("{\"ver\":1}"), ==, ROWS_OK);
	g_assert_cmpint(read_answered("{\"rows\":[{\"key\":\"\"}],\"ver\":1}"),
			==, ROWS_OK);
	for (size_t i = 0; i < G_N_ELEMENTS(broken); i++)
		g_assert_cmpint(read_answered(broken[i]), ==, ROWS_UNKNOWN);
}

struct looked {
	bool good;
	int32_t n_active;
	struct sched_active active;
};

static void copy_look(const struct sched_report *look, void *priv)
{
	struct looked *l = priv;

	l->good = look;
	l->n_active = look ? look->n_active : 0;
	if (l->n_active)
		l->active = look->active[0];
}

static struct looked look_answered(const char *clock, const char *active,
				   const char *ends)
{
	g_autofree char *text = g_strdup_printf(
		"{\"clock_ms\":%s,\"active\":[%s],\"finished\":[%s]}", clock,
		active, ends);
	struct wkr_target to = { .id = "w", .address = "" };
	struct pf_worker *p = pf_worker_start(NULL, NULL, "");
	struct wkr wkr = pf_worker_table(p);
	struct looked l = { 0 };

	wkr.ops->poll(wkr.self, &to, 0, 0, copy_look, &l);
	fuzz_respond(text, strlen(text));
	talloc_free(p);
	return l;
}

/*
 * Failure: runs and tasks whose numbers go beyond 32 bits were taken for
 * others, and a clock beyond 64 made a worker's later looks count as old.
 */
static void test_look_numbers(void)
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

	g_assert_true(look_answered("5", "[\"a.0.0.0\",1,\"\",0]", "").good);
	g_assert_false(look_answered("1e300", "", "").good);
	g_assert_false(look_answered("-5", "", "").good);
	for (size_t i = 0; i < G_N_ELEMENTS(active); i++)
		g_assert_false(look_answered("5", active[i], "").good);
	for (size_t i = 0; i < G_N_ELEMENTS(ends); i++)
		g_assert_false(look_answered("5", "", ends[i]).good);
}

/* Failure: gauges beyond 64 bits were cast, which is undefined. */
static void test_look_gauges(void)
{
	struct looked l =
		look_answered("5", "[\"a.0.0.0\",1,\"\",1e300,-1e300]", "");

	g_assert_true(l.good);
	g_assert_cmpint(l.active.percent, ==, 100);
	g_assert_cmpint(l.active.gauge, ==, 0);
}

/*
 * Failure: a long checkpoint was cut, and the next start would have carried
 * one that is not the task's.
 */
static void test_checkpoint_not_cut(void)
{
	g_autofree char *saved = g_strnfill(SCHED_CHECKPOINT_MAX, 'c');
	g_autofree char *row =
		g_strdup_printf("[\"a.0.0.0\",1,\"%s\",0]", saved);
	struct looked l = look_answered("5", row, "");

	g_assert_true(l.good);
	g_assert_cmpstr(l.active.checkpoint, ==, "");
	saved[SCHED_CHECKPOINT_MAX - 1] = '\0';
	g_free(row);
	row = g_strdup_printf("[\"a.0.0.0\",1,\"%s\",0]", saved);
	l = look_answered("5", row, "");
	g_assert_cmpstr(l.active.checkpoint, ==, saved);
}

struct advised {
	int32_t n;
	int64_t valid_ms;
};

static void copy_advice(const char *const *ids, const char *const *tickets,
			int32_t n, int64_t valid_ms, void *priv)
{
	struct advised *a = priv;

	(void)ids;
	(void)tickets;
	a->n = n;
	a->valid_ms = valid_ms;
}

/* Failure: long tickets were cut, and the end of their time overflowed. */
static void test_advice(void)
{
	g_autofree char *ticket = g_strnfill(SCHED_TICKET_MAX, 't');
	g_autofree char *text =
		g_strdup_printf("{\"allowed\":[[\"w\",\"%s\"],[\"v\",\"t\"]],"
				"\"valid_ms\":9223372036854775807}",
				ticket);
	struct sched_ref ref = { .job = "a" };
	struct pf_worker *p = pf_worker_start(NULL, NULL, "");
	struct wkr wkr = pf_worker_table(p);
	struct advised a = { 0 };

	wkr.ops->advise(wkr.self, &ref, NULL, 0, copy_advice, &a);
	fuzz_respond(text, strlen(text));
	g_assert_cmpint(a.n, ==, 1);
	g_assert_cmpint(a.valid_ms, <, INT64_MAX / 1000);
	talloc_free(p);
}

/* The job of a former owner with this progress, taken over. */
static struct sched_job *taken_over(struct sched_fixture *p,
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
 * Failure: a row of progress with numbers out of range overflowed sums, and
 * one that listed rounds again and again took memory for each.
 */
static void test_progress_in_range(void)
{
	struct sched_job *job;
	struct sched_fixture p;

	job = taken_over(&p,
			 "{\"rounds\":[[0,[[\"0\",[[0,2147483647,[],\"\"]]]]]"
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
	g_test_add_func("/answers/look-numbers", test_look_numbers);
	g_test_add_func("/answers/look-gauges", test_look_gauges);
	g_test_add_func("/answers/checkpoint-not-cut", test_checkpoint_not_cut);
	g_test_add_func("/answers/advice", test_advice);
	g_test_add_func("/answers/read-without-rows", test_read_without_rows);
}
