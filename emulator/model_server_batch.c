/* A model server's batch: works wait, fetch blocks, are prefilled and decoded step by step; weights are
 * loaded. Requests put works in; a timer makes the steps. Always: a work stands in the queue or in the batch,
 * never in both, and what runs fits the server's KV capacity but for a single work. */
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "model_server_internal.h"

static void on_step(void *ctx);

void resume_steps(struct server *server)
{
	if (!server->step_timer && server->state != STATE_DOWN && !server->fault.is_silent) {
		server->next_step_at_us = loop_us();
		server->step_timer = loop_after(server->fleet->loop, 0, on_step, server);
	}
}

/* Count a block's use after a purge: it must have been read since. */
static void count_block_use(struct server_fleet *fleet, const struct prompt_block *block)
{
	if (!fleet->purge_due_at_us || loop_us() < fleet->purge_due_at_us)
		return;
	if (block->created_at_us < fleet->purge_requested_at_us)
		fleet->old_blocks_used++;
	else
		fleet->new_blocks_used++;
}

/* The work uses a block of this tenant and version; it is recorded when the work starts. */
static void note_reuse(struct work *work, int version, const char *tenant)
{
	struct reused_block record;

	record.version = version;
	arrput(work->names, strdup(tenant));
	record.tenant = arrlast(work->names);
	arrput(work->used_blocks, record);
}

/* Use what the server itself has cached of the prompt; the index of the first block that is missing. */
static int reuse_own_blocks(struct work *work)
{
	struct server *server = work->server;
	int i = 0;

	for (; i < arrlen(work->blocks); i++) {
		struct prompt_block *block = find_block(server, work->salt, work->blocks[i].id);

		if (!block)
			break;
		block->refs++;
		block->used_at_us = loop_us();
		count_block_use(server->fleet, block);
		work->blocks[i].is_hit = 1;
		note_reuse(work, block->version, block->tenant);
		work->remaining_tokens -=
		    block->tokens < work->blocks[i].tokens ? block->tokens : work->blocks[i].tokens;
		server->fleet->cached_tokens += (uint64_t)block->tokens;
		if (block->tokens < work->blocks[i].tokens)
			break;
	}
	return i;
}

/* How many complete blocks from the index on another server has, and their tokens in *moved. */
static int count_blocks_at(struct server *from, const struct work *work, int first, int64_t *moved)
{
	int n = 0;

	for (int k = first; k < arrlen(work->blocks); k++) {
		struct prompt_block *block = find_block(from, work->salt, work->blocks[k].id);

		if (!block || block->tokens < work->blocks[k].tokens)
			break;
		n++;
		*moved += block->tokens;
	}
	return n;
}

static void copy_block(struct work *work, struct requested_block *requested, struct server *from, int64_t now)
{
	struct server *server = work->server;
	struct prompt_block *block = find_block(from, work->salt, requested->id), *own;
	int64_t created_at_us;
	char tenant[48];
	int version;

	/* storing may move the array that block stands in */
	snprintf(tenant, sizeof tenant, "%s", block->tenant);
	version = block->version;
	block->used_at_us = now;
	count_block_use(server->fleet, block);
	created_at_us = block->created_at_us;
	own = find_block(server, work->salt, requested->id);
	if (!own) {
		own = store_block(server, work->salt, requested->id, requested->tokens, version, tenant);
		own->created_at_us = created_at_us;
	}
	if (requested->is_hit)
		return;
	own->refs++;
	requested->is_hit = 1;
	note_reuse(work, version, tenant);
	work->remaining_tokens -= requested->tokens;
}

static struct server *server_by_address(const struct server_fleet *fleet, const char *address)
{
	struct server *match = NULL;

	for (int k = 0; k < arrlen(fleet->servers); k++)
		if (!strcmp(fleet->servers[k]->address, address))
			match = fleet->servers[k];
	return match;
}

/* Fetch blocks from the index on from the server that the request names. The link carries one fetch after the
 * other; one that would wait longer than two seconds is given up. */
