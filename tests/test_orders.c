/* Operators' orders: the record that recognises repeated ones, and histories of many operators at once, under virtual time,
 * while answers are lost and controllers fall, freeze and are cut off, or are told to stop one after the other. Each history
 * must be linearizable. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <cmocka.h>

#include "doc.h"
#include "ds.h"
#include "linear.h"
#include "orders.h"
#include "sim.h"

/* ---- the record ---- */

static struct order_id identity(const char *key, int based, uint64_t base, const char *body)
{
	struct order_id id;

	order_identify(&id, key, "/v1/change", based, base, body, strlen(body));
	return id;
}

static void orders_are_identified(void **state)
{
	struct order_id a = identity("key", 0, 0, "x"), same = identity("key", 0, 0, "x"), other = identity("key", 0, 0, "y");
	struct order_id plain = identity(NULL, 1, 7, "x"), plain_same = identity("", 1, 7, "x"),
			rebased = identity(NULL, 1, 8, "x"), free_standing = identity(NULL, 0, 0, "x");
	struct order_id path;
	char key[ORDER_KEY_MAX + 2];

	(void)state;
	assert_true(order_same(&a, &same));
	assert_false(order_same(&a, &other));
	assert_memory_equal(a.id, other.id, ORDER_DIGEST); /* one key: found, and seen to be another */
	assert_true(order_same(&plain, &plain_same));
	assert_false(order_same(&plain, &rebased));
	assert_memory_not_equal(plain.id, rebased.id, ORDER_DIGEST);
	assert_false(free_standing.set);
	assert_false(order_same(&free_standing, &free_standing));
	order_identify(&path, NULL, "/v1/clear", 1, 7, "x", 1);
	assert_memory_not_equal(plain.id, path.id, ORDER_DIGEST);
	assert_true(order_key_valid("a") && order_key_valid("\"8e03978e-40d5-43dd-bc93-6894a57f9324\""));
	assert_false(order_key_valid("") || order_key_valid("a b") || order_key_valid("a\x7f") || order_key_valid("\xc3\xa4"));
	memset(key, 'k', sizeof key);
	key[ORDER_KEY_MAX] = 0;
	assert_true(order_key_valid(key));
	key[ORDER_KEY_MAX] = 'k';
	key[ORDER_KEY_MAX + 1] = 0;
	assert_false(order_key_valid(key));
}

static struct order_id numbered(uint64_t n) { return identity(NULL, 1, n, "x"); }

static void the_record_is_bounded_and_knows_how_far_it_reaches(void **state)
{
	struct orders orders = { .kept = 100 }, loaded = { .kept = 100 };
	struct Nl__CtlState saved = NL__CTL_STATE__INIT;
	struct order_id id;
	apr_pool_t *pool;

	(void)state;
	apr_pool_create(&pool, NULL);
	for (uint64_t base = 0; base < 250; base++) {
		id = numbered(base);
		assert_null(orders_find(&orders, &id));
		orders_add(&orders, &id, base % 2 ? ORDER_DOCUMENTS : ORDER_CHANGES, base + 1);
	}
	orders_pack(&orders, &saved, pool);
	orders_load(&loaded, &saved);
	for (int round = 0; round < 2; round++) {
		const struct orders *record = round ? &loaded : &orders;

		assert_int_equal(arrlen(record->v), 100);
		for (uint64_t base = 0; base < 250; base++) {
			id = numbered(base);
			if (base < 150) {
				assert_null(orders_find(record, &id));
				assert_true(orders_may_have_forgotten(record, base % 2 ? ORDER_DOCUMENTS : ORDER_CHANGES,
								      base)); /* so it is not refused */
			} else {
				assert_non_null(orders_find(record, &id));
				assert_int_equal(orders_find(record, &id)->version, base + 1);
				assert_false(orders_may_have_forgotten(record, base % 2 ? ORDER_DOCUMENTS : ORDER_CHANGES, base));
			}
		}
	}
	id = numbered(300); /* both go on alike */
	orders_add(&orders, &id, ORDER_DOCUMENTS, 301);
	orders_add(&loaded, &id, ORDER_DOCUMENTS, 301);
	id = numbered(150);
	assert_null(orders_find(&orders, &id));
	assert_null(orders_find(&loaded, &id));
	assert_int_equal(orders.forgotten[ORDER_CHANGES], loaded.forgotten[ORDER_CHANGES]);
	orders_load(&loaded, NULL);
	assert_int_equal(arrlen(loaded.v), 0);
	assert_int_equal(loaded.forgotten[ORDER_DOCUMENTS], 0);
	orders_clear(&orders);
	orders_clear(&loaded);
	apr_pool_destroy(pool);
}

/* What the record adds to each snapshot, once it is full. */
static void a_full_record_is_small(void **state)
{
	struct orders orders = { 0 };
	struct Nl__CtlState saved = NL__CTL_STATE__INIT;
	apr_pool_t *pool;
	size_t bytes;

	(void)state;
	apr_pool_create(&pool, NULL);
	for (uint64_t i = 0; i < 2 * ORDERS_KEPT; i++) {
		char key[40];
		struct order_id id;

		snprintf(key, sizeof key, "operator-%llu", (unsigned long long)i);
		id = identity(key, 1, i, "x");
		orders_add(&orders, &id, ORDER_CHANGES, 1000000 + i);
	}
	assert_int_equal(arrlen(orders.v), ORDERS_KEPT);
	orders_pack(&orders, &saved, pool);
	bytes = nl__ctl_state__get_packed_size(&saved);
	print_message("a full record: %zu bytes in a snapshot\n", bytes);
	assert_true(bytes < 400 * 1000);
	orders_clear(&orders);
	apr_pool_destroy(pool);
}

/* ---- a fleet and its operators ---- */

enum {
	WRITERS = 8,
	READERS = 2,
	COPIES = 2, /* of one order that are under way at once */
	REPLICAS = 3,
	PATIENCE_MS = 1000, /* without an answer, an order is sent again */
	LOOK_MS = 5,
	RUN_MS = 25000,
	LONG_RUN_MS = 120000,
	STOPS_RUN_MS = 45000,
	SETTLE_MS = 30000,
	STOP_EVERY_MS = 4000,
	GRACE_MS = 7300,     /* of a planned stop */
	STOP_CALLS_MS = 700, /* in which a controller that is to stop has answered all calls */
	REPEATERS = 2
};

