/*
 * The owner's calls to workers by way of relays: other VMs in the workers'
 * failure domains, listed in a table of the store. Implements struct wkr. A
 * worker without a connected relay in its domain is called directly. A call
 * over a link that fails has no answer.
 */
#ifndef RELAY_CLIENT_H
#define RELAY_CLIENT_H

#include <tevent.h>

#include "base/clk.h"
#include "fleet/relay_table.h"
#include "fleet/wkr.h"
#include "transport/tmr.h"
#include "transport/traffic.h"

struct relay_client;

/* Returns a talloc child of `ctx`, disabled. `self` is this VM, `direct` calls
 * workers from here. */
struct relay_client *
relay_client_start(void *ctx, struct tevent_context *ev, struct tmr_set *timers,
		   const struct clk *clk, const struct rows *rows,
		   const struct wkr *direct, const struct relay_vm_row *self);
struct wkr relay_client_iface(struct relay_client *c);
/* Returns the store's interface for a watch of the list of workers, whose
 * changes come through a relay if there is one that knows them. */
struct rows relay_client_list_rows(struct relay_client *c);

/*
 * Adjusts to the workers of the scheduler: uses relays once their calls may
 * take more of the processor or of the link than this VM has. Call it from time
 * to time.
 */
void relay_client_update(struct relay_client *c, const struct sched *s);
/* Closes all links; calls in flight have no answer. */
void relay_client_disable(struct relay_client *c);

struct relay_client_counts {
	int64_t relayed; /* calls */
	int64_t direct;
	int64_t links_lost;
	int64_t lists_relayed; /* calls for changes of the list of workers */
	int64_t lists_direct; /* ... that a relay could not answer */
};

const struct relay_client_counts *
relay_client_counts(const struct relay_client *c);
/* What was exchanged with relays; valid as long as the client. */
const struct traffic *relay_client_traffic(const struct relay_client *c);
/* Returns the number of open links. */
int32_t relay_client_links(const struct relay_client *c);
/* Returns the number of other VMs that relay or did; 0 if `c` is NULL. */
int32_t relay_client_known(const struct relay_client *c);

#endif
