//! Table of known processes.

use std::{net, time};

use lentil_types::{BootId, Instant, NodeName, PlaceName, RunnerState, Table};

/// Settings of a [`Membership`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time off the list and silent after which a process is gone.
    pub gone_after: time::Duration,
    /// How long a gone process is kept.
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

/// Earlier boots per process whose late reports are ignored.
const MAX_RETIRED_BOOTS: usize = 4;

/// A process in the instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedProcess {
    /// Name of the process.
    pub node: NodeName,
    /// Its data centre.
    pub place: PlaceName,
    /// Listen address for peers.
    pub address: net::SocketAddr,
    /// State according to the platform.
    pub state: RunnerState,
}

/// An input of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The complete instance list was read.
    Listed(Vec<ListedProcess>),
    /// A process reported its state.
    Reported {
        /// Name of the process.
        node: NodeName,
        /// The boot that reports.
        boot: BootId,
        /// Its reported state.
        state: RunnerState,
    },
    /// A process did not answer a request.
    Unanswered(NodeName),
}

/// What is known of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its data centre.
    pub place: PlaceName,
    /// Listen address for peers.
    pub address: net::SocketAddr,
    /// State from its reports and the list.
    pub state: RunnerState,
    /// Its current boot; `None` before its first report.
    pub boot: Option<BootId>,
    /// Time of the first unanswered request; `None` while it answers.
    pub silent_since: Option<Instant>,
    /// When it was first off the list; `None` while listed.
    unlisted_since: Option<Instant>,
    /// State from before it was taken for gone; `None` if it said so itself, or is not gone.
    lost_from: Option<RunnerState>,
    /// Earlier boots, oldest first.
    retired_boots: Vec<BootId>,
    changed_at: Instant,
}

/// The known processes and their states.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: Settings,
    members: Table<NodeName, Member>,
    is_changed: bool,
}

impl Membership {
    /// An empty table.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            members: Table::new(),
            is_changed: false,
        }
    }

    /// Applies an event.
    pub fn on_event(&mut self, now: Instant, event: Event) {
        match event {
            Event::Listed(list) => self.on_listed(now, list),
            Event::Reported { node, boot, state } => self.on_reported(now, &node, boot, state),
            Event::Unanswered(node) => self.on_unanswered(now, &node),
        }
    }

    /// Marks lost processes as gone and drops expired ones. Returns whether
    /// anything changed since the last call.
    pub fn tick(&mut self, now: Instant) -> bool {
        let Settings {
            gone_after,
            expire_after,
        } = self.settings;
        let before = self.members.len();
        let mut is_changed = false;
        for (_, member) in self.members.iter_mut() {
            if member.is_lost(now, gone_after) && member.state != RunnerState::Gone {
                member.lost_from = Some(member.state);
                member.set_state(now, RunnerState::Gone);
                is_changed = true;
            }
        }
        self.members.retain(|_, member| {
            member.state != RunnerState::Gone || now.since(member.changed_at) < expire_after
        });
        let is_shorter = self.members.len() < before;
        std::mem::take(&mut self.is_changed) || is_changed || is_shorter
    }

    /// Looks up a process, in any state.
    pub fn get(&self, node: &NodeName) -> Option<&Member> {
        self.members.get(node)
    }

    /// Processes, silent or not, that are neither leaving nor gone.
    pub fn usable(&self) -> impl Iterator<Item = (&NodeName, &Member)> {
        let usable = |(_, member): &(&NodeName, &Member)| member.is_usable();
        self.members.iter().filter(usable)
    }

    /// Usable processes that are not silent or, if there are none, all usable
    /// ones.
    pub fn peers(&self) -> Vec<(&NodeName, &Member)> {
        let all: Vec<_> = self.usable().collect();
        let is_answering = |(_, member): &(&NodeName, &Member)| member.silent_since.is_none();
        let answering: Vec<_> = all.iter().copied().filter(is_answering).collect();
        if answering.is_empty() { all } else { answering }
    }

    /// Number of processes in a state.
    pub fn count(&self, state: RunnerState) -> usize {
        self.members
            .values()
            .filter(|member| member.state == state)
            .count()
    }

    fn on_listed(&mut self, now: Instant, list: Vec<ListedProcess>) {
        for (_, member) in self.members.iter_mut() {
            member.unlisted_since = member.unlisted_since.or(Some(now));
        }
        for listed in list {
            let state = listed.state;
            let new_member = || Member::new(now, &listed);
            let member = self
                .members
                .get_or_insert_with(listed.node.clone(), new_member);
            member.place = listed.place.clone();
            member.address = listed.address;
            member.unlisted_since = None;
            member.on_found(now);
            member.on_list_state(now, state);
        }
        self.is_changed = true;
    }

    fn on_reported(&mut self, now: Instant, node: &NodeName, boot: BootId, state: RunnerState) {
        let Some(member) = self.members.get_mut(node) else {
            return;
        };
        if member.retired_boots.contains(&boot) {
            return;
        }
        let before = (member.state, member.silent_since.is_some());
        member.on_found(now);
        member.on_boot(boot);
        member.silent_since = None;
        // Within one boot, leaving and gone are final if it said so itself.
        let is_regression = state < member.state && member.state >= RunnerState::Leaving;
        if !is_regression {
            member.set_state(now, state);
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
    fn new(now: Instant, listed: &ListedProcess) -> Self {
        Self {
            place: listed.place.clone(),
            address: listed.address,
            state: RunnerState::Joining,
            boot: None,
            silent_since: None,
            unlisted_since: None,
            lost_from: None,
            retired_boots: Vec::new(),
            changed_at: now,
        }
    }

    /// Whether it is neither leaving nor gone.
    pub fn is_usable(&self) -> bool {
        matches!(self.state, RunnerState::Joining | RunnerState::Live)
    }

    fn set_state(&mut self, now: Instant, state: RunnerState) {
        if self.state != state {
            self.state = state;
            self.changed_at = now;
        }
    }

    /// It is listed or reports: takes back that it was taken for gone.
    fn on_found(&mut self, now: Instant) {
        if let Some(state) = self.lost_from.take() {
            self.set_state(now, state);
        }
    }

    /// The list lags, so it only counts if it says leaving, or if the process is
    /// gone and never reported.
    fn on_list_state(&mut self, now: Instant, state: RunnerState) {
        let is_leaving = state == RunnerState::Leaving && self.is_usable();
        let is_new = self.state == RunnerState::Gone && self.boot.is_none();
        if is_leaving || is_new {
            self.set_state(now, state);
        }
    }

    fn on_boot(&mut self, boot: BootId) {
        if self.boot == Some(boot) {
            return;
        }
        if let Some(old) = self.boot.replace(boot) {
            self.retired_boots.push(old);
            if self.retired_boots.len() > MAX_RETIRED_BOOTS {
                self.retired_boots.remove(0);
            }
        }
        // A new boot starts over, whatever the old state.
        self.state = RunnerState::Joining;
    }

    /// Whether it has been off the list for `limit`, and silent too if it ever
    /// reported. A process that answers exists, whatever the list says.
    fn is_lost(&self, now: Instant, limit: time::Duration) -> bool {
        let is_long = |since: Option<Instant>| since.is_some_and(|at| now.since(at) >= limit);
        let never_reported = self.boot.is_none();
        is_long(self.unlisted_since) && (never_reported || is_long(self.silent_since))
    }
}
