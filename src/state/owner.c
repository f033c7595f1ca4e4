/* Ownership of a shard by a row that is changed under its version. */
#include "state/owner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/log.h"
#include "state/lives.h"

#define OWNER_TABLE "owners"
#define OWNER_KEY "owner"
/* Rows in one transaction, the owner's among them (platform: 100). */
#define COMMIT_ROWS_MAX 90
/* A claim waits this many times the shortest way to the store, so that a VM
 * near it wins: each commit takes that way. */
#define CLAIM_WAIT_TRIPS 8
/* A stopping owner reads the list of lives so many times between two polls, and
 * waits no longer for an answer. */
#define LIVES_READS_PER_POLL 2
/* A VM that was started this long ago at most, in ms, belongs to the restarts
 * under way: one takes three seconds, and the next ones stop two later. */
#define UNDER_WAY_MS 5000
/* For that long after its start a VM polls so many times as often: it is the
 * one that a stopping owner names. */
#define POLLS_AFTER_START 4
/* Others leave a named successor one and a half times the gap of polls: its
 * next poll, the way there and that of its claim. */
#define SUCCESSOR_WAIT_PERCENT 150
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
	int64_t started_ms;
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
	bool announcing; /* our life's row is being written, ... */
	bool announced; /* ... and was, or isn't wanted any more */
	bool stopping; /* no claims any more */
	int64_t hold_until_ms; /* how long we wait for a VM that is back */
	struct tmr *lives_timer; /* while we do */
	int64_t rest_until_ms; /* no claims before; 0: release for good */
	int32_t n;
	struct rows_change changes[COMMIT_ROWS_MAX];
	char *value; /* the owner's row in the commit under way */
};

static void poll_soon(struct owner *o, int64_t ms);
static void send_commit(struct owner *o);
static void maybe_commit(struct owner *o);
static void ask_for_lives(struct owner *o);

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
	o->phase = o->releasing || o->stopping ? RELEASED : WATCHING;
	TALLOC_FREE(o->lives_timer);
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
		log_event(LOG_SHARD_LOST,
			  "part=%s epoch=%lld why=released successor=%s",
			  o->part, (long long)o->row.epoch, o->row.successor);
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
		owner_row_parse(o, ans->rows[i].value, &row);
		if (is_ours(o, &row) && row.seq == seq) {
			owner_row_clear(&row);
			after_commit(o, ans->rows[i].version, o->first_sent_ms);
			return;
		}
		owner_row_clear(&o->row);
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
		owner_row_clear(&o->row);
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
	o->value = owner_row_text(&o->row);
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
	if (o->phase != WATCHING || o->stopping || !is_free(o, now))
		return;
	o->phase = CLAIMING;
	o->former_until_ms = former_until_ms(o, now);
	owner_row_clear(&o->former);
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
	*o->row.successor = '\0';
	if (o->row.strongest_milli < o->lim.strength_milli)
		o->row.strongest_milli = o->lim.strength_milli;
	o->n = 1;
	TALLOC_FREE(o->timer);
	begin_commit(o);
}

static struct life own_life(const struct owner *o)
{
	struct life l = { .strength_milli = o->lim.strength_milli,
			  .trip_ms = o->trip_ms };

	snprintf(l.vm, sizeof(l.vm), "%s", o->vm);
	snprintf(l.id, sizeof(l.id), "%s", o->life);
	return l;
}

static void on_announced(const struct rows_answer *ans, void *priv)
{
	struct owner *o = priv;

	/* Otherwise the next poll that is answered tries again. */
	o->announced |= ans->result == ROWS_OK;
	o->announcing = false;
}

static void announce(struct owner *o, int64_t store_now_ms)
{
	struct life l = own_life(o);

	if (o->announced || o->announcing || o->phase != WATCHING)
		return;
	o->announcing = true;
	l.started_ms = store_now_ms;
	lives_announce(&o->rows, o->part, &l, on_announced, o);
}

/* A row that stays costs the next handover the wait for this VM. */
static void on_withdrawn(const struct rows_answer *ans, void *priv)
{
	const struct owner *o = priv;

	if (ans->result != ROWS_OK)
		log_event(LOG_ROW_UNUSABLE,
			  "table=lives key=%s why=\"not removed\"", o->vm);
}

