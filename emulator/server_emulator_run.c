/* Runs of an emulated server: admission, reuse and prefill, and the answer in pieces. Every run is recorded
 * for the checker. */
#include <stdbool.h>
#include <apr_general.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "server_emulator_internal.h"

struct answer_stream {
	char send_id[80];
	char *id;
	struct json_object *body;
	int pieces;
	int next_piece;
	int done;
	bool is_repeated;
	/* fetch_ms is -1 if there was nothing to fetch */
	int fetch_ms;
	int fetched;
	char line[512];
	size_t line_length;
	size_t at;
};

/* Apply the answer fault at the second piece: 1 it is marked as another's, 2 a piece is left out, 3 it breaks
 * off, 4 a piece comes twice, 5 it falls silent. 1: the answer ends here. */
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
		if (!run->is_repeated)
			run->next_piece--;
		run->is_repeated = true;
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
			struct json_object *json = emulated_record("end");

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

	emulated_lock();
	emulated.running--;
	emulated_unlock();
	json_object_put(run->body);
	free(run);
}

/* Tokens of a text: a quarter of its bytes, rounded up. */
static int text_tokens(const char *text)
{
	return (int)(strlen(text) + 3) / 4;
}

static int block_tokens_at(struct json_object *blocks, int index)
{
	return text_tokens(json_member_string(json_object_array_get_idx(blocks, (size_t)index), "text"));
}

static void add_member(struct json_object *to, const char *name, const char *string)
{
	json_object_object_add(to, name, json_object_new_string(string));
}

/* Record that a request arrived. NULL: it is admitted; else the body of the answer. Called under the lock. */
static const char *admit(struct json_object *json)
{
	struct json_object *record = emulated_record("sent");
	const char *rejection = NULL;

	add_member(record, "x", json_member_string(json, "x"));
	add_member(record, "id", json_member_string(json, "id"));
	if (emulated.running >= emulated.slots || emulated.refuse)
		rejection = "{\"began\":false,\"error\":\"no place\"}";
	else if (emulated.loading[0] || strcmp(emulated.weights, json_member_string(json, "weights")))
		rejection = "{\"began\":false,\"error\":\"other weights\"}";
	json_object_object_add(record, "refused", json_object_new_boolean(rejection != NULL));
	record_put(emulated.record, record);
	if (!rejection && !json)
		rejection = "{\"began\":false}";
	return rejection;
}

/* The record of a run's start, without what it reused. Called under the lock. */
static struct json_object *begin_record(struct json_object *json)
{
	struct json_object *record = emulated_record("begin");

	add_member(record, "x", json_member_string(json, "x"));
	add_member(record, "id", json_member_string(json, "id"));
	add_member(record, "tenant", json_member_string(json, "tenant"));
	add_member(record, "weights", emulated.weights);
	json_object_object_add(record, "stamp", json_object_new_int64(json_member_int(json, "stamp")));
	json_object_object_add(record, "t", json_object_new_int64(clock_ms()));
	return record;
}

/* Takes the JSON over; it is freed with the run. */
static struct answer_stream *run_new(struct json_object *json)
{
	struct answer_stream *run = calloc(1, sizeof *run);

	run->body = json;
	run->fetch_ms = -1;
	snprintf(run->send_id, sizeof run->send_id, "%s", json_member_string(json, "x"));
	run->id = (char *)(uintptr_t)json_member_string(json, "id");
	return run;
}

/* Read the prompt from a block on: takes as long as its tokens need; their number. */
static int prefill(struct json_object *json, struct json_object *blocks, int from, int count)
{
	int tokens = text_tokens(json_member_string(json, "tail"));

	for (int i = from; i < count; i++)
		tokens += block_tokens_at(blocks, i);
	apr_sleep((apr_interval_time_t)tokens * 1000 /
		  (emulated.prefill_tokens_per_ms ? emulated.prefill_tokens_per_ms : 1));
	return tokens;
}

