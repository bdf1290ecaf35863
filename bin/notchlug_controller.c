/* notchlug-controller: runs one controller of the fleet. It translates the events of the shell (lib/shell)
 * into events of the controller (lib/control) and passes the resulting commands back to the shell. With a
 * platform's settings, platform/control.c serves HTTP in place of the product's own interface. The data
 * folder holds the controller's identity and the Raft logs of the shards; an empty folder gets a new
 * identity. */
#include <apr_general.h>
#include <string.h>

#include "calendar.h"
#include "control.h"
#include "config_document.h"
#include "platform.h"
#include "controller.h"
#include "shell.h"

enum { EVENT_RING_SIZE = 65536, MAX_SEEDS = 8 };

/* The state of the program. main() owns the only one. */
struct program {
	struct controller controller;
	struct process process;
	struct control front_end; /* used only with a platform's settings */
};

static void step_controller(void *context, const struct controller_event *event, int64_t now,
			    struct command_list *commands)
{
	struct program *program = context;
	struct controller *controller = &program->controller;

	controller->clocks.wall_ms = clock_wall_ms();
	controller_step(controller, event, now, commands);
	if (!controller->identity.is_fleet_unsaved)
		return;
	/* store the fleet id before any message that carries it is sent */
	controller->identity.is_fleet_unsaved = 0;
	if (!storage_write_identity(program->process.storage, controller->identity.id,
				    controller->identity.fleet_id))
		log_write(
		    LOG_ERROR, "storage",
		    "Step identity: writing the fleet id to disk failed; after a restart this controller may be treated as a new one.");
}

/* Translates an event of the shell. Returns 0 for an event that the controller does not handle. */
static int translate_event(const struct shell_event *event, struct controller_event *controller_event)
{
	switch (event->kind) {
	case SHELL_EVENT_MESSAGE:
		controller_event->kind = CONTROLLER_MESSAGE;
		controller_event->payload.message = event->message;
		return 1;
	case SHELL_EVENT_SYNCED:
		controller_event->kind = CONTROLLER_SYNCED;
		controller_event->payload.synced.shard = event->shard;
		controller_event->payload.synced.sequence = event->sequence;
		return 1;
	case SHELL_EVENT_REQUEST:
		controller_event->kind = CONTROLLER_API_CALL;
		controller_event->payload.api_call.token = event->token;
		controller_event->payload.api_call.method = event->method;
		controller_event->payload.api_call.path = event->path;
		controller_event->payload.api_call.body = event->body;
		controller_event->payload.api_call.idempotency_key = event->idempotency_key;
		return 1;
	case SHELL_EVENT_CALL_DONE:
		controller_event->kind = CONTROLLER_CALL_RESULT;
		controller_event->payload.call_result.token = event->token;
		controller_event->payload.call_result.status = event->http_status;
		controller_event->payload.call_result.body = event->body;
		return 1;
	case SHELL_EVENT_DISCONNECTED:
		controller_event->kind = CONTROLLER_CALLER_DISCONNECTED;
		controller_event->payload.disconnected.token = event->token;
		return 1;
	case SHELL_EVENT_STOP:
		controller_event->kind = CONTROLLER_STOP;
		return 1;
	default:
		return 0;
	}
}

/* Steps the controller with an event of the shell. event NULL: a timer tick. */
static void step_shell_event(void *context, const struct shell_event *event, int64_t now,
			     struct command_list *commands)
{
	struct controller_event controller_event;

	memset(&controller_event, 0, sizeof controller_event);
	controller_event.kind = CONTROLLER_TICK;
	if (!event || translate_event(event, &controller_event))
		step_controller(context, &controller_event, now, commands);
}

/* Parses the addresses of the seed controllers. Returns their number. */
static int parse_seed_addrs(const struct settings *settings, uint64_t seeds[MAX_SEEDS])
{
	for (int i = 0; i < settings->seed_count; i++)
		seeds[i] = core_parse_addr(settings->seeds[i]);
	return settings->seed_count;
}

