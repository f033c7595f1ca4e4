/*
 * Main program of the entry daemon: starts the modules, applies configuration
 * changes and shuts down gracefully.
 */
#include <curl/curl.h>
#include <inttypes.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <urcu/urcu-memb.h>

#include "base/log.h"
#include "daemon/cmdline.h"
#include "entry/frontend.h"
#include "entry/ops.h"
#include "entry/origin.h"
#include "entry/owner.h"
#include "entry/peers.h"
#include "entry/schedc.h"

#define FRONTENDS_MAX 16
#define TICK_MS 20
/*
 * Time that /ready reports "not ready" before connections are refused, so
 * that the load balancer stops sending requests first.
 */
#define DRAIN_MIN_MS 1000

/* Phases of the process, in order; see advance_shutdown. */
enum shutdown_phase { RUNNING, DRAINING, NOT_ACCEPTING, LEAVING, ENDED };

struct daemon {
	struct entry e;
	struct frontend *frontends[FRONTENDS_MAX];
	int n_frontends;
	enum shutdown_phase phase;
	int64_t phase_ms; /* when the phase began */
};

static const struct cmdline cmdline = {
	.program = "gd-entry",
	.doc = "godwitdrum's entry daemon: HTTP API for callers and operators.",
	.kind = SETTINGS_ENTRY,
};

bool entry_may_start_work(const struct entry *e)
{
	return e->joined && permit_is_held(&e->permit, entry_now_ms(e));
}

struct service_stats *entry_service_stats(struct entry *e, const char *service)
{
	static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
	struct entry_stats *s = &e->stats;
	struct service_stats *c = NULL;
	int n = atomic_load(&s->n_services);

	for (int i = 0; i < n; i++) {
		if (!strcmp(s->services[i].name, service))
			return &s->services[i];
	}
	pthread_mutex_lock(&lock);
	n = atomic_load(&s->n_services);
	for (int i = 0; i < n && !c; i++) {
		if (!strcmp(s->services[i].name, service))
			c = &s->services[i];
	}
	if (!c && n == ENTRY_SERVICES_MAX)
		c = &s->services[n - 1];
	if (!c) {
		c = &s->services[n];
		snprintf(c->name, sizeof(c->name), "%s", service);
		atomic_store(&s->n_services, n + 1);
	}
	pthread_mutex_unlock(&lock);
	return c;
}

/* Sets `joined` and `self_index` from the current view. */
static void update_own_membership(struct entry *e)
{
	int i = view_find_member(e->view, e->settings.id);
	bool was_joined = e->joined;

	e->joined = i >= 0 && e->view->members[i].incarnation == e->incarnation;
	e->self_index = e->joined ? i : -1;
	if (e->joined && !was_joined)
		log_event(LOG_JOINED, "members=%d", e->view->n_members);
	if (!e->joined && was_joined && !atomic_load(&e->stopping))
		log_event(LOG_EXPELLED, "revision=%" PRId64, e->view->revision);
}

static void on_config_changed(void *priv)
{
	struct entry *e = priv;
	struct view *old_view = e->view;
	struct view *v = view_build(e->ev, config_watch_rows(e->config),
				    config_watch_revision(e->config),
				    config_watch_vms(e->config),
				    (int)e->settings.groups_per_domain);

	permit_apply_view(&e->permit, v, old_view, e->settings.id,
			  e->incarnation, entry_now_ms(e));
	rcu_assign_pointer(e->view, v);
	update_own_membership(e);
	atomic_store(&e->stats.revision, v->revision);
	peers_view_changed(e->peers);
	owner_view_changed(e->owner, old_view);
	/* Wait until no frontend thread can still read the old view. */
	if (old_view)
		urcu_memb_synchronize_rcu();
	talloc_free(old_view);
}

static void on_revision_read(int64_t sent_ms, int64_t revision, void *priv)
{
	struct entry *e = priv;

	permit_note_store_read(&e->permit, sent_ms, revision);
}

static const struct config_watch_ops config_watch_ops = { on_revision_read,
							  on_config_changed };

static void on_client_request(struct mbx_item *link, void *priv)
{
	struct entry *e = priv;
	struct client_request *creq =
		caa_container_of(link, struct client_request, link);

	if (creq->operation)
		ops_handle_request(e, creq);
	else
		origin_handle_request(e->origin, creq);
}

static unsigned int count_pending(const struct daemon *d)
{
	unsigned int n =
		origin_pending(d->e.origin) + owner_pending(d->e.owner);

	for (int i = 0; i < d->n_frontends; i++)
		n += frontend_open_requests(d->frontends[i]);
	return n;
}

static void set_phase(struct daemon *d, enum shutdown_phase phase)
{
	d->phase = phase;
	d->phase_ms = entry_now_ms(&d->e);
}

/*
 * Performs the next step of a graceful shutdown: hands over the groups while
 * requests are still accepted, then stops accepting, and leaves the
 * membership once no request is pending.
 */
