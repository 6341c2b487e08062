//! The handshake: versions, and proof of the fleet key in both directions.
//!
//! The client says who it is and gives a nonce. The server answers with its own
//! nonce and a proof over both; the client checks it and answers with its proof.
//! The key itself never travels.

use std::{fmt, str, sync::Arc, time};

use hmac::{KeyInit as _, Mac as _};
use lentil_types::NodeName;
use rand::TryRng as _;
use subtle::ConstantTimeEq as _;

use crate::{
    ConvertError, Exchange, WireError,
    exchange::Terms,
    generated::{self, message::Body},
    usage::Usage,
};

/// Major version of the messages. Another one is refused.
pub const MAJOR: u32 = 1;
/// Minor version of the messages. A higher one adds kinds of messages.
pub const MINOR: u32 = 3;

/// Longest handshake, from the connection on.
pub(crate) const TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Largest frame of a handshake, in bytes.
const MAX_FRAME_BYTES: usize = 1_024;
/// Size of a nonce, in bytes.
const NONCE_BYTES: usize = 32;
/// Shortest fleet key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// A fleet key is too short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a fleet key has at least {MIN_KEY_BYTES} bytes, this one has {0}")]
pub struct KeyTooShort(usize);

/// The secret that every process of one fleet has. `Debug` hides it.
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

/// Who this process is, for its peers.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of this process.
    pub node: NodeName,
    /// The fleet's secret.
    pub key: FleetKey,
}

/// Which side a proof is for, so that neither can be played back as the other.
#[derive(Clone, Copy)]
enum Side {
    Client,
    Server,
}

/// What a handshake says of the other side.
pub(crate) struct Greeted {
    pub(crate) node: NodeName,
    /// Minor version that both sides have.
    pub(crate) minor: u32,
}

/// Terms of the stream that carries a handshake.
pub(crate) fn terms(usage: &Arc<Usage>) -> Terms {
    Terms {
        usage: usage.clone(),
        minor: 0,
        limit: MAX_FRAME_BYTES,
    }
}

/// The client's side.
pub(crate) async fn greet(
    identity: &Identity,
    exchange: &mut Exchange,
) -> Result<Greeted, WireError> {
    let Exchange { sender, receiver } = exchange;
    let mine = nonce()?;
    let hello = generated::Hello {
        major: MAJOR,
        minor: MINOR,
        node: identity.node.to_string(),
        nonce: mine.clone(),
    };
    sender.send_body(&Body::Hello(hello)).await?;
    let challenge = match receiver.recv_body().await? {
        Some(Body::Challenge(challenge)) => challenge,
        other => return Err(unexpected("challenge", other.as_ref())),
    };
    let node = NodeName::new(&challenge.node).map_err(ConvertError::from)?;
    check_version(&node, challenge.major)?;
    check_nonce(&challenge.nonce)?;
    let expected = proof(&identity.key, Side::Server, &mine, &challenge.nonce);
    check_proof(&node, &expected, &challenge.proof)?;
    let proof = proof(&identity.key, Side::Client, &mine, &challenge.nonce);
    let proof = generated::Proof { proof };
    sender.send_body(&Body::Proof(proof)).await?;
    sender.finish();
    match receiver.recv_body().await? {
        Some(Body::Welcome(_)) => Ok(greeted(node, challenge.minor)),
        other => Err(unexpected("welcome", other.as_ref())),
    }
}

/// The server's side.
pub(crate) async fn welcome(
    identity: &Identity,
    exchange: &mut Exchange,
) -> Result<Greeted, WireError> {
    let Exchange { sender, receiver } = exchange;
    let hello = match receiver.recv_body().await? {
        Some(Body::Hello(hello)) => hello,
        other => return Err(unexpected("hello", other.as_ref())),
    };
    let node = NodeName::new(&hello.node).map_err(ConvertError::from)?;
    check_nonce(&hello.nonce)?;
    let mine = nonce()?;
    let challenge = generated::Challenge {
        major: MAJOR,
        minor: MINOR,
        node: identity.node.to_string(),
        nonce: mine.clone(),
        proof: proof(&identity.key, Side::Server, &hello.nonce, &mine),
    };
    sender.send_body(&Body::Challenge(challenge)).await?;
    check_version(&node, hello.major)?;
    let answer = match receiver.recv_body().await? {
        Some(Body::Proof(answer)) => answer.proof,
        other => return Err(unexpected("proof", other.as_ref())),
    };
    let expected = proof(&identity.key, Side::Client, &hello.nonce, &mine);
    check_proof(&node, &expected, &answer)?;
    // A stream that this side closed first would fail the client's own end.
    if let Some(other) = receiver.recv_body().await? {
        return Err(unexpected("the end of the handshake", Some(&other)));
    }
    let welcome = generated::Welcome { config: 0 };
    sender.send_body(&Body::Welcome(welcome)).await?;
    sender.finish();
    Ok(greeted(node, hello.minor))
}

fn greeted(node: NodeName, theirs: u32) -> Greeted {
    Greeted {
        node,
        minor: MINOR.min(theirs),
    }
}

fn nonce() -> Result<Vec<u8>, WireError> {
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
        .expect("HMAC takes a key of any size");
    for part in [label, client_nonce, server_nonce] {
        mac.update(&(part.len() as u64).to_le_bytes());
        mac.update(part);
    }
    mac.finalize().into_bytes().to_vec()
}

/// A short nonce would let an old proof be played back.
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
