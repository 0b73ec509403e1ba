//! An entry that was paused, and reads what other entries have sent meanwhile.
//!
//! A group and its cancellation have to arrive together, however many bytes lie between them: the
//! origin entry has given up, and nothing of the group may be sent any more.

mod common;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use common::run_local;
use hornbeam_entry::peer_connection::PeerConnection;
use hornbeam_node::memory::MemoryBudget;
use hornbeam_protocol::FrameKey;
use tokio::net::{TcpListener, TcpStream};

/// With their size, fewer bytes than the system buffers for a connection.
const MESSAGES: usize = 60;
const MESSAGE_BYTES: usize = 1 << 10;

#[test]
fn one_batch_after_pause() {
    run_local(async {
        let key = || FrameKey::new(b"a key of at least sixteen bytes");
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (accepted, opened) = tokio::join!(listener.accept(), TcpStream::connect(address));
        let sender = PeerConnection::new(opened.unwrap(), key(), &MemoryBudget::default()).unwrap();
        let receiver =
            PeerConnection::new(accepted.unwrap().0, key(), &MemoryBudget::default()).unwrap();
        for n in 0..MESSAGES {
            sender.send(&vec![n as u8; MESSAGE_BYTES]);
        }
        // The receiver does nothing while the bytes arrive.
        tokio::time::sleep(Duration::from_millis(50)).await;
        let batches = Rc::new(RefCell::new(Vec::new()));
        let seen = batches.clone();
        let run = receiver.run(move |batch: Vec<Vec<u8>>| seen.borrow_mut().push(batch.len()));
        let _ = tokio::time::timeout(Duration::from_millis(200), run).await;
        assert_eq!(*batches.borrow(), [MESSAGES]);
    });
}
