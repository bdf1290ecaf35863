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
#include "containers.h"
#include "prefix_index.h"
#include "raft.h"
#include "purge_relay.h"
#include "config_table.h"
#include "config_check.h"
#include "config_row.h"

enum { TICKS = 200 };

static struct Nl__Value *value(uint64_t tick, struct Nl__Value *v, struct Nl__Purge *purge, char *tenant)
{
	nl__value__init(v);
	nl__purge__init(purge);
	purge->reason = PURGE_TENANT;
	purge->tenant = tenant;
	v->purge = purge;
	v->tick = tick;
	return v;
}

/* Knowledge in any order, with losses and repeats, against an array of ticks. */
static void knowledge_against_plain_array(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 300; seed++) {
		uint64_t rng = seed;
		char known[TICKS + 1] = { 0 }, is_value[TICKS + 1] = { 0 };
		struct tick_knowledge k = { 0 }, twin = { 0 };
		struct command_list out = { 0 };
		struct Nl__Knowledge knowledge = NL__KNOWLEDGE__INIT;
		struct tick_range gap[TICKS];
		uint64_t horizon, reach, released = 0;
		int gaps, n;

		apr_pool_create(&out.pool, NULL);
		for (int i = 1; i <= TICKS; i++)
			is_value[i] = core_random(&rng) % 7 == 0;
		known[0] = 1;
		for (int step = 0; step < 60; step++) {
			uint64_t a = 1 + core_random(&rng) % TICKS, b = a + core_random(&rng) % 9;
			int v = 0, fresh = 0, got;
			struct Nl__Value val;
			struct Nl__Purge purge;

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
			got = knowledge_add(&k, a, b, v ? value((uint64_t)v, &val, &purge, "t") : NULL);
			assert_int_equal(got, fresh);
			for (horizon = 0; horizon < TICKS && known[horizon + 1]; horizon++)
				;
			for (reach = TICKS; reach > horizon && !known[reach]; reach--)
				;
			assert_int_equal(k.horizon, horizon);
			assert_int_equal(knowledge_highest_tick(&k), reach);
			gaps = 0;
			for (uint64_t i = horizon + 1; i <= reach; i++)
				gaps += !known[i] && known[i - 1];
			n = knowledge_gaps(&k, gap, TICKS);
			assert_int_equal(n, gaps);
			for (int g = 0; g < n; g++)
				for (uint64_t i = gap[g].first; i <= gap[g].last; i++)
					assert_false(known[i]);
			if (core_random(&rng) % 9 == 0 && horizon) {
				released = 1 + core_random(&rng) % horizon;
				knowledge_release(&k, released);
				released = k.released_tick;
			}
		}
		/* what it tells from its release on is all it knows, values and silence alike */
		assert_false(knowledge_append(&k, released ? released : 0, TICKS, &knowledge, &out));
		assert_true(knowledge_append(&k, released + 1, TICKS, &knowledge, &out));
		twin.horizon = twin.released_tick = released;
		for (size_t i = 0; i < knowledge.n_increments; i++)
			knowledge_add(&twin, knowledge.increments[i]->first, knowledge.increments[i]->last,
				      knowledge.increments[i]->value);
		assert_int_equal(twin.horizon, k.horizon);
		assert_int_equal(knowledge_highest_tick(&twin), knowledge_highest_tick(&k));
		n = 0;
		for (uint64_t i = released + 1; i <= TICKS; i++)
			if (known[i] && is_value[i])
				assert_int_equal(twin.values[n++]->tick, i);
		assert_int_equal(n, arrlen(twin.values));
		knowledge_clear(&k);
		knowledge_clear(&twin);
		apr_pool_destroy(out.pool);
	}
}

