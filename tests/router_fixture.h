/* router_fixture: one router by itself, without a fleet. A test gives it a configuration table, requests and
 * what servers answer, and reads the commands of its steps. Always: the clock moves only in
 * router_fixture_tick and router_fixture_table, and the commands of past steps stay in `commands` until a
 * call that says that it clears them. */
#ifndef NL_ROUTER_FIXTURE_H
#define NL_ROUTER_FIXTURE_H

#include "router_internal.h"

struct router_fixture {
	struct router router;
	struct command_list commands;
	apr_pool_t *p;  /* lives as long as the fixture; rows and commands are allocated from it */
	int64_t now;    /* ms */
	uint64_t token; /* of the newest request */
};

/* A router of zone z1 that knows no table yet; released by router_fixture_close. */
void router_fixture_open(struct router_fixture *fixture, uint64_t id);
void router_fixture_close(struct router_fixture *fixture);

/* One step of the router, and one that is the receipt of a message. */
void router_fixture_step(struct router_fixture *fixture, const struct router_event *event);
void router_fixture_message(struct router_fixture *fixture, struct Nl__Msg *message);

/* Let time pass, then tick. */
void router_fixture_tick(struct router_fixture *fixture, int64_t ms);

/* The control leader answers a poll: a complete table of `n` rows, and `nsight` servers of the list, both of
 * this revision. Clears the commands. */
void router_fixture_table(struct router_fixture *fixture, struct Nl__Row **rows, size_t n,
			  struct Nl__Instance **instances, size_t nsight, uint64_t revision);

/* Rows for a table; all live in the pool. A service has weights w1, an instance is in zone z1 at 127.1.0.(i +
 * 1). */
struct Nl__Row *new_row(apr_pool_t *pool, Nl__Kind kind, const char *name);
struct Nl__Row *new_service(apr_pool_t *pool, const char *name);
struct Nl__Instance *new_instance(apr_pool_t *pool, int i, const char *service);

/* Submit a forwarded request with a limit of 60 s. Returns it while it waits, else NULL with the status of
 * its answer. Clears the commands. */
struct client_request *router_fixture_submit(struct router_fixture *fixture, const char *host,
					     const char *path, const char *id, int *status);

/* The client of the newest request disconnects. */
void router_fixture_disconnect(struct router_fixture *fixture);

/* The token of the newest send among the commands; 0: there is none. */
uint64_t router_fixture_last_call(struct router_fixture *fixture);

/* How a send ended; unless it is complete, time passes so that the request may be sent again. Clears the
 * commands. */
void router_fixture_end_call(struct router_fixture *fixture, uint64_t call, enum forward_end how, int status);

#endif
