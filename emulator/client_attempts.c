/* Attempts of the clients: sending a request over a pooled or a new connection, reading its answer, and
 * deciding whether it is tried again. Every answer goes to the checker. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "clients_internal.h"

static const struct conn_handlers on_answer;

static void finish_request(struct client_request *request);

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

static int is_repeatable(const struct run *run, const struct client_request *request)
{
	return run->deployment->classes[request->class_id].resumable;
}

static void retry_now(void *ctx)
{
	struct client_request *request = ctx;

	for (int i = 0; i < arrlen(request->clients->retrying); i++)
		if (request->clients->retrying[i] == request) {
			arrdelswap(request->clients->retrying, i);
			break;
		}
	client_start_attempt(request, 1);
}

/* Hand the answer of an attempt to the checker. */
static void record_answer(const struct client_attempt *attempt, enum answer_outcome how, int64_t now)
{
	struct answer_record answer;

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
	checker_record_answer(attempt->clients->run->checker, now, &answer);
}

/* Put the attempt's connection back into its client's pool, or close it. */
static void release_connection(struct client_attempt *attempt, enum answer_outcome how, int64_t now)
{
	struct clients *clients = attempt->clients;
	struct pooled_conn *pooled =
	    attempt->conn ? pooled_conn_of(attempt->request->client, attempt->conn) : NULL;

	if (!attempt->conn)
		return;
	if (how != ANSWER_COMPLETE || !attempt->keep_alive || !pooled) {
		client_forget_connection(clients, attempt->conn);
		conn_close(attempt->conn, how == ANSWER_ABANDONED);
		return;
	}
	pooled->busy = 0;
	pooled->idle_since_ms = now;
	pooled->idle_until_ms =
	    attempt->keep_alive_s > 0 ? now + attempt->keep_alive_s * 1000 - 300 : INT64_MAX;
	conn_set_handlers(attempt->conn, &on_answer, clients); /* nothing is due: what comes now is surplus */
	conn_set_tag(attempt->conn, NULL);
}

/* A status that promises that the request was not executed. */
static int is_refusal_status(int status)
{
	return status == 429 || status == 503 || status == 408 || status == 421;
}

/* A status that no further attempt changes. */
static int is_final_status(int status)
{
	return status == 400 || status == 401 || status == 404 || status == 413 || status == 431;
}

static int is_success(const struct client_attempt *attempt, enum answer_outcome how)
{
	return how == ANSWER_COMPLETE && attempt->status >= 200 && attempt->status < 300;
}

/* Whether a client tries again after this attempt: it has time and attempts left, and the request either was
 * not executed or may be executed twice. */
static int may_retry(const struct client_attempt *attempt, enum answer_outcome how, int64_t remaining_ms)
{
	const struct client_request *request = attempt->request;
	const struct run *run = attempt->clients->run;
	const struct traffic_class *class = &run->deployment->classes[request->class_id];
	int repeatable = is_repeatable(run, request);

	if (request->attempts > class->retries || remaining_ms <= 50 || attempt->clients->closing)
		return 0;
	if (how == ANSWER_ABANDONED)
		return repeatable;
	if (is_success(attempt, how) || is_final_status(attempt->status))
		return 0;
	if (repeatable)
		return 1;
	if (how == ANSWER_NONE)
		return !attempt->sent || attempt->is_new_connection; /* else it may have been read */
	return is_refusal_status(attempt->status) && how == ANSWER_COMPLETE;
}

/* What a successful request earned: all of its value in time, more than half of the late share after an early
 * refusal. */
static double earned_value(const struct client_request *request, const struct traffic_class *class,
			   int timely)
{
	if (!timely)
		return request->value * class->late_value / class->value;
	if (request->was_refused && request->refused_after_ms <= class->latency_target_ms / 4 &&
	    request->attempts > 1)
		return request->value * (1 + class->late_value / class->value) / 2;
	return request->value;
}

static void count_success(struct run *run, const struct client_request *request)
{
	const struct traffic_class *class = &run->deployment->classes[request->class_id];
	int64_t first = request->first_event_at_ms - request->created_at_ms;
	int timely = request->first_event_at_ms && first <= class->latency_target_ms &&
		     request->longest_gap_ms <= class->gap_target_ms && !request->transit_late;

	run->figures.completed[request->class_id]++;
	client_second_of(run, request->created_at_ms)->completed++;
	run->figures.late[request->class_id] += !timely;
	run->figures.value_earned += earned_value(request, class, timely);
	histogram_add(&run->figures.longest_gap_ms[request->class_id], request->longest_gap_ms);
}

static void count_failure(struct run *run, const struct client_request *request, int is_refusal)
{
	if (is_refusal) {
		client_second_of(run, request->created_at_ms)->refused++;
		run->figures.refused++;
	} else {
		client_second_of(run, request->created_at_ms)->failed++;
	}
}

