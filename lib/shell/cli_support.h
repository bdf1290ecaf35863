/* cli_support: what the command-line tools and the emulator share: blocking HTTP calls to the product's own
 * interface, members of JSON objects, files. All of it may be called by any thread. */
#ifndef NL_CLI_SUPPORT_H
#define NL_CLI_SUPPORT_H

#include <json-c/json.h>
#include <stdint.h>

#include "key_digest.h"

/* Make a request and wait for its answer. addr: "ip:port"; key: an API key, or NULL; body: of a POST, or
 * NULL. Returns the status, or 0 when there was no complete answer within timeout_ms. body_out: NULL, or gets
 * the answer's text, which the caller frees; it's empty without an answer. */
int http_call_blocking(const char *method, const char *addr, const char *path, const char *key,
		       const char *body, int timeout_ms, char **body_out);

/* The same for an operator's command, a POST with an idempotency key in place of an API key. */
int http_command_blocking(const char *addr, const char *path, const char *key, const char *body,
			  int timeout_ms, char **body_out);

/* A member of a JSON object; NULL when json is none or lacks it. It belongs to json. */
struct json_object *json_member(struct json_object *json, const char *name);

/* The same as text; "" when there is none. */
const char *json_member_string(struct json_object *json, const char *name);

/* The same as a number; 0 when there is none. */
int64_t json_member_int(struct json_object *json, const char *name);

/* A file's text, which the caller frees; "-" is standard input. NULL when it can't be opened. */
char *file_read(const char *path);

#endif
