/* notchlugctl_client: how the operators' command line calls controllers: reads until there is a clear answer,
 * and requests under one idempotency key, so that each is done once however often it arrives. */
#ifndef NL_NOTCHLUGCTL_CLIENT_H
#define NL_NOTCHLUGCTL_CLIENT_H

#include <apr_pools.h>
#include <json-c/json.h>

/* Exit codes of the program. */
enum { OK = 0, REJECTED = 1, USAGE = 2, UNREACHABLE = 3, CONFLICT = 4 };

extern apr_pool_t *pool;            /* the program's, for as long as it runs */
extern const char *controller_addr; /* the controller that is called */
extern const char *idempotency_key; /* of this run's request, by --key; NULL: one is made up */

/* Read the addresses of --at. Returns 0 when it is no list of them. */
int parse_controllers(const char *list);

/* Whether an answer leaves open what became of a call, or says that it may come again. */
int is_unclear(int status);

/* Read from a controller until there is a clear answer, at the addresses in turn: a read changes nothing.
 * Returns the HTTP status; 0: nobody answers. *body is the caller's to free. */
int read_path(const char *path, int limit_ms, char **body);

/* Send a request until it has a clear answer. Returns the HTTP status; *body is the caller's to free. */
int send_request(const char *path, struct json_object *request, char **body);

/* The exit code of a request that changes something. */
int exit_code(int status);

/* The exit code of a call that is made once, at one node. */
int single_call_exit_code(int status);

#endif
