/* Ownership of a shard by a row that is changed under its version. */
#include "state/owner.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/log.h"

#define OWNER_TABLE "owners"
#define OWNER_KEY "owner"
/* Rows in one transaction, the owner's among them (platform: 100). */
#define COMMIT_ROWS_MAX 90
/* A claim waits this many times the shortest way to the store, so that a VM
 * near it wins: each commit takes that way. */
#define CLAIM_WAIT_TRIPS 8
/* Pause after a commit that failed, in ms. */
#define FAILED_PAUSE_MS 120

enum phase { WATCHING, CLAIMING, LEADING, RELEASED };

struct owner {
	struct rows rows;
	struct tmr_set *timers;
	struct tmr *timer;
	struct tmr *claim_timer;
	const struct clk *clk;
	const struct owner_ops *ops;
	void *priv;
	struct owner_limits lim;
	char part[16];
	char vm[OWNER_VM_MAX];
	char life[32];
	enum phase phase;
	struct owner_row row; /* seen last, or ours */
	struct owner_row former; /* the one that we claim from */
	int64_t version; /* of the row; 0: there is none */
	bool read; /* the row was read at least once */
	int64_t changed_ms; /* when it was last seen to change */
	int64_t answered_ms; /* when the store last answered a poll */
	int64_t polled_ms; /* when the poll under way was sent */
	int64_t trip_ms; /* shortest time that a poll took; 0: none yet */
	int64_t first_sent_ms; /* when the commit under way was first sent */
	int64_t sent_ms; /* when it was last sent */
	int64_t confirmed_ms;
	int64_t former_until_ms; /* no owner before us renews a lease later */
	int64_t last_commit_ms;
	bool committing;
	bool unsure; /* a commit may be done without our knowing */
	bool wanted; /* news came while a commit was under way */
	bool releasing;
	int64_t rest_until_ms; /* no claims before; 0: release for good */
	int32_t n;
	struct rows_change changes[COMMIT_ROWS_MAX];
	char *value; /* the owner's row in the commit under way */
};

static void poll_soon(struct owner *o, int64_t ms);
static void send_commit(struct owner *o);
static void maybe_commit(struct owner *o);

static void row_clear(struct owner_row *row)
{
	talloc_free(row->pending);
	talloc_free(row->handed);
	memset(row, 0, sizeof(*row));
}

static char *text_of(struct owner *o, const json_t *j)
{
	char *text = json_dumps(j, JSON_COMPACT);
	char *copy = talloc_strdup(o, text);

	free(text);
	return copy;
}

static void row_parse(struct owner *o, const char *text, struct owner_row *out)
{
	json_t *j = text ? json_loads(text, 0, NULL) : NULL;
	const char *vm = json_string_value(json_object_get(j, "vm"));
	const char *life = json_string_value(json_object_get(j, "life"));

	const json_t *pending = json_object_get(j, "pending");
	const json_t *handed = json_object_get(j, "handed");

	row_clear(out);
	if (j)
		out->pending =
			pending ? text_of(o, pending) : talloc_strdup(o, "{}");
	if (handed)
		out->handed = text_of(o, handed);
	snprintf(out->vm, sizeof(out->vm), "%s", vm ? vm : "");
	snprintf(out->life, sizeof(out->life), "%s", life ? life : "");
	out->epoch = json_integer_value(json_object_get(j, "epoch"));
	out->seq = json_integer_value(json_object_get(j, "seq"));
	out->released = json_is_true(json_object_get(j, "released"));
	out->strongest_milli =
		json_integer_value(json_object_get(j, "strongest_milli"));
	out->lease_ms = json_integer_value(json_object_get(j, "lease_ms"));
	out->renews_ms = json_integer_value(json_object_get(j, "renews_ms"));
	json_decref(j);
}

static char *row_text(const struct owner_row *row)
{
	json_t *pending =
		json_loads(row->pending ? row->pending : "{}", 0, NULL);
	json_t *j = json_pack(
		"{s:s,s:s,s:I,s:I,s:b,s:I,s:I,s:I,s:o}", "vm", row->vm, "life",
		row->life, "epoch", (json_int_t)row->epoch, "seq",
		(json_int_t)row->seq, "released", row->released,
		"strongest_milli", (json_int_t)row->strongest_milli, "lease_ms",
		(json_int_t)row->lease_ms, "renews_ms",
		(json_int_t)row->renews_ms, "pending",
		pending ? pending : json_object());
	char *text;

	if (row->handed)
		json_object_set_new(j, "handed",
				    json_loads(row->handed, 0, NULL));
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	return text;
}

