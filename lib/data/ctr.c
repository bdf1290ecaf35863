#include "ctr.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"

/* ---- names and the book ------------------------------------------------------ */

uint32_t names_id(struct names *n, const char *s)
{
	ptrdiff_t i;

	if (!n->h)
		sh_new_strdup(n->h);
	i = shgeti(n->h, s);
	if (i >= 0)
		return n->h[i].value;
	arrput(n->name, strdup(s));
	shput(n->h, s, (uint32_t)arrlen(n->name) - 1);
	return (uint32_t)arrlen(n->name) - 1;
}

int names_find(const struct names *n, const char *s)
{
	struct names_row *h = n->h;
	ptrdiff_t i = h ? shgeti(h, s) : -1;

	return i < 0 ? -1 : (int)h[i].value;
}

static void names_clear(struct names *n)
{
	for (ptrdiff_t i = 0; i < arrlen(n->name); i++)
		free(n->name[i]);
	arrfree(n->name);
	shfree(n->h);
}

static void book_free(struct book *b)
{
	if (!b)
		return;
	hmfree(b->share);
	shfree(b->key);
	apr_pool_destroy(b->p);
}

/* Two passes: names first, so that the arrays have their size; then the rows. */
static struct book *book_make(struct ctr *c, int64_t now)
{
	const struct table *t = &c->f.t;
	apr_pool_t *p;
	struct book *b;

	apr_pool_create(&p, c->p);
	b = apr_pcalloc(p, sizeof *b);
	b->p = p;
	b->edition = t->edition;
	for (ptrdiff_t i = 0; i < shlen(t->h); i++) {
		const struct Nl__Row *r = t->h[i].value.row;

		switch (r->kind) {
		case NL__KIND__LANE:
			names_id(&c->lanes, r->name);
			names_id(&c->services, r->service);
			break;
		case NL__KIND__TENANT: names_id(&c->tenants, r->name); break;
		case NL__KIND__KEY: names_id(&c->tenants, r->tenant); break;
		case NL__KIND__SERVICE:
			names_id(&c->services, r->name);
			names_id(&c->weights, r->weights);
			if (r->addr[0])
				names_id(&c->servers, apr_pstrcat(p, "store:", r->name, NULL));
			break;
		case NL__KIND__SERVER:
			names_id(&c->servers, r->name);
			names_id(&c->services, r->service);
			break;
		default: break;
		}
	}
	b->nlane = (uint32_t)arrlen(c->lanes.name);
	b->ntenant = (uint32_t)arrlen(c->tenants.name);
	b->nservice = (uint32_t)arrlen(c->services.name);
	b->nserver = (uint32_t)arrlen(c->servers.name);
	b->lane = apr_pcalloc(p, (b->nlane + 1) * sizeof *b->lane);
	b->tenant = apr_pcalloc(p, (b->ntenant + 1) * sizeof *b->tenant);
	b->service = apr_pcalloc(p, (b->nservice + 1) * sizeof *b->service);
	b->server = apr_pcalloc(p, (b->nserver + 1) * sizeof *b->server);
	sh_new_arena(b->key);
	for (ptrdiff_t i = 0; i < shlen(t->h); i++) {
		const struct Nl__Row *r = t->h[i].value.row;
		const char *slash;

		switch (r->kind) {
		case NL__KIND__LANE:
			b->lane[names_id(&c->lanes, r->name)] = (struct bk_lane){ 1, names_id(&c->services, r->service), r->prio, r->limit };
			break;
		case NL__KIND__TENANT:
			b->tenant[names_id(&c->tenants, r->name)] = (struct bk_tenant){ 1, r->walled, r->share, r->limit };
			break;
		case NL__KIND__KEY: shput(b->key, r->name, names_id(&c->tenants, r->tenant)); break;
		case NL__KIND__SERVICE: {
			struct bk_service *s = &b->service[names_id(&c->services, r->name)];

			*s = (struct bk_service){ 1, names_id(&c->weights, r->weights), r->prefill, r->kv_bytes, r->link, r->store, -1 };
			if (r->addr[0] && r->store) {
				s->store_server = (int)names_id(&c->servers, apr_pstrcat(p, "store:", r->name, NULL));
				b->server[s->store_server] = (struct bk_server){ 1, 0, 1, names_id(&c->services, r->name), apr_pstrdup(p, r->addr) };
			}
			break;
		}
		case NL__KIND__SERVER:
			b->server[names_id(&c->servers, r->name)] =
				(struct bk_server){ 1, r->state != 0, 0, names_id(&c->services, r->service), apr_pstrdup(p, r->addr) };
			break;
		case NL__KIND__SHARE:
			slash = strchr(r->name, '/');
			if (slash) {
				int lane = names_find(&c->lanes, apr_pstrmemdup(p, r->name, (size_t)(slash - r->name)));
				int tenant = names_find(&c->tenants, slash + 1);
				typeof(b->share->value) v = { r->share, r->limit };

				if (lane >= 0 && tenant >= 0)
					hmput(b->share, (uint64_t)lane << 32 | (uint64_t)tenant, v);
			}
			break;
		default: break;
		}
	}
	while (arrlen(c->sv) < (ptrdiff_t)b->nserver) {
		struct ctr_server s;

		memset(&s, 0, sizeof s);
		arrput(c->sv, s);
	}
	while (arrlen(c->running) < (ptrdiff_t)b->ntenant)
		arrput(c->running, 0);
	while (arrlen(c->stood) < (ptrdiff_t)b->nservice)
		arrput(c->stood, now);
	return b;
}

static void share_of(const struct book *b, uint32_t lane, uint32_t tenant, uint32_t *share, uint32_t *limit)
{
	struct bk_share *h = b->share;
	ptrdiff_t i = h ? hmgeti(h, (uint64_t)lane << 32 | tenant) : -1;

	*share = i >= 0 ? h[i].value.share : b->tenant[tenant].share;
	*limit = i >= 0 ? h[i].value.limit : UINT32_MAX;
}

/* ---- exchanges: ends --------------------------------------------------------------- */

/* Tokens of claims and calls; the shell numbers callers from 1 up, so ours keep the highest bit. */
static uint64_t token_new(struct ctr *c) { return ++c->token | 1ull << 63; }

static struct xch *xch_by(struct ctr *c, uint64_t token)
{
	ptrdiff_t i = c->by ? hmgeti(c->by, token) : -1;

	return i < 0 ? NULL : c->by[i].value;
}

static struct line *line_of(struct ctr *c, uint32_t lane, uint32_t tenant)
{
	struct line n = { lane, tenant, NULL, NULL, NULL, 0, 0, 0, 0, 0 };

	for (ptrdiff_t i = 0; i < arrlen(c->line); i++)
		if (c->line[i].lane == lane && c->line[i].tenant == tenant)
			return &c->line[i];
	n.name = apr_pstrcat(c->p, c->lanes.name[lane], "/", c->tenants.name[tenant], NULL);
	arrput(c->line, n);
	return &arrlast(c->line);
}

static const char *error_json(apr_pool_t *p, const char *why, const char *outcome)
{
	struct json_object *j = json_object_new_object();
	const char *s;

	json_object_object_add(j, "error", json_object_new_string(why));
	json_object_object_add(j, "outcome", json_object_new_string(outcome));
	s = apr_pstrdup(p, json_object_to_json_string_ext(j, JSON_C_TO_STRING_PLAIN));
	json_object_put(j);
	return s;
}

