#include "explore.h"

#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "containers.h"
#include "explore_check.h"

enum {
	FIRST_ADDR = 100,
	OPERATION_BYTES = 4,
	RESERVED_COMMANDS = 64,
	MAX_BLOBS = 1 << 22,
	MAX_BYTES = 1 << 16
};

/* Every random number of the replicated log is 0: the order of ticks, which is chosen, decides who is first.
 * Only the incarnation has to differ, and leaves no remainder modulo the spans that random delays are drawn
 * from. */
enum { RANDOM_SPAN = 2100 };

struct explore_world explore_world;
enum explore_invariant explore_violation;
char explore_violation_text[256];

static struct explore_heap heaps[EXPLORE_NODES];
static struct raft *rafts[EXPLORE_NODES];
static struct command_list out;
static uint64_t next_random;

struct explore_saved {
	struct explore_world world;
	struct raft *rafts[EXPLORE_NODES];
	struct explore_heap heaps[EXPLORE_NODES];
};

/* NOLINTNEXTLINE(bugprone-reserved-identifier,cert-dcl37-c,cert-dcl51-cpp): the linker's --wrap asks for this
 * name */
uint64_t __wrap_core_random(uint64_t *state);

uint64_t __wrap_core_random(uint64_t *state)
{
	(void)state;
	return next_random;
}

struct raft *explore_raft(int node)
{
	return rafts[node];
}

/* ---- interned byte strings ---------------------------------------------- */

struct blob {
	size_t len;
	uint64_t hash;
	uint8_t *data;
};

static struct blob *blobs;   /* stb_ds */
static uint32_t *blob_slots; /* number of the blob plus one */

uint32_t explore_intern(const void *data, size_t n)
{
	uint64_t hash = XXH3_64bits(data, n);
	size_t slot = hash % (2 * MAX_BLOBS);
	struct blob blob = { n, hash, NULL };

	if (!blob_slots) {
		blob_slots = calloc(2 * MAX_BLOBS, sizeof *blob_slots);
		if (!blob_slots)
			abort();
	}
	for (; blob_slots[slot]; slot = (slot + 1) % (2 * MAX_BLOBS)) {
		const struct blob *other = &blobs[blob_slots[slot] - 1];

		if (other->hash == hash && other->len == n && !memcmp(other->data, data, n))
			return blob_slots[slot] - 1;
	}
	if (arrlen(blobs) == MAX_BLOBS) {
		fprintf(stderr, "explore: too many messages and writes that differ\n");
		abort();
	}
	blob.data = malloc(n + 1);
	if (!blob.data)
		abort();
	if (n)
		memcpy(blob.data, data, n);
	arrput(blobs, blob);
	blob_slots[slot] = (uint32_t)arrlen(blobs);
	return blob_slots[slot] - 1;
}

const uint8_t *explore_blob(uint32_t blob, size_t *n)
{
	*n = blobs[blob].len;
	return blobs[blob].data;
}

/* ---- the disk ------------------------------------------------------------- */

struct disk_write {
	uint64_t seq, term, vote, cut, base, base_term, drop, first;
	uint32_t snapshot, members, data, entry_count;
	struct explore_disk_entry entries[EXPLORE_ENTRIES];
};

static void queue_write(struct explore_replica *replica, const struct persist *persist)
{
	struct disk_write write;

	if (replica->write_count == EXPLORE_WRITES) {
		fprintf(stderr, "explore: too many writes wait for the disk\n");
		abort();
	}
	memset(&write, 0, sizeof write);
	write.seq = persist->seq;
	write.term = persist->term;
	write.vote = persist->vote;
	write.cut = persist->truncate_from;
	if (persist->has_snapshot) {
		write.snapshot = 1;
		write.base = persist->snapshot_index;
		write.base_term = persist->snapshot_term;
		write.drop = persist->drop_up_to_index;
		write.members = explore_intern(persist->members, persist->members_len);
		write.data = explore_intern(persist->data, persist->data_len);
	}
	write.entry_count = (uint32_t)persist->entry_count;
	write.first = persist->entry_count ? persist->entries[0].index : 0;
	for (uint32_t i = 0; i < write.entry_count; i++)
		write.entries[i] =
		    (struct explore_disk_entry){ persist->entries[i].term, persist->entries[i].kind,
						 explore_intern(persist->entries[i].data,
								persist->entries[i].len) };
	replica->writes[replica->write_count++] = explore_intern(
	    &write, offsetof(struct disk_write, entries) + write.entry_count * sizeof *write.entries);
}

