/* The row of a shard's owner, and its JSON text. */
#ifndef OWNER_ROW_H
#define OWNER_ROW_H

#include <stdbool.h>
#include <stdint.h>

#define OWNER_VM_MAX 64
#define OWNER_ROW_UNDATED (-1)

/* Says who owns the shard, and how many jobs wait in its queues. */
struct owner_row {
	char vm[OWNER_VM_MAX];
	char incarnation[32]; /* random id of the VM's process */
	int64_t epoch; /* incremented with each change of owner */
	int64_t seq; /* incremented with each commit */
	bool released; /* may be claimed at once */
	char successor[OWNER_VM_MAX]; /* VM that claims first; "": none */
	char successor_incarnation[32];
	bool stopping; /* the owner is, and has no successor yet */
	int64_t max_cpu_milli; /* largest CPU capacity of any owner so far */
	int64_t lease_ms; /* longest lease that any owner grants; 0: unknown */
	int64_t previous_renews_ms; /* earlier owners may renew leases for this
				       long after the row was written */
	int64_t long_leases_ms; /* workers that the roster marks may have leases
				   for this long after that, at most */
	/* JSON object of queue to job count, a talloc child; NULL: no counts
	 * that can be read. */
	char *pending;
	/* `pending` covers all jobs that were accepted by then, by the store's
	 * clock. A new owner keeps the counts of the previous one, and their
	 * time, until it has its own. 0: there are none yet;
	 * OWNER_ROW_UNDATED: the owner's release doesn't tell the time. */
	int64_t pending_ms;
	int64_t pending_version; /* of the store at that time */
	/* JSON object of pool to [room, freed], of the same time: the CPU that
	 * further long-running jobs may take, and how much becomes free in a
	 * second, in thousandths of a core. NULL: unknown. */
	char *rooms;
	/* Memory that each VM may fill with new jobs until the next row, of the
	 * same time, in bytes: with small jobs, and with others. */
	bool has_job_room;
	int64_t small_job_room;
	int64_t large_job_room;
	/* JSON object of organisation to its grant, see org_caps_pack(); NULL:
	 * none. A claim keeps those of the row that it replaces. */
	char *grants;
	/* JSON object of full pools and of organisations that exceed their
	 * rates, of the same time; see sched_org_pack_overload(). NULL: none,
	 * or unknown. */
	char *overload;
	/* The store's clock when an owner that gives the shard up stopped
	 * starting tasks; 0: it hasn't, or unknown. */
	int64_t starts_end_ms;
	char *handover; /* JSON for the successor, set on release, or NULL */
};

/* Parses `text`; NULL gives an empty row. `out` must hold an earlier row, which
 * is freed, or zeros. Its texts become talloc children of `ctx`. */
void owner_row_parse(void *ctx, const char *text, struct owner_row *out);
/* Frees the texts and zeroes the row. */
void owner_row_clear(struct owner_row *row);
/*
 * Returns how long a VM with `cpu_milli` delays its claim: `claim_delay_ms`, or
 * longer by the square of the ratio if some earlier owner had more. So a
 * stronger VM that starts at the same time claims first, and a weaker one still
 * takes over if there is none. Before the first owner the ratio is that to half
 * a core, and the delay at most 1.5 s.
 */
int64_t owner_row_claim_delay_ms(const struct owner_row *row, int64_t cpu_milli,
				 int64_t claim_delay_ms);
/* Returns the row as JSON, to be freed with free(). */
char *owner_row_text(const struct owner_row *row);

#endif
