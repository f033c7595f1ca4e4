/* Elects a shard's owner: of concurrent writes of its row only one succeeds. */
#include "state/owner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/log.h"
#include "state/incarnation.h"
#include "state/owner_int.h"

#define OWNER_TABLE "owners"
#define OWNER_KEY "owner"
/* A claim is delayed by this many round trips to the store, so that a VM close
 * to it wins: each commit takes a round trip. */
#define CLAIM_WAIT_RTTS 8
/* Within OWNER_RESTART_WINDOW_MS of its start a VM polls this many times as
 * often, because it is the one that a stopping owner names as successor, and
 * while it is named. */
#define STARTUP_POLL_FACTOR 4
/* Other VMs delay their claim by this part of the poll interval in favour of a
 * named successor: its next poll, and the round trips of poll and claim. */
#define SUCCESSOR_WAIT_PERCENT 150
/* Pause after a commit that failed, in ms. */
#define FAILED_PAUSE_MS 120

static void schedule_poll(struct owner *o, int64_t ms);
static void send_commit(struct owner *o);

static bool is_ours(const struct owner *o, const struct owner_row *row)
{
	return !strcmp(row->vm, o->vm) &&
	       !strcmp(row->incarnation, o->incarnation);
}

/* Whether the row was released, or hasn't changed for the silence limit. */
static bool is_claimable(const struct owner *o, int64_t now_ms)
{
	if (!o->version || o->row.released)
		return true;
	/* An earlier incarnation of this VM has certainly ended. */
	if (!strcmp(o->row.vm, o->vm) &&
	    strcmp(o->row.incarnation, o->incarnation))
		return true;
	return now_ms - o->changed_ms >= o->lim.silence_ms &&
	       now_ms - o->answered_ms < o->lim.silence_ms;
}

static void step_down(struct owner *o, const char *why)
{
	bool was_owner = o->phase == OWNER_OWNING;

	if (was_owner)
		log_event(LOG_SHARD_LOST, "part=%s epoch=%lld why=%s", o->part,
			  (long long)o->row.epoch, why);
	o->committing = false;
	o->outcome_unknown = false;
	o->commit_wanted = false;
	/* An owner that yielded may claim again. */
	o->releasing = o->releasing && !o->no_claim_until_ms;
	o->phase =
		o->releasing || o->stopping ? OWNER_RELEASED : OWNER_WATCHING;
	TALLOC_FREE(o->wait_timer);
	o->changed_ms = clk_mono_ms(o->clk);
	if (was_owner)
		o->ops->lost(o->priv);
	schedule_poll(o, o->lim.poll_ms);
}

/* The commit took effect at `done_ms` or later, so others count our silence
 * from `done_ms` at the earliest. */
static void commit_done(struct owner *o, int64_t version, int64_t done_ms)
{
	enum owner_phase old_phase = o->phase;

	o->version = version;
	o->committing = false;
	o->outcome_unknown = false;
	o->confirmed_ms = done_ms;
	o->changed_ms = clk_mono_ms(o->clk);
	if (o->row.released) {
		o->phase =
			o->no_claim_until_ms ? OWNER_WATCHING : OWNER_RELEASED;
		o->releasing = !o->no_claim_until_ms;
		log_event(LOG_SHARD_LOST,
			  "part=%s epoch=%lld why=released successor=%s",
			  o->part, (long long)o->row.epoch, o->row.successor);
		o->ops->lost(o->priv);
		schedule_poll(o, o->lim.poll_ms);
		return;
	}
	o->phase = OWNER_OWNING;
	o->named = false;
	o->ready_epoch = 0;
	if (old_phase == OWNER_CLAIMING) {
		o->gained_store_ms = o->store_ms;
		log_event(LOG_SHARD_GAINED, "part=%s epoch=%lld from=%s",
			  o->part, (long long)o->row.epoch, o->previous.vm);
		o->ops->gained(&o->previous, version, o->priv);
	} else {
		o->ops->committed(o->priv);
	}
	owner_schedule_commit(o);
}

/* If an earlier attempt took effect, the row in the conflict is our own. */
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
			commit_done(o, ans->rows[i].version, o->first_sent_ms);
			return;
		}
		owner_row_clear(&o->row);
		o->row = row;
		o->written_after_ms = 0;
		o->version = ans->rows[i].version;
		step_down(o, "another owner");
		return;
	}
	o->version = 0;
	step_down(o, "the row is gone");
}

