#include "kit.h"

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
	struct record *r = calloc(1, sizeof *r);

	r->fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	if (r->fd < 0) {
		fprintf(stderr, "rehearsal: record %s: %s\n", path, strerror(errno));
		exit(1);
	}
	return r;
}

void record_put(struct record *r, struct json_object *j)
{
	const char *s;
	char *line;
	size_t n;

	if (!jget(j, "t"))
		json_object_object_add(j, "t", json_object_new_int64(clock_ms()));
	s = json_object_to_json_string_ext(j, JSON_C_TO_STRING_PLAIN);
	n = strlen(s);
	line = malloc(n + 2);
	memcpy(line, s, n);
	line[n] = '\n';
	if (write(r->fd, line, n + 1) != (ssize_t)(n + 1)) {
		fprintf(stderr, "rehearsal: a record could not be written: %s\n", strerror(errno));
		exit(1); /* a run with holes in its records judges nothing */
	}
	free(line);
	json_object_put(j);
}

void record_close(struct record *r)
{
	close(r->fd);
	free(r);
}
