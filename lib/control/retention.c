#include "retention.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"
#include "leadership.h"
#include "controller_private.h"

/* ---- rows ------------------------------------------------------------------ */

int64_t retention_span(const char *text)
{
	static const struct {
		char unit;
		int64_t ms;
	} units[] = { { 's', 1000 }, { 'm', 60000 }, { 'h', 3600000 }, { 'd', 86400000 }, { 'w', 604800000 } };
	size_t n = strspn(text, "0123456789");
	int64_t v = n && n < 7 ? strtoll(text, NULL, 10) : 0;

	for (size_t i = 0; v && i < sizeof units / sizeof *units; i++)
		if (text[n] == units[i].unit && !text[n + 1])
			return v * units[i].ms;
	return -1;
}

int retention_scope(const char *name, char lane[200], char tenant[200])
{
	const char *slash = strchr(name, '/');

	if (strlen(name) >= 200)
		return 0;
	if (!strcmp(name, "*"))
		name = "*/*", slash = name + 1;
	if (!slash || slash == name || !slash[1])
		return 0;
	memcpy(lane, name, (size_t)(slash - name));
	lane[slash - name] = 0;
	memcpy(tenant, slash + 1, strlen(slash));
	if (!strcmp(lane, "*"))
		lane[0] = 0;
	if (!strcmp(tenant, "*"))
		tenant[0] = 0;
	return 1;
}

uint64_t retention_hash(const char *lane, const char *tenant) { return core_hashs(core_hashs(31, lane), tenant); }

/* ms between two clearings of a row without calendar terms. */
static int64_t period(const struct Nl__Row *r)
{
	return r->every[0] ? retention_span(r->every) : retention_span(r->keep) - r->window;
}

const char *retention_row(const struct Nl__Row *r)
{
	char lane[200], tenant[200];
	int64_t keep = r->keep[0] ? retention_span(r->keep) : 0;

	if (!retention_scope(r->name, lane, tenant))
		return "name: lane/tenant, with * for all; * alone for everything";
	if (keep < 0)
		return "keep: a number and s, m, h, d or w, such as 90m or 7d";
	if (r->every[0] && r->at[0])
		return "every: not beside at";
	if (!keep && !r->every[0] && !r->at[0])
		return "keep: missing, and neither every nor at";
	if (r->every[0] && retention_span(r->every) < 0)
		return "every: a number and s, m, h, d or w, such as 6h";
	if (keep && keep < (int64_t)r->window)
		return "keep: shorter than window";
	if (r->at[0])
		return NULL; /* the calendar judges it */
	if (period(r) < RETENTION_LEAST)
		return r->every[0] ? "every: shorter than a clearing takes (10s)"
				   : "keep: shorter than window and a clearing (10s)";
	if ((int64_t)r->window > period(r))
		return "window: longer than the time between two clearings";
	if (keep && r->every[0] && keep < period(r) + (int64_t)r->window)
		return "keep: shorter than every and window together";
	return NULL;
}

static int named(const struct table *t, const struct Nl__Change *c, Nl__Kind k, const char *name)
{
	for (size_t i = 0; i < c->n_set; i++)
		if (c->set[i]->kind == k && !strcmp(c->set[i]->name, name))
			return 1;
	for (size_t i = 0; i < c->n_del; i++)
		if (c->del[i]->kind == k && !strcmp(c->del[i]->name, name))
			return 0;
	return !c->whole && table_get(t, k, name);
}

const char *retention_scopes(const struct table *t, const struct Nl__Change *c, apr_pool_t *p)
{
	char lane[200], tenant[200];

	for (size_t i = 0; i < c->n_set && shlen(t->h); i++) {
		const struct Nl__Row *r = c->set[i];

		if (r->kind != NL__KIND__RETENTION || !retention_scope(r->name, lane, tenant))
			continue;
		if (lane[0] && !named(t, c, NL__KIND__LANE, lane))
			return apr_psprintf(p, "retention %s: name: no lane %s", r->name, lane);
		if (tenant[0] && !named(t, c, NL__KIND__TENANT, tenant))
			return apr_psprintf(p, "retention %s: name: no tenant %s", r->name, tenant);
	}
	return NULL;
}

