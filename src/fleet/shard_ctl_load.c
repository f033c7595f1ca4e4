/* Loads a shard that was taken over: its jobs and how far they came. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/log.h"
#include "fleet/shard_ctl_int.h"

/* Longest wait for new jobs in one call, in ms: a stalled connection shows. */
#define JOBS_WAIT_MS 2000

static bool is_cancel(const char *key, char id[JOBSPEC_ID_MAX])
{
	const char *slash = strchr(key, '/');
	size_t n = slash ? (size_t)(slash - key) : strlen(key);

	snprintf(id, JOBSPEC_ID_MAX, "%.*s", (int)n, key);
	return slash && !strcmp(slash, SHARD_CTL_CANCEL_SUFFIX);
}

/* Of a job that has ended only its id counts: most rows needn't be read. */
static struct jobspec *ended_spec(struct shard_ctl *sc, const char *id,
				  const json_t *progress)
{
	const char *queue =
		json_string_value(json_object_get(progress, "queue"));
	struct jobspec *spec;

	if (!sched_progress_over(progress) || !queue)
		return NULL;
	spec = jobspec_new(sc->term_ctx, 0);
	snprintf(spec->id, sizeof(spec->id), "%s", id);
	snprintf(spec->queue, sizeof(spec->queue), "%s", queue);
	return spec;
}

static struct jobspec *read_spec(struct shard_ctl *sc,
				 const struct rows_row *row, const char *id)
{
	json_t *text = row->value ? json_loads(row->value, 0, NULL) : NULL;
	struct err e = { 0 };
	struct jobspec *spec = jobspec_unpack(sc->term_ctx, id, text, &e);

	json_decref(text);
	if (!spec)
		log_event(LOG_ROW_UNUSABLE, "table=jobs key=%s why=\"%s\"",
			  row->key, e.text);
	return spec;
}

static void add_job(struct shard_ctl *sc, const struct rows_row *row,
		    const char *id)
{
	const json_t *progress = g_hash_table_lookup(sc->loaded_progress, id);
	struct jobspec *spec = ended_spec(sc, id, progress);
	int64_t now = clk_mono_ms(sc->f->clk);
	int64_t age = 0;
	struct sched_job *job;

	if (!spec)
		spec = read_spec(sc, row, id);
	if (!spec)
		return;
	if (sc->f->store_clock_known && spec->accepted_ms)
		age = now + sc->f->store_offset_ms - spec->accepted_ms;
	job = sched_job_add(&sc->sched, spec, progress, row->version,
			    row->version < sc->acquired_version, now,
			    clk_wall_ms(sc->f->clk));
	if (age > 0)
		sched_job_accepted_at(job, now - age);
	g_hash_table_remove(sc->loaded_progress, id);
}

static void on_job_row(const struct rows_row *row, void *priv)
{
	struct shard_ctl *sc = priv;
	char id[JOBSPEC_ID_MAX];
	bool cancel = is_cancel(row->key, id);

	if (row->deleted)
		return;
	if (!cancel) {
		add_job(sc, row, id);
		shard_ctl_place_soon(sc);
		return;
	}
	log_event(LOG_JOB, "job=%s what=cancel version=%lld", id,
		  (long long)row->version);
	sched_job_cancel(&sc->sched, id, clk_mono_ms(sc->f->clk),
			 clk_wall_ms(sc->f->clk));
	owner_kick(sc->owner);
}

void shard_ctl_maybe_activate(struct shard_ctl *sc)
{
	int64_t now = clk_mono_ms(sc->f->clk);
	int32_t silent;

	if (sc->active || !sc->jobs_loaded || !sc->workers_synced ||
	    !sc->f->catalog)
		return;
	sc->active = true;
	silent = sched_take_handed(&sc->sched, sc->handover, now,
				   clk_wall_ms(sc->f->clk));
	log_event(LOG_SHARD_LOADED,
		  "shard=%d epoch=%lld jobs=%u workers=%u handed_silent=%d "
		  "former_renews_ms=%lld former_lease_ms=%lld after_ms=%lld",
		  sc->shard, (long long)sc->sched.epoch,
		  g_hash_table_size(sc->sched.jobs),
		  g_hash_table_size(sc->sched.workers), silent,
		  (long long)(sc->sched.former.renews_until_ms -
			      sc->sched.taken_over_ms),
		  (long long)sc->sched.former.lease_ms,
		  (long long)(now - sc->sched.taken_over_ms));
	wkr_links_enable(sc->links);
	shard_ctl_place_soon(sc);
}

static void on_jobs_synced(int64_t version, void *priv)
{
	struct shard_ctl *sc = priv;

	sc->jobs_version = version;
	sc->jobs_loaded = true;
	shard_ctl_maybe_activate(sc);
}

static const struct follow_ops jobs_ops = { on_job_row, on_jobs_synced };

static void follow_jobs(struct shard_ctl *sc)
{
	char table[SHARD_CTL_NAME_MAX];
	char parts[SHARD_CTL_NAME_MAX];
	struct follow_options opt = {
		.table = shard_ctl_jobs_table(sc->shard, table),
		.part = shard_ctl_job_part_prefix(sc->shard, parts),
		.parts = SHARD_CTL_JOB_PARTS,
		.wait_ms = JOBS_WAIT_MS,
	};

	sc->jobs_watch = follow_start(sc->term_ctx, &sc->f->rows, sc->f->timers,
				      &opt, &jobs_ops, sc);
}

/* A read under way while the shard may be lost and gained again. */
struct load {
	struct fleet *f;
	int32_t shard;
	int64_t epoch;
};

static struct load *new_load(const struct shard_ctl *sc)
{
	struct load *load = calloc(1, sizeof(*load));

