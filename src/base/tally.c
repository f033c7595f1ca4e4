/* Counters per worker and decision in a hash table of fixed size. */
#include "base/tally.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* Most slots probed for a key; bounds the cost when the table is full. */
#define PROBES_MAX 8

struct tally_named {
	const char *name;
	uint64_t count;
};

static bool has_key(const struct tally_entry *e, const struct tally_entry *key)
{
	return e->count && !strcmp(e->worker, key->worker) &&
	       !strcmp(e->decision, key->decision);
}

/* Returns the slot of `key`, or else a free slot, or else NULL. */
static struct tally_entry *find_slot(struct tally *t,
				     const struct tally_entry *key)
{
	uint64_t hash = XXH64(key->worker, strlen(key->worker),
			      XXH64(key->decision, strlen(key->decision), 0));
	struct tally_entry *free_slot = NULL;

	for (uint64_t i = 0; i < PROBES_MAX; i++) {
		struct tally_entry *e = &t->slots[(hash + i) % TALLY_SLOTS];

		if (has_key(e, key))
			return e;
		if (!e->count && !free_slot)
			free_slot = e;
	}
	return free_slot;
}

void tally_add(struct tally *t, const char *worker, const char *decision)
{
	struct tally_entry key = { 0 };
	struct tally_entry *e;

	snprintf(key.worker, sizeof(key.worker), "%s", worker);
	snprintf(key.decision, sizeof(key.decision), "%s", decision);
	e = find_slot(t, &key);
	if (!e) {
		t->other++;
		return;
	}
	if (!e->count) {
		*e = key;
		t->n_used++;
	}
	e->count++;
}

/* Adds to the counter of the same name, or to a new one while there is room. */
static bool add_named(struct tally_named *list, int32_t *n, int32_t max,
		      const char *name, uint64_t count)
{
	for (int32_t i = 0; i < *n; i++) {
		if (!strcmp(list[i].name, name)) {
			list[i].count += count;
			return true;
		}
	}
	if (*n == max)
		return false;
	list[*n].name = name;
	list[(*n)++].count = count;
	return true;
}

/* Moves the largest counters, up to `max` of them, to the front. */
static int32_t select_largest(struct tally_named *list, int32_t n, int32_t max)
{
	for (int32_t i = 0; i < n && i < max; i++) {
		for (int32_t k = i + 1; k < n; k++) {
			struct tally_named largest = list[k];

			if (largest.count <= list[i].count)
				continue;
			list[k] = list[i];
			list[i] = largest;
		}
	}
	return n < max ? n : max;
}

static void format_named(char *out, size_t size, const struct tally_named *list,
			 int32_t n)
{
	size_t used = 0;

	*out = '\0';
	for (int32_t i = 0; i < n && used < size; i++)
		used += (size_t)snprintf(out + used, size - used, "%s%s:%llu",
					 i ? "," : "", list[i].name,
					 (unsigned long long)list[i].count);
}

bool tally_take(struct tally *t, struct tally_summary *out)
{
	struct tally_named workers[TALLY_SLOTS];
	struct tally_named kinds[TALLY_KINDS_MAX];
	uint64_t other_kinds = t->other;
	int32_t n_workers = 0;
	int32_t n_kinds = 0;

	*out = (struct tally_summary){ .count = t->other };
	if (!t->n_used && !t->other)
		return false;
	for (int32_t i = 0; i < TALLY_SLOTS; i++) {
		const struct tally_entry *e = &t->slots[i];

		if (!e->count)
			continue;
		out->count += e->count;
		add_named(workers, &n_workers, TALLY_SLOTS, e->worker,
			  e->count);
		if (!add_named(kinds, &n_kinds, TALLY_KINDS_MAX - 1,
			       e->decision, e->count))
			other_kinds += e->count;
	}
	if (other_kinds)
		add_named(kinds, &n_kinds, TALLY_KINDS_MAX, "other",
			  other_kinds);
	out->workers = n_workers;
	format_named(out->kinds, sizeof(out->kinds), kinds, n_kinds);
	format_named(out->most, sizeof(out->most), workers,
		     select_largest(workers, n_workers, TALLY_MOST));
	memset(t, 0, sizeof(*t));
	return true;
}
