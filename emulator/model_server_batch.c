/* A model server's batch: works wait, move, are read and written by steps; loads of weights; what goes out to
 * callers. Requests put works in; a timer makes the steps. */
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "model_server_internal.h"

static void on_step(void *ctx);

static void work_free(struct work *work)
{
	for (int i = 0; i < arrlen(work->names); i++)
		free(work->names[i]);
	arrfree(work->names);
	arrfree(work->blocks);
	arrfree(work->used_blocks);
	free(work);
}

static void release(struct work *work)
{
	for (int i = 0; i < arrlen(work->blocks); i++)
		if (work->blocks[i].is_hit) {
			struct prompt_block *block = find_block(work->server, work->salt, work->blocks[i].id);

			if (block && block->refs > 0)
				block->refs--;
			if (block)
				block->used_at_us = loop_us();
			work->blocks[i].is_hit = 0;
		}
}

static void remove_entry(struct work ***list, struct work *work)
{
	for (int i = 0; i < arrlen(*list); i++)
		if ((*list)[i] == work) {
			arrdel(*list, i);
			return;
		}
}

void work_end(struct work *work, int how, int status)
{
	struct server *server = work->server;

	release(work);
	remove_entry(&server->batch, work);
	remove_entry(&server->queue, work);
	if (work->conn)
		conn_set_tag(work->conn, NULL);
	if (server->fleet->checker)
		checker_record_end(server->fleet->checker, fleet_ms(server->fleet), work->run_id, how, status,
				   work->body, work->sent_id);
	work_free(work);
}

void response_fields(struct server *server, const char *id, char *buffer, size_t n)
{
	snprintf(buffer, n, "%s%s%sX-Notchlug-Server-Load: %d,%d,%d\r\nX-Notchlug-Weight-Versions: %d\r\n%s",
		 id ? "X-Notchlug-Attempt-Id: " : "", id ? id : "", id ? "\r\n" : "",
		 (int)arrlen(server->batch), (int)arrlen(server->queue), server->fleet->engine.slots,
		 server->version, server->fleet->engine.idle_ms >= 1000 ? "Keep-Alive: timeout=" : "");
	if (server->fleet->engine.idle_ms >= 1000)
		snprintf(buffer + strlen(buffer), n - strlen(buffer), "%d\r\n",
			 server->fleet->engine.idle_ms / 1000);
}

int keeps_connection(struct server *server)
{
	return server->state == STATE_UP && emulator_random_unit(&server->fleet->rng) >= server->fault.close;
}

void reject_request(struct server *server, struct conn *conn, int run, const char *id, int status)
{
	char b[600];

	server->fleet->rejected++;
	response_fields(server, id, b, sizeof b);
	snprintf(b + strlen(b), sizeof b - strlen(b), "X-Notchlug-Not-Executed: 1\r\n");
	if (server->fleet->checker && run >= 0)
		checker_record_rejection(server->fleet->checker, run, status);
	conn_answer(conn, status, b, "", 0, keeps_connection(server));
}

static void work_reject(struct work *work, int status)
{
	struct server *server = work->server;
	struct conn *conn = work->conn;
	int run = work->run_id;
	char id[64];

	snprintf(id, sizeof id, "%s", work->id);
	release(work);
	remove_entry(&server->batch, work);
	remove_entry(&server->queue, work);
	if (conn)
		conn_set_tag(conn, NULL);
	work_free(work);
	if (conn)
		reject_request(server, conn, run, id, status);
	else if (server->fleet->checker && run >= 0)
		checker_record_rejection(server->fleet->checker, run, status);
}

static void send_head(struct work *work, int status)
{
	char b[600];

	if (work->head_sent)
		return;
	work->head_sent = 1;
	work->announced_version = work->server->version;
	response_fields(work->server, work->id, b, sizeof b);
	if (!work->lose_answer)
		conn_writef(
		    work->conn,
		    "HTTP/1.1 %d OK\r\n%sX-Notchlug-Server-Seal: %d.%08x\r\nContent-Type: text/event-stream\r\n"
		    "Transfer-Encoding: chunked\r\n%s\r\n",
		    status, b, work->run_id, (unsigned)work->seed,
		    work->close ? "Connection: close\r\n" : "");
}

