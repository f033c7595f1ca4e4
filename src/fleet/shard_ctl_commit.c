/* Rows that the owner of a shard writes: progress, roster, learned
 * interference. */
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/log.h"
#include "fleet/relay_client.h"
#include "fleet/shard_ctl_int.h"

/* Interval in ms at which learned interference is stored. A successor that
 * lacks the last interval learns it again in the same time. */
#define LEARNED_INTERVAL_MS 2000
/* Limit from which no more jobs are added to a commit. The store allows twice
 * as much. */
#define COMMIT_BYTES_MAX (512 * 1024)

/* Parts of the owner's row that the handover, the job counts, the rooms and the
 * grants of organisations and the overload may take: a row that the store
 * rejects would block all later commits. */
#define HANDOVER_PART 2
#define PENDING_PART 4
#define ROOMS_PART 8
#define GRANTS_PART 16
#define OVERLOAD_PART 16
/* Parts into which the memory left for jobs is divided: one for each VM, but a
 * job of the most tasks fits into one where VMs have 160 MB. On larger sites
 * VMs that are all crowded at once may exceed the limit together. */
#define JOB_ROOM_PARTS_MIN 16
#define JOB_ROOM_PARTS_MAX 32
/* Estimated size of one run in the handover, by which the number of runs is
 * limited: ids of 16 characters and four numbers. */
#define HANDOVER_RUN_BYTES 50

/* Takes ownership of `text` until the next commit is collected; returns it. */
static const char *own_text(struct shard_ctl *sc, char *text)
{
	g_ptr_array_add(sc->row_texts, text);
	return text;
}

/* Returns the progress row of the job, with as much detail as fits; the caller
 * frees it. Returns NULL if nothing fits: a row that the store rejects would
 * block all later commits. */
static char *progress_text(const struct shard_ctl *sc,
			   const struct sched_job *job)
{
	for (int detail = 0; detail < SCHED_DETAILS; detail++) {
		json_t *j = sched_job_progress(job, detail);
		char *text = json_dumps(j, JSON_COMPACT);

		json_decref(j);
		if ((int64_t)strlen(text) <= sc->f->set.row_bytes_max)
			return text;
		free(text);
	}
	log_event(LOG_ROW_UNUSABLE,
		  "table=" SHARD_CTL_PROGRESS_TABLE
		  " key=%s why=\"not written: it exceeds the row size limit\"",
		  job->spec->id);
	return NULL;
}

/* Adds a row if interference was learned since the last one and the interval
 * has passed. Returns the number of rows added. */
static int32_t collect_learned(struct shard_ctl *sc, struct rows_change *out)
{
	int64_t now = clk_mono_ms(sc->f->clk);
	json_t *j;
	char *text;

	if (sc->learned_saved == sc->sched.interfere.n_updates ||
	    now - sc->learned_saved_ms < LEARNED_INTERVAL_MS)
		return 0;
	sc->learned_saved = sc->sched.interfere.n_updates;
	sc->learned_saved_ms = now;
	j = interfere_pack(&sc->sched.interfere);
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	if ((int64_t)strlen(text) > sc->f->set.row_bytes_max) {
		log_event(LOG_ROW_UNUSABLE,
			  "table=" SHARD_CTL_LEARNED_TABLE
			  " key=" SHARD_CTL_LEARNED_KEY
			  " why=\"not written: %zu bytes exceed the row size "
			  "limit\"",
			  strlen(text));
		free(text);
		return 0;
	}
	out[0] = (struct rows_change){
		.table = SHARD_CTL_LEARNED_TABLE,
		.key = SHARD_CTL_LEARNED_KEY,
		.value = own_text(sc, text),
	};
	return 1;
}

/* Adds the rows of the roster that have changed; returns how many. */
static int32_t collect_roster(struct shard_ctl *sc, struct rows_change *out,
			      int32_t max)
{
	int32_t n = 0;

	for (int32_t i = 0; i < SCHED_ROSTER_ROWS && n < max; i++) {
		json_t *list;

		if (!(sc->sched.roster_dirty & 1u << i))
			continue;
		list = sched_roster_pack_row(&sc->sched, i);
		out[n++] = (struct rows_change){
			.table = SHARD_CTL_ROSTER_TABLE,
			.key = own_text(sc, g_strdup_printf("%02d", i)),
			.value = own_text(sc, json_dumps(list, JSON_COMPACT)),
		};
		json_decref(list);
	}
	return n;
}