enum interface { DOCUMENTS, TABLE };
enum trouble { FAULTS, PLANNED_STOPS };

/* One sending of an order or a reading. */
struct copy {
	uint64_t token;
	int node, hops, lost;
	int64_t sent;
};

/* What an operator knows to be, or to have been, in force. */
struct known {
	uint64_t version, value;
};

struct operator
{
	int busy, reads, gives_up;
	struct linear_op op;
	uint64_t base_value; /* what it builds on, as a value */
	char body[400], key[40];
	struct copy copy[COPIES];
	int copies, sendings;
	int64_t again; /* when it is sent next */
	int repeats;   /* an order that was accepted before: its number in accepted, plus one */
};

/* An order that was acknowledged, and what was said. */
struct accepted {
	char body[400], key[40];
	uint64_t base, version;
};

struct world {
	struct sim s;
	enum interface interface;
	enum trouble trouble;
	int registrars;
	uint64_t rng, values, newest;
	struct operator writer[WRITERS], reader[READERS], repeater[REPEATERS];
	struct linear_op *ops;     /* stb_ds: the history */
	uint64_t *base_value;      /* stb_ds: for each of ops */
	struct known *known;       /* stb_ds: by version */
	struct accepted *accepted; /* stb_ds */
	int64_t trouble_at, heal_at;
	int broken;        /* the node in trouble; -1: none */
	int64_t told_at;   /* when it was told to stop; 0: it was not, or has ended */
	int64_t *calls_ms; /* stb_ds: of each planned stop, until no call was open any more */
	uint64_t refused, unknown, resent, repeated, troubles, snapshots, reads;
};

static uint64_t dice(struct world *w, uint64_t n) { return core_rand(&w->rng) % n; }

static void intact(struct world *w)
{
	if (w->s.bad[0])
		fail_msg("%s", w->s.bad);
}

/* Every shard has a leader, and so many replicas that vote and are up. */
static int whole(struct world *w)
{
	for (uint32_t i = 0; i < SHARD_COUNT; i++) {
		int leader = sim_owner(&w->s, i);
		const struct raft *shard;

		if (leader < 0)
			return 0;
		shard = &w->s.n[leader].r->part[i];
		if (shard->member_count != REPLICAS || shard->members_index > shard->commit)
			return 0;
		for (int k = 0; k < shard->member_count; k++) {
			int up = 0;

			for (int q = 0; q < w->registrars; q++)
				up |= w->s.n[q].up && !w->s.n[q].frozen && !w->s.n[q].cell && w->s.n[q].id == shard->members[k].id;
			if (!up || !shard->members[k].voter)
				return 0;
		}
	}
	return 1;
}

static void run_until_whole(struct world *w, int64_t ms)
{
	int64_t end = w->s.now + ms;

	while (!whole(w) && w->s.now < end && sim_run(&w->s, 25, NULL))
		;
	intact(w);
	if (!whole(w))
		fail_msg("seed %llu: not whole after %lld ms", (unsigned long long)w->s.seed, (long long)ms);
}

static void found(struct world *w, uint64_t seed, enum interface interface, enum trouble trouble)
{
	uint64_t seeds[3];
	char text[32];

	memset(w, 0, sizeof *w);
	w->interface = interface;
	w->trouble = trouble;
	w->broken = -1;
	w->registrars = 4 + (int)(seed % 2);
	w->rng = seed * 977 + 5;
	sim_open(&w->s, seed);
	w->s.codec = &platform_tongue;
	w->s.copies = REPLICAS;
	w->s.catch_up_ms = 4000;
	for (int i = 0; i < 3; i++) {
		snprintf(text, sizeof text, "127.0.1.%d:7000", i + 1);
		seeds[i] = core_addr(text);
	}
	for (int i = 0; i < w->registrars; i++) {
		snprintf(text, sizeof text, "z%d", i % 3 + 1);
		sim_registrar(&w->s, text, seeds, 3);
	}
	controller_bootstrap(w->s.n[0].r, sim_local(&w->s, 0));
	run_until_whole(w, 8000);
}

static void close_world(struct world *w)
{
	arrfree(w->ops);
	arrfree(w->base_value);
	arrfree(w->known);
	arrfree(w->accepted);
	arrfree(w->calls_ms);
	sim_close(&w->s);
}

/* ---- sending ---- */

static int node_at(struct world *w, uint64_t addr)
{
	for (int i = 0; i < w->registrars; i++)
		if (w->s.n[i].addr == addr)
			return i;
	return -1;
}

static void send_to(struct world *w, struct operator* o, struct copy *c, int node, int hops)
{
	c->node = node;
	c->hops = hops;
	c->sent = w->s.now;
	c->token = 0;
	if (w->told_at && node == w->broken)
		return; /* its door is shut */
	if (w->interface == DOCUMENTS)
		c->token = sim_doc(&w->s, node, o->op.base, 0, o->reads ? NULL : o->body, NULL);
	else if (o->reads)
		c->token = sim_call(&w->s, node, "GET", "/v1/table", "");
	else
		c->token = sim_call_keyed(&w->s, node, "POST", "/v1/change", o->body, o->key);
}

/* Send the order once, now and then to two controllers at the same moment; some answers will be lost. */
static void send_copies(struct world *w, struct operator* o)
{
	o->copies = o->reads || dice(w, 6) ? 1 : 2;
	for (int i = 0; i < o->copies; i++) {
		o->copy[i].lost = o->sendings < 4 && !dice(w, 4);
		send_to(w, o, &o->copy[i], (int)dice(w, (uint64_t)w->registrars), 0);
	}
	o->sendings++;
	w->resent += o->sendings > 1;
}

