/* Queue of one group of targets and assignment of its requests to slots. */
#include "coordination/slot.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

/* Initial mean time of a request in a slot, until requests were measured. */
#define MEAN_INITIAL_US 20000
/* A new sample changes the mean by 1 / 2^MEAN_SHIFT of the difference. */
#define MEAN_SHIFT 4
/*
 * A target counts the time to a request's deadline from when it receives the
 * request, which may be this much later than when the group's owner sent it.
 */
#define HOLD_GRACE_MS 1000
/* A failed target is avoided for this long, doubled with each failure in a
 * row. */
#define AVOID_FIRST_MS 200
#define AVOID_MAX_MS 5000

void slot_init(struct slot_group *g, int64_t queue_max)
{
	memset(g, 0, sizeof(*g));
	g->queue_max = queue_max;
	g->mean_us = MEAN_INITIAL_US;
}

static struct slot_target *find_target(struct slot_group *g, const char *id)
{
	for (int i = 0; i < g->n_targets; i++) {
		if (!strcmp(g->targets[i].vm.id, id))
			return &g->targets[i];
	}
	return NULL;
}

static void remove_idle_unlisted(struct slot_group *g)
{
	int kept = 0;

	for (int i = 0; i < g->n_targets; i++) {
		if (!g->targets[i].listed && !g->targets[i].busy)
			continue;
		if (kept != i)
			g->targets[kept] = g->targets[i];
		kept++;
	}
	g->n_targets = kept;
}

void slot_set_targets(struct slot_group *g, const struct view_group *vg)
{
	for (int i = 0; i < g->n_targets; i++)
		g->targets[i].listed = false;
	for (int i = 0; vg && i < vg->n_targets; i++) {
		struct slot_target *t = find_target(g, vg->targets[i]->id);

		if (!t && g->n_targets == SLOT_TARGETS_MAX)
			continue;
		if (!t) {
			t = &g->targets[g->n_targets++];
			memset(t, 0, sizeof(*t));
		}
		t->vm = *vg->targets[i];
		t->listed = true;
	}
	remove_idle_unlisted(g);
}

/* Finds or adds a tenant, in place of an idle one if the table is full. Returns
 * NULL if no tenant is idle. */
static struct slot_tenant *get_tenant(struct slot_group *g, const char *name)
{
	struct slot_tenant *idle = NULL;
	struct slot_tenant *t;

	for (int i = 0; i < g->n_tenants; i++) {
		t = &g->tenants[i];
		if (!strcmp(t->name, name))
			return t;
		if (!t->queued)
			idle = t;
	}
	if (g->n_tenants < SLOT_TENANTS_MAX)
		idle = &g->tenants[g->n_tenants++];
	if (!idle)
		return NULL;
	memset(idle, 0, sizeof(*idle));
	snprintf(idle->name, sizeof(idle->name), "%s", name);
	CDS_INIT_LIST_HEAD(&idle->queue);
	return idle;
}

/* Returns the number of slots of all targets that accept requests. */
static int64_t usable_slots(const struct slot_group *g)
{
	int64_t n = 0;

	for (int i = 0; i < g->n_targets; i++) {
		const struct slot_target *t = &g->targets[i];

		if (t->listed && !t->vm.leaving)
			n += t->vm.slots;
	}
	return n;
}

/* Returns whether a request that is queued now would end by its deadline. */
static bool meets_deadline(const struct slot_group *g, const struct slot_req *r,
			   int64_t slots, int64_t now_ms)
{
	int64_t ahead = g->busy + g->queued + g->n_holds - slots;
	int64_t wait_us = 0;

	if (ahead >= 0)
		wait_us = (ahead + 1) * g->mean_us / slots;
	return now_ms * 1000 + wait_us + g->mean_us / 2 <=
	       r->deadline_ms * 1000;
}

static void insert_by_deadline(struct slot_tenant *t, struct slot_req *r)
{
	struct cds_list_head *at = t->queue.prev;

	while (at != &t->queue &&
	       cds_list_entry(at, struct slot_req, node)->deadline_ms >
		       r->deadline_ms)
		at = at->prev;
	cds_list_add(&r->node, at);
}

const char *slot_enqueue(struct slot_group *g, struct slot_req *r,
			 int64_t now_ms)
{
	struct slot_tenant *t;
	int64_t slots = usable_slots(g);

	if (g->closed)
		return "domain out or group moving";
	if (!slots)
		return "no target";
	if (g->queued >= g->queue_max)
		return "queue full";
	if (!meets_deadline(g, r, slots, now_ms))
		return "deadline cannot be met";
	t = get_tenant(g, r->tenant);
	if (!t)
		return "too many tenants";
	/* A tenant gains no credit from the time that it was idle. */
	if (!t->queued && t->served_us < g->virtual_time_us)
		t->served_us = g->virtual_time_us;
	r->queued = true;
	r->queued_ms = now_ms;
	insert_by_deadline(t, r);
	t->queued++;
	g->queued++;
	return NULL;
}

void slot_dequeue(struct slot_group *g, struct slot_req *r)
{
	struct slot_tenant *t = get_tenant(g, r->tenant);

	assert(r->queued && t);
	cds_list_del(&r->node);
	r->queued = false;
	t->queued--;
	g->queued--;
}

static void remove_expired_holds(struct slot_group *g, int64_t now_ms)
{
	for (int i = 0; i < g->n_holds;) {
		if (g->holds[i].until_ms <= now_ms)
			g->holds[i] = g->holds[--g->n_holds];
		else
			i++;
	}
}

static int64_t count_holds(const struct slot_group *g, const char *id,
			   int64_t now_ms)
{
	int64_t n = 0;

	for (int i = 0; i < g->n_holds; i++) {
		const struct slot_hold *h = &g->holds[i];

		/* A hold without target counts against every target. */
		if (h->until_ms > now_ms &&
		    (!*h->target || !strcmp(h->target, id)))
			n++;
	}
	return n;
}

