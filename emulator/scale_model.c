/* The scale model's interface: runs one fleet and collects its measurements. */
#include <string.h>
#include <unistd.h>

#include "containers.h"
#include "scale_model_internal.h"

const struct scale_model_settings scale_model_defaults = {
	.routers = 9,
	.controllers = 4,
	.servers = 18,
	.tenants = 4,
	.routes = 12,
	.seconds = 10,
	.pieces = 8,
	.use_instance_list = 1,
	.cached_blocks = 180,
	.seed = 1,
};

int scale_model_run(const struct scale_model_settings *settings, struct scale_model_result *result,
		    const char **why)
{
	struct model_fleet fleet;
	int ok;

	memset(&fleet, 0, sizeof fleet);
	memset(result, 0, sizeof *result);
	model_fleet_make(&fleet, settings);
	ok = model_fleet_start(&fleet, why);
	if (ok) {
		model_fleet_load(&fleet);
		for (int i = 0; i < ROLE_COUNT; i++)
			model_role_rows(&fleet, result, (enum role)i);
		model_disk_rows(&fleet, result);
		model_fleet_rows(&fleet, result);
		model_structure_rows(&fleet, result);
		model_memory_rows(&fleet, result);
	}
	model_fleet_free(&fleet);
	return ok;
}

double scale_model_get(const struct scale_model_result *result, const char *key)
{
	for (ptrdiff_t i = 0; i < arrlen(result->rows); i++)
		if (!strcmp(result->rows[i].key, key))
			return result->rows[i].average;
	return -1;
}

void scale_model_print(const struct scale_model_result *result, int csv, FILE *out)
{
	fprintf(out, csv ? "key,mean,most\n" : "%-44s %16s %16s\n",
		"a second and node, unless it says otherwise", "mean", "most");
	for (ptrdiff_t i = 0; i < arrlen(result->rows); i++)
		fprintf(out, csv ? "%s,%.3f,%.3f\n" : "%-44s %16.2f %16.2f\n", result->rows[i].key,
			result->rows[i].average, result->rows[i].max);
}

void scale_model_free(struct scale_model_result *result)
{
	arrfree(result->rows);
}

/* Coefficients as runs showed them, rounded up (docs/CAPACITY.md). */
uint64_t scale_model_memory_bytes(const struct scale_model_settings *settings)
{
	uint64_t nodes = (uint64_t)settings->routers + (uint64_t)settings->controllers,
		 svc = (uint64_t)settings->servers,
		 rows = svc + 2 * (uint64_t)settings->tenants + 2 * (uint64_t)settings->routes;

	return (32u << 20) + nodes * (200000 + 900 * rows) +
	       (uint64_t)settings->routers * 300 * (uint64_t)settings->cached_blocks + svc * 1000 +
	       150 * (uint64_t)settings->cached_blocks +
	       (uint64_t)settings->requests_per_second * (uint64_t)(settings->seconds + 4) * 1500 +
	       (uint64_t)settings->cache_events_per_second * 100;
}

const char *scale_model_validate(const struct scale_model_settings *settings, char *buf, size_t n)
{
	const struct {
		const char *name;
		int64_t value, min, max;
	} in[] = {
		{ "nodes", settings->routers, 1, 4000 },
		{ "registrars", settings->controllers, 3, 24 },
		{ "servers", settings->servers, 1, 20000 },
		{ "tenants", settings->tenants, 1, 20000 },
		{ "lanes", settings->routes, 1, 4000 },
		{ "zones", settings->zones, 0, 200 },
		{ "seconds", settings->seconds, 1, 3600 },
		{ "changes", settings->changes, 0, 100000 },
		{ "restarts", settings->restarts, 0, 10000 },
		{ "pieces", settings->pieces, 1, 10000 },
		{ "listed", settings->use_instance_list, 0, 1 },
		{ "parts", settings->cached_blocks, 0, 1000000000 },
		{ "rate", settings->requests_per_second, 0, 1000000 },
		{ "events", settings->cache_events_per_second, 0, 10000000 },
	};
	uint64_t have = settings->memory_bytes
			    ? settings->memory_bytes
			    : (uint64_t)sysconf(_SC_PHYS_PAGES) * (uint64_t)sysconf(_SC_PAGESIZE),
		 need;

	for (size_t i = 0; i < sizeof in / sizeof *in; i++)
		if (in[i].value < in[i].min || in[i].value > in[i].max) {
			snprintf(buf, n, "--%s: %lld to %lld", in[i].name, (long long)in[i].min,
				 (long long)in[i].max);
			return buf;
		}
	need = scale_model_memory_bytes(settings);
	if (need > have / 2) {
		snprintf(buf, n,
			 "such a fleet needs about %llu MB, and half of this machine's memory is %llu MB",
			 (unsigned long long)(need >> 20), (unsigned long long)(have / 2 >> 20));
		return buf;
	}
	if (settings->cached_blocks / settings->servers > MAX_BLOCKS_PER_SERVER) {
		snprintf(buf, n, "--parts: at most %d at a server, %lld in all", MAX_BLOCKS_PER_SERVER,
			 (long long)MAX_BLOCKS_PER_SERVER * settings->servers);
		return buf;
	}
	return NULL;
}
