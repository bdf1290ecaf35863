/* http_parse: heads go through http-parser once they are whole and their lines are exact. Bodies are counted here, because
 * http-parser as it is packaged forgives chunks that do not end where they say. */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <http_parser.h>

#include "ds.h"
#include "http_internal.h"

/* ---- heads ---- */

static int is_tchar(unsigned char c)
{
	static const char others[] = "!#$%&'*+-.^_`|~";

	return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || (c && strchr(others, c));
}

unsigned char http_token_char[256];

/* Where the head that begins at from ends; 0 when more is to come; -1 when a line does not end in CRLF. */
ssize_t http_head_end(struct conn *c, size_t from)
{
	const char *d = c->in.d, *nl;

	if (c->scan < from)
		c->scan = from;
	while (c->scan < c->in.len && (nl = memchr(d + c->scan, '\n', c->in.len - c->scan))) {
		size_t i = (size_t)(nl - d);

		if (i == from || d[i - 1] != '\r')
			return -1;
		c->scan = i + 1;
		if (i >= from + 2 && d[i - 2] == '\n')
			return (ssize_t)(i + 1);
	}
	c->scan = c->in.len;
	return 0;
}

static int text_ok(const char *p, const char *e)
{
	for (; p < e; p++)
		if (((unsigned char)*p < 32 && *p != '\t') || *p == 127)
			return 0;
	return 1;
}

/* First line: VERB SP target SP HTTP/1.x, or HTTP/1.x SP ddd [SP reason] */
static int first_ok(const char *p, const char *e, int request)
{
	const char *t;

	if (!request)
		return e - p >= 12 && !memcmp(p, "HTTP/1.", 7) && (p[7] == '0' || p[7] == '1') && p[8] == ' ' && p[9] >= '1' &&
		       p[9] <= '9' && p[10] >= '0' && p[10] <= '9' && p[11] >= '0' && p[11] <= '9' &&
		       (e - p == 12 || p[12] == ' ') && text_ok(p, e);
	for (t = p; t < e && http_token_char[(unsigned char)*t]; t++)
		;
	if (t == p || t == e || *t++ != ' ')
		return 0;
	for (p = t; t < e && (unsigned char)*t > 32 && *t != 127; t++)
		;
	return t > p && e - t == 9 && !memcmp(t, " HTTP/1.", 8) && (t[8] == '0' || t[8] == '1');
}

/* http-parser forgives folded lines, blanks before a colon and more; whoever reads the same bytes may not. */
static int lines_ok(const char *p, const char *e, int request)
{
	const char *nl = memchr(p, '\n', (size_t)(e - p));

	if (!nl || nl == p || !first_ok(p, nl - 1, request))
		return 0;
	for (p = nl + 1; p < e - 2; p = nl + 1) {
		const char *t = p;

		nl = memchr(p, '\n', (size_t)(e - p));
		while (http_token_char[(unsigned char)*t])
			t++;
		if (t == p || *t != ':' || !text_ok(t + 1, nl - 1))
			return 0;
	}
	return 1;
}

struct reading {
	struct conn *c;
	char *name_end, *value_end;
	int values, ended;
};

static void terminate(struct reading *r)
{
	if (r->name_end)
		*r->name_end = 0;
	if (r->value_end)
		*r->value_end = 0;
	r->name_end = r->value_end = NULL;
}

static const char *as_offset(struct conn *c, const char *p) { return (const char *)(uintptr_t)(p - c->in.d); }

static int on_url(http_parser *p, const char *at, size_t n)
{
	struct reading *r = p->data;

	r->c->s.target = (size_t)(at - r->c->in.d);
	r->name_end = r->c->in.d + r->c->s.target + n; /* the blank behind it, which has been read when the next comes */
	return 0;
}

