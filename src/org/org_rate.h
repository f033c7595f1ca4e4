/*
 * The rate at which organisations submit jobs. An organisation of weight w may
 * submit w jobs a second, and ORG_RATE_BURST_MS worth of them at once; what it
 * submits beyond that is in excess. Each organisation has a token bucket that a
 * job takes a token from.
 *
 * Times are those at which jobs were accepted, by the store's clock, so that a
 * successor that reads the same jobs comes to the same result. Jobs in excess
 * take no token. So a job that has a token still gets one if jobs of other
 * times are missing, as they are once they have ended, provided that those in
 * excess are known (their mark is stored).
 */
#ifndef ORG_RATE_H
#define ORG_RATE_H

#include <glib.h>

#include "org/org.h"

/* Covers ordinary unevenness: of jobs that come independently of each other at
 * a tenth below the rate, hardly any is in excess. */
#define ORG_RATE_BURST_MS 3000

struct org_rates {
	GHashTable *table; /* name to struct bucket */
};

void org_rates_init(struct org_rates *r);
void org_rates_finish(struct org_rates *r);

/*
 * Returns whether the organisation has a token for a job accepted at `at_ms`,
 * and takes it. Jobs should come in order of `at_ms`. One that is accepted
 * before an earlier one of this function is treated strictly: it gets a token
 * only if it would get one in order, too, and take it from none of the others.
 */
bool org_rate_take(struct org_rates *r, const struct org *org, int64_t at_ms);

/* Returns the tokens that the organisation has at that time, in thousandths of
 * a job. */
int64_t org_rate_level(const struct org_rates *r, const struct org *org,
		       int64_t at_ms);
/* Returns the largest number of tokens, in thousandths of a job. */
int64_t org_rate_level_max(const struct org *org);

#endif
