/* Tests of permits, views, slots, retries, ownership and placement. */
#include <glib.h>
#include <jansson.h>
#include <string.h>
#include <talloc.h>

#include "coordination/ownership.h"
#include "coordination/permit.h"
#include "coordination/place.h"
#include "coordination/retry.h"
#include "coordination/slot.h"
#include "protocol/msg.h"
#include "tests/unit.h"

static json_t *member_row(const char *id, int incarnation, bool ready)
{
	return json_pack("{s:s,s:s,s:i,s:s,s:s,s:i,s:b}", "id", id, "ip",
			 "127.0.0.1", "peer_port", 1, "domain", id, "region",
			 "r", "incarnation", incarnation, "ready", ready);
}

/* Adds a member that joined with revision `revision`, also its incarnation. */
static void add_joining(json_t *rows, const char *id, int revision)
{
	json_t *row = member_row(id, revision, false);
	char key[32];

	g_snprintf(key, sizeof(key), "cfg/member/%s", id);
	json_object_set_new(row, "rev", json_integer(revision));
	json_object_set_new(rows, key, row);
}

/* A view with one ready member of incarnation 1 per letter of `ids`, and one VM
 * per letter of `listed`. */
static struct view *make_listed_view(int64_t revision, const char *ids,
				     const char *listed)
{
	json_t *rows = json_object();
	json_t *vms = json_array();
	struct view *v;

	for (; *ids; ids++) {
		char id[2] = { *ids, '\0' };
		char key[32];

		g_snprintf(key, sizeof(key), "cfg/member/%s", id);
		json_object_set_new(rows, key, member_row(id, 1, true));
	}
	for (; *listed; listed++) {
		char id[2] = { *listed, '\0' };

		json_array_append_new(
			vms, json_pack("{s:s,s:s}", "id", id, "kind", "entry"));
	}
	v = view_build(NULL, rows, revision, vms, 3);
	json_decref(rows);
	json_decref(vms);
	return v;
}

static struct view *make_view(int64_t revision, const char *ids)
{
	return make_listed_view(revision, ids, "");
}

static void test_permit_store(void)
{
	struct permit p;
	struct view *v = make_view(5, "ab");

	permit_init(&p, 2000, 600000);
	permit_apply_view(&p, v, NULL, "a", 1, 100);
	g_assert_false(permit_is_held(&p, 100));
	permit_note_store_read(&p, 100, 5);
	g_assert_true(permit_is_held(&p, 2099));
	g_assert_false(permit_is_held(&p, 2100));
	/* A read that returns a newer revision proves nothing. */
	permit_note_store_read(&p, 3000, 6);
	g_assert_false(permit_is_held(&p, 3001));
	talloc_free(v);
}

static void test_permit_peers(void)
{
	struct permit p;
	struct view *v = make_view(5, "abc");

	permit_init(&p, 2000, 10000);
	permit_apply_view(&p, v, NULL, "a", 1, 0);
	permit_note_store_read(&p, 0, 5);
	permit_note_answer(&p, "b", 1, 3000, 3001, 5, true);
	g_assert_false(permit_is_held(&p, 3500));
	permit_note_answer(&p, "c", 1, 3000, 3001, 5, true);
	g_assert_true(permit_is_held(&p, 3500));
	/* A peer that holds a newer revision stops confirming. */
	permit_note_answer(&p, "c", 1, 4500, 4501, 6, true);
	permit_note_answer(&p, "b", 1, 4500, 4501, 5, true);
	g_assert_false(permit_is_held(&p, 5100));
	/* Another incarnation counts as another peer. */
	permit_note_answer(&p, "c", 2, 5200, 5201, 5, true);
	g_assert_false(permit_is_held(&p, 5300));
	/* Peers alone suffice only for peers_only_max_ms. */
	permit_note_answer(&p, "c", 1, 10500, 10501, 5, true);
	permit_note_answer(&p, "b", 1, 10500, 10501, 5, true);
	g_assert_false(permit_is_held(&p, 10600));
	talloc_free(v);
}

