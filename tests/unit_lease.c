/* Leases of restarted workers that outlast those that owners grant, and what a
 * successor knows of them. Without workers or network. */
#include <glib.h>
#include <talloc.h>

#include "coordination/sched_int.h"
#include "tests/sched_fixture.h"
#include "tests/unit.h"

#define LEASE_MAX_MS 10000
#define CALL_MAX_MS 4000
/* By the owner's clock, which may run 2 % faster, with 200 ms for delays. */
#define BOUND_MS(lease_ms) ((lease_ms)*1000 / 980 + 200)
#define RESTART_MS 1000
#define RECONCILED_MS 1050
#define CLAIM_MS 2900
#define LONG_EXPIRY_MS (RECONCILED_MS + BOUND_MS(LEASE_MAX_MS))
#define GRANTED_EXPIRY_MS (CLAIM_MS + BOUND_MS(FIXTURE_LEASE_MS))

static void open_owner(struct sched_fixture *p, int64_t epoch)
{
	fixture_open(p, epoch, NULL);
	p->s.lim.lease_max_ms = LEASE_MAX_MS;
	p->s.lim.call_max_ms = CALL_MAX_MS;
}

static void list_worker(struct sched_fixture *p, const char *id,
			int64_t born_ms, int64_t now_ms)
{
	struct sched_worker_row row = { .pool = "p",
					.domain = "d",
					.rack = "r",
					.born_ms = born_ms,
					.total = { 8000, 8000, 0 } };

	g_strlcpy(row.id, id, sizeof(row.id));
	sched_worker_listed(&p->s, &row, now_ms);
}

/* A commit that has the present roster is under way. */
static void begin_commit(struct sched_fixture *p)
{
	for (int i = 0; i < SCHED_ROSTER_ROWS; i++)
		json_decref(sched_roster_pack_row(&p->s, i));
}

/* An owner of the workers w and v. The first has restarted, while a call with a
 * lease was under way, and reported. */
static void open_with_restarted_worker(struct sched_fixture *p)
{
	open_owner(p, 1);
	list_worker(p, "w", 1, 0);
	list_worker(p, "v", 1, 0);
	fixture_store_roster(p);
	fixture_poll(p, "w", NULL, 0, NULL, 0, 10);
	fixture_poll(p, "v", NULL, 0, NULL, 0, 10);
	sched_lease_end(&p->s, fixture_worker(p, "w"), 500);
	begin_commit(p);
	list_worker(p, "w", 2, RESTART_MS);
	fixture_poll(p, "w", NULL, 0, NULL, 0, RECONCILED_MS);
}

static void restore(struct sched_fixture *p, json_t *const *roster)
{
	for (int i = 0; i < SCHED_ROSTER_ROWS; i++)
		sched_roster_restore(&p->s, roster[i], CLAIM_MS);
}

/* Opens the successor of such an owner, which was killed. It has to run job a,
 * which was accepted before. */
static void open_successor(struct sched_fixture *p)
{
	struct sched_prev_owner prev = { .renews_until_ms = CLAIM_MS,
					 .lease_ms = FIXTURE_LEASE_MS };
	json_t *roster[SCHED_ROSTER_ROWS];

	open_with_restarted_worker(p);
	prev.long_leases_until_ms = sched_long_leases_until_ms(&p->s);
	for (int i = 0; i < SCHED_ROSTER_ROWS; i++)
		roster[i] = sched_roster_pack_row(&p->s, i);
	fixture_close(p);
	open_owner(p, 2);
	p->s.taken_over_ms = CLAIM_MS;
	sched_set_prev_owner(&p->s, &prev);
	restore(p, roster);
	for (int i = 0; i < SCHED_ROSTER_ROWS; i++)
		json_decref(roster[i]);
	list_worker(p, "w", 2, CLAIM_MS);
	list_worker(p, "v", 1, CLAIM_MS);
	sched_job_add(&p->s, fixture_spec("a", "short", 1, 1), NULL, 5, true,
		      CLAIM_MS, 1000000);
}

static guint count_starts_at(struct sched_fixture *p, int64_t now_ms)
{
	sched_tick(&p->s, now_ms, 1000000 + now_ms);
	fixture_store_roster(p);
	sched_place(&p->s, now_ms);
	return p->starts->len;
}

/* `silent` doesn't answer, the other worker does. The job starts at `start_ms`,
 * no sooner and no later. */
static void check_wait(const char *silent, const char *other, int64_t start_ms)
{
	struct sched_fixture p;

	open_successor(&p);
	fixture_poll(&p, other, NULL, 0, NULL, 0, CLAIM_MS + 50);
	sched_worker_unanswered(&p.s, fixture_worker(&p, silent),
				CLAIM_MS + 700);
	g_assert_cmpuint(count_starts_at(&p, start_ms - 100), ==, 0);
	g_assert_cmpuint(count_starts_at(&p, start_ms + 100), ==, 1);
	fixture_close(&p);
}

/*
 * Guards against second runs (TWICE, dhl-pettycash, recut-kill): a worker
 * restarted, its owner was killed, and the worker cut off. Tasks there ran for
 * the platform's longest lease after the restart, and the successor started
 * them elsewhere after that of its predecessor.
 */
static void test_long_lease_outlives_owner(void)
{
	check_wait("w", "v", LONG_EXPIRY_MS);
}

/* Other workers are not waited for any longer. */
static void test_others_wait_no_longer(void)
{
	check_wait("v", "w", GRANTED_EXPIRY_MS);
}

/* No owner saw the restart, so the roster doesn't mark the worker. Its entry in
 * the list shows it, whichever is read first. */