/* What one copy was answered, if it was: its status, 0 for none yet, -1 if none will be heard of. */
static int hear(struct world *w, struct operator* o, struct copy *c, const struct sim_web **answer)
{
	const struct sim_web *a = *answer = c->lost ? NULL : sim_answer(&w->s, c->token);

	if (a && a->status == 307) {
		if (c->hops < 2 && node_at(w, a->to) >= 0) {
			send_to(w, o, c, node_at(w, a->to), c->hops + 1);
			return 0;
		}
		return -1;
	}
	if (a)
		return a->status >= 500 ? -1 : a->status;
	if (!c->token)
		return -1;
	return w->s.now - c->sent > PATIENCE_MS ? -1 : 0;
}

static uint64_t number_after(const char *text, const char *name)
{
	const char *at = text ? strstr(text, name) : NULL;

	return at ? strtoull(at + strlen(name), NULL, 10) : 0;
}

/* What a reading returned: the version and the content. */
static void take_reading(struct world *w, struct operator* o, const struct sim_web *a, int status)
{
	const char *text = a->whole ? a->whole : "";

	o->op.outcome = LINEAR_OK;
	if (w->interface == DOCUMENTS) {
		if (status != 200)
			return; /* none was taken yet: version 0 */
		o->op.version = number_after(text, "\"ConfigVersion\":");
		o->op.value = number_after(text, "\"OrderNumber\":");
		return;
	}
	o->op.value = number_after(text, "\"limit\":");
	o->op.version = o->op.value ? number_after(text, "\"plan\":") : 0;
}

static void remember(struct world *w, const struct operator* o)
{
	struct accepted a;

	memset(&a, 0, sizeof a);
	memcpy(a.body, o->body, sizeof a.body);
	memcpy(a.key, o->key, sizeof a.key);
	a.base = o->op.base;
	a.version = o->op.version;
	arrput(w->accepted, a);
	if (a.version > w->newest)
		w->newest = a.version;
}

/* An order that was accepted before is sent again: it must be acknowledged, with the same version. */
static void take_repetition(struct world *w, struct operator* o, const struct sim_web *a, int status)
{
	const struct accepted *first = &w->accepted[o->repeats - 1];

	if (status != 200)
		fail_msg("seed %llu: version %llu on %llu was acknowledged; sent again after %td more, it is refused with %d: %s",
			 (unsigned long long)w->s.seed, (unsigned long long)first->version, (unsigned long long)first->base,
			 arrlen(w->accepted) - o->repeats, status, a->body);
	if (w->interface == TABLE && number_after(a->body, "\"edition\":") != first->version)
		fail_msg("seed %llu: acknowledged as %llu first, then %s", (unsigned long long)w->s.seed,
			 (unsigned long long)first->version, a->body);
	w->repeated++;
	o->busy = 0;
}

/* Operators tell each other what they learn. */
static void learn(struct world *w, const struct linear_op *op)
{
	struct known known = { op->version, op->value };
	ptrdiff_t at = arrlen(w->known);

	while (at > 0 && w->known[at - 1].version > known.version)
		at--;
	if (at == 0 || w->known[at - 1].version != known.version)
		arrins(w->known, at, known);
}

static void note(struct world *w, const struct operator* o)
{
	arrput(w->ops, o->op);
	arrput(w->base_value, o->base_value);
}

/* The operator has a clear answer. */
static void conclude(struct world *w, struct operator* o, const struct sim_web *a, int status)
{
	o->op.returned = w->s.now;
	o->busy = 0;
	if (o->reads) {
		if (status != 200 && status != 404)
			fail_msg("seed %llu: a reading is answered with %d", (unsigned long long)w->s.seed, status);
		take_reading(w, o, a, status);
		learn(w, &o->op);
		w->reads++;
	} else if (status == 200) {
		o->op.outcome = LINEAR_OK;
		if (w->interface == TABLE)
			o->op.version = number_after(a->body, "\"edition\":");
		learn(w, &o->op);
		remember(w, o);
	} else {
		if (status != (w->interface == TABLE ? 409 : 412))
			fail_msg("seed %llu: status %d for a valid order: %s", (unsigned long long)w->s.seed, status, a->body);
		o->op.outcome = LINEAR_REFUSED;
		w->refused++;
	}
	note(w, o);
}

/* The copies of one order must not be answered unlike. */
static void compare_copies(struct world *w, struct operator* o, int status)
{
	for (int i = 0; i < o->copies; i++) {
		const struct sim_web *a = sim_answer(&w->s, o->copy[i].token);

		if (a && a->status < 500 && a->status != 307 && a->status != status)
			fail_msg("seed %llu: copies of one order are answered with %d and %d", (unsigned long long)w->s.seed,
				 status, a->status);
	}
}

/* Some hang up, others just hear nothing more. */
static void leave_calls(struct world *w, struct operator* o)
{
	for (int i = 0; i < o->copies; i++)
		if (dice(w, 2) && o->copy[i].token && !sim_answer(&w->s, o->copy[i].token))
			sim_hang_up(&w->s, o->copy[i].node, o->copy[i].token);
	o->copies = 0;
}

/* One look at an operator. */
static void attend(struct world *w, struct operator* o)
{
	int waiting = 0;

	if (!o->busy)
		return;
	for (int i = 0; i < o->copies; i++) {
		const struct sim_web *a;
		int status = hear(w, o, &o->copy[i], &a);

		waiting += !status;
		if (status <= 0)
			continue;
		if (!o->reads)
			compare_copies(w, o, status);
		if (o->repeats)
			take_repetition(w, o, a, status);
		else
			conclude(w, o, a, status);
		return;
	}
	if (waiting)
		return;
	if (o->copies) { /* none will be answered: again, elsewhere, a little later */
		leave_calls(w, o);
		o->again = w->s.now + 20 + (int64_t)dice(w, 200);
	}
	if (o->gives_up && o->sendings) {
		o->op.outcome = LINEAR_UNKNOWN;
		if (w->interface == TABLE)
			o->op.version = LINEAR_ANY;
		note(w, o);
		w->unknown++;
		o->busy = 0;
	} else if (w->s.now >= o->again) {
		send_copies(w, o);
	}
}

/* ---- what operators want ---- */

static void begin(struct world *w, struct operator* o, int reads)
{
	memset(o, 0, sizeof *o);
	o->busy = 1;
	o->reads = reads;
	o->op.kind = reads ? LINEAR_READ : LINEAR_WRITE;
	o->op.called = o->again = w->s.now;
}

