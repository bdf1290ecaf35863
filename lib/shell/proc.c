/* proc: settings, and the loop that every daemon runs: events to the owner of its state, commands performed. */
#include <apr_file_info.h>
#include <apr_strings.h>
#include <argtable2.h>
#include <errno.h>
#include <fcntl.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#include "ds.h"
#include "mechanism.h"
#include "shell.h"

#ifndef NL_VERSION
#define NL_VERSION "0.1.0"
#endif

enum {
	PROC_TICK = 25,
	PROC_SCAN = 250,
	PROC_DRAIN = 30000,
	PROC_RING = 65536,
	PROC_BATCH = 64,
	PROC_SETTINGS = 1000,
	PROC_LEAVE = 50
};

uint64_t proc_random(void)
{
	uint64_t v = 0;

	while (getrandom(&v, sizeof v, 0) != sizeof v)
		;
	return v | 1;
}

static volatile sig_atomic_t got_signal, got_hup;

static void on_signal(int sig)
{
	if (sig == SIGHUP)
		got_hup = 1;
	else
		got_signal = sig;
}

void proc_begin(void)
{
	struct sigaction sa;

	memset(&sa, 0, sizeof sa);
	sa.sa_handler = SIG_IGN;
	sigaction(SIGHUP, &sa, NULL);
}

static void signals(const struct settings *s)
{
	struct sigaction sa;

	memset(&sa, 0, sizeof sa);
	sa.sa_handler = on_signal;
	sigaction(SIGTERM, &sa, NULL);
	sigaction(SIGINT, &sa, NULL);
	if (!s->other)
		sa.sa_handler = SIG_DFL;
	sigaction(SIGHUP, &sa, NULL);
	sa.sa_handler = SIG_IGN;
	sigaction(SIGPIPE, &sa, NULL);
}

/* ---- settings ---- */

static const char *const set_keys = "listen, advertise, web, zone, seeds, data, fault";

static int set_bad(const char *program, const char *file, const char *key, const char *range)
{
	fprintf(stderr, "%s: %s: %s: %s\n", program, file, key, range);
	return 2;
}

static int set_file(struct settings *s, const char *program, apr_pool_t *p)
{
	struct json_object *j = json_object_from_file(s->file);
	int rc = -1;

	if (!json_object_is_type(j, json_type_object)) {
		rc = set_bad(program, s->file, "file", "not readable as a JSON object");
		goto end;
	}
	json_object_object_foreach(j, key, v)
	{
		const struct {
			const char *k;
			const char **to;
		} str[] = {
			{ "listen", &s->listen }, { "advertise", &s->advertise }, { "web", &s->web },
			{ "zone", &s->zone },     { "data", &s->data },           { "fault", &s->fault },
		};
		int known = 0;

		for (size_t i = 0; i < sizeof str / sizeof *str; i++)
			if (!strcmp(key, str[i].k)) {
				known = 1;
				if (!json_object_is_type(v, json_type_string)) {
					rc = set_bad(program, s->file, key, "a string");
					goto end;
				}
				if (!*str[i].to)
					*str[i].to = apr_pstrdup(p, json_object_get_string(v));
			}
		if (!strcmp(key, "seeds")) {
			known = 1;
			if (!json_object_is_type(v, json_type_array) || json_object_array_length(v) > 8) {
				rc = set_bad(program, s->file, key, "a list of 1 to 8 addresses ip:port");
				goto end;
			}
			if (!s->nseeds)
				for (size_t i = 0; i < json_object_array_length(v); i++)
					s->seed[s->nseeds++] =
					    apr_pstrdup(p, json_object_get_string(json_object_array_get_idx(v, i)));
		}
		if (!known) {
			rc = set_bad(program, s->file, key, apr_psprintf(p, "no such key; known: %s", set_keys));
			goto end;
		}
	}
end:
	if (j)
		json_object_put(j);
	return rc;
}

static int set_check(const struct settings *s, const char *program, int disk)
{
	const char *file = s->file ? s->file : "flags";
	const struct {
		const char *k, *v;
		int must;
	} addr[] = {
		{ "listen", s->listen, 1 },
		{ "web", s->web, 1 },
		{ "advertise", s->advertise, 0 },
	};

	for (size_t i = 0; i < sizeof addr / sizeof *addr; i++)
		if (addr[i].v ? !core_addr(addr[i].v) || !(core_addr(addr[i].v) & 65535) : addr[i].must)
			return set_bad(program, file, addr[i].k, "an address ip:port with a port of 1 to 65535");
	if (!s->zone || !s->zone[0] || strlen(s->zone) > 60)
		return set_bad(program, file, "zone", "a name of 1 to 60 characters");
	if (!s->nseeds)
		return set_bad(program, file, "seeds", "1 to 8 addresses ip:port of other processes");
	for (int i = 0; i < s->nseeds; i++)
		if (!core_addr(s->seed[i]))
			return set_bad(program, file, "seeds", "1 to 8 addresses ip:port of other processes");
	if (disk && (!s->data || !s->data[0]))
		return set_bad(program, file, "data", "the folder that this registrar keeps its files in");
	return -1;
}

