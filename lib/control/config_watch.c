#include "config_watch.h"

#include <apr_strings.h>
#include <string.h>

#include "ds.h"

void config_watch_open(struct config_watch *f, uint64_t born, const uint64_t *seeds, int n, int64_t now)
{
	memset(f, 0, sizeof *f);
	table_open(&f->t);
	instances_open(&f->instances);
	sh_new_strdup(f->hold);
	f->born = f->rng = born;
	f->zone = f->web = "";
	for (int i = 0; i < n && i < CONFIG_WATCH_SEATS; i++)
		f->cand[f->ncand++] = seeds[i];
	f->nseed = f->ncand;
	f->fresh = f->leader_heard = now - 1000000;
	f->last_word = now;
	f->last_ask = now - CONFIG_WATCH_EVERY;
	for (int i = 0; i < SHARD_COUNT && f->ncand; i++)
		f->at[i] = (int)(core_rand(&f->rng) % (uint64_t)f->ncand);
}

void config_watch_seeds(struct config_watch *f, const uint64_t *seeds, int n)
{
	uint64_t old[CONFIG_WATCH_SEATS];
	int nold = f->ncand;

	memcpy(old, f->cand, sizeof old);
	f->ncand = 0;
	for (int i = 0; i < n && i < CONFIG_WATCH_SEATS; i++)
		f->cand[f->ncand++] = seeds[i];
	f->nseed = f->ncand;
	for (int i = 0; i < nold; i++) { /* who was known stays so until the next answer */
		int known = 0;

		for (int k = 0; k < f->ncand; k++)
			known |= f->cand[k] == old[i];
		if (!known && f->ncand < CONFIG_WATCH_SEATS)
			f->cand[f->ncand++] = old[i];
	}
	for (int i = 0; i < SHARD_COUNT; i++)
		f->at[i] = f->ncand ? f->at[i] % f->ncand : 0;
}

void config_watch_close(struct config_watch *f)
{
	table_close(&f->t);
	instances_close(&f->instances);
	shfree(f->hold);
	arrfree(f->left);
}

typeof(((struct config_watch_hold *)0)->value) *config_watch_hold(struct config_watch *f, const char *name)
{
	if (shgeti(f->hold, name) < 0)
		shput(f->hold, name, ((typeof(f->hold->value)){ 0, 0, 0 }));
	return &shgetp(f->hold, name)->value;
}

static void say_holds(struct config_watch *f, struct Nl__ConfigSync *a, struct out *o)
{
	a->hold = apr_palloc(o->p, ((size_t)shlen(f->hold) + 1) * sizeof *a->hold);
	for (ptrdiff_t i = shlen(f->hold) - 1; i >= 0; i--) {
		struct Nl__Hold *h;

		if (!f->hold[i].value.held && !f->hold[i].value.used && !f->hold[i].value.want) {
			(void)shdel(f->hold, f->hold[i].key);
			continue;
		}
		h = OUT_NEW(o, Nl__Hold, NL__HOLD__INIT);
		h->name = apr_pstrdup(o->p, f->hold[i].key);
		h->held = f->hold[i].value.held;
		h->used = f->hold[i].value.used;
		h->want = f->hold[i].value.want;
		a->hold[a->n_hold++] = h;
	}
	a->applied = f->applied;
}

/* An older answer that comes late may say more than was given since. */
static void take_places(struct config_watch *f, const struct Nl__ConfigSyncReply *r)
{
	if (r->token <= f->applied)
		return;
	f->applied = r->token;
	for (size_t i = 0; i < r->n_place; i++)
		config_watch_hold(f, r->place[i]->name)->held = r->place[i]->held;
}

/* The leader's clock was at most what the answer says when it was asked for, and has reached that when it comes. Of one leader's
 * answers the quickest tells best; one that shows the reckoning to be behind, as the two clocks drift, begins it anew. */
static void take_clock(struct config_watch *f, const struct Nl__ConfigSyncReply *r, int64_t asked_at, int64_t now)
{
	int64_t offset = (int64_t)r->clock - asked_at, reached = (int64_t)r->clock - now;

	if (!r->clock || !r->clock_term)
		return;
	for (int i = 0; i < CONFIG_WATCH_TERMS; i++)
		if (f->group_clock[i].term == r->clock_term) {
			if (offset < f->group_clock[i].offset || reached > f->group_clock[i].offset)
				f->group_clock[i].offset = offset;
			return;
		}
	if (r->clock_term < f->group_clock[0].term)
		return; /* of a leader that has been followed by another since */
	memmove(&f->group_clock[1], &f->group_clock[0], (CONFIG_WATCH_TERMS - 1) * sizeof f->group_clock[0]);
	f->group_clock[0].term = r->clock_term;
	f->group_clock[0].offset = offset;
}