/* The shortest and the longest time between two clearings in the next 800 days; 0 when fewer than two come. */
static int gaps(const struct controller_calendar *cal, const char *text, int64_t wall, int64_t *least, int64_t *most)
{
	int64_t a = cal->next(text, wall), b;
	int n = 0;

	*least = INT64_MAX;
	*most = 0;
	while (a && a < wall + 800 * 86400000LL && (b = cal->next(text, a)) && n++ < 400) {
		*least = b - a < *least ? b - a : *least;
		*most = b - a > *most ? b - a : *most;
		a = b;
	}
	return n;
}

const char *retention_check(const struct controller_calendar *cal, const struct Nl__Change *c, int64_t wall, apr_pool_t *p)
{
	for (size_t i = 0; i < c->n_set; i++) {
		const struct Nl__Row *r = c->set[i];
		int64_t least, most, keep;
		const char *why = NULL;

		if (r->kind != NL__KIND__RETENTION)
			continue;
		if (wall == INT64_MIN)
			why = "the registrars' clocks are not heard: nothing can be planned";
		else if (!r->at[0])
			continue;
		else if (!cal)
			why = "at: no calendar is known here";
		else if ((why = cal->check(r->at, p)))
			why = apr_psprintf(p, "at: %s", why);
		else if (!cal->next(r->at, wall))
			why = "at: it never comes";
		else if (gaps(cal, r->at, wall, &least, &most) && (int64_t)r->window > least)
			why = "window: longer than the time between two clearings";
		else if (r->keep[0] && (keep = retention_span(r->keep)) >= 0 && keep < most + (int64_t)r->window)
			why =
			    apr_psprintf(p, "keep: two clearings may be %" APR_INT64_T_FMT " h apart, and window: keep is shorter",
					 most / 3600000);
		if (why)
			return apr_psprintf(p, "retention %s: %s", r->name, why);
	}
	return NULL;
}

int64_t retention_next(const struct controller_calendar *cal, const struct Nl__Row *row, int64_t base, int64_t from)
{
	int64_t ms;

	if (row->at[0])
		return cal ? cal->next(row->at, from) : 0;
	ms = period(row);
	if (ms < RETENTION_LEAST)
		return 0;
	return base > from ? base : base + ((from - base) / ms + 1) * ms;
}

/* ---- the state that part 0 keeps -------------------------------------------- */

static struct Nl__Planned *plan_of(const struct retention *t, const char *scope)
{
	for (ptrdiff_t i = 0; i < arrlen(t->plan); i++)
		if (!strcmp(t->plan[i]->scope, scope))
			return t->plan[i];
	return NULL;
}

static struct Nl__Clearing *clearing_of(const struct retention *t, uint64_t number)
{
	for (ptrdiff_t i = arrlen(t->v) - 1; i >= 0; i--)
		if (t->v[i]->number == number)
			return t->v[i];
	return NULL;
}

static ProtobufCMessage *keep(const ProtobufCMessage *m)
{
	size_t n = protobuf_c_message_get_packed_size(m);
	uint8_t *d = malloc(n + 1);
	ProtobufCMessage *c;

	if (!d)
		abort();
	protobuf_c_message_pack(m, d);
	c = protobuf_c_message_unpack(m->descriptor, NULL, n, d);
	free(d);
	if (!c)
		abort();
	return c;
}

/* One slice of a clearing goes to the publisher. */
static void emit(struct controller *r, uint64_t index, struct Nl__Clearing *c)
{
	struct Nl__Purge p = NL__PURGE__INIT;
	struct Nl__Value v = NL__VALUE__INIT;
	const struct Nl__Row *row;
	char lane[200] = "", tenant[200] = "";
	uint32_t n = 0;

	if (!c->wide)
		(void)retention_scope(c->scope, lane, tenant);
	row = lane[0] ? table_get(&r->ctl, NL__KIND__LANE, lane) : NULL;
	p.why = PURGE_CONTEXT;
	p.lane = lane;
	p.tenant = tenant;
	p.service = row ? row->service : (char *)"";
	p.number = c->number;
	p.slice = c->slices++;
	for (ptrdiff_t i = arrlen(r->ctl_feed) - 1; i >= 0 && r->ctl_feed[i]->index >> 16 == index; i--)
		n++;
	v.feed = SHARD_CONTROL;
	v.index = index << 16 | n;
	v.purge = &p;
	arrput(r->ctl_feed, value_copy(&v));
}

