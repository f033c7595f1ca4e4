/* Event log: formats lines, and buffers and rate-limits standard output. */
#include "base/log.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/tally.h"

#define LOG_LINE_MAX 1024
#define LOG_FACILITY_DAEMON (3 << 3)
/* Buffered lines are written at this interval. */
#define FLUSH_INTERVAL_MS 100
/* Dropped decisions are summarised at this interval. */
#define SUMMARY_INTERVAL_MS 1000
#define BUFFER_BYTES (128 * 1024)
/* A pipe takes writes of up to this length whole (PIPE_BUF); a longer one that
 * it takes in part cuts a line. */
#define WRITE_BYTES_MAX 4096
/* Rate limit; a burst may fill one buffer. */
#define BYTES_PER_S (256 * 1024)
/* Part of the buffer and of a burst that is reserved for important lines. Holds
 * about 200 lines: enough for all workers of a failure domain and the steps of
 * a change of owner. */
#define RESERVE_BYTES (32 * 1024)
/* Events of this syslog priority and more urgent ones may use the reserve. */
#define RESERVE_PRIORITY 5

struct event_desc {
	int number;
	int priority;
	const char *text;
};

static const struct event_desc events[] = {
#define X(id, number, prio, text) [id] = { number, prio, text },
	LOG_EVENTS(X)
#undef X
};

static const char *program_name = "godwitdrum";
static int max_priority = 6;

/* Buffer for standard output; used by one thread only. */
static struct {
	bool enabled;
	char text[BUFFER_BYTES];
	size_t used;
	int64_t flushed_ms;
	int64_t budget; /* bytes that the rate limit still allows */
	uint64_t dropped; /* lines, since they were last reported */
	struct tally decisions; /* dropped lines of log_decision */
	int64_t summary_due_ms;
} out;

void log_to_stdout(void)
{
	out.enabled = true;
	out.budget = BUFFER_BYTES;
	fcntl(STDOUT_FILENO, F_SETFL,
	      fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

/* Returns the length of the whole lines at `text` that one write takes. */
static size_t chunk_len(const char *text, size_t len)
{
	const char *end;

	if (len <= WRITE_BYTES_MAX)
		return len;
	end = memrchr(text, '\n', WRITE_BYTES_MAX);
	return end ? (size_t)(end - text) + 1 : WRITE_BYTES_MAX;
}

void log_flush(void)
{
	size_t done = 0;

	while (done < out.used) {
		ssize_t n = write(STDOUT_FILENO, out.text + done,
				  chunk_len(out.text + done, out.used - done));

		if (n <= 0)
			break;
		done += (size_t)n;
	}
	memmove(out.text, out.text + done, out.used - done);
	out.used -= done;
}

/* Lines that may not use the reserve must leave it free. */
static bool has_room(size_t len, bool may_use_reserve)
{
	size_t wanted = may_use_reserve ? len : len + RESERVE_BYTES;

	return wanted <= sizeof(out.text) - out.used &&
	       (int64_t)wanted <= out.budget;
}

/* Logs which decisions were among the dropped lines. */
static void summarise_decisions(int64_t now_ms)
{
	struct tally_summary s;

	if (now_ms < out.summary_due_ms || !has_room(LOG_LINE_MAX, false) ||
	    !tally_take(&out.decisions, &s))
		return;
	out.summary_due_ms = now_ms + SUMMARY_INTERVAL_MS;
	log_event(LOG_DECISIONS_DROPPED,
		  "lines=%llu workers=%d kinds=\"%s\" most=\"%s\"",
		  (unsigned long long)s.count, s.workers, s.kinds, s.most);
}

/* Logs how many lines were dropped. */
static void report_dropped(void)
{
	uint64_t dropped = out.dropped;

	if (!has_room(LOG_LINE_MAX, false))
		return;
	out.dropped = 0;
	if (dropped)
		log_event(LOG_LINES_DROPPED, "lines=%llu",
			  (unsigned long long)dropped);
}

void log_tick(int64_t now_ms)
{
	int64_t elapsed = now_ms - out.flushed_ms;

	if (!out.enabled || elapsed < FLUSH_INTERVAL_MS)
		return;
	out.flushed_ms = now_ms;
	out.budget += elapsed * BYTES_PER_S / 1000;
	if (out.budget > BUFFER_BYTES)
		out.budget = BUFFER_BYTES;
	log_flush();
	report_dropped();
	summarise_decisions(now_ms);
	log_flush();
}

static void buffer_line(const char *line, size_t len, bool may_use_reserve,
			const struct log_subject *subject)
{
	if (!has_room(len, may_use_reserve)) {
		out.dropped++;
		if (subject)
			tally_add(&out.decisions, subject->worker,
				  subject->decision);
		return;
	}
	memcpy(out.text + out.used, line, len);
	out.used += len;
	out.budget -= (int64_t)len;
}

static int format_head(char *line, size_t size, const struct event_desc *event)
{
	struct timespec ts;

	if (!out.enabled)
		return snprintf(line, size, "<%d>%s[%d]: GD%d %s: ",
				LOG_FACILITY_DAEMON | event->priority,
				program_name, (int)getpid(), event->number,
				event->text);
	clock_gettime(CLOCK_REALTIME, &ts);
	return snprintf(line, size,
			"time=%lld.%03ld priority=%d event=GD%d text=\"%s\" ",
			(long long)ts.tv_sec, ts.tv_nsec / 1000000,
			event->priority, event->number, event->text);
}

void log_set_program(const char *name)
{
	program_name = name;
}

void log_set_level(int priority)
{
	max_priority = priority;
}

static void log_line(enum log_event ev, const struct log_subject *subject,
		     const char *fmt, va_list ap)
{
	const struct event_desc *event = &events[ev];
	bool may_use_reserve = event->priority <= RESERVE_PRIORITY ||
			       (subject && subject->may_use_reserve);
	char line[LOG_LINE_MAX];
	int n;

	if (event->priority > max_priority)
		return;
	n = format_head(line, sizeof(line), event);
	n += vsnprintf(line + n, sizeof(line) - n - 1, fmt, ap);
	if (n > (int)sizeof(line) - 2)
		n = sizeof(line) - 2;
	line[n++] = '\n';
	if (out.enabled) {
		buffer_line(line, (size_t)n, may_use_reserve, subject);
		return;
	}
	/* One write per line, so that lines of several threads don't mix. */
	if (write(STDERR_FILENO, line, n) < 0)
		return;
}

void log_event(enum log_event ev, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	log_line(ev, NULL, fmt, ap);
	va_end(ap);
}

void log_decision(enum log_event ev, const struct log_subject *subject,
		  const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	log_line(ev, subject, fmt, ap);
	va_end(ap);
}
