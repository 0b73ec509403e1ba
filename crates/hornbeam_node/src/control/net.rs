//! Datagrams and streams between instances.
//!
//! Short messages are sent as datagrams. A message that is too long for a datagram is sent on a
//! stream that is opened on first use. If the stream fails, the message is lost, just as a datagram
//! may be, and the state machines send it again.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hornbeam_events::Event;
use hornbeam_model::InstanceId;
use hornbeam_protocol::discovery::{ControllerMessage, ControllerStatement};
use hornbeam_protocol::{
    Envelope, FrameError, FrameKey, MAX_DATAGRAM_BYTES, MAX_STREAM_BYTES, Message, ReplayGuard,
    ReplayVerdict,
};
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;

use crate::connections::{Connection, ConnectionGroup};
use crate::frames::{read_first_frame, read_frame, write_frame};
use crate::journal::EventLog;
use crate::metrics::Metrics;
use crate::program::next_connection;
use crate::socket;

/// Maximum size of a frame that is sent as a datagram, in bytes. It fits into one packet.
const MAX_SENT_DATAGRAM_BYTES: usize = 1_400;
/// Maximum number of frames queued for one stream; further ones are dropped.
const MAX_QUEUED_FRAMES: usize = 64;
/// Limit for opening a stream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit for the arrival of a frame after its length.
const FRAME_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum interval between two events about rejected frames.
const MIN_REJECTION_EVENT_INTERVAL: Duration = Duration::from_secs(10);

/// A message whose frame passed all checks.
#[derive(Debug)]
pub struct Received {
    /// Instance that sent the message.
    pub from: InstanceId,
    /// Content of the message.
    pub message: Message,
    /// What a controller states about itself with its heartbeat; older builds state nothing.
    pub statement: Option<ControllerStatement>,
}

/// Sockets of one instance for messages to other instances. Used on a single thread.
pub struct Net {
    key: FrameKey,
    me: InstanceId,
    session: u64,
    seq: u64,
    udp: Rc<UdpSocket>,
    addresses: HashMap<InstanceId, SocketAddr>,
    streams: HashMap<InstanceId, mpsc::Sender<Vec<u8>>>,
    metrics: Metrics,
    /// Sent after each heartbeat to other controllers.
    statement: ControllerStatement,
}

/// State that the receiving tasks share.
struct Receiver {
    key: FrameKey,
    me: InstanceId,
    guard: RefCell<ReplayGuard>,
    tx: mpsc::UnboundedSender<Received>,
    /// Channel for senders whose session is stale, with the highest session seen from them.
    stale_sessions: mpsc::UnboundedSender<(InstanceId, u64)>,
    metrics: Metrics,
    events: EventLog,
    last_event_at: RefCell<Option<std::time::Instant>>,
}

/// Receivers of the channels that the receiving tasks fill.
pub struct Incoming {
    /// Messages whose frames passed all checks.
    pub messages: mpsc::UnboundedReceiver<Received>,
    /// Senders whose session is stale, with the highest session seen from them.
    pub stale_sessions: mpsc::UnboundedReceiver<(InstanceId, u64)>,
}

/// Parameters of [`Net::open`].
pub struct NetParams {
    /// Name of this instance.
    pub me: InstanceId,
    /// Address on which it receives datagrams and streams.
    pub address: SocketAddr,
    /// Key that authenticates the frames.
    pub key: FrameKey,
    /// Session number of this start.
    pub session: u64,
    /// Known addresses of other instances.
    pub addresses: HashMap<InstanceId, SocketAddr>,
    /// Metrics of this instance.
    pub metrics: Metrics,
    /// Journal for events about rejected frames.
    pub events: EventLog,
    /// Incoming streams that have not shown the key yet.
    pub strangers: ConnectionGroup,
}