static void begin(struct controller *r, uint64_t index, const struct Nl__Clear *c, const char *by, uint32_t window, int wide)
{
	struct retention *t = &r->ret;
	struct Nl__Clearing n = NL__CLEARING__INIT;
	char lane[200] = "", tenant[200] = "";

	(void)retention_scope(c->scope, lane, tenant);
	for (ptrdiff_t i = 0; i < arrlen(t->v); i++) /* one of a scope at a time: the one before ends here */
		if (!strcmp(t->v[i]->scope, c->scope) && t->v[i]->slices < PURGE_SLICES) {
			while (t->v[i]->slices < PURGE_SLICES)
				emit(r, index, t->v[i]);
			t->v[i]->sliced = c->wall;
		}
	n.number = ++t->number;
	n.scope = c->scope;
	n.due = c->due;
	n.decided = c->wall;
	n.by = (char *)by;
	n.missed = c->missed;
	n.window = window;
	n.wide = wide && (lane[0] || tenant[0]);
	arrput(t->v, (struct Nl__Clearing *)keep(&n.base));
	while (arrlen(t->v) > RETENTION_RECORDS) {
		ptrdiff_t i = 0;

		while (i < arrlen(t->v) - 1 && !t->v[i]->done)
			i++;
		nl__clearing__free_unpacked(t->v[i], NULL);
		arrdel(t->v, i);
	}
}

uint32_t retention_apply(struct controller *r, uint64_t index, const struct Nl__Clear *c)
{
	struct retention *t = &r->ret;
	struct Nl__Planned *plan = plan_of(t, c->scope);
	struct Nl__Clearing *v = clearing_of(t, c->number);
	const struct Nl__Row *row = table_get(&r->ctl, NL__KIND__RETENTION, c->scope);

	switch (c->step) {
	case NL__CLEAR_STEP__CLEAR_PLAN:
		if (!plan || plan->due || !c->next)
			return TABLE_REFUSED;
		plan->due = c->next;
		plan->planned = c->wall;
		return TABLE_DONE;
	case NL__CLEAR_STEP__CLEAR_DUE: /* a due time is taken once, whoever decides it and however often */
		if (!plan || !row || plan->due != c->due || c->next <= c->due)
			return TABLE_REFUSED;
		plan->due = c->next;
		begin(r, index, c, "schedule", row->window, !plan->settled);
		plan->settled |= c->wall - plan->planned >= RETENTION_SETTLE;
		return TABLE_DONE;
	case NL__CLEAR_STEP__CLEAR_NOW: begin(r, index, c, c->by, 0, !plan || !plan->settled); return TABLE_DONE;
	case NL__CLEAR_STEP__CLEAR_SLICE:
		if (!v || v->slices != c->slice || v->slices >= PURGE_SLICES)
			return TABLE_REFUSED;
		emit(r, index, v);
		v->late |= c->late;
		if (v->slices == PURGE_SLICES)
			v->sliced = c->wall;
		return TABLE_DONE;
	case NL__CLEAR_STEP__CLEAR_DONE:
		if (!v || v->slices < PURGE_SLICES || v->done)
			return TABLE_REFUSED;
		v->done = c->wall;
		return TABLE_DONE;
	default: return TABLE_REFUSED;
	}
}

static const char *text_of(const struct Nl__Row *r, apr_pool_t *p)
{
	return apr_psprintf(p, "%s|%s|%s|%u", r->keep, r->every, r->at, (unsigned)r->window);
}

