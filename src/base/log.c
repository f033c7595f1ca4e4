/* Numbered events: syslog-style on standard error, or key=value pairs. */
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
/* Lines wait at most this long, in ms, to be written together. */
#define FLUSH_MS 100
#define BUFFER_BYTES (128 * 1024)
/* Bound of the volume: bytes a second, with bursts of one buffer. */
#define BYTES_PER_S (256 * 1024)
/* Of a buffer and of a burst, for lines that are kept: about 200 of them, all
 * workers of a failure domain and the steps of a change of owner. */
#define RESERVE_BYTES (32 * 1024)
/* Events of this syslog priority, and more urgent ones, are kept. */
#define KEPT_PRIORITY 5

struct event_row {
	int number;
	int priority;
	const char *text;
};

static const struct event_row rows[] = {
#define X(id, number, prio, text) [id] = { number, prio, text },
	LOG_EVENTS(X)
#undef X
};

static const char *program = "godwitdrum";
static int max_priority = 6;

/* Lines collected for standard output; used by one thread only. */
static struct {
	bool on;
	char text[BUFFER_BYTES];
	size_t used;
	int64_t flushed_ms;
	int64_t budget; /* bytes that may still be written */
	uint64_t dropped;
	struct tally sums; /* decisions among the dropped lines */
} out;

void log_to_stdout(void)
{
	out.on = true;
	out.budget = BUFFER_BYTES;
	fcntl(STDOUT_FILENO, F_SETFL,
	      fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

void log_flush(void)
{
	size_t done = 0;

	while (done < out.used) {
		ssize_t n =
			write(STDOUT_FILENO, out.text + done, out.used - done);

		if (n <= 0)
			break;
		done += (size_t)n;
	}
	memmove(out.text, out.text + done, out.used - done);
	out.used -= done;
}

/* A line that isn't kept has no room where only the reserve is left. */
static bool has_room(size_t len, bool keep)
{
	size_t wanted = keep ? len : len + RESERVE_BYTES;

	return wanted <= sizeof(out.text) - out.used &&
	       (int64_t)wanted <= out.budget;
}

static void write_sums(void)
{
	uint64_t dropped = out.dropped;
	struct tally_entry e;

	if (!has_room(LOG_LINE_MAX, false))
		return;
	out.dropped = 0;
	if (dropped)
		log_event(LOG_DROPPED, "lines=%llu",
			  (unsigned long long)dropped);
	while (has_room(LOG_LINE_MAX, false) && tally_take(&out.sums, &e))
		log_event(LOG_LEFT_OUT, "worker=%s what=\"%s\" lines=%llu",
			  e.who, e.what, (unsigned long long)e.n);
}

void log_turn(int64_t now_ms)
{
	int64_t elapsed = now_ms - out.flushed_ms;

	if (!out.on || elapsed < FLUSH_MS)
		return;
	out.flushed_ms = now_ms;
	out.budget += elapsed * BYTES_PER_S / 1000;
	if (out.budget > BUFFER_BYTES)
		out.budget = BUFFER_BYTES;
	log_flush();
	write_sums();
	log_flush();
}

static void collect(const char *line, size_t len, bool keep,
		    const struct log_about *about)
{
	if (!has_room(len, keep)) {
		out.dropped++;
		if (about)
			tally_add(&out.sums, about->who, about->what);
		return;
	}
	memcpy(out.text + out.used, line, len);
	out.used += len;
	out.budget -= (int64_t)len;
}

static int put_head(char *line, size_t size, const struct event_row *row)
{
	struct timespec ts;

	if (!out.on)
		return snprintf(line, size, "<%d>%s[%d]: GD%d %s: ",
				LOG_FACILITY_DAEMON | row->priority, program,
				(int)getpid(), row->number, row->text);
	clock_gettime(CLOCK_REALTIME, &ts);
	return snprintf(line, size,
			"time=%lld.%03ld priority=%d event=GD%d text=\"%s\" ",
			(long long)ts.tv_sec, ts.tv_nsec / 1000000,
			row->priority, row->number, row->text);
}

void log_init(const char *name)
{
	program = name;
}

void log_level(int priority)
{
	max_priority = priority;
}

static void put(enum log_event ev, const struct log_about *about,
		const char *fmt, va_list ap)
{
	const struct event_row *row = &rows[ev];
	bool keep = row->priority <= KEPT_PRIORITY || (about && about->keep);
	char line[LOG_LINE_MAX];
	int n;

	if (row->priority > max_priority)
		return;
	n = put_head(line, sizeof(line), row);
	n += vsnprintf(line + n, sizeof(line) - n - 1, fmt, ap);
	if (n > (int)sizeof(line) - 2)
		n = sizeof(line) - 2;
	line[n++] = '\n';
	if (out.on) {
		collect(line, (size_t)n, keep, about);
		return;
	}
	/* One write a line, so that lines of several threads stay whole. */
	if (write(STDERR_FILENO, line, n) < 0)
		return;
}

void log_event(enum log_event ev, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	put(ev, NULL, fmt, ap);
	va_end(ap);
}

void log_decision(enum log_event ev, const struct log_about *about,
		  const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	put(ev, about, fmt, ap);
	va_end(ap);
}
