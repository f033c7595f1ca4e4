/*
 * One HTTP request: call MS METHOD URL [BODY]. Prints the status, 0 if there
 * was no whole answer within MS milliseconds, and the body.
 */
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>

int main(int argc, char **argv)
{
	struct curl_slist *headers = NULL;
	char deadline[48];
	long status = 0;
	CURL *easy;

	if (argc < 4) {
		fprintf(stderr, "usage: call MS METHOD URL [BODY]\n");
		return 64;
	}
	snprintf(deadline, sizeof(deadline), "Deadline-Ms: %s", argv[1]);
	headers = curl_slist_append(headers, "Host: jobs.example");
	headers = curl_slist_append(headers, "Content-Type: application/json");
	headers = curl_slist_append(headers, "Expect:");
	headers = curl_slist_append(headers, deadline);
	easy = curl_easy_init();
	curl_easy_setopt(easy, CURLOPT_URL, argv[3]);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, argv[2]);
	if (argc > 4)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, argv[4]);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, atol(argv[1]));
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	/* The body goes to standard output, behind the status. */
	FILE *body = tmpfile();
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, body);
	if (curl_easy_perform(easy) == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	printf("%ld ", status);
	rewind(body);
	for (int c = getc(body); c != EOF; c = getc(body))
		putchar(c);
	putchar('\n');
	curl_slist_free_all(headers);
	curl_easy_cleanup(easy);
	return 0;
}
