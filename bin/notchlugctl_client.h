/* notchlugctl_client: sends the operators' reads and changes to controllers over HTTP. A read is retried
 * until a controller gives a usable answer. A change is retried under one idempotency key until its outcome
 * is known, so that it takes effect at most once however often it arrives. */
#ifndef NL_NOTCHLUGCTL_CLIENT_H
#define NL_NOTCHLUGCTL_CLIENT_H

#include <apr_pools.h>
#include <json-c/json.h>

/* Exit codes of notchlugctl. */
enum { OK = 0, REJECTED = 1, USAGE = 2, UNREACHABLE = 3, CONFLICT = 4 };

extern apr_pool_t *pool;            /* lives until the program ends */
extern const char *controller_addr; /* "ip:port" of the node that receives the next call */
extern const char *idempotency_key; /* the value of --key; NULL: each change gets a random key */

/* Parses the value of --at, a list of addresses separated by commas, and selects the first one. Returns 0
 * when an address is invalid or when there are none or too many. */
int parse_controller_list(const char *list);

/* Returns whether an HTTP status leaves the outcome of a request unknown or permits a retry. 0: no answer. */
int is_status_unclear(int status);

/* Sends a GET to the controllers in turn until one gives a usable answer or the retry period is over; a read
 * changes nothing, so retries are safe. Returns the last HTTP status, 0 for no answer. The caller frees
 * *body. */
int read_with_retry(const char *path, int attempt_timeout_ms, char **body);

/* Posts a request to the controllers in turn, under one idempotency key, until its outcome is known or the
 * retry period is over. Returns the last HTTP status, 0 for no answer. The caller frees *body. */
int send_request_with_retry(const char *path, struct json_object *request, char **body);

/* Maps the HTTP status of a change to the exit code. */
int change_exit_code(int status);

/* Maps the HTTP status of any other request to the exit code: OK, REJECTED, or UNREACHABLE without an answer.
 */
int single_call_exit_code(int status);

#endif
