/*
 * Small HTTP client for the scripts of the cases.
 *   http METHOD URL HOST [BODY]   prints "BODY STATUS" on one line; STATUS is
 *                                 000 if there was no answer
 *   http ports N                  prints N free ports, one a line
 */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_MS 4000L
#define PORTS_MAX 64

static int print_ports(int n)
{
	int fds[PORTS_MAX];

	/* All stay open until the last one is found, so that they differ. */
	for (int i = 0; i < n && i < PORTS_MAX; i++) {
		struct sockaddr_in sa = { .sin_family = AF_INET };
		socklen_t len = sizeof(sa);

		sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		fds[i] = socket(AF_INET, SOCK_STREAM, 0);
		if (bind(fds[i], (struct sockaddr *)&sa, sizeof(sa)) ||
		    getsockname(fds[i], (struct sockaddr *)&sa, &len))
			return 1;
		printf("%d\n", ntohs(sa.sin_port));
	}
	return 0;
}

int main(int argc, char **argv)
{
	CURL *c = curl_easy_init();
	struct curl_slist *headers = NULL;
	char host[256];
	long status = 0;

	if (argc == 3 && !strcmp(argv[1], "ports"))
		return print_ports(atoi(argv[2]));
	if (argc < 4) {
		fprintf(stderr, "usage: http METHOD URL HOST [BODY]\n");
		return 64;
	}
	snprintf(host, sizeof(host), "Host: %s", argv[3]);
	headers = curl_slist_append(headers, host);
	headers = curl_slist_append(headers, "Content-Type: application/json");
	headers = curl_slist_append(headers, "Deadline-Ms: 3000");
	curl_easy_setopt(c, CURLOPT_URL, argv[2]);
	curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, argv[1]);
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
	curl_easy_setopt(c, CURLOPT_PROXY, "");
	if (argc > 4)
		curl_easy_setopt(c, CURLOPT_POSTFIELDS, argv[4]);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, stdout);
	/* The body is printed as it comes, so the status goes behind it. */
	curl_easy_perform(c);
	curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &status);
	printf(" %03ld\n", status);
	return 0;
}
