#include "tests/crowd_clients.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/harness.h"

/* Just below the limit of 1 MiB that applies without `limits`. */
#define BODY_BYTES 1000000
#define OVER_BYTES 4000000
#define HEADER_BYTES 15000
#define CHUNK_BYTES 65536
#define SMALL_CHUNK_BYTES 16
#define WRITE_BYTES 262144
#define PIECE_BYTES 4096
/* Part of a frame of the largest size that links accept. */
#define FRAME_BYTES (4u << 20)
#define FRAME_PART_BYTES 262144
#define FRAME_MOST_BYTES (FRAME_BYTES - 16)
#define SMALL_BUFFER_BYTES 4096
/* First job id of the crowd. */
#define TASKS_ID 0x40000000
#define SAMPLE_MS 20
/* Without a byte taken for this long, the server reads no more. */
#define STALL_MS 3000
#define TCP_LISTEN_STATE 10

struct client {
	int fd; /* -1: disconnected */
	const GString *wire;
	size_t sent;
	size_t piece; /* bytes of one write */
	bool reads; /* the answers */
};

struct crowd {
	GPtrArray *wires; /* what clients send */
	struct client *clients;
	struct pollfd *polls;
	int n;
};

/* Returns a value in KiB of the process's status, in bytes; 0 if it has ended.
 */
static int64_t status_bytes(pid_t pid, const char *key)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/status", (int)pid);
	FILE *f = fopen(path, "r");
	long long kib = 0;
	char line[256];

	while (f && fgets(line, sizeof(line), f)) {
		if (g_str_has_prefix(line, key))
			kib = strtoll(line + strlen(key), NULL, 10);
	}
	if (f)
		fclose(f);
	return kib * 1024;
}

/* Returns the bytes in the queues of the sockets on these ports. */
static int64_t queued_bytes(int first_port, int last_port)
{
	FILE *f = fopen("/proc/net/tcp", "r");
	int64_t sum = 0;
	char line[256];

	while (f && fgets(line, sizeof(line), f)) {
		unsigned int port;
		unsigned int state;
		unsigned int unsent;
		unsigned int unread;

		if (sscanf(line, " %*d: %*x:%x %*x:%*x %x %x:%x", &port, &state,
			   &unsent, &unread) == 4 &&
		    (int)port >= first_port && (int)port <= last_port &&
		    state != TCP_LISTEN_STATE)
			sum += unsent + unread;
	}
	if (f)
		fclose(f);
	return sum;
}

static int count_descriptors(pid_t pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/fd", (int)pid);
	DIR *d = opendir(path);
	int n = 0;

	/* The entries . and .. are not descriptors. */
	while (d && readdir(d))
		n++;
	if (d)
		closedir(d);
	return n - 2;
}

void crowd_sample(struct crowd_usage *u, bool now)
{
	int64_t bytes;

	if (!now && hx_now_ms() < u->next_sample_ms)
		return;
	bytes = status_bytes(u->pid, "VmRSS:") +
		queued_bytes(u->first_port, u->last_port);
	u->memory_bytes = MAX(u->memory_bytes, bytes);
	/* The largest resident size also between two samples. */
	u->memory_bytes = MAX(u->memory_bytes, status_bytes(u->pid, "VmHWM:"));
	u->descriptors = MAX(u->descriptors, count_descriptors(u->pid));
	u->next_sample_ms = hx_now_ms() + SAMPLE_MS;
}

static void add_chunks(GString *w, size_t total, size_t chunk)
{
	g_autofree char *data = g_strnfill(chunk, 'x');

	for (size_t n = 0; n < total; n += chunk)
		g_string_append_printf(w, "%zx\r\n%s\r\n", chunk, data);
}

/* Adds a complete body, JSON that holds no job. */
static void add_values(GString *w)
{
	GString *body = g_string_new("{\"steps\":[{}");

	while (body->len < BODY_BYTES)
		g_string_append(body, ",{}");
	g_string_append(body, "]}");
	g_string_append_printf(w, "Content-Length: %zu\r\n\r\n%s", body->len,
			       body->str);
	g_string_free(body, TRUE);
}

static void add_bytes(GString *w, size_t n)
{
	g_autofree char *data = g_strnfill(n, 'x');

	g_string_append_len(w, data, (gssize)n);
}

/* Adds a job that no worker has room for, so that all its tasks wait. */
static void add_tasks(GString *w, int number)
{
	static const char body[] =
		"{\"spec\":\"x\",\"steps\":[{\"count\":5000,"
		"\"cpu\":9000000,\"mem_mb\":100,\"estimate_ms\":100}]}";

	g_string_append_printf(
		w,
		"POST /q/%016x HTTP/1.1\r\nHost: jobs.example\r\n"
		"Content-Length: %zu\r\n\r\n%s",
		TASKS_ID + number, strlen(body), body);
}

