/* log: one line on stderr for each event, in syslog's form. Any thread may write; a line is one write(2), so
 * lines don't mix. */
#ifndef NL_LOG_H
#define NL_LOG_H

/* Severities, with the numbers of syslog(3) (RFC 5424, 6.2.1), which journald reads from the line. */
enum log_level { LOG_ERROR = 3, LOG_WARN = 4, LOG_INFO = 6 };

/* Set the program's name on each line. program is kept, not copied. Called once, before any other thread
 * starts. */
void log_open(const char *program);

/* Write one line: level, local time, program, process id, subsystem, and the formatted event. Lines over
 * 1,023 bytes are cut. An error of the write is ignored: there is nowhere to report it. */
void log_write(enum log_level level, const char *subsystem, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#endif