/* Where metrics are told, and the mechanisms that are off: only an experiment may switch one off. */
static int set_experiment(struct settings *s, const char *program, const struct arg_int *metrics, const struct arg_lit *experiments,
			  const struct arg_str *without)
{
	s->experiments = experiments->count;
	s->metrics_port = metrics->count ? metrics->ival[0] : 0;
	if (metrics->count && (s->metrics_port < 1 || s->metrics_port > 65535))
		return set_bad(program, "flags", "metrics", "a port of 1 to 65535");
	if (without->count && !experiments->count)
		return set_bad(program, "flags", "without", "only with --experiments");
	for (int i = 0; i < without->count; i++) {
		int m = mechanism_find(without->sval[i]);

		if (m < 0) {
			fprintf(stderr, "%s: flags: without: no mechanism is called %s; known:", program, without->sval[i]);
			for (int k = 0; k < MECHANISMS; k++)
				fprintf(stderr, " %s", mechanism_info[k].name);
			fprintf(stderr, "\n");
			return 2;
		}
		s->without |= UINT32_C(1) << m;
	}
	return -1;
}

/* NOLINTNEXTLINE(readability-function-size): a flat list of settings */
int set_read(struct settings *s, const char *program, int disk, int argc, char **argv, apr_pool_t *p)
{
	struct arg_lit *help = arg_lit0("h", "help", "say how it is called"),
		       *version = arg_lit0(NULL, "version", "say the version");
	struct arg_lit *check = arg_lit0(NULL, "check", "check the settings and end; no socket opens");
	struct arg_lit *other = arg_lit0(
	    NULL, "platform",
	    "take all settings from where the platform keeps them; with --check, --metrics, --experiments and --without alone");
	struct arg_file *file = arg_file0("s", "settings", "FILE", "JSON settings; flags go first");
	struct arg_str *listen = arg_str0("l", "listen", "IP:PORT", "where colleagues reach this process");
	struct arg_str *adv = arg_str0(NULL, "advertise", "IP:PORT", "the address told to colleagues, if another");
	struct arg_str *web =
	    arg_str0("w", "web", "IP:PORT", disk ? "where operators and the platform call" : "where callers call");
	struct arg_str *zone = arg_str0("z", "zone", "NAME", "the zone of this machine");
	struct arg_str *seed = arg_strn(NULL, "seed", "IP:PORT", 0, 8, "another process; give three");
	struct arg_str *data = arg_str0("d", "data", "FOLDER", disk ? "the data folder" : "unused here");
	struct arg_int *metrics = arg_int0(NULL, "metrics", "PORT", "tell metrics there, as GET /metrics");
	struct arg_lit *experiments = arg_lit0(NULL, "experiments", "allow --without");
	struct arg_str *without = arg_strn(NULL, "without", "NAME", 0, MECHANISMS, "an experiment: switch a mechanism off");
	struct arg_str *fault = arg_str0(NULL, "fault", "FILE", "rehearsals only: a file with the ms that each sync is slower");
	struct arg_end *end = arg_end(10);
	void *t[] = { help, version, check, other,   file,        listen,  adv,   web,
		      zone, seed,    data,  metrics, experiments, without, fault, end };
	int (*from)(struct settings *, const char *, int, apr_pool_t *) = s->other;
	int rc = -1, bad;

	memset(s, 0, sizeof *s);
	if (arg_nullcheck(t))
		return 1;
	bad = arg_parse(argc, argv, t);
	if (help->count) {
		printf("Usage: %s", program);
		arg_print_syntax(stdout, t, "\n");
		arg_print_glossary(stdout, t, "  %-26s %s\n");
		rc = 0;
	} else if (version->count) {
		printf("%s (notchlug) %s\n", program, NL_VERSION);
		rc = 0;
	} else if (bad) {
		arg_print_errors(stderr, end, program);
		rc = 2;
	}
	if (rc < 0)
		rc = set_experiment(s, program, metrics, experiments, without);
	if (rc >= 0)
		goto end;
	if (other->count) {
		if (!from || listen->count + adv->count + web->count + zone->count + seed->count + data->count + fault->count +
				 file->count) {
			rc = set_bad(program, "flags", "platform",
				     from ? "no other flag but --check, --metrics, --experiments and --without with it"
					  : "not known by this program");
			goto end;
		}
		if ((rc = from(s, program, disk, p)) >= 0) {
			fprintf(stderr, "%s: %s\n", program, s->why);
			goto end;
		}
		s->bounds.without = s->without;
		s->bounds.experiments = s->experiments;
		s->check = check->count;
		s->other = from;
		goto check;
	}
	s->bounds = bounds_default;
	s->bounds.without = s->without;
	s->bounds.experiments = s->experiments;
#define TAKE(a) ((a)->count ? apr_pstrdup(p, (a)->sval[0]) : NULL)
	s->listen = TAKE(listen);
	s->advertise = TAKE(adv);
	s->web = TAKE(web);
	s->zone = TAKE(zone);
	s->data = TAKE(data);
	s->fault = TAKE(fault);
#undef TAKE
	for (int i = 0; i < seed->count && i < 8; i++)
		s->seed[s->nseeds++] = apr_pstrdup(p, seed->sval[i]);
	s->check = check->count;
	s->file = file->count ? apr_pstrdup(p, file->filename[0]) : NULL;
	if (s->file)
		rc = set_file(s, program, p);
check:
	if (rc < 0)
		rc = set_check(s, program, disk);
	if (rc < 0 && s->check) {
		printf("%s: the settings are good\n", program);
		rc = 0;
	}
	if (rc < 0 && s->other)
		signals(s); /* the platform may signal at once */
end:
	arg_freetable(t, sizeof t / sizeof *t);
	return rc;
}

