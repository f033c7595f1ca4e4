/* How a watch of a table reads it. */
#include <glib.h>
#include <string.h>

#include "state/page_size.h"
#include "tests/unit.h"

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
}