/* Cache the blocks that were read. Called under the lock. */
static void cache_blocks(struct json_object *json, struct json_object *blocks, int from, int count)
{
	for (int i = from; i < count; i++) {
		struct json_object *block = json_object_array_get_idx(blocks, (size_t)i);

		emulated_cache_block(json_member_string(block, "h"), json_member_string(json, "weights"),
				     json_member_string(json, "tenant"), json_member_int(json, "stamp"),
				     block_tokens_at(blocks, i));
	}
}

/* Offload the blocks that were read to the store; a failure does no harm. */
static void offload_blocks(struct json_object *json, struct json_object *blocks, int from, int count)
{
	struct json_object *request = json_object_new_object(), *list = json_object_new_array();

	for (int i = from; i < count; i++) {
		struct json_object *block = json_object_array_get_idx(blocks, (size_t)i),
				   *copy = json_object_new_object();

		add_member(copy, "h", json_member_string(block, "h"));
		add_member(copy, "m", json_member_string(json, "tenant"));
		add_member(copy, "w", json_member_string(json, "weights"));
		json_object_object_add(copy, "t", json_object_new_int64(json_member_int(json, "stamp")));
		json_object_object_add(copy, "n", json_object_new_int(block_tokens_at(blocks, i)));
		json_object_array_add(list, copy);
	}
	json_object_object_add(request, "parts", list);
	http_call_blocking("POST", emulated.store, "/v1/keep", NULL, json_object_to_json_string(request), 300,
			   NULL);
	json_object_put(request);
}

static enum MHD_Result stream_answer(struct MHD_Connection *connection, struct answer_stream *run)
{
	struct MHD_Response *response =
	    MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, 4096, run_more, run, run_free);
	enum MHD_Result rc = MHD_queue_response(connection, 200, response);

	MHD_destroy_response(response);
	return rc;
}

enum MHD_Result emulated_on_run(struct MHD_Connection *connection, const char *body)
{
	struct json_object *json = json_tokener_parse(body), *record, *used;
	struct json_object *blocks = json_member(json, "parts"), *reuse = json_member(json, "reuse");
	struct answer_stream *run;
	int count = blocks ? (int)json_object_array_length(blocks) : 0, own, have, prefilled, tokens = 0;
	const char *rejection;

	emulated_lock();
	emulated_load_check();
	rejection = admit(json);
	if (rejection) {
		emulated_unlock();
		json_object_put(json);
		return emulated_reply(connection, 503, rejection);
	}
	emulated.running++;
	record = begin_record(json);
	used = json_object_new_array();
	own = have = emulated_reuse(reuse, emulated.weights, used, 0);
	run = run_new(json);
	emulated_unlock();
	if (own == (reuse ? (int)json_object_array_length(reuse) : 0))
		have = emulated_fetch(json_member(json, "fetch"), json_member_string(json, "weights"), used,
				      own, &run->fetch_ms);
	run->fetched = have - own;
	for (int i = 0; i < count; i++)
		tokens += block_tokens_at(blocks, i);
	prefilled = prefill(json, blocks, have, count);
	emulated_lock();
	cache_blocks(json, blocks, have, count);
	run->pieces =
	    emulated.pieces / 2 + (int)(core_hash_string(7, run->id) % (uint64_t)(emulated.pieces + 1));
	json_object_object_add(record, "n", json_object_new_int(run->pieces));
	json_object_object_add(record, "tokens", json_object_new_int(tokens));
	json_object_object_add(record, "fresh", json_object_new_int(prefilled));
	json_object_object_add(record, "fetched", json_object_new_int(have - own));
	json_object_object_add(record, "used", used);
	record_put(emulated.record, record);
	emulated_unlock();
	if (emulated.store[0] && have < count)
		offload_blocks(json, blocks, have, count);
	return stream_answer(connection, run);
}
