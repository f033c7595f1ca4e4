/* Differences between reports of a worker. */
#include "fleet/relay_reports.h"

#include <string.h>
#include <talloc.h>

/* Workers whose reports are kept. All are dropped if there are more: whole
 * reports follow, and workers that left are forgotten. */
#define HELD_MAX 512

struct held {
	int64_t number;
	struct sched_report *report;
};

static void free_held(gpointer p)
{
	talloc_free(p);
}

void relay_reports_init(struct relay_reports *r)
{
	r->held = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					free_held);
}

void relay_reports_finish(struct relay_reports *r)
{
	g_hash_table_destroy(r->held);
}

int64_t relay_reports_number(const struct relay_reports *r, const char *worker)
{
	const struct held *h = g_hash_table_lookup(r->held, worker);

	return h ? h->number : 0;
}

void relay_reports_keep(struct relay_reports *r, const char *worker,
			int64_t number, const struct sched_report *report)
{
	struct held *h = talloc_zero(NULL, struct held);
	struct sched_report *copy = talloc_zero(h, struct sched_report);

	*copy = *report;
	copy->active = talloc_array(copy, struct sched_active,
				    MAX(report->n_active, 1));
	copy->ends =
		talloc_array(copy, struct sched_end, MAX(report->n_ends, 1));
	for (int32_t i = 0; i < report->n_active; i++)
		copy->active[i] = report->active[i];
	for (int32_t i = 0; i < report->n_ends; i++)
		copy->ends[i] = report->ends[i];
	h->number = number;
	h->report = copy;
	if (g_hash_table_size(r->held) >= HELD_MAX &&
	    !g_hash_table_contains(r->held, worker))
		g_hash_table_remove_all(r->held);
	g_hash_table_insert(r->held, g_strdup(worker), h);
}

static bool same_ref(const struct sched_ref *a, const struct sched_ref *b)
{
	return a->run == b->run && a->index == b->index && a->step == b->step &&
	       a->round == b->round && !strcmp(a->job, b->job);
}

static bool same_active(const void *a, const void *b)
{
	return same_ref(&((const struct sched_active *)a)->ref,
			&((const struct sched_active *)b)->ref);
}

static bool same_end(const void *a, const void *b)
{
	const struct sched_end *x = a;
	const struct sched_end *y = b;

	return x->seq == y->seq && same_ref(&x->ref, &y->ref) &&
	       x->reason == y->reason && !strcmp(x->checkpoint, y->checkpoint);
}

/* A list of entries of `size` bytes. */
struct list {
	const void *rows;
	int32_t n;
	size_t size;
	bool (*same)(const void *a, const void *b);
};

static const void *row_of(const struct list *l, int32_t i)
{
	return (const char *)l->rows + (size_t)i * l->size;
}

/* Returns the index in the list of the row, or -1. Looks from `from` on, then
 * before it: workers list their tasks in the same order each time. */
static int32_t find_row(const struct list *l, const void *row, int32_t from)
{
	for (int32_t k = 0; k < l->n; k++) {
		int32_t i = (from + k) % l->n;

		if (l->same(row_of(l, i), row))
			return i;
	}
	return -1;
}

/*
 * Compares two lists. Returns, for each row of the new one, its index in the
 * old one or -1; `moves` gets the rest. Of rows that are the same in one list,
 * the first counts, and the others are new.
 */
static int32_t *match(void *ctx, const struct list *old, const struct list *new,
		      struct relay_moves *moves)
{
	int32_t *found = talloc_array(ctx, int32_t, MAX(new->n, 1));
	bool *kept = talloc_zero_array(ctx, bool, MAX(old->n, 1));
	int32_t from = 0;

	*moves = (struct relay_moves){ 0 };
	for (int32_t i = 0; i < new->n; i++) {
		found[i] = old->n ? find_row(old, row_of(new, i), from) : -1;
		if (found[i] >= 0 && kept[found[i]])
			found[i] = -1;
		moves->n_added += found[i] < 0;
		if (found[i] < 0)
			continue;
		kept[found[i]] = true;
		from = (found[i] + 1) % old->n;
	}
	moves->removed = talloc_array(ctx, int32_t, MAX(old->n, 1));
	for (int32_t i = 0; i < old->n; i++) {
		if (!kept[i])
			moves->removed[moves->n_removed++] = i;
	}
	return found;
}

static struct list active_of(const struct sched_report *r)
{
	return (struct list){ r->active, r->n_active,
			      sizeof(struct sched_active), same_active };
}

static struct list ends_of(const struct sched_report *r)
{
	return (struct list){ r->ends, r->n_ends, sizeof(struct sched_end),
			      same_end };
}

