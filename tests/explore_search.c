#include "explore_search.h"

#include <stdlib.h>
#include <string.h>

#include "containers.h"

enum { MAX_CHOICES = 256, MAX_DEPTH = 64 };

static const char *const kind_names[CHOICE_KINDS] = {
	"CHOICE_DELIVER", "CHOICE_DUPLICATE",   "CHOICE_DROP",      "CHOICE_SYNC",    "CHOICE_TICK",
	"CHOICE_WAIT",    "CHOICE_PROPOSE",     "CHOICE_CRASH",     "CHOICE_RESTART", "CHOICE_WIPE",
	"CHOICE_COMPACT", "CHOICE_RECONFIGURE", "CHOICE_STEP_DOWN", "CHOICE_LEAVE",   "CHOICE_END",
};

static const char *const invariant_names[INVARIANTS] = {
	[INVARIANT_NONE] = "INVARIANT_NONE",
	[ONE_LEADER_A_TERM] = "ONE_LEADER_A_TERM",
	[ONE_LEASE_AT_A_TIME] = "ONE_LEASE_AT_A_TIME",
	[LOGS_MATCH] = "LOGS_MATCH",
	[COMMITTED_STAYS] = "COMMITTED_STAYS",
	[COMMIT_NEVER_GOES_BACK] = "COMMIT_NEVER_GOES_BACK",
	[LEADER_HAS_ALL_COMMITTED] = "LEADER_HAS_ALL_COMMITTED",
	[COMMITTED_ON_A_MAJORITY] = "COMMITTED_ON_A_MAJORITY",
	[LEADER_COMMITS_ITS_TERM] = "LEADER_COMMITS_ITS_TERM",
	[APPLIED_IN_ORDER] = "APPLIED_IN_ORDER",
	[READS_ARE_FRESH] = "READS_ARE_FRESH",
	[ONE_VOTE_A_TERM] = "ONE_VOTE_A_TERM",
	[VOTE_IS_ON_DISK] = "VOTE_IS_ON_DISK",
	[ACKNOWLEDGED_IS_ON_DISK] = "ACKNOWLEDGED_IS_ON_DISK",
	[VOTER_KEEPS_WHAT_IT_ACKNOWLEDGED] = "VOTER_KEEPS_WHAT_IT_ACKNOWLEDGED",
	[ENOUGH_VOTERS] = "ENOUGH_VOTERS",
	[ONE_CHANGE_AT_A_TIME] = "ONE_CHANGE_AT_A_TIME",
	[CHANGE_AFTER_OWN_COMMIT] = "CHANGE_AFTER_OWN_COMMIT",
	[DRAINED_IS_NOT_NEEDED] = "LEFT_IS_NOT_NEEDED",
	[ENDED_IS_NOT_NEEDED] = "ENDED_IS_NOT_NEEDED",
};

const char *explore_invariant_name(enum explore_invariant invariant)
{
	return invariant_names[invariant];
}

/* ---- the states seen --------------------------------------------------- */

/* For each state the most choices that remained when it was reached. */
struct visited_states {
	uint64_t *key;
	uint8_t *remaining;
	uint64_t mask, n;
};

static struct visited_states *visited_new(int bits)
{
	struct visited_states *visited = malloc(sizeof *visited);

	if (!visited)
		abort();
	visited->mask = ((uint64_t)1 << bits) - 1;
	visited->n = 0;
	visited->key = calloc(visited->mask + 1, sizeof *visited->key);
	visited->remaining = calloc(visited->mask + 1, 1);
	if (!visited->key || !visited->remaining)
		abort();
	return visited;
}

static void visited_free(struct visited_states *visited)
{
	free(visited->key);
	free(visited->remaining);
	free(visited);
}

static void visited_clear(struct visited_states *visited)
{
	memset(visited->key, 0, (visited->mask + 1) * sizeof *visited->key);
	visited->n = 0;
}

/* Whether a state has to be explored with so many remaining choices. */
static int visited_add(struct visited_states *visited, uint64_t key, int remaining)
{
	uint64_t at;

	key += !key;
	for (at = key & visited->mask; visited->key[at]; at = (at + 1) & visited->mask)
		if (visited->key[at] == key) {
			if (visited->remaining[at] >= remaining)
				return 0;
			visited->remaining[at] = (uint8_t)remaining;
			return 1;
		}
	visited->key[at] = key;
	visited->remaining[at] = (uint8_t)remaining;
	visited->n++;
	return 1;
}

/* ---- all orders ------------------------------------------------------------ */

struct search {
	struct visited_states *visited;
	uint64_t max_states, steps;
	int cut; /* some state was not explored for want of depth */
	int over;
	struct explore_saved *saved[MAX_DEPTH + 1];
	struct explore_path *path;
};

