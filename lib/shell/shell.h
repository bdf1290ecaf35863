/* shell: the I/O of a program, round the pure state machines of lib/core, lib/control and lib/data. One
 * thread owns a program's state; the threads of the modules below own sockets and files, and hand what they
 * read to it as events. This header includes all modules of the layer, for programs and tests that use most
 * of them; a module includes those that it needs. */
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
