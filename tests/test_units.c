/* Small parts against slow plain models. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>
#include <cmocka.h>

#include "router.h"
#include "ds.h"
#include "kept.h"
#include "raft.h"
#include "purge.h"
#include "table.h"

enum { TICKS = 200 };

static struct Nl__Value *value(uint64_t tick, struct Nl__Value *v, struct Nl__Purge *p, char *tenant)
{
	nl__value__init(v);
	nl__purge__init(p);
	p->why = PURGE_TENANT;
	p->tenant = tenant;
	v->purge = p;
	v->tick = tick;
	return v;
}

/* Knowledge in any order, with losses and repeats, against an array of ticks. */
static void knowledge_against_plain_array(void **st)
{
	(void)st;
	for (uint64_t seed = 1; seed <= 300; seed++) {
		uint64_t rng = seed;
		char known[TICKS + 1] = { 0 }, is_value[TICKS + 1] = { 0 };
		struct know k = { 0 }, twin = { 0 };
		struct out o = { 0 };
		struct Nl__Knowledge m = NL__KNOWLEDGE__INIT;
		struct tick_range gap[TICKS];
		uint64_t horizon, reach, released = 0;
		int gaps, n;

		apr_pool_create(&o.p, NULL);
		for (int i = 1; i <= TICKS; i++)
			is_value[i] = core_rand(&rng) % 7 == 0;
		known[0] = 1;
		for (int step = 0; step < 60; step++) {
			uint64_t a = 1 + core_rand(&rng) % TICKS, b = a + core_rand(&rng) % 9;
			int v = 0, fresh = 0, got;
			struct Nl__Value val;
			struct Nl__Purge p;

			if (b > TICKS)
				b = TICKS;
			for (uint64_t i = a; i <= b; i++) /* an increment carries one value at most */
				if (is_value[i]) {
					if (v) {
						b = i - 1;
						break;
					}
					v = (int)i;
				}
			for (uint64_t i = a; i <= b; i++) {
				fresh |= !known[i];
				known[i] = 1;
			}
			got = know_add(&k, a, b, v ? value((uint64_t)v, &val, &p, "t") : NULL);
			assert_int_equal(got, fresh);
			for (horizon = 0; horizon < TICKS && known[horizon + 1]; horizon++)
				;
			for (reach = TICKS; reach > horizon && !known[reach]; reach--)
				;
			assert_int_equal(k.horizon, horizon);
			assert_int_equal(know_reach(&k), reach);
			gaps = 0;
			for (uint64_t i = horizon + 1; i <= reach; i++)
				gaps += !known[i] && known[i - 1];
			n = know_gaps(&k, gap, TICKS);
			assert_int_equal(n, gaps);
			for (int g = 0; g < n; g++)
				for (uint64_t i = gap[g].a; i <= gap[g].b; i++)
					assert_false(known[i]);
			if (core_rand(&rng) % 9 == 0 && horizon) {
				released = 1 + core_rand(&rng) % horizon;
				know_release(&k, released);
				released = k.released;
			}
		}
		/* what it tells from its release on is all it knows, values and silence alike */
		assert_false(know_tell(&k, released ? released : 0, TICKS, &m, &o));
		assert_true(know_tell(&k, released + 1, TICKS, &m, &o));
		twin.horizon = twin.released = released;
		for (size_t i = 0; i < m.n_inc; i++)
			know_add(&twin, m.inc[i]->a, m.inc[i]->b, m.inc[i]->value);
		assert_int_equal(twin.horizon, k.horizon);
		assert_int_equal(know_reach(&twin), know_reach(&k));
		n = 0;
		for (uint64_t i = released + 1; i <= TICKS; i++)
			if (known[i] && is_value[i])
				assert_int_equal(twin.v[n++]->tick, i);
		assert_int_equal(n, arrlen(twin.v));
		know_clear(&k);
		know_clear(&twin);
		apr_pool_destroy(o.p);
	}
}

