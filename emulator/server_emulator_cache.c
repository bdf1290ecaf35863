/* Blocks that an emulated server caches: it reuses only the very copies that a request names and that it
 * still has, and fetches from its peers. Always: what it holds fits its capacity, but for the last block that
 * came. */
#include <apr_general.h>
#include <apr_strings.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "server_emulator_internal.h"

void emulated_lock(void)
{
	apr_thread_mutex_lock(emulated.mutex);
}

void emulated_unlock(void)
{
	apr_thread_mutex_unlock(emulated.mutex);
}

struct json_object *emulated_record(const char *kind)
{
	struct json_object *json = json_object_new_object();

	json_object_object_add(json, "ev", json_object_new_string(kind));
	json_object_object_add(json, "server", json_object_new_string(emulated.name));
	return json;
}

void emulated_load_check(void)
{
	if (!emulated.loading[0] || clock_ms() < emulated.load_done_at_ms)
		return;
	memcpy(emulated.weights, emulated.loading, sizeof emulated.weights);
	emulated.loading[0] = 0;
	arrsetlen(emulated.blocks, 0); /* what other weights made is of no use here */
	emulated.cached_tokens = 0;
	emulated.serial++;
	struct json_object *json = emulated_record("loaded");
	json_object_object_add(json, "weights", json_object_new_string(emulated.weights));
	record_put(emulated.record, json);
}

struct cached_copy *emulated_find_block(const char *hash, const char *maker)
{
	for (ptrdiff_t i = 0; i < arrlen(emulated.blocks); i++)
		if (!strcmp(emulated.blocks[i].hash, hash) && !strcmp(emulated.blocks[i].maker, maker))
			return &emulated.blocks[i];
	return NULL;
}

void emulated_cache_block(const char *hash, const char *weights, const char *maker, int64_t stamp, int tokens)
{
	struct cached_copy *c = emulated_find_block(hash, maker), n;

	if (c) {
		if (!strcmp(c->weights, weights) && c->stamp >= stamp) {
			c->used = ++emulated.use_sequence;
			return;
		}
		emulated.cached_tokens -= c->tokens;
		arrdel(emulated.blocks, c - emulated.blocks);
	}
	memset(&n, 0, sizeof n);
	apr_cpystrn(n.hash, hash, sizeof n.hash);
	apr_cpystrn(n.weights, weights, sizeof n.weights);
	apr_cpystrn(n.maker, maker, sizeof n.maker);
	n.stamp = stamp;
	n.tokens = tokens;
	n.used = ++emulated.use_sequence;
	arrput(emulated.blocks, n);
	emulated.cached_tokens += tokens;
	emulated.serial++;
	while (emulated.cached_tokens > emulated.capacity_tokens &&
	       arrlen(emulated.blocks) > 1) { /* the least recently used one goes */
		ptrdiff_t worst = 0;

		for (ptrdiff_t i = 1; i < arrlen(emulated.blocks); i++)
			if (emulated.blocks[i].used < emulated.blocks[worst].used)
				worst = i;
		emulated.cached_tokens -= emulated.blocks[worst].tokens;
		arrdel(emulated.blocks, worst);
	}
}

int emulated_reuse(struct json_object *list, const char *weights, struct json_object *used, int have)
{
	for (size_t i = 0; list && i < json_object_array_length(list); i++) {
		struct json_object *json = json_object_array_get_idx(list, i), *u;
		struct cached_copy *replica =
		    emulated_find_block(json_member_string(json, "h"), json_member_string(json, "m"));

		if (!replica || replica->stamp != json_member_int(json, "t") ||
		    strcmp(replica->weights, weights))
			break;
		replica->used = ++emulated.use_sequence;
		u = json_object_new_object();
		json_object_object_add(u, "h", json_object_new_string(replica->hash));
		json_object_object_add(u, "m", json_object_new_string(replica->maker));
		json_object_object_add(u, "w", json_object_new_string(replica->weights));
		json_object_object_add(u, "ct", json_object_new_int64(replica->stamp));
		json_object_array_add(used, u);
		have++;
	}
	return have;
}

int emulated_fetch(struct json_object *fetch_json, const char *weights, struct json_object *used, int have,
		   int *ms)
{
	struct json_object *q, *got = NULL, *list;
	char *body = NULL;
	int64_t bytes = 0, from = clock_ms(), wait = json_member_int(fetch_json, "wait_ms"), transfer_ms;

	if (!fetch_json)
		return have;
	q = json_object_new_object();
	json_object_object_add(q, "weights", json_object_new_string(weights));
	json_object_object_add(q, "parts", json_object_get(json_member(fetch_json, "parts")));
	if (http_call_blocking("POST", json_member_string(fetch_json, "from"), "/v1/fetch", NULL,
			       json_object_to_json_string(q), wait < 20 ? 20 : (int)wait, &body) == 200)
		got = json_tokener_parse(body);
	list = json_member(got, "parts");
	for (size_t i = 0; list && i < json_object_array_length(list); i++)
		bytes +=
		    json_member_int(json_object_array_get_idx(list, i), "n") * emulated.kv_bytes_per_token;
	transfer_ms = bytes / (emulated.link_bytes_per_ms ? emulated.link_bytes_per_ms : 1) *
		      (emulated.slow_link ? emulated.slow_link : 1);
	if (transfer_ms > wait) { /* not through in time: what came is thrown away */
		transfer_ms = wait;
		list = NULL;
	}
	apr_sleep(transfer_ms * 1000);
	emulated_lock();
	for (size_t i = 0; list && i < json_object_array_length(list); i++) {
		struct json_object *json = json_object_array_get_idx(list, i), *u = json_object_new_object();

		emulated_cache_block(json_member_string(json, "h"), weights, json_member_string(json, "m"),
				     json_member_int(json, "t"), (int)json_member_int(json, "n"));
		json_object_object_add(u, "h", json_object_new_string(json_member_string(json, "h")));
		json_object_object_add(u, "m", json_object_new_string(json_member_string(json, "m")));
		json_object_object_add(u, "w", json_object_new_string(json_member_string(json, "w")));
		json_object_object_add(u, "ct", json_object_new_int64(json_member_int(json, "t")));
		json_object_object_add(u, "from",
				       json_object_new_int(1)); /* fetched: cached elsewhere till now */
		json_object_array_add(used, u);
		have++;
	}
	emulated_unlock();
	*ms = (int)(clock_ms() - from);
	json_object_put(got);
	free(body);
	json_object_put(q);
	return have;
}

struct json_object *emulated_block_json(const struct cached_copy *replica)
{
	struct json_object *json = json_object_new_object();

	json_object_object_add(json, "h", json_object_new_string(replica->hash));
	json_object_object_add(json, "w", json_object_new_string(replica->weights));
	json_object_object_add(json, "m", json_object_new_string(replica->maker));
	json_object_object_add(json, "t", json_object_new_int64(replica->stamp));
	json_object_object_add(json, "n", json_object_new_int(replica->tokens));
	return json;
}
