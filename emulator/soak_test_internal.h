/* What the files of the soak test share. Faults of one subject come in series; several series run side by
 * side. What a fault draws depends on its place in its series alone, so that a seed gives the same faults
 * whatever the clock does. */
#ifndef NL_SOAK_TEST_INTERNAL_H
#define NL_SOAK_TEST_INTERNAL_H

#include "platform_run.h"

enum {
	SMALL_SOAK_MS = 20000,
	SOAK_MS = 45000,
	STEP_MS = 10,
	/* the run's bounds */
	VERSION_MIN_MS = 5000,
	VERSION_MAX_MS = 8000,
	CONTACT_MS = 1500,
	DRAIN_MS = 1500,
	LEASE_MS = 1500,
	CALM_CONTACTS = 3, /* beyond VersionMs, at the end */
	LOAD_SHARE = 8,    /* a load takes so small a part of VersionMs */
	/* how many machines */
	CROWDED_EVERY = 5, /* of so many seeds one is crowded */
	CROWDED_ROUTERS = 60,
	CROWDED_CORE = 9,
	/* faults */
	QUIET_SERIES_EVERY = 4, /* a subject has no fault in one of so many runs */
	LONG_EVERY = 40,        /* one of so many answers takes seconds */
	BURST_EVERY = 2,        /* of so many series of targets one is a burst */
	BURST_TARGETS_MIN = 9,
	BURST_TARGETS_EXTRA = 12,
	TARGET_GAP_MIN_MS = 500,
	TARGET_GAP_MAX_MS = 30000,
	SLOW_TIMES = 6,
	LOAD_SLOW_TIMES = 10,
	LOST_PERCENT = 60,
	DOWN_MAX_MS = 3000,
	FREEZE_MIN_MS = 200,
	LOSS_PAUSE_MS = 15000, /* from one disk lost to the next */
	/* how late the run may be itself */
	SAMPLE_MS = 1000,
	MAX_LATENESS_MS = 300
};

struct soak_test;

/* A fault that is under way. `end` ends it and returns 1, or 0 when it has to be called again later. */
struct episode {
	int64_t ends_at_ms;
	int (*end)(struct soak_test *soak_test, void *subject);
	void *subject;
};

/* Faults of one subject: in series with gaps, and pauses between the series. */
struct fault_series {
	void (*inject)(struct soak_test *soak_test, int kind);
	int kind_count;
	int max_faults;       /* in a series */
	int64_t max_gap_ms;   /* between faults of a series */
	int64_t max_pause_ms; /* between series */
	int64_t min_pause_ms; /* between series */
	uint64_t seed;
	uint64_t injected_count;
	int kind;      /* of the last fault */
	int remaining; /* faults of the current series */
	int64_t gap_ms;
	int64_t next_at_ms;
};

enum { SERIES_ROUTERS, SERIES_CORE, SERIES_SERVERS, SERIES_OTHERS, SERIES_COUNT };

/* A core machine that is lost for good, and the one in its place. */
struct replacement {
	struct machine *lost;
	struct machine *new;
};

/* A soak test that runs. */
struct soak_test {
	struct run *run;
	uint64_t rng;
	uint64_t target_seed;
	uint64_t target_index;
	int64_t ends_at_ms;
	struct fault_series series[SERIES_COUNT];
	struct episode *active_faults; /* stb array */
	struct replacement replacement;
	int64_t next_disk_loss_at_ms;
	int64_t next_target_at_ms;
	int64_t target_gap_ms;
	int64_t next_sample_at_ms;
	int target_version;    /* of the weights */
	int targets_remaining; /* in the series */
	int fault_count;
	int overlap_count; /* faults that began beside others */
	int load_factor;   /* so many times the load; 0: no burst */
	struct {
		int pid;
		long long waited_ns; /* ns on a processor's queue, as the kernel counts them */
	} sample[MAX_MACHINES];
};

enum { ROUTERS_KILL, ROUTERS_STOP, ROUTERS_FREEZE, ROUTERS_HUP, ROUTERS_KILL_ALL, ROUTERS_KINDS };

enum { CORE_KILL, CORE_STOP, CORE_FREEZE, CORE_REPLACE, CORE_WIPE, CORE_KILL_ALL, CORE_STOP_ALL, CORE_KINDS };

enum {
	SERVER_SLOW,
	SERVER_SILENT,
	SERVER_CRASH,
	SERVER_REPLACED,
	SERVER_REFUSES,
	SERVER_LOADS_SLOWLY,
	SERVER_KINDS
};

enum { OTHERS_LOSE, OTHERS_LOAD, OTHERS_CHANGE, OTHERS_KINDS };

/* ---- soak_faults.c ---- */

/* A number from least to most, drawn from the soak test's seed. */
int64_t soak_between(struct soak_test *soak, int64_t least, int64_t most);

/* 1 in one of n draws. */
int soak_one_in(struct soak_test *soak, int64_t n);

/* A fault of one or more routers, by its kind. */
void soak_inject_router_fault(struct soak_test *soak, int kind);

/* Set the next version of the weights as the target, once the one before is acknowledged. */
void soak_set_target(struct soak_test *soak);

/* A fault of a core machine, by its kind. */
void soak_inject_core_fault(struct soak_test *soak, int kind);

/* A fault of one or more model servers, by its kind. */
void soak_inject_server_faults(struct soak_test *soak, int kind);

/* A fault of the operator's connections or the load, or a change. */
void soak_inject_other_fault(struct soak_test *soak, int kind);

#endif
