/* config_row: rows and changes of the configuration as JSON, as operators write and read them.
 *
 * One list of columns says which kinds of row have which, with what type. operator_api and notchlugctl go
 * through here. Names of kinds and columns are the operators' interface and keep the words of its pages,
 * whatever the code calls them: docs/glossary.md. Pure. */
#ifndef NL_CONFIG_ROW_H
#define NL_CONFIG_ROW_H

#include <stdbool.h>
#include <json-c/json.h>

#include "core.h"

#define CONFIG_KIND_UNKNOWN \
	"kind: none of lane, tenant, share, key, server, service, registrar, model, door, retention"

/* Whether rows can be of this kind: one that this version knows, and not NL__KIND__NONE. */
bool config_kind_is_valid(Nl__Kind kind);

/* A kind's name in JSON, "none" for one that is not known; and back: NL__KIND__NONE for no name of a kind.
 * Example: config_kind_parse("lane") == NL__KIND__ROUTE */
const char *config_kind_name(Nl__Kind kind);
Nl__Kind config_kind_parse(const char *name);

/* A row from its JSON, in the pool; NULL with the field and what is wrong with it in *why (in the pool).
 * Values are not checked here beyond their types: config_check does. */
struct Nl__Row *config_row_parse(struct json_object *json, apr_pool_t *pool, const char **error);

/* A row as JSON with all columns of its kind; the caller owns it. */
struct json_object *config_row_json(const struct Nl__Row *row);

/* A change from the body of a call: {"expect":7,"set":[...],"del":[{"kind","name"}],"whole":false}; in the
 * pool. NULL with what is wrong in *why. Example: change = config_change_parse(body, pool, &why); */
struct Nl__Change *config_change_parse(const char *body, apr_pool_t *pool, const char **error);

/* A string member of a JSON object, the object's; "" when it is not there or no string. */
const char *json_string_member(struct json_object *json, const char *name);

/* A number member of a JSON object; 0 when it is not there. Example: json_uint_member(report, "slots") */
uint64_t json_uint_member(struct json_object *json, const char *name);

#endif
