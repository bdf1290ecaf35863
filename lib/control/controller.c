/* A controller's step: passes each event to the module that it is for, then applies what was committed, part by part.
 * The daemon, the simulator and the tests call controller_step, and it alone calls the other modules' entry points.
 * Always: pure; all that it does to the world is the list of commands in o. */
#include "controller.h"

#include <stdlib.h>
#include <string.h>

#include "bootstrap.h"
#include "config_handover.h"
#include "config_sync.h"
#include "ds.h"
#include "rollout.h"
#include "leadership.h"
#include "leadership_change.h"
#include "membership.h"
#include "operator_api.h"
#include "operator_documents.h"
#include "operator_paths.h"
#include "proposals.h"
#include "purge_publisher.h"
#include "quota_shares.h"
#include "controller_private.h"
#include "snapshot.h"
#include "state_machine.h"

/* A message that breaks the protocol was dropped: one log line, and under a flood of them one a second that counts them. */
static void log_dropped(struct controller *r, const struct Nl__Msg *m, const char *why, int64_t now, struct out *o)
{
	r->dropped++;
	if (r->drops_logged && now - r->drop_logged_at < CONTROLLER_DROP_LOG)
		return;
	log_line(r, "raft", o->p, "A message of kind %d of %s is dropped: %s; %" APR_UINT64_T_FMT " since the last such line.",
		 (int)m->body_case, core_addr_str(o->p, m->addr), why, r->dropped - r->drops_logged);
	r->drops_logged = r->dropped;
	r->drop_logged_at = now;
}

static void on_raft_msg(struct controller *r, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const char *why;

	if (!r->fleet)
		return; /* an empty machine is spoken to before it knows its fleet */
	if (m->fleet != r->fleet)
		why = "it names no fleet";
	else if (m->part >= SHARD_COUNT)
		why = "there is no such shard";
	else
		why = raft_receive(&r->part[m->part], m, now, o);
	if (why)
		log_dropped(r, m, why, now, o);
}

static void on_msg(struct controller *r, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	int64_t before;

	if (m->speak != CORE_SPEAK || (m->fleet && r->fleet && m->fleet != r->fleet)) {
		log_dropped(r, m, "it is of another fleet or edition of the protocol", now, o);
		return;
	}
	switch (m->body_case) {
	case NL__MSG__BODY_VOTE_ASK:
	case NL__MSG__BODY_VOTE_REPLY:
	case NL__MSG__BODY_APPEND:
	case NL__MSG__BODY_APPEND_REPLY:
	case NL__MSG__BODY_SNAPSHOT_PIECE:
	case NL__MSG__BODY_SNAPSHOT_REPLY:
	case NL__MSG__BODY_GIVE_UP:
	case NL__MSG__BODY_PROBE:
	case NL__MSG__BODY_PROBE_REPLY: on_raft_msg(r, m, now, o); break;
	case NL__MSG__BODY_FOLLOW:
		if (!config_handover_take(r, m, now, o))
			on_config_sync_request(r, m, now, o);
		break;
	case NL__MSG__BODY_FOLLOW_REPLY:
	case NL__MSG__BODY_OWNER:
		before = r->f.fresh;
		if (config_watch_msg(&r->f, m, now, o))
			rollout_on_versions(r, before);
		if (!r->fleet && r->f.fleet) {
			r->fleet = r->f.fleet;
			r->fleet_dirty = 1;
		}
		break;
	case NL__MSG__BODY_PROPOSE: on_proposal(r, m, now, o); break;
	case NL__MSG__BODY_ANSWER: on_proposal_reply(r, m->answer, now, o); break;
	case NL__MSG__BODY_READ: on_read_asked(r, m, now, o); break;
	case NL__MSG__BODY_READ_REPLY: on_read_reply(r, m->read_reply, now, o); break;
	case NL__MSG__BODY_FEED_ASK: on_feed_request(r, m, now, o); break;
	case NL__MSG__BODY_FEED_REPLY: on_feed_reply(r, m, now, o); break;
	case NL__MSG__BODY_CURIOSITY:
		if (!r->relay.publisher || !leads_shard(r, SHARD_PURGE, now)) {
			struct Nl__Owner *w = OUT_NEW(o, Nl__Owner, NL__OWNER__INIT);

			w->owner = leader_hint(r, SHARD_PURGE, now);
			out_msg(o, m->addr, SHARD_PURGE, NL__MSG__BODY_OWNER)->owner = w;
			break;
		}
		/* fall through */
	case NL__MSG__BODY_KNOWLEDGE:
	case NL__MSG__BODY_PURGE_SNAP: relay_msg(&r->relay, m, now, o); break;
	case NL__MSG__BODY_FOUND: on_bootstrap_message(r, m, now, o); break;
	default: break;
	}
}

