/* The platform emulator, tried by itself: the checker catches a violation of each rule and lets its
 * fixed twin pass; servers, store and list speak as the pages say. */
#include <fcntl.h>
#include <sched.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "containers.h"
#include "final_table.h"
#include "platform_run.h"
#include "program_names.h"

/* ---- the checker ---- */

enum { EDGES = 3, CORES = 3 };
#define ROUTE(name, prefix, service)                                                    \
	"{\"Name\":\"" name "\",\"HostName\":\"h.example\",\"PathPrefix\":\"" prefix    \
	"\",\"RouteType\":\"streaming\","                                               \
	"\"TimeoutMs\":8000,\"TargetMs\":400,\"Priority\":0,\"ServiceName\":\"" service \
	"\",\"MaxAttempts\":2,\"PublicAccess\":false,\"Resumable\":true}"
#define TENANTS(keys, iso)                                                             \
	"\"TenantList\":[{\"Name\":\"t1\",\"AccessKeys\":[" keys "],\"Isolated\":" iso \
	"},{\"Name\":\"t2\",\"AccessKeys\":[\"k2\"],\"Isolated\":false}]"
#define SERVICES "\"ServiceList\":[{\"Name\":\"lm\"},{\"Name\":\"lm2\"}]"
#define CFG(version, routes, tenants) \
	"{\"ConfigVersion\":" version ",\"RouteList\":[" routes "]," SERVICES "," tenants "}"
#define FIRST CFG("1", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false"))

static const struct attempt_record a_try = {
	.id = "x1",
	.subject = "s1",
	.method = "POST",
	.host = "h.example",
	.path = "/a/1",
	.key = "k1",
	.body = 7,
	.machine = 0,
	.timeout_ms = 8000,
	.expects_stream = 1,
	.kind = ATTEMPT_RESUMABLE,
};

static int cfg_at(struct checker *checker, int64_t t, int64_t acked, int64_t base, const char *s)
{
	struct parsed_config *config = parsed_config_read(s);
	int n = checker_record_config(checker, t, config, base, parsed_config_invalid(config, base) != NULL);

	if (acked >= 0)
		checker_record_config_outcome(checker, acked, n, CONFIG_OUTCOME_ACKED);
	return n;
}

static struct checker *world(void)
{
	struct checker *checker = checker_open(&default_timing_bounds);

	for (int i = 0; i < EDGES + CORES; i++)
		checker_record_machine(checker, 0, i, i >= EDGES, CALM, 1);
	cfg_at(checker, 100, 300, 0, FIRST);
	checker_record_target_version(checker, 0, 1, 1);
	return checker;
}

static int arrives(struct checker *j, int64_t t, const struct attempt_record *attempt, const char *service,
		   const char *instance)
{
	struct arrival_record a = { .id = attempt->id,
				    .method = attempt->method,
				    .host = attempt->host,
				    .path = attempt->path,
				    .tenant = "t1",
				    .service = service,
				    .instance = instance,
				    .body = attempt->body,
				    .last_event = attempt->last_event };

	return checker_record_arrival(j, t, &a);
}

static int runs(struct checker *checker, int64_t t, const struct attempt_record *attempt, const char *service)
{
	int run = arrives(checker, t, attempt, service, "i-1");

	checker_record_start(checker, t + 20, run, 1, NULL, 0);
	return run;
}

static struct answer_record answer_of(const struct attempt_record *x, int run,
				      const struct stream_event *event, int n)
{
	return (struct answer_record){ .id = x->id,
				       .seal_id = x->id,
				       .status = 200,
				       .seal_run = run,
				       .outcome = ANSWER_COMPLETE,
				       .events = event,
				       .event_count = n,
				       .is_stream = 1 };
}

/* A try that is served whole: two pieces. */
static int served(struct checker *checker, int64_t t, const struct attempt_record *attempt,
		  const char *service)
{
	int run;
	struct stream_event event[2];
	struct answer_record r;

	checker_record_attempt(checker, t, attempt);
	run = runs(checker, t + 5, attempt, service);
	checker_record_end(checker, t + 60, run, 1, 200, 0, 2);
	event[0] = (struct stream_event){ 1, run };
	event[1] = (struct stream_event){ 2, run };
	r = answer_of(attempt, run, event, 2);
	checker_record_answer(checker, t + 70, &r);
	return run;
}

static void answered(struct checker *checker, int64_t t, const struct attempt_record *attempt, int status,
		     int own)
{
	struct answer_record r = { .id = attempt->id,
				   .status = status,
				   .seal_run = -1,
				   .is_own_answer = own,
				   .outcome = ANSWER_COMPLETE };

	checker_record_answer(checker, t, &r);
}

static struct attempt_record has_quota_row(const char *id)
{
	struct attempt_record attempt = a_try;

	attempt.id = id;
	return attempt;
}

/* each: with bad set the rule is broken, without it the same story is fixed */

static void no_seal(struct checker *checker, int bad)
{
	struct stream_event event[2];
	struct answer_record r;
	int run;

	checker_record_attempt(checker, 5000, &a_try);
	run = runs(checker, 5005, &a_try, "lm");
	checker_record_end(checker, 5060, run, 1, 200, 0, 2);
	event[0] = (struct stream_event){ 1, run }, event[1] = (struct stream_event){ 2, run };
	r = answer_of(&a_try, bad ? -1 : run, event, 2);
	checker_record_answer(checker, 5070, &r);
}

static void other_answer(struct checker *checker, int bad)
{
	struct attempt_record attempt = has_quota_row("x2");
	struct stream_event event[1];
	struct answer_record r;
	int run[2];

	checker_record_attempt(checker, 5000, &a_try);
	checker_record_attempt(checker, 5000, &attempt);
	run[0] = runs(checker, 5005, &a_try, "lm");
	run[1] = runs(checker, 5005, &attempt, "lm");
	checker_record_end(checker, 5060, run[0], 1, 200, 0, 1);
	checker_record_end(checker, 5060, run[1], 1, 200, 0, 1);
	event[0] = (struct stream_event){ 1, run[bad] };
	r = answer_of(&a_try, run[bad], event, 1);
	r.seal_id = bad ? "x2" : "x1";
	checker_record_answer(checker, 5070, &r);
}

static void other_body(struct checker *checker, int bad)
{
	struct answer_record r;
	int run;

	checker_record_attempt(checker, 5000, &a_try);
	run = runs(checker, 5005, &a_try, "lm");
	checker_record_end(checker, 5060, run, 1, 200, 99, 0);
	r = answer_of(&a_try, run, NULL, 0);
	r.is_stream = 0;
	r.body = bad ? 98 : 99;
	checker_record_answer(checker, 5070, &r);
}

static void success_of_a_failure(struct checker *checker, int bad)
{
	struct answer_record r;
	int run;

	checker_record_attempt(checker, 5000, &a_try);
	run = runs(checker, 5005, &a_try, "lm");
	checker_record_end(checker, 5060, run, 1, 500, 99, 0);
	r = answer_of(&a_try, run, NULL, 0);
	r.is_stream = 0;
	r.body = 99;
	r.status = bad ? 200 : 500;
	checker_record_answer(checker, 5070, &r);
}

static void garbage(struct checker *checker, int bad)
{
	struct answer_record r;
	int run;

	checker_record_attempt(checker, 5000, &a_try);
	run = runs(checker, 5005, &a_try, "lm");
	checker_record_end(checker, 5060, run, bad ? 1 : 0, 200, 0, 1); /* 0: the server broke off itself */
	r = answer_of(&a_try, run, NULL, 0);
	r.status = 0;
	r.outcome = ANSWER_GARBLED;
	checker_record_answer(checker, 5070, &r);
}

static void stray(struct checker *checker, int bad)
{
	struct answer_record r = { .id = "x1", .outcome = ANSWER_UNSOLICITED };

	served(checker, 5000, &a_try, "lm");
	if (bad)
		checker_record_answer(checker, 5100, &r);
}

static void broke_but_whole(struct checker *checker, int bad)
{
	struct answer_record r;
	int run;

	checker_record_attempt(checker, 5000, &a_try);
	run = runs(checker, 5005, &a_try, "lm");
	checker_record_end(checker, 5060, run, 0, 200, 99, 0);
	r = answer_of(&a_try, run, NULL, 0);
	r.is_stream = 0;
	r.outcome = bad ? ANSWER_COMPLETE : ANSWER_CUT_OFF;
	checker_record_answer(checker, 5070, &r);
}

static void unasked(struct checker *checker, int bad)
{
	struct attempt_record attempt = has_quota_row(bad ? "nobody" : "x1");

	checker_record_attempt(checker, 5000, &a_try);
	checker_record_end(checker, 5060, runs(checker, 5005, &attempt, "lm"), 1, 200, 0, 2);
}

static void changed_path(struct checker *checker, int bad)
{
	struct attempt_record attempt = a_try;

	checker_record_attempt(checker, 5000, &a_try);
	if (bad)
		attempt.path = "/a/2";
	runs(checker, 5005, &attempt, "lm");
}

static void changed_body(struct checker *checker, int bad)
{
	struct attempt_record attempt = a_try;

	checker_record_attempt(checker, 5000, &a_try);
	attempt.body += (uint64_t)bad;
	runs(checker, 5005, &attempt, "lm");
}

static void other_tenant(struct checker *checker, int bad)
{
	struct attempt_record attempt = a_try;

	attempt.key = bad ? "k2" : "k1"; /* runs as t1 */
	checker_record_attempt(checker, 5000, &attempt);
	runs(checker, 5005, &attempt, "lm");
}

static void twice(struct checker *checker, int bad)
{
	struct attempt_record attempt = a_try;

	attempt.kind = bad ? ATTEMPT_ONCE : ATTEMPT_IDEMPOTENT;
	checker_record_attempt(checker, 5000, &attempt);
	runs(checker, 5005, &attempt, "lm");
	runs(checker, 5105, &attempt, "lm");
}

static void refused(struct checker *checker, int bad)
{
	struct attempt_record attempt = a_try;

	attempt.kind = ATTEMPT_ONCE;
	checker_record_attempt(checker, 5000, &attempt);
	answered(checker, 5010, &attempt, 503, 1);
	if (bad)
		runs(checker, 5105, &attempt, "lm");
	else
		arrives(checker, 5105, &attempt, "lm", "i-1");
}

static void denied(struct checker *checker, int bad)
{
	for (int i = 0; i < 6; i++) {
		struct attempt_record attempt = a_try;
		char id[20];

		snprintf(id, sizeof id, "d%d", i);
		attempt.id = id;
		checker_record_attempt(checker, 5000 + i, &attempt);
		answered(checker, 5010 + i, &attempt, bad || i < 5 ? 400 : 429, 1);
	}
}

static void route(struct checker *j, int bad)
{
	checker_record_attempt(j, 5000, &a_try);
	runs(j, 5005, &a_try, bad ? "lm2" : "lm");
}

static void unknown_key(struct checker *checker, int bad)
{
	struct attempt_record attempt = a_try;

	attempt.key = bad ? "k9" : "k1";
	checker_record_attempt(checker, 5000, &attempt);
	runs(checker, 5005, &attempt, "lm");
}

static void old_version(struct checker *checker, int bad)
{
	cfg_at(checker, 5000, 5200, 1, CFG("3", ROUTE("a", "/a/", "lm2"), TENANTS("\"k1\"", "false")));
	served(checker, 5200 + 2000 + (bad ? 10 : -10), &a_try, "lm");
}

static void old_denial(struct checker *checker, int bad)
{
	struct attempt_record attempt = a_try;

	attempt.path = "/b/1";
	cfg_at(checker, 5000, 5200, 1,
	       CFG("3", ROUTE("a", "/a/", "lm") "," ROUTE("b", "/b/", "lm"), TENANTS("\"k1\"", "false")));
	checker_record_attempt(checker, 5200 + 2000 + (bad ? 10 : -10), &attempt);
	answered(checker, 7300, &attempt, 404, 1);
}

static void old_while_out_of_touch(struct checker *checker, int bad)
{
	cfg_at(checker, 5000, 5200, 1, CFG("3", ROUTE("a", "/a/", "lm2"), TENANTS("\"k1\"", "false")));
	if (!bad) {
		checker_record_machine(checker, 6000, 0, 0, UNPLANNED, 0);
		checker_record_machine(checker, 6500, 0, 0, CALM, 1);
	}
	served(checker, 7300, &a_try, "lm");
}

static void goes_back(struct checker *checker, int bad)
{
	struct attempt_record attempt = has_quota_row("x2");

	cfg_at(checker, 5000, 5200, 1, CFG("3", ROUTE("a", "/a/", "lm2"), TENANTS("\"k1\"", "false")));
	served(checker, 5300, &a_try, "lm2");
	served(checker, bad ? 5325 + 260 : 5325 + 240, &attempt, "lm");
}

static void refused_in_force(struct checker *checker, int bad)
{
	int n = cfg_at(checker, 5000, -1, 1, CFG("3", ROUTE("a", "/a/", "lm2"), TENANTS("\"k1\"", "false")));

	checker_record_config_outcome(checker, 5200, n, CONFIG_OUTCOME_REFUSED);
	served(checker, 8000, &a_try, bad ? "lm2" : "lm");
}

