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
	struct bench b;
	struct node weak = { 0 };
	struct node strong = { 0 };
	struct rows rows;

	bench_open(&b);
	rows = fake_rows_table(&b.store);
	fake_rows_put(&b.store, "owners", "s0", "owner",
		      "{\"vm\":\"x\",\"epoch\":4,\"released\":true,"
		      "\"strongest_milli\":500}");
	weak.owner = owner_start(b.ev, &rows, b.timers, &clk_system, 0, "w",
				 "1", &weak_lim, &node_ops, &weak);
	turn_for(&b, 100);
	node_start(&b, &strong, "a", "1");
	await(&b, &strong.gained, 1);
	g_assert_cmpint(weak.gained, ==, 0);
	/* It waits 51 times as long, 0.5 s, once the strong one is silent. */
	b.store.refused_text = "\"vm\":\"a\"";
	await(&b, &weak.gained, 1);
	bench_close(&b);
}

static void test_claim_and_commit(void)
{
	struct bench b;
	struct node n;

	bench_open(&b);
	node_start(&b, &n, "a", "1");
	await(&b, &n.gained, 1);
	g_assert_cmpint(owner_epoch(n.owner), ==, 1);
	g_strlcpy(n.value, "v", sizeof(n.value));
	owner_request_commit(n.owner);
	await(&b, &n.committed, 1);
	g_assert_cmpstr(fake_rows_get(&b.store, "progress", "s0", "k"), ==,
			"v");
	bench_close(&b);
}

/* A commit that was done though its answer was lost counts as done. */
static void test_lost_answer(void)
{
	struct bench b;
	struct node n;

	bench_open(&b);
	b.store.mode = FAKE_LOSE_ANSWER;
	/* The row of its start, and the claim. */
	b.store.mode_left = 2;
	node_start(&b, &n, "a", "1");
	await(&b, &n.gained, 1);
	g_assert_cmpint(b.store.mode_left, <=, 0);
	g_assert_cmpint(owner_epoch(n.owner), ==, 1);
	b.store.mode = FAKE_LOSE_ANSWER;
	b.store.mode_left = 2;
	await(&b, &n.committed, 3);
	b.store.mode = FAKE_LOSE_CALL;
	b.store.mode_left = 2;
	await(&b, &n.committed, 6);
	g_assert_cmpint(n.lost, ==, 0);
	bench_close(&b);
}

/*
 * Pattern: the store does what it is asked and its answers are lost. Others see
 * the row stand still from the first of several tries on, so that is when the
 * owner was last surely the owner, not when it learned of it.
 */
static void test_confirmed_since_first_try(void)
{
	struct bench b;
	struct node n;

	bench_open(&b);
	node_start(&b, &n, "a", "1");
	await(&b, &n.gained, 1);
	b.store.mode = FAKE_LOSE_ANSWER;
	b.store.mode_left = 1;
	n.committed = 0;
	await(&b, &n.committed, 1);
	g_assert_cmpint(b.store.mode_left, <=, 0);
	g_assert_cmpint(owner_confirm_age_ms(n.owner), >=, 100);
	bench_close(&b);
}

/* An owner that the store refuses is succeeded, and knows it in the end. */
static void test_succession(void)
{
	struct bench b;
	struct node first;
	struct node second;

	bench_open(&b);
	node_start(&b, &first, "a", "1");
	await(&b, &first.gained, 1);
	node_start(&b, &second, "b", "1");
	turn_for(&b, 2 * SILENCE_MS);
	g_assert_cmpint(second.gained, ==, 0);
	b.store.refused_text = "\"vm\":\"a\"";
	await(&b, &second.gained, 1);
	g_assert_cmpint(second.previous_epoch, ==, 1);
	b.store.refused_text = NULL;
	await(&b, &first.lost, 1);
	g_assert_false(owner_is_leading(first.owner));
	g_assert_true(owner_is_leading(second.owner));
	g_assert_cmpint(owner_epoch(second.owner), ==, 2);
	bench_close(&b);
}

/* A released shard, and one of a former life, are taken without a wait. */
static void test_release_and_former_life(void)
{
	struct bench b;
	struct node first;
	struct node second;
	struct node third;
	int64_t began;

	bench_open(&b);
	node_start(&b, &first, "a", "1");
	await(&b, &first.gained, 1);
	node_start(&b, &second, "b", "1");
	turn_for(&b, 60);
	began = clk_mono_ms(&clk_system);
	owner_release(first.owner, 0);
	await(&b, &second.gained, 1);
	g_assert_cmpint(clk_mono_ms(&clk_system) - began, <, SILENCE_MS);
	g_assert_cmpint(first.lost, ==, 1);
	began = clk_mono_ms(&clk_system);
	node_start(&b, &third, "b", "2");
	await(&b, &third.gained, 1);
	g_assert_cmpint(clk_mono_ms(&clk_system) - began, <, SILENCE_MS);
	bench_close(&b);
}

/*
 * Pattern: planned stops in series (LOST 33 to 36 on dhl-pettycash). What an
 * owner tells its successor comes with the release, once, and the successor
 * knows that no lease is renewed any more.
 */
static void test_release_hands_over(void)
{
	struct bench b;
	struct node first;
	struct node second;
	struct node third;

	bench_open(&b);
	node_start(&b, &first, "a", "1");
	g_strlcpy(first.own_handover, "[[\"w\",5,null]]",
		  sizeof(first.own_handover));
	await(&b, &first.gained, 1);
	node_start(&b, &second, "b", "1");
	turn_for(&b, 60);
	owner_release(first.owner, 0);
	await(&b, &second.gained, 1);
	g_assert_cmpstr(second.handover, ==, "[[\"w\",5,null]]");
	g_assert_cmpint(second.previous_lease_ms, ==, LEASE_MS);
	g_assert_cmpint(second.previous_renew_end_ms, <=,
			clk_mono_ms(&clk_system));
	node_start(&b, &third, "c", "1");
	turn_for(&b, 60);
	owner_release(second.owner, 0);
	await(&b, &third.gained, 1);
	g_assert_cmpstr(third.handover, ==, "");
	bench_close(&b);
}

