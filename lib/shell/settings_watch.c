/* settings_watch: reloads external settings that change while the program runs. */
#include <apr_file_info.h>
#include <apr_strings.h>
#include <string.h>

#include "log.h"
#include "process_internal.h"

enum { POLL_INTERVAL_MS = 1000 };

/* Whether the file was replaced or written since the last call. */
static bool has_file_changed(struct settings_watch *watch, const char *file, apr_pool_t *scratch)
{
	apr_finfo_t info;
	bool changed;

	memset(&info, 0, sizeof info);
	if (apr_stat(&info, file, APR_FINFO_MTIME | APR_FINFO_INODE | APR_FINFO_SIZE, scratch) !=
		APR_SUCCESS &&
	    !info.valid) {
		watch->retry_pending =
		    true; /* the file may be missing only temporarily; a failed read is logged */
		return true;
	}
	changed = info.mtime != watch->mtime || info.inode != watch->inode || info.size != watch->size;
	watch->mtime = info.mtime;
	watch->inode = info.inode;
	watch->size = info.size;
	return changed;
}

static void log_error_once(struct settings_watch *watch, const char *error_text)
{
	watch->retry_pending = true;
	if (strncmp(watch->last_error, error_text, sizeof watch->last_error - 1) != 0)
		log_write(LOG_WARN, "process", "Settings unchanged: %s.", error_text);
	apr_cpystrn(watch->last_error, error_text, sizeof watch->last_error);
}

static void reload_settings(struct settings_watch *watch, struct process *process,
			    const struct process_handlers *handlers, apr_pool_t *scratch)
{
	struct settings settings;

	memset(&settings, 0, sizeof settings);
	if (process->settings.read_external(&settings, "", process->storage != NULL, scratch) >= 0) {
		log_error_once(watch, settings.error_text);
		return;
	}
	watch->retry_pending = false;
	watch->last_error[0] = 0;
	log_write(LOG_INFO, "process", "Settings reloaded%s.", process_hangup_received() ? " on SIGHUP" : "");
	settings.bounds.disabled_mechanisms = process->settings.disabled_mechanisms;
	settings.bounds.is_experiment = process->settings.are_experiments_allowed;
	process->settings.bounds = settings.bounds;
	process->settings.stop_grace_ms = settings.stop_grace_ms;
	if (handlers->apply_settings)
		handlers->apply_settings(handlers->context, &settings);
}

void settings_watch_poll(struct settings_watch *watch, struct process *process,
			 const struct process_handlers *handlers, int64_t now)
{
	apr_pool_t *scratch;
	bool changed;

	if (!process->settings.read_external || (now < watch->next_poll_at_ms && !process_hangup_received()))
		return;
	apr_pool_create(&scratch, process->pool);
	changed = has_file_changed(watch, process->settings.settings_path, scratch);
	if (!watch->next_poll_at_ms) /* the first poll: settings_read has just read the file */
		changed = false;
	watch->next_poll_at_ms = now + POLL_INTERVAL_MS;
	if (process_hangup_received() || changed || watch->retry_pending) {
		reload_settings(watch, process, handlers, scratch);
		process_clear_hangup();
	}
	apr_pool_destroy(scratch);
}