/* The view drops what was made before the tick, and a late report or a late value revives nothing. */
static void view_against_plain_list(void **state)
{
	static char *names[] = { "a", "b", "c" };
	struct {
		uint64_t tick;
		int who;
	} list[100];

	(void)state;
	for (uint64_t seed = 1; seed <= 100; seed++) {
		struct purge_view view = { 0 };
		uint64_t rng = seed;

		for (int i = 0; i < 100; i++) {
			struct Nl__Value purge_value;
			struct Nl__Purge purge;

			list[i].tick = 1 + core_random(&rng) % 500; /* in no order */
			list[i].who = (int)(core_random(&rng) % 3);
			purge_view_apply(&view,
					 value(list[i].tick, &purge_value, &purge, names[list[i].who]));
			for (int q = 0; q < 5; q++) {
				uint64_t stamp = core_random(&rng) % 520;
				int who = (int)(core_random(&rng) % 3), gone = 0;

				for (int k = 0; k <= i; k++)
					gone |= list[k].who == who && stamp < list[k].tick;
				assert_int_equal(purge_view_allows(&view, "s", "w", names[who], "x", stamp),
						 !gone);
			}
		}
		purge_view_clear(&view);
	}
}

/* A relay whose own horizon stands still cannot make another's look current, by a snapshot or by old ticks.
 */
static void what_is_old_stays_old(void **state)
{
	struct relay a, b;
	struct command_list out = { 0 };
	struct Nl__Msg message = NL__MSG__INIT;
	struct Nl__Curiosity curiosity = NL__CURIOSITY__INIT;
	int64_t now = 100000;

	(void)state;
	apr_pool_create(&out.pool, NULL);
	relay_open(&a, now);
	relay_open(&b, now);
	a.is_publisher = 1;
	relay_publish(&a, 1, 10, NULL, now, &out);
	a.is_publisher = 0; /* cut off from here on */
	now += 20000;
	curiosity.needs_snapshot = 1;
	curiosity.request_clock_ms = now;
	message.body_case = NL__MSG__BODY_CURIOSITY;
	message.curiosity = &curiosity;
	message.id = 2;
	command_list_clear(&out);
	relay_receive(&a, &message, now, &out);
	assert_int_equal(arrlen(out.commands), 1);
	relay_receive(&b, out.commands[0].args.send.msg, now, &out);
	assert_int_equal(b.knowledge.horizon, 10);
	assert_false(relay_is_current(&b, now));
	a.is_publisher = 1;
	command_list_clear(&out);
	relay_publish(&a, 11, 11, NULL, now, &out);
	assert_int_equal(arrlen(out.commands), 1);
	relay_receive(&b, out.commands[0].args.send.msg, now, &out);
	assert_true(relay_is_current(&b, now));
	assert_false(relay_is_current(&b, now + PURGE_MAX_STALENESS_MS));
	/* what was told then, and is read much later, is no news; nor is what names no asking of ours */
	command_list_clear(&out);
	relay_publish(&a, 12, 12, NULL, now, &out);
	now += 20000;
	relay_receive(&b, out.commands[0].args.send.msg, now, &out);
	assert_int_equal(b.knowledge.horizon, 12);
	assert_false(relay_is_current(&b, now));
	command_list_clear(&out);
	relay_publish(&a, 13, 13, NULL, now, &out);
	out.commands[0].args.send.msg->knowledge->request_clock_ms = 0;
	relay_receive(&b, out.commands[0].args.send.msg, now, &out);
	assert_int_equal(b.knowledge.horizon, 13);
	assert_false(relay_is_current(&b, now));
	relay_close(&a);
	relay_close(&b);
	arrfree(out.commands);
	apr_pool_destroy(out.pool);
}

/* Two nodes tell the same ticks. Whichever comes first, the newer date counts once as much is known as it
 * dates, and not before. */
