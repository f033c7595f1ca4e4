/* How long a wait for a better place pays, and how long tasks run. The load:
 * bursts of best-effort work, with serving tasks at most workers. */
#include <glib.h>

#include "coordination/run_times.h"
#include "coordination/wait_value.h"
#include "tests/unit.h"

#define DRAWS 2000

/* Guards against waits of 31 s beside free CPU: whatever the forecast says, a
 * task that starts at the lowest speed accepted has lost, by its wait and its
 * speed, at most twice what an immediate start at that speed had lost. */
static void test_wait_is_bounded(void)
{
	GRand *r = g_rand_new_with_seed(11);

	for (int i = 0; i < DRAWS; i++) {
		double speed = g_rand_double_range(r, WAIT_VALUE_SPEED_MIN,
						   WAIT_VALUE_FULL_SPEED);
		struct wait_facts f = {
			.run_ms = g_rand_int_range(r, 50, 20000),
			.expected_wait_ms = g_rand_int_range(r, -1, 30000),
		};
		int64_t loss_ms =
			(int64_t)((double)f.run_ms * (1 / speed - 1)) + 1;

		f.waited_ms = loss_ms;
		g_assert_cmpfloat(wait_value_speed_min(&f), <=, speed);
		g_assert_false(wait_value_pays(&f, loss_ms));
	}
	g_rand_free(r);
}

/* Guards against starts at low speed where room at full speed is close: the
 * lowest speed accepted never ends later than the expected wait and full
 * speed. */
static void test_start_ends_first(void)
{
	GRand *r = g_rand_new_with_seed(12);

	for (int i = 0; i < DRAWS; i++) {
		struct wait_facts f = {
			.run_ms = g_rand_int_range(r, 50, 20000),
			.expected_wait_ms = g_rand_int_range(r, 0, 30000),
		};
		double speed = wait_value_speed_min(&f);
		double now_ms = (double)f.run_ms / speed;
		double later_ms = (double)(f.expected_wait_ms + f.run_ms);

		if (speed < WAIT_VALUE_FULL_SPEED)
			g_assert_cmpfloat(now_ms, <=, later_ms + 1);
	}
	g_rand_free(r);
}

/* A task that is in time only if it starts now does so, though a wait would
 * let it end sooner on the average. */
static void test_target_goes_first(void)
{
	struct wait_facts f = { .run_ms = 1000,
				.expected_wait_ms = 400,
				.left_ms = 1500 };

	g_assert_cmpfloat_with_epsilon(wait_value_speed_min(&f), 1000.0 / 1400,
				       1e-9);
	f.left_ms = 1300;
	g_assert_cmpfloat_with_epsilon(wait_value_speed_min(&f), 1000.0 / 1400,
				       1e-9);
	f.expected_wait_ms = 250;
	f.left_ms = 1240;
	g_assert_cmpfloat_with_epsilon(wait_value_speed_min(&f), 1000.0 / 1250,
				       1e-9);
	f.left_ms = 2400;
	f.expected_wait_ms = 100;
	g_assert_cmpfloat(wait_value_speed_min(&f), ==, WAIT_VALUE_FULL_SPEED);
	f = (struct wait_facts){ .run_ms = 1000,
				 .expected_wait_ms = 100,
				 .left_ms = 1050 };
	g_assert_cmpfloat(wait_value_speed_min(&f), ==, WAIT_VALUE_FULL_SPEED);
	f.left_ms = 3000;
	g_assert_false(wait_value_pays(&f, 2000));
	f.left_ms = 2999;
	g_assert_true(wait_value_pays(&f, 2000));
	f.expected_wait_ms = 2000;
	g_assert_false(wait_value_pays(&f, 2000));
}

/* The forecast follows a burst, and is unknown at first. */
static void test_rate(void)
{
	struct wait_rate rate = { 0 };
	int64_t now_ms = 1000;

	g_assert_cmpint(wait_rate_time_ms(&rate, 5, now_ms), ==, -1);
	for (int i = 0; i < 2000; i++, now_ms += 10)
		wait_rate_add(&rate, now_ms);
	g_assert_cmpint(wait_rate_time_ms(&rate, 100, now_ms), >, 900);
	g_assert_cmpint(wait_rate_time_ms(&rate, 100, now_ms), <, 1100);
	/* Nothing starts any more: the expected wait grows. */
	g_assert_cmpint(wait_rate_time_ms(&rate, 100, now_ms + 6000), >, 5000);
}

/* Guards against means: three tasks in a hundred take seven times as long, and
 * the others' estimates are off by the same factor. */
static void test_run_times(void)
{
	struct run_times t;

	run_times_init(&t);
	g_assert_cmpint(run_times_quantile_ms(&t, "q", 1000, 0.5), ==, 1000);
	for (int i = 0; i < 1000; i++)
		run_times_record(&t, "q", 500, i % 33 ? 250 : 1750);
	run_times_record(&t, "q", 0, 100);
	run_times_record(&t, "q", 100, -1);
	g_assert_cmpint(run_times_quantile_ms(&t, "q", 1000, 0.5), >=, 490);
	g_assert_cmpint(run_times_quantile_ms(&t, "q", 1000, 0.5), <=, 520);
	g_assert_cmpint(run_times_quantile_ms(&t, "q", 1000, 0.99), >=, 3400);
	g_assert_cmpint(run_times_quantile_ms(&t, "other", 1000, 0.5), ==,
			1000);
	run_times_finish(&t);
}

void unit_add_wait_value(void)
{
	g_test_add_func("/wait-value/bounded", test_wait_is_bounded);
	g_test_add_func("/wait-value/start-ends-first", test_start_ends_first);
	g_test_add_func("/wait-value/target-goes-first",
			test_target_goes_first);
	g_test_add_func("/wait-value/rate", test_rate);
	g_test_add_func("/wait-value/run-times", test_run_times);
}
