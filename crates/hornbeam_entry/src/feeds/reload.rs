//! Feeds after a suspension of the machine or a change of the settings.

use hornbeam_model::Mono;
use hornbeam_settings::{FleetSettings, SettingsError};
use serde_json::json;

use super::ControllerFeeds;

impl ControllerFeeds {
    /// Reopens every feed after a suspension of the machine, since the state received before is
    /// outdated.
    pub(super) fn check_suspension(&mut self, now: Mono) {
        let Some(duration) = self.suspension.poll() else { return };
        let fields = json!({"belief": "suspended", "for_ms": duration.as_millis() as u64});
        self.log("suspended", true, &fields);
        for (_, feed) in std::mem::take(&mut self.feeds) {
            feed.task.abort();
        }
        self.table_requested_at = None;
        self.follow_seeds();
        let updates = self.directory.expire(now);
        self.publish_servers(updates);
    }

    /// Applies changed settings; only the seeds can change while the program runs.
    pub(super) fn apply_settings(&mut self, settings: Result<FleetSettings, SettingsError>) {
        match settings {
            Ok(settings) => {
                self.params.settings.seeds = settings.seeds;
                let seeds = &self.params.settings.seeds;
                self.log("reload", false, &json!({"belief": "settings_reloaded", "seeds": seeds}));
                self.follow_seeds();
            }
            Err(e) => {
                let fields = json!({"belief": "settings_kept", "reason": e.to_string()});
                self.log("reload_failed", true, &fields);
            }
        }
    }
}
