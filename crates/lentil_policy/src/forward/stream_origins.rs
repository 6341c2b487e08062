//! Which service, and which version of its software, began a stream.
//!
//! What two versions write does not fit together, and runners do not check it, so a stream
//! continues only at the version that began it. Routers and agents remember streams for a
//! while, and a router that does not know one asks the others.
//!
//! The load it answers: releases in which several versions serve side by side for minutes,
//! while routers and runners are killed and all their callers come back at other routers.

use std::{collections::VecDeque, time};

use lentil_types::{Instant, ServiceName, SoftwareVersion, Table};

use crate::forward::{backlog::RequestHash, runners::Incarnation};

/// Most streams remembered. With 20 a second it is three minutes of them.
const MAX_STREAMS: usize = 4_096;
/// Most incarnations remembered that have left.
const MAX_DEPARTED: usize = 256;

/// Where a stream began. It goes on only there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Origin {
    /// The service. A route may be split between several.
    pub service: ServiceName,
    /// Version of the software.
    pub software: SoftwareVersion,
}

/// What is known of recent streams, by the request that began each.
#[derive(Clone, Debug)]
pub struct RecentStreams<T> {
    streams: Table<RequestHash, (T, Instant)>,
    /// Oldest first; a stream that is noted again is in it again.
    order: VecDeque<(Instant, RequestHash)>,
}

impl<T> Default for RecentStreams<T> {
    fn default() -> Self {
        Self {
            streams: Table::new(),
            order: VecDeque::new(),
        }
    }
}

impl<T> RecentStreams<T> {
    /// Remembers a stream for `retention`, counted from now.
    pub fn note(&mut self, now: Instant, stream: RequestHash, value: T, retention: time::Duration) {
        self.expire(now);
        let until = now + retention;
        self.streams.insert(stream, (value, until));
        self.order.push_back((until, stream));
    }

    /// What is known of a stream.
    pub fn get(&self, now: Instant, stream: RequestHash) -> Option<&T> {
        let (value, until) = self.streams.get(&stream)?;
        (*until > now).then_some(value)
    }

    fn expire(&mut self, now: Instant) {
        while let Some((until, stream)) = self.order.front().copied() {
            if until > now && self.order.len() < MAX_STREAMS {
                return;
            }
            self.order.pop_front();
            let is_last = |(_, noted): &(T, Instant)| *noted == until;
            if self.streams.get(&stream).is_some_and(is_last) {
                self.streams.remove(&stream);
            }
        }
    }
}

/// The software versions of one service.
#[derive(Clone, Debug)]
struct ServiceHistory {
    known_since: Instant,
    /// Each version, and when a runner of it was last known to be registered.
    versions: Vec<(SoftwareVersion, Instant)>,
}

/// Software versions that runners have had, for as long as streams of theirs may be taken
/// up.
#[derive(Clone, Debug, Default)]
pub struct SoftwareHistory {
    services: Table<ServiceName, ServiceHistory>,
    /// Runners that have left, oldest first.
    departed: Vec<(Incarnation, Origin)>,
}

impl SoftwareHistory {
    /// A runner of this version is registered.
    pub fn on_registered(
        &mut self,
        now: Instant,
        service: &ServiceName,
        software: &SoftwareVersion,
    ) {
        let new_history = || ServiceHistory {
            known_since: now,
            versions: Vec::new(),
        };
        let history = self
            .services
            .get_or_insert_with(service.clone(), new_history);
        let known = history.versions.iter_mut();
        match known.into_iter().find(|(known, _)| known == software) {
            Some((_, seen_at)) => *seen_at = now,
            None => history.versions.push((software.clone(), now)),
        }
    }

    /// A runner has left.
    pub fn on_departed(
        &mut self,
        now: Instant,
        service: &ServiceName,
        incarnation: &Incarnation,
        software: &SoftwareVersion,
    ) {
        self.on_registered(now, service, software);
        if self.departed.len() >= MAX_DEPARTED {
            self.departed.remove(0);
        }
        let origin = Origin {
            service: service.clone(),
            software: software.clone(),
        };
        self.departed.push((incarnation.clone(), origin));
    }

    /// Service and software of a runner that has left.
    pub fn departed(&self, incarnation: &Incarnation) -> Option<&Origin> {
        let mut departed = self.departed.iter().rev();
        let found = departed.find(|(other, _)| other == incarnation);
        found.map(|(_, origin)| origin)
    }

    /// Versions that runners of a service have had within `span`: `registered` now, and
    /// those that have left.
    pub fn recent<'a>(
        &'a self,
        now: Instant,
        service: &ServiceName,
        registered: impl Iterator<Item = &'a SoftwareVersion>,
        span: time::Duration,
    ) -> Vec<&'a SoftwareVersion> {
        let history = self.services.get(service);
        let left = history.into_iter().flat_map(|history| &history.versions);
        let left = left.filter(|(_, seen_at)| now.since(*seen_at) < span);
        let left = left.map(|(software, _)| software);
        // There are many runners and few versions.
        let mut versions = Vec::new();
        for software in left.chain(registered) {
            if !versions.contains(&software) {
                versions.push(software);
            }
        }
        versions
    }

    /// Whether the runners of a service have been known for `span`.
    pub fn covers(&self, now: Instant, service: &ServiceName, span: time::Duration) -> bool {
        let history = self.services.get(service);
        history.is_some_and(|history| now.since(history.known_since) >= span)
    }
}

/// Answers to the question where a stream began.
#[derive(Clone, Debug, Default)]
pub struct OriginLookup {
    /// By a router that sent the caller events of the stream.
    confirmed: Option<Origin>,
    /// By agents whose runners ran its first request. More than one may have.
    candidates: Vec<Origin>,
    /// Answers of agents that name a runner which this router does not know.
    unresolved: usize,
}

impl OriginLookup {
    /// A router knows the origin.
    pub fn on_router(&mut self, origin: Origin) {
        self.confirmed = Some(origin);
    }

    /// A runner of this origin ran the request that began the stream.
    pub fn on_agent(&mut self, origin: Origin) {
        if let Err(index) = self.candidates.binary_search(&origin) {
            self.candidates.insert(index, origin);
        }
    }

    /// An agent names a runner that this router does not know.
    pub fn on_unresolved(&mut self) {
        self.unresolved += 1;
    }

    /// Answers of agents that name a runner which this router does not know.
    pub fn unresolved(&self) -> usize {
        self.unresolved
    }

    /// Different origins that agents have named.
    pub fn candidates(&self) -> usize {
        self.candidates.len()
    }

    /// Whether a router has answered.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed.is_some()
    }

    /// Whether anyone has answered.
    pub fn has_answer(&self) -> bool {
        self.is_confirmed() || !self.candidates.is_empty()
    }

    /// Where the stream began. `None` if it is not known, or runners of several origins ran
    /// its first request.
    pub fn into_origin(mut self) -> Option<Origin> {
        let sole = if self.candidates.len() == 1 {
            self.candidates.pop()
        } else {
            None
        };
        self.confirmed.or(sole)
    }
}
