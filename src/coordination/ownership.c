/* Assignment of shards to schedulers. */
#include "coordination/ownership.h"

#include <stdio.h>
#include <string.h>

void ownership_init(struct ownership *o, const char *self, int64_t incarnation,
		    int n_shards, int owned_max, int64_t lease_ms)
{
	memset(o, 0, sizeof(*o));
	snprintf(o->self, sizeof(o->self), "%s", self);
	o->incarnation = incarnation;
	o->n_shards = n_shards;
	o->owned_max = owned_max;
	o->lease_ms = lease_ms;
}

static const struct ownership_scheduler *
find_scheduler(const struct ownership *o, const char *id)
{
	for (int i = 0; i < o->n_schedulers; i++) {
		if (!strcmp(o->schedulers[i].id, id))
			return &o->schedulers[i];
	}
	return NULL;
}

void ownership_observe_scheduler(struct ownership *o, const char *id,
				 int64_t incarnation, int64_t count,
				 bool leaving, int64_t now_ms)
{
	struct ownership_scheduler *sd =
		(struct ownership_scheduler *)find_scheduler(o, id);

	if (!sd && o->n_schedulers == OWNERSHIP_SCHEDULERS_MAX)
		return;
	if (!sd) {
		sd = &o->schedulers[o->n_schedulers++];
		memset(sd, 0, sizeof(*sd));
		snprintf(sd->id, sizeof(sd->id), "%s", id);
		sd->changed_ms = now_ms;
	}
	if (sd->count != count || sd->incarnation != incarnation)
		sd->changed_ms = now_ms;
	sd->count = count;
	sd->incarnation = incarnation;
	sd->leaving = leaving;
}

void ownership_observe_shard(struct ownership *o, int shard, const char *owner,
			     int64_t incarnation, int64_t epoch, int64_t row)
{
	struct ownership_shard *s;

	if (shard < 0 || shard >= o->n_shards)
		return;
	s = &o->shards[shard];
	snprintf(s->owner, sizeof(s->owner), "%s", owner);
	s->incarnation = incarnation;
	s->epoch = epoch;
	s->row = row;
}

static bool is_alive(const struct ownership *o,
		     const struct ownership_scheduler *sd, int64_t now_ms)
{
	return now_ms - sd->changed_ms < o->lease_ms;
}

bool ownership_owns(const struct ownership *o, int shard)
{
	const struct ownership_shard *s = &o->shards[shard];

	return s->row && !strcmp(s->owner, o->self) &&
	       s->incarnation == o->incarnation;
}

/* A shard may be claimed if its owner released it, restarted, or did not update
 * its liveness row for a lease. */
static bool is_free(const struct ownership *o, const struct ownership_shard *s,
		    int64_t now_ms)
{
	const struct ownership_scheduler *sd;

	if (!s->row || !*s->owner)
		return true;
	sd = find_scheduler(o, s->owner);
	if (!sd)
		return true;
	return sd->incarnation != s->incarnation || !is_alive(o, sd, now_ms);
}

/* Returns the number of schedulers that share the shards; at least 1, for this
 * one. */
static int count_alive(const struct ownership *o, int64_t now_ms)
{
	int n = 0;

	for (int i = 0; i < o->n_schedulers; i++) {
		const struct ownership_scheduler *sd = &o->schedulers[i];

		n += !sd->leaving && is_alive(o, sd, now_ms);
	}
	return n > 0 ? n : 1;
}

static int count_owned(const struct ownership *o)
{
	int n = 0;

	for (int i = 0; i < o->n_shards; i++)
		n += ownership_owns(o, i);
	return n;
}

static enum ownership_action release_one(const struct ownership *o, int *shard)
{
	for (int i = 0; i < o->n_shards; i++) {
		if (!ownership_owns(o, i))
			continue;
		*shard = i;
		return OWNERSHIP_RELEASE;
	}
	return OWNERSHIP_NO_CHANGE;
}

enum ownership_action ownership_decide(const struct ownership *o,
				       int64_t now_ms, int *shard)
{
	int alive = count_alive(o, now_ms);
	int share = (o->n_shards + alive - 1) / alive;
	int owned = count_owned(o);
	/* Different schedulers start at different shards, so that their claims
	 * seldom collide. */
	int first = (int)((uint64_t)o->incarnation % (uint64_t)o->n_shards);

	if (o->leaving)
		return release_one(o, shard);
	if (share > o->owned_max)
		share = o->owned_max;
	if (owned > share)
		return release_one(o, shard);
	for (int k = 0; owned < share && k < o->n_shards; k++) {
		int i = (first + k) % o->n_shards;

		if (ownership_owns(o, i) || !is_free(o, &o->shards[i], now_ms))
			continue;
		*shard = i;
		return OWNERSHIP_CLAIM;
	}
	return OWNERSHIP_NO_CHANGE;
}