static void fetch_blocks(struct work *work, int first)
{
	struct server *server = work->server, *from = server_by_address(server->fleet, work->source);
	const struct engine *engine = &server->fleet->engine;
	int64_t now = loop_us(), moved = 0;
	int64_t wait = server->transfer_free_at_us > now ? server->transfer_free_at_us - now : 0;
	double us;
	int n;

	work->state = WORK_FETCHING;
	if (!from || from->state == STATE_DOWN || from->fault.is_silent) {
		work->transfer_done_at_us = now + ms_us(300);
		return;
	}
	n = count_blocks_at(from, work, first, &moved);
	if (!n || wait > ms_us(2000)) {
		work->transfer_done_at_us = now + ms_us(1);
		return;
	}
	us = (double)moved * engine->kv_bytes_per_token * 8 / engine->link_mbps *
	     (strcmp(from->zone, server->zone) ? 2 : 1);
	work->transfer_done_at_us = now + wait + ms_us(engine->setup_ms) + (int64_t)us;
	server->transfer_free_at_us = work->transfer_done_at_us;
	for (int k = first; k < first + n; k++)
		copy_block(work, &work->blocks[k], from, now);
	server->fleet->fetched_tokens += (uint64_t)moved;
}

/* Use what the server has cached of the prompt, and fetch what its source has beyond that. */
static void reuse_blocks(struct work *work)
{
	int missing;

	work->remaining_tokens = work->prompt_tokens + work->generated_tokens;
	missing = reuse_own_blocks(work);
	work->state = WORK_PREFILL;
	if (work->source[0] && !work->has_started && missing < arrlen(work->blocks))
		fetch_blocks(work, missing);
	if (work->remaining_tokens < 1)
		work->remaining_tokens = 1;
}

/* Put a work back into the queue, even in the middle of its stream. */
static void preempt(struct work *work)
{
	struct server *server = work->server;

	work_release_blocks(work);
	work_remove(&server->batch, work);
	work->state = WORK_QUEUED;
	arrins(server->queue, 0, work);
}

static struct work *least_urgent(struct server *server)
{
	struct work *work = NULL;

	for (int i = 0; i < arrlen(server->batch); i++)
		if (!work || server->batch[i]->priority > work->priority ||
		    (server->batch[i]->priority == work->priority &&
		     server->batch[i]->queued_at_us >= work->queued_at_us))
			work = server->batch[i];
	return work;
}

static void admit(struct server *server)
{
	for (;;) {
		struct work *work = NULL, *x;

		for (int i = 0; i < arrlen(server->queue); i++)
			if (!work || server->queue[i]->priority < work->priority ||
			    (server->queue[i]->priority == work->priority &&
			     server->queue[i]->queued_at_us < work->queued_at_us))
				work = server->queue[i];
		if (!work)
			return;
		x = least_urgent(server);
		if (arrlen(server->batch) >= server->fleet->engine.slots) {
			if (!x || x->priority <= work->priority)
				return;
			preempt(x);
		}
		if (!reserve_capacity(server, work->prompt_tokens + work->generated_tokens)) {
			x = least_urgent(server);
			if (!x || x->priority <= work->priority)
				return;
			preempt(x);
			continue;
		}
		work_remove(&server->queue, work);
		arrput(server->batch, work);
		reuse_blocks(work);
	}
}

/* The prompt is read: new blocks are cached, and offloaded to the store if the request names one. */
static void prefill_done(struct work *work)
{
	struct server *server = work->server, *to = NULL;

	for (int i = 0; work->offload_target[0] && i < arrlen(server->fleet->servers); i++)
		if (server->fleet->servers[i]->is_store &&
		    !strcmp(server->fleet->servers[i]->address, work->offload_target) &&
		    server->fleet->servers[i]->state == STATE_UP)
			to = server->fleet->servers[i];
	for (int i = 0; i < arrlen(work->blocks); i++) {
		struct prompt_block *p;

		if (!work->blocks[i].is_hit) {
			if (!reserve_capacity(server, work->blocks[i].tokens))
				continue;
			p = store_block(server, work->salt, work->blocks[i].id, work->blocks[i].tokens,
					server->version, work->tenant);
			p->refs++;
			work->blocks[i].is_hit = 1;
		} else if ((p = find_block(server, work->salt, work->blocks[i].id)) &&
			   p->tokens < work->blocks[i].tokens) {
			store_block(server, work->salt, work->blocks[i].id, work->blocks[i].tokens,
				    server->version, work->tenant);
		}
		p = find_block(server, work->salt, work->blocks[i].id);
		if (to && p) {
			int version = p->version,
			    there = find_block(to, work->salt, work->blocks[i].id) != NULL;
			int64_t born = p->created_at_us;
			char tenant[48];

			snprintf(tenant, sizeof tenant, "%s", p->tenant);
			if (reserve_capacity(to, work->blocks[i].tokens)) {
				struct prompt_block *block =
				    store_block(to, work->salt, work->blocks[i].id, work->blocks[i].tokens,
						version, tenant);

				block->created_at_us = there ? block->created_at_us : born;
			}
		}
	}
	work->state = WORK_DECODE;
	work->remaining_tokens = 0;
}