static int on_field(http_parser *p, const char *at, size_t n)
{
	struct reading *r = p->data;
	struct conn *c = r->c;

	terminate(r);
	if (r->values != c->nf)
		return -1;
	if (c->nf == c->fcap) {
		c->fcap = c->fcap ? c->fcap * 2 : 16;
		if (!(c->f = realloc(c->f, (size_t)c->fcap * sizeof *c->f)))
			abort();
	}
	/* offsets, until the buffer moves no more; an empty value is the end of its name */
	c->f[c->nf++] = (struct http_field){ as_offset(c, at), as_offset(c, at + n) };
	r->name_end = c->in.d + (at - c->in.d) + n;
	return 0;
}

static int has_token(const char *v, size_t n, const char *want)
{
	size_t w = strlen(want), i, j;

	for (i = 0; i < n; i = j + 1) {
		for (j = i; j < n && v[j] != ','; j++)
			;
		size_t a = i, b = j;

		while (a < b && (v[a] == ' ' || v[a] == '\t'))
			a++;
		while (b > a && (v[b - 1] == ' ' || v[b - 1] == '\t'))
			b--;
		if (b - a == w && !strncasecmp(v + a, want, w))
			return 1;
	}
	return 0;
}

static int number(const char *v, size_t n, uint64_t *to)
{
	uint64_t x = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		if (v[i] < '0' || v[i] > '9')
			return 0;
		x = x * 10 + (uint64_t)(v[i] - '0');
	}
	*to = x;
	return n > 0 && n <= 15;
}

static int keep_seconds(const char *v, size_t n)
{
	size_t i, j;
	uint64_t s;

	for (i = 0; i + 8 <= n; i++) {
		if (strncasecmp(v + i, "timeout=", 8))
			continue;
		for (j = i += 8; j < n && v[j] >= '0' && v[j] <= '9'; j++)
			;
		if (number(v + i, j - i, &s))
			return s < 100000 ? (int)s : 100000;
	}
	return -1;
}

static void note(struct head *hd, const char *name, size_t nn, const char *v, size_t n)
{
	switch (nn) {
	case 4: hd->hosts += !strncasecmp(name, "host", 4); break;
	case 6: hd->expect |= !strncasecmp(name, "expect", 6) && has_token(v, n, "100-continue"); break;
	case 10:
		if (!strncasecmp(name, "connection", 10))
			hd->close |= has_token(v, n, "close");
		else if (!strncasecmp(name, "keep-alive", 10))
			hd->keep_s = keep_seconds(v, n);
		break;
	case 14:
		if (strncasecmp(name, "content-length", 14))
			break;
		hd->bad |= hd->has_len || !number(v, n, &hd->length);
		hd->has_len = 1;
		break;
	case 17:
		if (strncasecmp(name, "transfer-encoding", 17))
			break;
		hd->bad |= hd->chunked || n != 7 || strncasecmp(v, "chunked", 7);
		hd->chunked = 1;
		break;
	}
}

static int on_value(http_parser *p, const char *at, size_t n)
{
	struct reading *r = p->data;
	struct conn *c = r->c;
	size_t name = (size_t)(uintptr_t)c->f[c->nf - 1].name;

	if (++r->values != c->nf)
		return -1;
	while (n && (at[n - 1] == ' ' || at[n - 1] == '\t'))
		n--;
	note(&c->hd, c->in.d + name, (size_t)(r->name_end - c->in.d) - name, at, n);
	if (n) {
		c->f[c->nf - 1].value = as_offset(c, at);
		r->value_end = c->in.d + (at - c->in.d) + n;
	}
	return 0;
}

static int on_head(http_parser *p)
{
	struct reading *r = p->data;

	terminate(r);
	r->ended = 1;
	return 1; /* its body is not http-parser's */
}

