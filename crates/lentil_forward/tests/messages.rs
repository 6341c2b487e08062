//! Splitting of event streams and encoding of datagrams.

use std::time;

use lentil_forward::{
    EventSplitter,
    datagram::{
        AnnouncementNotice, Crash, CrashEvidence, Datagram, DocumentNotice, Loaded,
        MAX_LIMIT_ENTRIES, SegmentAge, SegmentRefusal, StatusReport, StreamOrigin, StreamRun,
        Subscribe, Turn,
    },
    documents::{Kind, WeightsTarget},
};
use lentil_policy::{
    forward::{
        backlog, rollout_pacer,
        runners::{Incarnation, SegmentId, SegmentKey, SegmentUpdate, Status},
        status_schedule, stream_origins, team_limits,
    },
    store::ObjectVersion,
};
use lentil_types::{Fingerprint, RequestRate, Tokens, Units, WeightsVersion};
use proptest::prelude::*;

fn incarnation() -> Incarnation {
    Incarnation {
        name: "i-7f3a91c2".parse().unwrap(),
        boot_id: 1_700_000_000_000,
    }
}

fn stream_origin() -> StreamOrigin {
    StreamOrigin {
        stream: backlog::RequestHash(5),
        origin: stream_origins::Origin {
            service: "sort".parse().unwrap(),
            software: "v1.1".parse().unwrap(),
        },
    }
}

fn segment_age() -> SegmentAge {
    SegmentAge {
        segment: SegmentId(7),
        age: time::Duration::from_millis(1_200),
    }
}

fn limit_ask(nonce: u64) -> team_limits::Ask {
    team_limits::Ask {
        nonce,
        team: team_limits::TeamHash::of(&"red".parse().unwrap()),
        units: Units(20_000),
        needed: Units(60_000),
        is_urgent: true,
    }
}

fn limit_grant(nonce: u64) -> team_limits::Grant {
    team_limits::Grant {
        nonce,
        team: team_limits::TeamHash(u64::MAX),
        units: Units(12_000),
        left: Units(7),
    }
}

fn datagrams() -> Vec<Datagram> {
    let model: lentil_types::ModelName = "model".parse().unwrap();
    let target = WeightsTarget {
        model: model.clone(),
        version: WeightsVersion(3),
    };
    let turn_target = target.clone();
    vec![
        Datagram::Subscribe(Subscribe {
            documents_address: "10.1.0.30:8783".parse().unwrap(),
            incarnation: incarnation(),
            targets: vec![(target, 120)],
            rank: 2,
            count: 18,
        }),
        Datagram::StatusReport(StatusReport {
            incarnation: incarnation(),
            status: Status {
                weights: vec![(model, WeightsVersion(2))],
                is_changing: true,
                running: 3,
                waiting: 1,
                segments: SegmentUpdate::Delta {
                    number: 3,
                    added: vec![SegmentKey(7), SegmentKey(u64::MAX)],
                    dropped: vec![SegmentKey(9)],
                },
                backlog: Tokens(17_000),
                prefilling: vec![SegmentKey(8)],
                committed: Tokens(90_000),
                capacity: Tokens(140_000),
            },
            routers: vec!["10.1.0.31:8783".parse().unwrap()],
        }),
        Datagram::Announcement(AnnouncementNotice {
            incarnation: incarnation(),
            limit: Some(RequestRate(5.9)),
            is_leaving: false,
        }),
        Datagram::Announcement(AnnouncementNotice {
            incarnation: incarnation(),
            limit: None,
            is_leaving: true,
        }),
        Datagram::Crash(Crash {
            fingerprint: Fingerprint(9),
            incarnation: incarnation(),
        }),
        Datagram::StatusRequest(incarnation()),
        Datagram::LongPrompt(backlog::LongPrompt {
            request: backlog::RequestHash::of("r"),
            uncached: Tokens(4_000),
            total: Tokens(17_000),
            prefills: Some(SegmentKey(9)),
        }),
        Datagram::Turn(Turn {
            incarnation: incarnation(),
            target: turn_target,
        }),
        Datagram::Loaded(Loaded {
            incarnation: incarnation(),
            times: rollout_pacer::ChangeTimes {
                drain_time: time::Duration::from_millis(450),
                load_time: time::Duration::from_millis(1_300),
            },
        }),
        Datagram::Silent(incarnation()),
        Datagram::CrashEvidence(CrashEvidence {
            incarnation: incarnation(),
            age: time::Duration::from_millis(410),
            segments: vec![SegmentId(7), SegmentId(u64::MAX)],
        }),
        Datagram::SurvivalQuery(segment_age()),
        Datagram::SegmentSurvived(segment_age()),
        Datagram::SegmentRefused(SegmentRefusal {
            suspicion: segment_age(),
            remaining: time::Duration::from_secs(600),
            crashes: 3,
        }),
        Datagram::DocumentChanged(DocumentNotice {
            kind: Kind::Weights,
            version: ObjectVersion(3 << 40 | 17),
        }),
        Datagram::StreamQuery(backlog::RequestHash(u64::MAX)),
        Datagram::StreamOrigin(stream_origin()),
        Datagram::StreamSeen(StreamRun {
            stream: backlog::RequestHash(5),
            incarnation: incarnation(),
        }),
        Datagram::StreamNoted(StreamRun {
            stream: backlog::RequestHash(5),
            incarnation: incarnation(),
        }),
        Datagram::LimitAsk(vec![limit_ask(1), limit_ask(u64::MAX)]),
        Datagram::LimitGrant(vec![limit_grant(1), limit_grant(u64::MAX)]),
        Datagram::Ping(incarnation()),
        Datagram::Pong(incarnation()),
        Datagram::StreamKept(stream_origin()),
    ]
}

