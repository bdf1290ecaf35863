/* A model server's batch: works wait, move, are read and written by steps; loads of weights; what goes out to callers.
 * Requests put works in; a timer makes the steps. */
#include <stdlib.h>
#include <string.h>

#include "ds.h"
#include "stand_server_private.h"

static void again(void *ctx);

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

void work_end(struct work *w, int how, int status)
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

void fields_of(struct server *s, const char *id, char *b, size_t n)
{
	snprintf(b, n, "%s%s%sX-Notchlug-Server-Load: %d,%d,%d\r\nX-Notchlug-Weight-Versions: %d\r\n%s",
		 id ? "X-Notchlug-Attempt-Id: " : "", id ? id : "", id ? "\r\n" : "", (int)arrlen(s->run), (int)arrlen(s->wait),
		 s->f->e.slots, s->version, s->f->e.idle_ms >= 1000 ? "Keep-Alive: timeout=" : "");
	if (s->f->e.idle_ms >= 1000)
		snprintf(b + strlen(b), n - strlen(b), "%d\r\n", s->f->e.idle_ms / 1000);
}

int keeps(struct server *s) { return s->life == LIFE_UP && stand_unit(&s->f->rng) >= s->fault.close; }

void turn_away(struct server *s, struct conn *c, int run, const char *id, int status)
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

void surplus_say(struct server *s)
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

void set_going(struct server *s)
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
	s->load_timer = loop_after(
	    s->f->l,
	    ms_us(s->f->e.load_ms * (n > most ? (double)n / most : 1.0) * (s->fault.load_slow > 0 ? s->fault.load_slow : 1)),
	    load_done, s);
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
	ms = (s->f->e.step + s->f->e.per_slot * busy + read / s->f->e.read_per_ms) * s->speed *
		 (s->fault.slow > 0 ? s->fault.slow : 1) +
	     s->held_ms;
	s->held_ms = 0;
	s->due += ms_us(ms);
	if (s->due < loop_us() - ms_us(20))
		s->due = loop_us() - ms_us(20); /* a late process does not hurry for ever */
	s->step_timer = loop_after(s->f->l, s->due > loop_us() ? s->due - loop_us() : 0, again, s);
}
