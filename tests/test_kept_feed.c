/* The head of a zone passes on what servers keep: all of it reaches every downstream router in the end, also one that is new,
 * and it takes no more of the head's link than its share. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <apr_strings.h>
#include <cmocka.h>

#include "ds.h"
#include "router_internal.h"
#include "solo.h"

enum {
	SERVERS = 30,
	FOLLOWERS = 6,
	PARTS = 400,
	TICK_MS = 25,
	LINK_KBPS = 2000,
	SHARE_BYTES_MS = LINK_KBPS * 40 / 100 / 8,
	SLACK_BYTES = SHARE_BYTES_MS * 100 + FOLLOWERS * 20000, /* a burst, and one message that was larger than a burst */
	BUSY_MS = 20000,
	QUIET_MS = 30000
};

struct node {
	struct router router;
	struct out out;
};

struct zone {
	struct node node[1 + FOLLOWERS]; /* the head first */
	apr_pool_t *pool;
	uint64_t rng, epoch[SERVERS], next[SERVERS];
	int64_t now, bytes, began;
	int busy, followers;
};

static uint64_t seeds_of(uint64_t n, uint64_t *first)
{
	*first = getenv("NL_SEED") ? strtoull(getenv("NL_SEED"), NULL, 10) : 1;
	return getenv("NL_SEEDS") ? strtoull(getenv("NL_SEEDS"), NULL, 10) : n;
}

static uint64_t dice(struct zone *z, uint64_t n) { return core_rand(&z->rng) % n; }

static void node_step(struct zone *z, int i, const struct router_ev *ev)
{
	router_step(&z->node[i].router, ev, z->now, &z->node[i].out);
}

static void node_message(struct zone *z, int i, struct Nl__Msg *m)
{
	struct router_ev ev = { .kind = ROUTER_MSG };

	ev.u.msg = m;
	m->speak = CORE_SPEAK;
	node_step(z, i, &ev);
}

/* One service and its servers, as the configuration's leader says them. */
static void node_table(struct zone *z, int i)
{
	struct Nl__Msg m = NL__MSG__INIT;
	struct Nl__ConfigSyncReply r = NL__CONFIG_SYNC_REPLY__INIT;
	struct Nl__Row row = NL__ROW__INIT, *rows[1] = { &row };
	struct Nl__Instance *instances[SERVERS];

	for (int k = 0; k < SERVERS; k++)
		instances[k] = new_sight(z->pool, (k + i) % SERVERS, "pool"); /* each router numbers them otherwise */
	row.kind = NL__KIND__SERVICE;
	row.name = "pool";
	row.weights = "w1";
	row.prefill = 20;
	node_step(z, i, &(struct router_ev){ .kind = ROUTER_TICK });
	r.token = z->node[i].router.f.token;
	r.has_lease = r.whole = r.instances_whole = 1;
	r.fleet = 7;
	r.edition = r.instances = 1;
	r.set = rows;
	r.n_set = 1;
	r.instance = instances;
	r.n_instance = SERVERS;
	r.counters = 1 + FOLLOWERS;
	m.body_case = NL__MSG__BODY_FOLLOW_REPLY;
	m.follow_reply = &r;
	m.addr = m.id = 1;
	node_message(z, i, &m);
	out_clear(&z->node[i].out);
}

static void zone_open(struct zone *z, uint64_t seed, int link_kbps)
{
	uint64_t controller = 1;

	memset(z, 0, sizeof *z);
	apr_pool_create(&z->pool, NULL);
	z->rng = seed;
	z->now = z->began = 1000000;
	z->busy = 1;
	for (int s = 0; s < SERVERS; s++)
		z->epoch[s] = 1;
	for (int i = 0; i <= FOLLOWERS; i++) {
		apr_pool_create(&z->node[i].out.p, z->pool);
		router_open(&z->node[i].router, (uint64_t)i + 1, (uint64_t)i + 1001, "z1", &controller, 1, z->now);
		z->node[i].router.b.instances = 1;
		z->node[i].router.b.link_kbps = link_kbps;
		node_table(z, i);
	}
}

