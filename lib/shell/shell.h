/* shell: the I/O layer of a program. The state machines of lib/core, lib/control and lib/data perform no I/O.
 * One thread owns the state of the program. The threads of the modules included here own sockets and files,
 * and send the data that they read to that thread as events. This header includes all modules of the layer,
 * for programs and tests that use most of them; a module includes only the headers that it needs. */
#ifndef NL_SHELL_H
#define NL_SHELL_H

#include <apr_pools.h>
#include <apr_thread_cond.h>
#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>

#include "api_server.h"
#include "clock.h"
#include "core.h"
#include "log.h"
#include "process.h"
#include "raft.h"
#include "ring.h"
#include "server_calls.h"
#include "settings.h"
#include "shell_event.h"
#include "storage.h"
#include "transport.h"

#endif
