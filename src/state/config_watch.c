/*
 * Polls the configuration revision. Applies newer changes one by one, or reads
 * all rows if too many are missing or some are no longer kept.
 */
#include "state/config_watch.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base/log.h"

/* With more changes missing than this, reading all rows is cheaper. */
#define CHANGES_MAX 16
#define CONFIG_PREFIX "cfg/"

struct change_read {
	struct config_watch *w;
	int i;
};

struct config_watch {
	struct tevent_context *ev;
	struct sto *sto;
	const struct clk *clk;
	int64_t poll_ms;
	const struct config_watch_ops *ops;
	void *priv;
	int64_t revision;
	int64_t seen_revision; /* newest revision seen in the store */
	int64_t seen_row_revision; /* revision of the row that holds it */
	int64_t sent_ms;
	bool reading_config;
	bool reading_vms;
	json_t *rows;
	json_t *vms;
	json_t *changes[CHANGES_MAX];
	struct change_read change_reads[CHANGES_MAX];
	int n_changes;
	int n_answered;
};

static void read_revision(struct config_watch *w);

void config_log_key(int64_t revision, char *key, size_t size)
{
	snprintf(key, size, "cfglog/%" PRId64, revision % CONFIG_LOG_ROWS);
}

static int64_t int_field(const json_t *obj, const char *key)
{
	return json_integer_value(json_object_get(obj, key));
}

static void notify_changed(struct config_watch *w)
{
	log_event(LOG_CONFIG_APPLIED, "revision=%" PRId64, w->revision);
	w->ops->changed(w->priv);
}

static void on_all_rows(enum sto_result res, const json_t *body, void *priv)
{
	struct config_watch *w = priv;
	int64_t revision = 0;
	json_t *rows;
	json_t *row;
	size_t i;

	w->reading_config = false;
	if (res != STO_OK)
		return;
	rows = json_object();
	json_array_foreach(json_object_get(body, "rows"), i, row)
	{
		const char *key = json_string_value(json_object_get(row, "k"));
		json_t *value = json_object_get(row, "v");

		if (!strcmp(key, CONFIG_REVISION_KEY)) {
			revision = int_field(value, "rev");
			w->seen_revision = revision;
			w->seen_row_revision = int_field(row, "r");
		} else {
			json_object_set(rows, key, value);
		}
	}
	if (revision <= w->revision) {
		json_decref(rows);
		return;
	}
	json_decref(w->rows);
	w->rows = rows;
	w->revision = revision;
	notify_changed(w);
}

static void read_all(struct config_watch *w)
{
	w->reading_config = true;
	sto_scan(w->sto, CONFIG_PREFIX, on_all_rows, w);
}

static void apply_change(struct config_watch *w, const json_t *value)
{
	const char *key = json_string_value(json_object_get(value, "key"));
	json_t *row = json_object_get(value, "value");

	if (json_is_object(row))
		json_object_set(w->rows, key, row);
	else
		json_object_del(w->rows, key);
	w->revision++;
}

/* Called when all reads of changes have been answered or have failed. */
static void apply_changes(struct config_watch *w)
{
	int64_t old_revision = w->revision;
	bool complete = true;

	w->reading_config = false;
	for (int i = 0; i < w->n_changes; i++) {
		complete = complete &&
			   int_field(w->changes[i], "rev") == w->revision + 1;
		if (complete)
			apply_change(w, w->changes[i]);
		json_decref(w->changes[i]);
		w->changes[i] = NULL;
	}
	if (w->revision > old_revision)
		notify_changed(w);
	if (!complete)
		read_all(w);
}

static void on_change(enum sto_result res, const json_t *body, void *priv)
{
	struct change_read *change = priv;
	struct config_watch *w = change->w;

	if (res == STO_OK)
		w->changes[change->i] = json_incref(json_object_get(body, "v"));
	if (++w->n_answered == w->n_changes)
		apply_changes(w);
}

