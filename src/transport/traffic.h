/*
 * Counts what a process sends and receives, by purpose. Each user of a link or
 * of the HTTP client states the purpose of a message. Owned by one event loop.
 */
#ifndef TRAFFIC_H
#define TRAFFIC_H

#include <stddef.h>
#include <stdint.h>

/* X(id, name in the metrics). */
#define TRAFFIC_PURPOSES(X)                                                    \
	X(TRAFFIC_OTHER, "other")                                              \
	X(TRAFFIC_STARTS, "starts")                                            \
	/* Stops of tasks and changes of their speed. */                       \
	X(TRAFFIC_COMMANDS, "commands")                                        \
	/* Polls of workers and the reports that answer them. */               \
	X(TRAFFIC_REPORTS, "reports")                                          \
	X(TRAFFIC_WORKER_LIST, "worker_list")                                  \
	/* Jobs as they are accepted, loaded and followed. */                  \
	X(TRAFFIC_JOB_ROWS, "job_rows")                                        \
	/* What owners write. */                                               \
	X(TRAFFIC_COMMITS, "commits")                                          \
	/* Messages between an owner and a relay that carry no call. */        \
	X(TRAFFIC_RELAYS, "relays")

enum traffic_purpose {
#define X(id, name) id,
	TRAFFIC_PURPOSES(X)
#undef X
		TRAFFIC_N_PURPOSES
};

struct traffic_sum {
	int64_t bytes;
	int64_t calls; /* messages of any kind */
};

/* Totals; all zero is a valid start. */
struct traffic {
	struct traffic_sum out[TRAFFIC_N_PURPOSES];
	struct traffic_sum in[TRAFFIC_N_PURPOSES];
};

void traffic_sent(struct traffic *t, enum traffic_purpose purpose,
		  int64_t bytes);
void traffic_received(struct traffic *t, enum traffic_purpose purpose,
		      int64_t bytes);
/* Bytes of a message whose transfer failed before its end. */
void traffic_received_part(struct traffic *t, enum traffic_purpose purpose,
			   int64_t bytes);

/* Appends one line for each counter to the talloc string `text` and returns
 * it. `via` names the way that these messages go. */
char *traffic_append_metrics(char *text, const struct traffic *t,
			     const char *via);

#endif
