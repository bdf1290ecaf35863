/* The stand-in of the users' platform, tried by itself: the judge catches a breach of each rule and lets its mended
 * twin pass; servers, store and list speak as the pages say. */
#include <sched.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "ds.h"
#include "stand_run.h"

/* ---- the judge ---- */

enum { EDGES = 3, CORES = 3 };
#define ROUTE(name, prefix, service)                                                                                   \
	"{\"Name\":\"" name "\",\"HostName\":\"h.example\",\"PathPrefix\":\"" prefix "\",\"RouteType\":\"streaming\"," \
	"\"TimeoutMs\":8000,\"TargetMs\":400,\"Priority\":0,\"ServiceName\":\"" service                                \
	"\",\"MaxAttempts\":2,\"PublicAccess\":false,\"Resumable\":true}"
#define TENANTS(keys, iso)                                                             \
	"\"TenantList\":[{\"Name\":\"t1\",\"AccessKeys\":[" keys "],\"Isolated\":" iso \
	"},{\"Name\":\"t2\",\"AccessKeys\":[\"k2\"],\"Isolated\":false}]"
#define SERVICES "\"ServiceList\":[{\"Name\":\"lm\"},{\"Name\":\"lm2\"}]"
#define CFG(version, routes, tenants) "{\"ConfigVersion\":" version ",\"RouteList\":[" routes "]," SERVICES "," tenants "}"
#define FIRST CFG("1", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false"))

static const struct try_rec a_try = {
	.id = "x1",
	.subject = "s1",
	.method = "POST",
	.host = "h.example",
	.path = "/a/1",
	.key = "k1",
	.body = 7,
	.edge = 0,
	.deadline = 8000,
	.stream = 1,
	.kind = TRY_RESUMABLE,
};

static int cfg_at(struct judge *j, int64_t t, int64_t acked, int64_t base, const char *s)
{
	struct cfg *c = cfg_read(s);
	int n = judge_cfg(j, t, c, base, cfg_invalid(c, base) != NULL);

	if (acked >= 0)
		judge_cfg_fate(j, acked, n, CFG_ACKED);
	return n;
}

static struct judge *world(void)
{
	struct judge *j = judge_open(&bounds_sheet);

	for (int i = 0; i < EDGES + CORES; i++)
		judge_machine(j, 0, i, i >= EDGES, CALM, 1);
	cfg_at(j, 100, 300, 0, FIRST);
	judge_named(j, 0, 1, 1);
	return j;
}

static int arrives(struct judge *j, int64_t t, const struct try_rec *x, const char *service, const char *instance)
{
	struct arrive_rec a = { .id = x->id,
				.method = x->method,
				.host = x->host,
				.path = x->path,
				.tenant = "t1",
				.service = service,
				.instance = instance,
				.body = x->body,
				.last_event = x->last_event };

	return judge_arrive(j, t, &a);
}

static int runs(struct judge *j, int64_t t, const struct try_rec *x, const char *service)
{
	int run = arrives(j, t, x, service, "i-1");

	judge_begin(j, t + 20, run, 1, NULL, 0);
	return run;
}

static struct told_rec told(const struct try_rec *x, int run, const struct event_rec *e, int n)
{
	return (struct told_rec){
		.id = x->id, .seal_id = x->id, .status = 200, .seal = run, .how = TOLD_WHOLE, .event = e, .nevent = n, .events = 1
	};
}

/* A try that is served whole: two pieces. */
static int served(struct judge *j, int64_t t, const struct try_rec *x, const char *service)
{
	int run;
	struct event_rec e[2];
	struct told_rec r;

	judge_try(j, t, x);
	run = runs(j, t + 5, x, service);
	judge_ran(j, t + 60, run, 1, 200, 0, 2);
	e[0] = (struct event_rec){ 1, run };
	e[1] = (struct event_rec){ 2, run };
	r = told(x, run, e, 2);
	judge_told(j, t + 70, &r);
	return run;
}

static void answered(struct judge *j, int64_t t, const struct try_rec *x, int status, int own)
{
	struct told_rec r = { .id = x->id, .status = status, .seal = -1, .own = own, .how = TOLD_WHOLE };

	judge_told(j, t, &r);
}

static struct try_rec named(const char *id)
{
	struct try_rec x = a_try;

	x.id = id;
	return x;
}

/* each: with bad set the rule is broken, without it the same story is mended */

static void no_seal(struct judge *j, int bad)
{
	struct event_rec e[2];
	struct told_rec r;
	int run;

	judge_try(j, 5000, &a_try);
	run = runs(j, 5005, &a_try, "lm");
	judge_ran(j, 5060, run, 1, 200, 0, 2);
	e[0] = (struct event_rec){ 1, run }, e[1] = (struct event_rec){ 2, run };
	r = told(&a_try, bad ? -1 : run, e, 2);
	judge_told(j, 5070, &r);
}

static void other_answer(struct judge *j, int bad)
{
	struct try_rec y = named("x2");
	struct event_rec e[1];
	struct told_rec r;
	int run[2];

	judge_try(j, 5000, &a_try);
	judge_try(j, 5000, &y);
	run[0] = runs(j, 5005, &a_try, "lm");
	run[1] = runs(j, 5005, &y, "lm");
	judge_ran(j, 5060, run[0], 1, 200, 0, 1);
	judge_ran(j, 5060, run[1], 1, 200, 0, 1);
	e[0] = (struct event_rec){ 1, run[bad] };
	r = told(&a_try, run[bad], e, 1);
	r.seal_id = bad ? "x2" : "x1";
	judge_told(j, 5070, &r);
}

static void other_body(struct judge *j, int bad)
{
	struct told_rec r;
	int run;

	judge_try(j, 5000, &a_try);
	run = runs(j, 5005, &a_try, "lm");
	judge_ran(j, 5060, run, 1, 200, 99, 0);
	r = told(&a_try, run, NULL, 0);
	r.events = 0;
	r.body = bad ? 98 : 99;
	judge_told(j, 5070, &r);
}

static void success_of_a_failure(struct judge *j, int bad)
{
	struct told_rec r;
	int run;

	judge_try(j, 5000, &a_try);
	run = runs(j, 5005, &a_try, "lm");
	judge_ran(j, 5060, run, 1, 500, 99, 0);
	r = told(&a_try, run, NULL, 0);
	r.events = 0;
	r.body = 99;
	r.status = bad ? 200 : 500;
	judge_told(j, 5070, &r);
}

static void garbage(struct judge *j, int bad)
{
	struct told_rec r;
	int run;

	judge_try(j, 5000, &a_try);
	run = runs(j, 5005, &a_try, "lm");
	judge_ran(j, 5060, run, bad ? 1 : 0, 200, 0, 1); /* 0: the server broke off itself */
	r = told(&a_try, run, NULL, 0);
	r.status = 0;
	r.how = TOLD_BAD;
	judge_told(j, 5070, &r);
}

static void stray(struct judge *j, int bad)
{
	struct told_rec r = { .id = "x1", .how = TOLD_STRAY };

	served(j, 5000, &a_try, "lm");
	if (bad)
		judge_told(j, 5100, &r);
}

static void broke_but_whole(struct judge *j, int bad)
{
	struct told_rec r;
	int run;

	judge_try(j, 5000, &a_try);
	run = runs(j, 5005, &a_try, "lm");
	judge_ran(j, 5060, run, 0, 200, 99, 0);
	r = told(&a_try, run, NULL, 0);
	r.events = 0;
	r.how = bad ? TOLD_WHOLE : TOLD_CUT;
	judge_told(j, 5070, &r);
}

static void unasked(struct judge *j, int bad)
{
	struct try_rec y = named(bad ? "nobody" : "x1");

	judge_try(j, 5000, &a_try);
	judge_ran(j, 5060, runs(j, 5005, &y, "lm"), 1, 200, 0, 2);
}

static void changed_path(struct judge *j, int bad)
{
	struct try_rec y = a_try;

	judge_try(j, 5000, &a_try);
	if (bad)
		y.path = "/a/2";
	runs(j, 5005, &y, "lm");
}

static void changed_body(struct judge *j, int bad)
{
	struct try_rec y = a_try;

	judge_try(j, 5000, &a_try);
	y.body += (uint64_t)bad;
	runs(j, 5005, &y, "lm");
}

static void other_tenant(struct judge *j, int bad)
{
	struct try_rec y = a_try;

	y.key = bad ? "k2" : "k1"; /* runs as t1 */
	judge_try(j, 5000, &y);
	runs(j, 5005, &y, "lm");
}

static void twice(struct judge *j, int bad)
{
	struct try_rec y = a_try;

	y.kind = bad ? TRY_ONCE : TRY_IDEMPOTENT;
	judge_try(j, 5000, &y);
	runs(j, 5005, &y, "lm");
	runs(j, 5105, &y, "lm");
}

static void refused(struct judge *j, int bad)
{
	struct try_rec y = a_try;

	y.kind = TRY_ONCE;
	judge_try(j, 5000, &y);
	answered(j, 5010, &y, 503, 1);
	if (bad)
		runs(j, 5105, &y, "lm");
	else
		arrives(j, 5105, &y, "lm", "i-1");
}

static void denied(struct judge *j, int bad)
{
	for (int i = 0; i < 6; i++) {
		struct try_rec y = a_try;
		char id[20];

		snprintf(id, sizeof id, "d%d", i);
		y.id = id;
		judge_try(j, 5000 + i, &y);
		answered(j, 5010 + i, &y, bad || i < 5 ? 400 : 429, 1);
	}
}

static void route(struct judge *j, int bad)
{
	judge_try(j, 5000, &a_try);
	runs(j, 5005, &a_try, bad ? "lm2" : "lm");
}

static void unknown_key(struct judge *j, int bad)
{
	struct try_rec y = a_try;

	y.key = bad ? "k9" : "k1";
	judge_try(j, 5000, &y);
	runs(j, 5005, &y, "lm");
}

static void old_version(struct judge *j, int bad)
{
	cfg_at(j, 5000, 5200, 1, CFG("3", ROUTE("a", "/a/", "lm2"), TENANTS("\"k1\"", "false")));
	served(j, 5200 + 2000 + (bad ? 10 : -10), &a_try, "lm");
}

static void old_denial(struct judge *j, int bad)
{
	struct try_rec y = a_try;

	y.path = "/b/1";
	cfg_at(j, 5000, 5200, 1, CFG("3", ROUTE("a", "/a/", "lm") "," ROUTE("b", "/b/", "lm"), TENANTS("\"k1\"", "false")));
	judge_try(j, 5200 + 2000 + (bad ? 10 : -10), &y);
	answered(j, 7300, &y, 404, 1);
}

static void old_while_out_of_touch(struct judge *j, int bad)
{
	cfg_at(j, 5000, 5200, 1, CFG("3", ROUTE("a", "/a/", "lm2"), TENANTS("\"k1\"", "false")));
	if (!bad) {
		judge_machine(j, 6000, 0, 0, UNPLANNED, 0);
		judge_machine(j, 6500, 0, 0, CALM, 1);
	}
	served(j, 7300, &a_try, "lm");
}

