/* The product's own interface as it is spoken: rows of the table as JSON, sheets, and what a router is asked
 * and answers. Each is a text of requests and answers, made where the data is made and where it is compared.
 */
#ifndef NL_STORED_INTERFACE_H
#define NL_STORED_INTERFACE_H

#include <apr_pools.h>

/* Rows of each kind, and wrong ones: as they are sent, and as they are shown or why they are refused. */
const char *stored_rows(apr_pool_t *pool);

/* A table as a sheet of tab-separated lines, and read back from it. */
const char *stored_sheet(apr_pool_t *pool);

/* A router: exchanges that are refused, answered and broken off, what it tells its server, its state, usage
 * and metrics. */
const char *stored_router(apr_pool_t *pool);

#endif
