/*
 * One-shot timers on the monotonic clock, driven by a tevent loop. tevent's own
 * timers follow the wall clock, so setting it back would delay them.
 */
#ifndef TMR_H
#define TMR_H

#include <stdint.h>
#include <tevent.h>

struct tmr_set;
struct tmr;

typedef void (*tmr_fn)(void *priv);

/* Returns a talloc child of `ctx`. Freeing it frees its timers; pointers to
 * them are invalid afterwards. */
struct tmr_set *tmr_set_start(void *ctx, struct tevent_context *ev);

/*
 * Calls `fn` once after `delay_ms`, never from within this call. The timer is
 * freed right before the call; free it earlier to cancel it.
 */
struct tmr *tmr_after(struct tmr_set *set, int64_t delay_ms, tmr_fn fn,
		      void *priv);

#endif
