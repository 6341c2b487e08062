//! Tests the HTTP API that callers use, on an entry with a scripted sidecar.

mod answers;
mod fuzz;
mod lifecycle;
mod plain;
mod refusals;
mod support;
mod trace;
