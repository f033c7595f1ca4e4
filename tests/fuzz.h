/*
 * Fuzz targets: each feeds one text from outside the process (a request, a
 * response, a row, a file or a message) to its parser and checks the result.
 * Used by the fuzzer (fuzz_main.c) and the replay of its corpus (unit_fuzz.c).
 */
#ifndef FUZZ_H
#define FUZZ_H

#include <stddef.h>

/* run() aborts if a check fails. `text` has a NUL after its `len` bytes. */
struct fuzz_target {
	const char *name;
	void (*run)(const char *text, size_t len);
};

/* Each list ends with an entry whose name is NULL. */
extern const struct fuzz_target fuzz_call_targets[];
extern const struct fuzz_target fuzz_row_targets[];

/* Returns the target of this name in either list, or NULL. */
const struct fuzz_target *fuzz_find_target(const char *name);

/* Responds to the HTTP request that a module of platform/ has just sent. The
 * status is 200, unless the text begins with three digits and a space. */
void fuzz_respond(const char *text, size_t len);

#endif
