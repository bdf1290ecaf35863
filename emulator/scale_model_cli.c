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

/* An option and the setting that it sets: one of the two numbers. */
struct model_option {
	const char *name;
	const char *help;
	int *as_int;
	int64_t *as_int64;
};

enum { OPTION_COUNT = 15 };

static void make_options(struct scale_model_settings *settings, struct model_option options[OPTION_COUNT])
{
	const struct model_option all[OPTION_COUNT] = {
		{ "nodes", "routers", &settings->routers, NULL },
		{ "registrars", "controllers", &settings->controllers, NULL },
		{ "servers", "model servers", &settings->servers, NULL },
		{ "tenants", "tenants, each with a key", &settings->tenants, NULL },
		{ "lanes", "routes, each with a service while there are servers", &settings->routes, NULL },
		{ "zones", "zones; three are a region; 0: one for 16 routers, 3 to 21", &settings->zones,
		  NULL },
		{ "parts", "blocks cached at all servers together", NULL, &settings->cached_blocks },
		{ "rate", "requests a second", NULL, &settings->requests_per_second },
		{ "listed",
		  "1: servers from a list, text stays outside the core; 0: the product's own interface",
		  &settings->use_instance_list, NULL },
		{ "pieces", "pieces of an answer", &settings->pieces, NULL },
		{ "events", "blocks that are cached and evicted a second", NULL,
		  &settings->cache_events_per_second },
		{ "changes", "changes of the table in the window", &settings->changes, NULL },
		{ "restarts", "routers replaced in the window", &settings->restarts, NULL },
		{ "seconds", "of virtual time", &settings->seconds, NULL },
		{ "seed", "a whole number", NULL, (int64_t *)&settings->seed },
	};

	for (int i = 0; i < OPTION_COUNT; i++)
		options[i] = all[i];
}

/* Put an argument into its setting; 0: it is no number in range, and it was said. */
static int apply_option(const struct model_option *option, const struct arg_str *argument)
{
	int64_t value = option->as_int ? *option->as_int : *option->as_int64;

	if (!parse_number(argument, option->as_int ? INT32_MAX : INT64_MAX, &value))
		return 0;
	if (option->as_int)
		*option->as_int = (int)value;
	else
		*option->as_int64 = value;
	return 1;
}

/* Run the model with these settings and print its measurements; the exit code. */
static int run_and_print(const struct scale_model_settings *settings, int as_csv)
{
	struct scale_model_result result = { NULL };
	const char *why;
	char buf[200];

	if ((why = scale_model_validate(settings, buf, sizeof buf))) {
		fprintf(stderr, "notchlug-emulator: hollow: %s\n", why);
		return 2;
	}
	if (!scale_model_run(settings, &result, &why)) {
		fprintf(stderr, "notchlug-emulator: hollow: %s\n", why);
		return 1;
	}
	scale_model_print(&result, as_csv, stdout);
	scale_model_free(&result);
	return 0;
}

int scale_model_main(int argc, char **argv)
{
	struct scale_model_settings settings = scale_model_defaults;
	struct model_option options[OPTION_COUNT];
	struct arg_str *arguments[OPTION_COUNT];
	struct arg_lit *csv = arg_lit0(NULL, "csv", "as comma-separated values");
	struct arg_end *end = arg_end(5);
	void *table[OPTION_COUNT + 2];
	int rc = 2;

	make_options(&settings, options);
	for (int i = 0; i < OPTION_COUNT; i++)
		table[i] = arguments[i] = arg_str0(NULL, options[i].name, "N", options[i].help);
	table[OPTION_COUNT] = csv;
	table[OPTION_COUNT + 1] = end;
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "notchlug-emulator: hollow");
		fprintf(stderr, "Usage: notchlug-emulator hollow");
		arg_print_syntax(stderr, table, "\n");
		arg_print_glossary(stderr, table, "  %-16s %s\n");
		goto end;
	}
	for (int i = 0; i < OPTION_COUNT; i++)
		if (!apply_option(&options[i], arguments[i]))
			goto end;
	rc = run_and_print(&settings, csv->count);
end:
	arg_freetable(table, OPTION_COUNT + 2);
	return rc;
}
