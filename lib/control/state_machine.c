#include "state_machine.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"
#include "controller_private.h"

static void append_to_feed(struct Nl__Value ***feed, uint32_t part, uint64_t index, struct Nl__Purge *p)
{
	struct Nl__Value v = NL__VALUE__INIT;

	v.feed = part;
	v.index = index;
	v.purge = p;
	arrput(*feed, value_copy(&v));
}

static void trim_feed(struct Nl__Value ***feed, uint64_t upto)
{
	size_t n = 0;

	while (n < (size_t)arrlen(*feed) && (*feed)[n]->index <= upto)
		value_free((*feed)[n++]);
	if (n)
		arrdeln(*feed, 0, n);
}

const struct controller_done *find_done_operation(const struct controller *r, uint64_t from, uint64_t token)
{
	for (ptrdiff_t i = arrlen(r->ctl_done) - 1; i >= 0; i--)
		if (r->ctl_done[i].from == from && r->ctl_done[i].token == token)
			return &r->ctl_done[i];
	return NULL;
}

uint32_t order_outcome(const struct order_record *accepted, const struct order_id *id)
{
	return order_same(&accepted->id, id) ? TABLE_DONE : TABLE_KEY_REUSED;
}

void keep_document(struct controller *r, const uint8_t *d, size_t n, uint64_t version)
{
	free(r->ctl_doc);
	r->ctl_doc = malloc(n + 1);
	if (!r->ctl_doc)
		abort();
	if (n)
		memcpy(r->ctl_doc, d, n);
	r->ctl_doc[n] = 0;
	r->ctl_doc_len = n;
	r->ctl_doc_version = version;
}

/* A document is taken in the log's order: one built on another version is late. */
static int apply_document(struct controller *r, const struct Nl__Change *c, struct Nl__Purge ***feed)
{
	int st;

	if (c->doc_base != r->ctl_doc_version)
		return TABLE_OVERTAKEN;
	if (c->doc_version <= r->ctl_doc_version)
		return TABLE_REFUSED;
	st = table_apply(&r->ctl, c, feed);
	if (st != TABLE_DONE)
		return st;
	keep_document(r, c->doc.data, c->doc.len, c->doc_version);
	return TABLE_DONE;
}

/* A change may be proposed again while its answer is lost, and an order sent again by its operator: it is applied once. */
static uint32_t apply_change(struct controller *r, uint64_t index, const struct Nl__Op *op)
{
	const struct controller_done *old = op->from ? find_done_operation(r, op->from, op->token) : NULL;
	struct controller_done d = { op->from, op->token, 0 };
	struct Nl__Purge **p = NULL;
	struct order_id id = order_unpack(op->order);
	const struct order_record *accepted = orders_find(&r->orders, &id);
	int document = op->change->doc_version != 0, st;

	if (old)
		return old->status;
	if (accepted)
		return order_outcome(accepted, &id);
	st = document ? apply_document(r, op->change, &p) : table_apply(&r->ctl, op->change, &p);
	if (st == TABLE_DONE)
		orders_add(&r->orders, &id, document ? ORDER_DOCUMENTS : ORDER_CHANGES,
			   document ? r->ctl_doc_version : r->ctl.edition);
	d.status = (uint32_t)st;
	if (d.from)
		arrput(r->ctl_done, d);
	if (arrlen(r->ctl_done) > CONTROLLER_DONE)
		arrdel(r->ctl_done, 0);

	for (ptrdiff_t i = 0; i < arrlen(p); i++) {
		append_to_feed(&r->ctl_feed, SHARD_CONTROL, index << 16 | (uint64_t)i, p[i]);
		nl__purge__free_unpacked(p[i], NULL);
	}
	arrfree(p);
	if (st == TABLE_DONE)
		retention_rows(r, index);
	return (uint32_t)st;
}