/* 0: the work is over */
static int send_event(struct work *work)
{
	char b[300], v[60] = "";
	int n;

	send_head(work, 200);
	if (work->announced_version != work->server->version) {
		work->announced_version = work->server->version;
		snprintf(v, sizeof v, "x-notchlug-weight-versions: %d\n", work->announced_version);
	}
	if (work->break_at && work->sent_id >= work->break_at) {
		struct conn *conn = work->conn;
		int reset = emulator_random_unit(&work->server->fleet->rng) < 0.5;

		work_end(work, 0, 200);
		conn_close(conn, reset);
		return 0;
	}
	work->sent_id++;
	n = snprintf(b, sizeof b, "%sid: %d\ndata: %d %d %lld %08llx\n\n", v, work->sent_id, work->run_id,
		     work->sent_id, (long long)loop_us(),
		     (unsigned long long)(work->seed * (uint64_t)work->sent_id) & 0xffffffff);
	if (!work->lose_answer)
		conn_writef(work->conn, "%x\r\n%s\r\n", (unsigned)n, b);
	return 1;
}

void send_surplus(struct server *server)
{
	char f[600];

	loop_cancel(server->fleet->loop, server->surplus_timer);
	server->surplus_timer = 0;
	conn_set_tag(server->surplus_conn, NULL);
	response_fields(server, server->surplus_id, f, sizeof f);
	conn_writef(server->surplus_conn, "HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\nlate", f);
}

static void on_surplus_timer(void *ctx)
{
	struct server *server = ctx;

	server->surplus_timer = 0;
	if (conn_is_alive(server->fleet->loop, server->surplus_conn) &&
	    conn_tag(server->surplus_conn) == server)
		send_surplus(server);
}

static void work_complete(struct work *work)
{
	struct server *server = work->server;
	struct conn *conn = work->conn;
	int close = work->close || !keeps_connection(server), surplus = work->surplus,
	    lost = work->lose_answer, status = 200;
	char f[700], body[80], id[64];

	snprintf(id, sizeof id, "%s", work->id);
	if (work->is_plain) {
		status = work->grey ? 500 : 200;
		response_fields(server, work->id, f, sizeof f);
		snprintf(f + strlen(f), sizeof f - strlen(f), "X-Notchlug-Server-Seal: %d.%08x\r\n",
			 work->run_id, (unsigned)work->seed);
		snprintf(body, sizeof body, "%d %08x %d", work->run_id, (unsigned)work->seed, status);
		work->body = emulator_hash(0, body, strlen(body));
	}
	{
		int plain = work->is_plain;

		if (!plain && !lost)
			conn_write(conn, "0\r\n\r\n", 5);
		work_end(work, lost ? 0 : 1, status);
		if (lost && conn)
			conn_close(conn, 0);
		else if (lost)
			;
		else if (plain)
			conn_answer(conn, status, f, body, strlen(body), !close);
		else
			conn_finish_response(conn, !close);
	}
	if (surplus && !lost && !close &&
	    !server->surplus_timer) { /* bytes behind a whole answer, at once or a little later */
		snprintf(server->surplus_id, sizeof server->surplus_id, "%s", id);
		server->surplus_conn = conn;
		if (emulator_random_unit(&server->fleet->rng) < 0.5) {
			send_surplus(server);
		} else { /* in the slot where the next one is due, if that comes sooner */
			conn_set_tag(conn, server);
			server->surplus_timer = loop_after(
			    server->fleet->loop, ms_us(5 + 200 * emulator_random_unit(&server->fleet->rng)),
			    on_surplus_timer, server);
		}
	}
}

void resume_steps(struct server *server)
{
	if (!server->step_timer && server->state != STATE_DOWN && !server->fault.is_silent) {
		server->next_step_at_us = loop_us();
		server->step_timer = loop_after(server->fleet->loop, 0, on_step, server);
	}
}

