//! Rollouts space out their orders, keep the floor and stop after failures.

use std::{collections::HashMap, time};

use lentil_policy::rollout::{
    Command, Event, Order, OrderFault, Progress, Rollout, RunnerStatus, Settings, StopReason,
    Target,
};
use lentil_types::{
    BootId, FencingNumber, Instant, ModelName, RunnerName, RunnerState, ServiceName, WeightsVersion,
};
use rand_pcg::Pcg64Mcg;

const STEP: time::Duration = time::Duration::from_secs(1);
/// How long a fake engine takes to load weights.
const LOAD: time::Duration = time::Duration::from_secs(20);
const OLD: WeightsVersion = WeightsVersion(1);
const NEW: WeightsVersion = WeightsVersion(2);

fn service() -> ServiceName {
    ServiceName::new("sortmind").expect("a name")
}

fn runner(index: u32) -> RunnerName {
    RunnerName::new(&format!("sortmind-{index}")).expect("a name")
}

fn target(weights: WeightsVersion, floor: u32) -> Target {
    Target {
        service: service(),
        model: ModelName::new("sortmind-7b").expect("a name"),
        weights,
        floor,
    }
}

#[derive(Clone, Debug)]
struct Engine {
    weights: WeightsVersion,
    loading: Option<(WeightsVersion, Instant)>,
    is_down: bool,
}

/// How engines handle orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    BadWeights,
    AnswerLost,
    Throttled,
    NeverReady,
}

/// Fake engines that carry out orders, and one controller.
struct Bench {
    now: Instant,
    rng: Pcg64Mcg,
    rollout: Rollout,
    engines: HashMap<RunnerName, Engine>,
    orders: Vec<(Instant, RunnerName, Order)>,
    records: Vec<Progress>,
    fault: Fault,
    floor: usize,
}

impl Bench {
    fn new(count: u32, floor: u32, fault: Fault) -> Self {
        let engine = |index| {
            let engine = Engine {
                weights: OLD,
                loading: None,
                is_down: false,
            };
            (runner(index), engine)
        };
        let mut bench = Self {
            now: Instant::ZERO,
            rng: Pcg64Mcg::new(5),
            rollout: Rollout::new(Settings::default()),
            engines: (0..count).map(engine).collect(),
            orders: Vec::new(),
            records: Vec::new(),
            fault,
            floor: floor as usize,
        };
        bench.set_targets(vec![target(NEW, floor)]);
        bench
    }

    fn set_targets(&mut self, targets: Vec<Target>) {
        self.event(Event::Targets(targets));
    }

    /// Replaces the controller by a new one with the stored progress.
    fn replace_controller(&mut self) {
        let floor = u32::try_from(self.floor).expect("small");
        self.rollout = Rollout::new(Settings::default());
        self.set_targets(vec![target(NEW, floor)]);
        if let Some(&recorded) = self.records.last() {
            self.event(Event::Recorded(service(), recorded));
        }
    }

    fn event(&mut self, event: Event) {
        self.rollout.on_event(self.now, event, &mut self.rng);
    }

    fn run(&mut self, steps: u32) {
        for _ in 0..steps {
            self.step(Some(FencingNumber(1)));
        }
    }

    fn step(&mut self, fencing: Option<FencingNumber>) {
        self.now = self.now + STEP;
        self.finish_loads();
        self.report();
        for command in self.rollout.tick(self.now, fencing) {
            match command {
                Command::Order(runner, order) => self.order(&runner, &order),
                Command::Record(_, progress) => self.records.push(progress),
            }
        }
        let ready = self
            .engines
            .values()
            .filter(|engine| engine.is_ready())
            .count();
        assert!(ready >= self.floor, "{ready} ready at {}", self.now);
    }

    fn finish_loads(&mut self) {
        for engine in self.engines.values_mut() {
            let done = engine.loading.filter(|(_, at)| self.now >= *at);
            if let Some((weights, _)) = done {
                engine.weights = weights;
                engine.loading = None;
            }
        }
    }

    fn report(&mut self) {
        let mut statuses: Vec<_> = self
            .engines
            .iter()
            .map(|(n, e)| (n.clone(), e.status()))
            .collect();
        statuses.sort_by(|a, b| a.0.cmp(&b.0));
        for (name, status) in statuses {
            self.event(Event::RunnerStatus(name, status));
        }
    }

    fn order(&mut self, runner: &RunnerName, order: &Order) {
        self.orders.push((self.now, runner.clone(), order.clone()));
        let engine = self.engines.get_mut(runner).expect("a known runner");
        let event = match self.fault {
            Fault::BadWeights => Event::OrderFailed(runner.clone(), OrderFault::BadWeights),
            Fault::Throttled => Event::OrderFailed(runner.clone(), OrderFault::Throttled),
            Fault::NeverReady => {
                engine.loading = Some((order.weights, Instant::NEVER));
                Event::OrderAccepted(runner.clone())
            }
            Fault::None | Fault::AnswerLost => {
                let until = self.now + LOAD;
                engine.loading.get_or_insert((order.weights, until));
                match self.fault {
                    Fault::AnswerLost => Event::OrderFailed(runner.clone(), OrderFault::Lost),
                    _ => Event::OrderAccepted(runner.clone()),
                }
            }
        };
        self.event(event);
    }

    fn updated(&self) -> usize {
        self.engines
            .values()
            .filter(|engine| engine.weights == NEW)
            .count()
    }

