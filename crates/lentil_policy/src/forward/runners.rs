//! The runners that this router knows, from the store's registrations, the agents'
//! status reports and its own requests.

mod announcements;
mod health;
mod liveness;
mod occupancy;
mod runner;
mod segments;
mod store_contact;
mod trust;

use std::{net, time};

use lentil_types::{Instant, RunnerName, ServiceName, SoftwareVersion, Table, Tokens};

use crate::forward::{
    backlog::RequestHash,
    lanes, pace,
    stream_origins::{Origin, SoftwareHistory},
};

use announcements::Announcements;
pub use announcements::{
    Announcement, AnnouncementChange, AnnouncementOutcome, AnnouncementSettings, Permit, Share,
};
pub use health::{HealthSettings, HealthSignal};
pub use liveness::{LivenessAction, LivenessSettings};
pub use runner::{
    Incarnation, LONG_PROMPT, ProbeReport, Registration, RequestCost, Runner, Status,
};
pub use segments::{CacheGroup, SaltHash, SegmentId, SegmentKey, SegmentUpdate, Segments, salt};
pub use store_contact::LapseSettings;
use store_contact::StoreContact;

/// Settings of a [`Runners`] table.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long registrations that lapsed in an outage of the store are kept.
    pub lapses: LapseSettings,
    /// How long a status counts as current. Agents send several in that time.
    pub status_ttl: time::Duration,
    /// How long an agent's report that its runner is silent counts. Agents repeat it
    /// several times in that time.
    pub silence_ttl: time::Duration,
    /// When failures eject a runner.
    pub health: HealthSettings,
    /// When runners that owe an answer are checked.
    pub liveness: LivenessSettings,
    /// Requests that runners allow.
    pub announcements: AnnouncementSettings,
    /// Whether the speed of runners is learned also for services whose runners do not
    /// report their pace.
    pub learns_pace: bool,
    /// Runners kept for short prompts.
    pub lanes: lanes::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lapses: LapseSettings::default(),
            status_ttl: time::Duration::from_millis(2_500),
            silence_ttl: time::Duration::from_millis(2_500),
            health: HealthSettings::default(),
            liveness: LivenessSettings::default(),
            announcements: AnnouncementSettings::default(),
            learns_pace: false,
            lanes: lanes::Settings::default(),
        }
    }
}

/// A change of a runner's membership, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipChange {
    /// Name of the runner.
    pub name: RunnerName,
    /// Kind of the change.
    pub kind: ChangeKind,
}

/// Kinds of membership changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ChangeKind {
    /// It is listed for the first time.
    Joined,
    /// It started again under the same name.
    #[strum(serialize = "reborn")]
    Restarted,
    /// It announced that it leaves.
    Leaving,
    /// Its registration was removed.
    Gone,
    /// Its registration is missing after an outage of the store, and it is kept.
    Lapsed,
    /// Another runner is taken to have its address.
    Replaced,
    /// It is taken to have its address again.
    Reinstated,
}

/// The table of known runners.
#[derive(Clone, Debug)]
pub struct Runners {
    settings: Settings,
    table: Table<RunnerName, Runner>,
    store: StoreContact,
    share: Share,
    /// What incarnations that are not registered any more said of themselves, oldest
    /// first. A registration may come back.
    removed: Vec<(Incarnation, Announcements)>,
    software: SoftwareHistory,
    /// Whether the next list is that of an older copy of the store.
    is_restored: bool,
    /// Changes of whether runners count as replaced, not taken yet.
    replacements: Vec<MembershipChange>,
    /// Sorted names of the configured services; `None` before a configuration is known.
    services: Option<Vec<ServiceName>>,
    /// Paces of the services for which they are learned.
    paces: Table<ServiceName, pace::ServiceState>,
    /// Rates of the requests to each service that may run once.
    once_rates: Table<ServiceName, trust::OnceRate>,
}

/// Most runners kept that are not registered any more.
const MAX_REMOVED: usize = 256;