static bool is_ours(const struct owner *o, const struct owner_row *row)
{
	return !strcmp(row->vm, o->vm) && !strcmp(row->life, o->life);
}

/* A row that stood still for long, or that its owner gave up, is free. */
static bool is_free(const struct owner *o, int64_t now_ms)
{
	if (!o->version || o->row.released)
		return true;
	/* A former life of this process is over for sure. */
	if (!strcmp(o->row.vm, o->vm) && strcmp(o->row.life, o->life))
		return true;
	return now_ms - o->changed_ms >= o->lim.silence_ms &&
	       now_ms - o->answered_ms < o->lim.silence_ms;
}

static void step_down(struct owner *o, const char *why)
{
	bool led = o->phase == LEADING;

	if (led)
		log_event(LOG_SHARD_LOST, "part=%s epoch=%lld why=%s", o->part,
			  (long long)o->row.epoch, why);
	o->committing = false;
	o->unsure = false;
	o->wanted = false;
	/* One that only rests may claim again. */
	o->releasing = o->releasing && !o->rest_until_ms;
	o->phase = o->releasing ? RELEASED : WATCHING;
	o->changed_ms = clk_mono_ms(o->clk);
	if (led)
		o->ops->lost(o->priv);
	poll_soon(o, o->lim.poll_ms);
}

/*
 * The commit was done, not before `done_ms`: since then at the earliest others
 * see the row stand still.
 */
static void after_commit(struct owner *o, int64_t version, int64_t done_ms)
{
	enum phase was = o->phase;

	o->version = version;
	o->committing = false;
	o->unsure = false;
	o->confirmed_ms = done_ms;
	o->changed_ms = clk_mono_ms(o->clk);
	if (o->row.released) {
		o->phase = o->rest_until_ms ? WATCHING : RELEASED;
		o->releasing = !o->rest_until_ms;
		log_event(LOG_SHARD_LOST, "part=%s epoch=%lld why=released",
			  o->part, (long long)o->row.epoch);
		o->ops->lost(o->priv);
		poll_soon(o, o->lim.poll_ms);
		return;
	}
	o->phase = LEADING;
	if (was == CLAIMING) {
		log_event(LOG_SHARD_GAINED, "part=%s epoch=%lld from=%s",
			  o->part, (long long)o->row.epoch, o->former.vm);
		o->ops->gained(&o->former, version, o->priv);
	} else {
		o->ops->committed(o->priv);
	}
	maybe_commit(o);
}

/* The conflict shows the row: it is ours if an earlier try was done after all.
 */
static void on_conflict(struct owner *o, const struct rows_answer *ans)
{
	int64_t seq = o->row.seq;

	for (int32_t i = 0; i < ans->n; i++) {
		struct owner_row row = { 0 };

		if (strcmp(ans->rows[i].key, OWNER_KEY))
			continue;
		row_parse(o, ans->rows[i].value, &row);
		if (is_ours(o, &row) && row.seq == seq) {
			row_clear(&row);
			after_commit(o, ans->rows[i].version, o->first_sent_ms);
			return;
		}
		row_clear(&o->row);
		o->row = row;
		o->version = ans->rows[i].version;
		step_down(o, "another owner");
		return;
	}
	o->version = 0;
	step_down(o, "the row is gone");
}

static void retry(void *priv)
{
	struct owner *o = priv;

	o->timer = NULL;
	send_commit(o);
}

static void on_commit(const struct rows_answer *ans, void *priv)
{
	struct owner *o = priv;

	if (ans->result == ROWS_OK) {
		/* Had an earlier try been done, this one would conflict. */
		after_commit(o, ans->version, o->sent_ms);
		return;
	}
	if (ans->result == ROWS_CONFLICT) {
		on_conflict(o, ans);
		return;
	}
	/* Sent again unchanged: its condition lets only one of them be done. */
	o->unsure |= ans->result == ROWS_UNKNOWN;
	if (o->phase == CLAIMING && !o->unsure) {
		o->committing = false;
		row_clear(&o->row);
		o->row = o->former;
		memset(&o->former, 0, sizeof(o->former));
		o->phase = WATCHING;
		poll_soon(o, o->lim.poll_ms);
		return;
	}
	TALLOC_FREE(o->timer);
	o->timer = tmr_after(o->timers, FAILED_PAUSE_MS, retry, o);
}

