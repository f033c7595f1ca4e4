/*
 * Interference by image: a linear model of target / tail. A tail grows like
 * 1 / (idle share), so its inverse falls evenly with what is taken.
 */
#include "coordination/interfere.h"

#include <math.h>
#include <string.h>

#include "protocol/num.h"

/* Belief about a pair before it was seen, and its variance: most pairs don't
 * disturb each other, some take all slack with a tenth of the processors. */
#define WEIGHT_PRIOR 3.0
#define WEIGHT_VARIANCE 25.0
/* Standard deviations that are added to a weight: doubt counts as harm. */
#define DOUBT 1.0
/* A try shows in the tails after this, in ms: two looks. */
#define TRY_MS 1000
/* Below this a weight is known: weights are about 1 or about 10. */
#define KNOWN_VARIANCE 6.0
/* A pair may come to behave otherwise: no weight is surer than this. */
#define VARIANCE_LEAST 0.1
/* Slack alone before it was seen: the sites' targets are six times the tail
 * of an idle service, and half of its capacity is used on the average, and
 * three quarters at the most. */
#define ALONE_PRIOR 2.5
#define FLOOR_PRIOR 1.5
/* Weight of the newest slack in the usual one. */
#define ALONE_NEWEST 0.02
/* The floor is the quantile that this part of all slacks is below; it moves by
 * steps of this size. */
#define FLOOR_PART 0.05
#define FLOOR_STEP 0.05
/* Standard deviation of one measurement of slack, and of what the task's own
 * load changes in a second: loads that swing by half in 10 to 20 s. */
#define NOISE 0.15
#define DRIFT_A_SECOND 0.5

/* No weight, variance or slack that makes sense is larger, in hundredths. */
#define HUNDREDTHS_MOST 100000000

/* Recursive least squares over the images with what they use. */
struct interfere_model {
	double alone;
	double floor;
	double weight[INTERFERE_IMAGES_MAX + 1];
	double variance[INTERFERE_IMAGES_MAX + 1][INTERFERE_IMAGES_MAX + 1];
	bool seen[INTERFERE_IMAGES_MAX + 1];
	int64_t tried_ms[INTERFERE_IMAGES_MAX + 1]; /* last try; 0: none */
};

