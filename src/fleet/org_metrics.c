/* Metrics of the organisations. */
#include "fleet/org_metrics.h"

#include <talloc.h>

static char *add(char *text, const char *name, const char *org, int64_t value)
{
	g_autofree char *label = g_strescape(org, NULL);

	return talloc_asprintf_append(text, "%s{org=\"%s\"} %lld\n", name,
				      label, (long long)value);
}

static char *add_cap(char *text, const struct sched *s,
		     const struct org_account *acc)
{
	struct org_caps_figures figures;

	org_caps_figures(&s->caps, acc, &figures);
	text = add(text, "gd_org_cap_cpu_milli", acc->name,
		   acc->def->cap.cpu_milli);
	text = add(text, "gd_org_counted_cpu_milli", acc->name,
		   figures.counted_cpu_milli);
	text = add(text, "gd_org_untracked_cpu_milli", acc->name,
		   figures.untracked_cpu_milli);
	return add(text, "gd_org_grant_cpu_milli", acc->name,
		   figures.grant_cpu_milli);
}

char *org_metrics_add_caps(char *text, const struct sched *s)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->orgs.table);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct org_account *acc = value;

		text = add(text, "gd_org_running_cpu_milli", acc->name,
			   acc->used.cpu_milli);
		if (acc->def && org_cap_is_set(&acc->def->cap))
			text = add_cap(text, s, acc);
	}
	if (!g_hash_table_size(s->orgs.table))
		return text;
	text = talloc_asprintf_append(text, "gd_caps_earlier %d\n",
				      s->caps.earlier);
	return talloc_asprintf_append(text, "gd_caps_config_held %d\n",
				      s->caps.config_held);
}
