/* Stand-in for the network between VMs: delays, narrows, cuts, silences. */
#include <arpa/inet.h>
#include <errno.h>
#include <fnmatch.h>
#include <inttypes.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>
#include <urcu/list.h>

#include "base/clk.h"
#include "transport/hts.h"

#define READ_MAX 65536
#define QUEUE_MAX (8u << 20)
#define RULES_MAX 256

/*
 * What a rule does. Both ends of a connection are IP patterns; the last
 * rule that matches counts.
 */
struct rule {
	char from[64];
	char to[64];
	int64_t delay_us; /* each way */
	int64_t bytes_s; /* shared by all it matches, each way; 0: any */
	bool block; /* nothing passes, new ones hang */
	int64_t free_us[2]; /* when the narrow link is free again */
	int64_t bytes;
};

struct chunk {
	struct cds_list_head node;
	int64_t due_us;
	size_t len;
	size_t at;
	uint8_t data[];
};

/* One direction of a relayed connection. */
struct flow {
	struct conn *c;
	int from;
	int to;
	int way;
	struct tevent_fd *rfd;
	struct tevent_timer *timer;
	struct cds_list_head queue;
	size_t queued;
	bool silent; /* swallows everything, for good */
	bool ended; /* the reader saw the end */
};

struct conn {
	struct cds_list_head node;
	struct proxy *p;
	char from[64];
	char to[64];
	struct flow flows[2];
	bool connected;
	struct tevent_fd *wait;
	bool dead;
};

struct map {
	struct proxy *p;
	char as[64]; /* what rules know its near ends by, if not the IP */
	char to_ip[64];
	uint16_t to_port;
	int fd;
};

struct proxy {
	struct tevent_context *ev;
	struct cds_list_head conns;
	struct rule rules[RULES_MAX];
	int n_rules;
	int64_t affected; /* connections that a fault took effect on */
};

static int64_t now_us(void)
{
	return clk_mono_us(&clk_system);
}

static bool matches(const char *from, const char *to, const struct conn *c)
{
	return !fnmatch(from, c->from, 0) && !fnmatch(to, c->to, 0);
}

static struct rule *rule_of(const struct conn *c)
{
	for (int i = c->p->n_rules - 1; i >= 0; i--) {
		if (matches(c->p->rules[i].from, c->p->rules[i].to, c))
			return &c->p->rules[i];
	}
	return NULL;
}

static int conn_destructor(struct conn *c)
{
	for (int i = 0; i < 2; i++) {
		struct flow *f = &c->flows[i];
		struct chunk *k;
		struct chunk *next;

		TALLOC_FREE(f->rfd);
		TALLOC_FREE(f->timer);
		cds_list_for_each_entry_safe(k, next, &f->queue, node) free(k);
	}
	TALLOC_FREE(c->wait);
	close(c->flows[0].from);
	close(c->flows[0].to);
	cds_list_del(&c->node);
	return 0;
}

static void pump(struct flow *f);

static void on_due(struct tevent_context *ev, struct tevent_timer *te,
		   struct timeval now, void *priv)
{
	struct flow *f = priv;

	(void)ev;
	(void)te;
	(void)now;
	f->timer = NULL;
	pump(f);
}

static void pump_in(struct flow *f, int64_t us)
{
	TALLOC_FREE(f->timer);
	f->timer = tevent_add_timer(
		f->c->p->ev, f->c,
		tevent_timeval_current_ofs(us / 1000000, us % 1000000), on_due,
		f);
}

static bool is_blocked(const struct conn *c)
{
	struct rule *r = rule_of(c);

	return r && r->block;
}

/* Sends what is due; false if the connection is gone. */
static bool send_due(struct flow *f)
{
	struct chunk *k;
	struct chunk *next;

	cds_list_for_each_entry_safe(k, next, &f->queue, node)
	{
		ssize_t n;

		if (k->due_us > now_us()) {
			pump_in(f, k->due_us - now_us());
			return true;
		}
		n = send(f->to, k->data + k->at, k->len - k->at, MSG_NOSIGNAL);
		if (n < 0 && errno != EAGAIN)
			return false;
		if (n > 0)
			k->at += n;
		if (k->at < k->len) {
			pump_in(f, 1000);
			return true;
		}
		f->queued -= k->len;
		cds_list_del(&k->node);
		free(k);
	}
	if (f->ended)
		shutdown(f->to, SHUT_WR);
	return true;
}

static void pump(struct flow *f)
{
	struct conn *c = f->c;

	if (f->silent)
		return;
	if (is_blocked(c)) {
		pump_in(f, 20000);
		return;
	}
	if (!send_due(f)) {
		talloc_free(c);
		return;
	}
	if (f->queued < QUEUE_MAX && !f->ended && f->rfd)
		TEVENT_FD_READABLE(f->rfd);
	if (c->flows[0].ended && c->flows[1].ended && !c->flows[0].queued &&
	    !c->flows[1].queued)
		talloc_free(c);
}