static void advance_shutdown(struct daemon *d)
{
	int64_t phase_age_ms = entry_now_ms(&d->e) - d->phase_ms;

	switch (d->phase) {
	case DRAINING:
		if (!peers_drained(d->e.peers) || phase_age_ms < DRAIN_MIN_MS)
			return;
		for (int i = 0; i < d->n_frontends; i++)
			frontend_stop_accepting(d->frontends[i]);
		set_phase(d, NOT_ACCEPTING);
		return;
	case NOT_ACCEPTING:
		if (!count_pending(d) && phase_age_ms > 200)
			set_phase(d, LEAVING);
		return;
	case LEAVING:
		if (peers_leave(d->e.peers))
			set_phase(d, ENDED);
		return;
	default:
		return;
	}
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te,
		    struct timeval now, void *priv)
{
	struct daemon *d = priv;
	struct entry *e = &d->e;
	bool held = permit_is_held(&e->permit, entry_now_ms(e));

	(void)te;
	(void)now;
	if (held != (bool)atomic_load(&e->stats.permit)) {
		log_event(held ? LOG_PERMIT_RENEWED : LOG_PERMIT_EXPIRED,
			  "revision=%" PRId64,
			  config_watch_revision(e->config));
		atomic_store(&e->stats.permit, held);
	}
	atomic_store(&e->stats.store_reads, sto_counts(e->sto)->reads);
	atomic_store(&e->stats.store_writes, sto_counts(e->sto)->writes);
	advance_shutdown(d);
	tevent_add_timer(ev, ev, tevent_timeval_current_ofs(0, TICK_MS * 1000),
			 on_tick, d);
}

static void on_term(struct tevent_context *ev, struct tevent_signal *se,
		    int signum, int count, void *info, void *priv)
{
	struct daemon *d = priv;

	(void)ev;
	(void)se;
	(void)signum;
	(void)count;
	(void)info;
	if (d->phase != RUNNING)
		return;
	log_event(LOG_STOPPING, "pending=%u", count_pending(d));
	atomic_store(&d->e.stopping, true);
	peers_drain(d->e.peers);
	set_phase(d, DRAINING);
}

static bool start_modules(struct daemon *d, struct err *err)
{
	struct entry *e = &d->e;

	e->ev = tevent_context_init(NULL);
	e->rand = g_rand_new();
	e->incarnation = (uint64_t)clk_wall_ms(e->clk) << 16 |
			 ((uint64_t)getpid() & 0xffff);
	/* JSON integers are signed 64-bit. */
	e->incarnation &= INT64_MAX;
	e->self_index = -1;
	e->http = htc_start(e->ev, e->ev, e->settings.ip);
	e->sto = sto_start(e->ev, e->ev, e->http, e->clk,
			   e->settings.platform_url,
			   e->settings.store_timeout_ms);
	permit_init(&e->permit, e->settings.permit_ms,
		    e->settings.peers_only_max_ms);
	retry_init(&e->retry_budget, e->settings.retry_percent);
	mbx_init(&e->mbx, e->ev, e->ev, on_client_request, e);
	e->origin = origin_start(e);
	e->owner = owner_start(e);
	e->schedc = schedc_start(e);
	e->peers = peers_start(e, err);
	if (!e->peers)
		return false;
	e->config =
		config_watch_start(e->ev, e->ev, e->sto, e->clk,
				   e->settings.poll_ms, &config_watch_ops, e);
	for (int i = 0; i < e->settings.door_threads; i++) {
		d->frontends[i] = frontend_start(e, err);
		if (!d->frontends[i])
			return false;
		d->n_frontends++;
	}
	return true;
}

static int serve(struct daemon *d)
{
	struct err err = { 0 };

	d->e.clk = &clk_system;
	urcu_memb_register_thread();
	if (!start_modules(d, &err)) {
		log_event(LOG_CANNOT_LISTEN, "%s", err.text);
		return EXIT_FAILURE;
	}
	tevent_add_signal(d->e.ev, d->e.ev, SIGTERM, 0, on_term, d);
	tevent_add_signal(d->e.ev, d->e.ev, SIGINT, 0, on_term, d);
	on_tick(d->e.ev, NULL, tevent_timeval_zero(), d);
	log_event(LOG_STARTED, "id=%s domain=%s http=%" PRId64,
		  d->e.settings.id, d->e.settings.domain,
		  d->e.settings.http_port);
	while (d->phase != ENDED) {
		if (tevent_loop_once(d->e.ev) != 0)
			break;
	}
	for (int i = 0; i < d->n_frontends; i++)
		frontend_stop(d->frontends[i]);
	g_rand_free(d->e.rand);
	log_event(LOG_STOPPED, "id=%s", d->e.settings.id);
	urcu_memb_unregister_thread();
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	struct daemon *d = calloc(1, sizeof(*d));
	int code;

	cmdline_read(&cmdline, argc, argv, &d->e.settings);
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	code = serve(d);
	free(d);
	return code;
}
