/* core: types and functions shared by routers and controllers. No code in lib/core, lib/data or
 * lib/control opens a socket or a file or reads a clock: a step is a function that takes an event and the
 * current time and returns commands. */
#ifndef NL_CORE_H
#define NL_CORE_H

#include "address.h"
#include "bounds.h"
#include "commands.h"
#include "hashing.h"
#include "host_name.h"
#include "packing.h"

#endif
