/* The one place that names stb_ds. */
#ifndef NL_CONTAINERS_H
#define NL_CONTAINERS_H
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wconversion"
#include <stb/stb_ds.h>
#pragma GCC diagnostic pop
#endif
