/* Tests how long tasks wait while there is room, and what the log says. */
#include <glib.h>
#include <string.h>

#include "tests/sched_fixture.h"
#include "tests/unit.h"

/* The log says what keeps a waiting task from how many workers. */
static void test_wait_is_logged(void)
{
	struct sched_fixture p;
	char **lines;

	fixture_open(&p, 1, NULL);
	fixture_add_worker(&p, "full", "r");
	fixture_add_worker(&p, "bad", "r");
	fixture_add_worker(&p, "never-heard", "r");
	fixture_poll(&p, "full", NULL, 0, NULL, 0, 10);
	fixture_poll(&p, "bad", NULL, 0, NULL, 0, 10);
	fixture_worker(&p, "full")->used.cpu_milli = 8000;
	fixture_worker(&p, "bad")->quarantine_until_ms = 60000;
	fixture_add_job(&p, fixture_spec("a", "short", 1, 1));
	for (int64_t now = 100; now <= 4000; now += 100) {
		sched_place(&p.s, now);
		sched_tick(&p.s, now, 1000000 + now);
	}
	g_assert_nonnull(strstr(p.waits->str, "a.0 waited_ms="));
	g_assert_nonnull(strstr(
		p.waits->str, "workers: unreconciled=1 quarantined=1 cpu=1\n"));
	/* One line a second, after the first two seconds. */
	lines = g_strsplit(p.waits->str, "\n", -1);
	g_assert_cmpuint(g_strv_length(lines), <=, 4);
	g_strfreev(lines);
	fixture_worker(&p, "full")->used.cpu_milli = 0;
	fixture_close(&p);
}

void unit_add_wait(void)
{
	g_test_add_func("/sched/wait-is-logged", test_wait_is_logged);
}