#[test]
fn datagrams_round_trip() {
    for datagram in datagrams() {
        let bytes = datagram.clone().encode().unwrap();
        assert_eq!(Datagram::decode(&bytes).unwrap(), datagram);
    }
}

#[test]
fn a_status_with_the_most_segments_and_many_routers_fits_a_packet() {
    let mut largest = datagrams().swap_remove(1);
    if let Datagram::StatusReport(report) = &mut largest {
        report.status.segments = SegmentUpdate::Full {
            number: u32::MAX,
            keys: (0..64).map(|n| SegmentKey(u64::MAX - n)).collect(),
        };
        report.routers = (0..status_schedule::MAX_ROUTERS)
            .map(|n| format!("10.100.200.{n}:65535").parse().unwrap())
            .collect();
    }
    assert!(largest.encode().unwrap().len() <= 1_400);
}

/// Guards against advance asks of many teams that cannot be sent because their datagram is
/// too large.
#[test]
fn the_most_entries_about_limits_fit_a_packet() {
    let ask = team_limits::Ask {
        nonce: u64::MAX,
        team: team_limits::TeamHash(u64::MAX),
        units: Units(u64::MAX),
        needed: Units(u64::MAX),
        is_urgent: true,
    };
    let grant = team_limits::Grant {
        nonce: u64::MAX,
        team: team_limits::TeamHash(u64::MAX),
        units: Units(u64::MAX),
        left: Units(u64::MAX),
    };
    for datagram in [
        Datagram::LimitAsk(vec![ask; MAX_LIMIT_ENTRIES]),
        Datagram::LimitGrant(vec![grant; MAX_LIMIT_ENTRIES]),
    ] {
        let bytes = datagram.clone().encode().unwrap();
        assert!(bytes.len() <= 1_400);
        assert_eq!(Datagram::decode(&bytes).unwrap(), datagram);
    }
}

