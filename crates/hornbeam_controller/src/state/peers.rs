//! Other controllers: who is there, who leads, who has left.

use std::time::Duration;

use hornbeam_control::RaftInput;
use hornbeam_model::{InstanceId, Mono};
use hornbeam_node::control::net::Received;
use hornbeam_protocol::Message;
use hornbeam_protocol::discovery::ControllerMessage;
use serde_json::json;

use super::Controller;

/// Silence up to which a controller counts as there.
const CONTACT_FRESH: Duration = Duration::from_secs(3);
/// Age up to which a controller's word that it leads counts; two messages may be lost.
pub(super) const TOLD_LEADER_FRESH: Duration = Duration::from_millis(1_600);
/// Silence after which a controller that is no seed is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Time for which a departure is told again to other controllers: messages may be lost.
const RETELL_DEPARTURES: Duration = Duration::from_secs(2);

impl Controller {
    pub(super) fn know_seeds(&mut self) {
        for seed in self.settings.seed_names() {
            self.know(seed);
        }
    }

    pub(super) fn know(&mut self, controller: InstanceId) {
        if controller == self.me || self.contacts.contains_key(&controller) {
            return;
        }
        let Some(address) = self.settings.control_address(&controller) else { return };
        self.net.learn(controller.clone(), address);
        self.contacts.insert(controller, None);
    }

    pub(super) fn fresh_controllers(&self, now: Mono) -> Vec<InstanceId> {
        let fresh = |at: &Option<Mono>| at.is_some_and(|at| now.since(at) < CONTACT_FRESH);
        let heard = self.contacts.iter().filter(|(_, at)| fresh(at)).map(|(name, _)| name.clone());
        heard.chain([self.me.clone()]).collect()
    }

    /// Shows all known controllers that this one lives, whom it knows, and who has left lately.
    pub(super) async fn greet(&mut self, now: Mono) {
        let seeds = self.settings.seed_names();
        self.contacts.retain(|name, at| {
            let forgotten = at.is_some_and(|at| now.since(at) >= FORGET_AFTER);
            !forgotten || seeds.contains(name)
        });
        self.recent_departures.retain(|(at, _)| now.since(*at) < RETELL_DEPARTURES);
        let known = self.fresh_controllers(now);
        let leads = self.leads();
        let departures: Vec<_> = self.recent_departures.iter().map(|(_, c)| c.clone()).collect();
        for peer in self.contacts.keys().cloned().collect::<Vec<_>>() {
            let contacts = ControllerMessage::Heartbeat { known: known.clone(), leads };
            self.net.send(&peer, Message::Controller(contacts)).await;
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
        let Received { from, message } = received;
        self.know(from.clone());
        let last = self.contacts.insert(from.clone(), Some(now)).flatten();
        if last.is_none_or(|at| now.since(at) >= CONTACT_FRESH) {
            self.note("peer", false, &json!({"belief": "controller_heard", "controller": from}));
            let departures = ControllerMessage::Departures(self.registry.departures());
            self.net.send(&from, Message::Controller(departures)).await;
        }
        match message {
            Message::StaleSession { known } => self.net.raise_session(known),
            Message::Control(message) => {
                self.step(RaftInput::Message { from, message: *message }).await;
            }
            Message::Controller(ControllerMessage::Heartbeat { known, leads }) => {
                if leads {
                    self.told_leader = Some((from, now));
                }
                for controller in known {
                    self.know(controller);
                }
            }
            Message::Controller(ControllerMessage::Departures(claims)) => {
                let news =
                    claims.into_iter().filter_map(|c| self.registry.record_peer_departure(now, c));
                let news = news.collect();
                self.publish(news);
            }
            _ => log::warn!("a message of {from} is for another program: check the addresses"),
        }
    }
}
