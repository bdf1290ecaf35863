/* core: what all parts of the product share. Nothing in lib/core, lib/data or lib/control opens a socket or a
 * file or reads a clock: a step takes an event and the time, and returns commands. */
#ifndef NL_CORE_H
#define NL_CORE_H

#include "address.h"
#include "bounds.h"
#include "commands.h"
#include "hashing.h"
#include "packing.h"

#endif
