//! The table of known processes.

use std::{net, time};

use lentil_types::{BootId, Instant, NodeName, PlaceName, RunnerState, Table};

/// Settings of a [`Membership`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a process must be off the list, and silent, to be gone.
    pub gone_after: time::Duration,
    /// How long a process that is gone is remembered.
    pub expire_after: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            gone_after: time::Duration::from_secs(60),
            expire_after: time::Duration::from_secs(600),
        }
    }
}

/// Lives of a process that are remembered as over.
const RETIRED: usize = 4;

/// One line of the instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedProcess {
    /// The process.
    pub node: NodeName,
    /// The data centre it is in.
    pub place: PlaceName,
    /// Where it listens for peers.
    pub address: net::SocketAddr,
    /// Where the platform sees it in its life.
    pub state: RunnerState,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The instance list was read.
    Listed(Vec<ListedProcess>),
    /// A process said how it is.
    Reported {
        /// The process.
        node: NodeName,
        /// Which life of it speaks.
        boot: BootId,
        /// How it is.
        state: RunnerState,
    },
    /// A process did not answer.
    Unanswered(NodeName),
}

/// One process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The data centre it is in.
    pub place: PlaceName,
    /// Where it listens for peers.
    pub address: net::SocketAddr,
    /// Where it is in its life.
    pub state: RunnerState,
    /// Its present life, once it has said so.
    pub boot: Option<BootId>,
    /// Since when it has not answered.
    pub silent_since: Option<Instant>,
    /// Since when it is off the list.
    unlisted: Option<Instant>,
    /// Lives that are over.
    retired: Vec<BootId>,
    changed: Instant,
}

/// The table of known processes.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: Settings,
    members: Table<NodeName, Member>,
    is_changed: bool,
}

impl Membership {
    /// A table without processes.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            members: Table::new(),
            is_changed: false,
        }
    }

    /// Takes in what happened.
    pub fn on_event(&mut self, now: Instant, event: Event) {
        match event {
            Event::Listed(list) => self.on_listed(now, list),
            Event::Reported { node, boot, state } => self.on_reported(now, &node, boot, state),
            Event::Unanswered(node) => self.on_unanswered(now, &node),
        }
    }

    /// Retires what is gone. Says whether the table has changed since the last
    /// call.
    pub fn tick(&mut self, now: Instant) -> bool {
        let Settings {
            gone_after,
            expire_after,
        } = self.settings;
        let before = self.members.len();
        let mut is_changed = false;
        for (_, member) in self.members.iter_mut() {
            if member.is_lost(now, gone_after) && member.state != RunnerState::Gone {
                member.set(now, RunnerState::Gone);
                is_changed = true;
            }
        }
        self.members.retain(|_, member| {
            member.state != RunnerState::Gone || now.since(member.changed) < expire_after
        });
        let is_shorter = self.members.len() < before;
        std::mem::take(&mut self.is_changed) || is_changed || is_shorter
    }

    /// A process.
    pub fn get(&self, node: &NodeName) -> Option<&Member> {
        self.members.get(node)
    }

    /// Processes that are not leaving or gone, silent or not.
    pub fn usable(&self) -> impl Iterator<Item = (&NodeName, &Member)> {
        let usable = |(_, member): &(&NodeName, &Member)| member.is_usable();
        self.members.iter().filter(usable)
    }

    /// Processes that may be asked: all that are not leaving or gone. Those that
    /// are silent come in only when there is no other.
    pub fn peers(&self) -> Vec<(&NodeName, &Member)> {
        let all: Vec<_> = self.usable().collect();
        let talks = |(_, member): &(&NodeName, &Member)| member.silent_since.is_none();
        let talking: Vec<_> = all.iter().copied().filter(talks).collect();
        if talking.is_empty() { all } else { talking }
    }

    /// Number of processes in each state of their life.
    pub fn count(&self, state: RunnerState) -> usize {
        self.members
            .values()
            .filter(|member| member.state == state)
            .count()
    }

    fn on_listed(&mut self, now: Instant, list: Vec<ListedProcess>) {
        for (_, member) in self.members.iter_mut() {
            member.unlisted = member.unlisted.or(Some(now));
        }
        for line in list {
            let state = line.state;
            let fresh = || Member::new(now, &line);
            let member = self.members.get_or_insert_with(line.node.clone(), fresh);
            member.place = line.place.clone();
            member.address = line.address;
            member.unlisted = None;
            member.on_list_state(now, state);
        }
        self.is_changed = true;
    }

    fn on_reported(&mut self, now: Instant, node: &NodeName, boot: BootId, state: RunnerState) {
        let Some(member) = self.members.get_mut(node) else {
            return;
        };
        if member.retired.contains(&boot) {
            return;
        }
        let before = (member.state, member.silent_since.is_some());
        member.on_boot(boot);
        member.silent_since = None;
        // Within one life nothing returns from leaving.
        let is_back = state < member.state && member.state >= RunnerState::Leaving;
        if !is_back {
            member.set(now, state);
        }
        self.is_changed |= before != (member.state, false);
    }

    fn on_unanswered(&mut self, now: Instant, node: &NodeName) {
        let Some(member) = self.members.get_mut(node) else {
            return;
        };
        self.is_changed |= member.silent_since.is_none();
        member.silent_since = member.silent_since.or(Some(now));
    }
}

impl Member {
    fn new(now: Instant, line: &ListedProcess) -> Self {
        Self {
            place: line.place.clone(),
            address: line.address,
            state: RunnerState::Joining,
            boot: None,
            silent_since: None,
            unlisted: None,
            retired: Vec::new(),
            changed: now,
        }
    }

    /// Whether it may be asked.
    pub fn is_usable(&self) -> bool {
        matches!(self.state, RunnerState::Joining | RunnerState::Live)
    }

    fn set(&mut self, now: Instant, state: RunnerState) {
        if self.state != state {
            self.state = state;
            self.changed = now;
        }
    }

    /// The list is late: it only says what a process has not said itself, and
    /// that it leaves.
    fn on_list_state(&mut self, now: Instant, state: RunnerState) {
        let is_leaving = state == RunnerState::Leaving && self.is_usable();
        let is_new = self.state == RunnerState::Gone && self.boot.is_none();
        if is_leaving || is_new {
            self.set(now, state);
        }
    }

    fn on_boot(&mut self, boot: BootId) {
        if self.boot == Some(boot) {
            return;
        }
        if let Some(old) = self.boot.replace(boot) {
            self.retired.push(old);
            if self.retired.len() > RETIRED {
                self.retired.remove(0);
            }
        }
        // A new life begins anew, whatever the old one was doing.
        self.state = RunnerState::Joining;
    }

    /// Whether it is off the list and silent for long enough. One that answers
    /// is there, whatever the list says.
    fn is_lost(&self, now: Instant, limit: time::Duration) -> bool {
        let long = |since: Option<Instant>| since.is_some_and(|at| now.since(at) >= limit);
        let never_heard = self.boot.is_none();
        long(self.unlisted) && (never_heard || long(self.silent_since))
    }
}
