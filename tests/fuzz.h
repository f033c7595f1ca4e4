/* Parsers of what comes from outside, each as a target of a fuzzer. */
#ifndef FUZZ_H
#define FUZZ_H

#include <stddef.h>

/* `text` has a NUL after its `len` bytes. Aborts if something is wrong. */
struct fuzz_target {
	const char *name;
	void (*run)(const char *text, size_t len);
};

/* Each ends with an entry without a name. */
extern const struct fuzz_target fuzz_calls[];
extern const struct fuzz_target fuzz_rows[];

/* NULL if there is none. */
const struct fuzz_target *fuzz_find(const char *name);

/* Answers the call that a part of platform/ has just sent, with status 200
 * unless the text begins with another and a space. */
void fuzz_answer(const char *text, size_t len);

#endif
