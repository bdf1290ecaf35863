/* What the files of the emulated model server share: its state, the blocks that it caches, and its answers.
 */
#ifndef NL_SERVER_EMULATOR_INTERNAL_H
#define NL_SERVER_EMULATOR_INTERNAL_H

#include <apr_thread_mutex.h>
#include <microhttpd.h>

#include "test_fleet.h"

/* A block of a prompt: found by its hash and the tenant that made it. */
struct cached_copy {
	char hash[20];
	char weights[64];
	char maker[64];
	int64_t stamp;
	int tokens;
	uint64_t used;
};

/* The server that this process emulates. Threads of HTTP connections share it under its mutex. */
struct emulated_server {
	apr_thread_mutex_t *mutex;
	struct record *record;
	char name[64];
	char weights[64]; /* loaded */
	char loading[64]; /* being loaded until load_done_at_ms; empty: none */
	char store[64];   /* address of the store, or empty */
	int64_t load_done_at_ms;
	int slots;
	int running;
	int prefill_tokens_per_ms;
	int kv_bytes_per_token;
	int link_bytes_per_ms;
	int piece_ms;
	int pieces;
	int load_ms;
	int capacity_tokens;
	uint64_t fence;  /* highest one of a load command */
	uint64_t serial; /* counts changes of what reports say */
	uint64_t boot;
	uint64_t use_sequence;
	struct cached_copy *blocks; /* stb_ds */
	int cached_tokens;          /* of all blocks */
	/* faults, set by POST /fault */
	int drop_reports;
	int late_reports; /* ms */
	int refuse;
	int slow_link;    /* so many times slower; 0: as fast as it should be */
	int hang_fetch;   /* ms that a fetch from here hangs */
	int answer_fault; /* kind of fault of each answer; 0: none */
};

/* ---- server_emulator_cache.c ---- */

/* Take the server's mutex. */
void emulated_lock(void);

/* Release the server's mutex. */
void emulated_unlock(void);

/* A new record of this kind; the caller owns it. */
struct json_object *emulated_record(const char *kind);

/* Finish a load whose time is over. Called under the lock. */
void emulated_load_check(void);

/* The block with this hash and maker, or NULL. Called under the lock. */
struct cached_copy *emulated_find_block(const char *hash, const char *maker);

/* Cache a block, or renew it; the least recently used ones go. Called under the lock. */
void emulated_cache_block(const char *hash, const char *weights, const char *maker, int64_t stamp,
			  int tokens);

/* Count the blocks of a list that are cached as it says, from the first on, and add them to used. Returns
 * have plus their number. */
int emulated_reuse(struct json_object *list, const char *weights, struct json_object *used, int have);

/* Fetch kept parts from a peer server or the store; what fails, or would take longer than the send allows, is
 * read from the prompt instead. */
int emulated_fetch(struct json_object *fetch_json, const char *weights, struct json_object *used, int have,
		   int *ms);

/* ---- server_emulator.c ---- */

/* Answer with a status and a JSON text, which is copied. */
enum MHD_Result emulated_reply(struct MHD_Connection *connection, unsigned status, const char *body);

/* ---- server_emulator_run.c ---- */

/* POST /v1/run: run a request and stream its answer. */
enum MHD_Result emulated_on_run(struct MHD_Connection *connection, const char *body);

/* ---- server_emulator_cache.c ---- */

/* A block as it stands in reports and fetches; the caller owns it. */
struct json_object *emulated_block_json(const struct cached_copy *replica);

/* Set up by server_main, then shared by all threads. */
extern struct emulated_server emulated;

#endif
