/* proc: settings, and the loop that every daemon runs: events to the owner of its state, commands performed.
 */
#include <apr_file_info.h>
#include <apr_strings.h>
#include <argtable2.h>
#include <errno.h>
#include <fcntl.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#include "containers.h"
#include "mechanism.h"
#include "shell.h"

#ifndef NL_VERSION
#define NL_VERSION "0.1.0"
#endif

enum {
	PROCESS_TICK_MS = 25,
	PROCESS_SCAN_MS = 250,
	PROCESS_DRAIN_MS = 30000,
	PROCESS_RING_CAPACITY = 65536,
	PROCESS_EVENT_BATCH = 64,
	PROCESS_SETTINGS_POLL_MS = 1000,
	PROCESS_FLUSH_MS = 50
};

uint64_t process_random_id(void)
{
	uint64_t v = 0;

	while (getrandom(&v, sizeof v, 0) != sizeof v)
		;
	return v | 1;
}

static volatile sig_atomic_t got_signal, got_hangup;

static void on_signal(int sig)
{
	if (sig == SIGHUP)
		got_hangup = 1;
	else
		got_signal = sig;
}

void process_ignore_hangup(void)
{
	struct sigaction sa;

	memset(&sa, 0, sizeof sa);
	sa.sa_handler = SIG_IGN;
	sigaction(SIGHUP, &sa, NULL);
}

static void install_signal_handlers(const struct settings *settings)
{
	struct sigaction sa;

	memset(&sa, 0, sizeof sa);
	sa.sa_handler = on_signal;
	sigaction(SIGTERM, &sa, NULL);
	sigaction(SIGINT, &sa, NULL);
	if (!settings->read_external)
		sa.sa_handler = SIG_DFL;
	sigaction(SIGHUP, &sa, NULL);
	sa.sa_handler = SIG_IGN;
	sigaction(SIGPIPE, &sa, NULL);
}

/* ---- settings ---- */

static const char *const settings_keys = "listen, advertise, web, zone, seeds, data, fault";

static int settings_error(const char *program, const char *file, const char *key, const char *range)
{
	fprintf(stderr, "%s: %s: %s: %s\n", program, file, key, range);
	return 2;
}

static int settings_read_file(struct settings *settings, const char *program, apr_pool_t *p)
{
	struct json_object *json = json_object_from_file(settings->file);
	int rc = -1;

	if (!json_object_is_type(json, json_type_object)) {
		rc = settings_error(program, settings->file, "file", "not readable as a JSON object");
		goto end;
	}
	json_object_object_foreach(json, key, value)
	{
		const struct {
			const char *name;
			const char **target;
		} strings[] = {
			{ "listen", &settings->listen }, { "advertise", &settings->advertise },
			{ "web", &settings->web },       { "zone", &settings->zone },
			{ "data", &settings->data },     { "fault", &settings->fault },
		};
		int known = 0;

		for (size_t i = 0; i < sizeof strings / sizeof *strings; i++)
			if (!strcmp(key, strings[i].name)) {
				known = 1;
				if (!json_object_is_type(value, json_type_string)) {
					rc = settings_error(program, settings->file, key, "a string");
					goto end;
				}
				if (!*strings[i].target)
					*strings[i].target = apr_pstrdup(p, json_object_get_string(value));
			}
		if (!strcmp(key, "seeds")) {
			known = 1;
			if (!json_object_is_type(value, json_type_array) ||
			    json_object_array_length(value) > 8) {
				rc = settings_error(program, settings->file, key,
						    "a list of 1 to 8 addresses ip:port");
				goto end;
			}
			if (!settings->seed_count)
				for (size_t i = 0; i < json_object_array_length(value); i++)
					settings->seeds[settings->seed_count++] = apr_pstrdup(
					    p, json_object_get_string(json_object_array_get_idx(value, i)));
		}
		if (!known) {
			rc = settings_error(program, settings->file, key,
					    apr_psprintf(p, "no such key; known: %s", settings_keys));
			goto end;
		}
	}
end:
	if (json)
		json_object_put(json);
	return rc;
}

