/*
 * Interference between images: a linear model of slack = target / tail latency.
 * The tail latency grows like 1 / (idle share of the CPU), so the slack falls
 * linearly with the share that best-effort tasks use.
 */
#include "coordination/interfere.h"

#include <math.h>
#include <string.h>

#include "protocol/num.h"

/* Prior mean and variance of a weight: most pairs of images don't disturb each
 * other, some use up all slack with a tenth of the CPU. */
#define WEIGHT_PRIOR 3.0
#define WEIGHT_VARIANCE 25.0
/* Standard deviations added to a weight, so that uncertainty counts as
 * interference. */
#define UNCERTAINTY_FACTOR 1.0
/* Time until tail latencies show the effect of a start, in ms: two status
 * polls. */
#define EXPLORE_MS 1000
/* Below this variance a weight is known: weights are about 1 or about 10. */
#define KNOWN_VARIANCE 6.0
/* Lower bound of a variance, so that weights follow a pair whose behaviour
 * changes. */
#define VARIANCE_MIN 0.1
/* Priors of base and minimum slack: the sites' targets are six times the tail
 * latency of an idle service; a service uses half of its capacity on average
 * and three quarters at most. */
#define BASE_SLACK_PRIOR 2.5
#define MIN_SLACK_PRIOR 1.5
/* Weight of a new sample in the moving mean of the base slack. */
#define BASE_SLACK_GAIN 0.02
/* The minimum slack is this quantile of all samples; its estimate moves in
 * steps of MIN_SLACK_STEP. */
#define MIN_SLACK_QUANTILE 0.05
#define MIN_SLACK_STEP 0.05
/* Standard deviation of one measurement of slack, and of the change of slack
 * per second by the task's own load, which varies by half within 10 to 20 s. */
#define MEASUREMENT_NOISE 0.15
#define DRIFT_PER_SECOND 0.5

/* Bound of stored weights, variances and slacks, in hundredths; valid ones are
 * far smaller. */
#define HUNDREDTHS_MAX 100000000

/* Recursive least squares estimate for one image of serving tasks: a weight for
 * each image of best-effort tasks, per share of the CPU. */
struct interfere_model {
	double base_slack;
	double min_slack;
	double weight[INTERFERE_IMAGES_MAX + 1];
	double variance[INTERFERE_IMAGES_MAX + 1][INTERFERE_IMAGES_MAX + 1];
	bool has_weight[INTERFERE_IMAGES_MAX + 1];
	/* When the pair was last explored; 0: never. */
	int64_t explored_ms[INTERFERE_IMAGES_MAX + 1];
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

/* Prior weight of an image: the mean of its weights for other serving images
 * and WEIGHT_PRIOR. */
static double prior_weight(const struct interfere *m, int32_t image)
{
	return (WEIGHT_PRIOR + m->weight_sum[image]) /
	       (1 + m->n_weights[image]);
}

static void set_weight(struct interfere *m, struct interfere_model *model,
		       int32_t image, double weight)
{
	if (model->has_weight[image])
		m->weight_sum[image] -= fmax(model->weight[image], 0);
	else
		m->n_weights[image]++;
	model->has_weight[image] = true;
	model->weight[image] = weight;
	m->weight_sum[image] += fmax(weight, 0);
}

/* Returns the model of an image, created with priors if it is new. */
static struct interfere_model *get_model(struct interfere *m, int32_t image)
{
	struct interfere_model *model = m->models[image];

	if (model)
		return model;
	model = g_new0(struct interfere_model, 1);
	model->base_slack = BASE_SLACK_PRIOR;
	model->min_slack = MIN_SLACK_PRIOR;
	m->models[image] = model;
	return model;
}

static void init_weight(struct interfere *m, struct interfere_model *model,
			int32_t image)
{
	if (model->has_weight[image])
		return;
	set_weight(m, model, image, prior_weight(m, image));
	model->variance[image][image] = WEIGHT_VARIANCE;
}

/* One step of recursive least squares for y = x * weight + noise. */
static void update_weights(struct interfere *all, struct interfere_model *m,
			   const double *x, double y, double noise_variance)
{
	int32_t n = all->n;
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
		set_weight(all, m, i, m->weight[i] + px[i] * error / scale);
		for (int32_t k = 1; k <= n; k++)
			m->variance[i][k] -= px[i] * px[k] / scale;
		m->variance[i][i] = fmax(m->variance[i][i], VARIANCE_MIN);
	}
}

/*
 * Fits differences between two measurements, since the task's own load changes
 * its slack far more than most pairs do, but hardly within half a second.
 */
void interfere_observe(struct interfere *m, int32_t image,
		       const struct interfere_change *change)
{
	struct interfere_model *model;
	double x[INTERFERE_IMAGES_MAX + 1] = { 0 };
	double drift = DRIFT_PER_SECOND * change->seconds;

	if (!image)
		return;
	model = get_model(m, image);
	m->n_updates++;
	for (int32_t i = 0; i < change->n; i++) {
		int32_t other = change->loads[i].image;

		if (!other)
			continue;
		init_weight(m, model, other);
		/* Negative, since load reduces slack: weights are positive. */
		x[other] -= change->loads[i].share;
	}
	update_weights(m, model, x, change->slack,
		       2 * MEASUREMENT_NOISE * MEASUREMENT_NOISE +
			       drift * drift);
}

