/* Command line of the platform's emulator: notchlug-emulator platform list | run NAME. */
#include <argtable2.h>
#include <dirent.h>
#include <errno.h>
#include <libgen.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "platform_internal.h"

static void list_scenarios(FILE *out)
{
	for (const struct platform_scenario *scenario = platform_scenarios; scenario->name; scenario++)
		fprintf(out, "  %-12s %s\n", scenario->name, scenario->what);
}

/* Options of `platform run`; the tables' entries are freed by arg_freetable. */
struct run_options {
	struct arg_str *name;
	struct arg_str *seed;
	struct arg_str *deployment;
	struct arg_str *program_folder;
	struct arg_str *old_program_folder;
	struct arg_str *report;
	struct arg_str *folder;
	struct arg_str *rate;
	struct arg_str *core_share;
	struct arg_str *router_share;
	struct arg_int *length;
	struct arg_int *edges;
	struct arg_int *slack;
	struct arg_lit *impossible;
	struct arg_lit *small;
	struct arg_lit *verbose;
	struct arg_end *end;
};

static struct run_options make_options(void)
{
	struct run_options options = {
		.name = arg_str1(NULL, NULL, "NAME", "the scenario"),
		.seed = arg_str0(NULL, "seed", "N", "a whole number"),
		.deployment = arg_str0(NULL, "deployment", "NAME", "warisan or teduh"),
		.program_folder = arg_str0(NULL, "bin", "DIR", "where the programs are"),
		.old_program_folder =
		    arg_str0(NULL, "old-build", "DIR", "programs of an older build, for every other machine"),
		.report = arg_str0(NULL, "report", "DIR", "tables and a picture"),
		.folder = arg_str0(NULL, "folder", "DIR", "logs and disks; must not exist"),
		.rate = arg_str0(NULL, "rate", "X", "traffic, as a share of the sheet's"),
		.core_share =
		    arg_str0(NULL, "core-share", "X", "the share of a processor that each core machine has"),
		.router_share = arg_str0(NULL, "router-share", "X", "and each edge"),
		.length = arg_int0(NULL, "length", "S", "how long a planned day is, in seconds"),
		.edges = arg_int0(NULL, "edges", "N", "so many edges"),
		.slack =
		    arg_int0(NULL, "slack", "N", "bounds in ms are so many times as long: for slow machines"),
		.impossible = arg_lit0(NULL, "impossible",
				       "judge by bounds that nobody can keep: shows that breaches are seen"),
		.small = arg_lit0(NULL, "small", "3 edges, 3 core machines, 4 servers"),
		.verbose = arg_litn("v", "verbose", 0, 3, "say more"),
		.end = arg_end(5),
	};

	return options;
}

static const struct platform_scenario *find_scenario(const char *name)
{
	for (const struct platform_scenario *scenario = platform_scenarios; scenario->name; scenario++)
		if (!strcmp(scenario->name, name))
			return scenario;
	return NULL;
}

static double share_of(const struct arg_str *option, double otherwise)
{
	return option->count ? atof(option->sval[0]) : otherwise;
}

static int number_of(const struct arg_int *option, int otherwise)
{
	return option->count ? option->ival[0] : otherwise;
}

/* Put the options into a run whose seed is set. */
static void apply_options(struct run *run, const struct run_options *options)
{
	run->small = options->small->count;
	run->length_s = number_of(options->length, 0);
	run->core_share = share_of(options->core_share, 0);
	run->router_share = share_of(options->router_share, 0);
	run->edges = number_of(options->edges, 0);
	run->impossible = options->impossible->count;
	run->verbose = options->verbose->count;
	run->bounds = default_timing_bounds;
	run->rate = share_of(options->rate, run->small ? 0.22 : 1); /* as much for each server */
	run->slack = number_of(options->slack, 1);
	if (options->old_program_folder->count)
		snprintf(run->old_program_folder, sizeof run->old_program_folder, "%s",
			 options->old_program_folder->sval[0]);
}

