/* An emulated model server, and the store of cached blocks, as a process of its own: its options, and its
 * HTTP calls but for runs. It keeps to the product's own interface for servers; its faults are set by POST
 * /fault. */
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
#include "server_emulator_internal.h"

struct emulated_server emulated;

enum MHD_Result emulated_reply(struct MHD_Connection *connection, unsigned status, const char *body)
{
	struct MHD_Response *mhd_response =
	    MHD_create_response_from_buffer(strlen(body), (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result rc = MHD_queue_response(connection, status, mhd_response);

	MHD_destroy_response(mhd_response);
	return rc;
}

static enum MHD_Result on_report(struct MHD_Connection *connection)
{
	const char *since = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "since");
	const char *boot = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "boot");
	struct json_object *json, *a;
	enum MHD_Result rc;
	int late;

	emulated_lock();
	emulated_load_check();
	late = emulated.late_reports;
	if (emulated.drop_reports) {
		emulated_unlock();
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
			json_object_array_add(a, emulated_block_json(&emulated.blocks[i]));
		json_object_object_add(json, "parts", a);
	}
	emulated_unlock();
	if (late)
		apr_sleep(late * 1000);
	rc = emulated_reply(connection, 200, json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN));
	json_object_put(json);
	return rc;
}

static enum MHD_Result on_order(struct MHD_Connection *connection, const char *body)
{
	struct json_object *j = json_tokener_parse(body), *json = json_member(j, "drop"),
			   *record = emulated_record("order");
	uint64_t fence = (uint64_t)json_member_int(j, "fence");
	int old;

	emulated_lock();
	emulated_load_check();
	old = fence < emulated.fence;
	json_object_object_add(record, "giver", json_object_new_string(json_member_string(j, "giver")));
	json_object_object_add(record, "fence", json_object_new_int64((int64_t)fence));
	json_object_object_add(record, "load", json_object_new_string(json_member_string(j, "load")));
	json_object_object_add(record, "fenced", json_object_new_boolean(old));
	record_put(emulated.record, record);
	if (!old) {
		emulated.fence = fence;
		if (json_member_string(j, "load")[0] &&
		    strcmp(json_member_string(j, "load"), emulated.weights)) {
			apr_cpystrn(emulated.loading, json_member_string(j, "load"), sizeof emulated.loading);
			emulated.load_done_at_ms = clock_ms() + emulated.load_ms;
		}
		for (size_t i = 0; json && i < json_object_array_length(json); i++) {
			struct json_object *e = json_object_array_get_idx(json, i);
			struct cached_copy *replica =
			    emulated_find_block(json_member_string(e, "h"), json_member_string(e, "m"));

			if (replica && replica->stamp == json_member_int(e, "t")) {
				emulated.cached_tokens -= replica->tokens;
				arrdel(emulated.blocks, replica - emulated.blocks);
				emulated.serial++;
			}
		}
	}
	emulated_unlock();
	json_object_put(j);
	return emulated_reply(connection, old ? 409 : 200, "{}");
}

static enum MHD_Result on_fetch(struct MHD_Connection *connection, const char *body)
{
	struct json_object *j = json_tokener_parse(body), *list = json_member(j, "parts"),
			   *out = json_object_new_object();
	struct json_object *a = json_object_new_array();
	enum MHD_Result rc;

	if (emulated.hang_fetch)
		apr_sleep(emulated.hang_fetch * 1000);
	emulated_lock();
	for (size_t i = 0; list && i < json_object_array_length(list); i++) {
		struct json_object *json = json_object_array_get_idx(list, i);
		struct cached_copy *replica =
		    emulated_find_block(json_member_string(json, "h"), json_member_string(json, "m"));

		if (!replica || replica->stamp != json_member_int(json, "t") ||
		    strcmp(replica->weights, json_member_string(j, "weights")))
			break;
		json_object_array_add(a, emulated_block_json(replica));
	}
	emulated_unlock();
	json_object_object_add(out, "parts", a);
	rc = emulated_reply(connection, 200, json_object_to_json_string(out));
	json_object_put(out);
	json_object_put(j);
	return rc;
}

static enum MHD_Result on_store(struct MHD_Connection *connection, const char *body)
{
	struct json_object *j = json_tokener_parse(body), *list = json_member(j, "parts");

	emulated_lock();
	for (size_t i = 0; list && i < json_object_array_length(list); i++) {
		struct json_object *json = json_object_array_get_idx(list, i);

		emulated_cache_block(json_member_string(json, "h"), json_member_string(json, "w"),
				     json_member_string(json, "m"), json_member_int(json, "t"),
				     (int)json_member_int(json, "n"));
	}
	emulated_unlock();
	json_object_put(j);
	return emulated_reply(connection, 200, "{}");
}

static enum MHD_Result on_fault(struct MHD_Connection *connection, const char *body)
{
	struct json_object *json = json_tokener_parse(body);

