/* tool: what the operators' tools and the rehearsal share. */
#ifndef NL_CLI_SUPPORT_H
#define NL_CLI_SUPPORT_H

#include <json-c/json.h>
#include <stdint.h>

/* Returns the status, 0 when nobody answered; *body_out, if wanted, is malloc'd.
 * Example: st = http_do("POST", "127.0.0.1:8000", "/v1/found", NULL, "{}", 5000, &body); */
int http_call_blocking(const char *method, const char *addr, const char *path, const char *key,
		       const char *body, int timeout_ms, char **body_out);

/* An operator's order, with its idempotency key. Example: st = http_order("127.0.0.1:8000", "/v1/change",
 * key, body, 5000, &body); */
int http_command_blocking(const char *addr, const char *path, const char *key, const char *body,
			  int timeout_ms, char **body_out);

/* A member of an object, NULL, "" or 0 when it is not there. Example: jgeti(j, "edition") */
struct json_object *json_member(struct json_object *json, const char *name);
const char *json_member_string(struct json_object *json, const char *name);
int64_t json_member_int(struct json_object *json, const char *name);

/* A key's digest, as the table holds it. Example: digest_hex("key-0", buf) */
char *digest_hex(const char *key, char hex[65]);

/* A file's text, malloc'd; "-" is standard input; NULL when it cannot be read. Example: t =
 * file_read("table.tsv"); */
char *file_read(const char *path);

#endif
