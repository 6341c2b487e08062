//! Traces read back as written, and errors give the faulty line.

use lentil_trace::{Header, LineError, Reader, Record, Writer};
use lentil_types::{Class, Instant, PieceHash, Tokens};
use rstest::rstest;

fn record(at: u64, pieces: &[u64]) -> Record {
    Record {
        at: Instant(at),
        team: "a".parse().unwrap(),
        class: Class::Urgent,
        service: "sortmind".parse().unwrap(),
        model: Some("sortmind-7b".parse().unwrap()),
        pieces: pieces.iter().copied().map(PieceHash).collect(),
        prompt: Tokens(3_100),
        output: Tokens(20),
        key: None,
    }
}

fn written(records: &[Record]) -> String {
    let mut bytes = Vec::new();
    let mut writer = Writer::new(&mut bytes, &Header::new("test")).unwrap();
    for record in records {
        writer.write(record).unwrap();
    }
    String::from_utf8(bytes).unwrap()
}

#[test]
fn reads_what_was_written() {
    let mut keyed = record(9, &[]);
    keyed.key = Some("release-1".parse().unwrap());
    keyed.model = None;
    let records = [
        record(1, &[1, 2, 3]),
        record(1, &[1, 2, 4, u64::MAX]),
        record(5, &[1, 2, 4]),
        keyed,
    ];
    let text = written(&records);
    let reader = Reader::new(text.as_bytes()).unwrap();
    assert_eq!(reader.header().source, "test");
    let read: Result<Vec<_>, _> = reader.collect();
    assert_eq!(read.unwrap(), records);
}

#[test]
fn a_shared_beginning_is_written_once() {
    let text = written(&[record(1, &[1, 2, 3]), record(2, &[1, 2, 3])]);
    let last = text.lines().last().unwrap();
    assert!(last.contains(r#""base":[0,3]"#) && !last.contains("pieces"));
}

#[rstest]
#[case::empty("", |kind: &LineError| matches!(kind, LineError::NoHeader))]
#[case::other(r#"{"format":"x","version":1,"source":""}"#, |kind: &LineError| matches!(kind, LineError::Format(_)))]
#[case::newer(r#"{"format":"lentilglade-trace","version":2,"source":""}"#, |kind: &LineError| matches!(kind, LineError::Version(2)))]
fn a_bad_header_is_refused(#[case] text: &str, #[case] expected: fn(&LineError) -> bool) {
    let error = Reader::new(text.as_bytes()).err().unwrap();
    assert_eq!(error.line, 1);
    assert!(expected(&error.kind), "{error}");
}

#[rstest]
#[case::json("{", |kind: &LineError| matches!(kind, LineError::Json(_)))]
#[case::order(r#"{"at":0,"team":"a","class":"normal","service":"s","prompt":1,"output":1}"#, |kind: &LineError| matches!(kind, LineError::Order))]
#[case::base(r#"{"at":9,"team":"a","class":"normal","service":"s","base":[0,4],"prompt":1,"output":1}"#, |kind: &LineError| matches!(kind, LineError::Base { request: 0, pieces: 4 }))]
#[case::piece(r#"{"at":9,"team":"a","class":"normal","service":"s","pieces":["xyz"],"prompt":1,"output":1}"#, |kind: &LineError| matches!(kind, LineError::Piece(_)))]
#[case::field(r#"{"at":9,"team":"a","class":"normal","service":"s","prompt":1,"output":1,"text":"secret"}"#, |kind: &LineError| matches!(kind, LineError::Json(_)))]
fn a_bad_line_is_named(#[case] line: &str, #[case] expected: fn(&LineError) -> bool) {
    let text = written(&[record(1, &[1, 2, 3])]) + line;
    let results: Vec<_> = Reader::new(text.as_bytes()).unwrap().collect();
    let error = results[1].as_ref().unwrap_err();
    assert_eq!(error.line, 3);
    assert!(expected(&error.kind), "{error}");
}
