/* notchlugctl: the operators' command line. It edits the configuration table and API keys, drains servers,
 * sets target versions, requests purges, and prints the state of the fleet.
 *
 * It sends requests to the product's own HTTP interface (/v1/...). Any controller can serve them; when one
 * controller fails or its answer leaves the outcome open, the request is sent to the next controller. usage()
 * lists the exit codes.
 *
 * This file parses the command line. notchlugctl_client.c sends the requests, notchlugctl_table.c reads and
 * changes the table, and notchlugctl_status.c prints states and starts purges, bootstrap and recovery. */
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

/* ---- names of row kinds ---- */

/* Kinds of rows that the command line names differently from the table, its text form and the interface. */
static const struct {
	const char *standard_name; /* on the command line */
	const char *stored_name;   /* in the table, its text form and the interface */
} renamed_kinds[] = { { "route", "lane" }, { "controller", "registrar" }, { "listener", "door" } };

/* Returns the name that the table uses for a kind of row. The stored names are also accepted as old names;
 * the first use in a run prints a warning to standard error. */
static const char *stored_kind_name(const char *kind_name)
{
	static int has_warned;

	for (size_t i = 0; i < sizeof renamed_kinds / sizeof *renamed_kinds; i++) {
		if (!strcmp(kind_name, renamed_kinds[i].standard_name))
			return renamed_kinds[i].stored_name;
		if (!strcmp(kind_name, renamed_kinds[i].stored_name) && !has_warned) {
			fprintf(stderr, "notchlugctl: %s is the old name of %s and is still accepted\n",
				kind_name, renamed_kinds[i].standard_name);
			has_warned = 1;
		}
	}
	return kind_name;
}

/* Prints the help text. Returns OK for the standard output, where help was requested, and USAGE for the
 * standard error, where the command line was wrong. */
static int usage(FILE *file)
{
	fprintf(
	    file,
	    "Usage: notchlugctl [--at IP:PORT[,IP:PORT...]] [--key KEY] COMMAND\n"
	    "The addresses are HTTP addresses of controllers.\n\n"
	    "  found                          bootstrap a new fleet from its three seed controllers; works once\n"
	    "  recover [ID ...]               recover Raft groups whose majority is permanently lost, from the replicas of one\n"
	    "                                 controller; ID: the lost controllers; without ID: print the members\n"
	    "  show [KIND]                    print the configuration table as tab-separated text\n"
	    "  set KIND NAME COLUMN=VALUE...  change columns of one row, or add the row\n"
	    "  del KIND NAME                  delete a row\n"
	    "  compare FILE                   print how the table would change to match FILE; - reads standard input\n"
	    "  apply FILE                     change the table to match FILE, unless it was changed after FILE was printed\n"
	    "  key add TENANT KEY             accept an API key of a tenant; only the digest of the key is stored\n"
	    "  key remove KEY                 revoke an API key\n"
	    "  drain SERVER | serve SERVER    stop sending requests to a server, or resume\n"
	    "  weights SERVICE NAME           set the target version of a service, which starts a rollout\n"
	    "  clear all | ROUTE/TENANT       purge cached context now; * selects all routes or all tenants\n"
	    "  retention [--report]           print scheduled, running and completed purges, and who has not confirmed them;\n"
	    "                                 with the option, print the retention report as CSV\n"
	    "  state                          print shard leaders, table editions, purge horizons and servers\n"
	    "  metrics                        print the metrics of the router whose metrics address --at names, in the\n"
	    "                                 Prometheus text format\n"
	    "  --help, --version\n\n"
	    "KIND: route, tenant, share, key, server, service, model, controller, listener, retention.\n"
	    "The text of the table writes lane, registrar and door; they are accepted as old names of route, controller and\n"
	    "listener.\n\n"
	    "Each change carries an idempotency key. While its outcome is unknown, it is retried with the same key at each\n"
	    "address in turn for up to 20 s. To repeat a change whose outcome stayed unknown in an earlier run, pass that\n"
	    "run's key with --key KEY: a change is made at most once per key, however often it is sent.\n\n"
	    "Exit codes: 0 done, 1 rejected, 2 wrong usage, 3 outcome unknown or no controller reachable, 4 conflict: the\n"
	    "table was changed in the meantime.\n");
	return file == stdout ? OK : USAGE;
}

/* ---- the command line ---- */

/* Each run_* function receives the arguments after the command word; their count is within the limits in
 * commands[]. */

static int run_bootstrap(int count, char **args)
{
	(void)count;
	(void)args;
	return bootstrap_on_call();
}

static int run_purge(int count, char **args)
{
	(void)count;
	return purge_scope(args[0]);
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
	const char *kind = count ? stored_kind_name(args[0]) : NULL;

	if (kind && config_kind_parse(kind) == NL__KIND__NONE) {
		fprintf(
		    stderr,
		    "notchlugctl: kind %s: no such kind; there are route, tenant, share, key, server, service, model, "
		    "controller, listener, retention\n",
		    args[0]);
		return USAGE;
	}
	return print_table(kind);
}

static int run_set(int count, char **args)
{
	return set_cells(stored_kind_name(args[0]), args[1], count - 2, args + 2);
}

static int run_del(int count, char **args)
{
	(void)count;
	return send_change(change_new("del", row_new(stored_kind_name(args[0]), args[1]), NULL));
}

static int run_compare(int count, char **args)
{
	(void)count;
	return compare_table_file(args[0], 0);
}

static int run_apply(int count, char **args)
{
	(void)count;
	return compare_table_file(args[0], 1);
}

static int run_key(int count, char **args)
{
	char hex[65];
	struct json_object *row;

	if (count == 3 && !strcmp(args[0], "add")) {
		row = row_new("key", key_digest_hex(args[2], hex));
		json_object_object_add(row, "tenant", json_object_new_string(args[1]));
		return send_change(change_new("set", row, NULL));
	}
	if (count == 2 && !strcmp(args[0], "remove"))
		return send_change(change_new("del", row_new("key", key_digest_hex(args[1], hex)), NULL));
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
	int min_args;                       /* fewest arguments after the command word */
	int max_args;                       /* most arguments after the command word */
	int (*run)(int count, char **args); /* returns the exit code */
} commands[] = {
	{ "found", 0, 0, run_bootstrap }, { "recover", 0, INT_MAX, recovery_on_call },
	{ "clear", 1, 1, run_purge },     { "retention", 0, 1, run_retention },
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

/* Handles the arguments after --at and --key. Returns the exit code. */
static int run_arguments(int count, char **args)
{
	if (count == 1 && (!strcmp(args[0], "--help") || !strcmp(args[0], "-h")))
		return usage(stdout);
	if (count == 1 && !strcmp(args[0], "--version"))
		return printf("notchlugctl (notchlug) %s\n", NL_VERSION) < 0;
	if (!parse_controller_list(controller_addr)) {
		fprintf(stderr,
			"notchlugctl: --at: expected one to eight addresses IP:PORT, separated by commas\n");
		return USAGE;
	}
	if (idempotency_key && !idempotency_key_is_valid(idempotency_key)) {
		fprintf(stderr, "notchlugctl: --key: expected 1 to 128 visible ASCII characters\n");
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
	rc = run_arguments(argc - 1, argv + 1);
	apr_pool_destroy(pool);
	apr_terminate();
	return rc;
}
