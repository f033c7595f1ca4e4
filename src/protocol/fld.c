/* Reads and validates JSON objects by tables of field descriptions. */
#include "protocol/fld.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VALUE_TEXT_MAX 64

bool fld_add_error(struct fld_errors *errs, const char *fmt, ...)
{
	va_list ap;

	if (errs->n == FLD_ERRORS_MAX)
		return false;
	va_start(ap, fmt);
	vsnprintf(errs->text[errs->n++], sizeof(errs->text[0]), fmt, ap);
	va_end(ap);
	return false;
}

/* Returns the value as JSON in `buf`, truncated if too long. */
static const char *format_value(const json_t *v, char buf[VALUE_TEXT_MAX])
{
	char *s = json_dumps(v, JSON_ENCODE_ANY | JSON_COMPACT);

	snprintf(buf, VALUE_TEXT_MAX, "%s", s ? s : "?");
	free(s);
	return buf;
}

/* Returns a key of `obj` that isn't in the table, or NULL. */
static const char *find_unknown_key(const json_t *obj,
				    const struct fld_spec *fields)
{
	const char *key;
	json_t *v;

	json_object_foreach((json_t *)obj, key, v)
	{
		const struct fld_spec *f = fields;

		while (f->key && strcmp(f->key, key))
			f++;
		if (!f->key)
			return key;
	}
	return NULL;
}

static bool read_int(const json_t *v, const struct fld_spec *f, void *dest,
		     struct fld_errors *errs)
{
	char buf[VALUE_TEXT_MAX];
	int64_t n = json_integer_value(v);

	if (!json_is_integer(v) || n < f->min || n > f->max)
		return fld_add_error(
			errs,
			"%s is %s: give a whole number from %" PRId64
			" to %" PRId64,
			f->key, format_value(v, buf), f->min, f->max);
	*(int64_t *)dest = n * (f->scale ? f->scale : 1);
	return true;
}

static bool read_str(const json_t *v, const struct fld_spec *f, void *dest,
		     struct fld_errors *errs)
{
	char buf[VALUE_TEXT_MAX];
	size_t len = json_string_length(v);

	if (!json_is_string(v) || (int64_t)len < f->min || len >= f->size ||
	    strlen(json_string_value(v)) != len)
		return fld_add_error(
			errs,
			"%s is %s: give a string of %" PRId64 " to %zu bytes",
			f->key, format_value(v, buf), f->min, f->size - 1);
	memcpy(dest, json_string_value(v), len + 1);
	return true;
}

static bool read_enum(const json_t *v, const struct fld_spec *f, void *dest,
		      struct fld_errors *errs)
{
	char buf[VALUE_TEXT_MAX];
	char all[128] = "";
	const char *s = json_is_string(v) ? json_string_value(v) : "";

	for (int i = 0; f->names[i]; i++) {
		size_t used = strlen(all);

		if (!strcmp(f->names[i], s)) {
			*(int *)dest = i;
			return true;
		}
		snprintf(all + used, sizeof(all) - used, "%s%s", i ? ", " : "",
			 f->names[i]);
	}
	return fld_add_error(errs, "%s is %s: give one of %s", f->key,
			     format_value(v, buf), all);
}

static bool add_type_error(const json_t *v, const struct fld_spec *f,
			   const char *wanted, struct fld_errors *errs)
{
	char buf[VALUE_TEXT_MAX];

	return fld_add_error(errs, "%s is %s: give %s", f->key,
			     format_value(v, buf), wanted);
}

static bool read_value(const json_t *v, const struct fld_spec *f, void *out,
		       struct fld_errors *errs)
{
	char *dest = (char *)out + f->offset;

	switch (f->type) {
	case FLD_INT:
		return read_int(v, f, dest, errs);
	case FLD_STR:
		return read_str(v, f, dest, errs);
	case FLD_ENUM:
		return read_enum(v, f, dest, errs);
	case FLD_BOOL:
		if (!json_is_boolean(v))
			return add_type_error(v, f, "true or false", errs);
		*(bool *)dest = json_is_true(v);
		return true;
	case FLD_OBJECT:
		if (!json_is_object(v))
			return add_type_error(v, f, "an object", errs);
		return fld_read(v, f->fields, out, errs);
	case FLD_LIST:
		return json_is_array(v) || add_type_error(v, f, "a list", errs);
	}
	return false;
}

static void set_default(const struct fld_spec *f, void *out)
{
	char *dest = (char *)out + f->offset;

	if (f->type == FLD_INT)
		*(int64_t *)dest = f->default_value;
	else if (f->type == FLD_ENUM)
		*(int *)dest = (int)f->default_value;
	else if (f->type == FLD_BOOL)
		*(bool *)dest = f->default_value != 0;
	else if (f->type == FLD_STR)
		*dest = '\0';
}

bool fld_read(const json_t *obj, const struct fld_spec *fields, void *out,
	      struct fld_errors *errs)
{
	int n_before = errs->n;
	const char *unknown;

	if (!json_is_object(obj))
		return fld_add_error(errs,
				     "the whole is not an object: give {...}");
	unknown = find_unknown_key(obj, fields);
	if (unknown)
		fld_add_error(errs,
			      "%s is not known here: remove it or mend its "
			      "spelling",
			      unknown);
	for (const struct fld_spec *f = fields; f->key; f++) {
		const json_t *v = json_object_get(obj, f->key);

		if (v)
			read_value(v, f, out, errs);
		else if (f->required)
			fld_add_error(errs, "%s is missing: add it", f->key);
		else
			set_default(f, out);
	}
	return errs->n == n_before;
}

bool fld_to_err(const struct fld_errors *errs, enum err_kind kind,
		struct err *e)
{
	char all[ERR_TEXT_MAX] = "";

	for (int i = 0; i < errs->n; i++) {
		size_t used = strlen(all);

		snprintf(all + used, sizeof(all) - used, "%s%s", i ? "; " : "",
			 errs->text[i]);
	}
	return errs->n ? err_set(e, kind, "%s", all) : true;
}
