/* notchlugctl: the operators' command line: the table, keys, drains, target weights, purges, state. It speaks
 * the product's own interface (/v1/...) with any controller, and goes on with the next one where one gives no
 * clear answer. Exit codes: see usage(). notchlugctl.c          nouns, commands, options notchlugctl_client.c
 * calls to controllers notchlugctl_table.c    the table notchlugctl_status.c   state, metrics, purges,
 * bootstrap and recovery */
#include <apr_general.h>
#include <apr_strings.h>
#include <curl/curl.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli_support.h"
#include "config_row.h"
#include "idempotency.h"
#include "notchlugctl_client.h"
#include "notchlugctl_status.h"
#include "notchlugctl_table.h"

/* ---- nouns ---- */

/* Kinds of row whose standard noun is not the name that the table, its text form and the interface have. */
static const struct {
	const char *noun;
	const char *stored;
} nouns[] = { { "route", "lane" }, { "controller", "registrar" }, { "listener", "door" } };

/* The kind as the table has it. An old noun works as well, and is said to be old, once. */
static const char *stored_kind(const char *noun)
{
	static int warned;

	for (size_t i = 0; i < sizeof nouns / sizeof *nouns; i++) {
		if (!strcmp(noun, nouns[i].noun))
			return nouns[i].stored;
		if (!strcmp(noun, nouns[i].stored) && !warned) {
			fprintf(stderr, "notchlugctl: %s is the old name of %s; it still works\n", noun,
				nouns[i].noun);
			warned = 1;
		}
	}
	return noun;
}

/* Print how the program is called; the exit code of that. */
static int usage(FILE *file)
{
	fprintf(
	    file,
	    "Usage: notchlugctl [--at IP:PORT[,IP:PORT...]] [--key KEY] COMMAND      controllers' web addresses\n\n"
	    "  found                          bootstrap a fleet from the three seeds, once\n"
	    "  recover [ID ...]               at one controller: go on with its copy of the groups whose majority is lost\n"
	    "                                 for good with these controllers; without ID: say who the members are\n"
	    "  show [KIND]                    the table as a sheet (tab-separated)\n"
	    "  set KIND NAME COLUMN=VALUE...  change cells of one row, or add the row\n"
	    "  del KIND NAME                  take a row out\n"
	    "  compare FILE                   what a sheet would change; - is standard input\n"
	    "  apply FILE                     make the table like the sheet, if nobody changed it since\n"
	    "  key add TENANT KEY             let a key in; only its digest is kept\n"
	    "  key remove KEY                 put a key out\n"
	    "  drain SERVER | serve SERVER    take a server out of the routes, and back\n"
	    "  weights SERVICE NAME           set target weights: a rollout\n"
	    "  clear all | ROUTE/TENANT       purge cached context now; * stands for all routes or tenants\n"
	    "  retention [--report]           purges that are due, run, are done, and what is missing; the report as CSV\n"
	    "  state                          who leads what, revisions, horizons, servers\n"
	    "  metrics                        what a router counts, in the Prometheus text format; --at: its metrics address\n"
	    "  --help, --version\n\n"
	    "KIND: route, tenant, share, key, server, service, model, controller, listener, retention.\n"
	    "lane, registrar and door, as the sheet has them, are old names of route, controller and listener.\n\n"
	    "Each change carries a key of its own, and is sent again with it, to the addresses in turn, until it has a clear\n"
	    "answer, for 20 s. --key KEY: one that an earlier run gave up is done once, however often it is sent.\n\n"
	    "Ends with 0 done, 1 refused, 2 wrong call, 3 no clear answer, 4 overtaken: the table has changed.\n");
	return file == stdout ? OK : USAGE;
}

/* ---- the command line ---- */

/* Commands get the arguments behind their name, as many as the table allows. */

static int run_found(int count, char **args)
{
	(void)count;
	(void)args;
	return bootstrap();
}

static int run_clear(int count, char **args)
{
	(void)count;
	return purge(args[0]);
}

static int run_retention(int count, char **args)
{
	if (count && strcmp(args[0], "--report"))
		return usage(stderr);
	return show_retention(count);
}

static int run_state(int count, char **args)
{
	(void)count;
	(void)args;
	return print_state();
}

static int run_metrics(int count, char **args)
{
	(void)count;
	(void)args;
	return print_metrics();
}

