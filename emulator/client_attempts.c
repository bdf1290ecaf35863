/* Attempts of the clients: sending a request over a pooled or a new connection, reading its answer, and
 * deciding whether it is tried again. Every answer goes to the checker. */
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "clients_internal.h"

/* The entry and the clients: connections go to the edges of a zone by hash; requests come as the sheet has
 * them, try again as told, and every answer is checked. */
#include <math.h>

static const struct conn_handlers on_answer;

static void finish_request(struct client_request *subject);

void client_forget_connection(struct clients *clients, const struct conn *conn)
{
	for (int i = 0; i < arrlen(clients->client); i++)
		for (int k = arrlen(clients->client[i].connections) - 1; k >= 0; k--)
			if (clients->client[i].connections[k].conn == conn)
				arrdelswap(clients->client[i].connections, k);
}

static struct pooled_conn *pooled_conn_of(struct client *who, const struct conn *conn)
{
	for (int k = 0; k < arrlen(who->connections); k++)
		if (who->connections[k].conn == conn)
			return &who->connections[k];
	return NULL;
}

struct second *client_second_of(struct run *run, int64_t at_ms)
{
	int64_t s = (at_ms - run->traffic_started_at_ms) / 1000;

	return &run->figures.seconds[s < 0 ? 0 : s >= MAX_SECONDS ? MAX_SECONDS - 1 : s];
}

static void attempt_free(struct client_attempt *attempt)
{
	for (int i = 0; i < arrlen(attempt->clients->in_flight); i++)
		if (attempt->clients->in_flight[i] == attempt) {
			arrdelswap(attempt->clients->in_flight, i);
			break;
		}
	arrfree(attempt->unparsed);
	arrfree(attempt->events);
	free(attempt);
}

static int is_repeatable(const struct run *run, const struct client_request *subject)
{
	return run->sheet->classes[subject->class_id].resumable;
}

static void retry_now(void *ctx)
{
	struct client_request *subject = ctx;

	for (int i = 0; i < arrlen(subject->clients->retrying); i++)
		if (subject->clients->retrying[i] == subject) {
			arrdelswap(subject->clients->retrying, i);
			break;
		}
	client_start_attempt(subject, 1);
}