/* Read the whole head at in[from, to). Fields are offsets into the buffer afterwards. */
int http_head_read(struct conn *c, size_t from, size_t to, int request)
{
	static const http_parser_settings set = {
		.on_url = on_url, .on_header_field = on_field, .on_header_value = on_value, .on_headers_complete = on_head
	};
	struct reading r = { .c = c };
	http_parser p;

	c->nf = 0;
	c->hd = (struct head){ .keep_s = -1 };
	if (!lines_ok(c->in.d + from, c->in.d + to, request))
		return 0;
	http_parser_init(&p, request ? HTTP_REQUEST : HTTP_RESPONSE);
	p.data = &r;
	http_parser_execute(&p, &set, c->in.d + from, to - from);
	if (!r.ended || HTTP_PARSER_ERRNO(&p) != HPE_OK || c->hd.bad || (c->hd.chunked && c->hd.has_len) || p.http_major != 1 ||
	    (c->hd.chunked && !p.http_minor))
		return 0;
	c->hd.minor = p.http_minor;
	c->hd.close |= !p.http_minor;
	c->hd.status = (int)p.status_code;
	if (request) {
		c->s.verb = http_method_str((enum http_method)p.method);
		return c->hd.hosts <= 1 && p.method != HTTP_CONNECT;
	}
	return 1;
}

/* From here on the buffer does not move. */
void http_head_fix_fields(struct conn *c)
{
	int i;

	for (i = 0; i < c->nf; i++)
		c->f[i] = (struct http_field){ c->in.d + (uintptr_t)c->f[i].name, c->in.d + (uintptr_t)c->f[i].value };
}

/* ---- chunks ---- */

static int hex(char c) { return c >= '0' && c <= '9' ? c - '0' : (c | 32) >= 'a' && (c | 32) <= 'f' ? (c | 32) - 'a' + 10 : -1; }

/* Takes bytes up to the end of a span of data, *d and *dn. Returns how many, or -1 for bad framing. */
/* NOLINTNEXTLINE(readability-function-size): one case for each state of the parser */
ssize_t http_chunk_step(struct chunks *k, const char *p, size_t n, const char **d, size_t *dn)
{
	size_t i;
	int v;

	*dn = 0;
	for (i = 0; i < n && k->at != CH_DONE; i++) {
		char c = p[i];

		switch (k->at) {
		case CH_SIZE:
			if ((v = hex(c)) >= 0) {
				if (++k->digits > 15)
					return -1;
				k->left = k->left * 16 + (uint64_t)v;
			} else if (k->digits && (c == '\r' || c == ';')) {
				k->at = c == '\r' ? CH_SIZE_LF : CH_EXT;
				k->line = 0;
			} else {
				return -1;
			}
			break;
		case CH_EXT:
			if (c == '\r')
				k->at = CH_SIZE_LF;
			else if (((unsigned char)c < 32 && c != '\t') || c == 127 || ++k->line > CHUNK_LINE)
				return -1;
			break;
		case CH_SIZE_LF:
			if (c != '\n')
				return -1;
			k->at = k->left ? CH_DATA : CH_LINE;
			break;
		case CH_DATA:
			*d = p + i;
			*dn = n - i < k->left ? n - i : (size_t)k->left;
			k->left -= *dn;
			if (!k->left)
				k->at = CH_DATA_CR;
			return (ssize_t)(i + *dn);
		case CH_DATA_CR:
			if (c != '\r')
				return -1;
			k->at = CH_DATA_LF;
			break;
		case CH_DATA_LF:
			if (c != '\n')
				return -1;
			k->at = CH_SIZE;
			k->digits = 0;
			break;
		case CH_LINE: /* of a trailer, or the end */
			if (c == '\r') {
				k->at = CH_END_LF;
				break;
			}
			if (!http_token_char[(unsigned char)c])
				return -1;
			k->at = CH_TRAILER;
			break;
		case CH_TRAILER:
			if (c == '\r')
				k->at = CH_TRAILER_LF;
			else if (((unsigned char)c < 32 && c != '\t') || c == 127 || ++k->trailers > TRAILERS)
				return -1;
			break;
		case CH_TRAILER_LF:
			if (c != '\n')
				return -1;
			k->at = CH_LINE;
			break;
		case CH_END_LF:
			if (c != '\n')
				return -1;
			k->at = CH_DONE;
			break;
		case CH_DONE: break;
		}
	}
	return (ssize_t)i;
}

void http_parse_init(void)
{
	for (int i = 0; i < 256; i++)
		http_token_char[i] = (unsigned char)is_tchar((unsigned char)i);
	http_parser_set_max_header_size(1 << 24); /* heads are bounded by who reads them */
}
