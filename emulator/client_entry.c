/* The platform's entry: readiness probes of all routers, and the choice of a router by the client's zone and
 * hash. */
#include <stdlib.h>
#include <string.h>

#include "clients_internal.h"

struct probe {
	struct run *run;
	int machine;
};

static void on_readiness(void *ctx, int status, const struct http_message *message)
{
	struct probe *probe = ctx;
	struct machine *machine = &probe->run->machines[probe->machine];

	(void)message;
	if (status == 200) {
		if (!machine->in_rotation && probe->run->verbose)
			run_log(probe->run, "%s is ready", machine->name);
		machine->probe_failures = 0;
		machine->in_rotation = !machine->removed;
	} else if (++machine->probe_failures >= 2) {
		if (machine->in_rotation && probe->run->verbose)
			run_log(probe->run, "%s is out: not ready (%d)", machine->name, status);
		machine->in_rotation = 0;
	}
	free(probe);
}

void client_poll_readiness(void *ctx)
{
	struct clients *clients = ctx;
	struct run *run = clients->run;

	clients->ready_timer = loop_after(run->loop, ms_us(1000), client_poll_readiness, clients);
	for (int i = 0; i < run->machine_count; i++) {
		struct probe *probe;

		if (run->machines[i].is_core || run->machines[i].removed)
			continue;
		probe = calloc(1, sizeof *probe);
		probe->run = run;
		probe->machine = i;
		http_call(run->loop, run->machines[i].readiness_address, "GET", "/readiness", "", NULL, 900,
			  on_readiness, probe);
	}
}

int client_pick_edge(struct clients *clients, const struct client *who, const struct client_request *request)
{
	struct run *run = clients->run;

	for (int z = 0; z < 4; z++) { /* its own zone first, then the next ones */
		const char *zone = run->deployment->zone[(who->zone + z) % 4];
		int in[MAX_MACHINES], all[MAX_MACHINES], nin = 0, nall = 0, n, *from;

		for (int i = 0; i < run->machine_count; i++) {
			if (run->machines[i].is_core || run->machines[i].removed ||
			    strcmp(run->machines[i].zone, zone))
				continue;
			all[nall++] = i;
			if (run->machines[i].in_rotation)
				in[nin++] = i;
		}
		if (!nin)
			continue;
		from = nin * 2 < nall ? all : in;
		n = nin * 2 < nall ? nall : nin;
		for (int k = 0; k < n; k++) { /* further attempts go to other machines */
			int m = from[(who->hash + (uint64_t)request->attempts + (uint64_t)k) % (uint64_t)n],
			    met = 0;

			for (int x = 0; x < request->avoid_count; x++)
				met |= request->avoid[x] == m;
			if (!met)
				return m;
		}
		if (z == 3 || n > 1 || !request->avoid_count)
			return from[(who->hash + (uint64_t)request->attempts) % (uint64_t)n];
	}
	for (int i = 0; i < run->machine_count; i++) /* none is in rotation: any that is there */
		if (!run->machines[i].is_core && !run->machines[i].removed)
			return i;
	return NO_MACHINE;
}
