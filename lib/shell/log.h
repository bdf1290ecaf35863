/* log: writes one line per event to stderr, in syslog format. Any thread may log; each line is a single
 * write(2), so lines of different threads are not interleaved. */
#ifndef NL_LOG_H
#define NL_LOG_H

/* Severities with the numbers of syslog(3) (RFC 5424, 6.2.1). journald reads the number from the start of the
 * line. */
enum log_level { LOG_ERROR = 3, LOG_WARN = 4, LOG_INFO = 6 };

/* Set the program name that each line contains. The pointer is kept; the string is not copied. Must be called
 * once, before any other thread starts. */
void log_open(const char *program);

/* Write one line: level, local time, program, process id, subsystem, and the formatted event. Lines over
 * 1,023 bytes are truncated. A write error is ignored, since there is no other place to report it. */
void log_write(enum log_level level, const char *subsystem, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#endif
