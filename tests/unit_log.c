/* Which lines are left out when more is logged than may be written. */
#include <fcntl.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/log.h"
#include "base/tally.h"
#include "tests/unit.h"

#define LOG_LEVEL_ALL 7
/* The program's loop turns this often, in ms of the log's own clock. */
#define TURN_MS 100
/* Decisions of one turn: several times what a buffer holds. */
#define FLOOD_LINES 3000
#define WORKERS 40

static int out_fd;
static int64_t now_ms;

/* Standard output of this process becomes a file. */
static void catch_output(void)
{
	g_autofree char *path = NULL;

	out_fd = g_file_open_tmp("gd-log-XXXXXX", &path, NULL);
	g_assert_cmpint(out_fd, >=, 0);
	unlink(path);
	g_assert_cmpint(dup2(out_fd, STDOUT_FILENO), ==, STDOUT_FILENO);
	log_level(LOG_LEVEL_ALL);
	log_to_stdout();
}

static void turn(int turns)
{
	for (int i = 0; i < turns; i++) {
		now_ms += TURN_MS;
		log_turn(now_ms);
	}
}

static char *output(void)
{
	off_t len = lseek(out_fd, 0, SEEK_END);
	char *text = g_malloc0((gsize)len + 1);

	g_assert_cmpint(pread(out_fd, text, (size_t)len, 0), ==, len);
	return text;
}

static int count(const char *text, const char *part)
{
	int n = 0;

	for (; (text = strstr(text, part)); text += strlen(part))
		n++;
	return n;
}

static void flood(int lines)
{
	for (int i = 0; i < lines; i++)
		log_event(LOG_TASK,
			  "what=\"start\" task=0123456789abcdef.0.0.%d#1 "
			  "worker=w%d why=\"-\" epoch=2 answer_age_ms=10 "
			  "config=4",
			  i, i % WORKERS);
}

/*
 * Pattern: GD4010 with 1,153 lines where a new owner took over: what was left
 * out were the very lines that tell of the recovery.
 */
static void test_recovery_is_kept(void)
{
	g_autofree char *text = NULL;

	if (!g_test_subprocess()) {
		g_test_trap_subprocess(NULL, 0, G_TEST_SUBPROCESS_DEFAULT);
		g_test_trap_assert_passed();
		return;
	}
	catch_output();
	turn(10);
	flood(FLOOD_LINES);
	log_event(LOG_SHARD_LOST, "part=s0 epoch=1 why=released");
	log_event(LOG_SHARD_GAINED, "part=s0 epoch=2 from=x");
	log_event(LOG_TRUST, "shard=0 trust=1 confirm_age_ms=1400");
	log_event(LOG_STORE_DOWN, "why=timeout");
	flood(FLOOD_LINES);
	log_event(LOG_STORE_UP, "after_ms=700");
	log_event(LOG_SHARD_LOADED, "shard=0 epoch=2");
	turn(20);
	text = output();
	g_assert_cmpint(count(text, "event=GD4010"), >, 0);
	g_assert_cmpint(count(text, "event=GD3002"), ==, 1);
	g_assert_cmpint(count(text, "event=GD3001"), ==, 1);
	g_assert_cmpint(count(text, "event=GD4011"), ==, 1);
	g_assert_cmpint(count(text, "event=GD2001"), ==, 1);
	g_assert_cmpint(count(text, "event=GD2002"), ==, 1);
	g_assert_cmpint(count(text, "event=GD4004"), ==, 1);
}

static void decide(const char *what, int worker, bool keep)
{
	char who[16];
	struct log_about about = { who, what, keep };

	snprintf(who, sizeof(who), "w%d", worker);
	log_decision(LOG_TASK, &about,
		     "what=\"%s\" task=0123456789abcdef.0.0.0#1 worker=%s "
		     "why=\"-\" epoch=2 answer_age_ms=10 config=4",
		     what, who);
}

static int64_t sum_of(const char *text, const char *who, const char *what)
{
	g_autofree char *part =
		g_strdup_printf("event=GD4014 text=\"decisions left out\" "
				"worker=%s what=\"%s\" lines=",
				who, what);
	int64_t n = 0;

	for (; (text = strstr(text, part)); text += strlen(part))
		n += g_ascii_strtoll(text + strlen(part), NULL, 10);
	return n;
}

