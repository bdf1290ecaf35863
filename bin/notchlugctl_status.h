/* notchlugctl_status: commands of notchlugctl that do not edit the table: print state and metrics, request
 * purges, bootstrap a fleet, and recover Raft groups. Each function returns the exit code of the program and
 * has printed any error. */
#ifndef NL_NOTCHLUGCTL_STATUS_H
#define NL_NOTCHLUGCTL_STATUS_H

/* Prints the state of the fleet as the selected controller reports it. */
int print_state(void);

/* Prints the metrics of the router whose address --at names. */
int print_metrics(void);

/* Requests an immediate purge of the cached context in scope, "ROUTE/TENANT"; "all" purges everything. */
int purge_scope(const char *scope);

/* Prints the progress of purges, or, as CSV, the retention report for auditors. */
int show_retention(int as_csv_report);

/* Bootstraps a fleet from its seed controllers. */
int bootstrap_on_call(void);

/* Recovers, at one controller, the Raft groups whose majority is permanently lost. The operator chooses whose
 * replica the groups continue from by choosing the controller. member_ids: the lost members; count 0: only
 * print the members. */
int recovery_on_call(int count, char **member_ids);

#endif
