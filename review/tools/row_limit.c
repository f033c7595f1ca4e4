/*
 * Linked into the project's gd-site in place of store_handle(): a transaction
 * with a value longer than `platform.row_bytes` is refused with 400 and nothing
 * of it is done, as the platform's page has it ("`value` (base64 of at most
 * `row_bytes`)"). Everything else goes to the stand-in's own store.
 */
#include <stdio.h>
#include <string.h>

#include "standins/site.h"

#define ROW_BYTES 65536

void __real_store_handle(struct site *s, struct hts_req *req);
void __wrap_store_handle(struct site *s, struct hts_req *req);

void __wrap_store_handle(struct site *s, struct hts_req *req)
{
	json_t *body = NULL;
	const json_t *row;
	size_t i;
	bool refused = false;

	if (!strcmp(req->path, "/v1/rows-tx"))
		body = json_loadb(req->body, req->body_len, 0, NULL);
	json_array_foreach(json_object_get(body, "set_keys"), i, row)
	{
		gsize len = 0;

		g_free(g_base64_decode(
			json_string_value(json_object_get(row, "value")),
			&len));
		if (len <= ROW_BYTES)
			continue;
		refused = true;
		printf("%lld refused %s %s %zu\n", (long long)site_now_ms(),
		       json_string_value(json_object_get(row, "table")),
		       json_string_value(json_object_get(row, "key")), len);
	}
	json_decref(body);
	if (refused)
		site_reply(s, req, 400, json_object());
	else
		__real_store_handle(s, req);
}
