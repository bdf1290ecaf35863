/* The operator of the emulated platform: sends configurations and target weights, follows redirects, tries
 * again after an unclear answer, and reads back at the end. Every outcome goes to the checker. */
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "operator_internal.h"

enum {
	LOST_AFTER_MS = 30, /* a connection whose answer is lost is closed by then */
	MAX_LOST = 3        /* to one target: what is acknowledged can still be so within AckMs */
};

static void send_attempt(void *ctx);

static void send_next(struct config_operator *config_operator);

static void submission_free(struct submission *submission)
{
	json_object_put(submission->document);
	free(submission->body);
	free(submission->path);
	free(submission);
}

static const char *pick_node(struct config_operator *config_operator, int other)
{
	struct run *run = config_operator->run;
	int n = 0, k;

	for (int i = 0; i < run->machine_count; i++)
		n += run->machines[i].is_core && run->machines[i].is_listed;
	if (!n)
		return "127.0.0.1:1";
	k = (int)(emulator_random(&run->rng) % (uint64_t)n);
	(void)other;
	for (int i = 0; i < run->machine_count; i++)
		if (run->machines[i].is_core && run->machines[i].is_listed && k-- == 0)
			return run->machines[i].control_address;
	return "127.0.0.1:1";
}

static void submission_over(struct submission *submission)
{
	struct config_operator *config_operator = submission->config_operator;

	for (int i = 0; i < arrlen(config_operator->in_flight); i++)
		if (config_operator->in_flight[i] == submission) {
			arrdel(config_operator->in_flight, i);
			break;
		}
	submission_free(submission);
	if (!config_operator->closed)
		send_next(config_operator);
}

static void retry_later(struct submission *submission)
{
	submission->redirects = 0;
	snprintf(submission->address, sizeof submission->address, "%s",
		 pick_node(submission->config_operator, 1));
	loop_after(submission->config_operator->run->loop, ms_us(submission->pause_ms), send_attempt,
		   submission);
	submission->pause_ms = submission->pause_ms < 1000 ? submission->pause_ms * 1.5 : 1000;
}

/* Follow a redirect; 0: its address cannot be used. */
static int follow_redirect(struct submission *submission, const char *location)
{
	const char *host = strstr(location, "://");
	size_t length;

	host = host ? host + 3 : location;
	length = strcspn(host, "/");
	if (!length || length >= sizeof submission->address)
		return 0;
	submission->redirects++;
	memcpy(submission->address, host, length);
	submission->address[length] = 0;
	send_attempt(submission);
	return 1;
}

/* Read again until the core has had time to agree, at most five times as long. */
static void on_read_answer(struct submission *submission, int status, const struct http_message *message)
{
	struct config_operator *config_operator = submission->config_operator;
	struct run *run = config_operator->run;
	int64_t now = run_ms(run), waited_ms = now - submission->started_at_ms;

	if (status == 200) {
		char *text = strndup(message->body ? message->body : "", message->body_length);

		checker_record_read_back(run->checker, now, text);
		free(text);
	}
	if ((status == 200 && waited_ms > run->bounds.contact_ms) || waited_ms > 5 * run->bounds.contact_ms) {
		if (status != 200)
			checker_record_read_back(run->checker, now, NULL);
		config_operator->read_done = 1;
		submission_over(submission);
		return;
	}
	submission->pause_ms = 200;
	retry_later(submission);
}

/* The configuration that was acknowledged is the current one, unless a newer one is already. */
static void adopt_document(struct config_operator *config_operator, const struct submission *submission)
{
	if (!submission->document || submission->version <= config_operator->version)
		return;
	json_object_put(config_operator->current);
	config_operator->current = json_object_get(submission->document);
	config_operator->version = submission->version;
	if (submission->added[0])
		snprintf(config_operator->added, sizeof config_operator->added, "%s", submission->added);
	if (submission->removed[0])
		snprintf(config_operator->removed, sizeof config_operator->removed, "%s",
			 submission->removed);
}

static void on_acknowledgement(struct submission *submission)
{
	struct config_operator *config_operator = submission->config_operator;
	struct run *run = config_operator->run;
	int64_t now = run_ms(run), took_ms = now - submission->started_at_ms;

	snprintf(config_operator->leader, sizeof config_operator->leader, "%s", submission->address);
	if (submission->what == SUBMIT_WEIGHTS) {
		checker_record_target_version(run->checker, now, submission->weights, 1);
		config_operator->weights_acked = submission->weights;
		run_log(run, "weights %d are acknowledged after %lld ms", submission->weights,
			(long long)took_ms);
	} else {
		checker_record_config_outcome(run->checker, now, submission->config_index,
					      CONFIG_OUTCOME_ACKED);
		config_operator->acked_count++;
		if (run->verbose || took_ms > 1000)
			run_log(run, "configuration %lld is acknowledged after %lld ms",
				(long long)submission->version, (long long)took_ms);
		adopt_document(config_operator, submission);
	}
	submission_over(submission);
}

