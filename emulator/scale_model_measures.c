/* What a run of the scale model measures: messages, bytes and processor time by role and kind, disk, memory
 * by role, and the memory that each data structure takes by itself. */
#include <apr_allocator.h>
#include <malloc.h>
#include <stdarg.h>
#include <stdlib.h>
#include <unistd.h>

#include "containers.h"
#include "scale_model_internal.h"

static size_t heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

static void add_row(struct scale_model_result *result, double average, double most, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

static void add_row(struct scale_model_result *result, double average, double most, const char *fmt, ...)
{
	struct scale_model_row row = { "", average, most };
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(row.key, sizeof row.key, fmt, ap);
	va_end(ap);
	if (most > 0)
		arrput(result->rows, row);
}

static const char *slot_name(int slot, int is_router)
{
	static const char *const router_events[] = { "tick",  "msg",   "exchange", "gone", "piece",
						     "done",  "look",  "web",      "stop", "asked",
						     "began", "ended", "watched" };
	static const char *const controller_events[] = { "tick", "msg",    "synced", "web",
							 "look", "stop",   "doc",    "read",
							 "name", "listed", "looked", "ordered" };
	const ProtobufCFieldDescriptor *d;
	unsigned k = (unsigned)slot - OUTSIDE;

	if (slot < OUTSIDE) {
		d = protobuf_c_message_descriptor_get_field(&nl__msg__descriptor, (unsigned)slot);
		return d ? d->name : "other";
	}
	return slot == SLOT_RUN                                                         ? "run"
	       : slot == SLOT_LOAD_COMMAND                                              ? "order"
	       : slot == SLOT_OUT                                                       ? "passed"
	       : is_router && k < sizeof router_events / sizeof *router_events          ? router_events[k]
	       : !is_router && k < sizeof controller_events / sizeof *controller_events ? controller_events[k]
											: "event";
}

/* Whether a slot counts the clients' own bytes, which are data and not control. */
static int is_data(int slot, int is_router)
{
	int k = slot - OUTSIDE;

	return slot == SLOT_RUN || slot == SLOT_OUT ||
	       (is_router && (k == ROUTER_EVENT_CLAIMED_REQUEST || k == ROUTER_EVENT_CLIENT_DISCONNECTED ||
			      k == ROUTER_EVENT_STREAM_CHUNK || k == ROUTER_EVENT_CALL_ENDED ||
			      k == ROUTER_EVENT_FORWARDED_REQUEST || k == ROUTER_EVENT_FORWARD_STREAM_BEGAN ||
			      k == ROUTER_EVENT_FORWARD_ENDED));
}

static const char *const role_name[] = { "counter", "relay", "registrar" };

static int has_role(const struct model_node *node, enum role role)
{
	return role == ROLE_CONTROLLER
		   ? node->controller != NULL
		   : node->router && (role == ROLE_ROUTER || arrlen(node->router->relay.downstreams));
}

enum measure { SENT, SENT_BYTES, RECEIVED, RECEIVED_BYTES, CPU_TIME, CODEC_TIME, MEASURE_COUNT };

static const char *const measure_name[] = {
	"sent", "sent_bytes", "heard", "heard_bytes", "cpu_us", "codec_us"
};

static double measure_value(const struct tally *tally, enum measure measure)
{
	return measure == SENT             ? (double)tally->sent
	       : measure == SENT_BYTES     ? (double)tally->sent_bytes
	       : measure == RECEIVED       ? (double)tally->received
	       : measure == RECEIVED_BYTES ? (double)tally->received_bytes
	       : measure == CPU_TIME       ? (double)tally->step_ns / 1000
					   : (double)tally->codec_ns / 1000;
}

void model_role_rows(struct model_fleet *fleet, struct scale_model_result *result, enum role role)
{
	double n = 0;

	for (int i = 0; i < fleet->node_count; i++)
		n += has_role(&fleet->nodes[i], role);
	if (n < 1)
		return;
	add_row(result, n, n, "%s.nodes", role_name[role]);
	for (int m = 0; m < MEASURE_COUNT; m++) {
		double ctl = 0, data = 0, ctl_most = 0, data_most = 0, s = fleet->settings.seconds;

		for (int slot = 0; slot < SLOT_COUNT; slot++) {
			double sum = 0, most = 0;

			for (int i = 0; i < fleet->node_count; i++)
				if (has_role(&fleet->nodes[i], role)) {
					double v =
					    measure_value(&fleet->nodes[i].tallies[slot], (enum measure)m);

					sum += v;
					most = v > most ? v : most;
				}
			add_row(result, sum / n / s, most / s, "%s.%s.%s", role_name[role], measure_name[m],
				slot_name(slot, role != ROLE_CONTROLLER));
		}
		for (int i = 0; i < fleet->node_count; i++) {
			double c = 0, d = 0;

			for (int slot = 0; slot < SLOT_COUNT && has_role(&fleet->nodes[i], role); slot++)
				*(is_data(slot, role != ROLE_CONTROLLER) ? &d : &c) +=
				    measure_value(&fleet->nodes[i].tallies[slot], (enum measure)m);
			ctl += c;
			data += d;
			ctl_most = c > ctl_most ? c : ctl_most;
			data_most = d > data_most ? d : data_most;
		}
		add_row(result, ctl / n / s, ctl_most / s, "%s.%s.=control", role_name[role],
			measure_name[m]);
		add_row(result, data / n / s, data_most / s, "%s.%s.=data", role_name[role], measure_name[m]);
	}
}

void model_disk_rows(struct model_fleet *fleet, struct scale_model_result *result)
{
	double syncs = 0, bytes = 0, syncs_most = 0, bytes_most = 0, n = fleet->settings.controllers,
	       s = fleet->settings.seconds;

	for (int i = 0; i < fleet->settings.controllers; i++) {
		const struct model_node *node = &fleet->nodes[i];

		syncs += (double)node->sync_count;
		bytes += (double)node->disk_bytes;
		syncs_most = (double)node->sync_count > syncs_most ? (double)node->sync_count : syncs_most;
		bytes_most = (double)node->disk_bytes > bytes_most ? (double)node->disk_bytes : bytes_most;
	}
	add_row(result, syncs / n / s, syncs_most / s, "registrar.disk.syncs");
	add_row(result, bytes / n / s, bytes_most / s, "registrar.disk.bytes");
}

void model_fleet_rows(struct model_fleet *fleet, struct scale_model_result *result)
{
	double sum = 0, most = 0;
	int n = 0;

	add_row(result, (double)fleet->requests, (double)fleet->requests, "fleet.asked");
	add_row(result, (double)fleet->completed, (double)fleet->completed, "fleet.whole");
	add_row(result, (double)fleet->refused, (double)fleet->refused, "fleet.refused");
	add_row(result, (double)fleet->unknown, (double)fleet->unknown, "fleet.unknown");
	add_row(result, (double)fleet->pieces, (double)fleet->pieces, "fleet.pieces");
	if (fleet->sends)
		add_row(result, (double)fleet->send_ms / (double)fleet->sends, (double)fleet->max_send_ms,
			"fleet.send_ms");
	for (ptrdiff_t i = 0; i < arrlen(fleet->changes); i++) {
		const struct config_change *c = &fleet->changes[i];

		if (!c->acked_at_ms || c->revision >= (uint64_t)arrlen(fleet->revision_reached) ||
		    fleet->revision_reached[c->revision].nodes < fleet->settings.routers)
			continue;
		n++;
		sum += (double)(fleet->revision_reached[c->revision].last_at_ms - c->acked_at_ms);
		if ((double)(fleet->revision_reached[c->revision].last_at_ms - c->acked_at_ms) > most)
			most = (double)(fleet->revision_reached[c->revision].last_at_ms - c->acked_at_ms);
	}
	add_row(result, n, n, "fleet.changes_in_force");
	if (n)
		add_row(result, sum / n, most, "fleet.in_force_ms");
}

static double resident_bytes(void)
{
	FILE *out = fopen("/proc/self/statm", "r");
	long size = 0, res = 0;

	if (!out)
		return 0;
	if (fscanf(out, "%ld %ld", &size, &res) != 2)
		res = 0;
	fclose(out);
	return (double)res * (double)sysconf(_SC_PAGESIZE);
}

/* A figure of the fleet as a whole. */
static void add_single(struct scale_model_result *result, double value, const char *key)
{
	add_row(result, value, value, "%s", key);
}

static void prefix_index_rows(struct model_fleet *fleet, struct scale_model_result *result)
{
	const struct scale_model_settings *settings = &fleet->settings;
	int64_t n = settings->cached_blocks < 200000 ? settings->cached_blocks : 200000;
	struct prefix_index prefix_index = { 0 };
	size_t before = heap_bytes();
	int64_t ns = model_cpu_ns();

	for (int64_t i = 0; i < n; i++) {
		struct block_replica replica = { 0 };

		replica.server_index = (uint32_t)(i % settings->servers);
		replica.tenant_index = (uint32_t)(i % settings->tenants);
		prefix_index_put(&prefix_index, core_random(&fleet->rng), &replica);
	}
	ns = model_cpu_ns() - ns;
	if (n) {
		add_single(result, (double)(heap_bytes() - before) / (double)n, "state.kept_part_bytes");
		add_single(result, (double)ns / (double)n, "state.kept_put_ns");
	}
	prefix_index_clear(&prefix_index);
}

/* What a cache event takes on the wire, and to be unpacked, in a message of many. */
static void cache_event_rows(struct model_fleet *fleet, struct scale_model_result *result)
{
	enum { EVENTS_PER_MESSAGE = 100 };
	uint64_t keys[EVENTS_PER_MESSAGE];
	struct Nl__CacheUpdate update = NL__CACHE_UPDATE__INIT;
	struct Nl__CacheUpdateBatch batch = NL__CACHE_UPDATE_BATCH__INIT;
	struct Nl__CacheUpdate *one = &update;
	struct Nl__Msg message = NL__MSG__INIT;
	size_t bytes;
	int64_t ns;
	uint8_t *data;

	for (int i = 0; i < EVENTS_PER_MESSAGE; i++)
		keys[i] = core_random(&fleet->rng);
	message.body_case = NL__MSG__BODY_CACHE_UPDATE_BATCH;
	message.cache_update_batch = &batch;
	batch.n_updates = 1;
	batch.updates = &one;
	update.server = "s1000";
	update.n_added = EVENTS_PER_MESSAGE;
	update.added = keys;
	bytes = nl__msg__get_packed_size(&message);
	data = malloc(bytes);
	nl__msg__pack(&message, data);
	ns = model_cpu_ns();
	for (int i = 0; i < EVENTS_PER_MESSAGE; i++)
		nl__msg__free_unpacked(nl__msg__unpack(NULL, bytes, data), NULL);
	ns = model_cpu_ns() - ns;
	add_single(result, (double)bytes / EVENTS_PER_MESSAGE, "state.kept_event_bytes");
	add_single(result, (double)ns / EVENTS_PER_MESSAGE / EVENTS_PER_MESSAGE,
		   "state.kept_event_unpack_ns");
	free(data);
}

static void purge_view_rows(struct model_fleet *fleet, struct scale_model_result *result)
{
	struct purge_view view = { 0 };
	size_t before = heap_bytes();

	for (int i = 0; i < fleet->settings.tenants; i++) {
		struct Nl__Value value = NL__VALUE__INIT;
		struct Nl__Purge purge = NL__PURGE__INIT;
		char name[20];

		snprintf(name, sizeof name, "t%d", i);
		purge.reason = PURGE_TENANT;
		purge.tenant = name;
		value.tick = 1;
		value.purge = &purge;
		purge_view_apply(&view, &value);
	}
	add_single(result, (double)(heap_bytes() - before) / fleet->settings.tenants,
		   "state.purge_subject_bytes");
	purge_view_clear(&view);
}

static void config_table_rows(struct model_fleet *fleet, struct scale_model_result *result)
{
	struct config_table copy;
	struct Nl__ConfigSyncReply all = NL__CONFIG_SYNC_REPLY__INIT;
	apr_pool_t *pool;
	size_t before;

	apr_pool_create(&pool, fleet->pool);
	config_table_pack_since(&fleet->nodes[fleet->node_count - 1].router->config.watch.table, 0, &all,
				pool);
	before = heap_bytes();
	config_table_open(&copy);
	all.full = 1;
	if (config_table_apply_reply(&copy, &all) && all.n_set)
		add_single(result, (double)(heap_bytes() - before) / (double)all.n_set, "state.row_bytes");
	config_table_close(&copy);
	add_single(result, (double)protobuf_c_message_get_packed_size(&all.base), "state.table_packed_bytes");
	apr_pool_destroy(pool);
}

void model_structure_rows(struct model_fleet *fleet, struct scale_model_result *result)
{
	prefix_index_rows(fleet, result);
	cache_event_rows(fleet, result);
	purge_view_rows(fleet, result);
	config_table_rows(fleet, result);
}

void model_memory_rows(struct model_fleet *fleet, struct scale_model_result *result)
{
	double all = resident_bytes();
	size_t was;

	apr_allocator_max_free_set(apr_pool_allocator_get(apr_pool_parent_get(fleet->pool)), 1);
	was = heap_bytes();
	for (int i = fleet->settings.controllers; i < fleet->node_count; i++)
		model_node_stop(&fleet->nodes[i]);
	add_row(result, (double)(was - heap_bytes()) / fleet->settings.routers,
		(double)(was - heap_bytes()) / fleet->settings.routers, "counter.memory.bytes");
	was = heap_bytes();
	for (int i = 0; i < fleet->settings.controllers; i++)
		model_node_stop(&fleet->nodes[i]);
	add_row(result, (double)(was - heap_bytes()) / fleet->settings.controllers,
		(double)(was - heap_bytes()) / fleet->settings.controllers, "registrar.memory.bytes");
	add_row(result, all, all, "fleet.rss_bytes");
}
