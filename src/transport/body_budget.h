/*
 * A budget of memory for request bodies in progress (bdg_). Bodies are charged
 * as their bytes arrive. If the budget is used up, stalled and new large bodies
 * are dropped first, so that small ones and those nearly received are served.
 * Uses no clock and no sockets: callers pass the time.
 */
#ifndef BODY_BUDGET_H
#define BODY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

struct bdg_limits {
	int64_t total_bytes;
	int64_t reserved_bytes; /* part of the total, for bodies that will end:
				 * small or nearly received ones */
	int64_t small_bytes; /* received, or announced and missing */
	int64_t stall_ms; /* without a byte for this long, a body is stalled */
};

/* A body; the caller owns it, and sets none of its members. */
struct bdg_body {
	struct bdg_body *prev;
	struct bdg_body *next;
	int64_t announced_bytes; /* -1: unknown */
	int64_t received_bytes;
	int64_t charged_bytes;
	int64_t progress_ms; /* when its last byte arrived */
	uint64_t number; /* in order of arrival */
	bool complete; /* no longer dropped */
};

struct bdg {
	struct bdg_limits limits;
	struct bdg_body *bodies;
	int64_t used_bytes;
	uint64_t last_number;
};

void bdg_init(struct bdg *b, const struct bdg_limits *limits);

/* Adds a body without charge. It has to be closed. */
void bdg_open(struct bdg *b, struct bdg_body *body, int64_t announced_bytes,
	      int64_t now_ms);
/* Notes that bytes arrived. */
void bdg_received(struct bdg_body *body, int64_t bytes, int64_t now_ms);
/* Charges `bytes` more, and returns NULL; or charges nothing and returns the
 * body to be dropped (closed) before the next attempt, which may be `body`. */
struct bdg_body *bdg_charge(struct bdg *b, struct bdg_body *body, int64_t bytes,
			    int64_t now_ms);
/* The body is fully received: it stays charged until it is closed. */
void bdg_complete(struct bdg_body *body);
/* Returns the charge. A body that is not open is left alone. */
void bdg_close(struct bdg *b, struct bdg_body *body);

#endif
