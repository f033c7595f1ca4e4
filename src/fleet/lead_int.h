/* What the parts of a lead share; for them alone. */
#ifndef LEAD_INT_H
#define LEAD_INT_H

#include "fleet/lead.h"
#include "state/row_watch.h"

struct lead {
	struct fleet *f;
	int32_t shard;
	struct owner *owner;
	bool leading;
	/* The rest stands while leading. */
	void *term; /* talloc parent of what goes with the ownership */
	struct sched sched;
	struct links *links;
	struct keep *keep; /* waves of upkeep; of one shard only */
	struct row_watch *jobs;
	GHashTable *progress; /* job id to json_t, until the job is loaded */
	char *progress_next;
	json_t *handed; /* by the former owner; NULL: nothing */
	int64_t gained_version;
	int64_t jobs_version;
	bool roster_read; /* until then its rows are not ours to write */
	char *roster_next; /* where its next page begins; NULL: the first */
	bool loaded;
	bool workers_synced;
	bool opened;
	bool releasing; /* nothing starts any more */
	struct tmr *place_timer;
	int64_t place_took_ms; /* the last pass of placement */
	struct tmr *tick_timer;
	int64_t ticked_ms; /* when the last tick came */
	int64_t late_ms; /* moving mean of how late ticks are */
	int64_t cleaned_ms;
	bool cleaning; /* rows are being removed */
	int32_t clean_part; /* the one whose ended jobs are removed next */
	GPtrArray *texts; /* of the commit under way */
	GPtrArray *dropped; /* ids whose rows of progress are to go */
	bool all_collected;
	int64_t learned_ms; /* when what was learned was last written, ... */
	int64_t learned; /* ... and how far that was */
};

/* Leases, rounds and stalls are looked after this often, in ms. */
#define LEAD_TICK_MS 100
/* The shard whose owner gives orders about whole VMs. */
#define LEAD_KEEP_SHARD 0

/* The workers that may run something; SCHED_ROSTER_ROWS rows a shard. */
#define LEAD_ROSTER_TABLE "roster"
/* What the owner learned about interference; one row a shard. */
#define LEAD_LEARNED_TABLE "learned"
#define LEAD_LEARNED_KEY "interference"

/* Reads what the shard holds; lead_maybe_open follows once all is there. */
void lead_load(struct lead *l);
void lead_maybe_open(struct lead *l);
void lead_place_soon(struct lead *l);

/* What the owner's commits hold; see struct owner_ops. */
int32_t lead_collect(struct rows_change *out, int32_t max, void *priv);
void lead_committed(void *priv);
void lead_fill(struct owner_row *row, void *priv);
char *lead_hand_over(void *ctx, void *priv);
/* Removes the rows of jobs that ended long ago, a part at a time. */
void lead_clean(struct lead *l, int64_t now_ms);

#endif
