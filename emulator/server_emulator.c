/* A stand-in for a language server, and for the store of kept parts. It is honest: it keeps what it read,
 * reuses only the very copies that a send names and it still has, and records every run. */
#include <apr_general.h>
#include <apr_strings.h>
#include <argtable2.h>
#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "containers.h"
#include "test_fleet.h"

struct cached_copy {
	char hash[20], weights[64], maker[64];
	int64_t stamp;
	int tokens;
	uint64_t used;
};

static struct {
	apr_thread_mutex_t *mutex;
	struct record *record;
	char name[64], weights[64], loading[64], addr[64], store[64];
	int64_t load_done;
	int slots, running, prefill_tokens_per_ms, kv_bytes_per_token, link_bytes_per_ms, piece_ms, pieces,
	    load_ms, capacity_tokens;
	uint64_t fence, serial, boot, use_counter;
	struct cached_copy *blocks; /* stb_ds */
	int held_tokens;            /* tokens */
	int drop_reports, late_reports, refuse;
	int slow_link, hang_fetch,
	    answer_fault; /* times slower; ms that a fetch from here hangs; see run_more */
} emulated;

static void lock(void)
{
	apr_thread_mutex_lock(emulated.mutex);
}
static void unlock(void)
{
	apr_thread_mutex_unlock(emulated.mutex);
}

static struct json_object *record_new(const char *kind)
{
	struct json_object *json = json_object_new_object();

	json_object_object_add(json, "ev", json_object_new_string(kind));
	json_object_object_add(json, "server", json_object_new_string(emulated.name));
	return json;
}

static void load_check(void)
{
	if (!emulated.loading[0] || clock_ms() < emulated.load_done)
		return;
	memcpy(emulated.weights, emulated.loading, sizeof emulated.weights);
	emulated.loading[0] = 0;
	arrsetlen(emulated.blocks, 0); /* what other weights made is of no use here */
	emulated.held_tokens = 0;
	emulated.serial++;
	struct json_object *json = record_new("loaded");
	json_object_object_add(json, "weights", json_object_new_string(emulated.weights));
	record_put(emulated.record, json);
}

static struct cached_copy *find_copy(const char *hash, const char *maker)
{
	for (ptrdiff_t i = 0; i < arrlen(emulated.blocks); i++)
		if (!strcmp(emulated.blocks[i].hash, hash) && !strcmp(emulated.blocks[i].maker, maker))
			return &emulated.blocks[i];
	return NULL;
}

static void cache_block(const char *hash, const char *weights, const char *maker, int64_t stamp, int tokens)
{
	struct cached_copy *c = find_copy(hash, maker), n;

	if (c) {
		if (!strcmp(c->weights, weights) && c->stamp >= stamp) {
			c->used = ++emulated.use_counter;
			return;
		}
		emulated.held_tokens -= c->tokens;
		arrdel(emulated.blocks, c - emulated.blocks);
	}
	memset(&n, 0, sizeof n);
	apr_cpystrn(n.hash, hash, sizeof n.hash);
	apr_cpystrn(n.weights, weights, sizeof n.weights);
	apr_cpystrn(n.maker, maker, sizeof n.maker);
	n.stamp = stamp;
	n.tokens = tokens;
	n.used = ++emulated.use_counter;
	arrput(emulated.blocks, n);
	emulated.held_tokens += tokens;
	emulated.serial++;
	while (emulated.held_tokens > emulated.capacity_tokens &&
	       arrlen(emulated.blocks) > 1) { /* the least lately used goes */
		ptrdiff_t worst = 0;

		for (ptrdiff_t i = 1; i < arrlen(emulated.blocks); i++)
			if (emulated.blocks[i].used < emulated.blocks[worst].used)
				worst = i;
		emulated.held_tokens -= emulated.blocks[worst].tokens;
		arrdel(emulated.blocks, worst);
	}
}

/* ---- a run ---- */

struct answer_stream {
	char send_id[80], *id;
	struct json_object *body;
	int pieces, next_piece, done, is_repeated;
	int fetch_ms, fetched; /* -1: there was nothing to fetch */
	char line[512];
	size_t line_length, at;
};

