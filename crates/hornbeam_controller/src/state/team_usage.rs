//! Use of the teams' quotas at the entries.

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hornbeam_discovery::team_usage::ENTRY_SILENCE;
use hornbeam_model::team_usage::usage_interval;
use hornbeam_model::{InstanceId, Mono, TrafficPolicy, UsageReport};
use hornbeam_protocol::discovery::{FEED_HEARTBEAT_INTERVAL_MS, FeedDown};
use hornbeam_protocol::features::Features;

use super::Controller;
use crate::feed::FeedId;

impl Controller {
    /// Records the report of an entry. If it concerns a team near its quota, it is passed on to the
    /// entries sooner than at the next heartbeat.
    pub(super) fn on_team_usage(&mut self, now: Mono, id: FeedId, report: UsageReport) {
        let Some(feed) = self.feeds.get(&id) else { return };
        let entry = feed.info.entry.clone();
        self.entry_heard_at.insert(entry.clone(), now);
        self.team_usages.record(now, &entry, report);
        if self.team_usages.is_pressing() {
            let at = self.team_usage_sent_at + usage_interval(self.count_entries(now));
            self.next_team_usage_at = self.next_team_usage_at.min(at.max(now));
        }
    }

    /// Records that a feed of an entry was closed.
    pub(super) fn on_usage_feed_closed(&mut self, now: Mono, entry: &InstanceId) {
        if self.feeds.values().all(|f| f.info.entry != *entry) {
            self.team_usages.close(now, entry);
        }
    }

    /// Sends the use of the quotas to the entries that read it, while teams have quotas.
    pub(super) fn publish_team_usage(&mut self, now: Mono) {
        if now < self.next_team_usage_at {
            return;
        }
        let interval = Duration::from_millis(FEED_HEARTBEAT_INTERVAL_MS);
        self.next_team_usage_at = now + interval;
        self.team_usage_sent_at = now;
        let Some(frame) = self.team_usage_frame(now) else { return };
        // A feed with a full queue is dropped; the entry opens a new one and gets the whole state.
        self.feeds.retain(|_, f| {
            !f.features.includes(Features::TEAM_USAGE) || f.tx.try_send(frame.clone()).is_ok()
        });
    }

    /// Sends the use of the quotas to one entry.
    pub(super) fn send_team_usage(&mut self, now: Mono, id: FeedId) {
        let Some(feed) = self.feeds.get(&id) else { return };
        self.team_usages.open(now, &feed.info.entry);
        if !feed.features.includes(Features::TEAM_USAGE) {
            return;
        }
        // Summing up takes time for each entry and team. When all entries open their feeds after a restart of
        // the fleet, a sum for each of them would take longer than the timeout of a feed.
        let max_age = Duration::from_millis(FEED_HEARTBEAT_INTERVAL_MS);
        let latest = self.latest_team_usage.clone().filter(|(at, _)| now.since(*at) < max_age);
        let Some(frame) = latest.map(|(_, f)| f).or_else(|| self.team_usage_frame(now)) else {
            return;
        };
        if self.feeds.get(&id).is_some_and(|f| f.tx.try_send(frame).is_err()) {
            self.feeds.shift_remove(&id);
        }
    }

    /// Sums up the use of the quotas, and keeps the encoded message for feeds that are opened soon.
    fn team_usage_frame(&mut self, now: Mono) -> Option<Rc<Vec<u8>>> {
        let message = self.team_usage_message(now)?;
        let frame = self.seal(&message)?;
        self.latest_team_usage = Some((now, frame.clone()));
        Some(frame)
    }

    fn team_usage_message(&mut self, now: Mono) -> Option<FeedDown> {
        self.team_usages.observe(now);
        let policy: Arc<TrafficPolicy> = self.tables.policy();
        self.team_usages.set_policy(now, &policy);
        if !self.team_usages.has_quotas() {
            return None;
        }
        let open: HashSet<_> = self.feeds.values().map(|f| &f.info.entry).collect();
        self.team_usages.close_others(now, |entry| open.contains(entry));
        let heard = self.count_reporting_entries(now);
        self.team_usages.set_fleet(now, heard, self.count_entries(now));
        Some(FeedDown::TeamUsage(self.team_usages.summary(now)))
    }

    /// Returns the number of entries that report the use of quotas and were heard just now. An entry of an
    /// older build does not report, so the others leave it its part.
    fn count_reporting_entries(&self, now: Mono) -> u32 {
        let is_heard = |entry: &InstanceId| {
            self.entry_heard_at.get(entry).is_some_and(|at| now.since(*at) < ENTRY_SILENCE)
        };
        let feeds = self.feeds.values().filter(|f| f.features.includes(Features::TEAM_USAGE));
        let entries = feeds.map(|f| &f.info.entry).filter(|e| is_heard(e));
        entries.collect::<HashSet<_>>().len() as u32
    }
}
