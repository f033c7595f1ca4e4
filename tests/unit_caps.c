/* Caps of organisations: grants, placement, waits, demand and admission. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "coordination/sched_int.h"
#include "fleet/admission.h"
#include "state/owner_row.h"
#include "tests/sched_fixture.h"
#include "tests/unit.h"

#define NOW_MS 1000

static struct org org = { .name = "o", .weight = 1 };

struct books {
	struct org_accounts accounts;
	struct org_caps caps;
	struct org_account *acc;
};

static const struct place_resources size_3 = { 3000, 10, 0 };

static void books_open(struct books *b, bool earlier)
{
	org.cap = (struct place_resources){ 8000, 0, 0 };
	org_accounts_init(&b->accounts);
	org_accounts_configure(&b->accounts, &org, 1);
	org_caps_init(&b->caps, earlier);
	b->acc = org_accounts_get(&b->accounts, "o");
}

static void books_close(struct books *b)
{
	org_caps_finish(&b->caps);
	org_accounts_finish(&b->accounts);
}

static enum org_wait ask(struct books *b, int64_t n)
{
	return org_caps_ask(&b->caps, b->acc, &size_3, n, NOW_MS);
}

/* Returns the CPU that the next row grants; -2: the row has no grant. */
static int64_t commit(struct books *b, int64_t now_ms, bool exact)
{
	json_t *grants =
		org_caps_pack(&b->caps, &b->accounts, exact, 1000, now_ms);
	const json_t *entry = json_object_get(grants, "o");
	int64_t milli =
		entry ? json_integer_value(json_array_get(entry, 0)) : -2;

	json_decref(grants);
	return milli;
}

/* Guards against starts beyond a grant that a commit in flight lowers: a
 * successor may find the lower one. */
static void test_lowered_grant(void)
{
	struct books b;

	books_open(&b, false);
	b.acc->used.cpu_milli = 6000;
	g_assert_cmpint(commit(&b, NOW_MS, false), ==, 8000);
	org_caps_committed(&b.caps);
	b.acc->used.cpu_milli = 0;
	g_assert_cmpint(ask(&b, 2), ==, ORG_WAIT_NONE);
	g_assert_cmpint(commit(&b, NOW_MS, false), ==, 2000);
	g_assert_cmpint(ask(&b, 1), ==, ORG_WAIT_GRANT);
	g_assert_true(b.caps.wants_commit);
	org_caps_committed(&b.caps);
	g_assert_cmpint(ask(&b, 1), ==, ORG_WAIT_GRANT);
	/* The whole cap, as a task waits; exactly what runs on release. */
	g_assert_cmpint(commit(&b, NOW_MS, false), ==, 8000);
	g_assert_cmpint(ask(&b, 1), ==, ORG_WAIT_GRANT);
	g_assert_true(org_caps_committed(&b.caps));
	g_assert_cmpint(ask(&b, 2), ==, ORG_WAIT_NONE);
	g_assert_cmpint(ask(&b, 3), ==, ORG_WAIT_CAP);
	g_assert_cmpint(commit(&b, NOW_MS, true), ==, 0);
	books_close(&b);
}

/* Returns what keeps a task from starting after a run of an earlier owner was
 * found and has ended. */
static enum org_wait wait_after_end(bool released)
{
	json_t *grants = json_pack("{s:[i,i,i]}", "o", 6000, -1, -1);
	struct books b;
	enum org_wait wait;

	books_open(&b, true);
	org_caps_set_earlier(&b.caps, grants, released);
	json_decref(grants);
	b.acc->used.cpu_milli = 3000;
	org_caps_adjust_earlier(&b.caps, b.acc, &size_3, 1);
	g_assert_cmpint(ask(&b, 1), ==, ORG_WAIT_EARLIER);
	b.acc->used.cpu_milli = 0;
	org_caps_adjust_earlier(&b.caps, b.acc, &size_3, -1);
	wait = ask(&b, 1);
	/* The successor's row has to bound what may still run, too. */
	g_assert_cmpint(commit(&b, NOW_MS, true), ==, released ? 3000 : 6000);
	g_assert_true(org_caps_note_earlier(&b.caps, false, true));
	g_assert_cmpint(commit(&b, NOW_MS, true), ==, 0);
	books_close(&b);
	return wait;
}

/* Guards against room that both a lost owner and its successor give out: the
 * former may learn of the end by an open poll. After a release it can't. */
static void test_end_in_doubt(void)
{
	g_assert_cmpint(wait_after_end(false), ==, ORG_WAIT_EARLIER);
	g_assert_cmpint(wait_after_end(true), ==, ORG_WAIT_NONE);
}

