/* Bounds what it costs to parse a JSON text from outside (jcost_). */
#ifndef JSON_COST_H
#define JSON_COST_H

#include <stdbool.h>
#include <stddef.h>

struct jcost_limits {
	size_t bytes_max; /* without blanks between values */
	size_t marks_max; /* commas, colons and opening brackets */
};

/*
 * Returns whether parsing the text stays within the limits. Reads no further
 * than that is known, and does not check that the text is valid. A parser
 * allocates up to 250 bytes for each value, of which a text has at most one
 * more than marks.
 */
bool jcost_is_within(const char *text, size_t len,
		     const struct jcost_limits *limits);

#endif
