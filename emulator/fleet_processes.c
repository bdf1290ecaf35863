/* Processes of the test fleet: how they are started, ended, frozen and cut off. The emulator is the one
 * program that starts processes; it ends only those, by their ids. */
#include <apr_strings.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include "fleet_internal.h"

void fleet_sleep_ms(int64_t ms)
{
	usleep((useconds_t)ms * 1000);
}

static void spawn(struct test_fleet *fleet, struct fleet_process *node, char **argv, int full)
{
	char log[700];
	int pid = fork(), fd;

	if (pid < 0) {
		perror("notchlug-emulator: fork");
		exit(1);
	}
	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		snprintf(log, sizeof log, "%s/%s.log", fleet->settings->folder, node->name);
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
		dup2(fd, 1);
		dup2(fd, 2);
		if (full) { /* a disk that is full: nothing can be written where a transaction keeps its undo
			     */
			struct rlimit lim = { 16 << 10, 16 << 10 };

			setrlimit(RLIMIT_FSIZE, &lim);
		}
		for (int i = 3; i < 256; i++)
			close(i);
		execv(argv[0], argv);
		_exit(127);
	}
	node->pid = pid;
}

struct fleet_process *fleet_process_of(struct test_fleet *fleet, enum process_kind kind, int i)
{
	for (int k = 0; k < fleet->node_count; k++)
		if (fleet->nodes[k].kind == kind && fleet->nodes[k].index == i)
			return &fleet->nodes[k];
	return NULL;
}

void fleet_start_process(struct test_fleet *fleet, struct fleet_process *node, int full)
{
	char bin[800], rec[800], num[4][20];
	char *a[64];
	int k = 0;

	if (node->kind == PROCESS_SERVER || node->kind == PROCESS_STORE) {
		snprintf(bin, sizeof bin, "%s/notchlug-emulator", fleet->settings->program_folder);
		snprintf(rec, sizeof rec, "%s/server-%s.rec", fleet->settings->folder, node->name);
		snprintf(num[0], 20, "%d", fleet->prefill_tokens_per_ms);
		snprintf(num[1], 20, "%d", fleet->link_bytes_per_ms);
		snprintf(num[2], 20, "%d", fleet->kv_bytes_per_token);
		snprintf(num[3], 20, "%d", fleet->load_ms);
		a[k++] = bin;
		a[k++] = "server";
		a[k++] = "--addr";
		a[k++] = node->web_address;
		a[k++] = "--name";
		a[k++] = node->name;
		a[k++] = "--weights";
		a[k++] = "w1";
		a[k++] = "--record";
		a[k++] = rec;
		a[k++] = "--prefill";
		a[k++] = num[0];
		a[k++] = "--link";
		a[k++] = num[1];
		a[k++] = "--kv";
		a[k++] = num[2];
		a[k++] = "--load-ms";
		a[k++] = num[3];
		if (node->kind == PROCESS_STORE) {
			a[k++] = "--cap";
			a[k++] = "1000000";
		} else {
			a[k++] = "--store";
			a[k++] = fleet_process_of(fleet, PROCESS_STORE, 0)->web_address;
		}
	} else {
		snprintf(bin, sizeof bin, "%s/%s", fleet->settings->program_folder,
			 node->kind == PROCESS_CONTROLLER ? "notchlug-controller" : "notchlug-router");
		a[k++] = bin;
		a[k++] = "--listen";
		a[k++] = node->listen_address;
		a[k++] = "--advertise";
		a[k++] = node->advertised;
		a[k++] = "--web";
		a[k++] = node->web_address;
		a[k++] = "--zone";
		a[k++] = node->zone;
		for (int i = 0; i < 3; i++) {
			a[k++] = "--seed";
			a[k++] = fleet->seeds[i];
		}
		if (node->kind == PROCESS_CONTROLLER) {
			a[k++] = "--data";
			a[k++] = node->data_folder;
			a[k++] = "--fault";
			a[k++] = node->fault_file;
		}
	}
	a[k] = NULL;
	spawn(fleet, node, a, full);
	node->frozen = 0;
}

