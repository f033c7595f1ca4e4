/* Reports of workers sent as differences, over drawn histories of one worker.
 */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "fleet/relay_msg.h"
#include "tests/unit.h"

#define RUNS_MAX 60
#define HISTORIES 30
#define REPORTS 60

/* A worker: its runs and its unacknowledged ends. */
struct world {
	struct sched_active active[RUNS_MAX];
	struct sched_end ends[RUNS_MAX];
	struct sched_report report;
	int32_t last_run;
	int64_t last_seq;
};

static void fill_ref(struct sched_ref *ref, int32_t run)
{
	*ref = (struct sched_ref){ .round = 1, .step = 2, .index = run % 7 };
	g_snprintf(ref->job, sizeof(ref->job), "%016x", run / 3);
	ref->run = run;
}

static void add_run(struct world *w)
{
	struct sched_active *a = &w->active[w->report.n_active++];

	*a = (struct sched_active){ .gauge = g_test_rand_int_range(0, 4000) };
	fill_ref(&a->ref, ++w->last_run);
}

static void end_run(struct world *w)
{
	int32_t i = g_test_rand_int_range(0, w->report.n_active);
	struct sched_end *e = &w->ends[w->report.n_ends++];

	*e = (struct sched_end){ .seq = ++w->last_seq,
				 .ref = w->active[i].ref,
				 .reason = SCHED_END_DONE };
	memmove(&w->active[i], &w->active[i + 1],
		sizeof(w->active[0]) * (size_t)(--w->report.n_active - i));
}

/* The owner acknowledged the first ends. */
static void drop_ends(struct world *w)
{
	int32_t n = g_test_rand_int_range(0, w->report.n_ends + 1);

	memmove(w->ends, w->ends + n,
		sizeof(w->ends[0]) * (size_t)(w->report.n_ends - n));
	w->report.n_ends -= n;
}

static void advance(struct world *w)
{
	w->report.clock_ms += 500;
	for (int k = 0; k < 3; k++) {
		if (w->report.n_active < RUNS_MAX && g_test_rand_bit())
			add_run(w);
		if (w->report.n_active && w->report.n_ends < RUNS_MAX &&
		    g_test_rand_bit())
			end_run(w);
	}
	if (g_test_rand_bit())
		drop_ends(w);
	for (int32_t i = 0; i < w->report.n_active; i++) {
		struct sched_active *a = &w->active[i];

		a->percent = MIN(a->percent + g_test_rand_int_range(0, 3), 100);
		if (!g_test_rand_int_range(0, 10))
			g_snprintf(a->checkpoint, sizeof(a->checkpoint), "c%d",
				   a->percent);
	}
	/* A worker may list its runs in another order. */
	if (w->report.n_active > 1 && !g_test_rand_int_range(0, 5)) {
		struct sched_active first = w->active[0];

		w->active[0] = w->active[1];
		w->active[1] = first;
	}
}

static bool has_active(const struct sched_report *r,
		       const struct sched_active *a)
{
	for (int32_t i = 0; i < r->n_active; i++) {
		const struct sched_active *b = &r->active[i];

		if (!strcmp(a->ref.job, b->ref.job) &&
		    a->ref.run == b->ref.run && a->percent == b->percent &&
		    a->gauge == b->gauge &&
		    !strcmp(a->checkpoint, b->checkpoint))
			return true;
	}
	return false;
}

static bool has_end(const struct sched_report *r, const struct sched_end *e)
{
	for (int32_t i = 0; i < r->n_ends; i++) {
		if (r->ends[i].seq == e->seq &&
		    r->ends[i].ref.run == e->ref.run)
			return true;
	}
	return false;
}

static void assert_same(const struct sched_report *x,
			const struct sched_report *y)
{
	g_assert_cmpint(x->n_active, ==, y->n_active);
	g_assert_cmpint(x->n_ends, ==, y->n_ends);
	g_assert_cmpint(x->clock_ms, ==, y->clock_ms);
	for (int32_t i = 0; i < x->n_active; i++)
		g_assert_true(has_active(y, &x->active[i]));
	for (int32_t i = 0; i < x->n_ends; i++)
		g_assert_true(has_end(y, &x->ends[i]));
}

/* What the relay answers to a poll with this base; encoded and decoded. */
static struct relay_answer exchange(void *ctx, struct relay_reports *relay,
				    int64_t base, int64_t number,
				    const struct sched_report *report,
				    size_t *len)
{
	struct relay_delta *delta =
		relay_reports_diff(ctx, relay, "w", base, report);
	struct relay_answer answer = { .id = 1,
				       .report = delta ? NULL : report,
				       .number = number,
				       .delta = delta };
	struct sched_report *kept =
		delta ? relay_reports_apply(ctx, relay, "w", delta) : NULL;
	uint8_t *data = relay_pack_answer(ctx, &answer, len);
	struct relay_answer out;

	relay_reports_keep(relay, "w", number, kept ? kept : report);
	g_assert_true(relay_unpack_answer(ctx, data, *len, &out));
	g_assert_cmpint(out.number, ==, number);
	return out;
}

/*
 * Guards against an owner that sees other runs or ends than the worker listed:
 * over drawn histories, with either end having forgotten its base at times, the
 * report that arrives is the one that was sent.
 */
