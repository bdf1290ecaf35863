/* sim_internal: functions that the simulator's source files share. Tests include sim.h instead. */
#ifndef NL_SIM_INTERNAL_H
#define NL_SIM_INTERNAL_H

#include "sim.h"

struct sim_load_command {
	uint64_t addr, fence;
	char server[24], weights[32], holder[20];
};

/* ---- sim.c ---- */

/* A random number below n, from the simulation's seeded generator. */
uint64_t sim_random_below(struct sim *sim, uint64_t n);

/* Add an event to the queue, which takes ownership of the event's data. */
void sim_push_event(struct sim *sim, struct sim_event input);

/* The node's own monotonic clock, in ms. */
int64_t sim_node_clock(const struct sim *sim, const struct sim_node *node);

/* Schedule a node's tick at virtual time `at` (ms). */
void sim_tick_at(struct sim *sim, int node, int64_t at);

/* ---- sim_disks.c ---- */

/* Apply a synced write to the disk. */
void sim_disk_write(struct sim_disk *d, const struct persist *w);

/* Empty a disk. */
void sim_disk_wipe(struct sim_disk *d);

/* Queue a node's write, and schedule the event that completes its sync. */
void sim_disk_queue(struct sim *sim, struct sim_node *node, const struct persist *w);

/* ---- sim_checks.c ---- */

/* Check router `i`, which has sent a request: it must have every configuration revision that was acknowledged
 * two seconds before or earlier, however old it takes its own configuration to be. */
void sim_check_router_config(struct sim *sim, int i);

/* Check all invariants of node `i`; called after each event at that node. */
void sim_check_node(struct sim *sim, int i);

/* ---- sim_requests.c ---- */

/* The newest request with this id; NULL: none. */
struct sim_request *sim_request_with_id(struct sim *sim, const char *id);

/* The request that a router identifies by this token; NULL: none. */
struct sim_request *sim_request_with_token(struct sim *sim, uint64_t token);

/* End a request for its client with outcome `how`: SIM_COMPLETE to SIM_LOST. */
void sim_end_request(struct sim *s, struct sim_request *x, int how);

/* The submission of a request id, at one incarnation of a router, to which a send belongs: one that was not
 * refused, if there is any. *n: the number of submissions that were not refused; a send does not identify its
 * submission when there are two or more. */
struct sim_submission *sim_submission_of_send(struct sim *sim, const char *id, int node, uint64_t incarnation,
					      int *n);

/* A client receives a complete answer that is not streamed. */
void sim_receive_answer(struct sim *sim, uint64_t token, int status, int retry_ms, const char *body);

/* A client receives a chunk of its stream, or with `end` the end of the stream; `ok`: the stream was
 * complete.
 */
void sim_receive_chunk(struct sim *sim, uint64_t token, const char *body, size_t len, int end, int ok);

/* Close all clients' connections to a router that has crashed or ended. */
void sim_close_client_connections(struct sim *sim, int node);

/* ---- sim_servers.c ---- */

/* The running server of the table at this address; NULL: none. */
struct sim_server *sim_server_at(struct sim *sim, const char *addr);

/* Write a server's status report, as JSON, to *body; the caller frees it. */
void sim_server_report(struct sim_server *server, char **body);

/* A server receives a command: a load command, or a list of cached blocks to drop. */
void sim_server_receive_command(struct sim *sim, struct sim_server *server, const char *body);

/* Notify a router that its call to a server ended early; `never`: 1 if the server certainly did not begin to
 * execute it. */
void sim_break_off(struct sim *sim, int node, uint64_t incarnation, uint64_t token, int status, int never);

/* A router's send of a request reaches a server. */
void sim_run_arrives(struct sim *sim, const struct sim_event *input);

/* End the execution of a request, and free its slot at the server. */
void sim_run_ends(struct sim *sim, struct sim_run *run);

/* A server sends the next chunk of a request's answer. */
void sim_run_streams(struct sim *sim, const struct sim_event *input);

/* ---- sim_instances.c ---- */

/* A controller reads the endpoint list. */
void sim_list_call(struct sim *sim, int i, uint64_t token);

/* A controller polls the status report of a server in the endpoint list; the report is a few hundred ms old.
 */
void sim_instance_report(struct sim *sim, int i, const struct command *command);

/* A controller sends a load command to a server in the endpoint list. */
void sim_instance_command(struct sim *sim, int i, const struct command *command);

/* A server in the endpoint list receives a load command; returns the HTTP status of its answer. */
int sim_load_command_arrives(struct sim *sim, const struct sim_load_command *order);

/* A server in the endpoint list has finished loading weights. */
void sim_load_ends(struct sim *sim, const struct sim_event *input);

/* ---- sim_commands.c ---- */

/* Write a controller's answer, unless its validity has expired; the program checks this in the same way. */
void sim_answer_is_written(struct sim *sim, const struct sim_event *input);

/* Pass one event to a controller, and execute the commands that follow. */
void sim_controller_step(struct sim *sim, int i, const struct controller_event *input);

/* Pass one event to a router, and execute the commands that follow. */
void sim_router_event(struct sim *sim, int i, const struct router_event *input);

/* Handle an event of the queue whose target is a router. */
void sim_router_dispatch(struct sim *sim, struct sim_event *input);

#endif
