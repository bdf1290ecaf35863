/* config_row: converts rows and changes of the configuration to and from the JSON that operators write and
 * read.
 *
 * One list of columns defines the type of each column and the kinds of row that have it. Names of kinds and
 * columns belong to the operators' interface and differ from the names in the code; docs/glossary.md lists
 * both. The functions are pure. */
#ifndef NL_CONFIG_ROW_H
#define NL_CONFIG_ROW_H

#include <stdbool.h>
#include <json-c/json.h>

#include "core.h"

#define CONFIG_KIND_UNKNOWN \
	"kind: none of lane, tenant, share, key, server, service, registrar, model, door, retention"

/* Returns whether a kind is one of the row kinds that this version of the program supports, and not
 * NL__KIND__NONE. */
bool config_kind_is_valid(Nl__Kind kind);

/* Convert a kind to its name in JSON, "none" for an unknown kind, and back; a text that names no kind becomes
 * NL__KIND__NONE.
 * Example: config_kind_parse("lane") == NL__KIND__ROUTE */
const char *config_kind_name(Nl__Kind kind);
Nl__Kind config_kind_parse(const char *name);

/* Parse a row from JSON. The row is allocated in the pool. On failure returns NULL and sets *error to a text
 * in the pool that names the field. Only the types of values are checked here; config_check checks the
 * values. */
struct Nl__Row *config_row_parse(struct json_object *json, apr_pool_t *pool, const char **error);

/* Convert a row to JSON, with all columns of its kind. The caller owns the object. */
struct json_object *config_row_json(const struct Nl__Row *row);

/* Parse a change from the body of an operator's request:
 * {"expect":7,"set":[...],"del":[{"kind","name"}],"whole":false}. The change is allocated in the pool. On
 * failure returns NULL and sets *error.
 * Example: change = config_change_parse(body, pool, &error); */
struct Nl__Change *config_change_parse(const char *body, apr_pool_t *pool, const char **error);

/* Get a string member of a JSON object; "" if it is missing or not a string. The object owns the string. */
const char *json_string_member(struct json_object *json, const char *name);

/* Get a number member of a JSON object; 0 if it is missing.
 * Example: json_uint_member(report, "slots") */
uint64_t json_uint_member(struct json_object *json, const char *name);

#endif
