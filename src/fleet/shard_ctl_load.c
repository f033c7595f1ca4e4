/* Loads a shard after its ownership was acquired: first the roster, then the
 * progress of jobs, then the jobs, whose table is watched for new rows from
 * then on. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/log.h"
#include "fleet/shard_ctl_int.h"

/* Maximum time that one call waits for new jobs, in ms. An answer without any
 * dates the job counts, which VMs don't use past an age of 2 s. */
#define JOBS_WAIT_MS 500

/* Copies the job id in a key of the jobs table to `id`. Returns true if the row
 * cancels the job. */
static bool parse_key(const char *key, char id[JOBSPEC_ID_MAX])
{
	const char *slash = strchr(key, '/');
	size_t n = slash ? (size_t)(slash - key) : strlen(key);

	snprintf(id, JOBSPEC_ID_MAX, "%.*s", (int)n, key);
	return slash && !strcmp(slash, SHARD_CTL_CANCEL_SUFFIX);
}

/* Returns a spec of just id, queue and organisation if the job has ended, else
 * NULL. No more is used of an ended job, which saves parsing most rows. */
static struct jobspec *ended_spec(struct shard_ctl *sc, const char *id,
				  const json_t *progress)
{
	const char *queue =
		json_string_value(json_object_get(progress, "queue"));
	const char *org = json_string_value(json_object_get(progress, "org"));
	struct jobspec *spec;

	if (!sched_progress_has_ended(progress) || !queue)
		return NULL;
	spec = jobspec_new(sc->term_ctx, 0);
	snprintf(spec->id, sizeof(spec->id), "%s", id);
	snprintf(spec->queue, sizeof(spec->queue), "%s", queue);
	snprintf(spec->org, sizeof(spec->org), "%s", org ? org : "");
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
	if (!spec) {
		/* Not an orphan: its progress stays in the store. */
		g_hash_table_remove(sc->loaded_progress, id);
		return;
	}
	if (sc->f->store_clock_known && spec->accepted_ms)
		age = now + sc->f->store_offset_ms - spec->accepted_ms;
	/* A time ahead of the store's clock would make the organisation's next
	 * jobs late ones for its rate. */
	if (age < 0)
		spec->accepted_ms += age;
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
	bool cancel = parse_key(row->key, id);

	if (row->deleted)
		return;
	if (!cancel && shard_ctl_note_refusal(sc, row))
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
	owner_request_commit(sc->owner);
}

void shard_ctl_maybe_activate(struct shard_ctl *sc)
{
	int64_t now = clk_mono_ms(sc->f->clk);
	int32_t n_silent;

	if (sc->active || !sc->jobs_loaded || !sc->workers_synced ||
	    !sc->f->catalog)
		return;
	sc->active = true;
	n_silent = sched_handover_apply(&sc->sched, sc->handover, now,
					clk_wall_ms(sc->f->clk));
	log_event(LOG_SHARD_LOADED,
		  "shard=%d epoch=%lld jobs=%u workers=%u handed_silent=%d "
		  "former_renews_ms=%lld former_lease_ms=%lld "
		  "former_long_ms=%lld after_ms=%lld",
		  sc->shard, (long long)sc->sched.epoch,
		  g_hash_table_size(sc->sched.jobs),
		  g_hash_table_size(sc->sched.workers), n_silent,
		  (long long)(sc->sched.prev_owner.renews_until_ms -
			      sc->sched.taken_over_ms),
		  (long long)sc->sched.prev_owner.lease_ms,
		  (long long)(sc->sched.prev_owner.long_leases_until_ms -
			      sc->sched.taken_over_ms),
		  (long long)(now - sc->sched.taken_over_ms));
	wkr_links_enable(sc->links);
	shard_ctl_place_soon(sc);
}

/* Removes the progress of jobs whose rows are gone: the previous owner was lost
 * between the removal of both. */
static void remove_orphans(struct shard_ctl *sc)
{
	GHashTableIter it;
	gpointer id;
	gpointer progress;

	g_hash_table_iter_init(&it, sc->loaded_progress);
	while (g_hash_table_iter_next(&it, &id, &progress)) {
		if (sched_progress_has_ended(progress))
			g_ptr_array_add(sc->removed_ids,
					talloc_strdup(sc->term_ctx, id));
	}
	g_hash_table_remove_all(sc->loaded_progress);
}

/* The first time, all jobs are loaded. */
static void finish_loading(struct shard_ctl *sc)
{
	if (sc->jobs_loaded)
		return;
	sc->jobs_loaded = true;
	remove_orphans(sc);
	/* Other VMs have no counts younger than the previous owner's. */
	owner_request_commit(sc->owner);
}

static void on_jobs_synced(int64_t version, int64_t store_ms, void *priv)
{
	struct shard_ctl *sc = priv;

	/* An answer older than our claim could lack accepted jobs. */
	if (version < sc->acquired_version)
		return;
	sc->jobs_version = version;
	sc->jobs_store_ms = store_ms;
	finish_loading(sc);
	shard_ctl_maybe_activate(sc);
}

static const struct row_watch_ops jobs_ops = { on_job_row, on_jobs_synced };