void client_attempt_over(struct client_attempt *attempt, enum answer_outcome how)
{
	struct client_request *subject = attempt->request;
	struct clients *clients = attempt->clients;
	struct run *run = clients->run;
	const struct traffic_class *class = &run->sheet->classes[subject->class_id];
	int64_t now = run_ms(run), remaining_ms = subject->created_at_ms + class->deadline_ms - now;
	struct answer_record answer;
	int is_refusal = attempt->status == 429 || attempt->status == 503 || attempt->status == 408 ||
			 attempt->status == 421;
	int final = attempt->status == 400 || attempt->status == 401 || attempt->status == 404 ||
		    attempt->status == 413 || attempt->status == 431;
	int complete = how == ANSWER_COMPLETE && attempt->status >= 200 && attempt->status < 300, retry;
	struct pooled_conn *pooled = attempt->conn ? pooled_conn_of(subject->client, attempt->conn) : NULL;

	if (attempt->done)
		return;
	attempt->done = 1;
	memset(&answer, 0, sizeof answer);
	answer.id = attempt->id;
	answer.seal_id = attempt->seal_id[0] ? attempt->seal_id : NULL;
	answer.status = attempt->status;
	answer.seal_run = attempt->seal_run;
	answer.is_own_answer = attempt->is_own_answer;
	answer.was_read = attempt->was_read;
	answer.outcome = how;
	answer.is_stream = attempt->is_stream;
	answer.events = attempt->events;
	answer.event_count = (int)arrlen(attempt->events);
	checker_record_answer(run->checker, now, &answer);
	if (attempt->conn) {
		if (how == ANSWER_COMPLETE && attempt->keep_alive && pooled) {
			pooled->busy = 0;
			pooled->idle_since_ms = now;
			pooled->idle_until_ms =
			    attempt->keep_alive_s > 0 ? now + attempt->keep_alive_s * 1000 - 300 : INT64_MAX;
			conn_set_handlers(attempt->conn, &on_answer,
					  clients); /* nothing is due: what comes now is surplus */
			conn_set_tag(attempt->conn, NULL);
		} else {
			client_forget_connection(clients, attempt->conn);
			conn_close(attempt->conn, how == ANSWER_ABANDONED);
		}
	}
	if (run->verbose > 1 && !complete)
		run_log(run, "client: try %s of %s at %s: %d, how %d, %lld ms, events %d", attempt->id,
			class->name, run->machines[attempt->machine].name, attempt->status, (int)how,
			(long long)(now - attempt->started_at_ms), (int)arrlen(attempt->events));
	if (how == ANSWER_CUT_OFF || how == ANSWER_GARBLED)
		run->figures.cut_off++;
	if (how == ANSWER_NONE)
		run->figures.no_answer++;
	if (subject->is_probe) {
		attempt_free(attempt);
		free(subject);
		return;
	}
	if (arrlen(attempt->events))
		subject->last_event_id = arrlast(attempt->events).id;
	retry = !complete && !final && subject->attempts <= class->retries && remaining_ms > 50 &&
		how != ANSWER_ABANDONED && !clients->closing;
	if (how == ANSWER_ABANDONED && is_repeatable(run, subject) && subject->attempts <= class->retries &&
	    remaining_ms > 50 && !clients->closing)
		retry = 1;
	if (is_refusal && how == ANSWER_COMPLETE && !subject->was_refused) {
		subject->was_refused = 1;
		subject->refused_after_ms = now - subject->created_at_ms;
	}
	if (retry && !(is_refusal && how == ANSWER_COMPLETE) && !is_repeatable(run, subject) &&
	    how != ANSWER_NONE)
		retry = 0;
	if (retry && how == ANSWER_NONE && !is_repeatable(run, subject) && attempt->sent &&
	    !attempt->is_new_connection)
		retry = 0; /* it may have been read */
	if (complete) {
		int64_t gap_most = class->gap_target_ms,
			first = subject->first_event_at_ms - subject->created_at_ms;
		int timely = subject->first_event_at_ms && first <= class->latency_target_ms &&
			     subject->longest_gap_ms <= gap_most && !subject->transit_late;

		run->figures.completed[subject->class_id]++;
		client_second_of(run, subject->created_at_ms)->completed++;
		run->figures.late[subject->class_id] += !timely;
		run->figures.value_earned +=
		    !timely ? subject->value * class->late_value / class->value
		    : subject->was_refused && subject->refused_after_ms <= class->latency_target_ms / 4 &&
			    subject->attempts > 1
			? subject->value * (1 + class->late_value / class->value) / 2
			: subject->value;
		histogram_add(&run->figures.longest_gap_ms[subject->class_id], subject->longest_gap_ms);
	} else if (!retry) {
		if (is_refusal)
			client_second_of(run, subject->created_at_ms)->refused++, run->figures.refused++;
		else
			client_second_of(run, subject->created_at_ms)->failed++;
	}
	if (subject->avoid_count < 4)
		subject->avoid[subject->avoid_count++] = attempt->machine;
	if (retry) {
		double wait = is_refusal && attempt->retry_after > 0 ? attempt->retry_after * 1000 : 20;

		if (wait > (double)remaining_ms / 3)
			wait = (double)remaining_ms / 3;
		arrput(clients->retrying, subject);
		loop_after(run->loop, ms_us(wait), retry_now, subject);
	} else {
		finish_request(subject);
	}
	attempt_free(attempt);
}

static void finish_request(struct client_request *subject)
{
	free(subject);
}

static void on_event(struct client_attempt *attempt, char *text)
{
	struct client_request *subject = attempt->request;
	struct run *run = attempt->clients->run;
	int64_t now = run_ms(run);
	struct stream_event event = { -1, -1 };
	long long made = 0;

	for (char *line = strtok(text, "\n"); line; line = strtok(NULL, "\n")) {
		int k;

		if (!strncmp(line, "id:", 3))
			event.id = atoi(line + 3);
		else if (!strncmp(line, "data:", 5))
			sscanf(line + 5, "%d %d %lld", &event.run_id, &k, &made);
	}
	arrput(attempt->events, event);
	if (!subject->first_event_at_ms) {
		subject->first_event_at_ms = now;
		if (!subject->is_probe) {
			histogram_add(&run->figures.first_event_ms[subject->class_id],
				      now - subject->created_at_ms);
			histogram_add(&client_second_of(run, subject->created_at_ms)->first_event,
				      now - subject->created_at_ms);
		}
	} else if (now - subject->last_event_at_ms > subject->longest_gap_ms) {
		subject->longest_gap_ms = now - subject->last_event_at_ms;
	}
	subject->last_event_at_ms = now;
	if (made) {
		int64_t late = (loop_us() - made) / 1000;

		histogram_add(&run->figures.transit_ms, late);
		subject->transit_late |= late > run->bounds.transit_ms;
	}
}

