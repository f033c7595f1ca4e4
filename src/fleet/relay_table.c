/* Rows of the table of relays. */
#include "fleet/relay_table.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <talloc.h>

#include "base/log.h"
#include "protocol/num.h"

#define RETRY_MS 1000
/* Processor time that the calls of one worker take in a burst, in thousandths
 * of a core, and what they take of a link, in kbit/s: seven starts a second
 * with their reports, 700 bytes each. */
#define MILLI_PER_WORKER 2
#define KBIT_PER_WORKER 40
/* Part of its processor and of its link that a relay is meant to spend. */
#define RELAY_SHARE 4

struct relay_entry {
	struct tmr_set *timers;
	struct rows rows;
	struct relay_vm_row self;
	bool withdrawn;
};

bool relay_table_parse(const struct rows_row *row, struct relay_vm_row *out)
{
	json_t *j = row->value ? json_loads(row->value, 0, NULL) : NULL;
	const char *ip = json_string_value(json_object_get(j, "ip"));
	const char *domain = json_string_value(json_object_get(j, "domain"));
	int64_t port;
	bool valid =
		ip && domain &&
		num_integer(json_object_get(j, "port"), 1, UINT16_MAX, &port) &&
		num_integer(json_object_get(j, "cpu_milli"), 1, NUM_MAX,
			    &out->cpu_milli);

	/* Older releases don't write it. */
	out->link_kbit_s =
		num_clamp(json_object_get(j, "link_kbit_s"), 0, NUM_MAX, 0);
	out->lists = json_is_true(json_object_get(j, "lists"));
	if (valid) {
		g_strlcpy(out->vm, row->key, sizeof(out->vm));
		g_strlcpy(out->ip, ip, sizeof(out->ip));
		g_strlcpy(out->domain, domain, sizeof(out->domain));
		out->port = (uint16_t)port;
	}
	json_decref(j);
	return valid;
}

int64_t relay_table_workers_milli(const struct relay_vm_row *row)
{
	double by_cpu = (double)row->cpu_milli * 1000 /
			(RELAY_SHARE * MILLI_PER_WORKER);
	double by_link = (double)row->link_kbit_s * 1000 /
			 (RELAY_SHARE * KBIT_PER_WORKER);

	return (int64_t)CLAMP(row->link_kbit_s ? MIN(by_cpu, by_link) : by_cpu,
			      1, NUM_MAX);
}

bool relay_table_needs_relays(const struct relay_vm_row *owner, int64_t workers)
{
	return workers * MILLI_PER_WORKER > owner->cpu_milli ||
	       (owner->link_kbit_s &&
		workers * KBIT_PER_WORKER > owner->link_kbit_s);
}

static void write_row(struct relay_entry *e, const char *text, rows_done done)
{
	struct rows_change change = { .table = RELAY_TABLE,
				      .key = e->self.vm,
				      .value = text,
				      .remove = !text };
	struct rows_tx tx = { .part = RELAY_PART, .n = 1, .changes = &change };

	e->rows.ops->commit(e->rows.self, &tx, done, e);
}

static void publish(void *priv);

static void on_published(const struct rows_answer *ans, void *priv)
{
	struct relay_entry *e = priv;

	if (ans->result != ROWS_OK)
		tmr_after(e->timers, RETRY_MS, publish, e);
}

static void publish(void *priv)
{
	struct relay_entry *e = priv;
	json_t *j;
	char *text;

	if (e->withdrawn)
		return;
	j = json_pack("{s:s,s:i,s:s,s:I}", "ip", e->self.ip, "port",
		      (int)e->self.port, "domain", e->self.domain, "cpu_milli",
		      (json_int_t)e->self.cpu_milli);
	if (e->self.link_kbit_s)
		json_object_set_new(j, "link_kbit_s",
				    json_integer(e->self.link_kbit_s));
	if (e->self.lists)
		json_object_set_new(j, "lists", json_true());
	text = json_dumps(j, JSON_COMPACT);
	write_row(e, text, on_published);
	free(text);
	json_decref(j);
}

struct relay_entry *relay_entry_start(void *ctx, struct tmr_set *timers,
				      const struct rows *rows,
				      const struct relay_vm_row *self)
{
	struct relay_entry *e = talloc_zero(ctx, struct relay_entry);

	e->timers = timers;
	e->rows = *rows;
	e->self = *self;
	publish(e);
	return e;
}

static void on_withdrawn(const struct rows_answer *ans, void *priv)
{
	(void)priv;
	if (ans->result != ROWS_OK)
		log_event(
			LOG_ROW_UNUSABLE,
			"table=" RELAY_TABLE
			" why=\"own row not removed; owners try this VM until "
			"it is back\"");
}

void relay_entry_withdraw(struct relay_entry *e)
{
	e->withdrawn = true;
	write_row(e, NULL, on_withdrawn);
}
