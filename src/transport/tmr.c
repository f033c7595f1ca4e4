/* One-shot timers, sorted by due time; one timerfd is set for the earliest. */
#include "transport/tmr.h"

#include <glib.h>
#include <sys/timerfd.h>
#include <talloc.h>
#include <time.h>
#include <unistd.h>

#define NS_PER_MS 1000000LL
#define NS_PER_S 1000000000LL

struct tmr_set {
	int fd;
	struct tevent_fd *fde;
	GSequence *by_due_time;
	int64_t armed_ns; /* time the timerfd is set to; 0: not set */
};

struct tmr {
	struct tmr_set *set;
	GSequenceIter *iter;
	int64_t due_ns;
	tmr_fn fn;
	void *priv;
};

static int64_t now_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * NS_PER_S + ts.tv_nsec;
}

static struct tmr *earliest_timer(struct tmr_set *set)
{
	GSequenceIter *it = g_sequence_get_begin_iter(set->by_due_time);

	return g_sequence_iter_is_end(it) ? NULL : g_sequence_get(it);
}

/* Sets the timerfd to the earliest due time. Leaves it at an earlier time, that
 * of a cancelled timer: an early wakeup costs one iteration of the loop, a late
 * one would delay work. */
static void arm_timerfd(struct tmr_set *set)
{
	struct tmr *t = earliest_timer(set);
	struct itimerspec spec = { 0 };

	if (!t || (set->armed_ns && set->armed_ns <= t->due_ns))
		return;
	set->armed_ns = t->due_ns;
	spec.it_value.tv_sec = t->due_ns / NS_PER_S;
	spec.it_value.tv_nsec = t->due_ns % NS_PER_S;
	timerfd_settime(set->fd, TFD_TIMER_ABSTIME, &spec, NULL);
}

static void on_fd(struct tevent_context *ev, struct tevent_fd *fde,
		  uint16_t flags, void *priv)
{
	struct tmr_set *set = priv;
	int64_t now = now_ns();
	uint64_t fired;
	struct tmr *t;

	(void)ev;
	(void)fde;
	(void)flags;
	if (read(set->fd, &fired, sizeof(fired)) < 0)
		return;
	set->armed_ns = 0;
	while ((t = earliest_timer(set)) && t->due_ns <= now) {
		tmr_fn fn = t->fn;
		void *arg = t->priv;

		talloc_free(t);
		fn(arg);
	}
	arm_timerfd(set);
}

static int set_destructor(struct tmr_set *set)
{
	struct tmr *t;

	/* Frees the timers here: talloc would free them after the destructor,
	 * when the sequence that holds their iterators is gone. */
	while ((t = earliest_timer(set)))
		talloc_free(t);
	TALLOC_FREE(set->fde);
	close(set->fd);
	g_sequence_free(set->by_due_time);
	return 0;
}

struct tmr_set *tmr_set_start(void *ctx, struct tevent_context *ev)
{
	struct tmr_set *set = talloc_zero(ctx, struct tmr_set);

	set->fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	set->by_due_time = g_sequence_new(NULL);
	set->fde = tevent_add_fd(ev, set, set->fd, TEVENT_FD_READ, on_fd, set);
	talloc_set_destructor(set, set_destructor);
	return set;
}

static int tmr_destructor(struct tmr *t)
{
	g_sequence_remove(t->iter);
	return 0;
}

static gint compare_due(gconstpointer a, gconstpointer b, gpointer priv)
{
	const struct tmr *x = a;
	const struct tmr *y = b;

	(void)priv;
	return (x->due_ns > y->due_ns) - (x->due_ns < y->due_ns);
}

struct tmr *tmr_after(struct tmr_set *set, int64_t delay_ms, tmr_fn fn,
		      void *priv)
{
	struct tmr *t = talloc_zero(set, struct tmr);

	t->set = set;
	t->fn = fn;
	t->priv = priv;
	t->due_ns = now_ns() + (delay_ms > 0 ? delay_ms : 0) * NS_PER_MS + 1;
	t->iter = g_sequence_insert_sorted(set->by_due_time, t, compare_due,
					   NULL);
	talloc_set_destructor(t, tmr_destructor);
	arm_timerfd(set);
	return t;
}
