//! Sidecars pass orders on to their engines and refuse those with an old fencing
//! number.

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

/// Longest wait for a condition; only a failing test reaches it.
const TIMEOUT: time::Duration = time::Duration::from_secs(120);

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

/// Three engines with their sidecars, and the store with the lease.
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

    /// Makes every sidecar read the lease's fencing number.
    async fn read_lease(&self) {
        for sidecar in &self.sidecars {
            lentil_sidecar::learn_fencing(sidecar.control(), self.store.clone(), region()).await;
        }
    }

    fn config(&self, weights: u32) -> Arc<Config> {
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
        Arc::new(Config::parse(&text).expect("the configuration is valid"))
    }

    async fn start_entry(&self, config: Arc<Config>) -> Entry {
        let entry = Entry::start(lentil_entry::Settings {
            listen: loopback(),
            identity: identity("entry-1"),
            place: None,
            version: ConfigVersion(1),
            config,
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

    /// Number of engines that have carried out an order.
    fn ordered_engines(&self) -> usize {
        let has_order = |engine: &&Engine| !engine.orders().is_empty();
        self.engines.iter().filter(has_order).count()
    }
}

/// Sends an order directly to a sidecar.
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
        bench.read_lease().await;
        let entry = bench.start_entry(bench.config(1)).await;
        let control = lentil_entry::control_runners(entry.control(), bench.controller());
        let _controller = smol::spawn(control);
        entry.set_config(ConfigVersion(2), &bench.config(2));
        let deadline = time::Instant::now() + TIMEOUT;
        while bench.ordered_engines() < 3 {
            assert!(
                time::Instant::now() < deadline,
                "only {} engines have an order",
                bench.ordered_engines()
            );
            smol::Timer::after(time::Duration::from_millis(20)).await;
        }
    });
}

#[test]
fn an_order_is_refused_with_an_old_number_or_before_the_lease_is_read() {
    smol::block_on(async {
        let bench = Bench::start().await;
        let sidecar = &bench.sidecars[0];
        // The sidecar has not read the lease yet.
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
        bench.read_lease().await;
        assert_eq!(order(sidecar, 6).await, Err(rollout::OrderFault::Fenced));
        assert_eq!(order(sidecar, 7).await, Ok(()));
        // After an order of a new holder, the old holder's is refused.
        assert_eq!(order(sidecar, 8).await, Ok(()));
        assert_eq!(order(sidecar, 7).await, Err(rollout::OrderFault::Fenced));
        assert_eq!(bench.engines[0].orders().len(), 2);
    });
}
