/* Expected ends with and without a wait for a better place. */
#include "coordination/wait_value.h"

#include <math.h>

/* Rates are means over about this time, in ms. Bursts last for some seconds. */
#define RATE_MEAN_MS 3000.0
/* A rate is known once events were counted for this long, in ms. */
#define RATE_KNOWN_MS 1000

double wait_value_speed_min(const struct wait_facts *f)
{
	double run = (double)MAX(f->run_ms, 1);
	/* A task that has waited for what a start at some speed would have lost
	 * starts at that speed, however long the wait is expected to be. */
	double wait = (double)MAX(MAX(f->expected_wait_ms, f->waited_ms), 0);
	double speed = run / (run + wait);

	/* If only a start now is in time, the latest end that is in time counts
	 * and not the earliest one. */
	if (f->left_ms > 0 && f->expected_wait_ms + f->run_ms > f->left_ms)
		speed = fmin(speed, run / (double)f->left_ms);
	return fmin(fmax(speed, WAIT_VALUE_SPEED_MIN), WAIT_VALUE_FULL_SPEED);
}

bool wait_value_pays(const struct wait_facts *f, int64_t saved_ms)
{
	bool in_time_now = f->run_ms + saved_ms <= f->left_ms;

	return !in_time_now && f->waited_ms < saved_ms &&
	       f->expected_wait_ms < saved_ms;
}

static double rate_at(const struct wait_rate *r, int64_t now_ms)
{
	return r->per_s * exp(-(double)(now_ms - r->updated_ms) / RATE_MEAN_MS);
}

void wait_rate_add(struct wait_rate *r, int64_t now_ms)
{
	if (!r->since_ms)
		r->since_ms = now_ms;
	r->per_s = rate_at(r, now_ms) + 1000 / RATE_MEAN_MS;
	r->updated_ms = now_ms;
}

int64_t wait_rate_time_ms(const struct wait_rate *r, int64_t n, int64_t now_ms)
{
	double rate = rate_at(r, now_ms);

	if (!r->since_ms || now_ms - r->since_ms < RATE_KNOWN_MS || rate <= 0)
		return -1;
	return (int64_t)fmin((double)n * 1000 / rate, 1e9);
}
