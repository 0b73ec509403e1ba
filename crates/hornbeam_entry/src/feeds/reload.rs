//! Feeds after a change of the settings.

use hornbeam_settings::{FleetSettings, SettingsError};
use serde_json::json;

use super::ControllerFeeds;

impl ControllerFeeds {
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