    fn stopped(&self) -> Option<StopReason> {
        self.rollout
            .progress(&service())
            .and_then(|progress| progress.stopped)
    }
}

impl Engine {
    fn is_ready(&self) -> bool {
        self.loading.is_none() && !self.is_down
    }

    fn status(&self) -> RunnerStatus {
        let state = if self.is_ready() {
            RunnerState::Live
        } else {
            RunnerState::Joining
        };
        RunnerStatus {
            service: service(),
            boot: BootId(1),
            weights: self.weights,
            state,
        }
    }
}

#[test]
fn every_runner_is_updated_above_the_floor_and_at_the_order_interval() {
    let mut bench = Bench::new(18, 12, Fault::None);
    bench.run(400);
    assert_eq!((bench.updated(), bench.orders.len()), (18, 18));
    let interval = Settings::default().order_interval;
    for pair in bench.orders.windows(2) {
        assert!(pair[1].0.since(pair[0].0) >= interval);
    }
}

#[test]
fn the_first_runner_is_updated_alone_and_must_stay_up() {
    let mut bench = Bench::new(6, 2, Fault::None);
    bench.run(60);
    assert_eq!(bench.orders.len(), 1);
    bench.run(60);
    assert!(bench.orders.len() > 1);
}

#[test]
fn a_floor_of_all_runners_prevents_the_rollout() {
    let mut bench = Bench::new(3, 3, Fault::None);
    bench.run(300);
    assert_eq!((bench.updated(), bench.orders.len()), (0, 0));
}

#[test]
fn weights_that_engines_cannot_load_stop_the_rollout() {
    let mut bench = Bench::new(6, 2, Fault::BadWeights);
    bench.run(600);
    assert_eq!(bench.stopped(), Some(StopReason::LoadFailed));
    assert_eq!(bench.orders.len(), 2);
    // New target weights restart the rollout.
    bench.fault = Fault::None;
    bench.set_targets(vec![target(WeightsVersion(3), 2)]);
    bench.run(600);
    assert!(
        bench
            .engines
            .values()
            .all(|engine| engine.weights == WeightsVersion(3))
    );
}

#[test]
fn engines_that_never_come_up_stop_the_rollout() {
    let mut bench = Bench::new(6, 2, Fault::NeverReady);
    bench.run(3_000);
    assert_eq!(bench.stopped(), Some(StopReason::TooSlow));
    assert!(
        bench
            .engines
            .values()
            .filter(|engine| engine.is_ready())
            .count()
            >= 4
    );
}

#[test]
fn engines_that_go_down_with_the_new_weights_stop_the_rollout() {
    let mut bench = Bench::new(6, 2, Fault::None);
    for _ in 0..2 {
        let before = bench.updated();
        while bench.updated() == before {
            bench.run(1);
        }
        bench.run(2);
        // The engine that has just come up goes down and returns with old weights.
        let name = bench.orders.last().expect("one was given").1.clone();
        bench.engines.get_mut(&name).expect("known").is_down = true;
        bench.run(2);
        let engine = bench.engines.get_mut(&name).expect("known");
        engine.is_down = false;
        engine.weights = OLD;
        bench.run(1);
    }
    assert_eq!(bench.stopped(), Some(StopReason::WentDown));
    let given = bench.orders.len();
    bench.run(300);
    assert_eq!(bench.orders.len(), given);
}

#[test]
fn a_stopped_rollout_stays_stopped_under_the_next_controller() {
    let mut bench = Bench::new(6, 2, Fault::BadWeights);
    bench.run(600);
    bench.replace_controller();
    bench.fault = Fault::None;
    bench.run(600);
    assert_eq!((bench.updated(), bench.orders.len()), (0, 2));
}

#[test]
fn a_rollout_continues_under_the_next_controller() {
    let mut bench = Bench::new(9, 4, Fault::None);
    bench.run(105);
    let before = bench.updated();
    assert!(before > 0 && before < 9, "{before}");
    bench.replace_controller();
    bench.run(400);
    assert_eq!(bench.updated(), 9);
}

#[test]
fn an_order_whose_answer_is_lost_is_repeated() {
    let mut bench = Bench::new(3, 1, Fault::AnswerLost);
    bench.run(400);
    assert_eq!(bench.updated(), 3);
    assert!(bench.orders.len() > 3);
}

#[test]
fn orders_back_off_while_the_weight_store_is_throttled() {
    let mut bench = Bench::new(6, 2, Fault::Throttled);
    bench.run(3_600);
    // Backoffs of 5, 10, 20 .. 300 s, each drawn between half and full length.
    assert!(bench.orders.len() < 40, "{} orders", bench.orders.len());
    assert_eq!(bench.stopped(), None);
    bench.fault = Fault::None;
    bench.run(1_200);
    assert_eq!(bench.updated(), 6);
}

#[test]
fn nothing_is_ordered_without_the_lease() {
    let mut bench = Bench::new(3, 1, Fault::None);
    for _ in 0..100 {
        bench.step(None);
    }
    assert_eq!(bench.orders.len(), 0);
    bench.step(Some(FencingNumber(9)));
    assert_eq!(bench.orders[0].2.number, FencingNumber(9));
}

#[test]
fn a_record_reads_back_as_it_was_written() {
    let mut progress = Progress::new(NEW);
    assert_eq!(progress.to_string().parse(), Ok(progress));
    progress.failures = 2;
    progress.stopped = Some(StopReason::WentDown);
    assert_eq!(progress.to_string().parse(), Ok(progress));
    assert!("2 2".parse::<Progress>().is_err());
}
