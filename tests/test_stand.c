/* The stand-in of the users' platform, tried by itself: the judge catches a breach of each rule and lets its mended
 * twin pass; servers, store and list speak as the pages say. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "ds.h"
#include "stand.h"

/* ---- the judge ---- */

enum { EDGES = 3, CORES = 3 };
#define ROUTE(name, prefix, service) "{\"Name\":\"" name "\",\"HostName\":\"h.example\",\"PathPrefix\":\"" prefix "\",\"RouteType\":\"streaming\"," \
	"\"TimeoutMs\":8000,\"TargetMs\":400,\"Priority\":0,\"ServiceName\":\"" service "\",\"MaxAttempts\":2,\"PublicAccess\":false,\"Resumable\":true}"
#define TENANTS(keys, iso) "\"TenantList\":[{\"Name\":\"t1\",\"AccessKeys\":[" keys "],\"Isolated\":" iso "},{\"Name\":\"t2\",\"AccessKeys\":[\"k2\"],\"Isolated\":false}]"
#define SERVICES "\"ServiceList\":[{\"Name\":\"lm\"},{\"Name\":\"lm2\"}]"
#define CFG(version, routes, tenants) "{\"ConfigVersion\":" version ",\"RouteList\":[" routes "]," SERVICES "," tenants "}"
#define FIRST CFG("1", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false"))

static const struct try_rec a_try = {
	.id = "x1", .subject = "s1", .method = "POST", .host = "h.example", .path = "/a/1", .key = "k1", .body = 7, .edge = 0, .deadline = 8000,
	.stream = 1, .kind = TRY_RESUMABLE,
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
	struct arrive_rec a = { .id = x->id, .method = x->method, .host = x->host, .path = x->path, .tenant = "t1", .service = service,
		                .instance = instance, .body = x->body, .last_event = x->last_event };

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
	return (struct told_rec){ .id = x->id, .seal_id = x->id, .status = 200, .seal = run, .how = TOLD_WHOLE, .event = e, .nevent = n, .events = 1 };
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
	int n = cfg_at(j, 5000, -1, 1, bad ? CFG("3", ROUTE("a", "/a/", "nowhere"), TENANTS("\"k1\"", "false")) :
	               CFG("3", ROUTE("a", "/a/", "lm"), TENANTS("\"k1\"", "false")));

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
		n += (size_t)sprintf(big + n, ",{\"Name\":\"n%d\",\"HostName\":\"h.example\",\"PathPrefix\":\"/n%d/\",\"TimeoutMs\":8000,\"ServiceName\":\"lm\"}", i, i);
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
	judge_begin(j, bad ? 6110 : 6090, arrives(j, 6005, &a_try, "lm", "i-1"), 1, &u, 1); /* in force 2 s after it was acknowledged */
}

