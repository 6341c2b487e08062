//! Seeded traffic of the two markets.

use lentil_trace::Record;
use lentil_types::{
    Class, IdempotencyKey, Instant, ModelName, PIECE_TOKENS, PieceHash, PieceSeed, ScopeName,
    ServiceName, TeamName, Tokens, WeightsVersion,
};
use rand::{RngExt as _, SeedableRng as _};

use crate::{Region, ReplayError, Scenario};

/// Seed of the traffic.
const SEED: u64 = 4_711;
/// Length of every trace, in seconds.
const SECONDS: f64 = 60.0;
/// When other prefixes become hot in [`Scenario::Shift`], in seconds.
const SHIFT_AT: f64 = 30.0;
/// When too much traffic comes in [`Scenario::Overload`], in seconds.
const OVERLOAD: std::ops::Range<f64> = 15.0..40.0;
/// That traffic, against what the runners can serve.
const OVERLOAD_FACTOR: f64 = 1.3;
/// Items that a team still reads again.
const OPEN_ITEMS: usize = 6;

/// What the traffic of a market is like.
struct Profile {
    /// Requests a second when steady.
    rate: f64,
    /// Requests a second that the runners can serve.
    capacity: f64,
    /// Part of each kind of request.
    kinds: &'static [(Kind, f64)],
    /// Pieces of the longest shared level: rules, or a catalogue.
    root: usize,
    /// Sections below it, and their pieces.
    sections: (usize, usize),
    /// Pieces of an item: a lot, or a customer's notes.
    item: usize,
    /// Part of the long requests that begin a new item.
    fresh: f64,
    /// Pieces that an item gains with each request.
    growth: usize,
    /// Pieces of the instructions for short queries.
    short_root: usize,
    /// Service of the model and of plain calls.
    services: [&'static str; 2],
}

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Reads an item against everything above it.
    Long(Class, [u64; 2]),
    /// Asks about a section.
    Section([u64; 2]),
    /// A short query.
    Short([u64; 2]),
    /// A call to the plain service that may not be repeated.
    Plain,
}

fn profile(region: Region) -> Profile {
    match region {
        Region::Dalton => Profile {
            rate: 45.0,
            capacity: 75.0,
            kinds: &[
                (Kind::Long(Class::Normal, [20, 80]), 0.7),
                (Kind::Short([5, 20]), 0.2),
                (Kind::Plain, 0.1),
            ],
            root: 24,
            sections: (6, 8),
            item: 3,
            fresh: 0.3,
            growth: 0,
            short_root: 3,
            services: ["sortmind", "dockdesk"],
        },
        Region::Lombardy => Profile {
            rate: 13.0,
            capacity: 20.0,
            kinds: &[
                (Kind::Long(Class::Patient, [150, 400]), 0.35),
                (Kind::Section([60, 150]), 0.3),
                (Kind::Short([10, 30]), 0.25),
                (Kind::Plain, 0.1),
            ],
            root: 30,
            sections: (4, 6),
            item: 3,
            fresh: 0.4,
            growth: 1,
            short_root: 4,
            services: ["consiglieri", "sportello"],
        },
    }
}

/// Something that a team reads several times.
#[derive(Clone, Debug)]
struct Item {
    section: usize,
    pieces: Vec<PieceHash>,
}

struct Team {
    name: TeamName,
    scope: ScopeName,
    items: Vec<Item>,
}

struct Traffic {
    profile: Profile,
    scenario: Scenario,
    model: ModelName,
    services: [ServiceName; 2],
    teams: Vec<Team>,
    rng: rand_pcg::Pcg64Mcg,
    now: f64,
    count: u64,
}

/// Makes the traffic of a scenario.
///
/// # Errors
/// [`ReplayError::Market`] when the market's text is not valid.
pub fn make(region: Region, scenario: Scenario) -> Result<Vec<Record>, ReplayError> {
    let mut traffic = Traffic::new(region, scenario)?;
    let mut records = Vec::new();
    while let Some(record) = traffic.next() {
        records.push(record);
    }
    Ok(records)
}

impl Traffic {
    fn new(region: Region, scenario: Scenario) -> Result<Self, ReplayError> {
        let market = region.market()?;
        let profile = profile(region);
        let name = |name: &str| name.parse().map_err(ReplayError::Name);
        let services = [name(profile.services[0])?, name(profile.services[1])?];
        let team = |team: &lentil_config::Team| Team {
            name: team.name.clone(),
            scope: team.scope.clone(),
            items: Vec::new(),
        };
        Ok(Self {
            profile,
            scenario,
            model: market.models[0].name.clone(),
            services,
            teams: market.teams.iter().map(team).collect(),
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(SEED),
            now: 0.0,
            count: 0,
        })
    }

    fn next(&mut self) -> Option<Record> {
        let rate = match self.scenario {
            Scenario::Overload if OVERLOAD.contains(&self.now) => {
                self.profile.capacity * OVERLOAD_FACTOR
            }
            _ => self.profile.rate,
        };
        let draw: f64 = self.rng.random();
        self.now += -(1.0 - draw).ln() / rate;
        if self.now >= SECONDS {
            return None;
        }
        self.count += 1;
        let kind = self.kind();
        let team = self.team(kind);
        Some(self.record(team, kind))
    }

    fn kind(&mut self) -> Kind {
        let mut draw: f64 = self.rng.random();
        for &(kind, part) in self.profile.kinds {
            draw -= part;
            if draw < 0.0 {
                return kind;
            }
        }
        Kind::Plain
    }