static int reuse_from(struct json_object *list, const char *weights, struct json_object *used, int have)
{
	for (size_t i = 0; list && i < json_object_array_length(list); i++) {
		struct json_object *json = json_object_array_get_idx(list, i), *u;
		struct cached_copy *replica =
		    find_copy(json_member_string(json, "h"), json_member_string(json, "m"));

		if (!replica || replica->stamp != json_member_int(json, "t") ||
		    strcmp(replica->weights, weights))
			break;
		replica->used = ++emulated.use_counter;
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

/* Fetch kept parts from a peer server or the store; what fails, or would take longer than the send allows, is
 * read from the prompt instead. */
static int fetch(struct json_object *fetch_json, const char *weights, struct json_object *used, int have,
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
	lock();
	for (size_t i = 0; list && i < json_object_array_length(list); i++) {
		struct json_object *json = json_object_array_get_idx(list, i), *u = json_object_new_object();

		cache_block(json_member_string(json, "h"), weights, json_member_string(json, "m"),
			    json_member_int(json, "t"), (int)json_member_int(json, "n"));
		json_object_object_add(u, "h", json_object_new_string(json_member_string(json, "h")));
		json_object_object_add(u, "m", json_object_new_string(json_member_string(json, "m")));
		json_object_object_add(u, "w", json_object_new_string(json_member_string(json, "w")));
		json_object_object_add(u, "ct", json_object_new_int64(json_member_int(json, "t")));
		json_object_object_add(u, "from",
				       json_object_new_int(1)); /* fetched: kept elsewhere till now */
		json_object_array_add(used, u);
		have++;
	}
	unlock();
	*ms = (int)(clock_ms() - from);
	json_object_put(got);
	free(body);
	json_object_put(q);
	return have;
}

/* Faults of an answer, from its second piece on: 1 it is marked as another's, 2 a piece is left out, 3 it
 * breaks off, 4 a piece comes twice, 5 it says no more. */
static int apply_answer_fault(struct answer_stream *run)
{
	if (run->next_piece != 1)
		return 0;
	switch (emulated.answer_fault) {
	case 1:
		run->send_id[0] = run->send_id[0] == '0' ? '1' : '0';
		return 0;
	case 2:
		run->next_piece++;
		return 0;
	case 3:
		return 1;
	case 4:
		run->next_piece -= !run->is_repeated++;
		return 0;
	case 5:
		apr_sleep(30 * 1000 * 1000);
		return 1;
	default:
		return 0;
	}
}

static ssize_t run_more(void *arg, uint64_t pos, char *to, size_t max)
{
	struct answer_stream *run = arg;
	size_t n;

	(void)pos;
	if (run->at == run->line_length) {
		if (run->done)
			return MHD_CONTENT_READER_END_OF_STREAM;
		if (apply_answer_fault(run))
			return MHD_CONTENT_READER_END_WITH_ERROR;
		if (run->next_piece < run->pieces) {
			if (run->next_piece)
				apr_sleep(emulated.piece_ms * 1000);
			run->line_length = (size_t)snprintf(
			    run->line, sizeof run->line, "{\"x\":\"%s\",\"n\":%d,\"t\":\"%s#%d@%s\"}\n",
			    run->send_id, run->next_piece, run->id, run->next_piece, run->send_id);
			run->next_piece++;
		} else {
			struct json_object *json = record_new("end");

			json_object_object_add(json, "x", json_object_new_string(run->send_id));
			json_object_object_add(json, "id", json_object_new_string(run->id));
			json_object_object_add(json, "n", json_object_new_int(run->pieces));
			record_put(emulated.record, json);
			run->line_length = (size_t)snprintf(run->line, sizeof run->line,
							    "{\"x\":\"%s\",\"n\":%d,\"end\":true",
							    run->send_id, run->next_piece);
			if (run->fetch_ms >= 0)
				run->line_length += (size_t)snprintf(
				    run->line + run->line_length, sizeof run->line - run->line_length,
				    ",\"fetch_ms\":%d,\"fetched\":%d", run->fetch_ms, run->fetched);
			run->line_length += (size_t)snprintf(run->line + run->line_length,
							     sizeof run->line - run->line_length, "}\n");
			run->done = 1;
		}
		run->at = 0;
	}
	n = run->line_length - run->at < max ? run->line_length - run->at : max;
	memcpy(to, run->line + run->at, n);
	run->at += n;
	return (ssize_t)n;
}

static void run_free(void *arg)
{
	struct answer_stream *run = arg;

	lock();
	emulated.running--;
	unlock();
	json_object_put(run->body);
	free(run);
}

static enum MHD_Result reply(struct MHD_Connection *connection, unsigned status, const char *body)
{
	struct MHD_Response *mhd_response =
	    MHD_create_response_from_buffer(strlen(body), (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result rc = MHD_queue_response(connection, status, mhd_response);

	MHD_destroy_response(mhd_response);
	return rc;
}

static enum MHD_Result on_run(struct MHD_Connection *connection, const char *body)
{
	struct json_object *j = json_tokener_parse(body), *rec, *used, *parts = json_member(j, "parts");
	struct MHD_Response *resp;
	struct answer_stream *run;
	enum MHD_Result rc;
	int have, own, n = parts ? (int)json_object_array_length(parts) : 0, fresh = 0, tokens = 0;
	const char *no = NULL;

	lock();
	load_check();
	rec = record_new("sent");
	json_object_object_add(rec, "x", json_object_new_string(json_member_string(j, "x")));
	json_object_object_add(rec, "id", json_object_new_string(json_member_string(j, "id")));
	if (emulated.running >= emulated.slots || emulated.refuse)
		no = "{\"began\":false,\"error\":\"no place\"}";
	else if (emulated.loading[0] || strcmp(emulated.weights, json_member_string(j, "weights")))
		no = "{\"began\":false,\"error\":\"other weights\"}";
	json_object_object_add(rec, "refused", json_object_new_boolean(no != NULL));
	record_put(emulated.record, rec);
	if (no || !j) {
		unlock();
		json_object_put(j);
		return reply(connection, 503, no ? no : "{\"began\":false}");
	}
	emulated.running++;
	rec = record_new("begin");
	used = json_object_new_array();
	have = reuse_from(json_member(j, "reuse"), emulated.weights, used, 0);
	json_object_object_add(rec, "x", json_object_new_string(json_member_string(j, "x")));
	json_object_object_add(rec, "id", json_object_new_string(json_member_string(j, "id")));
	json_object_object_add(rec, "tenant", json_object_new_string(json_member_string(j, "tenant")));
	json_object_object_add(rec, "weights", json_object_new_string(emulated.weights));
	json_object_object_add(rec, "stamp", json_object_new_int64(json_member_int(j, "stamp")));
	json_object_object_add(rec, "t", json_object_new_int64(clock_ms()));
	run = calloc(1, sizeof *run);
	run->body = j;
	run->fetch_ms = -1;
	snprintf(run->send_id, sizeof run->send_id, "%s", json_member_string(j, "x"));
	run->id = (char *)(uintptr_t)json_member_string(j, "id");
	unlock();
	own = have;
	if (have == (json_member(j, "reuse") ? (int)json_object_array_length(json_member(j, "reuse")) : 0))
		have = fetch(json_member(j, "fetch"), json_member_string(j, "weights"), used, have,
			     &run->fetch_ms);
	run->fetched = have - own;
	for (int i = 0; i < n; i++) {
		int t =
		    (int)(strlen(json_member_string(json_object_array_get_idx(parts, (size_t)i), "text")) +
			  3) /
		    4;

		tokens += t;
		fresh += i >= have ? t : 0;
	}
	fresh += (int)(strlen(json_member_string(j, "tail")) + 3) / 4;
	apr_sleep((apr_interval_time_t)fresh * 1000 /
		  (emulated.prefill_tokens_per_ms ? emulated.prefill_tokens_per_ms : 1));
	lock();
	for (int i = have; i < n; i++) {
		struct json_object *json = json_object_array_get_idx(parts, (size_t)i);

		cache_block(json_member_string(json, "h"), json_member_string(j, "weights"),
			    json_member_string(j, "tenant"), json_member_int(j, "stamp"),
			    (int)(strlen(json_member_string(json, "text")) + 3) / 4);
	}
	run->pieces =
	    emulated.pieces / 2 + (int)(core_hash_string(7, run->id) % (uint64_t)(emulated.pieces + 1));
	json_object_object_add(rec, "n", json_object_new_int(run->pieces));
	json_object_object_add(rec, "tokens", json_object_new_int(tokens));
	json_object_object_add(rec, "fresh", json_object_new_int(fresh));
	json_object_object_add(rec, "fetched", json_object_new_int(have - own));
	json_object_object_add(rec, "used", used);
	record_put(emulated.record, rec);
	unlock();
	if (emulated.store[0] && have < n) { /* the store gets what was read anew */
		struct json_object *q = json_object_new_object(), *a = json_object_new_array();

		for (int i = have; i < n; i++) {
			struct json_object *json = json_object_array_get_idx(parts, (size_t)i),
					   *k = json_object_new_object();

			json_object_object_add(k, "h", json_object_new_string(json_member_string(json, "h")));
			json_object_object_add(k, "m",
					       json_object_new_string(json_member_string(j, "tenant")));
			json_object_object_add(k, "w",
					       json_object_new_string(json_member_string(j, "weights")));
			json_object_object_add(k, "t", json_object_new_int64(json_member_int(j, "stamp")));
			json_object_object_add(
			    k, "n",
			    json_object_new_int((int)(strlen(json_member_string(json, "text")) + 3) / 4));
			json_object_array_add(a, k);
		}
		json_object_object_add(q, "parts", a);
		http_call_blocking("POST", emulated.store, "/v1/keep", NULL, json_object_to_json_string(q),
				   300, NULL);
		json_object_put(q);
	}
	resp = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, 4096, run_more, run, run_free);
	rc = MHD_queue_response(connection, 200, resp);
	MHD_destroy_response(resp);
	return rc;
}

static struct json_object *copy_json(const struct cached_copy *replica)
{
	struct json_object *json = json_object_new_object();

	json_object_object_add(json, "h", json_object_new_string(replica->hash));
	json_object_object_add(json, "w", json_object_new_string(replica->weights));
	json_object_object_add(json, "m", json_object_new_string(replica->maker));
	json_object_object_add(json, "t", json_object_new_int64(replica->stamp));
	json_object_object_add(json, "n", json_object_new_int(replica->tokens));
	return json;
}

static enum MHD_Result on_report(struct MHD_Connection *connection)
{
	const char *since = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "since");
	const char *boot = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "boot");
	struct json_object *json, *a;
	enum MHD_Result rc;
	int late;

	lock();
	load_check();
	late = emulated.late_reports;
	if (emulated.drop_reports) {
		unlock();
		return MHD_NO;
	}
	json = json_object_new_object();
	json_object_object_add(json, "weights", json_object_new_string(emulated.weights));
	json_object_object_add(json, "loading", json_object_new_string(emulated.loading));
	json_object_object_add(json, "slots", json_object_new_int(emulated.slots));
	json_object_object_add(json, "running", json_object_new_int(emulated.running));
	json_object_object_add(json, "serial", json_object_new_int64((int64_t)emulated.serial));
	json_object_object_add(json, "boot", json_object_new_int64((int64_t)emulated.boot));
	if (!since || !boot || strtoull(since, NULL, 10) != emulated.serial ||
	    strtoull(boot, NULL, 10) != emulated.boot) {
		a = json_object_new_array();
		for (ptrdiff_t i = 0; i < arrlen(emulated.blocks); i++)
			json_object_array_add(a, copy_json(&emulated.blocks[i]));
		json_object_object_add(json, "parts", a);
	}
	unlock();
	if (late)
		apr_sleep(late * 1000);
	rc = reply(connection, 200, json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN));
	json_object_put(json);
	return rc;
}

