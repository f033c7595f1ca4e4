/* Tests of shard ownership and row watches on a store that loses answers. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "state/row_watch.h"
#include "tests/owners.h"
#include "tests/unit.h"

/*
 * Guards against a weak VM taking the shard when VMs of 0.07 to 0.5 of a core
 * restart together after a power failure. A weak VM that is up first leaves the
 * shard to a strong one, and claims it if there is none.
 */
static void test_strong_comes_first(void)
{
	struct owner_limits weak_lim = { .poll_ms = 20,
					 .silence_ms = SILENCE_MS,
					 .heartbeat_ms = 100,
					 .commit_gap_ms = 10,
					 .claim_delay_ms = 10,
					 .cpu_milli = 70 };
	struct owner_fixture f;
	struct candidate weak = { 0 };
	struct candidate strong = { 0 };
	struct rows rows;

	owner_fixture_open(&f);
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
	/* Its delay is 51 times as long, 0.5 s, after the other's silence. */
	f.store.refused_text = "\"vm\":\"a\"";
	wait_for_count(&f, &weak.gained, 1);
	owner_fixture_close(&f);
}

static void test_claim_and_commit(void)
{
	struct owner_fixture f;
	struct candidate c;

	owner_fixture_open(&f);
	candidate_start(&f, &c, "a", "1");
	wait_for_count(&f, &c.gained, 1);
	g_assert_cmpint(owner_epoch(c.owner), ==, 1);
	g_strlcpy(c.value, "v", sizeof(c.value));
	owner_request_commit(c.owner);
	wait_for_count(&f, &c.committed, 1);
	g_assert_cmpstr(fake_rows_get(&f.store, "progress", "s0", "k"), ==,
			"v");
	owner_fixture_close(&f);
}

/* A commit that took effect counts as done, though its answer was lost. */
static void test_lost_answer(void)
{
	struct owner_fixture f;
	struct candidate c;

	owner_fixture_open(&f);
	f.store.mode = FAKE_LOSE_ANSWER;
	/* Its incarnation's row, and the claim. */
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
	owner_fixture_close(&f);
}

/*
 * Guards against an owner that overrates its ownership after lost answers. If
 * the first attempt of a commit took effect, others count the silence from then
 * on, so the commit is confirmed as of its first attempt, not of its last one.
 */
static void test_confirmed_since_first_try(void)
{
	struct owner_fixture f;
	struct candidate c;

	owner_fixture_open(&f);
	candidate_start(&f, &c, "a", "1");
	wait_for_count(&f, &c.gained, 1);
	f.store.mode = FAKE_LOSE_ANSWER;
	f.store.mode_commits = 1;
	c.committed = 0;
	wait_for_count(&f, &c.committed, 1);
	g_assert_cmpint(f.store.mode_commits, <=, 0);
	g_assert_cmpint(owner_confirm_age_ms(c.owner), >=, 100);
	owner_fixture_close(&f);
}

/* An owner whose commits fail is replaced, and learns of it later. */
static void test_succession(void)
{
	struct owner_fixture f;
	struct candidate first;
	struct candidate second;

	owner_fixture_open(&f);
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
	g_assert_false(owner_owns_shard(first.owner));
	g_assert_true(owner_owns_shard(second.owner));
	g_assert_cmpint(owner_epoch(second.owner), ==, 2);
	owner_fixture_close(&f);
}

/* A shard that was released, or is owned by an earlier incarnation of the same
 * VM, is claimed without waiting for the silence limit. */
static void test_release_and_previous_incarnation(void)
{
	struct owner_fixture f;
	struct candidate first;
	struct candidate second;
	struct candidate third;
	int64_t start_ms;

	owner_fixture_open(&f);
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
	owner_fixture_close(&f);
}

/*
 * Guards against tasks counted as lost after planned stops in series (LOST 33
 * to 36 on dhl-pettycash). The handover of a released shard reaches the
 * successor, once, and the successor knows that no lease is renewed any more.
 */
static void test_release_hands_over(void)
{
	struct owner_fixture f;
	struct candidate first;
	struct candidate second;
	struct candidate third;

	owner_fixture_open(&f);
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
	owner_fixture_close(&f);
}