/* Guards against starts by the successor of an owner whose row has no grant: it
 * ran an older release, or had no caps. */
static void test_row_without_grant(void)
{
	struct books b;

	books_open(&b, true);
	org_caps_set_earlier(&b.caps, NULL, false);
	g_assert_cmpint(ask(&b, 1), ==, ORG_WAIT_EARLIER);
	g_assert_cmpint(commit(&b, NOW_MS, false), ==, -2);
	org_caps_note_earlier(&b.caps, false, false);
	g_assert_cmpint(ask(&b, 1), ==, ORG_WAIT_NONE);
	/* A worker restarts, and may run a late start of the earlier owner. */
	org_caps_note_earlier(&b.caps, true, false);
	g_assert_cmpint(ask(&b, 1), ==, ORG_WAIT_EARLIER);
	org_caps_note_earlier(&b.caps, false, true);
	org_caps_note_earlier(&b.caps, true, false);
	g_assert_cmpint(ask(&b, 1), ==, ORG_WAIT_NONE);
	books_close(&b);
}

/* Guards against waits of organisations without caps, and of those whose grant
 * doesn't fit in the row: nothing would ever let them start. */
static void test_unbounded(void)
{
	struct books b;

	books_open(&b, true);
	org_caps_note_earlier(&b.caps, false, true);
	g_assert_null(org_caps_pack(&b.caps, &b.accounts, false, 10, NOW_MS));
	org_caps_committed(&b.caps);
	g_assert_cmpint(ask(&b, 2), ==, ORG_WAIT_NONE);
	org.cap = (struct place_resources){ 0 };
	b.caps.config_held = true;
	g_assert_cmpint(ask(&b, 1000), ==, ORG_WAIT_NONE);
	g_assert_cmpint(org_caps_ask(&b.caps, NULL, &size_3, 9, NOW_MS), ==,
			ORG_WAIT_NONE);
	g_assert_cmpint(commit(&b, NOW_MS, false), ==, -2);
	org.cap.accelerators = 1;
	g_assert_cmpint(ask(&b, 1), ==, ORG_WAIT_CONFIG);
	books_close(&b);
}

/* Guards against an unreadable row that grants nothing, rather than an unknown
 * amount. */
static void test_odd_grants(void)
{
	json_t *grants =
		json_loads("{\"o\":[\"x\",-5],\"\":[1],\"p\":7}", 0, NULL);
	struct books b;

	books_open(&b, true);
	org_caps_set_earlier(&b.caps, grants, false);
	json_decref(grants);
	g_assert_cmpint(ask(&b, 1), ==, ORG_WAIT_EARLIER);
	books_close(&b);
}

/* Guards against grants that are lost in the text of the row. */
static void test_owner_row(void)
{
	struct owner_row row = { 0 };
	char *text;

	owner_row_parse(NULL, "{\"vm\":\"a\",\"grants\":{\"o\":[5,-1,-1]}}",
			&row);
	g_assert_cmpstr(row.grants, ==, "{\"o\":[5,-1,-1]}");
	text = owner_row_text(&row);
	owner_row_parse(NULL, text, &row);
	free(text);
	g_assert_cmpstr(row.grants, ==, "{\"o\":[5,-1,-1]}");
	owner_row_parse(NULL, "{\"vm\":\"a\",\"grants\":7}", &row);
	g_assert_null(row.grants);
	text = owner_row_text(&row);
	g_assert_null(strstr(text, "grants"));
	free(text);
	owner_row_clear(&row);
}

static struct catalog catalog;

/* Opens the scheduler's fixture with the organisation, a cap of `milli`, and
 * two workers. */
static void open_capped(struct sched_fixture *p, int64_t milli)
{
	fixture_open(p, 1, NULL);
	org.cap = (struct place_resources){ milli, 0, 0 };
	catalog = *p->s.catalog;
	catalog.has_orgs = true;
	catalog.n_orgs = 1;
	catalog.orgs = &org;
	sched_configure(&p->s, &catalog, NULL);
	fixture_add_worker(p, "w1", "r1");
	fixture_add_worker(p, "w2", "r2");
	fixture_poll(p, "w1", NULL, 0, NULL, 0, 10);
	fixture_poll(p, "w2", NULL, 0, NULL, 0, 10);
}

static struct jobspec *owned_spec(const char *id, const char *queue,
				  int32_t tasks)
{
	struct jobspec *spec = fixture_spec(id, queue, 1, tasks);

	g_strlcpy(spec->org, "o", sizeof(spec->org));
	return spec;
}

