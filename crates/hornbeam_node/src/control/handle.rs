//! How the other threads talk to the control thread.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_control::{HistoryItem, Proposal, ProposalOutcome};
use hornbeam_membership::AnnounceError;
use hornbeam_model::{Announcement, Config, InstanceId};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

/// Longest wait for the decision on a proposal.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// A request to the control thread.
#[derive(Debug)]
pub enum ControlRequest {
    /// A backend server announced itself.
    Announce(Box<Announcement>, oneshot::Sender<Result<(), AnnounceError>>),
    /// What the control thread knows.
    Status(oneshot::Sender<ControlStatus>),
    /// An operator proposes something.
    Propose(Box<Proposal>, oneshot::Sender<ProposalResponse>),
    /// The configuration, and the changes that led to it as far as this instance voted on them.
    Config(oneshot::Sender<ConfigView>),
    /// The instance leaves; answered once that was told to the others.
    Leave(oneshot::Sender<()>),
}

/// What became of a proposal made here.
#[derive(Clone, Debug)]
pub enum ProposalResponse {
    /// It was decided.
    Decided(ProposalOutcome),
    /// This instance does not lead; the leader, as far as known.
    NotLeader(Option<InstanceId>),
}

/// The configuration as this instance has it.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    /// The configuration.
    pub config: Arc<Config>,
    /// Time since a quorum confirmed it, if one ever did.
    pub confirmed_ago: Option<Duration>,
    /// Accepted changes, oldest first; nothing on an instance that does not vote.
    pub history: Option<Vec<HistoryItem>>,
    /// The leader, as far as known.
    pub leader: Option<InstanceId>,
}

/// Another instance as this one sees it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PeerStatus {
    /// Its name.
    pub instance: String,
    /// Its zone.
    pub zone: String,
    /// Milliseconds since it was heard, if it ever was.
    pub heard_ms_ago: Option<u64>,
    /// True if it left in good order.
    pub left: bool,
    /// The revision it last told.
    pub revision: Option<u64>,
}

/// A registrar's view as this instance knows it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ViewStatus {
    /// The registrar.
    pub registrar: String,
    /// Number of the latest change known.
    pub version: u64,
    /// Milliseconds since it was known to be complete.
    pub age_ms: u64,
    /// Servers listed.
    pub servers: usize,
}

/// What the control thread knows, for operators.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ControlStatus {
    /// The revision in force here.
    pub revision: u64,
    /// Milliseconds since a quorum confirmed it, if one ever did.
    pub confirmed_ms_ago: Option<u64>,
    /// Role in control: follower, candidate, leader, learner, unverified or none.
    pub role: String,
    /// Why this instance does not vote, if it should and never will.
    pub refusal: Option<String>,
    /// The leader, as far as known.
    pub leader: Option<String>,
    /// Who votes, as far as this instance knows.
    pub voters: Vec<String>,
    /// True while a voter is being replaced.
    pub replacing: bool,
    /// Term of the control log.
    pub term: u64,
    /// The other instances.
    pub peers: Vec<PeerStatus>,
    /// The views.
    pub views: Vec<ViewStatus>,
}

/// Handle on the control thread; clones share it.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    tx: mpsc::UnboundedSender<ControlRequest>,
}

impl ControlHandle {
    /// A handle and the receiver for the thread.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<ControlRequest>) {
        let (tx, rx) = mpsc::unbounded_channel();
        (Self { tx }, rx)
    }

    async fn ask<T>(
        &self,
        request: impl FnOnce(oneshot::Sender<T>) -> ControlRequest,
    ) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(request(tx)).ok()?;
        rx.await.ok()
    }

    /// Hands over an announcement; nothing if the thread has stopped.
    pub async fn announce(&self, a: Announcement) -> Option<Result<(), AnnounceError>> {
        self.ask(|tx| ControlRequest::Announce(Box::new(a), tx)).await
    }

    /// What the thread knows; nothing if it has stopped.
    pub async fn status(&self) -> Option<ControlStatus> {
        self.ask(ControlRequest::Status).await
    }

    /// Proposes something; nothing if the thread has stopped or does not answer in time.
    pub async fn propose(&self, proposal: Proposal) -> Option<ProposalResponse> {
        let asked = self.ask(|tx| ControlRequest::Propose(Box::new(proposal), tx));
        tokio::time::timeout(PROPOSE_TIMEOUT, asked).await.ok().flatten()
    }

    /// The configuration; nothing if the thread has stopped.
    pub async fn config(&self) -> Option<ConfigView> {
        self.ask(ControlRequest::Config).await
    }

    /// Tells the others that this instance leaves.
    pub async fn leave(&self) {
        self.ask(ControlRequest::Leave).await;
    }
}
