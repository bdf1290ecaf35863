/* storage_write: the writer thread, which writes batches of changes.
 * All queued jobs are written in one transaction, so that a busy controller needs one sync per batch and not
 * one per change. */
#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "containers.h"
#include "log.h"
#include "ring.h"
#include "shell_event.h"
#include "storage_internal.h"

enum {
	MAX_QUEUED_JOBS = 65536,
	MAX_BATCH_JOBS = 256,
	JOB_POLL_MS = 100,
	RETRY_INTERVAL_US = 200000, /* time between two attempts to write a batch */
	DELAY_FILE_POLL_US = 5000 /* interval at which the sync delay file is read during an injected delay */
};

/* A queued change for the writer thread. Each job is allocated from its own pool, which is destroyed with it.
 */
struct storage_job {
	struct persist write;
	apr_pool_t *pool;
};

/* ---- changes of one shard ---- */

static bool write_vote(struct storage *storage, const struct persist *write)
{
	struct vote_record record = { write->term, write->vote };
	char key[STORAGE_MAX_KEY_BYTES];

	snprintf(key, sizeof key, "m/%u", write->shard);
	return storage_record_put(storage, key, &record, sizeof record, NULL, 0);
}

/* Deletes the entries with log indexes from first to last, inclusive. */
static bool delete_entries(struct storage *storage, uint32_t shard, uint64_t first, uint64_t last)
{
	char key[STORAGE_MAX_KEY_BYTES];

	for (uint64_t i = first; i <= last; i++)
		if (!storage_record_delete(storage, storage_entry_key(key, sizeof key, shard, i)))
			return false;
	return true;
}

/* Deletes the entries from log index truncate_from on, which conflict with those of another leader. 0: none.
 */
static bool truncate_log(struct storage *storage, const struct persist *write)
{
	uint64_t *last = &storage->last_entry_index[write->shard];

	if (!write->truncate_from)
		return true;
	if (!delete_entries(storage, write->shard, write->truncate_from, *last))
		return false;
	if (*last >= write->truncate_from)
		*last = write->truncate_from - 1;
	return true;
}

/* Writes a new snapshot and deletes the entries up to drop_up_to_index, which it replaces. */
static bool write_snapshot(struct storage *storage, const struct persist *write)
{
	struct snapshot_header header = { write->snapshot_index, write->snapshot_term, write->members_len,
					  write->data_len };
	uint64_t *first = &storage->first_entry_index[write->shard];
	uint64_t last = storage->last_entry_index[write->shard];
	uint8_t *payload = malloc(write->members_len + write->data_len + 1);
	char key[STORAGE_MAX_KEY_BYTES];
	bool written;

	if (!payload)
		abort();
	memcpy(payload, write->members, write->members_len);
	memcpy(payload + write->members_len, write->data, write->data_len);
	snprintf(key, sizeof key, "s/%u", write->shard);
	written = storage_record_put(storage, key, &header, sizeof header, payload,
				     write->members_len + write->data_len);
	free(payload);
	if (!written)
		return false;
	if (*first && !delete_entries(storage, write->shard, *first,
				      write->drop_up_to_index < last ? write->drop_up_to_index : last))
		return false;
	if (*first && *first <= write->drop_up_to_index)
		*first = write->drop_up_to_index + 1;
	return true;
}

static bool append_entries(struct storage *storage, const struct persist *write)
{
	uint64_t *first = &storage->first_entry_index[write->shard];
	uint64_t *last = &storage->last_entry_index[write->shard];
	char key[STORAGE_MAX_KEY_BYTES];

	for (size_t i = 0; i < write->entry_count; i++) {
		const struct persist_entry *entry = &write->entries[i];
		struct entry_header header = { entry->term, entry->kind };

		storage_entry_key(key, sizeof key, write->shard, entry->index);
		if (!storage_record_put(storage, key, &header, sizeof header, entry->data, entry->len))
			return false;
		if (!*first || *first > *last)
			*first = entry->index;
		*last = entry->index;
	}
	return true;
}

static bool write_change(struct storage *storage, const struct persist *write)
{
	return write_vote(storage, write) && truncate_log(storage, write) &&
	       (!write->has_snapshot || write_snapshot(storage, write)) && append_entries(storage, write);
}

/* ---- batches ---- */

static bool write_transaction(struct storage *storage, struct storage_job **jobs, size_t count)
{
	bool written = true;

	if (!storage_transaction_begin(storage))
		return false;
	for (size_t i = 0; i < count && written; i++)
		written = write_change(storage, &jobs[i]->write);
	written = written && storage_total_write(storage);
	if (written)
		written = storage_transaction_commit(
		    storage); /* on an error TDB cancels the transaction, as far as the disk allows */
	else
		tdb_transaction_cancel(storage->database);
	storage->transaction_failed = !written;
	return written;
}

/* Writes all jobs in one transaction, or none of them. */
static bool write_batch(struct storage *storage, struct storage_job **jobs, size_t count)
{
	uint64_t first_before[SHARD_COUNT];
	uint64_t last_before[SHARD_COUNT];
	bool written;

	apr_thread_mutex_lock(storage->mutex);
	memcpy(first_before, storage->first_entry_index, sizeof first_before);
	memcpy(last_before, storage->last_entry_index, sizeof last_before);
	written = write_transaction(storage, jobs, count);
	if (written) {
		storage->sync_count++;
	} else {
		memcpy(storage->first_entry_index, first_before, sizeof first_before);
		memcpy(storage->last_entry_index, last_before, sizeof last_before);
	}
	apr_thread_mutex_unlock(storage->mutex);
	return written;
}