static void release_now(struct owner *o)
{
	TALLOC_FREE(o->lives_timer);
	o->releasing = true;
	o->ops->releasing(o->priv);
	maybe_commit(o);
}

static void on_lives(const struct rows_answer *ans, void *priv)
{
	struct owner *o = priv;
	struct life self = own_life(o);
	struct life next = { 0 };
	bool found;

	/* It came too late, or the shard is somebody else's. */
	if (!o->lives_timer || ans->result != ROWS_OK)
		return;
	found = lives_choose(ans, &self, o->row.strongest_milli, &next);
	snprintf(o->row.successor, sizeof(o->row.successor), "%s", next.vm);
	snprintf(o->row.successor_life, sizeof(o->row.successor_life), "%s",
		 next.id);
	if ((found && ans->now_ms - next.started_ms <= UNDER_WAY_MS) ||
	    clk_mono_ms(o->clk) >= o->hold_until_ms)
		release_now(o);
}

static void lives_due(void *priv)
{
	struct owner *o = priv;

	o->lives_timer = NULL;
	if (clk_mono_ms(o->clk) >= o->hold_until_ms)
		release_now(o);
	else
		ask_for_lives(o);
}

static void ask_for_lives(struct owner *o)
{
	int64_t gap_ms = o->lim.poll_ms / LIVES_READS_PER_POLL;

	o->lives_timer = tmr_after(o->timers, gap_ms, lives_due, o);
	lives_read(&o->rows, o->part, on_lives, o);
}

static bool is_successor(const struct owner *o)
{
	return o->row.released && !strcmp(o->row.successor, o->vm) &&
	       !strcmp(o->row.successor_life, o->life);
}

/* All leave a named successor time. */
static int64_t claim_wait_ms(const struct owner *o)
{
	int64_t wait = owner_row_handicap_ms(&o->row, o->lim.strength_milli,
					     o->lim.handicap_ms);

	if (is_successor(o))
		return 0;
	if (o->row.released && *o->row.successor)
		wait += o->lim.poll_ms * SUCCESSOR_WAIT_PERCENT / 100;
	return wait + o->trip_ms * CLAIM_WAIT_TRIPS;
}

static int64_t poll_gap_ms(const struct owner *o, int64_t now_ms)
{
	bool young = now_ms - o->started_ms < UNDER_WAY_MS;

	return young ? o->lim.poll_ms / POLLS_AFTER_START : o->lim.poll_ms;
}

static void on_poll(const struct rows_answer *ans, void *priv)
{
	struct owner *o = priv;
	int64_t now = clk_mono_ms(o->clk);
	int64_t version = ans->n ? ans->rows[0].version : 0;

	if (o->phase != WATCHING && o->phase != RELEASED)
		return;
	poll_soon(o, poll_gap_ms(o, now));
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
		/* Another owner, who may have named another successor. */
		TALLOC_FREE(o->claim_timer);
		owner_row_parse(o, ans->n ? ans->rows[0].value : NULL, &o->row);
	}
	o->read = true;
	announce(o, ans->now_ms);
	if (o->phase == WATCHING && !o->stopping && !o->claim_timer &&
	    is_free(o, now) && now >= o->rest_until_ms)
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
	o->started_ms = clk_mono_ms(clk);
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

/* From now on this life is no good as a successor. */
static void leave_lives(struct owner *o)
{
	o->announced = true;
	lives_withdraw(&o->rows, o->part, o->vm, on_withdrawn, o);
}

void owner_yield(struct owner *o, int64_t rest_ms)
{
	if (o->phase != LEADING || o->releasing)
		return;
	if (o->stopping) {
		release_now(o);
		return;
	}
	o->releasing = true;
	o->rest_until_ms = clk_mono_ms(o->clk) + rest_ms;
	leave_lives(o);
	maybe_commit(o);
}

void owner_release(struct owner *o, int64_t hold_ms)
{
	if (o->stopping)
		return;
	o->stopping = true;
	o->rest_until_ms = 0;
	TALLOC_FREE(o->claim_timer);
	leave_lives(o);
	if (o->phase == LEADING && !o->releasing) {
		o->hold_until_ms = clk_mono_ms(o->clk) + hold_ms;
		ask_for_lives(o);
		return;
	}
	/* A claim under way is given up as soon as it is done. */
	o->releasing = true;
	if (o->phase == WATCHING)
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
