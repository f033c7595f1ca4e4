/* Answers of the platform that are broken: none is taken for another. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "pf_rows.h"
#include "pf_worker.h"
#include "tests/fuzz.h"
#include "tests/unit.h"

static void ignore_clock(int64_t now_ms, void *priv)
{
	(void)now_ms;
	(void)priv;
}

static void copy_result(const struct rows_answer *ans, void *priv)
{
	*(enum rows_result *)priv = ans->result;
}

static enum rows_result read_answered(const char *text)
{
	static const struct pf_rows_ops ops = { ignore_clock };
	struct rows_range range = { .table = "t", .part = "" };
	struct pf_rows *p =
		pf_rows_start(NULL, NULL, &clk_system, "", &ops, NULL);
	struct rows rows = pf_rows_table(p);
	enum rows_result res = ROWS_GONE;

	rows.ops->read(rows.self, &range, copy_result, &res);
	fuzz_answer(text, strlen(text));
	talloc_free(p);
	return res;
}

/*
 * Failure: an answer to a read that was none, or listed rows without keys, was
 * taken for an empty part of the store: jobs there would be told as absent.
 */
static void test_read_without_rows(void)
{
	static const char *const broken[] = {
		"",
		"{}",
		"[]",
		"7",
		"{\"rows\":[]}",
		"{\"rows\":{},\"ver\":1}",
		"{\"rows\":[7],\"ver\":1}",
		"{\"rows\":[{\"ver\":1}],\"ver\":1}",
	};

	g_assert_cmpint(read_answered("{\"rows\":[],\"ver\":1}"), ==, ROWS_OK);
	g_assert_cmpint(read_answered("{\"ver\":1}"), ==, ROWS_OK);
	g_assert_cmpint(read_answered("{\"rows\":[{\"key\":\"\"}],\"ver\":1}"),
			==, ROWS_OK);
	for (size_t i = 0; i < G_N_ELEMENTS(broken); i++)
		g_assert_cmpint(read_answered(broken[i]), ==, ROWS_UNKNOWN);
}

void unit_add_answers(void)
{
	g_test_add_func("/answers/read-without-rows", test_read_without_rows);
}