static int settings_check(const struct settings *settings, const char *program, int has_storage)
{
	const char *file = settings->file ? settings->file : "flags";
	const struct {
		const char *name, *value;
		int required;
	} addresses[] = {
		{ "listen", settings->listen, 1 },
		{ "web", settings->web, 1 },
		{ "advertise", settings->advertise, 0 },
	};

	for (size_t i = 0; i < sizeof addresses / sizeof *addresses; i++)
		if (addresses[i].value ? !core_parse_addr(addresses[i].value) ||
					     !(core_parse_addr(addresses[i].value) & 65535)
				       : addresses[i].required)
			return settings_error(program, file, addresses[i].name,
					      "an address ip:port with a port of 1 to 65535");
	if (!settings->zone || !settings->zone[0] || strlen(settings->zone) > 60)
		return settings_error(program, file, "zone", "a name of 1 to 60 characters");
	if (!settings->seed_count)
		return settings_error(program, file, "seeds", "1 to 8 addresses ip:port of other processes");
	for (int i = 0; i < settings->seed_count; i++)
		if (!core_parse_addr(settings->seeds[i]))
			return settings_error(program, file, "seeds",
					      "1 to 8 addresses ip:port of other processes");
	if (has_storage && (!settings->data || !settings->data[0]))
		return settings_error(program, file, "data",
				      "the folder that this registrar keeps its files in");
	return -1;
}

/* Where metrics are told, and the mechanisms that are off: only an experiment may switch one off. */
static int settings_read_experiment(struct settings *settings, const char *program,
				    const struct arg_int *metrics, const struct arg_lit *experiments,
				    const struct arg_str *without)
{
	settings->experiments_allowed = experiments->count;
	settings->metrics_port = metrics->count ? metrics->ival[0] : 0;
	if (metrics->count && (settings->metrics_port < 1 || settings->metrics_port > 65535))
		return settings_error(program, "flags", "metrics", "a port of 1 to 65535");
	if (without->count && !experiments->count)
		return settings_error(program, "flags", "without", "only with --experiments");
	for (int i = 0; i < without->count; i++) {
		int mechanism = mechanism_find(without->sval[i]);

		if (mechanism < 0) {
			fprintf(stderr, "%s: flags: without: no mechanism is called %s; known:", program,
				without->sval[i]);
			for (int k = 0; k < MECHANISMS; k++)
				fprintf(stderr, " %s", mechanism_info[k].name);
			fprintf(stderr, "\n");
			return 2;
		}
		settings->disabled_mechanisms |= UINT32_C(1) << mechanism;
	}
	return -1;
}

