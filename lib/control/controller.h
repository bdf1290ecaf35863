/* controller: the control plane of the fleet, as one pure step function over the state of one controller.
 *
 * A controller is a member of the Raft groups that replicate the shards, or an empty node that waits to
 * become one. The caller passes each event to controller_step and executes the commands that it returns; the
 * controller has no other effect. It is pure: each step is given the time, and random numbers are generated
 * from the seed. Only one thread may use a controller at a time.
 *
 * The modules of lib/control form six layers, from the lowest to the highest. LAYERS.md lists the modules of
 * each layer, and tests/check_layers rejects a dependency on a higher layer:
 *   1. data           rows of the configuration, weight versions, server instances, idempotency keys
 *   2. state          the controller's records; how log entries change the replicated state;
 *                     snapshots
 *   3. leadership     the control group's clock; whether this node leads a shard
 *   4. services       proposals, membership, configuration sync, quota shares, the purge publisher,
 *                     retention, rollouts, bootstrap and recovery; each has its own record
 *   5. operators      operators' calls, answered from the services
 *   6. step           this module and leadership_change, the only modules that connect services with each
 *                     other */
#ifndef NL_CONTROLLER_H
#define NL_CONTROLLER_H

#include "bootstrap.h"
#include "controller_event.h"
#include "controller_state.h"
#include "operator_calls.h"
#include "rollout.h"
#include "snapshot.h"

/* Initialise a controller. seeds: addresses, at most CONTROLLER_MAX_SEEDS, further ones are ignored. fleet:
 * identity of the fleet, 0: the controller belongs to none yet. seed: initial state of the random numbers.
 * saved[i]: the stored state of shard i; saved may be NULL. zone is not copied and has to outlive the
 * controller. Example: controller_open(&controller, id, addr, "z1", seeds, 3, fleet, seed, saved, now); */
void controller_open(struct controller *controller, uint64_t id, uint64_t addr, const char *zone,
		     const uint64_t *seeds, int seed_count, uint64_t fleet, uint64_t seed,
		     const struct raft_saved *const *saved, int64_t now);

/* Release all memory of the controller. */
void controller_close(struct controller *controller);

/* Process one event. now: monotonic ms. The resulting commands are appended to out and allocated in its pool.
 * Example: controller_step(&controller, &(struct controller_event){ .kind = CONTROLLER_TICK }, now, &out); */
void controller_step(struct controller *controller, const struct controller_event *event, int64_t now,
		     struct command_list *out);

/* Whether the process may end, after CONTROLLER_STOP and before the time limit of a graceful shutdown: no
 * Raft group needs this controller any more, and all operators' calls have been answered. Example: return
 * controller_may_stop(&controller, now); */
bool controller_may_stop(const struct controller *controller, int64_t now);

#endif