static void on_refusal(struct submission *submission, int status, const struct http_message *message)
{
	struct run *run = submission->config_operator->run;

	if (submission->what == SUBMIT_WEIGHTS) { /* it goes on until it is accepted */
		retry_later(submission);
		return;
	}
	if (!submission->is_unclear) /* else it may have been accepted, and overtaken since */
		checker_record_config_outcome(run->checker, run_ms(run), submission->config_index,
					      CONFIG_OUTCOME_REFUSED);
	if (submission->document && !submission->is_unqueued)
		run_log(run, "configuration %lld on %lld was refused with %d: %.120s",
			(long long)submission->version, (long long)submission->base_version, status,
			message && message->body ? message->body : "");
	submission_over(submission);
}

/* A clear refusal, or the third error that a further attempt may or may not change. */
static int is_refusal(struct submission *submission, int status)
{
	if (status == 400 || status == 409 || status == 412 || status == 413 || status == 422)
		return 1;
	if (status < 400 || status >= 500 || status == 408 || status == 429)
		return 0;
	return ++submission->other_errors >= 3;
}

static void on_answer(void *ctx, int status, const struct http_message *message)
{
	struct submission *submission = ctx;
	struct config_operator *config_operator = submission->config_operator;
	const char *location = http_message_field(message, "Location");

	if (config_operator->run->verbose)
		run_log(config_operator->run, "operator: %s %lld at %s: %d", submission->path,
			(long long)submission->version, submission->address, status);
	if (config_operator->closed) {
		submission_over(submission);
		return;
	}
	if (submission->is_lost) {
		retry_later(submission);
		return;
	}
	if (status == 307 && location && submission->redirects < 2 && follow_redirect(submission, location))
		return;
	if (submission->what == SUBMIT_READ) {
		on_read_answer(submission, status, message);
	} else if (status >= 200 && status < 300) {
		on_acknowledgement(submission);
	} else if (is_refusal(submission, status)) {
		on_refusal(submission, status, message);
	} else {
		if (!status || status >= 500)
			submission->is_unclear = 1;
		retry_later(submission);
	}
}

static void send_attempt(void *ctx)
{
	struct submission *s = ctx;
	int wait = 1000 + (s->body ? (int)(strlen(s->body) / 200) : 0);

	if (s->config_operator->closed) {
		submission_over(s);
		return;
	}
	s->attempts++;
	s->is_lost = s->what == SUBMIT_WEIGHTS && s->loss_count < MAX_LOST &&
		     s->config_operator->loss_ratio > 0 &&
		     emulator_random_unit(&s->config_operator->rng) < s->config_operator->loss_ratio;
	s->loss_count += s->is_lost;
	if (s->is_lost)
		wait = 1 + (int)(emulator_random(&s->config_operator->rng) % LOST_AFTER_MS);
	http_call(s->config_operator->run->loop, s->address, s->what == SUBMIT_READ ? "GET" : "POST", s->path,
		  s->fields, s->body, wait, on_answer, s);
}

void operator_send(struct submission *submission)
{
	struct config_operator *config_operator = submission->config_operator;

	submission->started_at_ms = run_ms(config_operator->run);
	submission->pause_ms = 100;
	snprintf(submission->address, sizeof submission->address, "%s", pick_node(config_operator, 0));
	arrput(config_operator->in_flight, submission);
	send_attempt(submission);
}

static struct submission *new_submission(struct config_operator *config_operator, enum submission_kind what,
					 const char *path, const char *body)
{
	struct submission *s = calloc(1, sizeof *s);

	s->config_operator = config_operator;
	s->what = what;
	s->path = strdup(path);
	s->body = body ? strdup(body) : NULL;
	return s;
}

struct submission *operator_config_submission(struct config_operator *config_operator,
					      struct json_object *full, const char *text, const char *path,
					      int64_t base, int invalid)
{
	struct submission *s = new_submission(config_operator, SUBMIT_CONFIG, path, text);
	struct parsed_config *config =
	    full ? parsed_config_read(json_object_to_json_string_ext(full, JSON_C_TO_STRING_PLAIN)) : NULL;

	s->base_version = base;
	s->version = config ? config->version : 0;
	s->document = full && !invalid ? json_object_get(full) : NULL;
	snprintf(s->fields, sizeof s->fields, "X-Notchlug-Base-Version: %lld\r\n", (long long)base);
	s->config_index = checker_record_config(config_operator->run->checker, run_ms(config_operator->run),
						config, base, invalid);
	return s;
}