static void retry_commit(void *priv)
{
	struct owner *o = priv;

	o->timer = NULL;
	send_commit(o);
}

static void note_store_clock(struct owner *o, int64_t store_ms, int64_t sent_ms)
{
	if (!store_ms)
		return;
	o->store_ms = store_ms;
	o->store_sent_ms = sent_ms;
}

static void on_commit(const struct rows_answer *ans, void *priv)
{
	struct owner *o = priv;

	note_store_clock(o, ans->now_ms, o->sent_ms);
	if (ans->result == ROWS_OK) {
		/* Had an earlier attempt succeeded, this one would conflict. */
		commit_done(o, ans->version, o->sent_ms);
		return;
	}
	if (ans->result == ROWS_CONFLICT) {
		on_conflict(o, ans);
		return;
	}
	/* Retried unchanged: the condition lets only one attempt succeed. */
	o->outcome_unknown |= ans->result == ROWS_UNKNOWN;
	if (o->phase == OWNER_CLAIMING && !o->outcome_unknown) {
		o->committing = false;
		owner_row_clear(&o->row);
		o->row = o->previous;
		memset(&o->previous, 0, sizeof(o->previous));
		o->phase = OWNER_WATCHING;
		schedule_poll(o, o->lim.poll_ms);
		return;
	}
	TALLOC_FREE(o->timer);
	o->timer = tmr_after(o->timers, FAILED_PAUSE_MS, retry_commit, o);
}

static void send_commit(struct owner *o)
{
	struct rows_tx tx = { .part = o->part,
			      .n = o->n_changes,
			      .changes = o->changes,
			      .fresh_connection = o->outcome_unknown };

	o->sent_ms = clk_mono_ms(o->clk);
	o->rows.ops->commit(o->rows.self, &tx, on_commit, o);
}

static int64_t left_ms(int64_t end_ms, int64_t now_ms)
{
	return end_ms > now_ms ? end_ms - now_ms : 0;
}

static void start_commit(struct owner *o)
{
	o->committing = true;
	o->commit_wanted = false;
	o->last_commit_ms = clk_mono_ms(o->clk);
	o->row.previous_renews_ms =
		left_ms(o->previous_renew_end_ms, o->last_commit_ms);
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

	o->ops->fill_row(&o->row, o->priv);
	n = o->ops->collect(o->changes + 1, OWNER_COMMIT_ROWS_MAX - 1, o->priv);
	o->n_changes = n + 1;
	/* Releases only once all collected changes fit into this commit. */
	o->row.stopping = o->stopping && !o->has_successor;
	o->row.released = o->releasing && n < OWNER_COMMIT_ROWS_MAX - 1;
	if (o->row.released)
		o->row.handover = o->ops->get_handover(o, o->priv);
	start_commit(o);
}

static void on_commit_timer(void *priv)
{
	struct owner *o = priv;

	o->timer = NULL;
	if (o->phase == OWNER_OWNING && !o->committing)
		commit_now(o);
}

void owner_schedule_commit(struct owner *o)
{
	int64_t now = clk_mono_ms(o->clk);
	int64_t due = o->last_commit_ms + (o->commit_wanted || o->releasing
						   ? o->lim.commit_gap_ms
						   : o->lim.heartbeat_ms);

	if (o->phase != OWNER_OWNING || o->committing)
		return;
	TALLOC_FREE(o->timer);
	o->timer = tmr_after(o->timers, due - now, on_commit_timer, o);
}

/* An owner that released the shard or whose process has ended renews no lease.
 * A silent one may, for `in_doubt_max_ms` after others may claim the shard. */
static int64_t previous_renew_end_ms(const struct owner *o, int64_t now_ms)
{
	int64_t earlier_ms = now_ms + o->row.previous_renews_ms;
	int64_t silent_ms =
		o->changed_ms + o->lim.silence_ms + o->lim.in_doubt_max_ms;

	if (!o->version || o->row.released || !strcmp(o->row.vm, o->vm))
		return earlier_ms;
	return silent_ms > earlier_ms ? silent_ms : earlier_ms;
}