static void on_settings_changed(void *context, const struct settings *settings)
{
	struct program *program = context;
	uint64_t seeds[MAX_SEEDS];
	int seed_count = parse_seed_addrs(settings, seeds);

	config_watch_set_seeds(&program->controller.config_watch, seeds, seed_count);
	program->controller.bounds = settings->bounds;
	program->front_end.endpoint_list_addr =
	    ((const struct platform *)settings->front_end_settings)->endpoint_list_addr;
}

static int is_idle(void *context)
{
	const struct program *program = context;

	return controller_may_stop(&program->controller, clock_ms());
}

static void write_log(void *context, const char *prefix, const char *line)
{
	(void)context;
	log_write(LOG_INFO, prefix, "%s", line);
}

/* Opens the data folder and, if it is empty, stores a new identity there. Returns 0 on an error, which is
 * logged. */
static int open_storage(struct process *process, struct stored_state *stored)
{
	struct storage_failure failure;

	process->storage = storage_open(process->settings.data_folder, process->settings.sync_delay_file,
					process->events, stored, &failure, process->pool);
	if (!process->storage) {
		log_write(LOG_ERROR, "storage", "%s.", storage_strerror(&failure, process->pool));
		return 0;
	}
	if (stored->node_id)
		return 1;
	stored->node_id = process_random_id();
	if (!storage_write_identity(process->storage, stored->node_id, 0)) {
		log_write(LOG_ERROR, "storage", "Step identity: writing a new identity to disk failed.");
		return 0;
	}
	return 1;
}

/* Makes the platform's front end serve the HTTP requests of this process. */
static void set_front_end(struct program *program, const struct platform *platform)
{
	program->front_end.step_controller = step_controller;
	program->front_end.step_context = program;
	program->front_end.endpoint_list_addr = platform->endpoint_list_addr;
	program->process.front_end = &platform_control;
	program->process.front_end_context = &program->front_end;
}

static void open_controller(struct program *program, const struct stored_state *stored)
{
	const struct settings *settings = &program->process.settings;
	struct controller *controller = &program->controller;
	const char *address = settings->advertised_addr ? settings->advertised_addr : settings->listen_addr;
	uint64_t seeds[MAX_SEEDS];
	int seed_count = parse_seed_addrs(settings, seeds);

	controller_open(controller, stored->node_id, core_parse_addr(address), settings->zone, seeds,
			seed_count, stored->fleet_id, process_random_id(), stored->shard_pointers,
			clock_ms());
	controller->adapters.log = write_log;
	controller->adapters.calendar = &calendar_icu;
	controller->bounds.disabled_mechanisms = settings->disabled_mechanisms;
	if (!settings->front_end_settings)
		return;
	controller->adapters.codec = &platform_codec;
	controller->bounds = settings->bounds;
	if (settings->may_bootstrap && seed_count && !strcmp(settings->seeds[0], settings->listen_addr))
		controller_bootstrap(controller, clock_ms());
}

int main(int argc, char **argv)
{
	static struct program program;
	struct process *process = &program.process;
	struct process_handlers handlers = { &program, step_shell_event, is_idle, NULL, on_settings_changed };
	const struct platform *platform;
	struct stored_state stored;
	int rc;

	process_ignore_hangup();
	apr_initialize();
	apr_pool_create(&process->pool, NULL);
	log_open("notchlug-controller");
	process->settings.read_external = platform_read_settings;
	rc = settings_read(&process->settings, "notchlug-controller", 1, argc, argv, process->pool);
	if (rc >= 0)
		goto end;
	rc = 1;
	platform = process->settings.front_end_settings;
	ring_open(&process->events, EVENT_RING_SIZE, process->pool);
	if (!open_storage(process, &stored))
		goto end;
	if (platform)
		set_front_end(&program, platform);
	open_controller(&program, &stored);
	if (!process_open(process))
		goto end;
	log_write(LOG_INFO, "controller", "Serving operators at %s in zone %s.",
		  platform ? platform->control_addr : process->settings.http_addr, process->settings.zone);
	rc = process_run(process, &handlers);
	controller_close(&program.controller);
end:
	apr_pool_destroy(process->pool);
	apr_terminate();
	return rc;
}
