//! Datagrams and streams between instances.
//!
//! Short messages go in datagrams. One that is too long for a datagram goes over a stream that is
//! opened when first needed; if that breaks, the message is lost, as a datagram may be, and the
//! state machines send it again.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hornbeam_events::Event;
use hornbeam_model::InstanceId;
use hornbeam_protocol::{
    Envelope, FrameError, FrameKey, MAX_DATAGRAM_BYTES, MAX_STREAM_BYTES, Message, ReplayGuard,
    ReplayVerdict,
};
use smol_str::SmolStr;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;

use crate::frames::{read_frame, write_frame};
use crate::journal::EventLog;
use crate::metrics::Metrics;

/// Longest message sent as a datagram, in bytes; it fits into one packet.
const DATAGRAM_BYTES: usize = 1_400;
/// Messages that may wait for one stream.
const STREAM_QUEUE: usize = 64;
/// Streams accepted at once.
const MAX_STREAMS: usize = 512;
/// Time without acknowledgement after which a stream is given up.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time to open a stream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for one frame to arrive once it began.
const FRAME_TIMEOUT: Duration = Duration::from_secs(10);
/// Refused frames noted as events, at most one in this time.
const REFUSAL_EVENT_EVERY: Duration = Duration::from_secs(10);

/// A message that passed every check.
#[derive(Debug)]
pub struct Received {
    /// The sender.
    pub from: InstanceId,
    /// The message.
    pub message: Message,
}

/// Sockets of one instance. Lives on the control thread.
pub struct Net {
    key: FrameKey,
    me: InstanceId,
    session: u64,
    seq: u64,
    udp: Rc<UdpSocket>,
    addresses: HashMap<InstanceId, SocketAddr>,
    streams: HashMap<InstanceId, mpsc::Sender<Vec<u8>>>,
    metrics: Metrics,
}

/// What the receiving tasks share.
struct Receiver {
    key: FrameKey,
    me: InstanceId,
    guard: RefCell<ReplayGuard>,
    tx: mpsc::UnboundedSender<Received>,
    /// Where to say that a sender's session is stale.
    stale_sessions: mpsc::UnboundedSender<(InstanceId, u64)>,
    metrics: Metrics,
    events: EventLog,
    last_event: RefCell<Option<std::time::Instant>>,
}

/// Ends of the channels that the receiving tasks fill.
pub struct Incoming {
    /// Messages that passed every check.
    pub messages: mpsc::UnboundedReceiver<Received>,
    /// Senders whose session is stale, with the highest one seen.
    pub stale_sessions: mpsc::UnboundedReceiver<(InstanceId, u64)>,
}

/// What [`Net::open`] needs.
pub struct NetParams {
    /// Name of this instance.
    pub me: InstanceId,
    /// Where it takes messages.
    pub address: SocketAddr,
    /// Key of the frames.
    pub key: FrameKey,
    /// Number of this start.
    pub session: u64,
    /// Addresses of the other instances.
    pub addresses: HashMap<InstanceId, SocketAddr>,
    /// The metrics.
    pub metrics: Metrics,
    /// The journal.
    pub events: EventLog,
}

