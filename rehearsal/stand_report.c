/* What a run came to: text, tables and a picture. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "ds.h"
#include "stand_run.h"

void report_print(struct run *r, const struct breach *b, int n)
{
	const struct figures *f = &r->fig;
	int shown = 0, same = 0;

	printf("%-16s %7s %7s %6s %9s %9s %9s %9s %9s\n", "requests", "asked", "whole", "late", "first p50", "p90", "p99",
	       "pause p99", "most");
	for (int i = 0; i < CLASSES; i++)
		printf("%-16s %7d %7d %6d %9lld %9lld %9lld %9lld %9lld\n", r->sheet->c[i].name, f->asked[i], f->whole[i],
		       f->late[i], (long long)hist_at(&f->first[i], 0.5), (long long)hist_at(&f->first[i], 0.9),
		       (long long)hist_at(&f->first[i], 0.99), (long long)hist_at(&f->pause[i], 0.99),
		       (long long)hist_at(&f->pause[i], 1));
	printf("worth %.1f of %.1f (%.3f); tries %d, refused %d, cut %d, unanswered %d, given up %d; probes of routes %d\n",
	       f->earned, f->owed, f->owed > 0 ? f->earned / f->owed : 0, f->tries, f->refused, f->cut, f->silent, f->gave_up,
	       f->probes);
	printf(
	    "servers: tokens read %llu, found kept %llu, moved %llu; turned away %llu, probes %llu, loads %llu, orders %llu; list calls %llu\n",
	    (unsigned long long)r->f.read, (unsigned long long)r->f.found, (unsigned long long)r->f.fetched,
	    (unsigned long long)r->f.turned, (unsigned long long)r->f.probes, (unsigned long long)r->f.loads,
	    (unsigned long long)r->f.orders, (unsigned long long)(r->f.list ? list_calls(r->f.list) : 0));
	printf("configurations acknowledged %d; a piece's way p50 %lld ms, p99 %lld ms\n", operator_acked(r->op),
	       (long long)hist_at(&f->transit, 0.5), (long long)hist_at(&f->transit, 0.99));
	printf("this process was late by p50 %lld, p99 %lld, at most %lld ms%s\n", (long long)hist_at(&f->own_lag, 0.5),
	       (long long)hist_at(&f->own_lag, 0.99), (long long)hist_at(&f->own_lag, 1),
	       hist_at(&f->own_lag, 1) > 300 ? ": bounds in ms prove little here" : "");
	for (int i = 0; i < n; i++) {
		same = i && !strcmp(b[i].rule, b[i - 1].rule) ? same + 1 : 0;
		if (same >= 5 && shown >= 20)
			continue;
		printf("BREACH %-8s at %7lld ms: %s\n", b[i].rule, (long long)b[i].t, b[i].text);
		if (shown++ < 12 && strstr(b[i].text, "try ")) {
			char id[40] = "";

			sscanf(strstr(b[i].text, "try ") + 4, "%39[^ ,:]", id);
			judge_story(r->j, id, stdout);
		}
	}
	if (shown < n)
		printf("and %d more\n", n - shown);
}

static FILE *make(const char *folder, const char *name)
{
	char path[800];
	FILE *f;

	snprintf(path, sizeof path, "%s/%s", folder, name);
	f = fopen(path, "w");
	if (!f)
		fprintf(stderr, "rehearsal: %s: %s\n", path, strerror(errno));
	return f;
}

/* The picture: quantiles of the first piece, second by second, on a log scale of milliseconds. */
static void picture(struct run *r, FILE *f, int seconds)
{
	static const struct {
		double q;
		const char *colour, *name;
	} line[] = { { 0.5, "#2a7", "p50" }, { 0.9, "#e90", "p90" }, { 0.99, "#c33", "p99" } };
	const int w = 800, h = 320, left = 60, top = 20;

	fprintf(
	    f,
	    "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n",
	    w + left + 80, h + top + 50);
	fprintf(
	    f,
	    "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n<text x=\"%d\" y=\"14\">first piece, ms, by the second it was asked in</text>\n",
	    left);
	for (int d = 0; d <= 4; d++) {
		int y = top + h - d * h / 4, ms = 1;

		for (int k = 0; k < d; k++)
			ms *= 10;
		fprintf(f, "<line x1=\"%d\" x2=\"%d\" y1=\"%d\" y2=\"%d\" stroke=\"#ddd\"/><text x=\"8\" y=\"%d\">%d</text>\n",
			left, left + w, y, y, y + 4, ms);
	}
	for (int s = 0; s <= seconds; s += seconds > 30 ? 10 : 2)
		fprintf(f, "<text x=\"%d\" y=\"%d\">%d s</text>\n", left + w * s / (seconds ? seconds : 1), top + h + 20, s);
	for (size_t k = 0; k < sizeof line / sizeof *line; k++) {
		fprintf(f, "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\" points=\"", line[k].colour);
		for (int s = 0; s < seconds; s++) {
			int64_t v = hist_at(&r->fig.sec[s].first, line[k].q);
			double decades = 0;

			if (v < 0)
				continue;
			for (double x = v < 1 ? 1 : (double)v; x > 1; x /= 1.2589254)
				decades += 0.1;
			if (decades > 4)
				decades = 4;
			fprintf(f, "%d,%d ", left + (2 * s + 1) * w / (2 * seconds), top + h - (int)(decades * h / 4));
		}
		fprintf(f, "\"/>\n<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>\n", left + w + 10, top + 20 + 20 * (int)k,
			line[k].colour, line[k].name);
	}
	fprintf(f, "</svg>\n");
}

int report_write(struct run *r, const char *folder, const struct breach *b, int n)
{
	int seconds = 0, ok = 0;
	FILE *f;

	mkdir(folder, 0700);
	for (int i = 0; i < MOST_SECONDS; i++)
		if (r->fig.sec[i].asked)
			seconds = i + 1;
	f = make(folder, "seconds.csv");
	if (!f)
		goto end;
	fprintf(f, "second,asked,whole,refused,failed,first_p50_ms,first_p90_ms,first_p99_ms\n");
	for (int i = 0; i < seconds; i++) {
		const struct second *s = &r->fig.sec[i];

		fprintf(f, "%d,%d,%d,%d,%d,%lld,%lld,%lld\n", i, s->asked, s->whole, s->refused, s->failed,
			(long long)hist_at(&s->first, 0.5), (long long)hist_at(&s->first, 0.9),
			(long long)hist_at(&s->first, 0.99));
	}
	fclose(f);
	f = make(folder, "kinds.csv");
	if (!f)
		goto end;
	fprintf(f, "kind,asked,whole,late,first_p50_ms,first_p99_ms,pause_p99_ms\n");
	for (int i = 0; i < CLASSES; i++)
		fprintf(f, "%s,%d,%d,%d,%lld,%lld,%lld\n", r->sheet->c[i].name, r->fig.asked[i], r->fig.whole[i], r->fig.late[i],
			(long long)hist_at(&r->fig.first[i], 0.5), (long long)hist_at(&r->fig.first[i], 0.99),
			(long long)hist_at(&r->fig.pause[i], 0.99));
	fclose(f);
	f = make(folder, "breaches.csv");
	if (!f)
		goto end;
	fprintf(f, "rule,at_ms,what\n");
	for (int i = 0; i < n; i++)
		fprintf(f, "%s,%lld,\"%s\"\n", b[i].rule, (long long)b[i].t, b[i].text);
	fclose(f);
	f = make(folder, "first-piece.svg");
	if (!f)
		goto end;
	picture(r, f, seconds);
	fclose(f);
	ok = 1;
end:
	return ok;
}