/* A part serves a request: after a clearing it is one that was read since. */
static void count_block_use(struct server_fleet *settings, const struct prompt_block *block)
{
	if (!settings->purge_due_at_us || loop_us() < settings->purge_due_at_us)
		return;
	if (block->created_at_us < settings->purge_requested_at_us)
		settings->old_blocks_used++;
	else
		settings->new_blocks_used++;
}

/* What it keeps of the prompt, and what another keeps beyond. */
static void reuse_blocks(struct work *work)
{
	struct server *server = work->server, *from = NULL;
	int64_t moved = 0;
	int i = 0;

	work->remaining_tokens = work->prompt_tokens + work->generated_tokens;
	for (; i < arrlen(work->blocks); i++) {
		struct prompt_block *block = find_block(server, work->salt, work->blocks[i].id);
		struct reused_block record;

		if (!block)
			break;
		block->refs++;
		block->used_at_us = loop_us();
		count_block_use(server->fleet, block);
		work->blocks[i].is_hit = 1;
		record.version = block->version;
		arrput(work->names, strdup(block->tenant));
		record.tenant = arrlast(work->names);
		arrput(work->used_blocks, record);
		work->remaining_tokens -=
		    block->tokens < work->blocks[i].tokens ? block->tokens : work->blocks[i].tokens;
		server->fleet->cached_tokens += (uint64_t)block->tokens;
		if (block->tokens < work->blocks[i].tokens)
			break;
	}
	work->state = WORK_PREFILL;
	if (work->source[0] && !work->has_started && i < arrlen(work->blocks)) {
		int64_t now = loop_us(),
			wait = server->transfer_free_at_us > now ? server->transfer_free_at_us - now : 0;
		int n = 0;

		for (int k = 0; k < arrlen(server->fleet->servers); k++)
			if (!strcmp(server->fleet->servers[k]->address, work->source))
				from = server->fleet->servers[k];
		work->state = WORK_FETCHING;
		if (!from || from->state == STATE_DOWN || from->fault.is_silent) {
			work->transfer_done_at_us = now + ms_us(300);
		} else {
			for (int k = i; k < arrlen(work->blocks); k++) {
				struct prompt_block *block = find_block(from, work->salt, work->blocks[k].id);

				if (!block || block->tokens < work->blocks[k].tokens)
					break;
				n++;
				moved += block->tokens;
			}
			if (!n || wait > ms_us(2000)) {
				work->transfer_done_at_us = now + ms_us(1);
			} else {
				double us = (double)moved * server->fleet->engine.kv_bytes_per_token * 8 /
					    server->fleet->engine.link_mbps *
					    (strcmp(from->zone, server->zone) ? 2 : 1);

				work->transfer_done_at_us =
				    now + wait + ms_us(server->fleet->engine.setup_ms) + (int64_t)us;
				server->transfer_free_at_us = work->transfer_done_at_us;
				for (int k = i; k < i + n; k++) {
					struct prompt_block *block = find_block(from, work->salt,
										work->blocks[k].id),
							    *own;
					struct reused_block record;
					int64_t born;
					char tenant[48];

					snprintf(tenant, sizeof tenant, "%s", block->tenant);
					record.version = block->version;
					block->used_at_us = now;
					count_block_use(server->fleet, block);
					born = block->created_at_us;
					own = find_block(server, work->salt, work->blocks[k].id);
					if (!own) {
						own = store_block(server, work->salt, work->blocks[k].id,
								  work->blocks[k].tokens, record.version,
								  tenant);
						own->created_at_us = born;
					}
					if (work->blocks[k].is_hit)
						continue;
					own->refs++;
					work->blocks[k].is_hit = 1;
					arrput(work->names, strdup(tenant));
					record.tenant = arrlast(work->names);
					arrput(work->used_blocks, record);
					work->remaining_tokens -= work->blocks[k].tokens;
				}
				server->fleet->fetched_tokens += (uint64_t)moved;
			}
		}
	}
	if (work->remaining_tokens < 1)
		work->remaining_tokens = 1;
}

/* Out of the batch again, in the middle of its stream too. */
static void preempt(struct work *work)
{
	struct server *server = work->server;

	release(work);
	remove_entry(&server->batch, work);
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
		remove_entry(&server->queue, work);
		arrput(server->batch, work);
		reuse_blocks(work);
	}
}

