/* ctr_book: names at the door, and the table as the data plane reads it: immutable, swapped whole. */
#include "ctr_in.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"

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

void ctr_names_clear(struct names *n)
{
	for (ptrdiff_t i = 0; i < arrlen(n->name); i++)
		free(n->name[i]);
	arrfree(n->name);
	shfree(n->h);
}

void ctr_book_free(struct book *b)
{
	if (!b)
		return;
	hmfree(b->share);
	shfree(b->key);
	apr_pool_destroy(b->p);
}

/* Two passes: names first, so that the arrays have their size; then the rows. */
struct book *ctr_book_make(struct ctr *c, int64_t now)
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

void ctr_share_of(const struct book *b, uint32_t lane, uint32_t tenant, uint32_t *share, uint32_t *limit)
{
	struct bk_share *h = b->share;
	ptrdiff_t i = h ? hmgeti(h, (uint64_t)lane << 32 | tenant) : -1;

	*share = i >= 0 ? h[i].value.share : b->tenant[tenant].share;
	*limit = i >= 0 ? h[i].value.limit : UINT32_MAX;
}
