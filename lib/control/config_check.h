/* config_check: whether a change of the configuration may be logged.
 *
 * The control shard's leader checks each change against its table before it logs it, so that every entry of
 * the log can be applied; notchlug-validate checks documents the same way, against an empty table. Pure.
 * Texts that say what is wrong are the operators' interface. */
#ifndef NL_CONFIG_CHECK_H
#define NL_CONFIG_CHECK_H

#include "config_table.h"

enum {
	CONFIG_CHECK_MAX_CHANGE_BYTES = 24 << 20, /* of a change as it is logged */
	CONFIG_CHECK_MAX_SPLITS = 64              /* services of one route */
};

/* Check a change: each row by itself, then what holds between rows once the change is applied to the table.
 * Returns NULL when it may be logged, else what is wrong, naming the row (in the pool, or static).
 * Example: if ((fault = config_check_change(&table, change, pool))) reject(fault); */
const char *config_check_change(const struct config_table *table, const struct Nl__Change *change,
				apr_pool_t *pool);

#endif
