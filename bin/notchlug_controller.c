/* controller: a machine of the core, with a disk. */
#include <apr_general.h>
#include <string.h>

#include "calendar.h"
#include "control.h"
#include "config_document.h"
#include "platform.h"
#include "controller.h"
#include "shell.h"

struct registrar {
	struct controller r;
	struct process p;
	struct control door;
};

static void stepped(void *ctx, const struct controller_event *event, int64_t now, struct command_list *out)
{
	struct registrar *controller = ctx;

	controller->r.clocks.wall_ms = clock_wall_ms();
	controller_step(&controller->r, event, now, out);
	if (controller->r.identity.fleet_dirty) { /* on the disk before anything said under it */
		controller->r.identity.fleet_dirty = 0;
		if (!storage_write_identity(controller->p.storage, controller->r.identity.id,
					    controller->r.identity.fleet))
			log_write(
			    LOG_ERROR, "storage",
			    "Step identity: the disk refuses; this controller may be taken for a new one.");
	}
}

static void step(void *ctx, const struct shell_event *event, int64_t now, struct command_list *out)
{
	struct controller_event ev;

	memset(&ev, 0, sizeof ev);
	if (!event) {
		ev.kind = CONTROLLER_TICK;
	} else
		switch (event->kind) {
		case SHELL_EVENT_MESSAGE:
			ev.kind = CONTROLLER_MESSAGE;
			ev.payload.message = event->message;
			break;
		case SHELL_EVENT_SYNCED:
			ev.kind = CONTROLLER_SYNCED;
			ev.payload.synced.shard = event->shard;
			ev.payload.synced.sequence = event->sequence;
			break;
		case SHELL_EVENT_REQUEST:
			ev.kind = CONTROLLER_API_CALL;
			ev.payload.api_call.token = event->token;
			ev.payload.api_call.method = event->method;
			ev.payload.api_call.path = event->path;
			ev.payload.api_call.body = event->body;
			ev.payload.api_call.idempotency_key = event->idempotency_key;
			break;
		case SHELL_EVENT_CALL_DONE:
			ev.kind = CONTROLLER_CALL_RESULT;
			ev.payload.call_result.token = event->token;
			ev.payload.call_result.status = event->status;
			ev.payload.call_result.body = event->body;
			break;
		case SHELL_EVENT_DISCONNECTED:
			ev.kind = CONTROLLER_CALLER_DISCONNECTED;
			ev.payload.disconnected.token = event->token;
			break;
		case SHELL_EVENT_STOP:
			ev.kind = CONTROLLER_STOP;
			break;
		default:
			return;
		}
	stepped(ctx, &ev, now, out);
}

static void changed(void *ctx, const struct settings *s)
{
	struct registrar *controller = ctx;
	uint64_t seeds[8];

	for (int i = 0; i < s->seed_count; i++)
		seeds[i] = core_parse_addr(s->seeds[i]);
	config_watch_set_seeds(&controller->r.config_watch, seeds, s->seed_count);
	controller->r.bounds = s->bounds;
	controller->door.list_addr = ((const struct platform *)s->extension)->list_addr;
}

static int done(void *ctx)
{
	const struct registrar *controller = ctx;

	return controller_stopped(&controller->r, clock_ms());
}

static void say(void *ctx, const char *prefix, const char *line)
{
	(void)ctx;
	log_write(LOG_INFO, prefix, "%s", line);
}

/* What the settings say, and what only the platform's do. */
static void take_settings(struct registrar *controller)
{
	const struct settings *set = &controller->p.settings;

	controller->r.adapters.log = say;
	controller->r.adapters.calendar = &calendar_icu;
	controller->r.bounds.disabled_mechanisms = set->disabled_mechanisms;
	if (!set->extension)
		return;
	controller->r.adapters.codec = &platform_codec;
	controller->r.bounds = set->bounds;
	if (set->may_bootstrap && set->seed_count && !strcmp(set->seeds[0], set->listen))
		controller_bootstrap(&controller->r, clock_ms());
}

int main(int argc, char **argv)
{
	static struct registrar controller;
	struct process *proc = &controller.p;
	struct process_handlers d = { &controller, step, done, NULL, changed };
	struct stored_state f;
	uint64_t seeds[8];
	struct storage_failure failure;
	int rc;

	process_ignore_hangup();
	apr_initialize();
	apr_pool_create(&proc->pool, NULL);
	log_open("notchlug-controller");
	proc->settings.read_external = platform_settings;
	rc = settings_read(&proc->settings, "notchlug-controller", 1, argc, argv, proc->pool);
	if (rc >= 0)
		goto end;
	rc = 1;
	for (int i = 0; i < proc->settings.seed_count; i++)
		seeds[i] = core_parse_addr(proc->settings.seeds[i]);
	ring_open(&proc->events, 65536, proc->pool);
	proc->storage =
	    storage_open(proc->settings.data, proc->settings.fault, proc->events, &f, &failure, proc->pool);
	if (!proc->storage) {
		log_write(LOG_ERROR, "storage", "%s.", storage_strerror(&failure, proc->pool));
		goto end;
	}
	if (!f.node_id) { /* an empty disk is a new identity */
		f.node_id = process_random_id();
		if (!storage_write_identity(proc->storage, f.node_id, 0)) {
			log_write(LOG_ERROR, "storage", "Step identity: the disk refuses.");
			goto end;
		}
	}
	if (proc->settings.extension) { /* another language than the product's own */
		controller.door.step = stepped;
		controller.door.ctx = &controller;
		controller.door.list_addr = ((struct platform *)proc->settings.extension)->list_addr;
		proc->front_end = &platform_control;
		proc->front_end_context = &controller.door;
	}
	controller_open(
	    &controller.r, f.node_id,
	    core_parse_addr(proc->settings.advertise ? proc->settings.advertise : proc->settings.listen),
	    proc->settings.zone, seeds, proc->settings.seed_count, f.fleet_id, process_random_id(),
	    f.shard_pointers, clock_ms());
	take_settings(&controller);
	if (!process_open(proc))
		goto end;
	log_write(LOG_INFO, "registrar", "Serves operators at %s in zone %s.",
		  proc->settings.extension ? ((struct platform *)proc->settings.extension)->control_addr
					   : proc->settings.web,
		  proc->settings.zone);
	rc = process_run(proc, &d);
	controller_close(&controller.r);
end:
	apr_pool_destroy(proc->pool);
	apr_terminate();
	return rc;
}