static int64_t free_slots_of(const struct slot_group *g,
			     const struct slot_target *t, int64_t now_ms)
{
	int64_t n;

	if (!t->listed || t->vm.leaving)
		return 0;
	n = t->vm.slots - t->busy;
	if (g->n_holds)
		n -= count_holds(g, t->vm.id, now_ms);
	return n > 0 ? n : 0;
}

static struct slot_target *choose_target(struct slot_group *g, int64_t now_ms)
{
	struct slot_target *best = NULL;
	int64_t best_free = 0;
	bool best_avoided = true;

	for (int i = 0; i < g->n_targets; i++) {
		struct slot_target *t = &g->targets[i];
		int64_t n = free_slots_of(g, t, now_ms);
		bool avoided = t->avoid_until_ms > now_ms;

		if (n <= 0 || (avoided && !best_avoided))
			continue;
		if (best && avoided == best_avoided && n <= best_free)
			continue;
		best = t;
		best_free = n;
		best_avoided = avoided;
	}
	return best;
}

/* Fair queueing: returns the tenant that has used the least slot time. */
static struct slot_tenant *choose_tenant(struct slot_group *g)
{
	struct slot_tenant *best = NULL;

	for (int i = 0; i < g->n_tenants; i++) {
		struct slot_tenant *t = &g->tenants[i];

		if (t->queued && (!best || t->served_us < best->served_us))
			best = t;
	}
	return best;
}

struct slot_req *slot_bind(struct slot_group *g, int64_t now_ms)
{
	struct slot_tenant *tenant;
	struct slot_target *target;
	struct slot_req *r;

	if (g->closed || !g->queued || now_ms < g->hold_all_until_ms)
		return NULL;
	remove_expired_holds(g, now_ms);
	target = choose_target(g, now_ms);
	if (!target)
		return NULL;
	tenant = choose_tenant(g);
	r = cds_list_first_entry(&tenant->queue, struct slot_req, node);
	slot_dequeue(g, r);
	tenant->served_us += g->mean_us;
	if (tenant->served_us > g->virtual_time_us)
		g->virtual_time_us = tenant->served_us - g->mean_us;
	target->busy++;
	g->busy++;
	assert(target->busy <= target->vm.slots);
	r->bound = true;
	r->bound_ms = now_ms;
	snprintf(r->target, sizeof(r->target), "%s", target->vm.id);
	return r;
}

static void note_failure(struct slot_target *t, int64_t now_ms)
{
	int64_t avoid_ms = AVOID_FIRST_MS;

	for (int64_t i = 0; i < t->failures && avoid_ms < AVOID_MAX_MS; i++)
		avoid_ms *= 2;
	t->failures++;
	t->avoid_until_ms =
		now_ms + (avoid_ms < AVOID_MAX_MS ? avoid_ms : AVOID_MAX_MS);
}

void slot_release(struct slot_group *g, struct slot_req *r,
		  enum slot_outcome outcome, int64_t now_ms)
{
	struct slot_target *t = find_target(g, r->target);
	int64_t took_us = (now_ms - r->bound_ms) * 1000;

	assert(r->bound && t && t->busy > 0);
	r->bound = false;
	t->busy--;
	g->busy--;
	if (outcome == SLOT_DONE) {
		t->failures = 0;
		t->avoid_until_ms = 0;
		g->mean_us += (took_us - g->mean_us) >> MEAN_SHIFT;
		return;
	}
	note_failure(t, now_ms);
	if (outcome == SLOT_UNKNOWN)
		slot_hold(g, r->target, r->deadline_ms, false);
}

void slot_hold(struct slot_group *g, const char *target, int64_t until_ms,
	       bool inherited)
{
	struct slot_hold *h;

	until_ms += HOLD_GRACE_MS;
	if (g->n_holds == SLOT_HOLDS_MAX) {
		/* The table is full: hold all slots of the group instead. */
		if (g->hold_all_until_ms < until_ms)
			g->hold_all_until_ms = until_ms;
		return;
	}
	h = &g->holds[g->n_holds++];
	snprintf(h->target, sizeof(h->target), "%s", target);
	h->until_ms = until_ms;
	h->inherited = inherited;
}

void slot_clear_inherited(struct slot_group *g)
{
	for (int i = 0; i < g->n_holds;) {
		if (g->holds[i].inherited)
			g->holds[i] = g->holds[--g->n_holds];
		else
			i++;
	}
}

int slot_count_inherited(const struct slot_group *g)
{
	int n = 0;

	for (int i = 0; i < g->n_holds; i++)
		n += g->holds[i].inherited;
	return n;
}

struct slot_req *slot_dequeue_expired(struct slot_group *g, int64_t now_ms)
{
	for (int i = 0; g->queued && i < g->n_tenants; i++) {
		struct slot_tenant *t = &g->tenants[i];
		struct slot_req *r;

		if (!t->queued)
			continue;
		r = cds_list_first_entry(&t->queue, struct slot_req, node);
		if (r->deadline_ms > now_ms)
			continue;
		slot_dequeue(g, r);
		return r;
	}
	return NULL;
}

struct slot_req *slot_dequeue_any(struct slot_group *g)
{
	return g->queued ? slot_dequeue_expired(g, INT64_MAX) : NULL;
}

int64_t slot_count_free(const struct slot_group *g, int64_t now_ms)
{
	int64_t n = 0;

	if (g->closed || now_ms < g->hold_all_until_ms)
		return 0;
	for (int i = 0; i < g->n_targets; i++)
		n += free_slots_of(g, &g->targets[i], now_ms);
	return n;
}
