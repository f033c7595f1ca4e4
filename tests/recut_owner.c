/* The owners of a play: how they begin, commit, and are lost. */
#include "tests/recut.h"

#include <string.h>

#include "coordination/sched_int.h"

#define HEARTBEAT_MS 500
/* As on a site: others claim a silent owner's shard after the first, and it
 * renews leases for the second after that. */
#define SILENCE_MS 2000
#define IN_DOUBT_MAX_MS 3000

bool recut_chance(struct play *x, int one_in)
{
	return g_rand_int_range(x->rand, 0, one_in) == 0;
}

int64_t recut_draw(struct play *x, int64_t from, int64_t to)
{
	return g_rand_int_range(x->rand, (gint32)from, (gint32)to);
}

int64_t recut_wall_ms(int64_t now)
{
	return 1000000 + now;
}

struct sched_worker *recut_worker_at(struct play *x, int i)
{
	return fixture_worker(&x->p, x->world.workers[i].id);
}

void recut_add_job(struct play *x, int number, bool inherited, int64_t now)
{
	char id[16];
	json_t *progress;

	g_snprintf(id, sizeof(id), "j%d", number);
	progress = g_hash_table_lookup(x->store.progress, id);
	sched_job_add(&x->p.s, fixture_long_running(id, 1000, 1), progress, 5,
		      inherited, now, recut_wall_ms(now));
}

void recut_list_worker(struct play *x, int i, int64_t now)
{
	struct sched_worker_row row = { .pool = "p",
					.domain = "d",
					.rack = "r",
					.address = "1.2.3.4:5",
					.born_ms = x->entries[i].born_ms,
					.total = { 8000, 8000, 0 } };

	g_strlcpy(row.id, x->world.workers[i].id, sizeof(row.id));
	sched_worker_listed(&x->p.s, &row, now);
	x->entries[i].told_born_ms = row.born_ms;
}

static void list_all(struct play *x, int64_t now)
{
	for (int i = 0; i < WORLD_WORKERS; i++) {
		if (x->entries[i].born_ms)
			recut_list_worker(x, i, now);
	}
}

static void load_roster(struct play *x, int64_t now)
{
	for (int i = 0; i < SCHED_ROSTER_ROWS; i++) {
		if (x->store.roster[i])
			sched_roster_restore(&x->p.s, x->store.roster[i], now);
	}
}

static struct sched_prev_owner previous_owner(struct play *x, int64_t now)
{
	struct sched_prev_owner prev = {
		.renews_until_ms = now + x->store.previous_renews_ms,
		.lease_ms = FIXTURE_LEASE_MS,
		.long_leases_until_ms = now + x->store.long_leases_ms,
	};

	if (x->loss == OWNER_GONE)
		prev.renews_until_ms =
			MAX(prev.renews_until_ms,
			    x->store.written_ms + SILENCE_MS + IN_DOUBT_MAX_MS);
	return prev;
}

void recut_begin_owner(struct play *x, int64_t now)
{
	struct sched_prev_owner prev = previous_owner(x, now);
	bool list_first = recut_chance(x, 2);

	x->owner++;
	RECUT_TRACE(x,
		    "%lld: owner %d, former ones renew until %lld, long "
		    "leases until %lld",
		    (long long)now, x->owner, (long long)prev.renews_until_ms,
		    (long long)prev.long_leases_until_ms);
	x->has_owner = true;
	x->committing = false;
	x->seen_starts = 0;
	x->seen_stops = 0;
	x->renew_end_ms = prev.renews_until_ms;
	memset(x->poll_open, 0, sizeof(x->poll_open));
	memset(x->poll_due_ms, 0, sizeof(x->poll_due_ms));
	fixture_open(&x->p, x->owner, NULL);
	x->p.traces = x->traces;
	x->p.s.lim.lease_max_ms = WORLD_LEASE_MAX_MS;
	x->p.s.lim.call_max_ms = LATE_POLL_MS;
	x->p.s.taken_over_ms = now;
	if (x->owner > 1)
		sched_set_prev_owner(&x->p.s, &prev);
	for (int i = 0; i < WORLD_WORKERS; i++)
		x->entries[i].told_born_ms = 0;
	if (list_first)
		list_all(x, now);
	load_roster(x, now);
	for (int k = 0; k < x->n_jobs; k++)
		recut_add_job(x, k, true, now);
	if (!list_first)
		list_all(x, now);
	sched_handover_apply(&x->p.s, x->store.handover, now,
			     recut_wall_ms(now));
}

void recut_lose_owner(struct play *x, enum owner_loss loss, int64_t now)
{
	RECUT_TRACE(x, "%lld: owner %d lost, kind %d", (long long)now, x->owner,
		    loss);
	x->has_owner = false;
	x->loss = loss;
	x->loss_due_ms = INT64_MAX;
	json_decref(x->store.handover);
	x->store.handover = NULL;
	x->next_owner_ms = now + 900;
	if (loss == OWNER_GONE)
		x->next_owner_ms = x->store.written_ms + SILENCE_MS + 300;
	if (loss == OWNER_STOPPED) {
		x->store.handover =
			sched_handover_pack(&x->p.s, INT32_MAX, now);
		x->store.previous_renews_ms = 0;
		x->next_owner_ms = now + 200;
	}
	fixture_close(&x->p);
}

static void store_progress(struct play *x, struct sched_job *job)
{
	g_hash_table_replace(x->store.progress, g_strdup(job->spec->id),
			     sched_job_progress(job, SCHED_DETAIL_ALL));
	sched_progress_collected(&x->p.s, job);
	job->dirty = false;
}

void recut_commit(struct play *x, int64_t now)
{
	struct sched *s = &x->p.s;

	if (!s->dirty_jobs.length && !s->roster_dirty &&
	    now - x->store.written_ms < HEARTBEAT_MS)
		return;
	while (s->dirty_jobs.length)
		store_progress(x, g_queue_pop_head_link(&s->dirty_jobs)->data);
	for (int i = 0; i < SCHED_ROSTER_ROWS; i++) {
		if (!(s->roster_dirty & 1u << i))
			continue;
		json_decref(x->store.roster[i]);
		x->store.roster[i] = sched_roster_pack_row(s, i);
	}
	for (guint i = 0; i < s->worker_list->len; i++) {
		struct sched_worker *w = g_ptr_array_index(s->worker_list, i);

		w->commit_seq = w->seen_seq;
	}
	x->store.written_ms = now;
	x->store.long_leases_ms = MAX(0, sched_long_leases_until_ms(s) - now);
	x->store.previous_renews_ms = MAX(0, x->renew_end_ms - now);
	x->committing = true;
}

void recut_commit_answered(struct play *x, int64_t now)
{
	struct sched *s = &x->p.s;

	x->committing = false;
	sched_roster_stored(s);
	sched_progress_stored(s, now, recut_wall_ms(now));
	for (guint i = 0; i < s->worker_list->len; i++) {
		struct sched_worker *w = g_ptr_array_index(s->worker_list, i);

		w->durable_seq = MIN(w->commit_seq, w->seen_seq);
	}
}
