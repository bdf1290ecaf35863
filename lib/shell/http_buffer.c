/* http_buffer: bytes to come and to go. Blocks of the usual size are kept for the next. */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "ds.h"
#include "http_internal.h"

void http_buffer_free(struct http *h, struct buffer *b)
{
	if (b->cap == BLOCK && h->nblock < BLOCKS_KEPT)
		h->block[h->nblock++] = b->d;
	else
		free(b->d);
	*b = (struct buffer){ 0 };
}

char *http_buffer_room(struct http *h, struct buffer *b, size_t n)
{
	size_t cap = b->cap ? b->cap : BLOCK;
	char *d;

	if (b->cap - b->len >= n && b->d)
		return b->d + b->len;
	if (b->d && b->off && b->len - b->off + n <= b->cap && b->off >= b->len - b->off) {
		memmove(b->d, b->d + b->off, b->len - b->off);
		b->len -= b->off;
		b->off = 0;
		return b->d + b->len;
	}
	while (cap < b->len + n)
		cap *= 2;
	if (cap == BLOCK && h->nblock) {
		d = h->block[--h->nblock];
	} else if (!(d = malloc(cap))) {
		abort();
	}
	if (b->d) {
		struct buffer old = *b;

		memcpy(d, b->d, b->len);
		http_buffer_free(h, &old);
	}
	b->d = d;
	b->cap = cap;
	return b->d + b->len;
}

void http_buffer_put(struct http *h, struct buffer *b, const char *d, size_t n)
{
	if (!n)
		return;
	memcpy(http_buffer_room(h, b, n), d, n);
	b->len += n;
}

void http_buffer_text(struct http *h, struct buffer *b, const char *s) { http_buffer_put(h, b, s, strlen(s)); }

void http_buffer_number(struct http *h, struct buffer *b, uint64_t v, unsigned base)
{
	char t[24], *e = t + sizeof t, *s = e;

	do {
		*--s = "0123456789abcdef"[v % base];
		v /= base;
	} while (v);
	http_buffer_put(h, b, s, (size_t)(e - s));
}

/* A line break inside a field would begin another one. */
void http_buffer_clean(struct http *h, struct buffer *b, const char *s)
{
	size_t n = strlen(s), i;
	char *d = http_buffer_room(h, b, n ? n : 1);

	for (i = 0; i < n; i++)
		d[i] = (char)(s[i] == '\r' || s[i] == '\n' ? ' ' : s[i]);
	b->len += n;
}

int http_is_framing_field(const char *name)
{
	switch (strlen(name)) {
	case 10: return !strcasecmp(name, "connection");
	case 14: return !strcasecmp(name, "content-length");
	case 17: return !strcasecmp(name, "transfer-encoding");
	}
	return 0;
}

void http_buffer_field(struct http *h, struct buffer *b, const struct http_field *f)
{
	http_buffer_clean(h, b, f->name);
	http_buffer_put(h, b, ": ", 2);
	http_buffer_clean(h, b, f->value);
	http_buffer_put(h, b, "\r\n", 2);
}
