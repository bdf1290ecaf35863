/* settings: reads and checks the flags and the settings file; see settings.h. */
#include "settings.h"

#include <apr_strings.h>
#include <argtable2.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "mechanism.h"
#include "process_internal.h"

#ifndef NL_VERSION
#define NL_VERSION "0.1.0"
#endif

enum {
	SETTINGS_CONTINUE = -1, /* result of functions that otherwise return an exit code: continue */
	EXIT_BAD_USAGE = 2,
	MAX_PORT = 65535,
	MAX_ZONE_LENGTH = 60,
	MAX_FLAG_ERRORS = 10,
	FLAG_COUNT = 16
};

#define ADDRESS_EXPECTED "an address ip:port with a port of 1 to 65535"
#define SEEDS_EXPECTED "1 to 8 addresses ip:port of other processes"

/* The flags of a program, parsed by argtable. arg_freetable frees them. */
struct flags {
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_lit *check;
	struct arg_lit *platform;
	struct arg_file *file;
	struct arg_str *listen;
	struct arg_str *advertise;
	struct arg_str *web;
	struct arg_str *zone;
	struct arg_str *seed;
	struct arg_str *data;
	struct arg_int *metrics;
	struct arg_lit *experiments;
	struct arg_str *without;
	struct arg_str *fault;
	struct arg_end *end;
	void *table[FLAG_COUNT]; /* all flags, in the order of --help */
};

/* Prints one line: source, key and the expected value. Returns the exit code. */
static int print_settings_error(const char *program, const char *source, const char *key,
				const char *expected)
{
	fprintf(stderr, "%s: %s: %s: %s\n", program, source, key, expected);
	return EXIT_BAD_USAGE;
}

/* ---- the settings file ---- */

static int read_seeds(struct settings *settings, const char *program, struct json_object *value,
		      apr_pool_t *pool)
{
	if (!json_object_is_type(value, json_type_array) ||
	    json_object_array_length(value) > SETTINGS_MAX_SEEDS)
		return print_settings_error(program, settings->settings_path, "seeds",
					    "a list of 1 to 8 addresses ip:port");
	if (settings->seed_count)
		return SETTINGS_CONTINUE; /* flags take precedence */
	for (size_t i = 0; i < json_object_array_length(value); i++)
		settings->seeds[settings->seed_count++] =
		    apr_pstrdup(pool, json_object_get_string(json_object_array_get_idx(value, i)));
	return SETTINGS_CONTINUE;
}

static int read_file_key(struct settings *settings, const char *program, const char *key,
			 struct json_object *value, apr_pool_t *pool)
{
	const struct {
		const char *name;
		const char **target;
	} texts[] = {
		{ "listen", &settings->listen_addr }, { "advertise", &settings->advertised_addr },
		{ "web", &settings->http_addr },      { "zone", &settings->zone },
		{ "data", &settings->data_folder },   { "fault", &settings->sync_delay_file },
	};

	for (size_t i = 0; i < sizeof texts / sizeof *texts; i++) {
		if (strcmp(key, texts[i].name) != 0)
			continue;
		if (!json_object_is_type(value, json_type_string))
			return print_settings_error(program, settings->settings_path, key, "a string");
		if (!*texts[i].target)
			*texts[i].target = apr_pstrdup(pool, json_object_get_string(value));
		return SETTINGS_CONTINUE;
	}
	if (strcmp(key, "seeds") == 0)
		return read_seeds(settings, program, value, pool);
	return print_settings_error(
	    program, settings->settings_path, key,
	    "unknown key; valid keys: listen, advertise, web, zone, seeds, data, fault");
}

static int read_file(struct settings *settings, const char *program, apr_pool_t *pool)
{
	struct json_object *json = json_object_from_file(settings->settings_path);
	int exit_code = SETTINGS_CONTINUE;

	if (!json_object_is_type(json, json_type_object)) {
		exit_code = print_settings_error(program, settings->settings_path, "file",
						 "not readable as a JSON object");
		goto out;
	}
	json_object_object_foreach(json, key, value)
	{
		exit_code = read_file_key(settings, program, key, value, pool);
		if (exit_code != SETTINGS_CONTINUE)
			goto out;
	}
out:
	if (json)
		json_object_put(json);
	return exit_code;
}

/* ---- flags ---- */

