/* http_parse: message heads and chunked bodies. A complete head is parsed by http-parser after its lines
 * passed a strict syntax check. Chunks are parsed here, because the packaged http-parser accepts chunks that
 * do not end at their stated size. */
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

ssize_t http_find_head_end(struct http_connection *conn, size_t head_offset)
{
	const char *data = conn->input.data, *newline;

	if (conn->scan_offset < head_offset)
		conn->scan_offset = head_offset;
	while (conn->scan_offset < conn->input.len &&
	       (newline = memchr(data + conn->scan_offset, '\n', conn->input.len - conn->scan_offset))) {
		size_t newline_offset = (size_t)(newline - data);

		if (newline_offset == head_offset || data[newline_offset - 1] != '\r')
			return -1;
		conn->scan_offset = newline_offset + 1;
		if (newline_offset >= head_offset + 2 && data[newline_offset - 2] == '\n')
			return (ssize_t)(newline_offset + 1);
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

/* Start line: METHOD SP target SP HTTP/1.x in a request, HTTP/1.x SP ddd [SP reason] in an answer. */
static bool is_start_line(const char *line, const char *end, int is_request)
{
	const char *cursor;

	if (!is_request)
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

/* Rejects deviations that http-parser accepts, such as folded lines and blanks before a colon: the server
 * that receives the same bytes may interpret them differently, which allows request smuggling. */
static int has_strict_syntax(const char *line, const char *end, int is_request)
{
	const char *newline = memchr(line, '\n', (size_t)(end - line));

	if (!newline || newline == line || !is_start_line(line, newline - 1, is_request))
		return 0;
	for (line = newline + 1; line < end - 2; line = newline + 1) {
		const char *cursor = line;

		newline = memchr(line, '\n', (size_t)(end - line));
		while (http_token_char[(unsigned char)*cursor])
			cursor++;
		if (cursor == line || *cursor != ':' || !is_text(cursor + 1, newline - 1))
			return 0;
	}
	return 1;
}

/* A head that http-parser is parsing. */
struct head_parse {
	struct http_connection *conn;
	char *name_end, *value_end;
	int value_count, is_complete;
};

static void terminate_strings(struct head_parse *parse)
{
	if (parse->name_end)
		*parse->name_end = 0;
	if (parse->value_end)
		*parse->value_end = 0;
	parse->name_end = parse->value_end = NULL;
}

static const char *as_offset(struct http_connection *conn, const char *position)
{
	return (const char *)(uintptr_t)(position - conn->input.data);
}

static int on_url(http_parser *parser, const char *at, size_t size)
{
	struct head_parse *parse = parser->data;

	parse->conn->server.target_offset = (size_t)(at - parse->conn->input.data);
	parse->name_end = parse->conn->input.data + parse->conn->server.target_offset +
			  size; /* the blank after the target; the NUL is written at the next callback, after
				   http-parser has read the blank */
	return 0;
}

static int on_field(http_parser *parser, const char *text, size_t size)
{
	struct head_parse *parse = parser->data;
	struct http_connection *conn = parse->conn;

	terminate_strings(parse);
	if (parse->value_count != conn->field_count)
		return -1;
	if (conn->field_count == conn->field_capacity) {
		conn->field_capacity = conn->field_capacity ? conn->field_capacity * 2 : 16;
		if (!(conn->fields =
			  realloc(conn->fields, (size_t)conn->field_capacity * sizeof *conn->fields)))
			abort();
	}
	/* offsets, because the buffer may still move; the value starts as the empty string at the end of the
	 * name */
	conn->fields[conn->field_count++] =
	    (struct http_field){ as_offset(conn, text), as_offset(conn, text + size) };
	parse->name_end = conn->input.data + (text - conn->input.data) + size;
	return 0;
}

static int list_has_token(const char *value, size_t size, const char *token)
{
	size_t token_size = strlen(token), item_start, item_end;

	for (item_start = 0; item_start < size; item_start = item_end + 1) {
		for (item_end = item_start; item_end < size && value[item_end] != ','; item_end++)
			;
		size_t start = item_start, end = item_end;

		while (start < end && (value[start] == ' ' || value[start] == '\t'))
			start++;
		while (end > start && (value[end - 1] == ' ' || value[end - 1] == '\t'))
			end--;
		if (end - start == token_size && !strncasecmp(value + start, token, token_size))
			return 1;
	}
	return 0;
}

static int parse_decimal(const char *value, size_t size, uint64_t *result)
{
	uint64_t number = 0;
	size_t i;

	for (i = 0; i < size; i++) {
		if (value[i] < '0' || value[i] > '9')
			return 0;
		number = number * 10 + (uint64_t)(value[i] - '0');
	}
	*result = number;
	return size > 0 && size <= 15;
}

static int parse_keep_alive_s(const char *value, size_t size)
{
	size_t start, end;
	uint64_t seconds;

	for (start = 0; start + 8 <= size; start++) {
		if (strncasecmp(value + start, "timeout=", 8))
			continue;
		for (end = start += 8; end < size && value[end] >= '0' && value[end] <= '9'; end++)
			;
		if (parse_decimal(value + start, end - start, &seconds))
			return seconds < 100000 ? (int)seconds : 100000;
	}
	return -1;
}

static void record_field(struct http_head *head, const char *name, size_t name_length, const char *value,
			 size_t value_size)
{
	switch (name_length) {
	case 4:
		head->host_count += !strncasecmp(name, "host", 4);
		break;
	case 6:
		head->expects_continue |=
		    !strncasecmp(name, "expect", 6) && list_has_token(value, value_size, "100-continue");
		break;
	case 10:
		if (!strncasecmp(name, "connection", 10))
			head->close_connection |= list_has_token(value, value_size, "close");
		else if (!strncasecmp(name, "keep-alive", 10))
			head->keep_alive_s = parse_keep_alive_s(value, value_size);
		break;
	case 14:
		if (strncasecmp(name, "content-length", 14))
			break;
		head->is_malformed |= head->has_length || !parse_decimal(value, value_size, &head->length);
		head->has_length = 1;
		break;
	case 17:
		if (strncasecmp(name, "transfer-encoding", 17))
			break;
		head->is_malformed |= head->is_chunked || value_size != 7 || strncasecmp(value, "chunked", 7);
		head->is_chunked = 1;
		break;
	}
}

static int on_value(http_parser *parser, const char *at, size_t size)
{
	struct head_parse *parse = parser->data;
	struct http_connection *conn = parse->conn;
	size_t name_offset = (size_t)(uintptr_t)conn->fields[conn->field_count - 1].name;

	if (++parse->value_count != conn->field_count)
		return -1;
	while (size && (at[size - 1] == ' ' || at[size - 1] == '\t'))
		size--;
	record_field(&conn->head, conn->input.data + name_offset,
		     (size_t)(parse->name_end - conn->input.data) - name_offset, at, size);
	if (size) {
		conn->fields[conn->field_count - 1].value = as_offset(conn, at);
		parse->value_end = conn->input.data + (at - conn->input.data) + size;
	}
	return 0;
}

static int on_head_complete(http_parser *parser)
{
	struct head_parse *parse = parser->data;

	terminate_strings(parse);
	parse->is_complete = 1;
	return 1; /* tells http-parser that no body follows: bodies are parsed in this module */
}

int http_parse_head(struct http_connection *conn, size_t head_offset, size_t head_end, int is_request)
{
	static const http_parser_settings settings = { .on_url = on_url,
						       .on_header_field = on_field,
						       .on_header_value = on_value,
						       .on_headers_complete = on_head_complete };
	struct head_parse parse = { .conn = conn };
	http_parser parser;

	conn->field_count = 0;
	conn->head = (struct http_head){ .keep_alive_s = -1 };
	if (!has_strict_syntax(conn->input.data + head_offset, conn->input.data + head_end, is_request))
		return 0;
	http_parser_init(&parser, is_request ? HTTP_REQUEST : HTTP_RESPONSE);
	parser.data = &parse;
	http_parser_execute(&parser, &settings, conn->input.data + head_offset, head_end - head_offset);
	if (!parse.is_complete || HTTP_PARSER_ERRNO(&parser) != HPE_OK || conn->head.is_malformed ||
	    (conn->head.is_chunked && conn->head.has_length) || parser.http_major != 1 ||
	    (conn->head.is_chunked && !parser.http_minor))
		return 0;
	conn->head.minor_version = parser.http_minor;
	conn->head.close_connection |= !parser.http_minor;
	conn->head.status = (int)parser.status_code;
	if (is_request) {
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

/* Checks that a byte is the expected one, and if so enters the next state. */
static int expect_byte(struct chunk_parser *chunks, char byte, char expected, enum chunk_state next)
{
	if (byte != expected)
		return 0;
	chunks->state = next;
	return 1;
}

static int parse_size_byte(struct chunk_parser *chunks, char byte)
{
	int digit = hex_digit(byte);

	if (digit >= 0) {
		chunks->remaining_bytes = chunks->remaining_bytes * 16 + (uint64_t)digit;
		return ++chunks->digit_count <= MAX_SIZE_DIGITS;
	}
	chunks->extension_bytes = 0;
	if (!chunks->digit_count)
		return 0;
	return expect_byte(chunks, byte, '\r', CHUNK_SIZE_LF) ||
	       expect_byte(chunks, byte, ';', CHUNK_EXTENSION);
}

static int parse_trailer_start_byte(struct chunk_parser *chunks, char byte)
{
	if (expect_byte(chunks, byte, '\r', CHUNK_END_LF))
		return 1;
	chunks->state = CHUNK_TRAILER;
	return http_token_char[(unsigned char)byte];
}

/* Parses one byte of the framing. Returns 0 if it is invalid in the present state. */
static int parse_framing_byte(struct chunk_parser *chunks, char byte)
{
	switch (chunks->state) {
	case CHUNK_SIZE:
		return parse_size_byte(chunks, byte);
	case CHUNK_EXTENSION:
		return expect_byte(chunks, byte, '\r', CHUNK_SIZE_LF) ||
		       (!is_control(byte) && ++chunks->extension_bytes <= MAX_CHUNK_EXTENSION_BYTES);
	case CHUNK_SIZE_LF:
		return expect_byte(chunks, byte, '\n',
				   chunks->remaining_bytes ? CHUNK_DATA : CHUNK_TRAILER_START);
	case CHUNK_DATA_CR:
		return expect_byte(chunks, byte, '\r', CHUNK_DATA_LF);
	case CHUNK_DATA_LF:
		chunks->digit_count = 0;
		return expect_byte(chunks, byte, '\n', CHUNK_SIZE);
	case CHUNK_TRAILER_START:
		return parse_trailer_start_byte(chunks, byte);
	case CHUNK_TRAILER:
		return expect_byte(chunks, byte, '\r', CHUNK_TRAILER_LF) ||
		       (!is_control(byte) && ++chunks->trailer_bytes <= MAX_TRAILER_BYTES);
	case CHUNK_TRAILER_LF:
		return expect_byte(chunks, byte, '\n', CHUNK_TRAILER_START);
	case CHUNK_END_LF:
		return expect_byte(chunks, byte, '\n', CHUNK_DONE);
	case CHUNK_DATA:
	case CHUNK_DONE:
		break;
	}
	return 0;
}

ssize_t http_chunk_parse(struct chunk_parser *chunks, const char *input, size_t input_size, const char **data,
			 size_t *data_size)
{
	size_t i;

	*data_size = 0;
	for (i = 0; i < input_size && chunks->state != CHUNK_DONE; i++) {
		if (chunks->state == CHUNK_DATA) {
			*data = input + i;
			*data_size = input_size - i < chunks->remaining_bytes
					 ? input_size - i
					 : (size_t)chunks->remaining_bytes;
			chunks->remaining_bytes -= *data_size;
			if (!chunks->remaining_bytes)
				chunks->state = CHUNK_DATA_CR;
			return (ssize_t)(i + *data_size);
		}
		if (!parse_framing_byte(chunks, input[i]))
			return -1;
	}
	return (ssize_t)i;
}

void http_parse_init(void)
{
	for (int i = 0; i < 256; i++)
		http_token_char[i] = (unsigned char)is_token_char((unsigned char)i);
	http_parser_set_max_header_size(UINT32_MAX); /* the callers limit the size of heads */
}
