/* json_add: members of a JSON object, one call each. For the texts that operators read. */
#ifndef NL_JSON_ADD_H
#define NL_JSON_ADD_H

#include <json-c/json.h>
#include <stdint.h>

/* Add a text, which is copied. Example: json_add_text(json, "zone", instance->zone); */
static inline void json_add_text(struct json_object *json, const char *name, const char *value)
{
	json_object_object_add(json, name, json_object_new_string(value));
}

/* Add a whole number; unsigned ones are cast by the caller. Example: json_add_number(json, "due", due_at_ms);
 */
static inline void json_add_number(struct json_object *json, const char *name, int64_t value)
{
	json_object_object_add(json, name, json_object_new_int64(value));
}

/* Add true or false. Example: json_add_flag(json, "late", purge->late); */
static inline void json_add_flag(struct json_object *json, const char *name, int value)
{
	json_object_object_add(json, name, json_object_new_boolean(value));
}

#endif