static uint32_t part_of(const struct ctr *c, uint32_t service) { return core_part_of(c->services.name[service], PART_SERVICES); }

/* Ask the part's owner, as far as it is known; whom. */
static uint64_t claim_msg(struct ctr *c, uint32_t service, uint32_t tenant, const char *id, uint64_t seq, int release, uint64_t token,
                          struct out *o)
{
	uint32_t part = part_of(c, service);
	uint64_t to = follow_seat(&c->f, part);
	struct Nl__Propose *q = OUT_NEW(o, Nl__Propose, NL__PROPOSE__INIT);

	q->op = OUT_NEW(o, Nl__Op, NL__OP__INIT);
	q->op->op_case = NL__OP__OP_CLAIM;
	q->op->claim = OUT_NEW(o, Nl__Claim, NL__CLAIM__INIT);
	q->op->claim->tenant = apr_pstrdup(o->p, c->tenants.name[tenant]);
	q->op->claim->id = apr_pstrdup(o->p, id);
	q->op->claim->by = c->id;
	q->op->claim->seq = seq;
	q->op->claim->release = release;
	q->token = token;
	c->n.claims++;
	out_msg(o, to, part, NL__MSG__BODY_PROPOSE)->propose = q;
	return to;
}

/* Who was asked does not answer: ask another, unless that has been decided meanwhile. */
static void claim_miss(struct ctr *c, uint32_t service, uint64_t asked)
{
	if (follow_seat(&c->f, part_of(c, service)) == asked)
		follow_miss(&c->f, part_of(c, service));
}

static void claim_send(struct ctr *c, struct xch *x, int64_t now, struct out *o)
{
	x->claim_at = now;
	x->asked = claim_msg(c, x->service, x->tenant, x->id, x->seq, 0, x->claim, o);
}

/* The id may be used again: said until the part has heard it. */
static void claim_release(struct ctr *c, const struct xch *x, int64_t now, struct out *o)
{
	struct ctr_release r = { token_new(c), x->seq, 0, x->service, x->tenant, strdup(x->id), now, now + CTR_RELEASE };

	r.asked = claim_msg(c, r.service, r.tenant, r.id, r.seq, 1, r.token, o);
	arrput(c->release, r);
}

static void release_end(struct ctr *c, ptrdiff_t i)
{
	free(c->release[i].id);
	arrdelswap(c->release, i);
}

static void releases_tick(struct ctr *c, int64_t now, struct out *o)
{
	for (ptrdiff_t i = arrlen(c->release) - 1; i >= 0; i--) {
		struct ctr_release *r = &c->release[i];

		if (now >= r->until) {
			release_end(c, i);
		} else if (now - r->at >= CTR_CLAIM_WAIT) {
			r->at = now;
			claim_miss(c, r->service, r->asked);
			r->asked = claim_msg(c, r->service, r->tenant, r->id, r->seq, 1, r->token, o);
		}
	}
}

static struct ctr_use *use_of(struct ctr *c, const struct xch *x)
{
	uint64_t key = (uint64_t)x->lane << 32 | x->tenant;
	typeof(c->use->value) zero = { 0, 0, 0, 0, 0 };

	if (hmgeti(c->use, key) < 0)
		hmput(c->use, key, zero);
	return hmgetp(c->use, key);
}

/* Take an exchange out of everything; what the caller hears has been said before. */
static void xch_drop(struct ctr *c, struct xch *x)
{
	struct line *l = line_of(c, x->lane, x->tenant);

	if (x->state == XCH_WAITING) {
		struct xch **at = &l->head, *prev = NULL;

		while (*at && *at != x) {
			prev = *at;
			at = &(*at)->after;
		}
		if (*at) {
			*at = x->after;
			if (l->tail == x)
				l->tail = prev;
			l->n--;
		}
	} else {
		l->running--;
		c->running[x->tenant]--;
		if (x->server >= 0)
			c->sv[x->server].own--;
	}
	(void)hmdel(c->by, x->token);
	if (x->claim)
		(void)hmdel(c->by, x->claim);
	if (x->call)
		(void)hmdel(c->by, x->call);
	for (ptrdiff_t i = 0; i < arrlen(c->all); i++)
		if (c->all[i] == x) {
			arrdelswap(c->all, i);
			break;
		}
	apr_pool_destroy(x->p);
}

static void call_cancel(struct xch *x, struct out *o)
{
	if (x->state == XCH_RUNNING && x->call)
		out_cmd(o, CMD_CANCEL)->u.cancel.token = x->call;
}

/* When to come back: not sooner than makes sense, and not all at once. */
static int retry_in(struct ctr *c, double ms)
{
	int64_t least = ms < CTR_RETRY ? CTR_RETRY : ms > CTR_RETRY_MOST ? CTR_RETRY_MOST : (int64_t)ms;

	return (int)(least + (int64_t)(core_rdv(c->id, ++c->retries) % (uint64_t)least));
}

/* Refused: nothing of it was ever sent to a server that may have begun, and nothing will be. */
static void refuse(struct ctr *c, struct xch *x, int status, const char *why, double back, int64_t now, struct out *o)
{
	if (x->claim)
		claim_release(c, x, now, o); /* the id may be used again */
	out_answer(o, x->token, status, status == 503 || status == 429 ? retry_in(c, back) : 0, error_json(o->p, why, "refused"));
	c->n.refused++;
	xch_drop(c, x);
}

/* Given up after a send: what the server did is not known. */
static void give_up(struct ctr *c, struct xch *x, int status, const char *why, struct out *o)
{
	const char *body = error_json(o->p, why, "unknown");

	call_cancel(x, o);
	if (x->begun) {
		struct cmd *k = out_cmd(o, CMD_END);

		k->u.piece.token = x->token;
		k->u.piece.body = body;
		k->u.piece.len = strlen(body);
		k->u.piece.ok = 0;
	} else {
		out_answer(o, x->token, status, 0, body);
	}
	c->n.unknown++;
	use_of(c, x)->value.errors++;
	xch_drop(c, x);
}

static void end_early(struct ctr *c, struct xch *x, int status, const char *why, int64_t now, struct out *o)
{
	if (x->state == XCH_RUNNING)
		give_up(c, x, status, why, o);
	else
		refuse(c, x, status, why, CTR_RETRY, now, o);
}

static struct json_object *read_json(struct ctr *c, const char *text)
{
	json_tokener_reset(c->tok);
	return json_tokener_parse_ex(c->tok, text, -1);
}

/* ---- exchanges: taken at the door ---------------------------------------------------- */

