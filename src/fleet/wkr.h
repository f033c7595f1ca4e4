/* Orders to workers, as a table of functions; see links. */
#ifndef WKR_H
#define WKR_H

#include "coordination/sched.h"

/* One worker, and what proves to it that the sender may give orders. */
struct wkr_target {
	const char *id;
	const char *address;
	int64_t fence;
	int64_t lease_end_clock_ms; /* on the worker's clock; 0: don't renew */
	bool fresh_connection; /* the last call got no answer */
	int64_t timeout_ms;
};

struct wkr_start_cmd {
	const struct sched_ref *ref;
	const char *payload;
	const char *checkpoint; /* NULL: from the beginning */
	const char *ticket; /* of the policy service; NULL: none */
};

typedef void (*wkr_start_cb)(enum sched_start_result res, void *priv);
typedef void (*wkr_ack_cb)(bool answered, void *priv);
/* NULL if there was no answer that could be used. */
typedef void (*wkr_poll_cb)(const struct sched_look *look, void *priv);
/* Tickets for the workers that may run the step; valid during the call. */
typedef void (*wkr_advice_cb)(const char *const *ids,
			      const char *const *tickets, int32_t n,
			      int64_t valid_ms, void *priv);

/* Each callback comes once, never from within the call. */
struct wkr_ops {
	void (*start)(void *self, const struct wkr_target *to,
		      const struct wkr_start_cmd *cmd, wkr_start_cb done,
		      void *priv);
	void (*stop)(void *self, const struct wkr_target *to,
		     const struct sched_ref *ref, wkr_ack_cb done, void *priv);
	void (*pace)(void *self, const struct wkr_target *to,
		     const struct sched_ref *ref, int32_t percent,
		     wkr_ack_cb done, void *priv);
	/* Acknowledges ends up to `durable_seq`; waits for the next end. */
	void (*poll)(void *self, const struct wkr_target *to,
		     int64_t durable_seq, int64_t wait_ms, wkr_poll_cb done,
		     void *priv);
	void (*advise)(void *self, const struct sched_ref *step,
		       const char *const *ids, int32_t n, wkr_advice_cb done,
		       void *priv);
};

struct wkr {
	const struct wkr_ops *ops;
	void *self;
};

#endif
