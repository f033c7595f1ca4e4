/* Error values: callers pass a struct err, and the call that fails fills it
 * in. */
#ifndef ERR_H
#define ERR_H

#include <stdbool.h>

enum err_kind {
	ERR_NONE,
	ERR_SETTING, /* invalid settings file */
	ERR_RECORD, /* invalid record */
	ERR_CONFLICT, /* changed concurrently by somebody else */
	ERR_ABSENT, /* not found */
	ERR_UNAVAILABLE, /* temporary; retry later or at another member */
	ERR_PROTOCOL, /* a peer violated the protocol */
	ERR_SYSTEM, /* a system call failed */
};

#define ERR_TEXT_MAX 512

/* Owned by the caller. The text says what is wrong and how to correct it. */
struct err {
	enum err_kind kind;
	char text[ERR_TEXT_MAX];
};

/* Fills in `e` unless it is NULL. Always returns false. */
bool err_set(struct err *e, enum err_kind kind, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* Stable lower-case name of a kind, as used in JSON bodies. */
const char *err_kind_name(enum err_kind kind);

#endif
