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
#include "program_names.h"

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

/* The arguments of one process; texts that are made for it live here until it was started. */
struct arguments {
	char *list[64];
	int count;
	char program[800];
	char record[800];
	char numbers[4][20];
};

static void add_option(struct arguments *arguments, const char *name, char *value)
{
	arguments->list[arguments->count++] = (char *)(uintptr_t)name;
	arguments->list[arguments->count++] = value;
}

static void add_number(struct arguments *arguments, const char *name, char text[20], int number)
{
	snprintf(text, 20, "%d", number);
	add_option(arguments, name, text);
}

static void server_arguments(const struct test_fleet *fleet, struct fleet_process *process,
			     struct arguments *arguments, char *store_address)
{
	snprintf(arguments->program, sizeof arguments->program, "%s/notchlug-emulator",
		 fleet->settings->program_folder);
	snprintf(arguments->record, sizeof arguments->record, "%s/server-%s.rec", fleet->settings->folder,
		 process->name);
	arguments->list[arguments->count++] = arguments->program;
	arguments->list[arguments->count++] = "server";
	add_option(arguments, "--addr", process->web_address);
	add_option(arguments, "--name", process->name);
	add_option(arguments, "--weights", "w1");
	add_option(arguments, "--record", arguments->record);
	add_number(arguments, "--prefill", arguments->numbers[0], fleet->prefill_tokens_per_ms);
	add_number(arguments, "--link", arguments->numbers[1], fleet->link_bytes_per_ms);
	add_number(arguments, "--kv", arguments->numbers[2], fleet->kv_bytes_per_token);
	add_number(arguments, "--load-ms", arguments->numbers[3], fleet->load_ms);
	if (process->kind == PROCESS_STORE)
		add_option(arguments, "--cap", "1000000");
	else
		add_option(arguments, "--store", store_address);
}

static void node_arguments(struct test_fleet *fleet, struct fleet_process *process,
			   struct arguments *arguments)
{
	const struct run_settings *settings = fleet->settings;
	const char *folder = settings->old_program_folder && process->index % 2 ? settings->old_program_folder
										: settings->program_folder;
	const struct program_names *names = program_names_in(folder);

	snprintf(arguments->program, sizeof arguments->program, "%s/%s", folder,
		 process->kind == PROCESS_CONTROLLER ? names->controller : names->router);
	arguments->list[arguments->count++] = arguments->program;
	add_option(arguments, "--listen", process->listen_address);
	add_option(arguments, "--advertise", process->advertised);
	add_option(arguments, "--web", process->web_address);
	add_option(arguments, "--zone", process->zone);
	for (int i = 0; i < 3; i++)
		add_option(arguments, "--seed", fleet->seeds[i]);
	if (process->kind == PROCESS_CONTROLLER) {
		add_option(arguments, "--data", process->data_folder);
		add_option(arguments, "--fault", process->fault_file);
	}
}

void fleet_start_process(struct test_fleet *fleet, struct fleet_process *process, int full_disk)
{
	struct arguments arguments;

	memset(&arguments, 0, sizeof arguments);
	if (process->kind == PROCESS_SERVER || process->kind == PROCESS_STORE)
		server_arguments(fleet, process, &arguments,
				 fleet_process_of(fleet, PROCESS_STORE, 0)->web_address);
	else
		node_arguments(fleet, process, &arguments);
	arguments.list[arguments.count] = NULL;
	spawn(fleet, process, arguments.list, full_disk);
	process->frozen = 0;
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
	static const char *const names[] = { "controller", "router", "server", "store" };
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