/* Guards against tasks beyond the cap, best-effort ones among them, and against
 * waits lines and a demand that ask for more workers. */
static void test_place(void)
{
	struct sched_fixture p;
	struct jobspec *spec;

	open_capped(&p, 9000);
	fixture_add_job(&p, owned_spec("j1", "short", 4));
	fixture_pass_time(&p, 100, 100);
	g_assert_cmpuint(p.starts->len, ==, 2);
	spec = owned_spec("j2", "short", 1);
	spec->steps[0].best_effort = true;
	fixture_add_job(&p, spec);
	fixture_pass_time(&p, 200, 4000);
	g_assert_cmpuint(p.starts->len, ==, 2);
	g_assert_nonnull(strstr(p.waits->str, "org=o cap=cap workers: cap=2"));
	/* Two tasks run, and two wait for the cap alone. */
	g_assert_cmpint(((struct sched_pool_demand *)g_hash_table_lookup(
				 p.s.demands, "p"))
				->brief_milli,
			==, 8000);
	/* Others are not kept from the room. */
	fixture_add_job(&p, fixture_spec("j3", "short", 1, 1));
	fixture_pass_time(&p, 4100, 4100);
	g_assert_cmpuint(p.starts->len, ==, 3);
	fixture_close(&p);
}

/* Guards against gangs that start in part, or wait with a part of the cap. */
static void test_gang(void)
{
	struct sched_fixture p;
	struct jobspec *spec = owned_spec("j1", "short", 3);

	spec->steps[0].gang = true;
	open_capped(&p, 11000);
	fixture_add_job(&p, spec);
	fixture_pass_time(&p, 100, 300);
	g_assert_cmpuint(p.starts->len, ==, 0);
	org.cap.cpu_milli = 12000;
	fixture_pass_time(&p, 400, 400);
	g_assert_cmpuint(p.starts->len, ==, 3);
	fixture_close(&p);
}

/* Guards against evictions for tasks that their cap keeps from starting. */
static void test_no_eviction(void)
{
	struct sched_fixture p;
	struct jobspec *spec = fixture_spec("j0", "long", 1, 4);

	spec->steps[0].checkpoints = true;
	open_capped(&p, 3000);
	fixture_add_job(&p, spec);
	fixture_pass_time(&p, 100, 100);
	g_assert_cmpuint(p.starts->len, ==, 4);
	for (guint i = 0; i < 4; i++)
		fixture_started(&p, fixture_start(&p, i), 150);
	fixture_add_job(&p, owned_spec("j1", "short", 1));
	fixture_pass_time(&p, 200, 400);
	g_assert_cmpuint(p.stops->len, ==, 0);
	/* The fixture shows an eviction where the cap has room. */
	org.cap.cpu_milli = 4000;
	fixture_pass_time(&p, 500, 600);
	g_assert_cmpuint(p.stops->len, >, 0);
	fixture_close(&p);
}

/* Guards against room given out while a run that isn't needed is stopped. */
static void test_untracked_run(void)
{
	struct sched_fixture p;
	struct sched_active a;

	open_capped(&p, 8000);
	fixture_add_job(&p, owned_spec("j1", "short", 1));
	fixture_pass_time(&p, 100, 100);
	a = fixture_active(fixture_start(&p, 0), 0);
	/* A second copy, of a start that was given up. */
	a.ref.run += 5;
	fixture_poll(&p, "w2", &a, 1, NULL, 0, 200);
	fixture_add_job(&p, owned_spec("j2", "short", 1));
	fixture_pass_time(&p, 300, 300);
	g_assert_cmpuint(p.starts->len, ==, 1);
	fixture_poll(&p, "w2", NULL, 0, NULL, 0, 400);
	fixture_pass_time(&p, 500, 500);
	g_assert_cmpuint(p.starts->len, ==, 2);
	fixture_close(&p);
}

/* Guards against room of a gang's member given out while it runs on, though its
 * round is complete and freed. */