	load->f = sc->f;
	load->shard = sc->shard;
	load->epoch = sc->sched.epoch;
	return load;
}

/* Ends the read; NULL if the shard isn't ours any more. */
static struct shard_ctl *loaded_by(struct load *load)
{
	struct shard_ctl *sc = load->f->shard_ctls[load->shard];
	bool current = sc->is_owner && sc->sched.epoch == load->epoch;

	free(load);
	return current ? sc : NULL;
}

static void read_progress(struct shard_ctl *sc);
static void read_roster(struct shard_ctl *sc);

static void read_roster_again(void *priv)
{
	struct shard_ctl *sc = priv;

	sc->place_timer = NULL;
	read_roster(sc);
}

static void on_roster(const struct rows_answer *ans, void *priv)
{
	struct shard_ctl *sc = loaded_by(priv);

	if (!sc)
		return;
	if (ans->result != ROWS_OK || ans->version < sc->acquired_version) {
		TALLOC_FREE(sc->place_timer);
		sc->place_timer = tmr_after(sc->f->timers, SHARD_CTL_TICK_MS,
					    read_roster_again, sc);
		return;
	}
	for (int32_t i = 0; i < ans->n; i++) {
		json_t *j = ans->rows[i].value
				    ? json_loads(ans->rows[i].value, 0, NULL)
				    : NULL;

		if (!sched_roster_restore(&sc->sched, j,
					  clk_mono_ms(sc->f->clk)))
			log_event(LOG_ROW_UNUSABLE,
				  "table=" SHARD_CTL_ROSTER_TABLE
				  " key=%s why=\"not a list of workers; leases "
				  "are waited for\"",
				  ans->rows[i].key);
		json_decref(j);
	}
	if (ans->more && ans->n) {
		talloc_free(sc->roster_from);
		sc->roster_from = talloc_asprintf(sc->term_ctx, "%s%c",
						  ans->rows[ans->n - 1].key, 1);
		read_roster(sc);
		return;
	}
	sc->roster_loaded = true;
	read_progress(sc);
}

/* Before all else: what may run is what these workers list. */
static void read_roster(struct shard_ctl *sc)
{
	char part[SHARD_CTL_NAME_MAX];
	struct rows_range range = {
		.table = SHARD_CTL_ROSTER_TABLE,
		.part = shard_ctl_state_part(sc->shard, part),
		.from = sc->roster_from,
	};

	sc->f->rows.ops->read(sc->f->rows.self, &range, on_roster,
			      new_load(sc));
}

static void read_progress_again(void *priv)
{
	struct shard_ctl *sc = priv;

	sc->place_timer = NULL;
	read_progress(sc);
}

static void take_progress(struct shard_ctl *sc, const struct rows_answer *ans)
{
	for (int32_t i = 0; i < ans->n; i++) {
		json_t *j = ans->rows[i].value
				    ? json_loads(ans->rows[i].value, 0, NULL)
				    : NULL;

		if (j)
			g_hash_table_replace(sc->loaded_progress,
					     g_strdup(ans->rows[i].key), j);
		else
			log_event(LOG_ROW_UNUSABLE,
				  "table=progress key=%s why=\"not JSON\"",
				  ans->rows[i].key);
	}
	talloc_free(sc->progress_from);
	sc->progress_from = NULL;
	if (!ans->more || !ans->n) {
		follow_jobs(sc);
		return;
	}
	sc->progress_from = talloc_asprintf(sc->term_ctx, "%s%c",
					    ans->rows[ans->n - 1].key, 1);
	read_progress(sc);
}

static void on_progress(const struct rows_answer *ans, void *priv)
{
	struct shard_ctl *sc = loaded_by(priv);

	if (!sc)
		return;
	/* A read that lags would miss what the former owner wrote last. */
	if (ans->result == ROWS_OK && ans->version >= sc->acquired_version) {
		take_progress(sc, ans);
		return;
	}
	TALLOC_FREE(sc->place_timer);
	sc->place_timer = tmr_after(sc->f->timers, SHARD_CTL_TICK_MS,
				    read_progress_again, sc);
}

static void read_progress(struct shard_ctl *sc)
{
	char part[SHARD_CTL_NAME_MAX];
	struct rows_range range = {
		.table = SHARD_CTL_PROGRESS_TABLE,
		.part = shard_ctl_state_part(sc->shard, part),
		.from = sc->progress_from,
	};

	sc->f->rows.ops->read(sc->f->rows.self, &range, on_progress,
			      new_load(sc));
}

/* Without it the owner learns anew, so it isn't waited for or asked again. */
static void on_learned(const struct rows_answer *ans, void *priv)
{
	struct shard_ctl *sc = loaded_by(priv);
	json_t *j;

	if (!sc)
		return;
	if (ans->result != ROWS_OK) {
		log_event(LOG_ROW_UNUSABLE, "table=" SHARD_CTL_LEARNED_TABLE
					    " key=" SHARD_CTL_LEARNED_KEY
					    " why=\"not read; learned anew\"");
		return;
	}
	if (!ans->n || !ans->rows[0].value)
		return;
	j = json_loads(ans->rows[0].value, 0, NULL);
	interfere_unpack(&sc->sched.interfere, j);
	json_decref(j);
}

static void read_learned(struct shard_ctl *sc)
{
	char part[SHARD_CTL_NAME_MAX];
	struct rows_range range = {
		.table = SHARD_CTL_LEARNED_TABLE,
		.part = shard_ctl_state_part(sc->shard, part),
		.limit = 1,
	};

	sc->f->rows.ops->read(sc->f->rows.self, &range, on_learned,
			      new_load(sc));
}

void shard_ctl_load(struct shard_ctl *sc)
{
	read_learned(sc);
	read_roster(sc);
}
