/* Mailboxes between threads: a wait-free queue with an eventfd that wakes the
 * receiver's event loop. */
#include "transport/mbx.h"

#include <stdint.h>
#include <sys/eventfd.h>
#include <talloc.h>
#include <unistd.h>

static void on_fd(struct tevent_context *ev, struct tevent_fd *fde,
		  uint16_t flags, void *priv)
{
	struct mbx *m = priv;
	struct cds_wfcq_node *node;
	uint64_t count;

	(void)ev;
	(void)fde;
	(void)flags;
	/* Resets the eventfd before dequeuing, so that an item posted after the
	 * last dequeue triggers another call. */
	if (read(m->fd, &count, sizeof(count)) < 0)
		return;
	while ((node = __cds_wfcq_dequeue_blocking(&m->head, &m->tail)))
		m->deliver(caa_container_of(node, struct mbx_item, node),
			   m->priv);
}

void mbx_init(struct mbx *m, void *ctx, struct tevent_context *ev,
	      void (*deliver)(struct mbx_item *item, void *priv), void *priv)
{
	cds_wfcq_init(&m->head, &m->tail);
	m->deliver = deliver;
	m->priv = priv;
	m->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	m->fde = tevent_add_fd(ev, ctx, m->fd, TEVENT_FD_READ, on_fd, m);
}

void mbx_finish(struct mbx *m)
{
	TALLOC_FREE(m->fde);
	close(m->fd);
}

void mbx_post(struct mbx *m, struct mbx_item *item)
{
	uint64_t one = 1;

	cds_wfcq_node_init(&item->node);
	cds_wfcq_enqueue(&m->head, &m->tail, &item->node);
	if (write(m->fd, &one, sizeof(one)) < 0)
		return;
}
