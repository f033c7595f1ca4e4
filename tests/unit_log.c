/* Tests which lines the log drops when more is logged than may be written. */
#include <fcntl.h>
#include <glib.h>
#include <limits.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "base/tally.h"
#include "tests/unit.h"

#define LOG_LEVEL_ALL 7
/* Interval between two calls of log_tick, in ms of simulated time. */
#define TICK_MS 100
/* Lines logged between two ticks: several times what the buffer holds. */
#define FLOOD_LINES 3000
#define WORKERS 40

static int out_fd;
static int64_t now_ms;

/* Redirects the standard output of this process to a file. */
static void capture_output(void)
{
	g_autofree char *path = NULL;

	out_fd = g_file_open_tmp("gd-log-XXXXXX", &path, NULL);
	g_assert_cmpint(out_fd, >=, 0);
	unlink(path);
	g_assert_cmpint(dup2(out_fd, STDOUT_FILENO), ==, STDOUT_FILENO);
	log_set_level(LOG_LEVEL_ALL);
	log_to_stdout();
}

static void tick(int ticks)
{
	for (int i = 0; i < ticks; i++) {
		now_ms += TICK_MS;
		log_tick(now_ms);
	}
}

static char *captured_output(void)
{
	off_t len = lseek(out_fd, 0, SEEK_END);
	char *text = g_malloc0((gsize)len + 1);

	g_assert_cmpint(pread(out_fd, text, (size_t)len, 0), ==, len);
	return text;
}

static int count_matches(const char *text, const char *part)
{
	int n = 0;

	for (; (text = strstr(text, part)); text += strlen(part))
		n++;
	return n;
}

static void log_task_lines(int lines)
{
	for (int i = 0; i < lines; i++)
		log_event(LOG_TASK,
			  "what=\"start\" task=0123456789abcdef.0.0.%d#1 "
			  "worker=w%d why=\"-\" epoch=2 answer_age_ms=10 "
			  "config=4",
			  i, i % WORKERS);
}

/*
 * Guards against losing the lines that describe a recovery: when a new owner
 * took over a shard, GD4010 reported 1,153 dropped lines and those were among
 * them.
 */
static void test_recovery_is_kept(void)
{
	g_autofree char *text = NULL;

	if (!g_test_subprocess()) {
		g_test_trap_subprocess(NULL, 0, G_TEST_SUBPROCESS_DEFAULT);
		g_test_trap_assert_passed();
		return;
	}
	capture_output();
	tick(10);
	log_task_lines(FLOOD_LINES);
	log_event(LOG_SHARD_LOST, "part=s0 epoch=1 why=released");
	log_event(LOG_SHARD_GAINED, "part=s0 epoch=2 from=x");
	log_event(LOG_OWNERSHIP, "shard=0 trust=1 confirm_age_ms=1400");
	log_event(LOG_STORE_DOWN, "why=timeout");
	log_task_lines(FLOOD_LINES);
	log_event(LOG_STORE_UP, "after_ms=700");
	log_event(LOG_SHARD_LOADED, "shard=0 epoch=2");
	tick(20);
	text = captured_output();
	g_assert_cmpint(count_matches(text, "event=GD4010"), >, 0);
	g_assert_cmpint(count_matches(text, "event=GD3002"), ==, 1);
	g_assert_cmpint(count_matches(text, "event=GD3001"), ==, 1);
	g_assert_cmpint(count_matches(text, "event=GD4011"), ==, 1);
	g_assert_cmpint(count_matches(text, "event=GD2001"), ==, 1);
	g_assert_cmpint(count_matches(text, "event=GD2002"), ==, 1);
	g_assert_cmpint(count_matches(text, "event=GD4004"), ==, 1);
}

static void log_task_decision(const char *decision, int worker,
			      bool may_use_reserve)
{
	char id[16];
	struct log_subject subject = { id, decision, may_use_reserve };

	snprintf(id, sizeof(id), "w%d", worker);
	log_decision(LOG_TASK, &subject,
		     "what=\"%s\" task=0123456789abcdef.0.0.0#1 worker=%s "
		     "why=\"-\" epoch=2 answer_age_ms=10 config=4",
		     decision, id);
}

