/* Sizes the pages of a read for a slow link. */
#include "state/page_size.h"

#include <string.h>

/* A page may take the link for this long, in ms. */
#define PAGE_MS 300
/* The store's own limits. */
#define STORE_ROWS_MAX 500
#define STORE_BYTES_MAX (1024 * 1024)
/* Of the first page, while the size of rows isn't known. */
#define FIRST_ROWS 20
/* Names and numbers of a row, in bytes; its value is sent as base64. */
#define ROW_OVERHEAD_BYTES 120

int64_t page_size_bytes_max(int64_t link_kbit_s)
{
	return link_kbit_s * PAGE_MS / 8;
}

int32_t page_size_rows(const struct page_size *p)
{
	int64_t rows = FIRST_ROWS;

	if (!p->bytes_max || p->bytes_max >= STORE_BYTES_MAX)
		return 0;
	if (p->row_bytes)
		rows = p->bytes_max / p->row_bytes;
	if (rows >= STORE_ROWS_MAX)
		return 0;
	return rows ? (int32_t)rows : 1;
}

void page_size_note(struct page_size *p, const struct rows_answer *ans)
{
	int64_t bytes = 0;

	if (!ans->n)
		return;
	for (int32_t i = 0; i < ans->n; i++) {
		const char *value = ans->rows[i].value;

		bytes += ROW_OVERHEAD_BYTES +
			 (value ? (int64_t)strlen(value) * 4 / 3 : 0);
	}
	p->row_bytes = bytes / ans->n;
}
