/* One controller and its data folder, without sockets and without a clock: what it sends to itself arrives,
 * what it sends to others does not, and every write is waited for. Makes the folders of tests/data, and goes
 * on from them. */
#ifndef NL_STORED_WORLD_H
#define NL_STORED_WORLD_H

#include "controller.h"
#include "shell.h"

enum { WORLD_SELF = 1, WORLD_FLEET = 7, WORLD_MEMBERS_MOST = 3 };

/* The last answer to an operator. */
struct world_answer {
	int status;
	char *body;
	size_t len;
	uint32_t outcome; /* of a claim */
};

struct world {
	apr_pool_t *pool;
	struct ring *ring;
	struct storage *store;
	struct stored_state found; /* what the folder held */
	struct controller controller;
	struct command_list out;
	int64_t now;
	uint64_t token;
	struct Nl__Msg **arriving;       /* stb_ds: sent to itself */
	struct controller_event *synced; /* stb_ds */
	struct world_answer answer;      /* to the newest call; status 0: none yet */
};

/* Open a folder, and a controller on it; NULL, or why the folder is refused. An empty one gets the identity
 * WORLD_SELF. */
const char *world_open(struct world *world, const char *folder);
void world_close(struct world *world);

/* Begin a fleet of so many members, of which this is one. Example: world_bootstrap(&w, 1); */
void world_bootstrap(struct world *world, int members);

/* Let time pass. Example: world_run(&w, 2000); */
void world_run(struct world *world, int64_t ms);

/* One event at the controller, and all that follows at once. */
void world_step(struct world *world, const struct controller_event *event);

/* A message of another member, or of a router, arrives: body and part are set. Example: world_hear(&w, 2,
 * &message); */
void world_hear(struct world *world, uint64_t from, struct Nl__Msg *message);

/* An operator's call; waits for the answer, which stays in w.answer: its status. key: NULL for none.
 * Example: assert_int_equal(world_call(&w, "GET", "/v1/table", "", NULL), 200); */
int world_call(struct world *world, const char *method, const char *path, const char *body, const char *key);

/* The same of an operator's document, in the platform's language. */
int world_document(struct world *world, const char *body, int patch, uint64_t base);
int world_read_document(struct world *world);
int world_name_weights(struct world *world, const char *model, const char *weights);

/* An operation is logged by the leader itself; waits until it is applied. Example: world_log(&w,
 * SHARD_SERVICE, &op); */
void world_log(struct world *world, uint32_t part, const struct Nl__Operation *operation);

/* A router's claim: the status of the answer to it. */
uint32_t world_claim(struct world *world, const char *service, const struct Nl__Claim *claim);

/* The disk's word on a write, waited for up to five minutes; NULL: none came. */
struct shell_event *world_synced(struct ring *ring);

/* All that a folder held, as text without names: identity, terms, votes, members, snapshots and entries. */
const char *world_records(const struct stored_state *found, apr_pool_t *pool);

/* The state that it makes, by shards: its snapshots and, upon them, all its entries. Of a controller that has
 * done nothing yet. */
const char *world_state(struct world *world, apr_pool_t *pool);

/* Write all that a folder held to another, which is new. */
void world_copy(const struct stored_state *found, const char *folder);

#endif
