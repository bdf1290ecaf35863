/* The machines under test: each a process with a settings file of its own at an address of its own. The rehearsal is the
 * one program that starts processes; it ends only those, by their ids. */
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "ds.h"
#include "stand_run.h"

enum { FRONT = 8689, READY = 8687, CONTROL = 8683, INSIDE = 7360, INSIDE_LAST = 7375 };

struct machine *machine_add(struct run *r, int core, int zone)
{
	struct machine *m;
	char base[sizeof r->base], folder[sizeof r->folder];
	int n = 0;

	memcpy(base, r->base, sizeof base);
	memcpy(folder, r->folder, sizeof folder);
	if (r->nm == MOST_MACHINES) {
		fprintf(stderr, "rehearsal: too many machines\n");
		exit(1);
	}
	m = &r->m[r->nm];
	for (int i = 0; i < r->nm; i++)
		n += r->m[i].core == core && !strcmp(r->m[i].zone, r->sheet->zone[zone]);
	m->r = r;
	m->i = r->nm++;
	m->core = core;
	snprintf(m->zone, sizeof m->zone, "%s", r->sheet->zone[zone]);
	snprintf(m->name, sizeof m->name, "%s-%s-%d", core ? "core" : "edge", r->sheet->zone[zone], n + 1);
	snprintf(m->ip, sizeof m->ip, "%s.%d", base, 10 + m->i);
	snprintf(m->folder, sizeof m->folder, "%s/%s-%s-%d", folder, core ? "core" : "edge", r->sheet->zone[zone], n + 1);
	snprintf(m->front, sizeof m->front, "%s.%d:%d", base, 10 + m->i, FRONT);
	snprintf(m->ready, sizeof m->ready, "%s.%d:%d", base, 10 + m->i, READY);
	snprintf(m->control, sizeof m->control, "%s.%d:%d", base, 10 + m->i, CONTROL);
	m->in = !core;
	mkdir(m->folder, 0700);
	return m;
}

static void write_boot(struct machine *m)
{
	struct run *r = m->r;
	const struct bounds_set *b = &r->b;
	char path[800];
	int seeds = 0;
	FILE *f;

	snprintf(path, sizeof path, "%s/boot.toml", m->folder);
	f = fopen(path, "w");
	if (!f) {
		fprintf(stderr, "rehearsal: %s: %s\n", path, strerror(errno));
		exit(1);
	}
	fprintf(
	    f,
	    "NodeName = \"%s\"\nRole = \"%s\"\nMachineClass = \"%s\"\nServedRoles = [\"%s\"]\nIpAddress = \"%s\"\nZone = \"%s\"\nRegion = \"%s\"\n",
	    m->name, m->core ? "registrar" : "counter", m->core ? "core" : "edge", m->core ? "control" : "edge", m->ip, m->zone,
	    r->sheet->region);
	fprintf(f, "InternalPorts = [%d,%d]\nSeedNodes = [", INSIDE, INSIDE_LAST);
	for (int i = 0; i < r->nm && seeds < 3; i++)
		if (r->m[i].core && r->m[i].listed)
			fprintf(f, "%s\"%s\"", seeds++ ? "," : "", r->m[i].control);
	fprintf(
	    f,
	    "]\nInitialStart = %s\nLossCounted = %s\nDiscoverySource = \"platform\"\nEntryType = \"vip\"\nBeatIntervalMs = 1200\n",
	    m->starts || r->traffic_at >= 0 ? "false" : "true", m->core ? "true" : "false");
	fprintf(
	    f,
	    "ContractList = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"kvcache\",\"stream\",\"engine\",\"tenants\"]\n");
	if (m->core)
		fprintf(f, "DataPath = \"%s/data\"\n", m->folder);
	fprintf(f, "[Zones]\n");
	for (int i = 0; i < 4; i++)
		fprintf(f, "%s = \"%s\"\n", r->sheet->zone[i], r->sheet->region);
	fprintf(f, "[ListenAddrs]\n");
	if (m->core)
		fprintf(f, "ControlAddr = \"%s\"\n", m->control);
	else
		fprintf(f, "FrontAddr = \"%s\"\nReadiness = \"%s\"\n", m->front, m->ready);
	fprintf(f, "[Limits]\nCpuQuota = 0.25\nCoreCount = 1\nMemoryMb = 260\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = %d\n",
		m->core ? 128 : 0);
	fprintf(f,
		"[Tolerance]\nMachineLosses = 1\nZones = 0\nRegionLosses = 0\n[TimingBounds]\nSeedLagS = 3\nAddressReuseS = 2\n");
	fprintf(
	    f,
	    "ContactMs = %lld\nAckMs = %lld\nCatchUpS = %lld\nDrainMs = %lld\nGraceS = %lld\nLossSlackMs = %lld\nConfigApplyMs = %lld\n",
	    (long long)b->contact, (long long)b->ack, (long long)b->catch_up / 1000, (long long)b->drain,
	    (long long)b->grace / 1000, (long long)b->loss_slack, (long long)b->apply);
	fprintf(
	    f,
	    "RevertSlackMs = %lld\nDriftMaxMs = %lld\nRevocationGlobal = true\nRevokeMs = %lld\nRetryBudgetRatio = %.2f\nRetryWindowS = %lld\n",
	    (long long)b->revert, (long long)b->drift, (long long)b->revoke, b->ratio, (long long)b->window / 1000);
	fprintf(
	    f,
	    "RetryBudgetSlack = %lld\nRecoveryS = %lld\nTransitMs = %lld\nFenceChecked = %s\nLeaseMs = %lld\nThawSlackMs = %lld\nVersionMs = %lld\n",
	    (long long)b->slack, (long long)b->recovery / 1000, (long long)b->transit, b->fence_checked ? "true" : "false",
	    (long long)b->lease, (long long)b->thaw, (long long)b->version);
	fprintf(f, "[PlatformApi]\nAddress = \"%s\"\nRatePerS = 47.0\nDutyList = []\nMaxLagMs = 800\n", r->list_at);
	fclose(f);
	snprintf(path, sizeof path, "%s/data", m->folder);
	if (m->core)
		mkdir(path, 0700);
}

