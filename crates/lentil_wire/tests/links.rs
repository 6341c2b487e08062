//! Authentication, timeouts and keep-alive of connections.

use std::{net::SocketAddr, time};

use lentil_types::{Attempt, AttemptId, Instant, NodeName, RequestId};
use lentil_wire::{
    Identity, Link, MINOR, Message, Peer, RefusalLog, RefusalLogSettings, WireError,
};
use smol::net::{TcpListener, TcpStream};

/// Longest run of a test; only a failing test reaches it.
const LIMIT: time::Duration = time::Duration::from_secs(60);

fn identity(key: &str) -> Identity {
    Identity {
        node: NodeName::new("node").expect("well formed"),
        key: key.parse().expect("long enough"),
    }
}

fn ours() -> Identity {
    identity("the key of this fleet, long enough")
}

fn cancel() -> Message {
    Message::Cancel(AttemptId {
        request: RequestId(1),
        attempt: Attempt::FIRST,
    })
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

fn run<T>(test: impl Future<Output = T>) -> T {
    smol::block_on(async {
        let timeout = async {
            smol::Timer::after(LIMIT).await;
            panic!("the test does not end");
        };
        smol::future::or(test, timeout).await
    })
}

#[test]
fn both_sides_learn_the_common_minor_version() {
    run(async {
        let (listener, address) = listen().await;
        let serve = async {
            let (stream, _) = listener.accept().await.expect("a connection");
            let mut peer = Peer::accept(stream, &ours()).await.expect("accepted");
            assert_eq!(peer.minor(), MINOR);
            // Sends the last bytes of the handshake.
            let _ = peer.next().await;
            smol::future::pending().await
        };
        let identity = ours();
        let link = smol::future::or(Link::connect(address, &identity), serve).await;
        assert_eq!(link.expect("connected").minor(), MINOR);
    });
}

/// Guards against a race: the client closes its direction on another thread than
/// the one that drives the connection's I/O, so the server may close first.
#[test]
fn handshakes_succeed_however_the_sides_are_scheduled() {
    run(async {
        let (listener, address) = listen().await;
        let serve = async {
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                let serve_one = async move {
                    let mut peer = Peer::accept(stream, &ours()).await?;
                    peer.next().await
                };
                smol::spawn(serve_one).detach();
            }
        };
        let connect = async {
            for _ in 0..500 {
                let link = Link::connect(address, &ours()).await;
                assert!(link.is_ok(), "{link:?}");
            }
        };
        smol::future::or(connect, serve).await;
    });
}

#[test]
fn another_key_is_refused_by_the_client() {
    run(async {
        let (listener, address) = listen().await;
        let accept = async {
            let (stream, _) = listener.accept().await.expect("a connection");
            let _ = Peer::accept(stream, &ours()).await;
            smol::future::pending().await
        };
        let other_fleet = identity("the key of another fleet, long enough");
        let refused = smol::future::or(Link::connect(address, &other_fleet), accept).await;
        assert!(
            matches!(refused, Err(WireError::Unauthenticated(_))),
            "{refused:?}"
        );
    });
}

#[test]
fn a_connection_that_is_not_http2_is_closed() {
    run(async {
        let (listener, address) = listen().await;
        let mut stream = TcpStream::connect(address).await.expect("connected");
        let garbage = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
        let sent = smol::io::AsyncWriteExt::write_all(&mut stream, garbage).await;
        sent.expect("sent");
        let (accepted, _) = listener.accept().await.expect("a connection");
        let refused = Peer::accept(accepted, &ours()).await;
        assert!(matches!(refused, Err(WireError::H2(_))), "{refused:?}");
    });
}

#[test]
fn a_client_that_sends_nothing_is_closed() {
    run(async {
        let (listener, address) = listen().await;
        let silent = TcpStream::connect(address).await.expect("connected");
        let (accepted, _) = listener.accept().await.expect("a connection");
        let refused = Peer::accept(accepted, &ours()).await;
        assert!(
            matches!(refused, Err(WireError::HandshakeTimeout(_))),
            "{refused:?}"
        );
        drop(silent);
    });
}

#[test]
fn a_frozen_peer_is_detected_while_a_request_is_in_flight() {
    run(async {
        let (listener, address) = listen().await;
        let serve = async {
            let (stream, _) = listener.accept().await.expect("a connection");
            let mut peer = Peer::accept(stream, &ours()).await.expect("accepted");
            let exchange = peer.next().await.expect("no error").expect("a stream");
            // The connection is not polled any more.
            let _frozen = (peer, exchange);
            smol::future::pending().await
        };
        let request = async {
            let link = Link::connect(address, &ours()).await.expect("connected");
            let mut exchange = link.open().await.expect("opened");
            exchange.sender.send(cancel()).await.expect("sent");
            exchange.receiver.recv().await
        };
        let answer = smol::future::or(request, serve).await;
        assert!(answer.is_err(), "{answer:?}");
    });
}

#[test]
fn a_refused_address_is_reported_once_per_period() {
    let settings = RefusalLogSettings {
        period: time::Duration::from_secs(60),
        capacity: 2,
    };
    let mut refusals = RefusalLog::new(settings);
    let address = |last: u8| std::net::IpAddr::from([192, 0, 2, last]);
    let at = Instant::from_millis;
    assert!(refusals.should_report(at(0), address(1)));
    assert!(!refusals.should_report(at(59_999), address(1)));
    assert!(refusals.should_report(at(60_000), address(1)));
    for last in 2..100 {
        refusals.should_report(at(60_001), address(last));
    }
    assert_eq!(refusals.len(), 2, "memory is bounded");
}
