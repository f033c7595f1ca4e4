/*
 * Takeover from previous owners of the shard: the leases that they granted, and
 * the handover, which lists the workers that did not answer the previous owner
 * and the runs that may be active there.
 */
#include <stdio.h>
#include <string.h>

#include "coordination/sched_int.h"
#include "protocol/num.h"

/* Id of the entry for workers missing from an incomplete roster. No worker has
 * this id. */
#define UNKNOWN_WORKERS_ID ""

void sched_set_prev_owner(struct sched *s, const struct sched_prev_owner *prev)
{
	s->prev_owner = *prev;
}

int64_t sched_prev_lease_expiry_ms(const struct sched *s)
{
	return s->prev_owner.renews_until_ms +
	       sched_lease_bound_ms(s->prev_owner.lease_ms);
}

static json_t *pack_runs(const struct sched_worker *w)
{
	json_t *list = json_array();

	for (const GList *i = w->runs.head; i; i = i->next) {
		struct sched_ref ref;

		sched_run_ref(i->data, &ref);
		json_array_append_new(list,
				      json_pack("[s,I,i,i,i]", ref.job,
						(json_int_t)ref.round, ref.step,
						ref.index, ref.run));
	}
	return list;
}

static json_t *pack_entry(const char *id, int64_t left_ms, json_t *runs)
{
	return json_pack("[s,I,o]", id, (json_int_t)(left_ms > 0 ? left_ms : 0),
			 runs);
}

json_t *sched_handover_pack(const struct sched *s, int32_t runs_max,
			    int64_t now_ms)
{
	json_t *list = json_array();

	if (now_ms < s->roster_incomplete_until_ms)
		json_array_append_new(
			list, pack_entry(UNKNOWN_WORKERS_ID,
					 s->roster_incomplete_until_ms - now_ms,
					 json_null()));
	for (guint i = 0; i < s->worker_list->len; i++) {
		const struct sched_worker *w =
			g_ptr_array_index(s->worker_list, i);
		int64_t left_ms = sched_lease_expiry_ms(w) - now_ms;
		bool exceeds_lease =
			left_ms > sched_lease_bound_ms(s->lim.lease_ms);
		int32_t n = (int32_t)w->runs.length;
		bool include_runs =
			(w->reconciled || w->inherited_runs_known) &&
			n <= runs_max;

		if (w->reconciled && !w->unreachable && !exceeds_lease)
			continue;
		json_array_append_new(
			list,
			pack_entry(w->row.id, left_ms,
				   include_runs ? pack_runs(w) : json_null()));
		runs_max -= include_runs ? n : 0;
	}
	sched_crash_pack(s, list, runs_max, now_ms);
	return list;
}

bool sched_unpack_ref(const json_t *j, struct sched_ref *ref)
{
	const char *job = json_string_value(json_array_get(j, 0));
	int64_t n[3];

	memset(ref, 0, sizeof(*ref));
	if (!job || strlen(job) >= sizeof(ref->job) ||
	    !num_integer(json_array_get(j, 1), 0, NUM_MAX, &ref->round))
		return false;
	for (size_t i = 0; i < 3; i++) {
		if (!num_integer(json_array_get(j, i + 2), 0, INT32_MAX, &n[i]))
			return false;
	}
	g_strlcpy(ref->job, job, sizeof(ref->job));
	ref->step = (int32_t)n[0];
	ref->index = (int32_t)n[1];
	ref->run = (int32_t)n[2];
	return true;
}

/* Adds a run that may be active at the worker. The first report under this
 * owner's fence token that lacks the run removes it. Returns false if the run
 * can't be tracked yet. */
static bool restore_run(struct sched *s, struct sched_worker *w,
			const struct sched_ref *ref, int64_t now_ms,
			int64_t wall_ms)
{
	struct sched_task *t =
		sched_find_reported_task(s, ref, now_ms, wall_ms);
	struct sched_run *run;

	if (!t)
		return !sched_is_beyond_window(s, ref);
	if (t->done || sched_job_has_ended(t->step->round->job))
		return true;
	run = sched_run_new(s, t, w, ref->run, now_ms);
	sched_org_run_found(s, run);
	run->state = SCHED_RUN_UNCERTAIN;
	run->fence = 0;
	run->pace_uncertain = true;
	if (t->step->gang_run < ref->run)
		t->step->gang_run = ref->run;
	return true;
}

static void restore_worker(struct sched *s, const json_t *entry, int64_t now_ms,
			   int64_t wall_ms)
{
	const char *id = json_string_value(json_array_get(entry, 0));
	const json_t *runs = json_array_get(entry, 2);
	struct sched_worker *w =
		id ? g_hash_table_lookup(s->workers, id) : NULL;
	int64_t expiry_ms;
	const json_t *j;
	size_t i;

	/* Without a valid expiry, the one set at the takeover remains, which
	 * assumes the longest lease. */
	if (!num_integer(json_array_get(entry, 1), 0, NUM_MAX, &expiry_ms))
		return;
	expiry_ms += s->taken_over_ms;
	if (!w) {
		s->roster_incomplete_until_ms =
			MAX(s->roster_incomplete_until_ms, expiry_ms);
		return;
	}
	if (w->reconciled)
		return;
	w->prev_lease_expiry_ms = expiry_ms;
	w->long_lease_expiry_ms = MIN(w->long_lease_expiry_ms, expiry_ms);
	if (expiry_ms > sched_prev_lease_expiry_ms(s))
		sched_note_long_lease(s, w, expiry_ms);
	w->unreachable = true;
	w->inherited_runs_known = json_is_array(runs);
	json_array_foreach(runs, i, j)
	{
		struct sched_ref ref;

		if (!sched_unpack_ref(j, &ref) ||
		    !restore_run(s, w, &ref, now_ms, wall_ms))
			w->inherited_runs_known = false;
	}
}

int32_t sched_handover_apply(struct sched *s, const json_t *handover,
			     int64_t now_ms, int64_t wall_ms)
{
	const json_t *entry;
	size_t i;

	json_array_foreach(handover, i, entry)
	{
		if (!sched_crash_restore(s, entry, now_ms))
			restore_worker(s, entry, now_ms, wall_ms);
	}
	return (int32_t)json_array_size(handover);
}

json_t *sched_handover_forward(const json_t *handover, int64_t waited_ms)
{
	json_t *list = handover ? json_deep_copy(handover) : json_array();
	json_t *entry;
	size_t i;

	json_array_foreach(list, i, entry)
	{
		int64_t left_ms = json_integer_value(json_array_get(entry, 1));

		left_ms = left_ms > waited_ms ? left_ms - waited_ms : 0;
		json_array_set_new(entry, 1, json_integer(left_ms));
	}
	return list;
}

bool sched_may_miss_runs(const struct sched *s, int64_t now_ms)
{
	for (guint i = 0; i < s->worker_list->len; i++) {
		const struct sched_worker *w =
			g_ptr_array_index(s->worker_list, i);

		if (!w->reconciled && !w->inherited_runs_known &&
		    now_ms < MAX(w->prev_lease_expiry_ms,
				 w->long_lease_expiry_ms))
			return true;
	}
	return now_ms < s->roster_incomplete_until_ms;
}
