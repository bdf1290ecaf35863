/* The judge: every rule by its name, from what servers, clients, the operator and the list saw. All is kept and judged
 * at the end, for some rules look forward. Where the pages leave room, the stricter reading is taken, but for those
 * that need the sender of a connection: on loopback the machine that took the client's try stands for it. */
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"
#include "stand_judge_private.h"

const struct bounds_set bounds_sheet = {
	.contact = 3000,
	.ack = 4000,
	.catch_up = 4000,
	.drain = 3000,
	.grace = 8000,
	.loss_slack = 200,
	.apply = 2000,
	.revert = 250,
	.drift = 5000,
	.revoke = 5000,
	.window = 10000,
	.slack = 58,
	.recovery = 12000,
	.transit = 120,
	.lease = 3000,
	.thaw = 300,
	.version = 15000,
	.ratio = 0.2,
	.fence_checked = 1,
	.revoke_global = 1,
};

static char *copy(const char *s) { return s ? strdup(s) : NULL; }

void breach(struct judge *j, const char *rule, int64_t t, const char *fmt, ...)
{
	struct breach b;
	va_list ap;

	memset(&b, 0, sizeof b);
	snprintf(b.rule, sizeof b.rule, "%s", rule);
	b.t = t;
	va_start(ap, fmt);
	vsnprintf(b.text, sizeof b.text, fmt, ap);
	va_end(ap);
	arrput(j->out, b);
}

struct judge *judge_open(const struct bounds_set *b)
{
	struct judge *j = calloc(1, sizeof *j);

	j->b = *b;
	j->fault = j->back = -1;
	sh_new_strdup(j->by_id);
	sh_new_strdup(j->names);
	shdefault(j->by_id, -1);
	shdefault(j->names, -1);
	return j;
}

void judge_close(struct judge *j)
{
	for (int i = 0; i < arrlen(j->a); i++) {
		struct attempt *a = &j->a[i];

		free(a->id), free(a->subject), free(a->method), free(a->host), free(a->path), free(a->key), free(a->seal_id);
		arrfree(a->event);
		arrfree(a->run);
	}
	for (int i = 0; i < arrlen(j->r); i++) {
		struct arrival *r = &j->r[i];

		free(r->id), free(r->method), free(r->host), free(r->path), free(r->tenant), free(r->service), free(r->instance);
		arrfree(r->used);
	}
	for (int i = 0; i < arrlen(j->c); i++)
		cfg_free(j->c[i].c);
	for (int i = 0; i < arrlen(j->s); i++)
		free(j->s[i].instance);
	for (int i = 0; i < arrlen(j->o); i++)
		free(j->o[i].instance), free(j->o[i].holder);
	for (int i = 0; i < arrlen(j->read); i++)
		free(j->read[i].text);
	shfree(j->by_id);
	shfree(j->names);
	arrfree(j->a);
	arrfree(j->r);
	arrfree(j->c);
	arrfree(j->m);
	arrfree(j->reload);
	arrfree(j->s);
	arrfree(j->o);
	arrfree(j->n);
	arrfree(j->read);
	arrfree(j->own_end);
	arrfree(j->stray);
	arrfree(j->out);
	free(j);
}

void judge_try(struct judge *j, int64_t t, const struct try_rec *r)
{
	struct attempt a;

	memset(&a, 0, sizeof a);
	a.t = t;
	a.id = copy(r->id), a.subject = copy(r->subject), a.method = copy(r->method), a.host = copy(r->host),
	a.path = copy(r->path);
	a.key = copy(r->key);
	a.body = r->body, a.edge = r->edge, a.kind = r->kind, a.last_event = r->last_event, a.probe = r->probe,
	a.stream = r->stream;
	a.deadline = r->deadline, a.cls = r->cls;
	a.seal = -1;
	shput(j->by_id, a.id, (int)arrlen(j->a));
	arrput(j->a, a);
}

int judge_arrive(struct judge *j, int64_t t, const struct arrive_rec *r)
{
	struct arrival a;

	memset(&a, 0, sizeof a);
	a.t = t;
	a.begun = a.ended = -1;
	a.id = copy(text(r->id)), a.method = copy(r->method), a.host = copy(text(r->host)), a.path = copy(r->path),
	a.tenant = copy(r->tenant);
	a.service = copy(r->service), a.instance = copy(r->instance);
	a.body = r->body, a.server = r->server, a.turned = r->turned, a.last_event = r->last_event;
	a.try = shget(j->by_id, a.id);
	arrput(j->r, a);
	if (a.try >= 0)
		arrput(j->a[a.try].run, (int)arrlen(j->r) - 1);
	return (int)arrlen(j->r) - 1;
}

void judge_begin(struct judge *j, int64_t t, int run, int version, const struct used_rec *u, int n)
{
	struct arrival *a = &j->r[run];

	if (a->begun < 0)
		a->begun = t;
	a->version = version;
	for (int i = 0; i < n; i++) {
		struct used x = { u[i].version, shget(j->names, text(u[i].tenant)) };

		if (x.tenant < 0) {
			x.tenant = (int)shlen(j->names);
			shput(j->names, text(u[i].tenant), x.tenant);
		}
		arrput(a->used, x);
	}
}

void judge_ran(struct judge *j, int64_t t, int run, int how, int status, uint64_t body, int last_event)
{
	struct arrival *a = &j->r[run];

	a->ran = 1;
	a->ended = t;
	a->how = how;
	a->status = status;
	a->ran_body = body;
	a->last = last_event;
}

void judge_turned(struct judge *j, int run, int status) { j->r[run].turned = status; }

