//! Generates the seeded traffic of the two regions.

use lentil_trace::Record;
use lentil_types::{
    Class, IdempotencyKey, Instant, ModelName, PIECE_TOKENS, PieceHash, PieceSeed, ScopeName,
    ServiceName, TeamName, Tokens, WeightsVersion,
};
use rand::{RngExt as _, SeedableRng as _};

use crate::{Region, ReplayError, Scenario};

/// Seed of the traffic.
const SEED: u64 = 4_711;
/// Length of every trace.
const DURATION_SECS: f64 = 60.0;
/// Time at which other prefixes become hot in [`Scenario::Shift`].
const SHIFT_AT_SECS: f64 = 30.0;
/// Time range of the excess traffic in [`Scenario::Overload`].
const OVERLOAD_SECS: std::ops::Range<f64> = 15.0..40.0;
/// That traffic, as a multiple of the runners' capacity.
const OVERLOAD_FACTOR: f64 = 1.3;
/// Items that a team still requests.
const MAX_OPEN_ITEMS: usize = 6;

/// Parameters of a region's traffic.
struct Profile {
    /// Requests per second without overload.
    rate: f64,
    /// Requests per second that the runners can serve.
    capacity: f64,
    /// Share of each kind of request.
    shapes: &'static [(PromptShape, f64)],
    /// Pieces of the top shared level: rules, or a catalogue.
    root_len: usize,
    /// Number of sections below it, and the pieces of each.
    sections: (usize, usize),
    /// Pieces of a new item: a lot, or a customer's notes.
    item_len: usize,
    /// Share of the long requests that start a new item.
    new_share: f64,
    /// Pieces that an item gains with each further request.
    growth: usize,
    /// Pieces of the instructions for short queries.
    short_len: usize,
    /// Services of model requests and of plain calls.
    services: [&'static str; 2],
}

/// A kind of request, with the range of its answer's tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PromptShape {
    /// A long prompt: an item, its section and the root.
    Long(Class, [u64; 2]),
    /// A prompt of a section and the root.
    Section([u64; 2]),
    /// A short query with its own instructions.
    Short([u64; 2]),
    /// A non-repeatable call to the plain service.
    Plain,
}

fn profile(region: Region) -> Profile {
    match region {
        Region::Dalton => Profile {
            rate: 45.0,
            capacity: 75.0,
            shapes: &[
                (PromptShape::Long(Class::Normal, [20, 80]), 0.7),
                (PromptShape::Short([5, 20]), 0.2),
                (PromptShape::Plain, 0.1),
            ],
            root_len: 24,
            sections: (6, 8),
            item_len: 3,
            new_share: 0.3,
            growth: 0,
            short_len: 3,
            services: ["sortmind", "dockdesk"],
        },
        Region::Lombardy => Profile {
            rate: 13.0,
            capacity: 20.0,
            shapes: &[
                (PromptShape::Long(Class::Patient, [150, 400]), 0.35),
                (PromptShape::Section([60, 150]), 0.3),
                (PromptShape::Short([10, 30]), 0.25),
                (PromptShape::Plain, 0.1),
            ],
            root_len: 30,
            sections: (4, 6),
            item_len: 3,
            new_share: 0.4,
            growth: 1,
            short_len: 4,
            services: ["consiglieri", "sportello"],
        },
    }
}

/// A prompt prefix that a team uses several times.
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

struct Generator {
    profile: Profile,
    scenario: Scenario,
    model: ModelName,
    services: [ServiceName; 2],
    teams: Vec<Team>,
    rng: rand_pcg::Pcg64Mcg,
    now: f64,
    count: u64,
}

/// Traffic of a scenario.
///
/// # Errors
/// [`ReplayError::Config`] when the region's configuration is not valid.
pub fn generate(region: Region, scenario: Scenario) -> Result<Vec<Record>, ReplayError> {
    let mut generator = Generator::new(region, scenario)?;
    let mut records = Vec::new();
    while let Some(record) = generator.next() {
        records.push(record);
    }
    Ok(records)
}

