/* Metrics by organisation. */
#include "fleet/org_metrics.h"

#include <talloc.h>

void org_metrics_count_refusal(GHashTable *refusals, const char *org)
{
	int64_t *n = g_hash_table_lookup(refusals, org);

	if (!n) {
		n = g_new0(int64_t, 1);
		g_hash_table_insert(refusals, g_strdup(org), n);
	}
	++*n;
}

/* Names are the operators' and may hold any character; quotes, backslashes and
 * control characters would end the label or the line. */
static char *add(char *text, const char *name, const char *org, int64_t value)
{
	char *label = g_strdup(org);

	for (char *c = label; *c; c++) {
		if (*c == '"' || *c == '\\' || (unsigned char)*c < ' ')
			*c = '_';
	}
	text = talloc_asprintf_append(text, "%s{org=\"%s\"} %lld\n", name,
				      label, (long long)value);
	g_free(label);
	return text;
}

char *org_metrics_add_refusals(char *text, GHashTable *refusals)
{
	GHashTableIter it;
	gpointer org;
	gpointer n;

	g_hash_table_iter_init(&it, refusals);
	while (g_hash_table_iter_next(&it, &org, &n))
		text = add(text, "gd_org_refused_total", org,
			   *(const int64_t *)n);
	return text;
}

static void add_figures(const struct sched_org_figures *f, void *priv)
{
	char **text = priv;

	*text = add(*text, "gd_org_running_cpu_milli", f->name,
		    f->used.cpu_milli);
	*text = add(*text, "gd_org_share_permille", f->name,
		    (int64_t)(f->dominant * 1000));
	*text = add(*text, "gd_org_entitlement_permille", f->name,
		    (int64_t)(f->entitlement * 1000));
	*text = add(*text, "gd_org_waiting_jobs", f->name, f->waiting);
	*text = add(*text, "gd_org_excess_jobs", f->name, f->excess);
}

char *org_metrics_add_sched(char *text, const struct sched *s)
{
	sched_org_list_figures(s, add_figures, &text);
	return text;
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