static void test_dropped_run(void)
{
	struct jobspec *spec = owned_spec("j1", "short", 2);
	struct sched_fixture p;
	struct sched_active a;
	struct sched_end e;

	spec->steps[0].gang = true;
	spec->rounds = 2;
	spec->first_due_ms = 1000000;
	spec->interval_ms = 1000000;
	spec->steps[0].spread_max = 1;
	open_capped(&p, 8000);
	fixture_add_job(&p, spec);
	fixture_pass_time(&p, 100, 100);
	g_assert_cmpuint(p.starts->len, ==, 2);
	fixture_started(&p, fixture_start(&p, 0), 150);
	fixture_started(&p, fixture_start(&p, 1), 150);
	e = fixture_end(fixture_start(&p, 0), 1, SCHED_END_DONE);
	fixture_poll(&p, fixture_start(&p, 0)->worker, NULL, 0, &e, 1, 200);
	fixture_add_job(&p, owned_spec("j2", "short", 2));
	fixture_pass_time(&p, 300, 300);
	g_assert_cmpuint(p.starts->len, ==, 3);
	a = fixture_active(fixture_start(&p, 1), 0);
	fixture_poll(&p, fixture_start(&p, 1)->worker, &a, 1, NULL, 0, 400);
	fixture_pass_time(&p, 500, 500);
	g_assert_cmpuint(p.starts->len, ==, 3);
	fixture_poll(&p, fixture_start(&p, 1)->worker, NULL, 0, NULL, 0, 600);
	fixture_pass_time(&p, 700, 700);
	g_assert_cmpuint(p.starts->len, ==, 4);
	fixture_close(&p);
}

/* Guards against starts in doubt that a successor doesn't count: the worker has
 * restarted after the successor had learned what ran there. */
static void test_restart_in_doubt(void)
{
	struct sched_fixture p;

	open_capped(&p, 9000);
	fixture_worker(&p, "w1")->row.draining = true;
	fixture_worker(&p, "w2")->row.draining = true;
	p.s.ownership = SCHED_OWNER_IN_DOUBT;
	fixture_add_worker(&p, "w3", "r3");
	fixture_poll(&p, "w3", NULL, 0, NULL, 0, 50);
	fixture_add_job(&p, owned_spec("j1", "short", 1));
	fixture_pass_time(&p, 100, 300);
	g_assert_cmpuint(p.starts->len, ==, 0);
	fixture_add_job(&p, fixture_spec("j2", "short", 1, 1));
	fixture_pass_time(&p, 400, 400);
	g_assert_cmpuint(p.starts->len, ==, 1);
	p.s.ownership = SCHED_OWNER_CERTAIN;
	fixture_pass_time(&p, 500, 500);
	g_assert_cmpuint(p.starts->len, ==, 2);
	fixture_close(&p);
}

/* Guards against jobs that are accepted though they can never start, and
 * against refusals of jobs that can. */
static void test_admission(void)
{
	struct jobspec *spec = owned_spec("0123456789abcdef", "short", 3);
	struct catalog c = { .n_orgs = 1, .orgs = &org };
	struct admission a;

	org.cap = (struct place_resources){ 4000, 0, 0 };
	admission_check_cap(&c, spec, &a);
	g_assert_false(a.refused);
	spec->steps[0].gang = true;
	admission_check_cap(&c, spec, &a);
	g_assert_true(a.refused && a.over_cap);
	g_assert_cmpint(a.retry_after_ms, >=, 30000);
	g_assert_cmpint(a.retry_after_ms, <=, 45000);
	spec->steps[0].gang = false;
	spec->steps[0].mem_mib = 101;
	org.cap.mem_mib = 100;
	admission_check_cap(&c, spec, &a);
	g_assert_true(a.over_cap);
	org.cap = (struct place_resources){ 0 };
	admission_check_cap(&c, spec, &a);
	g_assert_false(a.refused);
	admission_check_cap(NULL, spec, &a);
	g_assert_false(a.refused);
	*spec->org = '\0';
	org.cap.cpu_milli = 1;
	admission_check_cap(&c, spec, &a);
	g_assert_false(a.refused);
	talloc_free(spec);
}

void unit_add_caps(void)
{
	g_test_add_func("/caps/lowered-grant", test_lowered_grant);
	g_test_add_func("/caps/end-in-doubt", test_end_in_doubt);
	g_test_add_func("/caps/row-without-grant", test_row_without_grant);
	g_test_add_func("/caps/unbounded", test_unbounded);
	g_test_add_func("/caps/odd-grants", test_odd_grants);
	g_test_add_func("/caps/owner-row", test_owner_row);
	g_test_add_func("/caps/place", test_place);
	g_test_add_func("/caps/gang", test_gang);
	g_test_add_func("/caps/no-eviction", test_no_eviction);
	g_test_add_func("/caps/untracked-run", test_untracked_run);
	g_test_add_func("/caps/dropped-run", test_dropped_run);
	g_test_add_func("/caps/restart-in-doubt", test_restart_in_doubt);
	g_test_add_func("/caps/admission", test_admission);
}
