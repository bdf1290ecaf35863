#include "table.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"
#include "retention.h"

static const char *const kinds[] = { "none",    "lane",      "tenant", "share", "key",      "server",
				     "service", "registrar", "model",  "door",  "retention" };
enum { KINDS = sizeof kinds / sizeof *kinds };

const char *table_kind_name(Nl__Kind k) { return (unsigned)k < KINDS ? kinds[k] : "none"; }

Nl__Kind table_kind(const char *s)
{
	for (unsigned i = 1; s && i < KINDS; i++)
		if (!strcmp(kinds[i], s))
			return (Nl__Kind)i;
	return NL__KIND__NONE;
}

static const char *key_of(char *buf, size_t n, Nl__Kind k, const char *name)
{
	apr_snprintf(buf, n, "%d/%s", (int)k, name);
	return buf;
}

static struct Nl__Row *row_copy(const struct Nl__Row *r)
{
	size_t n = nl__row__get_packed_size(r);
	uint8_t *d = malloc(n + 1);
	struct Nl__Row *c;

	if (!d)
		abort();
	nl__row__pack(r, d);
	c = nl__row__unpack(NULL, n, d);
	free(d);
	if (!c)
		abort();
	return c;
}

void table_open(struct table *t)
{
	memset(t, 0, sizeof *t);
	sh_new_strdup(t->h);
}

void table_close(struct table *t)
{
	for (ptrdiff_t i = 0; i < shlen(t->h); i++)
		nl__row__free_unpacked(t->h[i].value.row, NULL);
	shfree(t->h);
	for (ptrdiff_t i = 0; i < arrlen(t->tomb); i++)
		free(t->tomb[i].key);
	arrfree(t->tomb);
}

static ptrdiff_t find(const struct table *t, Nl__Kind k, const char *name)
{
	struct table_row *h = t->h;
	char buf[300];

	return shgeti(h, key_of(buf, sizeof buf, k, name));
}

const struct Nl__Row *table_get(const struct table *t, Nl__Kind k, const char *name)
{
	ptrdiff_t i = find(t, k, name);

	return i < 0 ? NULL : t->h[i].value.row;
}

/* ---- check ---------------------------------------------------------------- */

