/* Tests of entries of other writers among those of the workers: an odd one
 * names no worker to use, and the others hold. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "pf_decode.h"
#include "tests/sched_fixture.h"
#include "tests/unit.h"

/* Until a worker that a lost owner knew has answered, or its lease is over, in
 * ms after the takeover. */
#define LEASE_OVER_MS 9000

static bool is_usable(const char *id, const char *address, const char *born)
{
	g_autofree char *text = g_strdup_printf(
		"{\"service\":\"p\",\"addr\":\"%s\",\"zone\":\"z\",\"state\":"
		"\"ready\",\"capacity\":{\"cpu\":1000},\"born\":%s}",
		address, born);
	struct sched_worker_row row;
	struct err e = { 0 };

	return pf_decode_worker(id, text, &row, &e);
}

/*
 * Guards against LOST: an address that can't be called was taken for that of a
 * worker, for whose answer each new owner waited until leases had expired.
 */
static void test_address(void)
{
	static const char *const good[] = { "10.0.0.1:1", "10.200.1.7:65535",
					    "[::1]:80" };
	static const char *const odd[] = {
		"10.0.0.1:99999",
		"10.0.0.1:65536",
		"10.0.0.1:0",
		"10.0.0.1:-1",
		"10.0.0.1:+1",
		"10.0.0.1: 1",
		"10.0.0.1:1 ",
		"10.0.0.1:00080",
		"10.0.0.1:12345678901234567890",
		"10.0.0.1:",
		"10.0.0.1",
		":80",
		"80",
		"256.0.0.1:80",
		"10.0.0:80",
		"::1:80",
		"[::1:80",
		"[10.0.0.1]:80",
		"[]:80",
		"10.0.0.1:80/v1",
		"10.0.0.1/x:80",
		"u@10.0.0.1:80",
		"http://10.0.0.1:80",
		"10.0.0.1:80\\r\\nHost: x",
		"10.0.0.1\\n:80",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(good); i++)
		g_assert_true(is_usable("i-1", good[i], "5"));
	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		g_test_message("%s", odd[i]);
		g_assert_false(is_usable("i-1", odd[i], "5"));
	}
}

/*
 * Guards against a stalled process: the address of a worker was a host name,
 * and when the call's time was over, the loop waited for the name service.
 */
static void test_host_name(void)
{
	g_assert_false(is_usable("i-1", "worker.example:80", "5"));
	g_assert_false(is_usable("i-1", "localhost:80", "5"));
}

/*
 * Guards against header lines that an id adds to calls, against lines that it
 * adds to the log, and against TWICE: the empty id is that of the workers
 * missing from an incomplete roster.
 */
static void test_id(void)
{
	static const char *const odd[] = { "",	   "a b", "a\r\nX: 1",
					   "a\n",  "a\t", "a\x01",
					   "a\"b", "a\\", "\xc3\xa9" };
	g_autofree char *longest = g_strnfill(SCHED_ID_MAX - 1, 'a');
	g_autofree char *long_id = g_strnfill(200, 'a');

	g_assert_true(is_usable("i-m0-1", "10.0.0.1:1", "5"));
	g_assert_true(is_usable("A.b_c:9", "10.0.0.1:1", "5"));
	g_assert_true(is_usable(longest, "10.0.0.1:1", "5"));
	g_assert_false(is_usable(long_id, "10.0.0.1:1", "5"));
	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++)
		g_assert_false(is_usable(odd[i], "10.0.0.1:1", "5"));
}

/*
 * Guards against LOST: a birth beyond all bounds was taken for that of a later
 * incarnation, so that neither the worker's answers nor its own entries
 * counted any more.
 */
static void test_born(void)
{
	static const char *const odd[] = {
		"1e15",
		"9007199254740992",
		"9223372036854775807",
		"1e300",
		"-1",
		"5.5",
		"\"5\"",
		"true",
		"[]",
		"1e14",
	};

	g_assert_true(is_usable("i-1", "10.0.0.1:1", "1796457600000"));
	g_assert_true(is_usable("i-1", "10.0.0.1:1", "0"));
	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		g_test_message("%s", odd[i]);
		g_assert_false(is_usable("i-1", "10.0.0.1:1", odd[i]));
	}
}

static json_t *pack_roster(struct sched_fixture *p)
{
	json_t *all = json_array();

	for (int32_t i = 0; i < SCHED_ROSTER_ROWS; i++) {
		json_t *list = sched_roster_pack_row(&p->s, i);

		json_array_extend(all, list);
		json_decref(list);
	}
	sched_roster_stored(&p->s);
	return all;
}

/* Lists a worker that is on no roster yet. */
static void list_worker(struct sched_fixture *p, const char *id)
{
	struct sched_worker_row row = { .pool = "p",
					.domain = "d",
					.born_ms = 1,
					.total = { 8000, 8000, 0 } };

	g_strlcpy(row.id, id, sizeof(row.id));
	sched_worker_listed(&p->s, &row, 0);
}

