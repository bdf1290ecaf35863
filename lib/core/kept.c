#include "kept.h"

#include <string.h>

#include "ds.h"

void kept_put(struct kept *k, uint64_t hash, const struct kept_copy *c)
{
	struct kept_row *r = hmgetp_null(k->h, hash);
	struct kept_copy *v = NULL;

	if (!r) {
		hmput(k->h, hash, v);
		r = hmgetp(k->h, hash);
	}
	for (ptrdiff_t i = 0; i < arrlen(r->value); i++)
		if (r->value[i].server == c->server && r->value[i].maker == c->maker) {
			r->value[i] = *c;
			return;
		}
	arrput(r->value, *c);
	k->n++;
}

struct kept_copy *kept_get(struct kept *k, uint64_t hash)
{
	struct kept_row *r = k->h ? hmgetp_null(k->h, hash) : NULL;

	return r ? r->value : NULL;
}

void kept_drop(struct kept *k, int (*gone)(const void *, uint64_t, const struct kept_copy *), const void *ctx)
{
	for (ptrdiff_t i = hmlen(k->h) - 1; i >= 0; i--) {
		struct kept_row *r = &k->h[i];

		for (ptrdiff_t j = arrlen(r->value) - 1; j >= 0; j--)
			if (gone(ctx, r->key, &r->value[j])) {
				arrdelswap(r->value, j);
				k->n--;
			}
		if (!arrlen(r->value)) {
			uint64_t key = r->key;

			arrfree(r->value);
			(void)hmdel(k->h, key);
		}
	}
}

void kept_lose(struct kept *k, uint64_t hash, uint32_t server)
{
	struct kept_row *r = k->h ? hmgetp_null(k->h, hash) : NULL;

	if (!r)
		return;
	for (ptrdiff_t i = arrlen(r->value) - 1; i >= 0; i--)
		if (r->value[i].server == server) {
			arrdelswap(r->value, i);
			k->n--;
		}
	if (!arrlen(r->value)) {
		arrfree(r->value);
		(void)hmdel(k->h, hash);
	}
}

struct sweep {
	uint32_t server;
	uint64_t seen;
};

static int swept(const void *ctx, uint64_t id, const struct kept_copy *c)
{
	const struct sweep *s = ctx;

	(void)id;
	return c->server == s->server && c->seen < s->seen;
}

void kept_sweep(struct kept *k, uint32_t server, uint64_t seen)
{
	struct sweep s = { server, seen };

	kept_drop(k, swept, &s);
}

void kept_clear(struct kept *k)
{
	for (ptrdiff_t i = 0; i < hmlen(k->h); i++)
		arrfree(k->h[i].value);
	hmfree(k->h);
	k->n = 0;
}