/* The newest that is known, or now and then something older. */
static void choose_base(struct world *w, struct operator* o)
{
	ptrdiff_t n = arrlen(w->known);
	struct known base = { 0, 0 };

	if (n)
		base = w->known[dice(w, 10) ? (size_t)n - 1 : dice(w, (uint64_t)n)];
	o->op.base = base.version;
	o->base_value = base.value;
}

/* A document on the newest version that is known, or now and then on an older one; several may choose the same number. */
static void write_document(struct world *w, struct operator* o)
{
	choose_base(w, o);
	o->op.version = o->op.base + 1 + dice(w, 2);
	snprintf(o->body, sizeof o->body,
		 "{\"ConfigVersion\":%llu,\"RouteList\":[],\"ServiceList\":[],\"TenantList\":[],\"OrderNumber\":%llu}",
		 (unsigned long long)o->op.version, (unsigned long long)o->op.value);
}

/* A change of one cell: on the newest version known, and now and then on whatever is in force, then with a key. */
static void write_row(struct world *w, struct operator* o)
{
	int anywhere = !dice(w, 6);
	char expect[40] = "";

	choose_base(w, o);
	if (anywhere)
		o->op.base = LINEAR_ANY;
	o->op.version = LINEAR_ANY;
	if (!anywhere)
		snprintf(expect, sizeof expect, "\"expect\":%llu,", (unsigned long long)o->op.base);
	if (anywhere || dice(w, 2))
		snprintf(o->key, sizeof o->key, "operator-%llu", (unsigned long long)o->op.value);
	snprintf(o->body, sizeof o->body, "{%s\"set\":[{\"kind\":\"tenant\",\"name\":\"t\",\"share\":1,\"limit\":%llu}]}", expect,
		 (unsigned long long)o->op.value);
}

static void begin_order(struct world *w, struct operator* o)
{
	begin(w, o, 0);
	o->op.value = ++w->values;
	o->gives_up = !dice(w, 40);
	if (w->interface == DOCUMENTS)
		write_document(w, o);
	else
		write_row(w, o);
}

static void begin_repetition(struct world *w, struct operator* o)
{
	size_t n = (size_t)arrlen(w->accepted), at = dice(w, 2) ? dice(w, n) : dice(w, n / 4 + 1); /* rather an old one */

	begin(w, o, 0);
	o->repeats = (int)at + 1;
	o->op.base = w->accepted[at].base;
	memcpy(o->body, w->accepted[at].body, sizeof o->body);
	memcpy(o->key, w->accepted[at].key, sizeof o->key);
}

/* ---- trouble ---- */

static void snapshot_somewhere(struct world *w)
{
	int node = (int)dice(w, (uint64_t)w->registrars);

	if (!w->s.n[node].up)
		return;
	w->s.n[node].r->part[SHARD_CONTROL].applied_bytes = 2 * RAFT_SNAPSHOT_LOG_BYTES; /* as after large documents */
	w->snapshots++;
}

static void break_something(struct world *w)
{
	int leader = sim_owner(&w->s, SHARD_CONTROL),
	    node = leader >= 0 && dice(w, 3) ? leader : (int)dice(w, (uint64_t)w->registrars);

	w->broken = node;
	w->troubles++;
	w->heal_at = w->s.now + 200 + (int64_t)dice(w, 3000);
	switch (dice(w, 6)) {
	case 0: sim_crash(&w->s, node, 0); break;
	case 1: sim_crash(&w->s, node, 1); break;
	case 2: sim_cut(&w->s, node, 1); break;
	case 3: sim_freeze(&w->s, node, 1); break;
	case 4: w->s.n[node].stall_until = w->heal_at; break;
	default: /* it speaks, and hears nothing; or the other way round */
		for (int i = 0, deaf = (int)dice(w, 2); i < w->registrars; i++)
			w->s.link_cut[deaf ? i : node][deaf ? node : i] = i != node;
	}
}

static void heal(struct world *w)
{
	if (!w->s.n[w->broken].up)
		sim_start(&w->s, w->broken);
	sim_freeze(&w->s, w->broken, 0);
	sim_cut(&w->s, w->broken, 0);
	memset(w->s.link_cut, 0, sizeof w->s.link_cut);
	w->broken = -1;
	w->trouble_at = INT64_MAX; /* the next once all is whole */
}

/* ---- planned stops ---- */

/* As a program that got SIGTERM: it ends once nothing needs it and all its calls are answered, and at the latest when the
 * grace is over; no call may be open by then. Some go for good, and an empty machine takes the address. */
static void end_planned_stop(struct world *w)
{
	struct controller *r = w->s.n[w->broken].r;
	uint64_t open = operator_calls_open(r);
	int64_t took = w->s.now - w->told_at;

	if (open && took > STOP_CALLS_MS)
		fail_msg("seed %llu: %llu calls are open %lld ms after the stop", (unsigned long long)w->s.seed,
			 (unsigned long long)open, (long long)took);
	if (!open && w->calls_ms && arrlast(w->calls_ms) < 0)
		arrlast(w->calls_ms) = took;
	if ((open || !controller_stopped(r, sim_local(&w->s, w->broken))) && took < GRACE_MS)
		return;
	sim_crash(&w->s, w->broken, (int)dice(w, 2));
	w->told_at = 0;
	w->heal_at = w->s.now + 100 + (int64_t)dice(w, 1500);
}

static void begin_planned_stop(struct world *w)
{
	int leader = sim_owner(&w->s, SHARD_CONTROL);

	w->broken = leader >= 0 && dice(w, 5) ? leader : (int)dice(w, (uint64_t)w->registrars);
	w->told_at = w->s.now;
	w->heal_at = INT64_MAX;
	w->trouble_at = w->s.now + STOP_EVERY_MS;
	w->troubles++;
	arrput(w->calls_ms, -1);
	sim_stop(&w->s, w->broken);
}