/* The view drops what was made before the tick, and a late report or a late value revives nothing. */
static void view_against_plain_list(void **st)
{
	static char *names[] = { "a", "b", "c" };
	struct {
		uint64_t tick;
		int who;
	} list[100];

	(void)st;
	for (uint64_t seed = 1; seed <= 100; seed++) {
		struct view w = { 0 };
		uint64_t rng = seed;

		for (int i = 0; i < 100; i++) {
			struct Nl__Value v;
			struct Nl__Purge p;

			list[i].tick = 1 + core_rand(&rng) % 500; /* in no order */
			list[i].who = (int)(core_rand(&rng) % 3);
			view_apply(&w, value(list[i].tick, &v, &p, names[list[i].who]));
			for (int q = 0; q < 5; q++) {
				uint64_t stamp = core_rand(&rng) % 520;
				int who = (int)(core_rand(&rng) % 3), gone = 0;

				for (int k = 0; k <= i; k++)
					gone |= list[k].who == who && stamp < list[k].tick;
				assert_int_equal(view_allows(&w, "s", "w", names[who], "x", stamp), !gone);
			}
		}
		view_clear(&w);
	}
}

/* A relay whose own horizon stands still cannot make another's look current, by a snapshot or by old ticks. */
static void what_is_old_stays_old(void **st)
{
	struct relay a, b;
	struct out o = { 0 };
	struct Nl__Msg m = NL__MSG__INIT;
	struct Nl__Curiosity c = NL__CURIOSITY__INIT;
	int64_t now = 100000;

	(void)st;
	apr_pool_create(&o.p, NULL);
	relay_open(&a, now);
	relay_open(&b, now);
	a.publisher = 1;
	relay_publish(&a, 1, 10, NULL, now, &o);
	a.publisher = 0; /* cut off from here on */
	now += 20000;
	c.snap = 1;
	c.asked = now;
	m.body_case = NL__MSG__BODY_CURIOSITY;
	m.curiosity = &c;
	m.id = 2;
	out_clear(&o);
	relay_msg(&a, &m, now, &o);
	assert_int_equal(arrlen(o.v), 1);
	relay_msg(&b, o.v[0].u.send.msg, now, &o);
	assert_int_equal(b.k.horizon, 10);
	assert_false(relay_current(&b, now));
	a.publisher = 1;
	out_clear(&o);
	relay_publish(&a, 11, 11, NULL, now, &o);
	assert_int_equal(arrlen(o.v), 1);
	relay_msg(&b, o.v[0].u.send.msg, now, &o);
	assert_true(relay_current(&b, now));
	assert_false(relay_current(&b, now + PURGE_STALE));
	/* what was told then, and is read much later, is no news; nor is what names no asking of ours */
	out_clear(&o);
	relay_publish(&a, 12, 12, NULL, now, &o);
	now += 20000;
	relay_msg(&b, o.v[0].u.send.msg, now, &o);
	assert_int_equal(b.k.horizon, 12);
	assert_false(relay_current(&b, now));
	out_clear(&o);
	relay_publish(&a, 13, 13, NULL, now, &o);
	o.v[0].u.send.msg->knowledge->asked = 0;
	relay_msg(&b, o.v[0].u.send.msg, now, &o);
	assert_int_equal(b.k.horizon, 13);
	assert_false(relay_current(&b, now));
	relay_close(&a);
	relay_close(&b);
	arrfree(o.v);
	apr_pool_destroy(o.p);
}

static int of_server(const void *ctx, uint64_t id, const struct kept_copy *c)
{
	(void)id;
	return c->server == *(const uint32_t *)ctx;
}

