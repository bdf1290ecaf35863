/* sim_disks: the disks of simulated controllers. A write waits until its sync is due; a node that falls loses
 * what was not synced. */
#include "sim_internal.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"

static void entries_cut(struct sim_disk_shard *disk, uint64_t from)
{
	while (arrlen(disk->entries) && disk->first + (uint64_t)arrlen(disk->entries) - 1 >= from) {
		struct sim_entry entry = arrpop(disk->entries);

		free(entry.data);
	}
}

static uint8_t *bytes_dup(const uint8_t *d, size_t n)
{
	uint8_t *c = malloc(n + 1);

	memcpy(c, d, n);
	return c;
}

void sim_disk_write(struct sim_disk *d, const struct persist *w)
{
	struct sim_disk_shard *p = &d->shards[w->shard];

	p->term = w->term;
	p->vote = w->vote;
	if (w->truncate_from)
		entries_cut(p, w->truncate_from);
	if (w->has_snapshot) {
		free(p->data);
		free(p->members);
		p->data = bytes_dup(w->data, w->data_len);
		p->data_len = w->data_len;
		p->members = bytes_dup(w->members, w->members_len);
		p->members_len = w->members_len;
		p->base = w->snapshot_index;
		p->base_term = w->snapshot_term;
		while (arrlen(p->entries) && p->first <= w->drop_up_to_index) {
			free(p->entries[0].data);
			arrdel(p->entries, 0);
			p->first++;
		}
		if (!arrlen(p->entries))
			p->first = w->drop_up_to_index + 1;
	}
	for (size_t i = 0; i < w->entry_count; i++) {
		struct sim_entry e = { w->entries[i].term, w->entries[i].kind, w->entries[i].len,
				       bytes_dup(w->entries[i].data, w->entries[i].len) };

		entries_cut(p, w->entries[i].index);
		if (!arrlen(p->entries))
			p->first = w->entries[i].index;
		arrput(p->entries, e);
	}
}

void sim_disk_wipe(struct sim_disk *d)
{
	for (int i = 0; i < SHARD_COUNT; i++) {
		entries_cut(&d->shards[i], 0);
		arrfree(d->shards[i].entries);
		free(d->shards[i].data);
		free(d->shards[i].members);
	}
	memset(d, 0, sizeof *d);
}

static struct persist *persist_copy(const struct persist *w, apr_pool_t *pool)
{
	struct persist *c = apr_pmemdup(pool, w, sizeof *w);

	c->entries = apr_palloc(pool, (w->entry_count + 1) * sizeof *c->entries);
	for (size_t i = 0; i < w->entry_count; i++) {
		c->entries[i] = w->entries[i];
		c->entries[i].data = apr_pmemdup(pool, w->entries[i].data, w->entries[i].len + 1);
	}
	if (w->has_snapshot) {
		c->data = apr_pmemdup(pool, w->data, w->data_len + 1);
		c->members = apr_pmemdup(pool, w->members, w->members_len + 1);
	}
	return c;
}

void sim_disk_queue(struct sim *sim, struct sim_node *node, const struct persist *w)
{
	struct sim_write sim_write;

	apr_pool_create(&sim_write.pool, sim->pool);
	sim_write.persist = persist_copy(w, sim_write.pool);
	arrput(node->writes, sim_write);
}