	emulated_lock();
	emulated.drop_reports = (int)json_member_int(json, "drop_reports");
	emulated.late_reports = (int)json_member_int(json, "late_reports");
	emulated.refuse = (int)json_member_int(json, "refuse");
	emulated.slow_link = (int)json_member_int(json, "slow_link");
	emulated.hang_fetch = (int)json_member_int(json, "hang_fetch");
	emulated.answer_fault = (int)json_member_int(json, "liar");
	emulated_unlock();
	json_object_put(json);
	return emulated_reply(connection, 200, "{}");
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
	return !strcmp(url, "/v1/run")      ? emulated_on_run(connection, *body)
	       : !strcmp(url, "/v1/report") ? on_report(connection)
	       : !strcmp(url, "/v1/order")  ? on_order(connection, *body)
	       : !strcmp(url, "/v1/fetch")  ? on_fetch(connection, *body)
	       : !strcmp(url, "/v1/keep")   ? on_store(connection, *body)
	       : !strcmp(url, "/fault")     ? on_fault(connection, *body)
					    : emulated_reply(connection, 404, "{}");
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

struct server_options {
	struct arg_str *address;
	struct arg_str *name;
	struct arg_str *weights;
	struct arg_str *store;
	struct arg_file *record;
	struct arg_int *slots;
	struct arg_int *prefill;
	struct arg_int *piece_ms;
	struct arg_int *pieces;
	struct arg_int *load_ms;
	struct arg_int *capacity;
	struct arg_int *link;
	struct arg_int *kv_bytes;
	struct arg_end *end;
};

static struct server_options make_options(void)
{
	struct server_options options = {
		.address = arg_str1(NULL, "addr", "IP:PORT", "where it listens"),
		.name = arg_str1(NULL, "name", "NAME", "its name"),
		.weights = arg_str1(NULL, "weights", "NAME", "what it has loaded"),
		.store = arg_str0(NULL, "store", "IP:PORT", "the store"),
		.record = arg_file1(NULL, "record", "FILE", "where runs are recorded"),
		.slots = arg_int0(NULL, "slots", "N", "runs at once"),
		.prefill = arg_int0(NULL, "prefill", "N", "tokens read per ms"),
		.piece_ms = arg_int0(NULL, "piece-ms", "N", "ms per piece"),
		.pieces = arg_int0(NULL, "pieces", "N", "pieces per answer"),
		.load_ms = arg_int0(NULL, "load-ms", "N", "ms to load weights"),
		.capacity = arg_int0(NULL, "cap", "N", "tokens that it can cache"),
		.link = arg_int0(NULL, "link", "N", "bytes per ms of a fetch"),
		.kv_bytes = arg_int0(NULL, "kv", "N", "bytes cached per token"),
		.end = arg_end(5),
	};

	return options;
}

static int number_of(const struct arg_int *option, int otherwise)
{
	return option->count ? option->ival[0] : otherwise;
}

static void apply_options(const struct server_options *options)
{
	apr_cpystrn(emulated.name, options->name->sval[0], sizeof emulated.name);
	apr_cpystrn(emulated.weights, options->weights->sval[0], sizeof emulated.weights);
	if (options->store->count)
		apr_cpystrn(emulated.store, options->store->sval[0], sizeof emulated.store);
	emulated.slots = number_of(options->slots, 8);
	emulated.prefill_tokens_per_ms = number_of(options->prefill, 20);
	emulated.piece_ms = number_of(options->piece_ms, 4);
	emulated.pieces = number_of(options->pieces, 10);
	emulated.load_ms = number_of(options->load_ms, 1500);
	emulated.capacity_tokens = number_of(options->capacity, 100000);
	emulated.link_bytes_per_ms = number_of(options->link, 100000);
	emulated.kv_bytes_per_token = number_of(options->kv_bytes, 1000);
}

static struct MHD_Daemon *listen_at(const char *text)
{
	uint64_t address = core_parse_addr(text);
	struct sockaddr_in sa;

	memset(&sa, 0, sizeof sa);
	sa.sin_family = AF_INET;
	sa.sin_port = htons((uint16_t)(address & 65535));
	sa.sin_addr.s_addr = htonl((uint32_t)(address >> 16));
	return MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL,
				NULL, on_request, NULL, MHD_OPTION_SOCK_ADDR, &sa,
				MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_THREAD_STACK_SIZE,
				(size_t)256 << 10, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
				MHD_OPTION_CONNECTION_TIMEOUT, 30u, MHD_OPTION_END);
}

int server_main(int argc, char **argv)
{
	struct server_options options = make_options();
	void *table[] = { options.address,  options.name,    options.weights,  options.store,
			  options.record,   options.slots,   options.prefill,  options.piece_ms,
			  options.pieces,   options.load_ms, options.capacity, options.link,
			  options.kv_bytes, options.end };
	struct json_object *json;
	apr_pool_t *pool;
	sigset_t set;
	int sig;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, options.end, "notchlug-emulator server");
		return 2;
	}
	apr_pool_create(&pool, NULL);
	apr_thread_mutex_create(&emulated.mutex, APR_THREAD_MUTEX_DEFAULT, pool);
	apply_options(&options);
	emulated.boot = process_random_id() >> 16;
	emulated.record = record_open(options.record->filename[0]);
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigprocmask(SIG_BLOCK, &set, NULL);
	json = emulated_record("up");
	json_object_object_add(json, "weights", json_object_new_string(emulated.weights));
	record_put(emulated.record, json);
	if (!listen_at(options.address->sval[0])) {
		fprintf(stderr, "notchlug-emulator server: cannot listen at %s\n", options.address->sval[0]);
		return 1;
	}
	sigwait(&set, &sig);
	_exit(0);
}