static void on_head(void *ctx, struct conn *conn, struct http_message *message)
{
	struct client_attempt *attempt = conn_tag(conn);
	const char *v;

	(void)ctx;
	if (!attempt)
		return;
	attempt->last_received_at_ms = run_ms(attempt->clients->run);
	attempt->status = message->status;
	attempt->keep_alive = message->keep_alive;
	v = http_message_field(message, "X-Notchlug-Server-Seal");
	attempt->seal_run = v ? atoi(v) : -1;
	attempt->is_own_answer = !v && !http_message_field(message, "X-Notchlug-Not-Executed");
	v = http_message_field(message, "X-Notchlug-Attempt-Id");
	snprintf(attempt->seal_id, sizeof attempt->seal_id, "%s", v ? v : "");
	v = http_message_field(message, "Content-Type");
	attempt->is_stream = v && !strncmp(v, "text/event-stream", 17);
	v = http_message_field(message, "Retry-After");
	attempt->retry_after = v ? atof(v) : 0;
	v = http_message_field(message, "Keep-Alive");
	v = v ? strstr(v, "timeout=") : NULL;
	attempt->keep_alive_s = v ? atoi(v + 8) : 0;
}

static void on_data(void *ctx, struct conn *conn, const char *data, size_t n)
{
	struct client_attempt *attempt = conn_tag(conn);

	(void)ctx;
	if (!attempt)
		return;
	attempt->last_received_at_ms = run_ms(attempt->clients->run);
	if (!attempt->is_stream)
		return;
	memcpy(arraddnptr(attempt->unparsed, n), data, n);
	for (;;) {
		size_t k, len = arrlenu(attempt->unparsed);
		char *one;

		for (k = 0;
		     k + 1 < len && !(attempt->unparsed[k] == '\n' && attempt->unparsed[k + 1] == '\n'); k++)
			;
		if (k + 1 >= len)
			return;
		one = strndup(attempt->unparsed, k);
		arrdeln(attempt->unparsed, 0, k + 2);
		on_event(attempt, one);
		free(one);
	}
}

static void on_complete(void *ctx, struct conn *conn, struct http_message *message)
{
	struct client_attempt *attempt = conn_tag(conn);

	(void)ctx;
	if (!attempt)
		return;
	attempt->keep_alive = message->keep_alive;
	if (attempt->clients->run->verbose > 1 && attempt->status >= 300)
		run_log(attempt->clients->run, "client: %s got %d: %.200s", attempt->id, attempt->status,
			message->body ? message->body : "");
	client_attempt_over(attempt, ANSWER_COMPLETE);
}

static void on_closed(void *ctx, struct conn *conn, enum conn_end how)
{
	struct clients *all = ctx;
	struct client_attempt *attempt = conn_tag(conn);

	if (!attempt) { /* an idle one */
		client_forget_connection(all, conn);
		if (how == CONN_SURPLUS) {
			struct answer_record answer = { .outcome = ANSWER_UNSOLICITED };

			all->run->figures.unsolicited++;
			checker_record_answer(all->run->checker, run_ms(all->run), &answer);
		}
		return;
	}
	client_forget_connection(all, conn);
	attempt->conn = NULL;
	client_attempt_over(attempt, how == CONN_BAD                         ? ANSWER_GARBLED
				     : attempt->status || how == CONN_CLOSED ? ANSWER_CUT_OFF
									     : ANSWER_NONE);
}

static const struct conn_handlers on_answer = {
	.head = on_head, .data = on_data, .complete = on_complete, .closed = on_closed
};

/* How long a connection may have rested that is taken up again: four fifths of IdleTimeoutMs, where that is
 * known. */
static int64_t max_idle_ms(const struct run *run)
{
	int idle = run->operator? operator_idle_timeout(run->operator) : 0;

	return idle ? idle * 4 / 5 : DEFAULT_IDLE_MS;
}

