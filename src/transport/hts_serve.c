/* Gives complete requests to the handler: small ones at once, large ones one by
 * one, with pauses for the rest of the event loop. */
#include "transport/hts_int.h"

#include <talloc.h>

/* Pause after a large request, in ms; longer if the handler took longer, so
 * that large requests use at most half of the processor. */
#define PAUSE_MIN_MS 1

static void serve_next(void *priv);

static void serve_large(struct hts_exchange *x)
{
	struct hts *s = x->srv;
	int64_t began_ms = hts_now_ms();
	int64_t took_ms;

	/* The handler may end the exchange. */
	s->handler(&x->pub, s->priv);
	took_ms = hts_now_ms() - began_ms;
	s->serve_timer = tmr_after(
		s->timers, took_ms > PAUSE_MIN_MS ? took_ms : PAUSE_MIN_MS,
		serve_next, s);
}

static void serve_next(void *priv)
{
	struct hts *s = priv;
	struct hts_exchange *x = s->waiting;

	s->serve_timer = NULL;
	if (!x)
		return;
	s->waiting = x->next_waiting;
	if (!s->waiting)
		s->waiting_end = &s->waiting;
	serve_large(x);
}

void hts_serve(struct hts_exchange *x)
{
	struct hts *s = x->srv;

	if (x->pub.body_len <= HTS_SMALL_BODY_BYTES) {
		s->handler(&x->pub, s->priv);
		return;
	}
	if (!s->serve_timer) {
		serve_large(x);
		return;
	}
	*s->waiting_end = x;
	s->waiting_end = &x->next_waiting;
}

void hts_serve_init(struct hts *s)
{
	s->waiting_end = &s->waiting;
}

void hts_serve_finish(struct hts *s)
{
	TALLOC_FREE(s->serve_timer);
}
