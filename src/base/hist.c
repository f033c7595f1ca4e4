/* Log-linear histograms; lock-free. */
#include "base/hist.h"

#include <string.h>

static int bucket_index(uint64_t us)
{
	int exp;

	if (us < HIST_SUB)
		return (int)us;
	exp = 63 - __builtin_clzll(us);
	if (exp >= 40)
		return HIST_BUCKETS - 1;
	return (exp - HIST_SUB_BITS + 1) * HIST_SUB +
	       (int)((us >> (exp - HIST_SUB_BITS)) & (HIST_SUB - 1));
}

static int64_t bucket_max_us(int bucket)
{
	int exp = bucket / HIST_SUB + HIST_SUB_BITS - 1;
	int64_t sub = bucket % HIST_SUB;

	if (bucket < HIST_SUB)
		return bucket;
	return ((HIST_SUB + sub + 1) << (exp - HIST_SUB_BITS)) - 1;
}

void hist_init(struct hist *h)
{
	memset(h, 0, sizeof(*h));
}

void hist_record(struct hist *h, int64_t us)
{
	uint64_t v = us < 0 ? 0 : (uint64_t)us;
	uint64_t max = atomic_load(&h->max_us);

	atomic_fetch_add_explicit(&h->bucket[bucket_index(v)], 1,
				  memory_order_relaxed);
	atomic_fetch_add_explicit(&h->sum_us, v, memory_order_relaxed);
	atomic_fetch_add_explicit(&h->count, 1, memory_order_relaxed);
	while (v > max && !atomic_compare_exchange_weak(&h->max_us, &max, v))
		;
}

int64_t hist_quantile_us(const struct hist *h, double q)
{
	uint64_t total = atomic_load(&h->count);
	uint64_t rank = (uint64_t)(q * (double)total + 0.999999);
	uint64_t cumulative = 0;

	if (!total)
		return 0;
	if (rank < 1)
		rank = 1;
	for (int i = 0; i < HIST_BUCKETS; i++) {
		cumulative += atomic_load_explicit(&h->bucket[i],
						   memory_order_relaxed);
		if (cumulative >= rank)
			return bucket_max_us(i);
	}
	return (int64_t)atomic_load(&h->max_us);
}