static void zone_close(struct zone *z)
{
	for (int i = 0; i <= FOLLOWERS; i++) {
		router_close(&z->node[i].router);
		arrfree(z->node[i].out.v);
	}
	apr_pool_destroy(z->pool);
}

static struct Nl__KeptEvent *event_new(apr_pool_t *p, const char *cache_namespace, uint64_t part, int gone)
{
	struct Nl__KeptEvent *e = apr_palloc(p, sizeof *e);

	nl__kept_event__init(e);
	e->cache_namespace = apr_pstrdup(p, cache_namespace);
	e->id = part;
	e->gone = gone;
	e->tokens = 10;
	return e;
}

/* A server answers a watch: some events, none, or that some are missed; it may also have begun anew. */
static void answer_watch(struct zone *z, uint64_t token, int server, apr_pool_t *p)
{
	struct Nl__Kept kept = NL__KEPT__INIT;
	struct router_ev ev = { .kind = ROUTER_WATCHED };
	size_t n = z->busy ? dice(z, 40) : 0;

	kept.server = apr_psprintf(p, "i-%d", server);
	if (z->busy && !dice(z, 200)) {
		z->epoch[server]++;
		z->next[server] = 0;
	}
	kept.lost = z->busy && !dice(z, 100);
	kept.epoch = z->epoch[server];
	kept.next = z->next[server] += n;
	kept.e = apr_palloc(p, (n + 1) * sizeof *kept.e);
	for (; kept.n_e < n; kept.n_e++) {
		const char *cache_namespace = dice(z, 2) ? "w1-a" : "w1-b~0000000700000002";

		kept.e[kept.n_e] = event_new(p, cache_namespace, 1 + dice(z, PARTS), !dice(z, 3));
	}
	ev.u.kept.token = token;
	ev.u.kept.k = &kept;
	ev.u.kept.status = 200;
	node_step(z, 0, &ev);
}

/* A server answers a watch with so many events of parts that it keeps. */
static void answer_all(struct zone *z, uint64_t token, int server, size_t events)
{
	struct Nl__Kept kept = NL__KEPT__INIT;
	struct router_ev ev = { .kind = ROUTER_WATCHED };
	apr_pool_t *p;

	apr_pool_create(&p, z->pool);
	kept.server = apr_psprintf(p, "i-%d", server);
	kept.epoch = 1;
	kept.next = z->next[server] += events;
	kept.e = apr_palloc(p, events * sizeof *kept.e);
	for (; kept.n_e < events; kept.n_e++)
		kept.e[kept.n_e] = event_new(p, "w1-a", 1 + dice(z, PARTS), 0);
	ev.u.kept.token = token;
	ev.u.kept.k = &kept;
	ev.u.kept.status = 200;
	node_step(z, 0, &ev);
	apr_pool_destroy(p);
}

/* What the head has sent and asked for in its last step. */
static void head_performs(struct zone *z)
{
	struct node *head = &z->node[0];
	struct cmd *v = NULL;
	apr_pool_t *p = head->out.p;

	apr_pool_create(&head->out.p, z->pool);
	for (ptrdiff_t i = 0; i < arrlen(head->out.v); i++)
		arrput(v, head->out.v[i]);
	arrsetlen(head->out.v, 0);
	for (ptrdiff_t i = 0; i < arrlen(v); i++) {
		if (v[i].kind == CMD_WATCH)
			answer_watch(z, v[i].u.watch.token, atoi(v[i].u.watch.server + 2), p);
		if (v[i].kind != CMD_SEND || v[i].u.send.msg->body_case != NL__MSG__BODY_KEPT_ALL)
			continue;
		z->bytes += (int64_t)nl__msg__get_packed_size(v[i].u.send.msg);
		node_message(z, (int)(v[i].u.send.addr - 1001), v[i].u.send.msg);
		out_clear(&z->node[v[i].u.send.addr - 1001].out);
	}
	arrfree(v);
	apr_pool_destroy(p);
}

