/* config_text: the configuration as tab-separated text, one row a line and one column a field, as
 * spreadsheets read it.
 *
 * notchlugctl prints the table so, and makes a change out of an edited text. The first line names the
 * revision:
 * "# edition 7". Cells of columns that a kind of row does not have are empty. Names of columns are the
 * operators' interface. Pure. */
#ifndef NL_CONFIG_TEXT_H
#define NL_CONFIG_TEXT_H

#include <json-c/json.h>

#include "core.h"

/* The rows of a table as the product's interface answers it ({"edition":..,"rows":[..]}) as text, in the
 * pool. kind: rows of this kind alone; NULL: all kinds that operators edit. Example:
 * puts(config_text_print(answer, NULL, pool)); */
const char *config_text_print(struct json_object *table, const char *kind, apr_pool_t *pool);

/* A text as {"edition":..,"rows":[..]}, owned by the caller; NULL with the line and what is wrong in *why.
 * Example: table = config_text_parse(text, pool, &why); */
struct json_object *config_text_parse(const char *text, apr_pool_t *pool, const char **error);

/* A cell's text as the JSON value that its column has, owned by the caller. Example:
 * config_text_cell("limit", "5") */
struct json_object *config_text_cell(const char *column, const char *text);

/* The change that turns the table into the text, {"expect":..,"set":[..],"del":[..]}, owned by the caller.
 * Rows of kinds that the text does not have at all stay. Example: change = config_text_diff(table,
 * text_rows); */
struct json_object *config_text_diff(struct json_object *table, struct json_object *text_rows);

#endif