/* Reads the next `n` changes in parallel. */
static void read_changes(struct config_watch *w, int n)
{
	w->reading_config = true;
	w->n_changes = n;
	w->n_answered = 0;
	for (int i = 0; i < n; i++) {
		char key[64];

		w->change_reads[i] = (struct change_read){ w, i };
		config_log_key(w->revision + 1 + i, key, sizeof(key));
		sto_get(w->sto, key, on_change, &w->change_reads[i]);
	}
}

static void on_revision(enum sto_result res, const json_t *body, void *priv)
{
	struct config_watch *w = priv;
	int64_t revision;

	w->reading_config = false;
	if (res != STO_OK)
		return;
	revision = int_field(json_object_get(body, "v"), "rev");
	w->seen_revision = revision;
	w->seen_row_revision = int_field(body, "r");
	w->ops->revision_read(w->sent_ms, revision, w->priv);
	if (w->revision < 0 && revision == 0) {
		w->revision = 0;
		notify_changed(w);
		w->ops->revision_read(w->sent_ms, revision, w->priv);
		return;
	}
	if (revision <= w->revision)
		return;
	if (w->revision < 0 || revision - w->revision > CHANGES_MAX)
		read_all(w);
	else
		read_changes(w, (int)(revision - w->revision));
}

static void read_revision(struct config_watch *w)
{
	if (w->reading_config)
		return;
	w->reading_config = true;
	w->sent_ms = clk_mono_ms(w->clk);
	sto_get(w->sto, CONFIG_REVISION_KEY, on_revision, w);
}

static void on_vms(enum sto_result res, const json_t *body, void *priv)
{
	struct config_watch *w = priv;
	json_t *vms = json_object_get(body, "vms");

	w->reading_vms = false;
	if (res != STO_OK || !json_is_array(vms) || json_equal(vms, w->vms))
		return;
	json_decref(w->vms);
	w->vms = json_incref(vms);
	if (w->revision >= 0)
		w->ops->changed(w->priv);
}

static void on_poll(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *priv)
{
	struct config_watch *w = priv;

	(void)te;
	(void)now;
	read_revision(w);
	if (!w->reading_vms) {
		w->reading_vms = true;
		sto_list_vms(w->sto, on_vms, w);
	}
	tevent_add_timer(ev, w,
			 tevent_timeval_current_ofs(w->poll_ms / 1000,
						    w->poll_ms % 1000 * 1000),
			 on_poll, w);
}

static int config_watch_destructor(struct config_watch *w)
{
	json_decref(w->rows);
	json_decref(w->vms);
	return 0;
}

struct config_watch *config_watch_start(void *ctx, struct tevent_context *ev,
					struct sto *sto, const struct clk *clk,
					int64_t poll_ms,
					const struct config_watch_ops *ops,
					void *priv)
{
	struct config_watch *w = talloc_zero(ctx, struct config_watch);

	w->ev = ev;
	w->sto = sto;
	w->clk = clk;
	w->poll_ms = poll_ms;
	w->ops = ops;
	w->priv = priv;
	w->revision = -1;
	w->rows = json_object();
	w->vms = json_array();
	talloc_set_destructor(w, config_watch_destructor);
	tevent_add_timer(ev, w, tevent_timeval_current(), on_poll, w);
	return w;
}

void config_watch_hint(struct config_watch *w, int64_t revision)
{
	if (revision > w->revision)
		read_revision(w);
}

int64_t config_watch_revision(const struct config_watch *w)
{
	return w->revision;
}

int64_t config_watch_revision_row(const struct config_watch *w)
{
	return w->revision >= 0 && w->seen_revision == w->revision
		       ? w->seen_row_revision
		       : -1;
}

const json_t *config_watch_rows(const struct config_watch *w)
{
	return w->rows;
}

const json_t *config_watch_vms(const struct config_watch *w)
{
	return w->vms;
}
