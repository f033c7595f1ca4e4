/* Counters of messages and their bytes. */
#include "transport/traffic.h"

#include <talloc.h>

static const char *const names[] = {
#define X(id, name) [id] = name,
	TRAFFIC_PURPOSES(X)
#undef X
};

static void add(struct traffic_sum *sum, int64_t bytes, int64_t calls)
{
	sum->bytes += bytes;
	sum->calls += calls;
}

void traffic_sent(struct traffic *t, enum traffic_purpose purpose,
		  int64_t bytes)
{
	add(&t->out[purpose], bytes, 1);
}

void traffic_received(struct traffic *t, enum traffic_purpose purpose,
		      int64_t bytes)
{
	add(&t->in[purpose], bytes, 1);
}

void traffic_received_part(struct traffic *t, enum traffic_purpose purpose,
			   int64_t bytes)
{
	add(&t->in[purpose], bytes, 0);
}

static char *append(char *text, const struct traffic_sum *sum, const char *name,
		    const char *via, const char *direction)
{
	return talloc_asprintf_append(
		text,
		"gd_traffic_bytes_total{purpose=\"%s\",via=\"%s\",direction="
		"\"%s\"} %lld\n"
		"gd_traffic_calls_total{purpose=\"%s\",via=\"%s\",direction="
		"\"%s\"} %lld\n",
		name, via, direction, (long long)sum->bytes, name, via,
		direction, (long long)sum->calls);
}

char *traffic_append_metrics(char *text, const struct traffic *t,
			     const char *via)
{
	for (int i = 0; i < TRAFFIC_N_PURPOSES; i++) {
		text = append(text, &t->out[i], names[i], via, "out");
		text = append(text, &t->in[i], names[i], via, "in");
	}
	return text;
}
