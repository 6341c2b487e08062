//! Which requests a stopping router takes.

use std::time::Duration;

use lentil_policy::forward::shutdown::{Settings, Shutdown};
use lentil_types::Instant;

#[test]
fn a_request_that_may_outlive_the_router_is_taken_only_while_the_balancer_sends_some() {
    let settings = Settings::default();
    let begun_at = Instant::from_millis(5_000);
    let shutdown = Shutdown::new(settings, begun_at);
    let last = shutdown.last_answers_at();
    assert_eq!(last + settings.margin, begun_at + settings.grace);
    let late = begun_at + settings.handover;
    let early = begun_at + settings.handover / 2;
    let beyond = last + Duration::from_millis(1);
    assert!(shutdown.admits(early, beyond, true));
    assert!(!shutdown.admits(late, beyond, true));
    assert!(shutdown.admits(late, last, true));
    assert!(shutdown.admits(late, beyond, false), "nobody else takes it");
}
