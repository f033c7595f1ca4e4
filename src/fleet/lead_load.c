/* Loads a shard that was taken over: its jobs and how far they came. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/log.h"
#include "fleet/lead_int.h"

/* Longest wait for new jobs in one call, in ms: a stalled connection shows. */
#define JOBS_WAIT_MS 2000

static bool is_cancel(const char *key, char id[JOBSPEC_ID_MAX])
{
	const char *slash = strchr(key, '/');
	size_t n = slash ? (size_t)(slash - key) : strlen(key);

	snprintf(id, JOBSPEC_ID_MAX, "%.*s", (int)n, key);
	return slash && !strcmp(slash, LEAD_CANCEL_SUFFIX);
}

/* Of a job that has ended only its id counts: most rows needn't be read. */
static struct jobspec *ended_spec(struct lead *l, const char *id,
				  const json_t *progress)
{
	const char *queue =
		json_string_value(json_object_get(progress, "queue"));
	struct jobspec *spec;

	if (!sched_progress_over(progress) || !queue)
		return NULL;
	spec = jobspec_new(l->term, 0);
	snprintf(spec->id, sizeof(spec->id), "%s", id);
	snprintf(spec->queue, sizeof(spec->queue), "%s", queue);
	return spec;
}

static struct jobspec *read_spec(struct lead *l, const struct rows_row *row,
				 const char *id)
{
	json_t *text = row->value ? json_loads(row->value, 0, NULL) : NULL;
	struct err e = { 0 };
	struct jobspec *spec = jobspec_unpack(l->term, id, text, &e);

	json_decref(text);
	if (!spec)
		log_event(LOG_ROW_UNUSABLE, "table=jobs key=%s why=\"%s\"",
			  row->key, e.text);
	return spec;
}

static void add_job(struct lead *l, const struct rows_row *row, const char *id)
{
	const json_t *progress = g_hash_table_lookup(l->progress, id);
	struct jobspec *spec = ended_spec(l, id, progress);
	int64_t now = clk_mono_ms(l->f->clk);
	int64_t age = 0;
	struct sched_job *job;

	if (!spec)
		spec = read_spec(l, row, id);
	if (!spec)
		return;
	if (l->f->store_clock_known && spec->accepted_ms)
		age = now + l->f->store_offset_ms - spec->accepted_ms;
	job = sched_job_add(&l->sched, spec, progress, row->version,
			    row->version < l->gained_version, now,
			    clk_wall_ms(l->f->clk));
	if (age > 0)
		sched_job_accepted_at(job, now - age);
	g_hash_table_remove(l->progress, id);
}

static void on_job_row(const struct rows_row *row, void *priv)
{
	struct lead *l = priv;
	char id[JOBSPEC_ID_MAX];
	bool cancel = is_cancel(row->key, id);

	if (row->deleted)
		return;
	if (!cancel) {
		add_job(l, row, id);
		lead_place_soon(l);
		return;
	}
	log_event(LOG_JOB, "job=%s what=cancel version=%lld", id,
		  (long long)row->version);
	sched_job_cancel(&l->sched, id, clk_mono_ms(l->f->clk),
			 clk_wall_ms(l->f->clk));
	owner_request_commit(l->owner);
}

void lead_maybe_open(struct lead *l)
{
	int64_t now = clk_mono_ms(l->f->clk);
	int32_t silent;

	if (l->opened || !l->loaded || !l->workers_synced || !l->f->catalog)
		return;
	l->opened = true;
	silent = sched_take_handed(&l->sched, l->handed, now,
				   clk_wall_ms(l->f->clk));
	log_event(LOG_SHARD_LOADED,
		  "shard=%d epoch=%lld jobs=%u workers=%u handed_silent=%d "
		  "former_renews_ms=%lld former_lease_ms=%lld after_ms=%lld",
		  l->shard, (long long)l->sched.epoch,
		  g_hash_table_size(l->sched.jobs),
		  g_hash_table_size(l->sched.workers), silent,
		  (long long)(l->sched.former.renews_until_ms -
			      l->sched.taken_over_ms),
		  (long long)l->sched.former.lease_ms,
		  (long long)(now - l->sched.taken_over_ms));
	links_open(l->links);
	lead_place_soon(l);
}

static void on_jobs_synced(int64_t version, void *priv)
{
	struct lead *l = priv;

	l->jobs_version = version;
	l->loaded = true;
	lead_maybe_open(l);
}

static const struct row_watch_ops jobs_ops = { on_job_row, on_jobs_synced };

static void follow_jobs(struct lead *l)
{
	char table[LEAD_NAME_MAX];
	char parts[LEAD_NAME_MAX];
	struct row_watch_options opt = {
		.table = lead_jobs_table(l->shard, table),
		.part = lead_job_parts(l->shard, parts),
		.parts = LEAD_JOB_PARTS,
		.wait_ms = JOBS_WAIT_MS,
	};

	l->jobs = row_watch_start(l->term, &l->f->rows, l->f->timers, &opt,
				  &jobs_ops, l);
}

/* A read under way while the shard may be lost and gained again. */
struct load {
	struct fleet *f;
	int32_t shard;
	int64_t epoch;
};

static struct load *new_load(const struct lead *l)
{
	struct load *load = calloc(1, sizeof(*load));

