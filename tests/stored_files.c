#include "stored_files.h"

#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { LINE_BYTES = 32 };

char *file_read(const char *path, size_t *n, apr_pool_t *pool)
{
	FILE *file = fopen(path, "rb");
	char *data;
	long size;

	if (!file)
		return NULL;
	(void)fseek(file, 0, SEEK_END);
	size = ftell(file);
	rewind(file);
	data = apr_pcalloc(pool, (size_t)size + 1);
	*n = fread(data, 1, (size_t)size, file);
	(void)fclose(file);
	return *n == (size_t)size ? data : NULL;
}

void file_write(const char *path, const void *data, size_t n)
{
	FILE *file = fopen(path, "wb");

	if (!file || fwrite(data, 1, n, file) != n || fclose(file)) {
		perror(path);
		exit(1);
	}
}

const char *hex_text(const uint8_t *data, size_t n, apr_pool_t *pool)
{
	char *text = apr_palloc(pool, 2 * n + n / LINE_BYTES + 3), *to = text;

	for (size_t i = 0; i < n; i++)
		to += snprintf(to, 4, "%02x%s", data[i],
			       i % LINE_BYTES == LINE_BYTES - 1 && i + 1 < n ? "\n" : "");
	*to++ = '\n';
	*to = 0;
	return text;
}

uint8_t *hex_bytes(const char *text, size_t *n, apr_pool_t *pool)
{
	uint8_t *data = apr_palloc(pool, strlen(text) / 2 + 1);

	for (*n = 0; *text; text++) {
		char digits[3] = { text[0], text[1], 0 }, *end;

		if (*text == '\n')
			continue;
		data[(*n)++] = (uint8_t)strtoul(digits, &end, 16);
		if (end != digits + 2)
			return NULL;
		text++;
	}
	return data;
}