/* NOLINTNEXTLINE(readability-function-size): a flat list of settings */
int settings_read(struct settings *settings, const char *program, int has_storage, int argc, char **argv,
		  apr_pool_t *p)
{
	struct arg_lit *help = arg_lit0("h", "help", "say how it is called"),
		       *version = arg_lit0(NULL, "version", "say the version");
	struct arg_lit *check = arg_lit0(NULL, "check", "check the settings and end; no socket opens");
	struct arg_lit *other = arg_lit0(
	    NULL, "platform",
	    "take all settings from where the platform keeps them; with --check, --metrics, --experiments and --without alone");
	struct arg_file *file = arg_file0("s", "settings", "FILE", "JSON settings; flags go first");
	struct arg_str *listen = arg_str0("l", "listen", "IP:PORT", "where colleagues reach this process");
	struct arg_str *advertise =
	    arg_str0(NULL, "advertise", "IP:PORT", "the address told to colleagues, if another");
	struct arg_str *web =
	    arg_str0("w", "web", "IP:PORT",
		     has_storage ? "where operators and the platform call" : "where callers call");
	struct arg_str *zone = arg_str0("z", "zone", "NAME", "the zone of this machine");
	struct arg_str *seed = arg_strn(NULL, "seed", "IP:PORT", 0, 8, "another process; give three");
	struct arg_str *data =
	    arg_str0("d", "data", "FOLDER", has_storage ? "the data folder" : "unused here");
	struct arg_int *metrics = arg_int0(NULL, "metrics", "PORT", "tell metrics there, as GET /metrics");
	struct arg_lit *experiments = arg_lit0(NULL, "experiments", "allow --without");
	struct arg_str *without =
	    arg_strn(NULL, "without", "NAME", 0, MECHANISMS, "an experiment: switch a mechanism off");
	struct arg_str *fault =
	    arg_str0(NULL, "fault", "FILE", "rehearsals only: a file with the ms that each sync is slower");
	struct arg_end *end = arg_end(10);
	void *arguments[] = { help, version, check, other,   file,        listen,  advertise, web,
			      zone, seed,    data,  metrics, experiments, without, fault,     end };
	int (*read_external)(struct settings *, const char *, int, apr_pool_t *) = settings->read_external;
	int rc = -1, bad;

	memset(settings, 0, sizeof *settings);
	if (arg_nullcheck(arguments))
		return 1;
	bad = arg_parse(argc, argv, arguments);
	if (help->count) {
		printf("Usage: %s", program);
		arg_print_syntax(stdout, arguments, "\n");
		arg_print_glossary(stdout, arguments, "  %-26s %s\n");
		rc = 0;
	} else if (version->count) {
		printf("%s (notchlug) %s\n", program, NL_VERSION);
		rc = 0;
	} else if (bad) {
		arg_print_errors(stderr, end, program);
		rc = 2;
	}
	if (rc < 0)
		rc = settings_read_experiment(settings, program, metrics, experiments, without);
	if (rc >= 0)
		goto end;
	if (other->count) {
		if (!read_external || listen->count + advertise->count + web->count + zone->count +
					  seed->count + data->count + fault->count + file->count) {
			rc = settings_error(
			    program, "flags", "platform",
			    read_external
				? "no other flag but --check, --metrics, --experiments and --without with it"
				: "not known by this program");
			goto end;
		}
		if ((rc = read_external(settings, program, has_storage, p)) >= 0) {
			fprintf(stderr, "%s: %s\n", program, settings->error_text);
			goto end;
		}
		settings->bounds.disabled_mechanisms = settings->disabled_mechanisms;
		settings->bounds.experiments = settings->experiments_allowed;
		settings->check_only = check->count;
		settings->read_external = read_external;
		goto check;
	}
	settings->bounds = bounds_default;
	settings->bounds.disabled_mechanisms = settings->disabled_mechanisms;
	settings->bounds.experiments = settings->experiments_allowed;
#define TAKE(a) ((a)->count ? apr_pstrdup(p, (a)->sval[0]) : NULL)
	settings->listen = TAKE(listen);
	settings->advertise = TAKE(advertise);
	settings->web = TAKE(web);
	settings->zone = TAKE(zone);
	settings->data = TAKE(data);
	settings->fault = TAKE(fault);
#undef TAKE
	for (int i = 0; i < seed->count && i < 8; i++)
		settings->seeds[settings->seed_count++] = apr_pstrdup(p, seed->sval[i]);
	settings->check_only = check->count;
	settings->file = file->count ? apr_pstrdup(p, file->filename[0]) : NULL;
	if (settings->file)
		rc = settings_read_file(settings, program, p);
check:
	if (rc < 0)
		rc = settings_check(settings, program, has_storage);
	if (rc < 0 && settings->check_only) {
		printf("%s: the settings are good\n", program);
		rc = 0;
	}
	if (rc < 0 && settings->read_external)
		install_signal_handlers(settings); /* the platform may signal at once */
end:
	arg_freetable(arguments, sizeof arguments / sizeof *arguments);
	return rc;
}

/* ---- the loop ---- */

/* Settings of another form may change at any time, with a signal or without. A file that is torn or bad
 * changes nothing, is said once, and is read again until it is good. */
struct watch {
	int64_t next_poll_at_ms;
	apr_time_t mtime;
	apr_ino_t inode;
	apr_off_t size;
	int retry_due;
	char last_error[500];
};

static int watch_file_changed(struct watch *watch, const char *file, apr_pool_t *p)
{
	apr_finfo_t info;
	int changed;

	memset(&info, 0, sizeof info);
	if (apr_stat(&info, file, APR_FINFO_MTIME | APR_FINFO_INODE | APR_FINFO_SIZE, p) != APR_SUCCESS &&
	    !info.valid)
		return watch->retry_due = 1; /* gone for a moment, or for good: the reading says so */
	changed = info.mtime != watch->mtime || info.inode != watch->inode || info.size != watch->size;
	watch->mtime = info.mtime;
	watch->inode = info.inode;
	watch->size = info.size;
	return changed;
}

