/* Caps on what the organisations have running. */
#include "org/org_caps.h"

#include <stdlib.h>
#include <string.h>

#include "protocol/num.h"

/* A grant exceeds what may be running by this part of the cap: a commit takes
 * some tens of ms, and a successor counts the whole grant at first. */
#define HEADROOM_DIVISOR 4
/* A commit is requested once less than this part of the cap is left. */
#define LOW_DIVISOR 8
/* The whole cap is granted for this long after a task had to wait, in ms, so
 * that a burst waits for one commit and not for several. */
#define FULL_GRANT_MS 2000

enum { CPU, MEM, ACCELERATORS, DIMS };

/* No bound: the dimension has no cap, or the row no grant. */
#define UNBOUND INT64_MAX

/* The amounts of a struct place_resources, or bounds on them. */
struct amounts {
	int64_t of[DIMS];
};

static const struct amounts no_bounds = { { UNBOUND, UNBOUND, UNBOUND } };

struct org_book {
	char name[ORG_NAME_MAX];
	/* From the row that this owner replaced: bounds what earlier owners may
	 * have running. */
	struct amounts earlier;
	struct amounts found; /* the part of it that is in the account */
	struct amounts untracked; /* what may run beside the account */
	struct amounts durable; /* grant of the last confirmed commit */
	struct amounts writing; /* grant of the commit in flight */
	int64_t denied_ms; /* a task last waited for the grant; 0: never */
};

static struct amounts amounts_of(const struct place_resources *r)
{
	return (struct amounts){ { r->cpu_milli, r->mem_mib,
				   r->accelerators } };
}

static void add(struct amounts *to, const struct place_resources *r, int sign)
{
	struct amounts size = amounts_of(r);

	for (int d = 0; d < DIMS; d++)
		to->of[d] += sign * size.of[d];
}

void org_caps_init(struct org_caps *c, bool earlier)
{
	memset(c, 0, sizeof(*c));
	c->books = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	c->earlier = earlier;
	c->earlier_over = !earlier;
}

void org_caps_finish(struct org_caps *c)
{
	g_hash_table_destroy(c->books);
	c->books = NULL;
}

static struct org_book *find(const struct org_caps *c, const char *name)
{
	return g_hash_table_lookup(c->books, name);
}

static struct org_book *get(struct org_caps *c, const char *name)
{
	struct org_book *b = find(c, name);

	if (b)
		return b;
	b = g_new0(struct org_book, 1);
	g_strlcpy(b->name, name, sizeof(b->name));
	if (!c->earlier_over)
		b->earlier = no_bounds;
	b->durable = no_bounds;
	b->writing = no_bounds;
	g_hash_table_insert(c->books, b->name, b);
	return b;
}

/* Reads a grant. An amount that is no number, or negative, is no bound. */
static struct amounts unpack(const json_t *entry)
{
	struct amounts grant = no_bounds;

	for (int d = 0; d < DIMS; d++) {
		int64_t v;

		if (num_integer(json_array_get(entry, (size_t)d), 0, NUM_MAX,
				&v))
			grant.of[d] = v;
	}
	return grant;
}

void org_caps_set_earlier(struct org_caps *c, const json_t *grants, bool ended)
{
	const char *name;
	json_t *entry;

	if (c->earlier_over)
		return;
	c->earlier_ended = ended;
	json_object_foreach((json_t *)grants, name, entry)
	{
		struct org_book *b;

		if (!*name || strlen(name) >= ORG_NAME_MAX)
			continue;
		b = get(c, name);
		b->earlier = unpack(entry);
		/* The claim carried the grant over into this owner's row. */
		b->durable = b->earlier;
		b->writing = b->earlier;
	}
}

bool org_caps_note_earlier(struct org_caps *c, bool may_run, bool over)
{
	bool before = c->earlier;

	c->earlier = may_run && !c->earlier_over;
	c->earlier_over |= over && !c->earlier;
	/* The row's grants still contain it, or don't yet. */
	c->wants_commit |= before != c->earlier && g_hash_table_size(c->books);
	return before != c->earlier;
}

void org_caps_adjust_earlier(struct org_caps *c, const struct org_account *acc,
			     const struct place_resources *size, int sign)
{
	struct amounts amount = amounts_of(size);
	struct org_book *b;

	if (!acc)
		return;
	b = get(c, acc->name);
	add(&b->found, size, sign);
	/*
	 * An owner that did not release the shard may learn of the end, too,
	 * since a poll of its can be answered late, and start another task with
	 * that room. So the end leaves room only after a release.
	 */
	if (sign > 0 || !c->earlier_ended)
		return;
	for (int d = 0; d < DIMS; d++) {
		if (b->earlier.of[d] != UNBOUND)
			b->earlier.of[d] =
				MAX(0, b->earlier.of[d] - amount.of[d]);
	}
}