static int name_ok(const char *s)
{
	size_t n = strlen(s);

	return n > 0 && n < 200 && strspn(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._/-*") == n;
}

/* Printable and without blanks, so that it fits a cell of the sheet. */
static int word_ok(const char *s, size_t most)
{
	size_t n = 0;

	for (; s[n]; n++)
		if ((unsigned char)s[n] <= ' ' || (unsigned char)s[n] == 127)
			return 0;
	return n > 0 && n <= most;
}

static int path_ok(const char *s) { return word_ok(s, 1000) && s[0] == '/' && s[strlen(s) - 1] == '/'; }

/* Named weights of a model are counted upwards. */
static int count_ok(const char *s)
{
	return strlen(s) > 0 && strlen(s) < 19 && s[0] != '0' && strspn(s, "0123456789") == strlen(s);
}

static const char *check_split(const struct Nl__Row *r)
{
	uint64_t all = 0;

	if (!r->n_split)
		return NULL;
	if (r->n_split > TABLE_SPLITS)
		return "split: more than 64 services";
	for (size_t i = 0; i < r->n_split; i++) {
		if (!name_ok(r->split[i]->service))
			return "split: a service is missing";
		all += r->split[i]->weight;
	}
	return all ? NULL : "split: the weights add up to 0";
}

static const char *check_lane(const struct Nl__Row *r)
{
	const char *bad = check_split(r);

	return bad                                 ? bad
	       : !name_ok(r->service)              ? "service: missing"
	       : r->prio > 9                       ? "prio: 0 to 9"
	       : r->limit < 1 || r->limit > 100000 ? "limit: 1 to 100000 places in the line"
	       : (r->host[0] || r->path[0]) && !word_ok(r->host, 255)
		   ? "host: 1 to 255 characters without blanks, where there is a path"
	       : r->host[0] && !path_ok(r->path) ? "path: begins and ends with a slash"
	       : r->timeout > 3600000            ? "timeout: up to 3600000 ms"
	       : r->attempts > 100               ? "attempts: up to 100"
						 : NULL;
}

static const char *check_row(const struct Nl__Row *r, apr_pool_t *p)
{
	const char *bad = NULL;

	if (r->kind <= NL__KIND__NONE || (unsigned)r->kind >= KINDS)
		return "kind: none of lane, tenant, share, key, server, service, registrar, model, door, retention";
	if (!name_ok(r->name))
		return apr_psprintf(p, "%s: name: 1 to 199 letters, digits, . _ / - or *", table_kind_name(r->kind));
	switch (r->kind) {
	case NL__KIND__LANE: bad = check_lane(r); break;
	case NL__KIND__TENANT:
	case NL__KIND__SHARE:
		bad = r->share < 1 || r->share > 1000                       ? "share: 1 to 1000"
		      : r->limit > 100000                                   ? "limit: up to 100000 running at once; 0 for no limit"
		      : r->rank > 10                                        ? "rank: 1 to 10; 0 for none"
		      : r->kind == NL__KIND__SHARE && !strchr(r->name, '/') ? "name: lane/tenant"
									    : NULL;
		break;
	case NL__KIND__KEY:
		bad = !name_ok(r->tenant) ? "tenant: missing" : strlen(r->name) != 64 ? "name: a digest of 64 hex digits" : NULL;
		break;
	case NL__KIND__SERVER:
		bad = !core_addr(r->addr)    ? "addr: not ip:port"
		      : !name_ok(r->service) ? "service: missing"
		      : r->state > 1         ? "state: serving or draining"
					     : NULL;
		break;
	case NL__KIND__SERVICE:
		bad = r->model[0] && !name_ok(r->model)                                    ? "model: letters, digits, . _ / - or *"
		      : (r->weights[0] || !r->model[0]) && !name_ok(r->weights)            ? "weights: missing, and no model"
		      : r->prefill < 1 || r->prefill > 100000                              ? "prefill: 1 to 100000 tokens per ms"
		      : r->kv_bytes < 1                                                    ? "kv_bytes: 1 or more"
		      : r->link < 1                                                        ? "link: 1 or more bytes per ms"
		      : r->health[0] && (!word_ok(r->health, 1000) || r->health[0] != '/') ? "health: a path"
		      : r->addr[0] && !core_addr(r->addr)                                  ? "addr: not ip:port"
											   : NULL;
		break;
	case NL__KIND__MODEL:
		bad = r->weights[0] && !count_ok(r->weights) ? "weights: a number from 1"
		      : r->rolled[0] && !count_ok(r->rolled) ? "rolled: a number from 1"
		      : !r->weights[0] && !r->rolled[0]      ? "weights: missing"
							     : NULL;
		break;
	case NL__KIND__DOOR: break;
	case NL__KIND__RETENTION: bad = retention_row(r); break;
	default: bad = !core_addr(r->addr) || !r->id ? "addr: not ip:port" : NULL; break;
	}
	return bad ? apr_psprintf(p, "%s %s: %s", table_kind_name(r->kind), r->name, bad) : NULL;
}

struct names {
	char *key;
	const struct Nl__Row *value;
};

static int operators_kind(Nl__Kind k)
{
	return k == NL__KIND__LANE || k == NL__KIND__TENANT || k == NL__KIND__SHARE || k == NL__KIND__SERVICE ||
	       k == NL__KIND__DOOR || k == NL__KIND__RETENTION;
}

static int replaced(const struct Nl__Change *c, Nl__Kind k)
{
	return (operators_kind(k) && k != NL__KIND__RETENTION) || (c->keys && k == NL__KIND__KEY);
}

/* The names of all rows that a change sets, in one hash. */
static struct names *names_set(const struct Nl__Change *c)
{
	struct names *h = NULL;
	char buf[300];

	sh_new_arena(h);
	for (size_t i = 0; i < c->n_set; i++)
		shput(h, key_of(buf, sizeof buf, c->set[i]->kind, c->set[i]->name), c->set[i]);
	return h;
}

static struct names *names_del(const struct Nl__Change *c)
{
	struct names *h = NULL;
	char buf[300];

	sh_new_arena(h);
	for (size_t i = 0; i < c->n_del; i++)
		shput(h, key_of(buf, sizeof buf, c->del[i]->kind, c->del[i]->name), c->del[i]);
	return h;
}

/* Host and path lead to one lane, and splits to services that there are, after the change. */
static const char *check_whole(const struct table *t, const struct Nl__Change *c, apr_pool_t *p)
{
	struct names *set = names_set(c), *del = names_del(c), *seen = NULL;
	struct table_row *h = t->h;
	const char *why = NULL;
	char buf[300];
	int matters = c->whole;

	sh_new_arena(seen);
	for (size_t i = 0; i < c->n_set; i++)
		matters |= c->set[i]->kind == NL__KIND__LANE && (c->set[i]->path[0] || c->set[i]->n_split);
	for (ptrdiff_t i = 0; i < shlen(h) + (ptrdiff_t)c->n_set && matters && !why; i++) {
		int mine = i >= shlen(h);
		const struct Nl__Row *r = mine ? c->set[i - shlen(h)] : h[i].value.row;
		ptrdiff_t k;
		char *at;

		if (r->kind != NL__KIND__LANE || (!mine && (c->whole || shgeti(set, h[i].key) >= 0 || shgeti(del, h[i].key) >= 0)))
			continue;
		if (mine && shget(set, key_of(buf, sizeof buf, r->kind, r->name)) != r)
			continue; /* set twice: the last one counts */
		for (size_t s = 0; s < r->n_split && !why && mine; s++) {
			const char *key = key_of(buf, sizeof buf, NL__KIND__SERVICE, r->split[s]->service);

			if (shgeti(set, key) < 0 && (c->whole || shgeti(del, key) >= 0 || shgeti(h, key) < 0))
				why = apr_psprintf(p, "lane %s: split: no service %s", r->name, r->split[s]->service);
		}
		if (!r->path[0] || why)
			continue;
		at = apr_pstrcat(p, r->host, "\t", r->path, NULL);
		k = shgeti(seen, at);
		if (k >= 0)
			why = apr_psprintf(p, "lane %s: host and path: those of lane %s", r->name, seen[k].value->name);
		else
			shput(seen, at, r);
	}
	shfree(seen);
	shfree(set);
	shfree(del);
	return why;
}

/* With its row the dates would go by which servers with older weights get nothing more. */
static const char *check_model_removed(const struct table *t, const struct Nl__Row *removed, apr_pool_t *p)
{
	for (ptrdiff_t i = 0; i < shlen(t->h); i++) {
		const struct Nl__Row *row = t->h[i].value.row;

		if (row->kind == NL__KIND__SERVICE && !strcmp(row->model, removed->name))
			return apr_psprintf(p, "del model %s: service %s has it", removed->name, row->name);
	}
	return NULL;
}

const char *table_check(const struct table *t, const struct Nl__Change *c, apr_pool_t *p)
{
	const char *why;

	if (protobuf_c_message_get_packed_size(&c->base) > TABLE_MAX)
		return apr_psprintf(p, "change: larger than %d bytes", TABLE_MAX);
	for (size_t i = 0; i < c->n_set; i++)
		if ((why = check_row(c->set[i], p)))
			return why;
	for (size_t i = 0; i < c->n_set; i++) { /* an id is claimed in its service's part: such a lane stays with its service */
		const struct Nl__Row *old =
		    c->set[i]->kind == NL__KIND__LANE ? table_get(t, NL__KIND__LANE, c->set[i]->name) : NULL;

		if (old && strcmp(old->service, c->set[i]->service) && !(old->vouched && c->set[i]->vouched))
			return apr_psprintf(p, "lane %s: service: cannot change; make a new lane", old->name);
	}
	for (size_t i = 0; i < c->n_del; i++)
		if (!c->whole && find(t, c->del[i]->kind, c->del[i]->name) < 0)
			return apr_psprintf(p, "del %s %s: no such row", table_kind_name(c->del[i]->kind), c->del[i]->name);
	for (size_t i = 0; i < c->n_del; i++)
		if (c->del[i]->kind == NL__KIND__MODEL && (why = check_model_removed(t, c->del[i], p)))
			return why;
	why = retention_scopes(t, c, p);
	return why ? why : check_whole(t, c, p);
}

/* ---- change --------------------------------------------------------------- */

static void feed_add(struct Nl__Purge ***feed, uint32_t why, const char *service, const char *weights, const char *tenant,
		     const char *server)
{
	struct Nl__Purge p = NL__PURGE__INIT, *c;
	size_t n;
	uint8_t *d;

	p.why = why;
	p.service = (char *)service;
	p.weights = (char *)weights;
	p.tenant = (char *)tenant;
	p.server = (char *)server;
	n = nl__purge__get_packed_size(&p);
	d = malloc(n + 1);
	if (!d)
		abort();
	nl__purge__pack(&p, d);
	c = nl__purge__unpack(NULL, n, d);
	free(d);
	arrput(*feed, c);
}

/* A model's weights have reached every server: what stood before them, and what was named in between, is withdrawn. */
static void withdraw_model(const struct table *t, const struct Nl__Row *was, const struct Nl__Row *is, struct Nl__Purge ***feed)
{
	uint64_t a = strtoull(was->rolled, NULL, 10), b = is ? strtoull(is->rolled, NULL, 10) : a + 1;

	if (!a || a >= b)
		return;
	if (b - a > TABLE_SKIPPED)
		b = a + TABLE_SKIPPED;
	for (; a < b; a++)
		for (ptrdiff_t i = 0; i < shlen(t->h); i++) {
			const struct Nl__Row *r = t->h[i].value.row;
			char buf[24];

			if (r->kind != NL__KIND__SERVICE || strcmp(r->model, was->name))
				continue;
			apr_snprintf(buf, sizeof buf, "%" APR_UINT64_T_FMT, (apr_uint64_t)a);
			feed_add(feed, 1, r->name, buf, "", "");
		}
}

/* What a row's change withdraws. */
static void decide(const struct table *t, const struct Nl__Row *was, const struct Nl__Row *is, struct Nl__Purge ***feed)
{
	if (!feed || !was)
		return;
	if (was->kind == NL__KIND__SERVICE && was->weights[0] && (!is || strcmp(was->weights, is->weights)))
		feed_add(feed, 1, was->name, was->weights, "", "");
	if (was->kind == NL__KIND__TENANT && (!is || was->walled != is->walled))
		feed_add(feed, 2, "", "", was->name, "");
	if (was->kind == NL__KIND__SERVER && was->state == 0 && (!is || is->state || strcmp(was->addr, is->addr)))
		feed_add(feed, 3, "", "", "", was->name);
	if (was->kind == NL__KIND__MODEL && is)
		withdraw_model(t, was, is, feed);
}

static const char *higher(const char *a, const char *b) { return strtoull(a, NULL, 10) >= strtoull(b, NULL, 10) ? a : b; }

/* Weights of a model only rise; what a change leaves empty stays. Before any are named, the first stand everywhere. */
static struct Nl__Row *model_row(const struct table *t, const struct Nl__Row *was, const struct Nl__Row *r, uint64_t bound_passed)
{
	struct Nl__Row m = *r;
	struct naming_list namings;

	m.weights = (char *)higher(r->weights, was ? was->weights : "1");
	m.rolled = (char *)higher(r->rolled, was ? was->rolled : "1");
	naming_update(&namings, was, &m, t->now, bound_passed);
	return row_copy(&m);
}

static int row_same(const struct Nl__Row *a, const struct Nl__Row *b)
{
	size_t n = nl__row__get_packed_size(a);
	uint8_t *x, *y;
	int same = 0;

	if (n != nl__row__get_packed_size(b))
		return 0;
	x = malloc(2 * n + 1);
	if (!x)
		abort();
	y = x + n;
	nl__row__pack(a, x);
	nl__row__pack(b, y);
	same = !memcmp(x, y, n);
	free(x);
	return same;
}

/* Put a row, which the table owns from now on, in the place of its namesake. */
static void row_put(struct table *t, struct Nl__Row *is, uint64_t edition, struct Nl__Purge ***feed)
{
	ptrdiff_t i = find(t, is->kind, is->name);
	struct Nl__Row *old = i >= 0 ? t->h[i].value.row : NULL;
	char buf[300];

	if (old) {
		decide(t, old, is, feed);
		t->h[i].value.row = is;
		t->h[i].value.edition = edition;
		nl__row__free_unpacked(old, NULL);
		return;
	}
	shput(t->h, key_of(buf, sizeof buf, is->kind, is->name), ((typeof(t->h->value)){ is, edition }));
}

/* One row of a change. In a whole document an equal row keeps its edition, so that followers get only what changed. */
static void row_set(struct table *t, const struct Nl__Row *r, const struct Nl__Change *c, struct Nl__Purge ***feed)
{
	const struct Nl__Row *old = table_get(t, r->kind, r->name);

	if (old && c->whole && row_same(old, r))
		return;
	row_put(t, r->kind == NL__KIND__MODEL ? model_row(t, old, r, c->bound_passed) : row_copy(r), t->edition, feed);
}

static void row_del(struct table *t, const char *key, uint64_t edition, struct Nl__Purge ***feed)
{
	ptrdiff_t i = shgeti(t->h, key);
	struct table_tomb tomb;
	struct Nl__Row *row;

	if (i < 0)
		return;
	row = t->h[i].value.row;
	decide(t, row, NULL, feed);
	tomb.key = strdup(key);
	tomb.edition = edition;
	arrput(t->tomb, tomb);
	(void)shdel(t->h, key);
	nl__row__free_unpacked(row, NULL);
	while (arrlen(t->tomb) > TABLE_TOMBS) {
		t->floor = t->tomb[0].edition;
		free(t->tomb[0].key);
		arrdel(t->tomb, 0);
	}
}

uint64_t table_plan(const struct table *t)
{
	uint64_t plan = t->plan;

	for (ptrdiff_t i = 0; i < shlen(t->h); i++)
		if (operators_kind(t->h[i].value.row->kind) && t->h[i].value.edition > plan)
			plan = t->h[i].value.edition;
	return plan;
}

static int compare_keys(const void *a, const void *b) { return strcmp(*(char *const *)a, *(char *const *)b); }

int table_apply(struct table *t, const struct Nl__Change *c, struct Nl__Purge ***feed)
{
	int plan = c->whole;
	char buf[300];

	if (!c->any && (c->expect < t->plan || c->expect > t->edition))
		return TABLE_OVERTAKEN;
	t->edition++;
	for (size_t i = 0; i < c->n_set; i++)
		plan |= operators_kind(c->set[i]->kind);
	for (size_t i = 0; i < c->n_del; i++)
		plan |= operators_kind(c->del[i]->kind);
	if (plan)
		t->plan = t->edition;
	if (c->whole) { /* operators' kinds are replaced; servers, controllers and models have calls of their own */
		struct names *set = names_set(c);
		char **gone = NULL;

		for (ptrdiff_t i = 0; i < shlen(t->h); i++)
			if (replaced(c, t->h[i].value.row->kind) && shgeti(set, t->h[i].key) < 0)
				arrput(gone, strdup(t->h[i].key));
		if (gone) /* the map's own order is another after a snapshot, and what follows must be the same on every replica */
			qsort(gone, (size_t)arrlen(gone), sizeof *gone, compare_keys);
		for (ptrdiff_t i = 0; i < arrlen(gone); i++) {
			row_del(t, gone[i], t->edition, feed);
			free(gone[i]);
		}
		arrfree(gone);
		shfree(set);
	}
	for (size_t i = 0; i < c->n_del; i++)
		row_del(t, key_of(buf, sizeof buf, c->del[i]->kind, c->del[i]->name), t->edition, feed);
	for (size_t i = 0; i < c->n_set; i++)
		row_set(t, c->set[i], c, feed);
	return TABLE_DONE;
}

/* ---- follow --------------------------------------------------------------- */

void table_since(const struct table *t, uint64_t have, struct Nl__ConfigSyncReply *r, apr_pool_t *p)
{
	size_t n = 0, rows = (size_t)shlen(t->h);

	r->whole = have < t->floor || have > t->edition || !have;
	r->since = r->whole ? 0 : have;
	r->edition = t->edition;
	if (!r->whole && have == t->edition)
		return;
	r->set = apr_palloc(p, (rows + 1) * sizeof *r->set);
	for (size_t i = 0; i < rows; i++)
		if (r->whole || t->h[i].value.edition > have)
			r->set[n++] = (struct Nl__Row *)core_dup(p, &t->h[i].value.row->base);
	r->n_set = n;
	if (r->whole)
		return;
	r->del = apr_palloc(p, ((size_t)arrlen(t->tomb) + 1) * sizeof *r->del);
	for (ptrdiff_t i = 0; i < arrlen(t->tomb); i++) {
		struct table_row *h = t->h;
		struct Nl__Row *d;

		if (t->tomb[i].edition <= have || shgeti(h, t->tomb[i].key) >= 0)
			continue;
		d = apr_palloc(p, sizeof *d);
		nl__row__init(d);
		d->kind = (Nl__Kind)strtol(t->tomb[i].key, NULL, 10);
		d->name = apr_pstrdup(p, strchr(t->tomb[i].key, '/') + 1);
		r->del[r->n_del++] = d;
	}
}

int table_follow(struct table *t, const struct Nl__ConfigSyncReply *r)
{
	char buf[300];

	if (r->edition < t->edition || (!r->whole && r->since > t->edition))
		return 0;
	if (r->edition == t->edition && !r->whole)
		return 1;
	if (r->whole) {
		table_close(t);
		table_open(t);
	}
	for (size_t i = 0; i < r->n_del; i++)
		row_del(t, key_of(buf, sizeof buf, r->del[i]->kind, r->del[i]->name), r->edition, NULL);
	for (size_t i = 0; i < r->n_set; i++)
		row_put(t, row_copy(r->set[i]), r->edition, NULL); /* as the leader has it */
	t->edition = r->edition;
	return 1;
}

/* ---- JSON ----------------------------------------------------------------- */

enum cell_kind { CELL_STR, CELL_INT, CELL_BIG, CELL_BOOL, CELL_STATE, CELL_HEX, CELL_SPLIT };
struct cell {
	const char *name;
	enum cell_kind kind;
	size_t off;
	unsigned on;
};
#define ON(k) (1u << NL__KIND__##k)
#define AT(f) offsetof(struct Nl__Row, f)

/* One line per column of the table: which kinds of row have it. */
static const struct cell cells[] = {
	{ "name", CELL_STR, AT(name), ~0u },
	{ "service", CELL_STR, AT(service), ON(LANE) | ON(SERVER) },
	{ "tenant", CELL_STR, AT(tenant), ON(KEY) },
	{ "addr", CELL_STR, AT(addr), ON(SERVER) | ON(REGISTRAR) | ON(SERVICE) },
	{ "zone", CELL_STR, AT(zone), ON(SERVER) | ON(REGISTRAR) | ON(SERVICE) },
	{ "weights", CELL_STR, AT(weights), ON(SERVICE) | ON(MODEL) },
	{ "prio", CELL_INT, AT(prio), ON(LANE) },
	{ "share", CELL_INT, AT(share), ON(TENANT) | ON(SHARE) },
	{ "limit", CELL_INT, AT(limit), ON(LANE) | ON(TENANT) | ON(SHARE) },
	{ "walled", CELL_BOOL, AT(walled), ON(TENANT) },
	{ "state", CELL_STATE, AT(state), ON(SERVER) },
	{ "id", CELL_HEX, AT(id), ON(REGISTRAR) },
	{ "prefill", CELL_INT, AT(prefill), ON(SERVICE) },
	{ "kv_bytes", CELL_INT, AT(kv_bytes), ON(SERVICE) },
	{ "link", CELL_INT, AT(link), ON(SERVICE) },
	{ "store", CELL_INT, AT(store), ON(SERVICE) },
	{ "host", CELL_STR, AT(host), ON(LANE) },
	{ "path", CELL_STR, AT(path), ON(LANE) },
	{ "split", CELL_SPLIT, AT(split), ON(LANE) },
	{ "aim", CELL_INT, AT(aim), ON(LANE) },
	{ "pause", CELL_INT, AT(pause), ON(LANE) },
	{ "timeout", CELL_INT, AT(timeout), ON(LANE) },
	{ "attempts", CELL_INT, AT(attempts), ON(LANE) },
	{ "resumable", CELL_BOOL, AT(resumable), ON(LANE) },
	{ "repeatable", CELL_BOOL, AT(repeatable), ON(LANE) },
	{ "vouched", CELL_BOOL, AT(vouched), ON(LANE) },
	{ "open", CELL_BOOL, AT(open), ON(LANE) },
	{ "model", CELL_STR, AT(model), ON(SERVICE) },
	{ "slots", CELL_INT, AT(slots), ON(SERVICE) },
	{ "conns", CELL_INT, AT(conns), ON(SERVICE) },
	{ "watches", CELL_INT, AT(watches), ON(SERVICE) },
	{ "room", CELL_BIG, AT(room), ON(SERVICE) },
	{ "rank", CELL_INT, AT(rank), ON(TENANT) },
	{ "rolled", CELL_STR, AT(rolled), ON(MODEL) },
	{ "health", CELL_STR, AT(health), ON(SERVICE) },
	{ "head_bytes", CELL_INT, AT(head_bytes), ON(DOOR) },
	{ "body_bytes", CELL_INT, AT(body_bytes), ON(DOOR) },
	{ "head_ms", CELL_INT, AT(head_ms), ON(DOOR) },
	{ "idle_ms", CELL_INT, AT(idle_ms), ON(DOOR) },
	{ "keep", CELL_STR, AT(keep), ON(RETENTION) },
	{ "every", CELL_STR, AT(every), ON(RETENTION) },
	{ "at", CELL_STR, AT(at), ON(RETENTION) },
	{ "window", CELL_INT, AT(window), ON(RETENTION) },
};
enum { CELLS = sizeof cells / sizeof *cells };

/* Services and weights as one text: "a:90,b:10". */
static char *split_text(const struct Nl__Row *r)
{
	size_t cap = 1, k = 0;
	char *s;

	for (size_t i = 0; i < r->n_split; i++)
		cap += strlen(r->split[i]->service) + 16;
	s = malloc(cap);
	if (!s)
		abort();
	s[0] = 0;
	for (size_t i = 0; i < r->n_split; i++)
		k += (size_t)apr_snprintf(s + k, cap - k, "%s%s:%u", i ? "," : "", r->split[i]->service,
					  (unsigned)r->split[i]->weight);
	return s;
}

static int split_parse(struct Nl__Row *r, const char *text, apr_pool_t *p)
{
	char *copy = apr_pstrdup(p, text), *save = NULL;
	size_t n = 1;

	for (const char *c = text; *c; c++)
		n += *c == ',';
	r->split = apr_palloc(p, (n + 1) * sizeof *r->split);
	r->n_split = 0;
	for (char *x = apr_strtok(copy, ",", &save); x; x = apr_strtok(NULL, ",", &save)) {
		struct Nl__Split *s = apr_palloc(p, sizeof *s);
		char *colon = strrchr(x, ':'), *end = colon;
		unsigned long long w;

		if (!colon || colon == x || colon[1] < '0' || colon[1] > '9')
			return 0;
		w = strtoull(colon + 1, &end, 10);
		if (*end || w > 1000000)
			return 0;
		*colon = 0;
		nl__split__init(s);
		s->service = x;
		s->weight = (uint32_t)w;
		r->split[r->n_split++] = s;
	}
	return 1;
}

struct json_object *table_row_json(const struct Nl__Row *r)
{
	struct json_object *j = json_object_new_object();
	char hex[20], *text;

	json_object_object_add(j, "kind", json_object_new_string(table_kind_name(r->kind)));
	for (int i = 0; i < CELLS; i++) {
		const char *f = (const char *)r + cells[i].off;
		struct json_object *v = NULL;

		if (!(cells[i].on & 1u << r->kind))
			continue;
		switch (cells[i].kind) {
		case CELL_STR: v = json_object_new_string(*(char *const *)(const void *)f); break;
		case CELL_INT: v = json_object_new_int64(*(const uint32_t *)(const void *)f); break;
		case CELL_BIG: v = json_object_new_uint64(*(const uint64_t *)(const void *)f); break;
		case CELL_SPLIT:
			text = split_text(r);
			v = json_object_new_string(text);
			free(text);
			break;
		case CELL_BOOL: v = json_object_new_boolean(*(const protobuf_c_boolean *)(const void *)f); break;
		case CELL_STATE: v = json_object_new_string(*(const uint32_t *)(const void *)f ? "draining" : "serving"); break;
		case CELL_HEX:
			apr_snprintf(hex, sizeof hex, "%016" APR_UINT64_T_HEX_FMT, *(const uint64_t *)(const void *)f);
			v = json_object_new_string(hex);
			break;
		}
		json_object_object_add(j, cells[i].name, v);
	}
	return j;
}

struct Nl__Row *table_row_parse(struct json_object *j, apr_pool_t *p, const char **why)
{
	struct Nl__Row *r = apr_palloc(p, sizeof *r);
	struct json_object *k;

	nl__row__init(r);
	if (!json_object_is_type(j, json_type_object) || !json_object_object_get_ex(j, "kind", &k) ||
	    (r->kind = table_kind(json_object_get_string(k))) == NL__KIND__NONE) {
		*why = "kind: none of lane, tenant, share, key, server, service, registrar, model, door, retention";
		return NULL;
	}
	json_object_object_foreach(j, name, v)
	{
		const struct cell *c = NULL;
		char *f;

		if (!strcmp(name, "kind"))
			continue;
		for (int i = 0; i < CELLS; i++)
			if (!strcmp(cells[i].name, name) && (cells[i].on & 1u << r->kind))
				c = &cells[i];
		if (!c) {
			*why = apr_psprintf(p, "%s: %s: no such field", table_kind_name(r->kind), name);
			return NULL;
		}
		f = (char *)r + c->off;
		if (c->kind == CELL_BIG   ? !json_object_is_type(v, json_type_int) || json_object_get_int64(v) < 0
		    : c->kind == CELL_INT ? !json_object_is_type(v, json_type_int) || json_object_get_int64(v) < 0 ||
						json_object_get_int64(v) > UINT32_MAX
		    : c->kind == CELL_BOOL ? !json_object_is_type(v, json_type_boolean)
					   : !json_object_is_type(v, json_type_string)) {
			*why = apr_psprintf(p, "%s: %s: wrong type or range", table_kind_name(r->kind), name);
			return NULL;
		}
		switch (c->kind) {
		case CELL_STR: *(char **)(void *)f = apr_pstrdup(p, json_object_get_string(v)); break;
		case CELL_INT: *(uint32_t *)(void *)f = (uint32_t)json_object_get_int64(v); break;
		case CELL_BIG: *(uint64_t *)(void *)f = json_object_get_uint64(v); break;
		case CELL_SPLIT:
			if (!split_parse(r, json_object_get_string(v), p)) {
				*why = apr_psprintf(p, "%s: split: not as service:weight,service:weight", table_kind_name(r->kind));
				return NULL;
			}
			break;
		case CELL_BOOL: *(protobuf_c_boolean *)(void *)f = json_object_get_boolean(v); break;
		case CELL_STATE: {
			const char *s = json_object_get_string(v);

			*(uint32_t *)(void *)f = !strcmp(s, "serving") ? 0 : !strcmp(s, "draining") ? 1 : 2;
			break;
		}
		case CELL_HEX: *(uint64_t *)(void *)f = strtoull(json_object_get_string(v), NULL, 16); break;
		}
	}
	return r;
}

static int rows_parse(struct json_object *j, const char *name, size_t *n, struct Nl__Row ***v, apr_pool_t *p, const char **why)
{
	struct json_object *a;

	if (!json_object_object_get_ex(j, name, &a))
		return 1;
	if (!json_object_is_type(a, json_type_array)) {
		*why = apr_psprintf(p, "%s: not a list", name);
		return 0;
	}
	*n = json_object_array_length(a);
	*v = apr_palloc(p, (*n + 1) * sizeof **v);
	for (size_t i = 0; i < *n; i++) {
		(*v)[i] = table_row_parse(json_object_array_get_idx(a, i), p, why);
		if (!(*v)[i]) {
			*why = apr_psprintf(p, "%s[%d]: %s", name, (int)i, *why);
			return 0;
		}
	}
	return 1;
}

struct Nl__Change *table_change_parse(const char *body, apr_pool_t *p, const char **why)
{
	struct json_object *j = json_tokener_parse(body), *v;
	struct Nl__Change *c = apr_palloc(p, sizeof *c);

	nl__change__init(c);
	*why = NULL;
	if (!json_object_is_type(j, json_type_object)) {
		*why = "body: not a JSON object";
		goto end;
	}
	json_object_object_foreach(j, name, x)
	{
		(void)x;
		if (strcmp(name, "expect") && strcmp(name, "whole") && strcmp(name, "set") && strcmp(name, "del")) {
			*why = apr_psprintf(p, "%s: no such field", name);
			goto end;
		}
	}
	if (json_object_object_get_ex(j, "expect", &v)) {
		if (!json_object_is_type(v, json_type_int) || json_object_get_int64(v) < 0) {
			*why = "expect: not an edition";
			goto end;
		}
		c->expect = json_object_get_uint64(v);
	} else {
		c->any = 1;
	}
	if (json_object_object_get_ex(j, "whole", &v))
		c->whole = json_object_get_boolean(v);
	if (!rows_parse(j, "set", &c->n_set, &c->set, p, why) || !rows_parse(j, "del", &c->n_del, &c->del, p, why))
		goto end;
	if (!c->n_set && !c->n_del && !c->whole)
		*why = "set: nothing to change";
end:
	if (j)
		json_object_put(j);
	return *why ? NULL : c;
}

const char *json_str(struct json_object *j, const char *k)
{
	struct json_object *v;

	return json_object_object_get_ex(j, k, &v) && json_object_is_type(v, json_type_string) ? json_object_get_string(v) : "";
}

uint64_t json_num(struct json_object *j, const char *k)
{
	struct json_object *v;

	return json_object_object_get_ex(j, k, &v) ? json_object_get_uint64(v) : 0;
}