static void send_commit(struct owner *o)
{
	struct rows_tx tx = { .part = o->part,
			      .n = o->n,
			      .changes = o->changes,
			      .fresh_connection = o->unsure };

	o->sent_ms = clk_mono_ms(o->clk);
	o->rows.ops->commit(o->rows.self, &tx, on_commit, o);
}

static void begin_commit(struct owner *o)
{
	o->committing = true;
	o->wanted = false;
	o->last_commit_ms = clk_mono_ms(o->clk);
	o->row.renews_ms = o->former_until_ms > o->last_commit_ms
				   ? o->former_until_ms - o->last_commit_ms
				   : 0;
	o->row.seq++;
	free(o->value);
	o->value = row_text(&o->row);
	o->changes[0] = (struct rows_change){
		.table = OWNER_TABLE,
		.key = OWNER_KEY,
		.value = o->value,
		.conditional = true,
		.expected = o->version,
	};
	o->first_sent_ms = o->last_commit_ms;
	send_commit(o);
}

static void commit_now(struct owner *o)
{
	int32_t n;

	o->ops->fill(&o->row, o->priv);
	n = o->ops->collect(o->changes + 1, COMMIT_ROWS_MAX - 1, o->priv);
	o->n = n + 1;
	/* The last commit gives up only once there is no news left. */
	o->row.released = o->releasing && n < COMMIT_ROWS_MAX - 1;
	if (o->row.released)
		o->row.handed = o->ops->hand_over(o, o->priv);
	begin_commit(o);
}

static void commit_due(void *priv)
{
	struct owner *o = priv;

	o->timer = NULL;
	if (o->phase == LEADING && !o->committing)
		commit_now(o);
}

static void maybe_commit(struct owner *o)
{
	int64_t now = clk_mono_ms(o->clk);
	int64_t due = o->last_commit_ms + (o->wanted || o->releasing
						   ? o->lim.group_ms
						   : o->lim.heartbeat_ms);

	if (o->phase != LEADING || o->committing)
		return;
	TALLOC_FREE(o->timer);
	o->timer = tmr_after(o->timers, due - now, commit_due, o);
}

/*
 * An owner that gave up, or whose process has ended, renews no lease; one that
 * is silent may, for as long as it is in doubt.
 */
static int64_t former_until_ms(const struct owner *o, int64_t now_ms)
{
	int64_t earlier_ms = now_ms + o->row.renews_ms;
	int64_t silent_ms = o->changed_ms + o->lim.silence_ms + o->lim.doubt_ms;

	if (!o->version || o->row.released || !strcmp(o->row.vm, o->vm))
		return earlier_ms;
	return silent_ms > earlier_ms ? silent_ms : earlier_ms;
}

static void claim(void *priv)
{
	struct owner *o = priv;
	int64_t now = clk_mono_ms(o->clk);

	o->claim_timer = NULL;
	if (o->phase != WATCHING || !is_free(o, now))
		return;
	o->phase = CLAIMING;
	o->former_until_ms = former_until_ms(o, now);
	row_clear(&o->former);
	o->former = o->row;
	o->row.handed = NULL;
	if (o->row.lease_ms < o->lim.lease_ms)
		o->row.lease_ms = o->lim.lease_ms;
	/* Until we have counted ourselves, the former count stands. */
	o->row.pending = talloc_strdup(o, o->former.pending);
	snprintf(o->row.vm, sizeof(o->row.vm), "%s", o->vm);
	snprintf(o->row.life, sizeof(o->row.life), "%s", o->life);
	o->row.epoch++;
	o->row.released = false;
	if (o->row.strongest_milli < o->lim.strength_milli)
		o->row.strongest_milli = o->lim.strength_milli;
	o->n = 1;
	TALLOC_FREE(o->timer);
	begin_commit(o);
}

/*
 * VMs that are weaker than some former owner wait longer, by the square of the
 * ratio: a strong one that starts at the same time comes before them, and they
 * still take over when there is none.
 */
