/* http_parse: heads and chunks. A complete head goes through http-parser once its lines are known to be
 * exact. Chunks are parsed here, because http-parser as it is packaged accepts chunks that do not end where
 * they say. */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <http_parser.h>

#include "containers.h"
#include "http_internal.h"

/* ---- heads ---- */

static bool is_token_char(unsigned char character)
{
	static const char others[] = "!#$%&'*+-.^_`|~";

	return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
	       (character >= '0' && character <= '9') || (character && strchr(others, character));
}

unsigned char http_token_char[256];

ssize_t http_head_end(struct http_connection *conn, size_t from)
{
	const char *d = conn->input.data, *nl;

	if (conn->scan_offset < from)
		conn->scan_offset = from;
	while (conn->scan_offset < conn->input.len &&
	       (nl = memchr(d + conn->scan_offset, '\n', conn->input.len - conn->scan_offset))) {
		size_t i = (size_t)(nl - d);

		if (i == from || d[i - 1] != '\r')
			return -1;
		conn->scan_offset = i + 1;
		if (i >= from + 2 && d[i - 2] == '\n')
			return (ssize_t)(i + 1);
	}
	conn->scan_offset = conn->input.len;
	return 0;
}

static bool is_text(const char *text, const char *end)
{
	for (; text < end; text++)
		if (((unsigned char)*text < 32 && *text != '\t') || *text == 127)
			return false;
	return true;
}

/* First line: METHOD SP target SP HTTP/1.x, or HTTP/1.x SP ddd [SP reason] */
static bool is_start_line(const char *line, const char *end, int request)
{
	const char *cursor;

	if (!request)
		return end - line >= 12 && !memcmp(line, "HTTP/1.", 7) &&
		       (line[7] == '0' || line[7] == '1') && line[8] == ' ' && line[9] >= '1' &&
		       line[9] <= '9' && line[10] >= '0' && line[10] <= '9' && line[11] >= '0' &&
		       line[11] <= '9' && (end - line == 12 || line[12] == ' ') && is_text(line, end);
	for (cursor = line; cursor < end && http_token_char[(unsigned char)*cursor]; cursor++)
		;
	if (cursor == line || cursor == end || *cursor++ != ' ')
		return false;
	for (line = cursor; cursor < end && (unsigned char)*cursor > 32 && *cursor != 127; cursor++)
		;
	return cursor > line && end - cursor == 9 && !memcmp(cursor, " HTTP/1.", 8) &&
	       (cursor[8] == '0' || cursor[8] == '1');
}

/* http-parser accepts folded lines, blanks before a colon and more; the server that reads the same bytes may
 * read them differently (request smuggling). */
static int are_lines_exact(const char *line, const char *end, int request)
{
	const char *nl = memchr(line, '\n', (size_t)(end - line));

	if (!nl || nl == line || !is_start_line(line, nl - 1, request))
		return 0;
	for (line = nl + 1; line < end - 2; line = nl + 1) {
		const char *cursor = line;

		nl = memchr(line, '\n', (size_t)(end - line));
		while (http_token_char[(unsigned char)*cursor])
			cursor++;
		if (cursor == line || *cursor != ':' || !is_text(cursor + 1, nl - 1))
			return 0;
	}
	return 1;
}

struct reading {
	struct http_connection *c;
	char *name_end, *value_end;
	int values, ended;
};

static void terminate(struct reading *reading)
{
	if (reading->name_end)
		*reading->name_end = 0;
	if (reading->value_end)
		*reading->value_end = 0;
	reading->name_end = reading->value_end = NULL;
}

static const char *as_offset(struct http_connection *conn, const char *position)
{
	return (const char *)(uintptr_t)(position - conn->input.data);
}

static int on_url(http_parser *parser, const char *at, size_t n)
{
	struct reading *reading = parser->data;

	reading->c->server.target_offset = (size_t)(at - reading->c->input.data);
	reading->name_end = reading->c->input.data + reading->c->server.target_offset +
			    n; /* the blank behind it, which has been read when the next comes */
	return 0;
}

static int on_field(http_parser *parser, const char *text, size_t size)
{
	struct reading *reading = parser->data;
	struct http_connection *conn = reading->c;

	terminate(reading);
	if (reading->values != conn->field_count)
		return -1;
	if (conn->field_count == conn->field_capacity) {
		conn->field_capacity = conn->field_capacity ? conn->field_capacity * 2 : 16;
		if (!(conn->fields =
			  realloc(conn->fields, (size_t)conn->field_capacity * sizeof *conn->fields)))
			abort();
	}
	/* offsets, until the buffer moves no more; an empty value is the end of its name */
	conn->fields[conn->field_count++] =
	    (struct http_field){ as_offset(conn, text), as_offset(conn, text + size) };
	reading->name_end = conn->input.data + (text - conn->input.data) + size;
	return 0;
}