static void knowledge_is_dated_once_all_that_it_dates_is_known(void **state)
{
	struct relay a, b;
	struct command_list out = { 0 };
	struct Nl__Msg message = NL__MSG__INIT, told = NL__MSG__INIT;
	struct Nl__Curiosity curiosity = NL__CURIOSITY__INIT;
	struct Nl__TickRange range = NL__TICK_RANGE__INIT, *wanted = &range;
	struct Nl__Knowledge repeated = NL__KNOWLEDGE__INIT;
	struct Nl__Increment increment = NL__INCREMENT__INIT, *increments = &increment;
	int64_t now = 100000;

	(void)state;
	apr_pool_create(&out.pool, NULL);
	relay_open(&a, now);
	relay_open(&b, now);
	a.is_publisher = 1;
	relay_publish(&a, 1, 10, NULL, now, &out);
	curiosity.needs_snapshot = 1;
	curiosity.request_clock_ms = now;
	message.body_case = NL__MSG__BODY_CURIOSITY;
	message.curiosity = &curiosity;
	message.id = 2;
	command_list_clear(&out);
	relay_receive(&a, &message, now, &out);
	relay_receive(&b, out.commands[0].args.send.msg, now, &out);
	assert_int_equal(b.known_at_ms, now);
	/* 11 to 13 are published, and what is said of them lost; only 11 is asked for */
	for (uint64_t tick = 11; tick <= 13; tick++)
		relay_publish(&a, tick, tick, NULL, now + 3000, &out);
	curiosity.needs_snapshot = 0;
	curiosity.acknowledged_tick = 10;
	curiosity.request_clock_ms = now + 3000;
	curiosity.n_wanted = 1;
	curiosity.wanted = &wanted;
	range.first = range.last = 11;
	command_list_clear(&out);
	relay_receive(&a, &message, now + 3000, &out);
	assert_int_equal(arrlen(out.commands), 1);
	relay_receive(&b, out.commands[0].args.send.msg, now + 3000, &out);
	assert_int_equal(b.knowledge.horizon, 11);
	assert_int_equal(b.known_at_ms, now); /* 12 and 13 may be purges */
	range.last = 13;
	command_list_clear(&out);
	relay_receive(&a, &message, now + 3000, &out);
	relay_receive(&b, out.commands[0].args.send.msg, now + 3000, &out);
	assert_int_equal(b.knowledge.horizon, 13);
	assert_int_equal(b.known_at_ms, now + 3000);
	/* another node tells of 13, which is known, after a newer request */
	increment.first = increment.last = 13;
	repeated.n_increments = 1;
	repeated.increments = &increments;
	repeated.request_clock_ms = now + 3400;
	repeated.age_ms = 100;
	repeated.horizon = 13;
	told.body_case = NL__MSG__BODY_KNOWLEDGE;
	told.knowledge = &repeated;
	relay_receive(&b, &told, now + 3500, &out);
	assert_int_equal(b.known_at_ms, now + 3300);
	repeated.request_clock_ms = now + 3450; /* it knows more than it tells */
	repeated.horizon = 14;
	relay_receive(&b, &told, now + 3500, &out);
	assert_int_equal(b.known_at_ms, now + 3300);
	relay_close(&a);
	relay_close(&b);
	arrfree(out.commands);
	apr_pool_destroy(out.pool);
}

static bool of_server(const void *ctx, uint64_t id, const struct block_replica *replica)
{
	(void)id;
	return replica->server_index == *(const uint32_t *)ctx;
}

static void index_against_plain_table(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 100; seed++) {
		struct prefix_index k = { 0 };
		uint64_t rng = seed, plain[8][4][3] = { { { 0 } } },
			 seen[8][4][3] = { { { 0 } } }; /* part, server, maker -> stamp + 1 */
		size_t n = 0;

		for (int i = 0; i < 300; i++) {
			struct block_replica replica = { (uint32_t)(core_random(&rng) % 4),
							 (uint32_t)(core_random(&rng) % 3),
							 0,
							 1,
							 core_random(&rng) % 90,
							 (uint64_t)i };
			uint64_t h = core_random(&rng) % 8;

			if (i % 50 == 49) {
				uint64_t least = (uint64_t)i - 20;

				prefix_index_remove_unreported(&k, replica.server_index, least);
				for (int p = 0; p < 8; p++)
					for (int m = 0; m < 3; m++)
						if (seen[p][replica.server_index][m] < least)
							plain[p][replica.server_index][m] = 0;
			} else if (i % 70 == 69) {
				prefix_index_remove_if(&k, of_server, &replica.server_index);
				for (int p = 0; p < 8; p++)
					memset(plain[p][replica.server_index], 0,
					       sizeof plain[p][replica.server_index]);
			} else {
				prefix_index_put(&k, h, &replica);
				plain[h][replica.server_index][replica.tenant_index] = replica.stamp_tick + 1;
				seen[h][replica.server_index][replica.tenant_index] = (uint64_t)i;
			}
		}
		for (int p = 0; p < 8; p++)
			for (uint32_t s = 0; s < 4; s++)
				for (uint32_t m = 0; m < 3; m++) {
					struct block_replica *v = prefix_index_find(&k, (uint64_t)p);
					uint64_t got = 0;

					for (ptrdiff_t i = 0; i < arrlen(v); i++)
						if (v[i].server_index == s && v[i].tenant_index == m)
							got = v[i].stamp_tick + 1;
					assert_int_equal(got, plain[p][s][m]);
					n += got != 0;
				}
		assert_int_equal(n, k.replica_count);
		prefix_index_clear(&k);
	}
}

