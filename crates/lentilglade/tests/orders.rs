//! Orders reach engines through the sidecars beside them, and old ones do not.

use std::{net, sync::Arc, time};

use lentil_config::Config;
use lentil_entry::{ControllerSettings, Entry};
use lentil_fakes::{Engine, EngineSettings};
use lentil_platform::InMemoryStore;
use lentil_policy::{lease, rollout, store::ObjectVersion};
use lentil_process::{metrics::Metrics, settings::BackendKind};
use lentil_sidecar::Sidecar;
use lentil_types::{
    BootId, ConfigVersion, FencingNumber, ModelName, NodeName, RegionName, WeightsVersion,
};
use lentil_wire::{Identity, Link, Message};

/// How long a condition is waited for before the test fails.
const LIMIT: time::Duration = time::Duration::from_secs(120);

fn loopback() -> net::SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn region() -> RegionName {
    RegionName::new("nw-georgia").expect("a name")
}

fn identity(name: &str) -> Identity {
    Identity {
        node: NodeName::new(name).expect("a name"),
        key: "the key of a test on loopback"
            .parse()
            .expect("long enough"),
    }
}

/// Three engines with their sidecars, and the store that holds the lease.
struct Bench {
    store: Arc<InMemoryStore>,
    engines: Vec<Engine>,
    sidecars: Vec<Sidecar>,
}

impl Bench {
    async fn start() -> Self {
        let mut bench = Self {
            store: Arc::new(InMemoryStore::new()),
            engines: Vec::new(),
            sidecars: Vec::new(),
        };
        for boot in 1..=3 {
            let engine = Engine::start(EngineSettings {
                boot: BootId(boot),
                ..EngineSettings::default()
            });
            let engine = engine.expect("it listens");
            let sidecar = Sidecar::start(lentil_sidecar::Settings {
                listen: loopback(),
                backend: engine.address(),
                kind: BackendKind::Engine,
                identity: identity(&format!("sortmind-{boot}")),
                metrics: Metrics::local(),
            });
            bench.sidecars.push(sidecar.await.expect("it listens"));
            bench.engines.push(engine);
        }
        bench
    }

    /// Lets every sidecar read the lease.
    async fn learn(&self) {
        for sidecar in &self.sidecars {
            lentil_sidecar::learn_fencing(sidecar.control(), self.store.clone(), region()).await;
        }
    }

    fn market(&self, weights: u32) -> Arc<Config> {
        let runner = |(index, sidecar): (usize, &Sidecar)| {
            let (name, address) = (index + 1, sidecar.address());
            format!(
                "{{ name = \"sortmind-{name}\", place = \"hall-intake\", address = \"{address}\" }}"
            )
        };
        let runners: Vec<_> = self.sidecars.iter().enumerate().map(runner).collect();
        let text = format!(
            "region = \"nw-georgia\"\n[[place]]\nname = \"hall-intake\"\n[[model]]\n\
             name = \"sortmind-7b\"\nservice = \"sortmind\"\nweights = {weights}\n[[service]]\n\
             name = \"sortmind\"\nkind = \"engine\"\nfloor = 1\nrunners = [{}]\n",
            runners.join(", ")
        );
        Arc::new(Config::parse(&text).expect("the text is valid"))
    }

    async fn start_entry(&self, market: Arc<Config>) -> Entry {
        let entry = Entry::start(lentil_entry::Settings {
            listen: loopback(),
            identity: identity("entry-1"),
            place: None,
            version: ConfigVersion(1),
            config: market,
            store: self.store.clone(),
            limits: lentil_entry::Limits::default(),
            metrics: Metrics::local(),
        });
        entry.await.expect("it listens")
    }

    fn controller(&self) -> ControllerSettings {
        let node = NodeName::new("entry-1").expect("a name");
        ControllerSettings {
            rollout: rollout::Settings {
                order_interval: time::Duration::from_millis(10),
                settle_time: time::Duration::from_millis(10),
                ..rollout::Settings::default()
            },
            busy_poll: time::Duration::from_millis(200),
            ..ControllerSettings::new(node, region(), self.store.clone())
        }
    }

    fn ordered(&self) -> usize {
        let has_order = |engine: &&Engine| !engine.orders().is_empty();
        self.engines.iter().filter(has_order).count()
    }
}

/// Gives an order straight to a sidecar.
async fn order(sidecar: &Sidecar, number: u64) -> Result<(), rollout::OrderFault> {
    let link = Link::connect(sidecar.address(), &identity("entry-2")).await;
    let mut exchange = link.expect("connected").open().await.expect("open");
    let order = rollout::Order {
        number: FencingNumber(number),
        model: ModelName::new("sortmind-7b").expect("a name"),
        weights: WeightsVersion(3),
    };
    exchange
        .sender
        .send(Message::Order(order))
        .await
        .expect("sent");
    match exchange.receiver.recv().await {
        Ok(Some(Message::Ordered(outcome))) => outcome,
        other => panic!("no answer to the order: {other:?}"),
    }
}

#[test]
fn a_new_version_of_weights_is_loaded_by_every_runner() {
    smol::block_on(async {
        let bench = Bench::start().await;
        bench.learn().await;
        let entry = bench.start_entry(bench.market(1)).await;
        let control = lentil_entry::control_runners(entry.control(), bench.controller());
        let _controller = smol::spawn(control);
        entry.set_config(ConfigVersion(2), &bench.market(2));
        let limit = time::Instant::now() + LIMIT;
        while bench.ordered() < 3 {
            assert!(
                time::Instant::now() < limit,
                "{} were ordered",
                bench.ordered()
            );
            smol::Timer::after(time::Duration::from_millis(20)).await;
        }
    });
}

#[test]
fn an_old_number_is_refused_and_one_that_was_never_learned_too() {
    smol::block_on(async {
        let bench = Bench::start().await;
        let sidecar = &bench.sidecars[0];
        // It has just started and has not read the lease.
        assert_eq!(order(sidecar, 9).await, Err(rollout::OrderFault::Fenced));
        let record = lease::Record {
            number: FencingNumber(7),
            holder: Some(NodeName::new("entry-1").expect("a name")),
            nonce: 1,
            term: time::Duration::from_secs(15),
            renewals: 1,
        };
        let value = record.to_string().into_bytes();
        let written = bench
            .store
            .put(&lease::key(&region()), ObjectVersion(0), value);
        written.expect("the lease is written");
        bench.learn().await;
        assert_eq!(order(sidecar, 6).await, Err(rollout::OrderFault::Fenced));
        assert_eq!(order(sidecar, 7).await, Ok(()));
        // A new holder orders; the old one wakes and is refused.
        assert_eq!(order(sidecar, 8).await, Ok(()));
        assert_eq!(order(sidecar, 7).await, Err(rollout::OrderFault::Fenced));
        assert_eq!(bench.engines[0].orders().len(), 2);
    });
}
