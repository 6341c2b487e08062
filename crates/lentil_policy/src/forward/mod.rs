//! Forwarding of requests to a backend server without changes.
//!
//! - [`routing`]: the route, team and service of a request.
//! - [`attempt_log`]: what the attempts at a request may have executed, and which
//!   final answer that allows.
//! - [`admission`]: whether a request that finds no runner may wait for one.
//! - [`scheduler`]: requests that wait at a router for a runner.
//! - [`concurrency_limit`]: how many requests a router has at one runner.
//! - [`refused_callers`]: callers that were refused and told when to come back.
//! - [`demand`]: how many prompt tokens a service is asked to compute.
//! - [`target_weights`]: the weights that models are to be served with.
//! - [`team_limits`]: limits of teams, kept by all routers together.
//! - [`retries`]: this router's share of the fleet's retry budget.
//! - [`runners`]: the known runners, their status and cached segments.
//! - [`placement`]: the choice of a runner for a request.
//! - [`pace`]: how fast the runners of a service compute prompts.
//! - [`lanes`]: which runners of a service are kept for short prompts.
//! - [`backlog`]: prompts that a runner still has to compute, of all routers.
//! - [`weights_update`]: how an agent changes its runner's weights.
//! - [`save_budget`]: the limit on saves to the cache store.
//! - [`crash_blame`]: which segments of prompts crash runners and are refused.
//! - [`shutdown`]: which requests a stopping router takes, and when it answers the last ones.
//! - [`silence_watch`]: when an agent reports that its runner does not answer.
//! - [`status_schedule`]: when an agent reports its runner's status to the routers.
//! - [`rollout_pacer`]: how many runners change to new weights at once, and which.
//! - [`rollout_schedule`]: when a runner changes that no router reaches.
//! - [`stream_origins`]: which service and software version began a stream.
//! - [`document_sources`]: which routers are asked for the store's documents, and when.
//! - [`watch_doubts`]: when a call that waits for changes of the store is doubted.
//! - [`open_calls`]: which calls to the store stay open while others are made.

pub mod admission;
pub mod attempt_log;
pub mod backlog;
pub mod concurrency_limit;
pub mod crash_blame;
pub mod demand;
pub mod document_sources;
pub mod lanes;
pub mod open_calls;
pub mod pace;
pub mod placement;
pub mod refused_callers;
pub mod retries;
pub mod rollout_pacer;
pub mod rollout_schedule;
pub mod routing;
pub mod runners;
pub mod save_budget;
pub mod scheduler;
pub mod shutdown;
pub mod silence_watch;
pub mod status_schedule;
pub mod stream_origins;
pub mod target_weights;
pub mod team_limits;
pub mod watch_doubts;
pub mod weights_update;
