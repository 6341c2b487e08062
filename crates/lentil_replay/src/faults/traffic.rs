//! What callers send.

use std::time;

use lentil_policy::{entry, protocol};
use lentil_types::{
    Class, Fingerprint, IdempotencyKey, Instant, ModelName, PieceHash, RequestId, ServiceName,
    TeamName, Tokens, WeightsVersion,
};
use rand::RngExt as _;

use super::{Sabotage, Settings};

/// When callers begin to send: sidecars have been up for long enough to prove
/// what did not run.
pub(super) const BEGIN: Instant = Instant::from_millis(200_000);
/// How long callers send for.
pub(super) const SPAN: time::Duration = time::Duration::from_secs(30);
/// Unix time at the beginning of a run, in seconds.
pub(super) const UNIX_BEGIN: u64 = 1_800_000_000;

/// What a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// A model's answer, streamed.
    Chat,
    /// A call to a plain service that may be repeated.
    Plain,
    /// A call to a plain service that may run at most once.
    Once { key: u64 },
    /// A model request that crashes its engine.
    Poison,
}

/// A request that a caller sends.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sending {
    pub(super) at: Instant,
    pub(super) entry: usize,
    pub(super) kind: Kind,
    /// What is asked, whoever asks.
    pub(super) content: u64,
    pub(super) budget: time::Duration,
    /// How often its caller has sent it before.
    pub(super) round: u32,
}

/// The requests of a run.
pub(super) fn sendings(settings: &Settings, rng: &mut rand_pcg::Pcg64Mcg) -> Vec<Sending> {
    let span = SPAN.as_micros() as u64;
    let one = |content: u64| {
        let kind = match rng.random_range(0..100_u32) {
            0..45 => Kind::Chat,
            45..60 => Kind::Plain,
            60..97 => Kind::Once { key: content },
            _ if settings.poison => Kind::Poison,
            _ => Kind::Chat,
        };
        Sending {
            at: BEGIN + time::Duration::from_micros(rng.random_range(0..span)),
            entry: rng.random_range(0..settings.entries),
            kind,
            content,
            budget: time::Duration::from_millis(rng.random_range(1_000..20_000)),
            round: 0,
        }
    };
    (1..=settings.requests as u64).map(one).collect()
}

impl Sending {
    /// The arrival at an entry.
    pub(super) fn arrival(&self, request: RequestId, settings: &Settings) -> entry::Arrival {
        let model = matches!(self.kind, Kind::Chat | Kind::Poison);
        let key = match self.kind {
            Kind::Once { key } => Some(key_of(key)),
            _ => None,
        };
        let fingerprint = match settings.sabotage {
            Some(Sabotage::NoFingerprints) => Fingerprint(request.0 as u64),
            _ => self.fingerprint(),
        };
        let work = protocol::Work {
            service: name(if model { "chat" } else { "dock" }),
            model: model.then(|| ModelName::new("m").expect("a name")),
            team: TeamName::new("team").expect("a name"),
            class: Class::Normal,
            weights: WeightsVersion(u32::from(model)),
            pieces: vec![PieceHash(self.content)].into(),
            prompt: Tokens(1_000),
            output: Tokens(10),
        };
        let call = protocol::HttpCall {
            method: "POST".to_owned(),
            path: "/call".to_owned(),
            headers: Vec::new(),
            body: self.content.to_string().into_bytes().into(),
        };
        let once = key.is_some() && settings.sabotage != Some(Sabotage::NoClaims);
        entry::Arrival {
            request,
            work,
            call,
            deadline: self.at + self.budget,
            once,
            key,
            fingerprint,
        }
    }

    /// What it is known by.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        Fingerprint(0x1000 + self.content)
    }
}

/// The service of chats and the plain service.
pub(super) fn name(text: &str) -> ServiceName {
    ServiceName::new(text).expect("a name")
}

fn key_of(key: u64) -> IdempotencyKey {
    let made = UNIX_BEGIN + BEGIN.0 / 1_000_000;
    IdempotencyKey::new(&format!("{made}-key-{key}")).expect("a key")
}