impl Net {
    /// Opens the sockets and starts the receiving tasks on this thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn open(params: NetParams) -> std::io::Result<(Self, Incoming)> {
        let udp = Rc::new(UdpSocket::bind(params.address).await?);
        let listener = socket::listen(params.address, socket::CONTROL).await?;
        let (tx, messages) = mpsc::unbounded_channel();
        let (stale_tx, stale_sessions) = mpsc::unbounded_channel();
        let receiver = Rc::new(Receiver {
            key: params.key.clone(),
            me: params.me.clone(),
            guard: RefCell::default(),
            tx,
            stale_sessions: stale_tx,
            metrics: params.metrics.clone(),
            events: params.events,
            last_event_at: RefCell::default(),
        });
        tokio::task::spawn_local(receive_datagrams(udp.clone(), receiver.clone()));
        tokio::task::spawn_local(accept_streams(listener, params.strangers, receiver));
        let net = Self {
            key: params.key,
            me: params.me,
            session: params.session,
            seq: 0,
            udp,
            addresses: params.addresses,
            streams: HashMap::new(),
            metrics: params.metrics,
            statement: ControllerStatement::default(),
        };
        Ok((net, Incoming { messages, stale_sessions }))
    }

    /// Raises the session number above `known`, the highest one that a peer has seen from this
    /// instance.
    pub fn raise_session(&mut self, known: u64) {
        if self.session <= known {
            self.session = known + 1;
            self.seq = 0;
        }
    }

    /// Sets the address of another instance.
    pub fn set_address(&mut self, instance: InstanceId, address: SocketAddr) {
        self.addresses.insert(instance, address);
    }

    /// Sets what this instance states with its heartbeats to other controllers.
    pub fn set_statement(&mut self, statement: ControllerStatement) {
        self.statement = statement;
    }

    /// Sends a message without a delivery guarantee. Drops it if the address of `to` is unknown.
    pub async fn send(&mut self, to: &InstanceId, message: Message) {
        let Some(address) = self.addresses.get(to).copied() else { return };
        self.seq += 1;
        let kind = message_kind(&message);
        let envelope = Envelope {
            from: self.me.clone(),
            to: to.clone(),
            session: self.session,
            seq: self.seq,
            message,
        };
        let is_heartbeat =
            matches!(envelope.message, Message::Controller(ControllerMessage::Heartbeat { .. }));
        let sealed = match is_heartbeat {
            true => self.key.seal_with(&envelope, &self.statement, MAX_STREAM_BYTES),
            false => self.key.seal(&envelope, MAX_STREAM_BYTES),
        };
        let Ok(frame) = sealed else {
            log::error!("dropped a message to {to}: it is too long for a frame");
            return;
        };
        self.metrics.inner_sent.with_label_values(&[kind]).inc();
        self.metrics.inner_sent_bytes.inc_by(frame.len() as u64);
        if frame.len() <= MAX_SENT_DATAGRAM_BYTES {
            // A failed send is equivalent to a packet lost in the network.
            let _ = self.udp.send_to(&frame, address).await;
            return;
        }
        self.send_on_stream(to, address, frame);
    }

    fn send_on_stream(&mut self, to: &InstanceId, address: SocketAddr, frame: Vec<u8>) {
        let stream = self.streams.get(to).filter(|s| !s.is_closed());
        let tx = match stream {
            Some(tx) => tx.clone(),
            None => {
                let (tx, rx) = mpsc::channel(MAX_QUEUED_FRAMES);
                tokio::task::spawn_local(write_stream(address, rx));
                self.streams.insert(to.clone(), tx.clone());
                tx
            }
        };
        let _ = tx.try_send(frame);
    }
}

fn message_kind(message: &Message) -> &'static str {
    match message {
        Message::Digest(_) => "digest",
        Message::Changes(_) => "changes",
        Message::Fetch(_) => "fetch",
        Message::Goodbye => "goodbye",
        Message::StaleSession { .. } => "stale_session",
        Message::ConfigFetch { .. } => "config_fetch",
        Message::ConfigChanges { .. } => "config_changes",
        Message::ConfigWhole { .. } => "config_whole",
        Message::Control(_) => "control",
        Message::Controller(_) => "controller",
    }
}

async fn write_stream(address: SocketAddr, mut rx: mpsc::Receiver<Vec<u8>>) {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let Ok(Ok(mut stream)) = connect.await else { return };
    // Without a user timeout, a stream whose peer vanished without a reset would lose all further
    // messages.
    if let Err(e) = socket::prepare(&stream, socket::CONTROL) {
        log::warn!("cannot set the socket options of a stream to {address}: {e}");
    }
    while let Some(frame) = rx.recv().await {
        if write_frame(&mut stream, &frame).await.is_err() {
            return;
        }
    }
}

