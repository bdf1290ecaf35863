/* Reports of a run: text, tables and a picture. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "containers.h"
#include "platform_run.h"

void report_print(struct run *run, const struct violation *violation, int n)
{
	const struct figures *figures = &run->figures;
	int printed = 0, same = 0;

	printf("%-16s %7s %7s %6s %9s %9s %9s %9s %9s\n", "requests", "asked", "whole", "late", "first p50",
	       "p90", "p99", "pause p99", "most");
	for (int i = 0; i < CLASS_COUNT; i++)
		printf("%-16s %7d %7d %6d %9lld %9lld %9lld %9lld %9lld\n", run->deployment->classes[i].name,
		       figures->requests[i], figures->completed[i], figures->late[i],
		       (long long)histogram_quantile(&figures->first_event_ms[i], 0.5),
		       (long long)histogram_quantile(&figures->first_event_ms[i], 0.9),
		       (long long)histogram_quantile(&figures->first_event_ms[i], 0.99),
		       (long long)histogram_quantile(&figures->longest_gap_ms[i], 0.99),
		       (long long)histogram_quantile(&figures->longest_gap_ms[i], 1));
	printf(
	    "worth %.1f of %.1f (%.3f); tries %d, refused %d, cut %d, unanswered %d, given up %d; probes of routes %d\n",
	    figures->value_earned, figures->value_offered,
	    figures->value_offered > 0 ? figures->value_earned / figures->value_offered : 0,
	    figures->attempts, figures->refused, figures->cut_off, figures->no_answer, figures->abandoned,
	    figures->probes);
	printf(
	    "servers: tokens read %llu, found kept %llu, moved %llu; turned away %llu, probes %llu, loads %llu, orders %llu; list calls %llu\n",
	    (unsigned long long)run->fleet.prefilled_tokens, (unsigned long long)run->fleet.cached_tokens,
	    (unsigned long long)run->fleet.fetched_tokens, (unsigned long long)run->fleet.rejected,
	    (unsigned long long)run->fleet.probes, (unsigned long long)run->fleet.loads,
	    (unsigned long long)run->fleet.load_commands,
	    (unsigned long long)(run->fleet.list ? list_calls(run->fleet.list) : 0));
	printf("configurations acknowledged %d; a piece's way p50 %lld ms, p99 %lld ms\n",
	       operator_acked(run->config_operator), (long long)histogram_quantile(&figures->transit_ms, 0.5),
	       (long long)histogram_quantile(&figures->transit_ms, 0.99));
	printf("this process was late by p50 %lld, p99 %lld, at most %lld ms%s\n",
	       (long long)histogram_quantile(&figures->own_lag_ms, 0.5),
	       (long long)histogram_quantile(&figures->own_lag_ms, 0.99),
	       (long long)histogram_quantile(&figures->own_lag_ms, 1),
	       histogram_quantile(&figures->own_lag_ms, 1) > 300 ? ": bounds in ms prove little here" : "");
	for (int i = 0; i < n; i++) {
		same = i && !strcmp(violation[i].rule, violation[i - 1].rule) ? same + 1 : 0;
		if (same >= 5 && printed >= 20)
			continue;
		printf("BREACH %-8s at %7lld ms: %s\n", violation[i].rule, (long long)violation[i].at_ms,
		       violation[i].text);
		if (printed++ < 12 && strstr(violation[i].text, "try ")) {
			char id[40] = "";

			sscanf(strstr(violation[i].text, "try ") + 4, "%39[^ ,:]", id);
			checker_print_attempt(run->checker, id, stdout);
		}
	}
	if (printed < n)
		printf("and %d more\n", n - printed);
}

static FILE *make(const char *folder, const char *name)
{
	char path[800];
	FILE *out;

	snprintf(path, sizeof path, "%s/%s", folder, name);
	out = fopen(path, "w");
	if (!out)
		fprintf(stderr, "notchlug-emulator: %s: %s\n", path, strerror(errno));
	return out;
}

/* The picture: quantiles of the first piece, second by second, on a log scale of milliseconds. */
static void picture(struct run *run, FILE *out, int seconds)
{
	static const struct {
		double quantile;
		const char *colour, *name;
	} line[] = { { 0.5, "#2a7", "p50" }, { 0.9, "#e90", "p90" }, { 0.99, "#c33", "p99" } };
	const int w = 800, h = 320, x_origin = 60, top = 20;

	fprintf(
	    out,
	    "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n",
	    w + x_origin + 80, h + top + 50);
	fprintf(
	    out,
	    "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n<text x=\"%d\" y=\"14\">first piece, ms, by the second it was asked in</text>\n",
	    x_origin);
	for (int d = 0; d <= 4; d++) {
		int y = top + h - d * h / 4, ms = 1;

		for (int k = 0; k < d; k++)
			ms *= 10;
		fprintf(
		    out,
		    "<line x1=\"%d\" x2=\"%d\" y1=\"%d\" y2=\"%d\" stroke=\"#ddd\"/><text x=\"8\" y=\"%d\">%d</text>\n",
		    x_origin, x_origin + w, y, y, y + 4, ms);
	}
	for (int s = 0; s <= seconds; s += seconds > 30 ? 10 : 2)
		fprintf(out, "<text x=\"%d\" y=\"%d\">%d s</text>\n",
			x_origin + w * s / (seconds ? seconds : 1), top + h + 20, s);
	for (size_t k = 0; k < sizeof line / sizeof *line; k++) {
		fprintf(out, "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\" points=\"",
			line[k].colour);
		for (int s = 0; s < seconds; s++) {
			int64_t v =
			    histogram_quantile(&run->figures.seconds[s].first_event, line[k].quantile);
			double decades = 0;

			if (v < 0)
				continue;
			for (double x = v < 1 ? 1 : (double)v; x > 1; x /= 1.2589254)
				decades += 0.1;
			if (decades > 4)
				decades = 4;
			fprintf(out, "%d,%d ", x_origin + (2 * s + 1) * w / (2 * seconds),
				top + h - (int)(decades * h / 4));
		}
		fprintf(out, "\"/>\n<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>\n", x_origin + w + 10,
			top + 20 + 20 * (int)k, line[k].colour, line[k].name);
	}
	fprintf(out, "</svg>\n");
}