impl Net {
    /// Opens the sockets and starts the receiving tasks on this thread.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub async fn open(params: NetParams) -> std::io::Result<(Self, Incoming)> {
        let udp = Rc::new(UdpSocket::bind(params.address).await?);
        let listener = TcpListener::bind(params.address).await?;
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
            last_event: RefCell::default(),
        });
        tokio::task::spawn_local(receive_datagrams(udp.clone(), receiver.clone()));
        tokio::task::spawn_local(accept_streams(listener, receiver));
        let net = Self {
            key: params.key,
            me: params.me,
            session: params.session,
            seq: 0,
            udp,
            addresses: params.addresses,
            streams: HashMap::new(),
            metrics: params.metrics,
        };
        Ok((net, Incoming { messages, stale_sessions }))
    }

    /// Uses a session number above `known` from now on.
    pub fn raise_session(&mut self, known: u64) {
        if self.session <= known {
            self.session = known + 1;
            self.seq = 0;
        }
    }

    /// Notes the address of another instance.
    pub fn set_address(&mut self, instance: InstanceId, address: SocketAddr) {
        self.addresses.insert(instance, address);
    }

    /// Sends a message; it may be lost.
    pub async fn send(&mut self, to: &InstanceId, message: Message) {
        let Some(address) = self.addresses.get(to).copied() else { return };
        self.seq += 1;
        let kind = kind_of(&message);
        let envelope = Envelope {
            from: self.me.clone(),
            to: to.clone(),
            session: self.session,
            seq: self.seq,
            message,
        };
        let Ok(frame) = self.key.seal(&envelope, MAX_STREAM_BYTES) else {
            log::error!("a message to {to} is too long for a frame and was dropped");
            return;
        };
        self.metrics.inner_sent.with_label_values(&[kind]).inc();
        self.metrics.inner_sent_bytes.inc_by(frame.len() as u64);
        if frame.len() <= DATAGRAM_BYTES {
            // A lost datagram is like a lost packet.
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
                let (tx, rx) = mpsc::channel(STREAM_QUEUE);
                tokio::task::spawn_local(write_stream(address, rx));
                self.streams.insert(to.clone(), tx.clone());
                tx
            }
        };
        let _ = tx.try_send(frame);
    }
}

fn kind_of(message: &Message) -> &'static str {
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
    let _ = stream.set_nodelay(true);
    // A stream that has fallen silent without a reset must not swallow one message after another.
    if let Err(e) = SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)) {
        log::warn!("the timeout of a stream to {address} cannot be set: {e}");
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
                receiver.take(&buf[..length], MAX_DATAGRAM_BYTES);
            }
            // An error of an earlier send, such as a closed port at the peer.
            Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
        }
    }
}

async fn accept_streams(listener: TcpListener, receiver: Rc<Receiver>) {
    let places = std::sync::Arc::new(tokio::sync::Semaphore::new(MAX_STREAMS));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let receiver = receiver.clone();
                tokio::task::spawn_local(async move {
                    read_stream(stream, &receiver).await;
                    drop(place);
                });
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

/// Reads frames until the stream ends or one is refused.
async fn read_stream(mut stream: TcpStream, receiver: &Receiver) {
    loop {
        let frame = match read_frame(&mut stream, MAX_STREAM_BYTES, FRAME_TIMEOUT).await {
            Ok(frame) => frame,
            Err(e) => {
                if e.kind() == std::io::ErrorKind::InvalidData {
                    receiver.refuse(&e.to_string(), "length");
                }
                return;
            }
        };
        if !receiver.take(&frame, MAX_STREAM_BYTES) {
            return;
        }
    }
}

impl Receiver {
    /// Checks a frame and passes its message on; false if it is refused.
    fn take(&self, frame: &[u8], max: usize) -> bool {
        self.metrics.inner_received_bytes.inc_by(frame.len() as u64);
        let envelope: Envelope = match self.key.open(frame, max) {
            Ok(envelope) => envelope,
            Err(e) => {
                self.refuse(&e.to_string(), label(&e));
                return false;
            }
        };
        if envelope.to != self.me {
            self.refuse("it is for another instance: check the peers' addresses", "receiver");
            return false;
        }
        let verdict = self.guard.borrow_mut().check(&envelope.from, envelope.session, envelope.seq);
        match verdict {
            ReplayVerdict::Fresh => {
                let received = Received { from: envelope.from, message: envelope.message };
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

    fn refuse(&self, reason: &str, label: &str) {
        self.metrics.frames_refused.with_label_values(&[label]).inc();
        let mut last = self.last_event.borrow_mut();
        if last.is_some_and(|at| at.elapsed() < REFUSAL_EVENT_EVERY) {
            return;
        }
        *last = Some(std::time::Instant::now());
        self.events.record(Event::FrameRefused { reason: SmolStr::new(reason) });
    }
}

fn label(e: &FrameError) -> &'static str {
    match e {
        FrameError::Length { .. } | FrameError::TooLong { .. } => "length",
        FrameError::Version { .. } => "version",
        FrameError::Tag => "tag",
        FrameError::Body => "body",
    }
}
