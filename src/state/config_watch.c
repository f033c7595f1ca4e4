/* Follows the configuration and the VM list in the platform's service. */
#include "state/config_watch.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base/log.h"

/* Further behind than this, reading all rows is cheaper. */
#define STEPS_MAX 16
#define CONFIG_PREFIX "cfg/"

struct step {
	struct config_watch *s;
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
	int64_t row_of; /* the revision whose row was last seen */
	int64_t row; /* and that row's own revision */
	int64_t sent_ms;
	bool reading;
	bool listing;
	json_t *rows;
	json_t *vms;
	json_t *steps[STEPS_MAX];
	struct step step_args[STEPS_MAX];
	int n_steps;
	int n_answered;
};

static void read_revision(struct config_watch *s);

void config_log_key(int64_t revision, char *key, size_t size)
{
	snprintf(key, size, "cfglog/%" PRId64, revision % CONFIG_LOG_ROWS);
}

static int64_t field(const json_t *obj, const char *key)
{
	return json_integer_value(json_object_get(obj, key));
}

static void applied(struct config_watch *s)
{
	log_event(LOG_CONFIG_APPLIED, "revision=%" PRId64, s->revision);
	s->ops->changed(s->priv);
}

static void on_all_rows(enum sto_result res, const json_t *body, void *priv)
{
	struct config_watch *s = priv;
	int64_t revision = 0;
	json_t *rows;
	json_t *row;
	size_t i;

	s->reading = false;
	if (res != STO_OK)
		return;
	rows = json_object();
	json_array_foreach(json_object_get(body, "rows"), i, row)
	{
		const char *key = json_string_value(json_object_get(row, "k"));
		json_t *value = json_object_get(row, "v");

		if (!strcmp(key, CONFIG_REVISION_KEY)) {
			revision = field(value, "rev");
			s->row_of = revision;
			s->row = field(row, "r");
		} else {
			json_object_set(rows, key, value);
		}
	}
	if (revision <= s->revision) {
		json_decref(rows);
		return;
	}
	json_decref(s->rows);
	s->rows = rows;
	s->revision = revision;
	applied(s);
}

static void read_all(struct config_watch *s)
{
	s->reading = true;
	sto_scan(s->sto, CONFIG_PREFIX, on_all_rows, s);
}

static void apply_step(struct config_watch *s, const json_t *value)
{
	const char *key = json_string_value(json_object_get(value, "key"));
	json_t *row = json_object_get(value, "value");

	if (json_is_object(row))
		json_object_set(s->rows, key, row);
	else
		json_object_del(s->rows, key);
	s->revision++;
}

/* All steps asked for are here, or have failed. */
static void apply_steps(struct config_watch *s)
{
	int64_t before = s->revision;
	bool whole = true;

	s->reading = false;
	for (int i = 0; i < s->n_steps; i++) {
		whole = whole && field(s->steps[i], "rev") == s->revision + 1;
		if (whole)
			apply_step(s, s->steps[i]);
		json_decref(s->steps[i]);
		s->steps[i] = NULL;
	}
	if (s->revision > before)
		applied(s);
	if (!whole)
		read_all(s);
}

static void on_step(enum sto_result res, const json_t *body, void *priv)
{
	struct step *step = priv;
	struct config_watch *s = step->s;

	if (res == STO_OK)
		s->steps[step->i] = json_incref(json_object_get(body, "v"));
	if (++s->n_answered == s->n_steps)
		apply_steps(s);
}

/* Reads the changes missed, all at once. */
static void read_steps(struct config_watch *s, int n)
{
	s->reading = true;
	s->n_steps = n;
	s->n_answered = 0;
	for (int i = 0; i < n; i++) {
		char key[64];

		s->step_args[i] = (struct step){ s, i };
		config_log_key(s->revision + 1 + i, key, sizeof(key));
		sto_get(s->sto, key, on_step, &s->step_args[i]);
	}
}

static void on_revision(enum sto_result res, const json_t *body, void *priv)
{
	struct config_watch *s = priv;
	int64_t revision;

	s->reading = false;
	if (res != STO_OK)
		return;
	revision = field(json_object_get(body, "v"), "rev");
	s->row_of = revision;
	s->row = field(body, "r");
	s->ops->revision_read(s->sent_ms, revision, s->priv);
	if (s->revision < 0 && revision == 0) {
		s->revision = 0;
		applied(s);
		s->ops->revision_read(s->sent_ms, revision, s->priv);
		return;
	}
	if (revision <= s->revision)
		return;
	if (s->revision < 0 || revision - s->revision > STEPS_MAX)
		read_all(s);
	else
		read_steps(s, (int)(revision - s->revision));
}

static void read_revision(struct config_watch *s)
{
	if (s->reading)
		return;
	s->reading = true;
	s->sent_ms = clk_mono_ms(s->clk);
	sto_get(s->sto, CONFIG_REVISION_KEY, on_revision, s);
}

static void on_vms(enum sto_result res, const json_t *body, void *priv)
{
	struct config_watch *s = priv;
	json_t *vms = json_object_get(body, "vms");

	s->listing = false;
	if (res != STO_OK || !json_is_array(vms) || json_equal(vms, s->vms))
		return;
	json_decref(s->vms);
	s->vms = json_incref(vms);
	if (s->revision >= 0)
		s->ops->changed(s->priv);
}

static void on_poll(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *priv)
{
	struct config_watch *s = priv;

	(void)te;
	(void)now;
	read_revision(s);
	if (!s->listing) {
		s->listing = true;
		sto_vms(s->sto, on_vms, s);
	}
	tevent_add_timer(ev, s,
			 tevent_timeval_current_ofs(s->poll_ms / 1000,
						    s->poll_ms % 1000 * 1000),
			 on_poll, s);
}

static int config_watch_destructor(struct config_watch *s)
{
	json_decref(s->rows);
	json_decref(s->vms);
	return 0;
}

struct config_watch *config_watch_start(void *ctx, struct tevent_context *ev,
					struct sto *sto, const struct clk *clk,
					int64_t poll_ms,
					const struct config_watch_ops *ops,
					void *priv)
{
	struct config_watch *s = talloc_zero(ctx, struct config_watch);

	s->ev = ev;
	s->sto = sto;
	s->clk = clk;
	s->poll_ms = poll_ms;
	s->ops = ops;
	s->priv = priv;
	s->revision = -1;
	s->rows = json_object();
	s->vms = json_array();
	talloc_set_destructor(s, config_watch_destructor);
	tevent_add_timer(ev, s, tevent_timeval_current(), on_poll, s);
	return s;
}

void config_watch_hint(struct config_watch *s, int64_t revision)
{
	if (revision > s->revision)
		read_revision(s);
}

int64_t config_watch_revision(const struct config_watch *s)
{
	return s->revision;
}

int64_t config_watch_revision_row(const struct config_watch *s)
{
	return s->revision >= 0 && s->row_of == s->revision ? s->row : -1;
}

const json_t *config_watch_rows(const struct config_watch *s)
{
	return s->rows;
}

const json_t *config_watch_vms(const struct config_watch *s)
{
	return s->vms;
}