static bool flags_open(struct flags *flags, bool has_storage)
{
	flags->help = arg_lit0("h", "help", "print this text");
	flags->version = arg_lit0(NULL, "version", "print the version");
	flags->check = arg_lit0(NULL, "check", "check the settings and exit without opening a socket");
	flags->platform = arg_lit0(
	    NULL, "platform",
	    "read all settings from the platform; may be combined only with --check, --metrics, --experiments and --without");
	flags->file = arg_file0("s", "settings", "FILE", "JSON file with settings; flags take precedence");
	flags->listen = arg_str0("l", "listen", "IP:PORT", "address for other processes of the fleet");
	flags->advertise =
	    arg_str0(NULL, "advertise", "IP:PORT",
		     "address that is advertised to other processes; default: the listening address");
	flags->web = arg_str0("w", "web", "IP:PORT",
			      has_storage ? "address for operators and the platform" : "address for clients");
	flags->zone = arg_str0("z", "zone", "NAME", "zone of this machine");
	flags->seed = arg_strn(NULL, "seed", "IP:PORT", 0, SETTINGS_MAX_SEEDS,
			       "address of another process; three are recommended");
	flags->data = arg_str0("d", "data", "FOLDER", has_storage ? "data folder" : "unused by this program");
	flags->metrics = arg_int0(NULL, "metrics", "PORT", "port on which GET /metrics is served");
	flags->experiments = arg_lit0(NULL, "experiments", "allow --without");
	flags->without = arg_strn(NULL, "without", "NAME", 0, MECHANISMS, "experiment: disable a mechanism");
	flags->fault = arg_str0(NULL, "fault", "FILE",
				"tests only: file with the milliseconds by which each sync is delayed");
	flags->end = arg_end(MAX_FLAG_ERRORS);
	memcpy(flags->table,
	       (void *[FLAG_COUNT]){ flags->help, flags->version, flags->check, flags->platform, flags->file,
				     flags->listen, flags->advertise, flags->web, flags->zone, flags->seed,
				     flags->data, flags->metrics, flags->experiments, flags->without,
				     flags->fault, flags->end },
	       sizeof flags->table);
	return arg_nullcheck(flags->table) == 0;
}

/* Parses the command line, and handles --help and --version. */
static int flags_parse(struct flags *flags, const char *program, int argc, char **argv)
{
	int errors = arg_parse(argc, argv, flags->table);

	if (flags->help->count) {
		printf("Usage: %s", program);
		arg_print_syntax(stdout, flags->table, "\n");
		arg_print_glossary(stdout, flags->table, "  %-26s %s\n");
		return 0;
	}
	if (flags->version->count) {
		printf("%s (notchlug) %s\n", program, NL_VERSION);
		return 0;
	}
	if (errors) {
		arg_print_errors(stderr, flags->end, program);
		return EXIT_BAD_USAGE;
	}
	return SETTINGS_CONTINUE;
}

static int print_unknown_mechanism(const char *program, const char *name)
{
	fprintf(stderr, "%s: flags: without: unknown mechanism %s; valid names:", program, name);
	for (int i = 0; i < MECHANISMS; i++)
		fprintf(stderr, " %s", mechanism_info[i].name);
	fprintf(stderr, "\n");
	return EXIT_BAD_USAGE;
}

/* Reads the port for metrics and the disabled mechanisms; only an experiment may disable one. */
static int read_experiment_flags(struct settings *settings, const char *program, const struct flags *flags)
{
	settings->are_experiments_allowed = flags->experiments->count;
	settings->metrics_port = flags->metrics->count ? flags->metrics->ival[0] : 0;
	if (flags->metrics->count && (settings->metrics_port < 1 || settings->metrics_port > MAX_PORT))
		return print_settings_error(program, "flags", "metrics", "a port of 1 to 65535");
	if (flags->without->count && !flags->experiments->count)
		return print_settings_error(program, "flags", "without", "allowed only with --experiments");
	for (int i = 0; i < flags->without->count; i++) {
		int mechanism = mechanism_find(flags->without->sval[i]);

		if (mechanism < 0)
			return print_unknown_mechanism(program, flags->without->sval[i]);
		settings->disabled_mechanisms |= UINT32_C(1) << mechanism;
	}
	return SETTINGS_CONTINUE;
}

/* Reads the platform's settings, which can be combined with only a few flags. */
static int read_external_settings(struct settings *settings, const char *program, bool has_storage,
				  const struct flags *flags,
				  int (*read_external)(struct settings *, const char *, int, apr_pool_t *),
				  apr_pool_t *pool)
{
	int disallowed_count = flags->listen->count + flags->advertise->count + flags->web->count +
			       flags->zone->count + flags->seed->count + flags->data->count +
			       flags->fault->count + flags->file->count;
	int exit_code;

	if (!read_external)
		return print_settings_error(program, "flags", "platform", "not supported by this program");
	if (disallowed_count)
		return print_settings_error(
		    program, "flags", "platform",
		    "may be combined only with --check, --metrics, --experiments and --without");
	exit_code = read_external(settings, program, has_storage, pool);
	if (exit_code >= 0) {
		fprintf(stderr, "%s: %s\n", program, settings->error_text);
		return exit_code;
	}
	settings->read_external = read_external;
	return SETTINGS_CONTINUE;
}

static const char *flag_text(const struct arg_str *flag, apr_pool_t *pool)
{
	return flag->count ? apr_pstrdup(pool, flag->sval[0]) : NULL;
}