static void test_permit_settles(void)
{
	struct permit p;
	struct view *before = make_view(4, "bc");
	struct view *joined = make_view(5, "abc");
	struct view *later = make_view(6, "ab");

	permit_init(&p, 2000, 10000);
	permit_apply_view(&p, before, NULL, "a", 1, 0);
	permit_apply_view(&p, joined, before, "a", 1, 100);
	/* A joining member waits until a settled one holds its revision. */
	permit_note_revision(&p, "b", 1, 5, false, 200);
	g_assert_false(permit_is_settled(&p, 90000));
	permit_note_revision(&p, "b", 1, 5, true, 300);
	permit_note_revision(&p, "c", 1, 5, true, 300);
	g_assert_false(permit_is_settled(&p, 2299));
	g_assert_true(permit_is_settled(&p, 2300));
	/* It settles once all, also the removed member, hold the revision. */
	permit_apply_view(&p, later, joined, "a", 1, 5000);
	permit_note_revision(&p, "b", 1, 6, true, 5010);
	g_assert_false(permit_is_settled(&p, 5020));
	g_assert_false(permit_peers_reached(&p, 6, 5020));
	permit_note_revision(&p, "c", 1, 6, true, 5030);
	g_assert_true(permit_is_settled(&p, 5040));
	g_assert_true(permit_peers_reached(&p, 6, 5040));
	talloc_free(before);
	talloc_free(joined);
	talloc_free(later);
}

/* A removed member that doesn't answer may act for one validity, no longer. */
static void test_permit_removed(void)
{
	struct permit p;
	struct view *all = make_view(4, "abc");
	struct view *less = make_view(5, "ab");

	permit_init(&p, 2000, 10000);
	p.settled_ms = 0;
	permit_apply_view(&p, all, all, "a", 1, 0);
	permit_apply_view(&p, less, all, "a", 1, 1000);
	permit_note_revision(&p, "b", 1, 5, true, 1010);
	g_assert_false(permit_is_settled(&p, 2999));
	g_assert_true(permit_is_settled(&p, 3000));
	talloc_free(all);
	talloc_free(less);
}

/*
 * Guards against a joining member that removed all earlier members and acted
 * after one validity, though they may confirm each other's permits for longer.
 */
static void test_permit_left_alone(void)
{
	struct permit p;
	struct view *before = make_listed_view(4, "b", "ab");
	struct view *joined = make_listed_view(5, "ab", "ab");
	struct view *alone = make_listed_view(6, "a", "ab");

	permit_init(&p, 2000, 10000);
	permit_apply_view(&p, before, NULL, "a", 1, 0);
	permit_apply_view(&p, joined, before, "a", 1, 100);
	permit_apply_view(&p, alone, joined, "a", 1, 5000);
	g_assert_false(permit_is_settled(&p, 7000));
	g_assert_false(permit_is_settled(&p, 16999));
	g_assert_true(permit_is_settled(&p, 17000));
	talloc_free(before);
	talloc_free(joined);
	talloc_free(alone);
}

/*
 * Guards against two members that start together and wait for each other for
 * ever: the first one reads its own row only when the second's is there too.
 */
static void test_permit_join_together(void)
{
	json_t *rows = json_object();
	json_t *vms = json_array();
	struct view *none = view_build(NULL, rows, 0, vms, 1);
	struct permit a;
	struct permit b;
	struct view *both;

	add_joining(rows, "a", 1);
	add_joining(rows, "b", 2);
	both = view_build(NULL, rows, 2, vms, 1);
	permit_init(&a, 2000, 10000);
	permit_init(&b, 2000, 10000);
	permit_apply_view(&a, none, NULL, "a", 1, 0);
	permit_apply_view(&b, none, NULL, "b", 2, 0);
	permit_apply_view(&a, both, none, "a", 1, 100);
	permit_apply_view(&b, both, none, "b", 2, 100);
	permit_note_revision(&a, "b", 2, 2, false, 110);
	permit_note_revision(&b, "a", 1, 2, false, 110);
	g_assert_false(permit_is_settled(&a, 2099));
	g_assert_true(permit_is_settled(&a, 2100));
	/* The second member waits for the first. */
	g_assert_false(permit_is_settled(&b, 90000));
	permit_note_revision(&b, "a", 1, 2, true, 2100);
	g_assert_false(permit_is_settled(&b, 4099));
	g_assert_true(permit_is_settled(&b, 4100));
	talloc_free(none);
	talloc_free(both);
	json_decref(rows);
	json_decref(vms);
}

