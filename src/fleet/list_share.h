/* Watches a table for owners, which ask this VM for the changes that matter, as
 * long as any asks. */
#ifndef LIST_SHARE_H
#define LIST_SHARE_H

#include "base/clk.h"
#include "fleet/list_view.h"
#include "transport/tmr.h"

struct list_share;

/* Returns a talloc child of `ctx`. `table` is not copied. */
struct list_share *list_share_start(void *ctx, const struct rows *rows,
				    struct tmr_set *timers,
				    const struct clk *clk, const char *table,
				    list_view_same same);

/* As list_view_collect(). Returns false, too, if the store has not confirmed
 * lately that these are all changes, as in the first second. */
bool list_share_collect(struct list_share *s, void *ctx, int64_t after,
			struct list_changes *out);

#endif