/* A router downstream says that it is there; one that is new is told all that the head knows. */
static void zone_keeps_downstream(struct zone *z)
{
	struct relay *relay = &z->node[0].router.relay;

	while (arrlen(relay->down) < z->followers) {
		struct relay_down down = { 0 };

		down.id = (uint64_t)arrlen(relay->down) + 2;
		down.addr = down.id + 1000;
		arrput(relay->down, down);
	}
	for (ptrdiff_t i = 0; i < arrlen(relay->down); i++)
		relay->down[i].heard = z->now;
}

static void zone_run(struct zone *z, int64_t ms)
{
	for (int64_t end = z->now + ms; z->now < end; z->now += TICK_MS) {
		zone_keeps_downstream(z);
		for (int i = 0; i <= FOLLOWERS; i++) {
			z->node[i].router.f.fresh = z->now;
			z->node[i].router.f.nup = i > 0;
		}
		node_step(z, 0, &(struct router_ev){ .kind = ROUTER_TICK });
		head_performs(z);
	}
}

static size_t copies_at(struct router *r, const char *server, uint64_t key)
{
	struct kept_copy *c = kept_get(&r->kept, key);
	size_t n = 0;

	for (ptrdiff_t k = 0; k < arrlen(c); k++)
		n += !strcmp(r->servers.name[c[k].server], server);
	return n;
}

static void assert_same_index(struct zone *z, int follower)
{
	struct router *head = &z->node[0].router, *other = &z->node[follower].router;

	assert_int_equal(other->kept.n, head->kept.n);
	for (ptrdiff_t i = 0; i < hmlen(head->kept.h); i++)
		for (ptrdiff_t k = 0; k < arrlen(head->kept.h[i].value); k++) {
			const struct kept_copy *c = &head->kept.h[i].value[k];

			assert_int_equal(copies_at(other, head->servers.name[c->server], head->kept.h[i].key), 1);
		}
}

/* Servers that change what they keep all the time, are lost track of and begin anew; routers that come one after the other. */
static void every_follower_ends_with_the_heads_index(void **state)
{
	uint64_t first, n = seeds_of(6, &first);

	(void)state;
	for (uint64_t seed = first; seed < first + n; seed++) {
		struct zone z;

		zone_open(&z, seed, seed % 2 ? LINK_KBPS : 0);
		for (z.followers = 1; z.followers < FOLLOWERS; z.followers++)
			zone_run(&z, BUSY_MS / FOLLOWERS);
		zone_run(&z, BUSY_MS / FOLLOWERS);
		z.busy = 0;
		zone_run(&z, QUIET_MS);
		assert_true(z.node[0].router.kept.n > 1000);
		for (int i = 1; i <= FOLLOWERS; i++)
			assert_same_index(&z, i);
		zone_close(&z);
	}
}

/* However much servers change, the feed leaves the rest of the link to others. */
static void the_feed_keeps_to_its_share_of_the_link(void **state)
{
	uint64_t first, n = seeds_of(3, &first);

	(void)state;
	for (uint64_t seed = first; seed < first + n; seed++) {
		struct zone z;
		int64_t most = 0;

		zone_open(&z, seed, LINK_KBPS);
		z.followers = FOLLOWERS;
		while (z.now - z.began < BUSY_MS) {
			zone_run(&z, TICK_MS);
			most = z.bytes - (z.now - z.began) * SHARE_BYTES_MS > most ? z.bytes - (z.now - z.began) * SHARE_BYTES_MS
										   : most;
		}
		print_message("%lld bytes/s of %d, at most %lld bytes ahead\n", (long long)(z.bytes * 1000 / BUSY_MS),
			      SHARE_BYTES_MS * 1000, (long long)most);
		assert_true(most <= SLACK_BYTES);
		assert_true(z.bytes > 0);
		zone_close(&z);
	}
}

/* A router that becomes the head and knows nothing yet asks servers for all that they name: so few at once that its link is not
 * full for long, and all of them before long. */