void client_start_attempt(struct client_request *subject, int fresh)
{
	struct clients *clients = subject->clients;
	struct run *run = clients->run;
	const struct traffic_class *class = &run->sheet->classes[subject->class_id];
	struct client_attempt *attempt;
	struct attempt_record t;
	int64_t now = run_ms(run), remaining_ms = subject->created_at_ms + class->deadline_ms - now;
	struct pooled_conn *pooled = NULL;
	struct conn *conn;
	char head[1400], resume_field[60] = "";
	int machine =
		subject->is_probe ? subject->avoid[0] : client_pick_edge(clients, subject->client, subject),
	    chunked = (subject->output_tokens & 7) == 0;
	size_t n = strlen(subject->body);

	if (remaining_ms <= 0 || machine == NO_MACHINE || clients->closing) {
		if (!subject->is_probe)
			client_second_of(run, subject->created_at_ms)->failed++;
		finish_request(subject);
		return;
	}
	attempt = calloc(1, sizeof *attempt);
	attempt->request = subject;
	attempt->clients = clients;
	attempt->seal_run = -1;
	attempt->is_own_answer = 1;
	attempt->started_at_ms = attempt->last_received_at_ms = now;
	attempt->deadline_at_ms = subject->created_at_ms + class->deadline_ms;
	attempt->machine = machine;
	snprintf(attempt->id, sizeof attempt->id, "%016llx",
		 (unsigned long long)emulator_hash(run->seed, &(uint64_t){ ++clients->last_id }, 8));
	for (int i = arrlen(subject->client->connections) - 1; i >= 0 && !fresh;
	     i--) { /* connections stay with their nodes */
		struct pooled_conn *old = &subject->client->connections[i];

		if (old->busy)
			continue;
		if (now > old->idle_until_ms || now > old->idle_since_ms + max_idle_ms(run)) {
			conn_set_tag(old->conn, NULL);
			conn_close(old->conn, 0);
			arrdelswap(subject->client->connections, i);
		}
	}
	for (int i = 0; i < arrlen(subject->client->connections) && !fresh && !pooled; i++)
		if (!subject->client->connections[i].busy)
			pooled = &subject->client->connections[i];
	if (pooled) {
		pooled->busy = 1;
		attempt->conn = pooled->conn;
		attempt->machine = pooled->machine;
		run->figures.draining_reuses += run->machines[attempt->machine].draining;
		conn_set_handlers(attempt->conn, &on_answer, clients);
	} else {
		attempt->is_new_connection = 1;
		attempt->conn =
		    conn_connect(run->loop, run->machines[machine].front_address, &on_answer, clients);
		if (attempt->conn) {
			struct pooled_conn made = { attempt->conn, machine, 1, 0, 0 };

			arrput(subject->client->connections, made);
		}
	}
	subject->attempts++;
	run->figures.attempts++;
	attempt->resumed_from = subject->last_event_id;
	memset(&t, 0, sizeof t);
	t.id = attempt->id;
	t.subject = subject->path;
	t.method = "POST";
	t.host = subject->host;
	t.path = subject->path;
	t.key = subject->key;
	t.body = emulator_hash(0, subject->body, n);
	t.machine = attempt->machine;
	t.kind = class->resumable ? ATTEMPT_RESUMABLE : ATTEMPT_ONCE;
	t.last_event = subject->last_event_id;
	t.is_probe = subject->is_probe;
	t.expects_stream = 1;
	t.timeout_ms = remaining_ms;
	t.class_id = subject->class_id;
	checker_record_attempt(run->checker, now, &t);
	arrput(clients->in_flight, attempt);
	if (!attempt->conn) {
		client_attempt_over(attempt, ANSWER_NONE);
		return;
	}
	conn = attempt->conn;
	conn_set_tag(conn, attempt);
	if (subject->last_event_id)
		snprintf(resume_field, sizeof resume_field, "Last-Event-Id: %d\r\n", subject->last_event_id);
	snprintf(
	    head, sizeof head,
	    "POST %s HTTP/1.1\r\nHost: %s\r\nX-Notchlug-Attempt-Id: %s\r\n%sX-Notchlug-Model-Name: %s\r\nX-Notchlug-Token-Count: %d,%d\r\n"
	    "X-Notchlug-Prompt-Prefix: %s\r\nX-Notchlug-Deadline-Remaining: %lld\r\nX-Api-Key: %s\r\n",
	    subject->path, subject->host, attempt->id, resume_field, run->sheet->model,
	    subject->prompt_tokens, subject->output_tokens, subject->blocks_header, (long long)remaining_ms,
	    subject->key);
	conn_expect(conn);
	conn_write(conn, head, strlen(head));
	if (chunked) {
		conn_writef(conn, "Transfer-Encoding: chunked\r\n\r\n%zx\r\n", n / 2);
		conn_write(conn, subject->body, n / 2);
		conn_writef(conn, "\r\n%zx\r\n", n - n / 2);
		conn_write(conn, subject->body + n / 2, n - n / 2);
		conn_write(conn, "\r\n0\r\n\r\n", 7);
	} else {
		conn_writef(conn, "Content-Length: %zu\r\n\r\n", n);
		conn_write(conn, subject->body, n);
	}
	attempt->sent = 1;
}