/* An operator's call to clear may be proposed again while its answer is lost, too. */
static uint32_t apply_clear(struct controller *r, uint64_t index, const struct Nl__Op *op)
{
	const struct controller_done *old = op->from ? find_done_operation(r, op->from, op->token) : NULL;
	struct controller_done d = { op->from, op->token, 0 };
	struct order_id id = order_unpack(op->order);
	const struct order_record *accepted = orders_find(&r->orders, &id);

	if (old)
		return old->status;
	if (accepted)
		return order_outcome(accepted, &id);
	d.status = retention_apply(r, index, op->clear);
	if (d.status == TABLE_DONE)
		orders_add(&r->orders, &id, ORDER_UNVERSIONED, r->ctl.edition);
	if (d.from)
		arrput(r->ctl_done, d);
	if (arrlen(r->ctl_done) > CONTROLLER_DONE)
		arrdel(r->ctl_done, 0);
	return d.status;
}

/* Once context is cleared, what a part logged before goes from its disks, and again when no claim is left from then. */
static void apply_cleared(struct controller *r, uint32_t part, const struct Nl__Trim *t)
{
	struct controller_svc *s = service_shard(r, part);
	uint64_t *cleared = s ? &s->cleared : part == SHARD_CONTROL ? &r->ret.cleared : &r->pub.cleared;

	if (t->cleared <= *cleared && !t->settled)
		return;
	if (s && t->cleared > *cleared) {
		s->cleared_at = s->clock;
		s->settled = 0;
	} else if (s) {
		s->settled = 1;
	}
	*cleared = t->cleared > *cleared ? t->cleared : *cleared;
	r->fresh[part] = 1;
}

static uint32_t apply_claim(struct controller_svc *s, const struct Nl__Claim *c, apr_pool_t *p)
{
	char *key = apr_pstrcat(p, c->tenant, "\x1f", c->id, NULL);
	ptrdiff_t i = shgeti(s->h, key);
	int mine;

	if (i >= 0 && s->h[i].value.at + CONTROLLER_CLAIM_KEEP < s->clock) {
		(void)shdel(s->h, key);
		i = -1;
	}
	mine = i >= 0 && s->h[i].value.by == c->by && s->h[i].value.seq == c->seq;
	if (c->release) { /* remembered, since the claim itself may still be on its way, here or once more */
		if (i < 0 || mine)
			shput(s->h, key, ((typeof(s->h->value)){ c->by, c->seq, s->clock, 1 }));
		return TABLE_DONE;
	}
	if (mine ? s->h[i].value.given_back : i >= 0 && !s->h[i].value.given_back)
		return TABLE_REFUSED;
	if (!mine)
		shput(s->h, key, ((typeof(s->h->value)){ c->by, c->seq, s->clock, 0 }));
	return TABLE_DONE;
}

/* Claims past their time count as absent when looked up; now and then they go. */
void expire_claims(struct controller_svc *s)
{
	for (ptrdiff_t i = shlen(s->h) - 1; i >= 0; i--)
		if (s->h[i].value.at + CONTROLLER_CLAIM_KEEP < s->clock)
			(void)shdel(s->h, s->h[i].key);
}

static void apply_rollout(struct controller *r, uint32_t part, uint64_t index, const struct Nl__Rolled *c)
{
	struct controller_svc *s = service_shard(r, part);
	ptrdiff_t i = shgeti(s->rolled, c->service);
	char *now_on = strdup(c->weights);

	if (i >= 0 && strcmp(s->rolled[i].value, c->weights)) {
		struct Nl__Purge p = NL__PURGE__INIT;

		p.why = PURGE_WEIGHTS;
		p.service = c->service;
		p.weights = s->rolled[i].value;
		append_to_feed(&s->feed, part, index << 16, &p);
	}
	if (i >= 0)
		free(s->rolled[i].value);
	shput(s->rolled, c->service, now_on);
}

static void apply_value(struct controller *r, const struct Nl__Value *v, int64_t now, struct out *o)
{
	struct controller_pub *b = &r->pub;
	int fresh = v->feed < SHARD_COUNT && v->index > b->mark[v->feed] && v->purge;

	if (fresh) {
		b->mark[v->feed] = v->index;
		arrput(b->v, value_copy(v));
		view_apply(&b->last, v);
	}
	if (r->relay.publisher && v->tick > r->tick) { /* logged, so it may go out: value and silence before it */
		relay_publish(&r->relay, r->tick + 1, v->tick, fresh ? v : NULL, now, o);
		r->tick = v->tick;
		if (r->pending_tick <= r->tick && r->tick < b->ceiling) { /* and one tick of silence after it */
			r->tick++;
			relay_publish(&r->relay, r->tick, r->tick, NULL, now, o);
		}
	}
}

