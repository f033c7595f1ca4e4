/*
 * The roster: all workers where tasks of this shard may run, kept in the store.
 * The list of workers doesn't suffice, since it omits workers whose entries
 * have expired.
 */
#include <string.h>

#include "coordination/sched_int.h"

static int32_t roster_row_of(const char *id)
{
	return (int32_t)(g_str_hash(id) % SCHED_ROSTER_ROWS);
}

/* Returns whether nothing runs at the worker and nothing will start there. */
static bool is_idle_and_draining(const struct sched_worker *w)
{
	return w->row.draining && w->reconciled && !sched_worker_has_runs(w) &&
	       w->seen_seq == w->durable_seq;
}

/* Returns whether tasks may run at the worker. A successor waits for the leases
 * of all workers on the roster, so that one that never answered is left out. */
static bool belongs_on_roster(const struct sched_worker *w)
{
	return w->heard && !is_idle_and_draining(w);
}

void sched_roster_update(struct sched *s, struct sched_worker *w)
{
	if (belongs_on_roster(w) == w->on_roster)
		return;
	w->on_roster = !w->on_roster;
	w->roster_stored = false;
	sched_roster_mark_dirty(s, w);
}

void sched_roster_mark_dirty(struct sched *s, const struct sched_worker *w)
{
	s->roster_dirty |= 1u << roster_row_of(w->row.id);
}

json_t *sched_roster_pack_row(struct sched *s, int32_t row)
{
	json_t *list = json_array();

	s->roster_dirty &= ~(1u << row);
	for (guint i = 0; i < s->worker_list->len; i++) {
		struct sched_worker *w = g_ptr_array_index(s->worker_list, i);
		json_t *entry;

		if (roster_row_of(w->row.id) != row || !belongs_on_roster(w))
			continue;
		w->roster_committing = true;
		entry = json_pack("[s,s,I]", w->row.id, w->row.address,
				  (json_int_t)w->row.born_ms);
		if (w->has_long_lease)
			json_array_append_new(entry, json_true());
		json_array_append_new(list, entry);
	}
	return list;
}

void sched_roster_stored(struct sched *s)
{
	for (guint i = 0; i < s->worker_list->len; i++) {
		struct sched_worker *w = g_ptr_array_index(s->worker_list, i);

		w->roster_stored |= w->roster_committing;
		w->roster_committing = false;
	}
}

/* Sets until when the worker may have leases of previous owners. */
static void restore_leases(struct sched *s, struct sched_worker *w,
			   int64_t born_ms, bool has_long_lease, int64_t now_ms)
{
	w->prev_lease_expiry_ms = sched_prev_lease_expiry_ms(s);
	if (has_long_lease) {
		w->long_lease_expiry_ms = s->prev_owner.long_leases_until_ms;
		w->has_long_lease = true;
	}
	/* It restarted after the row was written. */
	if (born_ms && born_ms < w->row.born_ms)
		sched_note_restart(s, w, now_ms);
}

static bool restore_entry(struct sched *s, const json_t *entry, int64_t now_ms)
{
	const char *id = json_string_value(json_array_get(entry, 0));
	const char *address = json_string_value(json_array_get(entry, 1));
	int64_t born_ms = json_integer_value(json_array_get(entry, 2));
	struct sched_worker_row row = { 0 };
	struct sched_worker *w;

	if (!id || !address || strlen(id) >= sizeof(row.id) ||
	    strlen(address) >= sizeof(row.address))
		return false;
	w = g_hash_table_lookup(s->workers, id);
	if (!w) {
		g_strlcpy(row.id, id, sizeof(row.id));
		g_strlcpy(row.address, address, sizeof(row.address));
		row.born_ms = born_ms;
		sched_worker_listed(s, &row, now_ms);
		w = g_hash_table_lookup(s->workers, id);
		/* The worker counts as listed only once the list of workers
		 * has it. */
		w->listed = false;
	} else if (strcmp(w->row.address, address)) {
		sched_roster_mark_dirty(s, w);
	}
	w->heard = true;
	w->on_roster = true;
	w->roster_stored = true;
	restore_leases(s, w, born_ms, json_is_true(json_array_get(entry, 3)),
		       now_ms);
	return true;
}

/* Any worker may be one of those that could not be read. */
static void await_all_workers(struct sched *s)
{
	s->roster_incomplete_until_ms = MAX(sched_prev_lease_expiry_ms(s),
					    s->prev_owner.long_leases_until_ms);
	for (guint i = 0; i < s->worker_list->len; i++) {
		struct sched_worker *w = g_ptr_array_index(s->worker_list, i);

		w->prev_lease_expiry_ms = s->roster_incomplete_until_ms;
	}
}

bool sched_roster_restore(struct sched *s, const json_t *list, int64_t now_ms)
{
	const json_t *entry;
	bool complete = json_is_array(list);
	size_t i;

	json_array_foreach(list, i, entry) complete &=
		restore_entry(s, entry, now_ms);
	if (!complete)
		await_all_workers(s);
	return complete;
}
