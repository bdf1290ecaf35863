/* retention_report: reports on purges for operators and auditors. The names of JSON members and CSV columns,
 * and the texts in them, are part of the operators' interface. */
#ifndef NL_RETENTION_REPORT_H
#define NL_RETENTION_REPORT_H

#include "retention.h"

/* The planned rows, the purges and the conditions that each purge still waits for, as JSON in the pool. Only
 * the control shard's leader can determine these conditions: other nodes return empty lists of them and the
 * leader's address. */
const char *retention_report_json(struct controller *controller, int64_t now, apr_pool_t *pool);

/* The auditors' report as CSV in the pool, one line per purge. */
const char *retention_report_csv(const struct controller *controller, apr_pool_t *pool);

#endif