void retention_rows(struct controller *r, uint64_t index)
{
	struct retention *t = &r->ret;
	apr_pool_t *p;

	if (!arrlen(t->plan)) {
		ptrdiff_t i = 0;

		while (i < shlen(r->ctl.h) && r->ctl.h[i].value.row->kind != NL__KIND__RETENTION)
			i++;
		if (i == shlen(r->ctl.h))
			return;
	}
	apr_pool_create(&p, NULL);
	for (ptrdiff_t i = arrlen(t->plan) - 1; i >= 0; i--) {
		const struct Nl__Row *row = table_get(&r->ctl, NL__KIND__RETENTION, t->plan[i]->scope);

		if (row && !strcmp(text_of(row, p), t->plan[i]->text))
			continue;
		if (row) { /* planned anew */
			free(t->plan[i]->text);
			t->plan[i]->text = strdup(text_of(row, p));
			t->plan[i]->due = 0;
			continue;
		}
		/* what lies on its own cache namespaces must not be found again if the row comes back */
		struct Nl__Clear c = NL__CLEAR__INIT;

		c.scope = t->plan[i]->scope;
		c.wall = c.due = t->plan[i]->planned;
		begin(r, index, &c, "its row was taken out", 0, 0);
		nl__planned__free_unpacked(t->plan[i], NULL);
		arrdel(t->plan, i);
	}
	for (ptrdiff_t i = 0; i < shlen(r->ctl.h); i++) {
		const struct Nl__Row *row = r->ctl.h[i].value.row;
		struct Nl__Planned n = NL__PLANNED__INIT;
		ptrdiff_t k = arrlen(t->plan);

		if (row->kind != NL__KIND__RETENTION || plan_of(t, row->name))
			continue;
		n.scope = row->name;
		n.text = (char *)text_of(row, p);
		arrput(t->plan, (struct Nl__Planned *)keep(&n.base));
		for (; k && strcmp(t->plan[k - 1]->scope, t->plan[k]->scope) > 0;
		     k--) { /* in order, so that equal states pack alike */
			struct Nl__Planned *x = t->plan[k];

			t->plan[k] = t->plan[k - 1];
			t->plan[k - 1] = x;
		}
	}
	apr_pool_destroy(p);
}

void retention_pack(const struct controller *r, struct Nl__CtlState *s)
{
	s->clearings = r->ret.number;
	s->clearing = r->ret.v;
	s->n_clearing = (size_t)arrlen(r->ret.v);
	s->planned = r->ret.plan;
	s->n_planned = (size_t)arrlen(r->ret.plan);
	s->cleared = r->ret.cleared;
}

void retention_clear(struct controller *r)
{
	struct retention *t = &r->ret;

	for (ptrdiff_t i = 0; i < arrlen(t->v); i++)
		nl__clearing__free_unpacked(t->v[i], NULL);
	for (ptrdiff_t i = 0; i < arrlen(t->plan); i++)
		nl__planned__free_unpacked(t->plan[i], NULL);
	for (ptrdiff_t i = 0; i < arrlen(t->said); i++) {
		for (ptrdiff_t k = 0; k < arrlen(t->said[i].v); k++)
			free(t->said[i].v[k].server);
		arrfree(t->said[i].v);
	}
	arrfree(t->v);
	arrfree(t->plan);
	arrfree(t->said);
	memset(t, 0, sizeof *t);
}

void retention_load(struct controller *r, const struct Nl__CtlState *s)
{
	retention_clear(r);
	if (!s)
		return;
	r->ret.number = s->clearings;
	r->ret.cleared = s->cleared;
	for (size_t i = 0; i < s->n_clearing; i++)
		arrput(r->ret.v, (struct Nl__Clearing *)keep(&s->clearing[i]->base));
	for (size_t i = 0; i < s->n_planned; i++)
		arrput(r->ret.plan, (struct Nl__Planned *)keep(&s->planned[i]->base));
}

/* ---- the clocks --------------------------------------------------------------- */

