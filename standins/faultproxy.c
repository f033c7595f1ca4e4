/*
 * gd-faultproxy: a TCP proxy that simulates the network between VMs. Tests
 * control it over HTTP:
 *   /map      listens on an address and relays its connections to another
 *   /rule     sets delay, bandwidth and blocking between two ends
 *   /cut      closes open connections between two ends
 *   /silence  discards their data from now on, without closing them
 */
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
 * Conditions between two ends, given as fnmatch() patterns: `from` matches the
 * client's IP (or its listener's name for it), `to` matches IP:PORT. The last
 * rule that matches a connection applies.
 */
struct rule {
	char from[64];
	char to[64];
	int64_t delay_us; /* in each direction */
	int64_t bytes_s; /* per direction, shared by matches; 0: no limit */
	bool block; /* data waits in the proxy, new connections hang */
	int64_t link_free_us[2]; /* per direction: end of the last send */
	int64_t bytes; /* received from matches */
};

/* Data that was read from one end; sent to the other at due_us. */
struct chunk {
	struct cds_list_head node;
	int64_t due_us;
	size_t len;
	size_t sent;
	uint8_t data[];
};

/* One direction of a relayed connection. */
struct flow {
	struct conn *c;
	int from; /* sockets */
	int to;
	int direction; /* 0: from the client, 1: to the client */
	struct tevent_fd *read_event;
	struct tevent_timer *timer;
	struct cds_list_head queue;
	size_t queued; /* bytes in queue */
	bool discard; /* drops all data, to the end */
	bool eof; /* the sending end has closed */
};

/* A relayed connection. Its destructor closes both sockets. */
struct conn {
	struct cds_list_head node;
	struct proxy *p;
	char from[64]; /* as rules match them */
	char to[64];
	struct flow flows[2];
	bool connected;
	struct tevent_fd *connect_event;
	bool dead;
};

/* An address that the proxy listens on, and where it relays to. */
struct listener {
	struct proxy *p;
	char client_name[64]; /* rules match it instead of the IP */
	char to_ip[64];
	uint16_t to_port;
	int fd;
};

struct proxy {
	struct tevent_context *ev;
	struct cds_list_head conns;
	struct rule rules[RULES_MAX];
	int n_rules;
	int64_t affected; /* connections hit by faults so far */
};

static int64_t now_us(void)
{
	return clk_mono_us(&clk_system);
}

static bool conn_matches(const char *from, const char *to, const struct conn *c)
{
	return !fnmatch(from, c->from, 0) && !fnmatch(to, c->to, 0);
}

static struct rule *find_rule(const struct conn *c)
{
	for (int i = c->p->n_rules - 1; i >= 0; i--) {
		if (conn_matches(c->p->rules[i].from, c->p->rules[i].to, c))
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

		TALLOC_FREE(f->read_event);
		TALLOC_FREE(f->timer);
		cds_list_for_each_entry_safe(k, next, &f->queue, node) free(k);
	}
	TALLOC_FREE(c->connect_event);
	close(c->flows[0].from);
	close(c->flows[0].to);
	cds_list_del(&c->node);
	return 0;
}

/* Sends what is due. Frees the connection if it fails or both ends closed. */
static void forward_due(struct flow *f);

static void on_forward_timer(struct tevent_context *ev, struct tevent_timer *te,
			     struct timeval now, void *priv)
{
	struct flow *f = priv;

	(void)ev;
	(void)te;
	(void)now;
	f->timer = NULL;
	forward_due(f);
}

static void forward_after(struct flow *f, int64_t us)
{
	TALLOC_FREE(f->timer);
	f->timer = tevent_add_timer(
		f->c->p->ev, f->c,
		tevent_timeval_current_ofs(us / 1000000, us % 1000000),
		on_forward_timer, f);
}

static bool is_blocked(const struct conn *c)
{
	struct rule *r = find_rule(c);

	return r && r->block;
}

/* Sends the chunks that are due. Returns false if the connection has failed. */
static bool send_due(struct flow *f)
{
	struct chunk *k;
	struct chunk *next;

	cds_list_for_each_entry_safe(k, next, &f->queue, node)
	{
		ssize_t n;

		if (k->due_us > now_us()) {
			forward_after(f, k->due_us - now_us());
			return true;
		}
		n = send(f->to, k->data + k->sent, k->len - k->sent,
			 MSG_NOSIGNAL);
		if (n < 0 && errno != EAGAIN)
			return false;
		if (n > 0)
			k->sent += n;
		if (k->sent < k->len) {
			forward_after(f, 1000);
			return true;
		}
		f->queued -= k->len;
		cds_list_del(&k->node);
		free(k);
	}
	if (f->eof)
		shutdown(f->to, SHUT_WR);
	return true;
}

