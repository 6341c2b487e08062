//! Forwarding: requests that go to a backend server as they are.
//!
//! - [`routing`]: which route, team and service a request belongs to.
//! - [`attempt_log`]: what the attempts at a request may have done, and which final
//!   answer that allows.
//! - [`wait_queue`]: requests that wait at a router for a runner.
//! - [`target_weights`]: the weights that models are to be served with.
//! - [`retries`]: this router's share of the fleet's retry budget.
//! - [`runners`]: which runners exist, how they are and what they hold.
//! - [`placement`]: which runner gets a request.
//! - [`backlog`]: prompts that a runner still computes, over all routers.
//! - [`weights_update`]: how an agent brings its runner to new weights.
//! - [`save_budget`]: which shared parts are saved to the store of cache entries.
//! - [`status_schedule`]: when an agent tells the routers what.
//! - [`rollout_schedule`]: when a runner changes to new weights.

pub mod attempt_log;
pub mod backlog;
pub mod placement;
pub mod retries;
pub mod rollout_schedule;
pub mod routing;
pub mod runners;
pub mod save_budget;
pub mod status_schedule;
pub mod target_weights;
pub mod wait_queue;
pub mod weights_update;