static void claim(void *priv)
{
	struct owner *o = priv;
	int64_t now = clk_mono_ms(o->clk);

	o->claim_timer = NULL;
	if (o->phase != OWNER_WATCHING || o->stopping || !is_claimable(o, now))
		return;
	o->phase = OWNER_CLAIMING;
	o->previous_renew_end_ms = previous_renew_end_ms(o, now);
	/* The row was written before we saw it change. */
	o->previous_long_leases_end_ms = o->changed_ms + o->row.long_leases_ms;
	owner_row_clear(&o->previous);
	o->previous = o->row;
	o->row.handover = NULL;
	o->row.rooms = NULL;
	o->row.has_job_room = false;
	o->row.overload = NULL;
	o->row.long_leases_ms = left_ms(o->previous_long_leases_end_ms, now);
	if (o->row.lease_ms < o->lim.lease_ms)
		o->row.lease_ms = o->lim.lease_ms;
	/* Keep the previous owner's counts until we have our own. */
	o->row.pending = talloc_strdup(o, o->previous.pending);
	if (o->row.pending_ms == OWNER_ROW_UNDATED)
		o->row.pending_ms = 0;
	/* Our successor needs them if we are lost before we write our own. */
	o->row.grants = talloc_strdup(o, o->previous.grants);
	snprintf(o->row.vm, sizeof(o->row.vm), "%s", o->vm);
	snprintf(o->row.incarnation, sizeof(o->row.incarnation), "%s",
		 o->incarnation);
	o->row.epoch++;
	o->row.released = false;
	*o->row.successor = '\0';
	o->row.stopping = false;
	o->row.starts_end_ms = 0;
	if (o->row.max_cpu_milli < o->lim.cpu_milli)
		o->row.max_cpu_milli = o->lim.cpu_milli;
	o->n_changes = 1;
	TALLOC_FREE(o->timer);
	start_commit(o);
}

static bool names_us(const struct owner *o)
{
	return !strcmp(o->row.successor, o->vm) &&
	       !strcmp(o->row.successor_incarnation, o->incarnation);
}

static bool is_successor(const struct owner *o)
{
	return o->row.released && names_us(o);
}

/* Whether a stopping owner, which waits for a VM that is back, names this one
 * next unless there is a better one. Like it, by the store's clock. */
static bool is_likely(const struct owner *o)
{
	return o->row.stopping && (!o->row.released || !*o->row.successor) &&
	       o->started_store_ms &&
	       o->store_ms - o->started_store_ms < OWNER_RESTART_WINDOW_MS &&
	       incarnation_has_cpu(o->lim.cpu_milli, o->row.max_cpu_milli);
}

/* A successor that was named before the release learns of it. */
static void update_named(struct owner *o)
{
	bool named = o->phase == OWNER_WATCHING && !o->stopping &&
		     (names_us(o) || is_likely(o));

	if (named == o->named)
		return;
	o->named = named;
	if (!named && o->ready_epoch) {
		o->ready_epoch = 0;
		o->published = false;
	}
	if (o->ops->named)
		o->ops->named(named, o->priv);
	else if (named)
		owner_set_ready(o);
}

static int64_t claim_wait_ms(const struct owner *o)
{
	int64_t wait = owner_row_claim_delay_ms(&o->row, o->lim.cpu_milli,
						o->lim.claim_delay_ms);

	if (is_successor(o))
		return 0;
	/* Others would have to read the rows yet. */
	if (!*o->row.successor && o->ready_epoch &&
	    o->ready_epoch == o->row.epoch)
		return 0;
	if (o->row.released && *o->row.successor)
		wait += o->lim.poll_ms * SUCCESSOR_WAIT_PERCENT / 100;
	return wait + o->rtt_ms * CLAIM_WAIT_RTTS;
}

static int64_t poll_interval_ms(const struct owner *o, int64_t now_ms)
{
	bool young = now_ms - o->started_ms < OWNER_RESTART_WINDOW_MS;

	return young || o->named ? o->lim.poll_ms / STARTUP_POLL_FACTOR
				 : o->lim.poll_ms;
}

/* A poll in flight. There may be two: a refused claim schedules the next one
 * without waiting for the last. */
struct poll {
	struct owner *owner;
	int64_t sent_ms;
};