static void invalid_acked(struct checker *checker, int bad)
{
	int n = cfg_at(checker, 5000, -1, 1,
		       bad ? CFG("3", ROUTE("a", "/a/", "nowhere"), TENANTS("\"k1\"", "false"))
			   : CFG("3", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false")));

	checker_record_config_outcome(checker, 5200, n, CONFIG_OUTCOME_ACKED);
}

static void both_acked(struct checker *checker, int bad)
{
	int n;

	cfg_at(checker, 5000, 5100, 1, CFG("3", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false")));
	n = cfg_at(checker, 5000, -1, 1, CFG("4", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false")));
	checker_record_config_outcome(checker, 5100, n, bad ? CONFIG_OUTCOME_ACKED : CONFIG_OUTCOME_REFUSED);
}

static void read_old(struct checker *checker, int bad)
{
	cfg_at(checker, 5000, 5100, 1, CFG("3", ROUTE("b", "/b/", "lm"), TENANTS("\"k1\"", "false")));
	checker_record_read_back(checker, 20000,
				 bad ? FIRST : CFG("3", ROUTE("b", "/b/", "lm"), TENANTS("\"k1\"", "false")));
}

/* Its base was never in force. */
static void built_on_nothing(struct checker *checker, int bad)
{
	cfg_at(checker, 5000, 5100, 1, CFG("3", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false")));
	cfg_at(checker, 6000, 6100, bad ? 4 : 3,
	       CFG("5", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false")));
}

/* It was acknowledged before the one that it builds on was sent. */
static void acknowledged_too_early(struct checker *checker, int bad)
{
	int64_t first = bad ? 6000 : 5000, second = bad ? 5000 : 6000;

	cfg_at(checker, first, first + 100, 1, CFG("3", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false")));
	cfg_at(checker, second, second + 100, 3,
	       CFG("5", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false")));
}

static void read_other(struct checker *checker, int bad)
{
	cfg_at(checker, 5000, 5100, 1, CFG("3", ROUTE("b", "/b/", "lm"), TENANTS("\"k1\"", "false")));
	checker_record_read_back(checker, 20000,
				 CFG("3", ROUTE("b", "/b/", "lm"), TENANTS("\"k1\"", "false")));
	if (bad)
		checker_record_read_back(checker, 20000,
					 CFG("3", ROUTE("b", "/c/", "lm"), TENANTS("\"k1\"", "false")));
}

static void read_nothing(struct checker *checker, int bad)
{
	checker_record_read_back(checker, 20000, bad ? NULL : FIRST);
}

static void lost_after_fault(struct checker *checker, int bad)
{
	cfg_at(checker, 5000, 5100, 1, CFG("3", ROUTE("b", "/b/", "lm"), TENANTS("\"k1\"", "false")));
	checker_set_final_fault(checker, 5200, 6000);
	checker_record_read_back(checker, 30000,
				 bad ? FIRST : CFG("3", ROUTE("b", "/b/", "lm"), TENANTS("\"k1\"", "false")));
}

static void added_routes(struct checker *checker, int bad)
{
	char *big = malloc(20000);
	size_t n = (size_t)sprintf(big, "{\"ConfigVersion\":3,\"RouteList\":[" ROUTE("a", "/a/", "lm"));

	for (int i = 0; i < 25; i++)
		n += (size_t)sprintf(
		    big + n,
		    ",{\"Name\":\"n%d\",\"HostName\":\"h.example\",\"PathPrefix\":\"/n%d/\",\"TimeoutMs\":8000,\"ServiceName\":\"lm\"}",
		    i, i);
	sprintf(big + n, "]," SERVICES "," TENANTS("\"k1\"", "false") "}");
	cfg_at(checker, 4000, 4100, 1, big);
	free(big);
	for (int i = 0; i < 50; i++) {
		struct attempt_record attempt = a_try;
		char id[20], path[20];

		snprintf(id, sizeof id, "a%d", i);
		snprintf(path, sizeof path, i % 2 ? "/n%d/1" : "/a/%d", i / 2);
		attempt.id = id;
		attempt.path = path;
		if (i % 2 && bad && i > 10) {
			checker_record_attempt(checker, 7000 + i, &attempt);
			answered(checker, 7010 + i, &attempt, 503, 1);
		} else {
			served(checker, 7000 + i, &attempt, "lm");
		}
	}
}

static void revoked(struct checker *checker, int bad)
{
	cfg_at(checker, 5000, 5100, 1, CFG("3", ROUTE("a", "/a/", "lm"), TENANTS("\"k3\"", "false")));
	checker_record_machine(checker, 5050, 0, 0, UNPLANNED,
			       1); /* also on machines that are not in touch */
	checker_record_machine(checker, 9000, 0, 0, UNPLANNED, 1);
	served(checker, 5100 + 5000 + (bad ? 10 : -10), &a_try, "lm");
}

static void drain(struct checker *checker, int bad)
{
	checker_record_listing(checker, 5000, "i-1", LISTED_DRAINING);
	checker_record_attempt(checker, 7900, &a_try);
	arrives(checker, 8000 + (bad ? 10 : -10), &a_try, "lm", "i-1");
}

static void drain_421(struct checker *checker, int bad)
{
	checker_record_listing(checker, 5000, "i-1", LISTED_REMOVED);
	checker_record_attempt(checker, 7900, &a_try);
	checker_record_rejection(checker, arrives(checker, 8010, &a_try, "lm", "i-1"), bad ? 503 : 421);
}

static void lost(struct checker *checker, int bad)
{
	struct answer_record r = { .id = "x1", .seal_run = -1, .outcome = ANSWER_CUT_OFF };

	checker_record_attempt(checker, 10000, &a_try);
	runs(checker, 10010, &a_try, "lm");
	checker_record_machine(checker, 10100, 0, 0, bad ? PLANNED : UNPLANNED, 0);
	checker_record_answer(checker, 10300, &r);
}

static void lost_unread(struct checker *checker, int bad)
{
	struct answer_record r = {
		.id = "x1", .seal_run = -1, .outcome = bad ? ANSWER_CUT_OFF : ANSWER_NONE
	}; /* a reset: it was not read */

	checker_record_attempt(checker, 10000, &a_try);
	checker_record_machine(checker, 10100, 0, 0, PLANNED, 0);
	checker_record_answer(checker, 10300, &r);
}

static void lost_late_work(struct checker *checker, int bad)
{
	struct answer_record r = { .id = "x1", .seal_run = -1, .outcome = ANSWER_CUT_OFF };
	int run;

	checker_record_attempt(checker, 10000, &a_try);
	run = runs(checker, 10010, &a_try, "lm");
	checker_record_machine(checker, 10100, 0, 0, PLANNED, 0);
	if (bad)
		checker_record_end(checker, 11000, run, 1, 200, 0, 2);
	checker_record_answer(checker, 15000,
			      &r); /* in the second half of GraceS; excused while its server still works */
}

/* ---- LOST, clause by clause: bad breaks the rule, the fixed twin is just inside it ---- */

enum { STOPPED_AT = 10100, RELOADED_AT = 12000, CFG_SENT_AT = 20000, CFG_ACKED_AT = 20100 };

static void stops(struct checker *checker, int machine)
{
	checker_record_machine(checker, STOPPED_AT, machine, machine >= EDGES, PLANNED, 0);
}

/* A reset without a byte of an answer; read: the machine's process had read the whole request. */
static void is_reset(struct checker *checker, int64_t t, const char *id, int read)
{
	struct answer_record r = { .id = id, .seal_run = -1, .outcome = ANSWER_NONE, .was_read = read };

	checker_record_answer(checker, t, &r);
}

/* Passed on to a server that is at work on it when the connection is reset. */
static void reset_at_work(struct checker *checker, int64_t t, int64_t end)
{
	checker_record_attempt(checker, t, &a_try);
	runs(checker, t + 10, &a_try, "lm");
	is_reset(checker, end, "x1", 1);
}

static void configured(struct checker *checker)
{
	cfg_at(checker, CFG_SENT_AT, CFG_ACKED_AT, 1,
	       CFG("5", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false")));
}

static void lost_passed_on(struct checker *checker, int bad)
{
	stops(checker, 0);
	if (bad)
		reset_at_work(checker, 10200,
			      10250); /* within LossSlackMs: it has been passed on all the same */
	else
		served(checker, 10200, &a_try, "lm");
}

static void lost_after_slack(struct checker *checker, int bad)
{
	stops(checker, 0);
	checker_record_attempt(checker, 10200, &a_try);
	is_reset(checker, 10400 + bad, "x1", 1);
}

static void lost_read(struct checker *checker, int bad)
{
	stops(checker, 0);
	checker_record_attempt(checker, 10200, &a_try);
	is_reset(checker, 10500, "x1", bad); /* unread bytes are no whole request */
}

static void lost_after_grace(struct checker *checker, int bad)
{
	int64_t end = STOPPED_AT + default_timing_bounds.grace_ms + 1000 + !bad;

	stops(checker, 0);
	checker_record_attempt(checker, end - 500, &a_try);
	is_reset(checker, end, "x1", 1);
}

static void lost_before_the_stop(struct checker *checker, int bad)
{
	checker_record_attempt(checker, STOPPED_AT - 500, &a_try);
	stops(checker, 0);
	is_reset(checker, STOPPED_AT - !bad, "x1", 1);
}

static void lost_beside_another_stop(struct checker *checker, int bad)
{
	stops(checker, bad ? 0 : 1);
	reset_at_work(checker, 10200, 10700);
}

static void lost_sent_after_reload(struct checker *checker, int bad)
{
	int64_t t = RELOADED_AT + default_timing_bounds.config_apply_ms + !bad;

	checker_record_reload(checker, RELOADED_AT, 0);
	reset_at_work(checker, t, t + 300);
}

static void lost_cut_after_reload(struct checker *checker, int bad)
{
	checker_record_reload(checker, RELOADED_AT, 0);
	reset_at_work(checker, RELOADED_AT - 1000, RELOADED_AT + bad);
}

static void lost_beside_another_reload(struct checker *checker, int bad)
{
	checker_record_reload(checker, RELOADED_AT, bad ? 0 : 1);
	reset_at_work(checker, RELOADED_AT + 100, RELOADED_AT + 500);
}

static void lost_from_the_sending(struct checker *checker, int bad)
{
	configured(checker);
	reset_at_work(checker, CFG_SENT_AT - 500, CFG_SENT_AT - !bad);
}

static void lost_after_the_acknowledgement(struct checker *checker, int bad)
{
	int64_t end = CFG_ACKED_AT + default_timing_bounds.config_apply_ms + 1000 + !bad;

	configured(checker);
	reset_at_work(checker, end - 500, end);
}

/* One with no clear answer may be in force for the rest of the day; one that was refused never is. */
static void lost_beside_a_refused_one(struct checker *checker, int bad)
{
	int n = cfg_at(checker, CFG_SENT_AT, -1, 1,
		       CFG("5", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false")));

	if (!bad)
		checker_record_config_outcome(checker, CFG_ACKED_AT, n, CONFIG_OUTCOME_REFUSED);
	reset_at_work(checker, 30000, 30500);
}

static void lost_beside_an_invalid_one(struct checker *checker, int bad)
{
	const char *service = bad ? CFG("5", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false"))
				  : CFG("5", ROUTE("a", "/a/", "nowhere"), TENANTS("\"k1\"", "false"));

	cfg_at(checker, CFG_SENT_AT, -1, 1, service);
	reset_at_work(checker, 30000, 30500);
}

/* Beside the configuration 40 requests, of them 12 or 13 cut; at other times 10, of them 1 cut. */
static void lost_over_three_times_as_often(struct checker *checker, int bad)
{
	char id[20];

	configured(checker);
	for (int i = 0; i < 50; i++) {
		int beside = i < 40, cut = beside ? i < 12 + bad : i == 40;
		int64_t t = beside ? CFG_SENT_AT + 10 * i : 10000 + 10 * i;
		struct attempt_record attempt;

		snprintf(id, sizeof id, "s%d", i);
		attempt = has_quota_row(id);
		if (!cut) {
			served(checker, t, &attempt, "lm");
			continue;
		}
		checker_record_attempt(checker, t, &attempt);
		runs(checker, t + 5, &attempt, "lm");
		is_reset(checker, t + 100, id, 1);
	}
}

static void lost_before_seven_tenths(struct checker *checker, int bad)
{
	configured(checker);
	reset_at_work(checker, CFG_SENT_AT - 5000, CFG_SENT_AT - 5000 + 5600 - bad); /* of 8000 */
}

/* Seven tenths of its time excuse nothing beside a SIGHUP. */
static void lost_late_beside_reload(struct checker *checker, int bad)
{
	configured(checker);
	if (bad)
		checker_record_reload(checker, CFG_SENT_AT, 0);
	reset_at_work(checker, CFG_SENT_AT - 5000, CFG_SENT_AT + 600);
}

static void lost_in_calm(struct checker *checker, int bad)
{
	int64_t sent_at = 10200, from = sent_at - default_timing_bounds.contact_ms;

	checker_record_machine(checker, from - bad, 0, 0, UNPLANNED, 1);
	stops(checker, 0);
	reset_at_work(checker, sent_at, sent_at + 500);
}

static void lost_in_a_calm_core(struct checker *checker, int bad)
{
	int64_t sent_at = 10200, from = sent_at - default_timing_bounds.contact_ms;

	checker_record_machine(checker, from - bad, EDGES, 1, UNPLANNED, 1);
	stops(checker, 0);
	reset_at_work(checker, sent_at, sent_at + 500);
}

static void lost_not_broken_off(struct checker *checker, int bad)
{
	int run;

	stops(checker, 0);
	checker_record_attempt(checker, 10200, &a_try);
	run = runs(checker, 10210, &a_try, "lm");
	checker_record_end(checker, 10300, run, bad, 200, 0,
			   2); /* 1: the whole answer went out; 0: the server broke off */
	is_reset(checker, 10400, "x1", 1);
}

/* A server broke off, another took the request on; only the last one counts, and not one that turned it away.
 */
static void lost_at_a_second_server(struct checker *checker, int bad)
{
	int run;

	stops(checker, 0);
	checker_record_attempt(checker, 10200, &a_try);
	run = runs(checker, 10210, &a_try, "lm");
	checker_record_end(checker, 10300, run, 0, 200, 0, 1);
	run = arrives(checker, 10310, &a_try, "lm", "i-2");
	if (!bad)
		checker_record_rejection(checker, run, 503);
	is_reset(checker, 10600, "x1", 1);
}

static void lost_before_the_deadline(struct checker *checker, int bad)
{
	struct attempt_record attempt = a_try;

	attempt.timeout_ms = 1000;
	stops(checker, 0);
	checker_record_attempt(checker, 10200, &attempt);
	is_reset(checker, 11200 - bad, "x1", 1);
}

static void lost_before_the_timeout(struct checker *checker, int bad)
{
	cfg_at(
	    checker, 5000, 5100, 1,
	    CFG("5",
		"{\"Name\":\"a\",\"HostName\":\"h.example\",\"PathPrefix\":\"/a/\",\"RouteType\":\"streaming\",\"TimeoutMs\":1000,"
		"\"ServiceName\":\"lm\",\"MaxAttempts\":2}",
		TENANTS("\"k1\"", "false")));
	stops(checker, 0);
	checker_record_attempt(checker, 10200, &a_try);
	is_reset(checker, 11200 - bad, "x1", 1);
}

/* The server is at work past GraceS; the request was sent 3 s after the SIGTERM at the latest, or later. */
static void lost_sent_long_after_the_stop(struct checker *checker, int bad)
{
	stops(checker, 0);
	reset_at_work(checker, STOPPED_AT + 3000 + bad, STOPPED_AT + 7000);
}

static void lost_in_the_first_half(struct checker *checker, int bad)
{
	stops(checker, 0);
	reset_at_work(checker, STOPPED_AT + 100, STOPPED_AT + default_timing_bounds.grace_ms / 2 - bad);
}

static void lost_done_in_the_first_half(struct checker *checker, int bad)
{
	int run;

	stops(checker, 0);
	checker_record_attempt(checker, STOPPED_AT + 100, &a_try);
	run = runs(checker, STOPPED_AT + 110, &a_try, "lm");
	checker_record_end(checker, STOPPED_AT + default_timing_bounds.grace_ms / 2 - bad, run, 1, 200, 0, 2);
	is_reset(checker, STOPPED_AT + default_timing_bounds.grace_ms / 2 + 500, "x1", 1);
}

static void budget(struct checker *checker, int bad)
{
	for (int i = 0; i < 100; i++) { /* 0.2 x 100 + 58 = 78 */
		struct attempt_record attempt = a_try;
		char id[20];

		snprintf(id, sizeof id, "b%d", i);
		attempt.id = id;
		checker_record_attempt(checker, 5000 + i, &attempt);
		arrives(checker, 5001 + i, &attempt, "lm", "i-1");
		if (i < 78 + bad)
			arrives(checker, 5200 + i, &attempt, "lm", "i-1");
	}
}

static void order_gap(struct checker *checker, int bad)
{
	struct stream_event event[3];
	struct answer_record r;
	int run;

	checker_record_attempt(checker, 5000, &a_try);
	run = runs(checker, 5005, &a_try, "lm");
	checker_record_end(checker, 5060, run, 1, 200, 0, 3);
	for (int i = 0; i < 3; i++)
		event[i] = (struct stream_event){ i + 1, run };
	if (bad)
		event[1] = event[2];
	r = answer_of(&a_try, run, event, 3 - bad);
	checker_record_answer(checker, 5070, &r);
}

static void order_double(struct checker *checker, int bad)
{
	struct stream_event event[3];
	struct answer_record r;
	int run;

	checker_record_attempt(checker, 5000, &a_try);
	run = runs(checker, 5005, &a_try, "lm");
	checker_record_end(checker, 5060, run, 1, 200, 0, 2);
	event[0] = event[1] = (struct stream_event){ 1, run };
	event[2] = (struct stream_event){ 2, run };
	r = answer_of(&a_try, run, event + !bad, 2 + bad);
	checker_record_answer(checker, 5070, &r);
}

static void order_short(struct checker *checker, int bad)
{
	struct stream_event event[1];
	struct answer_record r;
	int run;

	checker_record_attempt(checker, 5000, &a_try);
	run = runs(checker, 5005, &a_try, "lm");
	checker_record_end(checker, 5060, run, 0, 200, 0, 1);
	event[0] = (struct stream_event){ 1, run };
	r = answer_of(&a_try, run, event, 1);
	r.outcome = bad ? ANSWER_COMPLETE : ANSWER_CUT_OFF;
	checker_record_answer(checker, 5070, &r);
}

static void order_joined(struct checker *checker, int bad)
{
	struct attempt_record again = a_try;
	struct stream_event event[2];
	struct answer_record r;
	int run[2];

	checker_record_attempt(checker, 5000, &a_try);
	run[0] = runs(checker, 5005, &a_try, "lm");
	checker_record_end(checker, 5060, run[0], 0, 200, 0, 1);
	again.last_event = bad ? 0 : 1; /* the second run goes on where the first was cut */
	run[1] = runs(checker, 5100, &again, "lm");
	checker_record_end(checker, 5160, run[1], 1, 200, 0, 2);
	event[0] = (struct stream_event){ 1, run[0] };
	event[1] = (struct stream_event){ 2, run[1] };
	r = answer_of(&a_try, run[0], event, 2);
	checker_record_answer(checker, 5170, &r);
}

static void order_joined_once(struct checker *checker, int bad)
{
	struct attempt_record attempt = a_try, again;
	struct stream_event event[2];
	struct answer_record r;
	int run[2];

	attempt.kind = bad ? ATTEMPT_ONCE : ATTEMPT_RESUMABLE;
	checker_record_attempt(checker, 5000, &attempt);
	run[0] = runs(checker, 5005, &attempt, "lm");
	checker_record_end(checker, 5060, run[0], 0, 200, 0, 1);
	again = attempt;
	again.last_event = 1;
	run[1] = runs(checker, 5100, &again, "lm");
	checker_record_end(checker, 5160, run[1], 1, 200, 0, 2);
	event[0] = (struct stream_event){ 1, run[0] };
	event[1] = (struct stream_event){ 2, run[1] };
	r = answer_of(&attempt, run[0], event, 2);
	checker_record_answer(checker, 5170, &r);
}

static void orders(struct checker *checker, int64_t t, const char *holder, int64_t fence, int status,
		   int thawed)
{
	struct load_command_record r = {
		.instance = "i-1", .lease_owner = holder, .fence = fence, .status = status, .thawed = thawed
	};

	checker_record_load_command(checker, t, &r);
}

static void one_fence(struct checker *checker, int bad)
{
	orders(checker, 5000, "a", 4, 202, 0);
	orders(checker, 9000, "b", bad ? 4 : 5, 202, 0);
}

static void one_lease(struct checker *checker, int bad)
{
	orders(checker, 5000, "a", 4, 202, 0);
	orders(checker, bad ? 7990 : 8010, "b", 5, 202, 0);
}

static void one_thawed(struct checker *checker, int bad)
{
	orders(checker, 5000, "a", 4, 202, 0);
	orders(checker, 6000, "b", 5, bad ? 202 : 412, 0);
	orders(checker, 6100, "c", 5, 202, 1);
}

static void stale(struct checker *checker, int bad)
{
	struct reused_block record = { bad ? 1 : 2, "t1" };

	checker_record_attempt(checker, 5000, &a_try);
	checker_record_start(checker, 5020, arrives(checker, 5005, &a_try, "lm", "i-1"), 2, &record, 1);
}

static void wall(struct checker *checker, int bad)
{
	struct reused_block record = { 1, "t2" };

	cfg_at(checker, 4000, 4100, 1, CFG("3", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "true")));
	checker_record_attempt(checker, 6000, &a_try);
	checker_record_start(checker, bad ? 6110 : 6090, arrives(checker, 6005, &a_try, "lm", "i-1"), 1,
			     &record, 1); /* in force 2 s after it was acknowledged */
}

static void version(struct checker *checker, int bad)
{
	checker_record_target_version(checker, 5000, 2, 0);
	checker_record_target_version(checker, 5100, 2, 1);
	checker_record_attempt(checker, 20000, &a_try);
	checker_record_start(checker, 20100 + (bad ? 10 : -10), arrives(checker, 20005, &a_try, "lm", "i-1"),
			     1, NULL, 0);
}

/* The machine that takes a_try sends it at `sent`; it begins on `weights` at `begun`. */
static void begins_on(struct checker *checker, int64_t sent, int64_t begun, int weights)
{
	checker_record_attempt(checker, sent, &a_try);
	checker_record_start(checker, begun, arrives(checker, sent + 5, &a_try, "lm", "i-1"), weights, NULL,
			     0);
}

/* The sender is killed between the send and the beginning: it was in touch as it sent. */
static void version_sender_gone(struct checker *checker, int bad)
{
	checker_record_target_version(checker, 5100, 2, 1);
	checker_record_machine(checker, 20050, a_try.machine, 0, UNPLANNED, 0);
	begins_on(checker, 20000, 20100 + (bad ? 10 : -10), 1);
}

/* The sender was thawed too lately as it sent, though it is in touch again at the beginning. */
static void version_sender_thawed(struct checker *checker, int bad)
{
	checker_record_target_version(checker, 5100, 2, 1);
	checker_record_machine(checker, 20000, a_try.machine, 0, UNPLANNED, 0);
	checker_record_machine(checker, 21000, a_try.machine, 0, UNPLANNED, 1);
	begins_on(checker, 24000 + (bad ? 1 : -10), 24500, 1);
}

/* The time counts over one settled stretch, which begins ContactMs after the last fault of the core. */
static void version_unsettled(struct checker *checker, int bad)
{
	checker_record_target_version(checker, 2000, 2, 1);
	checker_record_machine(checker, 6000, EDGES, 1, UNPLANNED, 0);
	checker_record_machine(checker, 7000, EDGES, 1, UNPLANNED, 1);
	begins_on(checker, 24900, 25000 + (bad ? 10 : -10), 1);
}

/* Later target versions don't put off what an earlier one asks. */
static void version_named_again(struct checker *checker, int bad)
{
	for (int weights = 2; weights < 14; weights++)
		checker_record_target_version(checker, 5100 + 1000 * (weights - 2), weights, 1);
	begins_on(checker, 20000, 20100 + (bad ? 10 : -10), 1);
}

/* Weights that are not the newest may be used for VersionMs from the target version that followed them. */
static void version_between(struct checker *checker, int bad)
{
	checker_record_target_version(checker, 3000, 2, 1);
	checker_record_target_version(checker, 5100, 3, 1);
	checker_record_target_version(checker, 9000, 4, 1);
	begins_on(checker, 20000, 20100 + (bad ? 10 : -10), 2);
}

/* A new target version that nobody acknowledged asks for nothing. */
static void version_not_acked(struct checker *checker, int bad)
{
	checker_record_machine(checker, 5050, EDGES, 1, UNPLANNED,
			       0); /* nor has the core to acknowledge it */
	checker_record_target_version(checker, 5100, 2, 0);
	if (bad)
		checker_record_target_version(checker, 5200, 2, 1);
	begins_on(checker, 23200, 23300, 1);
}

static void version_at_stake(void **state)
{
	struct checker *checker = world();

	(void)state;
	assert_int_equal(checker_version_rule_exercised(checker), 0);
	begins_on(checker, 5000, 5010, 1);
	checker_record_target_version(checker, 5100, 2, 1);
	assert_int_equal(checker_version_rule_exercised(checker), 0);
	begins_on(checker, 20000, 20100, 2); /* just at the bound */
	assert_int_equal(checker_version_rule_exercised(checker), 0);
	begins_on(checker, 20000, 20101, 2);
	assert_int_equal(checker_version_rule_exercised(checker), 1);
	checker_close(checker);
}

static void acks(struct checker *checker, int bad)
{
	cfg_at(checker, 5000, 9003 + (bad ? 1 : 0), 1,
	       CFG("3", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false")));
}

static void acks_unsettled(struct checker *checker, int bad)
{
	cfg_at(checker, 5000, -1, 1, CFG("3", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false")));
	if (!bad)
		checker_record_machine(checker, 6000, EDGES, 1, UNPLANNED, 0);
}

static void acks_weights(struct checker *checker, int bad)
{
	checker_record_target_version(checker, 5000, 2, 0);
	checker_record_target_version(checker, bad ? 9010 : 8990, 2, 1);
}

static void recover(struct checker *checker, int bad)
{
	for (int i = 0; i < 10; i++) {
		struct attempt_record attempt = a_try;
		char id[20];

		snprintf(id, sizeof id, "q%d", i);
		attempt.id = id;
		served(checker, 5000 + i, &attempt, "lm");
	}
	checker_set_final_fault(checker, 6000, 7000);
	for (int i = 0; i < 10; i++) {
		struct attempt_record attempt = a_try;
		char id[20];

		snprintf(id, sizeof id, "r%d", i);
		attempt.id = id;
		if (i < 3 - bad) {
			served(checker, 19010 + i, &attempt, "lm");
		} else {
			checker_record_attempt(checker, 19010 + i, &attempt);
			answered(checker, 19020 + i, &attempt, 503, 1);
		}
	}
}

static void own_ends(struct checker *checker, int bad)
{
	for (int i = 0; i < 3; i++) {
		checker_record_unexpected_exit(checker, 5000, 0);
		if (i < 2 + bad)
			checker_record_unexpected_exit(checker, 5000, 1);
	}
}

static void starved(struct checker *checker, int bad)
{
	for (int i = 0; i < 80; i++) {
		struct attempt_record attempt = a_try;
		char id[20];

		snprintf(id, sizeof id, "v%d", i);
		attempt.id = id;
		attempt.key = i % 2 ? "k1" : "k2";
		checker_record_attempt(checker, 5000 + i, &attempt);
		if (i % 2 || (!bad && i % 4 == 0)) {
			struct arrival_record a = { .id = id,
						    .method = attempt.method,
						    .host = attempt.host,
						    .path = attempt.path,
						    .tenant = i % 2 ? "t1" : "t2",
						    .service = "lm",
						    .instance = "i-1",
						    .body = attempt.body };
			int run = checker_record_arrival(checker, 5005 + i, &a);
			struct stream_event event[1] = { { 1, run } };
			struct answer_record r = answer_of(&attempt, run, event, 1);

			checker_record_start(checker, 5010 + i, run, 1, NULL, 0);
			checker_record_end(checker, 5060 + i, run, 1, 200, 0, 1);
			checker_record_answer(checker, 5070 + i, &r);
		} else {
			answered(checker, 5020 + i, &attempt, 503, 1);
		}
	}
}

/* rule: the one it breaks, and behind it what the same story breaks besides */
static const struct {
	const char *name, *rule;
	void (*fn)(struct checker *j, int bad);
} stories[] = {
	{ "no seal", "MIXED", no_seal },
	{ "another's answer", "MIXED", other_answer },
	{ "another body", "MIXED", other_body },
	{ "a success of a failure", "MIXED", success_of_a_failure },
	{ "garbage", "MIXED", garbage },
	{ "stray", "MIXED", stray },
	{ "broken off, but whole", "MIXED", broke_but_whole },
	{ "unasked", "UNASKED", unasked },
	{ "another path", "UNASKED", changed_path },
	{ "another body runs", "UNASKED", changed_body },
	{ "another tenant", "UNASKED", other_tenant },
	{ "twice", "TWICE", twice },
	{ "refused, but ran", "REFUSED", refused },
	{ "denied", "DENIED", denied },
	{ "wrong service", "ROUTE", route },
	{ "unknown key", "ROUTE", unknown_key },
	{ "old version runs", "CONFIG", old_version },
	{ "old version denies", "CONFIG", old_denial },
	{ "out of touch", "CONFIG", old_while_out_of_touch },
	{ "goes back", "CONFIG", goes_back },
	{ "refused in force", "CONFIG", refused_in_force },
	{ "invalid acknowledged", "CONFIG", invalid_acked },
	{ "both acknowledged", "CONFIG", both_acked },
	{ "read old", "CONFIG", read_old },
	{ "built on nothing", "CONFIG", built_on_nothing },
	{ "acknowledged too early", "CONFIG", acknowledged_too_early },
	{ "read another", "CONFIG", read_other },
	{ "read nothing", "CONFIG", read_nothing },
	{ "lost after the fault", "LOST", lost_after_fault },
	{ "added routes", "CONFIG", added_routes },
	{ "revoked", "CONFIG", revoked },
	{ "drain", "DRAIN", drain },
	{ "drain 421", "DRAIN", drain_421 },
	{ "lost", "LOST", lost },
	{ "lost, unread", "LOST", lost_unread },
	{ "lost, still at work", "LOST", lost_late_work },
	{ "lost: passed on", "LOST", lost_passed_on },
	{ "lost: after LossSlackMs", "LOST", lost_after_slack },
	{ "lost: read or not", "LOST", lost_read },
	{ "lost: 1 s after GraceS", "LOST", lost_after_grace },
	{ "lost: before the SIGTERM", "LOST", lost_before_the_stop },
	{ "lost: another's SIGTERM", "LOST", lost_beside_another_stop },
	{ "lost: sent after a SIGHUP", "LOST", lost_sent_after_reload },
	{ "lost: cut after a SIGHUP", "LOST", lost_cut_after_reload },
	{ "lost: another's SIGHUP", "LOST", lost_beside_another_reload },
	{ "lost: from a configuration's sending", "LOST", lost_from_the_sending },
	{ "lost: after its acknowledgement", "LOST", lost_after_the_acknowledgement },
	{ "lost: a refused one", "LOST ACKS", lost_beside_a_refused_one },
	{ "lost: an invalid one", "LOST ACKS", lost_beside_an_invalid_one },
	{ "lost: over three times as often", "LOST", lost_over_three_times_as_often },
	{ "lost: seven tenths", "LOST", lost_before_seven_tenths },
	{ "lost: seven tenths and SIGHUP", "LOST", lost_late_beside_reload },
	{ "lost: calm machine", "LOST", lost_in_calm },
	{ "lost: calm core", "LOST", lost_in_a_calm_core },
	{ "lost: the server broke off", "LOST", lost_not_broken_off },
	{ "lost: a second server", "LOST", lost_at_a_second_server },
	{ "lost: the deadline", "LOST", lost_before_the_deadline },
	{ "lost: the route's timeout", "LOST", lost_before_the_timeout },
	{ "lost: 3 s after the SIGTERM", "LOST", lost_sent_long_after_the_stop },
	{ "lost: first half of GraceS", "LOST", lost_in_the_first_half },
	{ "lost: done in the first half", "LOST", lost_done_in_the_first_half },
	{ "budget", "BUDGET", budget },
	{ "a gap", "ORDER", order_gap },
	{ "a piece twice", "ORDER", order_double },
	{ "ends early", "ORDER", order_short },
	{ "joined", "ORDER", order_joined },
	{ "joined, once only", "ORDER TWICE", order_joined_once },
	{ "one fence", "ONE", one_fence },
	{ "one lease", "ONE", one_lease },
	{ "one thawed", "ONE", one_thawed },
	{ "stale", "STALE", stale },
	{ "wall", "WALL", wall },
	{ "version", "VERSION", version },
	{ "version: the sender is gone", "VERSION", version_sender_gone },
	{ "version: the sender was thawed", "VERSION", version_sender_thawed },
	{ "version: the core was not settled", "VERSION", version_unsettled },
	{ "version: named again and again", "VERSION", version_named_again },
	{ "version: weights between", "VERSION", version_between },
	{ "version: not acknowledged", "VERSION", version_not_acked },
	{ "acks", "ACKS", acks },
	{ "acks, unsettled", "ACKS", acks_unsettled },
	{ "acks of weights", "ACKS", acks_weights },
	{ "recover", "RECOVER", recover },
	{ "own ends", "FAULT", own_ends },
	{ "starved", "STARVED", starved },
};

static void the_checker_catches_each_violation(void **state)
{
	int wrong = 0;

	(void)state;
	for (size_t i = 0; i < sizeof stories / sizeof *stories; i++)
		for (int bad = 0; bad < 2; bad++) {
			struct checker *checker = world();
			const struct violation *violation;
			int n, hit = 0;

			stories[i].fn(checker, bad);
			n = checker_run(checker, 40000, &violation);
			for (int k = 0; k < n; k++) {
				if (!bad || !strstr(stories[i].rule, violation[k].rule)) {
					print_error("%s, %s: %s %s\n", stories[i].name,
						    bad ? "broken" : "mended", violation[k].rule,
						    violation[k].text);
					wrong++;
				}
				hit +=
				    !strncmp(stories[i].rule, violation[k].rule, strlen(violation[k].rule));
			}
			if (bad && !hit) {
				print_error("%s: the breach of %s is not seen\n", stories[i].name,
					    stories[i].rule);
				wrong++;
			}
			checker_close(checker);
		}
	assert_int_equal(wrong, 0);
}

static void configurations_are_told_apart(void **state)
{
	static const struct {
		const char *text;
		int64_t base;
		int bad;
	} c[] = {
		{ FIRST, 0, 0 },
		{ FIRST, 1, 1 },                                  /* not above */
		{ "{\"ConfigVersion\":2,\"RouteList\":[", 1, 1 }, /* cut short */
		{ CFG("2", ROUTE("a", "/a/", "nowhere"), TENANTS("\"k1\"", "false")), 1, 1 },
		{ CFG("2", ROUTE("a", "/a/", "lm") "," ROUTE("b", "/a/", "lm"), TENANTS("\"k1\"", "false")),
		  1, 1 },
		{ CFG("2", ROUTE("a", "/a/", "lm") "," ROUTE("b", "/b/", "lm"), TENANTS("\"k1\"", "false")),
		  1, 0 },
		{ CFG("2", ROUTE("a", "/a/", "lm"), TENANTS("\"k2\"", "false")), 1, 1 }, /* a shared key */
		{ CFG("2",
		      "{\"Name\":\"a\",\"HostName\":\"h\",\"PathPrefix\":\"/a/\",\"TimeoutMs\":0,\"ServiceName\":\"lm\"}",
		      TENANTS("", "false")),
		  1, 1 },
		{ CFG("2",
		      "{\"Name\":\"a\",\"HostName\":\"h\",\"PathPrefix\":\"/a/\",\"TimeoutMs\":9,\"TrafficSplit\":[{\"ServiceName\":\"lm\",\"ShareWeight\":0}]}",
		      TENANTS("", "false")),
		  1, 1 },
	};

	(void)state;
	for (size_t i = 0; i < sizeof c / sizeof *c; i++) {
		struct parsed_config *config = parsed_config_read(c[i].text);

		if ((parsed_config_invalid(config, c[i].base) != NULL) != c[i].bad)
			fail_msg("configuration %zu is judged wrongly", i);
		parsed_config_free(config);
	}
}

/* Whatever planned changes follow on each other, what comes out is valid, and the lists for modify name what
 * was touched. */
static void planned_changes_are_valid(void **state)
{
	static const char text[] =
	    "{\"ConfigVersion\":1,\"RouteList\":[" ROUTE("a", "/a/", "lm") "," ROUTE("b", "/b/", "lm") "," ROUTE(
		"c", "/c/",
		"lm") "," ROUTE("r-big-0", "/big0/",
				"lm") "],\"ServiceList\":[{\"Name\":\"lm\",\"MaxConnections\":9}],\"Limits\":"
				      "{\"IdleTimeoutMs\":15000}," TENANTS("\"k1\"", "false") "}";
	struct json_object *config = json_tokener_parse(text),
			   *plain = json_tokener_parse("{\"Name\":\"t3\",\"AccessKeys\":[\"k3\"]}");

	(void)state;
	json_object_array_add(json_object_object_get(config, "TenantList"), plain);
	for (uint64_t turn = 0; turn < 100; turn++) {
		enum change what = (enum change)(CHANGE_BIG_OFF + turn % (CHANGE_COUNT - CHANGE_BIG_OFF));
		struct json_object *upsert = json_object_new_object(), *removed = json_object_new_object();
		struct parsed_config *c;

		planned_change(config, upsert, removed, what, turn);
		json_object_object_add(config, "ConfigVersion", json_object_new_int64((int64_t)turn + 2));
		c = parsed_config_read(json_object_to_json_string(config));
		assert_non_null(c);
		assert_null(parsed_config_invalid(c, (int64_t)turn + 1));
		assert_int_equal(arrlen(c->routes), 3 + (turn < 1 && what != CHANGE_BIG_OFF));
		if (what != CHANGE_LIMITS)
			assert_int_equal(
			    json_object_object_length(upsert) + json_object_object_length(removed), 1);
		parsed_config_free(c);
		json_object_put(upsert);
		json_object_put(removed);
	}
	json_object_put(config);
}

static void histogram_is_within_its_steps(void **state)
{
	struct histogram *h = calloc(1, sizeof *h);

	(void)state;
	assert_int_equal(histogram_quantile(h, 0.5), -1);
	for (int i = 1; i <= 100000; i++)
		histogram_add(h, i);
	for (int k = 1; k < 100; k++) {
		int64_t v = histogram_quantile(h, k / 100.0), expected = k * 1000;

		assert_true(v <= expected && v >= expected - expected / 64 - 1);
	}
	assert_int_equal(histogram_quantile(h, 0.0), 1);
	free(h);
}

/* ---- servers, store and list, spoken to by a plain client ---- */

struct rig {
	struct server_fleet f;
	struct server *a, *b, *store;
	char at[3][40];
	int status, done, keep, held;
	char *body, *weights, *load, *seal, *id, *not_run, *instance;
	struct conn *c;
	int removed;             /* 1 + how */
	int events, first, last; /* ids of events */
	char *stream;            /* stb array */
};

static void rig_open(struct rig *rig)
{
	char base[24];

	memset(rig, 0, sizeof *rig);
	snprintf(base, sizeof base, "127.%d.%d", 16 + (getpid() / 250) % 200, 1 + getpid() % 250);
	rig->f.loop = loop_open();
	rig->f.started_at_us = loop_us();
	rig->f.engine = default_engine;
	rig->f.engine.load_ms = 30;
	rig->f.engine.event_lag_ms = 5;
	rig->f.engine.report_lag_ms = 20;
	rig->f.rng = 5;
	rig->f.newest_version = 1;
	rig->f.model = "m1";
	for (int i = 0; i < 3; i++)
		snprintf(rig->at[i], sizeof rig->at[i], "%s.%d:8080", base, 100 + i);
	rig->a = server_add(&rig->f, rig->at[0], "z1", "lm", 0);
	rig->b = server_add(&rig->f, rig->at[1], "z1", "lm", 0);
	rig->store = server_add(&rig->f, rig->at[2], "z2", "store", 1);
	for (int i = 0; i < 3; i++) {
		server_up(rig->f.servers[i]);
		rig->f.servers[i]->fault.close = 0;
	}
}

static void answer_clear(struct rig *rig)
{
	char **v[] = { &rig->body, &rig->weights, &rig->load,    &rig->seal,
		       &rig->id,   &rig->not_run, &rig->instance };

	for (size_t i = 0; i < sizeof v / sizeof *v; i++) {
		free(*v[i]);
		*v[i] = NULL;
	}
	arrfree(rig->stream);
	rig->status = rig->done = rig->removed = rig->events = rig->first = rig->last = 0;
}

static void rig_close(struct rig *rig)
{
	answer_clear(rig);
	if (rig->f.list)
		list_close(rig->f.list);
	servers_free(&rig->f);
	loop_close(rig->f.loop);
}

static char *dup_of(const char *s)
{
	return s ? strdup(s) : NULL;
}

static void on_head(void *ctx, struct conn *c, struct http_message *message)
{
	struct rig *g = ctx;

	(void)c;
	g->status = message->status;
	g->weights = dup_of(http_message_field(message, "X-Notchlug-Weight-Versions"));
	g->load = dup_of(http_message_field(message, "X-Notchlug-Server-Load"));
	g->seal = dup_of(http_message_field(message, "X-Notchlug-Server-Seal"));
	g->id = dup_of(http_message_field(message, "X-Notchlug-Attempt-Id"));
	g->not_run = dup_of(http_message_field(message, "X-Notchlug-Not-Executed"));
	g->instance = dup_of(http_message_field(message, "X-Notchlug-Instance-Id"));
}

static void on_data(void *ctx, struct conn *conn, const char *d, size_t n)
{
	struct rig *rig = ctx;

	(void)conn;
	memcpy(arraddnptr(rig->stream, n), d, n);
}

static void on_whole(void *ctx, struct conn *conn, struct http_message *message)
{
	struct rig *rig = ctx;
	char *at;

	(void)conn;
	rig->body = strndup(message->body ? message->body : "", message->body_length);
	rig->keep = message->keep_alive;
	rig->done = 1;
	for (at = strstr(rig->body, "id: "); at; at = strstr(at + 1, "\nid: ")) {
		int id = atoi(at + (*at == '\n' ? 5 : 4));

		rig->first = rig->events++ ? rig->first : id;
		rig->last = id;
	}
}

static void on_gone(void *ctx, struct conn *c, enum conn_end how)
{
	struct rig *g = ctx;

	(void)c;
	g->c = NULL;
	g->removed = 1 + (int)how;
}

static int settled(void *ctx)
{
	struct rig *rig = ctx;

	return rig->done || rig->removed;
}

static const struct conn_handlers on_answer = {
	.head = on_head, .data = on_data, .complete = on_whole, .closed = on_gone
};

/* One call on the rig's connection (a new one if there is none); waits for its end. */
static void send_request(struct rig *rig, const char *at, const char *method, const char *target,
			 const char *fields, const char *body)
{
	answer_clear(rig);
	if (!rig->c)
		rig->c = conn_connect(rig->f.loop, at, &on_answer, rig);
	conn_expect(rig->c);
	conn_writef(rig->c, "%s %s HTTP/1.1\r\nHost: h\r\n%s", method, target, fields);
	if (body)
		conn_writef(rig->c, "Content-Length: %zu\r\n", strlen(body));
	conn_writef(rig->c, "\r\n%s", body ? body : "");
}

static void ask(struct rig *rig, const char *at, const char *method, const char *target, const char *fields,
		const char *body)
{
	send_request(rig, at, method, target, fields, body);
	if (!loop_until(rig->f.loop, ms_us(5000), settled, rig))
		fail_msg("%s %s at %s: nothing came", method, target, at);
}

static void hang_up(struct rig *rig)
{
	if (rig->c)
		conn_close(rig->c, 0);
	rig->c = NULL;
}

#define GEN(id, prompt, parts)                                                                          \
	"X-Notchlug-Attempt-Id: " id "\r\nX-Notchlug-Model-Name: m1\r\nX-Notchlug-Token-Count: " prompt \
	",20\r\n"                                                                                       \
	"X-Notchlug-Prompt-Prefix: " parts "\r\nX-Notchlug-Deadline-Remaining: 5000\r\n"

static void a_stream_is_whole_and_stamped(void **state)
{
	struct rig rig;
	int all;

	(void)state;
	rig_open(&rig);
	ask(&rig, rig.at[0], "POST", "/x", GEN("t1", "300", "aa:200,bb:100"), "hello");
	assert_int_equal(rig.status, 200);
	assert_string_equal(rig.id, "t1");
	assert_non_null(rig.seal);
	assert_string_equal(rig.weights, "1");
	assert_string_equal(rig.load, "1,0,128");
	assert_int_equal(rig.first, 1);
	assert_int_equal(rig.last, rig.events);
	assert_true(rig.events > 1);
	assert_true(rig.keep);
	all = rig.last;
	/* the same request is taken up elsewhere where it was cut, with as many pieces */
	hang_up(&rig);
	ask(&rig, rig.at[1], "POST", "/x", GEN("t2", "300", "aa:200,bb:100") "Last-Event-Id: 2\r\n", "hello");
	assert_int_equal(rig.first, 3);
	assert_int_equal(rig.last, all);
	hang_up(&rig);
	rig_close(&rig);
}

/* Whether the first answer has come and the second request runs. */
static int second_runs(void *ctx)
{
	struct rig *rig = ctx;

	return rig->removed || (rig->done && arrlen(rig->a->batch) + arrlen(rig->a->queue) > 0);
}

/* Two requests sent at once on one connection; surplus bytes follow the first answer while the second request
 * runs, whose caller then disconnects: the server still knows whose connection it was. */
static void surplus_bytes_leave_the_next_request_its_connection(void **state)
{
	enum { ROUNDS = 20 };

	(void)state;
	for (int round = 0; round < ROUNDS; round++) {
		struct rig rig;

		rig_open(&rig);
		rig.f.rng = (uint64_t)round + 1;
		rig.a->fault.surplus = 1;
		answer_clear(&rig);
		rig.c = conn_connect(rig.f.loop, rig.at[0], &on_answer, &rig);
		conn_expect(rig.c);
		for (int i = 0; i < 2; i++)
			conn_writef(rig.c, "POST /x HTTP/1.1\r\nHost: h\r\n%sContent-Length: 0\r\n\r\n",
				    i ? GEN("t2", "300", "aa:300") : GEN("t1", "300", "aa:300"));
		assert_true(loop_until(rig.f.loop, ms_us(5000), second_runs, &rig));
		hang_up(&rig);
		loop_until(rig.f.loop, ms_us(100), NULL, NULL);
		assert_int_equal(arrlen(rig.a->batch) + arrlen(rig.a->queue), 0);
		rig_close(&rig);
	}
}

static void what_does_not_run_says_so(void **state)
{
	static const struct {
		const char *fields;
		int status;
	} c[] = {
		{ GEN("t1", "300", "aa:300") "X-Notchlug-Target-Instance: i-nobody\r\n", 421 },
		{ GEN("t1", "300", "aa:300") "X-Notchlug-Expected-Version: 7\r\n", 421 },
		{ "X-Notchlug-Token-Count: 5,5\r\n", 400 }, /* no id */
		{ GEN("t1", "300000", "aa:300000"), 503 },  /* larger than its memory */
	};
	struct rig rig;

	(void)state;
	rig_open(&rig);
	rig.f.checker = checker_open(&default_timing_bounds);
	for (size_t i = 0; i < sizeof c / sizeof *c; i++) {
		ask(&rig, rig.at[0], "POST", "/x", c[i].fields, "");
		assert_int_equal(rig.status, c[i].status);
		assert_non_null(rig.not_run);
		assert_null(rig.seal);
	}
	assert_int_equal(arrlen(rig.a->batch) + arrlen(rig.a->queue), 0);
	hang_up(&rig);
	checker_close(rig.f.checker);
	rig_close(&rig);
}

static void cached_blocks_are_not_prefilled_again_and_stay_in_their_namespace(void **state)
{
	struct rig rig;
	uint64_t read;

	(void)state;
	rig_open(&rig);
	ask(&rig, rig.at[0], "POST", "/x", GEN("t1", "300", "aa:200,bb:100"), "1");
	read = rig.f.prefilled_tokens;
	assert_int_equal(read, 300);
	ask(&rig, rig.at[0], "POST", "/x", GEN("t2", "280", "aa:200,cc:80"), "2");
	assert_int_equal(rig.f.prefilled_tokens - read, 80);
	read = rig.f.prefilled_tokens;
	ask(&rig, rig.at[0], "POST", "/x", GEN("t3", "280", "dd:80,aa:200"),
	    "3"); /* not behind all that went before it */
	assert_int_equal(rig.f.prefilled_tokens - read, 280);
	read = rig.f.prefilled_tokens;
	ask(&rig, rig.at[0], "POST", "/x", GEN("t4", "280", "aa:200,cc:80") "X-Notchlug-Cache-Salt: s1\r\n",
	    "4");
	assert_int_equal(rig.f.prefilled_tokens - read, 280);
	hang_up(&rig);
	rig_close(&rig);
}

static void the_longest_unused_gives_way(void **state)
{
	struct rig rig;

	(void)state;
	rig_open(&rig);
	rig.f.engine.kv_capacity_tokens = 1000;
	ask(&rig, rig.at[0], "POST", "/x", GEN("t1", "400", "aa:400"), "1");
	ask(&rig, rig.at[0], "POST", "/x", GEN("t2", "400", "bb:400"), "2");
	ask(&rig, rig.at[0], "POST", "/x", GEN("t3", "400", "aa:400"), "3");
	ask(&rig, rig.at[0], "POST", "/x", GEN("t4", "500", "cc:500"), "4");
	assert_true(server_cached_tokens(rig.a) <= 1000);
	for (int i = 0; i < arrlen(rig.a->blocks); i++) {
		if (!strcmp(rig.a->blocks[i].id, "aa"))
			assert_int_equal(rig.a->blocks[i].tokens, 400);
		if (!strcmp(rig.a->blocks[i].id, "bb"))
			assert_true(rig.a->blocks[i].tokens < 400);
	}
	hang_up(&rig);
	rig_close(&rig);
}

static void blocks_are_fetched_from_another_and_sent_to_the_store(void **state)
{
	struct rig rig;
	uint64_t read;
	char f[600];

	(void)state;
	rig_open(&rig);
	snprintf(f, sizeof f, GEN("t1", "300", "aa:200,bb:100") "X-Notchlug-Kv-Sink: %s\r\n", rig.at[2]);
	ask(&rig, rig.at[0], "POST", "/x", f, "1");
	assert_int_equal(server_cached_tokens(rig.store), 300);
	hang_up(&rig);
	read = rig.f.prefilled_tokens;
	snprintf(f, sizeof f, GEN("t2", "300", "aa:200,bb:100") "X-Notchlug-Kv-Source: %s\r\n", rig.at[0]);
	ask(&rig, rig.at[1], "POST", "/x", f, "2");
	assert_int_equal(rig.f.fetched_tokens, 300);
	assert_true(rig.f.prefilled_tokens - read <= 1);
	hang_up(&rig);
	/* a dead source costs time, no more */
	server_crash(rig.store);
	read = rig.f.prefilled_tokens;
	snprintf(f, sizeof f, GEN("t3", "90", "ee:90") "X-Notchlug-Kv-Source: %s\r\n", rig.at[2]);
	ask(&rig, rig.at[1], "POST", "/x", f, "3");
	assert_int_equal(rig.status, 200);
	assert_int_equal(rig.f.prefilled_tokens - read, 90);
	hang_up(&rig);
	server_up(rig.store);
	assert_int_equal(server_cached_tokens(rig.store), 0);
	rig_close(&rig);
}

static struct json_object *field(struct json_object *json, const char *k)
{
	struct json_object *v = NULL;

	assert_true(json_object_object_get_ex(json, k, &v));
	return v;
}

static void events_come_late_in_order_and_name_gaps(void **state)
{
	struct rig rig;
	struct json_object *json, *list;
	int64_t epoch;

	(void)state;
	rig_open(&rig);
	ask(&rig, rig.at[0], "POST", "/x", GEN("t1", "300", "aa:200,bb:100"), "1");
	ask(&rig, rig.at[0], "GET", "/kv-events?SinceTime=0", "Wait-Ms: 800\r\n", NULL);
	assert_int_equal(rig.status, 200);
	json = json_tokener_parse(rig.body);
	list = field(json, "EventList");
	assert_true(json_object_array_length(list) >= 1);
	assert_string_equal(
	    json_object_to_json_string_ext(json_object_array_get_idx(list, 0), JSON_C_TO_STRING_PLAIN),
	    "[1,\"+\",\"\",\"aa\",200,\"m1\"]");
	assert_false(json_object_get_boolean(field(json, "LostCount")));
	epoch = json_object_get_int64(field(json, "NodeEpoch"));
	json_object_put(json);
	/* nothing new: held for as long as asked */
	{
		int64_t began = loop_us();

		ask(&rig, rig.at[0], "GET", "/kv-events?SinceTime=2", "Wait-Ms: 60\r\n", NULL);
		assert_true(loop_us() - began >= 60000);
		json = json_tokener_parse(rig.body);
		assert_int_equal(json_object_array_length(field(json, "EventList")), 0);
		assert_int_equal(json_object_get_int64(field(json, "NextToken")), 2);
		json_object_put(json);
	}
	rig.f.engine.event_limit = 2;
	for (int i = 0; i < 4; i++) {
		char f[400];

		snprintf(f, sizeof f, GEN("t2", "60", "%02x:60"), i);
		ask(&rig, rig.at[0], "POST", "/x", f, "2");
	}
	ask(&rig, rig.at[0], "GET", "/kv-events?SinceTime=2", "Wait-Ms: 800\r\n", NULL);
	json = json_tokener_parse(rig.body);
	assert_true(json_object_get_boolean(field(json, "LostCount")));
	json_object_put(json);
	ask(&rig, rig.at[0], "GET", "/kv-list", "", NULL);
	json = json_tokener_parse(rig.body);
	assert_int_equal(json_object_array_length(field(json, "HeldCount")), 6);
	json_object_put(json);
	hang_up(&rig);
	server_crash(rig.a);
	server_up(rig.a);
	ask(&rig, rig.at[0], "GET", "/kv-events?SinceTime=6", "", NULL);
	json = json_tokener_parse(rig.body);
	assert_true(json_object_get_int64(field(json, "NodeEpoch")) != epoch);
	json_object_put(json);
	hang_up(&rig);
	rig_close(&rig);
}

static int are_held(void *ctx)
{
	struct rig *rig = ctx;

	return arrlen(rig->a->watchers) == rig->held;
}

static void only_so_many_calls_for_events_are_held(void **state)
{
	struct rig rig;
	struct conn *conn[2];

	(void)state;
	rig_open(&rig);
	rig.f.engine.in_flight = 2;
	for (int i = 0; i < 2; i++) {
		send_request(&rig, rig.at[0], "GET", "/kv-events?SinceTime=0", "Wait-Ms: 1000\r\n", NULL);
		rig.held = i + 1;
		assert_true(loop_until(rig.f.loop, ms_us(3000), are_held, &rig));
		conn[i] = rig.c;
		rig.c = NULL;
	}
	ask(&rig, rig.at[0], "GET", "/kv-events?SinceTime=0", "Wait-Ms: 1000\r\n", NULL);
	assert_int_equal(rig.status, 429);
	hang_up(&rig);
	for (int i = 0; i < 2; i++)
		conn_close(conn[i], 0);
	rig_close(&rig);
}

#define ORDER(version, fence, more)                                                        \
	"{\"Operation\":\"ConfigVersion\",\"ModelName\":\"m1\",\"ConfigVersion\":" version \
	",\"Method\":\"hold\",\"Holder\":\"n1\",\"FenceNumber\":" fence more "}"

static int loaded(void *ctx)
{
	struct rig *rig = ctx;

	return rig->a->version == rig->f.newest_version && !rig->a->loading_to;
}

static void load_commands_are_fenced_counted_and_drop_the_cache(void **state)
{
	struct rig rig;

	(void)state;
	rig_open(&rig);
	ask(&rig, rig.at[0], "POST", "/x", GEN("t1", "300", "aa:200,bb:100"), "1");
	ask(&rig, rig.at[0], "POST", "/order", "", ORDER("2", "4", ""));
	assert_int_equal(rig.status, 400); /* not named */
	rig.f.newest_version = 2;
	ask(&rig, rig.at[0], "POST", "/order", "",
	    "{\"Operation\":\"ConfigVersion\",\"ModelName\":\"m1\",\"ConfigVersion\":2,\"Method\":\"hold\"}");
	assert_int_equal(rig.status, 400); /* no holder, no fence */
	ask(&rig, rig.at[0], "POST", "/order", "", ORDER("2", "4", ",\"ExpectedCount\":3"));
	assert_int_equal(rig.status, 409);
	ask(&rig, rig.at[0], "POST", "/order", "", ORDER("2", "4", ",\"ExpectedCount\":0"));
	assert_int_equal(rig.status, 202);
	ask(&rig, rig.at[0], "POST", "/x", GEN("t2", "300", "aa:200,bb:100"), "1");
	assert_int_equal(rig.status, 503);
	assert_non_null(rig.not_run);
	assert_true(loop_until(rig.f.loop, ms_us(3000), loaded, &rig));
	assert_int_equal(server_cached_tokens(rig.a), 0);
	ask(&rig, rig.at[0], "POST", "/order", "", ORDER("2", "4", ""));
	assert_int_equal(rig.status, 200);
	ask(&rig, rig.at[0], "POST", "/order", "", ORDER("1", "3", ""));
	assert_int_equal(rig.status, 412);
	ask(&rig, rig.at[0], "POST", "/x", GEN("t3", "300", "aa:200,bb:100"), "1");
	assert_string_equal(rig.weights, "2");
	hang_up(&rig);
	server_crash(rig.a); /* forgets fences and counts, not its version */
	server_up(rig.a);
	assert_int_equal(rig.a->version, 2);
	ask(&rig, rig.at[0], "POST", "/order", "", ORDER("2", "1", ",\"ExpectedCount\":0"));
	assert_int_equal(rig.status, 200);
	hang_up(&rig);
	rig_close(&rig);
}

static void loads_are_refused_or_slow(void **state)
{
	int64_t began;
	struct rig rig;

	(void)state;
	rig_open(&rig);
	rig.f.newest_version = 2;
	rig.a->fault.refuses_loads = 1;
	ask(&rig, rig.at[0], "POST", "/order", "", ORDER("2", "4", ""));
	assert_int_equal(rig.status, 0);
	assert_true(rig.removed); /* no answer, and nothing was taken */
	assert_int_equal(rig.a->loading_to, 0);
	hang_up(&rig);
	rig.a->fault = (struct server_fault){ .load_slow = 10 };
	began = loop_us();
	ask(&rig, rig.at[0], "POST", "/order", "", ORDER("2", "4", ""));
	assert_int_equal(rig.status, 202);
	assert_true(loop_until(rig.f.loop, ms_us(3000), loaded, &rig));
	assert_true(loop_us() - began >= ms_us(10 * rig.f.engine.load_ms));
	hang_up(&rig);
	rig_close(&rig);
}

static void write_log(const struct run *run, const char *machine, const char *text)
{
	char path[700];
	FILE *file;

	snprintf(path, sizeof path, "%s/%s.log", run->folder, machine);
	file = fopen(path, "w");
	assert_non_null(file);
	fputs(text, file);
	fclose(file);
}

enum { DISK_BOUND_MS = 10, DISK_SLOW_MS = 25, DISK_SYNCS_BEFORE = 2, DISK_LIMIT_MS = 5000 };

static atomic_int disk_syncs;

static void spend(int ms)
{
	int64_t until = loop_us() + ms_us(ms);

	while (loop_us() < until)
		;
}

/* The third sync and those after it take longer than the bound; those before are over at once. */
static int third_sync_is_slow(int fd)
{
	(void)fd;
	if (++disk_syncs > DISK_SYNCS_BEFORE)
		spend(DISK_SLOW_MS);
	return 0;
}

static int every_sync_is_refused(int fd)
{
	(void)fd;
	spend(DISK_SLOW_MS);
	disk_syncs++;
	return -1;
}

/* Watch until so many syncs have begun; then close, though the last may be under way. */
static int watched_stalls(int (*sync)(int fd), int syncs, struct disk_stall *stalls, int most,
			  int64_t *longest)
{
	int64_t limit = loop_us() + ms_us(DISK_LIMIT_MS);
	char folder[] = "/tmp/stand-XXXXXX", path[700];
	struct disk_watch *watch;
	int n;

	disk_syncs = 0;
	assert_non_null(mkdtemp(folder));
	watch = disk_watch_open(folder, loop_us(), DISK_BOUND_MS, sync);
	assert_non_null(watch);
	while (disk_syncs < syncs && loop_us() < limit)
		sched_yield();
	assert_true(disk_syncs >= syncs);
	n = disk_watch_close(watch, stalls, most, longest);
	snprintf(path, sizeof path, "%s/disk-watch", folder);
	unlink(path);
	rmdir(folder);
	return n;
}

static void stalls_of_the_disk_are_seen(void **state)
{
	struct disk_stall stall[8];
	int64_t longest;
	int n;

	(void)state;
	n = watched_stalls(third_sync_is_slow, DISK_SYNCS_BEFORE + 1, stall, 8, &longest);
	assert_true(n >= 1); /* the one that was under way as the watch was closed, too */
	assert_true(longest >= DISK_SLOW_MS - 1);
	assert_true(stall[n - 1].to - stall[n - 1].from >= DISK_SLOW_MS - 1);
	assert_int_equal(watched_stalls(every_sync_is_refused, 2, stall, 8, &longest),
			 0); /* refused is not stalled */
	assert_int_equal(longest, 0);
	assert_int_equal(disk_watch_close(NULL, stall, 8, &longest), 0);
	assert_null(disk_watch_open("/nowhere", loop_us(), DISK_BOUND_MS, third_sync_is_slow));
}

/* A stall excuses what depends on time, for so long after it, and nothing before it. */
static void a_stall_of_the_disk_explains_what_follows_it_for_a_while(void **state)
{
	const struct disk_stall stall[] = { { 1000, 1400 }, { 20000, 28000 } };
	struct violation violation[] = { { "ACKS", 24000, "" }, { "VERSION", 37000, "" } };

	(void)state;
	assert_false(disk_explains(stall, 2, 999, 9000));
	assert_true(disk_explains(stall, 2, 1000, 9000));
	assert_true(disk_explains(stall, 2, 10400, 9000));
	assert_false(disk_explains(stall, 2, 10401, 9000));
	assert_false(disk_explains(stall, 2, 19999, 9000));
	assert_true(disk_explains(stall, 2, 37000, 9000));
	assert_false(disk_explains(stall, 0, 24000, 9000));
	assert_true(disk_explains_all(stall, 2, violation, 2, 9000));
	assert_false(disk_explains_all(stall, 2, violation, 0, 9000)); /* what broke then is something else */
	violation[1].at_ms = 37001; /* one of them is too late: the run has failed */
	assert_false(disk_explains_all(stall, 2, violation, 2, 9000));
	violation[1].at_ms = 37000;
	snprintf(violation[1].rule, sizeof violation[1].rule, "ONE"); /* no delay excuses that one */
	assert_false(disk_explains_all(stall, 2, violation, 2, 9000));
}

static void broken_invariants_are_found_in_logs(void **state)
{
	struct run *run = calloc(1, sizeof *run);
	char path[700];

	(void)state;
	snprintf(run->folder, sizeof run->folder, "/tmp/stand-XXXXXX");
	assert_non_null(mkdtemp(run->folder));
	run->machine_count = 3; /* the third one never began: it has no log */
	snprintf(run->machines[0].name, sizeof run->machines[0].name, "one");
	snprintf(run->machines[1].name, sizeof run->machines[1].name, "two");
	snprintf(run->machines[2].name, sizeof run->machines[2].name, "three");
	write_log(run, "one", "<6>counter[7]: proc: Ended, no invariant was broken.\n");
	write_log(run, "two", "");
	assert_int_equal(invariant_lines(run), 0);
	write_log(
	    run, "two",
	    "<3>Dec  2 counter[7]: ctr: invariant: a send left.\ninvariant: a begin.\n<3>counter[7]: invariant a send.\n");
	assert_int_equal(invariant_lines(run), 3);
	for (int i = 0; i < 2; i++) {
		snprintf(path, sizeof path, "%s/%s.log", run->folder, run->machines[i].name);
		unlink(path);
	}
	rmdir(run->folder);
	free(run);
}

static void on_outcome(void *ctx, int status, const struct http_message *message)
{
	(void)ctx, (void)message;
	assert_int_equal(status, 202);
}

static int taken(void *ctx)
{
	struct rig *rig = ctx;

	return arrlen(rig->stream) > 0;
}

static void preempted_streams_are_reset_and_retained_ones_tell(void **state)
{
	struct rig rig;
	struct conn *old;

	(void)state;
	rig_open(&rig);
	rig.f.newest_version = 3;
	rig.f.engine.step_ms = 10;
	send_request(&rig, rig.at[0], "POST", "/x", GEN("t1", "30", "aa:30"), "1");
	assert_true(loop_until(rig.f.loop, ms_us(3000), taken, &rig));
	http_call(
	    rig.f.loop, rig.at[0], "POST", "/order", "",
	    "{\"Operation\":\"ConfigVersion\",\"ModelName\":\"m1\",\"ConfigVersion\":2,\"Method\":\"preempt\",\"Holder\":\"n1\",\"FenceNumber\":1}",
	    1000, on_outcome, NULL);
	assert_true(loop_until(rig.f.loop, ms_us(3000), settled, &rig));
	assert_int_equal(rig.removed, 1 + CONN_RESET);
	rig.f.newest_version = 2;
	assert_true(loop_until(rig.f.loop, ms_us(3000), loaded, &rig));
	rig.f.newest_version = 3;
	send_request(&rig, rig.at[0], "POST", "/x", GEN("t2", "30", "aa:30"), "1");
	assert_true(loop_until(rig.f.loop, ms_us(3000), taken, &rig));
	old = rig.c;
	http_call(
	    rig.f.loop, rig.at[0], "POST", "/order", "",
	    "{\"Operation\":\"ConfigVersion\",\"ModelName\":\"m1\",\"ConfigVersion\":3,\"Method\":\"retain\",\"Holder\":\"n1\",\"FenceNumber\":1}",
	    1000, on_outcome, NULL);
	assert_true(loop_until(rig.f.loop, ms_us(3000), settled, &rig));
	assert_true(rig.done && rig.c == old);
	assert_non_null(strstr(rig.body, "\n\nx-notchlug-weight-versions: 3\nid: "));
	hang_up(&rig);
	rig_close(&rig);
}

static void the_urgent_go_first_and_the_late_are_rejected(void **state)
{
	struct rig rig;
	struct conn *held;

	(void)state;
	rig_open(&rig);
	rig.f.engine.slots = 1;
	rig.f.engine.step_ms = 20;
	send_request(&rig, rig.at[0], "POST", "/x", GEN("t1", "30", "aa:30"), "1");
	assert_true(loop_until(rig.f.loop, ms_us(3000), taken, &rig));
	held = rig.c;
	conn_set_handlers(held, &(const struct conn_handlers){ .closed = NULL }, NULL);
	rig.c = NULL;
	ask(&rig, rig.at[0], "POST", "/x",
	    "X-Notchlug-Attempt-Id: t2\r\nX-Notchlug-Token-Count: 30,20\r\nX-Notchlug-Deadline-Remaining: 40\r\n",
	    "2");
	assert_int_equal(rig.status, 503); /* its deadline passed in the queue */
	assert_non_null(rig.not_run);
	ask(&rig, rig.at[0], "POST", "/x", GEN("t3", "30", "bb:30") "X-Notchlug-Priority-Level: 1\r\n", "3");
	assert_int_equal(rig.status, 200);
	assert_int_equal(arrlen(rig.a->batch) + arrlen(rig.a->queue),
			 1); /* the first is put back, not gone */
	hang_up(&rig);
	conn_close(held, 0);
	rig_close(&rig);
}

static void health_and_report_tell_what_they_should(void **state)
{
	struct rig rig;
	struct json_object *json;

	(void)state;
	rig_open(&rig);
	ask(&rig, rig.at[0], "GET", "/health", "", NULL);
	assert_int_equal(rig.status, 200);
	assert_string_equal(rig.instance, rig.a->instance);
	assert_string_equal(rig.load, "0,0,128");
	ask(&rig, rig.at[0], "GET", "/report", "", NULL);
	json = json_tokener_parse(rig.body);
	assert_string_equal(json_object_get_string(field(json, "Stage")), "combined");
	assert_int_equal(json_object_get_int(field(json, "KvTotal")), rig.f.engine.kv_capacity_tokens);
	assert_int_equal(
	    json_object_get_int(field(json_object_array_get_idx(field(json, "Models"), 0), "ConfigVersion")),
	    1);
	json_object_put(json);
	rig.a->fault.false_health = 1;
	ask(&rig, rig.at[0], "GET", "/health", "", NULL);
	assert_int_equal(rig.status, 503);
	hang_up(&rig);
	rig_close(&rig);
}

static void faults_are_as_named(void **state)
{
	struct rig rig;
	struct server_fault none = { .close = 0 };

	(void)state;
	rig_open(&rig);
	rig.a->fault.broken = 1;
	ask(&rig, rig.at[0], "POST", "/x", GEN("t1", "30", "aa:30"), "1");
	assert_true(rig.removed && !rig.done && rig.status == 200);
	rig.a->fault = none;
	rig.a->fault.garbage = 1;
	ask(&rig, rig.at[0], "POST", "/x", GEN("t2", "30", "aa:30"), "1");
	assert_int_equal(rig.removed, 1 + CONN_BAD);
	rig.a->fault = none;
	rig.a->fault.lost = 1;
	ask(&rig, rig.at[0], "POST", "/x", GEN("t3", "30", "aa:30"), "1");
	assert_true(rig.removed && rig.status == 0);
	rig.a->fault = none;
	rig.a->fault.grey = 1;
	ask(&rig, rig.at[0], "POST", "/x", GEN("t4", "30", "aa:30"), "1");
	assert_int_equal(rig.status, 500);
	assert_non_null(rig.seal);
	rig.a->fault = none;
	rig.a->fault.surplus = 1;
	ask(&rig, rig.at[0], "POST", "/x", GEN("t5", "30", "aa:30"), "1");
	assert_true(rig.done && rig.status == 200);
	loop_until(rig.f.loop, ms_us(400), NULL, NULL);
	assert_int_equal(rig.removed, 1 + CONN_SURPLUS);
	rig.a->fault = none;
	rig.a->fault.close = 1;
	ask(&rig, rig.at[0], "POST", "/x", GEN("t6", "30", "aa:30"), "1");
	assert_true(rig.done && !rig.keep);
	hang_up(&rig);
	server_set_silent(rig.a, 1);
	send_request(&rig, rig.at[0], "POST", "/x", GEN("t7", "30", "aa:30"), "1");
	assert_false(loop_until(rig.f.loop, ms_us(150), settled, &rig));
	server_set_silent(rig.a, 0);
	assert_true(loop_until(rig.f.loop, ms_us(3000), settled, &rig));
	assert_int_equal(rig.status, 200);
	hang_up(&rig);
	server_crash(rig.a);
	ask(&rig, rig.at[0], "POST", "/x", GEN("t8", "30", "aa:30"), "1");
	assert_int_equal(rig.removed, 1 + CONN_REFUSED);
	rig_close(&rig);
}

static void connections_are_bounded_and_idle_ones_closed(void **state)
{
	struct rig rig;

	(void)state;
	rig_open(&rig);
	server_crash(rig.a);
	rig.f.engine.max_conns = 1;
	rig.f.engine.idle_ms = 100;
	server_up(rig.a);
	ask(&rig, rig.at[0], "GET", "/health", "", NULL);
	assert_int_equal(rig.status, 200);
	{
		struct conn *first = rig.c;

		rig.c = NULL;
		ask(&rig, rig.at[0], "GET", "/health", "", NULL);
		assert_true(rig.removed);
		rig.c = first;
		rig.removed = 0;
	}
	loop_until(rig.f.loop, ms_us(400), NULL, NULL);
	assert_int_equal(rig.removed, 1 + CONN_CLOSED);
	rig_close(&rig);
}

struct list_page {
	int status, n;
	char next[20], first[32], state[16];
	int done, draining;
};

static void keeps_request(void *ctx, struct conn *conn, struct http_message *message)
{
	(void)ctx, (void)conn, (void)message;
}

static int read_by_peer(void *ctx)
{
	return conn_read_by_peer(ctx);
}

/* Whether a process has read a request is seen from outside, before its connection ends one way or the other.
 */
static void what_a_process_has_not_read_is_seen(void **state)
{
	static const struct conn_handlers serves = { .request = keeps_request }, calls = { 0 };
	static const char request[] = "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n";
	struct loop *loop = loop_open();
	struct port *port;
	struct conn *conn;
	char at[40];

	(void)state;
	snprintf(at, sizeof at, "127.%d.%d.99:8080", 16 + (getpid() / 250) % 200, 1 + getpid() % 250);
	port = port_open(loop, at, &serves, NULL, 0);
	assert_non_null(port);
	port_set_silent(port, 1);
	conn = conn_connect(loop, at, &calls, NULL);
	assert_non_null(conn);
	conn_write(conn, request, sizeof request - 1);
	assert_false(loop_until(loop, ms_us(50), read_by_peer, conn));
	port_set_silent(port, 0);
	assert_true(loop_until(loop, ms_us(5000), read_by_peer, conn));
	conn_close(conn, 1);
	port_close(port, 1);
	loop_close(loop);
}

static void on_list(void *ctx, int status, const struct http_message *message)
{
	struct list_page *seen = ctx;
	struct json_object *json, *a, *v = NULL;

	seen->done = 1;
	seen->status = status;
	seen->next[0] = 0;
	seen->n = 0;
	if (status != 200)
		return;
	json = json_tokener_parse(message->body);
	a = field(json, "Instances");
	seen->n = (int)json_object_array_length(a);
	if (json_object_object_get_ex(json, "NextToken", &v) && v)
		snprintf(seen->next, sizeof seen->next, "%s", json_object_get_string(v));
	if (seen->n) {
		snprintf(seen->first, sizeof seen->first, "%s",
			 json_object_get_string(field(json_object_array_get_idx(a, 0), "InstanceId")));
		snprintf(seen->state, sizeof seen->state, "%s",
			 json_object_get_string(field(json_object_array_get_idx(a, 0), "State")));
	}
	json_object_put(json);
}

static int seen_done(void *ctx)
{
	return ((struct list_page *)ctx)->done;
}

static void ask_list(struct rig *rig, const char *at, const char *target, struct list_page *seen)
{
	seen->done = 0;
	http_call(rig->f.loop, at, "GET", target, "", NULL, 1000, on_list, seen);
	assert_true(loop_until(rig->f.loop, ms_us(2000), seen_done, seen));
}

static void the_list_lags_comes_in_pages_and_has_a_rate(void **state)
{
	struct rig rig;
	struct list_page seen;
	char at[40], old[32], target[60];

	(void)state;
	rig_open(&rig);
	memset(&seen, 0, sizeof seen);
	snprintf(at, sizeof at, "%.*s:8688", (int)strcspn(rig.at[0], ":"), rig.at[0]);
	rig.f.checker = checker_open(&default_timing_bounds);
	assert_non_null(list_open(&rig.f, &(struct list_settings){ at, 60, 1, 12, 0 }));
	ask_list(&rig, at, "/instances", &seen);
	assert_int_equal(seen.n, 0); /* it lags */
	loop_until(rig.f.loop, ms_us(80), NULL, NULL);
	ask_list(&rig, at, "/instances", &seen);
	assert_int_equal(seen.n, 1);
	assert_string_equal(seen.state, "ready");
	assert_true(seen.next[0]);
	snprintf(old, sizeof old, "%s", seen.first);
	snprintf(target, sizeof target, "/instances?Zone=z1&PageToken=%s", seen.next);
	ask_list(&rig, at, target, &seen);
	assert_int_equal(seen.n, 1);
	assert_string_not_equal(seen.first, old);
	assert_string_equal(seen.next, ""); /* the store is on no list */
	ask_list(&rig, at, "/instances?Zone=z9", &seen);
	assert_int_equal(seen.n, 0);
	server_drain(rig.a);
	loop_until(rig.f.loop, ms_us(80), NULL, NULL);
	ask_list(&rig, at, "/instances", &seen);
	assert_string_equal(seen.state, "draining");
	server_crash(rig.a);
	server_up(rig.a);
	loop_until(rig.f.loop, ms_us(80), NULL, NULL);
	ask_list(&rig, at, "/instances", &seen);
	assert_string_equal(seen.state, "ready");
	assert_string_not_equal(seen.first, old); /* a new life */
	for (int i = 0; i < 500 && seen.status != 429; i++)
		ask_list(&rig, at, "/instances", &seen);
	assert_int_equal(seen.status, 429);
	{
		struct checker *checker = rig.f.checker;

		rig_close(&rig);
		checker_close(checker);
	}
}

/* ---- clients straight at a server, without an edge between: what the parts see fits together ---- */

enum { ALONE_FROM_MS = 10000 }; /* the run's time when clients come: its machine has long been in touch */

/* One machine, at whose front anybody may listen, and one of the core. */
static struct run *alone(const char *cfg_text)
{
	struct run *r = calloc(1, sizeof *r);
	struct parsed_config *config;

	r->loop = loop_open();
	r->fleet.loop = r->loop;
	r->fleet.started_at_us = loop_us() - ms_us(ALONE_FROM_MS);
	r->bounds = default_timing_bounds;
	r->checker = r->fleet.checker = checker_open(&r->bounds);
	r->deployment = &deployments[0];
	r->rng = r->seed = 3;
	r->rate = 0.5;
	r->fleet.engine = default_engine;
	r->fleet.engine.prefill_tokens_per_ms = 5000; /* one server stands for all of them */
	r->fleet.rng = 4;
	r->fleet.newest_version = 1;
	r->fleet.model = r->deployment->model;
	snprintf(r->address_prefix, sizeof r->address_prefix, "127.%d.%d", 16 + (getpid() / 250) % 200,
		 1 + getpid() % 250);
	snprintf(r->machines[0].front_address, sizeof r->machines[0].front_address, "%s.100:8080",
		 r->address_prefix);
	snprintf(r->machines[0].readiness_address, sizeof r->machines[0].readiness_address, "%s.100:8080",
		 r->address_prefix);
	snprintf(r->machines[0].zone, sizeof r->machines[0].zone, "%s", r->deployment->zone[0]);
	r->machine_count = 1;
	r->machines[0].in_rotation = 1;
	checker_record_machine(r->checker, 0, 0, 0, CALM, 1);
	checker_record_machine(r->checker, 0, 1, 1, CALM, 1);
	config = parsed_config_read(cfg_text);
	assert_non_null(config);
	checker_record_config_outcome(r->checker, 1000, checker_record_config(r->checker, 500, config, 0, 0),
				      CONFIG_OUTCOME_ACKED);
	return r;
}

static void clients_for(struct run *r, int64_t ms)
{
	r->config_operator = operator_open(r);
	r->clients = clients_open(r);
	clients_traffic(r->clients, 1);
	loop_until(r->loop, ms_us((double)ms), NULL, NULL);
	clients_traffic(r->clients, 0);
}

/* The run ends; its checker is left. */
static struct checker *alone_end(struct run *r)
{
	struct checker *checker = r->checker;

	clients_close(r->clients);
	operator_close(r->config_operator);
	servers_free(&r->fleet);
	loop_close(r->loop);
	free(r->figures.seconds);
	free(r);
	return checker;
}

static void straight(const char *cfg_text, const struct server_fault *fault, int64_t ms,
		     struct checker **checker, struct figures *fig)
{
	struct run *r = alone(cfg_text);

	server_add(&r->fleet, r->machines[0].front_address, r->deployment->zone[0], r->deployment->service,
		   0);
	server_up(r->fleet.servers[0]);
	r->fleet.servers[0]->fault = *fault;
	clients_for(r, ms);
	for (int i = 0; i < 400 && clients_busy(r->clients); i++)
		loop_until(r->loop, ms_us(25), NULL, NULL);
	assert_int_equal(clients_busy(r->clients), 0);
	*fig = r->figures;
	*checker = alone_end(r);
}

#define PLAIN_ROUTE(prefix)                                                                  \
	"{\"Name\":\"r" prefix "\",\"HostName\":\"ficu95.example\",\"PathPrefix\":\"" prefix \
	"\",\"TimeoutMs\":8000,\"ServiceName\":\"lm-registry\"}"
#define ROUTES                                                                           \
	"{\"ConfigVersion\":1,\"RouteList\":[" PLAIN_ROUTE("/lohu930/") "," PLAIN_ROUTE( \
	    "/pufi791/") "," PLAIN_ROUTE("/wuno96/") "],\"ServiceList\":[]"

static int breaches_of(struct checker *checker, const char *rule, const char *words)
{
	const struct violation *violation;
	int n = checker_run(checker, 30000, &violation), hit = 0;

	for (int i = 0; i < n; i++)
		hit += (!rule || !strcmp(violation[i].rule, rule)) &&
		       (!words || strstr(violation[i].text, words));
	return hit;
}

static void calm_clients_break_nothing(void **state)
{
	struct figures *figures = calloc(1, sizeof *figures);
	struct server_fault none = { .close = 0.05 };
	struct checker *checker;
	int submitted = 0, complete = 0;

	(void)state;
	straight(ROUTES "}", &none, 1500, &checker, figures);
	for (int i = 0; i < CLASS_COUNT; i++)
		submitted += figures->requests[i], complete += figures->completed[i];
	assert_true(submitted > 40);
	assert_int_equal(complete, submitted);
	assert_true(figures->value_offered > 0 && figures->value_earned > 0 &&
		    figures->value_earned <= figures->value_offered + 0.001);
	assert_int_equal(breaches_of(checker, NULL, NULL), 0);
	checker_close(checker);
	free(figures);
}

/* ---- cuts planted at a machine's front ---- */

enum { PLANTED_AFTER_MS = 300 };

struct planted {
	struct loop *l;
	struct conn **held; /* stb array: requests that were read, the oldest first */
};

static void cut_oldest(void *ctx)
{
	struct planted *planted = ctx;
	struct conn *conn = planted->held[0];

	arrdel(planted->held, 0);
	if (conn_is_alive(planted->l, conn))
		conn_close(conn, 1);
}

static void read_and_cut(void *ctx, struct conn *conn, struct http_message *message)
{
	struct planted *planted = ctx;

	(void)message;
	arrput(planted->held, conn);
	loop_after(planted->l, ms_us(PLANTED_AFTER_MS), cut_oldest, planted);
}

/* How many LOST are seen when the front reads each request and resets its connection, or reads none and
 * resets all. */
static int lost_at_front(int reads, void (*plan)(struct checker *j))
{
	static const struct conn_handlers callbacks = { .request = read_and_cut };
	struct run *r = alone(ROUTES "}");
	struct planted planted = { r->loop, NULL };
	struct port *port = port_open(r->loop, r->machines[0].front_address, &callbacks, &planted, 0);
	struct checker *checker;
	int lost;

	assert_non_null(port);
	port_set_silent(port, !reads);
	plan(r->checker);
	clients_for(r, 2 * PLANTED_AFTER_MS);
	loop_until(r->loop, ms_us(2.0 * PLANTED_AFTER_MS), NULL, NULL);
	port_close(port, 1);
	loop_until(r->loop, ms_us(50), NULL, NULL);
	checker = alone_end(r);
	lost = breaches_of(checker, "LOST", "read and cut off");
	checker_close(checker);
	arrfree(planted.held);
	return lost;
}

static void plan_stop(struct checker *checker)
{
	checker_record_machine(checker, ALONE_FROM_MS, 0, 0, PLANNED, 0);
}
static void plan_reload(struct checker *checker)
{
	checker_record_reload(checker, ALONE_FROM_MS, 0);
}
static void plan_configuration(struct checker *checker)
{
	checker_record_config(checker, ALONE_FROM_MS, parsed_config_read(ROUTES "}"), 0, 0);
}
static void plan_nothing(struct checker *checker)
{
	(void)checker;
}

static void planted_cuts_are_seen(void **state)
{
	(void)state;
	assert_true(lost_at_front(1, plan_stop) > 0);
	assert_true(lost_at_front(1, plan_reload) > 0);
	assert_true(lost_at_front(1, plan_configuration) > 0);
	assert_int_equal(lost_at_front(1, plan_nothing), 0);
	assert_int_equal(lost_at_front(0, plan_stop), 0);
}

static void a_missing_tenant_is_seen(void **state)
{
	struct figures *figures = calloc(1, sizeof *figures);
	struct server_fault none = { .close = 0 };
	struct checker *checker;

	(void)state; /* nobody translates the keys of clients into names */
	straight(ROUTES ",\"TenantList\":[{\"Name\":\"tenant-0\",\"AccessKeys\":[\"key00-0-abcdefgh\"]}]}",
		 &none, 500, &checker, figures);
	assert_true(breaches_of(checker, "UNASKED", "without its tenant's name") > 0);
	assert_true(breaches_of(checker, "ROUTE", "a key that no configuration holds") > 0);
	checker_close(checker);
	free(figures);
}

static void cut_streams_are_resumed_without_a_violation(void **state)
{
	struct figures *figures = calloc(1, sizeof *figures);
	struct server_fault fault = { .broken = 0.2, .garbage = 0.1 };
	struct checker *checker;

	(void)state;
	straight(ROUTES "}", &fault, 1500, &checker, figures);
	assert_true(figures->cut_off > 0);
	assert_true(figures->completed[0] > 0);
	assert_int_equal(breaches_of(checker, NULL, NULL), 0);
	checker_close(checker);
	free(figures);
}

static void surplus_bytes_that_reach_a_client_are_seen(void **state)
{
	struct figures *figures = calloc(1, sizeof *figures);
	struct server_fault fault = { .surplus = 0.5 };
	struct checker *checker;

	(void)state;
	straight(ROUTES "}", &fault, 1000, &checker, figures);
	assert_true(breaches_of(checker, "MIXED", NULL) > 0);
	checker_close(checker);
	free(figures);
}

static void an_answer_lost_after_its_run_is_not_run_again_where_it_may_not(void **state)
{
	struct figures *figures = calloc(1, sizeof *figures);
	struct server_fault fault = { .lost = 1 };
	struct checker *checker;

	(void)state;
	straight(ROUTES "}", &fault, 1000, &checker, figures);
	assert_int_equal(figures->completed[0] + figures->completed[1] + figures->completed[2], 0);
	assert_int_equal(breaches_of(checker, "TWICE", NULL), 0);
	assert_true(figures->attempts > figures->requests[0] + figures->requests[1] +
					    figures->requests[2]); /* what may be repeated was */
	checker_close(checker);
	free(figures);
}

static void put_program(const char *folder, const char *name)
{
	char path[700];
	int fd;

	snprintf(path, sizeof path, "%s/%s", folder, name);
	fd = open(path, O_WRONLY | O_CREAT, 0700);
	assert_true(fd >= 0);
	close(fd);
}

/* A build folder's programs are found by the names that its version gives them; today's come first. */
static void older_builds_are_found_by_their_names(void **state)
{
	char folder[] = "/tmp/emulator-XXXXXX", path[700];

	(void)state;
	assert_non_null(mkdtemp(folder));
	assert_string_equal(program_names_in(folder)->controller, "notchlug-controller");
	put_program(folder, "registrar");
	assert_string_equal(program_names_in(folder)->controller, "registrar");
	assert_string_equal(program_names_in(folder)->router, "counter");
	assert_string_equal(program_names_in(folder)->router_role, "counter");
	put_program(folder, "notchlug-controller");
	assert_string_equal(program_names_in(folder)->router, "notchlug-router");
	assert_string_equal(program_names_in(folder)->controller_role, "controller");
	snprintf(path, sizeof path, "%s/registrar", folder);
	unlink(path);
	snprintf(path, sizeof path, "%s/notchlug-controller", folder);
	unlink(path);
	rmdir(folder);
}

/* ---- the table that a run ends with ---- */

enum { TABLE_CONTROLLERS = 4 };

/* Controllers that refuse until a moment; a request takes no time, as on an idle machine. */
struct refusing_controllers {
	int64_t now_ms;
	int64_t accept_at_ms;
	int asked;
};

static int refusing_request(void *context, int controller, char **body)
{
	struct refusing_controllers *fleet = context;

	assert_in_range(controller, 0, TABLE_CONTROLLERS - 1);
	fleet->asked++;
	if (fleet->now_ms < fleet->accept_at_ms) {
		*body = strdup("{\"error\":\"no leader in reach\"}");
		return 503;
	}
	*body = strdup("{\"edition\":7,\"rows\":[]}");
	return 200;
}

static void refusing_sleep(void *context, int64_t ms)
{
	((struct refusing_controllers *)context)->now_ms += ms;
}

static int64_t refusing_clock(void *context)
{
	return ((struct refusing_controllers *)context)->now_ms;
}

/* All controllers refuse while they elect a leader: the table is requested again until one answers, and for a
 * bounded time. */
static void the_last_table_is_read_once_a_leader_is_back(void **state)
{
	static const int64_t no_leader_ms[] = { 0, 300, 2500, 8000 };

	(void)state;
	for (size_t i = 0; i < sizeof no_leader_ms / sizeof *no_leader_ms; i++) {
		struct refusing_controllers fleet = { 1000, 1000 + no_leader_ms[i], 0 };
		struct final_table_calls calls = { &fleet, refusing_request, refusing_sleep, refusing_clock };
		char *table = final_table_read(&calls, TABLE_CONTROLLERS);

		assert_non_null(table);
		assert_string_equal(table, "{\"edition\":7,\"rows\":[]}");
		free(table);
	}
}

static void a_fleet_without_a_leader_has_no_last_table(void **state)
{
	struct refusing_controllers fleet = { 1000, INT64_MAX, 0 };
	struct final_table_calls calls = { &fleet, refusing_request, refusing_sleep, refusing_clock };

	(void)state;
	assert_null(final_table_read(&calls, TABLE_CONTROLLERS));
	assert_true(fleet.now_ms - 1000 >= FINAL_TABLE_LIMIT_MS);
	assert_true(fleet.asked >= TABLE_CONTROLLERS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(the_checker_catches_each_violation),
		cmocka_unit_test(version_at_stake),
		cmocka_unit_test(configurations_are_told_apart),
		cmocka_unit_test(planned_changes_are_valid),
		cmocka_unit_test(histogram_is_within_its_steps),
		cmocka_unit_test(a_stream_is_whole_and_stamped),
		cmocka_unit_test(surplus_bytes_leave_the_next_request_its_connection),
		cmocka_unit_test(what_does_not_run_says_so),
		cmocka_unit_test(cached_blocks_are_not_prefilled_again_and_stay_in_their_namespace),
		cmocka_unit_test(the_longest_unused_gives_way),
		cmocka_unit_test(blocks_are_fetched_from_another_and_sent_to_the_store),
		cmocka_unit_test(events_come_late_in_order_and_name_gaps),
		cmocka_unit_test(only_so_many_calls_for_events_are_held),
		cmocka_unit_test(load_commands_are_fenced_counted_and_drop_the_cache),
		cmocka_unit_test(loads_are_refused_or_slow),
		cmocka_unit_test(broken_invariants_are_found_in_logs),
		cmocka_unit_test(stalls_of_the_disk_are_seen),
		cmocka_unit_test(a_stall_of_the_disk_explains_what_follows_it_for_a_while),
		cmocka_unit_test(preempted_streams_are_reset_and_retained_ones_tell),
		cmocka_unit_test(the_urgent_go_first_and_the_late_are_rejected),
		cmocka_unit_test(health_and_report_tell_what_they_should),
		cmocka_unit_test(faults_are_as_named),
		cmocka_unit_test(connections_are_bounded_and_idle_ones_closed),
		cmocka_unit_test(what_a_process_has_not_read_is_seen),
		cmocka_unit_test(the_list_lags_comes_in_pages_and_has_a_rate),
		cmocka_unit_test(calm_clients_break_nothing),
		cmocka_unit_test(planted_cuts_are_seen),
		cmocka_unit_test(a_missing_tenant_is_seen),
		cmocka_unit_test(cut_streams_are_resumed_without_a_violation),
		cmocka_unit_test(surplus_bytes_that_reach_a_client_are_seen),
		cmocka_unit_test(an_answer_lost_after_its_run_is_not_run_again_where_it_may_not),
		cmocka_unit_test(older_builds_are_found_by_their_names),
		cmocka_unit_test(the_last_table_is_read_once_a_leader_is_back),
		cmocka_unit_test(a_fleet_without_a_leader_has_no_last_table),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
