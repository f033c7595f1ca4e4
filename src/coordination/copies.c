/* Second copies of slow runs. */
#include "coordination/copies.h"

#include <glib.h>

/* A copy has to save this part of its own running time at least, in percent:
 * its start costs, and both estimates are rough. */
#define SAVING_MIN_PERCENT 50
/* Part of the runs that may be copies, in percent. Of a hundred tasks about
 * three are slow, and not all of their steps allow copies. */
#define COPIES_PERCENT 2
/* A small deployment may have this many all the same. */
#define COPIES_MIN 2

/* Returns the time in ms that the run is expected to take from now on. */
static int64_t expected_rest_ms(const struct copy_facts *f)
{
	int64_t total_ms;

	/* Without any progress it is as likely to last as long again. */
	if (f->percent <= 0)
		return f->elapsed_ms;
	total_ms = f->percent_ms * 100 / f->percent;
	return MAX(total_ms - f->elapsed_ms, 0);
}

bool copies_pay(const struct copy_facts *f)
{
	int64_t copy_ms = f->typical_ms * (100 + SAVING_MIN_PERCENT) / 100;

	/* The platform counts a copy that fails, too: it must not use up the
	 * last attempt. */
	if (f->failures + 1 >= f->attempts)
		return false;
	return f->elapsed_ms >= f->long_ms && expected_rest_ms(f) >= copy_ms;
}

int32_t copies_max(int32_t runs)
{
	return MAX(runs * COPIES_PERCENT / 100, COPIES_MIN);
}
