/* sim_internal: what the files of the simulator use of each other; tests include sim.h. */
#ifndef NL_SIM_INTERNAL_H
#define NL_SIM_INTERNAL_H

#include "sim.h"

struct sim_load_command {
	uint64_t addr, fence;
	char server[24], weights[32], holder[20];
};

/* ---- sim.c ---- */

/* A random number below n, of the run's generator. */
uint64_t sim_random_below(struct sim *sim, uint64_t n);

/* Put an event in the queue; the queue owns its data from now on. */
void sim_push_event(struct sim *sim, struct sim_event input);

/* The node's own monotonic clock, in ms. */
int64_t sim_node_clock(const struct sim *sim, const struct sim_node *node);

/* Let a node tick at a time. */
void sim_tick_at(struct sim *sim, int node, int64_t at);

/* ---- sim_disks.c ---- */

/* What a synced write leaves on the disk. */
void sim_disk_write(struct sim_disk *d, const struct persist *w);

/* Empty a disk. */
void sim_disk_wipe(struct sim_disk *d);

/* A node writes: the write waits until its sync is due. */
void sim_disk_queue(struct sim *sim, struct sim_node *node, const struct persist *w);

/* ---- sim_checks.c ---- */

/* Whoever sends has every revision that was acknowledged two seconds before, whatever it takes its own age
 * for. */
void sim_check_in_force(struct sim *sim, int i);

/* All invariants of a node, after an event of its own. */
void sim_check_node(struct sim *sim, int i);

/* ---- sim_requests.c ---- */

/* The newest request of an id; NULL: there is none. */
struct sim_request *sim_request_with_id(struct sim *sim, const char *id);

/* The request that a router knows by a token; NULL: there is none. */
struct sim_request *sim_request_with_token(struct sim *sim, uint64_t token);

/* A client gets the end of its request; how: SIM_COMPLETE to SIM_LOST. */
void sim_end_request(struct sim *s, struct sim_request *x, int how);

/* The submission of an id to an incarnation of a router that a send belongs to: one that was not refused, if
 * there is any. *n: how many were not refused; of two, the send does not tell which. */
struct sim_submission *sim_asking_of(struct sim *sim, const char *id, int node, uint64_t incarnation, int *n);

/* A client receives an answer that is no stream. */
void sim_receive_answer(struct sim *sim, uint64_t token, int status, int retry_ms, const char *body);

/* A client receives a piece of its stream, or with `end` the end of it, which is a good one if `ok`. */
void sim_receive_piece(struct sim *sim, uint64_t token, const char *body, size_t len, int end, int ok);

/* A router is gone, and its clients' connections with it. */
void sim_lose_clients(struct sim *sim, int node);

/* ---- sim_servers.c ---- */

/* The server of the table at an address; NULL: none is up there. */
struct sim_server *sim_server_at(struct sim *sim, const char *addr);

/* What a server reports, as JSON; the caller frees *body. */
void sim_server_report(struct sim_server *server, char **body);

/* A load command, or blocks to drop, arrives at a server. */
void sim_server_order(struct sim *sim, struct sim_server *server, const char *body);

/* A router learns that a call ended early; never: it surely never began. */
void sim_break_off(struct sim *sim, int node, uint64_t incarnation, uint64_t token, int status, int never);

/* A send reaches a server. */
void sim_run_arrives(struct sim *sim, const struct sim_event *input);

/* A run ends, and its slot is free. */
void sim_run_over(struct sim *sim, struct sim_run *run);

/* The next piece of a run leaves its server. */
void sim_run_streams(struct sim *sim, const struct sim_event *input);

/* ---- sim_instances.c ---- */

/* A controller reads the list of servers. */
void sim_list_call(struct sim *sim, int i, uint64_t token);

/* A controller polls a listed server's report, which is some hundred ms old. */
void sim_instance_report(struct sim *sim, int i, const struct command *command);

/* A controller sends a listed server a load command. */
void sim_instance_command(struct sim *sim, int i, const struct command *command);

/* A load command arrives at a listed server; returns the status of its answer. */
int sim_order_arrives(struct sim *sim, const struct sim_load_command *order);

/* A listed server has loaded its weights. */
void sim_load_ends(struct sim *sim, const struct sim_event *input);

/* ---- sim_commands.c ---- */

/* An answer is written, unless the time up to which it holds is over, as in the program. */
void sim_answer_is_written(struct sim *sim, const struct sim_event *input);

/* One step of a controller, and its commands. */
void sim_controller_step(struct sim *sim, int i, const struct controller_event *input);

/* One step of a router, and its commands. */
void sim_router_event(struct sim *sim, int i, const struct router_event *input);

/* An event of the queue that is a router's. */
void sim_router_dispatch(struct sim *sim, struct sim_event *input);

#endif