/* A follower that takes changes, or the whole after falling behind, ends with the leader's table. */
static void table_followers_end_alike(void **state)
{
	apr_pool_t *pool;

	(void)state;
	apr_pool_create(&pool, NULL);
	for (uint64_t seed = 1; seed <= 30; seed++) {
		struct config_table t, table;
		uint64_t rng = seed, last = 0;

		config_table_open(&t);
		config_table_open(&table);
		for (int i = 0; i < 1500; i++) {
			struct Nl__Change change = NL__CHANGE__INIT;
			struct Nl__Row row = NL__ROW__INIT, *rows[1] = { &row };
			char name[20];

			snprintf(name, sizeof name, "t%d", (int)(core_random(&rng) % 700));
			row.kind = NL__KIND__TENANT;
			row.name = name;
			row.share = 1 + (uint32_t)i;
			row.limit = 1;
			change.any_revision = 1;
			if (core_random(&rng) % 2) {
				change.set = rows;
				change.n_set = 1;
			} else {
				change.deleted = rows;
				change.n_deleted = 1;
			}
			assert_int_equal(config_table_apply(&t, &change, NULL), PROPOSAL_APPLIED);
			if (core_random(&rng) % 40 == 0 || i == 1499) {
				struct Nl__ConfigSyncReply reply = NL__CONFIG_SYNC_REPLY__INIT;

				config_table_pack_since(&t, table.revision, &reply, pool);
				assert_true(config_table_apply_reply(&table, &reply));
				assert_int_equal(table.revision, t.revision);
				assert_int_equal(shlen(table.rows), shlen(t.rows));
				for (ptrdiff_t k = 0; k < shlen(t.rows); k++) {
					const struct Nl__Row *x = config_table_get(&table, NL__KIND__TENANT,
										   t.rows[k].value.row->name);

					assert_non_null(x);
					assert_int_equal(x->share, t.rows[k].value.row->share);
				}
				/* an older answer, late, changes nothing: neither a change nor the whole */
				reply.revision = last;
				assert_true(last == 0 || !config_table_apply_reply(&table, &reply));
				reply.full = 1;
				assert_true(last == 0 || !config_table_apply_reply(&table, &reply));
				assert_int_equal(table.revision, t.revision);
				last = t.revision - 1;
			}
		}
		config_table_close(&t);
		config_table_close(&table);
	}
	apr_pool_destroy(pool);
}

