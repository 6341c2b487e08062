//! The entry process as a library: receives callers' HTTP requests and returns
//! complete answers.
//!
//! [`Entry`] turns HTTP requests and messages of sidecars into events for
//! [`lentil_policy::entry::EntryPolicy`], and executes its commands.

mod answer;
mod api;
mod attempt;
mod backpressure;
mod body;
mod check;
mod control;
mod controller;
mod driver;
mod endpoint;
mod entry;
mod follow;
mod headers;
mod keys;
mod limits;
mod links;
mod openai;
mod recorder;
mod refusal;
mod reply;
mod respond;
mod runners;
mod server;
mod state;
mod store;
mod trace;
mod transport;
mod wait_group;
mod watch;

pub use control::Control;
pub use controller::{ControllerSettings, control_runners};
pub use entry::{AdminHandle, Entry, Settings};
pub use follow::follow;
pub use limits::Limits;
pub use store::NoStore;