static void index_against_plain_table(void **st)
{
	(void)st;
	for (uint64_t seed = 1; seed <= 100; seed++) {
		struct kept k = { 0 };
		uint64_t rng = seed, plain[8][4][3] = { { { 0 } } },
			 seen[8][4][3] = { { { 0 } } }; /* part, server, maker -> stamp + 1 */
		size_t n = 0;

		for (int i = 0; i < 300; i++) {
			struct kept_copy c = { (uint32_t)(core_rand(&rng) % 4),
					       (uint32_t)(core_rand(&rng) % 3),
					       0,
					       1,
					       core_rand(&rng) % 90,
					       (uint64_t)i };
			uint64_t h = core_rand(&rng) % 8;

			if (i % 50 == 49) {
				uint64_t least = (uint64_t)i - 20;

				kept_sweep(&k, c.server, least);
				for (int p = 0; p < 8; p++)
					for (int m = 0; m < 3; m++)
						if (seen[p][c.server][m] < least)
							plain[p][c.server][m] = 0;
			} else if (i % 70 == 69) {
				kept_drop(&k, of_server, &c.server);
				for (int p = 0; p < 8; p++)
					memset(plain[p][c.server], 0, sizeof plain[p][c.server]);
			} else {
				kept_put(&k, h, &c);
				plain[h][c.server][c.maker] = c.stamp + 1;
				seen[h][c.server][c.maker] = (uint64_t)i;
			}
		}
		for (int p = 0; p < 8; p++)
			for (uint32_t s = 0; s < 4; s++)
				for (uint32_t m = 0; m < 3; m++) {
					struct kept_copy *v = kept_get(&k, (uint64_t)p);
					uint64_t got = 0;

					for (ptrdiff_t i = 0; i < arrlen(v); i++)
						if (v[i].server == s && v[i].maker == m)
							got = v[i].stamp + 1;
					assert_int_equal(got, plain[p][s][m]);
					n += got != 0;
				}
		assert_int_equal(n, k.n);
		kept_clear(&k);
	}
}

/* A follower that takes changes, or the whole after falling behind, ends with the owner's table. */
static void table_followers_end_alike(void **st)
{
	apr_pool_t *p;

	(void)st;
	apr_pool_create(&p, NULL);
	for (uint64_t seed = 1; seed <= 30; seed++) {
		struct table t, f;
		uint64_t rng = seed, last = 0;

		table_open(&t);
		table_open(&f);
		for (int i = 0; i < 1500; i++) {
			struct Nl__Change c = NL__CHANGE__INIT;
			struct Nl__Row r = NL__ROW__INIT, *rows[1] = { &r };
			char name[20];

			snprintf(name, sizeof name, "t%d", (int)(core_rand(&rng) % 700));
			r.kind = NL__KIND__TENANT;
			r.name = name;
			r.share = 1 + (uint32_t)i;
			r.limit = 1;
			c.any = 1;
			if (core_rand(&rng) % 2) {
				c.set = rows;
				c.n_set = 1;
			} else {
				c.del = rows;
				c.n_del = 1;
			}
			assert_int_equal(table_apply(&t, &c, NULL), TABLE_DONE);
			if (core_rand(&rng) % 40 == 0 || i == 1499) {
				struct Nl__ConfigSyncReply a = NL__CONFIG_SYNC_REPLY__INIT;

				table_since(&t, f.edition, &a, p);
				assert_true(table_follow(&f, &a));
				assert_int_equal(f.edition, t.edition);
				assert_int_equal(shlen(f.h), shlen(t.h));
				for (ptrdiff_t k = 0; k < shlen(t.h); k++) {
					const struct Nl__Row *x = table_get(&f, NL__KIND__TENANT, t.h[k].value.row->name);

					assert_non_null(x);
					assert_int_equal(x->share, t.h[k].value.row->share);
				}
				/* an older answer, late, changes nothing: neither a change nor the whole */
				a.edition = last;
				assert_true(last == 0 || !table_follow(&f, &a));
				a.whole = 1;
				assert_true(last == 0 || !table_follow(&f, &a));
				assert_int_equal(f.edition, t.edition);
				last = t.edition - 1;
			}
		}
		table_close(&t);
		table_close(&f);
	}
	apr_pool_destroy(p);
}

