//! Documents reach every process despite failures, and versions never go back.

use std::{collections::HashMap, time};

use lentil_policy::{
    config_sync::{
        Command, ConfigSync, Doc, Document, Edit, EditError, Event, Peer, Reply, Settings,
        StoreState, Tree, Update, UpdateBody,
    },
    store::ObjectVersion,
};
use lentil_types::{Instant, NodeName, PlaceName};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

/// Simulated time between two steps of a fleet.
const STEP: time::Duration = time::Duration::from_millis(50);
/// Time within which a change must be in force everywhere.
const PROPAGATION_LIMIT: time::Duration = time::Duration::from_secs(13);

/// How the store handles calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreFault {
    Healthy,
    Down,
    /// Watches are accepted and never answered; reads work.
    Stalled,
}

struct Node {
    sync: ConfigSync,
    is_up: bool,
    reaches_store: bool,
    applied: Vec<u64>,
}

/// Simulated processes and a store with instant messages.
struct Fleet {
    now: Instant,
    rng: Pcg64Mcg,
    nodes: Vec<Node>,
    names: Vec<NodeName>,
    index: HashMap<NodeName, usize>,
    config: Option<Document>,
    fault: StoreFault,
    watches: Vec<(usize, Doc, ObjectVersion, Instant)>,
    asks: Vec<(
        usize,
        usize,
        Vec<lentil_policy::config_sync::KnownVersion>,
        Instant,
    )>,
    store_calls: Vec<u64>,
}

fn name(index: usize) -> NodeName {
    NodeName::new(&format!("entry-{index}")).expect("a name")
}

fn settings(index: usize) -> Settings {
    Settings::new(name(index), PlaceName::new("hall-intake").expect("a name"))
}

impl Fleet {
    fn new(count: usize) -> Self {
        let now = Instant::ZERO;
        let node = |index| Node {
            sync: ConfigSync::new(settings(index), now),
            is_up: true,
            reaches_store: true,
            applied: Vec::new(),
        };
        let mut fleet = Self {
            now,
            rng: Pcg64Mcg::new(7),
            nodes: (0..count).map(node).collect(),
            names: (0..count).map(name).collect(),
            index: (0..count).map(|index| (name(index), index)).collect(),
            config: Some(Document::new(ObjectVersion(1), *b"text 1")),
            fault: StoreFault::Healthy,
            watches: Vec::new(),
            asks: Vec::new(),
            store_calls: Vec::new(),
        };
        fleet.send_peers();
        fleet
    }

    fn send_peers(&mut self) {
        let peer = |node: &NodeName| Peer {
            node: node.clone(),
            place: PlaceName::new("hall-intake").expect("a name"),
        };
        let peers: Vec<_> = self.names.iter().map(peer).collect();
        for node in &mut self.nodes {
            node.sync.on_event(self.now, Event::Peers(peers.clone()));
        }
    }

    fn apply(&mut self, version: u64) {
        let value = format!("text {version}").into_bytes();
        self.config = Some(Document::new(ObjectVersion(version), value));
    }

    /// Replaces a process by one without documents.
    fn restart(&mut self, index: usize) {
        self.nodes[index].sync = ConfigSync::new(settings(index), self.now);
        self.nodes[index].applied.clear();
        self.watches.retain(|(node, ..)| *node != index);
        self.asks
            .retain(|(from, to, ..)| *from != index && *to != index);
        self.send_peers();
    }

