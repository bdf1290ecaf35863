#include "purge_publisher.h"

#include <string.h>

#include "ds.h"
#include "leadership.h"
#include "controller_private.h"

static struct Nl__Value **copy_values(struct Nl__Value *const *v, size_t n, apr_pool_t *p)
{
	struct Nl__Value **c = apr_palloc(p, (n + 1) * sizeof *c);

	for (size_t i = 0; i < n; i++)
		c[i] = (struct Nl__Value *)core_dup(p, &v[i]->base);
	return c;
}

static struct Nl__Value **find_feed(struct controller *r, uint32_t part)
{
	return part == SHARD_CONTROL ? r->ctl_feed : service_shard(r, part) ? service_shard(r, part)->feed : NULL;
}

void on_feed_request(struct controller *r, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	struct Nl__FeedReply *a;
	struct Nl__Value **v;
	size_t n = 0, old = 0;

	if (m->part >= SHARD_COUNT || m->part == SHARD_PURGE)
		return;
	if (!leads_shard(r, m->part, now)) {
		struct Nl__Owner *w = OUT_NEW(o, Nl__Owner, NL__OWNER__INIT);

		w->owner = leader_hint(r, m->part, now);
		out_msg(o, m->addr, m->part, NL__MSG__BODY_OWNER)->owner = w;
		return;
	}
	a = OUT_NEW(o, Nl__FeedReply, NL__FEED_REPLY__INIT);
	a->round = m->feed_ask->round;
	v = find_feed(r, m->part);
	while (n < (size_t)arrlen(v) && v[n]->index <= m->feed_ask->have)
		n++;
	old = n;
	a->n_v = (size_t)arrlen(v) - n;
	a->v = copy_values(v ? v + n : NULL, a->n_v, o->p);
	out_msg(o, m->addr, m->part, NL__MSG__BODY_FEED_REPLY)->feed_reply = a;
	if (old > 64) {
		struct Nl__Op op = NL__OP__INIT;
		struct Nl__Trim t = NL__TRIM__INIT;

		t.feed = m->feed_ask->have;
		op.op_case = NL__OP__OP_TRIM;
		op.trim = &t;
		log_operation(r, m->part, &op, now, o);
	}
}

void on_feed_reply(struct controller *r, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__FeedReply *a = m->feed_reply;
	int asked = 0;

	if (!r->relay.publisher || m->part >= SHARD_COUNT || !leads_shard(r, SHARD_PURGE, now))
		return;
	config_watch_hint(&r->f, m->part, m->addr);
	/* one batch at a time; what does not fit, the feed will say again */
	for (size_t i = 0; i < a->n_v && (asked || r->pending_tick <= r->tick); i++) {
		struct Nl__Op op = NL__OP__INIT;
		uint64_t next = (asked ? r->pending_tick : r->tick) + 1;

		if (!a->v[i]->purge || a->v[i]->index <= r->pub.mark[m->part])
			continue;
		if (next > r->pub.ceiling || asked == CONTROLLER_BATCH)
			break;
		a->v[i]->feed = m->part;
		a->v[i]->tick = next;
		op.op_case = NL__OP__OP_VALUE;
		op.value = a->v[i];
		if (!log_operation(r, SHARD_PURGE, &op, now, o))
			break;
		r->pending_tick = next;
		asked++;
	}
	if (r->pending_tick > r->tick)
		return; /* this feed has not said all yet */
	if (a->round > r->feed_ok[m->part])
		r->feed_ok[m->part] = a->round;
}

static void reserve_ticks(struct controller *r, int64_t now, struct out *o)
{
	struct Nl__Op op = NL__OP__INIT;
	struct Nl__Reserve c = NL__RESERVE__INIT;

	c.ceiling = r->pub.ceiling + PURGE_CHUNK;
	c.released = r->relay.k.released;
	op.op_case = NL__OP__OP_RESERVE;
	op.reserve = &c;
	if (log_operation(r, SHARD_PURGE, &op, now, o))
		r->reserved_for = r->pub.ceiling;
}

void publisher_start(struct controller *r, int64_t now, struct out *o)
{
	struct relay *y = &r->relay;

	know_clear(&y->k);
	y->k.released = y->k.horizon = r->pub.released;
	y->publisher = 1;
	y->born = now;
	arrsetlen(y->down, 0);
	for (ptrdiff_t i = 0; i < hmlen(r->pub.last.h); i++)
		view_apply(&y->w, r->pub.last.h[i].value);
	for (ptrdiff_t i = 0; i < arrlen(r->pub.v); i++)
		relay_publish(y, y->k.horizon + 1, r->pub.v[i]->tick, r->pub.v[i], now, o);
	r->tick = r->pub.ceiling;
	if (raft_epoch(r->part[SHARD_PURGE].term) > r->epoch[SHARD_PURGE]) /* the ceiling rises with the first operation */
		r->tick += CONTROLLER_RECOVERY_SKIP;
	relay_publish(y, y->k.horizon + 1, r->tick, NULL, now, o);
	r->pending_tick = 0;
	r->reserved_for = UINT64_MAX;
	r->tick_at = now;
	for (int i = 0; i < SHARD_COUNT; i++)
		r->feed_ok[i] = 0;
	r->feed_round = 1;
	reserve_ticks(r, now, o);
}

void publisher_tick(struct controller *r, int64_t now, struct out *o)
{
	int all = 1;

	if (now - r->feed_at >= CONTROLLER_FEED) {
		r->feed_at = now;
		r->feed_round++;
		for (uint32_t i = 0; i < SHARD_COUNT; i++) {
			struct Nl__FeedAsk *q;

			if (i == SHARD_PURGE)
				continue;
			if (i != SHARD_CONTROL && r->feed_round > r->feed_ok[i] + 5 && r->feed_round % 5 == 0)
				config_watch_miss(&r->f, i); /* no word for a while: try another controller, then heed its hint */
			q = OUT_NEW(o, Nl__FeedAsk, NL__FEED_ASK__INIT);
			q->have = r->pub.mark[i];
			q->round = r->feed_round;
			out_msg(o, leads_shard(r, i, now) ? o->addr : config_watch_leader_addr(&r->f, i), i, NL__MSG__BODY_FEED_ASK)
			    ->feed_ask = q;
		}
	}
	if (r->pub.ceiling < r->tick + PURGE_CHUNK / 2 && r->reserved_for != r->pub.ceiling)
		reserve_ticks(r, now, o);
	if (now - r->tick_at < PURGE_TICK || r->pending_tick > r->tick || r->tick >= r->pub.ceiling)
		return;
	for (uint32_t i = 0; i < SHARD_COUNT; i++) /* silence waits for every feed */
		all &= i == SHARD_PURGE || r->feed_ok[i] + 2 >= r->feed_round;
	if (!all)
		return;
	r->tick_at = now;
	r->tick++;
	relay_publish(&r->relay, r->tick, r->tick, NULL, now, o);
}