static void work_begin(struct work *work)
{
	if (work->has_started)
		return;
	work->has_started = 1;
	work->version = work->server->version;
	if (work->server->fleet->checker)
		checker_record_start(work->server->fleet->checker, fleet_ms(work->server->fleet),
				     work->run_id, work->version, work->used_blocks,
				     (int)arrlen(work->used_blocks));
}

static void one_token(struct work *work)
{
	struct server *server = work->server;

	work_begin(work);
	work->generated_tokens++;
	if (work->garbage) {
		struct conn *conn = work->conn;

		work_end(work, 0, 200);
		conn_write(conn, "\x16\x03 this is no answer\r\n\r\n", 25);
		conn_close(conn, 0);
		return;
	}
	if (work->grey && !work->is_plain) {
		struct conn *conn = work->conn;
		char f[700];

		response_fields(server, work->id, f, sizeof f);
		snprintf(f + strlen(f), sizeof f - strlen(f), "X-Notchlug-Server-Seal: %d.%08x\r\n",
			 work->run_id, (unsigned)work->seed);
		work->body = emulator_hash(0, "fault", 5);
		work_end(work, 1, 500);
		conn_answer(conn, 500, f, "fault", 5, keeps_connection(server));
		return;
	}
	if (!work->is_plain && (work->generated_tokens == 1 ||
				work->generated_tokens % server->fleet->engine.token_stride == 0 ||
				work->generated_tokens >= work->output_tokens)) {
		if (work->sent_id < work->last_id && !work_send_event(work))
			return;
	}
	if (work->generated_tokens >= work->output_tokens ||
	    (!work->is_plain && work->sent_id >= work->last_id))
		work_complete(work);
}

static void load_done(void *ctx)
{
	struct server *server = ctx;

	server->load_timer = 0;
	server->fleet->loading--;
	server->version = server->loading_to;
	server->loading_to = 0;
	drop_all_blocks(server, 1);
	for (int i = 0; i < arrlen(server->batch); i++)
		for (int k = 0; k < arrlen(server->batch[i]->blocks); k++)
			server->batch[i]->blocks[k].is_hit = 0;
	if (server->fleet->list)
		list_server_changed(server->fleet->list, server);
	resume_steps(server);
}

void server_load(struct server *server, int version)
{
	server->version = version;
	drop_all_blocks(server, 1);
	if (server->fleet->list)
		list_server_changed(server->fleet->list, server);
}

static void load_begin(struct server *server)
{
	int n = ++server->fleet->loading, most = server->fleet->engine.load_at_once;

	server->fleet->loads++;
	server->load_timer =
	    loop_after(server->fleet->loop,
		       ms_us(server->fleet->engine.load_ms * (n > most ? (double)n / most : 1.0) *
			     (server->fault.load_slow > 0 ? server->fault.load_slow : 1)),
		       load_done, server);
}

/* What the last step did comes out: prompts that were read, tokens that were generated. */
static void finish_step(struct server *server)
{
	struct work **batch = NULL; /* a work may end, and leave the batch, on the way */

	for (int i = 0; i < arrlen(server->batch); i++)
		arrput(batch, server->batch[i]);
	for (int i = 0; i < arrlen(batch); i++) {
		struct work *work = batch[i];

		if (work->state == WORK_FETCHING && loop_us() >= work->transfer_done_at_us)
			work->state = WORK_PREFILL;
		if (work->state == WORK_PREFILL && work->step_read) {
			server->fleet->prefilled_tokens += (uint64_t)work->step_read;
			work->remaining_tokens -= work->step_read;
			work->step_read = 0;
			if (work->remaining_tokens <= 0) {
				prefill_done(work);
				one_token(work);
			}
		} else if (work->state == WORK_DECODE) {
			if (server->load_timer && server->load_method != LOAD_RETAIN)
				continue;
			one_token(work);
		}
	}
	arrfree(batch);
}