static void bad_changes_name_the_field(void **st)
{
	static const struct {
		const char *body, *field;
	} bad[] = {
		{ "[]", "body" },
		{ "{\"sett\":[]}", "sett" },
		{ "{}", "set" },
		{ "{\"expect\":\"1\",\"set\":[]}", "expect" },
		{ "{\"set\":{}}", "set" },
		{ "{\"set\":[{\"kind\":\"lan\"}]}", "kind" },
		{ "{\"set\":[{\"kind\":\"lane\",\"name\":\"a\",\"service\":\"s\",\"limit\":5,\"weights\":\"w\"}]}", "weights" },
		{ "{\"set\":[{\"kind\":\"lane\",\"name\":\"a\",\"service\":\"s\",\"limit\":-1}]}", "limit" },
		{ "{\"set\":[{\"kind\":\"lane\",\"name\":\"a\",\"service\":\"s\",\"limit\":0}]}", "limit" },
		{ "{\"set\":[{\"kind\":\"lane\",\"name\":\"a\",\"limit\":5}]}", "service" },
		{ "{\"set\":[{\"kind\":\"tenant\",\"name\":\"a b\",\"share\":1,\"limit\":1}]}", "name" },
		{ "{\"set\":[{\"kind\":\"tenant\",\"name\":\"a\",\"share\":1001,\"limit\":1}]}", "share" },
		{ "{\"set\":[{\"kind\":\"server\",\"name\":\"a\",\"service\":\"s\",\"addr\":\"1.2.3.4\"}]}", "addr" },
		{ "{\"set\":[{\"kind\":\"server\",\"name\":\"a\",\"service\":\"s\",\"addr\":\"1.2.3.4:5\",\"state\":\"gone\"}]}",
		  "state" },
		{ "{\"set\":[{\"kind\":\"key\",\"name\":\"abc\",\"tenant\":\"t\"}]}", "name" },
		{ "{\"del\":[{\"kind\":\"tenant\",\"name\":\"nobody\"}]}", "no such row" },
	};
	struct table t;
	apr_pool_t *p;

	(void)st;
	apr_pool_create(&p, NULL);
	table_open(&t);
	for (size_t i = 0; i < sizeof bad / sizeof *bad; i++) {
		const char *why = NULL;
		struct Nl__Change *c = table_change_parse(bad[i].body, p, &why);

		if (c)
			why = table_check(&t, c, p);
		if (!why || !strstr(why, bad[i].field))
			fail_msg("%s: said \"%s\", which does not name %s", bad[i].body, why ? why : "", bad[i].field);
	}
	{ /* one that is too large is refused whole */
		struct Nl__Change c = NL__CHANGE__INIT;
		struct Nl__Row r = NL__ROW__INIT, *rows[1] = { &r };

		r.kind = NL__KIND__TENANT;
		r.name = "a";
		r.share = r.limit = 1;
		r.zone = apr_palloc(p, TABLE_MAX + 1);
		memset(r.zone, 'z', TABLE_MAX);
		r.zone[TABLE_MAX] = 0;
		c.set = rows;
		c.n_set = 1;
		assert_non_null(strstr(table_check(&t, &c, p), "larger"));
	}
	{ /* a lane keeps its service: its ids are claimed in that service's part */
		const char *why = NULL, *lane = "{\"set\":[{\"kind\":\"lane\",\"name\":\"a\",\"service\":\"%s\",\"limit\":%d}]}";
		struct Nl__Change *c = table_change_parse(apr_psprintf(p, lane, "s", 5), p, &why);

		assert_null(table_check(&t, c, p));
		assert_int_equal(table_apply(&t, c, NULL), TABLE_DONE);
		assert_null(table_check(&t, table_change_parse(apr_psprintf(p, lane, "s", 6), p, &why), p));
		assert_non_null(
		    strstr(table_check(&t, table_change_parse(apr_psprintf(p, lane, "other", 5), p, &why), p), "service"));
	}
	table_close(&t);
	apr_pool_destroy(p);
}

/* ---- a group's member alone, its messages and syncs given by hand ---- */

struct bench {
	struct raft p;
	struct out o;
	int64_t now;
};

static void bench_open(struct bench *b)
{
	struct raft_member m[3] = { { .id = 1, .addr = 101, .voter = 1 },
				    { .id = 2, .addr = 102, .voter = 1 },
				    { .id = 3, .addr = 103, .voter = 1 } };

	memset(b, 0, sizeof *b);
	apr_pool_create(&b->o.p, NULL);
	b->o.id = 1;
	b->o.addr = 101;
	b->now = 100000;
	raft_open(&b->p, 0, 1, 5, NULL, b->now);
	raft_bootstrap(&b->p, m, 3, b->now, &b->o);
	raft_flush(&b->p, b->now, &b->o);
	raft_synced(&b->p, b->p.seq, b->now, &b->o);
	out_clear(&b->o);
	b->now += 5000;
}