/* Where programs are found, and where logs and disks go; 0: the folder cannot be made. */
static int set_folders(struct run *run, const struct run_options *options, const char *scenario)
{
	char self[600];
	ssize_t length = readlink("/proc/self/exe", self, sizeof self - 1);

	self[length > 0 ? length : 0] = 0;
	snprintf(run->program_folder, sizeof run->program_folder, "%s",
		 options->program_folder->count ? options->program_folder->sval[0] : dirname(self));
	if (options->folder->count)
		snprintf(run->folder, sizeof run->folder, "%s", options->folder->sval[0]);
	else
		snprintf(run->folder, sizeof run->folder, "/tmp/platform-%s-%llu-%d", scenario,
			 (unsigned long long)run->seed, (int)getpid());
	if (mkdir(run->folder, 0700)) {
		fprintf(stderr, "notchlug-emulator: %s: %s\n", run->folder, strerror(errno));
		return 0;
	}
	return 1;
}

static int is_deployment(const char *name)
{
	return !strcmp(name, "warisan") || !strcmp(name, "teduh");
}

/* Run one scenario by its options; the exit code: 0 no rule broken, 1 broken, 2 bad usage, 3 undecided. */
static int run_with_options(const struct run_options *options)
{
	const struct platform_scenario *scenario = find_scenario(options->name->sval[0]);
	const char *deployment = options->deployment->count ? options->deployment->sval[0] : "warisan";
	const char *report = options->report->count ? options->report->sval[0] : NULL;
	struct run *run = calloc(1, sizeof *run);
	char *stop = "";
	int rc = 2;

	run->seed = options->seed->count ? strtoull(options->seed->sval[0], &stop, 10) : 1;
	if (!scenario || *stop || !run->seed || !is_deployment(deployment)) {
		fprintf(
		    stderr,
		    "notchlug-emulator: NAME is one of these, --seed 1 or more, --deployment warisan or teduh\n");
		list_scenarios(stderr);
		goto end;
	}
	if (!scenario->play) {
		printf("%s: %s\n", scenario->name, scenario->what);
		rc = 0;
		goto end;
	}
	apply_options(run, options);
	if (scenario->prepare)
		scenario->prepare(run);
	if (run->undecided_reason) {
		fprintf(stderr, "notchlug-emulator: %s: %s\n", scenario->name, run->undecided_reason);
		goto end;
	}
	if (!run->edges)
		run->edges = run->small ? 3 : 9;
	if (!set_folders(run, options, scenario->name))
		goto end;
	signal(SIGPIPE, SIG_IGN);
	rc = platform_run_scenario(run, deployment, scenario, report);
end:
	free(run);
	return rc;
}

static int run_command(int argc, char **argv)
{
	struct run_options options = make_options();
	void *table[] = { options.name,
			  options.old_program_folder,
			  options.seed,
			  options.deployment,
			  options.program_folder,
			  options.report,
			  options.folder,
			  options.rate,
			  options.core_share,
			  options.router_share,
			  options.length,
			  options.edges,
			  options.slack,
			  options.small,
			  options.impossible,
			  options.verbose,
			  options.end };
	int rc = 2;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, options.end, "notchlug-emulator platform run");
		fprintf(stderr, "The scenarios are:\n");
		list_scenarios(stderr);
	} else {
		rc = run_with_options(&options);
	}
	arg_freetable(table, sizeof table / sizeof *table);
	return rc;
}

int platform_emulator_main(int argc, char **argv)
{
	if (argc >= 2 && !strcmp(argv[1], "list")) {
		list_scenarios(stdout);
		return 0;
	}
	if (argc >= 2 && !strcmp(argv[1], "run"))
		return run_command(argc - 1, argv + 1);
	fprintf(
	    stderr,
	    "Usage: notchlug-emulator platform list\n"
	    "       notchlug-emulator platform run NAME [--seed N] [--deployment warisan|teduh] [--small] [--rate X] [--slack N] [--bin DIR]\n"
	    "                              [--old-build DIR]\n"
	    "                              [--folder DIR] [--report DIR] [--length S] [--edges N]\n"
	    "                              [--core-share X] [--router-share X] [--impossible] [-v]\n");
	return 2;
}