void org_caps_adjust_untracked(struct org_caps *c,
			       const struct org_account *acc,
			       const struct place_resources *size, int sign)
{
	if (acc)
		add(&get(c, acc->name)->untracked, size, sign);
}

/* Returns what may be running; UNBOUND if that is not known. */
static int64_t counted(const struct org_caps *c, const struct org_book *b,
		       const struct org_account *acc, int d)
{
	int64_t used = amounts_of(&acc->used).of[d];
	int64_t earlier = b && c->earlier ? b->earlier.of[d] : 0;

	if (!b)
		return c->earlier ? UNBOUND : used;
	if (earlier == UNBOUND)
		return UNBOUND;
	/* Runs of earlier owners that were found are part of the bound. */
	return used + MAX(0, earlier - b->found.of[d]) + b->untracked.of[d];
}

/* Returns the grant that a successor finds at least. */
static int64_t certain_grant(const struct org_book *b, int d)
{
	return b ? MIN(b->durable.of[d], b->writing.of[d]) : UNBOUND;
}

bool org_cap_is_set(const struct place_resources *cap)
{
	return cap->cpu_milli > 0 || cap->mem_mib > 0 || cap->accelerators > 0;
}

bool org_cap_allows(const struct place_resources *cap,
		    const struct place_resources *size, int64_t n)
{
	struct amounts max = amounts_of(cap);
	struct amounts each = amounts_of(size);

	for (int d = 0; d < DIMS; d++) {
		if (max.of[d] > 0 && each.of[d] * n > max.of[d])
			return false;
	}
	return true;
}

static bool has_cap(const struct org_account *acc)
{
	return acc && acc->def && org_cap_is_set(&acc->def->cap);
}

/* Returns what keeps the tasks from starting, by one resource. */
static enum org_wait check(const struct org_caps *c, const struct org_book *b,
			   const struct org_account *acc, int64_t added, int d)
{
	int64_t cap = amounts_of(&acc->def->cap).of[d];
	int64_t own = amounts_of(&acc->used).of[d];
	int64_t all = counted(c, b, acc, d);

	if (cap <= 0)
		return ORG_WAIT_NONE;
	if (own + added > cap)
		return ORG_WAIT_CAP;
	if (all == UNBOUND || all + added > cap)
		return ORG_WAIT_EARLIER;
	return all + added > certain_grant(b, d) ? ORG_WAIT_GRANT
						 : ORG_WAIT_NONE;
}

/* Returns whether a grant that is below the cap is nearly used up. */
static bool is_low(const struct org_caps *c, const struct org_book *b,
		   const struct org_account *acc, int d)
{
	int64_t cap = amounts_of(&acc->def->cap).of[d];
	int64_t grant = certain_grant(b, d);

	return cap > 0 && grant < cap &&
	       grant - counted(c, b, acc, d) < cap / LOW_DIVISOR;
}

enum org_wait org_caps_ask(struct org_caps *c, const struct org_account *acc,
			   const struct place_resources *size, int64_t n,
			   int64_t now_ms)
{
	struct amounts each = amounts_of(size);
	enum org_wait worst = ORG_WAIT_NONE;
	struct org_book *b;

	if (!has_cap(acc))
		return ORG_WAIT_NONE;
	if (c->config_held)
		return ORG_WAIT_CONFIG;
	b = get(c, acc->name);
	for (int d = 0; d < DIMS; d++) {
		enum org_wait wait = check(c, b, acc, each.of[d] * n, d);

		/* The first ones are the more lasting ones. */
		if (wait && (!worst || wait < worst))
			worst = wait;
	}
	if (worst == ORG_WAIT_GRANT) {
		b->denied_ms = now_ms;
		c->denied = true;
		c->wants_commit = true;
	}
	for (int d = 0; d < DIMS && !worst; d++)
		c->wants_commit |= is_low(c, b, acc, d);
	return worst;
}

