/* Token buckets of organisations. */
#include "org/org_rate.h"

/* One job, in the unit of levels. */
#define JOB 1000

struct bucket {
	int64_t level; /* tokens in thousandths of a job */
	int64_t at_ms; /* time of `level` */
};

void org_rates_init(struct org_rates *r)
{
	r->table =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void org_rates_finish(struct org_rates *r)
{
	g_hash_table_destroy(r->table);
	r->table = NULL;
}

int64_t org_rate_level_max(const struct org *org)
{
	if (!org->weight)
		return 0;
	/* A weight is in jobs a second, so also in thousandths of a job in a
	 * millisecond. */
	return MAX(JOB, org->weight * ORG_RATE_BURST_MS);
}

/* Returns what the bucket holds `elapsed_ms` after its time. */
static int64_t level_after(const struct bucket *b, const struct org *org,
			   int64_t elapsed_ms)
{
	int64_t max = org_rate_level_max(org);

	/* It is full by then; the product could overflow. */
	if (elapsed_ms >= ORG_RATE_BURST_MS + JOB)
		return max;
	return MIN(max, b->level + org->weight * MAX(elapsed_ms, 0));
}

int64_t org_rate_level(const struct org_rates *r, const struct org *org,
		       int64_t at_ms)
{
	const struct bucket *b = g_hash_table_lookup(r->table, org->name);

	return b ? level_after(b, org, at_ms - b->at_ms)
		 : org_rate_level_max(org);
}

bool org_rate_take(struct org_rates *r, const struct org *org, int64_t at_ms)
{
	struct bucket *b = g_hash_table_lookup(r->table, org->name);
	int64_t early_ms;

	if (!b) {
		b = g_new(struct bucket, 1);
		*b = (struct bucket){ org_rate_level_max(org), at_ms };
		g_hash_table_insert(r->table, g_strdup(org->name), b);
	}
	if (at_ms > b->at_ms) {
		b->level = level_after(b, org, at_ms - b->at_ms);
		b->at_ms = at_ms;
	}
	/* At `at_ms` there was at least the present level, less what came in
	 * since: if that covers the job, taking its token there leaves enough
	 * for all jobs that took one since. */
	early_ms = MIN(b->at_ms - at_ms, ORG_RATE_BURST_MS + JOB);
	if (b->level - org->weight * early_ms < JOB)
		return false;
	b->level -= JOB;
	return true;
}
