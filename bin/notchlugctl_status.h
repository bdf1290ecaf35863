/* notchlugctl_status: what the operators' command line reads and starts besides the table: state, metrics,
 * purges, a fleet's bootstrap and its recovery. All return the program's exit code, and have said what is
 * wrong. */
#ifndef NL_NOTCHLUGCTL_STATUS_H
#define NL_NOTCHLUGCTL_STATUS_H

/* The fleet's state, as the controller that is called knows it. */
int print_state(void);

/* A router's metrics; --at names the router's own address. */
int print_metrics(void);

/* Purge a scope's context now; "all" for everything. */
int purge(const char *scope);

/* The retention's progress, or the auditors' report. */
int show_retention(int report);

/* Bootstrap a fleet from its seeds. */
int bootstrap(void);

/* Recover groups whose majority is lost, at one controller alone: which replica goes on is the operator's
 * choice. ids: the lost members; none: print who the members are. */
int recover(int count, char **ids);

#endif
