/* Tests when an owner short of processor hands its shard to a stronger VM, with
 * an in-memory store. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "tests/owners.h"
#include "tests/unit.h"

#define REST_MS 15000

/* Another VM as its row shows it, by the time of its start. */
struct other_vm {
	int64_t after_takeover_ms;
	int cpu_milli;
};

/* Returns whether an owner of 500 milli hands its shard to this VM. */
static bool hands_over(int64_t strongest_milli, const struct other_vm *other)
{
	g_autofree char *row =
		g_strdup_printf("{\"vm\":\"x\",\"epoch\":4,\"released\":true,"
				"\"strongest_milli\":%" G_GINT64_FORMAT "}",
				strongest_milli);
	g_autofree char *life = NULL;
	struct owner_fixture f;
	struct candidate c;
	bool named;

	owner_fixture_open(&f);
	fake_rows_put(&f.store, "owners", "s0", "owner", row);
	candidate_start(&f, &c, "a", "1");
	wait_for_count(&f, &c.gained, 1);
	life = g_strdup_printf(
		"{\"life\":\"1\",\"started_ms\":%" G_GINT64_FORMAT
		",\"strength_milli\":%d,\"trip_ms\":1}",
		clk_mono_ms(&clk_system) + other->after_takeover_ms,
		other->cpu_milli);
	fake_rows_put(&f.store, "lives", "lives-s0", "s", life);
	owner_seek_stronger(c.owner, REST_MS);
	run_loop_for(&f, 300);
	named = strstr(fake_rows_get(&f.store, "owners", "s0", "owner"),
		       "\"successor\":\"s\"") != NULL;
	g_assert_cmpint(c.lost, ==, named);
	g_assert_cmpint(c.releasing, ==, named);
	owner_fixture_close(&f);
	return named;
}

/*
 * Guards against a weak VM that keeps the shard beside strong ones (LOST,
 * review/9): it took over while the others were down, and its work never made
 * its ticks late.
 */
static void test_weak_owner_hands_over(void)
{
	g_assert_true(hands_over(2000, &(struct other_vm){ 100, 2000 }));
}

static void test_owner_stays(void)
{
	/* Not known to have been up since the takeover. */
	g_assert_false(hands_over(2000, &(struct other_vm){ -5000, 2000 }));
	/* Hardly stronger. */
	g_assert_false(hands_over(900, &(struct other_vm){ 100, 900 }));
	/* Others are much stronger, but not this one. */
	g_assert_false(hands_over(2000, &(struct other_vm){ 100, 600 }));
}

/*
 * Guards against a first owner of an eighth of a core beside strong VMs: on
 * half of the plays of one day it failed one request in five.
 */
static void test_strong_vm_claims_first(void)
{
	struct owner_row none = { 0 };
	struct owner_row owned = { .epoch = 3, .max_cpu_milli = 100 };

	g_assert_cmpint(owner_row_claim_delay_ms(&none, 500, 60), ==, 60);
	g_assert_cmpint(owner_row_claim_delay_ms(&none, 2000, 60), ==, 60);
	/* VMs start within 300 ms, and poll every 500 ms. */
	g_assert_cmpint(owner_row_claim_delay_ms(&none, 120, 60), >, 860);
	g_assert_cmpint(owner_row_claim_delay_ms(&none, 1, 60), ==, 1500);
	g_assert_cmpint(owner_row_claim_delay_ms(&none, 0, 60), ==, 60);
	g_assert_cmpint(owner_row_claim_delay_ms(&owned, 100, 60), ==, 60);
}

void unit_add_stronger(void)
{
	g_test_add_func("/stronger/first-claim", test_strong_vm_claims_first);
	g_test_add_func("/owner/weak-one-hands-over",
			test_weak_owner_hands_over);
	g_test_add_func("/owner/stays", test_owner_stays);
}
