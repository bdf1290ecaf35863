/* http_buffer: input and output buffers. Freed blocks of the initial size are kept for reuse. */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "containers.h"
#include "http_internal.h"

void http_buffer_free(struct http *http, struct buffer *buffer)
{
	if (buffer->capacity == BUFFER_BLOCK_BYTES && http->spare_block_count < MAX_SPARE_BLOCKS)
		http->spare_blocks[http->spare_block_count++] = buffer->data;
	else
		free(buffer->data);
	*buffer = (struct buffer){ 0 };
}

char *http_buffer_reserve(struct http *http, struct buffer *buffer, size_t size)
{
	size_t capacity = buffer->capacity ? buffer->capacity : BUFFER_BLOCK_BYTES;
	char *data;

	if (buffer->capacity - buffer->len >= size && buffer->data)
		return buffer->data + buffer->len;
	if (buffer->data && buffer->offset && buffer->len - buffer->offset + size <= buffer->capacity &&
	    buffer->offset >= buffer->len - buffer->offset) {
		memmove(buffer->data, buffer->data + buffer->offset, buffer->len - buffer->offset);
		buffer->len -= buffer->offset;
		buffer->offset = 0;
		return buffer->data + buffer->len;
	}
	/* a large body of known length gets what it needs: doubling would take up to twice as much */
	if (buffer->len + size > MAX_DOUBLED_BYTES && buffer->len + size > 2 * capacity)
		capacity = buffer->len + size;
	while (capacity < buffer->len + size)
		capacity *= 2;
	if (capacity == BUFFER_BLOCK_BYTES && http->spare_block_count) {
		data = http->spare_blocks[--http->spare_block_count];
	} else if (!(data = malloc(capacity))) {
		abort();
	}
	if (buffer->data) {
		struct buffer old = *buffer;

		memcpy(data, buffer->data, buffer->len);
		http_buffer_free(http, &old);
	}
	buffer->data = data;
	buffer->capacity = capacity;
	return buffer->data + buffer->len;
}

void http_buffer_append(struct http *http, struct buffer *buffer, const char *data, size_t size)
{
	if (!size)
		return;
	memcpy(http_buffer_reserve(http, buffer, size), data, size);
	buffer->len += size;
}

void http_buffer_append_text(struct http *http, struct buffer *buffer, const char *text)
{
	http_buffer_append(http, buffer, text, strlen(text));
}

void http_buffer_append_number(struct http *http, struct buffer *buffer, uint64_t value, unsigned base)
{
	char digits[24], *end = digits + sizeof digits, *start = end;

	do {
		*--start = "0123456789abcdef"[value % base];
		value /= base;
	} while (value);
	http_buffer_append(http, buffer, start, (size_t)(end - start));
}

/* Replaces line breaks, because a line break inside a field would begin another field. */
void http_buffer_append_single_line(struct http *http, struct buffer *buffer, const char *text)
{
	size_t size = strlen(text), i;
	char *destination = http_buffer_reserve(http, buffer, size ? size : 1);

	for (i = 0; i < size; i++)
		destination[i] = (char)(text[i] == '\r' || text[i] == '\n' ? ' ' : text[i]);
	buffer->len += size;
}

bool http_is_framing_field(const char *name)
{
	switch (strlen(name)) {
	case 10:
		return !strcasecmp(name, "connection");
	case 14:
		return !strcasecmp(name, "content-length");
	case 17:
		return !strcasecmp(name, "transfer-encoding");
	}
	return false;
}

void http_buffer_append_field(struct http *http, struct buffer *buffer, const struct http_field *field)
{
	http_buffer_append_single_line(http, buffer, field->name);
	http_buffer_append(http, buffer, ": ", 2);
	http_buffer_append_single_line(http, buffer, field->value);
	http_buffer_append(http, buffer, "\r\n", 2);
}