	load->f = l->f;
	load->shard = l->shard;
	load->epoch = l->sched.epoch;
	return load;
}

/* Ends the read; NULL if the shard isn't ours any more. */
static struct lead *loaded_by(struct load *load)
{
	struct lead *l = load->f->leads[load->shard];
	bool current = l->leading && l->sched.epoch == load->epoch;

	free(load);
	return current ? l : NULL;
}

static void read_progress(struct lead *l);
static void read_roster(struct lead *l);

static void read_roster_again(void *priv)
{
	struct lead *l = priv;

	l->place_timer = NULL;
	read_roster(l);
}

static void on_roster(const struct rows_answer *ans, void *priv)
{
	struct lead *l = loaded_by(priv);

	if (!l)
		return;
	if (ans->result != ROWS_OK || ans->version < l->gained_version) {
		TALLOC_FREE(l->place_timer);
		l->place_timer = tmr_after(l->f->timers, LEAD_TICK_MS,
					   read_roster_again, l);
		return;
	}
	for (int32_t i = 0; i < ans->n; i++) {
		json_t *j = ans->rows[i].value
				    ? json_loads(ans->rows[i].value, 0, NULL)
				    : NULL;

		if (!sched_roster_restore(&l->sched, j, clk_mono_ms(l->f->clk)))
			log_event(LOG_ROW_UNUSABLE,
				  "table=" LEAD_ROSTER_TABLE
				  " key=%s why=\"not a list of workers; leases "
				  "are waited for\"",
				  ans->rows[i].key);
		json_decref(j);
	}
	if (ans->more && ans->n) {
		talloc_free(l->roster_next);
		l->roster_next = talloc_asprintf(l->term, "%s%c",
						 ans->rows[ans->n - 1].key, 1);
		read_roster(l);
		return;
	}
	l->roster_read = true;
	read_progress(l);
}

/* Before all else: what may run is what these workers list. */
static void read_roster(struct lead *l)
{
	char part[LEAD_NAME_MAX];
	struct rows_range range = {
		.table = LEAD_ROSTER_TABLE,
		.part = lead_state_part(l->shard, part),
		.from = l->roster_next,
	};

	l->f->rows.ops->read(l->f->rows.self, &range, on_roster, new_load(l));
}

static void read_progress_again(void *priv)
{
	struct lead *l = priv;

	l->place_timer = NULL;
	read_progress(l);
}

static void take_progress(struct lead *l, const struct rows_answer *ans)
{
	for (int32_t i = 0; i < ans->n; i++) {
		json_t *j = ans->rows[i].value
				    ? json_loads(ans->rows[i].value, 0, NULL)
				    : NULL;

		if (j)
			g_hash_table_replace(l->progress,
					     g_strdup(ans->rows[i].key), j);
		else
			log_event(LOG_ROW_UNUSABLE,
				  "table=progress key=%s why=\"not JSON\"",
				  ans->rows[i].key);
	}
	talloc_free(l->progress_next);
	l->progress_next = NULL;
	if (!ans->more || !ans->n) {
		follow_jobs(l);
		return;
	}
	l->progress_next =
		talloc_asprintf(l->term, "%s%c", ans->rows[ans->n - 1].key, 1);
	read_progress(l);
}

static void on_progress(const struct rows_answer *ans, void *priv)
{
	struct lead *l = loaded_by(priv);

	if (!l)
		return;
	/* A read that lags would miss what the former owner wrote last. */
	if (ans->result == ROWS_OK && ans->version >= l->gained_version) {
		take_progress(l, ans);
		return;
	}
	TALLOC_FREE(l->place_timer);
	l->place_timer =
		tmr_after(l->f->timers, LEAD_TICK_MS, read_progress_again, l);
}

static void read_progress(struct lead *l)
{
	char part[LEAD_NAME_MAX];
	struct rows_range range = {
		.table = LEAD_PROGRESS_TABLE,
		.part = lead_state_part(l->shard, part),
		.from = l->progress_next,
	};

	l->f->rows.ops->read(l->f->rows.self, &range, on_progress, new_load(l));
}

/* Without it the owner learns anew, so it isn't waited for or asked again. */
static void on_learned(const struct rows_answer *ans, void *priv)
{
	struct lead *l = loaded_by(priv);
	json_t *j;

	if (!l)
		return;
	if (ans->result != ROWS_OK) {
		log_event(LOG_ROW_UNUSABLE,
			  "table=" LEAD_LEARNED_TABLE " key=" LEAD_LEARNED_KEY
			  " why=\"not read; learned anew\"");
		return;
	}
	if (!ans->n || !ans->rows[0].value)
		return;
	j = json_loads(ans->rows[0].value, 0, NULL);
	interfere_unpack(&l->sched.interfere, j);
	json_decref(j);
}

static void read_learned(struct lead *l)
{
	char part[LEAD_NAME_MAX];
	struct rows_range range = {
		.table = LEAD_LEARNED_TABLE,
		.part = lead_state_part(l->shard, part),
		.limit = 1,
	};

	l->f->rows.ops->read(l->f->rows.self, &range, on_learned, new_load(l));
}

void lead_load(struct lead *l)
{
	read_learned(l);
	read_roster(l);
}