/* Returns whether member "m" of this incarnation settles without any answer. */
static bool settles_unconfirmed(json_t *rows, uint64_t incarnation)
{
	json_t *vms = json_array();
	json_t *others = json_copy(rows);
	struct view *before;
	struct view *v = view_build(NULL, rows, 9, vms, 1);
	struct permit p;

	json_object_del(others, "cfg/member/m");
	before = view_build(NULL, others, 8, vms, 1);
	permit_init(&p, 2000, 10000);
	permit_apply_view(&p, before, NULL, "m", incarnation, 0);
	permit_apply_view(&p, v, before, "m", incarnation, 100);
	talloc_free(before);
	talloc_free(v);
	json_decref(others);
	json_decref(vms);
	return permit_is_settled(&p, 90000);
}

/* Only the member whose current incarnation joined first settles without an
 * answer of the others. */
static void test_permit_joined_first(void)
{
	json_t *rows = json_object();

	add_joining(rows, "m", 5);
	add_joining(rows, "n", 6);
	add_joining(rows, "o", 7);
	g_assert_true(settles_unconfirmed(rows, 5));
	/* The row belongs to an earlier incarnation. */
	g_assert_false(settles_unconfirmed(rows, 8));
	add_joining(rows, "o", 4);
	g_assert_false(settles_unconfirmed(rows, 5));
	/* A ready or leaving member's row is newer than its joining. */
	add_joining(rows, "o", 7);
	json_object_set_new(json_object_get(rows, "cfg/member/o"), "ready",
			    json_true());
	g_assert_false(settles_unconfirmed(rows, 5));
	add_joining(rows, "o", 7);
	json_object_set_new(json_object_get(rows, "cfg/member/o"), "leaving",
			    json_true());
	g_assert_false(settles_unconfirmed(rows, 5));
	json_decref(rows);
}

static void test_view_owner_stable(void)
{
	struct view *v = make_view(1, "abc");
	struct view *w = make_view(2, "ab");
	int moved = 0;

	for (int i = 0; i < 200; i++) {
		char key[16];
		int o;
		int q;

		g_snprintf(key, sizeof(key), "g/%d", i);
		o = view_choose_owner(v->members, 3, key, "none", "r");
		q = view_choose_owner(w->members, 2, key, "none", "r");
		/* Only keys that c owned move. */
		if (strcmp(v->members[o].id, "c") != 0)
			g_assert_cmpstr(v->members[o].id, ==, w->members[q].id);
		else
			moved++;
	}
	g_assert_cmpint(moved, >, 40);
	talloc_free(v);
	talloc_free(w);
}

static void init_group(struct slot_group *g, int targets)
{
	struct view_vm vms[8] = { 0 };
	const struct view_vm *list[8];
	struct view_group vg = { .targets = list, .n_targets = targets };

	for (int i = 0; i < targets; i++) {
		g_snprintf(vms[i].id, sizeof(vms[i].id), "t%d", i);
		vms[i].slots = 8;
		list[i] = &vms[i];
	}
	slot_init(g, 1000);
	slot_set_targets(g, &vg);
}

static void init_req(struct slot_req *r, const char *tenant, int64_t deadline)
{
	memset(r, 0, sizeof(*r));
	g_strlcpy(r->tenant, tenant, sizeof(r->tenant));
	r->deadline_ms = deadline;
}

static void test_slot_capacity(void)
{
	struct slot_group *g = g_new0(struct slot_group, 1);
	struct slot_req r[20];
	int bound = 0;

	init_group(g, 2);
	for (int i = 0; i < 20; i++) {
		init_req(&r[i], "x", 60000);
		g_assert_null(slot_enqueue(g, &r[i], 0));
	}
	while (slot_bind(g, 0))
		bound++;
	g_assert_cmpint(bound, ==, 16);
	slot_release(g, &r[0], SLOT_DONE, 10);
	g_assert_nonnull(slot_bind(g, 10));
	/* A request with unknown outcome may run: its slot is held. */
	slot_release(g, &r[1], SLOT_UNKNOWN, 10);
	g_assert_null(slot_bind(g, 60999));
	g_assert_nonnull(slot_bind(g, 61000));
	g_free(g);
}

static void test_slot_holds(void)
{
	struct slot_group *g = g_new0(struct slot_group, 1);

	init_group(g, 2);
	g_assert_cmpint(slot_count_free(g, 0), ==, 16);
	slot_hold(g, "t0", 1000, true);
	g_assert_cmpint(slot_count_free(g, 0), ==, 15);
	/* A hold without target counts against each target. */
	slot_hold(g, "", 1000, true);
	g_assert_cmpint(slot_count_free(g, 0), ==, 13);
	slot_clear_inherited(g);
	g_assert_cmpint(slot_count_free(g, 0), ==, 16);
	g->hold_all_until_ms = 500;
	g_assert_cmpint(slot_count_free(g, 0), ==, 0);
	g_free(g);
}

