/* containers: dynamic arrays (arrput, arrlen, ...) and hash maps (hmput, shget, ...) of stb_ds. Other
 * files include this header instead of stb_ds.h. A struct owns each of its pointers that is marked
 * "stb_ds"; such a pointer is NULL while its container is empty. */
#ifndef NL_CONTAINERS_H
#define NL_CONTAINERS_H
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wconversion"
#include <stb/stb_ds.h>
#pragma GCC diagnostic pop
#endif