static const char *parse(struct ctr *c, struct xch *x, const char *body, const char **lane, int *limit, apr_pool_t *p)
{
	struct json_object *j = read_json(c, body), *v;
	const char *why = NULL;

	*limit = CTR_LIMIT;
	*lane = NULL;
	if (!json_object_is_type(j, json_type_object)) {
		why = "body: not a JSON object";
		goto end;
	}
	json_object_object_foreach(j, name, val) {
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

			if (!json_object_is_type(val, json_type_int) || n < CTR_LIMIT_MIN || n > CTR_LIMIT_MAX)
				why = apr_psprintf(p, "limit_ms: %d to %d", CTR_LIMIT_MIN, CTR_LIMIT_MAX);
			else
				*limit = (int)n;
		} else if (!strcmp(name, "parts")) {
			if (!json_object_is_type(val, json_type_array) || json_object_array_length(val) > CTR_PARTS) {
				why = apr_psprintf(p, "parts: a list of at most %d strings", CTR_PARTS);
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

static const char no_server[] = "no server of this service stands";

/* How long the exchange with i others before it in its line has yet to wait: what its line's heads usually take, and
 * for the next of them no less than the time for which it has already stood still. */
static double expected(const struct line *l, uint32_t i, int64_t now)
{
	double still = (double)(now - l->still);

	return i * l->gap + (still > l->gap - still ? still : l->gap - still);
}

static void take(struct ctr *c, uint64_t token, const char *digest, const char *body, int64_t now, struct out *o)
{
	struct book *b = c->book;
	struct bk_key *keys = b ? b->key : NULL;
	apr_pool_t *p;
	struct xch *x;
	const char *lane, *why;
	int limit, li;
	ptrdiff_t ki;
	uint64_t h;
	struct line *l;

	c->n.taken++;
	if (c->stopping || !b || follow_age(&c->f, now) > FOLLOW_CONFIG) {
		c->n.refused++;
		c->n.refused_stale++;
		out_answer(o, token, 503, retry_in(c, CTR_RETRY), error_json(o->p, c->stopping ? "this counter is stopping"
		       : "this counter's configuration is not certain to be in force", "refused"));
		return;
	}
	ki = keys ? shgeti(keys, digest) : -1;
	if (ki < 0 || !b->tenant[keys[ki].value].on) {
		c->n.refused++;
		out_answer(o, token, 401, 0, error_json(o->p, "key: unknown", "refused"));
		return;
	}
	apr_pool_create(&p, c->p);
	x = apr_pcalloc(p, sizeof *x);
	x->p = p;
	why = parse(c, x, body, &lane, &limit, p);
	li = why ? -1 : names_find(&c->lanes, lane);
	if (why || li < 0 || !b->lane[li].on || !b->service[b->lane[li].service].on) {
		c->n.refused++;
		out_answer(o, token, why ? 400 : 404, 0, error_json(o->p, why ? why : "lane: unknown", "refused"));
		apr_pool_destroy(p);
		return;
	}
	x->lane = (uint32_t)li;
	x->tenant = keys[ki].value;
	x->service = b->lane[li].service;
	l = line_of(c, x->lane, x->tenant);
	if (l->n >= b->lane[li].limit || now - c->stood[x->service] > CTR_RIDE) {
		int full = l->n >= b->lane[li].limit;

		c->n.refused++;
		c->n.refused_line += full;
		c->n.refused_early += !full;
		out_answer(o, token, full ? 429 : 503, retry_in(c, full ? expected(l, l->n / 2, now) : CTR_RETRY),
		           error_json(o->p, full ? "the line is full" : no_server, "refused"));
		apr_pool_destroy(p);
		return;
	}
	x->token = token;
	x->digest = apr_pstrdup(p, digest);
	x->seq = ++c->seq;
	x->limit = now + limit;
	x->since = now;
	x->server = -1;
	x->tried = UINT32_MAX;
	h = core_hashs(0, c->services.name[x->service]);
	for (int i = 0; i < x->nparts; i++) {
		h = core_hashs(h, x->text[i]);
		x->hash[i] = h;
		x->tokens[i] = (uint32_t)(strlen(x->text[i]) + 3) / 4;
	}
	x->tail_tokens = (uint32_t)(strlen(x->tail) + 3) / 4;
	if (!l->n) { /* a line that was empty starts where the others are */
		uint64_t least = UINT64_MAX;

		l->still = now;
		for (ptrdiff_t i = 0; i < arrlen(c->line); i++)
			if (c->line[i].n && b->lane[c->line[i].lane].prio == b->lane[li].prio && c->line[i].pass < least)
				least = c->line[i].pass;
		if (least != UINT64_MAX && l->pass < least)
			l->pass = least;
	}
	if (l->tail)
		l->tail->after = x;
	else
		l->head = x;
	l->tail = x;
	l->n++;
	arrput(c->all, x);
	hmput(c->by, token, x);
}

/* ---- assigning ------------------------------------------------------------------------ */

static int standing(const struct ctr *c, uint32_t s, int64_t now)
{
	const struct bk_server *b = &c->book->server[s];
	const struct ctr_server *v = &c->sv[s];

	return b->on && !b->draining && v->have && !v->loading && now - v->reported < CTR_REPORT && now >= v->bad_until;
}

static const struct kept_copy *usable(struct ctr *c, const struct xch *x, uint64_t hash, uint32_t server, uint32_t weights)
{
	const struct book *b = c->book;
	struct kept_copy *v = kept_get(&c->kept, hash);

	for (ptrdiff_t i = 0; i < arrlen(v); i++) {
		if (v[i].server != server || v[i].weights != weights || v[i].maker >= b->ntenant)
			continue;
		if (v[i].maker != x->tenant && (b->tenant[v[i].maker].walled || b->tenant[x->tenant].walled || !b->tenant[v[i].maker].on))
			continue;
		if (view_allows(&c->relay.w, c->services.name[x->service], c->weights.name[weights], c->tenants.name[v[i].maker],
		                c->servers.name[server], v[i].stamp))
			return &v[i];
	}
	return NULL;
}

/* How many leading parts a server keeps in a form this exchange may use. */
static int prefix(struct ctr *c, const struct xch *x, uint32_t server, uint32_t weights)
{
	int n = 0;

	while (n < x->nparts && usable(c, x, x->hash[n], server, weights))
		n++;
	return n;
}

static uint64_t tokens_upto(const struct xch *x, int n)
{
	uint64_t t = 0;

	for (int i = 0; i < n; i++)
		t += x->tokens[i];
	return t;
}

static int busy(const struct ctr_server *v)
{
	return v->others + v->own;
}

struct plan { int server, keep, from, upto; double cost, fetch; };

/* How much slower than the table says the link between two servers was seen to be; forgotten by and by. */
static double slow_of(struct ctr *c, uint32_t from, uint32_t to, int64_t now)
{
	ptrdiff_t i = hmgeti(c->pair, (uint64_t)from << 32 | to);
	double slow = i < 0 ? 1 : c->pair[i].value.slow;

	for (int64_t t = i < 0 ? 0 : now - c->pair[i].value.at; t >= CTR_SLOW_HALF && slow > 1; t -= CTR_SLOW_HALF)
		slow /= 2;
	return slow < 1 ? 1 : slow;
}

/* An answer says what its fetch took and brought. One that brought nothing was waited for in vain. */
static void learn_fetch(struct ctr *c, const struct xch *x, int64_t took, int brought, int64_t now)
{
	double slow = brought && took > 0 ? (double)took / (x->fetch_ms ? x->fetch_ms : 1) : CTR_SLOW_MOST;

	if (took <= 20 && brought) /* too short to tell a link from a process that was not scheduled */
		slow = 1;
	if (slow > CTR_SLOW_MOST)
		slow = CTR_SLOW_MOST;
	hmput(c->pair, (uint64_t)x->from << 32 | (uint32_t)x->server, ((typeof(c->pair->value)){ slow, now }));
}

/* Prefill saved against load and lines; a fetch where the link beats the prefill. */
static struct plan assign(struct ctr *c, const struct xch *x, int64_t now)
{
	const struct book *b = c->book;
	const struct bk_service *svc = &b->service[x->service];
	struct plan best = { -1, 0, -1, 0, 0, 0 };
	int current = relay_current(&c->relay, now);
	uint64_t all = tokens_upto(x, x->nparts) + x->tail_tokens;

	for (uint32_t s = 0; s < b->nserver; s++) {
		struct ctr_server *v = &c->sv[s];
		struct plan p = { (int)s, 0, -1, 0, 0, 0 };
		double prefill;

		if (b->server[s].is_store || b->server[s].service != x->service || s == x->tried || !standing(c, s, now) || busy(v) >= v->slots)
			continue;
		if (current)
			p.keep = prefix(c, x, s, v->weights);
		prefill = c->plain ? 0 : (double)(all - tokens_upto(x, p.keep)) / svc->prefill;
		p.cost = prefill + v->mean_ms * busy(v) / v->slots;
		for (uint32_t f = 0; current && !c->plain && p.keep < x->nparts && f < b->nserver; f++) { /* a colleague server or the store */
			double speed = b->server[f].is_store ? svc->store : svc->link, save, cost, fetch;
			int n;

			if (f == s || b->server[f].service != x->service || !speed || (!b->server[f].is_store && c->sv[f].weights != v->weights) ||
			    !standing(c, f, now))
				continue;
			n = prefix(c, x, f, v->weights);
			if (n <= p.keep)
				continue;
			save = (double)(tokens_upto(x, n) - tokens_upto(x, p.keep));
			fetch = save * svc->kv_bytes / speed;
			cost = fetch * slow_of(c, f, s, now);
			save /= svc->prefill;
			if (cost < save && prefill - save + cost < p.cost - v->mean_ms * busy(v) / v->slots) {
				p.cost = prefill - save + cost + v->mean_ms * busy(v) / v->slots;
				p.from = (int)f;
				p.upto = n;
				p.fetch = fetch;
			}
		}
		if (best.server < 0 || p.cost < best.cost ||
		    (p.cost == best.cost && core_rdv(x->seq ^ c->id, s) > core_rdv(x->seq ^ c->id, (uint64_t)best.server)))
			best = p;
	}
	return best;
}

static struct json_object *copy_json(const struct ctr *c, uint64_t hash, const struct kept_copy *k, apr_pool_t *p)
{
	struct json_object *j = json_object_new_object();

	json_object_object_add(j, "h", json_object_new_string(apr_psprintf(p, "%016" APR_UINT64_T_HEX_FMT, hash)));
	json_object_object_add(j, "m", json_object_new_string(c->tenants.name[k->maker]));
	json_object_object_add(j, "t", json_object_new_int64((int64_t)k->stamp));
	return j;
}

/* The one place where an exchange leaves for a server. */
static void send_to(struct ctr *c, struct xch *x, const struct plan *pl, int64_t now, struct out *o)
{
	const struct book *b = c->book;
	struct ctr_server *v = &c->sv[pl->server];
	struct json_object *j = json_object_new_object(), *a;
	struct cmd *k;
	double read;

	x->state = XCH_RUNNING;
	x->server = pl->server;
	x->weights = v->weights;
	x->stamp = c->relay.k.horizon;
	x->sent_at = now;
	x->sends++;
	x->next = 0;
	x->from = pl->from;
	x->fetch_ms = (uint32_t)(pl->fetch + 0.5);
	x->call = token_new(c);
	hmput(c->by, x->call, x);
	x->xid = apr_psprintf(x->p, "%016" APR_UINT64_T_HEX_FMT "-%" APR_UINT64_T_FMT "-%d", c->id, x->seq, x->sends);
	v->own++;
	json_object_object_add(j, "x", json_object_new_string(x->xid));
	json_object_object_add(j, "id", json_object_new_string(x->id));
	json_object_object_add(j, "tenant", json_object_new_string(c->tenants.name[x->tenant]));
	json_object_object_add(j, "weights", json_object_new_string(c->weights.name[x->weights]));
	json_object_object_add(j, "stamp", json_object_new_int64((int64_t)x->stamp));
	json_object_object_add(j, "limit_ms", json_object_new_int64(x->limit - now));
	a = json_object_new_array();
	for (int i = 0; i < x->nparts; i++) {
		struct json_object *e = json_object_new_object();

		json_object_object_add(e, "h", json_object_new_string(apr_psprintf(o->p, "%016" APR_UINT64_T_HEX_FMT, x->hash[i])));
		json_object_object_add(e, "text", json_object_new_string(x->text[i]));
		json_object_array_add(a, e);
	}
	json_object_object_add(j, "parts", a);
	json_object_object_add(j, "tail", json_object_new_string(x->tail));
	a = json_object_new_array();
	for (int i = 0; i < pl->keep; i++)
		json_object_array_add(a, copy_json(c, x->hash[i], usable(c, x, x->hash[i], (uint32_t)pl->server, x->weights), o->p));
	json_object_object_add(j, "reuse", a);
	if (pl->from >= 0) {
		struct json_object *f = json_object_new_object();

		a = json_object_new_array();
		for (int i = pl->keep; i < pl->upto; i++)
			json_object_array_add(a, copy_json(c, x->hash[i], usable(c, x, x->hash[i], (uint32_t)pl->from, x->weights), o->p));
		json_object_object_add(f, "from", json_object_new_string(b->server[pl->from].addr));
		json_object_object_add(f, "parts", a);
		/* no longer than reading them anew would take */
		read = (double)(tokens_upto(x, pl->upto) - tokens_upto(x, pl->keep)) / b->service[x->service].prefill;
		json_object_object_add(f, "wait_ms", json_object_new_int(read < 1 ? 1 : read > CTR_FETCH_MOST ? CTR_FETCH_MOST : (int)read));
		json_object_object_add(j, "fetch", f);
	}
	k = out_cmd(o, CMD_CALL);
	k->u.call.token = x->call;
	k->u.call.addr = apr_pstrdup(o->p, b->server[pl->server].addr);
	k->u.call.path = "/v1/run";
	k->u.call.body = apr_pstrdup(o->p, json_object_to_json_string_ext(j, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	k->u.call.limit_ms = (int)(x->limit - now);
	k->u.call.stream = 1;
	k->u.call.not_after = c->f.fresh + FOLLOW_CONFIG + 200; /* a frozen process must not send what was decided before */
	json_object_put(j);
	c->n.sends++;
	c->budget += CTR_BUDGET;
	if (c->budget > CTR_BUDGET_CAP)
		c->budget = CTR_BUDGET_CAP;
	c->n.tokens += tokens_upto(x, x->nparts) + x->tail_tokens;
	c->n.reused += tokens_upto(x, pl->keep);
	c->n.fetched += pl->from >= 0 ? tokens_upto(x, pl->upto) - tokens_upto(x, pl->keep) : 0;
	c->n.cold += !relay_current(&c->relay, now);
	use_of(c, x)->value.tokens += tokens_upto(x, x->nparts) + x->tail_tokens;
	use_of(c, x)->value.reused += tokens_upto(x, pl->keep);
}

/* With its claim, to the head of its line: there is no place just now. */
static void back_to_line(struct ctr *c, struct xch *x)
{
	struct line *l = line_of(c, x->lane, x->tenant);

	x->state = XCH_WAITING;
	x->after = l->head;
	l->head = x;
	if (!l->tail)
		l->tail = x;
	l->n++;
	l->running--;
	c->running[x->tenant]--;
}

static void send_claimed(struct ctr *c, struct xch *x, int64_t now, struct out *o)
{
	struct plan pl = { -1, 0, -1, 0, 0, 0 };

	if (now >= x->limit) {
		c->n.refused_limit++;
		refuse(c, x, 503, "the limit passed before a send", CTR_RETRY, now, o);
		return;
	}
	if (x->server >= 0) { /* the place that was held for it */
		c->sv[x->server].own--;
		x->server = -1;
	}
	if (now - x->claim_from > CTR_CLAIM_HOLD) { /* it must outlast what is sent under it */
		refuse(c, x, 503, "no server could take it for long", CTR_RETRY, now, o);
		return;
	}
	if (follow_age(&c->f, now) <= FOLLOW_CONFIG)
		pl = assign(c, x, now);
	if (pl.server < 0)
		back_to_line(c, x); /* its place went to another counter's, or this counter must hear the owner first */
	else
		send_to(c, x, &pl, now, o);
}

static uint32_t held(const struct ctr *c, const char *name)
{
	struct follow_hold *h = c->f.hold;
	ptrdiff_t i = shgeti(h, name);

	return i < 0 ? 0 : h[i].value.held;
}

/* What is used and wanted of each limit; where a line lacks places, its owner is asked at once, though not each time. */
static void want_places(struct ctr *c, int64_t now, struct out *o)
{
	struct follow *f = &c->f;
	int lacks = 0;

	for (ptrdiff_t i = 0; i < shlen(f->hold); i++)
		f->hold[i].value.used = f->hold[i].value.want = 0;
	for (ptrdiff_t i = 0; i < arrlen(c->line); i++) {
		const struct line *l = &c->line[i];
		uint32_t share, limit;

		if (!l->n && !l->running)
			continue;
		share_of(c->book, l->lane, l->tenant, &share, &limit);
		for (int k = 0; k < 1 + (limit != UINT32_MAX); k++) {
			typeof(f->hold->value) *h = follow_hold(f, k ? l->name : c->tenants.name[l->tenant]);

			h->used += l->running;
			h->want += l->running + l->n;
			lacks |= l->n && h->used >= h->held;
		}
	}
	if (lacks && now - f->last_ask >= CTR_ASK)
		follow_ask(f, c->relay.k.horizon, now, o);
}

/* Heads of lines go on while there are places: by class, then by share. */
static void pump(struct ctr *c, int64_t now, struct out *o)
{
	const struct book *b = c->book;

	if (!b || follow_age(&c->f, now) > FOLLOW_CONFIG)
		return;
	for (;;) {
		struct line *best = NULL;
		struct plan best_plan = { -1, 0, -1, 0, 0, 0 };
		struct xch *x;
		uint32_t share, limit;

		for (ptrdiff_t i = 0; i < arrlen(c->line); i++) {
			struct line *l = &c->line[i];
			struct plan pl;

			if (!l->n)
				continue;
			share_of(b, l->lane, l->tenant, &share, &limit);
			if (c->running[l->tenant] >= held(c, c->tenants.name[l->tenant]) || (limit != UINT32_MAX && l->running >= held(c, l->name)))
				continue;
			if (best && (b->lane[l->lane].prio > b->lane[best->lane].prio ||
			             (b->lane[l->lane].prio == b->lane[best->lane].prio && l->pass >= best->pass)))
				continue;
			pl = assign(c, l->head, now);
			if (pl.server < 0)
				continue;
			best = l;
			best_plan = pl;
		}
		if (!best)
			return;
		x = best->head;
		best->head = x->after;
		if (!best->head)
			best->tail = NULL;
		x->after = NULL;
		best->n--;
		best->running++;
		best->gap += ((double)(now - best->still) - best->gap) / 16;
		best->still = now;
		share_of(b, best->lane, best->tenant, &share, &limit);
		best->pass += 1000000 / (share ? share : 1);
		c->running[x->tenant]++;
		x->state = XCH_CLAIMING;
		x->server = best_plan.server;
		c->sv[x->server].own++;
		if (x->claimed) {
			send_claimed(c, x, now, o);
			continue;
		}
		x->claim = token_new(c);
		x->claim_from = now;
		hmput(c->by, x->claim, x);
		claim_send(c, x, now, o);
	}
}

/* ---- answers ------------------------------------------------------------------------------ */

/* Who was asked is not the owner, and may know who is. A late word about another guess moves nothing. */
static void claim_hint(struct ctr *c, uint32_t service, uint64_t asked, uint64_t from, uint64_t hint)
{
	if (asked == from && follow_seat(&c->f, part_of(c, service)) == asked)
		follow_hint(&c->f, part_of(c, service), hint == from ? 0 : hint);
}

static void on_answer(struct ctr *c, const struct Nl__Answer *a, uint64_t from, int64_t now, struct out *o)
{
	struct xch *x = xch_by(c, a->token);

	for (ptrdiff_t i = 0; i < arrlen(c->release); i++)
		if (c->release[i].token == a->token) {
			if (a->status == TABLE_NOT_OWNER) {
				claim_hint(c, c->release[i].service, c->release[i].asked, from, a->hint);
				c->release[i].at = now - CTR_CLAIM_WAIT + 50;
				c->release[i].asked = 0;
			} else if (a->status != TABLE_BUSY) {
				release_end(c, i);
			}
			return;
		}
	if (!x || x->state != XCH_CLAIMING || x->claim != a->token || x->claimed)
		return;
	switch (a->status) {
	case TABLE_DONE:
		x->claimed = 1;
		follow_hint(&c->f, part_of(c, x->service), from); /* who answers owns */
		send_claimed(c, x, now, o);
		break;
	case TABLE_NOT_OWNER:
		claim_hint(c, x->service, x->asked, from, a->hint);
		x->asked = 0; /* it did answer */
		x->claim_at = now - CTR_CLAIM_WAIT + 20; /* ask the one named, soon */
		break;
	case TABLE_BUSY: x->claim_at = now - CTR_CLAIM_WAIT + 50; break;
	default:
		/* not "refused": the asking that holds the id may be running */
		out_answer(o, x->token, 409, 0, error_json(o->p, "id: claimed by an earlier asking", "claimed"));
		c->n.refused++;
		xch_drop(c, x);
	}
}

static void whole(struct ctr *c, struct xch *x, int64_t now, struct out *o)
{
	struct ctr_server *v = &c->sv[x->server];
	const char *body = apr_psprintf(o->p, "{\"end\":true,\"pieces\":%" APR_UINT64_T_FMT ",\"exchange\":\"%s\"}\n", x->next, x->xid);
	struct cmd *k = out_cmd(o, CMD_END);

	k->u.piece.token = x->token;
	k->u.piece.body = body;
	k->u.piece.len = strlen(body);
	k->u.piece.ok = 1;
	v->mean_ms += ((double)(now - x->sent_at) - v->mean_ms) / 8;
	for (int i = 0; i < x->nparts; i++) { /* kept there now, until a report says otherwise */
		struct kept_copy n = { (uint32_t)x->server, x->tenant, x->service, x->weights, x->stamp, v->asked + 1 };
		const struct kept_copy *old = usable(c, x, x->hash[i], (uint32_t)x->server, x->weights);

		if (!old && view_allows(&c->relay.w, c->services.name[x->service], c->weights.name[x->weights], c->tenants.name[x->tenant],
		                        c->servers.name[x->server], x->stamp))
			kept_put(&c->kept, x->hash[i], &n);
	}
	c->n.answered++;
	use_of(c, x)->value.exchanges++;
	use_of(c, x)->value.pieces += x->next;
	xch_drop(c, x);
}

/* One line of a server's stream: bound to this send, in order, else it is no answer. */
static void on_piece(struct ctr *c, struct xch *x, const char *text, int64_t now, struct out *o)
{
	struct json_object *j = read_json(c, text), *v, *n, *t;
	struct cmd *k;

	if (!json_object_is_type(j, json_type_object) || !json_object_object_get_ex(j, "x", &v) ||
	    strcmp(json_object_get_string(v), x->xid) || !json_object_object_get_ex(j, "n", &n) ||
	    json_object_get_uint64(n) != x->next) {
		give_up(c, x, 502, "the server's answer does not belong to this exchange", o);
		goto end;
	}
	if (json_object_object_get_ex(j, "end", &v)) {
		if (x->from >= 0 && json_object_object_get_ex(j, "fetch_ms", &t))
			learn_fetch(c, x, json_object_get_int64(t), json_object_object_get_ex(j, "fetched", &v) ? json_object_get_int(v) : 0, now);
		whole(c, x, now, o);
		goto end;
	}
	if (!json_object_object_get_ex(j, "t", &t)) {
		give_up(c, x, 502, "the server's answer is not whole", o);
		goto end;
	}
	k = out_cmd(o, CMD_PIECE);
	k->u.piece.token = x->token;
	k->u.piece.body = apr_psprintf(o->p, "{\"n\":%" APR_UINT64_T_FMT ",\"text\":%s}\n", x->next,
	                               json_object_to_json_string_ext(t, JSON_C_TO_STRING_PLAIN));
	k->u.piece.len = strlen(k->u.piece.body);
	x->begun = 1;
	x->next++;
	c->n.pieces++;
end:
	if (j)
		json_object_put(j);
}

static void on_done(struct ctr *c, struct xch *x, const typeof(((struct ctr_ev *)0)->u.done) *d, int64_t now, struct out *o)
{
	(void)hmdel(c->by, x->call);
	x->call = 0;
	if (!d->never || x->next) {
		give_up(c, x, 502, "the server's answer broke off", o);
		return;
	}
	/* it surely never began: another server may have it, within the budget */
	c->sv[x->server].own--;
	if (d->status == 0)
		c->sv[x->server].bad_until = now + CTR_BAD;
	x->tried = (uint32_t)x->server;
	x->server = -1;
	x->state = XCH_CLAIMING;
	if (c->budget < 1000) {
		refuse(c, x, 503, "the server refused, and the budget for resends is spent", CTR_RETRY, now, o);
		return;
	}
	c->budget -= 1000 + CTR_BUDGET; /* a resend earns nothing */
	c->n.resends++;
	send_claimed(c, x, now, o);
}

/* ---- reports ---------------------------------------------------------------------------------- */

/* Names of weights come from reports too: a server may still have those from before. They are bounded. */
static int weights_of(struct ctr *c, const char *name)
{
	int i = names_find(&c->weights, name);

	return i >= 0 || strlen(name) > 128 || arrlen(c->weights.name) >= CTR_WEIGHTS ? i : (int)names_id(&c->weights, name);
}

/* A report that cannot be read changes nothing, and is spoken of once. */
static void odd_report(struct ctr *c, uint32_t s, const char *why)
{
	char line[300];

	if (!c->sv[s].odd++ && c->log) {
		apr_snprintf(line, sizeof line, "Step report: server %s: %s; it is passed over until it is mended.", c->servers.name[s], why);
		c->log(c->log_ctx, "ctr", line);
	}
}

static void on_report(struct ctr *c, uint32_t s, const char *body, int64_t now)
{
	struct ctr_server *v = &c->sv[s];
	struct json_object *j = read_json(c, body), *parts;
	const char *service;
	int weights = json_object_is_type(j, json_type_object) ? weights_of(c, json_str(j, "weights")) : -1;

	if (weights < 0 || json_num(j, "slots") > 100000) {
		odd_report(c, s, "its report cannot be read, or names what nobody knows");
		goto end;
	}
	v->odd = 0;
	v->reported = now;
	v->have = 1;
	v->weights = (uint32_t)weights;
	v->loading = json_str(j, "loading")[0] != 0;
	v->slots = (int)json_num(j, "slots");
	v->running = (int)json_num(j, "running");
	v->others = v->running > v->own ? v->running - v->own : 0; /* what other counters run there */
	if (!json_object_object_get_ex(j, "parts", &parts) || !json_object_is_type(parts, json_type_array)) {
		if (json_num(j, "serial") != v->serial || json_num(j, "boot") != v->boot)
			v->told = v->called = 0; /* what changed was lost on its way here: look ourselves */
		goto end;
	}
	v->serial = json_num(j, "serial");
	v->boot = json_num(j, "boot");
	service = c->services.name[c->book->server[s].service];
	for (size_t i = 0; i < json_object_array_length(parts) && i < CTR_KEPT; i++) {
		struct json_object *e = json_object_array_get_idx(parts, i);
		int maker = names_find(&c->tenants, json_str(e, "m")), made_under = weights_of(c, json_str(e, "w"));
		struct kept_copy n = { s, (uint32_t)maker, c->book->server[s].service, (uint32_t)made_under, json_num(e, "t"), v->asked };

		if (maker < 0 || made_under < 0)
			continue; /* of nobody that the table ever named here */

		/* a late report never revives what is withdrawn */
		if (view_allows(&c->relay.w, service, json_str(e, "w"), json_str(e, "m"), c->servers.name[s], n.stamp))
			kept_put(&c->kept, strtoull(json_str(e, "h"), NULL, 16), &n);
	}
	kept_sweep(&c->kept, s, v->asked);
end:
	if (j)
		json_object_put(j);
}

/* A relay looks for its zone: what it saw goes to its downstreams as it came. */
static void pass_report(struct ctr *c, uint32_t s, const char *body, struct out *o)
{
	for (ptrdiff_t i = 0; i < arrlen(c->relay.down); i++) {
		struct Nl__Report *r = OUT_NEW(o, Nl__Report, NL__REPORT__INIT);

		r->server = apr_pstrdup(o->p, c->servers.name[s]);
		r->body.len = strlen(body);
		r->body.data = (uint8_t *)apr_pstrdup(o->p, body);
		out_msg(o, c->relay.down[i].addr, 0, NL__MSG__BODY_REPORT)->report = r;
	}
}

static void on_passed_report(struct ctr *c, const struct Nl__Report *r, int64_t now, struct out *o)
{
	int s = names_find(&c->servers, r->server);

	if (s < 0 || !c->book || (uint32_t)s >= c->book->nserver || !c->book->server[s].on)
		return;
	c->sv[s].told = now;
	c->sv[s].asked++;
	on_report(c, (uint32_t)s, apr_pstrmemdup(o->p, (char *)r->body.data, r->body.len), now);
}

static void look(struct ctr *c, int64_t now, struct out *o)
{
	const struct book *b = c->book;

	for (uint32_t s = 0; b && s < b->nserver; s++) {
		struct ctr_server *v = &c->sv[s];
		struct cmd *k;

		if (!b->server[s].on || now - v->called < CTR_LOOK || now - v->told < CTR_TOLD)
			continue;
		/* spread over the period, so that counters do not all look at once */
		v->called = v->called ? now : now - (int64_t)(core_rdv(c->id, s) % CTR_LOOK);
		v->call = token_new(c);
		v->asked++;
		c->n.looks++;
		k = out_cmd(o, CMD_CALL);
		k->u.call.token = v->call;
		k->u.call.addr = apr_pstrdup(o->p, b->server[s].addr);
		k->u.call.path = apr_psprintf(o->p, "/v1/report?since=%" APR_UINT64_T_FMT "&boot=%" APR_UINT64_T_FMT, v->serial, v->boot);
		k->u.call.limit_ms = 800;
		k->u.call.not_after = now + 800;
	}
}

/* ---- purges ------------------------------------------------------------------------------------- */

struct withdrawn { struct ctr *c; const struct Nl__Value *v; };

static int is_withdrawn(const void *ctx, const struct kept_copy *k)
{
	const struct withdrawn *w = ctx;
	const struct Nl__Purge *p = w->v->purge;
	const struct ctr *c = w->c;

	if (k->stamp >= w->v->tick)
		return 0;
	switch (p->why) {
	case PURGE_WEIGHTS: return !strcmp(c->services.name[k->service], p->service) && !strcmp(c->weights.name[k->weights], p->weights);
	case PURGE_TENANT: return !strcmp(c->tenants.name[k->maker], p->tenant);
	default: return !strcmp(c->servers.name[k->server], p->server);
	}
}

static void on_value(void *ctx, const struct Nl__Value *v)
{
	struct withdrawn w = { ctx, v };

	kept_drop(&w.c->kept, is_withdrawn, &w);
}

/* ---- a new edition --------------------------------------------------------------------------------- */

static void swap_book(struct ctr *c, int64_t now, struct out *o)
{
	struct book *b = book_make(c, now), *old = c->book;

	c->book = b;
	for (ptrdiff_t i = arrlen(c->all) - 1; i >= 0; i--) {
		struct xch *x = c->all[i];
		struct bk_key *keys = b->key;
		ptrdiff_t k = shgeti(keys, x->digest);

		if (k < 0 || keys[k].value != x->tenant || !b->tenant[x->tenant].on) {
			c->n.revoked++;
			end_early(c, x, 401, "key: removed", now, o);
		} else if (x->state != XCH_RUNNING && (!b->lane[x->lane].on || b->lane[x->lane].service != x->service || !b->service[x->service].on)) {
			end_early(c, x, 404, "lane: removed", now, o);
		}
	}
	book_free(old);
}

/* ---- the step ---------------------------------------------------------------------------------------- */

static const char *state_json(struct ctr *c, int64_t now, apr_pool_t *p)
{
	struct json_object *j = json_object_new_object(), *a = json_object_new_array();
	uint32_t waiting = 0;
	const char *s;
	const struct { const char *k; uint64_t v; } n[] = {
		{ "edition", c->f.t.edition }, { "horizon", c->relay.k.horizon }, { "kept", c->kept.n }, { "taken", c->n.taken },
		{ "answered", c->n.answered }, { "refused", c->n.refused }, { "unknown", c->n.unknown }, { "sends", c->n.sends },
		{ "resends", c->n.resends }, { "pieces", c->n.pieces }, { "tokens", c->n.tokens }, { "reused", c->n.reused },
		{ "fetched", c->n.fetched }, { "cold", c->n.cold }, { "claims", c->n.claims }, { "looks", c->n.looks }, { "refused_stale", c->n.refused_stale },
		{ "refused_line", c->n.refused_line }, { "refused_limit", c->n.refused_limit }, { "refused_early", c->n.refused_early }, { "revoked", c->n.revoked }, { "blind", c->n.blind },
		{ "downstreams", (uint64_t)arrlen(c->relay.down) }, { "increments", c->relay.n_inc }, { "counters", c->f.counters },
	};

	for (size_t i = 0; i < sizeof n / sizeof *n; i++)
		json_object_object_add(j, n[i].k, json_object_new_int64((int64_t)n[i].v));
	for (ptrdiff_t i = 0; i < arrlen(c->line); i++)
		waiting += c->line[i].n;
	json_object_object_add(j, "id", json_object_new_string(apr_psprintf(p, "%016" APR_UINT64_T_HEX_FMT, c->id)));
	json_object_object_add(j, "zone", json_object_new_string(c->zone));
	json_object_object_add(j, "age_ms", json_object_new_int64(follow_age(&c->f, now)));
	json_object_object_add(j, "current", json_object_new_boolean(relay_current(&c->relay, now)));
	json_object_object_add(j, "running", json_object_new_int64(arrlen(c->all) - (int64_t)waiting));
	json_object_object_add(j, "waiting", json_object_new_int64(waiting));
	for (uint32_t i = 0; c->book && i < c->book->nserver; i++) {
		struct json_object *x;

		if (!c->book->server[i].on)
			continue;
		x = json_object_new_object();
		json_object_object_add(x, "server", json_object_new_string(c->servers.name[i]));
		json_object_object_add(x, "standing", json_object_new_boolean(standing(c, i, now)));
		json_object_object_add(x, "running", json_object_new_int(c->sv[i].running));
		json_object_object_add(x, "slots", json_object_new_int(c->sv[i].slots));
		json_object_object_add(x, "weights", json_object_new_string(c->sv[i].have ? c->weights.name[c->sv[i].weights] : ""));
		json_object_array_add(a, x);
	}
	json_object_object_add(j, "servers", a);
	s = apr_pstrdup(p, json_object_to_json_string_ext(j, JSON_C_TO_STRING_PLAIN));
	json_object_put(j);
	return s;
}

const char *ctr_usage(const struct ctr *c, apr_pool_t *p)
{
	const char *s = "lane,tenant,exchanges,tokens,reused,pieces,errors\n";

	for (ptrdiff_t i = 0; i < hmlen(c->use); i++) {
		const struct ctr_use *u = &c->use[i];

		s = apr_psprintf(p, "%s%s,%s,%" APR_UINT64_T_FMT ",%" APR_UINT64_T_FMT ",%" APR_UINT64_T_FMT ",%" APR_UINT64_T_FMT ",%" APR_UINT64_T_FMT "\n",
		                 s, c->lanes.name[u->key >> 32], c->tenants.name[u->key & UINT32_MAX], u->value.exchanges, u->value.tokens,
		                 u->value.reused, u->value.pieces, u->value.errors);
	}
	return s;
}

/* What will not be sent in time is told so now, not at its limit. */
static void end_hopeless(struct ctr *c, int64_t now, struct out *o)
{
	const struct book *b = c->book;

	for (uint32_t s = 0; b && s < b->nserver; s++)
		if (!b->server[s].is_store && standing(c, s, now))
			c->stood[b->server[s].service] = now;
	for (ptrdiff_t i = 0; i < arrlen(c->line); i++) {
		struct line *l = &c->line[i];
		struct xch *next;
		uint32_t before = 0;

		for (struct xch *x = l->head; x; x = next) {
			int none = now - c->stood[x->service] > CTR_RIDE;
			double wait = expected(l, before, now);

			next = x->after;
			if (!none && wait <= (double)(x->limit - now)) {
				before++;
				continue;
			}
			c->n.refused_early++;
			refuse(c, x, 503, none ? no_server : "the line is too long to be sent within the limit", none ? CTR_RETRY : wait / 2, now, o);
		}
	}
}

static void tick(struct ctr *c, int64_t now, struct out *o)
{
	follow_tick(&c->f, c->relay.k.horizon, now, o);
	relay_up(&c->relay, c->f.up, (size_t)c->f.nup, follow_log(&c->f, c->relay.moved, now), now);
	relay_tick(&c->relay, now, o);
	look(c, now, o);
	end_hopeless(c, now, o);
	releases_tick(c, now, o);
	for (ptrdiff_t i = arrlen(c->all) - 1; i >= 0; i--) {
		struct xch *x = c->all[i];

		if (now >= x->limit) {
			c->n.refused_limit += x->state != XCH_RUNNING;
			end_early(c, x, x->state == XCH_RUNNING ? 504 : 503,
			          x->state == XCH_RUNNING ? "the limit passed" : "the limit passed in the line", now, o);
		} else if (x->state == XCH_CLAIMING && !x->claimed && now - x->claim_from > CTR_RIDE) {
			c->n.refused_early++;
			refuse(c, x, 503, "the part of this service has no owner that answers", CTR_RETRY, now, o);
		} else if (x->state == XCH_CLAIMING && !x->claimed && now - x->claim_at >= CTR_CLAIM_WAIT) {
			/* the same claim again: a part takes it once however often it is asked */
			claim_miss(c, x->service, x->asked);
			claim_send(c, x, now, o);
		}
	}
}

static void on_msg(struct ctr *c, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	if (m->speak != CORE_SPEAK || (m->fleet && c->f.fleet && m->fleet != c->f.fleet))
		return;
	switch (m->body_case) {
	case NL__MSG__BODY_FOLLOW_REPLY:
	case NL__MSG__BODY_OWNER:
		if (follow_msg(&c->f, m, now, o))
			swap_book(c, now, o);
		break;
	case NL__MSG__BODY_KNOWLEDGE:
	case NL__MSG__BODY_PURGE_SNAP:
	case NL__MSG__BODY_CURIOSITY: relay_msg(&c->relay, m, now, o); break;
	case NL__MSG__BODY_ANSWER: on_answer(c, m->answer, m->addr, now, o); break;
	case NL__MSG__BODY_REPORT: on_passed_report(c, m->report, now, o); break;
	case NL__MSG__BODY_FOLLOW: { /* a seed need not be a registrar: say whom to ask */
		struct Nl__FollowReply *a = OUT_NEW(o, Nl__FollowReply, NL__FOLLOW_REPLY__INIT);

		a->token = m->follow->token;
		a->hint = c->f.seat[PART_CTL];
		out_msg(o, m->addr, PART_CTL, NL__MSG__BODY_FOLLOW_REPLY)->follow_reply = a;
		break;
	}
	default: break;
	}
}

/* Cut off, or woken after a freeze: before anything else happens, all that is held here ends. */
static void end_blind(struct ctr *c, int64_t now, struct out *o)
{
	while (arrlen(c->all) && now > ctr_good_until(c)) {
		c->n.blind++;
		end_early(c, arrlast(c->all), 503, "this counter has been cut off: its configuration may be out of force", now, o);
	}
}

int64_t ctr_good_until(const struct ctr *c) { return c->f.fresh + CTR_RIDE; }

void ctr_step(struct ctr *c, const struct ctr_ev *ev, int64_t now, struct out *o)
{
	struct xch *x;

	o->id = c->id;
	o->addr = c->addr;
	o->fleet = c->f.fleet;
	end_blind(c, now, o);
	switch (ev->kind) {
	case CTR_TICK: tick(c, now, o); break;
	case CTR_MSG: on_msg(c, ev->u.msg, now, o); break;
	case CTR_EXCHANGE: take(c, ev->u.exchange.token, ev->u.exchange.digest, ev->u.exchange.body, now, o); break;
	case CTR_GONE: /* the caller left */
		x = xch_by(c, ev->u.gone.token);
		if (!x || x->token != ev->u.gone.token)
			break;
		c->n.gone++;
		call_cancel(x, o);
		if (x->state != XCH_RUNNING && x->claim)
			claim_release(c, x, now, o);
		xch_drop(c, x);
		break;
	case CTR_PIECE:
		x = xch_by(c, ev->u.piece.token);
		if (x && x->call == ev->u.piece.token)
			on_piece(c, x, ev->u.piece.line, now, o);
		break;
	case CTR_DONE:
		x = xch_by(c, ev->u.done.token);
		if (x && x->call == ev->u.done.token)
			on_done(c, x, &ev->u.done, now, o);
		break;
	case CTR_CALLED:
		for (uint32_t s = 0; c->book && s < c->book->nserver; s++)
			if (c->sv[s].call == ev->u.called.token && ev->u.called.status == 200) {
				on_report(c, s, ev->u.called.body, now);
				pass_report(c, s, ev->u.called.body, o);
			}
		break;
	case CTR_WEB:
		if (!strcmp(ev->u.web.path, "/v1/usage"))
			out_answer(o, ev->u.web.token, 200, 0, ctr_usage(c, o->p));
		else if (!strcmp(ev->u.web.path, "/v1/state"))
			out_answer(o, ev->u.web.token, 200, 0, state_json(c, now, o->p));
		else
			out_answer(o, ev->u.web.token, 404, 0, error_json(o->p, "path: no such call", "refused"));
		break;
	case CTR_STOP: c->stopping = 1; break;
	default: break;
	}
	pump(c, now, o);
	if (c->book && (ev->kind == CTR_TICK || ev->kind == CTR_EXCHANGE))
		want_places(c, now, o);
}

int ctr_idle(const struct ctr *c) { return arrlen(c->all) == 0 && arrlen(c->release) == 0; }

void ctr_open(struct ctr *c, uint64_t id, uint64_t addr, const char *zone, const uint64_t *seeds, int n, int64_t now)
{
	memset(c, 0, sizeof *c);
	c->id = id;
	c->addr = addr;
	c->zone = zone;
	c->budget = 1000;
	c->tok = json_tokener_new();
	if (!c->tok)
		abort();
	apr_pool_create(&c->p, NULL);
	follow_open(&c->f, id, seeds, n, now);
	c->f.zone = zone;
	c->f.counter = 1;
	relay_open(&c->relay, now);
	c->relay.on_value = on_value;
	c->relay.ctx = c;
}

void ctr_close(struct ctr *c)
{
	while (arrlen(c->all))
		xch_drop(c, c->all[0]);
	while (arrlen(c->release))
		release_end(c, 0);
	arrfree(c->release);
	json_tokener_free(c->tok);
	book_free(c->book);
	names_clear(&c->lanes);
	names_clear(&c->tenants);
	names_clear(&c->services);
	names_clear(&c->servers);
	names_clear(&c->weights);
	kept_clear(&c->kept);
	follow_close(&c->f);
	relay_close(&c->relay);
	arrfree(c->sv);
	arrfree(c->line);
	arrfree(c->all);
	arrfree(c->running);
	arrfree(c->stood);
	hmfree(c->by);
	hmfree(c->pair);
	hmfree(c->use);
	apr_pool_destroy(c->p);
}
