/* notchlugctl_table: what the operators' command line does with the table: rows, cells, and its text form.
 * Kinds are those of the table. Functions that return an int return the program's exit code, and have said
 * what is wrong. */
#ifndef NL_NOTCHLUGCTL_TABLE_H
#define NL_NOTCHLUGCTL_TABLE_H

#include <json-c/json.h>

/* The table, released by the caller; NULL: it was not read, which is said. */
struct json_object *read_table(void);

/* Print the table's text form; kind NULL: rows of all kinds. */
int print_table(const char *kind);

/* A row without cells, released by the caller. */
struct json_object *row_new(const char *kind, const char *name);

/* A change of one row, which becomes the change's. what: "set" or "del"; revision: the one that it builds on;
 * NULL: any. */
struct json_object *change_of(const char *what, struct json_object *row, struct json_object *revision);

/* Send a change, which is released here. */
int send_change(struct json_object *request);

/* Edit cells, COLUMN=VALUE, of a row in place, or add the row, if the table has not changed meanwhile. */
int set_cells(const char *kind, const char *name, int count, char **cells);

/* Print what a file with the text form would change, and make the change if it is to be applied. */
int compare_sheet(const char *path, int apply);

#endif