/* A work whose deadline has passed is answered with 504, or cut off if its answer has begun. */
static void end_late_work(struct work *work)
{
	struct server *server = work->server;
	struct conn *conn = work->conn;
	int head_sent = work->head_sent;
	char fields[700];

	response_fields(server, work->id, fields, sizeof fields);
	snprintf(fields + strlen(fields), sizeof fields - strlen(fields),
		 "X-Notchlug-Server-Seal: %d.%08x\r\n", work->run_id, (unsigned)work->seed);
	work->body = emulator_hash(0, "late", 4);
	work_end(work, head_sent ? 0 : 1, 504);
	if (conn && head_sent)
		conn_close(conn, 0);
	else if (conn)
		conn_answer(conn, 504, fields, "late", 4, keeps_connection(server));
}

static void end_late_works(struct server *server)
{
	struct work **works = NULL;

	for (int i = 0; i < arrlen(server->batch); i++)
		arrput(works, server->batch[i]);
	for (int i = 0; i < arrlen(server->queue); i++)
		arrput(works, server->queue[i]);
	for (int i = 0; i < arrlen(works); i++) {
		if (loop_us() < works[i]->deadline_us)
			continue;
		if (works[i]->has_started)
			end_late_work(works[i]);
		else
			work_reject(works[i], 503);
	}
	arrfree(works);
}

/* While weights are to be loaded, only what has started goes on; then the load begins. 1: no step is made
 * meanwhile. */
static int go_on_loading(struct server *server)
{
	for (int i = (int)arrlen(server->queue) - 1; i >= 0; i--) /* what was preempted ends first */
		if (!server->queue[i]->has_started)
			work_reject(server->queue[i], 503);
	for (int i = (int)arrlen(server->batch) - 1; i >= 0; i--)
		if (!server->batch[i]->has_started)
			work_reject(server->batch[i], 503);
	if (!server->load_timer && server->load_method != LOAD_RETAIN)
		admit(server);
	if (!server->load_timer &&
	    ((!arrlen(server->batch) && !arrlen(server->queue)) || server->load_method == LOAD_RETAIN))
		load_begin(server);
	if (!server->load_timer || server->load_method != LOAD_RETAIN)
		return 0;
	server->step_timer = loop_after(server->fleet->loop, ms_us(20), on_step, server);
	return 1;
}

/* Divide the next step's prompt tokens among the batch; how many there are. */
static int plan_prefill(struct server *server)
{
	int read = 0;

	for (int i = 0; i < arrlen(server->batch); i++) {
		struct work *work = server->batch[i];
		int n = server->fleet->engine.chunk_tokens - read;

		if (work->state != WORK_PREFILL || n <= 0)
			continue;
		work->step_read = work->remaining_tokens < n ? work->remaining_tokens : n;
		read += work->step_read;
	}
	return read;
}

static double step_duration_ms(struct server *server, int read)
{
	const struct engine *engine = &server->fleet->engine;
	double ms = (engine->step_ms + engine->per_slot_ms * (int)arrlen(server->batch) +
		     read / engine->prefill_tokens_per_ms) *
			server->speed * (server->fault.slow > 0 ? server->fault.slow : 1) +
		    server->stall_ms;

	server->stall_ms = 0;
	return ms;
}

/* One step of the batch: what the last one did comes out, and the next one begins. */
static void on_step(void *ctx)
{
	struct server *server = ctx;
	int read;

	server->step_timer = 0;
	if (server->state == STATE_DOWN || server->fault.is_silent)
		return;
	finish_step(server);
	end_late_works(server);
	if (!is_loading_weights(server))
		admit(server);
	else if (go_on_loading(server))
		return;
	while (used_tokens(server) > kv_capacity(server) && arrlen(server->batch) > 1)
		preempt(least_urgent(server));
	read = plan_prefill(server);
	if (!arrlen(server->batch) && !arrlen(server->queue))
		return;
	server->next_step_at_us += ms_us(step_duration_ms(server, read));
	if (server->next_step_at_us < loop_us() - ms_us(20))
		server->next_step_at_us =
		    loop_us() - ms_us(20); /* a late process does not catch up without end */
	server->step_timer = loop_after(
	    server->fleet->loop,
	    server->next_step_at_us > loop_us() ? server->next_step_at_us - loop_us() : 0, on_step, server);
}
