/* Reads numbers from untrusted JSON within bounds. */
#include "protocol/num.h"

int64_t num_clamp(const json_t *v, int64_t min, int64_t max,
		  int64_t default_value)
{
	double real = json_real_value(v);

	if (json_is_integer(v)) {
		json_int_t n = json_integer_value(v);

		return n < min ? min : n > max ? max : n;
	}
	if (!json_is_real(v))
		return default_value;
	/* The cast is undefined for values that int64_t can't hold. */
	if (real <= (double)min)
		return min;
	return real >= (double)max ? max : (int64_t)real;
}

bool num_integer(const json_t *v, int64_t min, int64_t max, int64_t *out)
{
	if (!json_is_number(v) || json_number_value(v) < (double)min ||
	    json_number_value(v) > (double)max)
		return false;
	*out = num_clamp(v, min, max, min);
	return json_is_integer(v) || (double)*out == json_real_value(v);
}
