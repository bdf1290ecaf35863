#include "core.h"

#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"

struct cmd *out_cmd(struct out *o, enum cmd_kind k)
{
	struct cmd c;

	memset(&c, 0, sizeof c);
	c.kind = k;
	arrput(o->v, c);
	return &arrlast(o->v);
}

void *out_new(struct out *o, size_t n, const void *init) { return memcpy(apr_palloc(o->p, n), init, n); }

struct Nl__Msg *out_msg(struct out *o, uint64_t addr, uint32_t part, int body)
{
	struct Nl__Msg *m = OUT_NEW(o, Nl__Msg, NL__MSG__INIT);
	struct cmd *c = out_cmd(o, CMD_SEND);

	m->speak = CORE_SPEAK;
	m->id = o->id;
	m->addr = o->addr;
	m->fleet = o->fleet;
	m->part = part;
	m->body_case = (Nl__Msg__BodyCase)body;
	c->u.send.addr = addr;
	c->u.send.msg = m;
	return m;
}

void out_answer(struct out *o, uint64_t token, int status, int retry_ms, const char *body)
{
	struct cmd *c = out_cmd(o, CMD_ANSWER);

	c->u.answer.token = token;
	c->u.answer.status = status;
	c->u.answer.retry_ms = retry_ms;
	c->u.answer.body = body;
}

void out_answer_until(struct out *o, uint64_t token, int status, const char *body, int64_t not_after)
{
	out_answer(o, token, status, 0, body);
	arrlast(o->v).u.answer.not_after = not_after;
}

void out_clear(struct out *o)
{
	arrsetlen(o->v, 0);
	apr_pool_clear(o->p);
}

static uint64_t mix(uint64_t x)
{
	x ^= x >> 30;
	x *= 0xbf58476d1ce4e5b9ull;
	x ^= x >> 27;
	x *= 0x94d049bb133111ebull;
	return x ^ (x >> 31);
}

uint64_t core_hash(uint64_t seed, const void *d, size_t n)
{
	const unsigned char *s = d;
	uint64_t h = 0xcbf29ce484222325ull ^ mix(seed + 0x9e3779b97f4a7c15ull);

	for (size_t i = 0; i < n; i++)
		h = (h ^ s[i]) * 0x100000001b3ull;
	return mix(h);
}

uint64_t core_hashs(uint64_t seed, const char *s) { return core_hash(seed, s, strlen(s)); }

uint64_t core_rdv(uint64_t subject, uint64_t node) { return mix(subject ^ mix(node + 0x9e3779b97f4a7c15ull)); }

uint64_t core_rand(uint64_t *s) { return mix(*s += 0x9e3779b97f4a7c15ull); }

uint32_t core_part_of(const char *service, uint32_t n) { return SHARD_SERVICE + (uint32_t)(core_hashs(0, service) % n); }

uint64_t core_addr(const char *s)
{
	unsigned a, b, c, d, port;
	char end;

	/* NOLINTNEXTLINE(cert-err34-c): each number has so few digits that it fits, and is checked */
	if (!s || sscanf(s, "%3u.%3u.%3u.%3u:%5u%c", &a, &b, &c, &d, &port, &end) != 5)
		return 0;
	if (a > 255 || b > 255 || c > 255 || d > 255 || port > 65535)
		return 0;
	return (uint64_t)a << 40 | (uint64_t)b << 32 | (uint64_t)c << 24 | (uint64_t)d << 16 | port;
}

const char *core_addr_str(apr_pool_t *p, uint64_t a)
{
	return apr_psprintf(p, "%u.%u.%u.%u:%u", (unsigned)(a >> 40) & 255, (unsigned)(a >> 32) & 255, (unsigned)(a >> 24) & 255,
			    (unsigned)(a >> 16) & 255, (unsigned)a & 65535);
}

uint8_t *core_pack(apr_pool_t *p, const ProtobufCMessage *m, size_t *len)
{
	uint8_t *d = apr_palloc(p, protobuf_c_message_get_packed_size(m) + 1);

	*len = protobuf_c_message_pack(m, d);
	return d;
}

static void *pool_alloc(void *p, size_t n) { return apr_palloc(p, n); }
static void pool_free(void *p, void *d)
{
	(void)p;
	(void)d;
}

ProtobufCMessage *core_unpack(apr_pool_t *p, const ProtobufCMessageDescriptor *t, size_t n, const uint8_t *d)
{
	ProtobufCAllocator a = { pool_alloc, pool_free, p };

	return protobuf_c_message_unpack(t, &a, n, d);
}

ProtobufCMessage *core_dup(apr_pool_t *p, const ProtobufCMessage *m)
{
	size_t n;
	uint8_t *d = core_pack(p, m, &n);

	return core_unpack(p, m->descriptor, n, d);
}

const struct bounds bounds_default = {
	.config_ms = 2000,
	.revoke_ms = 5000,
	.drift_ms = 5000,
	.contact_ms = 3000,
	.drain_ms = 3000,
	.ack_ms = 4000,
	.catch_up_ms = 6000,
	.grace_ms = 30000,
	.lease_ms = 3000,
	.thaw_ms = 300,
	.recover_ms = 12000,
	.roll_ms = 25000,
	.budget_mille = 200,
	.budget_slack = 18,
	.budget_window_ms = 10000,
	.copies = 3,
	.list_mille = 0,
	.instances = 0,
	.link_kbps = 0,
};
