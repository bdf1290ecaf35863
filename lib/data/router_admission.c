/* router_admission: which route, tenant and service a request has by the table in force; taking requests, and what is refused
 * before it waits. A newer table judges what waits once more by the same rule. */
#include "router_internal.h"

#include <apr_strings.h>
#include <string.h>

#include "ds.h"

static const char *parse(struct router *c, struct client_request *x, const char *body, const char **lane, int *limit, apr_pool_t *p)
{
	struct json_object *j = router_read_json(c, body), *v;
	const char *why = NULL;

	*limit = ROUTER_LIMIT;
	*lane = NULL;
	if (!json_object_is_type(j, json_type_object)) {
		why = "body: not a JSON object";
		goto end;
	}
	json_object_object_foreach(j, name, val)
	{
		if (!strcmp(name, "lane") || !strcmp(name, "id") || !strcmp(name, "tail")) {
			if (!json_object_is_type(val, json_type_string))
				why = apr_psprintf(p, "%s: not a string", name);
			else if (!strcmp(name, "lane"))
				*lane = apr_pstrdup(p, json_object_get_string(val));
			else if (!strcmp(name, "id"))
				x->id = apr_pstrdup(p, json_object_get_string(val));
			else
				x->tail = apr_pstrdup(p, json_object_get_string(val));
		} else if (!strcmp(name, "limit_ms")) {
			int64_t n = json_object_get_int64(val);

			if (!json_object_is_type(val, json_type_int) || n < ROUTER_LIMIT_MIN || n > ROUTER_LIMIT_MAX)
				why = apr_psprintf(p, "limit_ms: %d to %d", ROUTER_LIMIT_MIN, ROUTER_LIMIT_MAX);
			else
				*limit = (int)n;
		} else if (!strcmp(name, "parts")) {
			if (!json_object_is_type(val, json_type_array) || json_object_array_length(val) > ROUTER_PARTS) {
				why = apr_psprintf(p, "parts: a list of at most %d strings", ROUTER_PARTS);
				continue;
			}
			for (size_t i = 0; i < json_object_array_length(val); i++) {
				v = json_object_array_get_idx(val, i);
				if (!json_object_is_type(v, json_type_string))
					why = "parts: a list of strings";
				else
					x->text[x->nparts++] = apr_pstrdup(p, json_object_get_string(v));
			}
		} else {
			why = apr_psprintf(p, "%s: no such field", name);
		}
	}
	if (why)
		goto end;
	if (!*lane)
		why = "lane: missing";
	else if (!x->id || !x->id[0] || strlen(x->id) > 128 || strpbrk(x->id, "\x1f\n"))
		why = "id: 1 to 128 characters";
	else if (!x->tail)
		why = "tail: missing";
end:
	if (j)
		json_object_put(j);
	return why;
}

const char router_no_server[] = "no server of this service stands";

static int refused_stale(struct router *c, uint64_t token, int64_t now, struct out *o)
{
	struct request_ending e = { REQUEST_REFUSED, 503, "this counter's configuration is not certain to be in force", 0 };

	if (!c->stopping && router_in_force(c, now))
		return 0;
	if (c->stopping)
		e.why = "this counter is stopping";
	c->n.refused_stale++;
	if (!c->b.instances)
		e.retry_ms = router_retry_in(c, ROUTER_RETRY);
	else if (now - c->opened < ROUTER_BEGIN) /* one that has just begun knows how long its fleet takes to find its owners */
		e.retry_ms = router_retry_soon(c, (int)(ROUTER_BEGIN - (now - c->opened) + 200));
	else
		e.retry_ms = router_retry_soon(c, ROUTER_RETRY);
	router_decline(c, token, &e, o);
	return 1;
}

static int refused_line(struct router *c, uint64_t token, const struct line *l, uint32_t lane, uint32_t service, int64_t now,
			struct out *o)
{
	struct request_ending e = { REQUEST_REFUSED, 503, router_no_server, 0 };
	int full = l->n >= c->route_table->lane[lane].limit;

	if (!full && now - c->stood[service] <= ROUTER_RIDE)
		return 0;
	c->n.refused_line += full;
	c->n.refused_early += !full;
	if (full) {
		e.status = 429;
		e.why = "the line is full";
	}
	e.retry_ms = router_retry_in(c, full ? router_expected(l, l->n / 2, now) : ROUTER_RETRY);
	router_decline(c, token, &e, o);
	return 1;
}

static void rejected(struct router *c, uint64_t token, int status, const char *why, struct out *o)
{
	router_decline(c, token, &(struct request_ending){ REQUEST_REJECTED, status, why, 0 }, o);
}