/* Retries a batch until it is synced or the storage is closed. While the disk rejects it, no write is
 * acknowledged, so a leader that waits for the sync steps down. Returns whether the disk rejected an attempt.
 */
static bool write_batch_until_synced(struct storage *storage, struct storage_job **jobs, size_t count)
{
	bool rejected = false;

	while (!storage->stop_requested && !write_batch(storage, jobs, count)) {
		if (!rejected)
			log_write(
			    LOG_ERROR, "storage",
			    "Step write: the disk refuses the batch (%s); it is retried until it succeeds.",
			    storage->database ? tdb_errorstr(storage->database)
					      : "the file cannot be opened");
		rejected = true;
		storage->rejected_write_count++;
		apr_sleep(RETRY_INTERVAL_US);
	}
	return rejected;
}

/* Rewrites the file, because deleted records must not be readable from its freed pages. */
static void erase_deleted_records(struct storage *storage)
{
	bool rewritten;

	apr_thread_mutex_lock(storage->mutex);
	rewritten = storage_file_rewrite(storage);
	apr_thread_mutex_unlock(storage->mutex);
	storage->erase_pending = !rewritten;
	if (!rewritten)
		log_write(
		    LOG_ERROR, "storage",
		    "Step scrub: the database file could not be rewritten; purged records stay in freed pages until the next batch.");
}

/* ---- the writer thread ---- */

/* Returns the milliseconds in the sync delay file; 0 if there is no such file. */
static int64_t read_injected_delay_ms(const struct storage *storage)
{
	FILE *file = storage->sync_delay_file ? fopen(storage->sync_delay_file, "r") : NULL;
	long delay_ms = 0;

	if (!file)
		return 0;
	if (fscanf(file, "%ld", &delay_ms) != 1) /* NOLINT(cert-err34-c): the file is written by a test */
		delay_ms = 0;
	(void)fclose(file);
	return delay_ms;
}

/* Delays a sync for tests. The file is read repeatedly, so that a test can end a delay early. */
static void inject_sync_delay(const struct storage *storage)
{
	int64_t began_at_ms = clock_ms();
	int64_t delay_ms;

	do {
		delay_ms = read_injected_delay_ms(storage);
		if (delay_ms > 0)
			apr_sleep(DELAY_FILE_POLL_US);
	} while (delay_ms > 0 && clock_ms() - began_at_ms < delay_ms && !storage->stop_requested);
}

/* Waits up to JOB_POLL_MS for a job, then takes all queued jobs, MAX_BATCH_JOBS at most. Returns their count.
 */
static size_t take_queued_jobs(struct storage *storage, struct storage_job **jobs)
{
	size_t count;

	jobs[0] = ring_pop(storage->job_queue, JOB_POLL_MS);
	if (!jobs[0])
		return 0;
	for (count = 1; count < MAX_BATCH_JOBS; count++) {
		jobs[count] = ring_pop(storage->job_queue, 0);
		if (!jobs[count])
			break;
	}
	return count;
}

static void acknowledge_job(struct storage *storage, struct storage_job *job)
{
	struct shell_event *event = shell_event_new(SHELL_EVENT_SYNCED);

	event->shard = job->write.shard;
	event->sequence = job->write.seq;
	apr_pool_destroy(job->pool);
	if (storage->stop_requested)
		shell_event_free(event);
	else
		ring_push(storage->events, event, 1);
}

static void *APR_THREAD_FUNC writer_thread(apr_thread_t *thread, void *argument)
{
	struct storage *storage = argument;
	struct storage_job *jobs[MAX_BATCH_JOBS];

	(void)thread;
	while (!storage->stop_requested) {
		size_t count = take_queued_jobs(storage, jobs);
		bool rejected;

		if (!count)
			continue;
		inject_sync_delay(storage);
		rejected = write_batch_until_synced(storage, jobs, count);
		for (size_t i = 0; i < count; i++)
			storage->erase_pending |= jobs[i]->write.erase_deleted_bytes;
		if (storage->erase_pending && !storage->stop_requested)
			erase_deleted_records(storage);
		if (rejected && !storage->stop_requested)
			log_write(LOG_INFO, "storage", "The disk accepts writes again.");
		for (size_t i = 0; i < count; i++)
			acknowledge_job(storage, jobs[i]);
	}
	return NULL;
}

bool storage_writer_start(struct storage *storage, apr_pool_t *pool)
{
	ring_open(&storage->job_queue, MAX_QUEUED_JOBS, pool);
	return apr_thread_create(&storage->thread, NULL, writer_thread, storage, pool) == APR_SUCCESS;
}

void storage_writer_stop(struct storage *storage)
{
	struct storage_job *job;
	apr_status_t status;

	storage->stop_requested = true;
	apr_thread_join(&status, storage->thread);
	while ((job = ring_pop(storage->job_queue, 0)))
		apr_pool_destroy(job->pool);
}

void storage_write(struct storage *storage, const struct persist *write)
{
	struct storage_job *job;
	apr_pool_t *pool;

	apr_pool_create(&pool, NULL);
	job = apr_palloc(pool, sizeof *job);
	job->pool = pool;
	job->write = *write;
	job->write.entries = apr_palloc(pool, (write->entry_count + 1) * sizeof *write->entries);
	for (size_t i = 0; i < write->entry_count; i++) {
		job->write.entries[i] = write->entries[i];
		job->write.entries[i].data =
		    apr_pmemdup(pool, write->entries[i].data, write->entries[i].len + 1);
	}
	if (write->has_snapshot) {
		job->write.members = apr_pmemdup(pool, write->members, write->members_len + 1);
		job->write.data = apr_pmemdup(pool, write->data, write->data_len + 1);
	}
	ring_push(storage->job_queue, job, 1);
}
