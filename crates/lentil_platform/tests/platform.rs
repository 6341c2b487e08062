//! The client against the fake platform, with each of its faults.

use std::{sync::Arc, time};

use lentil_fakes::PlatformSettings;
use lentil_platform::{
    GuardedStore, Instance, InstanceList as _, InstanceRole, MAX_VALUE_BYTES, Object,
    ObjectStore as _, Platform, Settings, StoreError, execute_call,
};
use lentil_policy::{
    store::{ObjectKey, ObjectVersion, OpId, StoreCall, StoreReply},
    store_budget,
};
use lentil_types::{NodeName, PlaceName, RunnerState};

const V0: ObjectVersion = ObjectVersion(0);
const V1: ObjectVersion = ObjectVersion(1);
const V2: ObjectVersion = ObjectVersion(2);

fn key() -> ObjectKey {
    ObjectKey {
        kind: "config".into(),
        name: "nw-georgia".into(),
    }
}

fn start(settings: PlatformSettings) -> (lentil_fakes::Platform, Platform) {
    let fake = lentil_fakes::Platform::start(settings).expect("the fake platform listens");
    let client = Platform::new(Settings {
        address: fake.address(),
        ..Settings::default()
    });
    (fake, client)
}

#[test]
fn an_update_needs_the_current_version() {
    let (_fake, client) = start(PlatformSettings::default());
    smol::block_on(async {
        assert_eq!(
            client.read(&key()).await.expect("answered"),
            Object::default()
        );
        let created = client.update(&key(), V0, b"one".to_vec()).await;
        assert_eq!(created.expect("created"), V1);
        let stale = client.update(&key(), V0, b"two".to_vec()).await;
        assert!(matches!(stale, Err(StoreError::Conflict(V1))), "{stale:?}");
        let found = client.read(&key()).await.expect("answered");
        assert_eq!((found.version, found.value), (V1, b"one".to_vec()));
        let listed = client.list("config").await.expect("listed");
        assert_eq!(
            (listed[0].name.as_str(), listed[0].version),
            ("nw-georgia", V1)
        );
    });
}

#[test]
fn a_value_of_a_mebibyte_is_accepted_and_a_larger_one_refused() {
    let (_fake, client) = start(PlatformSettings::default());
    smol::block_on(async {
        let full = client.update(&key(), V0, vec![7; MAX_VALUE_BYTES]).await;
        assert_eq!(full.expect("accepted"), V1);
        let found = client.read(&key()).await.expect("answered");
        assert_eq!(found.value.len(), MAX_VALUE_BYTES);
        let larger = client
            .update(&key(), V1, vec![7; MAX_VALUE_BYTES + 1])
            .await;
        assert!(
            matches!(larger, Err(StoreError::TooLarge { .. })),
            "{larger:?}"
        );
    });
}

#[test]
fn a_watch_returns_the_next_version_or_nothing() {
    let (fake, client) = start(PlatformSettings::default());
    smol::block_on(async {
        let wait = time::Duration::from_millis(10);
        assert_eq!(
            client.watch(&key(), V0, wait).await.expect("answered"),
            None
        );
        let long = time::Duration::from_secs(60);
        let key = key();
        let watch = client.watch(&key, V0, long);
        let write = async {
            fake.store()
                .put(&key, V0, b"one".to_vec())
                .expect("created");
        };
        let (seen, ()) = futures_lite::future::zip(watch, write).await;
        assert_eq!(seen.expect("answered").expect("changed").version, V1);
    });
}

#[test]
fn a_lost_answer_leaves_the_write_in_force() {
    let (fake, client) = start(PlatformSettings::default());
    fake.faults().lose_answers(1);
    smol::block_on(async {
        let call = StoreCall::Update {
            op: OpId(4),
            key: key(),
            expect: V0,
            value: b"one".to_vec(),
        };
        let reply = execute_call(&client, call).await;
        assert_eq!(reply, StoreReply::Lost { op: OpId(4) });
        assert_eq!(client.read(&key()).await.expect("answered").version, V1);
    });
}

#[test]
fn a_store_that_is_down_or_unreached_refuses_unread() {
    let (fake, client) = start(PlatformSettings::default());
    fake.faults().set_down(true);
    let call = || StoreCall::Update {
        op: OpId(4),
        key: key(),
        expect: V0,
        value: b"one".to_vec(),
    };
    smol::block_on(async {
        let reply = execute_call(&client, call()).await;
        assert_eq!(reply, StoreReply::Refused { op: OpId(4) });
        let closed = std::net::TcpListener::bind("127.0.0.1:0").expect("bound");
        let address = closed.local_addr().expect("bound");
        drop(closed);
        let unreachable = Platform::new(Settings {
            address,
            ..Settings::default()
        });
        let reply = execute_call(&unreachable, call()).await;
        assert_eq!(reply, StoreReply::Refused { op: OpId(4) });
    });
    assert_eq!(fake.store().get(&key()).version, V0);
}

#[test]
fn a_slow_store_loses_the_answer_at_the_time_limit() {
    let fake = lentil_fakes::Platform::start(PlatformSettings::default()).expect("listens");
    fake.faults().set_delay(time::Duration::from_secs(600));
    let client = Platform::new(Settings {
        address: fake.address(),
        timeout: time::Duration::from_millis(20),
    });
    let late = smol::block_on(async { client.update(&key(), V0, vec![1]).await });
    assert!(matches!(late, Err(StoreError::Timeout(_))), "{late:?}");
    assert!(late.is_err_and(|error| error.is_outcome_unknown()));
}