static void apply_reservation(struct controller *r, const struct Nl__Reserve *c)
{
	size_t n = 0;

	if (c->ceiling > r->pub.ceiling)
		r->pub.ceiling = c->ceiling;
	while (n < (size_t)arrlen(r->pub.v) && r->pub.v[n]->tick <= c->released)
		value_free(r->pub.v[n++]);
	if (n)
		arrdeln(r->pub.v, 0, n);
	if (c->released > r->pub.released)
		r->pub.released = c->released;
}

/* The first operation after a recovery: numbers that the lost members may have given out are not given out again. */
static void enter_epoch(struct controller *r, uint32_t part, uint64_t epoch)
{
	if (epoch <= r->epoch[part])
		return;
	r->epoch[part] = epoch;
	if (part == SHARD_CONTROL) { /* every node takes the table whole */
		r->ctl.edition += CONTROLLER_RECOVERY_SKIP;
		r->ctl.floor = r->ctl.plan = r->ctl.edition;
	}
	if (part == SHARD_PURGE)
		r->pub.ceiling += CONTROLLER_RECOVERY_SKIP;
}

struct applied state_machine_apply(struct controller *r, uint32_t part, uint64_t entry_index, const struct raft_entry *e,
				   int64_t now, struct out *o)
{
	uint64_t index = raft_epoch(e->term) << CONTROLLER_EPOCH_SHIFT | entry_index; /* of feeds: above all of the epoch before */
	struct Nl__Op *op = (struct Nl__Op *)core_unpack(o->p, &nl__op__descriptor, e->len, e->data);
	struct order_id id = order_unpack(op ? op->order : NULL);
	const struct order_record *accepted;
	uint32_t st = TABLE_REFUSED;

	enter_epoch(r, part, raft_epoch(e->term));
	if (op && service_shard(r, part))
		service_shard(r, part)->clock += op->clock;
	if (op && part == SHARD_CONTROL)
		r->ctl.now = (struct group_moment){ op->at > r->ctl.now.at ? op->at : r->ctl.now.at, e->term };
	if (op)
		switch (op->op_case) {
		case NL__OP__OP_CHANGE:
			if (part == SHARD_CONTROL)
				st = apply_change(r, index, op);
			break;
		case NL__OP__OP_RESERVE:
			if (part == SHARD_PURGE) {
				apply_reservation(r, op->reserve);
				st = TABLE_DONE;
			}
			break;
		case NL__OP__OP_VALUE:
			if (part == SHARD_PURGE) {
				apply_value(r, op->value, now, o);
				st = TABLE_DONE;
			}
			break;
		case NL__OP__OP_CLAIM:
			if (service_shard(r, part))
				st = apply_claim(service_shard(r, part), op->claim, o->p);
			break;
		case NL__OP__OP_ROLLED:
			if (service_shard(r, part)) {
				apply_rollout(r, part, index, op->rolled);
				st = TABLE_DONE;
			} else if (part == SHARD_CONTROL) {
				rollout_order_logged(r, op->rolled->server, now);
				st = TABLE_DONE;
			}
			break;
		case NL__OP__OP_TRIM:
			if (part != SHARD_PURGE)
				trim_feed(part == SHARD_CONTROL ? &r->ctl_feed : &service_shard(r, part)->feed, op->trim->feed);
			if (op->trim->cleared)
				apply_cleared(r, part, op->trim);
			st = TABLE_DONE;
			break;
		case NL__OP__OP_CLEAR:
			if (part == SHARD_CONTROL)
				st = apply_clear(r, index, op);
			break;
		default: break;
		}
	accepted = orders_find(&r->orders, &id);
	return (struct applied){ st, accepted ? accepted->version : r->ctl.edition };
}