static enum MHD_Result on_order(struct MHD_Connection *connection, const char *body)
{
	struct json_object *j = json_tokener_parse(body), *json = json_member(j, "drop"),
			   *rec = record_new("order");
	uint64_t fence = (uint64_t)json_member_int(j, "fence");
	int old;

	lock();
	load_check();
	old = fence < emulated.fence;
	json_object_object_add(rec, "giver", json_object_new_string(json_member_string(j, "giver")));
	json_object_object_add(rec, "fence", json_object_new_int64((int64_t)fence));
	json_object_object_add(rec, "load", json_object_new_string(json_member_string(j, "load")));
	json_object_object_add(rec, "fenced", json_object_new_boolean(old));
	record_put(emulated.record, rec);
	if (!old) {
		emulated.fence = fence;
		if (json_member_string(j, "load")[0] &&
		    strcmp(json_member_string(j, "load"), emulated.weights)) {
			apr_cpystrn(emulated.loading, json_member_string(j, "load"), sizeof emulated.loading);
			emulated.load_done = clock_ms() + emulated.load_ms;
		}
		for (size_t i = 0; json && i < json_object_array_length(json); i++) {
			struct json_object *e = json_object_array_get_idx(json, i);
			struct cached_copy *replica =
			    find_copy(json_member_string(e, "h"), json_member_string(e, "m"));

			if (replica && replica->stamp == json_member_int(e, "t")) {
				emulated.held_tokens -= replica->tokens;
				arrdel(emulated.blocks, replica - emulated.blocks);
				emulated.serial++;
			}
		}
	}
	unlock();
	json_object_put(j);
	return reply(connection, old ? 409 : 200, "{}");
}