static void poll_settings(struct process *p, struct watch *watch, const struct process_handlers *duty,
			  int64_t now)
{
	struct settings settings;
	apr_pool_t *scratch;
	int changed;

	if (!p->settings.read_external || (now < watch->next_poll_at_ms && !got_hangup))
		return;
	apr_pool_create(&scratch, p->pool);
	changed = watch_file_changed(watch, p->settings.file, scratch);
	if (!watch->next_poll_at_ms) /* the first look: they were read a moment ago */
		changed = 0;
	watch->next_poll_at_ms = now + PROCESS_SETTINGS_POLL_MS;
	if (got_hangup || changed || watch->retry_due) {
		memset(&settings, 0, sizeof settings);
		if (p->settings.read_external(&settings, "", p->storage != NULL, scratch) >= 0) {
			watch->retry_due = 1;
			if (strncmp(watch->last_error, settings.error_text, sizeof watch->last_error - 1))
				log_write(LOG_WARN, "proc", "Settings stay as they were. %s.",
					  settings.error_text);
			apr_cpystrn(watch->last_error, settings.error_text, sizeof watch->last_error);
		} else {
			watch->retry_due = 0;
			watch->last_error[0] = 0;
			log_write(LOG_INFO, "proc", "Settings are read anew%s.",
				  got_hangup ? ", as asked by SIGHUP" : "");
			settings.bounds.disabled_mechanisms = p->settings.disabled_mechanisms;
			settings.bounds.experiments = p->settings.experiments_allowed;
			p->settings.bounds = settings.bounds;
			p->settings.grace_ms = settings.grace_ms;
			if (duty->settings_changed)
				duty->settings_changed(duty->context, &settings);
		}
		got_hangup = 0;
	}
	apr_pool_destroy(scratch);
}

static void log_experiment(const struct settings *settings)
{
	for (int mechanism = 0; mechanism < MECHANISMS; mechanism++)
		if (!mechanism_on(settings->disabled_mechanisms, (enum mechanism)mechanism))
			log_write(LOG_WARN, "experiment", "Without %s: %s.", mechanism_info[mechanism].name,
				  mechanism_info[mechanism].description);
}

int process_open(struct process *p)
{
	log_experiment(&p->settings);
	install_signal_handlers(&p->settings);
	if (!p->events)
		ring_open(&p->events, PROCESS_RING_CAPACITY, p->pool);
	p->address = core_parse_addr(p->settings.advertise ? p->settings.advertise : p->settings.listen);
	apr_pool_create(&p->commands.pool, NULL);
	if (p->front_end) {
		p->transport = transport_open(p->settings.listen, p->events, p->pool);
		if (!p->transport || !p->front_end->open(p->front_end_context, p))
			return 0;
		ring_on_push(p->events, p->front_end->wake, p->front_end_context);
		return 1;
	}
	return (p->transport = transport_open(p->settings.listen, p->events, p->pool)) &&
	       (p->api_server = api_server_open(p->settings.web, p->events, p->pool)) &&
	       (p->server_calls = server_calls_open(p->events, p->pool));
}

void process_perform(struct process *p)
{
	for (ptrdiff_t i = 0; i < arrlen(p->commands.commands); i++) {
		struct command *command = &p->commands.commands[i];

		if (p->front_end && p->front_end->perform(p->front_end_context, command))
			continue;
		switch (command->kind) {
		case CMD_SEND:
			transport_send(p->transport, command->args.send.addr, command->args.send.msg);
			break;
		case CMD_PERSIST:
			storage_write(p->storage, command->args.persist);
			break;
		case CMD_ANSWER:
			api_server_respond(p->api_server, command->args.answer.token,
					   command->args.answer.status, command->args.answer.retry_ms,
					   command->args.answer.body, command->args.answer.not_after_ms);
			break;
		case CMD_STREAM_CHUNK:
			api_server_stream(p->api_server, command->args.stream_chunk.token,
					  command->args.stream_chunk.body, command->args.stream_chunk.len, 0,
					  1);
			break;
		case CMD_END_STREAM:
			api_server_stream(p->api_server, command->args.stream_chunk.token,
					  command->args.stream_chunk.body, command->args.stream_chunk.len, 1,
					  command->args.stream_chunk.success);
			break;
		case CMD_CALL:
			server_calls_start(p->server_calls, command->args.call.token, command->args.call.addr,
					   command->args.call.path, command->args.call.body,
					   command->args.call.limit_ms, command->args.call.stream,
					   command->args.call.not_after_ms);
			break;
		case CMD_CANCEL:
			server_calls_cancel(p->server_calls, command->args.cancel.token);
			break;
		case CMD_FORWARD:
		case CMD_LIST_SERVERS:
		case CMD_POLL_REPORT:
		case CMD_LOAD_WEIGHTS:
		case CMD_WATCH_CACHE:
			break; /* only doors of other languages have them */
		}
	}
	command_list_clear(&p->commands);
}

