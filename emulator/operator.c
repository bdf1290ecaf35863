/* The operator of the emulated platform: sends configurations and target weights, follows redirects, tries
 * again after an unclear answer, and reads back at the end. Every outcome goes to the checker. */
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "operator_internal.h"

/* The operator: sends configurations and names weights as the pages tell, races, errs, and reads back at the
 * end. */
#include <stdlib.h>

enum {
	LOST_AFTER_MS = 30, /* a connection whose answer is lost is closed by then */
	MAX_LOST = 3        /* answers to one naming: what is acknowledged can still be so within AckMs */
};

static void send_attempt(void *ctx);

static void send_next(struct operator* operator);

static void submission_free(struct submission *submission)
{
	json_object_put(submission->document);
	free(submission->body);
	free(submission->path);
	free(submission);
}

static const char *pick_node(struct operator* operator, int other)
{
	struct run *run = operator->run;
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
	struct operator* operator= submission->operator;

	for (int i = 0; i < arrlen(operator->in_flight); i++)
		if (operator->in_flight[i] == submission) {
			arrdel(operator->in_flight, i);
			break;
		}
	submission_free(submission);
	if (!operator->closed)
		send_next(operator);
}

static void retry_later(struct submission *submission)
{
	submission->redirects = 0;
	snprintf(submission->address, sizeof submission->address, "%s", pick_node(submission->operator, 1));
	loop_after(submission->operator->run->loop, ms_us(submission->pause_ms), send_attempt, submission);
	submission->pause_ms = submission->pause_ms < 1000 ? submission->pause_ms * 1.5 : 1000;
}

static void on_answer(void *ctx, int status, const struct http_message *message)
{
	struct submission *s = ctx;
	struct operator* operator= s->operator;
	struct run *run = operator->run;
	const char *to = http_message_field(message, "Location");
	int64_t now = run_ms(run);

	if (run->verbose)
		run_log(run, "operator: %s %lld at %s: %d", s->path, (long long)s->version, s->address,
			status);
	if (operator->closed) {
		submission_over(s);
		return;
	}
	if (s->is_lost) {
		retry_later(s);
		return;
	}
	if (status == 307 && to && s->redirects < 2) {
		const char *p = strstr(to, "://");
		size_t n;

		p = p ? p + 3 : to;
		n = strcspn(p, "/");
		if (n && n < sizeof s->address) {
			s->redirects++;
			memcpy(s->address, p, n);
			s->address[n] = 0;
			send_attempt(s);
			return;
		}
	}
	if (s->what == SUBMIT_READ) {
		if (status == 200) {
			char *t = strndup(message->body ? message->body : "", message->body_length);

			checker_record_read_back(run->checker, now, t);
			free(t);
		}
		if ((status == 200 && now > s->started_at_ms + run->bounds.contact_ms) ||
		    now > s->started_at_ms + 5 * run->bounds.contact_ms) {
			if (status != 200)
				checker_record_read_back(run->checker, now, NULL);
			operator->read_done = 1;
			submission_over(s);
			return;
		}
		s->pause_ms = 200;
		retry_later(s);
		return;
	}
	if (status >= 200 && status < 300) {
		snprintf(operator->leader, sizeof operator->leader, "%s", s->address);
		if (s->what == SUBMIT_WEIGHTS) {
			checker_record_target_version(run->checker, now, s->weights, 1);
			operator->weights_acked = s->weights;
			run_log(run, "weights %d are acknowledged after %lld ms", s->weights,
				(long long)(now - s->started_at_ms));
		} else {
			checker_record_config_outcome(run->checker, now, s->config_index,
						      CONFIG_OUTCOME_ACKED);
			operator->acked_count++;
			if (run->verbose || now - s->started_at_ms > 1000)
				run_log(run, "configuration %lld is acknowledged after %lld ms",
					(long long)s->version, (long long)(now - s->started_at_ms));
			if (s->document && s->version > operator->version) {
				json_object_put(operator->current);
				operator->current = json_object_get(s->document);
				operator->version = s->version;
				if (s->added[0])
					snprintf(operator->added, sizeof operator->added, "%s", s->added);
				if (s->removed[0])
					snprintf(operator->removed, sizeof operator->removed, "%s",
						 s->removed);
			}
		}
		submission_over(s);
		return;
	}
	if (status == 400 || status == 409 || status == 412 || status == 413 || status == 422 ||
	    (status >= 400 && status < 500 && status != 408 && status != 429 && ++s->other_errors >= 3)) {
		if (s->what == SUBMIT_WEIGHTS) { /* it goes on until it is taken */
			retry_later(s);
			return;
		}
		if (!s->is_unclear) /* else it may have been taken, and overtaken since */
			checker_record_config_outcome(run->checker, now, s->config_index,
						      CONFIG_OUTCOME_REFUSED);
		if (s->document && !s->is_unqueued)
			run_log(run, "configuration %lld on %lld was refused with %d: %.120s",
				(long long)s->version, (long long)s->base_version, status,
				message && message->body ? message->body : "");
		submission_over(s);
		return;
	}
	if (!status || status >= 500)
		s->is_unclear = 1;
	retry_later(s);
}

