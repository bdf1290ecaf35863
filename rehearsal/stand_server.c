/* Model servers and the store: batches, kept parts, moves between servers, orders, events, and faults on command. */
#include <stdlib.h>
#include <string.h>

#include "ds.h"
#include "stand.h"

const struct engine engine_sheet = {
	.slots = 128,
	.queue = 384,
	.max_conns = 630,
	.drain_ms = 3000,
	.fence_checked = 1,
	.idle_ms = 8000,
	.kv = 239003,
	.kv_bytes = 18432,
	.stride = 5,
	.chunk = 2048,
	.block = 16,
	.in_flight = 12,
	.load_ms = 1800,
	.load_at_once = 3,
	.report_lag = 100,
	.events = 4000,
	.events_lag = 80,
	.linger = 1500,
	.step = 3.41,
	.per_slot = 0.097,
	.read_per_ms = 112,
	.link_mbps = 370000,
	.events_loss = 0,
	.setup_ms = 5,
};

struct kv_event {
	int64_t number, seen_at;
	char sign, salt[48], id[24];
	int tokens;
};
struct watcher {
	struct conn *c;
	int64_t since, until;
};
struct asked_part {
	char id[24];
	int tokens, hit;
};

enum work_state { WORK_WAITS, WORK_MOVES, WORK_READS, WORK_WRITES };
struct work {
	struct server *s;
	struct conn *c;
	int run, level, prompt, out, left, made, begun, first_id, sent_id, last_id, step_read, head, version, told_version, plain;
	int break_at, lost, grey, garbage, surplus, close;
	int64_t at, until, moved_at;
	enum work_state state;
	char id[64], salt[48], tenant[48], sink[40], source[40];
	uint64_t seed, body;
	struct asked_part *ask; /* stb arrays */
	struct used_rec *used;
	char **names;
};

int64_t fleet_ms(const struct fleet_set *f) { return (loop_us() - f->start) / 1000; }

static void again(void *ctx);

static int out_of_order(const struct server *s) { return s->loading_to != 0; }

/* ---- kept parts ---- */

static struct kept_part *part_find(struct server *s, const char *salt, const char *id)
{
	for (int i = 0; i < arrlen(s->part); i++)
		if (!strcmp(s->part[i].id, id) && !strcmp(s->part[i].salt, salt))
			return &s->part[i];
	return NULL;
}

static void watchers_look(void *ctx);

static void event_add(struct server *s, char sign, const struct kept_part *p, int tokens)
{
	struct kv_event e;
	int64_t seen = loop_us() + ms_us(s->f->e.events_lag * (0.5 + stand_unit(&s->f->rng)));

	if (s->fault.events_lost || stand_unit(&s->f->rng) < s->f->e.events_loss)
		return;
	memset(&e, 0, sizeof e);
	e.number = ++s->last_event;
	e.seen_at = arrlen(s->event) && arrlast(s->event).seen_at > seen ? arrlast(s->event).seen_at : seen;
	e.sign = sign;
	snprintf(e.salt, sizeof e.salt, "%s", p->salt);
	snprintf(e.id, sizeof e.id, "%s", p->id);
	e.tokens = tokens;
	arrput(s->event, e);
	if (arrlen(s->event) > s->f->e.events)
		arrdel(s->event, 0);
}

int64_t server_kept(const struct server *s)
{
	int64_t n = 0;

	for (int i = 0; i < arrlen(s->part); i++)
		n += s->part[i].tokens;
	return n;
}

static int64_t used_now(const struct server *s)
{
	int64_t n = 0;

	for (int i = 0; i < arrlen(s->part); i++)
		n += s->part[i].refs ? s->part[i].tokens : 0;
	for (int i = 0; i < arrlen(s->run); i++)
		n += s->run[i]->state == WORK_WRITES ? s->run[i]->made : s->run[i]->left + s->run[i]->made;
	return n;
}

static int64_t room(const struct server *s) { return s->is_store ? 3999450 : s->f->e.kv; }

/* Let go of the longest unused until so many tokens more fit; 0 when they never will. */
static int make_room(struct server *s, int64_t need)
{
	int64_t held = used_now(s), loose = server_kept(s);

	for (int i = 0; i < arrlen(s->part); i++)
		loose -= s->part[i].refs ? s->part[i].tokens : 0;
	if (held + need > room(s))
		return 0;
	while (held + loose + need > room(s)) {
		int k = -1, cut;
		int64_t over = held + loose + need - room(s);

		for (int i = 0; i < arrlen(s->part); i++)
			if (!s->part[i].refs && (k < 0 || s->part[i].used < s->part[k].used))
				k = i;
		if (k < 0)
			return 0;
		cut = (int)((over + s->f->e.block - 1) / s->f->e.block * s->f->e.block); /* memory goes by blocks, from the end */
		if (cut > s->part[k].tokens)
			cut = s->part[k].tokens;
		s->part[k].tokens -= cut;
		loose -= cut;
		event_add(s, '-', &s->part[k], s->part[k].tokens);
		if (!s->part[k].tokens)
			arrdel(s->part, k);
	}
	return 1;
}

static struct kept_part *part_keep(struct server *s, const char *salt, const char *id, int tokens, int version, const char *tenant)
{
	struct kept_part *p = part_find(s, salt, id), n;

	if (p) {
		p->used = loop_us();
		if (p->tokens < tokens && !s->is_store) {
			p->tokens = tokens;
			event_add(s, '+', p, tokens);
		}
		return p;
	}
	memset(&n, 0, sizeof n);
	snprintf(n.salt, sizeof n.salt, "%s", salt);
	snprintf(n.id, sizeof n.id, "%s", id);
	snprintf(n.tenant, sizeof n.tenant, "%s", tenant);
	n.tokens = tokens;
	n.version = version;
	n.used = n.born = loop_us();
	arrput(s->part, n);
	event_add(s, '+', &n, tokens);
	return &arrlast(s->part);
}

