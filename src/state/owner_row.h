/* The row of a shard's owner, and its text. */
#ifndef OWNER_ROW_H
#define OWNER_ROW_H

#include <stdbool.h>
#include <stdint.h>

#define OWNER_VM_MAX 64

/* The owner's row: who owns the shard, and how many jobs wait in queues. */
struct owner_row {
	char vm[OWNER_VM_MAX];
	char life[32]; /* tells the lives of a VM's process apart */
	int64_t epoch; /* rises with each change of owner */
	int64_t seq; /* rises with each commit */
	bool released; /* handed over; nobody has to be waited for */
	char successor[OWNER_VM_MAX]; /* it goes first; "": nobody does */
	char successor_life[32];
	int64_t strongest_milli; /* processors of the strongest owner so far */
	int64_t lease_ms; /* longest lease that an owner grants; 0: not said */
	int64_t renews_ms; /* owners before may renew leases this much longer
			      than when this was written */
	char *pending; /* JSON object: queue to count; talloc child */
	char *handed; /* JSON for the successor, on a release; NULL: none */
};

/* NULL gives an empty row. `out` holds a former row, or zeros; its texts become
 * talloc children of `ctx`. */
void owner_row_parse(void *ctx, const char *text, struct owner_row *out);
/* Frees the texts, and leaves zeros. */
void owner_row_clear(struct owner_row *row);
/*
 * How long a VM leaves others the claim; `handicap_ms` is the strongest one's.
 * VMs that are weaker than some former owner wait longer, by the square of the
 * ratio: a strong one that starts at the same time comes before them, and they
 * still take over when there is none.
 */
int64_t owner_row_handicap_ms(const struct owner_row *row,
			      int64_t strength_milli, int64_t handicap_ms);
/* Free it with free(). */
char *owner_row_text(const struct owner_row *row);

#endif
