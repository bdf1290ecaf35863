/* cli_support: see cli_support.h. */
#include "cli_support.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { MAX_URL_BYTES = 512, MAX_HEADER_BYTES = 200, READ_BUFFER_BYTES = 4096 };

struct json_object *json_member(struct json_object *json, const char *name)
{
	struct json_object *value = NULL;

	if (!json_object_is_type(json, json_type_object) || !json_object_object_get_ex(json, name, &value))
		return NULL;
	return value;
}

const char *json_member_string(struct json_object *json, const char *name)
{
	struct json_object *value = json_member(json, name);

	return value && json_object_is_type(value, json_type_string) ? json_object_get_string(value) : "";
}

int64_t json_member_int(struct json_object *json, const char *name)
{
	struct json_object *value = json_member(json, name);

	return value ? json_object_get_int64(value) : 0;
}

/* A growing string that always ends with a zero. */
struct text_buffer {
	char *data;
	size_t size;
};

static struct text_buffer text_buffer_new(void)
{
	struct text_buffer text = { calloc(1, 1), 0 };

	if (!text.data)
		abort();
	return text;
}

static void text_buffer_append(struct text_buffer *text, const char *data, size_t size)
{
	char *grown = realloc(text->data, text->size + size + 1);

	if (!grown)
		abort();
	text->data = grown;
	memcpy(text->data + text->size, data, size);
	text->size += size;
	text->data[text->size] = 0;
}

static size_t append_body(char *data, size_t item_size, size_t item_count, void *text)
{
	text_buffer_append(text, data, item_size * item_count);
	return item_size * item_count;
}

/* Performs an HTTP call. header: one additional header line, or empty. */
static int http_call(const char *method, const char *addr, const char *path, const char *header,
		     const char *body, int timeout_ms, char **body_out)
{
	CURL *curl = curl_easy_init();
	struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
	struct text_buffer answer = text_buffer_new();
	char url[MAX_URL_BYTES];
	long status = 0;

	snprintf(url, sizeof url, "http://%s%s", addr, path);
	if (header[0])
		headers = curl_slist_append(headers, header);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, &answer);
	if (strcmp(method, "POST") == 0)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body ? body : "");
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
	if (body_out)
		*body_out = answer.data;
	else
		free(answer.data);
	return (int)status;
}

int http_call_blocking(const char *method, const char *addr, const char *path, const char *key,
		       const char *body, int timeout_ms, char **body_out)
{
	char header[MAX_HEADER_BYTES] = "";

	if (key)
		snprintf(header, sizeof header, "Authorization: Bearer %s", key);
	return http_call(method, addr, path, header, body, timeout_ms, body_out);
}

int http_command_blocking(const char *addr, const char *path, const char *key, const char *body,
			  int timeout_ms, char **body_out)
{
	char header[MAX_HEADER_BYTES];

	snprintf(header, sizeof header, "Idempotency-Key: %s", key);
	return http_call("POST", addr, path, header, body, timeout_ms, body_out);
}

char *file_read(const char *path)
{
	FILE *file = strcmp(path, "-") != 0 ? fopen(path, "r") : stdin;
	struct text_buffer text;
	char block[READ_BUFFER_BYTES];
	size_t size;

	if (!file)
		return NULL;
	text = text_buffer_new();
	while ((size = fread(block, 1, sizeof block, file)) > 0)
		text_buffer_append(&text, block, size);
	if (file != stdin)
		(void)fclose(file);
	return text.data;
}
