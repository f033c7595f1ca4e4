/* Tests of the calls to the policy service, which allows a step only some of
 * the workers. */
#include <glib.h>
#include <string.h>

#include "tests/sched_fixture.h"
#include "tests/unit.h"

#define WORKERS 100
#define ANSWER_MS 50
#define VALID_MS 30000
/* The users' bound on a wait while there is room for the task twice over. */
#define START_MAX_MS 3000

/* Allows the workers whose ids begin with the text `priv`. */
static bool allows_prefix(const struct sched_incarnation *worker, void *priv)
{
	return g_str_has_prefix(worker->id, priv);
}

static void add_workers(struct sched_fixture *p)
{
	char id[8];

	for (int i = 0; i < WORKERS; i++) {
		g_snprintf(id, sizeof(id), "w%d", i);
		fixture_add_worker(p, id, "r");
		fixture_poll(p, id, NULL, 0, NULL, 0, 10);
	}
}

/* Runs passes until `to_ms`. Calls from number `*answered` on are answered
 * after a while. */
static void run_with_service(struct sched_fixture *p, const char *allowed,
			     guint *answered, int64_t from_ms, int64_t to_ms)
{
	for (int64_t now = from_ms; now <= to_ms; now += ANSWER_MS) {
		guint asked = p->questions->len;

		for (; *answered < asked; ++*answered)
			fixture_answer(p,
				       &g_array_index(p->questions,
						      struct recorded_question,
						      *answered),
				       allows_prefix, (void *)allowed, VALID_MS,
				       now);
		sched_tick(&p->s, now, 1000000 + now);
		sched_place(&p->s, now);
	}
}

/* Review, case 3: the service was asked about the first workers with room again
 * and again, though it allows none of them, and never about the others. */
static void test_asks_about_all(void)
{
	struct sched_fixture p;
	guint answered = 0;

	fixture_open(&p, 1, NULL);
	add_workers(&p);
	fixture_add_job(&p, fixture_spec("a", "ruled", 1, 1));
	run_with_service(&p, "w99", &answered, 100, 100 + START_MAX_MS);
	g_assert_cmpuint(p.starts->len, ==, 1);
	g_assert_cmpstr(fixture_start(&p, 0)->worker, ==, "w99");
	g_assert_cmpint(p.advised, ==, WORKERS);
	fixture_close(&p);
}

/* The same for a long-running task that fits nowhere at first. */
static void test_asks_about_all_for_lasting(void)
{
	struct sched_fixture p;
	struct jobspec *spec = fixture_long_running("a", 8000, 1);
	guint answered = 0;

	fixture_open(&p, 1, NULL);
	add_workers(&p);
	for (guint i = 0; i < p.s.worker_list->len; i++) {
		struct sched_worker *w = g_ptr_array_index(p.s.worker_list, i);

		w->used.cpu_milli = 1000;
	}
	g_strlcpy(spec->queue, "ruled", sizeof(spec->queue));
	fixture_add_job(&p, spec);
	run_with_service(&p, "w99", &answered, 100, 1000);
	g_assert_cmpuint(p.starts->len, ==, 0);
	g_assert_cmpint(p.advised, ==, WORKERS);
	fixture_worker(&p, "w99")->used.cpu_milli = 0;
	run_with_service(&p, "w99", &answered, 1100, 1200);
	g_assert_cmpuint(p.starts->len, ==, 1);
	for (guint i = 0; i < p.s.worker_list->len; i++) {
		struct sched_worker *w = g_ptr_array_index(p.s.worker_list, i);

		w->used.cpu_milli = MAX(0, w->used.cpu_milli - 1000);
	}
	fixture_close(&p);
}

/* A refusal holds for one incarnation of a worker: the next one may be of
 * another kind. */
static void test_asks_again_after_restart(void)
{
	struct sched_fixture p;
	struct sched_worker_row row;
	guint answered = 0;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "w", "r");
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	fixture_add_job(&p, fixture_spec("a", "ruled", 1, 1));
	run_with_service(&p, "none", &answered, 100, 9000);
	g_assert_cmpint(p.advised, ==, 1);
	row = fixture_worker(&p, "w")->row;
	row.born_ms = 2;
	sched_worker_listed(&p.s, &row, 9100);
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 9110);
	run_with_service(&p, "w", &answered, 9200, 9400);
	g_assert_cmpint(p.advised, ==, 2);
	g_assert_cmpuint(p.starts->len, ==, 1);
	fixture_close(&p);
}

/* A call without a usable answer is repeated, about the same workers. */
static void test_asks_again_without_answer(void)
{
	struct sched_fixture p;
	guint answered;

	fixture_open(&p, 1, NULL);
	add_workers(&p);
	fixture_add_job(&p, fixture_spec("a", "ruled", 1, 1));
	fixture_pass_time(&p, 100, 2000);
	g_assert_cmpuint(p.questions->len, ==, 1);
	fixture_pass_time(&p, 2100, 3000);
	g_assert_cmpuint(p.questions->len, ==, 2);
	answered = 1;
	run_with_service(&p, "w0", &answered, 3100, 3200);
	g_assert_cmpuint(p.starts->len, ==, 1);
	fixture_close(&p);
}

/* The log of waits tells refusals from answers that are awaited. */
static void test_denials_are_logged(void)
{
	struct sched_fixture p;
	guint answered = 0;

	fixture_open(&p, 1, NULL);
	add_workers(&p);
	fixture_add_job(&p, fixture_spec("a", "ruled", 1, 1));
	run_with_service(&p, "none", &answered, 100, 5000);
	g_assert_nonnull(strstr(p.waits->str, "workers: denied=100\n"));
	fixture_close(&p);
}

void unit_add_advice(void)
{
	g_test_add_func("/advice/asks-about-all", test_asks_about_all);
	g_test_add_func("/advice/asks-about-all-for-lasting",
			test_asks_about_all_for_lasting);
	g_test_add_func("/advice/asks-again-after-restart",
			test_asks_again_after_restart);
	g_test_add_func("/advice/asks-again-without-answer",
			test_asks_again_without_answer);
	g_test_add_func("/advice/denials-are-logged", test_denials_are_logged);
}
