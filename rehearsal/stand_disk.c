/* Whether the machine's disk stood still during a run. A controller acknowledges nothing before a majority has synced it,
 * so while no file on the disk can be synced, no fleet can acknowledge anything. A thread of its own overwrites one small
 * record and syncs it, again and again; what it asks of the disk is so little that only the disk itself makes it long. */
#include <fcntl.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "stand_run.h"

enum { RECORD_BYTES = 512, PAUSE_US = 50000 };

struct disk_watch {
	pthread_t thread;
	int fd, stalls;
	int (*sync)(int fd);
	int64_t start_us, longest_ms, most_ms;
	struct disk_stall stall[MOST_DISK_STALLS];
	atomic_int stop;
};

static int64_t ms_since(const struct disk_watch *w) { return (loop_us() - w->start_us) / 1000; }

static void note(struct disk_watch *w, int64_t from, int64_t to)
{
	if (to - from > w->most_ms)
		w->most_ms = to - from;
	if (to - from > w->longest_ms && w->stalls < MOST_DISK_STALLS) /* what isn't noted excuses nothing */
		w->stall[w->stalls++] = (struct disk_stall){ from, to };
}

static void *watch(void *arg)
{
	struct disk_watch *w = arg;
	char record[RECORD_BYTES];

	memset(record, 'r', sizeof record);
	while (!w->stop) {
		int64_t from = ms_since(w);

		if (pwrite(w->fd, record, sizeof record, 0) == (ssize_t)sizeof record && !w->sync(w->fd))
			note(w, from, ms_since(w)); /* a refusal is no delay */
		usleep(PAUSE_US);
	}
	return NULL;
}

struct disk_watch *disk_watch_open(const char *folder, int64_t start_us, int64_t longest_ms, int (*sync)(int fd))
{
	struct disk_watch *w = calloc(1, sizeof *w);
	char path[700];

	snprintf(path, sizeof path, "%s/disk-watch", folder);
	w->fd = open(path, O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
	w->sync = sync;
	w->start_us = start_us;
	w->longest_ms = longest_ms;
	if (w->fd < 0 || pthread_create(&w->thread, NULL, watch, w)) {
		if (w->fd >= 0)
			close(w->fd);
		free(w);
		return NULL;
	}
	return w;
}

int disk_watch_close(struct disk_watch *w, struct disk_stall *stalls, int most, int64_t *most_ms)
{
	int n;

	*most_ms = 0;
	if (!w)
		return 0;
	w->stop = 1;
	pthread_join(w->thread, NULL); /* a sync that is under way is part of it */
	n = w->stalls < most ? w->stalls : most;
	memcpy(stalls, w->stall, (size_t)n * sizeof *stalls);
	*most_ms = w->most_ms;
	close(w->fd);
	free(w);
	return n;
}

int disk_explains(const struct disk_stall *stalls, int n, int64_t t, int64_t reach)
{
	for (int i = 0; i < n; i++)
		if (stalls[i].from <= t && stalls[i].to >= t - reach)
			return 1;
	return 0;
}
