//! Requests from other threads to the control thread.

use std::sync::Arc;
use std::time::Duration;

use hornbeam_control::{HistoryItem, Proposal, ProposalOutcome};
use hornbeam_membership::AnnounceError;
use hornbeam_model::{Announcement, Config, InstanceId};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

/// Maximum wait for the decision on a proposal.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// A request to the control thread. The reply is sent on the channel.
#[derive(Debug)]
pub enum ControlRequest {
    /// Announcement of a backend server.
    Announce(Box<Announcement>, oneshot::Sender<Result<(), AnnounceError>>),
    /// Request for the state of membership, configuration and control log.
    Status(oneshot::Sender<ControlStatus>),
    /// An operator's proposal to the leader.
    Propose(Box<Proposal>, oneshot::Sender<ProposalResponse>),
    /// Request for the configuration and, on a voter, its history.
    Config(oneshot::Sender<ConfigView>),
    /// The instance leaves. The reply is sent once the other instances have been informed.
    Leave(oneshot::Sender<()>),
}

/// Reply to a proposal made on this instance.
#[derive(Clone, Debug)]
pub enum ProposalResponse {
    /// The proposal was decided, or its outcome is unknown.
    Decided(ProposalOutcome),
    /// This instance is not the leader. Holds the leader if it is known.
    NotLeader(Option<InstanceId>),
}

/// Configuration of this instance.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    /// Configuration in force.
    pub config: Arc<Config>,
    /// Time since a quorum confirmed it, or `None` if none has.
    pub confirmed_ago: Option<Duration>,
    /// Accepted changes, oldest first, or `None` if this instance is not a voter.
    pub history: Option<Vec<HistoryItem>>,
    /// Leader of the control log, if known.
    pub leader: Option<InstanceId>,
}

/// State of another instance as known to this one.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PeerStatus {
    /// Name of the instance.
    pub instance: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Milliseconds since the last message from it, or `None` if there was none.
    pub heard_ms_ago: Option<u64>,
    /// True if it announced that it leaves.
    pub left: bool,
    /// Configuration revision that it reported last.
    pub revision: Option<u64>,
}

/// State of a registrar's view as known to this instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ViewStatus {
    /// Name of the registrar.
    pub registrar: String,
    /// Version of the view, which is the number of its latest known change.
    pub version: u64,
    /// Milliseconds since the view was last known to be complete.
    pub age_ms: u64,
    /// Number of listed backend servers.
    pub servers: usize,
}

/// State of the control thread as shown to operators.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ControlStatus {
    /// Configuration revision in force on this instance.
    pub revision: u64,
    /// Milliseconds since a quorum confirmed it, or `None` if none has.
    pub confirmed_ms_ago: Option<u64>,
    /// Role in the control log: `follower`, `candidate`, `leader`, `learner`, `unverified`,
    /// `stopped` after a failure of the disk, or `none` without the control role.
    pub role: String,
    /// Reason why this instance permanently does not vote although it has the control role.
    pub refusal: Option<String>,
    /// Leader of the control log, if known.
    pub leader: Option<String>,
    /// Voters known to this instance.
    pub voters: Vec<String>,
    /// True while a voter is being replaced.
    pub replacing: bool,
    /// Current term of the control log.
    pub term: u64,
    /// All other instances.
    pub peers: Vec<PeerStatus>,
    /// Views of all registrars.
    pub views: Vec<ViewStatus>,
}

/// Handle to the control thread. Clones use the same channel.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    tx: mpsc::UnboundedSender<ControlRequest>,
}

impl ControlHandle {
    /// Creates a handle and the receiver for the control thread.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<ControlRequest>) {
        let (tx, rx) = mpsc::unbounded_channel();
        (Self { tx }, rx)
    }

    async fn request<T>(
        &self,
        make_request: impl FnOnce(oneshot::Sender<T>) -> ControlRequest,
    ) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(make_request(tx)).ok()?;
        rx.await.ok()
    }

    /// Passes on an announcement. Returns `None` if the thread has stopped.
    pub async fn announce(&self, a: Announcement) -> Option<Result<(), AnnounceError>> {
        self.request(|tx| ControlRequest::Announce(Box::new(a), tx)).await
    }

    /// Returns the state of the control thread, or `None` if it has stopped.
    pub async fn status(&self) -> Option<ControlStatus> {
        self.request(ControlRequest::Status).await
    }

    /// Makes a proposal. Returns `None` if the thread has stopped or no decision is reached within
    /// 5 s.
    pub async fn propose(&self, proposal: Proposal) -> Option<ProposalResponse> {
        let response = self.request(|tx| ControlRequest::Propose(Box::new(proposal), tx));
        tokio::time::timeout(PROPOSE_TIMEOUT, response).await.ok().flatten()
    }

    /// Returns the configuration, or `None` if the thread has stopped.
    pub async fn config(&self) -> Option<ConfigView> {
        self.request(ControlRequest::Config).await
    }

    /// Informs the other instances that this one leaves.
    pub async fn leave(&self) {
        self.request(ControlRequest::Leave).await;
    }
}