void machine_start(struct machine *m)
{
	struct run *r = m->r;
	char log[800], bin[800], conf[800], home[800];
	char *argv[] = { bin, "--platform", NULL };
	char *env[] = { conf, "PATH=/usr/bin:/bin", home, "LANG=C.UTF-8", NULL, NULL };
	const char *san = getenv("ASAN_OPTIONS");
	char pass[300];
	int pid, fd;

	if (m->pid && m->killed)
		m->wanted = 1; /* once the old one is quite gone */
	if (m->pid || m->gone)
		return;
	m->wanted = 0;
	write_boot(m);
	m->starts++;
	m->leaving = m->frozen = 0;
	m->quota_left = m->quota_seen = m->quota_held = 0;
	snprintf(bin, sizeof bin, "%s/%s", r->bin, m->core ? "registrar" : "counter");
	snprintf(conf, sizeof conf, "NOTCHLUG_CONFIG=%s/boot.toml", m->folder);
	snprintf(home, sizeof home, "HOME=%s", m->folder);
	snprintf(log, sizeof log, "%s/%s.log", r->folder, m->name);
	if (san) {
		snprintf(pass, sizeof pass, "ASAN_OPTIONS=%s", san);
		env[4] = pass;
	}
	pid = fork();
	if (pid < 0) {
		perror("rehearsal: fork");
		exit(1);
	}
	if (!pid) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
		dup2(fd, 1);
		dup2(fd, 2);
		fd = open("/dev/null", O_RDONLY);
		dup2(fd, 0);
		for (int i = 3; i < 1024; i++)
			close(i);
		execve(bin, argv, env);
		_exit(127);
	}
	m->pid = pid;
	judge_machine(r->j, run_ms(r), m->i, m->core, CALM, 1);
}

int machine_down(const struct machine *m) { return !m->pid; }

static void reap(struct machine *m)
{
	waitpid(m->pid, NULL, 0);
	m->pid = 0;
	m->frozen = m->leaving = m->killed = 0;
}

void machine_kill(struct machine *m)
{
	if (!m->pid || m->killed)
		return;
	judge_machine(m->r->j, run_ms(m->r), m->i, m->core, UNPLANNED, 0);
	kill(m->pid, SIGKILL);
	m->killed = 1;
}