static void disk_cut(struct explore_disk *disk, uint64_t from)
{
	while (disk->entry_count && disk->first_index + disk->entry_count - 1 >= from)
		memset(&disk->entries[--disk->entry_count], 0, sizeof *disk->entries);
}

static void disk_drop(struct explore_disk *disk, uint64_t up_to)
{
	uint32_t gone = 0;

	while (gone < disk->entry_count && disk->first_index + gone <= up_to)
		gone++;
	disk->entry_count -= gone;
	memmove(disk->entries, disk->entries + gone, disk->entry_count * sizeof *disk->entries);
	memset(disk->entries + disk->entry_count, 0, gone * sizeof *disk->entries);
	disk->first_index += gone;
	if (!disk->entry_count)
		disk->first_index = up_to + 1;
}

/* The oldest write reaches the disk; its number. */
static uint64_t disk_write_one(int node)
{
	struct explore_replica *replica = &explore_world.replica[node];
	struct explore_disk *disk = &replica->disk;
	size_t n;
	const struct disk_write *write =
	    (const struct disk_write *)(const void *)explore_blob(replica->writes[0], &n);

	memmove(replica->writes, replica->writes + 1, --replica->write_count * sizeof *replica->writes);
	replica->writes[replica->write_count] = 0;
	disk->term = write->term;
	disk->vote = write->vote;
	if (write->cut)
		disk_cut(disk, write->cut);
	if (write->snapshot) {
		disk->members = write->members;
		disk->data = write->data;
		disk->snapshot_index = write->base;
		disk->snapshot_term = write->base_term;
		disk_drop(disk, write->drop);
	}
	for (uint32_t i = 0; i < write->entry_count; i++) {
		disk_cut(disk, write->first + i);
		if (!disk->entry_count)
			disk->first_index = write->first + i;
		disk->entries[disk->entry_count++] = write->entries[i];
	}
	check_disk(node);
	return write->seq;
}

/* ---- messages ------------------------------------------------------------- */

int explore_node_at(uint64_t addr)
{
	return addr >= FIRST_ADDR && addr < FIRST_ADDR + (uint64_t)explore_world.node_count
		   ? (int)(addr - FIRST_ADDR)
		   : -1;
}

static void remove_message(uint32_t at)
{
	struct explore_world *world = &explore_world;

	memmove(world->messages + at, world->messages + at + 1,
		(--world->message_count - at) * sizeof *world->messages);
	memset(&world->messages[world->message_count], 0, sizeof *world->messages);
}

/* The same message twice in flight is one: a second delivery is a duplicate. */
static void send_message(int node, const struct command *cmd)
{
	struct explore_world *world = &explore_world;
	static uint8_t bytes[MAX_BYTES];
	struct explore_message message = { 0, (uint8_t)node, 0, 0 };
	int to = explore_node_at(cmd->args.send.addr);

	check_message(node, cmd);
	if (to < 0 || to == node || nl__msg__get_packed_size(cmd->args.send.msg) > MAX_BYTES)
		return;
	message.to = (uint8_t)to;
	message.blob = explore_intern(bytes, nl__msg__pack(cmd->args.send.msg, bytes));
	for (uint32_t i = 0; i < world->message_count; i++)
		if (!memcmp(&world->messages[i], &message, sizeof message))
			return;
	if (world->message_count == EXPLORE_IN_FLIGHT)
		remove_message(0); /* the oldest is lost */
	world->messages[world->message_count++] = message;
}

static int find_message(const struct choice *choice)
{
	uint32_t nth = 0;

	for (uint32_t i = 0; i < explore_world.message_count; i++)
		if (explore_world.messages[i].to == choice->node &&
		    explore_world.messages[i].from == choice->from && nth++ == choice->arg)
			return (int)i;
	return -1;
}

/* ---- steps ------------------------------------------------------------------ */

