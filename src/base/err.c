/* Error values with a kind and a message. */
#include "base/err.h"

#include <stdarg.h>
#include <stdio.h>

static const char *const kind_names[] = {
	[ERR_NONE] = "none",	     [ERR_SETTING] = "setting",
	[ERR_RECORD] = "record",     [ERR_CONFLICT] = "conflict",
	[ERR_ABSENT] = "absent",     [ERR_UNAVAILABLE] = "unavailable",
	[ERR_PROTOCOL] = "protocol", [ERR_SYSTEM] = "system",
};

bool err_set(struct err *e, enum err_kind kind, const char *fmt, ...)
{
	va_list ap;

	if (!e)
		return false;
	e->kind = kind;
	va_start(ap, fmt);
	vsnprintf(e->text, sizeof(e->text), fmt, ap);
	va_end(ap);
	return false;
}

const char *err_kind_name(enum err_kind kind)
{
	return kind_names[kind];
}
