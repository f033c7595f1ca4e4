/*
 * Reads JSON objects into structs by tables of field descriptions. Reports all
 * errors of an object at once.
 */
#ifndef FLD_H
#define FLD_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

enum fld_type {
	FLD_INT, /* int64_t, multiplied by `scale` */
	FLD_BOOL, /* bool */
	FLD_STR, /* char[size] */
	FLD_ENUM, /* int: index of the string in `names` */
	FLD_OBJECT, /* nested: `fields` describes it; same struct */
	FLD_LIST, /* must be an array; not stored */
};

/* Describes one field of a JSON object. */
struct fld_spec {
	const char *key; /* NULL ends a table */
	enum fld_type type;
	size_t offset; /* in the struct that is filled in */
	size_t size; /* FLD_STR: bytes, including the NUL */
	bool required;
	int64_t min; /* FLD_INT: least value; FLD_STR: least length */
	int64_t max; /* FLD_INT, before scaling */
	int64_t scale; /* FLD_INT; 0 counts as 1 */
	int64_t default_value; /* FLD_INT (scaled), FLD_ENUM, FLD_BOOL */
	const char *const *names; /* FLD_ENUM; ends with NULL */
	const struct fld_spec *fields; /* FLD_OBJECT */
};

#define FLD_ERRORS_MAX 16

/* Each text says which key has which value and how to correct it. Errors beyond
 * FLD_ERRORS_MAX are not recorded. */
struct fld_errors {
	int n;
	char text[FLD_ERRORS_MAX][ERR_TEXT_MAX / 2];
};

/*
 * Reads `obj` into `out`. Adds an error to `errs` for the first unknown key and
 * for each missing key, wrong type and value out of range. Returns true if it
 * added none.
 */
bool fld_read(const json_t *obj, const struct fld_spec *fields, void *out,
	      struct fld_errors *errs);

/* Adds an error; always returns false. */
bool fld_add_error(struct fld_errors *errs, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* Joins all errors into `e`; returns false if there are any. */
bool fld_to_err(const struct fld_errors *errs, enum err_kind kind,
		struct err *e);

#endif