void operator_submit_first(struct config_operator *config_operator)
{
	struct json_object *json = operator_first_config(config_operator);
	struct submission *s = operator_config_submission(
	    config_operator, json, json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN),
	    "/configuration/replace", 0, 0);

	json_object_put(json);
	config_operator->next_version = 5;
	operator_send(s);
}

static void send_next(struct config_operator *config_operator)
{
	struct submission *s;
	struct queued_change queued;

	if (!arrlen(config_operator->queue) || arrlen(config_operator->in_flight) ||
	    !config_operator->current)
		return;
	queued = config_operator->queue[0];
	arrdel(config_operator->queue, 0);
	json_object_put(operator_make_change(config_operator, queued.what, &s, queued.modify));
	operator_send(s);
}

void operator_change(struct config_operator *config_operator, enum change what, int modify)
{
	struct queued_change queued = {
		what, modify
	}; /* made when its turn comes, on top of what is current then */

	arrput(config_operator->queue, queued);
	send_next(config_operator);
}

void operator_race(struct config_operator *config_operator)
{
	struct submission *s[2];

	if (!config_operator->current)
		return;
	for (int i = 0; i < 2; i++) {
		json_object_put(
		    operator_make_change(config_operator, i ? CHANGE_TIMEOUT : CHANGE_ROUTE_ON, &s[i], i));
		s[i]->is_unqueued = 1;
	}
	for (int i = 0; i < 2; i++)
		operator_send(s[i]);
}

void operator_weights(struct config_operator *config_operator, int version)
{
	char b[200];
	struct submission *s;

	snprintf(b, sizeof b, "{\"ModelName\":\"%s\",\"ConfigVersion\":%d}",
		 config_operator->run->deployment->model, version);
	s = new_submission(config_operator, SUBMIT_WEIGHTS, "/version-put", b);
	s->weights = version;
	s->version = version;
	if (version > config_operator->run->fleet.newest_version)
		config_operator->run->fleet.newest_version = version;
	checker_record_target_version(config_operator->run->checker, run_ms(config_operator->run), version,
				      0);
	operator_send(s);
}

void operator_read_back(struct config_operator *config_operator)
{
	operator_send(new_submission(config_operator, SUBMIT_READ, "/configuration/retrieve", NULL));
}

int operator_idle(const struct config_operator *config_operator)
{
	return !arrlen(config_operator->in_flight) && !arrlen(config_operator->queue);
}

int operator_acked(const struct config_operator *config_operator)
{
	return config_operator->acked_count;
}

void operator_set_loss(struct config_operator *config_operator, double share)
{
	config_operator->loss_ratio = share;
}

const char *operator_leader(const struct config_operator *config_operator)
{
	return config_operator->leader;
}

int operator_weights_acked(const struct config_operator *config_operator)
{
	return config_operator->weights_acked;
}

int operator_read_done(const struct config_operator *config_operator)
{
	return config_operator->read_done;
}

int operator_idle_timeout(const struct config_operator *config_operator)
{
	struct json_object *idle =
	    config_operator->current
		? document_member(document_member(config_operator->current, "Limits"), "IdleTimeoutMs")
		: NULL;

	return idle ? json_object_get_int(idle) : 0;
}

const char *operator_added(const struct config_operator *config_operator)
{
	return config_operator->added[0] ? config_operator->added : NULL;
}

const char *operator_removed(const struct config_operator *config_operator)
{
	return config_operator->removed[0] ? config_operator->removed : NULL;
}

const char *operator_second_key(const struct config_operator *config_operator)
{
	struct json_object *tenants =
	    config_operator->current ? document_member(config_operator->current, "TenantList") : NULL;

	for (size_t i = 0; tenants && i < json_object_array_length(tenants); i++) {
		struct json_object *keys =
		    document_member(json_object_array_get_idx(tenants, i), "AccessKeys");

		if (json_object_array_length(keys) > 1)
			return json_object_get_string(json_object_array_get_idx(keys, 1));
	}
	return NULL;
}

struct config_operator *operator_open(struct run *run)
{
	struct config_operator *config_operator = calloc(1, sizeof *config_operator);

	config_operator->run = run;
	config_operator->rng = emulator_hash(run->seed, "operator", 8);
	config_operator->weights_acked = 1;
	return config_operator;
}

void operator_close(struct config_operator *config_operator)
{
	int64_t until = run_ms(config_operator->run) + 5000;

	config_operator->closed = 1;
	while (arrlen(config_operator->in_flight) && run_ms(config_operator->run) < until)
		loop_until(config_operator->run->loop, ms_us(20), NULL, NULL);
	arrfree(config_operator->in_flight);
	arrfree(config_operator->queue);
	json_object_put(config_operator->current);
	free(config_operator);
}