/* Wait as long as the answer asks, but at most a third of the time that is left, and try again. */
static void schedule_retry(const struct client_attempt *attempt, int is_refusal, int64_t remaining_ms)
{
	struct clients *clients = attempt->clients;
	double wait = is_refusal && attempt->retry_after > 0 ? attempt->retry_after * 1000 : 20;

	if (wait > (double)remaining_ms / 3)
		wait = (double)remaining_ms / 3;
	arrput(clients->retrying, attempt->request);
	loop_after(clients->run->loop, ms_us(wait), retry_now, attempt->request);
}

static void count_outcome(struct figures *figures, enum answer_outcome how)
{
	if (how == ANSWER_CUT_OFF || how == ANSWER_GARBLED)
		figures->cut_off++;
	if (how == ANSWER_NONE)
		figures->no_answer++;
}

void client_attempt_over(struct client_attempt *attempt, enum answer_outcome how)
{
	struct client_request *request = attempt->request;
	struct run *run = attempt->clients->run;
	const struct traffic_class *class = &run->deployment->classes[request->class_id];
	int64_t now = run_ms(run), remaining_ms = request->created_at_ms + class->deadline_ms - now;
	int is_refusal = is_refusal_status(attempt->status), success = is_success(attempt, how), retry;

	if (attempt->done)
		return;
	attempt->done = 1;
	record_answer(attempt, how, now);
	release_connection(attempt, how, now);
	if (run->verbose > 1 && !success)
		run_log(run, "client: attempt %s of %s at %s: %d, outcome %d, %lld ms, events %d",
			attempt->id, class->name, run->machines[attempt->machine].name, attempt->status,
			(int)how, (long long)(now - attempt->started_at_ms), (int)arrlen(attempt->events));
	count_outcome(&run->figures, how);
	if (request->is_probe) {
		attempt_free(attempt);
		free(request);
		return;
	}
	if (arrlen(attempt->events))
		request->last_event_id = arrlast(attempt->events).id;
	retry = may_retry(attempt, how, remaining_ms);
	if (is_refusal && how == ANSWER_COMPLETE && !request->was_refused) {
		request->was_refused = 1;
		request->refused_after_ms = now - request->created_at_ms;
	}
	if (success)
		count_success(run, request);
	else if (!retry)
		count_failure(run, request, is_refusal);
	if (request->avoid_count < 4)
		request->avoid[request->avoid_count++] = attempt->machine;
	if (retry)
		schedule_retry(attempt, is_refusal, remaining_ms);
	else
		finish_request(request);
	attempt_free(attempt);
}

static void finish_request(struct client_request *request)
{
	free(request);
}

