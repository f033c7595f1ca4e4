/*
 * Bounds the start commands that are queued or in flight, by how long their
 * answers take: a delay-based congestion control. It uses neither clock nor
 * network. The user states what is sent and answered, and when.
 *
 * As in TCP Vegas, the window grows while the queue on the way is short,
 * shrinks while it is long, and is kept in between. The queue is measured as
 * the difference between the answers' delay and the least delay of their path.
 */
#ifndef START_WINDOW_H
#define START_WINDOW_H

#include <glib.h>

#include "coordination/sched.h"

/* Answers by which the window is changed, at most. */
#define START_WINDOW_SAMPLES_MAX 64
/* The window relative to the initial one, in thousandths. The upper bound is
 * what is sent in 500 ms: more would be sent later than calls may take. */
#define START_WINDOW_SCALE_MIN 250
#define START_WINDOW_SCALE_MAX 5000

/* Of one start in flight. */
struct start_window_sent {
	int64_t ms; /* when it was sent */
	bool loaded; /* the window was about full then */
};

struct start_window {
	struct sched_start_room initial;
	struct sched_start_room used; /* queued or in flight */
	int64_t scale_milli;
	/* Answers to starts that were sent before this do not count: they tell
	 * about an earlier size of the window. */
	int64_t epoch_ms;
	int64_t loss_epoch_ms; /* the same for those that are lost */
	int64_t changed_ms; /* when the window was last filled, or starts lost
			     */
	GHashTable *paths; /* name to struct path of start_window.c */
	int32_t n_answered; /* in this epoch, those lost included */
	int32_t n_lost;
	int32_t n_samples;
	int64_t queue_ms[START_WINDOW_SAMPLES_MAX];
	int64_t delay_ms[START_WINDOW_SAMPLES_MAX];
	int64_t last_queue_ms; /* at the last change, for the metrics */
};

/* `initial` is the window of a link without queue; INT64_MAX means no limit and
 * stays. */
void start_window_init(struct start_window *w,
		       const struct sched_start_room *initial);
void start_window_finish(struct start_window *w);

/* Returns what may be added now; not above 0 if the window is full. */
struct sched_start_room start_window_room(struct start_window *w,
					  int64_t now_ms);

/* A start is queued, and will be removed once. */
void start_window_add(struct start_window *w, int64_t bytes);
void start_window_remove(struct start_window *w, int64_t bytes);

/* A start that was added is sent. */
struct start_window_sent start_window_send(const struct start_window *w,
					   int64_t now_ms);
/*
 * It was answered, or is given up: `lost` if there was no answer, or it came
 * too late. `path` names the way there, whose delay is that of its answers: a
 * failure domain, by a relay or directly. Call it once for each start sent.
 */
void start_window_answered(struct start_window *w,
			   const struct start_window_sent *sent,
			   const char *path, bool lost, int64_t now_ms);

#endif