static void search_from(struct search *search, int depth, int remaining)
{
	struct choice choice[MAX_CHOICES];
	size_t n = explore_choices(choice, MAX_CHOICES);

	if (!remaining) {
		search->cut |= n > 0;
		return;
	}
	if (!search->saved[depth])
		search->saved[depth] = explore_saved_new();
	explore_save(search->saved[depth]);
	for (size_t i = 0; i < n && !search->over; i++) {
		search->path->choices[depth] = choice[i];
		(void)explore_do(choice[i]);
		search->steps++;
		if (explore_violation) {
			search->path->choice_count = (size_t)depth + 1;
			search->path->violation = explore_violation;
			search->over = 1;
			return;
		}
		if (visited_add(search->visited, explore_hash(), remaining))
			search_from(search, depth + 1, remaining - 1);
		if (search->visited->n >= search->max_states)
			search->over = 1;
		explore_restore(search->saved[depth]);
	}
}

void explore_all(enum explore_scene scene, uint64_t max_states, int max_depth, int table_bits,
		 struct explore_path *path, struct explore_stats *stats)
{
	struct search search = { .visited = visited_new(table_bits), .max_states = max_states, .path = path };

	memset(stats, 0, sizeof *stats);
	path->scene = scene;
	path->violation = INVARIANT_NONE;
	path->choice_count = 0;
	for (int depth = 1; depth <= max_depth && depth <= MAX_DEPTH && !stats->complete; depth++) {
		visited_clear(search.visited);
		search.cut = 0;
		explore_begin(scene);
		if (explore_violation) {
			path->violation = explore_violation;
			break;
		}
		search_from(&search, 0, depth);
		stats->states = search.visited->n;
		if (search.over)
			break;
		stats->depth = depth;
		stats->complete = !search.cut;
	}
	stats->steps = search.steps;
	for (int i = 0; i <= MAX_DEPTH; i++)
		free(search.saved[i]);
	visited_free(search.visited);
}

/* ---- random paths ------------------------------------------------------------ */

/* How replicas and links behave for a while. */
struct episode {
	int remaining;
	uint8_t cell[EXPLORE_NODES]; /* replicas receive only from those in the same cell */
	uint8_t frozen[EXPLORE_NODES];
	int in_order;
	uint16_t weight[CHOICE_KINDS], total;
};

static const uint16_t calm_weights[CHOICE_KINDS] = {
	[CHOICE_DELIVER] = 430,  [CHOICE_SYNC] = 220,   [CHOICE_TICK] = 150,       [CHOICE_WAIT] = 80,
	[CHOICE_PROPOSE] = 30,   [CHOICE_COMPACT] = 20, [CHOICE_RECONFIGURE] = 15, [CHOICE_RESTART] = 30,
	[CHOICE_DUPLICATE] = 10, [CHOICE_DROP] = 10,    [CHOICE_STEP_DOWN] = 1,
};

static uint64_t random_next(uint64_t *state)
{
	uint64_t x = *state += 0x9e3779b97f4a7c15ull;

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
	return x ^ (x >> 31);
}

static int below(uint64_t *state, int n)
{
	return (int)(random_next(state) % (uint64_t)n);
}

static void choose_links(struct episode *episode, uint64_t *state)
{
	int nodes = explore_world.node_count, alone = below(state, nodes);

	switch (below(state, 6)) {
	case 0:
		episode->cell[alone] = 1;
		break;
	case 1:
		episode->frozen[alone] = 1;
		break;
	case 2:
		for (int i = 0; i < nodes; i++)
			episode->cell[i] = (uint8_t)below(state, 2);
		break;
	default:
		break;
	}
}

static void episode_begin(struct episode *episode, uint64_t *state)
{
	memset(episode, 0, sizeof *episode);
	episode->remaining = 5 + below(state, 50);
	episode->in_order = below(state, 3) > 0;
	choose_links(episode, state);
	memcpy(episode->weight, calm_weights, sizeof calm_weights);
	if (!below(state, 5))
		episode->weight[CHOICE_SYNC] /= 4;
	if (!below(state, 3)) /* much happens in little time */
		episode->weight[CHOICE_WAIT] /= 8;
	if (!below(state, 3)) {
		episode->weight[CHOICE_CRASH] = 30;
		episode->weight[CHOICE_WIPE] = 3;
		episode->weight[CHOICE_STEP_DOWN] = 10;
		episode->weight[CHOICE_DRAIN] = 10;
		episode->weight[CHOICE_END] = 30;
	}
	for (int kind = 0; kind < CHOICE_KINDS; kind++)
		episode->total = (uint16_t)(episode->total + episode->weight[kind]);
}

static int awake(const struct episode *episode, int node)
{
	return explore_world.replica[node].is_up && !episode->frozen[node];
}

static struct choice choose_delivery(const struct episode *episode, uint64_t *state, int kind)
{
	const struct explore_world *world = &explore_world;
	struct choice choice = { CHOICE_KINDS, 0, 0, 0 };
	uint32_t from = world->message_count ? (uint32_t)below(state, (int)world->message_count) : 0;

