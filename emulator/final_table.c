#include "final_table.h"

#include <stdlib.h>

enum { HTTP_OK = 200 };

/* Asks each controller once; NULL when all refuse. */
static char *request_of_any(const struct final_table_calls *calls, int controller_count)
{
	for (int i = 0; i < controller_count; i++) {
		char *body = NULL;

		if (calls->request(calls->context, i, &body) == HTTP_OK && body)
			return body;
		free(body);
	}
	return NULL;
}

/* A controller refuses while it knows of no leader; an election, or the end of a planned stop, takes a moment
 * that attempts without a pause would not outlast. */
char *final_table_read(const struct final_table_calls *calls, int controller_count)
{
	int64_t end_at_ms = calls->now_ms(calls->context) + FINAL_TABLE_LIMIT_MS;

	for (;;) {
		char *table = request_of_any(calls, controller_count);

		if (table || calls->now_ms(calls->context) >= end_at_ms)
			return table;
		calls->sleep_ms(calls->context, FINAL_TABLE_PAUSE_MS);
	}
}
