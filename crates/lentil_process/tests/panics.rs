//! A panic ends a task and nothing else.

use std::{cell, rc};

use lentil_process::{
    metrics::{Counter, Metrics},
    panics::{self, Panicked},
};

#[test]
fn a_contained_panic_is_counted_and_drops_what_the_task_holds() {
    let metrics = Metrics::local();
    let held = rc::Rc::new(());
    let inner = held.clone();
    let task = async move {
        let _held = inner;
        smol::future::yield_now().await;
        panic!("on purpose");
    };
    let end: Result<(), _> = smol::block_on(panics::contain(&metrics, task));
    assert_eq!(end, Err(Panicked));
    assert_eq!(rc::Rc::strong_count(&held), 1);
    assert_eq!(metrics.get(Counter::Panics), 1);
    let end = panics::contain_call(&metrics, || panic!("on purpose"));
    assert_eq!(end, Err::<(), _>(Panicked));
    assert_eq!(metrics.get(Counter::Panics), 2);
    assert_eq!(panics::contain_call(&metrics, || 7), Ok(7));
}

#[test]
fn a_supervised_task_is_started_again_after_each_panic() {
    let metrics = Metrics::local();
    let starts = cell::Cell::new(0);
    let end = smol::block_on(panics::supervise(&metrics, async || {
        starts.set(starts.get() + 1);
        assert!(starts.get() > 2, "on purpose");
        "done"
    }));
    assert_eq!((end, starts.get()), ("done", 3));
    assert_eq!(metrics.get(Counter::Panics), 2);
}