/* Into its line, and among all that are under way. */
static void line_up(struct router *c, struct client_request *x, int64_t now)
{
	x->edition = c->route_table->edition;
	router_queue_insert(c, x, now);
	router_request_add(c, x);
}

void router_take(struct router *c, uint64_t token, const char *digest, const char *body, int64_t now, struct out *o)
{
	struct route_table *b = c->route_table;
	struct bk_key *keys = b ? b->key : NULL;
	apr_pool_t *p;
	struct client_request *x;
	const char *lane, *why;
	int limit, li;
	ptrdiff_t ki;
	uint64_t h;
	struct line *l;

	c->n.taken++;
	if (refused_stale(c, token, now, o))
		return;
	ki = keys ? shgeti(keys, digest) : -1;
	if (ki < 0 || !b->tenant[keys[ki].value].on) {
		rejected(c, token, 401, "key: unknown", o);
		return;
	}
	apr_pool_create(&p, c->p);
	x = apr_pcalloc(p, sizeof *x);
	x->p = p;
	why = parse(c, x, body, &lane, &limit, p);
	li = why ? -1 : names_find(&c->lanes, lane);
	if (why || li < 0 || !b->lane[li].on || !b->service[b->lane[li].service].on) {
		rejected(c, token, why ? 400 : 404, why ? why : "lane: unknown", o);
		apr_pool_destroy(p);
		return;
	}
	x->lane = (uint32_t)li;
	x->tenant = keys[ki].value;
	x->service = b->lane[li].service;
	l = router_line_of(c, x->lane, x->tenant);
	if (refused_line(c, token, l, x->lane, x->service, now, o)) {
		apr_pool_destroy(p);
		return;
	}
	x->token = token;
	x->digest = apr_pstrdup(p, digest);
	x->seq = ++c->seq;
	x->limit = now + limit;
	x->since_at = now;
	x->server = -1;
	x->tried = UINT32_MAX;
	h = core_hashs(0, c->services.name[x->service]);
	for (int i = 0; i < x->nparts; i++) {
		h = core_hashs(h, x->text[i]);
		x->hash[i] = h;
		x->tokens[i] = (uint32_t)(strlen(x->text[i]) + 3) / 4;
	}
	x->tail_tokens = (uint32_t)(strlen(x->tail) + 3) / 4;
	line_up(c, x, now);
}

/* Which lane an exchange is on: the longest path prefix of its host. -1: none. */
static int lane_at(const struct route_table *b, const char *host, const char *path)
{
	struct bk_place *h = b->place;
	size_t n = strcspn(path, "?#");

	for (; h && n; n--) {
		ptrdiff_t i;
		const struct bk_lane *l;

		if (path[n - 1] != '/')
			continue;
		i = hmgeti(h, router_place(host, path, n));
		if (i < 0)
			continue;
		l = &b->lane[h[i].value];
		if (l->on && !strcmp(l->host, host) && strlen(l->path) == n && !strncmp(l->path, path, n))
			return (int)h[i].value;
	}
	return -1;
}

/* By the split's weights; the same id always goes the same way. */
static uint32_t service_at(const struct bk_lane *l, const char *id)
{
	uint32_t at, k = 0;

	if (!l->nsplit)
		return l->service;
	at = (uint32_t)(core_hashs(31, id) % l->split[l->nsplit - 1].upto);
	while (l->split[k].upto <= at)
		k++;
	return l->split[k].service;
}

/* Whether a lane still leads to a service, whatever part of its requests. */
static int leads_to(const struct bk_lane *l, uint32_t service)
{
	if (!l->nsplit)
		return l->service == service;
	for (uint32_t k = 0; k < l->nsplit; k++)
		if (l->split[k].service == service)
			return 1;
	return 0;
}

/* Where a request goes by a table, or the status that says why nowhere. */
struct admission {
	int status;
	const char *why;
	uint32_t lane, tenant, service;
};

/* Whose a request is; 0: it may not be anybody's. */
static int tenant_at(const struct route_table *b, const struct bk_lane *l, const char *digest, uint32_t *tenant)
{
	struct bk_key *keys = b->key;
	ptrdiff_t at = digest && b->keys ? shgeti(keys, digest) : -1;

	*tenant = b->keyless;
	if (at >= 0 && b->tenant[keys[at].value].on)
		*tenant = keys[at].value;
	else if (b->keys && !l->open)
		return 0;
	return 1;
}

static struct admission admission_of(const struct route_table *b, const char *host, const char *path, const char *digest,
				     const char *id)
{
	struct admission p = { 0, NULL, 0, 0, 0 };
	int lane = lane_at(b, host, path);

	if (lane < 0)
		return (struct admission){ 404, "lane: none at this host and path", 0, 0, 0 };
	p.lane = (uint32_t)lane;
	if (!tenant_at(b, &b->lane[lane], digest, &p.tenant))
		return (struct admission){ 401, "key: unknown", 0, 0, 0 };
	p.service = service_at(&b->lane[lane], id);
	if (!b->service[p.service].on)
		return (struct admission){ 404, "lane: its service is unknown", 0, 0, 0 };
	return p;
}

