//! Tasks of requests do not hold up the tasks beside them.

use std::{cell::Cell, rc::Rc};

use lentil_forward::background;
use smol::LocalExecutor;

/// Requests that are always ready, as on a router that has too little processor time.
const REQUESTS: usize = 2_000;
/// Steps of a call: connecting, writing, and reading head and body.
const STEPS: usize = 4;

#[test]
fn a_call_does_not_wait_for_all_ready_requests_at_each_step() {
    let surrounding = LocalExecutor::new();
    let ran = Rc::new(Cell::new(0));
    smol::block_on(surrounding.run(async {
        let requests = LocalExecutor::new();
        for _ in 0..REQUESTS {
            let ran = ran.clone();
            requests
                .spawn(async move {
                    loop {
                        ran.set(ran.get() + 1);
                        smol::future::yield_now().await;
                    }
                })
                .detach();
        }
        let call = surrounding.spawn(async {
            for _ in 0..STEPS {
                smol::future::yield_now().await;
            }
        });
        smol::future::or(call, async {
            background::run(&requests).await;
        })
        .await;
    }));
    assert!(ran.get() < REQUESTS / 10, "{} requests ran", ran.get());
}

#[test]
fn requests_run_while_the_surrounding_executor_is_idle() {
    let surrounding = LocalExecutor::new();
    let requests = LocalExecutor::new();
    smol::block_on(surrounding.run(async {
        let answered = requests.spawn(async {
            smol::Timer::after(std::time::Duration::from_millis(1)).await;
            smol::future::yield_now().await;
        });
        smol::future::or(answered, async {
            background::run(&requests).await;
        })
        .await;
    }));
}
