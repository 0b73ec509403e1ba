//! Feeds after a pause of the process or a suspension of the machine.

use std::time::Duration;

use hornbeam_model::Mono;
use serde_json::json;

use super::ControllerFeeds;

/// Time in which the control thread did not run from which the process counts as paused: controllers
/// close a feed that reads nothing for as long.
const MIN_PAUSE: Duration = Duration::from_millis(1_200);

impl ControllerFeeds {
    /// Reopens every feed after a suspension of the machine, since the state received before is
    /// outdated.
    pub(super) fn check_suspension(&mut self, now: Mono) {
        let Some(duration) = self.suspension.poll() else { return };
        let fields = json!({"belief": "suspended", "for_ms": duration.as_millis() as u64});
        self.log("suspended", true, &fields);
        self.reopen_feeds(now);
    }

    /// Reopens every feed after a pause of the process if there are teams or evacuations: the messages that
    /// wait in the connections may state keys that were revoked, or zones that were evacuated meanwhile.
    pub(super) fn check_pause(&mut self, now: Mono) {
        let gap = now.since(std::mem::replace(&mut self.ran_at, now));
        let is_affected = self.has_teams() || self.params.settings.evacuations;
        if gap < MIN_PAUSE || !is_affected {
            return;
        }
        self.log("paused", true, &json!({"belief": "paused", "for_ms": gap.as_millis() as u64}));
        self.reopen_feeds(now);
    }

    fn reopen_feeds(&mut self, now: Mono) {
        for (_, feed) in std::mem::take(&mut self.feeds) {
            feed.task.abort();
        }
        self.table_requested_at = None;
        self.follow_seeds();
        self.publish_contact();
        let updates = self.directory.expire(now);
        self.publish_servers(updates);
    }
}
