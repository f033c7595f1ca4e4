/* What a watch of a table reports as known once it has read the table. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "state/page_size.h"
#include "state/row_watch.h"
#include "tests/owners.h"
#include "tests/unit.h"

#define LATE_ROWS 60

/* A table that changes while it is read. */
struct changing_table {
	struct fake_rows store;
	bool changed;
	bool compacts; /* then the store drops the history, too */
	int late_rows;
	int late_rows_at_first_report; /* -1: no report yet */
	int synced;
};

static void change(struct changing_table *t)
{
	char key[16];

	t->changed = true;
	for (int i = 0; i < LATE_ROWS; i++) {
		g_snprintf(key, sizeof(key), "late%d", i);
		fake_rows_put(&t->store, "t", "j0", key, "1");
	}
	if (t->compacts)
		t->store.oldest_kept = t->store.version;
}

static void on_row(const struct rows_row *row, void *priv)
{
	struct changing_table *t = priv;

	t->late_rows += g_str_has_prefix(row->key, "late");
	/* The first part has been read by now. */
	if (!strcmp(row->key, "b") && !t->changed)
		change(t);
}

static void on_synced(int64_t version, int64_t store_ms, void *priv)
{
	struct changing_table *t = priv;

	(void)version;
	(void)store_ms;
	if (t->late_rows_at_first_report < 0)
		t->late_rows_at_first_report = t->late_rows;
	t->synced++;
}

static void check_first_report(bool compacts)
{
	static const struct row_watch_ops ops = { on_row, on_synced };
	struct row_watch_options opt = {
		.table = "t", .part = "j", .parts = 2, .wait_ms = 1
	};
	struct owner_fixture f;
	struct changing_table t = { .late_rows_at_first_report = -1,
				    .compacts = compacts };
	struct rows rows;

	owner_fixture_open(&f);
	fake_rows_init(&t.store, f.timers);
	rows = fake_rows_iface(&t.store);
	fake_rows_put(&t.store, "t", "j0", "a", "1");
	fake_rows_put(&t.store, "t", "j1", "b", "1");
	row_watch_start(f.ev, &rows, f.timers, &opt, &ops, &t);
	wait_for_count(&f, &t.synced, 1);
	g_assert_cmpint(t.late_rows_at_first_report, ==, LATE_ROWS);
	owner_fixture_close(&f);
	fake_rows_destroy(&t.store);
}

/*
 * Guards against acting on a state as old as its read (UNASKED, review/7):
 * while a new owner read the jobs over a slow link, jobs in the parts that it
 * had read were cancelled, and it started their tasks.
 */
static void test_changes_during_read(void)
{
	check_first_report(false);
}

/* If the store has dropped these changes, the table is read again. */
static void test_changes_dropped_during_read(void)
{
	check_first_report(true);
}

/*
 * Guards against owners that lose their shard while they load it (review/6): a
 * page of 1 MB keeps their commits from a slow link for seconds.
 */
static void test_page_size(void)
{
	struct rows_row rows[10];
	const struct rows_answer ans = { .n = G_N_ELEMENTS(rows),
					 .rows = rows };
	struct page_size p = { .bytes_max = page_size_bytes_max(2000) };
	char value[2401];

	memset(value, 'x', sizeof(value) - 1);
	value[sizeof(value) - 1] = '\0';
	for (guint i = 0; i < G_N_ELEMENTS(rows); i++)
		rows[i] = (struct rows_row){ .value = value };
	/* 75,000 bytes: 300 ms of 2 Mbit/s. */
	g_assert_cmpint(page_size_rows(&p), ==, 20);
	page_size_note(&p, &ans);
	g_assert_cmpint(page_size_rows(&p), ==, 22);
	p.row_bytes = 10 * p.bytes_max;
	g_assert_cmpint(page_size_rows(&p), ==, 1);
	p.bytes_max = page_size_bytes_max(200000);
	g_assert_cmpint(page_size_rows(&p), ==, 0);
	p.bytes_max = page_size_bytes_max(0);
	g_assert_cmpint(page_size_rows(&p), ==, 0);
}

void unit_add_row_watch(void)
{
	g_test_add_func("/state/page-size", test_page_size);
	g_test_add_func("/state/row-watch-catches-up",
			test_changes_during_read);
	g_test_add_func("/state/row-watch-reads-again",
			test_changes_dropped_during_read);
}
