/* storage_load: loads and checks the records of a database file.
 * A controller must not vote or lead if it has lost data that it acknowledged. Therefore a file that lacks
 * records is rejected. A file that lacks none must be accepted, or each loss of power would cost a
 * controller. The total record distinguishes the two cases. */
#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "storage_internal.h"

/* The state of one storage_load. */
struct load_context {
	struct storage *storage;
	struct stored_state *state;
	apr_pool_t *pool;        /* for the strings and entries in state */
	const char *damaged_key; /* key of the first damaged record; NULL: none */
	struct raft_entry
	    *entries[SHARD_COUNT]; /* stb_ds; in the order of the file; entry_index() returns the log index */
	bool has_total;
	struct storage_total stored_total;  /* from the total record of the file */
	struct storage_total counted_total; /* computed from the records of the file */
};

/* A record with its body; its checksum is checked before the load functions receive it. */
struct loaded_record {
	const char *key;
	uint8_t *body; /* allocated from the pool of load_context */
	size_t size;   /* of body, in bytes */
};

static bool load_vote(const struct loaded_record *record, struct raft_saved *shard)
{
	struct vote_record vote;

	if (record->size != sizeof vote)
		return false;
	memcpy(&vote, record->body, sizeof vote);
	shard->term = vote.term;
	shard->voted_for = vote.voted_for;
	return true;
}

static bool load_snapshot(const struct loaded_record *record, struct raft_saved *shard)
{
	struct snapshot_header header;

	if (record->size < sizeof header)
		return false;
	memcpy(&header, record->body, sizeof header);
	if (header.members_len + header.data_len != record->size - sizeof header)
		return false;
	shard->snapshot_index = header.snapshot_index;
	shard->snapshot_term = header.snapshot_term;
	shard->members = record->body + sizeof header;
	shard->members_len = header.members_len;
	shard->state = shard->members + header.members_len;
	shard->state_len = header.data_len;
	return true;
}

/* index_text: the end of the key, a slash and the log index. */
static bool load_entry(const struct loaded_record *record, const char *index_text,
		       struct raft_entry **entries)
{
	struct raft_entry entry;
	struct entry_header header;
	uint64_t index;

	if (record->size < sizeof header || *index_text != '/')
		return false;
	memcpy(&header, record->body, sizeof header);
	index = strtoull(index_text + 1, NULL, 10);
	entry.term = header.term;
	entry.kind = (uint32_t)header.kind;
	entry.len = record->size - sizeof header;
	entry.data = record->body + sizeof header;
	memcpy(record->body, &index, sizeof index); /* entry_index returns it */
	arrput(*entries, entry);
	return true;
}

/* Loads a record of a shard, whose key is KIND/SHARD or KIND/SHARD/INDEX. */
static bool load_shard_record(struct load_context *context, const struct loaded_record *record)
{
	unsigned long shard;
	char *key_rest;

	if (strlen(record->key) < 2)
		return false;
	shard = strtoul(record->key + 2, &key_rest, 10);
	if (shard >= SHARD_COUNT)
		return false;
	switch (record->key[0]) {
	case 'm':
		return load_vote(record, &context->state->shards[shard]);
	case 's':
		return load_snapshot(record, &context->state->shards[shard]);
	case 'e':
		return load_entry(record, key_rest, &context->entries[shard]);
	default:
		return false;
	}
}

static bool load_identity(struct load_context *context, const struct loaded_record *record)
{
	struct identity_record identity;

	memcpy(&identity, record->body, sizeof identity);
	context->state->node_id = identity.node_id;
	context->state->fleet_id = identity.fleet_id;
	return true;
}

static bool load_record_body(struct load_context *context, const struct loaded_record *record,
			     uint64_t checksum)
{
	if (strcmp(record->key, STORAGE_TOTAL_KEY) == 0 && record->size == sizeof context->stored_total) {
		memcpy(&context->stored_total, record->body, sizeof context->stored_total);
		context->has_total = true;
		return true;
	}
	if (strlen(record->key) >= STORAGE_MAX_KEY_BYTES)
		return false;
	context->counted_total.record_count++;
	context->counted_total.checksum_sum += checksum;
	storage_checksum_set(context->storage, record->key, checksum);
	if (strcmp(record->key, STORAGE_IDENTITY_KEY) == 0 && record->size == sizeof(struct identity_record))
		return load_identity(context, record);
	return load_shard_record(context, record);
}