    fn run(&mut self, span: time::Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Steps until every live process has `version`. Panics after `limit`.
    fn run_until(&mut self, version: u64, limit: time::Duration) -> time::Duration {
        let begin = self.now;
        while !self.all_have(version) {
            assert!(
                self.now.since(begin) <= limit,
                "not in time: {:?}",
                self.versions()
            );
            self.step();
        }
        self.now.since(begin)
    }

    fn all_have(&self, version: u64) -> bool {
        let up = self.nodes.iter().filter(|node| node.is_up);
        up.map(|node| node.sync.version(Doc::Config).0)
            .all(|v| v == version)
    }

    fn versions(&self) -> Vec<u64> {
        self.nodes
            .iter()
            .map(|node| node.sync.version(Doc::Config).0)
            .collect()
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let mut calls = 0;
        for index in 0..self.nodes.len() {
            if !self.nodes[index].is_up {
                continue;
            }
            for command in self.nodes[index].sync.tick(self.now, &mut self.rng) {
                calls += self.run_command(index, command);
            }
        }
        self.store_calls.push(calls);
        self.answer_watches();
        self.answer_asks();
    }

    fn run_command(&mut self, index: usize, command: Command) -> u64 {
        match command {
            Command::Watch { doc, after, wait } => {
                if self.fault == StoreFault::Down || !self.nodes[index].reaches_store {
                    self.nodes[index]
                        .sync
                        .on_event(self.now, Event::StoreFailed(doc));
                } else if self.fault != StoreFault::Stalled || wait.is_zero() {
                    self.watches.push((index, doc, after, self.now + wait));
                }
                return 1;
            }
            Command::Ask { peer, known, wait } => {
                let to = self.index[&peer];
                if self.nodes[to].is_up {
                    self.asks.push((index, to, known, self.now + wait));
                } else {
                    self.nodes[index]
                        .sync
                        .on_event(self.now, Event::Unanswered(peer));
                }
            }
            Command::Apply(Doc::Config, document) => {
                self.nodes[index].applied.push(document.version.0);
            }
            Command::Apply(..) => {}
        }
        0
    }

    fn answer_watches(&mut self) {
        let now = self.now;
        for (index, doc, after, until) in std::mem::take(&mut self.watches) {
            let config = self.config.clone().filter(|_| doc == Doc::Config);
            let newer = config.filter(|config| config.version > after);
            if self.fault == StoreFault::Down {
                self.nodes[index]
                    .sync
                    .on_event(now, Event::StoreFailed(doc));
            } else if newer.is_some() || now >= until {
                self.nodes[index]
                    .sync
                    .on_event(now, Event::StoreAnswered(doc, newer));
            } else {
                self.watches.push((index, doc, after, until));
            }
        }
    }

    fn answer_asks(&mut self) {
        let now = self.now;
        for (from, to, known, until) in std::mem::take(&mut self.asks) {
            let asked = &self.nodes[to];
            if !asked.is_up {
                let unanswered = Event::Unanswered(self.names[to].clone());
                self.nodes[from].sync.on_event(now, unanswered);
            } else if asked.sync.has_newer(&known) || now >= until {
                let reply = asked.sync.reply(now, &known);
                let replied = Event::Replied(self.names[to].clone(), reply);
                self.nodes[from].sync.on_event(now, replied);
            } else {
                self.asks.push((from, to, known, until));
            }
        }
    }

    /// The processes that watch the store, in order.
    fn watchers(&self) -> Vec<usize> {
        let is_watcher = |index: &usize| self.nodes[*index].sync.is_watcher(self.now);
        (0..self.nodes.len()).filter(is_watcher).collect()
    }

    fn assert_versions_only_grow(&self) {
        for node in &self.nodes {
            assert!(node.applied.is_sorted(), "{:?}", node.applied);
        }
    }
}

#[test]
fn a_change_reaches_every_process_in_time_through_few_watchers() {
    let mut fleet = Fleet::new(220);
    fleet.run_until(1, PROPAGATION_LIMIT);
    assert_eq!(fleet.watchers().len(), 2);
    for version in 2..6 {
        fleet.apply(version);
        fleet.run_until(version, PROPAGATION_LIMIT);
    }
    fleet.assert_versions_only_grow();
}

#[test]
fn the_tree_has_bounded_children_and_depth() {
    let tree = Tree::new((0..220).map(name), 2, 8);
    let mut children: HashMap<NodeName, usize> = HashMap::new();
    for node in (0..220).map(name) {
        if let Some(parent) = tree.parent(&node) {
            *children.entry(parent.clone()).or_default() += 1;
        }
        assert!(tree.depth(&node) <= 3);
    }
    assert!(children.values().all(|count| *count <= 8));
}

#[test]
fn a_restart_of_every_process_reads_the_store_a_few_times() {
    let mut fleet = Fleet::new(220);
    fleet.run_until(1, PROPAGATION_LIMIT);
    // Two watchers with three documents each; only they call the store.
    let calls: u64 = fleet.store_calls.iter().sum();
    let steps = fleet.store_calls.len() as u64;
    assert!(calls <= 6 * steps, "{calls} calls in {steps} steps");
    assert!(fleet.store_calls[0] <= 6);
}

#[test]
fn a_change_made_during_a_store_outage_is_applied_after_it() {
    let mut fleet = Fleet::new(24);
    fleet.run_until(1, PROPAGATION_LIMIT);
    fleet.fault = StoreFault::Down;
    fleet.apply(2);
    fleet.run(time::Duration::from_secs(3_600));
    assert!(fleet.all_have(1));
    let step_calls = fleet.store_calls.last().copied().unwrap_or(0);
    assert!(
        fleet.watchers().len() <= 16,
        "{step_calls} calls in the last step"
    );
    fleet.fault = StoreFault::Healthy;
    fleet.run_until(2, PROPAGATION_LIMIT);
    fleet.assert_versions_only_grow();
}

#[test]
fn a_stalled_watch_is_detected() {
    let mut fleet = Fleet::new(60);
    fleet.run_until(1, PROPAGATION_LIMIT);
    fleet.run(time::Duration::from_secs(5));
    fleet.fault = StoreFault::Stalled;
    fleet.watches.clear();
    fleet.apply(2);
    fleet.run_until(2, PROPAGATION_LIMIT);
}

#[test]
fn a_stale_read_is_not_applied() {
    let mut sync = ConfigSync::new(settings(0), Instant::ZERO);
    let mut rng = Pcg64Mcg::new(1);
    let at = Instant::from_millis;
    let config = |version| Document::new(ObjectVersion(version), *b"text");
    sync.tick(at(1), &mut rng);
    for doc in [Doc::Poison, Doc::Drain] {
        sync.on_event(at(2), Event::StoreAnswered(doc, None));
    }
    sync.on_event(at(2), Event::StoreAnswered(Doc::Config, Some(config(5))));
    let commands = sync.tick(at(3), &mut rng);
    assert!(commands.contains(&Command::Apply(Doc::Config, config(5))));
    sync.on_event(at(4), Event::StoreAnswered(Doc::Config, Some(config(4))));
    assert_eq!(sync.version(Doc::Config), ObjectVersion(5));
    let commands = sync.tick(at(5), &mut rng);
    assert!(
        !commands
            .iter()
            .any(|command| matches!(command, Command::Apply(..)))
    );
}

#[test]
fn a_watcher_cut_off_from_the_store_gets_the_configuration_from_peers() {
    let mut fleet = Fleet::new(60);
    fleet.run_until(1, PROPAGATION_LIMIT);
    let cut = fleet.watchers()[0];
    fleet.nodes[cut].reaches_store = false;
    fleet.watches.retain(|(node, ..)| *node != cut);
    fleet.apply(2);
    fleet.run_until(2, PROPAGATION_LIMIT);
}

#[test]
fn stopped_watchers_are_replaced_without_an_election() {
    let mut fleet = Fleet::new(60);
    fleet.run_until(1, PROPAGATION_LIMIT);
    for watcher in fleet.watchers() {
        fleet.nodes[watcher].is_up = false;
    }
    fleet.apply(2);
    fleet.run_until(2, PROPAGATION_LIMIT);
}

#[test]
fn a_restart_with_the_store_down_applies_the_highest_version_of_its_peers() {
    let mut fleet = Fleet::new(5);
    fleet.run_until(1, PROPAGATION_LIMIT);
    fleet.fault = StoreFault::Down;
    // One process has a newer configuration than the others.
    let newer = Update {
        doc: Doc::Config,
        version: ObjectVersion(9),
        body: UpdateBody::Full(b"text 9".to_vec()),
    };
    let reply = Reply {
        updates: vec![newer],
        age: None,
    };
    fleet.nodes[3]
        .sync
        .on_event(fleet.now, Event::Replied(name(4), reply));
    fleet.restart(0);
    fleet.run(PROPAGATION_LIMIT);
    assert_eq!(fleet.nodes[0].applied, [9]);
    assert_eq!(fleet.nodes[0].sync.not_ready(), None);
}

#[test]
fn a_fleet_without_a_configuration_is_not_ready_and_reports_why() {
    let mut fleet = Fleet::new(30);
    fleet.fault = StoreFault::Down;
    fleet.run(time::Duration::from_secs(60));
    for node in &fleet.nodes {
        let reason = node.sync.not_ready().expect("no configuration");
        assert!(reason.answered >= 4, "{reason}");
        assert_eq!(reason.peers, 29);
    }
    let down = |node: &&Node| {
        node.sync
            .not_ready()
            .is_some_and(|reason| reason.store == StoreState::Down)
    };
    let asked = fleet.nodes.iter().filter(down).count();
    assert!((2..=16).contains(&asked), "{asked} asked the store");
    // One process with a configuration is enough for all.
    let whole = Update {
        doc: Doc::Config,
        version: ObjectVersion(4),
        body: UpdateBody::Full(b"text 4".to_vec()),
    };
    let reply = Reply {
        updates: vec![whole],
        age: None,
    };
    fleet.nodes[7]
        .sync
        .on_event(fleet.now, Event::Replied(name(8), reply));
    fleet.run_until(4, time::Duration::from_secs(60));
}

#[test]
fn peers_get_edits_instead_of_the_full_document() {
    let mut fleet = Fleet::new(4);
    let config = |version: u64| {
        let lines: Vec<_> = (0..100).map(|line| format!("line {line}\n")).collect();
        Document::new(
            ObjectVersion(version),
            format!("{}v{version}", lines.concat()).into_bytes(),
        )
    };
    fleet.config = Some(config(1));
    fleet.run_until(1, PROPAGATION_LIMIT);
    let known = fleet.nodes[0].sync.known();
    fleet.config = Some(config(2));
    fleet.run_until(2, PROPAGATION_LIMIT);
    let reply = fleet.nodes[1].sync.reply(fleet.now, &known);
    let UpdateBody::Edits { base, edits } = &reply.updates[0].body else {
        panic!("not edits: {reply:?}");
    };
    assert_eq!((base.0, edits.len(), edits[0].insert.len()), (1, 1, 1));
}

#[rstest]
#[case::changed("abcdef", "abXdef")]
#[case::grown("aaa", "aaaaaa")]
#[case::shrunk("aaaaaa", "aa")]
#[case::emptied("abc", "")]
#[case::filled("", "abc")]
#[case::same("abc", "abc")]
fn an_edit_turns_the_old_version_into_the_new(#[case] old: &str, #[case] new: &str) {
    let edit = Edit::between(old.as_bytes(), new.as_bytes());
    assert_eq!(edit.apply(old.as_bytes()), Ok(new.as_bytes().to_vec()));
}

#[test]
fn an_edit_of_another_version_is_refused() {
    let edit = Edit::between(b"abcdef", b"abXdef");
    assert_eq!(edit.apply(b"zzzzzz"), Err(EditError::Digest));
    assert_eq!(
        edit.apply(b"a"),
        Err(EditError::TooLong { kept: 5, size: 1 })
    );
}

#[test]
fn edits_that_do_not_fit_are_not_applied() {
    let mut fleet = Fleet::new(3);
    fleet.run_until(1, PROPAGATION_LIMIT);
    let wrong = Update {
        doc: Doc::Config,
        version: ObjectVersion(2),
        body: UpdateBody::Edits {
            base: ObjectVersion(1),
            edits: vec![Edit::between(b"other", b"otter")],
        },
    };
    let reply = Reply {
        updates: vec![wrong],
        age: None,
    };
    fleet.nodes[0]
        .sync
        .on_event(fleet.now, Event::Replied(name(1), reply));
    assert_eq!(fleet.nodes[0].sync.version(Doc::Config), ObjectVersion(1));
}
