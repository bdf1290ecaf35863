/* notchlugctl_table: reads and changes the configuration table, by rows or in its text form (config_text.h).
 * Every kind parameter is a kind of row as the table names it. Functions that return an int return the exit
 * code of the program and have printed any error. */
#ifndef NL_NOTCHLUGCTL_TABLE_H
#define NL_NOTCHLUGCTL_TABLE_H

#include <json-c/json.h>

/* Reads the table from a controller. The caller releases it. NULL: the read failed, and the error is printed.
 */
struct json_object *read_table(void);

/* Prints the text form of the table. kind NULL: rows of all kinds. */
int print_table(const char *kind);

/* Creates a row with only a kind and a name. The caller releases it. */
struct json_object *row_new(const char *kind, const char *name);

/* Creates a change of one row and takes over the caller's reference to that row. list_name: "set" or "del".
 * revision: the change is rejected if the table has been changed since this revision; NULL: never. */
struct json_object *change_new(const char *list_name, struct json_object *row, struct json_object *revision);

/* Sends a change to a controller, prints the result, and releases the request. */
int send_change(struct json_object *request);

/* Changes columns of a row, or adds the row. assignments: texts COLUMN=VALUE. The change is rejected if the
 * table is changed between the read and the write. */
int set_cells(const char *kind, const char *name, int count, char **assignments);

/* Prints how the table would change to match a file with its text form. apply_changes: also send the change.
 */
int compare_table_file(const char *path, int apply_changes);

#endif