#[test]
fn a_stale_read_returns_the_previous_version() {
    let (fake, client) = start(PlatformSettings::default());
    smol::block_on(async {
        client
            .update(&key(), V0, b"one".to_vec())
            .await
            .expect("created");
        client
            .update(&key(), V1, b"two".to_vec())
            .await
            .expect("written");
        fake.faults().stale_reads(1);
        assert_eq!(client.read(&key()).await.expect("answered").version, V1);
        assert_eq!(client.read(&key()).await.expect("answered").version, V2);
    });
}

#[test]
fn calls_over_the_rate_are_refused_and_counted() {
    let (fake, client) = start(PlatformSettings {
        writes: 0,
        ..PlatformSettings::default()
    });
    let refused = smol::block_on(async { client.update(&key(), V0, vec![1]).await });
    assert!(
        matches!(refused, Err(StoreError::Refused(429))),
        "{refused:?}"
    );
    assert_eq!(fake.refused(), 1);
    assert_eq!(fake.calls(), [(("config".to_owned(), "update"), 1)]);
}

#[test]
fn instances_are_listed_by_place() {
    let (fake, client) = start(PlatformSettings::default());
    let instance = |node: &str, place: &str| Instance {
        node: NodeName::new(node).expect("a name"),
        role: InstanceRole::Sidecar,
        place: PlaceName::new(place).expect("a name"),
        address: ([127, 0, 0, 1], 7100).into(),
        state: RunnerState::Live,
    };
    let (here, there) = (instance("s1", "hall-intake"), instance("s2", "hall-baling"));
    fake.set_instances(vec![here.clone(), there.clone()]);
    smol::block_on(async {
        let all = client.instances(None).await.expect("listed");
        assert_eq!(all, [here.clone(), there]);
        let some = client.instances(Some(&here.place)).await.expect("listed");
        assert_eq!(some, [here]);
    });
}

#[test]
fn a_lagging_list_lacks_a_new_instance() {
    let (fake, client) = start(PlatformSettings {
        list_lag: time::Duration::from_secs(600),
        ..PlatformSettings::default()
    });
    fake.set_instances(vec![Instance {
        node: NodeName::new("s1").expect("a name"),
        role: InstanceRole::Entry,
        place: PlaceName::new("hall-intake").expect("a name"),
        address: ([127, 0, 0, 1], 7100).into(),
        state: RunnerState::Live,
    }]);
    let listed = smol::block_on(async { client.instances(None).await.expect("listed") });
    assert_eq!(listed, []);
}

#[test]
fn the_breaker_stops_calls_to_a_store_that_is_down() {
    let (fake, client) = start(PlatformSettings::default());
    fake.faults().set_down(true);
    let settings = store_budget::Settings {
        breaker: store_budget::BreakerSettings {
            failure_threshold: 3,
            min_wait: time::Duration::from_secs(600),
            max_wait: time::Duration::from_secs(600),
        },
        ..store_budget::Settings::default()
    };
    let guarded = GuardedStore::new(Arc::new(client), settings);
    smol::block_on(async {
        for _ in 0..20 {
            assert!(guarded.read(&key()).await.is_err());
        }
    });
    assert_eq!(fake.calls(), [(("config".to_owned(), "read"), 3)]);
    let tally = guarded.tallies()[0];
    assert_eq!((tally.made, tally.denied), (3, 17));
    assert!(!guarded.is_closed());
}

/// Answers every request with a head and then bytes without end.
async fn start_endless(head: &'static str, part: &'static [u8]) -> std::net::SocketAddr {
    use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
    let listener = smol::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("it binds");
    let address = listener.local_addr().expect("it has an address");
    smol::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            smol::spawn(async move {
                let mut request = [0; 4_096];
                let read = stream.read(&mut request).await;
                if read.is_err() || stream.write_all(head.as_bytes()).await.is_err() {
                    return;
                }
                while stream.write_all(part).await.is_ok() {}
            })
            .detach();
        }
    })
    .detach();
    address
}

#[rstest::rstest]
#[case::chunks("", b"400\r\n")]
#[case::extension("1;", b"xxxxxxxxxxxxxxxx")]
#[case::small_chunks("", b"1\r\nx\r\n")]
fn an_answer_without_end_is_an_error(#[case] start: &'static str, #[case] part: &'static [u8]) {
    let head = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{start}");
    let mut part = part.to_vec();
    if part == b"400\r\n" {
        part.extend(vec![b'x'; 0x400]);
        part.extend(b"\r\n");
    }
    smol::block_on(async {
        let address = start_endless(head.leak(), part.repeat(64).leak()).await;
        let client = Platform::new(Settings {
            address,
            timeout: time::Duration::from_secs(60),
        });
        let found = client.read(&key()).await;
        assert!(matches!(found, Err(StoreError::BrokeOff(_))), "{found:?}");
        let listed = client.list("config").await;
        assert!(matches!(listed, Err(StoreError::BrokeOff(_))), "{listed:?}");
    });
}
