/* retention_report: what operators and auditors read of the purges. operator_api.c serves both texts.
 * Names of members and columns, and the texts in them, are part of the operators' interface. */
#ifndef NL_RETENTION_REPORT_H
#define NL_RETENTION_REPORT_H

#include "retention.h"

/* The planned rows, the purges and what each still waits for, as JSON in the pool. What is missing is known
 * at the control shard's leader alone; elsewhere the lists are empty and the leader's address is named. */
const char *retention_json(struct controller *controller, int64_t now, apr_pool_t *pool);

/* The auditors' report, a purge a line, as CSV in the pool. */
const char *retention_csv(const struct controller *controller, apr_pool_t *pool);

#endif