/* ---- the loop ---- */

/* Settings of another form may change at any time, with a signal or without. A file that is torn or bad changes
 * nothing, is said once, and is read again until it is good. */
struct watch {
	int64_t at;
	apr_time_t mtime;
	apr_ino_t inode;
	apr_off_t size;
	int stale;
	char why[500];
};

static int watch_moved(struct watch *w, const char *file, apr_pool_t *p)
{
	apr_finfo_t i;
	int moved;

	memset(&i, 0, sizeof i);
	if (apr_stat(&i, file, APR_FINFO_MTIME | APR_FINFO_INODE | APR_FINFO_SIZE, p) != APR_SUCCESS && !i.valid)
		return w->stale = 1; /* gone for a moment, or for good: the reading says so */
	moved = i.mtime != w->mtime || i.inode != w->inode || i.size != w->size;
	w->mtime = i.mtime;
	w->inode = i.inode;
	w->size = i.size;
	return moved;
}

static void watch_settings(struct proc *p, struct watch *w, const struct proc_duty *d, int64_t now)
{
	struct settings s;
	apr_pool_t *tmp;
	int moved;

	if (!p->set.other || (now < w->at && !got_hup))
		return;
	apr_pool_create(&tmp, p->p);
	moved = watch_moved(w, p->set.file, tmp);
	if (!w->at) /* the first look: they were read a moment ago */
		moved = 0;
	w->at = now + PROC_SETTINGS;
	if (got_hup || moved || w->stale) {
		memset(&s, 0, sizeof s);
		if (p->set.other(&s, "", p->store != NULL, tmp) >= 0) {
			w->stale = 1;
			if (strncmp(w->why, s.why, sizeof w->why - 1))
				log_say(LOG_WARN, "proc", "Settings stay as they were. %s.", s.why);
			apr_cpystrn(w->why, s.why, sizeof w->why);
		} else {
			w->stale = 0;
			w->why[0] = 0;
			log_say(LOG_INFO, "proc", "Settings are read anew%s.", got_hup ? ", as asked by SIGHUP" : "");
			s.bounds.without = p->set.without;
			s.bounds.experiments = p->set.experiments;
			p->set.bounds = s.bounds;
			p->set.grace_ms = s.grace_ms;
			if (d->changed)
				d->changed(d->ctx, &s);
		}
		got_hup = 0;
	}
	apr_pool_destroy(tmp);
}

static void say_experiment(const struct settings *s)
{
	for (int m = 0; m < MECHANISMS; m++)
		if (!mechanism_on(s->without, (enum mechanism)m))
			log_say(LOG_WARN, "experiment", "Without %s: %s.", mechanism_info[m].name, mechanism_info[m].what);
}

int proc_open(struct proc *p)
{
	say_experiment(&p->set);
	signals(&p->set);
	if (!p->ring)
		ring_open(&p->ring, PROC_RING, p->p);
	p->addr = core_addr(p->set.advertise ? p->set.advertise : p->set.listen);
	apr_pool_create(&p->o.p, NULL);
	if (p->door) {
		p->net = net_open(p->set.listen, p->ring, p->p);
		if (!p->net || !p->door->open(p->door_ctx, p))
			return 0;
		ring_on_push(p->ring, p->door->wake, p->door_ctx);
		return 1;
	}
	return (p->net = net_open(p->set.listen, p->ring, p->p)) && (p->web = web_open(p->set.web, p->ring, p->p)) &&
	       (p->call = call_open(p->ring, p->p));
}

