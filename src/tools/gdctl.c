/* gdctl: command-line client for operators. Sends commands to gd-entry and
 * checks files locally. */
#include <argp.h>
#include <curl/curl.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "protocol/rec.h"
#include "protocol/settings.h"

#define ENTRIES_MAX 64
#define ATTEMPTS_MAX 6
#define TIMEOUT_MS 30000L
#define EXIT_REFUSED 1
#define EXIT_UNAVAILABLE 2
#define EXIT_USAGE 64
#define URL_MAX 512

const char *argp_program_version = "gdctl 0.1";

static const struct argp_option options[] = {
	{ "entry", 'e', "URL", 0,
	  "URL of a gd-entry; may be given several times", 0 },
	{ "operation", 'o', "ID", 0,
	  "Operation id; calls with the same id take effect once", 0 },
	{ "at", 'a', "REVISION", 0,
	  "Fail unless the record is at this revision", 0 },
	{ 0 }
};

static const char doc[] =
	"Operates godwitdrum.\v"
	"Commands:\n"
	"  submit FILE    amend FILE    withdraw FILE\n"
	"  domain out NAME    domain in NAME\n"
	"  status    records    batch    ledger    metrics\n"
	"  trace JOB\n"
	"  check record|entry|sched FILE\n"
	"Exit codes: 0 done, 1 refused, 2 unavailable or unknown, 64 usage.";

struct args {
	const char *entries[ENTRIES_MAX];
	int n_entries;
	char operation[96];
	const char *revision; /* that the record must be at; NULL: any */
	char *words[4]; /* command and its arguments */
	int n_words;
};

struct body {
	char *text;
	size_t len;
};