static void bench_close(struct bench *b)
{
	raft_close(&b->p);
	arrfree(b->o.v);
	apr_pool_destroy(b->o.p);
}

static struct Nl__Msg *said(struct bench *b, int body)
{
	for (ptrdiff_t i = 0; i < arrlen(b->o.v); i++)
		if (b->o.v[i].kind == CMD_SEND && (int)b->o.v[i].u.send.msg->body_case == body)
			return b->o.v[i].u.send.msg;
	return NULL;
}

static void hear(struct bench *b, uint64_t from, struct Nl__Msg *m)
{
	m->id = from;
	m->addr = 100 + from;
	raft_receive(&b->p, m, b->now, &b->o);
	raft_flush(&b->p, b->now, &b->o);
}

static void hear_vote(struct bench *b, uint64_t from, uint64_t term, uint64_t last, uint64_t last_term)
{
	struct Nl__Msg m = NL__MSG__INIT;
	struct Nl__VoteAsk a = NL__VOTE_ASK__INIT;

	a.term = term;
	a.last = last;
	a.last_term = last_term;
	m.body_case = NL__MSG__BODY_VOTE_ASK;
	m.vote_ask = &a;
	out_clear(&b->o);
	hear(b, from, &m);
}

static void hear_ack(struct bench *b, uint64_t from, uint64_t match)
{
	struct Nl__Msg m = NL__MSG__INIT;
	struct Nl__AppendReply a = NL__APPEND_REPLY__INIT;

	a.term = b->p.term;
	a.ok = 1;
	a.match = match;
	a.round = b->p.round;
	m.body_case = NL__MSG__BODY_APPEND_REPLY;
	m.append_reply = &a;
	hear(b, from, &m);
}

static void nothing_is_said_before_the_disk_has_it(void **st)
{
	struct bench b;
	struct Nl__Msg m = NL__MSG__INIT, *r;
	struct Nl__Append a = NL__APPEND__INIT;
	struct Nl__Entry e = NL__ENTRY__INIT, *es[1] = { &e };

	(void)st;
	bench_open(&b);
	/* a vote */
	hear_vote(&b, 2, 5, 1, 1);
	assert_null(said(&b, NL__MSG__BODY_VOTE_REPLY));
	raft_synced(&b.p, b.p.seq, b.now, &b.o);
	r = said(&b, NL__MSG__BODY_VOTE_REPLY);
	assert_non_null(r);
	assert_true(r->vote_reply->granted);
	/* one vote a term, and none for a log that lacks what ours has */
	hear_vote(&b, 3, 5, 1, 1);
	assert_false(said(&b, NL__MSG__BODY_VOTE_REPLY)->vote_reply->granted);
	hear_vote(&b, 3, 6, 0, 0);
	r = said(&b, NL__MSG__BODY_VOTE_REPLY);
	assert_non_null(r);
	assert_false(r->vote_reply->granted);
	/* an entry */
	a.term = 6;
	a.prev = 1;
	a.prev_term = 1;
	a.e = es;
	a.n_e = 1;
	a.commit = 2;
	e.term = 6;
	m.body_case = NL__MSG__BODY_APPEND;
	m.append = &a;
	out_clear(&b.o);
	hear(&b, 2, &m);
	assert_null(said(&b, NL__MSG__BODY_APPEND_REPLY)); /* nothing new to say yet */
	a.round = 1;
	a.prev = 2;
	a.prev_term = 6;
	a.n_e = 0;
	hear(&b, 2, &m); /* a round is answered at once, but vouches only for what is synced */
	r = said(&b, NL__MSG__BODY_APPEND_REPLY);
	assert_non_null(r);
	assert_int_equal(r->append_reply->match, 1);
	assert_int_equal(r->append_reply->round, 1);
	out_clear(&b.o);
	raft_synced(&b.p, b.p.seq, b.now, &b.o);
	assert_int_equal(said(&b, NL__MSG__BODY_APPEND_REPLY)->append_reply->match, 2);
	bench_close(&b);
}

