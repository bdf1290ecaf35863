/* config_text: converts the configuration to and from tab-separated text for spreadsheets, with one line for
 * each row and one cell for each column.
 *
 * notchlugctl prints the table in this form, and makes a change from an edited text. The first line names the
 * revision, such as "# edition 7"; the next line names the columns. Cells of columns that a kind of row does
 * not have are empty. Column names belong to the operators' interface. The functions are pure. */
#ifndef NL_CONFIG_TEXT_H
#define NL_CONFIG_TEXT_H

#include <json-c/json.h>

#include "core.h"

/* Convert a table, as GET /v1/table returns it ({"edition":..,"rows":[..]}), to text in the pool. kind
 * selects the rows of one kind; NULL selects all kinds that operators edit.
 * Example: puts(config_text_format(answer, NULL, pool)); */
const char *config_text_format(struct json_object *table, const char *kind, apr_pool_t *pool);

/* Parse a text into {"edition":..,"rows":[..]}, owned by the caller. On failure returns NULL and sets *error
 * to a text that names the line.
 * Example: table = config_text_parse(text, pool, &error); */
struct json_object *config_text_parse(const char *text, apr_pool_t *pool, const char **error);

/* Convert the text of a cell to a JSON value of its column's type, owned by the caller.
 * Example: config_text_parse_cell("limit", "5") */
struct json_object *config_text_parse_cell(const char *column, const char *text);

/* Make the change that turns the table into the rows of a parsed text: {"expect":..,"set":[..],"del":[..]},
 * owned by the caller. Rows of kinds that do not occur in the text are kept.
 * Example: change = config_text_diff(table, text_rows); */
struct json_object *config_text_diff(struct json_object *table, struct json_object *text_rows);

#endif
