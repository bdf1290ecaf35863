/* One router by itself, without a fleet: a test gives it a table, requests and what servers answer, and reads its commands.
 * Commands of the last step stay in s.o until the next call that clears them. */
#ifndef NL_SOLO_H
#define NL_SOLO_H

#include "router_internal.h"

struct solo {
	struct router c;
	struct out o;
	apr_pool_t *p;
	int64_t now;
	uint64_t token;
};

/* A router that knows no table yet. Example: solo_open(&s, 5); */
void solo_open(struct solo *s, uint64_t id);
void solo_close(struct solo *s);
void solo_step(struct solo *s, const struct router_ev *ev);

/* Let time pass, then tick. Example: solo_tick(&s, 60); */
void solo_tick(struct solo *s, int64_t ms);
void solo_msg(struct solo *s, struct Nl__Msg *m);

/* A whole table, and the servers of a list. Example: solo_table(&s, rows, 2, &instance, 1, 1); */
void solo_table(struct solo *s, struct Nl__Row **rows, size_t n, struct Nl__Instance **instances, size_t nsight, uint64_t edition);

struct Nl__Row *new_row(apr_pool_t *p, Nl__Kind kind, const char *name);
struct Nl__Row *new_service(apr_pool_t *p, const char *name);
struct Nl__Instance *new_sight(apr_pool_t *p, int i, const char *service);

/* Ask; the request as it waits, or NULL with its status. Example: x = solo_ask(&s, "h", "/x", "id", &status); */
struct client_request *solo_ask(struct solo *s, const char *host, const char *path, const char *id, int *status);

/* The client of the newest request leaves. Example: solo_gone(&s); */
void solo_gone(struct solo *s);

/* The call of the newest send among the commands; 0: there is none. Example: call = solo_sent(&s); */
uint64_t solo_sent(struct solo *s);

/* How a send ended; unless it is whole, time passes for another one. Example: solo_ended(&s, call, ROUTER_NEVER, 503); */
void solo_ended(struct solo *s, uint64_t call, enum router_end how, int status);

#endif