void proc_perform(struct proc *p)
{
	for (ptrdiff_t i = 0; i < arrlen(p->o.v); i++) {
		struct cmd *c = &p->o.v[i];

		if (p->door && p->door->perform(p->door_ctx, c))
			continue;
		switch (c->kind) {
		case CMD_SEND: net_send(p->net, c->u.send.addr, c->u.send.msg); break;
		case CMD_PERSIST: store_write(p->store, c->u.persist); break;
		case CMD_ANSWER:
			web_answer(p->web, c->u.answer.token, c->u.answer.status, c->u.answer.retry_ms, c->u.answer.body,
				   c->u.answer.not_after);
			break;
		case CMD_PIECE: web_piece(p->web, c->u.piece.token, c->u.piece.body, c->u.piece.len, 0, 1); break;
		case CMD_END: web_piece(p->web, c->u.piece.token, c->u.piece.body, c->u.piece.len, 1, c->u.piece.ok); break;
		case CMD_CALL:
			call_start(p->call, c->u.call.token, c->u.call.addr, c->u.call.path, c->u.call.body, c->u.call.limit_ms,
				   c->u.call.stream, c->u.call.not_after);
			break;
		case CMD_CANCEL: call_cancel_one(p->call, c->u.cancel.token); break;
		case CMD_FORWARD:
		case CMD_LIST:
		case CMD_LOOK:
		case CMD_ORDER:
		case CMD_WATCH: break; /* only doors of other languages have them */
		}
	}
	out_clear(&p->o);
}

/* NOLINTNEXTLINE(readability-function-size): to be cut, issue 18 */
int proc_run(struct proc *p, const struct proc_duty *d)
{
	int64_t tick = 0, scan = 0, now;
	struct watch watch = { 0 };
	struct shell_ev *e;
	int full = 0;

	for (;;) {
		now = clock_ms();
		watch_settings(p, &watch, d, now);
		if (got_signal && !p->stopping) {
			struct shell_ev stop = { .kind = EV_STOP };

			log_say(LOG_INFO, "proc", "Stops: what is under way is ended first.");
			p->stopping = 1;
			p->stop_at = stop.end_at = now + (p->set.grace_ms ? p->set.grace_ms : PROC_DRAIN);
			if (p->door)
				p->door->stop(p->door_ctx, now);
			else
				d->step(d->ctx, &stop, now, &p->o);
			proc_perform(p);
		}
		if (p->stopping && ((d->done(d->ctx) && (!p->door || p->door->done(p->door_ctx, now))) || now >= p->stop_at))
			break;
		if (now - tick >= PROC_TICK) {
			tick = now;
			d->step(d->ctx, NULL, now, &p->o);
			proc_perform(p);
			if (d->good && !p->door)
				web_good_until(p->web, d->good(d->ctx));
		}
		if (!p->door && now - scan >= PROC_SCAN) {
			scan = now;
			web_scan(p->web);
		}
		if (p->door) /* what stands in the ring already wakes nobody */
			p->door->wait(p->door_ctx, (int)(!full && tick + PROC_TICK - now > 0 ? tick + PROC_TICK - now : 0));
		e = ring_pop(p->ring, p->door ? 0 : (int)(tick + PROC_TICK - now > 0 ? tick + PROC_TICK - now : 0));
		for (int i = 0; e && i < PROC_BATCH; i++) {
			d->step(d->ctx, e, clock_ms(), &p->o);
			proc_perform(p);
			shell_ev_free(e);
			e = ring_pop(p->ring, 0);
		}
		full = e != NULL;
		if (e) { /* the batch is full: this one still counts */
			d->step(d->ctx, e, clock_ms(), &p->o);
			proc_perform(p);
			shell_ev_free(e);
		}
	}
	now = clock_ms();
	if (!p->door) /* answers that were just given leave */
		apr_sleep(PROC_LEAVE * 1000);
	else
		for (int64_t end = now + PROC_LEAVE; now < end; now = clock_ms())
			p->door->wait(p->door_ctx, (int)(end - now));
	/* the core takes nothing more: keep the line to it empty so that no thread waits at it */
	if (p->door) {
		ring_on_push(p->ring, NULL, NULL);
		p->door->close(p->door_ctx);
	} else {
		web_close(p->web);
	}
	while ((e = ring_pop(p->ring, 0)))
		shell_ev_free(e);
	if (!p->door)
		call_close(p->call);
	net_close(p->net);
	if (p->store)
		store_close(p->store);
	while ((e = ring_pop(p->ring, 0)))
		shell_ev_free(e);
	arrfree(p->o.v);
	apr_pool_destroy(p->o.p);
	log_say(LOG_INFO, "proc", "Ended.");
	return 0;
}
