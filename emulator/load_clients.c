/* Clients of the test fleet: threads that send requests at a steady rate, read every piece, and record the
 * answers. What was refused or ended unclear is sent again under the same id to another router, now and then:
 * the fleet must refuse the second one, or run it only if the first never ran. The mutex guards next_request.
 */
#include <apr_thread_proc.h>
#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#include "test_fleet.h"

struct load_clients {
	struct load_client_settings settings;
	struct record *record;
	apr_pool_t *pool;
	apr_thread_t **threads;
	volatile int stop;
	volatile uint64_t completed;
	apr_thread_mutex_t *mutex;
	uint64_t next_request;
	int64_t started_at_ms;
};

struct answer_reader {
	const char *id;
	/* the run that the pieces say they are of */
	char line[4096];
	char send_id[80];
	char piece_send_id[80];
	size_t line_length;
	int next_piece;
	int end_count;
	int bad;
	int pieces;
	int64_t last_piece_at_ms;
	char error[200];
	char outcome[32];
};

static void read_answer_line(struct answer_reader *reading)
{
	struct json_object *json = json_tokener_parse(reading->line);
	char expected[400];

	if (!json) {
		reading->bad = 1;
		return;
	}
	if (json_member(json, "error")) {
		snprintf(reading->error, sizeof reading->error, "%s", json_member_string(json, "error"));
		snprintf(reading->outcome, sizeof reading->outcome, "%s",
			 json_member_string(json, "outcome"));
	} else if (json_member(json, "end")) {
		reading->end_count++;
		reading->pieces = (int)json_member_int(json, "pieces");
		snprintf(reading->send_id, sizeof reading->send_id, "%s",
			 json_member_string(json, "exchange"));
		if (reading->pieces != reading->next_piece ||
		    (reading->next_piece && strcmp(reading->piece_send_id, reading->send_id)))
			reading->bad = 2;
	} else {
		const char *at = strchr(json_member_string(json, "text"), '@');

		if (!reading->next_piece && at)
			snprintf(reading->piece_send_id, sizeof reading->piece_send_id, "%s", at + 1);
		snprintf(expected, sizeof expected, "%s#%d@%s", reading->id, reading->next_piece,
			 reading->piece_send_id);
		if (reading->end_count || json_member_int(json, "n") != reading->next_piece ||
		    strcmp(json_member_string(json, "text"), expected))
			reading->bad = 3;
		reading->next_piece++;
		reading->last_piece_at_ms = clock_ms();
	}
	json_object_put(json);
}

static size_t on_body(char *data, size_t one, size_t n, void *arg)
{
	struct answer_reader *reading = arg;

	n *= one;
	for (size_t i = 0; i < n; i++) {
		if (data[i] == '\n' || reading->line_length == sizeof reading->line - 1) {
			reading->line[reading->line_length] = 0;
			if (reading->line_length)
				read_answer_line(reading);
			reading->line_length = 0;
		} else {
			reading->line[reading->line_length++] = data[i];
		}
	}
	return n;
}

static uint64_t block_seed(uint64_t seed, int tenant, int route, int depth, uint64_t pick)
{
	return seed * 1000003 + (uint64_t)route * 7919 + (uint64_t)depth * 104729 +
	       (depth ? (uint64_t)tenant * 31 + pick : 0);
}

/* A block's text: the same words for the same seed. */
static void block_text(char *to, size_t n, uint64_t seed)
{
	static const char *const w[] = { "register ", "parcel ",  "lineage ", "certificate ",
					 "repair ",   "arrears ", "tenant ",  "record " };
	size_t k = 0;

	while (k + 16 < n)
		k += (size_t)snprintf(to + k, n - k, "%s", w[core_random(&seed) % 8]);
	snprintf(to + k, n - k, "%llx", (unsigned long long)(seed & 0xffff));
}

/* The request's body: three blocks (the route's, the tenant's, one of the tenant's few topics) and a tail of
 * its own. */