void fleet_end_process(struct fleet_process *node, int sig)
{
	if (node->pid <= 0)
		return;
	if (node->frozen && sig != SIGKILL)
		kill(node->pid, SIGCONT);
	kill(node->pid, sig);
	waitpid(node->pid, NULL, 0);
	node->pid = 0;
	node->frozen = 0;
}

struct fleet_process *fleet_add_process(struct test_fleet *fleet, enum process_kind kind, int i)
{
	static const char *const names[] = { "registrar", "counter", "server", "store" };
	static const int from[] = { 1, 20, 60, 59 };
	struct fleet_process *n = &fleet->nodes[fleet->node_count++];

	n->kind = kind;
	n->index = i;
	snprintf(n->name, sizeof n->name, "%s-%d", names[kind], i + 1);
	snprintf(n->advertised, sizeof n->advertised, "%s.%d:7000", fleet->address_prefix, from[kind] + i);
	snprintf(n->listen_address, sizeof n->listen_address, "%s.%d:7001", fleet->address_prefix,
		 from[kind] + i);
	snprintf(n->web_address, sizeof n->web_address, "%s.%d:8000", fleet->address_prefix, from[kind] + i);
	snprintf(n->zone, sizeof n->zone, "z%d", i % 4 + 1);
	apr_snprintf(n->data_folder, sizeof n->data_folder, "%s/%s.data", fleet->settings->folder, n->name);
	apr_snprintf(n->fault_file, sizeof n->fault_file, "%s/%s.fault", fleet->settings->folder, n->name);
	if (kind == PROCESS_SERVER)
		snprintf(n->service, sizeof n->service, "%s", fleet->services[i % 3]);
	if ((kind == PROCESS_CONTROLLER || kind == PROCESS_ROUTER) &&
	    !links_add(fleet->links, n->advertised, n->listen_address))
		exit(1);
	return n;
}

int64_t fleet_cpu_ms(struct test_fleet *fleet, enum process_kind kind)
{
	int64_t sum = 0;

	for (int i = 0; i < fleet->node_count; i++) {
		char path[64], line[1024], *p;
		unsigned long long u = 0, s = 0;
		FILE *file;

		if (fleet->nodes[i].kind != kind || fleet->nodes[i].pid <= 0)
			continue;
		snprintf(path, sizeof path, "/proc/%d/stat", fleet->nodes[i].pid);
		file = fopen(path, "r");
		if (file && fgets(line, sizeof line, file) && (p = strrchr(line, ')')) &&
		    sscanf(p + 2, "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %llu %llu", &u, &s) == 2)
			sum += (int64_t)(u + s) * 1000 / sysconf(_SC_CLK_TCK);
		if (file)
			fclose(file);
	}
	return sum;
}

void fleet_restart_process(struct test_fleet *fleet, struct fleet_process *n)
{
	fleet_start_process(fleet, n, 0);
}

void fleet_freeze_process(struct fleet_process *node, int on)
{
	node->frozen = on;
	kill(node->pid, on ? SIGSTOP : SIGCONT);
}

void fleet_slow_disk(struct fleet_process *node, int ms)
{
	FILE *out = fopen(node->fault_file, "w");

	if (out) {
		fprintf(out, "%d\n", ms);
		fclose(out);
	}
}

void fleet_require_log(struct test_fleet *fleet, struct fleet_process *node, const char *message)
{
	char path[800], *text;

	snprintf(path, sizeof path, "%s/%s.log", fleet->settings->folder, node->name);
	text = file_read(path);
	if (!text || !strstr(text, message))
		fleet_note(fleet, "missed", "what", message);
	free(text);
}

void fleet_isolate(struct test_fleet *fleet, struct fleet_process *n)
{
	links_rule(fleet->links, n->advertised, "", 1, 0);
	links_rule(fleet->links, "", n->advertised, 1, 0);
}

void fleet_join_links(struct test_fleet *fleet)
{
	links_clear(fleet->links);
	if (fleet->added_delay_ms)
		links_rule(fleet->links, "", "", 0, fleet->added_delay_ms);
}

void fleet_server_fault(struct test_fleet *fleet, int i, const char *what)
{
	http_call_blocking("POST", fleet_process_of(fleet, PROCESS_SERVER, i)->web_address, "/fault", NULL,
			   what, 1000, NULL);
}