/* Reads the product's own settings: the flags, then the file for settings that no flag has set. */
static int read_own_settings(struct settings *settings, const char *program, const struct flags *flags,
			     apr_pool_t *pool)
{
	settings->bounds = bounds_default;
	settings->listen_addr = flag_text(flags->listen, pool);
	settings->advertised_addr = flag_text(flags->advertise, pool);
	settings->http_addr = flag_text(flags->web, pool);
	settings->zone = flag_text(flags->zone, pool);
	settings->data_folder = flag_text(flags->data, pool);
	settings->sync_delay_file = flag_text(flags->fault, pool);
	for (int i = 0; i < flags->seed->count && i < SETTINGS_MAX_SEEDS; i++)
		settings->seeds[settings->seed_count++] = apr_pstrdup(pool, flags->seed->sval[i]);
	settings->settings_path = flags->file->count ? apr_pstrdup(pool, flags->file->filename[0]) : NULL;
	return settings->settings_path ? read_file(settings, program, pool) : SETTINGS_CONTINUE;
}

/* ---- checks ---- */

static bool is_address(const char *text)
{
	return core_parse_addr(text) && (core_parse_addr(text) & MAX_PORT);
}

static int check_addresses(const struct settings *settings, const char *program, const char *source)
{
	const struct {
		const char *name;
		const char *value;
		bool required;
	} addresses[] = {
		{ "listen", settings->listen_addr, true },
		{ "web", settings->http_addr, true },
		{ "advertise", settings->advertised_addr, false },
	};

	for (size_t i = 0; i < sizeof addresses / sizeof *addresses; i++) {
		const char *value = addresses[i].value;

		if (value ? !is_address(value) : addresses[i].required)
			return print_settings_error(program, source, addresses[i].name, ADDRESS_EXPECTED);
	}
	return SETTINGS_CONTINUE;
}

static int check_settings(const struct settings *settings, const char *program, bool has_storage)
{
	const char *source = settings->settings_path ? settings->settings_path : "flags";
	int exit_code = check_addresses(settings, program, source);

	if (exit_code != SETTINGS_CONTINUE)
		return exit_code;
	if (!settings->zone || !settings->zone[0] || strlen(settings->zone) > MAX_ZONE_LENGTH)
		return print_settings_error(program, source, "zone", "a name of 1 to 60 characters");
	if (!settings->seed_count)
		return print_settings_error(program, source, "seeds", SEEDS_EXPECTED);
	for (int i = 0; i < settings->seed_count; i++)
		if (!core_parse_addr(settings->seeds[i]))
			return print_settings_error(program, source, "seeds", SEEDS_EXPECTED);
	if (has_storage && (!settings->data_folder || !settings->data_folder[0]))
		return print_settings_error(program, source, "data", "the data folder of this controller");
	return SETTINGS_CONTINUE;
}

/* ---- reading and checking ---- */

static int read_and_check(struct settings *settings, const char *program, bool has_storage,
			  const struct flags *flags,
			  int (*read_external)(struct settings *, const char *, int, apr_pool_t *),
			  apr_pool_t *pool)
{
	int exit_code = read_experiment_flags(settings, program, flags);

	if (exit_code != SETTINGS_CONTINUE)
		return exit_code;
	if (flags->platform->count)
		exit_code =
		    read_external_settings(settings, program, has_storage, flags, read_external, pool);
	else
		exit_code = read_own_settings(settings, program, flags, pool);
	if (exit_code != SETTINGS_CONTINUE)
		return exit_code;
	settings->bounds.disabled_mechanisms = settings->disabled_mechanisms;
	settings->bounds.is_experiment = settings->are_experiments_allowed;
	settings->is_check_only = flags->check->count;
	exit_code = check_settings(settings, program, has_storage);
	if (exit_code == SETTINGS_CONTINUE && settings->is_check_only) {
		printf("%s: the settings are valid\n", program);
		return 0;
	}
	return exit_code;
}

int settings_read(struct settings *settings, const char *program, int has_storage, int argc, char **argv,
		  apr_pool_t *pool)
{
	int (*read_external)(struct settings *, const char *, int, apr_pool_t *) = settings->read_external;
	struct flags flags;
	int exit_code;

	memset(settings, 0, sizeof *settings);
	if (!flags_open(&flags, has_storage))
		return 1;
	exit_code = flags_parse(&flags, program, argc, argv);
	if (exit_code == SETTINGS_CONTINUE)
		exit_code = read_and_check(settings, program, has_storage, &flags, read_external, pool);
	arg_freetable(flags.table, FLAG_COUNT);
	if (exit_code == SETTINGS_CONTINUE && settings->read_external)
		process_install_signal_handlers(settings); /* the platform may send SIGHUP from now on */
	return exit_code;
}