static void bad_changes_name_the_field(void **state)
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
		{ "{\"set\":[{\"kind\":\"lane\",\"name\":\"a\",\"service\":\"s\",\"limit\":5,\"weights\":\"w\"}]}",
		  "weights" },
		{ "{\"set\":[{\"kind\":\"lane\",\"name\":\"a\",\"service\":\"s\",\"limit\":-1}]}", "limit" },
		{ "{\"set\":[{\"kind\":\"lane\",\"name\":\"a\",\"service\":\"s\",\"limit\":0}]}", "limit" },
		{ "{\"set\":[{\"kind\":\"lane\",\"name\":\"a\",\"limit\":5}]}", "service" },
		{ "{\"set\":[{\"kind\":\"tenant\",\"name\":\"a b\",\"share\":1,\"limit\":1}]}", "name" },
		{ "{\"set\":[{\"kind\":\"tenant\",\"name\":\"a\",\"share\":1001,\"limit\":1}]}", "share" },
		{ "{\"set\":[{\"kind\":\"server\",\"name\":\"a\",\"service\":\"s\",\"addr\":\"1.2.3.4\"}]}",
		  "addr" },
		{ "{\"set\":[{\"kind\":\"server\",\"name\":\"a\",\"service\":\"s\",\"addr\":\"1.2.3.4:5\",\"state\":\"gone\"}]}",
		  "state" },
		{ "{\"set\":[{\"kind\":\"key\",\"name\":\"abc\",\"tenant\":\"t\"}]}", "name" },
		{ "{\"del\":[{\"kind\":\"tenant\",\"name\":\"nobody\"}]}", "no such row" },
	};
	struct config_table table;
	apr_pool_t *pool;

	(void)state;
	apr_pool_create(&pool, NULL);
	config_table_open(&table);
	for (size_t i = 0; i < sizeof bad / sizeof *bad; i++) {
		const char *why = NULL;
		struct Nl__Change *change = config_change_parse(bad[i].body, pool, &why);

		if (change)
			why = config_check_change(&table, change, pool);
		if (!why || !strstr(why, bad[i].field))
			fail_msg("%s: said \"%s\", which does not name %s", bad[i].body, why ? why : "",
				 bad[i].field);
	}
	{ /* one that is too large is refused whole */
		struct Nl__Change change = NL__CHANGE__INIT;
		struct Nl__Row row = NL__ROW__INIT, *rows[1] = { &row };

		row.kind = NL__KIND__TENANT;
		row.name = "a";
		row.share = row.limit = 1;
		row.zone = apr_palloc(pool, CONFIG_CHECK_MAX_CHANGE_BYTES + 1);
		memset(row.zone, 'z', CONFIG_CHECK_MAX_CHANGE_BYTES);
		row.zone[CONFIG_CHECK_MAX_CHANGE_BYTES] = 0;
		change.set = rows;
		change.n_set = 1;
		assert_non_null(strstr(config_check_change(&table, &change, pool), "larger"));
	}
	{ /* a route keeps its service: its ids are claimed in that service's shard */
		const char
		    *why = NULL,
		    *route = "{\"set\":[{\"kind\":\"lane\",\"name\":\"a\",\"service\":\"%s\",\"limit\":%d}]}";
		struct Nl__Change *change =
		    config_change_parse(apr_psprintf(pool, route, "s", 5), pool, &why);

		assert_null(config_check_change(&table, change, pool));
		assert_int_equal(config_table_apply(&table, change, NULL), PROPOSAL_APPLIED);
		assert_null(config_check_change(
		    &table, config_change_parse(apr_psprintf(pool, route, "s", 6), pool, &why), pool));
		assert_non_null(strstr(
		    config_check_change(
			&table, config_change_parse(apr_psprintf(pool, route, "other", 5), pool, &why), pool),
		    "service"));
	}
	config_table_close(&table);
	apr_pool_destroy(pool);
}

/* ---- a group's member alone, its messages and syncs given by hand ---- */

struct bench {
	struct raft p;
	struct command_list o;
	int64_t now;
};

static void bench_open(struct bench *bench)
{
	struct raft_member member[3] = { { .id = 1, .addr = 101, .voter = 1 },
					 { .id = 2, .addr = 102, .voter = 1 },
					 { .id = 3, .addr = 103, .voter = 1 } };

	memset(bench, 0, sizeof *bench);
	apr_pool_create(&bench->o.pool, NULL);
	bench->o.id = 1;
	bench->o.addr = 101;
	bench->now = 100000;
	raft_open(&bench->p, 0, 1, 5, NULL, bench->now);
	raft_bootstrap(&bench->p, member, 3, bench->now);
	raft_flush(&bench->p, bench->now, &bench->o);
	raft_synced(&bench->p, bench->p.disk.requested_sync_seq, bench->now, &bench->o);
	command_list_clear(&bench->o);
	bench->now += 5000;
}

static void bench_close(struct bench *bench)
{
	raft_close(&bench->p);
	arrfree(bench->o.commands);
	apr_pool_destroy(bench->o.pool);
}

static struct Nl__Msg *said(struct bench *bench, int body)
{
	for (ptrdiff_t i = 0; i < arrlen(bench->o.commands); i++)
		if (bench->o.commands[i].kind == CMD_SEND &&
		    (int)bench->o.commands[i].args.send.msg->body_case == body)
			return bench->o.commands[i].args.send.msg;
	return NULL;
}

