/* Files of records: each record is one line in one write, so that a torn line shows. */
#include "test_fleet.h"

#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

struct record {
	int fd;
};

struct record *record_open(const char *path)
{
	struct record *record = calloc(1, sizeof *record);

	record->fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	if (record->fd < 0) {
		fprintf(stderr, "notchlug-emulator: record %s: %s\n", path, strerror(errno));
		exit(1);
	}
	return record;
}

void record_put(struct record *record, struct json_object *json)
{
	const char *s;
	char *line;
	size_t n;

	if (!json_member(json, "t"))
		json_object_object_add(json, "t", json_object_new_int64(clock_ms()));
	s = json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN);
	n = strlen(s);
	line = malloc(n + 2);
	memcpy(line, s, n);
	line[n] = '\n';
	if (write(record->fd, line, n + 1) != (ssize_t)(n + 1)) {
		fprintf(stderr, "notchlug-emulator: a record could not be written: %s\n", strerror(errno));
		exit(1); /* a run with holes in its records proves nothing */
	}
	free(line);
	json_object_put(json);
}

void record_close(struct record *record)
{
	close(record->fd);
	free(record);
}