static void an_owner_counts_itself_once_synced(void **st)
{
	struct bench b;
	struct Nl__Msg m = NL__MSG__INIT;
	struct Nl__VoteReply v = NL__VOTE_REPLY__INIT;
	uint64_t i;

	(void)st;
	bench_open(&b);
	raft_tick(&b.p, b.now, &b.o);
	assert_int_equal(b.p.role, RAFT_PRE_CANDIDATE);
	v.term = b.p.term + 1;
	v.granted = v.pre = 1;
	m.body_case = NL__MSG__BODY_VOTE_REPLY;
	m.vote_reply = &v;
	hear(&b, 2, &m);
	assert_int_equal(b.p.role, RAFT_CANDIDATE);
	v.pre = 0;
	hear(&b, 2, &m);
	assert_int_equal(b.p.role, RAFT_CANDIDATE); /* its own vote is not on the disk yet */
	raft_synced(&b.p, b.p.seq, b.now, &b.o);
	assert_int_equal(b.p.role, RAFT_LEADER);
	raft_flush(&b.p, b.now, &b.o);
	raft_synced(&b.p, b.p.seq, b.now, &b.o);
	raft_tick(&b.p, b.now, &b.o);
	hear_ack(&b, 2, b.p.term_start);
	assert_true(raft_has_lease(&b.p, b.now));
	i = raft_propose(&b.p, (const uint8_t *)"x", 1, b.now);
	assert_true(i > 0);
	raft_flush(&b.p, b.now, &b.o);
	hear_ack(&b, 2, i);
	assert_true(b.p.commit < i); /* one member and an unsynced owner are no majority */
	raft_synced(&b.p, b.p.seq, b.now, &b.o);
	assert_int_equal(b.p.commit, i);
	/* its disk stalls: it gives up, and says so */
	raft_propose(&b.p, (const uint8_t *)"y", 1, b.now);
	raft_flush(&b.p, b.now, &b.o);
	out_clear(&b.o);
	b.now += RAFT_SYNC_STALL_MS + 1;
	raft_tick(&b.p, b.now, &b.o);
	assert_int_equal(b.p.role, RAFT_FOLLOWER);
	assert_non_null(said(&b, NL__MSG__BODY_GIVE_UP));
	bench_close(&b);
}

/* Back after a fall, with a log of term 3: asks what the two others own. */
static void bench_return(struct bench *b)
{
	struct Nl__Members ms = NL__MEMBERS__INIT;
	struct Nl__Member v[3], *pv[3];
	struct raft_entry e[2] = { { 1, RAFT_ENTRY_MEMBERS, 0, NULL }, { 3, RAFT_ENTRY_NOOP, 0, (uint8_t *)"" } };
	struct raft_saved saved = { .term = 3, .vote = 2, .log_from = 1, .e = e, .n = 2 };

	memset(b, 0, sizeof *b);
	apr_pool_create(&b->o.p, NULL);
	b->o.id = 1;
	b->o.addr = 101;
	b->now = 100000;
	for (int i = 0; i < 3; i++) {
		nl__member__init(&v[i]);
		v[i].id = (uint64_t)i + 1;
		v[i].addr = 101 + (uint64_t)i;
		v[i].voter = 1;
		pv[i] = &v[i];
	}
	ms.n_m = 3;
	ms.m = pv;
	e[0].len = nl__members__get_packed_size(&ms);
	e[0].data = apr_palloc(b->o.p, e[0].len + 1);
	nl__members__pack(&ms, e[0].data);
	raft_open(&b->p, 0, 1, 5, &saved, b->now);
	raft_tick(&b->p, b->now, &b->o);
}

static void hear_idle(struct bench *b, uint64_t from, uint64_t life, int owner, uint64_t last_term, uint64_t members_at)
{
	struct Nl__Msg m = NL__MSG__INIT;
	struct Nl__ProbeReply r = NL__PROBE_REPLY__INIT;

	r.life = life;
	r.owner = owner;
	r.last_term = last_term;
	r.members_at = members_at;
	m.body_case = NL__MSG__BODY_PROBE_REPLY;
	m.probe_reply = &r;
	hear(b, from, &m);
}

