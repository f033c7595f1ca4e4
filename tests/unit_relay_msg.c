/* Messages between owners and relays that are damaged. */
#include <glib.h>
#include <talloc.h>

#include "fleet/relay_msg.h"
#include "tests/unit.h"

/* Cuts and changes each byte of valid messages: they are rejected or decoded,
 * and nothing is read beyond them. */
static void test_malformed_messages(void)
{
	struct sched_active active = { .ref = { .job = "k" }, .percent = 40 };
	struct sched_report report = { .clock_ms = 1,
				       .n_active = 1,
				       .active = &active };
	struct relay_answer answer = { .id = 1, .report = &report };
	struct relay_call call = { .id = 1,
				   .kind = RELAY_START,
				   .to = { .id = "w0", .address = "1.2.3.4:5" },
				   .ref = { .job = "j", .run = 1 },
				   .payload = "spec" };
	struct sched_end end = { .seq = 1, .ref = { .job = "k" } };
	int32_t removed[] = { 1, 3 };
	struct relay_change change = { .index = 2, .checkpoint = "c" };
	struct relay_delta delta = { .base = 1,
				     .active_moves = { 2, removed, 1 },
				     .end_moves = { 1, removed, 1 },
				     .n_changed = 1,
				     .changed = &change,
				     .added_active = &active,
				     .added_ends = &end };
	struct relay_answer difference = { .id = 1,
					   .number = 2,
					   .delta = &delta };
	void *ctx = talloc_new(NULL);

	for (int i = 0; i < 3; i++) {
		int kind = i == 1;
		size_t len;
		uint8_t *data =
			kind ? relay_pack_call(ctx, &call, &len)
			     : relay_pack_answer(ctx, i ? &difference : &answer,
						 &len);

		for (size_t n = 0; n < len; n++) {
			uint8_t *cut = talloc_memdup(ctx, data, n);
			struct relay_answer a;
			struct relay_call c;

			g_assert_false(
				kind ? relay_unpack_call(ctx, cut, n, &c)
				     : relay_unpack_answer(ctx, cut, n, &a));
		}
		for (size_t at = 0; at < len; at++) {
			for (int v = 0; v < 256; v += 5) {
				uint8_t *odd = talloc_memdup(ctx, data, len);
				struct relay_answer a;
				struct relay_call c;

				odd[at] = (uint8_t)v;
				if (kind)
					relay_unpack_call(ctx, odd, len, &c);
				else
					relay_unpack_answer(ctx, odd, len, &a);
				talloc_free(odd);
			}
		}
	}
	talloc_free(ctx);
}

void unit_add_relay_msg(void)
{
	g_test_add_func("/relay/malformed-messages", test_malformed_messages);
}
