/* The budget for request bodies, and the counts of connections. */
#include <glib.h>

#include "tests/unit.h"
#include "transport/body_budget.h"
#include "transport/conn_limits.h"

#define TOTAL 1000
#define RESERVED 200
#define SMALL 50
#define STALL_MS 100
#define BODIES 64

static void init(struct bdg *b)
{
	bdg_init(b, &(struct bdg_limits){ TOTAL, RESERVED, SMALL, STALL_MS });
}

/* Bytes arrive and are charged. Returns the body to be dropped, or NULL. */
static struct bdg_body *add(struct bdg *b, struct bdg_body *body, int64_t bytes,
			    int64_t now_ms)
{
	bdg_received(body, bytes, now_ms);
	return bdg_charge(b, body, bytes, now_ms);
}

/* Guards against a crowd of large bodies that leaves no memory for an ordinary
 * caller. */
static void test_small_beside_large(void)
{
	struct bdg b;
	struct bdg_body large;
	struct bdg_body newer;
	struct bdg_body small;

	init(&b);
	bdg_open(&b, &large, 5000, 0);
	g_assert_null(add(&b, &large, TOTAL - RESERVED, 0));
	bdg_open(&b, &newer, 5000, 1);
	g_assert_true(add(&b, &newer, SMALL + 1, 1) == &newer);
	bdg_close(&b, &newer);
	bdg_open(&b, &small, -1, 1);
	g_assert_null(add(&b, &small, SMALL, 1));
	bdg_close(&b, &small);
	bdg_close(&b, &large);
	g_assert_cmpint(b.used_bytes, ==, 0);
	g_assert_null(b.bodies);
}

/* Guards against clients that stop one byte short of the end and keep what they
 * were given. */
static void test_stalled_first(void)
{
	struct bdg b;
	struct bdg_body stalled;
	struct bdg_body running;
	struct bdg_body next;

	init(&b);
	bdg_open(&b, &stalled, 401, 0);
	g_assert_null(add(&b, &stalled, 400, 0));
	bdg_open(&b, &running, 2000, 1);
	g_assert_null(add(&b, &running, 400, STALL_MS));
	bdg_open(&b, &next, 2000, STALL_MS);
	g_assert_true(add(&b, &next, 300, STALL_MS) == &stalled);
	bdg_close(&b, &stalled);
	g_assert_null(bdg_charge(&b, &next, 300, STALL_MS));
}

/* Complete bodies are being served: they are kept, and new ones refused. */
static void test_complete_kept(void)
{
	struct bdg b;
	struct bdg_body served;
	struct bdg_body next;

	init(&b);
	bdg_open(&b, &served, TOTAL, 0);
	g_assert_null(add(&b, &served, TOTAL, 0));
	bdg_complete(&served);
	bdg_open(&b, &next, 1, 10 * STALL_MS);
	g_assert_true(add(&b, &next, 1, 10 * STALL_MS) == &next);
}

/* A body of a single client may use all of the budget as it nears its end. */
static void test_single(void)
{
	struct bdg b;
	struct bdg_body body;

	init(&b);
	bdg_open(&b, &body, TOTAL - RESERVED + SMALL, 0);
	for (int i = 0; i < TOTAL - RESERVED + SMALL; i++)
		g_assert_null(add(&b, &body, 1, i));
}

/* Drawn bodies: the charge never exceeds the budget, and equals the sum of the
 * bodies'. */
static void test_drawn(void)
{
	struct bdg b;
	struct bdg_body bodies[BODIES] = { 0 };
	GRand *r = g_rand_new_with_seed(1);

	init(&b);
	for (int64_t now = 0; now < 20000; now++) {
		struct bdg_body *body = &bodies[g_rand_int_range(r, 0, BODIES)];
		struct bdg_body *drop;
		int64_t n = g_rand_int_range(r, 1, 100);
		int64_t sum = 0;

		if (!body->number)
			bdg_open(&b, body, g_rand_int_range(r, -1, 600), now);
		else if (g_rand_int_range(r, 0, 10) == 0)
			bdg_complete(body);
		else if (g_rand_int_range(r, 0, 20) == 0)
			bdg_close(&b, body);
		else if (!body->complete) {
			bdg_received(body, n, now);
			while ((drop = bdg_charge(&b, body, n, now))) {
				g_assert_false(drop->complete);
				bdg_close(&b, drop);
				if (drop == body)
					break;
			}
		}
		for (int i = 0; i < BODIES; i++)
			sum += bodies[i].charged_bytes;
		g_assert_cmpint(sum, ==, b.used_bytes);
		g_assert_cmpint(sum, <=, TOTAL);
	}
	g_rand_free(r);
}

/* Guards against counts that stay when connections have closed. */
static void test_connections(void)
{
	struct cnl c;

	cnl_init(&c, 3, 2);
	cnl_opened(&c, 1);
	cnl_opened(&c, 1);
	g_assert_cmpint(cnl_check(&c, 1), ==, CNL_ADDRESS_FULL);
	g_assert_cmpint(cnl_check(&c, 2), ==, CNL_OK);
	cnl_opened(&c, 2);
	g_assert_cmpint(cnl_check(&c, 3), ==, CNL_FULL);
	cnl_closed(&c, 1);
	g_assert_cmpint(cnl_check(&c, 1), ==, CNL_OK);
	cnl_closed(&c, 1);
	cnl_closed(&c, 2);
	g_assert_cmpuint(c.total, ==, 0);
	g_assert_cmpuint(g_hash_table_size(c.by_address), ==, 0);
	cnl_finish(&c);
}

void unit_add_body_budget(void)
{
	g_test_add_func("/budget/small-beside-large", test_small_beside_large);
	g_test_add_func("/budget/stalled-first", test_stalled_first);
	g_test_add_func("/budget/complete-kept", test_complete_kept);
	g_test_add_func("/budget/single", test_single);
	g_test_add_func("/budget/drawn", test_drawn);
	g_test_add_func("/budget/connections", test_connections);
}
