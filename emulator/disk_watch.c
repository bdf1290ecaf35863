/* Whether the machine's disk stalled during a run. A controller acknowledges nothing before a majority has
 * synced it, so while no file on the disk can be synced, no fleet can acknowledge anything. A thread of its
 * own overwrites one small record and syncs it, again and again; so little is written that only the disk
 * itself can make it slow. The thread alone writes struct disk_watch until it has been joined. */
#include <fcntl.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "platform_run.h"

enum { RECORD_BYTES = 512, PAUSE_US = 50000 };

struct disk_watch {
	pthread_t thread;
	int fd;
	int stall_count;
	int (*sync)(int fd);
	int64_t start_us;
	int64_t stall_min_ms;
	int64_t max_ms;
	struct disk_stall stalls[MAX_DISK_STALLS];
	atomic_int stop;
};

static int64_t ms_since(const struct disk_watch *watcher)
{
	return (loop_us() - watcher->start_us) / 1000;
}

static void note(struct disk_watch *disk_watch, int64_t from, int64_t to)
{
	if (to - from > disk_watch->max_ms)
		disk_watch->max_ms = to - from;
	if (to - from > disk_watch->stall_min_ms &&
	    disk_watch->stall_count < MAX_DISK_STALLS) /* what is not recorded excuses nothing */
		disk_watch->stalls[disk_watch->stall_count++] = (struct disk_stall){ from, to };
}

static void *watch(void *arg)
{
	struct disk_watch *watcher = arg;
	char record[RECORD_BYTES];

	memset(record, 'r', sizeof record);
	while (!watcher->stop) {
		int64_t from = ms_since(watcher);

		if (pwrite(watcher->fd, record, sizeof record, 0) == (ssize_t)sizeof record &&
		    !watcher->sync(watcher->fd))
			note(watcher, from, ms_since(watcher)); /* a refusal is no delay */
		usleep(PAUSE_US);
	}
	return NULL;
}

struct disk_watch *disk_watch_open(const char *folder, int64_t start_us, int64_t longest_ms,
				   int (*sync)(int fd))
{
	struct disk_watch *watcher = calloc(1, sizeof *watcher);
	char path[700];

	snprintf(path, sizeof path, "%s/disk-watch", folder);
	watcher->fd = open(path, O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
	watcher->sync = sync;
	watcher->start_us = start_us;
	watcher->stall_min_ms = longest_ms;
	if (watcher->fd < 0 || pthread_create(&watcher->thread, NULL, watch, watcher)) {
		if (watcher->fd >= 0)
			close(watcher->fd);
		free(watcher);
		return NULL;
	}
	return watcher;
}

int disk_watch_close(struct disk_watch *watcher, struct disk_stall *stalls, int most, int64_t *most_ms)
{
	int n;

	*most_ms = 0;
	if (!watcher)
		return 0;
	watcher->stop = 1;
	pthread_join(watcher->thread, NULL); /* a sync that is under way is part of it */
	n = watcher->stall_count < most ? watcher->stall_count : most;
	memcpy(stalls, watcher->stalls, (size_t)n * sizeof *stalls);
	*most_ms = watcher->max_ms;
	close(watcher->fd);
	free(watcher);
	return n;
}

int disk_explains(const struct disk_stall *stalls, int n, int64_t at_ms, int64_t reach)
{
	for (int i = 0; i < n; i++)
		if (stalls[i].from <= at_ms && stalls[i].to >= at_ms - reach)
			return 1;
	return 0;
}
