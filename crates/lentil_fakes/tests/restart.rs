//! Restarts of crashed stand-ins.

use std::net;

use lentil_fakes::{Engine, EngineSettings};

/// The default ephemeral ports of Linux; any process may be given one of them.
const EPHEMERAL: std::ops::RangeInclusive<u16> = 32_768..=60_999;

#[test]
fn a_crashed_stand_in_can_restart_on_its_port() {
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