static enum MHD_Result on_fetch(struct MHD_Connection *connection, const char *body)
{
	struct json_object *j = json_tokener_parse(body), *list = json_member(j, "parts"),
			   *out = json_object_new_object();
	struct json_object *a = json_object_new_array();
	enum MHD_Result rc;

	if (emulated.hang_fetch)
		apr_sleep(emulated.hang_fetch * 1000);
	lock();
	for (size_t i = 0; list && i < json_object_array_length(list); i++) {
		struct json_object *json = json_object_array_get_idx(list, i);
		struct cached_copy *replica =
		    find_copy(json_member_string(json, "h"), json_member_string(json, "m"));

		if (!replica || replica->stamp != json_member_int(json, "t") ||
		    strcmp(replica->weights, json_member_string(j, "weights")))
			break;
		json_object_array_add(a, copy_json(replica));
	}
	unlock();
	json_object_object_add(out, "parts", a);
	rc = reply(connection, 200, json_object_to_json_string(out));
	json_object_put(out);
	json_object_put(j);
	return rc;
}

static enum MHD_Result on_store(struct MHD_Connection *connection, const char *body)
{
	struct json_object *j = json_tokener_parse(body), *list = json_member(j, "parts");

	lock();
	for (size_t i = 0; list && i < json_object_array_length(list); i++) {
		struct json_object *json = json_object_array_get_idx(list, i);

		cache_block(json_member_string(json, "h"), json_member_string(json, "w"),
			    json_member_string(json, "m"), json_member_int(json, "t"),
			    (int)json_member_int(json, "n"));
	}
	unlock();
	json_object_put(j);
	return reply(connection, 200, "{}");
}