/*
 * Pattern: decisions of a recovery are among 1,153 dropped lines, and nobody
 * can tell how many each worker had. Each is written or counted once, and those
 * about whole workers are written.
 */
static void test_decisions_are_summed_up(void)
{
	g_autofree char *text = NULL;
	int64_t left_out = 0;

	if (!g_test_subprocess()) {
		g_test_trap_subprocess(NULL, 0, G_TEST_SUBPROCESS_DEFAULT);
		g_test_trap_assert_passed();
		return;
	}
	catch_output();
	turn(10);
	for (int i = 0; i < FLOOD_LINES; i++)
		decide("start", i % WORKERS, false);
	for (int i = 0; i < WORKERS; i++)
		decide("worker lost", i, true);
	turn(20);
	text = output();
	g_assert_cmpint(count(text, "what=\"worker lost\" task="), ==, WORKERS);
	for (int i = 0; i < WORKERS; i++) {
		g_autofree char *who = g_strdup_printf("w%d", i);

		g_assert_cmpint(sum_of(text, who, "start"), >, 0);
		left_out += sum_of(text, who, "start");
	}
	g_assert_cmpint(left_out + count(text, "what=\"start\" task="), ==,
			FLOOD_LINES);
	g_assert_cmpint(sum_of(text, "other", "other"), ==, 0);
}

/* More workers than the table has slots: the rest is counted together. */
static void test_sums_are_bounded(void)
{
	g_autofree char *text = NULL;

	if (!g_test_subprocess()) {
		g_test_trap_subprocess(NULL, 0, G_TEST_SUBPROCESS_DEFAULT);
		g_test_trap_assert_passed();
		return;
	}
	catch_output();
	turn(10);
	for (int i = 0; i < FLOOD_LINES; i++)
		decide("start", i, false);
	turn(20);
	text = output();
	g_assert_cmpint(sum_of(text, "other", "other"), >, 0);
	g_assert_cmpint(count(text, "event=GD4014"), >, TALLY_SLOTS / 2);
	g_assert_cmpint(count(text, "event=GD4014"), <=, TALLY_SLOTS + 1);
}

/*
 * The reader takes nothing for five seconds: nothing waits, and once it reads
 * on, each decision is there or in a count.
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
	catch_output();
	g_assert_cmpint(pipe(ends), ==, 0);
	g_assert_cmpint(dup2(ends[1], STDOUT_FILENO), ==, STDOUT_FILENO);
	log_to_stdout();
	for (int i = 0; i < 50; i++) {
		for (int k = 0; k < 500; k++)
			decide("start", 1, false);
		turn(1);
	}
	/* What the pipe holds comes before what goes to the file from now on.
	 */
	g_assert_cmpint(read(ends[0], taken, sizeof(taken) - 1), >, 0);
	g_assert_cmpint(write(out_fd, taken, strlen(taken)), ==, strlen(taken));
	g_assert_cmpint(dup2(out_fd, STDOUT_FILENO), ==, STDOUT_FILENO);
	turn(20);
	text = output();
	g_assert_cmpint(sum_of(text, "w1", "start"), >, 20000);
	g_assert_cmpint(sum_of(text, "w1", "start") +
				count(text, "what=\"start\" task="),
			==, 50 * 500);
}

/* What is logged beyond the bound isn't written, however important it is. */
static void test_volume_is_bounded(void)
{
	g_autofree char *text = NULL;

	if (!g_test_subprocess()) {
		g_test_trap_subprocess(NULL, 0, G_TEST_SUBPROCESS_DEFAULT);
		g_test_trap_assert_passed();
		return;
	}
	catch_output();
	for (int i = 0; i < 50; i++) {
		flood(FLOOD_LINES);
		for (int k = 0; k < FLOOD_LINES; k++)
			log_event(LOG_TRUST, "shard=0 trust=1 n=%d", k);
		turn(1);
	}
	text = output();
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
	g_test_add_func("/log/reader-that-stalls", test_reader_that_stalls);
	g_test_add_func("/log/volume-is-bounded", test_volume_is_bounded);
}
