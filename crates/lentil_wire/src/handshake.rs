//! The handshake: version check and mutual challenge-response authentication.
//!
//! The client sends its name and a nonce. The server answers with its own nonce
//! and an HMAC over both; the client checks it and sends its own HMAC. The fleet
//! key itself is never sent.

use std::{fmt, str, sync::Arc, time};

use hmac::{KeyInit as _, Mac as _};
use lentil_types::NodeName;
use rand::TryRng as _;
use subtle::ConstantTimeEq as _;

use crate::{
    ConvertError, Exchange, WireError,
    exchange::StreamContext,
    generated::{self, message::Body},
    usage::ConnectionUsage,
};

/// Major version of the protocol. Peers with another one are refused.
pub const MAJOR: u32 = 1;
/// Minor version of the protocol. A higher one adds kinds of messages.
pub const MINOR: u32 = 3;

/// Limit of a handshake, connecting included.
pub(crate) const TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Largest frame of a handshake, in bytes. The peer is not authenticated yet.
const MAX_FRAME_BYTES: usize = 1_024;
/// Size of a nonce, in bytes.
const NONCE_BYTES: usize = 32;
/// Shortest fleet key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// A fleet key is too short; the field is its size in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a fleet key needs at least {MIN_KEY_BYTES} bytes, this one has {0}")]
pub struct KeyTooShort(usize);

/// Secret that all processes of a fleet share. `Debug` hides it.
#[derive(Clone)]
pub struct FleetKey(String);

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

impl str::FromStr for FleetKey {
    type Err = KeyTooShort;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        if s.len() < MIN_KEY_BYTES {
            return Err(KeyTooShort(s.len()));
        }
        Ok(Self(s.to_owned()))
    }
}

/// Name and fleet key that this process authenticates with.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of this process.
    pub node: NodeName,
    /// Secret of the fleet.
    pub key: FleetKey,
}

/// Side that made a proof. The proof includes it, so that it cannot be replayed as
/// the other side's.
#[derive(Clone, Copy)]
enum Side {
    Client,
    Server,
}

pub(crate) struct PeerInfo {
    pub(crate) node: NodeName,
    /// Lower of both sides' minor versions.
    pub(crate) minor: u32,
}

/// Context of a handshake's stream.
pub(crate) fn context(usage: &Arc<ConnectionUsage>) -> StreamContext {
    StreamContext {
        usage: usage.clone(),
        minor: 0,
        limit: MAX_FRAME_BYTES,
    }
}

/// Runs the client's side.
pub(crate) async fn run_client(
    identity: &Identity,
    exchange: &mut Exchange,
) -> Result<PeerInfo, WireError> {
    let Exchange { sender, receiver } = exchange;
    let nonce = new_nonce()?;
    let hello = generated::Hello {
        major: MAJOR,
        minor: MINOR,
        node: identity.node.to_string(),
        nonce: nonce.clone(),
    };
    sender.send_body(&Body::Hello(hello)).await?;
    let challenge = match receiver.recv_body().await? {
        Some(Body::Challenge(challenge)) => challenge,
        other => return Err(unexpected("challenge", other.as_ref())),
    };
    let node = NodeName::new(&challenge.node).map_err(ConvertError::from)?;
    check_version(&node, challenge.major)?;
    check_nonce(&challenge.nonce)?;
    let expected = proof(&identity.key, Side::Server, &nonce, &challenge.nonce);
    check_proof(&node, &expected, &challenge.proof)?;
    let proof = proof(&identity.key, Side::Client, &nonce, &challenge.nonce);
    let proof = generated::Proof { proof };
    sender.send_body(&Body::Proof(proof)).await?;
    sender.finish();
    match receiver.recv_body().await? {
        Some(Body::Welcome(_)) => Ok(peer_info(node, challenge.minor)),
        other => Err(unexpected("welcome", other.as_ref())),
    }
}

/// Runs the server's side.
pub(crate) async fn run_server(
    identity: &Identity,
    exchange: &mut Exchange,
) -> Result<PeerInfo, WireError> {
    let Exchange { sender, receiver } = exchange;
    let hello = match receiver.recv_body().await? {
        Some(Body::Hello(hello)) => hello,
        other => return Err(unexpected("hello", other.as_ref())),
    };
    let node = NodeName::new(&hello.node).map_err(ConvertError::from)?;
    check_nonce(&hello.nonce)?;
    let nonce = new_nonce()?;
    let challenge = generated::Challenge {
        major: MAJOR,
        minor: MINOR,
        node: identity.node.to_string(),
        nonce: nonce.clone(),
        proof: proof(&identity.key, Side::Server, &hello.nonce, &nonce),
    };
    sender.send_body(&Body::Challenge(challenge)).await?;
    check_version(&node, hello.major)?;
    let answer = match receiver.recv_body().await? {
        Some(Body::Proof(answer)) => answer.proof,
        other => return Err(unexpected("proof", other.as_ref())),
    };
    let expected = proof(&identity.key, Side::Client, &hello.nonce, &nonce);
    check_proof(&node, &expected, &answer)?;
    // Wait until the client has closed its direction: closing the stream first would
    // make the client's close fail.
    if let Some(other) = receiver.recv_body().await? {
        return Err(unexpected("the end of the handshake", Some(&other)));
    }
    let welcome = generated::Welcome { config: 0 };
    sender.send_body(&Body::Welcome(welcome)).await?;
    sender.finish();
    Ok(peer_info(node, hello.minor))
}

fn peer_info(node: NodeName, theirs: u32) -> PeerInfo {
    PeerInfo {
        node,
        minor: MINOR.min(theirs),
    }
}

fn new_nonce() -> Result<Vec<u8>, WireError> {
    let mut nonce = vec![0; NONCE_BYTES];
    let filled = rand::rngs::SysRng.try_fill_bytes(&mut nonce);
    filled.map_err(|error| WireError::Random(error.to_string()))?;
    Ok(nonce)
}

fn proof(key: &FleetKey, side: Side, client_nonce: &[u8], server_nonce: &[u8]) -> Vec<u8> {
    let label: &[u8] = match side {
        Side::Client => b"lentilglade client",
        Side::Server => b"lentilglade server",
    };
    let mut mac = hmac::Hmac::<sha2::Sha256>::new_from_slice(key.0.as_bytes())
        .expect("HMAC accepts keys of any size");
    for part in [label, client_nonce, server_nonce] {
        mac.update(&(part.len() as u64).to_le_bytes());
        mac.update(part);
    }
    mac.finalize().into_bytes().to_vec()
}

/// Checks the size: a short nonce would let an old proof be replayed.
fn check_nonce(nonce: &[u8]) -> Result<(), WireError> {
    if nonce.len() == NONCE_BYTES {
        return Ok(());
    }
    Err(ConvertError::NonceSize(nonce.len()).into())
}

fn check_proof(node: &NodeName, expected: &[u8], got: &[u8]) -> Result<(), WireError> {
    if bool::from(expected.ct_eq(got)) {
        return Ok(());
    }
    Err(WireError::Unauthenticated(node.clone()))
}

fn check_version(node: &NodeName, major: u32) -> Result<(), WireError> {
    if major == MAJOR {
        return Ok(());
    }
    Err(WireError::Version {
        node: node.clone(),
        theirs: major,
    })
}

fn unexpected(expected: &'static str, got: Option<&Body>) -> WireError {
    match got {
        Some(_) => WireError::Unexpected {
            expected,
            got: "another message",
        },
        None => WireError::StreamEnded(expected),
    }
}