/* More than half of part 0's voters say that it is this late, or later: one clock that jumps decides nothing. */
int64_t retention_wall(const struct controller *r, int64_t now)
{
	const struct raft *p = &r->part[SHARD_CONTROL];
	int64_t v[RAFT_MAX_MEMBERS];
	int n = 0;

	for (int i = 0; i < p->member_count; i++) {
		int64_t wall = INT64_MIN;
		int k = n;

		if (!p->members[i].voter)
			continue;
		if (p->members[i].id == r->id)
			wall = r->wall ? r->wall : INT64_MIN;
		else
			for (ptrdiff_t s = 0; s < arrlen(r->seen); s++)
				if (r->seen[s].id == p->members[i].id && r->seen[s].wall && now - r->seen[s].at <= CONTROLLER_SEEN)
					wall = r->seen[s].wall + (now - r->seen[s].at);
		for (; k && v[k - 1] < wall; k--)
			v[k] = v[k - 1];
		v[k] = wall;
		n++;
	}
	return n ? v[n / 2] : INT64_MIN;
}

/* ---- the owner decides ----------------------------------------------------------- */

static uint64_t step(struct controller *r, struct Nl__Clear *c, int64_t now, struct out *o)
{
	struct Nl__Op op = NL__OP__INIT;

	op.op_case = NL__OP__OP_CLEAR;
	op.clear = c;
	return r->ret.logged = log_operation(r, SHARD_CONTROL, &op, now, o);
}

/* A row without a due time gets one; one whose time has come is cleared, however many times were missed since. */
static int plan(struct controller *r, int64_t wall, int64_t now, struct out *o)
{
	for (ptrdiff_t i = 0; i < arrlen(r->ret.plan); i++) {
		struct Nl__Planned *p = r->ret.plan[i];
		const struct Nl__Row *row = table_get(&r->ctl, NL__KIND__RETENTION, p->scope);
		struct Nl__Clear c = NL__CLEAR__INIT;

		if (!row || (p->due && p->due > wall))
			continue;
		c.scope = p->scope;
		c.wall = wall;
		if (!p->due) {
			int64_t base = wall;

			for (ptrdiff_t k = 0; k < arrlen(r->ret.v);
			     k++) /* a row that is edited again and again is not put off for ever */
				if (!strcmp(r->ret.v[k]->scope, p->scope) && r->ret.v[k]->decided < wall)
					base = r->ret.v[k]->decided;
			c.step = NL__CLEAR_STEP__CLEAR_PLAN;
			c.next = retention_next(r->calendar, row, base, wall);
		} else {
			int64_t next = p->due;

			c.step = NL__CLEAR_STEP__CLEAR_DUE;
			c.due = p->due;
			c.next = retention_next(r->calendar, row, p->due, wall);
			while (c.missed < 1000 && (next = retention_next(r->calendar, row, next, next)) && next <= wall)
				c.missed++;
		}
		if (c.next && step(r, &c, now, o)) {
			if (c.step == NL__CLEAR_STEP__CLEAR_DUE)
				log_line(r, "retention", o->p,
					 "Context of %s is due for clearing; %u due times were missed before.", p->scope,
					 (unsigned)c.missed);
			return 1;
		}
	}
	return 0;
}

static int calm(const struct controller *r, int64_t now)
{
	for (ptrdiff_t i = 0; i < arrlen(r->seen); i++)
		if (r->seen[i].counter && now - r->seen[i].at < CONTROLLER_SEEN && r->seen[i].load_pressure > RETENTION_STRAIN)
			return 0;
	return 1;
}

/* The next slice of a clearing: at half its pace while callers are served in time, at its full pace whatever they feel. */
static int slice(struct controller *r, int64_t wall, int64_t now, struct out *o)
{
	for (ptrdiff_t i = 0; i < arrlen(r->ret.v); i++) {
		struct Nl__Clearing *v = r->ret.v[i];
		struct Nl__Clear c = NL__CLEAR__INIT;
		int64_t from = v->due > v->decided - 60000 ? v->due : v->decided;

		if (v->slices >= PURGE_SLICES)
			continue;
		c.late = v->window && !calm(r, now);
		if (wall < from + (int64_t)v->window * v->slices / (c.late ? PURGE_SLICES : 2 * PURGE_SLICES))
			continue;
		c.step = NL__CLEAR_STEP__CLEAR_SLICE;
		c.number = v->number;
		c.scope = v->scope;
		c.slice = v->slices;
		c.wall = wall;
		if (!step(r, &c, now, o))
			return 0;
		if (c.late)
			log_line(r, "retention", o->p,
				 "Clearing %" APR_UINT64_T_FMT ": lines are long, but its window ends: slice %u goes on.",
				 v->number, c.slice);
		return 1;
	}
	return 0;
}