static void test_slot_order(void)
{
	struct slot_group *g = g_new0(struct slot_group, 1);
	struct slot_req a[12];
	struct slot_req b;
	struct slot_req early;
	struct slot_req *got;
	bool b_seen = false;

	init_group(g, 1);
	for (int i = 0; i < 12; i++) {
		init_req(&a[i], "many", 60000 + i);
		slot_enqueue(g, &a[i], 0);
	}
	init_req(&early, "many", 30000);
	slot_enqueue(g, &early, 0);
	init_req(&b, "few", 90000);
	slot_enqueue(g, &b, 0);
	g_assert_true(slot_bind(g, 0) == &early);
	/* The tenant with one request does not wait behind twelve. */
	for (int i = 0; i < 2; i++) {
		got = slot_bind(g, 0);
		b_seen |= got == &b;
	}
	g_assert_true(b_seen);
	g_free(g);
}

static void test_slot_admission(void)
{
	struct slot_group *g = g_new0(struct slot_group, 1);
	struct slot_req *r = g_new0(struct slot_req, 400);
	int admitted = 0;
	const char *why = NULL;

	init_group(g, 1);
	g->mean_us = 100000;
	for (int i = 0; i < 400 && !why; i++) {
		init_req(&r[i], "x", 1000);
		why = slot_enqueue(g, &r[i], 0);
		admitted += why == NULL;
	}
	/* Eight slots, a tenth of a second each, one second: about 80. */
	g_assert_cmpstr(why, ==, "deadline cannot be met");
	g_assert_cmpint(admitted, >, 60);
	g_assert_cmpint(admitted, <, 90);
	g_assert_cmpstr(slot_enqueue(g, &r[399], 0), !=, NULL);
	g_free(r);
	g_free(g);
}

static void test_slot_leaving(void)
{
	struct slot_group *g = g_new0(struct slot_group, 1);
	struct slot_req r;

	init_group(g, 1);
	init_req(&r, "x", 60000);
	slot_enqueue(g, &r, 0);
	g->targets[0].vm.leaving = true;
	g_assert_null(slot_bind(g, 0));
	g->targets[0].vm.leaving = false;
	g->closed = true;
	g_assert_null(slot_bind(g, 0));
	g_assert_true(slot_dequeue_any(g) == &r);
	g_assert_null(slot_dequeue_any(g));
	g_free(g);
}

static void test_retry(void)
{
	struct retry_budget b;
	struct retry_state s = { .attempts = 1,
				 .outcome = MSG_UNKNOWN,
				 .idempotent = false,
				 .remaining_ms = 1000 };
	int n = 0;

	retry_init(&b, 10);
	g_assert_false(retry_try_spend(&b, &s));
	s.outcome = MSG_NOT_RUN;
	g_assert_true(retry_try_spend(&b, &s));
	s.idempotent = true;
	s.outcome = MSG_UNKNOWN;
	while (retry_try_spend(&b, &s))
		n++;
	g_assert_cmpint(n, ==, 19);
	/* Ten first attempts credit one retry. */
	for (int i = 0; i < 10; i++)
		retry_credit(&b);
	g_assert_true(retry_try_spend(&b, &s));
	g_assert_false(retry_try_spend(&b, &s));
	s.attempts = 4;
	retry_credit(&b);
	g_assert_false(retry_try_spend(&b, &s));
}