static void watch_jobs(struct shard_ctl *sc)
{
	char table[SHARD_CTL_NAME_MAX];
	char parts[SHARD_CTL_NAME_MAX];
	struct row_watch_options opt = {
		.table = shard_ctl_jobs_table(sc->shard, table),
		.part = shard_ctl_job_part_prefix(sc->shard, parts),
		.parts = SHARD_CTL_JOB_PARTS,
		.wait_ms = JOBS_WAIT_MS,
		.page_bytes =
			page_size_bytes_max(sc->f->set.capacity.link_kbit_s),
	};

	sc->jobs_watch = row_watch_start(sc->term_ctx, &sc->f->rows,
					 sc->f->timers, &opt, &jobs_ops, sc);
}

/* A read in flight. By its answer the shard may be lost, and even acquired
 * again at a newer epoch. */
struct load_call {
	struct fleet *f;
	int32_t shard;
	int64_t epoch;
};

static struct load_call *new_load_call(const struct shard_ctl *sc)
{
	struct load_call *call = calloc(1, sizeof(*call));

	call->f = sc->f;
	call->shard = sc->shard;
	call->epoch = sc->sched.epoch;
	return call;
}

/* Frees the call. Returns NULL if the shard has been lost since the call,
 * even if it was acquired again. */
static struct shard_ctl *finish_load_call(struct load_call *call)
{
	struct shard_ctl *sc = call->f->shard_ctls[call->shard];
	bool current = sc->is_owner && sc->sched.epoch == call->epoch;

	free(call);
	return current ? sc : NULL;
}

static void read_progress(struct shard_ctl *sc);
static void read_roster(struct shard_ctl *sc);

static void retry_roster(void *priv)
{
	struct shard_ctl *sc = priv;

	sc->place_timer = NULL;
	read_roster(sc);
}

static void on_roster(const struct rows_answer *ans, void *priv)
{
	struct shard_ctl *sc = finish_load_call(priv);

	if (!sc)
		return;
	if (ans->result != ROWS_OK || ans->version < sc->acquired_version) {
		TALLOC_FREE(sc->place_timer);
		sc->place_timer = tmr_after(sc->f->timers, SHARD_CTL_TICK_MS,
					    retry_roster, sc);
		return;
	}
	for (int32_t i = 0; i < ans->n; i++) {
		json_t *j = ans->rows[i].value
				    ? json_loads(ans->rows[i].value, 0, NULL)
				    : NULL;

		if (!sched_roster_restore(&sc->sched, j,
					  clk_mono_ms(sc->f->clk)))
			log_event(
				LOG_ROW_UNUSABLE,
				"table=" SHARD_CTL_ROSTER_TABLE
				" key=%s why=\"not a list of workers; waiting "
				"for leases to expire\"",
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

/* Read before all else: tasks of previous owners can run only at workers on the
 * roster. */
static void read_roster(struct shard_ctl *sc)
{
	char part[SHARD_CTL_NAME_MAX];
	struct rows_range range = {
		.table = SHARD_CTL_ROSTER_TABLE,
		.part = shard_ctl_state_part(sc->shard, part),
		.from = sc->roster_from,
	};

	sc->f->rows.ops->read(sc->f->rows.self, &range, on_roster,
			      new_load_call(sc));
}

static void retry_progress(void *priv)
{
	struct shard_ctl *sc = priv;

	sc->place_timer = NULL;
	read_progress(sc);
}

static void add_progress(struct shard_ctl *sc, const struct rows_answer *ans)
{
	page_size_note(&sc->progress_page, ans);
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
		watch_jobs(sc);
		return;
	}
	sc->progress_from = talloc_asprintf(sc->term_ctx, "%s%c",
					    ans->rows[ans->n - 1].key, 1);
	read_progress(sc);
}

static void on_progress(const struct rows_answer *ans, void *priv)
{
	struct shard_ctl *sc = finish_load_call(priv);

	if (!sc)
		return;
	/* An answer older than our claim could lack the last commit of the
	 * previous owner. */
	if (ans->result == ROWS_OK && ans->version >= sc->acquired_version) {
		add_progress(sc, ans);
		return;
	}
	TALLOC_FREE(sc->place_timer);
	sc->place_timer =
		tmr_after(sc->f->timers, SHARD_CTL_TICK_MS, retry_progress, sc);
}

static void read_progress(struct shard_ctl *sc)
{
	char part[SHARD_CTL_NAME_MAX];
	struct rows_range range = {
		.table = SHARD_CTL_PROGRESS_TABLE,
		.part = shard_ctl_state_part(sc->shard, part),
		.from = sc->progress_from,
		.limit = page_size_rows(&sc->progress_page),
	};

	sc->f->rows.ops->read(sc->f->rows.self, &range, on_progress,
			      new_load_call(sc));
}

/* The shard is activated without waiting for this read, which is not repeated:
 * if it fails, the owner learns interference from scratch. */
static void on_learned(const struct rows_answer *ans, void *priv)
{
	struct shard_ctl *sc = finish_load_call(priv);
	json_t *j;

	if (!sc)
		return;
	if (ans->result != ROWS_OK) {
		log_event(LOG_ROW_UNUSABLE,
			  "table=" SHARD_CTL_LEARNED_TABLE
			  " key=" SHARD_CTL_LEARNED_KEY
			  " why=\"read failed; learning from scratch\"");
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
			      new_load_call(sc));
}

void shard_ctl_load(struct shard_ctl *sc)
{
	read_learned(sc);
	read_roster(sc);
}