static void hear(struct bench *bench, uint64_t from, struct Nl__Msg *message)
{
	message->id = from;
	message->addr = 100 + from;
	raft_receive(&bench->p, message, bench->now, &bench->o);
	raft_flush(&bench->p, bench->now, &bench->o);
}

static void receive_vote(struct bench *bench, uint64_t from, uint64_t term, uint64_t last, uint64_t last_term)
{
	struct Nl__Msg message = NL__MSG__INIT;
	struct Nl__VoteRequest request = NL__VOTE_REQUEST__INIT;

	request.term = term;
	request.last_index = last;
	request.last_term = last_term;
	message.body_case = NL__MSG__BODY_VOTE_REQUEST;
	message.vote_request = &request;
	command_list_clear(&bench->o);
	hear(bench, from, &message);
}

static void receive_ack(struct bench *bench, uint64_t from, uint64_t match)
{
	struct Nl__Msg message = NL__MSG__INIT;
	struct Nl__AppendReply reply = NL__APPEND_REPLY__INIT;

	reply.term = bench->p.term;
	reply.success = 1;
	reply.match_index = match;
	reply.round = bench->p.lease.heartbeat_round;
	message.body_case = NL__MSG__BODY_APPEND_REPLY;
	message.append_reply = &reply;
	hear(bench, from, &message);
}

static void nothing_is_sent_before_the_disk_has_it(void **state)
{
	struct bench bench;
	struct Nl__Msg message = NL__MSG__INIT, *r;
	struct Nl__Append append = NL__APPEND__INIT;
	struct Nl__Entry entry = NL__ENTRY__INIT, *es[1] = { &entry };

	(void)state;
	bench_open(&bench);
	/* a vote */
	receive_vote(&bench, 2, 5, 1, 1);
	assert_null(said(&bench, NL__MSG__BODY_VOTE_REPLY));
	raft_synced(&bench.p, bench.p.disk.requested_sync_seq, bench.now, &bench.o);
	r = said(&bench, NL__MSG__BODY_VOTE_REPLY);
	assert_non_null(r);
	assert_true(r->vote_reply->granted);
	/* one vote a term, and none for a log that lacks what ours has */
	receive_vote(&bench, 3, 5, 1, 1);
	assert_false(said(&bench, NL__MSG__BODY_VOTE_REPLY)->vote_reply->granted);
	receive_vote(&bench, 3, 6, 0, 0);
	r = said(&bench, NL__MSG__BODY_VOTE_REPLY);
	assert_non_null(r);
	assert_false(r->vote_reply->granted);
	/* an entry */
	append.term = 6;
	append.prev_index = 1;
	append.prev_term = 1;
	append.entries = es;
	append.n_entries = 1;
	append.commit_index = 2;
	entry.term = 6;
	message.body_case = NL__MSG__BODY_APPEND;
	message.append = &append;
	command_list_clear(&bench.o);
	hear(&bench, 2, &message);
	assert_null(said(&bench, NL__MSG__BODY_APPEND_REPLY)); /* nothing new to say yet */
	append.round = 1;
	append.prev_index = 2;
	append.prev_term = 6;
	append.n_entries = 0;
	hear(&bench, 2, &message); /* a round is answered at once, but vouches only for what is synced */
	r = said(&bench, NL__MSG__BODY_APPEND_REPLY);
	assert_non_null(r);
	assert_int_equal(r->append_reply->match_index, 1);
	assert_int_equal(r->append_reply->round, 1);
	command_list_clear(&bench.o);
	raft_synced(&bench.p, bench.p.disk.requested_sync_seq, bench.now, &bench.o);
	assert_int_equal(said(&bench, NL__MSG__BODY_APPEND_REPLY)->append_reply->match_index, 2);
	bench_close(&bench);
}

