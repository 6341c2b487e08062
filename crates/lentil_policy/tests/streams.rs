//! A stream reaches the caller whole and in order, or ends with a typed error.

mod support;

use lentil_policy::entry;
use lentil_types::{BootId, FailReason, Outcome};
use support::{Bench, dispatch_in, end, ending_in, failure_in, lost, piece, piece_of, started};

fn is_whole(commands: &[entry::Command]) -> bool {
    matches!(ending_in(commands), Some(entry::Ending::Whole(_)))
}

/// A bench where `a` has sent an answer's first two pieces.
fn half_streamed() -> (Bench, lentil_types::AttemptId) {
    let mut bench = Bench::new();
    let (_, dispatch) = bench.send(bench.arrival(1));
    let id = dispatch.offer.id;
    bench.on(started("a", id));
    bench.on(piece("a", id, 0, "one "));
    bench.on(piece("a", id, 1, "two "));
    (bench, id)
}

#[rstest::rstest]
fn pieces_reach_the_caller_in_order() {
    let (mut bench, id) = half_streamed();
    let third = bench.on(piece("a", id, 2, "three"));
    assert_eq!(support::text_in(&third), "three");
    assert!(is_whole(&bench.on(end("a", id, 3))));
}

#[rstest::rstest]
fn a_duplicate_piece_is_dropped_and_counted() {
    let (mut bench, id) = half_streamed();
    assert_eq!(bench.on(piece("a", id, 1, "two ")), []);
    assert_eq!(bench.policy.counters().duplicate_pieces, 1);
    assert!(is_whole(&bench.on(end("a", id, 2))));
}

#[rstest::rstest]
#[case::gap(|id| piece("a", id, 3, "four"))]
#[case::other_boot(|id| piece_of(BootId(8), "a", id, 2, "three"))]
#[case::early_end(|id| end("a", id, 1))]
#[case::end_after_missing_pieces(|id| end("a", id, 3))]
fn a_broken_stream_is_resumed_after_the_text_already_sent(
    #[case] fault: fn(lentil_types::AttemptId) -> entry::Event,
) {
    let (mut bench, id) = half_streamed();
    let commands = bench.on(fault(id));
    let (runner, again) = dispatch_in(&commands).expect("another attempt");
    assert_eq!(
        runner,
        support::name("a"),
        "a broken stream does not exclude the runner"
    );
    let resume = again.resume.expect("a resumption");
    assert_eq!((resume.offset, resume.text.as_str()), (2, "one two "));
    assert!(
        commands
            .iter()
            .any(|command| matches!(command, entry::Command::Cancel(_, old) if *old == id))
    );
    let id = again.offer.id;
    bench.on(started("a", id));
    assert_eq!(
        support::text_in(&bench.on(piece("a", id, 2, "three"))),
        "three"
    );
    assert!(is_whole(&bench.on(end("a", id, 3))));
}

#[rstest::rstest]
fn a_stream_is_resumed_on_another_runner_after_a_disconnect() {
    let (mut bench, id) = half_streamed();
    let commands = bench.on(lost("a", id, true));
    let (runner, again) = dispatch_in(&commands).expect("another attempt");
    assert_eq!(runner, support::name("b"));
    assert_eq!(again.resume.expect("a resumption").offset, 2);
}

#[rstest::rstest]
fn a_late_answer_of_an_earlier_attempt_is_dropped_and_counted() {
    let (mut bench, old) = half_streamed();
    let commands = bench.on(lost("a", old, true));
    let (_, again) = dispatch_in(&commands).expect("another attempt");
    assert_eq!(bench.on(piece("a", old, 2, "late")), []);
    assert_eq!(bench.on(piece("b", old, 2, "late")), []);
    assert_eq!(bench.on(end("a", old, 3)), []);
    assert_eq!(bench.policy.counters().late_answers, 3);
    let id = again.offer.id;
    assert_eq!(
        support::text_in(&bench.on(piece("b", id, 2, "three"))),
        "three"
    );
}

#[rstest::rstest]
fn a_stream_that_keeps_breaking_ends_with_a_typed_error() {
    let (mut bench, mut id) = half_streamed();
    let mut commands = Vec::new();
    for _ in 0..3 {
        commands = bench.on(piece("a", id, 9, "far"));
        if let Some((_, again)) = dispatch_in(&commands) {
            id = again.offer.id;
            continue;
        }
        commands.extend(bench.wait(std::time::Duration::from_millis(100)));
        if let Some((_, again)) = dispatch_in(&commands) {
            id = again.offer.id;
        }
    }
    let broken = (Outcome::Unknown, FailReason::BrokenStream);
    assert_eq!(failure_in(&commands), Some(broken));
}
