/* Reads the rows that the owner of a shard needs, before or after its claim. */
#include "fleet/read_ahead.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "fleet/shard_ctl.h"
#include "fleet/shard_ctl_int.h"

/* Maximum time that one call waits for changes, in ms. An answer without any
 * dates the job counts, which VMs don't use past an age of 2 s. */
#define WAIT_MS 500
/* Pause between two calls for changes until the shard is claimed, in ms. The
 * owner commits up to 40 times a second, and each call has a price. */
#define AHEAD_GAP_MS 250
/* Two tables of about the same size are read at the same time, and together
 * must not take more of the link than one may. */
#define LARGE_TABLES 2

struct saved_row {
	char *value; /* NULL if unreadable */
	int64_t version;
};

struct table {
	struct read_ahead *owner;
	struct row_watch *watch;
	GTree *rows; /* key to struct saved_row; NULL once they are freed */
	int64_t version; /* known up to it */
	int64_t store_ms; /* store's clock when that was the newest */
	bool synced;
};

struct read_ahead {
	struct fleet *f;
	int32_t shard;
	const struct read_ahead_ops *ops;
	void *priv;
	struct table tables[READ_AHEAD_TABLES];
	struct tmr *timer; /* calls `ready`, or drops the rows */
	struct read_ahead_size size;
	int64_t bytes_max;
	int64_t required; /* 0: the shard isn't claimed */
	bool ready; /* was reported, for what is required now */
	bool too_large;
};

static void free_row(gpointer p)
{
	struct saved_row *r = p;

	g_free(r->value);
	g_free(r);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer unused)
{
	(void)unused;
	return strcmp(a, b);
}

static int64_t row_bytes(const char *key, const struct saved_row *r)
{
	return (int64_t)(strlen(key) + (r->value ? strlen(r->value) : 0));
}

static void remove_row(struct table *t, const char *key)
{
	const struct saved_row *old = g_tree_lookup(t->rows, key);

	if (!old)
		return;
	t->owner->size.rows--;
	t->owner->size.bytes -= row_bytes(key, old);
	g_tree_remove(t->rows, key);
}

static void save_row(struct table *t, const struct rows_row *row)
{
	struct saved_row *r = g_new(struct saved_row, 1);

	remove_row(t, row->key);
	r->value = g_strdup(row->value);
	r->version = row->version;
	t->owner->size.rows++;
	t->owner->size.bytes += row_bytes(row->key, r);
	g_tree_insert(t->rows, g_strdup(row->key), r);
}

static void stop_watches(struct read_ahead *ra)
{
	for (int i = 0; i < READ_AHEAD_TABLES; i++) {
		struct table *t = &ra->tables[i];

		TALLOC_FREE(t->watch);
		g_clear_pointer(&t->rows, g_tree_destroy);
		t->synced = false;
		t->version = 0;
	}
	ra->size = (struct read_ahead_size){ 0 };
}

static void on_too_large(void *priv)
{
	struct read_ahead *ra = priv;

	ra->timer = NULL;
	ra->ops->too_large(ra->priv);
	stop_watches(ra);
}

static void on_row(const struct rows_row *row, void *priv)
{
	struct table *t = priv;
	struct read_ahead *ra = t->owner;

	if (!t->rows) {
		ra->ops->job_row(row, ra->priv);
		return;
	}
	if (row->deleted)
		remove_row(t, row->key);
	else
		save_row(t, row);
	if (ra->required || ra->too_large || ra->size.bytes <= ra->bytes_max)
		return;
	/* The watch that calls this can't be freed now. */
	ra->too_large = true;
	TALLOC_FREE(ra->timer);
	ra->timer = tmr_after(ra->f->timers, 0, on_too_large, ra);
}

static void on_ready(void *priv)
{
	struct read_ahead *ra = priv;
	const struct table *jobs = &ra->tables[READ_AHEAD_JOBS];

	ra->timer = NULL;
	ra->ops->ready(ra->priv);
	if (!jobs->rows)
		ra->ops->jobs_synced(jobs->version, jobs->store_ms, ra->priv);
}

static bool is_complete(const struct read_ahead *ra)
{
	for (int i = 0; i < READ_AHEAD_TABLES; i++) {
		const struct table *t = &ra->tables[i];

		/* An answer older than the claim could lack accepted jobs, or
		 * the last commit of the previous owner. */
		if (!t->synced || t->version < ra->required)
			return false;
	}
	return true;
}

/* A large table that is read leaves all of the link to the other one. */
static void widen_pages(struct read_ahead *ra)
{
	int64_t bytes = page_size_bytes_max(ra->f->set.capacity.link_kbit_s);

	if (ra->tables[READ_AHEAD_PROGRESS].synced)
		row_watch_set_page_bytes(ra->tables[READ_AHEAD_JOBS].watch,
					 bytes);
	if (ra->tables[READ_AHEAD_JOBS].synced &&
	    ra->tables[READ_AHEAD_PROGRESS].watch)
		row_watch_set_page_bytes(ra->tables[READ_AHEAD_PROGRESS].watch,
					 bytes);
}

