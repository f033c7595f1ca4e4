/* Tests how a VM that is about to own a shard reads its rows in advance, over a
 * store in memory. */
#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "fleet/shard_ctl_int.h"
#include "tests/ctl_fixture.h"
#include "tests/unit.h"

#define JOBS 850
/* Long compared with the time that the rows take to be parsed. */
#define ROUND_TRIP_MS 200
/* What a load takes at most, in round trips. It needs 5; the others are for a
 * machine that is busy. */
#define LOAD_ROUNDS_MAX 9
/* The store's own limit. */
#define PAGE_ROWS 500

/* Writes a job with the progress that its owner has stored. */
static void put_job(const char *id, const char *progress)
{
	struct jobspec *spec = fixture_spec(id, "short", 1, 8);
	json_t *j = jobspec_pack(spec);
	char *text = json_dumps(j, JSON_COMPACT);
	char table[SHARD_CTL_NAME_MAX];
	char part[SHARD_CTL_NAME_MAX];

	fake_rows_put(&fx->store, shard_ctl_jobs_table(0, table),
		      shard_ctl_job_part(0, shard_ctl_job_part_of(id), part),
		      id, text);
	if (progress)
		fake_rows_put(&fx->store, SHARD_CTL_PROGRESS_TABLE, "s0", id,
			      progress);
	free(text);
	json_decref(j);
	talloc_free(spec);
}

static void put_jobs(void)
{
	for (int i = 0; i < JOBS; i++) {
		g_autofree char *id = g_strdup_printf("job%d", i);

		put_job(id, "{\"state\":\"running\",\"queue\":\"short\"}");
	}
}

/*
 * Guards against a load that reads one part of a table after another: it took
 * 12 round trips, 2 s where the store is in another region and slow.
 */
static void test_load_after_loss(void)
{
	int64_t took_ms;

	ctl_fixture_open();
	put_jobs();
	fx->store.reply_ms = ROUND_TRIP_MS;
	fx->store.page_rows = PAGE_ROWS;
	ctl_fixture_start();
	await_active();
	took_ms = clk_mono_ms(&clk_system) - await_active()->taken_over_ms;
	g_test_message("loaded in %lld ms, %d reads, %d for changes",
		       (long long)took_ms, fx->store.reads,
		       fx->store.changes_calls);
	g_assert_cmpint(took_ms, <, LOAD_ROUNDS_MAX * ROUND_TRIP_MS);
	ctl_fixture_close();
}

void unit_add_read_ahead(void)
{
	g_test_add_func("/read-ahead/load-after-loss", test_load_after_loss);
}
