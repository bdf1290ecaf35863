#include "snapshot.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"
#include "controller_private.h"
#include "state_machine.h"

static int compare_keys(const void *a, const void *b) { return strcmp(*(char *const *)a, *(char *const *)b); }

static uint8_t *pack_control_state(const struct controller *r, apr_pool_t *p, size_t *n)
{
	struct Nl__CtlState s = NL__CTL_STATE__INIT;
	struct Nl__ConfigSyncReply all = NL__CONFIG_SYNC_REPLY__INIT;
	struct table_row *h = r->ctl.h;
	char **key = apr_palloc(p, ((size_t)shlen(h) + 1) * sizeof *key);

	table_since(&r->ctl, 0, &all, p);
	s.fleet = r->fleet;
	s.edition = r->ctl.edition;
	s.plan = r->ctl.plan;
	s.clock = r->ctl.now.at;
	s.row = all.set;
	s.n_row = all.n_set;
	for (size_t i = 0; i < s.n_row; i++) /* in order, so that equal states pack alike */
		key[i] = h[i].key;
	qsort(key, s.n_row, sizeof *key, compare_keys);
	for (size_t i = 0; i < s.n_row; i++)
		s.row[i] = shget(h, key[i]).row;
	s.feed = r->ctl_feed;
	s.n_feed = (size_t)arrlen(r->ctl_feed);
	s.n_done = (size_t)arrlen(r->ctl_done);
	s.done = apr_palloc(p, (s.n_done + 1) * sizeof *s.done);
	for (size_t i = 0; i < s.n_done; i++) {
		s.done[i] = apr_palloc(p, sizeof *s.done[i]);
		nl__done_op__init(s.done[i]);
		s.done[i]->from = r->ctl_done[i].from;
		s.done[i]->token = r->ctl_done[i].token;
		s.done[i]->status = r->ctl_done[i].status;
	}
	s.doc.data = r->ctl_doc;
	s.doc.len = r->ctl_doc_len;
	s.doc_version = r->ctl_doc_version;
	orders_pack(&r->orders, &s, p);
	retention_pack(r, &s);
	return core_pack(p, &s.base, n);
}

static uint8_t *pack_purge_state(const struct controller *r, apr_pool_t *p, size_t *n)
{
	struct Nl__PurgeState s = NL__PURGE_STATE__INIT;
	struct Nl__FeedMark m[SHARD_COUNT], *pm[SHARD_COUNT];
	struct view_row *h = r->pub.last.h;

	s.ceiling = r->pub.ceiling;
	s.released = r->pub.released;
	s.cleared = r->pub.cleared;
	s.v = r->pub.v;
	s.n_v = (size_t)arrlen(r->pub.v);
	s.last = apr_palloc(p, ((size_t)hmlen(h) + 1) * sizeof *s.last);
	for (ptrdiff_t i = 0; i < hmlen(h); i++) {
		size_t k = s.n_last++;

		for (; k && s.last[k - 1]->tick > h[i].value->tick; k--)
			s.last[k] = s.last[k - 1];
		s.last[k] = h[i].value;
	}
	for (int i = 0; i < SHARD_COUNT; i++) {
		nl__feed_mark__init(&m[i]);
		m[i].feed = (uint32_t)i;
		m[i].index = r->pub.mark[i];
		pm[i] = &m[i];
	}
	s.mark = pm;
	s.n_mark = SHARD_COUNT;
	return core_pack(p, &s.base, n);
}

static uint8_t *pack_service_state(const struct controller_svc *c, apr_pool_t *p, size_t *n)
{
	struct Nl__ServiceState s = NL__SERVICE_STATE__INIT;
	struct controller_claim *h = c->h;
	char **key = apr_palloc(p, ((size_t)shlen(h) + 1) * sizeof *key);
	size_t live = 0;

	s.clock = c->clock;
	s.cleared = c->cleared;
	s.cleared_at = c->cleared_at;
	s.settled = c->settled;
	s.c = apr_palloc(p, ((size_t)shlen(h) + 1) * sizeof *s.c);
	for (ptrdiff_t i = 0; i < shlen(h); i++)
		if (h[i].value.at + CONTROLLER_CLAIM_KEEP >= c->clock)
			key[live++] = h[i].key;
	qsort(key, live, sizeof *key, compare_keys);
	for (size_t i = 0; i < live; i++) {
		struct Nl__ClaimRow *x = apr_palloc(p, sizeof *x);
		char *sep = strchr(key[i], '\x1f');

		nl__claim_row__init(x);
		x->tenant = apr_pstrmemdup(p, key[i], (size_t)(sep - key[i]));
		x->id = sep + 1;
		x->by = shget(h, key[i]).by;
		x->seq = shget(h, key[i]).seq;
		x->at = shget(h, key[i]).at;
		x->given_back = shget(h, key[i]).given_back;
		s.c[s.n_c++] = x;
	}
	s.feed = c->feed;
	s.n_feed = (size_t)arrlen(c->feed);
	s.rolled = apr_palloc(p, ((size_t)shlen(c->rolled) + 1) * sizeof *s.rolled);
	for (ptrdiff_t i = 0; i < shlen(c->rolled); i++) {
		struct Nl__Rolled *x = apr_palloc(p, sizeof *x);
		size_t k = s.n_rolled++;

		nl__rolled__init(x);
		x->service = c->rolled[i].key;
		x->weights = c->rolled[i].value;
		for (; k && strcmp(s.rolled[k - 1]->service, x->service) > 0; k--)
			s.rolled[k] = s.rolled[k - 1];
		s.rolled[k] = x;
	}
	return core_pack(p, &s.base, n);
}