int64_t config_watch_clock(const struct config_watch *f, uint64_t term, int64_t now)
{
	int known = 0;

	if (!f->group_clock[0].term)
		return 0;
	for (int i = 0; i < CONFIG_WATCH_TERMS; i++)
		if (term && f->group_clock[i].term == term)
			known = i;
	return now + f->group_clock[known].offset;
}

int64_t config_watch_age(const struct config_watch *f, int64_t now) { return now - f->fresh; }

uint64_t config_watch_leader_addr(struct config_watch *f, uint32_t part)
{
	if (part >= SHARD_COUNT)
		return 0;
	return f->leader_addr[part] ? f->leader_addr[part] : f->ncand ? f->cand[f->at[part] % f->ncand] : 0;
}

void config_watch_miss(struct config_watch *f, uint32_t part)
{
	f->leader_addr[part] = 0;
	f->at[part]++;
}

uint64_t config_watch_log(struct config_watch *f, int64_t moved, int64_t now)
{
	if (now - moved > 2 * CONFIG_WATCH_LOG && now - f->log_tried > CONFIG_WATCH_LOG) {
		f->log_tried = now;
		config_watch_miss(f, SHARD_PURGE);
	}
	return config_watch_leader_addr(f, SHARD_PURGE);
}

void config_watch_hint(struct config_watch *f, uint32_t part, uint64_t addr)
{
	if (part >= SHARD_COUNT)
		return;
	if (addr)
		f->leader_addr[part] = addr;
	else
		config_watch_miss(f, part);
}

static struct config_watch_asked *asked_slot(struct config_watch *f, uint64_t token)
{
	return &f->asked[token % CONFIG_WATCH_ASKED];
}

static struct Nl__ConfigSync *asking(struct config_watch *f, uint64_t horizon, int64_t now, struct out *o)
{
	struct Nl__ConfigSync *a = OUT_NEW(o, Nl__ConfigSync, NL__CONFIG_SYNC__INIT);

	a->have = f->t.edition;
	a->instances = f->instances.stamp;
	a->born = f->born;
	a->token = ++f->token;
	a->zone = (char *)f->zone;
	a->web = (char *)f->web;
	a->counter = f->counter;
	a->horizon = horizon;
	a->wall = f->wall;
	a->load_pressure = f->load_pressure;
	a->index = f->index;
	a->warm = f->warm;
	a->n_left = (size_t)arrlen(f->left);
	a->left = apr_palloc(o->p, (a->n_left + 1) * sizeof *a->left);
	for (size_t i = 0; i < a->n_left; i++)
		a->left[i] = (struct Nl__Left *)core_dup(o->p, &f->left[i].base);
	say_holds(f, a, o);
	*asked_slot(f, f->token) = (struct config_watch_asked){ f->token, f->t.edition, now };
	f->last_ask = now;
	return a;
}

void config_watch_ask(struct config_watch *f, uint64_t horizon, int64_t now, struct out *o)
{
	uint64_t to = config_watch_leader_addr(f, SHARD_CONTROL);

	if (to)
		out_msg(o, to, SHARD_CONTROL, NL__MSG__BODY_FOLLOW)->follow = asking(f, horizon, now, o);
}

/* The owner is silent, or nobody's guess is right: a few at once, in turn, so that a new owner is found as soon as there is
 * one. Only a has_lease one answers with more than a hint. */
static void ask_around(struct config_watch *f, uint64_t horizon, int64_t now, struct out *o)
{
	struct Nl__ConfigSync *a = asking(f, horizon, now, o);
	uint64_t first = f->leader_addr[SHARD_CONTROL];

	if (first)
		out_msg(o, first, SHARD_CONTROL, NL__MSG__BODY_FOLLOW)->follow = a;
	for (int i = 0; i < CONFIG_WATCH_AROUND && i < f->ncand; i++) {
		uint64_t to = f->cand[(f->at[SHARD_CONTROL] + i) % f->ncand];

		if (to != first)
			out_msg(o, to, SHARD_CONTROL, NL__MSG__BODY_FOLLOW)->follow = a;
	}
	f->at[SHARD_CONTROL] = (f->at[SHARD_CONTROL] + CONFIG_WATCH_AROUND) % (f->ncand ? f->ncand : 1);
}

