/* Chooses which request bodies may take memory, and which are dropped. */
#include "transport/body_budget.h"

#include <stddef.h>
#include <string.h>

void bdg_init(struct bdg *b, const struct bdg_limits *limits)
{
	memset(b, 0, sizeof(*b));
	b->limits = *limits;
}

void bdg_open(struct bdg *b, struct bdg_body *body, int64_t announced_bytes,
	      int64_t now_ms)
{
	memset(body, 0, sizeof(*body));
	body->announced_bytes = announced_bytes;
	body->progress_ms = now_ms;
	body->number = ++b->last_number;
	body->next = b->bodies;
	if (body->next)
		body->next->prev = body;
	b->bodies = body;
}

void bdg_received(struct bdg_body *body, int64_t bytes, int64_t now_ms)
{
	body->received_bytes += bytes;
	body->progress_ms = now_ms;
}

/* Returns whether the body is small, or nearly received. */
static bool will_end(const struct bdg *b, const struct bdg_body *body)
{
	return body->received_bytes <= b->limits.small_bytes ||
	       (body->announced_bytes >= 0 &&
		body->announced_bytes - body->received_bytes <=
			b->limits.small_bytes);
}

/* Returns whether `x` is to be dropped rather than `y`. */
static bool is_worse(const struct bdg *b, const struct bdg_body *x,
		     const struct bdg_body *y, int64_t now_ms)
{
	bool x_stalled = now_ms - x->progress_ms >= b->limits.stall_ms;
	bool y_stalled = now_ms - y->progress_ms >= b->limits.stall_ms;
	bool x_ends = will_end(b, x);
	bool y_ends = will_end(b, y);

	if (x_stalled != y_stalled)
		return x_stalled;
	if (x_stalled)
		return x->progress_ms < y->progress_ms;
	if (x_ends != y_ends)
		return y_ends;
	return x->number > y->number;
}

struct bdg_body *bdg_charge(struct bdg *b, struct bdg_body *body, int64_t bytes,
			    int64_t now_ms)
{
	struct bdg_body *worst = body;
	int64_t limit = b->limits.total_bytes;

	if (!will_end(b, body))
		limit -= b->limits.reserved_bytes;
	if (b->used_bytes + bytes <= limit) {
		b->used_bytes += bytes;
		body->charged_bytes += bytes;
		return NULL;
	}
	for (struct bdg_body *o = b->bodies; o; o = o->next) {
		if (!o->complete && o->charged_bytes &&
		    is_worse(b, o, worst, now_ms))
			worst = o;
	}
	return worst;
}

void bdg_complete(struct bdg_body *body)
{
	body->complete = true;
}

void bdg_close(struct bdg *b, struct bdg_body *body)
{
	if (!body->number)
		return;
	b->used_bytes -= body->charged_bytes;
	if (body->prev)
		body->prev->next = body->next;
	else
		b->bodies = body->next;
	if (body->next)
		body->next->prev = body->prev;
	memset(body, 0, sizeof(*body));
}
