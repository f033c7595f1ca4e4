/* Numbered events, written as syslog-style lines on standard error. */
#ifndef LOG_H
#define LOG_H

#include <stdbool.h>
#include <stdint.h>

/* Number, priority (syslog), name; docs/EVENTS.md lists the same. */
#define LOG_EVENTS(X)                                                          \
	X(LOG_STARTED, 1001, 6, "started")                                     \
	X(LOG_STOPPING, 1002, 5, "graceful stop begins")                       \
	X(LOG_STOPPED, 1003, 6, "stopped")                                     \
	X(LOG_BAD_SETTINGS, 1004, 3, "settings refused")                       \
	X(LOG_CANNOT_LISTEN, 1005, 3, "cannot listen")                         \
	X(LOG_STORE_DOWN, 2001, 4, "table service unreachable")                \
	X(LOG_STORE_UP, 2002, 5, "table service reachable again")              \
	X(LOG_CONFIG_APPLIED, 2101, 6, "configuration revision applied")       \
	X(LOG_CONFIG_COMMITTED, 2102, 5, "configuration change committed")     \
	X(LOG_PERMIT_LAPSED, 2103, 4, "permit lapsed; new work stops here")    \
	X(LOG_PERMIT_BACK, 2104, 5, "permit held again")                       \
	X(LOG_JOINED, 2201, 5, "joined the membership")                        \
	X(LOG_EXPELLED, 2202, 4, "removed from the membership; joining anew")  \
	X(LOG_MEMBER_DEAD, 2203, 4, "removed a silent member")                 \
	X(LOG_LINK_SILENT, 2204, 4, "link silent; closed and opened anew")     \
	X(LOG_GROUP_GAINED, 2301, 6, "target group gained")                    \
	X(LOG_GROUP_LOST, 2302, 6, "target group handed on")                   \
	X(LOG_TARGET_PATH, 2303, 4, "target path quarantined")                 \
	X(LOG_SHARD_GAINED, 3001, 5, "shard gained")                           \
	X(LOG_SHARD_LOST, 3002, 4, "shard lost")                               \
	X(LOG_SHARD_FAILED, 3003, 3, "shard could not be recovered")           \
	X(LOG_SNAPSHOT, 3004, 6, "shard snapshot written")                     \
	X(LOG_SHARD_HANDED, 3005, 5, "shard handed over")                      \
	X(LOG_WORKER_LOST, 3101, 4, "worker silent past its lease")            \
	X(LOG_WORKER_QUARANTINED, 3102, 4, "worker quarantined")               \
	X(LOG_TASK_EVICTED, 3201, 6, "task evicted")                           \
	X(LOG_TASK_REFUSED, 3202, 5, "task refused")                           \
	X(LOG_TASK, 4001, 6, "task decision")                                  \
	X(LOG_JOB, 4002, 6, "job decision")                                    \
	X(LOG_ADVICE, 4003, 6, "policy answered")                              \
	X(LOG_SHARD_LOADED, 4004, 5, "shard loaded")                           \
	X(LOG_ROW_UNUSABLE, 4005, 4, "row left out")                           \
	X(LOG_DOMAIN_OUT, 4006, 5, "failure domain out")                       \
	X(LOG_DOMAIN_IN, 4007, 5, "failure domain in")                         \
	X(LOG_RELOADED, 4008, 5, "settings read again")                        \
	X(LOG_BAD_ANSWER, 4009, 4, "answer left out")                          \
	X(LOG_DROPPED, 4010, 4, "log lines dropped")                           \
	X(LOG_TRUST, 4011, 5, "trust in the ownership changed")                \
	X(LOG_YIELD, 4012, 4, "shard given up for want of processor time")     \
	X(LOG_UPKEEP, 4013, 6, "upkeep decision")                              \
	X(LOG_LEFT_OUT, 4014, 4, "decisions left out")                         \
	X(LOG_LEDGER_UNBALANCED, 3301, 2, "ledger does not balance")

enum log_event {
#define X(id, number, prio, text) id,
	LOG_EVENTS(X)
#undef X
};

/* Sets the program name of later lines; `name` must outlive them. */
void log_init(const char *name);

/* Lines above this syslog priority are dropped (default 6). */
void log_level(int priority);

/*
 * Lines go to standard output as key=value pairs, collected and written
 * without waiting: what the reader doesn't take in time is dropped and
 * counted. A part of the room is for events of priority 5 and more urgent ones,
 * so that the others are dropped first. log_turn has to be called in each turn
 * of the program's loop.
 */
void log_to_stdout(void);
void log_turn(int64_t now_ms);
void log_flush(void);

/* Writes one line: priority, program, event number, text, details. */
void log_event(enum log_event ev, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* What a decision is about; texts are copied. */
struct log_about {
	const char *who;
	const char *what;
	bool keep; /* as if it were of a more urgent priority */
};

/* The same; if it is dropped, it is counted by `who` and `what`, and the count
 * is written once there is room. */
void log_decision(enum log_event ev, const struct log_about *about,
		  const char *fmt, ...) __attribute__((format(printf, 3, 4)));

#endif