static error_t on_option(int key, char *arg, struct argp_state *state)
{
	struct args *a = state->input;

	switch (key) {
	case 'e':
		if (a->n_entries < ENTRIES_MAX)
			a->entries[a->n_entries++] = arg;
		return 0;
	case 'o':
		snprintf(a->operation, sizeof(a->operation), "%s", arg);
		return 0;
	case 'a':
		a->revision = arg;
		return 0;
	case ARGP_KEY_ARG:
		if (a->n_words == 3)
			argp_usage(state);
		a->words[a->n_words++] = arg;
		return 0;
	case ARGP_KEY_END:
		if (!a->n_words)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = { options, on_option, "COMMAND [ARGUMENT...]",
				  doc,	   0,	      0,
				  0 };

static size_t on_body(char *data, size_t size, size_t n, void *priv)
{
	struct body *b = priv;

	b->text = realloc(b->text, b->len + size * n + 1);
	memcpy(b->text + b->len, data, size * n);
	b->len += size * n;
	b->text[b->len] = '\0';
	return size * n;
}

/* Sends a POST request, or GET if `post` is NULL. Returns the HTTP status, 0 if
 * there was no complete response. */
static long send_request(const char *url, const char *post,
			 const char *operation, struct body *out)
{
	CURL *easy = curl_easy_init();
	struct curl_slist *headers = NULL;
	char header[160];
	long status = 0;

	snprintf(header, sizeof(header), "Operation-Id: %s", operation);
	headers = curl_slist_append(headers, header);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, out);
	if (post)
		curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, post);
	if (curl_easy_perform(easy) == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_slist_free_all(headers);
	curl_easy_cleanup(easy);
	return status;
}

/* Returns true if another gd-entry may succeed. */
static bool is_retryable(long status)
{
	return status == 0 || status == 503 || status == 504;
}

/* Tries the given gd-entry URLs in turn and prints the response. All attempts
 * have the same operation id, so the operation takes effect once. Returns the
 * exit code. */
static int call_entries(const struct args *a, const char *path,
			const char *post)
{
	struct body out = { 0 };
	long status = 0;

	for (int i = 0; i < ATTEMPTS_MAX; i++) {
		char url[URL_MAX];

		snprintf(url, sizeof(url), "%s%s", a->entries[i % a->n_entries],
			 path);
		free(out.text);
		out = (struct body){ 0 };
		status = send_request(url, post, a->operation, &out);
		if (!is_retryable(status))
			break;
		usleep(200000);
	}
	printf("%s\n", out.text ? out.text : "{\"error\":\"unavailable\"}");
	free(out.text);
	if (status == 200)
		return 0;
	return is_retryable(status) ? EXIT_UNAVAILABLE : EXIT_REFUSED;
}

static char *read_file(const char *path)
{
	FILE *f = fopen(path, "r");
	char *text = NULL;
	size_t len = 0;

	if (!f || getdelim(&text, &len, '\0', f) < 0) {
		fprintf(stderr, "gdctl: cannot read file %s: check the path\n",
			path);
		free(text);
		text = NULL;
	}
	if (f)
		fclose(f);
	return text;
}

static int post_record(const struct args *a, const char *verb, const char *path)
{
	char *text = read_file(path);
	struct err e = { 0 };
	char path_and_revision[128];
	struct rec rec;
	int code;

	if (!text)
		return EXIT_REFUSED;
	if (!rec_parse_text(text, &rec, &e)) {
		fprintf(stderr, "gdctl: %s: %s\n", path, e.text);
		free(text);
		return EXIT_REFUSED;
	}
	snprintf(path_and_revision, sizeof(path_and_revision), "/v1/%s%s%s",
		 verb, a->revision ? "@" : "", a->revision ? a->revision : "");
	code = call_entries(a, path_and_revision, text);
	free(text);
	return code;
}

static int cmd_submit(const struct args *a)
{
	return post_record(a, "submit", a->words[1]);
}

static int cmd_amend(const struct args *a)
{
	return post_record(a, "amend", a->words[1]);
}

static int cmd_withdraw(const struct args *a)
{
	return post_record(a, "withdraw", a->words[1]);
}

static int cmd_domain(const struct args *a)
{
	json_t *j = json_pack("{s:i,s:s,s:{s:s},s:{s:s}}", "schema", 2, "kind",
			      "domain", "meta", "name", a->words[2], "spec",
			      "state", a->words[1]);
	char *text = json_dumps(j, JSON_COMPACT);
	int code = call_entries(a, "/v1/amend", text);

	free(text);
	json_decref(j);
	return code;
}

static int cmd_get(const struct args *a)
{
	char path[64];

	snprintf(path, sizeof(path), "/v1/%s", a->words[0]);
	return call_entries(a, path, NULL);
}

static int cmd_metrics(const struct args *a)
{
	return call_entries(a, "/metrics", NULL);
}

static int cmd_trace(const struct args *a)
{
	char path[128];

	snprintf(path, sizeof(path), "/v1/trace/%s", a->words[1]);
	return call_entries(a, path, NULL);
}

static int cmd_check(const struct args *a)
{
	struct settings set;
	struct err e = { 0 };
	struct rec rec;
	char *text;
	bool good;

	if (!strcmp(a->words[1], "record")) {
		text = read_file(a->words[2]);
		good = text && rec_parse_text(text, &rec, &e);
		free(text);
	} else {
		good = settings_load(a->words[2],
				     strcmp(a->words[1], "sched") != 0
					     ? SETTINGS_ENTRY
					     : SETTINGS_SCHED,
				     &set, &e);
	}
	if (good)
		printf("%s: good\n", a->words[2]);
	else
		fprintf(stderr, "gdctl: %s: %s\n", a->words[2], e.text);
	return good ? 0 : EXIT_REFUSED;
}

struct command {
	const char *name;
	int n_words; /* including the name */
	bool needs_entry;
	int (*run)(const struct args *a);
};

static const struct command commands[] = {
	{ "submit", 2, true, cmd_submit },
	{ "amend", 2, true, cmd_amend },
	{ "withdraw", 2, true, cmd_withdraw },
	{ "domain", 3, true, cmd_domain },
	{ "status", 1, true, cmd_get },
	{ "records", 1, true, cmd_get },
	{ "batch", 1, true, cmd_get },
	{ "ledger", 1, true, cmd_get },
	{ "metrics", 1, true, cmd_metrics },
	{ "trace", 2, true, cmd_trace },
	{ "check", 3, false, cmd_check },
};

int main(int argc, char **argv)
{
	struct args a = { 0 };

	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&argp, argc, argv, 0, 0, &a);
	if (!*a.operation)
		snprintf(a.operation, sizeof(a.operation), "gdctl-%d-%lld",
			 (int)getpid(), (long long)time(NULL));
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		const struct command *c = &commands[i];

		if (strcmp(c->name, a.words[0]) != 0 || c->n_words != a.n_words)
			continue;
		if (c->needs_entry && !a.n_entries) {
			fprintf(stderr,
				"gdctl: no gd-entry given: add --entry URL\n");
			return EXIT_USAGE;
		}
		return c->run(&a);
	}
	fprintf(stderr, "gdctl: unknown command or wrong number of arguments: "
			"see --help\n");
	return EXIT_USAGE;
}