void interfere_init(struct interfere *m)
{
	memset(m, 0, sizeof(*m));
	m->ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void interfere_finish(struct interfere *m)
{
	g_hash_table_destroy(m->ids);
	for (int32_t i = 0; i <= INTERFERE_IMAGES_MAX; i++)
		g_free(m->models[i]);
}

int32_t interfere_image(struct interfere *m, const char *name)
{
	int32_t id = GPOINTER_TO_INT(g_hash_table_lookup(m->ids, name));

	if (id || !*name || m->n == INTERFERE_IMAGES_MAX)
		return id;
	id = ++m->n;
	g_hash_table_insert(m->ids, g_strdup(name), GINT_TO_POINTER(id));
	return id;
}

/* What the image does to others is the best guess of what it does here. */
static double prior_of(const struct interfere *m, int32_t image)
{
	double sum = WEIGHT_PRIOR;
	int n = 1;

	for (int32_t i = 1; image && i <= m->n; i++) {
		const struct interfere_model *other = m->models[i];

		if (!other || !other->seen[image])
			continue;
		sum += fmax(other->weight[image], 0);
		n++;
	}
	return sum / n;
}

static struct interfere_model *model_of(struct interfere *m, int32_t image)
{
	struct interfere_model *model = m->models[image];

	if (model)
		return model;
	model = g_new0(struct interfere_model, 1);
	model->alone = ALONE_PRIOR;
	model->floor = FLOOR_PRIOR;
	m->models[image] = model;
	return model;
}

static void see(const struct interfere *m, struct interfere_model *model,
		int32_t image)
{
	if (model->seen[image])
		return;
	model->weight[image] = prior_of(m, image);
	model->variance[image][image] = WEIGHT_VARIANCE;
	model->seen[image] = true;
}

static void update(struct interfere_model *m, int32_t n, const double *x,
		   double y, double noise_variance)
{
	double px[INTERFERE_IMAGES_MAX + 1] = { 0 };
	double scale = noise_variance;
	double error = y;

	for (int32_t k = 1; k <= n; k++) {
		if (x[k] == 0)
			continue;
		error -= x[k] * m->weight[k];
		for (int32_t i = 1; i <= n; i++)
			px[i] += m->variance[i][k] * x[k];
	}
	for (int32_t i = 1; i <= n; i++)
		scale += x[i] * px[i];
	for (int32_t i = 1; i <= n; i++) {
		if (px[i] == 0)
			continue;
		m->weight[i] += px[i] * error / scale;
		for (int32_t k = 1; k <= n; k++)
			m->variance[i][k] -= px[i] * px[k] / scale;
		m->variance[i][i] = fmax(m->variance[i][i], VARIANCE_LEAST);
	}
}

/*
 * Differences, since a task's own load swings far more than most pairs take:
 * its slack alone is much the same half a second later.
 */
void interfere_observe(struct interfere *m, int32_t image,
		       const struct interfere_change *change)
{
	struct interfere_model *model;
	double x[INTERFERE_IMAGES_MAX + 1] = { 0 };
	double drift = DRIFT_A_SECOND * change->seconds;

	if (!image)
		return;
	model = model_of(m, image);
	m->learned++;
	for (int32_t i = 0; i < change->n; i++) {
		int32_t other = change->loads[i].image;

		if (!other)
			continue;
		see(m, model, other);
		/* It takes slack away, so weights come out positive. */
		x[other] -= change->loads[i].share;
	}
	update(model, m->n, x, change->slack,
	       2 * NOISE * NOISE + drift * drift);
}

void interfere_note_alone(struct interfere *m, int32_t image, double slack)
{
	struct interfere_model *model;

	if (!image)
		return;
	model = model_of(m, image);
	model->alone += ALONE_NEWEST * (slack - model->alone);
	model->floor +=
		FLOOR_STEP * (FLOOR_PART - (slack < model->floor ? 1 : 0));
}

double interfere_weight(const struct interfere *m, int32_t image, int32_t other)
{
	const struct interfere_model *model = m->models[image];

	if (!other || !model || !model->seen[other])
		return prior_of(m, other) + DOUBT * sqrt(WEIGHT_VARIANCE);
	return fmax(model->weight[other], 0) +
	       DOUBT * sqrt(fmax(model->variance[other][other], 0));
}

bool interfere_is_known(const struct interfere *m, int32_t image, int32_t other)
{
	const struct interfere_model *model = m->models[image];

	return model && other && model->seen[other] &&
	       model->variance[other][other] < KNOWN_VARIANCE;
}

bool interfere_may_try(const struct interfere *m, int32_t image, int32_t other,
		       int64_t now_ms)
{
	const struct interfere_model *model = m->models[image];

	if (!model || !other || interfere_is_known(m, image, other))
		return true;
	return !model->tried_ms[other] ||
	       now_ms - model->tried_ms[other] >= TRY_MS;
}

void interfere_note_try(struct interfere *m, int32_t image, int32_t other,
			int64_t now_ms)
{
	if (image && other && !interfere_is_known(m, image, other))
		model_of(m, image)->tried_ms[other] = now_ms;
}

double interfere_alone(const struct interfere *m, int32_t image)
{
	const struct interfere_model *model = m->models[image];

	return model ? model->alone : ALONE_PRIOR;
}

double interfere_floor(const struct interfere *m, int32_t image)
{
	const struct interfere_model *model = m->models[image];

	return model ? model->floor : FLOOR_PRIOR;
}

double interfere_slack(int64_t tail_ms, int64_t goal_ms)
{
	double slack = tail_ms > 0 ? (double)goal_ms / (double)tail_ms
				   : INTERFERE_SLACK_MAX;

	return slack < INTERFERE_SLACK_MAX ? slack : INTERFERE_SLACK_MAX;
}

static json_int_t to_hundredths(double v)
{
	return (json_int_t)fmin(fmax(v * 100, -HUNDREDTHS_MOST),
				HUNDREDTHS_MOST);
}

/* [image, weight, variance], the last two in hundredths */
static json_t *pack_weights(const struct interfere *m,
			    const struct interfere_model *model)
{
	json_t *list = json_array();

	for (int32_t i = 1; i <= m->n; i++) {
		if (!model->seen[i])
			continue;
		json_array_append_new(
			list,
			json_pack("[i,I,I]", i, to_hundredths(model->weight[i]),
				  to_hundredths(model->variance[i][i])));
	}
	return list;
}

json_t *interfere_pack(const struct interfere *m)
{
	json_t *names = json_array();
	json_t *models = json_array();
	GHashTableIter it;
	gpointer name;
	gpointer id;

	for (int32_t i = 1; i <= m->n; i++)
		json_array_append_new(names, json_string(""));
	g_hash_table_iter_init(&it, m->ids);
	while (g_hash_table_iter_next(&it, &name, &id))
		json_array_set_new(names, (size_t)GPOINTER_TO_INT(id) - 1,
				   json_string(name));
	for (int32_t i = 1; i <= m->n; i++) {
		const struct interfere_model *model = m->models[i];

		if (!model)
			continue;
		json_array_append_new(models,
				      json_pack("[i,I,I,o]", i,
						to_hundredths(model->alone),
						to_hundredths(model->floor),
						pack_weights(m, model)));
	}
	return json_pack("{s:o,s:o}", "images", names, "models", models);
}

/* Our number of the image that has this one in the row; 0 if there is none. */
static int32_t image_in(struct interfere *m, const json_t *names,
			const json_t *number)
{
	json_int_t i = json_integer_value(number);
	const char *name =
		i > 0 ? json_string_value(json_array_get(names, (size_t)i - 1))
		      : NULL;

	return name ? interfere_image(m, name) : 0;
}

static double hundredths(const json_t *row, size_t i)
{
	return (double)num_near(json_array_get(row, i), -HUNDREDTHS_MOST,
				HUNDREDTHS_MOST, 0) /
	       100;
}

static void unpack_weights(struct interfere *m, struct interfere_model *model,
			   const json_t *names, const json_t *list)
{
	const json_t *row;
	size_t i;

	json_array_foreach(list, i, row)
	{
		int32_t other = image_in(m, names, json_array_get(row, 0));

		if (!other || model->seen[other])
			continue;
		model->weight[other] = hundredths(row, 1);
		model->variance[other][other] =
			fmax(hundredths(row, 2), VARIANCE_LEAST);
		model->seen[other] = true;
	}
}

void interfere_unpack(struct interfere *m, const json_t *row)
{
	const json_t *names = json_object_get(row, "images");
	const json_t *models = json_object_get(row, "models");
	const json_t *entry;
	size_t i;

	json_array_foreach(models, i, entry)
	{
		int32_t image = image_in(m, names, json_array_get(entry, 0));
		bool known = image && m->models[image];
		struct interfere_model *model;

		if (!image)
			continue;
		model = model_of(m, image);
		if (!known) {
			model->alone = hundredths(entry, 1);
			model->floor = hundredths(entry, 2);
		}
		unpack_weights(m, model, names, json_array_get(entry, 3));
	}
}