static void a_leader_counts_itself_once_synced(void **state)
{
	struct bench bench;
	struct Nl__Msg message = NL__MSG__INIT;
	struct Nl__VoteReply reply = NL__VOTE_REPLY__INIT;
	uint64_t i;

	(void)state;
	bench_open(&bench);
	raft_tick(&bench.p, bench.now, &bench.o);
	assert_int_equal(bench.p.role, RAFT_PRE_CANDIDATE);
	reply.term = bench.p.term + 1;
	reply.granted = reply.is_pre_vote = 1;
	message.body_case = NL__MSG__BODY_VOTE_REPLY;
	message.vote_reply = &reply;
	hear(&bench, 2, &message);
	assert_int_equal(bench.p.role, RAFT_CANDIDATE);
	reply.is_pre_vote = 0;
	hear(&bench, 2, &message);
	assert_int_equal(bench.p.role, RAFT_CANDIDATE); /* its own vote is not on the disk yet */
	raft_synced(&bench.p, bench.p.disk.requested_sync_seq, bench.now, &bench.o);
	assert_int_equal(bench.p.role, RAFT_LEADER);
	raft_flush(&bench.p, bench.now, &bench.o);
	raft_synced(&bench.p, bench.p.disk.requested_sync_seq, bench.now, &bench.o);
	raft_tick(&bench.p, bench.now, &bench.o);
	receive_ack(&bench, 2, bench.p.log.term_start_index);
	assert_true(raft_has_lease(&bench.p, bench.now));
	i = raft_propose(&bench.p, (const uint8_t *)"x", 1, bench.now);
	assert_true(i > 0);
	raft_flush(&bench.p, bench.now, &bench.o);
	receive_ack(&bench, 2, i);
	assert_true(bench.p.log.commit_index < i); /* one member and an unsynced leader are no majority */
	raft_synced(&bench.p, bench.p.disk.requested_sync_seq, bench.now, &bench.o);
	assert_int_equal(bench.p.log.commit_index, i);
	/* its disk stalls: it gives up, and says so */
	raft_propose(&bench.p, (const uint8_t *)"y", 1, bench.now);
	raft_flush(&bench.p, bench.now, &bench.o);
	command_list_clear(&bench.o);
	bench.now += RAFT_SYNC_STALL_MS + 1;
	raft_tick(&bench.p, bench.now, &bench.o);
	assert_int_equal(bench.p.role, RAFT_FOLLOWER);
	assert_non_null(said(&bench, NL__MSG__BODY_STEP_DOWN));
	bench_close(&bench);
}

/* Back after a fall, with a log of term 3: asks what the two others own. */
static void bench_return(struct bench *bench)
{
	struct Nl__Members members = NL__MEMBERS__INIT;
	struct Nl__Member v[3], *member[3];
	struct raft_entry entry[2] = { { 1, RAFT_ENTRY_MEMBERS, 0, NULL },
				       { 3, RAFT_ENTRY_NOOP, 0, (uint8_t *)"" } };
	struct raft_saved saved = {
		.term = 3, .voted_for = 2, .first_index = 1, .entries = entry, .entry_count = 2
	};

	memset(bench, 0, sizeof *bench);
	apr_pool_create(&bench->o.pool, NULL);
	bench->o.id = 1;
	bench->o.addr = 101;
	bench->now = 100000;
	for (int i = 0; i < 3; i++) {
		nl__member__init(&v[i]);
		v[i].id = (uint64_t)i + 1;
		v[i].addr = 101 + (uint64_t)i;
		v[i].voter = 1;
		member[i] = &v[i];
	}
	members.n_members = 3;
	members.members = member;
	entry[0].len = nl__members__get_packed_size(&members);
	entry[0].data = apr_palloc(bench->o.pool, entry[0].len + 1);
	nl__members__pack(&members, entry[0].data);
	raft_open(&bench->p, 0, 1, 5, &saved, bench->now);
	raft_tick(&bench->p, bench->now, &bench->o);
}

static void receive_idle(struct bench *bench, uint64_t from, uint64_t incarnation, int leader,
			 uint64_t last_term, uint64_t members_at)
{
	struct Nl__Msg message = NL__MSG__INIT;
	struct Nl__ProbeReply probe_reply = NL__PROBE_REPLY__INIT;

	probe_reply.incarnation = incarnation;
	probe_reply.is_leader = leader;
	probe_reply.last_term = last_term;
	probe_reply.members_index = members_at;
	message.body_case = NL__MSG__BODY_PROBE_REPLY;
	message.probe_reply = &probe_reply;
	hear(bench, from, &message);
}