static int64_t due(struct flow *f, size_t len)
{
	struct rule *r = rule_of(f->c);
	int64_t at = now_us();

	if (!r)
		return at;
	r->bytes += (int64_t)len;
	if (r->bytes_s) {
		if (r->free_us[f->way] < at)
			r->free_us[f->way] = at;
		r->free_us[f->way] += (int64_t)len * 1000000 / r->bytes_s;
		at = r->free_us[f->way];
	}
	return at + r->delay_us;
}

static void on_readable(struct tevent_context *ev, struct tevent_fd *fde,
			uint16_t flags, void *priv)
{
	struct flow *f = priv;
	uint8_t buf[READ_MAX];
	ssize_t n = recv(f->from, buf, sizeof(buf), 0);
	struct chunk *k;

	(void)ev;
	(void)fde;
	(void)flags;
	if (n < 0 && errno == EAGAIN)
		return;
	if (n <= 0) {
		f->ended = true;
		TEVENT_FD_NOT_READABLE(f->rfd);
		if (n < 0 && !f->silent) {
			talloc_free(f->c);
			return;
		}
		pump(f);
		return;
	}
	if (f->silent)
		return;
	k = malloc(sizeof(*k) + n);
	k->len = n;
	k->at = 0;
	memcpy(k->data, buf, n);
	k->due_us = due(f, n);
	cds_list_add_tail(&k->node, &f->queue);
	f->queued += n;
	if (f->queued >= QUEUE_MAX)
		TEVENT_FD_NOT_READABLE(f->rfd);
	pump(f);
}

static void begin_flows(struct conn *c)
{
	for (int i = 0; i < 2; i++) {
		struct flow *f = &c->flows[i];

		f->rfd = tevent_add_fd(c->p->ev, c, f->from, TEVENT_FD_READ,
				       on_readable, f);
	}
}

static void on_connected(struct tevent_context *ev, struct tevent_fd *fde,
			 uint16_t flags, void *priv)
{
	struct conn *c = priv;
	int fault = 0;
	socklen_t len = sizeof(fault);

	(void)ev;
	(void)fde;
	(void)flags;
	getsockopt(c->flows[0].to, SOL_SOCKET, SO_ERROR, &fault, &len);
	TALLOC_FREE(c->wait);
	if (fault) {
		struct linger reset = { 1, 0 };

		setsockopt(c->flows[0].from, SOL_SOCKET, SO_LINGER, &reset,
			   sizeof(reset));
		talloc_free(c);
		return;
	}
	begin_flows(c);
}

static void set_addr(struct sockaddr_in *sa, const char *ip, uint16_t port)
{
	memset(sa, 0, sizeof(*sa));
	sa->sin_family = AF_INET;
	sa->sin_port = htons(port);
	inet_pton(AF_INET, ip, &sa->sin_addr);
}

