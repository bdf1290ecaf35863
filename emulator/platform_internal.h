/* What the files of a run on the platform's emulator share: the table of scenarios, and the frame of a run.
 */
#ifndef NL_PLATFORM_INTERNAL_H
#define NL_PLATFORM_INTERNAL_H

#include "platform_run.h"

/* A scenario by name; without play it is only listed. */
struct platform_scenario {
	const char *name;
	const char *what; /* one line for lists */
	void (*play)(struct run *run);
	void (*prepare)(struct run *run); /* before the machines are made, may set undecided_reason; NULL:
					     nothing to do */
};

/* ---- platform_run.c ---- */

/* Go on until condition holds or so many ms have passed; whether it holds. */
int run_wait_for(struct run *run, int64_t ms, int (*condition)(struct run *r));

/* Condition: the operator waits for no answer and has nothing more to send. */
int run_operator_idle(struct run *run);

/* Play a scenario for a deployment, and report into a folder (NULL: print only). Exit code: 0 no rule broken,
 * 1 broken, 3 undecided. */
int platform_run_scenario(struct run *run, const char *deployment, const struct platform_scenario *scenario,
			  const char *report);

/* ---- version_scenarios.c ---- */

/* Half of the machines run an older build; needs --old-build. */
void mixed_versions_prepare(struct run *run);
/* Half of the machines run an older build, while configurations change and machines of both builds are
 * stopped. */
void mixed_versions(struct run *run);

/* All machines go over from an older build, one by one, each on its disk; needs --old-build. */
void upgrade_prepare(struct run *run);
/* All machines go over from an older build, one by one, each on its disk; then all start from their disks
 * alone. */
void upgrade(struct run *run);

/* ---- platform_scenarios.c ---- */

/* Kill every process at once and start all again; is_final: the rules about recovery are judged from here. */
void run_kill_everything(struct run *run, int is_final);

/* All scenarios; the last entry has no name. */
extern const struct platform_scenario platform_scenarios[];

#endif