static struct json_object *request_json(const struct load_clients *clients, const char *id, int tenant,
					int route, uint64_t topic)
{
	const struct load_client_settings *settings = &clients->settings;
	struct json_object *json = json_object_new_object(), *blocks = json_object_new_array();
	char text[8192];
	size_t size = (size_t)settings->block_tokens * 4;

	if (size > sizeof text)
		size = sizeof text;
	json_object_object_add(json, "lane", json_object_new_string(settings->route_names[route]));
	json_object_object_add(json, "id", json_object_new_string(id));
	json_object_object_add(json, "limit_ms", json_object_new_int(settings->limit_ms));
	for (int depth = 0; depth < 3; depth++) {
		block_text(text, size,
			   block_seed(settings->seed, tenant, route, depth, depth == 2 ? topic : 0));
		json_object_array_add(blocks, json_object_new_string(text));
	}
	json_object_object_add(json, "parts", blocks);
	block_text(text, 200, core_hash_string(settings->seed, id));
	json_object_object_add(json, "tail", json_object_new_string(text));
	return json;
}

static void record_request(const struct load_clients *clients, const char *id, const char *router_address,
			   int tenant, int route)
{
	struct json_object *record = json_object_new_object();

	json_object_object_add(record, "ev", json_object_new_string("ask"));
	json_object_object_add(record, "id", json_object_new_string(id));
	json_object_object_add(record, "counter", json_object_new_string(router_address));
	json_object_object_add(record, "tenant", json_object_new_int(tenant));
	json_object_object_add(record, "lane", json_object_new_string(clients->settings.route_names[route]));
	record_put(clients->record, record);
}

/* Post a body and read the whole answer; the HTTP status in *status. */
static CURLcode post(const struct load_clients *clients, const char *router_address, int tenant,
		     struct json_object *json, CURL *curl, struct answer_reader *reader, long *status)
{
	char url[200], authorization[100];
	struct curl_slist *headers;
	CURLcode rc;

	snprintf(url, sizeof url, "http://%s/v1/exchange", router_address);
	snprintf(authorization, sizeof authorization, "Authorization: Bearer key-%d", tenant);
	headers = curl_slist_append(curl_slist_append(NULL, "Expect:"), authorization);
	curl_easy_reset(curl);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, 1000L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)clients->settings.limit_ms + 5000);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, reader);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS,
			 json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN));
	rc = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, status);
	if (reader->line_length) { /* a body without a last newline: a complete JSON answer */
		reader->line[reader->line_length] = 0;
		read_answer_line(reader);
	}
	curl_slist_free_all(headers);
	return rc;
}

/* The outcome's name in the records. */
static const char *outcome_name(CURLcode result, long status, const struct answer_reader *reader)
{
	if (result == CURLE_OK && status == 200 && reader->end_count == 1 && !reader->error[0])
		return "whole";
	if (result == CURLE_OK && !strcmp(reader->outcome, "refused"))
		return "refused";
	return result == CURLE_COULDNT_CONNECT ? "unreached" : "unknown";
}

enum request_outcome { REQUEST_COMPLETED, REQUEST_NOT_RUN, REQUEST_UNCLEAR };

/* Send one request and record it with its answer. topic: which of the tenant's topics it is about. */
static enum request_outcome send_request(struct load_clients *clients, const char *id,
					 const char *router_address, int tenant, int route, uint64_t topic,
					 CURL *curl)
{
	struct json_object *json = request_json(clients, id, tenant, route, topic), *record;
	struct answer_reader reader;
	const char *outcome;
	long status = 0;
	CURLcode rc;

	memset(&reader, 0, sizeof reader);
	reader.id = id;
	record_request(clients, id, router_address, tenant, route);
	rc = post(clients, router_address, tenant, json, curl, &reader, &status);
	json_object_put(json);
	outcome = outcome_name(rc, status, &reader);
	record = json_object_new_object();
	json_object_object_add(record, "ev", json_object_new_string("told"));
	json_object_object_add(record, "id", json_object_new_string(id));
	json_object_object_add(record, "counter", json_object_new_string(router_address));
	json_object_object_add(record, "tenant", json_object_new_int(tenant));
	json_object_object_add(record, "status", json_object_new_int((int)status));
	json_object_object_add(record, "outcome", json_object_new_string(outcome));
	json_object_object_add(record, "pieces", json_object_new_int(reader.next_piece));
	json_object_object_add(record, "x", json_object_new_string(reader.send_id));
	json_object_object_add(record, "bad", json_object_new_int(reader.bad));
	json_object_object_add(record, "last", json_object_new_int64(reader.last_piece_at_ms));
	json_object_object_add(record, "error", json_object_new_string(reader.error));
	record_put(clients->record, record);
	if (!strcmp(outcome, "whole")) {
		__atomic_add_fetch(&clients->completed, 1, __ATOMIC_RELAXED);
		return REQUEST_COMPLETED;
	}
	if (!strcmp(outcome, "refused") || !strcmp(outcome, "unreached"))
		return REQUEST_NOT_RUN;
	return REQUEST_UNCLEAR;
}