/* Another service serves it from now on; what was set aside for another send there is set aside here. 0: that ended it. */
static int change_service(struct router *c, struct client_request *x, uint32_t service, int64_t now, struct out *o)
{
	int paid = x->resend_paid;

	if (paid)
		c->budget[x->service] += ROUTER_RESEND_COST;
	x->resend_paid = 0;
	x->service = service;
	if (x->begun) { /* the other service knows nothing of this stream */
		router_give_up(c, x, 502, "the service of this stream is gone", now, o);
		return 0;
	}
	if (paid && c->budget[service] < ROUTER_RESEND_COST) {
		router_refuse(c, x, 503, "its service changed, and the budget for resends is spent", ROUTER_SOON, now, o);
		return 0;
	}
	if (paid)
		c->budget[service] -= ROUTER_RESEND_COST;
	x->resend_paid = paid;
	return 1;
}

int router_readmit(struct router *c, struct client_request *x, int64_t now, struct out *o)
{
	const struct route_table *b = c->route_table;
	const struct bk_lane *l;
	struct admission p;

	if (x->edition == b->edition)
		return 1;
	x->edition = b->edition;
	p = admission_of(b, x->host, x->path, x->digest, x->id);
	if (p.status) {
		c->n.revoked += p.status == 401;
		router_end_early(c, x, p.status, p.why, now, o);
		return 0;
	}
	if (p.lane != x->lane || p.tenant != x->tenant)
		router_queue_move(c, x, p.lane, p.tenant, now);
	l = &b->lane[p.lane];
	x->repeatable = x->repeatable && l->repeatable;
	x->resumable = x->resumable && l->resumable;
	if (x->ran && !x->repeatable && !x->resumable) {
		router_give_up(c, x, 502, "the server's answer broke off, and it may not be sent again", now, o);
		return 0;
	}
	if (b->service[x->service].on && (x->begun || leads_to(l, x->service)))
		return 1;
	return change_service(c, x, p.service, now, o);
}

/* Text of the caller's own memory, for as long as the request lives. */
static struct client_request *request_new(struct router *c, const struct router_asking *a)
{
	apr_pool_t *p;
	struct client_request *x;
	uint32_t shared;

	apr_pool_create(&p, c->p);
	x = apr_pcalloc(p, sizeof *x);
	x->p = p;
	x->token = a->token;
	x->digest = a->digest ? apr_pstrdup(p, a->digest) : NULL;
	x->host = apr_pstrdup(p, a->host);
	x->path = apr_pstrdup(p, a->path);
	x->id = apr_pstrdup(p, a->id);
	x->seq = ++c->seq;
	x->server = -1;
	x->tried = UINT32_MAX;
	x->forwarded = x->claimed = 1; /* whoever calls vouches that the id is used once */
	x->nparts = a->nparts < ROUTER_PARTS ? a->nparts : ROUTER_PARTS;
	for (int i = 0; i < x->nparts; i++) {
		x->hash[i] = a->part[i].id;
		x->tokens[i] = a->part[i].tokens;
	}
	shared = (uint32_t)router_tokens_upto(x, x->nparts);
	x->tail_tokens = a->tokens_in > shared ? a->tokens_in - shared : 0;
	x->tokens_out = a->tokens_out;
	x->size = shared + x->tail_tokens + x->tokens_out;
	return x;
}

void router_asked(struct router *c, const struct router_asking *a, int64_t now, struct out *o)
{
	const struct route_table *b = c->route_table;
	const struct bk_lane *l;
	struct client_request *x;
	struct admission p;

	c->n.taken++;
	if (refused_stale(c, a->token, now, o))
		return;
	p = admission_of(b, a->host, a->path, a->digest, a->id);
	if (p.status) {
		rejected(c, a->token, p.status, p.why, o);
		return;
	}
	if (refused_line(c, a->token, router_line_of(c, p.lane, p.tenant), p.lane, p.service, now, o))
		return;
	l = &b->lane[p.lane];
	x = request_new(c, a);
	x->lane = p.lane;
	x->tenant = p.tenant;
	x->service = p.service;
	x->limit = now + (l->timeout && (int)l->timeout < a->limit_ms ? (int)l->timeout : a->limit_ms);
	x->since_at = now;
	x->repeatable = l->repeatable;
	x->resumable = l->resumable;
	x->attempts = l->attempts ? (int)l->attempts : 2;
	line_up(c, x, now);
	router_lookup_ask(c, x, now, o);
}
