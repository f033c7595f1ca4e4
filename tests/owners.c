/* Candidates for the ownership of one shard, without a scheduler. */
#include "tests/owners.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#define PATIENCE_MS 20000

void owner_fixture_open(struct owner_fixture *f)
{
	f->ev = tevent_context_init(NULL);
	f->timers = tmr_set_start(f->ev, f->ev);
	fake_rows_init(&f->store, f->timers);
}

void owner_fixture_close(struct owner_fixture *f)
{
	talloc_free(f->ev);
	fake_rows_destroy(&f->store);
}

static void on_gained(const struct owner_row *previous, int64_t version,
		      void *priv)
{
	struct candidate *c = priv;

	(void)version;
	c->gained++;
	c->previous_epoch = previous->epoch;
	c->previous_lease_ms = previous->lease_ms;
	c->previous_renew_end_ms =
		c->owner ? owner_previous_renew_end_ms(c->owner) : 0;
	c->long_leases_end_ms =
		c->owner ? owner_previous_long_leases_end_ms(c->owner) : 0;
	g_strlcpy(c->handover, previous->handover ? previous->handover : "",
		  sizeof(c->handover));
}

static void on_releasing(void *priv)
{
	((struct candidate *)priv)->releasing++;
}

static void on_lost(void *priv)
{
	((struct candidate *)priv)->lost++;
}

static int32_t on_collect(struct rows_change *out, int32_t max, void *priv)
{
	struct candidate *c = priv;

	if (!*c->value || max < 1)
		return 0;
	out[0] = (struct rows_change){ .table = "progress",
				       .key = "k",
				       .value = c->value };
	return 1;
}

static void on_committed(void *priv)
{
	((struct candidate *)priv)->committed++;
}

static void on_fill(struct owner_row *row, void *priv)
{
	const struct candidate *c = priv;

	row->long_leases_ms =
		MAX(0, c->long_leases_end_ms - clk_mono_ms(&clk_system));
}

static char *on_hand_over(void *ctx, void *priv)
{
	struct candidate *c = priv;

	return *c->own_handover ? talloc_strdup(ctx, c->own_handover) : NULL;
}

const struct owner_ops candidate_ops = { on_gained,    on_releasing, on_lost,
					 on_collect,   on_committed, on_fill,
					 on_hand_over, NULL };

void candidate_start(struct owner_fixture *f, struct candidate *c,
		     const char *vm, const char *incarnation)
{
	static const struct owner_limits lim = { .poll_ms = 20,
						 .silence_ms = SILENCE_MS,
						 .heartbeat_ms = 50,
						 .commit_gap_ms = 5,
						 .claim_delay_ms = 1,
						 .cpu_milli = 500,
						 .in_doubt_max_ms =
							 STALE_RENEW_MS,
						 .lease_ms = LEASE_MS };
	struct rows rows = fake_rows_iface(&f->store);

	memset(c, 0, sizeof(*c));
	c->owner = owner_start(f->ev, &rows, f->timers, &clk_system, 0, vm,
			       incarnation, &lim, &candidate_ops, c);
}

void wait_for_count(struct owner_fixture *f, const int *number, int wanted)
{
	int64_t end = clk_mono_ms(&clk_system) + PATIENCE_MS;

	while (*number < wanted) {
		g_assert_cmpint(clk_mono_ms(&clk_system), <, end);
		tevent_loop_once(f->ev);
	}
}

void run_loop_for(struct owner_fixture *f, int64_t ms)
{
	int64_t end = clk_mono_ms(&clk_system) + ms;

	while (clk_mono_ms(&clk_system) < end)
		tevent_loop_once(f->ev);
}
