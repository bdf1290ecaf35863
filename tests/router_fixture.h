/* One router by itself, without a fleet: a test gives it a table, requests and what servers answer, and reads
 * its commands. Commands of the last step stay in s.o until the next call that clears them. */
#ifndef NL_ROUTER_FIXTURE_H
#define NL_ROUTER_FIXTURE_H

#include "router_internal.h"

struct solo {
	struct router router;
	struct command_list commands;
	apr_pool_t *p;
	int64_t now;
	uint64_t token;
};

/* A router that knows no table yet. Example: solo_open(&s, 5); */
void router_fixture_open(struct solo *solo, uint64_t id);
void router_fixture_close(struct solo *solo);
void router_fixture_step(struct solo *solo, const struct router_event *event);

/* Let time pass, then tick. Example: solo_tick(&s, 60); */
void router_fixture_tick(struct solo *solo, int64_t ms);
void router_fixture_message(struct solo *solo, struct Nl__Msg *message);

/* A whole table, and the servers of a list. Example: solo_table(&s, rows, 2, &instance, 1, 1); */
void router_fixture_table(struct solo *solo, struct Nl__Row **rows, size_t n, struct Nl__Instance **instances,
			  size_t nsight, uint64_t revision);

struct Nl__Row *new_row(apr_pool_t *pool, Nl__Kind kind, const char *name);
struct Nl__Row *new_service(apr_pool_t *pool, const char *name);
struct Nl__Instance *new_instance(apr_pool_t *pool, int i, const char *service);

/* Ask; the request as it waits, or NULL with its status. Example: x = solo_ask(&s, "h", "/x", "id", &status);
 */
struct client_request *router_fixture_submit(struct solo *solo, const char *host, const char *path,
					     const char *id, int *status);

/* The client of the newest request leaves. Example: solo_gone(&s); */
void router_fixture_disconnect(struct solo *solo);

/* The call of the newest send among the commands; 0: there is none. Example: call = solo_sent(&s); */
uint64_t router_fixture_last_call(struct solo *solo);

/* How a send ended; unless it is whole, time passes for another one. Example: solo_ended(&s, call,
 * ROUTER_NEVER, 503); */
void router_fixture_end_call(struct solo *solo, uint64_t call, enum forward_end how, int status);

#endif
