/* controller: the control plane of the fleet as one pure step over its state.
 *
 * The layers of lib/control, from below; LAYERS.md lists each module, and tests/check_layers refuses a way
 * upwards: 1 data          the configuration's rows, versions of weights, instances, keys of requests; the
 * controller's state 2 state machine what committed entries do to the replicated state, and its snapshots 3
 * replication   following the configuration, the control group's clock, who leads a shard 4 services      one
 * piece of state each: proposals, membership, configuration sync, quota shares, the purge publisher,
 * retention, rollouts, bootstrap, recovery 5 operators     calls of operators, answered from the services 6
 * step          this module and leadership_change: the only ones that wire services to each other
 *
 * A controller is a member of the groups that replicate the shards, or waits to become one. The daemon, the
 * simulator and the tests call controller_step with each event; all that it does to the world is the list of
 * commands. Pure: time comes in with each step, random numbers from the seed. Not for several threads at
 * once. */
#ifndef NL_CONTROLLER_H
#define NL_CONTROLLER_H

#include "bootstrap.h"
#include "controller_event.h"
#include "controller_state.h"
#include "operator_calls.h"
#include "rollout.h"
#include "snapshot.h"

/* Begin. seeds: addresses, CONTROLLER_MAX_SEEDS at the most; fleet 0: none yet; seed: of the random numbers;
 * saved[i]: what the disk holds of shard i, may be NULL. zone stays the caller's and has to outlive the
 * controller. Example: controller_open(&controller, id, addr, "z1", seeds, 3, fleet, seed, saved, now); */
void controller_open(struct controller *controller, uint64_t id, uint64_t addr, const char *zone,
		     const uint64_t *seeds, int seed_count, uint64_t fleet, uint64_t seed,
		     const struct raft_saved *const *saved, int64_t now);

/* Release all that it holds. */
void controller_close(struct controller *controller);

/* One step; now: monotonic ms. Commands are appended to out and live in its pool.
 * Example: controller_step(&controller, &(struct controller_event){ .kind = CONTROLLER_TICK }, now, &out); */
void controller_step(struct controller *controller, const struct controller_event *event, int64_t now,
		     struct command_list *out);

/* After CONTROLLER_STOP: whether nothing more needs this controller and all that operators called for is
 * answered, so that its process may end before the time for a graceful shutdown is over. Example: return
 * controller_stopped(&controller, now); */
bool controller_stopped(const struct controller *controller, int64_t now);

#endif