static void a_promise_from_before_a_crash_ends_when_nobody_leads(void **state)
{
	struct bench bench;
	uint64_t incarnation;

	(void)state;
	/* both others own nothing: it votes at once */
	bench_return(&bench);
	assert_non_null(said(&bench, NL__MSG__BODY_PROBE));
	incarnation = said(&bench, NL__MSG__BODY_PROBE)->probe->incarnation;
	receive_idle(&bench, 2, incarnation, 0, 3, 1);
	receive_idle(&bench, 2, incarnation, 0, 3, 1);
	receive_vote(&bench, 2, 5, 2, 3);
	assert_false(
	    said(&bench, NL__MSG__BODY_VOTE_REPLY)->vote_reply->granted); /* not before all have said so */
	receive_idle(&bench, 9, incarnation, 0, 3, 1);                    /* nobody of ours */
	receive_idle(&bench, 3, incarnation ^ 1, 0, 3, 1);                /* said to another life */
	receive_vote(&bench, 2, 5, 2, 3);
	assert_false(said(&bench, NL__MSG__BODY_VOTE_REPLY)->vote_reply->granted);
	receive_idle(&bench, 3, incarnation, 0, 3, 1);
	receive_vote(&bench, 2, 5, 2, 3);
	raft_synced(&bench.p, bench.p.disk.requested_sync_seq, bench.now, &bench.o);
	assert_true(said(&bench, NL__MSG__BODY_VOTE_REPLY)->vote_reply->granted);
	bench_close(&bench);

	/* a leader, a later term, or later members that we do not know: the promise is waited out */
	for (int k = 0; k < 3; k++) {
		bench_return(&bench);
		incarnation = said(&bench, NL__MSG__BODY_PROBE)->probe->incarnation;
		receive_idle(&bench, 3, incarnation, k == 0, k == 1 ? 4 : 3, k == 2 ? 2 : 1);
		receive_idle(&bench, 2, incarnation, 0, 3, 1);
		receive_idle(&bench, 3, incarnation, 0, 3, 1);
		receive_vote(&bench, 2, 5, 2, 3);
		assert_false(said(&bench, NL__MSG__BODY_VOTE_REPLY)->vote_reply->granted);
		bench.now += RAFT_LEASE_MS;
		receive_vote(&bench, 2, 5, 2, 3);
		raft_synced(&bench.p, bench.p.disk.requested_sync_seq, bench.now, &bench.o);
		assert_true(said(&bench, NL__MSG__BODY_VOTE_REPLY)->vote_reply->granted);
		bench_close(&bench);
	}

	/* a leader heard since: its lease holds, whatever the others said before */
	bench_return(&bench);
	incarnation = said(&bench, NL__MSG__BODY_PROBE)->probe->incarnation;
	receive_idle(&bench, 2, incarnation, 0, 3, 1);
	{
		struct Nl__Msg message = NL__MSG__INIT;
		struct Nl__Append append = NL__APPEND__INIT;

		append.term = 4;
		append.prev_index = 2;
		append.prev_term = 3;
		message.body_case = NL__MSG__BODY_APPEND;
		message.append = &append;
		hear(&bench, 2, &message);
	}
	receive_idle(&bench, 3, incarnation, 0, 3, 1);
	receive_vote(&bench, 3, 5, 2, 3);
	assert_false(said(&bench, NL__MSG__BODY_VOTE_REPLY)->vote_reply->granted);
	bench_close(&bench);
}

int main(void)
{
	const struct CMUnitTest t[] = {
		cmocka_unit_test(knowledge_against_plain_array),
		cmocka_unit_test(view_against_plain_list),
		cmocka_unit_test(what_is_old_stays_old),
		cmocka_unit_test(knowledge_is_dated_once_all_that_it_dates_is_known),
		cmocka_unit_test(index_against_plain_table),
		cmocka_unit_test(table_followers_end_alike),
		cmocka_unit_test(bad_changes_name_the_field),
		cmocka_unit_test(nothing_is_sent_before_the_disk_has_it),
		cmocka_unit_test(a_leader_counts_itself_once_synced),
		cmocka_unit_test(a_promise_from_before_a_crash_ends_when_nobody_leads),
	};

	apr_initialize();
	return cmocka_run_group_tests(t, NULL, NULL);
}
