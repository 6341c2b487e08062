//! Handshakes in quick succession.

use lentil_types::NodeName;
use lentil_wire::{Identity, Link, Peer};

/// Connections opened one after the other.
const CONNECTIONS: usize = 200;

fn identity(name: &str) -> Identity {
    Identity {
        node: NodeName::new(name).expect("a name"),
        key: "the key of a test on loopback"
            .parse()
            .expect("long enough"),
    }
}

/// Guards against a race: the server may close the handshake's stream before the
/// client has closed its own direction.
#[test]
fn a_handshake_whose_stream_the_server_closes_first_succeeds() {
    smol::block_on(async {
        let listener = smol::net::TcpListener::bind(("127.0.0.1", 0)).await;
        let listener = listener.expect("it listens");
        let address = listener.local_addr().expect("it listens");
        let _server = smol::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let accept = async move {
                    let mut peer = Peer::accept(stream, &identity("server")).await?;
                    while peer.next().await?.is_some() {}
                    Ok::<_, lentil_wire::WireError>(())
                };
                smol::spawn(accept).detach();
            }
        });
        for number in 0..CONNECTIONS {
            let link = Link::connect(address, &identity("client")).await;
            assert!(link.is_ok(), "connection {number}: {link:?}");
        }
    });
}
