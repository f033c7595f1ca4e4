/* Sizes the pages of a read for a slow link: other calls, such as the owner's
 * commits, share it. */
#ifndef PAGE_SIZE_H
#define PAGE_SIZE_H

#include "state/rows.h"

struct page_size {
	int64_t bytes_max; /* of one page on the link; 0: any */
	int64_t row_bytes; /* mean of the last page; 0: not known yet */
};

/* Returns the bytes that a page may have on the link; 0 if its capacity isn't
 * known. */
int64_t page_size_bytes_max(int64_t link_kbit_s);
/* Returns how many rows to ask for; 0: the store's own limit. */
int32_t page_size_rows(const struct page_size *p);
/* A page has arrived. */
void page_size_note(struct page_size *p, const struct rows_answer *ans);

#endif
