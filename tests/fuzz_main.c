/* Entry points for libFuzzer. GD_FUZZ in the environment names the target. */
#include <glib.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "tests/fuzz.h"

#define TARGET_ENV "GD_FUZZ"
#define LOG_LEVEL_NONE 0

int LLVMFuzzerInitialize(int *argc, char ***argv);
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static const struct fuzz_target *target;

int LLVMFuzzerInitialize(int *argc, char ***argv)
{
	const char *name = getenv(TARGET_ENV);

	(void)argc;
	(void)argv;
	log_set_level(LOG_LEVEL_NONE);
	target = fuzz_find_target(name ? name : "");
	if (target)
		return 0;
	fprintf(stderr, "fuzz: " TARGET_ENV " names no target\n");
	exit(EXIT_FAILURE);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text = g_malloc(size + 1);

	if (size)
		memcpy(text, data, size);
	text[size] = '\0';
	target->run(text, size);
	g_free(text);
	return 0;
}
