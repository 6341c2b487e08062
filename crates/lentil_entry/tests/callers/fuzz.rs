//! Random bytes instead of requests.

use crate::support::{Bench, auth, with_timeout};
use proptest::{prelude::*, test_runner};

/// Prefixes that lead random bytes into each part of the parser.
const PREFIXES: [&str; 5] = [
    "",
    "GET ",
    "GET /v1/models HTTP/1.1\r\n",
    "POST /v1/chat/completions HTTP/1.1\r\nauthorization: Bearer demo-recycler-a\r\ncontent-length: 64\r\n\r\n{",
    "PUT /services/dockdesk/x HTTP/1.1\r\nauthorization: Bearer demo-recycler-a\r\ntransfer-encoding: chunked\r\n\r\n",
];

#[test]
fn the_entry_keeps_serving_after_random_bytes() {
    let config = test_runner::Config {
        cases: 200,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(1),
        ..test_runner::Config::default()
    };
    let bench = smol::block_on(Bench::start(Box::new(|_| Vec::new())));
    let input = (
        0..PREFIXES.len(),
        prop::collection::vec(any::<u8>(), 0..256),
    );
    test_runner::TestRunner::new(config)
        .run(&input, |(prefix, bytes)| {
            smol::block_on(with_timeout(async {
                let mut caller = bench.caller().await;
                caller.write(PREFIXES[prefix].as_bytes()).await;
                caller.write(&bytes).await;
                drop(caller);
                let models = bench.call("GET", "/v1/models", &auth(), b"").await;
                prop_assert_eq!(models.status, 200);
                Ok(())
            }))
        })
        .expect("no input stops the entry");
}
