/*
 * Interface to a transactional store of versioned rows. Tables are divided into
 * parts; a transaction covers one part. Used by row_watch, owner, incarnation
 * and the fleet; implemented by platform/ and by the tests.
 */
#ifndef ROWS_H
#define ROWS_H

#include <stdbool.h>
#include <stdint.h>

enum rows_result {
	ROWS_OK,
	ROWS_CONFLICT, /* a condition failed; `rows` are the current ones */
	ROWS_NO_EFFECT, /* proved to have had no effect */
	ROWS_UNKNOWN, /* may have taken effect, or may do so later */
	ROWS_COMPACTED, /* the history asked for is no longer kept */
};

struct rows_row {
	const char *part;
	const char *key;
	const char *value; /* NUL-terminated text; NULL if unreadable */
	int64_t version; /* 0 in a conflict: no such row */
	bool deleted;
};

/* Valid only during the callback. */
struct rows_answer {
	enum rows_result result;
	int64_t version; /* newest of the store; next `after` for changes */
	int64_t now_ms; /* the store's monotonic clock */
	int64_t sent_ms; /* when the call was sent; 0: not known */
	bool more; /* the range has rows after the last one */
	int32_t n;
	struct rows_row *rows;
};

typedef void (*rows_done)(const struct rows_answer *ans, void *priv);

/* One row of a transaction. */
struct rows_change {
	const char *table;
	const char *key;
	const char *value; /* NULL if `remove` */
	bool remove;
	bool conditional;
	int64_t expected; /* version that the row must have; 0: no row */
};

/* All rows are in one part. Either all changes are made or none. */
struct rows_tx {
	const char *part;
	int32_t n;
	const struct rows_change *changes;
	bool fresh_connection; /* set if the last attempt got no answer */
};

/* Keys from `from` up to, but without, `to`; either may be NULL. */
struct rows_range {
	const char *table;
	const char *part;
	const char *from;
	const char *to;
	int32_t limit; /* 0: the store's own limit */
};

/* `done` is called once, never before the function returns. Arguments are
 * copied. */
struct rows_ops {
	void (*commit)(void *self, const struct rows_tx *tx, rows_done done,
		       void *priv);
	void (*read)(void *self, const struct rows_range *range, rows_done done,
		     void *priv);
	/* Answers once a row has changed after version `after`, or with no
	 * rows after `wait_ms`. */
	void (*changes)(void *self, const char *table, int64_t after,
			int64_t wait_ms, rows_done done, void *priv);
	/* Returns for how long no call has succeeded; 0 if the last one has. */
	int64_t (*silent_ms)(const void *self);
};

struct rows {
	const struct rows_ops *ops;
	void *self;
};

#endif
