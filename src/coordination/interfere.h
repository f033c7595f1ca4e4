/*
 * Learns how much best-effort work of each image lengthens the response times
 * of serving tasks of each image. Pure.
 */
#ifndef INTERFERE_H
#define INTERFERE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Images told apart; later ones all count as image 0, which is unknown. */
#define INTERFERE_IMAGES_MAX 63

struct interfere_model;

struct interfere {
	GHashTable *ids; /* name to image */
	int32_t n; /* images with a name */
	struct interfere_model *models[INTERFERE_IMAGES_MAX + 1];
	int64_t learned; /* rises with all that was learned */
};

/* What best-effort work of one image does at a worker. */
struct interfere_load {
	int32_t image;
	double share; /* of the worker's processors, or how that changed */
};

/* What changed at a serving task from one measurement to the next. */
struct interfere_change {
	double slack;
	double seconds; /* from one to the other; its own load changed too */
	const struct interfere_load *loads; /* changes of shares */
	int32_t n;
};

void interfere_init(struct interfere *m);
void interfere_finish(struct interfere *m);

/* The number of an image; 0 if its name is empty or there are too many. */
int32_t interfere_image(struct interfere *m, const char *name);

/* Learns from a change at a serving task of `image`. */
void interfere_observe(struct interfere *m, int32_t image,
		       const struct interfere_change *change);

/* Learns the usual slack of `image` without what disturbs it. */
void interfere_note_alone(struct interfere *m, int32_t image, double slack);

/*
 * What work of image `other` takes from the slack of a serving task, for each
 * share of 1 that it uses; never below 0. Slack is target / tail: 1 is at the
 * target, more is better.
 */
double interfere_weight(const struct interfere *m, int32_t image,
			int32_t other);

/* Was the pair seen often enough to tell what disturbs from what doesn't? */
bool interfere_is_known(const struct interfere *m, int32_t image,
			int32_t other);

/*
 * May the pair be tried at `now_ms`? One that isn't known is tried at one place
 * at a time, since it may do harm.
 */
bool interfere_may_try(const struct interfere *m, int32_t image, int32_t other,
		       int64_t now_ms);
/* Work of `other` begins beside `image`. */
void interfere_note_try(struct interfere *m, int32_t image, int32_t other,
			int64_t now_ms);

/* The usual slack of `image` with nothing beside it. */
double interfere_alone(const struct interfere *m, int32_t image);

/* The slack below which `image` alone is hardly ever found. */
double interfere_floor(const struct interfere *m, int32_t image);

/* The slack that goes with a tail. */
double interfere_slack(int64_t tail_ms, int64_t goal_ms);

/* What was learned, for a successor. The caller owns the reference. */
json_t *interfere_pack(const struct interfere *m);
/* Takes over what a former owner learned, but for what was learned here; rows
 * that make no sense are left out. */
void interfere_unpack(struct interfere *m, const json_t *row);

/* Beyond this, more slack tells nothing. */
#define INTERFERE_SLACK_MAX 6.0

#endif
