/* Ownership and following of tables, against a store that loses answers. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "state/row_watch.h"
#include "tests/owners.h"
#include "tests/unit.h"

/*
 * Pattern: VMs of 0.07 to 0.5 of a core, all without power at once. The weak
 * one that is back first leaves the shard to the strong one, and takes it if
 * there is none.
 */
static void test_strong_comes_first(void)
{
	struct owner_limits weak_lim = { .poll_ms = 20,
					 .silence_ms = SILENCE_MS,
					 .heartbeat_ms = 100,
					 .commit_gap_ms = 10,
					 .claim_delay_ms = 10,
					 .cpu_milli = 70 };
	struct fixture f;
	struct candidate weak = { 0 };
	struct candidate strong = { 0 };
	struct rows rows;

	fixture_open(&f);
	rows = fake_rows_iface(&f.store);
	fake_rows_put(&f.store, "owners", "s0", "owner",
		      "{\"vm\":\"x\",\"epoch\":4,\"released\":true,"
		      "\"strongest_milli\":500}");
	weak.owner = owner_start(f.ev, &rows, f.timers, &clk_system, 0, "w",
				 "1", &weak_lim, &candidate_ops, &weak);
	run_loop_for(&f, 100);
	candidate_start(&f, &strong, "a", "1");
	wait_for_count(&f, &strong.gained, 1);
	g_assert_cmpint(weak.gained, ==, 0);
	/* It waits 51 times as long, 0.5 s, once the strong one is silent. */
	f.store.refused_text = "\"vm\":\"a\"";
	wait_for_count(&f, &weak.gained, 1);
	fixture_close(&f);
}

static void test_claim_and_commit(void)
{
	struct fixture f;
	struct candidate c;

	fixture_open(&f);
	candidate_start(&f, &c, "a", "1");
	wait_for_count(&f, &c.gained, 1);
	g_assert_cmpint(owner_epoch(c.owner), ==, 1);
	g_strlcpy(c.value, "v", sizeof(c.value));
	owner_request_commit(c.owner);
	wait_for_count(&f, &c.committed, 1);
	g_assert_cmpstr(fake_rows_get(&f.store, "progress", "s0", "k"), ==,
			"v");
	fixture_close(&f);
}

/* A commit that was done though its answer was lost counts as done. */
static void test_lost_answer(void)
{
	struct fixture f;
	struct candidate c;

	fixture_open(&f);
	f.store.mode = FAKE_LOSE_ANSWER;
	/* The row of its start, and the claim. */
	f.store.mode_commits = 2;
	candidate_start(&f, &c, "a", "1");
	wait_for_count(&f, &c.gained, 1);
	g_assert_cmpint(f.store.mode_commits, <=, 0);
	g_assert_cmpint(owner_epoch(c.owner), ==, 1);
	f.store.mode = FAKE_LOSE_ANSWER;
	f.store.mode_commits = 2;
	wait_for_count(&f, &c.committed, 3);
	f.store.mode = FAKE_LOSE_REQUEST;
	f.store.mode_commits = 2;
	wait_for_count(&f, &c.committed, 6);
	g_assert_cmpint(c.lost, ==, 0);
	fixture_close(&f);
}

/*
 * Pattern: the store does what it is asked and its answers are lost. Others see
 * the row stand still from the first of several tries on, so that is when the
 * owner was last surely the owner, not when it learned of it.
 */
static void test_confirmed_since_first_try(void)
{
	struct fixture f;
	struct candidate c;

	fixture_open(&f);
	candidate_start(&f, &c, "a", "1");
	wait_for_count(&f, &c.gained, 1);
	f.store.mode = FAKE_LOSE_ANSWER;
	f.store.mode_commits = 1;
	c.committed = 0;
	wait_for_count(&f, &c.committed, 1);
	g_assert_cmpint(f.store.mode_commits, <=, 0);
	g_assert_cmpint(owner_confirm_age_ms(c.owner), >=, 100);
	fixture_close(&f);
}

/* An owner that the store refuses is succeeded, and knows it in the end. */
static void test_succession(void)
{
	struct fixture f;
	struct candidate first;
	struct candidate second;

	fixture_open(&f);
	candidate_start(&f, &first, "a", "1");
	wait_for_count(&f, &first.gained, 1);
	candidate_start(&f, &second, "b", "1");
	run_loop_for(&f, 2 * SILENCE_MS);
	g_assert_cmpint(second.gained, ==, 0);
	f.store.refused_text = "\"vm\":\"a\"";
	wait_for_count(&f, &second.gained, 1);
	g_assert_cmpint(second.previous_epoch, ==, 1);
	f.store.refused_text = NULL;
	wait_for_count(&f, &first.lost, 1);
	g_assert_false(owner_is_leading(first.owner));
	g_assert_true(owner_is_leading(second.owner));
	g_assert_cmpint(owner_epoch(second.owner), ==, 2);
	fixture_close(&f);
}

