/* Mailboxes: queues from any thread to the thread of one tevent loop. */
#ifndef MBX_H
#define MBX_H

#include <tevent.h>
#include <urcu/wfcqueue.h>

/* Embedded in the message that is sent. The receiver owns the message once it
 * is delivered. */
struct mbx_item {
	struct cds_wfcq_node node;
};

/* Owned by the caller. Must outlive all senders. */
struct mbx {
	struct cds_wfcq_head head;
	struct cds_wfcq_tail tail;
	struct tevent_fd *fde;
	int fd;
	void (*deliver)(struct mbx_item *item, void *priv);
	void *priv;
};

/* Called in the receiving thread, which owns `ctx` and `ev`. Each item is
 * passed to `deliver` in that thread. */
void mbx_init(struct mbx *m, void *ctx, struct tevent_context *ev,
	      void (*deliver)(struct mbx_item *item, void *priv), void *priv);
void mbx_finish(struct mbx *m);

/* Sends an item; may be called from any thread. */
void mbx_post(struct mbx *m, struct mbx_item *item);

#endif