static int list_has_token(const char *value, size_t size, const char *token)
{
	size_t w = strlen(token), i, j;

	for (i = 0; i < size; i = j + 1) {
		for (j = i; j < size && value[j] != ','; j++)
			;
		size_t a = i, b = j;

		while (a < b && (value[a] == ' ' || value[a] == '\t'))
			a++;
		while (b > a && (value[b - 1] == ' ' || value[b - 1] == '\t'))
			b--;
		if (b - a == w && !strncasecmp(value + a, token, w))
			return 1;
	}
	return 0;
}

static int number(const char *value, size_t n, uint64_t *to)
{
	uint64_t x = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		if (value[i] < '0' || value[i] > '9')
			return 0;
		x = x * 10 + (uint64_t)(value[i] - '0');
	}
	*to = x;
	return n > 0 && n <= 15;
}

static int keep_alive_seconds(const char *value, size_t size)
{
	size_t i, j;
	uint64_t s;

	for (i = 0; i + 8 <= size; i++) {
		if (strncasecmp(value + i, "timeout=", 8))
			continue;
		for (j = i += 8; j < size && value[j] >= '0' && value[j] <= '9'; j++)
			;
		if (number(value + i, j - i, &s))
			return s < 100000 ? (int)s : 100000;
	}
	return -1;
}

static void note(struct http_head *head, const char *name, size_t name_length, const char *value, size_t n)
{
	switch (name_length) {
	case 4:
		head->host_count += !strncasecmp(name, "host", 4);
		break;
	case 6:
		head->expects_continue |=
		    !strncasecmp(name, "expect", 6) && list_has_token(value, n, "100-continue");
		break;
	case 10:
		if (!strncasecmp(name, "connection", 10))
			head->close |= list_has_token(value, n, "close");
		else if (!strncasecmp(name, "keep-alive", 10))
			head->keep_alive_s = keep_alive_seconds(value, n);
		break;
	case 14:
		if (strncasecmp(name, "content-length", 14))
			break;
		head->malformed |= head->has_length || !number(value, n, &head->length);
		head->has_length = 1;
		break;
	case 17:
		if (strncasecmp(name, "transfer-encoding", 17))
			break;
		head->malformed |= head->chunked || n != 7 || strncasecmp(value, "chunked", 7);
		head->chunked = 1;
		break;
	}
}

static int on_value(http_parser *parser, const char *at, size_t n)
{
	struct reading *reading = parser->data;
	struct http_connection *conn = reading->c;
	size_t name = (size_t)(uintptr_t)conn->fields[conn->field_count - 1].name;

	if (++reading->values != conn->field_count)
		return -1;
	while (n && (at[n - 1] == ' ' || at[n - 1] == '\t'))
		n--;
	note(&conn->head, conn->input.data + name, (size_t)(reading->name_end - conn->input.data) - name, at,
	     n);
	if (n) {
		conn->fields[conn->field_count - 1].value = as_offset(conn, at);
		reading->value_end = conn->input.data + (at - conn->input.data) + n;
	}
	return 0;
}

static int on_head(http_parser *parser)
{
	struct reading *reading = parser->data;

	terminate(reading);
	reading->ended = 1;
	return 1; /* its body is not http-parser's */
}

int http_head_read(struct http_connection *conn, size_t from, size_t end, int request)
{
	static const http_parser_settings set = { .on_url = on_url,
						  .on_header_field = on_field,
						  .on_header_value = on_value,
						  .on_headers_complete = on_head };
	struct reading reading = { .c = conn };
	http_parser parser;

	conn->field_count = 0;
	conn->head = (struct http_head){ .keep_alive_s = -1 };
	if (!are_lines_exact(conn->input.data + from, conn->input.data + end, request))
		return 0;
	http_parser_init(&parser, request ? HTTP_REQUEST : HTTP_RESPONSE);
	parser.data = &reading;
	http_parser_execute(&parser, &set, conn->input.data + from, end - from);
	if (!reading.ended || HTTP_PARSER_ERRNO(&parser) != HPE_OK || conn->head.malformed ||
	    (conn->head.chunked && conn->head.has_length) || parser.http_major != 1 ||
	    (conn->head.chunked && !parser.http_minor))
		return 0;
	conn->head.minor_version = parser.http_minor;
	conn->head.close |= !parser.http_minor;
	conn->head.status = (int)parser.status_code;
	if (request) {
		conn->server.method = http_method_str((enum http_method)parser.method);
		return conn->head.host_count <= 1 && parser.method != HTTP_CONNECT;
	}
	return 1;
}