static void rehash(int node)
{
	struct explore_replica *replica = &explore_world.replica[node];
	uint64_t raft = rafts[node] ? explore_heap_hash(&heaps[node], rafts[node], explore_world.now) : 0;

	replica->hash = 0;
	replica->hash = XXH3_64bits_withSeed(replica, sizeof *replica, raft);
}

static struct command_list *step_begin(int node)
{
	if (!out.pool) {
		apr_initialize();
		apr_pool_create(&out.pool, NULL);
		arrsetcap(out.commands, RESERVED_COMMANDS);
	}
	out.id = explore_world.replica[node].identity;
	out.addr = FIRST_ADDR + (uint64_t)node;
	out.fleet = 1;
	explore_heap_select(&heaps[node]);
	return &out;
}

static void load_machine(int node)
{
	struct explore_machine *machine = &explore_world.replica[node].machine;
	struct raft *raft = rafts[node];

	memset(machine, 0, sizeof *machine);
	machine->applied = raft->snapshots.newest.index;
	machine->operation_count = (uint32_t)(raft->snapshots.newest.state_len / OPERATION_BYTES);
	if (raft->snapshots.newest.state_len)
		memcpy(machine->operations, raft->snapshots.newest.state, raft->snapshots.newest.state_len);
	raft->snapshots.must_load_newest = 0;
	check_loaded(node);
}

static void apply_committed(int node)
{
	struct explore_machine *machine = &explore_world.replica[node].machine;
	const struct raft_entry *entry;
	uint64_t index;

	while ((entry = raft_next_committed(rafts[node], &index))) {
		machine->applied = index;
		memcpy(&machine->operations[machine->operation_count++], entry->data, OPERATION_BYTES);
		check_applied(node, index, entry);
	}
	machine->applied = rafts[node]->log.applied_index;
}

static void step_end(int node)
{
	struct raft *raft = rafts[node];

	if (raft->snapshots.must_load_newest)
		load_machine(node);
	apply_committed(node);
	raft_flush(raft, explore_world.now, &out);
	explore_heap_select(NULL);
	for (ptrdiff_t i = 0; i < arrlen(out.commands); i++) {
		if (out.commands[i].kind == CMD_PERSIST)
			queue_write(&explore_world.replica[node], out.commands[i].args.persist);
		else if (out.commands[i].kind == CMD_SEND)
			send_message(node, &out.commands[i]);
	}
	command_list_clear(&out);
	check_replica(node);
	check_leases();
	rehash(node);
}

static void deliver(int node, uint32_t blob)
{
	struct command_list *o = step_begin(node);
	size_t n;
	const uint8_t *bytes = explore_blob(blob, &n);
	struct Nl__Msg *message =
	    (struct Nl__Msg *)core_unpack_message(o->pool, &nl__msg__descriptor, n, bytes);

	raft_receive(rafts[node], message, explore_world.now, o);
	step_end(node);
}

static struct raft_entry *saved_entries(const struct explore_disk *disk)
{
	static struct raft_entry entries[EXPLORE_ENTRIES];

	for (uint32_t i = 0; i < disk->entry_count; i++) {
		size_t n;
		const uint8_t *d = explore_blob(disk->entries[i].blob, &n);

		entries[i] = (struct raft_entry){ disk->entries[i].term, disk->entries[i].kind, n,
						  (uint8_t *)(uintptr_t)d };
	}
	return entries;
}

static void open_replica(int node)
{
	struct explore_replica *replica = &explore_world.replica[node];
	const struct explore_disk *disk = &replica->disk;
	struct raft_saved saved = { .term = disk->term,
				    .voted_for = disk->vote,
				    .snapshot_index = disk->snapshot_index,
				    .snapshot_term = disk->snapshot_term };

	if (disk->snapshot_index) {
		saved.members = explore_blob(disk->members, &saved.members_len);
		saved.state = explore_blob(disk->data, &saved.state_len);
	}
	saved.first_index = disk->first_index;
	saved.entries = saved_entries(disk);
	saved.entry_count = disk->entry_count;
	replica->is_up = 1;
	replica->commit = replica->led_term = replica->members_index = 0;
	replica->member_count = 0;
	memset(&replica->machine, 0, sizeof replica->machine);
	explore_heap_reset(&heaps[node]);
	(void)step_begin(node);
	rafts[node] = malloc(sizeof *rafts[node]);
	next_random = (uint64_t)RANDOM_SPAN * (1000u * replica->identity + ++replica->incarnations) << 20;
	raft_open(rafts[node], 0, replica->identity, 1, disk->term ? &saved : NULL, explore_world.now);
	rafts[node]->group.member_lost_ms = EXPLORE_LOST_MS;
	next_random = 0;
	step_end(node);
}

