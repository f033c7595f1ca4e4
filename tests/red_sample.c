/* One test that passes and one that fails, as input to known-red-check.sh. */
#include <glib.h>

static void test_passes(void)
{
	g_assert_true(TRUE);
}

static void test_fails(void)
{
	g_assert_true(FALSE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sample/bad", test_fails);
	g_test_add_func("/sample/good", test_passes);
	return g_test_run();
}