static void diff_active(struct relay_delta *d, const struct sched_report *old,
			const struct sched_report *new)
{
	struct list x = active_of(old);
	struct list y = active_of(new);
	int32_t *found = match(d, &x, &y, &d->active_moves);
	int32_t n = 0;

	d->added_active = talloc_array(d, struct sched_active,
				       MAX(d->active_moves.n_added, 1));
	d->changed =
		talloc_array(d, struct relay_change, MAX(new->n_active, 1));
	for (int32_t i = 0; i < new->n_active; i++) {
		const struct sched_active *a = &new->active[i];
		const struct sched_active *b;
		bool same_checkpoint;

		if (found[i] < 0) {
			d->added_active[n++] = *a;
			continue;
		}
		b = &old->active[found[i]];
		same_checkpoint = !strcmp(a->checkpoint, b->checkpoint);
		if (a->percent == b->percent && a->gauge == b->gauge &&
		    same_checkpoint)
			continue;
		d->changed[d->n_changed++] = (struct relay_change){
			.index = found[i],
			.percent = a->percent,
			.gauge = a->gauge,
			.checkpoint = same_checkpoint ? NULL : a->checkpoint,
		};
	}
}

static void diff_ends(struct relay_delta *d, const struct sched_report *old,
		      const struct sched_report *new)
{
	struct list x = ends_of(old);
	struct list y = ends_of(new);
	int32_t *found = match(d, &x, &y, &d->end_moves);
	int32_t n = 0;

	d->added_ends =
		talloc_array(d, struct sched_end, MAX(d->end_moves.n_added, 1));
	for (int32_t i = 0; i < new->n_ends; i++) {
		if (found[i] < 0)
			d->added_ends[n++] = new->ends[i];
	}
}

struct relay_delta *relay_reports_diff(void *ctx, const struct relay_reports *r,
				       const char *worker, int64_t base,
				       const struct sched_report *report)
{
	const struct held *h = g_hash_table_lookup(r->held, worker);
	struct relay_delta *d;

	if (!h || !base || h->number != base)
		return NULL;
	d = talloc_zero(ctx, struct relay_delta);
	d->base = base;
	d->clock_ms = report->clock_ms;
	d->born_ms = report->born_ms;
	diff_active(d, h->report, report);
	diff_ends(d, h->report, report);
	return d;
}

/* Copies the rows of the base that remain to `out`. Returns their number, or -1
 * if the indexes don't fit. */
static int32_t copy_kept(void *out, const struct list *base,
			 const struct relay_moves *moves)
{
	int32_t next = 0; /* of the removed ones */
	int32_t n = 0;

	for (int32_t i = 0; i < base->n; i++) {
		if (next < moves->n_removed && moves->removed[next] == i)
			next++;
		else
			memcpy((char *)out + (size_t)n++ * base->size,
			       row_of(base, i), base->size);
	}
	return next == moves->n_removed ? n : -1;
}

static bool change_rows(struct sched_active *rows, int32_t n,
			const struct relay_delta *d)
{
	for (int32_t i = 0; i < d->n_changed; i++) {
		const struct relay_change *c = &d->changed[i];

		if (c->index < 0 || c->index >= n)
			return false;
		rows[c->index].percent = c->percent;
		rows[c->index].gauge = c->gauge;
		if (c->checkpoint)
			g_strlcpy(rows[c->index].checkpoint, c->checkpoint,
				  SCHED_CHECKPOINT_MAX);
	}
	return true;
}

struct sched_report *relay_reports_apply(void *ctx,
					 const struct relay_reports *r,
					 const char *worker,
					 const struct relay_delta *d)
{
	const struct held *h = g_hash_table_lookup(r->held, worker);
	struct sched_report *out;
	struct sched_report changed;
	struct list active;
	struct list ends;

	if (!h || h->number != d->base)
		return NULL;
	out = talloc_zero(ctx, struct sched_report);
	out->clock_ms = d->clock_ms;
	out->born_ms = d->born_ms;
	changed = *h->report;
	changed.active = talloc_memdup(out, h->report->active,
				       sizeof(struct sched_active) *
					       MAX(changed.n_active, 1));
	if (!change_rows(changed.active, changed.n_active, d))
		goto fail;
	active = active_of(&changed);
	ends = ends_of(&changed);
	out->active =
		talloc_array(out, struct sched_active,
			     changed.n_active + d->active_moves.n_added + 1);
	out->ends = talloc_array(out, struct sched_end,
				 changed.n_ends + d->end_moves.n_added + 1);
	out->n_active = copy_kept(out->active, &active, &d->active_moves);
	out->n_ends = copy_kept(out->ends, &ends, &d->end_moves);
	if (out->n_active < 0 || out->n_ends < 0)
		goto fail;
	for (int32_t i = 0; i < d->active_moves.n_added; i++)
		out->active[out->n_active++] = d->added_active[i];
	for (int32_t i = 0; i < d->end_moves.n_added; i++)
		out->ends[out->n_ends++] = d->added_ends[i];
	return out;
fail:
	talloc_free(out);
	return NULL;
}
