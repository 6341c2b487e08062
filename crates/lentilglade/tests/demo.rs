//! Requests from a caller through entry and sidecar to a backend server.

use lentil_config::Config;
use lentilglade::{Demo, Session};

#[rstest::rstest]
#[case::dalton(include_str!("../../../examples/dalton.toml"))]
#[case::lombardy(include_str!("../../../examples/lombardy.toml"))]
fn every_request_of_the_session_has_its_expected_answer(#[case] text: &str) {
    let config = Config::parse(text).expect("the example is valid");
    let (rows, store_calls) = smol::block_on(async {
        let demo = Demo::start(config.clone()).await.expect("the demo starts");
        let rows = Session::new(demo.address(), &config).run(&config).await;
        demo.drain().await;
        (rows, demo.platform().calls())
    });
    let unexpected: Vec<_> = rows.iter().filter(|row| !row.is_expected).collect();
    assert!(unexpected.is_empty(), "{unexpected:?}");
    assert_eq!(rows.len(), 15);
    let claims = |((kind, _), _): &((String, _), _)| kind.starts_with("claim");
    assert!(store_calls.iter().any(claims), "{store_calls:?}");
}
