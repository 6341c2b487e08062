//! Generates the requests that callers send.

use std::time;

use lentil_policy::{entry, protocol};
use lentil_types::{
    Class, Fingerprint, IdempotencyKey, Instant, ModelName, PieceHash, RequestId, ServiceName,
    TeamName, Tokens, WeightsVersion,
};
use rand::RngExt as _;

use super::{Mutation, Settings};

/// When callers begin to send: sidecars have then been up for long enough to
/// prove what did not run.
pub(super) const TRAFFIC_START: Instant = Instant::from_millis(200_000);
/// Time for which callers send requests.
pub(super) const TRAFFIC_DURATION: time::Duration = time::Duration::from_secs(30);
/// Unix time at the start of a run, in seconds.
pub(super) const UNIX_START_SECS: u64 = 1_800_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestKind {
    /// A model request with a streamed answer.
    Chat,
    /// A call to a plain service that may be repeated.
    Plain,
    /// A call to a plain service that may run at most once.
    Once { key: u64 },
    /// A model request that crashes its engine.
    Poison,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct CallerRequest {
    pub(super) at: Instant,
    pub(super) entry: usize,
    pub(super) kind: RequestKind,
    /// Identifies the content; the same when resent.
    pub(super) content: u64,
    pub(super) budget: time::Duration,
    /// Times that its caller has sent it before.
    pub(super) resends: u32,
}

pub(super) fn generate(settings: &Settings, rng: &mut rand_pcg::Pcg64Mcg) -> Vec<CallerRequest> {
    let span = TRAFFIC_DURATION.as_micros() as u64;
    let request = |content: u64| {
        let kind = match rng.random_range(0..100_u32) {
            0..45 => RequestKind::Chat,
            45..60 => RequestKind::Plain,
            60..97 => RequestKind::Once { key: content },
            _ if settings.poison => RequestKind::Poison,
            _ => RequestKind::Chat,
        };
        CallerRequest {
            at: TRAFFIC_START + time::Duration::from_micros(rng.random_range(0..span)),
            entry: rng.random_range(0..settings.entries),
            kind,
            content,
            budget: time::Duration::from_millis(rng.random_range(1_000..20_000)),
            resends: 0,
        }
    };
    (1..=settings.requests as u64).map(request).collect()
}

impl CallerRequest {
    pub(super) fn arrival(&self, request: RequestId, settings: &Settings) -> entry::Arrival {
        let is_model = matches!(self.kind, RequestKind::Chat | RequestKind::Poison);
        let key = match self.kind {
            RequestKind::Once { key } => Some(idempotency_key(key)),
            _ => None,
        };
        let fingerprint = match settings.mutation {
            Some(Mutation::NoFingerprints) => Fingerprint(request.0 as u64),
            _ => self.fingerprint(),
        };
        let work = protocol::Work {
            service: service_name(if is_model { "chat" } else { "dock" }),
            model: is_model.then(|| ModelName::new("m").expect("a name")),
            team: TeamName::new("team").expect("a name"),
            class: Class::Normal,
            weights: WeightsVersion(u32::from(is_model)),
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
        let once = key.is_some() && settings.mutation != Some(Mutation::NoClaims);
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

    pub(super) fn fingerprint(&self) -> Fingerprint {
        Fingerprint(0x1000 + self.content)
    }
}

pub(super) fn service_name(text: &str) -> ServiceName {
    ServiceName::new(text).expect("a name")
}

fn idempotency_key(key: u64) -> IdempotencyKey {
    let created = UNIX_START_SECS + TRAFFIC_START.0 / 1_000_000;
    IdempotencyKey::new(&format!("{created}-key-{key}")).expect("a key")
}
