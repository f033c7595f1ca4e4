/* Calls to workers: each goes to a relay if there is one, else directly. */
#include "fleet/relay_int.h"

static void client_start(void *self, const struct wkr_target *to,
			 const struct wkr_start_cmd *cmd, wkr_start_cb done,
			 void *priv)
{
	struct relay_client *c = self;
	struct relay_call call = { .kind = RELAY_START,
				   .to = *to,
				   .ref = *cmd->ref,
				   .checkpoint = cmd->checkpoint,
				   .ticket = cmd->ticket };
	struct pending *p = relay_try(c, &call, cmd->payload, priv);

	if (p)
		p->started = done;
	else
		c->direct.ops->start(c->direct.self, to, cmd, done, priv);
}

static void client_stop(void *self, const struct wkr_target *to,
			const struct sched_ref *ref, wkr_ack_cb done,
			void *priv)
{
	struct relay_client *c = self;
	struct relay_call call = { .kind = RELAY_STOP, .to = *to, .ref = *ref };
	struct pending *p = relay_try(c, &call, NULL, priv);

	if (p)
		p->answered = done;
	else
		c->direct.ops->stop(c->direct.self, to, ref, done, priv);
}

static void client_pace(void *self, const struct wkr_target *to,
			const struct sched_ref *ref, int32_t percent,
			wkr_ack_cb done, void *priv)
{
	struct relay_client *c = self;
	struct relay_call call = {
		.kind = RELAY_PACE, .to = *to, .ref = *ref, .percent = percent
	};
	struct pending *p = relay_try(c, &call, NULL, priv);

	if (p)
		p->answered = done;
	else
		c->direct.ops->pace(c->direct.self, to, ref, percent, done,
				    priv);
}

static void client_poll(void *self, const struct wkr_target *to,
			int64_t durable_seq, int64_t wait_ms, wkr_poll_cb done,
			void *priv)
{
	struct relay_client *c = self;
	struct relay_call call = { .kind = RELAY_POLL,
				   .to = *to,
				   .durable_seq = durable_seq,
				   .wait_ms = wait_ms };
	struct pending *p = relay_try(c, &call, NULL, priv);

	if (p)
		p->polled = done;
	else
		c->direct.ops->poll(c->direct.self, to, durable_seq, wait_ms,
				    done, priv);
}

static void client_advise(void *self, const struct sched_ref *step,
			  const char *const *ids, int32_t n, wkr_advice_cb done,
			  void *priv)
{
	struct relay_client *c = self;

	c->direct.ops->advise(c->direct.self, step, ids, n, done, priv);
}

struct wkr relay_client_iface(struct relay_client *c)
{
	static const struct wkr_ops ops = { client_start, client_stop,
					    client_pace, client_poll,
					    client_advise };

	return (struct wkr){ &ops, c };
}
