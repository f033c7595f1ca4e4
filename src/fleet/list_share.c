/* Runs a watch of the table on demand. */
#include "fleet/list_share.h"

#include <talloc.h>

#include "state/row_watch.h"

#define WAIT_MS 500
/* The table changes all the time; it is read at this interval, in ms: a quarter
 * of that at which owners ask. */
#define GAP_MS 100
/* Changes are not passed on if the store has not answered for this long, in ms.
 * The owner then asks the store itself. */
#define AGE_MAX_MS 1200
/* The watch ends when nobody has asked for so long, in ms. */
#define UNUSED_MAX_MS 10000
#define CHECK_INTERVAL_MS 1000

struct list_share {
	struct rows rows;
	struct tmr_set *timers;
	const struct clk *clk;
	const char *table;
	struct list_view view; /* valid with `watch` */
	list_view_same same;
	struct row_watch *watch; /* NULL: nobody asks */
	struct tmr *check_timer;
	int64_t synced_ms;
	int64_t asked_ms;
};

static void stop(struct list_share *s)
{
	if (!s->watch)
		return;
	TALLOC_FREE(s->watch);
	TALLOC_FREE(s->check_timer);
	list_view_finish(&s->view);
}

static int share_destructor(struct list_share *s)
{
	stop(s);
	return 0;
}

static void on_row(const struct rows_row *row, void *priv)
{
	struct list_share *s = priv;

	list_view_add(&s->view, row);
}

static void on_synced(int64_t version, int64_t store_ms, void *priv)
{
	struct list_share *s = priv;

	list_view_sync(&s->view, version, store_ms);
	s->synced_ms = clk_mono_ms(s->clk);
}

static const struct row_watch_ops watch_ops = { on_row, on_synced };

static void check(void *priv)
{
	struct list_share *s = priv;

	s->check_timer = NULL;
	if (clk_mono_ms(s->clk) - s->asked_ms >= UNUSED_MAX_MS)
		stop(s);
	else
		s->check_timer =
			tmr_after(s->timers, CHECK_INTERVAL_MS, check, s);
}

static void begin(struct list_share *s)
{
	struct row_watch_options opt = { .table = s->table,
					 .part = "",
					 .wait_ms = WAIT_MS,
					 .gap_ms = GAP_MS };

	list_view_init(&s->view, s->same);
	s->watch = row_watch_start(s, &s->rows, s->timers, &opt, &watch_ops, s);
	check(s);
}

struct list_share *list_share_start(void *ctx, const struct rows *rows,
				    struct tmr_set *timers,
				    const struct clk *clk, const char *table,
				    list_view_same same)
{
	struct list_share *s = talloc_zero(ctx, struct list_share);

	s->rows = *rows;
	s->timers = timers;
	s->clk = clk;
	s->table = table;
	s->same = same;
	talloc_set_destructor(s, share_destructor);
	return s;
}

bool list_share_collect(struct list_share *s, void *ctx, int64_t after,
			struct list_changes *out)
{
	s->asked_ms = clk_mono_ms(s->clk);
	if (!s->watch)
		begin(s);
	return s->view.synced && s->asked_ms - s->synced_ms <= AGE_MAX_MS &&
	       list_view_collect(ctx, &s->view, after, out);
}