static void *APR_THREAD_FUNC load_client_main(apr_thread_t *thread, void *arg)
{
	struct load_clients *clients = arg;
	CURL *h = curl_easy_init();

	(void)thread;
	for (;;) {
		uint64_t k, rng;
		int64_t send_at_ms;
		int tenant, route, rc;
		char id[64];

		apr_thread_mutex_lock(clients->mutex);
		k = clients->next_request++;
		apr_thread_mutex_unlock(clients->mutex);
		send_at_ms = clients->started_at_ms +
			     (int64_t)(k * 1000 / (uint64_t)clients->settings.requests_per_second);
		while (!clients->stop && clock_ms() < send_at_ms)
			apr_sleep(2000);
		if (clients->stop)
			break;
		rng = clients->settings.seed * 7 + k;
		tenant = core_random(&rng) % 2
			     ? (int)(core_random(&rng) % 2)
			     : (int)(core_random(&rng) %
				     (uint64_t)clients->settings.tenant_count); /* a few tenants are large */
		route = (int)(core_random(&rng) % (uint64_t)clients->settings.route_count);
		snprintf(id, sizeof id, "x%llu-%llu", (unsigned long long)clients->settings.seed,
			 (unsigned long long)k);
		rc = send_request(
		    clients, id,
		    clients->settings
			.router_addresses[core_random(&rng) % (uint64_t)clients->settings.router_count],
		    tenant, route, core_random(&rng) % 4, h);
		if (rc && core_random(&rng) % 3 == 0 && !clients->stop) {
			apr_sleep(200000);
			send_request(
			    clients, id,
			    clients->settings.router_addresses[core_random(&rng) %
							       (uint64_t)clients->settings.router_count],
			    tenant, route, 0, h);
		}
	}
	curl_easy_cleanup(h);
	return NULL;
}

struct load_clients *load_clients_start(const struct load_client_settings *settings)
{
	struct load_clients *clients = calloc(1, sizeof *clients);

	clients->settings = *settings;
	clients->record = record_open(settings->record_path);
	apr_pool_create(&clients->pool, NULL);
	apr_thread_mutex_create(&clients->mutex, APR_THREAD_MUTEX_DEFAULT, clients->pool);
	clients->started_at_ms = clock_ms();
	clients->threads =
	    apr_pcalloc(clients->pool, (size_t)settings->thread_count * sizeof *clients->threads);
	for (int i = 0; i < settings->thread_count; i++)
		apr_thread_create(&clients->threads[i], NULL, load_client_main, clients, clients->pool);
	return clients;
}

uint64_t load_clients_completed(const struct load_clients *clients)
{
	return clients->completed;
}

void load_clients_stop(struct load_clients *clients)
{
	struct json_object *json = json_object_new_object();
	apr_status_t st;

	clients->stop = 1;
	for (int i = 0; i < clients->settings.thread_count; i++)
		apr_thread_join(&st, clients->threads[i]);
	json_object_object_add(json, "ev",
			       json_object_new_string("closed")); /* nothing is missing behind this line */
	record_put(clients->record, json);
	record_close(clients->record);
	apr_pool_destroy(clients->pool);
	free(clients);
}
