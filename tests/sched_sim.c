/* Simulated workers for tests of the scheduler. */
#include "tests/sched_sim.h"

#include <string.h>

static void sim_added(struct sim *m, const char *id)
{
	g_assert_cmpint(m->n, <, SIM_WORKERS_MAX);
	fixture_poll(&m->p, id, NULL, 0, NULL, 0, 10);
	g_strlcpy(m->w[m->n++].id, id, SCHED_ID_MAX);
}

void sim_add(struct sim *m, const char *id)
{
	fixture_add_worker(&m->p, id, id);
	sim_added(m, id);
}

void sim_add_row(struct sim *m, const struct sched_worker_row *row)
{
	sched_worker_listed(&m->p.s, row, 0);
	fixture_store_roster(&m->p);
	sim_added(m, row->id);
}

static struct sim_worker *sim_find(struct sim *m, const char *id)
{
	for (int i = 0; i < m->n; i++)
		if (!strcmp(m->w[i].id, id))
			return &m->w[i];
	g_assert_not_reached();
}

static int64_t duration_of(struct sim *m, const struct recorded_command *c)
{
	struct sched_job *job = g_hash_table_lookup(m->p.s.jobs, c->ref.job);
	const struct jobspec_step *def = &job->spec->steps[c->ref.step];

	return def->is_long_running ? INT64_MAX / 2 : def->expected_ms;
}

/* Reports what has ended, and what is still active. */
static void report(struct sim *m, struct sim_worker *w, int64_t now)
{
	static struct sched_active a[SIM_RUNS_MAX];
	int n_active = 0;
	int kept = 0;

	w->n_ends = 0;
	for (int k = 0; k < w->n; k++) {
		struct sim_run *r = &w->runs[k];

		if (r->stopped || now >= r->end_ms) {
			w->ends[w->n_ends++] =
				fixture_end(&r->cmd, ++w->seq,
					    r->stopped ? SCHED_END_STOPPED
						       : SCHED_END_DONE);
			continue;
		}
		/* Always some progress, so that nothing stalls. */
		a[n_active++] =
			fixture_active(&r->cmd, (int32_t)(now / 1000 % 100));
		w->runs[kept++] = *r;
	}
	w->n = kept;
	fixture_poll(&m->p, w->id, a, n_active, w->ends, w->n_ends, now);
}

static void begin_runs(struct sim *m, int64_t now)
{
	while (m->seen_starts < m->p.starts->len) {
		struct recorded_command c =
			*fixture_start(&m->p, m->seen_starts++);
		struct sim_worker *w = sim_find(m, c.worker);

		g_assert_cmpint(w->n, <, SIM_RUNS_MAX);
		w->runs[w->n++] =
			(struct sim_run){ c, now + duration_of(m, &c), false };
		fixture_started(&m->p, &c, now + 20);
	}
}

static void stop_runs(struct sim *m)
{
	while (m->seen_stops < m->p.stops->len) {
		struct recorded_command c = g_array_index(
			m->p.stops, struct recorded_command, m->seen_stops++);
		struct sim_worker *w = sim_find(m, c.worker);

		for (int k = 0; k < w->n; k++)
			w->runs[k].stopped |= !memcmp(&w->runs[k].cmd.ref,
						      &c.ref, sizeof(c.ref));
	}
}

void sim_run(struct sim *m, int64_t from_ms, int64_t to_ms)
{
	for (int64_t now = from_ms; now <= to_ms; now += 100) {
		for (int i = 0; i < m->n; i++)
			report(m, &m->w[i], now);
		fixture_pass_time(&m->p, now + 10, now + 10);
		begin_runs(m, now);
		stop_runs(m);
		if (m->after_pass)
			m->after_pass(m, now, m->priv);
	}
}