static void version(struct judge *j, int bad)
{
	judge_named(j, 5000, 2, 0);
	judge_named(j, 5100, 2, 1);
	judge_try(j, 20000, &a_try);
	judge_begin(j, 20100 + (bad ? 10 : -10), arrives(j, 20005, &a_try, "lm", "i-1"), 1, NULL, 0);
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
			struct arrive_rec a = { .id = id, .method = y.method, .host = y.host, .path = y.path, .tenant = i % 2 ? "t1" : "t2",
				                .service = "lm", .instance = "i-1", .body = y.body };
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
static const struct { const char *name, *rule; void (*fn)(struct judge *j, int bad); } stories[] = {
	{ "no seal", "MIXED", no_seal }, { "another's answer", "MIXED", other_answer }, { "another body", "MIXED", other_body },
	{ "a success of a failure", "MIXED", success_of_a_failure }, { "garbage", "MIXED", garbage }, { "stray", "MIXED", stray },
	{ "broken off, but whole", "MIXED", broke_but_whole }, { "unasked", "UNASKED", unasked }, { "another path", "UNASKED", changed_path },
	{ "another body runs", "UNASKED", changed_body }, { "another tenant", "UNASKED", other_tenant }, { "twice", "TWICE", twice },
	{ "refused, but ran", "REFUSED", refused }, { "denied", "DENIED", denied }, { "wrong service", "ROUTE", route },
	{ "unknown key", "ROUTE", unknown_key }, { "old version runs", "CONFIG", old_version }, { "old version denies", "CONFIG", old_denial },
	{ "out of touch", "CONFIG", old_while_out_of_touch }, { "goes back", "CONFIG", goes_back },
	{ "refused in force", "CONFIG", refused_in_force }, { "invalid acknowledged", "CONFIG", invalid_acked },
	{ "both acknowledged", "CONFIG", both_acked }, { "read old", "CONFIG", read_old }, { "read another", "CONFIG", read_other },
	{ "read nothing", "CONFIG", read_nothing }, { "lost after the fault", "LOST", lost_after_fault },
	{ "added routes", "CONFIG", added_routes }, { "revoked", "CONFIG", revoked }, { "drain", "DRAIN", drain }, { "drain 421", "DRAIN", drain_421 },
	{ "lost", "LOST", lost }, { "lost, unread", "LOST", lost_unread }, { "lost, still at work", "LOST", lost_late_work },
	{ "budget", "BUDGET", budget }, { "a gap", "ORDER", order_gap }, { "a piece twice", "ORDER", order_double },
	{ "ends early", "ORDER", order_short }, { "joined", "ORDER", order_joined }, { "joined, once only", "ORDER TWICE", order_joined_once },
	{ "one fence", "ONE", one_fence }, { "one lease", "ONE", one_lease }, { "one thawed", "ONE", one_thawed }, { "stale", "STALE", stale },
	{ "wall", "WALL", wall }, { "version", "VERSION", version }, { "acks", "ACKS", acks }, { "acks, unsettled", "ACKS", acks_unsettled },
	{ "acks of weights", "ACKS", acks_weights }, { "recover", "RECOVER", recover }, { "own ends", "FAULT", own_ends }, { "starved", "STARVED", starved },
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
					print_error("%s, %s: %s %s\n", stories[i].name, bad ? "broken" : "mended", b[k].rule, b[k].text);
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
	static const struct { const char *text; int64_t base; int bad; } c[] = {
		{ FIRST, 0, 0 },
		{ FIRST, 1, 1 },                               /* not above */
		{ "{\"ConfigVersion\":2,\"RouteList\":[", 1, 1 }, /* cut short */
		{ CFG("2", ROUTE("a", "/a/", "nowhere"), TENANTS("\"k1\"", "false")), 1, 1 },
		{ CFG("2", ROUTE("a", "/a/", "lm") "," ROUTE("b", "/a/", "lm"), TENANTS("\"k1\"", "false")), 1, 1 },
		{ CFG("2", ROUTE("a", "/a/", "lm") "," ROUTE("b", "/b/", "lm"), TENANTS("\"k1\"", "false")), 1, 0 },
		{ CFG("2", ROUTE("a", "/a/", "lm"), TENANTS("\"k2\"", "false")), 1, 1 }, /* a shared key */
		{ CFG("2", "{\"Name\":\"a\",\"HostName\":\"h\",\"PathPrefix\":\"/a/\",\"TimeoutMs\":0,\"ServiceName\":\"lm\"}", TENANTS("", "false")), 1, 1 },
		{ CFG("2", "{\"Name\":\"a\",\"HostName\":\"h\",\"PathPrefix\":\"/a/\",\"TimeoutMs\":9,\"TrafficSplit\":[{\"ServiceName\":\"lm\",\"ShareWeight\":0}]}", TENANTS("", "false")), 1, 1 },
	};

	(void)st;
	for (size_t i = 0; i < sizeof c / sizeof *c; i++) {
		struct cfg *k = cfg_read(c[i].text);

		if ((cfg_invalid(k, c[i].base) != NULL) != c[i].bad)
			fail_msg("configuration %zu is judged wrongly", i);
		cfg_free(k);
	}
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

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(judge_catches_each_breach), cmocka_unit_test(configurations_are_told_apart),
		cmocka_unit_test(histogram_is_within_its_steps),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
