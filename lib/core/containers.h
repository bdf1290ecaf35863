/* containers: dynamic arrays (arrput, arrlen, ...) and hash maps (hmput, shget, ...) of stb_ds. The one place
 * that names it. A pointer marked "stb_ds" in a record is owned by that record, and NULL while empty. */
#ifndef NL_CONTAINERS_H
#define NL_CONTAINERS_H
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wconversion"
#include <stb/stb_ds.h>
#pragma GCC diagnostic pop
#endif