/* NOLINTNEXTLINE(readability-function-size): to be cut, issue 18 */
int process_run(struct process *p, const struct process_handlers *duty)
{
	int64_t tick = 0, scan = 0, now;
	struct watch watch = { 0 };
	struct shell_event *event;
	int full = 0;

	for (;;) {
		now = clock_ms();
		poll_settings(p, &watch, duty, now);
		if (got_signal && !p->stopping) {
			struct shell_event stop = { .kind = SHELL_EVENT_STOP };

			log_write(LOG_INFO, "proc", "Stops: what is under way is ended first.");
			p->stopping = 1;
			p->stop_deadline_ms = stop.deadline_ms =
			    now + (p->settings.grace_ms ? p->settings.grace_ms : PROCESS_DRAIN_MS);
			if (p->front_end)
				p->front_end->stop(p->front_end_context, now);
			else
				duty->step(duty->context, &stop, now, &p->commands);
			process_perform(p);
		}
		if (p->stopping && ((duty->is_idle(duty->context) &&
				     (!p->front_end || p->front_end->is_idle(p->front_end_context, now))) ||
				    now >= p->stop_deadline_ms))
			break;
		if (now - tick >= PROCESS_TICK_MS) {
			tick = now;
			duty->step(duty->context, NULL, now, &p->commands);
			process_perform(p);
			if (duty->streams_valid_until && !p->front_end)
				api_server_valid_until(p->api_server,
						       duty->streams_valid_until(duty->context));
		}
		if (!p->front_end && now - scan >= PROCESS_SCAN_MS) {
			scan = now;
			api_server_scan(p->api_server);
		}
		if (p->front_end) /* what stands in the ring already wakes nobody */
			p->front_end->wait(p->front_end_context,
					   (int)(!full && tick + PROCESS_TICK_MS - now > 0
						     ? tick + PROCESS_TICK_MS - now
						     : 0));
		event = ring_pop(p->events, p->front_end ? 0
							 : (int)(tick + PROCESS_TICK_MS - now > 0
								     ? tick + PROCESS_TICK_MS - now
								     : 0));
		for (int i = 0; event && i < PROCESS_EVENT_BATCH; i++) {
			duty->step(duty->context, event, clock_ms(), &p->commands);
			process_perform(p);
			shell_event_free(event);
			event = ring_pop(p->events, 0);
		}
		full = event != NULL;
		if (event) { /* the batch is full: this one still counts */
			duty->step(duty->context, event, clock_ms(), &p->commands);
			process_perform(p);
			shell_event_free(event);
		}
	}
	now = clock_ms();
	if (!p->front_end) /* answers that were just given leave */
		apr_sleep(PROCESS_FLUSH_MS * 1000);
	else
		for (int64_t end = now + PROCESS_FLUSH_MS; now < end; now = clock_ms())
			p->front_end->wait(p->front_end_context, (int)(end - now));
	/* the core takes nothing more: keep the line to it empty so that no thread waits at it */
	if (p->front_end) {
		ring_on_push(p->events, NULL, NULL);
		p->front_end->close(p->front_end_context);
	} else {
		api_server_close(p->api_server);
	}
	while ((event = ring_pop(p->events, 0)))
		shell_event_free(event);
	if (!p->front_end)
		server_calls_close(p->server_calls);
	transport_close(p->transport);
	if (p->storage)
		storage_close(p->storage);
	while ((event = ring_pop(p->events, 0)))
		shell_event_free(event);
	arrfree(p->commands.commands);
	apr_pool_destroy(p->commands.pool);
	log_write(LOG_INFO, "proc", "Ended.");
	return 0;
}