int64_t org_caps_fitting(const struct org_caps *c,
			 const struct org_account *acc,
			 const struct place_resources *more,
			 const struct place_resources *size, int64_t n)
{
	struct amounts each = amounts_of(size);
	struct amounts beside = amounts_of(more);
	const struct org_book *b;

	if (!has_cap(acc))
		return n;
	b = find(c, acc->name);
	for (int d = 0; d < DIMS; d++) {
		int64_t cap = amounts_of(&acc->def->cap).of[d];
		int64_t all = counted(c, b, acc, d);
		int64_t left;

		/* Unknown for a while only: not a wait for the cap. */
		if (all == UNBOUND)
			all = amounts_of(&acc->used).of[d];
		left = cap - all - beside.of[d];
		if (cap > 0 && each.of[d] > 0)
			n = MIN(n, MAX(0, left) / each.of[d]);
	}
	return n;
}

/* Returns the grant for the next row. */
static struct amounts grant_of(const struct org_caps *c,
			       const struct org_book *b,
			       const struct org_account *acc, bool exact,
			       int64_t now_ms)
{
	bool full = b->denied_ms && now_ms - b->denied_ms < FULL_GRANT_MS;
	struct amounts grant;

	for (int d = 0; d < DIMS; d++) {
		int64_t cap = amounts_of(&acc->def->cap).of[d];
		int64_t all = counted(c, b, acc, d);

		grant.of[d] = cap > 0 ? all : UNBOUND;
		if (cap <= 0 || all == UNBOUND || all >= cap || exact)
			continue;
		grant.of[d] =
			full ? cap : MIN(cap, all + cap / HEADROOM_DIVISOR);
	}
	return grant;
}

static bool is_bound(const struct amounts *a)
{
	for (int d = 0; d < DIMS; d++) {
		if (a->of[d] != UNBOUND)
			return true;
	}
	return false;
}

static json_t *pack(const struct amounts *grant)
{
	json_t *entry = json_array();

	for (int d = 0; d < DIMS; d++)
		json_array_append_new(entry,
				      json_integer(grant->of[d] == UNBOUND
							   ? -1
							   : grant->of[d]));
	return entry;
}

/* Returns the length of the entry in the row's text. */
static int64_t entry_bytes(const char *name, const json_t *entry)
{
	json_t *alone = json_pack("{s:O}", name, entry);
	char *text = json_dumps(alone, JSON_COMPACT);
	int64_t len = (int64_t)strlen(text);

	free(text);
	json_decref(alone);
	return len;
}

json_t *org_caps_pack(struct org_caps *c, const struct org_accounts *a,
		      bool exact, int64_t bytes_max, int64_t now_ms)
{
	json_t *grants = NULL;
	GHashTableIter it;
	gpointer value;

	c->wants_commit = false;
	g_hash_table_iter_init(&it, c->books);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct org_book *)value)->writing = no_bounds;
	g_hash_table_iter_init(&it, a->table);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct org_account *acc = value;
		struct org_book *b;
		struct amounts grant;
		json_t *entry;

		if (!has_cap(acc))
			continue;
		b = get(c, acc->name);
		grant = grant_of(c, b, acc, exact, now_ms);
		if (!is_bound(&grant))
			continue;
		entry = pack(&grant);
		bytes_max -= entry_bytes(acc->name, entry);
		/* A successor holds back those that don't fit. */
		if (bytes_max <= 0) {
			json_decref(entry);
			break;
		}
		b->writing = grant;
		if (!grants)
			grants = json_object();
		json_object_set_new(grants, acc->name, entry);
	}
	return grants;
}

bool org_caps_committed(struct org_caps *c)
{
	bool denied = c->denied;
	GHashTableIter it;
	gpointer value;

	c->denied = false;

	g_hash_table_iter_init(&it, c->books);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct org_book *b = value;

		b->durable = b->writing;
	}
	return denied;
}

static int64_t figure(int64_t v)
{
	return v == UNBOUND ? -1 : v;
}

void org_caps_figures(const struct org_caps *c, const struct org_account *acc,
		      struct org_caps_figures *out)
{
	const struct org_book *b = find(c, acc->name);

	out->counted_cpu_milli = figure(counted(c, b, acc, CPU));
	out->grant_cpu_milli = figure(certain_grant(b, CPU));
	out->untracked_cpu_milli = b ? b->untracked.of[CPU] : 0;
}

const char *org_wait_name(enum org_wait wait)
{
	static const char *const names[] = {
		[ORG_WAIT_NONE] = "none",	[ORG_WAIT_CAP] = "cap",
		[ORG_WAIT_EARLIER] = "earlier", [ORG_WAIT_GRANT] = "grant",
		[ORG_WAIT_CONFIG] = "config",
	};

	return names[wait];
}
