/* An emulator of the users' platform, written from its pages: model servers, the store, the list of servers,
 * the entry with its clients, the operator, the machines under test and the checker, in one process and one
 * loop, so that failures can be brought about where the users' own bench cannot run.
 *
 * event_loop, http_conn, http_call   timers, sockets, HTTP both ways
 * model_server*, instance_list       model servers and the store; the list of servers
 * clients, client_*                  the entry and the clients
 * operator*                          who sends configurations and target weights
 * machines, cpu_quota, disk_watch    processes under test, their share of a processor, their disk
 * checker*, operator_history         records, and rules by subject
 * platform_run, platform_scenarios   the frame of a run; scenarios
 * planned_*, soak_*, version_*       longer scenarios: planned work, overlapping faults, two builds
 * report, histogram                  figures and a picture */
#ifndef NL_PLATFORM_EMULATOR_H
#define NL_PLATFORM_EMULATOR_H

#include <json-c/json.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "checker.h"
#include "event_loop.h"
#include "histogram.h"
#include "model_server.h"

/* notchlug-emulator platform ...; the exit code: 0 no rule broken, 1 broken, 2 bad usage, 3 undecided. */
int platform_emulator_main(int argc, char **argv);

#endif