int report_write(struct run *run, const char *folder, const struct violation *violation, int n)
{
	int seconds = 0, ok = 0;
	FILE *out;

	mkdir(folder, 0700);
	for (int i = 0; i < MAX_SECONDS; i++)
		if (run->figures.seconds[i].requests)
			seconds = i + 1;
	out = make(folder, "seconds.csv");
	if (!out)
		goto end;
	fprintf(out, "second,asked,whole,refused,failed,first_p50_ms,first_p90_ms,first_p99_ms\n");
	for (int i = 0; i < seconds; i++) {
		const struct second *second = &run->figures.seconds[i];

		fprintf(out, "%d,%d,%d,%d,%d,%lld,%lld,%lld\n", i, second->requests, second->completed,
			second->refused, second->failed,
			(long long)histogram_quantile(&second->first_event, 0.5),
			(long long)histogram_quantile(&second->first_event, 0.9),
			(long long)histogram_quantile(&second->first_event, 0.99));
	}
	fclose(out);
	out = make(folder, "kinds.csv");
	if (!out)
		goto end;
	fprintf(out, "kind,asked,whole,late,first_p50_ms,first_p99_ms,pause_p99_ms\n");
	for (int i = 0; i < CLASS_COUNT; i++)
		fprintf(out, "%s,%d,%d,%d,%lld,%lld,%lld\n", run->deployment->classes[i].name,
			run->figures.requests[i], run->figures.completed[i], run->figures.late[i],
			(long long)histogram_quantile(&run->figures.first_event_ms[i], 0.5),
			(long long)histogram_quantile(&run->figures.first_event_ms[i], 0.99),
			(long long)histogram_quantile(&run->figures.longest_gap_ms[i], 0.99));
	fclose(out);
	out = make(folder, "breaches.csv");
	if (!out)
		goto end;
	fprintf(out, "rule,at_ms,what\n");
	for (int i = 0; i < n; i++)
		fprintf(out, "%s,%lld,\"%s\"\n", violation[i].rule, (long long)violation[i].at_ms,
			violation[i].text);
	fclose(out);
	out = make(folder, "first-piece.svg");
	if (!out)
		goto end;
	picture(run, out, seconds);
	fclose(out);
	ok = 1;
end:
	return ok;
}