static bool check_and_load_record(struct load_context *context, struct loaded_record *record, TDB_DATA value)
{
	uint64_t checksum;

	if (value.dsize < CHECKSUM_BYTES)
		return false;
	memcpy(&checksum, value.dptr, CHECKSUM_BYTES);
	record->size = value.dsize - CHECKSUM_BYTES;
	record->body = apr_palloc(context->pool, record->size + 1);
	memcpy(record->body, value.dptr + CHECKSUM_BYTES, record->size);
	if (checksum != core_hash(core_hash_string(0, record->key), record->body, record->size))
		return false;
	return load_record_body(context, record, checksum);
}

static int load_record(struct tdb_context *database, TDB_DATA key, TDB_DATA value, void *argument)
{
	struct load_context *context = argument;
	struct loaded_record record = { .key = apr_pstrmemdup(context->pool, (char *)key.dptr, key.dsize) };

	(void)database;
	if (check_and_load_record(context, &record, value))
		return 0;
	context->damaged_key = record.key;
	return -1;
}

/* Whether the loaded records are exactly those of the last transaction. tdb_check is too strict for this,
 * because it also checks the space outside records: it fails on a file that lost power while it was extended
 * for a larger transaction, although no record is missing. A file of an early version has no total record and
 * must pass tdb_check. */
static bool is_complete(const struct load_context *context, bool passes_tdb_check)
{
	if (!context->has_total)
		return passes_tdb_check;
	return context->counted_total.record_count == context->stored_total.record_count &&
	       context->counted_total.checksum_sum == context->stored_total.checksum_sum;
}

/* Returns the log index of a loaded entry. The traversal returns entries in no particular order. Until they
 * are sorted, the index of each entry is stored in place of its header, directly before its data, so that
 * loading a log needs no more memory than the log itself. */
static uint64_t entry_index(const struct raft_entry *entry)
{
	uint64_t index;

	memcpy(&index, entry->data - sizeof(struct entry_header), sizeof index);
	return index;
}

static int compare_index(const void *left, const void *right)
{
	uint64_t left_index = entry_index(left);
	uint64_t right_index = entry_index(right);

	if (left_index == right_index)
		return 0;
	return left_index < right_index ? -1 : 1;
}

/* Sorts a shard's entries by log index. Returns an error if there is a gap between two entries, or between
 * the snapshot and the first entry. */
static enum storage_error assemble_log(struct storage *storage, int shard, struct raft_entry *entries,
				       struct raft_saved *saved, uint64_t *missing_index, apr_pool_t *pool)
{
	size_t count = (size_t)arrlen(entries);

	saved->entry_count = count;
	if (!count)
		return STORAGE_OK;
	qsort(entries, count, sizeof *entries, compare_index);
	saved->first_index = entry_index(&entries[0]);
	saved->entries = apr_palloc(pool, count * sizeof *saved->entries);
	for (size_t i = 0; i < count; i++) {
		*missing_index = saved->first_index + i;
		if (entry_index(&entries[i]) != *missing_index)
			return STORAGE_ENTRY_MISSING;
		saved->entries[i] = entries[i];
	}
	storage->first_entry_index[shard] = saved->first_index;
	storage->last_entry_index[shard] = saved->first_index + count - 1;
	if (saved->first_index > saved->snapshot_index + 1)
		return STORAGE_SNAPSHOT_MISSING;
	return STORAGE_OK;
}

static enum storage_error assemble_logs(struct load_context *context, struct storage_failure *failure)
{
	for (int shard = 0; shard < SHARD_COUNT; shard++) {
		struct raft_saved *saved = &context->state->shards[shard];
		enum storage_error error;

		context->state->shard_pointers[shard] = saved;
		failure->shard = shard;
		error = assemble_log(context->storage, shard, context->entries[shard], saved, &failure->index,
				     context->pool);
		if (error != STORAGE_OK)
			return error;
	}
	return STORAGE_OK;
}

static enum storage_error load_all_records(struct load_context *context, bool passes_tdb_check,
					   struct storage_failure *failure)
{
	if (tdb_traverse_read(context->storage->database, load_record, context) < 0 || context->damaged_key) {
		failure->record = context->damaged_key;
		return STORAGE_RECORD_DAMAGED;
	}
	if (!is_complete(context, passes_tdb_check))
		return STORAGE_RECORDS_MISSING;
	return assemble_logs(context, failure);
}

bool storage_load(struct storage *storage, bool passes_tdb_check, struct stored_state *state,
		  struct storage_failure *failure, apr_pool_t *pool)
{
	struct load_context context = { .storage = storage, .state = state, .pool = pool };

	storage_checksums_reset(storage);
	failure->path = storage->database_path;
	failure->error = load_all_records(&context, passes_tdb_check, failure);
	for (int shard = 0; shard < SHARD_COUNT; shard++)
		arrfree(context.entries[shard]);
	return failure->error == STORAGE_OK;
}