static void on_synced(int64_t version, int64_t store_ms, void *priv)
{
	struct table *t = priv;
	struct read_ahead *ra = t->owner;

	if (!t->synced) {
		t->synced = true;
		widen_pages(ra);
	}
	t->version = version;
	t->store_ms = store_ms;
	if (!t->rows) {
		ra->ops->jobs_synced(version, store_ms, ra->priv);
		return;
	}
	if (ra->ready || ra->too_large || ra->timer || !is_complete(ra))
		return;
	ra->ready = true;
	/* The owner frees watches, of which one calls this. */
	ra->timer = tmr_after(ra->f->timers, 0, on_ready, ra);
}

static const struct row_watch_ops watch_ops = { on_row, on_synced };

static void start_watch(struct read_ahead *ra, enum read_ahead_table table,
			struct row_watch_options opt)
{
	struct table *t = &ra->tables[table];

	opt.wait_ms = WAIT_MS;
	opt.gap_ms = AHEAD_GAP_MS;
	t->owner = ra;
	t->rows = g_tree_new_full(compare_keys, NULL, g_free, free_row);
	t->watch = row_watch_start(ra, &ra->f->rows, ra->f->timers, &opt,
				   &watch_ops, t);
}

static void start_watches(struct read_ahead *ra)
{
	int64_t page_bytes =
		page_size_bytes_max(ra->f->set.capacity.link_kbit_s) /
		LARGE_TABLES;
	char state[SHARD_CTL_NAME_MAX];
	char jobs[SHARD_CTL_NAME_MAX];
	char parts[SHARD_CTL_NAME_MAX];

	shard_ctl_state_part(ra->shard, state);
	start_watch(ra, READ_AHEAD_ROSTER,
		    (struct row_watch_options){
			    .table = SHARD_CTL_ROSTER_TABLE,
			    .part = state,
		    });
	start_watch(ra, READ_AHEAD_PROGRESS,
		    (struct row_watch_options){
			    .table = SHARD_CTL_PROGRESS_TABLE,
			    .part = state,
			    .page_bytes = page_bytes,
		    });
	start_watch(ra, READ_AHEAD_JOBS,
		    (struct row_watch_options){
			    .table = shard_ctl_jobs_table(ra->shard, jobs),
			    .part = shard_ctl_job_part_prefix(ra->shard, parts),
			    .parts = SHARD_CTL_JOB_PARTS,
			    .page_bytes = page_bytes,
		    });
}

static int read_ahead_destructor(struct read_ahead *ra)
{
	TALLOC_FREE(ra->timer);
	stop_watches(ra);
	return 0;
}

struct read_ahead *read_ahead_start(void *ctx, struct fleet *f, int32_t shard,
				    int64_t bytes_max,
				    const struct read_ahead_ops *ops,
				    void *priv)
{
	struct read_ahead *ra = talloc_zero(ctx, struct read_ahead);

	ra->f = f;
	ra->shard = shard;
	ra->bytes_max = bytes_max;
	ra->ops = ops;
	ra->priv = priv;
	talloc_set_destructor(ra, read_ahead_destructor);
	start_watches(ra);
	return ra;
}

void read_ahead_require(struct read_ahead *ra, int64_t version)
{
	TALLOC_FREE(ra->timer);
	ra->required = version;
	ra->ready = false;
	if (ra->too_large) {
		stop_watches(ra);
		ra->too_large = false;
		start_watches(ra);
	}
	for (int i = 0; i < READ_AHEAD_TABLES; i++)
		row_watch_require(ra->tables[i].watch, version);
	if (!is_complete(ra))
		return;
	ra->ready = true;
	ra->timer = tmr_after(ra->f->timers, 0, on_ready, ra);
}

struct each {
	void (*row)(const struct rows_row *row, void *priv);
	void *priv;
};

static gboolean call_row(gpointer key, gpointer value, gpointer priv)
{
	const struct saved_row *r = value;
	const struct each *each = priv;
	const struct rows_row row = { .key = key,
				      .value = r->value,
				      .version = r->version };

	each->row(&row, each->priv);
	return FALSE;
}

void read_ahead_each(const struct read_ahead *ra, enum read_ahead_table table,
		     void (*row)(const struct rows_row *row, void *priv),
		     void *priv)
{
	struct each each = { row, priv };

	g_tree_foreach(ra->tables[table].rows, call_row, &each);
}

void read_ahead_follow_jobs(struct read_ahead *ra)
{
	for (int i = 0; i < READ_AHEAD_TABLES; i++) {
		struct table *t = &ra->tables[i];

		g_clear_pointer(&t->rows, g_tree_destroy);
		if (i != READ_AHEAD_JOBS)
			TALLOC_FREE(t->watch);
	}
	row_watch_set_gap(ra->tables[READ_AHEAD_JOBS].watch, 0);
}

struct read_ahead_size read_ahead_size(const struct read_ahead *ra)
{
	return ra->size;
}