static void a_promise_from_before_a_fall_ends_when_nobody_owns(void **st)
{
	struct bench b;
	uint64_t life;

	(void)st;
	/* both others own nothing: it votes at once */
	bench_return(&b);
	assert_non_null(said(&b, NL__MSG__BODY_PROBE));
	life = said(&b, NL__MSG__BODY_PROBE)->probe->life;
	hear_idle(&b, 2, life, 0, 3, 1);
	hear_idle(&b, 2, life, 0, 3, 1);
	hear_vote(&b, 2, 5, 2, 3);
	assert_false(said(&b, NL__MSG__BODY_VOTE_REPLY)->vote_reply->granted); /* not before all have said so */
	hear_idle(&b, 9, life, 0, 3, 1);                                       /* nobody of ours */
	hear_idle(&b, 3, life ^ 1, 0, 3, 1);                                   /* said to another life */
	hear_vote(&b, 2, 5, 2, 3);
	assert_false(said(&b, NL__MSG__BODY_VOTE_REPLY)->vote_reply->granted);
	hear_idle(&b, 3, life, 0, 3, 1);
	hear_vote(&b, 2, 5, 2, 3);
	raft_synced(&b.p, b.p.seq, b.now, &b.o);
	assert_true(said(&b, NL__MSG__BODY_VOTE_REPLY)->vote_reply->granted);
	bench_close(&b);

	/* an owner, a later term, or later members that we do not know: the promise is waited out */
	for (int k = 0; k < 3; k++) {
		bench_return(&b);
		life = said(&b, NL__MSG__BODY_PROBE)->probe->life;
		hear_idle(&b, 3, life, k == 0, k == 1 ? 4 : 3, k == 2 ? 2 : 1);
		hear_idle(&b, 2, life, 0, 3, 1);
		hear_idle(&b, 3, life, 0, 3, 1);
		hear_vote(&b, 2, 5, 2, 3);
		assert_false(said(&b, NL__MSG__BODY_VOTE_REPLY)->vote_reply->granted);
		b.now += RAFT_LEASE_MS;
		hear_vote(&b, 2, 5, 2, 3);
		raft_synced(&b.p, b.p.seq, b.now, &b.o);
		assert_true(said(&b, NL__MSG__BODY_VOTE_REPLY)->vote_reply->granted);
		bench_close(&b);
	}

	/* an owner heard since: its lease holds, whatever the others said before */
	bench_return(&b);
	life = said(&b, NL__MSG__BODY_PROBE)->probe->life;
	hear_idle(&b, 2, life, 0, 3, 1);
	{
		struct Nl__Msg m = NL__MSG__INIT;
		struct Nl__Append a = NL__APPEND__INIT;

		a.term = 4;
		a.prev = 2;
		a.prev_term = 3;
		m.body_case = NL__MSG__BODY_APPEND;
		m.append = &a;
		hear(&b, 2, &m);
	}
	hear_idle(&b, 3, life, 0, 3, 1);
	hear_vote(&b, 3, 5, 2, 3);
	assert_false(said(&b, NL__MSG__BODY_VOTE_REPLY)->vote_reply->granted);
	bench_close(&b);
}

int main(void)
{
	const struct CMUnitTest t[] = {
		cmocka_unit_test(knowledge_against_plain_array),
		cmocka_unit_test(view_against_plain_list),
		cmocka_unit_test(what_is_old_stays_old),
		cmocka_unit_test(index_against_plain_table),
		cmocka_unit_test(table_followers_end_alike),
		cmocka_unit_test(bad_changes_name_the_field),
		cmocka_unit_test(nothing_is_said_before_the_disk_has_it),
		cmocka_unit_test(an_owner_counts_itself_once_synced),
		cmocka_unit_test(a_promise_from_before_a_fall_ends_when_nobody_owns),
	};

	apr_initialize();
	return cmocka_run_group_tests(t, NULL, NULL);
}