static void planned_stops(struct world *w, int64_t end)
{
	if (w->told_at)
		end_planned_stop(w);
	if (w->broken >= 0 && w->s.now >= w->heal_at) {
		sim_start(&w->s, w->broken);
		w->broken = -1;
	}
	if (w->broken < 0 && w->s.now >= w->trouble_at && w->s.now < end && whole(w))
		begin_planned_stop(w);
	if (!dice(w, 200))
		snapshot_somewhere(w);
}

static void trouble(struct world *w, int64_t end)
{
	if (w->trouble == PLANNED_STOPS) {
		planned_stops(w, end);
		return;
	}
	if (w->broken >= 0 && w->s.now >= w->heal_at)
		heal(w);
	if (w->trouble_at == INT64_MAX && whole(w))
		w->trouble_at = w->s.now + 200 + (int64_t)dice(w, 1500);
	if (w->broken < 0 && w->s.now >= w->trouble_at && w->s.now < end)
		break_something(w);
	if (!dice(w, 200))
		snapshot_somewhere(w);
}

/* ---- a run, and its judgement ---- */

static int idle(const struct world *w)
{
	for (int i = 0; i < WRITERS; i++)
		if (w->writer[i].busy)
			return 0;
	for (int i = 0; i < READERS; i++)
		if (w->reader[i].busy)
			return 0;
	return !w->repeater[0].busy && !w->repeater[1].busy;
}

static void look(struct world *w, int more)
{
	for (int i = 0; i < WRITERS; i++) {
		attend(w, &w->writer[i]);
		if (more && !w->writer[i].busy && !dice(w, 3))
			begin_order(w, &w->writer[i]);
	}
	for (int i = 0; i < READERS; i++) {
		attend(w, &w->reader[i]);
		if (more && !w->reader[i].busy && !dice(w, 8))
			begin(w, &w->reader[i], 1);
	}
	for (int i = 0; i < REPEATERS; i++) {
		attend(w, &w->repeater[i]);
		if (more && !w->repeater[i].busy && arrlen(w->accepted) && !dice(w, 8))
			begin_repetition(w, &w->repeater[i]);
	}
}

static void operate(struct world *w, int64_t run_ms)
{
	int64_t end = w->s.now + run_ms;

	w->s.loss = w->s.seed % 3 == 0 ? 20 : 0;
	w->s.disk_ms = w->s.seed % 4 == 1 ? 30 : 2;
	w->trouble_at = w->s.now + 500;
	while (w->s.now < end || !idle(w)) {
		if (w->s.now > end + SETTLE_MS)
			fail_msg("seed %llu: an order finds no end", (unsigned long long)w->s.seed);
		if (!sim_run(&w->s, LOOK_MS, NULL))
			break;
		trouble(w, end);
		look(w, w->s.now < end);
	}
	intact(w);
	while (w->told_at && sim_run(&w->s, LOOK_MS, NULL))
		end_planned_stop(w);
	if (w->broken >= 0)
		heal(w);
	w->s.loss = 0;
	run_until_whole(w, 20000);
}

/* Read at the leader, once all is calm. */
static void read_back(struct world *w)
{
	struct operator* o = & w->reader[0];

	begin(w, o, 1);
	while (o->busy) {
		attend(w, o);
		if (w->s.now > o->op.called + SETTLE_MS || !sim_run(&w->s, LOOK_MS, NULL))
			fail_msg("seed %llu: nothing is read back", (unsigned long long)w->s.seed);
	}
	if (o->op.version < w->newest)
		fail_msg("seed %llu: version %llu is read back after %llu was acknowledged", (unsigned long long)w->s.seed,
			 (unsigned long long)o->op.version, (unsigned long long)w->newest);
}

/* All that was ever acknowledged is acknowledged again. */
static void repeat_all(struct world *w)
{
	for (size_t i = 0; i < (size_t)arrlen(w->accepted); i++) {
		struct operator* o = & w->repeater[0];

		begin_repetition(w, o);
		o->repeats = (int)i + 1;
		o->op.base = w->accepted[i].base;
		memcpy(o->body, w->accepted[i].body, sizeof o->body);
		memcpy(o->key, w->accepted[i].key, sizeof o->key);
		o->sendings = 4; /* none of these answers is lost */
		while (o->busy) {
			attend(w, o);
			if (w->s.now > o->op.called + SETTLE_MS || !sim_run(&w->s, 1, NULL))
				fail_msg("seed %llu: no answer to a repeated order", (unsigned long long)w->s.seed);
		}
	}
}

/* The version of the table under which a value came into force: that its order was told, else the lowest under which it was
 * read. Other rows raise the table's version too, and a reading may show any from there up to the next change. */
static uint64_t table_version(const struct world *w, uint64_t value)
{
	uint64_t version = value ? LINEAR_ANY : 0;

	for (ptrdiff_t i = 0; i < arrlen(w->ops); i++)
		if (w->ops[i].value == value && w->ops[i].outcome == LINEAR_OK && w->ops[i].version < version)
			version = w->ops[i].version;
	return version;
}

static void settle_table_versions(struct world *w)
{
	uint64_t *version = calloc(w->values + 1, sizeof *version);

	for (uint64_t value = 0; value <= w->values; value++)
		version[value] = table_version(w, value);
	for (ptrdiff_t i = 0; i < arrlen(w->ops); i++) {
		w->ops[i].version = version[w->ops[i].value];
		if (w->ops[i].base != LINEAR_ANY)
			w->ops[i].base = version[w->base_value[i]];
	}
	free(version);
}

/* Said apart from the checker's verdict, since it is the fault that operators report. */
static void one_winner_for_each_base(struct world *w)
{
	for (ptrdiff_t i = 0; i < arrlen(w->ops); i++)
		for (ptrdiff_t k = 0; k < i; k++) {
			const struct linear_op *a = &w->ops[i], *b = &w->ops[k];

			if (a->kind == LINEAR_WRITE && b->kind == LINEAR_WRITE && a->outcome == LINEAR_OK &&
			    b->outcome == LINEAR_OK && ((a->base == b->base && a->base != LINEAR_ANY) || a->version == b->version))
				fail_msg("seed %llu: two orders on version %llu are acknowledged as %llu and %llu",
					 (unsigned long long)w->s.seed, (unsigned long long)a->base, (unsigned long long)b->version,
					 (unsigned long long)a->version);
		}
}