/* The tick at which a slice of a clearing is in force, as far as it is known here; 0: not published yet. */
static uint64_t tick_of(const struct controller *r, const struct Nl__Clearing *c, uint32_t part)
{
	char lane[200] = "", tenant[200] = "";

	if (!c->wide)
		(void)retention_scope(c->scope, lane, tenant);
	for (ptrdiff_t i = 0; i < arrlen(r->relay.w.clear); i++) {
		const struct Nl__Value *v = r->relay.w.clear[i];

		if (v->purge->slice == part && v->purge->number >= c->number && !strcmp(v->purge->lane, lane) &&
		    !strcmp(v->purge->tenant, tenant))
			return v->tick;
	}
	return 0;
}

/* Whether a cache_namespace of this scope holds what such a clearing covers. */
static int covers(const struct controller *r, const struct Nl__Clearing *c, uint64_t scope)
{
	char lane[200] = "", tenant[200] = "", l[200], t[200];

	(void)retention_scope(c->scope, lane, tenant);
	if (c->wide || scope == RETENTION_ANY || (!lane[0] && !tenant[0]))
		return 1;
	for (ptrdiff_t i = 0; scope && i < arrlen(r->ret.plan); i++)
		if (retention_scope(r->ret.plan[i]->scope, l, t) && (uint32_t)retention_hash(l, t) == scope)
			return (!l[0] || !lane[0] || !strcmp(l, lane)) && (!t[0] || !tenant[0] || !strcmp(t, tenant));
	return scope == (uint32_t)retention_hash(lane, tenant);
}

/* What a clearing still waits for: texts are appended to a, if it is given. */
static int missing(const struct controller *r, const struct Nl__Clearing *c, int64_t now, struct json_object *a, apr_pool_t *p)
{
	uint64_t tick = 0;
	int n = 0, index = 0;

#define MISS(...)                                                                                       \
	do {                                                                                            \
		n++;                                                                                    \
		if (a)                                                                                  \
			json_object_array_add(a, json_object_new_string(apr_psprintf(p, __VA_ARGS__))); \
	} while (0)
	if (c->slices < PURGE_SLICES)
		MISS("%u of %u slices are not decided yet", PURGE_SLICES - (unsigned)c->slices, (unsigned)PURGE_SLICES);
	for (uint32_t k = 0; k < c->slices; k++) {
		uint64_t t = tick_of(r, c, k);

		if (!t)
			MISS("slice %u is not published yet", (unsigned)k);
		tick = t > tick ? t : tick;
	}
	for (ptrdiff_t i = 0; i < arrlen(r->seen); i++)
		if (r->seen[i].counter && now - r->seen[i].at < RETENTION_HEARD && r->seen[i].horizon < tick)
			MISS("counter %s has not heard of it yet; it routes cold", core_addr_str(p, r->seen[i].addr));
	for (ptrdiff_t i = 0; i < arrlen(r->ret.said); i++) {
		const struct retention_said *s = &r->ret.said[i];

		if (now - s->at > RETENTION_HEARD)
			continue;
		index |= s->horizon >= tick;
		for (ptrdiff_t k = 0; k < arrlen(s->v); k++)
			if (s->v[k].number < c->number && covers(r, c, s->v[k].scope))
				MISS(s->v[k].parts ? "server %s still names %u parts, which nothing finds any more"
						   : "server %s has not said since what it keeps",
				     s->v[k].server, (unsigned)s->v[k].parts);
	}
	if (!index)
		MISS("no holder of the index has looked since");
#undef MISS
	return n;
}

