/* Internals shared by relay_client.c and relay_calls.c. */
#ifndef RELAY_INT_H
#define RELAY_INT_H

#include "fleet/relay_client.h"
#include "fleet/relay_msg.h"
#include "state/row_watch.h"

/* A call that a relay has not answered. */
struct pending {
	uint64_t id;
	enum relay_kind kind;
	int64_t deadline_ms;
	char worker[SCHED_ID_MAX];
	wkr_start_cb started; /* the one of the kind is set */
	wkr_ack_cb answered;
	wkr_poll_cb polled;
	void (*listed)(const struct list_changes *list, void *priv);
	void *priv;
};

struct relay_client {
	struct tevent_context *ev;
	struct tmr_set *timers;
	const struct clk *clk;
	struct rows rows;
	struct wkr direct;
	struct relay_vm_row self;
	bool enabled;
	struct row_watch *watch;
	struct tmr *check_timer;
	int64_t checked_ms;
	GHashTable *relays; /* VM name to struct relay */
	GPtrArray *open; /* those with an open link */
	GHashTable *demand; /* domain to number of workers */
	int64_t update_due_ms;
	int64_t list_due_ms; /* the store is asked for the list until then */
	uint64_t last_id;
	struct relay_client_counts counts;
	struct traffic traffic;
};

/* Sends the call to a relay. Returns NULL if there is none for the worker. The
 * caller sets the callback. `payload` is that of a start, else NULL. */
struct pending *relay_try(struct relay_client *c, struct relay_call *call,
			  const char *payload, void *priv);

/* The same with a RELAY_LIST, to the relay that can do most. */
struct pending *relay_try_list(struct relay_client *c, struct relay_call *call);

#endif
