/* Messages between owners and relays that are damaged. */
#include <glib.h>
#include <talloc.h>

#include "fleet/relay_msg.h"
#include "fleet/relay_table.h"
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
	struct rows_row row = { .key = "w", .value = "v", .version = 7 };
	struct list_changes changes = { .version = 8, .n = 1, .rows = &row };
	struct relay_answer listing = { .id = 1, .list = &changes };
	const struct relay_answer *answers[] = { &answer, NULL, &difference,
						 &listing };
	void *ctx = talloc_new(NULL);

	for (int i = 0; i < 4; i++) {
		int kind = i == 1;
		size_t len;
		uint8_t *data = kind ? relay_pack_call(ctx, &call, &len)
				     : relay_pack_answer(ctx, answers[i], &len);

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

/*
 * Guards against relays chosen by their processors alone, whose links are
 * saturated, and an owner that calls all workers over a saturated one. VMs with
 * links that are wide enough are chosen as before.
 */
static void test_chosen_by_link(void)
{
	struct relay_vm_row vm = { .cpu_milli = 500 };

	g_assert_cmpint(relay_table_workers_milli(&vm), ==, 62500);
	vm.link_kbit_s = 100000;
	g_assert_cmpint(relay_table_workers_milli(&vm), ==, 62500);
	vm.link_kbit_s = 2000;
	g_assert_cmpint(relay_table_workers_milli(&vm), ==, 12500);
	vm.cpu_milli = 70;
	g_assert_cmpint(relay_table_workers_milli(&vm), ==, 8750);
	vm = (struct relay_vm_row){ .cpu_milli = 100 };
	g_assert_false(relay_table_needs_relays(&vm, 50));
	g_assert_true(relay_table_needs_relays(&vm, 51));
	vm = (struct relay_vm_row){ .cpu_milli = 1000, .link_kbit_s = 2000 };
	g_assert_false(relay_table_needs_relays(&vm, 50));
	g_assert_true(relay_table_needs_relays(&vm, 51));
}

/* A row of an older release tells no link. */
static void test_row_without_link(void)
{
	struct rows_row row = { .key = "b" };
	struct relay_vm_row vm;

	row.value =
		"{\"ip\":\"i\",\"port\":7,\"domain\":\"d\",\"cpu_milli\":9}";
	g_assert_true(relay_table_parse(&row, &vm));
	g_assert_cmpint(vm.link_kbit_s, ==, 0);
	row.value = "{\"ip\":\"i\",\"port\":7,\"domain\":\"d\",\"cpu_milli\":9,"
		    "\"link_kbit_s\":2000}";
	g_assert_true(relay_table_parse(&row, &vm));
	g_assert_cmpint(vm.link_kbit_s, ==, 2000);
}

void unit_add_relay_msg(void)
{
	g_test_add_func("/relay/chosen-by-link", test_chosen_by_link);
	g_test_add_func("/relay/row-without-link", test_row_without_link);
	g_test_add_func("/relay/malformed-messages", test_malformed_messages);
}
