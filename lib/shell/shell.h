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
#include "transport.h"

/* ---- store ---- */
struct storage;
struct stored_state {
	uint64_t node_id, fleet_id;
	struct raft_saved shards[SHARD_COUNT];
	const struct raft_saved *shard_pointers[SHARD_COUNT];
};

/* Open the data folder; what it holds goes to *f. NULL on a fault, with the reason and the remedy in *why.
 * Example: s = store_open("data", ring, &found, &why, pool); */
struct storage *storage_open(const char *folder, const char *fault_file, struct ring *events,
			     struct stored_state *found, const char **error_text, apr_pool_t *pool);

/* Write one part's change; EV_SYNCED follows once it is on the disk. Example: store_write(s, persist); */
void storage_write(struct storage *storage, const struct persist *w);

/* Store who we are; returns when synced. Example: store_identity(s, id, fleet); */
int storage_write_identity(struct storage *storage, uint64_t node_id, uint64_t fleet_id);

/* Batches synced, and batches that the disk refused so far. Example: store_refused(s) */
uint64_t storage_sync_count(const struct storage *storage);
uint64_t storage_refused_count(const struct storage *storage);
void storage_close(struct storage *storage);

#endif
