/* tool: plain calls for the operators' tools and the rehearsal. */
#include "cli_support.h"

#include <curl/curl.h>
#include <nettle/sha2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct json_object *json_member(struct json_object *json, const char *name)
{
	struct json_object *value = NULL;

	return json_object_is_type(json, json_type_object) && json_object_object_get_ex(json, name, &value)
		   ? value
		   : NULL;
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

char *digest_hex(const char *key, char hex[65])
{
	struct sha256_ctx sha256_ctx;
	uint8_t digest[SHA256_DIGEST_SIZE];

	sha256_init(&sha256_ctx);
	sha256_update(&sha256_ctx, strlen(key), (const uint8_t *)key);
	sha256_digest(&sha256_ctx, sizeof digest, digest);
	for (size_t i = 0; i < sizeof digest; i++)
		snprintf(hex + 2 * i, 3, "%02x", digest[i]);
	return hex;
}

struct growing_text {
	char *data;
	size_t size;
};

static size_t on_body(char *d, size_t one, size_t n, void *arg)
{
	struct growing_text *g = arg;

	n *= one;
	g->data = realloc(g->data, g->size + n + 1);
	memcpy(g->data + g->size, d, n);
	g->size += n;
	g->data[g->size] = 0;
	return n;
}

/* One call with one more header, unless that is empty. */
static int call_once(const char *verb, const char *addr, const char *path, const char *header,
		     const char *body, int ms, char **out)
{
	CURL *h = curl_easy_init();
	struct curl_slist *curl_slist = curl_slist_append(NULL, "Expect:");
	struct growing_text grow = { calloc(1, 1), 0 };
	char url[512];
	long status = 0;

	snprintf(url, sizeof url, "http://%s%s", addr, path);
	if (header[0])
		curl_slist = curl_slist_append(curl_slist, header);
	curl_easy_setopt(h, CURLOPT_URL, url);
	curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(h, CURLOPT_PROXY, "");
	curl_easy_setopt(h, CURLOPT_HTTPHEADER, curl_slist);
	curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, (long)ms);
	curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(h, CURLOPT_WRITEDATA, &grow);
	if (!strcmp(verb, "POST"))
		curl_easy_setopt(h, CURLOPT_POSTFIELDS, body ? body : "");
	if (curl_easy_perform(h) == CURLE_OK)
		curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, &status);
	curl_slist_free_all(curl_slist);
	curl_easy_cleanup(h);
	if (out)
		*out = grow.data;
	else
		free(grow.data);
	return (int)status;
}

int http_call_blocking(const char *method, const char *addr, const char *path, const char *key,
		       const char *body, int timeout_ms, char **body_out)
{
	char header[200] = "";

	if (key)
		snprintf(header, sizeof header, "Authorization: Bearer %s", key);
	return call_once(method, addr, path, header, body, timeout_ms, body_out);
}

int http_command_blocking(const char *addr, const char *path, const char *key, const char *body,
			  int timeout_ms, char **body_out)
{
	char header[200];

	snprintf(header, sizeof header, "Idempotency-Key: %s", key);
	return call_once("POST", addr, path, header, body, timeout_ms, body_out);
}

char *file_read(const char *path)
{
	FILE *file = strcmp(path, "-") ? fopen(path, "r") : stdin;
	struct growing_text grow = { calloc(1, 1), 0 };
	char b[4096];
	size_t n;

	if (!file) {
		free(grow.data);
		return NULL;
	}
	while ((n = fread(b, 1, sizeof b, file)) > 0)
		on_body(b, 1, n, &grow);
	if (file != stdin)
		(void)fclose(file);
	return grow.data;
}
