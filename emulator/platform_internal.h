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
	void (*prepare)(struct run *run); /* before the machines are made; NULL: nothing to do */
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

/* All scenarios; the last entry has no name. */
extern const struct platform_scenario platform_scenarios[];

#endif
