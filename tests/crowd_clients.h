/* Crowds of clients that stop short of the end of their requests, and the
 * memory and descriptors of the process that they are connected to. */
#ifndef CROWD_CLIENTS_H
#define CROWD_CLIENTS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

enum crowd_kind {
	CROWD_WHOLE, /* legal length announced; all but the last byte at once */
	CROWD_PIECES, /* the same, in small pieces */
	CROWD_CHUNKS, /* legal size in large chunks, without the last chunk */
	CROWD_SMALL_CHUNKS,
	CROWD_ANNOUNCED_OVER, /* far over the limit, by Content-Length */
	CROWD_CHUNKED_OVER, /* far over the limit, not announced */
	CROWD_HEADERS, /* most of a header */
	CROWD_LINKS, /* relay links: part of a frame */
	CROWD_FRAMES, /* links between daemons: most of a frame */
	CROWD_VALUES, /* complete, of legal size: a list of many empty objects
		       */
	CROWD_UNREAD, /* many requests, whose answers they don't read */
	CROWD_TASKS, /* complete: a job of its own, with the most tasks */
	CROWD_CALLS, /* complete: a request of legal size that runs for long */
	CROWD_PEER_CALLS, /* links to a scheduler: a complete call of values */
	CROWD_RECORDS, /* complete: a batch record of its own, most tasks */
	CROWD_KINDS
};

/* A group of equal clients of one port. */
struct crowd_group {
	enum crowd_kind kind;
	int port;
	int clients;
	const char *ip; /* NULL: 127.0.0.1 */
	const char *path; /* of HTTP requests; NULL: that of a job */
	int first; /* number of the first job */
	bool apart; /* each client has an address of its own */
};

/* Largest values seen so far. Memory is what is resident plus what the kernel
 * holds for the ports `first_port` to `last_port`: bytes that the process has
 * not read, or that the clients have not. */
struct crowd_usage {
	pid_t pid;
	int first_port;
	int last_port;
	int64_t memory_bytes;
	int descriptors;
	int64_t next_sample_ms;
};

struct crowd;

/* Connects the clients of all groups, and sends until all have sent their parts
 * or were disconnected, or the server reads no more. The clients stay open. */
struct crowd *crowd_start(const struct crowd_group *groups, int n,
			  struct crowd_usage *usage);
/* Closes the clients' connections. */
void crowd_stop(struct crowd *c);
/* Numbers of clients that sent all, and that were disconnected. */
int crowd_sent(const struct crowd *c);
int crowd_closed(const struct crowd *c);

/* Updates the largest values, at most every 20 ms unless `now`. */
void crowd_sample(struct crowd_usage *usage, bool now);

#endif
