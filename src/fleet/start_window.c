/* Changes the window once in each round of answers. */
#include "fleet/start_window.h"

#include <stdlib.h>

/* Answers needed for a change. */
#define SAMPLES_MIN 8
#define SAMPLES_MAX START_WINDOW_SAMPLES_MAX
/* Fewer than SAMPLES_MAX are used after this time, in ms. */
#define EPOCH_MS 100
/* Below this queue the window grows, in ms: workers differ by as much in the
 * time that they take to answer. */
#define QUEUE_LOW_MS 30
/* Above this it shrinks, in ms: the initial window is what is sent in 100 ms,
 * so that it queues for as long where the link is as fast as it is said to be.
 */
#define QUEUE_HIGH_MS 120
/* Half of the time after which a start is given up: above this the window
 * shrinks whatever the least delay is, which a lasting queue raises. */
#define DELAY_MAX_MS 350
/* Losses count if they are more than this part of the answers: workers that
 * leave some of their commands unanswered for seconds say nothing of the link.
 */
#define LOST_DIVISOR 4
/* Factors of a change, in thousandths. */
#define GROW_MILLI 1250
#define SHRINK_MILLI 800
#define SHRINK_FAST_MILLI 500
/* The least delay of a path is that of this time and the one before, in ms:
 * routes change, and workers come and go. */
#define LEAST_DELAY_MS 30000
/* A window that was not filled for so long, in ms, is the initial one again:
 * what was measured may be true no more. */
#define QUIET_MS 10000

struct path {
	int64_t least_ms; /* in this time */
	int64_t last_least_ms; /* in the time before */
	int64_t ends_ms; /* of this time */
};

static int64_t scaled(const struct start_window *w, int64_t initial)
{
	if (initial == INT64_MAX)
		return initial;
	return MAX(initial * w->scale_milli / 1000, 1);
}

static void begin_epoch(struct start_window *w, int64_t now_ms)
{
	w->epoch_ms = now_ms;
	w->n_answered = 0;
	w->n_lost = 0;
	w->n_samples = 0;
}

void start_window_init(struct start_window *w,
		       const struct sched_start_room *initial)
{
	*w = (struct start_window){
		.initial = *initial,
		.scale_milli = 1000,
		.paths = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       g_free),
	};
}

void start_window_finish(struct start_window *w)
{
	g_hash_table_destroy(w->paths);
}

struct sched_start_room start_window_room(struct start_window *w,
					  int64_t now_ms)
{
	if (w->scale_milli != 1000 && now_ms - w->changed_ms >= QUIET_MS) {
		w->scale_milli = 1000;
		w->last_queue_ms = 0;
		begin_epoch(w, now_ms);
	}
	return (struct sched_start_room){
		.bytes = scaled(w, w->initial.bytes) - w->used.bytes,
		.commands = scaled(w, w->initial.commands) - w->used.commands,
	};
}

void start_window_add(struct start_window *w, int64_t bytes)
{
	w->used.bytes += bytes;
	w->used.commands++;
}

void start_window_remove(struct start_window *w, int64_t bytes)
{
	w->used.bytes -= bytes;
	w->used.commands--;
}

struct start_window_sent start_window_send(const struct start_window *w,
					   int64_t now_ms)
{
	/* In a window that is not in use, short delays tell nothing of what a
	 * larger one would do. */
	bool loaded =
		w->used.bytes >= scaled(w, w->initial.bytes) / 4 * 3 ||
		w->used.commands >= scaled(w, w->initial.commands) / 4 * 3;

	return (struct start_window_sent){ now_ms, loaded };
}

/* Returns how much longer the answer took than the fastest of late. */
static int64_t queue_of(struct start_window *w, const char *name,
			int64_t delay_ms, int64_t now_ms)
{
	struct path *p = g_hash_table_lookup(w->paths, name);

	if (!p) {
		p = g_new0(struct path, 1);
		p->least_ms = delay_ms;
		p->last_least_ms = delay_ms;
		p->ends_ms = now_ms + LEAST_DELAY_MS;
		g_hash_table_insert(w->paths, g_strdup(name), p);
	}
	if (now_ms >= p->ends_ms) {
		p->last_least_ms = p->least_ms;
		p->least_ms = delay_ms;
		p->ends_ms = now_ms + LEAST_DELAY_MS;
	}
	p->least_ms = MIN(p->least_ms, delay_ms);
	return delay_ms - MIN(p->least_ms, p->last_least_ms);
}

static int compare_ms(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* The median: some workers that are slow to answer, or a fast path beside a
 * slow one, don't decide alone. */
static int64_t median(int64_t *values, int32_t n)
{
	qsort(values, (size_t)n, sizeof(*values), compare_ms);
	return values[n / 2];
}

static int64_t factor_by_queue(int64_t queue_ms, int64_t delay_ms)
{
	if (queue_ms > 2 * QUEUE_HIGH_MS || delay_ms > 2 * DELAY_MAX_MS)
		return SHRINK_FAST_MILLI;
	if (queue_ms > QUEUE_HIGH_MS || delay_ms > DELAY_MAX_MS)
		return SHRINK_MILLI;
	return queue_ms < QUEUE_LOW_MS ? GROW_MILLI : 1000;
}

static void change(struct start_window *w, int64_t now_ms)
{
	int64_t factor = 1000;

	if (w->n_samples) {
		w->last_queue_ms = median(w->queue_ms, w->n_samples);
		factor = factor_by_queue(w->last_queue_ms,
					 median(w->delay_ms, w->n_samples));
		w->changed_ms = now_ms;
	}
	if (w->n_lost * LOST_DIVISOR > w->n_answered) {
		/* By half if all are lost (as DCTCP does with marks). */
		factor = MIN(factor, 1000) * (2 * w->n_answered - w->n_lost) /
			 (2 * w->n_answered);
		w->changed_ms = now_ms;
		w->loss_epoch_ms = now_ms;
	}
	w->scale_milli = CLAMP(w->scale_milli * factor / 1000,
			       START_WINDOW_SCALE_MIN, START_WINDOW_SCALE_MAX);
	begin_epoch(w, now_ms);
}

void start_window_answered(struct start_window *w,
			   const struct start_window_sent *sent,
			   const char *path, bool lost, int64_t now_ms)
{
	int64_t delay_ms = now_ms - sent->ms;
	int64_t queue_ms = lost ? 0 : queue_of(w, path, delay_ms, now_ms);

	/* A loss is known late, often in a later epoch. */
	if (sent->ms < (lost ? w->loss_epoch_ms : w->epoch_ms))
		return;
	/* A loss counts relative to the answers of late. */
	if (w->n_samples || w->n_lost || w->n_answered < SAMPLES_MAX)
		w->n_answered++;
	w->n_lost += lost;
	if (!lost && sent->loaded) {
		w->queue_ms[w->n_samples] = queue_ms;
		w->delay_ms[w->n_samples] = delay_ms;
		w->n_samples++;
	}
	if (w->n_samples == SAMPLES_MAX ||
	    (now_ms - w->epoch_ms >= EPOCH_MS &&
	     (w->n_samples >= SAMPLES_MIN || w->n_lost)))
		change(w, now_ms);
}
