/* Tests how old an owner takes the job counts in a row to be, over a store that
 * answers when the test says so, and a clock that the test sets. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "state/owner.h"
#include "tests/owners.h"
#include "tests/unit.h"

#define CALLS_MAX 16

struct held_call {
	rows_done done; /* NULL once answered */
	void *priv;
};

struct held_store {
	struct tevent_context *ev;
	struct owner *owner;
	struct candidate candidate;
	struct clk clk;
	int64_t now_ms;
	struct held_call reads[CALLS_MAX];
	struct held_call commits[CALLS_MAX];
	int n_reads;
	int n_commits;
};

static struct timespec held_now(void *priv)
{
	const struct held_store *s = priv;

	return (struct timespec){ .tv_sec = s->now_ms / 1000,
				  .tv_nsec = s->now_ms % 1000 * 1000000 };
}

static void hold_commit(void *self, const struct rows_tx *tx, rows_done done,
			void *priv)
{
	struct held_store *s = self;

	(void)tx;
	g_assert_cmpint(s->n_commits, <, CALLS_MAX);
	s->commits[s->n_commits++] = (struct held_call){ done, priv };
}

static void hold_read(void *self, const struct rows_range *range,
		      rows_done done, void *priv)
{
	struct held_store *s = self;

	(void)range;
	g_assert_cmpint(s->n_reads, <, CALLS_MAX);
	s->reads[s->n_reads++] = (struct held_call){ done, priv };
}

static void answer(struct held_call *call, const struct rows_answer *ans)
{
	struct held_call c = *call;

	call->done = NULL;
	c.done(ans, c.priv);
}

/* Answers a read of the owner's row; `value` NULL: there is no row. */
static void answer_read(struct held_store *s, int read, int64_t store_ms,
			int64_t version, const char *value)
{
	struct rows_row row = {
		.part = "s0", .key = "owner", .value = value, .version = version
	};
	struct rows_answer ans = { .result = ROWS_OK,
				   .version = version,
				   .now_ms = store_ms,
				   .n = value ? 1 : 0,
				   .rows = &row };

	answer(&s->reads[read], &ans);
}

static void await_calls(struct held_store *s, const int *number, int wanted)
{
	while (*number < wanted)
		tevent_loop_once(s->ev);
}

static struct held_store *held_store_open(void)
{
	static const struct rows_ops ops = { .commit = hold_commit,
					     .read = hold_read };
	static const struct owner_limits lim = { .poll_ms = 4,
						 .silence_ms = SILENCE_MS,
						 .heartbeat_ms = 50,
						 .commit_gap_ms = 5,
						 .claim_delay_ms = 50 };
	struct tevent_context *ev = tevent_context_init(NULL);
	struct held_store *s = talloc_zero(ev, struct held_store);
	struct rows rows = { &ops, s };

	s->ev = ev;
	s->now_ms = 1000;
	s->clk = (struct clk){ held_now, held_now, s };
	s->owner = owner_start(ev, &rows, tmr_set_start(ev, ev), &s->clk, 0,
			       "a", "1", &lim, &candidate_ops, &s->candidate);
	return s;
}

static void held_store_close(struct held_store *s)
{
	struct rows_answer ans = { .result = ROWS_NO_EFFECT };

	for (int i = 0; i < s->n_commits; i++) {
		if (s->commits[i].done)
			answer(&s->commits[i], &ans);
	}
	for (int i = 0; i < s->n_reads; i++) {
		if (s->reads[i].done)
			answer(&s->reads[i], &ans);
	}
	talloc_free(s->ev);
}

/*
 * Guards against an age that is too small after a refused claim: the answer to
 * the poll before it was taken for that to the poll after it.
 */
static void test_late_poll(void)
{
	struct held_store *s = held_store_open();
	struct rows_answer refused = { .result = ROWS_NO_EFFECT };

	await_calls(s, &s->n_reads, 1);
	answer_read(s, 0, 4900, 1, NULL);
	await_calls(s, &s->n_reads, 2);
	/* The row of its incarnation, and the claim. */
	await_calls(s, &s->n_commits, 2);
	s->now_ms += 500;
	answer(&s->commits[1], &refused);
	await_calls(s, &s->n_reads, 3);
	answer_read(s, 1, 5000, 2,
		    "{\"vm\":\"b\",\"epoch\":1,\"seq\":1,\"pending\":{},"
		    "\"pending_ms\":4000}");
	g_assert_cmpint(owner_pending_age_ms(s->owner), ==, 1500);
	held_store_close(s);
}

/*
 * Guards against a row without a date that counts as new when it is first read,
 * or when polls went unanswered before it changed: it was written at some time
 * after the last poll that did not show it.
 */
static void test_undated(void)
{
	static const char row[] =
		"{\"vm\":\"b\",\"epoch\":1,\"seq\":1,\"pending\":{}}";
	struct held_store *s = held_store_open();

	await_calls(s, &s->n_reads, 1);
	answer_read(s, 0, 5000, 7, row);
	g_assert_cmpint(owner_pending_age_ms(s->owner), ==, -1);
	await_calls(s, &s->n_reads, 2);
	s->now_ms = 4000;
	answer_read(s, 1, 5000, 8, row);
	g_assert_cmpint(owner_pending_age_ms(s->owner), ==, 3000);
	await_calls(s, &s->n_reads, 3);
	s->now_ms = 4100;
	answer_read(s, 2, 5000, 8, row);
	await_calls(s, &s->n_reads, 4);
	s->now_ms = 4200;
	answer_read(s, 3, 5000, 9, row);
	g_assert_cmpint(owner_pending_age_ms(s->owner), ==, 200);
	held_store_close(s);
}

/* The age of a date is unknown without the store's clock. */
static void test_no_store_clock(void)
{
	struct held_store *s = held_store_open();

	await_calls(s, &s->n_reads, 1);
	answer_read(s, 0, 0, 7,
		    "{\"vm\":\"b\",\"epoch\":1,\"seq\":1,\"pending\":{},"
		    "\"pending_ms\":4000}");
	g_assert_cmpint(owner_pending_age_ms(s->owner), ==, -1);
	held_store_close(s);
}

void unit_add_owner_age(void)
{
	g_test_add_func("/state/age-by-late-poll", test_late_poll);
	g_test_add_func("/state/age-of-undated", test_undated);
	g_test_add_func("/state/age-without-store-clock", test_no_store_clock);
}
