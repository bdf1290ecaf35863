/* Messages walked by their fields' numbers alone, for data that was stored by earlier versions: no field's or
 * message's name is looked at. A place in a message is a path of numbers, such as "0.10.4[1].3": root 0, its
 * field 10, of that field 4, and so on. */
#ifndef NL_STORED_WALK_H
#define NL_STORED_WALK_H

#include <apr_pools.h>
#include <protobuf-c/protobuf-c.h>
#include <stddef.h>
#include <stdint.h>

/* The messages that are sent, logged or kept by themselves; all others are parts of these. The order is that
 * of the data. */
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

/* Walk only the fields of a schema as walk_schema gives it: those that an earlier version had. Any other
 * field is not filled, and checked to be absent. NULL: all fields. The text must outlive the walks. Example:
 * walk_as_of(file_read("messages/fields.txt", &n, pool), pool); */
void walk_as_of(const char *schema, apr_pool_t *pool);

/* The numbers of a root's fields of which one at a time is set; 0: its first, and one alone if it has none.
 * Ends with 0. Example: for (const uint32_t *c = walk_cases(root, pool); ...) */
const uint32_t *walk_cases(enum walk_root root, apr_pool_t *pool);

/* A message with every field set to a value that follows from its place; of fields of which one is set, `one`
 * in the root and the first further in. Example: m = walk_fill(WALK_SENT, 10, pool); */
ProtobufCMessage *walk_fill(enum walk_root root, uint32_t one, apr_pool_t *pool);

/* Whether all fields of a message hold those values: NULL, or the place of one that does not. */
const char *walk_check(enum walk_root root, uint32_t one, ProtobufCMessage *message, apr_pool_t *pool);

/* Every field below every root, one a line: its place, type, label and flags, the place of the first field of
 * those of which one is set, and of an enum its numbers. Example: text = walk_schema(pool); */
const char *walk_schema(apr_pool_t *pool);

/* How many kinds of messages the roots lead to, themselves included. */
int walk_kinds(void);

/* Every field of a message that is set, one a line: "indent path = value". Example: text =
 * walk_dump(&op->base, "", pool); */
const char *walk_dump(const ProtobufCMessage *message, const char *path, apr_pool_t *pool);

#endif