static void tick(struct controller *r, int64_t now, struct out *o)
{
	for (int i = 0; i < SHARD_COUNT; i++)
		if (r->fleet)
			raft_tick(&r->part[i], now, o);
	bootstrap_tick(r, now, o);
	for (uint32_t i = 0; i < SHARD_COUNT; i++) /* a member knows its leader best */
		if (leader_hint(r, i, now))
			r->f.leader_addr[i] = leader_hint(r, i, now);
	if (r->stopping)
		return;
	config_watch_tick(&r->f, r->relay.k.horizon, now, o);
	membership_register_tick(r, now, o);
	membership_tick(r, now, o);
	if (r->relay.publisher && leads_shard(r, SHARD_PURGE, now))
		publisher_tick(r, now, o);
	if (!r->relay.publisher)
		relay_up(&r->relay, NULL, 0, config_watch_log(&r->f, r->relay.moved, now), now);
	relay_tick(&r->relay, now, o);
	rollout_tick(r, now, o);
	rollout_instances(r, now, o);
	retention_tick(r, now, o);
	retention_disks(r, now, o);
}

/* NOLINTNEXTLINE(readability-function-size): one case for each event */
void controller_step(struct controller *r, const struct controller_ev *ev, int64_t now, struct out *o)
{
	ptrdiff_t begins = arrlen(o->v);

	o->id = r->id;
	o->addr = r->addr;
	o->fleet = r->fleet;
	r->f.wall = r->wall;
	for (uint32_t i = 0; i < SHARD_COUNT; i++) /* what the step before took in */
		if (r->fresh[i] && !r->part[i].snapshot_to_load) {
			r->part[i].drop_tail = 1;
			r->fresh[i] = 0;
			snapshot_take(r, i, o);
		}
	switch (ev->kind) {
	case CONTROLLER_TICK: tick(r, now, o); break;
	case CONTROLLER_MSG: on_msg(r, ev->u.msg, now, o); break;
	case CONTROLLER_SYNCED: raft_synced(&r->part[ev->u.synced.part], ev->u.synced.seq, now, o); break;
	case CONTROLLER_WEB:
	case CONTROLLER_DOC:
	case CONTROLLER_READ:
	case CONTROLLER_NAME: on_operator_call(r, ev, now, o); break;
	case CONTROLLER_GONE: operator_calls_gone(r, ev->u.gone.token); break;
	case CONTROLLER_CALLED:
		for (ptrdiff_t i = 0; i < arrlen(r->server); i++)
			if (ev->u.called.token && r->server[i].call == ev->u.called.token && ev->u.called.status == 200)
				rollout_report(r, &r->server[i], ev->u.called.body, now, o);
		break;
	case CONTROLLER_LISTED:
		instances_listed(&r->instances, ev->u.listed.token, ev->u.listed.ok, ev->u.listed.v, ev->u.listed.n, now);
		break;
	case CONTROLLER_LOOKED:
		rollout_on_look(r, ev->u.looked.token, ev->u.looked.status, ev->u.looked.weights, ev->u.looked.loading, now);
		break;
	case CONTROLLER_ORDERED:
		rollout_on_ordered(r, ev->u.ordered.token, ev->u.ordered.status, ev->u.ordered.never, now, o);
		break;
	case CONTROLLER_STOP:
		r->stopping = 1;
		for (int i = 0; i < SHARD_COUNT; i++)
			raft_leave(&r->part[i], now);
		bootstrap_stop(r, o);
		break;
	default: break;
	}
	for (uint32_t i = 0; i < SHARD_COUNT; i++) {
		struct raft *p = &r->part[i];
		const struct raft_entry *e;
		uint64_t index;

		if (p->snapshot_to_load) {
			snapshot_load(r, i, o->p);
			if (i == SHARD_CONTROL)
				r->rollout.blind = now; /* orders that were logged before are in no snapshot */
			p->snapshot_to_load = 0;
		}
		on_leadership_lost(r, i, now, o);
		while ((e = raft_next_committed(p, &index)))
			answer_proposers(r, i, index, state_machine_apply(r, i, index, e, now, o), o);
		on_leadership_gained(r, i, now, o);
		if (raft_wants_snapshot(p))
			snapshot_take(r, i, o);
	}
	config_handover_tick(r, now, o);
	proposals_tick(r, now, o);
	calls_tick(r, now, o);
	table_reads_tick(r, now, o);
	operator_calls_count(&r->calls, o, begins);
	for (uint32_t i = 0; i < SHARD_COUNT; i++)
		raft_flush(&r->part[i], now, o);
}