static void send_attempt(void *ctx)
{
	struct submission *s = ctx;
	int wait = 1000 + (s->body ? (int)(strlen(s->body) / 200) : 0);

	if (s->operator->closed) {
		submission_over(s);
		return;
	}
	s->attempts++;
	s->is_lost =
	    s->what == SUBMIT_WEIGHTS && s->loss_count < MAX_LOST &&
	    s->operator->loss_ratio> 0 && emulator_random_unit(&s->operator->rng) < s->operator->loss_ratio;
	s->loss_count += s->is_lost;
	if (s->is_lost)
		wait = 1 + (int)(emulator_random(&s->operator->rng) % LOST_AFTER_MS);
	http_call(s->operator->run->loop, s->address, s->what == SUBMIT_READ ? "GET" : "POST", s->path,
		  s->fields, s->body, wait, on_answer, s);
}

void operator_send(struct submission *submission)
{
	struct operator* operator= submission->operator;

	submission->started_at_ms = run_ms(operator->run);
	submission->pause_ms = 100;
	snprintf(submission->address, sizeof submission->address, "%s", pick_node(operator, 0));
	arrput(operator->in_flight, submission);
	send_attempt(submission);
}

static struct submission *new_submission(struct operator* operator, enum submission_kind what,
					 const char *path, const char *body)
{
	struct submission *s = calloc(1, sizeof *s);

	s->operator= operator;
	s->what = what;
	s->path = strdup(path);
	s->body = body ? strdup(body) : NULL;
	return s;
}

struct submission *operator_config_submission(struct operator* operator, struct json_object * full,
					      const char *text, const char *path, int64_t base, int invalid)
{
	struct submission *s = new_submission(operator, SUBMIT_CONFIG, path, text);
	struct parsed_config *config =
	    full ? parsed_config_read(json_object_to_json_string_ext(full, JSON_C_TO_STRING_PLAIN)) : NULL;

	s->base_version = base;
	s->version = config ? config->version : 0;
	s->document = full && !invalid ? json_object_get(full) : NULL;
	snprintf(s->fields, sizeof s->fields, "X-Notchlug-Base-Version: %lld\r\n", (long long)base);
	s->config_index =
	    checker_record_config(operator->run->checker, run_ms(operator->run), config, base, invalid);
	return s;
}

void operator_submit_first(struct operator* operator)
{
	struct json_object *json = operator_first_config(operator);
	struct submission *s =
	    operator_config_submission(operator, json,
				       json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN),
				       "/configuration/replace", 0, 0);

	json_object_put(json);
	operator->next_version = 5;
	operator_send(s);
}

