//! Messages between controllers: reachability, the leader and departures of servers.

use std::time::Duration;

use hornbeam_control::RaftInput;
use hornbeam_model::{InstanceId, Mono};
use hornbeam_node::control::net::Received;
use hornbeam_protocol::Message;
use hornbeam_protocol::discovery::ControllerMessage;
use serde_json::json;

use super::Controller;

/// Maximum time since a controller was last heard for it to count as reachable.
const MAX_CONTACT_AGE: Duration = Duration::from_secs(3);
/// Maximum age of a controller's message that it leads; tolerates the loss of two messages.
pub(super) const MAX_REPORTED_LEADER_AGE: Duration = Duration::from_millis(1_600);
/// Time without contact after which a controller that is not a seed is removed.
const CONTROLLER_EXPIRY: Duration = Duration::from_secs(60);
/// Time for which a departure is sent again to other controllers, because messages may be lost.
const DEPARTURE_RESEND_PERIOD: Duration = Duration::from_secs(2);

impl Controller {
    pub(super) fn add_seeds(&mut self) {
        for seed in self.settings.seed_names() {
            self.add_controller(seed);
        }
    }

    /// Adds a controller to the contacts, unless it is known or its name contains no address.
    pub(super) fn add_controller(&mut self, controller: InstanceId) {
        if controller == self.me || self.contacts.contains_key(&controller) {
            return;
        }
        let Some(address) = self.settings.control_address(&controller) else { return };
        self.net.set_address(controller.clone(), address);
        self.contacts.insert(controller, None);
    }

    /// Returns the controllers heard within [`MAX_CONTACT_AGE`], and this one.
    pub(super) fn live_controllers(&self, now: Mono) -> Vec<InstanceId> {
        let is_live = |at: &Option<Mono>| at.is_some_and(|at| now.since(at) < MAX_CONTACT_AGE);
        let names =
            self.contacts.iter().filter(|(_, at)| is_live(at)).map(|(name, _)| name.clone());
        names.chain([self.me.clone()]).collect()
    }

    /// Sends all known controllers the reachable controllers, whether this one leads, and recent
    /// departures.
    pub(super) async fn send_heartbeats(&mut self, now: Mono) {
        let seeds = self.settings.seed_names();
        self.contacts.retain(|name, at| {
            let expired = at.is_some_and(|at| now.since(at) >= CONTROLLER_EXPIRY);
            !expired || seeds.contains(name)
        });
        self.recent_departures.retain(|(at, _)| now.since(*at) < DEPARTURE_RESEND_PERIOD);
        self.update_statement();
        let live = self.live_controllers(now);
        let leads = self.is_leader();
        let departures: Vec<_> = self.recent_departures.iter().map(|(_, c)| c.clone()).collect();
        for peer in self.contacts.keys().cloned().collect::<Vec<_>>() {
            let heartbeat = ControllerMessage::Heartbeat { known: live.clone(), leads };
            self.net.send(&peer, Message::Controller(heartbeat)).await;
            if !departures.is_empty() {
                let message = ControllerMessage::Departures(departures.clone());
                self.net.send(&peer, Message::Controller(message)).await;
            }
        }
        let mut contacts: Vec<InstanceId> = self.contacts.keys().cloned().collect();
        contacts.push(self.me.clone());
        self.step(RaftInput::Contacts(contacts)).await;
    }

    pub(super) async fn receive(&mut self, received: Received) {
        let now = self.clock.now();
        let Received { from, message, statement } = received;
        self.add_controller(from.clone());
        let last = self.contacts.insert(from.clone(), Some(now)).flatten();
        if last.is_none_or(|at| now.since(at) >= MAX_CONTACT_AGE) {
            self.write_log(
                "peer",
                false,
                &json!({"belief": "controller_heard", "controller": from}),
            );
            let departures = ControllerMessage::Departures(self.registry.departures());
            self.net.send(&from, Message::Controller(departures)).await;
        }
        match message {
            Message::StaleSession { known } => self.net.raise_session(known),
            Message::Control(message) => {
                self.step(RaftInput::Message { from, message: *message }).await;
            }
            Message::Controller(ControllerMessage::Heartbeat { known, leads }) => {
                self.record_statement(from.clone(), statement);
                if leads {
                    self.reported_leader = Some((from, now));
                }
                for controller in known {
                    self.add_controller(controller);
                }
            }
            Message::Controller(ControllerMessage::Departures(claims)) => {
                let changes =
                    claims.into_iter().filter_map(|c| self.registry.record_peer_departure(now, c));
                let changes = changes.collect();
                self.publish_changes(changes);
            }
            _ => log::warn!(
                "{from} sent a message for another program: check the addresses in the settings"
            ),
        }
    }
}