void controller_open(struct controller *r, uint64_t id, uint64_t addr, const char *zone, const uint64_t *seeds, int nseeds,
		     uint64_t fleet, uint64_t seed, const struct raft_saved *const *saved, int64_t now)
{
	memset(r, 0, sizeof *r);
	r->id = id;
	r->addr = addr;
	r->zone = zone;
	r->fleet = fleet;
	r->rng = seed;
	r->token = core_rand(&r->rng) >> 2; /* never one of this controller's life before */
	r->nseeds = nseeds > 8 ? 8 : nseeds;
	memcpy(r->seeds, seeds, (size_t)r->nseeds * sizeof *seeds);
	r->b = bounds_default;
	table_open(&r->ctl);
	instances_open(&r->instances);
	rollout_open(&r->rollout, now);
	for (int i = 0; i < SHARD_SERVICES; i++)
		clear_service_state(&r->svc[i]);
	for (uint32_t i = 0; i < SHARD_COUNT; i++)
		raft_open(&r->part[i], i, id, seed, saved ? saved[i] : NULL, now);
	sh_new_strdup(r->named);
	sh_new_strdup(r->limit);
	config_watch_open(&r->f, id, seeds, r->nseeds, now);
	r->f.fleet = fleet;
	r->f.zone = zone;
	relay_open(&r->relay, now);
}

void controller_close(struct controller *r)
{
	for (int i = 0; i < SHARD_COUNT; i++)
		raft_close(&r->part[i]);
	table_close(&r->ctl);
	instances_close(&r->instances);
	rollout_close(&r->rollout);
	retention_clear(r);
	free_values(&r->ctl_feed);
	arrfree(r->ctl_done);
	orders_clear(&r->orders);
	arrfree(r->call);
	config_handover_clear(r);
	free(r->ctl_doc);
	free_values(&r->pub.v);
	view_clear(&r->pub.last);
	for (int i = 0; i < SHARD_SERVICES; i++) {
		clear_service_state(&r->svc[i]);
		shfree(r->svc[i].h);
		shfree(r->svc[i].rolled);
	}
	config_watch_close(&r->f);
	relay_close(&r->relay);
	for (ptrdiff_t i = 0; i < arrlen(r->ask); i++)
		nl__op__free_unpacked(r->ask[i].op, NULL);
	for (ptrdiff_t i = 0; i < arrlen(r->server); i++) {
		free(r->server[i].name);
		free(r->server[i].service);
	}
	if (r->found.members)
		nl__members__free_unpacked(r->found.members, NULL);
	for (ptrdiff_t i = 0; i < shlen(r->named); i++)
		free(r->named[i].value.weights);
	shfree(r->named);
	quota_shares_clear(r);
	shfree(r->limit);
	arrfree(r->spare);
	arrfree(r->wait);
	arrfree(r->ask);
	arrfree(r->seen);
	arrfree(r->reads);
	arrfree(r->server);
}

int controller_stopped(const struct controller *r, int64_t now)
{
	if (operator_calls_open(r))
		return 0;
	for (int i = 0; i < SHARD_COUNT && r->fleet; i++)
		if (!raft_may_leave(&r->part[i], now))
			return 0;
	return 1;
}