/*
 * Guards against two runs of one task: an owner cut off from the store still
 * renews leases while its successor stops as planned or is restarted. Every
 * later owner knows until when the first one may renew.
 */
static void test_stale_owner_outlives_a_successor(void)
{
	struct owner_fixture f;
	struct candidate first;
	struct candidate second;
	struct candidate third;
	struct candidate restarted;
	int64_t until_ms;

	owner_fixture_open(&f);
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
	owner_fixture_close(&f);
}

/*
 * Guards against an owner that never claims again because the answer to its
 * yield was lost. If all VMs did so, no VM would own the shard.
 */
static void test_yield_unanswered(void)
{
	struct owner_fixture f;
	struct candidate first;
	struct candidate second;

	owner_fixture_open(&f);
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
	owner_fixture_close(&f);
}

/* An owner that yielded claims again only after the time given. */
static void test_yield(void)
{
	struct owner_fixture f;
	struct candidate first;
	struct candidate second;

	owner_fixture_open(&f);
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
	owner_fixture_close(&f);
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

static void on_synced(int64_t version, int64_t store_ms, void *priv)
{
	(void)version;
	(void)store_ms;
	((struct watched_rows *)priv)->synced++;
}

static const struct row_watch_ops row_watch_ops = { on_row, on_synced };

/* Covers paging, several parts, changes, and a compacted history. */
static void test_row_watch(void)
{
	struct owner_fixture f;
	struct watched_rows s = { g_hash_table_new_full(g_str_hash, g_str_equal,
							g_free, g_free),
				  0, 0 };
	struct row_watch_options opt = {
		.table = "t", .part = "j", .parts = 2, .wait_ms = 1, .gap_ms = 5
	};
	struct rows rows;

	owner_fixture_open(&f);
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
	/* Deletes a row whose change is compacted before the watch reads it. */
	fake_rows_put(&f.store, "t", "j0", "c", NULL);
	f.store.oldest_kept = f.store.version;
	wait_for_count(&f, &s.deleted, 2);
	g_assert_null(g_hash_table_lookup(s.rows, "c"));
	g_assert_cmpuint(g_hash_table_size(s.rows), ==, 5);
	owner_fixture_close(&f);
	g_hash_table_destroy(s.rows);
}

#define FULL_ANSWER 500
#define LONG_GAP_MS 3000

/*
 * Guards against a watch that falls behind: more changes come in the pause
 * between two calls than one answer holds, as with the entries of 3,000
 * workers.
 */
static void test_row_watch_full_answer(void)
{
	struct owner_fixture f;
	struct watched_rows s = { g_hash_table_new_full(g_str_hash, g_str_equal,
							g_free, g_free),
				  0, 0 };
	struct row_watch_options opt = {
		.table = "t", .part = "j", .wait_ms = 1, .gap_ms = LONG_GAP_MS
	};
	struct rows rows;
	char key[8];
	int64_t began;

	owner_fixture_open(&f);
	rows = fake_rows_iface(&f.store);
	row_watch_start(f.ev, &rows, f.timers, &opt, &row_watch_ops, &s);
	wait_for_count(&f, &s.synced, 1);
	for (int i = 0; i < FULL_ANSWER; i++) {
		g_snprintf(key, sizeof(key), "k%d", i);
		fake_rows_put(&f.store, "t", "j", key, "1");
	}
	wait_for_count(&f, &s.synced, 2);
	g_assert_cmpuint(g_hash_table_size(s.rows), ==, FULL_ANSWER);
	began = clk_mono_ms(&clk_system);
	wait_for_count(&f, &s.synced, 3);
	g_assert_cmpint(clk_mono_ms(&clk_system) - began, <, LONG_GAP_MS / 2);
	owner_fixture_close(&f);
	g_hash_table_destroy(s.rows);
}

/* The watched store, and the dates of the first two reports. */
struct watched_clock {
	struct fake_rows *store;
	int64_t dates[2];
	int synced;
};

#define CLOCK_JUMP_MS 3600000

static void on_row_in_page(const struct rows_row *row, void *priv)
{
	struct watched_clock *w = priv;

	/* Changes of the first read are dropped, so the table is read again. In
	 * that read, the clock jumps between its pages. */
	if (!strcmp(row->key, "c")) {
		w->store->clock_ahead_ms = CLOCK_JUMP_MS;
		return;
	}
	fake_rows_put(w->store, "t", "j1", *row->key == 'a' ? "b" : "c", "1");
	w->store->oldest_kept = w->store->version;
}

static void on_dated(int64_t version, int64_t store_ms, void *priv)
{
	struct watched_clock *w = priv;

	(void)version;
	if (w->synced < 2)
		w->dates[w->synced] = store_ms;
	w->synced++;
}

/* A row may be added to a part that was read before the others, so a read of
 * several parts, if no changes are known beside it, is as old as its first
 * page. */
static void test_row_watch_dates(void)
{
	static const struct row_watch_ops ops = { on_row_in_page, on_dated };
	struct row_watch_options opt = { .table = "t",
					 .part = "j",
					 .parts = 2 };
	struct owner_fixture f;
	struct watched_clock w = { &f.store, { 0 }, 0 };
	struct rows rows;
	int64_t began;

	owner_fixture_open(&f);
	rows = fake_rows_iface(&f.store);
	began = clk_mono_ms(&clk_system);
	fake_rows_put(&f.store, "t", "j0", "a", "1");
	row_watch_start(f.ev, &rows, f.timers, &opt, &ops, &w);
	wait_for_count(&f, &w.synced, 2);
	g_assert_cmpint(w.dates[0], <, began + CLOCK_JUMP_MS);
	g_assert_cmpint(w.dates[1], >=, began + CLOCK_JUMP_MS);
	owner_fixture_close(&f);
}

struct lagging_watch {
	struct fake_rows *store;
	int rows;
	int synced;
};

static void on_row_then_lag(const struct rows_row *row, void *priv)
{
	struct lagging_watch *w = priv;

	(void)row;
	w->rows++;
	w->store->stale_table = "t";
	w->store->stale_version = 1;
}

static void on_lagging_synced(int64_t version, int64_t store_ms, void *priv)
{
	(void)version;
	(void)store_ms;
	((struct lagging_watch *)priv)->synced++;
}

/*
 * Guards against rows that are never reported: a page that was older than the
 * first one lacked them, and only changes after the first one were asked for.
 * Answers that lag don't show that all rows were reported, either.
 */
static void test_row_watch_lagging(void)
{
	static const struct row_watch_ops ops = { on_row_then_lag,
						  on_lagging_synced };
	struct row_watch_options opt = { .table = "t",
					 .part = "j",
					 .parts = 2 };
	struct owner_fixture f;
	struct lagging_watch w = { &f.store, 0, 0 };
	struct rows rows;
	int synced;

	owner_fixture_open(&f);
	rows = fake_rows_iface(&f.store);
	fake_rows_put(&f.store, "t", "j0", "a", "1");
	fake_rows_put(&f.store, "t", "j1", "b", "1");
	row_watch_start(f.ev, &rows, f.timers, &opt, &ops, &w);
	wait_for_count(&f, &w.rows, 1);
	run_loop_for(&f, 100);
	g_assert_cmpint(w.synced, ==, 0);
	f.store.stale_table = NULL;
	wait_for_count(&f, &w.rows, 2);
	/* The last row has made the store lag again: the changes made during
	 * the read aren't known. */
	run_loop_for(&f, 100);
	g_assert_cmpint(w.synced, ==, 0);
	f.store.stale_table = NULL;
	wait_for_count(&f, &w.synced, 1);
	/* Nor are those made later, while it lags. */
	f.store.stale_table = "t";
	run_loop_for(&f, 50);
	synced = w.synced;
	run_loop_for(&f, 100);
	g_assert_cmpint(w.synced, ==, synced);
	f.store.stale_table = NULL;
	wait_for_count(&f, &w.synced, synced + 1);
	owner_fixture_close(&f);
}

#define WATCH_WAIT_MS 30000

static void run_until_wait_is(struct owner_fixture *f, int64_t wait_ms)
{
	int64_t end = clk_mono_ms(&clk_system) + 20000;

	while (f->store.changes_wait_ms != wait_ms) {
		g_assert_cmpint(clk_mono_ms(&clk_system), <, end);
		tevent_loop_once(f->ev);
	}
}

/*
 * Guards against a VM that refuses calls for a second after the store is back:
 * its first call for changes waited for some, so that what the VM knows was not
 * confirmed until then.
 */
static void test_row_watch_after_failure(void)
{
	static const struct row_watch_ops ops = { on_row, on_synced };
	struct row_watch_options opt = { .table = "t",
					 .part = "",
					 .wait_ms = WATCH_WAIT_MS };
	struct owner_fixture f;
	struct watched_rows s = { 0 };
	struct rows rows;

	owner_fixture_open(&f);
	s.rows = g_hash_table_new(g_str_hash, g_str_equal);
	rows = fake_rows_iface(&f.store);
	row_watch_start(f.ev, &rows, f.timers, &opt, &ops, &s);
	wait_for_count(&f, &s.synced, 1);
	run_until_wait_is(&f, WATCH_WAIT_MS);
	f.store.changes_fail = true;
	run_until_wait_is(&f, 0);
	f.store.changes_fail = false;
	wait_for_count(&f, &s.synced, s.synced + 1);
	run_until_wait_is(&f, WATCH_WAIT_MS);
	owner_fixture_close(&f);
	g_hash_table_destroy(s.rows);
}

/* How long marked workers may have leases is passed on from owner to owner, and
 * counted from the last row seen, not from each takeover. */
static void test_long_leases_outlive_a_successor(void)
{
	struct owner_fixture f;
	struct candidate first;
	struct candidate restarted;
	int64_t began_ms = clk_mono_ms(&clk_system);

	owner_fixture_open(&f);
	fake_rows_put(&f.store, "owners", "s0", "owner",
		      "{\"vm\":\"x\",\"epoch\":4,\"long_leases_ms\":20000}");
	candidate_start(&f, &first, "a", "1");
	wait_for_count(&f, &first.gained, 1);
	g_assert_cmpint(first.long_leases_end_ms, >=, began_ms + 20000);
	g_assert_cmpint(first.long_leases_end_ms, <=,
			clk_mono_ms(&clk_system) + 20000 - SILENCE_MS);
	run_loop_for(&f, 300);
	candidate_start(&f, &restarted, "a", "2");
	wait_for_count(&f, &restarted.gained, 1);
	g_assert_cmpint(restarted.long_leases_end_ms, >=,
			first.long_leases_end_ms);
	g_assert_cmpint(restarted.long_leases_end_ms, <,
			first.long_leases_end_ms + 300);
	owner_fixture_close(&f);
}

void unit_add_state(void)
{
	g_test_add_func("/state/claim-and-commit", test_claim_and_commit);
	g_test_add_func("/state/lost-answer", test_lost_answer);
	g_test_add_func("/state/succession", test_succession);
	g_test_add_func("/state/release",
			test_release_and_previous_incarnation);
	g_test_add_func("/state/release-hands-over", test_release_hands_over);
	g_test_add_func("/state/doubt-outlives-a-successor",
			test_stale_owner_outlives_a_successor);
	g_test_add_func("/state/long-leases-outlive-a-successor",
			test_long_leases_outlive_a_successor);
	g_test_add_func("/state/yield-unanswered", test_yield_unanswered);
	g_test_add_func("/state/yield", test_yield);
	g_test_add_func("/state/confirmed-since-first-try",
			test_confirmed_since_first_try);
	g_test_add_func("/state/strong-comes-first", test_strong_comes_first);
	g_test_add_func("/state/follow", test_row_watch);
	g_test_add_func("/state/row-watch-full-answer",
			test_row_watch_full_answer);
	g_test_add_func("/state/row-watch-dates", test_row_watch_dates);
	g_test_add_func("/state/row-watch-lagging", test_row_watch_lagging);
	g_test_add_func("/state/row-watch-after-failure",
			test_row_watch_after_failure);
}
