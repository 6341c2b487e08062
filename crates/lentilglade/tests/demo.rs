//! The whole path, from a caller to a backend server and back.

use lentil_config::Config;
use lentilglade::{Demo, Session};

#[rstest::rstest]
#[case::dalton(include_str!("../../../examples/dalton.toml"))]
#[case::lombardy(include_str!("../../../examples/lombardy.toml"))]
fn every_request_of_the_session_is_whole(#[case] text: &str) {
    let market = Config::parse(text).expect("the example is valid");
    let (rows, store_calls) = smol::block_on(async {
        let demo = Demo::start(market.clone()).await.expect("the demo starts");
        let rows = Session::new(demo.address(), &market).run(&market).await;
        demo.drain().await;
        (rows, demo.platform().calls())
    });
    let broken: Vec<_> = rows.iter().filter(|row| !row.whole).collect();
    assert!(broken.is_empty(), "{broken:?}");
    assert_eq!(rows.len(), 15);
    let claims = |((kind, _), _): &((String, _), _)| kind.starts_with("claim");
    assert!(store_calls.iter().any(claims), "{store_calls:?}");
}
