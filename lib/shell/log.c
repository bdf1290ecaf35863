/* log: see log.h. */
#include "log.h"

#include <stdarg.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

enum { MAX_LINE_BYTES = 1024 };

static const char *log_program = "notchlug";

void log_open(const char *program)
{
	log_program = program;
}

void log_write(enum log_level level, const char *subsystem, const char *format, ...)
{
	char line[MAX_LINE_BYTES];
	char timestamp[32];
	time_t now = time(NULL);
	struct tm local;
	va_list arguments;
	int length;

	localtime_r(&now, &local);
	strftime(timestamp, sizeof timestamp, "%b %e %H:%M:%S", &local);
	length = snprintf(line, sizeof line, "<%d>%s %s[%d]: %s: ", level, timestamp, log_program,
			  (int)getpid(), subsystem);
	va_start(arguments, format);
	length += vsnprintf(line + length, sizeof line - (size_t)length - 1, format, arguments);
	va_end(arguments);
	if (length > (int)sizeof line - 2)
		length = sizeof line - 2;
	line[length++] = '\n';
	if (write(STDERR_FILENO, line, (size_t)length) < 0)
		return;
}
