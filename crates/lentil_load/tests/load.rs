//! The load generator against an in-process demo.

use std::{net, time};

use lentil_config::Config;
use lentil_load::{Answer, AnswerError, Ending, Load, LoadError, Report, Settings, messages, plot};
use lentil_trace::Record;
use lentil_types::{Class, Instant, Outcome, PieceHash, PieceSeed, PromptPieces, Tokens};
use lentilglade::Demo;

const DALTON: &str = include_str!("../../../examples/dalton.toml");

fn record(number: u64, class: Class) -> Record {
    Record {
        at: Instant::from_millis(number),
        team: "recycler-a".parse().expect("a name"),
        class,
        service: "sortmind".parse().expect("a name"),
        model: Some("sortmind-7b".parse().expect("a name")),
        pieces: vec![PieceHash(1), PieceHash(2), PieceHash(100 + number)],
        prompt: Tokens(3_010),
        output: Tokens(4),
        key: None,
    }
}

#[test]
fn every_answer_of_a_trace_is_whole() {
    let config = Config::parse(DALTON).expect("the example is valid");
    let classes = [Class::Urgent, Class::Normal, Class::Patient];
    let records: Vec<_> = (0..30)
        .map(|n| record(n, classes[n as usize % 3]))
        .collect();
    let report = smol::block_on(async {
        let demo = Demo::start(config).await.expect("the demo starts");
        let settings = Settings {
            entry: demo.address(),
            ..Settings::default()
        };
        Load::new(settings)
            .expect("the settings are valid")
            .run(&records)
            .await
    });
    assert!(report.all_whole(), "{report}");
    assert_eq!(report.classes.len(), 3);
    assert!(
        report
            .classes
            .iter()
            .all(|class| class.sent == 10 && class.first.len() == 10)
    );
    let svg = plot::svg(&report).expect("there is something to draw");
    assert!(svg.contains("urgent") && svg.contains("patient"));
}

#[test]
fn prompts_share_their_pieces_as_the_trace_does() {
    let split = |pieces: &[u64]| {
        let pieces: Vec<_> = pieces.iter().copied().map(PieceHash).collect();
        let mut prompt = PromptPieces::new(PieceSeed(PieceHash(7)));
        for message in messages(&pieces, Tokens(pieces.len() as u64 * 1_000 + 10)) {
            prompt.push(message.to_string().as_bytes());
        }
        prompt.finish()
    };
    let (first, second) = (split(&[1, 2, 3]), split(&[1, 2, 4]));
    assert_eq!(first.len(), 3);
    assert_eq!(first[..2], second[..2]);
    assert_ne!(first[2], second[2]);
}

#[rstest::rstest]
#[case::public([192, 0, 2, 1])]
#[case::private([10, 0, 0, 1])]
fn load_goes_to_this_machine_only(#[case] ip: [u8; 4]) {
    let entry = net::SocketAddr::from((ip, 80));
    let settings = Settings {
        entry,
        ..Settings::default()
    };
    assert_eq!(
        Load::new(settings).err(),
        Some(LoadError::NotLoopback(entry))
    );
}

#[test]
fn a_report_counts_each_kind_of_ending() {
    let answer = |ending| Answer {
        team: "recycler-a".parse().expect("a name"),
        class: Class::Normal,
        ending,
        first_piece: None,
        longest_gap: None,
        duration: time::Duration::ZERO,
        prompt: Tokens(100),
        cached: Tokens(25),
        output: Tokens(0),
    };
    let error = |outcome| Ending::Error {
        outcome,
        status: 503,
    };
    let answers = [
        answer(Ending::Whole),
        answer(error(Outcome::NotRun)),
        answer(error(Outcome::Unknown)),
        answer(Ending::Broken(AnswerError::NoEnd)),
    ];
    let report = Report::new(&answers, time::Duration::from_secs(1));
    let class = &report.classes[0];
    assert_eq!((class.sent, class.whole, class.not_run), (4, 1, 1));
    assert_eq!((class.unknown, class.broken), (1, 1));
    assert_eq!(report.hit_rate, 0.25);
    assert!(!report.all_whole());
    assert_eq!(plot::svg(&report), Err(plot::PlotError::Empty));
}