static void forget_all(struct server *s, int tell)
{
	for (int i = 0; tell && i < arrlen(s->part); i++)
		event_add(s, '-', &s->part[i], 0);
	arrfree(s->part);
}

/* ---- works ---- */

static void work_free(struct work *w)
{
	for (int i = 0; i < arrlen(w->names); i++)
		free(w->names[i]);
	arrfree(w->names);
	arrfree(w->ask);
	arrfree(w->used);
	free(w);
}

static void release(struct work *w)
{
	for (int i = 0; i < arrlen(w->ask); i++)
		if (w->ask[i].hit) {
			struct kept_part *p = part_find(w->s, w->salt, w->ask[i].id);

			if (p && p->refs > 0)
				p->refs--;
			if (p)
				p->used = loop_us();
			w->ask[i].hit = 0;
		}
}

static void take_out(struct work ***list, struct work *w)
{
	for (int i = 0; i < arrlen(*list); i++)
		if ((*list)[i] == w) {
			arrdel(*list, i);
			return;
		}
}

/* how as judge_ran has it; the connection is the caller's to end */
static void work_end(struct work *w, int how, int status)
{
	struct server *s = w->s;

	release(w);
	take_out(&s->run, w);
	take_out(&s->wait, w);
	if (w->c)
		conn_set_tag(w->c, NULL);
	if (s->f->j)
		judge_ran(s->f->j, fleet_ms(s->f), w->run, how, status, w->body, w->sent_id);
	work_free(w);
}

static void fields_of(struct server *s, const char *id, char *b, size_t n)
{
	snprintf(b, n, "%s%s%sX-Notchlug-Server-Load: %d,%d,%d\r\nX-Notchlug-Weight-Versions: %d\r\n%s",
		 id ? "X-Notchlug-Attempt-Id: " : "", id ? id : "", id ? "\r\n" : "", (int)arrlen(s->run), (int)arrlen(s->wait),
		 s->f->e.slots, s->version, s->f->e.idle_ms >= 1000 ? "Keep-Alive: timeout=" : "");
	if (s->f->e.idle_ms >= 1000)
		snprintf(b + strlen(b), n - strlen(b), "%d\r\n", s->f->e.idle_ms / 1000);
}

static int keeps(struct server *s) { return s->life == LIFE_UP && stand_unit(&s->f->rng) >= s->fault.close; }

static void turn_away(struct server *s, struct conn *c, int run, const char *id, int status)
{
	char b[600];

	s->f->turned++;
	fields_of(s, id, b, sizeof b);
	snprintf(b + strlen(b), sizeof b - strlen(b), "X-Notchlug-Not-Executed: 1\r\n");
	if (s->f->j && run >= 0)
		judge_turned(s->f->j, run, status);
	conn_answer(c, status, b, "", 0, keeps(s));
}

static void work_turn_away(struct work *w, int status)
{
	struct server *s = w->s;
	struct conn *c = w->c;
	int run = w->run;
	char id[64];

	snprintf(id, sizeof id, "%s", w->id);
	release(w);
	take_out(&s->run, w);
	take_out(&s->wait, w);
	if (c)
		conn_set_tag(c, NULL);
	work_free(w);
	if (c)
		turn_away(s, c, run, id, status);
	else if (s->f->j && run >= 0)
		judge_turned(s->f->j, run, status);
}

static void send_head(struct work *w, int status)
{
	char b[600];

	if (w->head)
		return;
	w->head = 1;
	w->told_version = w->s->version;
	fields_of(w->s, w->id, b, sizeof b);
	if (!w->lost)
		conn_sayf(w->c,
			  "HTTP/1.1 %d OK\r\n%sX-Notchlug-Server-Seal: %d.%08x\r\nContent-Type: text/event-stream\r\n"
			  "Transfer-Encoding: chunked\r\n%s\r\n",
			  status, b, w->run, (unsigned)w->seed, w->close ? "Connection: close\r\n" : "");
}

/* 0: the work is over */
static int send_event(struct work *w)
{
	char b[300], v[60] = "";
	int n;

	send_head(w, 200);
	if (w->told_version != w->s->version) {
		w->told_version = w->s->version;
		snprintf(v, sizeof v, "x-notchlug-weight-versions: %d\n", w->told_version);
	}
	if (w->break_at && w->sent_id >= w->break_at) {
		struct conn *c = w->c;
		int reset = stand_unit(&w->s->f->rng) < 0.5;

		work_end(w, 0, 200);
		conn_close(c, reset);
		return 0;
	}
	w->sent_id++;
	n = snprintf(b, sizeof b, "%sid: %d\ndata: %d %d %lld %08llx\n\n", v, w->sent_id, w->run, w->sent_id, (long long)loop_us(),
		     (unsigned long long)(w->seed * (uint64_t)w->sent_id) & 0xffffffff);
	if (!w->lost)
		conn_sayf(w->c, "%x\r\n%s\r\n", (unsigned)n, b);
	return 1;
}

static void surplus_say(struct server *s)
{
	char f[600];

	loop_drop(s->f->l, s->surplus_timer);
	s->surplus_timer = 0;
	conn_set_tag(s->surplus_conn, NULL);
	fields_of(s, s->surplus_id, f, sizeof f);
	conn_sayf(s->surplus_conn, "HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\nlate", f);
}

static void surplus_late(void *ctx)
{
	struct server *s = ctx;

	s->surplus_timer = 0;
	if (conn_alive(s->f->l, s->surplus_conn) && conn_tag(s->surplus_conn) == s)
		surplus_say(s);
}

