/* Numbers in JSON that others wrote, taken only within bounds. */
#include "protocol/num.h"

int64_t num_near(const json_t *v, int64_t least, int64_t most, int64_t fallback)
{
	double real = json_real_value(v);

	if (json_is_integer(v)) {
		json_int_t n = json_integer_value(v);

		return n < least ? least : n > most ? most : n;
	}
	if (!json_is_real(v))
		return fallback;
	/* Compared before the cast: beyond int64_t its result is undefined. */
	if (real <= (double)least)
		return least;
	return real >= (double)most ? most : (int64_t)real;
}

bool num_whole(const json_t *v, int64_t least, int64_t most, int64_t *out)
{
	if (!json_is_number(v) || json_number_value(v) < (double)least ||
	    json_number_value(v) > (double)most)
		return false;
	*out = num_near(v, least, most, least);
	return json_is_integer(v) || (double)*out == json_real_value(v);
}
