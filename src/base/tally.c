/* Counters per worker and decision in a hash table of fixed size. */
#include "base/tally.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* Most slots probed for a key; bounds the cost when the table is full. */
#define PROBES_MAX 8

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

bool tally_take(struct tally *t, struct tally_entry *out)
{
	for (int32_t i = 0; t->n_used && i < TALLY_SLOTS; i++) {
		struct tally_entry *e = &t->slots[i];

		if (!e->count)
			continue;
		*out = *e;
		e->count = 0;
		t->n_used--;
		return true;
	}
	if (!t->other)
		return false;
	*out = (struct tally_entry){ "other", "other", t->other };
	t->other = 0;
	return true;
}
