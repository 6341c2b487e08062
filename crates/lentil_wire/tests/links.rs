//! Connections: who is let in, and how long silence lasts.

use std::{net::SocketAddr, time};

use lentil_types::{Attempt, AttemptId, Instant, NodeName, RequestId};
use lentil_wire::{
    Identity, Link, MINOR, Message, Peer, RefusalLog, RefusalLogSettings, WireError,
};
use smol::net::{TcpListener, TcpStream};

/// Longest wait. It only ends a test that fails.
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
        let late = async {
            smol::Timer::after(LIMIT).await;
            panic!("the test does not end");
        };
        smol::future::or(test, late).await
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
            // Moves the last bytes of the handshake.
            let _ = peer.next().await;
            smol::future::pending().await
        };
        let identity = ours();
        let link = smol::future::or(Link::connect(address, &identity), serve).await;
        assert_eq!(link.expect("connected").minor(), MINOR);
    });
}

/// The client ends its direction on another thread than the one that moves the
/// connection's bytes, so the server may be ahead of it.
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
        let stranger = identity("the key of another fleet, long enough");
        let refused = smol::future::or(Link::connect(address, &stranger), accept).await;
        assert!(
            matches!(refused, Err(WireError::Unauthenticated(_))),
            "{refused:?}"
        );
    });
}

#[test]
fn what_is_not_http2_is_cut_off() {
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
fn a_client_that_says_nothing_is_cut_off() {
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
fn a_peer_that_freezes_is_noticed_while_a_request_is_in_flight() {
    run(async {
        let (listener, address) = listen().await;
        let serve = async {
            let (stream, _) = listener.accept().await.expect("a connection");
            let mut peer = Peer::accept(stream, &ours()).await.expect("accepted");
            let exchange = peer.next().await.expect("no error").expect("a stream");
            // Nobody polls the connection any more.
            let _frozen = (peer, exchange);
            smol::future::pending().await
        };
        let ask = async {
            let link = Link::connect(address, &ours()).await.expect("connected");
            let mut exchange = link.open().await.expect("opened");
            exchange.sender.send(cancel()).await.expect("sent");
            exchange.receiver.recv().await
        };
        let answer = smol::future::or(ask, serve).await;
        assert!(answer.is_err(), "{answer:?}");
    });
}

#[test]
fn a_refused_address_is_news_once_a_period() {
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
