#include "rollout_pace.h"

#include <stdlib.h>

#include "ds.h"
#include "mechanism.h"
#include "naming.h"

void rollout_pace_learn(struct controller *r, const struct rollout_server *s, const char *model, int64_t now)
{
	struct rollout_pace *m;
	int ms = (int)(now - s->ordered_at);

	if (shgeti(r->rollout.models, model) < 0 || s->state != ROLLOUT_LOADING || !s->ordered_at)
		return;
	m = &shgetp(r->rollout.models, model)->value;
	if (s->beside <= m->base) {
		m->base_ms = m->base_ms ? (3 * m->base_ms + ms) / 4 : ms;
		return;
	}
	m->more_ms = m->more_ms ? (m->more_ms + ms) / 2 : ms;
	m->more++;
	if (m->base_ms && m->more_ms > m->base_ms + m->base_ms / 4) {
		m->many = 1;
		m->room = m->base;
	} else if (!m->many && m->more % (2 * m->room) == 0 && s->beside >= m->room) {
		m->room++;
	}
}

static int64_t load_ms(const struct controller *r, const struct rollout_pace *m)
{
	return m->base_ms ? m->base_ms : r->b.roll_ms / 10;
}

static int64_t notice_ms(const struct controller *r, const struct rollout_pace *m)
{
	int64_t ms = load_ms(r, m) / ROLLOUT_NOTICE_PART;

	if (!mechanism_on(r->b.without, MECHANISM_RETAIN))
		return 0;
	return ms < ROLLOUT_NOTICE_MOST ? ms : ROLLOUT_NOTICE_MOST;
}

int64_t rollout_notice_ms(const struct controller *r, const char *model, int64_t due, int64_t now)
{
	struct rollout_model *models = r->rollout.models;
	ptrdiff_t k = shgeti(models, model);
	struct rollout_pace none = { 0 };
	const struct rollout_pace *m = k >= 0 ? &models[k].value : &none;
	int64_t reserve = (int64_t)r->b.roll_ms * (100 - ROLLOUT_PLAN) / 100;

	return due == INT64_MIN || now + 2 * load_ms(r, m) > due - reserve ? 0 : notice_ms(r, m);
}

int64_t rollout_due_at(const struct controller *r, const struct Nl__Row *model, const char *weights)
{
	const struct Nl__Naming *newer = naming_after(model, strtoull(weights, NULL, 10));

	return newer ? (int64_t)newer->at + r->b.roll_ms - r->group_clock_offset : INT64_MIN;
}

/* How many servers have to load at once so that each has loaded in the time that is planned for. due: when those are due that are
 * yet to be told, soonest first. *urgent: for how many of them that time is over. */
static int needed_at_once(const struct controller *r, const int64_t *due, int busy, int64_t load, int64_t now, int *urgent)
{
	int64_t reserve = (int64_t)r->b.roll_ms * (100 - ROLLOUT_PLAN) / 100;
	int needed = 0;

	*urgent = 0;
	for (int i = 0; i < arrlen(due); i++) {
		int64_t before = i + 1 + busy / 2; /* those under way have begun some time ago */
		int64_t time = due[i] == INT64_MIN ? 0 : due[i] - reserve - now;

		if (time <= 0 || time < load)
			(*urgent)++;
		else if ((before * load + time - 1) / time > needed)
			needed = (int)((before * load + time - 1) / time);
	}
	return needed;
}

int rollout_at_once(const struct controller *r, struct rollout_pace *m, int n, const int64_t *due, int busy, int64_t now)
{
	int64_t load = load_ms(r, m) + notice_ms(r, m), reserve = (int64_t)r->b.roll_ms * (100 - ROLLOUT_LAST) / 100;
	int urgent, needed;

	if (!m->base)
		m->base = m->room = (n + 3) / 6 > 1 ? (n + 3) / 6 : 1;
	needed = needed_at_once(r, due, busy, load, now, &urgent);
	if (urgent) {
		int helps = !m->many && (!m->base_ms || m->more >= 2 * m->base);
		int all = urgent + busy > m->room ? urgent + busy : m->room;

		/* while more don't help, or have not shown that they do, a few more keep as busy as all */
		return helps || due[0] == INT64_MIN || now >= due[0] - reserve || all <= 2 * m->base ? all : 2 * m->base;
	}
	if (!mechanism_on(r->b.without, MECHANISM_PACE))
		return m->base;
	if (!busy)
		m->begun = now;
	if (m->many || (!m->base_ms && now - m->begun < 2 * load)) /* the first ones show how long it takes */
		return m->room;
	if (needed > 2 * m->base && m->more < 2 * m->base) /* not further before it has shown that it helps */
		needed = 2 * m->base;
	return needed > m->room ? needed : m->room;
}