/// Guards against a new kind of datagram that changes the encoding of the others: during
/// an update, processes of two builds talk to each other.
#[test]
fn the_kinds_of_datagrams_keep_their_numbers() {
    // The first byte is the index of the kind in the order of the schema.
    let kinds = datagrams().into_iter().map(|datagram| {
        let name: &str = (&datagram).into();
        (name, datagram.clone().encode().unwrap()[0])
    });
    let mut kinds: Vec<_> = kinds.collect();
    kinds.sort_by_key(|(_, number)| *number);
    kinds.dedup();
    let names: Vec<_> = kinds.iter().map(|(name, _)| *name).collect();
    let expected = [
        "subscribe",
        "told",
        "crash",
        "sent",
        "ask",
        "turn",
        "loaded",
        "silent",
        "announcement",
        "document-changed",
        "stream-query",
        "stream-origin",
        "stream-seen",
        "stream-noted",
        "crash-evidence",
        "survival-query",
        "segment-survived",
        "segment-refused",
        "limit-ask",
        "limit-grant",
        "ping",
        "pong",
        "stream-kept",
    ];
    assert_eq!(names, expected);
    let numbers: Vec<_> = kinds.iter().map(|(_, number)| *number).collect();
    assert!(numbers.iter().copied().eq(0..23));
}

#[test]
fn truncated_datagrams_are_rejected() {
    for datagram in datagrams() {
        let bytes = datagram.encode().unwrap();
        for size in 0..bytes.len() {
            assert!(Datagram::decode(&bytes[..size]).is_err());
        }
    }
}

#[test]
fn only_whole_events_are_returned() {
    let mut events = EventSplitter::default();
    assert!(events.push(b"id: 1\nda").unwrap().is_empty());
    assert_eq!(events.last(), None);
    assert_eq!(
        events.push(b"ta: x\n\nid: 2\n").unwrap(),
        "id: 1\ndata: x\n\n"
    );
    assert_eq!(events.last().unwrap(), "1");
    assert!(!events.is_whole());
    assert_eq!(events.push(b"data: y\n\n").unwrap(), "id: 2\ndata: y\n\n");
    assert_eq!(events.last().unwrap(), "2");
    assert!(events.is_whole());
}

#[test]
fn an_event_without_an_id_keeps_the_last_id() {
    let mut events = EventSplitter::after(Some("7".into()));
    events.push(b"data: x\n\n").unwrap();
    assert_eq!(events.last().unwrap(), "7");
}

#[test]
fn event_lines_may_end_with_cr_lf() {
    let mut events = EventSplitter::default();
    let whole = events.push(b"id: 1\r\ndata: x\r\n\r\nid").unwrap();
    assert_eq!(whole, "id: 1\r\ndata: x\r\n\r\n");
    assert_eq!(events.last().unwrap(), "1");
}

proptest! {
    #[test]
    fn a_stream_read_in_any_sizes_is_returned_in_order(
        texts in proptest::collection::vec("[a-z]{0,12}", 1..12),
        sizes in proptest::collection::vec(1usize..9, 0..60),
    ) {
        let event = |(id, text): (usize, &String)| format!("id: {id}\ndata: {text}\n\n");
        let stream: String = texts.iter().enumerate().map(event).collect();
        let mut events = EventSplitter::default();
        let mut out = Vec::new();
        let mut rest = stream.as_bytes();
        let mut sizes = sizes.into_iter();
        while !rest.is_empty() {
            let size = sizes.next().unwrap_or(64).min(rest.len());
            out.extend_from_slice(&events.push(&rest[..size]).unwrap());
            rest = &rest[size..];
            prop_assert!(out.is_empty() || out.ends_with(b"\n\n"));
        }
        prop_assert_eq!(out, stream.as_bytes());
        let last = (texts.len() - 1).to_string();
        prop_assert_eq!(events.last().unwrap().as_str(), last.as_str());
    }

    #[test]
    fn decoders_do_not_panic_on_random_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = Datagram::decode(&bytes);
        let _ = EventSplitter::default().push(&bytes);
    }

    #[test]
    fn decoder_does_not_panic_on_datagrams_with_a_changed_byte(kind in 0usize..8, index in 0usize..200, byte: u8) {
        let mut bytes = datagrams().swap_remove(kind).encode().unwrap();
        let index = index % bytes.len();
        bytes[index] = byte;
        let _ = Datagram::decode(&bytes);
    }
}