void judge_told(struct judge *j, int64_t t, const struct told_rec *r)
{
	int k = r->id ? shget(j->by_id, r->id) : -1;
	struct attempt *a;

	if (k < 0 || r->how == TOLD_STRAY) {
		arrsetlen(j->stray, arrlenu(j->stray) + 1);
		snprintf(arrlast(j->stray).id, sizeof arrlast(j->stray).id, "%s", text(r->id));
		arrlast(j->stray).t = t;
		return;
	}
	a = &j->a[k];
	a->is_told = 1;
	a->told_at = t;
	a->seal_id = copy(r->seal_id);
	a->read = r->read;
	a->status = r->status, a->seal = r->seal, a->own = r->own, a->how = r->how, a->told_body = r->body, a->events = r->events;
	for (int i = 0; i < r->nevent; i++)
		arrput(a->event, r->event[i]);
}

int judge_cfg(struct judge *j, int64_t t, struct cfg *c, int64_t base, int invalid)
{
	struct kept_cfg k = { c, base, c ? c->version : 0, t, -1, -1, invalid || !c };

	arrput(j->c, k);
	return (int)arrlen(j->c) - 1;
}

void judge_cfg_fate(struct judge *j, int64_t t, int cfg, enum cfg_fate f)
{
	if (f == CFG_ACKED && j->c[cfg].acked < 0)
		j->c[cfg].acked = t;
	else if (f == CFG_REFUSED && j->c[cfg].refused < 0)
		j->c[cfg].refused = t;
}

void judge_read(struct judge *j, int64_t t, const char *s)
{
	struct read_ev e = { t, copy(s) };

	arrput(j->read, e);
}

void judge_shown(struct judge *j, int64_t t, const char *instance, enum shown s)
{
	struct shown_ev e = { t, copy(instance), s };

	arrput(j->s, e);
}

void judge_order(struct judge *j, int64_t t, const struct order_rec *r)
{
	struct order_ev e = { t, r->fence, copy(r->instance), copy(text(r->holder)), r->status, r->thawed };

	arrput(j->o, e);
}

void judge_named(struct judge *j, int64_t t, int version, int acked)
{
	struct named_ev e = { t, version, acked };

	arrput(j->n, e);
}

void judge_machine(struct judge *j, int64_t t, int machine, int core, enum trouble tr, int up)
{
	struct machine_ev e = { t, machine, core, up, tr };

	arrput(j->m, e);
}

void judge_reload(struct judge *j, int64_t t, int machine)
{
	struct reload_ev e = { t, machine };

	arrput(j->reload, e);
}

void judge_own_end(struct judge *j, int64_t t, int machine)
{
	(void)t;
	arrput(j->own_end, machine);
}

void judge_closing(struct judge *j, int64_t fault, int64_t back)
{
	j->fault = fault;
	j->back = back;
}

static int breach_order(const void *a, const void *b)
{
	const struct breach *x = a, *y = b;

	return x->t != y->t ? (x->t > y->t) - (x->t < y->t) : strcmp(x->rule, y->rule);
}

int judge_all(struct judge *j, int64_t end, const struct breach **b)
{
	arrsetlen(j->out, 0);
	rule_answers(j);
	rule_order(j);
	rule_runs(j);
	rule_config(j);
	rule_added(j);
	rule_keys(j);
	rule_read(j, end);
	rule_history(j);
	rule_drain(j);
	rule_lost(j);
	rule_budget(j);
	rule_one(j);
	rule_memory(j);
	rule_version(j);
	rule_acks(j, end);
	rule_recover(j);
	rule_ends(j);
	rule_starved(j);
	if (arrlen(j->out))
		qsort(j->out, arrlenu(j->out), sizeof *j->out, breach_order);
	if (b)
		*b = j->out;
	return (int)arrlen(j->out);
}

void judge_story(const struct judge *j, const char *id, FILE *f)
{
	static const char *const how[] = { "whole", "cut", "no answer", "garbage", "given up", "stray" }, *const end[] = {
		"its caller left", "broke off", "whole"
	};
	int k = shget(((struct judge *)(uintptr_t)j)->by_id, id);
	const struct attempt *a = k >= 0 ? &j->a[k] : NULL;

	if (!a)
		return;
	fprintf(f, "    %7lld sent to machine %d%s: %s%s%s, %lld ms to wait%s\n", (long long)a->t, a->edge,
		judge_touch(j, a->edge, a->t) ? "" : " (out of touch)", a->host, a->path, a->probe ? " (probe)" : "",
		(long long)a->deadline, a->kind == TRY_ONCE ? ", not repeatable" : "");
	for (int i = 0; i < arrlen(a->run); i++) {
		const struct arrival *r = &j->r[a->run[i]];

		fprintf(f, "    %7lld arrived at %s of %s (run %d)%s", (long long)r->t, r->instance, r->service, a->run[i],
			r->turned ? ", turned away" : "");
		if (r->turned)
			fprintf(f, " with %d", r->turned);
		if (r->begun >= 0)
			fprintf(f, ", began at %lld on version %d", (long long)r->begun, r->version);
		if (r->ran)
			fprintf(f, ", ended at %lld: %s, %d, piece %d", (long long)r->ended, end[r->how + 1], r->status, r->last);
		fputc('\n', f);
	}
	if (a->is_told)
		fprintf(f, "    %7lld told %d, %s%s%s, seal %d, %d pieces\n", (long long)a->told_at, a->status, how[a->how],
			a->read ? ", had been read" : "", a->own ? ", the system's own" : "", a->seal, (int)arrlen(a->event));
}
