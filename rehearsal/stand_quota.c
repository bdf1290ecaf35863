/* Slow processors without isolation: each process under test is held to a share of one processor, as a scheduler with
 * bandwidth control would hold it. What a process has used is read from its own clock; it stands still (SIGSTOP) while
 * it has used more than its share and goes on (SIGCONT) once that has grown again. */
#include <signal.h>
#include <stdlib.h>
#include <time.h>

#include "stand_run.h"

enum {
	LOOK_US = 5000,     /* how often each process is looked at */
	PERIOD_US = 100000, /* what is not used within a period is lost */
	MICROSECONDS = 1000000
};

struct quota {
	struct run *run;
	int64_t looked;
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

static void hold(struct machine *m, int held)
{
	if (m->quota_held == held)
		return;
	m->quota_held = held;
	kill(m->pid, held ? SIGSTOP : SIGCONT);
}

static void look_at(struct machine *m, double share, int64_t span)
{
	int64_t used = processor_time(m->pid), most = (int64_t)(share * PERIOD_US);

	if (used < 0)
		return;
	m->quota_left += (int64_t)(share * (double)span) - (used - m->quota_seen);
	m->quota_seen = used;
	if (m->quota_left > most)
		m->quota_left = most;
	hold(m, m->quota_left < 0);
}

static void look(void *ctx)
{
	struct quota *quota = ctx;
	struct run *run = quota->run;
	int64_t now = loop_us(), span = now - quota->looked;

	quota->looked = now;
	for (int i = 0; i < run->nm; i++) {
		struct machine *m = &run->m[i];

		double share = m->core ? run->core_share : run->router_share;

		if (share > 0 && m->pid && !m->frozen && !m->killed)
			look_at(m, share, span);
	}
	run->quota_timer = loop_after(run->l, LOOK_US, look, quota);
}

void quota_hold(struct run *r)
{
	struct quota *quota = calloc(1, sizeof *quota);

	quota->run = r;
	quota->looked = loop_us();
	for (int i = 0; i < r->nm; i++)
		if (r->m[i].pid)
			r->m[i].quota_seen = processor_time(r->m[i].pid);
	r->quota = quota;
	look(quota);
}

void quota_release(struct run *r)
{
	loop_drop(r->l, r->quota_timer);
	for (int i = 0; r->quota && i < r->nm; i++)
		if (r->m[i].pid)
			hold(&r->m[i], 0);
	free(r->quota);
	r->quota = NULL;
}