static void judge(struct world *w)
{
	char why[400];

	one_winner_for_each_base(w);
	if (w->interface == TABLE)
		settle_table_versions(w);
	if (linear_check(w->ops, (size_t)arrlen(w->ops), why, sizeof why) != LINEAR_HOLDS) {
		if (getenv("NL_HISTORY"))
			for (ptrdiff_t i = 0; i < arrlen(w->ops); i++) {
				char text[200];

				linear_print(&w->ops[i], text, sizeof text);
				print_message("%s\n", text);
			}
		fail_msg("seed %llu: %s", (unsigned long long)w->s.seed, why);
	}
}

/* All replicas that have applied as much hold the same record. */
static void replicas_agree(struct world *w)
{
	int leader = sim_owner(&w->s, SHARD_CONTROL);
	size_t n, m;
	apr_pool_t *pool;
	uint8_t *a;

	apr_pool_create(&pool, NULL);
	a = controller_state(w->s.n[leader].r, SHARD_CONTROL, pool, &n);
	for (int i = 0; i < w->registrars; i++) {
		const struct raft *shard = &w->s.n[i].r->part[SHARD_CONTROL];
		uint8_t *b;

		if (!w->s.n[i].up || shard->applied != w->s.n[leader].r->part[SHARD_CONTROL].applied || !shard->member_count)
			continue;
		b = controller_state(w->s.n[i].r, SHARD_CONTROL, pool, &m);
		assert_int_equal(n, m);
		assert_memory_equal(a, b, n);
	}
	apr_pool_destroy(pool);
}