/* Returns the sum, over the captured GD4014 lines, of the numbers behind `key`.
 */
static int64_t sum_drops(const char *text, const char *key)
{
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
	int64_t n = 0;

	for (int i = 0; lines[i]; i++) {
		const char *at = strstr(lines[i], "event=GD4014");

		at = at ? strstr(at, key) : NULL;
		if (at)
			n += g_ascii_strtoll(at + strlen(key), NULL, 10);
	}
	return n;
}

/*
 * Guards against decisions that vanish without a trace: a recovery's decisions
 * were among 1,153 dropped lines, and their number per worker was unknown. Each
 * decision is written or counted exactly once, and decisions about a worker as
 * a whole are written.
 */
static void test_decisions_are_summed_up(void)
{
	g_autofree char *text = NULL;
	int64_t n_dropped = 0;

	if (!g_test_subprocess()) {
		g_test_trap_subprocess(NULL, 0, G_TEST_SUBPROCESS_DEFAULT);
		g_test_trap_assert_passed();
		return;
	}
	capture_output();
	tick(10);
	for (int i = 0; i < FLOOD_LINES; i++)
		log_task_decision("start", i % WORKERS, false);
	for (int i = 0; i < WORKERS; i++)
		log_task_decision("worker lost", i, true);
	tick(20);
	text = captured_output();
	g_assert_cmpint(count_matches(text, "what=\"worker lost\" task="), ==,
			WORKERS);
	n_dropped = sum_drops(text, " lines=");
	g_assert_cmpint(n_dropped, >, 0);
	g_assert_cmpint(sum_drops(text, "kinds=\"start:"), ==, n_dropped);
	g_assert_nonnull(strstr(text, " workers=40 kinds=\"start:"));
	g_assert_cmpint(n_dropped + count_matches(text, "what=\"start\" task="),
			==, FLOOD_LINES);
}

/* With more workers than slots in the tally, the rest counts as "other". */
static void test_sums_are_bounded(void)
{
	g_autofree char *text = NULL;

	if (!g_test_subprocess()) {
		g_test_trap_subprocess(NULL, 0, G_TEST_SUBPROCESS_DEFAULT);
		g_test_trap_assert_passed();
		return;
	}
	capture_output();
	tick(10);
	for (int i = 0; i < FLOOD_LINES; i++)
		log_task_decision("start", i, false);
	tick(20);
	text = captured_output();
	g_assert_cmpint(sum_drops(text, "other:"), >, 0);
	g_assert_cmpint(sum_drops(text, " lines=") +
				count_matches(text, "what=\"start\" task="),
			==, FLOOD_LINES);
	g_assert_cmpint(sum_drops(text, " workers="), >, TALLY_SLOTS / 2);
	g_assert_cmpint(count_matches(text, "event=GD4014"), ==, 1);
}

/*
 * Guards against a log that its own summaries fill: one VM wrote 42,650 lines
 * of them in a day, one for each kind and worker.
 */
static void test_one_summary_a_second(void)
{
	g_autofree char *text = NULL;

	if (!g_test_subprocess()) {
		g_test_trap_subprocess(NULL, 0, G_TEST_SUBPROCESS_DEFAULT);
		g_test_trap_assert_passed();
		return;
	}
	capture_output();
	for (int i = 0; i < 50; i++) {
		for (int k = 0; k < FLOOD_LINES; k++)
			log_task_decision(k % 2 ? "start" : "end", k % 300,
					  false);
		tick(1);
	}
	tick(40);
	text = captured_output();
	/* Nine seconds in all. */
	g_assert_cmpint(count_matches(text, "event=GD4014"), >, 1);
	g_assert_cmpint(count_matches(text, "event=GD4014"), <=, 9);
	g_assert_cmpint(sum_drops(text, " lines=") +
				count_matches(text, " task="),
			==, 50 * FLOOD_LINES);
}

/*
 * The reader stalls for five seconds: logging does not block, and afterwards
 * each decision is either written or counted as dropped.
 */
