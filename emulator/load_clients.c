/* Callers: they ask at a steady rate, read every piece, and record what they were told.
 * What was refused is asked again under the same id elsewhere, now and then; so is what ended unknown:
 * the fleet must refuse that second asking or run it only if it never ran. */
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
	char line[4096], send_id[80], piece_send_id[80]; /* mark: the run that the pieces say they are of */
	size_t line_length;
	int next_piece, end_count, bad, pieces;
	int64_t last_piece_at_ms;
	char error[200], outcome[32];
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

/* A part's text: the same words for the same seed. */
static void block_text(char *to, size_t n, uint64_t seed)
{
	static const char *const w[] = { "register ", "parcel ",  "lineage ", "certificate ",
					 "repair ",   "arrears ", "tenant ",  "record " };
	size_t k = 0;

	while (k + 16 < n)
		k += (size_t)snprintf(to + k, n - k, "%s", w[core_random(&seed) % 8]);
	snprintf(to + k, n - k, "%llx", (unsigned long long)(seed & 0xffff));
}

static int send_request(struct load_clients *clients, const char *id, const char *router_address, int tenant,
			int route, uint64_t pick, CURL *curl)
{
	struct json_object *json = json_object_new_object(), *a = json_object_new_array(), *rec;
	struct answer_reader reading;
	char text[8192], key[64], url[200], auth[100];
	struct curl_slist *curl_slist;
	long status = 0;
	CURLcode rc;
	size_t n = (size_t)clients->settings.block_tokens * 4 < sizeof text
		       ? (size_t)clients->settings.block_tokens * 4
		       : sizeof text;
	const char *outcome;

	memset(&reading, 0, sizeof reading);
	reading.id = id;
	json_object_object_add(json, "lane", json_object_new_string(clients->settings.route_names[route]));
	json_object_object_add(json, "id", json_object_new_string(id));
	json_object_object_add(json, "limit_ms", json_object_new_int(clients->settings.limit_ms));
	for (int d = 0; d < 3;
	     d++) { /* the lane's part, the tenant's part, one of the tenant's few matters */
		block_text(text, n, block_seed(clients->settings.seed, tenant, route, d, d == 2 ? pick : 0));
		json_object_array_add(a, json_object_new_string(text));
	}
	json_object_object_add(json, "parts", a);
	block_text(text, 200, core_hash_string(clients->settings.seed, id));
	json_object_object_add(json, "tail", json_object_new_string(text));
	snprintf(key, sizeof key, "key-%d", tenant);
	rec = json_object_new_object();
	json_object_object_add(rec, "ev", json_object_new_string("ask"));
	json_object_object_add(rec, "id", json_object_new_string(id));
	json_object_object_add(rec, "counter", json_object_new_string(router_address));
	json_object_object_add(rec, "tenant", json_object_new_int(tenant));
	json_object_object_add(rec, "lane", json_object_new_string(clients->settings.route_names[route]));
	record_put(clients->record, rec);
	snprintf(url, sizeof url, "http://%s/v1/exchange", router_address);
	snprintf(auth, sizeof auth, "Authorization: Bearer %s", key);
	curl_slist = curl_slist_append(curl_slist_append(NULL, "Expect:"), auth);
	curl_easy_reset(curl);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, curl_slist);
	curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, 1000L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)clients->settings.limit_ms + 5000);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, &reading);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS,
			 json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN));
	rc = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	if (reading.line_length) { /* a body without a last newline: a whole JSON answer */
		reading.line[reading.line_length] = 0;
		read_answer_line(&reading);
	}
	curl_slist_free_all(curl_slist);
	json_object_put(json);
	outcome = rc == CURLE_OK && status == 200 && reading.end_count == 1 && !reading.error[0] ? "whole"
		  : rc == CURLE_OK && !strcmp(reading.outcome, "refused")                        ? "refused"
		  : rc == CURLE_COULDNT_CONNECT                                                  ? "unreached"
												 : "unknown";
	rec = json_object_new_object();
	json_object_object_add(rec, "ev", json_object_new_string("told"));
	json_object_object_add(rec, "id", json_object_new_string(id));
	json_object_object_add(rec, "counter", json_object_new_string(router_address));
	json_object_object_add(rec, "tenant", json_object_new_int(tenant));
	json_object_object_add(rec, "status", json_object_new_int((int)status));
	json_object_object_add(rec, "outcome", json_object_new_string(outcome));
	json_object_object_add(rec, "pieces", json_object_new_int(reading.next_piece));
	json_object_object_add(rec, "x", json_object_new_string(reading.send_id));
	json_object_object_add(rec, "bad", json_object_new_int(reading.bad));
	json_object_object_add(rec, "last", json_object_new_int64(reading.last_piece_at_ms));
	json_object_object_add(rec, "error", json_object_new_string(reading.error));
	record_put(clients->record, rec);
	if (!strcmp(outcome, "whole"))
		__atomic_add_fetch(&clients->completed, 1, __ATOMIC_RELAXED);
	return !strcmp(outcome, "whole")                                      ? 0
	       : !strcmp(outcome, "refused") || !strcmp(outcome, "unreached") ? 1
									      : 2;
}

static void *APR_THREAD_FUNC load_client_main(apr_thread_t *thread, void *arg)
{
	struct load_clients *clients = arg;
	CURL *h = curl_easy_init();

	(void)thread;
	for (;;) {
		uint64_t k, rng;
		int64_t due_at_ms;
		int tenant, route, rc;
		char id[64];

		apr_thread_mutex_lock(clients->mutex);
		k = clients->next_request++;
		apr_thread_mutex_unlock(clients->mutex);
		due_at_ms = clients->started_at_ms +
			    (int64_t)(k * 1000 / (uint64_t)clients->settings.requests_per_second);
		while (!clients->stop && clock_ms() < due_at_ms)
			apr_sleep(2000);
		if (clients->stop)
			break;
		rng = clients->settings.seed * 7 + k;
		tenant = core_random(&rng) % 2
			     ? (int)(core_random(&rng) % 2)
			     : (int)(core_random(&rng) %
				     (uint64_t)clients->settings.tenant_count); /* a few large ones */
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

struct load_clients *load_clients_start(const struct load_client_settings *callers_set)
{
	struct load_clients *clients = calloc(1, sizeof *clients);

	clients->settings = *callers_set;
	clients->record = record_open(callers_set->record_path);
	apr_pool_create(&clients->pool, NULL);
	apr_thread_mutex_create(&clients->mutex, APR_THREAD_MUTEX_DEFAULT, clients->pool);
	clients->started_at_ms = clock_ms();
	clients->threads =
	    apr_pcalloc(clients->pool, (size_t)callers_set->thread_count * sizeof *clients->threads);
	for (int i = 0; i < callers_set->thread_count; i++)
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
