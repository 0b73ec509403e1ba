//! Use of the teams' quotas, sent to the controllers that read it.

use hornbeam_model::{Incarnation, InstanceId, TeamId, TeamUsage, UsageReport};
use hornbeam_node::clock::unix_ms;
use hornbeam_protocol::discovery::FeedUp;
use hornbeam_protocol::features::Features;
use indexmap::IndexMap;

use super::{ControllerFeeds, Feed};

/// Maximum number of teams in one message, which stays within the frame length of a controller.
const MAX_TEAMS: usize = 500;

/// Latest usage of each team at this entry.
pub(super) struct LatestUsage {
    incarnation: Incarnation,
    teams: IndexMap<TeamId, TeamUsage>,
}

impl Default for LatestUsage {
    fn default() -> Self {
        Self { incarnation: Incarnation(unix_ms() as u64), teams: IndexMap::new() }
    }
}

impl LatestUsage {
    fn send(&self, feed: &Feed, teams: &[TeamUsage], is_baseline: bool) {
        for teams in teams.chunks(MAX_TEAMS) {
            self.send_report(feed, teams.to_vec(), is_baseline);
        }
    }

    fn send_report(&self, feed: &Feed, teams: Vec<TeamUsage>, is_baseline: bool) {
        let report = UsageReport { incarnation: self.incarnation, is_baseline, teams };
        // A feed that has just been lost gets all counts once it is reopened.
        let _ = feed.tx.send(FeedUp::TeamUsage(report));
    }
}

impl ControllerFeeds {
    /// Sends the usage that has changed to each connected controller.
    pub(super) fn send_team_usage(&mut self, teams: Vec<TeamUsage>) {
        let reads = |f: &&Feed| f.connected && f.features.includes(Features::TEAM_USAGE);
        for feed in self.feeds.values().filter(reads) {
            self.team_usage.send(feed, &teams, false);
        }
        for usage in teams {
            self.team_usage.teams.insert(usage.team.clone(), usage);
        }
    }

    /// Sends all counts to a controller that has stated which messages it reads, at the start of a feed.
    pub(super) fn send_team_usage_baseline(&self, controller: &InstanceId) {
        let Some(feed) = self.feeds.get(controller) else { return };
        if !feed.features.includes(Features::TEAM_USAGE) {
            return;
        }
        // The first report states the incarnation also without any usage.
        self.team_usage.send_report(feed, Vec::new(), true);
        let teams: Vec<TeamUsage> = self.team_usage.teams.values().cloned().collect();
        self.team_usage.send(feed, &teams, true);
    }
}