void interfere_note_base_slack(struct interfere *m, int32_t image, double slack)
{
	struct interfere_model *model;

	if (!image)
		return;
	model = get_model(m, image);
	model->base_slack += BASE_SLACK_GAIN * (slack - model->base_slack);
	model->min_slack +=
		MIN_SLACK_STEP *
		(MIN_SLACK_QUANTILE - (slack < model->min_slack ? 1 : 0));
}

double interfere_weight(const struct interfere *m, int32_t image, int32_t other)
{
	const struct interfere_model *model = m->models[image];

	if (!other || !model || !model->has_weight[other])
		return prior_weight(m, other) +
		       UNCERTAINTY_FACTOR * sqrt(WEIGHT_VARIANCE);
	return fmax(model->weight[other], 0) +
	       UNCERTAINTY_FACTOR *
		       sqrt(fmax(model->variance[other][other], 0));
}

bool interfere_is_known(const struct interfere *m, int32_t image, int32_t other)
{
	const struct interfere_model *model = m->models[image];

	return model && other && model->has_weight[other] &&
	       model->variance[other][other] < KNOWN_VARIANCE;
}

bool interfere_may_explore(const struct interfere *m, int32_t image,
			   int32_t other, int64_t now_ms)
{
	const struct interfere_model *model = m->models[image];

	if (!model || !other || interfere_is_known(m, image, other))
		return true;
	return !model->explored_ms[other] ||
	       now_ms - model->explored_ms[other] >= EXPLORE_MS;
}

void interfere_note_exploring(struct interfere *m, int32_t image, int32_t other,
			      int64_t now_ms)
{
	if (image && other && !interfere_is_known(m, image, other))
		get_model(m, image)->explored_ms[other] = now_ms;
}

double interfere_base_slack(const struct interfere *m, int32_t image)
{
	const struct interfere_model *model = m->models[image];

	return model ? model->base_slack : BASE_SLACK_PRIOR;
}

double interfere_min_slack(const struct interfere *m, int32_t image)
{
	const struct interfere_model *model = m->models[image];

	return model ? model->min_slack : MIN_SLACK_PRIOR;
}

double interfere_slack(int64_t tail_ms, int64_t target_ms)
{
	double slack = tail_ms > 0 ? (double)target_ms / (double)tail_ms
				   : INTERFERE_SLACK_MAX;

	return slack < INTERFERE_SLACK_MAX ? slack : INTERFERE_SLACK_MAX;
}

static json_int_t to_hundredths(double v)
{
	return (json_int_t)fmin(fmax(v * 100, -HUNDREDTHS_MAX), HUNDREDTHS_MAX);
}

/* Packs a list of [image, weight, variance], the last two in hundredths. */
static json_t *pack_weights(const struct interfere *m,
			    const struct interfere_model *model)
{
	json_t *list = json_array();

	for (int32_t i = 1; i <= m->n; i++) {
		if (!model->has_weight[i])
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
		json_array_append_new(
			models, json_pack("[i,I,I,o]", i,
					  to_hundredths(model->base_slack),
					  to_hundredths(model->min_slack),
					  pack_weights(m, model)));
	}
	return json_pack("{s:o,s:o}", "images", names, "models", models);
}

/* Returns the local number of the image that the row numbers `number`, or 0. */
static int32_t local_image(struct interfere *m, const json_t *names,
			   const json_t *number)
{
	json_int_t i = json_integer_value(number);
	const char *name =
		i > 0 ? json_string_value(json_array_get(names, (size_t)i - 1))
		      : NULL;

	return name ? interfere_image(m, name) : 0;
}

static double from_hundredths(const json_t *row, size_t i)
{
	return (double)num_clamp(json_array_get(row, i), -HUNDREDTHS_MAX,
				 HUNDREDTHS_MAX, 0) /
	       100;
}

static void unpack_weights(struct interfere *m, struct interfere_model *model,
			   const json_t *names, const json_t *list)
{
	const json_t *row;
	size_t i;

	json_array_foreach(list, i, row)
	{
		int32_t other = local_image(m, names, json_array_get(row, 0));

		if (!other || model->has_weight[other])
			continue;
		set_weight(m, model, other, from_hundredths(row, 1));
		model->variance[other][other] =
			fmax(from_hundredths(row, 2), VARIANCE_MIN);
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
		int32_t image = local_image(m, names, json_array_get(entry, 0));
		bool known = image && m->models[image];
		struct interfere_model *model;

		if (!image)
			continue;
		model = get_model(m, image);
		if (!known) {
			model->base_slack = from_hundredths(entry, 1);
			model->min_slack = from_hundredths(entry, 2);
		}
		unpack_weights(m, model, names, json_array_get(entry, 3));
	}
}
