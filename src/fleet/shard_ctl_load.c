/* Loads a shard once its roster, the progress of jobs and the jobs are read
 * (fleet/read_ahead), and adds new jobs from then on. A VM that is named as the
 * next owner begins to read them before it owns the shard. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/log.h"
#include "fleet/shard_ctl_int.h"

/* Limit of the rows read in advance, in bytes. 1,500 jobs have up to 15 MB, and
 * the smallest VM has 160 MB. */
#define AHEAD_BYTES_MAX (24 * 1024 * 1024)
/* The list of workers, read in advance, is used if the store confirmed it this
 * recently, in ms: twice its interval. */
#define LIST_AGE_MAX_MS 3000

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

/* Returns for how long no task could be started; -1 if the previous owner
 * didn't say when it stopped. */
static int64_t paused_ms(const struct shard_ctl *sc, int64_t now)
{
	if (!sc->prev_starts_end_ms || !sc->f->store_clock_known)
		return -1;
	return now + sc->f->store_offset_ms - sc->prev_starts_end_ms;
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
		  "former_long_ms=%lld after_ms=%lld ahead_rows=%lld "
		  "ahead_bytes=%lld paused_ms=%lld",
		  sc->shard, (long long)sc->sched.epoch,
		  g_hash_table_size(sc->sched.jobs),
		  g_hash_table_size(sc->sched.workers), n_silent,
		  (long long)(sc->sched.prev_owner.renews_until_ms -
			      sc->sched.taken_over_ms),
		  (long long)sc->sched.prev_owner.lease_ms,
		  (long long)(sc->sched.prev_owner.long_leases_until_ms -
			      sc->sched.taken_over_ms),
		  (long long)(now - sc->sched.taken_over_ms),
		  (long long)sc->was_ahead.rows, (long long)sc->was_ahead.bytes,
		  (long long)paused_ms(sc, now));
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

static void add_roster_row(const struct rows_row *row, void *priv)
{
	struct shard_ctl *sc = priv;
	json_t *j = row->value ? json_loads(row->value, 0, NULL) : NULL;

	if (!sched_roster_restore(&sc->sched, j, clk_mono_ms(sc->f->clk)))
		log_event(LOG_ROW_UNUSABLE,
			  "table=" SHARD_CTL_ROSTER_TABLE
			  " key=%s why=\"not a list of workers; waiting "
			  "for leases to expire\"",
			  row->key);
	json_decref(j);
}

static void add_progress_row(const struct rows_row *row, void *priv)
{
	struct shard_ctl *sc = priv;
	json_t *j = row->value ? json_loads(row->value, 0, NULL) : NULL;

	if (j)
		g_hash_table_replace(sc->loaded_progress, g_strdup(row->key),
				     j);
	else
		log_event(LOG_ROW_UNUSABLE,
			  "table=progress key=%s why=\"not JSON\"", row->key);
}

static void log_ahead(const struct shard_ctl *sc, const char *what)
{
	struct read_ahead_size size = read_ahead_size(sc->ahead);

	log_event(LOG_READ_AHEAD, "shard=%d what=\"%s\" rows=%lld bytes=%lld",
		  sc->shard, what, (long long)size.rows, (long long)size.bytes);
}

/* The roster goes first: tasks of previous owners can run only at workers on
 * it. A job needs its progress when it is added. */
static void on_rows_ready(void *priv)
{
	struct shard_ctl *sc = priv;

	if (!sc->is_owner) {
		log_ahead(sc, "ready");
		owner_set_ready(sc->owner);
		return;
	}
	read_ahead_each(sc->ahead, READ_AHEAD_ROSTER, add_roster_row, sc);
	sc->roster_loaded = true;
	read_ahead_each(sc->ahead, READ_AHEAD_PROGRESS, add_progress_row, sc);
	read_ahead_each(sc->ahead, READ_AHEAD_JOBS, on_job_row, sc);
	read_ahead_follow_jobs(sc->ahead);
}

/* The owner waits for this VM to the end of its time, as for one that doesn't
 * read in advance. */
static void on_too_large(void *priv)
{
	log_ahead(priv, "too large");
}

static const struct read_ahead_ops rows_ops = { on_rows_ready, on_too_large,
						on_job_row, on_jobs_synced };

static void start_read_ahead(struct shard_ctl *sc)
{
	int64_t bytes_max = sc->f->set.read_ahead_bytes_max;

	sc->ahead = read_ahead_start(sc, sc->f, sc->shard,
				     bytes_max ? bytes_max : AHEAD_BYTES_MAX,
				     &rows_ops, sc);
	sc->ahead_workers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	sc->ahead_list_ms = -1;
	log_ahead(sc, "begun");
}

void shard_ctl_named(bool named, void *priv)
{
	struct shard_ctl *sc = priv;
	const struct fleet_directory *d = &sc->f->directory;

	if (named == (sc->ahead != NULL))
		return;
	if (!named)
		log_ahead(sc, "dropped");
	if (named)
		start_read_ahead(sc);
	else
		shard_ctl_drop_ahead(sc);
	d->ops->subscribe(d->self, named);
}

struct read_ahead_size shard_ctl_ahead_size(const struct shard_ctl *sc)
{
	if (sc->is_owner || !sc->ahead)
		return (struct read_ahead_size){ 0 };
	return read_ahead_size(sc->ahead);
}

void shard_ctl_drop_ahead(struct shard_ctl *sc)
{
	TALLOC_FREE(sc->ahead);
	g_clear_pointer(&sc->ahead_workers, g_hash_table_destroy);
}

void shard_ctl_ahead_listed(struct shard_ctl *sc,
			    const struct sched_worker_row *row)
{
	struct sched_worker_row *copy;

	if (!sc->ahead_workers)
		return;
	copy = g_memdup2(row, sizeof(*row));
	g_hash_table_replace(sc->ahead_workers, copy->id, copy);
}

void shard_ctl_ahead_unlisted(struct shard_ctl *sc, const char *id)
{
	if (sc->ahead_workers)
		g_hash_table_remove(sc->ahead_workers, id);
}

void shard_ctl_ahead_list_synced(struct shard_ctl *sc)
{
	sc->ahead_list_ms = clk_mono_ms(sc->f->clk);
}

/* Uses the list of workers that is followed already, unless the store hasn't
 * confirmed it of late; then it is read again. */
static void use_list(struct shard_ctl *sc)
{
	const struct fleet_directory *d = &sc->f->directory;
	int64_t now = clk_mono_ms(sc->f->clk);
	GHashTableIter it;
	gpointer row;

	if (sc->ahead_list_ms < 0 ||
	    now - sc->ahead_list_ms > LIST_AGE_MAX_MS) {
		d->ops->subscribe(d->self, false);
		d->ops->subscribe(d->self, true);
		return;
	}
	g_hash_table_iter_init(&it, sc->ahead_workers);
	while (g_hash_table_iter_next(&it, NULL, &row))
		sched_worker_listed(&sc->sched, row, now);
	sc->workers_synced = true;
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
	const struct fleet_directory *d = &sc->f->directory;

	sc->was_ahead = (struct read_ahead_size){ 0 };
	if (sc->ahead) {
		sc->was_ahead = read_ahead_size(sc->ahead);
		use_list(sc);
		g_clear_pointer(&sc->ahead_workers, g_hash_table_destroy);
	} else {
		sc->ahead = read_ahead_start(sc, sc->f, sc->shard,
					     AHEAD_BYTES_MAX, &rows_ops, sc);
		d->ops->subscribe(d->self, true);
	}
	read_learned(sc);
	read_ahead_require(sc->ahead, sc->acquired_version);
}