void http_head_resolve_fields(struct http_connection *conn)
{
	int i;

	for (i = 0; i < conn->field_count; i++)
		conn->fields[i] = (struct http_field){ conn->input.data + (uintptr_t)conn->fields[i].name,
						       conn->input.data + (uintptr_t)conn->fields[i].value };
}

/* ---- chunks ---- */

enum { MAX_SIZE_DIGITS = 15 };

static int hex_digit(char character)
{
	char lower = (char)(character | 32);

	if (character >= '0' && character <= '9')
		return character - '0';
	if (lower >= 'a' && lower <= 'f')
		return lower - 'a' + 10;
	return -1;
}

static bool is_control(char byte)
{
	return ((unsigned char)byte < 32 && byte != '\t') || byte == 127;
}

/* A byte that must be this one, and leads to the next state. */
static int expect(struct chunk_parser *chunks, char byte, char expected, enum chunk_state next)
{
	if (byte != expected)
		return 0;
	chunks->state = next;
	return 1;
}

static int size_byte(struct chunk_parser *chunks, char byte)
{
	int digit = hex_digit(byte);

	if (digit >= 0) {
		chunks->remaining = chunks->remaining * 16 + (uint64_t)digit;
		return ++chunks->digit_count <= MAX_SIZE_DIGITS;
	}
	chunks->line_bytes = 0;
	if (!chunks->digit_count)
		return 0;
	return expect(chunks, byte, '\r', CHUNK_SIZE_LF) || expect(chunks, byte, ';', CHUNK_EXTENSION);
}

static int trailer_start_byte(struct chunk_parser *chunks, char byte)
{
	if (expect(chunks, byte, '\r', CHUNK_END_LF))
		return 1;
	chunks->state = CHUNK_TRAILER;
	return http_token_char[(unsigned char)byte];
}

/* One byte of the framing; 0 when it's wrong there. */
static int framing_byte(struct chunk_parser *chunks, char byte)
{
	switch (chunks->state) {
	case CHUNK_SIZE:
		return size_byte(chunks, byte);
	case CHUNK_EXTENSION:
		return expect(chunks, byte, '\r', CHUNK_SIZE_LF) ||
		       (!is_control(byte) && ++chunks->line_bytes <= MAX_CHUNK_LINE_BYTES);
	case CHUNK_SIZE_LF:
		return expect(chunks, byte, '\n', chunks->remaining ? CHUNK_DATA : CHUNK_TRAILER_START);
	case CHUNK_DATA_CR:
		return expect(chunks, byte, '\r', CHUNK_DATA_LF);
	case CHUNK_DATA_LF:
		chunks->digit_count = 0;
		return expect(chunks, byte, '\n', CHUNK_SIZE);
	case CHUNK_TRAILER_START:
		return trailer_start_byte(chunks, byte);
	case CHUNK_TRAILER:
		return expect(chunks, byte, '\r', CHUNK_TRAILER_LF) ||
		       (!is_control(byte) && ++chunks->trailer_bytes <= MAX_TRAILER_BYTES);
	case CHUNK_TRAILER_LF:
		return expect(chunks, byte, '\n', CHUNK_TRAILER_START);
	case CHUNK_END_LF:
		return expect(chunks, byte, '\n', CHUNK_DONE);
	case CHUNK_DATA:
	case CHUNK_DONE:
		break;
	}
	return 0;
}

ssize_t http_chunk_step(struct chunk_parser *chunks, const char *input, size_t size, const char **data,
			size_t *data_size)
{
	size_t i;

	*data_size = 0;
	for (i = 0; i < size && chunks->state != CHUNK_DONE; i++) {
		if (chunks->state == CHUNK_DATA) {
			*data = input + i;
			*data_size = size - i < chunks->remaining ? size - i : (size_t)chunks->remaining;
			chunks->remaining -= *data_size;
			if (!chunks->remaining)
				chunks->state = CHUNK_DATA_CR;
			return (ssize_t)(i + *data_size);
		}
		if (!framing_byte(chunks, input[i]))
			return -1;
	}
	return (ssize_t)i;
}

void http_parse_init(void)
{
	for (int i = 0; i < 256; i++)
		http_token_char[i] = (unsigned char)is_token_char((unsigned char)i);
	http_parser_set_max_header_size(1 << 24); /* heads are bounded by who reads them */
}
