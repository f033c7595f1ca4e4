/* Event log: numbered events, written as syslog-style lines to standard error
 * or as key=value pairs to standard output. */
#ifndef LOG_H
#define LOG_H

#include <stdbool.h>
#include <stdint.h>

/* X(id, number, syslog priority, text). docs/EVENTS.md lists the same events;
 * tests/lint.sh compares the two. */
#define LOG_EVENTS(X)                                                          \
	X(LOG_STARTED, 1001, 6, "started")                                     \
	X(LOG_STOPPING, 1002, 5, "graceful shutdown started")                  \
	X(LOG_STOPPED, 1003, 6, "stopped")                                     \
	X(LOG_BAD_SETTINGS, 1004, 3, "settings rejected")                      \
	X(LOG_CANNOT_LISTEN, 1005, 3, "cannot open listening port")            \
	X(LOG_CLIENTS_LIMITED, 1006, 4, "clients beyond the limits refused")   \
	X(LOG_STORE_DOWN, 2001, 4, "table service unreachable")                \
	X(LOG_STORE_UP, 2002, 5, "table service reachable again")              \
	X(LOG_CONFIG_APPLIED, 2101, 6, "configuration revision applied")       \
	X(LOG_CONFIG_COMMITTED, 2102, 5, "configuration change committed")     \
	X(LOG_PERMIT_EXPIRED, 2103, 4, "permit expired; new work stopped")     \
	X(LOG_PERMIT_RENEWED, 2104, 5, "permit renewed; new work resumed")     \
	X(LOG_JOINED, 2201, 5, "joined the membership")                        \
	X(LOG_EXPELLED, 2202, 4, "removed from the membership; joining again") \
	X(LOG_MEMBER_REMOVED, 2203, 4, "removed an unreachable member")        \
	X(LOG_LINK_TIMEOUT, 2204, 4, "peer link timed out; reconnecting")      \
	X(LOG_GROUP_GAINED, 2301, 6, "target group gained")                    \
	X(LOG_GROUP_RELEASED, 2302, 6, "target group released")                \
	X(LOG_TARGET_PATH, 2303, 4, "target path quarantined")                 \
	X(LOG_SHARD_GAINED, 3001, 5, "shard gained")                           \
	X(LOG_SHARD_LOST, 3002, 4, "shard lost")                               \
	X(LOG_SHARD_FAILED, 3003, 3, "shard recovery failed")                  \
	X(LOG_SNAPSHOT_WRITTEN, 3004, 6, "shard snapshot written")             \
	X(LOG_SHARD_HANDED, 3005, 5, "shard handed over")                      \
	X(LOG_WORKER_LOST, 3101, 4, "worker lease expired without an answer")  \
	X(LOG_WORKER_QUARANTINED, 3102, 4, "worker quarantined")               \
	X(LOG_TASK_EVICTED, 3201, 6, "task evicted")                           \
	X(LOG_TASK_REJECTED, 3202, 5, "task rejected")                         \
	X(LOG_TASK, 4001, 6, "task decision")                                  \
	X(LOG_JOB, 4002, 6, "job decision")                                    \
	X(LOG_POLICY_ANSWER, 4003, 6, "policy service answered")               \
	X(LOG_SHARD_LOADED, 4004, 5, "shard loaded")                           \
	X(LOG_ROW_UNUSABLE, 4005, 4, "unusable row ignored")                   \
	X(LOG_DOMAIN_OUT, 4006, 5, "failure domain taken out of service")      \
	X(LOG_DOMAIN_IN, 4007, 5, "failure domain back in service")            \
	X(LOG_SETTINGS_CHECKED, 4008, 5, "settings valid; apply at restart")   \
	X(LOG_BAD_ANSWER, 4009, 4, "unusable answer ignored")                  \
	X(LOG_LINES_DROPPED, 4010, 4, "log lines dropped")                     \
	X(LOG_OWNERSHIP, 4011, 5, "certainty of shard ownership changed")      \
	X(LOG_SHARD_YIELDED, 4012, 4, "shard yielded for lack of CPU time")    \
	X(LOG_UPKEEP, 4013, 6, "upkeep decision")                              \
	X(LOG_DECISIONS_DROPPED, 4014, 4, "decision lines dropped")            \
	X(LOG_RELAY, 4015, 5, "link to a relay")                               \
	X(LOG_READ_AHEAD, 4016, 5, "rows of the shard read in advance")        \
	X(LOG_LEDGER_UNBALANCED, 3301, 2, "ledger does not balance")

enum log_event {
#define X(id, number, prio, text) id,
	LOG_EVENTS(X)
#undef X
};

/* Sets the program name in syslog-style lines. `name` is not copied. */
void log_set_program(const char *name);

/* Drops events of a larger syslog priority number, that is, less urgent ones
 * (default 6). */
void log_set_level(int priority);

/*
 * Switches to key=value lines on standard output. Lines are buffered and
 * written without blocking; lines that exceed the rate limit or that the reader
 * does not take in time are dropped and counted. Part of the buffer is reserved
 * for events of priority 5 and more urgent ones, so that others are dropped
 * first. Only one thread may log in this mode.
 */
void log_to_stdout(void);

/* Writes the buffer every 100 ms and reports dropped lines; call it in each
 * iteration of the event loop with a monotonic time. */
void log_tick(int64_t now_ms);

/* Writes as much of the buffer as the reader takes now. */
void log_flush(void);

/* Logs one event; the format gives its details as key=value pairs. */
void log_event(enum log_event ev, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* What a decision is about. The strings are copied. */
struct log_subject {
	const char *worker; /* worker id, or "-" */
	const char *decision;
	bool may_use_reserve; /* as for events of priority 5 */
};

/* Like log_event. If the line is dropped, it is counted by worker and decision;
 * a summary is logged as LOG_DECISIONS_DROPPED, at most once a second. */
void log_decision(enum log_event ev, const struct log_subject *subject,
		  const char *fmt, ...) __attribute__((format(printf, 3, 4)));

#endif