static void test_histories(void)
{
	for (int h = 0; h < HISTORIES; h++) {
		struct world w = { .report = { .born_ms = 1 } };
		struct relay_reports relay;
		struct relay_reports owner;
		int differences = 0;

		w.report.active = w.active;
		w.report.ends = w.ends;
		relay_reports_init(&relay);
		relay_reports_init(&owner);
		for (int64_t number = 1; number <= REPORTS; number++) {
			void *ctx = talloc_new(NULL);
			const struct sched_report *got;
			struct relay_answer answer;
			size_t len;

			advance(&w);
			if (!g_test_rand_int_range(0, 15))
				g_hash_table_remove_all(relay.held);
			if (!g_test_rand_int_range(0, 15))
				g_hash_table_remove_all(owner.held);
			answer = exchange(ctx, &relay,
					  relay_reports_number(&owner, "w"),
					  number, &w.report, &len);
			got = answer.report;
			if (answer.delta) {
				differences++;
				got = relay_reports_apply(ctx, &owner, "w",
							  answer.delta);
			}
			g_assert_nonnull(got);
			assert_same(&w.report, got);
			relay_reports_keep(&owner, "w", number, got);
			talloc_free(ctx);
		}
		g_assert_cmpint(differences, >, REPORTS / 2);
		relay_reports_finish(&relay);
		relay_reports_finish(&owner);
	}
}

/* A difference to a base that is not kept, or that has fewer entries, is
 * refused, and nothing is read beyond the lists. */
static void test_wrong_base(void)
{
	struct world w = { .report = { .born_ms = 1 } };
	int32_t beyond[] = { 5 };
	struct relay_change change = { .index = 5 };
	struct relay_delta d = { .base = 1 };
	struct relay_reports r;

	w.report.active = w.active;
	w.report.ends = w.ends;
	add_run(&w);
	relay_reports_init(&r);
	g_assert_null(relay_reports_apply(NULL, &r, "w", &d));
	relay_reports_keep(&r, "w", 1, &w.report);
	d.active_moves = (struct relay_moves){ 1, beyond, 0 };
	g_assert_null(relay_reports_apply(NULL, &r, "w", &d));
	d.active_moves = (struct relay_moves){ 0 };
	d.end_moves = (struct relay_moves){ 1, beyond, 0 };
	g_assert_null(relay_reports_apply(NULL, &r, "w", &d));
	d.end_moves = (struct relay_moves){ 0 };
	d.n_changed = 1;
	d.changed = &change;
	g_assert_null(relay_reports_apply(NULL, &r, "w", &d));
	d.n_changed = 0;
	d.base = 2;
	g_assert_null(relay_reports_apply(NULL, &r, "w", &d));
	relay_reports_finish(&r);
}

/* A report of thirty runs whose progress has changed takes a third of the bytes
 * of a whole one; one without changes, next to nothing. */
static void test_bytes(void)
{
	struct world w = { .report = { .clock_ms = 1, .born_ms = 1 } };
	void *ctx = talloc_new(NULL);
	struct relay_reports relay;
	size_t whole;
	size_t same;
	size_t changed;

	w.report.active = w.active;
	w.report.ends = w.ends;
	relay_reports_init(&relay);
	for (int i = 0; i < 30; i++)
		add_run(&w);
	exchange(ctx, &relay, 0, 1, &w.report, &whole);
	exchange(ctx, &relay, 1, 2, &w.report, &same);
	for (int i = 0; i < 30; i++)
		w.active[i].percent++;
	exchange(ctx, &relay, 2, 3, &w.report, &changed);
	g_test_message("whole %zu, changed %zu, unchanged %zu bytes", whole,
		       changed, same);
	g_assert_cmpuint(changed, <, whole / 3);
	g_assert_cmpuint(same, <, 30);
	relay_reports_finish(&relay);
	talloc_free(ctx);
}

/*
 * Guards against messages that an older release misreads: its calls have no
 * base and get whole reports in its own form, and its answers have no number.
 */
static void test_older_release(void)
{
	struct sched_report report = { .clock_ms = 1 };
	struct relay_answer old_answer = { .id = 1, .report = &report };
	struct relay_call call = { .id = 1,
				   .kind = RELAY_POLL,
				   .to = { .id = "w", .address = "a" } };
	void *ctx = talloc_new(NULL);
	struct relay_answer answer;
	struct relay_call got;
	size_t len;
	uint8_t *data = relay_pack_call(ctx, &call, &len);

	/* A list of 21 fields, the last one of one byte. */
	g_assert_cmpint(data[0], ==, 0xdc);
	g_assert_cmpint(data[2], ==, 21);
	g_assert_true(relay_unpack_call(ctx, data, len, &got));
	g_assert_cmpint(got.base, ==, 0);
	data[2] = 20;
	g_assert_true(relay_unpack_call(ctx, data, len - 1, &got));
	g_assert_cmpint(got.base, ==, -1);
	data = relay_pack_answer(ctx, &old_answer, &len);
	/* A list of four fields. */
	g_assert_cmpint(data[0], ==, 0x94);
	g_assert_true(relay_unpack_answer(ctx, data, len, &answer));
	g_assert_cmpint(answer.number, ==, 0);
	g_assert_nonnull(answer.report);
	g_assert_null(answer.delta);
	talloc_free(ctx);
}

void unit_add_relay_reports(void)
{
	g_test_add_func("/relay-reports/histories", test_histories);
	g_test_add_func("/relay-reports/wrong-base", test_wrong_base);
	g_test_add_func("/relay-reports/bytes", test_bytes);
	g_test_add_func("/relay-reports/older-release", test_older_release);
}