/* Opens a successor that has a job of the lost owner, that owner's roster, and
 * worker x, which doesn't answer, and v in its list. */
static void open_successor(struct sched_fixture *p, const json_t *roster,
			   bool list_first)
{
	fixture_open(p, 2, NULL);
	if (!list_first)
		g_assert_true(sched_roster_restore(&p->s, roster, 0));
	list_worker(p, "x");
	list_worker(p, "v");
	if (list_first)
		g_assert_true(sched_roster_restore(&p->s, roster, 0));
	sched_job_add(&p->s, fixture_spec("a", "short", 1, 1), NULL, 5, true, 0,
		      1000000);
	sched_worker_unanswered(&p->s, fixture_worker(p, "x"), 5);
	fixture_poll(p, "v", NULL, 0, NULL, 0, 10);
	sched_tick(&p->s, 20, 1000020);
	fixture_store_roster(p);
}

/*
 * Guards against LOST: an entry names an address where no worker answers. No
 * task can have started there, so that a successor must not wait for a lease.
 */
static void test_never_heard(void)
{
	for (int list_first = 0; list_first < 2; list_first++) {
		struct sched_fixture p;
		json_t *roster;

		fixture_open(&p, 1, NULL);
		list_worker(&p, "x");
		list_worker(&p, "v");
		sched_worker_unanswered(&p.s, fixture_worker(&p, "x"), 5);
		fixture_poll(&p, "v", NULL, 0, NULL, 0, 10);
		sched_tick(&p.s, 20, 1000020);
		roster = pack_roster(&p);
		fixture_close(&p);
		open_successor(&p, roster, list_first);
		sched_place(&p.s, 30);
		g_assert_cmpuint(p.starts->len, ==, 1);
		fixture_close(&p);
		json_decref(roster);
	}
}

/* Guards against TWICE: a worker that answered the lost owner is waited for,
 * also if the list was read before the roster. */
static void test_heard_once(void)
{
	for (int list_first = 0; list_first < 2; list_first++) {
		struct sched_fixture p;
		json_t *roster;

		fixture_open(&p, 1, NULL);
		list_worker(&p, "x");
		list_worker(&p, "v");
		fixture_poll(&p, "x", NULL, 0, NULL, 0, 4);
		sched_worker_unanswered(&p.s, fixture_worker(&p, "x"), 5);
		fixture_poll(&p, "v", NULL, 0, NULL, 0, 10);
		sched_tick(&p.s, 20, 1000020);
		roster = pack_roster(&p);
		g_assert_cmpuint(json_array_size(roster), ==, 2);
		fixture_close(&p);
		open_successor(&p, roster, list_first);
		sched_place(&p.s, FIXTURE_LEASE_MS);
		g_assert_cmpuint(p.starts->len, ==, 0);
		sched_tick(&p.s, LEASE_OVER_MS, 1009000);
		sched_place(&p.s, LEASE_OVER_MS);
		g_assert_cmpuint(p.starts->len, ==, 1);
		fixture_close(&p);
		json_decref(roster);
	}
}

/* Guards against a successor that polls the address of an earlier incarnation:
 * the list was read before the roster and has another address than that. */
static void test_roster_address(void)
{
	struct sched_fixture p;
	json_t *roster = json_pack("[[s,s,i]]", "v", "10.0.0.1:1", 1);

	fixture_open(&p, 2, NULL);
	list_worker(&p, "v");
	g_assert_true(sched_roster_restore(&p.s, roster, 0));
	g_assert_cmpuint(p.s.roster_dirty, !=, 0);
	fixture_close(&p);
	json_decref(roster);
}

/* Guards against TWICE: if part of the roster can't be read, any listed worker
 * that doesn't answer may be one of its workers. */
static void test_never_heard_roster_torn(void)
{
	struct sched_fixture p;
	json_t *none = json_array();

	open_successor(&p, none, true);
	g_assert_false(sched_roster_restore(&p.s, NULL, 25));
	sched_place(&p.s, FIXTURE_LEASE_MS);
	g_assert_cmpuint(p.starts->len, ==, 0);
	fixture_close(&p);
	json_decref(none);
}

void unit_add_odd(void)
{
	g_test_add_func("/odd/address", test_address);
	g_test_add_func("/odd/host-name", test_host_name);
	g_test_add_func("/odd/id", test_id);
	g_test_add_func("/odd/born", test_born);
	g_test_add_func("/odd/never-heard", test_never_heard);
	g_test_add_func("/odd/heard-once", test_heard_once);
	g_test_add_func("/odd/roster-address", test_roster_address);
	g_test_add_func("/odd/never-heard-roster-torn",
			test_never_heard_roster_torn);
}
