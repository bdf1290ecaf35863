/* stored_world: runs one controller on a data folder, without sockets and under virtual time. Messages that
 * the controller sends to itself are delivered, messages to others are dropped, and each write is synced
 * before the next step. It creates the data folders in tests/data, and continues from them in later versions.
 */
#ifndef NL_STORED_WORLD_H
#define NL_STORED_WORLD_H

#include "controller.h"
#include "shell.h"

enum { WORLD_SELF = 1, WORLD_FLEET = 7, WORLD_MAX_MEMBERS = 3 };

/* The last answer to an operator. */
struct world_answer {
	int status;
	char *body;
	size_t len;
	uint32_t outcome; /* outcome in the answer to a claim */
};

struct world {
	apr_pool_t *pool;
	struct ring *ring;
	struct storage *store;
	struct stored_state found; /* contents of the folder when it was opened */
	struct controller controller;
	struct command_list out;
	int64_t now;                       /* ms */
	uint64_t token;                    /* token of the newest call */
	struct Nl__Msg **messages_to_self; /* stb_ds: messages that the controller has sent to itself */
	struct controller_event
	    *completed_syncs;       /* stb_ds: completed syncs that the controller has not yet handled */
	struct world_answer answer; /* answer to the newest call; status 0: not answered yet */
};

/* Open a data folder and start a controller on it; returns NULL, or the reason why the folder is rejected. In
 * an empty folder the controller gets the identity WORLD_SELF. */
const char *world_open(struct world *world, const char *folder);
void world_close(struct world *world);

/* Bootstrap a fleet of `members` members, including this controller. Example: world_bootstrap(&w, 1); */
void world_bootstrap(struct world *world, int members);

/* Run for `ms` of virtual time. Example: world_run(&w, 2000); */
void world_run(struct world *world, int64_t ms);

/* Pass one event to the controller, then all completed syncs and messages to itself that result from it. */
void world_step(struct world *world, const struct controller_event *event);

/* Deliver a message from another member or from a router; the caller has set its body and shard.
 * Example: world_receive(&w, 2, &message); */
void world_receive(struct world *world, uint64_t from, struct Nl__Msg *message);

/* Send an operator's call, with an idempotency key unless `key` is NULL, and wait for the answer. Returns its
 * status, 0 if there is none; the answer stays in world->answer.
 * Example: assert_int_equal(world_call(&w, "GET", "/v1/table", "", NULL), 200); */
int world_call(struct world *world, const char *method, const char *path, const char *body, const char *key);

/* Send a call of the platform's interface and wait for the answer, like world_call: write a document or patch
 * on config version `base`, read the document, or set the target weights of a model. */
int world_document(struct world *world, const char *body, int patch, uint64_t base);
int world_read_document(struct world *world);
int world_set_target_weights(struct world *world, const char *model, const char *weights);

/* Log an operation at this controller, which must lead the shard, and wait until it is applied.
 * Example: world_log(&w, SHARD_SERVICE, &op); */
void world_log(struct world *world, uint32_t part, const struct Nl__Operation *operation);

/* Send a router's claim of a request id and wait for the answer; returns its status. */
uint32_t world_claim(struct world *world, const char *service, const struct Nl__Claim *claim);

/* Wait up to five minutes for the report that a write is synced; NULL if there is none. */
struct shell_event *world_synced(struct ring *ring);

/* The contents of a folder as text without field names: identity, terms, votes, members, snapshots and log
 * entries. */
const char *world_records(const struct stored_state *found, apr_pool_t *pool);

/* The state of each shard as text, after its snapshot and all its log entries have been applied. The
 * controller must not have handled any event before. */
const char *world_state(struct world *world, apr_pool_t *pool);

/* Write the contents of a folder to another folder, which must be new. */
void world_copy(const struct stored_state *found, const char *folder);

#endif
