/* What a model server or the store keeps: prompt parts by salt and id, their room, and the events that tell of them.
 * The batch and the requests call it. Always: what runs and what is kept fit into the server's room. */
#include <stdlib.h>
#include <string.h>

#include "ds.h"
#include "stand_server_private.h"

struct kept_part *part_find(struct server *s, const char *salt, const char *id)
{
	for (int i = 0; i < arrlen(s->part); i++)
		if (!strcmp(s->part[i].id, id) && !strcmp(s->part[i].salt, salt))
			return &s->part[i];
	return NULL;
}

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

int64_t used_now(const struct server *s)
{
	int64_t n = 0;

	for (int i = 0; i < arrlen(s->part); i++)
		n += s->part[i].refs ? s->part[i].tokens : 0;
	for (int i = 0; i < arrlen(s->run); i++)
		n += s->run[i]->state == WORK_WRITES ? s->run[i]->made : s->run[i]->left + s->run[i]->made;
	return n;
}

int64_t room(const struct server *s) { return s->is_store ? 3999450 : s->f->e.kv; }

int make_room(struct server *s, int64_t need)
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

struct kept_part *part_keep(struct server *s, const char *salt, const char *id, int tokens, int version, const char *tenant)
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

void forget_all(struct server *s, int tell)
{
	for (int i = 0; tell && i < arrlen(s->part); i++)
		event_add(s, '-', &s->part[i], 0);
	arrfree(s->part);
}
