/* router_fixture: runs a single router without a fleet. A test supplies a configuration table, requests and
 * the servers' answers, and inspects the commands that the router issues. Invariants: the clock advances only
 * in router_fixture_tick, router_fixture_table and router_fixture_end_call, and `commands` collects the
 * commands of all steps until a function whose comment says that it clears them. */
#ifndef NL_ROUTER_FIXTURE_H
#define NL_ROUTER_FIXTURE_H

#include "router_internal.h"

struct router_fixture {
	struct router router;
	struct command_list commands;
	apr_pool_t *pool;     /* lives as long as the fixture; rows and commands are allocated from it */
	int64_t now;          /* ms */
	uint64_t token;       /* of the newest request */
	bool is_unconfigured; /* the control leader's answers say so */
};

/* Open a router in zone z1 that has no configuration table yet; release it with router_fixture_close. */
void router_fixture_open(struct router_fixture *fixture, uint64_t id);
void router_fixture_close(struct router_fixture *fixture);

/* Pass an event to the router; router_fixture_message passes the receipt of a message. */
void router_fixture_step(struct router_fixture *fixture, const struct router_event *event);
void router_fixture_message(struct router_fixture *fixture, struct Nl__Msg *message);

/* Advance the clock by `ms`, then pass a tick to the router. */
void router_fixture_tick(struct router_fixture *fixture, int64_t ms);

/* Answer the router's configuration poll as the control leader does: with a complete table of `n` rows and an
 * endpoint list of `instance_count` servers, both of this revision. Advances the clock by 300 ms and clears
 * the commands. */
void router_fixture_table(struct router_fixture *fixture, struct Nl__Row **rows, size_t n,
			  struct Nl__Instance **instances, size_t instance_count, uint64_t revision);

/* Create rows of a table and servers of the endpoint list; the pool owns them. A service has target weights
 * w1; server i is in zone z1, has the address 127.1.0.(i + 1):80, 100 slots and weights w1. */
struct Nl__Row *new_row(apr_pool_t *pool, Nl__Kind kind, const char *name);
struct Nl__Row *new_service(apr_pool_t *pool, const char *name);
struct Nl__Instance *new_instance(apr_pool_t *pool, int i, const char *service);

/* Submit a forwarded request with a time limit of 60 s, after clearing the commands. Returns the request
 * while it is pending, with *status 0; NULL if the router has answered it, with the answer's status in
 * *status. */
struct client_request *router_fixture_submit(struct router_fixture *fixture, const char *host,
					     const char *path, const char *id, int *status);

/* The same with the digest of the client's key; NULL: the client sends none. */
struct client_request *router_fixture_submit_with_key(struct router_fixture *fixture, const char *host,
						      const char *path, const char *id,
						      const char *key_digest, int *status);

/* Disconnect the client of the newest request. */
void router_fixture_disconnect(struct router_fixture *fixture);

/* The token of the newest send to a server among the commands; 0: none. */
uint64_t router_fixture_last_call(struct router_fixture *fixture);

/* Report to the router that a send has ended, after clearing the commands. Unless the result is
 * FORWARD_COMPLETE, also advances the clock by 240 ms in four ticks, so that the router can resend the
 * request.
 */
void router_fixture_end_call(struct router_fixture *fixture, uint64_t call_token, enum forward_end result,
			     int status);

#endif
