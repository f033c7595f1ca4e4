/*
 * Messages between the daemons, encoded as msgpack arrays. The origin of a
 * request is the member that received it from the caller.
 */
#ifndef MSG_H
#define MSG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum msg_kind {
	MSG_PING, /* heartbeat; asks for the peer's configuration revision */
	MSG_PONG, /* answer to PING; echoes its sent_us */
	MSG_REQUEST, /* origin to group owner: a request to run */
	MSG_BINDING, /* owner to origin or backup: target of a request */
	MSG_ANSWER, /* owner to origin: outcome of a REQUEST */
	MSG_BINDING_QUERY, /* new owner to members: asks for known bindings */
	MSG_BINDING_REPORT, /* one binding; an empty target ends the list */
	MSG_CALL, /* gd-entry to gd-sched: one operation */
	MSG_REPLY, /* result of a CALL */
	MSG_KINDS,
};

/* Every request ends with one of these. */
enum msg_outcome {
	MSG_ANSWERED,
	MSG_NOT_RUN, /* certain: no target accepted any part of it */
	MSG_UNKNOWN, /* may have run */
};

/* Status of an ANSWER that is NOT_RUN: the member that was asked doesn't own
 * the group or hands it over. */
#define MSG_STATUS_MOVED 1

/* The fields of all kinds. msg.c lists the ones that each kind has. */
struct msg {
	enum msg_kind kind;
	uint64_t id; /* set by the sender of a request, echoed in the answer */
	const char *from; /* member id */
	uint64_t incarnation; /* of the sender's process */
	int64_t sent_us; /* monotonic clock of the PING's sender */
	int64_t revision; /* of the sender's configuration */
	const char *request_id; /* chosen by the caller */
	const char *service;
	const char *tenant;
	const char *group;
	bool idempotent;
	int64_t remaining_ms; /* until the deadline */
	const char *body;
	size_t body_len;
	const char *target;
	int64_t outcome;
	int64_t status; /* ANSWER: HTTP status or MSG_STATUS_MOVED; REPLY:
			 * result; PING, PONG: 1 if the sender has
			 * settled on its revision */
	const char *text; /* reason of an outcome, or JSON */
	const char *verb; /* CALL: name of the operation */
	const char *key; /* of a binding, or CALL: of a record */
};

/* Returns the encoded message, a talloc child of `ctx`. */
void *msg_pack(void *ctx, const struct msg *m, size_t *len);

/* Decodes a message into a talloc child of `ctx`. Strings that the kind does
 * not have are "". Returns NULL if the message is malformed. */
struct msg *msg_unpack(void *ctx, const void *data, size_t len);

/*
 * Returns whether the data is one value of lists, nested at most `depth` deep,
 * texts, numbers and nil, whose lengths are as declared. Check it before
 * decoding: the library allocates lists by their declared lengths.
 */
bool msg_is_well_formed(const void *data, size_t len, int depth);

/* Returns the name of an outcome as in HTTP bodies and logs. */
const char *msg_outcome_name(int64_t outcome);

#endif