impl Runners {
    /// An empty table.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            table: Table::new(),
            store: StoreContact::default(),
            share: Share::UNKNOWN,
            removed: Vec::new(),
            software: SoftwareHistory::default(),
            is_restored: false,
            replacements: Vec::new(),
            services: None,
            paces: Table::new(),
            once_rates: Table::new(),
        }
    }

    /// A call to the store failed.
    pub fn on_store_failure(&mut self) {
        self.store.on_failure();
    }

    /// The store came back from an older copy, which is listed next.
    pub fn on_store_restored(&mut self) {
        self.store.on_restored();
        self.is_restored = true;
    }

    /// The store answered. What it said is applied after this.
    pub fn on_store_answer(&mut self, now: Instant) {
        self.store.on_answer(now, &self.settings.lapses);
    }

    /// The answer to a call to the store that began at `called_at` is applied.
    pub fn on_store_applied(&mut self, called_at: Instant) {
        self.store.on_applied(called_at);
    }

    /// Whether every runner that was registered at `since` is known.
    pub fn is_current(&self, since: Instant) -> bool {
        self.store.is_current(since)
    }

    /// Applies a complete list of registrations; runners not in it count as removed. In
    /// the list of an older copy of the store a runner that was leaving stays so, and an
    /// earlier incarnation of a known runner counts as missing.
    pub fn on_list(
        &mut self,
        now: Instant,
        registrations: Vec<Registration>,
    ) -> Vec<MembershipChange> {
        let mut unlisted: Vec<_> = self.table.keys().cloned().collect();
        let mut changes = Vec::new();
        let is_copy = std::mem::take(&mut self.is_restored);
        for mut registration in registrations {
            if is_copy && self.is_superseded(&registration.incarnation) {
                continue;
            }
            registration.is_leaving |= is_copy && self.was_leaving(&registration.incarnation);
            unlisted.retain(|name| *name != registration.incarnation.name);
            changes.extend(self.apply_registration(now, registration));
        }
        for name in unlisted {
            changes.extend(self.apply_removal(now, &name));
        }
        self.update_replaced(now, &self.contested_addresses());
        changes
    }

    /// Adds or updates a registration.
    pub fn on_registration(
        &mut self,
        now: Instant,
        registration: Registration,
    ) -> Option<MembershipChange> {
        let old = self.table.get(&registration.incarnation.name);
        let old = old.map(|runner| runner.registration.address);
        let addresses = [Some(registration.address), old];
        let change = self.apply_registration(now, registration);
        let addresses: Vec<_> = addresses.into_iter().flatten().collect();
        self.update_replaced(now, &addresses);
        change
    }

    fn apply_registration(
        &mut self,
        now: Instant,
        mut registration: Registration,
    ) -> Option<MembershipChange> {
        self.software
            .on_registered(now, &registration.service, &registration.software);
        let name = registration.incarnation.name.clone();
        let change = |kind| {
            Some(MembershipChange {
                name: name.clone(),
                kind,
            })
        };
        let Some(runner) = self.table.get_mut(&name) else {
            let kind = if registration.is_leaving {
                ChangeKind::Leaving
            } else {
                ChangeKind::Joined
            };
            let announcements = self.take_removed(&registration.incarnation);
            let mut runner = Runner::new(now, registration);
            runner.announcements = announcements;
            self.table.insert(name.clone(), runner);
            return change(kind);
        };
        if runner.registration.incarnation != registration.incarnation {
            self.remove(now, &name);
            let announcements = self.take_removed(&registration.incarnation);
            let mut runner = Runner::new(now, registration);
            runner.announcements = announcements;
            self.table.insert(name.clone(), runner);
            return change(ChangeKind::Restarted);
        }
        // A registration that was not written since says nothing new.
        let is_same = registration.revision == runner.registration.revision;
        registration.is_leaving |= is_same && runner.registration.is_leaving;
        let began_leaving = registration.is_leaving && !runner.registration.is_leaving;
        runner.lapsed = None;
        runner.on_registration(now, registration);
        if began_leaving {
            change(ChangeKind::Leaving)
        } else {
            None
        }
    }

    /// Whether another incarnation with this name is known.
    fn is_superseded(&self, incarnation: &Incarnation) -> bool {
        let known = self.incarnation(&incarnation.name);
        known.is_some_and(|known| known != incarnation)
    }

    fn was_leaving(&self, incarnation: &Incarnation) -> bool {
        let runner = self.get(incarnation);
        runner.is_some_and(|runner| runner.registration.is_leaving)
    }

    /// What an incarnation that is not registered says of itself.
    fn removed_mut(&mut self, incarnation: &Incarnation) -> &mut Announcements {
        let index = self
            .removed
            .iter()
            .position(|(other, _)| other == incarnation);
        let index = index.unwrap_or_else(|| {
            if self.removed.len() >= MAX_REMOVED {
                self.removed.remove(0);
            }
            self.removed
                .push((incarnation.clone(), Announcements::default()));
            self.removed.len() - 1
        });
        &mut self.removed[index].1
    }

    fn take_removed(&mut self, incarnation: &Incarnation) -> Announcements {
        let index = self
            .removed
            .iter()
            .position(|(other, _)| other == incarnation);
        index.map_or_else(Announcements::default, |index| self.removed.remove(index).1)
    }

    /// Removes a runner from the table.
    fn remove(&mut self, now: Instant, name: &str) {
        let Some(mut runner) = self.table.remove(name) else {
            return;
        };
        let Registration {
            service,
            incarnation,
            software,
            ..
        } = &runner.registration;
        self.software
            .on_departed(now, service, incarnation, software);
        if runner.registration.is_leaving {
            runner.announcements.on_leaving();
        }
        let incarnation = &runner.registration.incarnation;
        *self.removed_mut(incarnation) = runner.announcements;
    }

    /// Sets the configured services. A registration of another service is no evidence of
    /// who has its address.
    pub fn set_services(&mut self, now: Instant, mut services: Vec<ServiceName>) {
        services.sort();
        services.dedup();
        self.services = Some(services);
        self.update_replaced(now, &self.contested_addresses());
    }

    /// A runner answered a request that was sent at `sent_at`.
    pub fn on_confirmed(&mut self, now: Instant, incarnation: &Incarnation, sent_at: Instant) {
        let Some(runner) = self.get_mut(incarnation) else {
            return;
        };
        runner.occupancy.on_confirmed(sent_at);
        if runner.contested {
            let address = runner.registration.address;
            self.update_replaced(now, &[address]);
        }
    }

    /// A request for a runner, sent at `sent_at`, was refused at its address by another
    /// one, which may give its name.
    pub fn on_denied(
        &mut self,
        now: Instant,
        incarnation: &Incarnation,
        sent_at: Instant,
        other: Option<&str>,
    ) {
        let Some(runner) = self.get_mut(incarnation) else {
            return;
        };
        runner.occupancy.on_denied(sent_at);
        let address = runner.registration.address;
        let other = other.and_then(|name| self.table.get_mut(name));
        if let Some(other) = other.filter(|other| other.registration.address == address) {
            other.occupancy.on_confirmed(sent_at);
        }
        self.update_replaced(now, &[address]);
    }

    /// Returns the changes of whether runners count as replaced since the last call.
    pub fn take_replacements(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.replacements)
    }

    /// Addresses that several registrations name, or where a runner was denied.
    fn contested_addresses(&self) -> Vec<net::SocketAddr> {
        let runners = self.table.values();
        let mut addresses: Vec<_> = runners.map(|r| r.registration.address).collect();
        addresses.sort();
        let named_twice = addresses.windows(2).filter(|pair| pair[0] == pair[1]);
        let named_twice = named_twice.map(|pair| pair[0]);
        let contested = self.table.values().filter(|runner| runner.contested);
        let contested = contested.map(|runner| runner.registration.address);
        let mut found: Vec<_> = named_twice.chain(contested).collect();
        found.sort();
        found.dedup();
        found
    }

    /// Derives which of the runners at these addresses count as replaced.
    fn update_replaced(&mut self, now: Instant, addresses: &[net::SocketAddr]) {
        let ttl = self.settings.lapses.longest_stay();
        for address in addresses {
            let is_claim = |runner: &&Runner| runner.registration.address == *address;
            let claims: Vec<_> = self.table.values().filter(is_claim).collect();
            let decide = |runner: &Runner| {
                let own = &runner.occupancy;
                let others = claims.iter().filter(|other| {
                    other.registration.incarnation != runner.registration.incarnation
                });
                let has_others = others.clone().next().is_some();
                let mut credible = others.filter(|other| {
                    self.is_configured(&other.registration.service)
                        && !other.occupancy.is_denied(now, ttl)
                });
                let is_denied = own.is_denied(now, ttl);
                let is_displaced =
                    credible.any(|other| own.is_displaced(now, ttl, &other.occupancy));
                (has_others || is_denied, is_denied || is_displaced)
            };
            let decisions = claims.iter().map(|runner| {
                let name = runner.registration.incarnation.name.clone();
                (name, decide(runner))
            });
            let decisions: Vec<_> = decisions.collect();
            for (name, (contested, replaced)) in decisions {
                let Some(runner) = self.table.get_mut(&name) else {
                    continue;
                };
                runner.contested = contested;
                if std::mem::replace(&mut runner.replaced, replaced) != replaced {
                    let kind = match replaced {
                        true => ChangeKind::Replaced,
                        false => ChangeKind::Reinstated,
                    };
                    self.replacements.push(MembershipChange { name, kind });
                }
            }
        }
    }

    fn is_configured(&self, service: &ServiceName) -> bool {
        let services = self.services.as_ref();
        services.is_none_or(|services| services.binary_search(service).is_ok())
    }

    /// A registration was removed from the store.
    pub fn on_removed(&mut self, now: Instant, name: &str) -> Option<MembershipChange> {
        let address = self.table.get(name)?.registration.address;
        let change = self.apply_removal(now, name);
        self.update_replaced(now, &[address]);
        change
    }

    fn apply_removal(&mut self, now: Instant, name: &str) -> Option<MembershipChange> {
        let may_return = self.store.may_have_lapsed(now, &self.settings.lapses);
        let runner = self.table.get_mut(name)?;
        let incarnation = runner.registration.incarnation.clone();
        let kind = if may_return && !runner.is_leaving() {
            if runner.lapsed.is_some() {
                return None;
            }
            runner.lapsed = Some(now);
            ChangeKind::Lapsed
        } else {
            self.remove(now, name);
            ChangeKind::Gone
        };
        Some(MembershipChange {
            name: incarnation.name,
            kind,
        })
    }

    /// Removes lapsed runners that were not registered again in time, and ends what old
    /// evidence says of who has an address.
    pub fn tick(&mut self, now: Instant) -> Vec<MembershipChange> {
        let changes = self.remove_lapsed(now);
        let contested = self.table.values().filter(|runner| runner.contested);
        let mut contested: Vec<_> = contested.map(|r| r.registration.address).collect();
        contested.sort();
        contested.dedup();
        self.update_replaced(now, &contested);
        changes
    }

    fn remove_lapsed(&mut self, now: Instant) -> Vec<MembershipChange> {
        if !self.store.has_settled(now, &self.settings.lapses) {
            return Vec::new();
        }
        let lapsed = self
            .table
            .iter()
            .filter(|(_, runner)| runner.lapsed.is_some());
        let gone: Vec<_> = lapsed.map(|(name, _)| name.clone()).collect();
        let change = |name: RunnerName| {
            self.remove(now, &name);
            MembershipChange {
                name,
                kind: ChangeKind::Gone,
            }
        };
        gone.into_iter().map(change).collect()
    }

    /// Applies a status from a runner's agent. Returns `false` if the runner is
    /// unknown or the status is of another incarnation.
    pub fn on_status(&mut self, now: Instant, incarnation: &Incarnation, status: Status) -> bool {
        let known = self.table.get_mut(&incarnation.name);
        let Some(runner) = known.filter(|runner| runner.registration.incarnation == *incarnation)
        else {
            return false;
        };
        runner.liveness.on_status(now, &self.settings.liveness);
        runner.on_status(now, status);
        true
    }

    /// A runner's agent reports that the runner does not answer. Returns whether this
    /// was not known.
    pub fn on_silent(&mut self, now: Instant, incarnation: &Incarnation) -> bool {
        let silence_ttl = self.settings.silence_ttl;
        let Some(runner) = self.get_mut(incarnation) else {
            return false;
        };
        let was_silent = runner.is_silent(now, silence_ttl);
        runner.silent_at = Some(now);
        !was_silent
    }

    /// Service and software of a runner that is registered or has left.
    pub fn origin(&self, incarnation: &Incarnation) -> Option<Origin> {
        let registered = self.get(incarnation).map(|runner| Origin {
            service: runner.registration.service.clone(),
            software: runner.registration.software.clone(),
        });
        registered.or_else(|| self.software.departed(incarnation).cloned())
    }

    /// The `count` runners whose agents keep where a stream of the service began, best
    /// first. Rendezvous hashing: a router that starts later finds most of them.
    pub fn stream_keepers(
        &self,
        service: &ServiceName,
        stream: RequestHash,
        count: usize,
    ) -> Vec<&Runner> {
        let members = self.table.values();
        let members = members.filter(|runner| runner.is_member(service) && runner.has_agent());
        let scored = members.map(|runner| {
            let name = runner.registration.incarnation.name.as_bytes();
            (xxhash_rust::xxh3::xxh3_64_with_seed(name, stream.0), runner)
        });
        let mut scored: Vec<_> = scored.collect();
        let best_first = |(score, _): &(u64, &Runner)| std::cmp::Reverse(*score);
        if count < scored.len() {
            // The rest of thousands need not be sorted for each stream.
            scored.select_nth_unstable_by_key(count, best_first);
            scored.truncate(count);
        }
        scored.sort_by_key(best_first);
        scored.into_iter().map(|(_, runner)| runner).collect()
    }

    /// Whether a runner of a service that stays there has this software version.
    pub fn has_software(&self, service: &ServiceName, software: &SoftwareVersion) -> bool {
        let mut members = self.table.values().filter(|other| other.is_member(service));
        members.any(|runner| runner.registration.software == *software)
    }

    /// Software versions that runners of a service have had within `span`.
    pub fn recent_software(
        &self,
        now: Instant,
        service: &ServiceName,
        span: time::Duration,
    ) -> Vec<&SoftwareVersion> {
        let of_service = self.table.values();
        let of_service = of_service.filter(|runner| runner.registration.service == *service);
        let registered = of_service.map(|runner| &runner.registration.software);
        self.software.recent(now, service, registered, span)
    }

    /// The only software version that runners of a service have had within `span`, as far
    /// as this router knows ([`Self::is_current`]). `None` if there were several, or the
    /// service has not been known for so long.
    pub fn sole_software(
        &self,
        now: Instant,
        service: &ServiceName,
        span: time::Duration,
    ) -> Option<&SoftwareVersion> {
        let versions = self.recent_software(now, service, span);
        match versions[..] {
            [sole] if self.software.covers(now, service, span) => Some(sole),
            _ => None,
        }
    }

    /// Current incarnation of the runner with this name.
    pub fn incarnation(&self, name: &str) -> Option<&Incarnation> {
        self.table
            .get(name)
            .map(|runner| &runner.registration.incarnation)
    }

    /// The runner, if this is its current incarnation.
    pub fn get(&self, incarnation: &Incarnation) -> Option<&Runner> {
        let runner = self.table.get(&incarnation.name)?;
        (runner.registration.incarnation == *incarnation).then_some(runner)
    }

    /// Like [`Self::get`], mutable.
    pub fn get_mut(&mut self, incarnation: &Incarnation) -> Option<&mut Runner> {
        let runner = self.table.get_mut(&incarnation.name)?;
        (runner.registration.incarnation == *incarnation).then_some(runner)
    }

    /// Records the result of an attempt at a runner. Returns the duration of an
    /// ejection that starts now.
    pub fn on_health_signal(
        &mut self,
        now: Instant,
        incarnation: &Incarnation,
        signal: HealthSignal,
    ) -> Option<time::Duration> {
        let settings = self.settings.health;
        let runner = self.get_mut(incarnation)?;
        runner.health.on_health_signal(now, &settings, signal)
    }

    /// Learns from an answer how fast its runner is, if its service's runners report
    /// their pace or the settings ask for it. Returns whether its speed class has changed.
    pub fn on_observation(
        &mut self,
        now: Instant,
        incarnation: &Incarnation,
        observation: &pace::Observation,
    ) -> bool {
        let Some(runner) = self.get_mut(incarnation) else {
            return false;
        };
        let service = runner.registration.service.clone();
        let is_on = observation.moment.is_some()
            || self.settings.learns_pace
            || self.paces.contains(&service);
        if !is_on {
            return false;
        }
        let new_state = pace::ServiceState::default;
        let state = self.paces.get_or_insert_with(service.clone(), new_state);
        if let Some(runner) = self.table.get_mut(&incarnation.name) {
            state.on_answer(now, &mut runner.pace, observation);
        }
        let members = self.table.values();
        let members = members.filter(|runner| runner.registration.service == service);
        state.mean_speed = pace::mean_speed(members.map(|runner| &runner.pace));
        let mean = state.mean_speed;
        self.get_mut(incarnation)
            .is_some_and(|runner| runner.pace.update_class(mean))
    }

    /// A prompt of which a runner computes `uncached` tokens is sent to a service: updates
    /// the runners that are kept for short prompts.
    pub fn on_demand(&mut self, now: Instant, service: &ServiceName, uncached: Tokens) {
        let settings = self.settings.lanes;
        let lasting = settings.lasting();
        let Some(state) = self.paces.get_mut(service) else {
            return;
        };
        if !state.pace.is_learned() {
            return;
        }
        let ms = state.compute_ms(uncached);
        let is_long = uncached >= LONG_PROMPT;
        state.demand.on_sent(now, &settings, is_long, ms);
        state.lasting.on_sent(now, &lasting, is_long, ms);
        let is_due = |at: Option<Instant>, settings: &lanes::Settings| {
            at.is_none_or(|at| now.since(at) >= settings.interval)
        };
        let (share, lasting_share) = (
            state.demand.short_share(now, &settings),
            state.lasting.short_share(now, &lasting),
        );
        if is_due(state.reserved_at, &settings) {
            state.reserved_at = Some(now);
            let usable = self.usable(now, service);
            let reserved = lanes::reserved(&settings, share, &class_speeds(&usable));
            if let Some(state) = self.paces.get_mut(service) {
                state.reserved = reserved;
            }
        }
        let state = self.paces.get_mut(service);
        if let Some(state) = state.filter(|state| is_due(state.excluded_at, &lasting)) {
            state.excluded_at = Some(now);
            let members = self.table.values();
            let members: Vec<_> = members.filter(|r| r.is_member(service)).collect();
            state.excluded = lanes::reserved(&lasting, lasting_share, &class_speeds(&members));
        }
    }

    /// Services for which speeds are learned, and what is learned.
    pub fn paces(&self) -> impl Iterator<Item = (&ServiceName, &pace::ServiceState)> {
        self.paces.iter()
    }

    /// What is learned of the speed of a service's runners; `None` where it is not learned.
    pub fn pace(&self, service: &ServiceName) -> Option<&pace::ServiceState> {
        self.paces.get(service)
    }

    /// This router's share of the limits of runners.
    pub fn set_share(&mut self, share: Share) {
        self.share = share;
    }

    /// Takes a request that is sent to a runner now; `None` if the runner does not allow
    /// it.
    pub fn admit(&mut self, now: Instant, incarnation: &Incarnation) -> Option<Permit> {
        let (settings, share) = (self.settings.announcements, self.share);
        let salt = salt_of(incarnation);
        let announcements = &mut self.get_mut(incarnation)?.announcements;
        announcements.admit(now, &settings, share, salt)
    }

    /// Time until a runner allows a request; `None` if it does now.
    pub fn admission_wait(&self, now: Instant, runner: &Runner) -> Option<time::Duration> {
        let settings = &self.settings.announcements;
        let salt = salt_of(&runner.registration.incarnation);
        runner.announcements.wait(now, settings, self.share, salt)
    }

    /// Mean time between two requests that these runners, all of them limited or
    /// closed, allow this router.
    pub fn admission_interval(&self, now: Instant, limited: &[&Runner]) -> time::Duration {
        let settings = &self.settings.announcements;
        let part = |runner: &&Runner| {
            let salt = salt_of(&runner.registration.incarnation);
            runner.announcements.part(now, settings, self.share, salt)
        };
        let parts: Option<usize> = limited.iter().map(part).sum();
        // One without a limit takes any number once it is open.
        parts.map_or(time::Duration::ZERO, |parts| {
            settings.window.div_f64(parts.max(1) as f64)
        })
    }

    /// A runner said this of itself in the answer to a request sent at `sent_at`.
    pub fn on_announcement(
        &mut self,
        now: Instant,
        incarnation: &Incarnation,
        sent_at: Instant,
        said: &Announcement,
    ) -> AnnouncementOutcome {
        let settings = self.settings.announcements;
        match self.get_mut(incarnation) {
            Some(runner) => runner
                .announcements
                .on_answer(now, &settings, sent_at, said),
            None => self
                .removed_mut(incarnation)
                .on_answer(now, &settings, sent_at, said),
        }
    }

    /// Another router passes on what a runner says of itself.
    pub fn on_announcement_notice(
        &mut self,
        now: Instant,
        incarnation: &Incarnation,
        said: &Announcement,
    ) -> Vec<AnnouncementChange> {
        let settings = self.settings.announcements;
        match self.get_mut(incarnation) {
            Some(runner) => runner.announcements.on_notice(now, &settings, said),
            None => self
                .removed_mut(incarnation)
                .on_notice(now, &settings, said),
        }
    }

    /// Another router finds a runner unresponsive.
    pub fn on_suspected(&mut self, now: Instant, incarnation: &Incarnation) {
        if let Some(runner) = self
            .get_mut(incarnation)
            .filter(|runner| runner.is_checked())
        {
            runner.liveness.on_suspected(now);
        }
    }

    /// A request that may run once is to be sent to a runner of a service.
    pub fn on_once_request(&mut self, now: Instant, service: &ServiceName) {
        let new_rate = trust::OnceRate::default;
        self.once_rates
            .get_or_insert_with(service.clone(), new_rate)
            .on_request(now);
    }

    /// Whether a runner's agent is to be asked before the runner is sent a request that may
    /// run once. A runner that has just frozen would not be known as such, and all routers
    /// together would send it more than [`LivenessSettings::max_unheard`].
    pub fn needs_confirmation(&self, now: Instant, incarnation: &Incarnation) -> bool {
        let settings = &self.settings.liveness;
        let runner = self.get(incarnation).filter(|runner| runner.is_checked());
        let Some(runner) = runner else {
            return false;
        };
        let service = &runner.registration.service;
        let rate = self.once_rates.get(service);
        let rate = rate.map_or(0.0, |rate| rate.per_second(now));
        let routers = self.share.routers.unwrap_or(1);
        let members = self.table.values().filter(|other| other.is_member(service));
        let trust = trust::trust(settings.max_unheard, rate, routers, members.count());
        runner.liveness.needs_confirmation(now, settings, trust)
    }

    /// A runner's agent is to be asked before a request is sent. Returns whether the
    /// question is to be sent: one that has no answer yet is not repeated here.
    pub fn on_question(&mut self, now: Instant, incarnation: &Incarnation) -> bool {
        let runner = self.get_mut(incarnation);
        runner.is_some_and(|runner| runner.liveness.on_question(now))
    }

    /// Longest wait for the answer to a question before another runner is chosen.
    pub fn confirmation_wait(&self, incarnation: &Incarnation) -> time::Duration {
        let settings = &self.settings.liveness;
        let runner = self.get(incarnation);
        runner.map_or(settings.confirmation_range.0, |runner| {
            runner.liveness.confirmation_wait(settings)
        })
    }

    /// A runner's agent answered the question. Returns whether the runner was unresponsive.
    pub fn on_answer(&mut self, now: Instant, incarnation: &Incarnation) -> bool {
        let settings = self.settings.liveness;
        if let Some(runner) = self.get_mut(incarnation) {
            runner.liveness.on_status(now, &settings);
        }
        self.on_heard(now, incarnation)
    }

    /// A runner or its agent sent something. Returns whether it was unresponsive.
    pub fn on_heard(&mut self, now: Instant, incarnation: &Incarnation) -> bool {
        let settings = self.settings.liveness;
        let Some(runner) = self.get_mut(incarnation) else {
            return false;
        };
        let was_unresponsive = runner.liveness.is_unresponsive(now, &settings);
        runner.on_heard(now);
        was_unresponsive
    }

    /// Whether a runner owes an answer and is silent for too long.
    pub fn is_unresponsive(&self, now: Instant, incarnation: &Incarnation) -> bool {
        let settings = &self.settings.liveness;
        let runner = self.get(incarnation);
        runner.is_some_and(|runner| runner.liveness.is_unresponsive(now, settings))
    }

    /// A runner answered a probe. Returns whether it was unresponsive.
    pub fn on_probe_answered(
        &mut self,
        now: Instant,
        incarnation: &Incarnation,
        report: ProbeReport,
    ) -> bool {
        let settings = self.settings.liveness;
        let Some(runner) = self.get_mut(incarnation) else {
            return false;
        };
        let was_unresponsive = runner.liveness.is_unresponsive(now, &settings);
        runner.liveness.on_probe_answered(now);
        runner.probe_report = report;
        was_unresponsive
    }

    /// Checks of runners that are due; counts them as made. `notice_delay`: delay
    /// before other routers are told.
    pub fn due_actions(
        &mut self,
        now: Instant,
        notice_delay: time::Duration,
    ) -> Vec<(Incarnation, LivenessAction)> {
        let settings = self.settings.liveness;
        let mut due = Vec::new();
        let runners = self.table.iter_mut().map(|(_, runner)| runner);
        for runner in runners.filter(|runner| runner.is_checked() && !runner.replaced) {
            let reported_at = runner.status.as_ref().map(|(received_at, _)| *received_at);
            let liveness = &mut runner.liveness;
            let actions = liveness.due_actions(now, &settings, reported_at, notice_delay);
            let incarnation = &runner.registration.incarnation;
            due.extend(
                actions
                    .into_iter()
                    .map(|action| (incarnation.clone(), action)),
            );
        }
        due
    }

    /// Time until [`Self::due_actions`] may have something: at most the time that a
    /// runner may be silent, since it may be sent a request now.
    pub fn next_check(&self, now: Instant) -> time::Duration {
        let settings = &self.settings.liveness;
        let checked = self.table.values().filter(|runner| runner.is_checked());
        let times = checked.filter_map(|runner| runner.liveness.next_check(settings));
        let next = times.min().map(|at| at.since(now));
        next.map_or(settings.ask_after, |wait| wait.min(settings.ask_after))
    }

    /// Runners of a service that are neither leaving, replaced, gone since an outage,
    /// silent, unresponsive nor ejected. The last three are ignored if they take out more
    /// than half of the service.
    pub fn usable(&self, now: Instant, service: &ServiceName) -> Vec<&Runner> {
        let members = self
            .table
            .values()
            .filter(|r| r.registration.service == *service);
        let has_settled = self.store.has_settled(now, &self.settings.lapses);
        let is_gone = |r: &Runner| has_settled && r.lapsed.is_some();
        let present = members.filter(|r| !r.is_leaving() && !r.replaced && !is_gone(r));
        let present: Vec<_> = present.collect();
        let silence_ttl = self.settings.silence_ttl;
        let liveness = &self.settings.liveness;
        let is_healthy = |r: &&&Runner| {
            !r.health.is_ejected(now)
                && !r.is_silent(now, silence_ttl)
                && !r.liveness.is_unresponsive(now, liveness)
        };
        let healthy = present.iter().filter(is_healthy);
        let healthy: Vec<_> = healthy.copied().collect();
        if healthy.len() * 2 >= present.len() {
            healthy
        } else {
            present
        }
    }

    /// Last status of a runner, if it is recent.
    pub fn status<'a>(&self, now: Instant, runner: &'a Runner) -> Option<&'a Status> {
        let (received_at, status) = runner.status.as_ref()?;
        (now.since(*received_at) <= self.settings.status_ttl).then_some(status)
    }

    /// All runners, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &Runner> {
        self.table.values()
    }

    /// Number of known runners.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether no runner is known.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }
}

/// Runners of models with the speed of their class.
fn class_speeds<'a>(runners: &[&'a Runner]) -> Vec<(&'a RunnerName, f64)> {
    let runners = runners.iter().filter(|runner| runner.has_agent());
    let speeds = runners.map(|runner| {
        let speed = pace::class_speed(runner.pace.class());
        (&runner.registration.incarnation.name, speed)
    });
    speeds.collect()
}

/// Decides which routers get the remainder of a runner's limit: equal at every router, and
/// different for each runner.
fn salt_of(incarnation: &Incarnation) -> usize {
    let hash = xxhash_rust::xxh3::xxh3_64(incarnation.name.as_bytes());
    // Truncated on small targets: any of its bits do.
    hash as usize
}
