/* process_signals: a signal handler only sets a flag, which the main loop reads in its next iteration. */
#include <signal.h>
#include <string.h>

#include "process_internal.h"

static volatile sig_atomic_t stop_signal;
static volatile sig_atomic_t hangup_signal;

static void record_signal(int signal_number)
{
	if (signal_number == SIGHUP)
		hangup_signal = 1;
	else
		stop_signal = signal_number;
}

void process_ignore_hangup(void)
{
	struct sigaction action;

	memset(&action, 0, sizeof action);
	action.sa_handler = SIG_IGN;
	sigaction(SIGHUP, &action, NULL);
}

void process_install_signal_handlers(const struct settings *settings)
{
	struct sigaction action;

	memset(&action, 0, sizeof action);
	action.sa_handler = record_signal;
	sigaction(SIGTERM, &action, NULL);
	sigaction(SIGINT, &action, NULL);
	if (!settings->read_external)
		action.sa_handler = SIG_DFL;
	sigaction(SIGHUP, &action, NULL);
	action.sa_handler = SIG_IGN;
	sigaction(SIGPIPE, &action, NULL);
}

bool process_stop_requested(void)
{
	return stop_signal != 0;
}

bool process_hangup_received(void)
{
	return hangup_signal != 0;
}

void process_clear_hangup(void)
{
	hangup_signal = 0;
}