/* How much later than usual an answer may come before it counts as missing: the last one's time on its way, within a bound. */
static int64_t slow_link_ms(const struct config_watch *f)
{
	return f->round_trip < CONFIG_WATCH_SLOW ? f->round_trip : CONFIG_WATCH_SLOW;
}

/* An old answer is no reason to ask others: the leader is in reach, and its answers are long on their way. */
static int leader_silent(const struct config_watch *f, int64_t now)
{
	return now - f->leader_heard > CONFIG_WATCH_SILENT + slow_link_ms(f);
}

void config_watch_tick(struct config_watch *f, uint64_t horizon, int64_t now, struct out *o)
{
	int silent = leader_silent(f, now);

	if (now - f->last_ask < (silent ? CONFIG_WATCH_EVERY / 2 : CONFIG_WATCH_EVERY))
		return;
	if (now - f->last_word > CONFIG_WATCH_WAIT + CONFIG_WATCH_EVERY + slow_link_ms(f)) {
		config_watch_miss(f, SHARD_CONTROL);
		f->last_word = now - CONFIG_WATCH_EVERY; /* the next one gets its time too */
	}
	if (silent)
		ask_around(f, horizon, now, o);
	else
		config_watch_ask(f, horizon, now, o);
}

static void take_registrars(struct config_watch *f, const struct Nl__ConfigSyncReply *r)
{
	f->ncand = f->nseed;
	f->nlive = 0;
	for (size_t i = 0; i < r->n_registrars; i++) {
		const struct Nl__Member *m = r->registrars[i];
		int known = 0;

		if (f->nlive < CONFIG_WATCH_SEATS) {
			f->live[f->nlive] = m->addr;
			f->live_id[f->nlive++] = m->id;
		}
		for (int k = 0; k < f->ncand; k++)
			known |= f->cand[k] == m->addr;
		if (!known && f->ncand < CONFIG_WATCH_SEATS)
			f->cand[f->ncand++] = m->addr;
	}
}

/* Several requests are under way at once where the way is long, and each answer names what has changed since its own request:
 * an answer may be overtaken by a newer one. It changes nothing then, but proves as well that what is here was in force when it
 * was asked for. A leader that has less than was here already proves nothing. */
static int take_table(struct config_watch *f, const struct Nl__ConfigSyncReply *r, const struct config_watch_asked *asked)
{
	if (r->edition < f->t.edition)
		return r->edition >= asked->have;
	return table_follow(&f->t, r);
}

int config_watch_msg(struct config_watch *f, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__ConfigSyncReply *r = m->follow_reply;
	uint64_t was = f->t.edition;
	struct config_watch_asked asked;

	if (m->body_case == NL__MSG__BODY_OWNER) {
		config_watch_hint(f, m->part, m->owner->owner);
		return 0;
	}
	if (m->body_case != NL__MSG__BODY_FOLLOW_REPLY)
		return 0;
	asked = *asked_slot(f, r->token);
	if (asked.token != r->token)
		return 0;
	f->last_word = now;
	if (!r->has_lease) {
		if (r->token == f->token) { /* only the newest asking moves the guess */
			config_watch_hint(f, SHARD_CONTROL, r->hint == m->addr ? 0 : r->hint);
			if (r->hint && r->hint != m->addr && now - f->last_ask >= 20)
				config_watch_ask(f, 0, now, o);
		}
		return 0;
	}
	if (f->fleet && r->fleet != f->fleet)
		return 0;
	f->leader_addr[SHARD_CONTROL] = m->addr;
	f->leader_heard = now;
	f->round_trip = now - asked.at;
	take_clock(f, r, asked.at, now);
	if (!take_table(f, r, &asked))
		return 0;
	f->fleet = r->fleet;
	take_places(f, r);
	if (asked.at > f->fresh)
		f->fresh = asked.at;
	f->nup = 0;
	for (size_t i = 0; i < r->n_up && i < 8; i++)
		f->up[f->nup++] = r->up[i];
	f->nhead = 0;
	for (size_t i = 0; i < r->n_head && f->nhead < (int)(sizeof f->head / sizeof *f->head); i++)
		f->head[f->nhead++] = r->head[i];
	f->counters = r->counters;
	take_registrars(f, r);
	return (f->t.edition != was ? CONFIG_WATCH_TABLE : 0) | (instances_follow(&f->instances, r, now) ? CONFIG_WATCH_SIGHTS : 0);
}