static void forward_due(struct flow *f)
{
	struct conn *c = f->c;

	if (f->discard)
		return;
	if (is_blocked(c)) {
		forward_after(f, 20000);
		return;
	}
	if (!send_due(f)) {
		talloc_free(c);
		return;
	}
	if (f->queued < QUEUE_MAX && !f->eof && f->read_event)
		TEVENT_FD_READABLE(f->read_event);
	if (c->flows[0].eof && c->flows[1].eof && !c->flows[0].queued &&
	    !c->flows[1].queued)
		talloc_free(c);
}

/* Returns when a chunk may be sent on, and charges it to the rule's link. */
static int64_t due_time_us(struct flow *f, size_t len)
{
	struct rule *r = find_rule(f->c);
	int64_t at = now_us();

	if (!r)
		return at;
	r->bytes += (int64_t)len;
	if (r->bytes_s) {
		if (r->link_free_us[f->direction] < at)
			r->link_free_us[f->direction] = at;
		r->link_free_us[f->direction] +=
			(int64_t)len * 1000000 / r->bytes_s;
		at = r->link_free_us[f->direction];
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
		f->eof = true;
		TEVENT_FD_NOT_READABLE(f->read_event);
		if (n < 0 && !f->discard) {
			talloc_free(f->c);
			return;
		}
		forward_due(f);
		return;
	}
	if (f->discard)
		return;
	k = malloc(sizeof(*k) + n);
	k->len = n;
	k->sent = 0;
	memcpy(k->data, buf, n);
	k->due_us = due_time_us(f, n);
	cds_list_add_tail(&k->node, &f->queue);
	f->queued += n;
	if (f->queued >= QUEUE_MAX)
		TEVENT_FD_NOT_READABLE(f->read_event);
	forward_due(f);
}

/* Relays both directions; called once the server's side is connected. */
static void start_reading(struct conn *c)
{
	for (int i = 0; i < 2; i++) {
		struct flow *f = &c->flows[i];

		f->read_event = tevent_add_fd(c->p->ev, c, f->from,
					      TEVENT_FD_READ, on_readable, f);
	}
}

static void on_connected(struct tevent_context *ev, struct tevent_fd *fde,
			 uint16_t flags, void *priv)
{
	struct conn *c = priv;
	int error = 0;
	socklen_t len = sizeof(error);

	(void)ev;
	(void)fde;
	(void)flags;
	getsockopt(c->flows[0].to, SOL_SOCKET, SO_ERROR, &error, &len);
	TALLOC_FREE(c->connect_event);
	if (error) {
		/* Resets the client too, as a refused connection does. */
		struct linger reset = { 1, 0 };

		setsockopt(c->flows[0].from, SOL_SOCKET, SO_LINGER, &reset,
			   sizeof(reset));
		talloc_free(c);
		return;
	}
	start_reading(c);
}

static void set_addr(struct sockaddr_in *sa, const char *ip, uint16_t port)
{
	memset(sa, 0, sizeof(*sa));
	sa->sin_family = AF_INET;
	sa->sin_port = htons(port);
	inet_pton(AF_INET, ip, &sa->sin_addr);
}

