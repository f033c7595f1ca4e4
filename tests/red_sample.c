/* A program with tests that pass and fail, for known-red-check.sh. */
#include <glib.h>

static void test_good(void)
{
	g_assert_true(TRUE);
}

static void test_bad(void)
{
	g_assert_true(FALSE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sample/bad", test_bad);
	g_test_add_func("/sample/good", test_good);
	return g_test_run();
}
