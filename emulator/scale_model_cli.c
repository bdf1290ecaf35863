/* Command line of the scale model: notchlug-emulator hollow ... */
#include <argtable2.h>
#include <stdlib.h>

#include "scale_model.h"

static int parse_number(const struct arg_str *arg_str, int64_t most, int64_t *value)
{
	char *stop;
	long long n;

	if (!arg_str->count)
		return 1;
	n = strtoll(arg_str->sval[0], &stop, 10);
	if (*stop || stop == arg_str->sval[0] || n < 0 || n > most) {
		fprintf(stderr, "notchlug-emulator: hollow: --%s: a whole number\n", arg_str->hdr.longopts);
		return 0;
	}
	*value = n;
	return 1;
}

int scale_model_main(int argc, char **argv)
{
	struct scale_model_settings settings = scale_model_defaults;
	const struct {
		const char *name, *what;
		int *as_int;
		int64_t *as_int64;
	} in[] = {
		{ "nodes", "counters", &settings.routers, NULL },
		{ "registrars", "registrars", &settings.controllers, NULL },
		{ "servers", "language servers", &settings.servers, NULL },
		{ "tenants", "tenants, each with a key", &settings.tenants, NULL },
		{ "lanes", "lanes, each with a service while there are servers", &settings.routes, NULL },
		{ "zones", "zones; three are a region; 0: one for 16 counters, 3 to 21", &settings.zones,
		  NULL },
		{ "parts", "kept parts at all servers together", NULL, &settings.cached_blocks },
		{ "rate", "exchanges a second", NULL, &settings.requests_per_second },
		{ "listed", "1: servers from a list, text at the door; 0: the product's own interface",
		  &settings.use_instance_list, NULL },
		{ "pieces", "pieces of an answer", &settings.pieces, NULL },
		{ "events", "kept parts that come and go a second", NULL, &settings.cache_events_per_second },
		{ "changes", "changes of the table in the window", &settings.changes, NULL },
		{ "restarts", "counters replaced in the window", &settings.restarts, NULL },
		{ "seconds", "of virtual time", &settings.seconds, NULL },
		{ "seed", "a whole number", NULL, (int64_t *)&settings.seed },
	};
	enum { OPTION_COUNT = sizeof in / sizeof *in };
	struct arg_str *arg_str[OPTION_COUNT];
	struct arg_lit *csv = arg_lit0(NULL, "csv", "as comma-separated values");
	struct arg_end *stop = arg_end(5);
	void *argtable[OPTION_COUNT + 2];
	struct scale_model_result result = { NULL };
	const char *why;
	char buf[200];
	int rc = 2;

	for (int i = 0; i < OPTION_COUNT; i++)
		argtable[i] = arg_str[i] = arg_str0(NULL, in[i].name, "N", in[i].what);
	argtable[OPTION_COUNT] = csv;
	argtable[OPTION_COUNT + 1] = stop;
	if (arg_parse(argc, argv, argtable)) {
		arg_print_errors(stderr, stop, "notchlug-emulator: hollow");
		fprintf(stderr, "Usage: notchlug-emulator hollow");
		arg_print_syntax(stderr, argtable, "\n");
		arg_print_glossary(stderr, argtable, "  %-16s %s\n");
		goto end;
	}
	for (int i = 0; i < OPTION_COUNT; i++) {
		int64_t v = in[i].as_int ? *in[i].as_int : *in[i].as_int64;

		if (!parse_number(arg_str[i], in[i].as_int ? INT32_MAX : INT64_MAX, &v))
			goto end;
		if (in[i].as_int)
			*in[i].as_int = (int)v;
		else
			*in[i].as_int64 = v;
	}
	if ((why = scale_model_validate(&settings, buf, sizeof buf))) {
		fprintf(stderr, "notchlug-emulator: hollow: %s\n", why);
		goto end;
	}
	rc = 1;
	if (!scale_model_run(&settings, &result, &why)) {
		fprintf(stderr, "notchlug-emulator: hollow: %s\n", why);
		goto end;
	}
	scale_model_print(&result, csv->count, stdout);
	scale_model_free(&result);
	rc = 0;
end:
	arg_freetable(argtable, OPTION_COUNT + 2);
	return rc;
}
