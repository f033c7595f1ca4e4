/*
 * Connects the scheduler with the caps of organisations (org/org_caps): what
 * may be running beside the accounts, and what keeps a step from starting.
 */
#include <string.h>

#include "coordination/sched_int.h"

/* A run at a worker that is in no account but may be active. */
struct untracked_run {
	const struct org_account *acc;
	struct place_resources size;
	/* The rest is of runs that were dropped; others are in the latest
	 * report. */
	bool dropped;
	bool was_active;
	int64_t started_ms;
	int64_t fence;
};

static struct place_resources size_of(const struct jobspec_step *def)
{
	return (struct place_resources){ def->cpu_milli, def->mem_mib,
					 def->accelerators };
}

void sched_set_prev_grants(struct sched *s, const json_t *grants, bool ended)
{
	org_caps_set_earlier(&s->caps, grants, ended);
}

int32_t sched_org_tasks(const struct sched_step *step)
{
	return step->def->gang ? step->def->tasks : 1;
}

bool sched_org_has_cap(const struct sched_step *step)
{
	const struct org_account *acc = step->round->job->org;

	return acc && acc->def && org_cap_is_set(&acc->def->cap);
}

enum org_wait sched_org_wait(struct sched *s, const struct sched_step *step,
			     int32_t n, int64_t now_ms)
{
	struct place_resources size = size_of(step->def);

	return org_caps_ask(&s->caps, step->round->job->org, &size, n, now_ms);
}

int32_t sched_org_claim(const struct sched *s, const struct sched_step *step,
			int32_t n, GHashTable *claimed)
{
	struct org_account *acc = step->round->job->org;
	struct place_resources size = size_of(step->def);
	struct place_resources *sum;
	int32_t fit;

	if (!acc)
		return n;
	sum = g_hash_table_lookup(claimed, acc);
	if (!sum) {
		sum = g_new0(struct place_resources, 1);
		g_hash_table_insert(claimed, acc, sum);
	}
	fit = (int32_t)org_caps_fitting(&s->caps, acc, sum, &size, n);
	if (step->def->gang && fit < n)
		fit = 0;
	sum->cpu_milli += fit * size.cpu_milli;
	sum->mem_mib += fit * size.mem_mib;
	sum->accelerators += fit * size.accelerators;
	return fit;
}

void sched_org_run_found(struct sched *s, struct sched_run *run)
{
	struct place_resources size = size_of(run->task->step->def);

	run->of_earlier_owner = true;
	org_caps_adjust_earlier(&s->caps, run->task->step->round->job->org,
				&size, 1);
}

void sched_org_run_freed(struct sched *s, const struct sched_run *run)
{
	struct place_resources size = size_of(run->task->step->def);

	if (run->of_earlier_owner)
		org_caps_adjust_earlier(
			&s->caps, run->task->step->round->job->org, &size, -1);
}

static void add_untracked(struct sched *s, struct sched_worker *w,
			  const struct untracked_run *run)
{
	if (!w->untracked)
		w->untracked = g_array_new(FALSE, FALSE, sizeof(*run));
	g_array_append_val(w->untracked, *run);
	org_caps_adjust_untracked(&s->caps, run->acc, &run->size, 1);
}

void sched_org_run_dropped(struct sched *s, const struct sched_run *run)
{
	const struct untracked_run dropped = {
		.acc = run->task->step->round->job->org,
		.size = size_of(run->task->step->def),
		.dropped = true,
		.was_active = run->state == SCHED_RUN_ACTIVE,
		.started_ms = run->started_ms,
		.fence = run->fence,
	};

	if (dropped.acc)
		add_untracked(s, run->worker, &dropped);
}

void sched_org_run_untracked(struct sched *s, struct sched_worker *w,
			     const struct sched_ref *ref)
{
	const struct sched_job *job = g_hash_table_lookup(s->jobs, ref->job);
	struct untracked_run run = { 0 };

	/* Of jobs that had ended when they were loaded, no steps are known. */
	if (!job || ref->step < 0 || ref->step >= job->spec->n_steps) {
		w->n_unattributed++;
		return;
	}
	run.acc = job->org;
	run.size = size_of(&job->spec->steps[ref->step]);
	if (run.acc)
		add_untracked(s, w, &run);
}