static void work_whole(struct work *w)
{
	struct server *s = w->s;
	struct conn *c = w->c;
	int close = w->close || !keeps(s), surplus = w->surplus, lost = w->lost, status = 200;
	char f[700], body[80], id[64];

	snprintf(id, sizeof id, "%s", w->id);
	if (w->plain) {
		status = w->grey ? 500 : 200;
		fields_of(s, w->id, f, sizeof f);
		snprintf(f + strlen(f), sizeof f - strlen(f), "X-Notchlug-Server-Seal: %d.%08x\r\n", w->run, (unsigned)w->seed);
		snprintf(body, sizeof body, "%d %08x %d", w->run, (unsigned)w->seed, status);
		w->body = stand_hash(0, body, strlen(body));
	}
	{
		int plain = w->plain;

		if (!plain && !lost)
			conn_say(c, "0\r\n\r\n", 5);
		work_end(w, lost ? 0 : 1, status);
		if (lost && c)
			conn_close(c, 0);
		else if (lost)
			;
		else if (plain)
			conn_answer(c, status, f, body, strlen(body), !close);
		else
			conn_next(c, !close);
	}
	if (surplus && !lost && !close && !s->surplus_timer) { /* bytes behind a whole answer, at once or a little later */
		snprintf(s->surplus_id, sizeof s->surplus_id, "%s", id);
		s->surplus_conn = c;
		if (stand_unit(&s->f->rng) < 0.5) {
			surplus_say(s);
		} else { /* in the slot where the next one is due, if that comes sooner */
			conn_set_tag(c, s);
			s->surplus_timer = loop_after(s->f->l, ms_us(5 + 200 * stand_unit(&s->f->rng)), surplus_late, s);
		}
	}
}

static void set_going(struct server *s)
{
	if (!s->step_timer && s->life != LIFE_DOWN && !s->fault.dark) {
		s->due = loop_us();
		s->step_timer = loop_after(s->f->l, 0, again, s);
	}
}

/* A part serves a request: after a clearing it is one that was read since. */
static void part_used(struct fleet_set *f, const struct kept_part *p)
{
	if (!f->cleared_by || loop_us() < f->cleared_by)
		return;
	if (p->born < f->cleared)
		f->old_used++;
	else
		f->new_used++;
}

/* What it keeps of the prompt, and what another keeps beyond. */
static void find_parts(struct work *w)
{
	struct server *s = w->s, *from = NULL;
	int64_t moved = 0;
	int i = 0;

	w->left = w->prompt + w->made;
	for (; i < arrlen(w->ask); i++) {
		struct kept_part *p = part_find(s, w->salt, w->ask[i].id);
		struct used_rec u;

		if (!p)
			break;
		p->refs++;
		p->used = loop_us();
		part_used(s->f, p);
		w->ask[i].hit = 1;
		u.version = p->version;
		arrput(w->names, strdup(p->tenant));
		u.tenant = arrlast(w->names);
		arrput(w->used, u);
		w->left -= p->tokens < w->ask[i].tokens ? p->tokens : w->ask[i].tokens;
		s->f->found += (uint64_t)p->tokens;
		if (p->tokens < w->ask[i].tokens)
			break;
	}
	w->state = WORK_READS;
	if (w->source[0] && !w->begun && i < arrlen(w->ask)) {
		int64_t now = loop_us(), wait = s->moves_free > now ? s->moves_free - now : 0;
		int n = 0;

		for (int k = 0; k < arrlen(s->f->server); k++)
			if (!strcmp(s->f->server[k]->addr, w->source))
				from = s->f->server[k];
		w->state = WORK_MOVES;
		if (!from || from->life == LIFE_DOWN || from->fault.dark) {
			w->moved_at = now + ms_us(300);
		} else {
			for (int k = i; k < arrlen(w->ask); k++) {
				struct kept_part *p = part_find(from, w->salt, w->ask[k].id);

				if (!p || p->tokens < w->ask[k].tokens)
					break;
				n++;
				moved += p->tokens;
			}
			if (!n || wait > ms_us(2000)) {
				w->moved_at = now + ms_us(1);
			} else {
				double us = (double)moved * s->f->e.kv_bytes * 8 / s->f->e.link_mbps *
					    (strcmp(from->zone, s->zone) ? 2 : 1);

				w->moved_at = now + wait + ms_us(s->f->e.setup_ms) + (int64_t)us;
				s->moves_free = w->moved_at;
				for (int k = i; k < i + n; k++) {
					struct kept_part *p = part_find(from, w->salt, w->ask[k].id), *own;
					struct used_rec u;
					int64_t born;
					char tenant[48];

					snprintf(tenant, sizeof tenant, "%s", p->tenant);
					u.version = p->version;
					p->used = now;
					part_used(s->f, p);
					born = p->born;
					own = part_find(s, w->salt, w->ask[k].id);
					if (!own) {
						own = part_keep(s, w->salt, w->ask[k].id, w->ask[k].tokens, u.version, tenant);
						own->born = born;
					}
					if (w->ask[k].hit)
						continue;
					own->refs++;
					w->ask[k].hit = 1;
					arrput(w->names, strdup(tenant));
					u.tenant = arrlast(w->names);
					arrput(w->used, u);
					w->left -= w->ask[k].tokens;
				}
				s->f->fetched += (uint64_t)moved;
			}
		}
	}
	if (w->left < 1)
		w->left = 1;
}

/* Out of the batch again, in the middle of its stream too. */
static void put_back(struct work *w)
{
	struct server *s = w->s;

	release(w);
	take_out(&s->run, w);
	w->state = WORK_WAITS;
	arrins(s->wait, 0, w);
}

static struct work *least_urgent(struct server *s)
{
	struct work *x = NULL;

	for (int i = 0; i < arrlen(s->run); i++)
		if (!x || s->run[i]->level > x->level || (s->run[i]->level == x->level && s->run[i]->at >= x->at))
			x = s->run[i];
	return x;
}