static void init_flow(struct conn *c, int direction, int from, int to)
{
	struct flow *f = &c->flows[direction];
	int on = 1;

	f->c = c;
	f->direction = direction;
	f->from = from;
	f->to = to;
	CDS_INIT_LIST_HEAD(&f->queue);
	setsockopt(to, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

static void on_accept(struct tevent_context *ev, struct tevent_fd *fde,
		      uint16_t flags, void *priv)
{
	struct listener *l = priv;
	struct sockaddr_in peer;
	struct sockaddr_in sa;
	socklen_t len = sizeof(peer);
	int fd = accept4(l->fd, (struct sockaddr *)&peer, &len, SOCK_NONBLOCK);
	int to = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	struct conn *c;

	(void)fde;
	(void)flags;
	if (fd < 0 || to < 0)
		return;
	c = talloc_zero(l->p->ev, struct conn);
	c->p = l->p;
	if (*l->client_name)
		memcpy(c->from, l->client_name, sizeof(c->from));
	else
		inet_ntop(AF_INET, &peer.sin_addr, c->from, sizeof(c->from));
	snprintf(c->to, sizeof(c->to), "%s:%u", l->to_ip, l->to_port);
	cds_list_add(&c->node, &l->p->conns);
	init_flow(c, 0, fd, to);
	init_flow(c, 1, to, fd);
	talloc_set_destructor(c, conn_destructor);
	if (is_blocked(c))
		l->p->affected++;
	set_addr(&sa, l->to_ip, l->to_port);
	if (connect(to, (struct sockaddr *)&sa, sizeof(sa)) < 0 &&
	    errno != EINPROGRESS) {
		talloc_free(c);
		return;
	}
	c->connect_event =
		tevent_add_fd(ev, c, to, TEVENT_FD_WRITE, on_connected, c);
}

/* Returns a string member, or the pattern "*" if there is none. */
static const char *str_or_any(const json_t *j, const char *key)
{
	const char *s = json_string_value(json_object_get(j, key));

	return s ? s : "*";
}

static bool add_listener(struct proxy *p, const json_t *j)
{
	struct listener *l = talloc_zero(p->ev, struct listener);
	struct sockaddr_in sa;
	int on = 1;

	l->p = p;
	snprintf(l->to_ip, sizeof(l->to_ip), "%s",
		 json_string_value(json_object_get(j, "to_ip")));
	if (json_object_get(j, "as"))
		snprintf(l->client_name, sizeof(l->client_name), "%s",
			 str_or_any(j, "as"));
	l->to_port =
		(uint16_t)json_integer_value(json_object_get(j, "to_port"));
	set_addr(&sa, json_string_value(json_object_get(j, "ip")),
		 (uint16_t)json_integer_value(json_object_get(j, "port")));
	l->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	setsockopt(l->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(l->fd, (struct sockaddr *)&sa, sizeof(sa)) < 0 ||
	    listen(l->fd, 512) < 0) {
		close(l->fd);
		talloc_free(l);
		return false;
	}
	tevent_add_fd(p->ev, l, l->fd, TEVENT_FD_READ, on_accept, l);
	return true;
}

/* Replaces the rule with the same patterns, or adds one. */
static void set_rule(struct proxy *p, const json_t *j)
{
	struct rule *r = NULL;

	for (int i = 0; i < p->n_rules; i++) {
		if (!strcmp(p->rules[i].from, str_or_any(j, "from")) &&
		    !strcmp(p->rules[i].to, str_or_any(j, "to")))
			r = &p->rules[i];
	}
	if (!r && p->n_rules < RULES_MAX)
		r = &p->rules[p->n_rules++];
	if (!r)
		return;
	snprintf(r->from, sizeof(r->from), "%s", str_or_any(j, "from"));
	snprintf(r->to, sizeof(r->to), "%s", str_or_any(j, "to"));
	r->delay_us = json_integer_value(json_object_get(j, "delay_us"));
	r->bytes_s = json_integer_value(json_object_get(j, "bytes_s"));
	r->block = json_is_true(json_object_get(j, "block"));
}

/* Cuts or silences the open connections that match. */
static void disrupt(struct proxy *p, const json_t *j, bool cut)
{
	const char *direction = str_or_any(j, "way");
	struct conn *c;
	struct conn *next;

	cds_list_for_each_entry_safe(c, next, &p->conns, node)
	{
		if (!conn_matches(str_or_any(j, "from"), str_or_any(j, "to"),
				  c))
			continue;
		p->affected++;
		if (cut) {
			talloc_free(c);
			continue;
		}
		if (strcmp(direction, "down") != 0)
			c->flows[0].discard = true;
		if (strcmp(direction, "up") != 0)
			c->flows[1].discard = true;
	}
}

/* Returns how many open connections a new rule matches. */
static int64_t count_affected(struct proxy *p, const json_t *j)
{
	struct conn *c;
	int64_t n = 0;

	cds_list_for_each_entry(c, &p->conns, node) n +=
		conn_matches(str_or_any(j, "from"), str_or_any(j, "to"), c);
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
		status = add_listener(p, j) ? 200 : 500;
	else if (!strcmp(req->path, "/rule")) {
		p->affected += json_is_true(json_object_get(j, "block"))
				       ? count_affected(p, j)
				       : 0;
		set_rule(p, j);
	} else if (!strcmp(req->path, "/cut"))
		disrupt(p, j, true);
	else if (!strcmp(req->path, "/silence"))
		disrupt(p, j, false);
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
