/* tool: plain calls for the operators' tools and the rehearsal. */
#include "tool.h"

#include <curl/curl.h>
#include <nettle/sha2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct json_object *jget(struct json_object *j, const char *k)
{
	struct json_object *v = NULL;

	return json_object_is_type(j, json_type_object) && json_object_object_get_ex(j, k, &v) ? v : NULL;
}

const char *jgets(struct json_object *j, const char *k)
{
	struct json_object *v = jget(j, k);

	return v && json_object_is_type(v, json_type_string) ? json_object_get_string(v) : "";
}

int64_t jgeti(struct json_object *j, const char *k)
{
	struct json_object *v = jget(j, k);

	return v ? json_object_get_int64(v) : 0;
}

char *digest_hex(const char *key, char hex[65])
{
	struct sha256_ctx c;
	uint8_t d[SHA256_DIGEST_SIZE];

	sha256_init(&c);
	sha256_update(&c, strlen(key), (const uint8_t *)key);
	sha256_digest(&c, sizeof d, d);
	for (size_t i = 0; i < sizeof d; i++)
		snprintf(hex + 2 * i, 3, "%02x", d[i]);
	return hex;
}

struct grow {
	char *d;
	size_t n;
};

static size_t on_body(char *d, size_t one, size_t n, void *arg)
{
	struct grow *g = arg;

	n *= one;
	g->d = realloc(g->d, g->n + n + 1);
	memcpy(g->d + g->n, d, n);
	g->n += n;
	g->d[g->n] = 0;
	return n;
}

/* One call with one more header, unless that is empty. */
static int call_once(const char *verb, const char *addr, const char *path, const char *header, const char *body, int ms, char **out)
{
	CURL *h = curl_easy_init();
	struct curl_slist *hs = curl_slist_append(NULL, "Expect:");
	struct grow g = { calloc(1, 1), 0 };
	char url[512];
	long status = 0;

	snprintf(url, sizeof url, "http://%s%s", addr, path);
	if (header[0])
		hs = curl_slist_append(hs, header);
	curl_easy_setopt(h, CURLOPT_URL, url);
	curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(h, CURLOPT_PROXY, "");
	curl_easy_setopt(h, CURLOPT_HTTPHEADER, hs);
	curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, (long)ms);
	curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(h, CURLOPT_WRITEDATA, &g);
	if (!strcmp(verb, "POST"))
		curl_easy_setopt(h, CURLOPT_POSTFIELDS, body ? body : "");
	if (curl_easy_perform(h) == CURLE_OK)
		curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, &status);
	curl_slist_free_all(hs);
	curl_easy_cleanup(h);
	if (out)
		*out = g.d;
	else
		free(g.d);
	return (int)status;
}

int http_do(const char *verb, const char *addr, const char *path, const char *key, const char *body, int ms, char **out)
{
	char header[200] = "";

	if (key)
		snprintf(header, sizeof header, "Authorization: Bearer %s", key);
	return call_once(verb, addr, path, header, body, ms, out);
}

int http_order(const char *addr, const char *path, const char *key, const char *body, int ms, char **out)
{
	char header[200];

	snprintf(header, sizeof header, "Idempotency-Key: %s", key);
	return call_once("POST", addr, path, header, body, ms, out);
}

char *file_read(const char *path)
{
	FILE *f = strcmp(path, "-") ? fopen(path, "r") : stdin;
	struct grow g = { calloc(1, 1), 0 };
	char b[4096];
	size_t n;

	if (!f) {
		free(g.d);
		return NULL;
	}
	while ((n = fread(b, 1, sizeof b, f)) > 0)
		on_body(b, 1, n, &g);
	if (f != stdin)
		(void)fclose(f);
	return g.d;
}
