/* Operators' HTTP operations: records, status, batch jobs, traces, ledger. */
#ifndef OPS_H
#define OPS_H

#include "entry/entry.h"

/* Takes ownership of `creq` and returns it by frontend_reply. */
void ops_handle_request(struct entry *e, struct client_request *creq);

#endif