static enum MHD_Result on_fault(struct MHD_Connection *connection, const char *body)
{
	struct json_object *json = json_tokener_parse(body);

	lock();
	emulated.drop_reports = (int)json_member_int(json, "drop_reports");
	emulated.late_reports = (int)json_member_int(json, "late_reports");
	emulated.refuse = (int)json_member_int(json, "refuse");
	emulated.slow_link = (int)json_member_int(json, "slow_link");
	emulated.hang_fetch = (int)json_member_int(json, "hang_fetch");
	emulated.answer_fault = (int)json_member_int(json, "liar");
	unlock();
	json_object_put(json);
	return reply(connection, 200, "{}");
}

static enum MHD_Result on_request(void *arg, struct MHD_Connection *connection, const char *url,
				  const char *method, const char *version, const char *data, size_t *n,
				  void **state)
{
	char **body = *state;

	(void)arg;
	(void)method;
	(void)version;
	if (!body) {
		*state = calloc(1, sizeof *body);
		return MHD_YES;
	}
	if (*n) {
		memcpy(arraddnptr(*body, *n), data, *n);
		*n = 0;
		return MHD_YES;
	}
	arrput(*body, 0);
	return !strcmp(url, "/v1/run")      ? on_run(connection, *body)
	       : !strcmp(url, "/v1/report") ? on_report(connection)
	       : !strcmp(url, "/v1/order")  ? on_order(connection, *body)
	       : !strcmp(url, "/v1/fetch")  ? on_fetch(connection, *body)
	       : !strcmp(url, "/v1/keep")   ? on_store(connection, *body)
	       : !strcmp(url, "/fault")     ? on_fault(connection, *body)
					    : reply(connection, 404, "{}");
}

