/* A store of rows in memory that loses answers on demand; for tests. */
#ifndef FAKE_ROWS_H
#define FAKE_ROWS_H

#include <glib.h>
#include <tevent.h>

#include "state/rows.h"
#include "transport/tmr.h"

/* What happens to the next commits. */
enum fake_mode {
	FAKE_OK,
	FAKE_LOSE_ANSWER, /* done, and not answered */
	FAKE_LOSE_REQUEST, /* not done, and not answered */
	FAKE_NO_EFFECT,
};

struct fake_rows {
	struct tmr_set *timers;
	GHashTable *rows; /* "table|part|key" to struct fake_row */
	int64_t version;
	int64_t oldest_kept; /* changes before this version are forgotten */
	enum fake_mode mode;
	int32_t mode_commits; /* commits that it still holds for */
	const char *refused_text; /* commits that hold it are refused; NULL */
	const char
		*refused_part_prefix; /* commits to parts that begin so, too */
	const char *refused_table; /* reads of it are refused; NULL: none */
	const char *unanswered_table; /* reads of it aren't answered; NULL */
	int64_t clock_ahead_ms; /* of the monotonic clock */
	int32_t commits;
};

void fake_rows_init(struct fake_rows *f, struct tmr_set *timers);
void fake_rows_destroy(struct fake_rows *f);
struct rows fake_rows_iface(struct fake_rows *f);

/* A change by somebody else; NULL deletes. */
void fake_rows_put(struct fake_rows *f, const char *table, const char *part,
		   const char *key, const char *value);
const char *fake_rows_get(struct fake_rows *f, const char *table,
			  const char *part, const char *key);

#endif
