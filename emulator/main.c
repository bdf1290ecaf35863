/* notchlug-emulator: runs a local fleet with emulated surroundings and faults, and judges what happened. */
#include <apr_general.h>
#include <argtable2.h>
#include <curl/curl.h>
#include <libgen.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "scale_model.h"
#include "test_fleet.h"
#include "platform_emulator.h"

static int usage(FILE *out)
{
	fprintf(
	    out,
	    "Usage: notchlug-emulator run NAME [--seed N] [--deployment warisan|rumah-teduh] [--small] [--untimed] [--folder F]\n"
	    "                                  [--old-build DIR]\n"
	    "       notchlug-emulator up [--small] [--folder F]        a fleet to try things on\n"
	    "       notchlug-emulator check FOLDER                     judge the records of a run\n"
	    "       notchlug-emulator list                             the scenarios\n"
	    "       notchlug-emulator platform ...                     the same on a stand-in of the users' platform\n"
	    "       notchlug-emulator hollow --nodes N --servers M ... the cores of a large fleet in one process: what each role costs\n"
	    "       notchlug-emulator server ...                       one server stand-in\n");
	return out == stdout ? 0 : 2;
}

static int run(int argc, char **argv, const char *fixed)
{
	struct arg_str *name = fixed ? NULL : arg_str1(NULL, NULL, "NAME", "the scenario");
	struct arg_str *seed = arg_str0(NULL, "seed", "N", "a whole number"),
		       *dep = arg_str0(NULL, "deployment", "NAME", "whose shape");
	struct arg_str *folder = arg_str0(NULL, "folder", "F", "where records go; must not exist");
	struct arg_str *old_build =
	    arg_str0(NULL, "old-build", "DIR", "programs of an older build, for every other node");
	struct arg_lit *small = arg_lit0(NULL, "small", "3 routers and 6 servers instead of 9 and 18");
	struct arg_lit *untimed =
	    arg_lit0(NULL, "untimed", "do not judge bounds in seconds: the machine's speed is not known");
	struct arg_end *end = arg_end(5);
	void *with[] = { name, seed, dep, folder, old_build, small, untimed, end },
	     *without[] = { seed, dep, folder, old_build, small, untimed, end };
	struct run_settings s;
	char self[600], *stop = "";
	ssize_t n;
	int rc = 2;

	if (arg_parse(argc, argv, fixed ? without : with)) {
		arg_print_errors(stderr, end, "notchlug-emulator");
		fprintf(stderr, "The scenarios are:\n");
		run_list(stderr);
		goto end;
	}
	memset(&s, 0, sizeof s);
	s.name = fixed ? fixed : name->sval[0];
	s.seed = seed->count ? strtoull(seed->sval[0], &stop, 10) : 1;
	s.deployment = dep->count ? dep->sval[0] : "warisan";
	s.old_program_folder = old_build->count ? old_build->sval[0] : NULL;
	s.small = small->count;
	s.untimed = untimed->count;
	if (*stop || !s.seed) {
		fprintf(stderr,
			"notchlug-emulator: --seed: a whole number of 1 or more; the scenarios are:\n");
		run_list(stderr);
		goto end;
	}
	if (strcmp(s.deployment, "warisan") && strcmp(s.deployment, "rumah-teduh")) {
		fprintf(stderr, "notchlug-emulator: --deployment: warisan or rumah-teduh\n");
		goto end;
	}
	n = readlink("/proc/self/exe", self, sizeof self - 1);
	self[n > 0 ? n : 0] = 0;
	s.program_folder = dirname(self);
	s.folder = folder->count ? folder->sval[0] : NULL;
	if (!folder->count) {
		static char f[200];

		snprintf(f, sizeof f, "run-%s-%llu-%d", s.name, (unsigned long long)s.seed, (int)getpid());
		s.folder = f;
	}
	signal(SIGPIPE, SIG_IGN);
	rc = run_scenario(&s);
end:
	if (fixed)
		arg_freetable(without, sizeof without / sizeof *without);
	else
		arg_freetable(with, sizeof with / sizeof *with);
	return rc;
}

int main(int argc, char **argv)
{
	int rc;

	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (argc < 2)
		return usage(stderr);
	if (!strcmp(argv[1], "server"))
		rc = server_main(argc - 1, argv + 1);
	else if (!strcmp(argv[1], "platform"))
		rc = platform_emulator_main(argc - 1, argv + 1);
	else if (!strcmp(argv[1], "run"))
		rc = run(argc - 1, argv + 1, NULL);
	else if (!strcmp(argv[1], "hollow"))
		rc = scale_model_main(argc - 1, argv + 1);
	else if (!strcmp(argv[1], "up"))
		rc = run(argc - 1, argv + 1, "up");
	else if (!strcmp(argv[1], "check") && argc == 3) {
		static struct check_result r;

		rc = check_folder(argv[2], 0, &r) ? 0 : 1;
		printf("%s", r.text);
	} else if (!strcmp(argv[1], "list")) {
		run_list(stdout);
		rc = 0;
	} else if (!strcmp(argv[1], "--version")) {
		printf("notchlug-emulator (notchlug) %s\n", NL_VERSION);
		rc = 0;
	} else {
		rc = usage(!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h") ? stdout : stderr);
	}
	return rc;
}