	if (episode->in_order)
		from = 0;
	for (uint32_t k = 0; k < world->message_count; k++) {
		const struct explore_message *message = &world->messages[(from + k) % world->message_count];

		if (!awake(episode, message->to) ||
		    episode->cell[message->from] != episode->cell[message->to])
			continue;
		choice = (struct choice){ (uint8_t)kind, message->to, message->from, 0 };
		for (const struct explore_message *explore_message = world->messages;
		     explore_message < message; explore_message++)
			choice.arg +=
			    explore_message->from == message->from && explore_message->to == message->to;
		break;
	}
	return choice;
}

static int choose_kind(const struct episode *episode, uint64_t *state)
{
	int roll = below(state, episode->total), kind = 0;

	while (roll >= episode->weight[kind])
		roll -= episode->weight[kind++];
	return kind;
}

static struct choice choose(const struct episode *episode, uint64_t *state)
{
	static const uint16_t waits[] = { 10, 50, 150, 150, 150, 150, 300, 450, 600, 700, 1600 };
	int kind = choose_kind(episode, state), node = below(state, explore_world.node_count);
	struct choice choice = { (uint8_t)kind, (uint8_t)node, 0, 0 };

	switch (kind) {
	case CHOICE_DELIVER:
	case CHOICE_DUPLICATE:
	case CHOICE_DROP:
		return choose_delivery(episode, state, kind);
	case CHOICE_WAIT:
		return (struct choice){ CHOICE_WAIT, 0, 0,
					waits[below(state, sizeof waits / sizeof *waits)] };
	case CHOICE_RECONFIGURE:
		choice.arg = (uint16_t)below(state, 2);
		break;
	case CHOICE_CRASH:
		choice.arg = (uint16_t)below(state, 3);
		break;
	default:
		break;
	}
	if (kind != CHOICE_RESTART && kind != CHOICE_WIPE && !awake(episode, node))
		choice.kind = CHOICE_KINDS;
	return choice;
}

void explore_random(enum explore_scene scene, uint64_t seed, int choices, struct explore_path *path,
		    struct explore_stats *stats)
{
	struct episode episode = { 0 };
	uint64_t state = seed;

	path->scene = scene;
	path->choice_count = 0;
	explore_begin(scene);
	for (int i = 0;
	     i < choices && !explore_violation && !explore_exhausted() && path->choice_count < EXPLORE_PATH;
	     i++) {
		struct choice choice;

		if (episode.remaining-- <= 0)
			episode_begin(&episode, &state);
		choice = choose(&episode, &state);
		if (choice.kind == CHOICE_KINDS || !explore_do(choice))
			continue;
		path->choices[path->choice_count++] = choice;
		stats->steps++;
	}
	path->violation = explore_violation;
}

/* ---- a failing path ----------------------------------------------------------- */

static int still_breaks(const struct explore_path *path)
{
	return explore_replay(path->scene, path->choices, path->choice_count) == path->violation;
}

/* Try to leave out each run of `size` choices. */
static int leave_out(struct explore_path *path, size_t size)
{
	int shorter = 0;

	for (size_t at = path->choice_count; at-- > 0;) {
		static struct explore_path tried;
		size_t gone = path->choice_count - at < size ? path->choice_count - at : size;

		tried = *path;
		memmove(tried.choices + at, tried.choices + at + gone,
			(tried.choice_count - at - gone) * sizeof *tried.choices);
		tried.choice_count -= gone;
		if (!still_breaks(&tried))
			continue;
		*path = tried;
		shorter = 1;
	}
	return shorter;
}

/* Without what comes after the violation, and without what was not possible anyway. */
static void keep_possible(struct explore_path *path)
{
	size_t kept = 0;

	explore_begin(path->scene);
	for (size_t i = 0; i < path->choice_count && !explore_violation; i++)
		if (explore_do(path->choices[i]))
			path->choices[kept++] = path->choices[i];
	path->choice_count = kept;
}

void explore_minimize(struct explore_path *path)
{
	int shorter = 1;

	for (size_t size = path->choice_count / 2; size > 1; size /= 2)
		(void)leave_out(path, size);
	while (shorter) {
		keep_possible(path);
		shorter = leave_out(path, 2) | leave_out(path, 1);
	}
	keep_possible(path);
}

void explore_print(const struct explore_path *path, FILE *file)
{
	(void)explore_replay(path->scene, path->choices, path->choice_count);
	fprintf(file, "/* %s: %s */\n", invariant_names[explore_violation], explore_violation_text);
	fprintf(
	    file,
	    "static void path_breaks_nothing(void **state)\n{\n\tstatic const struct choice path[] = {\n");
	for (size_t i = 0; i < path->choice_count; i++)
		fprintf(file, "\t\t{ %s, %d, %d, %d },\n", kind_names[path->choices[i].kind],
			path->choices[i].node, path->choices[i].from, path->choices[i].arg);
	fprintf(file, "\t};\n\n\t(void)state;\n");
	fprintf(
	    file,
	    "\tassert_int_equal(explore_replay(SCENE_%s, path, sizeof path / sizeof *path), INVARIANT_NONE);\n}\n",
	    explore_scene_name(path->scene));
}
