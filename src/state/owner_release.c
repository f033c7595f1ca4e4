/* Releases a shard: when the process stops, to a successor that was restarted
 * recently if there is one, and at once when it is short of CPU time. */
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base/log.h"
#include "state/incarnation.h"
#include "state/owner_int.h"

/* A stopping owner reads the incarnations this many times per poll interval. At
 * the end of its wait it releases the shard even if reads went unanswered. */
#define LIST_READS_PER_POLL 2
/* A stopping owner waits for so many poll intervals until the successor that it
 * named is ready: a load took up to 2.2 s. One that is gone, or runs a release
 * that doesn't read in advance, must not hold up the restart for longer. */
#define READY_WAIT_POLLS 6
/* A VM is much stronger with so many times the processor: a change of owner
 * takes a second or two. */
#define MUCH_STRONGER 2

static struct incarnation own_incarnation(const struct owner *o)
{
	struct incarnation inc = { .cpu_milli = o->lim.cpu_milli,
				   .rtt_ms = o->rtt_ms };

	snprintf(inc.vm, sizeof(inc.vm), "%s", o->vm);
	snprintf(inc.id, sizeof(inc.id), "%s", o->incarnation);
	return inc;
}

static void on_published(const struct rows_answer *ans, void *priv)
{
	struct owner *o = priv;

	/* If this failed, or the row has changed meanwhile, the next answered
	 * poll tries again. */
	o->published |=
		ans->result == ROWS_OK && o->publishing_epoch == o->ready_epoch;
	o->publishing = false;
}

void owner_publish(struct owner *o, int64_t store_now_ms)
{
	struct incarnation inc = own_incarnation(o);

	if (o->published || o->publishing || o->phase != OWNER_WATCHING)
		return;
	o->publishing = true;
	o->publishing_epoch = o->ready_epoch;
	if (!o->started_store_ms)
		o->started_store_ms = store_now_ms;
	inc.started_ms = o->started_store_ms;
	inc.ready_epoch = o->ready_epoch;
	incarnation_publish(&o->rows, o->part, &inc, on_published, o);
}

void owner_set_ready(struct owner *o)
{
	/* An incarnation that was withdrawn stays so. */
	if (o->stopping || !o->named)
		return;
	o->ready_epoch = o->row.epoch;
	o->published = false;
	/* The next poll claims without a delay, if the shard is free. */
	TALLOC_FREE(o->claim_timer);
	owner_publish(o, o->store_ms);
}

/* A row that stays makes the others wait for this VM at the next release. */
static void on_unpublished(const struct rows_answer *ans, void *priv)
{
	const struct owner *o = priv;

	if (ans->result != ROWS_OK)
		log_event(LOG_ROW_UNUSABLE,
			  "table=lives key=%s why=\"row not removed\"", o->vm);
}

static void read_incarnations(struct owner *o);

static void start_release(struct owner *o)
{
	TALLOC_FREE(o->wait_timer);
	o->releasing = true;
	o->ops->releasing(o->priv);
	owner_schedule_commit(o);
}

/* Names `next`, whose row the next commit shows it. */
static void name_successor(struct owner *o, const struct incarnation *next)
{
	if (!strcmp(o->row.successor, next->vm) &&
	    !strcmp(o->row.successor_incarnation, next->id))
		return;
	snprintf(o->row.successor, sizeof(o->row.successor), "%s", next->vm);
	snprintf(o->row.successor_incarnation,
		 sizeof(o->row.successor_incarnation), "%s", next->id);
	o->named_ms = clk_mono_ms(o->clk);
	owner_request_commit(o);
}

static bool is_ready(const struct owner *o, const struct incarnation *next)
{
	int64_t named_for_ms = clk_mono_ms(o->clk) - o->named_ms;

	return next->ready_epoch == o->row.epoch ||
	       named_for_ms >= o->lim.poll_ms * READY_WAIT_POLLS;
}

