/* HTTP requests of tests, as callers and operators and to the simulators. */
#include <curl/curl.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/harness.h"

#define OPERATE_TIMEOUT_MS 8000

static size_t on_body(char *data, size_t size, size_t n, void *priv)
{
	g_string_append_len(priv, data, (gssize)(size * n));
	return size * n;
}

static size_t on_header(char *data, size_t size, size_t n, void *priv)
{
	struct hx_response *resp = priv;

	if (size * n > 9 && !strncasecmp(data, "Outcome: ", 9))
		sscanf(data + 9, "%15s", resp->outcome);
	if (size * n > 13 && !strncasecmp(data, "Retry-After: ", 13))
		resp->has_retry_after = true;
	return size * n;
}

struct hx_response hx_http_on(void *easy, const char *method, const char *url,
			      const char *const *headers, const char *body,
			      int64_t timeout_ms)
{
	struct hx_response resp = { 0 };
	GString *text = g_string_new("");
	struct curl_slist *list = NULL;
	int64_t begin_ms = hx_now_ms();

	/* Resets the options; open connections stay. */
	curl_easy_reset(easy);
	for (; headers && *headers; headers++)
		list = curl_slist_append(list, *headers);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, text);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, &resp);
	if (body)
		curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, body);
	if (curl_easy_perform(easy) == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &resp.status);
	curl_slist_free_all(list);
	resp.elapsed_ms = hx_now_ms() - begin_ms;
	resp.body = g_string_free(text, FALSE);
	resp.json = json_loads(resp.body, 0, NULL);
	return resp;
}

struct hx_response hx_http(const char *method, const char *url,
			   const char *const *headers, const char *body,
			   int64_t timeout_ms)
{
	CURL *easy = curl_easy_init();
	struct hx_response resp =
		hx_http_on(easy, method, url, headers, body, timeout_ms);

	curl_easy_cleanup(easy);
	return resp;
}

void hx_response_free(struct hx_response *resp)
{
	g_free(resp->body);
	json_decref(resp->json);
}

static void entry_url(struct hx *x, int vm, const char *path, char *buf,
		      size_t size)
{
	snprintf(buf, size, "http://%s:%d%s", x->vm_ip[vm],
		 x->http_port[HX_ENTRY][vm], path);
}

struct hx_response hx_get(struct hx *x, int vm, const char *path)
{
	char url[256];

	entry_url(x, vm, path, url, sizeof(url));
	return hx_http("GET", url, NULL, NULL, 30000);
}

struct hx_response hx_operator_call(struct hx *x, int vm, const char *verb,
				    const char *record)
{
	char url[256];
	char path[64];
	char op[64];
	const char *headers[] = { op, NULL };

	snprintf(path, sizeof(path), "/v1/%s", verb);
	snprintf(op, sizeof(op), "Operation-Id: op-%" PRId64, ++x->op_count);
	entry_url(x, vm, path, url, sizeof(url));
	return hx_http("POST", url, headers, record, OPERATE_TIMEOUT_MS);
}

bool hx_operator_call_retry(struct hx *x, const char *verb, const char *record)
{
	for (int i = 0; i < 60; i++) {
		struct hx_response resp;
		bool done;

		if (i)
			x->op_count--;
		/* Starts with VM 1, since tests inject faults into VM 0. */
		resp = hx_operator_call(x, (i + 1) % x->opt.vms, verb, record);
		done = resp.status == 200;
		hx_response_free(&resp);
		if (done)
			return true;
		hx_sleep_ms(200);
	}
	return false;
}

struct hx_response hx_call(struct hx *x, int vm, const char *service,
			   const char *id, int attempt, int64_t deadline_ms,
			   const char *body)
{
	char url[256];
	char path[96];
	char rid[128];
	char deadline[64];
	char try[32];
	const char *headers[] = { deadline, try, id ? rid : NULL, NULL };

	snprintf(path, sizeof(path), "/v1/call/%s", service);
	snprintf(rid, sizeof(rid), "Request-Id: %s", id ? id : "");
	snprintf(deadline, sizeof(deadline), "Deadline-Ms: %" PRId64,
		 deadline_ms);
	snprintf(try, sizeof(try), "Attempt: %d", attempt);
	entry_url(x, vm, path, url, sizeof(url));
	return hx_http("POST", url, headers, body, deadline_ms + 5000);
}

json_t *hx_platform(struct hx *x, const char *fmt, ...)
{
	char url[96];
	struct hx_response resp;
	va_list ap;
	char *body;

	va_start(ap, fmt);
	body = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin",
		 x->platform_port);
	resp = hx_http("POST", url, NULL, body, 10000);
	g_free(body);
	g_free(resp.body);
	return resp.json;
}

int64_t hx_proxy(struct hx *x, const char *what, const char *fmt, ...)
{
	char url[96];
	struct hx_response resp;
	int64_t affected;
	va_list ap;
	char *body;

	va_start(ap, fmt);
	body = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/%s", x->proxy_port,
		 what);
	resp = hx_http("POST", url, NULL, body, 10000);
	affected = resp.status == 200 ? json_integer_value(json_object_get(
						resp.json, "affected"))
				      : -1;
	g_free(body);
	hx_response_free(&resp);
	return affected;
}

void hx_update_vm(struct hx *x, const char *fields)
{
	json_decref(hx_platform(x, "{\"vms\":[{%s}]}", fields));
}
