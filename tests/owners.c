/* Processes that may own a shard, without a scheduler. */
#include "tests/owners.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#define PATIENCE_MS 20000

void bench_open(struct bench *b)
{
	b->ev = tevent_context_init(NULL);
	b->timers = tmr_set_start(b->ev, b->ev);
	fake_rows_init(&b->store, b->timers);
}

void bench_close(struct bench *b)
{
	talloc_free(b->ev);
	fake_rows_finish(&b->store);
}

static void on_gained(const struct owner_row *previous, int64_t version,
		      void *priv)
{
	struct node *n = priv;

	(void)version;
	n->gained++;
	n->previous_epoch = previous->epoch;
	n->previous_lease_ms = previous->lease_ms;
	n->previous_renew_end_ms =
		n->owner ? owner_previous_renew_end_ms(n->owner) : 0;
	g_strlcpy(n->handover, previous->handover ? previous->handover : "",
		  sizeof(n->handover));
}

static void on_releasing(void *priv)
{
	((struct node *)priv)->releasing++;
}

static void on_lost(void *priv)
{
	((struct node *)priv)->lost++;
}

static int32_t on_collect(struct rows_change *out, int32_t max, void *priv)
{
	struct node *n = priv;

	if (!*n->value || max < 1)
		return 0;
	out[0] = (struct rows_change){ .table = "progress",
				       .key = "k",
				       .value = n->value };
	return 1;
}

static void on_committed(void *priv)
{
	((struct node *)priv)->committed++;
}

static void on_fill(struct owner_row *row, void *priv)
{
	(void)row;
	(void)priv;
}

static char *on_hand_over(void *ctx, void *priv)
{
	struct node *n = priv;

	return *n->own_handover ? talloc_strdup(ctx, n->own_handover) : NULL;
}

const struct owner_ops node_ops = { on_gained,	 on_releasing, on_lost,
				    on_collect,	 on_committed, on_fill,
				    on_hand_over };

void node_start(struct bench *b, struct node *n, const char *vm,
		const char *incarnation)
{
	static const struct owner_limits lim = { .poll_ms = 20,
						 .silence_ms = SILENCE_MS,
						 .heartbeat_ms = 50,
						 .commit_gap_ms = 5,
						 .claim_delay_ms = 1,
						 .cpu_milli = 500,
						 .stale_renew_ms =
							 STALE_RENEW_MS,
						 .lease_ms = LEASE_MS };
	struct rows rows = fake_rows_table(&b->store);

	memset(n, 0, sizeof(*n));
	n->owner = owner_start(b->ev, &rows, b->timers, &clk_system, 0, vm,
			       incarnation, &lim, &node_ops, n);
}

/* Turns the loop until the number is reached; fails if it never is. */
void await(struct bench *b, const int *number, int wanted)
{
	int64_t end = clk_mono_ms(&clk_system) + PATIENCE_MS;

	while (*number < wanted) {
		g_assert_cmpint(clk_mono_ms(&clk_system), <, end);
		tevent_loop_once(b->ev);
	}
}

void turn_for(struct bench *b, int64_t ms)
{
	int64_t end = clk_mono_ms(&clk_system) + ms;

	while (clk_mono_ms(&clk_system) < end)
		tevent_loop_once(b->ev);
}