static void test_reader_that_stalls(void)
{
	g_autofree char *text = NULL;
	char taken[80 * 1024] = "";
	int ends[2];

	if (!g_test_subprocess()) {
		g_test_trap_subprocess(NULL, 0, G_TEST_SUBPROCESS_DEFAULT);
		g_test_trap_assert_passed();
		return;
	}
	capture_output();
	g_assert_cmpint(pipe(ends), ==, 0);
	g_assert_cmpint(dup2(ends[1], STDOUT_FILENO), ==, STDOUT_FILENO);
	log_to_stdout();
	for (int i = 0; i < 50; i++) {
		for (int k = 0; k < 500; k++)
			log_task_decision("start", 1, false);
		tick(1);
	}
	/* Appends the content of the pipe to the file before later lines. */
	g_assert_cmpint(read(ends[0], taken, sizeof(taken) - 1), >, 0);
	g_assert_cmpint(write(out_fd, taken, strlen(taken)), ==, strlen(taken));
	g_assert_cmpint(dup2(out_fd, STDOUT_FILENO), ==, STDOUT_FILENO);
	tick(20);
	text = captured_output();
	g_assert_cmpint(sum_drops(text, "most=\"w1:"), >, 20000);
	g_assert_cmpint(sum_drops(text, " lines=") +
				count_matches(text, "what=\"start\" task="),
			==, 50 * 500);
}

/*
 * Guards against cut log lines: a collector that takes a limited length from
 * each write lost the rest of all longer ones, 80 of 100 lines of an owner.
 */
static void test_whole_lines_per_write(void)
{
	char packet[2 * PIPE_BUF];
	int ends[2];
	int lines = 0;

	if (!g_test_subprocess()) {
		g_test_trap_subprocess(NULL, 0, G_TEST_SUBPROCESS_DEFAULT);
		g_test_trap_assert_passed();
		return;
	}
	capture_output();
	/* Keeps the boundaries of writes. */
	g_assert_cmpint(socketpair(AF_UNIX, SOCK_SEQPACKET, 0, ends), ==, 0);
	g_assert_cmpint(dup2(ends[1], STDOUT_FILENO), ==, STDOUT_FILENO);
	log_to_stdout();
	log_task_lines(200);
	tick(1);
	while (lines < 200) {
		ssize_t n =
			recv(ends[0], packet, sizeof(packet) - 1, MSG_DONTWAIT);

		g_assert_cmpint(n, >, 0);
		g_assert_cmpint(n, <=, PIPE_BUF);
		g_assert_cmpint(packet[n - 1], ==, '\n');
		packet[n] = '\0';
		lines += count_matches(packet, "event=GD4001");
	}
	g_assert_cmpint(lines, ==, 200);
}

/* The rate limit holds for lines of every priority. */
static void test_volume_is_bounded(void)
{
	g_autofree char *text = NULL;

	if (!g_test_subprocess()) {
		g_test_trap_subprocess(NULL, 0, G_TEST_SUBPROCESS_DEFAULT);
		g_test_trap_assert_passed();
		return;
	}
	capture_output();
	for (int i = 0; i < 50; i++) {
		log_task_lines(FLOOD_LINES);
		for (int k = 0; k < FLOOD_LINES; k++)
			log_event(LOG_OWNERSHIP, "shard=0 trust=1 n=%d", k);
		tick(1);
	}
	text = captured_output();
	/* Five seconds of 256 KiB, and the first burst. */
	g_assert_cmpuint(strlen(text), <=, (5 * 256 + 128) * 1024);
	g_assert_cmpuint(strlen(text), >, 4 * 256 * 1024);
}

void unit_add_log(void)
{
	g_test_add_func("/log/recovery-is-kept", test_recovery_is_kept);
	g_test_add_func("/log/decisions-are-summed-up",
			test_decisions_are_summed_up);
	g_test_add_func("/log/sums-are-bounded", test_sums_are_bounded);
	g_test_add_func("/log/one-summary-a-second", test_one_summary_a_second);
	g_test_add_func("/log/reader-that-stalls", test_reader_that_stalls);
	g_test_add_func("/log/whole-lines-per-write",
			test_whole_lines_per_write);
	g_test_add_func("/log/volume-is-bounded", test_volume_is_bounded);
}