static void on_incarnations(const struct rows_answer *ans, void *priv)
{
	struct owner *o = priv;
	struct incarnation self = own_incarnation(o);
	struct incarnation next = { 0 };
	bool found;

	/* The answer is late, or the shard has another owner by now. */
	if (!o->wait_timer || ans->result != ROWS_OK)
		return;
	/* The one that prepares is kept, as long as it is up: VMs that were
	 * restarted after it would begin anew. */
	o->has_successor =
		o->has_successor &&
		incarnation_find(ans, o->row.successor,
				 o->row.successor_incarnation, &next);
	if (!o->has_successor) {
		found = incarnation_choose(ans, &self, o->row.max_cpu_milli,
					   &next);
		o->has_successor = found && ans->now_ms - next.started_ms <=
						    OWNER_RESTART_WINDOW_MS;
		name_successor(o, &next);
	}
	if ((o->has_successor && is_ready(o, &next)) ||
	    clk_mono_ms(o->clk) >= o->successor_wait_end_ms)
		start_release(o);
}

static void incarnations_due(void *priv)
{
	struct owner *o = priv;

	o->wait_timer = NULL;
	if (clk_mono_ms(o->clk) >= o->successor_wait_end_ms)
		start_release(o);
	else
		read_incarnations(o);
}

static void read_incarnations(struct owner *o)
{
	int64_t gap_ms = o->lim.poll_ms / LIST_READS_PER_POLL;

	o->wait_timer = tmr_after(o->timers, gap_ms, incarnations_due, o);
	incarnation_read_all(&o->rows, o->part, on_incarnations, o);
}

/* Withdraws this incarnation as a possible successor. */
static void unpublish(struct owner *o)
{
	o->published = true;
	incarnation_remove(&o->rows, o->part, o->vm, on_unpublished, o);
}

void owner_yield(struct owner *o, int64_t no_claim_ms)
{
	if (o->phase != OWNER_OWNING || o->releasing)
		return;
	if (o->stopping) {
		start_release(o);
		return;
	}
	o->releasing = true;
	o->no_claim_until_ms = clk_mono_ms(o->clk) + no_claim_ms;
	unpublish(o);
	owner_schedule_commit(o);
}

static bool is_much_stronger(const struct owner *o, int64_t cpu_milli)
{
	return cpu_milli >= MUCH_STRONGER * o->lim.cpu_milli;
}

static void on_stronger_sought(const struct rows_answer *ans, void *priv)
{
	struct owner *o = priv;
	struct incarnation self = own_incarnation(o);
	struct incarnation next = { 0 };

	o->seeking = false;
	if (o->phase != OWNER_OWNING || o->releasing || o->stopping ||
	    ans->result != ROWS_OK ||
	    !incarnation_choose(ans, &self, o->row.max_cpu_milli, &next) ||
	    next.started_ms <= o->gained_store_ms ||
	    !is_much_stronger(o, next.cpu_milli))
		return;
	snprintf(o->row.successor, sizeof(o->row.successor), "%s", next.vm);
	snprintf(o->row.successor_incarnation,
		 sizeof(o->row.successor_incarnation), "%s", next.id);
	log_event(LOG_SHARD_YIELDED, "part=%s to=%s cpu_milli=%lld of=%lld",
		  o->part, next.vm, (long long)o->lim.cpu_milli,
		  (long long)next.cpu_milli);
	o->ops->releasing(o->priv);
	owner_yield(o, o->seek_no_claim_ms);
}

void owner_seek_stronger(struct owner *o, int64_t no_claim_ms)
{
	if (o->phase != OWNER_OWNING || o->seeking || o->releasing ||
	    o->stopping || !is_much_stronger(o, o->row.max_cpu_milli))
		return;
	o->seeking = true;
	o->seek_no_claim_ms = no_claim_ms;
	incarnation_read_all(&o->rows, o->part, on_stronger_sought, o);
}

void owner_release(struct owner *o, int64_t successor_wait_ms)
{
	if (o->stopping)
		return;
	o->stopping = true;
	o->no_claim_until_ms = 0;
	TALLOC_FREE(o->claim_timer);
	unpublish(o);
	if (o->phase == OWNER_OWNING && !o->releasing) {
		o->successor_wait_end_ms =
			clk_mono_ms(o->clk) + successor_wait_ms;
		owner_request_commit(o);
		read_incarnations(o);
		return;
	}
	/* A claim in flight is released as soon as it is committed. */
	o->releasing = true;
	if (o->phase == OWNER_WATCHING)
		o->phase = OWNER_RELEASED;
}
