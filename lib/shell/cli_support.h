/* cli_support: functions for the command-line tools and the emulator: blocking HTTP calls to the product's
 * own interface, access to members of JSON objects, reading of files. Any thread may call them. */
#ifndef NL_CLI_SUPPORT_H
#define NL_CLI_SUPPORT_H

#include <json-c/json.h>
#include <stdint.h>

#include "key_digest.h"

/* Send an HTTP request and wait for the answer. addr: "ip:port"; key: an API key, or NULL; body: the body of
 * a POST, or NULL. Returns the HTTP status, or 0 if no complete answer was received within timeout_ms.
 * body_out: NULL, or receives the body of the answer, which the caller frees; it is empty if there was no
 * answer. */
int http_call_blocking(const char *method, const char *addr, const char *path, const char *key,
		       const char *body, int timeout_ms, char **body_out);

/* Send an operator's command: a POST with an idempotency key (key) and without an API key. Parameters and
 * result are otherwise those of http_call_blocking. */
int http_command_blocking(const char *addr, const char *path, const char *key, const char *body,
			  int timeout_ms, char **body_out);

/* Return a member of a JSON object, or NULL if json is not an object or has no such member. json owns the
 * member. */
struct json_object *json_member(struct json_object *json, const char *name);

/* Return a string member of a JSON object, or "" if there is none. json owns the string. */
const char *json_member_string(struct json_object *json, const char *name);

/* Return a member of a JSON object as an integer, or 0 if there is none. */
int64_t json_member_int(struct json_object *json, const char *name);

/* Read a file; path "-" means standard input. Returns its contents with a terminating zero, which the caller
 * frees, or NULL if the file can't be opened. */
char *file_read(const char *path);

#endif