uint8_t *controller_state(const struct controller *r, uint32_t part, apr_pool_t *p, size_t *n)
{
	return part == SHARD_CONTROL ? pack_control_state(r, p, n)
	       : part == SHARD_PURGE ? pack_purge_state(r, p, n)
				     : pack_service_state(&r->svc[part - SHARD_SERVICE], p, n);
}

void free_values(struct Nl__Value ***v)
{
	for (ptrdiff_t i = 0; i < arrlen(*v); i++)
		value_free((*v)[i]);
	arrfree(*v);
}

void clear_service_state(struct controller_svc *s)
{
	shfree(s->h);
	free_values(&s->feed);
	for (ptrdiff_t i = 0; i < shlen(s->rolled); i++)
		free(s->rolled[i].value);
	shfree(s->rolled);
	memset(s, 0, sizeof *s);
	sh_new_strdup(s->h);
	sh_new_strdup(s->rolled);
}

/* NOLINTNEXTLINE(readability-function-size): to be cut, issue 18 */
void snapshot_load(struct controller *r, uint32_t part, apr_pool_t *p)
{
	const struct raft *q = &r->part[part];

	r->epoch[part] = raft_epoch(q->snapshot_term);
	if (part == SHARD_CONTROL) {
		struct Nl__CtlState *s =
		    (struct Nl__CtlState *)core_unpack(p, &nl__ctl_state__descriptor, q->snapshot_len, q->snap);
		struct Nl__ConfigSyncReply all = NL__CONFIG_SYNC_REPLY__INIT;

		table_close(&r->ctl);
		table_open(&r->ctl);
		arrsetlen(r->spare, 0); /* its names were that table's */
		r->spare_edition = 0;
		free_values(&r->ctl_feed);
		arrsetlen(r->ctl_done, 0);
		orders_load(&r->orders, s);
		retention_load(r, s);
		keep_document(r, s ? s->doc.data : NULL, s ? s->doc.len : 0, s ? s->doc_version : 0);
		if (!s)
			return;
		for (size_t i = 0; i < s->n_done; i++) {
			struct controller_done d = { s->done[i]->from, s->done[i]->token, s->done[i]->status };

			arrput(r->ctl_done, d);
		}
		all.whole = 1;
		all.edition = s->edition;
		all.set = s->row;
		all.n_set = s->n_row;
		(void)table_follow(&r->ctl, &all);
		r->ctl.plan = s->plan;
		r->ctl.now.at = s->clock;
		r->ctl.floor = s->edition;
		for (size_t i = 0; i < s->n_feed; i++)
			arrput(r->ctl_feed, value_copy(s->feed[i]));
	} else if (part == SHARD_PURGE) {
		struct Nl__PurgeState *s =
		    (struct Nl__PurgeState *)core_unpack(p, &nl__purge_state__descriptor, q->snapshot_len, q->snap);

		free_values(&r->pub.v);
		view_clear(&r->pub.last);
		memset(&r->pub, 0, sizeof r->pub);
		if (!s)
			return;
		r->pub.ceiling = s->ceiling;
		r->pub.released = s->released;
		r->pub.cleared = s->cleared;
		for (size_t i = 0; i < s->n_v; i++)
			arrput(r->pub.v, value_copy(s->v[i]));
		for (size_t i = 0; i < s->n_last; i++)
			view_apply(&r->pub.last, s->last[i]);
		for (size_t i = 0; i < s->n_mark; i++)
			if (s->mark[i]->feed < SHARD_COUNT)
				r->pub.mark[s->mark[i]->feed] = s->mark[i]->index;
	} else {
		struct controller_svc *c = service_shard(r, part);
		struct Nl__ServiceState *s =
		    (struct Nl__ServiceState *)core_unpack(p, &nl__service_state__descriptor, q->snapshot_len, q->snap);

		clear_service_state(c);
		if (!s)
			return;
		c->clock = s->clock;
		c->cleared = s->cleared;
		c->cleared_at = s->cleared_at;
		c->settled = s->settled;
		for (size_t i = 0; i < s->n_c; i++)
			shput(c->h, apr_pstrcat(p, s->c[i]->tenant, "\x1f", s->c[i]->id, NULL),
			      ((typeof(c->h->value)){ s->c[i]->by, s->c[i]->seq, s->c[i]->at, s->c[i]->given_back }));
		for (size_t i = 0; i < s->n_feed; i++)
			arrput(c->feed, value_copy(s->feed[i]));
		for (size_t i = 0; i < s->n_rolled; i++)
			shput(c->rolled, s->rolled[i]->service, strdup(s->rolled[i]->weights));
	}
}

void snapshot_take(struct controller *r, uint32_t i, struct out *o)
{
	size_t n;
	uint8_t *d;

	if (service_shard(r, i))
		expire_claims(service_shard(r, i));
	d = controller_state(r, i, o->p, &n);
	raft_snapshot(&r->part[i], d, n);
}
