//! Stand-ins crash and come back.

use std::net;

use lentil_fakes::{Engine, EngineSettings};

/// Ports that the system may give to anybody who asks for a free one.
const EPHEMERAL: std::ops::RangeInclusive<u16> = 32_768..=60_999;

#[test]
fn the_port_of_a_crashed_stand_in_is_left_to_it() {
    smol::block_on(async {
        let engine = Engine::start(EngineSettings::default()).expect("it listens");
        assert!(!EPHEMERAL.contains(&engine.address().port()));
        engine.crash().await;
        assert!(net::TcpStream::connect(engine.address()).is_err());
        let start = || Engine::start(EngineSettings::default()).expect("it listens");
        let others: Vec<_> = (0..100).map(|_| start()).collect();
        assert!(
            others
                .iter()
                .all(|other| other.address() != engine.address())
        );
        engine.restart().await.expect("its port is free");
        assert!(net::TcpStream::connect(engine.address()).is_ok());
    });
}