static int compare_times(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static void print_stops(int64_t *ms)
{
	ptrdiff_t n = arrlen(ms);

	if (!ms || !n)
		return;
	qsort(ms, (size_t)n, sizeof *ms, compare_times);
	print_message("%td planned stops: all calls answered after %lld ms in the median, p99 %lld, most %lld\n", n,
		      (long long)ms[n / 2], (long long)ms[(n - 1) * 99 / 100], (long long)ms[n - 1]);
}

static void operators_at_once(enum interface interface, enum trouble trouble, const char *name, uint64_t seeds_wanted,
			      int64_t run_ms)
{
	uint64_t seeds = getenv("NL_SEEDS") ? strtoull(getenv("NL_SEEDS"), NULL, 10) : seeds_wanted,
		 first = getenv("NL_SEED") ? strtoull(getenv("NL_SEED"), NULL, 10) : 1;
	uint64_t orders = 0, accepted = 0, refused = 0, unknown = 0, reads = 0, resent = 0, repeated = 0, troubles = 0,
		 snapshots = 0;
	int64_t *calls_ms = NULL;
	static struct world w;

	for (uint64_t seed = first; seed < first + seeds; seed++) {
		found(&w, seed, interface, trouble);
		operate(&w, run_ms);
		read_back(&w);
		judge(&w);
		repeat_all(&w);
		read_back(&w); /* repeated orders changed nothing */
		judge(&w);
		replicas_agree(&w);
		intact(&w);
		orders += w.values;
		accepted += (uint64_t)arrlen(w.accepted);
		refused += w.refused;
		unknown += w.unknown;
		reads += w.reads;
		resent += w.resent;
		repeated += w.repeated;
		troubles += w.troubles;
		snapshots += w.snapshots;
		for (ptrdiff_t i = 0; i < arrlen(w.calls_ms); i++)
			arrput(calls_ms, w.calls_ms[i]);
		close_world(&w);
	}
	print_message(
	    "%s, %llu seeds: %llu orders: %llu accepted, %llu refused, %llu unknown; %llu readings; sent again without an answer %llu times, after an acknowledgement %llu; "
	    "%llu troubles, %llu snapshots\n",
	    name, (unsigned long long)seeds, (unsigned long long)orders, (unsigned long long)accepted, (unsigned long long)refused,
	    (unsigned long long)unknown, (unsigned long long)reads, (unsigned long long)resent, (unsigned long long)repeated,
	    (unsigned long long)troubles, (unsigned long long)snapshots);
	print_stops(calls_ms);
	arrfree(calls_ms);
	assert_true(accepted > 20 * seeds && refused > 20 * seeds && resent > 20 * seeds && repeated > 20 * seeds &&
		    troubles > seeds);
}

static void documents_of_many_operators(void **state)
{
	(void)state;
	operators_at_once(DOCUMENTS, FAULTS, "documents", 30, RUN_MS);
}

static void changes_of_many_operators(void **state)
{
	(void)state;
	operators_at_once(TABLE, FAULTS, "changes", 30, RUN_MS);
}

/* Long enough for many hundred accepted orders between an order and its repetition. */
static void many_hundred_orders(void **state)
{
	(void)state;
	operators_at_once(DOCUMENTS, FAULTS, "documents, long", 4, LONG_RUN_MS);
	operators_at_once(TABLE, FAULTS, "changes, long", 4, LONG_RUN_MS);
}

/* Hundreds of changes while the leader is told to stop every 4 s and comes back with its disk or as an empty machine. */
static void orders_through_planned_stops(void **state)
{
	(void)state;
	operators_at_once(DOCUMENTS, PLANNED_STOPS, "documents, planned stops", 6, STOPS_RUN_MS);
	operators_at_once(TABLE, PLANNED_STOPS, "changes, planned stops", 6, STOPS_RUN_MS);
}

/* ---- single cases ---- */

/* Make a call as one operator does, wherever it is answered; its status. */
static int call(struct world *w, const char *path, const char *body, const char *key, const struct sim_web **answer)
{
	int64_t end = w->s.now + SETTLE_MS;

	while (w->s.now < end) {
		int node = (int)dice(w, (uint64_t)w->registrars);
		uint64_t token = w->s.n[node].up ? sim_call_keyed(&w->s, node, "POST", path, body, key) : 0;
		int64_t sent = w->s.now;

		for (int hops = 0; token && w->s.now - sent < 6000 && sim_run(&w->s, LOOK_MS, NULL);) {
			const struct sim_web *a = sim_answer(&w->s, token);

			if (a && a->status == 307 && hops++ < 2) {
				node = node_at(w, a->to);
				token = node >= 0 ? sim_call_keyed(&w->s, node, "POST", path, body, key) : 0;
			} else if (a && a->status < 500 && a->status != 307) {
				*answer = a;
				return a->status;
			} else if (a) {
				break;
			}
		}
		sim_run(&w->s, 50, NULL);
	}
	fail_msg("seed %llu: no clear answer to %s", (unsigned long long)w->s.seed, body);
	return 0;
}

/* Another leader, without the one that leads now; it comes back without its disk. */
static void replace_leader(struct world *w)
{
	int leader = sim_owner(&w->s, SHARD_CONTROL);

	sim_crash(&w->s, leader, 1);
	sim_run(&w->s, 3000, NULL);
	sim_start(&w->s, leader);
	run_until_whole(w, 15000);
}

static uint64_t edition(const struct sim_web *a) { return number_after(a->body, "\"edition\":"); }

static const char tenant_change[] = "{\"expect\":0,\"set\":[{\"kind\":\"tenant\",\"name\":\"t\",\"share\":1}]}";
static const char other_change[] = "{\"expect\":0,\"set\":[{\"kind\":\"tenant\",\"name\":\"t\",\"share\":2}]}";
static const char unconditional[] = "{\"set\":[{\"kind\":\"tenant\",\"name\":\"t\",\"share\":3}]}";

static const char service_change[] =
    "{\"set\":[{\"kind\":\"service\",\"name\":\"s\",\"weights\":\"w\",\"prefill\":20,\"kv_bytes\":400,\"link\":1000}]}";
static const char removal[] = "{\"del\":[{\"kind\":\"service\",\"name\":\"s\"}]}";

static void a_change_sent_again_is_acknowledged_again(void **state)
{
	static struct world w;
	const struct sim_web *a;
	uint64_t first, keyed, later;

	(void)state;
	found(&w, 4, TABLE, FAULTS);
	sim_run(&w.s, 3000, NULL);
	assert_int_equal(call(&w, "/v1/change", tenant_change, "", &a), 200);
	first = edition(a);
	assert_int_equal(call(&w, "/v1/change", tenant_change, "", &a), 200); /* was: 409, edition overtaken */
	assert_int_equal(edition(a), first);
	assert_int_equal(call(&w, "/v1/change", other_change, "", &a), 409);
	/* without a base it is recognised by its key alone */
	assert_int_equal(call(&w, "/v1/change", unconditional, "key-1", &a), 200);
	keyed = edition(a);
	assert_true(keyed > first);
	assert_int_equal(call(&w, "/v1/change", unconditional, "key-1", &a), 200);
	assert_int_equal(edition(a), keyed);
	assert_int_equal(call(&w, "/v1/change", unconditional, "key-2", &a), 200);
	later = edition(a);
	assert_true(later > keyed);
	assert_int_equal(call(&w, "/v1/change", unconditional, "", &a), 200);
	assert_true(edition(a) > later);
	later = edition(a);
	assert_int_equal(call(&w, "/v1/change", unconditional, "", &a), 200);
	assert_true(edition(a) > later);
	/* a key is of one order */
	assert_int_equal(call(&w, "/v1/change", other_change, "key-1", &a), 422);
	assert_int_equal(call(&w, "/v1/clear", "{\"scope\":\"*\"}", "key-1", &a), 422);
	assert_int_equal(call(&w, "/v1/change", unconditional, "not a key", &a), 400);
	/* a refused order may use its key again */
	assert_int_equal(call(&w, "/v1/change", removal, "key-3", &a), 400);
	assert_int_equal(call(&w, "/v1/change", service_change, "key-4", &a), 200);
	assert_int_equal(call(&w, "/v1/change", removal, "key-3", &a), 200);
	/* what was accepted stays so, even if it would be invalid now */
	for (int i = 0; i < 4; i++) {
		assert_int_equal(call(&w, "/v1/change", removal, "key-3", &a), 200);
		assert_int_equal(call(&w, "/v1/change", tenant_change, "", &a), 200);
		assert_int_equal(edition(a), first);
		assert_int_equal(call(&w, "/v1/change", unconditional, "key-1", &a), 200);
		assert_int_equal(edition(a), keyed);
		assert_int_equal(call(&w, "/v1/change", other_change, "key-1", &a), 422);
		replace_leader(&w);
	}
	intact(&w);
	close_world(&w);
}

/* Two orders under one key, sent at one moment: the log's order decides which of them it is. */
static void of_two_orders_under_one_key_one_is_accepted(void **state)
{
	static struct world w;

	(void)state;
	for (uint64_t seed = 1; seed <= 20; seed++) {
		uint64_t token[2];
		int status[2] = { 0, 0 };

		found(&w, seed, TABLE, FAULTS);
		w.s.disk_ms = 20;
		for (int i = 0; i < 2; i++) {
			char body[200];

			snprintf(body, sizeof body, "{\"set\":[{\"kind\":\"tenant\",\"name\":\"t%d\",\"share\":1}]}", i);
			token[i] = sim_call_keyed(&w.s, sim_owner(&w.s, SHARD_CONTROL), "POST", "/v1/change", body, "one-key");
		}
		sim_run(&w.s, 3000, NULL);
		for (int i = 0; i < 2; i++)
			status[i] = sim_answer(&w.s, token[i]) ? sim_answer(&w.s, token[i])->status : 0;
		if (status[0] + status[1] != 200 + 422)
			fail_msg("seed %llu: %d and %d", (unsigned long long)seed, status[0], status[1]);
		for (int i = 0; i < 2; i++) {
			char name[4] = { 't', (char)('0' + i), 0 };

			assert_int_equal(status[i] == 200,
					 table_get(&w.s.n[sim_owner(&w.s, SHARD_CONTROL)].r->ctl, NL__KIND__TENANT, name) != NULL);
		}
		intact(&w);
		close_world(&w);
	}
}

/* A refusal that was on its way for long, as it reaches the controller that asked. */
static void deliver_refusal(struct world *w, int from, int to, uint64_t token)
{
	struct Nl__Msg m = NL__MSG__INIT;
	struct Nl__Answer refusal = NL__ANSWER__INIT;
	struct sim_ev e = { .at = w->s.now, .kind = SIM_MSG, .node = to };

	refusal.token = token;
	refusal.status = TABLE_REFUSED;
	refusal.why = (char *)"del service s: no such row";
	m.speak = CORE_SPEAK;
	m.id = w->s.n[from].id;
	m.addr = w->s.n[from].addr;
	m.fleet = w->s.n[to].r->fleet;
	m.body_case = NL__MSG__BODY_ANSWER;
	m.answer = &refusal;
	e.n = nl__msg__get_packed_size(&m);
	e.d = malloc(e.n + 1);
	nl__msg__pack(&m, e.d);
	sim_push(&w->s, e);
}

/* A controller passes an order on twice, since no answer comes. The leader refuses the first copy and, after another change,
 * accepts the second: the refusal, which arrives last, must not be said. */
static void a_refused_copy_does_not_speak_for_the_others(void **state)
{
	static struct world w;
	uint64_t token;
	int leader, asked;

	(void)state;
	found(&w, 6, TABLE, FAULTS);
	sim_run(&w.s, 3000, NULL);
	leader = sim_owner(&w.s, SHARD_CONTROL);
	asked = (leader + 1) % w.registrars;
	w.s.link_cut[leader][asked] = 1;
	token = sim_call(&w.s, asked, "POST", "/v1/change", removal);
	sim_run(&w.s, 50, NULL);
	assert_int_equal(sim_do(&w.s, leader, "POST", "/v1/change", service_change, 300), 200);
	sim_run(&w.s, 500, NULL);
	assert_null(table_get(&w.s.n[leader].r->ctl, NL__KIND__SERVICE, "s")); /* the second copy was accepted */
	assert_int_equal(arrlen(w.s.n[asked].r->ask), 1);
	deliver_refusal(&w, leader, asked, w.s.n[asked].r->ask[0].token);
	sim_run(&w.s, 100, NULL);
	if (sim_answer(&w.s, token) && sim_answer(&w.s, token)->status < 500)
		fail_msg("answered with %d", sim_answer(&w.s, token)->status);
	w.s.link_cut[leader][asked] = 0;
	sim_run(&w.s, 6000, NULL);
	assert_non_null(sim_answer(&w.s, token));
	assert_true(sim_answer(&w.s, token)->status == 200 || sim_answer(&w.s, token)->status >= 500);
	intact(&w);
	close_world(&w);
}

/* Clearing has no base: with a key it is decided once. */
static void clearing_with_a_key_is_decided_once(void **state)
{
	static struct world w;

	(void)state;
	for (uint64_t seed = 1; seed <= 8; seed++) {
		const struct sim_web *a;

		found(&w, seed, TABLE, FAULTS);
		for (int i = 0; i < 4; i++) {
			assert_int_equal(call(&w, "/v1/clear", "{\"scope\":\"*\",\"by\":\"one\"}", "clear-1", &a), 200);
			if (i == 1)
				replace_leader(&w);
		}
		assert_int_equal(w.s.n[sim_owner(&w.s, SHARD_CONTROL)].r->ret.number, 1);
		assert_int_equal(call(&w, "/v1/clear", "{\"scope\":\"*\",\"by\":\"two\"}", "clear-1", &a), 422);
		assert_int_equal(call(&w, "/v1/clear", "{\"scope\":\"*\",\"by\":\"two\"}", "clear-2", &a), 200);
		assert_int_equal(w.s.n[sim_owner(&w.s, SHARD_CONTROL)].r->ret.number, 2);
		intact(&w);
		close_world(&w);
	}
}

/* Behind the record's end an order is neither acknowledged nor refused. */
static void beyond_the_record_the_outcome_is_unknown(void **state)
{
	static struct world w;
	const struct sim_web *a;
	char body[200];
	uint64_t base = 0;
	int leader;

	(void)state;
	found(&w, 3, TABLE, FAULTS);
	for (int i = 0; i < w.registrars; i++)
		w.s.n[i].r->orders.kept = 8;
	for (int i = 0; i < 20; i++) {
		snprintf(body, sizeof body, "{\"expect\":%llu,\"set\":[{\"kind\":\"tenant\",\"name\":\"t\",\"share\":%d}]}",
			 (unsigned long long)base, i + 1);
		assert_int_equal(call(&w, "/v1/change", body, "", &a), 200);
		base = edition(a);
	}
	leader = sim_owner(&w.s, SHARD_CONTROL);
	assert_int_equal(arrlen(w.s.n[leader].r->orders.v), 8);
	assert_int_equal(call(&w, "/v1/change", body, "", &a), 200);
	snprintf(body, sizeof body, "{\"expect\":0,\"set\":[{\"kind\":\"tenant\",\"name\":\"t\",\"share\":1}]}");
	assert_int_equal(sim_do(&w.s, leader, "POST", "/v1/change", body, 3000), 504);
	snprintf(body, sizeof body, "{\"expect\":%llu,\"set\":[{\"kind\":\"tenant\",\"name\":\"t\",\"share\":99}]}",
		 (unsigned long long)base - 1);
	assert_int_equal(call(&w, "/v1/change", body, "", &a), 409); /* never sent, and its base is inside the record */
	intact(&w);
	close_world(&w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(orders_are_identified),
		cmocka_unit_test(the_record_is_bounded_and_knows_how_far_it_reaches),
		cmocka_unit_test(a_full_record_is_small),
		cmocka_unit_test(a_change_sent_again_is_acknowledged_again),
		cmocka_unit_test(of_two_orders_under_one_key_one_is_accepted),
		cmocka_unit_test(clearing_with_a_key_is_decided_once),
		cmocka_unit_test(a_refused_copy_does_not_speak_for_the_others),
		cmocka_unit_test(beyond_the_record_the_outcome_is_unknown),
		cmocka_unit_test(documents_of_many_operators),
		cmocka_unit_test(changes_of_many_operators),
		cmocka_unit_test(many_hundred_orders),
		cmocka_unit_test(orders_through_planned_stops),
	};

	apr_initialize();
	if (getenv("NL_TEST")) /* one test alone, for long runs over seeds */
		cmocka_set_test_filter(getenv("NL_TEST"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
