/* Answers of a model server: header fields, events of a stream, rejections, surplus bytes after an answer,
 * and the end of a work. Every end is recorded with the checker. */
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "model_server_internal.h"

static void work_free(struct work *work)
{
	for (int i = 0; i < arrlen(work->names); i++)
		free(work->names[i]);
	arrfree(work->names);
	arrfree(work->blocks);
	arrfree(work->used_blocks);
	free(work);
}

void work_release_blocks(struct work *work)
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

void work_remove(struct work ***list, struct work *work)
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

	work_release_blocks(work);
	work_remove(&server->batch, work);
	work_remove(&server->queue, work);
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

void work_reject(struct work *work, int status)
{
	struct server *server = work->server;
	struct conn *conn = work->conn;
	int run = work->run_id;
	char id[64];

	snprintf(id, sizeof id, "%s", work->id);
	work_release_blocks(work);
	work_remove(&server->batch, work);
	work_remove(&server->queue, work);
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

int work_send_event(struct work *work)
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
	if (conn_tag(server->surplus_conn) == server)
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

void work_complete(struct work *work)
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
	    !server->surplus_timer) { /* bytes behind a complete answer, at once or a little later */
		snprintf(server->surplus_id, sizeof server->surplus_id, "%s", id);
		server->surplus_conn = conn;
		/* a tag: the next request has begun on the connection, and its work needs the tag */
		if (emulator_random_unit(&server->fleet->rng) < 0.5 || conn_tag(conn)) {
			send_surplus(server);
		} else { /* in the slot where the next one is due, if that comes sooner */
			conn_set_tag(conn, server);
			server->surplus_timer = loop_after(
			    server->fleet->loop, ms_us(5 + 200 * emulator_random_unit(&server->fleet->rng)),
			    on_surplus_timer, server);
		}
	}
}