/* Adds a batch record that no worker has room for. */
static void add_record(GString *w, int number)
{
	g_autofree char *body = g_strdup_printf(
		"{\"schema\":2,\"kind\":\"batch\",\"meta\":{\"name\":"
		"\"crowd-%d\",\"team\":\"t\"},\"spec\":{\"tasks\":10000,"
		"\"cpu_milli\":4000,\"mem_mib\":100,\"run_ms\":600000}}",
		number);

	g_string_append_printf(w,
			       "POST /v1/submit HTTP/1.1\r\nHost: a\r\n"
			       "Operation-Id: crowd-%d\r\n"
			       "Content-Length: %zu\r\n\r\n%s",
			       number, strlen(body), body);
}

static void add_frame(GString *w, const GString *payload)
{
	uint32_t len = htonl((uint32_t)payload->len);

	g_string_append_len(w, (const char *)&len, sizeof(len));
	g_string_append_len(w, payload->str, (gssize)payload->len);
}

/* Adds a ping and a call of the verb submit for shard 0, as msgpack. Its text
 * is JSON that holds no record. */
static void add_call(GString *w)
{
	static const char ping[] = "\x96\x00\xa1"
				   "c\x01\x01\x01\x01";
	static const char call[] = "\x95\x07\x01\xa6submit\xa2#0\xdb";
	GString *payload = g_string_new_len(ping, sizeof(ping) - 1);
	uint32_t len;
	size_t at;

	add_frame(w, payload);
	g_string_truncate(payload, 0);
	g_string_append_len(payload, call, sizeof(call) - 1);
	at = payload->len;
	g_string_append_len(payload, "\0\0\0\0[{}", 7);
	while (payload->len < FRAME_MOST_BYTES)
		g_string_append(payload, ",{}");
	g_string_append(payload, "]");
	len = htonl((uint32_t)(payload->len - at - sizeof(len)));
	memcpy(payload->str + at, &len, sizeof(len));
	add_frame(w, payload);
	g_string_free(payload, TRUE);
}

static void free_wire(gpointer wire)
{
	g_string_free(wire, TRUE);
}

/* Returns all that a client sends. */
static GString *make_wire(const struct crowd_group *group, int number)
{
	enum crowd_kind kind = group->kind;
	GString *w = g_string_new("");
	uint32_t frame = htonl(FRAME_BYTES);

	if (kind == CROWD_LINKS || kind == CROWD_FRAMES) {
		g_string_append_len(w, (const char *)&frame, sizeof(frame));
		add_bytes(w, kind == CROWD_LINKS ? FRAME_PART_BYTES
						 : FRAME_MOST_BYTES);
		return w;
	}
	if (kind == CROWD_PEER_CALLS) {
		add_call(w);
		return w;
	}
	while (kind == CROWD_UNREAD && w->len < BODY_BYTES)
		g_string_append_printf(w,
				       "GET %s HTTP/1.1\r\nHost: jobs.example"
				       "\r\n\r\n",
				       group->path ? group->path : "/q/");
	if (kind == CROWD_UNREAD)
		return w;
	if (kind == CROWD_TASKS || kind == CROWD_RECORDS) {
		if (kind == CROWD_TASKS)
			add_tasks(w, number);
		else
			add_record(w, number);
		return w;
	}
	g_string_append_printf(w, "POST %s HTTP/1.1\r\nHost: jobs.example\r\n",
			       group->path ? group->path
					   : "/q/00000000deadbeef");
	if (kind == CROWD_HEADERS) {
		g_string_append(w, "Pad: ");
		add_bytes(w, HEADER_BYTES);
	} else if (kind == CROWD_CALLS) {
		g_string_append_printf(
			w, "Content-Length: %d\r\n\r\n%s", BODY_BYTES,
			"{\"work_us\":3000000,\"id\":\"q\",\"pad\":\"");
		add_bytes(w, BODY_BYTES - strlen(strstr(w->str, "{")) - 2);
		g_string_append(w, "\"}");
	} else if (kind == CROWD_VALUES) {
		add_values(w);
	} else if (kind == CROWD_WHOLE || kind == CROWD_PIECES) {
		g_string_append_printf(w, "Content-Length: %d\r\n\r\n",
				       BODY_BYTES);
		add_bytes(w, BODY_BYTES - 1);
	} else if (kind == CROWD_ANNOUNCED_OVER) {
		g_string_append_printf(w, "Content-Length: %d\r\n\r\n",
				       OVER_BYTES);
		add_bytes(w, OVER_BYTES - 1);
	} else {
		g_string_append(w, "Transfer-Encoding: chunked\r\n\r\n");
		if (kind == CROWD_SMALL_CHUNKS)
			add_chunks(w, BODY_BYTES, SMALL_CHUNK_BYTES);
		else
			add_chunks(w,
				   kind == CROWD_CHUNKS ? BODY_BYTES
							: OVER_BYTES,
				   CHUNK_BYTES);
	}
	return w;
}

