//! The agent beside a runner: brings it to new weights and tells the routers how
//! it is.

mod shell;

use std::{future, pin, time};

use lentil_policy::forward::{runners, status_schedule, weights_update};
use lentil_types::{FencingNumber, Tokens};

use crate::cache;

pub use shell::Agent;

/// What a call of a [`Runner`] returns.
pub type RunnerFuture<'a, T> =
    pin::Pin<Box<dyn future::Future<Output = Result<T, RunnerError>> + 'a>>;

/// A call to the runner did not work.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct RunnerError(pub String);

/// What a runner said to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderReply {
    /// It carries the order out.
    Accepted,
    /// What was ordered holds already.
    #[strum(serialize = "holds")]
    AlreadyApplied,
    /// Another order is under way, or the sequence differs.
    Conflict,
    /// An order with a higher fencing number came before.
    Fenced,
    /// Another runner has the address.
    OtherRunner,
    /// The order is not valid.
    Invalid,
}

/// The runner beside the agent.
pub trait Runner {
    /// Asks for changes of its memory since number `since`; it answers when there
    /// are some, or after `wait`.
    fn cache_events(&self, since: u64, wait: time::Duration)
    -> RunnerFuture<'_, cache::EventBatch>;

    /// Asks it how it is.
    fn report(&self) -> RunnerFuture<'_, weights_update::Report>;

    /// Orders new weights of the runner with this life.
    fn order<'a>(
        &'a self,
        incarnation: &'a runners::Incarnation,
        order: &'a weights_update::Order,
        fence: FencingNumber,
    ) -> RunnerFuture<'a, OrderReply>;
}

/// Settings of an [`Agent`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// When and how weights change.
    pub weights_update: weights_update::Settings,
    /// How often the runner is asked how it is.
    pub report: time::Duration,
    /// How often while it computes long prompts.
    pub busy_report: time::Duration,
    /// How often while its weights change.
    pub changing_report: time::Duration,
    /// When routers are told what.
    pub status_schedule: status_schedule::Settings,
    /// Longest wait for changes of the runner's memory. Shorter calls cost the
    /// runner more than they bring.
    pub cache_wait: time::Duration,
    /// Parts with fewer tokens are not told: reading them again is cheap.
    pub min_segment: Tokens,
    /// Most parts that are told.
    pub max_segments: usize,
    /// How often routers are told of each other.
    pub introduce: time::Duration,
    /// Routers that did not ask for longer are told nothing.
    pub router_age: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            weights_update: weights_update::Settings::default(),
            report: time::Duration::from_millis(100),
            busy_report: time::Duration::from_millis(40),
            changing_report: time::Duration::from_millis(20),
            status_schedule: status_schedule::Settings::default(),
            cache_wait: time::Duration::from_millis(900),
            min_segment: Tokens(1_024),
            max_segments: 64,
            introduce: time::Duration::from_secs(3),
            router_age: time::Duration::from_secs(15),
        }
    }
}
