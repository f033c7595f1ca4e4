/* Counts the bytes and values of a JSON text without parsing it. */
#include "protocol/json_cost.h"

#include <stdint.h>

enum { PLAIN, BLANK, MARK, QUOTE };

static const uint8_t classes[256] = {
	[' '] = BLANK,	['\t'] = BLANK, ['\n'] = BLANK,
	['\r'] = BLANK, [','] = MARK,	[':'] = MARK,
	['['] = MARK,	['{'] = MARK,	['"'] = QUOTE,
};

/* Returns the position behind the string that begins after `at`, its opening
 * quote. */
static size_t skip_string(const char *text, size_t len, size_t at)
{
	for (at++; at < len && text[at] != '"'; at++) {
		if (text[at] == '\\')
			at++;
	}
	return at < len ? at + 1 : len;
}

bool jcost_is_within(const char *text, size_t len,
		     const struct jcost_limits *limits)
{
	size_t bytes = 0;
	size_t marks = 0;
	size_t at = 0;

	while (at < len && bytes <= limits->bytes_max &&
	       marks <= limits->marks_max) {
		uint8_t class = classes[(uint8_t)text[at]];
		size_t next =
			class == QUOTE ? skip_string(text, len, at) : at + 1;

		bytes += class == BLANK ? 0 : next - at;
		marks += class == MARK;
		at = next;
	}
	return bytes <= limits->bytes_max && marks <= limits->marks_max;
}