static int done(struct controller *r, int64_t wall, int64_t now, struct out *o)
{
	if (now - r->ret.checked < RETENTION_CHECK || now - r->leader_since[SHARD_CONTROL] < RETENTION_HEARD)
		return 0; /* a new owner hears all nodes first */
	r->ret.checked = now;
	for (ptrdiff_t i = 0; i < arrlen(r->ret.v); i++) {
		struct Nl__Clearing *v = r->ret.v[i];
		struct Nl__Clear c = NL__CLEAR__INIT;

		if (v->done || v->slices < PURGE_SLICES || missing(r, v, now, NULL, o->p))
			continue;
		c.step = NL__CLEAR_STEP__CLEAR_DONE;
		c.number = v->number;
		c.scope = v->scope;
		c.wall = wall;
		if (step(r, &c, now, o)) {
			log_line(r, "retention", o->p,
				 "Clearing %" APR_UINT64_T_FMT " of %s is done: nothing names what was kept before.", v->number,
				 v->scope);
			return 1;
		}
	}
	return 0;
}

void retention_tick(struct controller *r, int64_t now, struct out *o)
{
	int64_t wall;

	if ((!arrlen(r->ret.plan) && !arrlen(r->ret.v)) || !leads_shard(r, SHARD_CONTROL, now))
		return;
	if (now - r->ret.looked < RETENTION_LOOK || r->ret.logged > r->part[SHARD_CONTROL].applied)
		return;
	r->ret.looked = now;
	wall = retention_wall(r, now);
	if (wall != INT64_MIN && (plan(r, wall, now, o) || slice(r, wall, now, o) || done(r, wall, now, o)))
		r->ret.looked = now - RETENTION_LOOK; /* the next step as soon as this one is applied */
}

void retention_heard(struct controller *r, const struct Nl__Msg *m, int64_t now)
{
	const struct Nl__ConfigSync *q = m->follow;
	struct retention_said *s = NULL, n = { m->id, 0, 0, NULL };

	for (ptrdiff_t i = arrlen(r->ret.said) - 1; i >= 0; i--)
		if (now - r->ret.said[i].at > 60000) {
			for (ptrdiff_t k = 0; k < arrlen(r->ret.said[i].v); k++)
				free(r->ret.said[i].v[k].server);
			arrfree(r->ret.said[i].v);
			arrdelswap(r->ret.said, i);
		}
	if (!q->index)
		return;
	for (ptrdiff_t i = 0; i < arrlen(r->ret.said) && !s; i++)
		if (r->ret.said[i].id == m->id)
			s = &r->ret.said[i];
	if (!s) {
		arrput(r->ret.said, n);
		s = &arrlast(r->ret.said);
	}
	for (ptrdiff_t k = 0; k < arrlen(s->v); k++)
		free(s->v[k].server);
	arrsetlen(s->v, 0);
	for (size_t k = 0; k < q->n_left && k < RETENTION_ROWS; k++) {
		typeof(*s->v) x = { strdup(q->left[k]->server), q->left[k]->scope, q->left[k]->number, q->left[k]->parts };

		arrput(s->v, x);
	}
	s->at = now;
	s->horizon = q->horizon;
}

/* ---- the disks --------------------------------------------------------------------- */

void retention_disks(struct controller *r, int64_t now, struct out *o)
{
	uint64_t tick = 0;

	for (ptrdiff_t i = 0; i < arrlen(r->relay.w.clear); i++)
		tick = r->relay.w.clear[i]->tick > tick ? r->relay.w.clear[i]->tick : tick;
	for (uint32_t i = 0; tick && i < SHARD_COUNT; i++) {
		struct controller_svc *s = service_shard(r, i);
		uint64_t cleared = s ? s->cleared : i == SHARD_CONTROL ? r->ret.cleared : r->pub.cleared;
		int settle = s && !s->settled && s->cleared &&
			     s->clock + (uint64_t)(now - r->clock_at[i]) > s->cleared_at + CONTROLLER_CLAIM_KEEP;
		struct Nl__Op op = NL__OP__INIT;
		struct Nl__Trim t = NL__TRIM__INIT;

		if (!leads_shard(r, i, now) || now - r->disk_at[i] < RETENTION_DISK || (tick <= cleared && !settle))
			continue;
		r->disk_at[i] = now;
		t.cleared = tick;
		t.settled = settle;
		op.op_case = NL__OP__OP_TRIM;
		op.trim = &t;
		(void)log_operation(r, i, &op, now, o);
	}
}

