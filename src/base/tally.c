/* Counts by two texts, in a table that doesn't grow. */
#include "base/tally.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* Slots tried for a key, so that a full table costs no more than this. */
#define PROBES 8

static bool is_same(const struct tally_entry *a, const struct tally_entry *b)
{
	return a->n && !strcmp(a->who, b->who) && !strcmp(a->what, b->what);
}

static struct tally_entry *slot_of(struct tally *t,
				   const struct tally_entry *key)
{
	uint64_t hash = XXH64(key->who, strlen(key->who),
			      XXH64(key->what, strlen(key->what), 0));
	struct tally_entry *hole = NULL;

	for (uint64_t i = 0; i < PROBES; i++) {
		struct tally_entry *e = &t->slots[(hash + i) % TALLY_SLOTS];

		if (is_same(e, key))
			return e;
		if (!e->n && !hole)
			hole = e;
	}
	return hole;
}

void tally_add(struct tally *t, const char *who, const char *what)
{
	struct tally_entry key = { 0 };
	struct tally_entry *e;

	snprintf(key.who, sizeof(key.who), "%s", who);
	snprintf(key.what, sizeof(key.what), "%s", what);
	e = slot_of(t, &key);
	if (!e) {
		t->other++;
		return;
	}
	if (!e->n) {
		*e = key;
		t->used++;
	}
	e->n++;
}

bool tally_take(struct tally *t, struct tally_entry *out)
{
	for (int32_t i = 0; t->used && i < TALLY_SLOTS; i++) {
		struct tally_entry *e = &t->slots[i];

		if (!e->n)
			continue;
		*out = *e;
		e->n = 0;
		t->used--;
		return true;
	}
	if (!t->other)
		return false;
	*out = (struct tally_entry){ "other", "other", t->other };
	t->other = 0;
	return true;
}