static void remove_untracked(struct sched *s, struct sched_worker *w, guint i)
{
	const struct untracked_run *run =
		&g_array_index(w->untracked, struct untracked_run, i);

	org_caps_adjust_untracked(&s->caps, run->acc, &run->size, -1);
	g_array_remove_index_fast(w->untracked, i);
}

void sched_org_report_begins(struct sched *s, struct sched_worker *w,
			     const struct sched_report *report)
{
	w->n_unattributed = 0;
	for (guint i = w->untracked ? w->untracked->len : 0; i > 0; i--) {
		const struct untracked_run *run = &g_array_index(
			w->untracked, struct untracked_run, i - 1);
		/* As in drop_unreported_runs(). */
		bool is_known = run->was_active
					? run->started_ms < report->sent_ms
					: run->fence < report->fence;

		if (!run->dropped || is_known)
			remove_untracked(s, w, i - 1);
	}
}

void sched_org_worker_restarted(struct sched *s, struct sched_worker *w,
				int64_t now_ms)
{
	w->n_unattributed = 0;
	for (guint i = w->untracked ? w->untracked->len : 0; i > 0; i--) {
		struct untracked_run *run = &g_array_index(
			w->untracked, struct untracked_run, i - 1);

		/* As in end_old_incarnation(). */
		if (run->dropped && !run->was_active)
			run->fence = w->fence;
		else
			remove_untracked(s, w, i - 1);
	}
	sched_org_check_earlier(s, now_ms);
}

void sched_org_worker_ended(struct sched *s, struct sched_worker *w)
{
	w->n_unattributed = 0;
	while (w->untracked && w->untracked->len)
		remove_untracked(s, w, 0);
	g_clear_pointer(&w->untracked, g_array_unref);
}

/*
 * Returns whether earlier owners may have tasks at the worker that this owner
 * doesn't know of. Runs that a handover lists may not be all: an owner that
 * released the shard without having learned all passes its handover on. A
 * worker that fell silent may have restarted, and have carried out a late start
 * since.
 */
static bool may_hide_runs(const struct sched_worker *w, int64_t now_ms)
{
	if (w->n_unattributed || (w->reconciled && w->unreachable))
		return true;
	return !w->reconciled &&
	       now_ms < MAX(w->prev_lease_expiry_ms, w->long_lease_expiry_ms);
}

/* Returns when no start command of an earlier owner can have a lease any more
 * that this owner doesn't know of, even if a worker restarts. */
static int64_t earlier_end_ms(const struct sched *s)
{
	int64_t end = MAX(sched_prev_lease_expiry_ms(s),
			  s->prev_owner.long_leases_until_ms);

	return MAX(end, s->roster_incomplete_until_ms) + s->lim.call_max_ms +
	       sched_lease_bound_ms(s->lim.lease_max_ms);
}

/*
 * While in doubt, tasks with a cap start only at workers that reported before
 * (reconciled_in_doubt is not set): where a worker has restarted since, a
 * successor that had learned what ran there before would not count them.
 */
static void end_doubt(struct sched *s)
{
	for (guint i = 0; i < s->worker_list->len; i++) {
		struct sched_worker *w = g_ptr_array_index(s->worker_list, i);

		w->reconciled_in_doubt = false;
	}
}

void sched_org_check_earlier(struct sched *s, int64_t now_ms)
{
	bool over = now_ms >= earlier_end_ms(s);
	bool may_run = !over && now_ms < s->roster_incomplete_until_ms;

	if (s->ownership == SCHED_OWNER_CERTAIN)
		end_doubt(s);
	if (s->caps.earlier_over)
		return;
	for (guint i = 0; i < s->worker_list->len && !over && !may_run; i++)
		may_run = may_hide_runs(g_ptr_array_index(s->worker_list, i),
					now_ms);
	if (org_caps_note_earlier(&s->caps, may_run, over) && s->catalog &&
	    s->catalog->n_orgs)
		s->ops->log_decision(s->priv, "caps", NULL, NULL,
				     may_run ? "earlier owners may run tasks"
					     : "all that runs is known");
}