void explore_open_all(void)
{
	for (int i = 0; i < EXPLORE_NODES; i++) {
		explore_heap_reset(&heaps[i]);
		rafts[i] = NULL;
	}
	for (int i = 0; i < explore_world.node_count; i++)
		open_replica(i);
}

void explore_bootstrap(int voters)
{
	struct raft_member members[EXPLORE_NODES];

	memset(members, 0, sizeof members);
	for (int i = 0; i < voters; i++) {
		members[i].id = explore_world.replica[i].identity;
		members[i].addr = FIRST_ADDR + (uint64_t)i;
		members[i].voter = 1;
	}
	for (int i = 0; i < voters; i++) {
		(void)step_begin(i);
		raft_bootstrap(rafts[i], members, voters, explore_world.now);
		step_end(i);
	}
}

static void crash(int node, int written)
{
	struct explore_replica *replica = &explore_world.replica[node];

	for (int i = 0; i < written; i++)
		(void)disk_write_one(node);
	replica->write_count = 0;
	memset(replica->writes, 0, sizeof replica->writes);
	memset(&replica->machine, 0, sizeof replica->machine);
	replica->is_up = 0;
	explore_heap_reset(&heaps[node]);
	rafts[node] = NULL;
	rehash(node);
}

static void wipe(int node)
{
	struct explore_replica *replica = &explore_world.replica[node];

	memset(&replica->disk, 0, sizeof replica->disk);
	replica->identity = ++explore_world.identity_count;
	open_replica(node);
}

/* A draining member that may stop ends for good; another machine may come up in its place. */
static void end_replica(int node)
{
	struct explore_replica *replica = &explore_world.replica[node];

	explore_world.history.ended[replica->identity] = 1;
	crash(node, 0);
	memset(&replica->disk, 0, sizeof replica->disk);
	replica->identity = ++explore_world.identity_count;
	rehash(node);
	check_ended();
}

static void propose(int node)
{
	uint32_t operation = ++explore_world.operation_count;

	(void)step_begin(node);
	(void)raft_propose(rafts[node], (const uint8_t *)&operation, OPERATION_BYTES, explore_world.now);
	step_end(node);
}

static void compact(int node)
{
	const struct explore_machine *machine = &explore_world.replica[node].machine;

	(void)step_begin(node);
	rafts[node]->snapshots.drop_log_tail = 1;
	raft_take_snapshot(rafts[node], (const uint8_t *)machine->operations,
			   machine->operation_count * OPERATION_BYTES);
	step_end(node);
}

static void reconfigure(int node, int only_up)
{
	struct raft_member live[EXPLORE_NODES];
	int n = 0;

	memset(live, 0, sizeof live);
	for (int i = 0; i < explore_world.node_count; i++) {
		if (only_up && !explore_world.replica[i].is_up)
			continue;
		live[n].id = explore_world.replica[i].identity;
		live[n++].addr = FIRST_ADDR + (uint64_t)i;
	}
	(void)step_begin(node);
	raft_reconfigure(rafts[node], live, n, explore_world.now);
	step_end(node);
}

static void wait_ms(int ms)
{
	explore_world.now += ms;
	for (int i = 0; i < explore_world.node_count; i++)
		rehash(i);
	check_leases();
}

/* Only a voter's end is a matter of the group: a learner's copy counts for nothing yet. */
static int may_end(int node)
{
	const struct raft *raft = rafts[node];
	int voter = 0;

	for (int i = 0; i < raft->group.member_count; i++)
		voter |= raft->group.members[i].id == raft->id && raft->group.members[i].voter;
	return voter && raft->drain.requested && raft_may_stop(raft, explore_world.now) &&
	       explore_world.identity_count + 1 < EXPLORE_IDENTITIES;
}