static void admit(struct server *s)
{
	for (;;) {
		struct work *w = NULL, *x;

		for (int i = 0; i < arrlen(s->wait); i++)
			if (!w || s->wait[i]->level < w->level || (s->wait[i]->level == w->level && s->wait[i]->at < w->at))
				w = s->wait[i];
		if (!w)
			return;
		x = least_urgent(s);
		if (arrlen(s->run) >= s->f->e.slots) {
			if (!x || x->level <= w->level)
				return;
			put_back(x);
		}
		if (!make_room(s, w->prompt + w->made)) {
			x = least_urgent(s);
			if (!x || x->level <= w->level)
				return;
			put_back(x);
			continue;
		}
		take_out(&s->wait, w);
		arrput(s->run, w);
		find_parts(w);
	}
}

/* The prompt is read: what is new is kept from now on, and goes to the store if that is wanted. */
static void was_read(struct work *w)
{
	struct server *s = w->s, *to = NULL;

	for (int i = 0; w->sink[0] && i < arrlen(s->f->server); i++)
		if (s->f->server[i]->is_store && !strcmp(s->f->server[i]->addr, w->sink) && s->f->server[i]->life == LIFE_UP)
			to = s->f->server[i];
	for (int i = 0; i < arrlen(w->ask); i++) {
		struct kept_part *p;

		if (!w->ask[i].hit) {
			if (!make_room(s, w->ask[i].tokens))
				continue;
			p = part_keep(s, w->salt, w->ask[i].id, w->ask[i].tokens, s->version, w->tenant);
			p->refs++;
			w->ask[i].hit = 1;
		} else if ((p = part_find(s, w->salt, w->ask[i].id)) && p->tokens < w->ask[i].tokens) {
			part_keep(s, w->salt, w->ask[i].id, w->ask[i].tokens, s->version, w->tenant);
		}
		p = part_find(s, w->salt, w->ask[i].id);
		if (to && p) {
			int version = p->version, there = part_find(to, w->salt, w->ask[i].id) != NULL;
			int64_t born = p->born;
			char tenant[48];

			snprintf(tenant, sizeof tenant, "%s", p->tenant);
			if (make_room(to, w->ask[i].tokens)) {
				struct kept_part *at = part_keep(to, w->salt, w->ask[i].id, w->ask[i].tokens, version, tenant);

				at->born = there ? at->born : born;
			}
		}
	}
	w->state = WORK_WRITES;
	w->left = 0;
}

static void begin(struct work *w)
{
	if (w->begun)
		return;
	w->begun = 1;
	w->version = w->s->version;
	if (w->s->f->j)
		judge_begin(w->s->f->j, fleet_ms(w->s->f), w->run, w->version, w->used, (int)arrlen(w->used));
}

static void one_token(struct work *w)
{
	struct server *s = w->s;

	begin(w);
	w->made++;
	if (w->garbage) {
		struct conn *c = w->c;

		work_end(w, 0, 200);
		conn_say(c, "\x16\x03 this is no answer\r\n\r\n", 25);
		conn_close(c, 0);
		return;
	}
	if (w->grey && !w->plain) {
		struct conn *c = w->c;
		char f[700];

		fields_of(s, w->id, f, sizeof f);
		snprintf(f + strlen(f), sizeof f - strlen(f), "X-Notchlug-Server-Seal: %d.%08x\r\n", w->run, (unsigned)w->seed);
		w->body = stand_hash(0, "fault", 5);
		work_end(w, 1, 500);
		conn_answer(c, 500, f, "fault", 5, keeps(s));
		return;
	}
	if (!w->plain && (w->made == 1 || w->made % s->f->e.stride == 0 || w->made >= w->out)) {
		if (w->sent_id < w->last_id && !send_event(w))
			return;
	}
	if (w->made >= w->out || (!w->plain && w->sent_id >= w->last_id))
		work_whole(w);
}

static void load_done(void *ctx)
{
	struct server *s = ctx;

	s->load_timer = 0;
	s->f->loading--;
	s->version = s->loading_to;
	s->loading_to = 0;
	forget_all(s, 1);
	for (int i = 0; i < arrlen(s->run); i++)
		for (int k = 0; k < arrlen(s->run[i]->ask); k++)
			s->run[i]->ask[k].hit = 0;
	if (s->f->list)
		list_note(s->f->list, s);
	set_going(s);
}

void server_load(struct server *s, int version)
{
	s->version = version;
	forget_all(s, 1);
	if (s->f->list)
		list_note(s->f->list, s);
}

static void load_begin(struct server *s)
{
	int n = ++s->f->loading, most = s->f->e.load_at_once;

	s->f->loads++;
	s->load_timer = loop_after(s->f->l, ms_us(s->f->e.load_ms * (n > most ? (double)n / most : 1.0)), load_done, s);
}

