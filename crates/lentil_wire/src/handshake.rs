//! The handshake: versions, and proof of the fleet key in both directions.
//!
//! The client says who it is and gives a nonce. The server answers with its own
//! nonce and a proof over both; the client checks it and answers with its proof.
//! The key itself never travels.

use std::{fmt, str, time};

use hmac::{KeyInit as _, Mac as _};
use lentil_types::NodeName;
use rand::TryRng as _;
use subtle::ConstantTimeEq as _;

use crate::{
    Exchange, WireError, exchange,
    generated::{self, message::Body},
};

/// Major version of the messages. Another one is refused.
pub const MAJOR: u32 = 1;
/// Minor version of the messages. A higher one adds kinds of messages.
pub const MINOR: u32 = 0;

/// Longest handshake.
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(5);
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

pub(crate) async fn greet(
    identity: &Identity,
    exchange: &mut Exchange,
) -> Result<NodeName, WireError> {
    exchange::within(HANDSHAKE_TIMEOUT, greet_inner(identity, exchange)).await
}

pub(crate) async fn welcome(
    identity: &Identity,
    exchange: &mut Exchange,
) -> Result<NodeName, WireError> {
    exchange::within(HANDSHAKE_TIMEOUT, welcome_inner(identity, exchange)).await
}

async fn greet_inner(identity: &Identity, exchange: &mut Exchange) -> Result<NodeName, WireError> {
    let mine = nonce()?;
    let hello = generated::Hello {
        major: MAJOR,
        minor: MINOR,
        node: identity.node.to_string(),
        nonce: mine.clone(),
    };
    exchange.sender.send_generated(&Body::Hello(hello)).await?;
    let challenge = match exchange.receiver.recv_generated().await? {
        Some(Body::Challenge(challenge)) => challenge,
        other => return Err(unexpected("challenge", other.as_ref())),
    };
    check_version(&challenge.node, challenge.major)?;
    let expected = proof(&identity.key, Side::Server, &mine, &challenge.nonce);
    check_proof(&challenge.node, &expected, &challenge.proof)?;
    let proof = proof(&identity.key, Side::Client, &mine, &challenge.nonce);
    exchange
        .sender
        .send_generated(&Body::Proof(generated::Proof { proof }))
        .await?;
    exchange.sender.finish()?;
    match exchange.receiver.recv_generated().await? {
        Some(Body::Welcome(_)) => Ok(node_name(&challenge.node)?),
        other => Err(unexpected("welcome", other.as_ref())),
    }
}

async fn welcome_inner(
    identity: &Identity,
    exchange: &mut Exchange,
) -> Result<NodeName, WireError> {
    let hello = match exchange.receiver.recv_generated().await? {
        Some(Body::Hello(hello)) => hello,
        other => return Err(unexpected("hello", other.as_ref())),
    };
    let mine = nonce()?;
    let challenge = generated::Challenge {
        major: MAJOR,
        minor: MINOR,
        node: identity.node.to_string(),
        nonce: mine.clone(),
        proof: proof(&identity.key, Side::Server, &hello.nonce, &mine),
    };
    exchange
        .sender
        .send_generated(&Body::Challenge(challenge))
        .await?;
    check_version(&hello.node, hello.major)?;
    let answer = match exchange.receiver.recv_generated().await? {
        Some(Body::Proof(answer)) => answer.proof,
        other => return Err(unexpected("proof", other.as_ref())),
    };
    let expected = proof(&identity.key, Side::Client, &hello.nonce, &mine);
    check_proof(&hello.node, &expected, &answer)?;
    exchange
        .sender
        .send_generated(&Body::Welcome(generated::Welcome { config: 0 }))
        .await?;
    exchange.sender.finish()?;
    Ok(node_name(&hello.node)?)
}

fn node_name(text: &str) -> Result<NodeName, crate::ConvertError> {
    Ok(NodeName::new(text)?)
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

fn check_proof(node: &str, expected: &[u8], got: &[u8]) -> Result<(), WireError> {
    if bool::from(expected.ct_eq(got)) {
        return Ok(());
    }
    Err(WireError::Stranger(node.to_owned()))
}

fn check_version(node: &str, major: u32) -> Result<(), WireError> {
    if major == MAJOR {
        return Ok(());
    }
    Err(WireError::Version {
        node: node.to_owned(),
        theirs: major,
    })
}

fn unexpected(expected: &'static str, got: Option<&Body>) -> WireError {
    match got {
        Some(_) => WireError::Unexpected {
            expected,
            got: "another message",
        },
        None => WireError::Ended(expected),
    }
}