/*
 * Pattern: an owner is cut from the store and goes on in doubt, its successor
 * stops as planned or is restarted. Whoever comes next knows for how long the
 * first one may renew leases.
 */
static void test_doubt_outlives_a_successor(void)
{
	struct bench b;
	struct node first;
	struct node second;
	struct node third;
	struct node again;
	int64_t until_ms;

	bench_open(&b);
	node_start(&b, &first, "a", "1");
	await(&b, &first.gained, 1);
	node_start(&b, &second, "b", "1");
	turn_for(&b, 60);
	b.store.refused_text = "\"vm\":\"a\"";
	await(&b, &second.gained, 1);
	until_ms = second.previous_renew_end_ms;
	g_assert_cmpint(until_ms, >=,
			clk_mono_ms(&clk_system) + STALE_RENEW_MS - SILENCE_MS);
	node_start(&b, &third, "c", "1");
	turn_for(&b, 60);
	owner_release(second.owner, 0);
	await(&b, &third.gained, 1);
	g_assert_cmpint(third.previous_renew_end_ms, >=, until_ms);
	node_start(&b, &again, "c", "2");
	await(&b, &again.gained, 1);
	g_assert_cmpint(again.previous_renew_end_ms, >=, until_ms);
	bench_close(&b);
}

/*
 * Guards against an owner that yields, whose last answer is lost, and that
 * never claims again: where all VMs did so, nobody would own the shard.
 */
static void test_yield_unanswered(void)
{
	struct bench b;
	struct node first;
	struct node second;

	bench_open(&b);
	node_start(&b, &first, "a", "1");
	await(&b, &first.gained, 1);
	node_start(&b, &second, "b", "1");
	turn_for(&b, 60);
	b.store.mode = FAKE_LOSE_ANSWER;
	b.store.mode_left = 1;
	owner_yield(first.owner, 100);
	await(&b, &second.gained, 1);
	await(&b, &first.lost, 1);
	turn_for(&b, 300);
	b.store.refused_text = "\"vm\":\"b\"";
	await(&b, &first.gained, 2);
	bench_close(&b);
}

/* Who yields lets others go first, and claims again only after a rest. */
static void test_yield(void)
{
	struct bench b;
	struct node first;
	struct node second;

	bench_open(&b);
	node_start(&b, &first, "a", "1");
	await(&b, &first.gained, 1);
	owner_yield(first.owner, 3000);
	await(&b, &first.lost, 1);
	turn_for(&b, 300);
	g_assert_cmpint(first.gained, ==, 1);
	node_start(&b, &second, "b", "1");
	await(&b, &second.gained, 1);
	owner_yield(second.owner, 60000);
	await(&b, &first.gained, 2);
	g_assert_cmpint(second.gained, ==, 1);
	bench_close(&b);
}

struct seen {
	GHashTable *rows;
	int synced;
	int deleted;
};

static void on_row(const struct rows_row *row, void *priv)
{
	struct seen *s = priv;

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
	((struct seen *)priv)->synced++;
}

static const struct row_watch_ops row_watch_ops = { on_row, on_synced };

/* Pages, several parts, changes, and history that is gone. */
static void test_follow(void)
{
	struct bench b;
	struct seen s = { g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						g_free),
			  0, 0 };
	struct row_watch_options opt = {
		.table = "t", .part = "j", .parts = 2, .wait_ms = 1, .gap_ms = 5
	};
	struct rows rows;

	bench_open(&b);
	rows = fake_rows_table(&b.store);
	for (char c = 'a'; c < 'h'; c++) {
		char key[2] = { c, '\0' };

		fake_rows_put(&b.store, "t", c % 2 ? "j0" : "j1", key, "1");
	}
	fake_rows_put(&b.store, "t", "other", "x", "1");
	row_watch_start(b.ev, &rows, b.timers, &opt, &row_watch_ops, &s);
	await(&b, &s.synced, 1);
	g_assert_cmpuint(g_hash_table_size(s.rows), ==, 7);
	fake_rows_put(&b.store, "t", "j0", "a", "2");
	fake_rows_put(&b.store, "t", "j1", "b", NULL);
	await(&b, &s.synced, s.synced + 2);
	g_assert_cmpstr(g_hash_table_lookup(s.rows, "a"), ==, "2");
	g_assert_null(g_hash_table_lookup(s.rows, "b"));
	/* While nobody looks, a row goes and the history with it. */
	fake_rows_put(&b.store, "t", "j0", "c", NULL);
	b.store.kept_from = b.store.version;
	await(&b, &s.deleted, 2);
	g_assert_null(g_hash_table_lookup(s.rows, "c"));
	g_assert_cmpuint(g_hash_table_size(s.rows), ==, 5);
	bench_close(&b);
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
			test_doubt_outlives_a_successor);
	g_test_add_func("/state/yield-unanswered", test_yield_unanswered);
	g_test_add_func("/state/yield", test_yield);
	g_test_add_func("/state/confirmed-since-first-try",
			test_confirmed_since_first_try);
	g_test_add_func("/state/strong-comes-first", test_strong_comes_first);
	g_test_add_func("/state/follow", test_follow);
}