async fn receive_datagrams(udp: Rc<UdpSocket>, receiver: Rc<Receiver>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match udp.recv_from(&mut buf).await {
            Ok((length, _)) => {
                receiver.handle_frame(&buf[..length], MAX_DATAGRAM_BYTES);
            }
            // The error stems from an earlier send, such as a closed port on the peer.
            Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
        }
    }
}

async fn accept_streams(listener: TcpListener, strangers: ConnectionGroup, receiver: Rc<Receiver>) {
    loop {
        let stream = next_connection(&listener).await;
        // Strangers always give way.
        let Some(connection) = strangers.admit().await else { continue };
        let receiver = receiver.clone();
        tokio::task::spawn_local(async move { read_stream(stream, connection, &receiver).await });
    }
}

/// Reads frames until the stream ends or a frame is rejected. The first one that is accepted shows that another
/// instance speaks.
async fn read_stream(mut stream: TcpStream, connection: Connection, receiver: &Receiver) {
    let mut stranger = Some(connection);
    loop {
        let frame = match &stranger {
            Some(connection) => {
                let read =
                    read_first_frame(&mut stream, MAX_STREAM_BYTES, FRAME_TIMEOUT, connection);
                read.await.map(|(frame, reservation)| (frame, Some(reservation)))
            }
            None => {
                let read = read_frame(&mut stream, MAX_STREAM_BYTES, FRAME_TIMEOUT);
                read.await.map(|frame| (frame, None))
            }
        };
        let (frame, _reservation) = match frame {
            Ok(frame) => frame,
            Err(e) => {
                if e.kind() == std::io::ErrorKind::InvalidData {
                    receiver.reject(&e.to_string(), "length");
                }
                return;
            }
        };
        if !receiver.handle_frame(&frame, MAX_STREAM_BYTES) {
            return;
        }
        stranger = None;
    }
}

impl Receiver {
    /// Checks a frame and passes on its message. Returns `false` if the frame is rejected, and
    /// `true` also for a replayed frame or a stale session.
    fn handle_frame(&self, frame: &[u8], max: usize) -> bool {
        self.metrics.inner_received_bytes.inc_by(frame.len() as u64);
        let opened = self.key.open_with(frame, max);
        let (envelope, statement): (Envelope, _) = match opened {
            Ok(opened) => opened,
            Err(e) => {
                self.reject(&e.to_string(), error_label(&e));
                return false;
            }
        };
        if envelope.to != self.me {
            self.reject(
                "the frame is addressed to another instance: check the addresses of the peers",
                "receiver",
            );
            return false;
        }
        let verdict = self.guard.borrow_mut().check(&envelope.from, envelope.session, envelope.seq);
        match verdict {
            ReplayVerdict::Fresh => {
                let (from, message) = (envelope.from, envelope.message);
                let received = Received { from, message, statement };
                let _ = self.tx.send(received);
            }
            ReplayVerdict::Replayed => {
                self.metrics.frames_refused.with_label_values(&["replayed"]).inc();
            }
            ReplayVerdict::StaleSession { known } => {
                self.metrics.frames_refused.with_label_values(&["stale_session"]).inc();
                let _ = self.stale_sessions.send((envelope.from, known));
            }
        }
        true
    }

    fn reject(&self, reason: &str, label: &str) {
        self.metrics.frames_refused.with_label_values(&[label]).inc();
        let mut last_event_at = self.last_event_at.borrow_mut();
        if last_event_at.is_some_and(|at| at.elapsed() < MIN_REJECTION_EVENT_INTERVAL) {
            return;
        }
        *last_event_at = Some(std::time::Instant::now());
        self.events.record(Event::FrameRefused { reason: SmolStr::new(reason) });
    }
}

fn error_label(e: &FrameError) -> &'static str {
    match e {
        FrameError::Length { .. } | FrameError::TooLong { .. } => "length",
        FrameError::Version { .. } => "version",
        FrameError::Tag => "tag",
        FrameError::Body => "body",
    }
}
