/* stored_walk: visits protobuf messages by their field numbers, for data that was stored by earlier versions;
 * it does not depend on the names of fields and messages. A field's place is a path of numbers: "0.10.4[1].3"
 * is field 3 of element 1 of repeated field 4 of field 10 of root 0. */
#ifndef NL_STORED_WALK_H
#define NL_STORED_WALK_H

#include <apr_pools.h>
#include <protobuf-c/protobuf-c.h>
#include <stddef.h>
#include <stdint.h>

/* The root messages: those that are sent, logged or stored on their own. All other messages are nested in
 * these. The stored data refers to roots by these numbers, so their order does not change. */
enum walk_root {
	WALK_SENT,
	WALK_OPERATION,
	WALK_CONTROL_STATE,
	WALK_PURGE_STATE,
	WALK_SERVICE_STATE,
	WALK_MEMBERS,
	WALK_ROOTS
};
extern const ProtobufCMessageDescriptor *const walk_roots[WALK_ROOTS];

/* Restrict the following walks to the fields of an earlier version's schema, in the format of walk_schema.
 * walk_fill does not set any other field, and walk_check requires it to be absent. NULL: all fields. The text
 * must outlive the walks. Example: walk_as_of(file_read("messages/fields.txt", &n, pool), pool); */
void walk_as_of(const char *schema, apr_pool_t *pool);

/* The numbers of the fields in a root's oneof, ended by 0. A root without a oneof gives only the ending 0,
 * which walk_fill takes as its single case. Example: for (const uint32_t *c = walk_cases(root, pool); ...) */
const uint32_t *walk_cases(enum walk_root root, apr_pool_t *pool);

/* Create a message with every field set to a value that is derived from the field's place. Of a oneof, the
 * field `one` is set in the root (0: the oneof's first field), and the first field in nested messages.
 * Example: m = walk_fill(WALK_SENT, 10, pool); */
ProtobufCMessage *walk_fill(enum walk_root root, uint32_t one, apr_pool_t *pool);

/* Check that all fields of a message have the values that walk_fill sets; returns NULL, or the place of a
 * field that differs. */
const char *walk_check(enum walk_root root, uint32_t one, ProtobufCMessage *message, apr_pool_t *pool);

/* A text with one line for each field below each root: the field's place, type, label and flags, the first
 * field of its oneof, and the numbers of an enum. Example: text = walk_schema(pool); */
const char *walk_schema(apr_pool_t *pool);

/* The number of message types that are reachable from the roots, including the roots. */
int walk_kinds(void);

/* A text with one line for each field of a message that is set: "indent path = value".
 * Example: text = walk_dump(&op->base, "", pool); */
const char *walk_dump(const ProtobufCMessage *message, const char *path, apr_pool_t *pool);

#endif