static void goes_back(struct judge *j, int bad)
{
	struct try_rec y = named("x2");

	cfg_at(j, 5000, 5200, 1, CFG("3", ROUTE("a", "/a/", "lm2"), TENANTS("\"k1\"", "false")));
	served(j, 5300, &a_try, "lm2");
	served(j, bad ? 5325 + 260 : 5325 + 240, &y, "lm");
}

static void refused_in_force(struct judge *j, int bad)
{
	int n = cfg_at(j, 5000, -1, 1, CFG("3", ROUTE("a", "/a/", "lm2"), TENANTS("\"k1\"", "false")));

	judge_cfg_fate(j, 5200, n, CFG_REFUSED);
	served(j, 8000, &a_try, bad ? "lm2" : "lm");
}

static void invalid_acked(struct judge *j, int bad)
{
	int n = cfg_at(j, 5000, -1, 1,
		       bad ? CFG("3", ROUTE("a", "/a/", "nowhere"), TENANTS("\"k1\"", "false"))
			   : CFG("3", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false")));

	judge_cfg_fate(j, 5200, n, CFG_ACKED);
}

static void both_acked(struct judge *j, int bad)
{
	int n;

	cfg_at(j, 5000, 5100, 1, CFG("3", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false")));
	n = cfg_at(j, 5000, -1, 1, CFG("4", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false")));
	judge_cfg_fate(j, 5100, n, bad ? CFG_ACKED : CFG_REFUSED);
}

static void read_old(struct judge *j, int bad)
{
	cfg_at(j, 5000, 5100, 1, CFG("3", ROUTE("b", "/b/", "lm"), TENANTS("\"k1\"", "false")));
	judge_read(j, 20000, bad ? FIRST : CFG("3", ROUTE("b", "/b/", "lm"), TENANTS("\"k1\"", "false")));
}

/* Its base was never in force. */
static void built_on_nothing(struct judge *j, int bad)
{
	cfg_at(j, 5000, 5100, 1, CFG("3", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false")));
	cfg_at(j, 6000, 6100, bad ? 4 : 3, CFG("5", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false")));
}

/* It was acknowledged before the one that it builds on was sent. */
static void acknowledged_too_early(struct judge *j, int bad)
{
	int64_t first = bad ? 6000 : 5000, second = bad ? 5000 : 6000;

	cfg_at(j, first, first + 100, 1, CFG("3", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false")));
	cfg_at(j, second, second + 100, 3, CFG("5", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false")));
}

static void read_other(struct judge *j, int bad)
{
	cfg_at(j, 5000, 5100, 1, CFG("3", ROUTE("b", "/b/", "lm"), TENANTS("\"k1\"", "false")));
	judge_read(j, 20000, CFG("3", ROUTE("b", "/b/", "lm"), TENANTS("\"k1\"", "false")));
	if (bad)
		judge_read(j, 20000, CFG("3", ROUTE("b", "/c/", "lm"), TENANTS("\"k1\"", "false")));
}

static void read_nothing(struct judge *j, int bad) { judge_read(j, 20000, bad ? NULL : FIRST); }

static void lost_after_fault(struct judge *j, int bad)
{
	cfg_at(j, 5000, 5100, 1, CFG("3", ROUTE("b", "/b/", "lm"), TENANTS("\"k1\"", "false")));
	judge_closing(j, 5200, 6000);
	judge_read(j, 30000, bad ? FIRST : CFG("3", ROUTE("b", "/b/", "lm"), TENANTS("\"k1\"", "false")));
}

static void added_routes(struct judge *j, int bad)
{
	char *big = malloc(20000);
	size_t n = (size_t)sprintf(big, "{\"ConfigVersion\":3,\"RouteList\":[" ROUTE("a", "/a/", "lm"));

	for (int i = 0; i < 25; i++)
		n += (size_t)sprintf(
		    big + n,
		    ",{\"Name\":\"n%d\",\"HostName\":\"h.example\",\"PathPrefix\":\"/n%d/\",\"TimeoutMs\":8000,\"ServiceName\":\"lm\"}",
		    i, i);
	sprintf(big + n, "]," SERVICES "," TENANTS("\"k1\"", "false") "}");
	cfg_at(j, 4000, 4100, 1, big);
	free(big);
	for (int i = 0; i < 50; i++) {
		struct try_rec y = a_try;
		char id[20], path[20];

		snprintf(id, sizeof id, "a%d", i);
		snprintf(path, sizeof path, i % 2 ? "/n%d/1" : "/a/%d", i / 2);
		y.id = id;
		y.path = path;
		if (i % 2 && bad && i > 10) {
			judge_try(j, 7000 + i, &y);
			answered(j, 7010 + i, &y, 503, 1);
		} else {
			served(j, 7000 + i, &y, "lm");
		}
	}
}

static void revoked(struct judge *j, int bad)
{
	cfg_at(j, 5000, 5100, 1, CFG("3", ROUTE("a", "/a/", "lm"), TENANTS("\"k3\"", "false")));
	judge_machine(j, 5050, 0, 0, UNPLANNED, 1); /* also on machines that are not in touch */
	judge_machine(j, 9000, 0, 0, UNPLANNED, 1);
	served(j, 5100 + 5000 + (bad ? 10 : -10), &a_try, "lm");
}

static void drain(struct judge *j, int bad)
{
	judge_shown(j, 5000, "i-1", SHOWN_DRAINING);
	judge_try(j, 7900, &a_try);
	arrives(j, 8000 + (bad ? 10 : -10), &a_try, "lm", "i-1");
}

static void drain_421(struct judge *j, int bad)
{
	judge_shown(j, 5000, "i-1", SHOWN_GONE);
	judge_try(j, 7900, &a_try);
	judge_turned(j, arrives(j, 8010, &a_try, "lm", "i-1"), bad ? 503 : 421);
}

static void lost(struct judge *j, int bad)
{
	struct told_rec r = { .id = "x1", .seal = -1, .how = TOLD_CUT };

	judge_try(j, 10000, &a_try);
	runs(j, 10010, &a_try, "lm");
	judge_machine(j, 10100, 0, 0, bad ? PLANNED : UNPLANNED, 0);
	judge_told(j, 10300, &r);
}

static void lost_unread(struct judge *j, int bad)
{
	struct told_rec r = { .id = "x1", .seal = -1, .how = bad ? TOLD_CUT : TOLD_NOTHING }; /* a reset: it was not read */

	judge_try(j, 10000, &a_try);
	judge_machine(j, 10100, 0, 0, PLANNED, 0);
	judge_told(j, 10300, &r);
}

static void lost_late_work(struct judge *j, int bad)
{
	struct told_rec r = { .id = "x1", .seal = -1, .how = TOLD_CUT };
	int run;

	judge_try(j, 10000, &a_try);
	run = runs(j, 10010, &a_try, "lm");
	judge_machine(j, 10100, 0, 0, PLANNED, 0);
	if (bad)
		judge_ran(j, 11000, run, 1, 200, 0, 2);
	judge_told(j, 15000, &r); /* in the second half of GraceS; excused while its server still works */
}

/* ---- LOST, clause by clause: bad breaks the rule, the mended twin is just inside it ---- */

enum { STOPPED_AT = 10100, RELOADED_AT = 12000, CFG_SENT_AT = 20000, CFG_ACKED_AT = 20100 };

static void stops(struct judge *j, int machine) { judge_machine(j, STOPPED_AT, machine, machine >= EDGES, PLANNED, 0); }

/* A reset without a byte of an answer; read: the machine's process had read the whole request. */
static void is_reset(struct judge *j, int64_t t, const char *id, int read)
{
	struct told_rec r = { .id = id, .seal = -1, .how = TOLD_NOTHING, .read = read };

	judge_told(j, t, &r);
}

/* Passed on to a server that is at work on it when the connection is reset. */
static void reset_at_work(struct judge *j, int64_t t, int64_t end)
{
	judge_try(j, t, &a_try);
	runs(j, t + 10, &a_try, "lm");
	is_reset(j, end, "x1", 1);
}

static void configured(struct judge *j)
{
	cfg_at(j, CFG_SENT_AT, CFG_ACKED_AT, 1, CFG("5", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false")));
}

static void lost_passed_on(struct judge *j, int bad)
{
	stops(j, 0);
	if (bad)
		reset_at_work(j, 10200, 10250); /* within LossSlackMs: it has been passed on all the same */
	else
		served(j, 10200, &a_try, "lm");
}

static void lost_after_slack(struct judge *j, int bad)
{
	stops(j, 0);
	judge_try(j, 10200, &a_try);
	is_reset(j, 10400 + bad, "x1", 1);
}

static void lost_read(struct judge *j, int bad)
{
	stops(j, 0);
	judge_try(j, 10200, &a_try);
	is_reset(j, 10500, "x1", bad); /* unread bytes are no whole request */
}

static void lost_after_grace(struct judge *j, int bad)
{
	int64_t end = STOPPED_AT + bounds_sheet.grace + 1000 + !bad;

	stops(j, 0);
	judge_try(j, end - 500, &a_try);
	is_reset(j, end, "x1", 1);
}

static void lost_before_the_stop(struct judge *j, int bad)
{
	judge_try(j, STOPPED_AT - 500, &a_try);
	stops(j, 0);
	is_reset(j, STOPPED_AT - !bad, "x1", 1);
}

static void lost_beside_another_stop(struct judge *j, int bad)
{
	stops(j, bad ? 0 : 1);
	reset_at_work(j, 10200, 10700);
}

static void lost_sent_after_reload(struct judge *j, int bad)
{
	int64_t t = RELOADED_AT + bounds_sheet.apply + !bad;

	judge_reload(j, RELOADED_AT, 0);
	reset_at_work(j, t, t + 300);
}

static void lost_cut_after_reload(struct judge *j, int bad)
{
	judge_reload(j, RELOADED_AT, 0);
	reset_at_work(j, RELOADED_AT - 1000, RELOADED_AT + bad);
}

static void lost_beside_another_reload(struct judge *j, int bad)
{
	judge_reload(j, RELOADED_AT, bad ? 0 : 1);
	reset_at_work(j, RELOADED_AT + 100, RELOADED_AT + 500);
}

static void lost_from_the_sending(struct judge *j, int bad)
{
	configured(j);
	reset_at_work(j, CFG_SENT_AT - 500, CFG_SENT_AT - !bad);
}

static void lost_after_the_acknowledgement(struct judge *j, int bad)
{
	int64_t end = CFG_ACKED_AT + bounds_sheet.apply + 1000 + !bad;

	configured(j);
	reset_at_work(j, end - 500, end);
}

/* One with no clear answer may be in force for the rest of the day; one that was refused never is. */
static void lost_beside_a_refused_one(struct judge *j, int bad)
{
	int n = cfg_at(j, CFG_SENT_AT, -1, 1, CFG("5", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false")));

	if (!bad)
		judge_cfg_fate(j, CFG_ACKED_AT, n, CFG_REFUSED);
	reset_at_work(j, 30000, 30500);
}

static void lost_beside_an_invalid_one(struct judge *j, int bad)
{
	const char *service = bad ? CFG("5", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false"))
				  : CFG("5", ROUTE("a", "/a/", "nowhere"), TENANTS("\"k1\"", "false"));

	cfg_at(j, CFG_SENT_AT, -1, 1, service);
	reset_at_work(j, 30000, 30500);
}

/* Beside the configuration 40 requests, of them 12 or 13 cut; at other times 10, of them 1 cut. */
static void lost_over_three_times_as_often(struct judge *j, int bad)
{
	char id[20];

	configured(j);
	for (int i = 0; i < 50; i++) {
		int beside = i < 40, cut = beside ? i < 12 + bad : i == 40;
		int64_t t = beside ? CFG_SENT_AT + 10 * i : 10000 + 10 * i;
		struct try_rec x;

		snprintf(id, sizeof id, "s%d", i);
		x = named(id);
		if (!cut) {
			served(j, t, &x, "lm");
			continue;
		}
		judge_try(j, t, &x);
		runs(j, t + 5, &x, "lm");
		is_reset(j, t + 100, id, 1);
	}
}

static void lost_before_seven_tenths(struct judge *j, int bad)
{
	configured(j);
	reset_at_work(j, CFG_SENT_AT - 5000, CFG_SENT_AT - 5000 + 5600 - bad); /* of 8000 */
}

/* Seven tenths of its time excuse nothing beside a SIGHUP. */
static void lost_late_beside_reload(struct judge *j, int bad)
{
	configured(j);
	if (bad)
		judge_reload(j, CFG_SENT_AT, 0);
	reset_at_work(j, CFG_SENT_AT - 5000, CFG_SENT_AT + 600);
}

static void lost_in_calm(struct judge *j, int bad)
{
	int64_t sent_at = 10200, from = sent_at - bounds_sheet.contact;

	judge_machine(j, from - bad, 0, 0, UNPLANNED, 1);
	stops(j, 0);
	reset_at_work(j, sent_at, sent_at + 500);
}

static void lost_in_a_calm_core(struct judge *j, int bad)
{
	int64_t sent_at = 10200, from = sent_at - bounds_sheet.contact;

	judge_machine(j, from - bad, EDGES, 1, UNPLANNED, 1);
	stops(j, 0);
	reset_at_work(j, sent_at, sent_at + 500);
}

static void lost_not_broken_off(struct judge *j, int bad)
{
	int run;

	stops(j, 0);
	judge_try(j, 10200, &a_try);
	run = runs(j, 10210, &a_try, "lm");
	judge_ran(j, 10300, run, bad, 200, 0, 2); /* 1: the whole answer went out; 0: the server broke off */
	is_reset(j, 10400, "x1", 1);
}

/* A server broke off, another took the request on; only the last one counts, and not one that turned it away. */
static void lost_at_a_second_server(struct judge *j, int bad)
{
	int run;

	stops(j, 0);
	judge_try(j, 10200, &a_try);
	run = runs(j, 10210, &a_try, "lm");
	judge_ran(j, 10300, run, 0, 200, 0, 1);
	run = arrives(j, 10310, &a_try, "lm", "i-2");
	if (!bad)
		judge_turned(j, run, 503);
	is_reset(j, 10600, "x1", 1);
}

static void lost_before_the_deadline(struct judge *j, int bad)
{
	struct try_rec x = a_try;

	x.deadline = 1000;
	stops(j, 0);
	judge_try(j, 10200, &x);
	is_reset(j, 11200 - bad, "x1", 1);
}

static void lost_before_the_timeout(struct judge *j, int bad)
{
	cfg_at(
	    j, 5000, 5100, 1,
	    CFG("5",
		"{\"Name\":\"a\",\"HostName\":\"h.example\",\"PathPrefix\":\"/a/\",\"RouteType\":\"streaming\",\"TimeoutMs\":1000,"
		"\"ServiceName\":\"lm\",\"MaxAttempts\":2}",
		TENANTS("\"k1\"", "false")));
	stops(j, 0);
	judge_try(j, 10200, &a_try);
	is_reset(j, 11200 - bad, "x1", 1);
}

/* The server is at work past GraceS; the request was sent 3 s after the SIGTERM at the latest, or later. */
static void lost_sent_long_after_the_stop(struct judge *j, int bad)
{
	stops(j, 0);
	reset_at_work(j, STOPPED_AT + 3000 + bad, STOPPED_AT + 7000);
}

static void lost_in_the_first_half(struct judge *j, int bad)
{
	stops(j, 0);
	reset_at_work(j, STOPPED_AT + 100, STOPPED_AT + bounds_sheet.grace / 2 - bad);
}

static void lost_done_in_the_first_half(struct judge *j, int bad)
{
	int run;

	stops(j, 0);
	judge_try(j, STOPPED_AT + 100, &a_try);
	run = runs(j, STOPPED_AT + 110, &a_try, "lm");
	judge_ran(j, STOPPED_AT + bounds_sheet.grace / 2 - bad, run, 1, 200, 0, 2);
	is_reset(j, STOPPED_AT + bounds_sheet.grace / 2 + 500, "x1", 1);
}

static void budget(struct judge *j, int bad)
{
	for (int i = 0; i < 100; i++) { /* 0.2 x 100 + 58 = 78 */
		struct try_rec y = a_try;
		char id[20];

		snprintf(id, sizeof id, "b%d", i);
		y.id = id;
		judge_try(j, 5000 + i, &y);
		arrives(j, 5001 + i, &y, "lm", "i-1");
		if (i < 78 + bad)
			arrives(j, 5200 + i, &y, "lm", "i-1");
	}
}

static void order_gap(struct judge *j, int bad)
{
	struct event_rec e[3];
	struct told_rec r;
	int run;

	judge_try(j, 5000, &a_try);
	run = runs(j, 5005, &a_try, "lm");
	judge_ran(j, 5060, run, 1, 200, 0, 3);
	for (int i = 0; i < 3; i++)
		e[i] = (struct event_rec){ i + 1, run };
	if (bad)
		e[1] = e[2];
	r = told(&a_try, run, e, 3 - bad);
	judge_told(j, 5070, &r);
}

static void order_double(struct judge *j, int bad)
{
	struct event_rec e[3];
	struct told_rec r;
	int run;

	judge_try(j, 5000, &a_try);
	run = runs(j, 5005, &a_try, "lm");
	judge_ran(j, 5060, run, 1, 200, 0, 2);
	e[0] = e[1] = (struct event_rec){ 1, run };
	e[2] = (struct event_rec){ 2, run };
	r = told(&a_try, run, e + !bad, 2 + bad);
	judge_told(j, 5070, &r);
}

static void order_short(struct judge *j, int bad)
{
	struct event_rec e[1];
	struct told_rec r;
	int run;

	judge_try(j, 5000, &a_try);
	run = runs(j, 5005, &a_try, "lm");
	judge_ran(j, 5060, run, 0, 200, 0, 1);
	e[0] = (struct event_rec){ 1, run };
	r = told(&a_try, run, e, 1);
	r.how = bad ? TOLD_WHOLE : TOLD_CUT;
	judge_told(j, 5070, &r);
}

static void order_joined(struct judge *j, int bad)
{
	struct try_rec again = a_try;
	struct event_rec e[2];
	struct told_rec r;
	int run[2];

	judge_try(j, 5000, &a_try);
	run[0] = runs(j, 5005, &a_try, "lm");
	judge_ran(j, 5060, run[0], 0, 200, 0, 1);
	again.last_event = bad ? 0 : 1; /* the second run goes on where the first was cut */
	run[1] = runs(j, 5100, &again, "lm");
	judge_ran(j, 5160, run[1], 1, 200, 0, 2);
	e[0] = (struct event_rec){ 1, run[0] };
	e[1] = (struct event_rec){ 2, run[1] };
	r = told(&a_try, run[0], e, 2);
	judge_told(j, 5170, &r);
}

static void order_joined_once(struct judge *j, int bad)
{
	struct try_rec x = a_try, again;
	struct event_rec e[2];
	struct told_rec r;
	int run[2];

	x.kind = bad ? TRY_ONCE : TRY_RESUMABLE;
	judge_try(j, 5000, &x);
	run[0] = runs(j, 5005, &x, "lm");
	judge_ran(j, 5060, run[0], 0, 200, 0, 1);
	again = x;
	again.last_event = 1;
	run[1] = runs(j, 5100, &again, "lm");
	judge_ran(j, 5160, run[1], 1, 200, 0, 2);
	e[0] = (struct event_rec){ 1, run[0] };
	e[1] = (struct event_rec){ 2, run[1] };
	r = told(&x, run[0], e, 2);
	judge_told(j, 5170, &r);
}

static void orders(struct judge *j, int64_t t, const char *holder, int64_t fence, int status, int thawed)
{
	struct order_rec r = { .instance = "i-1", .holder = holder, .fence = fence, .status = status, .thawed = thawed };

	judge_order(j, t, &r);
}

static void one_fence(struct judge *j, int bad)
{
	orders(j, 5000, "a", 4, 202, 0);
	orders(j, 9000, "b", bad ? 4 : 5, 202, 0);
}

static void one_lease(struct judge *j, int bad)
{
	orders(j, 5000, "a", 4, 202, 0);
	orders(j, bad ? 7990 : 8010, "b", 5, 202, 0);
}

static void one_thawed(struct judge *j, int bad)
{
	orders(j, 5000, "a", 4, 202, 0);
	orders(j, 6000, "b", 5, bad ? 202 : 412, 0);
	orders(j, 6100, "c", 5, 202, 1);
}

static void stale(struct judge *j, int bad)
{
	struct used_rec u = { bad ? 1 : 2, "t1" };

	judge_try(j, 5000, &a_try);
	judge_begin(j, 5020, arrives(j, 5005, &a_try, "lm", "i-1"), 2, &u, 1);
}

static void wall(struct judge *j, int bad)
{
	struct used_rec u = { 1, "t2" };

	cfg_at(j, 4000, 4100, 1, CFG("3", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "true")));
	judge_try(j, 6000, &a_try);
	judge_begin(j, bad ? 6110 : 6090, arrives(j, 6005, &a_try, "lm", "i-1"), 1, &u,
		    1); /* in force 2 s after it was acknowledged */
}

static void version(struct judge *j, int bad)
{
	judge_named(j, 5000, 2, 0);
	judge_named(j, 5100, 2, 1);
	judge_try(j, 20000, &a_try);
	judge_begin(j, 20100 + (bad ? 10 : -10), arrives(j, 20005, &a_try, "lm", "i-1"), 1, NULL, 0);
}

/* The machine that takes a_try sends it at `sent`; it begins on `weights` at `begun`. */
static void begins_on(struct judge *j, int64_t sent, int64_t begun, int weights)
{
	judge_try(j, sent, &a_try);
	judge_begin(j, begun, arrives(j, sent + 5, &a_try, "lm", "i-1"), weights, NULL, 0);
}

/* The sender is killed between the send and the beginning: it was in touch as it sent. */
static void version_sender_gone(struct judge *j, int bad)
{
	judge_named(j, 5100, 2, 1);
	judge_machine(j, 20050, a_try.edge, 0, UNPLANNED, 0);
	begins_on(j, 20000, 20100 + (bad ? 10 : -10), 1);
}

/* The sender was thawed too lately as it sent, though it is in touch again at the beginning. */
static void version_sender_thawed(struct judge *j, int bad)
{
	judge_named(j, 5100, 2, 1);
	judge_machine(j, 20000, a_try.edge, 0, UNPLANNED, 0);
	judge_machine(j, 21000, a_try.edge, 0, UNPLANNED, 1);
	begins_on(j, 24000 + (bad ? 1 : -10), 24500, 1);
}

/* The time counts over one settled stretch, which begins ContactMs after the last trouble of the core. */
static void version_unsettled(struct judge *j, int bad)
{
	judge_named(j, 2000, 2, 1);
	judge_machine(j, 6000, EDGES, 1, UNPLANNED, 0);
	judge_machine(j, 7000, EDGES, 1, UNPLANNED, 1);
	begins_on(j, 24900, 25000 + (bad ? 10 : -10), 1);
}

/* Later namings don't put off what an earlier one asks. */
static void version_named_again(struct judge *j, int bad)
{
	for (int weights = 2; weights < 14; weights++)
		judge_named(j, 5100 + 1000 * (weights - 2), weights, 1);
	begins_on(j, 20000, 20100 + (bad ? 10 : -10), 1);
}

/* Weights that are not the newest may be used for VersionMs from the naming that followed them. */
static void version_between(struct judge *j, int bad)
{
	judge_named(j, 3000, 2, 1);
	judge_named(j, 5100, 3, 1);
	judge_named(j, 9000, 4, 1);
	begins_on(j, 20000, 20100 + (bad ? 10 : -10), 2);
}

/* A naming that nobody acknowledged asks for nothing. */
static void version_not_acked(struct judge *j, int bad)
{
	judge_machine(j, 5050, EDGES, 1, UNPLANNED, 0); /* nor has the core to acknowledge it */
	judge_named(j, 5100, 2, 0);
	if (bad)
		judge_named(j, 5200, 2, 1);
	begins_on(j, 23200, 23300, 1);
}

static void version_at_stake(void **st)
{
	struct judge *j = world();

	(void)st;
	assert_int_equal(judge_version_at_stake(j), 0);
	begins_on(j, 5000, 5010, 1);
	judge_named(j, 5100, 2, 1);
	assert_int_equal(judge_version_at_stake(j), 0);
	begins_on(j, 20000, 20100, 2); /* just at the bound */
	assert_int_equal(judge_version_at_stake(j), 0);
	begins_on(j, 20000, 20101, 2);
	assert_int_equal(judge_version_at_stake(j), 1);
	judge_close(j);
}

static void acks(struct judge *j, int bad)
{
	cfg_at(j, 5000, 9003 + (bad ? 1 : 0), 1, CFG("3", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false")));
}

static void acks_unsettled(struct judge *j, int bad)
{
	cfg_at(j, 5000, -1, 1, CFG("3", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false")));
	if (!bad)
		judge_machine(j, 6000, EDGES, 1, UNPLANNED, 0);
}

static void acks_weights(struct judge *j, int bad)
{
	judge_named(j, 5000, 2, 0);
	judge_named(j, bad ? 9010 : 8990, 2, 1);
}

static void recover(struct judge *j, int bad)
{
	for (int i = 0; i < 10; i++) {
		struct try_rec y = a_try;
		char id[20];

		snprintf(id, sizeof id, "q%d", i);
		y.id = id;
		served(j, 5000 + i, &y, "lm");
	}
	judge_closing(j, 6000, 7000);
	for (int i = 0; i < 10; i++) {
		struct try_rec y = a_try;
		char id[20];

		snprintf(id, sizeof id, "r%d", i);
		y.id = id;
		if (i < 3 - bad) {
			served(j, 19010 + i, &y, "lm");
		} else {
			judge_try(j, 19010 + i, &y);
			answered(j, 19020 + i, &y, 503, 1);
		}
	}
}

static void own_ends(struct judge *j, int bad)
{
	for (int i = 0; i < 3; i++) {
		judge_own_end(j, 5000, 0);
		if (i < 2 + bad)
			judge_own_end(j, 5000, 1);
	}
}

static void starved(struct judge *j, int bad)
{
	for (int i = 0; i < 80; i++) {
		struct try_rec y = a_try;
		char id[20];

		snprintf(id, sizeof id, "v%d", i);
		y.id = id;
		y.key = i % 2 ? "k1" : "k2";
		judge_try(j, 5000 + i, &y);
		if (i % 2 || (!bad && i % 4 == 0)) {
			struct arrive_rec a = { .id = id,
						.method = y.method,
						.host = y.host,
						.path = y.path,
						.tenant = i % 2 ? "t1" : "t2",
						.service = "lm",
						.instance = "i-1",
						.body = y.body };
			int run = judge_arrive(j, 5005 + i, &a);
			struct event_rec e[1] = { { 1, run } };
			struct told_rec r = told(&y, run, e, 1);

			judge_begin(j, 5010 + i, run, 1, NULL, 0);
			judge_ran(j, 5060 + i, run, 1, 200, 0, 1);
			judge_told(j, 5070 + i, &r);
		} else {
			answered(j, 5020 + i, &y, 503, 1);
		}
	}
}

/* rule: the one it breaks, and behind it what the same story breaks besides */
static const struct {
	const char *name, *rule;
	void (*fn)(struct judge *j, int bad);
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

static void judge_catches_each_breach(void **st)
{
	int wrong = 0;

	(void)st;
	for (size_t i = 0; i < sizeof stories / sizeof *stories; i++)
		for (int bad = 0; bad < 2; bad++) {
			struct judge *j = world();
			const struct breach *b;
			int n, hit = 0;

			stories[i].fn(j, bad);
			n = judge_all(j, 40000, &b);
			for (int k = 0; k < n; k++) {
				if (!bad || !strstr(stories[i].rule, b[k].rule)) {
					print_error("%s, %s: %s %s\n", stories[i].name, bad ? "broken" : "mended", b[k].rule,
						    b[k].text);
					wrong++;
				}
				hit += !strncmp(stories[i].rule, b[k].rule, strlen(b[k].rule));
			}
			if (bad && !hit) {
				print_error("%s: the breach of %s is not seen\n", stories[i].name, stories[i].rule);
				wrong++;
			}
			judge_close(j);
		}
	assert_int_equal(wrong, 0);
}

static void configurations_are_told_apart(void **st)
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
		{ CFG("2", ROUTE("a", "/a/", "lm") "," ROUTE("b", "/a/", "lm"), TENANTS("\"k1\"", "false")), 1, 1 },
		{ CFG("2", ROUTE("a", "/a/", "lm") "," ROUTE("b", "/b/", "lm"), TENANTS("\"k1\"", "false")), 1, 0 },
		{ CFG("2", ROUTE("a", "/a/", "lm"), TENANTS("\"k2\"", "false")), 1, 1 }, /* a shared key */
		{ CFG("2", "{\"Name\":\"a\",\"HostName\":\"h\",\"PathPrefix\":\"/a/\",\"TimeoutMs\":0,\"ServiceName\":\"lm\"}",
		      TENANTS("", "false")),
		  1, 1 },
		{ CFG("2",
		      "{\"Name\":\"a\",\"HostName\":\"h\",\"PathPrefix\":\"/a/\",\"TimeoutMs\":9,\"TrafficSplit\":[{\"ServiceName\":\"lm\",\"ShareWeight\":0}]}",
		      TENANTS("", "false")),
		  1, 1 },
	};

	(void)st;
	for (size_t i = 0; i < sizeof c / sizeof *c; i++) {
		struct cfg *k = cfg_read(c[i].text);

		if ((cfg_invalid(k, c[i].base) != NULL) != c[i].bad)
			fail_msg("configuration %zu is judged wrongly", i);
		cfg_free(k);
	}
}

/* Whatever planned changes follow on each other, what comes out is valid, and the lists for modify name what was touched. */
static void planned_changes_are_valid(void **st)
{
	static const char text[] =
	    "{\"ConfigVersion\":1,\"RouteList\":[" ROUTE("a", "/a/", "lm") "," ROUTE("b", "/b/", "lm") "," ROUTE(
		"c", "/c/", "lm") "," ROUTE("r-big-0", "/big0/",
					    "lm") "],\"ServiceList\":[{\"Name\":\"lm\",\"MaxConnections\":9}],\"Limits\":"
						  "{\"IdleTimeoutMs\":15000}," TENANTS("\"k1\"", "false") "}";
	struct json_object *config = json_tokener_parse(text),
			   *plain = json_tokener_parse("{\"Name\":\"t3\",\"AccessKeys\":[\"k3\"]}");

	(void)st;
	json_object_array_add(json_object_object_get(config, "TenantList"), plain);
	for (uint64_t turn = 0; turn < 100; turn++) {
		enum change what = (enum change)(CHANGE_BIG_OFF + turn % (CHANGES - CHANGE_BIG_OFF));
		struct json_object *upsert = json_object_new_object(), *removed = json_object_new_object();
		struct cfg *c;

		planned_change(config, upsert, removed, what, turn);
		json_object_object_add(config, "ConfigVersion", json_object_new_int64((int64_t)turn + 2));
		c = cfg_read(json_object_to_json_string(config));
		assert_non_null(c);
		assert_null(cfg_invalid(c, (int64_t)turn + 1));
		assert_int_equal(arrlen(c->route), 3 + (turn < 1 && what != CHANGE_BIG_OFF));
		if (what != CHANGE_LIMITS)
			assert_int_equal(json_object_object_length(upsert) + json_object_object_length(removed), 1);
		cfg_free(c);
		json_object_put(upsert);
		json_object_put(removed);
	}
	json_object_put(config);
}

static void histogram_is_within_its_steps(void **st)
{
	struct hist *h = calloc(1, sizeof *h);

	(void)st;
	assert_int_equal(hist_at(h, 0.5), -1);
	for (int i = 1; i <= 100000; i++)
		hist_add(h, i);
	for (int k = 1; k < 100; k++) {
		int64_t v = hist_at(h, k / 100.0), want = k * 1000;

		assert_true(v <= want && v >= want - want / 64 - 1);
	}
	assert_int_equal(hist_at(h, 0.0), 1);
	free(h);
}

/* ---- servers, store and list, spoken to by a plain client ---- */

struct rig {
	struct fleet_set f;
	struct server *a, *b, *store;
	char at[3][40];
	int status, done, keep, held;
	char *body, *weights, *load, *seal, *id, *not_run, *instance;
	struct conn *c;
	int gone;                /* 1 + how */
	int events, first, last; /* ids of events */
	char *stream;            /* stb array */
};

static void rig_open(struct rig *g)
{
	char base[24];

	memset(g, 0, sizeof *g);
	snprintf(base, sizeof base, "127.%d.%d", 16 + (getpid() / 250) % 200, 1 + getpid() % 250);
	g->f.l = loop_open();
	g->f.start = loop_us();
	g->f.e = engine_sheet;
	g->f.e.load_ms = 30;
	g->f.e.events_lag = 5;
	g->f.e.report_lag = 20;
	g->f.rng = 5;
	g->f.newest = 1;
	g->f.model = "m1";
	for (int i = 0; i < 3; i++)
		snprintf(g->at[i], sizeof g->at[i], "%s.%d:8080", base, 100 + i);
	g->a = server_add(&g->f, g->at[0], "z1", "lm", 0);
	g->b = server_add(&g->f, g->at[1], "z1", "lm", 0);
	g->store = server_add(&g->f, g->at[2], "z2", "store", 1);
	for (int i = 0; i < 3; i++) {
		server_up(g->f.server[i]);
		g->f.server[i]->fault.close = 0;
	}
}

static void answer_clear(struct rig *g)
{
	char **v[] = { &g->body, &g->weights, &g->load, &g->seal, &g->id, &g->not_run, &g->instance };

	for (size_t i = 0; i < sizeof v / sizeof *v; i++) {
		free(*v[i]);
		*v[i] = NULL;
	}
	arrfree(g->stream);
	g->status = g->done = g->gone = g->events = g->first = g->last = 0;
}

static void rig_close(struct rig *g)
{
	answer_clear(g);
	if (g->f.list)
		list_close(g->f.list);
	servers_free(&g->f);
	loop_close(g->f.l);
}

static char *dup_of(const char *s) { return s ? strdup(s) : NULL; }

static void on_head(void *ctx, struct conn *c, struct msg *m)
{
	struct rig *g = ctx;

	(void)c;
	g->status = m->status;
	g->weights = dup_of(msg_get(m, "X-Notchlug-Weight-Versions"));
	g->load = dup_of(msg_get(m, "X-Notchlug-Server-Load"));
	g->seal = dup_of(msg_get(m, "X-Notchlug-Server-Seal"));
	g->id = dup_of(msg_get(m, "X-Notchlug-Attempt-Id"));
	g->not_run = dup_of(msg_get(m, "X-Notchlug-Not-Executed"));
	g->instance = dup_of(msg_get(m, "X-Notchlug-Instance-Id"));
}

static void on_data(void *ctx, struct conn *c, const char *d, size_t n)
{
	struct rig *g = ctx;

	(void)c;
	memcpy(arraddnptr(g->stream, n), d, n);
}

static void on_whole(void *ctx, struct conn *c, struct msg *m)
{
	struct rig *g = ctx;
	char *at;

	(void)c;
	g->body = strndup(m->body ? m->body : "", m->len);
	g->keep = m->keep;
	g->done = 1;
	for (at = strstr(g->body, "id: "); at; at = strstr(at + 1, "\nid: ")) {
		int id = atoi(at + (*at == '\n' ? 5 : 4));

		g->first = g->events++ ? g->first : id;
		g->last = id;
	}
}

static void on_gone(void *ctx, struct conn *c, enum conn_end how)
{
	struct rig *g = ctx;

	(void)c;
	g->c = NULL;
	g->gone = 1 + (int)how;
}

static int settled(void *ctx)
{
	struct rig *g = ctx;

	return g->done || g->gone;
}

static const struct conn_on on_answer = { .head = on_head, .data = on_data, .whole = on_whole, .gone = on_gone };

/* One call on the rig's connection (a new one if there is none); waits for its end. */
static void say(struct rig *g, const char *at, const char *method, const char *target, const char *fields, const char *body)
{
	answer_clear(g);
	if (!g->c)
		g->c = conn_call(g->f.l, at, &on_answer, g);
	conn_expect(g->c);
	conn_sayf(g->c, "%s %s HTTP/1.1\r\nHost: h\r\n%s", method, target, fields);
	if (body)
		conn_sayf(g->c, "Content-Length: %zu\r\n", strlen(body));
	conn_sayf(g->c, "\r\n%s", body ? body : "");
}

static void ask(struct rig *g, const char *at, const char *method, const char *target, const char *fields, const char *body)
{
	say(g, at, method, target, fields, body);
	if (!loop_until(g->f.l, ms_us(5000), settled, g))
		fail_msg("%s %s at %s: nothing came", method, target, at);
}

static void hang_up(struct rig *g)
{
	if (g->c)
		conn_close(g->c, 0);
	g->c = NULL;
}

#define GEN(id, prompt, parts)                                                                                    \
	"X-Notchlug-Attempt-Id: " id "\r\nX-Notchlug-Model-Name: m1\r\nX-Notchlug-Token-Count: " prompt ",20\r\n" \
	"X-Notchlug-Prompt-Prefix: " parts "\r\nX-Notchlug-Deadline-Remaining: 5000\r\n"

static void a_stream_is_whole_and_stamped(void **st)
{
	struct rig g;
	int all;

	(void)st;
	rig_open(&g);
	ask(&g, g.at[0], "POST", "/x", GEN("t1", "300", "aa:200,bb:100"), "hello");
	assert_int_equal(g.status, 200);
	assert_string_equal(g.id, "t1");
	assert_non_null(g.seal);
	assert_string_equal(g.weights, "1");
	assert_string_equal(g.load, "1,0,128");
	assert_int_equal(g.first, 1);
	assert_int_equal(g.last, g.events);
	assert_true(g.events > 1);
	assert_true(g.keep);
	all = g.last;
	/* the same request is taken up elsewhere where it was cut, with as many pieces */
	hang_up(&g);
	ask(&g, g.at[1], "POST", "/x", GEN("t2", "300", "aa:200,bb:100") "Last-Event-Id: 2\r\n", "hello");
	assert_int_equal(g.first, 3);
	assert_int_equal(g.last, all);
	hang_up(&g);
	rig_close(&g);
}

static void what_does_not_run_says_so(void **st)
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
	struct rig g;

	(void)st;
	rig_open(&g);
	g.f.j = judge_open(&bounds_sheet);
	for (size_t i = 0; i < sizeof c / sizeof *c; i++) {
		ask(&g, g.at[0], "POST", "/x", c[i].fields, "");
		assert_int_equal(g.status, c[i].status);
		assert_non_null(g.not_run);
		assert_null(g.seal);
	}
	assert_int_equal(arrlen(g.a->run) + arrlen(g.a->wait), 0);
	hang_up(&g);
	judge_close(g.f.j);
	rig_close(&g);
}

static void kept_parts_are_not_read_again_and_stay_behind_their_salt(void **st)
{
	struct rig g;
	uint64_t read;

	(void)st;
	rig_open(&g);
	ask(&g, g.at[0], "POST", "/x", GEN("t1", "300", "aa:200,bb:100"), "1");
	read = g.f.read;
	assert_int_equal(read, 300);
	ask(&g, g.at[0], "POST", "/x", GEN("t2", "280", "aa:200,cc:80"), "2");
	assert_int_equal(g.f.read - read, 80);
	read = g.f.read;
	ask(&g, g.at[0], "POST", "/x", GEN("t3", "280", "dd:80,aa:200"), "3"); /* not behind all that went before it */
	assert_int_equal(g.f.read - read, 280);
	read = g.f.read;
	ask(&g, g.at[0], "POST", "/x", GEN("t4", "280", "aa:200,cc:80") "X-Notchlug-Cache-Salt: s1\r\n", "4");
	assert_int_equal(g.f.read - read, 280);
	hang_up(&g);
	rig_close(&g);
}

static void the_longest_unused_gives_way(void **st)
{
	struct rig g;

	(void)st;
	rig_open(&g);
	g.f.e.kv = 1000;
	ask(&g, g.at[0], "POST", "/x", GEN("t1", "400", "aa:400"), "1");
	ask(&g, g.at[0], "POST", "/x", GEN("t2", "400", "bb:400"), "2");
	ask(&g, g.at[0], "POST", "/x", GEN("t3", "400", "aa:400"), "3");
	ask(&g, g.at[0], "POST", "/x", GEN("t4", "500", "cc:500"), "4");
	assert_true(server_kept(g.a) <= 1000);
	for (int i = 0; i < arrlen(g.a->part); i++) {
		if (!strcmp(g.a->part[i].id, "aa"))
			assert_int_equal(g.a->part[i].tokens, 400);
		if (!strcmp(g.a->part[i].id, "bb"))
			assert_true(g.a->part[i].tokens < 400);
	}
	hang_up(&g);
	rig_close(&g);
}

static void parts_are_taken_from_another_and_sent_to_the_store(void **st)
{
	struct rig g;
	uint64_t read;
	char f[600];

	(void)st;
	rig_open(&g);
	snprintf(f, sizeof f, GEN("t1", "300", "aa:200,bb:100") "X-Notchlug-Kv-Sink: %s\r\n", g.at[2]);
	ask(&g, g.at[0], "POST", "/x", f, "1");
	assert_int_equal(server_kept(g.store), 300);
	hang_up(&g);
	read = g.f.read;
	snprintf(f, sizeof f, GEN("t2", "300", "aa:200,bb:100") "X-Notchlug-Kv-Source: %s\r\n", g.at[0]);
	ask(&g, g.at[1], "POST", "/x", f, "2");
	assert_int_equal(g.f.fetched, 300);
	assert_true(g.f.read - read <= 1);
	hang_up(&g);
	/* a dead source costs time, no more */
	server_crash(g.store);
	read = g.f.read;
	snprintf(f, sizeof f, GEN("t3", "90", "ee:90") "X-Notchlug-Kv-Source: %s\r\n", g.at[2]);
	ask(&g, g.at[1], "POST", "/x", f, "3");
	assert_int_equal(g.status, 200);
	assert_int_equal(g.f.read - read, 90);
	hang_up(&g);
	server_up(g.store);
	assert_int_equal(server_kept(g.store), 0);
	rig_close(&g);
}

static struct json_object *field(struct json_object *j, const char *k)
{
	struct json_object *v = NULL;

	assert_true(json_object_object_get_ex(j, k, &v));
	return v;
}

static void events_come_late_in_order_and_name_gaps(void **st)
{
	struct rig g;
	struct json_object *j, *list;
	int64_t epoch;

	(void)st;
	rig_open(&g);
	ask(&g, g.at[0], "POST", "/x", GEN("t1", "300", "aa:200,bb:100"), "1");
	ask(&g, g.at[0], "GET", "/kv-events?SinceTime=0", "Wait-Ms: 800\r\n", NULL);
	assert_int_equal(g.status, 200);
	j = json_tokener_parse(g.body);
	list = field(j, "EventList");
	assert_true(json_object_array_length(list) >= 1);
	assert_string_equal(json_object_to_json_string_ext(json_object_array_get_idx(list, 0), JSON_C_TO_STRING_PLAIN),
			    "[1,\"+\",\"\",\"aa\",200,\"m1\"]");
	assert_false(json_object_get_boolean(field(j, "LostCount")));
	epoch = json_object_get_int64(field(j, "NodeEpoch"));
	json_object_put(j);
	/* nothing new: held for as long as asked */
	{
		int64_t began = loop_us();

		ask(&g, g.at[0], "GET", "/kv-events?SinceTime=2", "Wait-Ms: 60\r\n", NULL);
		assert_true(loop_us() - began >= 60000);
		j = json_tokener_parse(g.body);
		assert_int_equal(json_object_array_length(field(j, "EventList")), 0);
		assert_int_equal(json_object_get_int64(field(j, "NextToken")), 2);
		json_object_put(j);
	}
	g.f.e.events = 2;
	for (int i = 0; i < 4; i++) {
		char f[400];

		snprintf(f, sizeof f, GEN("t2", "60", "%02x:60"), i);
		ask(&g, g.at[0], "POST", "/x", f, "2");
	}
	ask(&g, g.at[0], "GET", "/kv-events?SinceTime=2", "Wait-Ms: 800\r\n", NULL);
	j = json_tokener_parse(g.body);
	assert_true(json_object_get_boolean(field(j, "LostCount")));
	json_object_put(j);
	ask(&g, g.at[0], "GET", "/kv-list", "", NULL);
	j = json_tokener_parse(g.body);
	assert_int_equal(json_object_array_length(field(j, "HeldCount")), 6);
	json_object_put(j);
	hang_up(&g);
	server_crash(g.a);
	server_up(g.a);
	ask(&g, g.at[0], "GET", "/kv-events?SinceTime=6", "", NULL);
	j = json_tokener_parse(g.body);
	assert_true(json_object_get_int64(field(j, "NodeEpoch")) != epoch);
	json_object_put(j);
	hang_up(&g);
	rig_close(&g);
}

static int are_held(void *ctx)
{
	struct rig *g = ctx;

	return arrlen(g->a->watcher) == g->held;
}

static void only_so_many_calls_for_events_are_held(void **st)
{
	struct rig g;
	struct conn *c[2];

	(void)st;
	rig_open(&g);
	g.f.e.in_flight = 2;
	for (int i = 0; i < 2; i++) {
		say(&g, g.at[0], "GET", "/kv-events?SinceTime=0", "Wait-Ms: 1000\r\n", NULL);
		g.held = i + 1;
		assert_true(loop_until(g.f.l, ms_us(3000), are_held, &g));
		c[i] = g.c;
		g.c = NULL;
	}
	ask(&g, g.at[0], "GET", "/kv-events?SinceTime=0", "Wait-Ms: 1000\r\n", NULL);
	assert_int_equal(g.status, 429);
	hang_up(&g);
	for (int i = 0; i < 2; i++)
		conn_close(c[i], 0);
	rig_close(&g);
}

#define ORDER(version, fence, more)                                                        \
	"{\"Operation\":\"ConfigVersion\",\"ModelName\":\"m1\",\"ConfigVersion\":" version \
	",\"Method\":\"hold\",\"Holder\":\"n1\",\"FenceNumber\":" fence more "}"

static int loaded(void *ctx)
{
	struct rig *g = ctx;

	return g->a->version == g->f.newest && !g->a->loading_to;
}

static void orders_are_fenced_counted_and_drop_what_was_kept(void **st)
{
	struct rig g;

	(void)st;
	rig_open(&g);
	ask(&g, g.at[0], "POST", "/x", GEN("t1", "300", "aa:200,bb:100"), "1");
	ask(&g, g.at[0], "POST", "/order", "", ORDER("2", "4", ""));
	assert_int_equal(g.status, 400); /* not named */
	g.f.newest = 2;
	ask(&g, g.at[0], "POST", "/order", "",
	    "{\"Operation\":\"ConfigVersion\",\"ModelName\":\"m1\",\"ConfigVersion\":2,\"Method\":\"hold\"}");
	assert_int_equal(g.status, 400); /* no holder, no fence */
	ask(&g, g.at[0], "POST", "/order", "", ORDER("2", "4", ",\"ExpectedCount\":3"));
	assert_int_equal(g.status, 409);
	ask(&g, g.at[0], "POST", "/order", "", ORDER("2", "4", ",\"ExpectedCount\":0"));
	assert_int_equal(g.status, 202);
	ask(&g, g.at[0], "POST", "/x", GEN("t2", "300", "aa:200,bb:100"), "1");
	assert_int_equal(g.status, 503);
	assert_non_null(g.not_run);
	assert_true(loop_until(g.f.l, ms_us(3000), loaded, &g));
	assert_int_equal(server_kept(g.a), 0);
	ask(&g, g.at[0], "POST", "/order", "", ORDER("2", "4", ""));
	assert_int_equal(g.status, 200);
	ask(&g, g.at[0], "POST", "/order", "", ORDER("1", "3", ""));
	assert_int_equal(g.status, 412);
	ask(&g, g.at[0], "POST", "/x", GEN("t3", "300", "aa:200,bb:100"), "1");
	assert_string_equal(g.weights, "2");
	hang_up(&g);
	server_crash(g.a); /* forgets fences and counts, not its version */
	server_up(g.a);
	assert_int_equal(g.a->version, 2);
	ask(&g, g.at[0], "POST", "/order", "", ORDER("2", "1", ",\"ExpectedCount\":0"));
	assert_int_equal(g.status, 200);
	hang_up(&g);
	rig_close(&g);
}

static void loads_are_refused_or_slow(void **st)
{
	int64_t began;
	struct rig g;

	(void)st;
	rig_open(&g);
	g.f.newest = 2;
	g.a->fault.refuses_loads = 1;
	ask(&g, g.at[0], "POST", "/order", "", ORDER("2", "4", ""));
	assert_int_equal(g.status, 0);
	assert_true(g.gone); /* no answer, and nothing was taken */
	assert_int_equal(g.a->loading_to, 0);
	hang_up(&g);
	g.a->fault = (struct server_fault){ .load_slow = 10 };
	began = loop_us();
	ask(&g, g.at[0], "POST", "/order", "", ORDER("2", "4", ""));
	assert_int_equal(g.status, 202);
	assert_true(loop_until(g.f.l, ms_us(3000), loaded, &g));
	assert_true(loop_us() - began >= ms_us(10 * g.f.e.load_ms));
	hang_up(&g);
	rig_close(&g);
}

static void write_log(const struct run *run, const char *machine, const char *text)
{
	char path[700];
	FILE *f;

	snprintf(path, sizeof path, "%s/%s.log", run->folder, machine);
	f = fopen(path, "w");
	assert_non_null(f);
	fputs(text, f);
	fclose(f);
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
static int watched_stalls(int (*sync)(int fd), int syncs, struct disk_stall *stalls, int most, int64_t *longest)
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

static void stalls_of_the_disk_are_seen(void **st)
{
	struct disk_stall stall[8];
	int64_t longest;
	int n;

	(void)st;
	n = watched_stalls(third_sync_is_slow, DISK_SYNCS_BEFORE + 1, stall, 8, &longest);
	assert_true(n >= 1); /* the one that was under way as the watch was closed, too */
	assert_true(longest >= DISK_SLOW_MS - 1);
	assert_true(stall[n - 1].to - stall[n - 1].from >= DISK_SLOW_MS - 1);
	assert_int_equal(watched_stalls(every_sync_is_refused, 2, stall, 8, &longest), 0); /* refused is not stalled */
	assert_int_equal(longest, 0);
	assert_int_equal(disk_watch_close(NULL, stall, 8, &longest), 0);
	assert_null(disk_watch_open("/nowhere", loop_us(), DISK_BOUND_MS, third_sync_is_slow));
}

/* A stall excuses what depends on time, for so long after it, and nothing before it. */
static void a_stall_of_the_disk_explains_what_follows_it_for_a_while(void **st)
{
	const struct disk_stall stall[] = { { 1000, 1400 }, { 20000, 28000 } };
	struct breach b[] = { { "ACKS", 24000, "" }, { "VERSION", 37000, "" } };

	(void)st;
	assert_false(disk_explains(stall, 2, 999, 9000));
	assert_true(disk_explains(stall, 2, 1000, 9000));
	assert_true(disk_explains(stall, 2, 10400, 9000));
	assert_false(disk_explains(stall, 2, 10401, 9000));
	assert_false(disk_explains(stall, 2, 19999, 9000));
	assert_true(disk_explains(stall, 2, 37000, 9000));
	assert_false(disk_explains(stall, 0, 24000, 9000));
	assert_true(disk_explains_all(stall, 2, b, 2, 9000));
	assert_false(disk_explains_all(stall, 2, b, 0, 9000)); /* what broke then is something else */
	b[1].t = 37001;                                        /* one of them is too late: the run has failed */
	assert_false(disk_explains_all(stall, 2, b, 2, 9000));
	b[1].t = 37000;
	snprintf(b[1].rule, sizeof b[1].rule, "ONE"); /* no delay excuses that one */
	assert_false(disk_explains_all(stall, 2, b, 2, 9000));
}

static void broken_invariants_are_found_in_logs(void **st)
{
	struct run *run = calloc(1, sizeof *run);
	char path[700];

	(void)st;
	snprintf(run->folder, sizeof run->folder, "/tmp/stand-XXXXXX");
	assert_non_null(mkdtemp(run->folder));
	run->nm = 3; /* the third one never began: it has no log */
	snprintf(run->m[0].name, sizeof run->m[0].name, "one");
	snprintf(run->m[1].name, sizeof run->m[1].name, "two");
	snprintf(run->m[2].name, sizeof run->m[2].name, "three");
	write_log(run, "one", "<6>counter[7]: proc: Ended, no invariant was broken.\n");
	write_log(run, "two", "");
	assert_int_equal(invariant_lines(run), 0);
	write_log(run, "two",
		  "<3>Dec  2 counter[7]: ctr: invariant: a send left.\ninvariant: a begin.\n<3>counter[7]: invariant a send.\n");
	assert_int_equal(invariant_lines(run), 3);
	for (int i = 0; i < 2; i++) {
		snprintf(path, sizeof path, "%s/%s.log", run->folder, run->m[i].name);
		unlink(path);
	}
	rmdir(run->folder);
	free(run);
}

static void heard(void *ctx, int status, const struct msg *m)
{
	(void)ctx, (void)m;
	assert_int_equal(status, 202);
}

static int taken(void *ctx)
{
	struct rig *g = ctx;

	return arrlen(g->stream) > 0;
}

static void preempted_streams_are_reset_and_retained_ones_tell(void **st)
{
	struct rig g;
	struct conn *old;

	(void)st;
	rig_open(&g);
	g.f.newest = 3;
	g.f.e.step = 10;
	say(&g, g.at[0], "POST", "/x", GEN("t1", "30", "aa:30"), "1");
	assert_true(loop_until(g.f.l, ms_us(3000), taken, &g));
	call_once(
	    g.f.l, g.at[0], "POST", "/order", "",
	    "{\"Operation\":\"ConfigVersion\",\"ModelName\":\"m1\",\"ConfigVersion\":2,\"Method\":\"preempt\",\"Holder\":\"n1\",\"FenceNumber\":1}",
	    1000, heard, NULL);
	assert_true(loop_until(g.f.l, ms_us(3000), settled, &g));
	assert_int_equal(g.gone, 1 + CONN_RESET);
	g.f.newest = 2;
	assert_true(loop_until(g.f.l, ms_us(3000), loaded, &g));
	g.f.newest = 3;
	say(&g, g.at[0], "POST", "/x", GEN("t2", "30", "aa:30"), "1");
	assert_true(loop_until(g.f.l, ms_us(3000), taken, &g));
	old = g.c;
	call_once(
	    g.f.l, g.at[0], "POST", "/order", "",
	    "{\"Operation\":\"ConfigVersion\",\"ModelName\":\"m1\",\"ConfigVersion\":3,\"Method\":\"retain\",\"Holder\":\"n1\",\"FenceNumber\":1}",
	    1000, heard, NULL);
	assert_true(loop_until(g.f.l, ms_us(3000), settled, &g));
	assert_true(g.done && g.c == old);
	assert_non_null(strstr(g.body, "\n\nx-notchlug-weight-versions: 3\nid: "));
	hang_up(&g);
	rig_close(&g);
}

static void the_urgent_go_first_and_the_late_are_turned_away(void **st)
{
	struct rig g;
	struct conn *held;

	(void)st;
	rig_open(&g);
	g.f.e.slots = 1;
	g.f.e.step = 20;
	say(&g, g.at[0], "POST", "/x", GEN("t1", "30", "aa:30"), "1");
	assert_true(loop_until(g.f.l, ms_us(3000), taken, &g));
	held = g.c;
	conn_set(held, &(const struct conn_on){ .gone = NULL }, NULL);
	g.c = NULL;
	ask(&g, g.at[0], "POST", "/x",
	    "X-Notchlug-Attempt-Id: t2\r\nX-Notchlug-Token-Count: 30,20\r\nX-Notchlug-Deadline-Remaining: 40\r\n", "2");
	assert_int_equal(g.status, 503); /* its deadline passed in the queue */
	assert_non_null(g.not_run);
	ask(&g, g.at[0], "POST", "/x", GEN("t3", "30", "bb:30") "X-Notchlug-Priority-Level: 1\r\n", "3");
	assert_int_equal(g.status, 200);
	assert_int_equal(arrlen(g.a->run) + arrlen(g.a->wait), 1); /* the first is put back, not gone */
	hang_up(&g);
	conn_close(held, 0);
	rig_close(&g);
}

static void health_and_report_tell_what_they_should(void **st)
{
	struct rig g;
	struct json_object *j;

	(void)st;
	rig_open(&g);
	ask(&g, g.at[0], "GET", "/health", "", NULL);
	assert_int_equal(g.status, 200);
	assert_string_equal(g.instance, g.a->instance);
	assert_string_equal(g.load, "0,0,128");
	ask(&g, g.at[0], "GET", "/report", "", NULL);
	j = json_tokener_parse(g.body);
	assert_string_equal(json_object_get_string(field(j, "Stage")), "combined");
	assert_int_equal(json_object_get_int(field(j, "KvTotal")), g.f.e.kv);
	assert_int_equal(json_object_get_int(field(json_object_array_get_idx(field(j, "Models"), 0), "ConfigVersion")), 1);
	json_object_put(j);
	g.a->fault.false_health = 1;
	ask(&g, g.at[0], "GET", "/health", "", NULL);
	assert_int_equal(g.status, 503);
	hang_up(&g);
	rig_close(&g);
}

static void faults_are_as_named(void **st)
{
	struct rig g;
	struct server_fault none = { .close = 0 };

	(void)st;
	rig_open(&g);
	g.a->fault.broken = 1;
	ask(&g, g.at[0], "POST", "/x", GEN("t1", "30", "aa:30"), "1");
	assert_true(g.gone && !g.done && g.status == 200);
	g.a->fault = none;
	g.a->fault.garbage = 1;
	ask(&g, g.at[0], "POST", "/x", GEN("t2", "30", "aa:30"), "1");
	assert_int_equal(g.gone, 1 + CONN_BAD);
	g.a->fault = none;
	g.a->fault.lost = 1;
	ask(&g, g.at[0], "POST", "/x", GEN("t3", "30", "aa:30"), "1");
	assert_true(g.gone && g.status == 0);
	g.a->fault = none;
	g.a->fault.grey = 1;
	ask(&g, g.at[0], "POST", "/x", GEN("t4", "30", "aa:30"), "1");
	assert_int_equal(g.status, 500);
	assert_non_null(g.seal);
	g.a->fault = none;
	g.a->fault.surplus = 1;
	ask(&g, g.at[0], "POST", "/x", GEN("t5", "30", "aa:30"), "1");
	assert_true(g.done && g.status == 200);
	loop_until(g.f.l, ms_us(400), NULL, NULL);
	assert_int_equal(g.gone, 1 + CONN_SURPLUS);
	g.a->fault = none;
	g.a->fault.close = 1;
	ask(&g, g.at[0], "POST", "/x", GEN("t6", "30", "aa:30"), "1");
	assert_true(g.done && !g.keep);
	hang_up(&g);
	server_dark(g.a, 1);
	say(&g, g.at[0], "POST", "/x", GEN("t7", "30", "aa:30"), "1");
	assert_false(loop_until(g.f.l, ms_us(150), settled, &g));
	server_dark(g.a, 0);
	assert_true(loop_until(g.f.l, ms_us(3000), settled, &g));
	assert_int_equal(g.status, 200);
	hang_up(&g);
	server_crash(g.a);
	ask(&g, g.at[0], "POST", "/x", GEN("t8", "30", "aa:30"), "1");
	assert_int_equal(g.gone, 1 + CONN_REFUSED);
	rig_close(&g);
}

static void connections_are_bounded_and_idle_ones_closed(void **st)
{
	struct rig g;

	(void)st;
	rig_open(&g);
	server_crash(g.a);
	g.f.e.max_conns = 1;
	g.f.e.idle_ms = 100;
	server_up(g.a);
	ask(&g, g.at[0], "GET", "/health", "", NULL);
	assert_int_equal(g.status, 200);
	{
		struct conn *first = g.c;

		g.c = NULL;
		ask(&g, g.at[0], "GET", "/health", "", NULL);
		assert_true(g.gone);
		g.c = first;
		g.gone = 0;
	}
	loop_until(g.f.l, ms_us(400), NULL, NULL);
	assert_int_equal(g.gone, 1 + CONN_CLOSED);
	rig_close(&g);
}

struct seen {
	int status, n;
	char next[20], first[32], state[16];
	int done, draining;
};

static void keeps_request(void *ctx, struct conn *c, struct msg *m) { (void)ctx, (void)c, (void)m; }

static int read_by_peer(void *ctx) { return conn_read_by_peer(ctx); }

/* Whether a process has read a request is seen from outside, before its connection ends one way or the other. */
static void what_a_process_has_not_read_is_seen(void **st)
{
	static const struct conn_on serves = { .request = keeps_request }, calls = { 0 };
	static const char request[] = "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n";
	struct loop *l = loop_open();
	struct port *p;
	struct conn *c;
	char at[40];

	(void)st;
	snprintf(at, sizeof at, "127.%d.%d.99:8080", 16 + (getpid() / 250) % 200, 1 + getpid() % 250);
	p = port_open(l, at, &serves, NULL, 0);
	assert_non_null(p);
	port_dark(p, 1);
	c = conn_call(l, at, &calls, NULL);
	assert_non_null(c);
	conn_say(c, request, sizeof request - 1);
	assert_false(loop_until(l, ms_us(50), read_by_peer, c));
	port_dark(p, 0);
	assert_true(loop_until(l, ms_us(5000), read_by_peer, c));
	conn_close(c, 1);
	port_close(p, 1);
	loop_close(l);
}

static void on_list(void *ctx, int status, const struct msg *m)
{
	struct seen *s = ctx;
	struct json_object *j, *a, *v = NULL;

	s->done = 1;
	s->status = status;
	s->next[0] = 0;
	s->n = 0;
	if (status != 200)
		return;
	j = json_tokener_parse(m->body);
	a = field(j, "Instances");
	s->n = (int)json_object_array_length(a);
	if (json_object_object_get_ex(j, "NextToken", &v) && v)
		snprintf(s->next, sizeof s->next, "%s", json_object_get_string(v));
	if (s->n) {
		snprintf(s->first, sizeof s->first, "%s",
			 json_object_get_string(field(json_object_array_get_idx(a, 0), "InstanceId")));
		snprintf(s->state, sizeof s->state, "%s", json_object_get_string(field(json_object_array_get_idx(a, 0), "State")));
	}
	json_object_put(j);
}

static int seen_done(void *ctx) { return ((struct seen *)ctx)->done; }

static void ask_list(struct rig *g, const char *at, const char *target, struct seen *s)
{
	s->done = 0;
	call_once(g->f.l, at, "GET", target, "", NULL, 1000, on_list, s);
	assert_true(loop_until(g->f.l, ms_us(2000), seen_done, s));
}

static void the_list_lags_comes_in_pages_and_has_a_rate(void **st)
{
	struct rig g;
	struct seen s;
	char at[40], old[32], target[60];

	(void)st;
	rig_open(&g);
	memset(&s, 0, sizeof s);
	snprintf(at, sizeof at, "%.*s:8688", (int)strcspn(g.at[0], ":"), g.at[0]);
	g.f.j = judge_open(&bounds_sheet);
	assert_non_null(list_open(&g.f, &(struct list_set){ at, 60, 1, 12, 0 }));
	ask_list(&g, at, "/instances", &s);
	assert_int_equal(s.n, 0); /* it lags */
	loop_until(g.f.l, ms_us(80), NULL, NULL);
	ask_list(&g, at, "/instances", &s);
	assert_int_equal(s.n, 1);
	assert_string_equal(s.state, "ready");
	assert_true(s.next[0]);
	snprintf(old, sizeof old, "%s", s.first);
	snprintf(target, sizeof target, "/instances?Zone=z1&PageToken=%s", s.next);
	ask_list(&g, at, target, &s);
	assert_int_equal(s.n, 1);
	assert_string_not_equal(s.first, old);
	assert_string_equal(s.next, ""); /* the store is on no list */
	ask_list(&g, at, "/instances?Zone=z9", &s);
	assert_int_equal(s.n, 0);
	server_drain(g.a);
	loop_until(g.f.l, ms_us(80), NULL, NULL);
	ask_list(&g, at, "/instances", &s);
	assert_string_equal(s.state, "draining");
	server_crash(g.a);
	server_up(g.a);
	loop_until(g.f.l, ms_us(80), NULL, NULL);
	ask_list(&g, at, "/instances", &s);
	assert_string_equal(s.state, "ready");
	assert_string_not_equal(s.first, old); /* a new life */
	for (int i = 0; i < 500 && s.status != 429; i++)
		ask_list(&g, at, "/instances", &s);
	assert_int_equal(s.status, 429);
	{
		struct judge *j = g.f.j;

		rig_close(&g);
		judge_close(j);
	}
}

/* ---- clients straight at a server, without an edge between: what the parts see fits together ---- */

enum { ALONE_FROM_MS = 10000 }; /* the run's time when clients come: its machine has long been in touch */

/* One machine, at whose front anybody may listen, and one of the core. */
static struct run *alone(const char *cfg_text)
{
	struct run *r = calloc(1, sizeof *r);
	struct cfg *c;

	r->l = loop_open();
	r->f.l = r->l;
	r->f.start = loop_us() - ms_us(ALONE_FROM_MS);
	r->b = bounds_sheet;
	r->j = r->f.j = judge_open(&r->b);
	r->sheet = &sheets[0];
	r->rng = r->seed = 3;
	r->rate = 0.5;
	r->f.e = engine_sheet;
	r->f.e.read_per_ms = 5000; /* one server stands for all of them */
	r->f.rng = 4;
	r->f.newest = 1;
	r->f.model = r->sheet->model;
	snprintf(r->base, sizeof r->base, "127.%d.%d", 16 + (getpid() / 250) % 200, 1 + getpid() % 250);
	snprintf(r->m[0].front, sizeof r->m[0].front, "%s.100:8080", r->base);
	snprintf(r->m[0].ready, sizeof r->m[0].ready, "%s.100:8080", r->base);
	snprintf(r->m[0].zone, sizeof r->m[0].zone, "%s", r->sheet->zone[0]);
	r->m[0].in = r->nm = 1;
	judge_machine(r->j, 0, 0, 0, CALM, 1);
	judge_machine(r->j, 0, 1, 1, CALM, 1);
	c = cfg_read(cfg_text);
	assert_non_null(c);
	judge_cfg_fate(r->j, 1000, judge_cfg(r->j, 500, c, 0, 0), CFG_ACKED);
	return r;
}

static void clients_for(struct run *r, int64_t ms)
{
	r->op = operator_open(r);
	r->clients = clients_open(r);
	clients_traffic(r->clients, 1);
	loop_until(r->l, ms_us((double)ms), NULL, NULL);
	clients_traffic(r->clients, 0);
}

/* The run ends; its judge is left. */
static struct judge *alone_end(struct run *r)
{
	struct judge *j = r->j;

	clients_close(r->clients);
	operator_close(r->op);
	servers_free(&r->f);
	loop_close(r->l);
	free(r->fig.sec);
	free(r);
	return j;
}

static void straight(const char *cfg_text, const struct server_fault *x, int64_t ms, struct judge **j, struct figures *fig)
{
	struct run *r = alone(cfg_text);

	server_add(&r->f, r->m[0].front, r->sheet->zone[0], r->sheet->service, 0);
	server_up(r->f.server[0]);
	r->f.server[0]->fault = *x;
	clients_for(r, ms);
	for (int i = 0; i < 400 && clients_busy(r->clients); i++)
		loop_until(r->l, ms_us(25), NULL, NULL);
	assert_int_equal(clients_busy(r->clients), 0);
	*fig = r->fig;
	*j = alone_end(r);
}

#define PLAIN_ROUTE(prefix)                                                                  \
	"{\"Name\":\"r" prefix "\",\"HostName\":\"ficu95.example\",\"PathPrefix\":\"" prefix \
	"\",\"TimeoutMs\":8000,\"ServiceName\":\"lm-registry\"}"
#define ROUTES                                                                                                        \
	"{\"ConfigVersion\":1,\"RouteList\":[" PLAIN_ROUTE("/lohu930/") "," PLAIN_ROUTE("/pufi791/") "," PLAIN_ROUTE( \
	    "/wuno96/") "],\"ServiceList\":[]"

static int breaches_of(struct judge *j, const char *rule, const char *words)
{
	const struct breach *b;
	int n = judge_all(j, 30000, &b), hit = 0;

	for (int i = 0; i < n; i++)
		hit += (!rule || !strcmp(b[i].rule, rule)) && (!words || strstr(b[i].text, words));
	return hit;
}

static void calm_clients_break_nothing(void **st)
{
	struct figures *f = calloc(1, sizeof *f);
	struct server_fault none = { .close = 0.05 };
	struct judge *j;
	int asked = 0, whole = 0;

	(void)st;
	straight(ROUTES "}", &none, 1500, &j, f);
	for (int i = 0; i < CLASSES; i++)
		asked += f->asked[i], whole += f->whole[i];
	assert_true(asked > 40);
	assert_int_equal(whole, asked);
	assert_true(f->owed > 0 && f->earned > 0 && f->earned <= f->owed + 0.001);
	assert_int_equal(breaches_of(j, NULL, NULL), 0);
	judge_close(j);
	free(f);
}

/* ---- cuts planted at a machine's front ---- */

enum { PLANTED_AFTER_MS = 300 };

struct planted {
	struct loop *l;
	struct conn **held; /* stb array: requests that were read, the oldest first */
};

static void cut_oldest(void *ctx)
{
	struct planted *x = ctx;
	struct conn *c = x->held[0];

	arrdel(x->held, 0);
	if (conn_alive(x->l, c))
		conn_close(c, 1);
}

static void read_and_cut(void *ctx, struct conn *c, struct msg *m)
{
	struct planted *x = ctx;

	(void)m;
	arrput(x->held, c);
	loop_after(x->l, ms_us(PLANTED_AFTER_MS), cut_oldest, x);
}

/* How many LOST are seen when the front reads each request and resets its connection, or reads none and resets all. */
static int lost_at_front(int reads, void (*plan)(struct judge *j))
{
	static const struct conn_on on = { .request = read_and_cut };
	struct run *r = alone(ROUTES "}");
	struct planted x = { r->l, NULL };
	struct port *p = port_open(r->l, r->m[0].front, &on, &x, 0);
	struct judge *j;
	int lost;

	assert_non_null(p);
	port_dark(p, !reads);
	plan(r->j);
	clients_for(r, 2 * PLANTED_AFTER_MS);
	loop_until(r->l, ms_us(2.0 * PLANTED_AFTER_MS), NULL, NULL);
	port_close(p, 1);
	loop_until(r->l, ms_us(50), NULL, NULL);
	j = alone_end(r);
	lost = breaches_of(j, "LOST", "read and cut off");
	judge_close(j);
	arrfree(x.held);
	return lost;
}

static void plan_stop(struct judge *j) { judge_machine(j, ALONE_FROM_MS, 0, 0, PLANNED, 0); }
static void plan_reload(struct judge *j) { judge_reload(j, ALONE_FROM_MS, 0); }
static void plan_configuration(struct judge *j) { judge_cfg(j, ALONE_FROM_MS, cfg_read(ROUTES "}"), 0, 0); }
static void plan_nothing(struct judge *j) { (void)j; }

static void planted_cuts_are_seen(void **st)
{
	(void)st;
	assert_true(lost_at_front(1, plan_stop) > 0);
	assert_true(lost_at_front(1, plan_reload) > 0);
	assert_true(lost_at_front(1, plan_configuration) > 0);
	assert_int_equal(lost_at_front(1, plan_nothing), 0);
	assert_int_equal(lost_at_front(0, plan_stop), 0);
}

static void a_missing_tenant_is_seen(void **st)
{
	struct figures *f = calloc(1, sizeof *f);
	struct server_fault none = { .close = 0 };
	struct judge *j;

	(void)st; /* nobody translates the keys of clients into names */
	straight(ROUTES ",\"TenantList\":[{\"Name\":\"tenant-0\",\"AccessKeys\":[\"key00-0-abcdefgh\"]}]}", &none, 500, &j, f);
	assert_true(breaches_of(j, "UNASKED", "without its tenant's name") > 0);
	assert_true(breaches_of(j, "ROUTE", "a key that no configuration holds") > 0);
	judge_close(j);
	free(f);
}

static void cut_streams_are_taken_up_without_a_breach(void **st)
{
	struct figures *f = calloc(1, sizeof *f);
	struct server_fault x = { .broken = 0.2, .garbage = 0.1 };
	struct judge *j;

	(void)st;
	straight(ROUTES "}", &x, 1500, &j, f);
	assert_true(f->cut > 0);
	assert_true(f->whole[0] > 0);
	assert_int_equal(breaches_of(j, NULL, NULL), 0);
	judge_close(j);
	free(f);
}

static void surplus_bytes_that_reach_a_client_are_seen(void **st)
{
	struct figures *f = calloc(1, sizeof *f);
	struct server_fault x = { .surplus = 0.5 };
	struct judge *j;

	(void)st;
	straight(ROUTES "}", &x, 1000, &j, f);
	assert_true(breaches_of(j, "MIXED", NULL) > 0);
	judge_close(j);
	free(f);
}

static void an_answer_lost_after_its_run_is_not_run_again_where_it_may_not(void **st)
{
	struct figures *f = calloc(1, sizeof *f);
	struct server_fault x = { .lost = 1 };
	struct judge *j;

	(void)st;
	straight(ROUTES "}", &x, 1000, &j, f);
	assert_int_equal(f->whole[0] + f->whole[1] + f->whole[2], 0);
	assert_int_equal(breaches_of(j, "TWICE", NULL), 0);
	assert_true(f->tries > f->asked[0] + f->asked[1] + f->asked[2]); /* what may be repeated was */
	judge_close(j);
	free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(judge_catches_each_breach),
		cmocka_unit_test(version_at_stake),
		cmocka_unit_test(configurations_are_told_apart),
		cmocka_unit_test(planned_changes_are_valid),
		cmocka_unit_test(histogram_is_within_its_steps),
		cmocka_unit_test(a_stream_is_whole_and_stamped),
		cmocka_unit_test(what_does_not_run_says_so),
		cmocka_unit_test(kept_parts_are_not_read_again_and_stay_behind_their_salt),
		cmocka_unit_test(the_longest_unused_gives_way),
		cmocka_unit_test(parts_are_taken_from_another_and_sent_to_the_store),
		cmocka_unit_test(events_come_late_in_order_and_name_gaps),
		cmocka_unit_test(only_so_many_calls_for_events_are_held),
		cmocka_unit_test(orders_are_fenced_counted_and_drop_what_was_kept),
		cmocka_unit_test(loads_are_refused_or_slow),
		cmocka_unit_test(broken_invariants_are_found_in_logs),
		cmocka_unit_test(stalls_of_the_disk_are_seen),
		cmocka_unit_test(a_stall_of_the_disk_explains_what_follows_it_for_a_while),
		cmocka_unit_test(preempted_streams_are_reset_and_retained_ones_tell),
		cmocka_unit_test(the_urgent_go_first_and_the_late_are_turned_away),
		cmocka_unit_test(health_and_report_tell_what_they_should),
		cmocka_unit_test(faults_are_as_named),
		cmocka_unit_test(connections_are_bounded_and_idle_ones_closed),
		cmocka_unit_test(what_a_process_has_not_read_is_seen),
		cmocka_unit_test(the_list_lags_comes_in_pages_and_has_a_rate),
		cmocka_unit_test(calm_clients_break_nothing),
		cmocka_unit_test(planted_cuts_are_seen),
		cmocka_unit_test(a_missing_tenant_is_seen),
		cmocka_unit_test(cut_streams_are_taken_up_without_a_breach),
		cmocka_unit_test(surplus_bytes_that_reach_a_client_are_seen),
		cmocka_unit_test(an_answer_lost_after_its_run_is_not_run_again_where_it_may_not),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