/* One step of the batch: what the last one did comes out, and the next one begins. */
static void again(void *ctx)
{
	struct server *s = ctx;
	struct work **now = NULL;
	int read = 0, busy = 0;
	double ms;

	s->step_timer = 0;
	if (s->life == LIFE_DOWN || s->fault.dark)
		return;
	for (int i = 0; i < arrlen(s->run); i++)
		arrput(now, s->run[i]);
	for (int i = 0; i < arrlen(now); i++) {
		struct work *w = now[i];

		if (w->state == WORK_MOVES && loop_us() >= w->moved_at)
			w->state = WORK_READS;
		if (w->state == WORK_READS && w->step_read) {
			s->f->read += (uint64_t)w->step_read;
			w->left -= w->step_read;
			w->step_read = 0;
			if (w->left <= 0) {
				was_read(w);
				one_token(w);
			}
		} else if (w->state == WORK_WRITES) {
			if (s->load_timer && s->method != 2)
				continue;
			one_token(w);
		}
	}
	arrfree(now);
	now = NULL;
	for (int i = 0; i < arrlen(s->run); i++)
		arrput(now, s->run[i]);
	for (int i = 0; i < arrlen(s->wait); i++)
		arrput(now, s->wait[i]);
	for (int i = 0; i < arrlen(now); i++) {
		struct work *w = now[i];

		if (loop_us() < w->until)
			continue;
		if (!w->begun) {
			work_turn_away(w, 503);
		} else {
			struct conn *c = w->c;
			int head = w->head;
			char f[700];

			fields_of(s, w->id, f, sizeof f);
			snprintf(f + strlen(f), sizeof f - strlen(f), "X-Notchlug-Server-Seal: %d.%08x\r\n", w->run,
				 (unsigned)w->seed);
			w->body = stand_hash(0, "late", 4);
			work_end(w, head ? 0 : 1, 504);
			if (!c)
				;
			else if (head)
				conn_close(c, 0);
			else
				conn_answer(c, 504, f, "late", 4, keeps(s));
		}
	}
	arrfree(now);
	if (out_of_order(s)) {
		for (int i = arrlen(s->wait) - 1; i >= 0; i--) /* what has begun and was put back ends first */
			if (!s->wait[i]->begun)
				work_turn_away(s->wait[i], 503);
		for (int i = arrlen(s->run) - 1; i >= 0; i--)
			if (!s->run[i]->begun)
				work_turn_away(s->run[i], 503);
		if (!s->load_timer && s->method != 2)
			admit(s);
		if (!s->load_timer && ((!arrlen(s->run) && !arrlen(s->wait)) || s->method == 2))
			load_begin(s);
		if (s->load_timer && s->method == 2) {
			s->step_timer = loop_after(s->f->l, ms_us(20), again, s);
			return;
		}
	} else {
		admit(s);
	}
	while (used_now(s) > room(s) && arrlen(s->run) > 1)
		put_back(least_urgent(s));
	for (int i = 0; i < arrlen(s->run); i++) {
		struct work *w = s->run[i];
		int n = s->f->e.chunk - read;

		busy++;
		if (w->state != WORK_READS || n <= 0)
			continue;
		w->step_read = w->left < n ? w->left : n;
		read += w->step_read;
	}
	if (!busy && !arrlen(s->wait))
		return;
	ms = (s->f->e.step + s->f->e.per_slot * busy + read / s->f->e.read_per_ms) * s->speed + s->held_ms;
	s->held_ms = 0;
	s->due += ms_us(ms);
	if (s->due < loop_us() - ms_us(20))
		s->due = loop_us() - ms_us(20); /* a late process does not hurry for ever */
	s->step_timer = loop_after(s->f->l, s->due > loop_us() ? s->due - loop_us() : 0, again, s);
}

/* ---- requests ---- */

static int read_parts(struct work *w, const char *v)
{
	int sum = 0;

	while (v && *v) {
		struct asked_part p;
		int n = 0;

		memset(&p, 0, sizeof p);
		if (sscanf(v, "%23[0-9a-fA-F]:%d%n", p.id, &p.tokens, &n) != 2 || p.tokens <= 0)
			break;
		arrput(w->ask, p);
		sum += p.tokens;
		v += n;
		while (*v == ',' || *v == ' ')
			v++;
	}
	return sum;
}

static void run_request(struct server *s, struct conn *c, struct msg *m)
{
	const char *id = msg_get(m, "X-Notchlug-Attempt-Id"), *v, *host = msg_get(m, "Host");
	struct arrive_rec a;
	struct work *w;
	int run = -1, away = 0, prompt = 0, out = 1, sum;
	struct fleet_set *f = s->f;

	memset(&a, 0, sizeof a);
	a.id = id;
	a.method = m->method;
	a.path = m->target;
	a.host = host;
	a.tenant = msg_get(m, "X-Notchlug-Tenant-Id");
	a.service = s->service;
	a.instance = s->instance;
	a.body = stand_hash(0, m->body ? m->body : "", m->len);
	a.server = s->i;
	a.last_event = (v = msg_get(m, "Last-Event-Id")) ? atoi(v) : 0;
	if (f->j)
		run = judge_arrive(f->j, fleet_ms(f), &a);
	v = msg_get(m, "X-Notchlug-Target-Instance");
	if (v && strcmp(v, s->instance))
		away = 421;
	v = msg_get(m, "X-Notchlug-Expected-Version");
	if (!away && v && atoi(v) != s->version)
		away = 421;
	if (!away && !id)
		away = 400;
	v = msg_get(m, "X-Notchlug-Token-Count");
	if (v)
		sscanf(v, "%d,%d", &prompt, &out);
	if (!away && (prompt + out > f->e.kv || out_of_order(s) || arrlen(s->wait) >= f->e.queue))
		away = 503;
	if (away) {
		turn_away(s, c, run, id, away);
		return;
	}
	w = calloc(1, sizeof *w);
	w->s = s;
	w->c = c;
	w->run = run;
	w->at = loop_us();
	w->plain = !v;
	w->prompt = prompt > 0 ? prompt : 1;
	w->seed = a.body;
	snprintf(w->id, sizeof w->id, "%s", id);
	snprintf(w->tenant, sizeof w->tenant, "%s", a.tenant ? a.tenant : "");
	if ((v = msg_get(m, "X-Notchlug-Cache-Salt")))
		snprintf(w->salt, sizeof w->salt, "%s", v);
	if ((v = msg_get(m, "X-Notchlug-Kv-Source")))
		snprintf(w->source, sizeof w->source, "%s", v);
	if ((v = msg_get(m, "X-Notchlug-Kv-Sink")))
		snprintf(w->sink, sizeof w->sink, "%s", v);
	v = msg_get(m, "X-Notchlug-Priority-Level");
	w->level = v ? atoi(v) : 5;
	v = msg_get(m, "X-Notchlug-Deadline-Remaining");
	w->until = loop_us() + ms_us(v ? atof(v) : 60000);
	sum = read_parts(w, msg_get(m, "X-Notchlug-Prompt-Prefix"));
	if (sum > w->prompt)
		w->prompt = sum;
	if (w->plain) {
		w->out = 1;
	} else { /* how long an answer gets depends on what was asked, so that another server takes it up in the same place */
		w->out = out - (int)(w->seed % (uint64_t)(out / 2 + 1));
		w->last_id = 1 + w->out / f->e.stride;
		w->first_id = w->sent_id = a.last_event < w->last_id ? a.last_event : w->last_id;
		w->made = a.last_event ? a.last_event * f->e.stride : 0;
		if (w->made >= w->out)
			w->made = w->out - 1;
	}
	w->close = !keeps(s);
	w->lost = stand_unit(&f->rng) < s->fault.lost;
	w->garbage = stand_unit(&f->rng) < s->fault.garbage;
	w->surplus = stand_unit(&f->rng) < s->fault.surplus;
	w->grey = stand_unit(&f->rng) < s->fault.grey;
	if (stand_unit(&f->rng) < s->fault.broken && !w->plain && w->last_id > w->sent_id + 1)
		w->break_at = w->sent_id + 1;
	conn_set_tag(c, w);
	arrput(s->wait, w);
	set_going(s);
}