void machine_term(struct machine *m)
{
	if (!m->pid || m->killed)
		return;
	judge_machine(m->r->j, run_ms(m->r), m->i, m->core, PLANNED, 0);
	kill(m->pid, SIGTERM);
	m->leaving = 1;
	m->leave_by = run_ms(m->r) + m->r->b.grace;
}

void machine_freeze(struct machine *m, int on)
{
	if (!m->pid || m->killed || m->frozen == on)
		return;
	m->frozen = on;
	judge_machine(m->r->j, run_ms(m->r), m->i, m->core, UNPLANNED, !on);
	kill(m->pid, on ? SIGSTOP : SIGCONT);
	if (!on)
		m->r->f.thawed = run_ms(m->r);
}

void machine_hup(struct machine *m)
{
	write_boot(m);
	if (!m->pid)
		return;
	judge_reload(m->r->j, run_ms(m->r), m->i);
	kill(m->pid, SIGHUP);
}

void machine_wipe(struct machine *m)
{
	char path[1100];
	DIR *d;
	struct dirent *e;

	snprintf(path, sizeof path, "%s/data", m->folder);
	d = opendir(path);
	while (d && (e = readdir(d))) {
		if (e->d_name[0] == '.' && (!e->d_name[1] || !strcmp(e->d_name, "..")))
			continue;
		snprintf(path, sizeof path, "%s/data/%s", m->folder, e->d_name);
		unlink(path);
	}
	if (d)
		closedir(d);
}

void machine_remove(struct machine *m)
{
	machine_kill(m);
	m->gone = 1;
	m->in = 0;
	judge_machine(m->r->j, run_ms(m->r), m->i, m->core, UNPLANNED, -1);
}

void machine_retire(struct machine *m)
{
	m->retiring = 1;
	machine_term(m);
}

static void retired(struct machine *m)
{
	m->gone = 1;
	m->in = 0;
	judge_machine(m->r->j, run_ms(m->r), m->i, m->core, PLANNED, -1);
}

static void start_again(void *ctx)
{
	struct machine *m = ctx;

	m->timer = 0;
	machine_start(m);
}

void machines_look(struct run *r)
{
	for (int i = 0; i < r->nm; i++) {
		struct machine *m = &r->m[i];
		int st = 0;

		if (!m->pid)
			continue;
		if (m->leaving && run_ms(r) > m->leave_by) {
			run_say(r, "%s is still there after GraceS and is killed", m->name);
			kill(m->pid, SIGKILL);
		}
		if (waitpid(m->pid, &st, WNOHANG) != m->pid)
			continue;
		m->pid = 0;
		m->frozen = 0;
		if (m->killed) {
			m->killed = 0;
			if (m->wanted)
				machine_start(m);
			continue;
		}
		if (m->leaving) {
			m->leaving = 0;
			if (m->retiring)
				retired(m);
			continue;
		}
		m->own_ends++;
		judge_own_end(r->j, run_ms(r), m->i);
		run_say(r, "%s ended by itself (%s %d); see its log", m->name, WIFSIGNALED(st) ? "signal" : "code",
			WIFSIGNALED(st) ? WTERMSIG(st) : WEXITSTATUS(st));
		m->timer = loop_after(r->l, ms_us(500), start_again, m);
	}
}

void machines_end(struct run *r)
{
	for (int i = 0; i < r->nm; i++) {
		struct machine *m = &r->m[i];

		loop_drop(r->l, m->timer);
		m->wanted = 0;
		if (!m->pid || m->killed)
			continue;
		kill(m->pid, SIGCONT);
		kill(m->pid, SIGTERM);
		m->leaving = 1;
		m->leave_by = run_ms(r) + 10000;
	}
	for (int turns = 0; turns < 400; turns++) {
		int left = 0;

		for (int i = 0; i < r->nm; i++)
			left += r->m[i].pid != 0;
		if (!left)
			return;
		loop_until(r->l, ms_us(25), NULL, NULL);
		machines_look(r);
	}
	for (int i = 0; i < r->nm; i++)
		if (r->m[i].pid) {
			kill(r->m[i].pid, SIGKILL);
			reap(&r->m[i]);
		}
}
