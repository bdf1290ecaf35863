#include "config_handover.h"

#include <stdlib.h>

#include "config_sync.h"
#include "ds.h"
#include "leadership.h"
#include "controller_private.h"

/* What becomes of a request that arrives now. */
enum handling { ANSWER, HOLD, PASS_ON };

static uint64_t known_leader(const struct controller *r, int64_t now)
{
	uint64_t leader = leader_hint(r, SHARD_CONTROL, now);

	return leader == r->addr ? 0 : leader;
}

static enum handling handling_now(const struct controller *r, int64_t now)
{
	const struct raft *part = &r->part[SHARD_CONTROL];

	if (leads_shard(r, SHARD_CONTROL, now))
		return ANSWER;
	if (part->role == RAFT_LEADER) /* one that was in office in this term has lost its lease: there may be another */
		return r->leader_term[SHARD_CONTROL] == part->term ? ANSWER : HOLD;
	if (!r->stopping)
		return ANSWER;
	return known_leader(r, now) ? PASS_ON : HOLD;
}

static void pass_on(const struct controller *r, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	struct cmd *c = out_cmd(o, CMD_SEND);

	c->u.send.addr = known_leader(r, now);
	c->u.send.msg = (struct Nl__Msg *)core_dup(o->p, &m->base); /* with the asker's address: it is answered there */
}

static void hold(struct controller *r, const struct Nl__Msg *m, int64_t now)
{
	struct controller_held_request held = { NULL, now + CONFIG_HANDOVER_HOLD_MS };
	size_t n = nl__msg__get_packed_size(m);
	uint8_t *packed = malloc(n + 1);

	if (!packed)
		abort();
	nl__msg__pack(m, packed);
	held.request = nl__msg__unpack(NULL, n, packed);
	free(packed);
	if (!held.request)
		abort();
	for (ptrdiff_t i = 0; i < arrlen(r->held); i++)
		if (r->held[i].request->id == m->id) {
			nl__msg__free_unpacked(r->held[i].request, NULL);
			r->held[i].request = held.request; /* by when the first was to be answered stays */
			return;
		}
	arrput(r->held, held);
}

int config_handover_take(struct controller *r, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	switch (handling_now(r, now)) {
	case HOLD: hold(r, m, now); return 1;
	case PASS_ON: pass_on(r, m, now, o); return 1;
	default: return 0;
	}
}

/* Everybody who asked lately learns whom to ask from now on. */
static void name_successor(struct controller *r, uint64_t successor, int64_t now, struct out *o)
{
	for (ptrdiff_t i = 0; i < arrlen(r->seen); i++) {
		struct Nl__Owner *owner;

		if (now - r->seen[i].at > CONTROLLER_SEEN)
			continue;
		owner = OUT_NEW(o, Nl__Owner, NL__OWNER__INIT);
		owner->owner = successor;
		out_msg(o, r->seen[i].addr, SHARD_CONTROL, NL__MSG__BODY_OWNER)->owner = owner;
	}
	arrsetlen(r->seen, 0);
}

void config_handover_tick(struct controller *r, int64_t now, struct out *o)
{
	enum handling handling = handling_now(r, now);

	if (handling == PASS_ON)
		name_successor(r, known_leader(r, now), now, o);
	for (ptrdiff_t i = arrlen(r->held) - 1; i >= 0; i--) {
		struct Nl__Msg *request = r->held[i].request;

		if (handling == HOLD && now < r->held[i].until)
			continue;
		if (handling == PASS_ON)
			pass_on(r, request, now, o);
		else
			on_config_sync_request(r, request, now, o);
		arrdel(r->held, i);
		nl__msg__free_unpacked(request, NULL);
	}
}

void config_handover_clear(struct controller *r)
{
	for (ptrdiff_t i = 0; i < arrlen(r->held); i++)
		nl__msg__free_unpacked(r->held[i].request, NULL);
	arrfree(r->held);
}