/* ---- for operators ------------------------------------------------------------------- */

static void add_num(struct json_object *j, const char *k, int64_t v) { json_object_object_add(j, k, json_object_new_int64(v)); }

const char *retention_json(struct controller *r, int64_t now, apr_pool_t *p)
{
	struct json_object *j = json_object_new_object(), *a = json_object_new_array();
	int owner = leads_shard(r, SHARD_CONTROL, now);
	const char *s;

	json_object_object_add(j, "owner", json_object_new_boolean(owner));
	json_object_object_add(
	    j, "owner_addr",
	    json_object_new_string(leader_hint(r, SHARD_CONTROL, now) ? core_addr_str(p, leader_hint(r, SHARD_CONTROL, now)) : ""));
	add_num(j, "wall", owner && retention_wall(r, now) != INT64_MIN ? retention_wall(r, now) : r->wall);
	for (ptrdiff_t i = 0; i < arrlen(r->ret.plan); i++) {
		struct json_object *x = json_object_new_object();

		json_object_object_add(x, "scope", json_object_new_string(r->ret.plan[i]->scope));
		json_object_object_add(x, "setting", json_object_new_string(r->ret.plan[i]->text));
		add_num(x, "due", r->ret.plan[i]->due);
		json_object_array_add(a, x);
	}
	json_object_object_add(j, "rows", a);
	a = json_object_new_array();
	for (ptrdiff_t i = 0; i < arrlen(r->ret.v); i++) {
		const struct Nl__Clearing *c = r->ret.v[i];
		struct json_object *x = json_object_new_object(), *m = json_object_new_array();

		add_num(x, "number", (int64_t)c->number);
		json_object_object_add(x, "scope", json_object_new_string(c->scope));
		json_object_object_add(x, "by", json_object_new_string(c->by));
		add_num(x, "due", c->due);
		add_num(x, "decided", c->decided);
		add_num(x, "sliced", c->sliced);
		add_num(x, "done", c->done);
		add_num(x, "slices", c->slices);
		add_num(x, "missed", c->missed);
		json_object_object_add(x, "late", json_object_new_boolean(c->late));
		json_object_object_add(x, "wide", json_object_new_boolean(c->wide));
		if (owner && !c->done)
			(void)missing(r, c, now, m, p);
		json_object_object_add(x, "missing", m);
		json_object_array_add(a, x);
	}
	json_object_object_add(j, "clearings", a);
	s = apr_pstrdup(p, json_object_to_json_string_ext(j, JSON_C_TO_STRING_PLAIN));
	json_object_put(j);
	return s;
}

static const char *when(int64_t ms, apr_pool_t *p)
{
	apr_time_exp_t x;

	if (!ms || apr_time_exp_gmt(&x, ms * 1000) != APR_SUCCESS)
		return "";
	return apr_psprintf(p, "%04d-%02d-%02dT%02d:%02d:%02dZ", x.tm_year + 1900, x.tm_mon + 1, x.tm_mday, x.tm_hour, x.tm_min,
			    x.tm_sec);
}

const char *retention_csv(const struct controller *r, apr_pool_t *p)
{
	const char *s = "number,scope,whole fleet,by,due,decided,unreachable,done,missed due times,window lapsed under load\n";

	for (ptrdiff_t i = 0; i < arrlen(r->ret.v); i++) {
		const struct Nl__Clearing *c = r->ret.v[i];

		s = apr_psprintf(p, "%s%" APR_UINT64_T_FMT ",%s,%s,%s,%s,%s,%s,%s,%u,%s\n", s, c->number, c->scope,
				 c->wide ? "yes" : "no", c->by, when(c->due, p), when(c->decided, p), when(c->sliced, p),
				 when(c->done, p), (unsigned)c->missed, c->late ? "yes" : "no");
	}
	return s;
}