    /// Draws a team. Some are large: weights fall with the place in the text.
    /// Teams that share a scope with another do its short and plain calls.
    fn team(&mut self, kind: Kind) -> usize {
        let is_short = matches!(kind, Kind::Short(_) | Kind::Plain);
        let teams = &self.teams;
        let has_twin = |i: usize| {
            teams
                .iter()
                .filter(|team| team.scope == teams[i].scope)
                .count()
                > 1
        };
        let is_second = |i: usize| teams[..i].iter().any(|team| team.scope == teams[i].scope);
        let fits = |i: &usize| !has_twin(*i) || is_second(*i) == is_short;
        let mut able: Vec<usize> = (0..teams.len()).filter(fits).collect();
        if self.has_shifted() {
            able.reverse();
        }
        let weights = (0..able.len()).map(|i| 1.0 / (i as f64 + 1.0));
        let at = draw_weighted(&mut self.rng, weights);
        able[at]
    }

    fn has_shifted(&self) -> bool {
        self.scenario == Scenario::Shift && self.now >= SHIFT_AT
    }

    fn record(&mut self, team: usize, kind: Kind) -> Record {
        let (class, pieces, tail, output) = match kind {
            Kind::Long(class, output) => (class, self.long(team), [0, 900], output),
            Kind::Section(output) => (Class::Normal, self.section(team), [100, 500], output),
            Kind::Short(output) => (Class::Urgent, self.short(team), [100, 600], output),
            Kind::Plain => (Class::Urgent, Vec::new(), [50, 100], [0, 0]),
        };
        let is_plain = kind == Kind::Plain;
        let tail = self.rng.random_range(tail[0]..=tail[1]);
        let whole = pieces.len() as u64 * u64::from(PIECE_TOKENS);
        let key = is_plain.then(|| self.key()).flatten();
        Record {
            at: Instant((self.now * 1e6) as u64),
            team: self.teams[team].name.clone(),
            class,
            service: self.services[usize::from(is_plain)].clone(),
            model: (!is_plain).then(|| self.model.clone()),
            pieces,
            prompt: Tokens(whole + tail),
            output: Tokens(self.rng.random_range(output[0]..=output[1])),
            key,
        }
    }

    fn key(&self) -> Option<IdempotencyKey> {
        format!("call-{}", self.count).parse().ok()
    }

    /// Chain of one team's scope up to its rules or catalogue. The largest
    /// team's is replaced by the shift.
    fn root(&self, team: usize) -> Vec<PieceHash> {
        let scope = &self.teams[team].scope;
        let edition = usize::from(self.has_shifted() && *scope == self.teams[0].scope);
        let label = format!("root-{edition}");
        extend(vec![self.seed(scope)], &label, self.profile.root)
    }

    fn seed(&self, scope: &ScopeName) -> PieceHash {
        PieceSeed::new(scope, &self.model, WeightsVersion(1)).0
    }

    fn short(&self, team: usize) -> Vec<PieceHash> {
        let seed = self.seed(&self.teams[team].scope);
        without_seed(extend(vec![seed], "short", self.profile.short_root))
    }

    fn section(&mut self, team: usize) -> Vec<PieceHash> {
        let section = self.draw_section();
        without_seed(self.section_chain(team, section))
    }

    fn draw_section(&mut self) -> usize {
        let (count, _) = self.profile.sections;
        let weights = (0..count).map(|i| 1.0 / (i as f64 + 1.0));
        let drawn = draw_weighted(&mut self.rng, weights);
        if self.has_shifted() {
            count - 1 - drawn
        } else {
            drawn
        }
    }

    fn section_chain(&self, team: usize, section: usize) -> Vec<PieceHash> {
        let (_, pieces) = self.profile.sections;
        extend(self.root(team), &format!("section-{section}"), pieces)
    }

    fn long(&mut self, team: usize) -> Vec<PieceHash> {
        let is_new = self.teams[team].items.is_empty() || self.rng.random_bool(self.profile.fresh);
        let item = if is_new {
            self.new_item(team)
        } else {
            self.old_item(team)
        };
        let chain = self.section_chain(team, item.section);
        let label = format!("item-{}", self.count);
        let pieces = if is_new {
            self.profile.item
        } else {
            self.profile.growth
        };
        let chain = if is_new { chain } else { item.pieces };
        let chain = extend(chain, &label, pieces);
        if let Some(open) = self.teams[team].items.last_mut() {
            open.pieces.clone_from(&chain);
        }
        without_seed(chain)
    }

    fn new_item(&mut self, team: usize) -> Item {
        let item = Item {
            section: self.draw_section(),
            pieces: Vec::new(),
        };
        let items = &mut self.teams[team].items;
        if items.len() >= OPEN_ITEMS {
            items.remove(0);
        }
        items.push(item.clone());
        item
    }

    /// An open item, moved to the end of its team's list.
    fn old_item(&mut self, team: usize) -> Item {
        let items = &mut self.teams[team].items;
        let at = self.rng.random_range(0..items.len());
        let item = items.remove(at);
        items.push(item.clone());
        item
    }
}

/// Adds `count` pieces of text that `label` names to a chain.
fn extend(mut chain: Vec<PieceHash>, label: &str, count: usize) -> Vec<PieceHash> {
    for i in 0..count {
        let last = chain.last().copied().unwrap_or_default();
        chain.push(last.chain(format!("{label}-{i}").as_bytes()));
    }
    chain
}

fn without_seed(mut chain: Vec<PieceHash>) -> Vec<PieceHash> {
    chain.remove(0);
    chain
}

fn draw_weighted(
    rng: &mut rand_pcg::Pcg64Mcg,
    weights: impl ExactSizeIterator<Item = f64> + Clone,
) -> usize {
    let count = weights.len();
    let total: f64 = weights.clone().sum();
    let mut draw = rng.random::<f64>() * total;
    for (i, weight) in weights.enumerate() {
        draw -= weight;
        if draw < 0.0 {
            return i;
        }
    }
    count - 1
}