static int possible(const struct choice *choice)
{
	const struct explore_replica *replica = &explore_world.replica[choice->node];

	if (choice->kind == CHOICE_WAIT)
		return 1;
	if (choice->node >= explore_world.node_count)
		return 0;
	switch (choice->kind) {
	case CHOICE_DROP:
		return find_message(choice) >= 0;
	case CHOICE_RESTART:
		return !replica->is_up;
	case CHOICE_WIPE:
		return !replica->is_up && explore_world.identity_count + 1 < EXPLORE_IDENTITIES;
	default:
		break;
	}
	if (!replica->is_up)
		return 0;
	switch (choice->kind) {
	case CHOICE_DELIVER:
	case CHOICE_DUPLICATE:
		return find_message(choice) >= 0;
	case CHOICE_END:
		return may_end(choice->node);
	case CHOICE_SYNC:
		return replica->write_count > 0;
	case CHOICE_CRASH:
		return choice->arg <= replica->write_count;
	case CHOICE_COMPACT:
		return rafts[choice->node]->log.applied_index > rafts[choice->node]->snapshots.newest.index;
	case CHOICE_PROPOSE:
	case CHOICE_RECONFIGURE:
	case CHOICE_STEP_DOWN:
		return rafts[choice->node]->role == RAFT_LEADER;
	default:
		return 1;
	}
}

static void perform_on_message(const struct choice *choice)
{
	int at = find_message(choice);
	uint32_t blob = explore_world.messages[at].blob;

	if (choice->kind != CHOICE_DUPLICATE)
		remove_message((uint32_t)at);
	if (choice->kind != CHOICE_DROP)
		deliver(choice->node, blob);
}

static void sync_oldest(int node)
{
	uint64_t seq = disk_write_one(node);

	raft_synced(rafts[node], seq, explore_world.now, step_begin(node));
	step_end(node);
}

static void drain(int node)
{
	(void)step_begin(node);
	raft_drain(rafts[node], explore_world.now);
	step_end(node);
}

static void perform(const struct choice *choice)
{
	int node = choice->node;

	switch (choice->kind) {
	case CHOICE_DELIVER:
	case CHOICE_DUPLICATE:
	case CHOICE_DROP:
		perform_on_message(choice);
		break;
	case CHOICE_SYNC:
		sync_oldest(node);
		break;
	case CHOICE_TICK:
		raft_tick(rafts[node], explore_world.now, step_begin(node));
		step_end(node);
		break;
	case CHOICE_WAIT:
		wait_ms(choice->arg);
		break;
	case CHOICE_PROPOSE:
		propose(node);
		break;
	case CHOICE_CRASH:
		crash(node, choice->arg);
		break;
	case CHOICE_RESTART:
		open_replica(node);
		break;
	case CHOICE_WIPE:
		wipe(node);
		break;
	case CHOICE_COMPACT:
		compact(node);
		break;
	case CHOICE_RECONFIGURE:
		reconfigure(node, choice->arg);
		break;
	case CHOICE_DRAIN:
		drain(node);
		break;
	case CHOICE_END:
		end_replica(node);
		break;
	case CHOICE_STEP_DOWN:
		raft_step_down(rafts[node], explore_world.now, step_begin(node));
		step_end(node);
		break;
	default:
		break;
	}
}

/* What only happens now and then, other than messages, writes and time. */
static int is_rare(int kind)
{
	switch (kind) {
	case CHOICE_DUPLICATE:
	case CHOICE_PROPOSE:
	case CHOICE_CRASH:
	case CHOICE_WIPE:
	case CHOICE_COMPACT:
	case CHOICE_RECONFIGURE:
	case CHOICE_STEP_DOWN:
	case CHOICE_DRAIN:
	case CHOICE_END:
		return 1;
	default:
		return 0;
	}
}

int explore_do(struct choice choice)
{
	if (choice.kind >= CHOICE_KINDS || !possible(&choice))
		return 0;
	perform(&choice);
	if (explore_world.budget[choice.kind] && explore_world.budget[choice.kind] != EXPLORE_UNLIMITED)
		explore_world.budget[choice.kind]--;
	if (explore_world.rare_budget && is_rare(choice.kind))
		explore_world.rare_budget--;
	return 1;
}

/* ---- enumeration ------------------------------------------------------------- */