/* A released shard, and one of a former life, are taken without a wait. */
static void test_release_and_former_life(void)
{
	struct fixture f;
	struct candidate first;
	struct candidate second;
	struct candidate third;
	int64_t start_ms;

	fixture_open(&f);
	candidate_start(&f, &first, "a", "1");
	wait_for_count(&f, &first.gained, 1);
	candidate_start(&f, &second, "b", "1");
	run_loop_for(&f, 60);
	start_ms = clk_mono_ms(&clk_system);
	owner_release(first.owner, 0);
	wait_for_count(&f, &second.gained, 1);
	g_assert_cmpint(clk_mono_ms(&clk_system) - start_ms, <, SILENCE_MS);
	g_assert_cmpint(first.lost, ==, 1);
	start_ms = clk_mono_ms(&clk_system);
	candidate_start(&f, &third, "b", "2");
	wait_for_count(&f, &third.gained, 1);
	g_assert_cmpint(clk_mono_ms(&clk_system) - start_ms, <, SILENCE_MS);
	fixture_close(&f);
}

/*
 * Pattern: planned stops in series (LOST 33 to 36 on dhl-pettycash). What an
 * owner tells its successor comes with the release, once, and the successor
 * knows that no lease is renewed any more.
 */
static void test_release_hands_over(void)
{
	struct fixture f;
	struct candidate first;
	struct candidate second;
	struct candidate third;

	fixture_open(&f);
	candidate_start(&f, &first, "a", "1");
	g_strlcpy(first.own_handover, "[[\"w\",5,null]]",
		  sizeof(first.own_handover));
	wait_for_count(&f, &first.gained, 1);
	candidate_start(&f, &second, "b", "1");
	run_loop_for(&f, 60);
	owner_release(first.owner, 0);
	wait_for_count(&f, &second.gained, 1);
	g_assert_cmpstr(second.handover, ==, "[[\"w\",5,null]]");
	g_assert_cmpint(second.previous_lease_ms, ==, LEASE_MS);
	g_assert_cmpint(second.previous_renew_end_ms, <=,
			clk_mono_ms(&clk_system));
	candidate_start(&f, &third, "c", "1");
	run_loop_for(&f, 60);
	owner_release(second.owner, 0);
	wait_for_count(&f, &third.gained, 1);
	g_assert_cmpstr(third.handover, ==, "");
	fixture_close(&f);
}

/*
 * Pattern: an owner is cut from the store and goes on in doubt, its successor
 * stops as planned or is restarted. Whoever comes next knows for how long the
 * first one may renew leases.
 */
static void test_stale_owner_outlives_a_successor(void)
{
	struct fixture f;
	struct candidate first;
	struct candidate second;
	struct candidate third;
	struct candidate restarted;
	int64_t until_ms;

	fixture_open(&f);
	candidate_start(&f, &first, "a", "1");
	wait_for_count(&f, &first.gained, 1);
	candidate_start(&f, &second, "b", "1");
	run_loop_for(&f, 60);
	f.store.refused_text = "\"vm\":\"a\"";
	wait_for_count(&f, &second.gained, 1);
	until_ms = second.previous_renew_end_ms;
	g_assert_cmpint(until_ms, >=,
			clk_mono_ms(&clk_system) + STALE_RENEW_MS - SILENCE_MS);
	candidate_start(&f, &third, "c", "1");
	run_loop_for(&f, 60);
	owner_release(second.owner, 0);
	wait_for_count(&f, &third.gained, 1);
	g_assert_cmpint(third.previous_renew_end_ms, >=, until_ms);
	candidate_start(&f, &restarted, "c", "2");
	wait_for_count(&f, &restarted.gained, 1);
	g_assert_cmpint(restarted.previous_renew_end_ms, >=, until_ms);
	fixture_close(&f);
}

/*
 * Guards against an owner that yields, whose last answer is lost, and that
 * never claims again: where all VMs did so, nobody would own the shard.
 */