static int64_t claim_wait_ms(const struct owner *o)
{
	int64_t most = o->row.strongest_milli;
	int64_t ours = o->lim.strength_milli;
	int64_t wait = o->lim.handicap_ms;

	if (ours > 0 && most > ours)
		wait = wait * most * most / (ours * ours);
	return wait + o->trip_ms * CLAIM_WAIT_TRIPS;
}

static void on_poll(const struct rows_answer *ans, void *priv)
{
	struct owner *o = priv;
	int64_t now = clk_mono_ms(o->clk);
	int64_t version = ans->n ? ans->rows[0].version : 0;

	if (o->phase != WATCHING && o->phase != RELEASED)
		return;
	poll_soon(o, o->lim.poll_ms);
	if (ans->result != ROWS_OK)
		return;
	o->answered_ms = now;
	if (!o->trip_ms || now - o->polled_ms < o->trip_ms)
		o->trip_ms = now - o->polled_ms + 1;
	/* A read that lags shows an older row. */
	if (o->read && version < o->version)
		return;
	if (!o->read || version != o->version) {
		o->changed_ms = now;
		o->version = version;
		row_parse(o, ans->n ? ans->rows[0].value : NULL, &o->row);
	}
	o->read = true;
	if (o->phase == WATCHING && !o->claim_timer && is_free(o, now) &&
	    now >= o->rest_until_ms)
		o->claim_timer =
			tmr_after(o->timers, claim_wait_ms(o), claim, o);
}

static void poll_now(void *priv)
{
	struct owner *o = priv;
	struct rows_range range = { .table = OWNER_TABLE,
				    .part = o->part,
				    .limit = 1 };

	o->timer = NULL;
	o->polled_ms = clk_mono_ms(o->clk);
	if (o->phase == WATCHING || o->phase == RELEASED)
		o->rows.ops->read(o->rows.self, &range, on_poll, o);
}

static void poll_soon(struct owner *o, int64_t ms)
{
	TALLOC_FREE(o->timer);
	o->timer = tmr_after(o->timers, ms, poll_now, o);
}

static int owner_destructor(struct owner *o)
{
	free(o->value);
	return 0;
}

struct owner *owner_start(void *ctx, const struct rows *rows,
			  struct tmr_set *timers, const struct clk *clk,
			  int32_t shard, const char *vm, const char *life,
			  const struct owner_limits *lim,
			  const struct owner_ops *ops, void *priv)
{
	struct owner *o = talloc_zero(ctx, struct owner);

	o->rows = *rows;
	o->timers = timers;
	o->clk = clk;
	o->ops = ops;
	o->priv = priv;
	o->lim = *lim;
	snprintf(o->part, sizeof(o->part), "s%d", shard);
	snprintf(o->vm, sizeof(o->vm), "%s", vm);
	snprintf(o->life, sizeof(o->life), "%s", life);
	talloc_set_destructor(o, owner_destructor);
	poll_soon(o, 0);
	return o;
}

bool owner_is_leading(const struct owner *o)
{
	return o->phase == LEADING;
}

int64_t owner_epoch(const struct owner *o)
{
	return o->row.epoch;
}

void owner_kick(struct owner *o)
{
	if (o->wanted)
		return;
	o->wanted = true;
	maybe_commit(o);
}

void owner_yield(struct owner *o, int64_t rest_ms)
{
	if (o->phase != LEADING || o->releasing)
		return;
	o->releasing = true;
	o->rest_until_ms = clk_mono_ms(o->clk) + rest_ms;
	maybe_commit(o);
}

void owner_release(struct owner *o)
{
	bool yielding = o->releasing && o->rest_until_ms;

	o->rest_until_ms = 0;
	if (o->releasing && !yielding)
		return;
	o->releasing = true;
	TALLOC_FREE(o->claim_timer);
	if (o->phase == LEADING)
		maybe_commit(o);
	else if (o->phase == WATCHING)
		o->phase = RELEASED;
}

int64_t owner_confirm_age_ms(const struct owner *o)
{
	return clk_mono_ms(o->clk) - o->confirmed_ms;
}

int64_t owner_former_until_ms(const struct owner *o)
{
	return o->former_until_ms;
}

int64_t owner_version(const struct owner *o)
{
	return o->version;
}

const struct owner_row *owner_seen(const struct owner *o, int64_t *changed_ms)
{
	*changed_ms = o->changed_ms;
	return o->read || o->phase == LEADING ? &o->row : NULL;
}