static void init_flow(struct conn *c, int way, int from, int to)
{
	struct flow *f = &c->flows[way];
	int on = 1;

	f->c = c;
	f->way = way;
	f->from = from;
	f->to = to;
	CDS_INIT_LIST_HEAD(&f->queue);
	setsockopt(to, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

static void on_accept(struct tevent_context *ev, struct tevent_fd *fde,
		      uint16_t flags, void *priv)
{
	struct map *m = priv;
	struct sockaddr_in peer;
	struct sockaddr_in sa;
	socklen_t len = sizeof(peer);
	int fd = accept4(m->fd, (struct sockaddr *)&peer, &len, SOCK_NONBLOCK);
	int to = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	struct conn *c;

	(void)fde;
	(void)flags;
	if (fd < 0 || to < 0)
		return;
	c = talloc_zero(m->p->ev, struct conn);
	c->p = m->p;
	if (*m->as)
		memcpy(c->from, m->as, sizeof(c->from));
	else
		inet_ntop(AF_INET, &peer.sin_addr, c->from, sizeof(c->from));
	snprintf(c->to, sizeof(c->to), "%s:%u", m->to_ip, m->to_port);
	cds_list_add(&c->node, &m->p->conns);
	init_flow(c, 0, fd, to);
	init_flow(c, 1, to, fd);
	talloc_set_destructor(c, conn_destructor);
	if (is_blocked(c))
		m->p->affected++;
	set_addr(&sa, m->to_ip, m->to_port);
	if (connect(to, (struct sockaddr *)&sa, sizeof(sa)) < 0 &&
	    errno != EINPROGRESS) {
		talloc_free(c);
		return;
	}
	c->wait = tevent_add_fd(ev, c, to, TEVENT_FD_WRITE, on_connected, c);
}

static const char *str(const json_t *j, const char *key)
{
	const char *s = json_string_value(json_object_get(j, key));

	return s ? s : "*";
}

static bool add_map(struct proxy *p, const json_t *j)
{
	struct map *m = talloc_zero(p->ev, struct map);
	struct sockaddr_in sa;
	int on = 1;

	m->p = p;
	snprintf(m->to_ip, sizeof(m->to_ip), "%s",
		 json_string_value(json_object_get(j, "to_ip")));
	if (json_object_get(j, "as"))
		snprintf(m->as, sizeof(m->as), "%s", str(j, "as"));
	m->to_port =
		(uint16_t)json_integer_value(json_object_get(j, "to_port"));
	set_addr(&sa, json_string_value(json_object_get(j, "ip")),
		 (uint16_t)json_integer_value(json_object_get(j, "port")));
	m->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	setsockopt(m->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(m->fd, (struct sockaddr *)&sa, sizeof(sa)) < 0 ||
	    listen(m->fd, 512) < 0) {
		close(m->fd);
		talloc_free(m);
		return false;
	}
	tevent_add_fd(p->ev, m, m->fd, TEVENT_FD_READ, on_accept, m);
	return true;
}

/* Replaces the rule of the same ends, or adds one. */
static void set_rule(struct proxy *p, const json_t *j)
{
	struct rule *r = NULL;

	for (int i = 0; i < p->n_rules; i++) {
		if (!strcmp(p->rules[i].from, str(j, "from")) &&
		    !strcmp(p->rules[i].to, str(j, "to")))
			r = &p->rules[i];
	}
	if (!r && p->n_rules < RULES_MAX)
		r = &p->rules[p->n_rules++];
	if (!r)
		return;
	snprintf(r->from, sizeof(r->from), "%s", str(j, "from"));
	snprintf(r->to, sizeof(r->to), "%s", str(j, "to"));
	r->delay_us = json_integer_value(json_object_get(j, "delay_us"));
	r->bytes_s = json_integer_value(json_object_get(j, "bytes_s"));
	r->block = json_is_true(json_object_get(j, "block"));
}

/* Ends or silences the connections that are open now. */
static void hurt(struct proxy *p, const json_t *j, bool cut)
{
	const char *way = str(j, "way");
	struct conn *c;
	struct conn *next;

	cds_list_for_each_entry_safe(c, next, &p->conns, node)
	{
		if (!matches(str(j, "from"), str(j, "to"), c))
			continue;
		p->affected++;
		if (cut) {
			talloc_free(c);
			continue;
		}
		if (strcmp(way, "down") != 0)
			c->flows[0].silent = true;
		if (strcmp(way, "up") != 0)
			c->flows[1].silent = true;
	}
}

static int64_t count_affected(struct proxy *p, const json_t *j)
{
	struct conn *c;
	int64_t n = 0;

	cds_list_for_each_entry(c, &p->conns, node) n +=
		matches(str(j, "from"), str(j, "to"), c);
	return n;
}

static void on_request(struct hts_req *req, void *priv)
{
	struct proxy *p = priv;
	json_t *j = json_loads(req->body, 0, NULL);
	unsigned int status = 200;
	char text[128];
	int n;

	if (!strcmp(req->path, "/map"))
		status = add_map(p, j) ? 200 : 500;
	else if (!strcmp(req->path, "/rule")) {
		p->affected += json_is_true(json_object_get(j, "block"))
				       ? count_affected(p, j)
				       : 0;
		set_rule(p, j);
	} else if (!strcmp(req->path, "/cut"))
		hurt(p, j, true);
	else if (!strcmp(req->path, "/silence"))
		hurt(p, j, false);
	n = snprintf(text, sizeof(text), "{\"affected\":%" PRId64 "}",
		     p->affected);
	json_decref(j);
	hts_reply(req, status, "application/json", text, n);
}

int main(int argc, char **argv)
{
	struct hts_options opt = { .ip = "127.0.0.1",
				   .body_max = 1u << 20,
				   .idle_timeout_s = 600 };
	struct proxy p = { 0 };
	struct err err;

	if (argc != 2) {
		fprintf(stderr, "usage: gd-faultproxy CONTROL-PORT\n");
		return 64;
	}
	signal(SIGPIPE, SIG_IGN);
	p.ev = tevent_context_init(NULL);
	CDS_INIT_LIST_HEAD(&p.conns);
	opt.port = (uint16_t)atoi(argv[1]);
	if (!hts_start(p.ev, p.ev, &opt, on_request, &p, &err)) {
		fprintf(stderr, "%s\n", err.text);
		return 1;
	}
	return tevent_loop_wait(p.ev);
}