static void on_completed(void *arg, struct MHD_Connection *connection, void **state,
			 enum MHD_RequestTerminationCode why)
{
	char **body = *state;

	(void)arg;
	(void)connection;
	(void)why;
	if (body)
		arrfree(*body);
	free(body);
}

int server_main(int argc, char **argv)
{
	struct arg_str *addr = arg_str1(NULL, "addr", "IP:PORT", "where it listens"),
		       *name = arg_str1(NULL, "name", "NAME", "its name");
	struct arg_str *weights = arg_str1(NULL, "weights", "NAME", "what it has loaded"),
		       *store = arg_str0(NULL, "store", "IP:PORT", "the store");
	struct arg_file *rec = arg_file1(NULL, "record", "FILE", "where runs are recorded");
	struct arg_int *slots = arg_int0(NULL, "slots", "N", "runs at once"),
		       *prefill = arg_int0(NULL, "prefill", "N", "tokens read per ms");
	struct arg_int *piece = arg_int0(NULL, "piece-ms", "N", "ms per piece"),
		       *pieces = arg_int0(NULL, "pieces", "N", "pieces per answer");
	struct arg_int *load = arg_int0(NULL, "load-ms", "N", "ms to load weights"),
		       *cap = arg_int0(NULL, "cap", "N", "tokens it can keep");
	struct arg_int *link = arg_int0(NULL, "link", "N", "bytes per ms of a fetch"),
		       *arg_int = arg_int0(NULL, "kv", "N", "bytes kept per token");
	struct arg_end *end = arg_end(5);
	void *t[] = { addr,  name,   weights, store, rec,  slots,   prefill,
		      piece, pieces, load,    cap,   link, arg_int, end };
	struct json_object *json;
	struct sockaddr_in sa;
	struct MHD_Daemon *mhd_daemon;
	apr_pool_t *pool;
	uint64_t address;
	sigset_t set;
	int sig;

	if (arg_parse(argc, argv, t)) {
		arg_print_errors(stderr, end, "notchlug-emulator server");
		return 2;
	}
	apr_pool_create(&pool, NULL);
	apr_thread_mutex_create(&emulated.mutex, APR_THREAD_MUTEX_DEFAULT, pool);
	apr_cpystrn(emulated.name, name->sval[0], sizeof emulated.name);
	apr_cpystrn(emulated.weights, weights->sval[0], sizeof emulated.weights);
	if (store->count)
		apr_cpystrn(emulated.store, store->sval[0], sizeof emulated.store);
	emulated.slots = slots->count ? slots->ival[0] : 8;
	emulated.prefill_tokens_per_ms = prefill->count ? prefill->ival[0] : 20;
	emulated.piece_ms = piece->count ? piece->ival[0] : 4;
	emulated.pieces = pieces->count ? pieces->ival[0] : 10;
	emulated.load_ms = load->count ? load->ival[0] : 1500;
	emulated.capacity_tokens = cap->count ? cap->ival[0] : 100000;
	emulated.link_bytes_per_ms = link->count ? link->ival[0] : 100000;
	emulated.kv_bytes_per_token = arg_int->count ? arg_int->ival[0] : 1000;
	emulated.boot = process_random_id() >> 16;
	emulated.record = record_open(rec->filename[0]);
	address = core_parse_addr(addr->sval[0]);
	memset(&sa, 0, sizeof sa);
	sa.sin_family = AF_INET;
	sa.sin_port = htons((uint16_t)(address & 65535));
	sa.sin_addr.s_addr = htonl((uint32_t)(address >> 16));
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigprocmask(SIG_BLOCK, &set, NULL);
	json = record_new("up");
	json_object_object_add(json, "weights", json_object_new_string(emulated.weights));
	record_put(emulated.record, json);
	mhd_daemon = MHD_start_daemon(
	    MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, on_request, NULL,
	    MHD_OPTION_SOCK_ADDR, &sa, MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
	    MHD_OPTION_THREAD_STACK_SIZE, (size_t)256 << 10, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
	    MHD_OPTION_CONNECTION_TIMEOUT, 30u, MHD_OPTION_END);
	if (!mhd_daemon) {
		fprintf(stderr, "notchlug-emulator server: cannot listen at %s\n", addr->sval[0]);
		return 1;
	}
	sigwait(&set, &sig);
	_exit(0);
}
