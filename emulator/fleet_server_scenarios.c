/* Scenarios of the test fleet that concern servers, the store and the links between them. */
#include <signal.h>

#include "fleet_internal.h"

void fleet_scenario_servers(struct test_fleet *fleet)
{
	struct fleet_process *n = fleet_process_of(fleet, PROCESS_SERVER, 0),
			     *node = fleet_process_of(fleet, PROCESS_SERVER, 1);

	fleet_note_fault(fleet, "a server is killed, one is drained");
	fleet_end_process(n, SIGKILL);
	fleet_set_server_state(fleet, node, "draining");
	fleet_sleep_ms(6000);
	fleet_restart_process(fleet, n);
	fleet_sleep_ms(3000);
	fleet_set_server_state(fleet, node, "serving");
	fleet_sleep_ms(3000);
	fleet_note_fault(fleet, "a whole service is replaced one by one");
	for (int i = 0; i < fleet->server_count; i += 3) {
		n = fleet_process_of(fleet, PROCESS_SERVER, i);
		fleet_set_server_state(fleet, n, "draining");
		fleet_sleep_ms(3500);
		fleet_end_process(n, SIGTERM);
		fleet_restart_process(fleet, n);
		fleet_set_server_state(fleet, n, "serving");
		fleet_sleep_ms(1000);
	}
	fleet_sleep_ms(3000);
}

void fleet_scenario_rollout(struct test_fleet *fleet)
{
	fleet_set_target_weights(fleet, 0, "w2");
	fleet_sleep_ms(3000);
	fleet_note_fault(fleet, "a server dies during the roll-out, and the giver of its service too");
	fleet_end_process(fleet_process_of(fleet, PROCESS_SERVER, 3), SIGKILL);
	fleet_end_process(fleet_process_of(fleet, PROCESS_CONTROLLER,
					   fleet_wait_leader(fleet, (int)core_service_shard(
									fleet->services[0], SHARD_SERVICES))),
			  SIGKILL);
	fleet_sleep_ms(4000);
	fleet_restart_process(
	    fleet, fleet_process_of(fleet, PROCESS_SERVER, 3)); /* comes back with the old weights */
	fleet_sleep_ms(23000);
	fleet_set_target_weights(fleet, 0, "w3"); /* a second target overtakes the first */
	fleet_sleep_ms(1000);
	fleet_set_target_weights(fleet, 0, "w4");
	fleet_sleep_ms(26000);
	for (int i = 0; i < fleet->controller_count; i++)
		if (!fleet_process_of(fleet, PROCESS_CONTROLLER, i)->pid)
			fleet_restart_process(fleet, fleet_process_of(fleet, PROCESS_CONTROLLER, i));
	fleet_sleep_ms(1000);
}

void fleet_scenario_store(struct test_fleet *fleet)
{
	struct fleet_process *node = fleet_process_of(fleet, PROCESS_STORE, 0);

	fleet_note_fault(fleet, "the store goes down, and comes back empty");
	fleet_end_process(node, SIGKILL);
	fleet_sleep_ms(5000);
	fleet_restart_process(fleet, node);
	fleet_sleep_ms(5000);
	fleet_note_fault(fleet, "reports are lost and late");
	fleet_server_fault(fleet, 0, "{\"drop_reports\":1}");
	fleet_server_fault(fleet, 1, "{\"late_reports\":700}");
	fleet_set_tenant(fleet, 0, 1);
	fleet_sleep_ms(5000);
	fleet_server_fault(fleet, 0, "{}");
	fleet_server_fault(fleet, 1, "{}");
	fleet_sleep_ms(3000);
}

void fleet_scenario_liars(struct test_fleet *fleet)
{
	char b[40];

	for (int lie = 1; lie <= 5; lie++) {
		fleet_note_fault(fleet, lie == 1   ? "servers answer with another's id"
					: lie == 2 ? "servers leave pieces out"
					: lie == 3 ? "servers break off"
					: lie == 4 ? "servers repeat pieces"
						   : "servers fall silent in the middle");
		snprintf(b, sizeof b, "{\"liar\":%d}", lie);
		fleet_server_fault(fleet, 0, b);
		fleet_server_fault(fleet, 4, b);
		fleet_sleep_ms(2500);
		fleet_server_fault(fleet, 0, "{}");
		fleet_server_fault(fleet, 4, "{}");
		fleet_sleep_ms(500);
	}
	fleet_sleep_ms(2000);
}

void fleet_scenario_links(struct test_fleet *fleet)
{
	static const char *const what[] = { "{\"slow_link\":200}", "{\"hang_fetch\":5000}" };

	for (int k = 0; k < 2; k++) {
		fleet_note_fault(fleet, k ? "fetches hang" : "links between servers are slow");
		for (int i = 0; i < fleet->server_count; i++)
			fleet_server_fault(fleet, i, what[k]);
		fleet_sleep_ms(3000);
		fleet_set_tenant(fleet, 1, !k);
		fleet_sleep_ms(4000);
		for (int i = 0; i < fleet->server_count; i++)
			fleet_server_fault(fleet, i, "{}");
		fleet_sleep_ms(3000);
	}
}

void fleet_scenario_overload(struct test_fleet *fleet)
{
	char path[700];
	struct load_client_settings settings = { fleet->router_addresses,
						 fleet->router_count,
						 fleet->routes,
						 3,
						 8,
						 fleet->rate * 10,
						 256,
						 3000,
						 400,
						 fleet->settings->seed + 1000,
						 path };
	struct load_clients *more;

	snprintf(path, sizeof path, "%s/more.rec", fleet->settings->folder);
	more = load_clients_start(&settings);
	fleet_sleep_ms(5000);
	fleet_note_fault(fleet, "a third of the servers refuse under overload");
	for (int i = 0; i < fleet->server_count; i += 3)
		fleet_server_fault(fleet, i, "{\"refuse\":1}");
	fleet_sleep_ms(4000);
	for (int i = 0; i < fleet->server_count; i += 3)
		fleet_server_fault(fleet, i, "{}");
	load_clients_stop(more);
	fleet_sleep_ms(2000);
}