int32_t shard_ctl_collect(struct rows_change *out, int32_t max, void *priv)
{
	struct shard_ctl *sc = priv;
	size_t bytes = 0;
	GHashTableIter it;
	gpointer value;
	int32_t n = 0;

	g_ptr_array_set_size(sc->row_texts, 0);
	while (n < max && bytes < COMMIT_BYTES_MAX &&
	       sc->sched.dirty_jobs.length) {
		struct sched_job *job =
			g_queue_pop_head_link(&sc->sched.dirty_jobs)->data;
		char *text = progress_text(sc, job);

		job->dirty = false;
		if (!text)
			continue;
		sched_progress_collected(&sc->sched, job);
		bytes += strlen(text);
		out[n++] = (struct rows_change){
			.table = SHARD_CTL_PROGRESS_TABLE,
			.key = own_text(sc, strdup(job->spec->id)),
			.value = own_text(sc, text),
		};
	}
	while (n < max && sc->removed_ids->len) {
		char *id = g_ptr_array_remove_index_fast(sc->removed_ids, 0);

		out[n++] = (struct rows_change){
			.table = SHARD_CTL_PROGRESS_TABLE,
			.key = own_text(sc, strdup(id)),
			.remove = true,
		};
		talloc_free(id);
	}
	if (sc->roster_loaded)
		n += collect_roster(sc, &out[n], max - n);
	if (n < max && sc->active)
		n += collect_learned(sc, &out[n]);
	if (sc->upkeep)
		n += upkeep_runner_collect(sc->upkeep, sc->row_texts, &out[n],
					   max - n);
	sc->collected_all = !sc->sched.dirty_jobs.length &&
			    !(sc->roster_loaded && sc->sched.roster_dirty);
	if (!sc->collected_all) {
		owner_request_commit(sc->owner);
		return n;
	}
	/* All dirty rows are in this commit, so it covers all ends seen. */
	g_hash_table_iter_init(&it, sc->sched.workers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct sched_worker *w = value;

		w->commit_seq = w->seen_seq;
	}
	return n;
}

void shard_ctl_committed(void *priv)
{
	struct shard_ctl *sc = priv;
	GHashTableIter it;
	gpointer value;

	sched_roster_stored(&sc->sched);
	if (sched_progress_stored(&sc->sched, clk_mono_ms(sc->f->clk),
				  clk_wall_ms(sc->f->clk)))
		shard_ctl_place_soon(sc);
	if (org_caps_committed(&sc->sched.caps))
		shard_ctl_place_soon(sc);
	if (sc->upkeep)
		upkeep_runner_committed(sc->upkeep);
	if (!sc->collected_all)
		return;
	g_hash_table_iter_init(&it, sc->sched.workers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct sched_worker *w = value;

		if (w->durable_seq < w->commit_seq &&
		    w->commit_seq <= w->seen_seq)
			w->durable_seq = w->commit_seq;
	}
	wkr_links_committed(sc->links);
}

/* Returns `j` as text, a talloc child of `ctx`, or NULL if it takes
 * `bytes_max` or more. Releases `j`. */
static char *text_if_fits(void *ctx, json_t *j, int64_t bytes_max)
{
	char *text = json_dumps(j, JSON_COMPACT);
	char *copy = NULL;

	if ((int64_t)strlen(text) < bytes_max)
		copy = talloc_strdup(ctx, text);
	free(text);
	json_decref(j);
	return copy;
}

/* Returns the room for long-running jobs by pool. */
static json_t *pack_rooms(const struct sched *s)
{
	json_t *rooms = json_object();
	GHashTableIter it;
	gpointer pool;
	gpointer value;

	g_hash_table_iter_init(&it, s->demands);
	while (g_hash_table_iter_next(&it, &pool, &value)) {
		const struct sched_pool_demand *d = value;

		json_object_set_new(
			rooms, pool,
			json_pack("[I,I]", (json_int_t)sched_lasting_room(d),
				  (json_int_t)d->freed_mean_milli_s));
	}
	return rooms;
}