static int connect_to(const char *ip, int port, bool reads, int source)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons((uint16_t)port) };
	struct sockaddr_in from = { .sin_family = AF_INET };
	int small = SMALL_BUFFER_BYTES;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	g_assert_cmpint(fd, >=, 0);
	/* Answers fill it soon. */
	if (!reads)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	if (source) {
		from.sin_addr.s_addr =
			htonl(INADDR_LOOPBACK + (uint32_t)source);
		g_assert_cmpint(
			bind(fd, (struct sockaddr *)&from, sizeof(from)), ==,
			0);
	}
	inet_pton(AF_INET, ip ? ip : "127.0.0.1", &a.sin_addr);
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) < 0)
		g_assert_cmpint(errno, ==, EINPROGRESS);
	return fd;
}

static void disconnect(struct client *c)
{
	close(c->fd);
	c->fd = -1;
}

/* Returns whether bytes were taken. */
static bool send_piece(struct client *c)
{
	size_t left = c->wire->len - c->sent;
	ssize_t n = send(c->fd, c->wire->str + c->sent, MIN(left, c->piece),
			 MSG_NOSIGNAL);

	if (n < 0 && errno != EAGAIN) {
		disconnect(c);
		return true;
	}
	c->sent += n > 0 ? (size_t)n : 0;
	return n > 0;
}

/* Reads answers; a client goes on sending until its connection fails. */
static void discard_input(struct client *c)
{
	char data[4096];
	ssize_t n = recv(c->fd, data, sizeof(data), 0);

	if ((n < 0 && errno != EAGAIN) || (!n && c->sent == c->wire->len))
		disconnect(c);
}

static bool is_sending(const struct client *c)
{
	return c->fd >= 0 && c->sent < c->wire->len;
}

/* Returns the number of clients that have more to send, and whether any made
 * progress. */
static int turn(struct crowd *c, bool *progress)
{
	int sending = 0;

	for (int i = 0; i < c->n; i++) {
		struct client *cl = &c->clients[i];

		c->polls[i].fd = cl->fd;
		c->polls[i].events = (short)((is_sending(cl) ? POLLOUT : 0) |
					     (cl->reads ? POLLIN : 0));
		sending += is_sending(cl);
	}
	poll(c->polls, (nfds_t)c->n, SAMPLE_MS);
	for (int i = 0; i < c->n; i++) {
		struct client *cl = &c->clients[i];

		if (cl->fd >= 0 && cl->reads && (c->polls[i].revents & POLLIN))
			discard_input(cl);
		if (is_sending(cl) &&
		    (c->polls[i].revents & (POLLOUT | POLLERR | POLLHUP)))
			*progress |= send_piece(cl);
	}
	return sending;
}

struct crowd *crowd_start(const struct crowd_group *groups, int n,
			  struct crowd_usage *usage)
{
	struct crowd *c = g_new0(struct crowd, 1);
	int64_t progress_ms = hx_now_ms();
	int at = 0;

	for (int i = 0; i < n; i++)
		c->n += groups[i].clients;
	c->wires = g_ptr_array_new_with_free_func(free_wire);
	c->clients = g_new0(struct client, c->n);
	c->polls = g_new0(struct pollfd, c->n);
	for (int i = 0; i < n; i++) {
		const struct crowd_group *g = &groups[i];
		bool reads = g->kind != CROWD_UNREAD;

		for (int k = 0; k < g->clients; k++) {
			/* Only jobs and records differ. */
			if (!k || g->kind == CROWD_TASKS ||
			    g->kind == CROWD_RECORDS)
				g_ptr_array_add(c->wires,
						make_wire(g, g->first + k));
			c->clients[at] = (struct client){
				.fd = connect_to(g->ip, g->port, reads,
						 g->apart ? at : 0),
				.wire = c->wires->pdata[c->wires->len - 1],
				.reads = reads,
				.piece = g->kind == CROWD_PIECES ? PIECE_BYTES
								 : WRITE_BYTES,
			};
			at++;
		}
	}
	for (;;) {
		bool progress = false;
		int sending = turn(c, &progress);

		crowd_sample(usage, false);
		if (progress)
			progress_ms = hx_now_ms();
		if (!sending || hx_now_ms() - progress_ms > STALL_MS)
			break;
	}
	crowd_sample(usage, true);
	return c;
}

int crowd_sent(const struct crowd *c)
{
	int n = 0;

	for (int i = 0; i < c->n; i++)
		n += c->clients[i].sent == c->clients[i].wire->len;
	return n;
}

int crowd_closed(const struct crowd *c)
{
	int n = 0;

	for (int i = 0; i < c->n; i++)
		n += c->clients[i].fd < 0;
	return n;
}

void crowd_stop(struct crowd *c)
{
	for (int i = 0; i < c->n; i++) {
		if (c->clients[i].fd >= 0)
			close(c->clients[i].fd);
	}
	g_ptr_array_unref(c->wires);
	g_free(c->clients);
	g_free(c->polls);
	g_free(c);
}