static int run_show(int count, char **args)
{
	const char *kind = count ? stored_kind(args[0]) : NULL;

	if (kind && config_kind_parse(kind) == NL__KIND__NONE) {
		fprintf(
		    stderr,
		    "notchlugctl: %s: no such kind; there are route, tenant, share, key, server, service, model, "
		    "controller, listener, retention\n",
		    args[0]);
		return USAGE;
	}
	return print_table(kind);
}

static int run_set(int count, char **args)
{
	return set_cells(stored_kind(args[0]), args[1], count - 2, args + 2);
}

static int run_del(int count, char **args)
{
	(void)count;
	return send_change(change_of("del", row_new(stored_kind(args[0]), args[1]), NULL));
}

static int run_compare(int count, char **args)
{
	(void)count;
	return compare_sheet(args[0], 0);
}

static int run_apply(int count, char **args)
{
	(void)count;
	return compare_sheet(args[0], 1);
}

static int run_key(int count, char **args)
{
	char hex[65];
	struct json_object *row;

	if (count == 3 && !strcmp(args[0], "add")) {
		row = row_new("key", digest_hex(args[2], hex));
		json_object_object_add(row, "tenant", json_object_new_string(args[1]));
		return send_change(change_of("set", row, NULL));
	}
	if (count == 2 && !strcmp(args[0], "remove"))
		return send_change(change_of("del", row_new("key", digest_hex(args[1], hex)), NULL));
	return usage(stderr);
}

static int run_drain(int count, char **args)
{
	char cell[] = "state=draining", *cells[] = { cell };

	(void)count;
	return set_cells("server", args[0], 1, cells);
}

static int run_serve(int count, char **args)
{
	char cell[] = "state=serving", *cells[] = { cell };

	(void)count;
	return set_cells("server", args[0], 1, cells);
}

static int run_weights(int count, char **args)
{
	char *cells[] = { apr_pstrcat(pool, "weights=", args[1], NULL) };

	(void)count;
	return set_cells("service", args[0], 1, cells);
}

static const struct cli_command {
	const char *name;
	int min_args; /* arguments behind the name */
	int max_args;
	int (*run)(int count, char **args); /* returns the exit code */
} commands[] = {
	{ "found", 0, 0, run_found },     { "recover", 0, INT_MAX, recover },
	{ "clear", 1, 1, run_clear },     { "retention", 0, 1, run_retention },
	{ "state", 0, 0, run_state },     { "metrics", 0, 0, run_metrics },
	{ "show", 0, 1, run_show },       { "set", 3, INT_MAX, run_set },
	{ "del", 2, 2, run_del },         { "compare", 1, 1, run_compare },
	{ "apply", 1, 1, run_apply },     { "key", 2, 3, run_key },
	{ "drain", 1, 1, run_drain },     { "serve", 1, 1, run_serve },
	{ "weights", 2, 2, run_weights },
};

static int run_command(int count, char **args)
{
	for (size_t i = 0; count && i < sizeof commands / sizeof *commands; i++)
		if (!strcmp(args[0], commands[i].name) && count > commands[i].min_args &&
		    count - 1 <= commands[i].max_args)
			return commands[i].run(count - 1, args + 1);
	return usage(stderr);
}

/* Everything behind the options. */
static int run(int count, char **args)
{
	if (count == 1 && (!strcmp(args[0], "--help") || !strcmp(args[0], "-h")))
		return usage(stdout);
	if (count == 1 && !strcmp(args[0], "--version"))
		return printf("notchlugctl (notchlug) %s\n", NL_VERSION) < 0;
	if (!parse_controllers(controller_addr)) {
		fprintf(stderr, "notchlugctl: --at: up to eight addresses ip:port, with commas between\n");
		return USAGE;
	}
	if (idempotency_key && !idempotency_key_is_valid(idempotency_key)) {
		fprintf(stderr, "notchlugctl: --key: 1 to 128 visible ASCII characters\n");
		return USAGE;
	}
	return run_command(count, args);
}

int main(int argc, char **argv)
{
	int rc;

	apr_initialize();
	apr_pool_create(&pool, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	while (argc > 2 && (!strcmp(argv[1], "--at") || !strcmp(argv[1], "--key"))) {
		if (!strcmp(argv[1], "--at"))
			controller_addr = argv[2];
		else
			idempotency_key = argv[2];
		argc -= 2;
		argv += 2;
	}
	rc = run(argc - 1, argv + 1);
	apr_pool_destroy(pool);
	apr_terminate();
	return rc;
}