static void on_poll(const struct rows_answer *ans, void *priv)
{
	struct poll *poll = priv;
	struct owner *o = poll->owner;
	int64_t sent_ms = poll->sent_ms;
	int64_t now = clk_mono_ms(o->clk);
	int64_t version = ans->n ? ans->rows[0].version : 0;

	talloc_free(poll);
	if (o->phase != OWNER_WATCHING && o->phase != OWNER_RELEASED)
		return;
	schedule_poll(o, poll_interval_ms(o, now));
	if (ans->result != ROWS_OK)
		return;
	o->answered_ms = now;
	note_store_clock(o, ans->now_ms, sent_ms);
	if (!o->rtt_ms || now - sent_ms < o->rtt_ms)
		o->rtt_ms = now - sent_ms + 1;
	/* Reads may lag and show an older row. */
	if (o->row_read && version < o->version)
		return;
	if (!o->row_read || version != o->version) {
		o->changed_ms = now;
		o->written_after_ms = o->row_read ? o->read_sent_ms : 0;
		o->version = version;
		/* The new row may name another successor. */
		TALLOC_FREE(o->claim_timer);
		owner_row_parse(o, ans->n ? ans->rows[0].value : NULL, &o->row);
	}
	o->row_read = true;
	o->read_sent_ms = sent_ms;
	owner_publish(o, ans->now_ms);
	update_named(o);
	if (o->phase == OWNER_WATCHING && !o->stopping && !o->claim_timer &&
	    is_claimable(o, now) && now >= o->no_claim_until_ms)
		o->claim_timer =
			tmr_after(o->timers, claim_wait_ms(o), claim, o);
}

static void poll_now(void *priv)
{
	struct owner *o = priv;
	struct rows_range range = { .table = OWNER_TABLE,
				    .part = o->part,
				    .limit = 1 };
	struct poll *poll;

	o->timer = NULL;
	if (o->phase != OWNER_WATCHING && o->phase != OWNER_RELEASED)
		return;
	poll = talloc(o, struct poll);
	*poll = (struct poll){ o, clk_mono_ms(o->clk) };
	o->rows.ops->read(o->rows.self, &range, on_poll, poll);
}

static void schedule_poll(struct owner *o, int64_t ms)
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
			  int32_t shard, const char *vm,
			  const char *incarnation,
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
	snprintf(o->incarnation, sizeof(o->incarnation), "%s", incarnation);
	talloc_set_destructor(o, owner_destructor);
	schedule_poll(o, 0);
	return o;
}

bool owner_owns_shard(const struct owner *o)
{
	return o->phase == OWNER_OWNING;
}

int64_t owner_epoch(const struct owner *o)
{
	return o->row.epoch;
}

void owner_request_commit(struct owner *o)
{
	if (o->commit_wanted)
		return;
	o->commit_wanted = true;
	owner_schedule_commit(o);
}

int64_t owner_confirm_age_ms(const struct owner *o)
{
	return clk_mono_ms(o->clk) - o->confirmed_ms;
}

int64_t owner_previous_renew_end_ms(const struct owner *o)
{
	return o->previous_renew_end_ms;
}

int64_t owner_previous_long_leases_end_ms(const struct owner *o)
{
	return o->previous_long_leases_end_ms;
}

int64_t owner_version(const struct owner *o)
{
	return o->version;
}

static bool has_row(const struct owner *o)
{
	return o->row_read || o->phase == OWNER_OWNING;
}

const struct owner_row *owner_last_row(const struct owner *o,
				       int64_t *changed_ms)
{
	*changed_ms = o->changed_ms;
	return has_row(o) ? &o->row : NULL;
}

int64_t owner_pending_age_ms(const struct owner *o)
{
	int64_t now = clk_mono_ms(o->clk);

	if (!has_row(o) || !o->row.pending || !o->row.pending_ms)
		return -1;
	if (o->row.pending_ms == OWNER_ROW_UNDATED)
		return o->written_after_ms ? now - o->written_after_ms : -1;
	if (!o->store_ms)
		return -1;
	/* The store read its clock after the call was sent, so this is an upper
	 * bound. */
	return o->store_ms + (now - o->store_sent_ms) - o->row.pending_ms;
}
