/* Tests of entries of other writers among those of the workers: an odd one
 * names no worker to use, and the others hold. */
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "pf_decode.h"
#include "tests/unit.h"

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

void unit_add_odd(void)
{
	g_test_add_func("/odd/address", test_address);
	g_test_add_func("/odd/host-name", test_host_name);
	g_test_add_func("/odd/id", test_id);
	g_test_add_func("/odd/born", test_born);
}
