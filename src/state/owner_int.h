/* Internals shared by owner.c and owner_release.c. */
#ifndef STATE_OWNER_INT_H
#define STATE_OWNER_INT_H

#include "state/owner.h"

/* Rows in one transaction, the owner's included; the platform takes 100. */
#define OWNER_COMMIT_ROWS_MAX 90
/* A VM started within this time, in ms, counts as part of a rolling restart in
 * progress: a restart takes 3 s, and the next VMs stop 2 s later. */
#define OWNER_RESTART_WINDOW_MS 5000

enum owner_phase {
	OWNER_WATCHING,
	OWNER_CLAIMING,
	OWNER_OWNING,
	OWNER_RELEASED
};

struct owner {
	struct rows rows;
	struct tmr_set *timers;
	struct tmr *timer;
	struct tmr *claim_timer;
	const struct clk *clk;
	const struct owner_ops *ops;
	void *priv;
	struct owner_limits lim;
	int64_t started_ms;
	char part[16];
	char vm[OWNER_VM_MAX];
	char incarnation[32];
	enum owner_phase phase;
	struct owner_row row; /* last read, or as we write it */
	struct owner_row previous; /* the row that our claim replaced */
	int64_t version; /* of the row; 0: no row */
	bool row_read; /* at least once */
	int64_t changed_ms; /* when the row was last seen to change */
	int64_t read_sent_ms; /* when the last poll that read it was sent */
	int64_t written_after_ms; /* the row is younger; 0: unknown */
	int64_t answered_ms; /* when the store last answered a poll */
	/* The store's clock in its last answer, and when that call was sent. */
	int64_t store_ms;
	int64_t store_sent_ms;
	int64_t rtt_ms; /* shortest time that a poll took; 0: none yet */
	int64_t first_sent_ms; /* first attempt of the current commit */
	int64_t sent_ms; /* last attempt of the current commit */
	int64_t confirmed_ms; /* when the last confirmed commit was sent */
	int64_t previous_renew_end_ms; /* see owner.h, also for the next */
	int64_t previous_long_leases_end_ms;
	int64_t last_commit_ms;
	bool committing;
	bool outcome_unknown; /* an attempt may have been committed */
	bool commit_wanted; /* there are changes to collect */
	bool releasing; /* the next commit without a backlog releases */
	bool seeking; /* a read for owner_seek_stronger() is under way */
	int64_t seek_no_claim_ms; /* its argument */
	int64_t gained_store_ms; /* the store's clock when we took over */
	int64_t started_store_ms; /* the store's clock at our start; 0: unknown
				   */
	/* Epoch of the owner whose rows we have read, 0: none; and the one in
	 * the row of our incarnation that is being written. */
	int64_t ready_epoch;
	int64_t publishing_epoch;
	bool named; /* as the successor, by the row last read */
	bool publishing; /* our incarnation's row is being written */
	bool published; /* it was written, or is no longer wanted */
	bool stopping; /* never claims again */
	int64_t successor_wait_end_ms; /* of a stopping owner */
	bool has_successor; /* it releases when the one in `row` is ready */
	int64_t named_ms; /* when that one was named */
	struct tmr *wait_timer; /* set during that wait */
	int64_t no_claim_until_ms; /* after a yield; 0: release for good */
	int32_t n_changes;
	struct rows_change changes[OWNER_COMMIT_ROWS_MAX];
	char *value; /* the owner's row in the current commit */
};

void owner_schedule_commit(struct owner *o);
/* Stores the row of this incarnation if that is not done yet. */
void owner_publish(struct owner *o, int64_t store_now_ms);

#endif
