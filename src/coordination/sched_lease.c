/*
 * Leases that outlast those that owners grant. A call to a worker may take
 * effect in the worker's next incarnation under the same id. The lease end that
 * it carries, on a clock that starts anew with each incarnation, is then far
 * ahead, and the worker cuts the lease to the longest that it allows.
 *
 * The owner knows of the restart, but a successor might never reach the worker.
 * So the roster marks such workers, and the owner's row says how long the last
 * of these leases may last. Other workers are not waited for any longer.
 */
#include <stdio.h>

#include "coordination/sched_int.h"

void sched_note_long_lease(struct sched *s, struct sched_worker *w,
			   int64_t expiry_ms)
{
	if (expiry_ms <= w->long_lease_expiry_ms)
		return;
	w->long_lease_expiry_ms = expiry_ms;
	/* A successor waits for leases of lease_ms in any case. */
	if (s->lim.lease_max_ms <= s->lim.lease_ms)
		return;
	w->has_long_lease = true;
	w->roster_stored = false;
	/* A commit under way doesn't say so. */
	w->roster_committing = false;
	sched_roster_mark_dirty(s, w);
}

void sched_note_restart(struct sched *s, struct sched_worker *w, int64_t now_ms)
{
	int64_t granted_ms = now_ms;
	char text[64];

	if (w->lease_sent_ms)
		granted_ms =
			MAX(granted_ms, w->lease_sent_ms + s->lim.call_max_ms);
	if (s->epoch > 1)
		granted_ms = MAX(granted_ms, s->prev_owner.renews_until_ms);
	sched_note_long_lease(
		s, w, granted_ms + sched_lease_bound_ms(s->lim.lease_max_ms));
	snprintf(text, sizeof(text), "leases may last for %lld ms",
		 (long long)(w->long_lease_expiry_ms - now_ms));
	s->ops->log_decision(s->priv, "worker restarted", NULL, w, text);
}

void sched_end_long_lease(struct sched *s, struct sched_worker *w,
			  int64_t now_ms)
{
	w->long_lease_expiry_ms =
		MIN(w->long_lease_expiry_ms,
		    now_ms + sched_lease_bound_ms(s->lim.lease_max_ms));
}

void sched_check_long_lease(struct sched *s, struct sched_worker *w,
			    int64_t now_ms)
{
	if (!w->has_long_lease || now_ms < w->long_lease_expiry_ms)
		return;
	w->has_long_lease = false;
	sched_roster_mark_dirty(s, w);
}

int64_t sched_long_leases_until_ms(const struct sched *s)
{
	int64_t until_ms = 0;

	/* A worker missing from the roster may have one. */
	if (s->roster_incomplete_until_ms)
		until_ms = s->prev_owner.long_leases_until_ms;
	for (guint i = 0; i < s->worker_list->len; i++) {
		const struct sched_worker *w =
			g_ptr_array_index(s->worker_list, i);

		if (w->has_long_lease)
			until_ms = MAX(until_ms, w->long_lease_expiry_ms);
	}
	return until_ms;
}
