/* Operators' calls: records, domains, status, trace, ledger. */
#ifndef OPS_H
#define OPS_H

#include "entry/entry.h"

/* Takes over the item; it goes back to its door with the answer. */
void ops_handle_request(struct entry *e, struct client_request *creq);

#endif