static void json_answer(struct conn *c, int status, struct json_object *j, int keep)
{
	const char *t = json_object_to_json_string_ext(j, JSON_C_TO_STRING_PLAIN);

	conn_answer(c, status, "Content-Type: application/json\r\n", t, strlen(t), keep);
	json_object_put(j);
}

static void note_report(void *ctx)
{
	struct server *s = ctx;

	s->report[0] = s->report[1];
	s->report[1].queued = (int)arrlen(s->wait);
	s->report[1].active = (int)arrlen(s->run);
	s->report[1].saturated = out_of_order(s);
	s->report[1].seq = s->call_seq;
	s->report[1].version = s->version;
	s->report[1].used = used_now(s);
	s->report_timer = loop_after(s->f->l, ms_us(s->f->e.report_lag), note_report, s);
}

static struct json_object *models(struct server *s, int version)
{
	struct json_object *a = json_object_new_array(), *m = json_object_new_object();

	json_object_object_add(m, "Name", json_object_new_string(s->f->model));
	json_object_object_add(m, "ConfigVersion", json_object_new_int(version));
	json_object_object_add(m, "Adapters", json_object_new_array());
	json_object_array_add(a, m);
	return a;
}

static void report(struct server *s, struct conn *c)
{
	struct json_object *j = json_object_new_object();

	s->f->probes++;
	json_object_object_add(j, "Stage", json_object_new_string("combined"));
	json_object_object_add(j, "Models", models(s, s->report[0].version));
	json_object_object_add(j, "Saturated", json_object_new_boolean(s->report[0].saturated));
	json_object_object_add(j, "CallSeq", json_object_new_int(s->report[0].seq));
	json_object_object_add(j, "Queued", json_object_new_int(s->report[0].queued));
	json_object_object_add(j, "Active", json_object_new_int(s->report[0].active));
	json_object_object_add(j, "KvUsed", json_object_new_int64(s->report[0].used));
	json_object_object_add(j, "KvTotal", json_object_new_int(s->f->e.kv));
	json_object_object_add(j, "HandleCount", json_object_new_int(0));
	json_answer(c, 200, j, 1);
}

static void order(struct server *s, struct conn *c, struct msg *m)
{
	struct json_object *j = m->body ? json_tokener_parse(m->body) : NULL, *v = NULL;
	const char *holder = NULL, *op = "", *model = "", *method = "", *target = msg_get(m, "X-Notchlug-Target-Instance");
	int64_t fence = -1, version = 0;
	struct order_rec r;
	int status;

	if (json_object_is_type(j, json_type_object)) {
		if (json_object_object_get_ex(j, "Operation", &v) && json_object_is_type(v, json_type_string))
			op = json_object_get_string(v);
		if (json_object_object_get_ex(j, "Holder", &v) && json_object_is_type(v, json_type_string))
			holder = json_object_get_string(v);
		if (json_object_object_get_ex(j, "ModelName", &v) && json_object_is_type(v, json_type_string))
			model = json_object_get_string(v);
		if (json_object_object_get_ex(j, "Method", &v) && json_object_is_type(v, json_type_string))
			method = json_object_get_string(v);
		if (json_object_object_get_ex(j, "FenceNumber", &v))
			fence = json_object_get_int64(v);
		if (json_object_object_get_ex(j, "ConfigVersion", &v))
			version = json_object_get_int64(v);
	}
	if (target && strcmp(target, s->instance))
		status = 421;
	else if (strcmp(op, "ConfigVersion") || !holder || fence < 0 || strcmp(model, s->f->model) || version < 1 ||
		 version > s->f->newest || (strcmp(method, "hold") && strcmp(method, "preempt") && strcmp(method, "retain")))
		status = 400;
	else if (s->f->e.fence_checked && fence < s->fence)
		status = 412;
	else if (json_object_object_get_ex(j, "ExpectedCount", &v) && json_object_get_int64(v) != s->call_seq)
		status = 409;
	else if (version == s->version && !out_of_order(s))
		status = 200;
	else if (out_of_order(s))
		status = version == s->loading_to ? 202 : 409;
	else
		status = 202;
	if (s->f->j && status != 421 && status != 400) {
		memset(&r, 0, sizeof r);
		r.instance = s->instance;
		r.holder = holder;
		r.fence = fence;
		r.status = status;
		r.thawed = s->f->thawed && fleet_ms(s->f) - s->f->thawed < s->f->thaw_ms;
		judge_order(s->f->j, fleet_ms(s->f), &r);
	}
	s->f->orders++;
	if ((status == 202 || status == 200) && fence > s->fence)
		s->fence = fence;
	if (status == 202 && !out_of_order(s)) {
		s->call_seq++;
		s->loading_to = (int)version;
		s->method = !strcmp(method, "hold") ? 0 : !strcmp(method, "preempt") ? 1 : 2;
		if (s->method == 1)
			for (int i = arrlen(s->run) - 1; i >= 0; i--) {
				struct work *w = s->run[i];
				struct conn *x = w->c;

				if (!w->begun)
					continue;
				work_end(w, 0, 200);
				if (x)
					conn_close(x, 1);
			}
		set_going(s);
	}
	json_object_put(j);
	conn_answer(c, status, "", "", 0, 1);
}

