/* An in-memory store of versioned rows, with faults on demand; for tests. */
#ifndef FAKE_ROWS_H
#define FAKE_ROWS_H

#include <glib.h>
#include <tevent.h>

#include "state/rows.h"
#include "transport/tmr.h"

/* The fault injected into commits. */
enum fake_mode {
	FAKE_OK,
	FAKE_LOSE_ANSWER, /* takes effect; the outcome is unknown */
	FAKE_LOSE_REQUEST, /* has no effect; the outcome is unknown */
	FAKE_NO_EFFECT, /* has no effect, and the caller is told */
};

struct fake_rows {
	struct tmr_set *timers;
	GHashTable *rows; /* "table|part|key" to struct fake_row */
	int64_t version;
	int64_t oldest_kept; /* changes before this version are compacted */
	enum fake_mode mode;
	int32_t mode_commits; /* commits left that `mode` applies to */
	const char *refused_text; /* commits with it in a value fail; or NULL */
	const char
		*refused_part_prefix; /* commits to such parts fail; or NULL */
	const char *refused_table; /* reads of it fail; or NULL */
	const char *unanswered_table; /* reads of it aren't answered; or NULL */
	const char *stale_table; /* answers about it show no rows of late; or
				    NULL */
	int64_t stale_version; /* up to which they show rows */
	bool changes_fail; /* calls for changes do, without effect */
	int64_t changes_wait_ms; /* of the last call for changes */
	int64_t clock_ahead_ms; /* of the store's clock to the monotonic one */
	int32_t commits;
	int64_t reply_ms; /* time from a call to its answer; 0: 2 ms */
	int32_t page_rows; /* largest page of a read; 0: 3 rows */
	int32_t reads; /* calls that read a range */
	int32_t changes_calls;
};

void fake_rows_init(struct fake_rows *f, struct tmr_set *timers);
void fake_rows_destroy(struct fake_rows *f);
struct rows fake_rows_iface(struct fake_rows *f);

/* Writes a row as another client would; NULL deletes it. */
void fake_rows_put(struct fake_rows *f, const char *table, const char *part,
		   const char *key, const char *value);
const char *fake_rows_get(struct fake_rows *f, const char *table,
			  const char *part, const char *key);

#endif