static void on_event(struct client_attempt *attempt, char *text)
{
	struct client_request *request = attempt->request;
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
	if (!request->first_event_at_ms) {
		request->first_event_at_ms = now;
		if (!request->is_probe) {
			histogram_add(&run->figures.first_event_ms[request->class_id],
				      now - request->created_at_ms);
			histogram_add(&client_second_of(run, request->created_at_ms)->first_event,
				      now - request->created_at_ms);
		}
	} else if (now - request->last_event_at_ms > request->longest_gap_ms) {
		request->longest_gap_ms = now - request->last_event_at_ms;
	}
	request->last_event_at_ms = now;
	if (made) {
		int64_t late = (loop_us() - made) / 1000;

		histogram_add(&run->figures.transit_ms, late);
		request->transit_late |= late > run->bounds.transit_ms;
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

	if (!attempt) { /* an idle connection */
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

/* How long a connection may have been idle that is reused: four fifths of IdleTimeoutMs, where that is known.
 */
static int64_t max_idle_ms(const struct run *run)
{
	int idle = run->config_operator ? operator_idle_timeout(run->config_operator) : 0;

	return idle ? idle * 4 / 5 : DEFAULT_IDLE_MS;
}

static struct client_attempt *attempt_new(struct client_request *request, int machine, int64_t now)
{
	struct clients *clients = request->clients;
	struct run *run = clients->run;
	struct client_attempt *attempt = calloc(1, sizeof *attempt);

	attempt->request = request;
	attempt->clients = clients;
	attempt->seal_run = -1;
	attempt->is_own_answer = 1;
	attempt->started_at_ms = attempt->last_received_at_ms = now;
	attempt->deadline_at_ms =
	    request->created_at_ms + run->deployment->classes[request->class_id].deadline_ms;
	attempt->machine = machine;
	clients->last_id++;
	snprintf(attempt->id, sizeof attempt->id, "%016llx",
		 (unsigned long long)emulator_hash(run->seed, &clients->last_id, sizeof clients->last_id));
	return attempt;
}

/* Close the client's connections that have been idle for too long. */
static void close_idle_connections(struct run *run, struct client *client, int64_t now)
{
	for (int i = (int)arrlen(client->connections) - 1; i >= 0; i--) {
		struct pooled_conn *old = &client->connections[i];

		if (old->busy)
			continue;
		if (now > old->idle_until_ms || now > old->idle_since_ms + max_idle_ms(run)) {
			conn_set_tag(old->conn, NULL);
			conn_close(old->conn, 0);
			arrdelswap(client->connections, i);
		}
	}
}

/* Take an idle connection of the client for the attempt, with its machine; 0: there is none. */
static int reuse_connection(struct client_attempt *attempt)
{
	struct client *client = attempt->request->client;
	struct run *run = attempt->clients->run;

	for (int i = 0; i < arrlen(client->connections); i++) {
		struct pooled_conn *pooled = &client->connections[i];

		if (pooled->busy)
			continue;
		pooled->busy = 1;
		attempt->conn = pooled->conn;
		attempt->machine = pooled->machine;
		run->figures.draining_reuses += run->machines[attempt->machine].draining;
		conn_set_handlers(attempt->conn, &on_answer, attempt->clients);
		return 1;
	}
	return 0;
}

static void open_connection(struct client_attempt *attempt)
{
	struct run *run = attempt->clients->run;

	attempt->is_new_connection = 1;
	attempt->conn = conn_connect(run->loop, run->machines[attempt->machine].front_address, &on_answer,
				     attempt->clients);
	if (attempt->conn) {
		struct pooled_conn made = { attempt->conn, attempt->machine, 1, 0, 0 };

		arrput(attempt->request->client->connections, made);
	}
}

static void record_attempt(const struct client_attempt *attempt, int64_t now, int64_t remaining_ms)
{
	const struct client_request *request = attempt->request;
	const struct run *run = attempt->clients->run;
	struct attempt_record record;

	memset(&record, 0, sizeof record);
	record.id = attempt->id;
	record.subject = request->path;
	record.method = "POST";
	record.host = request->host;
	record.path = request->path;
	record.key = request->key;
	record.body = emulator_hash(0, request->body, strlen(request->body));
	record.machine = attempt->machine;
	record.kind =
	    run->deployment->classes[request->class_id].resumable ? ATTEMPT_RESUMABLE : ATTEMPT_ONCE;
	record.last_event = request->last_event_id;
	record.is_probe = request->is_probe;
	record.expects_stream = 1;
	record.timeout_ms = remaining_ms;
	record.class_id = request->class_id;
	checker_record_attempt(run->checker, now, &record);
}

static void write_request(struct client_attempt *attempt, int64_t remaining_ms)
{
	const struct client_request *request = attempt->request;
	struct conn *conn = attempt->conn;
	size_t length = strlen(request->body);
	char head[1400], resume_field[60] = "";

	if (request->last_event_id)
		snprintf(resume_field, sizeof resume_field, "Last-Event-Id: %d\r\n", request->last_event_id);
	snprintf(
	    head, sizeof head,
	    "POST %s HTTP/1.1\r\nHost: %s\r\nX-Notchlug-Attempt-Id: %s\r\n%sX-Notchlug-Model-Name: %s\r\nX-Notchlug-Token-Count: %d,%d\r\n"
	    "X-Notchlug-Prompt-Prefix: %s\r\nX-Notchlug-Deadline-Remaining: %lld\r\nX-Api-Key: %s\r\n",
	    request->path, request->host, attempt->id, resume_field, attempt->clients->run->deployment->model,
	    request->prompt_tokens, request->output_tokens, request->blocks_header, (long long)remaining_ms,
	    request->key);
	conn_expect(conn);
	conn_write(conn, head, strlen(head));
	if ((request->output_tokens & 7) == 0) {
		conn_writef(conn, "Transfer-Encoding: chunked\r\n\r\n%zx\r\n", length / 2);
		conn_write(conn, request->body, length / 2);
		conn_writef(conn, "\r\n%zx\r\n", length - length / 2);
		conn_write(conn, request->body + length / 2, length - length / 2);
		conn_write(conn, "\r\n0\r\n\r\n", 7);
	} else {
		conn_writef(conn, "Content-Length: %zu\r\n\r\n", length);
		conn_write(conn, request->body, length);
	}
}

void client_start_attempt(struct client_request *request, int fresh)
{
	struct clients *clients = request->clients;
	struct run *run = clients->run;
	struct client_attempt *attempt;
	int64_t now = run_ms(run);
	int64_t remaining_ms =
	    request->created_at_ms + run->deployment->classes[request->class_id].deadline_ms - now;
	int machine =
	    request->is_probe ? request->avoid[0] : client_pick_edge(clients, request->client, request);

	if (remaining_ms <= 0 || machine == NO_MACHINE || clients->closing) {
		if (!request->is_probe)
			client_second_of(run, request->created_at_ms)->failed++;
		finish_request(request);
		return;
	}
	attempt = attempt_new(request, machine, now);
	if (!fresh)
		close_idle_connections(run, request->client, now);
	if (fresh || !reuse_connection(attempt))
		open_connection(attempt);
	request->attempts++;
	run->figures.attempts++;
	record_attempt(attempt, now, remaining_ms);
	arrput(clients->in_flight, attempt);
	if (!attempt->conn) {
		client_attempt_over(attempt, ANSWER_NONE);
		return;
	}
	conn_set_tag(attempt->conn, attempt);
	write_request(attempt, remaining_ms);
	attempt->sent = 1;
}
