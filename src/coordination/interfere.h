/*
 * Learns how much best-effort load of each image reduces the slack of serving
 * tasks of each image. Each shard's scheduler owns one model. Pure:
 * no clock, no I/O.
 *
 * Slack is target / tail latency: 1 is exactly on target, more is better.
 */
#ifndef INTERFERE_H
#define INTERFERE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Number of distinct images; all further ones share number 0, "unknown". */
#define INTERFERE_IMAGES_MAX 63

struct interfere_model;

/* Models of all images; allocated by the caller. */
struct interfere {
	GHashTable *ids; /* image name to number, from 1 */
	int32_t n; /* images in `ids` */
	struct interfere_model *models[INTERFERE_IMAGES_MAX + 1];
	/* Sum and number of the weights that models have for an image. */
	double weight_sum[INTERFERE_IMAGES_MAX + 1];
	int32_t n_weights[INTERFERE_IMAGES_MAX + 1];
	int64_t n_updates; /* observations so far: tells whether to store */
};

/* Load of the best-effort tasks of one image at a worker. */
struct interfere_load {
	int32_t image;
	double share; /* of the worker's CPU, or a change of it */
};

/* Changes at a serving task from one measurement to the next. */
struct interfere_change {
	double slack;
	double seconds; /* between the two measurements */
	const struct interfere_load *loads; /* changes of shares */
	int32_t n;
};

void interfere_init(struct interfere *m);
void interfere_finish(struct interfere *m);

/* Returns the number of an image, assigning one if it is new; 0 if its name is
 * empty or all numbers are taken. */
int32_t interfere_image(struct interfere *m, const char *name);

/* Updates the weights of `image` from a change at one of its tasks. */
void interfere_observe(struct interfere *m, int32_t image,
		       const struct interfere_change *change);

/* Records a slack of `image` from which interference has been removed. */
void interfere_note_base_slack(struct interfere *m, int32_t image,
			       double slack);

/*
 * Returns how much best-effort load of image `other` reduces the slack of a
 * serving task of `image` if it uses all CPU of the worker. Includes a margin
 * for the uncertainty; at least 0.
 */
double interfere_weight(const struct interfere *m, int32_t image,
			int32_t other);

/* Returns whether the weight of the pair is certain enough to act on. */
bool interfere_is_known(const struct interfere *m, int32_t image,
			int32_t other);

/*
 * Returns whether a best-effort task of `other` may start beside `image` at
 * `now_ms`. A pair that is not known yet is explored at one worker at a time,
 * since it may violate the target.
 */
bool interfere_may_explore(const struct interfere *m, int32_t image,
			   int32_t other, int64_t now_ms);
/* Records that a best-effort task of `other` starts beside `image`. */
void interfere_note_exploring(struct interfere *m, int32_t image, int32_t other,
			      int64_t now_ms);

/* Returns the mean slack of `image` without interference. */
double interfere_base_slack(const struct interfere *m, int32_t image);

/* Returns the 5 % quantile of the slack of `image` without interference. */
double interfere_min_slack(const struct interfere *m, int32_t image);

/* Converts a tail latency to slack, at most INTERFERE_SLACK_MAX. */
double interfere_slack(int64_t tail_ms, int64_t target_ms);

/* Returns the model as JSON, for the shard's next owner. The caller owns the
 * reference. */
json_t *interfere_pack(const struct interfere *m);
/* Merges the model of a previous owner. What was learned here takes precedence;
 * invalid entries are skipped. */
void interfere_unpack(struct interfere *m, const json_t *row);

/* Upper limit of slack, reached at the tail latency of an idle service. */
#define INTERFERE_SLACK_MAX 6.0

#endif
