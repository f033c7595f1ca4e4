/*
 * Interface for requests to workers and to the policy service. The platform
 * implements it; wkr_links and shard_ctl use it.
 */
#ifndef WKR_H
#define WKR_H

#include "coordination/sched.h"

/* The recipient of a request, and what proves the sender's authority. */
struct wkr_target {
	const char *id;
	const char *address;
	const char *domain; /* failure domain of the recipient; NULL: unknown */
	int64_t fence; /* the worker rejects tokens below the highest seen */
	int64_t lease_end_clock_ms; /* on the worker's clock; 0: don't renew */
	bool fresh_connection; /* set if the last request got no answer */
	int64_t timeout_ms;
};

struct wkr_start_cmd {
	const struct sched_ref *ref;
	const char *payload;
	const char *checkpoint; /* NULL: start from the beginning */
	const char *ticket; /* issued by the policy service; NULL: none */
};

typedef void (*wkr_start_cb)(enum sched_start_result res, void *priv);
typedef void (*wkr_ack_cb)(bool answered, void *priv);
/* `report` is NULL if there was no usable answer. */
typedef void (*wkr_poll_cb)(const struct sched_report *report, void *priv);
/* Tickets for the workers that may run the step; valid during the call. `ids`
 * is NULL if there was no usable answer. */
typedef void (*wkr_advice_cb)(const char *const *ids,
			      const char *const *tickets, int32_t n,
			      int64_t valid_ms, void *priv);

/* Each callback is called exactly once, and never before the request returns.
 * Arguments are copied. */
struct wkr_ops {
	void (*start)(void *self, const struct wkr_target *to,
		      const struct wkr_start_cmd *cmd, wkr_start_cb done,
		      void *priv);
	void (*stop)(void *self, const struct wkr_target *to,
		     const struct sched_ref *ref, wkr_ack_cb done, void *priv);
	/* Limits a running task to `percent` of its full speed. */
	void (*pace)(void *self, const struct wkr_target *to,
		     const struct sched_ref *ref, int32_t percent,
		     wkr_ack_cb done, void *priv);
	/*
	 * Asks for the worker's status. Acknowledges ends up to `durable_seq`;
	 * the answer comes at the next end, at the latest after `wait_ms`.
	 */
	void (*poll)(void *self, const struct wkr_target *to,
		     int64_t durable_seq, int64_t wait_ms, wkr_poll_cb done,
		     void *priv);
	/* Asks the policy service which of the workers may run the step. */
	void (*advise)(void *self, const struct sched_ref *step,
		       const char *const *ids, int32_t n, wkr_advice_cb done,
		       void *priv);
};

struct wkr {
	const struct wkr_ops *ops;
	void *self;
};

#endif