static int64_t long_leases_until_ms(const struct shard_ctl *sc)
{
	if (!sc->roster_loaded)
		return owner_previous_long_leases_end_ms(sc->owner);
	return sched_long_leases_until_ms(&sc->sched);
}

/* Until tasks are scheduled, the row keeps the grants of the previous owner,
 * which bound what may be running. */
static void fill_grants(struct shard_ctl *sc, struct owner_row *row)
{
	json_t *grants;

	if (!sc->active)
		return;
	grants = org_caps_pack(&sc->sched.caps, &sc->sched.orgs, sc->releasing,
			       sc->f->set.row_bytes_max / GRANTS_PART,
			       clk_mono_ms(sc->f->clk));
	talloc_free(row->grants);
	row->grants = NULL;
	if (grants)
		row->grants = text_if_fits(sc, grants, INT64_MAX);
}

static void fill_job_room(const struct shard_ctl *sc, struct owner_row *row)
{
	int64_t vms = relay_client_known(sc->f->relay_client);
	struct sched_job_room room = sched_job_room(
		&sc->sched, CLAMP(vms, JOB_ROOM_PARTS_MIN, JOB_ROOM_PARTS_MAX));

	row->has_job_room = sc->sched.lim.memory_bytes > 0;
	row->small_job_room = room.small;
	row->large_job_room = room.large;
}

void shard_ctl_fill_row(struct owner_row *row, void *priv)
{
	struct shard_ctl *sc = priv;
	GHashTableIter it;
	gpointer queue;
	gpointer n;
	json_t *overload;
	json_t *pending;

	row->long_leases_ms =
		MAX(0, long_leases_until_ms(sc) - clk_mono_ms(sc->f->clk));
	if (sc->releasing && sc->f->store_clock_known)
		row->starts_end_ms = sc->released_ms + sc->f->store_offset_ms;
	fill_grants(sc, row);
	/* Until the jobs are loaded, the row keeps the counts of the previous
	 * owner, and their time. */
	if (!sc->jobs_loaded)
		return;
	pending = json_object();
	/* Queues that are not configured here are included: another VM may have
	 * a newer configuration and accept jobs for them. */
	g_hash_table_iter_init(&it, sc->sched.queued);
	while (g_hash_table_iter_next(&it, &queue, &n))
		json_object_set_new(pending, queue,
				    json_integer(GPOINTER_TO_INT(n)));
	talloc_free(row->pending);
	/* Counts that don't fit in the row are unknown to callers. */
	row->pending = text_if_fits(sc, pending,
				    sc->f->set.row_bytes_max / PENDING_PART);
	row->pending_ms = row->pending ? sc->jobs_store_ms : 0;
	row->pending_version = sc->jobs_version;
	talloc_free(row->rooms);
	row->rooms = text_if_fits(sc, pack_rooms(&sc->sched),
				  sc->f->set.row_bytes_max / ROOMS_PART);
	fill_job_room(sc, row);
	talloc_free(row->overload);
	overload = sched_org_pack_overload(&sc->sched, clk_mono_ms(sc->f->clk),
					   sc->jobs_store_ms);
	row->overload =
		overload
			? text_if_fits(sc, overload,
				       sc->f->set.row_bytes_max / OVERLOAD_PART)
			: NULL;
}

char *shard_ctl_handover(void *ctx, void *priv)
{
	struct shard_ctl *sc = priv;
	int64_t now = clk_mono_ms(sc->f->clk);
	int64_t waited_ms = now - sc->sched.taken_over_ms;
	int64_t bytes_max = sc->f->set.row_bytes_max / HANDOVER_PART;
	int64_t runs_max;
	char *text;

	/* Before the jobs are loaded, all that is known is the handover
	 * received from the previous owner. */
	if (!sc->active) {
		text = text_if_fits(
			ctx, sched_handover_forward(sc->handover, waited_ms),
			bytes_max);
	} else {
		runs_max = sc->f->set.row_bytes_max / 4 / HANDOVER_RUN_BYTES;
		text = text_if_fits(
			ctx,
			sched_handover_pack(&sc->sched, (int32_t)runs_max, now),
			bytes_max);
	}
	log_event(LOG_SHARD_HANDED, "shard=%d epoch=%lld bytes=%zu", sc->shard,
		  (long long)sc->sched.epoch, text ? strlen(text) : 0);
	return text;
}