/* The prompt is read: what is new is kept from now on, and goes to the store if that is wanted. */
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
		if (work->sent_id < work->last_id && !send_event(work))
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

/* One step of the batch: what the last one did comes out, and the next one begins. */
static void on_step(void *ctx)
{
	struct server *server = ctx;
	struct work **now = NULL;
	int read = 0, busy = 0;
	double ms;

	server->step_timer = 0;
	if (server->state == STATE_DOWN || server->fault.is_silent)
		return;
	for (int i = 0; i < arrlen(server->batch); i++)
		arrput(now, server->batch[i]);
	for (int i = 0; i < arrlen(now); i++) {
		struct work *work = now[i];

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
			if (server->load_timer && server->load_method != 2)
				continue;
			one_token(work);
		}
	}
	arrfree(now);
	now = NULL;
	for (int i = 0; i < arrlen(server->batch); i++)
		arrput(now, server->batch[i]);
	for (int i = 0; i < arrlen(server->queue); i++)
		arrput(now, server->queue[i]);
	for (int i = 0; i < arrlen(now); i++) {
		struct work *work = now[i];

		if (loop_us() < work->deadline_us)
			continue;
		if (!work->has_started) {
			work_reject(work, 503);
		} else {
			struct conn *c = work->conn;
			int head = work->head_sent;
			char f[700];

			response_fields(server, work->id, f, sizeof f);
			snprintf(f + strlen(f), sizeof f - strlen(f), "X-Notchlug-Server-Seal: %d.%08x\r\n",
				 work->run_id, (unsigned)work->seed);
			work->body = emulator_hash(0, "late", 4);
			work_end(work, head ? 0 : 1, 504);
			if (!c)
				;
			else if (head)
				conn_close(c, 0);
			else
				conn_answer(c, 504, f, "late", 4, keeps_connection(server));
		}
	}
	arrfree(now);
	if (is_loading_weights(server)) {
		for (int i = arrlen(server->queue) - 1; i >= 0;
		     i--) /* what has begun and was put back ends first */
			if (!server->queue[i]->has_started)
				work_reject(server->queue[i], 503);
		for (int i = arrlen(server->batch) - 1; i >= 0; i--)
			if (!server->batch[i]->has_started)
				work_reject(server->batch[i], 503);
		if (!server->load_timer && server->load_method != 2)
			admit(server);
		if (!server->load_timer &&
		    ((!arrlen(server->batch) && !arrlen(server->queue)) || server->load_method == 2))
			load_begin(server);
		if (server->load_timer && server->load_method == 2) {
			server->step_timer = loop_after(server->fleet->loop, ms_us(20), on_step, server);
			return;
		}
	} else {
		admit(server);
	}
	while (used_tokens(server) > kv_capacity(server) && arrlen(server->batch) > 1)
		preempt(least_urgent(server));
	for (int i = 0; i < arrlen(server->batch); i++) {
		struct work *work = server->batch[i];
		int n = server->fleet->engine.chunk_tokens - read;

		busy++;
		if (work->state != WORK_PREFILL || n <= 0)
			continue;
		work->step_read = work->remaining_tokens < n ? work->remaining_tokens : n;
		read += work->step_read;
	}
	if (!busy && !arrlen(server->queue))
		return;
	ms = (server->fleet->engine.step_ms + server->fleet->engine.per_slot_ms * busy +
	      read / server->fleet->engine.prefill_tokens_per_ms) *
		 server->speed * (server->fault.slow > 0 ? server->fault.slow : 1) +
	     server->stall_ms;
	server->stall_ms = 0;
	server->next_step_at_us += ms_us(ms);
	if (server->next_step_at_us < loop_us() - ms_us(20))
		server->next_step_at_us = loop_us() - ms_us(20); /* a late process does not hurry for ever */
	server->step_timer = loop_after(
	    server->fleet->loop,
	    server->next_step_at_us > loop_us() ? server->next_step_at_us - loop_us() : 0, on_step, server);
}
