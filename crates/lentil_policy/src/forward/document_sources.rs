//! Decides when a router asks other routers for the store's documents, and which ones.
//!
//! The load it answers: the store turns many routers away or is silent to them, and others
//! have just been killed. A router that is asked at random then often has nothing to offer,
//! while one that has told of a newer document certainly has it.

use std::{net, time};

use lentil_types::{Instant, Table};
use rand::seq::SliceRandom as _;

/// Settings of [`DocumentSources`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time between two rounds of asking while calls to the store fail, and while another
    /// router has a newer document that nobody sends. A notice begins a round at once.
    pub interval: time::Duration,
    /// How long the last reply of a router counts for the order.
    pub memory: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            interval: time::Duration::from_millis(500),
            memory: time::Duration::from_secs(5),
        }
    }
}

/// What came of asking a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reply {
    /// It sent documents, or the store confirms to it that there are no newer ones.
    Current,
    /// It has no newer ones, and the store does not answer it either.
    Nothing,
    /// It did not answer.
    Unreached,
}

/// What a router knows of the others as sources of one kind of document.
#[derive(Clone, Debug, Default)]
pub struct DocumentSources {
    settings: Settings,
    /// Whether the last call to the store failed.
    is_failing: bool,
    /// When the last round of asking began.
    asked_at: Option<Instant>,
    /// When the next round begins, as far as the store's failures and notices tell.
    due_at: Option<Instant>,
    /// The router that last told of a newer document than this router has.
    informed: Option<net::SocketAddr>,
    /// Whether it told since the last round began.
    is_overtaken: bool,
    replies: Table<net::SocketAddr, (Reply, Instant)>,
}

impl DocumentSources {
    /// Sources with other settings.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// A call to the store failed.
    pub fn on_failure(&mut self, now: Instant) {
        if !std::mem::replace(&mut self.is_failing, true) {
            self.due_at = Some(now);
        }
    }

    /// The store answered a call.
    pub fn on_success(&mut self) {
        self.is_failing = false;
        self.due_at = None;
    }

    /// A router has told of a newer document than this router has.
    pub fn on_notice(&mut self, now: Instant, router: net::SocketAddr) {
        self.informed = Some(router);
        self.is_overtaken = true;
        if self.is_failing {
            self.due_at = Some(now);
        }
    }

    /// A round of asking begins.
    pub fn on_round(&mut self, now: Instant) {
        self.asked_at = Some(now);
        self.is_overtaken = false;
        self.due_at = self.is_failing.then_some(now + self.settings.interval);
    }

    /// Whether the routers to ask are to be chosen anew: the round may be waiting for dead ones
    /// while a router is known that has a newer document.
    pub fn is_overtaken(&self) -> bool {
        self.is_failing && self.is_overtaken
    }

    /// A router that was asked has replied, or not.
    pub fn on_reply(&mut self, now: Instant, router: net::SocketAddr, reply: Reply) {
        if reply != Reply::Current && self.informed == Some(router) {
            self.informed = None;
        }
        let memory = self.settings.memory;
        self.replies
            .retain(|_, (_, replied_at)| now.since(*replied_at) < memory);
        self.replies.insert(router, (reply, now));
    }

    /// When the next round of asking begins. `doubted_at`: when the watch of the store is
    /// doubted, because another router has a newer document.
    pub fn due_at(&self, doubted_at: Option<Instant>) -> Option<Instant> {
        let interval = self.settings.interval;
        let next_round = self.asked_at.map_or(Instant::ZERO, |at| at + interval);
        let doubted_at = doubted_at.map(|at| at.max(next_round));
        match (self.due_at, doubted_at) {
            (Some(due_at), Some(doubted_at)) => Some(due_at.min(doubted_at)),
            (due_at, doubted_at) => due_at.or(doubted_at),
        }
    }

    /// `routers` in the order in which they are asked: first the one that has told of a newer
    /// document, last those that were not reached lately. Otherwise at random, since a router
    /// may not know that its documents are old.
    pub fn order(
        &self,
        now: Instant,
        routers: &[net::SocketAddr],
        rng: &mut impl rand::Rng,
    ) -> Vec<net::SocketAddr> {
        let mut order = routers.to_vec();
        order.shuffle(rng);
        order.sort_by_key(|router| self.rank(now, *router));
        if let Some(informed) = self.informed {
            order.retain(|router| *router != informed);
            order.insert(0, informed);
        }
        order
    }

    fn rank(&self, now: Instant, router: net::SocketAddr) -> u32 {
        let is_recent = |at: Instant| now.since(at) < self.settings.memory;
        match self.replies.get(&router) {
            Some((Reply::Current, at)) if is_recent(*at) => 0,
            Some((Reply::Nothing, at)) if is_recent(*at) => 2,
            Some((Reply::Unreached, at)) if is_recent(*at) => 3,
            _ => 1,
        }
    }
}