static void check_unseen_restart(bool list_first)
{
	json_t *roster = json_pack("[[s,s,i],[s,s,i]]", "w", "", 1, "v", "", 1);
	struct sched_fixture p;

	open_owner(&p, 2);
	if (list_first)
		list_worker(&p, "w", 2, 0);
	sched_set_prev_owner(&p.s, &(struct sched_prev_owner){
					   .lease_ms = FIXTURE_LEASE_MS });
	sched_roster_restore(&p.s, roster, 0);
	json_decref(roster);
	if (!list_first)
		list_worker(&p, "w", 2, 0);
	list_worker(&p, "v", 1, 0);
	sched_job_add(&p.s, fixture_spec("a", "short", 1, 1), NULL, 5, true, 0,
		      1000000);
	fixture_poll(&p, "v", NULL, 0, NULL, 0, 50);
	sched_worker_unanswered(&p.s, fixture_worker(&p, "w"), 700);
	g_assert_cmpuint(count_starts_at(&p, BOUND_MS(LEASE_MAX_MS) - 50), ==,
			 0);
	g_assert_cmpuint(count_starts_at(&p, BOUND_MS(LEASE_MAX_MS) + 50), ==,
			 1);
	fixture_close(&p);
}

static void test_unseen_restart(void)
{
	check_unseen_restart(false);
	check_unseen_restart(true);
}

/* A worker with a long lease is handed over, reports to the successor, and
 * falls silent. The successor's own knowledge of the lease must not get lost.
 */
static void test_handed_lease_outlives_report(void)
{
	json_t *roster = json_pack("[[s,s,i]]", "w", "", 1);
	json_t *handover = json_pack("[[s,i,[]]]", "w", 9000);
	struct sched_fixture p;

	open_owner(&p, 2);
	sched_set_prev_owner(&p.s, &(struct sched_prev_owner){
					   .lease_ms = FIXTURE_LEASE_MS });
	sched_roster_restore(&p.s, roster, 0);
	sched_handover_apply(&p.s, handover, 0, 1000000);
	json_decref(roster);
	json_decref(handover);
	list_worker(&p, "w", 1, 0);
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 50);
	g_assert_cmpint(sched_lease_expiry_ms(fixture_worker(&p, "w")), ==,
			9000);
	fixture_close(&p);
}

/* A call with a lease is under way when the restart is noticed: it may reach
 * the new incarnation until it is given up, or until the worker has reported.
 */
static void test_call_under_way(void)
{
	struct sched_fixture p;
	struct sched_worker *w;

	open_owner(&p, 1);
	list_worker(&p, "w", 1, 0);
	fixture_store_roster(&p);
	fixture_poll(&p, "w", NULL, 0, NULL, 0, 10);
	w = fixture_worker(&p, "w");
	sched_lease_end(&p.s, w, 500);
	list_worker(&p, "w", 2, RESTART_MS);
	g_assert_cmpint(sched_lease_expiry_ms(w), ==,
			500 + CALL_MAX_MS + BOUND_MS(LEASE_MAX_MS));
	fixture_poll(&p, "w", NULL, 0, NULL, 0, RECONCILED_MS);
	g_assert_cmpint(sched_lease_expiry_ms(w), ==, LONG_EXPIRY_MS);
	fixture_close(&p);
}

/* Returns whether the roster marks the worker; leaves its rows as they are. */
static bool is_marked(struct sched_fixture *p)
{
	uint32_t dirty = p->s.roster_dirty;
	bool marked = false;

	for (int i = 0; i < SCHED_ROSTER_ROWS; i++) {
		json_t *list = sched_roster_pack_row(&p->s, i);
		size_t k;
		json_t *entry;

		json_array_foreach(list, k, entry) marked |=
			json_is_true(json_array_get(entry, 3));
		json_decref(list);
	}
	p->s.roster_dirty = dirty;
	return marked;
}

/* A restarted worker gets tasks once the mark is stored, even if a commit was
 * under way. The mark is removed in time. */
static void test_mark_comes_first(void)
{
	struct sched_fixture p;

	open_with_restarted_worker(&p);
	sched_worker_unanswered(&p.s, fixture_worker(&p, "v"), 1000);
	sched_roster_stored(&p.s);
	sched_job_add(&p.s, fixture_spec("a", "short", 1, 1), NULL, 5, false, 0,
		      1000000);
	sched_place(&p.s, 1100);
	g_assert_cmpuint(p.starts->len, ==, 0);
	g_assert_true(is_marked(&p));
	fixture_store_roster(&p);
	sched_place(&p.s, 1200);
	g_assert_cmpuint(p.starts->len, ==, 1);
	sched_tick(&p.s, LONG_EXPIRY_MS - 10, 0);
	g_assert_cmpuint(p.s.roster_dirty, ==, 0);
	sched_tick(&p.s, LONG_EXPIRY_MS + 10, 0);
	g_assert_cmpuint(p.s.roster_dirty, !=, 0);
	g_assert_false(is_marked(&p));
	g_assert_cmpint(sched_long_leases_until_ms(&p.s), ==, 0);
	fixture_close(&p);
}

void unit_add_lease(void)
{
	g_test_add_func("/lease/outlives-owner",
			test_long_lease_outlives_owner);
	g_test_add_func("/lease/others-wait-no-longer",
			test_others_wait_no_longer);
	g_test_add_func("/lease/unseen-restart", test_unseen_restart);
	g_test_add_func("/lease/handed-on", test_handed_lease_outlives_report);
	g_test_add_func("/lease/call-under-way", test_call_under_way);
	g_test_add_func("/lease/mark-comes-first", test_mark_comes_first);
}
