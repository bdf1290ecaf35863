/* json_add: add members to the JSON objects that operators read. */
#ifndef NL_JSON_ADD_H
#define NL_JSON_ADD_H

#include <json-c/json.h>
#include <stdint.h>

/* Add a string, which is copied.
 * Example: json_add_text(json, "zone", instance->zone); */
static inline void json_add_text(struct json_object *json, const char *name, const char *value)
{
	json_object_object_add(json, name, json_object_new_string(value));
}

/* Add an integer; the caller casts unsigned values.
 * Example: json_add_number(json, "due", due_at_ms); */
static inline void json_add_number(struct json_object *json, const char *name, int64_t value)
{
	json_object_object_add(json, name, json_object_new_int64(value));
}

/* Add a boolean.
 * Example: json_add_flag(json, "late", purge->late); */
static inline void json_add_flag(struct json_object *json, const char *name, int value)
{
	json_object_object_add(json, name, json_object_new_boolean(value));
}

#endif
