/*
 * Decides how long a task waits for a better place: one near its data or group,
 * or one where serving tasks slow it down less. What counts is the expected
 * end: starting now at a lower speed against waiting and then running at full
 * speed. Pure: no clock, no I/O.
 */
#ifndef WAIT_VALUE_H
#define WAIT_VALUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* At this share of full speed a place counts as good: estimates of speeds are
 * no more exact. */
#define WAIT_VALUE_FULL_SPEED 0.9
/* Lower speeds are not accepted: they are small differences of two uncertain
 * estimates, and such tasks were soon paused, and moved at the cost of what
 * they had done. */
#define WAIT_VALUE_SPEED_MIN 0.6

/* What a decision is based on; times in ms. */
struct wait_facts {
	int64_t run_ms; /* expected running time at full speed */
	int64_t waited_ms; /* so far */
	/* Expected further wait for a good place; negative: unknown. */
	int64_t expected_wait_ms;
	/* Until the task has to be done for its job to be in time. */
	int64_t left_ms;
};

/*
 * Returns the lowest speed, relative to full speed, at which the task is better
 * started now. It falls as the task waits: a wait never costs more than it
 * could have saved.
 */
double wait_value_speed_min(const struct wait_facts *f);

/* Returns whether waiting for a place that saves `saved_ms` of running time
 * still pays. */
bool wait_value_pays(const struct wait_facts *f, int64_t saved_ms);

/* Rate of events, as a mean in which older ones count less. */
struct wait_rate {
	double per_s;
	int64_t since_ms; /* of the first event; 0: there was none */
	int64_t updated_ms;
};

/* Counts an event at `now_ms`. */
void wait_rate_add(struct wait_rate *r, int64_t now_ms);

/* Returns the time in ms that `n` further events are expected to take; -1 if
 * the rate isn't known. */
int64_t wait_rate_time_ms(const struct wait_rate *r, int64_t n, int64_t now_ms);

#endif