/* The spans that decide: a heartbeat, a lease without its margin, a vote barrier. */
static const uint16_t waits[] = { RAFT_HEARTBEAT_INTERVAL_MS, RAFT_LEASE_MS - RAFT_LEASE_MARGIN_MS,
				  RAFT_ELECTION_TIMEOUT_MS };

struct choice_list {
	struct choice *choices;
	size_t count, limit;
};

static void add(struct choice_list *list, int kind, int node, int from, int arg)
{
	struct choice choice = { (uint8_t)kind, (uint8_t)node, (uint8_t)from, (uint16_t)arg };

	if (is_rare(kind) && !explore_world.rare_budget)
		return;
	if (list->count < list->limit && explore_world.budget[kind] && possible(&choice))
		list->choices[list->count++] = choice;
}

static void add_deliveries(struct choice_list *list)
{
	for (int to = 0; to < explore_world.node_count; to++)
		for (int from = 0; from < explore_world.node_count; from++)
			for (int nth = 0; find_message(&(struct choice){ 0, (uint8_t)to, (uint8_t)from,
									 (uint16_t)nth }) >= 0;
			     nth++) {
				add(list, CHOICE_DELIVER, to, from, nth);
				add(list, CHOICE_DUPLICATE, to, from, nth);
			}
}

size_t explore_choices(struct choice *choice, size_t limit)
{
	struct choice_list list = { choice, 0, limit };

	if (explore_exhausted())
		return 0;
	add_deliveries(&list);
	for (int node = 0; node < explore_world.node_count; node++) {
		for (int kind = CHOICE_SYNC; kind < CHOICE_KINDS; kind++)
			if (kind != CHOICE_WAIT)
				add(&list, kind, node, 0, 0);
		if (explore_world.replica[node].write_count)
			add(&list, CHOICE_CRASH, node, 0, explore_world.replica[node].write_count);
		add(&list, CHOICE_RECONFIGURE, node, 0, 1);
	}
	for (size_t i = 0; i < sizeof waits / sizeof *waits; i++)
		add(&list, CHOICE_WAIT, 0, 0, waits[i]);
	return list.count;
}

int explore_exhausted(void)
{
	for (int i = 0; i < explore_world.node_count; i++) {
		const struct raft *raft = rafts[i];

		if (raft &&
		    (raft->term + 4 >= EXPLORE_TERMS ||
		     raft->log.base_index + (uint64_t)arrlen(raft->log.entries) + 4 >= EXPLORE_ENTRIES))
			return 1;
		if (explore_world.replica[i].write_count + 2 >= EXPLORE_WRITES ||
		    explore_world.replica[i].incarnations > 200)
			return 1;
	}
	return 0;
}

uint64_t explore_hash(void)
{
	struct explore_world *world = &explore_world;
	uint64_t sum = XXH3_64bits(&world->history, sizeof world->history) ^
		       XXH3_64bits_withSeed(world->budget, sizeof world->budget,
					    world->operation_count * 256u + world->rare_budget);

	for (uint32_t i = 0; i < world->message_count; i++)
		sum += XXH3_64bits(&world->messages[i], sizeof *world->messages);
	for (int i = 0; i < world->node_count; i++)
		sum = (sum ^ world->replica[i].hash) * 0x9e3779b97f4a7c15ull;
	return sum;
}

struct explore_saved *explore_saved_new(void)
{
	struct explore_saved *saved = malloc(sizeof *saved);

	if (!saved)
		abort();
	return saved;
}

void explore_save(struct explore_saved *saved)
{
	saved->world = explore_world;
	memcpy(saved->rafts, rafts, sizeof rafts);
	for (int i = 0; i < explore_world.node_count; i++)
		explore_heap_copy(&saved->heaps[i], &heaps[i]);
}

void explore_restore(const struct explore_saved *saved)
{
	explore_world = saved->world;
	memcpy(rafts, saved->rafts, sizeof rafts);
	for (int i = 0; i < explore_world.node_count; i++)
		explore_heap_copy(&heaps[i], &saved->heaps[i]);
}

enum explore_invariant explore_replay(enum explore_scene scene, const struct choice *path, size_t n)
{
	explore_begin(scene);
	for (size_t i = 0; i < n && !explore_violation && !explore_exhausted(); i++)
		(void)explore_do(path[i]);
	return explore_violation;
}
