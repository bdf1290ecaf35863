/* config_check: checks whether a change of the configuration may be logged.
 *
 * The control shard's leader checks each change against its table before it logs the change, so that every
 * log entry can be applied. notchlug-validate checks documents in the same way, against an empty table. The
 * functions are pure. Operators read the error texts. */
#ifndef NL_CONFIG_CHECK_H
#define NL_CONFIG_CHECK_H

#include "config_table.h"

enum {
	CONFIG_CHECK_MAX_CHANGE_BYTES = 24 << 20, /* packed size of a change */
	CONFIG_CHECK_MAX_SPLITS = 64              /* services in the split of one route */
};

/* Check a change: first each row by itself, then the constraints between rows as they will be once the change
 * is applied to the table. Returns NULL if the change may be logged, else an error text that names the row;
 * the text is static or allocated in the pool.
 * Example: if ((error = config_check_change(&table, change, pool))) reject(error); */
const char *config_check_change(const struct config_table *table, const struct Nl__Change *change,
				apr_pool_t *pool);

#endif
