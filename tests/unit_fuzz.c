/* Replays the fuzzer's corpus, its findings included, without the fuzzer. */
#include <glib.h>
#include <string.h>

#include "tests/fuzz.h"
#include "tests/unit.h"

#define CORPUS "tests/corpus"

/* The files were written by the project's encoders or found by the fuzzer. */
static void replay(gconstpointer priv)
{
	const struct fuzz_target *t = priv;
	g_autofree char *path = g_build_filename(CORPUS, t->name, NULL);
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;
	int n = 0;

	g_assert_nonnull(dir);
	while ((name = g_dir_read_name(dir))) {
		g_autofree char *file = g_build_filename(path, name, NULL);
		g_autofree char *text = NULL;
		gsize len;

		g_test_message("%s", file);
		g_assert_true(g_file_get_contents(file, &text, &len, NULL));
		t->run(text, len);
		n++;
	}
	g_dir_close(dir);
	g_assert_cmpint(n, >, 0);
}

static void add_replays(const struct fuzz_target *list)
{
	for (; list->name; list++) {
		g_autofree char *path = g_strdup_printf("/fuzz/%s", list->name);

		g_test_add_data_func(path, list, replay);
	}
}

void unit_add_fuzz(void)
{
	add_replays(fuzz_call_targets);
	add_replays(fuzz_row_targets);
}
