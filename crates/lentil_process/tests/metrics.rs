//! Tests of the metrics.

use std::{net, time};

use lentil_process::metrics::{Counter, Gauge, Metrics, Settings, Timing};
use strum::IntoEnumIterator as _;

#[test]
fn counts_reach_statsd_and_the_dump() {
    let statsd = net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    statsd
        .set_read_timeout(Some(time::Duration::from_secs(30)))
        .expect("a limit");
    let address = statsd.local_addr().expect("an address");
    let settings = Settings {
        statsd: Some(address),
        ..Settings::default()
    };
    let metrics = Metrics::new(&settings).expect("metrics");
    metrics.count(Counter::Requests);
    metrics.add(Counter::Pieces, 3);
    assert_eq!(metrics.get(Counter::Pieces), 3);
    assert_eq!(metrics.dump()["requests"], 1);
    // Dropping the last handle flushes the buffered datagrams.
    drop(metrics);
    let mut buffer = [0; 1500];
    let read = statsd.recv(&mut buffer).expect("a datagram");
    let text = String::from_utf8_lossy(&buffer[..read]);
    assert!(text.contains("lentilglade.requests:1|c"), "{text}");
    assert!(text.contains("lentilglade.pieces:3|c"), "{text}");
}

#[test]
fn the_page_lists_every_metric() {
    let page = include_str!("../../../docs/metrics.md");
    let counters = Counter::iter().map(|name| name.to_string());
    let timings = Timing::iter().map(|name| name.to_string());
    let gauges = Gauge::iter().map(|name| name.to_string());
    for name in counters.chain(timings).chain(gauges) {
        assert!(
            page.contains(&format!("| `{name}` |")),
            "{name} is not in docs/metrics.md"
        );
    }
}

#[test]
fn the_text_has_every_counter_and_the_recorded_timings() {
    let metrics = Metrics::local();
    metrics.add(Counter::Requests, 3);
    for ms in [10, 20, 30, 400] {
        metrics.time(Timing::WholeAnswer, std::time::Duration::from_millis(ms));
    }
    let text = metrics.text();
    assert!(text.contains("lentilglade_requests_total 3\n"), "{text}");
    for counter in Counter::iter() {
        assert!(
            text.contains(&format!("lentilglade_{counter}_total ")),
            "{counter}"
        );
    }
    assert!(
        text.contains("lentilglade_whole_answer_count 4\n"),
        "{text}"
    );
    assert!(
        !text.contains("lentilglade_first_piece_count"),
        "nothing was timed"
    );
    let max = text
        .lines()
        .find_map(|line| line.strip_prefix("lentilglade_whole_answer_ms{quantile=\"1\"} "));
    let max: f64 = max.unwrap().parse().unwrap();
    assert!((395.0..=405.0).contains(&max), "{max}");
}

#[test]
fn the_text_has_the_cpu_time() {
    let metrics = Metrics::local();
    let cpu_ms = || -> u64 {
        let text = metrics.text();
        let mut lines = text.lines();
        let name = "lentilglade_processor_milliseconds_total ";
        let value = lines.find_map(|line| line.strip_prefix(name));
        value.unwrap().parse().unwrap()
    };
    let before = cpu_ms();
    let start = std::time::Instant::now();
    while cpu_ms() < before + 20 {
        assert!(start.elapsed().as_secs() < 20, "no time is counted");
    }
}