static void a_new_head_asks_few_servers_at_once(void **state)
{
	enum { ANSWER_EVENTS = 500, ANSWER_MS = 150, WITHIN_MS = 8000, MOST_MS = 300 };

	(void)state;
	for (int link_kbps = 0; link_kbps <= 20 * LINK_KBPS; link_kbps += 5 * LINK_KBPS) {
		struct zone z;
		struct router *head = &z.node[0].router;
		int most = 0, open = 0, bound = link_kbps ? MOST_MS * link_kbps / 8 / (50 * ANSWER_EVENTS) : SERVERS;

		zone_open(&z, 3, link_kbps);
		head->f.nup = 0;
		for (int64_t end = z.now + WITHIN_MS; z.now < end; z.now += TICK_MS) {
			head->f.fresh = z.now;
			node_step(&z, 0, &(struct router_ev){ .kind = ROUTER_TICK });
			open = 0;
			for (int s = 0; s < SERVERS; s++)
				open += head->sv[s].watch && !head->sv[s].next;
			most = open > most ? open : most;
			for (int s = 0; s < SERVERS; s++) {
				struct router_server *v = &head->sv[s];

				if (v->watch && z.now - v->watched >= ANSWER_MS)
					answer_all(&z, v->watch, atoi(head->servers.name[s] + 2), ANSWER_EVENTS);
			}
			out_clear(&z.node[0].out);
		}
		assert_true(most <= (bound < 1 ? 1 : bound));
		for (int s = 0; s < SERVERS; s++)
			assert_true(head->sv[s].next > 0);
		zone_close(&z);
	}
}

static int watch_of(const struct node *head, const char *server, uint64_t *token)
{
	for (ptrdiff_t i = 0; i < arrlen(head->out.v); i++) {
		const struct cmd *k = &head->out.v[i];

		if (k->kind != CMD_WATCH || strcmp(k->u.watch.server, server))
			continue;
		*token = k->u.watch.token;
		return k->u.watch.all;
	}
	return -1;
}

/* The head asks a server for all that it keeps once, then for what has changed, and again for all where it has missed events. */
static void what_is_kept_is_listed_once(void **state)
{
	static const struct {
		int lost, all_next;
	} answers[] = { { 0, 0 }, { 0, 0 }, { 1, 1 }, { 1, 0 }, { 0, 0 } };
	struct zone z;
	uint64_t token;

	(void)state;
	zone_open(&z, 5, 0);
	z.node[0].router.f.nup = 0;
	z.node[0].router.f.fresh = z.now;
	node_step(&z, 0, &(struct router_ev){ .kind = ROUTER_TICK });
	assert_int_equal(watch_of(&z.node[0], "i-3", &token), 1);
	for (size_t i = 0; i < sizeof answers / sizeof *answers; i++) {
		struct Nl__Kept kept = NL__KEPT__INIT;
		struct router_ev ev = { .kind = ROUTER_WATCHED };

		out_clear(&z.node[0].out);
		kept.server = "i-3";
		kept.epoch = 1;
		kept.next = i + 1;
		kept.lost = answers[i].lost;
		ev.u.kept.token = token;
		ev.u.kept.k = &kept;
		ev.u.kept.status = 200;
		node_step(&z, 0, &ev);
		z.now += ROUTER_WATCH_GAP + TICK_MS;
		z.node[0].router.f.fresh = z.now;
		node_step(&z, 0, &(struct router_ev){ .kind = ROUTER_TICK });
		assert_int_equal(watch_of(&z.node[0], "i-3", &token), answers[i].all_next);
	}
	zone_close(&z);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(every_follower_ends_with_the_heads_index),
		cmocka_unit_test(the_feed_keeps_to_its_share_of_the_link),
		cmocka_unit_test(a_new_head_asks_few_servers_at_once),
		cmocka_unit_test(what_is_kept_is_listed_once),
	};
	int rc;

	apr_initialize();
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	apr_terminate();
	return rc;
}
