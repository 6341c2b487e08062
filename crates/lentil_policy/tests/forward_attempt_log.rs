//! Which answers belong to a request.

use lentil_policy::forward::attempt_log;
use rstest::rstest;

// An answer without an id was taken for that of the last request.
#[rstest]
#[case::own(Some("a"), Some("a"), false, true)]
#[case::of_another_request(Some("a"), Some("b"), true, false)]
#[case::without_an_id_on_a_used_connection(Some("a"), None, false, false)]
#[case::without_an_id_on_a_new_connection(Some("a"), None, true, true)]
#[case::request_without_an_id_on_a_used_connection(None, Some("b"), false, false)]
#[case::request_without_an_id_on_a_new_connection(None, None, true, true)]
fn an_answer_is_own_by_its_id_or_as_the_first_on_its_connection(
    #[case] sent: Option<&str>,
    #[case] named: Option<&str>,
    #[case] is_first: bool,
    #[case] is_own: bool,
) {
    let (sent, named) = (sent.map(str::as_bytes), named.map(str::as_bytes));
    assert_eq!(attempt_log::is_own_answer(sent, named, is_first), is_own);
}

// A part of an answer passed for the whole after a reset that a write had met.
#[rstest]
#[case::with_a_length(true, false, true)]
#[case::after_the_whole_request(false, true, true)]
#[case::during_the_request(false, false, false)]
fn the_end_of_a_connection_ends_an_answer_only_after_the_whole_request(
    #[case] shows_end: bool,
    #[case] is_written: bool,
    #[case] is_whole: bool,
) {
    let found = attempt_log::is_whole_at_end(shows_end, is_written);
    assert_eq!(found, is_whole);
}