static void kv_answer(struct server *s, struct conn *c, int64_t since)
{
	struct json_object *j = json_object_new_object(), *a = json_object_new_array();
	int64_t first = arrlen(s->event) ? s->event[0].number : s->last_event + 1,
		next = since > s->last_event ? s->last_event : since;

	for (int i = 0; i < arrlen(s->event); i++) {
		struct kv_event *e = &s->event[i];
		struct json_object *x;
		char sign[2] = { e->sign, 0 };

		if (e->number <= since || e->seen_at > loop_us())
			continue;
		x = json_object_new_array();
		json_object_array_add(x, json_object_new_int64(e->number));
		json_object_array_add(x, json_object_new_string(sign));
		json_object_array_add(x, json_object_new_string(e->salt));
		json_object_array_add(x, json_object_new_string(e->id));
		json_object_array_add(x, json_object_new_int(e->tokens));
		json_object_array_add(x, json_object_new_string(s->f->model));
		json_object_array_add(a, x);
		next = e->number;
	}
	json_object_object_add(j, "NodeEpoch", json_object_new_int64((int64_t)(s->epoch >> 20)));
	json_object_object_add(j, "NextToken", json_object_new_int64(next));
	json_object_object_add(j, "LostCount", json_object_new_boolean(since + 1 < first));
	json_object_object_add(j, "EventList", a);
	json_answer(c, 200, j, 1);
}

static int visible(const struct server *s, int64_t since)
{
	if (since > s->last_event)
		return 1; /* from another life */
	for (int i = arrlen(s->event) - 1; i >= 0 && s->event[i].number > since; i--)
		if (s->event[i].seen_at <= loop_us())
			return 1;
	return 0;
}

static void watchers_look(void *ctx)
{
	struct server *s = ctx;

	s->watch_timer = 0;
	if (s->fault.dark)
		return;
	for (int i = arrlen(s->watcher) - 1; i >= 0; i--) {
		struct watcher w = s->watcher[i];

		if (loop_us() < w.until && !visible(s, w.since))
			continue;
		arrdel(s->watcher, i);
		kv_answer(s, w.c, w.since);
	}
	if (arrlen(s->watcher) && !s->watch_timer)
		s->watch_timer = loop_after(s->f->l, ms_us(10), watchers_look, s);
}

static void kv_events(struct server *s, struct conn *c, struct msg *m)
{
	const char *q = strstr(m->target, "SinceTime="), *wait = msg_get(m, "Wait-Ms");
	struct watcher w = { c, q ? atoll(q + 10) : 0, loop_us() };
	int ms = wait ? atoi(wait) : 0;

	if (ms > 1000)
		ms = 1000;
	if (ms < 200)
		s->f->probes++;
	if (arrlen(s->watcher) >= s->f->e.in_flight) {
		s->f->probes++;
		conn_answer(c, 429, "", "", 0, 1);
		return;
	}
	w.until += ms_us(ms);
	arrput(s->watcher, w);
	if (!s->watch_timer)
		watchers_look(s);
}

static void kv_list(struct server *s, struct conn *c)
{
	struct json_object *j = json_object_new_object(), *a = json_object_new_array();
	int64_t next = 0;

	for (int i = 0; i < arrlen(s->event); i++)
		next = s->event[i].seen_at <= loop_us() ? s->event[i].number : next;
	for (int i = 0; i < arrlen(s->part); i++) {
		struct json_object *x = json_object_new_array();

		json_object_array_add(x, json_object_new_string(s->part[i].salt));
		json_object_array_add(x, json_object_new_string(s->part[i].id));
		json_object_array_add(x, json_object_new_int(s->part[i].tokens));
		json_object_array_add(x, json_object_new_string(s->f->model));
		json_object_array_add(a, x);
	}
	s->held_ms += 5;
	s->f->probes++;
	json_object_object_add(j, "NodeEpoch", json_object_new_int64((int64_t)(s->epoch >> 20)));
	json_object_object_add(j, "NextToken", json_object_new_int64(next));
	json_object_object_add(j, "HeldCount", a);
	json_answer(c, 200, j, 1);
}

static void health(struct server *s, struct conn *c)
{
	char b[800];
	int well = s->life == LIFE_UP;

	s->f->probes++;
	if (s->fault.false_health)
		well = !well;
	if (arrlen(s->run) >= s->f->e.slots) { /* no slot is free */
		turn_away(s, c, -1, NULL, 503);
		return;
	}
	fields_of(s, NULL, b, sizeof b);
	snprintf(b + strlen(b), sizeof b - strlen(b), "X-Notchlug-Instance-Id: %s\r\n", s->instance);
	conn_answer(c, well ? 200 : 503, b, "", 0, keeps(s));
}