impl Generator {
    fn new(region: Region, scenario: Scenario) -> Result<Self, ReplayError> {
        let config = region.config()?;
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
            model: config.models[0].name.clone(),
            services,
            teams: config.teams.iter().map(team).collect(),
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(SEED),
            now: 0.0,
            count: 0,
        })
    }

    fn next(&mut self) -> Option<Record> {
        let rate = match self.scenario {
            Scenario::Overload if OVERLOAD_SECS.contains(&self.now) => {
                self.profile.capacity * OVERLOAD_FACTOR
            }
            _ => self.profile.rate,
        };
        let draw: f64 = self.rng.random();
        self.now += -(1.0 - draw).ln() / rate;
        if self.now >= DURATION_SECS {
            return None;
        }
        self.count += 1;
        let shape = self.draw_shape();
        let team = self.draw_team(shape);
        Some(self.record(team, shape))
    }

    fn draw_shape(&mut self) -> PromptShape {
        let mut draw: f64 = self.rng.random();
        for &(shape, share) in self.profile.shapes {
            draw -= share;
            if draw < 0.0 {
                return shape;
            }
        }
        PromptShape::Plain
    }

    /// Draws a team, with weights that fall in the configuration's order. Of
    /// teams that share a scope, the first sends long and section requests, the
    /// others short and plain ones.
    fn draw_team(&mut self, shape: PromptShape) -> usize {
        let is_short = matches!(shape, PromptShape::Short(_) | PromptShape::Plain);
        let teams = &self.teams;
        let shares_scope = |i: usize| {
            teams
                .iter()
                .filter(|team| team.scope == teams[i].scope)
                .count()
                > 1
        };
        let is_repeat = |i: usize| teams[..i].iter().any(|team| team.scope == teams[i].scope);
        let is_eligible = |i: &usize| !shares_scope(*i) || is_repeat(*i) == is_short;
        let mut eligible: Vec<usize> = (0..teams.len()).filter(is_eligible).collect();
        if self.has_shifted() {
            eligible.reverse();
        }
        let weights = (0..eligible.len()).map(|i| 1.0 / (i as f64 + 1.0));
        let index = draw_weighted(&mut self.rng, weights);
        eligible[index]
    }

    fn has_shifted(&self) -> bool {
        self.scenario == Scenario::Shift && self.now >= SHIFT_AT_SECS
    }

    fn record(&mut self, team: usize, shape: PromptShape) -> Record {
        let (class, pieces, tail, output) = match shape {
            PromptShape::Long(class, output) => (class, self.long_pieces(team), [0, 900], output),
            PromptShape::Section(output) => {
                (Class::Normal, self.section_pieces(team), [100, 500], output)
            }
            PromptShape::Short(output) => {
                (Class::Urgent, self.short_pieces(team), [100, 600], output)
            }
            PromptShape::Plain => (Class::Urgent, Vec::new(), [50, 100], [0, 0]),
        };
        let is_plain = shape == PromptShape::Plain;
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

    /// Chain of a team's scope up to its rules or catalogue. The shift replaces
    /// the first team's.
    fn root_chain(&self, team: usize) -> Vec<PieceHash> {
        let scope = &self.teams[team].scope;
        let edition = usize::from(self.has_shifted() && *scope == self.teams[0].scope);
        let label = format!("root-{edition}");
        extend(vec![self.seed(scope)], &label, self.profile.root_len)
    }

    fn seed(&self, scope: &ScopeName) -> PieceHash {
        PieceSeed::new(scope, &[], &self.model, WeightsVersion(1)).0
    }

    fn short_pieces(&self, team: usize) -> Vec<PieceHash> {
        let seed = self.seed(&self.teams[team].scope);
        without_seed(extend(vec![seed], "short", self.profile.short_len))
    }

    fn section_pieces(&mut self, team: usize) -> Vec<PieceHash> {
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
        extend(self.root_chain(team), &format!("section-{section}"), pieces)
    }

    fn long_pieces(&mut self, team: usize) -> Vec<PieceHash> {
        let is_new =
            self.teams[team].items.is_empty() || self.rng.random_bool(self.profile.new_share);
        let item = if is_new {
            self.new_item(team)
        } else {
            self.reused_item(team)
        };
        let chain = self.section_chain(team, item.section);
        let label = format!("item-{}", self.count);
        let pieces = if is_new {
            self.profile.item_len
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
        if items.len() >= MAX_OPEN_ITEMS {
            items.remove(0);
        }
        items.push(item.clone());
        item
    }

    /// Draws an open item and moves it to the end of its team's list.
    fn reused_item(&mut self, team: usize) -> Item {
        let items = &mut self.teams[team].items;
        let index = self.rng.random_range(0..items.len());
        let item = items.remove(index);
        items.push(item.clone());
        item
    }
}

/// Appends `count` pieces named by `label` to a chain.
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