static void send_next(struct operator* operator)
{
	struct submission *s;
	struct queued_change queued;

	if (!arrlen(operator->queue) || arrlen(operator->in_flight) || !operator->current)
		return;
	queued = operator->queue[0];
	arrdel(operator->queue, 0);
	json_object_put(operator_make_change(operator, queued.what, &s, queued.modify));
	operator_send(s);
}

void operator_change(struct operator* operator, enum change what, int modify)
{
	struct queued_change queued = { what,
					modify }; /* made when its turn comes, on top of what stands then */

	arrput(operator->queue, queued);
	send_next(operator);
}

void operator_race(struct operator* operator)
{
	struct submission *s[2];

	if (!operator->current)
		return;
	for (int i = 0; i < 2; i++) {
		json_object_put(
		    operator_make_change(operator, i ? CHANGE_TIMEOUT : CHANGE_ROUTE_ON, &s[i], i));
		s[i]->is_unqueued = 1;
	}
	for (int i = 0; i < 2; i++)
		operator_send(s[i]);
}

void operator_weights(struct operator* operator, int version)
{
	char b[200];
	struct submission *s;

	snprintf(b, sizeof b, "{\"ModelName\":\"%s\",\"ConfigVersion\":%d}", operator->run->sheet->model,
		 version);
	s = new_submission(operator, SUBMIT_WEIGHTS, "/version-put", b);
	s->weights = version;
	s->version = version;
	if (version > operator->run->fleet.newest_version)
		operator->run->fleet.newest_version = version;
	checker_record_target_version(operator->run->checker, run_ms(operator->run), version, 0);
	operator_send(s);
}

void operator_read_back(struct operator* operator)
{
	operator_send(new_submission(operator, SUBMIT_READ, "/configuration/retrieve", NULL));
}

int operator_idle(const struct operator* operator)
{
	return !arrlen(operator->in_flight) && !arrlen(operator->queue);
}

int operator_acked(const struct operator* operator)
{
	return operator->acked_count;
}

void operator_set_loss(struct operator* operator, double share)
{
	operator->loss_ratio = share;
}

const char *operator_leader(const struct operator* operator)
{
	return operator->leader;
}

int operator_weights_acked(const struct operator* operator)
{
	return operator->weights_acked;
}

int operator_read_done(const struct operator* operator)
{
	return operator->read_done;
}

int operator_idle_timeout(const struct operator* operator)
{
	struct json_object *idle = operator->current ? document_member(document_member(operator->current, "Limits"),
								   "IdleTimeoutMs")
						     : NULL;

	return idle ? json_object_get_int(idle) : 0;
}

const char *operator_added(const struct operator* operator)
{
	return operator->added[0] ? operator->added : NULL;
}

const char *operator_removed(const struct operator* operator)
{
	return operator->removed[0] ? operator->removed : NULL;
}

const char *operator_second_key(const struct operator* operator)
{
	struct json_object *tenants = operator->current ? document_member(operator->current, "TenantList") : NULL;

	for (size_t i = 0; tenants && i < json_object_array_length(tenants); i++) {
		struct json_object *keys = document_member(json_object_array_get_idx(tenants, i), "AccessKeys");

		if (json_object_array_length(keys) > 1)
			return json_object_get_string(json_object_array_get_idx(keys, 1));
	}
	return NULL;
}

struct operator* operator_open(struct run *run)
{
	struct operator* operator= calloc(1, sizeof *operator);

	operator->run = run;
	operator->rng = emulator_hash(run->seed, "operator", 8);
	operator->weights_acked = 1;
	return operator;
}

/* What is under way ends by itself within its second. */
void operator_close(struct operator* operator)
{
	int64_t until = run_ms(operator->run) + 5000;

	operator->closed = 1;
	while (arrlen(operator->in_flight) && run_ms(operator->run) < until)
		loop_until(operator->run->loop, ms_us(20), NULL, NULL);
	arrfree(operator->in_flight);
	arrfree(operator->queue);
	json_object_put(operator->current);
	free(operator);
}