static void test_yield_unanswered(void)
{
	struct fixture f;
	struct candidate first;
	struct candidate second;

	fixture_open(&f);
	candidate_start(&f, &first, "a", "1");
	wait_for_count(&f, &first.gained, 1);
	candidate_start(&f, &second, "b", "1");
	run_loop_for(&f, 60);
	f.store.mode = FAKE_LOSE_ANSWER;
	f.store.mode_commits = 1;
	owner_yield(first.owner, 100);
	wait_for_count(&f, &second.gained, 1);
	wait_for_count(&f, &first.lost, 1);
	run_loop_for(&f, 300);
	f.store.refused_text = "\"vm\":\"b\"";
	wait_for_count(&f, &first.gained, 2);
	fixture_close(&f);
}

/* Who yields lets others go first, and claims again only after a rest. */
static void test_yield(void)
{
	struct fixture f;
	struct candidate first;
	struct candidate second;

	fixture_open(&f);
	candidate_start(&f, &first, "a", "1");
	wait_for_count(&f, &first.gained, 1);
	owner_yield(first.owner, 3000);
	wait_for_count(&f, &first.lost, 1);
	run_loop_for(&f, 300);
	g_assert_cmpint(first.gained, ==, 1);
	candidate_start(&f, &second, "b", "1");
	wait_for_count(&f, &second.gained, 1);
	owner_yield(second.owner, 60000);
	wait_for_count(&f, &first.gained, 2);
	g_assert_cmpint(second.gained, ==, 1);
	fixture_close(&f);
}

struct watched_rows {
	GHashTable *rows;
	int synced;
	int deleted;
};

static void on_row(const struct rows_row *row, void *priv)
{
	struct watched_rows *s = priv;

	if (row->deleted) {
		s->deleted++;
		g_hash_table_remove(s->rows, row->key);
		return;
	}
	g_hash_table_replace(s->rows, g_strdup(row->key), g_strdup(row->value));
}

static void on_synced(int64_t version, void *priv)
{
	(void)version;
	((struct watched_rows *)priv)->synced++;
}

static const struct row_watch_ops row_watch_ops = { on_row, on_synced };

/* Pages, several parts, changes, and history that is gone. */
static void test_row_watch(void)
{
	struct fixture f;
	struct watched_rows s = { g_hash_table_new_full(g_str_hash, g_str_equal,
							g_free, g_free),
				  0, 0 };
	struct row_watch_options opt = {
		.table = "t", .part = "j", .parts = 2, .wait_ms = 1, .gap_ms = 5
	};
	struct rows rows;

	fixture_open(&f);
	rows = fake_rows_iface(&f.store);
	for (char c = 'a'; c < 'h'; c++) {
		char key[2] = { c, '\0' };

		fake_rows_put(&f.store, "t", c % 2 ? "j0" : "j1", key, "1");
	}
	fake_rows_put(&f.store, "t", "other", "x", "1");
	row_watch_start(f.ev, &rows, f.timers, &opt, &row_watch_ops, &s);
	wait_for_count(&f, &s.synced, 1);
	g_assert_cmpuint(g_hash_table_size(s.rows), ==, 7);
	fake_rows_put(&f.store, "t", "j0", "a", "2");
	fake_rows_put(&f.store, "t", "j1", "b", NULL);
	wait_for_count(&f, &s.synced, s.synced + 2);
	g_assert_cmpstr(g_hash_table_lookup(s.rows, "a"), ==, "2");
	g_assert_null(g_hash_table_lookup(s.rows, "b"));
	/* While nobody looks, a row goes and the history with it. */
	fake_rows_put(&f.store, "t", "j0", "c", NULL);
	f.store.oldest_kept = f.store.version;
	wait_for_count(&f, &s.deleted, 2);
	g_assert_null(g_hash_table_lookup(s.rows, "c"));
	g_assert_cmpuint(g_hash_table_size(s.rows), ==, 5);
	fixture_close(&f);
	g_hash_table_destroy(s.rows);
}

void unit_add_state(void)
{
	g_test_add_func("/state/claim-and-commit", test_claim_and_commit);
	g_test_add_func("/state/lost-answer", test_lost_answer);
	g_test_add_func("/state/succession", test_succession);
	g_test_add_func("/state/release", test_release_and_former_life);
	g_test_add_func("/state/release-hands-over", test_release_hands_over);
	g_test_add_func("/state/doubt-outlives-a-successor",
			test_stale_owner_outlives_a_successor);
	g_test_add_func("/state/yield-unanswered", test_yield_unanswered);
	g_test_add_func("/state/yield", test_yield);
	g_test_add_func("/state/confirmed-since-first-try",
			test_confirmed_since_first_try);
	g_test_add_func("/state/strong-comes-first", test_strong_comes_first);
	g_test_add_func("/state/follow", test_row_watch);
}
