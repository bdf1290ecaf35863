/* sheet: the table as tab-separated lines, one row a line, one column a field, as spreadsheets read them.
 * The first line names the edition: "# edition 7". Empty cells are those a kind does not have. */
#ifndef NL_CONFIG_TEXT_H
#define NL_CONFIG_TEXT_H

#include <json-c/json.h>

#include "core.h"

/* The rows of a table answer ({"edition":..,"rows":[..]}) as a sheet; kind may be NULL for all the kinds that
 * operators edit. Example: puts(sheet_print(answer, NULL, pool)); */
const char *config_text_print(struct json_object *table, const char *kind, apr_pool_t *pool);

/* A sheet as {"edition":..,"rows":[..]}; NULL with the line and the fault in *why.
 * Example: j = sheet_parse(text, pool, &why); */
struct json_object *config_text_parse(const char *text, apr_pool_t *pool, const char **why);

/* A cell's text as the JSON value its column has. Example: sheet_cell("limit", "5") */
struct json_object *config_text_cell(const char *column, const char *text);

/* What turns the table into the sheet: {"expect":..,"set":[..],"del":[..]}. Rows of kinds that the sheet does
 * not have at all stay. Example: change = sheet_diff(table, sheet); */
struct json_object *config_text_diff(struct json_object *table, struct json_object *text_rows);

#endif
