/* Workers that go and come back: tokens, lives, answers cut short. On paper. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "tests/paper.h"
#include "tests/unit.h"

/* Worker w, and job a of one task that is ordered to start there at 20 ms. */
static void open_started(struct paper *p)
{
	paper_open(p, 1, NULL);
	paper_add_worker(p, "w", "r");
	paper_look_at(p, "w", NULL, 0, NULL, 0, 10);
	paper_add_job(p, paper_spec_of("a", "short", 1, 1));
	sched_place(&p->s, 20);
	g_assert_cmpuint(p->starts->len, ==, 1);
}

/*
 * Guards against a worker that seems silent for as long as its owner leads: it
 * left the list while idle, came back, and was addressed under a lower token
 * than it had seen.
 */
static void test_token_never_falls(void)
{
	struct paper p;
	int64_t fence;

	open_started(&p);
	sched_start_answered(&p.s, &paper_start_at(&p, 0)->ref, "w",
			     SCHED_START_UNKNOWN, 30);
	fence = paper_worker(&p, "w")->fence;
	sched_worker_gone(&p.s, "w", 40);
	paper_look_at(&p, "w", NULL, 0, NULL, 0, 50);
	sched_tick(&p.s, 60, 1000060);
	g_assert_null(paper_worker(&p, "w"));
	paper_add_worker(&p, "w", "r");
	g_assert_cmpint(paper_worker(&p, "w")->fence, >=, fence);
	paper_close(&p);
}

void unit_add_lives(void)
{
	g_test_add_func("/sched/token-never-falls", test_token_never_falls);
}
