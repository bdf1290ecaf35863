#pragma GCC diagnostic ignored "-Wall"
#pragma GCC diagnostic ignored "-Wextra"
#define STB_DS_IMPLEMENTATION
#include <stb/stb_ds.h>