static void test_ownership(void)
{
	struct ownership *o = g_new0(struct ownership, 1);
	int shard = -1;

	ownership_init(o, "s1", 7, 4, 256, 3000);
	ownership_observe_scheduler(o, "s1", 7, 1, false, 0);
	g_assert_cmpint(ownership_decide(o, 0, &shard), ==, OWNERSHIP_CLAIM);
	for (int i = 0; i < 4; i++)
		ownership_observe_shard(o, i, "s2", 9, 1, 10 + i);
	ownership_observe_scheduler(o, "s2", 9, 1, false, 0);
	g_assert_cmpint(ownership_decide(o, 100, &shard), ==,
			OWNERSHIP_NO_CHANGE);
	/* A scheduler is alive while its row changes, on the local clock. */
	ownership_observe_scheduler(o, "s2", 9, 2, false, 2900);
	ownership_observe_scheduler(o, "s1", 7, 2, false, 2900);
	g_assert_cmpint(ownership_decide(o, 5800, &shard), ==,
			OWNERSHIP_NO_CHANGE);
	ownership_observe_scheduler(o, "s1", 7, 3, false, 5900);
	g_assert_cmpint(ownership_decide(o, 5900, &shard), ==, OWNERSHIP_CLAIM);
	/* A restart frees the shards of the previous incarnation. */
	ownership_observe_scheduler(o, "s2", 10, 3, false, 5901);
	g_assert_cmpint(ownership_decide(o, 5902, &shard), ==, OWNERSHIP_CLAIM);
	/* A scheduler gives up shards beyond its share. */
	for (int i = 0; i < 4; i++)
		ownership_observe_shard(o, i, "s1", 7, 2, 20 + i);
	g_assert_cmpint(ownership_decide(o, 5903, &shard), ==,
			OWNERSHIP_RELEASE);
	g_free(o);
}

static void test_place(void)
{
	struct place_worker w[3] = { 0 };
	struct place_request need = { .size = { 4000, 1000, 0 },
				      .domain = "",
				      .avoid = -1 };
	int i;

	for (i = 0; i < 3; i++) {
		w[i].total = (struct place_resources){ 8000, 8000, i == 2 };
		w[i].usable = true;
		strcpy(w[i].domain, i ? "b" : "a");
	}
	place_reserve(&w[1], &need.size);
	g_assert_cmpint(place_best_fit.choose(w, 3, &need, 0), ==, 1);
	place_reserve(&w[1], &need.size);
	g_assert_cmpint(place_best_fit.choose(w, 3, &need, 0), ==, 0);
	w[0].usable = false;
	/* Accelerators are kept free, unless nothing else fits. */
	g_assert_cmpint(place_best_fit.choose(w, 3, &need, 0), ==, 2);
	need.domain = "a";
	g_assert_cmpint(place_best_fit.choose(w, 3, &need, 0), ==, -1);
	place_release(&w[1], &need.size);
	g_assert_cmpint(w[1].used.cpu_milli, ==, 4000);
}

static void test_quarantine(void)
{
	struct place_worker w = { .usable = true, .total = { 8000, 8000, 0 } };
	struct place_request need = { .size = { 1000, 10, 0 },
				      .domain = "",
				      .avoid = -1 };

	/* Repeated failures of one job don't count against the worker. */
	for (int i = 0; i < 10; i++)
		g_assert_false(place_note_result(&w, true, 1, i));
	g_assert_false(place_note_result(&w, true, 2, 10));
	g_assert_true(place_note_result(&w, true, 3, 11));
	g_assert_cmpint(place_best_fit.choose(&w, 1, &need, 12), ==, -1);
	/* After the quarantine, one task at a time probes the worker. */
	g_assert_cmpint(place_best_fit.choose(&w, 1, &need, 5011), ==, 0);
	place_reserve(&w, &need.size);
	g_assert_cmpint(place_best_fit.choose(&w, 1, &need, 5012), ==, -1);
	place_release(&w, &need.size);
	g_assert_true(place_note_result(&w, true, 4, 5020));
	g_assert_cmpint(w.quarantine_ms, ==, 10000);
	place_note_result(&w, false, 5, 20000);
	g_assert_cmpint(w.health, ==, PLACE_HEALTHY);
}

void unit_add_coordination(void)
{
	g_test_add_func("/permit/store", test_permit_store);
	g_test_add_func("/permit/peers", test_permit_peers);
	g_test_add_func("/permit/settles", test_permit_settles);
	g_test_add_func("/permit/left-alone", test_permit_left_alone);
	g_test_add_func("/permit/join-together", test_permit_join_together);
	g_test_add_func("/permit/eldest", test_permit_joined_first);
	g_test_add_func("/permit/departed", test_permit_removed);
	g_test_add_func("/view/owner-stable", test_view_owner_stable);
	g_test_add_func("/slot/capacity", test_slot_capacity);
	g_test_add_func("/slot/holds", test_slot_holds);
	g_test_add_func("/slot/order", test_slot_order);
	g_test_add_func("/slot/admission", test_slot_admission);
	g_test_add_func("/slot/leaving", test_slot_leaving);
	g_test_add_func("/retry/budget", test_retry);
	g_test_add_func("/own/decide", test_ownership);
	g_test_add_func("/place/fit", test_place);
	g_test_add_func("/place/quarantine", test_quarantine);
}
