//! Socket options of connections.
//!
//! A library's own TCP_USER_TIMEOUT decides when keep-alive probes give up, whatever their number.

use hornbeam_node::socket::{CALLERS, CONTROL, Liveness, PEERS, SERVERS, listen, prepare};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

fn assert_options(socket: &SockRef<'_>, expected: Liveness) {
    assert!(socket.keepalive().unwrap());
    assert_eq!(socket.tcp_user_timeout().unwrap(), Some(expected.user_timeout));
    assert_eq!(socket.tcp_keepalive_time().unwrap(), expected.keepalive_idle);
    assert_eq!(socket.tcp_keepalive_interval().unwrap(), expected.keepalive_interval);
}

#[tokio::test]
async fn prepared_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    for liveness in [CALLERS, SERVERS, PEERS, CONTROL] {
        let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        prepare(&stream, liveness).unwrap();
        assert_options(&SockRef::from(&stream), liveness);
        assert!(stream.nodelay().unwrap());
    }
}

#[tokio::test]
async fn accepted_connections() {
    for liveness in [CALLERS, PEERS, CONTROL] {
        let listener = listen("127.0.0.1:0".parse().unwrap(), liveness).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (accepted, opened) = tokio::join!(listener.accept(), TcpStream::connect(address));
        opened.unwrap();
        assert_options(&SockRef::from(&accepted.unwrap().0), liveness);
    }
}