static void request(void *ctx, struct conn *c, struct msg *m)
{
	struct server *s = ctx;
	size_t path = strcspn(m->target, "?");
	int get = !strcmp(m->method, "GET");

	if (conn_tag(c) == s)
		surplus_say(s);
	if (get && path == 10 && !strncmp(m->target, "/kv-events", path))
		kv_events(s, c, m);
	else if (get && !strcmp(m->target, "/kv-list"))
		kv_list(s, c);
	else if (s->is_store)
		conn_answer(c, 404, "", "", 0, 1);
	else if (get && !strcmp(m->target, "/health"))
		health(s, c);
	else if (get && !strcmp(m->target, "/report"))
		report(s, c);
	else if (!strcmp(m->method, "POST") && !strcmp(m->target, "/order"))
		order(s, c, m);
	else
		run_request(s, c, m);
}

/* Most drop a request when its connection closes; some go on. */
static void left(struct work *w)
{
	if (stand_unit(&w->s->f->rng) >= w->s->fault.stubborn) {
		work_end(w, -1, 0);
		return;
	}
	conn_set_tag(w->c, NULL);
	w->c = NULL;
	w->lost = 1;
	w->garbage = w->grey = w->surplus = w->break_at = 0;
}

static void gone(void *ctx, struct conn *c, enum conn_end how)
{
	struct server *s = ctx;
	struct work *w = conn_tag(c);

	(void)how;
	for (int i = arrlen(s->watcher) - 1; i >= 0; i--)
		if (s->watcher[i].c == c)
			arrdel(s->watcher, i);
	for (int i = 0; w && i < arrlen(s->run); i++)
		if (s->run[i] == w) {
			left(w);
			return;
		}
	for (int i = 0; w && i < arrlen(s->wait); i++)
		if (s->wait[i] == w) {
			left(w);
			return;
		}
	conn_set_tag(c, NULL);
}

/* ---- lives ---- */

struct server *server_add(struct fleet_set *f, const char *addr, const char *zone, const char *service, int is_store)
{
	struct server *s = calloc(1, sizeof *s);
	static const double speeds[] = { 1.0, 1.0, 1.3 };

	s->f = f;
	s->i = (int)arrlen(f->server);
	s->is_store = is_store;
	s->speed = speeds[s->i % 3];
	s->life = LIFE_DOWN;
	s->version = f->newest;
	s->fault.close = 0.01;
	snprintf(s->addr, sizeof s->addr, "%s", addr);
	snprintf(s->zone, sizeof s->zone, "%s", zone);
	snprintf(s->service, sizeof s->service, "%s", service);
	arrput(f->server, s);
	return s;
}

void server_up(struct server *s)
{
	static const struct conn_on on = { .request = request, .gone = gone };

	if (s->life != LIFE_DOWN)
		return;
	s->port = port_open(s->f->l, s->addr, &on, s, s->is_store ? 0 : s->f->e.max_conns);
	if (!s->port)
		return;
	port_idle(s->port, s->f->e.idle_ms);
	s->life = LIFE_UP;
	s->lives++;
	s->epoch = stand_rand(&s->f->rng);
	snprintf(s->instance, sizeof s->instance, "i-%08llx", (unsigned long long)(s->epoch & 0xffffffff));
	s->last_event = 0;
	s->call_seq = 0;
	s->fence = 0;
	s->moves_free = 0;
	note_report(s);
	loop_drop(s->f->l, s->report_timer);
	note_report(s);
	if (s->f->list)
		list_note(s->f->list, s);
}

static void life_ends(struct server *s, int reset)
{
	if (s->life == LIFE_DOWN)
		return;
	while (arrlen(s->run))
		work_end(s->run[0], 0, 0);
	while (arrlen(s->wait))
		work_end(s->wait[0], 0, 0);
	arrfree(s->watcher);
	if (s->load_timer)
		s->f->loading--;
	loop_drop(s->f->l, s->step_timer);
	loop_drop(s->f->l, s->load_timer);
	loop_drop(s->f->l, s->watch_timer);
	loop_drop(s->f->l, s->report_timer);
	loop_drop(s->f->l, s->life_timer);
	loop_drop(s->f->l, s->surplus_timer);
	s->surplus_timer = 0;
	s->step_timer = s->load_timer = s->watch_timer = s->report_timer = s->life_timer = 0;
	s->loading_to = 0;
	s->fault.dark = 0;
	port_close(s->port, reset);
	s->port = NULL;
	s->life = LIFE_DOWN;
	forget_all(s, 0);
	arrfree(s->event);
	if (s->f->list)
		list_note(s->f->list, s);
}

void server_crash(struct server *s) { life_ends(s, 1); }

void server_dark(struct server *s, int dark)
{
	if (s->life == LIFE_DOWN)
		return;
	s->fault.dark = dark;
	port_dark(s->port, dark);
	if (dark) {
		loop_drop(s->f->l, s->step_timer);
		s->step_timer = 0;
	} else {
		set_going(s);
		watchers_look(s);
	}
}

static void drained(void *ctx)
{
	struct server *s = ctx;

	s->life_timer = 0;
	life_ends(s, 0);
}

void server_drain(struct server *s)
{
	if (s->life != LIFE_UP)
		return;
	s->life = LIFE_DRAINING;
	if (s->f->list)
		list_note(s->f->list, s);
	s->life_timer = loop_after(s->f->l, ms_us(s->f->e.drain_ms + s->f->e.linger), drained, s);
}

void servers_free(struct fleet_set *f)
{
	struct list *l = f->list;

	f->list = NULL;
	for (int i = 0; i < arrlen(f->server); i++) {
		life_ends(f->server[i], 0);
		arrfree(f->server[i]->run);
		arrfree(f->server[i]->wait);
		free(f->server[i]);
	}
	arrfree(f->server);
	f->list = l;
}
