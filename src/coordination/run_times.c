/* Distributions of running times relative to estimates. */
#include "coordination/run_times.h"

#include "base/hist.h"

/* Ratios are kept in millionths, in a histogram made for microseconds. */
#define RATIO_SCALE 1000000.0
/* Larger ratios come from tasks that were held up, not from long work. */
#define RATIO_MAX 100.0

void run_times_init(struct run_times *t)
{
	t->kinds =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void run_times_finish(struct run_times *t)
{
	g_hash_table_destroy(t->kinds);
	t->kinds = NULL;
}

static struct hist *get_kind(struct run_times *t, const char *kind)
{
	struct hist *h = g_hash_table_lookup(t->kinds, kind);

	if (h)
		return h;
	h = g_new(struct hist, 1);
	hist_init(h);
	g_hash_table_insert(t->kinds, g_strdup(kind), h);
	return h;
}

void run_times_record(struct run_times *t, const char *kind,
		      int64_t expected_ms, int64_t ran_ms)
{
	double ratio;

	if (expected_ms <= 0 || ran_ms < 0)
		return;
	ratio = (double)ran_ms / (double)expected_ms;
	hist_record(get_kind(t, kind),
		    (int64_t)(MIN(ratio, RATIO_MAX) * RATIO_SCALE));
}

int64_t run_times_quantile_ms(const struct run_times *t, const char *kind,
			      int64_t expected_ms, double q)
{
	const struct hist *h = g_hash_table_lookup(t->kinds, kind);

	if (!h || h->count < RUN_TIMES_SAMPLES_MIN)
		return expected_ms;
	return (int64_t)((double)expected_ms * (double)hist_quantile_us(h, q) /
			 RATIO_SCALE);
}
