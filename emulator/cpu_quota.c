/* Slow processors without isolation: each process under test is held to a share of one processor, as a
 * scheduler with bandwidth control would hold it. What a process has used is read from its own clock; it is
 * stopped (SIGSTOP) while it has used more than its share, and goes on (SIGCONT) once its share has grown
 * again. */
#include <signal.h>
#include <stdlib.h>
#include <time.h>

#include "platform_run.h"

enum {
	POLL_US = 5000,     /* how often each process is sampled */
	PERIOD_US = 100000, /* what is not used within a period is lost */
	MICROSECONDS = 1000000
};

struct quota {
	struct run *run;
	int64_t sampled_at_us;
};

/* Processor time that a process has used, in microseconds; -1: it has ended. */
static int64_t processor_time(int pid)
{
	struct timespec used;
	clockid_t clock;

	if (clock_getcpuclockid(pid, &clock) || clock_gettime(clock, &used))
		return -1;
	return (int64_t)used.tv_sec * MICROSECONDS + used.tv_nsec / 1000;
}

static void set_throttled(struct machine *machine, int deferred)
{
	if (machine->is_throttled == deferred)
		return;
	machine->is_throttled = deferred;
	kill(machine->pid, deferred ? SIGSTOP : SIGCONT);
}

static void throttle_machine(struct machine *machine, double share, int64_t span)
{
	int64_t used = processor_time(machine->pid), most = (int64_t)(share * PERIOD_US);

	if (used < 0)
		return;
	machine->quota_remaining_us += (int64_t)(share * (double)span) - (used - machine->quota_used_us);
	machine->quota_used_us = used;
	if (machine->quota_remaining_us > most)
		machine->quota_remaining_us = most;
	set_throttled(machine, machine->quota_remaining_us < 0);
}

static void on_sample(void *ctx)
{
	struct quota *quota = ctx;
	struct run *run = quota->run;
	int64_t now = loop_us(), span = now - quota->sampled_at_us;

	quota->sampled_at_us = now;
	for (int i = 0; i < run->machine_count; i++) {
		struct machine *machine = &run->machines[i];

		double share = machine->is_core ? run->core_share : run->router_share;

		if (share > 0 && machine->pid && !machine->is_frozen && !machine->is_killed)
			throttle_machine(machine, share, span);
	}
	run->quota_timer = loop_after(run->loop, POLL_US, on_sample, quota);
}

void quota_start(struct run *run)
{
	struct quota *quota = calloc(1, sizeof *quota);

	quota->run = run;
	quota->sampled_at_us = loop_us();
	for (int i = 0; i < run->machine_count; i++)
		if (run->machines[i].pid)
			run->machines[i].quota_used_us = processor_time(run->machines[i].pid);
	run->quota = quota;
	on_sample(quota);
}

void quota_release(struct run *run)
{
	loop_cancel(run->loop, run->quota_timer);
	for (int i = 0; run->quota && i < run->machine_count; i++)
		if (run->machines[i].pid)
			set_throttled(&run->machines[i], 0);
	free(run->quota);
	run->quota = NULL;
}
