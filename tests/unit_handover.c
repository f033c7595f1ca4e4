/* What a successor does about workers that it has not heard, on paper. */
#include <glib.h>
#include <talloc.h>

#include "tests/paper.h"
#include "tests/unit.h"

/* The platform's longest lease and an owner's doubt, as on a real site, ms. */
#define LEASE_MAX_MS 10000
#define DOUBT_MS 3000
/* A worker's clock may be slow by 2%; delays of timers and answers, ms. */
#define LEASE_SLOW_MS (PAPER_LEASE_MS * 1000 / 980)
#define SLACK_MS 300

/* A successor that knows worker w from the roster, and looked at v. */
static void open_successor(struct paper *p, int64_t epoch)
{
	json_t *roster = json_pack("[[s,s,i],[s,s,i]]", "w", "1.2.3.4:5", 1,
				   "v", "1.2.3.4:6", 1);

	paper_open(p, epoch, NULL);
	p->s.lim.lease_max_ms = LEASE_MAX_MS;
	p->s.lim.doubt_max_ms = DOUBT_MS;
	sched_roster_restore(&p->s, roster, 0);
	json_decref(roster);
	sched_job_add(&p->s, paper_spec_of("a", "short", 1, 1), NULL, 5, true,
		      0, 1000000);
	paper_add_worker(p, "v", "r");
	paper_look_at(p, "v", NULL, 0, NULL, 0, 10);
	sched_unanswered(&p->s, paper_worker(p, "w"), 700);
}

static guint starts_at(struct paper *p, int64_t now_ms)
{
	sched_tick(&p->s, now_ms, 1000000 + now_ms);
	sched_place(&p->s, now_ms);
	return p->starts->len;
}

/*
 * Pattern: the owner is lost and a worker is gone (LOST 33 to 36 on
 * dhl-pettycash, loss-before-handover). Its tasks start elsewhere once a lease
 * of the length that owners grant has ended, not the longest of the platform.
 */
static void test_lease_that_owners_grant(void)
{
	struct paper p;

	open_successor(&p, 2);
	g_assert_cmpuint(starts_at(&p, DOUBT_MS + PAPER_LEASE_MS), ==, 0);
	g_assert_cmpuint(starts_at(&p, DOUBT_MS + LEASE_SLOW_MS + SLACK_MS), ==,
			 1);
	paper_close(&p);
}

void unit_add_handover(void)
{
	g_test_add_func("/sched/lease-that-owners-grant",
			test_lease_that_owners_grant);
}
